/* What the processes of batch-entry and batch-agent have in common: settings, signals,
   the clock and metrics. */
#include "cmd/batch.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>

/* Larger blocks return to the system when they are freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

/* Global, as the signal handler sets them. */
static volatile sig_atomic_t term_requested;
static volatile sig_atomic_t reload_requested;

static char *settings_path;
static Cb__PlatformSettings *current_settings;

static void
on_signal (int signal_number)
{
  if (signal_number == SIGHUP)
    reload_requested = 1;
  else
    term_requested = 1;
}

/* Returns the time since boot, see cb_clock_now. */
cb_msec_t
cb_batch_now_ms (void)
{
  return cb_clock_now (cb_clock_system ());
}

/* Returns TRUE once SIGTERM or SIGINT has arrived. */
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

/* Returns TRUE when A and B differ in settings other than those of logging. */
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

/* After SIGHUP, reads the settings file again and applies log_level and
   log_lines_per_s. Changes of other settings take effect at the next restart; a log
   line of PART (`entry` or `agent`) shows whether one is needed. If the file can't be
   read or is invalid, nothing changes. Called periodically. */
void
cb_batch_reload_settings (const char *part)
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
                      needs_restart (current_settings, settings));
  apply_log_settings (settings);
  cb_msg_free (settings);
}

/* Returns a record that registers ADDRESS for the process NAME: the address for callers
   of an entry whose incarnation is IDENTITY and which may use CPU_SHARE of a core, or,
   when IDENTITY is NULL, the address for commands of an agent. The caller owns the
   record. */
Cb__BatchRecord *
cb_batch_address_record (const char *name, const char *address, const char *identity,
                         double cpu_share, uint64_t read_epoch)
{
  Cb__BatchRecord *record = cb_msg_new (&cb__batch_record__descriptor);

  record->body_case = CB__BATCH_RECORD__BODY_AGENT;
  record->agent = cb_msg_new (&cb__batch_agent__descriptor);
  cb_msg_set_string (&record->agent->name, name);
  cb_msg_set_string (&record->agent->address, address);
  record->agent->entry = identity != NULL;
  if (identity != NULL)
    cb_msg_set_string (&record->agent->identity, identity);
  record->agent->cpu_milli = (uint32_t)(cpu_share * 1000);
  record->agent->read_epoch = read_epoch;
  return record;
}

/* Replies to REQ with COUNTERS, to which the calls to STORE and the dropped log lines
   are added. */
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

/* Parses `--settings FILE`, reads the file, installs the signal handlers and calls
   RUN_COMMAND with the settings, which are freed when it returns. DOC is the help text.
   Returns the exit status of RUN_COMMAND, or CB_EXIT_USAGE when the arguments or the
   file are invalid. */
int
cb_cmd_run_platform (int argc, char **argv, const char *doc,
                     int (*run_command) (Cb__PlatformSettings *settings))
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process", 0 },
    { 0 },
  };
  const struct argp argp = { .options = options, .parser = parse, .doc = doc };
  int status;

  if (argp_parse (&argp, argc, argv, 0, NULL, NULL) != 0 ||
      cb_platform_settings_read (settings_path, &current_settings) < 0)
    return CB_EXIT_USAGE;
  /* By default, glibc raises this threshold with the size of freed blocks, up to 32 MB,
     and keeps what is freed below it: the buffers of large requests. */
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  apply_log_settings (current_settings);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
  signal (SIGPIPE, SIG_IGN);
  status = run_command (current_settings);
  cb_msg_free (current_settings);
  return status;
}
