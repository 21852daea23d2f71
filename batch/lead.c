#include "batch/local.h"

#include <string.h>

/* Longest pause between two placements in ms, when nothing has changed. */
#define PLACE_EVERY_MS 100
/* A new scheduler places nothing for at most this long in ms, until as many workers
   have reported as its predecessor could use: whole free workers are known first and
   would go to work that can wait. Reports come within 0.1 s of the connection. */
#define SETTLE_MS 300

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

        advice_forget (step);
        for (uint32_t t = 0; t < step->count; t++)
          reset_task (&step->tasks[t]);
      }
}

/* Returns the number of workers that the newest beat of a scheduler counted. */
static uint32_t
beat_workers (const cb_batch_t *b)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t workers = 0;

  g_hash_table_iter_init (&iter, b->fleet);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    workers += ((const Cb__FleetSums *)value)->workers;
  return workers;
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
  b->settled = FALSE;
  b->expected_workers = beat_workers (b);
  b->dirty = TRUE;
  g_queue_clear_full (&b->records, cb_msg_free);
  cb_batch_question_free (cb_batch_take_question (b));
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

/* TRUE when enough is known of the fleet to place work. */
static gboolean
is_settled (cb_batch_t *b, cb_msec_t now_ms)
{
  cb_batch_sums_t sums;

  if (b->settled)
    return TRUE;
  cb_batch_sums (b, &sums);
  b->settled = sums.workers >= b->expected_workers || now_ms - b->lead_ms >= SETTLE_MS;
  if (b->settled)
    cb_event (CB_LOG_INFO, "batch", "settled",
              "epoch=%" PRIu64 " workers=%u expected=%u after_ms=%" PRId64,
              b->own_epoch, sums.workers, b->expected_workers, now_ms - b->lead_ms);
  return b->settled;
}

/* Handles what is due and places waiting tasks. Call often; does nothing unless this
   process is the scheduler. */
void
cb_batch_tick (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  if (b->own_epoch == 0)
    return;
  watch_workers (b, now_ms);
  if (!is_settled (b, now_ms))
    return;
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
