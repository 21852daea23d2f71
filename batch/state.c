/* Construction of the state, and queries on it. */
#include "batch/local.h"

#include <string.h>

/* Drops what is known of the end of TASK's run from a refused record. */
void
forget_refused_end (task_t *task)
{
  cb_msg_free (task->refused_end);
  task->refused_end = NULL;
}

static void
free_job (void *ptr)
{
  job_t *job = ptr;

  for (uint32_t k = 0; k < job->n_occurrences; k++)
    {
      for (size_t i = 0; i < job->spec->n_steps; i++)
        {
          step_state_t *step = &job->occurrences[k].steps[i];

          for (uint32_t t = 0; t < step->count; t++)
            {
              forget_refused_end (&step->tasks[t]);
              trust_forget_avoided (&step->tasks[t]);
              g_free (step->tasks[t].mark);
              g_free (step->tasks[t].checkpoint);
              g_free (step->tasks[t].reported_checkpoint);
            }
          g_free (step->tasks);
          g_free (step->times);
          advice_clear (step);
          forget_step_work (step);
        }
      g_free (job->occurrences[k].steps);
    }
  g_free (job->occurrences);
  cb_msg_free (job->spec);
  g_free (job);
}

static void
free_agent (void *ptr)
{
  agent_t *agent = ptr;

  g_free (agent->name);
  g_free (agent->address);
  g_free (agent);
}

/* Returns a state without jobs. Freed with cb_batch_free. */
cb_batch_t *
cb_batch_new (const cb_batch_params_t *params)
{
  cb_batch_t *b = g_new0 (cb_batch_t, 1);

  b->params = *params;
  b->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  b->canceled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->workers = workers_table_new ();
  b->changed_workers = g_ptr_array_new ();
  b->workers_of_agent = workers_of_agent_new ();
  b->ended_workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->command_epochs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->lost_run_workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->agents = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_agent);
  b->run_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->speeds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->fleet = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cb_msg_free);
  b->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->scheduler = g_strdup ("");
  b->interference = interference_new ();
  g_queue_init (&b->job_list);
  g_queue_init (&b->records);
  return b;
}

void
cb_batch_free (cb_batch_t *b)
{
  if (b == NULL)
    return;
  g_queue_clear_full (&b->records, cb_msg_free);
  cb_msg_free (b->begun_record);
  g_queue_clear (&b->job_list);
  cb_batch_advice_request_free (b->advice_request);
  g_hash_table_unref (b->jobs);
  g_hash_table_unref (b->canceled);
  g_ptr_array_free (b->changed_workers, TRUE);
  g_hash_table_unref (b->workers_of_agent);
  g_hash_table_unref (b->ended_workers);
  g_hash_table_unref (b->command_epochs);
  g_hash_table_unref (b->lost_run_workers);
  g_hash_table_unref (b->workers);
  g_hash_table_unref (b->agents);
  g_hash_table_unref (b->run_times);
  g_hash_table_unref (b->speeds);
  g_hash_table_unref (b->fleet);
  g_hash_table_unref (b->evacuated);
  interference_free (b->interference);
  cb_batch_config_unref (b->config);
  g_free (b->scheduler);
  g_free (b);
}

/* Replaces the configuration, and takes a reference. Accepted jobs keep the parameters
   that they were accepted with. */
void
cb_batch_set_config (cb_batch_t *b, cb_batch_config_t *config)
{
  cb_batch_config_ref (config);
  cb_batch_config_unref (b->config);
  b->config = config;
  b->dirty = TRUE;
}

job_t *
find_job (const cb_batch_t *b, const char *id)
{
  return g_hash_table_lookup (b->jobs, id);
}

/* Returns the task of RUN, or NULL when there is none. */
task_t *
find_task (const cb_batch_t *b, const Cb__TaskRun *run)
{
  const job_t *job = run == NULL ? NULL : find_job (b, run->job);
  step_state_t *step;

  if (job == NULL || run->occurrence >= job->n_occurrences ||
      run->step >= job->spec->n_steps)
    return NULL;
  step = &job->occurrences[run->occurrence].steps[run->step];
  return run->index < step->count ? &step->tasks[run->index] : NULL;
}

const Cb__BatchStep *
task_spec (const task_t *task)
{
  return task->job->spec->steps[task->step];
}

step_state_t *
task_step (const task_t *task)
{
  return &task->job->occurrences[task->occurrence].steps[task->step];
}

/* TRUE while JOB has neither completed, failed nor been canceled. */
gboolean
job_open (const job_t *job)
{
  return job->ended_wall_ms == 0 && !job->canceled && !job->failed;
}

/* Returns the wall-clock time in ms from which an occurrence of a job with a schedule
   may start; 0 for other jobs. */
cb_msec_t
occurrence_due_ms (const job_t *job, uint32_t occurrence)
{
  if (job->spec->times == 0)
    return 0;
  return (cb_msec_t)(job->spec->start_at_ms + occurrence * job->spec->interval_ms);
}

/* TRUE when the tasks of STEP may run: the occurrence is due, and all steps that STEP
   depends on are done. */
gboolean
step_ready (const job_t *job, uint32_t occurrence, uint32_t step, cb_msec_t wall_ms)
{
  const Cb__BatchStep *spec = job->spec->steps[step];
  const occurrence_t *o = &job->occurrences[occurrence];

  if (wall_ms < occurrence_due_ms (job, occurrence))
    return FALSE;
  for (size_t i = 0; i < spec->n_after; i++)
    if (o->steps[spec->after[i]].done < o->steps[spec->after[i]].count)
      return FALSE;
  return TRUE;
}

/* Returns a message that identifies run number RUN of TASK. The caller frees it. */
Cb__TaskRun *
task_run_new (const task_t *task, uint32_t run)
{
  Cb__TaskRun *message = cb_msg_new (&cb__task_run__descriptor);

  cb_msg_set_string (&message->job, task->job->spec->id);
  message->occurrence = task->occurrence;
  message->step = task->step;
  message->index = task->index;
  message->run = run;
  return message;
}

/* Returns the number of tasks of SPEC over all steps and occurrences. */
uint64_t
count_tasks (const Cb__BatchJob *spec)
{
  uint64_t tasks = 0;

  for (size_t i = 0; i < spec->n_steps; i++)
    tasks += (uint64_t)spec->steps[i]->count * MAX (1, spec->times);
  return tasks;
}

/* Adds a job with all tasks waiting. SPEC is copied. */
job_t *
add_job (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms)
{
  job_t *job = g_new0 (job_t, 1);

  job->spec = (Cb__BatchJob *)cb_msg_copy (&spec->base);
  job->n_occurrences = MAX (1, spec->times);
  b->kept_tasks += count_tasks (spec);
  job->occurrences = g_new0 (occurrence_t, job->n_occurrences);
  job->applied_ms = now_ms;
  job->idle_since_ms = now_ms;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    {
      job->occurrences[k].steps = g_new0 (step_state_t, MAX (1, spec->n_steps));
      for (uint32_t i = 0; i < spec->n_steps; i++)
        {
          step_state_t *step = &job->occurrences[k].steps[i];

          step->count = spec->steps[i]->count;
          step->waiting = step->count;
          step->tasks = g_new0 (task_t, step->count);
          for (uint32_t t = 0; t < step->count; t++)
            step->tasks[t] =
                (task_t){ .job = job, .occurrence = k, .step = i, .index = t };
        }
    }
  g_hash_table_insert (b->jobs, job->spec->id, job);
  g_queue_push_tail (&b->job_list, job);
  return job;
}

/* Returns the epoch of the current scheduler; 0 when there has been none. */
uint64_t
cb_batch_epoch (const cb_batch_t *b)
{
  return b->epoch;
}

/* Returns the identity of the current scheduler; empty when there is none or it has
   resigned. */
const char *
cb_batch_scheduler (const cb_batch_t *b)
{
  return b->resigned ? "" : b->scheduler;
}

/* Returns the address for callers of the entry that is the scheduler, valid until the
   next record is applied; NULL when there is none or it is not registered. The identity
   of an entry's process is the name of the entry, '#', and its start time. */
const char *
cb_batch_scheduler_address (const cb_batch_t *b)
{
  const char *identity = cb_batch_scheduler (b);
  const char *end = strrchr (identity, '#');
  char *name = g_strndup (identity, end == NULL ? 0 : (gsize)(end - identity));
  const agent_t *entry = g_hash_table_lookup (b->agents, name);

  g_free (name);
  return entry == NULL || !entry->entry ? NULL : entry->address;
}

/* Returns the local time in ms at which the latest record of the current scheduler was
   applied; 0 when there is none or it has resigned. */
cb_msec_t
cb_batch_scheduler_seen_ms (const cb_batch_t *b)
{
  return b->resigned || b->epoch == 0 ? 0 : b->scheduler_seen_ms;
}

/* TRUE when the entry A should claim the scheduler's role before B: when it has more
   processor time, or else by a hash of the names. */
static gboolean
claims_before (const agent_t *a, const agent_t *b)
{
  if (a->cpu_milli != b->cpu_milli)
    return a->cpu_milli > b->cpu_milli;
  if (g_str_hash (a->name) != g_str_hash (b->name))
    return g_str_hash (a->name) < g_str_hash (b->name);
  return strcmp (a->name, b->name) < 0;
}

/* Returns the local time in ms at which the record was applied by which the scheduler
   resigned; 0 unless it has resigned. */
cb_msec_t
cb_batch_resigned_ms (const cb_batch_t *b)
{
  return b->resigned ? b->scheduler_seen_ms : 0;
}

/* TRUE when ENTRY has, or had last, the scheduler's role. The identity of an entry's
   process is the name of the entry, '#', and its start time. */
static gboolean
is_scheduler_entry (const cb_batch_t *b, const agent_t *entry)
{
  size_t len = strlen (entry->name);

  return strncmp (b->scheduler, entry->name, len) == 0 && b->scheduler[len] == '#';
}

/* Returns in RANK how many registered entries should claim the scheduler's role before
   the entry NAME; the present scheduler does not count, as it resigns or is silent when
   another entry claims. All entries that have applied the same records get the same
   order. Returns FALSE when the entry is not registered yet. */
gboolean
cb_batch_claim_rank (const cb_batch_t *b, const char *name, uint32_t *rank)
{
  const agent_t *own = g_hash_table_lookup (b->agents, name);
  GHashTableIter iter;
  gpointer value;

  *rank = 0;
  if (own == NULL || !own->entry)
    return FALSE;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *other = value;

      *rank +=
          other->entry && !is_scheduler_entry (b, other) && claims_before (other, own);
    }
  return TRUE;
}

/* Returns the number of registered entries. */
uint32_t
cb_batch_entry_count (const cb_batch_t *b)
{
  return b->entry_count;
}

/* Returns the status of a job by the applied records; CB_JOB_UNKNOWN when there is no
   such job. */
cb_job_status_t
cb_batch_job_status (const cb_batch_t *b, const char *id)
{
  const job_t *job = find_job (b, id);

  if (job == NULL)
    return CB_JOB_UNKNOWN;
  if (job->canceled)
    return CB_JOB_CANCELED;
  if (job->failed)
    return CB_JOB_FAILED;
  if (job->ended_wall_ms != 0)
    return CB_JOB_COMPLETED;
  return job->begun ? CB_JOB_RUNNING : CB_JOB_QUEUED;
}

/* Returns how many open jobs of QUEUE have no task that has begun. A start in the log
   does not count: its worker may refuse it. */
uint32_t
cb_batch_pending_jobs (const cb_batch_t *b, const char *queue)
{
  uint32_t count = 0;

  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      const job_t *job = l->data;

      count += job_open (job) && !job->begun && strcmp (job->spec->queue, queue) == 0;
    }
  return count;
}

static void
add_job_totals (const job_t *job, cb_batch_totals_t *totals)
{
  if (!job_open (job))
    return;
  totals->jobs++;
  totals->jobs_waiting += !job->begun;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        totals->tasks_waiting += job->occurrences[k].steps[i].waiting;
        totals->tasks_running += job->occurrences[k].steps[i].started;
      }
}

/* Fills TOTALS. The numbers of workers and accelerators are 0 unless this process is
   the scheduler. */
void
cb_batch_totals (const cb_batch_t *b, cb_batch_totals_t *totals)
{
  GHashTableIter iter;
  gpointer value;

  memset (totals, 0, sizeof *totals);
  totals->slow_workers = slow_worker_count (b);
  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    add_job_totals (l->data, totals);
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;

      if (!w->reporting || w->terminated)
        continue;
      totals->workers++;
      totals->accelerators += w->accelerators;
      totals->accelerators_used += (uint32_t)w->load.accelerators;
    }
}

static void
foreach_registered (const cb_batch_t *b, gboolean entry,
                    void (*fn) (void *ctx, const char *name, const char *address),
                    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;

      if (agent->entry == entry)
        fn (ctx, agent->name, agent->address);
    }
}

/* Calls FN for each registered agent with its ZeroMQ address. */
void
cb_batch_foreach_agent (const cb_batch_t *b,
                        void (*fn) (void *ctx, const char *name, const char *address),
                        void *ctx)
{
  foreach_registered (b, FALSE, fn, ctx);
}

/* Calls FN for each registered entry with the address that callers use. */
void
cb_batch_foreach_entry (const cb_batch_t *b,
                        void (*fn) (void *ctx, const char *name, const char *address),
                        void *ctx)
{
  foreach_registered (b, TRUE, fn, ctx);
}
