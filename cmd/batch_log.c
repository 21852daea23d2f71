/* Appends records to the log's batch stream and applies the records of all entries. */
#include "cmd/batch.h"

/* A read waits up to this long for the next record, so that an unresponsive connection
   or store is detected within this time and the extra time of a read, 0.9 s. After a
   failure a read does not wait, so that recovery is detected sooner. */
#define READ_WAIT_MS 500
/* Shortest wait, used when a claim is due or nearly due. */
#define READ_WAIT_MIN_MS 250
/* The same after the scheduler has resigned: entries claim the role a few reads
   apart. */
#define RESIGNED_READ_WAIT_MS 25
/* Pause after a failed read. */
#define READ_RETRY_MS 150
/* A waiting read that has not returned a confirmed record after this time is replaced
   by one without a wait. A record that the store receives at the same time as the read
   can be missed by the read, which then returns only with the next record: the
   scheduler's heartbeat, up to 0.25 s later. This happened for 3% of the appends. */
#define REREAD_DELAY_MS 10
/* An entry that is not the scheduler pauses for FOLLOW_PAUSE_MS for each registered
   entry after a read that returned records, up to FOLLOW_PAUSE_MAX_MS: the scheduler
   appends many records a second, and each would cost a read of each entry. */
#define FOLLOW_PAUSE_MS 4
#define FOLLOW_PAUSE_MAX_MS 200
/* A record reaches other entries by an append and a read. */
#define CALLS_PER_RECORD 2
/* While the last read has failed, a record that was never sent is given up after this
   time: about half of the 3 s that a caller waits, so that the caller can try again. */
#define OUTAGE_GIVE_UP_MS 1400
/* The same once the log is known to be lost: at once. */
#define LOST_GIVE_UP_MS 1

typedef struct
{
  cb_batch_entry_t *entry;
  cb_msec_t added_ms;
  Cb__BatchRecord *record;
  cb_batch_append_done_t done;
  void *ctx;
} append_t;

struct cb_batch_log_read
{
  cb_batch_entry_t *entry;
  cb_msec_t sent_ms;
  cb_msec_t wait_ms;
};

static void read_log (void *ctx);

static void
free_append (void *ptr)
{
  append_t *append = ptr;

  cb_msg_free (append->record);
  g_free (append);
}

/* Replaces a waiting read by one without a wait when records before known_end_offset
   are still missing. */
static void
on_reread_timer (void *ctx)
{
  cb_batch_entry_t *entry = ctx;

  cb_timer_free (entry->reread_timer);
  entry->reread_timer = NULL;
  if (entry->next_offset >= entry->known_end_offset)
    return;
  if (entry->read_retry_timer != NULL && entry->healthy)
    {
      read_log (entry);
      return;
    }
  if (entry->pending_read == NULL || entry->pending_read->wait_ms == 0)
    return;
  cb_counters_add (entry->counters, "store_reads_repeated_total", NULL, 1);
  entry->pending_read = NULL;
  entry->reading = FALSE;
  read_log (entry);
}

/* Notes that the log has all records before offset END. */
static void
note_log_end (cb_batch_entry_t *entry, uint64_t end)
{
  entry->known_end_offset = MAX (entry->known_end_offset, end);
  if (entry->next_offset < entry->known_end_offset && entry->reread_timer == NULL)
    entry->reread_timer =
        cb_timer_new (entry->loop, REREAD_DELAY_MS, 0, on_reread_timer, entry);
}

static void
on_writer_timer (void *ctx)
{
  cb_batch_entry_t *entry = ctx;

  cb_timer_free (entry->writer_timer);
  entry->writer_timer = NULL;
  cb_writer_tick (entry->writer, cb_batch_now_ms ());
}

static void
on_append_done (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_batch_entry_t *entry = ctx;
  append_t *append = g_hash_table_lookup (entry->appends, GSIZE_TO_POINTER (tag));

  if (err == CB_OK)
    note_log_end (entry, offset + 1);
  if (append == NULL)
    return;
  g_hash_table_steal (entry->appends, GSIZE_TO_POINTER (tag));
  cb_counters_add (entry->counters, "store_appends_total",
                   err == CB_OK                 ? "result=\"stored\""
                   : err == CB_LOGC_UNAVAILABLE ? "result=\"unknown\""
                                                : "result=\"not_stored\"",
                   1);
  cb_counters_observe (entry->counters, "store_append_duration_ms", NULL,
                       cb_batch_now_ms () - append->added_ms);
  if (append->done != NULL)
    append->done (entry, append->ctx, err, append->record);
  free_append (append);
  /* Records that were added during the append need not wait for the next tick. */
  if (cb_writer_pending (entry->writer) > 0 && entry->writer_timer == NULL)
    entry->writer_timer = cb_timer_new (entry->loop, 0, 0, on_writer_timer, entry);
}

/* Appends RECORD to the log, takes ownership of it and calls DONE (may be NULL) once
   with the outcome. Records of the scheduler get the time by its clock: later ones show
   to other processes how much time has passed. */
void
cb_batch_append (cb_batch_entry_t *entry, Cb__BatchRecord *record,
                 cb_batch_append_done_t done, void *ctx)
{
  append_t *append = g_new0 (append_t, 1);
  Cb__Record *outer = cb_msg_new (&cb__record__descriptor);

  append->entry = entry;
  append->added_ms = cb_batch_now_ms ();
  if (record->epoch != 0)
    record->clock_ms = (uint64_t)append->added_ms;
  append->record = record;
  append->done = done;
  append->ctx = ctx;
  outer->body_case = CB__RECORD__BODY_BATCH;
  outer->batch = (Cb__BatchRecord *)cb_msg_copy (&record->base);
  outer->time_ms = (uint64_t)cb_clock_wall (entry->clock);
  g_hash_table_insert (entry->appends, GSIZE_TO_POINTER (++entry->next_tag), append);
  cb_writer_add (entry->writer, outer, entry->next_tag, cb_batch_now_ms ());
}

/* Returns TRUE when the entry has caught up with the log and its last successful read
   was sent at most AGE_MS ago. */
gboolean
cb_batch_log_is_fresh (const cb_batch_entry_t *entry, cb_msec_t age_ms)
{
  return entry->caught_up && cb_batch_now_ms () - entry->last_read_ms <= age_ms;
}

/* TRUE when the log is known to be lost: no record can be appended for now. */
gboolean
cb_batch_log_is_lost (const cb_batch_entry_t *entry)
{
  return cb_outage_is_lost (&entry->outage, cb_batch_now_ms ());
}

/* Returns how long a call to the log takes at present, in ms: by the latest read that
   shows it, or by the scheduler's latest record, which took an append and a read. */
cb_msec_t
cb_batch_log_call_ms (const cb_batch_entry_t *entry)
{
  return MAX (cb_store_read_duration_ms (entry->store),
              cb_lag_late_ms (&entry->lag, cb_batch_now_ms ()) / CALLS_PER_RECORD);
}

/* Limits how long unsent records wait, by what is known of the log. Called
   periodically. */
void
cb_batch_log_limit_waits (cb_batch_entry_t *entry)
{
  cb_writer_pause (entry->writer, entry->healthy                 ? 0
                                  : cb_batch_log_is_lost (entry) ? LOST_GIVE_UP_MS
                                                                 : OUTAGE_GIVE_UP_MS);
}

static void
note_lag (cb_batch_entry_t *entry, const Cb__Record *record)
{
  uint64_t epoch = record->batch->epoch;

  if (entry->caught_up && epoch != 0 && epoch == cb_batch_epoch (entry->batch))
    cb_lag_note (&entry->lag, (cb_msec_t)record->time_ms, cb_clock_wall (entry->clock),
                 cb_batch_now_ms ());
}

static void
apply_record_batch (cb_batch_entry_t *entry, const cb_logc_record_t *data)
{
  Cb__RecordBatch *records =
      cb__record_batch__unpack (NULL, data->size, (const uint8_t *)data->data);

  if (records == NULL)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "record_unreadable",
                          "offset=%" PRIu64 " bytes=%zu", data->offset, data->size);
      return;
    }
  for (size_t i = 0; i < records->n_records; i++)
    if (records->records[i]->body_case == CB__RECORD__BODY_BATCH)
      note_lag (entry, records->records[i]);
  for (size_t i = 0; i < records->n_records; i++)
    if (records->records[i]->body_case == CB__RECORD__BODY_BATCH)
      cb_batch_apply (entry->batch, data->offset, records->records[i]->batch,
                      cb_batch_now_ms (), (cb_msec_t)records->records[i]->time_ms);
  cb_msg_free (records);
}

static void
read_later (cb_batch_entry_t *entry, cb_msec_t delay_ms)
{
  cb_timer_free (entry->read_retry_timer);
  entry->read_retry_timer = cb_timer_new (entry->loop, delay_ms, 0, read_log, entry);
}

/* Returns how long to wait before the next read, after one that returned COUNT
   records. */
static cb_msec_t
follow_pause_ms (const cb_batch_entry_t *entry, size_t count)
{
  if (entry->own_epoch != 0 || count == 0 || !entry->caught_up ||
      entry->next_offset < entry->known_end_offset)
    return 0;
  return MIN (cb_batch_entry_count (entry->batch) * FOLLOW_PAUSE_MS,
              FOLLOW_PAUSE_MAX_MS);
}

static void
handle_read_failure (cb_batch_entry_t *entry, int err, uint64_t first)
{
  if (entry->healthy)
    cb_event_unlimited (CB_LOG_WARN, "entry", "log_lost", "err=%d next=%" PRIu64, err,
                        entry->next_offset);
  entry->healthy = FALSE;
  if (err != CB_LOGC_EXPIRED)
    cb_outage_note_failure (&entry->outage, cb_batch_now_ms ());
  else
    {
      cb_outage_note_answer (&entry->outage, cb_batch_now_ms ());
      cb_event_unlimited (CB_LOG_WARN, "entry", "log_expired",
                          "next=%" PRIu64 " first=%" PRIu64, entry->next_offset, first);
      entry->snapshot_read = FALSE;
    }
  cb_batch_process_due (entry);
  read_later (entry, READ_RETRY_MS);
}

static void
on_read (void *ctx, int err, uint64_t first, uint64_t next,
         const cb_logc_record_t *records, size_t count)
{
  cb_batch_log_read_t *read = ctx;
  cb_batch_entry_t *entry = read->entry;
  cb_msec_t sent_ms = read->sent_ms;
  cb_msec_t wait_ms = count == 0 ? read->wait_ms : 0;
  gboolean current = read == entry->pending_read;
  cb_msec_t pause_ms;

  g_free (read);
  if (!current)
    return;
  entry->pending_read = NULL;
  entry->reading = FALSE;
  if (err < 0)
    {
      handle_read_failure (entry, err, first);
      return;
    }
  if (!entry->healthy)
    {
      entry->healthy_since_ms = cb_batch_now_ms ();
      cb_event_unlimited (CB_LOG_INFO, "entry", "log_regained", "next=%" PRIu64,
                          entry->next_offset);
    }
  entry->healthy = TRUE;
  cb_outage_note_answer (&entry->outage, cb_batch_now_ms ());
  /* A reply that was cut at its size does not show that there is no newer claim. */
  if (entry->next_offset + count >= next)
    entry->last_read_ms = sent_ms;
  entry->applied_until_ms = MIN (sent_ms + wait_ms, cb_batch_now_ms ());
  for (size_t i = 0; i < count; i++)
    apply_record_batch (entry, &records[i]);
  entry->next_offset += count;
  if (count == 0)
    entry->known_end_offset = entry->next_offset;
  if (!entry->caught_up && entry->next_offset >= next)
    {
      entry->caught_up = TRUE;
      cb_event_unlimited (CB_LOG_INFO, "entry", "caught_up",
                          "next=%" PRIu64 " epoch=%" PRIu64, entry->next_offset,
                          cb_batch_epoch (entry->batch));
    }
  cb_batch_scheduler_check_role (entry);
  cb_batch_answer_cancels (entry, cb_batch_now_ms ());
  cb_batch_process_due (entry);
  pause_ms = follow_pause_ms (entry, count);
  if (pause_ms > 0)
    read_later (entry, pause_ms);
  else
    read_log (entry);
}

static void
on_snapshot_fetched (cb_batch_entry_t *entry)
{
  entry->reading = FALSE;
  if (entry->snapshot_read)
    read_log (entry);
  else
    read_later (entry, READ_RETRY_MS);
}

/* Returns how long a read may wait for a record: not at all after a failure or while
   records are known to be missing; otherwise until a claim of the scheduler's role may
   be due, as the claim needs a reply that shows no newer record, but at least
   READ_WAIT_MIN_MS, or RESIGNED_READ_WAIT_MS without a scheduler, and at most
   READ_WAIT_MS. */
static cb_msec_t
read_wait_ms (const cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  if (!entry->caught_up || !entry->healthy ||
      entry->next_offset < entry->known_end_offset)
    return 0;
  return CLAMP (cb_batch_scheduler_claim_delay_ms (entry, now_ms),
                cb_batch_resigned_ms (entry->batch) != 0 ? RESIGNED_READ_WAIT_MS
                                                         : READ_WAIT_MIN_MS,
                READ_WAIT_MS);
}

static void
read_log (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_log_read_t *read;

  cb_timer_free (entry->read_retry_timer);
  entry->read_retry_timer = NULL;
  if (entry->reading)
    return;
  entry->reading = TRUE;
  if (!entry->snapshot_read)
    {
      cb_batch_fetch_snapshot (entry, on_snapshot_fetched);
      return;
    }
  read = g_new0 (cb_batch_log_read_t, 1);
  entry->pending_read = read;
  read->entry = entry;
  read->sent_ms = cb_batch_now_ms ();
  read->wait_ms = read_wait_ms (entry, read->sent_ms);
  cb_logc_read (cb_store_log (entry->store), CB_BATCH_STREAM, entry->next_offset, 0,
                read->wait_ms, on_read, read);
}

/* Starts to apply the log's records and to append to it. */
void
cb_batch_log_start (cb_batch_entry_t *entry)
{
  entry->appends = g_hash_table_new_full (NULL, NULL, NULL, free_append);
  entry->writer =
      cb_writer_new (cb_store_log (entry->store), CB_BATCH_STREAM, entry->identity, 0,
                     CB_APPEND_GIVE_UP_MS, on_append_done, entry);
  read_log (entry);
}
