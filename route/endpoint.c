/* The endpoints of the router: their state, their suspension after failures, and the
   choice of one for a request. */
#include "route/local.h"

#include <string.h>

static void
copy_info (cb_endpoint_t *endpoint, const Cb__EndpointInfo *info)
{
  if (info == NULL)
    return;
  cb_msg_free (endpoint->info);
  endpoint->info = (Cb__EndpointInfo *)cb_msg_copy (&info->base);
  for (size_t i = 0; i < info->n_kinds; i++)
    if (!g_hash_table_contains (endpoint->kinds_served, info->kinds[i]))
      g_hash_table_add (endpoint->kinds_served, g_strdup (info->kinds[i]));
}

/* Returns the endpoint of AGENT, which is added when there is none. */
cb_endpoint_t *
cb_endpoint_get_or_add (cb_route_t *route, const char *agent)
{
  cb_endpoint_t *endpoint = g_hash_table_lookup (route->by_agent, agent);

  if (endpoint != NULL)
    return endpoint;
  endpoint = g_new0 (cb_endpoint_t, 1);
  endpoint->agent = g_strdup (agent);
  endpoint->kinds_served =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  endpoint->next_suspension_ms = CB_SUSPEND_MS;
  endpoint->since_offset = cb_ledger_next_offset (route->ledger);
  g_ptr_array_add (route->endpoints, endpoint);
  g_hash_table_insert (route->by_agent, endpoint->agent, endpoint);
  return endpoint;
}

/* Ends the attempts in flight at an agent that is down or has restarted. It may have
   run them, so their outcome is unknown: repeatable requests are retried within the
   limits of cb_req_retry_or_fail, the others fail. */
static void
end_sent_attempts (cb_route_t *route, cb_endpoint_t *endpoint, cb_msec_t now)
{
  GPtrArray *sent = cb_sent_requests (route, endpoint);

  for (guint i = 0; i < sent->len; i++)
    {
      cb_req_t *req = sent->pdata[i];
      Cb__Answer answer = CB__ANSWER__INIT;

      answer.account = req->request->account;
      answer.key = req->request->key;
      answer.reason = CB__REASON__OUTCOME_UNKNOWN;
      cb_endpoint_record_result (endpoint, req, FALSE, now);
      cb_req_retry_or_fail (route, req, &answer, now);
    }
  g_ptr_array_free (sent, TRUE);
}

/* An endpoint stays in the table when its agent is down, because it may have run
   requests whose claims are open. A restarted agent has no record of its earlier
   requests. */
void
cb_route_update_endpoint (cb_route_t *route, const char *agent, uint64_t incarnation,
                          gboolean up, gboolean draining, const Cb__EndpointInfo *info,
                          cb_msec_t now_ms)
{
  cb_endpoint_t *endpoint = cb_endpoint_get_or_add (route, agent);
  gboolean restarted =
      endpoint->incarnation != 0 && incarnation > endpoint->incarnation;

  if (incarnation < endpoint->incarnation)
    return;
  copy_info (endpoint, info);
  endpoint->up = up && info != NULL && info->alive;
  endpoint->draining = draining || (info != NULL && info->leaving);
  endpoint->incarnation = incarnation;
  if (restarted)
    endpoint->since_offset = cb_ledger_next_offset (route->ledger);
  if (restarted || !up)
    end_sent_attempts (route, endpoint, now_ms);
  cb_queue_dispatch (route, now_ms);
}

gboolean
cb_endpoint_serves (const cb_endpoint_t *endpoint, const char *kind)
{
  for (size_t i = 0; endpoint->info != NULL && i < endpoint->info->n_kinds; i++)
    if (strcmp (endpoint->info->kinds[i], kind) == 0)
      return TRUE;
  return FALSE;
}

/* Returns whether ENDPOINT serves KIND or has served it, also before a restart: it may
   have run requests of KIND. */
gboolean
cb_endpoint_has_served (const cb_endpoint_t *endpoint, const char *kind)
{
  return g_hash_table_contains (endpoint->kinds_served, kind);
}

static gboolean
is_usable (const cb_endpoint_t *endpoint, const char *kind)
{
  return endpoint->up && !endpoint->draining && cb_endpoint_serves (endpoint, kind);
}

/* Returns the number of requests that may be in flight at ENDPOINT, as its agent limits
   them: each takes one slot and one connection. */
static uint32_t
in_flight_limit (const cb_endpoint_t *endpoint)
{
  return MIN (endpoint->info->slots, endpoint->info->connections);
}

/* Returns why no endpoint accepts requests of KIND, or REASON_NONE when some endpoint
   does, even if none of its slots is free now. */
Cb__Reason
cb_endpoint_unavailable_reason (const cb_route_t *route, const char *kind,
                                cb_msec_t now)
{
  Cb__Reason reason = CB__REASON__NO_ENDPOINT;

  for (guint i = 0; i < route->endpoints->len; i++)
    {
      const cb_endpoint_t *endpoint = route->endpoints->pdata[i];

      if (!is_usable (endpoint, kind) || in_flight_limit (endpoint) == 0)
        continue;
      if (now >= endpoint->suspended_until_ms)
        return CB__REASON__REASON_NONE;
      reason = CB__REASON__SUSPENDED;
    }
  return reason;
}

/* Returns the less loaded of two random endpoints that accept REQ and have a free slot;
   NULL when no endpoint does. The endpoint of the previous attempt is returned only
   when it is the only such endpoint. */
cb_endpoint_t *
cb_endpoint_pick (cb_route_t *route, const cb_req_t *req, cb_msec_t now)
{
  GPtrArray *found = g_ptr_array_new ();
  cb_endpoint_t *a = NULL;
  cb_endpoint_t *b;

  for (guint i = 0; i < route->endpoints->len; i++)
    {
      cb_endpoint_t *endpoint = route->endpoints->pdata[i];

      if (is_usable (endpoint, req->request->kind) &&
          now >= endpoint->suspended_until_ms &&
          endpoint->in_flight < in_flight_limit (endpoint))
        g_ptr_array_add (found, endpoint);
    }
  if (found->len > 1 && req->endpoint != NULL)
    g_ptr_array_remove (found, req->endpoint);
  if (found->len > 0)
    {
      guint i = (guint)g_rand_int_range (route->rand, 0, (gint32)found->len);
      guint step = found->len == 1
                       ? 0
                       : (guint)g_rand_int_range (route->rand, 1, (gint32)found->len);

      a = found->pdata[i];
      b = found->pdata[(i + step) % found->len];
      if ((uint64_t)b->in_flight * in_flight_limit (a) <
          (uint64_t)a->in_flight * in_flight_limit (b))
        a = b;
    }
  g_ptr_array_free (found, TRUE);
  return a;
}

static uint32_t
count_results (const cb_endpoint_t *endpoint, cb_health_t health)
{
  uint32_t count = 0;

  for (int i = 0; i < CB_HEALTH_WINDOW; i++)
    count += endpoint->results[i] == health;
  return count;
}

/* Removes the failures of the request with SERIAL from the results of ENDPOINT. */
static void
clear_failure (cb_endpoint_t *endpoint, uint64_t serial)
{
  for (int i = 0; i < CB_HEALTH_WINDOW; i++)
    if (endpoint->result_serials[i] == serial &&
        endpoint->results[i] == CB_HEALTH_FAILED)
      endpoint->results[i] = CB_HEALTH_NONE;
}

/* Records the result of REQ at ENDPOINT, and suspends ENDPOINT when CB_HEALTH_FAILURES
   of its last CB_HEALTH_WINDOW results are failures. A request that failed at two
   endpoints counts against neither. */
void
cb_endpoint_record_result (cb_endpoint_t *endpoint, cb_req_t *req, gboolean good,
                           cb_msec_t now)
{
  if (!good && req->failed_endpoint != NULL && req->failed_endpoint != endpoint)
    {
      req->failed_at_two = TRUE;
      clear_failure (req->failed_endpoint, req->serial);
    }
  if (!good && req->failed_at_two)
    return;
  if (!good)
    req->failed_endpoint = endpoint;
  endpoint->results[endpoint->next_result] = good ? CB_HEALTH_GOOD : CB_HEALTH_FAILED;
  endpoint->result_serials[endpoint->next_result] = req->serial;
  endpoint->next_result = (endpoint->next_result + 1) % CB_HEALTH_WINDOW;
  if (count_results (endpoint, CB_HEALTH_GOOD) == CB_HEALTH_WINDOW)
    endpoint->next_suspension_ms = CB_SUSPEND_MS;
  if (count_results (endpoint, CB_HEALTH_FAILED) < CB_HEALTH_FAILURES)
    return;
  endpoint->suspended_until_ms = now + endpoint->next_suspension_ms;
  endpoint->next_suspension_ms =
      MIN (endpoint->next_suspension_ms * 2, CB_SUSPEND_MAX_MS);
  memset (endpoint->results, 0, sizeof endpoint->results);
}
