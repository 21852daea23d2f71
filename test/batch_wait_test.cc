// Tests that work does not wait without a bound: a task that may run on a fleet with
// room starts within a stated time, whatever has happened to its workers, to their
// reports and to the schedulers before.
#include "test/batch_play.h"

namespace
{

constexpr unsigned kPlays = 40;
constexpr unsigned kPlayMs = 40000;

// Advances the time, with a take-over each EVERY_MS, until a task of JOB runs or FOR_MS
// have passed. Returns the time that it took.
cb_msec_t
AdvanceWithTakeOvers (BatchSimulation &sim, const std::string &job, cb_msec_t every_ms,
                      cb_msec_t for_ms)
{
  cb_msec_t since = sim.now;

  while (sim.Running (job) == 0 && sim.now < since + for_ms)
    {
      sim.TakeOver ();
      sim.AdvanceUntilRunning (job, every_ms);
    }
  return sim.now - since;
}

// Guards against a task that waits for the lease of a lost worker anew after each
// take-over.
TEST (BatchWait, TakeOversDoNotProlongTheWaitForALostWorker)
{
  BatchSimulation sim (6, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 200000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Lose (*first);
  sim.Advance (3000);
  EXPECT_LE (AdvanceWithTakeOvers (sim, "j", 8000, 64000), LeaseBound (sim));
}

// Guards against the same where no scheduler has noticed the loss before the take-over.
TEST (BatchWait, TakeOverRightAfterALossDoesNotRepeatTheWait)
{
  BatchSimulation sim (6, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 200000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Lose (*first);
  EXPECT_LE (AdvanceWithTakeOvers (sim, "j", 8000, 64000), LeaseBound (sim));
}

// Guards against the same where a scheduler gets its role back after a short time.
TEST (BatchWait, RoleThatReturnsAfterAShortTimeDoesNotRepeatTheWait)
{
  BatchSimulation sim (6, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 200000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Lose (*first);
  sim.Advance (1000);
  cb_msec_t since = sim.now;
  for (int i = 0; i < 10 && sim.Running ("j") == 0; i++)
    {
      sim.TakeOver ();
      sim.AdvanceUntilRunning ("j", 600);
      sim.TakeOver ();
      sim.AdvanceUntilRunning ("j", 5400);
    }
  EXPECT_LE (sim.now - since, LeaseBound (sim));
}

// Guards against the same where the standby has begun from a snapshot.
TEST (BatchWait, SnapshotKeepsTheWaitForALostWorker)
{
  BatchSimulation sim (6, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 200000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Lose (*first);
  cb_msec_t since = sim.now;
  while (sim.Running ("j") == 0 && sim.now < since + 64000)
    {
      sim.TakeOver ();
      sim.AdvanceUntilRunning ("j", 8000);
      sim.ReloadIdle ();
    }
  EXPECT_LE (sim.now - since, LeaseBound (sim));
}

// Guards against a second run of a task that the next incarnation of a worker executes
// under a lease of its own: that the leases of the first one are over, as the log says,
// does not end the run.
TEST (BatchWait, RunOnASuccessorMovesOnlyAfterItsLeaseAlsoWithATakeOver)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 20000, 300);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  uint64_t lease_ms = first->lease_ms;
  first->reachable = false;
  first->Restart ();
  sim.Advance (4000);
  sim.StartForEarlierIncarnation (*first, "j.0.0.0", 1, 20000);
  first->lease_ms = lease_ms; // the call has the lease of the first incarnation
  first->calls_lost = true;
  first->reachable = true;
  sim.Advance (500);
  first->reachable = false;
  sim.TakeOver ();
  sim.Advance (LeaseBound (sim));
  EXPECT_EQ (first->running.size (), 0u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Lets another worker report once at the agent of W.
void
ReportOther (BatchSimulation &sim, const Worker &w)
{
  Worker other;

  other.id = "other";
  other.agent = w.agent;
  other.rack = w.rack;
  other.accelerators = 0;
  sim.HandleReport (w.agent, other);
}

// Guards against a worker that reports and gets no work any more, as another one has
// reported once at its agent.
TEST (BatchWait, WorkerThatReportsAgainAfterAnotherOneIsUsed)
{
  BatchSimulation sim (6, 3);

  sim.workers[2]->accelerators = 16;
  sim.Advance (1000);
  ReportOther (sim, *sim.workers[2]);
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 16 } });
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kStartMs);
}

// Guards against the same with a run on the worker, which has to go on.
TEST (BatchWait, BusyWorkerThatReportsAgainAfterAnotherOneIsUsed)
{
  BatchSimulation sim (6, 3);
  Worker &w = *sim.workers[2];

  w.accelerators = 24;
  sim.Advance (1000);
  sim.SubmitAndRun ("long", 1, { { 1, 9 } }, 20000, 500);
  ASSERT_EQ (w.running.size (), 1u);
  ReportOther (sim, w);
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 12 } });
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 12000), kStartMs);
  EXPECT_EQ (w.running.count ("long.0.0.0"), 1u);
  EXPECT_EQ (w.running["long.0.0.0"].run, 1u);
}

// Guards against a worker that is taken as running by a list that is not newer than its
// replacement.
TEST (BatchWait, RepeatedReportDoesNotBringAWorkerBack)
{
  BatchSimulation sim (6, 3);
  Worker &w = *sim.workers[2];

  sim.workers[2]->accelerators = 24;
  sim.Advance (1000);
  sim.SubmitAndRun ("long", 1, { { 1, 9 } }, 20000, 500);
  ASSERT_EQ (w.running.size (), 1u);
  ReportOther (sim, w);
  sim.RepeatReport (w);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w.agent.c_str (), TRUE, sim.now);
  EXPECT_STREQ (commands->worker, "other");
  cb_msg_free (commands);
}

// Guards against a run that is stopped as a single report lacked it.
TEST (BatchWait, RunThatOneReportLacksGoesOn)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 20000, 1000);
  Worker *w = sim.FirstBusyWorker ();
  ASSERT_NE (w, nullptr);
  Worker other = *w;
  other.running.clear ();
  sim.HandleReport (w->agent, other);
  sim.Advance (2000);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 1u);
  EXPECT_EQ (sim.stopped.size (), 0u);
}

// Guards against an idle job that logs and metrics do not explain.
TEST (BatchWait, ReasonOfAnIdleJobIsKnown)
{
  BatchSimulation sim (6, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 3000);
  EXPECT_EQ (cb_batch_wait (sim.primary).reason, CB_WAIT_NONE);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Lose (*first);
  sim.TakeOver ();
  sim.Advance (5000);
  cb_batch_wait_t wait = cb_batch_wait (sim.standby);
  EXPECT_EQ (wait.reason, CB_WAIT_WORKER_SILENT);
  EXPECT_STREQ (wait.job, "j");
  EXPECT_STREQ (wait.worker, first->id.c_str ());
  EXPECT_GE (wait.idle_ms, 4000);
  EXPECT_EQ (wait.jobs, 1u);
  EXPECT_EQ (wait.workers_usable, 5u);
  EXPECT_EQ (wait.workers_silent, 1u);
  EXPECT_EQ (cb_batch_wait (sim.primary).reason, CB_WAIT_NONE);
  sim.Advance (12000);
  EXPECT_EQ (cb_batch_wait (sim.standby).reason, CB_WAIT_NONE);
  sim.SubmitAndRun ("k", 1, { { 1, 16 } }, 60000, 4000);
  EXPECT_EQ (cb_batch_wait (sim.standby).reason, CB_WAIT_NO_WORKER);
}

// Guards against a worker that announced its end, reports again and gets no work.
TEST (BatchWait, WorkerThatReportsAgainAfterItsAnnouncedEndIsUsed)
{
  BatchSimulation sim (6, 3);

  sim.workers[2]->accelerators = 16;
  sim.Advance (1000);
  Cb__WorkerReport *report = sim.workers[2]->NewReport (sim.now);
  report->left = TRUE;
  cb_batch_handle_report (sim.primary, sim.workers[2]->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 16 } });
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kStartMs);
}

// Submits job J of one task of 20 s and takes its run out of its worker's lists AT_MS
// later. Returns the time until it runs again.
cb_msec_t
DropRun (BatchSimulation &sim, cb_msec_t at_ms)
{
  if (sim.Status ("j") == CB_JOB_UNKNOWN)
    sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 20000, 10);
  sim.Advance (at_ms);
  Worker *first = sim.FirstBusyWorker ();
  if (first == nullptr)
    return -1;
  first->running.clear ();
  return sim.AdvanceUntilRunning ("j", 30000);
}

// Guards against a task that never runs again, as its worker does not list it any more.
TEST (BatchWait, RunThatIsNotListedAnyMoreAtItsStartRunsAgain)
{
  BatchSimulation sim (6, 3);

  cb_msec_t waited_ms = DropRun (sim, 150); // at 0%
  EXPECT_GT (waited_ms, 0);
  EXPECT_LE (waited_ms, kStartMs + sim.params.stop_ms);
}

// Guards against the same in the middle of the work.
TEST (BatchWait, RunThatIsNotListedAnyMoreInItsMiddleRunsAgain)
{
  BatchSimulation sim (6, 3);

  cb_msec_t waited_ms = DropRun (sim, 10000);
  EXPECT_GT (waited_ms, 0);
  EXPECT_LE (waited_ms, kStartMs + sim.params.stop_ms);
}

// Guards against the same near the end of the work.
TEST (BatchWait, RunThatIsNotListedAnyMoreAtItsEndRunsAgain)
{
  BatchSimulation sim (6, 3);

  cb_msec_t waited_ms = DropRun (sim, 19500); // at 97%
  EXPECT_GT (waited_ms, 0);
  EXPECT_LE (waited_ms, kStartMs + sim.params.stop_ms);
}

// Guards against the same when it happens to a task for the second time.
TEST (BatchWait, RunThatIsNotListedAnyMoreTheSecondTimeRunsAgain)
{
  BatchSimulation sim (6, 3);

  ASSERT_LT (DropRun (sim, 3000), 30000);
  cb_msec_t waited_ms = DropRun (sim, 3000);
  EXPECT_GT (waited_ms, 0);
  EXPECT_LE (waited_ms, kStartMs + sim.params.stop_ms);
}

// Guards against a second run of a task after it was done, as the log refused the
// record of its end once and its worker was lost before the next report.
TEST (BatchWait, EndWhoseRecordWasRefusedIsNotForgotten)
{
  BatchSimulation sim (3, 3);

  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 1000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.log_refuses = true;
  sim.Advance (700);
  ASSERT_EQ (sim.done.count ("j.0.0.0"), 1u);
  sim.Lose (*first);
  sim.log_refuses = false;
  sim.Advance (LeaseBound (sim));
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Makes a fleet of which only worker w2 holds 16 accelerators.
void
MakeLargeWorker (BatchSimulation &sim)
{
  sim.workers[2]->accelerators = 16;
  sim.Advance (1000);
}

// Guards against a task that goes on to avoid the only worker that can hold it after
// this one rejected it for a while.
TEST (BatchWait, TaskReturnsToItsOnlyWorkerAfterRejections)
{
  BatchSimulation sim (6, 3);

  MakeLargeWorker (sim);
  sim.workers[2]->rejects_starts = true;
  sim.SubmitAndRun ("j", 1, { { 1, 16 } }, 60000, 6000);
  sim.workers[2]->rejects_starts = false;
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kStartMs);
}

// Guards against the same for one of two tasks, as the other one is running.
TEST (BatchWait, SecondTaskReturnsToItsOnlyWorkerAfterRejections)
{
  BatchSimulation sim (6, 3);

  MakeLargeWorker (sim);
  sim.workers[2]->rejects_starts = true;
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 1 }, { 1, 16 } });
  sim.Advance (4400);
  sim.workers[2]->rejects_starts = false;
  EXPECT_EQ (sim.Running ("j"), 1);
  sim.Advance (kStartMs);
  EXPECT_EQ (sim.Running ("j"), 2);
}

// Guards against a worker that failed all for a while and is kept from the only task
// that needs it after it has recovered.
TEST (BatchWait, TaskReturnsToItsOnlyWorkerAfterFailures)
{
  BatchSimulation sim (6, 3);

  MakeLargeWorker (sim);
  sim.workers[2]->fails_all = true;
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 16 } }, "acc", 100);
  sim.Advance (20000);
  sim.workers[2]->fails_all = false;
  sim.Advance (100);
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kStartMs);
}

// Guards against the same for one of two tasks, as the other one is running.
TEST (BatchWait, SecondTaskReturnsToItsOnlyWorkerAfterFailures)
{
  BatchSimulation sim (6, 3);

  MakeLargeWorker (sim);
  sim.workers[2]->fails_all = true;
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 1 }, { 1, 16 } }, "acc", 100);
  sim.Advance (8000);
  sim.workers[2]->fails_all = false;
  sim.Advance (kStartMs);
  EXPECT_EQ (sim.Running ("j"), 2);
}

// Guards against a task that waits for a minute after one refusal of its record.
TEST (BatchWait, TaskOfARecordThatWasRefusedOnceStarts)
{
  BatchSimulation sim (6, 3);

  sim.too_large_records = 1;
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 8 } });
  sim.Advance (100);
  ASSERT_EQ (sim.refused_records, 1);
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 70000), kStartMs);
}

// Guards against starts that wait long after the log has refused all records for a
// while.
TEST (BatchWait, TaskStartsAfterTheLogHasRefusedRecordsForAWhile)
{
  BatchSimulation sim (6, 3);

  sim.too_large_records = 1000000;
  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 8 } });
  sim.Advance (20000);
  ASSERT_GE (sim.refused_records, 1);
  sim.too_large_records = 0;
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 70000), kStartMs);
}

// Returns the number in the environment variable NAME, or FALLBACK.
unsigned
EnvNumber (const char *name, unsigned fallback)
{
  const char *text = getenv (name);

  return text == nullptr ? fallback : static_cast<unsigned> (atoi (text));
}

// Plays random faults; with LATE_STARTS also such as meet starts that are executed
// late. BATCH_PLAY_SEED=N plays only this seed and logs its events, with
// BATCH_PLAY_COUNT=M the M seeds from there on.
void
PlayRandomFaults (bool late_starts)
{
  bool chosen = getenv ("BATCH_PLAY_SEED") != nullptr;
  unsigned first = EnvNumber ("BATCH_PLAY_SEED", 1);
  unsigned count = EnvNumber ("BATCH_PLAY_COUNT", chosen ? 1 : kPlays);
  int failed = 0;

  printf ("%u plays of %u s, seeds %u to %u\n", count, kPlayMs / 1000, first,
          first + count - 1);
  cb_event_set_budget (1000000);
  if (count > 1)
    cb_log_set_level (CB_LOG_ERROR);
  for (unsigned seed = first; seed < first + count && failed < 10; seed++)
    {
      RandomPlay play (seed, late_starts);
      play.verbose = count == 1;
      std::string failure = play.Run (kPlayMs);
      EXPECT_EQ (failure, "") << "BATCH_PLAY_SEED=" << seed;
      failed += !failure.empty ();
    }
  cb_log_set_level (CB_LOG_INFO);
}

// Guards against any wait without a bound that random faults lead to.
TEST (BatchWait, RandomFaultsLeaveNoTaskWaiting)
{
  PlayRandomFaults (false);
}

// Guards against a run that a late start begins after it was taken as lost, and against
// a wait without a bound for workers that may have such starts.
TEST (BatchWait, RandomFaultsWithLateStartsLeaveNoTaskWaiting)
{
  PlayRandomFaults (true);
}

} // namespace
