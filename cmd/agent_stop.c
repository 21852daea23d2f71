#include "cmd/agent_local.h"

/* Longest wait for running tasks when the settings name none. */
#define DEFAULT_STOP_MS 600000
/* Refusals with `draining` are given at least this long: the notice passes the home
   entry's heartbeat to the other entries, which takes up to a heartbeat interval. */
#define MIN_DRAIN_MS 1500
/* Time for the last messages to leave the socket, and for requests that crossed the
   goodbye to be refused. */
#define BYE_MS 300

/* SIGTERM or SIGINT: begins the graceful shutdown. A repeat changes nothing. */
void
cb_agent_on_signal (void *ctx, int signo)
{
  cb_agent_t *agent = ctx;
  char *fields;

  (void)signo;
  if (agent->term_ms > 0)
    return;
  agent->term_ms = cb_clock_now (cb_clock_system ());
  fields = g_strdup_printf ("\"in_flight\":%u", cb_serve_running_count (agent->serve));
  cb_trace_event (agent->trace, "term", fields);
  g_free (fields);
  cb_log (CB_LOG_INFO, "agent", "draining: %u requests, %u tasks",
          cb_serve_running_count (agent->serve), cb_gang_task_count (agent->gang));
  cb_serve_drain (agent->serve, TRUE);
  cb_gang_set_draining (agent->gang, TRUE);
  cb_agent_perform (agent);
}

static gboolean
is_idle (const cb_agent_t *agent, cb_msec_t now_ms)
{
  cb_msec_t limit_ms = agent->settings->agent_stop_ms > 0
                           ? agent->settings->agent_stop_ms
                           : DEFAULT_STOP_MS;

  if (now_ms < agent->term_ms + MIN_DRAIN_MS ||
      cb_serve_running_count (agent->serve) > 0)
    return FALSE;
  return cb_gang_task_count (agent->gang) == 0 || now_ms >= agent->term_ms + limit_ms;
}

/* After SIGTERM: says goodbye once nothing runs, then ends the loop. */
void
cb_agent_check_stop (cb_agent_t *agent, cb_msec_t now_ms)
{
  cb_outq_t queue;
  cb_out_t *out;

  if (agent->term_ms == 0)
    return;
  if (agent->bye_ms > 0)
    {
      if (now_ms >= agent->bye_ms + BYE_MS)
        cb_loop_stop (agent->loop);
      return;
    }
  if (!is_idle (agent, now_ms))
    return;
  agent->bye_ms = now_ms;
  cb_outq_init (&queue);
  cb_outq_send (&queue, "", CB__ENVELOPE__BODY_GOODBYE);
  out = cb_outq_pop (&queue);
  cb_agent_send (agent, out->envelope);
  cb_out_free (out);
}
