/* Claims of requests in the log: appends claims and their ends, and handles the records
   when they are applied ("folded") to the ledger. */
#include "logc/dat.h"
#include "route/local.h"

#include <string.h>

static uint64_t
record_time_ms (const cb_route_t *route, cb_msec_t now)
{
  return (uint64_t)MAX (now + route->wall_offset_ms, 1);
}

/* Appends the claim of REQ. The request is sent only when the claim has been applied as
   the first one of its key. */
void
cb_claim_append (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  Cb__Record *record =
      cb_outq_append (&route->out, req->serial, CB__RECORD__BODY_REQUEST_CLAIM);
  Cb__RequestClaim *claim = record->request_claim;

  req->state = CB_REQ_CLAIMING;
  record->time_ms = record_time_ms (route, now);
  cb_msg_set_string (&claim->account, req->request->account);
  cb_msg_set_string (&claim->key, req->request->key);
  cb_msg_set_string (&claim->kind, req->request->kind);
  cb_msg_set_string (&claim->entry, route->entry);
  claim->to_mainframe = req->to_mainframe;
  claim->body_hash = req->body_hash;
  claim->expires_ms = record->time_ms + CB_KEY_RETENTION_MS;
  req->claim_expires_ms = claim->expires_ms;
}

static void
append_end_record (cb_route_t *route, const Cb__RequestEnd *end)
{
  uint64_t *tag = g_new (uint64_t, 1);
  Cb__Record *record;

  *tag = ++route->serial;
  record = cb_outq_append (&route->out, *tag, CB__RECORD__BODY_REQUEST_END);
  cb_msg_free (record->request_end);
  record->request_end = (Cb__RequestEnd *)cb_msg_copy (&end->base);
  record->time_ms = record_time_ms (route, route->now_ms);
  g_hash_table_insert (route->pending_ends, tag, cb_msg_copy (&end->base));
}

/* Appends the record that ends the claim at offset CLAIM with ANSWER. */
void
cb_claim_append_end (cb_route_t *route, const char *account, const char *key,
                     uint64_t claim, const Cb__Answer *answer)
{
  Cb__RequestEnd end = CB__REQUEST_END__INIT;

  end.account = (char *)account;
  end.key = (char *)key;
  end.claim = claim;
  end.ran = answer->ran;
  end.reason = answer->reason;
  end.status = answer->status;
  if (answer->body.len <= CB_RECORD_ANSWER_MAX_BYTES)
    end.answer = answer->body;
  else
    end.reason = CB__REASON__ANSWER_TOO_LARGE;
  append_end_record (route, &end);
}

/* Ends the claim of REQ, which is proved not to have run, and appends a new claim for
   its key, because an agent refuses the old one. The log preserves the order of the two
   records. */
void
cb_claim_renew (cb_route_t *route, cb_req_t *req, cb_msec_t now)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  answer.ran = CB__RAN__RAN_NO;
  answer.reason = CB__REASON__ENDPOINT_FAILED;
  cb_claim_append_end (route, req->request->account, req->request->key, req->claim,
                       &answer);
  req->claim = 0;
  req->fenced = FALSE;
  cb_claim_append (route, req, now);
}

static cb_req_t *
find_claiming_request (const cb_route_t *route, uint64_t tag)
{
  cb_req_t *req = g_hash_table_lookup (route->by_serial, &tag);

  return req != NULL && (req->state == CB_REQ_CLAIMING || req->abandoned) ? req : NULL;
}

/* A request whose claim could not be appended is refused. The log writer continues to
   retry after CB_LOGC_UNAVAILABLE, so the claim may still take effect; after any other
   error it cannot. An end record that failed with another error is appended again. */
void
cb_route_appended (cb_route_t *route, uint64_t tag, int err, cb_msec_t now_ms)
{
  Cb__RequestEnd *end = g_hash_table_lookup (route->pending_ends, &tag);
  cb_req_t *req;

  if (end != NULL)
    {
      end = (Cb__RequestEnd *)cb_msg_copy (&end->base);
      g_hash_table_remove (route->pending_ends, &tag);
      if (err < 0 && err != CB_LOGC_UNAVAILABLE)
        append_end_record (route, end);
      cb_msg_free (end);
      return;
    }
  req = err == CB_OK ? NULL : find_claiming_request (route, tag);
  if (req == NULL)
    return;
  if (!req->abandoned)
    cb_req_refuse (route, req, CB__REASON__LOG_UNAVAILABLE, CB__RAN__RAN_NO, now_ms);
  if (err != CB_LOGC_UNAVAILABLE)
    {
      req->abandoned = FALSE;
      cb_req_remove (route, req);
    }
}

/* Sends REQ to the mainframe or queues it, after its claim was applied at OFFSET. */
static void
start_claimed_request (cb_route_t *route, cb_req_t *req, uint64_t offset, cb_msec_t now)
{
  char *account = cb_json_quote (req->request->account);
  char *key = cb_json_quote (req->request->key);

  req->claim = offset;
  cb_outq_event (&route->out, "req_claim",
                 "\"account\":%s,\"key\":%s,\"claim\":%" G_GUINT64_FORMAT, account, key,
                 offset);
  g_free (account);
  g_free (key);
  if (!req->to_mainframe)
    {
      cb_queue_add (route, req, now);
      return;
    }
  req->state = CB_REQ_MAINFRAME;
  req->request->claim = offset;
  cb_outq_call (&route->out, "mainframe", req->serial,
                cb_msg_copy (&req->request->base));
}

/* Appends the end of this entry's claim at OFFSET, which took effect after its request
   had been refused with REASON and `ran: no`. */
static void
end_abandoned_claim (cb_route_t *route, const Cb__RequestClaim *claim,
                     Cb__Reason reason, uint64_t offset)
{
  Cb__Answer answer = CB__ANSWER__INIT;

  answer.ran = CB__RAN__RAN_NO;
  answer.reason = reason;
  cb_claim_append_end (route, claim->account, claim->key, offset, &answer);
}

static void
apply_own_claim (cb_route_t *route, uint64_t offset, const Cb__RequestClaim *claim,
                 int result, cb_msec_t now)
{
  cb_req_t *req = cb_req_find (route, claim->account, claim->key);
  gboolean ours = req != NULL && req->body_hash == claim->body_hash &&
                  req->claim_expires_ms == claim->expires_ms &&
                  strcmp (req->request->kind, claim->kind) == 0 &&
                  (req->abandoned || req->state == CB_REQ_CLAIMING);

  if (!ours)
    {
      const Cb__RequestState *state =
          cb_ledger_request (route->ledger, claim->account, claim->key);

      /* This entry made the claim before a restart. */
      if (result == CB_OK && state != NULL)
        cb_resolve_claim (route, state, now);
      return;
    }
  if (req->abandoned)
    {
      if (result == CB_OK)
        end_abandoned_claim (route, claim, req->answer->reason, offset);
      req->abandoned = FALSE;
      cb_req_remove (route, req);
      return;
    }
  req->to_mainframe = claim->to_mainframe;
  if (result == CB_OK)
    start_claimed_request (route, req, offset, now);
  else if (result == CB_LEDGER_EXISTS)
    req->state = CB_REQ_FOLLOWING;
  else
    cb_req_refuse (route, req,
                   result == CB_LEDGER_KEY_CONFLICT ? CB__REASON__KEY_CONFLICT
                                                    : CB__REASON__INTERNAL,
                   CB__RAN__RAN_NO, now);
}

/* Answers the request that waits for the end of a claim that it does not own. */
static void
apply_end (cb_route_t *route, const Cb__RequestEnd *end, cb_msec_t now)
{
  cb_req_t *req = cb_req_find (route, end->account, end->key);
  Cb__Answer *answer;

  if (req == NULL || req->state != CB_REQ_FOLLOWING)
    return;
  answer = cb_answer_from_end (end);
  cb_req_finish (route, req, answer, now);
  cb_msg_free (answer);
}

/* Finishes a request that waits for the end of another claim of its key, when the
   ledger already contains that end. */
static void
finish_if_ended (cb_route_t *route, const Cb__RequestClaim *claim, cb_msec_t now)
{
  cb_req_t *req = cb_req_find (route, claim->account, claim->key);
  const Cb__RequestState *state =
      cb_ledger_request (route->ledger, claim->account, claim->key);

  if (req != NULL && req->state == CB_REQ_FOLLOWING && state != NULL && state->ended)
    apply_end (route, state->end, now);
}

void
cb_route_record_applied (cb_route_t *route, uint64_t offset, const Cb__Record *record,
                         int result, cb_msec_t now_ms)
{
  if (result == CB_LEDGER_DUPLICATE)
    return;
  if (record->body_case == CB__RECORD__BODY_REQUEST_END && result == CB_OK)
    apply_end (route, record->request_end, now_ms);
  if (record->body_case != CB__RECORD__BODY_REQUEST_CLAIM)
    return;
  if (strcmp (record->request_claim->entry, route->entry) == 0)
    apply_own_claim (route, offset, record->request_claim, result, now_ms);
  else if (result == CB_OK &&
           g_hash_table_contains (route->down_entries, record->request_claim->entry))
    cb_resolve_claim (route,
                      cb_ledger_request (route->ledger, record->request_claim->account,
                                         record->request_claim->key),
                      now_ms);
  finish_if_ended (route, record->request_claim, now_ms);
}

/* Applies the claims and ends that the restored ledger contains to the requests in
   FROM, which wait for them. */
static void
check_restored (cb_route_t *route, GQueue *from, cb_msec_t now)
{
  for (GList *l = from->head, *next; l != NULL; l = next)
    {
      cb_req_t *req = l->data;
      const Cb__RequestState *state =
          cb_ledger_request (route->ledger, req->request->account, req->request->key);

      next = l->next;
      if (state == NULL)
        continue;
      if (req->state == CB_REQ_FOLLOWING && state->ended)
        apply_end (route, state->end, now);
      else if ((req->state == CB_REQ_CLAIMING || req->abandoned) && !state->ended &&
               strcmp (state->claim->entry, route->entry) == 0 &&
               state->claim->expires_ms == req->claim_expires_ms)
        apply_own_claim (route, state->offset, state->claim, CB_OK, now);
    }
}

/* The records in the snapshot were not passed to cb_route_record_applied, so all
   requests are compared with the restored ledger. */
void
cb_route_restored (cb_route_t *route, cb_msec_t now_ms)
{
  route->now_ms = now_ms;
  check_restored (route, &route->requests, now_ms);
  check_restored (route, &route->finished, now_ms);
  if (route->open_claims_scanned)
    cb_resolve_open_claims (route, now_ms);
}
