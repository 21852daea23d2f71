// Relays of TCP connections between the processes of a soak, in a thread of their own.
// Rules delay, hold, reset or refuse what passes between two processes or zones, in one
// direction or in both, on connections that were open when the rule began, on new ones,
// or on all.
#ifndef CB_SOAK_PROXIES_H
#define CB_SOAK_PROXIES_H

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace soak
{

// Returns the wall clock, in ms since 1970.
int64_t WallMs ();

enum class Effect
{
  kDelay,
  kHold,
  kReset,
  kRefuse,
};

// Affects the bytes that FROM sends to TO. Both are names of processes, zones, or `*`.
struct PathRule
{
  std::string from;
  std::string to;
  bool both = true; // also the bytes from TO to FROM
  Effect effect = Effect::kHold;
  bool on_open = true;  // connections that are open when the rule begins
  bool on_new = true;   // later ones
  bool lose = false;    // kHold: bytes are lost and the connection stays silent
  int64_t delay_ms = 0; // kDelay
  int64_t end_ms = 0;   // on the wall clock
  int64_t begin_ms = 0; // set by Proxies::Add
};

class Proxies
{
public:
  Proxies ();
  ~Proxies ();

  // Relays connections to TO, at the address TARGET, and returns the address to connect
  // to. FROM empty: the process that connects is looked up among those of SetPid.
  // When APPENDED is not empty, this text in what is sent to TO is replaced by the
  // text REPLACEMENT of the same length.
  std::string Relay (const std::string &from, const std::string &to,
                     const std::string &target, const std::string &appended = "",
                     const std::string &replacement = "");
  void SetZone (const std::string &name, const std::string &zone);
  void SetPid (const std::string &name, pid_t pid);
  // While TO is not running, connections to it are refused.
  void SetRunning (const std::string &to, bool running);
  void Add (PathRule rule);
  void ClearRules ();

private:
  struct Listener
  {
    std::string from, to, address, target, appended, replacement;
    int fd = -1;
    bool running = true;
  };
  struct Pipe
  {
    std::deque<std::pair<int64_t, std::string> > queue; // time of the read, bytes
    size_t bytes = 0;
    bool ended = false;  // no more to read
    bool silent = false; // for good
  };
  struct Connection
  {
    const Listener *listener;
    std::string from;
    int fd[2];
    int64_t begin_ms;
    Pipe pipe[2]; // from fd[0] to fd[1], and back
  };

  void Run ();
  void Accept (const Listener &listener);
  void Read (Connection &c, int side);
  bool Write (Connection &c, int side);
  bool Step (Connection &c, bool readable[2]);
  bool IsMember (const std::string &pattern, const std::string &name) const;
  bool Applies (const PathRule &rule, const Connection &c, int side) const;
  std::string Owner (int local, int remote) const;

  mutable std::mutex mutex_;
  std::list<Listener> listeners_;
  std::list<Connection> connections_;
  std::vector<PathRule> rules_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, pid_t> pids_;
  std::atomic<bool> over_ = { false };
  std::thread thread_;
};

} // namespace soak

#endif
