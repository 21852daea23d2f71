#include "batch/local.h"

#include <string.h>

/* Checks what does not depend on the load: 0 or CB_BATCH_INVALID. */
static int
check_steps (const Cb__BatchJob *job)
{
  uint64_t tasks = 0;

  if (job->n_steps == 0)
    return CB_BATCH_INVALID;
  for (size_t i = 0; i < job->n_steps; i++)
    {
      const Cb__BatchStep *step = job->steps[i];

      tasks += (uint64_t)step->count * MAX (1, job->times);
      if (step->count == 0 || tasks > CB_BATCH_TASKS_MAX)
        return CB_BATCH_INVALID;
      for (size_t k = 0; k < step->n_after; k++)
        if (step->after[k] >= i)
          return CB_BATCH_INVALID;
    }
  return CB_OK;
}

/* Decides whether a new job is accepted: 0, or why it is refused at once.
   RETRY_AFTER_MS is when a place may be free; 0: never. */
int
cb_batch_admit (const cb_batch_t *b, const Cb__BatchJob *job, cb_msec_t now_ms,
                cb_msec_t *retry_after_ms)
{
  (void)b;
  (void)now_ms;
  *retry_after_ms = 0;
  return check_steps (job);
}
