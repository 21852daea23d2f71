// Soak test with random faults. It runs the processes of a deployment for batch jobs
// (test/platform_site.h) on loopback and, while callers submit and cancel jobs, kills,
// pauses and disconnects processes and makes the store fail. Checks by the replies to
// callers and the traces of the workers that each accepted job ends as completed or
// cancelled, that no task of a job that was refused each time completes, and that no
// task runs twice at the same time or again after its acknowledged completion.
// Environment: SOAK_SEED decides the sequence of faults and jobs (default 1),
// SOAK_SECONDS (12), SOAK_ENTRIES (3), SOAK_WORKERS (4).
#include <random>

#include "test/platform_site.h"

using site::PlatformSite;

namespace
{

int
Env (const char *name, int fallback)
{
  const char *text = getenv (name);
  return text == nullptr ? fallback : atoi (text);
}

struct SubmittedJob
{
  int priority;
  int tasks;
  bool accepted = false;
  bool unknown = false; // a reply left open whether the job was accepted
  bool canceled = false;
};

class Soak
{
public:
  explicit Soak (uint32_t seed)
      : random_ (seed), site_ (Env ("SOAK_ENTRIES", 3), Env ("SOAK_WORKERS", 4), true)
  {
  }

  void
  Run (int seconds)
  {
    ASSERT_TRUE (site_.Up ());
    for (int step = 0; step < seconds * 4; step++) // about 4 steps a second
      {
        SubmitOrCancel ();
        if (Random (4) == 0)
          InjectFault ();
        RepairSome ();
        site_.Pause (200);
      }
    RepairAll ();
    ASSERT_TRUE (site_.Up ()) << "not ready after the last fault";
    ExpectAcceptedJobsEnd ();
    site_.CheckRuns ();
    ExpectRefusedJobsNotRun ();
  }

private:
  std::mt19937 random_;
  PlatformSite site_;
  std::map<int, SubmittedJob> jobs_; // by id
  // Killed processes: name, function that starts it again.
  std::vector<std::pair<std::string, std::function<void ()> > > down_;
  std::vector<std::string> paused_; // names of processes
  int next_id_ = 1;
  bool store_fails_ = false;

  // Returns a random number from 0 to N - 1.
  int
  Random (int n)
  {
    return static_cast<int> (random_ () % static_cast<uint32_t> (n));
  }
  bool
  IsDown (const std::string &name)
  {
    for (const auto &d : down_)
      if (d.first == name)
        return true;
    for (const auto &p : paused_)
      if (p == name)
        return true;
    return false;
  }
  // Submits a new job or, in 1 of 5 cases, repeats an old one, at a random entry. When
  // the job is accepted, cancels it in 1 of 8 cases.
  void
  SubmitOrCancel ()
  {
    int id = Random (5) == 0 && next_id_ > 1 ? 1 + Random (next_id_ - 1) : next_id_++;
    int entry = Random (site_.entries);

    if (IsDown ("entry" + std::to_string (entry)))
      return;
    if (!jobs_.count (id))
      jobs_[id] = { Random (3), 1 + Random (4) };
    SubmittedJob &job = jobs_[id];
    int status = site_
                     .Submit (entry, id, job.priority,
                              site_.Job (job.tasks, 1 + Random (4),
                                         "run " + std::to_string (100 + id * 37 % 1500),
                                         id % 3 == 0))
                     .status;
    job.accepted = job.accepted || status == 200;
    job.unknown = job.unknown || (status != 200 && status != 503 && status != 429);
    if (job.accepted && Random (8) == 0)
      job.canceled = site_.Call (site_.callers[entry], "DELETE",
                                 PlatformSite::Path (id, job.priority), "", 3000)
                             .status == 200 ||
                     job.canceled;
  }
  void
  Kill (const std::string &name, const std::function<void ()> &restart)
  {
    if (IsDown (name))
      return;
    site_.Kill (name);
    down_.emplace_back (name, restart);
  }
  void
  InjectFault ()
  {
    int e = Random (site_.entries);
    int w = Random (site_.workers);
    std::string entry = "entry" + std::to_string (e);
    std::string agent = "agent" + std::to_string (w);
    std::string runner = "runner" + std::to_string (w);

    switch (Random (8))
      {
      case 0:
        Kill (entry, [=] { site_.StartEntry (e); });
        return;
      case 1:
        Kill (agent, [=] { site_.StartAgent (w); });
        return;
      case 2:
        Kill (runner, [=] { site_.StartRunner (w); });
        return;
      case 3:
        site_.Signal ("link-" + entry, SIGUSR1);
        return;
      case 4:
        site_.Signal ("link-" + agent, SIGUSR1);
        return;
      case 5:
        site_.Control (site_.store,
                       Random (2) ? "{\"mode\":\"busy\"}" : "{\"mode\":\"silent\"}");
        store_fails_ = true;
        return;
      case 6:
        site_.Control (site_.store, "{\"mode\":\"lose\",\"count\":2}");
        return;
      default:
        if (IsDown (entry))
          return;
        site_.Signal (entry, SIGSTOP);
        paused_.push_back (entry);
      }
  }
  // Undoes faults at random, so that each lasts for some steps.
  void
  RepairSome ()
  {
    if (!down_.empty () && Random (4) == 0)
      {
        down_.back ().second ();
        down_.pop_back ();
      }
    if (!paused_.empty () && Random (6) == 0)
      {
        site_.Signal (paused_.back (), SIGCONT);
        paused_.pop_back ();
      }
    if (store_fails_ && Random (4) == 0)
      RepairAll (true);
  }
  // Undoes all faults, or with STORE_ONLY those of the store.
  void
  RepairAll (bool store_only = false)
  {
    site_.Control (site_.store, "{\"mode\":\"ok\"}");
    store_fails_ = false;
    if (store_only)
      return;
    for (auto &d : down_)
      d.second ();
    down_.clear ();
    for (auto &p : paused_)
      site_.Signal (p, SIGCONT);
    paused_.clear ();
  }
  // Waits until each accepted job has ended. A cancelled one may have completed before.
  void
  ExpectAcceptedJobsEnd ()
  {
    for (auto &j : jobs_)
      {
        if (!j.second.accepted)
          continue;
        std::string want = j.second.canceled ? "cancelled" : "completed";
        std::string state;
        EXPECT_TRUE (site_.Until ([&] {
          state = site_.State (0, j.first, j.second.priority);
          return state == want || (j.second.canceled && state == "completed");
        })) << "job "
            << site_.Id (j.first)
            << " was accepted, but has not ended; state: " << state;
      }
  }
  // Expects that no task of a job that was only ever refused is done.
  void
  ExpectRefusedJobsNotRun ()
  {
    for (auto &j : jobs_)
      {
        if (j.second.accepted || j.second.unknown)
          continue;
        EXPECT_EQ (site_.Ends (j.first, "done"), 0) << site_.Id (j.first);
      }
  }
};

TEST (Soak, PromisesHoldUnderRandomFaults)
{
  uint32_t seed = static_cast<uint32_t> (Env ("SOAK_SEED", 1));

  printf ("SOAK_SEED=%u\n", seed);
  Soak (seed).Run (Env ("SOAK_SECONDS", 12));
}

} // namespace
