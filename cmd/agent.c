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
  cb_agent_perform (agent);
}

static void
on_worker_says (void *ctx, const cb_worker_word_t *word)
{
  cb_agent_t *agent = ctx;
  const Cb__Task *task = word->task;

  if (word->lost)
    {
      cb_counters_add (agent->counters, "agent_worker_unanswered", NULL, 1);
      cb_gang_worker_unreachable (agent->gang, now ());
    }
  else
    cb_gang_handle_task_status (agent->gang, task->account, task->job_key,
                                task->attempt, task->member, word->state,
                                word->checkpointed, now ());
  cb_agent_perform (agent);
}

static void
on_worker_count (void *ctx, int running)
{
  cb_agent_t *agent = ctx;

  agent->asking = FALSE;
  if (running == 0)
    agent->ready = TRUE;
}

/* An agent that was killed leaves tasks at the worker until their lease ends. Work is
   accepted only when none is left, so that no accelerator is given out twice. */
static void
check_ready (cb_agent_t *agent, cb_msec_t now_ms)
{
  if (agent->worker == NULL ||
      now_ms >= agent->started_ms + CB_WORKER_LEASE_MS + CB_WORKER_RENEW_MS)
    agent->ready = TRUE;
  if (agent->ready || agent->asking)
    return;
  agent->asking = TRUE;
  agent->worker->ops->count (agent->worker, on_worker_count);
}

static void
on_tick (void *ctx)
{
  cb_agent_t *agent = ctx;
  cb_msec_t now_ms = now ();

  check_ready (agent, now_ms);
  cb_gang_tick (agent->gang, now_ms);
  cb_serve_tick (agent->serve, now_ms);
  if (agent->ready && agent->bye_ms == 0)
    {
      gboolean draining = agent->term_ms > 0 || cb_home_drained (agent->home);

      cb_serve_drain (agent->serve, draining);
      cb_gang_set_draining (agent->gang, draining);
      cb_home_set_state (agent->home, draining, agent->config_version,
                         cb_gang_task_count (agent->gang),
                         cb_serve_running_count (agent->serve),
                         cb_serve_endpoint_info (agent->serve));
      cb_home_tick (agent->home, now_ms);
      cb_agent_connect (agent);
    }
  cb_agent_close_unused (agent);
  cb_agent_perform (agent);
  cb_agent_check_stop (agent, now_ms);
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
  agent->endpoint = cb_endpoint_http_new (agent->loop, settings->endpoint_address,
                                          on_endpoint_done, agent);
  if (settings->worker_address[0] != '\0')
    agent->worker = cb_worker_http_new (agent->loop, settings->worker_address,
                                        on_worker_says, agent);
}

static void
close_modules (cb_agent_t *agent)
{
  cb_timer_free (agent->timer);
  if (agent->wire != NULL)
    cb_wire_close (agent->wire);
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
write_start (const cb_agent_t *agent)
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
write_exit (const cb_agent_t *agent)
{
  char *fields =
      g_strdup_printf ("\"in_flight\":%u", cb_serve_running_count (agent->serve));

  cb_trace_event (agent->trace, "exit", fields);
  g_free (fields);
}

static int
run (Cb__Settings *settings)
{
  cb_agent_t agent = { .settings = settings };

  agent.incarnation = (uint64_t)cb_clock_wall (cb_clock_system ());
  agent.cell = settings->cell[0] != '\0' ? settings->cell : settings->region;
  agent.started_ms = now ();
  agent.loop = cb_loop_new ();
  agent.signals = cb_signals_new (agent.loop, cb_agent_on_signal, &agent);
  if (cb_http_listen (agent.loop, settings->http_address, cb_agent_http, &agent,
                      &agent.server) < 0)
    {
      fprintf (stderr, "carobrun agent: cannot listen on %s\n", settings->http_address);
      cb_signals_free (agent.signals);
      return CB_EXIT_REFUSED;
    }
  agent.trace =
      cb_trace_open (settings->trace_file, settings->name, cb_clock_system ());
  open_modules (&agent);
  if (cb_agent_listen (&agent) < 0)
    {
      fprintf (stderr, "carobrun agent: cannot listen on %s\n", settings->wire_address);
      close_modules (&agent);
      cb_trace_close (agent.trace);
      return CB_EXIT_REFUSED;
    }
  write_start (&agent);
  cb_log (CB_LOG_INFO, "agent", "%s listens on %s", settings->name,
          settings->http_address);
  agent.timer = cb_timer_new (agent.loop, 0, TICK_MS, on_tick, &agent);
  cb_loop_run (agent.loop);
  write_exit (&agent);
  cb_log (CB_LOG_INFO, "agent", "%s ends", settings->name);
  close_modules (&agent);
  cb_trace_close (agent.trace);
  return CB_EXIT_DONE;
}

/* Messages to an agent are addressed by instance; so its process has the same name. */
static const char *
check_settings (Cb__Settings *settings)
{
  cb_log_level_t level;

  if (settings->name[0] == '\0')
    cb_msg_set_string (&settings->name, settings->instance);
  if (settings->instance[0] == '\0')
    cb_msg_set_string (&settings->instance, settings->name);
  if (settings->name[0] == '\0')
    return "name or instance is missing";
  if (strcmp (settings->name, settings->instance) != 0)
    return "name: must be the same as instance";
  if (settings->n_entries == 0)
    return "entries: at least one is needed";
  if (settings->http_address[0] == '\0')
    return "http_address is missing";
  if (settings->log_level[0] == '\0')
    return NULL;
  if (cb_log_level_parse (settings->log_level, &level) < 0)
    return "log_level: error, warn, info or debug";
  cb_log_set_level (level);
  return NULL;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
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

/* Runs the agent beside an endpoint or worker until SIGTERM. */
int
cb_cmd_agent (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "settings of this process", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse,
                                    .doc = "Run the agent of an instance." };
  char *path = NULL;
  ProtobufCMessage *message = NULL;
  cb_source_t source;
  cb_errors_t errors;
  const char *wrong;
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
  else if ((wrong = check_settings ((Cb__Settings *)message)) != NULL)
    fprintf (stderr, "%s: %s\n", path, wrong);
  else
    status = run ((Cb__Settings *)message);
  cb_errors_clear (&errors);
  cb_source_clear (&source);
  cb_msg_free (message);
  return status;
}
