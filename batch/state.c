#include "batch/local.h"

#include <string.h>

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
              g_free (step->tasks[t].saved);
              g_free (step->tasks[t].live_saved);
            }
          g_free (step->tasks);
          advice_forget (step);
        }
      g_free (job->occurrences[k].steps);
    }
  g_free (job->occurrences);
  cb_msg_free (job->spec);
  g_free (job);
}

static void
free_worker (void *ptr)
{
  worker_t *w = ptr;

  g_free (w->id);
  g_free (w->agent);
  g_free (w->service);
  g_free (w->zone);
  g_free (w->rack);
  g_strfreev (w->labels);
  g_ptr_array_free (w->tasks, TRUE);
  g_ptr_array_free (w->strays, TRUE);
  g_free (w);
}

static void
free_agent (void *ptr)
{
  agent_t *agent = ptr;

  g_free (agent->name);
  g_free (agent->address);
  g_free (agent);
}

/* Creates an empty state. Freed with cb_batch_free. */
cb_batch_t *
cb_batch_new (const cb_batch_params_t *params)
{
  cb_batch_t *b = g_new0 (cb_batch_t, 1);

  b->params = *params;
  b->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  b->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_worker);
  b->agents = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_agent);
  b->learned = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->fleet = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cb_msg_free);
  b->scheduler = g_strdup ("");
  g_queue_init (&b->open);
  g_queue_init (&b->records);
  return b;
}

void
cb_batch_free (cb_batch_t *b)
{
  if (b == NULL)
    return;
  g_queue_clear_full (&b->records, cb_msg_free);
  g_queue_clear (&b->open);
  cb_batch_question_free (b->question);
  g_hash_table_unref (b->jobs);
  g_hash_table_unref (b->workers);
  g_hash_table_unref (b->agents);
  g_hash_table_unref (b->learned);
  g_hash_table_unref (b->fleet);
  cb_batch_config_unref (b->config);
  g_free (b->scheduler);
  g_free (b);
}

/* Replaces the configuration; takes a reference. Jobs keep what they were accepted
   with. */
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

/* Returns the task that RUN is of, or NULL when there is none. */
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

/* TRUE while the job has neither completed, failed nor been canceled. */
gboolean
job_open (const job_t *job)
{
  return job->ended_wall_ms == 0 && !job->canceled && !job->failed;
}

/* Returns when an occurrence of a job with times may start, by the wall clock; 0 for
   other jobs. */
cb_msec_t
occurrence_due_ms (const job_t *job, uint32_t occurrence)
{
  if (job->spec->times == 0)
    return 0;
  return (cb_msec_t)(job->spec->start_at_ms + occurrence * job->spec->interval_ms);
}

/* TRUE when the tasks of STEP may run: its start time has come and all tasks of the
   steps before it are done. */
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

/* Returns a message for run RUN of TASK. */
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

/* Returns the worker ID in its life that began at BORN_MS, creating it when unknown. */
worker_t *
get_worker (cb_batch_t *b, const char *id, uint64_t born_ms, const char *agent)
{
  char *key = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, id, born_ms);
  worker_t *w = g_hash_table_lookup (b->workers, key);

  if (w != NULL)
    {
      g_free (key);
      return w;
    }
  w = g_new0 (worker_t, 1);
  w->id = g_strdup (id);
  w->born_ms = born_ms;
  w->agent = g_strdup (agent);
  w->service = g_strdup ("");
  w->zone = g_strdup ("");
  w->rack = g_strdup ("");
  w->labels = g_new0 (char *, 1);
  w->tasks = g_ptr_array_new ();
  w->strays = g_ptr_array_new_with_free_func (cb_msg_free);
  w->fill_percent = FULL_PERCENT;
  g_hash_table_insert (b->workers, key, w);
  return w;
}

/* Counts TASK as using W until detach_task. */
void
attach_task (worker_t *w, task_t *task)
{
  if (task->worker != NULL)
    detach_task (task);
  task->worker = w;
  task->at = w->tasks->len;
  g_ptr_array_add (w->tasks, task);
}

void
detach_task (task_t *task)
{
  worker_t *w = task->worker;

  if (w == NULL)
    return;
  g_ptr_array_remove_index_fast (w->tasks, task->at);
  if (task->at < w->tasks->len)
    ((task_t *)w->tasks->pdata[task->at])->at = task->at;
  task->worker = NULL;
}

/* Adds a job whose tasks all wait. Returns NULL when it has no or too many tasks. */
job_t *
add_job (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms)
{
  job_t *job = g_new0 (job_t, 1);

  job->spec = (Cb__BatchJob *)cb_msg_copy (&spec->base);
  job->n_occurrences = MAX (1, spec->times);
  job->occurrences = g_new0 (occurrence_t, job->n_occurrences);
  job->folded_ms = now_ms;
  job->idle_ms = now_ms;
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
  g_queue_push_tail (&b->open, job);
  return job;
}

/* Returns the epoch of the current scheduler, 0: none yet. */
uint64_t
cb_batch_epoch (const cb_batch_t *b)
{
  return b->epoch;
}

/* Returns the name of the current scheduler; empty when there is none. */
const char *
cb_batch_scheduler (const cb_batch_t *b)
{
  return b->resigned ? "" : b->scheduler;
}

/* Returns the time of the scheduler's last record on the local clock; 0 when it has
   resigned or there is none. */
cb_msec_t
cb_batch_scheduler_seen_ms (const cb_batch_t *b)
{
  return b->resigned || b->epoch == 0 ? 0 : b->scheduler_seen_ms;
}

/* Returns how a job stands by the log, CB_JOB_UNKNOWN when there is none. */
cb_job_status_t
cb_batch_status (const cb_batch_t *b, const char *id)
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
  return job->started ? CB_JOB_RUNNING : CB_JOB_QUEUED;
}

/* Returns how many open jobs of QUEUE have not started a task. */
uint32_t
cb_batch_pending (const cb_batch_t *b, const char *queue)
{
  uint32_t count = 0;

  for (const GList *l = b->open.head; l != NULL; l = l->next)
    {
      const job_t *job = l->data;

      count += job_open (job) && !job->started && strcmp (job->spec->queue, queue) == 0;
    }
  return count;
}

static void
sum_job (const job_t *job, cb_batch_sums_t *sums)
{
  if (!job_open (job))
    return;
  sums->jobs++;
  sums->jobs_waiting += !job->started;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        sums->tasks_waiting += job->occurrences[k].steps[i].waiting;
        sums->tasks_running += job->occurrences[k].steps[i].started;
      }
}

/* Fills SUMS; workers are known at the scheduler only. */
void
cb_batch_sums (const cb_batch_t *b, cb_batch_sums_t *sums)
{
  GHashTableIter iter;
  gpointer value;

  memset (sums, 0, sizeof *sums);
  for (const GList *l = b->open.head; l != NULL; l = l->next)
    sum_job (l->data, sums);
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;

      if (!w->listed || w->gone)
        continue;
      sums->workers++;
      sums->accelerators += w->accelerators;
      for (guint i = 0; i < w->tasks->len; i++)
        sums->accelerators_used += task_spec (w->tasks->pdata[i])->accelerators;
    }
}

static void
each_process (const cb_batch_t *b, gboolean entries,
              void (*fn) (void *ctx, const char *name, const char *address), void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;

      if (agent->entry == entries)
        fn (ctx, agent->name, agent->address);
    }
}

/* Calls FN for each agent that has registered. */
void
cb_batch_each_agent (const cb_batch_t *b,
                     void (*fn) (void *ctx, const char *name, const char *address),
                     void *ctx)
{
  each_process (b, FALSE, fn, ctx);
}

/* Calls FN for each entry that has registered, with the address for callers. */
void
cb_batch_each_entry (const cb_batch_t *b,
                     void (*fn) (void *ctx, const char *name, const char *address),
                     void *ctx)
{
  each_process (b, TRUE, fn, ctx);
}
