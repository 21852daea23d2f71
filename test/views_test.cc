// Tests that each entry returns the state of a job, also an entry that does not
// schedule it: a load balancer passes a call to any of the entries.
#include "test/site.h"

namespace
{

using site::kWorkers;
using site::Reply;
using site::Site;

std::string
Key (int entry)
{
  return "entry" + std::to_string (entry);
}

// Guards against outdated states: entries other than the scheduler showed a running job
// as queued, and the attempt of an ended job as 0.
TEST (Views, EveryEntryShowsTheStateOfAJob)
{
  Site site (2, 2, kWorkers);

  ASSERT_TRUE (site.Up ());
  int scheduler = site.Scheduler ();
  ASSERT_GE (scheduler, 0);
  int other = 1 - scheduler;
  Reply job = site.Call (site.EntryHttp (other), "POST", "/v1/jobs",
                         site.Job ("job", "desk", "batch", 2, 2, "run 3000"));
  ASSERT_EQ (job.status, 202) << job.body;
  ASSERT_TRUE (site.Until (
      [&] { return site.JobState (scheduler, "desk", "job") == "running"; }));
  Reply list = site.Call (site.EntryHttp (other), "GET", "/v1/jobs?account=desk");
  EXPECT_EQ (list.Text ("state"), "running") << list.body;
  EXPECT_EQ (site.Count (list.body, "\"attempt\":1"), 1) << list.body;
  ASSERT_TRUE (
      site.Until ([&] { return site.JobState (other, "desk", "job") == "done"; }));
  for (int entry = 0; entry < 2; entry++)
    {
      Reply one =
          site.Call (site.EntryHttp (entry), "GET", "/v1/jobs/job?account=desk");
      EXPECT_EQ (one.Text ("state"), "done") << one.body;
      EXPECT_EQ (site.Count (one.body, "\"attempt\":1"), 1) << one.body;
    }
  site.ExpectNoViolation ();
}

// Guards against a call that waits for a scheduler that does not respond: the entry
// must answer with the state in the log.
TEST (Views, EntryAnswersWhileTheSchedulerIsStopped)
{
  Site site (2, 2, kWorkers);

  ASSERT_TRUE (site.Up ());
  int scheduler = site.Scheduler ();
  ASSERT_GE (scheduler, 0);
  int other = 1 - scheduler;
  Reply job = site.Call (site.EntryHttp (other), "POST", "/v1/jobs",
                         site.Job ("job", "desk", "batch", 1, 1, "run 60000"));
  ASSERT_EQ (job.status, 202) << job.body;
  site.Signal (Key (scheduler), SIGSTOP);
  Reply one = site.Call (site.EntryHttp (other), "GET", "/v1/jobs/job?account=desk");
  EXPECT_EQ (one.status, 200) << one.body;
  EXPECT_EQ (one.Text ("key"), "job") << one.body;
  EXPECT_EQ (site.Counter (site.EntryHttp (other), "views_late_total"), 1);
}

} // namespace
