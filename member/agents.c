/* An entry's directory of agents: those connected to it, which it reports to its peers,
   and those that its peers report. */
#include "member/local.h"

#include <string.h>

#include <xxhash.h>

void
cb_known_agent_free (gpointer known)
{
  cb_known_agent_t *k = known;

  cb_msg_free (k->info);
  g_free (k->home);
  g_free (k);
}

void
cb_local_agent_free (gpointer local)
{
  cb_local_agent_t *l = local;

  cb_msg_free (l->info);
  g_free (l);
}

/* Returns a hash of all fields of AGENT, to detect changes. */
uint64_t
cb_agent_hash (const Cb__AgentHome *agent)
{
  GBytes *packed = cb_msg_pack (&agent->base);
  gsize size;
  const void *data = g_bytes_get_data (packed, &size);
  uint64_t hash = XXH64 (data, size, 0);

  g_bytes_unref (packed);
  return hash;
}

/* Returns a hash of all agents of this entry. Never 0, which in a heartbeat stands for
   "no hash sent". */
uint64_t
cb_agents_local_hash (const cb_peers_t *peers)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t hash = 0;

  g_hash_table_iter_init (&iter, peers->local_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    hash ^= cb_agent_hash (((cb_local_agent_t *)value)->info);
  return hash | 1;
}

/* Returns the oldest configuration version among the agents of this entry, 0 when it
   has none. */
uint64_t
cb_agents_oldest_config_version (const cb_peers_t *peers)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t oldest = G_MAXUINT64;

  g_hash_table_iter_init (&iter, peers->local_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    oldest = MIN (oldest, ((cb_local_agent_t *)value)->config_version);
  return oldest == G_MAXUINT64 ? 0 : oldest;
}

/* Returns the configuration version of AGENT when it is connected here, otherwise the
   oldest one among the agents of its home entry; 0: unknown. Heartbeats between entries
   carry only that minimum, so that a configuration change doesn't resend all agents. */
uint64_t
cb_peers_agent_config_version (const cb_peers_t *peers, const char *agent)
{
  const cb_local_agent_t *local = g_hash_table_lookup (peers->local_agents, agent);
  const cb_known_agent_t *known = g_hash_table_lookup (peers->known_agents, agent);
  const cb_peer_t *peer;

  if (local != NULL)
    return local->config_version;
  if (known == NULL || known->home == NULL)
    return 0;
  peer = g_hash_table_lookup (peers->peers, known->home);
  return peer == NULL ? 0 : peer->oldest_agent_config_version;
}

static uint64_t
peer_agents_hash (const cb_peer_t *peer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t hash = 0;

  g_hash_table_iter_init (&iter, peer->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    hash ^= cb_agent_hash (value);
  return hash | 1;
}

static void
set_info (cb_known_agent_t *known, const Cb__AgentHome *info)
{
  cb_msg_free (known->info);
  known->info = (Cb__AgentHome *)cb_msg_copy (&info->base);
}

/* Returns TRUE when HOME differs from the previous home entry. */
static gboolean
set_home (cb_known_agent_t *known, const char *home)
{
  if (g_strcmp0 (known->home, home) == 0)
    return FALSE;
  g_free (known->home);
  known->home = g_strdup (home);
  return TRUE;
}

/* Sets the home entry of KNOWN and reports a change. */
static void
change_home (cb_peers_t *peers, cb_known_agent_t *known, const char *home)
{
  if (set_home (known, home))
    peers->observer (peers->ctx, CB_AGENT_MOVED, known->info->name, known->info);
}

/* Records that an agent is up at the entry HOME. NEW_AT_HOME: it was not connected to
   HOME before. When NEW_AT_HOME is FALSE, a report of HOME doesn't move an agent that
   has connected to another entry since. */
static void
record_agent_at (cb_peers_t *peers, const char *home, const Cb__AgentHome *info,
                 gboolean new_at_home)
{
  cb_known_agent_t *known = g_hash_table_lookup (peers->known_agents, info->name);
  gboolean is_new;
  gboolean moved;

  if (known == NULL)
    {
      known = g_new0 (cb_known_agent_t, 1);
      g_hash_table_insert (peers->known_agents, g_strdup (info->name), known);
    }
  if (known->info != NULL && info->incarnation < known->info->incarnation)
    return;
  is_new = known->info == NULL || !known->up ||
           info->incarnation != known->info->incarnation;
  if (!is_new && !new_at_home && known->home != NULL && strcmp (known->home, home) != 0)
    return;
  moved = set_home (known, home);
  known->home_lost_ms = 0;
  if (!is_new && cb_agent_hash (known->info) == cb_agent_hash (info))
    {
      if (moved)
        peers->observer (peers->ctx, CB_AGENT_MOVED, info->name, known->info);
      return;
    }
  set_info (known, info);
  known->up = TRUE;
  peers->observer (peers->ctx, is_new ? CB_AGENT_UP : CB_AGENT_CHANGED, info->name,
                   known->info);
}

/* Returns an entry other than NOT_HOME to which AGENT is connected, or NULL. */
static const char *
find_other_home (const cb_peers_t *peers, const char *agent, const char *not_home)
{
  GHashTableIter iter;
  gpointer value;

  if (strcmp (not_home, peers->settings->name) != 0 &&
      g_hash_table_contains (peers->local_agents, agent))
    return peers->settings->name;
  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cb_peer_t *peer = value;

      if (peer->up && strcmp (peer->name, not_home) != 0 &&
          g_hash_table_contains (peer->agents, agent))
        return peer->name;
    }
  return NULL;
}

static void
report_down (cb_peers_t *peers, cb_known_agent_t *known)
{
  known->up = FALSE;
  known->home_lost_ms = 0;
  set_home (known, NULL);
  known->info->up = FALSE;
  peers->observer (peers->ctx, CB_AGENT_DOWN, known->info->name, known->info);
}

/* Records that AGENT is no longer at the entry HOME. It is reported as moved when
   another entry has it, else as down. */
static void
record_agent_removed (cb_peers_t *peers, const char *home, const char *agent)
{
  cb_known_agent_t *known = g_hash_table_lookup (peers->known_agents, agent);
  const char *other;

  if (known == NULL || !known->up || g_strcmp0 (known->home, home) != 0)
    return;
  other = find_other_home (peers, agent, home);
  if (other != NULL)
    change_home (peers, known, other);
  else
    report_down (peers, known);
}

static cb_local_agent_t *
add_local_agent (cb_peers_t *peers, const Cb__Envelope *envelope)
{
  cb_local_agent_t *local = g_new0 (cb_local_agent_t, 1);

  local->info = cb_msg_new (&cb__agent_home__descriptor);
  cb_msg_set_string (&local->info->name, envelope->from);
  local->info->incarnation = envelope->incarnation;
  local->info->up = TRUE;
  g_hash_table_replace (peers->local_agents, g_strdup (envelope->from), local);
  return local;
}

static gboolean
is_drained (const cb_peers_t *peers, const char *agent)
{
  return peers->drained != NULL && peers->drained (peers->ctx, agent);
}

/* `from` stays empty to save bytes: the agent takes the entry at the other end of the
   connection as the sender. */
static void
send_ack (cb_peers_t *peers, const char *agent, const cb_local_agent_t *local,
          gboolean want_info)
{
  Cb__Envelope *envelope =
      cb_outq_send (&peers->out, agent, CB__ENVELOPE__BODY_HEARTBEAT_ACK);
  Cb__HeartbeatAck *ack = envelope->heartbeat_ack;

  ack->echo_ms = local->heartbeat_sent_ms;
  ack->want_info = want_info;
  ack->drained = is_drained (peers, agent);
}

static void
mark_changed (cb_peers_t *peers, const char *agent)
{
  g_hash_table_add (peers->changed_agents, g_strdup (agent));
}

/* Handles an agent's heartbeat and acknowledges it; a heartbeat of an older incarnation
   is ignored. The acknowledgement requests the endpoint information until that of the
   agent's current report_seq has arrived. */
void
cb_agents_handle_heartbeat (cb_peers_t *peers, const Cb__Envelope *envelope,
                            cb_msec_t now_ms)
{
  const Cb__Heartbeat *heartbeat = envelope->heartbeat;
  cb_local_agent_t *local = g_hash_table_lookup (peers->local_agents, envelope->from);
  gboolean is_new = local == NULL || envelope->incarnation > local->info->incarnation;
  uint64_t hash_before;

  if (local != NULL && envelope->incarnation < local->info->incarnation)
    return;
  if (is_new)
    local = add_local_agent (peers, envelope);
  hash_before = is_new ? 0 : cb_agent_hash (local->info);
  local->last_heartbeat_ms = now_ms;
  local->heartbeat_sent_ms = envelope->sent_ms;
  local->config_version = heartbeat->config_version;
  local->info->draining = heartbeat->draining;
  local->info->has_worker = heartbeat->has_worker;
  if (heartbeat->endpoint != NULL)
    {
      cb_msg_free (local->info->endpoint);
      local->info->endpoint =
          (Cb__EndpointInfo *)cb_msg_copy (&heartbeat->endpoint->base);
      local->endpoint_seq = heartbeat->report_seq;
    }
  send_ack (peers, envelope->from, local,
            is_new || local->endpoint_seq != heartbeat->report_seq);
  if (cb_agent_hash (local->info) != hash_before)
    mark_changed (peers, envelope->from);
  record_agent_at (peers, peers->settings->name, local->info, is_new);
}

static void
remove_local_agent (cb_peers_t *peers, const char *name)
{
  char *agent = g_strdup (name);

  g_hash_table_remove (peers->local_agents, agent);
  mark_changed (peers, agent);
  record_agent_removed (peers, peers->settings->name, agent);
  g_free (agent);
}

/* Handles the goodbye of an agent that terminates. The goodbye of an older incarnation
   is ignored. */
void
cb_agents_handle_goodbye (cb_peers_t *peers, const Cb__Envelope *envelope)
{
  const cb_local_agent_t *local =
      g_hash_table_lookup (peers->local_agents, envelope->from);

  if (local != NULL && envelope->incarnation >= local->info->incarnation)
    remove_local_agent (peers, envelope->from);
}

static void
merge_agent (cb_peers_t *peers, cb_peer_t *peer, const Cb__AgentHome *agent,
             cb_msec_t now_ms)
{
  gboolean was_listed = g_hash_table_contains (peer->agents, agent->name);
  const cb_local_agent_t *local =
      g_hash_table_lookup (peers->local_agents, agent->name);

  if (!agent->up)
    {
      if (g_hash_table_remove (peer->agents, agent->name))
        record_agent_removed (peers, peer->name, agent->name);
      return;
    }
  g_hash_table_replace (peer->agents, g_strdup (agent->name),
                        cb_msg_copy (&agent->base));
  record_agent_at (peers, peer->name, agent, !was_listed);
  /* The agent has moved from this entry to PEER if it hasn't sent a heartbeat here for
     longer than its longest interval. */
  if (!was_listed && local != NULL &&
      now_ms - local->last_heartbeat_ms >
          CB_IDLE_AGENT_INTERVALS * cb_member_heartbeat_ms (peers->settings))
    remove_local_agent (peers, agent->name);
}

/* Removes the agents of PEER that HEARTBEAT, which lists all of them, doesn't contain.
 */
static void
remove_unlisted_agents (cb_peers_t *peers, cb_peer_t *peer,
                        const Cb__PeerBeat *heartbeat)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names = g_hash_table_get_keys (peer->agents);

  for (size_t i = 0; i < heartbeat->n_agents; i++)
    g_hash_table_add (listed, heartbeat->agents[i]->name);
  for (GList *at = names; at != NULL; at = at->next)
    {
      char *name;

      if (g_hash_table_contains (listed, at->data))
        continue;
      name = g_strdup (at->data);
      g_hash_table_remove (peer->agents, name);
      record_agent_removed (peers, peer->name, name);
      g_free (name);
    }
  g_list_free (names);
  g_hash_table_unref (listed);
}

/* Applies the agent changes in a peer's heartbeat and requests the whole list when the
   result doesn't match the heartbeat's hash. Heartbeats without a hash carry no agents
   and are ignored. */
void
cb_agents_merge (cb_peers_t *peers, cb_peer_t *peer, const Cb__PeerBeat *heartbeat,
                 cb_msec_t now_ms)
{
  if (heartbeat->agent_hash == 0)
    return;
  for (size_t i = 0; i < heartbeat->n_agents; i++)
    merge_agent (peers, peer, heartbeat->agents[i], now_ms);
  if (heartbeat->all)
    remove_unlisted_agents (peers, peer, heartbeat);
  peer->need_all = g_hash_table_size (peer->agents) != heartbeat->agent_count ||
                   peer_agents_hash (peer) != heartbeat->agent_hash;
}

/* Handles the loss of the entry PEER. Those of its agents that another entry has
   already are reported as moved. The others have silence_ms to connect to another
   entry; meanwhile they are reported by CB_AGENT_CHANGED with `up` FALSE and without a
   home entry. */
void
cb_agents_peer_down (cb_peers_t *peers, cb_peer_t *peer, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove_all (peer->agents);
  g_hash_table_iter_init (&iter, peers->known_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cb_known_agent_t *known = value;
      const char *other;

      if (!known->up || g_strcmp0 (known->home, peer->name) != 0)
        continue;
      other = find_other_home (peers, known->info->name, peer->name);
      if (other != NULL)
        {
          change_home (peers, known, other);
          continue;
        }
      set_home (known, NULL);
      known->home_lost_ms = now_ms;
      known->info->up = FALSE;
      peers->observer (peers->ctx, CB_AGENT_CHANGED, known->info->name, known->info);
    }
}

static void
remove_silent_agents (cb_peers_t *peers, cb_msec_t now_ms)
{
  GList *names = g_hash_table_get_keys (peers->local_agents);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const cb_local_agent_t *local =
          g_hash_table_lookup (peers->local_agents, at->data);

      if (now_ms - local->last_heartbeat_ms >= cb_member_silence_ms (peers->settings))
        remove_local_agent (peers, at->data);
    }
  g_list_free (names);
}

/* Sends an extra acknowledgement to agents that the operator has drained and that don't
   report it yet: the next heartbeat of an idle agent may be CB_IDLE_AGENT_INTERVALS
   intervals away. */
static void
notify_drained_agents (cb_peers_t *peers, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (now_ms < peers->drain_check_due_ms)
    return;
  peers->drain_check_due_ms = now_ms + cb_member_heartbeat_ms (peers->settings) / 2;
  g_hash_table_iter_init (&iter, peers->local_agents);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (!((cb_local_agent_t *)value)->info->draining && is_drained (peers, name))
      send_ack (peers, name, value, FALSE);
}

/* Leaves a pause of this process of PAUSE_MS out of the timeouts of agents. */
void
cb_agents_skip_pause (cb_peers_t *peers, cb_msec_t pause_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->local_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((cb_local_agent_t *)value)->last_heartbeat_ms += pause_ms;
  g_hash_table_iter_init (&iter, peers->known_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((cb_known_agent_t *)value)->home_lost_ms > 0)
      ((cb_known_agent_t *)value)->home_lost_ms += pause_ms;
}

/* Removes local agents that sent no heartbeat for silence_ms, notifies drained agents,
   and reports agents as down that had no home entry for silence_ms. */
void
cb_agents_tick (cb_peers_t *peers, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  remove_silent_agents (peers, now_ms);
  notify_drained_agents (peers, now_ms);
  g_hash_table_iter_init (&iter, peers->known_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cb_known_agent_t *known = value;

      if (known->up && known->home_lost_ms > 0 &&
          now_ms - known->home_lost_ms >= cb_member_silence_ms (peers->settings))
        report_down (peers, known);
    }
}
