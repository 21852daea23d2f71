// Connections that go silent while they stay open, two faults at the same time, and
// guarantees and urgent work during a takeover (invariants I1, I2, I3 and I5 of
// docs/design.md).
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::kWorkers;
using site::Numbered;
using site::Reply;
using site::Site;

// The connection from an agent to its home entry, the only one here, goes silent: both
// sides must close it, the agent must connect again, and its endpoint must get requests
// again.
TEST (FaultPairs, SilentConnectionOfAnAgent)
{
  Site site (1, 1, kEndpoints);

  site.StartLink ("link", "i0", 0);
  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Request (0, "before", "order").status, 200);
  site.Signal ("link", SIGUSR1);
  ASSERT_TRUE (site.Until ([&] { // until the failure is noticed
    return site.Request (0, "during", "preview", ",\"deadline_ms\":300").status != 200;
  }));
  EXPECT_TRUE (site.Until ([&] {
    return site.Request (0, "probe", "preview", ",\"deadline_ms\":300").status == 200;
  }));
  EXPECT_EQ (site.RequestUntilEnd (0, "after", "order").status, 200);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 2u);
}

// The connections between two entries go silent: both entries must keep running
// requests, and a key that is sent to both must run only once.
TEST (FaultPairs, SilentConnectionBetweenEntries)
{
  Site site (2, 2, kEndpoints);

  site.StartLink ("link01", "entry0", 1);
  site.StartLink ("link10", "entry1", 0);
  ASSERT_TRUE (site.Up ());
  site.Signal ("link01", SIGUSR1);
  site.Signal ("link10", SIGUSR1);
  ASSERT_TRUE (site.Until ([&] { // until the failure is noticed
    return site.Logged ("entry0", "entry entry1 down") ||
           site.Logged ("entry1", "entry entry0 down");
  }));
  // Requests sent before the entries noticed the failure may end as outcome_unknown.
  ASSERT_TRUE (site.Ready (2));
  for (int i = 0; i < 6; i++)
    for (int entry = 0; entry < 2; entry++)
      EXPECT_EQ (site.RequestUntilEnd (entry, Numbered ("order", i), "order").status,
                 200);
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 6);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 6u);
}

// The scheduler is killed while the log is down, so that no entry can take over: a
// running gang must keep running, and the cell must work again after the outage.
TEST (FaultPairs, LogDownAndSchedulerKilled)
{
  Site site (2, 3, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("gang", "desk", "batch", 2, 4, "run 6000")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") == 2; }));
  site.Control (site.LogAddress (), "{\"down\":true}");
  site.Kill (Numbered ("entry", scheduler));
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

// The scheduler is killed while accelerators that another account has borrowed are to
// be reclaimed for the owner of a guarantee: its successor must reclaim them, and start
// urgent work, in time.
TEST (FaultPairs, GuaranteeAndUrgentWorkOverATakeover)
{
  Site site (2, 2, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  for (int i = 0; i < 4; i++)
    ASSERT_TRUE (site.Submit (
        other, site.Job (Numbered ("loan", i), "desk", "batch", 1, 4, "run 20000")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") == 4; }));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("own", "glass", "profile", 1, 8, "run 500")));
  site.Kill (Numbered ("entry", scheduler));
  gint64 killed_us = g_get_monotonic_time ();
  EXPECT_TRUE (site.Ends (other, "own", "done", "glass"));
  // 1.0 s until the takeover, the reclaim, and a run of 0.5 s. The agents of the killed
  // entry must report to the successor at once, not after their silence time of 3 s.
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
