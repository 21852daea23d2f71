/* The command `carobrun agent`: start, timer and end of the process. */
#include "cmd/agent_local.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "cmd/fns.h"
#include "codec/fns.h"

#define TICK_MS 50

static cb_msec_t
now (void)
{
  return cb_clock_now (cb_clock_system ());
}

static void
on_endpoint_done (void *ctx, uint64_t tag, cb_call_end_t end, uint32_t status,
                  const void *body, size_t len)
{
  cb_agent_t *agent = ctx;

  cb_serve_run_done (agent->serve, tag, end, status, body, len, now ());
  cb_agent_perform_outputs (agent);
}

static void
on_worker_done (void *ctx, const cb_worker_result_t *result)
{
  cb_agent_t *agent = ctx;
  const Cb__Task *task = result->task;

  if (result->unreachable)
    {
      cb_counters_add (agent->counters, "agent_worker_unanswered", NULL, 1);
      cb_gang_worker_unreachable (agent->gang, now ());
    }
  else if (result->missing)
    cb_gang_handle_missing_task (agent->gang, task->account, task->job_key,
                                 task->attempt, task->member, now ());
  else
    cb_gang_handle_task_status (agent->gang, task->account, task->job_key,
                                task->attempt, task->member, result->state,
                                result->checkpointed, now ());
  cb_agent_perform_outputs (agent);
}

static void
on_tasks_counted (void *ctx, int running)
{
  cb_agent_t *agent = ctx;

  agent->counting_tasks = FALSE;
  if (running == 0)
    agent->ready = TRUE;
}

/* The tasks of a killed agent process run on at the worker until their leases end. Its
   successor accepts work only when no task is running at the worker or every such lease
   has ended, so that no accelerator is allocated twice. */
static void
check_ready (cb_agent_t *agent, cb_msec_t now_ms)
{
  if (agent->worker == NULL ||
      now_ms >= agent->started_ms + CB_WORKER_LEASE_MS + CB_WORKER_RENEW_MS)
    agent->ready = TRUE;
  if (agent->ready || agent->counting_tasks)
    return;
  agent->counting_tasks = TRUE;
  agent->worker->ops->request_running_count (agent->worker, on_tasks_counted);
}

static void
on_tick (void *ctx)
{
  cb_agent_t *agent = ctx;
  cb_msec_t now_ms = now ();

  check_ready (agent, now_ms);
  cb_gang_tick (agent->gang, now_ms);
  cb_serve_tick (agent->serve, now_ms);
  if (agent->ready && agent->goodbye_ms == 0)
    {
      gboolean draining = agent->shutdown_ms > 0 || cb_home_drained (agent->home);

      cb_serve_drain (agent->serve, draining);
      cb_gang_set_draining (agent->gang, draining);
      cb_home_set_state (agent->home, draining, agent->config_version,
                         cb_gang_task_count (agent->gang),
                         cb_serve_running_count (agent->serve),
                         cb_serve_endpoint_info (agent->serve));
      cb_home_tick (agent->home, now_ms);
      cb_agent_connect_home (agent);
    }
  cb_agent_close_unused_links (agent);
  cb_agent_perform_outputs (agent);
  cb_agent_check_shutdown (agent, now_ms);
}

static void
open_modules (cb_agent_t *agent)
{
  const Cb__Settings *settings = agent->settings;
  cb_member_params_t member = { settings, agent->incarnation };
  cb_gang_params_t gang = { settings->instance, agent->cell, 0, 0, 0 };

  agent->home = cb_home_new (&member);
  agent->gang = cb_gang_new (&gang);
  agent->serve = cb_serve_new (settings->instance);
  agent->counters = cb_counters_new ();
  agent->endpoint = cb_endpoint_adapter_new (agent->loop, settings->endpoint_address,
                                             on_endpoint_done, agent);
  if (settings->worker_address[0] != '\0')
    agent->worker = cb_worker_adapter_new (agent->loop, settings->worker_address,
                                           on_worker_done, agent);
}

static void
close_modules (cb_agent_t *agent)
{
  cb_timer_free (agent->timer);
  if (agent->home_wire != NULL)
    cb_wire_close (agent->home_wire);
  cb_agent_close_direct (agent);
  cb_http_server_close (agent->server);
  cb_signals_free (agent->signals);
  cb_home_free (agent->home);
  cb_gang_free (agent->gang);
  cb_serve_free (agent->serve);
  cb_counters_free (agent->counters);
  agent->endpoint->ops->free (agent->endpoint);
  if (agent->worker != NULL)
    agent->worker->ops->free (agent->worker);
}

static void
trace_start (const cb_agent_t *agent)
{
  char *instance = cb_json_quote (agent->settings->instance);
  char *fields = g_strdup_printf (
      "\"role\":\"agent\",\"incarnation\":%" G_GUINT64_FORMAT ",\"instance\":%s",
      agent->incarnation, instance);

  cb_trace_event (agent->trace, "start", fields);
  g_free (fields);
  g_free (instance);
}

static void
trace_exit (const cb_agent_t *agent)
{
  char *fields =
      g_strdup_printf ("\"in_flight\":%u", cb_serve_running_count (agent->serve));

  cb_trace_event (agent->trace, "exit", fields);
  g_free (fields);
}

static int
run_agent (Cb__Settings *settings)
{
  cb_agent_t agent = { .settings = settings };

  agent.incarnation = (uint64_t)cb_clock_wall (cb_clock_system ());
  agent.cell = settings->cell[0] != '\0' ? settings->cell : settings->region;
  agent.started_ms = now ();
  agent.loop = cb_loop_new ();
  agent.signals = cb_signals_new (agent.loop, cb_agent_on_signal, &agent);
  if (cb_http_listen (agent.loop, settings->http_address, cb_agent_handle_http, &agent,
                      &agent.server) < 0)
    {
      fprintf (stderr, "carobrun agent: cannot listen on %s\n", settings->http_address);
      cb_signals_free (agent.signals);
      return CB_EXIT_FAILED;
    }
  agent.trace =
      cb_trace_open (settings->trace_file, settings->name, cb_clock_system ());
  open_modules (&agent);
  if (cb_agent_listen_direct (&agent) < 0)
    {
      fprintf (stderr, "carobrun agent: cannot listen on %s\n", settings->wire_address);
      close_modules (&agent);
      cb_trace_close (agent.trace);
      return CB_EXIT_FAILED;
    }
  trace_start (&agent);
  cb_log (CB_LOG_INFO, "agent", "%s listens on %s", settings->name,
          settings->http_address);
  agent.timer = cb_timer_new (agent.loop, 0, TICK_MS, on_tick, &agent);
  cb_loop_run (agent.loop);
  trace_exit (&agent);
  cb_log (CB_LOG_INFO, "agent", "%s exits", settings->name);
  close_modules (&agent);
  cb_trace_close (agent.trace);
  return CB_EXIT_DONE;
}

/* Checks the settings and applies the log level. Messages to an agent are addressed by
   instance, so `name` must be equal to `instance`; if only one of them is set, the
   other gets its value. Returns the text of an error, NULL without one. */
static const char *
prepare_settings (Cb__Settings *settings)
{
  cb_log_level_t level;

  if (settings->name[0] == '\0')
    cb_msg_set_string (&settings->name, settings->instance);
  if (settings->instance[0] == '\0')
    cb_msg_set_string (&settings->instance, settings->name);
  if (settings->name[0] == '\0')
    return "name or instance is missing";
  if (strcmp (settings->name, settings->instance) != 0)
    return "name: must be equal to instance";
  if (settings->n_entries == 0)
    return "entries: at least one is needed";
  if (settings->http_address[0] == '\0')
    return "http_address is missing";
  if (settings->log_level[0] == '\0')
    return NULL;
  if (cb_log_level_parse (settings->log_level, &level) < 0)
    return "log_level: accepted: error, warn, info, debug";
  cb_log_set_level (level);
  return NULL;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  char **path = state->input;

  if (key == 's')
    *path = arg;
  else if (key == ARGP_KEY_END && *path == NULL)
    argp_error (state, "--settings is missing");
  else
    return key == ARGP_KEY_END ? 0 : ARGP_ERR_UNKNOWN;
  return 0;
}

/* Runs the agent beside an endpoint or worker until SIGTERM or SIGINT. */
int
cb_cmd_agent (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .doc = "Run the agent of an instance." };
  char *path = NULL;
  ProtobufCMessage *message = NULL;
  cb_source_t source;
  cb_errors_t errors;
  const char *fault;
  int status = CB_EXIT_USAGE;

  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0)
    return CB_EXIT_USAGE;
  cb_source_init (&source, path);
  cb_errors_init (&errors);
  if (cb_yaml_read_file (&cb__settings__descriptor, path, &source, &errors, &message) <
      0)
    {
      char *text = cb_errors_text (&errors);

      fprintf (stderr, "%s\n", text);
      g_free (text);
    }
  else if ((fault = prepare_settings ((Cb__Settings *)message)) != NULL)
    fprintf (stderr, "%s: %s\n", path, fault);
  else
    status = run_agent ((Cb__Settings *)message);
  cb_errors_clear (&errors);
  cb_source_clear (&source);
  cb_msg_free (message);
  return status;
}
