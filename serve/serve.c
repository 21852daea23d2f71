#include "serve/local.h"

#include <string.h>

cb_serve_t *
cb_serve_new (const char *instance)
{
  cb_serve_t *serve = g_new0 (cb_serve_t, 1);

  serve->instance = g_strdup (instance);
  serve->keys = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)cb_serve_key_free);
  serve->running = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&serve->retained);
  serve->fences =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cb_serve_fence_free);
  g_queue_init (&serve->fence_order);
  cb_outq_init (&serve->out);
  return serve;
}

void
cb_serve_free (cb_serve_t *serve)
{
  cb_outq_clear (&serve->out);
  g_queue_clear (&serve->retained);
  g_queue_clear (&serve->fence_order);
  g_hash_table_unref (serve->fences);
  g_hash_table_unref (serve->running);
  g_hash_table_unref (serve->keys);
  cb_msg_free (serve->info);
  g_free (serve->instance);
  g_free (serve);
}

cb_outq_t *
cb_serve_outputs (cb_serve_t *serve)
{
  return &serve->out;
}

uint32_t
cb_serve_running_count (const cb_serve_t *serve)
{
  return g_hash_table_size (serve->running);
}

static cb_serve_waiter_t *
find_waiter (const cb_serve_key_t *key, const char *from)
{
  for (guint i = 0; i < key->waiters->len; i++)
    {
      cb_serve_waiter_t *waiter = key->waiters->pdata[i];

      if (strcmp (waiter->entry, from) == 0)
        return waiter;
    }
  return NULL;
}

/* Adds the entry FROM to the waiters of KEY. An entry that already waits gets one
   answer, to its latest attempt. */
static void
add_waiter (cb_serve_key_t *key, const char *from, const Cb__Request *request)
{
  cb_serve_waiter_t *waiter = find_waiter (key, from);

  if (waiter == NULL)
    {
      waiter = g_new0 (cb_serve_waiter_t, 1);
      waiter->entry = g_strdup (from);
      g_ptr_array_add (key->waiters, waiter);
    }
  waiter->claim = request->claim;
  waiter->attempt = request->attempt;
}

static void
write_event (cb_serve_t *serve, const char *event, const cb_serve_key_t *key,
             const char *more_fields)
{
  char *account = cb_json_quote (key->account);
  char *name = cb_json_quote (key->key);
  char *instance = cb_json_quote (serve->instance);

  cb_outq_event (&serve->out, event, "\"account\":%s,\"key\":%s,\"instance\":%s%s",
                 account, name, instance, more_fields);
  g_free (account);
  g_free (name);
  g_free (instance);
}

/* Handles a request whose key is running or retained: the entry FROM waits for the
   result of the run or gets the retained answer. */
static void
receive_known_key (cb_serve_t *serve, cb_serve_key_t *key, const char *from,
                   const Cb__Request *request)
{
  cb_serve_waiter_t waiter = { (char *)from, request->claim, request->attempt };

  if (strcmp (key->kind, request->kind) != 0 ||
      key->body_hash != cb_serve_hash (request->body.data, request->body.len))
    cb_serve_refuse (serve, from, request, CB__RAN__RAN_NO, CB__REASON__KEY_CONFLICT);
  else if (key->running)
    add_waiter (key, from, request);
  else
    cb_serve_send_answer (serve, &waiter, key->answer);
}

/* TRUE for a retry of a repeatable request whose earlier attempt failed, or whose
   answer has been discarded. */
static gboolean
may_run_again (const cb_serve_key_t *key, const Cb__Request *request)
{
  return !key->running && !key->not_repeatable &&
         (key->answer->reason == CB__REASON__ENDPOINT_FAILED ||
          key->answer->reason == CB__REASON__OUTCOME_UNKNOWN) &&
         strcmp (key->kind, request->kind) == 0 &&
         key->body_hash == cb_serve_hash (request->body.data, request->body.len);
}

/* Adds the key of REQUEST in place of OLD, the retained key of an earlier attempt,
   which may be NULL. */
static cb_serve_key_t *
replace_key (cb_serve_t *serve, cb_serve_key_t *old, const Cb__Request *request)
{
  gboolean ran_before = FALSE;
  cb_serve_key_t *key;

  if (old != NULL)
    {
      ran_before = old->ran_before || old->answer->ran != CB__RAN__RAN_NO;
      cb_serve_remove_retained_key (serve, old);
    }
  key = cb_serve_add_key (serve, request);
  key->ran_before = ran_before;
  return key;
}

static void
receive_request (cb_serve_t *serve, const char *from, const Cb__Request *request,
                 cb_msec_t now_ms)
{
  cb_serve_key_t *key = cb_serve_find_key (serve, request->account, request->key);
  Cb__Reason reason;

  if (key != NULL && !may_run_again (key, request))
    {
      receive_known_key (serve, key, from, request);
      return;
    }
  if (request->key[0] == '\0')
    reason = CB__REASON__BAD_REQUEST;
  else if (cb_serve_is_fenced (serve, request))
    reason = CB__REASON__CANCELED;
  else
    reason = cb_serve_unavailable_reason (serve, request->kind, now_ms);
  if (reason != CB__REASON__REASON_NONE)
    {
      cb_serve_refuse (serve, from, request, CB__RAN__RAN_NO, reason);
      return;
    }
  key = replace_key (serve, key, request);
  add_waiter (key, from, request);
  write_event (serve, "req_run", key, "");
  cb_outq_call (&serve->out, "run", key->tag, cb_msg_copy (&request->base));
}

/* Removes the action "run" with TAG from the outputs. Returns FALSE when the caller has
   already taken it. */
static gboolean
remove_queued_run (cb_serve_t *serve, uint64_t tag)
{
  for (GList *link = serve->out.items.head; link != NULL; link = link->next)
    {
      cb_out_t *out = link->data;

      if (out->kind != CB_OUT_CALL || out->tag != tag)
        continue;
      cb_out_free (out);
      g_queue_delete_link (&serve->out.items, link);
      return TRUE;
    }
  return FALSE;
}

/* Cancels a request whose action "run" is still queued; a request that was sent to the
   endpoint is completed. A cancellation of an unknown key gets no reply: its request
   may have run before this process started, or may arrive after the cancellation. */
static void
receive_cancel (cb_serve_t *serve, const Cb__RequestCancel *cancel, cb_msec_t now_ms)
{
  cb_serve_key_t *key = cb_serve_find_key (serve, cancel->account, cancel->key);

  if (key == NULL || !key->running || key->ran_before ||
      !remove_queued_run (serve, key->tag))
    return;
  cb_serve_finish_key (serve, key,
                       cb_serve_answer_new (key->account, key->key, CB__RAN__RAN_NO,
                                            CB__REASON__CANCELED),
                       FALSE, now_ms);
}

/* A lookup of an unknown key gets no reply while there are too many fences; its sender
   repeats it or ends the claim with an unknown outcome. */
static void
receive_lookup (cb_serve_t *serve, const char *from, const Cb__RequestLookup *lookup,
                cb_msec_t now_ms)
{
  const cb_serve_key_t *key = cb_serve_find_key (serve, lookup->account, lookup->key);
  Cb__RequestFound *found;

  if (key == NULL && !cb_serve_add_fence (serve, lookup, now_ms))
    {
      cb_outq_count (&serve->out, "serve_lookups_unanswered", NULL);
      return;
    }
  found =
      cb_outq_send (&serve->out, from, CB__ENVELOPE__BODY_REQUEST_FOUND)->request_found;
  found->id = lookup->id;
  if (key == NULL)
    return;
  found->found = TRUE;
  found->running = key->running;
  if (!key->running)
    found->answer = (Cb__Answer *)cb_msg_copy (&key->answer->base);
}

void
cb_serve_receive (cb_serve_t *serve, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  if (envelope->body_case == CB__ENVELOPE__BODY_REQUEST)
    receive_request (serve, envelope->from, envelope->request, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_REQUEST_CANCEL)
    receive_cancel (serve, envelope->request_cancel, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_REQUEST_LOOKUP)
    receive_lookup (serve, envelope->from, envelope->request_lookup, now_ms);
}

/* Returns the answer for a complete call, and writes the event "req_ran". */
static Cb__Answer *
new_run_answer (cb_serve_t *serve, const cb_serve_key_t *key, uint32_t status,
                const void *body, size_t len)
{
  Cb__Answer *answer = cb_serve_answer_new (key->account, key->key, CB__RAN__RAN_YES,
                                            CB__REASON__REASON_NONE);
  char *more;

  answer->status = status;
  if (len > CB_MAX_ANSWER_BYTES)
    {
      answer->reason = CB__REASON__ANSWER_TOO_LARGE;
      len = 0;
    }
  else if (status >= 500)
    answer->reason = CB__REASON__ENDPOINT_FAILED;
  cb_msg_set_bytes (&answer->body, body, len);
  answer->length = len;
  more = g_strdup_printf (",\"status\":%u,\"hash\":\"%016" G_GINT64_MODIFIER "x\"",
                          status, cb_serve_hash (answer->body.data, len));
  write_event (serve, "req_ran", key, more);
  g_free (more);
  return answer;
}

void
cb_serve_run_done (cb_serve_t *serve, uint64_t tag, cb_call_end_t end, uint32_t status,
                   const void *body, size_t len, cb_msec_t now_ms)
{
  cb_serve_key_t *key = g_hash_table_lookup (serve->running, &tag);
  Cb__Answer *answer;
  gboolean retain;

  if (key == NULL)
    return;
  retain = cb_serve_must_retain (key);
  if (end == CB_CALL_DONE)
    {
      answer = new_run_answer (serve, key, status, body, len);
      /* A retry of a repeatable request may succeed where this one failed. */
      retain = retain || status < 500;
    }
  else if (end == CB_CALL_NOT_SENT && !key->ran_before)
    {
      answer = cb_serve_answer_new (key->account, key->key, CB__RAN__RAN_NO,
                                    CB__REASON__ENDPOINT_FAILED);
      retain = FALSE;
    }
  else
    answer = cb_serve_answer_new (key->account, key->key, CB__RAN__RAN_UNKNOWN,
                                  key->not_repeatable ? CB__REASON__OUTCOME_UNKNOWN
                                                      : CB__REASON__ENDPOINT_FAILED);
  cb_serve_finish_key (serve, key, answer, retain, now_ms);
}
