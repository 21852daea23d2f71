/* A simulated cell: its configuration, its jobs, its agents and its scheduler. */
#include "bench/lib/bench.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define ZONES 10
#define INSTANCES_PER_RACK 3
#define WORKER_CORES 60
#define GUARANTEED_ACCOUNTS 50
/* One accelerator in FREE_EVERY is free, so that a job with one accelerator can be
   placed and a job with two adjacent ones cannot. */
#define FREE_EVERY 10
/* Epoch of the scheduler; the tasks were started in the epoch before. */
#define EPOCH 1000000

static char *
set_numbered_name (char **field, const char *fmt, uint32_t number)
{
  char *text = g_strdup_printf (fmt, number);

  cb_msg_set_string (field, text);
  g_free (text);
  return *field;
}

static Cb__Rack *
make_rack (uint32_t number, uint32_t first, const bench_size_t *size)
{
  Cb__Rack *rack = cb_msg_new (&cb__rack__descriptor);

  set_numbered_name (&rack->name, "r%u", number);
  set_numbered_name (&rack->availability_zone, "z%u", number % ZONES);
  for (uint32_t i = first; i < MIN (first + INSTANCES_PER_RACK, size->workers); i++)
    {
      Cb__Instance *instance = cb_msg_new (&cb__instance__descriptor);
      uint64_t total = size->accelerators;

      set_numbered_name (&instance->name, "w%u", i);
      instance->accelerators =
          (uint32_t)((i + 1) * total / size->workers - i * total / size->workers);
      instance->cores = WORKER_CORES;
      instance->memory_gb = 130;
      cb_msg_append ((void ***)&rack->instances, &rack->n_instances, instance);
    }
  return rack;
}

static void
add_account (Cb__Rules *rules, uint32_t number)
{
  Cb__AccountRule *account = cb_msg_new (&cb__account_rule__descriptor);

  set_numbered_name (&account->name, "a%u", number);
  if (number < GUARANTEED_ACCOUNTS)
    {
      Cb__Guarantee *guarantee = cb_msg_new (&cb__guarantee__descriptor);

      guarantee->count = 2;
      guarantee->accelerators = 2;
      guarantee->adjacency = CB__ADJACENCY__ZONE;
      cb_msg_append ((void ***)&account->guarantees, &account->n_guarantees, guarantee);
    }
  cb_msg_append ((void ***)&rules->accounts, &rules->n_accounts, account);
}

/* Returns a configuration of one cell with ZONES availability zones and BENCH_ACCOUNTS
   client accounts. Freed with cb_msg_free. */
Cb__Config *
bench_config_new (uint32_t workers, uint32_t accelerators)
{
  bench_size_t size = { workers, accelerators, 0, 0, FALSE };
  Cb__Config *config = cb_msg_new (&cb__config__descriptor);
  Cb__Inventory *inventory = cb_msg_new (&cb__inventory__descriptor);
  Cb__Rules *rules = cb_msg_new (&cb__rules__descriptor);
  Cb__KindRule *kind = cb_msg_new (&cb__kind_rule__descriptor);

  config->version = 1;
  config->inventory = inventory;
  config->rules = rules;
  for (uint32_t i = 0; i < ZONES; i++)
    {
      Cb__AvailabilityZone *zone = cb_msg_new (&cb__availability_zone__descriptor);

      set_numbered_name (&zone->name, "z%u", i);
      cb_msg_set_string (&zone->region, "cell");
      cb_msg_append ((void ***)&inventory->availability_zones,
                     &inventory->n_availability_zones, zone);
    }
  for (uint32_t i = 0; i * INSTANCES_PER_RACK < workers; i++)
    cb_msg_append ((void ***)&inventory->racks, &inventory->n_racks,
                   make_rack (i, i * INSTANCES_PER_RACK, &size));
  for (uint32_t i = 0; i < BENCH_ACCOUNTS; i++)
    {
      char *name = g_strdup_printf ("a%u", i);

      cb_msg_append ((void ***)&inventory->client_accounts,
                     &inventory->n_client_accounts, strdup (name));
      g_free (name);
      add_account (rules, i);
    }
  cb_msg_set_string (&kind->name, "batch");
  kind->job = 1;
  kind->preemption = CB__PREEMPTION__CHECKPOINT;
  cb_msg_append ((void ***)&rules->kinds, &rules->n_kinds, kind);
  return config;
}

/* Returns a job of one hour; ACCELERATORS are those of each member. Freed with
   cb_msg_free. */
Cb__Job *
bench_job_new (const char *account, const char *key, uint32_t members,
               uint32_t accelerators, Cb__Adjacency adjacency)
{
  Cb__Job *job = cb_msg_new (&cb__job__descriptor);

  cb_msg_set_string (&job->account, account);
  cb_msg_set_string (&job->key, key);
  cb_msg_set_string (&job->kind, "batch");
  job->members = members;
  job->accelerators = accelerators;
  job->adjacency = adjacency;
  job->run_ms = 3600000;
  return job;
}

/* Returns an envelope from FROM with an empty body of type BODY_CASE. Freed with
   cb_msg_free. */
Cb__Envelope *
bench_envelope_new (const char *from, Cb__Envelope__BodyCase body_case)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__envelope__descriptor, body_case);
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);

  cb_msg_set_string (&envelope->from, from);
  envelope->body_case = body_case;
  /* All members of the union are pointers to messages. */
  envelope->heartbeat = cb_msg_new (field->descriptor);
  return envelope;
}

/* Returns a task of the epoch before the scheduler's. Freed with cb_msg_free. */
Cb__Task *
bench_task_new (const char *account, const char *key, uint32_t attempt,
                Cb__TaskState state)
{
  Cb__Task *task = cb_msg_new (&cb__task__descriptor);

  cb_msg_set_string (&task->account, account);
  cb_msg_set_string (&task->job_key, key);
  task->attempt = attempt;
  task->epoch = EPOCH - 1;
  task->state = state;
  return task;
}

/* Adds JOB to the scheduler as a job read from the log, and frees it. */
void
bench_cell_add_job (bench_cell_t *cell, Cb__Job *job, Cb__JobState state)
{
  Cb__JobStateEntry entry = CB__JOB_STATE_ENTRY__INIT;

  entry.job = job;
  entry.state = state;
  entry.offset = ++cell->offset;
  bench_require (cb_sched_job_add (cell->sched, &entry, cell->now_ms) == 0,
                 "a job that the scheduler accepts");
  cb_msg_free (job);
}

/* Frees the scheduler's pending outputs. Returns how many of them were envelopes with
   BODY. */
uint32_t
bench_cell_discard_outputs (bench_cell_t *cell, Cb__Envelope__BodyCase body)
{
  uint32_t count = 0;
  cb_out_t *out;

  while ((out = cb_outq_pop (cb_sched_outputs (cell->sched))) != NULL)
    {
      count += out->kind == CB_OUT_SEND && out->envelope->body_case == body;
      cb_out_free (out);
    }
  return count;
}

/* Adds running task T with its job, to the scheduler and to its worker's REPORT.
   ACCELERATOR is an index on the worker; -1 for none. */
static void
add_task (bench_cell_t *cell, uint32_t t, int accelerator, Cb__Report *report)
{
  char *account = g_strdup_printf ("a%u", t % BENCH_ACCOUNTS);
  char *key = g_strdup_printf ("t%u", t);
  Cb__Task *task = bench_task_new (account, key, 1, CB__TASK_STATE__TASK_RUNNING);
  Cb__Job *job = bench_job_new (account, key, 1, accelerator >= 0 ? 1 : 0,
                                CB__ADJACENCY__INSTANCE);

  job->cores = cell->size.lack_cores ? 1 : 0;
  bench_cell_add_job (cell, job, CB__JOB_STATE__JOB_RUNNING);
  if (accelerator >= 0)
    {
      task->accelerators = malloc (sizeof *task->accelerators);
      task->accelerators[0] = (uint32_t)accelerator;
      task->n_accelerators = 1;
    }
  cb_msg_append ((void ***)&report->tasks, &report->n_tasks, task);
  g_free (account);
  g_free (key);
}

/* Returns the report of each worker. The first tasks use the accelerators that are not
   left free, the others none. */
static Cb__Envelope **
make_reports (bench_cell_t *cell)
{
  Cb__Envelope **reports = g_new0 (Cb__Envelope *, cell->size.workers);
  uint32_t number = 0, t = 0;

  for (uint32_t i = 0; i < cell->size.workers; i++)
    {
      const cb_instance_t *instance = &cell->fleet->instances[i];

      reports[i] = bench_envelope_new (instance->spec->name, CB__ENVELOPE__BODY_REPORT);
      reports[i]->report->epoch = EPOCH;
      cb_msg_set_string (&reports[i]->report->instance, instance->spec->name);
      for (uint32_t a = 0; a < instance->spec->accelerators; a++)
        if (++number % FREE_EVERY != 0)
          add_task (cell, t++, (int)a, reports[i]->report);
    }
  cell->accelerator_tasks = t;
  for (; t < cell->size.tasks; t++)
    add_task (cell, t, -1, reports[t % cell->size.workers]->report);
  return reports;
}

/* Returns queued job I, which cannot be placed. A job that lacks cores needs one
   accelerator, and some are free: the scheduler finds out only when it searches the
   workers. */
static Cb__Job *
queued_job (const bench_cell_t *cell, uint32_t i, const char *account, const char *key)
{
  Cb__Job *job;

  if (cell->size.lack_cores)
    {
      job = bench_job_new (account, key, 1, 1, CB__ADJACENCY__INSTANCE);
      job->cores = WORKER_CORES;
      return job;
    }
  if (i % 5 < 3)
    return bench_job_new (account, key, 1, 2, CB__ADJACENCY__INSTANCE);
  return bench_job_new (account, key, 4, 1, CB__ADJACENCY__RACK);
}

static void
add_queue (bench_cell_t *cell)
{
  for (uint32_t i = 0; i < cell->size.queue; i++)
    {
      char *account = g_strdup_printf ("a%u", i % BENCH_ACCOUNTS);
      char *key = g_strdup_printf ("q%u", i);

      bench_cell_add_job (cell, queued_job (cell, i, account, key),
                          CB__JOB_STATE__JOB_QUEUED);
      g_free (account);
      g_free (key);
    }
}

/* Has the C library merge and sort the chunks that were freed so far. Otherwise this
   work is counted in the first allocations of the measurement. A request that no free
   chunk can serve sorts up to 10,000 chunks, so several requests are needed. */
static void
consolidate_heap (void)
{
  malloc_trim (0);
  for (int i = 0; i < 64; i++)
    {
      void *volatile block = malloc ((size_t)64 * 1024);

      free (block);
    }
}

/* Fills CELL with a scheduler and a load of SIZE by a takeover: a new scheduler
   receives the running tasks in the reports of the agents. Call bench_cell_close
   afterwards. */
void
bench_cell_open (bench_cell_t *cell, const bench_size_t *size)
{
  cb_sched_params_t params = { "cell", "e0", NULL, 1 };
  Cb__Config *config = bench_config_new (size->workers, size->accelerators);
  Cb__Envelope **reports;

  memset (cell, 0, sizeof *cell);
  cell->size = *size;
  cell->now_ms = 1000;
  cell->fleet = cb_fleet_new (config);
  cb_msg_free (config);
  cell->sched = cb_sched_new (&params);
  cb_sched_set_fleet (cell->sched, cell->fleet, cell->now_ms);
  reports = make_reports (cell);
  for (uint32_t i = 0; i < size->workers; i++)
    cb_sched_agent_up (cell->sched, cell->fleet->instances[i].spec->name, 1,
                       cell->now_ms);
  cb_sched_set_epoch (cell->sched, EPOCH, cell->now_ms);
  for (uint32_t i = 0; i < size->workers; i++)
    {
      cb_sched_receive (cell->sched, reports[i], cell->now_ms);
      cb_msg_free (reports[i]);
    }
  g_free ((void *)reports);
  cell->offset = EPOCH;
  add_queue (cell);
  for (int i = 0; i < 3; i++)
    cb_sched_tick (cell->sched, cell->now_ms += 100);
  bench_cell_discard_outputs (cell, CB__ENVELOPE__BODY__NOT_SET);
  consolidate_heap ();
}

void
bench_cell_close (bench_cell_t *cell)
{
  cb_sched_free (cell->sched);
  cb_fleet_unref (cell->fleet);
}
