/* Handlers of GET /v1/status and GET /metrics. */
#include "cmd/entry.h"

#include <string.h>

typedef struct
{
  cb_entry_t *entry;
  Cb__Status *status;
} status_ctx_t;

static Cb__StatusProcess *
add_process (status_ctx_t *s, const char *name, const char *role, gboolean up)
{
  Cb__StatusProcess *process = cb_msg_new (&cb__status_process__descriptor);

  cb_msg_set_string (&process->name, name);
  cb_msg_set_string (&process->role, role);
  process->up = up;
  cb_msg_append ((void ***)&s->status->processes, &s->status->n_processes, process);
  return process;
}

static void
add_peer (void *ctx, const char *name, gboolean up, uint64_t config_version,
          uint64_t folded_next)
{
  (void)folded_next;
  add_process (ctx, name, "entry", up)->config_version = config_version;
}

static void
add_agent (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  status_ctx_t *s = ctx;
  const cb_fleet_t *fleet = s->entry->fleet;
  Cb__StatusProcess *process;

  /* Leaves out an agent that is down because its instance was removed from the
     inventory. */
  if (home == NULL && fleet != NULL && cb_fleet_instance (fleet, agent->name) == NULL)
    return;
  process = add_process (s, agent->name, "agent", home != NULL);

  cb_msg_set_string (&process->home, home);
  process->draining =
      agent->draining || cb_ledger_is_draining (s->entry->ledger, agent->name);
  process->worker = agent->has_worker;
  process->config_version =
      cb_peers_agent_config_version (s->entry->peers, agent->name);
  if (agent->endpoint != NULL)
    cb_msg_set_string (&process->endpoint, agent->endpoint->name);
}

/* Adds a pin: the instances whose accelerators are set aside for a guaranteed shape of
   ACCOUNT. COUNT is 0 when no instances could be set aside. */
static void
add_pin (void *ctx, const char *account, uint32_t accelerators,
         const char *const *instances, uint32_t count)
{
  status_ctx_t *s = ctx;
  Cb__StatusPin *pin = cb_msg_new (&cb__status_pin__descriptor);

  cb_msg_set_string (&pin->account, account);
  pin->accelerators = accelerators;
  pin->short_of_place = count == 0;
  for (uint32_t i = 0; i < count; i++)
    {
      char *name = NULL;

      cb_msg_set_string (&name, instances[i]);
      cb_msg_append ((void ***)&pin->instances, &pin->n_instances, name);
    }
  cb_msg_append ((void ***)&s->status->pins, &s->status->n_pins, pin);
}

static void
fill_scheduled_cell (const cb_entry_t *entry, Cb__StatusCell *cell)
{
  cb_sched_totals_t totals;

  cb_sched_totals (entry->sched, &totals);
  cell->accelerators = totals.accelerators;
  cell->accelerators_used = totals.accelerators_used;
  cell->jobs_queued = totals.jobs_queued;
  cell->jobs_running = totals.jobs_running;
  cell->guarantees = totals.guarantees;
  cell->guarantees_short = totals.guarantees_short;
  cell->workers_up = totals.workers_up;
  cell->workers_suspended = totals.workers_suspended;
  cell->fragmentation_permille = (uint32_t)(totals.fragmentation * 1000);
}

static void
add_cell (status_ctx_t *s, const char *name)
{
  Cb__StatusCell *cell = cb_msg_new (&cb__status_cell__descriptor);
  const char *holder = NULL;

  cell->epoch = cb_ledger_epoch (s->entry->ledger, name, &holder);
  cb_msg_set_string (&cell->cell, name);
  cb_msg_set_string (&cell->scheduler, holder);
  if (s->entry->epoch > 0 && strcmp (name, s->entry->settings->cell) == 0)
    fill_scheduled_cell (s->entry, cell);
  cb_msg_append ((void ***)&s->status->cells, &s->status->n_cells, cell);
}

static void
add_cells (status_ctx_t *s)
{
  const cb_fleet_t *fleet = s->entry->fleet;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  g_hash_table_add (seen, s->entry->settings->cell);
  add_cell (s, s->entry->settings->cell);
  for (uint32_t i = 0; fleet != NULL && i < fleet->zone_count; i++)
    if (g_hash_table_add (seen, (gpointer)fleet->zones[i].cell))
      add_cell (s, fleet->zones[i].cell);
  g_hash_table_unref (seen);
}

/* GET /v1/status */
void
cb_entry_get_status (cb_entry_t *entry, cb_http_req_t *req)
{
  status_ctx_t s = { entry, cb_msg_new (&cb__status__descriptor) };
  uint64_t version = entry->fleet == NULL ? 0 : entry->fleet->config->version;

  cb_msg_set_string (&s.status->entry, entry->settings->name);
  s.status->config_version = version;
  s.status->newest_config_version =
      MAX (version, cb_peers_newest_config_version (entry->peers));
  /* The entry refuses configuration changes until it has caught up with the log. */
  s.status->log_available = entry->log_available && entry->caught_up;
  s.status->folded_next = cb_ledger_next_offset (entry->ledger);
  s.status->requests_in_flight = cb_route_in_flight (entry->route);
  add_cells (&s);
  add_process (&s, entry->settings->name, "entry", TRUE)->config_version = version;
  cb_peers_each_peer (entry->peers, add_peer, &s);
  cb_peers_each_agent (entry->peers, add_agent, &s);
  if (entry->epoch > 0)
    cb_sched_each_pin (entry->sched, add_pin, &s);
  cb_entry_reply (req, 200, &s.status->base);
  cb_msg_free (s.status);
}

static void
set_gauges (cb_entry_t *entry)
{
  cb_counters_t *c = entry->counters;
  cb_sched_totals_t totals = { 0 };

  if (entry->epoch > 0)
    cb_sched_totals (entry->sched, &totals);
  cb_counters_set (c, "scheduler", NULL, entry->epoch > 0);
  cb_counters_set (c, "jobs_queued", NULL, totals.jobs_queued);
  cb_counters_set (c, "jobs_running", NULL, totals.jobs_running);
  cb_counters_set (c, "accelerators", NULL, totals.accelerators);
  cb_counters_set (c, "accelerators_used", NULL, totals.accelerators_used);
  cb_counters_set (c, "guarantees_short", NULL, totals.guarantees_short);
  cb_counters_set (c, "fragmentation_permille", NULL,
                   (uint64_t)(totals.fragmentation * 1000));
  cb_counters_set (c, "requests_in_flight", NULL, cb_route_in_flight (entry->route));
  cb_counters_set (c, "log_available", NULL, entry->log_available);
  cb_counters_set (c, "snapshot_next", NULL, entry->snapshot_stored_next);
  cb_counters_set (c, "log_appends_total", NULL, cb_writer_appends (entry->writer));
  cb_counters_set (c, "log_retries_total", NULL, cb_writer_retries (entry->writer));
  cb_counters_set (c, "config_version", NULL,
                   entry->fleet == NULL ? 0 : entry->fleet->config->version);
  cb_counters_set (c, "wire_bytes_in_total", NULL, cb_wire_bytes_in (entry->router));
  cb_counters_set (c, "wire_bytes_out_total", NULL, cb_wire_bytes_out (entry->router));
}

/* GET /metrics */
void
cb_entry_get_metrics (cb_entry_t *entry, cb_http_req_t *req)
{
  char *text;

  set_gauges (entry);
  text = cb_counters_text (entry->counters);
  cb_http_reply (req, 200, "text/plain; version=0.0.4", text, strlen (text));
  g_free (text);
}

/* Registers counters with the value 0, so that monitoring sees a rate from the first
   event on. */
void
cb_entry_register_counters (cb_entry_t *entry)
{
  cb_reason_register_counters (entry->counters);
  cb_counters_add (entry->counters, "resent_total", "reason=\"home_changed\"", 0);
  cb_counters_add (entry->counters, "resent_total", "reason=\"home_lost\"", 0);
  cb_counters_add (entry->counters, "undelivered_total", NULL, 0);
  cb_counters_add (entry->counters, "snapshots_total", NULL, 0);
  cb_counters_add (entry->counters, "views_late_total", NULL, 0);
  cb_counters_add (entry->counters, "snapshots_withheld_total", NULL, 0);
}
