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
  gboolean stopping;
};

void *cb_loop_zmq (cb_loop_t *loop);
void cb_loop_free_pools (cb_loop_t *loop);

#endif
