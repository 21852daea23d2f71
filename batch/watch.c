#include "batch/local.h"

/* A run whose progress has not changed for this long in ms stands still; reports come
   twice a second, and 1% of the shortest work takes 5 ms. Urgent work is moved at once,
   other work when it has not done much or keeps its progress. */
#define STALL_URGENT_MS 2500
#define STALL_MS 4500
#define STALL_PERCENT 50
/* The last percents say little: runs were seen to stay at 100 for seconds. */
#define STALL_LAST_PERCENT 95
/* Runs of a task that are stopped for standing still: a worker that reports no progress
   at all must not keep its work from ending. */
#define STALL_MOVES 1
/* A worker with a run that stands still is set aside for this long in ms. */
#define STALL_ASIDE_MS 4000

static void
end_all (cb_batch_t *b, worker_t *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED)
        propose_end (b, task, CB__RUN_END__RUN_LOST, task->live_saved);
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

static void
check_lease (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (w->lease_over_ms == 0)
    w->lease_over_ms = lease_over (b, now_ms);
  if (w->gone && (w->successor == NULL || now_ms >= w->lease_over_ms))
    {
      end_all (b, w);
      return;
    }
  if (w->gone || now_ms < w->lease_over_ms)
    return;
  if (w->listed || has_open_runs (w))
    cb_event (CB_LOG_WARN, "batch", "worker_lapsed",
              "worker=%s agent=%s silent_ms=%" PRId64 " runs=%u", w->id, w->agent,
              now_ms - w->report_ms, w->tasks->len);
  w->listed = FALSE;
  end_all (b, w);
}

/* Stops work that can save its progress shortly before its worker ends. */
static void
save_before_leaving (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  for (guint i = 0; w->draining && i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];
      cb_msec_t left_ms = w->drain_left_ms - (now_ms - w->report_ms);

      if (task->state == TASK_STARTED && task_spec (task)->saves &&
          left_ms < b->params.stop_ms * 2 && remaining_ms (b, task, now_ms) > left_ms)
        stop_task (b, task, now_ms, "draining");
    }
}

/* A gang of which a member did not start, or has ended, cannot become whole: the others
   are stopped before they have waited in vain. */
static void
stop_broken_gangs (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  for (guint i = 0; i < w->tasks->len; i++)
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
  cb_msec_t still_ms = now_ms - task->percent_ms;
  gboolean urgent = task->job->spec->priority == 0;

  if (task->state != TASK_STARTED || !task->seen || task->stop || task->proposed_end ||
      spec->daemon || task->percent == 0 || task->percent >= STALL_LAST_PERCENT ||
      still_ms < STALL_URGENT_MS)
    return;
  if (w->aside_until_ms < now_ms)
    cb_event (CB_LOG_WARN, "batch", "run_stalled",
              "job=%s task=%u.%u.%u run=%u worker=%s percent=%u still_ms=%" PRId64,
              task->job->spec->id, task->occurrence, task->step, task->index, task->run,
              w->id, task->percent, still_ms);
  w->aside_until_ms = MAX (w->aside_until_ms, now_ms + STALL_ASIDE_MS);
  if (task->stalls >= STALL_MOVES)
    return;
  if (urgent || (still_ms > STALL_MS && (spec->saves || task->percent < STALL_PERCENT)))
    {
      task->stalls++;
      stop_task (b, task, now_ms, "stalled");
    }
}

/* Looks for runs that stand still although their worker answers. */
static void
find_stalls (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (!w->listed || now_ms - w->report_ms > STALL_URGENT_MS / 4)
    return;
  for (guint i = 0; i < w->tasks->len; i++)
    check_progress (b, w, w->tasks->pdata[i], now_ms);
}

static void
stop_ended_jobs (cb_batch_t *b, cb_msec_t now_ms)
{
  for (GList *l = b->open.head; l != NULL; l = l->next)
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

static gboolean
has_predecessor (const cb_batch_t *b, const worker_t *w)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const worker_t *)value)->successor == w)
      return TRUE;
  return FALSE;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const worker_t *w = value;

  (void)key;
  return w->gone && w->tasks->len == 0 && !has_predecessor (data, w);
}

/* Ends runs whose worker is gone or whose lease is over, and stops those that cannot be
   of use any more where they run. */
void
watch_workers (cb_batch_t *b, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      check_lease (b, value, now_ms);
      save_before_leaving (b, value, now_ms);
      stop_broken_gangs (b, value, now_ms);
      find_stalls (b, value, now_ms);
    }
  g_hash_table_foreach_remove (b->workers, is_forgotten, b);
  stop_ended_jobs (b, now_ms);
}
