// Tests membership in virtual time: timeouts, moves of agents between entries,
// incarnations, size and number of heartbeats.
#include "test/member_fixture.h"

namespace
{

// Guards against a directory of agents that differs between entries, at first and after
// a change of an endpoint.
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
      ASSERT_NE (cb_peers_home_entry (entries[e]->peers, "a1"), nullptr) << e;
      EXPECT_EQ (cb_peers_home_entry (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (Count (e, "up a1"), 1);
    }
  // The change reaches the other entries as a delta.
  info.slots = 4;
  ClearEvents ();
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 0, 0, &info);
  Run (1200);
  for (const auto &e : entry_names)
    EXPECT_EQ (Count (e, "changed a1"), 1);
}

// Guards against an agent that stays on a connection over which its heartbeats arrive
// but no acknowledgements come back.
TEST_F (MemberTest, SilentConnectionInOneDirectionMovesTheAgent)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (3000);
  std::string old_entry = agents["a1"]->entry;
  uint32_t old_generation = agents["a1"]->generation;
  cut_links.insert ({ old_entry, "a1" });
  for (int i = 0; i < 62 && agents["a1"]->generation == old_generation; i++)
    Step ();
  EXPECT_EQ (agents["a1"]->entry, old_entry);
  EXPECT_EQ (agents["a1"]->generation, old_generation + 1);
  Run (1100);
  EXPECT_NE (agents["a1"]->entry, old_entry);
  Run (4000);
  for (const auto &e : entry_names)
    {
      EXPECT_EQ (cb_peers_home_entry (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (Count (e, "down a1"), 0) << "a moved agent is not down";
      EXPECT_EQ (entries[e]->homes["a1"], agents["a1"]->entry) << "move not reported";
    }
}

// Guards against a change of the entry when a new connection to the same one works.
TEST_F (MemberTest, AgentStaysWhenTheNewConnectionWorks)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (3000);
  std::string entry = agents["a1"]->entry;
  uint32_t generation = agents["a1"]->generation;
  cut_links.insert ({ entry, "a1" });
  for (int i = 0; i < 100 && agents["a1"]->generation == generation; i++)
    Step ();
  cut_links.clear ();
  Run (5000);
  EXPECT_EQ (agents["a1"]->entry, entry);
  EXPECT_EQ (agents["a1"]->generation, generation + 1);
}

// Guards against an agent that is still reported as up silence_ms after its last
// heartbeat.
TEST_F (MemberTest, SilentAgentIsDownWithinSilence)
{
  Start ({ "e1" });
  AddAgent ("a1");
  Run (3000);
  cut_links.insert ({ "a1", "e1" });
  Run (1000);
  EXPECT_EQ (Count ("e1", "down a1"), 0);
  Run (2100);
  EXPECT_EQ (Count ("e1", "down a1"), 1);
  EXPECT_EQ (cb_peers_home_entry (entries["e1"]->peers, "a1"), nullptr);
}

// Each direction between two entries has its own connection. Guards against a
// connection that fails unnoticed: its sender still receives the peer's heartbeats, so
// that only a report of the peer can make the sender open a new connection.
TEST_F (MemberTest, PeerReportsThatItReceivesNothing)
{
  Start ({ "e1", "e2" });
  Run (10000);
  EXPECT_EQ (Count ("e1", "one-way e2") + Count ("e2", "one-way e1"), 0);
  cut_links.insert ({ "e1", "e2" });
  Run (4100);
  EXPECT_EQ (Count ("e2", "peer-down e1"), 1);
  EXPECT_EQ (Count ("e1", "one-way e2"), 1);
  Run (3100);
  EXPECT_EQ (Count ("e1", "one-way e2"), 2) << "the new connection may fail as well";
  cut_links.clear ();
  Run (1100);
  ClearEvents ();
  Run (10000);
  EXPECT_EQ (Count ("e1", "one-way e2") + Count ("e2", "one-way e1"), 0);
}

// Guards against heartbeats and acknowledgements of idle agents each second: the
// acknowledgements are a large part of what an entry sends. An agent with tasks must
// still get one each second, and the agent must receive a drain within 1 s although it
// is idle.
TEST_F (MemberTest, IdleAgentIsAcknowledgedEveryTwoSeconds)
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

// Guards against an idle agent that is reported down, or changes its connection,
// because one heartbeat of its longer interval is lost, and against the longer interval
// being kept after tasks have started.
TEST_F (MemberTest, LostHeartbeatOfAnIdleAgentIsRepeatedInTime)
{
  Start ({ "e1" });
  AddAgent ("a1");
  Run (3000);
  heartbeats = 0;
  Run (20000);
  EXPECT_EQ (heartbeats, 10);
  heartbeats_to_lose = 1;
  Run (10000);
  EXPECT_EQ (heartbeats_to_lose, 0);
  EXPECT_EQ (Count ("e1", "down a1"), 0);
  EXPECT_EQ (agents["a1"]->generation, 1u);
  cb_home_set_state (agents["a1"]->home, FALSE, 0, 1, 0, nullptr);
  Run (1000);
  heartbeats = 0;
  Run (20000);
  EXPECT_EQ (heartbeats, 20);
}

// Entries of different cells exchange fewer heartbeats. Guards against two failures: an
// update lost between them (here: an endpoint no longer leaves) that is not repeated
// within 3 s; and a terminated entry of another cell that is not reported as down.
TEST_F (MemberTest, EntriesOfOtherCellsReceiveChangesAsSoon)
{
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  char name[] = "quote-1";
  auto send_state = [&] { cb_home_set_state (agents["a1"]->home, 0, 0, 0, 0, &info); };

  cells["e3"] = "east";
  entry_names = { "e1", "e2" };
  AddAgent ("a1");
  Start ({ "e1", "e2", "e3" });
  info.name = name;
  send_state ();
  Run (12000);
  std::string home = agents["a1"]->entry;
  peer_heartbeats.clear ();
  Run (30000);
  EXPECT_EQ (peer_heartbeats["e3"], 2 * 10);
  EXPECT_EQ (peer_heartbeats["e1"], 30 + 10);
  ClearEvents ();
  info.leaving = TRUE;
  send_state ();
  Run (1100);
  EXPECT_EQ (Count ("e3", "changed a1"), 1);
  Run (12000);
  cut_links.insert ({ home, "e3" });
  info.leaving = FALSE;
  send_state ();
  Run (1100);
  EXPECT_EQ (Count ("e3", "changed a1"), 1);
  cut_links.clear ();
  Run (1900);
  EXPECT_EQ (Count ("e3", "changed a1"), 2);
  Run (12000);
  entries["e3"]->terminated = true;
  Run (5100);
  EXPECT_EQ (Count ("e1", "peer-down e3") + Count ("e2", "peer-down e3"), 2);
  EXPECT_EQ (Count ("e1", "peer-down e2") + Count ("e2", "peer-down e1"), 0);
}

// Guards against agents that are reported as down, rather than moved, when their entry
// terminates without a goodbye.
TEST_F (MemberTest, LostGoodbyeMovesAgentsWithoutReportingThemDown)
{
  Start ({ "e1", "e2", "e3" });
  AddAgent ("a1");
  AddAgent ("a2");
  Run (4000);
  std::string lost_entry = agents["a1"]->entry;
  entries[lost_entry]->terminated = true;
  Run (9000);
  EXPECT_NE (agents["a1"]->entry, lost_entry);
  for (const auto &e : entry_names)
    {
      if (e == lost_entry)
        continue;
      EXPECT_EQ (Count (e, "peer-down " + lost_entry), 1);
      EXPECT_EQ (Count (e, "down a1"), 0);
      EXPECT_EQ (cb_peers_home_entry (entries[e]->peers, "a1"), agents["a1"]->entry);
      EXPECT_EQ (entries[e]->homes["a1"], agents["a1"]->entry) << "move not reported";
    }
}

// Guards against agents that stay up after their entry is lost although they connect to
// no other entry.
TEST_F (MemberTest, AgentsOfALostEntryThatDoNotComeBackAreReportedDown)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (4000);
  std::string lost_entry = agents["a1"]->entry;
  std::string other = lost_entry == "e1" ? "e2" : "e1";
  entries[lost_entry]->terminated = true;
  cut_links.insert ({ "a1", other });
  Run (6500);
  EXPECT_EQ (Count (other, "down a1"), 1);
}

// Guards against an agent that waits for a timeout although its entry has announced
// that it shuts down.
TEST_F (MemberTest, GoodbyeOfTheEntryMovesTheAgentAtOnce)
{
  Cb__Envelope goodbye = CB__ENVELOPE__INIT;
  Cb__Goodbye body = CB__GOODBYE__INIT;

  Start ({ "e1", "e2" });
  AddAgent ("a1");
  Run (2000);
  std::string old_entry = agents["a1"]->entry;
  goodbye.from = const_cast<char *> (old_entry.c_str ());
  goodbye.body_case = CB__ENVELOPE__BODY_GOODBYE;
  goodbye.goodbye = &body;
  cb_home_receive (agents["a1"]->home, &goodbye, now);
  Step ();
  EXPECT_NE (agents["a1"]->entry, old_entry);
}

// Guards against an agent that waits for silence_ms (3 s) although the connection to
// its terminated entry has ended, and against an agent that keeps changing entries when
// connections end before any acknowledgement.
TEST_F (MemberTest, EndOfAWorkingConnectionMovesTheAgentAtOnce)
{
  Start ({ "e1", "e2" });
  AddAgent ("a1");
  cb_home_connection_lost (agents["a1"]->home, now); // not yet acknowledged
  Run (2000);
  std::string old_entry = agents["a1"]->entry;
  EXPECT_EQ (agents["a1"]->generation, 1u) << "the first connection is kept";
  cb_home_connection_lost (agents["a1"]->home, now);
  Step ();
  EXPECT_NE (agents["a1"]->entry, old_entry);
  Run (200);
  for (const auto &e : entry_names)
    EXPECT_EQ (cb_peers_home_entry (entries[e]->peers, "a1"), agents["a1"]->entry) << e;
}

// Guards against late messages of an agent's previous process that change the state of
// the restarted one.
TEST_F (MemberTest, RestartedAgentIsUpAgainAndItsOldGoodbyeIsIgnored)
{
  Cb__Envelope goodbye = CB__ENVELOPE__INIT;
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
  goodbye.from = from;
  goodbye.incarnation = 5;
  goodbye.body_case = CB__ENVELOPE__BODY_GOODBYE;
  goodbye.goodbye = &body;
  cb_peers_receive (entries[agents["a1"]->entry]->peers, &goodbye, now);
  EXPECT_EQ (Count (agents["a1"]->entry, "down a1"), 0);
  goodbye.incarnation = 6;
  cb_peers_receive (entries[agents["a1"]->entry]->peers, &goodbye, now);
  EXPECT_EQ (Count (agents["a1"]->entry, "down a1"), 1);
}

// Guards against directories that stay different after a heartbeat with changes is
// lost: the mismatch of the hash must make the peer request all agents.
TEST_F (MemberTest, LostDeltasAreRepairedThroughTheHash)
{
  Start ({ "e1", "e2" });
  Run (2000);
  cut_links.insert ({ "e1", "e2" });
  cut_links.insert ({ "e2", "e1" });
  for (int i = 0; i < 10; i++)
    AddAgent ("a" + std::to_string (i));
  Run (2000);
  cut_links.clear ();
  Run (3000);
  for (const auto &a : agents)
    for (const auto &e : entry_names)
      {
        ASSERT_NE (cb_peers_home_entry (entries[e]->peers, a.first.c_str ()), nullptr);
        EXPECT_EQ (cb_peers_home_entry (entries[e]->peers, a.first.c_str ()),
                   a.second->entry);
      }
}

// Guards against control traffic that grows with each field added to the heartbeat: one
// entry receives up to 130 heartbeats each second. The heartbeat has no endpoint, which
// is only sent after a change.
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

// Guards against a heartbeat without a sender that adds an agent without a name and
// queues an acknowledgement without a receiver.
TEST_F (MemberTest, AHeartbeatWithoutSenderIsIgnored)
{
  entry_names = { "e0", "e1" };
  AddEntry ("e0");
  Cb__Heartbeat heartbeat = CB__HEARTBEAT__INIT;
  Cb__Envelope envelope = CB__ENVELOPE__INIT;
  envelope.incarnation = 5;
  envelope.body_case = CB__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &heartbeat;
  cb_peers_receive (entries["e0"]->peers, &envelope, now);
  EXPECT_EQ (nullptr, cb_outq_pop (cb_peers_outputs (entries["e0"]->peers)));
  EXPECT_TRUE (entries["e0"]->events.empty ());
  EXPECT_EQ (nullptr, cb_peers_home_entry (entries["e0"]->peers, ""));
}

} // namespace
