// A small deployment for the scripts of the third review: the project's entries and
// agents as separate processes, its stand-ins for the store and the workers, and an
// HTTP client. Everything listens on loopback. Times are in ms since the site was
// created.
#ifndef REVIEW_STANDIN_3_SITE_HPP
#define REVIEW_STANDIN_3_SITE_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace review
{

inline int64_t
ClockMs (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

inline void
SleepMs (int64_t ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&ts, nullptr);
}

// Returns 127.0.0.1:PORT with a port that is free and below the range of local ports of
// outgoing connections.
inline std::string
FreeAddress ()
{
  static int port = 18000 + getpid () % 120 * 100;

  for (int tries = 0; tries < 12000; tries++)
    {
      struct sockaddr_in addr = {};
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool free;

      port = port >= 30100 ? 18000 : port + 1;
      addr.sin_family = AF_INET;
      addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      addr.sin_port = htons ((uint16_t)port);
      free = bind (fd, (struct sockaddr *)&addr, sizeof addr) == 0;
      close (fd);
      if (free)
        return "127.0.0.1:" + std::to_string (port);
    }
  return "";
}

struct Reply
{
  int status = 0; // 0: no complete reply
  std::string body;

  // Returns the string member NAME of the body, or "".
  std::string
  Text (const std::string &name) const
  {
    std::string before = "\"" + name + "\":\"";
    size_t at = body.find (before);

    if (at == std::string::npos)
      return "";
    at += before.size ();
    return body.substr (at, body.find ('"', at) - at);
  }
};

// Decodes the reply IN, after which the connection has ended if ENDED. Returns false
// while it is incomplete.
inline bool
ParseReply (const std::string &in, bool ended, Reply *reply)
{
  size_t at = in.find ("\r\n\r\n");
  std::string head;
  std::string body;

  if (at == std::string::npos)
    return false;
  for (char c : in.substr (0, at))
    head += (char)tolower (c);
  at += 4;
  size_t length = head.find ("\r\ncontent-length:");
  if (length != std::string::npos)
    {
      size_t bytes = strtoul (head.c_str () + length + 17, nullptr, 10);

      if (in.size () - at < bytes)
        return false;
      body = in.substr (at, bytes);
    }
  else if (head.find ("\r\ntransfer-encoding: chunked") == std::string::npos)
    {
      if (!ended)
        return false;
      body = in.substr (at);
    }
  else
    for (;;)
      {
        size_t end = in.find ("\r\n", at);
        size_t bytes;

        if (end == std::string::npos)
          return false;
        bytes = strtoul (in.c_str () + at, nullptr, 16);
        if (in.size () < end + 2 + bytes + 2)
          return false;
        if (bytes == 0)
          break;
        body += in.substr (end + 2, bytes);
        at = end + 2 + bytes + 2;
      }
  reply->status = atoi (in.c_str () + 9);
  reply->body = body;
  return true;
}

// Sends one request on a connection of its own.
inline Reply
Http (const std::string &address, const std::string &method, const std::string &path,
      const std::string &body = "", int timeout_ms = 3000)
{
  Reply reply;
  size_t colon = address.find (':');
  struct sockaddr_in addr = {};
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int64_t end_ms = ClockMs (CLOCK_MONOTONIC) + timeout_ms;
  std::string in;
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                    "Content-Type: application/json\r\nConnection: close\r\n" +
                    "Deadline-Ms: " + std::to_string (timeout_ms) +
                    "\r\nContent-Length: " + std::to_string (body.size ()) +
                    "\r\n\r\n" + body;
  size_t sent = 0;

  addr.sin_family = AF_INET;
  addr.sin_port = htons ((uint16_t)atoi (address.c_str () + colon + 1));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &addr.sin_addr);
  connect (fd, (struct sockaddr *)&addr, sizeof addr);
  while (ClockMs (CLOCK_MONOTONIC) < end_ms)
    {
      struct pollfd p = { fd, (short)(sent < out.size () ? POLLOUT : POLLIN), 0 };
      char buffer[65536];
      ssize_t n;

      if (poll (&p, 1, 20) <= 0)
        continue;
      if (sent < out.size ())
        {
          n = send (fd, out.data () + sent, out.size () - sent, MSG_NOSIGNAL);
          if (n < 0 && errno != EAGAIN)
            break;
          sent += n > 0 ? (size_t)n : 0;
          continue;
        }
      n = recv (fd, buffer, sizeof buffer, 0);
      if (n < 0 && errno == EAGAIN)
        continue;
      in.append (buffer, n > 0 ? (size_t)n : 0);
      if (ParseReply (in, n == 0, &reply) || n <= 0)
        break;
    }
  close (fd);
  return reply;
}

// One event of a worker's trace.
struct Event
{
  int64_t t; // ms
  std::string worker;
  std::string what; // run_start, run_end, ...
  std::string task;
  std::string run;
  std::string how;
};

class Site
{
public:
  std::vector<std::string> callers; // entries' addresses for callers
  std::vector<std::string> ready;
  std::vector<std::string> controls; // agents' addresses for heartbeats
  std::vector<std::string> runners;  // workers' addresses
  std::string store = FreeAddress ();

  // The folder of the case, for record.txt; the current folder is the repository's
  // root.
  explicit Site (const std::string &folder) : start_ms_ (ClockMs (CLOCK_MONOTONIC))
  {
    const char *trouble = getenv ("TROUBLE");
    const char *tmp = getenv ("TMPDIR");
    std::string dir =
        std::string (tmp == nullptr ? "/tmp" : tmp) + "/carobrun-review-XXXXXX";

    trouble_ = trouble == nullptr || strcmp (trouble, "0") != 0;
    record_ = fopen ((folder + "/record.txt").c_str (), "w");
    if (record_ == nullptr || mkdtemp (&dir[0]) == nullptr)
      {
        fprintf (stderr, "cannot write to %s or %s\n", folder.c_str (), dir.c_str ());
        exit (2);
      }
    dir_ = dir;
    Record ("trouble=%d", trouble_);
  }

  ~Site ()
  {
    EndAll ();
  }

  bool
  Trouble () const
  {
    return trouble_;
  }

  int64_t
  Now () const
  {
    return ClockMs (CLOCK_MONOTONIC) - start_ms_;
  }

  // Writes a line to record.txt.
  void
  Record (const char *format, ...) __attribute__ ((format (printf, 2, 3)))
  {
    va_list args;

    fprintf (record_, "%8.3f ", (double)Now () / 1000);
    va_start (args, format);
    vfprintf (record_, format, args);
    va_end (args);
    fputc ('\n', record_);
    fflush (record_);
  }

  // Ends all processes and exits with STATUS: 0 the rule held, 1 it was broken, 2 the
  // case could not run.
  [[noreturn]] void
  Quit (int status, const std::string &why)
  {
    Record ("result %d: %s", status, why.c_str ());
    EndAll ();
    fclose (record_);
    printf ("%d: %s\n", status, why.c_str ());
    fflush (stdout);
    _exit (status);
  }

  void
  StartStore ()
  {
    Start ("store", "target/review-3/carobrun-fake-store", { "--listen", store });
  }

  // MORE: lines of settings. KEEP_S: as the platform's keep_s.
  void
  AddEntry (int keep_s = 300, const std::string &more = "")
  {
    std::string name = "entry" + std::to_string (callers.size ());

    callers.push_back (FreeAddress ());
    ready.push_back (FreeAddress ());
    Write (name,
           "name: " + name + "\navailability_zone: z\nregion: r\ncaller_address: '" +
               callers.back () + "'\nready_address: '" + ready.back () +
               "'\nmetrics_address: '" + FreeAddress () + "'\nstore_address: '" +
               store +
               "'\nhold_max_ms: 4000\ngrace_s: 6\nstop_ms: 400\nreclaim_ms: 2900\n"
               "status_s: 120\nremote_slowdown: 3\nkeep_s: " +
               std::to_string (keep_s) +
               "\n"
               "cpu_share: 0.25\nmemory_mb: 260\nmax_fds: 4100\nlog_level: info\n" +
               more);
    StartEntry ((int)callers.size () - 1);
  }

  void
  StartEntry (int i)
  {
    std::string name = "entry" + std::to_string (i);

    Start (name, "target/carobrun", { "batch-entry", "--settings", Settings (name) });
  }

  // Adds an agent with its worker, which is in RACK. With TICKETS the worker refuses
  // starts without a ticket of the advisor.
  void
  AddWorker (const std::string &rack, bool tickets = false)
  {
    int i = (int)runners.size ();
    std::string name = "agent" + std::to_string (i);

    controls.push_back (FreeAddress ());
    runners.push_back (FreeAddress ());
    racks_.push_back (rack);
    tickets_ = tickets;
    Write (name, "name: " + name +
                     "\navailability_zone: z\nregion: r\ncontrol_address: '" +
                     controls[i] + "'\nwire_address: '" + FreeAddress () +
                     "'\nmetrics_address: '" + FreeAddress () + "'\nworker_address: '" +
                     runners[i] + "'\nstore_address: '" + store +
                     "'\nhold_max_ms: 4000\ngrace_s: 6\nmemory_mb: 128\nmax_fds: 4096\n"
                     "log_level: info\n");
    Start (name, "target/carobrun", { "batch-agent", "--settings", Settings (name) });
    StartRunner (i);
  }

  void
  StartRunner (int i)
  {
    std::string name = "runner" + std::to_string (i);
    std::vector<std::string> args = { "--listen",
                                      runners[i],
                                      "--agent",
                                      controls[i],
                                      "--id",
                                      "w" + std::to_string (i),
                                      "--rack",
                                      racks_[i],
                                      "--progress",
                                      "--trace",
                                      dir_ + "/" + name + ".trace" };

    if (tickets_)
      args.push_back ("--tickets");
    Start (name, "target/review-3/carobrun-fake-runner", args);
  }

  // Deletes the records of the topic `batch` that are older than KEEP_S, as the
  // platform's store does by itself. To be called often.
  void
  ExpireRecords (int keep_s)
  {
    std::string from = std::to_string (ends_.empty () ? 0 : ends_.back ().second);
    Reply reply =
        Http (store, "GET", "/api/log-read?topic=batch&part=0&waitMs=0&from=" + from,
              "", 1000);
    uint64_t end = 0;
    uint64_t before = 0;

    if (reply.status != 200 || reply.body.size () < 16)
      return;
    for (int i = 0; i < 8; i++)
      end = end << 8 | (uint8_t)reply.body[(size_t)i];
    ends_.push_back ({ Now (), end });
    while (ends_.size () > 1 && ends_.front ().first < Now () - keep_s * 1000)
      {
        before = ends_.front ().second;
        ends_.erase (ends_.begin ());
      }
    if (before > 0)
      Http (store, "POST", "/delete?topic=batch&before=" + std::to_string (before), "",
            1000);
  }

  // Writes the operator's configuration, and with it its version.
  void
  PublishConfig (const std::string &config)
  {
    std::string record = std::string (1, 6) + "config" + config;
    uint32_t size = htonl ((uint32_t)record.size ());
    std::string body ((const char *)&size, 4);

    for (int i = 0; i < 100; i++)
      {
        if (Http (store, "POST", "/api/log-append?topic=keyed.op&part=0", body + record)
                .status == 200)
          return;
        SleepMs (100);
      }
    Quit (2, "the store does not answer");
  }

  // Waits until all entries are ready and a scheduler knows WORKERS workers.
  void
  WaitUntilReady ()
  {
    bool up = Until (20000, [&] {
      for (const auto &r : ready)
        if (Http (r, "GET", "/api/readiness", "", 1000).status != 200)
          return false;
      return true;
    });

    if (!up)
      Quit (2, "the entries do not become ready");
    SleepMs (4000);
  }

  // Returns 16 hexadecimal digits.
  static std::string
  Id (unsigned n)
  {
    char text[17];

    snprintf (text, sizeof text, "5c0e7a21%08x", n);
    return text;
  }

  // Submits a job as a client does: again, at the next entry, until an answer is 2xx.
  // Returns whether the job was accepted.
  bool
  Submit (const std::string &queue, unsigned n, const std::string &job)
  {
    for (int attempt = 0; attempt < 4; attempt++)
      {
        Reply reply = Http (callers[(size_t)attempt % callers.size ()], "POST",
                            queue + Id (n), job);

        Record ("sent POST %s%s %s -> %d", queue.c_str (), Id (n).c_str (),
                job.c_str (), reply.status);
        if (reply.status / 100 == 2)
          return true;
        SleepMs (500);
      }
    return false;
  }

  std::string
  State (const std::string &queue, unsigned n)
  {
    Reply reply = Http (callers[0], "GET", queue + Id (n));
    std::string state =
        reply.status == 200 ? reply.Text ("state") : std::to_string (reply.status);

    Record ("sent GET %s%s -> %d %s", queue.c_str (), Id (n).c_str (), reply.status,
            state.c_str ());
    return state;
  }

  bool
  Until (int64_t timeout_ms, const std::function<bool ()> &condition)
  {
    int64_t end_ms = Now () + timeout_ms;

    while (Now () < end_ms)
      {
        if (condition ())
          return true;
        SleepMs (50);
      }
    return false;
  }

  // Returns the events of the workers' traces, by worker and then by time.
  std::vector<Event>
  Events () const
  {
    std::vector<Event> events;

    for (size_t i = 0; i < runners.size (); i++)
      {
        std::ifstream file (dir_ + "/runner" + std::to_string (i) + ".trace");
        std::string line;

        while (std::getline (file, line))
          events.push_back ({ Number (line, "t"), "w" + std::to_string (i),
                              Member (line, "ev"), Member (line, "task"),
                              std::to_string (Number (line, "run")),
                              Member (line, "how") });
      }
    return events;
  }

  // Returns the tasks of job N that run now, each with the worker that runs it.
  std::map<std::string, std::string>
  Running (unsigned n) const
  {
    std::map<std::string, std::string> running;

    for (const Event &e : Events ())
      if (e.task.compare (0, 16, Id (n)) == 0 && e.what == "run_start")
        running[e.task] = e.worker;
      else if (e.task.compare (0, 16, Id (n)) == 0 && e.what == "run_end" &&
               running.count (e.task) && running[e.task] == e.worker)
        running.erase (e.task);
    return running;
  }

  // Writes the runs of the workers to record.txt.
  void
  RecordRuns ()
  {
    for (const Event &e : Events ())
      if (e.what.compare (0, 4, "run_") == 0)
        Record ("worker %s t=%lld %s task=%s run=%s %s", e.worker.c_str (),
                (long long)e.t, e.what.c_str (), e.task.c_str (), e.run.c_str (),
                e.how.c_str ());
  }

  void
  Signal (const std::string &name, int signal_number)
  {
    Record ("signal %d to %s", signal_number, name.c_str ());
    kill (pids_[name], signal_number);
  }

  void
  Kill (const std::string &name)
  {
    Signal (name, SIGKILL);
    waitpid (pids_[name], nullptr, 0);
    pids_.erase (name);
  }

  // Returns whether the process NAME has ended by itself.
  bool
  Ended (const std::string &name)
  {
    return pids_.count (name) && waitpid (pids_[name], nullptr, WNOHANG) == pids_[name];
  }

  // Returns whether the log of the process NAME contains TEXT.
  bool
  Logged (const std::string &name, const std::string &text) const
  {
    std::ifstream log (dir_ + "/" + name + ".log");
    std::string all ((std::istreambuf_iterator<char> (log)),
                     std::istreambuf_iterator<char> ());

    return all.find (text) != std::string::npos;
  }

private:
  int64_t start_ms_;
  bool trouble_;
  std::string dir_;
  FILE *record_;
  std::vector<std::string> racks_;
  bool tickets_ = false;
  std::vector<std::pair<int64_t, uint64_t> > ends_; // of the topic `batch`, by time
  std::map<std::string, pid_t> pids_;

  static std::string
  Member (const std::string &line, const std::string &name)
  {
    return Reply{ 200, line }.Text (name);
  }

  static int64_t
  Number (const std::string &line, const std::string &name)
  {
    size_t at = line.find ("\"" + name + "\":");

    return at == std::string::npos
               ? 0
               : strtoll (line.c_str () + at + name.size () + 3, nullptr, 10);
  }

  std::string
  Settings (const std::string &name) const
  {
    return dir_ + "/" + name + ".yaml";
  }

  void
  Write (const std::string &name, const std::string &text)
  {
    std::ofstream (Settings (name)) << text;
  }

  void
  Start (const std::string &name, const std::string &path,
         const std::vector<std::string> &args)
  {
    std::vector<char *> argv = { const_cast<char *> (path.c_str ()) };
    pid_t pid;

    for (auto &a : args)
      argv.push_back (const_cast<char *> (a.c_str ()));
    argv.push_back (nullptr);
    pid = fork ();
    if (pid == 0)
      {
        int fd = open ((dir_ + "/" + name + ".log").c_str (),
                       O_CREAT | O_APPEND | O_WRONLY, 0644);

        prctl (PR_SET_PDEATHSIG, SIGKILL);
        dup2 (fd, 1);
        dup2 (fd, 2);
        execv (path.c_str (), argv.data ());
        _exit (127);
      }
    pids_[name] = pid;
  }

  void
  EndAll ()
  {
    for (auto &p : pids_)
      kill (p.second, SIGKILL);
    for (auto &p : pids_)
      waitpid (p.second, nullptr, 0);
    pids_.clear ();
    if (getenv ("KEEP") == nullptr)
      {
        std::string command = "rm -rf " + dir_;

        if (system (command.c_str ()) != 0)
          fprintf (stderr, "cannot remove %s\n", dir_.c_str ());
      }
  }
};

// Returns the JSON of a queue of priority P with the path prefix /qP/.
inline std::string
Queue (int p, const std::string &more = "")
{
  std::string n = std::to_string (p);

  return "{\"name\":\"q" + n + "\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/q" + n +
         "/\",\"service\":\"svc\",\"priority\":" + n +
         ",\"attempts\":3,\"stretch\":3,\"sloMs\":3000,\"public\":true" + more + "}";
}

} // namespace review

#endif
