/* Calls from the scheduler to the advisor, which decides which candidate workers may
   run a step. */
#include "cmd/batch.h"

/* Pause after a call that failed, or that could not be made for lack of an address. */
#define RETRY_MS 200

typedef struct
{
  cb_batch_entry_t *entry;
  cb_batch_advice_request_t *request;
  cb_msec_t sent_ms;
} call_t;

static void
on_answer (void *ctx, int err, const cb_batch_advice_t *advice)
{
  call_t *call = ctx;
  cb_batch_entry_t *entry = call->entry;
  const cb_batch_advice_request_t *request = call->request;
  cb_msec_t now_ms = cb_batch_now_ms ();
  cb_msec_t took_ms = now_ms - call->sent_ms;

  /* In the log lines, asked= is the number of candidate workers, allowed= the number of
     permits in the reply, and usable_ms= the time for which starts may use them. */
  entry->advice_pending = FALSE;
  cb_counters_add (entry->counters, "advice_calls_total",
                   err < 0 ? "result=\"failed\"" : "result=\"answered\"", 1);
  cb_counters_observe (entry->counters, "advice_duration_ms", NULL, took_ms);
  if (err < 0)
    {
      entry->advice_not_before_ms = now_ms + RETRY_MS;
      cb_event (CB_LOG_WARN, "entry", "advice_failed",
                "job=%s step=%u.%u asked=%u err=%d took_ms=%" PRId64, request->job,
                request->occurrence, request->step, request->candidates->len, err,
                took_ms);
    }
  else
    {
      cb_msec_t usable_ms =
          cb_batch_apply_advice (entry->batch, request, advice, call->sent_ms, now_ms);

      cb_event (CB_LOG_INFO, "entry", "advice",
                "job=%s step=%u.%u asked=%u allowed=%zu took_ms=%" PRId64
                " usable_ms=%" PRId64,
                request->job, request->occurrence, request->step,
                request->candidates->len, advice->count, took_ms, usable_ms);
    }
  cb_batch_advice_request_free (call->request);
  g_free (call);
  if (err == CB_OK)
    cb_batch_process_due (entry);
}

/* Sends the next advice request to the advisor, unless a call is under way, as the
   advisor handles one request at a time, or the pause after a failure is not over.
   Without an address of the advisor the request is logged and dropped. */
void
cb_batch_advice_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_batch_advice_request_t *request;
  call_t *call;

  if (entry->advice_pending || now_ms < entry->advice_not_before_ms)
    return;
  request = cb_batch_pop_advice_request (entry->batch);
  if (request == NULL)
    return;
  if (entry->settings->advisor_address[0] == '\0')
    {
      entry->advice_not_before_ms = now_ms + RETRY_MS;
      cb_event (CB_LOG_ERROR, "entry", "advice_failed",
                "job=%s step=%u.%u reason=no_advisor_address", request->job,
                request->occurrence, request->step);
      cb_batch_advice_request_free (request);
      return;
    }
  call = g_new0 (call_t, 1);
  call->entry = entry;
  call->request = request;
  call->sent_ms = now_ms;
  entry->advice_pending = TRUE;
  cb_advisor_request (entry->loop, entry->settings->advisor_address, request, on_answer,
                      call);
}
