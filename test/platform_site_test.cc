// Checks real entries and agents, with stand-ins for the users' platform (the system
// that provides the store, the workers and the advisor), from a job's submission to its
// end: accepted jobs run to completion exactly once despite killed processes, store
// outages and lost responses, and callers are never told something false about a job.
// The modes that Control sets are described at the head of each program in fakes/.
#include <algorithm>
#include <fstream>
#include <sstream>

#include "test/platform_site.h"

using site::PlatformSite;
using site::SumSamples;

namespace
{

TEST (PlatformSite, JobRunsFromSubmitToEnd)
{
  PlatformSite site (2, 2);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (2, 8, "run 300", true)).status, 200);
  EXPECT_EQ (site.Submit (1, 1, 0, site.Job (2, 8, "run 300", true)).status, 200);
  EXPECT_EQ (site.Submit (1, 2, 1, site.Job (1, 1, "fail 50")).status, 200);
  EXPECT_TRUE (site.Until ([&] {
    return site.State (0, 1, 0) == "completed" && site.State (1, 2, 1) == "failed";
  }));
  EXPECT_EQ (site.Ends (1, "done"), 2);
  EXPECT_EQ (site.Ends (2, "failed"), 3);
  EXPECT_EQ (site.Call (site.callers[0], "GET", "/q0/" + site.Id (99)).status, 410);
  EXPECT_EQ (site.Call (site.callers[0], "GET", "/none/" + site.Id (1)).status, 404);
  EXPECT_EQ (site.Call (site.callers[0], "DELETE", site.Path (1, 0)).status, 200);
  site.CheckRuns ();
}

// Guards against delays that cannot be traced to a process: each process must count and
// time its part of a job.
TEST (PlatformSite, MetricsShowWhereAJobSpentItsTime)
{
  PlatformSite site (2, 1);
  std::string all;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (2, 1, "run 50")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  for (const auto &address : site.metrics)
    all += site.Call (address, "GET", "/metrics").body;
  EXPECT_EQ (SumSamples (all, "carobrun_request_duration_ms_count", "POST"), 1);
  EXPECT_GE (SumSamples (all, "carobrun_request_duration_ms_count", "GET"), 1);
  EXPECT_EQ (SumSamples (all, "carobrun_job_wait_duration_ms_count", "priority=\"0\""),
             1);
  EXPECT_GE (SumSamples (all, "carobrun_store_append_duration_ms_count"), 1);
  EXPECT_EQ (SumSamples (all, "carobrun_worker_call_duration_ms_count", "start"), 2);
  EXPECT_EQ (
      SumSamples (all, "carobrun_worker_call_duration_ms_bucket", "start\",le=\"+Inf"),
      2);
}

// Guards against an entry that reads only the first page of the keys in the operator's
// topic and therefore starts without a configuration.
TEST (PlatformSite, ConfigurationOnALaterPageIsFound)
{
  PlatformSite site (1, 1);
  std::string others;

  ASSERT_TRUE (site.Up ());
  site.Kill ("entry0");
  for (int i = 0; i < 600; i++)
    others += site.KeyedRecord ("a" + std::to_string (i), "x");
  site.AppendOperatorRecords (others);
  site.StartEntry (0);
  EXPECT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
}

// Guards against an entry that loses its metrics when it starts from a snapshot.
TEST (PlatformSite, MetricsSurviveARestartFromASnapshot)
{
  PlatformSite site (1, 1, false, 4);
  std::string text;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] {
    return site.State (0, 1, 0) == "completed" &&
           site.Logged ("entry0", "event=snapshot_written");
  }));
  site.Kill ("entry0");
  site.StartEntry (0);
  ASSERT_TRUE (
      site.Until ([&] { return site.Logged ("entry0", "event=snapshot_read"); }));
  ASSERT_TRUE (site.Until (
      [&] { return site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status == 200; }));
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 2, 0) == "completed"; }));
  text = site.Call (site.metrics[0], "GET", "/metrics").body;
  EXPECT_EQ (SumSamples (text, "carobrun_job_wait_duration_ms_count", "priority=\"0\""),
             1);
}

// Guards against a process that exits or loses its jobs when SIGHUP makes it reload its
// settings, and against a reload that applies a file with errors.
TEST (PlatformSite, HangupSignalReloadsTheSettings)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 1500")).status, 200);
  site.AppendSettings ("entry0", "log_level: warn\n");
  site.AppendSettings ("agent0", "no_such_setting: 1\n");
  site.Signal ("entry0", SIGHUP);
  site.Signal ("agent0", SIGHUP);
  EXPECT_TRUE (site.Until ([&] {
    return site.Logged ("entry0", "event=reloaded log_level=warn") &&
           site.Logged ("agent0", "event=reload_failed");
  }));
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status, 200);
  EXPECT_TRUE (site.Until ([&] {
    return site.State (0, 1, 0) == "completed" && site.State (0, 2, 0) == "completed";
  }));
  EXPECT_TRUE (site.Logged ("entry0", "event=accepted job=" + site.Id (1)));
  EXPECT_FALSE (site.Logged ("entry0", "event=accepted job=" + site.Id (2)));
  EXPECT_EQ (site.Ends (1, "done"), 1);
  site.CheckRuns ();
}

TEST (PlatformSite, KilledSchedulerIsReplacedAndJobsContinue)
{
  PlatformSite site (3, 2);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (2, 4, "run 4000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "running"; }));
  int old = site.Scheduler ();
  int other = (old + 1) % 3;
  site.Kill ("entry" + std::to_string (old));
  EXPECT_EQ (site.Submit (other, 2, 0, site.Job (1, 4, "run 100")).status, 200);
  EXPECT_TRUE (site.Until ([&] {
    return site.State (other, 1, 0) == "completed" &&
           site.State (other, 2, 0) == "completed";
  }));
  EXPECT_NE (site.Scheduler (), old);
  EXPECT_EQ (site.Ends (1, "done"), 2);
  EXPECT_EQ (site.Ends (1, "lapsed"), 0);
  site.CheckRuns ();
}

TEST (PlatformSite, ColdStartOfAllEntriesKeepsAcceptedWork)
{
  PlatformSite site (2, 1);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 2000")).status, 200);
  EXPECT_EQ (site.Submit (1, 2, 1, site.Job (1, 8, "run 100")).status, 200);
  site.Kill ("entry0");
  site.Kill ("entry1");
  site.StartEntry (0);
  site.StartEntry (1);
  EXPECT_TRUE (site.Until ([&] {
    return site.State (0, 1, 0) == "completed" && site.State (1, 2, 1) == "completed";
  }));
  EXPECT_EQ (site.Ends (1, "done"), 1);
  EXPECT_EQ (site.Ends (2, "done"), 1);
  site.CheckRuns ();
}

// Returns what `carobrun explain` prints about a job, given the logs of all processes.
std::string
Explain (const PlatformSite &site, int id, int *status)
{
  std::string command = std::string (getenv ("CAROBRUN_BIN")) + "/carobrun explain " +
                        PlatformSite::Id (id) + " " + site.Dir () + "/entry*.log " +
                        site.Dir () + "/agent*.log 2>&1";
  FILE *pipe = popen (command.c_str (), "r");
  std::string text;
  char buffer[4096];

  while (size_t n = fread (buffer, 1, sizeof buffer, pipe))
    text.append (buffer, n);
  *status = WEXITSTATUS (pclose (pipe));
  return text;
}

// Guards against failures that cannot be explained afterwards: for each injected
// failure, the explanation of an affected job must name the cause.
TEST (PlatformSite, ExplainNamesTheCauseOfEachFailure)
{
  PlatformSite site (1, 1);
  int status;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 4000")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "running"; }));
  site.Kill ("runner0");
  site.StartRunner (0);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.Control (site.store, "{\"mode\":\"busy\"}");
  site.Pause (500);
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status, 503);
  site.Control (site.store, "{\"mode\":\"ok\"}");
  ASSERT_TRUE (site.Until (
      [&] { return site.Submit (0, 3, 0, site.Job (1, 1, "run 50")).status == 200; }));
  site.Kill ("entry0");
  site.StartEntry (0);
  ASSERT_TRUE (site.Up ());
  site.Submit (0, 3, 0, site.Job (1, 1, "run 50"));
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 3, 0) == "completed"; }));

  std::string lost = Explain (site, 1, &status);
  EXPECT_EQ (status, 0);
  EXPECT_NE (
      lost.find ("run 1 of task 0.0.0 on w0 ended as run_lost; cause: its worker"),
      std::string::npos)
      << lost;
  std::string refused = Explain (site, 2, &status);
  EXPECT_NE (
      refused.find ("reason store_unavailable; cause: it had lost the store's log"),
      std::string::npos)
      << refused;
  EXPECT_NE (refused.find ("missing: no entry accepted it"), std::string::npos);
  std::string killed = Explain (site, 3, &status);
  EXPECT_NE (killed.find ("entry0.log was killed and started again"), std::string::npos)
      << killed;
  Explain (site, 4, &status);
  EXPECT_EQ (status, 1);
}

// Guards against a stop by SIGTERM that hangs, or that leaves the jobs without a
// scheduler.
TEST (PlatformSite, StoppedEntryExitsInTimeAndHandsTheSchedulerRoleOver)
{
  PlatformSite site (2, 1);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  int old = site.Scheduler ();
  EXPECT_EQ (site.Submit (old, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  EXPECT_EQ (site.Terminate ("entry" + std::to_string (old)), 0);
  EXPECT_TRUE (site.Until ([&] { return site.Scheduler () == 1 - old; }));
  EXPECT_TRUE (site.Until ([&] { return site.State (1 - old, 1, 0) == "completed"; }));
}

// Guards against an entry that blocks in a write to standard output when the reader of
// the pipe does not read.
TEST (PlatformSite, FullLogPipeDoesNotBlockTheEntry)
{
  PlatformSite site (1, 1);
  std::string fifo = site.Dir () + "/entry0.log";

  ASSERT_TRUE (site.Up ());
  site.Kill ("entry0");
  ASSERT_EQ (unlink (fifo.c_str ()), 0);
  ASSERT_EQ (mkfifo (fifo.c_str (), 0600), 0);
  int reader = open (fifo.c_str (), O_RDONLY | O_NONBLOCK);
  ASSERT_GE (reader, 0);
  site.StartEntry (0);
  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 1500; i++)
    EXPECT_EQ (site.Call (site.callers[0], "GET", "/none/" + site.Id (i)).status, 404);
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  close (reader);
}

} // namespace
