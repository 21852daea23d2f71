/* Applies the records of the `batch` log stream to the state. */
#include "batch/local.h"

#include <string.h>

/* A task whose start was rejected is placed again after this time, so that a worker
   that rejects everything does not flood the log. One that refuses starts as unhealthy
   is not used for a while, see trust.c. */
#define REJECTED_RETRY_MS 250

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
end_job_if_completed (job_t *job, cb_msec_t wall_ms)
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

/* Removes jobs that ended more than params.job_retention_ms ago, unless a run of theirs
   has not ended yet, and cancellations of unknown jobs of that age. */
static void
remove_expired_jobs (cb_batch_t *b, cb_msec_t wall_ms)
{
  GList *link = b->job_list.head;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->canceled);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (wall_ms - *(const cb_msec_t *)value > b->params.job_retention_ms)
      g_hash_table_iter_remove (&iter);
  while (link != NULL)
    {
      GList *next = link->next;
      job_t *job = link->data;

      if (job->ended_wall_ms != 0 && job->open_runs == 0 &&
          wall_ms - job->ended_wall_ms > b->params.job_retention_ms)
        {
          g_queue_delete_link (&b->job_list, link);
          b->kept_tasks -= count_tasks (job->spec);
          g_hash_table_remove (b->jobs, job->spec->id);
        }
      link = next;
    }
}

static void
apply_submit (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms,
              cb_msec_t wall_ms)
{
  job_t *job;

  if (find_job (b, spec->id) != NULL)
    return;
  if (check_steps (spec) < 0)
    {
      cb_event (CB_LOG_WARN, "batch", "job_invalid", "job=%s steps=%zu", spec->id,
                spec->n_steps);
      return;
    }
  remove_expired_jobs (b, wall_ms);
  job = add_job (b, spec, now_ms);
  if (g_hash_table_remove (b->canceled, spec->id))
    {
      job->canceled = TRUE;
      job->ended_wall_ms = wall_ms;
      cb_event (CB_LOG_INFO, "batch", "submitted_after_cancel", "job=%s", spec->id);
    }
  b->dirty = TRUE;
}

/* Notes that job ID, which is not known, was canceled at WALL_MS: a submission that the
   log takes only later does not run. */
void
note_canceled (cb_batch_t *b, const char *id, cb_msec_t wall_ms)
{
  cb_msec_t *canceled_ms = g_new (cb_msec_t, 1);

  *canceled_ms = wall_ms;
  g_hash_table_replace (b->canceled, g_strdup (id), canceled_ms);
}

static void
apply_cancel (cb_batch_t *b, const Cb__BatchCancel *cancel, cb_msec_t wall_ms)
{
  job_t *job = find_job (b, cancel->job);

  if (job == NULL)
    {
      remove_expired_jobs (b, wall_ms);
      note_canceled (b, cancel->job, wall_ms);
      return;
    }
  if (!job_open (job))
    return;
  job->canceled = TRUE;
  job->ended_wall_ms = wall_ms;
  b->dirty = TRUE;
}

/* Applies a claim, by which an entry becomes the scheduler. A claim is valid if it
   replaces the current epoch. The new epoch is the offset of the claim plus 1, so that
   it is never 0. */
static void
apply_claim (cb_batch_t *b, uint64_t offset, const Cb__BatchClaim *claim,
             cb_msec_t now_ms)
{
  if (claim->replaces_epoch != b->epoch)
    return;
  note_grants_of_predecessor (b, now_ms);
  b->epoch = offset + 1;
  b->lease_number = 0;
  b->scheduler_clock_ms = 0;
  b->resigned = FALSE;
  b->scheduler_seen_ms = now_ms;
  g_free (b->scheduler);
  b->scheduler = g_strdup (claim->entry);
  if (b->own_epoch != 0 && b->own_epoch != b->epoch)
    cb_batch_set_own_epoch (b, 0, now_ms);
}

/* Marks the scheduler as resigned when its entry has restarted, so that another entry
   can claim the role at once: the new process is not the scheduler. The identity of an
   entry's process is the name of the entry, '#', and its start time. */
static void
check_restart (cb_batch_t *b, const Cb__BatchAgent *message, cb_msec_t now_ms)
{
  size_t len = strlen (message->name);

  if (!message->entry || message->identity[0] == '\0' || b->resigned ||
      strcmp (message->identity, b->scheduler) == 0 ||
      strncmp (b->scheduler, message->name, len) != 0 || b->scheduler[len] != '#')
    return;
  /* now: identity of the new process. */
  cb_event_unlimited (CB_LOG_INFO, "batch", "scheduler_restarted",
                      "scheduler=%s now=%s epoch=%" PRIu64, b->scheduler,
                      message->identity, b->epoch);
  b->resigned = TRUE;
  /* A process that had read the scheduler's claim is a later one. The registration of
     an earlier one may be stored late, while the scheduler goes on. */
  note_grants_end (b, message->read_epoch >= b->epoch, now_ms);
}

static void
apply_agent (cb_batch_t *b, const Cb__BatchAgent *message, cb_msec_t now_ms)
{
  agent_t *agent = g_hash_table_lookup (b->agents, message->name);

  check_restart (b, message, now_ms);
  if (agent == NULL)
    {
      agent = g_new0 (agent_t, 1);
      agent->name = g_strdup (message->name);
      g_hash_table_insert (b->agents, agent->name, agent);
    }
  g_free (agent->address);
  agent->address = g_strdup (message->address);
  b->entry_count += (message->entry != 0) - (agent->entry != 0);
  agent->entry = message->entry;
  agent->cpu_milli = message->cpu_milli;
}

/* Records how long JOB waited for its first run. Only the scheduler does so, so that
   each job counts once in the sum over all entries. For a job from a snapshot the time
   starts when it was loaded. */
static void
observe_wait (const cb_batch_t *b, const job_t *job, cb_msec_t now_ms)
{
  char *label;

  if (job->started || b->own_epoch == 0 || b->params.counters == NULL)
    return;
  label = g_strdup_printf ("priority=\"%u\"", job->spec->priority);
  cb_counters_observe (b->params.counters, "job_wait_duration_ms", label,
                       now_ms - job->applied_ms);
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
  task->started_clock_ms = b->record_clock_ms;
  task->started_epoch = b->epoch;
  task->remote = start->remote;
  task->reported = FALSE;
  task->stop_requested = FALSE;
  task->proposed_end = FALSE;
  task->percent = 0;
  task->progress_ms = now_ms;
  task->ending_since_ms = 0;
  observe_wait (b, task->job, now_ms);
  task->job->started = TRUE;
  attach_task (get_worker (b, start->worker, start->born_ms, start->agent), task);
  note_address (task->worker, start->address);
  interference_run_started (b, task);
  /* A process that did not know that the worker gets no leases, as it had no runs, may
     grant it some with this one. */
  task->worker->leases_stopped = FALSE;
  change_commands (b, task->worker);
}

static void
apply_moved (const cb_batch_t *b, const Cb__BatchMoved *moved)
{
  worker_t *w = find_worker (b, moved->worker, moved->born_ms);

  if (w != NULL)
    note_moved (w);
}

static void
finish_gang (cb_batch_t *b, step_state_t *step)
{
  for (uint32_t t = 0; t < step->count; t++)
    {
      task_t *task = &step->tasks[t];

      if (task->state == TASK_DONE)
        continue;
      if (task->worker != NULL)
        change_commands (b, task->worker);
      interference_run_ended (b, task, CB__RUN_END__RUN_BROKEN);
      detach_task (task);
      task->proposed_start = FALSE;
      forget_refused_end (task);
      set_state (task, TASK_DONE);
    }
}

/* Counts a failed run of TASK, and fails the job when the task, or its gang, has failed
   as many runs as the queue allows (attempts). A failed run of a gang counts once,
   whichever member reports it. Failed runs of daemon tasks are not counted. */
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

/* Logs an end that the log has taken: only the scheduler does so, once for all
   entries. */
static void
log_stored_end (const cb_batch_t *b, const task_t *task, const Cb__TaskEnd *end,
                uint64_t offset)
{
  if (b->own_epoch == 0)
    return;
  cb_event (CB_LOG_INFO, "batch", "run_end_stored",
            "job=%s task=%u.%u.%u run=%u how=%s worker=%s offset=%" PRIu64
            " epoch=%" PRIu64,
            task->job->spec->id, task->occurrence, task->step, task->index, task->run,
            cb_enum_text (&cb__run_end__descriptor, (int)end->how), task->worker->id,
            offset, b->epoch);
}

/* Notes that a task of each of these jobs has begun. */
static void
apply_begun (const cb_batch_t *b, const Cb__BatchBegun *begun)
{
  for (size_t i = 0; i < begun->n_jobs; i++)
    {
      job_t *job = find_job (b, begun->jobs[i]);

      if (job != NULL)
        job->begun = TRUE;
    }
}

/* TRUE when a run that ended by HOW has begun. One that was stopped or lost may have
   ended before it began. */
gboolean
shows_begin (Cb__RunEnd how)
{
  return how != CB__RUN_END__RUN_REJECTED && how != CB__RUN_END__RUN_STOPPED &&
         how != CB__RUN_END__RUN_LOST;
}

static void
apply_end (cb_batch_t *b, uint64_t offset, const Cb__TaskEnd *end, cb_msec_t now_ms,
           cb_msec_t wall_ms)
{
  task_t *task = find_task (b, end->run);
  gboolean unhealthy;

  if (task == NULL || task->state != TASK_STARTED || task->run != end->run->run)
    return;
  unhealthy = task->worker->refusals > 0;
  log_stored_end (b, task, end, offset);
  learn_run_end (b, task, end->how, now_ms);
  interference_run_ended (b, task, end->how);
  task->job->begun = task->job->begun || shows_begin (end->how);
  if (end->saved[0] != '\0')
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (end->saved);
    }
  detach_task (task);
  task->proposed_end = FALSE;
  forget_refused_end (task);
  set_state (task, TASK_WAITING);
  if (end->how == CB__RUN_END__RUN_DONE && !task_spec (task)->daemon)
    {
      set_state (task, TASK_DONE);
      if (task_spec (task)->gang)
        finish_gang (b, task_step (task));
      end_job_if_completed (task->job, wall_ms);
    }
  else if (end->how == CB__RUN_END__RUN_FAILED)
    count_failure (task, wall_ms);
  else if (end->how == CB__RUN_END__RUN_REJECTED)
    task->not_before_ms = now_ms + (unhealthy ? 0 : REJECTED_RETRY_MS);
  if (task->job->open_runs == 0)
    task->job->idle_since_ms = now_ms;
  b->dirty = TRUE;
}

static void
apply_ends (cb_batch_t *b, uint64_t offset, const Cb__BatchEnds *ends, cb_msec_t now_ms,
            cb_msec_t wall_ms)
{
  GHashTable *workers = g_hash_table_new (NULL, NULL); /* a set of worker_t */
  GHashTableIter iter;
  gpointer worker;

  for (size_t i = 0; i < ends->n_ends; i++)
    {
      const task_t *task = find_task (b, ends->ends[i]->run);
      worker_t *w = task == NULL ? NULL : task->worker;

      if (w != NULL && w->successor != NULL)
        w = w->successor;
      if (w != NULL && w->listed_ends->len > 0)
        g_hash_table_add (workers, w);
      apply_end (b, offset, ends->ends[i], now_ms, wall_ms);
    }
  g_hash_table_iter_init (&iter, workers);
  while (g_hash_table_iter_next (&iter, &worker, NULL))
    acknowledge_stored_ends (b, worker);
  g_hash_table_unref (workers);
}

static void
apply_heartbeat (cb_batch_t *b, const Cb__BatchBeat *heartbeat, cb_msec_t now_ms)
{
  b->resigned = heartbeat->resigns;
  if (b->resigned)
    note_grants_end (b, TRUE, now_ms);
  if (heartbeat->n_fleet == 0)
    return;
  g_hash_table_remove_all (b->fleet);
  for (size_t i = 0; i < heartbeat->n_fleet; i++)
    {
      Cb__FleetSums *fleet = (Cb__FleetSums *)cb_msg_copy (&heartbeat->fleet[i]->base);

      g_hash_table_replace (b->fleet, fleet->service, fleet);
    }
}

/* Applies the log record at OFFSET. A record with an epoch comes from a scheduler, and
   is ignored unless the epoch is current. Records are idempotent: applying one that was
   appended twice has no further effect. */
void
cb_batch_apply (cb_batch_t *b, uint64_t offset, const Cb__BatchRecord *record,
                cb_msec_t now_ms, cb_msec_t wall_ms)
{
  if (record->epoch != 0 && record->epoch != b->epoch)
    {
      cb_event (CB_LOG_INFO, "batch", "record_ignored",
                "offset=%" PRIu64 " epoch=%" PRIu64 " current=%" PRIu64, offset,
                record->epoch, b->epoch);
      return;
    }
  b->record_clock_ms = record->epoch != 0 ? record->clock_ms : 0;
  if (record->epoch != 0)
    {
      b->scheduler_seen_ms = now_ms;
      note_scheduler_clock (b, record->clock_ms);
    }
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
      apply_agent (b, record->agent, now_ms);
      return;
    case CB__BATCH_RECORD__BODY_STARTS:
      for (size_t i = 0; i < record->starts->n_starts; i++)
        apply_start (b, record->starts->starts[i], now_ms);
      return;
    case CB__BATCH_RECORD__BODY_ENDS:
      apply_ends (b, offset, record->ends, now_ms, wall_ms);
      return;
    case CB__BATCH_RECORD__BODY_MOVED:
      apply_moved (b, record->moved);
      return;
    case CB__BATCH_RECORD__BODY_BEGUN:
      apply_begun (b, record->begun);
      return;
    case CB__BATCH_RECORD__BODY_LEASES:
      apply_leases (b, offset, record->leases, now_ms);
      return;
    case CB__BATCH_RECORD__BODY_BEAT:
      apply_heartbeat (b, record->beat, now_ms);
      return;
    default:
      cb_event (CB_LOG_WARN, "batch", "record_unknown", "offset=%" G_GUINT64_FORMAT,
                offset);
    }
}
