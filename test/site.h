// A small deployment of real processes on loopback for tests of failures: entries,
// agents, and stand-ins (fakes/) for the log, the mainframe, endpoints and workers.
#ifndef CB_TEST_SITE_H
#define CB_TEST_SITE_H

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "test/port.h"
#include "test/processes.h"

namespace site
{

// Stand-ins that run next to each agent.
enum StandIns
{
  kEndpoints = 1,
  kWorkers = 2,
};

// Returns NAME with the number I: the name of a process, or the key of a job or
// request.
inline std::string
Numbered (const std::string &name, int i)
{
  return name + std::to_string (i);
}

class Site : public Processes
{
public:
  explicit Site (int entries = 2, int agents = 4, int stand_ins = kEndpoints | kWorkers)
      : entries_ (entries), agents_ (agents), stand_ins_ (stand_ins)
  {
  }

  // Address (host:port) of a process; the functions below give each process its SLOT.
  std::string
  Address (int slot) const
  {
    std::string &address = addresses_[slot];

    if (address.empty ())
      address = FreeAddress ();
    return address;
  }
  std::string
  LogAddress () const
  {
    return Address (0);
  }
  std::string
  MainframeAddress () const
  {
    return Address (1);
  }
  std::string
  EntryHttp (int i) const
  {
    return Address (10 + i);
  }
  std::string
  EntryWire (int i) const
  {
    return Address (20 + i);
  }
  std::string
  AgentHttp (int i) const
  {
    return Address (30 + i);
  }
  std::string
  EndpointHttp (int i) const
  {
    return Address (50 + i);
  }
  std::string
  WorkerHttp (int i) const
  {
    return Address (70 + i);
  }
  std::string
  AgentWire (int i) const
  {
    return Address (90 + i);
  }
  int
  Agents () const
  {
    return agents_;
  }

  void
  StartLog ()
  {
    Start ("log", "carobrun-fake-log",
           { "--listen", LogAddress (), "--trace", Trace ("log") });
  }

  // Starts a relay process named LINK, through which alone the process FROM reaches
  // entry I, or the log when I is -1. On SIGUSR1 the relay silences its open
  // connections.
  void
  StartLink (const std::string &link, const std::string &from, int i)
  {
    std::string address = FreeAddress ();

    Start (link, "carobrun-fake-link",
           { "--listen", address, "--to", i < 0 ? LogAddress () : EntryWire (i) });
    via_[{ from, i }] = address;
  }

  // Starts a relay process named LINK, through which alone other agents reach agent I.
  void
  StartAgentLink (const std::string &link, int i)
  {
    std::string address = FreeAddress ();

    Start (link, "carobrun-fake-link", { "--listen", address, "--to", AgentWire (i) });
    peer_addresses_[i] = address;
  }

  // Returns how many connections the agents have opened to each other.
  long
  AgentConnectionsOpened ()
  {
    long sum = 0;

    for (int i = 0; i < agents_; i++)
      sum += std::max (0L, Counter (AgentHttp (i), "agent_links_opened_total"));
    return sum;
  }

  // Address at which the process FROM reaches entry I, or the log when I is -1.
  std::string
  Via (const std::string &from, int i) const
  {
    auto at = via_.find ({ from, i });

    if (at != via_.end ())
      return at->second;
    return i < 0 ? LogAddress () : EntryWire (i);
  }

  // Puts entry 1 and the agents from i3 on into a second region and cell, both named s.
  // Call it before Up.
  void
  SplitRegions ()
  {
    split_ = true;
  }

  // Sets the entries' silence_ms: the time without a message after which an entry
  // treats an agent or another entry as unavailable. Call it before Up.
  void
  SetEntrySilence (int silence_ms)
  {
    entry_silence_ms_ = silence_ms;
  }

  // Name of the first or SECOND region, which is also the name of its cell.
  const char *
  Region (bool second) const
  {
    return split_ && second ? "s" : "r";
  }

  // YAML list of the entries, of REGION only when it is not null, for the settings of
  // the process FROM.
  std::string
  EntryList (const std::string &from, const char *region = nullptr) const
  {
    std::ostringstream o;
    o << "entries:\n";
    for (int i = 0; i < entries_; i++)
      if (region == nullptr || std::string (region) == Region (i == 1))
        o << "  - { name: entry" << i << ", address: \"" << Via (from, i) << "\" }\n";
    return o.str ();
  }

  // Adds MEMBERS to `log` in the settings of entries, such as ", batch_ms: 5". Call it
  // before the entries are started.
  void
  SetLogSettings (const std::string &members)
  {
    log_settings_ = members;
  }

  void
  StartEntry (int i)
  {
    std::string name = "entry" + std::to_string (i);
    std::ofstream f (dir_ + "/" + name + ".yaml");

    f << "name: " << name << "\navailability_zone: z" << i % 3
      << "\nregion: " << Region (i == 1) << "\ncell: " << Region (i == 1)
      << "\nhttp_address: \"" << EntryHttp (i) << "\"\nwire_address: \""
      << EntryWire (i) << "\"\nlog: { address: \"" << Via (name, -1) << "\""
      << log_settings_ << " }\n"
      << EntryList (name) << "trace_file: \"" << Trace (name) << "\"\nseed: " << i + 1
      << "\n";
    if (entry_silence_ms_ > 0)
      f << "silence_ms: " << entry_silence_ms_ << "\n";
    f.close ();
    Start (name, "carobrun", { "entry", "--settings", dir_ + "/" + name + ".yaml" });
  }

  void
  StartAgent (int i)
  {
    std::string name = AgentName (i);
    std::ofstream f (dir_ + "/" + name + ".yaml");

    f << "name: " << name << "\ninstance: " << name << "\navailability_zone: z"
      << i / 3 % 3 << "\nregion: " << Region (i >= 3) << "\ncell: " << Region (i >= 3)
      << "\nhttp_address: \"" << AgentHttp (i) << "\"\nwire_address: \""
      << AgentWire (i) << "\"\n";
    if (peer_addresses_.count (i) > 0)
      f << "peer_address: \"" << peer_addresses_[i] << "\"\n";
    if (stand_ins_ & kWorkers)
      f << "worker_address: \"" << WorkerHttp (i) << "\"\n";
    if (stand_ins_ & kEndpoints)
      f << "endpoint_address: \"" << EndpointHttp (i) << "\"\n";
    f << EntryList (name, Region (i >= 3)) << "trace_file: \"" << Trace (name)
      << "\"\nseed: " << 100 + i << "\n";
    f.close ();
    Start (name, "carobrun", { "agent", "--settings", dir_ + "/" + name + ".yaml" });
  }

  static std::string
  AgentName (int i)
  {
    return "i" + std::to_string (i);
  }

  void
  StartEndpoint (int i, const std::string &work_ms = "5,20")
  {
    std::string name = "endpoint" + std::to_string (i);
    Start (name, "carobrun-fake-endpoint",
           { "--listen", EndpointHttp (i), "--agent", AgentHttp (i), "--name", name,
             "--kinds", "preview,order,run,late", "--slots", "8", "--connections", "60",
             "--work-ms", work_ms, "--seed", std::to_string (i + 1), "--trace",
             Trace (name) });
  }

  void
  StartWorker (int i)
  {
    std::string name = "worker" + std::to_string (i);
    Start (name, "carobrun-fake-worker",
           { "--listen", WorkerHttp (i), "--name", AgentName (i), "--trace",
             Trace (name) });
  }

  void
  StartMainframe ()
  {
    Start ("mainframe", "carobrun-fake-mainframe",
           { "--listen", MainframeAddress (), "--trace", Trace ("mainframe") });
  }

  // Starts all processes; doesn't wait until they are ready.
  void
  StartAll ()
  {
    StartLog ();
    StartMainframe ();
    for (int i = 0; i < entries_; i++)
      StartEntry (i);
    for (int i = 0; i < agents_; i++)
      {
        StartAgent (i);
        if (stand_ins_ & kEndpoints)
          StartEndpoint (i, work_ms_);
        if (stand_ins_ & kWorkers)
          StartWorker (i);
      }
  }

  // Starts all processes, publishes a configuration and waits until the deployment is
  // Ready. WORK_MS is the range of the run times of requests at the endpoints
  // ("MIN,MAX").
  bool
  Up (const std::string &work_ms = "5,20")
  {
    work_ms_ = work_ms;
    StartAll ();
    return Until ([&] {
             return Call (EntryHttp (0), "GET", "/v1/status", "", 2000).status == 200 &&
                    Apply (0) == 0;
           }) &&
           Ready (agents_);
  }

  // YAML of the inventory: agents_ instances with 8 accelerators each, 3 to a rack, in
  // the availability zones z0 to z2.
  std::string
  Inventory () const
  {
    std::ostringstream o;

    o << "availability_zones:\n";
    for (int z = 0; z < 3; z++)
      o << "  - { name: z" << z << ", region: " << Region (z == 1)
        << ", cell: " << Region (z == 1) << " }\n";
    o << "racks:\n";
    for (int r = 0; r * 3 < agents_; r++)
      {
        o << "  - name: rack" << r << "\n    availability_zone: z" << r % 3
          << "\n    instances:\n";
        for (int i = r * 3; i < agents_ && i < r * 3 + 3; i++)
          o << "      - { name: " << AgentName (i) << ", address: \"" << AgentHttp (i)
            << "\", cores: 60, memory_gb: 130, accelerators: 8 }\n";
      }
    o << "client_accounts: [glass, desk, other]\n";
    return o.str ();
  }

  // YAML of the rules. Tests set RECLAIM_MS to get versions that differ. SIGNED_OFF
  // names who approved that kind `late` runs at endpoints and no longer on the
  // mainframe; empty: it still runs on the mainframe.
  std::string
  Rules (int reclaim_ms = 2000, const std::string &signed_off = "") const
  {
    std::ostringstream o;

    o << "accounts:\n"
         "  - name: glass\n    share: 2\n    guarantees:\n"
         "      - { count: 1, accelerators: 8, adjacency: instance }\n"
         "  - { name: desk, share: 1 }\n  - { name: other, share: 1 }\n"
         "kinds:\n  - { name: preview }\n  - { name: order, not_repeatable: true }\n"
         "  - { name: run, not_repeatable: true }\n"
      << "  - { name: late, not_repeatable: true, mainframe: { address: \""
      << MainframeAddress () << "\", signed_off_by: \"" << signed_off << "\" } }\n"
      << "  - { name: profile, job: true, preemption: never }\n"
         "  - { name: batch, job: true, preemption: checkpoint }\n"
         "  - { name: rush, job: true, preemption: never, urgent: true }\n"
         "weights: { fragmentation: 60, completion_time: 40 }\n"
      << "reclaim_ms: " << reclaim_ms << "\n";
    return o.str ();
  }

  // Publishes the inventory and the rules at ENTRY with `carobrun apply`, with the base
  // version BASE when it is not empty. Returns the exit status.
  int
  Apply (int entry, int reclaim_ms = 2000, const std::string &signed_off = "",
         const std::string &base = "")
  {
    std::string inventory = dir_ + "/inventory.yaml";
    std::string rules =
        dir_ + "/rules" + std::to_string (reclaim_ms) + signed_off + ".yaml";
    std::vector<std::string> args = { "apply", "--entry", EntryHttp (entry), inventory,
                                      rules };

    std::ofstream (inventory) << Inventory ();
    std::ofstream (rules) << Rules (reclaim_ms, signed_off);
    if (!base.empty ())
      args.insert (args.end (), { "--base", base });
    return Command (args);
  }

  // Sends POST /v1/requests to ENTRY and doesn't wait for the reply. MORE is empty or
  // further JSON members, beginning with a comma.
  Reply &
  BeginRequest (int entry, const std::string &key, const std::string &kind,
                const std::string &more = "")
  {
    return Begin (EntryHttp (entry), "POST", "/v1/requests",
                  RequestBody (key, kind, more));
  }

  Reply
  Request (int entry, const std::string &key, const std::string &kind,
           const std::string &more = "")
  {
    return Call (EntryHttp (entry), "POST", "/v1/requests",
                 RequestBody (key, kind, more));
  }

  // Repeats a request under its key, as callers do, until it has a final reply: status
  // 200 or the reason outcome_unknown.
  Reply
  RequestUntilEnd (int entry, const std::string &key, const std::string &kind)
  {
    Reply reply;

    EXPECT_TRUE (Until ([&] {
      reply = Request (entry, key, kind);
      return reply.status == 200 || reply.Text ("reason") == "outcome_unknown";
    })) << key
        << ": " << reply.body;
    return reply;
  }

  static std::string
  RequestBody (const std::string &key, const std::string &kind,
               const std::string &more = "")
  {
    return "{\"key\":\"" + key + "\",\"account\":\"glass\",\"kind\":\"" + kind + "\"" +
           more + "}";
  }

  // Waits until each entry reports a scheduler and AGENTS available agents with their
  // endpoints, and the scheduler has the accelerators of all their workers.
  bool
  Ready (int agents)
  {
    return Until ([&] {
      for (int i = 0; i < entries_; i++)
        {
          Reply r = Call (EntryHttp (i), "GET", "/v1/status", "", 2000);
          if (r.status != 200 ||
              Count (r.body, "\"role\":\"agent\",\"up\":true") < agents ||
              Count (r.body, "\"scheduler\":\"entry") == 0 ||
              ((stand_ins_ & kEndpoints) != 0 &&
               Count (r.body, "\"endpoint\":\"endpoint") < agents))
            return false;
        }
      return (stand_ins_ & kWorkers) == 0 || Accelerators () >= 8 * agents;
    });
  }

  // Returns the number of accelerators that the scheduler may allocate, whichever entry
  // it is; the sum of both cells after SplitRegions.
  int
  Accelerators ()
  {
    long most = 0, sum = 0;

    for (int i = 0; i < entries_; i++)
      {
        long count = Counter (EntryHttp (i), "accelerators");
        most = std::max (most, count);
        sum += count;
      }
    return (int)(split_ ? sum : most);
  }

  // Returns the number MEMBER of the status of ENTRY, or -1 when ENTRY doesn't reply.
  // An absent member counts as 0, because the status may omit default values.
  long
  StatusNumber (int entry, const std::string &member)
  {
    Reply reply = Call (EntryHttp (entry), "GET", "/v1/status", "", 2000);
    std::string before = "\"" + member + "\":";
    size_t at = reply.body.find (before);

    if (reply.status != 200)
      return -1;
    return at == std::string::npos ? 0
                                   : atol (reply.body.c_str () + at + before.size ());
  }

  // Returns the version of the configuration that ENTRY has. The first version is not
  // always 1, because the record with which a scheduler claims the cell can
  // precede it in the log.
  long
  Version (int entry)
  {
    return StatusNumber (entry, "config_version");
  }

  // Returns the index of the entry that reports itself as the scheduler of the cell, -1
  // when none does.
  int
  Scheduler ()
  {
    for (int i = 0; i < entries_; i++)
      if (Counter (EntryHttp (i), "scheduler") == 1)
        return i;
    return -1;
  }

  // Returns the body of a submission. MORE is empty or further JSON members, beginning
  // with a comma.
  std::string
  Job (const std::string &key, const std::string &account, const std::string &kind,
       int members, int accelerators, const std::string &command,
       const std::string &more = "")
  {
    return "{\"key\":\"" + key + "\",\"account\":\"" + account + "\",\"kind\":\"" +
           kind + "\",\"members\":" + std::to_string (members) +
           ",\"accelerators\":" + std::to_string (accelerators) +
           ",\"cores\":1,\"memory_gb\":1,\"run_ms\":1000,\"command\":\"" + command +
           "\"" + more + "}";
  }

  // Submits the job BODY at ENTRY and repeats it until it is accepted.
  bool
  Submit (int entry, const std::string &body)
  {
    return Until ([&] {
      return Call (EntryHttp (entry), "POST", "/v1/jobs", body).status == 202;
    });
  }

  // Returns the state of a job at ENTRY, empty when ENTRY doesn't return the job.
  std::string
  JobState (int entry, const std::string &account, const std::string &key)
  {
    Reply r = Call (EntryHttp (entry), "GET", "/v1/jobs/" + key + "?account=" + account,
                    "", 2000);
    size_t at = r.body.find ("\"state\":\"");

    if (r.status != 200)
      return "";
    if (at == std::string::npos)
      return "queued"; // the default value, which the reply may omit
    at += 9;
    return r.body.substr (at, r.body.find ('"', at) - at);
  }

  // Waits until the job KEY has STATE at ENTRY.
  bool
  Ends (int entry, const std::string &key, const std::string &state = "done",
        const std::string &account = "desk")
  {
    return Until ([&] { return JobState (entry, account, key) == state; });
  }

  // Waits until the traces have at least MEMBERS events task_running of the job KEY.
  bool
  Running (const std::string &key, int members)
  {
    return Until ([&] {
      return AllEvents ("task_running", "\"key\":\"" + key + "\"") >= members;
    });
  }

  // Waits until ENTRY schedules the cell.
  bool
  Schedules (int entry)
  {
    return Until ([&] { return Counter (EntryHttp (entry), "scheduler") == 1; });
  }

  // Calls Up and sets SCHEDULER and OTHER to the entry that schedules the cell and to
  // the other one of two entries.
  bool
  UpWithScheduler (int *scheduler, int *other)
  {
    if (!Up ())
      return false;
    *scheduler = Scheduler ();
    *other = 1 - *scheduler;
    return *scheduler >= 0;
  }

  // Returns the name of the home entry of AGENT, the one that the agent is connected
  // to, by the status of ENTRY; empty when it has none.
  std::string
  HomeEntry (const std::string &agent, int entry)
  {
    Reply status = Call (EntryHttp (entry), "GET", "/v1/status", "", 2000);
    size_t at = status.body.find ("{\"name\":\"" + agent + "\"");

    if (at == std::string::npos)
      return "";
    status.body = status.body.substr (at, status.body.find ('}', at) - at);
    return status.Text ("home");
  }

  // Returns the index of the first agent with an event EV in its trace whose line
  // contains TEXT, -1 when there is none.
  int
  FirstAgentWith (const std::string &ev, const std::string &text = "")
  {
    for (int i = 0; i < agents_; i++)
      if (Events (AgentName (i), ev, text) > 0)
        return i;
    return -1;
  }

private:
  mutable std::map<int, std::string> addresses_; // by the slots of Address
  int entries_;
  int agents_;
  int stand_ins_;
  bool split_ = false;
  int entry_silence_ms_ = 0; // 0: the default of the entries
  std::map<std::pair<std::string, int>, std::string> via_; // addresses of StartLink
  std::map<int, std::string> peer_addresses_; // of agents, addresses of StartAgentLink
  std::string work_ms_ = "5,20";
  std::string log_settings_;
};

} // namespace site

#endif
