/* carobrun-fake-runner: a worker of the users' platform, as platform/worker.c speaks to
   it. A job's spec `run MS` takes MS milliseconds, `fail MS` fails after them, `fill
   MS` makes the response times of the others longer, by its pace. Its trace has
   `run_start` and `run_end` for each task, and `end_seen` for an end that was
   acknowledged while the lease had not lapsed since. SIGTERM: it says that it drains,
   then that it leaves, and ends. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

#define TICK_MS 10
#define BEAT_MS 300
#define BEAT_TIMEOUT_MS 1000
#define CPU_MILLI 64000
#define MEMORY_MB 131072
/* Time between the notice of a drain and the end. */
#define DRAIN_MS 1500
/* Response time that is reported without tasks that fill. */
#define LATENCY_MS 30

typedef struct
{
  char *task;
  uint32_t run;
  cb_msec_t ends_ms;
  gboolean fails;
  gboolean fills;
  uint32_t pace; /* percent */
  gboolean stops;
} run_t;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
  cb_msec_t at_ms;
} end_t;

typedef struct
{
  cb_http_req_t *req;
  cb_msec_t due_ms;
} hold_t;

typedef struct
{
  cb_fake_t fake;
  const char *listen;
  const char *agent;
  const char *id;
  const char *service;
  const char *rack;
  int accelerators;
  gboolean tickets; /* starts need one */
  cb_msec_t born_ms;
  uint64_t fence;
  uint64_t sequence;
  cb_msec_t lease_ms;
  cb_msec_t lapsed_ms; /* last time without a lease */
  GQueue runs;         /* of run_t */
  GQueue ends;         /* of end_t */
  GQueue holds;        /* of hold_t */
  GHashTable *highest; /* task -> run that ended or was stopped */
  uint64_t last_number;
  cb_msec_t draining_ms; /* 0: not */
} runner_t;

static cb_msec_t
now (void)
{
  return cb_clock_now (cb_clock_system ());
}

static json_int_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
end_run (runner_t *r, run_t *run, const char *how)
{
  end_t *end = g_new0 (end_t, 1);

  cb_fake_event (&r->fake, "run_end", "\"task\":\"%s\",\"run\":%u,\"how\":\"%s\"",
                 run->task, run->run, how);
  g_hash_table_replace (r->highest, g_strdup (run->task), GUINT_TO_POINTER (run->run));
  end->number = ++r->last_number;
  end->task = run->task;
  end->run = run->run;
  end->how = how;
  end->at_ms = now ();
  g_queue_push_tail (&r->ends, end);
  g_queue_remove (&r->runs, run);
  g_free (run);
}

static run_t *
find_run (const runner_t *r, const char *task)
{
  for (GList *l = r->runs.head; l != NULL; l = l->next)
    if (strcmp (((run_t *)l->data)->task, task) == 0)
      return l->data;
  return NULL;
}

static int
latency_ms (const runner_t *r)
{
  uint32_t latency = LATENCY_MS;

  for (GList *l = r->runs.head; l != NULL; l = l->next)
    {
      const run_t *run = l->data;

      latency += run->fills ? run->pace : 0;
    }
  return (int)latency;
}

static json_t *
lists (const runner_t *r)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (GList *l = r->runs.head; l != NULL; l = l->next)
    {
      const run_t *run = l->data;

      json_array_append_new (running, json_pack ("[s,i,s,i,i]", run->task, run->run, "",
                                                 50, latency_ms (r)));
    }
  for (GList *l = r->ends.head; l != NULL; l = l->next)
    {
      const end_t *end = l->data;

      json_array_append_new (ended, json_pack ("[I,s,i,s,s]", (json_int_t)end->number,
                                               end->task, end->run, end->how, ""));
    }
  return json_pack ("{s:I,s:o,s:o}", "clockMs", (json_int_t)now (), "running", running,
                    "finished", ended);
}

static void
refuse (cb_http_req_t *req, const char *reason)
{
  cb_fake_reply (
      req, 409,
      json_pack ("{s:I,s:s}", "clockMs", (json_int_t)now (), "reason", reason));
}

static void
accept_call (cb_http_req_t *req)
{
  cb_fake_reply (req, 200, json_pack ("{s:I}", "clockMs", (json_int_t)now ()));
}

/* A ticket is STEP@WORKER, as carobrun-fake-advisor gives it. */
static gboolean
has_ticket (const runner_t *r, const char *task, const json_t *body)
{
  const char *ticket = json_string_value (json_object_get (body, "ticket"));
  char *step = g_strndup (task, (gsize)(strrchr (task, '.') - task));
  char *wanted = g_strdup_printf ("%s@%s", step, r->id);
  gboolean match = !r->tickets || g_strcmp0 (ticket, wanted) == 0;

  g_free (step);
  g_free (wanted);
  return match;
}

static void
on_start (runner_t *r, cb_http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number_of_run = (uint32_t)number (body, "run");
  run_t *run = find_run (r, task);

  if (run != NULL && run->run == number_of_run)
    accept_call (req);
  else if (run != NULL ||
           number_of_run <= GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    refuse (req, "old");
  else if (number (body, "deadlineMs") <= now ())
    refuse (req, "late");
  else if (!has_ticket (r, task, body))
    refuse (req, "ticket");
  else
    {
      run = g_new0 (run_t, 1);
      run->task = g_strdup (task);
      run->run = number_of_run;
      run->fails = strncmp (spec, "fail", 4) == 0;
      run->fills = strncmp (spec, "fill", 4) == 0;
      run->pace = 100;
      run->ends_ms = now () + g_ascii_strtoll (strchr (spec, ' ') + 1, NULL, 10);
      g_queue_push_tail (&r->runs, run);
      cb_fake_event (&r->fake, "run_start", "\"task\":\"%s\",\"run\":%u", task,
                     number_of_run);
      accept_call (req);
    }
}

static void
on_stop (runner_t *r, cb_http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t number_of_run = (uint32_t)number (body, "run");
  run_t *run = find_run (r, task);
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task));

  if (run != NULL && run->run == number_of_run)
    run->stops = TRUE;
  g_hash_table_replace (r->highest, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, number_of_run)));
  accept_call (req);
}

static void
on_pace (const runner_t *r, cb_http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  run_t *run = find_run (r, task);

  if (run == NULL || run->run != (uint32_t)number (body, "run"))
    {
      refuse (req, "old");
      return;
    }
  run->pace = (uint32_t)number (body, "percent");
  cb_fake_event (&r->fake, "pace", "\"task\":\"%s\",\"percent\":%u", task, run->pace);
  accept_call (req);
}

static void
on_hold (runner_t *r, cb_http_req_t *req, const json_t *body)
{
  hold_t *hold = g_new0 (hold_t, 1);
  uint64_t seen = (uint64_t)number (body, "lastSeen");
  end_t *end;

  while ((end = g_queue_peek_head (&r->ends)) != NULL && end->number <= seen)
    {
      g_queue_pop_head (&r->ends);
      if (r->lapsed_ms < end->at_ms)
        cb_fake_event (&r->fake, "end_seen",
                       "\"task\":\"%s\",\"run\":%u,\"how\":\"%s\"", end->task, end->run,
                       end->how);
      g_free (end->task);
      g_free (end);
    }
  hold->req = req;
  hold->due_ms = now () + number (body, "waitMs");
  g_queue_push_tail (&r->holds, hold);
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  runner_t *r = ctx;
  const char *path = cb_http_path (req);
  size_t len;
  const char *text = cb_http_body (req, &len);
  const char *target = cb_http_header (req, "target-instance");
  json_t *body;

  if (cb_fake_control (&r->fake, req))
    return;
  if (cb_fake_take (&r->fake, "silent"))
    {
      cb_http_no_reply (req);
      return;
    }
  body = json_loadb (text, len, 0, NULL);
  if (body == NULL)
    cb_fake_reply (req, 400, json_object ());
  else if (target != NULL && strcmp (target, r->id) != 0)
    cb_fake_reply (req, 421, json_object ());
  else if ((uint64_t)number (body, "fencingToken") < r->fence)
    refuse (req, "fence");
  else
    {
      r->fence = (uint64_t)number (body, "fencingToken");
      r->lease_ms = MAX (r->lease_ms, number (body, "deadlineMs"));
      if (strcmp (path, "/api/run-start") == 0)
        on_start (r, req, body);
      else if (strcmp (path, "/api/run-stop") == 0)
        on_stop (r, req, body);
      else if (strcmp (path, "/api/pace") == 0)
        on_pace (r, req, body);
      else
        on_hold (r, req, body);
    }
  json_decref (body);
}

static void
on_sent (void *ctx, int err, int status, const char *body, size_t len)
{
  (void)ctx;
  (void)err;
  (void)status;
  (void)body;
  (void)len;
}

static void
send_beat (runner_t *r, const char *what)
{
  char *path = g_strdup_printf ("/api/instances/%s/%s", r->id, what);
  json_t *body =
      json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
                 "service", r->service, "address", r->listen, "zone", "z", "version",
                 "v1", "slots", 8, "state", r->draining_ms != 0 ? "draining" : "ready",
                 "capacity", "cpu", CPU_MILLI, "memMb", MEMORY_MB, "gpu",
                 r->accelerators, "labels", "a", r->rack, "clockMs", (json_int_t)now (),
                 "seq", (json_int_t)++r->sequence, "born", (json_int_t)r->born_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  cb_http_spec_t spec = { .address = r->agent,
                          .method = "POST",
                          .path = path,
                          .headers = "content-type: application/json\r\n",
                          .body = text,
                          .body_len = strlen (text),
                          .timeout_ms = BEAT_TIMEOUT_MS };

  cb_http_call (r->fake.loop, &spec, on_sent, NULL);
  json_decref (body);
  free (text);
  g_free (path);
}

static void
on_beat (void *ctx)
{
  send_beat (ctx, "heartbeat");
}

static void
check_runs (runner_t *r)
{
  GList *link = r->runs.head;

  if (now () > r->lease_ms)
    r->lapsed_ms = now ();
  while (link != NULL)
    {
      GList *next = link->next;
      run_t *run = link->data;

      if (run->stops)
        end_run (r, run, "stopped");
      else if (now () > r->lease_ms)
        end_run (r, run, "lapsed");
      else if (now () >= run->ends_ms)
        end_run (r, run, run->fails ? "failed" : "done");
      link = next;
    }
}

static void
on_tick (void *ctx)
{
  runner_t *r = ctx;
  uint64_t before = r->last_number;
  GList *link = r->holds.head;

  check_runs (r);
  while (link != NULL)
    {
      GList *next = link->next;
      hold_t *hold = link->data;

      if (r->last_number != before || now () >= hold->due_ms)
        {
          cb_fake_reply (hold->req, 200, lists (r));
          g_queue_delete_link (&r->holds, link);
          g_free (hold);
        }
      link = next;
    }
  if (r->draining_ms != 0 && now () - r->draining_ms > DRAIN_MS)
    {
      while (r->runs.head != NULL)
        end_run (r, r->runs.head->data, "stopped");
      cb_loop_stop (r->fake.loop);
    }
}

static void
on_signal (void *ctx, int signo)
{
  runner_t *r = ctx;

  (void)signo;
  r->draining_ms = now ();
  send_beat (r, "heartbeat");
}

typedef struct
{
  runner_t *runner;
  cb_fake_params_t params;
} arguments_t;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  arguments_t *a = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &a->params;
      return 0;
    case 'a':
      a->runner->agent = arg;
      return 0;
    case 'i':
      a->runner->id = arg;
      a->params.name = arg;
      return 0;
    case 'r':
      a->runner->rack = arg;
      return 0;
    case 'k':
      a->runner->tickets = TRUE;
      return 0;
    case ARGP_KEY_END:
      if (a->runner->agent == NULL || a->runner->id == NULL)
        argp_error (state, "--agent and --id are needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "agent", 'a', "ADDRESS", 0, "control address of the agent", 0 },
    { "id", 'i', "NAME", 0, "of the worker", 0 },
    { "rack", 'r', "NAME", 0, "default r1", 0 },
    { "tickets", 'k', NULL, 0, "starts need a ticket of the advisor", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse,
                                    .children = children,
                                    .doc = "Stand-in for a worker of the platform." };
  runner_t r = { .service = "svc", .rack = "r1", .accelerators = 8 };
  arguments_t arguments = { .runner = &r,
                            .params = { .role = "runner",
                                        .trace_file = "",
                                        .handler = on_request,
                                        .on_signal = on_signal,
                                        .ctx = &r } };

  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0 ||
      cb_fake_open (&r.fake, &arguments.params) < 0)
    return 2;
  r.listen = arguments.params.listen;
  r.born_ms = cb_clock_wall (cb_clock_system ());
  r.highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&r.runs);
  g_queue_init (&r.ends);
  g_queue_init (&r.holds);
  cb_timer_new (r.fake.loop, TICK_MS, TICK_MS, on_tick, &r);
  cb_timer_new (r.fake.loop, 0, BEAT_MS, on_beat, &r);
  cb_fake_run (&r.fake);
  return 0;
}
