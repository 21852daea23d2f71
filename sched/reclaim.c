/* Preemption: which jobs may be stopped for which others, and the wait until they have
   stopped. */
#include "sched/local.h"

/* Part of reclaim_ms that remains for the stop after the grace period. */
#define STOP_MARGIN_MS 250

/* A job has run at least this long when it is preempted for a large job: a checkpoint
   and a start take about a second, so that they cost less than 2% of the time. */
#define PREEMPT_FOR_LARGE_MIN_RUN_MS 60000
/* The same for small jobs, which come more often and would cause more interruptions. */
#define PREEMPT_FOR_SMALL_MIN_RUN_MS 300000

/* Returns the run time since the start or the last checkpoint, in
   accelerator-milliseconds, that is lost when JOB is stopped. */
uint64_t
preemption_loss (const job_t *job, cb_msec_t now_ms)
{
  cb_msec_t since_ms = MAX (job->started_ms, job->checkpoint_ms);

  if (job->stage != STAGE_RUNNING || now_ms <= since_ms)
    return 0;
  return (uint64_t)(now_ms - since_ms) * MAX (1, job_accelerators (job));
}

/* TRUE when JOB may be preempted for the owner of a pin whose accelerators it uses. A
   job that holds a pin of its own account may not. */
gboolean
preemptible_for_pin_owner (const job_t *job)
{
  return job->can_borrow && job->pin == NULL &&
         (job->stage == STAGE_RESERVING || job->stage == STAGE_STARTING ||
          job->stage == STAGE_RUNNING);
}

/* TRUE when JOB may be preempted for urgent work. */
gboolean
preemptible_for_urgent (const job_t *job)
{
  return preemptible_for_pin_owner (job) && !job->urgent;
}

/* TRUE when CANDIDATE may be preempted for JOB, urgent work of the same account. This
   includes jobs on the account's own pin, as the account decides how its guarantee is
   used. */
gboolean
preemptible_for_own_urgent (const job_t *candidate, const job_t *job)
{
  return job->urgent && !candidate->urgent && candidate->account == job->account &&
         candidate->can_borrow &&
         (candidate->stage == STAGE_RESERVING || candidate->stage == STAGE_STARTING ||
          candidate->stage == STAGE_RUNNING);
}

/* TRUE when CANDIDATE may be preempted for JOB, which is not urgent: CANDIDATE can save
   its state, has run for a minimum time and longer than JOB has (least attained
   service), and was added at most CB_AGED_MS ago. A small JOB preempts only when the
   rules prefer short jobs. A job on a pin of its own account is
   preempted only for the same account. Also limits how long the current refusal is
   remembered, to the time when the answer changes. */
gboolean
preemptible_for_waiting (cb_sched_t *s, const job_t *candidate, const job_t *job,
                         cb_msec_t now_ms)
{
  cb_msec_t min_run_ms =
      job->large ? PREEMPT_FOR_LARGE_MIN_RUN_MS : PREEMPT_FOR_SMALL_MIN_RUN_MS;
  cb_msec_t from_ms = candidate->started_ms +
                      MAX (min_run_ms, job->attained_ms - candidate->attained_ms);
  cb_msec_t to_ms = candidate->added_ms + CB_AGED_MS;

  if (!candidate->can_checkpoint || candidate->stage != STAGE_RUNNING ||
      !candidate->can_borrow || candidate->urgent ||
      (!job->large && !policy_prefers_short (s)))
    return FALSE;
  if (candidate->pin != NULL && candidate->account != job->account)
    return FALSE;
  if (now_ms <= to_ms)
    queue_recheck (s, now_ms < from_ms ? from_ms : to_ms + 1);
  return now_ms >= from_ms && now_ms <= to_ms;
}

/* TRUE when JOB fits into the quota of its account once FREED accelerators and
   FREED_CORES cores of it are released. */
static gboolean
quota_suffices (const job_t *job, uint64_t freed, uint64_t freed_cores)
{
  const account_t *account = job->account;
  uint64_t use = (uint64_t)account->accelerators_used + job_accelerators (job);
  uint64_t cores =
      account->cores_used + (uint64_t)job->spec->members * job->spec->cores;

  return (account->quota == 0 || use <= account->quota + freed) &&
         (account->quota_cores == 0 || cores <= account->quota_cores + freed_cores);
}

/* Returns the job of JOB's account that JOB may preempt at the smallest loss, or NULL
   when there is none. Leaves out jobs that PLACEMENT already preempts. */
static job_t *
cheapest_of_account (cb_sched_t *s, const job_t *job, const placement_t *placement,
                     cb_msec_t now_ms)
{
  const GPtrArray *placed = job->account->placed;
  job_t *best = NULL;
  uint64_t best_loss = 0;

  for (uint32_t i = 0; i < placed->len; i++)
    {
      job_t *candidate = placed->pdata[i];
      uint64_t loss = preemption_loss (candidate, now_ms);

      if ((job->urgent ? !preemptible_for_own_urgent (candidate, job)
                       : !preemptible_for_waiting (s, candidate, job, now_ms)) ||
          g_ptr_array_find (placement->to_preempt, candidate, NULL))
        continue;
      if (best == NULL || loss < best_loss ||
          (loss == best_loss && candidate->serial < best->serial))
        {
          best = candidate;
          best_loss = loss;
        }
    }
  return best;
}

/* Adds jobs of JOB's own account to the jobs that PLACEMENT preempts until JOB fits
   into the quota. FALSE when that is not possible. */
gboolean
reclaim_quota (cb_sched_t *s, const job_t *job, placement_t *placement,
               cb_msec_t now_ms)
{
  uint64_t freed = 0, freed_cores = 0;

  for (uint32_t i = 0; i < placement->to_preempt->len; i++)
    {
      const job_t *candidate = placement->to_preempt->pdata[i];

      if (candidate->account != job->account)
        continue;
      freed += (uint64_t)candidate->placed_count * candidate->spec->accelerators;
      freed_cores += (uint64_t)candidate->placed_count * candidate->spec->cores;
    }
  while (!quota_suffices (job, freed, freed_cores))
    {
      job_t *candidate = cheapest_of_account (s, job, placement, now_ms);

      if (candidate == NULL)
        return FALSE;
      g_ptr_array_add (placement->to_preempt, candidate);
      freed += (uint64_t)candidate->placed_count * candidate->spec->accelerators;
      freed_cores += (uint64_t)candidate->placed_count * candidate->spec->cores;
    }
  return TRUE;
}

/* Starts the preemption of the jobs of PLACEMENT, whose capacity is reserved for
   JOB. */
void
reclaim_begin (cb_sched_t *s, job_t *job, placement_t *placement, cb_msec_t now_ms)
{
  cb_msec_t grace_ms = (cb_msec_t)cb_fleet_reclaim_ms (s->fleet) - STOP_MARGIN_MS;
  char *for_account = cb_json_quote (job->spec->account);
  char *for_key = cb_json_quote (job->spec->key);

  if (job->urgent)
    grace_ms = MIN (grace_ms, CB_URGENT_GRACE_MS);
  job->stage = STAGE_PREEMPTING;
  job->preempt_ms = now_ms;
  for (uint32_t i = 0; i < placement->to_preempt->len; i++)
    {
      job_t *preempted_job = placement->to_preempt->pdata[i];

      g_ptr_array_add (preempted_job->preemptors, job);
      g_ptr_array_add (job->preempted, preempted_job);
    }
  for (uint32_t i = 0; i < placement->to_preempt->len; i++)
    {
      job_t *preempted_job = placement->to_preempt->pdata[i];
      char *account = cb_json_quote (preempted_job->spec->account);
      char *key = cb_json_quote (preempted_job->spec->key);

      cb_outq_event (&s->out, "reclaim",
                     "\"account\":%s,\"key\":%s,\"for_account\":%s,\"for_key\":%s,"
                     "\"urgent\":%s",
                     account, key, for_account, for_key,
                     job->urgent ? "true" : "false");
      g_free (account);
      g_free (key);
      job_preempt (s, preempted_job, MAX (0, grace_ms), now_ms);
    }
  g_free (for_account);
  g_free (for_key);
}

/* Ends the wait of JOB for the jobs it preempted. These are stopped and queued again
   nevertheless. */
void
reclaim_cancel (job_t *job)
{
  for (uint32_t i = 0; i < job->preempted->len; i++)
    g_ptr_array_remove (((job_t *)job->preempted->pdata[i])->preemptors, job);
  g_ptr_array_set_size (job->preempted, 0);
}

/* To be called when JOB has stopped: jobs that waited for it and for no other job
   reserve now. */
void
reclaim_job_stopped (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  while (job->preemptors->len > 0)
    {
      job_t *waiting = g_ptr_array_steal_index (job->preemptors, 0);
      char *account, *key;

      g_ptr_array_remove (waiting->preempted, job);
      if (waiting->preempted->len > 0)
        continue;
      account = cb_json_quote (waiting->spec->account);
      key = cb_json_quote (waiting->spec->key);
      cb_outq_event (&s->out, "reclaimed",
                     "\"for_account\":%s,\"for_key\":%s,\"took_ms\":%" G_GINT64_FORMAT,
                     account, key, now_ms - waiting->preempt_ms);
      g_free (account);
      g_free (key);
      job_use_pending (s, waiting);
      start_reserve (s, waiting, now_ms);
    }
}
