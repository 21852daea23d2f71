/* Policies: the order of the queue. */
#include "sched/local.h"

#include <string.h>

/* Largest cost of a job, so that each wait is bounded: jobs that come later by more
   than this are behind it. */
#define COST_MAX_MS (INT64_C (6) * 60 * 60 * 1000)

/* Smallest remaining run time that is assumed. A job that runs longer than predicted
   would otherwise cost nothing. */
#define REMAINING_MIN_MS 60000

/* Returns the time when JOB was added plus a cost: its expected remaining accelerator
   time divided by the share of its account, limited to COST_MAX_MS and multiplied by
   the relative weight of completion time. This orders jobs like a cost that shrinks
   with age, but is constant, so that the queue needs no reordering. */
static cb_msec_t
adaptive_key (const cb_sched_t *s, const job_t *job)
{
  const Cb__Weights *weights =
      s->fleet == NULL ? NULL : s->fleet->config->rules->weights;
  uint32_t completion = weights == NULL ? 1 : weights->completion_time;
  uint32_t total = weights == NULL ? 1 : completion + weights->fragmentation;
  cb_msec_t remaining_ms = MAX (REMAINING_MIN_MS, job->predicted_ms - job->attained_ms);
  cb_msec_t cost = remaining_ms * (cb_msec_t)MAX (1, job_accelerators (job));

  cost = MIN (cost / MAX (1, job->account->share), COST_MAX_MS);
  return job->added_ms + (total == 0 ? cost : cost * completion / total);
}

/* TRUE when the rules weigh completion time above fragmentation: then jobs are
   preempted for small jobs too, and large jobs are not placed first. */
gboolean
policy_prefers_short (const cb_sched_t *s)
{
  const Cb__Weights *weights = s->fleet->config->rules->weights;

  return weights != NULL && weights->completion_time > weights->fragmentation;
}

/* Returns the time when JOB was added: first in, first out. */
static cb_msec_t
arrival_key (const cb_sched_t *s, const job_t *job)
{
  (void)s;
  return job->added_ms;
}

static const policy_ops_t policies[] = {
  { "adaptive", adaptive_key, TRUE, TRUE },
  { "first-fit", arrival_key, TRUE, FALSE },
  { "fifo", arrival_key, FALSE, FALSE },
};

/* Returns the policy NAME, the default for NULL, or NULL when there is no such
   policy. */
const policy_ops_t *
policy_find (const char *name)
{
  if (name == NULL)
    return &policies[0];
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}
