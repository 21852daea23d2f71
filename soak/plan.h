// The plan of faults of a soak, made from its seed alone before the processes start.
#ifndef CB_SOAK_PLAN_H
#define CB_SOAK_PLAN_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace soak
{

// Tenants, each with a key and guaranteed accelerators.
const int kTenants = 3;
const int kGuaranteed = 8;

struct Options
{
  uint32_t seed = 1;
  int seconds = 40; // of load and faults
  int entries = 3;
  int workers = 9;
  int first = -1;        // only the first faults of the plan; -1: all
  std::set<int> without; // numbers of faults that are left out
};

// KIND decides which of the other members count.
struct Fault
{
  int number = 0;
  int64_t at_ms = 0; // since the start of the load
  std::string kind;
  std::string a, b; // processes, zones, or a mode of a stand-in
  int64_t ms = 0;   // how long it lasts
  int x = 0, y = 0;
};

std::vector<Fault> MakePlan (const Options &options);
std::string ToText (const Fault &fault);

// Plays seeds from FROM on for HOURS, JOBS at a time, and prints a table of the rules
// that were broken. Returns the exit status.
int PlaySeeds (const std::string &program, Options options, double hours, int count,
               int jobs);
// Prints the shortest plan of a seed's faults that still breaks a rule, where each plan
// is played PLAYS times.
int Shrink (const std::string &program, Options options, int plays, int jobs);

} // namespace soak

#endif
