// Gang jobs while agents, workers and schedulers are killed or paused: a gang must run
// with all members or be stopped, and each accepted job must end (invariant I2 of
// docs/design.md, and the placement checks). Each claim of the cell by a scheduler
// begins a newer epoch.
#include "test/site.h"

namespace
{

using site::kWorkers;
using site::Numbered;
using site::Reply;
using site::Site;

// The agent of one member is killed: the other members must stop within the bound, and
// the job must run again on other workers.
TEST (FaultGangs, AgentKilledWithMembersRunning)
{
  Site site (2, 4, kWorkers);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 2, 8, "run 4000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  int killed_agent = site.FirstAgentWith ("task_running");
  ASSERT_GE (killed_agent, 0);
  site.Kill (Site::AgentName (killed_agent));
  EXPECT_TRUE (site.Ends (0, "gang"));
  EXPECT_GE (site.AllEvents ("task_start", "\"attempt\":2"), 2);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

// An agent is paused when its gang is to be reserved and started: the other members
// must not run without it for longer than the bound, and the job must end after it
// resumes.
TEST (FaultGangs, AgentPausedWhileItsGangStarts)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  site.Signal ("i1", SIGSTOP);
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 3, 8, "run 500")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("reserve", "gang") >= 1; }));
  EXPECT_EQ (site.AllEvents ("task_start"), 0);
  site.Signal ("i1", SIGCONT);
  EXPECT_TRUE (site.Ends (1, "gang"));
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 1u);
}

// A worker that runs a member is killed: its agent can't reach it, so the gang must
// stop and the job must run on other workers.
TEST (FaultGangs, WorkerKilledWithMembersRunning)
{
  Site site (2, 4, kWorkers);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 2, 8, "run 3000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  int killed_agent = site.FirstAgentWith ("task_running");
  ASSERT_GE (killed_agent, 0);
  site.Kill (Numbered ("worker", killed_agent));
  EXPECT_TRUE (site.Ends (1, "gang"));
  EXPECT_GE (site.AllEvents ("task_start", "\"attempt\":2"), 2);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 2u);
}

// The scheduler is killed while jobs start: the other entry must take over, and each
// accepted job must end.
TEST (FaultGangs, SchedulerKilledWhileJobsStart)
{
  Site site (2, 4, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  for (int i = 0; i < 12; i++)
    ASSERT_TRUE (site.Submit (other, site.Job (Numbered ("job", i), "desk", "batch",
                                               1 + i % 3, 2, "run 1500")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_start") >= 3; }));
  site.Kill (Numbered ("entry", scheduler));
  for (int i = 0; i < 12; i++)
    EXPECT_TRUE (site.Ends (other, Numbered ("job", i))) << i;
  EXPECT_EQ (site.Events (Numbered ("entry", other), "epoch",
                          "\"entry\":\"" + Numbered ("entry", other) + "\""),
             1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 8u);
}

// The scheduler is paused until the other entry has taken over: when it resumes under
// its old epoch, it must step down and start nothing a second time.
TEST (FaultGangs, SchedulerPausedUntilTheOtherTookOver)
{
  Site site (2, 4, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  ASSERT_TRUE (
      site.Submit (other, site.Job ("before", "desk", "batch", 2, 4, "run 3000")));
  ASSERT_TRUE (site.Running ("before", 2));
  site.Signal (Numbered ("entry", scheduler), SIGSTOP);
  ASSERT_TRUE (site.Schedules (other));
  for (int i = 0; i < 4; i++)
    ASSERT_TRUE (site.Submit (
        other, site.Job (Numbered ("during", i), "desk", "batch", 2, 4, "run 1000")));
  ASSERT_TRUE (site.Running ("during0", 2));
  site.Signal (Numbered ("entry", scheduler), SIGCONT);
  EXPECT_TRUE (site.Ends (other, "before"));
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (site.Ends (other, Numbered ("during", i)));
  EXPECT_TRUE (site.Until (
      [&] { return site.Counter (site.EntryHttp (scheduler), "scheduler") == 0; }));
  EXPECT_EQ (site.Scheduler (), other);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 5u);
}

// Both entries are killed and restarted while a gang runs: the agents must keep it
// running, and the entries must adopt it instead of starting it again.
TEST (FaultGangs, BothEntriesKilledWhileAGangRuns)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 1, 8, "run 8000")));
  ASSERT_TRUE (site.Running ("gang", 1));
  site.Kill ("entry0");
  site.Kill ("entry1");
  site.StartEntry (0);
  site.StartEntry (1);
  ASSERT_TRUE (site.Ready (3));
  EXPECT_TRUE (site.Ends (0, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start"), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 1u);
}

// Both entries are killed while a gang of two agents runs, and restarted only after its
// end: the direct connections of the agents must carry the heartbeats for longer than
// the gang lease of 5 s.
TEST (FaultGangs, GangOutlivesTheEntriesOverItsOwnConnections)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 2, 8, "run 12000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  ASSERT_TRUE (site.Until ([&] { return site.AgentConnectionsOpened () > 0; }));
  site.Kill ("entry0");
  site.Kill ("entry1");
  EXPECT_TRUE (site.Until ([&] { return site.AllEvents ("task_end") == 2; }));
  site.StartEntry (0);
  site.StartEntry (1);
  EXPECT_TRUE (site.Ends (0, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start"), 2);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 1u);
}

// All open connections between agents go silent when the entry that is not the
// scheduler is killed: new connections must replace them, and the gang must keep
// running. For the scheduler see FaultOneWay in fault_links_test.cc.
TEST (FaultGangs, SilentConnectionBetweenAgentsAndALostEntry)
{
  Site site (2, 3, kWorkers);

  for (int i = 0; i < site.Agents (); i++)
    site.StartAgentLink (Numbered ("link", i), i);
  ASSERT_TRUE (site.Up ());
  int scheduler = site.Scheduler ();
  ASSERT_GE (scheduler, 0);
  ASSERT_TRUE (site.Submit (0, site.Job ("gang", "desk", "batch", 2, 8, "run 12000")));
  ASSERT_TRUE (site.Running ("gang", 2));
  ASSERT_TRUE (site.Until ([&] { return site.AgentConnectionsOpened () > 0; }));
  long opened = site.AgentConnectionsOpened ();
  for (int i = 0; i < site.Agents (); i++)
    site.Signal (Numbered ("link", i), SIGUSR1);
  site.Kill (Numbered ("entry", 1 - scheduler));
  EXPECT_TRUE (site.Until ([&] { return site.AgentConnectionsOpened () > opened; }));
  EXPECT_TRUE (site.Ends (scheduler, "gang"));
  EXPECT_EQ (site.AllEvents ("task_start"), 2);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 1u);
}

// Half of many jobs are cancelled: these must end as canceled, the others as done, and
// no accelerator may stay in use.
TEST (FaultGangs, HalfOfManyJobsCancelled)
{
  Site site (2, 4, kWorkers);

  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 24; i++)
    ASSERT_TRUE (site.Submit (i % 2, site.Job (Numbered ("job", i), "desk", "batch", 2,
                                               4, i % 2 == 0 ? "hang" : "run 300")));
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") >= 4; }));
  for (int i = 0; i < 24; i += 2)
    {
      Reply reply = site.Call (site.EntryHttp (i / 2 % 2), "DELETE",
                               "/v1/jobs/" + Numbered ("job", i) + "?account=desk");
      EXPECT_EQ (reply.status / 100, 2) << reply.body;
    }
  for (int i = 0; i < 24; i++)
    EXPECT_TRUE (site.Ends (0, Numbered ("job", i), i % 2 == 0 ? "canceled" : "done"))
        << i;
  EXPECT_TRUE (site.Until ([&] {
    return site.Counter (site.EntryHttp (site.Scheduler ()), "accelerators_used") == 0;
  }));
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (2), 12u);
}

// A job that fails on every worker must end as failed, and other jobs must still run on
// these workers.
TEST (FaultGangs, JobThatFailsEverywhere)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Submit (0, site.Job ("bad", "desk", "batch", 2, 2, "fail")));
  for (int i = 0; i < 4; i++)
    ASSERT_TRUE (site.Submit (
        1, site.Job (Numbered ("good", i), "desk", "batch", 1, 2, "run 300")));
  EXPECT_TRUE (site.Ends (0, "bad", "failed"));
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (site.Ends (0, Numbered ("good", i)));
  EXPECT_GE (site.AllEvents ("task_end", "\"failed\""), 1);
  site.ExpectNoViolation ();
}

// A worker fails every start: the jobs must not fail, but run on the other workers.
TEST (FaultGangs, WorkerThatFailsEverything)
{
  Site site (2, 3, kWorkers);

  ASSERT_TRUE (site.Up ());
  site.Control (site.WorkerHttp (0), "{\"mode\":\"fail_starts\"}");
  for (int i = 0; i < 10; i++)
    ASSERT_TRUE (site.Submit (
        i % 2, site.Job (Numbered ("job", i), "desk", "batch", 1, 6, "run 300")));
  for (int i = 0; i < 10; i++)
    EXPECT_TRUE (site.Ends (0, Numbered ("job", i))) << i;
  EXPECT_GE (site.Events ("i0", "task_end"), 1);
  site.ExpectNoViolation ();
}

} // namespace
