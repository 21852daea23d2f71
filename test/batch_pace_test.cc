// Tests the pace of filler tasks: they must not keep the latency of serving tasks over
// its target, nor be slowed down for longer than necessary.
#include "test/batch_harness.h"

namespace
{

// Time for which the platform tolerates a latency over the target that filler tasks
// cause.
const cb_msec_t kOverTargetMaxMs = 4000;

StepSpec
ServingStep (uint32_t target_ms)
{
  StepSpec step = { 1, 1, 4000 };

  step.target_ms = target_ms;
  return step;
}

StepSpec
FillerStep (uint32_t count)
{
  StepSpec step = { count, 1, 4000 };

  step.fills = true;
  return step;
}

TEST (BatchPace, FillerTasksAreSlowedDownInTime)
{
  BatchSimulation sim (1, 1);
  cb_msec_t over_ms = 0;

  sim.run_time_ms["s"] = 600000;
  sim.run_time_ms["f"] = 600000;
  sim.workers[0]->latency_ms = 30;
  sim.Submit ("s", 0, { ServingStep (50) });
  sim.Submit ("f", 0, { FillerStep (4) });
  for (int i = 0; i < 100; i++)
    {
      sim.Advance (100);
      over_ms = sim.workers[0]->ServingLatency () > 50 ? over_ms + 100 : 0;
      EXPECT_LT (over_ms, kOverTargetMaxMs);
    }
  EXPECT_EQ (sim.Running ("f"), 4);
}

// Guards against filler tasks that stay slowed down after the latency of the serving
// task has fallen.
TEST (BatchPace, FillerTasksSpeedUpAgain)
{
  BatchSimulation sim (1, 1);

  sim.run_time_ms["s"] = 600000;
  sim.run_time_ms["f"] = 600000;
  sim.workers[0]->latency_ms = 200;
  sim.workers[0]->filler_latency_ms = 1;
  sim.Submit ("s", 0, { ServingStep (50) });
  sim.Submit ("f", 0, { FillerStep (1) });
  sim.Advance (5000);
  EXPECT_EQ (sim.workers[0]->running.at ("f.0.0.0").pace, 0u);
  sim.workers[0]->latency_ms = 10;
  sim.Advance (15000);
  EXPECT_EQ (sim.workers[0]->running.at ("f.0.0.0").pace, 100u);
}

TEST (BatchPace, FillerAndServingTasksUseDifferentWorkersIfPossible)
{
  BatchSimulation sim (2, 2);

  sim.run_time_ms["s"] = 600000;
  sim.run_time_ms["f"] = 600000;
  sim.Submit ("s", 0, { ServingStep (50) });
  sim.Advance (300);
  sim.Submit ("f", 0, { FillerStep (2) });
  sim.Advance (300);
  for (const auto &w : sim.workers)
    EXPECT_TRUE (w->running.count ("s.0.0.0") == 0 || w->running.size () == 1);
  EXPECT_EQ (sim.Running ("f"), 2);
}

// Filler tasks need no free cores: a worker whose cores are all allocated can run them.
TEST (BatchPace, FillerTasksNeedNoFreeCores)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("b", 0, { { 1, 1, 64000 } }, 600000, 300);
  sim.run_time_ms["f"] = 600000;
  sim.Submit ("f", 0, { FillerStep (3) });
  sim.Advance (300);
  EXPECT_EQ (sim.Running ("f"), 3);
  EXPECT_EQ (sim.workers[0]->running.at ("f.0.0.0").pace, 100u);
}

} // namespace
