/* Messages between processes: envelopes over ZeroMQ sockets. */
#include "net/local.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <zmq.h>

/* Maximum number of messages queued for a peer; further ones are refused. */
#define HIGH_WATER_MARK 10000
/* Maximum size of a packed envelope, unless cb_wire_limit sets another one. */
#define MAX_MESSAGE_BYTES INT64_C (8388608)
/* TCP keepalive, which only frees the sockets of instances that no longer exist. The
   heartbeats of member/ detect silent connections; the library's pings are not used,
   see new_wire. */
#define KEEPALIVE_IDLE_S 60
#define KEEPALIVE_INTERVAL_S 10
#define KEEPALIVE_PROBES 3
/* Timeout of a connection attempt. Without it, an attempt that starts during a network
   partition can last a minute longer than the partition. */
#define CONNECT_TIMEOUT_MS 1000
/* Time for a peer to introduce itself. Connections that never do hold a descriptor
   each; the default of the library is 30 s. */
#define HANDSHAKE_TIMEOUT_MS 3000

struct cb_wire
{
  cb_loop_t *loop;
  void *zmq;
  h2o_socket_t *notify; /* on the edge-triggered descriptor of the ZeroMQ socket */
  cb_timer_t *recheck;  /* set while a recheck for input is scheduled */
  cb_wire_fn_t fn;
  void *ctx;
  void *monitor; /* socket for the library's events; NULL until cb_wire_on_disconnect */
  h2o_socket_t *monitor_notify; /* on the descriptor of the monitor */
  cb_timer_t *monitor_check;    /* set until the first read of the monitor */
  cb_wire_disconnect_fn_t on_disconnect;
  gboolean router;
  gboolean closed;
  uint32_t depth; /* 1 while receive_all calls FN, else 0 */
  uint64_t bytes_in;
  uint64_t bytes_out;
};

static void
free_wire (cb_wire_t *wire)
{
  cb_timer_free (wire->recheck);
  cb_timer_free (wire->monitor_check);
  g_free (wire);
}

static gboolean
receive_frame (cb_wire_t *wire, zmq_msg_t *frame)
{
  zmq_msg_init (frame);
  if (zmq_msg_recv (frame, wire->zmq, ZMQ_DONTWAIT) >= 0)
    return TRUE;
  zmq_msg_close (frame);
  return FALSE;
}

/* Receives one message and passes it to FN. Returns FALSE when there is none. */
static gboolean
receive_one (cb_wire_t *wire)
{
  char *peer = NULL;
  zmq_msg_t frame;
  Cb__Envelope *envelope;
  size_t size;

  if (!receive_frame (wire, &frame))
    return FALSE;
  if (wire->router)
    {
      peer = g_strndup (zmq_msg_data (&frame), zmq_msg_size (&frame));
      zmq_msg_close (&frame);
      if (!receive_frame (wire, &frame))
        {
          g_free (peer);
          return FALSE;
        }
    }
  size = zmq_msg_size (&frame);
  wire->bytes_in += size;
  envelope = cb__envelope__unpack (NULL, size, zmq_msg_data (&frame));
  zmq_msg_close (&frame);
  if (envelope != NULL)
    wire->fn (wire->ctx, peer, envelope, size);
  else
    cb_log (CB_LOG_WARN, "wire", "message of %zu bytes from %s cannot be decoded", size,
            peer == NULL ? "router" : peer);
  cb_msg_free (envelope);
  g_free (peer);
  return TRUE;
}

static gboolean
has_input (cb_wire_t *wire)
{
  int events = 0;
  size_t size = sizeof events;

  if (zmq_getsockopt (wire->zmq, ZMQ_EVENTS, &events, &size) != 0)
    return FALSE;
  return (events & ZMQ_POLLIN) != 0;
}

/* Receives all messages that have arrived. Frees WIRE when a callback has closed it. */
static void
receive_all (cb_wire_t *wire)
{
  if (wire->depth > 0)
    return;
  wire->depth++;
  while (!wire->closed && has_input (wire) && receive_one (wire))
    {
    }
  wire->depth--;
  if (wire->closed)
    free_wire (wire);
}

static void
on_notify (h2o_socket_t *sock, const char *err)
{
  if (err == NULL)
    receive_all (sock->data);
}

static void
on_recheck (void *ctx)
{
  cb_wire_t *wire = ctx;

  cb_timer_free (wire->recheck);
  wire->recheck = NULL;
  receive_all (wire);
}

/* The descriptor of the ZeroMQ socket is edge-triggered, and a send can consume the
   edge of a message that arrives at the same time. The next iteration of the loop
   therefore checks for input again. */
static void
schedule_recheck (cb_wire_t *wire)
{
  if (wire->recheck == NULL)
    wire->recheck = cb_timer_new (wire->loop, 0, 0, on_recheck, wire);
}

/* ZMQ_HEARTBEAT_IVL is not set: with a router, the ping timer of libzmq 4.3.4 aborts
   the process when a connection whose identity another connection has taken over sends
   a message and then closes. */
static cb_wire_t *
new_wire (cb_loop_t *loop, int type, cb_wire_fn_t fn, void *ctx)
{
  cb_wire_t *wire = g_new0 (cb_wire_t, 1);
  int linger = 0;
  int hwm = HIGH_WATER_MARK;
  int keepalive = 1;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  int timeout = CONNECT_TIMEOUT_MS;
  int handshake = HANDSHAKE_TIMEOUT_MS;
  int64_t max_size = loop->message_bytes_max == 0 ? MAX_MESSAGE_BYTES
                                                  : (int64_t)loop->message_bytes_max;

  wire->loop = loop;
  wire->fn = fn;
  wire->ctx = ctx;
  wire->router = type == ZMQ_ROUTER;
  wire->zmq = zmq_socket (cb_loop_zmq (loop), type);
  zmq_setsockopt (wire->zmq, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (wire->zmq, ZMQ_SNDHWM, &hwm, sizeof hwm);
  zmq_setsockopt (wire->zmq, ZMQ_RCVHWM, &hwm, sizeof hwm);
  zmq_setsockopt (wire->zmq, ZMQ_MAXMSGSIZE, &max_size, sizeof max_size);
  zmq_setsockopt (wire->zmq, ZMQ_TCP_KEEPALIVE, &keepalive, sizeof keepalive);
  zmq_setsockopt (wire->zmq, ZMQ_TCP_KEEPALIVE_IDLE, &idle, sizeof idle);
  zmq_setsockopt (wire->zmq, ZMQ_TCP_KEEPALIVE_INTVL, &interval, sizeof interval);
  zmq_setsockopt (wire->zmq, ZMQ_TCP_KEEPALIVE_CNT, &probes, sizeof probes);
  zmq_setsockopt (wire->zmq, ZMQ_CONNECT_TIMEOUT, &timeout, sizeof timeout);
  zmq_setsockopt (wire->zmq, ZMQ_HANDSHAKE_IVL, &handshake, sizeof handshake);
  return wire;
}

/* Sets the maximum size of a message of the wires that are opened from now on. A peer
   that sends a larger one is disconnected. */
void
cb_wire_limit (cb_loop_t *loop, size_t message_bytes_max)
{
  loop->message_bytes_max = message_bytes_max;
}

/* Calls FN when the descriptor of the ZeroMQ socket becomes readable. */
static h2o_socket_t *
add_zmq_socket (cb_loop_t *loop, void *zmq, h2o_socket_cb fn, void *data)
{
  int fd = -1;
  size_t size = sizeof fd;
  h2o_socket_t *sock;

  zmq_getsockopt (zmq, ZMQ_FD, &fd, &size);
  sock = h2o_evloop_socket_create (loop->h2o, dup (fd), H2O_SOCKET_FLAG_DONT_READ);
  sock->data = data;
  h2o_socket_read_start (sock, fn);
  return sock;
}

static void
start_receiving (cb_wire_t *wire)
{
  wire->notify = add_zmq_socket (wire->loop, wire->zmq, on_notify, wire);
  schedule_recheck (wire);
}

/* Opens a router on ADDRESS (host:port) and calls FN for each received envelope. A peer
   that connects again with the same identity replaces its old connection. Returns 0 and
   WIRE, or CB_NET_BIND when the address cannot be bound. Freed with cb_wire_close. */
int
cb_wire_listen (cb_loop_t *loop, const char *address, cb_wire_fn_t fn, void *ctx,
                cb_wire_t **wire)
{
  cb_wire_t *w = new_wire (loop, ZMQ_ROUTER, fn, ctx);
  char *url = g_strdup_printf ("tcp://%s", address);
  int on = 1;
  int rc;

  zmq_setsockopt (w->zmq, ZMQ_ROUTER_HANDOVER, &on, sizeof on);
  zmq_setsockopt (w->zmq, ZMQ_ROUTER_MANDATORY, &on, sizeof on);
  rc = zmq_bind (w->zmq, url);
  g_free (url);
  if (rc != 0)
    {
      zmq_close (w->zmq);
      g_free (w);
      return CB_NET_BIND;
    }
  start_receiving (w);
  *wire = w;
  return CB_OK;
}

static int
connect_dealer (cb_wire_t *w, const char *address, const char *identity,
                cb_wire_t **wire)
{
  char *url = g_strdup_printf ("tcp://%s", address);
  int rc;

  zmq_setsockopt (w->zmq, ZMQ_ROUTING_ID, identity, strlen (identity));
  rc = zmq_connect (w->zmq, url);
  g_free (url);
  if (rc != 0)
    {
      zmq_close (w->zmq);
      g_free (w);
      return CB_NET_BAD_ADDRESS;
    }
  start_receiving (w);
  *wire = w;
  return CB_OK;
}

/* Opens a dealer to the router at ADDRESS (host:port), which sees it as the peer
   IDENTITY (at most 255 bytes). The connection is made in the background and again
   after each disconnect. Returns 0 and WIRE, or CB_NET_BAD_ADDRESS when ADDRESS is
   malformed. Freed with cb_wire_close. */
int
cb_wire_connect (cb_loop_t *loop, const char *address, const char *identity,
                 cb_wire_fn_t fn, void *ctx, cb_wire_t **wire)
{
  return connect_dealer (new_wire (loop, ZMQ_DEALER, fn, ctx), address, identity, wire);
}

/* Reads all pending events of WIRE's monitor. Returns TRUE when one of them is the end
   of an established connection. */
static gboolean
read_monitor (cb_wire_t *wire)
{
  gboolean disconnected = FALSE;
  zmq_msg_t frame;

  zmq_msg_init (&frame);
  while (zmq_msg_recv (&frame, wire->monitor, ZMQ_DONTWAIT) >= 0)
    {
      uint16_t event = 0;

      /* An event has two frames: the first begins with its number, the second is an
         address. */
      if (zmq_msg_more (&frame) && zmq_msg_size (&frame) >= sizeof event)
        memcpy (&event, zmq_msg_data (&frame), sizeof event);
      disconnected = disconnected || event == ZMQ_EVENT_DISCONNECTED;
    }
  zmq_msg_close (&frame);
  return disconnected;
}

static void
on_monitor (h2o_socket_t *sock, const char *err)
{
  cb_wire_t *wire = sock->data;

  if (err == NULL && read_monitor (wire))
    wire->on_disconnect (wire->ctx);
}

static void
on_monitor_check (void *ctx)
{
  cb_wire_t *wire = ctx;

  cb_timer_free (wire->monitor_check);
  wire->monitor_check = NULL;
  if (!wire->closed && read_monitor (wire))
    wire->on_disconnect (wire->ctx);
}

/* Calls ON_DISCONNECT with the context of the dealer WIRE each time that an established
   connection ends, for example because the peer's process ends, but not when it becomes
   silent and stays open. ON_DISCONNECT must not close WIRE. Returns CB_NET_MONITOR when
   the library cannot report disconnects; WIRE remains usable. */
int
cb_wire_on_disconnect (cb_wire_t *wire, cb_wire_disconnect_fn_t on_disconnect)
{
  char *url = g_strdup_printf ("inproc://monitor-%p", (void *)wire);
  int linger = 0;
  void *monitor = NULL;

  if (zmq_socket_monitor (wire->zmq, url, ZMQ_EVENT_DISCONNECTED) == 0)
    monitor = zmq_socket (cb_loop_zmq (wire->loop), ZMQ_PAIR);
  if (monitor != NULL)
    zmq_setsockopt (monitor, ZMQ_LINGER, &linger, sizeof linger);
  if (monitor == NULL || zmq_connect (monitor, url) != 0)
    {
      g_free (url);
      if (monitor != NULL)
        zmq_close (monitor);
      return CB_NET_MONITOR;
    }
  g_free (url);
  wire->on_disconnect = on_disconnect;
  wire->monitor = monitor;
  wire->monitor_notify = add_zmq_socket (wire->loop, monitor, on_monitor, wire);
  /* The descriptor of the monitor's socket is edge-triggered: it becomes readable for a
     new event only after the earlier events have been read. They are read by the loop,
     as a caller may not be ready for ON_DISCONNECT here. */
  wire->monitor_check = cb_timer_new (wire->loop, 0, 0, on_monitor_check, wire);
  return CB_OK;
}

/* Queues ENVELOPE for sending. PEER is the identity of the receiver at a router, and is
   ignored at a dealer. Returns CB_NET_SEND when the peer is unknown or its queue is
   full; nothing is sent then. Success does not mean that the envelope arrives. */
int
cb_wire_send (cb_wire_t *wire, const char *peer, const Cb__Envelope *envelope)
{
  size_t size = cb__envelope__get_packed_size (envelope);
  zmq_msg_t frame;
  int rc;

  if (wire->router &&
      zmq_send (wire->zmq, peer, strlen (peer), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return CB_NET_SEND;
  zmq_msg_init_size (&frame, size);
  cb__envelope__pack (envelope, zmq_msg_data (&frame));
  rc = zmq_msg_send (&frame, wire->zmq, ZMQ_DONTWAIT);
  schedule_recheck (wire);
  if (rc < 0)
    {
      zmq_msg_close (&frame);
      return CB_NET_SEND;
    }
  wire->bytes_out += size;
  return CB_OK;
}

/* Closes and frees WIRE; NULL is accepted. May be called from the FN of WIRE. Messages
   not yet sent are discarded. */
void
cb_wire_close (cb_wire_t *wire)
{
  if (wire == NULL || wire->closed)
    return;
  if (wire->monitor != NULL)
    {
      h2o_socket_read_stop (wire->monitor_notify);
      h2o_socket_close (wire->monitor_notify);
      zmq_socket_monitor (wire->zmq, NULL, 0);
      zmq_close (wire->monitor);
      cb_timer_free (wire->monitor_check);
      wire->monitor_check = NULL;
    }
  h2o_socket_read_stop (wire->notify);
  h2o_socket_close (wire->notify);
  zmq_close (wire->zmq);
  wire->closed = TRUE;
  if (wire->depth == 0)
    free_wire (wire);
}

/* Returns the packed size of all received envelopes in bytes, without framing. */
uint64_t
cb_wire_bytes_in (const cb_wire_t *wire)
{
  return wire->bytes_in;
}

/* Returns the packed size of all sent envelopes in bytes, without framing. */
uint64_t
cb_wire_bytes_out (const cb_wire_t *wire)
{
  return wire->bytes_out;
}
