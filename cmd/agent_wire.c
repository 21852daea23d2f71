/* Connection to the home entry, and the outputs of the agent's modules. */
#include "cmd/agent_local.h"

#include <string.h>

static cb_msec_t
now (void)
{
  return cb_clock_now (cb_clock_system ());
}

/* Applies a newer configuration. A notice may arrive after one of a later version; it
   is then ignored. */
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
  cb_agent_perform_outputs (agent);
}

static void
on_disconnect (void *ctx)
{
  cb_agent_t *agent = ctx;

  cb_log (CB_LOG_INFO, "agent", "connection to entry %s ended",
          cb_home_entry (agent->home, NULL)->name);
  cb_home_connection_lost (agent->home, now ());
}

/* Opens a new connection when the generation of the home entry's connection has changed
   or the last attempt failed. Must not be called from a callback of a wire, which it
   may close. */
void
cb_agent_connect_home (cb_agent_t *agent)
{
  uint32_t generation = 0;
  const Cb__Peer *entry = cb_home_entry (agent->home, &generation);

  if (agent->home_wire != NULL && generation == agent->home_generation)
    return;
  if (agent->home_wire != NULL)
    cb_wire_close (agent->home_wire);
  agent->home_wire = NULL;
  agent->home_generation = generation;
  if (cb_wire_connect (agent->loop, entry->address, agent->settings->name, on_envelope,
                       agent, &agent->home_wire) < 0)
    {
      cb_log (CB_LOG_WARN, "agent", "cannot connect to entry %s at %s", entry->name,
              entry->address);
      agent->home_wire = NULL;
      return;
    }
  if (cb_wire_on_disconnect (agent->home_wire, on_disconnect) < 0)
    cb_log (CB_LOG_WARN, "agent",
            "cannot monitor the connection to entry %s; its loss is detected only by "
            "missing acknowledgements",
            entry->name);
  cb_log (CB_LOG_DEBUG, "agent", "connecting to entry %s", entry->name);
}

/* Completes ENVELOPE with this process as its sender, if it is for a scheduler also
   with the time, and sends it to the home entry, which forwards it. A message that
   cannot be sent is dropped and counted, as if the connection had failed after it was
   sent. */
void
cb_agent_send (cb_agent_t *agent, Cb__Envelope *envelope)
{
  cb_msg_set_string (&envelope->from, agent->settings->name);
  if (envelope->cell[0] == '\0')
    cb_msg_set_string (&envelope->cell, agent->cell);
  envelope->incarnation = agent->incarnation;
  if (envelope->epoch > 0)
    envelope->sent_ms = (uint64_t)now ();
  if (agent->home_wire == NULL || cb_wire_send (agent->home_wire, NULL, envelope) < 0)
    cb_counters_add (agent->counters, "agent_unsent", NULL, 1);
}

/* Passes a request to the endpoint, or a task action to the worker. Without a worker
   the task fails. */
static void
request_action (cb_agent_t *agent, const cb_out_t *out)
{
  const Cb__Task *task = (const Cb__Task *)out->message;

  if (out->message->descriptor == &cb__request__descriptor)
    agent->endpoint->ops->run_request (agent->endpoint, out->tag,
                                       (const Cb__Request *)out->message);
  else if (agent->worker != NULL)
    agent->worker->ops->run_action (
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
    request_action (agent, out);
  cb_out_free (out);
  return TRUE;
}

/* Performs all pending outputs of the modules, also those that result from others. */
void
cb_agent_perform_outputs (cb_agent_t *agent)
{
  while (perform_one (agent, cb_gang_outputs (agent->gang)) ||
         perform_one (agent, cb_serve_outputs (agent->serve)) ||
         perform_one (agent, cb_home_outputs (agent->home)))
    ;
}
