/* An entry's part in its cell: claims the cell when the scheduler is silent, and passes
   changes of agents and other entries from member/ to the scheduler (sched/) and the
   router (route/). A claim is the log record by which an entry becomes the scheduler of
   the cell; the offset of an accepted claim is the epoch of that scheduler. */
#include "cmd/entry.h"

#include <string.h>

static gboolean
is_draining (const cb_entry_t *entry, const Cb__AgentHome *agent)
{
  return agent->draining || cb_ledger_is_draining (entry->ledger, agent->name);
}

/* Passes the state of AGENT to the scheduler, which only handles agents with a worker.
   An agent that has lost its home entry, so neither up nor DOWN, stays as it was: its
   tasks continue while it connects to another entry. */
static void
update_sched_agent (cb_entry_t *entry, const Cb__AgentHome *agent, gboolean down)
{
  const uint64_t *known = g_hash_table_lookup (entry->sched_agents, agent->name);
  cb_msec_t now_ms = cb_entry_now (entry);

  if (down || (agent->up && !agent->has_worker))
    {
      if (g_hash_table_remove (entry->sched_agents, agent->name))
        cb_sched_agent_down (entry->sched, agent->name, now_ms);
      return;
    }
  if (!agent->up)
    return;
  if (known == NULL || *known != agent->incarnation)
    {
      g_hash_table_replace (entry->sched_agents, g_strdup (agent->name),
                            g_memdup2 (&agent->incarnation, sizeof (uint64_t)));
      cb_sched_agent_up (entry->sched, agent->name, agent->incarnation, now_ms);
    }
  cb_sched_set_draining (entry->sched, agent->name, is_draining (entry, agent), now_ms);
}

/* Passes the state of AGENT to the router. An agent that has lost its home entry, so
   neither up nor DOWN, keeps its requests while it connects to another entry. */
static void
update_route_agent (cb_entry_t *entry, const Cb__AgentHome *agent, gboolean down)
{
  cb_msec_t now_ms = cb_entry_now (entry);

  if (!down)
    cb_route_set_home_entry (entry->route, agent->name, agent->incarnation,
                             cb_peers_home_entry (entry->peers, agent->name), now_ms);
  if (down || agent->up)
    cb_route_update_endpoint (entry->route, agent->name, agent->incarnation, agent->up,
                              is_draining (entry, agent), agent->endpoint, now_ms);
}

typedef struct
{
  cb_entry_t *entry;
  const char *home;
} resend_ctx_t;

/* If HOME is the entry named in CTX, removes the home entry of AGENT in the router and
   sets it again: the router then resends the agent's requests in flight. */
static void
resend_if_home (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  const resend_ctx_t *resend = ctx;

  if (g_strcmp0 (home, resend->home) != 0)
    return;
  cb_route_set_home_entry (resend->entry->route, agent->name, agent->incarnation, NULL,
                           cb_entry_now (resend->entry));
  update_route_agent (resend->entry, agent, FALSE);
}

static void
update_if_up (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  if (home != NULL)
    update_sched_agent (ctx, agent, FALSE);
}

/* Passes all agents that are up to the scheduler, also those that it already has. */
void
cb_entry_update_sched_agents (cb_entry_t *entry)
{
  g_hash_table_remove_all (entry->sched_agents);
  cb_peers_each_agent (entry->peers, update_if_up, entry);
}

/* Replaces the scheduler object of this entry by an empty one and passes the
   configuration and all agents to it. Jobs are added afterwards, from the ledger. */
void
cb_entry_recreate_sched (cb_entry_t *entry)
{
  cb_sched_params_t params = { .cell = entry->settings->cell,
                               .entry = entry->settings->name,
                               .seed = entry->settings->seed };

  cb_sched_free (entry->sched);
  entry->sched = cb_sched_new (&params);
  if (entry->fleet != NULL)
    cb_sched_set_fleet (entry->sched, entry->fleet, cb_entry_now (entry));
  cb_entry_update_sched_agents (entry);
}

/* Appends a claim for the cell, but only while the log is available: a claim that
   waited for the log could replace a scheduler that has resumed in the meantime. */
static void
claim_cell (cb_entry_t *entry)
{
  Cb__Record *record;

  if (entry->claim_pending || entry->draining || entry->epoch > 0 ||
      !entry->log_available || !entry->caught_up || entry->config_lag_exceeded ||
      entry->reader_state != CB_READER_READ_STATE)
    return;
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_CELL_CLAIM;
  record->cell_claim = cb_msg_new (&cb__cell_claim__descriptor);
  cb_msg_set_string (&record->cell_claim->cell, entry->settings->cell);
  cb_msg_set_string (&record->cell_claim->entry, entry->settings->name);
  record->cell_claim->replaces_epoch =
      cb_ledger_epoch (entry->ledger, entry->settings->cell, NULL);
  entry->claim_pending = TRUE;
  cb_log (CB_LOG_INFO, "entry", "claiming cell %s, replacing epoch %" G_GUINT64_FORMAT,
          entry->settings->cell, record->cell_claim->replaces_epoch);
  cb_entry_append (entry, record, CB_OWNER_CLAIM, 0, NULL);
}

/* Sends requests in flight at agents of the entry HOME again, after the connection to
   HOME was replaced: messages sent over the old connection may be lost. */
static void
resend_through (cb_entry_t *entry, const char *home)
{
  resend_ctx_t resend = { entry, home };

  cb_peers_each_agent (entry->peers, resend_if_home, &resend);
}

/* Observer of member/, see cb_peers_observer_t. */
void
cb_entry_on_member (void *ctx, cb_member_event_t event, const char *name,
                    const Cb__AgentHome *agent)
{
  cb_entry_t *entry = ctx;
  cb_msec_t now_ms = cb_entry_now (entry);

  switch (event)
    {
    case CB_AGENT_UP:
    case CB_AGENT_CHANGED:
    case CB_AGENT_DOWN:
      cb_log (CB_LOG_DEBUG, "entry", "agent %s %s", name, agent->up ? "up" : "not up");
      update_sched_agent (entry, agent, event == CB_AGENT_DOWN);
      update_route_agent (entry, agent, event == CB_AGENT_DOWN);
      break;
    case CB_AGENT_MOVED:
      cb_log (CB_LOG_DEBUG, "entry", "agent %s has another home entry", name);
      update_route_agent (entry, agent, FALSE);
      break;
    case CB_PEER_UP:
      cb_log (CB_LOG_INFO, "entry", "entry %s up", name);
      cb_route_peer_up (entry->route, name, now_ms);
      break;
    case CB_PEER_DOWN:
      cb_log (CB_LOG_WARN, "entry", "entry %s down", name);
      cb_entry_redial (entry, name);
      cb_route_peer_down (entry->route, name, now_ms);
      break;
    case CB_PEER_ONE_WAY:
      cb_log (CB_LOG_WARN, "entry",
              "entry %s does not receive heartbeats from this one", name);
      cb_entry_redial (entry, name);
      resend_through (entry, name);
      break;
    case CB_SCHEDULER_SILENT:
      claim_cell (entry);
      break;
    }
}

/* Ends this process's role as scheduler, if it has it; WHY is logged. */
void
cb_entry_step_down (cb_entry_t *entry, const char *why)
{
  if (entry->epoch == 0)
    return;
  cb_log (CB_LOG_WARN, "entry", "stopped scheduling cell %s: %s", entry->settings->cell,
          why);
  entry->epoch = 0;
  cb_sched_set_epoch (entry->sched, 0, cb_entry_now (entry));
  cb_peers_set_scheduling (entry->peers, 0);
}

/* Returns the wall clock time in ms after which the replaced scheduler can't have been
   running, as it would have sent another heartbeat: two intervals after its last one.
   The second interval allows for differences between the clocks of entries. 0: no
   heartbeat was received. */
static uint64_t
predecessor_lost_wall_ms (const cb_entry_t *entry)
{
  cb_msec_t last_heartbeat_ms = cb_peers_scheduler_last_heartbeat (entry->peers);
  cb_msec_t wall_ms = cb_clock_wall (entry->clock);

  if (last_heartbeat_ms == 0)
    return 0;
  return (uint64_t)(wall_ms - (cb_entry_now (entry) - last_heartbeat_ms) +
                    2 * cb_member_scheduler_heartbeat_ms (entry->settings));
}

/* Handles a claim that was accepted at OFFSET, its epoch. A claim for another cell is
   only traced. Otherwise this process stops scheduling under its earlier epoch, and
   schedules under the new one if it appended the claim and is not draining. A claim
   that it appended before a restart has another producer. */
void
cb_entry_handle_claim (cb_entry_t *entry, uint64_t offset, const Cb__Record *record)
{
  const Cb__CellClaim *claim = record->cell_claim;
  char *fields = g_strdup_printf ("\"cell\":\"%s\",\"epoch\":%" G_GUINT64_FORMAT
                                  ",\"entry\":\"%s\"",
                                  claim->cell, offset, claim->entry);

  cb_trace_event (entry->trace, "epoch", fields);
  g_free (fields);
  if (strcmp (claim->cell, entry->settings->cell) != 0)
    return;
  cb_entry_step_down (entry, "a newer epoch was accepted");
  cb_sched_set_predecessor_lost (entry->sched, predecessor_lost_wall_ms (entry));
  cb_entry_update_peers_state (entry);
  if (entry->draining || strcmp (record->producer, entry->producer) != 0)
    return;
  cb_log (CB_LOG_INFO, "entry", "scheduling cell %s, epoch %" G_GUINT64_FORMAT,
          claim->cell, offset);
  entry->epoch = offset;
  cb_peers_set_scheduling (entry->peers, offset);
  cb_sched_set_epoch (entry->sched, offset, cb_entry_now (entry));
}

typedef struct
{
  cb_entry_t *entry;
  const char *instance;
} instance_ctx_t;

static void
update_if_target (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  const instance_ctx_t *target = ctx;

  if (home == NULL || strcmp (agent->name, target->instance) != 0)
    return;
  update_sched_agent (target->entry, agent, FALSE);
  update_route_agent (target->entry, agent, FALSE);
}

/* Passes the draining state of INSTANCE to the scheduler and the router, after the
   operator's drain in the log or a report of the agent. */
void
cb_entry_update_draining (cb_entry_t *entry, const char *instance)
{
  instance_ctx_t target = { entry, instance };

  cb_peers_each_agent (entry->peers, update_if_target, &target);
}

/* Passes to member/ the state of this entry that its heartbeats to other entries
   carry. */
void
cb_entry_update_peers_state (cb_entry_t *entry)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);
  const char *holder = NULL;
  uint64_t epoch = cb_ledger_epoch (entry->ledger, entry->settings->cell, &holder);

  cb_peers_set_state (entry->peers, config == NULL ? 0 : config->version,
                      cb_ledger_next_offset (entry->ledger), epoch, holder,
                      entry->draining);
}
