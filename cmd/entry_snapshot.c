/* Snapshots of the ledger: sent to other entries on request, and stored in the log by
   the scheduler. A snapshot is split into chunks. */
#include "cmd/entry.h"

/* Data of one chunk. A record with one chunk stays below 262,144 bytes, the limit of
   the log. */
#define CHUNK_DATA_BYTES ((size_t)192 * 1024)
/* A snapshot is due after this many offsets of the state stream, even before the
   interval of snapshot_interval_ms has passed. */
#define SNAPSHOT_MAX_OFFSETS 5000
#define DEFAULT_LOG_RETENTION_MS ((cb_msec_t)30 * 60 * 1000)
/* Delay of a scheduler's first snapshot, as the age of its predecessor's last one is
   unknown, and of the next attempt after a snapshot that could not be stored. */
#define SNAPSHOT_SHORT_DELAY_MS 5000
/* Ended jobs and requests are kept in the ledger for this long. */
#define ENDED_RETENTION_MS CB_KEY_RETENTION_MS

/* Returns the chunks of a new snapshot. They share an id that no other snapshot has:
   two snapshots at the same offset can differ, when jobs have expired in one of them.
 */
static GPtrArray *
make_chunks (cb_entry_t *entry)
{
  GBytes *snapshot = cb_ledger_snapshot (entry->ledger);
  uint64_t id = ((uint64_t)g_str_hash (entry->settings->name) << 32) ^ ++entry->last_id;
  GPtrArray *chunks = cb_snapshot_split (snapshot, id, CHUNK_DATA_BYTES);

  g_bytes_unref (snapshot);
  return chunks;
}

/* Sends a snapshot to a peer whose state is older. A process that has not caught up
   with the log, or knows of a newer configuration than its own, sends none: the peer
   would act on a configuration that has been replaced. */
void
cb_entry_on_snapshot_request (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  GPtrArray *chunks;

  if (cb_ledger_next_offset (entry->ledger) <= envelope->snapshot_request->have_next)
    return;
  if (!entry->caught_up || entry->newer_config_since_ms > 0)
    {
      cb_counters_add (entry->counters, "snapshots_withheld_total", NULL, 1);
      return;
    }
  chunks = make_chunks (entry);
  for (guint i = 0; i < chunks->len; i++)
    {
      Cb__Envelope *reply = cb_msg_new (&cb__envelope__descriptor);

      cb_msg_set_string (&reply->to, envelope->from);
      reply->body_case = CB__ENVELOPE__BODY_SNAPSHOT_CHUNK;
      reply->snapshot_chunk = (Cb__SnapshotChunk *)cb_msg_copy (chunks->pdata[i]);
      cb_entry_send (entry, reply);
      cb_msg_free (reply);
    }
  g_ptr_array_free (chunks, TRUE);
}

/* Replaces the state by SNAPSHOT when that is newer. Returns 0, or the error of
   cb_ledger_restore: CB_LEDGER_STALE when it is not newer. */
int
cb_entry_restore (cb_entry_t *entry, GBytes *snapshot)
{
  gsize size;
  const void *data = g_bytes_get_data (snapshot, &size);
  int err = cb_ledger_restore (entry->ledger, data, size);

  if (err < 0)
    return err;
  cb_log (CB_LOG_INFO, "entry",
          "state restored from a snapshot, next offset %" G_GUINT64_FORMAT,
          cb_ledger_next_offset (entry->ledger));
  cb_entry_rebuild_from_ledger (entry);
  return CB_OK;
}

/* Restores a peer's snapshot once CHUNK completes it, then lets the reader continue
   with the state stream. A snapshot that is not newer isn't restored, but shows that
   the state is as new as the peer's. */
void
cb_entry_on_snapshot_chunk (cb_entry_t *entry, const Cb__SnapshotChunk *chunk)
{
  GBytes *whole = NULL;
  int err;

  if (cb_snapshot_assembly_add (entry->peer_assembly, chunk, &whole) != 1)
    return;
  err = cb_entry_restore (entry, whole);
  g_bytes_unref (whole);
  if (err < 0 && err != CB_LEDGER_STALE)
    {
      cb_log (CB_LOG_WARN, "entry", "ignoring a snapshot of a peer: it is not valid");
      return;
    }
  entry->has_peer_state = TRUE;
  entry->reader_state = CB_READER_READ_STATE;
}

/* Returns half of the log's retention. A new process then has at least the other half
   to read the last snapshot and all records after it before they expire. */
static cb_msec_t
snapshot_interval_ms (const cb_entry_t *entry)
{
  cb_msec_t retention_ms = entry->settings->log->retention_ms;

  return (retention_ms > 0 ? retention_ms : DEFAULT_LOG_RETENTION_MS) / 2;
}

/* Callback of the snapshot writer with the result of each record. After the last one,
   the snapshot counts as stored, or another one is due after SNAPSHOT_SHORT_DELAY_MS
   if a record failed. */
void
cb_entry_on_snapshot_written (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_entry_t *entry = ctx;

  (void)tag;
  (void)offset;
  if (err < 0)
    entry->snapshot_failed = TRUE;
  if (--entry->snapshot_pending_records > 0)
    return;
  if (entry->snapshot_failed)
    {
      cb_log (CB_LOG_WARN, "entry",
              "snapshot at offset %" G_GUINT64_FORMAT " may not be stored",
              entry->snapshot_writing_next);
      entry->snapshot_due_ms = cb_entry_now (entry) + SNAPSHOT_SHORT_DELAY_MS;
      return;
    }
  entry->snapshot_stored_next = entry->snapshot_writing_next;
  cb_counters_add (entry->counters, "snapshots_total", NULL, 1);
}

static void
write_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  GPtrArray *chunks;

  cb_ledger_expire (entry->ledger, cb_clock_wall (entry->clock), ENDED_RETENTION_MS);
  chunks = make_chunks (entry);
  entry->snapshot_writing_next = cb_ledger_next_offset (entry->ledger);
  entry->snapshot_pending_records = chunks->len;
  entry->snapshot_failed = FALSE;
  for (guint i = 0; i < chunks->len; i++)
    {
      Cb__Record *record = cb_msg_new (&cb__record__descriptor);

      record->body_case = CB__RECORD__BODY_SNAPSHOT;
      record->time_ms = (uint64_t)cb_clock_wall (entry->clock);
      record->snapshot = (Cb__SnapshotChunk *)cb_msg_copy (chunks->pdata[i]);
      cb_writer_add (entry->snapshot_writer, record, 0, now_ms);
    }
  g_ptr_array_free (chunks, TRUE);
}

/* Appends a snapshot to the log when this process is the scheduler and one is due. That
   includes times without new records: the last snapshot expires in the log too. */
void
cb_entry_store_due_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  if (entry->epoch == 0)
    {
      entry->snapshot_due_ms = 0;
      return;
    }
  if (entry->snapshot_due_ms == 0)
    entry->snapshot_due_ms =
        now_ms + MIN (SNAPSHOT_SHORT_DELAY_MS, snapshot_interval_ms (entry));
  if (cb_writer_pending (entry->snapshot_writer) > 0 ||
      (now_ms < entry->snapshot_due_ms &&
       cb_ledger_next_offset (entry->ledger) <
           entry->snapshot_stored_next + SNAPSHOT_MAX_OFFSETS))
    return;
  entry->snapshot_due_ms = now_ms + snapshot_interval_ms (entry);
  write_snapshot (entry, now_ms);
}

/* Appends a snapshot when this process exits as the last entry: without it, the records
   after the last snapshot could expire before an entry runs again. */
void
cb_entry_store_exit_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  if (entry->exit_snapshot_begun || !entry->caught_up ||
      cb_writer_pending (entry->snapshot_writer) > 0 ||
      cb_ledger_next_offset (entry->ledger) <= entry->snapshot_stored_next ||
      !cb_peers_is_last_entry (entry->peers))
    return;
  entry->exit_snapshot_begun = TRUE;
  write_snapshot (entry, now_ms);
}
