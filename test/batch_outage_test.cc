// Tests what a process concludes from failed calls to the log, and the times at which
// it tells callers to come back.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "batch/fns.h"

namespace
{

// Guards against refusals after a single late answer.
TEST (BatchOutage, OneFailureIsNoLoss)
{
  cb_outage_t outage = {};

  cb_outage_note_answer (&outage, 1000);
  cb_outage_note_failure (&outage, 2900);
  EXPECT_FALSE (cb_outage_is_lost (&outage, 3000));
  cb_outage_note_answer (&outage, 3060);
  EXPECT_FALSE (cb_outage_is_lost (&outage, 60000));
  EXPECT_EQ (outage.typical_ms, 0);
}

// Guards against callers who wait for a log that refuses each call or answers none.
TEST (BatchOutage, RepeatedFailureAndSilenceAreALoss)
{
  cb_outage_t refusing = {};
  cb_outage_t silent = {};

  cb_outage_note_answer (&refusing, 1000);
  cb_outage_note_failure (&refusing, 1010);
  cb_outage_note_failure (&refusing, 1160);
  EXPECT_TRUE (cb_outage_is_lost (&refusing, 1160));
  cb_outage_note_answer (&silent, 1000);
  cb_outage_note_failure (&silent, 2900);
  EXPECT_TRUE (cb_outage_is_lost (&silent, 2900 + 450));
  cb_outage_note_answer (&silent, 5000);
  EXPECT_FALSE (cb_outage_is_lost (&silent, 5000));
}

// Guards against callers who come back too soon, all at once, or so late that they miss
// the return of the log by more than the outage has lasted.
TEST (BatchOutage, RetryAfterFollowsTheOutagesAndIsSpread)
{
  cb_outage_t outage = {};
  cb_msec_t least = 10000;
  cb_msec_t most = 0;

  cb_outage_note_answer (&outage, 1000);
  cb_outage_note_failure (&outage, 1010);
  cb_outage_note_failure (&outage, 1160);
  for (uint64_t i = 0; i < 100; i++)
    {
      std::string path = "/q/" + std::to_string (i * 0x9e3779b97f4a7c15ULL);
      cb_msec_t after_ms = cb_outage_retry_after_ms (&outage, path.c_str (), 1200);

      least = std::min (least, after_ms);
      most = std::max (most, after_ms);
    }
  EXPECT_GE (least, 1000);
  EXPECT_LE (most, 2000);
  EXPECT_GE (most - least, 700);
  EXPECT_GE (cb_outage_retry_after_ms (&outage, "a", 7000), 3000);
  EXPECT_LE (cb_outage_retry_after_ms (&outage, "a", 60000), 5000);
  // An outage of 6 s makes it expect the rest of 6 s of the next one.
  cb_outage_note_answer (&outage, 7000);
  EXPECT_EQ (outage.typical_ms, 6000);
  cb_outage_note_answer (&outage, 19990);
  cb_outage_note_failure (&outage, 20000);
  cb_outage_note_failure (&outage, 20150);
  EXPECT_GE (cb_outage_retry_after_ms (&outage, "a", 20200), 4000);
}

} // namespace
