// Tests the scheduler of batch jobs: complete gangs, at most one run of a task at a
// time, leases, takeovers, and ends that are durable before they are acknowledged.
// Parentheses name the seed of the trial, or the incident, that showed a failure.
#include "test/batch_harness.h"

namespace
{

TEST (Batch, GangStartsWholeOnOneRack)
{
  BatchSimulation sim (6, 3);

  sim.Submit ("g", 0, { { 3, 8, 1000, true, true } });
  sim.Advance (200);
  EXPECT_EQ (sim.Running ("g"), 3);
  std::set<std::string> racks;
  for (const auto &w : sim.workers)
    if (!w->running.empty ())
      racks.insert (w->rack);
  EXPECT_EQ (racks.size (), 1u);
  sim.Advance (1500);
  EXPECT_EQ (sim.Status ("g"), CB_JOB_COMPLETED);
}

// Guards against gang members that wait for one that was not started.
TEST (Batch, MembersOfABrokenGangAreStoppedAtOnce)
{
  BatchSimulation sim (2, 2);

  sim.workers[1]->rejects_starts = true;
  sim.SubmitAndRun ("g", 0, { { 2, 8, 1000, true } }, 60000, 500);
  sim.workers[1]->rejects_starts = false;
  sim.Advance (1000);
  EXPECT_EQ (sim.Running ("g"), 2);
}

TEST (Batch, StepsRunInOrder)
{
  BatchSimulation sim (2, 2);
  StepSpec second;

  second.after = { 0 };
  sim.Submit ("j", 1, { { 4, 1 }, second });
  sim.Advance (600);
  EXPECT_EQ (sim.Running ("j"), 4);
  sim.Advance (600);
  EXPECT_EQ (sim.first_start_ms.count ("j.0.1.0"), 1u);
  EXPECT_GE (sim.first_start_ms["j.0.1.0"], sim.first_start_ms["j.0.0.0"] + 1000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_RUNNING);
  sim.Advance (1500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a second run of a task while an unreachable worker may still run it:
// until its lease has expired.
TEST (Batch, UnreachableWorkersTaskRunsElsewhereOnlyAfterTheLease)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  ASSERT_EQ (first->running.size (), 1u);
  first->reachable = false;
  sim.Advance (5500);
  EXPECT_EQ (first->running.size (), 1u);
  sim.Advance (2500);
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a terminated worker whose lease is extended by repeats of its last
// report, so that its job never runs again (mix --seed 374119862398).
TEST (Batch, RepeatedReportDoesNotExtendTheLease)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->up = false;
  for (int i = 0; i < 100; i++)
    {
      sim.RepeatReport (*first);
      sim.Advance (100);
    }
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

TEST (Batch, RestartOfAWorkerEndsItsRunsAtOnce)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 3000, 300);
  sim.workers[0]->Restart ();
  sim.Advance (400);
  EXPECT_EQ (sim.Running ("j"), 1);
  sim.Advance (3500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a second run of a task while the first one goes on, because the agent
// reports a worker with another id: that does not show that the former has ended.
TEST (Batch, RunsOfAReplacedWorkerMoveOnlyAfterItsLease)
{
  BatchSimulation sim (3, 3);
  Worker other;

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->reachable = false;
  other.id = "other";
  other.agent = first->agent;
  other.rack = first->rack;
  other.accelerators = 0;
  Cb__WorkerReport *report = other.NewReport (sim.now);
  cb_batch_handle_report (sim.primary, first->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.Advance (7500);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (first->running.size (), 0u);
}

// Guards against tasks that wait for the lease of a replaced worker although its agent
// knows that its process has ended.
TEST (Batch, RunsOfAnEndedWorkerMoveAtOnce)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->up = false;
  first->running.clear ();
  Cb__WorkerReport *report = first->NewReport (sim.now);
  report->left = TRUE;
  first->AddEndedWorker (report);
  cb_batch_handle_report (sim.primary, first->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.Advance (300);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against tasks that wait for the lease of an ended worker, anew after each
// takeover, because only an earlier scheduler was told of the end.
TEST (Batch, RunsOfAnEndedWorkerMoveAtOnceAfterATakeover)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->up = false;
  first->end_known = true;
  first->running.clear ();
  sim.Claim (sim.standby);
  sim.Advance (1500);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against runs that are taken as lost as another agent, or the agent about
// another incarnation, states that a worker has ended.
TEST (Batch, OnlyTheStatedIncarnationOfTheAgentCountsAsEnded)
{
  BatchSimulation sim (3, 3);
  Worker other;

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  other.id = first->id;
  for (uint64_t born_ms : { first->incarnation_ms - 1, first->incarnation_ms })
    for (const auto &w : sim.workers)
      {
        if (w.get () == first && born_ms == first->incarnation_ms)
          continue;
        other.incarnation_ms = born_ms;
        Cb__WorkerReport *report = other.NewReportOfItsEnd ();
        cb_batch_handle_report (sim.primary, w->agent.c_str (), report, sim.now);
        cb_msg_free (report);
      }
  // The worker of a report responds, whatever the report states beside.
  Cb__WorkerReport *report = first->NewReport (sim.now + 1);
  first->AddEndedWorker (report);
  cb_batch_handle_report (sim.primary, first->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.Advance (3000);
  EXPECT_EQ (first->running.size (), 1u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against tasks that wait for the lease of a worker that was replaced together
// with its agent, so that nobody states its end, although another worker responds at
// its address: for a scheduler that knows the earlier worker from its reports, from the
// log, or from a snapshot.
TEST (Batch, AnotherWorkerAtItsAddressProvesThatAWorkerHasEnded)
{
  for (const char *known_from : { "reports", "log", "snapshot" })
    {
      BatchSimulation sim (3, 3);

      sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
      Worker *first = sim.FirstBusyWorker ();
      ASSERT_NE (first, nullptr);
      first->Replace ("other");
      if (known_from == std::string ("snapshot"))
        sim.ReloadIdle ();
      if (known_from != std::string ("reports"))
        sim.Claim (sim.standby);
      sim.Advance (1500);
      EXPECT_EQ (sim.Running ("j"), 1) << known_from;
    }
}

// Guards against tasks that wait, after a takeover, for the lease of an earlier
// incarnation although the next one was replaced, too, and another worker responds at
// the address of both.
TEST (Batch, AnotherWorkerAtTheirAddressProvesThatBothIncarnationsHaveEnded)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Claim (sim.standby);
  first->Restart ();
  Cb__WorkerReport *report = first->NewReport (sim.now);
  cb_batch_handle_report (sim.standby, first->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  first->Replace ("other");
  sim.Advance (1500);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a second run of a task while the first one goes on, as another worker
// is taken as proof that its worker has ended. The first worker cannot be reached; the
// case says how the other one is reported.
TEST (Batch, OnlyAResponseAtTheSameAddressToTheSameAgentProvesAnEnd)
{
  for (const char *name : { "another address", "no address", "no lists",
                            "another agent", "two addresses" })
    for (bool takeover : { false, true })
      {
        BatchSimulation sim (3, 3);
        const std::string reported = name;
        Worker other;

        sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
        Worker *first = sim.FirstBusyWorker ();
        ASSERT_NE (first, nullptr);
        other = *first;
        other.Replace ("other");
        other.accelerators = 0;
        if (reported == "another address")
          other.address = "10.0.1.1:80";
        else if (reported == "no address")
          other.address = "";
        else if (reported == "another agent")
          other.agent = sim.workers[first == sim.workers[0].get ()]->agent;
        if (takeover)
          sim.Claim (sim.standby);
        if (reported == "two addresses")
          {
            // It moves, so that another one can be at its first address.
            sim.Advance (200);
            first->address = "10.0.1.1:80";
            sim.Advance (200);
          }
        first->reachable = false;
        for (int i = 0; i < 25; i++)
          {
            Cb__WorkerReport *report = other.NewReport (sim.now);
            if (reported == "no lists")
              report->clock_ms = 0;
            cb_batch_handle_report (takeover ? sim.standby : sim.primary,
                                    other.agent.c_str (), report, sim.now);
            cb_msg_free (report);
            sim.Advance (100);
          }
        EXPECT_EQ (first->running.size (), 1u) << reported;
        EXPECT_EQ (sim.Running ("j"), 1) << reported;
      }
}

// Guards against a second run of a task whose start command, sent to an earlier
// incarnation of a worker, was executed by the next one (soak seed 144).
TEST (Batch, StartForAnEarlierIncarnationIsStoppedFirst)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 2000, 20);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  ASSERT_EQ (first->running.size (), 1u);
  first->Restart ();
  sim.StartForEarlierIncarnation (*first, "j.0.0.0", 1);
  sim.Advance (4000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a second run of a task that the next incarnation of a worker has
// completed, on a start command that was sent to an earlier one (review/4).
TEST (Batch, EndOfAStartForAnEarlierIncarnationCounts)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 2000, 20);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->reachable = false;
  first->Restart ();
  sim.StartForEarlierIncarnation (*first, "j.0.0.0", 1, 50);
  sim.Advance (200);
  first->reachable = true;
  sim.Advance (3000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a second run of a task whose start command, sent to an earlier
// incarnation of a worker, the next one executes under a lease of its own, after its
// agent has reported another worker.
TEST (Batch, RunOnAReplacedSuccessorMovesOnlyAfterItsLease)
{
  BatchSimulation sim (3, 3);
  Worker other;

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->reachable = false;
  first->Restart ();
  // The scheduler takes the task as lost 6450 ms after the last report, 4000 ms before.
  sim.Advance (4000);
  sim.StartForEarlierIncarnation (*first, "j.0.0.0", 1);
  Cb__WorkerReport *report = first->NewReport (sim.now);
  report->n_running = 0; // the lists were read before the start was executed
  cb_batch_handle_report (sim.primary, first->agent.c_str (), report, sim.now);
  report->n_running = 1;
  cb_msg_free (report);
  cb_msg_free (
      cb_batch_build_commands (sim.primary, first->agent.c_str (), TRUE, sim.now));
  other.id = "other";
  other.agent = first->agent;
  other.rack = first->rack;
  other.accelerators = 0;
  report = other.NewReport (sim.now);
  cb_batch_handle_report (sim.primary, first->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.Advance (4500);
}

TEST (Batch, TakeoverKeepsRunningWorkAndIgnoresTheEarlierScheduler)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 0, { { 3, 8 } }, 3000, 300);
  EXPECT_EQ (sim.Running ("j"), 3);
  uint64_t old_epoch = sim.epoch;
  sim.Claim (sim.standby);
  // A record that the earlier scheduler appended before it noticed the takeover.
  Cb__BatchRecord *late = BatchSimulation::NewRecord (CB__BATCH_RECORD__BODY_ENDS);
  late->epoch = old_epoch;
  late->ends = static_cast<Cb__BatchEnds *> (cb_msg_new (&cb__batch_ends__descriptor));
  auto *end = static_cast<Cb__TaskEnd *> (cb_msg_new (&cb__task_end__descriptor));
  end->run = static_cast<Cb__TaskRun *> (cb_msg_new (&cb__task_run__descriptor));
  cb_msg_set_string (&end->run->job, "j");
  end->run->run = 1;
  end->how = CB__RUN_END__RUN_LOST;
  cb_msg_append (reinterpret_cast<void ***> (&late->ends->ends), &late->ends->n_ends,
                 end);
  sim.Append (late);
  sim.Advance (500);
  EXPECT_EQ (sim.Running ("j"), 3);
  sim.Advance (3500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Of two claims that replace the same epoch, the first in the log is valid in every
// replica.
TEST (Batch, SecondClaimOfAnEpochIsIgnored)
{
  BatchSimulation sim (1, 1);

  for (const char *name : { "x", "y" })
    {
      Cb__BatchRecord *record =
          BatchSimulation::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
      record->claim =
          static_cast<Cb__BatchClaim *> (cb_msg_new (&cb__batch_claim__descriptor));
      cb_msg_set_string (&record->claim->entry, name);
      record->claim->replaces_epoch = sim.epoch;
      sim.Append (record);
    }
  EXPECT_STREQ (cb_batch_scheduler (sim.standby), "x");
}

TEST (Batch, JobFailsAfterAllAttempts)
{
  BatchSimulation sim (2, 2);

  sim.failing_runs["j.0.0.0"] = 99;
  sim.Submit ("j", 1, { { 2, 1 } }, "acc", 3);
  sim.Advance (6000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_FAILED);
  EXPECT_EQ (sim.failing_runs["j.0.0.0"], 96);
  EXPECT_EQ (sim.Running ("j"), 0);
}

TEST (Batch, CanceledJobStopsAndNeverStartsAgain)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("j", 0, { { 20, 1 } }, 60000, 300);
  EXPECT_EQ (sim.Running ("j"), 16);
  sim.Cancel ("j");
  sim.Advance (300);
  EXPECT_EQ (sim.Running ("j"), 0);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_CANCELED);
  sim.Advance (3000);
  EXPECT_EQ (sim.Running ("j"), 0);
}

// Guards against a job that runs although its cancellation was acknowledged, as its
// submission was stored after that; also when a snapshot was loaded in between.
TEST (Batch, CancellationHoldsForALaterSubmission)
{
  BatchSimulation sim (2, 2);

  sim.Cancel ("j");
  Cb__BatchSnapshot *snapshot =
      cb_batch_save_snapshot (sim.standby, sim.offset, sim.now);
  cb_batch_free (sim.standby);
  sim.standby = cb_batch_new (&sim.params);
  cb_batch_load_snapshot (sim.standby, snapshot, sim.now, sim.now);
  cb_msg_free (snapshot);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_UNKNOWN);
  sim.SubmitAndRun ("j", 0, { { 2, 1 } }, 1000, 500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_CANCELED);
  EXPECT_EQ (sim.first_start_ms.size (), 0u);
  sim.SubmitAndRun ("other", 0, { { 2, 1 } }, 1000, 2000);
  EXPECT_EQ (sim.Status ("other"), CB_JOB_COMPLETED);
}

// Guards against urgent work that stays on a worker which responds but makes no
// progress.
TEST (Batch, StalledUrgentRunIsMoved)
{
  BatchSimulation sim (2, 2);

  sim.SubmitAndRun ("u", 0, { { 1, 8 } }, 3000, 1000);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  first->stalled = true;
  sim.Advance (3500);
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (sim.Running ("u"), 1);
  sim.Advance (3500);
  EXPECT_EQ (sim.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against a run that counts as stalled after it has ended, while the log is
// unavailable for the record of its end: the worker was then commanded to stop it and
// was quarantined (inc-1113, inc-4ef4: run_stalled during outages of the store).
TEST (Batch, RunWhoseEndWaitsForTheLogIsNotStalled)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("u", 0, { { 1, 8 } }, 1000, 500);
  sim.log_unavailable = true;
  for (int i = 0; i < 40; i++)
    {
      sim.Advance (100);
      EXPECT_EQ (sim.workers[0]->absent, std::set<std::string> ());
    }
  sim.log_unavailable = false;
  sim.Advance (500);
  EXPECT_EQ (sim.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against work that is stopped again and again because its worker reports no
// progress (the test RestartedAgentLeavesTheWorkersTasksAlone never ended in CI).
TEST (Batch, WorkWithoutReportedProgressEnds)
{
  BatchSimulation sim (1, 1);

  sim.workers[0]->reports_no_progress = true;
  sim.SubmitAndRun ("u", 0, { { 1, 8 } }, 6000, 12000);
  EXPECT_EQ (sim.Status ("u"), CB_JOB_COMPLETED);
}

// Guards against a worker that gets no work any more after it was unreachable for
// longer than its lease (soak seed 1 under load: accepted jobs stayed queued).
TEST (Batch, WorkerThatReturnsAfterItsLeaseGetsWork)
{
  BatchSimulation sim (1, 1);

  sim.workers[0]->reachable = false;
  sim.Advance (12000);
  sim.workers[0]->reachable = true;
  sim.Submit ("j", 0, { { 1, 8 } });
  sim.Advance (2500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Returns the record that an entry appends when it starts.
Cb__BatchRecord *
EntryStarted (const std::string &name, const std::string &identity)
{
  Cb__BatchRecord *record = BatchSimulation::NewRecord (CB__BATCH_RECORD__BODY_AGENT);

  record->agent = NewMessage<Cb__BatchAgent> (&cb__batch_agent__descriptor);
  record->agent->entry = TRUE;
  cb_msg_set_string (&record->agent->name, name.c_str ());
  cb_msg_set_string (&record->agent->address, "10.0.0.1:80");
  cb_msg_set_string (&record->agent->identity, identity.c_str ());
  return record;
}

// Guards against a scheduler role that stays with a terminated process until its
// heartbeats are missed, although its entry has started again (1.3 s after a power
// failure of the whole site).
TEST (Batch, RestartOfTheSchedulersEntryFreesItsRole)
{
  BatchSimulation sim (1, 1);
  Cb__BatchRecord *claim = BatchSimulation::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);

  claim->claim = NewMessage<Cb__BatchClaim> (&cb__batch_claim__descriptor);
  cb_msg_set_string (&claim->claim->entry, "e1#100");
  claim->claim->replaces_epoch = sim.epoch;
  sim.Append (claim);
  EXPECT_STREQ (cb_batch_scheduler (sim.standby), "e1#100");
  for (const char *other : { "e1#100", "e11#200", "e2#200" })
    {
      std::string identity = other;
      sim.Append (EntryStarted (identity.substr (0, identity.find ('#')), identity));
      EXPECT_GT (cb_batch_scheduler_seen_ms (sim.standby), 0) << other;
    }
  sim.Append (EntryStarted ("e1", "e1#200"));
  EXPECT_EQ (cb_batch_scheduler_seen_ms (sim.standby), 0);
  EXPECT_STREQ (cb_batch_scheduler (sim.standby), "");
}

// Guards against less urgent work that takes the first worker that reports after a
// takeover, while urgent work waits.
TEST (Batch, NewSchedulerWaitsForReportsBeforePlacement)
{
  BatchSimulation sim (4, 2);

  sim.Append (sim.NewHeartbeat ());
  sim.workers[1]->reachable = sim.workers[2]->reachable = false;
  sim.Claim (sim.standby);
  sim.Submit ("later", 2, { { 8, 1 } });
  sim.Submit ("urgent", 0, { { 2, 8 } });
  sim.Advance (200);
  EXPECT_EQ (sim.first_start_ms.size (), 0u);
  sim.workers[1]->reachable = sim.workers[2]->reachable = true;
  sim.Advance (110);
  EXPECT_EQ (sim.Running ("urgent"), 2);
}

// Guards against a new scheduler that waits for workers which are unavailable.
TEST (Batch, NewSchedulerDoesNotWaitForUnavailableWorkers)
{
  BatchSimulation sim (4, 2);

  sim.Append (sim.NewHeartbeat ());
  sim.workers[1]->reachable = false;
  sim.Claim (sim.standby);
  sim.Submit ("urgent", 0, { { 1, 8 } });
  sim.Advance (400);
  EXPECT_EQ (sim.Running ("urgent"), 1);
}

TEST (Batch, DrainingWorkerGetsNoWork)
{
  BatchSimulation sim (2, 2);

  sim.workers[0]->draining = true;
  sim.Advance (200);
  sim.SubmitAndRun ("j", 0, { { 16, 1 } }, 60000, 500);
  EXPECT_EQ (sim.workers[0]->running.size (), 0u);
  EXPECT_EQ (sim.workers[1]->running.size (), 8u);
}

// A record that is appended twice, after a lost reply, has no further effect.
TEST (Batch, RepeatedRecordsHaveNoSecondEffect)
{
  BatchSimulation sim (3, 3);

  sim.keep_log = true;
  for (int i = 0; i < 6; i++)
    sim.Submit ("j" + std::to_string (i), i % 3, { { 4, 2 } });
  sim.failing_runs["j1.0.0.0"] = 1;
  sim.Advance (8000);
  cb_batch_t *twice = cb_batch_new (&sim.params);
  Cb__BatchRecord *claim = BatchSimulation::NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
  claim->claim =
      static_cast<Cb__BatchClaim *> (cb_msg_new (&cb__batch_claim__descriptor));
  cb_batch_apply (twice, 0, claim, 1, 1);
  cb_msg_free (claim);
  for (size_t i = 0; i < sim.log.size (); i++)
    for (int k = 0; k < 2; k++)
      {
        Cb__BatchRecord *record =
            cb__batch_record__unpack (nullptr, sim.log[i].size (), sim.log[i].data ());
        cb_batch_apply (twice, i + 1, record, sim.now, sim.now);
        cb_msg_free (record);
      }
  for (int i = 0; i < 6; i++)
    {
      std::string id = "j" + std::to_string (i);
      EXPECT_EQ (sim.Status (id), CB_JOB_COMPLETED);
      EXPECT_EQ (cb_batch_job_status (twice, id.c_str ()), CB_JOB_COMPLETED);
    }
  cb_batch_free (twice);
}

// The snapshot of a state that was loaded from a snapshot equals the loaded one.
TEST (Batch, SnapshotHoldsTheWholeState)
{
  BatchSimulation sim (3, 3);

  sim.run_time_ms["long"] = 60000;
  sim.Submit ("long", 1, { { 3, 2, 1000, true } });
  sim.Submit ("short", 1, { { 30, 1 }, { 2, 1 } });
  sim.Submit ("gone", 2, { { 2, 1 } });
  sim.Cancel ("gone");
  sim.failing_runs["short.0.0.3"] = 1;
  sim.Advance (1500);
  Cb__BatchSnapshot *first = cb_batch_save_snapshot (sim.primary, 77, sim.now);
  cb_batch_t *copy = cb_batch_new (&sim.params);
  cb_batch_load_snapshot (copy, first, sim.now, sim.now);
  Cb__BatchSnapshot *second = cb_batch_save_snapshot (copy, 77, sim.now);
  EXPECT_TRUE (cb_msg_equal (&first->base, &second->base));
  EXPECT_EQ (cb_batch_job_status (copy, "long"), CB_JOB_RUNNING);
  EXPECT_EQ (cb_batch_job_status (copy, "gone"), CB_JOB_CANCELED);
  cb_msg_free (first);
  cb_msg_free (second);
  cb_batch_free (copy);
}

// Guards against a job that counts as running, and not as pending, as the log has
// starts of it that its workers have refused or never seen.
TEST (Batch, JobIsPendingUntilATaskHasBegun)
{
  for (bool refused : { true, false })
    {
      BatchSimulation sim (3, 3);

      for (auto &w : sim.workers)
        (refused ? w->rejects_starts : w->calls_lost) = true;
      sim.Submit ("j", 1, { { 1, 8 } });
      for (int i = 0; i < 30; i++)
        {
          sim.Advance (100);
          for (cb_batch_t *replica : sim.Replicas ())
            EXPECT_EQ (cb_batch_pending_jobs (replica, "q1"), 1u) << refused << i;
          EXPECT_EQ (sim.Status ("j"), CB_JOB_QUEUED);
        }
      for (auto &w : sim.workers)
        w->rejects_starts = w->calls_lost = false;
      sim.run_time_ms["j"] = 60000;
      sim.AdvanceUntilRunning ("j", 10000);
      ASSERT_EQ (sim.Running ("j"), 1);
      sim.Advance (500);
      for (cb_batch_t *replica : sim.Replicas ())
        EXPECT_EQ (cb_batch_pending_jobs (replica, "q1"), 0u) << refused;
      EXPECT_EQ (sim.Status ("j"), CB_JOB_RUNNING);
    }
}

// Guards against a job that counts as pending again, as the worker of its only run was
// lost, its scheduler replaced or the record that it has begun refused.
TEST (Batch, JobThatHasBegunIsNotPendingAgain)
{
  BatchSimulation sim (1, 1);

  sim.run_time_ms["j"] = 60000;
  sim.log_refuses = true;
  sim.Submit ("j", 1, { { 1, 8 } });
  sim.Advance (100);
  sim.log_refuses = false;
  sim.AdvanceUntilRunning ("j", 1000);
  sim.log_refuses = true;
  sim.Advance (500);
  sim.log_refuses = false;
  sim.Advance (5000);
  EXPECT_EQ (cb_batch_pending_jobs (sim.standby, "q1"), 0u);
  sim.Lose (*sim.workers[0]);
  sim.Advance (20000);
  EXPECT_EQ (sim.Running ("j"), 0);
  EXPECT_EQ (cb_batch_pending_jobs (sim.standby, "q1"), 0u);
  sim.ReloadIdle ();
  sim.TakeOver ();
  sim.Advance (1000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_RUNNING);
  EXPECT_EQ (cb_batch_pending_jobs (sim.standby, "q1"), 0u);
}

// Starts and ends whose record was definitely not appended are decided again.
TEST (Batch, RecordsThatWereNotAppendedAreProposedAgain)
{
  BatchSimulation sim (1, 1);

  sim.Submit ("j", 1, { { 2, 1 } });
  cb_batch_tick (sim.primary, sim.now, sim.now);
  Cb__BatchRecord *lost = cb_batch_pop_record (sim.primary);
  ASSERT_NE (lost, nullptr);
  ASSERT_EQ (lost->body_case, CB__BATCH_RECORD__BODY_STARTS);
  cb_batch_append_failed (sim.primary, lost, FALSE, sim.now);
  cb_msg_free (lost);
  sim.Advance (2500);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a process that ends, again and again after each restart, because of
// one odd record in the log or in a snapshot: a job with more tasks than memory,
// without steps, or whose step depends on one that does not exist.
TEST (Batch, OddRecordsAreSkipped)
{
  BatchSimulation sim (1, 1);
  const std::vector<StepSpec> odd_steps[] = {
    { { 4294967295u, 1 } },
    {},
    { { 0, 1 } },
    { { 1, 1, 1000, false, false, false, 0, { 7 } } },
    { { 1, 1, 1000, false, false, false, 0, { 0 } } },
  };

  for (const auto &steps : odd_steps)
    sim.Submit ("odd", 0, steps);
  sim.times = 4000000000u;
  sim.Submit ("often", 0, { { 1, 1 } });
  sim.times = 0;
  for (auto body : { CB__BATCH_RECORD__BODY__NOT_SET, CB__BATCH_RECORD__BODY_STARTS,
                     CB__BATCH_RECORD__BODY_ENDS })
    {
      Cb__BatchRecord *record = BatchSimulation::NewRecord (body);

      record->epoch = sim.epoch;
      if (body == CB__BATCH_RECORD__BODY_STARTS)
        {
          record->starts = NewMessage<Cb__BatchStarts> (&cb__batch_starts__descriptor);
          cb_msg_append (reinterpret_cast<void ***> (&record->starts->starts),
                         &record->starts->n_starts,
                         cb_msg_new (&cb__task_start__descriptor));
        }
      else if (body == CB__BATCH_RECORD__BODY_ENDS)
        {
          record->ends = NewMessage<Cb__BatchEnds> (&cb__batch_ends__descriptor);
          cb_msg_append (reinterpret_cast<void ***> (&record->ends->ends),
                         &record->ends->n_ends, cb_msg_new (&cb__task_end__descriptor));
        }
      sim.Append (record);
    }
  EXPECT_EQ (sim.Status ("odd"), CB_JOB_UNKNOWN);
  EXPECT_EQ (sim.Status ("often"), CB_JOB_UNKNOWN);
  sim.Submit ("good", 0, { { 1, 1 } });
  sim.Advance (2000);
  EXPECT_EQ (sim.Status ("good"), CB_JOB_COMPLETED);
}

} // namespace
