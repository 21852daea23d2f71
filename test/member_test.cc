// Guards membership in virtual time: silence, moves between entries, incarnations,
// sizes of heartbeats.
#include "test/member_fixture.h"

namespace
{

TEST_F (MemberTest, EveryEntryLearnsAnAgentAndItsEndpoint)
{
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  char name[] = "quote-1";

  Start ({ "e1", "e2", "e3" });
  AddAgent ("a1");
  info.name = name;
  info.slots = 8;
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 0, 0, &info);
  Run (4000);
  for (const auto &e : entry_names)
    {
      ASSERT_NE (cb_peers_home_of (entries[e]->peers, "a1"), nullptr) << e;
      EXPECT_EQ (cb_peers_home_of (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (Count (e, "up a1"), 1);
    }
  // A change reaches the others as a delta.
  info.slots = 4;
  ClearEvents ();
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 0, 0, &info);
  Run (1200);
  for (const auto &e : entry_names)
    EXPECT_EQ (Count (e, "changed a1"), 1);
}

// Acks that never arrive must not keep an agent on a connection that is half dead.
TEST_F (MemberTest, SilentConnectionInOneDirectionMovesTheAgent)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (3000);
  std::string old_entry = agents["a1"]->entry;
  uint32_t old_generation = agents["a1"]->generation;
  cut.insert ({ old_entry, "a1" });
  for (int i = 0; i < 62 && agents["a1"]->generation == old_generation; i++)
    Step ();
  EXPECT_EQ (agents["a1"]->entry, old_entry);
  EXPECT_EQ (agents["a1"]->generation, old_generation + 1);
  Run (1100);
  EXPECT_NE (agents["a1"]->entry, old_entry);
  Run (4000);
  for (const auto &e : entry_names)
    {
      EXPECT_EQ (cb_peers_home_of (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (Count (e, "down a1"), 0) << "a move is not a loss";
      EXPECT_EQ (entries[e]->homes["a1"], agents["a1"]->entry) << "move not reported";
    }
}

// A reconnection that works ends the search: the agent stays with its entry.
TEST_F (MemberTest, AgentStaysWhenTheNewConnectionWorks)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (3000);
  std::string entry = agents["a1"]->entry;
  uint32_t generation = agents["a1"]->generation;
  cut.insert ({ entry, "a1" });
  for (int i = 0; i < 100 && agents["a1"]->generation == generation; i++)
    Step ();
  cut.clear ();
  Run (5000);
  EXPECT_EQ (agents["a1"]->entry, entry);
  EXPECT_EQ (agents["a1"]->generation, generation + 1);
}

// The entry that gets no heartbeats must give the agent up within silence_ms.
TEST_F (MemberTest, SilentAgentIsDownWithinSilence)
{
  Start ({ "e1" });
  AddAgent ("a1");
  Run (3000);
  cut.insert ({ "a1", "e1" });
  Run (1000);
  EXPECT_EQ (Count ("e1", "down a1"), 0);
  Run (2100);
  EXPECT_EQ (Count ("e1", "down a1"), 1);
  EXPECT_EQ (cb_peers_home_of (entries["e1"]->peers, "a1"), nullptr);
}

// Each direction between two entries has its own connection. The sender of the one that
// went silent hears its peer and would never open a new one by its own silence time.
TEST_F (MemberTest, EntryThatIsNotHeardLearnsItFromItsPeer)
{
  Start ({ "e1", "e2" });
  Run (10000);
  EXPECT_EQ (Count ("e1", "deaf e2") + Count ("e2", "deaf e1"), 0);
  cut.insert ({ "e1", "e2" });
  Run (4100);
  EXPECT_EQ (Count ("e2", "peer-down e1"), 1);
  EXPECT_EQ (Count ("e1", "deaf e2"), 1);
  Run (3100);
  EXPECT_EQ (Count ("e1", "deaf e2"), 2) << "the new connection may be silent as well";
  cut.clear ();
  Run (1100);
  ClearEvents ();
  Run (10000);
  EXPECT_EQ (Count ("e1", "deaf e2") + Count ("e2", "deaf e1"), 0);
}

// Acknowledgements to idle agents are a large part of what an entry sends; an agent
// with tasks must still hear each second, and a drain must not wait for the second
// heartbeat.
TEST_F (MemberTest, IdleAgentIsAcknowledgedEverySecondHeartbeat)
{
  Start ({ "e1" });
  AddAgent ("a1");
  Run (3000);
  acks = 0;
  Run (20000);
  EXPECT_EQ (acks, 10);
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 1, 0, nullptr);
  Run (1000);
  acks = 0;
  Run (20000);
  EXPECT_EQ (acks, 20);
  EXPECT_EQ (agents["a1"]->generation, 1u);
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 0, 0, nullptr);
  for (cb_msec_t ms : { 2000, 3000 })
    {
      cb_peers_set_drained (entries["e1"]->peers, nullptr);
      Run (ms);
      EXPECT_FALSE (cb_home_drained (agents["a1"]->home));
      cb_peers_set_drained (entries["e1"]->peers,
                            [] (void *, const char *) -> gboolean { return TRUE; });
      Run (1000);
      EXPECT_TRUE (cb_home_drained (agents["a1"]->home));
    }
}

// With the longer interval of an idle agent a lost heartbeat must neither end the
// connection nor report the agent down, and work must bring the short interval back.
TEST_F (MemberTest, IdleAgentOutlivesALostHeartbeat)
{
  Start ({ "e1" });
  AddAgent ("a1");
  Run (3000);
  heartbeats = 0;
  Run (20000);
  EXPECT_EQ (heartbeats, 10);
  lose_heartbeats = 1;
  Run (10000);
  EXPECT_EQ (lose_heartbeats, 0);
  EXPECT_EQ (Count ("e1", "down a1"), 0);
  EXPECT_EQ (agents["a1"]->generation, 1u);
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 1, 0, nullptr);
  Run (1000);
  heartbeats = 0;
  Run (20000);
  EXPECT_EQ (heartbeats, 20);
}

// Entries of other cells hear less of each other. A lost notice of an endpoint that
// leaves must still reach them within 3 s, and their death must be noticed.
TEST_F (MemberTest, EntriesOfOtherCellsLearnChangesAsSoon)
{
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  char name[] = "quote-1";
  auto announce = [&] { cb_home_set_state (agents["a1"]->home, 0, 0, 0, 0, &info); };

  cells["e3"] = "east";
  entry_names = { "e1", "e2" };
  AddAgent ("a1");
  Start ({ "e1", "e2", "e3" });
  info.name = name;
  announce ();
  Run (12000);
  std::string home = agents["a1"]->entry;
  beats.clear ();
  Run (30000);
  EXPECT_EQ (beats["e3"], 2 * 10);
  EXPECT_EQ (beats["e1"], 30 + 10);
  ClearEvents ();
  info.leaving = TRUE;
  announce ();
  Run (1100);
  EXPECT_EQ (Count ("e3", "changed a1"), 1);
  Run (12000);
  cut.insert ({ home, "e3" });
  info.leaving = FALSE;
  announce ();
  Run (1100);
  EXPECT_EQ (Count ("e3", "changed a1"), 1);
  cut.clear ();
  Run (1900);
  EXPECT_EQ (Count ("e3", "changed a1"), 2);
  Run (12000);
  entries["e3"]->dead = true;
  Run (5100);
  EXPECT_EQ (Count ("e1", "peer-down e3") + Count ("e2", "peer-down e3"), 2);
  EXPECT_EQ (Count ("e1", "peer-down e2") + Count ("e2", "peer-down e1"), 0);
}

// An entry that dies without a goodbye costs its agents their connection only.
TEST_F (MemberTest, LostGoodbyeMovesAgentsWithoutReportingThemDown)
{
  Start ({ "e1", "e2", "e3" });
  AddAgent ("a1");
  AddAgent ("a2");
  Run (4000);
  std::string dead = agents["a1"]->entry;
  entries[dead]->dead = true;
  Run (9000);
  EXPECT_NE (agents["a1"]->entry, dead);
  for (const auto &e : entry_names)
    {
      if (e == dead)
        continue;
      EXPECT_EQ (Count (e, "peer-down " + dead), 1);
      EXPECT_EQ (Count (e, "down a1"), 0);
      EXPECT_EQ (cb_peers_home_of (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (entries[e]->homes["a1"], agents["a1"]->entry) << "move not reported";
    }
}

TEST_F (MemberTest, AgentsOfALostEntryThatDoNotComeBackAreReportedDown)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (4000);
  std::string dead = agents["a1"]->entry;
  std::string other = dead == "e1" ? "e2" : "e1";
  entries[dead]->dead = true;
  cut.insert ({ "a1", other });
  Run (6500);
  EXPECT_EQ (Count (other, "down a1"), 1);
}

TEST_F (MemberTest, GoodbyeOfTheEntryMovesTheAgentAtOnce)
{
  Cb__Envelope bye = CB__ENVELOPE__INIT;
  Cb__Goodbye body = CB__GOODBYE__INIT;

  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (2000);
  std::string old_entry = agents["a1"]->entry;
  bye.from = const_cast<char *> (old_entry.c_str ());
  bye.body_case = CB__ENVELOPE__BODY_GOODBYE;
  bye.goodbye = &body;
  cb_home_receive (agents["a1"]->home, &bye, now);
  Step ();
  EXPECT_NE (agents["a1"]->entry, old_entry);
}

// Guards against an agent that waits for the silence time of 3 s although the
// connection to its dead entry has ended, and against one that keeps changing entries
// when connections end before they ever worked.
TEST_F (MemberTest, EndOfAWorkingConnectionMovesTheAgentAtOnce)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  cb_home_lost (agents["a1"]->home, now); // not yet acknowledged
  Run (2000);
  std::string old_entry = agents["a1"]->entry;
  EXPECT_EQ (agents["a1"]->generation, 1u) << "the first connection is kept";
  cb_home_lost (agents["a1"]->home, now);
  Step ();
  EXPECT_NE (agents["a1"]->entry, old_entry);
  Run (200);
  for (const auto &e : entry_names)
    EXPECT_EQ (cb_peers_home_of (entries[e]->peers, "a1"), agents["a1"]->entry) << e;
}

// An old process's messages after its restart must not undo the new one's state.
TEST_F (MemberTest, RestartedAgentIsUpAgainAndItsOldGoodbyeIsIgnored)
{
  Cb__Envelope bye = CB__ENVELOPE__INIT;
  Cb__Goodbye body = CB__GOODBYE__INIT;
  char from[] = "a1";

  Start ({ "e1", "e2" });
  AddAgent ("a1", 5);
  Run (3000);
  ClearEvents ();
  AddAgent ("a1", 6);
  Run (3000);
  EXPECT_EQ (Count ("e1", "up a1"), 1);
  EXPECT_EQ (Count ("e2", "up a1"), 1);
  bye.from = from;
  bye.incarnation = 5;
  bye.body_case = CB__ENVELOPE__BODY_GOODBYE;
  bye.goodbye = &body;
  cb_peers_receive (entries[agents["a1"]->entry]->peers, &bye, now);
  EXPECT_EQ (Count (agents["a1"]->entry, "down a1"), 0);
  bye.incarnation = 6;
  cb_peers_receive (entries[agents["a1"]->entry]->peers, &bye, now);
  EXPECT_EQ (Count (agents["a1"]->entry, "down a1"), 1);
}

// A lost beat loses deltas; the hash must bring the directory together again.
TEST_F (MemberTest, LostDeltasAreRepairedThroughTheHash)
{
  Start ({ "e1", "e2" });
  Run (2000);
  cut.insert ({ "e1", "e2" });
  cut.insert ({ "e2", "e1" });
  for (int i = 0; i < 10; i++)
    AddAgent ("a" + std::to_string (i));
  Run (2000);
  cut.clear ();
  Run (3000);
  for (const auto &a : agents)
    for (const auto &e : entry_names)
      {
        ASSERT_NE (cb_peers_home_of (entries[e]->peers, a.first.c_str ()), nullptr);
        EXPECT_EQ (cb_peers_home_of (entries[e]->peers, a.first.c_str ()),
                   a.second->entry);
      }
}

// Control traffic per agent is bounded: 130 agents beat at one entry each second.
TEST_F (MemberTest, IdleHeartbeatFitsIn64Bytes)
{
  Start ({ "entry-west-1", "entry-west-2" });
  now = 30LL * 24 * 3600 * 1000; // a month of uptime
  AddAgent ("ertis-z1-r02-i07", 1796362000000ULL);
  cb_home_set_state (agents["ertis-z1-r02-i07"]->home, FALSE, 90000000, 24, 0, nullptr);
  Run (5000);
  EXPECT_GT (largest_heartbeat, 0U);
  EXPECT_LE (largest_heartbeat, 64U);
  RecordProperty ("idle_heartbeat_bytes", static_cast<int> (largest_heartbeat));
  printf ("idle heartbeat: %zu bytes\n", largest_heartbeat);
}

// A heartbeat without a sender once made an agent without a name, and an answer that
// nobody could be sent.
TEST_F (MemberTest, AHeartbeatWithoutSenderIsIgnored)
{
  entry_names = { "e0", "e1" };
  AddEntry ("e0");
  Cb__Heartbeat beat = CB__HEARTBEAT__INIT;
  Cb__Envelope envelope = CB__ENVELOPE__INIT;
  envelope.incarnation = 5;
  envelope.body_case = CB__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &beat;
  cb_peers_receive (entries["e0"]->peers, &envelope, now);
  EXPECT_EQ (nullptr, cb_outq_pop (cb_peers_outputs (entries["e0"]->peers)));
  EXPECT_TRUE (entries["e0"]->events.empty ());
  EXPECT_EQ (nullptr, cb_peers_home_of (entries["e0"]->peers, ""));
}

} // namespace
