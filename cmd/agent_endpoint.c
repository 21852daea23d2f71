/* Calls the HTTP interface of the endpoint. */
#include "cmd/agent_local.h"

#include <string.h>

/* Timeout of a request without a deadline of its own. */
#define DEFAULT_DEADLINE_MS 10000
/* How long past the deadline the answer of a request that must not run twice is still
   accepted. Closing the connection would lose the outcome, which the caller can fetch
   later. */
#define LATE_ANSWER_GRACE_MS 30000

typedef struct
{
  cb_endpoint_adapter_t super;
  cb_loop_t *loop;
  char *address; /* host:port, NULL while unknown */
  char *host;
  cb_endpoint_done_t done;
  void *ctx;
} http_endpoint_t;

typedef struct
{
  http_endpoint_t *endpoint;
  uint64_t tag;
} call_t;

static void
on_done (void *ctx, int err, int status, const char *body, size_t len)
{
  call_t *call = ctx;
  http_endpoint_t *self = call->endpoint;
  cb_call_end_t end = CB_CALL_INCOMPLETE;

  if (err == CB_OK)
    end = CB_CALL_DONE;
  else if (cb_net_not_sent (err))
    end = CB_CALL_NOT_SENT;
  else if (err == CB_NET_TOO_LARGE)
    {
      /* cb_serve_run_done detects an answer that is too large by its length. */
      end = CB_CALL_DONE;
      len = CB_MAX_ANSWER_BYTES + 1;
    }
  self->done (self->ctx, call->tag, end, (uint32_t)status, body, len);
  g_free (call);
}

/* Appends a header. Skips a VALUE with CR or LF, which could add further headers. */
static void
add_header (GString *headers, const char *name, const char *value)
{
  if (strpbrk (value, "\r\n") == NULL)
    g_string_append_printf (headers, "%s: %s\r\n", name, value);
}

static void
run_request (cb_endpoint_adapter_t *endpoint, uint64_t tag, const Cb__Request *request)
{
  http_endpoint_t *self = (http_endpoint_t *)endpoint;
  GString *headers = g_string_new (NULL);
  call_t *call = g_new0 (call_t, 1);
  cb_http_spec_t spec = { 0 };

  add_header (headers, "x-request-key", request->key);
  add_header (headers, "x-request-kind", request->kind);
  add_header (headers, "x-request-account", request->account);
  call->endpoint = self;
  call->tag = tag;
  spec.address = self->address == NULL ? "" : self->address;
  spec.method = "POST";
  spec.path = "/run";
  spec.headers = headers->str;
  spec.body = request->body.data;
  spec.body_len = request->body.len;
  spec.timeout_ms = request->deadline_ms > 0
                        ? (cb_msec_t)MIN (request->deadline_ms, (uint64_t)G_MAXINT32)
                        : DEFAULT_DEADLINE_MS;
  if (request->not_repeatable || request->claim > 0)
    spec.timeout_ms += LATE_ANSWER_GRACE_MS;
  spec.max_body_bytes = CB_MAX_ANSWER_BYTES;
  cb_http_call (self->loop, &spec, on_done, call);
  g_string_free (headers, TRUE);
}

static void
set_port (cb_endpoint_adapter_t *endpoint, uint16_t port)
{
  http_endpoint_t *self = (http_endpoint_t *)endpoint;

  g_free (self->address);
  self->address = g_strdup_printf ("%s:%u", self->host, port);
}

static void
endpoint_free (cb_endpoint_adapter_t *endpoint)
{
  http_endpoint_t *self = (http_endpoint_t *)endpoint;

  g_free (self->address);
  g_free (self->host);
  g_free (self);
}

/* Creates the adapter for the HTTP interface of an endpoint; freed with its `free`.
   ADDRESS is host:port; its port applies until the endpoint announces one. When ADDRESS
   is empty, the host is 127.0.0.1 and the port is unknown until then. DONE is called
   once for each request. */
cb_endpoint_adapter_t *
cb_endpoint_adapter_new (cb_loop_t *loop, const char *address, cb_endpoint_done_t done,
                         void *ctx)
{
  static const cb_endpoint_ops_t ops = { run_request, set_port, endpoint_free };
  http_endpoint_t *self = g_new0 (http_endpoint_t, 1);
  uint16_t port;

  self->super.ops = &ops;
  self->loop = loop;
  self->done = done;
  self->ctx = ctx;
  if (cb_address_parse (address, &self->host, &port) == CB_OK)
    self->address = g_strdup (address);
  else
    self->host = g_strdup ("127.0.0.1");
  return &self->super;
}
