/* HTTP server of an entry: dispatch of calls, refusals and JSON bodies. */
#include "cmd/entry.h"

#include <string.h>

#define JSON_TYPE "application/json"

/* Returns the HTTP status of a refusal. It depends on what the caller can do: correct
   the call (400, 404, 409), retry it later (429, 503) or look up whether it ran (504).
 */
static int
http_status (Cb__Reason reason)
{
  switch (reason)
    {
    case CB__REASON__BAD_REQUEST:
    case CB__REASON__UNKNOWN_ACCOUNT:
    case CB__REASON__UNKNOWN_KIND:
    case CB__REASON__NEVER_FITS:
    case CB__REASON__QUOTA_EXCEEDED:
      return 400;
    case CB__REASON__NOT_FOUND:
      return 404;
    case CB__REASON__KEY_CONFLICT:
    case CB__REASON__CONFLICT:
    case CB__REASON__CANCELED:
      return 409;
    case CB__REASON__QUEUE_FULL:
    case CB__REASON__ENDPOINT_BUSY:
    case CB__REASON__RETRY_BUDGET:
      return 429;
    case CB__REASON__DEADLINE_EXCEEDED:
    case CB__REASON__OUTCOME_UNKNOWN:
      return 504;
    default:
      return 503;
    }
}

/* Returns the time after which a retry may succeed; 0: an identical call will not. */
static uint32_t
default_retry_after_ms (Cb__Reason reason)
{
  switch (reason)
    {
    case CB__REASON__QUEUE_FULL:
    case CB__REASON__ENDPOINT_BUSY:
    case CB__REASON__DRAINING:
      return 200;
    case CB__REASON__RETRY_BUDGET:
    case CB__REASON__NO_ENDPOINT:
    case CB__REASON__NO_CONFIG:
    case CB__REASON__CONFIG_STALE:
    case CB__REASON__LOG_UNAVAILABLE:
    case CB__REASON__ENDPOINT_FAILED:
      return 1000;
    default:
      return 0;
    }
}

/* Answers REQ with a message as JSON. */
void
cb_entry_reply (cb_http_req_t *req, int status, const ProtobufCMessage *message)
{
  char *text = cb_json_write (message);

  cb_http_reply (req, status, JSON_TYPE, text, strlen (text));
  g_free (text);
}

/* Answers REQ with a refusal, without counting it. RETRY_MS 0: the default for REASON.
   DETAIL may be NULL. RAN_YES is sent as RAN_UNKNOWN, as a refusal with `ran: yes`
   could be taken for a success; DETAIL should state that the request ran. */
void
cb_entry_reply_refusal (cb_http_req_t *req, Cb__Reason reason, Cb__Ran ran,
                        uint32_t retry_ms, const char *detail)
{
  Cb__Refusal refusal = CB__REFUSAL__INIT;
  Cb__ErrorReply reply = CB__ERROR_REPLY__INIT;

  refusal.reason = reason;
  refusal.ran = ran == CB__RAN__RAN_NO ? ran : CB__RAN__RAN_UNKNOWN;
  refusal.retry_after_ms = retry_ms > 0 ? retry_ms : default_retry_after_ms (reason);
  refusal.detail = detail == NULL ? (char *)"" : (char *)detail;
  reply.error = &refusal;
  cb_entry_reply (req, http_status (reason), &reply.base);
}

/* Answers REQ with a refusal and counts REASON. DETAIL may be NULL. */
void
cb_entry_refuse (cb_entry_t *entry, cb_http_req_t *req, Cb__Reason reason, Cb__Ran ran,
                 const char *detail)
{
  char *label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (reason));

  cb_counters_add (entry->counters, "refused_total", label, 1);
  g_free (label);
  cb_entry_reply_refusal (req, reason, ran, 0, detail);
}

/* Returns TRUE when a newer configuration has been known for longer than
   CB_ENTRY_CONFIG_LAG_MAX_MS but has not been applied. */
gboolean
cb_entry_config_stale (const cb_entry_t *entry)
{
  return entry->config_lag_exceeded;
}

/* Returns TRUE when this entry accepts new work, FALSE after refusing REQ. */
gboolean
cb_entry_check_ready (cb_entry_t *entry, cb_http_req_t *req)
{
  if (entry->draining)
    cb_entry_refuse (entry, req, CB__REASON__DRAINING, CB__RAN__RAN_NO,
                     "this entry is shutting down");
  else if (entry->fleet == NULL)
    cb_entry_refuse (entry, req, CB__REASON__NO_CONFIG, CB__RAN__RAN_NO, NULL);
  else if (cb_entry_config_stale (entry))
    cb_entry_refuse (entry, req, CB__REASON__CONFIG_STALE, CB__RAN__RAN_NO, NULL);
  else
    return TRUE;
  return FALSE;
}

/* Parses the body of REQ as a JSON message of TYPE. The result is freed with
   cb_msg_free. Returns NULL after refusing REQ with all errors. */
ProtobufCMessage *
cb_entry_parse_body (cb_entry_t *entry, cb_http_req_t *req,
                     const ProtobufCMessageDescriptor *type)
{
  ProtobufCMessage *message = NULL;
  cb_errors_t errors;
  size_t len;
  const char *body = cb_http_body (req, &len);
  char *text;
  int err;

  cb_errors_init (&errors);
  err = cb_json_read (type, body, len, &errors, &message);
  if (err < 0)
    {
      text = cb_errors_text (&errors);
      cb_entry_refuse (entry, req, CB__REASON__BAD_REQUEST, CB__RAN__RAN_NO, text);
      g_free (text);
      message = NULL;
    }
  cb_errors_clear (&errors);
  return message;
}

static gboolean
matches (const cb_http_req_t *req, const char *method, const char *path)
{
  return strcmp (cb_http_method (req), method) == 0 &&
         strcmp (cb_http_path (req), path) == 0;
}

/* Returns the part of the path after PREFIX, NULL when that is empty or the method or
   prefix differ. */
static const char *
path_after_prefix (const cb_http_req_t *req, const char *method, const char *prefix)
{
  const char *path = cb_http_path (req);

  if (strcmp (cb_http_method (req), method) != 0 || !g_str_has_prefix (path, prefix) ||
      path[strlen (prefix)] == '\0')
    return NULL;
  return path + strlen (prefix);
}

/* Handles calls with a KEY in the path. Returns FALSE when REQ is none of them. */
static gboolean
dispatch_keyed (cb_entry_t *entry, cb_http_req_t *req)
{
  const char *key;

  if ((key = path_after_prefix (req, "GET", "/v1/requests/")) != NULL)
    cb_entry_get_request (entry, req, key);
  else if ((key = path_after_prefix (req, "DELETE", "/v1/requests/")) != NULL)
    cb_entry_delete_request (entry, req, key);
  else if ((key = path_after_prefix (req, "GET", "/v1/jobs/")) != NULL)
    cb_entry_get_job (entry, req, key);
  else if ((key = path_after_prefix (req, "DELETE", "/v1/jobs/")) != NULL)
    cb_entry_delete_job (entry, req, key);
  return key != NULL;
}

static void
dispatch (cb_entry_t *entry, cb_http_req_t *req)
{
  if (matches (req, "POST", "/v1/requests"))
    cb_entry_post_request (entry, req);
  else if (matches (req, "POST", "/v1/jobs"))
    cb_entry_post_job (entry, req);
  else if (matches (req, "GET", "/v1/jobs"))
    cb_entry_list_jobs (entry, req);
  else if (matches (req, "POST", "/v1/config"))
    cb_entry_post_config (entry, req);
  else if (matches (req, "GET", "/v1/config"))
    cb_entry_get_config (entry, req);
  else if (matches (req, "GET", "/v1/status"))
    cb_entry_get_status (entry, req);
  else if (matches (req, "GET", "/metrics"))
    cb_entry_get_metrics (entry, req);
  else if (matches (req, "POST", "/v1/drain"))
    cb_entry_post_drain (entry, req, TRUE);
  else if (matches (req, "POST", "/v1/undrain"))
    cb_entry_post_drain (entry, req, FALSE);
  else if (!dispatch_keyed (entry, req))
    cb_entry_refuse (entry, req, CB__REASON__NOT_FOUND, CB__RAN__RAN_NO,
                     "unknown method or path");
}

/* Handler of the HTTP server. */
void
cb_entry_on_http (void *ctx, cb_http_req_t *req)
{
  cb_entry_t *entry = ctx;

  cb_counters_add (entry->counters, "http_requests_total", NULL, 1);
  dispatch (entry, req);
  cb_entry_flush (entry);
}
