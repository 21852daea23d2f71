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

// Returns the sum of the samples of metric NAME in METRICS whose labels contain LABEL,
// or -1 when there is none.
double
SumSamples (const std::string &metrics, const std::string &name,
            const std::string &label = "")
{
  std::istringstream lines (metrics);
  std::string line;
  double sum = -1;

  while (std::getline (lines, line))
    {
      size_t end = line.find_last_of (' ');
      std::string series = line.substr (0, end);

      if (series.substr (0, series.find ('{')) != name ||
          series.find (label) == std::string::npos)
        continue;
      sum = std::max (sum, 0.0) + std::stod (line.substr (end));
    }
  return sum;
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

// Returns the newest value of KEY in the store's TOPIC, in base64; empty: none.
std::string
NewestValue (PlatformSite &site, const std::string &topic, const std::string &key)
{
  std::string body =
      site.Call (site.store, "GET", "/api/log-newest?topic=" + topic + "&part=0").body;
  json_t *root = json_loads (body.c_str (), 0, nullptr);
  std::string value;
  json_t *item;
  size_t i;

  json_array_foreach (json_object_get (root, "items"), i, item)
  {
    if (key == json_string_value (json_object_get (item, "key")))
      value = json_string_value (json_object_get (item, "value"));
  }
  json_decref (root);
  return value;
}

// Guards against a new scheduler that writes its first snapshot over the newest
// complete one: if it does not end, no entry can start once the log's records expire
// (review/3).
TEST (PlatformSite, FailedSnapshotLeavesTheNewestOneIntact)
{
  PlatformSite site (1, 1, false, 4);
  // The head of set b, in base64, begins with this.
  const std::string set_b = "YiA";
  std::string head;
  std::string chunk;

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] {
    return site.State (0, 1, 0) == "completed" &&
           NewestValue (site, "keyed.batch", "head").rfind (set_b, 0) == 0;
  }));
  site.Kill ("entry0");
  head = NewestValue (site, "keyed.batch", "head");
  ASSERT_EQ (head.substr (0, 3), set_b);
  chunk = NewestValue (site, "keyed.batch", "b.0");
  site.Control (site.store, "{\"mode\":\"lose-keyed\"}");
  site.StartEntry (0);
  EXPECT_TRUE (site.Until ([&] { return site.Logged ("entry0", "stored=0"); }));
  EXPECT_EQ (NewestValue (site, "keyed.batch", "head"), head);
  EXPECT_EQ (NewestValue (site, "keyed.batch", "b.0"), chunk);
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

// Ends the store's outage and checks that the refused job ID never runs although a job
// submitted later does.
void
ExpectNeverRuns (PlatformSite &site, int id)
{
  site.Control (site.store, "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.Until ([&] {
    return site.Submit (0, id + 1, 0, site.Job (1, 1, "run 50")).status == 200;
  }));
  EXPECT_TRUE (site.Until ([&] { return site.State (0, id + 1, 0) == "completed"; }));
  EXPECT_EQ (site.Ends (id, "done"), 0);
  EXPECT_EQ (site.State (0, id, 0), "unknown");
}

// Guards against a job that runs although an entry refused it during a store outage,
// and against a refusal that comes after the caller's timeout.
TEST (PlatformSite, JobRefusedInAStoreOutageNeverRuns)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  site.Control (site.store, "{\"mode\":\"busy\"}");
  site::Reply reply = site.Submit (0, 1, 0, site.Job (1, 1, "run 50"));
  EXPECT_EQ (reply.status, 503);
  ExpectNeverRuns (site, 1);
}

// Guards against an unknown outcome (status 504 after 2.9 s, incident inc-1113) for a
// request that arrives when the store no longer responds: after a 504 the caller
// must not submit the job again. The entry must not send the job's record before it can
// read the log again, so that its refusal is definite.
TEST (PlatformSite, RequestAfterTheStartOfAnOutageIsDefinitelyRefused)
{
  PlatformSite site (2, 1);

  ASSERT_TRUE (site.Up ());
  site.Control (site.store, "{\"mode\":\"silent\"}");
  site.Pause (2500);
  cb_msec_t sent = cb_clock_now (cb_clock_system ());
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 503);
  EXPECT_LE (cb_clock_now (cb_clock_system ()) - sent, 2000);
  ExpectNeverRuns (site, 1);
}

// Guards against a definite refusal of a job whose earlier submission got no response
// from the store and may have been stored.
TEST (PlatformSite, RepeatedRequestIsNotRefusedWhileTheFirstMayBeStored)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  site.Control (site.store, "{\"mode\":\"silent-at-job\"}");
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 504);
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 504);
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status, 503);
  site.Control (site.store, "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  site.CheckRuns ();
}

// Guards against status 410 (no such job) for a job whose submission may still be
// stored: until its outcome is known, requests for its status and cancellations get
// 503.
TEST (PlatformSite, JobWithAnUnknownOutcomeIsNotReportedAsMissing)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  site.Control (site.store, "{\"mode\":\"deaf-at-job\"}");
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 504);
  EXPECT_EQ (site.Call (site.callers[0], "GET", site.Path (1, 0)).status, 503);
  EXPECT_EQ (site.Call (site.callers[0], "DELETE", site.Path (1, 0)).status, 503);
  EXPECT_EQ (site.Call (site.callers[0], "GET", site.Path (2, 0)).status, 410);
  site.Control (site.store, "{\"mode\":\"ok\"}");
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.CheckRuns ();
}

// Guards against a definite refusal of a job whose earlier submission was relayed to an
// entry that did not respond in time and may have accepted it.
TEST (PlatformSite, RepeatedRequestIsNotRefusedWhileAnotherEntryMayHaveIt)
{
  PlatformSite site (2, 1, true);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (1, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.Signal ("link-entry0", SIGSTOP);
  site.Pause (2500);
  site.Signal ("entry1", SIGSTOP);
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status, 504);
  EXPECT_EQ (site.Submit (0, 2, 0, site.Job (1, 1, "run 50")).status, 504);
  site.Signal ("entry1", SIGCONT);
  site.Signal ("link-entry0", SIGCONT);
  EXPECT_TRUE (site.Until (
      [&] { return site.Submit (1, 2, 0, site.Job (1, 1, "run 50")).status == 200; }));
  EXPECT_TRUE (site.Until ([&] { return site.State (1, 2, 0) == "completed"; }));
  site.CheckRuns ();
}

// Guards against requests that wait for a store that is known to be lost (1.4 s each,
// so that callers had two attempts in their 3 s), and against refusals after it has
// returned.
TEST (PlatformSite, RequestsAreAnsweredAtOnceWhileTheStoreIsLost)
{
  for (const char *mode : { "busy", "silent" })
    {
      PlatformSite site (1, 1);

      ASSERT_TRUE (site.Up ());
      EXPECT_EQ (site.Submit (0, 9, 0, site.Job (1, 1, "run 50")).status, 200);
      site.Control (site.store, std::string ("{\"mode\":\"") + mode + "\"}");
      site.Pause (4000);
      for (int i = 1; i <= 3; i++)
        {
          cb_msec_t sent = cb_clock_now (cb_clock_system ());
          EXPECT_EQ (site.Submit (0, i, 0, site.Job (1, 1, "run 50")).status, 503);
          EXPECT_EQ (site.Call (site.callers[0], "DELETE", site.Path (8, 0)).status,
                     503);
          EXPECT_LE (cb_clock_now (cb_clock_system ()) - sent, 300) << mode;
        }
      site.Control (site.store, "{\"mode\":\"ok\"}");
      site.Pause (2000);
      EXPECT_EQ (site.Submit (0, 4, 0, site.Job (1, 1, "run 50")).status, 200);
      EXPECT_TRUE (site.Until ([&] { return site.State (0, 4, 0) == "completed"; }));
      for (int i = 1; i <= 3; i++)
        {
          EXPECT_EQ (site.Ends (i, "done"), 0);
          EXPECT_EQ (site.State (0, i, 0), "unknown");
        }
    }
}

// Guards against an entry without access to the log that relays every request to
// another entry that does not respond: each request waited 0.3 s for that entry, or 2.5
// s while its process was paused (incident inc-4ef4).
TEST (PlatformSite, RequestsAreNotRelayedToAnUnresponsiveEntryEachTime)
{
  PlatformSite site (2, 1, true);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Submit (1, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.Signal ("link-entry0", SIGSTOP);
  site.Signal ("entry1", SIGSTOP);
  site.Pause (2500);
  site.State (0, 1, 0);
  for (int i = 0; i < 4; i++)
    {
      cb_msec_t sent = cb_clock_now (cb_clock_system ());
      EXPECT_EQ (site.State (0, 1, 0), "completed");
      EXPECT_LE (cb_clock_now (cb_clock_system ()) - sent, 250) << i;
    }
  site.Signal ("entry1", SIGCONT);
  site.Signal ("link-entry0", SIGCONT);
}

// Guards against takeovers and refusals while the store is slow (150 times its usual
// response time, one append at a time): the scheduler's heartbeats are late but not
// missing, and calls that would succeed must not time out.
TEST (PlatformSite, SlowStoreCausesNoTakeoverAndNoRefusal)
{
  PlatformSite site (3, 2);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  int scheduler = site.Scheduler ();
  site.Control (site.store, "{\"mode\":\"slow\"}");
  site.Pause (3000);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (site.Submit (i % 3, 10 + i, 0, site.Job (1, 1, "run 50")).status, 200)
        << i;
  EXPECT_EQ (site.Scheduler (), scheduler);
  site.Control (site.store, "{\"mode\":\"ok\"}");
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (site.Until ([&] { return site.State (0, 10 + i, 0) == "completed"; }));
  site.CheckRuns ();
}

// Guards against a slow store whose appends queue up because each entry appends its
// callers' submissions itself (ertis-carob-large trouble-2: 13 of 15 jobs in 2 s not
// accepted, then claims of all entries).
TEST (PlatformSite, SubmissionsGoThroughTheSchedulerWhileTheStoreIsSlow)
{
  PlatformSite site (3, 1);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  int scheduler = site.Scheduler ();
  int other = (scheduler + 1) % 3;
  EXPECT_EQ (site.Submit (other, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  site.Pause (1000);
  EXPECT_FALSE (
      site.Logged ("entry" + std::to_string (other), "event=relayed method=POST"));
  site.Control (site.store, "{\"mode\":\"slow\"}");
  site.Pause (3000);
  site::Reply replies[6];
  for (int i = 0; i < 6; i++)
    site.Send (&replies[i], site.callers[(scheduler + 1 + i % 2) % 3], "POST",
               site.Path (10 + i, 0), site.Job (1, 1, "run 50"), 3000);
  ASSERT_TRUE (site.Until ([&] {
    return std::all_of (std::begin (replies), std::end (replies),
                        [] (const site::Reply &reply) { return reply.done; });
  }));
  for (const site::Reply &reply : replies)
    EXPECT_EQ (reply.status, 200);
  for (int i = 1; i <= 2; i++)
    EXPECT_TRUE (site.Logged ("entry" + std::to_string ((scheduler + i) % 3),
                              "event=relayed method=POST"));
  EXPECT_EQ (site.Scheduler (), scheduler);
  site.Control (site.store, "{\"mode\":\"ok\"}");
  for (int i = 0; i < 6; i++)
    EXPECT_TRUE (site.Until ([&] { return site.State (0, 10 + i, 0) == "completed"; }));
  site.CheckRuns ();
}

// Returns the number of long-polling reads that the store did not wake when a record
// was appended.
double
MissedReads (PlatformSite &site)
{
  std::string body = site.Call (site.store, "GET", "/missed").body;

  return std::stod (body.substr (body.find (':') + 1));
}

// Guards against a delayed start (by 0.25 s for 3% of the appends): the store appended
// a record without waking the entry's long-polling read, so the entry received the
// record only with the next one.
TEST (PlatformSite, ReadThatMissesARecordIsRepeated)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  site.Control (site.store, "{\"mode\":\"miss\"}");
  for (int i = 0; i < 5; i++)
    {
      EXPECT_EQ (site.Submit (0, 1 + i, 0, site.Job (1, 1, "run 50")).status, 200);
      EXPECT_TRUE (
          site.Until ([&] { return site.State (0, 1 + i, 0) == "completed"; }));
    }
  double missed = MissedReads (site);
  EXPECT_GE (missed, 3);
  EXPECT_TRUE (site.Until ([&] {
    std::string metrics = site.Call (site.metrics[0], "GET", "/metrics").body;
    return SumSamples (metrics, "carobrun_store_reads_repeated_total") >= missed;
  })) << missed;
}

// Guards against a definite refusal of a job that does run: the store stored its record
// and the response was lost.
TEST (PlatformSite, LostResponseOfTheStoreIsNotARefusal)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
  site.Control (site.store, "{\"mode\":\"lose\",\"count\":1}");
  site::Reply reply = site.Submit (0, 1, 0, site.Job (1, 1, "run 50"));
  EXPECT_TRUE (reply.status == 200 || reply.status == 504) << reply.status;
  EXPECT_TRUE (site.Until ([&] {
    site.Submit (0, 1, 0, site.Job (1, 1, "run 50"));
    return site.State (0, 1, 0) == "completed";
  }));
  EXPECT_EQ (site.Ends (1, "done"), 1);
  site.CheckRuns ();
}

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
  ASSERT_TRUE (
      site.Until ([&] { return site.Logged ("agent0", "event=start_failed"); }));
  site.StartRunner (0, 1500);
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

// Guards against an agent that ends, or stops following its worker, after odd
// heartbeats of another writer for the same worker.
TEST (PlatformSite, OddHeartbeatsDoNotDisturbAnAgent)
{
  PlatformSite site (1, 1);

  ASSERT_TRUE (site.Up ());
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

// Guards against the reply that a job does not exist, for its cancellation, from an
// entry whose copy of the log lacks the job: the job then runs on (review/5).
TEST (PlatformSite, EntryThatCannotReadTheLogDoesNotDenyAJobToCancel)
{
  PlatformSite site (2, 1, true);
  site::Reply reply;

  ASSERT_TRUE (site.Up ());
  site.Signal ("link-entry1", SIGSTOP);
  EXPECT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 60000")).status, 200);
  reply = site.Call (site.callers[1], "DELETE", site.Path (1, 0), "", 3000);
  EXPECT_NE (reply.status, 410);
  site.Signal ("link-entry1", SIGCONT);
  EXPECT_TRUE (site.Until ([&] {
    reply = site.Call (site.callers[1], "DELETE", site.Path (1, 0), "", 3000);
    return reply.status == 200;
  }));
  EXPECT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "cancelled"; }));
  EXPECT_EQ (site.Call (site.callers[1], "DELETE", site.Path (9, 0), "", 3000).status,
             410);
  site.CheckRuns ();
}

// Guards against processes that wait forever on connections to the store that stay open
// but carry no more data; only a timeout can detect this.
TEST (PlatformSite, SilentConnectionsToTheStoreAreReplaced)
{
  PlatformSite site (2, 1, true);

  ASSERT_TRUE (site.Up ());
  for (const char *link : { "link-entry0", "link-entry1", "link-agent0" })
    site.Signal (link, SIGUSR1);
  ASSERT_TRUE (site.Until (
      [&] { return site.Submit (0, 1, 0, site.Job (1, 1, "run 50")).status == 200; }));
  EXPECT_TRUE (site.Until ([&] { return site.State (1, 1, 0) == "completed"; }));
  site.CheckRuns ();
}

// Guards against an entry without access to the store that relays a response based on a
// newer configuration and afterwards responds from its own older one. This was seen
// with "grown ertis scale-2 --seed 165888280570": version 10, then version 3.
TEST (PlatformSite, EntryWithoutTheStoreNeverReturnsToAnOlderConfiguration)
{
  PlatformSite site (2, 1, true);
  const std::string added = "/extra/";

  ASSERT_TRUE (site.Up ());
  // The job's record follows the record of entry1's address in the log, so entry0 now
  // has the address to relay requests to.
  EXPECT_EQ (site.Submit (1, 1, 0, site.Job (1, 1, "run 50")).status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.State (0, 1, 0) == "completed"; }));
  site.Signal ("link-entry0", SIGSTOP);
  site.PublishConfig (2, added);
  ASSERT_TRUE (site.Until (
      [&] { return site.Call (site.callers[1], "GET", added).status == 200; }));
  ASSERT_TRUE (site.Until (
      [&] { return site.Call (site.callers[0], "GET", added).status == 200; }));
  site.Kill ("entry1");
  EXPECT_NE (site.Call (site.callers[0], "GET", added).status, 404);
  site.Signal ("link-entry0", SIGCONT);
  EXPECT_TRUE (site.Until (
      [&] { return site.Call (site.callers[0], "GET", added).status == 200; }));
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
