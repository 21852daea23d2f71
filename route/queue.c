/* The queues of requests, one per kind, and the sending of requests to endpoints. */
#include "route/local.h"

/* Used while the rate of answers is not known. */
#define DEFAULT_RETRY_AFTER_MS 1000
#define MAX_RETRY_AFTER_MS 60000

static cb_kind_queue_t *
get_queue (cb_route_t *route, const char *kind)
{
  cb_kind_queue_t *queue = g_hash_table_lookup (route->queues, kind);
  char *name;

  if (queue != NULL)
    return queue;
  queue = g_new0 (cb_kind_queue_t, 1);
  name = g_strdup (kind);
  g_hash_table_insert (route->queues, name, queue);
  g_ptr_array_add (route->kinds, name);
  return queue;
}

gboolean
cb_queue_is_full (cb_route_t *route, const Cb__KindRule *kind)
{
  return get_queue (route, kind->name)->waiting.length >= cb_fleet_queue_limit (kind);
}

/* Returns the time in ms in which the queue of KIND, with one more request, empties at
   the observed rate of answers, at most MAX_RETRY_AFTER_MS. */
uint32_t
cb_queue_retry_after (cb_route_t *route, const char *kind)
{
  const cb_kind_queue_t *queue = get_queue (route, kind);

  if (queue->answer_interval_ms == 0)
    return DEFAULT_RETRY_AFTER_MS;
  return (uint32_t)MIN (queue->answer_interval_ms * (queue->waiting.length + 1),
                        MAX_RETRY_AFTER_MS);
}

/* Updates the observed rate of answers of KIND. */
void
cb_queue_record_answer (cb_route_t *route, const char *kind, cb_msec_t now)
{
  cb_kind_queue_t *queue = get_queue (route, kind);
  cb_msec_t interval = MAX (now - queue->last_answer_ms, 1);

  if (queue->last_answer_ms != 0)
    queue->answer_interval_ms =
        queue->answer_interval_ms == 0
            ? interval
            : MAX ((queue->answer_interval_ms * 7 + interval) / 8, 1);
  queue->last_answer_ms = now;
}

void
cb_queue_add (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  req->state = CB_REQ_QUEUED;
  g_queue_push_tail (&get_queue (route, req->request->kind)->waiting, req);
  cb_queue_dispatch (route, now);
}

/* Removes REQ from its queue if it is queued, or frees its slot if it was sent. */
void
cb_queue_remove (cb_route_t *route, cb_req_t *req)
{
  if (req->state == CB_REQ_QUEUED)
    g_queue_remove (&get_queue (route, req->request->kind)->waiting, req);
  else if (req->state == CB_REQ_SENT)
    req->endpoint->in_flight--;
}

/* Sends REQ to its endpoint with its current attempt number and writes EVENT, whose
   field "attempt" holds the number of retries so far. */
static void
send_attempt (cb_route_t *route, const cb_req_t *req, const char *event, cb_msec_t now)
{
  Cb__Envelope *envelope =
      cb_outq_send (&route->out, req->endpoint->agent, CB__ENVELOPE__BODY_REQUEST);
  char *account = cb_json_quote (req->request->account);
  char *key = cb_json_quote (req->request->key);
  char *agent = cb_json_quote (req->endpoint->agent);

  cb_msg_free (envelope->request);
  envelope->request = (Cb__Request *)cb_msg_copy (&req->request->base);
  envelope->request->claim = req->claim;
  envelope->request->attempt = req->attempt;
  envelope->request->deadline_ms = (uint64_t)MAX (req->deadline_ms - now, 1);
  cb_outq_event (&route->out, event,
                 "\"account\":%s,\"key\":%s,\"agent\":%s,\"attempt\":%u", account, key,
                 agent, req->retries);
  g_free (account);
  g_free (key);
  g_free (agent);
}

static void
send_request (cb_route_t *route, cb_req_t *req, cb_endpoint_t *endpoint, cb_msec_t now)
{
  req->state = CB_REQ_SENT;
  req->endpoint = endpoint;
  req->attempt = ++route->serial;
  endpoint->in_flight++;
  send_attempt (route, req, "req_dispatch", now);
}

/* Sends REQ again with the same attempt number. WHY is the reason for the counter. From
   then on a reply `ran: no` to one copy does not prove that the other did not run. */
void
cb_queue_resend (cb_route_t *route, cb_req_t *req, const char *why, cb_msec_t now)
{
  char *label = g_strdup_printf ("reason=\"%s\"", why);

  req->may_have_run = TRUE;
  send_attempt (route, req, "req_resend", now);
  cb_outq_count (&route->out, "resent_total", label);
  g_free (label);
}

/* Sends queued requests to endpoints with free slots, the oldest of each kind first. */
void
cb_queue_dispatch (cb_route_t *route, cb_msec_t now)
{
  for (guint i = 0; i < route->kinds->len; i++)
    {
      cb_kind_queue_t *queue = get_queue (route, route->kinds->pdata[i]);
      cb_req_t *req;
      cb_endpoint_t *endpoint;

      while ((req = g_queue_peek_head (&queue->waiting)) != NULL &&
             (endpoint = cb_endpoint_pick (route, req, now)) != NULL)
        {
          g_queue_pop_head (&queue->waiting);
          send_request (route, req, endpoint, now);
        }
    }
}
