#include "batch/local.h"

/* Weight of one more run time in a queue's mean. */
#define LEARN_RATE 0.15
/* Expected time of a task of a queue without any end and without a declared time. */
#define DEFAULT_TASK_MS 5000

static learned_t *
get_learned (const cb_batch_t *b, const char *queue)
{
  learned_t *learned = g_hash_table_lookup (b->learned, queue);

  if (learned == NULL)
    {
      learned = g_new0 (learned_t, 1);
      g_hash_table_insert (b->learned, g_strdup (queue), learned);
    }
  return learned;
}

/* Takes note of the end of TASK's run: the run time for its queue, success or failure
   for its worker. */
void
learn_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, cb_msec_t now_ms)
{
  learned_t *learned = get_learned (b, task->job->spec->queue);
  cb_msec_t took_ms = now_ms - task->started_ms;

  if (how == CB__RUN_END__RUN_FAILED)
    trust_failed (task->worker, task, now_ms);
  if (how != CB__RUN_END__RUN_DONE)
    return;
  trust_done (task->worker);
  /* A resumed run says nothing of the whole time. */
  if (took_ms <= 0 || task->saved != NULL)
    return;
  learned->mean_ms =
      learned->count == 0
          ? (double)took_ms
          : learned->mean_ms + LEARN_RATE * ((double)took_ms - learned->mean_ms);
  learned->count++;
}

/* Returns the expected time of a task of STEP in ms: the mean of the queue's ends; the
   declared time while there is none, as it is often far off. */
cb_msec_t
expected_ms (const cb_batch_t *b, const Cb__BatchJob *job, uint32_t step)
{
  const learned_t *learned = g_hash_table_lookup (b->learned, job->queue);

  if (learned != NULL && learned->count > 0)
    return (cb_msec_t)learned->mean_ms;
  if (job->steps[step]->estimate_ms > 0)
    return job->steps[step]->estimate_ms;
  return DEFAULT_TASK_MS;
}

/* Returns how long a started TASK will still run, at least 1 ms. */
cb_msec_t
remaining_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms)
{
  cb_msec_t ran_ms = now_ms - task->started_ms;
  cb_msec_t expected = expected_ms (b, task->job->spec, task->step);

  if (task->percent > 0 && task->percent <= 100 && ran_ms > 0)
    return MAX (1, ran_ms * (100 - (cb_msec_t)task->percent) / task->percent);
  return MAX (1, expected - ran_ms);
}

/* Returns the longest chain of expected times along the steps of an occurrence in ms,
   of all its work with WHOLE, otherwise of what is not done yet; a wide step counts
   once for each of its waves. */
cb_msec_t
chain_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence, gboolean whole)
{
  const Cb__BatchJob *spec = job->spec;
  cb_msec_t *longest = g_new0 (cb_msec_t, MAX (1, spec->n_steps));
  cb_msec_t result = 0;

  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      const step_state_t *step = &job->occurrences[occurrence].steps[i];

      for (size_t k = 0; k < spec->steps[i]->n_after; k++)
        longest[i] = MAX (longest[i], longest[spec->steps[i]->after[k]]);
      if (whole || step->done < step->count)
        longest[i] += expected_ms (b, spec, i) * MAX (1, step->waves);
      result = MAX (result, longest[i]);
    }
  g_free (longest);
  return result;
}
