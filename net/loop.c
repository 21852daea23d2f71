/* Event loop with timers, on top of the loop of h2o. */
#include "net/local.h"

#include <stdlib.h>
#include <string.h>

#include <zmq.h>

/* Longest wait for events in one iteration of the loop. */
#define MAX_WAIT_MS 1000
/* An HTTP client connection without progress for this long is closed. The timeout of
   the call is normally shorter. */
#define IO_TIMEOUT_MS 120000

struct cb_timer
{
  cb_loop_t *loop;
  cb_msec_t due_ms;
  cb_msec_t every_ms;
  cb_timer_fn_t fn;
  void *ctx;
  GSequenceIter *position; /* in the loop's timers; NULL: not scheduled */
  gboolean in_callback;
  gboolean freed; /* by its own callback */
};

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const cb_timer_t *x = a;
  const cb_timer_t *y = b;

  (void)data;
  return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

static void
run_timer (cb_timer_t *timer, cb_msec_t now_ms)
{
  g_sequence_remove (timer->position);
  timer->position = NULL;
  timer->in_callback = TRUE;
  timer->fn (timer->ctx);
  timer->in_callback = FALSE;
  if (timer->freed)
    {
      g_free (timer);
      return;
    }
  if (timer->every_ms <= 0)
    return;
  timer->due_ms = now_ms + timer->every_ms;
  timer->position =
      g_sequence_insert_sorted (timer->loop->timers, timer, compare_due, NULL);
}

static cb_timer_t *
first_timer (cb_loop_t *loop)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static void
run_due_timers (cb_loop_t *loop)
{
  cb_msec_t now_ms = cb_clock_now (cb_clock_system ());
  cb_timer_t *timer;

  while (!loop->stopping && (timer = first_timer (loop)) != NULL &&
         timer->due_ms <= now_ms)
    run_timer (timer, now_ms);
}

static int32_t
time_to_next_timer_ms (cb_loop_t *loop)
{
  cb_timer_t *timer = first_timer (loop);
  cb_msec_t left_ms;

  if (timer == NULL)
    return MAX_WAIT_MS;
  left_ms = timer->due_ms - cb_clock_now (cb_clock_system ());
  return (int32_t)CLAMP (left_ms, 0, MAX_WAIT_MS);
}

/* Creates an event loop; a process has one. Freed with cb_loop_free after its sockets
   and timers, which belong to their creators. */
cb_loop_t *
cb_loop_new (void)
{
  cb_loop_t *loop = g_new0 (cb_loop_t, 1);

  loop->h2o = h2o_evloop_create ();
  loop->timers = g_sequence_new (NULL);
  loop->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  loop->guards = g_ptr_array_new ();
  loop->queue = h2o_multithread_create_queue (loop->h2o);
  h2o_multithread_register_receiver (loop->queue, &loop->getaddr,
                                     h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init (loop->h2o, &loop->io_timeout, IO_TIMEOUT_MS);
  return loop;
}

void
cb_loop_free (cb_loop_t *loop)
{
  h2o_timeout_dispose (loop->h2o, &loop->io_timeout);
  h2o_multithread_unregister_receiver (loop->queue, &loop->getaddr);
  h2o_multithread_destroy_queue (loop->queue);
  g_sequence_free (loop->timers);
  g_ptr_array_free (loop->guards, TRUE);
  cb_loop_free_pools (loop);
  if (loop->zmq != NULL)
    zmq_ctx_term (loop->zmq);
  /* loop->h2o is not destroyed: h2o_evloop_destroy aborts while a timeout is
     registered, and the timeouts of h2o's server and client contexts stay registered
     until the process exits. */
  g_free (loop);
}

/* Runs the callbacks of sockets that a function called from outside of h2o's loop has
   made pending. An iteration of that loop frees closed sockets first and does not
   expect them to be pending. */
static void
run_pending_sockets (cb_loop_t *loop)
{
  h2o_timeout__do_post_callback (loop->h2o);
}

/* Runs until cb_loop_stop. */
void
cb_loop_run (cb_loop_t *loop)
{
  loop->stopping = FALSE;
  run_pending_sockets (loop);
  while (!loop->stopping)
    {
      h2o_evloop_run (loop->h2o, time_to_next_timer_ms (loop));
      for (guint i = 0; i < loop->guards->len; i++)
        guard_after_events (loop->guards->pdata[i]);
      run_due_timers (loop);
      run_pending_sockets (loop);
    }
}

/* Makes cb_loop_run return after the current iteration. */
void
cb_loop_stop (cb_loop_t *loop)
{
  loop->stopping = TRUE;
}

/* Returns the ZeroMQ context, which the loop owns; created by the first call. */
void *
cb_loop_zmq (cb_loop_t *loop)
{
  if (loop->zmq == NULL)
    loop->zmq = zmq_ctx_new ();
  return loop->zmq;
}

/* Calls FN after AFTER_MS and then, when EVERY_MS is above 0, every EVERY_MS. Freed
   with cb_timer_free, which FN may call too. */
cb_timer_t *
cb_timer_new (cb_loop_t *loop, cb_msec_t after_ms, cb_msec_t every_ms, cb_timer_fn_t fn,
              void *ctx)
{
  cb_timer_t *timer = g_new0 (cb_timer_t, 1);

  timer->loop = loop;
  timer->due_ms = cb_clock_now (cb_clock_system ()) + after_ms;
  timer->every_ms = every_ms;
  timer->fn = fn;
  timer->ctx = ctx;
  timer->position = g_sequence_insert_sorted (loop->timers, timer, compare_due, NULL);
  return timer;
}

void
cb_timer_free (cb_timer_t *timer)
{
  if (timer == NULL)
    return;
  if (timer->position != NULL)
    g_sequence_remove (timer->position);
  timer->position = NULL;
  if (timer->in_callback)
    {
      timer->freed = TRUE;
      return;
    }
  g_free (timer);
}

/* Splits "host:port" into HOST, freed with g_free, and PORT (1 to 65535).
   Returns CB_NET_BAD_ADDRESS when the text has another form. */
int
cb_address_parse (const char *address, char **host, uint16_t *port)
{
  const char *colon = address == NULL ? NULL : strrchr (address, ':');
  char *end;
  unsigned long value;

  if (colon == NULL || colon == address || !g_ascii_isdigit (colon[1]))
    return CB_NET_BAD_ADDRESS;
  value = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || value == 0 || value > UINT16_MAX)
    return CB_NET_BAD_ADDRESS;
  *host = g_strndup (address, (gsize)(colon - address));
  *port = (uint16_t)value;
  return CB_OK;
}
