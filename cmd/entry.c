/* `carobrun entry`: start of the process, its periodic work and graceful shutdown. */
#include "cmd/entry.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Each tick sends the log's batches that are due and checks the deadlines of requests.
   Membership, the scheduler and the configuration lag need less precision: they are
   handled every TICKS_PER_SLOW_TICK ticks. */
#define TICK_MS 10
#define TICKS_PER_SLOW_TICK 5
/* Largest average number of ids that a process may use per ms since its start. With
   more, its ids could be used again after its next start. */
#define MAX_IDS_PER_MS 4096
/* Delay of the exit, in which the sockets send the goodbye messages. */
#define GOODBYE_SEND_MS 300
/* Once all callers have a reply, a draining entry waits this long for the log to store
   its records and for late answers of endpoints. Without a limit it would not exit
   while the log or an endpoint doesn't respond. The other entries find out the outcome
   of the requests whose claims (log records of the right to send a request) it leaves
   open. */
#define DRAIN_GRACE_MS 5000

static volatile sig_atomic_t term_requested;

static void
on_signal (int signal_number)
{
  (void)signal_number;
  term_requested = 1;
}

static void
send_goodbye (cb_entry_t *entry, const char *to)
{
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);

  cb_msg_set_string (&envelope->to, to);
  envelope->body_case = CB__ENVELOPE__BODY_GOODBYE;
  envelope->goodbye = cb_msg_new (&cb__goodbye__descriptor);
  cb_entry_send (entry, envelope);
  cb_msg_free (envelope);
}

static void
send_goodbye_to_own_agent (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  cb_entry_t *entry = ctx;

  if (home != NULL && strcmp (home, entry->settings->name) == 0)
    send_goodbye (entry, agent->name);
}

static void
update_newest_config_version (void *ctx, const char *name, gboolean up,
                              uint64_t config_version, uint64_t folded_next)
{
  uint64_t *newest = ctx;

  (void)name;
  (void)folded_next;
  if (up)
    *newest = MAX (*newest, config_version);
}

/* When an entry that is up has a newer configuration than OWN_VERSION, sends goodbyes
   to this entry's agents, so that they connect to another entry: this one can't give
   them a newer configuration. Otherwise they stay. */
static void
move_agents (cb_entry_t *entry, uint64_t own_version, cb_msec_t now_ms)
{
  uint64_t newest = 0;

  entry->move_agents_due_ms = now_ms + CB_ENTRY_MOVE_AGENTS_INTERVAL_MS;
  cb_peers_each_peer (entry->peers, update_newest_config_version, &newest);
  if (newest > own_version)
    cb_peers_each_agent (entry->peers, send_goodbye_to_own_agent, entry);
}

static void
start_refusing_work (cb_entry_t *entry, uint64_t own_version)
{
  uint64_t newest = cb_peers_newest_config_version (entry->peers);
  char *fields = g_strdup_printf ("\"version\":%" G_GUINT64_FORMAT
                                  ",\"newest\":%" G_GUINT64_FORMAT,
                                  own_version, newest);

  cb_log (CB_LOG_WARN, "entry",
          "refusing work: configuration %" G_GUINT64_FORMAT
          " is out of date, newest is %" G_GUINT64_FORMAT,
          own_version, newest);
  cb_trace_event (entry->trace, "config_stale", fields);
  g_free (fields);
  entry->config_lag_exceeded = TRUE;
  cb_entry_step_down (entry, "a newer configuration is known");
}

/* While a newer configuration is known but not applied, sends the agents to other
   entries (see move_agents), and refuses work after CB_ENTRY_CONFIG_LAG_MAX_MS. Else an
   entry could act on an outdated configuration for longer than the 11 s of invariant I8
   (verify/config.c). */
static void
check_config_lag (cb_entry_t *entry, cb_msec_t now_ms)
{
  uint64_t own_version = entry->fleet == NULL ? 0 : entry->fleet->config->version;

  if (cb_peers_newest_config_version (entry->peers) <= own_version)
    {
      entry->newer_config_since_ms = 0;
      entry->config_lag_exceeded = FALSE;
      return;
    }
  if (entry->newer_config_since_ms == 0)
    {
      entry->newer_config_since_ms = now_ms;
      entry->move_agents_due_ms = now_ms + CB_ENTRY_MOVE_AGENTS_INTERVAL_MS;
    }
  if (now_ms >= entry->move_agents_due_ms)
    move_agents (entry, own_version, now_ms);
  if (!entry->config_lag_exceeded && entry->fleet != NULL &&
      now_ms - entry->newer_config_since_ms > CB_ENTRY_CONFIG_LAG_MAX_MS)
    start_refusing_work (entry, own_version);
}

/* Returns the number of callers without a reply. cb_route_in_flight is no measure of
   them: a request whose caller got `outcome_unknown` at its deadline stays in flight.
 */
static uint32_t
count_waiting_callers (const cb_entry_t *entry)
{
  return g_hash_table_size (entry->request_callers) + entry->listings.length +
         cb_entry_append_caller_count (entry);
}

static void
trace_in_flight (cb_entry_t *entry, const char *event)
{
  char *fields = g_strdup_printf ("\"in_flight\":%u", count_waiting_callers (entry));

  cb_trace_event (entry->trace, event, fields);
  g_free (fields);
}

/* Begins a graceful shutdown: a last heartbeat hands the cell over to another entry,
   new work is refused, and requests in flight continue. */
static void
begin_drain (cb_entry_t *entry)
{
  cb_log (CB_LOG_INFO, "entry", "shutting down: finishing the requests in flight");
  trace_in_flight (entry, "term");
  entry->draining = TRUE;
  cb_route_drain (entry->route, TRUE);
  cb_entry_update_peers_state (entry);
  cb_peers_tick (entry->peers, cb_entry_now (entry));
  cb_entry_flush (entry);
  cb_entry_step_down (entry, "this process is shutting down");
  cb_entry_flush (entry);
}

static void
send_goodbye_to_peer (void *ctx, const char *name, gboolean up, uint64_t config_version,
                      uint64_t folded_next)
{
  (void)config_version;
  (void)folded_next;
  if (up)
    send_goodbye (ctx, name);
}

static void
on_exit_due (void *ctx)
{
  cb_entry_t *entry = ctx;

  trace_in_flight (entry, "exit");
  cb_loop_stop (entry->loop);
}

/* Once all callers have a reply, waits up to DRAIN_GRACE_MS for unfinished requests and
   records. Then stores the exit snapshot if it is needed, waits until no snapshot is
   being written, sends goodbyes and starts the exit timer. */
static void
continue_drain (cb_entry_t *entry, cb_msec_t now_ms)
{
  gboolean unfinished =
      cb_route_in_flight (entry->route) > 0 || cb_writer_pending (entry->writer) > 0;

  if (entry->exit_timer != NULL || count_waiting_callers (entry) > 0)
    return;
  if (entry->drain_deadline_ms == 0)
    entry->drain_deadline_ms = now_ms + DRAIN_GRACE_MS;
  if (unfinished && now_ms < entry->drain_deadline_ms)
    return;
  if (unfinished)
    cb_log (CB_LOG_WARN, "entry",
            "exiting with %u unfinished requests and %zu records not stored",
            cb_route_in_flight (entry->route),
            (size_t)cb_writer_pending (entry->writer));
  cb_entry_store_exit_snapshot (entry, now_ms);
  if (entry->snapshot_pending_records > 0)
    return;
  cb_peers_each_agent (entry->peers, send_goodbye_to_own_agent, entry);
  cb_peers_each_peer (entry->peers, send_goodbye_to_peer, entry);
  entry->exit_timer =
      cb_timer_new (entry->loop, GOODBYE_SEND_MS, 0, on_exit_due, entry);
}

static void
on_tick (void *ctx)
{
  cb_entry_t *entry = ctx;
  cb_msec_t now_ms = cb_entry_now (entry);

  if (term_requested && !entry->draining)
    begin_drain (entry);
  cb_entry_log_tick (entry, now_ms);
  cb_route_tick (entry->route, now_ms);
  cb_entry_listings_tick (entry, now_ms);
  if (entry->tick_count++ % TICKS_PER_SLOW_TICK == 0)
    {
      cb_peers_tick (entry->peers, now_ms);
      cb_sched_tick (entry->sched, now_ms);
      check_config_lag (entry, now_ms);
    }
  cb_entry_flush (entry);
  if (entry->draining)
    continue_drain (entry, now_ms);
}

static gboolean
check_settings (const Cb__Settings *s, const char *path)
{
  const char *missing = NULL;
  const char *fault = NULL;

  if (*s->name == '\0')
    missing = "name";
  else if (*s->cell == '\0')
    missing = "cell";
  else if (*s->http_address == '\0')
    missing = "http_address";
  else if (*s->wire_address == '\0')
    missing = "wire_address";
  else if (s->log == NULL || *s->log->address == '\0')
    missing = "log.address";
  if (missing != NULL)
    fprintf (stderr, "carobrun entry: %s: %s is missing\n", path, missing);
  else if ((fault = cb_settings_range_error (s)) != NULL)
    fprintf (stderr, "carobrun entry: %s: %s\n", path, fault);
  return missing == NULL && fault == NULL;
}

static Cb__Settings *
load_settings (const char *path)
{
  ProtobufCMessage *message = NULL;
  Cb__Settings *settings;
  cb_source_t source;
  cb_errors_t errors;
  char *text;
  int err;

  cb_source_init (&source, path);
  cb_errors_init (&errors);
  err = cb_yaml_read_file (&cb__settings__descriptor, path, &source, &errors, &message);
  if (err < 0)
    {
      text = cb_errors_text (&errors);
      fprintf (stderr, "carobrun entry: %s\n", text);
      g_free (text);
      message = NULL;
    }
  cb_errors_clear (&errors);
  cb_source_clear (&source);
  if (message == NULL)
    return NULL;
  settings = (Cb__Settings *)message;
  if (*settings->cell == '\0')
    cb_msg_set_string (&settings->cell, settings->region);
  if (check_settings (settings, path))
    return settings;
  cb_msg_free (settings);
  return NULL;
}

static gboolean
is_drained (void *ctx, const char *instance)
{
  const cb_entry_t *entry = ctx;

  return cb_ledger_is_draining (entry->ledger, instance);
}

static void
create_modules (cb_entry_t *entry)
{
  cb_member_params_t member = { entry->settings, entry->incarnation };
  cb_route_params_t route = { entry->settings->name, entry->settings->seed };

  if (route.seed == 0)
    route.seed = ((uint64_t)g_random_int () << 32) | g_random_int ();
  entry->counters = cb_counters_new ();
  cb_entry_register_counters (entry);
  entry->request_callers =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  entry->sched_agents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->ledger = cb_ledger_new ();
  cb_ledger_set_observer (entry->ledger, cb_entry_on_record_applied, entry);
  entry->route = cb_route_new (&route, entry->ledger);
  entry->peers = cb_peers_new (&member, cb_entry_on_member, entry);
  cb_peers_set_drained (entry->peers, is_drained);
  cb_entry_recreate_sched (entry);
}

static void
free_entry (cb_entry_t *entry)
{
  entry->closing = TRUE;
  cb_timer_free (entry->tick_timer);
  cb_timer_free (entry->exit_timer);
  if (entry->server != NULL)
    cb_http_server_close (entry->server);
  cb_entry_log_free (entry);
  cb_entry_listings_free (entry);
  g_clear_pointer (&entry->dealers, g_hash_table_unref);
  cb_wire_close (entry->router);
  cb_sched_free (entry->sched);
  cb_route_free (entry->route);
  cb_peers_free (entry->peers);
  cb_ledger_free (entry->ledger);
  cb_fleet_unref (entry->fleet);
  g_hash_table_unref (entry->request_callers);
  g_hash_table_unref (entry->sched_agents);
  cb_counters_free (entry->counters);
  cb_loop_free (entry->loop);
  cb_trace_close (entry->trace);
  cb_msg_free (entry->settings);
}

static int
open_sockets (cb_entry_t *entry)
{
  if (cb_entry_connect (entry) < 0)
    {
      cb_log (CB_LOG_ERROR, "entry", "cannot listen on wire_address %s",
              entry->settings->wire_address);
      return CB_ERR_IO;
    }
  if (cb_http_listen (entry->loop, entry->settings->http_address, cb_entry_on_http,
                      entry, &entry->server) < 0)
    {
      cb_log (CB_LOG_ERROR, "entry", "cannot listen on http_address %s",
              entry->settings->http_address);
      return CB_ERR_IO;
    }
  return CB_OK;
}

static void
trace_start (cb_entry_t *entry)
{
  char *instance = cb_json_quote (entry->settings->instance);
  char *fields = g_strdup_printf (
      "\"role\":\"entry\",\"incarnation\":%" G_GUINT64_FORMAT ",\"instance\":%s",
      entry->incarnation, instance);

  cb_trace_event (entry->trace, "start", fields);
  g_free (fields);
  g_free (instance);
}

static int
run_entry (Cb__Settings *settings)
{
  cb_entry_t entry = { .settings = settings, .clock = cb_clock_system () };
  struct sigaction action = { .sa_handler = on_signal };
  int status = CB_EXIT_FAILED;

  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
  entry.incarnation = (uint64_t)cb_clock_wall (entry.clock);
  /* Ids of callers are unique across restarts, as a restarted process appends to the
     event trace of its name. */
  entry.last_id = entry.incarnation * MAX_IDS_PER_MS;
  entry.loop = cb_loop_new ();
  entry.trace = cb_trace_open (settings->trace_file, settings->name, entry.clock);
  create_modules (&entry);
  trace_start (&entry);
  if (open_sockets (&entry) == CB_OK)
    {
      cb_entry_log_start (&entry);
      entry.tick_timer = cb_timer_new (entry.loop, 0, TICK_MS, on_tick, &entry);
      cb_log (CB_LOG_INFO, "entry", "%s is listening on %s (HTTP) and %s (wire)",
              settings->name, settings->http_address, settings->wire_address);
      cb_loop_run (entry.loop);
      status = CB_EXIT_DONE;
    }
  free_entry (&entry);
  return status;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  if (key == 's')
    *(char **)state->input = arg;
  else if (key == ARGP_KEY_END && *(char **)state->input == NULL)
    argp_error (state, "--settings is required");
  else if (key != ARGP_KEY_END)
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Runs an entry process until SIGTERM or SIGINT. Returns a CB_EXIT_ status. */
int
cb_cmd_entry (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process (YAML)", 0 }, { 0 }
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .doc =
                                        "Run an entry: the HTTP interface for callers "
                                        "and operators, and a scheduler of a cell." };
  char *path = NULL;
  Cb__Settings *settings;
  cb_log_level_t level;

  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0)
    return CB_EXIT_USAGE;
  settings = load_settings (path);
  if (settings == NULL)
    return CB_EXIT_USAGE;
  if (*settings->log_level != '\0' &&
      cb_log_level_parse (settings->log_level, &level) == CB_OK)
    cb_log_set_level (level);
  return run_entry (settings);
}
