// Clients of a soak: threads that submit, cancel and ask for jobs of all kinds at the
// entries, and record what they sent and were told.
#ifndef CB_SOAK_LOAD_H
#define CB_SOAK_LOAD_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace soak
{

struct StepSpec
{
  int count = 1;
  int cpu = 1000;
  int memory_mb = 1000;
  int accelerators = 0;
  std::vector<int> after;
  bool gang = false;
  bool same_rack = false;
  bool saves = false;
  bool daemon = false;
  bool fills = false;
  int max_per_worker = 0;
  std::string label;
  std::string data_rack;
};

// A call of a client. Status 0: no answer; -1: the connection was refused.
struct ClientCall
{
  int entry;
  int64_t sent_ms;
  int64_t answered_ms;
  int status;
  std::string state; // of a GET
};

struct Job
{
  std::string id;
  int queue = 0; // and its priority
  int tenant = 0;
  std::vector<StepSpec> steps;
  std::string spec;
  bool fails = false;
  int times = 0;
  int64_t start_at_ms = 0;
  int64_t interval_ms = 0;
  std::vector<ClientCall> submits;
  std::vector<ClientCall> cancels;
  std::vector<ClientCall> gets;

  std::string Body () const;
  std::string Path () const;
  bool IsDaemon () const;
  // Returns when a client was first told that the job is accepted, 0: never.
  int64_t AcceptedMs () const;
  bool CancelSent () const;
  // Returns when a client was first told that the job is cancelled, 0: never.
  int64_t CanceledMs () const;
};

class Load
{
public:
  // ENTRIES are addresses.
  Load (uint32_t seed, const std::vector<std::string> &entries);
  ~Load ();

  void Start (int threads);
  // Ends new submissions.
  void Stop ();
  // Cancels the jobs that would go on for ever and asks for the state of all accepted
  // jobs until each has ended, for at most FOR_MS.
  void Finish (int64_t for_ms);
  std::vector<Job> Jobs () const;

private:
  struct Client; // connections of one thread

  void Run (uint32_t seed, int number);
  Job MakeJob (std::mt19937 &random, int number) const;
  bool Send (Client &client, const std::string &method, const std::string &id,
             int tries);
  Job Get (const std::string &id) const;

  const uint32_t seed_;
  const std::vector<std::string> entries_;
  mutable std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::atomic<bool> over_ = { false };
  std::vector<std::thread> threads_;
};

} // namespace soak

#endif
