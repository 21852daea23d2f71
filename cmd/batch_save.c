#include "cmd/batch.h"

#include <stdlib.h>
#include <string.h>

/* Keyed topic of the folded state. Chunks of a generation have keys `a.N` or `b.N` by
   turns; the key `head` names the generation that is complete. */
#define TOPIC "keyed.batch"
#define HEAD "head"
/* Largest chunk; the store's records hold 262,144 bytes. */
#define CHUNK_BYTES 200000
/* A snapshot is written after this many records, or when this share of the store's
   retention has passed since the last. */
#define SAVE_RECORDS 4000
#define RETENTION_SHARE 4

typedef struct
{
  cb_batch_entry_t *entry;
  GBytes *data;
  uint32_t chunk;
  uint32_t chunks;
  uint64_t next;
} save_t;

typedef struct
{
  cb_batch_entry_t *entry;
  GHashTable *items; /* key -> GBytes */
  void (*done) (cb_batch_entry_t *entry);
} load_t;

static void put_next (save_t *save);

static void
end_save (save_t *save, gboolean stored)
{
  cb_batch_entry_t *entry = save->entry;

  entry->saving = FALSE;
  if (stored)
    entry->saved_next = save->next;
  entry->saved_ms = cb_batch_now ();
  cb_event (stored ? CB_LOG_INFO : CB_LOG_WARN, "entry", "snapshot_written",
            "next=%" PRIu64 " chunks=%u bytes=%zu stored=%d", save->next, save->chunks,
            g_bytes_get_size (save->data), stored);
  g_bytes_unref (save->data);
  g_free (save);
}

static void
on_put (void *ctx, int err, uint64_t offset)
{
  save_t *save = ctx;

  (void)offset;
  if (err < 0 || save->chunk > save->chunks)
    {
      end_save (save, err == CB_OK);
      return;
    }
  put_next (save);
}

static void
put_next (save_t *save)
{
  size_t size;
  const char *data = g_bytes_get_data (save->data, &size);
  char slot = save->next % 2 == 0 ? 'a' : 'b';
  size_t from = (size_t)save->chunk * CHUNK_BYTES;
  char *key;
  char *head;

  if (save->chunk++ < save->chunks)
    {
      key = g_strdup_printf ("%c.%u", slot, save->chunk - 1);
      cb_store_put (save->entry->store, TOPIC, key, data + from,
                    MIN (CHUNK_BYTES, size - from), on_put, save);
      g_free (key);
      return;
    }
  head = g_strdup_printf ("%c %u %zu", slot, save->chunks, size);
  cb_store_put (save->entry->store, TOPIC, HEAD, head, strlen (head), on_put, save);
  g_free (head);
}

/* Writes a snapshot when one is due. Only the scheduler does; chunks of consecutive
   snapshots alternate between two sets of keys by the parity of their offset. */
void
cb_batch_save_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t every_ms = (cb_msec_t)(entry->settings->keep_s * 1000 / RETENTION_SHARE);
  Cb__BatchSnapshot *snapshot;
  save_t *save;

  if (entry->own_epoch == 0 || entry->saving || !entry->healthy ||
      entry->next == entry->saved_next || entry->next % 2 == entry->saved_next % 2)
    return;
  if (entry->next - entry->saved_next < SAVE_RECORDS &&
      (every_ms == 0 || now_ms - entry->saved_ms < every_ms))
    return;
  save = g_new0 (save_t, 1);
  save->entry = entry;
  save->next = entry->next;
  snapshot = cb_batch_save_snapshot (entry->batch, entry->next);
  save->data = cb_msg_pack (&snapshot->base);
  cb_msg_free (snapshot);
  save->chunks =
      (uint32_t)((g_bytes_get_size (save->data) + CHUNK_BYTES - 1) / CHUNK_BYTES);
  entry->saving = TRUE;
  put_next (save);
}

static void
take_snapshot (cb_batch_entry_t *entry, const GByteArray *bytes)
{
  Cb__BatchSnapshot *snapshot =
      cb__batch_snapshot__unpack (NULL, bytes->len, bytes->data);

  if (snapshot == NULL)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_unreadable", "bytes=%u",
                          bytes->len);
      return;
    }
  if (entry->next > 0 && snapshot->next <= entry->next)
    {
      cb_event_unlimited (CB_LOG_WARN, "entry", "snapshot_ignored",
                          "next=%" PRIu64 " folded=%" PRIu64, snapshot->next,
                          entry->next);
      cb_msg_free (snapshot);
      return;
    }
  cb_batch_lead_close (entry);
  cb_batch_free (entry->batch);
  entry->batch = cb_batch_new_state (entry);
  if (entry->config != NULL)
    cb_batch_set_config (entry->batch, entry->config);
  cb_batch_load_snapshot (entry->batch, snapshot, cb_batch_now (),
                          cb_clock_wall (entry->clock));
  entry->next = snapshot->next;
  cb_event_unlimited (CB_LOG_INFO, "entry", "snapshot_read",
                      "next=%" PRIu64 " jobs=%zu bytes=%u", snapshot->next,
                      snapshot->n_jobs, bytes->len);
  cb_msg_free (snapshot);
}

/* Joins the chunks that the head names, when all of them are there. */
static void
join_chunks (load_t *load)
{
  GBytes *head = g_hash_table_lookup (load->items, HEAD);
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
    take_snapshot (load->entry, bytes);
  else if (head != NULL)
    cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_incomplete",
                        "bytes=%u expected=%zu", bytes->len, size);
  g_byte_array_unref (bytes);
  g_free (text);
}

static void
end_load (load_t *load, gboolean read)
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
      end_load (load, FALSE);
      return;
    }
  for (size_t i = 0; i < count; i++)
    if (items[i].value != NULL)
      g_hash_table_insert (load->items, g_strdup (items[i].key),
                           g_bytes_new (items[i].value, items[i].value_bytes));
  if (more && count > 0)
    {
      cb_store_read_newest (load->entry->store, TOPIC, items[count - 1].key, on_items,
                            load);
      return;
    }
  join_chunks (load);
  end_load (load, TRUE);
}

/* Reads the newest snapshot, if there is one, and calls DONE; entry->snapshot_read says
   whether the store answered. */
void
cb_batch_save_load (cb_batch_entry_t *entry, void (*done) (cb_batch_entry_t *))
{
  load_t *load = g_new0 (load_t, 1);

  load->entry = entry;
  load->done = done;
  load->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
  cb_store_read_newest (entry->store, TOPIC, NULL, on_items, load);
}
