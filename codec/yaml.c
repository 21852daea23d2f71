#include "codec/local.h"

#include <string.h>
#include <yaml.h>

typedef struct
{
  yaml_parser_t parser;
  const char *file;
  cb_errors_t *errors;
} reader_t;

static cb_node_t *read_node (reader_t *yaml, yaml_event_t *event, int depth);

static int
line_of (const yaml_event_t *event)
{
  return (int)event->start_mark.line + 1;
}

static gboolean
next_event (reader_t *yaml, yaml_event_t *event)
{
  if (yaml_parser_parse (&yaml->parser, event))
    return TRUE;
  cb_errors_add (yaml->errors, yaml->file, (int)yaml->parser.problem_mark.line + 1,
                 NULL, "not a YAML document: %s",
                 yaml->parser.problem == NULL ? "unreadable" : yaml->parser.problem);
  return FALSE;
}

/* A leading zero is rejected, because some YAML parsers read such a number as octal. */
static gboolean
is_integer (const char *text)
{
  size_t sign = *text == '-';

  if (text[sign] == '0' && text[sign + 1] != '\0')
    return FALSE;
  return text[sign] != '\0' &&
         strspn (text + sign, "0123456789") == strlen (text + sign);
}

static cb_node_t *
read_scalar (const yaml_event_t *event)
{
  const char *text = (const char *)event->data.scalar.value;
  gboolean plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
  cb_node_t *node =
      cb_node_new (CB_NODE_TEXT, line_of (event), text, event->data.scalar.length);

  if (!plain)
    return node;
  node->plain_scalar = TRUE;
  if (*text == '\0' || strcmp (text, "~") == 0 || strcmp (text, "null") == 0)
    node->kind = CB_NODE_NULL;
  else if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
    node->kind = CB_NODE_BOOL;
  else if (is_integer (text))
    node->kind = CB_NODE_INTEGER;
  return node;
}

/* Reads the nodes before the event END into PARENT, with their keys when it is a map.
   Duplicate keys are detected by cb_node_to_message. */
static gboolean
read_children (reader_t *yaml, cb_node_t *parent, yaml_event_type_t end, int depth)
{
  for (;;)
    {
      yaml_event_t event;
      cb_node_t *child;

      if (!next_event (yaml, &event))
        return FALSE;
      if (event.type == end)
        {
          yaml_event_delete (&event);
          return TRUE;
        }
      if (parent->kind == CB_NODE_MAP)
        {
          if (event.type != YAML_SCALAR_EVENT || event.data.scalar.anchor != NULL)
            {
              cb_errors_add (yaml->errors, yaml->file, line_of (&event), NULL,
                             "a key must be plain text without an anchor");
              yaml_event_delete (&event);
              return FALSE;
            }
          g_ptr_array_add (parent->keys,
                           g_strdup ((const char *)event.data.scalar.value));
          yaml_event_delete (&event);
          if (!next_event (yaml, &event))
            return FALSE;
        }
      child = read_node (yaml, &event, depth);
      if (child == NULL)
        return FALSE;
      g_ptr_array_add (parent->children, child);
    }
}

/* Returns why the YAML feature that EVENT uses is not accepted, NULL when it is. An
   alias can multiply a value; anchors and tags can hide the value that takes effect. */
static const char *
unsupported_feature (const yaml_event_t *event)
{
  const yaml_char_t *anchor = NULL;
  const yaml_char_t *tag = NULL;

  if (event->type == YAML_ALIAS_EVENT)
    return "aliases are not accepted; write the value out";
  if (event->type == YAML_SCALAR_EVENT)
    {
      anchor = event->data.scalar.anchor;
      tag = event->data.scalar.tag;
    }
  else if (event->type == YAML_MAPPING_START_EVENT)
    {
      anchor = event->data.mapping_start.anchor;
      tag = event->data.mapping_start.tag;
    }
  else if (event->type == YAML_SEQUENCE_START_EVENT)
    {
      anchor = event->data.sequence_start.anchor;
      tag = event->data.sequence_start.tag;
    }
  if (anchor != NULL)
    return "anchors are not accepted; write the value out";
  return tag != NULL ? "tags are not accepted" : NULL;
}

/* Returns the node that begins with EVENT, which is freed; NULL after an error. */
static cb_node_t *
read_node (reader_t *yaml, yaml_event_t *event, int depth)
{
  const char *reason = unsupported_feature (event);
  gboolean map = event->type == YAML_MAPPING_START_EVENT;
  cb_node_t *node = NULL;
  int line = line_of (event);

  if (reason == NULL && depth >= CB_CODEC_MAX_DEPTH)
    reason = "nested too deeply; accepted: 32 levels";
  if (reason == NULL && event->type == YAML_SCALAR_EVENT)
    node = read_scalar (event);
  yaml_event_delete (event);
  if (reason != NULL)
    cb_errors_add (yaml->errors, yaml->file, line, NULL, "%s", reason);
  if (reason != NULL || node != NULL)
    return node;
  node = cb_node_new (map ? CB_NODE_MAP : CB_NODE_LIST, line, NULL, 0);
  if (read_children (yaml, node, map ? YAML_MAPPING_END_EVENT : YAML_SEQUENCE_END_EVENT,
                     depth + 1))
    return node;
  cb_node_free (node);
  return NULL;
}

/* Reads and discards one event. Returns its type, or YAML_NO_EVENT after an error. */
static yaml_event_type_t
skip_event (reader_t *yaml)
{
  yaml_event_t event;
  yaml_event_type_t type;

  if (!next_event (yaml, &event))
    return YAML_NO_EVENT;
  type = event.type;
  yaml_event_delete (&event);
  return type;
}

static cb_node_t *
read_document (reader_t *yaml)
{
  yaml_event_type_t type = skip_event (yaml); /* start of the stream */
  yaml_event_t event;
  cb_node_t *node;

  if (type != YAML_NO_EVENT)
    type = skip_event (yaml);
  if (type == YAML_STREAM_END_EVENT)
    cb_errors_add (yaml->errors, yaml->file, 1, NULL, "the document is empty");
  if (type != YAML_DOCUMENT_START_EVENT || !next_event (yaml, &event))
    return NULL;
  node = read_node (yaml, &event, 0);
  if (node == NULL)
    return NULL;
  type = skip_event (yaml);
  if (type == YAML_DOCUMENT_END_EVENT)
    type = skip_event (yaml);
  if (type == YAML_STREAM_END_EVENT)
    return node;
  if (type != YAML_NO_EVENT)
    cb_errors_add (yaml->errors, yaml->file, (int)yaml->parser.mark.line + 1, NULL,
                   "more than one document; accepted: one");
  cb_node_free (node);
  return NULL;
}

/* Makes a message of TYPE, freed with cb_msg_free, from LEN bytes of YAML. SOURCE,
   which may be NULL, names the file and receives the lines of the messages. On failure
   sets MESSAGE to NULL and returns CB_CODEC_SYNTAX or CB_CODEC_FIELD, with ERRORS
   filled, or CB_ERR_NOMEM. */
int
cb_yaml_read (const ProtobufCMessageDescriptor *type, const char *text, size_t len,
              cb_source_t *source, cb_errors_t *errors, ProtobufCMessage **message)
{
  reader_t yaml = { .file = source == NULL ? NULL : source->file, .errors = errors };
  cb_node_t *node;
  int err;

  *message = NULL;
  if (len > CB_CODEC_MAX_BYTES)
    {
      cb_errors_add (errors, yaml.file, 0, NULL,
                     "the document is too large; accepted: up to 16 MiB");
      return CB_CODEC_SYNTAX;
    }
  if (!yaml_parser_initialize (&yaml.parser))
    return CB_ERR_NOMEM;
  yaml_parser_set_input_string (&yaml.parser, (const unsigned char *)text, len);
  node = read_document (&yaml);
  yaml_parser_delete (&yaml.parser);
  if (node == NULL)
    return CB_CODEC_SYNTAX;
  err = cb_node_to_message (node, type, yaml.file, source, errors, message);
  cb_node_free (node);
  return err;
}

/* As cb_yaml_read, from the file PATH. Returns CB_CODEC_READ when it cannot be read. */
int
cb_yaml_read_file (const ProtobufCMessageDescriptor *type, const char *path,
                   cb_source_t *source, cb_errors_t *errors, ProtobufCMessage **message)
{
  GError *error = NULL;
  char *text;
  gsize len;
  int err;

  *message = NULL;
  if (!g_file_get_contents (path, &text, &len, &error))
    {
      cb_errors_add (errors, path, 0, NULL, "%s", error->message);
      g_error_free (error);
      return CB_CODEC_READ;
    }
  err = cb_yaml_read (type, text, len, source, errors, message);
  g_free (text);
  return err;
}
