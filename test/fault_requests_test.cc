// Requests while entries, agents and endpoints are killed, and while replies of
// endpoints are late, truncated, out of order or missing (invariants I3, I4 and I5 of
// docs/design.md).
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::Numbered;
using site::Reply;
using site::Site;

// An entry is killed with requests in flight, and the caller repeats them at the other
// entry under the same keys: each must get the reply to its own key, and a request that
// is not repeatable must not run twice.
TEST (FaultRequests, EntryKilledWithRequestsInFlight)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("300,400"));
  for (int i = 0; i < 8; i++)
    site.BeginRequest (0, Numbered ("preview", i), "preview");
  for (int i = 0; i < 4; i++)
    site.BeginRequest (0, Numbered ("order", i), "order");
  ASSERT_TRUE (site.Until ([&] {
    return site.AllEvents ("endpoint_run", "order") >= 2 &&
           site.AllEvents ("endpoint_run", "preview") >= 2;
  }));
  site.Kill ("entry0");
  ASSERT_TRUE (site.AllDone ());
  for (int i = 0; i < 8; i++)
    {
      Reply reply = site.RequestUntilEnd (1, Numbered ("preview", i), "preview");
      EXPECT_EQ (reply.status, 200) << reply.body;
      EXPECT_EQ (reply.Text ("key"), Numbered ("preview", i));
    }
  for (int i = 0; i < 4; i++)
    {
      Reply reply = site.RequestUntilEnd (1, Numbered ("order", i), "order");
      if (reply.status == 200)
        {
          EXPECT_EQ (reply.Text ("key"), Numbered ("order", i));
        }
    }
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (5), 4u);
  EXPECT_EQ (site.Events ("entry0", "exit"), 0);
}

// An entry is killed after the record that claims a request is in the log and before it
// sends the request: a
// repeat at the other entry must not wait forever, and the key must run at most once.
TEST (FaultRequests, EntryKilledBetweenClaimAndDispatch)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ("3000,3000"));
  for (int i = 0; i < 8; i++) // occupy all slots
    site.BeginRequest (0, Numbered ("fill", i), "preview");
  ASSERT_TRUE (
      site.Until ([&] { return site.AllEvents ("endpoint_run", "fill") == 8; }));
  site.BeginRequest (0, "order", "order");
  ASSERT_TRUE (
      site.Until ([&] { return site.Events ("entry0", "req_claim", "order") == 1; }));
  site.Kill ("entry0");
  EXPECT_EQ (site.Events ("entry0", "req_dispatch", "\"order\""), 0);
  Reply reply = site.RequestUntilEnd (1, "order", "order");
  EXPECT_EQ (reply.status, 200) << reply.body; // the agent proves that it did not run
  EXPECT_EQ (site.AllEvents ("endpoint_run", "\"order\""), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (5), 1u);
}

// The endpoint is killed while it runs a request that is not repeatable: both entries
// must return outcome_unknown, and the key must not run again.
TEST (FaultRequests, EndpointKilledDuringNotRepeatableRequest)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("5000,5000"));
  Reply &first = site.BeginRequest (0, "order", "order");
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("endpoint_run") == 1; }));
  int at = site.Events ("endpoint0", "endpoint_run") == 1 ? 0 : 1;
  site.Kill (Numbered ("endpoint", at));
  ASSERT_TRUE (site.AllDone ());
  EXPECT_EQ (first.Text ("reason"), "outcome_unknown") << first.body;
  EXPECT_EQ (first.Text ("ran"), "unknown") << first.body;
  site.StartEndpoint (at);
  for (int entry = 0; entry < 2; entry++)
    {
      Reply again = site.RequestUntilEnd (entry, "order", "order");
      EXPECT_EQ (again.Text ("reason"), "outcome_unknown") << again.body;
    }
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 1u);
}

// The agent is killed while its endpoint runs requests: repeatable ones must run at the
// other endpoint, and the others must return outcome_unknown, although the endpoint
// finishes them.
TEST (FaultRequests, AgentKilledWithRequestsRunning)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ("1500,1500"));
  std::vector<Reply *> previews;
  std::vector<Reply *> orders;
  for (int i = 0; i < 6; i++)
    {
      previews.push_back (
          &site.BeginRequest (i % 2, Numbered ("preview", i), "preview"));
      orders.push_back (&site.BeginRequest (i % 2, Numbered ("order", i), "order"));
    }
  ASSERT_TRUE (site.Until ([&] { return site.AllEvents ("req_run") == 12; }));
  int lost = site.Events ("i0", "req_run", "order");
  ASSERT_GE (lost, 1);
  site.Kill ("i0");
  ASSERT_TRUE (site.AllDone ());
  for (Reply *reply : previews)
    EXPECT_EQ (reply->status, 200) << reply->body;
  int unknown = 0;
  for (Reply *reply : orders)
    unknown += reply->Text ("reason") == "outcome_unknown" ? 1 : 0;
  EXPECT_EQ (unknown, lost);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 6u);
}

// Only half of an endpoint's reply arrives: a repeatable request must be retried and
// return the whole reply, one that is not repeatable must return outcome_unknown.
TEST (FaultRequests, AnswersCutShort)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Control (site.EndpointHttp (0), "{\"mode\":\"cut\",\"count\":1}");
  Reply preview = site.Request (0, "preview", "preview");
  EXPECT_EQ (preview.status, 200) << preview.body;
  EXPECT_EQ (preview.Text ("kind"), "preview") << preview.body;
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 2);
  site.Control (site.EndpointHttp (0), "{\"mode\":\"cut\",\"count\":1}");
  Reply order = site.Request (1, "order", "order");
  EXPECT_EQ (order.Text ("reason"), "outcome_unknown") << order.body;
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 1);
  site.ExpectNoViolation ();
  EXPECT_GE (site.Checked (3), 1u);
}

// The endpoint replies out of order: each caller must get the reply to its own request.
TEST (FaultRequests, AnswersCrossed)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ("50,150"));
  site.Control (site.EndpointHttp (0), "{\"mode\":\"crossed\"}");
  std::vector<Reply *> replies;
  for (int i = 0; i < 8; i++)
    replies.push_back (&site.BeginRequest (i % 2, Numbered ("r", i), "preview"));
  ASSERT_TRUE (site.AllDone ());
  for (int i = 0; i < 8; i++)
    {
      EXPECT_EQ (replies[i]->status, 200) << replies[i]->body;
      EXPECT_EQ (replies[i]->Text ("key"), Numbered ("r", i));
    }
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (3), 8u);
}

// The endpoint replies after the caller's deadline: the caller must get outcome_unknown
// in time, and later the reply by its key, without a second run.
TEST (FaultRequests, AnswerAfterTheDeadline)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ("1500,1500"));
  Reply order = site.Request (0, "order", "order", ",\"deadline_ms\":300");
  EXPECT_EQ (order.Text ("reason"), "outcome_unknown") << order.body;
  EXPECT_EQ (site.AllEvents ("endpoint_done"), 0);
  EXPECT_TRUE (site.Until ([&] {
    Reply later = site.Call (site.EntryHttp (1), "GET",
                             "/v1/requests/order?account=glass", "", 5000);
    return later.status == 200 && later.Text ("key") == "order";
  }));
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 1);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 1u);
}

// The endpoint replies with an error: the reply must not say `ran: yes`, which a caller
// could take for a success; its detail must say that the request ran and how it failed.
TEST (FaultRequests, RequestThatRanWithAnError)
{
  Site site (2, 1, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Control (site.EndpointHttp (0), "{\"mode\":\"error\",\"count\":1}");
  for (int entry :
       { 0, 0, 1 }) // the request, a repeat, and a repeat at the other entry
    {
      Reply order = site.Request (entry, "order", "order");
      EXPECT_EQ (order.Text ("reason"), "endpoint_failed") << order.body;
      EXPECT_EQ (order.Text ("ran"), "unknown") << order.body;
      EXPECT_EQ (order.Text ("detail"),
                 "the request ran and the endpoint answered with HTTP status 500");
    }
  site.ExpectNoViolation ();
}

// Each endpoint accepts one request and never replies to it: repeatable requests must
// run again, the one that is not repeatable must return outcome_unknown.
TEST (FaultRequests, EndpointSilent)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 2; i++)
    site.Control (site.EndpointHttp (i), "{\"mode\":\"silent\",\"count\":1}");
  Reply order = site.Request (0, "order", "order", ",\"deadline_ms\":2000");
  EXPECT_EQ (order.Text ("reason"), "outcome_unknown") << order.body;
  EXPECT_EQ (site.AllEvents ("endpoint_run", "order"), 1);
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (site.Until ([&] {
      return site.Request (0, Numbered ("preview", i), "preview",
                           ",\"deadline_ms\":500")
                 .status == 200;
    }));
  EXPECT_GE (site.AllEvents ("endpoint_run", "preview"), 5);
  site.ExpectNoViolation ();
}

// Both entries get the same key of a request that is not repeatable at the same time:
// it must run once, and both callers must get its reply.
TEST (FaultRequests, OneKeyAtTwoEntriesAtTheSameTime)
{
  Site site (2, 2, kEndpoints);
  std::vector<Reply *> replies;

  ASSERT_TRUE (site.Up ("100,300"));
  for (int i = 0; i < 12; i++)
    for (int entry = 0; entry < 2; entry++)
      replies.push_back (&site.BeginRequest (entry, Numbered ("order", i), "order"));
  ASSERT_TRUE (site.AllDone ());
  for (int i = 0; i < 24; i++)
    {
      EXPECT_EQ (replies[i]->status, 200) << replies[i]->body;
      EXPECT_EQ (replies[i]->body, replies[i ^ 1]->body);
    }
  EXPECT_EQ (site.AllEvents ("endpoint_run"), 12);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 12u);
}

} // namespace
