// Checks real entries and agents, with stand-ins for the users' platform, in what
// happens to the runs of a worker when its agent was paused until the end of the lease,
// and when the worker leaves.
#include <chrono>

#include "test/platform_site.h"

using site::PlatformSite;

namespace
{

// Guards against two runs of a task at once: a paused agent carries out a start after
// its worker's lease, and the clock of the worker, on which the lease is measured, has
// begun anew with the worker's next incarnation.
TEST (PlatformLease, PausedAgentStartsNothingOnTheNextIncarnationOfItsWorker)
{
  PlatformSite site (1, 2);

  ASSERT_TRUE (site.Up ());
  site.Kill ("runner1");
  site.Pause (3000);
  site.Signal ("agent0", SIGSTOP);
  ASSERT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 6000")).status, 200);
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("entry0", "event=run_started job=" + site.Id (1)); }));
  site.Kill ("runner0");
  site.StartRunner (0);
  site.StartRunner (1);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Signal ("agent0", SIGCONT);
  site.Pause (3000);
  EXPECT_EQ (site.EventTimes ("runner0", "run_start", "\"run\":1").size (), 0u);
  site.CheckRuns ();
}

// Two workers, of which worker 0 runs the task of job 1 and drains. Its agent reaches
// it through a relay.
class DrainingWorkerSite : public PlatformSite
{
public:
  DrainingWorkerSite () : PlatformSite (1, 2)
  {
  }
  bool
  Run ()
  {
    const std::string &relay = relay_;

    Kill ("runner0");
    Kill ("runner1");
    Start ("relay", "carobrun-fake-link", { "--listen", relay, "--to", runners[0] });
    Start ("runner0", "carobrun-fake-runner",
           { "--listen", runners[0], "--announce", relay, "--agent", controls[0],
             "--id", "w0", "--rack", "r0", "--trace", dir_ + "/runner0.trace" });
    if (!Up () || !Until ([&] { return Logged ("agent0", "address=" + relay); }) ||
        Submit (0, 1, 1, Job (1, 8, "run 20000")).status != 200 ||
        !Until ([&] { return Starts (1) == 1; }))
      return false;
    Control (runners[0], "{\"mode\":\"draining\"}");
    StartRunner (1);
    return Until ([&] {
      return Logged ("entry0", "event=worker_draining worker=w0 draining=1") &&
             Logged ("agent1", "event=worker_found worker=w1");
    });
  }
  // Closes the address at which the agent reaches worker 0, which runs on, and starts
  // another worker there.
  void
  ReplaceAtItsAddress ()
  {
    Kill ("relay");
    Start ("runner9", "carobrun-fake-runner",
           { "--listen", relay_, "--agent", controls[0], "--id", "w9", "--rack", "r0",
             "--trace", dir_ + "/runner9.trace" });
  }
  // Returns when the task started on another worker, in ms.
  std::vector<int64_t>
  SecondStarts ()
  {
    std::vector<int64_t> starts_ms = EventTimes ("runner1", "run_start", Id (1));

    for (int64_t at_ms : EventTimes ("runner9", "run_start", Id (1)))
      starts_ms.push_back (at_ms);
    return starts_ms;
  }
  site::Reply
  Leave ()
  {
    return Call (controls[0], "POST", "/api/instances/w0/leave", "", 2000);
  }

private:
  std::string relay_ = FreeAddress ();
};

// Guards against two runs of a task at once: a worker that leaves closes its socket
// before it ends its runs.
TEST (PlatformLease, WorkerThatLeavesAndRefusesConnectionsMayStillRunItsTasks)
{
  DrainingWorkerSite site;

  ASSERT_TRUE (site.Run ());
  site.Kill ("relay");
  EXPECT_EQ (site.Leave ().status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Logged ("entry0", "why=left"); }));
  EXPECT_TRUE (site.Until ([&] { return site.Starts (1) == 2; }));
  EXPECT_EQ (site.Ends (1, "lapsed"), 1);
  site.CheckRuns ();
}

// Guards against the same when another worker takes the address of the one that drains.
TEST (PlatformLease, WorkerThatDrainsMayStillRunItsTasksWhenAnotherTakesItsAddress)
{
  DrainingWorkerSite site;

  ASSERT_TRUE (site.Run ());
  site.ReplaceAtItsAddress ();
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("agent0", "event=worker_found worker=w9"); }));
  ASSERT_TRUE (site.Until ([&] { return !site.SecondStarts ().empty (); }));
  std::vector<int64_t> ends_ms = site.EventTimes ("runner0", "run_end", site.Id (1));
  ASSERT_EQ (ends_ms.size (), 1u);
  EXPECT_GE (site.SecondStarts ()[0], ends_ms[0]);
}

// Guards against tasks that wait for the lease of a worker that leaves, with the
// progress that they have made since their last checkpoint lost.
TEST (PlatformLease, RunsOfAWorkerThatLeavesAreStoppedBeforeItsNoticeIsAnswered)
{
  DrainingWorkerSite site;

  ASSERT_TRUE (site.Run ());
  auto since = std::chrono::steady_clock::now ();
  EXPECT_EQ (site.Leave ().status, 200);
  auto waited_ms = std::chrono::duration_cast<std::chrono::milliseconds> (
      std::chrono::steady_clock::now () - since);
  EXPECT_EQ (site.Ends (1, "stopped"), 1);
  EXPECT_LT (waited_ms.count (), 1000);
  EXPECT_TRUE (site.Until ([&] { return site.Starts (1) == 2; }));
  site.CheckRuns ();
}

} // namespace
