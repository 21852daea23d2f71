/* An entry's view of the other entries: heartbeats between entries, their timeouts, and
   the state that they carry. */
#include "member/local.h"

#include <string.h>

cb_msec_t
cb_member_heartbeat_ms (const Cb__Settings *settings)
{
  return settings->heartbeat_ms > 0 ? settings->heartbeat_ms : CB_DEFAULT_HEARTBEAT_MS;
}

cb_msec_t
cb_member_silence_ms (const Cb__Settings *settings)
{
  return settings->silence_ms > 0 ? settings->silence_ms : CB_DEFAULT_SILENCE_MS;
}

/* Returns the interval of the scheduler's heartbeats within its cell. */
cb_msec_t
cb_member_scheduler_heartbeat_ms (const Cb__Settings *settings)
{
  return settings->scheduler_beat_ms > 0 ? settings->scheduler_beat_ms
                                         : CB_DEFAULT_SCHEDULER_HEARTBEAT_MS;
}

cb_msec_t
cb_member_scheduler_silence_ms (const Cb__Settings *settings)
{
  return settings->scheduler_silence_ms > 0 ? settings->scheduler_silence_ms
                                            : CB_DEFAULT_SCHEDULER_SILENCE_MS;
}

static void
free_peer (gpointer data)
{
  cb_peer_t *peer = data;

  g_hash_table_unref (peer->agents);
  g_free (peer->name);
  g_free (peer->cell);
  g_free (peer);
}

static void
add_peer (cb_peers_t *peers, const char *name)
{
  cb_peer_t *peer = g_new0 (cb_peer_t, 1);

  peer->name = g_strdup (name);
  peer->agents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cb_msg_free);
  peer->need_all = TRUE;
  g_hash_table_insert (peers->peers, peer->name, peer);
}

/* Creates an entry's view of the other entries and of all agents. OBSERVER is called
   with CTX for each change, from inside cb_peers_receive and cb_peers_tick. Free the
   result with cb_peers_free. */
cb_peers_t *
cb_peers_new (const cb_member_params_t *params, cb_peers_observer_t observer, void *ctx)
{
  cb_peers_t *peers = g_new0 (cb_peers_t, 1);

  peers->settings = params->settings;
  peers->incarnation = params->incarnation;
  peers->observer = observer;
  peers->ctx = ctx;
  cb_outq_init (&peers->out);
  peers->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  peers->local_agents =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cb_local_agent_free);
  peers->known_agents =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cb_known_agent_free);
  peers->changed_agents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < params->settings->n_entries; i++)
    if (strcmp (params->settings->entries[i]->name, params->settings->name) != 0)
      add_peer (peers, params->settings->entries[i]->name);
  return peers;
}

void
cb_peers_free (cb_peers_t *peers)
{
  if (peers == NULL)
    return;
  cb_outq_clear (&peers->out);
  g_hash_table_unref (peers->peers);
  g_hash_table_unref (peers->local_agents);
  g_hash_table_unref (peers->known_agents);
  g_hash_table_unref (peers->changed_agents);
  g_free (peers->scheduler);
  g_free (peers);
}

/* Returns the queue of envelopes to send. PEERS owns the queue, the caller what it pops
   from it. */
cb_outq_t *
cb_peers_outputs (cb_peers_t *peers)
{
  return &peers->out;
}

static void
append_agent (Cb__PeerBeat *heartbeat, const Cb__AgentHome *agent)
{
  cb_msg_append ((void ***)&heartbeat->agents, &heartbeat->n_agents,
                 cb_msg_copy (&agent->base));
}

static void
append_all_agents (const cb_peers_t *peers, Cb__PeerBeat *heartbeat)
{
  GHashTableIter iter;
  gpointer value;

  heartbeat->all = TRUE;
  g_hash_table_iter_init (&iter, peers->local_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    append_agent (heartbeat, ((cb_local_agent_t *)value)->info);
}

static void
append_changed_agents (const cb_peers_t *peers, Cb__PeerBeat *heartbeat)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, peers->changed_agents);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const cb_local_agent_t *local = g_hash_table_lookup (peers->local_agents, name);
      Cb__AgentHome removed = CB__AGENT_HOME__INIT;

      removed.name = name;
      append_agent (heartbeat, local == NULL ? &removed : local->info);
    }
}

/* Queues a heartbeat to PEER that carries no agents, and returns its body so that the
   caller can add them. */
static Cb__PeerBeat *
queue_heartbeat (cb_peers_t *peers, const cb_peer_t *peer)
{
  Cb__Envelope *envelope =
      cb_outq_send (&peers->out, peer->name, CB__ENVELOPE__BODY_PEER_BEAT);
  Cb__PeerBeat *heartbeat = envelope->peer_beat;

  cb_msg_set_string (&envelope->from, peers->settings->name);
  envelope->epoch = peers->scheduling_epoch;
  envelope->incarnation = peers->incarnation;
  cb_msg_set_string (&heartbeat->cell, peers->settings->cell);
  heartbeat->scheduler = peers->scheduling_epoch > 0;
  heartbeat->config_version = peers->config_version;
  heartbeat->folded_next = peers->folded_next;
  heartbeat->agents_config = cb_agents_oldest_config_version (peers);
  heartbeat->leaving = peers->leaving;
  heartbeat->deaf = !peer->up;
  return heartbeat;
}

/* Returns FALSE for a peer whose cell isn't known yet. */
static gboolean
in_other_cell (const cb_peers_t *peers, const cb_peer_t *peer)
{
  return peer->cell != NULL && strcmp (peer->cell, peers->settings->cell) != 0;
}

/* Returns whether the heartbeat that is due can be left out for PEER. A peer in another
   cell gets only every CB_OTHER_CELL_INTERVALS-th heartbeat while nothing changes. For
   silence_ms after a change of agents no heartbeat is left out: its hash lets the peer
   detect a lost update as early as a peer in this cell does. */
static gboolean
may_skip_heartbeat (const cb_peers_t *peers, const cb_peer_t *peer, cb_msec_t now_ms)
{
  return in_other_cell (peers, peer) && peer->up && !peer->send_all &&
         !peer->need_all && !peers->state_changed &&
         now_ms >= peers->full_rate_until_ms &&
         now_ms - peer->full_heartbeat_ms <
             CB_OTHER_CELL_INTERVALS * cb_member_heartbeat_ms (peers->settings);
}

static cb_msec_t
peer_timeout_ms (const cb_peers_t *peers, const cb_peer_t *peer)
{
  cb_msec_t ms = cb_member_silence_ms (peers->settings);

  if (in_other_cell (peers, peer))
    ms += (CB_OTHER_CELL_INTERVALS - 1) * cb_member_heartbeat_ms (peers->settings);
  return ms;
}

/* Sends full heartbeats to the peers that may_skip_heartbeat doesn't exclude: with the
   changed agents, or with all agents to a peer that asked for them. */
static void
send_full_heartbeats (cb_peers_t *peers, cb_msec_t now_ms)
{
  uint64_t hash = cb_agents_local_hash (peers);
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (peers->changed_agents) > 0)
    peers->full_rate_until_ms = now_ms + cb_member_silence_ms (peers->settings);
  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cb_peer_t *peer = value;
      Cb__PeerBeat *heartbeat;

      if (may_skip_heartbeat (peers, peer, now_ms))
        continue;
      heartbeat = queue_heartbeat (peers, peer);
      peer->full_heartbeat_ms = now_ms;
      heartbeat->want_all = peer->need_all;
      heartbeat->agent_count = g_hash_table_size (peers->local_agents);
      heartbeat->agent_hash = hash;
      if (peer->send_all)
        append_all_agents (peers, heartbeat);
      else
        append_changed_agents (peers, heartbeat);
      peer->send_all = FALSE;
    }
  g_hash_table_remove_all (peers->changed_agents);
  peers->state_changed = FALSE;
}

/* Sends the heartbeats that a scheduler adds between the full ones: without agents and
   only within its cell. */
static void
send_scheduler_heartbeats (cb_peers_t *peers)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_strcmp0 (((cb_peer_t *)value)->cell, peers->settings->cell) == 0)
      queue_heartbeat (peers, value);
}

static void
mark_peer_down (cb_peers_t *peers, cb_peer_t *peer, cb_msec_t now_ms)
{
  peer->up = FALSE;
  peer->need_all = TRUE;
  peer->receives_this_entry = FALSE;
  peer->not_receiving_since_ms = 0;
  cb_agents_peer_down (peers, peer, now_ms);
  peers->observer (peers->ctx, CB_PEER_DOWN, peer->name, NULL);
}

/* Reports CB_PEER_ONE_WAY when PEER doesn't receive this entry's heartbeats. Each
   direction between two entries has its own connection, so only PEER's heartbeats show
   that the connection to it has failed. The report is made at once when PEER received
   this entry before, otherwise after the timeout, because this entry may still be
   connecting to it; it is repeated after each further timeout. */
static void
check_one_way (cb_peers_t *peers, cb_peer_t *peer, gboolean not_receiving,
               cb_msec_t now_ms)
{
  gboolean lost = not_receiving && peer->receives_this_entry;

  peer->receives_this_entry = !not_receiving;
  if (!not_receiving)
    {
      peer->not_receiving_since_ms = 0;
      return;
    }
  if (peer->not_receiving_since_ms == 0)
    peer->not_receiving_since_ms = now_ms;
  if (!lost && now_ms - peer->not_receiving_since_ms < peer_timeout_ms (peers, peer))
    return;
  peer->not_receiving_since_ms = now_ms;
  peers->observer (peers->ctx, CB_PEER_ONE_WAY, peer->name, NULL);
}

static void
receive_heartbeat (cb_peers_t *peers, cb_peer_t *peer, const Cb__Envelope *envelope,
                   cb_msec_t now_ms)
{
  const Cb__PeerBeat *heartbeat = envelope->peer_beat;
  gboolean was_up = peer->up;

  if (envelope->incarnation < peer->incarnation)
    return;
  if (was_up && envelope->incarnation > peer->incarnation)
    {
      mark_peer_down (peers, peer, now_ms);
      was_up = FALSE;
    }
  peer->incarnation = envelope->incarnation;
  peer->last_heartbeat_ms = now_ms;
  peer->up = TRUE;
  peer->leaving = heartbeat->leaving;
  peer->config_version = heartbeat->config_version;
  peers->newest_config_version =
      MAX (peers->newest_config_version, heartbeat->config_version);
  peer->folded_next = heartbeat->folded_next;
  peer->oldest_agent_config_version = heartbeat->agents_config;
  if (g_strcmp0 (peer->cell, heartbeat->cell) != 0)
    {
      g_free (peer->cell);
      peer->cell = g_strdup (heartbeat->cell);
    }
  peer->send_all |= heartbeat->want_all;
  if (!was_up)
    peers->observer (peers->ctx, CB_PEER_UP, peer->name, NULL);
  check_one_way (peers, peer, heartbeat->deaf, now_ms);
  cb_agents_merge (peers, peer, heartbeat, now_ms);
  cb_rank_handle_heartbeat (peers, envelope, now_ms);
}

/* Handles heartbeat and goodbye of an agent, peer_beat and goodbye of an entry. Other
   messages are ignored, and so are those of an older incarnation or without a sender.
 */
void
cb_peers_receive (cb_peers_t *peers, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  cb_peer_t *peer = g_hash_table_lookup (peers->peers, envelope->from);

  if (*envelope->from == '\0')
    return;
  if (envelope->body_case == CB__ENVELOPE__BODY_HEARTBEAT && peer == NULL)
    cb_agents_handle_heartbeat (peers, envelope, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_PEER_BEAT && peer != NULL)
    receive_heartbeat (peers, peer, envelope, now_ms);
  else if (envelope->body_case != CB__ENVELOPE__BODY_GOODBYE)
    return;
  else if (peer == NULL)
    cb_agents_handle_goodbye (peers, envelope);
  else if (peer->up && envelope->incarnation >= peer->incarnation)
    mark_peer_down (peers, peer, now_ms);
}

/* Sets the state that this entry's heartbeats report or its timeouts depend on:
   FOLDED_NEXT is the first log offset that this process has not applied, EPOCH
   the cell's epoch according to the applied records, SCHEDULER the entry that claimed
   it (may be NULL). LEAVING: this process shuts down. */
void
cb_peers_set_state (cb_peers_t *peers, uint64_t config_version, uint64_t folded_next,
                    uint64_t epoch, const char *scheduler, gboolean leaving)
{
  peers->state_changed |=
      config_version != peers->config_version || leaving != peers->leaving;
  peers->config_version = config_version;
  peers->folded_next = folded_next;
  /* The claim of another entry counts as its first heartbeat. Its process may terminate
     before it sends a heartbeat; otherwise the next one follows within
     cb_member_scheduler_heartbeat_ms. */
  if (epoch != peers->epoch)
    peers->scheduler_last_heartbeat_ms =
        g_strcmp0 (scheduler, peers->settings->name) == 0 ? 0 : peers->last_tick_ms;
  if (epoch != peers->epoch && peers->started)
    {
      /* A new scheduler has the whole timeout to send its first heartbeat. */
      peers->scheduler_silent_since_ms =
          MAX (peers->scheduler_silent_since_ms, peers->last_tick_ms);
      peers->silence_reported_ms = 0;
    }
  peers->epoch = epoch;
  if (g_strcmp0 (peers->scheduler, scheduler) != 0)
    {
      g_free (peers->scheduler);
      peers->scheduler = g_strdup (scheduler);
    }
  if (leaving && !peers->leaving)
    peers->heartbeat_due_ms = 0;
  peers->leaving = leaving;
}

/* EPOCH > 0: this process acts as the cell's scheduler under EPOCH and sends a
   scheduler's heartbeats. EPOCH 0: it doesn't; the caller also passes 0 when an earlier
   process of this entry claimed the current epoch. */
void
cb_peers_set_scheduling (cb_peers_t *peers, uint64_t epoch)
{
  if (epoch == peers->scheduling_epoch)
    return;
  if (epoch > 0)
    peers->scheduler_heartbeat_due_ms = 0;
  else
    peers->scheduler_silent_since_ms = peers->last_tick_ms;
  peers->scheduling_epoch = epoch;
}

/* Returns the latest time at which the cell's scheduler, if it is another entry, may
   have sent its last heartbeat under the current epoch; its claim counts as the first.
   0: not known. */
cb_msec_t
cb_peers_scheduler_last_heartbeat (const cb_peers_t *peers)
{
  return peers->scheduler_last_heartbeat_ms;
}

/* Sets the function that returns whether the operator has drained an instance; NULL: no
   instance is drained. It is called for each heartbeat of an agent, as every
   acknowledgement reports the drain, so that a lost one does no harm. */
void
cb_peers_set_drained (cb_peers_t *peers, cb_peers_drained_t drained)
{
  peers->drained = drained;
}

/* Leaves a pause of this process, which ends at NOW_MS, out of all timeouts: heartbeats
   of the others may be waiting in the sockets, and this process has to hear from the
   others before it takes them for silent. */
static void
skip_pause (cb_peers_t *peers, cb_msec_t now_ms)
{
  cb_msec_t pause_ms = now_ms - peers->last_tick_ms;
  GHashTableIter iter;
  gpointer value;

  /* The latest time at which a heartbeat that is waiting can have been sent. */
  if (peers->scheduler_last_heartbeat_ms > 0)
    peers->scheduler_last_heartbeat_ms = now_ms;
  peers->scheduler_silent_since_ms = now_ms;
  peers->silence_reported_ms = 0;
  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((cb_peer_t *)value)->last_heartbeat_ms += pause_ms;
  cb_agents_skip_pause (peers, pause_ms);
}

/* Queues the heartbeats that are due and reports timeouts. Call at least every 50 ms.
 */
void
cb_peers_tick (cb_peers_t *peers, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  if (peers->started &&
      now_ms - peers->last_tick_ms > cb_member_scheduler_heartbeat_ms (peers->settings))
    skip_pause (peers, now_ms);
  peers->last_tick_ms = now_ms;
  if (!peers->started)
    {
      peers->started = TRUE;
      peers->scheduler_silent_since_ms = now_ms;
    }
  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cb_peer_t *peer = value;

      if (peer->up && now_ms - peer->last_heartbeat_ms >= peer_timeout_ms (peers, peer))
        mark_peer_down (peers, peer, now_ms);
    }
  cb_agents_tick (peers, now_ms);
  if (now_ms >= peers->heartbeat_due_ms)
    {
      send_full_heartbeats (peers, now_ms);
      peers->heartbeat_due_ms = now_ms + cb_member_heartbeat_ms (peers->settings);
      peers->scheduler_heartbeat_due_ms =
          now_ms + cb_member_scheduler_heartbeat_ms (peers->settings);
    }
  else if (peers->scheduling_epoch > 0 && now_ms >= peers->scheduler_heartbeat_due_ms)
    {
      send_scheduler_heartbeats (peers);
      peers->scheduler_heartbeat_due_ms =
          now_ms + cb_member_scheduler_heartbeat_ms (peers->settings);
    }
  cb_rank_tick (peers, now_ms);
}

/* Returns the entry through which AGENT is reached, which is this entry when the agent
   is connected here; NULL when the agent is unknown, down or without an entry. Valid
   until the next call of cb_peers_receive or cb_peers_tick. */
const char *
cb_peers_home_entry (const cb_peers_t *peers, const char *agent)
{
  const cb_known_agent_t *known = g_hash_table_lookup (peers->known_agents, agent);

  return known == NULL || !known->up ? NULL : known->home;
}

/* Returns whether NAME is a configured entry, this one included. */
gboolean
cb_peers_is_entry (const cb_peers_t *peers, const char *name)
{
  return strcmp (name, peers->settings->name) == 0 ||
         g_hash_table_contains (peers->peers, name);
}

/* Calls FN for each agent that this process has ever recorded; HOME is the agent's home
   entry, or NULL when the agent can't be reached. */
void
cb_peers_each_agent (const cb_peers_t *peers,
                     void (*fn) (void *ctx, const Cb__AgentHome *agent,
                                 const char *home),
                     void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->known_agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cb_known_agent_t *known = value;

      fn (ctx, known->info, known->up ? known->home : NULL);
    }
}

void
cb_peers_each_peer (const cb_peers_t *peers,
                    void (*fn) (void *ctx, const char *name, gboolean up,
                                uint64_t config_version, uint64_t folded_next),
                    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cb_peer_t *peer = value;

      fn (ctx, peer->name, peer->up, peer->config_version, peer->folded_next);
    }
}

/* Returns the newest configuration version that any peer has ever reported. A restarted
   peer reports older versions until it has read the log; they don't lower the result.
 */
uint64_t
cb_peers_newest_config_version (const cb_peers_t *peers)
{
  return peers->newest_config_version;
}

/* Returns TRUE when every other entry is down or shutting down. */
gboolean
cb_peers_is_last_entry (const cb_peers_t *peers)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((cb_peer_t *)value)->up && !((cb_peer_t *)value)->leaving)
      return FALSE;
  return TRUE;
}
