#include "cmd/fns.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

/* Lines that are not about the job but say what its processes believed are shown from
   this long before the first line of the job, in ms: a read that waits notices a loss
   of the log within 2 s. */
#define BEFORE_MS 3000
/* And until this long after the last one. */
#define AFTER_MS 1000

typedef struct
{
  const char *file; /* base name; belongs to the arguments */
  char *text;       /* without the time */
  int64_t at_ms;    /* wall clock */
  uint32_t number;  /* position in the file */
  gboolean about;   /* names the job */
} line_t;

typedef struct
{
  const char *id;
  GPtrArray *lines;    /* of line_t */
  GHashTable *workers; /* that ran the job's tasks */
  int64_t first_ms;    /* of the lines about the job */
  int64_t last_ms;
  gboolean failed; /* a file could not be read */
} story_t;

/* What can explain another process's lines. */
static const char *const context_events[] = {
  "log_lost",       "log_regained",       "claim",         "scheduler_gained",
  "scheduler_lost", "config_in_force",    "started",       "stopping",
  "stopped",        "worker_lapsed",      "worker_gone",   "worker_draining",
  "worker_lost",    "worker_unreachable", "advice_failed", "lines_omitted",
};

static void
free_line (void *ptr)
{
  line_t *line = ptr;

  g_free (line->text);
  g_free (line);
}

/* Returns the value of field NAME of LINE, freed with g_free; NULL without one. */
static char *
field_of (const line_t *line, const char *name)
{
  char *key = g_strdup_printf ("%s=", name);
  const char *at = line->text;

  while ((at = strstr (at, key)) != NULL && at != line->text && at[-1] != ' ')
    at++;
  at = at == NULL ? NULL : at + strlen (key);
  g_free (key);
  return at == NULL ? NULL : g_strndup (at, strcspn (at, " "));
}

static gboolean
field_is (const line_t *line, const char *name, const char *value)
{
  char *found = field_of (line, name);
  gboolean same = g_strcmp0 (found, value) == 0;

  g_free (found);
  return same;
}

/* Returns the line in TEXT, or NULL when it has no time. */
static line_t *
read_line (story_t *story, const char *file, uint32_t number, const char *text)
{
  size_t len = strcspn (text, " ");
  char *stamp;
  GDateTime *time;
  line_t *line;

  if (!g_str_has_prefix (text, "ts=") || text[len] == '\0')
    return NULL;
  stamp = g_strndup (text + 3, len - 3);
  time = g_date_time_new_from_iso8601 (stamp, NULL);
  g_free (stamp);
  if (time == NULL)
    return NULL;
  line = g_new0 (line_t, 1);
  line->file = file;
  line->number = number;
  line->text = g_strdup (text + len + 1);
  line->at_ms =
      g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
  line->about = strstr (line->text, story->id) != NULL;
  g_date_time_unref (time);
  return line;
}

static void
read_log (story_t *story, const char *path)
{
  const char *slash = strrchr (path, '/');
  gchar *text = NULL;
  GError *error = NULL;
  char **rows;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      fprintf (stderr, "carobrun explain: %s\n", error->message);
      g_error_free (error);
      story->failed = TRUE;
      return;
    }
  rows = g_strsplit (text, "\n", -1);
  g_free (text);
  for (uint32_t i = 0; rows[i] != NULL; i++)
    {
      line_t *line = read_line (story, slash == NULL ? path : slash + 1, i, rows[i]);

      if (line != NULL)
        g_ptr_array_add (story->lines, line);
    }
  g_strfreev (rows);
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const line_t *x = *(line_t *const *)a;
  const line_t *y = *(line_t *const *)b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->file == y->file ? (x->number > y->number) - (x->number < y->number)
                            : strcmp (x->file, y->file);
}

static void
find_span (story_t *story)
{
  for (guint i = 0; i < story->lines->len; i++)
    {
      const line_t *line = story->lines->pdata[i];
      char *worker;

      if (!line->about)
        continue;
      if (story->first_ms == 0)
        story->first_ms = line->at_ms;
      story->last_ms = line->at_ms;
      worker = field_of (line, "worker");
      if (worker != NULL)
        g_hash_table_add (story->workers, worker);
    }
}

static gboolean
is_context (const story_t *story, const line_t *line)
{
  char *worker = field_of (line, "worker");
  gboolean other = worker != NULL && !g_hash_table_contains (story->workers, worker);
  gboolean known = FALSE;

  g_free (worker);
  if (other || line->at_ms < story->first_ms - BEFORE_MS ||
      line->at_ms > story->last_ms + AFTER_MS)
    return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (context_events) && !known; i++)
    known = field_is (line, "event", context_events[i]);
  return known;
}

static void
print_lines (const story_t *story)
{
  for (guint i = 0; i < story->lines->len; i++)
    {
      const line_t *line = story->lines->pdata[i];

      if (line->about || is_context (story, line))
        printf ("%c %+9.3f %s %s\n", line->about ? '*' : ' ',
                (double)(line->at_ms - story->first_ms) / 1000, line->file, line->text);
    }
}

/* Returns the last line before position END of the same file with one of two events. */
static const line_t *
last_of (const story_t *story, guint end, const char *event, const char *or_event)
{
  const line_t *from = story->lines->pdata[end];

  for (guint i = end; i > 0; i--)
    {
      const line_t *line = story->lines->pdata[i - 1];

      if (strcmp (line->file, from->file) == 0 &&
          (field_is (line, "event", event) || field_is (line, "event", or_event)))
        return line;
    }
  return NULL;
}

static void
explain_refusal (const story_t *story, guint i)
{
  const line_t *line = story->lines->pdata[i];
  const line_t *log = last_of (story, i, "log_lost", "log_regained");
  char *status = field_of (line, "status");
  char *reason = field_of (line, "reason");

  printf ("refused: %s at %s, reason %s", status, line->file, reason);
  if (log != NULL && field_is (log, "event", "log_lost"))
    printf ("; cause: it had lost the store's log %.1f s before",
            (double)(line->at_ms - log->at_ms) / 1000);
  else if (g_strcmp0 (reason, "store_answer_unknown") == 0)
    printf ("; cause: the store's answer to its record did not come");
  printf ("\n");
  g_free (status);
  g_free (reason);
}

/* Prints what a line says of one run, and CAUSE unless it is NULL. */
static void
print_run (const line_t *line, const char *what, const char *cause)
{
  char *task = field_of (line, "task");
  char *run = field_of (line, "run");
  char *worker = field_of (line, "worker");

  printf ("run %s of task %s on %s %s%s%s\n", run, task, worker, what,
          cause == NULL ? "" : "; cause: ", cause == NULL ? "" : cause);
  g_free (task);
  g_free (run);
  g_free (worker);
}

static void
explain_stop (const line_t *line)
{
  char *why = field_of (line, "why");

  print_run (line, "was told to stop", why);
  g_free (why);
}

static void
explain_end (const line_t *line)
{
  char *how = field_of (line, "how");
  char *what = g_strdup_printf ("ended as %s", how);

  if (g_strcmp0 (how, "run_lost") == 0)
    print_run (line, what, "its worker ended, was replaced or did not answer");
  else if (g_strcmp0 (how, "run_done") != 0 && g_strcmp0 (how, "run_stopped") != 0)
    print_run (line, what, NULL);
  g_free (what);
  g_free (how);
}

/* Says for the time up to the first run what kept the job waiting. */
static void
explain_wait (const story_t *story, int64_t accepted_ms, int64_t started_ms)
{
  printf ("waited %.3f s for its first run\n",
          (double)(started_ms - accepted_ms) / 1000);
  for (guint i = 0; i < story->lines->len; i++)
    {
      const line_t *line = story->lines->pdata[i];

      if (line->at_ms >= accepted_ms && line->at_ms <= started_ms &&
          field_is (line, "event", "scheduler_gained"))
        printf ("cause of waiting: %s became the scheduler meanwhile\n", line->file);
    }
}

static void
explain_restart (const story_t *story, guint i)
{
  const line_t *line = story->lines->pdata[i];
  const line_t *before = last_of (story, i, "started", "stopped");

  if (before != NULL && field_is (before, "event", "started") &&
      line->at_ms >= story->first_ms - BEFORE_MS &&
      line->at_ms <= story->last_ms + AFTER_MS)
    printf ("%s was killed and started again: it logged no end before\n", line->file);
}

static void
print_summary (const story_t *story)
{
  int64_t accepted_ms = 0;
  int64_t started_ms = 0;
  uint32_t runs = 0;
  uint32_t ends = 0;

  for (guint i = 0; i < story->lines->len; i++)
    {
      const line_t *line = story->lines->pdata[i];

      if (field_is (line, "event", "started"))
        explain_restart (story, i);
      if (!line->about)
        continue;
      if (field_is (line, "event", "refused"))
        explain_refusal (story, i);
      else if (field_is (line, "event", "accepted"))
        {
          printf ("accepted by %s\n", line->file);
          accepted_ms = accepted_ms == 0 ? line->at_ms : accepted_ms;
        }
      else if (field_is (line, "event", "run_started"))
        {
          started_ms = started_ms == 0 ? line->at_ms : started_ms;
          runs++;
        }
      else if (field_is (line, "event", "run_stop"))
        explain_stop (line);
      else if (field_is (line, "event", "run_ended"))
        {
          explain_end (line);
          ends++;
        }
    }
  if (accepted_ms == 0)
    printf ("missing: no entry accepted it in these logs\n");
  else if (started_ms == 0)
    printf ("missing: no scheduler started it in these logs\n");
  else
    explain_wait (story, accepted_ms, started_ms);
  if (runs > ends)
    printf ("missing: the end of %u of %u runs\n", runs - ends, runs);
}

typedef struct
{
  story_t story;
  GPtrArray *paths; /* of char, not owned */
} arguments_t;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->story.id == NULL)
        arguments->story.id = arg;
      else
        g_ptr_array_add (arguments->paths, arg);
      return 0;
    case ARGP_KEY_END:
      if (arguments->paths->len == 0)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
explain (story_t *story, const GPtrArray *paths)
{
  for (guint i = 0; i < paths->len; i++)
    read_log (story, paths->pdata[i]);
  if (story->failed)
    return CB_EXIT_USAGE;
  g_ptr_array_sort (story->lines, compare_lines);
  find_span (story);
  if (story->first_ms == 0)
    {
      printf ("no line of these logs names %s\n", story->id);
      return CB_EXIT_FAILED;
    }
  print_lines (story);
  printf ("\n");
  print_summary (story);
  return CB_EXIT_DONE;
}

/* Prints from the logs of all processes what happened to one job, in order of time, and
   what explains it. */
int
cb_cmd_explain (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse,
    .args_doc = "ID LOG...",
    .doc = "Print what the logs of entries and agents say of one batch job.\v"
           "Exit status: 0 found, 1 no line names it, 2 a log cannot be read."
  };
  arguments_t arguments = { .paths = g_ptr_array_new () };
  int status = CB_EXIT_USAGE;

  arguments.story.lines = g_ptr_array_new_with_free_func (free_line);
  arguments.story.workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) == 0)
    status = explain (&arguments.story, arguments.paths);
  g_ptr_array_free (arguments.story.lines, TRUE);
  g_hash_table_unref (arguments.story.workers);
  g_ptr_array_free (arguments.paths, TRUE);
  return status;
}
