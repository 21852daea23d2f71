/* The order in which queued jobs are started, and the conditions for it. */
#include "sched/local.h"

#include <string.h>

/* Time for which placement of urgent work is tried: jobs that are being stopped will
   free capacity soon. The sum of this time, the grace period, the reservation and the
   start stays within CB_URGENT_START_MS. */
#define URGENT_PLACEMENT_MS 1000
/* A small job waits at most this long for a partly used instance, so as not to break up
   a further one. Small jobs come every few minutes, so that two of them share an
   instance. */
#define PARTIAL_INSTANCE_WAIT_MS 600000
/* It waits only while less than this percentage of the usable accelerators is free. */
#define SCARCE_FREE_PERCENT 25
/* Jobs whose placement is tried, and jobs that are visited, in one pass over a
   sequence: a long queue must not make a tick long. */
#define TRIED_MAX 64
#define VISITED_MAX 1024
/* Parked jobs that return to the queue each time their account releases a member. */
#define UNPARK_MAX 16
/* A rack stays held this long after the jobs on it should have ended; then it is chosen
   anew. */
#define HELD_RACK_MS 60000
/* Racks of a zone that are considered as the held rack, those with most free
   accelerators. */
#define HELD_RACK_CANDIDATES 16

gint
queue_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const job_t *x = a;
  const job_t *y = b;

  (void)data;
  if (x->queue_key != y->queue_key)
    return x->queue_key < y->queue_key ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

static gint
compare_age (gconstpointer a, gconstpointer b, gpointer data)
{
  const job_t *x = a;
  const job_t *y = b;

  (void)data;
  if (x->added_ms != y->added_ms)
    return x->added_ms < y->added_ms ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

/* Limits how long the current refusal is remembered: it may no longer hold at AT_MS. */
void
queue_recheck (cb_sched_t *s, cb_msec_t at_ms)
{
  s->recheck_ms = MIN (s->recheck_ms, at_ms);
}

/* TRUE when JOB fits into the remaining quotas of its account now. */
gboolean
quota_allows (const job_t *job)
{
  const account_t *account = job->account;
  uint64_t cores = (uint64_t)job->spec->members * job->spec->cores;

  if (account->quota > 0 &&
      (uint64_t)account->accelerators_used + job_accelerators (job) > account->quota)
    return FALSE;
  return account->quota_cores == 0 ||
         account->cores_used + cores <= account->quota_cores;
}

/* Adds JOB to all sequences of queued jobs that it belongs to. */
static void
insert_into_sequences (cb_sched_t *s, job_t *job)
{
  job->refused.version = job->refused_pins.version = 0;
  if (job->urgent)
    {
      job->queue_iter = g_sequence_insert_sorted (s->urgent, job, queue_compare, NULL);
      return;
    }
  job->queue_iter = g_sequence_insert_sorted (s->queue, job, queue_compare, NULL);
  for (uint32_t i = 0; i < job->account->pins->len; i++)
    if (pin_fits (job->account->pins->pdata[i], job->spec))
      {
        job->guaranteed_iter =
            g_sequence_insert_sorted (s->guaranteed, job, queue_compare, NULL);
        break;
      }
  if (job->large)
    job->large_iter = g_sequence_insert_sorted (s->large, job, compare_age, NULL);
}

/* Queues JOB at the position that the policy gives it. */
void
queue_add (cb_sched_t *s, job_t *job)
{
  job->stage = STAGE_QUEUED;
  job->predicted_ms = predict_run_ms (s, job->spec);
  job->queue_key = s->policy->queue_key (s, job);
  s->queued_count++;
  insert_into_sequences (s, job);
}

static void
remove_iter (GSequenceIter **at)
{
  if (*at != NULL)
    g_sequence_remove (*at);
  *at = NULL;
}

/* Removes JOB from all sequences; a rack that is held for it is no longer held. */
static void
remove_from_sequences (cb_sched_t *s, job_t *job)
{
  remove_iter (&job->queue_iter);
  remove_iter (&job->guaranteed_iter);
  remove_iter (&job->large_iter);
  remove_iter (&job->parked_iter);
  if (s->held_for == job)
    {
      s->held_for = NULL;
      s->held_rack = NULL;
      s->version++;
    }
}

void
queue_remove (cb_sched_t *s, job_t *job)
{
  remove_from_sequences (s, job);
  s->queued_count--;
}

/* Moves JOB from the queue to those that wait for the quota of their account. */
void
queue_park (cb_sched_t *s, job_t *job)
{
  remove_from_sequences (s, job);
  job->reason = CB__REASON__QUOTA_EXCEEDED;
  job->parked_iter =
      g_sequence_insert_sorted (job->account->parked, job, queue_compare, NULL);
}

/* Returns the first parked jobs of ACCOUNT to the queue. */
void
queue_unpark (cb_sched_t *s, account_t *account)
{
  for (int i = 0; i < UNPARK_MAX; i++)
    {
      GSequenceIter *at = g_sequence_get_begin_iter (account->parked);
      job_t *job;

      if (g_sequence_iter_is_end (at))
        return;
      job = g_sequence_get (at);
      remove_iter (&job->parked_iter);
      insert_into_sequences (s, job);
    }
}

/* Starts JOB on PLACEMENT, which is empty afterwards: it reserves at once, or after the
   jobs that it preempts have stopped. FALSE when the quota does not allow it. */
static gboolean
begin_start (cb_sched_t *s, job_t *job, pin_t *pin, placement_t *placement,
             cb_msec_t now_ms)
{
  gboolean pending;

  if (!reclaim_quota (s, job, placement, now_ms))
    {
      /* Which jobs would be preempted depends on the time. */
      queue_recheck (s, now_ms);
      placement_clear (placement);
      return FALSE;
    }
  pending = placement->to_preempt->len > 0;
  queue_remove (s, job);
  job->reason = CB__REASON__REASON_NONE;
  job->pin = pin;
  if (pin != NULL && pin->holder != NULL)
    pin->holder->pin = NULL; /* it is among the jobs to preempt */
  if (pin != NULL)
    pin->holder = job;
  job->stage = pending ? STAGE_PREEMPTING : STAGE_RESERVING;
  for (uint32_t i = 0; i < job->spec->members; i++)
    member_assign (s, job, i, placement->members[i].worker, placement->members[i].mask,
                   pending);
  if (pending)
    reclaim_begin (s, job, placement, now_ms);
  else
    start_reserve (s, job, now_ms);
  placement_clear (placement);
  return TRUE;
}

static gboolean
capacity_is_scarce (const cb_sched_t *s)
{
  return (uint64_t)s->count[CAPACITY_FREE] * 100 <
         (uint64_t)s->usable * SCARCE_FREE_PERCENT;
}

/* TRUE when JOB waits a little longer for a partly used instance, as PLACEMENT would
   leave accelerators that no guaranteed shape can use. Not checked for a job on a pin
   of its own account: the guarantee is there for it. */
static gboolean
waits_for_partial_instance (const cb_sched_t *s, const job_t *job,
                            const placement_t *placement, cb_msec_t now_ms)
{
  const Cb__Weights *weights = s->fleet->config->rules->weights;

  return s->policy->best_fit && !job->urgent && capacity_is_scarce (s) &&
         placement->waste > 0 && weights != NULL && weights->fragmentation > 0 &&
         now_ms - job->queued_ms < PARTIAL_INSTANCE_WAIT_MS;
}

/* Tries to start JOB on a free pin of its account, or else on the pin where preemption
   loses least. */
static gboolean
try_pins (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  pin_t *best_pin = NULL;
  placement_t best = { 0 };

  for (uint32_t i = 0; i < job->account->pins->len; i++)
    {
      pin_t *pin = job->account->pins->pdata[i];
      placement_t placement = { 0 };

      if ((pin->holder != NULL && !preemptible_for_own_urgent (pin->holder, job)) ||
          pin->parts->len == 0 || !pin_fits (pin, job->spec))
        continue;
      if (!placement_find_in_pin (s, job, pin, CAPACITY_PREEMPTIBLE, now_ms,
                                  &placement))
        continue;
      if (best_pin != NULL && placement.loss >= best.loss)
        {
          placement_clear (&placement);
          continue;
        }
      placement_clear (&best);
      best = placement;
      best_pin = pin;
    }
  if (best_pin == NULL)
    return FALSE;
  return begin_start (s, job, best_pin, &best, now_ms);
}

/* Tries to start JOB on accelerators of class CAPACITY outside the pins of its
   account. */
static gboolean
try_capacity (cb_sched_t *s, job_t *job, capacity_t capacity, cb_msec_t now_ms)
{
  placement_t placement;

  if (!placement_find (s, job, capacity, now_ms, &placement))
    return FALSE;
  if (waits_for_partial_instance (s, job, &placement, now_ms))
    {
      gboolean may_preempt =
          capacity == CAPACITY_PREEMPTIBLE || capacity == CAPACITY_PREEMPTIBLE_UNPINNED;

      queue_recheck (s,
                     may_preempt ? now_ms : job->queued_ms + PARTIAL_INSTANCE_WAIT_MS);
      placement_clear (&placement);
      return FALSE;
    }
  return begin_start (s, job, NULL, &placement, now_ms);
}

/* Tries to start JOB on the rack that is held for a large job, before JOB borrows other
   accounts' pins, whose owners reclaim them without notice. Only for small jobs that
   can save their state, as the large job will preempt them, and only where no further
   instance is broken up. Large jobs are not allowed: in the replay of the Ertis trace
   they raised the fragmentation above its bound. */
static gboolean
try_held_rack (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  rack_t *held_rack = s->held_rack;
  placement_t placement;
  gboolean found;

  if (held_rack == NULL || !job->can_borrow || !job->can_checkpoint || job->large ||
      job->urgent || held_rack->count[CAPACITY_UNPINNED] < job_accelerators (job))
    return FALSE;
  s->held_rack = NULL;
  found = placement_find (s, job, CAPACITY_UNPINNED, now_ms, &placement);
  s->held_rack = held_rack;
  if (found && placement.partial <= 0 && placement.waste <= 0)
    return begin_start (s, job, NULL, &placement, now_ms);
  if (found)
    placement_clear (&placement);
  return FALSE;
}

/* Makes an urgent job an ordinary one: even with preemption it can't start in time, and
   the promise of an urgent start can't be kept. */
static void
become_ordinary (cb_sched_t *s, job_t *job, Cb__Reason reason)
{
  char *account = cb_json_quote (job->spec->account);
  char *key = cb_json_quote (job->spec->key);

  remove_from_sequences (s, job);
  job->urgent = FALSE;
  job->urgent_lost = reason;
  job->reason = reason;
  insert_into_sequences (s, job);
  cb_outq_event (
      &s->out, "urgent_lost", "\"account\":%s,\"key\":%s,\"reason\":\"%s\"", account,
      key,
      protobuf_c_enum_descriptor_get_value (&cb__reason__descriptor, reason)->name);
  g_free (account);
  g_free (key);
}

/* Starts JOB when it can be placed; may park it or make it ordinary work. With
   PINS_ONLY tries only the pins of its account. TRUE when it is no longer in its
   sequence. */
static gboolean
try_start (cb_sched_t *s, job_t *job, gboolean pins_only, cb_msec_t now_ms)
{
  /* Work that is not urgent may be preempted for this job. */
  gboolean may_preempt_ordinary =
      s->policy->best_fit && (job->large || policy_prefers_short (s));

  if (job->retry_ms > now_ms || job->unresolved)
    {
      queue_recheck (s, now_ms);
      return FALSE;
    }
  if (!job->urgent && !may_preempt_ordinary && !quota_allows (job))
    {
      queue_park (s, job);
      return TRUE;
    }
  if (try_pins (s, job, now_ms))
    return TRUE;
  if (pins_only)
    return FALSE;
  if (try_capacity (s, job, CAPACITY_UNPINNED, now_ms) ||
      try_held_rack (s, job, now_ms) ||
      (job->can_borrow && try_capacity (s, job, CAPACITY_FREE, now_ms)) ||
      (job->urgent && try_capacity (s, job, CAPACITY_PREEMPTIBLE_UNPINNED, now_ms)) ||
      (job->urgent && job->can_borrow &&
       try_capacity (s, job, CAPACITY_PREEMPTIBLE, now_ms)))
    return TRUE;
  if (may_preempt_ordinary &&
      (try_capacity (s, job, CAPACITY_PREEMPTIBLE_UNPINNED, now_ms) ||
       (job->can_borrow && try_capacity (s, job, CAPACITY_PREEMPTIBLE, now_ms))))
    return TRUE;
  if (!job->urgent && !quota_allows (job))
    {
      queue_park (s, job);
      return TRUE;
    }
  job->reason = quota_allows (job) ? CB__REASON__RESERVED : CB__REASON__QUOTA_EXCEEDED;
  /* After a takeover the time counts from the start of the epoch: until the agents
     report, no worker takes work. */
  if (!job->urgent || now_ms - MAX (job->queued_ms, s->epoch_ms) < URGENT_PLACEMENT_MS)
    return FALSE;
  become_ordinary (s, job, job->reason);
  return TRUE;
}

static gboolean
refusal_holds (const cb_sched_t *s, const refusal_t *refusal, cb_msec_t now_ms)
{
  return refusal->version == s->version && now_ms < refusal->until_ms;
}

/* Like try_start, but skips JOB while nothing has changed since its last refusal: in a
   full cell this applies to nearly all jobs of a tick. */
static gboolean
try_start_if_changed (cb_sched_t *s, job_t *job, gboolean pins_only, cb_msec_t now_ms)
{
  refusal_t *refusal = pins_only ? &job->refused_pins : &job->refused;
  uint64_t version = s->version;

  if (refusal_holds (s, &job->refused, now_ms) || refusal_holds (s, refusal, now_ms))
    return FALSE;
  s->recheck_ms = INT64_MAX;
  if (try_start (s, job, pins_only, now_ms))
    return TRUE;
  /* Refusals of urgent work are not remembered: it is tried for a short time only. */
  refusal->version = job->urgent ? 0 : version;
  refusal->until_ms = s->recheck_ms;
  return FALSE;
}

/* TRUE when the refusal of A holds for B, too: both have the same shape and account,
   and A has no restrictions of its own. */
static gboolean
refusal_holds_for_both (const job_t *a, const job_t *b)
{
  return a->spec->members == b->spec->members &&
         a->spec->accelerators == b->spec->accelerators &&
         a->spec->cores == b->spec->cores && a->spec->memory_gb == b->spec->memory_gb &&
         a->spec->adjacency == b->spec->adjacency && a->can_borrow == b->can_borrow &&
         a->failed_worker_count == 0 && a->retry_ms == 0 && !a->unresolved &&
         a->account == b->account;
}

/* Starts jobs of SEQUENCE in its order, up to the first whose queue key is above
   LAST_KEY, and under a policy without backfill up to the first that can't be placed.
   Stops after TRIED_MAX failed attempts or VISITED_MAX jobs. */
static void
start_from_sequence (cb_sched_t *s, GSequence *sequence, gboolean pins_only,
                     cb_msec_t last_key, cb_msec_t now_ms)
{
  job_t *failed[TRIED_MAX];
  uint32_t tried = 0;
  uint32_t visited = 0;
  GSequenceIter *at = g_sequence_get_begin_iter (sequence);

  while (tried < TRIED_MAX && visited++ < VISITED_MAX && !g_sequence_iter_is_end (at))
    {
      job_t *job = g_sequence_get (at);
      gboolean refused = FALSE;

      at = g_sequence_iter_next (at);
      if (job->queue_key > last_key)
        return;
      for (uint32_t i = 0; i < tried && !refused; i++)
        refused = refusal_holds_for_both (failed[i], job);
      if (refused || try_start_if_changed (s, job, pins_only, now_ms))
        continue;
      if (!s->policy->backfill)
        return;
      failed[tried++] = job;
    }
}

/* Holds for the large job JOB the rack with most free accelerators among those of
   sufficient size, until the jobs on it are expected to have ended. Moves pins off the
   rack when JOB may not borrow them. Holds no rack when JOB may be spread over several
   racks. */
static void
held_rack_choose (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  rack_t *best = NULL;

  s->held_rack = NULL;
  s->held_for = job;
  if (job->spec->adjacency != CB__ADJACENCY__INSTANCE &&
      job->spec->adjacency != CB__ADJACENCY__RACK)
    return;
  for (uint32_t i = 0; i < s->zones->len; i++)
    {
      GSequence *racks = ((zone_t *)s->zones->pdata[i])->racks[CAPACITY_FREE];
      GSequenceIter *at = g_sequence_get_end_iter (racks);

      for (int k = 0; k < HELD_RACK_CANDIDATES && !g_sequence_iter_is_begin (at); k++)
        {
          rack_t *rack;
          uint32_t size = 0;

          at = g_sequence_iter_prev (at);
          rack = g_sequence_get (at);
          for (uint32_t n = 0; n < rack->workers->len; n++)
            size += (uint32_t)__builtin_popcountll (
                ((worker_t *)rack->workers->pdata[n])->installed);
          if (size >= job_accelerators (job) &&
              (best == NULL || rack->count[CAPACITY_FREE] > best->count[CAPACITY_FREE]))
            best = rack;
        }
    }
  s->held_rack = best;
  if (best != NULL && !job->can_borrow)
    pins_move_off_rack (s, best);
  s->held_until_ms = now_ms;
  for (uint32_t i = 0; best != NULL && i < best->workers->len; i++)
    {
      const worker_t *w = best->workers->pdata[i];

      for (uint32_t k = 0; k < w->jobs->len; k++)
        {
          const job_t *running = w->jobs->pdata[k];

          s->held_until_ms =
              MAX (s->held_until_ms, running->started_ms + running->predicted_ms);
        }
    }
}

/* Renews the choice of the held rack when the oldest large job has changed or the hold
   has expired. */
static void
held_rack_update (cb_sched_t *s, cb_msec_t now_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (s->large);
  job_t *job = g_sequence_iter_is_end (at) ? NULL : g_sequence_get (at);

  if (job == NULL || !s->policy->best_fit)
    {
      s->version += s->held_rack != NULL;
      s->held_rack = NULL;
      s->held_for = NULL;
      return;
    }
  if (job != s->held_for || now_ms >= s->held_until_ms + HELD_RACK_MS)
    {
      const rack_t *held_rack = s->held_rack;
      const job_t *held_for = s->held_for;
      cb_msec_t until_ms = s->held_until_ms;

      held_rack_choose (s, job, now_ms);
      s->version += s->held_rack != held_rack || s->held_for != held_for ||
                    s->held_until_ms != until_ms;
    }
}

/* Starts the jobs that can be placed: urgent work, jobs that fit a pin of their account
   (on such pins only), jobs whose queue key is CB_AGED_MS ago or more, large jobs by
   age, then all in the order of the policy. The baseline policies have no precedence of
   aged and large jobs; large jobs have none either when the rules prefer short jobs. */
void
queue_start_jobs (cb_sched_t *s, cb_msec_t now_ms)
{
  start_from_sequence (s, s->urgent, FALSE, INT64_MAX, now_ms);
  start_from_sequence (s, s->guaranteed, TRUE, INT64_MAX, now_ms);
  if (s->policy->best_fit)
    {
      start_from_sequence (s, s->queue, FALSE, now_ms - CB_AGED_MS, now_ms);
      if (!policy_prefers_short (s))
        start_from_sequence (s, s->large, FALSE, INT64_MAX, now_ms);
    }
  start_from_sequence (s, s->queue, FALSE, INT64_MAX, now_ms);
  held_rack_update (s, now_ms);
}
