// Guards the text of counters and histograms that monitoring reads, and the clock that
// leases are measured on.
#include <gtest/gtest.h>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <string>

#include "base/fns.h"

static time_t suspended_s; // how long the instance has been suspended

// Takes the place of the C library's function: of the clocks of Linux, CLOCK_MONOTONIC
// does not count the time in which the instance is suspended.
extern "C" int
clock_gettime (clockid_t id, struct timespec *ts)
{
  int rc = static_cast<int> (syscall (SYS_clock_gettime, id, ts));

  if (id != CLOCK_MONOTONIC)
    ts->tv_sec += suspended_s;
  return rc;
}

namespace
{

// Guards against leases that seem to last when the instance was suspended, while the
// others have seen them expire.
TEST (Clock, CountsTheTimeOfASuspension)
{
  cb_msec_t before_ms = cb_clock_now (cb_clock_system ());

  suspended_s = 60;
  EXPECT_GE (cb_clock_now (cb_clock_system ()), before_ms + 60000);
  suspended_s = 0;
}

// A duration equal to a bucket's bound counts in that bucket and in all larger ones. A
// negative duration, as after a clock was set back, counts as 0 and must not wrap
// around to a huge sum.
TEST (Counters, HistogramIsCumulativeAndNeverNegative)
{
  cb_counters_t *counters = cb_counters_new ();

  cb_counters_observe (counters, "wait_ms", "kind=\"a\"", 100);
  cb_counters_observe (counters, "wait_ms", "kind=\"a\"", 101);
  cb_counters_observe (counters, "wait_ms", "kind=\"a\"", 40000);
  cb_counters_observe (counters, "plain_ms", NULL, -5);
  char *raw = cb_counters_text (counters);
  std::string text = raw;
  for (const char *line :
       { "carobrun_wait_ms_bucket{kind=\"a\",le=\"50\"} 0\n",
         "carobrun_wait_ms_bucket{kind=\"a\",le=\"100\"} 1\n",
         "carobrun_wait_ms_bucket{kind=\"a\",le=\"250\"} 2\n",
         "carobrun_wait_ms_bucket{kind=\"a\",le=\"30000\"} 2\n",
         "carobrun_wait_ms_bucket{kind=\"a\",le=\"+Inf\"} 3\n",
         "carobrun_wait_ms_sum{kind=\"a\"} 40201\n",
         "carobrun_wait_ms_count{kind=\"a\"} 3\n",
         "carobrun_plain_ms_bucket{le=\"1\"} 1\n", "carobrun_plain_ms_sum 0\n" })
    EXPECT_NE (text.find (line), std::string::npos) << line << text;
  g_free (raw);
  cb_counters_free (counters);
}

} // namespace
