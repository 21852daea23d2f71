// Starts of entries: on a log with several configuration versions, on a log whose first
// records are no longer retained, and with a peer whose state is older than the log
// (invariants I5 and I8 of docs/design.md). A snapshot is the state that an entry has
// built from the log; it is sent to a peer or stored in the log.
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::kWorkers;
using site::Reply;
using site::Site;

// More records than an entry reads at a time.
const int kManyRecords = 300;

// Publishes a change and returns the version that ENTRY has then.
long
Change (Site *site, int entry, int reclaim_ms)
{
  EXPECT_TRUE (site->Until ([&] { return site->Apply (entry, reclaim_ms) == 0; }));
  return site->Version (entry);
}

// Waits until ENTRY has VERSION of the configuration.
bool
WaitVersion (Site *site, int entry, long version)
{
  return site->Until ([&] { return site->Version (entry) == version; });
}

// Waits until ENTRY lists the entry PEER as up.
bool
WaitPeerUp (Site *site, int entry, const std::string &peer)
{
  return site->Until ([&] {
    return site->Call (site->EntryHttp (entry), "GET", "/v1/status", "", 2000)
               .body.find ("\"name\":\"" + peer +
                           "\",\"role\":\"entry\",\"up\":true") != std::string::npos;
  });
}

// Returns how often the process NAME has applied VERSION.
int
TimesApplied (Site *site, const std::string &name, long version)
{
  return site->Events (name, "config", "\"version\":" + std::to_string (version) + "}");
}

// Appends COUNT invalid records, which entries skip, so that later records don't fit
// into an entry's first read.
void
AddRecords (Site *site, int count)
{
  for (int i = 0; i < count; i++)
    ASSERT_EQ (
        site->Call (site->LogAddress (), "POST", "/v1/streams/state/records", "\xff")
            .status,
        200);
}

// A restarted entry reads all versions from the log again: it must apply only the
// newest.
TEST (FaultStarts, OnlyEntryRestartsOnSeveralVersions)
{
  Site site (1, 1, 0);

  site.StartLog ();
  site.StartEntry (0);
  long first = Change (&site, 0, 2000);
  long second = Change (&site, 0, 2100);
  long third = Change (&site, 0, 2200);
  ASSERT_LT (first, second);
  ASSERT_LT (second, third);
  site.Kill ("entry0");
  site.StartEntry (0);
  ASSERT_TRUE (WaitVersion (&site, 0, third));
  EXPECT_EQ (TimesApplied (&site, "entry0", first), 1);
  EXPECT_EQ (TimesApplied (&site, "entry0", second), 1);
  EXPECT_EQ (TimesApplied (&site, "entry0", third), 2);
  site.ExpectNoViolation ();
}

// An entry that has read only the first part of the log must not send its state to
// another entry that starts, or both would act on a replaced version.
TEST (FaultStarts, PeerThatStillReadsTheLogGivesNoSnapshot)
{
  Site site (2, 1, 0);

  site.StartLog ();
  site.StartEntry (0);
  site.StartEntry (1);
  long first = Change (&site, 0, 2000);
  AddRecords (&site, kManyRecords);
  long second = Change (&site, 0, 2100);
  ASSERT_TRUE (WaitVersion (&site, 1, second));
  site.Kill ("entry0");
  site.Kill ("entry1");
  // Only the read from offset 1 on succeeds.
  site.Control (site.LogAddress (), "{\"fail_from\":2}");
  site.StartEntry (0);
  ASSERT_TRUE (
      site.Until ([&] { return site.StatusNumber (0, "folded_next") > first; }));
  ASSERT_LE (site.StatusNumber (0, "folded_next"), second);
  site.Control (site.LogAddress (), "{\"fail_from\":1}");
  site.StartEntry (1);
  ASSERT_TRUE (WaitPeerUp (&site, 0, "entry1"));
  ASSERT_TRUE (WaitPeerUp (&site, 1, "entry0"));
  EXPECT_EQ (site.Version (1), 0);
  site.Control (site.LogAddress (), "{\"fail_from\":0}");
  EXPECT_TRUE (WaitVersion (&site, 0, second));
  EXPECT_TRUE (WaitVersion (&site, 1, second));
  for (const char *name : { "entry0", "entry1" })
    EXPECT_EQ (TimesApplied (&site, name, first), 1) << name;
  site.ExpectNoViolation ();
}

// A peer that can't reach the log has an old version. An entry that restarts must not
// adopt it, neither while it can read the log nor while the log is down.
TEST (FaultStarts, SnapshotOfAPeerThatIsCutOffIsNotTheNewest)
{
  Site site (2, 1, 0);

  site.StartLog ();
  site.StartLink ("loglink", "entry0", -1);
  site.StartEntry (0);
  site.StartEntry (1);
  long first = Change (&site, 1, 2000);
  ASSERT_TRUE (WaitVersion (&site, 0, first));
  site.Kill ("loglink");
  long second = Change (&site, 1, 2100);
  ASSERT_TRUE (site.Until (
      [&] { return site.StatusNumber (0, "newest_config_version") == second; }));
  site.Kill ("entry1");
  site.StartEntry (1);
  EXPECT_TRUE (WaitVersion (&site, 1, second));
  EXPECT_EQ (TimesApplied (&site, "entry1", first), 1);
  site.Kill ("entry1");
  site.Control (site.LogAddress (), "{\"down\":true}");
  site.StartEntry (1);
  ASSERT_TRUE (WaitPeerUp (&site, 1, "entry0"));
  ASSERT_TRUE (site.Until ([&] {
    return site.Counter (site.EntryHttp (0), "snapshots_withheld_total") >= 2;
  }));
  EXPECT_EQ (site.Version (1), 0);
  site.Control (site.LogAddress (), "{\"down\":false}");
  EXPECT_TRUE (WaitVersion (&site, 1, second));
  EXPECT_EQ (TimesApplied (&site, "entry1", first), 1);
  site.ExpectNoViolation ();
}

// The log is down: an entry that starts must adopt the state of a peer that has read
// the whole log, and run requests.
TEST (FaultStarts, NewEntryWithoutTheLogTakesThePeersState)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  long version = site.Version (0);
  site.Kill ("entry1");
  site.Control (site.LogAddress (), "{\"down\":true}");
  site.StartEntry (1);
  ASSERT_TRUE (WaitVersion (&site, 1, version));
  EXPECT_TRUE (
      site.Until ([&] { return site.Request (1, "r", "preview").status == 200; }));
  site.ExpectNoViolation ();
}

// Waits until ENTRY has stored a snapshot of all records that it has applied: the
// status has the offset of the next record to apply, the counter that of the stored
// snapshot.
bool
WaitSnapshotStored (Site *site, int entry)
{
  return site->Until ([&] {
    long next = site->StatusNumber (entry, "folded_next");

    return next > 0 && site->Counter (site->EntryHttp (entry), "snapshot_next") == next;
  });
}

// Makes the log drop all records but the last of each stream, once. The log
// applies the retention to a stream when the stream is read.
void
CutLog (Site *site)
{
  site->Control (site->LogAddress (), "{\"retain\":1}");
  EXPECT_EQ (site->Call (site->LogAddress (), "GET",
                         "/v1/streams/state/records?from=1&max=1&wait_ms=0")
                 .status,
             410);
  site->Call (site->LogAddress (), "GET",
              "/v1/streams/snapshot/records?from=1&max=1&wait_ms=0");
  site->Control (site->LogAddress (), "{\"retain\":0}");
}

// Kills all entries, cuts the log and starts them again.
void
RestartAll (Site *site)
{
  int scheduler = site->Scheduler ();

  ASSERT_GE (scheduler, 0);
  ASSERT_TRUE (WaitSnapshotStored (site, scheduler));
  site->Kill ("entry0");
  site->Kill ("entry1");
  CutLog (site);
  site->StartEntry (0);
  site->StartEntry (1);
}

// All entries are killed and the first records are no longer retained, so that no peer
// can send its state: configuration and jobs must be restored from the snapshot in the
// log.
TEST (FaultStarts, AllEntriesRestartAfterARetentionCut)
{
  Site site (2, 2, kWorkers);

  site.SetLogSettings (", retention_ms: 10000");
  ASSERT_TRUE (site.Up ());
  long version = Change (&site, 0, 2100);
  for (const char *key : { "running", "waiting" })
    EXPECT_EQ (site.Call (site.EntryHttp (0), "POST", "/v1/jobs",
                          site.Job (key, "desk", "batch", 1, 8, "run 60000"))
                   .status,
               202);
  EXPECT_EQ (site.Call (site.EntryHttp (0), "POST", "/v1/jobs",
                        site.Job ("third", "desk", "batch", 1, 8, "run 60000"))
                 .status,
             202);
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("task_running") == 2; }));
  RestartAll (&site);
  ASSERT_TRUE (site.Ready (2));
  for (int entry = 0; entry < 2; entry++)
    EXPECT_EQ (site.Version (entry), version);
  int scheduler = site.Scheduler ();
  ASSERT_GE (scheduler, 0);
  EXPECT_TRUE (site.Until ([&] {
    return site.Counter (site.EntryHttp (scheduler), "jobs_running") == 2 &&
           site.Counter (site.EntryHttp (scheduler), "jobs_queued") == 1;
  }));
  EXPECT_EQ (site.AllEvents ("task_start"), 2);
  EXPECT_GT (Change (&site, 1, 2200), version);
  site.ExpectNoViolation ();
}

// Agents and entries are killed and the first records are no longer retained: only the
// snapshot in the log has the key of a finished request, which must not run again.
TEST (FaultStarts, KeyThatRanBeforeARetentionCutDoesNotRunAgain)
{
  Site site (2, 2, kEndpoints);

  site.SetLogSettings (", retention_ms: 10000");
  ASSERT_TRUE (site.Up ());
  Reply before = site.RequestUntilEnd (0, "order", "order");
  EXPECT_EQ (before.status, 200) << before.body;
  for (const char *agent : { "i0", "i1" })
    site.Kill (agent);
  RestartAll (&site);
  site.StartAgent (0);
  site.StartAgent (1);
  ASSERT_TRUE (site.Ready (2));
  for (int entry = 0; entry < 2; entry++)
    {
      Reply after = site.RequestUntilEnd (entry, "order", "order");
      EXPECT_EQ (after.status, before.status) << after.body;
      EXPECT_EQ (after.body, before.body);
    }
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"key\":\"order\""), 1);
  site.ExpectNoViolation ();
}

// The retention also drops the last snapshot when nothing else is appended for a long
// time: an idle scheduler must write a new one before that.
TEST (FaultStarts, IdleSchedulerRenewsItsSnapshot)
{
  Site site (1, 1, 0);

  site.SetLogSettings (", retention_ms: 10000");
  site.StartLog ();
  site.StartEntry (0);
  Change (&site, 0, 2000);
  ASSERT_TRUE (WaitSnapshotStored (&site, 0));
  long next = site.StatusNumber (0, "folded_next");
  long count = site.Counter (site.EntryHttp (0), "snapshots_total");
  EXPECT_TRUE (site.Until ([&] {
    return site.Counter (site.EntryHttp (0), "snapshots_total") >= count + 2;
  }));
  EXPECT_EQ (site.StatusNumber (0, "folded_next"), next);
}

// A new scheduler doesn't know the age of its predecessor's last snapshot, which may
// soon expire: it must write one soon after the takeover.
TEST (FaultStarts, NewSchedulerWritesASnapshotSoon)
{
  Site site (2, 1, 0);

  site.StartLog ();
  site.StartEntry (0);
  site.StartEntry (1);
  Change (&site, 0, 2000);
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () >= 0; }));
  int scheduler = site.Scheduler ();
  ASSERT_TRUE (WaitSnapshotStored (&site, scheduler));
  site.Kill ("entry" + std::to_string (scheduler));
  EXPECT_TRUE (WaitSnapshotStored (&site, 1 - scheduler));
}

// The log is down when a snapshot is due: it must be written soon after the outage, not
// only after the next interval.
TEST (FaultStarts, SnapshotThatIsNotStoredIsWrittenAgain)
{
  Site site (1, 1, 0);

  site.StartLog ();
  site.StartEntry (0);
  Change (&site, 0, 2000);
  ASSERT_TRUE (site.Until ([&] { return site.Scheduler () == 0; }));
  site.Control (site.LogAddress (), "{\"down\":true}");
  ASSERT_TRUE (site.Until ([&] {
    std::ifstream log (site.Dir () + "/entry0.log");
    std::ostringstream text;

    text << log.rdbuf ();
    return text.str ().find ("may not be stored") != std::string::npos;
  }));
  site.Control (site.LogAddress (), "{\"down\":false}");
  EXPECT_TRUE (WaitSnapshotStored (&site, 0));
}

// The only entry is stopped, and its last records are dropped before it starts again:
// it must have written a snapshot with its last configuration as it stopped.
TEST (FaultStarts, LastEntryWritesASnapshotAsItStops)
{
  Site site (1, 1, 0);

  site.StartLog ();
  site.StartEntry (0);
  Change (&site, 0, 2000);
  ASSERT_TRUE (WaitSnapshotStored (&site, 0));
  long version = Change (&site, 0, 2100);
  EXPECT_EQ (site.Terminate ("entry0"), 0);
  // CutLog keeps the last record, which must not be that of the change.
  AddRecords (&site, 1);
  CutLog (&site);
  site.StartEntry (0);
  EXPECT_TRUE (WaitVersion (&site, 0, version));
  site.ExpectNoViolation ();
}

} // namespace
