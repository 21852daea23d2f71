#include "cmd/batch.h"

/* Pause after a question that was not answered. */
#define RETRY_MS 200

typedef struct
{
  cb_batch_entry_t *entry;
  cb_batch_advice_request_t *question;
  cb_msec_t asked_ms;
} call_t;

static void
on_answer (void *ctx, int err, const cb_batch_permit_t *allowed, size_t count)
{
  call_t *call = ctx;
  cb_batch_entry_t *entry = call->entry;
  const cb_batch_advice_request_t *question = call->question;
  cb_msec_t took_ms = cb_batch_now () - call->asked_ms;

  entry->asking = FALSE;
  cb_counters_add (entry->counters, "advice_calls_total",
                   err < 0 ? "result=\"failed\"" : "result=\"answered\"", 1);
  cb_counters_observe (entry->counters, "advice_duration_ms", NULL, took_ms);
  if (err < 0)
    {
      entry->ask_after_ms = cb_batch_now () + RETRY_MS;
      cb_event (CB_LOG_WARN, "entry", "advice_failed",
                "job=%s step=%u.%u asked=%u err=%d took_ms=%" PRId64, question->job,
                question->occurrence, question->step, question->candidates->len, err,
                took_ms);
    }
  else
    {
      cb_event (CB_LOG_INFO, "entry", "advice",
                "job=%s step=%u.%u asked=%u allowed=%zu took_ms=%" PRId64,
                question->job, question->occurrence, question->step,
                question->candidates->len, count, took_ms);
      cb_batch_apply_advice (entry->batch, question, allowed, count, call->asked_ms);
    }
  cb_batch_advice_request_free (call->question);
  g_free (call);
  if (err == CB_OK)
    cb_batch_pump (entry);
}

/* Asks the advisor what the scheduler wants to know; it answers one question at a time.
 */
void
cb_batch_advice_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_batch_advice_request_t *question;
  call_t *call;

  if (entry->asking || now_ms < entry->ask_after_ms)
    return;
  question = cb_batch_pop_advice_request (entry->batch);
  if (question == NULL)
    return;
  if (entry->settings->advisor_address[0] == '\0')
    {
      entry->ask_after_ms = now_ms + RETRY_MS;
      cb_event (CB_LOG_ERROR, "entry", "advice_failed",
                "job=%s step=%u.%u reason=no_advisor_address", question->job,
                question->occurrence, question->step);
      cb_batch_advice_request_free (question);
      return;
    }
  call = g_new0 (call_t, 1);
  call->entry = entry;
  call->question = question;
  call->asked_ms = now_ms;
  entry->asking = TRUE;
  cb_advisor_request (entry->loop, entry->settings->advisor_address, question,
                      on_answer, call);
}
