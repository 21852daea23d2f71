/* Workers that are slow for a while after their start. Answers zones that are taken
   back with workers that have just started: urgent work goes to warm workers as long as
   one has room, so that its objective does not depend on a cold one. */
#include "batch/local.h"

/* Added to the score of a cold worker for urgent work: more than the rest of the score
   and the penalty for interference together, less than those for workers that may be
   lost, are away from the data or are not trusted. */
#define COLD_PENALTY 200

/* TRUE when W is still slow at NOW_MS after its start. */
gboolean
is_cold (const worker_t *w, cb_msec_t now_ms)
{
  return now_ms < w->cold_until_ms;
}

static gboolean
is_urgent (const task_t *task)
{
  return task->job->spec->priority == 0;
}

/* Returns what the score of a worker for TASK is raised by because it is cold. */
double
cold_penalty (const capacity_t *capacity, const task_t *task)
{
  return capacity->cold && is_urgent (task) ? COLD_PENALTY : 0;
}

/* TRUE when COUNT tasks like TASK would better run elsewhere than on CHOSEN, as they
   are urgent and one of these workers is cold. */
gboolean
avoids_cold (const task_t *task, capacity_t **chosen, uint32_t count)
{
  for (uint32_t i = 0; is_urgent (task) && i < count; i++)
    if (chosen[i]->cold)
      return TRUE;
  return FALSE;
}
