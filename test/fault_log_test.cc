// Failures of the log service: outages, lost and slow replies, records that are no
// longer retained, and an entry that can't reach it (invariants I4, I5 and I8 of
// docs/design.md). An entry records a claim in the log before it sends a request that
// is not repeatable (kind order); a repeatable one (kind preview) needs no log record.
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::kWorkers;
using site::Numbered;
using site::Reply;
using site::Site;

// Waits until log_available is VALUE ("true" or "false") in the status of ENTRY.
bool
WaitLogAvailable (Site *site, int entry, const char *value)
{
  return site->Until ([&] {
    return site->Call (site->EntryHttp (entry), "GET", "/v1/status", "", 2000)
               .body.find (std::string ("\"log_available\":") + value) !=
           std::string::npos;
  });
}

// The log is down for a while: requests that need no log record must still run, the
// others must be refused with `ran: no`, and all must run after the outage.
TEST (FaultLog, DownForAWhile)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Control (site.LogAddress (), "{\"down\":true}");
  ASSERT_TRUE (WaitLogAvailable (&site, 0, "false"));
  EXPECT_EQ (site.Request (0, "preview", "preview").status, 200);
  Reply order = site.Request (0, "order", "order");
  EXPECT_EQ (order.Text ("reason"), "log_unavailable") << order.body;
  EXPECT_EQ (order.Text ("ran"), "no") << order.body;
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 0);
  Reply job = site.Call (site.EntryHttp (1), "POST", "/v1/jobs",
                         site.Job ("job", "desk", "batch", 1, 1, "run 100"));
  EXPECT_EQ (job.Text ("reason"), "log_unavailable") << job.body;
  EXPECT_NE (site.Apply (0, 2500), 0);
  site.Control (site.LogAddress (), "{\"down\":false}");
  ASSERT_TRUE (WaitLogAvailable (&site, 0, "true"));
  EXPECT_EQ (site.RequestUntilEnd (1, "order", "order").status, 200);
  EXPECT_TRUE (site.Until ([&] { return site.Apply (0, 2500) == 0; }));
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (4), 1u);
}

// Appends take effect but their replies are lost: the writers repeat them, and claims,
// jobs and configurations must still take effect only once.
TEST (FaultLog, AnswersLostAfterTheAppend)
{
  Site site (2, 2, kEndpoints | kWorkers);

  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 4; i++)
    {
      site.Control (site.LogAddress (), "{\"lose_answers\":1}");
      EXPECT_EQ (site.RequestUntilEnd (i % 2, Numbered ("order", i), "order").status,
                 200);
    }
  site.Control (site.LogAddress (), "{\"lose_answers\":2}");
  // Submit repeats a refused job: it can be refused while an earlier record is retried.
  EXPECT_TRUE (site.Submit (0, site.Job ("job", "desk", "batch", 1, 2, "run 100")));
  EXPECT_TRUE (site.Ends (1, "job"));
  EXPECT_EQ (site.AllEvents ("task_start", "\"job\""), 1);
  site.Control (site.LogAddress (), "{\"lose_answers\":1}");
  EXPECT_TRUE (site.Until ([&] { return site.Apply (1, 2500) == 0; }));
  EXPECT_GE (site.Counter (site.EntryHttp (0), "log_retries_total") +
                 site.Counter (site.EntryHttp (1), "log_retries_total"),
             1);
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 4);
  EXPECT_EQ (site.Events ("entry0", "config_accepted"), 2);
  EXPECT_EQ (site.Events ("entry0", "config_conflict"), 0);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 4u);
}

// The reply to the append of a cell claim is lost and the claim repeated: one entry
// must schedule the cell, under one epoch.
TEST (FaultLog, AnswerToACellClaimLost)
{
  Site site (2, 2, kWorkers);
  int scheduler, other;

  ASSERT_TRUE (site.UpWithScheduler (&scheduler, &other));
  site.Control (site.LogAddress (), "{\"lose_answers\":1}");
  site.Kill (Numbered ("entry", scheduler));
  ASSERT_TRUE (site.Schedules (other));
  EXPECT_EQ (site.Events (Numbered ("entry", other), "epoch",
                          "\"entry\":\"" + Numbered ("entry", other) + "\""),
             1);
  EXPECT_TRUE (site.Until (
      [&] { return site.Counter (site.EntryHttp (other), "log_retries_total") >= 1; }));
  site.ExpectNoViolation ();
}

// The log replies slowly: requests that need it may be late, but must not run twice,
// nor after they were refused with `ran: no`.
TEST (FaultLog, Stalled)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Control (site.LogAddress (), "{\"stall_ms\":700}");
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (site.RequestUntilEnd (i % 2, Numbered ("order", i), "order").status,
               200);
  EXPECT_EQ (site.Request (0, "preview", "preview").status, 200);
  site.Control (site.LogAddress (), "{\"stall_ms\":0}");
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 4);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 4u);
}

// One entry can't reach the log while the other can: the first must refuse requests
// that need a claim with `ran: no` instead of delaying them, and the other must run
// them.
TEST (FaultLog, OneEntryCutOff)
{
  Site site (2, 2, kEndpoints);

  site.StartLink ("loglink", "entry0", -1);
  ASSERT_TRUE (site.Up ());
  site.Kill ("loglink");
  ASSERT_TRUE (WaitLogAvailable (&site, 0, "false"));
  Reply order = site.Request (0, "order", "order");
  EXPECT_EQ (order.Text ("reason"), "log_unavailable") << order.body;
  EXPECT_EQ (order.Text ("ran"), "no") << order.body;
  EXPECT_EQ (site.Request (0, "preview", "preview").status, 200);
  EXPECT_EQ (site.RequestUntilEnd (1, "order", "order").status, 200);
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 1u);
}

// The first records of the log are no longer retained: an entry that starts without
// state must get the configuration and the keys of finished requests from its peer.
TEST (FaultLog, RetentionCutAndColdStartOfOneEntry)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (site.Request (0, "order", "order").status, 200);
  site.Control (site.LogAddress (), "{\"retain\":1}");
  EXPECT_EQ (site.Request (0, "more", "order").status, 200);
  site.Kill ("entry1");
  site.StartEntry (1);
  ASSERT_TRUE (site.Ready (2));
  EXPECT_EQ (site.RequestUntilEnd (1, "order", "order").status, 200);
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"key\":\"order\""), 1);
  EXPECT_EQ (site.Events ("entry1", "config"), 2);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 2u);
}

// The reads of an entry hang until the record of its own claim is no longer retained,
// so that it gets the claim only with a peer's snapshot: the request must run then, not
// wait for its deadline.
TEST (FaultLog, ClaimThatExpiredBeforeItWasRead)
{
  Site site (2, 2, kEndpoints);

  site.StartLink ("loglink", "entry0", -1);
  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 2; i++) // the second signal hits a read opened after the first
    {
      site.Signal ("loglink", SIGUSR1);
      site.Pause (50);
    }
  long next = site.StatusNumber (1, "folded_next");
  Reply &order = site.BeginRequest (0, "order", "order");
  ASSERT_TRUE (
      site.Until ([&] { return site.StatusNumber (1, "folded_next") > next; }));
  site.Control (site.LogAddress (), "{\"retain\":1}");
  EXPECT_EQ (site.Request (1, "more", "order").status, 200);
  ASSERT_TRUE (site.AllDone ());
  EXPECT_EQ (order.status, 200) << order.body;
  EXPECT_TRUE (site.Logged ("entry0", "log no longer has offset"));
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"key\":\"order\""), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 2u);
}

} // namespace
