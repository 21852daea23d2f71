#include "base/fns.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

struct cb_trace
{
  FILE *file;
  char *process;
  cb_clock_t *clock;
};

/* Opens the event trace PATH for appending. PROCESS names this process in each line.
   Returns NULL when PATH is NULL or empty, or when it cannot be opened, which is
   logged; the other functions accept NULL and then write nothing. CLOCK must outlive
   the trace. */
cb_trace_t *
cb_trace_open (const char *path, const char *process, cb_clock_t *clock)
{
  cb_trace_t *trace;
  FILE *file;

  if (path == NULL || *path == '\0')
    return NULL;
  file = fopen (path, "ae");
  if (file == NULL)
    {
      cb_log (CB_LOG_ERROR, "trace",
              "cannot open %s; continuing without an event trace", path);
      return NULL;
    }
  /* Line buffering, so that a killed process loses no complete line. */
  setvbuf (file, NULL, _IOLBF, BUFSIZ);
  trace = g_new0 (cb_trace_t, 1);
  trace->file = file;
  trace->process = cb_json_quote (process);
  trace->clock = clock;
  return trace;
}

void
cb_trace_close (cb_trace_t *trace)
{
  if (trace == NULL)
    return;
  fclose (trace->file);
  g_free (trace->process);
  g_free (trace);
}

/* Writes one event. FIELDS holds its other JSON members, such as
   `"key":"a","member":0`, and may be empty or NULL. The time `t` is the wall clock in
   ms. */
void
cb_trace_event (cb_trace_t *trace, const char *event, const char *fields)
{
  if (trace == NULL)
    return;
  fprintf (trace->file, "{\"t\":%" G_GINT64_FORMAT ",\"p\":%s,\"ev\":\"%s\"%s%s}\n",
           cb_clock_wall (trace->clock), trace->process, event,
           fields != NULL && *fields != '\0' ? "," : "", fields != NULL ? fields : "");
}

/* Returns TEXT as a quoted JSON string. Invalid UTF-8 is replaced. Freed with g_free.
 */
char *
cb_json_quote (const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  json_t *value = json_string (valid);
  char *dump = json_dumps (value, JSON_ENCODE_ANY);
  char *quoted = g_strdup (dump);

  free (dump);
  json_decref (value);
  g_free (valid);
  return quoted;
}
