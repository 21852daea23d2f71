/* Gangs that run faster on one rack than on several: how long they wait for one. A gang
   waits only while a rack is expected to have room early enough that it, or the other
   work that its longer run delays, ends sooner; in all for no longer than that gain. */
#include "batch/local.h"

/* A job that runs nothing for this long, while less than half of the fleet is in use
   and has room for it twice over, waits for no rack any more. The users bound the time
   without a run on such a fleet at 3 s. */
#define IDLE_RACK_WAIT_MS 2000

/* On a fleet that is mostly in use, what the run of a gang takes longer is taken from
   other work, of the same size altogether: it counts for both. */
#define BUSY_EXTRA_FACTOR 2

/* Returns what a run of TASK's gang takes longer on several racks than on one. */
static cb_msec_t
extra_run_ms (const pass_t *pass, const task_t *task)
{
  double factor = pass->b->params.remote_slowdown - 1;

  return (cb_msec_t)(MAX (0, factor) *
                     (double)cautious_task_ms (pass->b, task->job->spec, task->step));
}

/* Notes that TASK's gang could start over several racks from now on. A new scheduler
   assumes that it has waited since its job last ran, so that the wait does not begin
   anew with each one. */
void
note_rack_wait (const pass_t *pass, const task_t *task)
{
  cb_msec_t *since_ms = &task_step (task)->rack_wait_since_ms;
  const job_t *job = task->job;

  if (*since_ms == 0)
    *since_ms = job->open_runs == 0 && job->idle_since_ms < pass->b->scheduler_since_ms
                    ? job->idle_since_ms
                    : pass->now_ms;
}

/* Returns until when TASK's gang may wait for a rack, although several could hold it:
   counted from when they first could. IDLE: the job runs nothing on a fleet that has
   room twice over. */
cb_msec_t
rack_deadline_ms (const pass_t *pass, const task_t *task, gboolean idle)
{
  cb_msec_t since_ms = task_step (task)->rack_wait_since_ms;
  cb_msec_t extra_ms =
      extra_run_ms (pass, task) * (pass->mostly_idle ? 1 : BUSY_EXTRA_FACTOR);
  cb_msec_t deadline_ms = (since_ms > 0 ? since_ms : pass->now_ms) + extra_ms;

  return idle ? MIN (deadline_ms, task->job->idle_since_ms + IDLE_RACK_WAIT_MS)
              : deadline_ms;
}

/* TRUE when one rack is expected to hold COUNT TASKS of a gang until DEADLINE_MS, by
   what ends there, by decisions of the advisor that are still to come or, for a
   guarantee, by the preemption that it may soon ask for; also when the pass may look at
   no more workers. A guarantee that may preempt already has found no rack and waits no
   longer. */
gboolean
is_rack_expected (pass_t *pass, task_t **tasks, uint32_t count, gboolean guaranteed,
                  cb_msec_t deadline_ms)
{
  const worker_t **chosen;
  double wait_ms;

  if (pass->now_ms >= deadline_ms || preempts_equals (pass, tasks[0]->job, guaranteed))
    return FALSE;
  if (pass->reservation_budget <= 0 ||
      advice_incomplete (pass->capacities, tasks[0], TRUE) ||
      (guaranteed && could_preempt_equals (pass, tasks, count, SCOPE_RACK)))
    return TRUE;
  chosen = g_new0 (const worker_t *, count);
  wait_ms = expected_room_ms (pass, tasks, count, SCOPE_RACK, chosen);
  g_free (chosen);
  return wait_ms >= 0 && (double)pass->now_ms + wait_ms <= (double)deadline_ms;
}

/* Logs that COUNT TASKS of a gang start on CHOSEN, in several racks. */
void
log_spread (const pass_t *pass, task_t **tasks, capacity_t **chosen, uint32_t count)
{
  const task_t *task = tasks[0];
  const job_t *job = task->job;
  cb_msec_t since_ms = task_step (task)->rack_wait_since_ms;
  uint32_t others = 0;

  for (uint32_t i = 1; i < count; i++)
    others += g_strcmp0 (chosen[i]->worker->rack, chosen[0]->worker->rack) != 0;
  /* others: members in another rack than the first; extra_ms: what the run takes
     longer. */
  cb_event (CB_LOG_INFO, "batch", "gang_spread",
            "job=%s task=%u.%u priority=%u tasks=%u others=%u waited_ms=%" PRId64
            " extra_ms=%" PRId64 " epoch=%" PRIu64,
            job->spec->id, task->occurrence, task->step, job->spec->priority, count,
            others, since_ms > 0 ? pass->now_ms - since_ms : 0,
            extra_run_ms (pass, task), pass->b->own_epoch);
}
