/* Handles changes of the path to an agent, that is of its home entry. */
#include "route/local.h"

#include <string.h>

/* Returns the requests that were sent to ENDPOINT and have no outcome. Freed with
   g_ptr_array_free. */
GPtrArray *
cb_sent_requests (const cb_route_t *route, const cb_endpoint_t *endpoint)
{
  GPtrArray *found = g_ptr_array_new ();

  for (GList *l = route->requests.head; l != NULL; l = l->next)
    {
      cb_req_t *req = l->data;

      if (req->state == CB_REQ_SENT && req->endpoint == endpoint)
        g_ptr_array_add (found, req);
    }
  return found;
}

/* Requests and answers that were sent over the old path may be lost. An agent that
   receives a request again joins it to the running one or answers it from memory. A
   request past its deadline is not run again, because its callers have been answered;
   a late answer is still accepted. */
static void
recover_request (cb_route_t *route, cb_req_t *req, const char *why, cb_msec_t now)
{
  if (!cb_req_repeatable (req))
    cb_resolve_sent (route, req, now);
  else if (now >= req->deadline_ms)
    cb_req_refuse (route, req, CB__REASON__OUTCOME_UNKNOWN, CB__RAN__RAN_UNKNOWN, now);
  else
    cb_queue_resend (route, req, why, now);
}

static void
recover_requests (cb_route_t *route, cb_endpoint_t *endpoint, const char *why,
                  cb_msec_t now)
{
  GPtrArray *sent = cb_sent_requests (route, endpoint);

  for (guint i = 0; i < sent->len; i++)
    recover_request (route, sent->pdata[i], why, now);
  g_ptr_array_free (sent, TRUE);
}

/* Returns the counter label when ENDPOINT is reached through HOME after its path was
   lost or led through another entry: requests sent over the old path may be lost. NULL:
   the path has not changed, or HOME is the first home entry. */
static const char *
path_change_reason (const cb_endpoint_t *endpoint, const char *home)
{
  if (endpoint->home_entry == NULL)
    return NULL;
  if (endpoint->home_lost)
    return "home_lost";
  return strcmp (endpoint->home_entry, home) == 0 ? NULL : "home_changed";
}

/* The requests of a restarted agent, which has no record of them, are left to
   cb_route_update_endpoint. */
void
cb_route_set_home_entry (cb_route_t *route, const char *agent, uint64_t incarnation,
                         const char *home, cb_msec_t now_ms)
{
  cb_endpoint_t *endpoint = cb_endpoint_get_or_add (route, agent);
  const char *why;

  if (incarnation < endpoint->incarnation)
    return;
  route->now_ms = now_ms;
  if (home == NULL)
    {
      endpoint->home_lost = endpoint->home_entry != NULL;
      endpoint->up = FALSE;
      return;
    }
  why = path_change_reason (endpoint, home);
  if (endpoint->home_entry == NULL || strcmp (endpoint->home_entry, home) != 0)
    {
      g_free (endpoint->home_entry);
      endpoint->home_entry = g_strdup (home);
    }
  endpoint->home_lost = FALSE;
  if (why != NULL && incarnation == endpoint->incarnation)
    recover_requests (route, endpoint, why, now_ms);
}
