/* What a placement pass has found impossible, so that the same is not tried again for
   the other steps of the pass. Free capacity only shrinks during a pass: where a task
   found no worker, an equal or larger one finds none either, among the same workers. */
#include "batch/local.h"

#include <string.h>

/* Largest number of misses that are kept of each kind. */
#define MISSES_MAX 32

/* COUNT tasks of a step that found no capacity. */
typedef struct
{
  const Cb__BatchStep *step;
  const Cb__BatchJob *job;
  uint32_t count;
  scope_t scope;       /* where the search looked */
  double slowness_min; /* of the workers that it looked at */
  double slowness_max;
  reach_t reach; /* of a search for free capacity */
  /* Of a search for free capacity beside reserved room, which shorter tasks may use:
     the expected run time. 0: no room was reserved. */
  cb_msec_t task_ms;
  claim_t claim; /* of a search for work to preempt, as the next two */
  gboolean preempt_equals;
  gboolean too_costly; /* preemption was possible, but destroyed too much work */
} miss_t;

static gboolean
same_size (const Cb__BatchStep *a, const Cb__BatchStep *b)
{
  return a->fills == b->fills && a->cpu_milli == b->cpu_milli &&
         a->memory_mb == b->memory_mb && a->accelerators == b->accelerators;
}

/* TRUE when a task of STEP needs at least what one of MISSED needs. */
static gboolean
needs_as_much (const Cb__BatchStep *step, const Cb__BatchStep *missed)
{
  if (step->fills && !missed->fills)
    return FALSE;
  return (missed->fills || step->cpu_milli >= missed->cpu_milli) &&
         step->memory_mb >= missed->memory_mb &&
         step->accelerators >= missed->accelerators;
}

/* TRUE when MISS rules out COUNT tasks like TASK in SCOPE, by what they need. What one
   rack does not hold, several may, and so may workers of other speeds. */
static gboolean
rules_out (const pass_t *pass, const miss_t *miss, const task_t *task, uint32_t count,
           scope_t scope)
{
  const Cb__BatchStep *step = task_spec (task);
  const Cb__BatchStep *missed = miss->step;

  if (strcmp (miss->job->service, task->job->spec->service) != 0 ||
      (missed->label[0] != '\0' && strcmp (missed->label, step->label) != 0) ||
      (missed->gang && !step->gang) || miss->slowness_min > pass->slowness_min ||
      miss->slowness_max < pass->slowness_max)
    return FALSE;
  return (miss->scope == SCOPE_FLEET || scope == SCOPE_RACK) && count >= miss->count &&
         needs_as_much (step, missed);
}

/* TRUE when a search for COUNT TASKS says something about others: it was not limited by
   what holds for these tasks alone. */
static gboolean
is_general (task_t **tasks, uint32_t count)
{
  if (task_step (tasks[0])->advised || task_spec (tasks[0])->per_worker_max > 0)
    return FALSE;
  for (uint32_t i = 0; i < count; i++)
    if (tasks[i]->failures > 0 || tasks[i]->avoided != NULL)
      return FALSE;
  return TRUE;
}

static void
add_miss (GArray **misses, const miss_t *miss)
{
  if (*misses == NULL)
    *misses = g_array_new (FALSE, FALSE, sizeof (miss_t));
  if ((*misses)->len < MISSES_MAX)
    g_array_append_vals (*misses, miss, 1);
}

/* Returns the expected run time of TASK, the longest one for a daemon task. */
static cb_msec_t
task_ms (const pass_t *pass, const task_t *task)
{
  return task_spec (task)->daemon
             ? G_MAXINT64
             : cautious_task_ms (pass->b, task->job->spec, task->step);
}

/* Notes that COUNT TASKS of a step found no free capacity within REACH and SCOPE. */
void
note_fit_miss (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
               scope_t scope)
{
  const miss_t miss = { .step = task_spec (tasks[0]),
                        .job = tasks[0]->job->spec,
                        .count = count,
                        .scope = scope,
                        .slowness_min = pass->slowness_min,
                        .slowness_max = pass->slowness_max,
                        .reach = reach,
                        .task_ms = pass->room_awaited && reach < REACH_AWAITED
                                       ? task_ms (pass, tasks[0])
                                       : 0 };

  if (is_general (tasks, count))
    add_miss (&pass->fit_misses, &miss);
}

/* TRUE when an earlier search of the pass shows that COUNT TASKS of a step find no free
   capacity within REACH and SCOPE. */
gboolean
is_fit_missed (const pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
               scope_t scope)
{
  for (guint i = 0; pass->fit_misses != NULL && i < pass->fit_misses->len; i++)
    {
      const miss_t *miss = &g_array_index (pass->fit_misses, miss_t, i);

      if (miss->reach >= reach &&
          (miss->reach > REACH_SHARED ||
           tasks[0]->job->spec->priority >= miss->job->priority) &&
          (miss->task_ms == 0 || task_ms (pass, tasks[0]) >= miss->task_ms) &&
          rules_out (pass, miss, tasks[0], count, scope))
        return TRUE;
    }
  return FALSE;
}

/* Notes that no preemption makes room in SCOPE for COUNT TASKS of a step, or that it
   would be too costly: RESULT. */
void
note_plan_miss (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
                const claim_t *claim, plan_result_t result)
{
  const miss_t miss = { .step = task_spec (tasks[0]),
                        .job = tasks[0]->job->spec,
                        .count = count,
                        .scope = scope,
                        .slowness_min = pass->slowness_min,
                        .slowness_max = pass->slowness_max,
                        .claim = *claim,
                        .preempt_equals =
                            preempts_equals (pass, tasks[0]->job, claim->guaranteed),
                        .too_costly = result == PLAN_TOO_COSTLY };

  if (is_general (tasks, count))
    add_miss (&pass->plan_misses, &miss);
}

/* Returns what an earlier search of the pass shows for COUNT TASKS of a step in SCOPE:
   PLAN_IMPOSSIBLE, PLAN_TOO_COSTLY, or PLAN_NOT_TRIED when it shows nothing. */
plan_result_t
missed_plan (const pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
             const claim_t *claim)
{
  const Cb__BatchJob *job = tasks[0]->job->spec;

  for (guint i = 0; pass->plan_misses != NULL && i < pass->plan_misses->len; i++)
    {
      const miss_t *miss = &g_array_index (pass->plan_misses, miss_t, i);

      if (job->priority < miss->job->priority ||
          claim->guaranteed != miss->claim.guaranteed ||
          (miss->claim.spares_in_time && !claim->spares_in_time) ||
          preempts_equals (pass, tasks[0]->job, claim->guaranteed) !=
              miss->preempt_equals ||
          !rules_out (pass, miss, tasks[0], count, scope))
        continue;
      if (!miss->too_costly)
        return PLAN_IMPOSSIBLE;
      /* The work that a plan makes possible depends on the queue's run times. */
      if (strcmp (job->queue, miss->job->queue) == 0 && count == miss->count &&
          same_size (task_spec (tasks[0]), miss->step))
        return PLAN_TOO_COSTLY;
    }
  return PLAN_NOT_TRIED;
}
