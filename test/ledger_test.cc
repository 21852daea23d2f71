// Guards the replicated state: each entry must get the same state from the same
// records. Records that are repeated, conflict with an accepted one or come from a
// replaced scheduler must be rejected, and snapshots and expiry must not change the
// result of a later record.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ledger/fns.h"

namespace
{

class Ledger : public ::testing::Test
{
protected:
  cb_ledger_t *ledger = cb_ledger_new ();
  std::vector<int> results;
  uint64_t sequence = 0;
  uint64_t time_ms = 1000;

  void
  SetUp () override
  {
    cb_ledger_set_observer (ledger, OnRecord, this);
  }
  void
  TearDown () override
  {
    cb_ledger_free (ledger);
  }
  static void
  OnRecord (void *ctx, uint64_t, uint32_t, const Cb__Record *, int result)
  {
    static_cast<Ledger *> (ctx)->results.push_back (result);
  }
  // Applies a batch of the record R to TO. Returns the error of the batch, or the
  // result of R.
  int
  Put (cb_ledger_t *to, uint64_t offset, Cb__Record *r)
  {
    Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
    batch.n_records = 1;
    batch.records = &r;
    if (r->sequence == 0)
      r->sequence = ++sequence;
    r->producer = const_cast<char *> ("entry1/1");
    r->time_ms = time_ms;
    GBytes *b = cb_msg_pack (&batch.base);
    int err = cb_ledger_apply (to, offset, g_bytes_get_data (b, nullptr),
                               g_bytes_get_size (b));
    g_bytes_unref (b);
    return err != 0 ? err : results.back ();
  }
  // Applies a change that is based on version BASE and gives a minimal configuration.
  // RECLAIM is in ms, and a value below 100 is invalid.
  int
  Config (uint64_t offset, uint64_t base, uint32_t reclaim = 500)
  {
    Cb__ConfigChange c = CB__CONFIG_CHANGE__INIT;
    Cb__AvailabilityZone zone = CB__AVAILABILITY_ZONE__INIT;
    Cb__AvailabilityZone *zones[] = { &zone };
    Cb__Weights weights = CB__WEIGHTS__INIT;
    Cb__Record r = CB__RECORD__INIT;
    zone.name = const_cast<char *> ("z");
    zone.region = const_cast<char *> ("north");
    weights.completion_time = 1;
    c.base_version = base;
    c.replace_all = base == 0;
    c.availability_zones = zones;
    c.n_availability_zones = 1;
    c.weights = &weights;
    c.reclaim_ms = reclaim;
    r.body_case = CB__RECORD__BODY_CONFIG;
    r.config = &c;
    return Put (ledger, offset, &r);
  }
  // Applies a claim of the cell "north".
  int
  Cell (uint64_t offset, uint64_t replaces)
  {
    Cb__CellClaim c = CB__CELL_CLAIM__INIT;
    Cb__Record r = CB__RECORD__INIT;
    c.cell = const_cast<char *> ("north");
    c.entry = const_cast<char *> ("entry1");
    c.replaces_epoch = replaces;
    r.body_case = CB__RECORD__BODY_CELL_CLAIM;
    r.cell_claim = &c;
    return Put (ledger, offset, &r);
  }
  int
  Submit (uint64_t offset, uint32_t members)
  {
    Cb__Job j = CB__JOB__INIT;
    Cb__Record r = CB__RECORD__INIT;
    j.account = const_cast<char *> ("a");
    j.key = const_cast<char *> ("j");
    j.cell = const_cast<char *> ("north");
    j.members = members;
    j.submitted_ms = offset;
    r.body_case = CB__RECORD__BODY_JOB_SUBMIT;
    r.job_submit = &j;
    return Put (ledger, offset, &r);
  }
  int
  EndJob (uint64_t offset, uint64_t epoch)
  {
    Cb__JobEnd e = CB__JOB_END__INIT;
    Cb__Record r = CB__RECORD__INIT;
    e.account = const_cast<char *> ("a");
    e.key = const_cast<char *> ("j");
    e.cell = const_cast<char *> ("north");
    e.state = CB__JOB_STATE__JOB_DONE;
    e.epoch = epoch;
    r.body_case = CB__RECORD__BODY_JOB_END;
    r.job_end = &e;
    return Put (ledger, offset, &r);
  }
  int
  Claim (uint64_t offset, uint64_t hash, uint64_t seq = 0)
  {
    Cb__RequestClaim c = CB__REQUEST_CLAIM__INIT;
    Cb__Record r = CB__RECORD__INIT;
    c.account = const_cast<char *> ("a");
    c.key = const_cast<char *> ("k");
    c.body_hash = hash;
    c.expires_ms = 5000;
    r.sequence = seq;
    r.body_case = CB__RECORD__BODY_REQUEST_CLAIM;
    r.request_claim = &c;
    return Put (ledger, offset, &r);
  }
  // Applies the end of the request whose claim is at offset CLAIM.
  int
  End (uint64_t offset, uint64_t claim, Cb__Ran ran)
  {
    Cb__RequestEnd e = CB__REQUEST_END__INIT;
    Cb__Record r = CB__RECORD__INIT;
    e.account = const_cast<char *> ("a");
    e.key = const_cast<char *> ("k");
    e.claim = claim;
    e.ran = ran;
    r.body_case = CB__RECORD__BODY_REQUEST_END;
    r.request_end = &e;
    return Put (ledger, offset, &r);
  }
};

// A producer that repeats an append after a timeout may get a second offset for it, and
// a reader may receive a batch twice.
TEST_F (Ledger, RepeatedAppendAndOffsetAreDropped)
{
  EXPECT_EQ (CB_LEDGER_DUPLICATE, Claim (0, 7));
  EXPECT_EQ (0, Claim (1, 7, 1));
  EXPECT_EQ (CB_LEDGER_DUPLICATE, Claim (2, 7, 1));
  EXPECT_EQ (CB_LEDGER_DUPLICATE, Claim (2, 7, 2));
  EXPECT_EQ (1u, cb_ledger_request (ledger, "a", "k")->offset);
  EXPECT_EQ (nullptr, cb_ledger_request (ledger, "ak", ""));
  EXPECT_EQ (CB_LEDGER_INVALID, cb_ledger_apply (ledger, 3, "\xff", 1));
  EXPECT_EQ (4u, cb_ledger_next_offset (ledger));
}

// Two changes based on the same version would otherwise overwrite each other.
TEST_F (Ledger, OneOfTwoConcurrentConfigurationsWins)
{
  EXPECT_EQ (0, Config (1, 0));
  EXPECT_EQ (CB_LEDGER_CONFLICT, Config (2, 0));
  EXPECT_EQ (CB_LEDGER_INVALID, Config (3, 1, 1));
  EXPECT_EQ (0, Config (4, 1));
  EXPECT_EQ (4u, cb_ledger_config (ledger)->version);
}

// A scheduler that was replaced may still append records; they must have no effect.
TEST_F (Ledger, OldEpochCannotClaimOrEnd)
{
  EXPECT_EQ (0, Cell (1, 0));
  EXPECT_EQ (0, Submit (2, 3));
  EXPECT_EQ (CB_LEDGER_EXISTS, Submit (3, 3));
  EXPECT_EQ (CB_LEDGER_KEY_CONFLICT, Submit (4, 2));
  EXPECT_EQ (CB_LEDGER_STALE, Cell (5, 0));
  EXPECT_EQ (0, Cell (6, 1));
  EXPECT_EQ (CB_LEDGER_STALE, EndJob (7, 1));
  EXPECT_EQ (0, EndJob (8, 6));
  EXPECT_EQ (CB_LEDGER_ENDED, EndJob (9, 6));
}

// A delayed start record of an earlier epoch or attempt must not start the job again.
TEST_F (Ledger, StartNeedsTheCurrentEpochAndARisingAttempt)
{
  Cb__JobStart start = CB__JOB_START__INIT;
  Cb__JobCancel cancel = CB__JOB_CANCEL__INIT;
  Cb__Drain drain = CB__DRAIN__INIT;
  Cb__Record r = CB__RECORD__INIT;
  start.account = cancel.account = const_cast<char *> ("a");
  start.key = cancel.key = const_cast<char *> ("j");
  start.cell = const_cast<char *> ("north");
  r.body_case = CB__RECORD__BODY_JOB_START;
  r.job_start = &start;
  auto put = [&] (uint64_t at, uint64_t epoch, uint32_t attempt) {
    start.epoch = epoch;
    start.attempt = attempt;
    r.sequence = 0;
    return Put (ledger, at, &r);
  };
  EXPECT_EQ (0, Cell (1, 0));
  EXPECT_EQ (CB_LEDGER_NOT_FOUND, put (2, 1, 1));
  EXPECT_EQ (0, Submit (3, 1));
  EXPECT_EQ (CB_LEDGER_STALE, put (4, 0, 1));
  EXPECT_EQ (0, put (5, 1, 1));
  EXPECT_EQ (CB_LEDGER_STALE, put (6, 1, 1));
  EXPECT_EQ (0, put (7, 1, 2));
  r.sequence = 0;
  r.body_case = CB__RECORD__BODY_JOB_CANCEL;
  r.job_cancel = &cancel;
  EXPECT_EQ (0, Put (ledger, 8, &r));
  EXPECT_TRUE (cb_ledger_job (ledger, "a", "j")->cancel);
  r.sequence = 0;
  r.body_case = CB__RECORD__BODY_DRAIN;
  r.drain = &drain;
  drain.instance = const_cast<char *> ("i1");
  drain.on = TRUE;
  EXPECT_EQ (0, Put (ledger, 9, &r));
  EXPECT_TRUE (cb_ledger_is_draining (ledger, "i1"));
}

// A key that is claimed again while its request may have run would run it twice.
TEST_F (Ledger, KeyIsFreeOnlyAfterProofThatItDidNotRun)
{
  EXPECT_EQ (0, Claim (1, 7));
  EXPECT_EQ (CB_LEDGER_EXISTS, Claim (2, 7));
  EXPECT_EQ (CB_LEDGER_KEY_CONFLICT, Claim (3, 8));
  EXPECT_EQ (0, End (4, 1, CB__RAN__RAN_NO));
  EXPECT_EQ (0, Claim (5, 8));
  EXPECT_EQ (CB_LEDGER_STALE, End (6, 1, CB__RAN__RAN_NO));
  EXPECT_EQ (0, End (7, 5, CB__RAN__RAN_UNKNOWN));
  EXPECT_EQ (CB_LEDGER_ENDED, End (8, 5, CB__RAN__RAN_NO));
  EXPECT_EQ (CB_LEDGER_EXISTS, Claim (9, 8));
}

// Entries remove expired claims at different times. The same record must have the same
// result in an entry that has removed the claim and in one that still has it.
TEST_F (Ledger, ExpiryInOneEntryDoesNotChangeLaterResults)
{
  cb_ledger_t *other = cb_ledger_new ();
  EXPECT_EQ (0, Claim (1, 7));
  GBytes *s = cb_ledger_snapshot (ledger);
  ASSERT_EQ (0, cb_ledger_restore (other, g_bytes_get_data (s, nullptr),
                                   g_bytes_get_size (s)));
  g_bytes_unref (s);
  cb_ledger_expire (ledger, 5001, 0);
  EXPECT_NE (nullptr, cb_ledger_request (ledger, "a", "k"));
  cb_ledger_expire (ledger, 5001 + CB_LEDGER_MAX_SKEW_MS, 0);
  EXPECT_EQ (nullptr, cb_ledger_request (ledger, "a", "k"));
  time_ms = 5001;
  EXPECT_EQ (0, Claim (2, 8));
  std::swap (ledger, other);
  EXPECT_EQ (0, Claim (2, 8));
  cb_ledger_free (other);
}

// Chunks of two snapshots can arrive interleaved, out of order and more than once; an
// older snapshot must not replace a newer state.
TEST_F (Ledger, SnapshotSurvivesCrossedRepeatedAndMissingChunks)
{
  cb_ledger_t *other = cb_ledger_new ();
  cb_snapshot_assembly_t *assembly = cb_snapshot_assembly_new ();
  EXPECT_EQ (0, Config (1, 0));
  EXPECT_EQ (0, Claim (2, 7));
  GBytes *old = cb_ledger_snapshot (ledger);
  EXPECT_EQ (0, Config (3, 1));
  GBytes *s = cb_ledger_snapshot (ledger);
  GPtrArray *x = cb_snapshot_split (old, 10, 5);
  GPtrArray *y = cb_snapshot_split (s, 11, 5);
  GBytes *whole = nullptr;
  int complete = 0;
  for (guint i = y->len; i-- > 0;)
    {
      // Chunk 0 of the first snapshot stays missing.
      if (i > 0 && i < x->len)
        {
          EXPECT_EQ (
              0, cb_snapshot_assembly_add (
                     assembly, static_cast<Cb__SnapshotChunk *> (x->pdata[i]), &whole));
        }
      for (int twice = 0; twice < 2; twice++)
        complete += cb_snapshot_assembly_add (
            assembly, static_cast<Cb__SnapshotChunk *> (y->pdata[i]), &whole);
    }
  ASSERT_EQ (1, complete);
  EXPECT_TRUE (g_bytes_equal (s, whole));
  EXPECT_EQ (0, cb_ledger_restore (other, g_bytes_get_data (s, nullptr),
                                   g_bytes_get_size (s)));
  EXPECT_EQ (CB_LEDGER_STALE, cb_ledger_restore (other, g_bytes_get_data (old, nullptr),
                                                 g_bytes_get_size (old)));
  EXPECT_EQ (3u, cb_ledger_config (other)->version);
  EXPECT_EQ (2u, cb_ledger_request (other, "a", "k")->offset);
  g_bytes_unref (whole);
  g_bytes_unref (s);
  g_bytes_unref (old);
  g_ptr_array_unref (x);
  g_ptr_array_unref (y);
  cb_snapshot_assembly_free (assembly);
  cb_ledger_free (other);
}

// Guards against undefined behavior: the data pointer of an empty GBytes is null, and
// no offset may be added to it.
TEST (Snapshot, EmptySnapshotIsOneEmptyChunk)
{
  cb_snapshot_assembly_t *assembly = cb_snapshot_assembly_new ();
  GBytes *nothing = g_bytes_new (nullptr, 0);
  GPtrArray *chunks = cb_snapshot_split (nothing, 1, 5);
  GBytes *whole = nullptr;

  ASSERT_EQ (1u, chunks->len);
  EXPECT_EQ (
      1, cb_snapshot_assembly_add (
             assembly, static_cast<Cb__SnapshotChunk *> (chunks->pdata[0]), &whole));
  ASSERT_NE (nullptr, whole);
  EXPECT_EQ (0u, g_bytes_get_size (whole));
  g_bytes_unref (whole);
  g_bytes_unref (nothing);
  g_ptr_array_unref (chunks);
  cb_snapshot_assembly_free (assembly);
}

} // namespace
