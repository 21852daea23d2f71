/* Prediction of run times from those of earlier jobs. */
#include "sched/local.h"

#include <string.h>

/* Observed run times that are kept for each account and kind. */
#define RUNS_KEPT 16
/* Expected run time without an observation or declaration. */
#define DEFAULT_RUN_MS (INT64_C (60) * 60 * 1000)
/* Longer run times count as this, 250 days, so that sums of times can't overflow. */
#define RUN_MAX_MS (UINT64_C (21600000000))

typedef struct
{
  uint64_t run_ms[RUNS_KEPT];
  uint32_t count;
} observed_runs_t;

static int
compare_u64 (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the key in predictions for the account and kind of JOB; freed with g_free. */
static char *
series_name (const Cb__Job *job)
{
  return g_strconcat (job->account, "\n", job->kind, NULL);
}

/* Returns the expected run time in ms: the median of the last observations for the
   account and kind. The median ignores single outliers. The declared time counts only
   while nothing has been observed, as it is often wrong by a factor of 10. */
cb_msec_t
predict_run_ms (const cb_sched_t *s, const Cb__Job *job)
{
  char *name = series_name (job);
  const observed_runs_t *runs = g_hash_table_lookup (s->predictions, name);
  uint64_t sorted[RUNS_KEPT];
  uint32_t n;

  g_free (name);
  if (runs == NULL)
    return job->run_ms == 0 ? DEFAULT_RUN_MS : (cb_msec_t)MIN (job->run_ms, RUN_MAX_MS);
  n = MIN (runs->count, RUNS_KEPT);
  memcpy (sorted, runs->run_ms, sizeof sorted);
  qsort (sorted, n, sizeof sorted[0], compare_u64);
  return (cb_msec_t)MIN (sorted[n / 2], RUN_MAX_MS);
}

/* Records that a job of this account and kind was done after RUN_MS. */
void
predict_observe (cb_sched_t *s, const Cb__Job *job, uint64_t run_ms)
{
  char *name = series_name (job);
  observed_runs_t *runs = g_hash_table_lookup (s->predictions, name);

  if (runs == NULL)
    {
      runs = g_new0 (observed_runs_t, 1);
      g_hash_table_insert (s->predictions, g_strdup (name), runs);
    }
  g_free (name);
  runs->run_ms[runs->count++ % RUNS_KEPT] = run_ms;
}
