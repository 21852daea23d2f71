/* How late the scheduler's records reach an entry. Answers the load of a slow log on a
   fleet with many entries: the log processes one append at a time, and when each entry
   appends its callers' submissions itself, appends queue up, the scheduler's among
   them. While its records are late, entries pass submissions on to the scheduler, which
   appends all of them together. */
#include "batch/fns.h"

/* The log is slow when records arrive this much later than the fastest ones. Reads of
   an entry that only follows pause for up to 200 ms. */
#define SLOW_MS 500
/* The fastest record of the last one to two windows counts, as clocks differ between
   instances and may be set. */
#define WINDOW_MS 30000
/* Older observations say nothing about the present. The scheduler appends a record at
   least every 250 ms. */
#define STALE_MS 2000

/* Notes at NOW_MS, or WALL_MS on the wall clock, that a record of the scheduler
   arrived, which it wrote at WRITTEN_WALL_MS on its own wall clock. */
void
cb_lag_note (cb_lag_t *lag, cb_msec_t written_wall_ms, cb_msec_t wall_ms,
             cb_msec_t now_ms)
{
  cb_msec_t late_ms = wall_ms - written_wall_ms;

  if (lag->noted_ms == 0)
    {
      lag->window_ms = now_ms;
      lag->least_ms = late_ms;
      lag->earlier_least_ms = late_ms;
    }
  else if (now_ms - lag->window_ms >= WINDOW_MS)
    {
      lag->window_ms = now_ms;
      lag->earlier_least_ms = lag->least_ms;
      lag->least_ms = late_ms;
    }
  lag->least_ms = MIN (lag->least_ms, late_ms);
  lag->latest_ms = late_ms;
  lag->noted_ms = now_ms;
}

/* Returns by how much later than the fastest records the latest record of the scheduler
   arrived, in ms; 0 when that was too long ago to tell of the present. */
cb_msec_t
cb_lag_late_ms (const cb_lag_t *lag, cb_msec_t now_ms)
{
  return lag->noted_ms > 0 && now_ms - lag->noted_ms < STALE_MS
             ? lag->latest_ms - MIN (lag->least_ms, lag->earlier_least_ms)
             : 0;
}

/* TRUE when the scheduler's records arrive late at NOW_MS. */
gboolean
cb_lag_is_slow (const cb_lag_t *lag, cb_msec_t now_ms)
{
  return cb_lag_late_ms (lag, now_ms) >= SLOW_MS;
}
