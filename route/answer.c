/* Handles the answers to requests: replies to callers, refusals and retries. */
#include "route/local.h"

#include <xxhash.h>

#define RETRY_COST_PERMILLE 1000 /* of the retry budget */

/* Queues the reply for the caller ID and the event "req_answer" or "req_refuse". A
   refusal is also counted. */
void
cb_reply_to_caller (cb_route_t *route, uint64_t id, const Cb__Answer *answer)
{
  char *account = cb_json_quote (answer->account);
  char *key = cb_json_quote (answer->key);

  if (answer->reason == CB__REASON__REASON_NONE)
    cb_outq_event (&route->out, "req_answer",
                   "\"id\":%" G_GUINT64_FORMAT ",\"account\":%s,\"key\":%s,\"hash\":"
                   "\"%016" G_GINT64_MODIFIER "x\",\"length\":%zu",
                   id, account, key,
                   (guint64)XXH64 (answer->body.data, answer->body.len, 0),
                   answer->body.len);
  else
    {
      char *label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (answer->reason));

      cb_outq_event (&route->out, "req_refuse",
                     "\"id\":%" G_GUINT64_FORMAT ",\"account\":%s,\"key\":%s,"
                     "\"reason\":\"%s\",\"ran\":\"%s\"",
                     id, account, key, cb_reason_text (answer->reason),
                     cb_ran_text (answer->ran));
      cb_outq_count (&route->out, "refused_total", label);
      g_free (label);
    }
  cb_outq_reply (&route->out, id, (Cb__Answer *)cb_msg_copy (&answer->base));
  g_free (account);
  g_free (key);
}

/* Sends the caller ID a refusal that is not stored as the answer of a request. */
void
cb_refuse_caller (cb_route_t *route, uint64_t id, const char *account, const char *key,
                  Cb__Reason reason, Cb__Ran ran, uint32_t retry_after_ms)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  answer.account = (char *)account;
  answer.key = (char *)key;
  answer.reason = reason;
  answer.ran = ran;
  answer.retry_after_ms = retry_after_ms;
  cb_reply_to_caller (route, id, &answer);
}

void
cb_req_reply_all (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer)
{
  for (guint i = 0; i < req->callers->len; i++)
    cb_reply_to_caller (route, g_array_index (req->callers, uint64_t, i), answer);
  g_array_set_size (req->callers, 0);
}

/* Returns the answer that END records. Freed with cb_msg_free. */
Cb__Answer *
cb_answer_from_end (const Cb__RequestEnd *end)
{
  Cb__Answer *answer = cb_msg_new (&cb__answer__descriptor);

  cb_msg_set_string (&answer->account, end->account);
  cb_msg_set_string (&answer->key, end->key);
  cb_msg_set_bytes (&answer->body, end->answer.data, end->answer.len);
  answer->length = end->answer.len;
  answer->ran = end->ran;
  answer->reason = end->reason;
  answer->status = end->status;
  answer->claim = end->claim;
  return answer;
}

static void
store_answer (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer)
{
  Cb__Answer *copy = (Cb__Answer *)cb_msg_copy (&answer->base);

  if (req->answer != NULL)
    route->answer_bytes -= req->answer->body.len;
  cb_msg_free (req->answer);
  req->answer = copy;
  route->answer_bytes += copy->body.len;
}

/* Ends the claim of REQ with ANSWER, or starts to resolve it if the outcome is unknown.
   The claims of mainframe requests cannot be resolved. */
static void
end_claim (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer, cb_msec_t now)
{
  const Cb__RequestState *state;

  if (req->claim == 0)
    return;
  state = cb_ledger_request (route->ledger, req->request->account, req->request->key);
  if (answer->reason == CB__REASON__OUTCOME_UNKNOWN && !req->to_mainframe &&
      state != NULL && state->offset == req->claim)
    cb_resolve_claim (route, state, now);
  else
    cb_claim_append_end (route, req->request->account, req->request->key, req->claim,
                         answer);
}

/* Ends REQ with ANSWER, which is copied: replies to its callers, ends its claim and
   retains the answer. */
void
cb_req_finish (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer,
               cb_msec_t now)
{
  cb_queue_remove (route, req);
  cb_req_set_state (route, req, CB_REQ_DONE);
  req->done_ms = now;
  store_answer (route, req, answer);
  end_claim (route, req, req->answer, now);
  cb_req_reply_all (route, req, req->answer);
}

/* Implements cb_req_refuse. STATUS is the HTTP status of the endpoint's answer; 0: not
   known. */
static void
refuse_with_status (cb_route_t *route, cb_req_t *req, Cb__Reason reason, Cb__Ran ran,
                    uint32_t status, cb_msec_t now)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  req->abandoned = req->state == CB_REQ_CLAIMING;
  answer.account = req->request->account;
  answer.key = req->request->key;
  answer.reason = reason;
  answer.ran = req->may_have_run && ran == CB__RAN__RAN_NO ? CB__RAN__RAN_UNKNOWN : ran;
  answer.status = status;
  answer.claim = req->claim;
  cb_req_finish (route, req, &answer, now);
}

/* Ends REQ without an answer. RAN_NO is replaced by RAN_UNKNOWN when an earlier attempt
   may have run. A claim that has not been applied yet may still take effect, so REQ is
   retained to end the claim then. */
void
cb_req_refuse (cb_route_t *route, cb_req_t *req, Cb__Reason reason, Cb__Ran ran,
               cb_msec_t now)
{
  refuse_with_status (route, req, reason, ran, 0, now);
}

/* TRUE for failures that a later retry, or a retry at another endpoint, may avoid. */
static gboolean
is_transient (Cb__Reason reason)
{
  switch (reason)
    {
    case CB__REASON__ENDPOINT_BUSY:
    case CB__REASON__ENDPOINT_FAILED:
    case CB__REASON__DRAINING:
    case CB__REASON__NO_ENDPOINT:
    case CB__REASON__SUSPENDED:
    case CB__REASON__OUTCOME_UNKNOWN:
    case CB__REASON__NO_CONFIG:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Returns the delay before a retry: exponential, with its upper half random. */
static cb_msec_t
backoff_ms (cb_route_t *route, uint32_t retries)
{
  cb_msec_t max_ms = MIN ((cb_msec_t)CB_RETRY_BASE_MS << retries, CB_RETRY_MAX_MS);

  return max_ms / 2 + g_rand_int_range (route->rand, 0, (gint32)(max_ms / 2 + 1));
}

/* Retries REQ after its attempt failed with ANSWER. When it may not be retried, ends it
   with the reason of ANSWER, or with RETRY_BUDGET when the retry budget is used up. */
void
cb_req_retry_or_fail (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer,
                      cb_msec_t now)
{
  gboolean safe = answer->ran == CB__RAN__RAN_NO || !req->request->not_repeatable;
  cb_msec_t wait_ms;
  char *label;

  req->may_have_run |= answer->ran != CB__RAN__RAN_NO;
  if (!safe || !is_transient (answer->reason) || req->retries >= CB_MAX_RETRIES)
    {
      refuse_with_status (route, req, answer->reason, answer->ran, answer->status, now);
      return;
    }
  if (route->budget_permille < RETRY_COST_PERMILLE)
    {
      cb_req_refuse (route, req, CB__REASON__RETRY_BUDGET, answer->ran, now);
      return;
    }
  wait_ms = backoff_ms (route, req->retries);
  cb_queue_remove (route, req);
  route->budget_permille -= RETRY_COST_PERMILLE;
  req->retries++;
  req->state = CB_REQ_BACKOFF;
  req->retry_at_ms = now + wait_ms;
  label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (answer->reason));
  cb_outq_count (&route->out, "retried_total", label);
  g_free (label);
}

static gboolean
is_truncated (const Cb__Answer *answer)
{
  return answer->reason == CB__REASON__REASON_NONE &&
         answer->length != answer->body.len;
}

/* TRUE when the answer is for the current attempt of REQ, which is in flight or ended
   with an unknown outcome. An earlier attempt may report `ran: no` while the current
   one runs. */
static gboolean
is_current_answer (const cb_req_t *req, const Cb__Envelope *envelope)
{
  const Cb__Answer *answer = envelope->answer;
  gboolean late = req->state == CB_REQ_DONE && req->answer != NULL &&
                  req->answer->reason == CB__REASON__OUTCOME_UNKNOWN;

  return (req->state == CB_REQ_SENT || late) && req->endpoint != NULL &&
         g_strcmp0 (req->endpoint->agent, envelope->from) == 0 &&
         answer->attempt == req->attempt && answer->claim == req->claim;
}

static void
record_health (cb_req_t *req, const Cb__Answer *answer, cb_msec_t now)
{
  if (answer->reason == CB__REASON__REASON_NONE)
    cb_endpoint_record_result (req->endpoint, req, answer->status < 500, now);
  else if (answer->reason == CB__REASON__ENDPOINT_FAILED ||
           answer->reason == CB__REASON__OUTCOME_UNKNOWN)
    cb_endpoint_record_result (req->endpoint, req, FALSE, now);
}

static void
receive_answer (cb_route_t *route, const Cb__Envelope *envelope, cb_msec_t now)
{
  const Cb__Answer *answer = envelope->answer;
  cb_req_t *req = cb_req_find (route, answer->account, answer->key);
  Cb__Answer changed = *answer;

  if (req == NULL || !is_current_answer (req, envelope))
    {
      cb_outq_count (&route->out, "answers_dropped_total", NULL);
      return;
    }
  if (is_truncated (answer))
    {
      changed.reason = CB__REASON__ENDPOINT_FAILED;
      changed.ran = CB__RAN__RAN_YES;
      changed.status = 0;
    }
  if (req->state == CB_REQ_DONE && changed.reason != CB__REASON__REASON_NONE)
    return;
  record_health (req, &changed, now);
  cb_queue_record_answer (route, req->request->kind, now);
  if (changed.reason == CB__REASON__REASON_NONE)
    {
      changed.ran = CB__RAN__RAN_YES;
      cb_req_finish (route, req, &changed, now);
    }
  else
    cb_req_retry_or_fail (route, req, &changed, now);
  cb_queue_dispatch (route, now);
}

void
cb_route_receive (cb_route_t *route, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  route->now_ms = now_ms;
  if (envelope->body_case == CB__ENVELOPE__BODY_ANSWER)
    receive_answer (route, envelope, now_ms);
  else
    cb_lookup_receive (route, envelope, now_ms);
}

void
cb_route_mainframe_done (cb_route_t *route, uint64_t tag, Cb__Ran ran, uint32_t status,
                         const void *body, size_t len, cb_msec_t now_ms)
{
  cb_req_t *req = g_hash_table_lookup (route->by_serial, &tag);
  Cb__Answer answer = CB__ANSWER__INIT;

  route->now_ms = now_ms;
  if (req == NULL || req->state != CB_REQ_MAINFRAME)
    return;
  if (ran != CB__RAN__RAN_YES)
    {
      cb_req_refuse (route, req,
                     ran == CB__RAN__RAN_NO ? CB__REASON__ENDPOINT_FAILED
                                            : CB__REASON__OUTCOME_UNKNOWN,
                     ran, now_ms);
      return;
    }
  answer.account = req->request->account;
  answer.key = req->request->key;
  answer.ran = ran;
  answer.status = status;
  answer.body.data = (uint8_t *)body;
  answer.body.len = len;
  answer.length = len;
  answer.claim = req->claim;
  cb_req_finish (route, req, &answer, now_ms);
}
