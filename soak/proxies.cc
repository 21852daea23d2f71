#include "soak/proxies.h"

#include <dirent.h>
#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>

#include "test/port.h"

namespace soak
{

static const size_t kQueueBytesMax = 4 << 20;
static const int kBacklog = 256;
static const int kIdlePollMs = 20;
static const int kBusyPollMs = 3;

int64_t
WallMs ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::system_clock::now ().time_since_epoch ())
      .count ();
}

// Closes FD with a reset instead of an orderly end.
static void
Reset (int fd)
{
  struct linger hard = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close (fd);
}

static int
Connect (const std::string &address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = {};

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  a.sin_port = htons (static_cast<uint16_t> (PortOf (address)));
  if (connect (fd, reinterpret_cast<sockaddr *> (&a), sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

Proxies::Proxies ()
{
  thread_ = std::thread ([this] { Run (); });
}

Proxies::~Proxies ()
{
  over_ = true;
  thread_.join ();
  for (auto &l : listeners_)
    if (l.fd >= 0)
      close (l.fd);
  for (auto &c : connections_)
    for (int fd : c.fd)
      close (fd);
}

std::string
Proxies::Relay (const std::string &from, const std::string &to,
                const std::string &target, const std::string &appended,
                const std::string &replacement)
{
  Listener l;

  l.from = from;
  l.to = to;
  l.address = FreeAddress ();
  l.target = target;
  l.appended = appended;
  l.replacement = replacement;
  l.fd = ListenOn (l.address, kBacklog);
  std::lock_guard<std::mutex> lock (mutex_);
  listeners_.push_back (l);
  return l.address;
}

void
Proxies::SetZone (const std::string &name, const std::string &zone)
{
  std::lock_guard<std::mutex> lock (mutex_);
  zones_[name] = zone;
}

void
Proxies::SetPid (const std::string &name, pid_t pid)
{
  std::lock_guard<std::mutex> lock (mutex_);
  pids_[name] = pid;
}

void
Proxies::SetRunning (const std::string &to, bool running)
{
  std::lock_guard<std::mutex> lock (mutex_);
  for (auto &l : listeners_)
    {
      if (l.to != to)
        continue;
      l.running = running;
      if (!running && l.fd >= 0)
        {
          close (l.fd);
          l.fd = -1;
        }
    }
}

void
Proxies::Add (PathRule rule)
{
  std::lock_guard<std::mutex> lock (mutex_);
  rule.begin_ms = WallMs ();
  rules_.push_back (rule);
}

void
Proxies::ClearRules ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  for (auto &r : rules_)
    r.end_ms = 0;
}

bool
Proxies::IsMember (const std::string &pattern, const std::string &name) const
{
  auto zone = zones_.find (name);

  return pattern == "*" || pattern == name ||
         (zone != zones_.end () && zone->second == pattern);
}

// Returns whether RULE affects what passes from socket SIDE of C to the other one.
bool
Proxies::Applies (const PathRule &rule, const Connection &c, int side) const
{
  const std::string &from = side == 0 ? c.from : c.listener->to;
  const std::string &to = side == 0 ? c.listener->to : c.from;

  if (c.begin_ms <= rule.begin_ms ? !rule.on_open : !rule.on_new)
    return false;
  return (IsMember (rule.from, from) && IsMember (rule.to, to)) ||
         (rule.both && IsMember (rule.from, to) && IsMember (rule.to, from));
}

// Returns the inode of the socket on loopback with these ports, 0 if there is none.
static unsigned
Inode (int local, int remote)
{
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_req_v2 request;
  } query = {};
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_msg message;
    char rest[1024];
  } reply = {};
  int fd = socket (AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  struct inet_diag_sockid &id = query.request.id;

  query.head.nlmsg_len = sizeof query;
  query.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.head.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.idiag_states = ~0U;
  id.idiag_sport = htons (static_cast<uint16_t> (local));
  id.idiag_dport = htons (static_cast<uint16_t> (remote));
  id.idiag_src[0] = id.idiag_dst[0] = htonl (INADDR_LOOPBACK);
  id.idiag_cookie[0] = id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  if (send (fd, &query, sizeof query, 0) > 0)
    recv (fd, &reply, sizeof reply, 0);
  close (fd);
  return reply.head.nlmsg_type == SOCK_DIAG_BY_FAMILY ? reply.message.idiag_inode : 0;
}

// Returns the name of the process that has connected from the port LOCAL to REMOTE.
std::string
Proxies::Owner (int local, int remote) const
{
  unsigned inode = Inode (local, remote);

  if (inode == 0)
    return "";
  std::string wanted = "socket:[" + std::to_string (inode) + "]";
  for (auto &p : pids_)
    {
      std::string path = "/proc/" + std::to_string (p.second) + "/fd";
      DIR *dir = opendir (path.c_str ());
      std::string found;
      char target[64];

      while (struct dirent *entry = dir == nullptr ? nullptr : readdir (dir))
        {
          ssize_t n = readlinkat (dirfd (dir), entry->d_name, target, sizeof target);

          if (n > 0 && std::string (target, static_cast<size_t> (n)) == wanted)
            found = p.first;
        }
      if (dir != nullptr)
        closedir (dir);
      if (!found.empty ())
        return found;
    }
  return "";
}

void
Proxies::Accept (const Listener &listener)
{
  struct sockaddr_in peer = {};
  socklen_t len = sizeof peer;
  int fd =
      accept4 (listener.fd, reinterpret_cast<sockaddr *> (&peer), &len, SOCK_CLOEXEC);
  int target;
  Connection c;

  if (fd < 0)
    return;
  c.listener = &listener;
  c.from = listener.from.empty ()
               ? Owner (ntohs (peer.sin_port), PortOf (listener.address))
               : listener.from;
  c.begin_ms = WallMs () + 1;
  for (auto &r : rules_)
    if ((r.effect == Effect::kRefuse) && r.end_ms > WallMs () &&
        (Applies (r, c, 0) || Applies (r, c, 1)))
      {
        Reset (fd);
        return;
      }
  target = Connect (listener.target);
  if (target < 0)
    {
      Reset (fd);
      return;
    }
  c.fd[0] = fd;
  c.fd[1] = target;
  for (int f : c.fd)
    fcntl (f, F_SETFL, O_NONBLOCK);
  connections_.push_back (c);
}

// Reads from socket SIDE. What was read before a reset is passed on as before an end.
void
Proxies::Read (Connection &c, int side)
{
  char buffer[65536];
  ssize_t n = read (c.fd[side], buffer, sizeof buffer);
  Pipe &pipe = c.pipe[side];

  if (n <= 0)
    {
      pipe.ended = n == 0 || (errno != EAGAIN && errno != EINTR);
      return;
    }
  std::string bytes (buffer, static_cast<size_t> (n));
  const std::string &find = c.listener->appended;
  for (size_t at = 0; side == 0 && !find.empty () &&
                      (at = bytes.find (find, at)) != std::string::npos;)
    bytes.replace (at, find.size (), c.listener->replacement);
  pipe.bytes += bytes.size ();
  pipe.queue.emplace_back (WallMs (), bytes);
}

// Writes what has come from socket SIDE and is due to the other one. Returns FALSE when
// the connection has ended.
bool
Proxies::Write (Connection &c, int side)
{
  Pipe &pipe = c.pipe[side];
  int64_t now_ms = WallMs ();
  int64_t delay_ms = 0;

  for (auto &r : rules_)
    {
      if ((r.effect != Effect::kHold && r.effect != Effect::kDelay) ||
          r.end_ms <= now_ms || !Applies (r, c, side))
        continue;
      if (r.effect == Effect::kDelay)
        delay_ms = std::max (delay_ms, r.delay_ms);
      else if (r.lose)
        pipe.silent = true;
      else
        return true;
    }
  if (pipe.silent)
    {
      pipe.queue.clear ();
      pipe.bytes = 0;
      return true;
    }
  while (!pipe.queue.empty () && pipe.queue.front ().first + delay_ms <= now_ms)
    {
      std::string &bytes = pipe.queue.front ().second;
      ssize_t n = send (c.fd[1 - side], bytes.data (), bytes.size (), MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      pipe.bytes -= static_cast<size_t> (n);
      bytes.erase (0, static_cast<size_t> (n));
      if (bytes.empty ())
        pipe.queue.pop_front ();
    }
  return !(pipe.ended && pipe.queue.empty ());
}

// Returns FALSE when C is to be closed.
bool
Proxies::Step (Connection &c, bool readable[2])
{
  for (auto &r : rules_)
    if ((r.effect == Effect::kReset || r.effect == Effect::kRefuse) &&
        r.end_ms > WallMs () && (Applies (r, c, 0) || Applies (r, c, 1)))
      return false;
  for (int side = 0; side < 2; side++)
    {
      if (readable[side])
        Read (c, side);
      if (!Write (c, side))
        return false;
    }
  return !(c.pipe[0].ended && c.pipe[1].ended && c.pipe[0].silent);
}

void
Proxies::Run ()
{
  while (!over_)
    {
      std::vector<pollfd> polled;
      int timeout_ms = kIdlePollMs;
      std::vector<Listener *> listeners;

      {
        std::lock_guard<std::mutex> lock (mutex_);
        for (auto &l : listeners_)
          if (l.running && l.fd < 0)
            {
              // Fails as long as the kernel still has the closed socket.
              l.fd = ListenOn (l.address, kBacklog);
              timeout_ms = kBusyPollMs;
            }
        for (auto &l : listeners_)
          if (l.fd >= 0)
            {
              polled.push_back ({ l.fd, POLLIN, 0 });
              listeners.push_back (&l);
            }
        for (auto &c : connections_)
          for (int side = 0; side < 2; side++)
            {
              bool full = c.pipe[side].bytes > kQueueBytesMax || c.pipe[side].ended;

              polled.push_back ({ full ? -1 : c.fd[side], POLLIN, 0 });
              if (!c.pipe[side].queue.empty ())
                timeout_ms = kBusyPollMs;
            }
      }
      poll (polled.data (), polled.size (), timeout_ms);
      std::lock_guard<std::mutex> lock (mutex_);
      size_t at = listeners.size ();
      for (auto c = connections_.begin (); c != connections_.end ();)
        {
          bool readable[2] = { polled[at].revents != 0, polled[at + 1].revents != 0 };

          at += 2;
          if (Step (*c, readable))
            {
              ++c;
              continue;
            }
          // A connection of which both sides have ended is closed in order.
          bool orderly = c->pipe[0].ended || c->pipe[1].ended;
          for (int fd : c->fd)
            orderly ? (void)close (fd) : Reset (fd);
          c = connections_.erase (c);
        }
      for (size_t i = 0; i < listeners.size (); i++)
        if (polled[i].revents != 0 && listeners[i]->fd == polled[i].fd)
          Accept (*listeners[i]);
    }
}

} // namespace soak
