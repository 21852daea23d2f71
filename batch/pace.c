#include "batch/local.h"

/* Tasks that fill are slowed down when the response times of a task that serves beside
   them are over its target: to a part at once, later to nothing. The platform bears 4 s
   over the target; its figure is for the last half second, and a pace takes 0.1 s. */
#define FIRST_CUT_PERCENT 25
#define CUT_EVERY_MS 900
/* They get more again, a step at a time, after response times were below this part of
   the target for a while. */
#define CALM_PART 0.8
#define CALM_MS 1500
#define RAISE_PERCENT 15

static gboolean
is_at_work (const task_t *task)
{
  return task->state == TASK_STARTED && task->seen && !task->stop &&
         !task->proposed_end;
}

/* Takes response times in W's newest report and decides what share of their work tasks
   that fill may do there. */
void
pace_worker (worker_t *w, cb_msec_t now_ms)
{
  gboolean over = FALSE;
  gboolean calm = TRUE;
  uint32_t before = w->fill_percent;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      uint32_t target_ms = task_spec (task)->target_ms;

      if (target_ms == 0 || !is_at_work (task))
        continue;
      over = over || task->latency_ms > target_ms;
      calm = calm && task->latency_ms < CALM_PART * target_ms;
    }
  if (!calm)
    w->calm_since_ms = now_ms;
  if (over && now_ms - w->paced_ms >= CUT_EVERY_MS)
    w->fill_percent = w->fill_percent > FIRST_CUT_PERCENT ? FIRST_CUT_PERCENT : 0;
  else if (now_ms - MAX (w->calm_since_ms, w->paced_ms) >= CALM_MS)
    w->fill_percent = MIN (FULL_PERCENT, w->fill_percent + RAISE_PERCENT);
  if (w->fill_percent == before)
    return;
  w->paced_ms = now_ms;
  w->orders_changed = TRUE;
  cb_event (CB_LOG_INFO, "batch", "fill_pace",
            "worker=%s percent=%u before=%u over=%d report_age_ms=%" PRId64, w->id,
            w->fill_percent, before, over, now_ms - w->report_ms);
}

/* Adds the pace of all tasks that fill on W to ORDERS. */
void
pace_orders (const worker_t *w, Cb__WorkerOrders *orders)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      Cb__TaskPace *pace;

      if (!task_spec (task)->fills || !is_at_work (task))
        continue;
      pace = cb_msg_new (&cb__task_pace__descriptor);
      pace->run = task_run_new (task, task->run);
      pace->percent = w->fill_percent;
      cb_msg_append ((void ***)&orders->paces, &orders->n_paces, pace);
    }
}
