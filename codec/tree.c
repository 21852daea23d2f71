/* Converts the tree of a parsed document to a protobuf message. */
#include "codec/local.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* State of the conversion of one document. */
typedef struct
{
  const char *file;
  cb_source_t *source;
  cb_errors_t *errors;
  GString *path; /* of the current field, such as accounts[0].name */
  int failures;  /* number of errors found */
} converter_t;

static void
free_node (gpointer node)
{
  cb_node_free (node);
}

/* Returns a new node; LEN bytes of TEXT, which may be NULL, are copied. Freed with
   cb_node_free. */
cb_node_t *
cb_node_new (cb_node_kind_t kind, int line, const char *text, size_t len)
{
  cb_node_t *node = g_new0 (cb_node_t, 1);

  node->kind = kind;
  node->line = line;
  node->len = len;
  if (text != NULL)
    node->text = g_strndup (text, len);
  if (kind == CB_NODE_MAP)
    node->keys = g_ptr_array_new_with_free_func (g_free);
  if (kind == CB_NODE_MAP || kind == CB_NODE_LIST)
    node->children = g_ptr_array_new_with_free_func (free_node);
  return node;
}

/* Frees a node with its children; NULL is accepted. */
void
cb_node_free (cb_node_t *node)
{
  if (node == NULL)
    return;
  g_free (node->text);
  if (node->keys != NULL)
    g_ptr_array_unref (node->keys);
  if (node->children != NULL)
    g_ptr_array_unref (node->children);
  g_free (node);
}

/* Adds an error in the current field. */
static void
add_error (converter_t *conv, int line, const char *text)
{
  cb_errors_add (conv->errors, conv->file, line, conv->path->str, "%s", text);
  conv->failures++;
}

static const char *
node_kind_text (const cb_node_t *node)
{
  static const char *const texts[] = { "nothing", "a boolean", "a whole number",
                                       "text",    "a mapping", "a list" };

  return texts[node->kind];
}

static void
add_type_error (converter_t *conv, const cb_node_t *node, const char *expected)
{
  char *text =
      g_strdup_printf ("%s found; %s expected", node_kind_text (node), expected);

  add_error (conv, node->line, text);
  g_free (text);
}

/* Sets VALUE to a whole number of 0..MAX, or to 0 when the number is out of range;
   leaves it as it is when NODE is not a number. Text is accepted only for 64-bit fields
   in JSON, whose nodes have no line: the JSON parser has no integers above 2^63-1. */
static void
convert_number (converter_t *conv, const cb_node_t *node, uint64_t max, uint64_t *value)
{
  gboolean wide_text = node->kind == CB_NODE_TEXT && max == UINT64_MAX &&
                       node->line == 0 && g_ascii_isdigit (node->text[0]);
  char *end = NULL;
  char *text;

  if (node->kind != CB_NODE_INTEGER && !wide_text)
    {
      add_type_error (conv, node, "a whole number");
      return;
    }
  errno = 0;
  *value = g_ascii_strtoull (node->text, &end, 10);
  if (errno == 0 && *end == '\0' && node->text[0] != '-' && *value <= max)
    return;
  *value = 0;
  text = g_strdup_printf ("%.40s is out of range; accepted: 0..%" G_GUINT64_FORMAT,
                          node->text, max);
  add_error (conv, node->line, text);
  g_free (text);
}

/* Returns TRUE when NODE can be read as text; otherwise adds the error that EXPECTED
   was expected. */
static gboolean
expect_text (converter_t *conv, const cb_node_t *node, const char *expected)
{
  if (node->kind == CB_NODE_TEXT || (node->plain_scalar && node->kind != CB_NODE_NULL))
    return TRUE;
  add_type_error (conv, node, expected);
  return FALSE;
}

static void
convert_enum (converter_t *conv, const cb_node_t *node,
              const ProtobufCEnumDescriptor *type, int *value)
{
  char *list;
  char *text;

  if (!expect_text (conv, node, "a name") ||
      cb_codec_enum_parse (type, node->text, value))
    return;
  list = cb_codec_enum_names (type);
  text = g_strdup_printf ("\"%.40s\" is not a value; accepted: %s", node->text, list);
  add_error (conv, node->line, text);
  g_free (text);
  g_free (list);
}

static void
convert_double (converter_t *conv, const cb_node_t *node, double *value)
{
  char *end = NULL;
  double number = node->text == NULL ? 0 : g_ascii_strtod (node->text, &end);

  if (end == NULL || end == node->text ||
      (*end != '\0' && strcmp (end, CB_CODEC_REAL_SUFFIX) != 0) || !(number >= 0) ||
      number > G_MAXUINT32)
    add_type_error (conv, node, "a number of 0 or more");
  else
    *value = number;
}

static void
convert_string (converter_t *conv, const cb_node_t *node, char **value)
{
  if (!expect_text (conv, node, "text"))
    return;
  if (!g_utf8_validate (node->text, (gssize)node->len, NULL))
    add_error (conv, node->line, "text is not valid UTF-8 without zero bytes");
  else
    cb_msg_set_string (value, node->text);
}

static void
convert_bytes (converter_t *conv, const cb_node_t *node, gboolean base64,
               ProtobufCBinaryData *value)
{
  guchar *data;
  gsize size;

  if (!expect_text (conv, node, "text"))
    return;
  if (!base64)
    {
      cb_msg_set_bytes (value, node->text, node->len);
      return;
    }
  /* GLib ignores characters outside the base64 alphabet, so they are rejected here. */
  if (node->len % 4 != 0 ||
      strspn (node->text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                          "0123456789+/=") != node->len)
    {
      add_error (conv, node->line, "text is not base64");
      return;
    }
  data = g_base64_decode (node->text, &size);
  cb_msg_set_bytes (value, data, size);
  g_free (data);
}

static ProtobufCMessage *convert_message (converter_t *conv, const cb_node_t *node,
                                          const ProtobufCMessageDescriptor *type);

/* Stores NODE at AT, the address of FIELD or of an element of it. BASE64 tells whether
   the text of a bytes field is encoded. */
static void
convert_value (converter_t *conv, const cb_node_t *node,
               const ProtobufCFieldDescriptor *field, gboolean base64, void *at)
{
  uint64_t number = 0;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT32:
      convert_number (conv, node, UINT32_MAX, &number);
      *(uint32_t *)at = (uint32_t)number;
      return;
    case PROTOBUF_C_TYPE_UINT64:
      convert_number (conv, node, UINT64_MAX, at);
      return;
    case PROTOBUF_C_TYPE_DOUBLE:
      convert_double (conv, node, at);
      return;
    case PROTOBUF_C_TYPE_BOOL:
      if (node->kind == CB_NODE_BOOL)
        *(protobuf_c_boolean *)at = strcmp (node->text, "true") == 0;
      else
        add_type_error (conv, node, "true or false");
      return;
    case PROTOBUF_C_TYPE_ENUM:
      convert_enum (conv, node, field->descriptor, at);
      return;
    case PROTOBUF_C_TYPE_STRING:
      convert_string (conv, node, at);
      return;
    case PROTOBUF_C_TYPE_BYTES:
      convert_bytes (conv, node, base64, at);
      return;
    case PROTOBUF_C_TYPE_MESSAGE:
      *(ProtobufCMessage **)at = convert_message (conv, node, field->descriptor);
      return;
    default:
      add_error (conv, node->line, "the type of this field is not supported");
    }
}

/* Returns the size in bytes of an element of the repeated FIELD. */
size_t
cb_codec_element_size (const ProtobufCFieldDescriptor *field)
{
  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_DOUBLE:
      return sizeof (uint64_t);
    case PROTOBUF_C_TYPE_STRING:
    case PROTOBUF_C_TYPE_MESSAGE:
      return sizeof (void *);
    case PROTOBUF_C_TYPE_BYTES:
      return sizeof (ProtobufCBinaryData);
    default:
      return sizeof (uint32_t);
    }
}

/* Replaces the static empty string of protobuf-c by an allocated one, because
   protobuf-c passes every string of a repeated field to free. */
static void
allocate_empty_string (char **text)
{
  if (*text == (const char *)protobuf_c_empty_string)
    *text = strdup ("");
}

static void
convert_list (converter_t *conv, const cb_node_t *node,
              const ProtobufCFieldDescriptor *field, ProtobufCMessage *message)
{
  size_t size = cb_codec_element_size (field);
  size_t length = conv->path->len;
  char *items;

  if (node->kind != CB_NODE_LIST)
    {
      add_type_error (conv, node, "a list");
      return;
    }
  if (node->children->len == 0)
    return;
  items = calloc (node->children->len, size);
  if (items == NULL)
    abort ();
  for (guint i = 0; i < node->children->len; i++)
    {
      if (field->type == PROTOBUF_C_TYPE_STRING)
        *(const char **)(items + i * size) = protobuf_c_empty_string;
      g_string_append_printf (conv->path, "[%u]", i);
      convert_value (conv, node->children->pdata[i], field, FALSE, items + i * size);
      if (field->type == PROTOBUF_C_TYPE_STRING)
        allocate_empty_string ((char **)(items + i * size));
      g_string_truncate (conv->path, length);
    }
  *(void **)((char *)message + field->offset) = items;
  *(size_t *)((char *)message + field->quantifier_offset) = node->children->len;
}

/* Returns the field that KEY names; NAME_base64 names the bytes field NAME. */
static const ProtobufCFieldDescriptor *
find_field (const ProtobufCMessageDescriptor *type, const char *key, gboolean *base64)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field_by_name (type, key);
  char *name;

  *base64 = FALSE;
  if (field != NULL || !g_str_has_suffix (key, "_base64"))
    return field;
  name = g_strndup (key, strlen (key) - strlen ("_base64"));
  field = protobuf_c_message_descriptor_get_field_by_name (type, name);
  g_free (name);
  *base64 = TRUE;
  return field != NULL && field->type == PROTOBUF_C_TYPE_BYTES ? field : NULL;
}

static void
add_unknown_field_error (converter_t *conv, int line,
                         const ProtobufCMessageDescriptor *type)
{
  GString *text = g_string_new ("unknown field; accepted: ");

  for (unsigned i = 0; i < type->n_fields; i++)
    g_string_append_printf (text, "%s%s", i == 0 ? "" : ", ", type->fields[i].name);
  add_error (conv, line, text->str);
  g_string_free (text, TRUE);
}

/* Stores NODE in the field KEY of MESSAGE. SEEN holds the fields that the document has
   set before. */
static void
convert_field (converter_t *conv, const cb_node_t *node, const char *key,
               ProtobufCMessage *message, GHashTable *seen)
{
  gboolean base64;
  const ProtobufCFieldDescriptor *field =
      find_field (message->descriptor, key, &base64);
  uint32_t *which;

  if (field == NULL)
    {
      add_unknown_field_error (conv, node->line, message->descriptor);
      return;
    }
  if (!g_hash_table_add (seen, (gpointer)field))
    {
      add_error (conv, node->line, "the field is given more than once");
      return;
    }
  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    {
      convert_list (conv, node, field, message);
      return;
    }
  if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
    {
      which = (uint32_t *)((char *)message + field->quantifier_offset);
      if (*which != 0)
        {
          add_error (conv, node->line,
                     "only one of these alternative fields may be given");
          return;
        }
      *which = field->id;
    }
  convert_value (conv, node, field, base64, (char *)message + field->offset);
}

static ProtobufCMessage *
convert_message (converter_t *conv, const cb_node_t *node,
                 const ProtobufCMessageDescriptor *type)
{
  ProtobufCMessage *message = cb_msg_new (type);
  size_t length = conv->path->len;
  GHashTable *seen;

  if (conv->source != NULL)
    g_hash_table_insert (conv->source->line_of, message, GINT_TO_POINTER (node->line));
  if (node->kind != CB_NODE_MAP)
    {
      add_type_error (conv, node, "a mapping");
      return message;
    }
  seen = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < node->children->len; i++)
    {
      const char *key = node->keys->pdata[i];

      g_string_append_printf (conv->path, "%s%.60s", length == 0 ? "" : ".", key);
      convert_field (conv, node->children->pdata[i], key, message, seen);
      g_string_truncate (conv->path, length);
    }
  g_hash_table_unref (seen);
  return message;
}

/* Makes a message of TYPE, freed with cb_msg_free, from NODE, and records the lines of
   its messages in SOURCE, which may be NULL. On failure adds every error to ERRORS,
   sets MESSAGE to NULL and returns CB_CODEC_FIELD. */
int
cb_node_to_message (const cb_node_t *node, const ProtobufCMessageDescriptor *type,
                    const char *file, cb_source_t *source, cb_errors_t *errors,
                    ProtobufCMessage **message)
{
  converter_t conv = { file, source, errors, g_string_new (NULL), 0 };

  *message = convert_message (&conv, node, type);
  g_string_free (conv.path, TRUE);
  if (conv.failures == 0)
    return CB_OK;
  cb_msg_free (*message);
  *message = NULL;
  if (source != NULL)
    g_hash_table_remove_all (source->line_of);
  return CB_CODEC_FIELD;
}
