/* The role of the scheduler: taking it on, periodic checks, and the records of
   starts and ends that it proposes to the log. */
#include "batch/local.h"

#include <string.h>

/* Longest time between two placement passes when nothing has changed. */
#define PLACE_INTERVAL_MS 100
/* A new scheduler places nothing until as many workers have reported as its predecessor
   could use. If it placed work at once, work that can wait would be placed on the first
   wholly free workers that report, and urgent work would find none. It waits for at
   least FLEET_WAIT_MS, then as long as further workers report within FLEET_PAUSE_MS of
   each other, up to FLEET_WAIT_MAX_MS. */
#define FLEET_WAIT_MS 300
#define FLEET_PAUSE_MS 100
#define FLEET_WAIT_MAX_MS 1500

/* Bounds of the encoded fields of a record, and of one element, beside the contents of
   the elements: tags, lengths and the epoch. */
#define RECORD_OVERHEAD_BYTES 32
#define ELEMENT_OVERHEAD_BYTES 6
/* A larger checkpoint is not kept: the task starts anew. */
#define CHECKPOINT_MAX_BYTES 65536
/* A start whose record the log has refused as too large is not proposed again before:
   the limit of the log may have changed, and each attempt costs an append. */
#define REFUSED_RETRY_MS 2000
/* A record that jobs have begun which the log does not show after this time is proposed
   again: an append is given up sooner. */
#define BEGUN_RETRY_MS 3000

/* Starts and ends that were proposed and are not in the log. */
typedef struct
{
  uint32_t starts;
  uint32_t ends;
} proposals_t;

static void
reset_task (task_t *task, proposals_t *proposals)
{
  proposals->starts += task->proposed_start;
  proposals->ends += task->proposed_end && task->state == TASK_STARTED;
  if (task->state != TASK_STARTED)
    detach_task (task);
  task->proposed_start = FALSE;
  task->proposed_end = FALSE;
  forget_refused_end (task);
  task->reported = FALSE;
  task->stop_requested = FALSE;
  task->planned_worker = NULL;
}

static void
reset_job (job_t *job, proposals_t *proposals)
{
  job->stuck_since_ms = 0;
  job->begun_proposed_ms = 0;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        step_state_t *step = &job->occurrences[k].steps[i];

        advice_clear (step);
        for (uint32_t t = 0; t < step->count; t++)
          reset_task (&step->tasks[t], proposals);
      }
}

/* Returns the number of workers in the latest heartbeat of a scheduler. */
static uint32_t
heartbeat_workers (const cb_batch_t *b)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t workers = 0;

  g_hash_table_iter_init (&iter, b->fleet);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    workers += ((const Cb__FleetSums *)value)->workers;
  return workers;
}

/* Makes this process the scheduler with EPOCH, or ends that role when EPOCH is 0.
   Discards queued records, advice, preemption plans and the state from reports: no
   worker is used before it has reported again. */
void
cb_batch_set_own_epoch (cb_batch_t *b, uint64_t epoch, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  proposals_t proposals = { 0 };
  uint64_t earlier = b->own_epoch;

  b->own_epoch = epoch;
  b->proposed_lease_number = b->lease_number;
  g_hash_table_remove_all (b->ended_workers);
  reset_command_epochs (b);
  b->scheduler_since_ms = now_ms;
  b->fleet_known = FALSE;
  b->expected_workers = heartbeat_workers (b);
  b->dirty = TRUE;
  g_queue_clear_full (&b->records, cb_msg_free);
  cb_msg_free (b->begun_record);
  b->begun_record = NULL;
  cb_batch_advice_request_free (cb_batch_pop_advice_request (b));
  for (GList *l = b->job_list.head; l != NULL; l = l->next)
    reset_job (l->data, &proposals);
  if (earlier != 0 && (proposals.starts > 0 || proposals.ends > 0))
    cb_event_unlimited (CB_LOG_WARN, "batch", "proposals_void",
                        "epoch=%" PRIu64 " starts=%u ends=%u", earlier,
                        proposals.starts, proposals.ends);
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      w->reporting = FALSE;
      w->all_listed = FALSE;
      w->terminated = FALSE;
      w->ended = FALSE;
      w->successor = NULL;
      w->clock_ms = 0;
      w->last_durable_end = 0;
      w->ended_partial = FALSE;
      g_ptr_array_set_size (w->listed_ends, 0);
      w->granted_clock_ms = 0;
      change_commands (b, w);
      reset_lease (b, w, now_ms);
      g_ptr_array_set_size (w->unwanted_runs, 0);
    }
}

/* Returns the size in bytes of MESSAGE as an element of a record. */
size_t
element_bytes (const ProtobufCMessage *message)
{
  return protobuf_c_message_get_packed_size (message) + ELEMENT_OVERHEAD_BYTES;
}

/* Returns the last queued record when it is of kind BODY_CASE and BYTES more fit into
   it, or else a new one that it queues. The caller adds elements of BYTES in all. */
Cb__BatchRecord *
get_open_record (cb_batch_t *b, Cb__BatchRecord__BodyCase body_case, size_t bytes)
{
  Cb__BatchRecord *record = g_queue_peek_tail (&b->records);

  if (record != NULL && record->body_case == body_case &&
      b->open_record_bytes + bytes <= b->params.record_bytes_max)
    {
      b->open_record_bytes += bytes;
      return record;
    }
  b->open_record_bytes = RECORD_OVERHEAD_BYTES + bytes;
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->epoch = b->own_epoch;
  record->body_case = body_case;
  if (body_case == CB__BATCH_RECORD__BODY_ENDS)
    record->ends = cb_msg_new (&cb__batch_ends__descriptor);
  else if (body_case == CB__BATCH_RECORD__BODY_LEASES)
    record->leases = cb_msg_new (&cb__batch_leases__descriptor);
  else
    record->starts = cb_msg_new (&cb__batch_starts__descriptor);
  g_queue_push_tail (&b->records, record);
  return record;
}

/* Queues a record that TASK's current run has ended, unless its end has been proposed
   already or this process is not the scheduler. WHY, for the log, tells what the end is
   concluded from. CHECKPOINT may be NULL. */
void
propose_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, const char *checkpoint,
             const char *why)
{
  Cb__BatchRecord *record;
  Cb__TaskEnd *end;

  if (task->proposed_end || b->own_epoch == 0)
    return;
  task->proposed_end = TRUE;
  if (how == CB__RUN_END__RUN_LOST && task->refused_end != NULL)
    {
      how = task->refused_end->how;
      checkpoint = task->refused_end->saved;
      why = "refused_record";
    }
  end = cb_msg_new (&cb__task_end__descriptor);
  end->run = task_run_new (task, task->run);
  end->how = how;
  if (checkpoint != NULL && strlen (checkpoint) <= CHECKPOINT_MAX_BYTES)
    cb_msg_set_string (&end->saved, checkpoint);
  else if (checkpoint != NULL)
    cb_event (CB_LOG_WARN, "batch", "checkpoint_dropped",
              "job=%s task=%u.%u.%u run=%u bytes=%zu", task->job->spec->id,
              task->occurrence, task->step, task->index, task->run,
              strlen (checkpoint));
  record = get_open_record (b, CB__BATCH_RECORD__BODY_ENDS, element_bytes (&end->base));
  cb_msg_append ((void ***)&record->ends->ends, &record->ends->n_ends, end);
  /* Logged when the end is proposed, before the record is in the log: run_end_stored
     follows, or proposals_void if it never counts. percent: the progress that the
     worker reported last. */
  (how == CB__RUN_END__RUN_LOST ? cb_event_unlimited : cb_event) (
      CB_LOG_INFO, "batch", "run_ended",
      "job=%s task=%u.%u.%u run=%u how=%s why=%s worker=%s percent=%u "
      "epoch=%" PRIu64,
      task->job->spec->id, task->occurrence, task->step, task->index, task->run,
      cb_enum_text (&cb__run_end__descriptor, (int)how), why, task->worker->id,
      task->percent, b->own_epoch);
}

/* Queues a record that W has had several addresses. */
void
propose_moved (cb_batch_t *b, const worker_t *w)
{
  Cb__BatchRecord *record = cb_msg_new (&cb__batch_record__descriptor);

  record->epoch = b->own_epoch;
  record->body_case = CB__BATCH_RECORD__BODY_MOVED;
  record->moved = cb_msg_new (&cb__batch_moved__descriptor);
  cb_msg_set_string (&record->moved->worker, w->id);
  record->moved->born_ms = w->incarnation_ms;
  g_queue_push_tail (&b->records, record);
}

/* Queues a record that a task of JOB has begun, unless the log has it or one was
   proposed a short time ago. The jobs of a pass share a record. */
void
propose_begun (cb_batch_t *b, job_t *job, cb_msec_t now_ms)
{
  size_t bytes = strlen (job->spec->id) + ELEMENT_OVERHEAD_BYTES;
  Cb__BatchRecord *record = b->begun_record;

  if (job->begun || !job_open (job) || b->own_epoch == 0 ||
      (job->begun_proposed_ms != 0 && now_ms - job->begun_proposed_ms < BEGUN_RETRY_MS))
    return;
  job->begun_proposed_ms = now_ms;
  if (record != NULL && b->begun_record_bytes + bytes > b->params.record_bytes_max)
    {
      g_queue_push_tail (&b->records, record);
      record = NULL;
    }
  if (record == NULL)
    {
      record = cb_msg_new (&cb__batch_record__descriptor);
      record->epoch = b->own_epoch;
      record->body_case = CB__BATCH_RECORD__BODY_BEGUN;
      record->begun = cb_msg_new (&cb__batch_begun__descriptor);
      b->begun_record = record;
      b->begun_record_bytes = RECORD_OVERHEAD_BYTES;
    }
  b->begun_record_bytes += bytes;
  cb_msg_append ((void ***)&record->begun->jobs, &record->begun->n_jobs,
                 strdup (job->spec->id));
}

/* Returns a new message that run RUN of TASK starts on W; freed with cb_msg_free. */
static Cb__TaskStart *
task_start_new (const task_t *task, uint32_t run, const worker_t *w)
{
  Cb__TaskStart *start = cb_msg_new (&cb__task_start__descriptor);

  start->run = task_run_new (task, run);
  cb_msg_set_string (&start->worker, w->id);
  cb_msg_set_string (&start->agent, w->agent);
  cb_msg_set_string (&start->address, w->address);
  start->born_ms = w->incarnation_ms;
  return start;
}

/* Notes that the start of run RUN of TASK on W has been proposed, and counts the task
   as using W from now on. */
static void
note_proposed_start (const cb_batch_t *b, task_t *task, uint32_t run, worker_t *w,
                     cb_msec_t now_ms)
{
  task->proposed_start = TRUE;
  attach_task (w, task);
  /* Logged when the start is proposed, before the record is in the log. */
  cb_event (CB_LOG_INFO, "batch", "run_started",
            "job=%s task=%u.%u.%u run=%u worker=%s report_age_ms=%" PRId64
            " epoch=%" PRIu64,
            task->job->spec->id, task->occurrence, task->step, task->index, run, w->id,
            now_ms - w->reported_ms, b->own_epoch);
}

/* Starts COUNT tasks of one step, TASKS[i] on WORKERS[i], by a single record: all of
   them start or none. Members of a gang share the run number. */
void
start_tasks (cb_batch_t *b, task_t **tasks, worker_t **workers, uint32_t count,
             cb_msec_t now_ms)
{
  Cb__TaskStart **starts = g_new (Cb__TaskStart *, count);
  gboolean remote = is_remote (tasks[0], workers, count);
  Cb__BatchRecord *record;
  uint32_t gang_run = 0;
  size_t bytes = 0;

  for (uint32_t i = 0; i < count; i++)
    gang_run = MAX (gang_run, tasks[i]->run + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t run = task_spec (tasks[i])->gang ? gang_run : tasks[i]->run + 1;

      starts[i] = task_start_new (tasks[i], run, workers[i]);
      starts[i]->remote = remote;
      bytes += element_bytes (&starts[i]->base);
      note_proposed_start (b, tasks[i], run, workers[i], now_ms);
    }
  record = get_open_record (b, CB__BATCH_RECORD__BODY_STARTS, bytes);
  for (uint32_t i = 0; i < count; i++)
    cb_msg_append ((void ***)&record->starts->starts, &record->starts->n_starts,
                   starts[i]);
  g_free (starts);
}

static void
stop_run (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why)
{
  if (task->state != TASK_STARTED || task->stop_requested || b->own_epoch == 0)
    return;
  task->stop_requested = TRUE;
  task->stop_requested_ms = now_ms;
  change_commands (b, task->worker);
  cb_event (CB_LOG_INFO, "batch", "run_stop",
            "job=%s task=%u.%u.%u run=%u worker=%s why=%s percent=%u",
            task->job->spec->id, task->occurrence, task->step, task->index, task->run,
            task->worker->id, why, task->percent);
}

/* Requests the stop of TASK's run for the reason WHY, which is logged. The end is
   proposed once the worker reports it. All members of a gang are stopped at once, so
   that none waits for the others. */
void
stop_task (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why)
{
  step_state_t *step = task_step (task);

  if (!task_spec (task)->gang)
    {
      stop_run (b, task, now_ms, why);
      return;
    }
  for (uint32_t t = 0; t < step->count; t++)
    stop_run (b, &step->tasks[t], now_ms, why);
}

/* TRUE when enough workers have reported to place work. */
static gboolean
is_fleet_known (cb_batch_t *b, cb_msec_t now_ms)
{
  cb_msec_t waited_ms = now_ms - b->scheduler_since_ms;
  cb_batch_totals_t totals;

  if (b->fleet_known)
    return TRUE;
  cb_batch_totals (b, &totals);
  b->fleet_known =
      totals.workers >= b->expected_workers + evacuated_workers (b) ||
      waited_ms >= FLEET_WAIT_MAX_MS ||
      (waited_ms >= FLEET_WAIT_MS && now_ms - b->worker_reported_ms >= FLEET_PAUSE_MS);
  /* after_ms: since this process became the scheduler. */
  if (b->fleet_known)
    cb_event (CB_LOG_INFO, "batch", "settled",
              "epoch=%" PRIu64 " workers=%u expected=%u after_ms=%" PRId64,
              b->own_epoch, totals.workers, b->expected_workers,
              now_ms - b->scheduler_since_ms);
  return b->fleet_known;
}

/* Checks workers and runs, and places waiting tasks unless starts are held. To be
   called often; does nothing unless this process is the scheduler. */
void
cb_batch_tick (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  if (b->own_epoch == 0)
    return;
  note_turn (b, now_ms);
  check_workers (b, now_ms);
  find_waits (b, now_ms, wall_ms);
  if (!is_fleet_known (b, now_ms) || b->starts_held)
    return;
  if (!b->dirty && now_ms - b->placed_ms < PLACE_INTERVAL_MS)
    return;
  b->dirty = FALSE;
  b->placed_ms = now_ms;
  place_all (b, now_ms, wall_ms);
}

static Cb__FleetSums *
get_fleet_sums (Cb__BatchBeat *heartbeat, const char *service)
{
  Cb__FleetSums *sums;

  for (size_t i = 0; i < heartbeat->n_fleet; i++)
    if (strcmp (heartbeat->fleet[i]->service, service) == 0)
      return heartbeat->fleet[i];
  sums = cb_msg_new (&cb__fleet_sums__descriptor);
  cb_msg_set_string (&sums->service, service);
  cb_msg_append ((void ***)&heartbeat->fleet, &heartbeat->n_fleet, sums);
  return sums;
}

/* Adds to HEARTBEAT, for each service, the totals of the usable workers and the largest
   size of a single worker in each resource. A worker in an evacuated zone counts only
   for the size: what fits there will fit again. */
void
cb_batch_fill_heartbeat (const cb_batch_t *b, Cb__BatchBeat *heartbeat)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      Cb__FleetSums *sums;

      if (!w->reporting || w->terminated || w->draining)
        continue;
      sums = get_fleet_sums (heartbeat, w->service);
      sums->worker_cpu_milli = MAX (sums->worker_cpu_milli, w->cpu_milli);
      sums->worker_memory_mb = MAX (sums->worker_memory_mb, w->memory_mb);
      sums->worker_accelerators = MAX (sums->worker_accelerators, w->accelerators);
      if (is_evacuated (b, w))
        continue;
      sums->workers++;
      sums->cpu_milli += w->cpu_milli;
      sums->accelerators += w->accelerators;
    }
}

/* Removes and returns the next record to be appended to the log; NULL when there is
   none. The caller frees it. */
Cb__BatchRecord *
cb_batch_pop_record (cb_batch_t *b)
{
  Cb__BatchRecord *record = g_queue_pop_head (&b->records);

  if (record == NULL)
    {
      record = b->begun_record;
      b->begun_record = NULL;
    }
  return record;
}

/* Notes that the log has refused the record of END. What the worker has said of it
   counts also if the worker is lost before its next report. */
static void
keep_refused_end (task_t *task, const Cb__TaskEnd *end)
{
  if (!task->proposed_end)
    return;
  task->proposed_end = FALSE;
  if (end->how == CB__RUN_END__RUN_LOST)
    return;
  forget_refused_end (task);
  task->refused_end = (Cb__TaskEnd *)cb_msg_copy (&end->base);
}

/* To be called when RECORD was definitely not appended: withdraws the starts, ends
   or changes of leases that it proposed, so that they are decided again. With
   TOO_LARGE, the log would refuse the same record each time: its tasks are not placed
   again for REFUSED_RETRY_MS. */
void
cb_batch_append_failed (cb_batch_t *b, const Cb__BatchRecord *record,
                        gboolean too_large, cb_msec_t now_ms)
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
        if (too_large)
          task->not_before_ms = now_ms + REFUSED_RETRY_MS;
      }
  else if (record->body_case == CB__BATCH_RECORD__BODY_ENDS)
    for (size_t i = 0; i < record->ends->n_ends; i++)
      {
        task_t *task = find_task (b, record->ends->ends[i]->run);

        if (task != NULL)
          keep_refused_end (task, record->ends->ends[i]);
      }
  else if (record->body_case == CB__BATCH_RECORD__BODY_LEASES)
    withdraw_lease_proposals (b, record->leases);
}
