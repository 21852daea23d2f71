/* Shared inside net/ only. */
#ifndef CB_NET_LOCAL_H
#define CB_NET_LOCAL_H

#include <h2o.h>
#include <h2o/http1client.h>

#include "net/fns.h"

struct cb_loop
{
  h2o_loop_t *h2o;
  void *zmq;                /* context, created with the first socket */
  h2o_timeout_t io_timeout; /* of HTTP clients, per read or write */
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t getaddr;
  GSequence *timers; /* of cb_timer_t, by due time */
  GHashTable *pools; /* address -> h2o_socketpool_t, of idle client connections */
  GPtrArray *guards; /* of guard_t, of the servers with limits; owned by them */
  size_t message_bytes_max; /* of ZeroMQ sockets; 0: the default of wire.c */
  gboolean stopping;
};

/* A connection of a server that may be closed to keep a bound. */
typedef struct
{
  void *ctx;
  uint32_t address;      /* IPv4 address of the client */
  size_t bytes;          /* held by its unfinished request; 0: it has none */
  cb_msec_t progress_ms; /* when its bytes last arrived, or since when it is idle */
  gboolean served;       /* has had a reply */
  gboolean evicted;
  double rank; /* set by the choice */
} candidate_t;

/* Bounds of one server and the account of what its clients make it hold, see guard.c.
 */
typedef struct guard guard_t;
typedef struct guarded guarded_t;

void *cb_loop_zmq (cb_loop_t *loop);
void cb_loop_free_pools (cb_loop_t *loop);

/* limits.c */
void limits_choose_bytes (candidate_t *candidates, uint32_t count, size_t bytes,
                          cb_msec_t now_ms);
void limits_choose_count (candidate_t *candidates, uint32_t count, uint32_t evictions,
                          cb_msec_t now_ms);

/* guard.c */
guard_t *guard_new (cb_loop_t *loop, const char *name);
void guard_set_limits (guard_t *guard, const cb_http_limits_t *limits);
void guard_add (guard_t *guard, h2o_socket_t *sock);
guarded_t *guard_find (h2o_socket_t *sock);
int guard_check_request (guard_t *guard, guarded_t *connection, const h2o_req_t *h2o);
void guard_begin_request (guard_t *guard, guarded_t *connection, size_t body_bytes);
void guard_end_request (guard_t *guard, guarded_t *connection, size_t body_bytes);
void guard_after_events (guard_t *guard);
void guard_stats (const guard_t *guard, cb_http_stats_t *stats);

#endif
