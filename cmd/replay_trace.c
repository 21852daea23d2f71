/* Reads the traces of `carobrun replay`. */
#include "cmd/replay.h"

#include <string.h>

static void
line_free (void *item)
{
  cb_trace_line_t *line = item;

  cb_msg_free (line->job);
  g_free (line->instance);
  g_free (line);
}

static int
parse_op (const char *text, cb_trace_op_t *op)
{
  static const char *const names[] = { "submit", "cancel", "worker_down", "worker_up" };

  for (size_t i = 0; text != NULL && i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], text) == 0)
      {
        *op = (cb_trace_op_t)i;
        return CB_OK;
      }
  return CB_ERR_INVALID;
}

static Cb__Job *
parse_job (const json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  ProtobufCMessage *job = NULL;
  cb_errors_t errors;

  cb_errors_init (&errors);
  cb_json_read (&cb__job__descriptor, text, strlen (text), &errors, &job);
  cb_errors_clear (&errors);
  free (text);
  return (Cb__Job *)job;
}

static cb_trace_line_t *
parse_line (const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  cb_trace_line_t *line = g_new0 (cb_trace_line_t, 1);
  const json_t *job = json_object_get (root, "job");
  gboolean ok =
      parse_op (json_string_value (json_object_get (root, "op")), &line->op) == CB_OK;

  line->at_ms = json_integer_value (json_object_get (root, "at_ms"));
  line->true_run_ms = json_integer_value (json_object_get (root, "true_run_ms"));
  line->fails = (uint32_t)json_integer_value (json_object_get (root, "fails"));
  line->instance = g_strdup (json_string_value (json_object_get (root, "instance")));
  if (job != NULL)
    line->job = parse_job (job);
  if (line->op == CB_TRACE_SUBMIT || line->op == CB_TRACE_CANCEL)
    ok = ok && line->job != NULL;
  else
    ok = ok && line->instance != NULL;
  json_decref (root);
  if (ok && line->at_ms >= 0)
    return line;
  line_free (line);
  return NULL;
}

/* Reads a trace: one JSON object per line, in the order of at_ms. Returns an array of
   cb_trace_line_t, freed with g_ptr_array_free. On an error it returns NULL and sets
   ERROR to a message, freed with g_free. */
GPtrArray *
cb_trace_read (const char *path, char **error)
{
  GPtrArray *trace;
  char *text;
  char **rows;
  cb_msec_t last_ms = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      *error = g_strdup_printf ("%s: cannot be read", path);
      return NULL;
    }
  trace = g_ptr_array_new_with_free_func (line_free);
  rows = g_strsplit (text, "\n", -1);
  g_free (text);
  for (int i = 0; rows[i] != NULL && trace != NULL; i++)
    {
      cb_trace_line_t *line;

      if (*rows[i] == '\0')
        continue;
      line = parse_line (rows[i]);
      if (line != NULL)
        g_ptr_array_add (trace, line);
      if (line == NULL || line->at_ms < last_ms)
        {
          *error = g_strdup_printf (
              "%s:%d: not a valid trace line, or its at_ms is out of order", path,
              i + 1);
          g_ptr_array_free (trace, TRUE);
          trace = NULL;
          continue;
        }
      last_ms = line->at_ms;
    }
  g_strfreev (rows);
  return trace;
}
