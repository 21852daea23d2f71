/* Cost of configuration changes and of the scheduler of a cell at one size. Each part
   runs in virtual time and prints bytes, messages and memory. bench/slopes.sh runs it
   at several sizes, with callgrind for the instructions of cb_slopes_measured. */
#include "bench/slopes.h"

#include "fleet/fns.h"
#include "sched/fns.h"

#define TASKS_PER_WORKER 23
#define INSTANCES_PER_RACK 3
/* Client accounts of a cell, as at the target size: 550 with 975 workers. */
#define CELL_ACCOUNTS(workers) (550 * (workers) / 975)

/* ---- configuration ---- */

static Cb__Rack *
new_rack (uint32_t number, uint32_t zones)
{
  Cb__Rack *rack = cb_msg_new (&cb__rack__descriptor);
  char *name = g_strdup_printf ("rack-%u", number);
  char *zone = g_strdup_printf ("zone-%u", number % zones);

  cb_msg_set_string (&rack->name, name);
  cb_msg_set_string (&rack->availability_zone, zone);
  for (uint32_t i = 0; i < INSTANCES_PER_RACK; i++)
    {
      Cb__Instance *instance = cb_msg_new (&cb__instance__descriptor);
      char *text = g_strdup_printf ("worker-%u", INSTANCES_PER_RACK * number + i);

      cb_msg_set_string (&instance->name, text);
      cb_msg_set_string (&instance->address, "10.120.130.140:7070");
      instance->cores = 60;
      instance->memory_gb = 130;
      /* As at the target size: 4,500 accelerators on 3,900 workers, 15 on 13. */
      instance->accelerators = (INSTANCES_PER_RACK * number + i) % 13 < 2 ? 2 : 1;
      cb_msg_append ((void ***)&rack->instances, &rack->n_instances, instance);
      g_free (text);
    }
  g_free (zone);
  g_free (name);
  return rack;
}

static void
add_zones (Cb__Inventory *inventory, uint32_t zones)
{
  for (uint32_t i = 0; i < zones; i++)
    {
      Cb__AvailabilityZone *zone = cb_msg_new (&cb__availability_zone__descriptor);
      char *name = g_strdup_printf ("zone-%u", i);

      cb_msg_set_string (&zone->name, name);
      cb_msg_set_string (&zone->region, "cell");
      cb_msg_append ((void ***)&inventory->availability_zones,
                     &inventory->n_availability_zones, zone);
      g_free (name);
    }
}

static void
add_accounts (Cb__Config *config, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      Cb__AccountRule *rule = cb_msg_new (&cb__account_rule__descriptor);
      char *name = g_strdup_printf ("account-%u", i);

      cb_msg_set_string (&rule->name, name);
      rule->quota_accelerators = 64;
      if (i % 10 == 0)
        {
          Cb__Guarantee *guarantee = cb_msg_new (&cb__guarantee__descriptor);

          guarantee->count = 2;
          guarantee->accelerators = INSTANCES_PER_RACK;
          guarantee->adjacency = CB__ADJACENCY__RACK;
          cb_msg_append ((void ***)&rule->guarantees, &rule->n_guarantees, guarantee);
        }
      cb_msg_append ((void ***)&config->rules->accounts, &config->rules->n_accounts,
                     rule);
      cb_msg_append ((void ***)&config->inventory->client_accounts,
                     &config->inventory->n_client_accounts, strdup (name));
      g_free (name);
    }
}

static Cb__Config *
new_config (uint32_t racks, uint32_t accounts)
{
  Cb__Config *config = cb_msg_new (&cb__config__descriptor);
  Cb__KindRule *kind = cb_msg_new (&cb__kind_rule__descriptor);
  uint32_t zones = 10;

  config->version = 1;
  config->inventory = cb_msg_new (&cb__inventory__descriptor);
  config->rules = cb_msg_new (&cb__rules__descriptor);
  add_zones (config->inventory, zones);
  for (uint32_t i = 0; i < racks; i++)
    cb_msg_append ((void ***)&config->inventory->racks, &config->inventory->n_racks,
                   new_rack (i, zones));
  add_accounts (config, accounts);
  cb_msg_set_string (&kind->name, "train");
  kind->job = TRUE;
  kind->preemption = CB__PREEMPTION__STOP;
  cb_msg_append ((void ***)&config->rules->kinds, &config->rules->n_kinds, kind);
  return config;
}

/* Arguments and results of the functions that are measured. */
typedef struct
{
  Cb__Config *from;
  Cb__Config *to;
  Cb__ConfigChange *change;
  Cb__Config *result;
  cb_fleet_t *fleet;
  int err;
} config_step_t;

static void
do_check (void *ctx)
{
  config_step_t *c = ctx;
  cb_errors_t errors;

  cb_errors_init (&errors);
  c->err = cb_fleet_check (c->to->inventory, NULL, c->to->rules, NULL, &errors);
  cb_errors_clear (&errors);
}

static void
do_diff (void *ctx)
{
  config_step_t *c = ctx;

  c->change = cb_config_diff (c->from, c->to);
}

static void
do_apply (void *ctx)
{
  config_step_t *c = ctx;

  c->err = cb_config_apply (c->from, c->change, 2, &c->result);
}

static void
do_index (void *ctx)
{
  config_step_t *c = ctx;

  c->fleet = cb_fleet_new (c->to);
}

/* Changes one rack in a configuration of RACKS racks. STEP is the measured function. */
static void
measure_config (uint32_t racks, slope_fn_t step)
{
  /* As at the target size: 550 accounts in a fleet of 1,300 racks. */
  uint32_t accounts = racks * 550 / 1300;
  size_t before = allocated_bytes ();
  config_step_t c = { .from = new_config (racks, accounts) };
  size_t memory = allocated_bytes () - before;

  c.to = (Cb__Config *)cb_msg_copy (&c.from->base);
  c.to->inventory->racks[racks / 2]->instances[0]->cores = 48;
  c.change = cb_config_diff (c.from, c.to);
  c.change->base_version = 1;
  if (step == do_diff)
    cb_msg_free (c.change);
  before = allocated_bytes ();
  cb_slopes_measured (step, &c);
  printf ("racks=%u accounts=%u packed=%zu change=%zu config_memory=%zu"
          " step_memory=%zd err=%d\n",
          racks, accounts, cb__config__get_packed_size (c.from),
          cb__config_change__get_packed_size (c.change), memory,
          (ssize_t)(allocated_bytes () - before), c.err);
  cb_fleet_unref (c.fleet);
  cb_msg_free (c.result);
  cb_msg_free (c.change);
  cb_msg_free (c.to);
  cb_msg_free (c.from);
}

static void
part_check (uint32_t racks)
{
  measure_config (racks, do_check);
}

static void
part_diff (uint32_t racks)
{
  measure_config (racks, do_diff);
}

static void
part_apply (uint32_t racks)
{
  measure_config (racks, do_apply);
}

static void
part_index (uint32_t racks)
{
  measure_config (racks, do_index);
}

/* ---- scheduler of a cell ---- */

typedef struct
{
  cb_sched_t *sched;
  cb_fleet_t *fleet;
  uint32_t workers;
  cb_msec_t now_ms;
  GPtrArray *tasks; /* running, by index of the worker: GPtrArray of Cb__Task */
  slope_counts_t sent;
} cell_t;

static void
reply_reserve (cell_t *c, const Cb__Envelope *reserve)
{
  Cb__Envelope *reply = new_envelope (reserve->to, CB__ENVELOPE__BODY_RESERVE_REPLY);

  cb_msg_set_string (&reply->reserve_reply->job_key, reserve->reserve->job_key);
  cb_msg_set_string (&reply->reserve_reply->account, reserve->reserve->account);
  reply->reserve_reply->attempt = reserve->reserve->attempt;
  reply->reserve_reply->ok = TRUE;
  cb_sched_receive (c->sched, reply, c->now_ms);
  cb_msg_free (reply);
}

static Cb__Task *
new_task (const char *key, const char *account, uint32_t attempt, uint32_t member)
{
  Cb__Task *task = cb_msg_new (&cb__task__descriptor);

  cb_msg_set_string (&task->job_key, key);
  cb_msg_set_string (&task->account, account);
  task->attempt = attempt;
  task->member = member;
  task->state = CB__TASK_STATE__TASK_RUNNING;
  task->cores = 2;
  task->memory_gb = 4;
  task->epoch = SLOPES_EPOCH;
  return task;
}

/* Reports the members that a Start message names for its receiver as running. */
static void
reply_start (cell_t *c, const Cb__Envelope *envelope)
{
  const Cb__Start *start = envelope->start;
  Cb__Envelope *reply = new_envelope (envelope->to, CB__ENVELOPE__BODY_TASK_REPORT);
  const cb_instance_t *instance = cb_fleet_instance (c->fleet, envelope->to);

  cb_msg_set_string (&reply->task_report->instance, envelope->to);
  for (size_t i = 0; i < start->n_members; i++)
    {
      if (strcmp (start->members[i]->instance, envelope->to) != 0)
        continue;
      cb_msg_append ((void ***)&reply->task_report->tasks, &reply->task_report->n_tasks,
                     new_task (start->job_key, start->account, start->attempt,
                               start->members[i]->member));
      g_ptr_array_add (c->tasks->pdata[instance->index],
                       new_task (start->job_key, start->account, start->attempt,
                                 start->members[i]->member));
    }
  cb_sched_receive (c->sched, reply, c->now_ms);
  cb_msg_free (reply);
}

/* Sends the full report of the agent that received SYNC. */
static void
reply_sync (cell_t *c, const Cb__Envelope *sync)
{
  Cb__Envelope *reply = new_envelope (sync->to, CB__ENVELOPE__BODY_REPORT);
  Cb__Report *report = reply->report;
  const cb_instance_t *instance = cb_fleet_instance (c->fleet, sync->to);
  const GPtrArray *tasks = c->tasks->pdata[instance->index];

  cb_msg_set_string (&report->instance, sync->to);
  report->epoch = sync->epoch;
  reply->epoch = sync->epoch;
  report->accelerators = instance->spec->accelerators;
  report->cores = instance->spec->cores;
  report->memory_gb = instance->spec->memory_gb;
  for (guint i = 0; i < tasks->len; i++)
    cb_msg_append ((void ***)&report->tasks, &report->n_tasks,
                   cb_msg_copy (tasks->pdata[i]));
  c->sent.bytes += cb__envelope__get_packed_size (reply);
  c->sent.messages++;
  cb_sched_receive (c->sched, reply, c->now_ms);
  cb_msg_free (reply);
}

/* Handles the scheduler's outputs as the log and the agents would. */
static void
handle_outputs (cell_t *c)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (cb_sched_outputs (c->sched))) != NULL)
    {
      if (out->kind == CB_OUT_APPEND)
        cb_sched_appended (c->sched, out->tag, CB_OK, c->now_ms);
      if (out->kind == CB_OUT_SEND)
        {
          c->sent.bytes += cb__envelope__get_packed_size (out->envelope);
          c->sent.messages++;
          if (out->envelope->body_case == CB__ENVELOPE__BODY_SYNC)
            reply_sync (c, out->envelope);
          else if (out->envelope->body_case == CB__ENVELOPE__BODY_RESERVE)
            reply_reserve (c, out->envelope);
          else if (out->envelope->body_case == CB__ENVELOPE__BODY_START)
            reply_start (c, out->envelope);
        }
      cb_out_free (out);
    }
}

static void
run_seconds (void *ctx)
{
  cell_t *c = ctx;

  for (uint32_t step = 0; step < SLOPES_MEASURED_S * 1000 / SLOPES_TICK_MS; step++)
    {
      c->now_ms += SLOPES_TICK_MS;
      cb_sched_tick (c->sched, c->now_ms);
      handle_outputs (c);
    }
}

static void
add_job (cell_t *c, uint32_t job_number, uint32_t members, uint32_t accelerators)
{
  Cb__JobStateEntry state = CB__JOB_STATE_ENTRY__INIT;
  char *account = g_strdup_printf ("account-%u", 1 + job_number % 50);

  state.job = new_job (account, job_number, members, accelerators);
  state.offset = job_number;
  cb_sched_job_add (c->sched, &state, c->now_ms);
  cb_msg_free (state.job);
  g_free (account);
}

static void
open_sched (cell_t *c, uint64_t epoch)
{
  cb_sched_params_t params = { .cell = "cell", .entry = "entry-1", .seed = 1 };

  c->sched = cb_sched_new (&params);
  cb_sched_set_fleet (c->sched, c->fleet, c->now_ms);
  for (uint32_t i = 0; i < c->fleet->instance_count; i++)
    cb_sched_agent_up (c->sched, c->fleet->instances[i].spec->name, 1, c->now_ms);
  cb_sched_set_epoch (c->sched, epoch, c->now_ms);
  handle_outputs (c);
}

/* Opens a cell of WORKERS workers without tasks. */
static void
open_cell (cell_t *c, uint32_t workers, uint32_t accounts)
{
  Cb__Config *config = new_config (workers / INSTANCES_PER_RACK, accounts);

  *c = (cell_t){ .workers = workers, .now_ms = 10000 };
  c->fleet = cb_fleet_new (config);
  c->tasks = g_ptr_array_new_with_free_func ((GDestroyNotify)g_ptr_array_unref);
  for (uint32_t i = 0; i < c->fleet->instance_count; i++)
    g_ptr_array_add (c->tasks, g_ptr_array_new_with_free_func (cb_msg_free));
  open_sched (c, SLOPES_EPOCH);
  cb_msg_free (config);
}

/* Adds gangs of 10 * TASKS_PER_WORKER members, and runs the cell so that their
   tasks start. */
static void
fill_cell (cell_t *c)
{
  for (uint32_t i = 0; i < c->workers / 10; i++)
    add_job (c, i, 10 * TASKS_PER_WORKER, 0);
  run_seconds (c);
}

static void
close_cell (cell_t *c)
{
  cb_sched_free (c->sched);
  cb_fleet_unref (c->fleet);
  g_ptr_array_unref (c->tasks);
}

static void
print_cell (const cell_t *c, size_t memory)
{
  cb_sched_totals_t totals;

  cb_sched_totals (c->sched, &totals);
  printf ("seconds=%d workers=%u queued=%u running=%u messages=%" G_GUINT64_FORMAT
          " bytes=%" G_GUINT64_FORMAT " memory=%zu\n",
          SLOPES_MEASURED_S, totals.workers_up, totals.jobs_queued, totals.jobs_running,
          c->sent.messages, c->sent.bytes, memory);
}

/* Ticks of a cell that runs its tasks without changes. */
static void
part_cell (uint32_t workers)
{
  size_t before = allocated_bytes ();
  cell_t c;

  open_cell (&c, workers, CELL_ACCOUNTS (workers));
  fill_cell (&c);
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (run_seconds, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

static void
do_fill (void *ctx)
{
  fill_cell (ctx);
}

/* Placement and start of TASKS_PER_WORKER tasks on each worker. */
static void
part_fill (uint32_t workers)
{
  size_t before = allocated_bytes ();
  cell_t c;

  open_cell (&c, workers, CELL_ACCOUNTS (workers));
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (do_fill, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

static void
do_change (void *ctx)
{
  cell_t *c = ctx;

  cb_sched_set_fleet (c->sched, c->fleet, c->now_ms);
  handle_outputs (c);
}

/* Reception of a new configuration by a scheduler whose workers run tasks. */
static void
part_change (uint32_t workers)
{
  size_t before = allocated_bytes ();
  cell_t c;

  open_cell (&c, workers, CELL_ACCOUNTS (workers));
  fill_cell (&c);
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (do_change, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

static void
do_takeover (void *ctx)
{
  cell_t *c = ctx;

  for (uint32_t i = 0; i < c->workers / 10; i++)
    add_job (c, i, 10 * TASKS_PER_WORKER, 0);
  cb_sched_set_epoch (c->sched, SLOPES_EPOCH + 1, c->now_ms);
  handle_outputs (c);
  cb_sched_tick (c->sched, c->now_ms);
  handle_outputs (c);
}

/* Takeover by a new scheduler, which receives the running tasks in agents' reports. */
static void
part_takeover (uint32_t workers)
{
  size_t before = allocated_bytes ();
  cell_t c;

  open_cell (&c, workers, CELL_ACCOUNTS (workers));
  fill_cell (&c);
  cb_sched_free (c.sched);
  open_sched (&c, 0);
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (do_takeover, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

static void
do_gang (void *ctx)
{
  cell_t *c = ctx;

  add_job (c, 900000, 256, 1);
  cb_sched_tick (c->sched, c->now_ms);
  handle_outputs (c);
}

/* Placement and start of a gang of 256 members with one accelerator each. */
static void
part_gang (uint32_t workers)
{
  size_t before = allocated_bytes ();
  cell_t c;

  open_cell (&c, workers, 0);
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (do_gang, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

/* Ticks with queued jobs that wait for accelerators in a cell of 975 workers, while no
   accelerator becomes free. */
static void
part_queue (uint32_t jobs)
{
  size_t before;
  cell_t c;

  open_cell (&c, 975, 0);
  for (uint32_t i = 0; i < 9; i++)
    add_job (&c, 800000 + i, 125, 1);
  run_seconds (&c);
  before = allocated_bytes ();
  for (uint32_t i = 0; i < jobs; i++)
    add_job (&c, i, 8 + i % 8, 1);
  run_seconds (&c);
  c.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (run_seconds, &c);
  print_cell (&c, allocated_bytes () - before);
  close_cell (&c);
}

int
main (int argc, char **argv)
{
  static const slope_part_t parts[] = {
    { "check", part_check }, { "diff", part_diff },   { "apply", part_apply },
    { "index", part_index }, { "cell", part_cell },   { "takeover", part_takeover },
    { "gang", part_gang },   { "queue", part_queue }, { "change", part_change },
    { "fill", part_fill },
  };

  return run_part (argc, argv, parts, G_N_ELEMENTS (parts));
}
