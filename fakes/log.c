/* carobrun-fake-log: stand-in for the platform's log service (docs/design.md, section
   8), which keeps the records in memory. `POST /control` sets faults and the retention
   with a JSON object; members that are absent keep their value:
   - "down": true: all calls but /control are refused with status 503.
   - "stall_ms": N: replies to reads and appends are delayed by N ms.
   - "lose_answers": N: the next N appends are stored, but get no reply.
   - "down_after": N: the N-th append from now is stored, gets no reply, and the log is
     down afterwards.
   - "fail_from": N: reads from offset N or later are refused with status 503.
   - "retain": N, "retain_ms": N: each stream keeps at most its last N records, and
     records for at most N ms.
   0 turns off each of the numbers. "lose_answers" and "down_after" don't count appends
   to the stream `snapshot`, because the times of these vary between runs. */
#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>

#include "net/fns.h"

#define PART "fake-log"
#define MAX_RECORD_BYTES 262144
#define DEFAULT_MAX_RECORDS 1000
/* Data in one reply before base64 encoding, so that the reply fits the limits of the
   clients. One record may exceed it. */
#define MAX_READ_BYTES ((size_t)8 << 20)
/* Period of the check for pending requests that are due. */
#define TICK_MS 10

typedef struct
{
  GBytes *data;
  cb_msec_t appended_ms;
} record_t;

typedef struct
{
  uint64_t first; /* offset of the oldest record that is retained */
  GQueue records; /* of record_t, oldest first */
} stream_t;

/* A read that waits for a record, or a reply that "stall_ms" delays. */
typedef struct
{
  cb_http_req_t *req;
  stream_t *stream; /* of a read; NULL for a delayed reply */
  uint64_t from;    /* offset, of a read */
  uint32_t max;     /* records, of a read */
  cb_msec_t due_ms;
  int status; /* of a delayed reply */
  char *body; /* of a delayed reply; freed with free */
} pending_t;

typedef struct
{
  const char *listen;
  const char *trace_path;
  cb_loop_t *loop;
  cb_http_server_t *server;
  cb_clock_t *clock;
  cb_trace_t *trace;
  GHashTable *streams; /* name -> stream_t */
  GQueue pending;      /* of pending_t */
  /* Faults and retention that /control sets; 0: off. */
  gboolean down;
  cb_msec_t stall_ms;
  uint64_t lose_answers;
  uint64_t retain_records;
  cb_msec_t retain_ms;
  uint64_t fail_from;
  uint64_t down_after;
} service_t;

static volatile sig_atomic_t terminated;

static void
on_signal (int number)
{
  (void)number;
  terminated = 1;
}

static stream_t *
get_stream (service_t *service, const char *name)
{
  stream_t *stream = g_hash_table_lookup (service->streams, name);

  if (stream != NULL)
    return stream;
  stream = g_new0 (stream_t, 1);
  stream->first = 1; /* offset 0 stands for no record, see ledger/dat.h */
  g_hash_table_insert (service->streams, g_strdup (name), stream);
  return stream;
}

static void
send_now (cb_http_req_t *req, int status, char *body)
{
  cb_http_reply (req, status, "application/json", body, strlen (body));
  free (body);
}

/* Replies to REQ, after stall_ms when this is set. Takes over BODY, which is freed with
   free. */
static void
reply (service_t *service, cb_http_req_t *req, int status, char *body)
{
  pending_t *delayed;

  if (service->stall_ms == 0)
    {
      send_now (req, status, body);
      return;
    }
  delayed = g_new0 (pending_t, 1);
  delayed->req = req;
  delayed->status = status;
  delayed->body = body;
  delayed->due_ms = cb_clock_now (service->clock) + service->stall_ms;
  g_queue_push_tail (&service->pending, delayed);
}

static void
reply_json (service_t *service, cb_http_req_t *req, int status, json_t *root)
{
  char *body = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  reply (service, req, status, body);
}

/* Removes the records that STREAM no longer retains. */
static void
apply_retention (service_t *service, stream_t *stream)
{
  cb_msec_t now_ms = cb_clock_now (service->clock);
  record_t *record;

  while ((record = g_queue_peek_head (&stream->records)) != NULL)
    {
      if (!(service->retain_records > 0 &&
            stream->records.length > service->retain_records) &&
          !(service->retain_ms > 0 &&
            now_ms - record->appended_ms > service->retain_ms))
        return;
      g_queue_pop_head (&stream->records);
      g_bytes_unref (record->data);
      g_free (record);
      stream->first++;
    }
}

static json_t *
list_records (const stream_t *stream, uint64_t from, uint32_t max)
{
  json_t *list = json_array ();
  uint64_t at = from;
  size_t sum = 0;

  for (GList *l = g_queue_peek_nth_link ((GQueue *)&stream->records,
                                         (guint)(from - stream->first));
       l != NULL && at - from < max && sum < MAX_READ_BYTES; l = l->next)
    {
      size_t size;
      const void *data = g_bytes_get_data (((record_t *)l->data)->data, &size);
      char *text = g_base64_encode (data, size);

      json_array_append_new (
          list, json_pack ("{s:I,s:s}", "offset", (json_int_t)at++, "data", text));
      g_free (text);
      sum += size;
    }
  return list;
}

/* Replies to a read. Returns FALSE, without a reply, when there is no record at offset
   FROM yet and WAIT is set. */
static gboolean
try_read (service_t *service, cb_http_req_t *req, stream_t *stream, uint64_t from,
          uint32_t max, gboolean wait)
{
  uint64_t next;

  apply_retention (service, stream);
  next = stream->first + stream->records.length;
  if (from < stream->first)
    reply_json (service, req, 410,
                json_pack ("{s:I}", "first", (json_int_t)stream->first));
  else if (from >= next && wait)
    return FALSE;
  else
    reply_json (
        service, req, 200,
        json_pack ("{s:I,s:I,s:o}", "first", (json_int_t)stream->first, "next",
                   (json_int_t)next, "records",
                   from >= next ? json_array () : list_records (stream, from, max)));
  return TRUE;
}

static uint64_t
query_number (const cb_http_req_t *req, const char *name, uint64_t otherwise)
{
  const char *text = cb_http_query (req, name);

  return text == NULL ? otherwise : g_ascii_strtoull (text, NULL, 10);
}

static void
on_read (service_t *service, cb_http_req_t *req, stream_t *stream)
{
  uint64_t from = query_number (req, "from", 1);
  uint32_t max = (uint32_t)query_number (req, "max", DEFAULT_MAX_RECORDS);
  cb_msec_t wait_ms = (cb_msec_t)query_number (req, "wait_ms", 0);
  pending_t *waiting;

  if (service->fail_from > 0 && from >= service->fail_from)
    {
      send_now (req, 503, strdup ("{}"));
      return;
    }
  if (try_read (service, req, stream, from, max, wait_ms > 0))
    return;
  waiting = g_new0 (pending_t, 1);
  waiting->req = req;
  waiting->stream = stream;
  waiting->from = from;
  waiting->max = max;
  waiting->due_ms = cb_clock_now (service->clock) + wait_ms;
  g_queue_push_tail (&service->pending, waiting);
}

/* Sends the delayed replies that are due, and replies to the waiting reads whose record
   has been appended or whose wait is over. When the log is down, refuses all waiting
   reads with status 503. */
static void
handle_pending (service_t *service)
{
  cb_msec_t now_ms = cb_clock_now (service->clock);

  for (guint left = service->pending.length; left > 0; left--)
    {
      pending_t *p = g_queue_pop_head (&service->pending);
      gboolean due = now_ms >= p->due_ms;
      gboolean done = due;

      if (p->stream == NULL && due)
        send_now (p->req, p->status, p->body);
      else if (p->stream != NULL && service->down)
        {
          done = TRUE;
          send_now (p->req, 503, strdup ("{}"));
        }
      else if (p->stream != NULL)
        done = try_read (service, p->req, p->stream, p->from, p->max, !due);
      if (done)
        g_free (p);
      else
        g_queue_push_tail (&service->pending, p);
    }
}

static void
on_append (service_t *service, cb_http_req_t *req, stream_t *stream)
{
  gboolean counted = stream != get_stream (service, "snapshot");
  size_t size;
  const char *data = cb_http_body (req, &size);
  record_t *record;

  if (size > MAX_RECORD_BYTES)
    {
      reply (service, req, 413, strdup ("{}"));
      return;
    }
  record = g_new0 (record_t, 1);
  record->data = g_bytes_new (data, size);
  record->appended_ms = cb_clock_now (service->clock);
  g_queue_push_tail (&stream->records, record);
  if (counted && service->down_after > 0 && --service->down_after == 0)
    {
      service->down = TRUE;
      cb_http_no_reply (req);
    }
  else if (counted && service->lose_answers > 0)
    {
      service->lose_answers--;
      cb_http_no_reply (req);
    }
  else
    reply_json (service, req, 200,
                json_pack ("{s:I}", "offset",
                           (json_int_t)(stream->first + stream->records.length - 1)));
  apply_retention (service, stream);
  handle_pending (service);
}

static void
set_number (const json_t *root, const char *name, uint64_t *value)
{
  const json_t *member = json_object_get (root, name);

  if (json_is_integer (member) && json_integer_value (member) >= 0)
    *value = (uint64_t)json_integer_value (member);
}

static void
on_control (service_t *service, cb_http_req_t *req)
{
  size_t size;
  const char *body = cb_http_body (req, &size);
  json_t *root = json_loadb (body, size, 0, NULL);
  const json_t *down = json_object_get (root, "down");

  if (!json_is_object (root))
    {
      send_now (req, 400, strdup ("{}"));
      json_decref (root);
      return;
    }
  if (down != NULL)
    service->down = json_is_true (down);
  set_number (root, "stall_ms", (uint64_t *)&service->stall_ms);
  set_number (root, "lose_answers", &service->lose_answers);
  set_number (root, "retain", &service->retain_records);
  set_number (root, "retain_ms", (uint64_t *)&service->retain_ms);
  set_number (root, "fail_from", &service->fail_from);
  set_number (root, "down_after", &service->down_after);
  json_decref (root);
  send_now (req, 200, strdup ("{}"));
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  service_t *service = ctx;
  char **parts = g_strsplit (cb_http_path (req), "/", 6);
  gboolean records = g_strv_length (parts) == 5 && strcmp (parts[1], "v1") == 0 &&
                     strcmp (parts[2], "streams") == 0 && *parts[3] != '\0' &&
                     strcmp (parts[4], "records") == 0;

  if (strcmp (cb_http_path (req), "/control") == 0)
    on_control (service, req);
  else if (service->down)
    send_now (req, 503, strdup ("{}"));
  else if (!records)
    send_now (req, 404, strdup ("{}"));
  else if (strcmp (cb_http_method (req), "POST") == 0)
    on_append (service, req, get_stream (service, parts[3]));
  else if (strcmp (cb_http_method (req), "GET") == 0)
    on_read (service, req, get_stream (service, parts[3]));
  else
    send_now (req, 405, strdup ("{}"));
  g_strfreev (parts);
}

static void
on_tick (void *ctx)
{
  service_t *service = ctx;

  if (terminated)
    cb_loop_stop (service->loop);
  else
    handle_pending (service);
}

static error_t
parse_option (int key,
              char *arg, /* NOLINT(readability-non-const-parameter): argp's type */
              struct argp_state *state)
{
  service_t *service = state->input;

  if (key == 'l')
    service->listen = arg;
  else if (key == 't')
    service->trace_path = arg;
  else if (key == ARGP_KEY_END && service->listen == NULL)
    argp_error (state, "--listen is missing");
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static const struct argp_option options[] = {
  { "listen", 'l', "HOST:PORT", 0, "address to listen on", 0 },
  { "trace", 't', "FILE", 0, "file for the event trace", 0 },
  { 0 },
};

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    options, parse_option, NULL, "Stand-in for the log service.", NULL, NULL, NULL
  };
  static service_t service;
  int err;

  if (argp_parse (&argp, argc, argv, 0, NULL, &service) != 0)
    return 2;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  service.clock = cb_clock_system ();
  service.loop = cb_loop_new ();
  service.streams = g_hash_table_new (g_str_hash, g_str_equal);
  if (service.trace_path != NULL)
    service.trace = cb_trace_open (service.trace_path, "log", service.clock);
  err = cb_http_listen (service.loop, service.listen, on_request, &service,
                        &service.server);
  if (err < 0)
    {
      cb_log (CB_LOG_ERROR, PART, "cannot listen on %s: error %d", service.listen, err);
      return 1;
    }
  if (service.trace != NULL)
    {
      char *fields = g_strdup_printf (
          "\"role\":\"log\",\"incarnation\":%" G_GINT64_FORMAT ",\"instance\":\"\"",
          cb_clock_wall (service.clock));

      cb_trace_event (service.trace, "start", fields);
      g_free (fields);
    }
  cb_timer_new (service.loop, TICK_MS, TICK_MS, on_tick, &service);
  cb_loop_run (service.loop);
  if (service.trace != NULL)
    {
      cb_trace_event (service.trace, "term", "\"in_flight\":0");
      cb_trace_event (service.trace, "exit", "\"in_flight\":0");
      cb_trace_close (service.trace);
    }
  return 0;
}
