/* Limits the CPU share of filler tasks that slow down serving tasks. */
#include "batch/local.h"

/* Filler tasks are slowed down while the latency of a serving task on the same worker
   exceeds its target: first to FIRST_CUT_PERCENT, and CUT_INTERVAL_MS later to 0. The
   platform tolerates 4 s over the target. The latency it reports covers the last half
   second, and a new pace takes effect within 0.1 s. */
#define FIRST_CUT_PERCENT 25
#define CUT_INTERVAL_MS 900
/* The CPU share rises by RAISE_PERCENT each time that all latencies were below
   LATENCY_OK_SHARE of their targets for LATENCY_OK_MS. */
#define LATENCY_OK_SHARE 0.8
#define LATENCY_OK_MS 1500
#define RAISE_PERCENT 15

static gboolean
is_running (const task_t *task)
{
  return task->state == TASK_STARTED && task->reported && !task->stop_requested &&
         !task->proposed_end;
}

/* Sets the CPU share of the filler tasks on W by the latencies in its latest report. */
void
pace_update (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  gboolean over = FALSE;
  gboolean latency_ok = TRUE;
  uint32_t before = w->filler_percent;

  for (guint i = 0; w->load.serving_tasks > 0 && i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      uint32_t target_ms = task_spec (task)->target_ms;

      if (target_ms == 0 || !is_running (task))
        continue;
      over = over || task->latency_ms > target_ms;
      latency_ok = latency_ok && task->latency_ms < LATENCY_OK_SHARE * target_ms;
    }
  if (!latency_ok)
    w->latency_ok_since_ms = now_ms;
  if (over && now_ms - w->pace_changed_ms >= CUT_INTERVAL_MS)
    w->filler_percent = w->filler_percent > FIRST_CUT_PERCENT ? FIRST_CUT_PERCENT : 0;
  else if (now_ms - MAX (w->latency_ok_since_ms, w->pace_changed_ms) >= LATENCY_OK_MS)
    w->filler_percent = MIN (FULL_PERCENT, w->filler_percent + RAISE_PERCENT);
  if (w->filler_percent == before)
    return;
  w->pace_changed_ms = now_ms;
  change_commands (b, w);
  cb_event (CB_LOG_INFO, "batch", "fill_pace",
            "worker=%s percent=%u before=%u over=%d report_age_ms=%" PRId64, w->id,
            w->filler_percent, before, over, now_ms - w->reported_ms);
}

/* Adds the CPU share of each filler task on W to COMMANDS. */
void
pace_add_commands (const worker_t *w, Cb__WorkerOrders *commands)
{
  for (guint i = 0; w->load.filler_tasks > 0 && i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      Cb__TaskPace *pace;

      if (!task_spec (task)->fills || !is_running (task))
        continue;
      pace = cb_msg_new (&cb__task_pace__descriptor);
      pace->run = task_run_new (task, task->run);
      pace->percent = w->filler_percent;
      cb_msg_append ((void ***)&commands->paces, &commands->n_paces, pace);
    }
}
