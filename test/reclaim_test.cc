// Preemption for urgent work, large jobs and owners of pins, and the status of urgent
// work for which no preemption suffices.
#include "test/sched_harness.h"

namespace
{

JobSpec
Spec (const char *account, const std::string &key, const char *kind, uint32_t members,
      uint32_t accelerators, bool urgent = false, int64_t run_ms = 3600000)
{
  JobSpec s;
  s.account = account;
  s.key = key;
  s.kind = kind;
  s.members = members;
  s.accelerators = accelerators;
  s.urgent = urgent;
  s.run_ms = run_ms;
  return s;
}

void
ExpectUrgentStart (Cell &cell, const char *account, const char *key)
{
  cell.Run (CB_URGENT_START_MS);
  cell.Check ();
  ASSERT_EQ (cell.State (account, key), CB__JOB_STATE__JOB_RUNNING);
  EXPECT_LE (cell.running_at[Cell::Id (account, key)] -
                 cell.added_at[Cell::Id (account, key)],
             CB_URGENT_START_MS);
}

// Urgent work of an account at its quota must preempt the account's other jobs: a wait
// for the quota would exceed CB_URGENT_START_MS.
TEST (Reclaim, UrgentPreemptsOwnJobsAtTheQuota)
{
  Site site (1, 1, 2, 8);
  site.Account ("a", 8);
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 4; i++)
    cell.Add (Spec ("a", std::to_string (i), "batch", 1, 2));
  cell.Run (1000);
  EXPECT_EQ (cell.Totals ().accelerators_used, 8u);
  cell.Add (Spec ("a", "u", "steady", 1, 4, true));
  ExpectUrgentStart (cell, "a", "u");
  EXPECT_EQ (cell.Totals ().accelerators_used, 8u);
}

// Urgent work must preempt other jobs of its account that hold the account's pin.
TEST (Reclaim, UrgentTakesOwnPin)
{
  Site site (1, 1, 1, 8);
  site.Account ("a", 0, 1, 8);
  Cell cell (site);
  cell.Run (200);
  cell.Add (Spec ("a", "b", "batch", 1, 8));
  cell.Run (1000);
  cell.Add (Spec ("a", "u", "steady", 1, 8, true));
  ExpectUrgentStart (cell, "a", "u");
}

// A job that was started after it preempted others must be preemptible itself: such
// jobs were missing in the index of preemptible accelerators.
TEST (Reclaim, JobStartedByPreemptionCanBePreempted)
{
  Site site (1, 1, 1, 8);
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 2; i++)
    cell.Add (Spec ("a", std::to_string (i), "batch", 1, 4));
  cell.Run (1000);
  cell.Add (Spec ("b", "large", "batch", 1, 8));
  cell.Run (65000);
  ASSERT_EQ (cell.State ("b", "large"), CB__JOB_STATE__JOB_RUNNING);
  cell.Add (Spec ("c", "u", "steady", 1, 8, true));
  ExpectUrgentStart (cell, "c", "u");
}

// When an agent does not answer, urgent work must try another worker before the
// reservation time of CB_RESERVE_TTL_MS is over.
TEST (Reclaim, UrgentTriesAnotherWorkerWhenAnAgentIsSilent)
{
  Site site (1, 1, 2, 8);
  Cell cell (site);
  cell.Run (200);
  cell.down_agents.insert ("w0");
  cell.Add (Spec ("a", "u", "steady", 1, 8, true));
  ExpectUrgentStart (cell, "a", "u");
}

// Urgent work that can't start in time must become ordinary work, and its status must
// have the reason.
TEST (Reclaim, UrgentThatCannotBePlacedBecomesOrdinary)
{
  Site site (1, 1, 1, 8);
  site.Account ("a", 8);
  Cell cell (site);
  cell.Run (200);
  cell.Add (Spec ("a", "s", "steady", 1, 8, false, 30000));
  cell.Run (1000);
  cell.Add (Spec ("b", "u", "steady", 1, 8, true));
  cell.Add (Spec ("a", "v", "steady", 1, 8, true));
  cell.Run (1500);
  cell.Check ();
  cb_sched_job_status_t status;
  ASSERT_EQ (cb_sched_job_status (cell.sched, "b", "u", &status), 0);
  EXPECT_EQ (status.urgent_lost, CB__REASON__RESERVED);
  ASSERT_EQ (cb_sched_job_status (cell.sched, "a", "v", &status), 0);
  EXPECT_EQ (status.urgent_lost, CB__REASON__QUOTA_EXCEEDED);
  cell.Run (40000);
  EXPECT_EQ (cell.starts[Cell::Id ("b", "u")] + cell.starts[Cell::Id ("a", "v")], 1);
}

// A large job must preempt small jobs that can save their state, rather than wait for
// hours.
TEST (Reclaim, CheckpointingJobsArePreemptedForLargeJob)
{
  Site site (1, 1, 3, 8);
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 6; i++)
    cell.Add (Spec ("a", std::to_string (i), "batch", 1, 4));
  cell.Run (1000);
  EXPECT_EQ (cell.Totals ().accelerators_used, 24u);
  cell.Add (Spec ("b", "large", "steady", 2, 8));
  cell.Run (30000);
  EXPECT_EQ (cell.starts[Cell::Id ("b", "large")], 0); // too early
  cell.Run (60000);
  cell.Check ();
  EXPECT_EQ (cell.State ("b", "large"), CB__JOB_STATE__JOB_RUNNING);
  EXPECT_EQ (cell.Totals ().jobs_queued, 4u);
}

// Jobs that can't save their state and jobs on a pin of their own account must not be
// preempted for a large job.
TEST (Reclaim, OtherJobsAreNotPreemptedForLargeJob)
{
  Site site (1, 1, 2, 8);
  site.Account ("owner", 0, 1, 8);
  Cell cell (site);
  cell.Run (200);
  cell.Add (Spec ("owner", "o", "batch", 1, 8));
  cell.Add (Spec ("a", "s", "steady", 1, 8));
  cell.Run (1000);
  EXPECT_EQ (cell.Totals ().accelerators_used, 16u);
  cell.Add (Spec ("b", "large", "batch", 1, 8));
  cell.Run (400000);
  cell.Check ();
  EXPECT_EQ (cell.starts[Cell::Id ("b", "large")], 0);
  EXPECT_EQ (cell.State ("owner", "o"), CB__JOB_STATE__JOB_RUNNING);
}

JobSpec
CpuJob (const char *account, const std::string &key, const char *kind, int cores,
        int memory_gb)
{
  JobSpec s = Spec (account, key, kind, 1, 0);
  s.cores = cores;
  s.memory_gb = memory_gb;
  return s;
}

// CPU jobs that can't be preempted must leave the cores and the memory that a pin
// needs: its owner could not reclaim them.
TEST (Reclaim, NonPreemptibleCpuJobsLeaveThePinsShare)
{
  Site site (1, 1, 1, 8);
  site.Account ("owner", 0, 1, 4);
  Cell cell (site);
  cell.Run (200);
  cell.Add (CpuJob ("a", "cores", "steady", 31, 1));
  cell.Add (CpuJob ("a", "memory", "steady", 1, 66));
  cell.Add (CpuJob ("a", "fits", "steady", 30, 65));
  cell.Run (1000);
  cell.Check ();
  EXPECT_EQ (cell.starts[Cell::Id ("a", "cores")], 0);
  EXPECT_EQ (cell.starts[Cell::Id ("a", "memory")], 0);
  EXPECT_EQ (cell.starts[Cell::Id ("a", "fits")], 1);
  JobSpec owner = Spec ("owner", "o", "steady", 1, 4);
  owner.cores = 30;
  owner.memory_gb = 65;
  cell.Add (owner);
  cell.Run (2000);
  cell.Check ();
  EXPECT_EQ (cell.State ("owner", "o"), CB__JOB_STATE__JOB_RUNNING);
}

// Preemptible CPU jobs hold no accelerator of the pin, but cores or memory that its
// owner needs: they must be stopped within reclaim_ms as well.
TEST (Reclaim, OwnerReclaimsCoresAndMemory)
{
  for (bool cores : { true, false })
    {
      Site site (1, 1, 1, 8);
      site.Account ("owner", 0, 1, 4);
      Cell cell (site);
      cell.Run (200);
      for (int i = 0; i < 2; i++)
        cell.Add (
            CpuJob ("a", std::to_string (i), "batch", cores ? 30 : 1, cores ? 1 : 65));
      cell.Run (1000);
      ASSERT_EQ (cell.Totals ().jobs_running, 2u);
      JobSpec owner = Spec ("owner", "o", "steady", 1, 4);
      owner.cores = 30;
      owner.memory_gb = 65;
      cell.Add (owner);
      cell.Run (2500);
      cell.Check ();
      ASSERT_TRUE (cell.running_at.count (Cell::Id ("owner", "o")));
      EXPECT_LE (cell.running_at[Cell::Id ("owner", "o")] -
                     cell.added_at[Cell::Id ("owner", "o")],
                 2250); // reclaim_ms, and the reservation and start after it
      EXPECT_EQ (cell.Totals ().jobs_running, 2u);
    }
}

// A pin must not move to an instance whose cores are used by a job that can't be
// preempted: it would be counted as held, but could not be used.
TEST (Reclaim, PinNeedsCoresAndMemory)
{
  Site site (1, 1, 2, 8);
  site.Account ("owner", 0, 1, 8);
  Cell cell (site);
  cell.Run (200);
  cell.Add (CpuJob ("a", "s", "steady", 10, 1));
  cell.Run (1000);
  ASSERT_EQ (cell.State ("a", "s"), CB__JOB_STATE__JOB_RUNNING);
  cell.TakeDown (cell.agents["w0"].empty () ? "w0" : "w1");
  cell.Run (200);
  cell.Check ();
  EXPECT_EQ (cell.Totals ().guarantees_short, 1u);
}

// Cancelling all jobs at once must end each, also those that wait for preempted jobs to
// stop.
TEST (Reclaim, CancellingAllJobsEndsThem)
{
  Site site (1, 2, 3, 8);
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 1000; i++)
    cell.Add (Spec ("a", std::to_string (i), "batch", 1, 4));
  cell.Run (1000);
  for (int i = 0; i < 3; i++)
    cell.Add (Spec ("b", std::to_string (i), "steady", 1, 8, true));
  cell.Run (100);
  for (int i = 0; i < 1000; i++)
    cell.Cancel ("a", std::to_string (i));
  for (int i = 0; i < 3; i++)
    cell.Cancel ("b", std::to_string (i));
  cell.Run (3000);
  cell.Check ();
  EXPECT_EQ (cell.ended.size (), 1003u);
  for (auto &end : cell.ended)
    EXPECT_EQ (end.second, CB__JOB_STATE__JOB_CANCELED);
  EXPECT_EQ (cell.Totals ().accelerators_used, 0u);
}

// Admission must not count instances without accelerators: they run no worker, and the
// job would never start.
TEST (Reclaim, InstancesWithoutWorkersDoNotCount)
{
  Site site (1, 1, 2, 0);
  Cell cell (site);
  Cb__Job *job = cell.MakeJob (Spec ("a", "j", "batch", 1, 0));
  EXPECT_EQ (cb_sched_admit (cell.sched, job), CB_SCHED_NEVER_FITS);
  cb_msg_free (job);
}

// The cached result of the fit check must be discarded when the inventory changes.
TEST (Reclaim, AdmissionFollowsTheInventory)
{
  Site small (1, 1, 1, 8), large (1, 1, 2, 8);
  Cell cell (small);
  Cb__Job *job = cell.MakeJob (Spec ("a", "j", "batch", 2, 8));
  EXPECT_EQ (cb_sched_admit (cell.sched, job), CB_SCHED_NEVER_FITS);
  EXPECT_EQ (cb_sched_admit (cell.sched, job), CB_SCHED_NEVER_FITS);
  cb_fleet_t *fleet = cb_fleet_new (large.config);
  cb_sched_set_fleet (cell.sched, fleet, cell.now);
  EXPECT_EQ (cb_sched_admit (cell.sched, job), 0);
  cb_fleet_unref (fleet);
  cb_msg_free (job);
}

}
