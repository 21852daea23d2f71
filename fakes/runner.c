/* carobrun-fake-runner: stand-in for a worker of the users' platform; platform/worker.c
   is its client. It runs tasks of three specs: `run MS` ends after MS milliseconds,
   `fail MS` fails after them, and `fill MS` also runs for MS and adds its pace (in
   percent, set by /api/pace) to the response time in ms that the worker reports. All
   runs end as `lapsed` when the lease of the worker expires.
   The trace has `run_start` and `run_end` for each run of a task, and `end_seen` when
   the end of a run was acknowledged and the lease has not expired since that end.
   On SIGTERM it reports the state "draining", and exits after DRAIN_MS or the time of
   --drain. The trace has `drain_seen` when its agent has acknowledged that.
   With --announce its heartbeats name another address than the one it listens on.
   Fault modes: `silent`: calls get no reply and have no effect. `odd_end`: lists show
   the oldest end with a value that cannot be read. `late`: starts get no reply and are
   carried out LATE_MS or the control call's `delay_ms` later, unless they would be
   refused by then. `later`: the same, LATER_MS later. `room`: starts of runs that are
   not here are refused for want of room. `accepted`: starts are answered as if they had
   been carried out, and have no effect. `unanswered`: starts get no reply and have no
   effect. `mute`: starts get no reply and are carried out.
   `draining`: heartbeats report the state "draining". `forget`: a run is no more,
   without an end. `lose_end`: the next end of a run is numbered and not listed.
   `busy`: starts are answered with 503. `odd_how`: a run ends in a way that no client
   knows. `odd_row`: an end is listed without its run. `odd_run`: lists show all running
   tasks without their names. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

/* A long poll returns at most this many ends, the oldest ones. */
#define ENDS_LISTED_MAX 500
/* Period of the check for runs and long polls that are due. */
#define TICK_MS 10
#define HEARTBEAT_MS 300
#define HEARTBEAT_TIMEOUT_MS 1000
/* Capacity that the worker reports. */
#define CPU_MILLI 64000
#define MEMORY_MB 131072
/* Longest lease, as hold_max_ms in the settings of the tests' agents and entries. A
   longer one, such as that of a call for an earlier process, is shortened. */
#define HOLD_MAX_MS 4000
/* Default time between SIGTERM and the exit. */
#define DRAIN_MS 2500
/* Delay of a start in the fault mode `late`: more than a call may take, so that the
   caller repeats it before. */
#define LATE_MS 2500
/* The same in the fault mode `later`: more than twice the lease of the tests. */
#define LATER_MS 9000
/* Response time that the worker reports while it runs no `fill` task. */
#define IDLE_LATENCY_MS 30

typedef struct
{
  char *task;
  uint32_t run; /* number of this run of the task */
  cb_msec_t start_ms;
  cb_msec_t end_ms;
  gboolean fails; /* spec `fail` */
  gboolean fills; /* spec `fill` */
  uint32_t pace;  /* CPU share of a `fill` task, in percent */
  gboolean stop_requested;
} run_t;

typedef struct
{
  uint64_t number; /* increases by 1 with each end */
  char *task;
  uint32_t run;
  const char *how; /* done, failed, stopped, lapsed, or evicted: mode `odd_how` */
  cb_msec_t ended_ms;
  gboolean odd; /* fault mode `odd_row` */
} end_t;

/* A call of /api/hold, which gets its reply when a run ends or when it is due. */
typedef struct
{
  cb_http_req_t *req;
  cb_msec_t due_ms;
} long_poll_t;

/* A start of the fault mode `late`. */
typedef struct
{
  json_t *body;
  cb_msec_t due_ms;
} late_start_t;

typedef struct
{
  cb_fake_t fake;
  const char *announced; /* address in the heartbeats */
  const char *zone;
  const char *label; /* its kind */
  const char *agent;
  const char *id;
  const char *service;
  const char *rack;
  int accelerators;
  gboolean shows_progress;
  gboolean tickets;             /* starts need a ticket of the advisor */
  cb_msec_t first_heartbeat_ms; /* from the start of this process to its first one */
  cb_msec_t start_wall_ms;      /* start of this process, in ms of the wall clock */
  uint64_t fencing_token;       /* highest in the calls so far */
  uint64_t sequence;            /* of the last heartbeat */
  cb_msec_t lease_end_ms;
  cb_msec_t lapsed_ms;   /* last time at which the lease had expired */
  GQueue runs;           /* of run_t */
  GQueue ends;           /* of end_t: those that are not acknowledged */
  GQueue long_polls;     /* of long_poll_t */
  GQueue late_starts;    /* of late_start_t */
  GHashTable *highest;   /* task -> highest run that ended or was stopped */
  uint64_t last_number;  /* number of the last end */
  cb_msec_t draining_ms; /* time of SIGTERM; 0: not draining */
  cb_msec_t drain_ms;    /* from then to its exit */
  gboolean says_leave;   /* it posts `leave` then */
  gboolean left;
} runner_t;

/* Speed of the worker's clock. */
static int clock_percent = 100;

/* Returns the worker's clock, in ms. It starts with the process, at 1. */
static cb_msec_t
now (void)
{
  static cb_msec_t start_ms;

  if (start_ms == 0)
    start_ms = cb_clock_now (cb_clock_system ());
  return 1 + (cb_clock_now (cb_clock_system ()) - start_ms) * clock_percent / 100;
}

static json_int_t
integer_member (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
end_run (runner_t *r, run_t *run, const char *how)
{
  end_t *end;

  if (cb_fake_use_mode (&r->fake, "odd_how"))
    how = "evicted";
  cb_fake_event (&r->fake, "run_end", "\"task\":\"%s\",\"run\":%u,\"how\":\"%s\"",
                 run->task, run->run, how);
  g_hash_table_replace (r->highest, g_strdup (run->task), GUINT_TO_POINTER (run->run));
  r->last_number++;
  g_queue_remove (&r->runs, run);
  if (cb_fake_use_mode (&r->fake, "lose_end"))
    {
      g_free (run->task);
      g_free (run);
      return;
    }
  end = g_new0 (end_t, 1);
  end->number = r->last_number;
  end->task = run->task;
  end->run = run->run;
  end->how = how;
  end->ended_ms = now ();
  end->odd = cb_fake_use_mode (&r->fake, "odd_row");
  g_queue_push_tail (&r->ends, end);
  g_free (run);
}

/* Removes RUN without an end, for the fault mode `forget`. */
static void
forget_run (runner_t *r, run_t *run)
{
  cb_fake_event (&r->fake, "run_end",
                 "\"task\":\"%s\",\"run\":%u,\"how\":\"forgotten\"", run->task,
                 run->run);
  g_queue_remove (&r->runs, run);
  g_free (run->task);
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

/* Returns the response time that the worker reports for each of its runs. */
static int
latency_ms (const runner_t *r)
{
  uint32_t latency = IDLE_LATENCY_MS;

  for (GList *l = r->runs.head; l != NULL; l = l->next)
    {
      const run_t *run = l->data;

      latency += run->fills ? run->pace : 0;
    }
  return (int)latency;
}

/* Returns the progress that lists show: constant unless the worker shows progress. */
static int
percent_done (const runner_t *r, const run_t *run)
{
  if (!r->shows_progress)
    return 50;
  return (int)(100 * (now () - run->start_ms) / MAX (1, run->end_ms - run->start_ms));
}

/* Returns the reply to a long poll: the running tasks, and the oldest ends that have
   not been acknowledged. */
static json_t *
task_lists (runner_t *r)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  gboolean odd_run = cb_fake_mode_active (&r->fake, "odd_run");

  for (GList *l = r->runs.head; l != NULL; l = l->next)
    {
      const run_t *run = l->data;

      json_array_append_new (
          running, json_pack ("[s,i,s,i,i]", odd_run ? "" : run->task, run->run, "",
                              percent_done (r, run), latency_ms (r)));
    }
  for (GList *l = r->ends.head; l != NULL && json_array_size (ended) < ENDS_LISTED_MAX;
       l = l->next)
    {
      const end_t *end = l->data;

      json_array_append_new (ended, json_pack ("[I,s,i,s,s]", (json_int_t)end->number,
                                               end->odd ? "" : end->task, end->run,
                                               end->how, ""));
    }
  if (json_array_size (ended) > 0 && cb_fake_use_mode (&r->fake, "odd_end"))
    json_array_set_new (json_array_get (ended, 0), 3, json_integer (7));
  return json_pack ("{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)now (), "born",
                    (json_int_t)r->start_wall_ms, "running", running, "finished",
                    ended);
}

static void
refuse (cb_http_req_t *req, const char *reason)
{
  cb_fake_reply (
      req, 409,
      json_pack ("{s:I,s:s}", "clockMs", (json_int_t)now (), "reason", reason));
}

static void
reply_accepted (cb_http_req_t *req)
{
  cb_fake_reply (req, 200, json_pack ("{s:I}", "clockMs", (json_int_t)now ()));
}

/* Returns whether the start BODY has the ticket of the advisor for TASK on this worker:
   STEP@WORKER, see fakes/advisor.c. TRUE when the worker checks no tickets. */
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

/* Starts the run of the start BODY, if it is not here. Returns NULL, or the reason why
   it is refused. */
static const char *
start_run (runner_t *r, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t run_number = (uint32_t)integer_member (body, "run");
  run_t *run = find_run (r, task);

  if (run != NULL && run->run == run_number)
    return NULL;
  if (run != NULL ||
      run_number <= GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    return "old";
  /* Whether the lease in the call or that of the worker decides is not specified. */
  if (MAX (integer_member (body, "deadlineMs"), r->lease_end_ms) <= now ())
    return "late";
  if (!has_ticket (r, task, body))
    return "ticket";
  if (cb_fake_use_mode (&r->fake, "room"))
    return "room";
  if (cb_fake_use_mode (&r->fake, "accepted"))
    {
      cb_fake_event (&r->fake, "start_dropped", "\"task\":\"%s\"", task);
      return NULL;
    }
  run = g_new0 (run_t, 1);
  run->task = g_strdup (task);
  run->run = run_number;
  run->fails = strncmp (spec, "fail", 4) == 0;
  run->fills = strncmp (spec, "fill", 4) == 0;
  run->pace = 100;
  run->start_ms = now ();
  run->end_ms = run->start_ms + g_ascii_strtoll (strchr (spec, ' ') + 1, NULL, 10);
  g_queue_push_tail (&r->runs, run);
  cb_fake_event (&r->fake, "run_start", "\"task\":\"%s\",\"run\":%u", task, run_number);
  return NULL;
}

static void
on_start (runner_t *r, cb_http_req_t *req, json_t *body)
{
  const char *reason;
  cb_msec_t late_ms;

  if (cb_fake_mode_active (&r->fake, "unanswered") ||
      cb_fake_mode_active (&r->fake, "busy"))
    {
      cb_fake_event (&r->fake, "start_dropped", "\"task\":\"%s\"",
                     json_string_value (json_object_get (body, "task")));
      if (cb_fake_use_mode (&r->fake, "unanswered"))
        cb_http_no_reply (req);
      else if (cb_fake_use_mode (&r->fake, "busy"))
        cb_fake_reply (req, 503, json_object ());
      return;
    }
  late_ms = cb_fake_use_mode (&r->fake, "late")    ? LATE_MS
            : cb_fake_use_mode (&r->fake, "later") ? LATER_MS
                                                   : 0;
  if (late_ms > 0)
    {
      late_start_t *late = g_new0 (late_start_t, 1);

      late->body = json_incref (body);
      late->due_ms = now () + (r->fake.delay_ms > 0 ? r->fake.delay_ms : late_ms);
      g_queue_push_tail (&r->late_starts, late);
      cb_fake_event (&r->fake, "start_delayed", "\"task\":\"%s\"",
                     json_string_value (json_object_get (body, "task")));
      cb_http_no_reply (req);
      return;
    }
  reason = start_run (r, body);
  if (cb_fake_use_mode (&r->fake, "mute"))
    cb_http_no_reply (req);
  else if (reason == NULL)
    reply_accepted (req);
  else
    {
      cb_fake_event (&r->fake, "start_refused", "\"task\":\"%s\",\"reason\":\"%s\"",
                     json_string_value (json_object_get (body, "task")), reason);
      refuse (req, reason);
    }
}

/* Carries out the starts of the fault mode `late` that are due. */
static void
check_late_starts (runner_t *r)
{
  late_start_t *late;

  while ((late = g_queue_peek_head (&r->late_starts)) != NULL && now () >= late->due_ms)
    {
      g_queue_pop_head (&r->late_starts);
      if ((uint64_t)integer_member (late->body, "fencingToken") >= r->fencing_token)
        start_run (r, late->body);
      json_decref (late->body);
      g_free (late);
    }
}

static void
on_stop (runner_t *r, cb_http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t run_number = (uint32_t)integer_member (body, "run");
  run_t *run = find_run (r, task);
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task));

  if (run != NULL && run->run == run_number)
    run->stop_requested = TRUE;
  else
    cb_fake_event (&r->fake, "stop_absent", "\"task\":\"%s\"", task);
  g_hash_table_replace (r->highest, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, run_number)));
  reply_accepted (req);
}

static void
on_pace (const runner_t *r, cb_http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  run_t *run = find_run (r, task);

  if (run == NULL || run->run != (uint32_t)integer_member (body, "run"))
    {
      refuse (req, "old");
      return;
    }
  run->pace = (uint32_t)integer_member (body, "percent");
  cb_fake_event (&r->fake, "pace", "\"task\":\"%s\",\"percent\":%u", task, run->pace);
  reply_accepted (req);
}

/* Handles a long poll. It acknowledges the ends up to its member "lastSeen". */
static void
on_long_poll (runner_t *r, cb_http_req_t *req, const json_t *body)
{
  long_poll_t *long_poll = g_new0 (long_poll_t, 1);
  uint64_t seen = (uint64_t)integer_member (body, "lastSeen");
  end_t *end;

  while ((end = g_queue_peek_head (&r->ends)) != NULL && end->number <= seen)
    {
      g_queue_pop_head (&r->ends);
      if (r->lapsed_ms < end->ended_ms)
        cb_fake_event (&r->fake, "end_seen",
                       "\"task\":\"%s\",\"run\":%u,\"how\":\"%s\"", end->task, end->run,
                       end->how);
      g_free (end->task);
      g_free (end);
    }
  long_poll->req = req;
  long_poll->due_ms = now () + integer_member (body, "waitMs");
  g_queue_push_tail (&r->long_polls, long_poll);
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
  if (cb_fake_use_mode (&r->fake, "silent"))
    {
      cb_fake_event (&r->fake, "no_reply", "\"path\":\"%s\"", path);
      cb_http_no_reply (req);
      return;
    }
  body = json_loadb (text, len, 0, NULL);
  if (body == NULL)
    cb_fake_reply (req, 400, json_object ());
  else if (target != NULL && strcmp (target, r->id) != 0)
    cb_fake_reply (req, 421, json_object ());
  else if ((uint64_t)integer_member (body, "fencingToken") < r->fencing_token)
    refuse (req, "fence");
  else
    {
      r->fencing_token = (uint64_t)integer_member (body, "fencingToken");
      cb_msec_t deadline_ms =
          MIN (integer_member (body, "deadlineMs"), now () + HOLD_MAX_MS);

      if (deadline_ms > r->lease_end_ms)
        {
          r->lease_end_ms = deadline_ms;
          cb_fake_event (&r->fake, "lease",
                         "\"clock_ms\":%" G_GINT64_FORMAT
                         ",\"deadline_ms\":%" G_GINT64_FORMAT
                         ",\"token\":%" G_GUINT64_FORMAT,
                         now (), r->lease_end_ms, r->fencing_token);
        }
      if (strcmp (path, "/api/run-start") == 0)
        on_start (r, req, body);
      else if (strcmp (path, "/api/run-stop") == 0)
        on_stop (r, req, body);
      else if (strcmp (path, "/api/pace") == 0)
        on_pace (r, req, body);
      else
        on_long_poll (r, req, body);
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

/* Notes that the agent has acknowledged that the worker leaves. */
static void
on_drain_sent (void *ctx, int err, int status, const char *body, size_t len)
{
  const runner_t *r = ctx;

  (void)body;
  (void)len;
  if (err >= 0 && status / 100 == 2)
    cb_fake_event (&r->fake, "drain_seen", "\"after_ms\":%" G_GINT64_FORMAT,
                   now () - r->draining_ms);
}

/* Posts the state of the worker to /api/instances/ID/RESOURCE of its agent. */
static void
send_state (runner_t *r, const char *resource)
{
  char *path = g_strdup_printf ("/api/instances/%s/%s", r->id, resource);
  gboolean draining = r->draining_ms != 0 || cb_fake_mode_active (&r->fake, "draining");
  json_t *body = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "service",
      r->service, "address", r->announced, "zone", r->zone, "version", "v1", "slots", 8,
      "state", draining ? "draining" : "ready", "capacity", "cpu", CPU_MILLI, "memMb",
      MEMORY_MB, "gpu", r->accelerators, "labels", r->label, r->rack, "clockMs",
      (json_int_t)now (), "seq", (json_int_t)++r->sequence, "born",
      (json_int_t)r->start_wall_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  cb_http_spec_t spec = { .address = r->agent,
                          .method = "POST",
                          .path = path,
                          .headers = "content-type: application/json\r\n",
                          .body = text,
                          .body_len = strlen (text),
                          .timeout_ms = HEARTBEAT_TIMEOUT_MS };

  cb_http_call (r->fake.loop, &spec, r->draining_ms != 0 ? on_drain_sent : on_sent, r);
  json_decref (body);
  free (text);
  g_free (path);
}

static void
on_heartbeat (void *ctx)
{
  send_state (ctx, "heartbeat");
}

static void
check_runs (runner_t *r)
{
  GList *link = r->runs.head;

  if (now () > r->lease_end_ms)
    r->lapsed_ms = now ();
  while (link != NULL)
    {
      GList *next = link->next;
      run_t *run = link->data;

      if (cb_fake_use_mode (&r->fake, "forget"))
        forget_run (r, run);
      else if (run->stop_requested)
        end_run (r, run, "stopped");
      else if (now () > r->lease_end_ms)
        end_run (r, run, "lapsed");
      else if (now () >= run->end_ms)
        end_run (r, run, run->fails ? "failed" : "done");
      link = next;
    }
}

static void
on_tick (void *ctx)
{
  runner_t *r = ctx;
  uint64_t before = r->last_number;
  GList *link = r->long_polls.head;

  check_runs (r);
  check_late_starts (r);
  while (link != NULL)
    {
      GList *next = link->next;
      long_poll_t *long_poll = link->data;

      if (r->last_number != before || now () >= long_poll->due_ms)
        {
          cb_fake_reply (long_poll->req, 200, task_lists (r));
          g_queue_delete_link (&r->long_polls, link);
          g_free (long_poll);
        }
      link = next;
    }
  if (r->draining_ms != 0 && now () - r->draining_ms > r->drain_ms && !r->left)
    {
      while (r->runs.head != NULL)
        end_run (r, r->runs.head->data, "stopped");
      if (r->says_leave)
        send_state (r, "leave");
      r->left = TRUE;
    }
  else if (r->left)
    cb_loop_stop (r->fake.loop);
}

static void
on_signal (void *ctx, int signo)
{
  runner_t *r = ctx;

  (void)signo;
  r->draining_ms = now ();
  send_state (r, "heartbeat");
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
    case 'A':
      a->runner->announced = arg;
      return 0;
    case 'z':
      a->runner->zone = arg;
      return 0;
    case 'L':
      a->runner->label = arg;
      return 0;
    case 'c':
      clock_percent = (int)g_ascii_strtoll (arg, NULL, 10);
      return 0;
    case 'D':
      a->runner->drain_ms = g_ascii_strtoll (arg, NULL, 10);
      a->runner->says_leave = TRUE;
      return 0;
    case 'p':
      a->runner->shows_progress = TRUE;
      return 0;
    case 'k':
      a->runner->tickets = TRUE;
      return 0;
    case 'f':
      a->runner->first_heartbeat_ms = g_ascii_strtoll (arg, NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (a->runner->agent == NULL || a->runner->id == NULL)
        argp_error (state, "--agent or --id is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "agent", 'a', "ADDRESS", 0, "control address of the agent (host:port)", 0 },
    { "id", 'i', "NAME", 0, "name of the worker", 0 },
    { "rack", 'r', "NAME", 0, "rack of the worker (r1)", 0 },
    { "announce", 'A', "ADDRESS", 0, "address in the heartbeats (that of --listen)",
      0 },
    { "zone", 'z', "NAME", 0, "availability zone (z)", 0 },
    { "label", 'L', "NAME", 0, "kind of the worker (a)", 0 },
    { "clock", 'c', "PERCENT", 0, "speed of the worker's clock (100)", 0 },
    { "drain", 'D', "MS", 0, "time from SIGTERM to `leave` and the exit (no `leave`)",
      0 },
    { "progress", 'p', NULL, 0, "show how much of each run is done", 0 },
    { "tickets", 'k', NULL, 0, "refuse starts without a ticket of the advisor", 0 },
    { "first-heartbeat", 'f', "MS", 0, "delay of the first heartbeat (0)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse,
                                    .children = children,
                                    .doc = "Stand-in for a worker of the platform." };
  runner_t r = {
    .service = "svc",
    .zone = "z",
    .label = "a",
    .rack = "r1",
    .accelerators = 8,
    .drain_ms = DRAIN_MS,
  };
  arguments_t arguments = { .runner = &r,
                            .params = { .role = "runner",
                                        .trace_file = "",
                                        .handler = on_request,
                                        .on_signal = on_signal,
                                        .ctx = &r } };

  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0 ||
      cb_fake_open (&r.fake, &arguments.params) < 0)
    return 2;
  if (r.announced == NULL)
    r.announced = arguments.params.listen;
  r.start_wall_ms = cb_clock_wall (cb_clock_system ());
  r.highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&r.runs);
  g_queue_init (&r.ends);
  g_queue_init (&r.long_polls);
  g_queue_init (&r.late_starts);
  cb_timer_new (r.fake.loop, TICK_MS, TICK_MS, on_tick, &r);
  cb_timer_new (r.fake.loop, r.first_heartbeat_ms, HEARTBEAT_MS, on_heartbeat, &r);
  cb_fake_run (&r.fake);
  return 0;
}
