#include "batch/local.h"

#include <string.h>

/* Pause in ms before a task whose start was rejected is placed again, so that a worker
   that refuses everything causes no storm of records. */
#define REJECTED_PAUSE_MS 250

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

/* TRUE when the tasks of STEP may run: its start time has come and all tasks of the
   steps before it are done. */
gboolean
step_ready (const job_t *job, uint32_t occurrence, uint32_t step, cb_msec_t wall_ms)
{
  const Cb__BatchStep *spec = job->spec->steps[step];
  const occurrence_t *o = &job->occurrences[occurrence];

  if (job->spec->times > 0 &&
      (uint64_t)wall_ms < job->spec->start_at_ms + occurrence * job->spec->interval_ms)
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
  w->slowness = 1;
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

static void
set_state (task_t *task, task_state_t state)
{
  step_state_t *step = task_step (task);

  step->waiting -= task->state == TASK_WAITING;
  step->started -= task->state == TASK_STARTED;
  step->done -= task->state == TASK_DONE;
  task->job->open_runs -= task->state == TASK_STARTED;
  task->state = state;
  step->waiting += state == TASK_WAITING;
  step->started += state == TASK_STARTED;
  step->done += state == TASK_DONE;
  task->job->open_runs += state == TASK_STARTED;
}

static void
check_completed (job_t *job, cb_msec_t wall_ms)
{
  if (!job_open (job))
    return;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        const step_state_t *step = &job->occurrences[k].steps[i];

        if (step->done < step->count)
          return;
      }
  job->ended_wall_ms = wall_ms;
}

/* Forgets ended jobs whose time of being known is over. */
static void
prune (cb_batch_t *b, cb_msec_t wall_ms)
{
  GList *link = b->open.head;

  while (link != NULL)
    {
      GList *next = link->next;
      job_t *job = link->data;

      if (job->ended_wall_ms != 0 && job->open_runs == 0 &&
          wall_ms - job->ended_wall_ms > b->params.status_ms)
        {
          g_queue_delete_link (&b->open, link);
          g_hash_table_remove (b->jobs, job->spec->id);
        }
      link = next;
    }
}

static void
apply_submit (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms,
              cb_msec_t wall_ms)
{
  if (find_job (b, spec->id) != NULL)
    return;
  prune (b, wall_ms);
  add_job (b, spec, now_ms);
  b->dirty = TRUE;
}

static void
apply_cancel (cb_batch_t *b, const Cb__BatchCancel *cancel, cb_msec_t wall_ms)
{
  job_t *job = find_job (b, cancel->job);

  if (job == NULL || !job_open (job))
    return;
  job->canceled = TRUE;
  job->ended_wall_ms = wall_ms;
  b->dirty = TRUE;
}

/* A claim is valid when it replaces the current epoch; its own epoch is the offset
   after it, so that it is never 0. */
static void
apply_claim (cb_batch_t *b, uint64_t offset, const Cb__BatchClaim *claim,
             cb_msec_t now_ms)
{
  if (claim->replaces_epoch != b->epoch)
    return;
  b->epoch = offset + 1;
  b->resigned = FALSE;
  b->scheduler_seen_ms = now_ms;
  g_free (b->scheduler);
  b->scheduler = g_strdup (claim->entry);
  if (b->own_epoch != 0 && b->own_epoch != b->epoch)
    cb_batch_lead (b, 0, now_ms);
}

static void
apply_agent (cb_batch_t *b, const Cb__BatchAgent *message)
{
  agent_t *agent = g_hash_table_lookup (b->agents, message->name);

  if (agent == NULL)
    {
      agent = g_new0 (agent_t, 1);
      agent->name = g_strdup (message->name);
      g_hash_table_insert (b->agents, agent->name, agent);
    }
  g_free (agent->address);
  agent->address = g_strdup (message->address);
  agent->entry = message->entry;
}

/* Counts how long JOB waited for its first run: by the scheduler only, so that the sum
   over all entries counts each job once. A job that was read from a snapshot has waited
   since then. */
static void
count_wait (const cb_batch_t *b, const job_t *job, cb_msec_t now_ms)
{
  char *label;

  if (job->started || b->own_epoch == 0 || b->params.counters == NULL)
    return;
  label = g_strdup_printf ("priority=\"%u\"", job->spec->priority);
  cb_counters_observe (b->params.counters, "job_wait_duration_ms", label,
                       now_ms - job->folded_ms);
  g_free (label);
}

static void
apply_start (cb_batch_t *b, const Cb__TaskStart *start, cb_msec_t now_ms)
{
  task_t *task = find_task (b, start->run);

  if (task == NULL)
    return;
  if (task->proposed_start)
    {
      task->proposed_start = FALSE;
      detach_task (task);
    }
  if (task->state != TASK_WAITING || start->run->run <= task->run ||
      !job_open (task->job))
    return;
  set_state (task, TASK_STARTED);
  task->run = start->run->run;
  task->started_ms = now_ms;
  task->seen = FALSE;
  task->stop = FALSE;
  task->proposed_end = FALSE;
  task->percent = 0;
  task->percent_ms = now_ms;
  count_wait (b, task->job, now_ms);
  task->job->started = TRUE;
  attach_task (get_worker (b, start->worker, start->born_ms, start->agent), task);
  task->worker->orders_changed = TRUE;
}

static void
finish_gang (step_state_t *step)
{
  for (uint32_t t = 0; t < step->count; t++)
    {
      task_t *task = &step->tasks[t];

      if (task->state == TASK_DONE)
        continue;
      if (task->worker != NULL)
        task->worker->orders_changed = TRUE;
      detach_task (task);
      task->proposed_start = FALSE;
      set_state (task, TASK_DONE);
    }
}

/* Counts a failed run: each of a task, one of a gang's members for all. */
static void
count_failure (task_t *task, cb_msec_t wall_ms)
{
  step_state_t *step = task_step (task);
  const Cb__BatchStep *spec = task_spec (task);
  uint32_t failures;

  if (spec->daemon)
    return;
  if (spec->gang)
    {
      if (step->gang_failed_run != task->run)
        step->gang_failures++;
      step->gang_failed_run = task->run;
      failures = step->gang_failures;
    }
  else
    failures = ++task->failures;
  if (failures < MAX (1, task->job->spec->attempts))
    return;
  set_state (task, TASK_FAILED);
  if (!job_open (task->job))
    return;
  task->job->failed = TRUE;
  task->job->ended_wall_ms = wall_ms;
}

static void
apply_end (cb_batch_t *b, const Cb__TaskEnd *end, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  task_t *task = find_task (b, end->run);
  worker_t *w;

  if (task == NULL || task->state != TASK_STARTED || task->run != end->run->run)
    return;
  w = task->worker;
  learn_end (b, task, end->how, now_ms);
  if (end->saved[0] != '\0')
    {
      g_free (task->saved);
      task->saved = g_strdup (end->saved);
    }
  detach_task (task);
  task->proposed_end = FALSE;
  w->orders_changed = TRUE;
  set_state (task, TASK_WAITING);
  if (end->how == CB__RUN_END__RUN_DONE && !task_spec (task)->daemon)
    {
      set_state (task, TASK_DONE);
      if (task_spec (task)->gang)
        finish_gang (task_step (task));
      check_completed (task->job, wall_ms);
    }
  else if (end->how == CB__RUN_END__RUN_FAILED)
    count_failure (task, wall_ms);
  else if (end->how == CB__RUN_END__RUN_REJECTED)
    task->not_before_ms = now_ms + REJECTED_PAUSE_MS;
  if (task->job->open_runs == 0)
    task->job->idle_ms = now_ms;
  b->dirty = TRUE;
}

static void
apply_beat (cb_batch_t *b, const Cb__BatchBeat *beat)
{
  b->resigned = beat->resigns;
  if (beat->n_fleet == 0)
    return;
  g_hash_table_remove_all (b->fleet);
  for (size_t i = 0; i < beat->n_fleet; i++)
    {
      Cb__FleetSums *sums = (Cb__FleetSums *)cb_msg_copy (&beat->fleet[i]->base);

      g_hash_table_replace (b->fleet, sums->service, sums);
    }
}

/* Applies the record at OFFSET. A scheduler's record counts only when it is of the
   current epoch. Records are idempotent: one that was appended twice has no second
   effect. */
void
cb_batch_apply (cb_batch_t *b, uint64_t offset, const Cb__BatchRecord *record,
                cb_msec_t now_ms, cb_msec_t wall_ms)
{
  if (record->epoch != 0 && record->epoch != b->epoch)
    return;
  if (record->epoch != 0)
    b->scheduler_seen_ms = now_ms;
  switch (record->body_case)
    {
    case CB__BATCH_RECORD__BODY_SUBMIT:
      apply_submit (b, record->submit, now_ms, wall_ms);
      return;
    case CB__BATCH_RECORD__BODY_CANCEL:
      apply_cancel (b, record->cancel, wall_ms);
      return;
    case CB__BATCH_RECORD__BODY_CLAIM:
      apply_claim (b, offset, record->claim, now_ms);
      return;
    case CB__BATCH_RECORD__BODY_AGENT:
      apply_agent (b, record->agent);
      return;
    case CB__BATCH_RECORD__BODY_STARTS:
      for (size_t i = 0; i < record->starts->n_starts; i++)
        apply_start (b, record->starts->starts[i], now_ms);
      return;
    case CB__BATCH_RECORD__BODY_ENDS:
      for (size_t i = 0; i < record->ends->n_ends; i++)
        apply_end (b, record->ends->ends[i], now_ms, wall_ms);
      return;
    case CB__BATCH_RECORD__BODY_BEAT:
      apply_beat (b, record->beat);
      return;
    default:
      cb_event (CB_LOG_WARN, "batch", "record_unknown", "offset=%" G_GUINT64_FORMAT,
                offset);
    }
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
