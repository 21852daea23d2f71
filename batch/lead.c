#include "batch/local.h"

#include <string.h>

/* Longest pause between two placements in ms, when nothing has changed. */
#define PLACE_EVERY_MS 100
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
/* A worker with a run that stands still gets no new work for this long in ms while
   there is another. */
#define STALL_AVOID_MS 4000

static cb_msec_t
lease_over (const cb_batch_t *b, cb_msec_t granted_ms)
{
  return granted_ms + (cb_msec_t)((double)b->params.hold_max_ms * LEASE_SLACK) +
         LEASE_MARGIN_MS;
}

static void
reset_task (task_t *task)
{
  if (task->state != TASK_STARTED)
    detach_task (task);
  task->proposed_start = FALSE;
  task->proposed_end = FALSE;
  task->seen = FALSE;
  task->stop = FALSE;
  task->planned = NULL;
}

static void
reset_job (job_t *job)
{
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        step_state_t *step = &job->occurrences[k].steps[i];

        for (uint32_t t = 0; t < step->count; t++)
          reset_task (&step->tasks[t]);
      }
}

/* EPOCH above 0: this process is the scheduler from now on; no worker is used before
   its report. 0: it is not any more. What only a scheduler knows is forgotten. */
void
cb_batch_lead (cb_batch_t *b, uint64_t epoch, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  b->own_epoch = epoch;
  b->lead_ms = now_ms;
  b->dirty = TRUE;
  g_queue_clear_full (&b->records, cb_msg_free);
  for (GList *l = b->open.head; l != NULL; l = l->next)
    reset_job (l->data);
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      w->listed = FALSE;
      w->gone = FALSE;
      w->successor = NULL;
      w->clock_ms = 0;
      w->last_seen = 0;
      w->orders_changed = TRUE;
      w->lease_over_ms = lease_over (b, now_ms + TAKEOVER_GRANT_MS);
      g_ptr_array_set_size (w->strays, 0);
    }
}

/* Returns the record to which the next of its kind can be added. */
static Cb__BatchRecord *
open_record (cb_batch_t *b, Cb__BatchRecord__BodyCase body_case)
{
  Cb__BatchRecord *record = g_queue_peek_tail (&b->records);

  if (record != NULL && record->body_case == body_case)
    return record;
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->epoch = b->own_epoch;
  record->body_case = body_case;
  if (body_case == CB__BATCH_RECORD__BODY_ENDS)
    record->ends = cb_msg_new (&cb__batch_ends__descriptor);
  else
    record->starts = cb_msg_new (&cb__batch_starts__descriptor);
  g_queue_push_tail (&b->records, record);
  return record;
}

/* Queues a record that TASK's current run has ended. */
void
propose_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, const char *saved)
{
  Cb__BatchRecord *record;
  Cb__TaskEnd *end;

  if (task->proposed_end || b->own_epoch == 0)
    return;
  task->proposed_end = TRUE;
  record = open_record (b, CB__BATCH_RECORD__BODY_ENDS);
  end = cb_msg_new (&cb__task_end__descriptor);
  end->run = task_run_new (task, task->run);
  end->how = how;
  if (saved != NULL && saved[0] != '\0')
    cb_msg_set_string (&end->saved, saved);
  cb_msg_append ((void ***)&record->ends->ends, &record->ends->n_ends, end);
  cb_event (CB_LOG_INFO, "batch", "run_ended",
            "job=%s task=%u.%u.%u run=%u how=%s worker=%s percent=%u",
            task->job->spec->id, task->occurrence, task->step, task->index, task->run,
            cb_enum_text (&cb__run_end__descriptor, (int)how), task->worker->id,
            task->percent);
}

/* Queues a record that run RUN of TASK starts on W, which it uses from now on. */
static void
propose_start (cb_batch_t *b, task_t *task, uint32_t run, worker_t *w, cb_msec_t now_ms)
{
  Cb__BatchRecord *record = open_record (b, CB__BATCH_RECORD__BODY_STARTS);
  Cb__TaskStart *start = cb_msg_new (&cb__task_start__descriptor);

  start->run = task_run_new (task, run);
  cb_msg_set_string (&start->worker, w->id);
  cb_msg_set_string (&start->agent, w->agent);
  start->born_ms = w->born_ms;
  cb_msg_append ((void ***)&record->starts->starts, &record->starts->n_starts, start);
  task->proposed_start = TRUE;
  attach_task (w, task);
  cb_event (CB_LOG_INFO, "batch", "run_started",
            "job=%s task=%u.%u.%u run=%u worker=%s report_age_ms=%" PRId64,
            task->job->spec->id, task->occurrence, task->step, task->index, run, w->id,
            now_ms - w->report_ms);
}

/* Starts COUNT tasks of one step, each on the worker at its position in WORKERS, as one
   record: all or none of them start. Members of a gang share the run number. */
void
start_tasks (cb_batch_t *b, task_t **tasks, worker_t **workers, uint32_t count,
             cb_msec_t now_ms)
{
  uint32_t run = 0;

  for (uint32_t i = 0; i < count; i++)
    run = MAX (run, tasks[i]->run);
  for (uint32_t i = 0; i < count; i++)
    propose_start (b, tasks[i],
                   task_spec (tasks[i])->gang ? run + 1 : tasks[i]->run + 1, workers[i],
                   now_ms);
}

static void
stop_one (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why)
{
  if (task->state != TASK_STARTED || task->stop || b->own_epoch == 0)
    return;
  task->stop = TRUE;
  task->stop_ms = now_ms;
  task->worker->orders_changed = TRUE;
  cb_event (CB_LOG_INFO, "batch", "run_stop",
            "job=%s task=%u.%u.%u run=%u worker=%s why=%s percent=%u",
            task->job->spec->id, task->occurrence, task->step, task->index, task->run,
            task->worker->id, why, task->percent);
}

/* Makes the worker end TASK's run; its end is logged when the worker reports it. All
   members of a gang are stopped at once, so that none waits for the others. */
void
stop_task (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why)
{
  step_state_t *step = task_step (task);

  if (!task_spec (task)->gang)
    {
      stop_one (b, task, now_ms, why);
      return;
    }
  for (uint32_t t = 0; t < step->count; t++)
    stop_one (b, &step->tasks[t], now_ms, why);
}

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
    }
  if (report->left)
    {
      w->gone = TRUE;
      cb_event_always (CB_LOG_INFO, "batch", "worker_gone",
                       "worker=%s born_ms=%" PRIu64 " agent=%s why=left runs=%u", w->id,
                       w->born_ms, agent, w->tasks->len);
    }
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
  if (w->listed || w->tasks->len > 0)
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

  if (task->state != TASK_STARTED || !task->seen || task->stop || spec->daemon ||
      task->percent == 0 || task->percent >= STALL_LAST_PERCENT ||
      still_ms < STALL_URGENT_MS)
    return;
  if (w->avoid_until_ms < now_ms)
    cb_event (CB_LOG_WARN, "batch", "run_stalled",
              "job=%s task=%u.%u.%u run=%u worker=%s percent=%u still_ms=%" PRId64,
              task->job->spec->id, task->occurrence, task->step, task->index, task->run,
              w->id, task->percent, still_ms);
  w->avoid_until_ms = now_ms + STALL_AVOID_MS;
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

/* Handles what is due and places waiting tasks. Call often; does nothing unless this
   process is the scheduler. */
void
cb_batch_tick (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  GHashTableIter iter;
  gpointer value;

  if (b->own_epoch == 0)
    return;
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
  if (!b->dirty && now_ms - b->placed_ms < PLACE_EVERY_MS)
    return;
  b->dirty = FALSE;
  b->placed_ms = now_ms;
  place_all (b, now_ms, wall_ms);
}

static Cb__FleetSums *
fleet_of (Cb__BatchBeat *beat, const char *service)
{
  Cb__FleetSums *sums;

  for (size_t i = 0; i < beat->n_fleet; i++)
    if (strcmp (beat->fleet[i]->service, service) == 0)
      return beat->fleet[i];
  sums = cb_msg_new (&cb__fleet_sums__descriptor);
  cb_msg_set_string (&sums->service, service);
  cb_msg_append ((void ***)&beat->fleet, &beat->n_fleet, sums);
  return sums;
}

/* Adds the sums of the workers that can be used to BEAT. */
void
cb_batch_fill_beat (const cb_batch_t *b, Cb__BatchBeat *beat)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      Cb__FleetSums *sums;

      if (!w->listed || w->gone || w->draining)
        continue;
      sums = fleet_of (beat, w->service);
      sums->workers++;
      sums->worker_cpu_milli = MAX (sums->worker_cpu_milli, w->cpu_milli);
      sums->worker_memory_mb = MAX (sums->worker_memory_mb, w->memory_mb);
      sums->worker_accelerators = MAX (sums->worker_accelerators, w->accelerators);
      sums->cpu_milli += w->cpu_milli;
      sums->accelerators += w->accelerators;
    }
}

/* Returns the next record to append, or NULL; the caller owns it. */
Cb__BatchRecord *
cb_batch_take_record (cb_batch_t *b)
{
  return g_queue_pop_head (&b->records);
}

/* RECORD of this scheduler was surely not stored: what it proposed is open again. */
void
cb_batch_not_stored (cb_batch_t *b, const Cb__BatchRecord *record)
{
  if (record->epoch == 0 || record->epoch != b->own_epoch)
    return;
  b->dirty = TRUE;
  if (record->body_case == CB__BATCH_RECORD__BODY_STARTS)
    for (size_t i = 0; i < record->starts->n_starts; i++)
      {
        task_t *task = find_task (b, record->starts->starts[i]->run);

        if (task == NULL || !task->proposed_start)
          continue;
        task->proposed_start = FALSE;
        detach_task (task);
      }
  else if (record->body_case == CB__BATCH_RECORD__BODY_ENDS)
    for (size_t i = 0; i < record->ends->n_ends; i++)
      {
        task_t *task = find_task (b, record->ends->ends[i]->run);

        if (task != NULL)
          task->proposed_end = FALSE;
      }
}

static worker_t *
worker_of_agent (const cb_batch_t *b, const char *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (!w->gone && w->clock_ms != 0 && strcmp (w->agent, agent) == 0)
        return w;
    }
  return NULL;
}

/* TRUE once after the agent's orders changed in a way that should not wait for its next
   report. */
gboolean
cb_batch_orders_changed (cb_batch_t *b, const char *agent)
{
  worker_t *w = worker_of_agent (b, agent);
  gboolean changed = w != NULL && w->orders_changed;

  if (w != NULL)
    w->orders_changed = FALSE;
  return changed;
}

static void
add_start (Cb__WorkerOrders *orders, const task_t *task)
{
  Cb__OrderedStart *start = cb_msg_new (&cb__ordered_start__descriptor);

  start->run = task_run_new (task, task->run);
  cb_msg_set_string (&start->spec, task->job->spec->spec);
  if (task->saved != NULL)
    cb_msg_set_string (&start->saved, task->saved);
  cb_msg_append ((void ***)&orders->starts, &orders->n_starts, start);
}

/* Adds stops for runs of earlier lives of W, which may have been started in this one.
 */
static void
add_stops_of_earlier_lives (const cb_batch_t *b, Cb__WorkerOrders *orders,
                            const worker_t *w)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *earlier = value;

      for (guint i = 0; earlier->successor == w && i < earlier->tasks->len; i++)
        {
          const task_t *task = earlier->tasks->pdata[i];

          if (task->state == TASK_STARTED)
            cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                           task_run_new (task, task->run));
        }
    }
}

/* Returns all that AGENT has to do. With MAY_GRANT the lease of its worker is extended
   from the worker's clock in its last report, so that a delayed message extends it no
   further. The caller frees the message. */
Cb__WorkerOrders *
cb_batch_orders (cb_batch_t *b, const char *agent, gboolean may_grant, cb_msec_t now_ms)
{
  Cb__WorkerOrders *orders = cb_msg_new (&cb__worker_orders__descriptor);
  worker_t *w = worker_of_agent (b, agent);

  (void)now_ms;
  if (w == NULL)
    return orders;
  cb_msg_set_string (&orders->worker, w->id);
  orders->born_ms = w->born_ms;
  orders->last_seen = w->last_seen;
  if (may_grant && w->listed)
    {
      orders->lease_until_ms = w->clock_ms + (uint64_t)b->params.hold_max_ms;
      w->lease_over_ms = lease_over (b, w->report_ms);
    }
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED)
        continue;
      if (task->stop)
        cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                       task_run_new (task, task->run));
      else if (!task->seen && !task->proposed_end)
        add_start (orders, task);
    }
  add_stops_of_earlier_lives (b, orders, w);
  for (guint i = 0; i < w->strays->len; i++)
    cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                   cb_msg_copy (w->strays->pdata[i]));
  return orders;
}
