/* Stand-ins of the users' platform for the cases of the second review: store, runners,
   advisor, network paths and clients, all in the process of the case. The project's own
   programs run as processes of their own, with the commands of the deploy file. All
   addresses are loopback addresses with ports that the kernel chose. */
#ifndef HARNESS_HPP
#define HARNESS_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rv
{

using Lock = std::unique_lock<std::mutex>;

inline int64_t
NowMs ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::steady_clock::now ().time_since_epoch ())
      .count ();
}

inline int64_t
WallMs ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::system_clock::now ().time_since_epoch ())
      .count ();
}

inline void
SleepMs (int64_t ms)
{
  if (ms > 0)
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/* The record of the case: one line for each event, with the seconds since the start. */
class Record
{
public:
  static Record &
  Get ()
  {
    static Record record;
    return record;
  }
  void
  Open (const std::string &path)
  {
    file_ = fopen (path.c_str (), "w");
    start_ms_ = NowMs ();
  }
  void
  Line (const char *format, ...) __attribute__ ((format (printf, 2, 3)))
  {
    Lock lock (mutex_);
    va_list args;

    if (file_ == nullptr)
      return;
    fprintf (file_, "%8.3f ", static_cast<double> (NowMs () - start_ms_) / 1000);
    va_start (args, format);
    vfprintf (file_, format, args);
    va_end (args);
    fputc ('\n', file_);
    fflush (file_);
  }

private:
  std::mutex mutex_;
  FILE *file_ = nullptr;
  int64_t start_ms_ = 0;
};

#define LOG(...) rv::Record::Get ().Line (__VA_ARGS__)

/* Returns the string or number NAME of the flat JSON text BODY, as text without quotes;
   empty: there is none. */
inline std::string
Field (const std::string &body, const std::string &name)
{
  std::string wanted = "\"" + name + "\":";
  size_t at = body.find (wanted);
  size_t end;

  if (at == std::string::npos)
    return "";
  at += wanted.size ();
  while (at < body.size () && body[at] == ' ')
    at++;
  if (at < body.size () && body[at] == '"')
    {
      end = body.find ('"', at + 1);
      return body.substr (at + 1, end - at - 1);
    }
  end = body.find_first_of (",}] \n", at);
  return body.substr (at, end - at);
}

inline int64_t
Number (const std::string &body, const std::string &name)
{
  return strtoll (Field (body, name).c_str (), nullptr, 10);
}

inline int
Listen (std::string &address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  sockaddr_in a = {};
  socklen_t len = sizeof a;

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (!address.empty ())
    a.sin_port = htons (
        static_cast<uint16_t> (atoi (address.substr (address.find (':') + 1).c_str ())));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, reinterpret_cast<sockaddr *> (&a), sizeof a) != 0 ||
      listen (fd, 256) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, reinterpret_cast<sockaddr *> (&a), &len);
  address = "127.0.0.1:" + std::to_string (ntohs (a.sin_port));
  return fd;
}

/* Returns an address that is free now, with a port below those that the kernel gives to
   outgoing connections. */
inline std::string
FreeAddress ()
{
  static int port = 10000 + static_cast<int> (getpid () * 131L % 20000);

  for (;;)
    {
      std::string address = "127.0.0.1:" + std::to_string (port);
      int fd;

      port = port == 30000 ? 10000 : port + 1;
      fd = Listen (address);
      if (fd < 0)
        continue;
      close (fd);
      return address;
    }
}

inline int
Connect (const std::string &address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = {};

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  a.sin_port = htons (
      static_cast<uint16_t> (atoi (address.substr (address.find (':') + 1).c_str ())));
  if (connect (fd, reinterpret_cast<sockaddr *> (&a), sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

struct Message
{
  std::string start; /* request or status line */
  std::string head;  /* the header lines, lower case */
  std::string body;
  std::string
  Header (const std::string &name) const
  {
    size_t at = head.find ("\n" + name + ":");
    size_t end;

    if (at == std::string::npos)
      return "";
    at = head.find_first_not_of (' ', at + name.size () + 2);
    end = head.find ('\r', at);
    return head.substr (at, end - at);
  }
};

/* Takes the chunks of a body that begins at AT of BUFFER. FALSE: not all of it is there
   yet. */
inline bool
ReadChunks (std::string &buffer, size_t at, std::string &body)
{
  body.clear ();
  for (;;)
    {
      size_t line = buffer.find ("\r\n", at);

      if (line == std::string::npos)
        return false;
      size_t size = strtoul (buffer.c_str () + at, nullptr, 16);
      at = line + 2;
      if (buffer.size () < at + size + 2)
        return false;
      body += buffer.substr (at, size);
      at += size + 2;
      if (size > 0)
        continue;
      buffer.erase (0, at);
      return true;
    }
}

/* Reads one HTTP message from FD; BUFFER keeps what follows it. FALSE: the connection
   has ended or TIMEOUT_MS is over. */
inline bool
ReadMessage (int fd, std::string &buffer, Message &message, int64_t timeout_ms)
{
  int64_t due_ms = NowMs () + timeout_ms;
  char chunk[65536];

  for (;;)
    {
      size_t end = buffer.find ("\r\n\r\n");

      if (end != std::string::npos)
        {
          size_t line = buffer.find ("\r\n");

          message.start = buffer.substr (0, line);
          message.head = buffer.substr (line, end + 2 - line);
          std::transform (message.head.begin (), message.head.end (),
                          message.head.begin (),
                          [] (unsigned char c) { return tolower (c); });
          if (message.Header ("transfer-encoding") == "chunked")
            {
              if (ReadChunks (buffer, end + 4, message.body))
                return true;
            }
          else
            {
              size_t length =
                  strtoul (message.Header ("content-length").c_str (), nullptr, 10);

              if (buffer.size () >= end + 4 + length)
                {
                  message.body = buffer.substr (end + 4, length);
                  buffer.erase (0, end + 4 + length);
                  return true;
                }
            }
        }
      pollfd p = { fd, POLLIN, 0 };
      int64_t left_ms = due_ms - NowMs ();
      if (left_ms <= 0 || poll (&p, 1, static_cast<int> (left_ms)) <= 0)
        return false;
      ssize_t n = read (fd, chunk, sizeof chunk);
      if (n <= 0)
        return false;
      buffer.append (chunk, static_cast<size_t> (n));
    }
}

inline bool
WriteAll (int fd, const std::string &text)
{
  size_t done = 0;

  while (done < text.size ())
    {
      ssize_t n = send (fd, text.data () + done, text.size () - done, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      done += static_cast<size_t> (n);
    }
  return true;
}

struct Reply
{
  int status = 0; /* 0: no reply */
  std::string body;
};

/* Sends one request on a connection of its own. */
inline Reply
Call (const std::string &address, const std::string &method, const std::string &path,
      const std::string &body, int64_t timeout_ms, const std::string &headers = "")
{
  Reply reply;
  Message message;
  std::string buffer;
  int fd = Connect (address);

  if (fd < 0)
    return reply;
  WriteAll (fd, method + " " + path + " HTTP/1.1\r\nhost: " +
                    (headers.find ("host:") == 0 ? headers.substr (6) : address) +
                    "\r\ncontent-type: application/json\r\nconnection: close\r\n"
                    "content-length: " +
                    std::to_string (body.size ()) + "\r\n\r\n" + body);
  if (ReadMessage (fd, buffer, message, timeout_ms))
    {
      reply.status = atoi (message.start.substr (9, 3).c_str ());
      reply.body = message.body;
    }
  close (fd);
  return reply;
}

/* An HTTP server with a thread for each connection. The handler returns status 0 to
   leave a request without an answer. */
class Server
{
public:
  using Handler = std::function<Reply (const std::string &method,
                                       const std::string &path, const Message &)>;
  std::string address;

  void
  Start (Handler handler, const std::string &at = "")
  {
    handler_ = handler;
    address = at.empty () ? FreeAddress () : at;
    Open ();
  }
  /* Listens again at the same address. */
  void
  Open ()
  {
    fd_ = Listen (address);
    std::thread ([this, fd = fd_.load ()] { Accept (fd); }).detach ();
  }
  /* Ends all connections; new ones are refused. */
  void
  Close ()
  {
    Lock lock (mutex_);

    shutdown (fd_, SHUT_RDWR);
    close (fd_);
    for (int fd : open_)
      shutdown (fd, SHUT_RDWR);
  }

private:
  void
  Accept (int listener)
  {
    for (;;)
      {
        int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);

        if (fd < 0)
          return;
        std::thread ([this, fd] { Serve (fd); }).detach ();
      }
  }
  void
  Serve (int fd)
  {
    std::string buffer;
    Message message;

    {
      Lock lock (mutex_);
      open_.insert (fd);
    }

    while (ReadMessage (fd, buffer, message, 3600000))
      {
        size_t a = message.start.find (' ');
        size_t b = message.start.find (' ', a + 1);
        Reply reply = handler_ (message.start.substr (0, a),
                                message.start.substr (a + 1, b - a - 1), message);

        if (reply.status == 0)
          continue;
        if (!WriteAll (fd, "HTTP/1.1 " + std::to_string (reply.status) +
                               " X\r\ncontent-type: application/json\r\n"
                               "content-length: " +
                               std::to_string (reply.body.size ()) + "\r\n\r\n" +
                               reply.body))
          break;
      }
    Lock lock (mutex_);
    open_.erase (fd);
    close (fd);
  }
  Handler handler_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> fd_ = { -1 };
};

/* A network path: relays connections to TO. After Silence, the connections that are open
   carry nothing more and are not closed; new ones work. */
class Path
{
public:
  std::string address;

  explicit Path (const std::string &to) : address (FreeAddress ()), to_ (to)
  {
    fd_ = Listen (address);
    std::thread ([this] { Accept (); }).detach ();
  }
  void
  Silence ()
  {
    generation_++;
  }

private:
  void
  Accept ()
  {
    for (;;)
      {
        int fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC);
        int to = fd < 0 ? -1 : Connect (to_);

        if (fd < 0)
          return;
        if (to < 0)
          {
            close (fd);
            continue;
          }
        std::thread ([this, fd, to] { Relay (fd, to); }).detach ();
      }
  }
  void
  Relay (int a, int b)
  {
    int generation = generation_;
    char chunk[65536];
    pollfd p[2] = { { a, POLLIN, 0 }, { b, POLLIN, 0 } };

    while (generation == generation_)
      {
        if (poll (p, 2, 20) <= 0)
          continue;
        if (generation != generation_)
          break;
        for (int i = 0; i < 2; i++)
          {
            if (p[i].revents == 0)
              continue;
            ssize_t n = read (p[i].fd, chunk, sizeof chunk);
            if (n <= 0 ||
                !WriteAll (p[1 - i].fd, std::string (chunk, static_cast<size_t> (n))))
              {
                close (a);
                close (b);
                return;
              }
          }
      }
    /* Silent: the sockets stay open until the case ends. */
  }
  std::string to_;
  int fd_ = -1;
  std::atomic<int> generation_ = { 0 };
};

/* The platform's store. */
class Store
{
public:
  Server server;

  void
  Start ()
  {
    server.Start ([this] (const std::string &method, const std::string &path,
                          const Message &m) { return Handle (method, path, m); });
  }
  void
  Put (const std::string &topic, const std::string &key, const std::string &value)
  {
    Lock lock (mutex_);

    topics_[topic].push_back (std::string (1, static_cast<char> (key.size ())) + key +
                              value);
    changed_.notify_all ();
  }

private:
  static std::string
  Query (const std::string &path, const std::string &name)
  {
    size_t at = path.find ("&" + name + "=");

    if (at == std::string::npos)
      at = path.find ("?" + name + "=");
    if (at == std::string::npos)
      return "";
    at += name.size () + 2;
    return path.substr (at, path.find ('&', at) - at);
  }
  static std::string
  BigEndian (uint64_t value, int bytes)
  {
    std::string text;

    for (int i = bytes - 1; i >= 0; i--)
      text.push_back (static_cast<char> (value >> (8 * i)));
    return text;
  }
  static std::string
  Base64 (const std::string &data)
  {
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;

    for (size_t i = 0; i < data.size (); i += 3)
      {
        uint32_t v = 0;
        size_t n = std::min<size_t> (3, data.size () - i);

        for (size_t k = 0; k < 3; k++)
          v = v << 8 | (k < n ? static_cast<uint8_t> (data[i + k]) : 0);
        for (size_t k = 0; k < 4; k++)
          text.push_back (k <= n ? digits[v >> (18 - 6 * k) & 63] : '=');
      }
    return text;
  }
  Reply
  Append (const std::string &path, const Message &m)
  {
    Lock lock (mutex_);
    auto &records = topics_[Query (path, "topic")];
    std::string at_offset = Query (path, "at");
    uint64_t first = records.size ();

    if (!at_offset.empty () && strtoull (at_offset.c_str (), nullptr, 10) != first)
      return { 412, "{\"end\":" + std::to_string (first) + "}" };
    for (size_t at = 0; at + 4 <= m.body.size ();)
      {
        size_t size = 0;

        for (int i = 0; i < 4; i++)
          size = size << 8 | static_cast<uint8_t> (m.body[at++]);
        records.push_back (m.body.substr (at, size));
        at += size;
      }
    changed_.notify_all ();
    return { 200, "{\"offset\":" + std::to_string (first) +
                      ",\"end\":" + std::to_string (records.size ()) + "}" };
  }
  Reply
  Read (const std::string &path)
  {
    Lock lock (mutex_);
    auto &records = topics_[Query (path, "topic")];
    size_t from = strtoull (Query (path, "from").c_str (), nullptr, 10);
    int64_t wait_ms = strtoll (Query (path, "waitMs").c_str (), nullptr, 10);
    Reply reply = { 200, "" };

    changed_.wait_for (lock, std::chrono::milliseconds (wait_ms),
                       [&] { return records.size () > from; });
    reply.body = BigEndian (records.size (), 8) + BigEndian (0, 8);
    for (size_t i = from; i < records.size () && reply.body.size () < (1 << 20); i++)
      reply.body += BigEndian (records[i].size (), 4) + records[i];
    return reply;
  }
  Reply
  Newest (const std::string &path)
  {
    Lock lock (mutex_);
    auto &records = topics_[Query (path, "topic")];
    std::string after = Query (path, "after");
    std::map<std::string, size_t> newest;
    std::string items;
    size_t n = 0;
    bool more = false;

    for (size_t i = 0; i < records.size (); i++)
      newest[records[i].substr (1, static_cast<uint8_t> (records[i][0]))] = i;
    for (const auto &[key, offset] : newest)
      {
        if (!after.empty () && key <= after)
          continue;
        if (n++ == 500)
          {
            more = true;
            break;
          }
        items += (items.empty () ? "" : ",") + std::string ("{\"key\":\"") + key +
                 "\",\"value\":\"" + Base64 (records[offset].substr (1 + key.size ())) +
                 "\",\"offset\":" + std::to_string (offset) + "}";
      }
    return { 200, "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
                      ",\"end\":" + std::to_string (records.size ()) + "}" };
  }
  Reply
  Handle (const std::string &method, const std::string &path, const Message &m)
  {
    SleepMs (4);
    if (method == "POST" && path.find ("/api/log-append?") == 0)
      return Append (path, m);
    if (path.find ("/api/log-read?") == 0)
      return Read (path);
    if (path.find ("/api/log-newest?") == 0)
      return Newest (path);
    return { 404, "{}" };
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<std::string>> topics_;
};

/* One run of a task, as a runner has it. */
struct Run
{
  std::string task;
  int64_t run;
  std::string worker;
  int64_t begin_ms;
  int64_t end_ms = 0; /* 0: at work */
  std::string how;
};

/* What runners did, for the checks. */
class Runs
{
public:
  static Runs &
  Get ()
  {
    static Runs runs;
    return runs;
  }
  size_t
  Begin (const std::string &task, int64_t run, const std::string &worker)
  {
    Lock lock (mutex_);

    runs_.push_back ({ task, run, worker, NowMs (), 0, "" });
    LOG ("runner %s begins %s run %ld", worker.c_str (), task.c_str (),
         static_cast<long> (run));
    return runs_.size () - 1;
  }
  void
  End (size_t at, const std::string &how)
  {
    Lock lock (mutex_);

    runs_[at].end_ms = NowMs ();
    runs_[at].how = how;
    LOG ("runner %s ends %s run %ld: %s", runs_[at].worker.c_str (),
         runs_[at].task.c_str (), static_cast<long> (runs_[at].run), how.c_str ());
  }
  /* The runs of the tasks whose names begin with PREFIX. */
  std::vector<Run>
  Of (const std::string &prefix)
  {
    Lock lock (mutex_);
    std::vector<Run> found;

    for (const auto &r : runs_)
      if (r.task.find (prefix) == 0)
        found.push_back (r);
    return found;
  }

private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

/* A runner that follows the pages. The spec of a task is "run MS". */
class Runner
{
public:
  Server server;
  std::string id, rack, kind, control, service = "svc";
  bool tickets = false;
  std::atomic<bool> unhealthy = { false }; /* answers starts with 503, does nothing */
  std::atomic<bool> dead = { false };      /* lost for good: no calls, no heartbeats */
  std::atomic<int> late_starts = { 0 };    /* so many starts get no answer, and */
  int64_t late_ms = 0;                     /* are carried out this much later */
  std::atomic<bool> draining = { false };  /* says so in its heartbeats */
  std::atomic<int64_t> drain_acked_ms = { 0 }; /* when the first such was acknowledged */

  void
  Start (const std::string &id_, const std::string &rack_, const std::string &kind_,
         const std::string &control_, const std::string &at, int64_t hold_max_ms,
         int64_t heartbeat_ms)
  {
    id = id_;
    rack = rack_;
    kind = kind_;
    control = control_;
    hold_max_ms_ = hold_max_ms;
    born_ms_ = WallMs ();
    start_ms_ = NowMs ();
    server.Start ([this] (const std::string &method, const std::string &path,
                          const Message &m) { return Handle (method, path, m); },
                  at);
    std::thread ([this, heartbeat_ms] {
      while (!dead)
        {
          if (down_ || NowMs () < silent_until_ms_)
            {
              SleepMs (10);
              continue;
            }
          Heartbeat (++seq_);
          for (int64_t due_ms = NowMs () + heartbeat_ms;
               NowMs () < due_ms && NowMs () >= silent_until_ms_ && !down_;)
            SleepMs (10);
        }
    }).detach ();
    std::thread ([this] {
      for (;;)
        {
          Tick ();
          SleepMs (5);
        }
    }).detach ();
  }

  /* The runner crashes, and starts again under its id after DOWN_MS: it then holds and
     knows nothing of before, and its counts start anew. */
  void
  Restart (int64_t down_ms, const std::string &new_kind = "",
           int64_t first_heartbeat_ms = 0)
  {
    server.Close ();
    {
      Lock lock (mutex_);

      LOG ("runner %s crashes", id.c_str ());
      down_ = true;
      while (!running_.empty ())
        EndTask (0, "gone");
      ends_.clear ();
      highest_.clear ();
      last_end_ = fence_ = lease_ms_ = 0;
      life_++;
      changed_.notify_all ();
    }
    SleepMs (down_ms);
    {
      Lock lock (mutex_);

      born_ms_ = WallMs ();
      start_ms_ = NowMs ();
      seq_ = 0;
      if (!new_kind.empty ())
        kind = new_kind;
      LOG ("runner %s has started again under its id, of kind %s", id.c_str (),
           kind.c_str ());
    }
    down_ = false;
    server.Open ();
    silent_until_ms_ = NowMs () + first_heartbeat_ms;
  }
  int64_t
  BornMs () const
  {
    return born_ms_;
  }

private:
  struct Task
  {
    std::string name;
    int64_t run;
    int64_t work_end_ms;
    size_t at;
  };
  int64_t
  Clock () const
  {
    return NowMs () - start_ms_ + 1;
  }
  void
  Heartbeat (int64_t seq)
  {
    bool drains = draining;
    Reply reply = Call (control, "POST", "/api/instances/" + id + "/heartbeat",
          "{\"service\":\"" + service + "\",\"address\":\"" + server.address +
              "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
              (drains ? "draining\",\"drainLeftMs\":30000," : "ready\",") +
              "\"coldLeftMs\":0,\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":8},"
              "\"labels\":[\"" +
              kind + "\",\"" + rack + "\"],\"clockMs\":" + std::to_string (Clock ()) +
              ",\"seq\":" + std::to_string (seq) +
              ",\"born\":" + std::to_string (born_ms_) + "}",
          1000);

    if (drains)
      LOG ("runner %s says that it is draining (seq %ld) -> %d", id.c_str (),
           static_cast<long> (seq), reply.status);
    if (drains && reply.status / 100 == 2 && drain_acked_ms == 0)
      drain_acked_ms = NowMs ();
  }
  void
  EndTask (size_t i, const std::string &how)
  {
    Runs::Get ().End (running_[i].at, how);
    highest_[running_[i].name] =
        std::max (highest_[running_[i].name], running_[i].run);
    ends_.push_back ({ ++last_end_, running_[i].name, running_[i].run, how });
    running_.erase (running_.begin () + static_cast<long> (i));
    changed_.notify_all ();
  }
  void
  Tick ()
  {
    Lock lock (mutex_);

    for (size_t i = 0; i < running_.size ();)
      if (dead)
        EndTask (i, "gone");
      else if (Clock () > lease_ms_)
        EndTask (i, "lapsed");
      else if (NowMs () >= running_[i].work_end_ms)
        EndTask (i, "done");
      else
        i++;
  }
  std::string
  Base () const
  {
    return "\"clockMs\":" + std::to_string (Clock ()) +
           ",\"born\":" + std::to_string (born_ms_);
  }
  Reply
  Refuse (const std::string &reason) const
  {
    return { 409, "{" + Base () + ",\"reason\":\"" + reason + "\"}" };
  }
  Reply
  StartRun (const Message &m)
  {
    std::string task = Field (m.body, "task");
    int64_t run = Number (m.body, "run");
    std::string spec = Field (m.body, "spec");

    if (unhealthy)
      {
        LOG ("runner %s answers the start of %s run %ld with 503", id.c_str (),
             task.c_str (), static_cast<long> (run));
        return { 503, "{" + Base () + "}" };
      }
    for (const auto &t : running_)
      if (t.name == task && t.run == run)
        return { 200, "{" + Base () + "}" };
    if (highest_.count (task) != 0 && run <= highest_[task])
      return Refuse ("old");
    if (Number (m.body, "deadlineMs") <= Clock ())
      return Refuse ("late");
    if (tickets && Field (m.body, "ticket") !=
                       task.substr (0, task.rfind ('.')) + "@" + id)
      {
        LOG ("runner %s refuses the start of %s run %ld: ticket", id.c_str (),
             task.c_str (), static_cast<long> (run));
        return Refuse ("ticket");
      }
    running_.push_back ({ task, run, NowMs () + strtoll (spec.c_str () + 4, nullptr, 10),
                          Runs::Get ().Begin (task, run, id) });
    return { 200, "{" + Base () + "}" };
  }
  Reply
  StopRun (const Message &m)
  {
    std::string task = Field (m.body, "task");
    int64_t run = Number (m.body, "run");

    highest_[task] = std::max (highest_[task], run);
    for (size_t i = 0; i < running_.size (); i++)
      if (running_[i].name == task && running_[i].run == run)
        {
          EndTask (i, "stopped");
          break;
        }
    return { 200, "{" + Base () + "}" };
  }
  Reply
  Hold (const Message &m, Lock &lock)
  {
    int64_t seen = Number (m.body, "lastSeen");
    int64_t before = last_end_;
    int life = life_;
    std::string running, finished;

    while (!ends_.empty () && ends_.front ().number <= seen)
      ends_.erase (ends_.begin ());
    changed_.wait_for (lock, std::chrono::milliseconds (Number (m.body, "waitMs")),
                       [&] { return last_end_ != before || life_ != life; });
    if (life_ != life)
      return { 0, "" };
    for (const auto &t : running_)
      running += (running.empty () ? "[\"" : ",[\"") + t.name + "\"," +
                 std::to_string (t.run) + ",\"\",50,1]";
    for (size_t i = 0; i < ends_.size () && i < 500; i++)
      finished += (i == 0 ? "[" : ",[") + std::to_string (ends_[i].number) + ",\"" +
                  ends_[i].task + "\"," + std::to_string (ends_[i].run) + ",\"" +
                  ends_[i].how + "\",\"\"]";
    return { 200, "{" + Base () + ",\"running\":[" + running + "],\"finished\":[" +
                      finished + "]}" };
  }
  Reply
  Handle (const std::string &method, const std::string &path, const Message &m)
  {
    Lock lock (mutex_);
    int64_t token = Number (m.body, "fencingToken");

    (void)method;
    if (dead || down_)
      return { 0, "" };
    if (path == "/api/run-start" && late_starts > 0)
      {
        late_starts--;
        LOG ("runner %s leaves the start of %s run %ld unanswered", id.c_str (),
             Field (m.body, "task").c_str (), static_cast<long> (Number (m.body, "run")));
        std::thread ([this, m] {
          SleepMs (late_ms);
          Lock late (mutex_);
          if (dead || down_ || Number (m.body, "fencingToken") < fence_)
            return;
          fence_ = Number (m.body, "fencingToken");
          lease_ms_ = std::max (lease_ms_, std::min (Number (m.body, "deadlineMs"),
                                                     Clock () + hold_max_ms_));
          LOG ("runner %s carries out the unanswered start of %s run %ld: %d", id.c_str (),
               Field (m.body, "task").c_str (),
               static_cast<long> (Number (m.body, "run")), StartRun (m).status);
        }).detach ();
        return { 0, "" };
      }
    if (m.Header ("target-instance") != id)
      return { 421, "{}" };
    if (token < fence_)
      return Refuse ("fence");
    fence_ = token;
    if (path != "/api/run-stop")
      lease_ms_ = std::max (lease_ms_, std::min (Number (m.body, "deadlineMs"),
                                                 Clock () + hold_max_ms_));
    if (path == "/api/run-start")
      return StartRun (m);
    if (path == "/api/run-stop")
      return StopRun (m);
    if (path == "/api/hold")
      return Hold (m, lock);
    return { 404, "{}" };
  }
  struct End
  {
    int64_t number;
    std::string task;
    int64_t run;
    std::string how;
  };
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Task> running_;
  std::vector<End> ends_;
  std::map<std::string, int64_t> highest_;
  int64_t last_end_ = 0, fence_ = 0, lease_ms_ = 0;
  int64_t hold_max_ms_ = 0, born_ms_ = 0, start_ms_ = 0, seq_ = 0;
  int life_ = 0;
  std::atomic<int64_t> silent_until_ms_ = { 0 };
  std::atomic<bool> down_ = { false };
};

/* The advisor: allows all the workers that it is asked about. */
class Advisor
{
public:
  Server server;

  void
  Start ()
  {
    server.Start ([this] (const std::string &, const std::string &path,
                          const Message &m) { return Handle (path, m); });
  }

private:
  Reply
  Handle (const std::string &path, const Message &m)
  {
    Lock lock (mutex_);
    std::string step = Field (m.body, "step");
    size_t at = m.body.find ("\"workers\":[");
    std::string rows;
    int workers = 0;

    if (path != "/api/advise" || at == std::string::npos)
      return { 400, "{}" };
    at += 11;
    while (at < m.body.size () && m.body[at] == '"')
      {
        size_t end = m.body.find ('"', at + 1);
        std::string id = m.body.substr (at + 1, end - at - 1);

        rows += (rows.empty () ? "[\"" : ",[\"") + id + "\",\"" + step + "@" + id + "\"]";
        workers++;
        at = end + (m.body[end + 1] == ',' ? 2 : 1);
      }
    SleepMs (20 + 2 * workers);
    LOG ("advisor allows %d workers for %s", workers, step.c_str ());
    return { 200, "{\"allowed\":[" + rows + "],\"validityMs\":3000}" };
  }
  std::mutex mutex_;
};

/* The processes of carobrun, of one small deployment. */
class Site
{
public:
  Store store;
  Advisor advisor;
  std::vector<std::string> fronts, readies;
  std::vector<std::unique_ptr<Runner>> runners;
  int64_t hold_max_ms = 10000;
  /* The kind of runner I, its first label. */
  std::function<std::string (int)> kind = [] (int i) { return i == 0 ? "b" : "a"; };

  Site (const std::string &program, const std::string &dir)
      : program_ (program), dir_ (dir)
  {
    mkdir (dir_.c_str (), 0700);
    signal (SIGPIPE, SIG_IGN);
    store.Start ();
    advisor.Start ();
  }
  /* Ends all processes and the case. */
  [[noreturn]] void
  Finish (int status)
  {
    for (const auto &[name, pid] : pids_)
      kill (pid, SIGKILL);
    for (const auto &[name, pid] : pids_)
      waitpid (pid, nullptr, 0);
    LOG ("exit status %d", status);
    _exit (status);
  }
  /* Starts the entries and agents. VIA: the address of the store for entries; empty: the
     store's own. */
  void
  Start (int entries, int agents, const std::string &via = "")
  {
    for (int i = 0; i < entries; i++)
      {
        std::string name = "front-" + std::to_string (i);

        fronts.push_back (FreeAddress ());
        readies.push_back (FreeAddress ());
        WriteSettings (
            name, "name: '" + name + "'\navailability_zone: 'z1'\nregion: 'r'\n" +
                      "caller_address: '" + fronts[i] + "'\nready_address: '" +
                      readies[i] + "'\nmetrics_address: '" + FreeAddress () +
                      "'\nstore_address: '" + (via.empty () ? store.server.address : via) +
                      "'\nadvisor_address: '" + advisor.server.address +
                      "'\nhold_max_ms: " + std::to_string (hold_max_ms) +
                      "\ngrace_s: 6\nstop_ms: 900\nreclaim_ms: 3400\nstatus_s: 120\n"
                      "remote_slowdown: 3\nkeep_s: 300\ncpu_share: 0.25\n"
                      "log_level: info\n");
        StartProgram (name, "batch-entry");
      }
    for (int i = 0; i < agents; i++)
      {
        std::string name = "side-" + std::to_string (i);
        std::string control = FreeAddress ();
        std::string app = FreeAddress ();

        WriteSettings (name, "name: '" + name + "'\navailability_zone: 'z1'\n"
                                 "region: 'r'\ncontrol_address: '" +
                                 control + "'\nwire_address: '" + FreeAddress () +
                                 "'\nmetrics_address: '" + FreeAddress () +
                                 "'\nworker_address: '" + app + "'\nstore_address: '" +
                                 store.server.address + "'\nhold_max_ms: " +
                                 std::to_string (hold_max_ms) +
                                 "\ngrace_s: 6\nlog_level: info\n");
        StartProgram (name, "batch-agent");
        runners.push_back (std::make_unique<Runner> ());
        runners[i]->Start ("i-" + std::to_string (i), "r" + std::to_string (i / 3),
                           kind (i), control, app, hold_max_ms, 1500);
      }
  }
  void
  StartProgram (const std::string &name, const std::string &command)
  {
    std::string settings = dir_ + "/" + name + ".yaml";
    std::string log = dir_ + "/" + name + ".log";
    pid_t pid = fork ();

    if (pid == 0)
      {
        int fd = open (log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0600);

        dup2 (fd, 1);
        dup2 (fd, 2);
        execl (program_.c_str (), program_.c_str (), command.c_str (), "--settings",
               settings.c_str (), nullptr);
        _exit (127);
      }
    commands_[name] = command;
    pids_[name] = pid;
  }
  void
  Signal (const std::string &name, int signo)
  {
    LOG ("%s gets signal %d", name.c_str (), signo);
    kill (pids_[name], signo);
    if (signo == SIGKILL)
      {
        waitpid (pids_[name], nullptr, 0);
        pids_.erase (name);
      }
  }
  void
  Restart (const std::string &name)
  {
    LOG ("%s is started again", name.c_str ());
    StartProgram (name, commands_[name]);
  }
  void
  Publish (const std::string &config)
  {
    store.Put ("keyed.op", "config", config);
    LOG ("operator writes %s", config.c_str ());
  }
  /* Waits until all entries are ready and the runners of WORKERS agents can be used: a
     start needs the first reports. FALSE: not in time. */
  bool
  Ready (int64_t timeout_ms)
  {
    int64_t due_ms = NowMs () + timeout_ms;

    for (const auto &address : readies)
      while (Call (address, "GET", "/api/readiness", "", 1000).status != 200)
        {
          if (NowMs () > due_ms)
            return false;
          SleepMs (50);
        }
    SleepMs (4000);
    return true;
  }
  /* A client's call at entry I, which is recorded. */
  Reply
  Client (int i, const std::string &method, const std::string &path,
          const std::string &body = "")
  {
    Reply reply = Call (fronts[i], method, path, body, 3000, "host: site.example");

    LOG ("client %s %s at front-%d %s -> %d %s", method.c_str (), path.c_str (), i,
         body.c_str (), reply.status, reply.body.c_str ());
    return reply;
  }

private:
  void
  WriteSettings (const std::string &name, const std::string &text)
  {
    FILE *f = fopen ((dir_ + "/" + name + ".yaml").c_str (), "w");

    fputs (text.c_str (), f);
    fclose (f);
  }
  std::string program_, dir_;
  std::map<std::string, pid_t> pids_;
  std::map<std::string, std::string> commands_;
};

/* Returns a route of the configuration; MORE: further fields. */
inline std::string
Route (const std::string &name, int priority, const std::string &more = "",
       bool is_public = true)
{
  return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"pathPrefix\":\"/" + name +
         "/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":3000,"
         "\"priority\":" +
         std::to_string (priority) +
         ",\"service\":\"svc\",\"attempts\":4,\"stretch\":3.0,\"public\":" +
         (is_public ? "true" : "false") + more + "}";
}

inline std::string
Config (int version, const std::string &routes)
{
  return "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"svc\",\"maxConns\":64,\"admissionCheck\":true}],"
         "\"limits\":{\"maxBodyBytes\":262144},\"tenants\":[{\"name\":\"t1\","
         "\"apiKeys\":[\"key1\"],\"guaranteed\":{\"gpu\":8}}]}";
}

/* TRUE unless the environment asks for the case without its disruption. */
inline bool
Trouble ()
{
  const char *text = getenv ("TROUBLE");

  return text == nullptr || strcmp (text, "0") != 0;
}

} // namespace rv

#endif
