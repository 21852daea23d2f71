#include "cmd/agent_local.h"

#include <string.h>

/* Gang beats and verdicts between agents. Each agent has a router for the beats of the
   gangs that it leads, and a dealer to each agent that leads one of its own; verdicts
   come back over the connection of the beats. */

typedef struct
{
  cb_wire_t *wire;
  uint32_t generation;
} link_t;

static void
link_free (gpointer data)
{
  link_t *link = data;

  cb_wire_close (link->wire);
  g_free (link);
}

/* PEER is set for what comes in at the router. The sender's name must be that of the
   connection: it decides whose members have been heard of. */
static void
on_direct (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_agent_t *agent = ctx;
  gboolean beats = envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS;
  gboolean verdicts = envelope->body_case == CB__ENVELOPE__BODY_GANG_VERDICTS;

  (void)bytes;
  if (peer != NULL ? beats && strcmp (peer, envelope->from) == 0 : verdicts)
    cb_gang_receive_direct (agent->gang, envelope, cb_clock_now (cb_clock_system ()));
  else
    cb_counters_add (agent->counters, "agent_direct_refused", NULL, 1);
  cb_agent_perform (agent);
}

/* Opens the socket for the beats of other agents, when the settings name one. Returns
   an error of net/ when it cannot be opened. */
int
cb_agent_listen (cb_agent_t *agent)
{
  const Cb__Settings *settings = agent->settings;
  int err;

  agent->links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, link_free);
  if (settings->wire_address[0] == '\0')
    return CB_OK;
  err = cb_wire_listen (agent->loop, settings->wire_address, on_direct, agent,
                        &agent->router);
  if (err == CB_OK)
    cb_gang_set_address (agent->gang, settings->peer_address[0] != '\0'
                                          ? settings->peer_address
                                          : settings->wire_address);
  return err;
}

/* Returns the connection to INSTANCE in its present generation, NULL without one. */
static cb_wire_t *
link_to (cb_agent_t *agent, const char *instance)
{
  uint32_t generation = 0;
  const char *address = cb_gang_direct_link (agent->gang, instance, &generation);
  link_t *link = g_hash_table_lookup (agent->links, instance);
  cb_wire_t *wire = NULL;

  if (address == NULL)
    return NULL;
  if (link != NULL && link->generation == generation)
    return link->wire;
  g_hash_table_remove (agent->links, instance);
  if (cb_wire_connect (agent->loop, address, agent->settings->name, on_direct, agent,
                       &wire) < 0)
    return NULL;
  link = g_new0 (link_t, 1);
  link->wire = wire;
  link->generation = generation;
  g_hash_table_insert (agent->links, g_strdup (instance), link);
  cb_counters_add (agent->counters, "agent_links_opened_total", NULL, 1);
  return wire;
}

/* Sends beats to the agent that leads, or verdicts over the connection of the beats
   that they answer. The receiver is at the other end and knows the cell, so that only
   the sender's name is added. */
void
cb_agent_send_direct (cb_agent_t *agent, Cb__Envelope *envelope)
{
  char *to = g_strdup (envelope->to);
  gboolean beats = envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS;
  cb_wire_t *wire = beats ? link_to (agent, to) : agent->router;

  cb_msg_set_string (&envelope->to, NULL);
  cb_msg_set_string (&envelope->from, agent->settings->name);
  if (wire == NULL || cb_wire_send (wire, to, envelope) < 0)
    cb_counters_add (agent->counters, "agent_unsent", NULL, 1);
  g_free (to);
}

static gboolean
is_unused (gpointer instance, gpointer link, gpointer ctx)
{
  const cb_agent_t *agent = ctx;
  uint32_t generation;

  (void)link;
  return cb_gang_direct_link (agent->gang, instance, &generation) == NULL;
}

/* Closes connections to agents that lead no gang of this instance any more. Called from
   the timer only, never from the wire's own callback. */
void
cb_agent_close_unused (cb_agent_t *agent)
{
  g_hash_table_foreach_remove (agent->links, is_unused, agent);
}

/* Ends all connections between agents. */
void
cb_agent_close_direct (cb_agent_t *agent)
{
  g_hash_table_unref (agent->links);
  if (agent->router != NULL)
    cb_wire_close (agent->router);
}
