#include "cmd/agent_local.h"

#include <string.h>

static cb_msec_t
now (void)
{
  return cb_clock_now (cb_clock_system ());
}

/* Versions only rise: a notice that was overtaken must not undo a newer one. */
static void
apply_config (cb_agent_t *agent, const Cb__ConfigNotice *notice)
{
  char *fields;

  if (notice->version <= agent->config_version)
    return;
  agent->config_version = notice->version;
  if (notice->instance != NULL)
    cb_gang_set_capacity (agent->gang, notice->instance->accelerators,
                          notice->instance->cores, notice->instance->memory_gb);
  fields = g_strdup_printf ("\"version\":%" G_GUINT64_FORMAT, notice->version);
  cb_trace_event (agent->trace, "config", fields);
  g_free (fields);
  cb_log (CB_LOG_INFO, "agent", "configuration %" G_GUINT64_FORMAT " applied",
          notice->version);
}

static void
on_envelope (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_agent_t *agent = ctx;
  cb_msec_t now_ms = now ();

  (void)peer;
  (void)bytes;
  switch (envelope->body_case)
    {
    case CB__ENVELOPE__BODY_HEARTBEAT_ACK:
    case CB__ENVELOPE__BODY_GOODBYE:
      cb_home_receive (agent->home, envelope, now_ms);
      break;
    case CB__ENVELOPE__BODY_REQUEST:
    case CB__ENVELOPE__BODY_REQUEST_CANCEL:
    case CB__ENVELOPE__BODY_REQUEST_LOOKUP:
      cb_serve_receive (agent->serve, envelope, now_ms);
      break;
    case CB__ENVELOPE__BODY_CONFIG_NOTICE:
      apply_config (agent, envelope->config_notice);
      break;
    default:
      cb_gang_receive (agent->gang, envelope, now_ms);
      break;
    }
  cb_agent_perform (agent);
}

static void
on_lost (void *ctx)
{
  cb_agent_t *agent = ctx;

  cb_log (CB_LOG_INFO, "agent", "connection to entry %s ended",
          cb_home_entry (agent->home, NULL)->name);
  cb_home_connection_lost (agent->home, now ());
}

/* Opens a new connection when the home entry or its generation has changed. Called from
   the timer only, never from the wire's own callback. */
void
cb_agent_connect (cb_agent_t *agent)
{
  uint32_t generation = 0;
  const Cb__Peer *entry = cb_home_entry (agent->home, &generation);

  if (agent->wire != NULL && generation == agent->generation)
    return;
  if (agent->wire != NULL)
    cb_wire_close (agent->wire);
  agent->wire = NULL;
  agent->generation = generation;
  if (cb_wire_connect (agent->loop, entry->address, agent->settings->name, on_envelope,
                       agent, &agent->wire) < 0)
    {
      cb_log (CB_LOG_WARN, "agent", "cannot connect to entry %s at %s", entry->name,
              entry->address);
      agent->wire = NULL;
      return;
    }
  if (cb_wire_on_disconnect (agent->wire, on_lost) < 0)
    cb_log (CB_LOG_WARN, "agent", "lost connections to entry %s are noticed late",
            entry->name);
  cb_log (CB_LOG_DEBUG, "agent", "connecting to entry %s", entry->name);
}

/* Completes ENVELOPE with this process as its sender and sends it to the home entry,
   which forwards it. What cannot be sent is dropped, as on a lost connection. */
void
cb_agent_send (cb_agent_t *agent, Cb__Envelope *envelope)
{
  cb_msg_set_string (&envelope->from, agent->settings->name);
  if (envelope->cell[0] == '\0')
    cb_msg_set_string (&envelope->cell, agent->cell);
  envelope->incarnation = agent->incarnation;
  if (agent->wire == NULL || cb_wire_send (agent->wire, NULL, envelope) < 0)
    cb_counters_add (agent->counters, "agent_unsent", NULL, 1);
}

static void
call (cb_agent_t *agent, const cb_out_t *out)
{
  const Cb__Task *task = (const Cb__Task *)out->message;

  if (out->message->descriptor == &cb__request__descriptor)
    agent->endpoint->ops->run (agent->endpoint, out->tag,
                               (const Cb__Request *)out->message);
  else if (agent->worker != NULL)
    agent->worker->ops->act (
        agent->worker, out->name, task,
        cb_gang_started_job (agent->gang, task->account, task->job_key, task->attempt));
  else
    cb_gang_handle_task_status (agent->gang, task->account, task->job_key,
                                task->attempt, task->member,
                                CB__TASK_STATE__TASK_FAILED, FALSE, now ());
}

static gboolean
perform_one (cb_agent_t *agent, cb_outq_t *queue)
{
  cb_out_t *out = cb_outq_pop (queue);

  if (out == NULL)
    return FALSE;
  if (out->kind == CB_OUT_SEND && g_strcmp0 (out->name, CB_GANG_DIRECT) == 0)
    cb_agent_send_direct (agent, out->envelope);
  else if (out->kind == CB_OUT_SEND)
    cb_agent_send (agent, out->envelope);
  else if (out->kind == CB_OUT_EVENT)
    cb_trace_event (agent->trace, out->name, out->fields);
  else if (out->kind == CB_OUT_COUNT)
    cb_counters_add (agent->counters, out->name, out->fields, 1);
  else if (out->kind == CB_OUT_CALL)
    call (agent, out);
  cb_out_free (out);
  return TRUE;
}

/* Performs all outputs of the modules. */
void
cb_agent_perform (cb_agent_t *agent)
{
  while (perform_one (agent, cb_gang_outputs (agent->gang)) ||
         perform_one (agent, cb_serve_outputs (agent->serve)) ||
         perform_one (agent, cb_home_outputs (agent->home)))
    ;
}
