#include "verify/fns.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
free_event (gpointer data)
{
  cb_verify_event_t *event = data;

  json_decref (event->fields);
  g_free (event);
}

/* Creates an empty set of events. Freed with cb_verify_events_free. */
cb_verify_events_t *
cb_verify_events_new (void)
{
  cb_verify_events_t *events = g_new0 (cb_verify_events_t, 1);

  events->events = g_ptr_array_new_with_free_func (free_event);
  events->files = g_ptr_array_new_with_free_func (g_free);
  return events;
}

void
cb_verify_events_free (cb_verify_events_t *events)
{
  g_ptr_array_free (events->events, TRUE);
  g_ptr_array_free (events->files, TRUE);
  g_free (events);
}

/* Adds the event in TEXT, which is line LINE of FILE. The name FILE must outlive
   EVENTS. Returns CB_VERIFY_SYNTAX when TEXT is not a JSON object with `t` (time in
   ms), `p` (process) and `ev` (event name). */
int
cb_verify_events_add (cb_verify_events_t *events, const char *file, uint32_t line,
                      const char *text)
{
  json_t *object = json_loads (text, 0, NULL);
  cb_verify_event_t *event;

  if (object == NULL || !json_is_integer (json_object_get (object, "t")) ||
      !json_is_string (json_object_get (object, "p")) ||
      !json_is_string (json_object_get (object, "ev")))
    {
      json_decref (object);
      return CB_VERIFY_SYNTAX;
    }
  event = g_new0 (cb_verify_event_t, 1);
  event->t_ms = json_integer_value (json_object_get (object, "t"));
  event->process = json_string_value (json_object_get (object, "p"));
  event->name = json_string_value (json_object_get (object, "ev"));
  event->fields = object;
  event->file = file;
  event->line = line;
  event->order = events->events->len;
  g_ptr_array_add (events->events, event);
  return CB_OK;
}

/* Adds the events of the trace PATH. Returns CB_VERIFY_READ or CB_VERIFY_SYNTAX with a
   message in ERROR, freed with g_free. An incomplete last line is skipped, because a
   process that is killed may leave one. */
int
cb_verify_events_read (cb_verify_events_t *events, const char *path, char **error)
{
  FILE *file = fopen (path, "re");
  char *name = g_strdup (path);
  char *text = NULL;
  size_t capacity = 0;
  ssize_t len;
  uint32_t line = 0;
  int err = CB_OK;

  g_ptr_array_add (events->files, name);
  if (file == NULL)
    {
      *error = g_strdup_printf ("%s: cannot be read", path);
      return CB_VERIFY_READ;
    }
  while (err == CB_OK && (len = getline (&text, &capacity, file)) > 0)
    {
      line++;
      if (text[len - 1] == '\n')
        err = cb_verify_events_add (events, name, line, text);
    }
  if (err < 0)
    *error = g_strdup_printf ("%s:%u: not a JSON object with t, p and ev", path, line);
  free (text);
  fclose (file);
  return err;
}

static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const cb_verify_event_t *x = *(cb_verify_event_t *const *)a;
  const cb_verify_event_t *y = *(cb_verify_event_t *const *)b;

  if (x->t_ms != y->t_ms)
    return x->t_ms < y->t_ms ? -1 : 1;
  return (x->order > y->order) - (x->order < y->order);
}

/* Sorts the events of all files by time; equal times keep the order of reading. */
void
cb_verify_events_sort (cb_verify_events_t *events)
{
  g_ptr_array_sort (events->events, compare_time);
}

/* Returns the string member FIELD, owned by EVENT; "" when there is none. */
const char *
cb_verify_event_string (const cb_verify_event_t *event, const char *field)
{
  const char *text = json_string_value (json_object_get (event->fields, field));

  return text == NULL ? "" : text;
}

/* Returns the integer or boolean member FIELD, 0 when there is none. */
int64_t
cb_verify_event_number (const cb_verify_event_t *event, const char *field)
{
  json_t *value = json_object_get (event->fields, field);

  if (json_is_true (value))
    return 1;
  return json_integer_value (value);
}

gboolean
cb_verify_event_is (const cb_verify_event_t *event, const char *name)
{
  return strcmp (event->name, name) == 0;
}

/* Returns "account/key", which identifies a job or request. Freed with g_free. */
char *
cb_verify_event_work_id (const cb_verify_event_t *event)
{
  return g_strdup_printf ("%s/%s", cb_verify_event_string (event, "account"),
                          cb_verify_event_string (event, "key"));
}
