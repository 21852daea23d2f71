/* Leases of workers across a change of the scheduler. A scheduler tells the log when it
   has stopped to grant leases to a worker, and for how long those that were granted may
   last, so that its successors need not assume that they were granted until the change.
   It grants none again before the log has a record that says so, or a start on the
   worker. */
#include "batch/local.h"

/* A lease is counted on the worker's clock. Seen from here it has expired after
   hold_max_ms x LEASE_SLACK + LEASE_MARGIN_MS: the platform specifies clocks that are
   up to 2% slow, and the report that a lease is counted from takes time to arrive. */
#define LEASE_SLACK 1.025
#define LEASE_MARGIN_MS 300
/* Longest time for which an earlier scheduler grants leases without a confirmation from
   the log (CB_GRANT_STALE_MS of the entry). */
#define TAKEOVER_GRANT_MS 4000
/* A worker with runs gets no more leases when it has not reported for this long: later
   than a worker that is only late for a report. */
#define SILENT_MS 2000
/* The same for one that has not reported to this scheduler yet: sooner than the next
   one may take over when this one fails at once. */
#define UNHEARD_MS 900
/* A turn of the scheduler that comes later than this shows that it did not run. Reports
   may have arrived meanwhile, and are handled next. */
#define TURN_LATE_MS 400
/* A new scheduler waits at least this long for the reports of a worker whose leases are
   over: they may show how its runs ended. */
#define HEARING_MS 500

/* A worker whose runs have neither started nor been refused, or stopped, this long
   after it could have carried out the command does not answer such calls. */
#define UNANSWERED_MS 4000
/* Reports with a longer time between them do not show that calls could reach it. */
#define REPORTS_APART_MS 2000
/* It gets no new work for this long. */
#define UNANSWERED_QUARANTINE_MS 16000

/* Returns after which time in ms a lease has expired even if the worker's clock is
   slow. HOLD_MAX_MS: the longest lease, on that clock. */
cb_msec_t
cb_batch_lease_span_ms (cb_msec_t hold_max_ms)
{
  return (cb_msec_t)((double)hold_max_ms * LEASE_SLACK) + LEASE_MARGIN_MS;
}

/* Returns the local time in ms at which a lease granted at GRANTED_MS has expired even
   if the worker's clock is slow. */
cb_msec_t
latest_lease_end (const cb_batch_t *b, cb_msec_t granted_ms)
{
  return granted_ms + cb_batch_lease_span_ms (b->params.hold_max_ms);
}

/* Notes that the present scheduler's process grants no leases from NOW_MS on, as it has
   resigned; without PROCESS_ENDED, that it may go on to grant some. */
void
note_grants_end (cb_batch_t *b, gboolean process_ended, cb_msec_t now_ms)
{
  b->scheduler_grants_end_ms = process_ended ? now_ms : now_ms + TAKEOVER_GRANT_MS;
}

/* Notes at NOW_MS, before the resignation is cleared, that another process becomes the
   scheduler: the earlier ones may grant leases for a while, unless they have said that
   they do not. */
void
note_grants_of_predecessor (cb_batch_t *b, cb_msec_t now_ms)
{
  cb_msec_t end_ms =
      b->resigned ? b->scheduler_grants_end_ms : now_ms + TAKEOVER_GRANT_MS;

  if (b->epoch == 0)
    return;
  b->earlier_grants_end_ms = MAX (b->earlier_grants_end_ms, end_ms);
}

/* Notes at NOW_MS that nothing is known of the time before. */
void
forget_grants (cb_batch_t *b, cb_msec_t now_ms)
{
  b->earlier_grants_end_ms = now_ms + TAKEOVER_GRANT_MS;
}

/* Returns how much longer leases of W may last at NOW_MS, while the log says that none
   are granted: by the time since this process has applied the record, or by the time
   between later records, whichever is more. A process that has started since then has
   applied them at once. */
static cb_msec_t
leases_left_ms (const cb_batch_t *b, const worker_t *w, cb_msec_t now_ms)
{
  return MIN (w->leases_over_ms - now_ms,
              w->leases_over_witnessed_ms - b->witnessed_ms);
}

/* Sets the end of W's leases for a process that becomes the scheduler at NOW_MS. */
void
reset_lease (const cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  w->lease_proposed = FALSE;
  w->lease_end_ms = w->leases_stopped
                        ? now_ms + MAX (leases_left_ms (b, w, now_ms), HEARING_MS)
                        : latest_lease_end (b, MAX (now_ms, b->earlier_grants_end_ms));
}

/* Queues a record that this scheduler grants leases to W again, or, without GRANTED,
   that it does not. */
static void
propose_lease (cb_batch_t *b, worker_t *w, gboolean granted, cb_msec_t left_ms)
{
  Cb__WorkerLease *lease = cb_msg_new (&cb__worker_lease__descriptor);
  Cb__BatchRecord *record;

  w->lease_proposed = TRUE;
  cb_msg_set_string (&lease->worker, w->id);
  lease->born_ms = w->incarnation_ms;
  lease->granted = granted;
  lease->left_ms = (uint32_t)CLAMP (left_ms, 0, G_MAXUINT32);
  record =
      get_open_record (b, CB__BATCH_RECORD__BODY_LEASES, element_bytes (&lease->base));
  if (record->leases->number == 0)
    record->leases->number = ++b->proposed_lease_number;
  cb_msg_append ((void ***)&record->leases->leases, &record->leases->n_leases, lease);
  cb_event (CB_LOG_INFO, "batch", granted ? "leases_resumed" : "leases_stopped",
            "worker=%s born_ms=%" PRIu64 " left_ms=%" PRId64 " runs=%u epoch=%" PRIu64,
            w->id, w->incarnation_ms, left_ms, w->tasks->len, b->own_epoch);
}

/* Notes that a report of W with new lists has arrived at NOW_MS, before reported_ms is
   updated. */
void
note_heard (worker_t *w, cb_msec_t now_ms)
{
  if (w->clock_ms == 0 || now_ms - w->reported_ms > REPORTS_APART_MS)
    w->heard_since_ms = now_ms;
}

/* Notes that the lists of REPORT, which W made, have arrived at NOW_MS, before clock_ms
   is updated. They may have been made earlier, and have waited while this process was
   paused: leases count from the time at which they were made. That is no later than the
   time at which the last ones were made and what has passed since then, by the worker's
   clock, which is up to 2% slow, or by its agent's. The worker's clock stands still
   while the instance is suspended, the agent's does not. */
void
note_listed_time (worker_t *w, const Cb__WorkerReport *report, cb_msec_t now_ms)
{
  uint64_t worker_ms = report->clock_ms - w->clock_ms;
  uint64_t agent_ms = report->agent_clock_ms - w->agent_clock_ms;
  double since_ms = (double)MAX (worker_ms, agent_ms) * LEASE_SLACK;
  gboolean known = w->clock_ms != 0 && w->agent_clock_ms != 0 &&
                   report->agent_clock_ms >= w->agent_clock_ms;

  if (!known || since_ms >= (double)(now_ms - w->listed_ms))
    w->listed_ms = now_ms;
  else
    w->listed_ms += (cb_msec_t)since_ms + 1;
  w->agent_clock_ms = report->agent_clock_ms;
}

/* Notes what is left, by the clock of W's latest lists, of the lease that it has been
   granted: more than expected when the clock has stood still since. */
void
note_lease_left (const cb_batch_t *b, worker_t *w)
{
  uint64_t end_ms = w->granted_clock_ms + (uint64_t)b->params.hold_max_ms;
  double left_ms;

  if (w->granted_clock_ms == 0 || end_ms <= w->clock_ms)
    return;
  left_ms = (double)(end_ms - w->clock_ms) * LEASE_SLACK;
  w->lease_end_ms =
      MAX (w->lease_end_ms, w->listed_ms + (cb_msec_t)left_ms + LEASE_MARGIN_MS);
}

/* TRUE when one of FROM's runs should have been started, or ended, by W, and W's lists
   have not shown what became of it for UNANSWERED_MS. */
static gboolean
has_unanswered_run (const worker_t *w, const worker_t *from, cb_msec_t now_ms)
{
  for (guint i = 0; i < from->tasks->len; i++)
    {
      const task_t *task = from->tasks->pdata[i];
      cb_msec_t since_ms = MAX (task->started_ms, w->heard_since_ms);

      if (task->state == TASK_STARTED && !task->proposed_end &&
          (from != w || !task->reported) && now_ms - since_ms > UNANSWERED_MS)
        return TRUE;
    }
  return FALSE;
}

/* TRUE when W reports but does not carry out commands, so that only the end of its
   lease can tell that its open runs are not executing. */
static gboolean
is_unanswering (const cb_batch_t *b, const worker_t *w, cb_msec_t now_ms)
{
  const GPtrArray *workers = agent_workers (b, w->agent);
  gboolean unanswering = has_unanswered_run (w, w, now_ms);

  for (guint i = 0; i < workers->len && !unanswering; i++)
    {
      const worker_t *earlier = workers->pdata[i];

      unanswering = earlier->successor == w && has_unanswered_run (w, earlier, now_ms);
    }
  return unanswering;
}

static gboolean
has_listed_run (const worker_t *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED && task->reported && !task->proposed_end)
        return TRUE;
    }
  return FALSE;
}

/* Sets a worker aside that does not carry out commands. Returns TRUE when it should not
   get a lease, as no run of it is known to execute. */
static gboolean
set_unanswering_aside (const cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (!is_unanswering (b, w, now_ms))
    return FALSE;
  if (w->quarantine_until_ms < now_ms)
    cb_event_unlimited (CB_LOG_WARN, "batch", "worker_unanswering",
                        "worker=%s born_ms=%" PRIu64 " agent=%s runs=%u", w->id,
                        w->incarnation_ms, w->agent, w->tasks->len);
  w->quarantine_until_ms =
      MAX (w->quarantine_until_ms, now_ms + UNANSWERED_QUARANTINE_MS);
  return !has_listed_run (w);
}

/* TRUE when W gets leases: the log does not say that it gets none, and its commands
   need no new epoch. */
gboolean
may_get_leases (const cb_batch_t *b, const worker_t *w)
{
  return !w->leases_stopped && !w->lease_proposed && !needs_command_epoch (b, w);
}

/* As may_get_leases. If not, proposes that W gets leases. */
static gboolean
gets_leases (cb_batch_t *b, worker_t *w)
{
  if (!may_get_leases (b, w) && !w->lease_proposed)
    propose_lease (b, w, TRUE, 0);
  return may_get_leases (b, w);
}

/* TRUE when W has not reported for so long that it may be lost. */
static gboolean
is_silent (const cb_batch_t *b, const worker_t *w, cb_msec_t now_ms)
{
  if (w->clock_ms == 0)
    return now_ms - MAX (b->scheduler_since_ms, b->resumed_ms) >= UNHEARD_MS;
  return now_ms - MAX (w->reported_ms, b->resumed_ms) >= SILENT_MS;
}

/* TRUE when W may be granted a lease at NOW_MS: it reports, it carries out commands
   and, by the log, it and the earlier incarnations whose starts it may have executed
   get leases. Otherwise proposes that they do. */
gboolean
grant_lease (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  const GPtrArray *workers = agent_workers (b, w->agent);
  gboolean granted;

  if (is_silent (b, w, now_ms) || set_unanswering_aside (b, w, now_ms))
    return FALSE;
  granted = gets_leases (b, w);
  for (guint i = 0; i < workers->len; i++)
    {
      worker_t *earlier = workers->pdata[i];

      if (earlier->successor == w && earlier->tasks->len > 0)
        granted = gets_leases (b, earlier) && granted;
    }
  return granted;
}

/* Notes the scheduler's turn at NOW_MS. */
void
note_turn (cb_batch_t *b, cb_msec_t now_ms)
{
  if (now_ms - b->turn_ms > TURN_LATE_MS)
    b->resumed_ms = now_ms;
  b->turn_ms = now_ms;
}

/* Stops to grant leases to W when it has runs and does not report. The runs of an
   earlier incarnation may last as long as the leases of its successor. */
void
check_grants (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (w->leases_stopped || w->lease_proposed || w->tasks->len == 0 ||
      w->successor != NULL || !is_silent (b, w, now_ms))
    return;
  propose_lease (b, w, FALSE, w->lease_end_ms - now_ms);
}

/* Notes that the scheduler's process wrote a record of this epoch at CLOCK_MS of its
   clock; 0: the record does not say. */
void
note_scheduler_clock (cb_batch_t *b, uint64_t clock_ms)
{
  if (b->scheduler_clock_ms != 0 && clock_ms > b->scheduler_clock_ms)
    b->witnessed_ms += (cb_msec_t)(clock_ms - b->scheduler_clock_ms);
  b->scheduler_clock_ms = MAX (b->scheduler_clock_ms, clock_ms);
}

/* Notes at NOW_MS that, by the log, no leases are granted to W, and that those before
   last LEFT_MS at most. */
static void
note_leases_stopped (const cb_batch_t *b, worker_t *w, cb_msec_t left_ms,
                     cb_msec_t now_ms)
{
  w->leases_stopped = TRUE;
  w->leases_over_ms = now_ms + left_ms;
  w->leases_over_witnessed_ms = b->witnessed_ms + left_ms;
}

/* Applies what the scheduler has said of leases in the record at OFFSET. The record was
   written before NOW_MS, so that leases end no later than its time left counted from
   here. A record that the log has taken a second time is ignored, as leases may have
   been granted since. */
void
apply_leases (cb_batch_t *b, uint64_t offset, const Cb__BatchLeases *leases,
              cb_msec_t now_ms)
{
  if (leases->number <= b->lease_number)
    return;
  b->lease_number = leases->number;
  for (size_t i = 0; i < leases->n_leases; i++)
    {
      const Cb__WorkerLease *lease = leases->leases[i];
      worker_t *w = find_worker (b, lease->worker, lease->born_ms);

      if (w == NULL)
        continue;
      w->lease_proposed = FALSE;
      w->leases_stopped = FALSE;
      if (!lease->granted)
        {
          note_leases_stopped (b, w, lease->left_ms, now_ms);
          continue;
        }
      raise_command_epoch (b, w, offset);
      change_commands (b, w);
    }
}

/* Withdraws changes that were proposed in a record that the log does not have. */
void
withdraw_lease_proposals (const cb_batch_t *b, const Cb__BatchLeases *leases)
{
  for (size_t i = 0; i < leases->n_leases; i++)
    {
      worker_t *w =
          find_worker (b, leases->leases[i]->worker, leases->leases[i]->born_ms);

      if (w != NULL)
        w->lease_proposed = FALSE;
    }
}

/* Returns how much longer leases of W may last, for a snapshot that is made at NOW_MS:
   in the scheduler from now on, in other processes from its latest record on, if that
   has its clock. */
static cb_msec_t
saved_left_ms (const cb_batch_t *b, const worker_t *w, cb_msec_t now_ms)
{
  if (b->own_epoch == 0 && b->scheduler_clock_ms != 0)
    return w->leases_over_witnessed_ms - b->witnessed_ms;
  return leases_left_ms (b, w, now_ms);
}

/* Adds to SNAPSHOT the workers with runs to which no leases are granted, as of
   NOW_MS. */
void
save_leases (const cb_batch_t *b, Cb__BatchSnapshot *snapshot, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  snapshot->lease_number = b->lease_number;
  snapshot->clock_ms = b->own_epoch == 0 ? b->scheduler_clock_ms : (uint64_t)now_ms;
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      Cb__WorkerLease *lease;

      if (!w->leases_stopped || w->tasks->len == 0)
        continue;
      lease = cb_msg_new (&cb__worker_lease__descriptor);
      cb_msg_set_string (&lease->worker, w->id);
      lease->born_ms = w->incarnation_ms;
      lease->left_ms =
          (uint32_t)CLAMP (saved_left_ms (b, w, now_ms), 0, (cb_msec_t)G_MAXUINT32);
      cb_msg_append ((void ***)&snapshot->leases, &snapshot->n_leases, lease);
    }
}

/* Loads the leases of SNAPSHOT at NOW_MS, after its runs. */
void
load_leases (cb_batch_t *b, const Cb__BatchSnapshot *snapshot, cb_msec_t now_ms)
{
  b->lease_number = snapshot->lease_number;
  b->scheduler_clock_ms = snapshot->clock_ms;
  for (size_t i = 0; i < snapshot->n_leases; i++)
    {
      const Cb__WorkerLease *lease = snapshot->leases[i];
      worker_t *w = find_worker (b, lease->worker, lease->born_ms);

      if (w != NULL)
        note_leases_stopped (b, w, lease->left_ms, now_ms);
    }
}
