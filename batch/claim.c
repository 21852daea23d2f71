/* When an entry claims the scheduler's role. Answers the load of a slow store on a
   fleet whose entries restart in turn: the log processes one append at a time, so that
   the records of a living scheduler arrive late, and the claims of all entries delay
   them further. */
#include "batch/fns.h"

/* When the log shows no record of the scheduler for this long, another entry claims the
   role. The scheduler appends a record at least every 250 ms. */
#define SILENCE_MS 1000
/* Calls to the log that take less are covered by the fixed times here. */
#define SLOW_CALL_MS 12
/* While the log is slow, a record of the scheduler takes its append, the appends before
   it and the read that shows it. The extra time is limited, as the scheduler may be
   gone. */
#define RECORD_CALLS 4
#define RECORD_EXTRA_MAX_MS 3000
/* Entries claim one after the other in an order that all of them derive from the log,
   so that usually a single entry claims the role: the claim of an entry is delayed by
   CLAIM_STEP_MS for each entry before it, which suffices for an append and its read.
   While the log is slow, these take CLAIM_CALLS calls. From CLAIM_FIRST_RANKS entries
   before it on, each further one delays the claim by CLAIM_LATE_STEP_MS at least:
   claims of all entries would keep a slow log busy for seconds. */
#define CLAIM_STEP_MS 25
#define CLAIM_CALLS 2
#define CLAIM_FIRST_RANKS 4
#define CLAIM_LATE_STEP_MS 250
#define CLAIM_DELAY_MAX_MS 4000
/* A claim that the log has not shown after this long is appended again. While the store
   is healthy, an append takes at most 1.0 s. */
#define CLAIM_RETRY_MS 1500

/* Returns what N calls to the log take in ms, by CALL_MS, the duration of a recent one;
   0 unless the log is slow. */
static cb_msec_t
slow_calls_ms (uint32_t n, cb_msec_t call_ms)
{
  return call_ms < SLOW_CALL_MS ? 0 : n * call_ms;
}

/* Returns for how long the log shows no record of a scheduler that is taken as gone.
   CALL_MS is the duration of a recent call to the log. */
cb_msec_t
cb_claim_silence_ms (cb_msec_t call_ms)
{
  return SILENCE_MS + MIN (slow_calls_ms (RECORD_CALLS, call_ms), RECORD_EXTRA_MAX_MS);
}

/* Returns by how long an entry delays its claim that RANK entries should claim before.
   CALL_MS is as for cb_claim_silence_ms. */
cb_msec_t
cb_claim_stagger_ms (uint32_t rank, cb_msec_t call_ms)
{
  cb_msec_t slow_ms = slow_calls_ms (CLAIM_CALLS, call_ms);
  uint32_t late = rank - MIN (rank, CLAIM_FIRST_RANKS);

  return MIN ((cb_msec_t)(rank - late) * MAX (CLAIM_STEP_MS, slow_ms) +
                  (cb_msec_t)late * MAX (CLAIM_LATE_STEP_MS, slow_ms),
              CLAIM_DELAY_MAX_MS);
}

/* Returns after how long a claim that the log does not show is appended again. CALL_MS
   is as for cb_claim_silence_ms. */
cb_msec_t
cb_claim_retry_ms (cb_msec_t call_ms)
{
  return CLAIM_RETRY_MS +
         MIN (slow_calls_ms (RECORD_CALLS, call_ms), RECORD_EXTRA_MAX_MS);
}
