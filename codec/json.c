#include "codec/local.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static cb_node_t *read_value (const json_t *value, int depth);

static cb_node_t *
read_object (const json_t *object, int depth)
{
  cb_node_t *node = cb_node_new (CB_NODE_MAP, 0, NULL, 0);
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    cb_node_t *child = read_value (value, depth + 1);

    if (child == NULL)
      {
        cb_node_free (node);
        return NULL;
      }
    g_ptr_array_add (node->keys, g_strdup (key));
    g_ptr_array_add (node->children, child);
  }
  return node;
}

static cb_node_t *
read_array (const json_t *array, int depth)
{
  cb_node_t *node = cb_node_new (CB_NODE_LIST, 0, NULL, 0);

  for (size_t i = 0; i < json_array_size (array); i++)
    {
      cb_node_t *child = read_value (json_array_get (array, i), depth + 1);

      if (child == NULL)
        {
          cb_node_free (node);
          return NULL;
        }
      g_ptr_array_add (node->children, child);
    }
  return node;
}

/* Prints VALUE to DIGITS, of G_ASCII_DTOSTR_BUF_SIZE bytes, with as many digits as it
   takes to read it back unchanged. Returns DIGITS. */
static char *
real_text (double value, char *digits)
{
  g_ascii_formatd (digits, G_ASCII_DTOSTR_BUF_SIZE, "%.15g", value);
  return g_ascii_strtod (digits, NULL) == value
             ? digits
             : g_ascii_dtostr (digits, G_ASCII_DTOSTR_BUF_SIZE, value);
}

static cb_node_t *
read_number (const json_t *value)
{
  char digits[G_ASCII_DTOSTR_BUF_SIZE];
  char *text;
  cb_node_t *node;

  if (json_is_real (value))
    text = g_strconcat (real_text (json_real_value (value), digits),
                        CB_CODEC_REAL_SUFFIX, NULL);
  else
    text = g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
  node = cb_node_new (CB_NODE_INTEGER, 0, text, strlen (text));
  g_free (text);
  return node;
}

/* Returns the tree of VALUE, or NULL when it is nested too deeply. */
static cb_node_t *
read_value (const json_t *value, int depth)
{
  if (depth >= CB_CODEC_MAX_DEPTH)
    return NULL;
  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      return read_object (value, depth);
    case JSON_ARRAY:
      return read_array (value, depth);
    case JSON_STRING:
      return cb_node_new (CB_NODE_TEXT, 0, json_string_value (value),
                          json_string_length (value));
    case JSON_INTEGER:
    case JSON_REAL:
      return read_number (value);
    case JSON_TRUE:
      return cb_node_new (CB_NODE_BOOL, 0, "true", 4);
    case JSON_FALSE:
      return cb_node_new (CB_NODE_BOOL, 0, "false", 5);
    default:
      return cb_node_new (CB_NODE_NULL, 0, NULL, 0);
    }
}

/* Makes a message of TYPE, freed with cb_msg_free, from LEN bytes of JSON. Errors in
   fields name no line, because the parser reports lines only for syntax errors. On
   failure adds to ERRORS, sets MESSAGE to NULL and returns CB_CODEC_SYNTAX or
   CB_CODEC_FIELD. */
int
cb_json_read (const ProtobufCMessageDescriptor *type, const char *text, size_t len,
              cb_errors_t *errors, ProtobufCMessage **message)
{
  json_error_t error;
  json_t *root;
  cb_node_t *node;
  int err;

  *message = NULL;
  if (len > CB_CODEC_MAX_BYTES)
    {
      cb_errors_add (errors, "json", 0, NULL,
                     "the document is too large; accepted: up to 16 MiB");
      return CB_CODEC_SYNTAX;
    }
  root = json_loadb (text, len, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    {
      cb_errors_add (errors, "json", error.line, NULL, "not a JSON document: %s",
                     error.text);
      return CB_CODEC_SYNTAX;
    }
  node = read_value (root, 0);
  json_decref (root);
  if (node == NULL)
    {
      cb_errors_add (errors, "json", 0, NULL, "nested too deeply; accepted: 32 levels");
      return CB_CODEC_SYNTAX;
    }
  err = cb_node_to_message (node, type, "json", NULL, errors, message);
  cb_node_free (node);
  return err;
}

static json_t *write_message (const ProtobufCMessage *message);

static json_t *
write_enum (const ProtobufCEnumDescriptor *type, int value)
{
  char *text = cb_codec_enum_name (type, value);
  json_t *json = text == NULL ? json_integer (value) : json_string (text);

  g_free (text);
  return json;
}

/* Numbers above 2^63-1 exceed Jansson's integers and are written as strings. */
static json_t *
write_uint64 (uint64_t value)
{
  char text[24]; /* up to 20 digits */

  if (value <= INT64_MAX)
    return json_integer ((json_int_t)value);
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  return json_string (text);
}

/* JSON has no NaN and no infinity; they become null. */
static json_t *
write_double (double value)
{
  json_t *json = json_real (value);

  return json == NULL ? json_null () : json;
}

/* Returns the JSON value of FIELD, or of an element of it, at address AT. Strings that
   are not valid UTF-8 become empty. */
static json_t *
write_value (const ProtobufCFieldDescriptor *field, const void *at)
{
  const char *text;
  json_t *json;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT32:
      return json_integer (*(const uint32_t *)at);
    case PROTOBUF_C_TYPE_UINT64:
      return write_uint64 (*(const uint64_t *)at);
    case PROTOBUF_C_TYPE_DOUBLE:
      return write_double (*(const double *)at);
    case PROTOBUF_C_TYPE_BOOL:
      return json_boolean (*(const protobuf_c_boolean *)at);
    case PROTOBUF_C_TYPE_ENUM:
      return write_enum (field->descriptor, *(const int *)at);
    case PROTOBUF_C_TYPE_STRING:
      text = *(char *const *)at;
      json = json_string (text == NULL ? "" : text);
      return json == NULL ? json_string ("") : json;
    case PROTOBUF_C_TYPE_MESSAGE:
      return write_message (*(ProtobufCMessage *const *)at);
    default:
      return json_null ();
    }
}

/* Sets FIELD of OBJECT to a string, or FIELD_base64 when the bytes are not UTF-8. */
static void
write_bytes (json_t *object, const ProtobufCFieldDescriptor *field,
             const ProtobufCBinaryData *value)
{
  const char *data = value->len == 0 ? "" : (const char *)value->data;
  char *base64;
  char *name;

  if (g_utf8_validate (data, (gssize)value->len, NULL))
    {
      json_object_set_new (object, field->name, json_stringn (data, value->len));
      return;
    }
  base64 = g_base64_encode (value->data, value->len);
  name = g_strdup_printf ("%s_base64", field->name);
  json_object_set_new (object, name, json_string (base64));
  g_free (name);
  g_free (base64);
}

static json_t *
write_list (const ProtobufCFieldDescriptor *field, const ProtobufCMessage *message)
{
  size_t count = *(const size_t *)((const char *)message + field->quantifier_offset);
  const char *items = *(char *const *)((const char *)message + field->offset);
  size_t size = cb_codec_element_size (field);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, write_value (field, items + i * size));
  return list;
}

static json_t *
write_message (const ProtobufCMessage *message)
{
  json_t *object = json_object ();

  for (unsigned i = 0; i < message->descriptor->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &message->descriptor->fields[i];
      const void *at = (const char *)message + field->offset;

      if (field->label == PROTOBUF_C_LABEL_REPEATED)
        json_object_set_new (object, field->name, write_list (field, message));
      else if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) &&
               *(const uint32_t *)((const char *)message + field->quantifier_offset) !=
                   field->id)
        continue;
      else if (field->type == PROTOBUF_C_TYPE_BYTES)
        write_bytes (object, field, at);
      else if (field->type != PROTOBUF_C_TYPE_MESSAGE ||
               *(ProtobufCMessage *const *)at != NULL)
        json_object_set_new (object, field->name, write_value (field, at));
    }
  return object;
}

/* Returns MESSAGE as one line of JSON. Fields with default values are written too, so
   that readers need no defaults; unset messages are omitted. Freed with g_free. */
char *
cb_json_write (const ProtobufCMessage *message)
{
  json_t *object = write_message (message);
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (object);
  return copy;
}
