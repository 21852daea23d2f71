/* Keeps the kinds of work apart that slow each other down: a term in the choice among
   the workers that have room. It never makes a task wait, and is 0 while no such kinds
   are known. */
#include "batch/interference.h"

#include <math.h>

/* Penalty for a worker with tasks that the task slows down or is slowed down by, up to
   twice as much by the ratio. It is larger than the differences in free accelerators
   and cores on workers of up to 31 accelerators, and less than every other penalty. */
#define APART_PENALTY 32

/* Returns the pairs for a placement pass; NULL when there are none to be kept apart. */
const interference_t *
interference_to_avoid (const cb_batch_t *b)
{
  const interference_t *state = b->interference;

  return state->n_found == 0 || state->ignored ? NULL : state;
}

/* Lets placement ignore which kinds of work slow each other down, or use it again. */
void
cb_batch_ignore_interference (cb_batch_t *b, gboolean ignored)
{
  b->interference->ignored = ignored;
}

/* Returns the number of ordered pairs of kinds of which one slows the other down. */
uint32_t
cb_batch_interfering_pairs (const cb_batch_t *b)
{
  return b->interference->n_found;
}

/* Returns the set of the kinds of the tasks on W, also of those that are proposed to
   start. */
static uint32_t
worker_kinds (const interference_t *state, worker_t *w)
{
  if (w->kinds_known)
    return w->kinds;
  w->kinds = 0;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      const char *name = kind_name (task_spec (task), task->job->spec->queue);

      w->kinds |= 1U << kind_find (state, name);
    }
  w->kinds_known = TRUE;
  return w->kinds;
}

/* Returns the estimate of the logarithm of the ratio; 0 when the pair is not found. */
static double
found_ratio (const interference_t *state, uint32_t kind, uint32_t neighbor)
{
  const pair_t *pair = &state->pairs[kind][neighbor];

  return pair->found ? (pair->means[NEIGHBOR_CAME] + pair->means[NEIGHBOR_LEFT]) / 2
                     : 0;
}

/* Returns the place of the kind of TASK for interference_penalty. CAPACITIES are of one
   pass. */
uint32_t
interference_kind (const GPtrArray *capacities, const task_t *task)
{
  const interference_t *state =
      capacities->len == 0 ? NULL
                           : ((const capacity_t *)capacities->pdata[0])->interference;

  if (state == NULL)
    return KIND_OTHER;
  return kind_find (state, kind_name (task_spec (task), task->job->spec->queue));
}

/* Returns the penalty for a task of KIND on the worker of CAPACITY; 0 when nothing is
   known of the kinds of its tasks. */
double
interference_penalty (const capacity_t *capacity, uint32_t kind)
{
  const interference_t *state = capacity->interference;
  double worst = 0;
  uint32_t kinds;

  if (state == NULL || state->apart[kind] == 0)
    return 0;
  kinds = state->apart[kind] & worker_kinds (state, capacity->worker);
  for (uint32_t k = 0; kinds != 0; k++, kinds >>= 1)
    if ((kinds & 1) != 0)
      worst =
          MAX (worst, MAX (found_ratio (state, kind, k), found_ratio (state, k, kind)));
  return worst > 0 ? APART_PENALTY * MIN (2, exp (worst)) : 0;
}
