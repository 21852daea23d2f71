/* The command `carobrun batch-entry`: start, timer and end of the process. */
#include "cmd/batch.h"

/* Interval of periodic work: of the scheduler and while records wait to be appended
   or the log does not answer, and otherwise. */
#define TICK_MS 25
#define IDLE_TICK_MS 100
/* After SIGTERM, requests are accepted for this long: the load balancer checks once a
   second and removes the entry after two failed checks, and callers keep connections
   open. */
#define ACCEPT_AFTER_TERM_MS 2600
/* The entry exits at the latest this long before its grace period ends and SIGKILL
   follows. Until then it replies to pending requests. */
#define EXIT_MARGIN_MS 600
/* An entry without pending requests and appends exits this long after it stopped
   accepting requests. */
#define IDLE_EXIT_MS 400

/* Bound of the encoded fields of a record beside the batch record that it holds:
   producer, sequence and time. */
#define RECORD_ENVELOPE_BYTES 1024

/* Does the work that is due: as the scheduler, makes decisions and sends commands;
   otherwise claims the role when it is free. Appends all queued records. */
void
cb_batch_process_due (cb_batch_entry_t *entry)
{
  cb_msec_t now_ms = cb_batch_now_ms ();

  cb_batch_log_limit_waits (entry);
  cb_batch_scheduler_tick (entry, now_ms);
  cb_writer_tick (entry->writer, now_ms);
}

static void
continue_shutdown (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t since_ms;
  cb_msec_t grace_ms = (cb_msec_t)(entry->settings->grace_s * 1000);

  if (entry->term_ms == 0)
    {
      if (!cb_batch_term_requested ())
        return;
      cb_event_unlimited (CB_LOG_INFO, "entry", "stopping", "pending=%u scheduler=%d",
                          cb_http_server_pending (entry->caller_server),
                          entry->own_epoch != 0);
      cb_batch_scheduler_resign (entry);
      entry->term_ms = now_ms;
    }
  since_ms = now_ms - entry->term_ms;
  if (since_ms < ACCEPT_AFTER_TERM_MS)
    return;
  cb_http_server_close (entry->caller_server);
  if (since_ms > grace_ms - EXIT_MARGIN_MS ||
      (since_ms > ACCEPT_AFTER_TERM_MS + IDLE_EXIT_MS &&
       cb_http_server_pending (entry->caller_server) == 0 &&
       cb_writer_pending (entry->writer) == 0))
    cb_loop_stop (entry->loop);
}

static void
on_tick (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  cb_msec_t now_ms = cb_batch_now_ms ();
  gboolean busy;

  cb_batch_reload_settings ("entry");
  continue_shutdown (entry, now_ms);
  cb_batch_process_due (entry);
  cb_batch_answer_cancels (entry, now_ms);
  cb_batch_snapshot_tick (entry, now_ms);
  cb_batch_register_address (entry);
  busy =
      entry->own_epoch != 0 || cb_writer_pending (entry->writer) > 0 || !entry->healthy;
  cb_timer_free (entry->tick_timer);
  entry->tick_timer =
      cb_timer_new (entry->loop, busy ? TICK_MS : IDLE_TICK_MS, 0, on_tick, entry);
}

/* Returns an empty job state with the parameters of ENTRY's settings. Freed with
   cb_batch_free. */
cb_batch_t *
cb_batch_new_state (const cb_batch_entry_t *entry)
{
  const cb_batch_params_t params = {
    .hold_max_ms = (cb_msec_t)entry->settings->hold_max_ms,
    .stop_ms = (cb_msec_t)entry->settings->stop_ms,
    .reclaim_ms = (cb_msec_t)entry->settings->reclaim_ms,
    .job_retention_ms = (cb_msec_t)entry->settings->status_s * 1000,
    .remote_slowdown = entry->settings->remote_slowdown,
    .record_bytes_max = CB_WRITER_RECORD_BYTES_MAX - RECORD_ENVELOPE_BYTES,
    .open_tasks_max = cb_platform_open_tasks_max (entry->settings),
    .counters = entry->counters,
  };

  cb_batch_t *batch = cb_batch_new (&params);

  cb_batch_ignore_interference (batch, !entry->settings->interference_avoided);
  cb_batch_use_fair_queueing (batch, entry->settings->fair_queueing);
  return batch;
}

static int
run (Cb__PlatformSettings *settings)
{
  /* Static, as callbacks of pending calls use it until the process exits. */
  static cb_batch_entry_t entry;

  entry.settings = settings;
  entry.clock = cb_clock_system ();
  entry.identity =
      g_strdup_printf ("%s#%" PRId64, settings->name, cb_clock_wall (entry.clock));
  entry.loop = cb_loop_new ();
  cb_wire_limit (entry.loop, cb_platform_message_bytes_max (settings));
  entry.counters = cb_counters_new ();
  entry.store = cb_store_new (entry.loop, settings->store_address);
  entry.batch = cb_batch_new_state (&entry);
  entry.unresolved_submissions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry.avoided_entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry.snapshot_ended_ms = cb_batch_now_ms ();
  if (cb_batch_http_listen (&entry) < 0)
    return CB_EXIT_USAGE;
  cb_event_unlimited (CB_LOG_INFO, "entry", "started",
                      "name=%s region=%s zone=%s callers=%s", entry.identity,
                      settings->region, settings->availability_zone,
                      settings->caller_address);
  cb_batch_log_start (&entry);
  cb_batch_config_start (&entry);
  entry.tick_timer = cb_timer_new (entry.loop, 0, 0, on_tick, &entry);
  cb_loop_run (entry.loop);
  cb_event_unlimited (CB_LOG_INFO, "entry", "stopped", "name=%s", entry.identity);
  return CB_EXIT_DONE;
}

/* Implements `carobrun batch-entry`: runs an entry for batch jobs until SIGTERM or
   SIGINT. */
int
cb_cmd_batch_entry (int argc, char **argv)
{
  return cb_cmd_run_platform (argc, argv, "Run an entry for batch jobs.", run);
}
