// Checks the network layer: complete responses, silent peers, unreachable addresses,
// and delivery of messages.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C"
{
#include <h2o.h>
}

#include "net/fns.h"
#include "test/port.h"

namespace
{

std::function<void ()> after_monitor_connect;
// Iterations of h2o's loop that began with sockets in its list of pending ones.
int iterations_with_pending_sockets;

} // namespace

// Takes the place of the library's function, to run a hook between the start of a
// monitor and its first read.
extern "C" int
zmq_connect (void *socket, const char *address)
{
  static auto real = reinterpret_cast<int (*) (void *, const char *)> (
      dlsym (RTLD_NEXT, "zmq_connect"));
  int rc = real (socket, address);

  if (after_monitor_connect && g_str_has_prefix (address, "inproc://monitor-"))
    after_monitor_connect ();
  return rc;
}

// Takes the place of the library's function, to look at the loop before an iteration.
extern "C" int
h2o_evloop_run (h2o_evloop_t *loop, int32_t max_wait)
{
  static auto real = reinterpret_cast<int (*) (h2o_evloop_t *, int32_t)> (
      dlsym (RTLD_NEXT, "h2o_evloop_run"));

  iterations_with_pending_sockets +=
      loop->_pending_as_client != nullptr || loop->_pending_as_server != nullptr;
  return real (loop, max_wait);
}

namespace
{

struct Exchange
{
  cb_loop_t *loop;
  cb_http_server_t *server;
  int err = 1;
  int status = 0;
  std::string body;
  bool silent = false;
};

void
Echo (void *ctx, cb_http_req_t *req)
{
  size_t len;
  const char *body = cb_http_body (req, &len);

  if (static_cast<Exchange *> (ctx)->silent)
    cb_http_no_reply (req);
  else
    cb_http_reply (req, 200, "text/plain", body, len);
}

void
Done (void *ctx, int err, int status, const char *body, size_t len)
{
  Exchange *x = static_cast<Exchange *> (ctx);

  x->err = err;
  x->status = status;
  x->body.assign (body == nullptr ? "" : body, len);
  cb_loop_stop (x->loop);
}

void
Call (Exchange *x, const char *address, const std::string &body, cb_msec_t timeout_ms,
      cb_msec_t connect_timeout_ms = 0)
{
  cb_http_spec_t spec = {};

  spec.address = address;
  spec.method = "POST";
  spec.path = "/echo?x=1";
  spec.body = body.data ();
  spec.body_len = body.size ();
  spec.timeout_ms = timeout_ms;
  spec.connect_timeout_ms = connect_timeout_ms;
  cb_http_call (x->loop, &spec, Done, x);
  cb_loop_run (x->loop);
}

TEST (Http, LargeBodyIsEchoedCompletely)
{
  std::string address = FreeAddress ();
  Exchange x;
  std::string body (300000, 'q');

  x.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_http_listen (x.loop, address.c_str (), Echo, &x, &x.server));
  Call (&x, address.c_str (), body, 20000);
  EXPECT_EQ (0, x.err);
  EXPECT_EQ (200, x.status);
  EXPECT_EQ (body, x.body);
}

TEST (Http, SilentPeerCausesATimeout)
{
  std::string address = FreeAddress ();
  Exchange x;

  x.loop = cb_loop_new ();
  x.silent = true;
  ASSERT_EQ (0, cb_http_listen (x.loop, address.c_str (), Echo, &x, &x.server));
  Call (&x, address.c_str (), "a", 100);
  EXPECT_EQ (CB_NET_TIMEOUT, x.err);
}

// A socket that is written to and closed between two iterations of h2o's loop is freed
// by the next one, which goes on to use it if it is still pending.
TEST (Loop, NoSocketOfATimerIsPendingWhenAnIterationBegins)
{
  std::string address = FreeAddress ();
  cb_http_spec_t spec = {};
  Exchange x;

  x.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_http_listen (x.loop, address.c_str (), Echo, &x, &x.server));
  spec.address = address.c_str ();
  spec.method = "GET";
  spec.path = "/";
  spec.keep_alive = TRUE;
  spec.timeout_ms = 20000;
  cb_http_call (x.loop, &spec, Done, &x);
  cb_loop_run (x.loop);
  ASSERT_EQ (200, x.status);
  struct Turn
  {
    cb_loop_t *loop;
    cb_http_spec_t *spec;
  } turn = { x.loop, &spec };
  // The idle connection takes the request at once.
  cb_timer_t *call = cb_timer_new (
      x.loop, 10, 0,
      [] (void *ctx) {
        Turn *t = static_cast<Turn *> (ctx);
        cb_http_cancel (cb_http_call (
            t->loop, t->spec, [] (void *, int, int, const char *, size_t) {}, nullptr));
      },
      &turn);
  cb_timer_t *stop = cb_timer_new (
      x.loop, 100, 0, [] (void *ctx) { cb_loop_stop (static_cast<cb_loop_t *> (ctx)); },
      x.loop);
  iterations_with_pending_sockets = 0;
  cb_loop_run (x.loop);
  EXPECT_EQ (0, iterations_with_pending_sockets);
  cb_timer_free (call);
  cb_timer_free (stop);
}

TEST (Http, RequestToAnUnusedPortIsReportedAsNotSent)
{
  std::string address = FreeAddress ();
  Exchange x;

  x.loop = cb_loop_new ();
  Call (&x, address.c_str (), "a", 20000);
  EXPECT_EQ (CB_NET_REFUSED, x.err);
  EXPECT_TRUE (cb_net_not_sent (x.err));
  Call (&x, "nowhere", "a", 20000);
  EXPECT_EQ (CB_NET_BAD_ADDRESS, x.err);
  EXPECT_TRUE (cb_net_not_sent (x.err));
}

// Calls ADDRESS and runs the loop unless the result is there at once.
void
CallUnlessDone (Exchange *x, const char *address)
{
  cb_http_spec_t spec = {};

  spec.address = address;
  spec.method = "POST";
  spec.path = "/x";
  spec.timeout_ms = 2000;
  cb_http_call (x->loop, &spec, Done, x);
  EXPECT_EQ (1, x->err) << "DONE was called before cb_http_call returned";
  if (x->err == 1)
    cb_loop_run (x->loop);
}

// Guards against a peer that counts as ended because there is no route to it: only a
// refusal shows that nobody listens.
TEST (Http, MissingRouteIsNotReportedAsARefusal)
{
  Exchange x;

  x.loop = cb_loop_new ();
  CallUnlessDone (&x, "255.255.255.255:9");
  EXPECT_EQ (CB_NET_CONNECT, x.err);
}

// Guards against a peer that counts as ended because this process has no file
// descriptor left for a connection.
TEST (Http, MissingFileDescriptorIsNotReportedAsARefusal)
{
  Exchange x;
  rlimit before;
  rlimit none;

  x.loop = cb_loop_new ();
  getrlimit (RLIMIT_NOFILE, &before);
  none = before;
  int fd = dup (0);
  none.rlim_cur = static_cast<rlim_t> (fd);
  close (fd);
  setrlimit (RLIMIT_NOFILE, &none);
  CallUnlessDone (&x, "127.0.0.1:9");
  setrlimit (RLIMIT_NOFILE, &before);
  EXPECT_EQ (CB_NET_CONNECT, x.err);
}

// Guards against an unknown outcome for a request that was never sent. A terminated
// instance does not respond to connection attempts; a listening socket with a full
// backlog stands in for it here.
TEST (Http, UnansweredConnectionAttemptIsReportedAsNotSentInTime)
{
  std::string address = FreeAddress ();
  int listener = ListenOn (address, 0);
  sockaddr_in addr = {};
  std::vector<int> fillers;
  Exchange x;

  addr.sin_family = AF_INET;
  addr.sin_port = htons (static_cast<uint16_t> (PortOf (address)));
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_LE (0, listener);
  for (int i = 0; i < 4; i++)
    {
      fillers.push_back (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      connect (fillers[i], reinterpret_cast<sockaddr *> (&addr), sizeof addr);
    }
  x.loop = cb_loop_new ();
  gint64 start_us = g_get_monotonic_time ();
  Call (&x, address.c_str (), "a", 20000, 200);
  EXPECT_EQ (CB_NET_CONNECT, x.err);
  EXPECT_TRUE (cb_net_not_sent (x.err));
  EXPECT_LT (g_get_monotonic_time () - start_us, 2000000);
  Call (&x, address.c_str (), "a", 100);
  EXPECT_EQ (CB_NET_CONNECT, x.err) << "with the timeout of the whole exchange";
  for (int fd : fillers)
    close (fd);
  close (listener);
}

struct Wires
{
  cb_loop_t *loop;
  cb_wire_t *router;
  cb_wire_t *dealer;
  int replies = 0;
  int disconnects = 0;
};

void
OnRouter (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t)
{
  cb_wire_send (static_cast<Wires *> (ctx)->router, peer, envelope);
}

void
OnDealer (void *ctx, const char *, const Cb__Envelope *, size_t)
{
  Wires *w = static_cast<Wires *> (ctx);

  if (++w->replies == 100)
    cb_loop_stop (w->loop);
}

// Guards against a received message that is never delivered: the descriptor of a ZeroMQ
// socket is edge-triggered, and a send at the same time can consume the edge.
TEST (Wire, NoMessageIsMissedOnTheEdgeTriggeredDescriptor)
{
  std::string address = FreeAddress ();
  Wires w;

  w.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_wire_listen (w.loop, address.c_str (), OnRouter, &w, &w.router));
  ASSERT_EQ (
      0, cb_wire_connect (w.loop, address.c_str (), "agent1", OnDealer, &w, &w.dealer));
  for (int i = 0; i < 100; i++)
    {
      Cb__Envelope *e =
          static_cast<Cb__Envelope *> (cb_msg_new (&cb__envelope__descriptor));

      cb_msg_set_string (&e->from, "agent1");
      cb_wire_send (w.dealer, nullptr, e);
      cb_msg_free (e);
    }
  cb_loop_run (w.loop);
  EXPECT_EQ (100, w.replies);
  cb_wire_close (w.dealer);
  cb_wire_close (w.router);
}

void
Ignore (void *, const char *, const Cb__Envelope *, size_t)
{
}

void
Stop (void *ctx)
{
  cb_loop_stop (static_cast<cb_loop_t *> (ctx));
}

void
RunFor (cb_loop_t *loop, cb_msec_t ms)
{
  cb_timer_t *timer = cb_timer_new (loop, ms, 0, Stop, loop);

  cb_loop_run (loop);
  cb_timer_free (timer);
}

void
SendOne (cb_wire_t *dealer)
{
  auto *e = static_cast<Cb__Envelope *> (cb_msg_new (&cb__envelope__descriptor));

  cb_msg_set_string (&e->from, "agent1");
  cb_wire_send (dealer, nullptr, e);
  cb_msg_free (e);
}

// Guards against an abort of the process in the library's ping timer. It happened
// within 2 s after a connection whose identity another one had taken over sent a
// message and closed.
TEST (Wire, RouterSurvivesAConnectionWhoseIdentityWasTakenOver)
{
  std::string address = FreeAddress ();
  Wires w;
  cb_wire_t *second = nullptr;

  w.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_wire_listen (w.loop, address.c_str (), OnRouter, &w, &w.router));
  ASSERT_EQ (0, cb_wire_connect (w.loop, address.c_str (), "agent1", Ignore, nullptr,
                                 &w.dealer));
  SendOne (w.dealer);
  RunFor (w.loop, 200);
  ASSERT_EQ (
      0, cb_wire_connect (w.loop, address.c_str (), "agent1", OnDealer, &w, &second));
  SendOne (second);
  RunFor (w.loop, 200);
  SendOne (w.dealer);
  RunFor (w.loop, 200);
  cb_wire_close (w.dealer);
  RunFor (w.loop, 4200);
  w.replies = 0;
  SendOne (second);
  RunFor (w.loop, 200);
  EXPECT_EQ (1, w.replies);
  cb_wire_close (second);
  cb_wire_close (w.router);
}

void
OnDisconnect (void *ctx)
{
  Wires *w = static_cast<Wires *> (ctx);

  w->disconnects++;
  cb_loop_stop (w->loop);
}

// Guards against a disconnect that is not reported: the library reconnects by itself,
// and without the report only missing heartbeats would reveal it.
TEST (Wire, EndOfAnEstablishedConnectionIsReported)
{
  std::string address = FreeAddress ();
  Wires w;

  w.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_wire_listen (w.loop, address.c_str (), OnRouter, &w, &w.router));
  ASSERT_EQ (
      0, cb_wire_connect (w.loop, address.c_str (), "agent1", Ignore, &w, &w.dealer));
  ASSERT_EQ (0, cb_wire_on_disconnect (w.dealer, OnDisconnect));
  SendOne (w.dealer);
  RunFor (w.loop, 200);
  EXPECT_EQ (0, w.disconnects);
  cb_wire_close (w.router);
  RunFor (w.loop, 1000);
  EXPECT_EQ (1, w.disconnects);
  cb_wire_close (w.dealer);
}

// Guards against a disconnect that is lost as it comes before the first read of the
// monitor.
TEST (Wire, EndOfAConnectionDuringTheStartOfTheMonitorIsReported)
{
  std::string address = FreeAddress ();
  Wires w;

  w.loop = cb_loop_new ();
  ASSERT_EQ (0, cb_wire_listen (w.loop, address.c_str (), OnRouter, &w, &w.router));
  ASSERT_EQ (
      0, cb_wire_connect (w.loop, address.c_str (), "agent1", Ignore, &w, &w.dealer));
  SendOne (w.dealer);
  RunFor (w.loop, 200);
  after_monitor_connect = [&] {
    cb_wire_close (w.router);
    usleep (300000);
  };
  ASSERT_EQ (0, cb_wire_on_disconnect (w.dealer, OnDisconnect));
  after_monitor_connect = nullptr;
  EXPECT_EQ (0, w.disconnects);
  RunFor (w.loop, 1000);
  EXPECT_EQ (1, w.disconnects);
  cb_wire_close (w.dealer);
}

// Guards against a test whose process cannot listen on its port because an outgoing
// connection or another test has taken it.
TEST (FreeAddress, AvoidsPortsOfOutgoingConnectionsAndOtherTests)
{
  FILE *f = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "r");
  int low = 0;

  ASSERT_NE (nullptr, f);
  ASSERT_EQ (1, fscanf (f, "%d", &low));
  fclose (f);
  EXPECT_LE (kPortEnd, low);
  int block = TakePortBlock ();
  int other = TakePortBlock (); // as another process would
  ASSERT_GT (block, 0);
  ASSERT_GT (other, 0);
  EXPECT_NE (block, other);
  EXPECT_EQ (-1, BindPort (block, 0));
  EXPECT_NE (FreeAddress (), FreeAddress ());
}

// Guards against a test that cannot listen on its port because a connection of the
// previous user of the port is still in TIME_WAIT.
TEST (FreeAddress, CanBeListenedOnDespiteAConnectionInTimeWait)
{
  std::string address = FreeAddress ();
  int listener = ListenOn (address, 1);
  sockaddr_in addr = {};
  int caller = socket (AF_INET, SOCK_STREAM, 0);
  char byte;

  ASSERT_LE (0, listener);
  addr.sin_family = AF_INET;
  addr.sin_port = htons (static_cast<uint16_t> (PortOf (address)));
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (0, connect (caller, reinterpret_cast<sockaddr *> (&addr), sizeof addr));
  int accepted = accept (listener, nullptr, nullptr);
  ASSERT_LE (0, accepted);
  close (accepted); // the end that closes first keeps the port in TIME_WAIT
  EXPECT_EQ (0, read (caller, &byte, 1));
  close (caller);
  close (listener);
  EXPECT_EQ (-1, BindPort (PortOf (address), 0)) << "the port is not in TIME_WAIT";
  listener = ListenOn (address, 1);
  EXPECT_LE (0, listener);
  close (listener);
}

} // namespace
