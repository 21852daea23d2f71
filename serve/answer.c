#include "serve/local.h"

/* Returns an answer without a body. Freed with cb_msg_free. */
Cb__Answer *
cb_serve_answer_new (const char *account, const char *key, Cb__Ran ran,
                     Cb__Reason reason)
{
  Cb__Answer *answer = cb_msg_new (&cb__answer__descriptor);

  cb_msg_set_string (&answer->account, account);
  cb_msg_set_string (&answer->key, key);
  answer->ran = ran;
  answer->reason = reason;
  return answer;
}

/* Sends a copy of ANSWER to TO, with the claim and attempt of the request of TO. */
void
cb_serve_send_answer (cb_serve_t *serve, const cb_serve_waiter_t *to,
                      const Cb__Answer *answer)
{
  Cb__Envelope *envelope =
      cb_outq_send (&serve->out, to->entry, CB__ENVELOPE__BODY_ANSWER);

  cb_msg_free (envelope->answer);
  envelope->answer = (Cb__Answer *)cb_msg_copy (&answer->base);
  envelope->answer->claim = to->claim;
  envelope->answer->attempt = to->attempt;
}

/* Refuses REQUEST, which the entry TO sent, with REASON. */
void
cb_serve_refuse (cb_serve_t *serve, const char *to, const Cb__Request *request,
                 Cb__Ran ran, Cb__Reason reason)
{
  Cb__Answer *answer =
      cb_serve_answer_new (request->account, request->key, ran, reason);
  cb_serve_waiter_t waiter = { (char *)to, request->claim, request->attempt };
  char *label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (reason));

  cb_serve_send_answer (serve, &waiter, answer);
  cb_outq_count (&serve->out, "serve_refused", label);
  g_free (label);
  cb_msg_free (answer);
}

/* Ends a running key: sends ANSWER, which KEY then owns, to all waiting entries. With
   RETAIN later requests for the key get the same answer; otherwise KEY is freed, and
   the key may run again. */
void
cb_serve_finish_key (cb_serve_t *serve, cb_serve_key_t *key, Cb__Answer *answer,
                     gboolean retain, cb_msec_t now_ms)
{
  g_hash_table_remove (serve->running, &key->tag);
  key->running = FALSE;
  key->answer = answer;
  answer->claim = key->claim;
  for (guint i = 0; i < key->waiters->len; i++)
    cb_serve_send_answer (serve, key->waiters->pdata[i], answer);
  if (retain)
    cb_serve_retain_key (serve, key, now_ms);
  else
    cb_serve_remove_key (serve, key);
}
