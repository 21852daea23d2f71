/* Lookups of a key at agents and other entries: for callers that fetch an answer, and
   to resolve open claims. A claim is a log record by which one entry obtains the right
   to send a request that must not run twice; it is open until the request's end is
   recorded. The mainframe is the external system that runs the requests of a kind, in
   place of an endpoint, until the kind is signed off (schema/carobrun.proto). */
#include "route/local.h"

#include <string.h>

void
cb_lookup_free (void *ptr)
{
  cb_lookup_t *lookup = ptr;

  g_hash_table_destroy (lookup->unanswered);
  g_free (lookup->account);
  g_free (lookup->key);
  g_free (lookup);
}

static cb_lookup_t *
new_lookup (cb_route_t *route, const char *account, const char *key, cb_msec_t until)
{
  cb_lookup_t *lookup = g_new0 (cb_lookup_t, 1);

  lookup->id = ++route->serial;
  lookup->account = g_strdup (account);
  lookup->key = g_strdup (key);
  lookup->unanswered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  lookup->expires_at_ms = until;
  g_queue_push_tail (&route->lookups, lookup);
  return lookup;
}

static void
send_lookup (cb_route_t *route, cb_lookup_t *lookup, const char *to)
{
  Cb__Envelope *envelope =
      cb_outq_send (&route->out, to, CB__ENVELOPE__BODY_REQUEST_LOOKUP);

  cb_msg_set_string (&envelope->request_lookup->account, lookup->account);
  cb_msg_set_string (&envelope->request_lookup->key, lookup->key);
  envelope->request_lookup->id = lookup->id;
  if (lookup->resolves_claim)
    envelope->request_lookup->claim = lookup->claim;
  g_hash_table_add (lookup->unanswered, g_strdup (to));
}

static void
end_lookup (cb_route_t *route, cb_lookup_t *lookup)
{
  g_queue_remove (&route->lookups, lookup);
  cb_lookup_free (lookup);
}

/* Sends LOOKUP to the agents that serve KIND or have served it. Those that are down are
   only added to `unanswered`. */
static void
send_lookup_to_agents (cb_route_t *route, cb_lookup_t *lookup, const char *kind)
{
  for (guint i = 0; i < route->endpoints->len; i++)
    {
      const cb_endpoint_t *endpoint = route->endpoints->pdata[i];

      if (!cb_endpoint_has_served (endpoint, kind))
        continue;
      if (endpoint->since_offset > lookup->claim)
        lookup->all_up_since_claim = FALSE;
      if (endpoint->up)
        send_lookup (route, lookup, endpoint->agent);
      else
        g_hash_table_add (lookup->unanswered, g_strdup (endpoint->agent));
    }
}

/* Ends or retries REQ, which was sent, when ANSWER proves whether it ran. Otherwise
   REQ waits for its answer until CB_LATE_ANSWER_MS after its deadline. */
static void
apply_proof (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer, cb_msec_t now)
{
  if (answer->ran == CB__RAN__RAN_YES)
    cb_req_finish (route, req, answer, now);
  else if (answer->ran == CB__RAN__RAN_NO)
    {
      /* The agent may refuse this claim from now on, so a retry needs a new claim. */
      req->fenced = TRUE;
      cb_req_retry_or_fail (route, req, answer, now);
    }
}

/* Returns the request that has not ended and owns the claim of LOOKUP (claims are
   described in route/dat.h); NULL when there is none, or when LOOKUP has no attempt
   because cb_resolve_claim made it. */
static cb_req_t *
find_unfinished_request (const cb_route_t *route, const cb_lookup_t *lookup)
{
  cb_req_t *req = cb_req_find (route, lookup->account, lookup->key);

  return lookup->attempt != 0 && req != NULL && req->claim == lookup->claim &&
                 req->state != CB_REQ_DONE
             ? req
             : NULL;
}

/* Ends LOOKUP, which resolves a claim, with ANSWER: applies ANSWER to the request or
   appends the end of the claim. Frees LOOKUP. */
static void
end_claim_lookup (cb_route_t *route, cb_lookup_t *lookup, const Cb__Answer *answer,
                  cb_msec_t now)
{
  cb_req_t *req = cb_req_find (route, lookup->account, lookup->key);
  cb_req_t *sent = find_unfinished_request (route, lookup);
  gboolean done =
      req != NULL && req->state == CB_REQ_DONE && req->claim == lookup->claim;

  /* Removed first, because ending a request searches the list for a lookup of its
     claim. */
  g_queue_remove (&route->lookups, lookup);
  if (sent != NULL)
    {
      /* ANSWER does not apply to a later attempt under the same claim, which may be
         running at another agent. */
      if (sent->state == CB_REQ_SENT && sent->attempt == lookup->attempt)
        apply_proof (route, sent, answer, now);
    }
  else if (!done)
    cb_claim_append_end (route, lookup->account, lookup->key, lookup->claim, answer);
  /* The request has ended; with a known outcome its claim has been ended too. */
  else if (req->answer->reason == CB__REASON__OUTCOME_UNKNOWN)
    {
      if (answer->reason != CB__REASON__OUTCOME_UNKNOWN)
        cb_req_finish (route, req, answer, now);
      else
        cb_claim_append_end (route, lookup->account, lookup->key, lookup->claim,
                             answer);
    }
  cb_lookup_free (lookup);
}

/* Ends LOOKUP without an answer: the request is proved not to have run if NOT_RUN is
   set, otherwise its outcome is unknown. */
static void
end_claim_without_answer (cb_route_t *route, cb_lookup_t *lookup, gboolean not_run,
                          cb_msec_t now)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  answer.account = lookup->account;
  answer.key = lookup->key;
  answer.claim = lookup->claim;
  answer.ran = not_run ? CB__RAN__RAN_NO : CB__RAN__RAN_UNKNOWN;
  answer.reason = not_run ? CB__REASON__ENDPOINT_FAILED : CB__REASON__OUTCOME_UNKNOWN;
  end_claim_lookup (route, lookup, &answer, now);
}

static cb_lookup_t *
find_claim_lookup (const cb_route_t *route, const char *account, const char *key,
                   uint64_t claim)
{
  for (GList *l = route->lookups.head; l != NULL; l = l->next)
    {
      cb_lookup_t *other = l->data;

      if (other->resolves_claim && other->claim == claim &&
          strcmp (other->key, key) == 0 && strcmp (other->account, account) == 0)
        return other;
    }
  return NULL;
}

static cb_lookup_t *
new_claim_lookup (cb_route_t *route, const char *account, const char *key,
                  uint64_t claim, cb_msec_t now)
{
  cb_lookup_t *lookup = new_lookup (route, account, key, now + CB_RESOLVE_TIMEOUT_MS);

  lookup->resolves_claim = TRUE;
  lookup->max_expires_at_ms = now + CB_LATE_ANSWER_MS;
  lookup->claim = claim;
  lookup->all_up_since_claim = TRUE;
  lookup->resend_at_ms = now + CB_RESOLVE_RESEND_MS;
  return lookup;
}

/* Sends a lookup about REQ, which is in flight under a claim, to its agent. No other
   agent can have run REQ: either it was sent to this agent only, or the other agents
   proved that they did not run it. `not found` is not taken as proof for a repeatable
   request, which an agent need not retain after a failure. */
void
cb_resolve_sent (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  cb_lookup_t *lookup =
      find_claim_lookup (route, req->request->account, req->request->key, req->claim);

  if (lookup == NULL)
    lookup = new_claim_lookup (route, req->request->account, req->request->key,
                               req->claim, now);
  /* Replies to a lookup for an earlier attempt must not count for this one. */
  g_hash_table_remove_all (lookup->unanswered);
  lookup->attempt = req->attempt;
  lookup->all_up_since_claim = req->request->not_repeatable && !req->may_have_run &&
                               req->endpoint->since_offset <= req->claim;
  lookup->expires_at_ms = now + CB_RESOLVE_TIMEOUT_MS;
  send_lookup (route, lookup, req->endpoint->agent);
}

/* Resolves an open claim that no answer will end, because its entry or agent is down or
   its request ended with an unknown outcome: sends a lookup to the agents and ends the
   claim with the result. A claim for the mainframe ends at once with an unknown
   outcome. Does nothing when STATE is NULL or has ended, or a lookup of its claim is
   open. */
void
cb_resolve_claim (cb_route_t *route, const Cb__RequestState *state, cb_msec_t now)
{
  cb_lookup_t *lookup;

  if (state == NULL || state->ended ||
      find_claim_lookup (route, state->claim->account, state->claim->key,
                         state->offset))
    return;
  lookup = new_claim_lookup (route, state->claim->account, state->claim->key,
                             state->offset, now);
  /* The mainframe does not support lookups. */
  if (state->claim->to_mainframe)
    end_claim_without_answer (route, lookup, FALSE, now);
  else
    send_lookup_to_agents (route, lookup, state->claim->kind);
}

/* The sources are, in this order: the request in memory, the end of its claim in the
   ledger, and a lookup at other processes. */
void
cb_route_fetch (cb_route_t *route, uint64_t id, const char *account, const char *key,
                cb_msec_t now_ms)
{
  cb_req_t *req = cb_req_find (route, account, key);
  const Cb__RequestState *state = cb_ledger_request (route->ledger, account, key);
  cb_lookup_t *lookup;

  if (req != NULL && req->state != CB_REQ_DONE)
    {
      cb_req_add_caller (req, id);
      return;
    }
  if (req != NULL)
    {
      cb_reply_to_caller (route, id, req->answer);
      return;
    }
  if (state != NULL && state->ended &&
      state->end->reason != CB__REASON__ANSWER_TOO_LARGE)
    {
      Cb__Answer *answer = cb_answer_from_end (state->end);

      cb_reply_to_caller (route, id, answer);
      cb_msg_free (answer);
      return;
    }
  lookup = new_lookup (route, account, key, now_ms + CB_LOOKUP_TIMEOUT_MS);
  lookup->caller_id = id;
  for (GTreeNode *n = g_tree_node_first (route->peers); n; n = g_tree_node_next (n))
    send_lookup (route, lookup, g_tree_node_key (n));
  if (state != NULL && !state->claim->to_mainframe)
    send_lookup_to_agents (route, lookup, state->claim->kind);
  if (g_hash_table_size (lookup->unanswered) == 0)
    lookup->expires_at_ms = now_ms;
  cb_lookup_tick (route, now_ms);
}

static void
reply_to_lookup (cb_route_t *route, const Cb__Envelope *envelope)
{
  const Cb__RequestLookup *query = envelope->request_lookup;
  const cb_req_t *req = cb_req_find (route, query->account, query->key);
  Cb__RequestFound *found =
      cb_outq_send (&route->out, envelope->from, CB__ENVELOPE__BODY_REQUEST_FOUND)
          ->request_found;

  found->id = query->id;
  found->running = req != NULL && req->state != CB_REQ_DONE;
  found->found = req != NULL && req->state == CB_REQ_DONE;
  if (found->found)
    found->answer = (Cb__Answer *)cb_msg_copy (&req->answer->base);
}

static cb_lookup_t *
find_lookup (const cb_route_t *route, uint64_t id)
{
  for (GList *l = route->lookups.head; l != NULL; l = l->next)
    if (((cb_lookup_t *)l->data)->id == id)
      return l->data;
  return NULL;
}

/* TRUE when ANSWER is complete, or a refusal, for the key and the claim of LOOKUP. */
static gboolean
is_valid_answer (const cb_lookup_t *lookup, const Cb__Answer *answer)
{
  return answer != NULL && strcmp (answer->account, lookup->account) == 0 &&
         strcmp (answer->key, lookup->key) == 0 &&
         (answer->reason != CB__REASON__REASON_NONE ||
          answer->length == answer->body.len) &&
         (!lookup->resolves_claim || answer->claim == lookup->claim);
}

/* Ends LOOKUP with the answer that a process has retained. Returns FALSE when the
   answer proves nothing; LOOKUP then stays open. */
static gboolean
apply_outcome (cb_route_t *route, cb_lookup_t *lookup, const Cb__Answer *answer,
               cb_msec_t now)
{
  Cb__Answer whole;

  if (!is_valid_answer (lookup, answer))
    return FALSE;
  whole = *answer;
  if (whole.reason == CB__REASON__REASON_NONE)
    whole.ran = CB__RAN__RAN_YES;
  if (whole.ran != CB__RAN__RAN_YES && lookup->resolves_claim)
    return FALSE;
  if (lookup->resolves_claim)
    {
      end_claim_lookup (route, lookup, &whole, now);
      return TRUE;
    }
  cb_reply_to_caller (route, lookup->caller_id, &whole);
  end_lookup (route, lookup);
  return TRUE;
}

/* TRUE when the reply is from an entry, or from the incarnation of the agent that this
   entry has recorded. An agent that has restarted since has no record of requests that
   ran before its restart. Also clears all_up_since_claim of LOOKUP when the agent
   restarted after the claim was made. */
static gboolean
is_same_incarnation (const cb_route_t *route, cb_lookup_t *lookup,
                     const Cb__Envelope *envelope)
{
  const cb_endpoint_t *endpoint = g_hash_table_lookup (route->by_agent, envelope->from);

  if (endpoint != NULL && endpoint->since_offset > lookup->claim)
    lookup->all_up_since_claim = FALSE;
  return endpoint == NULL || endpoint->incarnation == envelope->incarnation;
}

/* Handles the reply that a request in flight is running, so that its answer will follow
   through the agent's present home entry, or that it ran with an unknown outcome, so
   that no answer will follow. Returns FALSE for any other reply. */
static gboolean
apply_in_flight_status (cb_route_t *route, cb_lookup_t *lookup,
                        const Cb__RequestFound *found, cb_msec_t now)
{
  cb_req_t *req = find_unfinished_request (route, lookup);

  if (req == NULL || req->state != CB_REQ_SENT || req->attempt != lookup->attempt)
    return FALSE;
  if (found->running)
    end_lookup (route, lookup);
  else if (found->found && is_valid_answer (lookup, found->answer) &&
           found->answer->ran == CB__RAN__RAN_UNKNOWN)
    cb_req_refuse (route, req, CB__REASON__OUTCOME_UNKNOWN, CB__RAN__RAN_UNKNOWN, now);
  else
    return FALSE;
  return TRUE;
}

static void
receive_found (cb_route_t *route, const Cb__Envelope *envelope, cb_msec_t now)
{
  const Cb__RequestFound *found = envelope->request_found;
  const char *from = envelope->from;
  cb_lookup_t *lookup = find_lookup (route, found->id);
  gboolean refused;

  if (lookup == NULL || !g_hash_table_contains (lookup->unanswered, from))
    return;
  if (found->found && apply_outcome (route, lookup, found->answer, now))
    return;
  if (apply_in_flight_status (route, lookup, found, now))
    return;
  refused = found->found && found->answer != NULL &&
            found->answer->ran == CB__RAN__RAN_NO &&
            is_valid_answer (lookup, found->answer);
  if (found->running)
    lookup->seen_running = TRUE;
  /* A record that proves nothing leaves the lookup open until it expires. */
  if (found->running || (found->found && !refused) ||
      !is_same_incarnation (route, lookup, envelope))
    return;
  g_hash_table_remove (lookup->unanswered, from);
  if (g_hash_table_size (lookup->unanswered) > 0)
    return;
  if (lookup->resolves_claim)
    end_claim_without_answer (route, lookup, lookup->all_up_since_claim, now);
  else
    lookup->expires_at_ms = now;
}

void
cb_lookup_receive (cb_route_t *route, const Cb__Envelope *envelope, cb_msec_t now)
{
  if (envelope->body_case == CB__ENVELOPE__BODY_REQUEST_LOOKUP)
    reply_to_lookup (route, envelope);
  else if (envelope->body_case == CB__ENVELOPE__BODY_REQUEST_FOUND)
    receive_found (route, envelope, now);
}

/* Sends LOOKUP again to the agents without a conclusive reply: one that was running the
   request may have finished, and one that was down may be up. */
static void
resend_lookups (cb_route_t *route, cb_lookup_t *lookup, cb_msec_t now)
{
  lookup->resend_at_ms = now + CB_RESOLVE_RESEND_MS;
  /* Extends the lookup while an agent reports that the request is running. */
  if (lookup->seen_running)
    lookup->expires_at_ms =
        MAX (lookup->expires_at_ms, MIN (now + (cb_msec_t)3 * CB_RESOLVE_RESEND_MS,
                                         lookup->max_expires_at_ms));
  lookup->seen_running = FALSE;
  for (guint i = 0; i < route->endpoints->len; i++)
    {
      const cb_endpoint_t *endpoint = route->endpoints->pdata[i];

      if (!endpoint->up || !g_hash_table_contains (lookup->unanswered, endpoint->agent))
        continue;
      if (endpoint->since_offset > lookup->claim)
        lookup->all_up_since_claim = FALSE;
      send_lookup (route, lookup, endpoint->agent);
    }
}

static void
end_fetch (cb_route_t *route, cb_lookup_t *lookup)
{
  const Cb__RequestState *state =
      cb_ledger_request (route->ledger, lookup->account, lookup->key);
  gboolean is_known = lookup->seen_running || state != NULL;

  cb_refuse_caller (route, lookup->caller_id, lookup->account, lookup->key,
                    is_known ? CB__REASON__OUTCOME_UNKNOWN : CB__REASON__NOT_FOUND,
                    CB__RAN__RAN_UNKNOWN, 0);
  end_lookup (route, lookup);
}

void
cb_lookup_tick (cb_route_t *route, cb_msec_t now)
{
  for (GList *l = route->lookups.head, *next; l != NULL; l = next)
    {
      cb_lookup_t *lookup = l->data;

      next = l->next;
      if (now >= lookup->expires_at_ms && lookup->resolves_claim)
        end_claim_without_answer (route, lookup, FALSE, now);
      else if (now >= lookup->expires_at_ms)
        end_fetch (route, lookup);
      else if (lookup->resolves_claim && now >= lookup->resend_at_ms)
        resend_lookups (route, lookup, now);
    }
}

typedef struct
{
  cb_route_t *route;
  GPtrArray *found;
} claim_scan_t;

/* Collects an open claim that no process will end: of an entry that is down, or made by
   this entry before a restart. */
static void
collect_open_claim (void *ctx, const Cb__RequestState *state)
{
  claim_scan_t *scan = ctx;
  const cb_route_t *route = scan->route;
  const cb_req_t *req;

  if (state->ended)
    return;
  req = cb_req_find (route, state->claim->account, state->claim->key);
  if (g_hash_table_contains (route->down_entries, state->claim->entry) ||
      (strcmp (state->claim->entry, route->entry) == 0 &&
       (req == NULL || (req->claim != state->offset && !req->abandoned))))
    g_ptr_array_add (scan->found, (void *)state);
}

/* Resolves all open claims that no process will end. */
void
cb_resolve_open_claims (cb_route_t *route, cb_msec_t now)
{
  claim_scan_t scan = { route, g_ptr_array_new () };

  cb_ledger_each_request (route->ledger, collect_open_claim, &scan);
  for (guint i = 0; i < scan.found->len; i++)
    cb_resolve_claim (route, scan.found->pdata[i], now);
  g_ptr_array_free (scan.found, TRUE);
}
