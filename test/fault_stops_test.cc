// Planned stops and drains: a process that shuts down must finish the requests that its
// callers wait for, get no new work, and exit (invariants I6 and I7 of docs/design.md).
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::Numbered;
using site::Reply;
using site::Site;

// Sends COUNT requests to entry 0 without waiting; half of them are not repeatable.
std::vector<Reply *>
BeginMixed (Site *site, int count)
{
  std::vector<Reply *> replies;

  for (int i = 0; i < count; i++)
    replies.push_back (
        &site->BeginRequest (0, Numbered ("r", i), i % 2 == 0 ? "preview" : "order"));
  return replies;
}

// Expects that each reply to BeginMixed has the key of its own request.
void
ExpectOwnReplies (const std::vector<Reply *> &replies)
{
  for (size_t i = 0; i < replies.size (); i++)
    {
      EXPECT_EQ (replies[i]->status, 200) << replies[i]->body;
      EXPECT_EQ (replies[i]->Text ("key"), Numbered ("r", (int)i));
    }
}

// An entry is stopped with requests in flight: it must reply to all of them first.
TEST (FaultStops, EntryWithRequestsInFlight)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("1000,1500"));
  std::vector<Reply *> replies = BeginMixed (&site, 10);
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("endpoint_run") == 10; }));
  EXPECT_EQ (site.Terminate ("entry0"), 0);
  ASSERT_TRUE (site.AllDone ());
  ExpectOwnReplies (replies);
  EXPECT_EQ (site.Events ("entry0", "term", "\"in_flight\":10"), 1);
  EXPECT_EQ (site.Events ("entry0", "exit", "\"in_flight\":0"), 1);
  EXPECT_EQ (site.Request (1, "after", "order").status, 200);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (7), 1u);
}

// An entry is stopped while a request runs long after its deadline: the caller has got
// outcome_unknown, so the entry must exit without waiting, and the other entry must
// find the reply.
TEST (FaultStops, EntryWithLateRequestsEnds)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ("20000,20000"));
  Reply &late = site.BeginRequest (0, "late", "order", ",\"deadline_ms\":500");
  ASSERT_TRUE (site.Until ([&] { return late.done; }));
  EXPECT_EQ (late.Text ("reason"), "outcome_unknown") << late.body;
  EXPECT_EQ (site.Terminate ("entry0"), 0);
  EXPECT_EQ (site.AllEvents ("endpoint_done"), 0); // the request still runs
  EXPECT_TRUE (site.Until ([&] {
    return site.Request (1, "late", "order", ",\"deadline_ms\":500").status == 200;
  }));
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (7), 1u);
}

// An entry is stopped while the log is down and can't store the results of its claims:
// it must reply to its callers and exit.
TEST (FaultStops, EntryEndsWhileTheLogIsDown)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ("1500,1500"));
  Reply &order = site.BeginRequest (0, "order", "order");
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("endpoint_run") == 1; }));
  site.Control (site.LogAddress (), "{\"down\":true}");
  EXPECT_EQ (site.Terminate ("entry0"), 0);
  ASSERT_TRUE (site.AllDone ());
  EXPECT_EQ (order.status, 200) << order.body;
  site.Control (site.LogAddress (), "{\"down\":false}");
  EXPECT_EQ (site.RequestUntilEnd (1, "order", "order").status, 200);
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (7), 1u);
}

// An agent is stopped while its endpoint runs requests: it must forward their replies
// before it exits, and get no new requests.
TEST (FaultStops, AgentWithRequestsInFlight)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("1000,1500"));
  std::vector<Reply *> replies = BeginMixed (&site, 10);
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("endpoint_run") == 10; }));
  ASSERT_GE (site.Events ("i0", "req_run"), 1);
  EXPECT_EQ (site.Terminate ("i0"), 0);
  ASSERT_TRUE (site.AllDone ());
  ExpectOwnReplies (replies);
  int before = site.Events ("i0", "req_run");
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (site.RequestUntilEnd (i % 2, Numbered ("after", i), "preview").status,
               200);
  EXPECT_EQ (site.Events ("i0", "req_run"), before);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (6), 1u);
  EXPECT_EQ (site.Checked (7), 1u);
}

// An endpoint is stopped with requests in flight: it must finish them, and new ones
// must run at the other endpoint.
TEST (FaultStops, EndpointWithRequestsInFlight)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("500,800"));
  std::vector<Reply *> replies = BeginMixed (&site, 10);
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("endpoint_run") == 10; }));
  ASSERT_GE (site.Events ("endpoint0", "endpoint_run"), 1);
  EXPECT_EQ (site.Terminate ("endpoint0"), 0);
  ASSERT_TRUE (site.AllDone ());
  ExpectOwnReplies (replies);
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (site.RequestUntilEnd (i % 2, Numbered ("after", i), "order").status,
               200);
  EXPECT_EQ (site.AllEvents ("endpoint_cut"), 0);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (6), 1u);
  EXPECT_EQ (site.Checked (7), 1u);
}

// An operator drains an instance during a burst: no request may be lost, the instance
// must get no new requests, and get requests again after undrain.
TEST (FaultStops, DrainDuringABurst)
{
  Site site (2, 2, kEndpoints);
  std::vector<Reply *> replies;

  ASSERT_TRUE (site.Up ("50,150"));
  for (int i = 0; i < 8; i++)
    replies.push_back (&site.BeginRequest (i % 2, Numbered ("r", i), "preview"));
  EXPECT_EQ (site.Command ({ "drain", "--entry", site.EntryHttp (0), "i0" }), 0);
  for (int i = 8; i < 16; i++)
    replies.push_back (&site.BeginRequest (i % 2, Numbered ("r", i), "preview"));
  ASSERT_TRUE (site.AllDone ());
  for (size_t i = 0; i < replies.size (); i++)
    EXPECT_EQ (site.RequestUntilEnd (0, Numbered ("r", (int)i), "preview").status, 200);
  ASSERT_TRUE (site.Until ([&] { return site.Events ("i0", "leaving") == 1; }));
  int before = site.Events ("i0", "req_run");
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (site.RequestUntilEnd (i % 2, Numbered ("during", i), "preview").status,
               200);
  EXPECT_EQ (site.Events ("i0", "req_run"), before);
  EXPECT_EQ (site.Command ({ "undrain", "--entry", site.EntryHttp (1), "i0" }), 0);
  int sent = 0;
  EXPECT_TRUE (site.Until ([&] {
    site.Request (0, Numbered ("again", sent++), "preview");
    return site.Events ("i0", "req_run") > before;
  }));
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (6), 1u);
}

// An endpoint is killed or paused, so that it can't announce that it stops: it must get
// no new requests once its announcements have been missing for 3 s.
class FaultLostNotice : public testing::TestWithParam<int>
{
};

TEST_P (FaultLostNotice, NoNewWork)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Signal ("endpoint0", GetParam ());
  for (int entry = 0; entry < 2; entry++)
    ASSERT_TRUE (site.Until ([&] {
      return site.Request (entry, "probe", "preview", ",\"deadline_ms\":300")
                 .Text ("reason") == "no_endpoint";
    }));
  int before = site.Events ("i0", "req_run");
  for (int i = 0; i < 12; i++)
    {
      Reply reply =
          site.Request (i % 2, Numbered ("r", i), i < 6 ? "preview" : "order");
      EXPECT_EQ (reply.Text ("reason"), "no_endpoint") << reply.body;
      EXPECT_EQ (reply.Text ("ran"), "no") << reply.body;
    }
  EXPECT_EQ (site.Events ("i0", "req_run"), before);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (4), 12u);
}

INSTANTIATE_TEST_SUITE_P (Signals, FaultLostNotice, testing::Values (SIGKILL, SIGSTOP));

} // namespace
