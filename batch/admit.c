#include "batch/local.h"

/* A result is of no use any more after this multiple of the job's objective (the
   platform counts none later). */
#define USELESS_AFTER 3
/* Fewer workers than this say little of the fleet's size: right after a takeover not
   all have reported. */
#define FLEET_LEAST 3
/* Bounds of the time to come back in ms: shorter ones bring the same answer again,
   longer ones miss room that ends and cancellations free. */
#define RETRY_LEAST_MS 1000
#define RETRY_MOST_MS 10000

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

/* Checks that the largest worker could hold each task. The size of the fleet is no
   reason: workers come and go. */
static int
check_size (const Cb__FleetSums *fleet, const Cb__BatchJob *job)
{
  for (size_t i = 0; i < job->n_steps; i++)
    {
      const Cb__BatchStep *step = job->steps[i];

      if (step->accelerators > fleet->worker_accelerators ||
          step->memory_mb > fleet->worker_memory_mb ||
          (!step->fills && step->cpu_milli > fleet->worker_cpu_milli))
        return CB_BATCH_NEVER_FITS;
    }
  return CB_OK;
}

/* Time in ms for which COUNT tasks of a step use the whole fleet, by the scarcer of
   accelerators and cores. */
static double
fleet_ms (const cb_batch_t *b, const Cb__FleetSums *fleet, const Cb__BatchJob *job,
          uint32_t step, uint32_t count)
{
  const Cb__BatchStep *spec = job->steps[step];
  double cpu =
      fleet->cpu_milli == 0 ? 0 : (double)spec->cpu_milli / (double)fleet->cpu_milli;
  double accelerators = fleet->accelerators == 0
                            ? 0
                            : (double)spec->accelerators / (double)fleet->accelerators;

  return MAX (cpu, accelerators) * count * (double)expected_ms (b, job, step);
}

/* Time in ms that the fleet needs for open work that goes before work of PRIORITY. */
static double
backlog_ms (const cb_batch_t *b, const Cb__FleetSums *fleet, uint32_t priority)
{
  double sum = 0;

  for (const GList *l = b->open.head; l != NULL; l = l->next)
    {
      const job_t *job = l->data;

      if (!job_open (job) || job->spec->priority > priority || job->spec->times > 0)
        continue;
      for (uint32_t i = 0; i < job->spec->n_steps; i++)
        {
          const step_state_t *step = &job->occurrences[0].steps[i];

          if (!job->spec->steps[i]->daemon)
            sum += fleet_ms (b, fleet, job->spec, i, step->count - step->done);
        }
    }
  return sum;
}

/* Decides whether a new job is accepted: 0, or why it is refused at once.
   RETRY_AFTER_MS is when a place may be free; 0: never. A job is refused when it could
   not end while its result is still of use, by the work that goes before it. The load
   that this answers is a long overload; a burst passes within the slack of what is not
   urgent, and urgent work goes first. */
int
cb_batch_admit (const cb_batch_t *b, const Cb__BatchJob *job, cb_msec_t *retry_after_ms)
{
  const Cb__FleetSums *fleet = g_hash_table_lookup (b->fleet, job->service);
  double chain = 0;
  double useful;
  double backlog;
  int err = check_steps (job);

  *retry_after_ms = 0;
  if (err < 0 || fleet == NULL || fleet->workers < FLEET_LEAST)
    return err;
  err = check_size (fleet, job);
  if (err < 0 || job->priority == 0 || job->times > 0)
    return err;
  for (uint32_t i = 0; i < job->n_steps; i++)
    {
      if (job->steps[i]->daemon)
        return CB_OK;
      chain += (double)expected_ms (b, job, i);
    }
  useful = USELESS_AFTER * (chain * job->stretch_milli / 1000 + job->slack_ms);
  backlog = backlog_ms (b, fleet, job->priority);
  if (backlog + chain <= useful)
    return CB_OK;
  *retry_after_ms =
      CLAMP ((cb_msec_t)(backlog + chain - useful), RETRY_LEAST_MS, RETRY_MOST_MS);
  return CB_BATCH_OVERLOADED;
}
