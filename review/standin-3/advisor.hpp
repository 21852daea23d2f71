// A stand-in for the platform's advisor: it handles one call at a time, takes DECIDE_MS
// and EACH_MS for each worker named, and allows all of them. Its tickets are those that
// the project's stand-in of the worker checks: STEP@WORKER.
#ifndef REVIEW_STANDIN_3_ADVISOR_HPP
#define REVIEW_STANDIN_3_ADVISOR_HPP

#include <mutex>
#include <thread>

#include "site.hpp"

namespace review
{

class Advisor
{
public:
  std::string address = FreeAddress ();

  Advisor (Site &site, int decide_ms, int each_ms, int validity_ms)
      : site_ (site), decide_ms_ (decide_ms), each_ms_ (each_ms),
        validity_ms_ (validity_ms)
  {
    struct sockaddr_in addr = {};
    int on = 1;

    listener_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    addr.sin_family = AF_INET;
    addr.sin_port = htons ((uint16_t)atoi (address.c_str () + address.find (':') + 1));
    addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (bind (listener_, (struct sockaddr *)&addr, sizeof addr) != 0 ||
        listen (listener_, 64) != 0)
      site.Quit (2, "the advisor cannot listen");
    std::thread ([this] {
      for (;;)
        {
          int fd = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC);

          if (fd >= 0)
            std::thread ([this, fd] { Serve (fd); }).detach ();
        }
    }).detach ();
  }

  void
  SetDecideMs (int decide_ms)
  {
    std::lock_guard<std::mutex> lock (mutex_);

    decide_ms_ = decide_ms;
  }

  int
  Answers ()
  {
    std::lock_guard<std::mutex> lock (mutex_);

    return answers_;
  }

private:
  Site &site_;
  int decide_ms_;
  int each_ms_;
  int validity_ms_;
  int listener_;
  int answers_ = 0;
  std::mutex mutex_;

  void
  Serve (int fd)
  {
    std::string in;
    char buffer[65536];
    ssize_t n;

    while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
      {
        size_t head;
        size_t length;

        in.append (buffer, (size_t)n);
        head = in.find ("\r\n\r\n");
        length = in.find ("content-length: ");
        if (head == std::string::npos || length == std::string::npos ||
            in.size () < head + 4 + strtoul (in.c_str () + length + 16, nullptr, 10))
          continue;
        std::string out = Answer (in.substr (head + 4));
        in.clear ();
        if (send (fd, out.data (), out.size (), MSG_NOSIGNAL) < 0)
          break;
      }
    close (fd);
  }

  // The body is {"step":"S","workers":["A","B",...]}.
  std::string
  Answer (const std::string &body)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    std::string step = Reply{ 200, body }.Text ("step");
    std::string rows;
    size_t at = body.find ("[");
    int workers = 0;

    while ((at = body.find ('"', at + 1)) != std::string::npos)
      {
        size_t end = body.find ('"', at + 1);
        std::string worker = body.substr (at + 1, end - at - 1);

        if (worker == "step" || end == std::string::npos)
          break;
        rows += (workers++ > 0 ? "," : "") + ("[\"" + worker + "\",\"" + step + "@") +
                worker + "\"]";
        at = end;
      }
    SleepMs (decide_ms_ + each_ms_ * workers);
    answers_++;
    std::string text = "{\"allowed\":[" + rows +
                       "],\"validityMs\":" + std::to_string (validity_ms_) + "}";
    site_.Record ("advisor asked %s answered %s", body.c_str (), text.c_str ());
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string (text.size ()) + "\r\n\r\n" + text;
  }
};

} // namespace review

#endif
