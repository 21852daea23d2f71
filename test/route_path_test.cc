// Tests of the router when the home entry of an agent (the entry that the agent is
// connected to) changes or fails, so that requests and answers may be lost. A claimed
// request is one that must not run twice and has a claim record in the log, see
// route/dat.h.
#include "test/route_fixture.h"

namespace
{

// When the home entry of an agent fails, the envelopes that it had to forward are lost.
// A repeatable request must be sent again before its deadline, as the same attempt.
TEST_F (Route, RepeatableRequestIsSentAgainWhenThePathChanges)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1", 1, true, 2);
  Submit (a, 1, "quote", "q");
  SetHomeEntry (a, "agent1", "entry2");
  EXPECT_EQ (1u, a.Requests ().size ());
  SetHomeEntry (a, "agent1", "entry1");
  auto r = a.Requests ();
  ASSERT_EQ (2u, r.size ());
  EXPECT_EQ (r[0]->request->attempt, r[1]->request->attempt);
  EXPECT_EQ (1, a.counts["resent_totalreason=\"home_changed\""]);
  Answer (a, r[1], "done");
  EXPECT_EQ ("done", a.Body (1));
  Answer (a, r[0], "done"); // the first copy was delayed, not lost
  a.CollectOutputs ();
  EXPECT_EQ (1, a.counts["answers_dropped_total"]);
  EXPECT_EQ (0u, cb_route_in_flight (a.route));
}

// An agent whose home entry failed is still up. Its requests must neither fail nor be
// sent to another agent before it is reached again.
TEST_F (Route, RequestsStayInFlightWhenTheHomeEntryOfTheirAgentFails)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1", 1, true, 3);
  Submit (a, 1, "quote", "q");
  Submit (a, 2, "order", "o");
  ApplyRecords (a);
  SetHomeEntry (a, "agent1", nullptr);
  Submit (a, 3, "quote", "new");
  ExpectRefusal (a, 3, CB__REASON__NO_ENDPOINT, CB__RAN__RAN_NO);
  EXPECT_EQ (2u, a.Requests ().size ());
  EXPECT_EQ (2u, cb_route_in_flight (a.route));
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1", 1, true, 3);
  ASSERT_EQ (3u, a.Requests ().size ());
  EXPECT_STREQ ("q", a.Requests ()[2]->request->key);
  EXPECT_EQ (1, a.counts["resent_totalreason=\"home_lost\""]);
  EXPECT_EQ (1u, Lookups (a, "agent1"));
}

// Of two copies of a request one may be refused while the other runs, so the caller
// must not be told that it did not run. After a restart of the agent the request must
// be retried as a new attempt, not sent again as the same one.
TEST_F (Route, RefusalOfAResentRequestIsNoProof)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1");
  Submit (a, 1, "quote", "q");
  SetHomeEntry (a, "agent1", "entry1");
  Answer (a, a.Requests ()[0], "", CB__REASON__KEY_CONFLICT, CB__RAN__RAN_NO);
  ExpectRefusal (a, 1, CB__REASON__KEY_CONFLICT, CB__RAN__RAN_UNKNOWN);
  Submit (a, 2, "quote", "q2");
  SetHomeEntry (a, "agent1", "entry2", 2);
  EXPECT_EQ (3u, a.Requests ().size ());
  UpdateEndpoint (a, "agent1", 2);
  Tick (a, 100);
  ASSERT_EQ (4u, a.Requests ().size ());
  EXPECT_NE (a.Requests ()[2]->request->attempt, a.Requests ()[3]->request->attempt);
}

// A request past its deadline, whose caller has been answered, must neither hold its
// slot until CB_LATE_ANSWER_MS has passed nor be sent again.
TEST_F (Route, OverdueRequestIsEndedWhenThePathChanges)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1");
  Submit (a, 1, "quote", "q");
  Tick (a, 20000);
  EXPECT_EQ (1u, cb_route_in_flight (a.route));
  SetHomeEntry (a, "agent1", "entry1");
  EXPECT_EQ (1u, a.Requests ().size ());
  EXPECT_EQ (0u, cb_route_in_flight (a.route));
  Answer (a, a.Requests ()[0], "late");
  cb_route_fetch (a.route, 2, "acme", "q", now);
  EXPECT_EQ ("late", a.Body (2));
}

// A claimed request must not be sent again; the agent is sent a lookup. A reply with an
// answer or an unknown outcome ends the request; after a reply that it is
// running, the request waits for its answer.
TEST_F (Route, ClaimedRequestIsLookedUpWhenThePathChanges)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1", 1, true, 3);
  for (const char *key : { "o1", "o2", "o3" })
    {
      Submit (a, 1 + key[1] - '1', "order", key);
      ApplyRecords (a);
    }
  auto claim = [&] (const char *key) {
    return cb_ledger_request (a.ledger, "acme", key)->offset;
  };
  SetHomeEntry (a, "agent1", "entry1");
  EXPECT_EQ (3u, a.Requests ().size ()) << "an order was sent again";
  a.CollectOutputs ();
  std::vector<Sent> lookups;
  for (auto &s : a.sent)
    if (s.e->body_case == CB__ENVELOPE__BODY_REQUEST_LOOKUP)
      lookups.push_back (s);
  ASSERT_EQ (3u, lookups.size ());
  Reply (a, lookups[0].e, "kept", claim ("o1"));
  EXPECT_EQ ("kept", a.Body (1));
  Reply (a, lookups[1].e, nullptr, claim ("o2"), 1, true);
  Tick (a, 2000);
  EXPECT_EQ (4u, Lookups (a, "agent1")) << "only the third lookup is sent again";
  Answer (a, a.Requests ()[1], "after it ran");
  EXPECT_EQ ("after it ran", a.Body (2));
  Reply (a, lookups[2].e, nullptr, claim ("o3"), 1, false, CB__RAN__RAN_UNKNOWN);
  ExpectRefusal (a, 3, CB__REASON__OUTCOME_UNKNOWN, CB__RAN__RAN_UNKNOWN);
}

// A claimed request may be sent again only after the agent has proved that it did not
// start, and then under a new claim, because the agent refuses the old one.
TEST_F (Route, ClaimedRequestIsSentAgainOnlyAfterProofThatItDidNotStart)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1");
  Submit (a, 1, "order", "k");
  ApplyRecords (a);
  SetHomeEntry (a, "agent1", "entry1");
  // The reply is from an incarnation that this entry does not know yet.
  ReplyToLookup (a, "agent1", nullptr, 0, 2);
  Tick (a, 200);
  ApplyRecords (a);
  EXPECT_EQ (1u, a.Requests ().size ());
  ReplyToLookup (a, "agent1", nullptr, 0);
  Tick (a, 200);
  ApplyRecords (a);
  ApplyRecords (a);
  ASSERT_EQ (2u, a.Requests ().size ());
  EXPECT_EQ (1, a.counts["retried_totalreason=\"endpoint_failed\""]);
  EXPECT_GT (a.Requests ()[1]->request->claim, a.Requests ()[0]->request->claim);
  Answer (a, a.Requests ()[0], "for the old claim");
  EXPECT_EQ ("", a.Body (1));
  Answer (a, a.Requests ()[1], "done");
  EXPECT_EQ ("done", a.Body (1));
}

// A reply to a lookup about an attempt that has ended must not end a later attempt at
// another agent, and must not end the claim.
TEST_F (Route, ReplyAboutAnEarlierAttemptDoesNotEndALaterOne)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1");
  Submit (a, 1, "order", "k");
  ApplyRecords (a);
  SetHomeEntry (a, "agent1", "entry1");
  UpdateEndpoint (a, "agent2");
  Answer (a, a.Requests ()[0], "", CB__REASON__ENDPOINT_BUSY, CB__RAN__RAN_NO);
  Tick (a, 100);
  ASSERT_EQ (2u, a.Requests ().size ());
  EXPECT_STREQ ("agent2", a.Requests ()[1]->to);
  ReplyToLookup (a, "agent1", nullptr, 0);
  Tick (a, 300);
  ApplyRecords (a);
  EXPECT_EQ (2u, a.Requests ().size ());
  EXPECT_FALSE (cb_ledger_request (a.ledger, "acme", "k")->ended);
  Answer (a, a.Requests ()[1], "done");
  EXPECT_EQ ("done", a.Body (1));
}

// An agent that restarted between a lookup and its reply has no record of what it ran,
// so its `not found` must not count as proof.
TEST_F (Route, NotFoundAfterARestartIsNoProof)
{
  SetHomeEntry (a, "agent1", "entry2");
  UpdateEndpoint (a, "agent1");
  Submit (a, 1, "order", "k");
  ApplyRecords (a);
  SetHomeEntry (a, "agent1", "entry1");
  UpdateEndpoint (a, "agent1", 2);
  ExpectRefusal (a, 1, CB__REASON__OUTCOME_UNKNOWN, CB__RAN__RAN_UNKNOWN);
  ReplyToLookup (a, "agent1", nullptr, 0, 2);
  ApplyRecords (a);
  ASSERT_TRUE (cb_ledger_request (a.ledger, "acme", "k")->ended);
  EXPECT_EQ (CB__RAN__RAN_UNKNOWN, cb_ledger_request (a.ledger, "acme", "k")->end->ran);
}

} // namespace
