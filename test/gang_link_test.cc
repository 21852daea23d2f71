// Tests the direct connections between agents that carry the heartbeats of gangs.
#include "test/gang_fixture.h"

namespace
{

// Guards against heartbeats that go through the entries although there is a direct
// connection: in a cell of the target size this takes all CPU time of the entries. Also
// guards against gangs that stop when the entries are down.
TEST_F (Gang, HeartbeatsGoDirectlyAndNeedNoEntry)
{
  StartDirectPair ();
  Run (10000);
  EXPECT_EQ (10, direct_envelopes["b>a"]);
  EXPECT_EQ (10, direct_envelopes["a>b"]);
  EXPECT_EQ (0, envelopes["b>a"] + envelopes["a>b"]);
  drop = [] (const std::string &, const std::string &) { return true; };
  Run (30000);
  EXPECT_EQ (2u, cb_gang_task_count (agents["a"]) + cb_gang_task_count (agents["b"]));
  EXPECT_EQ (1u, newest_generation);
  ReportStatus ("b", "j", 1, 1, CB__TASK_STATE__TASK_FAILED);
  PerformOutputs ();
  EXPECT_EQ (0u, cb_gang_task_count (agents["a"]) + cb_gang_task_count (agents["b"]));
}

// Guards against a gang that stops because the connection between two agents stays open
// but loses all messages, in one direction or both, while the entries are down: it must
// be replaced before the lease ends.
TEST_F (Gang, SilentConnectionBetweenAgentsIsReplaced)
{
  for (const char *sender : { "a", "b", "" })
    {
      StartDirectPair ();
      drop = [] (const std::string &, const std::string &) { return true; };
      silent_generation = newest_generation;
      silent_sender.reset (*sender == '\0' ? nullptr : new std::string (sender));
      Run (30000);
      EXPECT_EQ (2u,
                 cb_gang_task_count (agents["a"]) + cb_gang_task_count (agents["b"]))
          << sender;
      EXPECT_EQ (silent_generation + 1, newest_generation) << sender;
      KillAgent ("a");
      KillAgent ("b");
      drop = nullptr;
    }
}

// Guards against a gang that stops although the entries can carry its heartbeats, when
// direct connections never work, as with a wrong address, and against one that doesn't
// stop within 6 s when the entries fail as well.
TEST_F (Gang, EntriesCarryHeartbeatsWithoutADirectConnection)
{
  StartDirectPair ();
  silent_generation = UINT32_MAX;
  Run (30000);
  EXPECT_EQ (2u, cb_gang_task_count (agents["a"]) + cb_gang_task_count (agents["b"]));
  EXPECT_GE (envelopes["b>a"], 28);
  EXPECT_LE (newest_generation, 17u);
  drop = [] (const std::string &, const std::string &) { return true; };
  Run (6000);
  EXPECT_EQ (0u, cb_gang_task_count (agents["a"]) + cb_gang_task_count (agents["b"]));
}

// Guards against connections that outlive the last gang of two agents: each agent would
// collect one to every agent that ever led one of its gangs.
TEST_F (Gang, ConnectionEndsWithItsGangs)
{
  uint32_t generation = 0;

  StartDirectPair ();
  EXPECT_NE (nullptr, cb_gang_direct_link (agents["b"], "a", &generation));
  ReportStatus ("a", "j", 1, 0, CB__TASK_STATE__TASK_DONE);
  ReportStatus ("b", "j", 1, 1, CB__TASK_STATE__TASK_DONE);
  Run (70000);
  EXPECT_EQ (nullptr, cb_gang_direct_link (agents["b"], "a", &generation));
}

} // namespace
