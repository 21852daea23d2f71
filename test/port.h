// Loopback addresses for the processes of a test, so that tests of several checkouts
// can run at the same time.
#ifndef CB_TEST_PORT_H
#define CB_TEST_PORT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

// Tests take blocks of ports from kPortBegin to kPortEnd - 1. These are below 32768,
// where the range starts from which Linux chooses the local ports of outgoing
// connections: an outgoing connection could take a port after a test chose it and
// before a process listens on it.
constexpr int kPortBegin = 10000;
constexpr int kPortEnd = 18000; // the ports of the demo start here
constexpr int kPortsPerBlock = 100;

// Binds PORT on loopback, with SO_REUSEADDR set to REUSE, and returns the socket, or -1
// when the port is in use.
inline int
BindPort (int port, int reuse)
{
  struct sockaddr_in addr = {};
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (bind (fd, reinterpret_cast<struct sockaddr *> (&addr), sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

// Returns the port of ADDRESS, which is 127.0.0.1:PORT.
inline int
PortOf (const std::string &address)
{
  return std::stoi (address.substr (address.find (':') + 1));
}

// Listens on ADDRESS, 127.0.0.1:PORT, with a queue of BACKLOG connections, and returns
// the socket, or -1. A connection of an earlier user of the port that is still in
// TIME_WAIT, for a minute on Linux, does not prevent this.
inline int
ListenOn (const std::string &address, int backlog)
{
  int fd = BindPort (PortOf (address), 1);

  if (fd >= 0 && listen (fd, backlog) == 0)
    return fd;
  close (fd);
  return -1;
}

// Reserves a block of ports that no other test uses and returns its first port, or -1.
// A socket stays bound to that port until this process exits, which keeps the block
// reserved.
inline int
TakePortBlock ()
{
  int blocks = (kPortEnd - kPortBegin) / kPortsPerBlock;

  for (int i = 0; i < blocks; i++)
    {
      int port = kPortBegin + (getpid () + i) % blocks * kPortsPerBlock;
      if (BindPort (port, 0) >= 0)
        return port;
    }
  return -1;
}

// Returns 127.0.0.1:PORT with a port that is not in use and that no other test gets;
// with port 0 when there is none.
inline std::string
FreeAddress ()
{
  static int port = -1;
  static int end = -1;
  int fd = -1;

  while (fd < 0)
    {
      if (++port >= end)
        {
          port = TakePortBlock ();
          if (port < 0)
            return "127.0.0.1:0";
          end = port + kPortsPerBlock;
          port++;
        }
      fd = BindPort (port, 1);
    }
  close (fd);
  return "127.0.0.1:" + std::to_string (port);
}

#endif
