/* The command `carobrun batch-agent`: start, timer and end of the process, and messages
   from schedulers. */
#include <string.h>

#include "cmd/batch_agent.h"

/* When no commands arrive from a scheduler for this long, the agent registers again,
   and then again after pauses that double up to REGISTER_PAUSE_MAX_MS: a scheduler that
   is overloaded must not get more to read. */
#define REGISTER_SILENCE_MS 3000
#define REGISTER_PAUSE_MAX_MS 12000
/* Longest time for which a worker accepts to hold a call for its lists. */
#define REPORT_INTERVAL_MAX_MS 2000
/* Interval of the timer that does periodic work. */
#define TICK_MS 50
/* After SIGTERM, pending calls to the worker have this long to end. */
#define STOP_DELAY_MS 300

static void
on_envelope (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_batch_agent_t *agent = ctx;

  (void)bytes;
  if (envelope->body_case != CB__ENVELOPE__BODY_WORKER_ORDERS)
    return;
  if (envelope->epoch < agent->epoch)
    {
      cb_event (CB_LOG_INFO, "agent", "orders_refused",
                "scheduler=%s epoch=%" PRIu64 " newer=%" PRIu64, peer, envelope->epoch,
                agent->epoch);
      return;
    }
  agent->last_commands_ms = cb_batch_now_ms ();
  agent->registration_pause_ms = REGISTER_SILENCE_MS;
  if (envelope->worker_orders->report_interval_ms > 0)
    agent->report_interval_ms =
        MIN (envelope->worker_orders->report_interval_ms, REPORT_INTERVAL_MAX_MS);
  if (envelope->epoch > agent->epoch)
    {
      cb_event_unlimited (CB_LOG_INFO, "agent", "scheduler_changed",
                          "scheduler=%s epoch=%" PRIu64 " earlier=%" PRIu64, peer,
                          envelope->epoch, agent->epoch);
      agent->epoch = envelope->epoch;
      cb_batch_agent_drop_commands (agent);
    }
  if (agent->scheduler == NULL || strcmp (agent->scheduler, peer) != 0)
    {
      g_free (agent->scheduler);
      agent->scheduler = g_strdup (peer);
      cb_batch_agent_send_report (agent);
    }
  else if (agent->last_commands_ms - agent->last_report_ms > agent->report_interval_ms)
    cb_batch_agent_send_report (agent);
  if (cb_batch_agent_has_worker (agent))
    cb_batch_agent_set_commands (agent, envelope->worker_orders);
  cb_batch_agent_poll_worker (agent);
}

static void
on_metrics (void *ctx, cb_http_req_t *req)
{
  cb_batch_agent_t *agent = ctx;

  cb_counters_set (agent->counters, "tasks_running", NULL, agent->report->n_running);
  cb_counters_set (agent->counters, "worker_draining", NULL, agent->report->draining);
  cb_batch_server_gauges (agent->counters, agent->control_server, CB_LISTENER_CONTROL);
  cb_batch_server_gauges (agent->counters, agent->metrics_server, CB_LISTENER_METRICS);
  cb_batch_reply_metrics (req, agent->counters, agent->store);
}

static void
on_registered (void *ctx, int err, uint64_t offset)
{
  cb_batch_agent_t *agent = ctx;

  agent->registering = FALSE;
  if (err < 0)
    agent->registration_ms =
        cb_batch_now_ms () - agent->registration_pause_ms + CB_AGENT_RETRY_MS;
  else
    agent->registration_pause_ms =
        MIN (2 * agent->registration_pause_ms, REGISTER_PAUSE_MAX_MS);
  /* A failed registration has the same event name, with an ERR other than 0. */
  cb_event (err < 0 ? CB_LOG_WARN : CB_LOG_INFO, "agent", "registered",
            "err=%d offset=%" PRIu64, err, offset);
}

/* Appends a record with this agent's address to the log for the scheduler. */
static void
register_agent (cb_batch_agent_t *agent)
{
  Cb__RecordBatch *batch = cb_msg_new (&cb__record_batch__descriptor);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  GBytes *bytes;
  gsize size;
  const void *data;

  record->body_case = CB__RECORD__BODY_BATCH;
  record->time_ms = (uint64_t)cb_clock_wall (cb_clock_system ());
  record->batch = cb_batch_address_record (agent->settings->name,
                                           agent->settings->wire_address, NULL, 0, 0);
  cb_msg_append ((void ***)&batch->records, &batch->n_records, record);
  bytes = cb_msg_pack (&batch->base);
  data = g_bytes_get_data (bytes, &size);
  agent->registering = TRUE;
  agent->registration_ms = cb_batch_now_ms ();
  cb_logc_append (cb_store_log (agent->store), CB_BATCH_STREAM, data, size,
                  on_registered, agent);
  g_bytes_unref (bytes);
  cb_msg_free (batch);
}

static void
on_tick (void *ctx)
{
  cb_batch_agent_t *agent = ctx;
  cb_msec_t now_ms = cb_batch_now_ms ();

  cb_batch_reload_settings ("agent");
  if (cb_batch_term_requested () && agent->term_ms == 0)
    {
      agent->term_ms = now_ms;
      cb_event_unlimited (CB_LOG_INFO, "agent", "stopping", "running=%zu",
                          agent->report->n_running);
    }
  if (agent->term_ms != 0 && now_ms - agent->term_ms > STOP_DELAY_MS)
    {
      cb_loop_stop (agent->loop);
      return;
    }
  if (!agent->registering &&
      now_ms - agent->registration_ms > agent->registration_pause_ms &&
      now_ms - agent->last_commands_ms > REGISTER_SILENCE_MS)
    register_agent (agent);
  cb_batch_agent_answer_leave (agent);
  cb_batch_agent_poll_worker (agent);
  if (agent->refusals_wait)
    cb_batch_agent_send_report (agent);
  if (agent->term_ms == 0)
    cb_batch_agent_send_commands (agent);
}

static int
run (Cb__PlatformSettings *settings)
{
  /* Static, as callbacks of pending calls use it until the process exits. */
  static cb_batch_agent_t agent;

  agent.settings = settings;
  agent.loop = cb_loop_new ();
  cb_wire_limit (agent.loop, cb_platform_message_bytes_max (settings));
  agent.store = cb_store_new (agent.loop, settings->store_address);
  agent.counters = cb_counters_new ();
  agent.report = cb_msg_new (&cb__worker_report__descriptor);
  agent.shown_runs = cb_batch_shown_runs_new ();
  agent.ended_workers = cb_batch_agent_ended_workers_new ();
  cb_batch_agent_commands_init (&agent);
  cb_batch_agent_unread_init (&agent);
  agent.unresolved_start_ms = cb_batch_now_ms ();
  agent.last_commands_ms = cb_batch_now_ms () - REGISTER_SILENCE_MS - 1;
  agent.registration_ms = agent.last_commands_ms;
  agent.registration_pause_ms = REGISTER_SILENCE_MS;
  agent.report_interval_ms = CB_AGENT_REPORT_INTERVAL_MS;
  if (cb_wire_listen (agent.loop, settings->wire_address, on_envelope, &agent,
                      &agent.wire) < 0 ||
      cb_http_listen (agent.loop, settings->control_address, cb_batch_agent_on_control,
                      &agent, &agent.control_server) < 0 ||
      (settings->metrics_address[0] != '\0' &&
       cb_http_listen (agent.loop, settings->metrics_address, on_metrics, &agent,
                       &agent.metrics_server) < 0))
    {
      cb_event_unlimited (CB_LOG_ERROR, "agent", "listen_failed",
                          "wire=%s control=%s metrics=%s", settings->wire_address,
                          settings->control_address, settings->metrics_address);
      return CB_EXIT_USAGE;
    }
  cb_batch_limit_server (agent.control_server, settings, CB_LISTENER_CONTROL, NULL);
  cb_batch_limit_server (agent.metrics_server, settings, CB_LISTENER_METRICS, NULL);
  cb_event_unlimited (CB_LOG_INFO, "agent", "started",
                      "name=%s region=%s zone=%s wire=%s", settings->name,
                      settings->region, settings->availability_zone,
                      settings->wire_address);
  agent.tick_timer = cb_timer_new (agent.loop, 0, TICK_MS, on_tick, &agent);
  cb_loop_run (agent.loop);
  cb_event_unlimited (CB_LOG_INFO, "agent", "stopped", "name=%s", settings->name);
  return CB_EXIT_DONE;
}

/* Implements `carobrun batch-agent`: runs the agent beside a worker of the platform
   until SIGTERM or SIGINT. */
int
cb_cmd_batch_agent (int argc, char **argv)
{
  return cb_cmd_run_platform (argc, argv, "Run the agent beside a worker.", run);
}
