/* Snapshots of the ledger, and their transfer in chunks. */
#include "ledger/local.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of incomplete snapshots in one assembly; the oldest is dropped to add
   another. */
#define MAX_PARTIAL_SNAPSHOTS 4
/* Maximum number of chunks of a snapshot. It limits the memory that one damaged chunk
   can make the receiver allocate to 512 KiB of pointers. */
#define MAX_CHUNKS 65536

static void
collect_values (GTree *tree, void ***items, size_t *count)
{
  for (GTreeNode *n = g_tree_node_first (tree); n; n = g_tree_node_next (n))
    cb_msg_append (items, count, g_tree_node_value (n));
}

/* Returns the state as a packed Snapshot message; equal states give equal bytes. Freed
   with g_bytes_unref. */
GBytes *
cb_ledger_snapshot (const cb_ledger_t *ledger)
{
  Cb__Snapshot snapshot = CB__SNAPSHOT__INIT;
  GBytes *packed;

  snapshot.next = ledger->next_offset;
  snapshot.config = ledger->config;
  collect_values (ledger->cells, (void ***)&snapshot.cells, &snapshot.n_cells);
  collect_values (ledger->jobs, (void ***)&snapshot.jobs, &snapshot.n_jobs);
  collect_values (ledger->requests, (void ***)&snapshot.requests, &snapshot.n_requests);
  collect_values (ledger->producers, (void ***)&snapshot.producers,
                  &snapshot.n_producers);
  collect_values (ledger->drained, (void ***)&snapshot.drained, &snapshot.n_drained);
  packed = cb_msg_pack (&snapshot.base);
  free (snapshot.cells);
  free (snapshot.jobs);
  free (snapshot.requests);
  free (snapshot.producers);
  free (snapshot.drained);
  return packed;
}

static void
clear_tree (GTree *tree)
{
  g_tree_ref (tree);
  g_tree_destroy (tree);
}

/* Returns TRUE when every job and request has the messages that the ledger relies on; a
   decoded message may lack them. */
static gboolean
is_complete (const Cb__Snapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->n_jobs; i++)
    if (snapshot->jobs[i]->job == NULL)
      return FALSE;
  for (size_t i = 0; i < snapshot->n_requests; i++)
    if (snapshot->requests[i]->claim == NULL ||
        (snapshot->requests[i]->ended && snapshot->requests[i]->end == NULL))
      return FALSE;
  return TRUE;
}

/* Replaces the ledger's state by the messages of S, which the ledger then owns. The
   configuration is replaced by a newer one only. */
static void
move_snapshot (cb_ledger_t *ledger, Cb__Snapshot *s)
{
  clear_tree (ledger->cells);
  clear_tree (ledger->jobs);
  clear_tree (ledger->requests);
  clear_tree (ledger->producers);
  clear_tree (ledger->drained);
  for (size_t i = 0; i < s->n_cells; i++)
    g_tree_insert (ledger->cells, g_strdup (s->cells[i]->cell), s->cells[i]);
  for (size_t i = 0; i < s->n_jobs; i++)
    g_tree_insert (ledger->jobs,
                   cb_ledger_id (s->jobs[i]->job->account, s->jobs[i]->job->key),
                   s->jobs[i]);
  for (size_t i = 0; i < s->n_requests; i++)
    g_tree_insert (
        ledger->requests,
        cb_ledger_id (s->requests[i]->claim->account, s->requests[i]->claim->key),
        s->requests[i]);
  for (size_t i = 0; i < s->n_producers; i++)
    g_tree_insert (ledger->producers, g_strdup (s->producers[i]->producer),
                   s->producers[i]);
  for (size_t i = 0; i < s->n_drained; i++)
    {
      char *name = g_strdup (s->drained[i]);

      g_tree_replace (ledger->drained, name, name);
    }
  s->n_cells = s->n_jobs = s->n_requests = s->n_producers = 0;
  if (s->config != NULL &&
      (ledger->config == NULL || s->config->version > ledger->config->version))
    {
      cb_msg_free (ledger->config);
      ledger->config = s->config;
      s->config = NULL;
    }
  ledger->next_offset = s->next;
}

/* Replaces the state by a packed Snapshot message. Returns CB_LEDGER_STALE when the
   snapshot is not newer than the state and CB_LEDGER_INVALID when it cannot be decoded
   or lacks a message that the ledger relies on; the ledger is then unchanged. A newer
   configuration is never replaced by an older one. */
int
cb_ledger_restore (cb_ledger_t *ledger, const void *data, size_t size)
{
  Cb__Snapshot *snapshot = cb__snapshot__unpack (NULL, size, data);
  int err = CB_OK;

  if (snapshot == NULL)
    return CB_LEDGER_INVALID;
  if (!is_complete (snapshot))
    err = CB_LEDGER_INVALID;
  else if (snapshot->next <= ledger->next_offset)
    err = CB_LEDGER_STALE;
  else
    move_snapshot (ledger, snapshot);
  cb_msg_free (snapshot);
  return err;
}

/* Splits SNAPSHOT into Cb__SnapshotChunk messages with at most MAX_BYTES of data each.
   Returns an array that owns them, freed with g_ptr_array_unref. ID must differ for
   each snapshot; it can be made from the offset where the snapshot ends and the
   writer's incarnation. */
GPtrArray *
cb_snapshot_split (GBytes *snapshot, uint64_t id, size_t max_bytes)
{
  GPtrArray *chunks = g_ptr_array_new_with_free_func (cb_msg_free);
  size_t size;
  /* The data pointer of empty bytes is NULL, and NULL plus an offset is undefined. */
  const void *bytes = g_bytes_get_data (snapshot, &size);
  const uint8_t *data = bytes == NULL ? (const uint8_t *)"" : bytes;
  size_t total = size == 0 ? 1 : (size + max_bytes - 1) / max_bytes;

  for (size_t i = 0; i < total; i++)
    {
      Cb__SnapshotChunk *chunk = cb_msg_new (&cb__snapshot_chunk__descriptor);

      chunk->id = id;
      chunk->index = (uint32_t)i;
      chunk->total = (uint32_t)total;
      cb_msg_set_bytes (&chunk->data, data + i * max_bytes,
                        MIN (max_bytes, size - i * max_bytes));
      g_ptr_array_add (chunks, chunk);
    }
  return chunks;
}

typedef struct
{
  uint64_t id;
  uint32_t total;
  uint32_t received; /* number of chunks */
  GBytes **chunks;   /* by index; NULL while missing */
} partial_snapshot_t;

struct cb_snapshot_assembly
{
  GQueue partials;           /* of partial_snapshot_t, oldest first */
  uint64_t last_complete_id; /* its repeated chunks are ignored */
  gboolean has_last_complete;
};

static void
free_partial (void *item)
{
  partial_snapshot_t *partial = item;

  for (uint32_t i = 0; i < partial->total; i++)
    if (partial->chunks[i] != NULL)
      g_bytes_unref (partial->chunks[i]);
  g_free (partial->chunks);
  g_free (partial);
}

/* Returns an empty assembly, freed with cb_snapshot_assembly_free. */
cb_snapshot_assembly_t *
cb_snapshot_assembly_new (void)
{
  return g_new0 (cb_snapshot_assembly_t, 1);
}

/* Frees the assembly with its incomplete snapshots; NULL is accepted. */
void
cb_snapshot_assembly_free (cb_snapshot_assembly_t *assembly)
{
  if (assembly == NULL)
    return;
  g_queue_clear_full (&assembly->partials, free_partial);
  g_free (assembly);
}

/* Returns the incomplete snapshot that CHUNK belongs to; creates it when absent. */
static partial_snapshot_t *
find_or_add_partial (cb_snapshot_assembly_t *assembly, const Cb__SnapshotChunk *chunk)
{
  partial_snapshot_t *partial;

  for (GList *l = assembly->partials.head; l != NULL; l = l->next)
    if (((partial_snapshot_t *)l->data)->id == chunk->id)
      return l->data;
  if (assembly->partials.length >= MAX_PARTIAL_SNAPSHOTS)
    free_partial (g_queue_pop_head (&assembly->partials));
  partial = g_new0 (partial_snapshot_t, 1);
  partial->id = chunk->id;
  partial->total = chunk->total;
  partial->chunks = g_new0 (GBytes *, chunk->total);
  g_queue_push_tail (&assembly->partials, partial);
  return partial;
}

/* Adds a chunk; chunks may come in any order and repeatedly. Returns 1 when the chunk
   completes its snapshot, and sets WHOLE to that snapshot, freed with g_bytes_unref.
   Returns 0 when chunks are still missing or the chunk is a repeated one, and
   CB_LEDGER_INVALID when its index or total is out of range or its total differs from
   that of the other chunks. */
int
cb_snapshot_assembly_add (cb_snapshot_assembly_t *assembly,
                          const Cb__SnapshotChunk *chunk, GBytes **whole)
{
  partial_snapshot_t *partial;
  GByteArray *joined;

  if (chunk->total == 0 || chunk->total > MAX_CHUNKS || chunk->index >= chunk->total)
    return CB_LEDGER_INVALID;
  if (assembly->has_last_complete && assembly->last_complete_id == chunk->id)
    return 0;
  partial = find_or_add_partial (assembly, chunk);
  if (partial->total != chunk->total)
    return CB_LEDGER_INVALID;
  if (partial->chunks[chunk->index] != NULL)
    return 0;
  partial->chunks[chunk->index] = g_bytes_new (chunk->data.data, chunk->data.len);
  if (++partial->received < partial->total)
    return 0;
  joined = g_byte_array_new ();
  for (uint32_t i = 0; i < partial->total; i++)
    {
      size_t size;
      const void *data = g_bytes_get_data (partial->chunks[i], &size);

      if (size > 0)
        g_byte_array_append (joined, data, (guint)size);
    }
  *whole = g_byte_array_free_to_bytes (joined);
  assembly->has_last_complete = TRUE;
  assembly->last_complete_id = partial->id;
  g_queue_remove (&assembly->partials, partial);
  free_partial (partial);
  return 1;
}
