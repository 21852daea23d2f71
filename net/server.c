/* HTTP server. */
#include "net/local.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum size of a request body unless cb_http_server_limit sets another one, enough
   for the configuration of a large fleet. */
#define MAX_BODY_BYTES ((size_t)8 << 20)
#define LISTEN_BACKLOG 512
/* Timeout of h2o for a request to arrive, in a server whose guard has timeouts of its
   own. It is the same for a slow body and a silent connection. */
#define GUARDED_REQ_TIMEOUT_MS 3600000

struct cb_http_server
{
  cb_loop_t *loop;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  h2o_socket_t *listener;
  cb_http_handler_t handler;
  void *ctx;
  uint32_t pending; /* requests without a reply */
  guard_t *guard;   /* NULL: without limits other than MAX_BODY_BYTES */
};

typedef struct
{
  h2o_handler_t super;
  cb_http_server_t *server;
} handler_t;

/* Points from h2o's request to the cb_http_req_t. It is allocated in the memory pool of
   h2o's request, whose disposal calls on_dispose, which clears the h2o pointer of the
   cb_http_req_t. */
typedef struct
{
  cb_http_req_t *req; /* NULL: freed */
} back_reference_t;

struct cb_http_req
{
  cb_http_server_t *server;
  h2o_req_t *h2o; /* NULL when the client has disconnected */
  back_reference_t *back_reference;
  char *method;
  char *host;
  char *path;
  GHashTable *query;
  char *body;
  size_t body_len;
  cb_msec_t received_ms;
  gboolean body_dropped;
  guarded_t *connection; /* NULL: without a guard; valid while h2o is not NULL */
};

static void
on_dispose (void *data)
{
  back_reference_t *back_reference = data;

  if (back_reference->req != NULL)
    back_reference->req->h2o = NULL;
}

static GHashTable *
parse_query (const char *text, size_t len)
{
  char *copy = g_strndup (text, len);
  GHashTable *query = g_uri_parse_params (copy, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);

  g_free (copy);
  return query;
}

static cb_http_req_t *
new_request (cb_http_server_t *server, h2o_req_t *h2o, size_t body_len)
{
  cb_http_req_t *req = g_new0 (cb_http_req_t, 1);
  size_t path_len = h2o->query_at == SIZE_MAX ? h2o->path.len : h2o->query_at;
  char *raw = g_strndup (h2o->path.base, path_len);

  req->server = server;
  req->h2o = h2o;
  req->received_ms = cb_clock_now (cb_clock_system ());
  req->method = g_strndup (h2o->method.base, h2o->method.len);
  req->host = g_strndup (h2o->input.authority.base, h2o->input.authority.len);
  req->path = g_uri_unescape_string (raw, NULL);
  if (req->path == NULL)
    req->path = g_strdup (raw);
  g_free (raw);
  if (h2o->query_at != SIZE_MAX && h2o->query_at < h2o->path.len)
    req->query = parse_query (h2o->path.base + h2o->query_at + 1,
                              h2o->path.len - h2o->query_at - 1);
  req->body_len = body_len;
  req->body = g_malloc (req->body_len + 1);
  if (req->body_len > 0)
    memcpy (req->body, h2o->entity.base, req->body_len);
  req->body[req->body_len] = '\0';
  req->back_reference =
      h2o_mem_alloc_shared (&h2o->pool, sizeof (back_reference_t), on_dispose);
  req->back_reference->req = req;
  return req;
}

/* Answers a request that the guard refuses with STATUS, and closes its connection. */
static int
refuse (h2o_req_t *h2o, int status)
{
  h2o->res.status = status;
  h2o->res.reason = "Error";
  h2o->http1_is_persistent = 0;
  h2o_send_inline (h2o, H2O_STRLIT ("{\"error\":\"limits\"}"));
  return 0;
}

static int
on_request (h2o_handler_t *handler, h2o_req_t *h2o)
{
  cb_http_server_t *server = ((handler_t *)handler)->server;
  size_t body_len = h2o->entity.base == NULL ? 0 : h2o->entity.len;
  guarded_t *connection =
      server->guard == NULL ? NULL
                            : guard_find (h2o->conn->callbacks->get_socket (h2o->conn));
  int status =
      connection == NULL ? 0 : guard_check_request (server->guard, connection, h2o);
  cb_http_req_t *req;

  if (status != 0 && status != 503)
    return refuse (h2o, status);
  if (status == 503)
    body_len = 0;
  req = new_request (server, h2o, body_len);
  req->connection = connection;
  req->body_dropped = status == 503;
  if (connection != NULL)
    guard_begin_request (server->guard, connection, body_len);
  server->pending++;
  server->handler (server->ctx, req);
  return 0;
}
static void
on_accept (h2o_socket_t *listener, const char *err)
{
  cb_http_server_t *server = listener->data;
  h2o_socket_t *sock;

  if (err != NULL)
    return;
  while ((sock = h2o_evloop_socket_accept (listener)) != NULL)
    {
      h2o_accept (&server->accept, sock);
      if (server->guard != NULL)
        guard_add (server->guard, sock);
    }
}

static int
open_listener (const char *address, int *fd)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  char *host = NULL;
  uint16_t port = 0;
  int on = 1;
  int err = cb_address_parse (address, &host, &port);

  if (err < 0)
    return err;
  addr.sin_port = htons (port);
  err = inet_pton (AF_INET, host, &addr.sin_addr) == 1 ? CB_OK : CB_NET_BAD_ADDRESS;
  g_free (host);
  if (err < 0)
    return err;
  *fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd < 0)
    return CB_NET_BIND;
  setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (*fd, (struct sockaddr *)&addr, sizeof addr) == 0 &&
      listen (*fd, LISTEN_BACKLOG) == 0)
    return CB_OK;
  close (*fd);
  return CB_NET_BIND;
}

/* Listens on ADDRESS (host:port, host an IPv4 address) and calls HANDLER with CTX for
   each request with its whole body (at most 8 MiB; a larger one gets status 413).
   HANDLER must reply, at once or later. Returns 0 and SERVER, which is never freed, or
   CB_NET_BAD_ADDRESS or CB_NET_BIND. */
int
cb_http_listen (cb_loop_t *loop, const char *address, cb_http_handler_t handler,
                void *ctx, cb_http_server_t **server)
{
  cb_http_server_t *s;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  handler_t *root;
  int fd = -1;
  int err = open_listener (address, &fd);

  if (err < 0)
    return err;
  s = g_new0 (cb_http_server_t, 1);
  s->loop = loop;
  s->handler = handler;
  s->ctx = ctx;
  h2o_config_init (&s->config);
  s->config.max_request_entity_size = MAX_BODY_BYTES;
  /* No client needs HTTP/2, which buffers bodies in a way that the guard doesn't see.
   */
  s->config.http1.upgrade_to_http2 = 0;
  s->config.server_name = h2o_iovec_init (H2O_STRLIT ("carobrun"));
  host = h2o_config_register_host (&s->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   UINT16_MAX);
  path = h2o_config_register_path (host, "/", 0);
  root = (handler_t *)h2o_create_handler (path, sizeof *root);
  root->server = s;
  root->super.on_req = on_request;
  h2o_context_init (&s->context, loop->h2o, &s->config);
  s->accept.ctx = &s->context;
  s->accept.hosts = s->config.hosts;
  s->listener = h2o_evloop_socket_create (loop->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
  s->listener->data = s;
  h2o_socket_read_start (s->listener, on_accept);
  *server = s;
  return CB_OK;
}

/* Applies LIMITS to what SERVER receives from now on; also to change them. NAME, a
   static string, identifies the server in log lines and metrics. Call it first before
   the loop runs, so that no connection escapes the limits. */
void
cb_http_server_limit (cb_http_server_t *server, const char *name,
                      const cb_http_limits_t *limits)
{
  int buffer = (int)limits->receive_buffer_bytes;

  if (server->guard == NULL)
    server->guard = guard_new (server->loop, name);
  guard_set_limits (server->guard, limits);
  server->context.http1.req_timeout.timeout = GUARDED_REQ_TIMEOUT_MS;
  server->config.max_request_entity_size =
      limits->body_bytes_max == 0 ? MAX_BODY_BYTES : limits->body_bytes_max;
  /* Accepted connections inherit the size from the listening socket. */
  if (buffer > 0 && server->listener != NULL)
    setsockopt (h2o_socket_get_fd (server->listener), SOL_SOCKET, SO_RCVBUF, &buffer,
                sizeof buffer);
}

/* Sets STATS to what SERVER holds and has refused; all 0 without limits. */
void
cb_http_server_stats (const cb_http_server_t *server, cb_http_stats_t *stats)
{
  memset (stats, 0, sizeof *stats);
  if (server->guard != NULL)
    guard_stats (server->guard, stats);
}

/* Stops accepting connections and closes open ones after their current request.
   Requests in progress still get their replies; SERVER stays valid for them. */
void
cb_http_server_close (cb_http_server_t *server)
{
  if (server->listener == NULL)
    return;
  h2o_socket_read_stop (server->listener);
  h2o_socket_close (server->listener);
  server->listener = NULL;
  h2o_context_request_shutdown (&server->context);
}

/* Returns the number of requests that have no reply yet. */
uint32_t
cb_http_server_pending (const cb_http_server_t *server)
{
  return server->pending;
}

/* Returns the time since REQ was received. */
cb_msec_t
cb_http_age_ms (const cb_http_req_t *req)
{
  return cb_clock_now (cb_clock_system ()) - req->received_ms;
}

const char *
cb_http_method (const cb_http_req_t *req)
{
  return req->method;
}

/* Returns the path without the query, unescaped. */
const char *
cb_http_path (const cb_http_req_t *req)
{
  return req->path;
}

/* Returns the query parameter NAME, or NULL. */
const char *
cb_http_query (const cb_http_req_t *req, const char *name)
{
  return req->query == NULL ? NULL : g_hash_table_lookup (req->query, name);
}

/* Returns the value of the header NAME (lower case), or NULL when there is none or the
   client has disconnected. The result is valid as long as the client is connected. */
const char *
cb_http_header (cb_http_req_t *req, const char *name)
{
  ssize_t at;
  h2o_iovec_t value;

  if (req->h2o == NULL)
    return NULL;
  at = h2o_find_header_by_str (&req->h2o->headers, name, strlen (name), SIZE_MAX);
  if (at < 0)
    return NULL;
  value = h2o_strdup (&req->h2o->pool, req->h2o->headers.entries[at].value.base,
                      req->h2o->headers.entries[at].value.len);
  return value.base;
}

/* Returns the request's Host header, with the port if it has one; empty without one. */
const char *
cb_http_host (const cb_http_req_t *req)
{
  return req->host;
}

/* Adds a header to the reply, NAME in lower case. Call before cb_http_reply. */
void
cb_http_add_header (cb_http_req_t *req, const char *name, const char *value)
{
  h2o_iovec_t n;
  h2o_iovec_t v;

  if (req->h2o == NULL)
    return;
  n = h2o_strdup (&req->h2o->pool, name, strlen (name));
  v = h2o_strdup (&req->h2o->pool, value, strlen (value));
  h2o_add_header_by_str (&req->h2o->pool, &req->h2o->res.headers, n.base, n.len, 1,
                         NULL, v.base, v.len);
}

/* Returns the body, which ends with a zero byte that LEN does not count. */
const char *
cb_http_body (const cb_http_req_t *req, size_t *len)
{
  if (len != NULL)
    *len = req->body_len;
  return req->body;
}

/* Returns whether the body of REQ was dropped, because too many bytes of requests wait
   for replies. The handler has to refuse REQ if it needs the body. */
gboolean
cb_http_body_dropped (const cb_http_req_t *req)
{
  return req->body_dropped;
}

static void
release_req (cb_http_req_t *req)
{
  req->server->pending--;
  if (req->server->guard != NULL)
    guard_end_request (req->server->guard, req->h2o == NULL ? NULL : req->connection,
                       req->body_len);
  if (req->h2o != NULL)
    req->back_reference->req = NULL;
  if (req->query != NULL)
    g_hash_table_unref (req->query);
  g_free (req->method);
  g_free (req->host);
  g_free (req->path);
  g_free (req->body);
  g_free (req);
}

/* Replies to REQ with a copy of BODY and frees REQ. The reply is discarded when the
   client has disconnected. */
void
cb_http_reply (cb_http_req_t *req, int status, const char *content_type,
               const void *body, size_t len)
{
  h2o_req_t *h2o = req->h2o;
  h2o_iovec_t type;

  if (h2o != NULL)
    {
      type = h2o_strdup (&h2o->pool, content_type, strlen (content_type));
      h2o->res.status = status;
      h2o->res.reason = status < 400 ? "OK" : "Error";
      h2o_add_header (&h2o->pool, &h2o->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                      type.base, type.len);
      h2o_send_inline (h2o, body == NULL ? "" : body, len);
    }
  release_req (req);
}

/* Frees REQ without a reply and leaves its connection open and silent. Only the
   stand-ins in fakes/ and tests use this, to simulate a peer that hangs. */
void
cb_http_no_reply (cb_http_req_t *req)
{
  release_req (req);
}

/* Replies to REQ with status 200, CONTENT_LENGTH as its Content-Length and only LEN
   bytes of BODY, closes the connection and frees REQ. Only the stand-ins in fakes/ use
   this, to simulate a truncated reply. */
void
cb_http_reply_truncated (cb_http_req_t *req, const void *body, size_t len,
                         size_t content_length)
{
  static h2o_generator_t generator = { NULL, NULL };
  h2o_req_t *h2o = req->h2o;
  h2o_iovec_t part;

  if (h2o != NULL)
    {
      part = h2o_strdup (&h2o->pool, body, len);
      h2o->res.status = 200;
      h2o->res.reason = "OK";
      h2o->res.content_length = content_length;
      h2o->http1_is_persistent = 0;
      h2o_start_response (h2o, &generator);
      h2o_send (h2o, &part, 1, H2O_SEND_STATE_FINAL);
    }
  release_req (req);
}
