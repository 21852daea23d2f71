/* HTTP interface of the agent: announcements of the endpoint, metrics and status. */
#include "cmd/agent_local.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "codec/fns.h"

static void
reply (cb_http_req_t *req, int status, const char *type, const char *text)
{
  cb_http_reply (req, status, type, text, strlen (text));
}

static void
reply_refusal (cb_agent_t *agent, cb_http_req_t *req, int status, Cb__Reason reason)
{
  char *text = g_strdup_printf ("{\"error\":{\"reason\":\"%s\",\"ran\":\"no\"}}",
                                cb_reason_text (reason));
  char *label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (reason));

  cb_counters_add (agent->counters, "agent_http_refused", label, 1);
  reply (req, status, "application/json", text);
  g_free (label);
  g_free (text);
}

static gboolean
read_kinds (json_t *list, Cb__EndpointInfo *info)
{
  size_t i;
  json_t *item;

  if (!json_is_array (list))
    return FALSE;
  json_array_foreach (list, i, item)
  {
    if (!json_is_string (item))
      return FALSE;
    cb_msg_append ((void ***)&info->kinds, &info->n_kinds,
                   strdup (json_string_value (item)));
  }
  return TRUE;
}

/* Fills INFO and PORT. Returns FALSE when a member of the JSON object is missing, of
   the wrong type or out of range. */
static gboolean
read_announcement (json_t *root, Cb__EndpointInfo *info, json_int_t *port)
{
  const char *name = NULL;
  json_t *kinds = NULL;
  json_int_t slots = -1;
  json_int_t connections = -1;
  int leaving = 0;

  if (root == NULL ||
      json_unpack (root, "{s:s,s:I,s:o,s:I,s:I,s?b}", "name", &name, "port", port,
                   "kinds", &kinds, "slots", &slots, "connections", &connections,
                   "leaving", &leaving) != 0)
    return FALSE;
  if (*port < 1 || *port > UINT16_MAX || slots < 0 || slots > UINT16_MAX ||
      connections < 0 || connections > UINT16_MAX || !read_kinds (kinds, info))
    return FALSE;
  cb_msg_set_string (&info->name, name);
  info->slots = (uint32_t)slots;
  info->connections = (uint32_t)connections;
  info->leaving = leaving != 0;
  return TRUE;
}

static void
handle_announcement (cb_agent_t *agent, cb_http_req_t *req)
{
  size_t len;
  const char *text = cb_http_body (req, &len);
  json_t *root = json_loadb (text, len, 0, NULL);
  Cb__EndpointInfo *info = cb_msg_new (&cb__endpoint_info__descriptor);
  json_int_t port = 0;

  if (!read_announcement (root, info, &port))
    reply_refusal (agent, req, 400, CB__REASON__BAD_REQUEST);
  else
    {
      agent->endpoint->ops->set_port (agent->endpoint, (uint16_t)port);
      if (cb_serve_update_endpoint (agent->serve, info,
                                    cb_clock_now (cb_clock_system ())))
        cb_log (CB_LOG_INFO, "agent", "endpoint %s: %zu kinds, %u slots%s", info->name,
                info->n_kinds, info->slots, info->leaving ? ", shutting down" : "");
      reply (req, 200, "application/json", "{}");
      cb_agent_perform_outputs (agent);
    }
  cb_msg_free (info);
  json_decref (root);
}

static void
reply_metrics (cb_agent_t *agent, cb_http_req_t *req)
{
  char *text;

  cb_counters_set (agent->counters, "agent_tasks", NULL,
                   cb_gang_task_count (agent->gang));
  cb_counters_set (agent->counters, "agent_requests", NULL,
                   cb_serve_running_count (agent->serve));
  cb_counters_set (agent->counters, "config_version", NULL, agent->config_version);
  if (agent->home_wire != NULL)
    {
      cb_counters_set (agent->counters, "wire_bytes", "direction=\"in\"",
                       cb_wire_bytes_in (agent->home_wire));
      cb_counters_set (agent->counters, "wire_bytes", "direction=\"out\"",
                       cb_wire_bytes_out (agent->home_wire));
    }
  text = cb_counters_text (agent->counters);
  reply (req, 200, "text/plain", text);
  g_free (text);
}

static void
reply_status (cb_agent_t *agent, cb_http_req_t *req)
{
  const Cb__EndpointInfo *info = cb_serve_endpoint_info (agent->serve);
  Cb__StatusProcess *process = cb_msg_new (&cb__status_process__descriptor);
  char *text;

  cb_msg_set_string (&process->name, agent->settings->name);
  cb_msg_set_string (&process->role, "agent");
  cb_msg_set_string (&process->home, cb_home_entry (agent->home, NULL)->name);
  cb_msg_set_string (&process->endpoint, info == NULL ? "" : info->name);
  process->up = TRUE;
  process->config_version = agent->config_version;
  process->draining = agent->shutdown_ms > 0;
  process->worker = agent->worker != NULL;
  text = cb_json_write (&process->base);
  reply (req, 200, "application/json", text);
  g_free (text);
  cb_msg_free (process);
}

/* Handles the HTTP requests of the endpoint and of operators. CTX is the cb_agent_t. */
void
cb_agent_handle_http (void *ctx, cb_http_req_t *req)
{
  cb_agent_t *agent = ctx;
  const char *path = cb_http_path (req);
  gboolean post = strcmp (cb_http_method (req), "POST") == 0;

  if (post && strcmp (path, "/v1/announce") == 0)
    handle_announcement (agent, req);
  else if (!post && strcmp (path, "/metrics") == 0)
    reply_metrics (agent, req);
  else if (!post && strcmp (path, "/v1/status") == 0)
    reply_status (agent, req);
  else
    reply_refusal (agent, req, 404, CB__REASON__NOT_FOUND);
}
