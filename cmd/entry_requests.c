/* Handlers of /v1/requests, and calls of mainframes. The mainframe of a kind is the
   HTTP server that runs its requests until endpoints take the kind over. */
#include "cmd/entry.h"

#include <string.h>

typedef struct
{
  cb_entry_t *entry;
  uint64_t tag;
  cb_http_call_t *http;
} mainframe_call_t;

/* Returns a new id under which route/ answers REQ. */
static uint64_t
register_caller (cb_entry_t *entry, cb_http_req_t *req)
{
  uint64_t id = ++entry->last_id;

  g_hash_table_insert (entry->request_callers, g_memdup2 (&id, sizeof id), req);
  return id;
}

/* Returns the client account in the query of REQ, NULL after refusing REQ. */
static const char *
query_account (cb_entry_t *entry, cb_http_req_t *req)
{
  const char *account = cb_http_query (req, "account");

  if (account == NULL || *account == '\0')
    {
      cb_entry_refuse (entry, req, CB__REASON__BAD_REQUEST, CB__RAN__RAN_NO,
                       "query parameter account is missing");
      return NULL;
    }
  return account;
}

/* POST /v1/requests: answered when route/ outputs a reply. */
void
cb_entry_post_request (cb_entry_t *entry, cb_http_req_t *req)
{
  Cb__Request *request;

  /* Only this refusal and that of an invalid body are made here. All others come from
     route/, which writes them to the event trace. */
  if (cb_entry_config_stale (entry))
    {
      cb_entry_refuse (entry, req, CB__REASON__CONFIG_STALE, CB__RAN__RAN_NO, NULL);
      return;
    }
  request = (Cb__Request *)cb_entry_parse_body (entry, req, &cb__request__descriptor);
  if (request == NULL)
    return;
  cb_route_submit (entry->route, register_caller (entry, req), request,
                   cb_entry_now (entry), cb_clock_wall (entry->clock));
  cb_msg_free (request);
}

/* GET /v1/requests/KEY?account=A */
void
cb_entry_get_request (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const char *account = query_account (entry, req);

  if (account != NULL)
    cb_route_fetch (entry->route, register_caller (entry, req), account, key,
                    cb_entry_now (entry));
}

/* DELETE /v1/requests/KEY?account=A */
void
cb_entry_delete_request (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const char *account = query_account (entry, req);

  if (account != NULL)
    cb_route_cancel (entry->route, register_caller (entry, req), account, key,
                     cb_entry_now (entry));
}

/* Returns the detail of a refusal: for a request that ran, why there is no answer, and
   for a bad request the fields that are required. Otherwise NULL. Freed with g_free. */
static char *
refusal_detail (const Cb__Answer *answer)
{
  if (answer->reason == CB__REASON__BAD_REQUEST)
    return g_strdup ("key and account are required");
  if (answer->ran != CB__RAN__RAN_YES)
    return NULL;
  switch (answer->reason)
    {
    case CB__REASON__ANSWER_TOO_LARGE:
      return g_strdup ("the request ran, but its answer is too large");
    case CB__REASON__ENDPOINT_FAILED:
      if (answer->status >= 500)
        return g_strdup_printf ("the request ran and the endpoint answered with "
                                "HTTP status %u",
                                answer->status);
      return g_strdup ("the request ran, but its answer was truncated");
    case CB__REASON__OUTCOME_UNKNOWN:
      return g_strdup ("the request ran, but its answer is no longer stored");
    default:
      return g_strdup ("the request ran, but has no answer");
    }
}

/* Answers the caller ID, if it still waits. The body of an endpoint's or mainframe's
   answer is passed on unchanged, as is a status of 200 to 599; any other status becomes
   200. A refusal becomes an ErrorReply. */
void
cb_entry_reply_answer (cb_entry_t *entry, uint64_t id, const Cb__Answer *answer)
{
  cb_http_req_t *req = g_hash_table_lookup (entry->request_callers, &id);
  int status =
      answer->status >= 200 && answer->status < 600 ? (int)answer->status : 200;

  char *detail;

  if (req == NULL)
    return;
  g_hash_table_remove (entry->request_callers, &id);
  detail = refusal_detail (answer);
  if (answer->reason != CB__REASON__REASON_NONE)
    cb_entry_reply_refusal (req, answer->reason, answer->ran, answer->retry_after_ms,
                            detail);
  else
    cb_http_reply (req, status, "application/octet-stream", answer->body.data,
                   answer->body.len);
  g_free (detail);
}

static void
on_mainframe_reply (void *ctx, int err, int status, const char *body, size_t len)
{
  mainframe_call_t *call = ctx;
  cb_entry_t *entry = call->entry;
  Cb__Ran ran = CB__RAN__RAN_YES;

  if (cb_net_not_sent (err))
    ran = CB__RAN__RAN_NO;
  else if (err < 0)
    ran = CB__RAN__RAN_UNKNOWN;
  cb_route_mainframe_done (entry->route, call->tag, ran, (uint32_t)status, body, len,
                           cb_entry_now (entry));
  g_queue_remove (&entry->mainframe_calls, call);
  g_free (call);
  cb_entry_flush (entry);
}

/* Returns TEXT as a value for a header. Freed with g_free. */
static char *
replace_line_breaks (const char *text)
{
  return g_strdelimit (g_strdup (text), "\r\n", ' ');
}

/* Sends REQUEST to the mainframe of its kind and reports the result to route/ with TAG.
   When the kind has no mainframe, the request did not run. */
void
cb_entry_call_mainframe (cb_entry_t *entry, uint64_t tag, const Cb__Request *request)
{
  const Cb__KindRule *kind =
      entry->fleet == NULL ? NULL : cb_fleet_kind (entry->fleet, request->kind);
  cb_http_spec_t spec = { .method = "POST", .path = "/run" };
  mainframe_call_t *call;
  char *key;
  char *account;
  char *headers;

  if (kind == NULL || kind->mainframe == NULL)
    {
      cb_route_mainframe_done (entry->route, tag, CB__RAN__RAN_NO, 0, NULL, 0,
                               cb_entry_now (entry));
      return;
    }
  call = g_new0 (mainframe_call_t, 1);
  call->entry = entry;
  call->tag = tag;
  key = replace_line_breaks (request->key);
  account = replace_line_breaks (request->account);
  headers = g_strdup_printf (
      "x-request-key: %s\r\nx-request-kind: %s\r\nx-request-account: %s\r\n", key,
      request->kind, account);
  spec.address = kind->mainframe->address;
  spec.headers = headers;
  spec.body = request->body.data;
  spec.body_len = request->body.len;
  spec.timeout_ms = request->deadline_ms > 0 ? (cb_msec_t)request->deadline_ms
                                             : (cb_msec_t)cb_fleet_timeout_ms (kind);
  g_queue_push_tail (&entry->mainframe_calls, call);
  call->http = cb_http_call (entry->loop, &spec, on_mainframe_reply, call);
  g_free (headers);
  g_free (account);
  g_free (key);
}
