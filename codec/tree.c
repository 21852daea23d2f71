#include "codec/local.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* State of filling one document. PATH is the field being filled. */
typedef struct
{
  const char *file;
  cb_source_t *source;
  cb_errors_t *errors;
  GString *path;
  int failures;
} cb_fill_t;

static void
free_node (gpointer node)
{
  cb_node_free (node);
}

/* Returns a node; TEXT is copied and may be NULL. Freed with cb_node_free. */
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

static void
fail (cb_fill_t *fill, int line, const char *what)
{
  cb_errors_add (fill->errors, fill->file, line, fill->path->str, "%s", what);
  fill->failures++;
}

static const char *
node_kind_text (const cb_node_t *node)
{
  static const char *const texts[] = { "nothing", "a truth value", "a whole number",
                                       "text",    "a mapping",     "a list" };

  return texts[node->kind];
}

static void
fail_type (cb_fill_t *fill, const cb_node_t *node, const char *expected)
{
  char *what =
      g_strdup_printf ("%s found; %s expected", node_kind_text (node), expected);

  fail (fill, node->line, what);
  g_free (what);
}

/* Reads a whole number of 0..MAX. Text counts as a number only for 64-bit fields of
   JSON, where larger numbers than 2^63-1 have no other form. */
static void
fill_number (cb_fill_t *fill, const cb_node_t *node, uint64_t max, uint64_t *value)
{
  gboolean wide_text = node->kind == CB_NODE_TEXT && max == UINT64_MAX &&
                       node->line == 0 && g_ascii_isdigit (node->text[0]);
  char *end = NULL;
  char *what;

  if (node->kind != CB_NODE_INTEGER && !wide_text)
    {
      fail_type (fill, node, "a whole number");
      return;
    }
  errno = 0;
  *value = g_ascii_strtoull (node->text, &end, 10);
  if (errno == 0 && *end == '\0' && node->text[0] != '-' && *value <= max)
    return;
  *value = 0;
  what = g_strdup_printf ("%.40s is out of range; accepted: 0..%" G_GUINT64_FORMAT,
                          node->text, max);
  fail (fill, node->line, what);
  g_free (what);
}

static gboolean
is_text (cb_fill_t *fill, const cb_node_t *node, const char *expected)
{
  if (node->kind == CB_NODE_TEXT || (node->any_text && node->kind != CB_NODE_NULL))
    return TRUE;
  fail_type (fill, node, expected);
  return FALSE;
}

static void
fill_enum (cb_fill_t *fill, const cb_node_t *node, const ProtobufCEnumDescriptor *type,
           int *value)
{
  char *list;
  char *what;

  if (is_text (fill, node, "a name") && cb_enum_value_parse (type, node->text, value))
    return;
  if (node->text == NULL || node->kind == CB_NODE_NULL)
    return;
  list = cb_enum_value_list (type);
  what = g_strdup_printf ("\"%.40s\" is not a value; accepted: %s", node->text, list);
  fail (fill, node->line, what);
  g_free (what);
  g_free (list);
}

static void
fill_double (cb_fill_t *fill, const cb_node_t *node, double *value)
{
  char *end = NULL;
  double number = node->text == NULL ? 0 : g_ascii_strtod (node->text, &end);

  if (end == NULL || end == node->text || *end != '\0' || !(number >= 0) ||
      number > G_MAXUINT32)
    fail_type (fill, node, "a number of 0 or more");
  else
    *value = number;
}

static void
fill_string (cb_fill_t *fill, const cb_node_t *node, char **value)
{
  if (!is_text (fill, node, "text"))
    return;
  if (!g_utf8_validate (node->text, (gssize)node->len, NULL))
    fail (fill, node->line, "text is not valid UTF-8 without zero bytes");
  else
    cb_msg_set_string (value, node->text);
}

static void
fill_bytes (cb_fill_t *fill, const cb_node_t *node, gboolean base64,
            ProtobufCBinaryData *value)
{
  guchar *data;
  gsize size;

  if (!is_text (fill, node, "text"))
    return;
  if (!base64)
    {
      cb_msg_set_bytes (value, node->text, node->len);
      return;
    }
  /* GLib skips characters outside the alphabet; they are refused here. */
  if (node->len % 4 != 0 ||
      strspn (node->text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                          "0123456789+/=") != node->len)
    {
      fail (fill, node->line, "text is not base64");
      return;
    }
  data = g_base64_decode (node->text, &size);
  cb_msg_set_bytes (value, data, size);
  g_free (data);
}

static ProtobufCMessage *fill_message (cb_fill_t *fill, const cb_node_t *node,
                                       const ProtobufCMessageDescriptor *type);

static void
fill_value (cb_fill_t *fill, const cb_node_t *node,
            const ProtobufCFieldDescriptor *field, gboolean base64, void *at)
{
  uint64_t number = 0;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_UINT32:
      fill_number (fill, node, UINT32_MAX, &number);
      *(uint32_t *)at = (uint32_t)number;
      return;
    case PROTOBUF_C_TYPE_UINT64:
      fill_number (fill, node, UINT64_MAX, at);
      return;
    case PROTOBUF_C_TYPE_DOUBLE:
      fill_double (fill, node, at);
      return;
    case PROTOBUF_C_TYPE_BOOL:
      if (node->kind == CB_NODE_BOOL)
        *(protobuf_c_boolean *)at = strcmp (node->text, "true") == 0;
      else
        fail_type (fill, node, "true or false");
      return;
    case PROTOBUF_C_TYPE_ENUM:
      fill_enum (fill, node, field->descriptor, at);
      return;
    case PROTOBUF_C_TYPE_STRING:
      fill_string (fill, node, at);
      return;
    case PROTOBUF_C_TYPE_BYTES:
      fill_bytes (fill, node, base64, at);
      return;
    case PROTOBUF_C_TYPE_MESSAGE:
      *(ProtobufCMessage **)at = fill_message (fill, node, field->descriptor);
      return;
    default:
      fail (fill, node->line, "the type of this field is not supported");
    }
}

static size_t
element_size (const ProtobufCFieldDescriptor *field)
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

/* protobuf-c frees the strings of a repeated field without sparing its own empty one.
 */
static void
own_string (char **text)
{
  if (*text == (const char *)protobuf_c_empty_string)
    *text = strdup ("");
}

static void
fill_list (cb_fill_t *fill, const cb_node_t *node,
           const ProtobufCFieldDescriptor *field, ProtobufCMessage *message)
{
  size_t size = element_size (field);
  size_t length = fill->path->len;
  char *items;

  if (node->kind != CB_NODE_LIST)
    {
      fail_type (fill, node, "a list");
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
      g_string_append_printf (fill->path, "[%u]", i);
      fill_value (fill, node->children->pdata[i], field, FALSE, items + i * size);
      if (field->type == PROTOBUF_C_TYPE_STRING)
        own_string ((char **)(items + i * size));
      g_string_truncate (fill->path, length);
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
fail_unknown (cb_fill_t *fill, int line, const ProtobufCMessageDescriptor *type)
{
  GString *what = g_string_new ("unknown field; accepted: ");

  for (unsigned i = 0; i < type->n_fields; i++)
    g_string_append_printf (what, "%s%s", i == 0 ? "" : ", ", type->fields[i].name);
  fail (fill, line, what->str);
  g_string_free (what, TRUE);
}

static void
fill_field (cb_fill_t *fill, const cb_node_t *node, const char *key,
            ProtobufCMessage *message, GHashTable *seen)
{
  gboolean base64;
  const ProtobufCFieldDescriptor *field =
      find_field (message->descriptor, key, &base64);
  uint32_t *which;

  if (field == NULL)
    {
      fail_unknown (fill, node->line, message->descriptor);
      return;
    }
  if (!g_hash_table_add (seen, (gpointer)field))
    {
      fail (fill, node->line, "the field is given twice");
      return;
    }
  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    {
      fill_list (fill, node, field, message);
      return;
    }
  if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
    {
      which = (uint32_t *)((char *)message + field->quantifier_offset);
      if (*which != 0)
        {
          fail (fill, node->line, "only one of these alternative fields may be given");
          return;
        }
      *which = field->id;
    }
  fill_value (fill, node, field, base64, (char *)message + field->offset);
}

static ProtobufCMessage *
fill_message (cb_fill_t *fill, const cb_node_t *node,
              const ProtobufCMessageDescriptor *type)
{
  ProtobufCMessage *message = cb_msg_new (type);
  size_t length = fill->path->len;
  GHashTable *seen;

  if (fill->source != NULL)
    g_hash_table_insert (fill->source->line_of, message, GINT_TO_POINTER (node->line));
  if (node->kind != CB_NODE_MAP)
    {
      fail_type (fill, node, "a mapping");
      return message;
    }
  seen = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < node->children->len; i++)
    {
      const char *key = node->keys->pdata[i];

      g_string_append_printf (fill->path, "%s%.60s", length == 0 ? "" : ".", key);
      fill_field (fill, node->children->pdata[i], key, message, seen);
      g_string_truncate (fill->path, length);
    }
  g_hash_table_unref (seen);
  return message;
}

/* Makes a message of TYPE from NODE. On CB_CODEC_FIELD, ERRORS has every fault and
   MESSAGE is NULL. The message is freed with cb_msg_free. */
int
cb_node_fill (const cb_node_t *node, const ProtobufCMessageDescriptor *type,
              const char *file, cb_source_t *source, cb_errors_t *errors,
              ProtobufCMessage **message)
{
  cb_fill_t fill = { file, source, errors, g_string_new (NULL), 0 };

  *message = fill_message (&fill, node, type);
  g_string_free (fill.path, TRUE);
  if (fill.failures == 0)
    return CB_OK;
  cb_msg_free (*message);
  *message = NULL;
  if (source != NULL)
    g_hash_table_remove_all (source->line_of);
  return CB_CODEC_FIELD;
}
