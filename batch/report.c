#include "batch/local.h"

#include <string.h>

/* Returns when a lease that was granted at GRANTED_MS is over for sure. */
cb_msec_t
lease_over (const cb_batch_t *b, cb_msec_t granted_ms)
{
  return granted_ms + (cb_msec_t)((double)b->params.hold_max_ms * LEASE_SLACK) +
         LEASE_MARGIN_MS;
}

/* Another life of the worker, or another worker, is at the agent now: what ran in the
   earlier one is over. A start that was sent to an earlier life under the same id may
   be carried out by the new one, which is told to stop it first. */
static void
replace_workers (cb_batch_t *b, const char *agent, worker_t *current)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (w == current || strcmp (w->agent, agent) != 0)
        continue;
      if (strcmp (w->id, current->id) == 0)
        {
          current->orders_changed = current->orders_changed || w->successor != current;
          w->successor = current;
        }
      if (w->gone)
        continue;
      w->gone = TRUE;
      cb_event_always (CB_LOG_INFO, "batch", "worker_gone",
                       "worker=%s born_ms=%" PRIu64 " agent=%s why=replaced runs=%u",
                       w->id, w->born_ms, agent, w->tasks->len);
    }
}

static void
copy_text (char **field, const char *value)
{
  if (strcmp (*field, value) == 0)
    return;
  g_free (*field);
  *field = g_strdup (value);
}

static void
take_description (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report)
{
  if (w->draining != report->draining)
    cb_event_always (CB_LOG_INFO, "batch", "worker_draining",
                     "worker=%s draining=%d left_ms=%" PRIu64, w->id, report->draining,
                     report->drain_left_ms);
  b->dirty = b->dirty || w->draining != report->draining;
  w->draining = report->draining;
  w->drain_left_ms = (cb_msec_t)report->drain_left_ms;
  w->cpu_milli = report->cpu_milli;
  w->memory_mb = report->memory_mb;
  w->accelerators = report->accelerators;
  copy_text (&w->service, report->service);
  copy_text (&w->zone, report->availability_zone);
  copy_text (&w->rack, report->n_labels > 1 ? report->labels[1] : "");
  g_strfreev (w->labels);
  w->labels = g_new0 (char *, report->n_labels + 1);
  for (size_t i = 0; i < report->n_labels; i++)
    w->labels[i] = g_strdup (report->labels[i]);
}

static gboolean
is_current (const task_t *task, const worker_t *w, const Cb__TaskRun *run)
{
  return task != NULL && task->state == TASK_STARTED && task->worker == w &&
         task->run == run->run;
}

static void
take_running (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report,
              cb_msec_t now_ms)
{
  g_ptr_array_set_size (w->strays, 0);
  for (size_t i = 0; i < report->n_running; i++)
    {
      const Cb__RunningTask *running = report->running[i];
      task_t *task = find_task (b, running->run);

      if (!is_current (task, w, running->run))
        {
          g_ptr_array_add (w->strays, cb_msg_copy (&running->run->base));
          w->orders_changed = TRUE;
          continue;
        }
      if (!task->seen)
        w->orders_changed = TRUE;
      task->seen = TRUE;
      if (task->percent != running->percent)
        task->percent_ms = now_ms;
      task->percent = running->percent;
      note_ending (b, task, now_ms);
      trust_progress (w, task, now_ms);
      task->latency_ms = task_spec (task)->target_ms > 0 ? running->usage : 0;
      if (running->saved[0] == '\0')
        continue;
      g_free (task->live_saved);
      task->live_saved = g_strdup (running->saved);
    }
}

/* Ends that are in the log may be forgotten by the worker, up to the first that is not.
 */
static void
take_ended (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report)
{
  gboolean settled = TRUE;
  uint64_t seen = w->last_seen;

  for (size_t i = 0; i < report->n_ended; i++)
    {
      const Cb__EndedTask *ended = report->ended[i];
      task_t *task = find_task (b, ended->run);

      if (is_current (task, w, ended->run))
        {
          settled = FALSE;
          propose_end (b, task, ended->how, ended->saved);
        }
      else if (settled)
        w->last_seen = MAX (w->last_seen, ended->number);
    }
  if (w->last_seen != seen)
    w->orders_changed = TRUE;
}

static void
take_refusals (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report)
{
  for (size_t i = 0; i < report->n_rejected; i++)
    {
      task_t *task = find_task (b, report->rejected[i]);

      if (is_current (task, w, report->rejected[i]) && !task->seen)
        propose_end (b, task, CB__RUN_END__RUN_REJECTED, NULL);
    }
  for (size_t i = 0; i < report->n_absent; i++)
    {
      task_t *task = find_task (b, report->absent[i]);

      if (is_current (task, w, report->absent[i]) && task->stop)
        propose_end (b, task, CB__RUN_END__RUN_STOPPED, task->live_saved);
      else if (task != NULL && task->worker != NULL && task->worker->successor == w &&
               is_current (task, task->worker, report->absent[i]))
        propose_end (b, task, CB__RUN_END__RUN_LOST, task->live_saved);
    }
}

/* Takes a report of the current epoch from AGENT. Lists that were already reported, of
   a worker that does not answer any more, do not count as a sign of life. */
void
cb_batch_report (cb_batch_t *b, const char *agent, const Cb__WorkerReport *report,
                 cb_msec_t now_ms)
{
  worker_t *w;

  if (b->own_epoch == 0 || report->worker[0] == '\0')
    return;
  w = get_worker (b, report->worker, report->born_ms, agent);
  if (w->gone)
    return;
  replace_workers (b, agent, w);
  take_description (b, w, report);
  if (report->clock_ms > w->clock_ms)
    {
      b->dirty = b->dirty || !w->listed;
      if (!w->listed)
        cb_event_always (CB_LOG_INFO, "batch", "worker_listed",
                         "worker=%s agent=%s rack=%s cpu_milli=%u accelerators=%u "
                         "running=%zu ended=%zu",
                         w->id, agent, w->rack, w->cpu_milli, w->accelerators,
                         report->n_running, report->n_ended);
      /* Otherwise one that returns after its lease would be taken as silent again
         before it can get a new one. */
      if (!w->listed)
        w->lease_over_ms = MAX (w->lease_over_ms, lease_over (b, now_ms));
      w->listed = TRUE;
      w->clock_ms = report->clock_ms;
      w->report_ms = now_ms;
      take_running (b, w, report, now_ms);
      take_ended (b, w, report);
      take_refusals (b, w, report);
      pace_worker (w, now_ms);
    }
  if (report->left)
    {
      w->gone = TRUE;
      cb_event_always (CB_LOG_INFO, "batch", "worker_gone",
                       "worker=%s born_ms=%" PRIu64 " agent=%s why=left runs=%u", w->id,
                       w->born_ms, agent, w->tasks->len);
    }
}
