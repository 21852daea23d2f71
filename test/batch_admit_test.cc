// Guards admission: what can never run is refused at once, an overload refuses what
// would end too late with the time to come back, and urgent work is not refused for it.
#include "test/batch_harness.h"

namespace
{

Cb__BatchJob *
NewJob (uint32_t priority, uint32_t count, uint32_t accelerators)
{
  auto *job = static_cast<Cb__BatchJob *> (cb_msg_new (&cb__batch_job__descriptor));
  auto *step = static_cast<Cb__BatchStep *> (cb_msg_new (&cb__batch_step__descriptor));

  cb_msg_set_string (&job->id, "new");
  cb_msg_set_string (&job->queue, ("q" + std::to_string (priority)).c_str ());
  cb_msg_set_string (&job->service, "svc");
  job->priority = priority;
  job->stretch_milli = 3000;
  job->slack_ms = 3000;
  step->count = count;
  step->accelerators = accelerators;
  step->cpu_milli = 1000;
  step->estimate_ms = 1000;
  cb_msg_append (reinterpret_cast<void ***> (&job->steps), &job->n_steps, step);
  return job;
}

// What the follower decides, which knows the fleet from the scheduler's beats alone.
int
Admit (BatchSite &site, Cb__BatchJob *job, cb_msec_t *retry_after_ms)
{
  int err = cb_batch_admit (site.follower, job, retry_after_ms);

  cb_msg_free (job);
  return err;
}

void
Beat (BatchSite &site)
{
  Cb__BatchRecord *record = BatchSite::NewRecord (CB__BATCH_RECORD__BODY_BEAT);

  record->epoch = site.epoch;
  record->beat =
      static_cast<Cb__BatchBeat *> (cb_msg_new (&cb__batch_beat__descriptor));
  cb_batch_fill_beat (site.lead, record->beat);
  site.Append (record);
}

// Submits the jobs FROM to TO - 1 of 64 tasks each.
void
SubmitWide (BatchSite &site, int from, int to, uint32_t priority)
{
  for (int i = from; i < to; i++)
    site.Submit ("j" + std::to_string (i), priority, { { 64, 1 } });
}

TEST (BatchAdmit, RefusesWhatNoWorkerCanHold)
{
  BatchSite site (4, 2);
  cb_msec_t retry;

  EXPECT_EQ (Admit (site, NewJob (1, 1, 9), &retry), CB_OK); // nothing is known yet
  Beat (site);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 9), &retry), CB_BATCH_NEVER_FITS);
  EXPECT_EQ (retry, 0);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 8), &retry), CB_OK);
  EXPECT_EQ (Admit (site, NewJob (1, 0, 1), &retry), CB_BATCH_INVALID);
}

TEST (BatchAdmit, OverloadRefusesWhatWouldEndTooLate)
{
  BatchSite site (4, 2);
  cb_msec_t retry;

  Beat (site);
  // 32 accelerators; each job of 64 tasks is 2 s of the fleet; 3 x (3 + 3) s are
  // useful.
  SubmitWide (site, 0, 8, 1);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 1), &retry), CB_OK);
  SubmitWide (site, 8, 10, 1);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 1), &retry), CB_BATCH_OVERLOADED);
  EXPECT_GE (retry, 1000);
  EXPECT_EQ (Admit (site, NewJob (0, 1, 1), &retry), CB_OK);
  site.Advance (12000);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 1), &retry), CB_OK);
}

// Less urgent work does not count: it goes after.
TEST (BatchAdmit, LessUrgentBacklogDoesNotRefuse)
{
  BatchSite site (4, 2);
  cb_msec_t retry;

  Beat (site);
  SubmitWide (site, 0, 20, 2);
  EXPECT_EQ (Admit (site, NewJob (1, 1, 1), &retry), CB_OK);
  EXPECT_EQ (Admit (site, NewJob (2, 1, 1), &retry), CB_BATCH_OVERLOADED);
}

} // namespace
