#include "route/local.h"

#include <string.h>
#include <xxhash.h>

/* Retry budget in permille of one retry: its initial value, its limit and the amount
   that each request adds. */
#define BUDGET_START_PERMILLE 10000
#define BUDGET_MAX_PERMILLE 100000
#define BUDGET_STEP_PERMILLE (CB_RETRY_BUDGET_PERCENT * 10)

static void
free_endpoint (void *ptr)
{
  cb_endpoint_t *endpoint = ptr;

  cb_msg_free (endpoint->info);
  g_free (endpoint->agent);
  g_free (endpoint->home_entry);
  g_hash_table_unref (endpoint->kinds_served);
  g_free (endpoint);
}

static void
free_queue (void *ptr)
{
  cb_kind_queue_t *queue = ptr;

  g_queue_clear (&queue->waiting);
  g_free (queue);
}

static void
free_req (void *ptr)
{
  cb_req_t *req = ptr;

  cb_msg_free (req->request);
  cb_msg_free (req->answer);
  g_array_unref (req->callers);
  g_free (req->id);
  g_free (req);
}

static int
compare_text (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

cb_route_t *
cb_route_new (const cb_route_params_t *params, const cb_ledger_t *ledger)
{
  cb_route_t *route = g_new0 (cb_route_t, 1);

  route->entry = g_strdup (params->entry);
  route->rand = g_rand_new_with_seed ((guint32)(params->seed ^ (params->seed >> 32)));
  route->ledger = ledger;
  cb_outq_init (&route->out);
  route->endpoints = g_ptr_array_new_with_free_func (free_endpoint);
  route->by_serial = g_hash_table_new (g_int64_hash, g_int64_equal);
  route->by_agent = g_hash_table_new (g_str_hash, g_str_equal);
  route->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  route->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_queue);
  route->kinds = g_ptr_array_new ();
  route->pending_ends =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, cb_msg_free);
  route->peers = g_tree_new_full (compare_text, NULL, g_free, NULL);
  route->down_entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  route->budget_permille = BUDGET_START_PERMILLE;
  return route;
}

void
cb_route_free (cb_route_t *route)
{
  if (route == NULL)
    return;
  cb_outq_clear (&route->out);
  g_queue_clear_full (&route->lookups, cb_lookup_free);
  g_queue_clear_full (&route->requests, free_req);
  g_queue_clear_full (&route->finished, free_req);
  g_hash_table_destroy (route->by_serial);
  g_hash_table_destroy (route->by_id);
  g_hash_table_destroy (route->by_agent);
  g_ptr_array_unref (route->endpoints);
  g_ptr_array_unref (route->kinds);
  g_hash_table_destroy (route->queues);
  g_hash_table_destroy (route->pending_ends);
  g_hash_table_destroy (route->down_entries);
  g_tree_destroy (route->peers);
  if (route->fleet != NULL)
    cb_fleet_unref (route->fleet);
  g_rand_free (route->rand);
  g_free (route->entry);
  g_free (route);
}

cb_outq_t *
cb_route_outputs (cb_route_t *route)
{
  return &route->out;
}

void
cb_route_set_fleet (cb_route_t *route, cb_fleet_t *fleet, cb_msec_t now_ms)
{
  cb_fleet_t *old = route->fleet;

  route->fleet = cb_fleet_ref (fleet);
  if (old != NULL)
    cb_fleet_unref (old);
  cb_queue_dispatch (route, now_ms);
}

void
cb_route_set_log_available (cb_route_t *route, gboolean available, cb_msec_t now_ms)
{
  if (!available && !route->log_unavailable)
    route->log_unavailable_since_ms = now_ms;
  route->log_unavailable = !available;
}

void
cb_route_drain (cb_route_t *route, gboolean on)
{
  route->draining = on;
}

cb_req_t *
cb_req_find (const cb_route_t *route, const char *account, const char *key)
{
  char *id = cb_ledger_id (account, key);
  cb_req_t *req = g_hash_table_lookup (route->by_id, id);

  g_free (id);
  return req;
}

void
cb_req_add_caller (cb_req_t *req, uint64_t id)
{
  g_array_append_val (req->callers, id);
}

/* Sets the state of REQ and moves it to the list for that state. Finished requests have
   a list of their own: they are far more numerous, and a tick needs only the others. */
void
cb_req_set_state (cb_route_t *route, cb_req_t *req, cb_req_state_t state)
{
  GQueue *from = req->state == CB_REQ_DONE ? &route->finished : &route->requests;
  GQueue *to = state == CB_REQ_DONE ? &route->finished : &route->requests;

  req->state = state;
  g_queue_unlink (from, req->link);
  g_queue_push_tail_link (to, req->link);
}

/* Removes REQ from all tables and frees it. */
void
cb_req_remove (cb_route_t *route, cb_req_t *req)
{
  cb_queue_remove (route, req);
  if (req->answer != NULL)
    route->answer_bytes -= req->answer->body.len;
  g_hash_table_remove (route->by_id, req->id);
  g_hash_table_remove (route->by_serial, &req->serial);
  g_queue_delete_link (req->state == CB_REQ_DONE ? &route->finished : &route->requests,
                       req->link);
  free_req (req);
}

static Cb__Reason
check_request (const cb_route_t *route, const Cb__Request *request)
{
  const Cb__KindRule *kind;

  if (route->draining)
    return CB__REASON__DRAINING;
  if (route->fleet == NULL)
    return CB__REASON__NO_CONFIG;
  if (*request->account == '\0' || *request->key == '\0')
    return CB__REASON__BAD_REQUEST;
  if (!cb_fleet_has_client_account (route->fleet, request->account))
    return CB__REASON__UNKNOWN_ACCOUNT;
  kind = cb_fleet_kind (route->fleet, request->kind);
  return kind == NULL || kind->job ? CB__REASON__UNKNOWN_KIND : CB__REASON__REASON_NONE;
}

/* TRUE when REQ has ended without an answer and a new submission of its key may run. */
static gboolean
may_submit_again (const cb_req_t *req)
{
  return req->state == CB_REQ_DONE && !req->abandoned &&
         req->answer->reason != CB__REASON__REASON_NONE &&
         (req->answer->ran == CB__RAN__RAN_NO ||
          (!req->request->not_repeatable && req->claim == 0));
}

/* TRUE when REQ may be sent again without a proof that it did not run. */
gboolean
cb_req_repeatable (const cb_req_t *req)
{
  return !req->request->not_repeatable && req->claim == 0 && !req->needs_claim;
}

/* TRUE when no answer to REQ arrived by its deadline, no caller waits for one, and REQ
   may be sent again. REQ or the answer may have been lost with a connection that was
   replaced. */
static gboolean
is_overdue (const cb_req_t *req, cb_msec_t now)
{
  return req->state == CB_REQ_SENT && now >= req->deadline_ms &&
         req->callers->len == 0 && cb_req_repeatable (req);
}

/* Handles a submission whose key REQ already has. The caller ID gets the answer of REQ,
   at once or when REQ ends, or is refused when its body or kind differs from REQ's. */
static void
join_request (cb_route_t *route, cb_req_t *req, uint64_t id, const Cb__Request *request,
              uint64_t hash, cb_msec_t deadline)
{
  if (req->body_hash != hash || strcmp (req->request->kind, request->kind) != 0)
    cb_refuse_caller (route, id, request->account, request->key,
                      CB__REASON__KEY_CONFLICT, CB__RAN__RAN_NO, 0);
  else if (req->abandoned)
    {
      /* The earlier claim is still being appended and serves this submission. */
      req->abandoned = FALSE;
      cb_req_set_state (route, req, CB_REQ_CLAIMING);
      req->deadline_ms = deadline;
      cb_req_add_caller (req, id);
    }
  else if (req->state == CB_REQ_DONE)
    cb_reply_to_caller (route, id, req->answer);
  else
    cb_req_add_caller (req, id);
}

static cb_req_t *
new_req (cb_route_t *route, uint64_t id, const Cb__Request *request,
         const Cb__KindRule *kind, uint64_t hash, cb_msec_t deadline)
{
  cb_req_t *req = g_new0 (cb_req_t, 1);

  req->serial = ++route->serial;
  req->id = cb_ledger_id (request->account, request->key);
  req->request = (Cb__Request *)cb_msg_copy (&request->base);
  req->request->not_repeatable = kind->not_repeatable;
  req->request->claim = 0;
  req->body_hash = hash;
  req->callers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  req->deadline_ms = deadline;
  req->needs_claim = cb_fleet_kind_needs_claim (kind);
  req->to_mainframe =
      kind->mainframe != NULL && *kind->mainframe->signed_off_by == '\0';
  cb_req_add_caller (req, id);
  g_hash_table_insert (route->by_id, req->id, req);
  g_hash_table_insert (route->by_serial, &req->serial, req);
  g_queue_push_tail (&route->requests, req);
  req->link = route->requests.tail;
  route->budget_permille =
      MIN (route->budget_permille + BUDGET_STEP_PERMILLE, BUDGET_MAX_PERMILLE);
  return req;
}

/* Handles a submission whose key has a record in the ledger: the caller ID gets the
   recorded answer, or waits for the end of the claim. Returns FALSE when the key is
   free. OWN_CLAIM is a claim of this entry whose end is being appended; 0: none. */
static gboolean
answer_from_ledger (cb_route_t *route, uint64_t id, const Cb__Request *request,
                    const Cb__KindRule *kind, uint64_t hash, cb_msec_t deadline,
                    uint64_t own_claim)
{
  const Cb__RequestState *state =
      cb_ledger_request (route->ledger, request->account, request->key);

  if (state == NULL || (own_claim != 0 && state->offset == own_claim) ||
      (state->ended && state->end->ran == CB__RAN__RAN_NO))
    return FALSE;
  if (state->claim->body_hash != hash ||
      strcmp (state->claim->kind, request->kind) != 0)
    cb_refuse_caller (route, id, request->account, request->key,
                      CB__REASON__KEY_CONFLICT, CB__RAN__RAN_NO, 0);
  else if (state->ended)
    cb_route_fetch (route, id, request->account, request->key, route->now_ms);
  else
    new_req (route, id, request, kind, hash, deadline)->state = CB_REQ_FOLLOWING;
  return TRUE;
}

/* TRUE when requests of KIND need a claim and the log has been unavailable for
   CB_LOG_TIMEOUT_MS: a claim would probably not be stored before the deadline. */
static gboolean
cannot_claim (const cb_route_t *route, const Cb__KindRule *kind)
{
  return cb_fleet_kind_needs_claim (kind) && route->log_unavailable &&
         route->now_ms - route->log_unavailable_since_ms >= CB_LOG_TIMEOUT_MS;
}

/* Queues a new request, or first appends its claim when it needs one. Refuses it when
   it cannot be sent. */
static void
admit_request (cb_route_t *route, uint64_t id, const Cb__Request *request,
               const Cb__KindRule *kind, uint64_t hash, cb_msec_t deadline)
{
  gboolean mainframe =
      kind->mainframe != NULL && *kind->mainframe->signed_off_by == '\0';
  Cb__Reason refusal =
      mainframe ? CB__REASON__REASON_NONE
                : cb_endpoint_unavailable_reason (route, kind->name, route->now_ms);
  cb_req_t *req;

  if (!mainframe && refusal == CB__REASON__REASON_NONE &&
      cb_queue_is_full (route, kind))
    refusal = CB__REASON__QUEUE_FULL;
  if (refusal == CB__REASON__REASON_NONE && cannot_claim (route, kind))
    refusal = CB__REASON__LOG_UNAVAILABLE;
  if (refusal != CB__REASON__REASON_NONE)
    {
      cb_refuse_caller (route, id, request->account, request->key, refusal,
                        CB__RAN__RAN_NO, cb_queue_retry_after (route, kind->name));
      return;
    }
  req = new_req (route, id, request, kind, hash, deadline);
  if (req->needs_claim)
    cb_claim_append (route, req, route->now_ms);
  else
    cb_queue_add (route, req, route->now_ms);
}

static void
write_accept_event (cb_route_t *route, uint64_t id, const Cb__Request *request,
                    const Cb__KindRule *kind)
{
  char *account = cb_json_quote (request->account);
  char *key = cb_json_quote (request->key);
  char *name = cb_json_quote (request->kind);

  cb_outq_event (&route->out, "req_accept",
                 "\"id\":%" G_GUINT64_FORMAT ",\"account\":%s,\"key\":%s,\"kind\":%s,"
                 "\"not_repeatable\":%s",
                 id, account, key, name, kind->not_repeatable ? "true" : "false");
  g_free (account);
  g_free (key);
  g_free (name);
}

void
cb_route_submit (cb_route_t *route, uint64_t id, const Cb__Request *request,
                 cb_msec_t now_ms, cb_msec_t wall_ms)
{
  Cb__Reason reason = check_request (route, request);
  cb_req_t *req = cb_req_find (route, request->account, request->key);
  uint64_t hash = XXH64 (request->body.data, request->body.len, 0);
  uint64_t own_claim = 0;
  const Cb__KindRule *kind;
  cb_msec_t deadline;

  route->now_ms = now_ms;
  route->wall_offset_ms = wall_ms - now_ms;
  if (reason != CB__REASON__REASON_NONE)
    {
      cb_refuse_caller (route, id, request->account, request->key, reason,
                        CB__RAN__RAN_NO, 0);
      return;
    }
  kind = cb_fleet_kind (route->fleet, request->kind);
  deadline = cb_fleet_timeout_ms (kind);
  if (request->deadline_ms > 0)
    deadline = (cb_msec_t)MIN (request->deadline_ms, (uint64_t)deadline);
  deadline += now_ms;
  write_accept_event (route, id, request, kind);
  if (req != NULL && (may_submit_again (req) || is_overdue (req, now_ms)))
    {
      own_claim = req->claim;
      cb_req_remove (route, req);
      req = NULL;
    }
  if (req != NULL)
    join_request (route, req, id, request, hash, deadline);
  else if (!answer_from_ledger (route, id, request, kind, hash, deadline, own_claim))
    admit_request (route, id, request, kind, hash, deadline);
}

/* A request that has not been sent ends at once. For one that was sent, the agent is
   sent a cancellation, and ID waits for the answer like the other callers. A request at
   the mainframe, or one that waits for the end of another claim, cannot be canceled: ID
   only waits for its answer. */
void
cb_route_cancel (cb_route_t *route, uint64_t id, const char *account, const char *key,
                 cb_msec_t now_ms)
{
  cb_req_t *req = cb_req_find (route, account, key);
  Cb__Envelope *envelope;

  route->now_ms = now_ms;
  if (req == NULL || req->state == CB_REQ_DONE)
    {
      cb_route_fetch (route, id, account, key, now_ms);
      return;
    }
  cb_req_add_caller (req, id);
  if (req->state == CB_REQ_CLAIMING || req->state == CB_REQ_QUEUED ||
      req->state == CB_REQ_BACKOFF)
    cb_req_refuse (route, req, CB__REASON__CANCELED, CB__RAN__RAN_NO, now_ms);
  if (req->state != CB_REQ_SENT)
    return;
  envelope = cb_outq_send (&route->out, req->endpoint->agent,
                           CB__ENVELOPE__BODY_REQUEST_CANCEL);
  cb_msg_set_string (&envelope->request_cancel->account, account);
  cb_msg_set_string (&envelope->request_cancel->key, key);
}

void
cb_route_caller_disconnected (cb_route_t *route, uint64_t id)
{
  for (GList *l = route->requests.head; l != NULL; l = l->next)
    {
      cb_req_t *req = l->data;

      for (guint i = req->callers->len; i-- > 0;)
        if (g_array_index (req->callers, uint64_t, i) == id)
          g_array_remove_index (req->callers, i);
    }
}

void
cb_route_peer_up (cb_route_t *route, const char *entry, cb_msec_t now_ms)
{
  route->now_ms = now_ms;
  g_tree_replace (route->peers, g_strdup (entry), route);
  g_hash_table_remove (route->down_entries, entry);
}

void
cb_route_peer_down (cb_route_t *route, const char *entry, cb_msec_t now_ms)
{
  route->now_ms = now_ms;
  g_tree_remove (route->peers, entry);
  g_hash_table_add (route->down_entries, g_strdup (entry));
  cb_resolve_open_claims (route, now_ms);
}

/* Refuses REQ if it waits for its claim, for a slot or for a retry. Otherwise answers
   its callers with an unknown outcome. A request that was sent, to an endpoint or the
   mainframe, waits CB_LATE_ANSWER_MS longer for its answer and then ends with an
   unknown outcome; a request that waits for the end of another claim is removed at
   once. */
static void
handle_deadline (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  if (req->state == CB_REQ_QUEUED || req->state == CB_REQ_BACKOFF)
    cb_req_refuse (route, req, CB__REASON__DEADLINE_EXCEEDED, CB__RAN__RAN_NO, now);
  else if (req->state == CB_REQ_CLAIMING)
    cb_req_refuse (route, req,
                   route->log_unavailable ? CB__REASON__LOG_UNAVAILABLE
                                          : CB__REASON__DEADLINE_EXCEEDED,
                   CB__RAN__RAN_NO, now);
  else if (now >= req->deadline_ms + CB_LATE_ANSWER_MS)
    cb_req_refuse (route, req, CB__REASON__OUTCOME_UNKNOWN, CB__RAN__RAN_UNKNOWN, now);
  else
    {
      answer.account = req->request->account;
      answer.key = req->request->key;
      answer.reason = CB__REASON__OUTCOME_UNKNOWN;
      cb_req_reply_all (route, req, &answer);
      if (req->state == CB_REQ_FOLLOWING)
        cb_req_remove (route, req);
    }
}

/* Removes the oldest finished requests while they exceed the retention time or the
   retention size, except those whose claim may still take effect. */
static void
remove_old_answers (cb_route_t *route, cb_msec_t now)
{
  for (GList *l = route->finished.head, *next; l != NULL; l = next)
    {
      cb_req_t *req = l->data;

      next = l->next;
      if (now < req->done_ms + CB_ANSWER_RETENTION_MS &&
          route->answer_bytes <= CB_ANSWER_RETENTION_BYTES)
        return;
      if (!req->abandoned)
        cb_req_remove (route, req);
    }
}

static void
start_retry (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  if (req->fenced)
    cb_claim_renew (route, req, now);
  else
    cb_queue_add (route, req, now);
}

void
cb_route_tick (cb_route_t *route, cb_msec_t now_ms)
{
  route->now_ms = now_ms;
  if (route->first_tick_ms == 0)
    route->first_tick_ms = MAX (now_ms, 1);
  for (GList *l = route->requests.head, *next; l != NULL; l = next)
    {
      cb_req_t *req = l->data;

      next = l->next;
      if (now_ms >= req->deadline_ms)
        handle_deadline (route, req, now_ms);
      else if (req->state == CB_REQ_BACKOFF && now_ms >= req->retry_at_ms)
        start_retry (route, req, now_ms);
    }
  remove_old_answers (route, now_ms);
  cb_lookup_tick (route, now_ms);
  if (!route->open_claims_scanned &&
      now_ms >= route->first_tick_ms + CB_RESOLVE_START_DELAY_MS)
    {
      route->open_claims_scanned = TRUE;
      cb_resolve_open_claims (route, now_ms);
    }
  cb_queue_dispatch (route, now_ms);
}

uint32_t
cb_route_in_flight (const cb_route_t *route)
{
  return route->requests.length;
}
