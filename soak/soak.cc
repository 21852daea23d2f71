// Soak of the batch path: real processes behind relays, clients, and a plan of faults
// that the seed decides. Without options it plays one seed as a test.
//   soak --seed S [--seconds N] [--first N] [--without A,B]  one play
//   soak --plan --seed S                                     prints the plan only
//   soak --hours H --jobs N [--seed S] [--count C]           fresh seeds from S on
//   soak --shrink --seed S [--plays K] [--jobs N]            the shortest plan
#include <argp.h>
#include <gtest/gtest.h>

#include <sstream>

#include "soak/checks.h"
#include "soak/faults.h"
#include "soak/load.h"
#include "soak/plan.h"

using namespace soak;

namespace
{

// The load goes on for this long after the last fault.
const int64_t kCalmLoadMs = 12000;
const int64_t kFinishMs = 45000;
const int kClients = 5;

struct Arguments
{
  Options options;
  double hours = 0;
  int count = 1 << 30;
  int jobs = 2;
  int plays = 3;
  bool shrink = false;
  bool plan = false;
};

Arguments arguments;

TEST (SoakPlan, RulesHoldUnderFaults)
{
  std::vector<Fault> plan = MakePlan (arguments.options);
  Evidence e;
  std::set<std::string> told;

  printf ("seed %u, %zu faults\n", arguments.options.seed, plan.size ());
  for (auto &f : plan)
    printf ("%s\n", ToText (f).c_str ());
  fflush (stdout);
  Site site (arguments.options);
  ASSERT_EQ (site.WaitReady (), "") << "not ready at the start";
  Load load (arguments.options.seed, site.callers);
  load.Start (kClients);
  site.Play (plan, WallMs () + arguments.options.seconds * 1000);
  site.Repair ();
  site.Watch (100);
  std::string unready = site.WaitReady ();
  if (!unready.empty ())
    printf ("BROKEN READY %s\n", unready.c_str ());
  ASSERT_EQ (unready, "") << "not ready after the last fault";
  e.calm_ms = WallMs ();
  site.Watch (kCalmLoadMs);
  load.Stop ();
  e.load_end_ms = WallMs ();
  std::atomic<bool> finished = { false };
  std::thread finish ([&] {
    load.Finish (kFinishMs);
    finished = true;
  });
  while (!finished)
    site.Watch (100);
  finish.join ();
  site.Watch (500);
  e.end_ms = WallMs ();
  e.jobs = load.Jobs ();
  e.lives = site.lives;
  e.disturbed = site.disturbed;
  e.versions = site.versions;
  e.runs = ReadRuns (site.Dir (), arguments.options.workers, e.lives);
  size_t accepted = 0;
  for (auto &j : e.jobs)
    accepted += j.AcceptedMs () != 0;
  printf ("%zu jobs, %zu accepted, %zu runs\n", e.jobs.size (), accepted,
          e.runs.size ());
  for (auto &name : site.own_ends)
    {
      printf ("BROKEN ENDS %s\n", name.c_str ());
      ADD_FAILURE () << "a process ended by itself: " << name;
    }
  for (auto &v : Check (e))
    {
      printf ("BROKEN %s %s\n", v.rule.c_str (), v.text.c_str ());
      ADD_FAILURE () << v.rule << ": job " << v.job << ": " << v.text;
      if (told.size () < 5 && told.insert (v.job).second)
        std::ofstream (site.Dir () + "/story-" + v.job + ".txt")
            << Story (site.Dir (), v.job);
    }
  EXPECT_GT (accepted, 0U);
}

error_t
Parse (int key, char *arg, struct argp_state *)
{
  Arguments &a = arguments;
  const std::map<int, int *> numbers = {
    { 't', &a.options.seconds }, { 'e', &a.options.entries },
    { 'w', &a.options.workers }, { 'f', &a.options.first },
    { 'c', &a.count },           { 'j', &a.jobs },
    { 'p', &a.plays },
  };

  if (numbers.count (key))
    *numbers.at (key) = atoi (arg);
  else if (key == 's')
    a.options.seed = static_cast<uint32_t> (strtoul (arg, nullptr, 10));
  else if (key == 'h')
    a.hours = atof (arg);
  else if (key == 'k')
    a.shrink = true;
  else if (key == 'n')
    a.plan = true;
  else if (key == 'o')
    {
      std::istringstream list (arg);

      for (std::string n; std::getline (list, n, ',');)
        a.options.without.insert (atoi (n.c_str ()));
    }
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

} // namespace

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "seed", 's', "N", 0, "seed of the plan and the load (1)", 0 },
    { "seconds", 't', "N", 0, "time in which faults begin (40)", 0 },
    { "entries", 'e', "N", 0, "entries (3)", 0 },
    { "workers", 'w', "N", 0, "workers, each with an agent (9)", 0 },
    { "first", 'f', "N", 0, "play only the first N faults", 0 },
    { "without", 'o', "A,B", 0, "leave out these faults", 0 },
    { "hours", 'h', "H", 0, "play fresh seeds for H hours", 0 },
    { "count", 'c', "N", 0, "play at most N seeds", 0 },
    { "jobs", 'j', "N", 0, "plays at a time (2)", 0 },
    { "plays", 'p', "N", 0, "plays of each plan of --shrink (3)", 0 },
    { "shrink", 'k', nullptr, 0, "look for the shortest plan that fails", 0 },
    { "plan", 'n', nullptr, 0, "print the plan only", 0 },
    { nullptr, 0, nullptr, 0, nullptr, 0 }
  };
  static const struct argp argp = { options, Parse,   nullptr, nullptr,
                                    nullptr, nullptr, nullptr };

  testing::InitGoogleTest (&argc, argv);
  if (argp_parse (&argp, argc, argv, 0, nullptr, nullptr) != 0)
    return 2;
  if (arguments.plan)
    {
      for (auto &f : MakePlan (arguments.options))
        printf ("%s\n", ToText (f).c_str ());
      return 0;
    }
  if (arguments.shrink)
    return Shrink ("/proc/self/exe", arguments.options, arguments.plays,
                   arguments.jobs);
  if (arguments.hours > 0)
    return PlaySeeds ("/proc/self/exe", arguments.options, arguments.hours,
                      arguments.count, arguments.jobs);
  return RUN_ALL_TESTS ();
}
