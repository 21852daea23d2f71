/* Gangs that prefer one rack, on a fleet where no rack has two fitting runners free but
   several racks together do. First the label that the gang needs is on one runner of each
   rack; then tasks that last hold one GPU of all runners but one in each rack. */
#include "harness.hpp"

using namespace rv;

static const int kRunners = 11;         /* racks of 3, 3, 3 and 2 */
static const int64_t kFinishMs = 14000; /* finish_s */
static const int64_t kIdleMs = 3000;

/* Hands in a gang of two tasks of 8 GPUs, waits until finish_s + 3 s later, and returns
   whether it has begun. MORE: further fields of the step. */
static bool
GangRuns (Site &site, const std::string &gang, const std::string &more)
{
  if (site.Client (1, "POST", "/jobs/" + gang,
                   "{\"spec\":\"run 2000\",\"steps\":[{\"count\":2,\"cpu\":26000,"
                   "\"memMb\":38000,\"gpu\":8,\"estimateMs\":2000,\"gang\":true,"
                   "\"sameRack\":true" +
                       more + "}]}")
          .status != 200)
    site.Finish (2);
  /* End of the traffic. */
  SleepMs (kFinishMs + kIdleMs);
  site.Client (0, "GET", "/jobs/" + gang);
  return !Runs::Get ().Of (gang).empty ();
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    return 2;
  Record::Get ().Open (argv[3]);
  Site site (argv[1], argv[2]);
  const std::string labelled = "00000000000000a7";
  const std::string plain = "00000000000000b7";
  const std::string last = "00000000000000d";
  size_t lasting = 0;

  /* Runners of kind b: one in each rack, or all of them. */
  site.kind = [] (int i) { return !Trouble () || i % 3 == 0 ? "b" : "a"; };
  site.Start (2, kRunners);
  site.Publish (Config (1, Route ("jobs", 1)));
  if (!site.Ready (20000))
    site.Finish (2);
  bool first = GangRuns (site, labelled, ",\"requiredLabel\":\"b\"");
  LOG ("the gang of 2 tasks of 8 GPUs on runners of kind b %s; 0 of 88 GPUs are in use",
       first ? "has run" : "has not begun");
  site.Client (0, "DELETE", "/jobs/" + labelled);
  /* Rack r3 has two runners: there one task leaves one runner empty. */
  for (int rack = 0; Trouble () && rack < 4; rack++)
    {
      int count = rack == 3 ? 1 : 2;

      lasting += static_cast<size_t> (count);
      if (site.Client (0, "POST", "/jobs/" + last + std::to_string (rack),
                       "{\"spec\":\"run 600000\",\"steps\":[{\"count\":" +
                           std::to_string (count) +
                           ",\"cpu\":1000,\"memMb\":1000,\"gpu\":1,\"estimateMs\":1000,"
                           "\"requiredLabel\":\"r" +
                           std::to_string (rack) +
                           "\",\"maxPerServer\":1,\"daemon\":true}]}")
              .status != 200)
        site.Finish (2);
    }
  SleepMs (4000);
  if (Runs::Get ().Of (last).size () != lasting)
    site.Finish (2);
  bool second = GangRuns (site, plain, "");
  std::set<std::string> taken;
  for (const auto &r : Runs::Get ().Of (last))
    taken.insert (r.worker);
  LOG ("the gang of 2 tasks of 8 GPUs on any runners %s; %zu of 88 GPUs are in use; %zu "
       "runners are empty",
       second ? "has run" : "has not begun", lasting, kRunners - taken.size ());
  LOG ("%s", first && second ? "LOST held" : "LOST is broken");
  site.Finish (first && second ? 0 : 1);
}
