/* Event loop, timers, HTTP by h2o, messages between processes by ZeroMQ. */
#ifndef CB_NET_DAT_H
#define CB_NET_DAT_H

#include "base/dat.h"

/* Errors of this layer. */
enum
{
  CB_NET_BAD_ADDRESS = -100,
  CB_NET_BIND = -101,
  CB_NET_CONNECT = -102,   /* no connection: nothing was sent */
  CB_NET_CLOSED = -103,    /* closed after the request may have been sent */
  CB_NET_TIMEOUT = -104,   /* no complete answer in time; may have been sent */
  CB_NET_TRUNCATED = -105, /* the body is shorter than announced */
  CB_NET_TOO_LARGE = -106,
  CB_NET_CANCELED = -107,
  CB_NET_SEND = -108,    /* the peer's queue is full or it is unknown */
  CB_NET_MONITOR = -109, /* the end of a connection cannot be reported */
};

typedef struct cb_loop cb_loop_t;
typedef struct cb_timer cb_timer_t;
typedef void (*cb_timer_fn_t) (void *ctx);
typedef struct cb_signals cb_signals_t;
typedef void (*cb_signal_fn_t) (void *ctx, int signo);

/* A request that a server received. It stays valid until cb_http_reply, also when the
   client has gone; the reply is then dropped. */
typedef struct cb_http_req cb_http_req_t;
typedef struct cb_http_server cb_http_server_t;
typedef void (*cb_http_handler_t) (void *ctx, cb_http_req_t *req);

/* A request to send. Strings need to live only until cb_http_call returns. */
typedef struct
{
  const char *address; /* host:port, host an IP address */
  const char *host;    /* that the request names; NULL: the address */
  const char *method;
  const char *path;    /* with query */
  const char *headers; /* lines `name: value\r\n`, or NULL */
  const void *body;
  size_t body_len;         /* bytes */
  cb_msec_t timeout_ms;    /* for the whole exchange */
  cb_msec_t connect_ms;    /* for the connection alone; 0: no limit of its own */
  size_t max_body_bytes;   /* of the answer; 0: 16 MiB */
  gboolean keep_alive;     /* reuse idle connections to the address */
  const char *want_header; /* NULL, or a header of the answer, static text */
  GString *header_value;   /* set to its value before DONE; must outlive the call */
} cb_http_spec_t;

/* ERR is 0 or an error of this layer; then STATUS is 0 and BODY NULL. BODY is valid
   during the call only. */
typedef void (*cb_http_done_t) (void *ctx, int err, int status, const char *body,
                                size_t len);
typedef struct cb_http_call cb_http_call_t;

/* A ZeroMQ socket: a router that others connect to, or a dealer connected to one. */
typedef struct cb_wire cb_wire_t;
/* PEER is the identity of the sender at a router, NULL at a dealer. The envelope
   belongs to the wire and is valid during the call only. BYTES is its packed size. */
typedef void (*cb_wire_fn_t) (void *ctx, const char *peer, const Cb__Envelope *envelope,
                              size_t bytes);
/* An established connection of a dealer has ended; CTX is that of the wire. */
typedef void (*cb_wire_lost_fn_t) (void *ctx);

#endif
