/* Calls to the worker, which runs the tasks, and its status reports. */
#include "gang/local.h"

#include <string.h>

/* Queues ACTION for the worker. Any action but "stop" renews the worker's lease from
   the time when the worker receives the call: at the latest when the call times out,
   CB_WORKER_RENEW_MS from now. */
void
cb_gang_call_worker (cb_gang_t *gang, task_t *task, const char *action,
                     cb_msec_t now_ms)
{
  if (strcmp (action, "stop") != 0)
    task->worker_lease_end_ms = now_ms + CB_WORKER_RENEW_MS + CB_WORKER_LEASE_MS;
  task->next_call_ms = now_ms + CB_WORKER_RENEW_MS;
  cb_outq_call (&gang->out, action, 0, cb_msg_copy (&task->info->base));
}

static task_t *
find_task (const job_t *job, uint32_t member)
{
  for (guint i = 0; i < job->tasks->len; i++)
    if (((task_t *)job->tasks->pdata[i])->info->member == member)
      return job->tasks->pdata[i];
  return NULL;
}

static Cb__Reason
end_reason (Cb__TaskState state)
{
  return state == CB__TASK_STATE__TASK_FAILED ? CB__REASON__WORKER_FAILED
                                              : CB__REASON__REASON_NONE;
}

/* Handles a status of a task that the worker reports: running, done, failed or stopped.
   CHECKPOINTED: its state was saved before it stopped. */
void
cb_gang_handle_task_status (cb_gang_t *gang, const char *account, const char *job_key,
                            uint32_t attempt, uint32_t member, Cb__TaskState state,
                            gboolean checkpointed, cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, account, job_key, attempt);
  task_t *task = job == NULL ? NULL : find_task (job, member);

  if (task == NULL || !job->started || !cb_gang_task_holds_resources (task))
    return;
  task->worker_status_ms = now_ms;
  task->known_to_worker = TRUE;
  if (checkpointed)
    task->info->checkpointed = TRUE;
  if (state >= CB__TASK_STATE__TASK_DONE)
    cb_gang_end_task (gang, job, task, state, end_reason (state), now_ms);
  else if (state == CB__TASK_STATE__TASK_RUNNING &&
           task->info->state == CB__TASK_STATE__TASK_STARTING)
    {
      task->info->state = state;
      task->running_ms = now_ms;
      cb_gang_task_event (gang, "task_running", job, task);
    }
  else
    return;
  cb_gang_report_job (gang, job);
  cb_gang_report_to_leader (gang, job, now_ms);
  cb_gang_close_envelopes (gang);
}

/* Handles the worker's statement that it has no such task. It has ended if the worker
   had it before. Otherwise its start has not been answered and may still be carried
   out, so that the task is stopped and keeps its resources until the worker's lease has
   ended. */
void
cb_gang_handle_missing_task (cb_gang_t *gang, const char *account, const char *job_key,
                             uint32_t attempt, uint32_t member, cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, account, job_key, attempt);
  task_t *task = job == NULL ? NULL : find_task (job, member);
  gboolean stopping;

  if (task == NULL || !job->started || !cb_gang_task_holds_resources (task))
    return;
  stopping = task->info->state == CB__TASK_STATE__TASK_STOPPING;
  if (!task->known_to_worker && stopping)
    return;
  if (task->known_to_worker)
    cb_gang_end_task (gang, job, task,
                      stopping ? CB__TASK_STATE__TASK_STOPPED
                               : CB__TASK_STATE__TASK_FAILED,
                      CB__REASON__WORKER_FAILED, now_ms);
  else
    cb_gang_stop_task (gang, job, task, CB__REASON__WORKER_FAILED, now_ms);
  cb_gang_report_job (gang, job);
  cb_gang_report_to_leader (gang, job, now_ms);
  cb_gang_close_envelopes (gang);
}

/* Returns TRUE when the state of TASK has changed. */
static gboolean
tick_task (cb_gang_t *gang, job_t *job, task_t *task, cb_msec_t now_ms)
{
  if (task->info->state == CB__TASK_STATE__TASK_STOPPING)
    {
      if (now_ms >= task->worker_lease_end_ms)
        {
          cb_gang_end_task (gang, job, task, CB__TASK_STATE__TASK_STOPPED,
                            CB__REASON__WORKER_FAILED, now_ms);
          return TRUE;
        }
      if (now_ms >= task->next_call_ms)
        cb_gang_call_worker (gang, task, "stop", now_ms);
      return FALSE;
    }
  if (now_ms >= task->worker_status_ms + CB_WORKER_LEASE_MS)
    {
      cb_gang_stop_task (gang, job, task, CB__REASON__WORKER_FAILED, now_ms);
      return TRUE;
    }
  if (task->checkpoint_end_ms > 0 && now_ms >= task->checkpoint_end_ms)
    {
      cb_gang_stop_task (gang, job, task, CB__REASON__PREEMPTED, now_ms);
      return TRUE;
    }
  if (now_ms >= task->next_call_ms)
    cb_gang_call_worker (gang, task, "renew", now_ms);
  return FALSE;
}

/* Renews worker leases, repeats stops, stops tasks without a status of the worker for
   CB_WORKER_LEASE_MS or past the deadline of their checkpoint, and ends stopping tasks
   whose worker lease has ended. */
void
cb_gang_tick_tasks (cb_gang_t *gang, job_t *job, cb_msec_t now_ms)
{
  gboolean changed = FALSE;

  for (guint i = 0; i < job->tasks->len; i++)
    {
      task_t *task = job->tasks->pdata[i];

      if (job->started && cb_gang_task_holds_resources (task))
        changed |= tick_task (gang, job, task, now_ms);
    }
  if (!changed)
    return;
  cb_gang_report_job (gang, job);
  cb_gang_report_to_leader (gang, job, now_ms);
}

/* Call when the worker can't be reached: checks the leases of all tasks as cb_gang_tick
   does, without waiting for the next tick. */
void
cb_gang_worker_unreachable (cb_gang_t *gang, cb_msec_t now_ms)
{
  for (guint i = 0; i < gang->jobs->len; i++)
    cb_gang_tick_tasks (gang, gang->jobs->pdata[i], now_ms);
  cb_gang_close_envelopes (gang);
}
