/* Free room as an entry knows it: the log shows which workers have which runs, and the
   scheduler's heartbeat how many workers there are and how large. Answers the load of
   few long tasks on an otherwise empty fleet: what can start now must not be refused.
 */
#include "batch/local.h"

#include <math.h>
#include <string.h>

/* The search ends when more steps than this wait before the job: on such a fleet there
   is hardly free room, and each step looks at all workers. */
#define WAITING_STEPS_MAX 300

/* What is free on a worker. */
typedef struct
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
} vacant_t;

/* Which room a search looks at. */
typedef struct
{
  const cb_batch_t *b;
  const Cb__FleetSums *fleet;
  cb_msec_t now_ms;
  double later_ms;       /* the room that is free so long from now */
  uint32_t max_priority; /* less urgent runs take no room */
} vacancy_t;

/* The usual worker. In a mixed fleet, entries cannot tell the sizes apart: the mean
   bounds it. */
static vacant_t
usual_worker (const Cb__FleetSums *fleet)
{
  return (vacant_t){ .cpu_milli = (int64_t)MIN (fleet->worker_cpu_milli,
                                                fleet->cpu_milli / fleet->workers),
                     .memory_mb = fleet->worker_memory_mb,
                     .accelerators =
                         (int64_t)MIN (fleet->worker_accelerators,
                                       fleet->accelerators / fleet->workers) };
}

/* Returns how many tasks of STEP, up to its count, VACANT holds. */
static uint32_t
tasks_held (const vacant_t *vacant, const Cb__BatchStep *step)
{
  int64_t held = step->count;

  if (step->accelerators > 0)
    held = MIN (held, vacant->accelerators / step->accelerators);
  if (step->cpu_milli > 0 && !step->fills)
    held = MIN (held, vacant->cpu_milli / step->cpu_milli);
  if (step->memory_mb > 0)
    held = MIN (held, vacant->memory_mb / step->memory_mb);
  if (step->per_worker_max > 0)
    held = MIN (held, step->per_worker_max);
  return (uint32_t)MAX (0, held);
}

/* TRUE when a fleet of this size could hold one task of STEP, or its whole gang. */
gboolean
can_ever_run (const Cb__FleetSums *fleet, const Cb__BatchStep *step)
{
  const vacant_t largest = { .cpu_milli = fleet->worker_cpu_milli,
                             .memory_mb = fleet->worker_memory_mb,
                             .accelerators = fleet->worker_accelerators };
  uint64_t held = (uint64_t)tasks_held (&largest, step) * fleet->workers;

  return held >= (step->gang ? step->count : 1);
}

/* Returns the expected time in ms until the end of a run. One that has taken longer
   than its queue's mean is expected to take as long again as it has run: a few tasks
   take many times the mean. */
double
expected_left_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms)
{
  cb_msec_t ran_ms = MAX (0, now_ms - task->started_ms);
  cb_msec_t expected_ms = expected_task_ms (b, task->job->spec, task->step);

  if (task_spec (task)->daemon)
    return INFINITY;
  return (double)(ran_ms > expected_ms ? ran_ms : MAX (1, expected_ms - ran_ms));
}

/* Deducts the tasks of W that still run at the time of VACANCY. */
static void
deduct_tasks (const vacancy_t *vacancy, const worker_t *w, vacant_t *vacant)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];
      const Cb__BatchStep *step = task_spec (task);

      if (task->job->spec->priority > vacancy->max_priority ||
          expected_left_ms (vacancy->b, task, vacancy->now_ms) <= vacancy->later_ms)
        continue;
      vacant->cpu_milli -= step->fills ? 0 : (int64_t)step->cpu_milli;
      vacant->memory_mb -= (int64_t)step->memory_mb;
      vacant->accelerators -= (int64_t)step->accelerators;
    }
}

/* Returns an array of vacant_t, one for each worker of the fleet. The caller unrefs
   it. */
static GArray *
list_vacant (const vacancy_t *vacancy)
{
  const cb_batch_t *b = vacancy->b;
  const Cb__FleetSums *fleet = vacancy->fleet;
  GArray *vacants = g_array_sized_new (FALSE, FALSE, sizeof (vacant_t), fleet->workers);
  const vacant_t empty = usual_worker (fleet);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (vacants->len < fleet->workers && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      vacant_t vacant = empty;

      if (w->tasks->len == 0 ||
          strcmp (((const task_t *)w->tasks->pdata[0])->job->spec->service,
                  fleet->service) != 0)
        continue;
      deduct_tasks (vacancy, w, &vacant);
      g_array_append_val (vacants, vacant);
    }
  while (vacants->len < fleet->workers)
    g_array_append_val (vacants, empty);
  return vacants;
}

/* Takes the room of up to COUNT tasks of STEP, or of none when it is a gang of more
   than that. Returns how many have found room. */
static uint32_t
take_room (GArray *vacants, const Cb__BatchStep *step, uint32_t count)
{
  uint64_t held = 0;
  uint32_t placed = 0;

  for (guint i = 0; step->gang && i < vacants->len && held < step->count; i++)
    held += tasks_held (&g_array_index (vacants, vacant_t, i), step);
  if (step->gang && held < step->count)
    return 0;
  for (guint i = 0; i < vacants->len && placed < count; i++)
    {
      vacant_t *vacant = &g_array_index (vacants, vacant_t, i);
      uint32_t here = MIN (count - placed, tasks_held (vacant, step));

      vacant->cpu_milli -= step->fills ? 0 : (int64_t)here * step->cpu_milli;
      vacant->memory_mb -= (int64_t)here * step->memory_mb;
      vacant->accelerators -= (int64_t)here * step->accelerators;
      placed += here;
    }
  return placed;
}

/* TRUE when OTHER waits for room before JOB. */
static gboolean
precedes (const job_t *other, const Cb__BatchJob *job)
{
  return job_open (other) && other->spec->times == 0 &&
         other->spec->priority <= job->priority &&
         strcmp (other->spec->service, job->service) == 0;
}

/* Takes the room of the work that waits before JOB and can run. Returns FALSE when that
   is too much to look at. */
static gboolean
take_preceding (const cb_batch_t *b, const Cb__FleetSums *fleet,
                const Cb__BatchJob *job, GArray *vacants)
{
  uint32_t steps = 0;

  for (const GList *l = b->job_list.head; l != NULL && steps <= WAITING_STEPS_MAX;
       l = l->next)
    {
      const job_t *other = l->data;

      for (uint32_t i = 0; precedes (other, job) && i < other->spec->n_steps; i++)
        {
          const Cb__BatchStep *step = other->spec->steps[i];
          uint32_t waiting = other->occurrences[0].steps[i].waiting;

          if (waiting == 0 || !step_ready (other, 0, i, G_MAXINT64) ||
              !can_ever_run (fleet, step))
            continue;
          take_room (vacants, step, waiting);
          steps++;
        }
    }
  return steps <= WAITING_STEPS_MAX;
}

/* TRUE when VACANTS hold what JOB starts with: its whole gangs, and one task at least
   of other steps. */
static gboolean
hold_first_steps (GArray *vacants, const Cb__BatchJob *job)
{
  gboolean hold = TRUE;

  for (uint32_t i = 0; i < job->n_steps && hold; i++)
    if (job->steps[i]->n_after == 0)
      {
        uint32_t count = job->steps[i]->gang ? job->steps[i]->count : 1;

        hold = take_room (vacants, job->steps[i], count) == count;
      }
  return hold;
}

/* TRUE when JOB can start now in the free room, beside the work that waits before
   it. */
gboolean
has_vacancy_now (const cb_batch_t *b, const Cb__FleetSums *fleet,
                 const Cb__BatchJob *job, cb_msec_t now_ms)
{
  const vacancy_t vacancy = {
    .b = b, .fleet = fleet, .now_ms = now_ms, .max_priority = UINT32_MAX
  };
  GArray *vacants = list_vacant (&vacancy);
  gboolean holds =
      take_preceding (b, fleet, job, vacants) && hold_first_steps (vacants, job);

  g_array_unref (vacants);
  return holds;
}

/* TRUE when the runs at least as urgent as JOB that last for longer than LATER_MS from
   now leave room for what it starts with. */
gboolean
has_vacancy_later (const cb_batch_t *b, const Cb__FleetSums *fleet,
                   const Cb__BatchJob *job, cb_msec_t now_ms, double later_ms)
{
  const vacancy_t vacancy = { .b = b,
                              .fleet = fleet,
                              .now_ms = now_ms,
                              .later_ms = later_ms,
                              .max_priority = job->priority };
  GArray *vacants = list_vacant (&vacancy);
  gboolean holds = hold_first_steps (vacants, job);

  g_array_unref (vacants);
  return holds;
}
