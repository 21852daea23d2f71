// Guards against workers that fail or stall what they run: each is empty again at once,
// so that on a full fleet it would get all work that waits.
#include "test/batch_harness.h"

namespace
{

// A fleet that is full, with more work waiting, and one worker that fails all that it
// starts: jobs of three attempts were given up within a second (hunt: 9 of 24 order
// sheets on armor-grown scale-2).
TEST (BatchTrust, WorkerThatFailsEverythingDoesNotUseUpAttempts)
{
  BatchSite site (12, 3);
  const int jobs = 16;

  for (int i = 0; i < jobs; i++)
    {
      std::string id = "j" + std::to_string (i);
      site.length_ms[id] = 6000;
      site.Submit (id, 2, { { 12, 1, 5600 } });
    }
  site.Advance (2000);
  site.workers[4]->fails = true;
  site.Advance (7000);
  site.workers[4]->fails = false;
  site.Advance (40000);
  for (int i = 0; i < jobs; i++)
    EXPECT_EQ (site.Status ("j" + std::to_string (i)), CB_JOB_COMPLETED) << i;
  /* The runs that were there, and a probe for each doubling of 1 s within 7 s. */
  EXPECT_LE (site.failed_runs, 8 + 3);
}

// Guards against whole gangs that end with each try of a worker that fails everything.
TEST (BatchTrust, GangsAreNoProbes)
{
  BatchSite site (6, 3);
  int gangs = 0;

  site.workers[2]->fails = true;
  for (int i = 0; i < 30; i++)
    {
      std::string id = "g" + std::to_string (i);
      site.length_ms[id] = 1500;
      site.Submit (id, 0, { { 4, 8, 7500, true, false } }, "acc", 3);
      site.Advance (500);
    }
  site.Advance (60000);
  for (int i = 0; i < 30; i++)
    gangs += site.Status ("g" + std::to_string (i)) == CB_JOB_COMPLETED;
  EXPECT_EQ (gangs, 30);
}

// Guards against a worker that is never used again after it has failed some runs.
TEST (BatchTrust, SoundWorkerIsUsedAgain)
{
  BatchSite site (3, 3);

  site.workers[0]->fails = true;
  site.SubmitAndRun ("j", 2, { { 60, 1 } }, 2000, 4000);
  site.workers[0]->fails = false;
  site.SubmitAndRun ("k", 0, { { 200, 1 } }, 2000, 14000);
  EXPECT_GE (site.workers[0]->running.size (), 7u);
}

// Guards against work that can never be done taking sound workers from other work.
TEST (BatchTrust, HopelessJobSetsNoFleetAside)
{
  BatchSite site (9, 3);

  for (int i = 0; i < 36; i++)
    site.fails["bad.0.0." + std::to_string (i)] = 100;
  site.SubmitAndRun ("bad", 1, { { 36, 1 } }, 300, 400);
  for (int i = 0; i < 8; i++)
    {
      site.length_ms["u" + std::to_string (i)] = 2000;
      site.Submit ("u" + std::to_string (i), 0, { { 1, 4, 7500 } });
    }
  site.Advance (1250);
  for (int i = 0; i < 8; i++)
    EXPECT_EQ (site.first_start_ms.count ("u" + std::to_string (i) + ".0.0.0"), 1u);
  EXPECT_EQ (site.Status ("bad"), CB_JOB_FAILED);
}

// Guards against a task whose next run goes to the worker where it has just failed.
TEST (BatchTrust, FailedTaskGoesToAnotherWorker)
{
  BatchSite site (2, 2);

  site.fails["j.0.0.0"] = 1;
  site.SubmitAndRun ("j", 1, { { 1, 1 } }, 1000, 500);
  Worker *first = site.Busy ();
  ASSERT_NE (first, nullptr);
  site.Advance (900);
  ASSERT_NE (site.Busy (), nullptr);
  EXPECT_NE (site.Busy (), first);
}

} // namespace
