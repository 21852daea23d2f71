// Tests the limits on workers that fail or stall what they run: a worker that fails its
// runs is free again at once, and on a full fleet would get all waiting work.
#include <random>

#include "test/batch_harness.h"

namespace
{

// Guards against jobs that use up their attempts on one worker which fails all its
// runs: on a full fleet with more work waiting, jobs of three attempts failed within a
// second (9 of 24 order sheets in the trial armor-grown scale-2).
TEST (BatchTrust, WorkerThatFailsEverythingDoesNotUseUpAttempts)
{
  BatchSimulation sim (12, 3);
  const int jobs = 16;

  for (int i = 0; i < jobs; i++)
    {
      std::string id = "j" + std::to_string (i);
      sim.run_time_ms[id] = 6000;
      sim.Submit (id, 2, { { 12, 1, 5600 } });
    }
  sim.Advance (2000);
  sim.workers[4]->fails_all = true;
  sim.Advance (7000);
  sim.workers[4]->fails_all = false;
  sim.Advance (40000);
  for (int i = 0; i < jobs; i++)
    EXPECT_EQ (sim.Status ("j" + std::to_string (i)), CB_JOB_COMPLETED) << i;
  /* The runs that it had, and one probe after each quarantine of 1, 2 and 4 s. */
  EXPECT_LE (sim.failed_runs, 8 + 3);
}

// Guards against gangs as probes of a worker that fails everything: each probe ends a
// whole gang.
TEST (BatchTrust, GangsAreNotUsedAsProbes)
{
  BatchSimulation sim (6, 3);
  int gangs = 0;

  sim.workers[2]->fails_all = true;
  for (int i = 0; i < 30; i++)
    {
      std::string id = "g" + std::to_string (i);
      sim.run_time_ms[id] = 1500;
      sim.Submit (id, 0, { { 4, 8, 7500, true, false } }, "acc", 3);
      sim.Advance (500);
    }
  sim.Advance (60000);
  for (int i = 0; i < 30; i++)
    gangs += sim.Status ("g" + std::to_string (i)) == CB_JOB_COMPLETED;
  EXPECT_EQ (gangs, 30);
}

// Guards against a worker that is never used again after it has failed some runs.
TEST (BatchTrust, RecoveredWorkerIsUsedAgain)
{
  BatchSimulation sim (3, 3);

  sim.workers[0]->fails_all = true;
  sim.SubmitAndRun ("j", 2, { { 60, 1 } }, 2000, 4000);
  sim.workers[0]->fails_all = false;
  sim.SubmitAndRun ("k", 0, { { 200, 1 } }, 2000, 14000);
  EXPECT_GE (sim.workers[0]->running.size (), 7u);
}

// Guards against a job that fails on all workers and so makes them untrusted for other
// work.
TEST (BatchTrust, FailingJobDoesNotMakeTheFleetUntrusted)
{
  BatchSimulation sim (9, 3);

  for (int i = 0; i < 36; i++)
    sim.failing_runs["bad.0.0." + std::to_string (i)] = 100;
  sim.SubmitAndRun ("bad", 1, { { 36, 1 } }, 300, 400);
  for (int i = 0; i < 8; i++)
    {
      sim.run_time_ms["u" + std::to_string (i)] = 2000;
      sim.Submit ("u" + std::to_string (i), 0, { { 1, 4, 7500 } });
    }
  sim.Advance (1250);
  for (int i = 0; i < 8; i++)
    EXPECT_EQ (sim.first_start_ms.count ("u" + std::to_string (i) + ".0.0.0"), 1u);
  EXPECT_EQ (sim.Status ("bad"), CB_JOB_FAILED);
}

// Guards against a failed task that runs next on the worker where it has just failed.
TEST (BatchTrust, FailedTaskGoesToAnotherWorker)
{
  BatchSimulation sim (2, 2);

  sim.failing_runs["j.0.0.0"] = 1;
  sim.SubmitAndRun ("j", 1, { { 1, 1 } }, 1000, 500);
  Worker *first = sim.FirstBusyWorker ();
  ASSERT_NE (first, nullptr);
  sim.Advance (900);
  ASSERT_NE (sim.FirstBusyWorker (), nullptr);
  EXPECT_NE (sim.FirstBusyWorker (), first);
}

// Guards against a task that never starts although most workers are free: the fullest
// worker that seems to hold it rejects each start, and was chosen again each time.
TEST (BatchTrust, TaskLeavesAWorkerThatRejectsIt)
{
  BatchSimulation sim (3, 1);

  sim.SubmitAndRun ("other", 1, { { 7, 1 } }, 60000, 500);
  Worker *fullest = sim.FirstBusyWorker ();
  ASSERT_NE (fullest, nullptr);
  fullest->rejects_starts = true;
  sim.SubmitAndRun ("task", 2, { { 1, 1 } }, 500, 2000);
  EXPECT_EQ (sim.Status ("task"), CB_JOB_COMPLETED);
}

// Guards against a failed task that waits without end for trusted workers that work
// which never ends occupies, while the worker that it failed on is free.
TEST (BatchTrust, FailedTaskDoesNotWaitForWorkersThatAreNeverFree)
{
  BatchSimulation sim (3, 3);
  StepSpec daemon = { 2, 8 };

  daemon.daemon = true;
  sim.SubmitAndRun ("d", 0, { daemon }, 600000, 300);
  ASSERT_EQ (sim.Running ("d"), 2);
  for (auto &w : sim.workers)
    w->fails_all = w->running.empty ();
  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, 200);
  ASSERT_EQ (sim.failed_runs, 1);
  for (auto &w : sim.workers)
    w->fails_all = false;
  EXPECT_LT (sim.AdvanceUntilRunning ("j", 60000), 10000);
}

// Makes each of seven workers of eleven refuse all starts, others for each SEED.
void
MakeSevenUnhealthy (BatchSimulation &sim, unsigned seed)
{
  std::vector<size_t> order (sim.workers.size ());

  for (size_t i = 0; i < order.size (); i++)
    order[i] = i;
  std::shuffle (order.begin (), order.end (), std::mt19937 (seed));
  for (size_t i = 0; i < 7; i++)
    sim.workers[order[i]]->unhealthy = true;
}

// Guards against work that is started on one unhealthy worker after the other, or on
// the same again, while others are empty.
TEST (BatchTrust, WorkLeavesUnhealthyWorkersAtOnce)
{
  for (bool gang : { false, true })
    for (unsigned seed = 1; seed <= 20; seed++)
      {
        BatchSimulation sim (11, 3);
        StepSpec step = { 1, 8 };

        step.count = gang ? 2 : 1;
        step.gang = gang;
        MakeSevenUnhealthy (sim, seed);
        sim.run_time_ms["j"] = 5000;
        sim.Submit ("j", 1, { step });
        cb_msec_t since = sim.now;
        while (sim.Running ("j") < static_cast<int> (step.count) &&
               sim.now < since + 20000)
          sim.Advance (10);
        EXPECT_LE (sim.now - since, 1000) << gang << " " << seed;
      }
}

// Guards against a worker that gets many starts while it refuses them all, and none for
// long once it does not.
TEST (BatchTrust, UnhealthyWorkerIsTriedWithOneStartAtATime)
{
  BatchSimulation sim (2, 3);
  StepSpec step = { 16, 1 };

  step.label = "b";
  sim.workers[1]->kind = "b";
  sim.workers[1]->unhealthy = true;
  sim.SubmitAndRun ("j", 1, { step }, 60000, 6500);
  // The first starts come together.
  EXPECT_LE (sim.unhealthy_starts, 8 + 6);
  sim.workers[1]->unhealthy = false;
  sim.Advance (3000);
  EXPECT_EQ (sim.Running ("j"), 8);
}

} // namespace
