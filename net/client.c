/* HTTP client. */
#include "net/local.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_BODY_BYTES ((size_t)16 << 20)

/* Maximum number of idle connections to an address, and the time after which an idle
   connection is closed. The time is shorter than the idle timeouts of common servers
   (5 s and more), so that a request is not sent on a connection that the server is
   closing. */
#define POOL_CAPACITY 64
#define POOL_IDLE_MS 4000

/* An HTTP call. Without keep_alive a call opens a connection of its own, so that it
   never uses a connection that a middlebox has silently dropped. With keep_alive, a
   call that fails closes its connection, so that only the first call on a dropped
   connection is lost. */
struct cb_http_call
{
  cb_loop_t *loop;
  h2o_http1client_ctx_t ctx;
  h2o_http1client_t *client;
  cb_timer_t *timer;
  cb_timer_t *connect_timer; /* NULL: no connect timeout */
  cb_http_done_t done;
  void *done_ctx;
  GString *request;
  h2o_iovec_t request_vec;
  GString *body;
  const char *response_header;
  GString *response_header_value;
  size_t max_body;
  int64_t content_length; /* of the response, -1 when absent */
  int status;
  gboolean is_head;
  gboolean sent;     /* the request was passed to h2o */
  gboolean starting; /* cb_http_call has not returned yet */
  int start_err;     /* of a connection that failed meanwhile */
};

static void
release_call (cb_http_call_t *call)
{
  cb_timer_free (call->timer);
  cb_timer_free (call->connect_timer);
  g_string_free (call->request, TRUE);
  g_string_free (call->body, TRUE);
  g_free (call);
}

/* Calls DONE and frees CALL. */
static void
finish (cb_http_call_t *call, int err)
{
  if (err == CB_OK && call->content_length >= 0 && !call->is_head &&
      (uint64_t)call->content_length != call->body->len)
    err = CB_NET_TRUNCATED;
  if (err < 0)
    call->done (call->done_ctx, err, 0, NULL, 0);
  else
    call->done (call->done_ctx, CB_OK, call->status, call->body->str, call->body->len);
  release_call (call);
}

/* Closes the connection and ends CALL with ERR. */
static void
abort_call (cb_http_call_t *call, int err)
{
  if (call->client != NULL)
    h2o_http1client_cancel (call->client);
  call->client = NULL;
  finish (call, err);
}

static void
on_timeout (void *ctx)
{
  cb_http_call_t *call = ctx;

  abort_call (call, call->sent ? CB_NET_TIMEOUT : CB_NET_CONNECT);
}

static void
on_connect_timeout (void *ctx)
{
  cb_http_call_t *call = ctx;

  if (!call->sent)
    abort_call (call, CB_NET_CONNECT);
}

static int
on_body (h2o_http1client_t *client, const char *errstr)
{
  cb_http_call_t *call = client->data;
  h2o_buffer_t *input = client->sock->input;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call->client = NULL;
      finish (call, CB_NET_CLOSED);
      return -1;
    }
  if (call->body->len + input->size > call->max_body)
    {
      call->client = NULL;
      finish (call, CB_NET_TOO_LARGE);
      return -1;
    }
  g_string_append_len (call->body, input->bytes, (gssize)input->size);
  h2o_buffer_consume (&client->sock->input, input->size);
  if (errstr == h2o_http1client_error_is_eos)
    {
      call->client = NULL;
      finish (call, CB_OK);
    }
  return 0;
}

static void
read_content_length (cb_http_call_t *call, const h2o_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text;

      if (headers[i].name != &H2O_TOKEN_CONTENT_LENGTH->buf)
        continue;
      text = g_strndup (headers[i].value.base, headers[i].value.len);
      call->content_length = g_ascii_strtoll (text, NULL, 10);
      g_free (text);
    }
}

static void
read_response_header (cb_http_call_t *call, const h2o_header_t *headers, size_t count)
{
  size_t len = call->response_header == NULL ? 0 : strlen (call->response_header);

  for (size_t i = 0; i < count && len > 0; i++)
    if (headers[i].name->len == len &&
        g_ascii_strncasecmp (headers[i].name->base, call->response_header, len) == 0)
      {
        g_string_truncate (call->response_header_value, 0);
        g_string_append_len (call->response_header_value, headers[i].value.base,
                             (gssize)headers[i].value.len);
      }
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *errstr, int minor_version, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers, int rlen)
{
  cb_http_call_t *call = client->data;

  (void)minor_version;
  (void)msg;
  (void)rlen;
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call->client = NULL;
      finish (call, CB_NET_CLOSED);
      return NULL;
    }
  call->status = status;
  read_response_header (call, headers, num_headers);
  read_content_length (call, headers, num_headers);
  if (call->content_length > 0 && (uint64_t)call->content_length > call->max_body &&
      !call->is_head)
    {
      call->client = NULL;
      finish (call, CB_NET_TOO_LARGE);
      return NULL;
    }
  /* Otherwise the buffer of a large body grows to up to twice its size. */
  if (call->content_length > 0 && !call->is_head)
    {
      g_string_set_size (call->body, (gsize)call->content_length);
      g_string_truncate (call->body, 0);
    }
  if (errstr == h2o_http1client_error_is_eos)
    {
      call->client = NULL;
      finish (call, CB_OK);
      return NULL;
    }
  return on_body;
}

static void
on_start_failed (void *ctx)
{
  cb_http_call_t *call = ctx;

  finish (call, call->start_err);
}

/* Ends CALL, whose connection attempt has failed. An attempt that failed at once may
   have lacked a descriptor or a route; errno tells. One that failed later was
   rejected, as it takes seconds until other errors show. */
static void
fail_connect (cb_http_call_t *call)
{
  call->client = NULL;
  if (!call->starting)
    {
      finish (call, CB_NET_REFUSED);
      return;
    }
  call->start_err = errno == ECONNREFUSED ? CB_NET_REFUSED : CB_NET_CONNECT;
  cb_timer_free (call->timer);
  call->timer = cb_timer_new (call->loop, 0, 0, on_start_failed, call);
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs,
            size_t *reqbufcnt, int *method_is_head)
{
  cb_http_call_t *call = client->data;

  if (errstr != NULL)
    {
      fail_connect (call);
      return NULL;
    }
  call->sent = TRUE;
  call->request_vec = h2o_iovec_init (call->request->str, call->request->len);
  *reqbufs = &call->request_vec;
  *reqbufcnt = 1;
  *method_is_head = call->is_head;
  return on_head;
}

static GString *
format_request (const cb_http_spec_t *spec)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: %s\r\n"
                          "content-length: %zu\r\n%s\r\n",
                          spec->method, spec->path,
                          spec->host == NULL ? spec->address : spec->host,
                          spec->keep_alive ? "keep-alive" : "close", spec->body_len,
                          spec->headers == NULL ? "" : spec->headers);
  if (spec->body_len > 0)
    g_string_append_len (text, spec->body, (gssize)spec->body_len);
  return text;
}

static void
on_bad_address (void *ctx)
{
  cb_http_call_t *call = ctx;

  call->done (call->done_ctx, CB_NET_BAD_ADDRESS, 0, NULL, 0);
  release_call (call);
}

/* Returns the pool of idle connections to ADDRESS, parsed as HOST and PORT. The loop
   owns the pool. */
static h2o_socketpool_t *
find_pool (cb_loop_t *loop, const char *address, struct in_addr host, uint16_t port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_addr = host };
  h2o_socketpool_t *pool = g_hash_table_lookup (loop->pools, address);

  if (pool != NULL)
    return pool;
  addr.sin_port = htons (port);
  pool = g_new0 (h2o_socketpool_t, 1);
  h2o_socketpool_init_by_address (pool, (struct sockaddr *)&addr, sizeof addr, 0,
                                  POOL_CAPACITY);
  h2o_socketpool_set_timeout (pool, loop->h2o, POOL_IDLE_MS);
  g_hash_table_insert (loop->pools, g_strdup (address), pool);
  return pool;
}

/* Closes all idle client connections. */
void
cb_loop_free_pools (cb_loop_t *loop)
{
  GHashTableIter iter;
  gpointer pool;

  g_hash_table_iter_init (&iter, loop->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    {
      h2o_socketpool_dispose (pool);
      g_free (pool);
    }
  g_hash_table_unref (loop->pools);
}

/* TRUE when ERR, the result of a call, means that nothing was sent. */
gboolean
cb_net_not_sent (int err)
{
  return err == CB_NET_CONNECT || err == CB_NET_REFUSED || err == CB_NET_BAD_ADDRESS;
}

/* Sends one request and calls DONE exactly once, never before this function returns,
   unless the call is canceled. An error for which cb_net_not_sent is TRUE means that
   nothing was sent; after CB_NET_CLOSED, CB_NET_TIMEOUT, CB_NET_TRUNCATED and
   CB_NET_TOO_LARGE the peer may have acted on the request. The call frees itself after
   DONE. */
cb_http_call_t *
cb_http_call (cb_loop_t *loop, const cb_http_spec_t *spec, cb_http_done_t done,
              void *ctx)
{
  cb_http_call_t *call = g_new0 (cb_http_call_t, 1);
  char *host = NULL;
  uint16_t port = 0;
  struct in_addr parsed;

  call->loop = loop;
  call->done = done;
  call->done_ctx = ctx;
  call->request = format_request (spec);
  call->body = g_string_new (NULL);
  call->response_header = spec->response_header;
  call->response_header_value = spec->response_header_value;
  call->max_body =
      spec->max_body_bytes > 0 ? spec->max_body_bytes : DEFAULT_MAX_BODY_BYTES;
  call->content_length = -1;
  call->is_head = strcmp (spec->method, "HEAD") == 0;
  call->ctx.loop = loop->h2o;
  call->ctx.getaddr_receiver = &loop->getaddr;
  call->ctx.io_timeout = &loop->io_timeout;
  if (cb_address_parse (spec->address, &host, &port) < 0 ||
      inet_pton (AF_INET, host, &parsed) != 1)
    {
      g_free (host);
      call->timer = cb_timer_new (loop, 0, 0, on_bad_address, call);
      return call;
    }
  call->timer = cb_timer_new (loop, spec->timeout_ms, 0, on_timeout, call);
  if (spec->connect_timeout_ms > 0)
    call->connect_timer =
        cb_timer_new (loop, spec->connect_timeout_ms, 0, on_connect_timeout, call);
  call->starting = TRUE;
  errno = 0;
  if (spec->keep_alive)
    h2o_http1client_connect_with_pool (&call->client, call, &call->ctx,
                                       find_pool (loop, spec->address, parsed, port),
                                       on_connect);
  else
    h2o_http1client_connect (&call->client, call, &call->ctx,
                             h2o_iovec_init (host, strlen (host)), port, 0, on_connect);
  call->starting = FALSE;
  g_free (host);
  return call;
}

/* Ends and frees a call without calling its DONE. */
void
cb_http_cancel (cb_http_call_t *call)
{
  if (call->client != NULL)
    h2o_http1client_cancel (call->client);
  release_call (call);
}
