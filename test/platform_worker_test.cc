// Checks real entries and agents, with stand-ins for the users' platform, in what they
// know of workers: which one is there, what it runs, and which runs have ended, despite
// restarts, delayed messages and messages of other writers.
#include <chrono>
#include <ctime>

#include "test/platform_site.h"

using site::PlatformSite;

namespace
{

TEST (PlatformSite, RestartedAgentDoesNotDisturbRunningTasks)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 3000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "running"; }));
  site.Kill ("agent0");
  site.StartAgent (0);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (1, "done"), 1);
  EXPECT_EQ (site.Ends (1, "lapsed"), 0);
  site.CheckRuns ();
}

TEST (PlatformSite, RestartedWorkerRunsItsTasksAgain)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 1500")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "running"; }));
  site.Kill ("runner0");
  site.StartRunner (0);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (1, "done"), 1);
}

// Guards against a start that reaches the next incarnation of its worker, which the
// scheduler has not chosen and which may be of another kind: the agent repeated it
// until somebody replied (review/6).
TEST (PlatformSite, StartIsNotRepeatedToTheNextIncarnationOfItsWorker)
{
  constexpr int kFirstHeartbeatMs = 1500;
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 100")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.Control (site.runners[0], "{\"mode\":\"unanswered\"}");
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (4, 1, "run 100")).status, 200);
  ASSERT_TRUE (site.Until ([&] {
    return !site.EventTimes ("runner0", "start_dropped", site.Id (2)).empty ();
  }));
  site.Kill ("runner0");
  ASSERT_TRUE (
      site.Until ([&] { return site.Logged ("agent0", "event=start_failed"); }));
  site.StartRunner (0, kFirstHeartbeatMs);
  site.Pause (kFirstHeartbeatMs - 300);
  EXPECT_EQ (site.Starts (2), 0);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 2, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (2, "done"), 4);
  site.CheckRuns ();
}

// Guards against a second run of a task that a restarted worker completed before its
// first heartbeat: the agent took the new process for the earlier one, whose ends had
// higher numbers, and acknowledged the end without having read it (review/4).
TEST (PlatformSite, TaskDoneBeforeTheFirstHeartbeatOfARestartedWorkerIsDone)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (8, 1, "run 800")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.AcknowledgedEnds (1, "done") == 8; }));
  site.Kill ("runner0");
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 8, "run 100")).status, 200);
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("entry0", "event=run_started job=" + site.Id (2)); }));
  site.StartRunner (0, 1500);
  // The agent's call for the start, carried out by the next process. The lowest token
  // that this accepts is that of the agent's calls.
  int token = 1;
  ASSERT_TRUE (site.Until ([&] {
    int status = site.Call (site.runners[0], "POST", "/api/run-start",
                            "{\"task\":\"" + site.Id (2) +
                                ".0.0.0\",\"run\":1,\"spec\":\"run 100\","
                                "\"deadlineMs\":4000,\"fencingToken\":" +
                                std::to_string (token) + "}",
                            1000)
                     .status;
    token += status == 409;
    return status == 200;
  }));
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 2, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (2, "done"), 1);
  site.CheckRuns ();
}

// Guards against a second run of tasks whose ends a worker has not listed yet when a
// new scheduler takes over: a list holds 500 ends, and more end meanwhile (review/2).
TEST (PlatformSite, EndsBeyondTheFirstListAreReadAfterATakeover)
{
  PlatformSite site (2, 1);
  int scheduler;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.SmallTasks (900, "run 2000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 900; }));
  scheduler = site.Scheduler ();
  site.Signal ("entry0", SIGSTOP);
  site.Signal ("entry1", SIGSTOP);
  ASSERT_TRUE (site.Until ([&] { return site.Ends (1, "done") == 900; }));
  site.Kill ("entry" + std::to_string (scheduler));
  site.Signal ("entry" + std::to_string (1 - scheduler), SIGCONT);
  EXPECT_TRUE (
      site.Until ([&] { return site.State (1 - scheduler, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Starts (1), 900);
  site.CheckRuns ();
}

// Guards against an agent that opens a connection for each start at once: a worker with
// thousands of tasks was busy with them, ended its runs late and broke its lease.
TEST (PlatformSite, CallsToAWorkerAreBounded)
{
  constexpr size_t kCallsMax = 64;
  PlatformSite site (1, 1);
  std::vector<int64_t> times_ms;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 2, 1) == "completed"; }));
  site.Control (site.runners[0], "{\"mode\":\"unanswered\"}");
  EXPECT_EQ (site.Submit (0, 1, 1, site.SmallTasks (300, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] {
    times_ms = site.EventTimes ("runner0", "start_dropped", site.Id (1));
    return times_ms.size () >= 3 * kCallsMax;
  }));
  // A call is given up after 900 ms.
  for (size_t i = kCallsMax; i < times_ms.size (); i++)
    EXPECT_GE (times_ms[i] - times_ms[i - kCallsMax], 800);
  site.Control (site.runners[0], "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  site.CheckRuns ();
}

// Guards against an agent that ends, or stops following its worker, after odd
// heartbeats of another writer for the same worker.
TEST (PlatformSite, OddHeartbeatsDoNotDisturbAnAgent)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] {
    return site.Call (site.controls[0], "POST", "/api/instances/none/leave").status ==
           200;
  }));
  for (const std::string &odd :
       { std::string (200000, '['), std::string (1, '\0'), std::string ("\xff\xfe"),
         std::string (
             "{\"service\":\"svc\",\"address\":\"127.0.0.1:70000\",\"state\":"
             "\"ready\",\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":8},"
             "\"seq\":1e18,\"born\":9007199254740991}"),
         std::string ("{\"service\":\"svc\",\"address\":\"127.0.0.1:1\",\"state\":"
                      "\"ready\",\"capacity\":{\"cpu\":99999999999999999999999},"
                      "\"seq\":9,\"born\":1}") })
    EXPECT_EQ (
        site.Call (site.controls[0], "POST", "/api/instances/w0/heartbeat", odd).status,
        400);
  // The agent has no worker yet when it starts; an empty id must not pass for that.
  site.Kill ("runner0");
  site.Kill ("agent0");
  site.StartAgent (0);
  ASSERT_TRUE (site.Until ([&] {
    return site.Call (site.controls[0], "POST", "/api/instances/w0/leave").status ==
           200;
  }));
  for (const std::string &id : { std::string (), std::string (1000, 'w') })
    EXPECT_EQ (site.Call (site.controls[0], "POST",
                          "/api/instances/" + id + "/heartbeat",
                          "{\"service\":\"svc\",\"address\":\"127.0.0.1:1\","
                          "\"state\":\"ready\",\"capacity\":{\"cpu\":64000,"
                          "\"memMb\":131072,\"gpu\":8},\"seq\":1}")
                   .status,
               404);
  site.StartRunner (0);
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 100")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (1, "done"), 1);
}

// Returns the start time of the worker that the first agent of SITE has found, or "".
std::string
BornOfFirstWorker (const PlatformSite &site)
{
  std::ifstream log (site.Dir () + "/agent0.log");

  for (std::string line; std::getline (log, line);)
    if (line.find ("event=worker_found") != std::string::npos)
      return std::to_string (
          strtoull (line.c_str () + line.find ("born_ms=") + 8, nullptr, 10));
  return "";
}

// Guards against a worker that is not used any more because a heartbeat of another
// writer for its present process described another service under a high sequence
// number.
TEST (PlatformSite, HighSequenceNumberDoesNotHideTheWorkersOwnHeartbeats)
{
  PlatformSite site (1, 1);
  std::string born;

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (
      site.Until ([&] { return !(born = BornOfFirstWorker (site)).empty (); }));
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/heartbeat",
                        "{\"service\":\"odd\",\"address\":\"" + site.runners[0] +
                            "\",\"state\":\"ready\",\"capacity\":{\"cpu\":1},"
                            "\"seq\":9007199254740991,\"born\":" +
                            born + "}")
                 .status,
             200);
  // A delayed heartbeat has a lower number, too.
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/heartbeat",
                        "{\"service\":\"older\",\"address\":\"" + site.runners[0] +
                            "\",\"state\":\"ready\",\"capacity\":{\"cpu\":1},"
                            "\"seq\":2,\"born\":" +
                            born + "}")
                 .status,
             200);
  site.Pause (1000); // the agent reports the description
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 100")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_FALSE (site.Logged ("agent0", "service=older"));
}

// Guards against an end that is acknowledged without having been read, so that its task
// counts as running for ever.
TEST (PlatformSite, EndThatCannotBeReadIsNotAcknowledged)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (
      site.Until ([&] { return site.Logged ("agent0", "event=worker_found"); }));
  site.Control (site.runners[0], "{\"mode\":\"odd_end\"}");
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 1, "run 200")).status, 200);
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (1, 1, "run 600")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 2, 1) == "completed"; }));
  site.Pause (1500);
  EXPECT_EQ (site.AcknowledgedEnds (1, "done"), 0);
  site.Control (site.runners[0], "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Starts (1), 1);
}

// Guards against an agent that drops its worker, so that running tasks start a second
// time elsewhere, for one that only a heartbeat of another writer has announced: nobody
// listens at its address, or the worker there has another id or start time.
TEST (PlatformSite, AnnouncedWorkerIsUsedOnlyIfItResponds)
{
  PlatformSite site (1, 2);
  auto heartbeat = [&] (const std::string &id, const std::string &address) {
    EXPECT_EQ (site.Call (site.controls[0], "POST",
                          "/api/instances/" + id + "/heartbeat",
                          "{\"service\":\"odd\",\"address\":\"" + address +
                              "\",\"state\":\"ready\",\"capacity\":{\"cpu\":64000,"
                              "\"memMb\":131072,\"gpu\":8},\"seq\":1,\"born\":" +
                              std::to_string (time (nullptr) * 1000 + 60000) + "}")
                   .status,
               200);
  };

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (2, 8, "run 2000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 2; }));
  heartbeat ("zz-odd", FreeAddress ());
  heartbeat ("zz-odd", site.runners[0]);
  heartbeat ("w0", site.runners[0]);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Starts (1), 2);
  EXPECT_FALSE (site.Logged ("agent0", "event=worker_lost"));
  site.CheckRuns ();
}

// Returns what process NAME of SITE has logged.
std::string
Log (const PlatformSite &site, const std::string &name)
{
  std::ifstream log (site.Dir () + "/" + name + ".log");

  return std::string ((std::istreambuf_iterator<char> (log)),
                      std::istreambuf_iterator<char> ());
}

// Waits until the only entry of SITE knows all workers, so that it can place tasks on
// each of them.
bool
AllListed (PlatformSite *site)
{
  return site->Up () && site->Until ([&] {
    return PlatformSite::Count (Log (*site, "entry0"), "event=worker_listed") ==
           site->workers;
  });
}

// Three workers, two of which run a task that fills them, so that a task that is taken
// as lost starts again elsewhere. Other writers send messages to the agent of worker
// `busy`, which runs a task and did not start after worker `newest`.
class DisturbedSite : public PlatformSite
{
public:
  int busy = -1;
  int newest = 0;

  DisturbedSite () : PlatformSite (1, 3)
  {
  }
  bool
  Run ()
  {
    if (!AllListed (this) || Submit (0, 1, 1, Job (2, 8, "run 5000")).status != 200 ||
        !Until ([&] { return Starts (1) == 2; }))
      return false;
    for (int i = 0; i < workers; i++)
      {
        if (Born (i) >= Born (newest))
          newest = i;
        if (Events ("runner" + std::to_string (i), "run_start") > 0 &&
            (busy < 0 || Born (i) < Born (busy)))
          busy = i;
      }
    return busy != newest;
  }
  // Returns the start time that worker I states.
  int64_t
  Born (int i)
  {
    std::string found =
        "event=worker_found worker=w" + std::to_string (i) + " born_ms=";
    std::string text = Log (*this, "agent" + std::to_string (i));

    return strtoll (text.c_str () + text.find (found) + found.size (), nullptr, 10);
  }
  // Sends COUNT heartbeats of another writer, one a second. BORN_MS 0: they state no
  // start time.
  void
  SendHeartbeats (const std::string &id, const std::string &address, int64_t born_ms,
                  int count = 3)
  {
    std::string born = born_ms == 0 ? "" : ",\"born\":" + std::to_string (born_ms);

    for (int n = 1; n <= count; n++)
      {
        EXPECT_EQ (Call (controls[static_cast<size_t> (busy)], "POST",
                         "/api/instances/" + id + "/heartbeat",
                         "{\"service\":\"svc\",\"address\":\"" + address +
                             "\",\"state\":\"ready\",\"capacity\":{\"cpu\":64000,"
                             "\"memMb\":131072,\"gpu\":8},\"seq\":" +
                             std::to_string (100000 + n) + born + "}")
                       .status,
                   200);
        Pause (1000);
      }
  }
  void
  ExpectEachTaskToRunOnce ()
  {
    EXPECT_TRUE (Until ([&] { return State (0, 1, 1) == "completed"; }));
    EXPECT_EQ (Starts (1), 2);
    CheckRuns ();
  }
};

int64_t
InAMinute ()
{
  return time (nullptr) * 1000 + 60000;
}

// Guards against a second start of running tasks after heartbeats of another writer
// with an unknown id and no start time.
TEST (PlatformSite, HeartbeatsWithoutAStartTimeDoNotMoveRunningTasks)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  site.SendHeartbeats ("i-odd", FreeAddress (), 0);
  site.ExpectEachTaskToRunOnce ();
}

// Guards against the same for an unknown id and an address at which nobody listens.
TEST (PlatformSite, HeartbeatsFromADeadAddressDoNotMoveRunningTasks)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  site.SendHeartbeats ("i-odd", FreeAddress (), InAMinute ());
  site.ExpectEachTaskToRunOnce ();
}

// Guards against the same for an unknown id at a dead address with the start time of
// the agent's own worker, so that neither counts as outdated and they replace each
// other.
TEST (PlatformSite, HeartbeatsWithTheWorkersStartTimeDoNotMoveRunningTasks)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  site.SendHeartbeats ("i-odd", FreeAddress (), site.Born (site.busy));
  site.ExpectEachTaskToRunOnce ();
}

// Guards against the same for the id, address and start time of a worker of another
// agent, which responds.
TEST (PlatformSite, HeartbeatsOfAnotherAgentsWorkerDoNotMoveRunningTasks)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  site.SendHeartbeats ("w" + std::to_string (site.newest),
                       site.runners[static_cast<size_t> (site.newest)],
                       site.Born (site.newest));
  site.ExpectEachTaskToRunOnce ();
}

// Guards against running work that is given up because its worker is slow to respond
// while another writer announces the worker of another agent.
TEST (PlatformSite, SlowWorkerIsNotGivenUpForAnotherAgentsWorker)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  std::string own = site.runners[static_cast<size_t> (site.busy)];
  site.Control (own, "{\"mode\":\"silent\"}");
  site.SendHeartbeats ("w" + std::to_string (site.newest),
                       site.runners[static_cast<size_t> (site.newest)],
                       site.Born (site.newest), 1);
  site.Pause (200);
  site.Control (own, "{\"mode\":\"ok\"}");
  site.ExpectEachTaskToRunOnce ();
}

// Guards against the same for the id and address of the agent's own worker with a later
// start time.
TEST (PlatformSite, HeartbeatsWithALaterStartTimeDoNotMoveRunningTasks)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  site.SendHeartbeats ("w" + std::to_string (site.busy),
                       site.runners[static_cast<size_t> (site.busy)], InAMinute ());
  site.ExpectEachTaskToRunOnce ();
}

// Guards against a second run of tasks after a delayed notice that their worker shuts
// down, which its earlier process has sent.
TEST (PlatformSite, NoticeOfAnEarlierIncarnationIsIgnored)
{
  PlatformSite site (1, 2);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (2, 8, "run 2000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 2; }));
  EXPECT_EQ (
      site.Call (site.controls[0], "POST", "/api/instances/w0/leave", "{\"born\":1}")
          .status,
      200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Starts (1), 2);
  site.CheckRuns ();
}

// Guards against a second run of tasks after a notice that their worker ends, which
// does not say which process it is from, while the worker goes on.
TEST (PlatformSite, NoticeThatAWorkerEndsDoesNotMoveTasksWhileItResponds)
{
  PlatformSite site (1, 2);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (2, 8, "run 3000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 2; }));
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/leave").status,
             200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Starts (1), 2);
  EXPECT_FALSE (site.Logged ("agent0", "event=worker_lost"));
  site.CheckRuns ();
}

// Guards against a stop of tasks that save their progress after a notice that their
// worker ends which another writer or an earlier process has sent.
TEST (PlatformSite, NoticeThatAWorkerEndsDoesNotStopTasksWhileItResponds)
{
  PlatformSite site (1, 1);
  std::string job = site.Job (1, 8, "run 4000");

  job.replace (job.find ("\"estimateMs\":500"), 16,
               "\"estimateMs\":4000,\"savesProgress\":true");
  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, job).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Pause (1500); // reports show the run
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/leave").status,
             200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Ends (1, "stopped"), 0);
  EXPECT_EQ (site.Starts (1), 1);
}

// Guards against tasks that wait for the lease of a crashed worker although nobody
// listens at its address any more and its agent has another worker.
TEST (PlatformSite, TasksOfACrashedWorkerDoNotWaitForItsLeaseOnceAnotherOneIsThere)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 3000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Pause (700);
  site.Kill ("runner0");
  site.Start ("runner9", "carobrun-fake-runner",
              { "--listen", FreeAddress (), "--agent", site.controls[0], "--id", "w9",
                "--rack", "r0", "--trace", site.Dir () + "/runner9.trace" });
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("agent0", "event=worker_found worker=w9"); }));
  auto found = std::chrono::steady_clock::now ();
  ASSERT_TRUE (site.Until ([&] { return site.Logged ("entry0", "how=run_lost"); }));
  auto waited_ms = std::chrono::duration_cast<std::chrono::milliseconds> (
      std::chrono::steady_clock::now () - found);
  EXPECT_LT (waited_ms.count (), 1000);
}

// Two entries and one worker, which runs a task when its process is killed and another
// worker starts at its address, while neither entry runs. The scheduler is killed then.
class EndBeforeATakeoverSite : public PlatformSite
{
public:
  EndBeforeATakeoverSite () : PlatformSite (2, 1)
  {
  }
  bool
  Run ()
  {
    if (!Up () || Submit (0, 1, 1, Job (1, 8, "run 3000")).status != 200 ||
        !Until ([&] { return Starts (1) == 1; }))
      return false;
    Pause (700); // the run is in a report
    first_ = Scheduler ();
    Signal ("entry0", SIGSTOP);
    Signal ("entry1", SIGSTOP);
    Kill ("runner0");
    return true;
  }
  void
  StartOtherWorker ()
  {
    Start ("runner9", "carobrun-fake-runner",
           { "--listen", runners[0], "--agent", controls[0], "--id", "w9", "--rack",
             "r0", "--trace", dir_ + "/runner9.trace" });
  }
  // Expects that the next scheduler takes the task as lost long before the lease of the
  // killed worker, which it would count from its own start.
  void
  ExpectTaskToMoveSoon ()
  {
    std::string next = "entry" + std::to_string (1 - first_);

    Kill ("entry" + std::to_string (first_));
    Signal (next, SIGCONT);
    ASSERT_TRUE (Until ([&] { return Scheduler () == 1 - first_; }));
    auto gained = std::chrono::steady_clock::now ();
    ASSERT_TRUE (Until ([&] { return Logged (next, "how=run_lost"); }));
    auto waited_ms = std::chrono::duration_cast<std::chrono::milliseconds> (
        std::chrono::steady_clock::now () - gained);
    EXPECT_LT (waited_ms.count (), 3000);
    EXPECT_TRUE (Until ([&] { return State (1 - first_, 1, 1) == "completed"; }));
  }

private:
  int first_ = -1;
};

// Guards against tasks that wait for the lease of an ended worker because its agent has
// told only a scheduler that was replaced before it acted.
TEST (PlatformSite, TasksOfAnEndedWorkerMoveAfterATakeover)
{
  EndBeforeATakeoverSite site;

  ASSERT_TRUE (site.Run ());
  site.StartOtherWorker ();
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("agent0", "event=worker_found worker=w9"); }));
  site.ExpectTaskToMoveSoon ();
}

// Guards against tasks that wait for the lease of a worker that was replaced together
// with its agent, so that nobody states its end, although another worker responds at
// its address, which a new scheduler knows from the log.
TEST (PlatformSite, TasksOfAWorkerReplacedWithItsAgentMoveAfterATakeover)
{
  EndBeforeATakeoverSite site;

  ASSERT_TRUE (site.Run ());
  site.Kill ("agent0");
  site.StartOtherWorker ();
  site.StartAgent (0);
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("agent0", "event=worker_found worker=w9"); }));
  EXPECT_FALSE (site.Logged ("agent0", "event=worker_lost"));
  site.ExpectTaskToMoveSoon ();
}

// Guards against an agent that keeps the worker of another agent, announced while it
// had none, and never uses its own, as the other one responds.
TEST (PlatformSite, AgentUsesItsOwnWorkerAfterOneOfAnotherAgent)
{
  DisturbedSite site;

  ASSERT_TRUE (site.Run ());
  int restarted = site.busy;
  site.Kill ("runner" + std::to_string (restarted));
  site.Pause (100);
  site.StartRunner (restarted, 2500);
  site.Pause (900); // the agent has seen the new process and waits for its heartbeat
  site.SendHeartbeats ("w" + std::to_string (site.newest),
                       site.runners[static_cast<size_t> (site.newest)],
                       site.Born (site.newest));
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (3, 8, "run 1000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 2, 1) == "completed"; }));
  EXPECT_TRUE (site.Until ([&] {
    return site.Count (Log (site, "agent" + std::to_string (restarted)),
                       "event=worker_found worker=w" + std::to_string (restarted) +
                           " ") > 1;
  })) << "the agent uses its own worker again";
  site.CheckRuns ();
}

// Guards against a worker that gets no work any more after a heartbeat of another
// writer with the state `draining` and a high sequence number.
TEST (PlatformSite, DrainingUnderAHighSequenceNumberEndsWithTheWorkersOwnHeartbeats)
{
  PlatformSite site (1, 1);
  std::string born;

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (
      site.Until ([&] { return !(born = BornOfFirstWorker (site)).empty (); }));
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/heartbeat",
                        "{\"service\":\"svc\",\"address\":\"" + site.runners[0] +
                            "\",\"state\":\"draining\",\"capacity\":{\"cpu\":64000,"
                            "\"memMb\":131072,\"gpu\":8},"
                            "\"seq\":9007199254740991,\"born\":" +
                            born + "}")
                 .status,
             200);
  site.Pause (1000);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 100")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
}

// Guards against work for a worker that has announced its end and has ended.
TEST (PlatformSite, WorkerThatHasLeftIsReportedAsLeft)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 500")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Kill ("runner0");
  EXPECT_EQ (site.Call (site.controls[0], "POST", "/api/instances/w0/leave").status,
             200);
  EXPECT_TRUE (site.Until ([&] { return site.Logged ("agent0", "why=left"); }));
  EXPECT_TRUE (site.Until ([&] { return site.Logged ("entry0", "why=left"); }));
  site.StartRunner (0);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
}

// Guards against starts without the advisor's ticket, which workers reject, and against
// steps that never start after the advisor was busy.
TEST (PlatformSite, StepOfAnAdvisedQueueRunsOnTheAllowedWorkers)
{
  PlatformSite site (1, 3, false, 300, "w2");

  ASSERT_TRUE (site.Up ());
  site.Control (site.advisor, "{\"mode\":\"busy\",\"count\":2}");
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (2, 4, "run 300")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 1) == "completed"; }));
  EXPECT_EQ (site.Ends (1, "done"), 2);
  std::ifstream trace (site.Dir () + "/runner2.trace");
  std::string text ((std::istreambuf_iterator<char> (trace)),
                    std::istreambuf_iterator<char> ());
  EXPECT_EQ (site.Count (text, "\"run_start\""), 2);
  EXPECT_EQ (site.Count (site.Call (site.metrics[0], "GET", "/metrics").body,
                         "advice_calls_total{result=\"answered\"} 1\n"),
             1);
}

// Guards against tasks that use a worker's spare CPU and keep the response times of a
// serving task on the same worker above their target.
TEST (PlatformSite, FillingTaskIsSlowedDownBesideAServingTask)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  std::string serving = site.Job (1, 1, "serve 60000");
  std::string filling = site.Job (1, 1, "fill 60000");
  serving.insert (serving.size () - 3, ",\"daemon\":true,\"targetMs\":50");
  filling.insert (filling.size () - 3, ",\"fills\":true");
  EXPECT_EQ (site.Submit (0, 1, 0, serving).status, 200);
  EXPECT_EQ (site.Submit (0, 2, 0, filling).status, 200);
  EXPECT_TRUE (site.Until ([&] {
    std::ifstream trace (site.Dir () + "/runner0.trace");
    std::string text ((std::istreambuf_iterator<char> (trace)),
                      std::istreambuf_iterator<char> ());
    return site.Count (text, "\"ev\":\"pace\"") > 0 &&
           text.find ("\"percent\":0") != std::string::npos;
  }));
  site.CheckRuns ();
}

// Guards against a new scheduler that can place tasks on only a part of the workers,
// because agents still wait for the response to a call under the previous epoch: 0.3 s
// after most takeovers only 6 to 9 of 11 workers were known.
TEST (PlatformSite, NewSchedulerGetsTheReportsOfAllWorkersAtOnce)
{
  PlatformSite site (2, 3);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  int old = site.Scheduler ();
  EXPECT_EQ (site.Submit (old, 1, 0, site.Job (3, 8, "run 5000", true)).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (old, 1, 0) == "running"; }));
  /* The next call for each worker's lists gets no response. */
  for (const auto &runner : site.runners)
    site.Control (runner, "{\"mode\":\"silent\",\"count\":1}");
  site.Pause (500);
  EXPECT_EQ (site.Terminate ("entry" + std::to_string (old)), 0);
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () == 1 - old; }));
  std::string event;
  EXPECT_TRUE (site.Until ([&] {
    std::ifstream log (site.Dir () + "/entry" + std::to_string (1 - old) + ".log");
    for (std::string line; event.empty () && std::getline (log, line);)
      if (line.find ("event=settled") != std::string::npos)
        event = line;
    return !event.empty ();
  }));
  EXPECT_NE (event.find ("workers=3 expected=3"), std::string::npos) << event;
}

// Two workers. The one that gets the start of a task first, worker `first`, does not
// respond to it and carries it out later. Its agent is named `agent`.
class LateStartSite : public PlatformSite
{
public:
  int first = -1;
  std::string agent;
  std::string runner;

  LateStartSite () : PlatformSite (1, 2)
  {
  }
  // Submits job 1 with SPEC. MODE is the fault mode of the workers.
  bool
  Run (const std::string &mode = "late", const std::string &spec = "run 4000")
  {
    if (!AllListed (this))
      return false;
    for (const auto &address : runners)
      Control (address, "{\"mode\":\"" + mode + "\",\"count\":1}");
    if (Submit (0, 1, 1, Job (1, 8, spec)).status != 200 || !Until ([&] {
          first = Events ("runner0", "start_delayed") > 0   ? 0
                  : Events ("runner1", "start_delayed") > 0 ? 1
                                                            : -1;
          return first >= 0;
        }))
      return false;
    agent = "agent" + std::to_string (first);
    runner = "runner" + std::to_string (first);
    Control (runners[static_cast<size_t> (1 - first)], "{\"mode\":\"ok\"}");
    return true;
  }
  // Lets worker `first` refuse the next start.
  void
  RefuseRepeatedStart ()
  {
    Control (runners[static_cast<size_t> (first)], "{\"mode\":\"room\",\"count\":1}");
  }
  void
  ExpectOneRunAtATime ()
  {
    EXPECT_TRUE (Until ([&] { return State (0, 1, 1) == "completed"; }));
    CheckRuns ();
  }
};

// Guards against two runs of a task at once: its start got no answer, the repeated call
// is refused, the task starts elsewhere, and then the first call is carried out.
TEST (PlatformSite, LateStartAfterARefusalRunsNoTaskTwice)
{
  LateStartSite site;

  ASSERT_TRUE (site.Run ());
  site.RefuseRepeatedStart ();
  site.ExpectOneRunAtATime ();
  EXPECT_EQ (site.Events (site.runner, "start_refused", "room"), 1);
}

// Guards against the same with an agent that has restarted before the refusal and does
// not know that there was an earlier call.
TEST (PlatformSite, LateStartAfterARefusalToARestartedAgentRunsNoTaskTwice)
{
  LateStartSite site;

  ASSERT_TRUE (site.Run ());
  site.Kill (site.agent);
  site.RefuseRepeatedStart ();
  site.StartAgent (site.first);
  site.ExpectOneRunAtATime ();
  EXPECT_EQ (site.Events (site.runner, "start_refused", "room"), 1);
}

// Guards against the same with a worker that drains: its restarted agent refuses the
// start by itself.
TEST (PlatformSite, LateStartOnADrainingWorkerRunsNoTaskTwice)
{
  LateStartSite site;

  ASSERT_TRUE (site.Run ());
  site.Kill (site.agent);
  // The worker exits 2.5 s after the signal, and carries out the first call 2.5 s after
  // that came.
  site.Pause (400);
  site.Signal (site.runner, SIGTERM);
  site.StartAgent (site.first);
  site.ExpectOneRunAtATime ();
}

// Guards against two runs of a task at once: the agent of its worker is not there until
// the leases of the worker are over, the task starts elsewhere, and the first start is
// carried out once the worker has a new lease, which it must get.
TEST (PlatformSite, LateStartOfALostRunRunsNoTaskTwice)
{
  LateStartSite site;

  ASSERT_TRUE (site.Run ("later", "run 9000"));
  site.Kill (site.agent);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.StartAgent (site.first);
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (1, 8, "run 6000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (2) == 1; }));
  EXPECT_EQ (site.Starts (1), 1);
  EXPECT_EQ (site.Events (site.runner, "run_start"), 1);
  site.ExpectOneRunAtATime ();
  EXPECT_EQ (site.Starts (1), 1);
}

} // namespace
