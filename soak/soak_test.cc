// Fault soak: real processes of a site on loopback, faults from outside them in a
// random order that SOAK_SEED decides, callers that submit, ask and cancel all the
// while. Checks from what callers and workers see: nothing accepted is lost, nothing
// refused runs, no task runs twice at a time or after it was done, canceled work stops.
// SOAK_SEED (default 1), SOAK_SECONDS (default 12), SOAK_ENTRIES (3), SOAK_WORKERS (4).
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

struct Submitted
{
  int priority;
  int tasks;
  bool accepted = false;
  bool unknown = false; // an attempt had no definite answer
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
    for (int step = 0; step < seconds * 4; step++)
      {
        Load ();
        if (Pick (4) == 0)
          Fault ();
        Repair ();
        site_.Pause (200);
      }
    Heal ();
    ASSERT_TRUE (site_.Up ()) << "not ready after the last fault";
    Finish ();
    site_.CheckRuns ();
    CheckRefused ();
  }

private:
  std::mt19937 random_;
  PlatformSite site_;
  std::map<int, Submitted> jobs_;
  std::vector<std::pair<std::string, std::function<void ()> > >
      down_; // what restarts it
  std::vector<std::string> paused_;
  int next_id_ = 1;
  bool store_fails_ = false;

  int
  Pick (int n)
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
  void
  Load ()
  {
    int id = Pick (5) == 0 && next_id_ > 1 ? 1 + Pick (next_id_ - 1) : next_id_++;
    int entry = Pick (site_.entries);

    if (IsDown ("entry" + std::to_string (entry)))
      return;
    if (!jobs_.count (id))
      jobs_[id] = { Pick (3), 1 + Pick (4) };
    Submitted &job = jobs_[id];
    int status = site_
                     .Submit (entry, id, job.priority,
                              site_.Job (job.tasks, 1 + Pick (4),
                                         "run " + std::to_string (100 + id * 37 % 1500),
                                         id % 3 == 0))
                     .status;
    job.accepted = job.accepted || status == 200;
    job.unknown = job.unknown || (status != 200 && status != 503 && status != 429);
    if (job.accepted && Pick (8) == 0)
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
  Fault ()
  {
    int e = Pick (site_.entries);
    int w = Pick (site_.workers);
    std::string entry = "entry" + std::to_string (e);
    std::string agent = "agent" + std::to_string (w);
    std::string runner = "runner" + std::to_string (w);

    switch (Pick (8))
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
                       Pick (2) ? "{\"mode\":\"busy\"}" : "{\"mode\":\"silent\"}");
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
  void
  Repair ()
  {
    if (!down_.empty () && Pick (4) == 0)
      {
        down_.back ().second ();
        down_.pop_back ();
      }
    if (!paused_.empty () && Pick (6) == 0)
      {
        site_.Signal (paused_.back (), SIGCONT);
        paused_.pop_back ();
      }
    if (store_fails_ && Pick (4) == 0)
      Heal (true);
  }
  void
  Heal (bool store_only = false)
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
  void
  Finish ()
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
            << site_.Id (j.first) << " was accepted and is " << state;
      }
  }
  // A job that only ever got refusals has not run.
  void
  CheckRefused ()
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
