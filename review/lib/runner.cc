// Stand-in for a runner: keeps runs under a lease, checks fencing tokens and its 8 GPUs,
// and sends heartbeats to its agent. Arguments: APP CONTROL ID TRACE BEAT_MS FIRST_BEAT_MS
// HOLD_MAX_MS. A task of the spec `run MS` takes MS milliseconds; its GPUs are not part of a
// start, so that a runner takes as many runs as it is told to. A new process has a new
// clock, new numbers of ends, no runs and no fencing token.
#include <jansson.h>

#include <condition_variable>
#include <list>

#include "site.hh"

using namespace review;

static std::string app, control, id, trace_path;
static int64_t beat_ms, first_beat_ms, hold_max_ms, born_ms;
static std::atomic<bool> draining{ false };

struct OpenRun
{
  std::string task;
  int64_t run, end_ms;
  bool stop;
  int64_t started_ms, work_ms;
};

struct End
{
  int64_t number;
  std::string task;
  int64_t run;
  std::string how;
  int64_t ended_ms;
};

static std::mutex lock;
static std::condition_variable changed;
static std::list<OpenRun> open_runs;
static std::list<End> ends;
static std::map<std::string, int64_t> highest; // task -> highest run that ended or was stopped
static int64_t fence, deadline_ms, last_number, lapsed_ms;

static int64_t
SteadyMs ()
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static const int64_t first_ms = SteadyMs ();

static int64_t
ClockMs ()
{
  return 1000 + SteadyMs () - first_ms;
}

static void
Trace (const char *event, const std::string &task, int64_t run, const std::string &how)
{
  static FILE *f = fopen (trace_path.c_str (), "a");
  fprintf (f, "%lld %s %s %s %lld %s\n", (long long)NowMs (), event, id.c_str (), task.c_str (),
           (long long)run, how.c_str ());
  fflush (f);
}

static void
EndRun (std::list<OpenRun>::iterator r, const char *how)
{
  Trace ("end", r->task, r->run, how);
  ends.push_back ({ ++last_number, r->task, r->run, how, ClockMs () });
  highest[r->task] = std::max (highest[r->task], r->run);
  open_runs.erase (r);
  changed.notify_all ();
}

static void
WatchRuns ()
{
  for (;;)
    {
      SleepMs (5);
      std::lock_guard<std::mutex> guard (lock);
      bool lapsed = ClockMs () > deadline_ms;
      if (lapsed)
        lapsed_ms = ClockMs ();
      for (auto r = open_runs.begin (); r != open_runs.end ();)
        {
          auto at = r++;
          if (lapsed)
            EndRun (at, "lapsed");
          else if (at->stop)
            EndRun (at, "stopped");
          else if (ClockMs () >= at->end_ms)
            EndRun (at, "done");
        }
    }
}

static json_t *
Plain ()
{
  return json_pack ("{s:I,s:I}", "clockMs", (json_int_t)ClockMs (), "born", (json_int_t)born_ms);
}

static json_t *
Lists ()
{
  json_t *root = Plain ();
  json_t *running = json_array ();
  json_t *finished = json_array ();
  for (auto &r : open_runs)
    json_array_append_new (
        running, json_pack ("[s,I,s,I,i]", r.task.c_str (), (json_int_t)r.run, "",
                            (json_int_t)std::min<int64_t> (
                                99, 100 * (ClockMs () - r.started_ms) / std::max<int64_t> (1, r.work_ms)),
                            1000));
  size_t listed = 0;
  for (auto e = ends.begin (); e != ends.end () && listed < 500; ++e, ++listed)
    json_array_append_new (finished, json_pack ("[I,s,I,s,s]", (json_int_t)e->number,
                                                e->task.c_str (), (json_int_t)e->run,
                                                e->how.c_str (), ""));
  json_object_set_new (root, "running", running);
  json_object_set_new (root, "finished", finished);
  return root;
}

static int64_t
Number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

// Handles a call; returns the status and the body.
static int
Handle (const std::string &path, const std::string &target, const json_t *body, json_t **out)
{
  std::unique_lock<std::mutex> guard (lock);
  const char *task_text = json_string_value (json_object_get (body, "task"));
  std::string task = task_text == nullptr ? "" : task_text;
  int64_t run = Number (body, "run");
  int64_t until = Number (body, "deadlineMs");
  auto refuse = [&] (const char *reason) {
    *out = Plain ();
    json_object_set_new (*out, "reason", json_string (reason));
    return 409;
  };

  if (!target.empty () && target != id)
    {
      *out = Plain ();
      return 421;
    }
  if (Number (body, "fencingToken") < fence)
    return refuse ("fence");
  fence = Number (body, "fencingToken");
  if (until > 0 && ClockMs () <= until)
    deadline_ms = std::max (deadline_ms, std::min (until, ClockMs () + hold_max_ms));
  auto there = std::find_if (open_runs.begin (), open_runs.end (),
                             [&] (const OpenRun &r) { return r.task == task; });
  if (path == "/api/run-start")
    {
      if (there != open_runs.end () && there->run == run)
        ;
      else if (there != open_runs.end () || (highest.count (task) && run <= highest[task]))
        return refuse ("old");
      else if (until <= ClockMs ())
        return refuse ("late");
      else
        {
          const char *spec = json_string_value (json_object_get (body, "spec"));
          int64_t work_ms = spec != nullptr && strlen (spec) > 4 ? atoll (spec + 4) : 1000;
          // "run A,B": step 0 takes A, step 1 takes B.
          const char *comma = spec == nullptr ? nullptr : strchr (spec, ',');
          size_t dot = task.find ('.', task.find ('.') + 1);
          if (comma != nullptr && task[dot + 1] == '1')
            work_ms = atoll (comma + 1);
          open_runs.push_back ({ task, run, ClockMs () + work_ms, false, ClockMs (), work_ms });
          Trace ("start", task, run, "-");
        }
      *out = Plain ();
      return 200;
    }
  if (path == "/api/run-stop")
    {
      if (there != open_runs.end () && there->run == run)
        there->stop = true;
      else
        highest[task] = std::max (highest[task], run);
      *out = Plain ();
      return 200;
    }
  if (path == "/api/hold")
    {
      int64_t seen = Number (body, "lastSeen");
      int64_t before = last_number;
      while (!ends.empty () && ends.front ().number <= seen)
        {
          const End &e = ends.front ();
          Trace ("noted", e.task, e.run, lapsed_ms >= e.ended_ms ? "lapsed" : e.how);
          ends.pop_front ();
        }
      changed.wait_for (guard, std::chrono::milliseconds (std::min<int64_t> (2000, Number (body, "waitMs"))),
                        [&] { return last_number > before; });
      *out = Lists ();
      return 200;
    }
  *out = Plain ();
  return 200;
}

static void
Serve (int fd)
{
  std::string in;
  char buffer[65536];
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (;;)
    {
      size_t head;
      size_t len = 0;
      std::string lower;
      for (;;)
        {
          head = in.find ("\r\n\r\n");
          if (head != std::string::npos)
            {
              lower = in.substr (0, head);
              std::transform (lower.begin (), lower.end (), lower.begin (), ::tolower);
              size_t at = lower.find ("content-length:");
              len = at == std::string::npos ? 0 : strtoul (lower.c_str () + at + 15, nullptr, 10);
              if (in.size () >= head + 4 + len)
                break;
            }
          ssize_t n = recv (fd, buffer, sizeof buffer, 0);
          if (n <= 0)
            {
              close (fd);
              return;
            }
          in.append (buffer, (size_t)n);
        }
      std::string path = in.substr (in.find (' ') + 1);
      path = path.substr (0, path.find (' '));
      std::string target;
      size_t at = lower.find ("target-instance:");
      if (at != std::string::npos)
        {
          target = in.substr (at + 16, in.find ('\r', at) - at - 16);
          target.erase (0, target.find_first_not_of (' '));
        }
      json_t *body = json_loadb (in.data () + head + 4, len, 0, nullptr);
      json_t *out = nullptr;
      int status = body == nullptr ? 400 : Handle (path, target, body, &out);
      char *text = out == nullptr ? strdup ("{}") : json_dumps (out, JSON_COMPACT);
      std::string reply = "HTTP/1.1 " + std::to_string (status) +
                          " X\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string (strlen (text)) + "\r\n\r\n" + text;
      free (text);
      json_decref (body);
      json_decref (out);
      in.erase (0, head + 4 + len);
      if (send (fd, reply.data (), reply.size (), MSG_NOSIGNAL) != (ssize_t)reply.size ())
        {
          close (fd);
          return;
        }
    }
}

static std::string
Description ()
{
  static int64_t seq = 0;
  char text[1024];
  snprintf (text, sizeof text,
            "{\"service\":\"svc\",\"address\":\"%s\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"%s\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":"
            "8},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":%lld,\"seq\":%lld,\"born\":%lld%s}",
            app.c_str (), draining ? "draining" : "ready", (long long)ClockMs (), (long long)++seq,
            (long long)born_ms, draining ? ",\"drainLeftMs\":2000" : "");
  return text;
}

static void
OnTerm (int)
{
  draining = true;
}

// Reports `draining`, serves on for 2 s after that was acknowledged, sends `leave` and ends.
static void
Drain ()
{
  Call (control, "POST", "/api/instances/" + id + "/heartbeat", Description (), 1000);
  SleepMs (2300);
  Call (control, "POST", "/api/instances/" + id + "/leave",
        "{\"born\":" + std::to_string (born_ms) + "}", 1000);
  _exit (0);
}

int
main (int argc, char **argv)
{
  if (argc != 8)
    return 2;
  app = argv[1];
  control = argv[2];
  id = argv[3];
  trace_path = argv[4];
  beat_ms = atoll (argv[5]);
  first_beat_ms = atoll (argv[6]);
  hold_max_ms = atoll (argv[7]);
  born_ms = NowMs ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, OnTerm);
  Trace ("process", "-", born_ms, "-");
  struct sockaddr_in a = SocketAddress (app);
  int on = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&a, sizeof a) != 0 || listen (listener, 1024) != 0)
    return 2;
  std::thread (WatchRuns).detach ();
  std::thread ([listener] {
    for (;;)
      {
        int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
          std::thread (Serve, fd).detach ();
      }
  }).detach ();
  int64_t next_ms = SteadyMs () + first_beat_ms;
  for (;;)
    {
      while (SteadyMs () < next_ms && !draining)
        SleepMs (10);
      if (draining)
        Drain ();
      Call (control, "POST", "/api/instances/" + id + "/heartbeat", Description (), 1000);
      next_ms = std::max (next_ms + beat_ms, SteadyMs () + beat_ms / 2);
    }
}
