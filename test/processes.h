// Starts and ends the processes of a test, calls them over HTTP and reads their event
// traces. Ends only processes that it started.
#ifndef CB_TEST_PROCESSES_H
#define CB_TEST_PROCESSES_H

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "net/fns.h"
#include "verify/fns.h"

namespace site
{

struct Reply
{
  int err = 1;
  int status = 0;
  std::string body;
  bool done = false;
  cb_loop_t *loop = nullptr; // loop to stop at the end of the call, or null

  // Returns the value of the first string member of the body with the name MEMBER,
  // empty when there is none.
  std::string
  Text (const std::string &member) const
  {
    std::string before = "\"" + member + "\":\"";
    size_t at = body.find (before);

    if (at == std::string::npos)
      return "";
    at += before.size ();
    return body.substr (at, body.find ('"', at) - at);
  }
};

class Processes
{
public:
  Processes () : loop_ (cb_loop_new ())
  {
    char dir[] = "/tmp/carobrun-test-XXXXXX";
    const char *bin = getenv ("CAROBRUN_BIN");

    bin_ = bin == nullptr ? "build/test" : bin;
    dir_ = mkdtemp (dir);
  }

  ~Processes ()
  {
    for (auto &p : pids_)
      kill (p.second, SIGKILL); // SIGTERM would not end paused processes
    for (auto &p : pids_)
      waitpid (p.second, nullptr, 0);
    if (!testing::Test::HasFailure ())
      {
        std::string rm = "rm -rf " + dir_;
        if (system (rm.c_str ()) != 0)
          fprintf (stderr, "cannot remove %s\n", dir_.c_str ());
      }
    else
      fprintf (stderr, "logs and traces are kept in %s\n", dir_.c_str ());
    cb_loop_free (loop_);
  }

  const std::string &
  Dir () const
  {
    return dir_;
  }

  // Starts PROGRAM of the build directory as process NAME, with its output in NAME.log.
  void
  Start (const std::string &name, const std::string &program,
         const std::vector<std::string> &args)
  {
    std::vector<char *> argv;
    std::string path = bin_ + "/" + program;
    pid_t pid;

    argv.push_back (const_cast<char *> (path.c_str ()));
    for (auto &a : args)
      argv.push_back (const_cast<char *> (a.c_str ()));
    argv.push_back (nullptr);
    pid = fork ();
    if (pid == 0)
      {
        std::string log = dir_ + "/" + name + ".log";
        int fd = open (log.c_str (), O_CREAT | O_APPEND | O_WRONLY, 0644);
        dup2 (fd, 1);
        dup2 (fd, 2);
        execv (path.c_str (), argv.data ());
        _exit (127);
      }
    pids_[name] = pid;
  }

  // Returns the process id of NAME, 0 when it isn't running.
  pid_t
  Pid (const std::string &name) const
  {
    auto p = pids_.find (name);

    return p == pids_.end () ? 0 : p->second;
  }

  // Returns whether NAME has ended without Kill or WaitExit. STATUS is as of waitpid.
  bool
  HasEnded (const std::string &name, int *status)
  {
    auto p = pids_.find (name);

    if (p == pids_.end () || waitpid (p->second, status, WNOHANG) != p->second)
      return false;
    pids_.erase (p);
    return true;
  }

  void
  Signal (const std::string &name, int sig)
  {
    ASSERT_TRUE (pids_.count (name)) << name;
    kill (pids_[name], sig);
  }

  void
  Kill (const std::string &name)
  {
    Signal (name, SIGKILL);
    waitpid (pids_[name], nullptr, 0);
    pids_.erase (name);
  }

  // Waits for the end of NAME and returns its exit status, 128 + N after signal N, or
  // -1 when it hasn't ended within the timeout of Until.
  int
  WaitExit (const std::string &name)
  {
    pid_t pid = pids_[name];
    int status = 0;

    if (!Until ([&] { return waitpid (pid, &status, WNOHANG) == pid; }))
      return -1;
    pids_.erase (name);
    return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
  }

  // Sends SIGTERM to NAME and returns its exit status as WaitExit does.
  int
  Terminate (const std::string &name)
  {
    Signal (name, SIGTERM);
    return WaitExit (name);
  }

  // Returns the number of events EV in the trace of NAME whose line contains TEXT.
  int
  Events (const std::string &name, const std::string &ev, const std::string &text = "")
  {
    std::ifstream f (dir_ + "/" + name + ".trace");
    std::string line;
    int count = 0;

    while (std::getline (f, line))
      if (line.find ("\"ev\":\"" + ev + "\"") != std::string::npos &&
          line.find (text) != std::string::npos)
        count++;
    return count;
  }

  // Returns whether the output of NAME contains TEXT. Also finds short-lived states,
  // such as a connection that is down until the next attempt, which polling the status
  // can miss.
  bool
  Logged (const std::string &name, const std::string &text) const
  {
    std::ifstream log (dir_ + "/" + name + ".log");
    std::string all ((std::istreambuf_iterator<char> (log)),
                     std::istreambuf_iterator<char> ());

    return all.find (text) != std::string::npos;
  }

  // Returns the number of events EV with TEXT in the traces of all processes.
  int
  AllEvents (const std::string &ev, const std::string &text = "")
  {
    int count = 0;

    for (auto &t : traces_)
      count +=
          Events (t.first.substr (dir_.size () + 1, t.first.size () - dir_.size () - 7),
                  ev, text);
    return count;
  }

  // Returns the value of the counter NAME of the entry or agent at ADDRESS, 0 when it
  // is absent.
  long
  Counter (const std::string &address, const std::string &name)
  {
    std::string full = "carobrun_" + name + " ";
    std::istringstream text (Call (address, "GET", "/metrics", "", 2000).body);
    std::string line;

    while (std::getline (text, line))
      if (line.compare (0, full.size (), full) == 0)
        return atol (line.c_str () + full.size ());
    return 0;
  }

  // Returns the path for the trace of NAME, which ExpectNoViolation and AllEvents read.
  std::string
  Trace (const std::string &name)
  {
    std::string path = dir_ + "/" + name + ".trace";
    traces_.insert ({ path, 1 });
    return path;
  }

  // Runs `carobrun ARGS...` and returns its exit status, or 128 after a signal. The
  // output goes to LOG.log.
  int
  Command (const std::vector<std::string> &args, const std::string &log = "cli")
  {
    int status = 0;
    std::string name = log;

    Start (name, "carobrun", args);
    waitpid (pids_[name], &status, 0);
    pids_.erase (name);
    return WIFEXITED (status) ? WEXITSTATUS (status) : 128;
  }

  // Sends a call and doesn't wait for its end. The call makes progress while Until,
  // Call or Pause run the loop.
  Reply &
  Begin (const std::string &address, const std::string &method, const std::string &path,
         const std::string &body = "", cb_msec_t timeout_ms = 60000)
  {
    calls_.emplace_back ();
    Send (&calls_.back (), address, method, path, body, timeout_ms);
    return calls_.back ();
  }

  // Waits until all calls of Begin have ended.
  bool
  AllDone ()
  {
    return Until ([&] {
      for (auto &call : calls_)
        if (!call.done)
          return false;
      return true;
    });
  }

  // Sets the fault mode of a stand-in.
  void
  Control (const std::string &address, const std::string &json)
  {
    EXPECT_EQ (Call (address, "POST", "/control", json).status, 200) << json;
  }

  // Sends a call and waits for its end.
  Reply
  Call (const std::string &address, const std::string &method, const std::string &path,
        const std::string &body = "", cb_msec_t timeout_ms = 20000)
  {
    Reply reply;

    reply.loop = loop_;
    Send (&reply, address, method, path, body, timeout_ms);
    if (!reply.done)
      cb_loop_run (loop_);
    return reply;
  }

  // Sends a call and sets REPLY, which must stay valid until the call ends.
  void
  Send (Reply *reply, const std::string &address, const std::string &method,
        const std::string &path, const std::string &body, cb_msec_t timeout_ms)
  {
    cb_http_spec_t spec = {};

    spec.address = address.c_str ();
    spec.method = method.c_str ();
    spec.path = path.c_str ();
    spec.headers = "content-type: application/json\r\n";
    spec.body = body.data ();
    spec.body_len = body.size ();
    spec.timeout_ms = timeout_ms;
    cb_http_call (loop_, &spec, OnReply, reply);
  }

  // Runs the loop for MS. Use it to pace polling, not instead of waiting for a
  // condition.
  void
  Pause (cb_msec_t ms)
  {
    cb_timer_t *timer = cb_timer_new (
        loop_, ms, 0, [] (void *ctx) { cb_loop_stop (static_cast<cb_loop_t *> (ctx)); },
        loop_);
    cb_loop_run (loop_);
    cb_timer_free (timer);
  }

  // Polls until CONDITION holds and returns TRUE, or returns FALSE after 450 polls.
  // These take 45 s or more, which is far above the bounds that the tests check.
  bool
  Until (const std::function<bool ()> &condition)
  {
    for (int i = 0; i < 450; i++)
      {
        if (condition ())
          return true;
        Pause (100);
      }
    return false;
  }

  // Returns how often TEXT occurs in BODY.
  static int
  Count (const std::string &body, const std::string &text)
  {
    int count = 0;

    for (size_t at = 0; (at = body.find (text, at)) != std::string::npos; at++)
      count++;
    return count;
  }

  // Checks the invariants of verify/ in all traces and expects no violation.
  void
  ExpectNoViolation ()
  {
    cb_verify_events_t *events = cb_verify_events_new ();
    cb_verify_bounds_t bounds;

    for (auto &t : traces_)
      {
        char *error = nullptr;
        struct stat st;

        if (stat (t.first.c_str (), &st) != 0)
          continue;
        EXPECT_EQ (0, cb_verify_events_read (events, t.first.c_str (), &error))
            << error;
        g_free (error);
      }
    cb_verify_events_sort (events);
    cb_verify_default_bounds (&bounds);
    cb_verify_result_t *result = cb_verify (events, &bounds);
    for (guint i = 0; i < result->violations->len; i++)
      {
        const cb_violation_t *v =
            static_cast<cb_violation_t *> (g_ptr_array_index (result->violations, i));
        ADD_FAILURE () << v->event->file << ":" << v->event->line << ": "
                       << v->invariant << ": " << v->text;
      }
    for (int i = 0; i < 9; i++)
      checked_[i] = result->checked[i];
    cb_verify_result_free (result);
    cb_verify_events_free (events);
  }
  // Returns how many cases of INVARIANT (1 to 8) the last ExpectNoViolation has
  // checked.
  uint32_t
  Checked (int invariant) const
  {
    return checked_[invariant];
  }

protected:
  std::string dir_;

private:
  static void
  OnReply (void *ctx, int err, int status, const char *body, size_t len)
  {
    Reply *reply = static_cast<Reply *> (ctx);

    reply->err = err;
    reply->status = err < 0 ? 0 : status;
    reply->body.assign (body == nullptr ? "" : body, len);
    reply->done = true;
    if (reply->loop != nullptr)
      cb_loop_stop (reply->loop);
  }

  cb_loop_t *loop_;
  std::string bin_;
  std::map<std::string, pid_t> pids_; // by name
  std::map<std::string, int> traces_; // keys: paths; the values are unused
  std::deque<Reply> calls_;           // of Begin
  uint32_t checked_[9] = {};          // by number of the invariant, 1 to 8
};

} // namespace site

#endif
