#include "cmd/batch.h"

#include <argp.h>
#include <signal.h>
#include <time.h>

/* Pause between two rounds without an event. */
#define TICK_MS 25
/* After SIGTERM: time for the load balancer, which checks once a second and needs two
   misses, and for callers that keep connections open. */
#define STOP_ACCEPT_MS 2600
/* Left of the grace for the last answers. */
#define STOP_REST_MS 600
/* An entry without requests may end this long after it stopped accepting. */
#define STOP_IDLE_MS 400

static volatile sig_atomic_t term_requested;

static void
on_signal (int signal_number)
{
  (void)signal_number;
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

/* Does what is due: decisions, appends and orders. */
void
cb_batch_pump (cb_batch_entry_t *entry)
{
  cb_msec_t now_ms = cb_batch_now ();

  cb_batch_lead_tick (entry, now_ms);
  cb_writer_tick (entry->writer, now_ms);
}

static void
check_term (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t since_ms;
  cb_msec_t grace_ms = (cb_msec_t)(entry->settings->grace_s * 1000);

  if (entry->term_ms == 0)
    {
      if (!term_requested)
        return;
      cb_event_always (CB_LOG_INFO, "entry", "stopping", "pending=%u scheduler=%d",
                       cb_http_server_pending (entry->callers), entry->own_epoch != 0);
      cb_batch_lead_resign (entry);
      entry->term_ms = now_ms;
    }
  since_ms = now_ms - entry->term_ms;
  if (since_ms < STOP_ACCEPT_MS)
    return;
  cb_http_server_close (entry->callers);
  if (since_ms > grace_ms - STOP_REST_MS ||
      (since_ms > STOP_ACCEPT_MS + STOP_IDLE_MS &&
       cb_http_server_pending (entry->callers) == 0 &&
       cb_writer_pending (entry->writer) == 0))
    cb_loop_stop (entry->loop);
}

static void
on_tick (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  cb_msec_t now_ms = cb_batch_now ();

  check_term (entry, now_ms);
  cb_batch_pump (entry);
  cb_batch_save_tick (entry, now_ms);
  cb_batch_relay_register (entry);
}

static int
run (Cb__PlatformSettings *settings)
{
  static cb_batch_entry_t
      entry; /* calls under way refer to it until the process ends */
  cb_batch_params_t params = {
    .hold_max_ms = (cb_msec_t)settings->hold_max_ms,
    .stop_ms = (cb_msec_t)settings->stop_ms,
    .reclaim_ms = (cb_msec_t)settings->reclaim_ms,
    .status_ms = (cb_msec_t)settings->status_s * 1000,
    .remote_slowdown = settings->remote_slowdown,
  };

  entry.settings = settings;
  entry.clock = cb_clock_system ();
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGHUP, SIG_IGN);
  entry.identity =
      g_strdup_printf ("%s#%" PRId64, settings->name, cb_clock_wall (entry.clock));
  entry.loop = cb_loop_new ();
  entry.counters = cb_counters_new ();
  entry.store = cb_store_new (entry.loop, settings->store_address);
  params.counters = entry.counters;
  entry.batch = cb_batch_new (&params);
  entry.saved_ms = cb_batch_now ();
  if (cb_batch_http_open (&entry) < 0)
    return CB_EXIT_USAGE;
  cb_event_always (CB_LOG_INFO, "entry", "started", "name=%s zone=%s callers=%s",
                   entry.identity, settings->availability_zone,
                   settings->caller_address);
  cb_batch_log_open (&entry);
  cb_batch_config_open (&entry);
  entry.timer = cb_timer_new (entry.loop, 0, TICK_MS, on_tick, &entry);
  cb_loop_run (entry.loop);
  cb_event_always (CB_LOG_INFO, "entry", "stopped", "name=%s", entry.identity);
  return CB_EXIT_DONE;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  char **path = state->input;

  if (key == 's')
    *path = arg;
  else if (key == ARGP_KEY_END && *path == NULL)
    argp_error (state, "--settings is missing");
  else
    return key == ARGP_KEY_END ? 0 : ARGP_ERR_UNKNOWN;
  return 0;
}

/* Parses `--settings FILE`, reads the file and calls RUN with the settings, which are
   freed afterwards. Returns the exit status. */
int
cb_cmd_platform (int argc, char **argv, const char *doc,
                 int (*run_command) (Cb__PlatformSettings *settings))
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process", 0 },
    { 0 },
  };
  const struct argp argp = { .options = options, .parser = parse, .doc = doc };
  Cb__PlatformSettings *settings = NULL;
  cb_log_level_t level;
  char *path = NULL;
  int status;

  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0 ||
      cb_platform_settings_read (path, &settings) < 0)
    return CB_EXIT_USAGE;
  if (cb_log_level_parse (settings->log_level, &level) == CB_OK)
    cb_log_set_level (level);
  cb_event_budget (settings->log_lines_per_s);
  status = run_command (settings);
  cb_msg_free (settings);
  return status;
}

/* Runs an entry for batch jobs until SIGTERM. */
int
cb_cmd_batch_entry (int argc, char **argv)
{
  return cb_cmd_platform (argc, argv, "Run an entry for batch jobs.", run);
}
