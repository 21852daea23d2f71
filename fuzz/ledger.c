/* Applies record batches to a ledger (a packed RecordBatch in each frame). Checks that
   a repeated batch is rejected as a duplicate, that the same batches give an equal
   state in another ledger, and that a ledger restored from the snapshot has an equal
   state. */
#include "fuzz/lib/fuzz.h"

#include "ledger/fns.h"

/* Applies the batches of the input to LEDGER. Returns its snapshot. */
static GBytes *
apply_batches (const uint8_t *data, size_t size, cb_ledger_t *ledger)
{
  uint64_t offset = 1;
  fuzz_frame_t frame;

  for (; fuzz_next (&data, &size, &frame); offset++)
    {
      cb_ledger_apply (ledger, offset, frame.data, frame.size);
      FUZZ_CHECK (cb_ledger_next_offset (ledger) == offset + 1);
      FUZZ_CHECK (cb_ledger_apply (ledger, offset, frame.data, frame.size) ==
                  CB_LEDGER_DUPLICATE);
    }
  return cb_ledger_snapshot (ledger);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  cb_ledger_t *ledgers[3] = { cb_ledger_new (), cb_ledger_new (), cb_ledger_new () };
  GBytes *first = apply_batches (data, size, ledgers[0]);
  GBytes *second = apply_batches (data, size, ledgers[1]);
  GBytes *restored;
  gsize length;
  const void *packed = g_bytes_get_data (first, &length);
  int err = cb_ledger_restore (ledgers[2], packed, length);

  FUZZ_CHECK (g_bytes_equal (first, second));
  FUZZ_CHECK (cb_ledger_next_offset (ledgers[0]) == 1 ? err == CB_LEDGER_STALE
                                                      : err == CB_OK);
  restored = cb_ledger_snapshot (ledgers[2]);
  FUZZ_CHECK (g_bytes_equal (first, restored));
  cb_ledger_expire (ledgers[2], INT64_C (4000000000000), 1000);
  g_bytes_unref (first);
  g_bytes_unref (second);
  g_bytes_unref (restored);
  for (int i = 0; i < 3; i++)
    cb_ledger_free (ledgers[i]);
  return 0;
}
