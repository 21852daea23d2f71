/* Start, stop, checkpoint and end of tasks. */
#include "gang/local.h"

#include <string.h>

/* Returns whether TASK holds its resources: it does until the worker has reported its
   end or the worker's lease has certainly ended. */
gboolean
cb_gang_task_holds_resources (const task_t *task)
{
  return task->info->state < CB__TASK_STATE__TASK_DONE;
}

/* Returns whether START has as many members on this instance as JOB has reserved. */
static gboolean
member_count_matches (const cb_gang_t *gang, const job_t *job, const Cb__Start *start)
{
  guint here = 0;

  for (size_t i = 0; i < start->n_members; i++)
    if (strcmp (start->members[i]->instance, gang->instance) == 0)
      here++;
  return here == job->tasks->len;
}

/* Starts the members of a job that are reserved here under EPOCH. A repeated start is
   answered with the present state; one without a matching reservation is refused. */
void
cb_gang_start (cb_gang_t *gang, const Cb__Start *start, uint64_t epoch,
               cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, start->account, start->job_key, start->attempt);

  if (job != NULL && (job->started || job->ended))
    {
      cb_gang_report_job (gang, job);
      return;
    }
  if (job == NULL || job->epoch != epoch || now_ms >= job->expires_ms ||
      !member_count_matches (gang, job, start))
    {
      cb_gang_report_refused_start (gang, start, epoch,
                                    job != NULL && job->epoch != epoch
                                        ? CB__REASON__STALE_EPOCH
                                        : CB__REASON__NOT_FOUND);
      return;
    }
  job->started = TRUE;
  job->start = (Cb__Start *)cb_msg_copy (&start->base);
  job->started_ms = now_ms;
  job->last_decision_ms = now_ms;
  job->lease_ms =
      start->gang_lease_ms > 0 ? start->gang_lease_ms : DEFAULT_GANG_LEASE_MS;
  if (cb_gang_is_leader (gang, job))
    {
      job->members = g_new0 (member_t, start->n_members);
      for (size_t i = 0; i < start->n_members; i++)
        job->members[i].last_heartbeat_ms = now_ms;
    }
  for (guint i = 0; i < job->tasks->len; i++)
    {
      task_t *task = job->tasks->pdata[i];

      task->info->state = CB__TASK_STATE__TASK_STARTING;
      task->worker_status_ms = now_ms;
      cb_gang_task_event (gang, "task_start", job, task);
      cb_gang_call_worker (gang, task, "start", now_ms);
    }
  cb_gang_report_job (gang, job);
  cb_gang_report_to_leader (gang, job, now_ms);
}

static gboolean
all_tasks_ended (const job_t *job)
{
  for (guint i = 0; i < job->tasks->len; i++)
    if (cb_gang_task_holds_resources (job->tasks->pdata[i]))
      return FALSE;
  return TRUE;
}

/* Records that TASK has ended in STATE, which releases its resources. */
void
cb_gang_end_task (cb_gang_t *gang, job_t *job, task_t *task, Cb__TaskState state,
                  Cb__Reason reason, cb_msec_t now_ms)
{
  if (!cb_gang_task_holds_resources (task))
    return;
  task->info->state = state;
  if (state == CB__TASK_STATE__TASK_DONE)
    task->info->reason = CB__REASON__REASON_NONE;
  else if (task->info->reason == CB__REASON__REASON_NONE)
    task->info->reason = reason;
  if (task->running_ms > 0)
    task->info->run_ms = (uint64_t)(now_ms - task->running_ms);
  if (job->started)
    cb_gang_task_event (gang, "task_end", job, task);
  if (all_tasks_ended (job))
    {
      job->ended = TRUE;
      job->expires_ms = now_ms + ENDED_JOB_RETENTION_MS;
    }
}

/* Makes the worker stop TASK and ends the renewal of its lease; a task that is only
   reserved ends at once. During a checkpoint MEMBER_LOST is ignored, because the
   members finish their checkpoints at different times: the first one that stops must
   not interrupt the others, which stop at checkpoint_end_ms at the latest. */
void
cb_gang_stop_task (cb_gang_t *gang, job_t *job, task_t *task, Cb__Reason reason,
                   cb_msec_t now_ms)
{
  if (!cb_gang_task_holds_resources (task) ||
      task->info->state == CB__TASK_STATE__TASK_STOPPING)
    return;
  if (reason == CB__REASON__MEMBER_LOST && now_ms < task->checkpoint_end_ms)
    return;
  if (task->info->state == CB__TASK_STATE__TASK_RESERVED)
    {
      cb_gang_end_task (gang, job, task, CB__TASK_STATE__TASK_STOPPED, reason, now_ms);
      return;
    }
  task->info->state = CB__TASK_STATE__TASK_STOPPING;
  task->info->reason = reason;
  task->checkpoint_end_ms = 0;
  cb_gang_call_worker (gang, task, "stop", now_ms);
}

/* Releases the reservation of JOB or stops all its members on this instance. Members
   that are stopping or have ended, and with MEMBER_LOST those that are saving a
   checkpoint, are left as they are. Sends reports in any case. */
void
cb_gang_stop_job (cb_gang_t *gang, job_t *job, Cb__Reason reason, cb_msec_t now_ms)
{
  for (guint i = 0; i < job->tasks->len; i++)
    cb_gang_stop_task (gang, job, job->tasks->pdata[i], reason, now_ms);
  job->stopped = TRUE;
  cb_gang_report_job (gang, job);
  cb_gang_report_to_leader (gang, job, now_ms);
}

/* Makes the worker save the state of JOB's running members on this instance and then
   stop them. Members that still run after GRACE_MS, limited to MAX_CHECKPOINT_MS, or
   don't run yet, are stopped without a checkpoint. */
void
cb_gang_checkpoint (cb_gang_t *gang, job_t *job, uint32_t grace_ms, cb_msec_t now_ms)
{
  for (guint i = 0; i < job->tasks->len; i++)
    {
      task_t *task = job->tasks->pdata[i];

      if (task->info->state == CB__TASK_STATE__TASK_RUNNING)
        {
          if (task->checkpoint_end_ms > 0)
            continue;
          task->checkpoint_end_ms = now_ms + CLAMP (grace_ms, 1, MAX_CHECKPOINT_MS);
          task->info->reason = CB__REASON__PREEMPTED;
          cb_gang_call_worker (gang, task, "checkpoint", now_ms);
        }
      else
        cb_gang_stop_task (gang, job, task, CB__REASON__PREEMPTED, now_ms);
    }
  cb_gang_report_job (gang, job);
}
