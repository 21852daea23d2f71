#include "soak/load.h"

#include <poll.h>
#include <strings.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>

#include "soak/plan.h"
#include "soak/proxies.h"
#include "test/port.h"

namespace soak
{

namespace
{

const int64_t kDeadlineMs = 3000;

int64_t
Pick (std::mt19937 &random, int64_t low, int64_t high)
{
  return low +
         static_cast<int64_t> (random () % static_cast<uint32_t> (high - low + 1));
}

void
SleepMs (int64_t ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

// A connection to an entry, kept open until it breaks.
class Connection
{
public:
  ~Connection ()
  {
    Close ();
  }
  // Returns the status, 0 without an answer, or -1 when the connection was refused.
  int
  Call (const std::string &address, const std::string &method, const std::string &path,
        const std::string &body, int tenant, std::string *answer)
  {
    int64_t due_ms = WallMs () + kDeadlineMs;
    std::string text = method + " " + path + " HTTP/1.1\r\nhost: " + address +
                       "\r\nkey: key" + std::to_string (tenant) +
                       "\r\ncontent-type: application/json\r\ndeadline-ms: " +
                       std::to_string (kDeadlineMs) +
                       "\r\ncontent-length: " + std::to_string (body.size ()) +
                       "\r\n\r\n" + body;

    if (!IsOpen () && !Open (address))
      return -1;
    if (send (fd_, text.data (), text.size (), MSG_NOSIGNAL) !=
        static_cast<ssize_t> (text.size ()))
      {
        Close ();
        return 0;
      }
    return Receive (due_ms, answer);
  }

private:
  int fd_ = -1;

  void
  Close ()
  {
    if (fd_ >= 0)
      close (fd_);
    fd_ = -1;
  }
  // Returns whether there is a connection that the entry has not closed.
  bool
  IsOpen ()
  {
    char byte;

    if (fd_ < 0)
      return false;
    if (recv (fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN)
      return true;
    Close ();
    return false;
  }
  bool
  Open (const std::string &address)
  {
    struct sockaddr_in a = {};

    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    a.sin_port = htons (static_cast<uint16_t> (PortOf (address)));
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect (fd_, reinterpret_cast<sockaddr *> (&a), sizeof a) == 0)
      return true;
    Close ();
    return false;
  }
  int
  Receive (int64_t due_ms, std::string *answer)
  {
    std::string text;
    char buffer[8192];

    for (;;)
      {
        struct pollfd p = { fd_, POLLIN, 0 };
        int64_t left_ms = due_ms - WallMs ();
        size_t head = text.find ("\r\n\r\n");

        if (head != std::string::npos)
          {
            static const std::string last_chunk = "\r\n0\r\n\r\n";
            const char *length = strcasestr (text.c_str (), "content-length:");
            size_t size = length == nullptr ? 0 : strtoul (length + 15, nullptr, 10);
            bool chunked =
                strcasestr (text.c_str (), "transfer-encoding: chunked") != nullptr;

            // Chunks stay in the answer; only members of its JSON are looked for.
            if (chunked)
              size = text.size () - head - 4;
            if (chunked ? text.find (last_chunk, head) != std::string::npos
                        : text.size () >= head + 4 + size)
              {
                if (strcasestr (text.substr (0, head).c_str (), "connection: close"))
                  Close ();
                *answer = text.substr (head + 4, size);
                return atoi (text.c_str () + strlen ("HTTP/1.1 "));
              }
          }
        ssize_t n = left_ms > 0 && poll (&p, 1, static_cast<int> (left_ms)) > 0
                        ? recv (fd_, buffer, sizeof buffer, 0)
                        : 0;
        if (n <= 0)
          {
            Close ();
            return 0;
          }
        text.append (buffer, static_cast<size_t> (n));
      }
  }
};

std::string
Member (const std::string &body, const std::string &name)
{
  std::string before = "\"" + name + "\":\"";
  size_t at = body.find (before);

  if (at == std::string::npos)
    return "";
  at += before.size ();
  return body.substr (at, body.find ('"', at) - at);
}

} // namespace

struct Load::Client
{
  std::vector<Connection> connections;
  std::mt19937 random;
};

std::string
Job::Body () const
{
  std::string text = "{\"spec\":\"" + spec + "\",\"steps\":[";

  for (const StepSpec &s : steps)
    {
      text += std::string (&s == &steps[0] ? "" : ",") +
              "{\"count\":" + std::to_string (s.count) +
              ",\"cpu\":" + std::to_string (s.cpu) +
              ",\"memMb\":" + std::to_string (s.memory_mb) +
              ",\"estimateMs\":" + spec.substr (spec.find (' ') + 1);
      if (s.accelerators > 0)
        text += ",\"gpu\":" + std::to_string (s.accelerators);
      if (!s.after.empty ())
        text += ",\"after\":[" + std::to_string (s.after[0]) + "]";
      if (s.max_per_worker > 0)
        text += ",\"maxPerServer\":" + std::to_string (s.max_per_worker);
      if (!s.label.empty ())
        text += ",\"requiredLabel\":\"" + s.label + "\"";
      if (!s.data_rack.empty ())
        text += ",\"dataRack\":\"" + s.data_rack + "\"";
      text += std::string (s.gang ? ",\"gang\":true" : "") +
              (s.same_rack ? ",\"sameRack\":true" : "") +
              (s.saves ? ",\"savesProgress\":true" : "") +
              (s.fills ? ",\"fills\":true" : "") +
              (s.daemon ? ",\"daemon\":true" : "") + "}";
    }
  text += "]";
  if (times > 0)
    text += ",\"times\":" + std::to_string (times) +
            ",\"startAtMs\":" + std::to_string (start_at_ms) +
            ",\"intervalMs\":" + std::to_string (interval_ms);
  return text + "}";
}

std::string
Job::Path () const
{
  return "/q" + std::to_string (queue) + "/" + id;
}

bool
Job::IsDaemon () const
{
  return steps[0].daemon;
}

static int64_t
FirstMs (const std::vector<ClientCall> &calls, int status)
{
  int64_t first_ms = 0;

  for (auto &c : calls)
    if (c.status == status && (first_ms == 0 || c.answered_ms < first_ms))
      first_ms = c.answered_ms;
  return first_ms;
}

int64_t
Job::AcceptedMs () const
{
  return FirstMs (submits, 200);
}

bool
Job::CancelSent () const
{
  return !cancels.empty ();
}

int64_t
Job::CanceledMs () const
{
  return FirstMs (cancels, 200);
}

Load::Load (uint32_t seed, const std::vector<std::string> &entries)
    : seed_ (seed), entries_ (entries)
{
}

Load::~Load ()
{
  Stop ();
}

void
Load::Start (int threads)
{
  for (int i = 0; i < threads; i++)
    threads_.emplace_back (&Load::Run, this, seed_ * 1000 + static_cast<uint32_t> (i),
                           i);
}

void
Load::Stop ()
{
  over_ = true;
  for (auto &t : threads_)
    t.join ();
  threads_.clear ();
}

std::vector<Job>
Load::Jobs () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::vector<Job> jobs;

  for (auto &j : jobs_)
    jobs.push_back (j.second);
  return jobs;
}

Job
Load::Get (const std::string &id) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return jobs_.at (id);
}

Job
Load::MakeJob (std::mt19937 &random, int number) const
{
  int64_t run_ms =
      Pick (random, 0, 9) == 0 ? Pick (random, 5000, 15000) : Pick (random, 100, 4000);
  char id[17];
  Job job;
  StepSpec s;

  snprintf (id, sizeof id, "%016x", number);
  job.id = id;
  job.tenant = static_cast<int> (Pick (random, 0, kTenants - 1));
  job.queue = static_cast<int> (Pick (random, 0, 2));
  job.fails = Pick (random, 0, 19) == 0;
  s.count = static_cast<int> (Pick (random, 1, 4));
  s.cpu = static_cast<int> (Pick (random, 1, 8)) * 1000;
  s.memory_mb = static_cast<int> (Pick (random, 1, 16)) * 1000;
  s.accelerators = Pick (random, 0, 3) == 0 ? 0 : 1 << Pick (random, 0, 7) / 2;
  switch (Pick (random, 0, 13))
    {
    case 0:
    case 1:
      s.gang = true;
      s.same_rack = Pick (random, 0, 1) == 1;
      break;
    case 2:
      s.label = "a";
      break;
    case 3:
      s.max_per_worker = 1;
      break;
    case 4:
      s.data_rack = "r" + std::to_string (Pick (random, 0, 2));
      break;
    case 5:
      s.saves = true;
      break;
    case 6:
      job.times = static_cast<int> (Pick (random, 1, 4));
      job.start_at_ms = WallMs () + Pick (random, 500, 4000);
      job.interval_ms = Pick (random, 500, 3000);
      run_ms = std::min<int64_t> (run_ms, 2000);
      job.fails = false;
      break;
    case 7:
      s.daemon = Pick (random, 0, 2) == 0;
      if (!s.daemon)
        break;
      s.count = 1;
      s.accelerators = 1;
      run_ms = 600000;
      job.fails = false;
      break;
    case 8:
      s.fills = true;
      break;
    default:
      break;
    }
  job.spec = std::string (job.fails ? "fail " : "run ") + std::to_string (run_ms);
  job.steps.push_back (s);
  if (!s.daemon && Pick (random, 0, 3) == 0)
    {
      StepSpec next = s;

      next.after = { 0 };
      next.count = static_cast<int> (Pick (random, 1, 3));
      job.steps.push_back (next);
    }
  return job;
}

// Sends the METHOD of job ID to a random entry until one takes it, at most TRIES times.
// Returns whether one did.
bool
Load::Send (Client &client, const std::string &method, const std::string &id, int tries)
{
  Job job = Get (id);
  std::vector<ClientCall> Job::*calls = method == "POST"  ? &Job::submits
                                        : method == "GET" ? &Job::gets
                                                          : &Job::cancels;

  for (int i = 0; i < tries; i++)
    {
      auto entry = static_cast<size_t> (
          Pick (client.random, 0, static_cast<int64_t> (entries_.size ()) - 1));
      std::string answer;
      ClientCall call = { static_cast<int> (entry), WallMs (), 0, 0, "" };
      size_t at;

      {
        // A call that is under way counts as one without an answer.
        std::lock_guard<std::mutex> lock (mutex_);
        at = (jobs_.at (id).*calls).size ();
        (jobs_.at (id).*calls).push_back (call);
      }
      call.status = client.connections[entry].Call (
          entries_[entry], method, job.Path (), method == "POST" ? job.Body () : "",
          job.tenant, &answer);
      call.answered_ms = WallMs ();
      call.state = call.status == 200 ? Member (answer, "state") : "";
      std::lock_guard<std::mutex> lock (mutex_);
      (jobs_.at (id).*calls)[at] = call;
      if (call.status == 200 || call.status == 410)
        return call.status == 200;
    }
  return false;
}

void
Load::Run (uint32_t seed, int number)
{
  Client client = { std::vector<Connection> (entries_.size ()), std::mt19937 (seed) };
  std::vector<std::string> own;

  for (int n = 0; !over_; n++)
    {
      Job job = MakeJob (client.random, (number + 1) * 0x10000 + n);
      bool accepted;

      {
        std::lock_guard<std::mutex> lock (mutex_);
        jobs_[job.id] = job;
      }
      accepted = Send (client, "POST", job.id, 4);
      own.push_back (job.id);
      std::string earlier = own[static_cast<size_t> (
          Pick (client.random, 0, static_cast<int64_t> (own.size ()) - 1))];
      switch (Pick (client.random, 0, 11))
        {
        case 0:
          Send (client, "DELETE", job.id, 3);
          break;
        case 1:
          // Before or after the end of the job, or for one that was refused.
          Send (client, "DELETE", earlier, 3);
          break;
        case 2:
          // A request that arrives again after its answer.
          if (accepted)
            Send (client, "POST", job.id, 1);
          break;
        default:
          Send (client, "GET", earlier, 1);
        }
      SleepMs (Pick (client.random, 200, 2000));
    }
}

void
Load::Finish (int64_t for_ms)
{
  Client client = { std::vector<Connection> (entries_.size ()),
                    std::mt19937 (seed_ + 1) };
  int64_t due_ms = WallMs () + for_ms;

  for (auto &j : Jobs ())
    if (j.IsDaemon () && j.AcceptedMs () != 0 && !j.CancelSent ())
      Send (client, "DELETE", j.id, 4);
  for (auto &j : Jobs ())
    {
      if (j.AcceptedMs () == 0)
        continue;
      for (;;)
        {
          Send (client, "GET", j.id, 1);
          ClientCall last = Get (j.id).gets.back ();
          if (last.state == "completed" || last.state == "failed" ||
              last.state == "cancelled" || WallMs () > due_ms)
            break;
          SleepMs (200);
        }
    }
}

} // namespace soak
