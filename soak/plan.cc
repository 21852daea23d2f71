#include "soak/plan.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <sstream>
#include <tuple>

namespace soak
{

namespace
{

class Planner
{
public:
  explicit Planner (const Options &options) : options_ (options), random_ (options.seed)
  {
  }

  std::vector<Fault>
  Plan ()
  {
    // Some seeds have few kinds of faults, which then meet more often.
    const std::vector<std::string> themes = {
      "pppppwwmxsccnnn", "pppnn", "ppwwmx", "ppssnnn", "ppppppnnwwc",
    };
    const std::string &kinds =
        themes[static_cast<size_t> (Pick (0, static_cast<int> (themes.size ()) - 1))];
    int64_t rate = Pick (1, 3);
    std::vector<Fault> plan;

    for (int64_t at_ms = Pick (1500, 3500); at_ms < options_.seconds * 1000;
         at_ms += Pick (0, 2) == 0 ? Pick (5, 300) : Pick (400, 4000) / rate)
      {
        Fault f = Draw (kinds[static_cast<size_t> (
            Pick (0, static_cast<int> (kinds.size ()) - 1))]);

        f.number = static_cast<int> (plan.size ());
        f.at_ms = at_ms;
        plan.push_back (f);
      }
    return plan;
  }

private:
  const Options options_;
  std::mt19937 random_;

  // Returns a fault of a kind: of a process, a worker, its mode, another writer, the
  // store, the configuration, or the network.
  Fault
  Draw (char kind)
  {
    switch (kind)
      {
      case 'p':
        return OfProcess ();
      case 'w':
        return OfWorker ();
      case 'm':
        return OfWorkerMode ();
      case 'x':
        return OfWriter ();
      case 's':
        return OfStore ();
      case 'c':
        return OfConfig ();
      default:
        return OfPath ();
      }
  }
  // A queue that disappears and comes back.
  Fault
  OfConfig ()
  {
    Fault f;

    f.kind = "config";
    f.a = "q" + std::to_string (Pick (0, 2));
    f.ms = Pick (500, 6000);
    return f;
  }

  int64_t
  Pick (int64_t low, int64_t high)
  {
    return low +
           static_cast<int64_t> (random_ () % static_cast<uint32_t> (high - low + 1));
  }
  std::string
  Of (const std::vector<std::string> &names)
  {
    return names[static_cast<size_t> (
        Pick (0, static_cast<int64_t> (names.size ()) - 1))];
  }
  std::string
  Entry ()
  {
    return Pick (0, 2) == 0 ? "scheduler"
                            : "entry" + std::to_string (Pick (0, options_.entries - 1));
  }
  std::string
  Agent ()
  {
    return Pick (0, 3) == 0 ? "orderer"
                            : "agent" + std::to_string (Pick (0, options_.workers - 1));
  }
  std::string
  Worker ()
  {
    return "worker" + std::to_string (Pick (0, options_.workers - 1));
  }
  std::string
  Zone ()
  {
    return "z" + std::to_string (Pick (0, 2));
  }
  Fault
  OfProcess ()
  {
    Fault f;

    f.kind = Of ({ "kill", "kill", "stop", "pause", "pause" });
    f.a = Pick (0, 1) ? Entry () : Agent ();
    if (Pick (0, 19) == 0)
      f.a = Of ({ "entries", "agents", "all", "power" });
    f.ms = f.kind == "pause" ? Pick (200, 9000) : Pick (20, 4000);
    // Another process fails within milliseconds of the take-over after this fault.
    if (f.a == "scheduler" && Pick (0, 2) == 0)
      f.x = static_cast<int> (Pick (1, 2));
    f.y = static_cast<int> (Pick (0, 60));
    return f;
  }
  Fault
  OfWorker ()
  {
    Fault f;

    f.kind = Of ({ "crash", "crash", "crash", "replace", "leave", "label" });
    f.a = Worker ();
    f.ms = Pick (20, 3000);
    f.x = Pick (0, 1) ? static_cast<int> (Pick (0, 1500)) : 0; // no heartbeat so long
    return f;
  }
  Fault
  OfWorkerMode ()
  {
    Fault f;

    f.kind = "worker-mode";
    f.a = Worker ();
    f.b = Of ({ "late", "late", "busy", "mute", "silent", "unanswered", "room",
                "accepted", "draining" });
    f.ms = Pick (300, 5000);
    f.x = static_cast<int> (Pick (1, 6)); // uses
    f.y = static_cast<int> (Pick (500, 9000));
    return f;
  }
  // Another writer sends heartbeats to an agent.
  Fault
  OfWriter ()
  {
    Fault f;

    f.kind = "writer";
    f.a = Worker ();
    f.b = Worker ();
    f.x = static_cast<int> (Pick (0, 1) ? Pick (7, 8) : Pick (0, 9));
    f.y = static_cast<int> (Pick (0, 1));
    return f;
  }
  Fault
  OfStore ()
  {
    Fault f;

    f.kind = "store";
    f.a = Of ({ "busy", "silent", "deaf", "lose", "lose-keyed", "slow", "miss" });
    f.ms = Pick (200, 5000);
    f.x = Pick (0, 1) ? static_cast<int> (Pick (1, 6)) : -1;
    return f;
  }
  Fault
  OfPath ()
  {
    Fault f;

    f.kind = Of ({ "hold", "hold", "lose", "lose", "delay", "reset", "refuse" });
    std::string w = std::to_string (Pick (0, options_.workers - 1));
    const std::vector<std::pair<std::string, std::string> > ends = {
      { Zone (), Zone () },          { Zone (), "store" },   { Entry (), "store" },
      { Agent (), "store" },         { Agent (), Entry () }, { Entry (), Zone () },
      { "worker" + w, "agent" + w }, { "client", Entry () }, { Entry (), Entry () },
    };
    std::tie (f.a, f.b) = ends[static_cast<size_t> (Pick (0, 8))];
    if (Pick (0, 1))
      std::swap (f.a, f.b);
    f.ms = f.kind == "reset"   ? 30
           : f.kind == "delay" ? Pick (500, 9000)
                               : Pick (300, 9000);
    f.x = static_cast<int> (Pick (0, 2)); // 0: all connections, 1: open, 2: new
    f.y = f.kind == "delay" ? static_cast<int> (Pick (50, 3000))
                            : static_cast<int> (Pick (0, 1)); // 1: both directions
    return f;
  }
};

struct Play
{
  pid_t pid = 0;
  Options options;
  std::string log;
};

std::string
Join (const std::set<int> &numbers)
{
  std::string text;

  for (int n : numbers)
    text += (text.empty () ? "" : ",") + std::to_string (n);
  return text;
}

Play
Begin (const std::string &program, const Options &o, const std::string &log)
{
  Play play;
  std::vector<std::string> words = { program,
                                     "--seed",
                                     std::to_string (o.seed),
                                     "--seconds",
                                     std::to_string (o.seconds),
                                     "--entries",
                                     std::to_string (o.entries),
                                     "--workers",
                                     std::to_string (o.workers),
                                     "--first",
                                     std::to_string (o.first),
                                     "--without",
                                     Join (o.without) };
  std::vector<char *> argv;

  for (auto &w : words)
    argv.push_back (&w[0]);
  argv.push_back (nullptr);
  play.options = o;
  play.log = log;
  play.pid = fork ();
  if (play.pid == 0)
    {
      int fd = open (log.c_str (), O_CREAT | O_TRUNC | O_WRONLY, 0644);

      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (program.c_str (), argv.data ());
      _exit (127);
    }
  return play;
}

// Returns how often each rule was broken by the play with this log, which ended with
// STATUS.
std::map<std::string, int>
Broken (const std::string &log, int status)
{
  std::map<std::string, int> broken;
  std::ifstream f (log);
  std::string line;

  while (std::getline (f, line))
    if (line.compare (0, 7, "BROKEN ") == 0)
      broken[line.substr (7, line.find (' ', 7) - 7)]++;
  if (broken.empty () && status != 0)
    broken["ERROR"] = 1;
  return broken;
}

// What a play broke: how often, by rule.
using Result = std::map<std::string, int>;

// Begins the plays that NEXT names until it returns FALSE, JOBS at a time, with their
// logs in DIR, and passes what they broke and their log to ENDED.
void
PlayAll (const std::string &program, const std::string &dir, int jobs,
         const std::function<bool (Options &)> &next,
         const std::function<void (const Play &, const Result &)> &ended)
{
  std::map<pid_t, Play> running;
  int number = 0;
  bool more = true;

  while (more || !running.empty ())
    {
      Options options;
      int status = 0;

      if (more && running.size () < static_cast<size_t> (jobs))
        {
          more = next (options);
          if (!more)
            continue;
          Play p = Begin (program, options,
                          dir + "/" + std::to_string (options.seed) + "-" +
                              std::to_string (number++) + ".log");

          running[p.pid] = p;
          continue;
        }
      pid_t pid = wait (&status);
      if (pid < 0)
        return;
      ended (running[pid], Broken (running[pid].log, status));
      running.erase (pid);
    }
}

} // namespace

std::vector<Fault>
MakePlan (const Options &options)
{
  std::vector<Fault> all = Planner (options).Plan ();
  std::vector<Fault> plan;

  for (auto &f : all)
    if ((options.first < 0 || f.number < options.first) &&
        !options.without.count (f.number))
      plan.push_back (f);
  return plan;
}

std::string
ToText (const Fault &f)
{
  char text[160];

  snprintf (text, sizeof text, "fault %d at %.3f s: %s %s %s for %d ms, x %d, y %d",
            f.number, static_cast<double> (f.at_ms) / 1000, f.kind.c_str (),
            f.a.c_str (), f.b.empty () ? "-" : f.b.c_str (), static_cast<int> (f.ms),
            f.x, f.y);
  return text;
}

int
PlaySeeds (const std::string &program, Options options, double hours, int count,
           int jobs)
{
  char dir[] = "/tmp/carobrun-soak-XXXXXX";
  std::map<std::string, std::vector<uint32_t> > seeds; // by rule
  auto end = std::chrono::steady_clock::now () +
             std::chrono::seconds (static_cast<int> (hours * 3600));
  int ended = 0;

  if (mkdtemp (dir) == nullptr)
    return 2;
  PlayAll (
      program, dir, jobs,
      [&] (Options &next) {
        next = options;
        options.seed++;
        return count-- > 0 && std::chrono::steady_clock::now () < end;
      },
      [&] (const Play &p, const Result &broken) {
        ended++;
        printf ("seed %u:%s\n", p.options.seed, broken.empty () ? " kept" : "");
        for (auto &b : broken)
          {
            printf ("  %s %d, log %s\n", b.first.c_str (), b.second, p.log.c_str ());
            seeds[b.first].push_back (p.options.seed);
          }
        fflush (stdout);
        if (broken.empty ())
          unlink (p.log.c_str ());
      });
  printf ("%d plays\nrule       seeds\n", ended);
  for (auto &s : seeds)
    {
      printf ("%-10s %zu of %d:", s.first.c_str (), s.second.size (), ended);
      for (uint32_t seed : s.second)
        printf (" %u", seed);
      printf ("\n");
    }
  rmdir (dir);
  return seeds.empty () ? 0 : 1;
}

int
Shrink (const std::string &program, Options options, int plays, int jobs)
{
  char dir[] = "/tmp/carobrun-soak-XXXXXX";
  std::string rule;
  // Returns how many plays of O break RULE, the first broken one if it is empty.
  auto failures = [&] (const Options &o) {
    int left = plays;
    int failed = 0;

    PlayAll (
        program, dir, jobs,
        [&] (Options &next) {
          next = o;
          return left-- > 0;
        },
        [&] (const Play &, const Result &broken) {
          if (rule.empty () && !broken.empty ())
            rule = broken.begin ()->first;
          failed += broken.count (rule) > 0;
        });
    printf ("%d of %d break %s: first %d, without %s\n", failed, plays, rule.c_str (),
            o.first, Join (o.without).c_str ());
    fflush (stdout);
    return failed;
  };

  if (mkdtemp (dir) == nullptr || failures (options) == 0)
    return 2;
  std::vector<Fault> plan = MakePlan (options);
  for (size_t part = plan.size () / 2; part > 0; part = part == 1 ? 0 : (part + 1) / 2)
    for (size_t at = 0; at < plan.size ();)
      {
        Options smaller = options;
        size_t to = std::min (plan.size (), at + part);

        for (size_t i = at; i < to; i++)
          smaller.without.insert (plan[i].number);
        if (failures (smaller) == 0)
          {
            at = to;
            continue;
          }
        options = smaller;
        plan = MakePlan (options);
      }
  printf ("shortest plan found for seed %u, %s:\n", options.seed, rule.c_str ());
  for (auto &f : plan)
    printf ("%s\n", ToText (f).c_str ());
  return 0;
}

} // namespace soak
