// Checks of a soak: what clients were told, what workers ran and what the faults were.
#ifndef CB_SOAK_CHECKS_H
#define CB_SOAK_CHECKS_H

#include <cstdint>
#include <string>
#include <vector>

#include "soak/load.h"

namespace soak
{

// One process of a worker.
struct Life
{
  int worker;
  std::string id;
  std::string label;
  std::string rack;
  int64_t begin_ms;
  int64_t end_ms;            // 0: it still runs
  int64_t drain_seen_ms = 0; // its notice to leave was acknowledged
};

struct Run
{
  std::string task; // JOB.OCCURRENCE.STEP.INDEX
  std::string job;
  int occurrence;
  int step;
  int number;
  size_t life; // index
  int64_t begin_ms;
  int64_t end_ms;     // of the run or of its worker's life; 0: it still runs
  std::string how;    // empty: it still runs or ended with its worker
  int64_t noted_ms;   // when its end was acknowledged to the worker, 0: not
  bool late = false;  // the worker carried the start out late
  std::string listed; // how it ended by the worker's list
};

// A time in which a fault acted on a process, or on all (`*`).
struct Disturbance
{
  std::string name;
  int64_t begin_ms;
  int64_t end_ms;
};

// A version of the configuration.
struct Version
{
  std::string without; // the queue that it lacks
  int64_t sent_ms;
  int64_t acknowledged_ms; // by the store; 0: not yet
};

struct Evidence
{
  std::vector<Version> versions;
  std::vector<Disturbance> disturbed;
  std::vector<Job> jobs;
  std::vector<Life> lives;
  std::vector<Run> runs;
  int64_t calm_ms = 0;     // no fault acts from here on
  int64_t load_end_ms = 0; // end of new submissions
  int64_t end_ms = 0;
};

struct Violation
{
  std::string rule;
  std::string job;
  std::string text;
};

// Reads the runs, and what LIVES lack, from the traces of WORKERS workers in DIR.
std::vector<Run> ReadRuns (const std::string &dir, int workers,
                           std::vector<Life> &lives);
std::vector<Violation> Check (const Evidence &evidence);
// Returns the lines of all logs and traces in DIR about JOB, and those about faults,
// workers and schedulers, in the order of their times.
std::string Story (const std::string &dir, const std::string &job);

} // namespace soak

#endif
