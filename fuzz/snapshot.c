/* Restores snapshots, and assembles them from chunks. Selectors: 0 restores the data as
   a snapshot, 1 adds it as a chunk (a packed SnapshotChunk), any other N splits it into
   chunks of N bytes and adds them in reverse order. */
#include "fuzz/lib/fuzz.h"

#include "ledger/fns.h"

/* A failed restore leaves the ledger's position unchanged. A snapshot of the ledger
   restores to an equal state. */
static void
check_restore (cb_ledger_t *ledger, const void *data, size_t size)
{
  uint64_t before = cb_ledger_next_offset (ledger);
  int err = cb_ledger_restore (ledger, data, size);
  GBytes *snapshot = cb_ledger_snapshot (ledger);
  cb_ledger_t *copy = cb_ledger_new ();
  gsize length;
  const void *packed = g_bytes_get_data (snapshot, &length);

  FUZZ_CHECK (err == CB_OK ? cb_ledger_next_offset (ledger) > before
                           : cb_ledger_next_offset (ledger) == before);
  if (cb_ledger_restore (copy, packed, length) == CB_OK)
    {
      GBytes *again = cb_ledger_snapshot (copy);

      FUZZ_CHECK (g_bytes_equal (snapshot, again));
      g_bytes_unref (again);
    }
  g_bytes_unref (snapshot);
  cb_ledger_free (copy);
}

static void
add_chunk (cb_snapshot_assembly_t *assembly, cb_ledger_t *ledger, const uint8_t *data,
           size_t size)
{
  Cb__SnapshotChunk *chunk = cb__snapshot_chunk__unpack (NULL, size, data);
  GBytes *whole = NULL;
  int err;

  if (chunk == NULL)
    return;
  err = cb_snapshot_assembly_add (assembly, chunk, &whole);
  FUZZ_CHECK ((err == 1) == (whole != NULL));
  if (whole != NULL)
    {
      gsize length;
      const void *packed = g_bytes_get_data (whole, &length);

      check_restore (ledger, packed, length);
      g_bytes_unref (whole);
    }
  cb_msg_free (chunk);
}

/* The chunks of CHUNK_SIZE bytes of a snapshot, added in reverse order, are assembled
   to the same bytes when the last of them is added. */
static void
check_split (const uint8_t *data, size_t size, size_t chunk_size)
{
  cb_snapshot_assembly_t *assembly = cb_snapshot_assembly_new ();
  GBytes *snapshot = g_bytes_new (data, size);
  GPtrArray *chunks = cb_snapshot_split (snapshot, 7, chunk_size);
  GBytes *whole = NULL;

  for (guint i = chunks->len; i-- > 0;)
    FUZZ_CHECK (cb_snapshot_assembly_add (assembly, chunks->pdata[i], &whole) ==
                (i == 0));
  FUZZ_CHECK (whole != NULL && g_bytes_equal (whole, snapshot));
  g_bytes_unref (whole);
  g_bytes_unref (snapshot);
  g_ptr_array_free (chunks, TRUE);
  cb_snapshot_assembly_free (assembly);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  cb_snapshot_assembly_t *assembly = cb_snapshot_assembly_new ();
  cb_ledger_t *ledger = cb_ledger_new ();
  fuzz_frame_t frame;

  while (fuzz_next (&data, &size, &frame))
    if (frame.selector == 0)
      check_restore (ledger, frame.data, frame.size);
    else if (frame.selector == 1)
      add_chunk (assembly, ledger, frame.data, frame.size);
    else
      check_split (frame.data, frame.size, frame.selector);
  cb_snapshot_assembly_free (assembly);
  cb_ledger_free (ledger);
  return 0;
}
