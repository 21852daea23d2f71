/* Structured log lines on standard output, rate-limited by event name. */
#include "base/fns.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Lines of one event name that are written in a second; further ones are omitted. */
#define DEFAULT_LINES_PER_S 200
/* PIPE_BUF: a write of at most this size to a pipe that poll reports as writable does
   not block. */
#define MAX_LINE_BYTES 4096

typedef struct
{
  int64_t second;   /* of the counts; wall clock, since 1970-01-01 UTC */
  uint32_t written; /* lines written in this second */
  uint64_t omitted; /* lines omitted in this second, not yet reported */
} budget_t;

static GHashTable *budgets; /* event name -> budget_t */
static uint32_t lines_per_s = DEFAULT_LINES_PER_S;
static uint64_t dropped_lines;

/* Sets how many lines of each event name are written in a second; 0 sets the default
   of 200. */
void
cb_event_set_budget (uint32_t lines)
{
  lines_per_s = lines == 0 ? DEFAULT_LINES_PER_S : lines;
}

/* Returns how many lines were dropped because writing them to standard output would
   have blocked or failed. */
uint64_t
cb_event_dropped (void)
{
  return dropped_lines;
}

/* Writes one line, or counts it as dropped when the write would block or fails. */
static void
write_line (const char *text, size_t len)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
      write (STDOUT_FILENO, text, len) != (ssize_t)len)
    dropped_lines++;
}

static void
write_event (cb_log_level_t level, const char *part, const char *event,
             const char *fields)
{
  cb_msec_t wall_ms = cb_clock_wall (cb_clock_system ());
  GDateTime *now = g_date_time_new_from_unix_utc (wall_ms / 1000);
  char *stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  char *line = g_strdup_printf ("ts=%s.%03dZ level=%s part=%s event=%s%s%s\n", stamp,
                                (int)(wall_ms % 1000), cb_log_level_text (level), part,
                                event, *fields == '\0' ? "" : " ", fields);
  size_t len = strlen (line);

  if (len > MAX_LINE_BYTES)
    {
      len = MAX_LINE_BYTES;
      line[len - 1] = '\n';
    }
  write_line (line, len);
  g_free (line);
  g_free (stamp);
  g_date_time_unref (now);
}

/* Counts a line of EVENT against the budget of this second. Returns FALSE when the
   budget is used up. The first line of a later second reports the omitted lines. */
static gboolean
consume_budget (const char *event)
{
  int64_t second = cb_clock_wall (cb_clock_system ()) / 1000;
  budget_t *budget;
  uint64_t omitted;
  char *fields;

  if (budgets == NULL)
    budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  budget = g_hash_table_lookup (budgets, event);
  if (budget == NULL)
    {
      budget = g_new0 (budget_t, 1);
      g_hash_table_insert (budgets, g_strdup (event), budget);
    }
  if (budget->second != second)
    {
      omitted = budget->omitted;
      *budget = (budget_t){ .second = second };
      if (omitted > 0)
        {
          fields = g_strdup_printf ("of=%s lines=%" G_GUINT64_FORMAT, event, omitted);
          write_event (CB_LOG_WARN, "log", "lines_omitted", fields);
          g_free (fields);
        }
    }
  if (budget->written >= lines_per_s)
    {
      budget->omitted++;
      return FALSE;
    }
  budget->written++;
  return TRUE;
}

G_GNUC_PRINTF (4, 0)
static void
write_formatted (cb_log_level_t level, const char *part, const char *event,
                 const char *fmt, va_list args)
{
  char *fields = g_strdup_vprintf (fmt, args);

  write_event (level, part, event, fields);
  g_free (fields);
}

/* Writes one line `ts=T level=L part=P event=E FIELDS` to standard output, FIELDS as
   key=value pairs. A line over the event's budget is omitted, one that the pipe cannot
   take is dropped; both are counted. A line over MAX_LINE_BYTES is cut. */
void
cb_event (cb_log_level_t level, const char *part, const char *event, const char *fmt,
          ...)
{
  va_list args;

  if (!cb_log_enabled (level) || !consume_budget (event))
    return;
  va_start (args, fmt);
  write_formatted (level, part, event, fmt, args);
  va_end (args);
}

/* As cb_event, without the budget: for refused, failed and lost work, of which every
   case must be logged. */
void
cb_event_unlimited (cb_log_level_t level, const char *part, const char *event,
                    const char *fmt, ...)
{
  va_list args;

  if (!cb_log_enabled (level))
    return;
  va_start (args, fmt);
  write_formatted (level, part, event, fmt, args);
  va_end (args);
}
