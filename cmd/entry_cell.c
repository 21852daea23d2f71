#include "cmd/entry.h"

#include <string.h>

static gboolean
is_draining (const cb_entry_t *entry, const Cb__AgentHome *agent)
{
  return agent->draining || cb_ledger_is_drained (entry->ledger, agent->name);
}

/* Tells the scheduler of a worker's agent. One whose entry was lost is neither up nor
   down for it: its tasks go on while it looks for another entry. */
static void
tell_sched (cb_entry_t *entry, const Cb__AgentHome *agent, gboolean down)
{
  const uint64_t *known = g_hash_table_lookup (entry->scheduled, agent->name);
  cb_msec_t now_ms = cb_entry_now (entry);

  if (down || (agent->up && !agent->has_worker))
    {
      if (g_hash_table_remove (entry->scheduled, agent->name))
        cb_sched_agent_down (entry->sched, agent->name, now_ms);
      return;
    }
  if (!agent->up)
    return;
  if (known == NULL || *known != agent->incarnation)
    {
      g_hash_table_replace (entry->scheduled, g_strdup (agent->name),
                            g_memdup2 (&agent->incarnation, sizeof (uint64_t)));
      cb_sched_agent_up (entry->sched, agent->name, agent->incarnation, now_ms);
    }
  cb_sched_set_draining (entry->sched, agent->name, is_draining (entry, agent), now_ms);
}

/* Tells the router of an agent. One whose entry was lost keeps its requests while it
   looks for another entry. */
static void
tell_route (cb_entry_t *entry, const Cb__AgentHome *agent, gboolean down)
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
} path_t;

static void
renew_path (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  const path_t *path = ctx;

  if (g_strcmp0 (home, path->home) != 0)
    return;
  cb_route_set_home_entry (path->entry->route, agent->name, agent->incarnation, NULL,
                           cb_entry_now (path->entry));
  tell_route (path->entry, agent, FALSE);
}

static void
tell_sched_again (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  if (home != NULL)
    tell_sched (ctx, agent, FALSE);
}

/* Tells the scheduler of all agents that are up. */
void
cb_entry_tell_agents (cb_entry_t *entry)
{
  g_hash_table_remove_all (entry->scheduled);
  cb_peers_each_agent (entry->peers, tell_sched_again, entry);
}

/* Makes the scheduler of this entry's cell anew and tells it of all agents. It gets the
   jobs from the fold. */
void
cb_entry_new_sched (cb_entry_t *entry)
{
  cb_sched_params_t params = { .cell = entry->settings->cell,
                               .entry = entry->settings->name,
                               .seed = entry->settings->seed };

  cb_sched_free (entry->sched);
  entry->sched = cb_sched_new (&params);
  if (entry->fleet != NULL)
    cb_sched_set_fleet (entry->sched, entry->fleet, cb_entry_now (entry));
  cb_entry_tell_agents (entry);
}

/* Appends a claim for the cell. It is made only with the log at hand: a claim that
   waits for the log would replace a scheduler that is alive again by then. */
static void
claim_cell (cb_entry_t *entry)
{
  Cb__Record *record;

  if (entry->claiming || entry->draining || entry->epoch > 0 || !entry->log_available ||
      !entry->caught_up || entry->config_refuses || entry->follow != CB_FOLLOW_STATE)
    return;
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_CELL_CLAIM;
  record->cell_claim = cb_msg_new (&cb__cell_claim__descriptor);
  cb_msg_set_string (&record->cell_claim->cell, entry->settings->cell);
  cb_msg_set_string (&record->cell_claim->entry, entry->settings->name);
  record->cell_claim->replaces_epoch =
      cb_ledger_epoch (entry->ledger, entry->settings->cell, NULL);
  entry->claiming = TRUE;
  cb_log (CB_LOG_INFO, "entry", "claims cell %s, replaces epoch %" G_GUINT64_FORMAT,
          entry->settings->cell, record->cell_claim->replaces_epoch);
  cb_entry_append (entry, record, CB_OWNER_CLAIM, 0, NULL);
}

/* The connection to the entry HOME was replaced: what was sent over it may be lost. */
static void
renew_paths (cb_entry_t *entry, const char *home)
{
  path_t path = { entry, home };

  cb_peers_each_agent (entry->peers, renew_path, &path);
}

/* Watch function of member/. */
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
      tell_sched (entry, agent, event == CB_AGENT_DOWN);
      tell_route (entry, agent, event == CB_AGENT_DOWN);
      break;
    case CB_AGENT_MOVED:
      cb_log (CB_LOG_DEBUG, "entry", "agent %s moved", name);
      tell_route (entry, agent, FALSE);
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
      cb_log (CB_LOG_WARN, "entry", "entry %s does not hear this one", name);
      cb_entry_redial (entry, name);
      renew_paths (entry, name);
      break;
    case CB_SCHEDULER_SILENT:
      claim_cell (entry);
      break;
    }
}

/* Ends this process's role as scheduler; nothing happens when it has none. */
void
cb_entry_step_down (cb_entry_t *entry, const char *why)
{
  if (entry->epoch == 0)
    return;
  cb_log (CB_LOG_WARN, "entry", "no longer schedules cell %s: %s",
          entry->settings->cell, why);
  entry->epoch = 0;
  cb_sched_set_epoch (entry->sched, 0, cb_entry_now (entry));
  cb_peers_set_scheduling (entry->peers, 0);
}

/* Wall clock time after which the scheduler that is replaced cannot have been alive, or
   it would have sent a beat: the last one and two intervals, the second for differences
   between the clocks of entries. 0 when no beat was heard. */
static uint64_t
lost_wall_ms (const cb_entry_t *entry)
{
  cb_msec_t heard_ms = cb_peers_scheduler_last_heartbeat (entry->peers);
  cb_msec_t wall_ms = cb_clock_wall (entry->clock);

  if (heard_ms == 0)
    return 0;
  return (uint64_t)(wall_ms - (cb_entry_now (entry) - heard_ms) +
                    2 * cb_member_scheduler_heartbeat_ms (entry->settings));
}

/* Takes an accepted claim: this process schedules when the claim is its own and of this
   start. */
void
cb_entry_on_claim (cb_entry_t *entry, uint64_t offset, const Cb__Record *record)
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
  cb_sched_set_predecessor_lost (entry->sched, lost_wall_ms (entry));
  cb_entry_set_state (entry);
  if (entry->draining || strcmp (record->producer, entry->producer) != 0)
    return;
  cb_log (CB_LOG_INFO, "entry", "schedules cell %s, epoch %" G_GUINT64_FORMAT,
          claim->cell, offset);
  entry->epoch = offset;
  cb_peers_set_scheduling (entry->peers, offset);
  cb_sched_set_epoch (entry->sched, offset, cb_entry_now (entry));
}

typedef struct
{
  cb_entry_t *entry;
  const char *instance;
} drain_t;

static void
renew_drained (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  const drain_t *drain = ctx;

  if (home == NULL || strcmp (agent->name, drain->instance) != 0)
    return;
  tell_sched (drain->entry, agent, FALSE);
  tell_route (drain->entry, agent, FALSE);
}

/* The log's drain of INSTANCE was folded. */
void
cb_entry_on_drain (cb_entry_t *entry, const char *instance)
{
  drain_t drain = { entry, instance };

  cb_peers_each_agent (entry->peers, renew_drained, &drain);
}

/* Passes what the fold knows on to member/, for the beats. */
void
cb_entry_set_state (cb_entry_t *entry)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);
  const char *holder = NULL;
  uint64_t epoch = cb_ledger_epoch (entry->ledger, entry->settings->cell, &holder);

  cb_peers_set_state (entry->peers, config == NULL ? 0 : config->version,
                      cb_ledger_next_offset (entry->ledger), epoch, holder,
                      entry->draining);
}
