#include "base/fns.h"

#include <stdlib.h>
#include <string.h>

/* Helpers for protobuf-c messages. They use malloc and free, as protobuf-c does by
   default, so that cb_msg_free frees both messages that protobuf-c unpacked and those
   that were built field by field. */

/* Returns an empty message of TYPE. Freed with cb_msg_free. */
void *
cb_msg_new (const ProtobufCMessageDescriptor *type)
{
  ProtobufCMessage *message = calloc (1, type->sizeof_message);

  if (message == NULL)
    abort ();
  type->message_init (message);
  return message;
}

/* Frees a message with all that it owns; NULL is accepted. */
void
cb_msg_free (void *message)
{
  if (message != NULL)
    protobuf_c_message_free_unpacked (message, NULL);
}

/* Returns a deep copy. Freed with cb_msg_free. */
ProtobufCMessage *
cb_msg_copy (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *buffer = malloc (size + 1);
  ProtobufCMessage *copy;

  if (buffer == NULL)
    abort ();
  protobuf_c_message_pack (message, buffer);
  copy = protobuf_c_message_unpack (message->descriptor, NULL, size, buffer);
  free (buffer);
  return copy;
}

/* Replaces a string field with a copy of VALUE. NULL and the empty string set it to the
   static empty string of protobuf-c. */
void
cb_msg_set_string (char **field, const char *value)
{
  if (*field != NULL && *field != (char *)protobuf_c_empty_string)
    free (*field);
  *field = value == NULL || *value == '\0' ? (char *)protobuf_c_empty_string
                                           : strdup (value);
}

/* Replaces a bytes field with a copy of SIZE bytes at DATA. */
void
cb_msg_set_bytes (ProtobufCBinaryData *field, const void *data, size_t size)
{
  free (field->data);
  field->data = NULL;
  field->len = size;
  if (size == 0)
    return;
  field->data = malloc (size);
  if (field->data == NULL)
    abort ();
  memcpy (field->data, data, size);
}

/* Appends ITEM, which the message then owns, to a repeated field of pointers
   (messages, or strings from strdup). */
void
cb_msg_append (void ***items, size_t *count, void *item)
{
  /* Grows by one each time, because an unpacked message does not record the capacity
     of its array. */
  void **grown = realloc (*items, (*count + 1) * sizeof (void *));

  if (grown == NULL)
    abort ();
  *items = grown;
  (*items)[(*count)++] = item;
}

/* Returns the packed bytes of MESSAGE. Freed with g_bytes_unref. */
GBytes *
cb_msg_pack (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *buffer = g_malloc (size + 1);

  protobuf_c_message_pack (message, buffer);
  return g_bytes_new_take (buffer, size);
}

/* Returns TRUE when A and B, of one type, have the same packed form. */
gboolean
cb_msg_equal (const ProtobufCMessage *a, const ProtobufCMessage *b)
{
  GBytes *left = cb_msg_pack (a);
  GBytes *right = cb_msg_pack (b);
  gboolean equal = g_bytes_equal (left, right);

  g_bytes_unref (left);
  g_bytes_unref (right);
  return equal;
}
