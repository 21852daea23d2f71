/* Appends records in batches, one batch at a time, and repeats a batch until its
   outcome is known. Readers recognize repeated records by their producer and sequence
   number. */
#include "logc/fns.h"

#define BACKOFF_FIRST_MS 20
#define BACKOFF_MAX_MS 1000
/* Protobuf tag and length of one record in a batch. */
#define RECORD_OVERHEAD_BYTES 8

typedef struct
{
  Cb__Record *record;
  uint64_t tag;
  size_t bytes; /* size of the record within a batch */
  cb_msec_t added_ms;
  gboolean reported; /* DONE has been called */
} item_t;

/* Context of one append. It outlives a writer that is freed during the append. */
typedef struct
{
  cb_writer_t *writer; /* NULL: freed */
} call_t;

struct cb_writer
{
  cb_logc_t *log;
  char *stream;
  char *producer;
  cb_msec_t batch_ms;
  cb_msec_t give_up_ms;
  cb_msec_t paused_give_up_ms; /* as give_up_ms while paused; 0: not paused */
  cb_writer_done_t done;
  void *ctx;
  uint64_t sequence;
  GQueue waiting;     /* of item_t, not in the batch */
  GQueue sent;        /* of item_t, in the batch */
  GBytes *batch;      /* packed, sent at least once; NULL: none */
  call_t *call;       /* the open append; NULL: none */
  gboolean uncertain; /* an attempt may have stored the batch */
  cb_msec_t now_ms;
  cb_msec_t retry_at_ms;
  cb_msec_t backoff_ms;
  uint64_t appends;
  uint64_t retries;
};

static void
free_item (void *ptr)
{
  item_t *item = ptr;

  cb_msg_free (item->record);
  g_free (item);
}

/* Creates a writer to STREAM of LOG; freed with cb_writer_free. It has no clock of its
   own: call cb_writer_tick often. PRODUCER must be unique for each start of a process;
   with the sequence numbers it identifies repeated records. A batch is sent BATCH_MS
   after its first record was added, and sent again with the same sequence numbers until
   its outcome is known.

   DONE is called once for each record, unless the writer is freed before, from
   cb_writer_tick or from a callback of LOG, with 0 or an error. CB_LOGC_GIVEN_UP:
   within GIVE_UP_MS (less while paused) no attempt can have stored the record; it is
   dropped. CB_LOGC_UNAVAILABLE: an attempt may have stored the record, but its outcome
   is not known after GIVE_UP_MS; the writer still repeats it. CB_LOGC_REFUSED: the
   record is larger than a record of the log service can be and is dropped. */
cb_writer_t *
cb_writer_new (cb_logc_t *log, const char *stream, const char *producer,
               cb_msec_t batch_ms, cb_msec_t give_up_ms, cb_writer_done_t done,
               void *ctx)
{
  cb_writer_t *writer = g_new0 (cb_writer_t, 1);

  writer->log = log;
  writer->stream = g_strdup (stream);
  writer->producer = g_strdup (producer);
  writer->batch_ms = batch_ms;
  writer->give_up_ms = give_up_ms;
  writer->done = done;
  writer->ctx = ctx;
  writer->backoff_ms = BACKOFF_FIRST_MS;
  return writer;
}

/* Frees the writer and its records without calling the callback; NULL is accepted. A
   record that was sent may still be stored. */
void
cb_writer_free (cb_writer_t *writer)
{
  if (writer == NULL)
    return;
  if (writer->call != NULL)
    writer->call->writer = NULL;
  g_queue_clear_full (&writer->waiting, free_item);
  g_queue_clear_full (&writer->sent, free_item);
  if (writer->batch != NULL)
    g_bytes_unref (writer->batch);
  g_free (writer->stream);
  g_free (writer->producer);
  g_free (writer);
}

static void
report_once (cb_writer_t *writer, item_t *item, int err, uint64_t offset)
{
  if (item->reported)
    return;
  item->reported = TRUE;
  writer->done (writer->ctx, item->tag, err, offset);
}

/* Queues RECORD, which then belongs to the writer, and sets its producer and sequence.
   TAG is passed to the callback. */
void
cb_writer_add (cb_writer_t *writer, Cb__Record *record, uint64_t tag, cb_msec_t now_ms)
{
  item_t *item = g_new0 (item_t, 1);

  cb_msg_set_string (&record->producer, writer->producer);
  record->sequence = ++writer->sequence;
  item->record = record;
  item->tag = tag;
  item->added_ms = now_ms;
  item->bytes =
      protobuf_c_message_get_packed_size (&record->base) + RECORD_OVERHEAD_BYTES;
  g_queue_push_tail (&writer->waiting, item);
}

/* Pauses the writer while the log is known not to respond, when sending a record would
   leave its outcome unknown. A paused writer sends no new batch, and only repeats a
   batch that may be stored; any other record is given up GIVE_UP_MS after it was added,
   unless the limit of cb_writer_new is shorter. GIVE_UP_MS 0 resumes. */
void
cb_writer_pause (cb_writer_t *writer, cb_msec_t give_up_ms)
{
  writer->paused_give_up_ms = give_up_ms;
}

static void
end_batch (cb_writer_t *writer)
{
  g_bytes_unref (writer->batch);
  writer->batch = NULL;
  writer->uncertain = FALSE;
}

static void
complete_batch (cb_writer_t *writer, uint64_t offset)
{
  GQueue sent = writer->sent;
  item_t *item;

  g_queue_init (&writer->sent);
  end_batch (writer);
  writer->backoff_ms = BACKOFF_FIRST_MS;
  writer->retry_at_ms = 0;
  while ((item = g_queue_pop_head (&sent)) != NULL)
    {
      report_once (writer, item, CB_OK, offset);
      free_item (item);
    }
}

/* Schedules the next attempt. The records of a batch that no attempt can have stored
   return to the queue, where they can be given up. */
static void
handle_failure (cb_writer_t *writer, int err)
{
  item_t *item;

  writer->retry_at_ms = writer->now_ms + writer->backoff_ms;
  writer->backoff_ms = MIN (writer->backoff_ms * 2, BACKOFF_MAX_MS);
  writer->uncertain = writer->uncertain || err != CB_LOGC_REFUSED;
  if (writer->uncertain)
    return;
  while ((item = g_queue_pop_tail (&writer->sent)) != NULL)
    g_queue_push_head (&writer->waiting, item);
  end_batch (writer);
}

static void
on_appended (void *ctx, int err, uint64_t offset)
{
  call_t *call = ctx;
  cb_writer_t *writer = call->writer;

  g_free (call);
  if (writer == NULL)
    return;
  writer->call = NULL;
  if (err == CB_OK)
    complete_batch (writer, offset);
  else
    handle_failure (writer, err);
}

static void
make_batch (cb_writer_t *writer)
{
  Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
  GPtrArray *records = g_ptr_array_new ();
  size_t bytes = 0;
  item_t *item;

  while ((item = g_queue_peek_head (&writer->waiting)) != NULL &&
         bytes + item->bytes <= CB_WRITER_RECORD_BYTES_MAX)
    {
      bytes += item->bytes;
      g_ptr_array_add (records, item->record);
      g_queue_push_tail (&writer->sent, g_queue_pop_head (&writer->waiting));
    }
  batch.n_records = records->len;
  batch.records = (Cb__Record **)records->pdata;
  writer->batch = cb_msg_pack (&batch.base);
  g_ptr_array_free (records, TRUE);
}

static void
send_batch (cb_writer_t *writer)
{
  size_t size;
  const void *data = g_bytes_get_data (writer->batch, &size);

  writer->call = g_new0 (call_t, 1);
  writer->call->writer = writer;
  writer->appends++;
  cb_logc_append (writer->log, writer->stream, data, size, on_appended, writer->call);
}

/* Reports the records whose time limit has passed, and drops those of them that no
   attempt can have stored. Also drops records that are too large. */
static void
give_up_old (cb_writer_t *writer)
{
  cb_msec_t unsent_limit_ms = writer->paused_give_up_ms > 0
                                  ? MIN (writer->paused_give_up_ms, writer->give_up_ms)
                                  : writer->give_up_ms;
  item_t *item;

  for (GList *l = writer->sent.head; l != NULL; l = l->next)
    {
      item = l->data;
      if (writer->now_ms - item->added_ms >= writer->give_up_ms)
        report_once (writer, item, CB_LOGC_UNAVAILABLE, 0);
    }
  while ((item = g_queue_peek_head (&writer->waiting)) != NULL)
    {
      gboolean too_large = item->bytes > CB_WRITER_RECORD_BYTES_MAX;

      if (!too_large && writer->now_ms - item->added_ms < unsent_limit_ms)
        return;
      g_queue_pop_head (&writer->waiting);
      report_once (writer, item, too_large ? CB_LOGC_REFUSED : CB_LOGC_GIVEN_UP, 0);
      free_item (item);
    }
}

/* Gives up old records and sends the next batch, or the current one again, when it is
   due. NOW_MS is on the clock of cb_writer_add. */
void
cb_writer_tick (cb_writer_t *writer, cb_msec_t now_ms)
{
  const item_t *oldest;

  writer->now_ms = now_ms;
  give_up_old (writer);
  if (writer->call != NULL || now_ms < writer->retry_at_ms)
    return;
  if (writer->batch != NULL)
    {
      writer->retries++;
      send_batch (writer);
      return;
    }
  oldest = g_queue_peek_head (&writer->waiting);
  if (writer->paused_give_up_ms > 0 || oldest == NULL ||
      now_ms - oldest->added_ms < writer->batch_ms)
    return;
  make_batch (writer);
  send_batch (writer);
}

/* Returns the number of records in the writer: those neither stored nor dropped. */
uint32_t
cb_writer_pending (const cb_writer_t *writer)
{
  return writer->waiting.length + writer->sent.length;
}

/* Returns the number of appends that were sent, retries included. */
uint64_t
cb_writer_appends (const cb_writer_t *writer)
{
  return writer->appends;
}

/* Returns the number of appends that repeated a batch with an unknown outcome. */
uint64_t
cb_writer_retries (const cb_writer_t *writer)
{
  return writer->retries;
}
