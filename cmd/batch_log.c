#include "cmd/batch.h"

/* A read waits this long for the next record, so that a silent connection or store is
   noticed within twice this time. After a failure it does not wait, so that the store's
   return is noticed sooner. */
#define READ_WAIT_MS 1000
/* Shortest wait, while a claim is under way. */
#define READ_WAIT_MIN_MS 250
/* Pause after a failed read. */
#define RETRY_MS 150
/* Time in ms for a waiting read to show a record that the store has confirmed. The
   store was seen to miss a record that came while the read did: its answer then came
   with the next record, 0.25 s later, for 3% of the appends. */
#define BEHIND_MS 10
/* Without the log, a record that was not sent is given up after this long: half of a
   caller's 3 s, so that it can still come back. */
#define HELD_MS 1400

typedef struct
{
  cb_batch_entry_t *entry;
  cb_msec_t added_ms;
  Cb__BatchRecord *record;
  cb_batch_stored_t done;
  void *ctx;
} append_t;

struct cb_batch_read
{
  cb_batch_entry_t *entry;
  cb_msec_t sent_ms;
  cb_msec_t wait_ms;
};

static void read_on (void *ctx);

static void
free_append (void *ptr)
{
  append_t *append = ptr;

  cb_msg_free (append->record);
  g_free (append);
}

/* Reads again without a wait when the read under way has not shown what is known to be
   there. */
static void
on_behind (void *ctx)
{
  cb_batch_entry_t *entry = ctx;

  cb_timer_free (entry->behind_timer);
  entry->behind_timer = NULL;
  if (entry->next >= entry->known_end || entry->read == NULL ||
      entry->read->wait_ms == 0)
    return;
  cb_counters_add (entry->counters, "store_reads_repeated_total", NULL, 1);
  entry->read = NULL;
  entry->reading = FALSE;
  read_on (entry);
}

static void
note_end (cb_batch_entry_t *entry, uint64_t end)
{
  entry->known_end = MAX (entry->known_end, end);
  if (entry->next < entry->known_end && entry->behind_timer == NULL)
    entry->behind_timer = cb_timer_new (entry->loop, BEHIND_MS, 0, on_behind, entry);
}

static void
on_stored (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_batch_entry_t *entry = ctx;
  append_t *append = g_hash_table_lookup (entry->appends, GSIZE_TO_POINTER (tag));

  if (err == CB_OK)
    note_end (entry, offset + 1);
  if (append == NULL)
    return;
  g_hash_table_steal (entry->appends, GSIZE_TO_POINTER (tag));
  cb_counters_add (entry->counters, "store_appends_total",
                   err == CB_OK                 ? "result=\"stored\""
                   : err == CB_LOGC_UNAVAILABLE ? "result=\"unknown\""
                                                : "result=\"not_stored\"",
                   1);
  cb_counters_observe (entry->counters, "store_append_duration_ms", NULL,
                       cb_batch_now () - append->added_ms);
  if (append->done != NULL)
    append->done (entry, append->ctx, err, append->record);
  free_append (append);
}

/* Appends RECORD, which belongs to the entry from then on, and calls DONE once. */
void
cb_batch_append (cb_batch_entry_t *entry, Cb__BatchRecord *record,
                 cb_batch_stored_t done, void *ctx)
{
  append_t *append = g_new0 (append_t, 1);
  Cb__Record *outer = cb_msg_new (&cb__record__descriptor);

  append->entry = entry;
  append->added_ms = cb_batch_now ();
  append->record = record;
  append->done = done;
  append->ctx = ctx;
  outer->body_case = CB__RECORD__BODY_BATCH;
  outer->batch = (Cb__BatchRecord *)cb_msg_copy (&record->base);
  outer->time_ms = (uint64_t)cb_clock_wall (entry->clock);
  g_hash_table_insert (entry->appends, GSIZE_TO_POINTER (++entry->next_tag), append);
  cb_writer_add (entry->writer, outer, entry->next_tag, cb_batch_now ());
}

/* TRUE when the log was read successfully within AGE_MS. */
gboolean
cb_batch_log_fresh (const cb_batch_entry_t *entry, cb_msec_t age_ms)
{
  return entry->caught_up && cb_batch_now () - entry->read_ms <= age_ms;
}

static void
apply_one (cb_batch_entry_t *entry, const cb_logc_record_t *data)
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
      cb_batch_apply (entry->batch, data->offset, records->records[i]->batch,
                      cb_batch_now (), (cb_msec_t)records->records[i]->time_ms);
  cb_msg_free (records);
}

static void
read_later (cb_batch_entry_t *entry)
{
  cb_timer_free (entry->read_timer);
  entry->read_timer = cb_timer_new (entry->loop, RETRY_MS, 0, read_on, entry);
}

static void
take_failure (cb_batch_entry_t *entry, int err, uint64_t first)
{
  if (entry->healthy)
    cb_event_unlimited (CB_LOG_WARN, "entry", "log_lost", "err=%d next=%" PRIu64, err,
                        entry->next);
  entry->healthy = FALSE;
  cb_writer_pause (entry->writer, HELD_MS);
  if (err == CB_LOGC_EXPIRED)
    {
      cb_event_unlimited (CB_LOG_WARN, "entry", "log_expired",
                          "next=%" PRIu64 " first=%" PRIu64, entry->next, first);
      entry->snapshot_read = FALSE;
    }
  read_later (entry);
}

static void
on_read (void *ctx, int err, uint64_t first, uint64_t next,
         const cb_logc_record_t *records, size_t count)
{
  cb_batch_read_t *read = ctx;
  cb_batch_entry_t *entry = read->entry;
  cb_msec_t sent_ms = read->sent_ms;
  cb_msec_t wait_ms = count == 0 ? read->wait_ms : 0;
  gboolean current = read == entry->read;

  g_free (read);
  if (!current)
    return;
  entry->read = NULL;
  entry->reading = FALSE;
  if (err < 0)
    {
      take_failure (entry, err, first);
      return;
    }
  if (!entry->healthy)
    {
      entry->healthy_ms = cb_batch_now ();
      cb_event_unlimited (CB_LOG_INFO, "entry", "log_regained", "next=%" PRIu64,
                          entry->next);
    }
  entry->healthy = TRUE;
  cb_writer_pause (entry->writer, 0);
  entry->read_ms = sent_ms;
  entry->known_ms = MIN (sent_ms + wait_ms, cb_batch_now ());
  for (size_t i = 0; i < count; i++)
    apply_one (entry, &records[i]);
  entry->next += count;
  if (count == 0)
    entry->known_end = entry->next;
  if (!entry->caught_up && entry->next >= next)
    {
      entry->caught_up = TRUE;
      cb_event_unlimited (CB_LOG_INFO, "entry", "caught_up",
                          "next=%" PRIu64 " epoch=%" PRIu64, entry->next,
                          cb_batch_epoch (entry->batch));
    }
  cb_batch_lead_check (entry);
  cb_batch_pump (entry);
  read_on (entry);
}

static void
on_snapshot (cb_batch_entry_t *entry)
{
  entry->reading = FALSE;
  if (entry->snapshot_read)
    read_on (entry);
  else
    read_later (entry);
}

/* A read that waits for a record ends when the scheduler's silence would allow a claim:
   only its answer shows that there is none. */
static cb_msec_t
read_wait_ms (const cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  if (!entry->caught_up || !entry->healthy || entry->next < entry->known_end)
    return 0;
  return CLAMP (cb_batch_lead_silent_in (entry, now_ms), READ_WAIT_MIN_MS,
                READ_WAIT_MS);
}

static void
read_on (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_read_t *read;

  cb_timer_free (entry->read_timer);
  entry->read_timer = NULL;
  if (entry->reading)
    return;
  entry->reading = TRUE;
  if (!entry->snapshot_read)
    {
      cb_batch_save_load (entry, on_snapshot);
      return;
    }
  read = g_new0 (cb_batch_read_t, 1);
  entry->read = read;
  read->entry = entry;
  read->sent_ms = cb_batch_now ();
  read->wait_ms = read_wait_ms (entry, read->sent_ms);
  cb_logc_read (cb_store_log (entry->store), CB_BATCH_STREAM, entry->next, 0,
                read->wait_ms, on_read, read);
}

/* Starts to fold the log and to append to it. */
void
cb_batch_log_open (cb_batch_entry_t *entry)
{
  entry->appends = g_hash_table_new_full (NULL, NULL, NULL, free_append);
  entry->writer = cb_writer_new (cb_store_log (entry->store), CB_BATCH_STREAM,
                                 entry->identity, 0, CB_GIVE_UP_MS, on_stored, entry);
  read_on (entry);
}
