/* Run times: learns them from ended runs and estimates from them. */
#include "batch/local.h"

/* Weight of a new run time in the moving average of its queue. */
#define RUN_TIME_WEIGHT 0.15
/* Expected run time when the queue has no ended run and the step declares no time. */
#define DEFAULT_TASK_MS 5000

/* Returns the run times of QUEUE; new ones at first. */
run_time_t *
get_run_time (const cb_batch_t *b, const char *queue)
{
  run_time_t *run_time = g_hash_table_lookup (b->run_times, queue);

  if (run_time == NULL)
    {
      run_time = g_new0 (run_time_t, 1);
      g_hash_table_insert (b->run_times, g_strdup (queue), run_time);
    }
  return run_time;
}

/* Returns how many times as long as its work TASK's run takes. */
static double
slowdown (const cb_batch_t *b, const task_t *task)
{
  return task->remote ? MAX (1, b->params.remote_slowdown) : 1;
}

/* Returns how long TASK's run has taken at the record that is being applied, by the
   clock of the scheduler's process; 0 when it has been another process since the start
   or the records do not say. */
static cb_msec_t
clocked_run_ms (const cb_batch_t *b, const task_t *task)
{
  if (task->started_clock_ms == 0 || task->started_epoch != b->epoch ||
      b->record_clock_ms <= task->started_clock_ms)
    return 0;
  return (cb_msec_t)(b->record_clock_ms - task->started_clock_ms);
}

/* TRUE when TASK's run, or the run of a member of its gang, began from a checkpoint: it
   does not show the run time of the whole task. */
static gboolean
is_resumed (const task_t *task)
{
  const step_state_t *step = task_step (task);

  if (!task_spec (task)->gang)
    return task->checkpoint != NULL;
  for (uint32_t t = 0; t < step->count; t++)
    if (step->tasks[t].checkpoint != NULL)
      return TRUE;
  return FALSE;
}

/* Updates the average run time of TASK's queue, and the speeds of its workers, after
   its run ended done. */
static void
learn_run_time (cb_batch_t *b, const task_t *task)
{
  run_time_t *run_time = get_run_time (b, task->job->spec->queue);
  cb_msec_t took_ms = clocked_run_ms (b, task);
  double work_ms;

  if (took_ms <= 0 || is_resumed (task))
    return;
  if (!task->remote)
    speed_learn (b, task, run_time, took_ms);
  work_ms = (double)took_ms / (slowdown (b, task) * run_slowness (b, task));
  run_time->mean_ms =
      run_time->count == 0
          ? work_ms
          : run_time->mean_ms + RUN_TIME_WEIGHT * (work_ms - run_time->mean_ms);
  run_time->count++;
}

/* Updates the run times of the queue, and the trust in the worker and its speed, after
   the end of TASK's run. */
void
learn_run_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, cb_msec_t now_ms)
{
  if (how == CB__RUN_END__RUN_FAILED)
    trust_run_failed (task->worker, task, now_ms);
  else if (how == CB__RUN_END__RUN_REJECTED)
    trust_start_rejected (task->worker, task, now_ms);
  if (how != CB__RUN_END__RUN_DONE)
    return;
  trust_restore (task->worker);
  trust_start_accepted (task->worker, task);
  learn_run_time (b, task);
}

/* Returns the expected run time of a task of STEP on a usual worker in ms: the average
   of the queue, which is preferred as declared times are often far off, or else the
   declared time. */
cb_msec_t
expected_task_ms (const cb_batch_t *b, const Cb__BatchJob *job, uint32_t step)
{
  const run_time_t *run_time = g_hash_table_lookup (b->run_times, job->queue);

  if (run_time != NULL && run_time->count > 0)
    return (cb_msec_t)run_time->mean_ms;
  if (job->steps[step]->estimate_ms > 0)
    return job->steps[step]->estimate_ms;
  return DEFAULT_TASK_MS;
}

/* As expected_task_ms, but relies on a declared time below DEFAULT_TASK_MS only once
   the queue has an ended run: for decisions that a far too short time would spoil. */
cb_msec_t
cautious_task_ms (const cb_batch_t *b, const Cb__BatchJob *job, uint32_t step)
{
  const run_time_t *run_time = g_hash_table_lookup (b->run_times, job->queue);
  cb_msec_t expected_ms = expected_task_ms (b, job, step);

  return run_time != NULL && run_time->count > 0 ? expected_ms
                                                 : MAX (expected_ms, DEFAULT_TASK_MS);
}

/* Returns the expected time in ms until the end of TASK's run, at least 1. */
cb_msec_t
remaining_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms)
{
  cb_msec_t ran_ms = now_ms - task->started_ms;
  double expected_ms;

  if (task->percent > 0 && task->percent <= 100 && ran_ms > 0)
    return MAX (1, ran_ms * (100 - (cb_msec_t)task->percent) / task->percent);
  expected_ms = (double)expected_task_ms (b, task->job->spec, task->step);
  return MAX (1,
              (cb_msec_t)(expected_ms * slowdown (b, task) * run_slowness (b, task)) -
                  ran_ms);
}

/* Returns the critical path of an occurrence in ms: the longest chain of expected run
   times over dependent steps. Steps that are done count only with INCLUDE_DONE; a step
   whose tasks run in several rounds (step->waves) counts once for each of them. */
cb_msec_t
critical_path_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence,
                  gboolean include_done)
{
  const Cb__BatchJob *spec = job->spec;
  cb_msec_t *longest = g_new0 (cb_msec_t, MAX (1, spec->n_steps));
  cb_msec_t result = 0;

  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      const step_state_t *step = &job->occurrences[occurrence].steps[i];

      for (size_t k = 0; k < spec->steps[i]->n_after; k++)
        longest[i] = MAX (longest[i], longest[spec->steps[i]->after[k]]);
      if (include_done || step->done < step->count)
        longest[i] += expected_task_ms (b, spec, i) * MAX (1, step->waves);
      result = MAX (result, longest[i]);
    }
  g_free (longest);
  return result;
}

/* Returns the time in ms from acceptance, or from the due time of the occurrence, in
   which OCCURRENCE should end. */
cb_msec_t
objective_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence)
{
  return (cb_msec_t)((double)critical_path_ms (b, job, occurrence, TRUE) *
                     job->spec->stretch_milli / 1000) +
         job->spec->slack_ms;
}
