/* Admission control: refuses jobs that can never run or would end too late. */
#include "batch/local.h"

/* With fewer known workers a job is not checked against the fleet: right after a
   takeover not all of them have reported. */
#define FLEET_WORKERS_MIN 3
/* Bounds of retry_after_ms. Earlier retries get the same answer; the forecast does not
   hold for longer, as it knows nothing of the work to come. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
/* Retry-After while there are too many tasks: time for a few jobs to end. */
#define FULL_RETRY_MS 2000
/* Ended jobs are kept for a while, so all known jobs may have this multiple of the
   tasks that open ones may have. */
#define KEPT_TASKS_MULTIPLE 4
/* Bound of the encoded fields of a job's record beside the job. */
#define JOB_OVERHEAD_BYTES 32

/* Checks the structure of JOB. Returns 0 or CB_BATCH_INVALID. */
int
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

/* Checks that the records of JOB fit into the log. Returns 0 or CB_BATCH_TOO_LARGE. */
static int
check_records (const cb_batch_t *b, const Cb__BatchJob *job)
{
  if (protobuf_c_message_get_packed_size (&job->base) + JOB_OVERHEAD_BYTES >
      b->params.record_bytes_max)
    return CB_BATCH_TOO_LARGE;
  for (size_t i = 0; i < job->n_steps; i++)
    if (job->steps[i]->gang && job->steps[i]->count > CB_BATCH_GANG_MAX)
      return CB_BATCH_TOO_LARGE;
  return CB_OK;
}

/* Checks that each task fits the largest worker. Returns 0 or CB_BATCH_NEVER_FITS. The
   number of workers does not count, as it changes. */
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

static uint64_t
count_open_tasks (const cb_batch_t *b)
{
  uint64_t tasks = 0;

  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    if (job_open (l->data))
      tasks += count_tasks (((const job_t *)l->data)->spec);
  return tasks;
}

/* Checks that the memory of all entries, which keep each task, can hold those of JOB
   too. Returns 0 or CB_BATCH_FULL. The open jobs are only counted when it may not. */
static int
check_tasks (const cb_batch_t *b, const Cb__BatchJob *job)
{
  uint64_t max = b->params.open_tasks_max;
  uint64_t added = b->expected_tasks + count_tasks (job);

  if (max == 0 || b->kept_tasks + added <= max)
    return CB_OK;
  if (b->kept_tasks + added > KEPT_TASKS_MULTIPLE * max ||
      count_open_tasks (b) + added > max)
    return CB_BATCH_FULL;
  return CB_OK;
}

/* Sets the number of tasks of jobs that this entry has admitted and the log has not
   confirmed yet. They count at the next admissions. */
void
cb_batch_expect_tasks (cb_batch_t *b, uint64_t tasks)
{
  b->expected_tasks = tasks;
}

/* Returns the number of tasks of JOB over all steps and occurrences. */
uint64_t
cb_batch_count_tasks (const Cb__BatchJob *job)
{
  return count_tasks (job);
}

/* Decides on the admission of a new job: returns 0, CB_BATCH_INVALID,
   CB_BATCH_TOO_LARGE, CB_BATCH_FULL, CB_BATCH_NEVER_FITS or CB_BATCH_OVERLOADED. With
   CB_BATCH_FULL and CB_BATCH_OVERLOADED RETRY_AFTER_MS is the time after which a retry
   is expected to be admitted, at most RETRY_MAX_MS; otherwise it is 0. A job is refused
   when the work that precedes it would delay its end until the result is of no use.
   This guards against a lasting overload: a short burst fits into the slack of work
   that is not urgent, and urgent work is never refused for load, as it is placed first.
   Nor are jobs that the free room holds, and jobs with a schedule or a daemon step.
   While fewer than FLEET_WORKERS_MIN workers are known, only the structure of the job
   is checked.
 */
int
cb_batch_admit (const cb_batch_t *b, const Cb__BatchJob *job, cb_msec_t now_ms,
                cb_msec_t *retry_after_ms)
{
  const Cb__FleetSums *fleet = g_hash_table_lookup (b->fleet, job->service);
  double work_ms = 0;
  double useful_ms;
  double latest_start_ms;
  cb_msec_t wait_ms;
  int err = check_steps (job);

  if (err == CB_OK)
    err = check_records (b, job);
  *retry_after_ms = 0;
  if (err == CB_OK && (err = check_tasks (b, job)) < 0)
    *retry_after_ms = FULL_RETRY_MS;
  if (err < 0 || fleet == NULL || fleet->workers < FLEET_WORKERS_MIN)
    return err;
  err = check_size (fleet, job);
  if (err < 0 || job->priority == 0 || job->times > 0)
    return err;
  for (uint32_t i = 0; i < job->n_steps; i++)
    {
      if (job->steps[i]->daemon)
        return CB_OK;
      work_ms += (double)expected_task_ms (b, job, i);
    }
  useful_ms =
      USEFUL_OBJECTIVE_MULTIPLE * (work_ms * job->stretch_milli / 1000 + job->slack_ms);
  latest_start_ms = useful_ms - work_ms;
  wait_ms = latest_start_ms < 0 ? RETRY_MAX_MS
                                : forecast_retry_ms (b, fleet, job, latest_start_ms,
                                                     RETRY_MAX_MS, now_ms);
  if (wait_ms <= 0 || has_vacancy_now (b, fleet, job, now_ms))
    return CB_OK;
  *retry_after_ms = CLAMP (wait_ms, RETRY_MIN_MS, RETRY_MAX_MS);
  /* latest_start_ms: from now, the last start whose result would be of use. */
  cb_event (CB_LOG_INFO, "batch", "refused_for_load",
            "job=%s account=%s priority=%u latest_start_ms=%.0f retry_ms=%" PRId64,
            job->id, job->account, job->priority, latest_start_ms, *retry_after_ms);
  return CB_BATCH_OVERLOADED;
}
