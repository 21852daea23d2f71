// Tests gangs that run faster on one rack (same_rack): they wait for a rack only while
// that is of use, and otherwise start over several racks.
#include "test/batch_harness.h"

namespace
{

// Returns a step of two members that need a whole worker each and prefer one rack.
StepSpec
NewGang ()
{
  StepSpec gang = { 2, 8, 1000, true, true };

  gang.estimate_ms = 4000;
  return gang;
}

// Starts a task of one accelerator, which takes TASK_MS, or never ends with DAEMON, on
// all workers of SIM but one in each rack. A rack has PER_RACK workers.
void
OccupyAllButOneOfEachRack (BatchSimulation &sim, uint32_t per_rack, cb_msec_t task_ms,
                           bool daemon)
{
  for (size_t rack = 0; rack * per_rack < sim.workers.size (); rack++)
    {
      StepSpec step;
      std::string id = "s" + std::to_string (rack);

      step.count = per_rack - 1;
      step.per_worker_max = 1;
      step.daemon = daemon;
      step.estimate_ms = static_cast<uint32_t> (task_ms);
      step.label = "r" + std::to_string (rack);
      sim.run_time_ms[id] = task_ms;
      sim.Submit (id, 0, { step });
    }
  sim.Advance (300);
  for (size_t i = 0; i < sim.workers.size (); i++)
    ASSERT_EQ (sim.workers[i]->running.empty (), i % per_rack == per_rack - 1);
}

// Guards against logs and metrics that do not tell a gang that waits for a rack, while
// several racks together hold it, from work that has no room.
TEST (BatchRack, ReasonOfAGangThatWaitsForARackIsKnown)
{
  BatchSimulation sim (9, 3);

  OccupyAllButOneOfEachRack (sim, 3, 6000, false);
  sim.SubmitAndRun ("g", 1, { NewGang () }, 4000, 2600);
  EXPECT_EQ (cb_batch_wait (sim.primary).reason, CB_WAIT_RACK);
  StepSpec four = NewGang ();
  four.count = 4;
  sim.Cancel ("g");
  sim.SubmitAndRun ("h", 1, { four }, 4000, 2600);
  EXPECT_EQ (cb_batch_wait (sim.primary).reason, CB_WAIT_NO_ROOM);
}

}
