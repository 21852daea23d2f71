/* Graceful shutdown of the agent: drain, goodbye to the home entry, exit. */
#include "cmd/agent_local.h"

/* Default of the setting agent_stop_ms: the longest wait for running tasks. */
#define DEFAULT_AGENT_STOP_MS 600000
/* Shortest time for which requests are refused with `draining`. The other entries learn
   of the drain from a heartbeat of the home entry, which takes up to one interval, and
   send requests until then. */
#define MIN_DRAIN_MS 1500
/* Wait between the goodbye and the exit: the last messages are sent, and requests that
   the entry sent before it received the goodbye are refused. */
#define GOODBYE_LINGER_MS 300

/* Handles SIGTERM or SIGINT: begins the graceful shutdown. A second signal is ignored.
   CTX is the cb_agent_t. */
void
cb_agent_on_signal (void *ctx, int signo)
{
  cb_agent_t *agent = ctx;
  char *fields;

  (void)signo;
  if (agent->shutdown_ms > 0)
    return;
  agent->shutdown_ms = cb_clock_now (cb_clock_system ());
  fields = g_strdup_printf ("\"in_flight\":%u", cb_serve_running_count (agent->serve));
  cb_trace_event (agent->trace, "term", fields);
  g_free (fields);
  cb_log (CB_LOG_INFO, "agent", "draining: %u requests and %u tasks are running",
          cb_serve_running_count (agent->serve), cb_gang_task_count (agent->gang));
  cb_serve_drain (agent->serve, TRUE);
  cb_gang_set_draining (agent->gang, TRUE);
  cb_agent_perform_outputs (agent);
}

static gboolean
is_idle (const cb_agent_t *agent, cb_msec_t now_ms)
{
  cb_msec_t limit_ms = agent->settings->agent_stop_ms > 0
                           ? agent->settings->agent_stop_ms
                           : DEFAULT_AGENT_STOP_MS;

  if (now_ms < agent->shutdown_ms + MIN_DRAIN_MS ||
      cb_serve_running_count (agent->serve) > 0)
    return FALSE;
  return cb_gang_task_count (agent->gang) == 0 ||
         now_ms >= agent->shutdown_ms + limit_ms;
}

/* Continues the shutdown once it has begun: sends the goodbye when MIN_DRAIN_MS have
   passed, all requests have ended and all tasks have ended or the wait for them has
   timed out. Stops the loop GOODBYE_LINGER_MS later. Called periodically. */
void
cb_agent_check_shutdown (cb_agent_t *agent, cb_msec_t now_ms)
{
  cb_outq_t queue;
  cb_out_t *out;

  if (agent->shutdown_ms == 0)
    return;
  if (agent->goodbye_ms > 0)
    {
      if (now_ms >= agent->goodbye_ms + GOODBYE_LINGER_MS)
        cb_loop_stop (agent->loop);
      return;
    }
  if (!is_idle (agent, now_ms))
    return;
  agent->goodbye_ms = now_ms;
  cb_outq_init (&queue);
  cb_outq_send (&queue, "", CB__ENVELOPE__BODY_GOODBYE);
  out = cb_outq_pop (&queue);
  cb_agent_send (agent, out->envelope);
  cb_out_free (out);
}
