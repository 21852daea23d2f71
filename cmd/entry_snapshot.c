#include "cmd/entry.h"

/* Data of one chunk; with its record it stays below the log's 262,144 bytes. */
#define CHUNK_BYTES ((size_t)192 * 1024)
#define SNAPSHOT_RECORDS 5000
#define DEFAULT_RETENTION_MS ((cb_msec_t)30 * 60 * 1000)
/* A scheduler does not know how old the last snapshot of the one before it is, and
   writes its first this soon. One that was not stored is written again after the same
   time. */
#define SNAPSHOT_SOON_MS 5000
/* Ended jobs and requests stay visible this long. */
#define KEEP_MS CB_KEY_RETENTION_MS

/* Chunks of one snapshot share an id that no other snapshot has: two at one offset can
   differ in what has expired. */
static GPtrArray *
split (cb_entry_t *entry)
{
  GBytes *snapshot = cb_ledger_snapshot (entry->ledger);
  uint64_t id = ((uint64_t)g_str_hash (entry->settings->name) << 32) ^ ++entry->last_id;
  GPtrArray *chunks = cb_snapshot_split (snapshot, id, CHUNK_BYTES);

  g_bytes_unref (snapshot);
  return chunks;
}

/* Sends the state to a peer that has less of it. A process that still reads the log's
   past, or that knows of a newer configuration, keeps silent: the peer would act on a
   version that was replaced. */
void
cb_entry_on_snapshot_request (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  GPtrArray *chunks;

  if (cb_ledger_next_offset (entry->ledger) <= envelope->snapshot_request->have_next)
    return;
  if (!entry->caught_up || entry->config_stale_ms > 0)
    {
      cb_counters_add (entry->counters, "snapshots_withheld_total", NULL, 1);
      return;
    }
  chunks = split (entry);
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

/* Replaces the state by SNAPSHOT when that is newer. Returns the ledger's error. */
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
  cb_entry_restored (entry);
  return CB_OK;
}

/* Takes a peer's snapshot. One that is not newer than the state confirms it. */
void
cb_entry_on_snapshot_chunk (cb_entry_t *entry, const Cb__SnapshotChunk *chunk)
{
  GBytes *whole = NULL;
  int err;

  if (cb_snapshot_assembly_add (entry->received, chunk, &whole) != 1)
    return;
  err = cb_entry_restore (entry, whole);
  g_bytes_unref (whole);
  if (err < 0 && err != CB_LEDGER_STALE)
    {
      cb_log (CB_LOG_WARN, "entry", "snapshot of a peer is damaged");
      return;
    }
  entry->has_peer_state = TRUE;
  entry->follow = CB_FOLLOW_STATE;
}

/* Half of the log's retention: at any time one snapshot and all records after it are
   retained for the other half. */
static cb_msec_t
interval_ms (const cb_entry_t *entry)
{
  cb_msec_t retention_ms = entry->settings->log->retention_ms;

  return (retention_ms > 0 ? retention_ms : DEFAULT_RETENTION_MS) / 2;
}

/* Callback of the writer for each record of a snapshot. */
void
cb_entry_on_snapshot_written (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  cb_entry_t *entry = ctx;

  (void)tag;
  (void)offset;
  if (err < 0)
    entry->snapshot_failed = TRUE;
  if (--entry->snapshot_unconfirmed > 0)
    return;
  if (entry->snapshot_failed)
    {
      cb_log (CB_LOG_WARN, "entry",
              "snapshot at offset %" G_GUINT64_FORMAT " may not be stored",
              entry->snapshot_writing);
      entry->snapshot_due_ms = cb_entry_now (entry) + SNAPSHOT_SOON_MS;
      return;
    }
  entry->snapshot_next = entry->snapshot_writing;
  cb_counters_add (entry->counters, "snapshots_total", NULL, 1);
}

static void
write_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  GPtrArray *chunks;

  cb_ledger_expire (entry->ledger, cb_clock_wall (entry->clock), KEEP_MS);
  chunks = split (entry);
  entry->snapshot_writing = cb_ledger_next_offset (entry->ledger);
  entry->snapshot_unconfirmed = chunks->len;
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

/* Appends a snapshot to the log when this process is scheduler and it is due. It is due
   also without new records, as the last one does not outlive retention either. */
void
cb_entry_store_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  if (entry->epoch == 0)
    {
      entry->snapshot_due_ms = 0;
      return;
    }
  if (entry->snapshot_due_ms == 0)
    entry->snapshot_due_ms = now_ms + MIN (SNAPSHOT_SOON_MS, interval_ms (entry));
  if (cb_writer_pending (entry->snapshot_writer) > 0 ||
      (now_ms < entry->snapshot_due_ms &&
       cb_ledger_next_offset (entry->ledger) < entry->snapshot_next + SNAPSHOT_RECORDS))
    return;
  entry->snapshot_due_ms = now_ms + interval_ms (entry);
  write_snapshot (entry, now_ms);
}

/* Appends a snapshot when this process ends and no other entry is left to write one
   before the records after the last one expire. */
void
cb_entry_store_last_snapshot (cb_entry_t *entry, cb_msec_t now_ms)
{
  if (entry->last_snapshot || !entry->caught_up ||
      cb_writer_pending (entry->snapshot_writer) > 0 ||
      cb_ledger_next_offset (entry->ledger) <= entry->snapshot_next ||
      !cb_peers_is_last_entry (entry->peers))
    return;
  entry->last_snapshot = TRUE;
  write_snapshot (entry, now_ms);
}
