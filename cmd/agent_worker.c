/* Calls the HTTP interface of the worker. */
#include "cmd/agent_local.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

typedef struct
{
  cb_worker_adapter_t super;
  cb_loop_t *loop;
  char *address;
  cb_worker_result_fn_t done;
  void *ctx;
} http_worker_t;

typedef struct
{
  http_worker_t *worker;
  Cb__Task *task;                  /* run_action only */
  char *action;                    /* run_action only */
  cb_worker_count_fn_t count_done; /* request_running_count only */
} call_t;

/* Returns the identifier of a task in URL paths, freed with g_free. It holds a hash of
   account and key, which may contain characters that a path cannot. */
static char *
task_id (const Cb__Task *task)
{
  char *text = g_strdup_printf ("%zu:%s:%s", strlen (task->account), task->account,
                                task->job_key);
  char *id = g_strdup_printf ("%016" G_GINT64_MODIFIER "x-%u-%u",
                              (uint64_t)XXH64 (text, strlen (text), 0), task->attempt,
                              task->member);

  g_free (text);
  return id;
}

static Cb__TaskState
parse_state (const char *text)
{
  static const struct
  {
    const char *text;
    Cb__TaskState state;
  } states[] = { { "running", CB__TASK_STATE__TASK_RUNNING },
                 { "done", CB__TASK_STATE__TASK_DONE },
                 { "failed", CB__TASK_STATE__TASK_FAILED },
                 { "stopped", CB__TASK_STATE__TASK_STOPPED } };

  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    if (strcmp (text, states[i].text) == 0)
      return states[i].state;
  return CB__TASK_STATE__TASK_STARTING;
}

static void
read_result (const char *body, size_t len, cb_worker_result_t *result)
{
  json_t *root = json_loadb (body, len, 0, NULL);
  const char *state = "";
  int checkpointed = 0;

  result->unreachable =
      root == NULL || json_unpack (root, "{s:s,s?b}", "state", &state, "checkpointed",
                                   &checkpointed) != 0;
  if (!result->unreachable)
    {
      result->state = parse_state (state);
      result->checkpointed = checkpointed != 0;
    }
  json_decref (root);
}

/* Only a status of 200 or a refusal of the start (4xx) is the worker's own word on the
   task. A worker that answers 5xx, or something in front of it, may have started it. */
static void
on_action_done (void *ctx, int err, int status, const char *body, size_t len)
{
  call_t *call = ctx;
  cb_worker_result_t result = { .task = call->task, .unreachable = TRUE };
  gboolean start = strcmp (call->action, "start") == 0;

  if (err == CB_OK && status == 200)
    read_result (body, len, &result);
  else if (err == CB_OK && status == 404 && !start)
    {
      result.unreachable = FALSE;
      result.missing = TRUE;
    }
  else if (start && ((err == CB_OK && status >= 400 && status < 500) ||
                     (err != CB_NET_BAD_ADDRESS && cb_net_not_sent (err))))
    {
      /* Refused, or nothing was sent. */
      result.unreachable = FALSE;
      result.state = CB__TASK_STATE__TASK_FAILED;
    }
  call->worker->done (call->worker->ctx, &result);
  cb_msg_free (call->task);
  g_free (call->action);
  g_free (call);
}

static char *
action_body (const Cb__Task *task, const Cb__Job *job)
{
  json_t *accels = json_array ();
  json_t *body;
  char *text;

  for (size_t i = 0; i < task->n_accelerators; i++)
    json_array_append_new (accels, json_integer (task->accelerators[i]));
  body = json_pack ("{s:s,s:s,s:i,s:i,s:o,s:i,s:i,s:i,s:s,s:s}", "account",
                    task->account, "key", task->job_key, "attempt", (int)task->attempt,
                    "member", (int)task->member, "accels", accels, "cores",
                    (int)task->cores, "memory_gb", (int)task->memory_gb, "lease_ms",
                    CB_WORKER_LEASE_MS, "kind", job == NULL ? "" : job->kind, "command",
                    job == NULL ? "" : job->command);
  /* Text that is not UTF-8 cannot be packed; the worker then refuses the empty body. */
  text = body == NULL ? strdup ("") : json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static void
run_action (cb_worker_adapter_t *worker, const char *action, const Cb__Task *task,
            const Cb__Job *job)
{
  http_worker_t *self = (http_worker_t *)worker;
  call_t *call = g_new0 (call_t, 1);
  char *id = task_id (task);
  char *path = g_strdup_printf ("/tasks/%s/%s", id, action);
  char *body = action_body (task, job);
  cb_http_spec_t spec = { 0 };

  call->worker = self;
  call->task = (Cb__Task *)cb_msg_copy (&task->base);
  call->action = g_strdup (action);
  spec.address = self->address;
  spec.method = "POST";
  spec.path = path;
  spec.headers = "content-type: application/json\r\n";
  spec.body = body;
  spec.body_len = strlen (body);
  spec.timeout_ms = CB_WORKER_RENEW_MS;
  cb_http_call (self->loop, &spec, on_action_done, call);
  free (body);
  g_free (path);
  g_free (id);
}

static gboolean
has_ended (const json_t *task)
{
  const char *state = json_string_value (json_object_get (task, "state"));

  return state != NULL &&
         (strcmp (state, "done") == 0 || strcmp (state, "failed") == 0 ||
          strcmp (state, "stopped") == 0);
}

/* A task in any state that is not an end may still use its accelerators. */
static void
on_tasks_listed (void *ctx, int err, int status, const char *body, size_t len)
{
  call_t *call = ctx;
  json_t *root = err == CB_OK && status == 200 ? json_loadb (body, len, 0, NULL) : NULL;
  const json_t *tasks = json_object_get (root, "tasks");
  int running = json_is_array (tasks) ? 0 : -1;

  for (size_t i = 0; i < json_array_size (tasks); i++)
    if (!has_ended (json_array_get (tasks, i)))
      running++;
  call->count_done (call->worker->ctx, running);
  json_decref (root);
  g_free (call);
}

static void
request_running_count (cb_worker_adapter_t *worker, cb_worker_count_fn_t done)
{
  http_worker_t *self = (http_worker_t *)worker;
  call_t *call = g_new0 (call_t, 1);
  cb_http_spec_t spec = { 0 };

  call->worker = self;
  call->count_done = done;
  spec.address = self->address;
  spec.method = "GET";
  spec.path = "/tasks";
  spec.timeout_ms = CB_WORKER_RENEW_MS;
  cb_http_call (self->loop, &spec, on_tasks_listed, call);
}

static void
worker_free (cb_worker_adapter_t *worker)
{
  http_worker_t *self = (http_worker_t *)worker;

  g_free (self->address);
  g_free (self);
}

/* Creates the adapter for the HTTP interface of a worker at ADDRESS (host:port); freed
   with its `free`. DONE is called once for each action. */
cb_worker_adapter_t *
cb_worker_adapter_new (cb_loop_t *loop, const char *address, cb_worker_result_fn_t done,
                       void *ctx)
{
  static const cb_worker_ops_t ops = { run_action, request_running_count, worker_free };
  http_worker_t *self = g_new0 (http_worker_t, 1);

  self->super.ops = &ops;
  self->loop = loop;
  self->address = g_strdup (address);
  self->done = done;
  self->ctx = ctx;
  return &self->super;
}
