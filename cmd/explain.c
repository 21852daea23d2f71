/* The command `carobrun explain`: prints from the log files of all processes what
   happened to one batch job and why. The log that entries share is called the store's
   log here. */
#include "cmd/fns.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

/* Context lines, which do not name the job but explain the state of its processes, are
   printed from this long before the first line that names the job. It must exceed the
   2 s that an entry's long poll of the store's log may take to detect that the log is
   unavailable. */
#define CONTEXT_BEFORE_MS 3000
/* Context lines are printed until this long after the last line that names the job. */
#define CONTEXT_AFTER_MS 1000

typedef struct
{
  const char *file;   /* name of its log, see log_name; not owned */
  char *text;         /* without the time stamp */
  int64_t at_ms;      /* wall clock time */
  uint32_t number;    /* index of the line in the file, from 0 */
  gboolean names_job; /* contains the ID of the job */
} log_line_t;

typedef struct
{
  const char *id;
  GPtrArray *lines;    /* of log_line_t */
  GHashTable *workers; /* set of the names of workers in lines that name the job */
  int64_t first_ms;    /* time of the first line that names the job; 0: none does */
  int64_t last_ms;     /* time of the last such line */
  gboolean failed;     /* a file could not be read */
} job_log_t;

/* Events whose lines are context lines: they can be the cause of events of the job in
   another process. */
static const char *const context_events[] = {
  "log_lost",       "log_regained",       "claim",         "scheduler_gained",
  "scheduler_lost", "config_in_force",    "started",       "stopping",
  "stopped",        "worker_lapsed",      "worker_gone",   "worker_draining",
  "worker_lost",    "worker_unreachable", "advice_failed", "lines_omitted",
};

static void
free_line (void *ptr)
{
  log_line_t *line = ptr;

  g_free (line->text);
  g_free (line);
}

/* Returns the value of the field NAME of LINE, freed with g_free, or NULL when the line
   has no such field. */
static char *
field_value (const log_line_t *line, const char *name)
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
field_is (const log_line_t *line, const char *name, const char *value)
{
  char *found = field_value (line, name);
  gboolean same = g_strcmp0 (found, value) == 0;

  g_free (found);
  return same;
}

static gboolean
is_id_char (char c)
{
  return g_ascii_isalnum (c) || c == '-' || c == '_' || c == '.';
}

/* Returns whether TEXT contains ID as a whole value or part of a path, and not only
   within a longer ID or as the name of a field. */
static gboolean
names_id (const char *text, const char *id)
{
  size_t len = strlen (id);

  for (const char *at = strstr (text, id); at != NULL && len > 0;
       at = strstr (at + 1, id))
    if ((at == text || !is_id_char (at[-1])) && !is_id_char (at[len]) && at[len] != '=')
      return TRUE;
  return FALSE;
}

/* Parses TEXT. Returns NULL when it does not start with a time stamp. */
static log_line_t *
read_line (job_log_t *job_log, const char *file, uint32_t number, const char *text)
{
  size_t len = strcspn (text, " ");
  char *stamp;
  GDateTime *time;
  log_line_t *line;

  if (!g_str_has_prefix (text, "ts=") || text[len] == '\0')
    return NULL;
  stamp = g_strndup (text + 3, len - 3);
  time = g_date_time_new_from_iso8601 (stamp, NULL);
  g_free (stamp);
  if (time == NULL)
    return NULL;
  line = g_new0 (log_line_t, 1);
  line->file = file;
  line->number = number;
  line->text = g_strdup (text + len + 1);
  line->at_ms =
      g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
  line->names_job = names_id (line->text, job_log->id);
  g_date_time_unref (time);
  return line;
}

static const char *
base_name (const char *path)
{
  const char *slash = strrchr (path, '/');

  return slash == NULL ? path : slash + 1;
}

/* Returns the name under which the log at INDEX of PATHS is printed, which points into
   its path: the base name, or the whole path when several have this base name. */
static const char *
log_name (const GPtrArray *paths, guint index)
{
  const char *name = base_name (paths->pdata[index]);

  for (guint i = 0; i < paths->len; i++)
    if (i != index && strcmp (base_name (paths->pdata[i]), name) == 0)
      return paths->pdata[index];
  return name;
}

static void
read_log (job_log_t *job_log, const char *path, const char *name)
{
  gchar *text = NULL;
  GError *error = NULL;
  char **rows;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      fprintf (stderr, "carobrun explain: %s\n", error->message);
      g_error_free (error);
      job_log->failed = TRUE;
      return;
    }
  rows = g_strsplit (text, "\n", -1);
  g_free (text);
  for (uint32_t i = 0; rows[i] != NULL; i++)
    {
      log_line_t *line = read_line (job_log, name, i, rows[i]);

      if (line != NULL)
        g_ptr_array_add (job_log->lines, line);
    }
  g_strfreev (rows);
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const log_line_t *x = *(log_line_t *const *)a;
  const log_line_t *y = *(log_line_t *const *)b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->file == y->file ? (x->number > y->number) - (x->number < y->number)
                            : strcmp (x->file, y->file);
}

/* Finds the workers of the job and the times of the first and last line that name it.
 */
static void
find_time_span (job_log_t *job_log)
{
  for (guint i = 0; i < job_log->lines->len; i++)
    {
      const log_line_t *line = job_log->lines->pdata[i];
      char *worker;

      if (!line->names_job)
        continue;
      if (job_log->first_ms == 0)
        job_log->first_ms = line->at_ms;
      job_log->last_ms = line->at_ms;
      worker = field_value (line, "worker");
      if (worker != NULL)
        g_hash_table_add (job_log->workers, worker);
    }
}

/* Returns TRUE for a context line: an event of context_events, close in time to the
   lines of the job, whose `worker` field is a worker of the job or is absent. */
static gboolean
is_context (const job_log_t *job_log, const log_line_t *line)
{
  char *worker = field_value (line, "worker");
  gboolean other = worker != NULL && !g_hash_table_contains (job_log->workers, worker);
  gboolean listed = FALSE;

  g_free (worker);
  if (other || line->at_ms < job_log->first_ms - CONTEXT_BEFORE_MS ||
      line->at_ms > job_log->last_ms + CONTEXT_AFTER_MS)
    return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (context_events) && !listed; i++)
    listed = field_is (line, "event", context_events[i]);
  return listed;
}

/* Prints the lines that name the job, marked with `*`, and the context lines, each with
   its time in s since the first line that names the job. */
static void
print_lines (const job_log_t *job_log)
{
  for (guint i = 0; i < job_log->lines->len; i++)
    {
      const log_line_t *line = job_log->lines->pdata[i];

      if (line->names_job || is_context (job_log, line))
        printf ("%c %+9.3f %s %s\n", line->names_job ? '*' : ' ',
                (double)(line->at_ms - job_log->first_ms) / 1000, line->file,
                line->text);
    }
}

/* Returns the last line before position END that is from the same file as the line at
   END and has one of the two events, or NULL. */
static const log_line_t *
find_last_event (const job_log_t *job_log, guint end, const char *event,
                 const char *or_event)
{
  const log_line_t *from = job_log->lines->pdata[end];

  for (guint i = end; i > 0; i--)
    {
      const log_line_t *line = job_log->lines->pdata[i - 1];

      if (strcmp (line->file, from->file) == 0 &&
          (field_is (line, "event", event) || field_is (line, "event", or_event)))
        return line;
    }
  return NULL;
}

static void
explain_refusal (const job_log_t *job_log, guint i)
{
  const log_line_t *line = job_log->lines->pdata[i];
  const log_line_t *log = find_last_event (job_log, i, "log_lost", "log_regained");
  char *status = field_value (line, "status");
  char *reason = field_value (line, "reason");

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

/* Prints OUTCOME for the run that LINE reports, and CAUSE unless it is NULL. */
static void
print_run (const log_line_t *line, const char *outcome, const char *cause)
{
  char *task = field_value (line, "task");
  char *run = field_value (line, "run");
  char *worker = field_value (line, "worker");

  printf ("run %s of task %s on %s %s%s%s\n", run, task, worker, outcome,
          cause == NULL ? "" : "; cause: ", cause == NULL ? "" : cause);
  g_free (task);
  g_free (run);
  g_free (worker);
}

static void
explain_stop (const log_line_t *line)
{
  char *why = field_value (line, "why");

  print_run (line, "received a stop command", why);
  g_free (why);
}

static void
explain_end (const log_line_t *line)
{
  char *how = field_value (line, "how");
  char *outcome = g_strdup_printf ("ended as %s", how);

  if (g_strcmp0 (how, "run_lost") == 0)
    print_run (line, outcome, "its worker ended, was replaced or did not answer");
  else if (g_strcmp0 (how, "run_done") != 0 && g_strcmp0 (how, "run_stopped") != 0)
    print_run (line, outcome, NULL);
  g_free (outcome);
  g_free (how);
}

/* Prints how long the job waited for its first run, and the changes of the scheduler in
   that time. */
static void
explain_wait (const job_log_t *job_log, int64_t accepted_ms, int64_t started_ms)
{
  printf ("waited %.3f s for its first run\n",
          (double)(started_ms - accepted_ms) / 1000);
  for (guint i = 0; i < job_log->lines->len; i++)
    {
      const log_line_t *line = job_log->lines->pdata[i];

      if (line->at_ms >= accepted_ms && line->at_ms <= started_ms &&
          field_is (line, "event", "scheduler_gained"))
        printf ("cause of waiting: %s became the scheduler meanwhile\n", line->file);
    }
}

/* Prints that a process was killed when it logged no `stopped` event between its
   previous start and the one in line I. Starts that are not close in time to the lines
   of the job are ignored. */
static void
explain_restart (const job_log_t *job_log, guint i)
{
  const log_line_t *line = job_log->lines->pdata[i];
  const log_line_t *before = find_last_event (job_log, i, "started", "stopped");

  if (before != NULL && field_is (before, "event", "started") &&
      line->at_ms >= job_log->first_ms - CONTEXT_BEFORE_MS &&
      line->at_ms <= job_log->last_ms + CONTEXT_AFTER_MS)
    printf ("%s was killed and started again: it logged no end before\n", line->file);
}

static void
print_summary (const job_log_t *job_log)
{
  int64_t accepted_ms = 0;
  int64_t started_ms = 0;
  uint32_t runs = 0;
  uint32_t ends = 0;

  for (guint i = 0; i < job_log->lines->len; i++)
    {
      const log_line_t *line = job_log->lines->pdata[i];

      if (field_is (line, "event", "started"))
        explain_restart (job_log, i);
      if (!line->names_job)
        continue;
      if (field_is (line, "event", "refused"))
        explain_refusal (job_log, i);
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
    explain_wait (job_log, accepted_ms, started_ms);
  if (runs > ends)
    printf ("missing: the end of %u of %u runs\n", runs - ends, runs);
}

typedef struct
{
  job_log_t job_log;
  GPtrArray *paths; /* of char *, not owned */
} arguments_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->job_log.id == NULL)
        arguments->job_log.id = arg;
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
explain (job_log_t *job_log, const GPtrArray *paths)
{
  for (guint i = 0; i < paths->len; i++)
    read_log (job_log, paths->pdata[i], log_name (paths, i));
  if (job_log->failed)
    return CB_EXIT_USAGE;
  g_ptr_array_sort (job_log->lines, compare_lines);
  find_time_span (job_log);
  if (job_log->first_ms == 0)
    {
      printf ("no line of these logs names %s\n", job_log->id);
      return CB_EXIT_FAILED;
    }
  print_lines (job_log);
  printf ("\n");
  print_summary (job_log);
  return CB_EXIT_DONE;
}

/* Prints the log lines of one job and of its context in the order of time, and then a
   summary with the causes that the lines show. Returns the exit status. */
int
cb_cmd_explain (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse_option,
    .args_doc = "ID LOG...",
    .doc = "Print what the logs of entries and agents report about one batch job.\v"
           "Exit status: 0 found, 1 no line names it, 2 a log cannot be read."
  };
  arguments_t arguments = { .paths = g_ptr_array_new () };
  int status = CB_EXIT_USAGE;

  arguments.job_log.lines = g_ptr_array_new_with_free_func (free_line);
  arguments.job_log.workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) == 0)
    status = explain (&arguments.job_log, arguments.paths);
  g_ptr_array_free (arguments.job_log.lines, TRUE);
  g_hash_table_unref (arguments.job_log.workers);
  g_ptr_array_free (arguments.paths, TRUE);
  return status;
}
