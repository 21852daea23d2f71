/* Snapshots of the batch state in the store: the scheduler writes them, and an entry
   that starts, or whose next log records have expired, reads the newest one. */
#include "cmd/batch.h"

#include <stdlib.h>
#include <string.h>

/* Keyed topic of the snapshots. A snapshot is split into chunks with the keys `a.0`,
   `a.1`, ... or `b.0`, `b.1`, ...; the two sets are used alternately. The key `head`
   names the set of the newest complete snapshot, its number of chunks and its size in
   bytes. */
#define SNAPSHOT_TOPIC "keyed.batch"
#define HEAD_KEY "head"
/* Largest chunk; a record of the store holds at most 262,144 bytes. */
#define CHUNK_BYTES 200000
/* A snapshot is written after this many records, or when the store's retention time
   divided by SNAPSHOTS_PER_RETENTION has passed since the last attempt. */
#define SNAPSHOT_RECORDS 4000
#define SNAPSHOTS_PER_RETENTION 4

typedef struct
{
  cb_batch_entry_t *entry;
  GBytes *data;
  uint32_t next_chunk; /* n_chunks: the head is next */
  uint32_t n_chunks;
  uint64_t next_offset; /* of the first record that the snapshot does not contain */
} save_t;

typedef struct
{
  cb_batch_entry_t *entry;
  GHashTable *items; /* key -> GBytes */
  void (*done) (cb_batch_entry_t *entry);
} load_t;

static void put_next (save_t *save);

static void
finish_save (save_t *save, gboolean stored)
{
  cb_batch_entry_t *entry = save->entry;

  entry->writing_snapshot = FALSE;
  if (stored)
    entry->snapshot_offset = save->next_offset;
  entry->snapshot_ended_ms = cb_batch_now_ms ();
  /* A failed write has the same event name, with stored=0. */
  cb_event (stored ? CB_LOG_INFO : CB_LOG_WARN, "entry", "snapshot_written",
            "next=%" PRIu64 " chunks=%u bytes=%zu stored=%d", save->next_offset,
            save->n_chunks, g_bytes_get_size (save->data), stored);
  g_bytes_unref (save->data);
  g_free (save);
}

static void
on_put (void *ctx, int err, uint64_t offset)
{
  save_t *save = ctx;

  (void)offset;
  if (err < 0 || save->next_chunk > save->n_chunks)
    {
      finish_save (save, err == CB_OK);
      return;
    }
  put_next (save);
}

/* Writes the next chunk, or the head after the last chunk. */
static void
put_next (save_t *save)
{
  size_t size;
  const char *data = g_bytes_get_data (save->data, &size);
  char slot = save->next_offset % 2 == 0 ? 'a' : 'b';
  size_t from = (size_t)save->next_chunk * CHUNK_BYTES;
  char *key;
  char *head;

  if (save->next_chunk++ < save->n_chunks)
    {
      key = g_strdup_printf ("%c.%u", slot, save->next_chunk - 1);
      cb_store_put (save->entry->store, SNAPSHOT_TOPIC, key, data + from,
                    MIN (CHUNK_BYTES, size - from), on_put, save);
      g_free (key);
      return;
    }
  head = g_strdup_printf ("%c %u %zu", slot, save->n_chunks, size);
  cb_store_put (save->entry->store, SNAPSHOT_TOPIC, HEAD_KEY, head, strlen (head),
                on_put, save);
  g_free (head);
}

/* Starts to write a snapshot when this entry is the scheduler and one is due. The
   parity of next_offset selects the set of keys. A snapshot is written only at an
   offset of the other parity than this entry's last one, so that the new snapshot does
   not overwrite that one. */
void
cb_batch_snapshot_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t every_ms =
      (cb_msec_t)(entry->settings->keep_s * 1000 / SNAPSHOTS_PER_RETENTION);
  Cb__BatchSnapshot *snapshot;
  save_t *save;

  if (entry->own_epoch == 0 || entry->writing_snapshot || !entry->healthy ||
      entry->next_offset == entry->snapshot_offset ||
      entry->next_offset % 2 == entry->snapshot_offset % 2)
    return;
  if (entry->next_offset - entry->snapshot_offset < SNAPSHOT_RECORDS &&
      (every_ms == 0 || now_ms - entry->snapshot_ended_ms < every_ms))
    return;
  save = g_new0 (save_t, 1);
  save->entry = entry;
  save->next_offset = entry->next_offset;
  snapshot = cb_batch_save_snapshot (entry->batch, entry->next_offset);
  save->data = cb_msg_pack (&snapshot->base);
  cb_msg_free (snapshot);
  save->n_chunks =
      (uint32_t)((g_bytes_get_size (save->data) + CHUNK_BYTES - 1) / CHUNK_BYTES);
  entry->writing_snapshot = TRUE;
  put_next (save);
}

static void
restore_snapshot (cb_batch_entry_t *entry, const GByteArray *bytes)
{
  Cb__BatchSnapshot *snapshot =
      cb__batch_snapshot__unpack (NULL, bytes->len, bytes->data);

  if (snapshot == NULL)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_unreadable", "bytes=%u",
                          bytes->len);
      return;
    }
  if (entry->next_offset > 0 && snapshot->next <= entry->next_offset)
    {
      cb_event_unlimited (CB_LOG_WARN, "entry", "snapshot_ignored",
                          "next=%" PRIu64 " folded=%" PRIu64, snapshot->next,
                          entry->next_offset);
      cb_msg_free (snapshot);
      return;
    }
  cb_batch_scheduler_step_down (entry);
  cb_batch_free (entry->batch);
  entry->batch = cb_batch_new_state (entry);
  if (entry->config != NULL)
    cb_batch_set_config (entry->batch, entry->config);
  cb_batch_load_snapshot (entry->batch, snapshot, cb_batch_now_ms (),
                          cb_clock_wall (entry->clock));
  entry->next_offset = snapshot->next;
  cb_event_unlimited (CB_LOG_INFO, "entry", "snapshot_read",
                      "next=%" PRIu64 " jobs=%zu bytes=%u", snapshot->next,
                      snapshot->n_jobs, bytes->len);
  cb_msg_free (snapshot);
}

/* Joins the chunks that the head names and restores the snapshot if none is missing. */
static void
join_chunks (load_t *load)
{
  GBytes *head = g_hash_table_lookup (load->items, HEAD_KEY);
  GByteArray *bytes = g_byte_array_new ();
  char *text = head == NULL
                   ? NULL
                   : g_strndup (g_bytes_get_data (head, NULL), g_bytes_get_size (head));
  char slot = 0;
  uint32_t chunks = 0;
  size_t size = 0;

  if (text != NULL && sscanf (text, "%c %u %zu", &slot, &chunks, &size) == 3) // NOLINT
    for (uint32_t i = 0; i < chunks; i++)
      {
        char *key = g_strdup_printf ("%c.%u", slot, i);
        GBytes *chunk = g_hash_table_lookup (load->items, key);

        if (chunk != NULL)
          g_byte_array_append (bytes, g_bytes_get_data (chunk, NULL),
                               (guint)g_bytes_get_size (chunk));
        g_free (key);
      }
  if (size > 0 && bytes->len == size)
    restore_snapshot (load->entry, bytes);
  else if (head != NULL)
    cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_incomplete",
                        "bytes=%u expected=%zu", bytes->len, size);
  g_byte_array_unref (bytes);
  g_free (text);
}

static void
finish_load (load_t *load, gboolean read)
{
  load->entry->snapshot_read = read;
  load->done (load->entry);
  g_hash_table_unref (load->items);
  g_free (load);
}

static void
on_items (void *ctx, int err, const cb_store_item_t *items, size_t count, gboolean more,
          uint64_t next)
{
  load_t *load = ctx;

  (void)next;
  if (err < 0)
    {
      finish_load (load, FALSE);
      return;
    }
  for (size_t i = 0; i < count; i++)
    if (items[i].value != NULL)
      g_hash_table_insert (load->items, g_strdup (items[i].key),
                           g_bytes_new (items[i].value, items[i].value_bytes));
  if (more && count > 0)
    {
      cb_store_read_newest (load->entry->store, SNAPSHOT_TOPIC, items[count - 1].key,
                            on_items, load);
      return;
    }
  join_chunks (load);
  finish_load (load, TRUE);
}

/* Reads the newest snapshot and restores it if it is newer than the entry's state, then
   calls DONE. entry->snapshot_read is FALSE when the store did not answer, and TRUE
   when it did, with or without a valid snapshot. */
void
cb_batch_fetch_snapshot (cb_batch_entry_t *entry, void (*done) (cb_batch_entry_t *))
{
  load_t *load = g_new0 (load_t, 1);

  load->entry = entry;
  load->done = done;
  load->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
  cb_store_read_newest (entry->store, SNAPSHOT_TOPIC, NULL, on_items, load);
}
