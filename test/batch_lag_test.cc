// Tests how an entry recognizes a slow log by the scheduler's records.
#include <gtest/gtest.h>

#include "batch/fns.h"

namespace
{

// Guards against submissions that each entry appends itself while the log is slow, and
// against ones that are passed on because of a difference between two clocks.
TEST (BatchLag, LateRecordsShowASlowLogWhateverTheClocksSay)
{
  for (cb_msec_t skew_ms : { -5000, 0, 5000 })
    {
      cb_lag_t lag = {};
      cb_msec_t now = 1000;

      EXPECT_FALSE (cb_lag_is_slow (&lag, now));
      for (; now < 20000; now += 250)
        {
          cb_lag_note (&lag, now - 10 - now % 200, now + skew_ms, now);
          EXPECT_FALSE (cb_lag_is_slow (&lag, now));
        }
      for (; now < 25000; now += 250)
        {
          cb_lag_note (&lag, now - 700, now + skew_ms, now);
          EXPECT_TRUE (cb_lag_is_slow (&lag, now));
        }
      cb_lag_note (&lag, now - 50, now + skew_ms, now);
      EXPECT_FALSE (cb_lag_is_slow (&lag, now));
    }
}

// Guards against an entry that depends on the scheduler for good after a clock was set,
// or after the scheduler's last record was late.
TEST (BatchLag, ALastingDifferenceIsForgotten)
{
  cb_lag_t lag = {};
  cb_msec_t now = 1000;

  for (; now < 10000; now += 250)
    cb_lag_note (&lag, now - 10, now, now);
  for (; now < 75000; now += 250)
    cb_lag_note (&lag, now - 10, now + 3000, now);
  EXPECT_FALSE (cb_lag_is_slow (&lag, now));
  cb_lag_note (&lag, now - 900, now + 3000, now);
  EXPECT_TRUE (cb_lag_is_slow (&lag, now));
  EXPECT_FALSE (cb_lag_is_slow (&lag, now + 2000));
}

} // namespace
