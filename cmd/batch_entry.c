#include "cmd/batch.h"

/* Pause between two rounds without an event. */
#define TICK_MS 25
/* After SIGTERM: time for the load balancer, which checks once a second and needs two
   misses, and for callers that keep connections open. */
#define STOP_ACCEPT_MS 2600
/* Left of the grace for the last answers. */
#define STOP_REST_MS 600
/* An entry without requests may end this long after it stopped accepting. */
#define STOP_IDLE_MS 400

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
      if (!cb_batch_term_requested ())
        return;
      cb_event_unlimited (CB_LOG_INFO, "entry", "stopping", "pending=%u scheduler=%d",
                          cb_http_server_pending (entry->callers),
                          entry->own_epoch != 0);
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

  cb_batch_reload ("entry");
  check_term (entry, now_ms);
  cb_batch_pump (entry);
  cb_batch_save_tick (entry, now_ms);
  cb_batch_relay_register (entry);
}

/* Returns a new, empty state of the jobs. Freed with cb_batch_free. */
cb_batch_t *
cb_batch_new_state (const cb_batch_entry_t *entry)
{
  const cb_batch_params_t params = {
    .hold_max_ms = (cb_msec_t)entry->settings->hold_max_ms,
    .stop_ms = (cb_msec_t)entry->settings->stop_ms,
    .reclaim_ms = (cb_msec_t)entry->settings->reclaim_ms,
    .job_retention_ms = (cb_msec_t)entry->settings->status_s * 1000,
    .remote_slowdown = entry->settings->remote_slowdown,
    .counters = entry->counters,
  };

  return cb_batch_new (&params);
}

static int
run (Cb__PlatformSettings *settings)
{
  static cb_batch_entry_t
      entry; /* calls under way refer to it until the process ends */

  entry.settings = settings;
  entry.clock = cb_clock_system ();
  entry.identity =
      g_strdup_printf ("%s#%" PRId64, settings->name, cb_clock_wall (entry.clock));
  entry.loop = cb_loop_new ();
  entry.counters = cb_counters_new ();
  entry.store = cb_store_new (entry.loop, settings->store_address);
  entry.batch = cb_batch_new_state (&entry);
  entry.open_outcomes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry.avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry.saved_ms = cb_batch_now ();
  if (cb_batch_http_open (&entry) < 0)
    return CB_EXIT_USAGE;
  cb_event_unlimited (CB_LOG_INFO, "entry", "started",
                      "name=%s region=%s zone=%s callers=%s", entry.identity,
                      settings->region, settings->availability_zone,
                      settings->caller_address);
  cb_batch_log_open (&entry);
  cb_batch_config_open (&entry);
  entry.timer = cb_timer_new (entry.loop, 0, TICK_MS, on_tick, &entry);
  cb_loop_run (entry.loop);
  cb_event_unlimited (CB_LOG_INFO, "entry", "stopped", "name=%s", entry.identity);
  return CB_EXIT_DONE;
}

/* Runs an entry for batch jobs until SIGTERM. */
int
cb_cmd_batch_entry (int argc, char **argv)
{
  return cb_cmd_platform (argc, argv, "Run an entry for batch jobs.", run);
}
