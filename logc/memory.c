/* Implementation of the log client in memory, with injected faults, for tests.
   Callbacks run in cb_logc_memory_dispatch. */
#include "logc/fns.h"

typedef struct
{
  uint64_t first;     /* offset of records[0] */
  GPtrArray *records; /* of GBytes */
} stream_t;

typedef struct
{
  cb_logc_append_done_t append_done; /* set for an append */
  cb_logc_read_done_t read_done;     /* set for a read */
  void *ctx;
  int err;
  uint64_t offset; /* of the appended record */
  char *stream;    /* this field and the next three are set for a read */
  uint64_t from;
  uint32_t max;
  gboolean wait;
} call_t;

typedef struct
{
  cb_logc_t base;
  GHashTable *streams;
  GQueue calls;            /* of call_t */
  gboolean down;           /* calls have no effect and get no response */
  gboolean refuse;         /* appends are refused, reads get no response */
  gboolean stall;          /* no callback runs */
  uint32_t lost_responses; /* that many appends take effect without a response */
} memory_log_t;

static void
free_stream (void *item)
{
  stream_t *stream = item;

  g_ptr_array_unref (stream->records);
  g_free (stream);
}

static stream_t *
get_stream (memory_log_t *log, const char *name)
{
  stream_t *stream = g_hash_table_lookup (log->streams, name);

  if (stream != NULL)
    return stream;
  stream = g_new0 (stream_t, 1);
  stream->first = 1;
  stream->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_hash_table_insert (log->streams, g_strdup (name), stream);
  return stream;
}

static void
append (cb_logc_t *base, const char *name, const void *data, size_t size,
        cb_logc_append_done_t done, void *ctx)
{
  memory_log_t *log = (memory_log_t *)base;
  stream_t *stream = get_stream (log, name);
  call_t *call = g_new0 (call_t, 1);

  call->append_done = done;
  call->ctx = ctx;
  if (log->refuse)
    call->err = CB_LOGC_REFUSED;
  else if (log->down)
    call->err = CB_LOGC_UNAVAILABLE;
  else
    {
      g_ptr_array_add (stream->records, g_bytes_new (data, size));
      call->offset = stream->first + stream->records->len - 1;
      if (log->lost_responses > 0)
        {
          log->lost_responses--;
          call->err = CB_LOGC_UNAVAILABLE;
        }
    }
  g_queue_push_tail (&log->calls, call);
}

static void
read_records (cb_logc_t *base, const char *stream, uint64_t from, uint32_t max,
              cb_msec_t wait_ms, cb_logc_read_done_t done, void *ctx)
{
  memory_log_t *log = (memory_log_t *)base;
  call_t *call = g_new0 (call_t, 1);

  call->read_done = done;
  call->ctx = ctx;
  call->err = log->down || log->refuse ? CB_LOGC_UNAVAILABLE : CB_OK;
  call->stream = g_strdup (stream);
  call->from = from;
  call->max = max;
  call->wait = wait_ms > 0;
  g_queue_push_tail (&log->calls, call);
}

static void
free_call (call_t *call)
{
  g_free (call->stream);
  g_free (call);
}

/* Calls the callback of a read. Returns FALSE when the read must wait for a record. */
static gboolean
deliver_read (memory_log_t *log, call_t *call)
{
  stream_t *stream = get_stream (log, call->stream);
  uint64_t next = stream->first + stream->records->len;
  GArray *records;

  if (call->err == CB_OK && call->from < stream->first)
    call->err = CB_LOGC_EXPIRED;
  if (call->err == CB_OK && call->from >= next && call->wait)
    return FALSE;
  records = g_array_new (FALSE, FALSE, sizeof (cb_logc_record_t));
  for (uint64_t at = call->from;
       call->err == CB_OK && at < next && records->len < call->max; at++)
    {
      cb_logc_record_t record = { at, NULL, 0 };

      record.data =
          g_bytes_get_data (stream->records->pdata[at - stream->first], &record.size);
      g_array_append_val (records, record);
    }
  call->read_done (call->ctx, call->err, stream->first, next,
                   (const cb_logc_record_t *)records->data, records->len);
  g_array_unref (records);
  return TRUE;
}

/* Runs the callbacks of the calls that are open when this function is called, except
   those of reads that wait for a record. */
void
cb_logc_memory_dispatch (cb_logc_t *base)
{
  memory_log_t *log = (memory_log_t *)base;

  for (guint left = log->stall ? 0 : log->calls.length; left > 0; left--)
    {
      call_t *call = g_queue_pop_head (&log->calls);

      if (call->append_done != NULL)
        call->append_done (call->ctx, call->err, call->offset);
      else if (!deliver_read (log, call))
        {
          g_queue_push_tail (&log->calls, call);
          continue;
        }
      free_call (call);
    }
}

/* DOWN: calls have no effect and get no response. LOST_RESPONSES: that many appends
   take effect but get no response. */
void
cb_logc_memory_fail (cb_logc_t *base, gboolean down, uint32_t lost_responses)
{
  memory_log_t *log = (memory_log_t *)base;

  log->down = down;
  log->lost_responses = lost_responses;
}

/* REFUSE: appends are refused and reads get no response. STALL: cb_logc_memory_dispatch
   runs no callbacks. */
void
cb_logc_memory_block (cb_logc_t *base, gboolean refuse, gboolean stall)
{
  memory_log_t *log = (memory_log_t *)base;

  log->refuse = refuse;
  log->stall = stall;
}

/* Deletes the records of stream NAME with offsets below FIRST. */
void
cb_logc_memory_expire (cb_logc_t *base, const char *name, uint64_t first)
{
  stream_t *stream = get_stream ((memory_log_t *)base, name);

  while (stream->first < first && stream->records->len > 0)
    {
      g_ptr_array_remove_index (stream->records, 0);
      stream->first++;
    }
}

static void
close_log (cb_logc_t *base)
{
  memory_log_t *log = (memory_log_t *)base;
  call_t *call;

  while ((call = g_queue_pop_head (&log->calls)) != NULL)
    {
      if (call->append_done != NULL)
        call->append_done (call->ctx, CB_LOGC_UNAVAILABLE, 0);
      else
        call->read_done (call->ctx, CB_LOGC_UNAVAILABLE, 0, 0, NULL, 0);
      free_call (call);
    }
  g_hash_table_destroy (log->streams);
  g_free (log);
}

static const cb_logc_ops_t memory_ops = { append, read_records, close_log };

/* Opens a log in memory. Freed with cb_logc_close. */
cb_logc_t *
cb_logc_memory (void)
{
  memory_log_t *log = g_new0 (memory_log_t, 1);

  log->base.ops = &memory_ops;
  log->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stream);
  return &log->base;
}
