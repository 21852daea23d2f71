#include "cmd/batch.h"

#include <argp.h>
#include <signal.h>
#include <string.h>
#include <time.h>

/* Of the process, as signals are. */
static volatile sig_atomic_t term_requested;
static volatile sig_atomic_t reload_requested;
static char *settings_path;
static Cb__PlatformSettings *current;

static void
on_signal (int signal_number)
{
  if (signal_number == SIGHUP)
    reload_requested = 1;
  else
    term_requested = 1;
}

/* Returns a clock in ms that also counts time in which the instance was suspended, as
   leases of others go on meanwhile. */
cb_msec_t
cb_batch_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (cb_msec_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* TRUE once SIGTERM or SIGINT has come. */
gboolean
cb_batch_term_requested (void)
{
  return term_requested != 0;
}

static void
apply_log_settings (const Cb__PlatformSettings *settings)
{
  cb_log_level_t level = CB_LOG_INFO;

  if (settings->log_level[0] != '\0')
    cb_log_level_parse (settings->log_level, &level);
  cb_log_set_level (level);
  cb_event_set_budget (settings->log_lines_per_s);
}

/* TRUE when A and B differ in more than the log's settings. */
static gboolean
needs_restart (const Cb__PlatformSettings *a, const Cb__PlatformSettings *b)
{
  Cb__PlatformSettings *copy = (Cb__PlatformSettings *)cb_msg_copy (&a->base);
  GBytes *x;
  GBytes *y = cb_msg_pack (&b->base);
  gboolean differs;

  cb_msg_set_string (&copy->log_level, b->log_level);
  copy->log_lines_per_s = b->log_lines_per_s;
  x = cb_msg_pack (&copy->base);
  differs = !g_bytes_equal (x, y);
  g_bytes_unref (x);
  g_bytes_unref (y);
  cb_msg_free (copy);
  return differs;
}

/* After SIGHUP, reads the settings file again and applies its log settings; all others
   take a restart, which one line of PART's log says. A file with errors changes
   nothing. Called from the timer of the process. */
void
cb_batch_reload (const char *part)
{
  Cb__PlatformSettings *settings = NULL;

  if (!reload_requested)
    return;
  reload_requested = 0;
  if (cb_platform_settings_read (settings_path, &settings) < 0)
    {
      cb_event_unlimited (CB_LOG_ERROR, part, "reload_failed", "settings=%s",
                          settings_path);
      return;
    }
  cb_event_unlimited (CB_LOG_INFO, part, "reloaded",
                      "log_level=%s log_lines_per_s=%u restart_needed=%d",
                      settings->log_level, settings->log_lines_per_s,
                      needs_restart (current, settings));
  apply_log_settings (settings);
  cb_msg_free (settings);
}

/* Returns the record that tells schedulers, and other entries, the ADDRESS of the
   process NAME: an entry's for callers, with the IDENTITY of its life, or, where that
   is NULL, an agent's for orders. The caller owns it. */
Cb__BatchRecord *
cb_batch_address_record (const char *name, const char *address, const char *identity)
{
  Cb__BatchRecord *record = cb_msg_new (&cb__batch_record__descriptor);

  record->body_case = CB__BATCH_RECORD__BODY_AGENT;
  record->agent = cb_msg_new (&cb__batch_agent__descriptor);
  cb_msg_set_string (&record->agent->name, name);
  cb_msg_set_string (&record->agent->address, address);
  record->agent->entry = identity != NULL;
  if (identity != NULL)
    cb_msg_set_string (&record->agent->identity, identity);
  return record;
}

/* Answers REQ with COUNTERS and what every process counts. */
void
cb_batch_reply_metrics (cb_http_req_t *req, cb_counters_t *counters,
                        const cb_store_t *store)
{
  char *text;

  cb_counters_set (counters, "store_calls_total", NULL, cb_store_call_count (store));
  cb_counters_set (counters, "log_lines_dropped_total", NULL, cb_event_dropped ());
  text = cb_counters_text (counters);
  cb_http_reply (req, 200, "text/plain; version=0.0.4", text, strlen (text));
  g_free (text);
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  if (key == 's')
    settings_path = arg;
  else if (key == ARGP_KEY_END && settings_path == NULL)
    argp_error (state, "--settings is missing");
  else
    return key == ARGP_KEY_END ? 0 : ARGP_ERR_UNKNOWN;
  return 0;
}

/* Parses `--settings FILE`, reads the file, takes over the signals and calls
   RUN_COMMAND with the settings, which are freed afterwards. Returns the exit status.
 */
int
cb_cmd_platform (int argc, char **argv, const char *doc,
                 int (*run_command) (Cb__PlatformSettings *settings))
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process", 0 },
    { 0 },
  };
  const struct argp argp = { .options = options, .parser = parse, .doc = doc };
  int status;

  if (argp_parse (&argp, argc, argv, 0, NULL, NULL) != 0 ||
      cb_platform_settings_read (settings_path, &current) < 0)
    return CB_EXIT_USAGE;
  apply_log_settings (current);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
  signal (SIGPIPE, SIG_IGN);
  status = run_command (current);
  cb_msg_free (current);
  return status;
}
