// Checks real entries and agents, with workers that answer and then do not do what they
// have said: no task waits for such a worker without end, and none runs twice for it.
#include <chrono>

#include "test/platform_site.h"

using site::PlatformSite;

namespace
{

// Workers with a fault mode each. All of them are known to the scheduler before the
// first job, so that each may get a start.
class FaultySite : public PlatformSite
{
public:
  explicit FaultySite (int n_workers) : PlatformSite (1, n_workers)
  {
  }
  bool
  AllListed ()
  {
    return Up () && Until ([&] {
             int listed = 0;
             for (int i = 0; i < workers; i++)
               listed += Logged ("entry0",
                                 "event=worker_listed worker=w" + std::to_string (i));
             return listed == workers;
           });
  }
  // Sets fault mode MODE of all workers, for COUNT uses.
  void
  SetMode (const std::string &mode, int count)
  {
    for (const auto &runner : runners)
      Control (runner,
               "{\"mode\":\"" + mode + "\",\"count\":" + std::to_string (count) + "}");
  }
  // Returns what process NAME has logged.
  std::string
  Log (const std::string &name) const
  {
    std::ifstream log (Dir () + "/" + name + ".log");

    return std::string ((std::istreambuf_iterator<char> (log)),
                        std::istreambuf_iterator<char> ());
  }
  // Returns the worker that has dropped a start, or -1.
  int
  DroppedStart ()
  {
    for (int i = 0; i < workers; i++)
      if (Events ("runner" + std::to_string (i), "start_dropped") > 0)
        return i;
    return -1;
  }
  // Lets the worker that gets a start first not take it, in the fault mode MODE, while
  // another one is free, and expects the task to run there.
  void
  ExpectStartElsewhere (const std::string &mode, const std::string &reason,
                        int within_ms)
  {
    ASSERT_TRUE (AllListed ());
    SetMode (mode, -1);
    EXPECT_EQ (Submit (0, 1, 1, Job (1, 8, "run 300")).status, 200);
    ASSERT_TRUE (Until ([&] { return DroppedStart () >= 0; }));
    int first = DroppedStart ();
    Control (runners[static_cast<size_t> (1 - first)], "{\"mode\":\"ok\"}");
    EXPECT_TRUE (CompletedWithin (1, within_ms));
    EXPECT_EQ (Starts (1), 1);
    EXPECT_TRUE (Logged ("agent" + std::to_string (first), "reason=" + reason));
    CheckRuns ();
  }
  // Returns whether job ID of priority 1 is completed within MS.
  bool
  CompletedWithin (int id, int ms)
  {
    auto from = std::chrono::steady_clock::now ();

    return Until ([&] { return State (0, id, 1) == "completed"; }) &&
           std::chrono::steady_clock::now () - from < std::chrono::milliseconds (ms);
  }
};

// Guards against a task that waits without end for a run whose start the worker has
// answered with success and does not have.
TEST (PlatformWaits, AcceptedStartThatIsNeverListedIsPlacedAnew)
{
  FaultySite site (2);

  ASSERT_TRUE (site.AllListed ());
  site.SetMode ("accepted", 1);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 300")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  EXPECT_GE (site.Events ("runner0", "start_dropped") +
                 site.Events ("runner1", "start_dropped"),
             1);
  EXPECT_EQ (site.Starts (1), 1);
  EXPECT_TRUE (site.Logged ("agent0", "reason=not_listed") ||
               site.Logged ("agent1", "reason=not_listed"));
  site.CheckRuns ();
}

// Guards against a task that waits without end for a run whose start got no reply,
// while its worker has begun to drain and the start is not repeated.
TEST (PlatformWaits, UnansweredStartOnAWorkerThatDrainsIsPlacedAnew)
{
  FaultySite site (2);
  ASSERT_TRUE (site.AllListed ());
  site.SetMode ("unanswered", 1);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 300")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.DroppedStart () >= 0; }));
  int drains = site.DroppedStart ();
  for (int i = 0; i < 2; i++)
    site.Control (site.runners[static_cast<size_t> (i)],
                  i == drains ? "{\"mode\":\"draining\"}" : "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  EXPECT_EQ (site.Starts (1), 1);
  EXPECT_TRUE (site.Logged ("agent" + std::to_string (drains), "reason=draining"));
  site.CheckRuns ();
}

// Guards against a task that waits without end for a worker that answers its start with
// 503 each time and reports, while another one is free.
TEST (PlatformWaits, StartThatABusyWorkerNeverAcceptsIsPlacedAnew)
{
  FaultySite (2).ExpectStartElsewhere ("busy", "unhealthy", 2000);
}

// Guards against a task that waits for a stop, which the unhealthy worker may refuse as
// well, although no call for its start can be under way: the agent has run for longer
// than a lease lasts.
TEST (PlatformWaits, StartThatABusyWorkerRefusesMovesAtOnce)
{
  FaultySite site (2);

  site.Pause (5000);
  site.ExpectStartElsewhere ("busy", "unhealthy", 2000);
  EXPECT_EQ (site.Events ("runner0", "stop_absent"), 0);
  EXPECT_EQ (site.Events ("runner1", "stop_absent"), 0);
}

// Guards against the same for a worker that never answers the start.
TEST (PlatformWaits, StartThatAWorkerNeverAnswersIsPlacedAnew)
{
  FaultySite (2).ExpectStartElsewhere ("unanswered", "not_accepted", 10000);
}

// Guards against a stop of a run whose start got no reply and was carried out, as its
// worker drains by the time at which the reply is given up.
TEST (PlatformWaits, UnansweredStartThatRunsOnAWorkerThatDrainsIsLeftAlone)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  site.SetMode ("mute", 1);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 3000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Control (site.runners[0], "{\"mode\":\"draining\"}");
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  EXPECT_EQ (site.Starts (1), 1);
  EXPECT_EQ (site.Ends (1, "stopped"), 0);
}

// Guards against a task that waits without end for a run that its worker has listed and
// then lists no more, each time that happens.
TEST (PlatformWaits, RunThatIsListedNoMoreStartsAgain)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 2000")).status, 200);
  for (int run = 1; run <= 3; run++)
    {
      ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == run; }));
      site.Pause (700); // reports show the run
      site.SetMode ("forget", 1);
    }
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  EXPECT_EQ (site.Starts (1), 4);
  EXPECT_EQ (site.Ends (1, "forgotten"), 3);
  EXPECT_EQ (site.Count (site.Log ("entry0"), "why=not_listed"), 3);
  site.CheckRuns ();
}

// Guards against a task that waits without end for a run whose end its worker has
// dropped before it was read, and against a record that does not say so.
TEST (PlatformWaits, RunWhoseEndWasDroppedUnreadCountsAsLost)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 1, "run 100")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  site.SetMode ("lose_end", 1);
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (1, 1, "run 1500")).status, 200);
  EXPECT_EQ (site.Submit (0, 3, 1, site.Job (1, 1, "run 1700")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (2, 10000));
  EXPECT_TRUE (site.CompletedWithin (3, 10000));
  EXPECT_EQ (site.Starts (2), 2);
  EXPECT_EQ (site.Starts (3), 1);
  EXPECT_TRUE (site.Logged ("agent0", "event=ends_missed worker=w0"));
  EXPECT_TRUE (site.Logged ("entry0", "how=run_lost why=end_missed"));
}

// Guards against a task that waits without end for a run that has ended in a way which
// the agent does not know, and against an acknowledgement of that end.
TEST (PlatformWaits, EndOfAnUnknownKindCountsAsLost)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  site.SetMode ("odd_how", 1);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 8, "run 300")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (1, 15000));
  EXPECT_EQ (site.Ends (1, "evicted"), 1);
  ASSERT_EQ (site.Starts (1), 2);
  EXPECT_EQ (site.AcknowledgedEnds (1, "evicted"), 0);
  EXPECT_TRUE (site.Logged ("entry0", "how=run_lost why=listed"));
  EXPECT_GE (site.EventTimes ("runner0", "run_start", "").at (1) -
                 site.EventTimes ("runner0", "run_end", "evicted").at (0),
             6000);
  site.CheckRuns ();
}

// Guards against tasks that wait without end for the ends and starts behind an end that
// does not even name its run: the worker lists 500 ends, and no more while that one is
// not acknowledged.
TEST (PlatformWaits, EndWithoutARunDoesNotBlockItsWorkerForEver)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  site.SetMode ("odd_row", 1);
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 1, "run 1500")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Ends (1, "done") == 1; }));
  EXPECT_EQ (site.Submit (0, 2, 1, site.SmallTasks (700, "run 300")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (2, 20000));
  EXPECT_EQ (site.Starts (2), 700);
  EXPECT_EQ (site.Submit (0, 3, 1, site.Job (1, 1, "run 100")).status, 200);
  EXPECT_TRUE (site.CompletedWithin (3, 10000));
  // Nobody can say how this run has ended.
  EXPECT_TRUE (site.CompletedWithin (1, 10000));
  EXPECT_EQ (site.Starts (1), 2);
  EXPECT_TRUE (site.Logged ("entry0", "how=run_lost why=end_missed"));
}

// Guards against a task that waits without end for a start that its worker has accepted
// and does not have, as a row of the worker's running tasks can't be read.
TEST (PlatformWaits, UnreadableRunningTaskDoesNotBlockItsWorkerForEver)
{
  FaultySite site (1);

  ASSERT_TRUE (site.AllListed ());
  EXPECT_EQ (site.Submit (0, 1, 1, site.Job (1, 1, "run 60000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.SetMode ("accepted", 1);
  EXPECT_EQ (site.Submit (0, 2, 1, site.Job (1, 1, "run 300")).status, 200);
  ASSERT_TRUE (
      site.Until ([&] { return site.Events ("runner0", "start_dropped") == 1; }));
  site.SetMode ("odd_run", -1);
  EXPECT_TRUE (site.CompletedWithin (2, 25000));
  EXPECT_EQ (site.Starts (2), 1);
  EXPECT_TRUE (site.Logged ("agent0", "event=row_given_up list=running"));
  site.CheckRuns ();
}

} // namespace
