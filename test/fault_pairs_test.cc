// Guards against connections that go silent while they stay open, against two faults at
// once, and guarantees and urgent work over a takeover (invariants I1, I2, I3 and I5).
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::Key;
using site::kWorkers;
using site::Reply;
using site::Site;

// The connection from an agent to its home entry goes silent: both sides give it up,
// the agent connects anew, and its endpoint gets requests again.
TEST (FaultPairs, SilentConnectionOfAnAgent)
{
  Site site (1, 1, kEndpoints);

  site.StartLink ("link", "i0", 0);
  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Request (0, "before", "order").status, 200);
  site.Signal ("link", SIGUSR1);
  ASSERT_TRUE (site.Until ([&] { // the failure is seen
    return site.Request (0, "during", "preview", ",\"deadline_ms\":300").status != 200;
  }));
  EXPECT_TRUE (site.Until ([&] {
    return site.Request (0, "probe", "preview", ",\"deadline_ms\":300").status == 200;
  }));
  EXPECT_EQ (site.RequestUntilEnd (0, "after", "order").status, 200);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 2u);
}

// The connections of one entry to the other go silent: both stay useful, also for a key
// that goes to both.
TEST (FaultPairs, SilentConnectionBetweenEntries)
{
  Site site (2, 2, kEndpoints);

  site.StartLink ("link01", "entry0", 1);
  site.StartLink ("link10", "entry1", 0);
  ASSERT_TRUE (site.Up ());
  site.Signal ("link01", SIGUSR1);
  site.Signal ("link10", SIGUSR1);
  ASSERT_TRUE (site.Until ([&] { // the failure is seen
    return site.Logged ("entry0", "entry entry1 down") ||
           site.Logged ("entry1", "entry entry0 down");
  }));
  // What was sent before the failure was noticed may end as outcome unknown.
  ASSERT_TRUE (site.Ready (2));
  for (int i = 0; i < 6; i++)
    for (int entry = 0; entry < 2; entry++)
      EXPECT_EQ (site.RequestUntilEnd (entry, Key ("order", i), "order").status, 200);
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 6);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 6u);
}

// The log is down and the scheduler is killed: nobody can take over, running gangs go
// on, and the cell works again once the log is back.
TEST (FaultPairs, LogDownAndSchedulerKilled)
{
  Site site (2, 3, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("gang", "desk", "batch", 2, 4, "run 6000")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") == 2; }));
  site.Control (site.LogAddress (), "{\"down\":true}");
  site.Kill (Key ("entry", scheduler));
  Reply job = site.Call (site.EntryHttp (other), "POST", "/v1/jobs",
                         site.Job ("refused", "desk", "batch", 1, 1, "run 100"));
  EXPECT_EQ (job.Text ("reason"), "log_unavailable") << job.body;
  EXPECT_EQ (site.Scheduler (), -1);
  site.Control (site.LogAddress (), "{\"down\":false}");
  EXPECT_TRUE (site.Ends (other, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start", "\"gang\""),
             2); // the gang was not disturbed
  ASSERT_TRUE (
      site.Submit (other, site.Job ("later", "desk", "batch", 2, 4, "run 200")));
  EXPECT_TRUE (site.Ends (other, "later"));
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

// Borrowed accelerators are reclaimed for the owner of the guarantee, and urgent work
// starts, with the scheduler killed in the middle.
TEST (FaultPairs, GuaranteeAndUrgentWorkOverATakeover)
{
  Site site (2, 2, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  for (int i = 0; i < 4; i++)
    ASSERT_TRUE (site.Submit (
        other, site.Job (Key ("loan", i), "desk", "batch", 1, 4, "run 20000")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") == 4; }));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("own", "glass", "profile", 1, 8, "run 500")));
  site.Kill (Key ("entry", scheduler));
  gint64 killed_us = g_get_monotonic_time ();
  EXPECT_TRUE (site.Ends (other, "own", "done", "glass"));
  // The agents of the killed entry report to the successor without their silence time
  // of 3 s: 1.0 s until the takeover, the reclaim, a run of 0.5 s.
  EXPECT_LT (g_get_monotonic_time () - killed_us, 4000000);
  ASSERT_TRUE (
      site.Submit (other, site.Job ("rush", "other", "rush", 1, 4, "run 300")));
  EXPECT_TRUE (site.Ends (other, "rush", "done", "other"));
  EXPECT_GE (site.AllEvents ("reclaim", "\"for_key\":\"own\""), 1);
  EXPECT_EQ (site.AllEvents ("urgent_wait", "\"rush\""), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (1), 1u);
}

} // namespace
