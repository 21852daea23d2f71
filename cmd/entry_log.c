#include "cmd/entry.h"

#include <stdlib.h>
#include <string.h>

#define STATE_STREAM "state"
#define SNAPSHOT_STREAM "snapshot"
#define DEFAULT_TIMEOUT_MS 2000
#define DEFAULT_BATCH_MS 20
#define READ_MAX 256
/* Records of the snapshot stream hold up to 192 KB each. A new process begins with the
   last STORED_TAIL of them: reading a day of snapshots takes longer than the rest of
   its start. */
#define STORED_READ_MAX 32
#define STORED_TAIL 128
/* Long poll of the log; shorter than its time-out. */
#define READ_WAIT_MS 1000
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
/* A new process waits this long for a peer's snapshot before it reads the log's. */
#define PEER_SNAPSHOT_MS 500

static void read_more (cb_entry_t *entry);

/* ---- appends ---- */

static void
forget (cb_entry_t *entry, cb_append_t *append)
{
  g_hash_table_remove (entry->by_sequence, &append->sequence);
  g_hash_table_remove (entry->appends, &append->tag);
}

static void
report_error (cb_entry_t *entry, cb_append_t *append, int err)
{
  cb_msec_t now_ms = cb_entry_now (entry);
  cb_http_req_t *req = append->req;
  gboolean sent = err == CB_LOGC_UNAVAILABLE;

  append->req = NULL;
  if (append->owner == CB_OWNER_SCHED)
    cb_sched_appended (entry->sched, append->owner_tag, err, now_ms);
  if (append->owner == CB_OWNER_ROUTE)
    cb_route_appended (entry->route, append->owner_tag, err, now_ms);
  if (append->owner == CB_OWNER_CLAIM)
    entry->claiming = FALSE;
  append->owner = CB_OWNER_CALLER;
  if (req != NULL)
    cb_entry_refuse (entry, req, CB__REASON__LOG_UNAVAILABLE,
                     sent ? CB__RAN__RAN_UNKNOWN : CB__RAN__RAN_NO,
                     sent ? "the record may still take effect"
                          : "the record was not stored");
}

static void
on_written (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_entry_t *entry = ctx;
  cb_append_t *append = g_hash_table_lookup (entry->appends, &tag);

  (void)offset;
  if (append == NULL)
    return;
  if (err == CB_OK)
    {
      if (!append->acked && append->owner == CB_OWNER_ROUTE)
        cb_route_appended (entry->route, append->owner_tag, CB_OK,
                           cb_entry_now (entry));
      append->acked = TRUE;
    }
  else
    {
      report_error (entry, append, err);
      /* One that may be stored is still met in the fold, without an owner. */
      if (err != CB_LOGC_UNAVAILABLE)
        forget (entry, append);
    }
  cb_entry_flush (entry);
}

/* Gives RECORD, which then belongs to the writer, to the log. OWNER hears of the result
   under OWNER_TAG; REQ, which may be NULL, is answered from the fold. */
cb_append_t *
cb_entry_append (cb_entry_t *entry, Cb__Record *record, cb_owner_t owner,
                 uint64_t owner_tag, cb_http_req_t *req)
{
  cb_append_t *append = g_new0 (cb_append_t, 1);

  record->time_ms = (uint64_t)cb_clock_wall (entry->clock);
  append->tag = ++entry->last_id;
  append->owner = owner;
  append->owner_tag = owner_tag;
  append->req = req;
  append->added_ms = cb_entry_now (entry);
  cb_writer_add (entry->writer, record, append->tag, append->added_ms);
  append->sequence = record->sequence;
  g_hash_table_insert (entry->appends, &append->tag, append);
  g_hash_table_insert (entry->by_sequence, &append->sequence, append);
  return append;
}

/* Appends RECORD, which it takes over, for the caller of REQ; refuses it in a log
   outage that has lasted for a while. */
void
cb_entry_append_for (cb_entry_t *entry, Cb__Record *record, cb_http_req_t *req)
{
  if (entry->log_available ||
      cb_entry_now (entry) - entry->log_lost_ms < CB_ENTRY_LOG_PATIENCE_MS)
    {
      cb_entry_append (entry, record, CB_OWNER_CALLER, 0, req);
      return;
    }
  cb_entry_refuse (entry, req, CB__REASON__LOG_UNAVAILABLE, CB__RAN__RAN_NO,
                   "the record was not stored");
  cb_msg_free (record);
}

static void
expire_waiting (cb_entry_t *entry, cb_msec_t now_ms)
{
  GList *all = g_hash_table_get_values (entry->appends);

  for (GList *at = all; at != NULL; at = at->next)
    {
      cb_append_t *append = at->data;

      if (now_ms - append->added_ms >= CB_ENTRY_FOLD_MS &&
          (append->req != NULL || append->owner != CB_OWNER_CALLER))
        report_error (entry, append, CB_LOGC_UNAVAILABLE);
    }
  g_list_free (all);
}

static gboolean
has_caller (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  if (((cb_append_t *)value)->req != NULL)
    (*(uint32_t *)data)++;
  return FALSE;
}

/* Number of callers that wait for the fold of their record. */
uint32_t
cb_entry_waiting (const cb_entry_t *entry)
{
  uint32_t count = 0;

  g_hash_table_find (entry->appends, has_caller, &count);
  return count;
}

/* ---- reading ---- */

static void
read_failed (cb_entry_t *entry)
{
  cb_msec_t now_ms = cb_entry_now (entry);

  if (entry->log_available)
    {
      cb_log (CB_LOG_WARN, "entry", "log not available");
      entry->log_lost_ms = now_ms;
    }
  entry->log_available = FALSE;
  cb_route_set_log_available (entry->route, FALSE, now_ms);
  entry->read_due_ms = now_ms + entry->read_backoff_ms;
  entry->read_backoff_ms = MIN (entry->read_backoff_ms * 2, BACKOFF_MAX_MS);
}

static void
read_succeeded (cb_entry_t *entry)
{
  if (!entry->log_available)
    cb_log (CB_LOG_INFO, "entry", "log available");
  entry->log_available = TRUE;
  cb_route_set_log_available (entry->route, TRUE, cb_entry_now (entry));
  entry->read_backoff_ms = BACKOFF_MIN_MS;
  entry->read_due_ms = 0;
}

/* The state is as new as the log, or as a peer while the log is out of service. Jobs
   were folded without the rules of their kinds, so the scheduler starts again. */
static void
catch_up (cb_entry_t *entry)
{
  entry->caught_up = TRUE;
  cb_entry_restored (entry);
}

/* A new entry trusts a peer's state only without the log: the peer may be cut off from
   it and have an older version. */
static void
state_not_read (cb_entry_t *entry)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);

  read_failed (entry);
  if (entry->caught_up)
    return;
  if (!entry->has_peer_state)
    cb_entry_request_snapshot (entry);
  else if (config != NULL &&
           config->version >= cb_peers_newest_config_version (entry->peers))
    catch_up (entry);
}

static void
on_state (void *ctx, int err, uint64_t first, uint64_t next,
          const cb_logc_record_t *records, size_t count)
{
  cb_entry_t *entry = ctx;

  (void)first;
  if (entry->closing)
    return;
  entry->reading = FALSE;
  if (err == CB_LOGC_EXPIRED)
    {
      cb_log (CB_LOG_WARN, "entry", "log no longer has offset %" G_GUINT64_FORMAT,
              cb_ledger_next_offset (entry->ledger));
      cb_entry_request_snapshot (entry);
      return;
    }
  if (err < 0)
    {
      state_not_read (entry);
      return;
    }
  read_succeeded (entry);
  for (size_t i = 0; i < count; i++)
    cb_ledger_apply (entry->ledger, records[i].offset, records[i].data,
                     records[i].size);
  if (!entry->caught_up && cb_ledger_next_offset (entry->ledger) >= next)
    catch_up (entry);
  if (count > 0)
    cb_entry_set_state (entry);
  cb_entry_flush (entry);
  read_more (entry);
}

static void
take_stored (cb_entry_t *entry, const cb_logc_record_t *record)
{
  Cb__RecordBatch *batch = cb__record_batch__unpack (NULL, record->size, record->data);
  GBytes *whole = NULL;

  for (size_t i = 0; batch != NULL && i < batch->n_records; i++)
    if (batch->records[i]->body_case == CB__RECORD__BODY_SNAPSHOT &&
        cb_snapshot_assembly_add (entry->stored, batch->records[i]->snapshot, &whole) ==
            1)
      {
        g_clear_pointer (&entry->newest_stored, g_bytes_unref);
        entry->newest_stored = whole;
      }
  cb_msg_free (batch);
}

/* The end of the stream is known from the first answer. Returns whether to go on from
   another place. */
static gboolean
skip_to_tail (cb_entry_t *entry, uint64_t next)
{
  if (entry->stored_next > 0)
    return FALSE;
  entry->stored_next = next;
  if (next <= entry->stored_from + STORED_TAIL)
    return FALSE;
  entry->stored_skipped = entry->stored_from;
  entry->stored_from = next - STORED_TAIL;
  return TRUE;
}

static void
end_stored (cb_entry_t *entry)
{
  if (entry->newest_stored == NULL && entry->stored_skipped > 0)
    {
      entry->stored_from = entry->stored_skipped;
      entry->stored_skipped = 0;
      return;
    }
  if (entry->newest_stored != NULL)
    cb_entry_restore (entry, entry->newest_stored);
  g_clear_pointer (&entry->newest_stored, g_bytes_unref);
  entry->follow = CB_FOLLOW_STATE;
}

static void
on_stored (void *ctx, int err, uint64_t first, uint64_t next,
           const cb_logc_record_t *records, size_t count)
{
  cb_entry_t *entry = ctx;

  if (entry->closing)
    return;
  entry->reading = FALSE;
  if (err == CB_LOGC_EXPIRED && first > entry->stored_from)
    {
      entry->stored_from = first;
      return;
    }
  if (err < 0)
    {
      state_not_read (entry);
      return;
    }
  read_succeeded (entry);
  if (skip_to_tail (entry, next))
    return;
  for (size_t i = 0; i < count; i++)
    take_stored (entry, &records[i]);
  if (count > 0)
    entry->stored_from = records[count - 1].offset + 1;
  if (count == 0 || entry->stored_from >= next)
    end_stored (entry);
  cb_entry_flush (entry);
}

static void
read_more (cb_entry_t *entry)
{
  if (entry->reading || entry->follow == CB_FOLLOW_PEERS)
    return;
  entry->reading = TRUE;
  if (entry->follow == CB_FOLLOW_STORED)
    cb_logc_read (entry->log, SNAPSHOT_STREAM, entry->stored_from,
                  entry->stored_next == 0 ? 1 : STORED_READ_MAX, 0, on_stored, entry);
  else
    cb_logc_read (entry->log, STATE_STREAM, cb_ledger_next_offset (entry->ledger),
                  READ_MAX, entry->caught_up ? READ_WAIT_MS : 0, on_state, entry);
}

/* Asks for a snapshot: peers first, then the log. Reading the state stream goes on
   behind it. */
void
cb_entry_request_snapshot (cb_entry_t *entry)
{
  entry->follow = CB_FOLLOW_PEERS;
  entry->peers_until_ms = cb_entry_now (entry) + PEER_SNAPSHOT_MS;
  entry->stored_from = 1;
  entry->stored_next = 0;
  entry->stored_skipped = 0;
  for (size_t i = 0; i < entry->settings->n_entries; i++)
    {
      Cb__Envelope *envelope;

      if (strcmp (entry->settings->entries[i]->name, entry->settings->name) == 0)
        continue;
      envelope = cb_msg_new (&cb__envelope__descriptor);
      cb_msg_set_string (&envelope->to, entry->settings->entries[i]->name);
      envelope->body_case = CB__ENVELOPE__BODY_SNAPSHOT_REQUEST;
      envelope->snapshot_request = cb_msg_new (&cb__snapshot_request__descriptor);
      envelope->snapshot_request->have_next = cb_ledger_next_offset (entry->ledger);
      cb_entry_send (entry, envelope);
      cb_msg_free (envelope);
    }
}

/* Creates the log's client, reader and writers, and begins to read. */
void
cb_entry_log_start (cb_entry_t *entry)
{
  const Cb__LogSettings *log = entry->settings->log;
  cb_msec_t timeout_ms = log->timeout_ms > 0 ? log->timeout_ms : DEFAULT_TIMEOUT_MS;
  cb_msec_t batch_ms = log->batch_ms > 0 ? log->batch_ms : DEFAULT_BATCH_MS;

  entry->log = cb_logc_http (entry->loop, log->address, timeout_ms);
  entry->producer = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, entry->settings->name,
                                     entry->incarnation);
  entry->writer = cb_writer_new (entry->log, STATE_STREAM, entry->producer, batch_ms,
                                 CB_ENTRY_GIVE_UP_MS, on_written, entry);
  entry->snapshot_writer =
      cb_writer_new (entry->log, SNAPSHOT_STREAM, entry->producer, batch_ms,
                     CB_ENTRY_GIVE_UP_MS, cb_entry_on_snapshot_written, entry);
  entry->appends = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  entry->by_sequence = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->stored = cb_snapshot_assembly_new ();
  entry->received = cb_snapshot_assembly_new ();
  entry->read_backoff_ms = BACKOFF_MIN_MS;
  entry->log_available = TRUE;
  cb_entry_request_snapshot (entry);
}

void
cb_entry_log_free (cb_entry_t *entry)
{
  cb_writer_free (entry->writer);
  cb_writer_free (entry->snapshot_writer);
  if (entry->log != NULL)
    cb_logc_close (entry->log);
  cb_snapshot_assembly_free (entry->stored);
  cb_snapshot_assembly_free (entry->received);
  g_clear_pointer (&entry->newest_stored, g_bytes_unref);
  g_clear_pointer (&entry->by_sequence, g_hash_table_unref);
  g_clear_pointer (&entry->appends, g_hash_table_unref);
  g_free (entry->producer);
}

/* Sends batches that are due, reads on, and ends the wait of callers. */
void
cb_entry_log_tick (cb_entry_t *entry, cb_msec_t now_ms)
{
  cb_writer_tick (entry->writer, now_ms);
  cb_writer_tick (entry->snapshot_writer, now_ms);
  if (entry->follow == CB_FOLLOW_PEERS && now_ms >= entry->peers_until_ms)
    entry->follow = CB_FOLLOW_STORED;
  if (now_ms >= entry->read_due_ms)
    read_more (entry);
  expire_waiting (entry, now_ms);
  cb_entry_store_snapshot (entry, now_ms);
}
