/* Log lines of free text on standard error; event.c writes those of key=value pairs. */
#include "base/fns.h"

#include <stdio.h>
#include <string.h>

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static cb_log_level_t current_level = CB_LOG_INFO;

/* Sets the log level of the process: messages of a more detailed level are dropped. */
void
cb_log_set_level (cb_log_level_t level)
{
  current_level = level;
}

/* TRUE when lines of LEVEL are written. */
gboolean
cb_log_enabled (cb_log_level_t level)
{
  return level <= current_level;
}

const char *
cb_log_level_text (cb_log_level_t level)
{
  return level_names[level];
}

/* Parses error, warn, info or debug into LEVEL.
   Returns CB_ERR_INVALID for another text and leaves LEVEL as it is. */
int
cb_log_level_parse (const char *text, cb_log_level_t *level)
{
  for (size_t i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (strcmp (text, level_names[i]) == 0)
      {
        *level = (cb_log_level_t)i;
        return CB_OK;
      }
  return CB_ERR_INVALID;
}

/* Writes one line `time level part: text` to standard error.
   The time is UTC in ISO 8601 with milliseconds. */
void
cb_log (cb_log_level_t level, const char *part, const char *fmt, ...)
{
  va_list args;
  char *text;
  GDateTime *now;
  char *stamp;

  if (level > current_level)
    return;
  va_start (args, fmt);
  text = g_strdup_vprintf (fmt, args);
  va_end (args);
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  fprintf (stderr, "%s.%03dZ %s %s: %s\n", stamp,
           g_date_time_get_microsecond (now) / 1000, level_names[level], part, text);
  g_free (stamp);
  g_date_time_unref (now);
  g_free (text);
}
