/* Event loop, timers, signals, HTTP with h2o, and messages between processes with
   ZeroMQ. */
#ifndef CB_NET_DAT_H
#define CB_NET_DAT_H

#include "base/dat.h"

/* Errors of this layer. */
enum
{
  CB_NET_BAD_ADDRESS = -100,
  CB_NET_BIND = -101,
  CB_NET_CONNECT = -102,   /* no connection in time: nothing was sent */
  CB_NET_CLOSED = -103,    /* connection closed; the request may have been sent */
  CB_NET_TIMEOUT = -104,   /* no complete response in time; the peer may have acted */
  CB_NET_TRUNCATED = -105, /* the length of the body differs from Content-Length */
  CB_NET_TOO_LARGE = -106, /* the response exceeds max_body_bytes */
  CB_NET_CANCELED = -107,
  CB_NET_SEND = -108,    /* the peer is unknown, or its queue is full */
  CB_NET_MONITOR = -109, /* disconnects cannot be reported */
  CB_NET_REFUSED = -110, /* as CB_NET_CONNECT, and the attempt was rejected: on the
                            peer's instance no process listens at the address */
};

typedef struct cb_loop cb_loop_t;
typedef struct cb_timer cb_timer_t;
typedef void (*cb_timer_fn_t) (void *ctx);
typedef struct cb_signals cb_signals_t;
typedef void (*cb_signal_fn_t) (void *ctx, int signo);

/* A request that a server received. It stays valid until cb_http_reply, even when the
   client disconnects; the reply is then discarded. */
typedef struct cb_http_req cb_http_req_t;
typedef struct cb_http_server cb_http_server_t;
typedef void (*cb_http_handler_t) (void *ctx, cb_http_req_t *req);

/* What the clients of a server may make it hold. 0: no such bound. */
typedef struct
{
  size_t header_bytes_max;
  size_t body_bytes_max;
  cb_msec_t
      header_timeout_ms;     /* from a request's first byte to the end of its header */
  cb_msec_t idle_timeout_ms; /* of a connection without a request */
  cb_msec_t body_timeout_ms; /* without a byte of a body */
  size_t held_bytes_max;     /* of all requests whose replies are not written */
  uint32_t connections_max;
  size_t receive_buffer_bytes; /* of the kernel, for each connection */
} cb_http_limits_t;

/* Why a server has refused a request or closed a connection. */
typedef enum
{
  CB_HTTP_MALFORMED, /* answered by the HTTP parser, for example with 413 */
  CB_HTTP_HEADER_TOO_LARGE,
  CB_HTTP_BODY_TOO_LARGE, /* of no announced length */
  CB_HTTP_HEADER_TIMEOUT,
  CB_HTTP_BODY_TIMEOUT,
  CB_HTTP_IDLE_TIMEOUT, /* also of a client that does not read its reply */
  CB_HTTP_MEMORY,       /* held_bytes_max, an unfinished request */
  CB_HTTP_BACKLOG,      /* held_bytes_max, a whole request: the handler refuses it */
  CB_HTTP_CONNECTIONS,  /* connections_max */
  CB_HTTP_REFUSALS,     /* number of reasons */
} cb_http_refusal_t;

/* What a server holds at present, and its refusals so far, by reason. */
typedef struct
{
  size_t held_bytes;
  uint32_t connections;
  uint64_t refusals[CB_HTTP_REFUSALS];
} cb_http_stats_t;

/* A request to send. Strings need to live only until cb_http_call returns. */
typedef struct
{
  const char *address; /* host:port, host an IPv4 address */
  const char *host;    /* Host header; NULL: ADDRESS */
  const char *method;
  const char *path;    /* with the query */
  const char *headers; /* lines `name: value\r\n`, or NULL */
  const void *body;
  size_t body_len;                /* bytes */
  cb_msec_t timeout_ms;           /* for the whole exchange */
  cb_msec_t connect_timeout_ms;   /* until the connection is open; 0: no such limit */
  size_t max_body_bytes;          /* of the response; 0: 16 MiB */
  gboolean keep_alive;            /* use and leave idle connections to ADDRESS */
  const char *response_header;    /* name of a header to read, static; NULL: none */
  GString *response_header_value; /* set before DONE; must outlive the call */
} cb_http_spec_t;

/* ERR is 0 or an error of this layer; with an error, STATUS is 0 and BODY is NULL. BODY
   is valid during the callback only. */
typedef void (*cb_http_done_t) (void *ctx, int err, int status, const char *body,
                                size_t len);
typedef struct cb_http_call cb_http_call_t;

/* A ZeroMQ socket: a router that others connect to, or a dealer connected to one. */
typedef struct cb_wire cb_wire_t;
/* PEER is the identity of the sender at a router, NULL at a dealer. ENVELOPE belongs to
   the wire and is valid during the callback only. BYTES is its packed size. */
typedef void (*cb_wire_fn_t) (void *ctx, const char *peer, const Cb__Envelope *envelope,
                              size_t bytes);
/* Called after an established connection of a dealer ends; CTX is that of the wire. */
typedef void (*cb_wire_disconnect_fn_t) (void *ctx);

#endif
