/* Outages of the log, as one process sees them: whether the log is lost, and when a
   caller whose request was refused for that should come back. Answers the load of a
   burst during an outage: callers who wait for a log that is lost use up their time for
   nothing, and callers who come back too soon use up their attempts. */
#include "batch/fns.h"

/* The log is lost after this many failed calls in a row, */
#define LOST_FAILURES 2
/* or when it has answered nothing for this long after a failed one, which is repeated
   after 150 ms at the latest. */
#define LOST_SILENCE_MS 450
/* Bounds on Retry-After, to which up to RETRY_SPREAD_MS are added by a hash of the
   request, so that callers do not all come back at once. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 4000
#define RETRY_SPREAD_MS 1000
/* While nothing is known of earlier outages, an outage of age T is expected to last
   T / REMAINING_DIVISOR longer. */
#define REMAINING_DIVISOR 2
/* Weight of the latest outage in the moving average of their durations. */
#define DURATION_WEIGHT 0.5

/* Notes that the log answered a call at NOW_MS. */
void
cb_outage_note_answer (cb_outage_t *outage, cb_msec_t now_ms)
{
  if (cb_outage_is_lost (outage, now_ms))
    {
      double duration_ms = (double)(now_ms - outage->answered_ms);

      outage->typical_ms += outage->typical_ms == 0
                                ? duration_ms
                                : DURATION_WEIGHT * (duration_ms - outage->typical_ms);
    }
  outage->answered_ms = now_ms;
  outage->failures = 0;
}

/* Notes that a call to the log failed at NOW_MS. */
void
cb_outage_note_failure (cb_outage_t *outage, cb_msec_t now_ms)
{
  if (outage->failures++ == 0)
    outage->failed_ms = now_ms;
}

/* TRUE when the log is known to be lost at NOW_MS. */
gboolean
cb_outage_is_lost (const cb_outage_t *outage, cb_msec_t now_ms)
{
  return outage->failures >= LOST_FAILURES ||
         (outage->failures > 0 && now_ms - outage->failed_ms >= LOST_SILENCE_MS);
}

/* Returns the time in ms after which the caller of request KEY should come back, by how
   long the outage has lasted and how long earlier ones did. */
cb_msec_t
cb_outage_retry_after_ms (const cb_outage_t *outage, const char *key, cb_msec_t now_ms)
{
  cb_msec_t age_ms = now_ms - outage->answered_ms;
  cb_msec_t remaining_ms = (cb_msec_t)outage->typical_ms - age_ms;

  if (remaining_ms <= 0)
    remaining_ms = age_ms / REMAINING_DIVISOR;
  return CLAMP (remaining_ms, RETRY_MIN_MS, RETRY_MAX_MS) +
         g_str_hash (key) % RETRY_SPREAD_MS;
}
