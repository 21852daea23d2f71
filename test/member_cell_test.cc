// Tests the election of a cell's scheduler in virtual time: which entry is due to claim
// the cell, and when. An entry becomes the scheduler by a claim record in the log; the
// offset of the record is the cell's epoch.
#include "test/member_fixture.h"

namespace
{

// Guards against two entries that start at the same time and claim the cell at once.
TEST_F (MemberTest, OfTwoEntriesThatStartAtOnceOneIsDueFirst)
{
  Start ({ "e1", "e2" });
  Run (900);
  EXPECT_TRUE (Claimants ().empty ())
      << "a new process must wait for the whole timeout";
  std::string first = WaitForClaimant ();
  Step ();
  EXPECT_EQ (Claimants ().size (), 1U);
  ApplyClaim (first, 10);
  ClearEvents ();
  Run (10000);
  EXPECT_TRUE (Claimants ().empty ());
}

// Guards against a takeover that waits forever for the first candidate when that
// candidate has terminated as well; the next candidate must follow one timeout later.
TEST_F (MemberTest, TerminatedCandidateDoesNotBlockTheTakeover)
{
  Start ({ "e1", "e2", "e3", "e4" });
  std::string scheduler = WaitForClaimant ();
  ApplyClaim (scheduler, 10);
  Run (3000);
  ClearEvents ();
  entries[scheduler]->terminated = true;
  std::string candidate = WaitForClaimant ();
  ASSERT_NE (candidate, "");
  entries[candidate]->terminated = true;
  ClearEvents ();
  cb_msec_t from = now;
  std::string next = WaitForClaimant ();
  EXPECT_NE (next, "");
  EXPECT_NE (next, candidate);
  EXPECT_LE (now - from, 1100);
}

// Guards against heartbeats of a scheduler that was replaced while its process was
// paused: they carry its old epoch and must not restart the timeout of the new
// scheduler.
TEST_F (MemberTest, HeartbeatsOfAReplacedSchedulerAreIgnored)
{
  Start ({ "e1", "e2", "e3" });
  std::string old_scheduler = WaitForClaimant ();
  ApplyClaim (old_scheduler, 10);
  Run (3000);
  ClearEvents ();
  entries[old_scheduler]->paused = true;
  std::string new_scheduler = WaitForClaimant ();
  ASSERT_NE (new_scheduler, "");
  EXPECT_NE (new_scheduler, old_scheduler);
  ApplyClaim (new_scheduler, 20);
  Run (1000);
  entries[old_scheduler]->paused = false;
  ClearEvents ();
  entries[new_scheduler]->terminated = true;
  Run (2600);
  // The third entry receives only the old scheduler's heartbeats and must become due.
  int due = 0;
  for (const auto &name : Claimants ())
    due += name != old_scheduler;
  EXPECT_EQ (due, 1);
}

// Guards against an entry that counts its own pause as silence of the others: resumed,
// it read that it had been replaced and claimed the cell again 29 ms later, and it took
// its peers and agents for lost, before it had read their heartbeats.
TEST_F (MemberTest, ResumedSchedulerHearsTheOthersBeforeItClaims)
{
  Start ({ "e1", "e2" });
  std::string old_scheduler = WaitForClaimant ();
  ApplyClaim (old_scheduler, 10);
  Run (3000);
  entries[old_scheduler]->paused = true;
  ClearEvents ();
  std::string new_scheduler = WaitForClaimant ();
  ASSERT_NE (new_scheduler, old_scheduler);
  Run (4000);
  ClearEvents ();
  ApplyClaim (new_scheduler, 20);
  cb_peers_t *resumed = entries[old_scheduler]->peers;
  cb_peers_set_state (resumed, 0, 21, 20, new_scheduler.c_str (), FALSE);
  cb_peers_set_scheduling (resumed, 0);
  cb_peers_tick (resumed, now);
  cb_peers_tick (resumed, now + 50);
  EXPECT_EQ (entries[old_scheduler]->events, std::vector<std::string> ());
  entries[old_scheduler]->paused = false;
  Run (3000);
  EXPECT_EQ (Claimants (), std::vector<std::string> ());
  entries[new_scheduler]->terminated = true;
  Run (5000);
  EXPECT_EQ (Claimants (), std::vector<std::string> ({ old_scheduler }));
}

// Guards against a takeover that waits for the timeout although the scheduler has
// announced that it shuts down.
TEST_F (MemberTest, LeavingSchedulerMakesTheNextOneDueAtOnce)
{
  Start ({ "e1", "e2" });
  std::string scheduler = WaitForClaimant ();
  ApplyClaim (scheduler, 10);
  Run (3000);
  ClearEvents ();
  cb_peers_set_state (entries[scheduler]->peers, 0, 11, 10, scheduler.c_str (), TRUE);
  Step ();
  Step ();
  ASSERT_EQ (Claimants ().size (), 1U);
  EXPECT_NE (Claimants ()[0], scheduler);
}

// A new scheduler derives from the last heartbeat of its predecessor which jobs the
// predecessor can't have received. Guards against a time that is too early, when this
// process was paused and heartbeats wait unread, and against a time from an older
// epoch.
TEST_F (MemberTest, LastHeartbeatOfTheSchedulerIsRecorded)
{
  Start ({ "e1", "e2" });
  std::string scheduler = WaitForClaimant ();
  const std::string other = scheduler == "e1" ? "e2" : "e1";
  cb_peers_t *peers = entries[other]->peers;
  EXPECT_EQ (cb_peers_scheduler_last_heartbeat (peers), 0);
  ApplyClaim (scheduler, 10);
  Run (3000);
  cb_msec_t last_heartbeat = cb_peers_scheduler_last_heartbeat (peers);
  EXPECT_GE (last_heartbeat, now - 300);
  entries[scheduler]->terminated = true;
  Run (600);
  EXPECT_LE (cb_peers_scheduler_last_heartbeat (peers), last_heartbeat + 300);
  EXPECT_GE (cb_peers_scheduler_last_heartbeat (peers), last_heartbeat);
  cb_peers_tick (peers, now + 400);
  EXPECT_EQ (cb_peers_scheduler_last_heartbeat (peers), now + 400);
  entries[scheduler]->terminated = false;
  Run (1000);
  EXPECT_GT (cb_peers_scheduler_last_heartbeat (peers), last_heartbeat);
  ApplyClaim (other, 20);
  EXPECT_EQ (cb_peers_scheduler_last_heartbeat (peers), 0);
}

// Guards against an unknown time of the last heartbeat when a scheduler terminates
// between its claim and its first heartbeat: urgent jobs submitted later then waited
// 5.3 s for the reports of all agents.
TEST_F (MemberTest, ClaimCountsAsTheFirstHeartbeat)
{
  Start ({ "e1", "e2" });
  std::string scheduler = WaitForClaimant ();
  const std::string other = scheduler == "e1" ? "e2" : "e1";
  cb_msec_t claimed = now;
  ApplyClaim (scheduler, 10);
  entries[scheduler]->terminated = true;
  Run (900);
  EXPECT_GE (cb_peers_scheduler_last_heartbeat (entries[other]->peers), claimed - 50);
  EXPECT_LE (cb_peers_scheduler_last_heartbeat (entries[other]->peers), claimed);
}

// Guards against a claim by an entry that has applied less of the log than a peer: it
// may name an epoch that is already replaced, which delays the takeover.
TEST_F (MemberTest, NoClaimWhileBehindAPeer)
{
  Start ({ "e1", "e2" });
  cb_peers_set_state (entries["e1"]->peers, 0, 5, 0, "", FALSE);
  cb_peers_set_state (entries["e2"]->peers, 0, 9, 0, "", FALSE);
  Run (6000);
  EXPECT_EQ (Count ("e1", "silent west"), 0);
  EXPECT_GT (Count ("e2", "silent west"), 0);
}

} // namespace
