/* Health of workers: a worker whose tasks fail is suspended for at least 30 s; a worker
   that refuses a reservation or does not answer it is avoided for a second. */
#include "sched/local.h"

/* Length of the first suspension. Each further one is twice as long, up to
   SUSPEND_MAX_MS, until a task succeeds. */
#define SUSPEND_MIN_MS 30000
#define SUSPEND_MAX_MS 600000

/* Suspends W. The jobs about to start on W are stopped at the end of
   cb_sched_receive. */
static void
suspend_worker (cb_sched_t *s, worker_t *w, cb_msec_t now_ms)
{
  cb_msec_t time_ms = SUSPEND_MIN_MS;

  for (uint32_t i = 0; i < w->suspensions && time_ms < SUSPEND_MAX_MS; i++)
    time_ms *= 2;
  w->suspensions++;
  w->suspended_until_ms = now_ms + MIN (time_ms, SUSPEND_MAX_MS);
  health_set_timer (s, w->suspended_until_ms);
  for (uint32_t i = 0; i < HISTORY_SIZE; i++)
    w->history[i].job_serial = 0;
  cb_outq_count (&s->out, "carobrun_worker_suspended", NULL);
  pins_release_worker (s, w);
  worker_update_index (s, w);
  g_ptr_array_add (s->newly_suspended, w);
}

/* Records how a task of JOB ended on W and suspends W after too many failures. Only the
   latest outcome of each job counts, so that one faulty job can't suspend a worker. */
void
health_record_outcome (cb_sched_t *s, worker_t *w, job_t *job, gboolean failed,
                       cb_msec_t now_ms)
{
  uint32_t failures = 0;
  outcome_t *outcome = NULL;

  for (uint32_t i = 0; i < HISTORY_SIZE; i++)
    if (w->history[i].job_serial == job->serial)
      outcome = &w->history[i];
  if (outcome == NULL)
    outcome = &w->history[w->history_next++ % HISTORY_SIZE];
  outcome->job_serial = job->serial;
  outcome->failed = failed;
  if (!failed)
    w->suspensions = 0;
  for (uint32_t i = 0; i < HISTORY_SIZE; i++)
    failures += w->history[i].job_serial != 0 && w->history[i].failed;
  if (failed && failures >= HISTORY_FAILURES && w->suspended_until_ms <= now_ms)
    suspend_worker (s, w, now_ms);
}

/* Removes the outcomes of a job that failed on all workers it was tried on: the job is
   faulty, not the workers. */
void
health_remove_outcomes (cb_sched_t *s, const job_t *job)
{
  for (uint32_t i = 0; i < job->failed_worker_count; i++)
    {
      worker_t *w = s->workers->pdata[job->failed_workers[i]];

      for (uint32_t k = 0; k < HISTORY_SIZE; k++)
        if (w->history[k].job_serial == job->serial)
          w->history[k].job_serial = 0;
    }
}

/* Has health_tick check the workers at AT_MS or earlier. */
void
health_set_timer (cb_sched_t *s, cb_msec_t at_ms)
{
  if (s->health_due_ms == 0 || at_ms < s->health_due_ms)
    s->health_due_ms = at_ms;
}

/* Ends the suspension and the avoidance of W that have expired; sets the timer for the
   others. */
static void
end_expired (cb_sched_t *s, worker_t *w, cb_msec_t now_ms)
{
  gboolean changed = FALSE;

  if (w->suspended_until_ms != 0 && w->suspended_until_ms <= now_ms)
    {
      w->suspended_until_ms = 0;
      changed = TRUE;
    }
  if (w->avoid_until_ms != 0 && w->avoid_until_ms <= now_ms)
    {
      w->avoid_until_ms = 0;
      changed = TRUE;
    }
  if (w->suspended_until_ms != 0)
    health_set_timer (s, w->suspended_until_ms);
  if (w->avoid_until_ms != 0)
    health_set_timer (s, w->avoid_until_ms);
  if (changed)
    {
      worker_update_index (s, w);
      s->pins_dirty = TRUE;
    }
}

/* Returns workers to use whose suspension or avoidance has expired. */
void
health_tick (cb_sched_t *s, cb_msec_t now_ms)
{
  if (s->health_due_ms == 0 || now_ms < s->health_due_ms)
    return;
  s->health_due_ms = 0;
  for (uint32_t i = 0; i < s->workers->len; i++)
    end_expired (s, s->workers->pdata[i], now_ms);
}
