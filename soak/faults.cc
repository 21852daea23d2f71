#include "soak/faults.h"

#include <algorithm>
#include <cstring>
#include <fstream>

#include "test/port.h"

namespace soak
{

static const int kZones = 3;
static const int64_t kGraceMs = 6000;
static const int64_t kTurnMs = 5;
static const int64_t kReadyMs = 30000;
static const char *const kSettings = "hold_max_ms: 4000\ngrace_s: 6\n";

static std::string
Name (const char *kind, int i)
{
  return kind + std::to_string (i);
}

static int
NumberOf (const std::string &name)
{
  return atoi (name.c_str () + name.find_first_of ("0123456789"));
}

Site::Site (const Options &options) : options_ (options)
{
  store_ = listening_store_ = FreeAddress ();
  Start ("store", "carobrun-fake-store", { "--listen", store_ });
  for (int i = 0; i < options.entries; i++)
    AddEntry (i);
  for (int i = 0; i < options.workers; i++)
    AddAgent (i);
  Publish ("");
  while (!records_.empty ())
    Turn ();
  for (auto &p : processes_)
    Up (p.first);
}

void
Site::AddEntry (int i)
{
  std::string name = Name ("entry", i);
  std::string caller = FreeAddress ();
  std::string announced = proxies_.Relay ("", name, caller);
  std::string path = dir_ + "/" + name + ".yaml";

  proxies_.SetZone (name, Name ("z", i % kZones));
  callers.push_back (proxies_.Relay ("client", name, caller));
  ready_.push_back (FreeAddress ());
  std::ofstream (path) << "name: " << name
                       << "\navailability_zone: " << Name ("z", i % kZones)
                       << "\ncaller_address: '" << caller << "'\nready_address: '"
                       << ready_.back () << "'\nmetrics_address: '" << FreeAddress ()
                       << "'\nstore_address: '"
                       << proxies_.Relay (name, "store", store_, caller, announced)
                       << "'\n"
                       << kSettings
                       << "stop_ms: 400\nreclaim_ms: 2900\nstatus_s: 120\n"
                          "remote_slowdown: 3\nkeep_s: 300\n";
  processes_[name].start = [=] {
    Start (name, "carobrun", { "batch-entry", "--settings", path });
  };
}

void
Site::AddAgent (int i)
{
  std::string name = Name ("agent", i);
  std::string zone = Name ("z", i % kZones);
  std::string wire = FreeAddress ();
  std::string announced = proxies_.Relay ("", name, wire);
  std::string path = dir_ + "/" + name + ".yaml";
  Worker worker;

  worker.control = FreeAddress ();
  worker.address = FreeAddress ();
  worker.via = proxies_.Relay (name, Name ("worker", i), worker.address);
  worker.id = Name ("w", i);
  worker.label = i % 4 == 3 ? "b" : "a";
  worker.clock_percent = i % 5 == 1 ? 98 : 100;
  worker.drain_ms = 2500 + 1100 * (i % 4);
  proxies_.SetZone (name, zone);
  proxies_.SetZone (Name ("worker", i), zone);
  std::ofstream (path) << "name: " << name << "\navailability_zone: " << zone
                       << "\ncontrol_address: '" << worker.control
                       << "'\nmetrics_address: '" << FreeAddress ()
                       << "'\nwire_address: '" << wire << "'\nworker_address: '"
                       << worker.via << "'\nstore_address: '"
                       << proxies_.Relay (name, "store", store_, wire, announced)
                       << "'\n"
                       << kSettings;
  workers_.push_back (worker);
  processes_[name].start = [=] {
    Start (name, "carobrun", { "batch-agent", "--settings", path });
  };
  processes_[Name ("worker", i)].start = [=] { StartWorker (i); };
}

void
Site::StartWorker (int i)
{
  Worker &w = workers_[static_cast<size_t> (i)];
  std::string name = Name ("worker", i);
  std::string rack = Name ("r", i / 3);

  Start (name, "carobrun-fake-runner",
         { "--listen",
           w.address,
           "--announce",
           w.via,
           "--agent",
           w.control,
           "--id",
           w.id,
           "--rack",
           rack,
           "--zone",
           Name ("z", i % kZones),
           "--label",
           w.label,
           "--clock",
           std::to_string (w.clock_percent),
           "--first-heartbeat",
           std::to_string (w.first_heartbeat_ms),
           "--drain",
           std::to_string (w.drain_ms),
           "--progress",
           "--trace",
           dir_ + "/" + name + ".trace" });
  lives.push_back ({ i, w.id, w.label, rack, WallMs (), 0, 0 });
  w.born_ms = WallMs ();
  w.first_heartbeat_ms = 0;
}

// Publishes a new version of the configuration: a queue for each of three priorities
// but for the queue WITHOUT, and tenants with guaranteed accelerators.
void
Site::Publish (const std::string &without)
{
  std::string text =
      "{\"version\":" + std::to_string (versions.size () + 1) + ",\"routes\":[";
  std::string record;
  bool first = true;

  for (int p = 0; p < 3; p++)
    {
      if (Name ("q", p) == without)
        continue;
      text += std::string (first ? "" : ",") + "{\"name\":\"" + Name ("q", p) +
              "\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/" + Name ("q", p) +
              "/\",\"priority\":" + std::to_string (p) +
              ",\"service\":\"svc\",\"attempts\":3,\"stretch\":3,\"sloMs\":3000,"
              "\"timeoutMs\":3000}";
      first = false;
    }
  text += "],\"tenants\":[";
  for (int t = 0; t < kTenants; t++)
    text += std::string (t == 0 ? "" : ",") + "{\"name\":\"" + Name ("tenant", t) +
            "\",\"apiKeys\":[\"" + Name ("key", t) +
            "\"],\"guaranteed\":{\"gpu\":" + std::to_string (kGuaranteed) + "}}";
  text += "]}";
  record = std::string (1, 6) + "config" + text;
  for (int shift = 0; shift < 32; shift += 8)
    record.insert (record.begin (),
                   static_cast<char> ((6 + 1 + text.size ()) >> shift));
  records_.push_back (record);
  versions.push_back ({ without, 0, 0 });
  PublishNext ();
}

// Appends the oldest version that is not in the store yet. The operator repeats what
// the store has not acknowledged.
void
Site::PublishNext ()
{
  if (publishing_ != nullptr || records_.empty ())
    return;
  Version &version = versions[versions.size () - records_.size ()];
  if (version.sent_ms == 0)
    version.sent_ms = WallMs ();
  publishing_ = &Begin (listening_store_, "POST",
                        "/api/log-append?topic=keyed.op&part=0", records_[0], 1000);
}

// Returns an entry that is not ready within kReadyMs, empty when all are.
std::string
Site::WaitReady ()
{
  int64_t end_ms = WallMs () + kReadyMs;

  for (size_t i = 0; i < ready_.size ();)
    if (Call (ready_[i], "GET", "/api/readiness", "", 1000).status == 200)
      i++;
    else if (WallMs () > end_ms)
      return Name ("entry", static_cast<int> (i));
    else
      Watch (100);
  return "";
}

void
Site::Note (const std::string &text)
{
  std::ofstream (dir_ + "/faults.log", std::ios::app)
      << "{\"t\":" << WallMs () << ",\"fault\":\"" << text << "\"}\n";
}

void
Site::After (int64_t ms, std::function<void ()> act)
{
  due_.emplace (WallMs () + ms, std::move (act));
}

void
Site::Up (const std::string &name)
{
  Process &p = processes_[name];

  p.start ();
  disturbed.push_back ({ name, p.disturbed_ms, WallMs () });
  p.disturbed = false;
  p.term_ms = 0;
  if (name[0] == 'e') // only entries connect to relays for several processes
    proxies_.SetPid (name, Pid (name));
  proxies_.SetRunning (name, true);
  Note ("started " + name);
}

// Ends process NAME with SIGKILL, or sends it SIGTERM.
void
Site::Down (const std::string &name, int signal)
{
  Note ((signal == SIGKILL ? "killed " : "terminated ") + name);
  if (signal == SIGTERM)
    {
      processes_[name].term_ms = WallMs ();
      Signal (name, SIGTERM);
      return;
    }
  proxies_.SetRunning (name, false);
  if (name[0] == 'w')
    for (auto &l : lives)
      if (l.worker == NumberOf (name) && l.end_ms == 0)
        l.end_ms = WallMs ();
  Kill (name);
}

// Handles what is due and looks for processes that have ended.
void
Site::Turn ()
{
  Pause (kTurnMs);
  if (publishing_ != nullptr && publishing_->done)
    {
      if (publishing_->status == 200)
        {
          versions[versions.size () - records_.size ()].acknowledged_ms = WallMs ();
          records_.erase (records_.begin ());
        }
      publishing_ = nullptr;
      PublishNext ();
    }
  while (!due_.empty () && due_.begin ()->first <= WallMs ())
    {
      auto act = due_.begin ()->second;

      due_.erase (due_.begin ());
      act ();
    }
  for (auto &p : processes_)
    {
      const std::string name = p.first;
      int status = 0;

      if (p.second.term_ms != 0 && Pid (name) != 0 &&
          WallMs () > p.second.term_ms + kGraceMs)
        Signal (name, SIGKILL);
      if (!HasEnded (name, &status))
        continue;
      proxies_.SetRunning (name, false);
      if (name[0] == 'w')
        for (auto &l : lives)
          if (l.worker == NumberOf (name) && l.end_ms == 0)
            l.end_ms = WallMs ();
      if (p.second.term_ms == 0)
        own_ends.push_back (name + ", status " + std::to_string (status));
      Note (name + " ended with status " + std::to_string (status));
      After (repaired_ ? 0 : p.second.restart_ms, [=] { Up (name); });
    }
  if (!at_takeover_.empty ())
    {
      std::string before = scheduler_;
      uint64_t epoch = epoch_;

      Scheduler ();
      if (epoch_ != epoch)
        {
          auto acts = std::move (at_takeover_);

          at_takeover_.clear ();
          for (auto &a : acts)
            a ();
        }
    }
}

void
Site::Watch (int64_t ms)
{
  for (int64_t end_ms = WallMs () + ms; WallMs () < end_ms;)
    Turn ();
}

void
Site::Play (const std::vector<Fault> &plan, int64_t until_ms)
{
  int64_t begin_ms = WallMs ();

  for (auto &f : plan)
    due_.emplace (begin_ms + f.at_ms, [this, f] { Apply (f); });
  Watch (until_ms - WallMs ());
}

void
Site::Repair ()
{
  repaired_ = true;
  at_takeover_.clear ();
  proxies_.ClearRules ();
  for (auto &m : modes_end_ms_)
    Begin (m.first, "POST", "/control", "{\"mode\":\"ok\"}", 2000);
  // Ends pauses, starts what is down and undoes modes.
  while (!due_.empty ())
    {
      auto acts = std::move (due_);

      due_.clear ();
      for (auto &a : acts)
        a.second ();
    }
  // Processes that were terminated or that leave take some seconds to end.
  for (int64_t end_ms = WallMs () + 2 * kGraceMs; WallMs () < end_ms;)
    {
      Turn ();
      if (records_.empty () &&
          std::none_of (processes_.begin (), processes_.end (),
                        [] (const std::pair<const std::string, Process> &p) {
                          return p.second.disturbed;
                        }))
        break;
    }
  Note ("all repaired");
}

// Returns the entry that the logs name as the newest scheduler.
std::string
Site::Scheduler ()
{
  for (int i = 0; i < options_.entries; i++)
    {
      std::string name = Name ("entry", i);
      std::ifstream f (dir_ + "/" + name + ".log");
      std::string line;

      f.seekg (read_[name]);
      while (std::getline (f, line) && !f.eof ())
        {
          size_t at = line.find ("event=scheduler_gained epoch=");
          uint64_t epoch = at == std::string::npos
                               ? 0
                               : strtoull (line.c_str () + at + 29, nullptr, 10);

          read_[name] = f.tellg ();
          if (epoch <= epoch_)
            continue;
          epoch_ = epoch;
          scheduler_ = name;
        }
    }
  return scheduler_.empty () ? "entry0" : scheduler_;
}

// Returns the agent of the worker that started a run last.
std::string
Site::Orderer ()
{
  int64_t newest_ms = 0;
  int found = 0;

  for (int i = 0; i < options_.workers; i++)
    {
      std::ifstream f (dir_ + "/" + Name ("worker", i) + ".trace");
      std::string line;

      f.seekg (0, std::ios::end);
      f.seekg (std::max<std::streamoff> (0, f.tellg () - std::streamoff (4096)));
      while (std::getline (f, line))
        if (line.find ("\"ev\":\"run_start\"") != std::string::npos &&
            line.compare (0, 5, "{\"t\":") == 0 &&
            strtoll (line.c_str () + 5, nullptr, 10) > newest_ms)
          {
            newest_ms = strtoll (line.c_str () + 5, nullptr, 10);
            found = i;
          }
    }
  return Name ("agent", found);
}

std::string
Site::Resolve (const std::string &name)
{
  return name == "scheduler" ? Scheduler () : name == "orderer" ? Orderer () : name;
}

std::vector<std::string>
Site::Members (const std::string &name)
{
  std::vector<std::string> members;

  if (name != "entries" && name != "agents" && name != "all" && name != "power")
    return { Resolve (name) };
  for (auto &p : processes_)
    if ((name != "agents" && p.first[0] == 'e') ||
        (name != "entries" && p.first[0] == 'a') ||
        (name == "power" && p.first[0] == 'w'))
      members.push_back (p.first);
  return members;
}

void
Site::Apply (const Fault &f)
{
  if (repaired_)
    return;
  Note (ToText (f));
  if (f.kind == "kill" || f.kind == "stop" || f.kind == "pause")
    {
      for (auto &name : Members (f.a))
        Disturb (name, f);
      for (int i = 0; i < f.x; i++)
        at_takeover_.push_back ([=] {
          Fault next = f;

          next.a = i == 0 ? "scheduler" : "orderer";
          next.x = 0;
          After (f.y, [=] { Apply (next); });
        });
    }
  else if (f.kind == "worker-mode")
    Mode (workers_[static_cast<size_t> (NumberOf (f.a))].address, f.b, f.x, f.y, f.ms);
  else if (f.kind == "config")
    {
      Publish (f.a);
      After (f.ms, [=] { Publish (""); });
    }
  else if (f.kind == "store")
    Mode (listening_store_, f.a, f.x, 0, f.ms);
  else if (f.kind == "writer")
    ApplyWriter (f);
  else if (f.a.compare (0, 6, "worker") == 0 && f.b.empty ())
    ApplyToWorker (f);
  else
    ApplyToPath (f);
}

void
Site::Disturb (const std::string &name, const Fault &f)
{
  Process &p = processes_[name];

  if (p.disturbed || Pid (name) == 0)
    return;
  p.disturbed = true;
  p.disturbed_ms = WallMs ();
  if (f.kind == "pause" && name[0] != 'w')
    {
      Note ("paused " + name);
      Signal (name, SIGSTOP);
      After (f.ms, [=] {
        Note ("resumed " + name);
        Signal (name, SIGCONT);
        processes_[name].disturbed = false;
        disturbed.push_back ({ name, processes_[name].disturbed_ms, WallMs () });
      });
      return;
    }
  Down (name, f.kind == "stop" && name[0] != 'w' ? SIGTERM : SIGKILL);
  p.restart_ms = f.ms;
  if (f.kind != "stop" || name[0] == 'w')
    After (f.ms, [=] { Up (name); });
}

void
Site::ApplyToWorker (const Fault &f)
{
  Worker &w = workers_[static_cast<size_t> (NumberOf (f.a))];
  Process &p = processes_[f.a];

  if (p.disturbed || Pid (f.a) == 0)
    return;
  p.disturbed = true;
  p.disturbed_ms = WallMs ();
  w.first_heartbeat_ms = f.x;
  if (f.kind == "replace" || f.kind == "leave")
    w.id = "w" + std::to_string (NumberOf (f.a)) + "-" + std::to_string (++w.replaced);
  if (f.kind == "label")
    w.label = w.label == "a" ? "b" : "a";
  p.restart_ms = f.ms;
  Down (f.a, f.kind == "leave" ? SIGTERM : SIGKILL);
  if (f.kind != "leave")
    After (f.ms, [=] { Up (f.a); });
}

// Sends heartbeats of another writer to the agent of worker A, about worker B, A or an
// unknown one.
void
Site::ApplyWriter (const Fault &f)
{
  const Worker &own = workers_[static_cast<size_t> (NumberOf (f.a))];
  const Worker &other = workers_[static_cast<size_t> (NumberOf (f.b))];
  std::string id = f.x % 3 == 0 ? own.id : f.x % 3 == 1 ? other.id : "w-unknown";
  std::string address = f.y ? own.via : other.via;
  std::string state = "\"ready\"";
  std::string service = "\"svc\"";
  std::string sequence = "1";
  std::string born = "1";

  switch (f.x)
    {
    case 0: // an earlier life's, late
      address = own.via;
      break;
    case 1:
      sequence = "1e300";
      break;
    case 2:
      state = "7";
      break;
    case 3:
      service = "\"unnamed\"";
      born = std::to_string (WallMs ());
      break;
    case 4:
      address = "127.0.0.1:99999";
      break;
    case 5:
      state = std::string (3000, '[') + std::string (3000, ']');
      break;
    case 6:
      state = "\"gone\"";
      born = std::to_string (WallMs ());
      break;
    case 7: // like a heartbeat of the other worker
    case 8: // like one of its next life
      id = other.id;
      address = f.y ? own.via : other.via;
      born = std::to_string (f.x == 7 ? other.born_ms : WallMs ());
      sequence = "100000";
      break;
    default:
      service = "{\"a\":null}";
    }
  std::string body =
      "{\"service\":" + service + ",\"address\":\"" + address +
      "\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,\"state\":" + state +
      ",\"coldLeftMs\":0,\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":8},"
      "\"labels\":[\"a\",\"r0\"],\"clockMs\":5,\"seq\":" +
      sequence + ",\"born\":" + born + "}";
  for (int i = 0; i < 4; i++)
    After (i * 900, [=] {
      Begin (own.control, "POST", "/api/instances/" + id + "/heartbeat", body, 1000);
    });
}

void
Site::ApplyToPath (const Fault &f)
{
  PathRule rule;

  rule.from = Resolve (f.a);
  rule.to = Resolve (f.b);
  rule.effect = f.kind == "delay"    ? Effect::kDelay
                : f.kind == "reset"  ? Effect::kReset
                : f.kind == "refuse" ? Effect::kRefuse
                                     : Effect::kHold;
  rule.lose = f.kind == "lose";
  rule.both = f.kind == "delay" || f.y == 1;
  rule.delay_ms = f.y;
  rule.on_open = f.x != 2;
  rule.on_new = f.x != 1;
  rule.end_ms = WallMs () + f.ms;
  Note ("path " + rule.from + " to " + rule.to);
  proxies_.Add (rule);
  disturbed.push_back ({ "*", WallMs (), rule.end_ms });
}

// Sets the mode of the stand-in at ADDRESS for FOR_MS. A later mode replaces it.
void
Site::Mode (const std::string &address, const std::string &mode, int count,
            int64_t delay_ms, int64_t for_ms)
{
  int64_t end_ms = WallMs () + for_ms;

  modes_end_ms_[address] = end_ms;
  disturbed.push_back ({ "*", WallMs (), end_ms });
  Begin (address, "POST", "/control",
         "{\"mode\":\"" + mode + "\"" +
             (count < 0 ? "" : ",\"count\":" + std::to_string (count)) +
             ",\"delay_ms\":" + std::to_string (delay_ms) + "}",
         2000);
  After (for_ms, [=] {
    if (modes_end_ms_[address] == end_ms)
      Begin (address, "POST", "/control", "{\"mode\":\"ok\"}", 2000);
  });
}

} // namespace soak
