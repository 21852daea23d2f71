/* Direct connections between agents, for gang heartbeats and the leader's decisions. An
   agent has a ZeroMQ router socket that receives the heartbeats of the gangs that it
   leads, and a dealer socket to each agent that leads a gang with members on its own
   instance. Decisions return over the connection on which the heartbeat came. */
#include "cmd/agent_local.h"

#include <string.h>

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

/* Accepts heartbeats at the router, where PEER is set, and decisions at a dealer. The
   sender in a heartbeat must be the identity of the connection, because it decides for
   which members the heartbeat counts. */
static void
on_direct (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_agent_t *agent = ctx;
  gboolean heartbeats = envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS;
  gboolean decisions = envelope->body_case == CB__ENVELOPE__BODY_GANG_VERDICTS;

  (void)bytes;
  if (peer != NULL ? heartbeats && strcmp (peer, envelope->from) == 0 : decisions)
    cb_gang_receive_direct (agent->gang, envelope, cb_clock_now (cb_clock_system ()));
  else
    cb_counters_add (agent->counters, "agent_direct_refused", NULL, 1);
  cb_agent_perform_outputs (agent);
}

/* Opens the socket for gang heartbeats of other agents when wire_address is set.
   Returns CB_OK or an error of net/. */
int
cb_agent_listen_direct (cb_agent_t *agent)
{
  const Cb__Settings *settings = agent->settings;
  int err;

  agent->leader_links =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, link_free);
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

/* Returns the connection to the agent of INSTANCE. It is opened again when
   cb_gang_direct_link gives a new generation. Returns NULL when that agent leads no
   gang with members on this instance, or the connection cannot be opened. */
static cb_wire_t *
link_to (cb_agent_t *agent, const char *instance)
{
  uint32_t generation = 0;
  const char *address = cb_gang_direct_link (agent->gang, instance, &generation);
  link_t *link = g_hash_table_lookup (agent->leader_links, instance);
  cb_wire_t *wire = NULL;

  if (address == NULL)
    return NULL;
  if (link != NULL && link->generation == generation)
    return link->wire;
  g_hash_table_remove (agent->leader_links, instance);
  if (cb_wire_connect (agent->loop, address, agent->settings->name, on_direct, agent,
                       &wire) < 0)
    return NULL;
  link = g_new0 (link_t, 1);
  link->wire = wire;
  link->generation = generation;
  g_hash_table_insert (agent->leader_links, g_strdup (instance), link);
  cb_counters_add (agent->counters, "agent_links_opened_total", NULL, 1);
  return wire;
}

/* Sends heartbeats to the leader's agent, or decisions to a member's agent over the
   connection on which its heartbeats arrive. The receiver is the peer of the connection
   and has the same cell, so only the sender's name is added. */
void
cb_agent_send_direct (cb_agent_t *agent, Cb__Envelope *envelope)
{
  char *to = g_strdup (envelope->to);
  gboolean heartbeats = envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS;
  cb_wire_t *wire = heartbeats ? link_to (agent, to) : agent->router;

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

/* Closes the connections to agents that no longer lead a gang with members on this
   instance. Must not be called from a callback of a wire, which it may close. */
void
cb_agent_close_unused_links (cb_agent_t *agent)
{
  g_hash_table_foreach_remove (agent->leader_links, is_unused, agent);
}

/* Ends all connections between agents. */
void
cb_agent_close_direct (cb_agent_t *agent)
{
  g_hash_table_unref (agent->leader_links);
  if (agent->router != NULL)
    cb_wire_close (agent->router);
}
