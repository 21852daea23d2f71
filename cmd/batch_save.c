/* Snapshots of the batch state in the store: the scheduler writes them, and an entry
   that starts, or whose next log records have expired, reads the newest one. */
#include "cmd/batch.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Keyed topic of the snapshots. A snapshot is split into chunks with the keys `a.0`,
   `a.1`, ... or `b.0`, `b.1`, ...; a new one is written to the set that the head does
   not name. The key `head` names the set of the newest complete snapshot, its number of
   chunks, its size in bytes and its checksum. */
#define SNAPSHOT_TOPIC "keyed.batch"
#define HEAD_KEY "head"
/* A key between those of the chunks and the head. */
#define BEFORE_HEAD_KEY "h"
/* Largest chunk; a record of the store holds at most 262,144 bytes. */
#define CHUNK_BYTES 200000
/* A snapshot is written after this many records, or when the store's retention time
   divided by SNAPSHOTS_PER_RETENTION has passed since the last one. */
#define SNAPSHOT_RECORDS 4000
#define SNAPSHOTS_PER_RETENTION 4
/* Pause after a failed attempt. */
#define SNAPSHOT_RETRY_MS 1000

typedef struct
{
  char set; /* `a` or `b` */
  uint32_t n_chunks;
  size_t bytes;
  uint64_t checksum;
  gboolean has_checksum; /* not in a head of an earlier version */
} head_t;

typedef struct
{
  cb_batch_entry_t *entry;
  GBytes *data; /* NULL: not made yet */
  head_t head;
  uint32_t next_chunk;  /* n_chunks: the head is next */
  uint64_t topic_end;   /* offset of the next record of the topic */
  uint64_t next_offset; /* of the first record that the snapshot does not contain */
} save_t;

typedef struct
{
  cb_batch_entry_t *entry;
  GHashTable *items; /* key -> GBytes */
  void (*done) (cb_batch_entry_t *entry);
} load_t;

static void put_next (save_t *save);

/* Decodes the value of the head. Returns FALSE and logs it when it has another form. */
static gboolean
read_head (const void *value, size_t bytes, head_t *head)
{
  char *text = g_strndup (value, bytes);
  int fields = sscanf (text, "%c %u %zu %" SCNx64, &head->set, // NOLINT
                       &head->n_chunks, &head->bytes, &head->checksum);

  gboolean valid = fields >= 3 && (head->set == 'a' || head->set == 'b');

  head->has_checksum = fields == 4;
  g_free (text);
  if (!valid)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_head_unreadable",
                          "bytes=%zu", bytes);
      *head = (head_t){ .set = '-' };
    }
  return valid;
}

static void
finish_save (save_t *save, gboolean stored)
{
  cb_batch_entry_t *entry = save->entry;

  entry->writing_snapshot = FALSE;
  entry->snapshot_failed = !stored;
  if (stored)
    entry->snapshot_offset = save->next_offset;
  entry->snapshot_ended_ms = cb_batch_now_ms ();
  /* A failed write has the same event name, with stored=0. */
  cb_event (stored ? CB_LOG_INFO : CB_LOG_WARN, "entry", "snapshot_written",
            "next=%" PRIu64 " set=%c chunks=%u bytes=%zu stored=%d", save->next_offset,
            save->head.set, save->head.n_chunks, save->head.bytes, stored);
  if (save->data != NULL)
    g_bytes_unref (save->data);
  g_free (save);
}

static void
on_put (void *ctx, int err, uint64_t offset)
{
  save_t *save = ctx;

  (void)offset;
  if (err < 0 || save->next_chunk > save->head.n_chunks)
    {
      finish_save (save, err == CB_OK);
      return;
    }
  put_next (save);
}

/* Writes the next chunk, or the head after the last chunk, on the condition that nobody
   else has written to the topic since the head was read. So neither an earlier
   scheduler nor a write of an earlier attempt that the store carries out late can
   replace a chunk of the newest complete snapshot. */
static void
put_next (save_t *save)
{
  size_t size;
  const char *data = g_bytes_get_data (save->data, &size);
  size_t from = (size_t)save->next_chunk * CHUNK_BYTES;
  char *key;
  char *head;

  if (save->next_chunk++ < save->head.n_chunks)
    {
      key = g_strdup_printf ("%c.%u", save->head.set, save->next_chunk - 1);
      cb_store_put (save->entry->store, SNAPSHOT_TOPIC, key, data + from,
                    MIN (CHUNK_BYTES, size - from), save->topic_end++, on_put, save);
      g_free (key);
      return;
    }
  head = g_strdup_printf ("%c %u %zu %" PRIx64, save->head.set, save->head.n_chunks,
                          size, save->head.checksum);
  cb_store_put (save->entry->store, SNAPSHOT_TOPIC, HEAD_KEY, head, strlen (head),
                save->topic_end++, on_put, save);
  g_free (head);
}

/* Makes the snapshot and starts to write it to the set that the present head does not
   name. */
static void
on_head (void *ctx, int err, const cb_store_item_t *items, size_t count, gboolean more,
         uint64_t next)
{
  save_t *save = ctx;
  cb_batch_entry_t *entry = save->entry;
  Cb__BatchSnapshot *snapshot;
  head_t present = { .set = 'b' };

  for (size_t i = 0; err == CB_OK && i < count; i++)
    if (strcmp (items[i].key, HEAD_KEY) == 0 && items[i].value != NULL)
      read_head (items[i].value, items[i].value_bytes, &present);
  /* With MORE, the head may be on a later page: the topic has keys of another writer.
   */
  if (err < 0 || more || entry->own_epoch == 0)
    {
      finish_save (save, FALSE);
      return;
    }
  save->topic_end = next;
  save->next_offset = entry->next_offset;
  snapshot =
      cb_batch_save_snapshot (entry->batch, entry->next_offset, cb_batch_now_ms ());
  save->data = cb_msg_pack (&snapshot->base);
  cb_msg_free (snapshot);
  save->head.set = present.set == 'a' ? 'b' : 'a';
  save->head.bytes = g_bytes_get_size (save->data);
  save->head.n_chunks = (uint32_t)((save->head.bytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
  save->head.checksum =
      XXH3_64bits (g_bytes_get_data (save->data, NULL), save->head.bytes);
  put_next (save);
}

/* Starts to write a snapshot when this entry is the scheduler and one is due. */
void
cb_batch_snapshot_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t every_ms =
      (cb_msec_t)(entry->settings->keep_s * 1000 / SNAPSHOTS_PER_RETENTION);
  cb_msec_t since_ms = now_ms - entry->snapshot_ended_ms;
  save_t *save;

  if (entry->own_epoch == 0 || entry->writing_snapshot || !entry->healthy ||
      entry->next_offset == entry->snapshot_offset)
    return;
  if (entry->snapshot_failed
          ? since_ms < SNAPSHOT_RETRY_MS
          : entry->next_offset - entry->snapshot_offset < SNAPSHOT_RECORDS &&
                (every_ms == 0 || since_ms < every_ms))
    return;
  save = g_new0 (save_t, 1);
  save->entry = entry;
  save->head.set = '-';
  entry->writing_snapshot = TRUE;
  cb_store_read_newest (entry->store, SNAPSHOT_TOPIC, BEFORE_HEAD_KEY, on_head, save);
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
  cb_batch_zones_publish (entry);
  cb_batch_load_snapshot (entry->batch, snapshot, cb_batch_now_ms (),
                          cb_clock_wall (entry->clock));
  entry->next_offset = snapshot->next;
  cb_event_unlimited (CB_LOG_INFO, "entry", "snapshot_read",
                      "next=%" PRIu64 " jobs=%zu bytes=%u", snapshot->next,
                      snapshot->n_jobs, bytes->len);
  cb_msg_free (snapshot);
}

/* TRUE when BYTES are the whole snapshot that HEAD describes. The scheduler may have
   written to the set while it was read. */
static gboolean
is_complete (const head_t *head, const GByteArray *bytes)
{
  return bytes->len > 0 && bytes->len == head->bytes &&
         (!head->has_checksum ||
          XXH3_64bits (bytes->data, bytes->len) == head->checksum);
}

/* Joins the chunks that the head names and restores the snapshot if none is missing. */
static void
join_chunks (load_t *load)
{
  GBytes *value = g_hash_table_lookup (load->items, HEAD_KEY);
  GByteArray *bytes = g_byte_array_new ();
  head_t head = { .set = '-' };

  if (value != NULL &&
      read_head (g_bytes_get_data (value, NULL), g_bytes_get_size (value), &head))
    for (uint32_t i = 0; i < head.n_chunks; i++)
      {
        char *key = g_strdup_printf ("%c.%u", head.set, i);
        GBytes *chunk = g_hash_table_lookup (load->items, key);

        if (chunk != NULL)
          g_byte_array_append (bytes, g_bytes_get_data (chunk, NULL),
                               (guint)g_bytes_get_size (chunk));
        g_free (key);
      }
  if (is_complete (&head, bytes))
    restore_snapshot (load->entry, bytes);
  else if (value != NULL)
    cb_event_unlimited (CB_LOG_ERROR, "entry", "snapshot_incomplete",
                        "set=%c bytes=%u expected=%zu", head.set, bytes->len,
                        head.bytes);
  g_byte_array_unref (bytes);
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
