/* Implementation of the log client over the service's HTTP interface. */
#include "logc/fns.h"

#include <jansson.h>

/* A response may contain many records of up to 262,144 bytes each, in base64. */
#define MAX_RESPONSE_BYTES ((size_t)64 << 20)

typedef struct
{
  cb_logc_t base;
  cb_loop_t *loop;
  char *address;
  cb_msec_t timeout_ms;
  GQueue calls; /* of call_t */
} http_log_t;

typedef struct
{
  http_log_t *log;
  cb_http_call_t *http;
  cb_logc_append_done_t append_done; /* set for an append */
  cb_logc_read_done_t read_done;     /* set for a read */
  void *ctx;
  uint64_t from;
} call_t;

static void
finish (call_t *call, int err, uint64_t first, uint64_t next,
        const cb_logc_record_t *records, size_t count)
{
  g_queue_remove (&call->log->calls, call);
  if (call->append_done != NULL)
    call->append_done (call->ctx, err, first);
  else if (call->read_done != NULL)
    call->read_done (call->ctx, err, first, next, records, count);
  g_free (call);
}

/* Maps a response to CB_OK or a CB_LOGC_ error. A gateway in front of the service may
   respond with an error although the append took effect; only a refusal of the request
   itself (4xx) proves that it did not. */
static int
map_error (int err, int status)
{
  if (cb_net_not_sent (err))
    return CB_LOGC_REFUSED;
  if (err < 0)
    return CB_LOGC_UNAVAILABLE;
  if (status >= 200 && status < 300)
    return CB_OK;
  if (status == 410)
    return CB_LOGC_EXPIRED;
  return status >= 400 && status < 500 && status != 408 ? CB_LOGC_REFUSED
                                                        : CB_LOGC_UNAVAILABLE;
}

static uint64_t
get_uint64 (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value < 0 ? 0 : (uint64_t)value;
}

/* Decodes the records of a response. Returns NULL when they are malformed or their
   offsets are not consecutive from FROM on. The caller frees the array with
   g_array_unref, and the data of each record with g_free. */
static GArray *
decode_records (const json_t *list, uint64_t from)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (cb_logc_record_t));
  gboolean valid = json_is_array (list);
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *text = json_string_value (json_object_get (item, "data"));
    cb_logc_record_t record = { get_uint64 (item, "offset"), NULL, 0 };

    valid = valid && text != NULL && record.offset == from + i;
    if (!valid)
      break;
    record.data = g_base64_decode (text, &record.size);
    g_array_append_val (records, record);
  }
  if (valid)
    return records;
  for (guint k = 0; k < records->len; k++)
    g_free ((void *)g_array_index (records, cb_logc_record_t, k).data);
  g_array_unref (records);
  return NULL;
}

static void
finish_read (call_t *call, const json_t *root)
{
  uint64_t first = get_uint64 (root, "first");
  uint64_t next = get_uint64 (root, "next");
  GArray *records = decode_records (json_object_get (root, "records"), call->from);

  if (records == NULL)
    {
      finish (call, CB_LOGC_UNAVAILABLE, 0, 0, NULL, 0);
      return;
    }
  finish (call, CB_OK, first, next, (const cb_logc_record_t *)records->data,
          records->len);
  for (guint i = 0; i < records->len; i++)
    g_free ((void *)g_array_index (records, cb_logc_record_t, i).data);
  g_array_unref (records);
}

static void
on_response (void *ctx, int net_err, int status, const char *body, size_t len)
{
  call_t *call = ctx;
  int err = map_error (net_err, status);
  json_t *root = body == NULL ? NULL : json_loadb (body, len, 0, NULL);

  call->http = NULL;
  /* Offset 0 means no offset (ledger/dat.h). An append that gets it counts as one with
     an unknown outcome, so the writer repeats it. */
  if (err == CB_OK &&
      (root == NULL || (call->read_done == NULL && get_uint64 (root, "offset") == 0)))
    err = CB_LOGC_UNAVAILABLE;
  if (call->read_done == NULL)
    finish (call, err, get_uint64 (root, "offset"), 0, NULL, 0);
  else if (err == CB_OK)
    finish_read (call, root);
  else
    finish (call, err, get_uint64 (root, "first"), get_uint64 (root, "first"), NULL, 0);
  json_decref (root);
}

static void
send_call (call_t *call, const char *method, const char *path, const void *body,
           size_t len, cb_msec_t timeout_ms)
{
  cb_http_spec_t spec = { 0 };

  spec.address = call->log->address;
  spec.method = method;
  spec.path = path;
  spec.body = body;
  spec.body_len = len;
  spec.timeout_ms = timeout_ms;
  spec.max_body_bytes = MAX_RESPONSE_BYTES;
  g_queue_push_tail (&call->log->calls, call);
  call->http = cb_http_call (call->log->loop, &spec, on_response, call);
}

static void
append (cb_logc_t *base, const char *stream, const void *data, size_t size,
        cb_logc_append_done_t done, void *ctx)
{
  http_log_t *log = (http_log_t *)base;
  call_t *call = g_new0 (call_t, 1);
  char *path = g_strdup_printf ("/v1/streams/%s/records", stream);

  call->log = log;
  call->append_done = done;
  call->ctx = ctx;
  send_call (call, "POST", path, data, size, log->timeout_ms);
  g_free (path);
}

static void
read_records (cb_logc_t *base, const char *stream, uint64_t from, uint32_t max,
              cb_msec_t wait_ms, cb_logc_read_done_t done, void *ctx)
{
  http_log_t *log = (http_log_t *)base;
  call_t *call = g_new0 (call_t, 1);
  char *path = g_strdup_printf ("/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
                                "&max=%u&wait_ms=%" G_GINT64_FORMAT,
                                stream, from, max, wait_ms);

  call->log = log;
  call->read_done = done;
  call->ctx = ctx;
  call->from = from;
  send_call (call, "GET", path, NULL, 0, log->timeout_ms + wait_ms);
  g_free (path);
}

static void
close_log (cb_logc_t *base)
{
  http_log_t *log = (http_log_t *)base;
  call_t *call;

  while ((call = g_queue_peek_head (&log->calls)) != NULL)
    {
      if (call->http != NULL)
        cb_http_cancel (call->http);
      finish (call, CB_LOGC_UNAVAILABLE, 0, 0, NULL, 0);
    }
  g_free (log->address);
  g_free (log);
}

static const cb_logc_ops_t http_ops = { append, read_records, close_log };

/* Opens a client of the service at ADDRESS (host:port). TIMEOUT_MS limits each call, in
   addition to the time that a read waits. A read that fails with CB_LOGC_EXPIRED
   delivers NEXT equal to FIRST, because a 410 response contains only the latter. Freed
   with cb_logc_close. */
cb_logc_t *
cb_logc_http (cb_loop_t *loop, const char *address, cb_msec_t timeout_ms)
{
  http_log_t *log = g_new0 (http_log_t, 1);

  log->base.ops = &http_ops;
  log->loop = loop;
  log->address = g_strdup (address);
  log->timeout_ms = timeout_ms;
  return &log->base;
}
