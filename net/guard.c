/* Keeps account of what the clients of one server make it hold, and closes connections
   that pass its limits. h2o gathers a whole request before it calls the handler; what
   has arrived of a request is in the input buffer of its connection. */
#include "net/local.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

/* Interval at which the timeouts of all connections are checked. */
#define CHECK_MS 250
/* Least interval between two log lines of a server. */
#define LOG_MS 1000
/* Once a bound is passed, this part of it is freed, so that the choice, which looks at
   all connections, isn't made again for the next one. */
#define FREED_PART 8
/* A whole request that waits for its reply holds up to this multiple of its body: h2o's
   buffer and the copy for the handler, the decoded job and its record. */
#define PENDING_FACTOR 4
/* An input buffer that has grown beyond this is freed once its request has its reply.
 */
#define IDLE_BUFFER_BYTES 16384

struct guard
{
  cb_loop_t *loop;
  const char *name;
  cb_http_limits_t limits;
  cb_timer_t *timer;
  GPtrArray *connections; /* of guarded_t, without those that are being closed */
  GPtrArray *unhooked;    /* of guarded_t that don't read, or read without on_read */
  guarded_t *reading;     /* during on_read; NULL: it was closed meanwhile */
  size_t held_bytes;      /* of the connections' input buffers */
  size_t pending_bytes;   /* of bodies whose requests have no reply yet */
  uint64_t refusals[CB_HTTP_REFUSALS];
  uint64_t logged; /* sum of the refusals at the last log line */
  cb_msec_t logged_ms;
};

struct guarded
{
  guard_t *guard;
  h2o_socket_t *sock;
  h2o_socket_cb read; /* of h2o, called by on_read */
  guint index;        /* in the guard's connections, unless it is being closed */
  size_t held_bytes;  /* counted in those of the guard */
  size_t body_at;     /* offset of the body in the input; 0: the header is incomplete */
  size_t scanned;     /* the header's end is not before this offset */
  cb_msec_t begun_ms; /* since when a request arrives; 0: none does */
  cb_msec_t progress_ms;
  uint32_t pending;  /* requests that the handler has not answered */
  uint32_t requests; /* that went to the handler or were refused for the backlog */
  gboolean answered; /* h2o has answered or interrupted the request by itself */
  gboolean served;
  gboolean closing;
  gboolean is_unhooked; /* in the guard's unhooked */
};

static const char *const refusal_names[CB_HTTP_REFUSALS] = {
  [CB_HTTP_MALFORMED] = "malformed",
  [CB_HTTP_HEADER_TOO_LARGE] = "header_too_large",
  [CB_HTTP_BODY_TOO_LARGE] = "body_too_large",
  [CB_HTTP_HEADER_TIMEOUT] = "header_timeout",
  [CB_HTTP_BODY_TIMEOUT] = "body_timeout",
  [CB_HTTP_IDLE_TIMEOUT] = "idle_timeout",
  [CB_HTTP_MEMORY] = "memory",
  [CB_HTTP_BACKLOG] = "backlog",
  [CB_HTTP_CONNECTIONS] = "connections",
};

/* Returns the name of REASON in log lines and metrics. */
const char *
cb_http_refusal_name (cb_http_refusal_t reason)
{
  return refusal_names[reason];
}

static cb_msec_t
clock_ms (void)
{
  return cb_clock_now (cb_clock_system ());
}

static void
set_held (guarded_t *c, size_t bytes)
{
  c->guard->held_bytes += bytes - c->held_bytes;
  c->held_bytes = bytes;
}

/* Stops counting C, which is being closed. */
static void
remove_connection (guarded_t *c)
{
  GPtrArray *connections = c->guard->connections;

  set_held (c, 0);
  g_ptr_array_remove_index_fast (connections, c->index);
  if (c->index < connections->len)
    ((guarded_t *)connections->pdata[c->index])->index = c->index;
}

static void on_read (h2o_socket_t *sock, const char *err);

/* Closes C and frees it. While h2o does not read from it, it closes the connection
   later, when a write fails. */
static void
evict (guarded_t *c, cb_http_refusal_t reason)
{
  if (c->closing)
    return;
  c->guard->refusals[reason]++;
  remove_connection (c);
  c->closing = TRUE;
  if (c->sock->_cb.read == on_read)
    c->read (c->sock, h2o_socket_error_closed);
  else
    shutdown (h2o_socket_get_fd (c->sock), SHUT_RDWR);
}

static void
on_close (void *data)
{
  guarded_t *c = data;
  guard_t *guard = c->guard;

  /* After `100 Continue`, the one other reply of its own, h2o reads on. */
  if (c->answered && !c->closing)
    guard->refusals[CB_HTTP_MALFORMED]++;
  if (!c->closing)
    remove_connection (c);
  if (c->is_unhooked)
    g_ptr_array_remove_fast (guard->unhooked, c);
  if (guard->reading == c)
    guard->reading = NULL;
  g_free (c);
}

static uint32_t
peer_address (h2o_socket_t *sock)
{
  struct sockaddr_storage peer = { 0 };

  if (h2o_socket_getpeername (sock, (struct sockaddr *)&peer) == 0 ||
      peer.ss_family != AF_INET)
    return 0;
  return ntohl (((struct sockaddr_in *)&peer)->sin_addr.s_addr);
}

/* Lists the connections of GUARD whose requests are not at the handler. */
static GArray *
list_candidates (const guard_t *guard)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (candidate_t));

  for (guint i = 0; i < guard->connections->len; i++)
    {
      guarded_t *c = guard->connections->pdata[i];
      candidate_t candidate = { .ctx = c,
                                .address = peer_address (c->sock),
                                .bytes = c->held_bytes,
                                .progress_ms = c->progress_ms,
                                .served = c->served };

      if (c->pending == 0)
        g_array_append_val (list, candidate);
    }
  return list;
}

static void
evict_chosen (GArray *list, cb_http_refusal_t reason)
{
  for (guint i = 0; i < list->len; i++)
    {
      const candidate_t *candidate = &g_array_index (list, candidate_t, i);

      if (candidate->evicted)
        evict (candidate->ctx, reason);
    }
  g_array_unref (list);
}

/* Returns the bound on held bytes. A single request within the limits always fits. */
static size_t
held_bytes_max (const guard_t *guard)
{
  return MAX (guard->limits.held_bytes_max,
              guard->limits.body_bytes_max + guard->limits.header_bytes_max);
}

static void
keep_held_bytes (guard_t *guard)
{
  size_t max = held_bytes_max (guard);
  GArray *list;

  if (guard->limits.held_bytes_max == 0 || guard->held_bytes <= max)
    return;
  list = list_candidates (guard);
  limits_choose_bytes ((candidate_t *)list->data, list->len,
                       guard->held_bytes - max + max / FREED_PART, clock_ms ());
  evict_chosen (list, CB_HTTP_MEMORY);
}

static void
keep_connections (guard_t *guard)
{
  uint32_t max = guard->limits.connections_max;
  GArray *list;

  if (max == 0 || guard->connections->len <= max)
    return;
  list = list_candidates (guard);
  limits_choose_count ((candidate_t *)list->data, list->len,
                       guard->connections->len - max + max / FREED_PART, clock_ms ());
  evict_chosen (list, CB_HTTP_CONNECTIONS);
}

/* Finds the end of the header of a request that is not complete. */
static void
find_body (guarded_t *c)
{
  const h2o_buffer_t *input = c->sock->input;
  const char *end;

  if (c->body_at > 0 || input->size < 4)
    return;
  end = memmem (input->bytes + c->scanned, input->size - c->scanned, "\r\n\r\n", 4);
  if (end != NULL)
    c->body_at = (size_t)(end - input->bytes) + 4;
  else
    c->scanned = input->size - 3;
}

static void
await_reading (guarded_t *c)
{
  if (c->is_unhooked)
    return;
  c->is_unhooked = TRUE;
  g_ptr_array_add (c->guard->unhooked, c);
}

/* Checks the sizes of the request that arrives at C. May free C. */
static void
check_request (guarded_t *c)
{
  const cb_http_limits_t *limits = &c->guard->limits;
  size_t size = c->sock->input->size;

  find_body (c);
  if (limits->header_bytes_max > 0 &&
      (c->body_at > 0 ? c->body_at : size) > limits->header_bytes_max)
    evict (c, CB_HTTP_HEADER_TOO_LARGE);
  else if (limits->body_bytes_max > 0 && c->body_at > 0 &&
           size - c->body_at > limits->body_bytes_max)
    evict (c, CB_HTTP_BODY_TOO_LARGE);
}

/* Takes what has just been read into account. May free C. */
static void
note_read (guarded_t *c)
{
  guard_t *guard = c->guard;

  if (c->closing)
    return;
  set_held (c, c->sock->input->size);
  if (!h2o_socket_is_reading (c->sock))
    {
      if (c->pending == 0)
        await_reading (c);
      return;
    }
  c->progress_ms = clock_ms ();
  if (c->begun_ms == 0)
    c->begun_ms = c->progress_ms;
  check_request (c);
  keep_held_bytes (guard);
}

/* Replaces h2o's callback for data that has been read. */
static void
on_read (h2o_socket_t *sock, const char *err)
{
  guarded_t *c = guard_find (sock);
  guard_t *guard = c->guard;
  uint32_t requests = c->requests;

  guard->reading = c;
  c->read (sock, err);
  if (guard->reading != c)
    return;
  guard->reading = NULL;
  c->answered = !h2o_socket_is_reading (sock) && c->requests == requests;
  note_read (c);
}

/* Makes h2o's callback of C go through on_read. */
static void
hook (guarded_t *c)
{
  c->read = c->sock->_cb.read;
  c->sock->_cb.read = on_read;
  c->begun_ms = 0;
  c->body_at = 0;
  c->scanned = 0;
  c->answered = FALSE;
  c->progress_ms = clock_ms ();
}

/* Frees the input buffer of a connection that waits for its next request, if it has
   grown. h2o would keep it. */
static void
trim_buffer (h2o_socket_t *sock)
{
  if (sock->input->size > 0 || sock->input->capacity <= IDLE_BUFFER_BYTES)
    return;
  h2o_buffer_dispose (&sock->input);
  h2o_buffer_init (&sock->input, &h2o_socket_buffer_prototype);
}

/* Called after each iteration of the loop: puts on_read back where h2o has started to
   read the next request. */
void
guard_after_events (guard_t *guard)
{
  for (guint i = guard->unhooked->len; i > 0; i--)
    {
      guarded_t *c = guard->unhooked->pdata[i - 1];

      if (c->pending == 0 && !h2o_socket_is_reading (c->sock))
        continue; /* its reply is being written */
      g_ptr_array_remove_index_fast (guard->unhooked, i - 1);
      c->is_unhooked = FALSE;
      if (c->pending > 0 || c->closing)
        continue;
      if (c->sock->_cb.read != on_read)
        hook (c);
      trim_buffer (c->sock);
      if (c->sock->input->size > 0)
        note_read (c);
      else
        set_held (c, 0);
    }
}

static gboolean
is_over (cb_msec_t since_ms, cb_msec_t timeout_ms, cb_msec_t now_ms)
{
  return timeout_ms > 0 && now_ms - since_ms > timeout_ms;
}

static void
check_timeouts (guarded_t *c, cb_msec_t now_ms)
{
  const cb_http_limits_t *limits = &c->guard->limits;

  if (c->pending > 0)
    return;
  if (c->begun_ms == 0 || !h2o_socket_is_reading (c->sock))
    {
      if (is_over (c->progress_ms, limits->idle_timeout_ms, now_ms))
        evict (c, CB_HTTP_IDLE_TIMEOUT);
    }
  else if (c->body_at == 0)
    {
      if (is_over (c->begun_ms, limits->header_timeout_ms, now_ms))
        evict (c, CB_HTTP_HEADER_TIMEOUT);
    }
  else if (is_over (c->progress_ms, limits->body_timeout_ms, now_ms))
    evict (c, CB_HTTP_BODY_TIMEOUT);
}

/* Logs that the guard has refused something since the last line, at most once in
   LOG_MS. Idle connections that are closed are nothing unusual. */
static void
log_refusals (guard_t *guard, cb_msec_t now_ms)
{
  const uint64_t *r = guard->refusals;
  uint64_t sum = 0;

  for (int i = 0; i < CB_HTTP_REFUSALS; i++)
    sum += i == CB_HTTP_IDLE_TIMEOUT ? 0 : r[i];
  if (sum == guard->logged || now_ms - guard->logged_ms < LOG_MS)
    return;
  guard->logged = sum;
  guard->logged_ms = now_ms;
  cb_event (
      CB_LOG_WARN, "http", "clients_refused",
      "listener=%s held_bytes=%zu pending_bytes=%zu connections=%u malformed=%" PRIu64
      " header_too_large=%" PRIu64 " body_too_large=%" PRIu64 " header_timeout=%" PRIu64
      " body_timeout=%" PRIu64 " memory=%" PRIu64 " backlog=%" PRIu64
      " connections_max=%" PRIu64,
      guard->name, guard->held_bytes, guard->pending_bytes, guard->connections->len,
      r[CB_HTTP_MALFORMED], r[CB_HTTP_HEADER_TOO_LARGE], r[CB_HTTP_BODY_TOO_LARGE],
      r[CB_HTTP_HEADER_TIMEOUT], r[CB_HTTP_BODY_TIMEOUT], r[CB_HTTP_MEMORY],
      r[CB_HTTP_BACKLOG], r[CB_HTTP_CONNECTIONS]);
}

static void
on_check (void *ctx)
{
  guard_t *guard = ctx;
  cb_msec_t now_ms = clock_ms ();

  /* An eviction moves the last connection to the place of the evicted one. */
  for (guint i = guard->connections->len; i > 0; i--)
    check_timeouts (guard->connections->pdata[i - 1], now_ms);
  log_refusals (guard, now_ms);
}

/* Creates the guard of a server; it lives as long as the process. NAME is static. */
guard_t *
guard_new (cb_loop_t *loop, const char *name)
{
  guard_t *guard = g_new0 (guard_t, 1);

  guard->loop = loop;
  guard->name = name;
  guard->connections = g_ptr_array_new ();
  guard->unhooked = g_ptr_array_new ();
  guard->timer = cb_timer_new (loop, CHECK_MS, CHECK_MS, on_check, guard);
  g_ptr_array_add (loop->guards, guard);
  return guard;
}

void
guard_set_limits (guard_t *guard, const cb_http_limits_t *limits)
{
  guard->limits = *limits;
}

/* Adds the connection SOCK, which h2o has begun to read. */
void
guard_add (guard_t *guard, h2o_socket_t *sock)
{
  guarded_t *c = g_new0 (guarded_t, 1);

  c->guard = guard;
  c->sock = sock;
  c->index = guard->connections->len;
  g_ptr_array_add (guard->connections, c);
  sock->on_close.cb = on_close;
  sock->on_close.data = c;
  hook (c);
  keep_connections (guard);
}

/* Returns the connection of SOCK, which guard_add has added. */
guarded_t *
guard_find (h2o_socket_t *sock)
{
  return sock->on_close.data;
}

/* Returns the size of the header of the request H2O of C that has arrived. */
static size_t
header_bytes (guarded_t *c, const h2o_req_t *h2o)
{
  if (h2o->entity.base != NULL)
    return (size_t)(h2o->entity.base - c->sock->input->bytes);
  find_body (c);
  return c->body_at;
}

/* Decides whether the whole request H2O of C may go to the handler. Returns 0, the HTTP
   status to refuse it with, or 503 when the handler has to refuse it, and does not get
   its body. One is always admitted when no other waits for a reply. */
int
guard_check_request (guard_t *guard, guarded_t *c, const h2o_req_t *h2o)
{
  const cb_http_limits_t *limits = &guard->limits;
  size_t body_bytes = h2o->entity.base == NULL ? 0 : h2o->entity.len;
  size_t pending_bytes = (guard->pending_bytes + body_bytes) * PENDING_FACTOR;

  c->requests++;
  if (c->closing)
    return 408; /* not sent: the connection is shut down */
  if (limits->header_bytes_max > 0 &&
      c->sock->input->size - body_bytes > limits->header_bytes_max &&
      header_bytes (c, h2o) > limits->header_bytes_max)
    {
      guard->refusals[CB_HTTP_HEADER_TOO_LARGE]++;
      return 431;
    }
  if (limits->held_bytes_max == 0 || guard->pending_bytes == 0 ||
      pending_bytes <= limits->held_bytes_max)
    return 0;
  guard->refusals[CB_HTTP_BACKLOG]++;
  return 503;
}

/* Notes that a request of C with BODY_BYTES goes to the handler. */
void
guard_begin_request (guard_t *guard, guarded_t *c, size_t body_bytes)
{
  guard->pending_bytes += body_bytes;
  c->pending++;
}

/* Notes that this request has its reply. C is NULL when the client has gone. */
void
guard_end_request (guard_t *guard, guarded_t *c, size_t body_bytes)
{
  guard->pending_bytes -= body_bytes;
  if (c == NULL)
    return;
  c->pending--;
  c->served = TRUE;
  c->progress_ms = clock_ms ();
  await_reading (c);
}

/* Adds what GUARD holds and has refused to STATS. */
void
guard_stats (const guard_t *guard, cb_http_stats_t *stats)
{
  stats->held_bytes = guard->held_bytes + guard->pending_bytes;
  stats->connections = guard->connections->len;
  memcpy (stats->refusals, guard->refusals, sizeof stats->refusals);
}
