// Connections that go silent, agents and schedulers that are paused, and a region that
// is cut off, each together with a second fault (invariants I1, I2, I4 and I5 of
// docs/design.md). Each claim of the cell by a scheduler begins a newer epoch. The home
// entry of an agent is the one that the agent is connected to.
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::kWorkers;
using site::Numbered;
using site::Reply;
using site::Site;

// The connection that one of two entries has opened to the other goes silent, then the
// scheduler is killed: a running gang must keep running, and a new job must not be
// lost.
class FaultOneWay : public testing::TestWithParam<bool>
{
};

TEST_P (FaultOneWay, SilentLinkAndSchedulerKilled)
{
  Site site (2, 3, kWorkers);
  int scheduler, other;

  site.StartLink ("link0", "entry0", 1);
  site.StartLink ("link1", "entry1", 0);
  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("gang", "desk", "batch", 2, 8, "run 9000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  site.Signal (Numbered ("link", GetParam () ? scheduler : other), SIGUSR1);
  ASSERT_TRUE (site.Submit (other, site.Job ("new", "desk", "batch", 2, 2, "run 300")));
  site.Kill (Numbered ("entry", scheduler));
  EXPECT_TRUE (site.Ends (other, "new"));
  EXPECT_TRUE (site.Ends (other, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start", "\"gang\""), 2);
  EXPECT_EQ (site.Scheduler (), other);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

INSTANTIATE_TEST_SUITE_P (Directions, FaultOneWay, testing::Bool ());

// The agent of one member is killed while the connections of the other member's agent
// to the entries are silent: that agent gets no stop command, and must stop its member
// within the bound.
TEST (FaultLinks, AgentKilledWhileTheOtherIsCutOff)
{
  Site site (2, 4, kWorkers);

  for (int i = 0; i < 4; i++)
    for (int entry = 0; entry < 2; entry++)
      site.StartLink (Numbered (Numbered ("link", i) + "to", entry),
                      Site::AgentName (i), entry);
  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 2, 8, "run 12000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  int cut_off = site.FirstAgentWith ("task_running");
  int killed_agent = site.FirstAgentWith ("task_running", "\"member\":1");
  if (killed_agent == cut_off)
    killed_agent = site.FirstAgentWith ("task_running", "\"member\":0");
  ASSERT_NE (killed_agent, cut_off);
  for (int entry = 0; entry < 2; entry++)
    site.Signal (Numbered (Numbered ("link", cut_off) + "to", entry), SIGUSR1);
  site.Kill (Site::AgentName (killed_agent));
  EXPECT_TRUE (site.Ends (0, "gang"));
  EXPECT_EQ (site.Events (Site::AgentName (cut_off), "task_end", "\"attempt\":1"), 1);
  EXPECT_EQ (site.AllEvents ("task_start", "\"attempt\":2"), 2);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

// An agent with the reservation of a member is killed while another agent is paused and
// delays the start of the gang: no member may run before all are reserved.
TEST (FaultLinks, AgentKilledWithMembersReserved)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  site.Signal ("i1", SIGSTOP);
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 3, 8, "run 500")));
  for (int i : { 0, 2 }) // until their members are reserved
    ASSERT_TRUE (site.Until (
        [&] { return site.Counter (site.AgentHttp (i), "agent_tasks") == 1; }));
  site.Kill ("i0");
  ASSERT_TRUE (site.Until ([&] { return site.Accelerators () <= 16; }));
  EXPECT_EQ (site.AllEvents ("task_start"), 0);
  site.StartAgent (0);
  site.Signal ("i1", SIGCONT);
  EXPECT_TRUE (site.Ends (1, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start"), 3);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (2), 1u);
}

// A scheduler is paused, replaced and resumed: agents must reject its commands under
// the older epoch, or it would stop and start tasks of its successor.
TEST (FaultLinks, OlderEpochIsRejectedAfterAPause)
{
  Site site (2, 3, kWorkers);
  int scheduler, other;

  // After its pause the old scheduler must still treat the agents as available.
  site.SetEntrySilence (60000);
  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  site.Signal ("i1", SIGSTOP);
  ASSERT_TRUE (
      site.Submit (other, site.Job ("gang", "desk", "batch", 3, 8, "run 6000")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("reserve", "gang") >= 1; }));
  site.Signal (Numbered ("entry", scheduler), SIGSTOP);
  // This append ends the old scheduler's open read of the log, which would else return
  // the claim of its successor. After its pause, the reservation of the gang is overdue
  // and the old scheduler sends stops under its old epoch.
  ASSERT_TRUE (
      site.Submit (other, site.Job ("next", "desk", "batch", 2, 8, "run 300")));
  site.Signal ("i1", SIGCONT);
  ASSERT_TRUE (site.Schedules (other));
  EXPECT_TRUE (site.Ends (other, "gang"));
  site.Signal (Numbered ("entry", scheduler), SIGCONT);
  EXPECT_TRUE (site.Until ([&] { return site.AllEvents ("epoch_reject") >= 1; }));
  EXPECT_TRUE (site.Ends (other, "next"));
  EXPECT_EQ (site.AllEvents ("worker_start", "\"gang\""), 3);
  EXPECT_EQ (site.AllEvents ("worker_start", "\"next\""), 2);
  EXPECT_EQ (site.Scheduler (), other);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

// Urgent work is submitted after the scheduler was killed, while an agent is paused.
// The new scheduler must not wait for this agent's report, for up to 3 s, or it would
// start the work after the bound.
TEST (FaultLinks, UrgentWorkDuringATakeoverWithAnAgentPaused)
{
  Site site (2, 6, kWorkers);
  int scheduler, other;
  std::vector<std::string> near; // agents whose home entry is not killed

  // The new scheduler must treat the paused agent as available, or it would not wait
  // for its report.
  site.SetEntrySilence (60000);
  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  for (int i = 0; i < 6; i++)
    if (site.HomeEntry (Site::AgentName (i), other) == Numbered ("entry", other))
      near.push_back (Site::AgentName (i));
  ASSERT_GE (near.size (), 2u); // depends on the names of agents and entries
  site.Signal (near[0], SIGSTOP);
  site.Kill (Numbered ("entry", scheduler));
  // Longer than two heartbeats of the scheduler, shorter than the time until it is
  // replaced. The test stays valid when a busy machine makes the pause longer.
  site.Pause (650);
  ASSERT_TRUE (
      site.Submit (other, site.Job ("rush", "other", "rush", 1, 4, "run 300")));
  EXPECT_TRUE (site.Ends (other, "rush", "done", "other"));
  site.Signal (near[0], SIGCONT);
  EXPECT_TRUE (site.Until ([&] { return site.Accelerators () == 48; }));
  EXPECT_EQ (site.AllEvents ("worker_start", "\"rush\""), 1);
  EXPECT_EQ (site.AllEvents ("urgent_lost"), 0);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (1), 1u);
}

// A region is cut off from the log and from the other region: its cell must keep
// running jobs, serve requests that need no log record, and refuse the others with
// `ran: no`. After the outage it must accept all work again.
TEST (FaultLinks, RegionCutOff)
{
  Site site (2, 6, kEndpoints | kWorkers);
  const char *links[] = { "loglink", "link0", "link1" };

  site.SplitRegions ();
  site.StartLink ("loglink", "entry1", -1);
  site.StartLink ("link0", "entry0", 1);
  site.StartLink ("link1", "entry1", 0);
  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (1, site.Job ("gang", "desk", "batch", 2, 8, "run 9000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  for (const char *link : links)
    site.Signal (link, SIGSTOP);
  ASSERT_TRUE (site.Until ([&] { // until the entry has noticed
    return site.Call (site.EntryHttp (1), "GET", "/v1/status", "", 2000)
               .body.find ("\"log_available\":false") != std::string::npos;
  }));
  Reply order = site.Request (1, "order", "order");
  EXPECT_EQ (order.Text ("reason"), "log_unavailable") << order.body;
  EXPECT_EQ (order.Text ("ran"), "no") << order.body;
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"key\":\"order\""), 0);
  Reply job = site.Call (site.EntryHttp (1), "POST", "/v1/jobs",
                         site.Job ("job", "desk", "batch", 1, 1, "run 100"));
  EXPECT_EQ (job.Text ("reason"), "log_unavailable") << job.body;
  for (int i = 0; i < 6; i++)
    EXPECT_TRUE (site.Until ([&] {
      return site.Request (1, Numbered ("preview", i), "preview").status == 200;
    }));
  // The other region must not be affected.
  ASSERT_TRUE (site.Submit (0, site.Job ("away", "desk", "batch", 1, 8, "run 300")));
  EXPECT_TRUE (site.Ends (0, "away"));
  EXPECT_EQ (site.RequestUntilEnd (0, "away", "order").status, 200);
  EXPECT_TRUE (site.Until (
      [&] { return site.AllEvents ("task_end", "\"key\":\"gang\"") == 2; }));
  for (const char *link : links)
    site.Signal (link, SIGCONT);
  EXPECT_TRUE (site.Ends (1, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start", "\"gang\""), 2);
  EXPECT_EQ (site.RequestUntilEnd (1, "order", "order").status, 200);
  ASSERT_TRUE (site.Submit (1, site.Job ("later", "desk", "batch", 2, 8, "run 300")));
  EXPECT_TRUE (site.Ends (1, "later"));
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"key\":\"order\""), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 3u);
  EXPECT_GE (site.Checked (4), 1u);
}

// Half of many jobs are cancelled, and the scheduler is killed between the
// cancellations: each cancelled job must end as canceled, the others as done, and no
// accelerator may stay in use.
TEST (FaultLinks, HalfOfEverythingCancelledOverATakeover)
{
  Site site (2, 4, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  for (int i = 0; i < 24; i++)
    ASSERT_TRUE (site.Submit (i % 2, site.Job (Numbered ("job", i), "desk", "batch", 2,
                                               4, i % 2 == 0 ? "hang" : "run 300")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") >= 4; }));
  for (int i = 0; i < 24; i += 2)
    {
      if (i == 12)
        site.Kill (Numbered ("entry", scheduler));
      Reply reply = site.Call (site.EntryHttp (other), "DELETE",
                               "/v1/jobs/" + Numbered ("job", i) + "?account=desk");
      EXPECT_EQ (reply.status / 100, 2) << reply.body;
    }
  for (int i = 0; i < 24; i++)
    EXPECT_TRUE (
        site.Ends (other, Numbered ("job", i), i % 2 == 0 ? "canceled" : "done"))
        << i;
  EXPECT_TRUE (site.Until (
      [&] { return site.Counter (site.EntryHttp (other), "accelerators_used") == 0; }));
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 12u);
}

} // namespace
