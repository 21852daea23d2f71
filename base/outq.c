/* Queue of the outputs of modules that do no I/O themselves. */
#include "base/fns.h"

void
cb_outq_init (cb_outq_t *queue)
{
  g_queue_init (&queue->items);
}

/* Frees all queued outputs. */
void
cb_outq_clear (cb_outq_t *queue)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (queue)) != NULL)
    cb_out_free (out);
}

static cb_out_t *
push (cb_outq_t *queue, cb_out_kind_t kind)
{
  cb_out_t *out = g_new0 (cb_out_t, 1);

  out->kind = kind;
  g_queue_push_tail (&queue->items, out);
  return out;
}

/* Queues an envelope to process TO. Returns it, still owned by the queue, for the
   caller to fill in: its body is a new empty message of the type that BODY_CASE
   selects. */
Cb__Envelope *
cb_outq_send (cb_outq_t *queue, const char *to, Cb__Envelope__BodyCase body_case)
{
  cb_out_t *out = push (queue, CB_OUT_SEND);
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__envelope__descriptor, body_case);

  out->envelope = cb_msg_new (&cb__envelope__descriptor);
  cb_msg_set_string (&out->envelope->to, to);
  out->envelope->body_case = body_case;
  /* All members of the union are pointers to messages, so one assignment serves all. */
  out->envelope->heartbeat = cb_msg_new (field->descriptor);
  return out->envelope;
}

/* As cb_outq_send, but over CONNECTION, a name that the module's dat.h defines. */
Cb__Envelope *
cb_outq_send_via (cb_outq_t *queue, const char *connection, const char *to,
                  Cb__Envelope__BodyCase body_case)
{
  Cb__Envelope *envelope = cb_outq_send (queue, to, body_case);
  cb_out_t *out = g_queue_peek_tail (&queue->items);

  out->name = g_strdup (connection);
  return envelope;
}

/* Queues a record for the log and returns it for the caller to fill in, as cb_outq_send
   does. TAG is passed back with the result of the append; 0 when no caller needs the
   result. */
Cb__Record *
cb_outq_append (cb_outq_t *queue, uint64_t tag, Cb__Record__BodyCase body_case)
{
  cb_out_t *out = push (queue, CB_OUT_APPEND);
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__record__descriptor, body_case);

  out->record = cb_msg_new (&cb__record__descriptor);
  out->tag = tag;
  out->record->body_case = body_case;
  out->record->config = cb_msg_new (field->descriptor);
  return out->record;
}

/* Queues an event of the trace. FMT formats its members other than time, process and
   event name, such as `"key":"a","member":0`. */
void
cb_outq_event (cb_outq_t *queue, const char *event, const char *fmt, ...)
{
  cb_out_t *out = push (queue, CB_OUT_EVENT);
  va_list args;

  va_start (args, fmt);
  out->name = g_strdup (event);
  out->fields = g_strdup_vprintf (fmt, args);
  va_end (args);
}

/* Queues an increment by one of the counter NAME{LABEL}; LABEL may be NULL. */
void
cb_outq_count (cb_outq_t *queue, const char *name, const char *label)
{
  cb_out_t *out = push (queue, CB_OUT_COUNT);

  out->name = g_strdup (name);
  out->fields = g_strdup (label);
}

/* Queues ANSWER, which the queue then owns, to the request that TAG identifies. */
void
cb_outq_reply (cb_outq_t *queue, uint64_t tag, Cb__Answer *answer)
{
  cb_out_t *out = push (queue, CB_OUT_REPLY);

  out->tag = tag;
  out->message = &answer->base;
}

/* Queues the local action NAME with the argument MESSAGE, which may be NULL and which
   the queue then owns. The module's dat.h lists the actions and what TAG identifies. */
void
cb_outq_call (cb_outq_t *queue, const char *name, uint64_t tag,
              ProtobufCMessage *message)
{
  cb_out_t *out = push (queue, CB_OUT_CALL);

  out->name = g_strdup (name);
  out->tag = tag;
  out->message = message;
}

/* Removes and returns the oldest output, NULL when there is none. Freed with
   cb_out_free. */
cb_out_t *
cb_outq_pop (cb_outq_t *queue)
{
  return g_queue_pop_head (&queue->items);
}

void
cb_out_free (cb_out_t *out)
{
  if (out == NULL)
    return;
  cb_msg_free (out->envelope);
  cb_msg_free (out->record);
  cb_msg_free (out->message);
  g_free (out->name);
  g_free (out->fields);
  g_free (out);
}
