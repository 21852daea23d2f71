/* An entry's use of the log. The state stream holds the records that all entries apply
   to their ledgers; the snapshot stream holds the ledger's snapshots, for processes
   that start after older records have expired. */
#include "cmd/entry.h"

#include <stdlib.h>
#include <string.h>

#define STATE_STREAM "state"
#define SNAPSHOT_STREAM "snapshot"
#define DEFAULT_LOG_TIMEOUT_MS 2000
#define DEFAULT_BATCH_MS 20
#define READ_MAX_RECORDS 256
/* Records of the snapshot stream hold up to 192 KB each. A new process first reads only
   the last SNAPSHOT_TAIL_RECORDS: reading the snapshots of a day would take longer than
   the rest of its start. */
#define SNAPSHOT_READ_MAX_RECORDS 32
#define SNAPSHOT_TAIL_RECORDS 128
/* Duration of a long poll; shorter than the timeout of the log client. */
#define LONG_POLL_MS 1000
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
/* Time to wait for a peer's snapshot before those in the log are read. */
#define PEER_SNAPSHOT_TIMEOUT_MS 500

static void read_more (cb_entry_t *entry);

/* ---- appends ---- */

static void
remove_append (cb_entry_t *entry, cb_pending_append_t *append)
{
  g_hash_table_remove (entry->appends_by_sequence, &append->sequence);
  g_hash_table_remove (entry->pending_appends, &append->tag);
}

/* Notifies the owner and the caller of APPEND that it failed with ERR, a CB_LOGC_
   error, and removes both from APPEND. */
static void
fail_append (cb_entry_t *entry, cb_pending_append_t *append, int err)
{
  cb_msec_t now_ms = cb_entry_now (entry);
  cb_http_req_t *req = append->req;
  gboolean may_be_stored = err == CB_LOGC_UNAVAILABLE;

  append->req = NULL;
  if (append->owner == CB_OWNER_SCHED)
    cb_sched_appended (entry->sched, append->owner_tag, err, now_ms);
  if (append->owner == CB_OWNER_ROUTE)
    cb_route_appended (entry->route, append->owner_tag, err, now_ms);
  if (append->owner == CB_OWNER_CLAIM)
    entry->claim_pending = FALSE;
  append->owner = CB_OWNER_CALLER;
  if (req != NULL)
    cb_entry_refuse (entry, req, CB__REASON__LOG_UNAVAILABLE,
                     may_be_stored ? CB__RAN__RAN_UNKNOWN : CB__RAN__RAN_NO,
                     may_be_stored ? "the record may still take effect"
                                   : "the record was not stored");
}

static void
on_appended (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_entry_t *entry = ctx;
  cb_pending_append_t *append = g_hash_table_lookup (entry->pending_appends, &tag);

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
      fail_append (entry, append, err);
      /* A record that may be stored can still be read and applied, without an owner. */
      if (err != CB_LOGC_UNAVAILABLE)
        remove_append (entry, append);
    }
  cb_entry_flush (entry);
}

/* Appends RECORD, which then belongs to the writer, to the state stream. OWNER is
   notified of the result with OWNER_TAG. REQ, which may be NULL, is answered once the
   record has been applied to the ledger or the append has failed. The returned append
   belongs to ENTRY. */
cb_pending_append_t *
cb_entry_append (cb_entry_t *entry, Cb__Record *record, cb_append_owner_t owner,
                 uint64_t owner_tag, cb_http_req_t *req)
{
  cb_pending_append_t *append = g_new0 (cb_pending_append_t, 1);

  record->time_ms = (uint64_t)cb_clock_wall (entry->clock);
  append->tag = ++entry->last_id;
  append->owner = owner;
  append->owner_tag = owner_tag;
  append->req = req;
  append->added_ms = cb_entry_now (entry);
  cb_writer_add (entry->writer, record, append->tag, append->added_ms);
  append->sequence = record->sequence;
  g_hash_table_insert (entry->pending_appends, &append->tag, append);
  g_hash_table_insert (entry->appends_by_sequence, &append->sequence, append);
  return append;
}

/* Appends RECORD for the caller of REQ, and takes ownership of RECORD. Refuses REQ
   instead when the log has been unavailable for CB_ENTRY_LOG_TIMEOUT_MS. */
void
cb_entry_append_for_caller (cb_entry_t *entry, Cb__Record *record, cb_http_req_t *req)
{
  if (entry->log_available ||
      cb_entry_now (entry) - entry->log_lost_since_ms < CB_ENTRY_LOG_TIMEOUT_MS)
    {
      cb_entry_append (entry, record, CB_OWNER_CALLER, 0, req);
      return;
    }
  cb_entry_refuse (entry, req, CB__REASON__LOG_UNAVAILABLE, CB__RAN__RAN_NO,
                   "the record was not stored");
  cb_msg_free (record);
}

static void
fail_overdue_appends (cb_entry_t *entry, cb_msec_t now_ms)
{
  GList *all = g_hash_table_get_values (entry->pending_appends);

  for (GList *at = all; at != NULL; at = at->next)
    {
      cb_pending_append_t *append = at->data;

      if (now_ms - append->added_ms >= CB_ENTRY_APPLY_TIMEOUT_MS &&
          (append->req != NULL || append->owner != CB_OWNER_CALLER))
        fail_append (entry, append, CB_LOGC_UNAVAILABLE);
    }
  g_list_free (all);
}

static gboolean
count_if_caller (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  if (((cb_pending_append_t *)value)->req != NULL)
    (*(uint32_t *)data)++;
  return FALSE;
}

/* Returns the number of callers that wait until their record is applied. */
uint32_t
cb_entry_append_caller_count (const cb_entry_t *entry)
{
  uint32_t count = 0;

  g_hash_table_find (entry->pending_appends, count_if_caller, &count);
  return count;
}

/* ---- reading ---- */

static void
on_read_failure (cb_entry_t *entry)
{
  cb_msec_t now_ms = cb_entry_now (entry);

  if (entry->log_available)
    {
      cb_log (CB_LOG_WARN, "entry", "log is unavailable");
      entry->log_lost_since_ms = now_ms;
    }
  entry->log_available = FALSE;
  cb_route_set_log_available (entry->route, FALSE, now_ms);
  entry->read_due_ms = now_ms + entry->read_backoff_ms;
  entry->read_backoff_ms = MIN (entry->read_backoff_ms * 2, BACKOFF_MAX_MS);
}

static void
on_read_success (cb_entry_t *entry)
{
  if (!entry->log_available)
    cb_log (CB_LOG_INFO, "entry", "log is available");
  entry->log_available = TRUE;
  cb_route_set_log_available (entry->route, TRUE, cb_entry_now (entry));
  entry->read_backoff_ms = BACKOFF_MIN_MS;
  entry->read_due_ms = 0;
}

/* Called when the state is as new as the log, or as a peer's while the log is
   unavailable. Rebuilds the scheduler: the jobs in it were added before the
   configuration was set, so without the rules of their kinds. */
static void
set_caught_up (cb_entry_t *entry)
{
  entry->caught_up = TRUE;
  cb_entry_rebuild_from_ledger (entry);
}

/* Handles a failed read. An entry that has not caught up requests a peer's snapshot. It
   relies on the peer's state only while the log is unavailable and no newer
   configuration is known: the peer may itself be cut off from the log and have an
   outdated state. */
static void
handle_read_error (cb_entry_t *entry)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);

  on_read_failure (entry);
  if (entry->caught_up)
    return;
  if (!entry->has_peer_state)
    cb_entry_request_snapshot (entry);
  else if (config != NULL &&
           config->version >= cb_peers_newest_config_version (entry->peers))
    set_caught_up (entry);
}

static void
on_state_records (void *ctx, int err, uint64_t first, uint64_t next,
                  const cb_logc_record_t *records, size_t count)
{
  cb_entry_t *entry = ctx;

  (void)first;
  if (entry->closing)
    return;
  entry->read_pending = FALSE;
  if (err == CB_LOGC_EXPIRED)
    {
      cb_log (CB_LOG_WARN, "entry",
              "log no longer has offset %" G_GUINT64_FORMAT "; requesting a snapshot",
              cb_ledger_next_offset (entry->ledger));
      cb_entry_request_snapshot (entry);
      return;
    }
  if (err < 0)
    {
      handle_read_error (entry);
      return;
    }
  on_read_success (entry);
  for (size_t i = 0; i < count; i++)
    cb_ledger_apply (entry->ledger, records[i].offset, records[i].data,
                     records[i].size);
  if (!entry->caught_up && cb_ledger_next_offset (entry->ledger) >= next)
    set_caught_up (entry);
  if (count > 0)
    cb_entry_update_peers_state (entry);
  cb_entry_flush (entry);
  read_more (entry);
}

/* Assembles the chunks in RECORD and keeps the newest snapshot that is complete. */
static void
collect_snapshots (cb_entry_t *entry, const cb_logc_record_t *record)
{
  Cb__RecordBatch *batch = cb__record_batch__unpack (NULL, record->size, record->data);
  GBytes *whole = NULL;

  for (size_t i = 0; batch != NULL && i < batch->n_records; i++)
    if (batch->records[i]->body_case == CB__RECORD__BODY_SNAPSHOT &&
        cb_snapshot_assembly_add (entry->log_assembly, batch->records[i]->snapshot,
                                  &whole) == 1)
      {
        g_clear_pointer (&entry->newest_snapshot, g_bytes_unref);
        entry->newest_snapshot = whole;
      }
  cb_msg_free (batch);
}

/* On the first response, whose next offset is NEXT, sets the end of the snapshot stream
   and skips to its last SNAPSHOT_TAIL_RECORDS. Returns TRUE when reading must continue
   from there. */
static gboolean
skip_to_tail (cb_entry_t *entry, uint64_t next)
{
  if (entry->snapshots_end > 0)
    return FALSE;
  entry->snapshots_end = next;
  if (next <= entry->snapshots_from + SNAPSHOT_TAIL_RECORDS)
    return FALSE;
  entry->snapshots_skipped_from = entry->snapshots_from;
  entry->snapshots_from = next - SNAPSHOT_TAIL_RECORDS;
  return TRUE;
}

/* At the end of the snapshot stream, restores the newest snapshot and goes on with the
   state stream. When the last SNAPSHOT_TAIL_RECORDS held no complete snapshot, goes
   back to the first record that was skipped. */
static void
finish_snapshots (cb_entry_t *entry)
{
  if (entry->newest_snapshot == NULL && entry->snapshots_skipped_from > 0)
    {
      entry->snapshots_from = entry->snapshots_skipped_from;
      entry->snapshots_skipped_from = 0;
      return;
    }
  if (entry->newest_snapshot != NULL)
    cb_entry_restore (entry, entry->newest_snapshot);
  g_clear_pointer (&entry->newest_snapshot, g_bytes_unref);
  entry->reader_state = CB_READER_READ_STATE;
}

static void
on_snapshot_records (void *ctx, int err, uint64_t first, uint64_t next,
                     const cb_logc_record_t *records, size_t count)
{
  cb_entry_t *entry = ctx;

  if (entry->closing)
    return;
  entry->read_pending = FALSE;
  if (err == CB_LOGC_EXPIRED && first > entry->snapshots_from)
    {
      entry->snapshots_from = first;
      return;
    }
  if (err < 0)
    {
      handle_read_error (entry);
      return;
    }
  on_read_success (entry);
  if (skip_to_tail (entry, next))
    return;
  for (size_t i = 0; i < count; i++)
    collect_snapshots (entry, &records[i]);
  if (count > 0)
    entry->snapshots_from = records[count - 1].offset + 1;
  if (count == 0 || entry->snapshots_from >= next)
    finish_snapshots (entry);
  cb_entry_flush (entry);
}

static void
read_more (cb_entry_t *entry)
{
  if (entry->read_pending || entry->reader_state == CB_READER_WAIT_FOR_PEER)
    return;
  entry->read_pending = TRUE;
  if (entry->reader_state == CB_READER_READ_SNAPSHOTS)
    cb_logc_read (entry->log, SNAPSHOT_STREAM, entry->snapshots_from,
                  entry->snapshots_end == 0 ? 1 : SNAPSHOT_READ_MAX_RECORDS, 0,
                  on_snapshot_records, entry);
  else
    cb_logc_read (entry->log, STATE_STREAM, cb_ledger_next_offset (entry->ledger),
                  READ_MAX_RECORDS, entry->caught_up ? LONG_POLL_MS : 0,
                  on_state_records, entry);
}

/* Requests a snapshot from all peers and restarts the reader, which reads the log's
   snapshots when none arrives in time, and the state stream after the snapshot. */
void
cb_entry_request_snapshot (cb_entry_t *entry)
{
  entry->reader_state = CB_READER_WAIT_FOR_PEER;
  entry->peer_snapshot_deadline_ms = cb_entry_now (entry) + PEER_SNAPSHOT_TIMEOUT_MS;
  entry->snapshots_from = 1;
  entry->snapshots_end = 0;
  entry->snapshots_skipped_from = 0;
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

/* Creates the log's client and writers, and requests a snapshot to begin from. */
void
cb_entry_log_start (cb_entry_t *entry)
{
  const Cb__LogSettings *log = entry->settings->log;
  cb_msec_t timeout_ms = log->timeout_ms > 0 ? log->timeout_ms : DEFAULT_LOG_TIMEOUT_MS;
  cb_msec_t batch_ms = log->batch_ms > 0 ? log->batch_ms : DEFAULT_BATCH_MS;

  entry->log = cb_logc_http (entry->loop, log->address, timeout_ms);
  entry->producer = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, entry->settings->name,
                                     entry->incarnation);
  entry->writer = cb_writer_new (entry->log, STATE_STREAM, entry->producer, batch_ms,
                                 CB_ENTRY_APPEND_TIMEOUT_MS, on_appended, entry);
  entry->snapshot_writer =
      cb_writer_new (entry->log, SNAPSHOT_STREAM, entry->producer, batch_ms,
                     CB_ENTRY_APPEND_TIMEOUT_MS, cb_entry_on_snapshot_written, entry);
  entry->pending_appends =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  entry->appends_by_sequence = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->log_assembly = cb_snapshot_assembly_new ();
  entry->peer_assembly = cb_snapshot_assembly_new ();
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
  cb_snapshot_assembly_free (entry->log_assembly);
  cb_snapshot_assembly_free (entry->peer_assembly);
  g_clear_pointer (&entry->newest_snapshot, g_bytes_unref);
  g_clear_pointer (&entry->appends_by_sequence, g_hash_table_unref);
  g_clear_pointer (&entry->pending_appends, g_hash_table_unref);
  g_free (entry->producer);
}

/* Sends batches that are due, continues reading (with the log's snapshots when no peer
   has sent one in time), fails appends that are overdue, and stores a snapshot when it
   is due. */
void
cb_entry_log_tick (cb_entry_t *entry, cb_msec_t now_ms)
{
  cb_writer_tick (entry->writer, now_ms);
  cb_writer_tick (entry->snapshot_writer, now_ms);
  if (entry->reader_state == CB_READER_WAIT_FOR_PEER &&
      now_ms >= entry->peer_snapshot_deadline_ms)
    entry->reader_state = CB_READER_READ_SNAPSHOTS;
  if (now_ms >= entry->read_due_ms)
    read_more (entry);
  fail_overdue_appends (entry, now_ms);
  cb_entry_store_due_snapshot (entry, now_ms);
}
