// The processes of a soak, and the faults that its plan names.
#ifndef CB_SOAK_FAULTS_H
#define CB_SOAK_FAULTS_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/checks.h"
#include "soak/plan.h"
#include "soak/proxies.h"
#include "test/processes.h"

namespace soak
{

// Entries, agents and workers in three zones, the store, and a relay on each path.
class Site : public site::Processes
{
public:
  explicit Site (const Options &options);

  std::string WaitReady ();
  // Applies PLAN, whose times begin now, and then runs until UNTIL_MS of the wall
  // clock.
  void Play (const std::vector<Fault> &plan, int64_t until_ms);
  // Ends all faults and starts what is not running.
  void Repair ();
  // Runs for MS, looking for processes that end by themselves.
  void Watch (int64_t ms);

  std::vector<std::string> callers; // addresses of the entries for clients
  std::vector<Life> lives;          // of workers
  std::vector<Disturbance> disturbed;
  std::vector<Version> versions;     // of the configuration
  std::vector<std::string> own_ends; // processes that ended by themselves

private:
  struct Process
  {
    std::function<void ()> start;
    bool disturbed = false; // stopped, killed or paused by a fault
    bool paused = false;
    int64_t disturbed_ms = 0;
    int64_t term_ms = 0;    // when it was sent SIGTERM, 0: not
    int64_t restart_ms = 0; // after its end
  };
  struct Worker
  {
    std::string address, via, control;
    std::string id, label;
    int replaced = 0;
    int clock_percent = 100;
    int first_heartbeat_ms = 0;
    int drain_ms = 0;
    int64_t born_ms = 0;
  };

  void AddEntry (int i);
  void AddAgent (int i);
  void StartWorker (int i);
  void Publish (const std::string &without);
  void PublishNext ();
  void Up (const std::string &name);
  void Down (const std::string &name, int signal);
  void Turn ();
  void After (int64_t ms, std::function<void ()> act);
  void Note (const std::string &text);
  std::string Scheduler ();
  std::string Orderer ();
  std::string Resolve (const std::string &name);
  std::vector<std::string> Members (const std::string &name);
  void Apply (const Fault &fault);
  void Disturb (const std::string &name, const Fault &fault);
  void ApplyToWorker (const Fault &fault);
  void ApplyWriter (const Fault &fault);
  void ApplyToPath (const Fault &fault);
  void Mode (const std::string &address, const std::string &mode, int count,
             int64_t delay_ms, int64_t for_ms);

  const Options options_;
  Proxies proxies_;
  std::string store_;
  std::string listening_store_;
  int version_ = 0;                  // of the configuration
  std::vector<std::string> records_; // versions that the store has not acknowledged
  site::Reply *publishing_ = nullptr;
  std::vector<std::string> ready_;
  std::vector<Worker> workers_;
  std::map<std::string, Process> processes_;
  std::multimap<int64_t, std::function<void ()> > due_;
  std::map<std::string, int64_t> modes_end_ms_; // by address
  std::map<std::string, std::streamoff> read_;  // of the entries' logs
  uint64_t epoch_ = 0;
  std::string scheduler_;
  bool repaired_ = false;
  // Faults that wait for the next take-over.
  std::vector<std::function<void ()> > at_takeover_;
};

} // namespace soak

#endif
