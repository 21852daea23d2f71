/* carobrun-fake-worker: stand-in for a worker, which runs the tasks of gangs under
   leases: POST /tasks/ID/ACTION with the actions start, renew, throttle, checkpoint and
   stop; GET /tasks lists them. A task ends as "stopped" when its lease expires. Fault
   modes: `fail_starts` fails new tasks at once, `stall` gives no reply and does
   nothing, `lose_answers` performs the action without a reply. */
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

/* Period of the check for leases and run times that are over. */
#define TICK_MS 50
#define DEFAULT_LEASE_MS 3000
/* Each throttle action multiplies the remaining run time of a task by this. */
#define THROTTLE_FACTOR 2

typedef struct
{
  cb_fake_t fake;
  cb_fake_params_t params;
  cb_msec_t run_ms;  /* run time of a task without a command */
  GHashTable *tasks; /* id -> task_t */
} worker_t;

typedef struct
{
  char *id;
  char *account;
  char *key;
  char *accels; /* JSON list of the accelerators */
  json_int_t attempt;
  json_int_t member;
  const char *state; /* running, done, failed, stopped */
  gboolean checkpointed;
  gboolean fails;
  cb_msec_t lease_end_ms;
  cb_msec_t run_end_ms; /* G_MAXINT64: runs until it is stopped */
} task_t;

static cb_msec_t
now (void)
{
  return cb_clock_now (cb_clock_system ());
}

static void
task_free (gpointer data)
{
  task_t *task = data;

  g_free (task->id);
  g_free (task->account);
  g_free (task->key);
  g_free (task->accels);
  g_free (task);
}

static json_t *
task_json (const task_t *task)
{
  return json_pack ("{s:s,s:s,s:s,s:I,s:I,s:s,s:b}", "id", task->id, "account",
                    task->account, "key", task->key, "attempt", task->attempt, "member",
                    task->member, "state", task->state, "checkpointed",
                    task->checkpointed);
}

static void
end_task (worker_t *self, task_t *task, const char *state)
{
  char *more;

  if (strcmp (task->state, "running") != 0)
    return;
  task->state = state;
  more = g_strdup_printf (
      ",\"id\":\"%s\",\"attempt\":%d,\"member\":%d,\"state\":\"%s\",\"accels\":%s",
      task->id, (int)task->attempt, (int)task->member, state, task->accels);
  cb_fake_work_event (&self->fake, "worker_end", task->account, task->key, more);
  g_free (more);
}

static void
on_tick (void *ctx)
{
  worker_t *self = ctx;
  GHashTableIter iter;
  gpointer value;
  cb_msec_t now_ms = now ();

  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      task_t *task = value;

      if (now_ms >= task->lease_end_ms)
        end_task (self, task, "stopped");
      else if (now_ms >= task->run_end_ms)
        end_task (self, task, task->fails ? "failed" : "done");
    }
}

/* Sets the end of TASK by its COMMAND: `run MS` runs for MS milliseconds, `fail` fails
   at once, `hang` runs until it is stopped; anything else runs the default time. */
static void
apply_command (const worker_t *self, task_t *task, const char *command)
{
  task->run_end_ms = now () + self->run_ms;
  if (g_str_has_prefix (command, "run "))
    task->run_end_ms = now () + g_ascii_strtoll (command + strlen ("run "), NULL, 10);
  else if (strcmp (command, "hang") == 0)
    task->run_end_ms = G_MAXINT64;
  else if (strcmp (command, "fail") == 0)
    {
      task->fails = TRUE;
      task->run_end_ms = now ();
    }
}

static void
write_start_event (worker_t *self, task_t *task, json_t *accels)
{
  char *list = accels == NULL ? NULL : json_dumps (accels, JSON_COMPACT);
  char *more;

  g_free (task->accels);
  task->accels = g_strdup (list == NULL ? "[]" : list);
  more =
      g_strdup_printf (",\"id\":\"%s\",\"attempt\":%d,\"member\":%d,\"accels\":%s",
                       task->id, (int)task->attempt, (int)task->member, task->accels);

  cb_fake_work_event (&self->fake, "worker_start", task->account, task->key, more);
  g_free (more);
  free (list);
}

static task_t *
add_task (worker_t *self, const char *id, const char *account, const char *key,
          const char *state)
{
  task_t *task = g_new0 (task_t, 1);

  task->id = g_strdup (id);
  task->account = g_strdup (account);
  task->key = g_strdup (key);
  task->state = state;
  g_hash_table_insert (self->tasks, task->id, task);
  return task;
}

/* Starts the task ID with a lease and returns it. Returns the task unchanged when it
   exists already. */
static task_t *
start_task (worker_t *self, const char *id, json_t *body)
{
  task_t *task = g_hash_table_lookup (self->tasks, id);
  const char *account = "";
  const char *key = "";
  const char *command = "";
  json_t *accels = NULL;
  json_int_t lease_ms = DEFAULT_LEASE_MS;
  json_int_t attempt = 0;
  json_int_t member = 0;

  if (task != NULL)
    return task;
  json_unpack (body, "{s?s,s?s,s?s,s?o,s?I,s?I,s?I}", "account", &account, "key", &key,
               "command", &command, "accels", &accels, "lease_ms", &lease_ms, "attempt",
               &attempt, "member", &member);
  if (cb_fake_use_mode (&self->fake, "fail_starts"))
    return add_task (self, id, account, key, "failed");
  task = add_task (self, id, account, key, "running");
  task->attempt = attempt;
  task->member = member;
  task->lease_end_ms = now () + lease_ms;
  apply_command (self, task, command);
  write_start_event (self, task, accels);
  return task;
}

static void
renew_lease (task_t *task, json_t *body)
{
  json_int_t lease_ms = DEFAULT_LEASE_MS;

  json_unpack (body, "{s?I}", "lease_ms", &lease_ms);
  if (strcmp (task->state, "running") == 0 && now () < task->lease_end_ms)
    task->lease_end_ms = now () + lease_ms;
}

static void
throttle_task (task_t *task)
{
  cb_msec_t left_ms = task->run_end_ms - now ();

  if (task->run_end_ms != G_MAXINT64 && left_ms > 0)
    task->run_end_ms = now () + left_ms * THROTTLE_FACTOR;
}

/* Performs ACTION on the task ID and returns the task, or NULL when there is no such
   task or action. */
static task_t *
perform_action (worker_t *self, const char *id, const char *action, json_t *body)
{
  task_t *task = g_hash_table_lookup (self->tasks, id);

  if (strcmp (action, "start") == 0)
    return start_task (self, id, body);
  /* The start may arrive after the stop, and must not run the task then. */
  if (task == NULL && strcmp (action, "stop") == 0)
    return add_task (self, id, "", "", "stopped");
  if (task == NULL)
    return NULL;
  if (strcmp (action, "renew") == 0)
    renew_lease (task, body);
  else if (strcmp (action, "throttle") == 0)
    throttle_task (task);
  else if (strcmp (action, "stop") == 0)
    end_task (self, task, "stopped");
  else if (strcmp (action, "checkpoint") == 0)
    {
      task->checkpointed = strcmp (task->state, "running") == 0;
      end_task (self, task, "stopped");
    }
  else
    return NULL;
  return task;
}

static void
list_tasks (worker_t *self, cb_http_req_t *req)
{
  json_t *tasks = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (tasks, task_json (value));
  cb_fake_reply (req, 200, json_pack ("{s:o}", "tasks", tasks));
}

static void
on_action (worker_t *self, cb_http_req_t *req)
{
  char **parts = g_strsplit (cb_http_path (req), "/", -1);
  json_t *body = json_loads (cb_http_body (req, NULL), 0, NULL);
  task_t *task = NULL;

  on_tick (self);
  if (g_strv_length (parts) == 4 && strcmp (parts[1], "tasks") == 0)
    task = perform_action (self, parts[2], parts[3], body);
  if (cb_fake_use_mode (&self->fake, "lose_answers"))
    cb_http_no_reply (req);
  else if (task == NULL)
    cb_fake_reply (req, 404, json_string ("not found"));
  else
    cb_fake_reply (req, 200, task_json (task));
  json_decref (body);
  g_strfreev (parts);
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  worker_t *self = ctx;

  if (cb_fake_control (&self->fake, req))
    return;
  if (cb_fake_use_mode (&self->fake, "stall"))
    cb_http_no_reply (req);
  else if (strcmp (cb_http_path (req), "/tasks") == 0)
    list_tasks (self, req);
  else
    on_action (self, req);
}

static uint32_t
count_running (const worker_t *self)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((task_t *)value)->state, "running") == 0 ? 1 : 0;
  return count;
}

static void
on_signal (void *ctx, int signo)
{
  worker_t *self = ctx;

  (void)signo;
  cb_fake_event (&self->fake, "term", "\"in_flight\":%u", count_running (self));
  cb_loop_stop (self->fake.loop);
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  worker_t *self = state->input;

  if (key == ARGP_KEY_INIT)
    state->child_inputs[0] = &self->params;
  else if (key == 'n')
    self->params.name = arg;
  else if (key == 'r')
    self->run_ms = g_ascii_strtoll (arg, NULL, 10);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "name", 'n', "N", 0, "name of the worker", 0 },
    { "run-ms", 'r', "MS", 0, "run time without a command (1000)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = {
    .options = options,
    .parser = parse,
    .children = children,
    .doc = "Stand-in for a worker. POST /control takes the "
           "modes ok, fail_starts, stall and lose_answers."
  };
  worker_t self = { .params = { .listen = "127.0.0.1:19470",
                                .name = "worker",
                                .role = "worker",
                                .handler = on_request,
                                .on_signal = on_signal },
                    .run_ms = 1000 };

  self.params.ctx = &self;
  self.tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, task_free);
  if (argp_parse (&argp, argc, argv, 0, NULL, &self) != 0 ||
      cb_fake_open (&self.fake, &self.params) < 0)
    return EXIT_FAILURE;
  cb_timer_new (self.fake.loop, TICK_MS, TICK_MS, on_tick, &self);
  cb_fake_run (&self.fake);
  g_hash_table_unref (self.tasks);
  return EXIT_SUCCESS;
}
