// Guards the scheduler of batch jobs: whole gangs, no second run, leases, takeovers,
// ends that are durable before they are acknowledged.
#include "test/batch_harness.h"

namespace
{

TEST (Batch, GangStartsWholeOnOneRack)
{
  BatchSite site (6, 3);

  site.Submit ("g", 0, { { 3, 8, 1000, true, true } });
  site.Advance (200);
  EXPECT_EQ (site.Running ("g"), 3);
  std::set<std::string> racks;
  for (const auto &w : site.workers)
    if (!w->running.empty ())
      racks.insert (w->rack);
  EXPECT_EQ (racks.size (), 1u);
  site.Advance (1500);
  EXPECT_EQ (site.Status ("g"), CB_JOB_COMPLETED);
}

// A gang with a member that was not started must not leave the others waiting.
TEST (Batch, MembersOfABrokenGangAreStoppedAtOnce)
{
  BatchSite site (2, 2);

  site.workers[1]->rejects = true;
  site.SubmitAndRun ("g", 0, { { 2, 8, 1000, true } }, 60000, 500);
  site.workers[1]->rejects = false;
  site.Advance (1000);
  EXPECT_EQ (site.Running ("g"), 2);
}

TEST (Batch, StepsRunInOrder)
{
  BatchSite site (2, 2);
  StepSpec second;

  second.after = { 0 };
  site.Submit ("j", 1, { { 4, 1 }, second });
  site.Advance (600);
  EXPECT_EQ (site.Running ("j"), 4);
  site.Advance (600);
  EXPECT_EQ (site.first_start_ms.count ("j.0.1.0"), 1u);
  EXPECT_GE (site.first_start_ms["j.0.1.0"], site.first_start_ms["j.0.0.0"] + 1000);
  EXPECT_EQ (site.Status ("j"), CB_JOB_RUNNING);
  site.Advance (1500);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

// A worker that cannot be reached may run on until its lease is over.
TEST (Batch, SilentWorkersTaskRunsElsewhereOnlyAfterTheLease)
{
  BatchSite site (2, 2);

  site.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 300);
  Worker *first = site.Busy ();
  ASSERT_NE (first, nullptr);
  ASSERT_EQ (first->running.size (), 1u);
  first->reached = false;
  site.Advance (5500);
  EXPECT_EQ (first->running.size (), 1u);
  site.Advance (2500);
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (site.Running ("j"), 1);
}

// Guards against keeping a dead worker alive by repeating its last report
// (hunt mix --seed 374119862398: the job never ran again).
TEST (Batch, RepeatedReportIsNoSignOfLife)
{
  BatchSite site (2, 2);

  site.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 300);
  Worker *first = site.Busy ();
  ASSERT_NE (first, nullptr);
  first->up = false;
  for (int i = 0; i < 100; i++)
    {
      site.RepeatReport (*first);
      site.Advance (100);
    }
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (site.Running ("j"), 1);
}

TEST (Batch, NewLifeOfAWorkerEndsItsRunsAtOnce)
{
  BatchSite site (1, 1);

  site.SubmitAndRun ("j", 1, { { 1, 8 } }, 3000, 300);
  site.workers[0]->Crash ();
  site.Advance (400);
  EXPECT_EQ (site.Running ("j"), 1);
  site.Advance (3500);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a second run beside one that the next life of a worker started for the
// earlier one (soak seed 144).
TEST (Batch, StartCarriedOutByTheNextLifeIsStoppedFirst)
{
  BatchSite site (2, 2);

  site.SubmitAndRun ("j", 0, { { 1, 8 } }, 2000, 20);
  Worker *first = site.Busy ();
  ASSERT_NE (first, nullptr);
  ASSERT_EQ (first->running.size (), 1u);
  first->Crash ();
  site.LateStart (*first, "j.0.0.0", 1);
  site.Advance (4000);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

TEST (Batch, TakeoverKeepsRunningWorkAndIgnoresTheEarlierScheduler)
{
  BatchSite site (3, 3);

  site.SubmitAndRun ("j", 0, { { 3, 8 } }, 3000, 300);
  EXPECT_EQ (site.Running ("j"), 3);
  uint64_t old_epoch = site.epoch;
  site.Claim (site.follower);
  // A record that the earlier scheduler appended before it noticed.
  Cb__BatchRecord *late = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_ENDS);
  late->epoch = old_epoch;
  late->ends = static_cast<Cb__BatchEnds *> (cb_msg_new (&cb__batch_ends__descriptor));
  auto *end = static_cast<Cb__TaskEnd *> (cb_msg_new (&cb__task_end__descriptor));
  end->run = static_cast<Cb__TaskRun *> (cb_msg_new (&cb__task_run__descriptor));
  cb_msg_set_string (&end->run->job, "j");
  end->run->run = 1;
  end->how = CB__RUN_END__RUN_LOST;
  cb_msg_append (reinterpret_cast<void ***> (&late->ends->ends), &late->ends->n_ends,
                 end);
  site.Append (late);
  site.Advance (500);
  EXPECT_EQ (site.Running ("j"), 3);
  site.Advance (3500);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

// The first of two claims of one epoch wins, whoever reads it.
TEST (Batch, SecondClaimOfAnEpochIsVoid)
{
  BatchSite site (1, 1);

  for (const char *name : { "x", "y" })
    {
      Cb__BatchRecord *record = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
      record->claim =
          static_cast<Cb__BatchClaim *> (cb_msg_new (&cb__batch_claim__descriptor));
      cb_msg_set_string (&record->claim->entry, name);
      record->claim->replaces_epoch = site.epoch;
      site.Append (record);
    }
  EXPECT_STREQ (cb_batch_scheduler (site.follower), "x");
}

TEST (Batch, FailsAfterAllAttempts)
{
  BatchSite site (2, 2);

  site.fails["j.0.0.0"] = 99;
  site.Submit ("j", 1, { { 2, 1 } }, "acc", 3);
  site.Advance (6000);
  EXPECT_EQ (site.Status ("j"), CB_JOB_FAILED);
  EXPECT_EQ (site.fails["j.0.0.0"], 96);
  EXPECT_EQ (site.Running ("j"), 0);
}

TEST (Batch, CanceledJobStopsAndNeverStartsAgain)
{
  BatchSite site (2, 2);

  site.SubmitAndRun ("j", 0, { { 20, 1 } }, 60000, 300);
  EXPECT_EQ (site.Running ("j"), 16);
  site.Cancel ("j");
  site.Advance (300);
  EXPECT_EQ (site.Running ("j"), 0);
  EXPECT_EQ (site.Status ("j"), CB_JOB_CANCELED);
  site.Advance (3000);
  EXPECT_EQ (site.Running ("j"), 0);
}

// A worker that answers but makes no progress must not hold urgent work.
TEST (Batch, UrgentRunThatStandsStillIsMoved)
{
  BatchSite site (2, 2);

  site.SubmitAndRun ("u", 0, { { 1, 8 } }, 3000, 1000);
  Worker *first = site.Busy ();
  ASSERT_NE (first, nullptr);
  first->stuck = true;
  site.Advance (3500);
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (site.Running ("u"), 1);
  site.Advance (3500);
  EXPECT_EQ (site.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against a run that has ended, but whose end waits for the log, being taken as
// one that stands still: its worker was told to stop it and was avoided (inc-1113,
// inc-4ef4: run_stalled during outages of the store).
TEST (Batch, EndThatWaitsForTheLogIsNoStandstill)
{
  BatchSite site (1, 1);

  site.SubmitAndRun ("u", 0, { { 1, 8 } }, 1000, 500);
  site.log_away = true;
  for (int i = 0; i < 40; i++)
    {
      site.Advance (100);
      EXPECT_EQ (site.workers[0]->absent, std::set<std::string> ());
    }
  site.log_away = false;
  site.Advance (500);
  EXPECT_EQ (site.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against work that is stopped again and again because its worker reports no
// progress (CI: RestartedAgentLeavesTheWorkersTasksAlone never ended).
TEST (Batch, WorkWithoutReportedProgressEnds)
{
  BatchSite site (1, 1);

  site.workers[0]->mute = true;
  site.SubmitAndRun ("u", 0, { { 1, 8 } }, 6000, 12000);
  EXPECT_EQ (site.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against a worker that stays unusable after it was silent for longer than its
// lease (soak seed 1 beside load: accepted jobs stayed queued).
TEST (Batch, WorkerThatReturnsAfterItsLeaseGetsWork)
{
  BatchSite site (1, 1);

  site.workers[0]->reached = false;
  site.Advance (12000);
  site.workers[0]->reached = true;
  site.Submit ("j", 0, { { 1, 8 } });
  site.Advance (2500);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

// The record of an entry that has started.
Cb__BatchRecord *
EntryStarted (const std::string &name, const std::string &identity)
{
  Cb__BatchRecord *record = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_AGENT);

  record->agent = NewMessage<Cb__BatchAgent> (&cb__batch_agent__descriptor);
  record->agent->entry = TRUE;
  cb_msg_set_string (&record->agent->name, name.c_str ());
  cb_msg_set_string (&record->agent->address, "10.0.0.1:80");
  cb_msg_set_string (&record->agent->identity, identity.c_str ());
  return record;
}

// Guards against a role that stays with an ended process until its silence is noticed,
// although its entry runs again: 1.3 s after a power cut of everything.
TEST (Batch, RestartOfTheSchedulersEntryFreesItsRole)
{
  BatchSite site (1, 1);
  Cb__BatchRecord *claim = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);

  claim->claim = NewMessage<Cb__BatchClaim> (&cb__batch_claim__descriptor);
  cb_msg_set_string (&claim->claim->entry, "e1#100");
  claim->claim->replaces_epoch = site.epoch;
  site.Append (claim);
  EXPECT_STREQ (cb_batch_scheduler (site.follower), "e1#100");
  for (const char *other : { "e1#100", "e11#200", "e2#200" })
    {
      std::string identity = other;
      site.Append (EntryStarted (identity.substr (0, identity.find ('#')), identity));
      EXPECT_GT (cb_batch_scheduler_seen_ms (site.follower), 0) << other;
    }
  site.Append (EntryStarted ("e1", "e1#200"));
  EXPECT_EQ (cb_batch_scheduler_seen_ms (site.follower), 0);
  EXPECT_STREQ (cb_batch_scheduler (site.follower), "");
}

// Guards against work that can wait taking the first worker that is known after a
// takeover, while urgent work waits.
TEST (Batch, NewSchedulerKnowsItsWorkersBeforeItPlacesWork)
{
  BatchSite site (4, 2);

  site.Append (site.NewBeat ());
  site.workers[1]->reached = site.workers[2]->reached = false;
  site.Claim (site.follower);
  site.Submit ("later", 2, { { 8, 1 } });
  site.Submit ("urgent", 0, { { 2, 8 } });
  site.Advance (200);
  EXPECT_EQ (site.first_start_ms.size (), 0u);
  site.workers[1]->reached = site.workers[2]->reached = true;
  site.Advance (110);
  EXPECT_EQ (site.Running ("urgent"), 2);
}

// Guards against a new scheduler that waits for workers which are gone.
TEST (Batch, NewSchedulerPlacesWorkWithoutWorkersThatAreGone)
{
  BatchSite site (4, 2);

  site.Append (site.NewBeat ());
  site.workers[1]->reached = false;
  site.Claim (site.follower);
  site.Submit ("urgent", 0, { { 1, 8 } });
  site.Advance (400);
  EXPECT_EQ (site.Running ("urgent"), 1);
}

TEST (Batch, DrainingWorkerGetsNoWork)
{
  BatchSite site (2, 2);

  site.workers[0]->draining = true;
  site.Advance (200);
  site.SubmitAndRun ("j", 0, { { 16, 1 } }, 60000, 500);
  EXPECT_EQ (site.workers[0]->running.size (), 0u);
  EXPECT_EQ (site.workers[1]->running.size (), 8u);
}

// A record that was appended twice, after a lost answer, has no second effect.
TEST (Batch, RepeatedRecordsHaveNoSecondEffect)
{
  BatchSite site (3, 3);

  site.keep_log = true;
  for (int i = 0; i < 6; i++)
    site.Submit ("j" + std::to_string (i), i % 3, { { 4, 2 } });
  site.fails["j1.0.0.0"] = 1;
  site.Advance (8000);
  cb_batch_t *twice = cb_batch_new (&site.params);
  Cb__BatchRecord *claim = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
  claim->claim =
      static_cast<Cb__BatchClaim *> (cb_msg_new (&cb__batch_claim__descriptor));
  cb_batch_apply (twice, 0, claim, 1, 1);
  cb_msg_free (claim);
  for (size_t i = 0; i < site.log.size (); i++)
    for (int k = 0; k < 2; k++)
      {
        Cb__BatchRecord *record = cb__batch_record__unpack (
            nullptr, site.log[i].size (), site.log[i].data ());
        cb_batch_apply (twice, i + 1, record, site.now, site.now);
        cb_msg_free (record);
      }
  for (int i = 0; i < 6; i++)
    {
      std::string id = "j" + std::to_string (i);
      EXPECT_EQ (site.Status (id), CB_JOB_COMPLETED);
      EXPECT_EQ (cb_batch_status (twice, id.c_str ()), CB_JOB_COMPLETED);
    }
  cb_batch_free (twice);
}

// After records have expired, a fold from a snapshot equals one from the log.
TEST (Batch, SnapshotHoldsTheWholeState)
{
  BatchSite site (3, 3);

  site.length_ms["long"] = 60000;
  site.Submit ("long", 1, { { 3, 2, 1000, true } });
  site.Submit ("short", 1, { { 30, 1 }, { 2, 1 } });
  site.Submit ("gone", 2, { { 2, 1 } });
  site.Cancel ("gone");
  site.fails["short.0.0.3"] = 1;
  site.Advance (1500);
  Cb__BatchSnapshot *first = cb_batch_save (site.lead, 77);
  cb_batch_t *copy = cb_batch_new (&site.params);
  cb_batch_load (copy, first, site.now, site.now);
  Cb__BatchSnapshot *second = cb_batch_save (copy, 77);
  EXPECT_TRUE (cb_msg_equal (&first->base, &second->base));
  EXPECT_EQ (cb_batch_status (copy, "long"), CB_JOB_RUNNING);
  EXPECT_EQ (cb_batch_status (copy, "gone"), CB_JOB_CANCELED);
  cb_msg_free (first);
  cb_msg_free (second);
  cb_batch_free (copy);
}

// Starts and ends that were surely not stored are decided again.
TEST (Batch, RecordsThatWereNotStoredAreProposedAgain)
{
  BatchSite site (1, 1);

  site.Submit ("j", 1, { { 2, 1 } });
  cb_batch_tick (site.lead, site.now, site.now);
  Cb__BatchRecord *lost = cb_batch_take_record (site.lead);
  ASSERT_NE (lost, nullptr);
  ASSERT_EQ (lost->body_case, CB__BATCH_RECORD__BODY_STARTS);
  cb_batch_not_stored (site.lead, lost);
  cb_msg_free (lost);
  site.Advance (2500);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

} // namespace
