/* Periodic checks of workers, leases and the progress of runs. */
#include "batch/local.h"

/* A run is stalled when its progress has not changed for STALL_URGENT_MS; reports
   arrive twice a second, and 1% of the shortest work takes 5 ms. An urgent run is
   stopped then, to run on another worker; any other run after STALL_MS, if it saves its
   progress or has done less than STALL_MOVE_PERCENT of its work. */
#define STALL_URGENT_MS 2500
#define STALL_MS 4500
#define STALL_MOVE_PERCENT 50
/* Runs are not checked from this progress on: some stay at 100 for seconds. */
#define STALL_CHECK_END_PERCENT 95
/* Maximum number of runs of a task that are stopped as stalled. The limit lets a task
   end whose worker reports no progress at all. */
#define STALL_STOPS_MAX 1
/* The progress of a worker's runs changes only with its reports, so that they need not
   be checked in each turn of the scheduler. */
#define STALL_CHECK_MS 100
/* A worker with a stalled run gets no new work for this long. */
#define STALL_QUARANTINE_MS 4000

/* Proposes the end of all runs on W as lost for the reason WHY, with the latest
   reported checkpoints. */
static void
propose_all_lost (cb_batch_t *b, worker_t *w, const char *why)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED || task->proposed_end)
        continue;
      note_lost_run (b, w);
      propose_end (b, task, CB__RUN_END__RUN_LOST, task->reported_checkpoint, why);
    }
}

/* TRUE when W has runs whose ends are not proposed yet. */
static gboolean
has_open_runs (const worker_t *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED && !task->proposed_end)
        return TRUE;
    }
  return FALSE;
}

/* Returns when no run that was ordered for the terminated worker W can be executing any
   more: after the lease of its successor, too, which may have received the start. The
   lease of a process that has ended does not matter. That the agent reports a worker
   with another id does not show that W's process has ended. */
cb_msec_t
last_run_end_ms (const worker_t *w)
{
  const worker_t *successor = w->successor;
  cb_msec_t own_ms = w->ended ? 0 : w->lease_end_ms;

  return successor == NULL || successor->ended ? own_ms
                                               : MAX (own_ms, successor->lease_end_ms);
}

/* Proposes the ends of all runs on W as lost when W has terminated or its lease has
   expired. With a successor they are lost only after the leases, unless the successor
   reports how they ended, or that they are absent, before. */
static void
check_lease (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (w->lease_end_ms == 0)
    w->lease_end_ms = latest_lease_end (b, now_ms);
  if (w->terminated && now_ms >= last_run_end_ms (w))
    {
      propose_all_lost (b, w, "worker_gone");
      return;
    }
  if (w->terminated || now_ms < w->lease_end_ms)
    return;
  /* silent_ms: since its last report to this scheduler, or since this process became
     the scheduler. */
  if (w->reporting || has_open_runs (w))
    cb_event_unlimited (CB_LOG_WARN, "batch", "worker_lapsed",
                        "worker=%s born_ms=%" PRIu64 " agent=%s reported=%d "
                        "silent_ms=%" PRId64 " runs=%u epoch=%" PRIu64,
                        w->id, w->incarnation_ms, w->agent, w->clock_ms != 0,
                        now_ms - MAX (w->reported_ms, b->scheduler_since_ms),
                        w->tasks->len, b->own_epoch);
  w->reporting = FALSE;
  propose_all_lost (b, w, "lease_over");
}

/* Shortly before a draining worker shuts down, stops the runs that save their progress
   and would not end in time. */
static void
checkpoint_before_shutdown (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  for (guint i = 0; w->draining && i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];
      cb_msec_t left_ms = w->drain_left_ms - (now_ms - w->reported_ms);

      if (task->state == TASK_STARTED && task_spec (task)->saves &&
          left_ms < b->params.stop_ms * 2 && remaining_ms (b, task, now_ms) > left_ms)
        stop_task (b, task, now_ms, "draining");
    }
}

/* Stops the members of a gang when one of them did not start or has ended: the gang
   cannot become complete any more. */
static void
stop_broken_gangs (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  for (guint i = 0; w->load.gang_tasks > 0 && i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];
      const step_state_t *step = task_step (task);

      if (task->state == TASK_STARTED && task_spec (task)->gang &&
          step->started < step->count)
        stop_task (b, task, now_ms, "gang_broken");
    }
}

static void
check_progress (cb_batch_t *b, worker_t *w, task_t *task, cb_msec_t now_ms)
{
  const Cb__BatchStep *spec = task_spec (task);
  cb_msec_t stalled_ms = now_ms - task->progress_ms;
  gboolean urgent = task->job->spec->priority == 0;

  if (task->state != TASK_STARTED || !task->reported || task->stop_requested ||
      task->proposed_end || spec->daemon || task->percent == 0 ||
      task->percent >= STALL_CHECK_END_PERCENT || stalled_ms < STALL_URGENT_MS)
    return;
  /* still_ms: time without progress. */
  if (w->quarantine_until_ms < now_ms)
    cb_event (CB_LOG_WARN, "batch", "run_stalled",
              "job=%s task=%u.%u.%u run=%u worker=%s percent=%u still_ms=%" PRId64,
              task->job->spec->id, task->occurrence, task->step, task->index, task->run,
              w->id, task->percent, stalled_ms);
  w->quarantine_until_ms = MAX (w->quarantine_until_ms, now_ms + STALL_QUARANTINE_MS);
  if (task->stall_stops >= STALL_STOPS_MAX)
    return;
  if (urgent ||
      (stalled_ms > STALL_MS && (spec->saves || task->percent < STALL_MOVE_PERCENT)))
    {
      task->stall_stops++;
      stop_task (b, task, now_ms, "stalled");
    }
}

/* Checks the progress of W's runs every STALL_CHECK_MS while the reports of W are
   fresh. Those that an incomplete list of ends does not show may have ended. */
static void
check_stalls (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (!w->reporting || w->ended_partial ||
      now_ms - w->reported_ms > STALL_URGENT_MS / 4 ||
      now_ms - w->stalls_checked_ms < STALL_CHECK_MS)
    return;
  w->stalls_checked_ms = now_ms;
  for (guint i = 0; i < w->tasks->len; i++)
    check_progress (b, w, w->tasks->pdata[i], now_ms);
}

static void
stop_ended_jobs (cb_batch_t *b, cb_msec_t now_ms)
{
  for (GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;

      if (job->open_runs == 0 || job_open (job))
        continue;
      for (uint32_t k = 0; k < job->n_occurrences; k++)
        for (size_t i = 0; i < job->spec->n_steps; i++)
          for (uint32_t t = 0; t < job->occurrences[k].steps[i].count; t++)
            stop_task (b, &job->occurrences[k].steps[i].tasks[t], now_ms,
                       job->canceled ? "canceled" : "job_failed");
    }
}

/* Ends runs whose worker has terminated or whose lease has expired, and stops runs that
   are of no use where they are. */
void
check_workers (cb_batch_t *b, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      check_lease (b, value, now_ms);
      check_grants (b, value, now_ms);
      stop_evacuated_starts (b, value, now_ms);
      checkpoint_before_shutdown (b, value, now_ms);
      stop_broken_gangs (b, value, now_ms);
      check_stalls (b, value, now_ms);
    }
  remove_terminated_workers (b);
  stop_ended_jobs (b, now_ms);
}
