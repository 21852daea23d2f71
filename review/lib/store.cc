// Stand-in for the platform's store: topics in memory, 4 ms a call, records of plain topics
// expire after KEEP_S. Arguments: LISTEN KEEP_S. `POST /control?lose=TOPIC`: appends to TOPIC
// are carried out and get no answer, until `POST /control?lose=`. The reply to a control call
// is [appends, appends without an answer] since the last one.
#include <condition_variable>
#include <list>
#include <memory>

#include "site.hh"

using namespace review;

struct Topic
{
  std::vector<std::string> records;
  std::vector<int64_t> times;
  bool keyed = false;
  size_t first = 0; // oldest offset that has not expired
};

static std::mutex lock;
static std::condition_variable appended;
static std::map<std::string, Topic> topics;
static std::string lose;
static int64_t keep_ms;
static long writes, lost;

static std::string
Query (const std::string &path, const std::string &name)
{
  size_t at = path.find (name + "=", path.find ('?'));
  if (path.find ('?') == std::string::npos || at == std::string::npos)
    return "";
  at += name.size () + 1;
  return path.substr (at, path.find ('&', at) - at);
}

static std::string
Big (uint64_t value, int bytes)
{
  std::string out;
  for (int i = bytes - 1; i >= 0; i--)
    out += (char)(value >> (8 * i));
  return out;
}

static std::string
Base64 (const std::string &in)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size (); i += 3)
    {
      uint32_t v = (uint32_t)(unsigned char)in[i] << 16;
      if (i + 1 < in.size ())
        v |= (uint32_t)(unsigned char)in[i + 1] << 8;
      if (i + 2 < in.size ())
        v |= (unsigned char)in[i + 2];
      out += digits[v >> 18];
      out += digits[(v >> 12) & 63];
      out += i + 1 < in.size () ? digits[(v >> 6) & 63] : '=';
      out += i + 2 < in.size () ? digits[v & 63] : '=';
    }
  return out;
}

static Topic &
Get (const std::string &name)
{
  Topic &t = topics[name];
  t.keyed = name.compare (0, 6, "keyed.") == 0;
  while (!t.keyed && t.first < t.records.size () && NowMs () - t.times[t.first] > keep_ms)
    t.first++;
  return t;
}

// Returns the status, or 0 for no answer.
static int
Handle (const std::string &path, const std::string &body, std::string &out)
{
  std::unique_lock<std::mutex> guard (lock);
  std::string name = Query (path, "topic");
  char text[128];

  if (path.compare (0, 8, "/control") == 0)
    {
      snprintf (text, sizeof text, "[%ld,%ld]", writes, lost);
      out = text;
      writes = lost = 0;
      lose = Query (path, "lose");
      return 200;
    }
  Topic &t = Get (name);
  if (path.compare (0, 15, "/api/log-append") == 0)
    {
      size_t first = t.records.size ();
      for (size_t at = 0; at + 4 <= body.size ();)
        {
          const unsigned char *b = (const unsigned char *)body.data () + at;
          size_t size = (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
          if (size > 262144 || at + 4 + size > body.size ())
            return 400;
          t.records.push_back (body.substr (at + 4, size));
          t.times.push_back (NowMs ());
          at += 4 + size;
        }
      writes++;
      appended.notify_all ();
      if (!lose.empty () && lose == name)
        {
          lost++;
          return 0;
        }
      snprintf (text, sizeof text, "{\"offset\":%zu,\"end\":%zu}", first, t.records.size ());
      out = text;
      return 200;
    }
  if (path.compare (0, 13, "/api/log-read") == 0)
    {
      uint64_t from = strtoull (Query (path, "from").c_str (), nullptr, 10);
      int64_t wait_ms = std::min<int64_t> (30000, atoll (Query (path, "waitMs").c_str ()));
      appended.wait_for (guard, std::chrono::milliseconds (wait_ms),
                         [&] { return t.records.size () > from; });
      Get (name);
      if (from < t.first)
        {
          snprintf (text, sizeof text, "{\"first\":%zu}", t.first);
          out = text;
          return 410;
        }
      out = Big (t.records.size (), 8) + Big (t.first, 8);
      for (size_t i = from; i < t.records.size () && out.size () < 1048576; i++)
        out += Big (t.records[i].size (), 4) + t.records[i];
      return 200;
    }
  if (path.compare (0, 15, "/api/log-newest") == 0)
    {
      std::map<std::string, size_t> newest;
      std::string after = Query (path, "after");
      size_t n = 0;
      bool more = false;
      for (size_t i = 0; i < t.records.size (); i++)
        newest[t.records[i].substr (1, (unsigned char)t.records[i][0])] = i;
      out = "{\"items\":[";
      for (auto &k : newest)
        {
          if (!after.empty () && k.first <= after)
            continue;
          if (n == 500 || out.size () > 1000000)
            {
              more = true;
              break;
            }
          const std::string &r = t.records[k.second];
          out += std::string (n++ > 0 ? "," : "") + "{\"key\":\"" + k.first + "\",\"value\":\"" +
                 Base64 (r.substr (1 + k.first.size ())) +
                 "\",\"offset\":" + std::to_string (k.second) + "}";
        }
      out += std::string ("],\"more\":") + (more ? "true" : "false") +
             ",\"end\":" + std::to_string (t.records.size ()) + "}";
      return 200;
    }
  return 404;
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
      size_t head, len = 0;
      for (;;)
        {
          head = in.find ("\r\n\r\n");
          if (head != std::string::npos)
            {
              std::string lower = in.substr (0, head);
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
      std::string out;
      path = path.substr (0, path.find (' '));
      SleepMs (4);
      int status = Handle (path, in.substr (head + 4, len), out);
      in.erase (0, head + 4 + len);
      if (status == 0)
        continue;
      std::string reply = "HTTP/1.1 " + std::to_string (status) + " X\r\nContent-Length: " +
                          std::to_string (out.size ()) + "\r\n\r\n" + out;
      if (send (fd, reply.data (), reply.size (), MSG_NOSIGNAL) != (ssize_t)reply.size ())
        {
          close (fd);
          return;
        }
    }
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    return 2;
  struct sockaddr_in a = SocketAddress (argv[1]);
  int on = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  keep_ms = atoll (argv[2]) * 1000;
  signal (SIGPIPE, SIG_IGN);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&a, sizeof a) != 0 || listen (listener, 1024) != 0)
    return 2;
  for (;;)
    {
      int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        std::thread (Serve, fd).detach ();
    }
}
