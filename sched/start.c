/* The attempt of a job from its reservation to its end: reserve, start, stop,
   preempt. */
#include "sched/local.h"

#include <string.h>

/* A stop is sent again after this time until the agent reports the task ended. */
#define STOP_RESEND_MS 1000
/* Each time that this many stops were sent again without effect, the agents are asked
   for full reports: an agent may have lost the task without reporting it, and its
   accelerators would otherwise stay in use. */
#define STOPS_BEFORE_SYNC 3
/* A job_end record that does not appear in the log within this time is appended again.
 */
#define JOB_END_RETRY_MS 10000
/* A start that takes longer is stopped by the scheduler. The gang's leader should have
   stopped it before, when its lease expired. */
#define START_TIMEOUT_MS (CB_GANG_LEASE_MS + 2000)
#define APPEND_TIMEOUT_MS 4000
/* A worker whose agent did not answer a reservation takes no work for this time. The
   job is not placed again before either, unless it is urgent. The job also waits this
   long after the append of its start timed out. */
#define AVOID_WORKER_MS 1000
/* Urgent work tries other workers when a reservation is not answered within this
   time. */
#define URGENT_RESERVE_TIMEOUT_MS 300

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const job_t *x = a;
  const job_t *y = b;

  (void)data;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

/* Has job_handle_timer called at DUE_MS, which replaces an earlier time; 0: not at
   all. */
void
job_set_timer (cb_sched_t *s, job_t *job, cb_msec_t due_ms)
{
  if (job->timer_iter != NULL)
    g_sequence_remove (job->timer_iter);
  job->timer_iter = NULL;
  job->due_ms = due_ms;
  if (due_ms != 0)
    job->timer_iter = g_sequence_insert_sorted (s->timers, job, compare_due, NULL);
}

/* Queues an envelope of this cell and epoch. Returns it for its body to be filled; the
   output queue owns it. */
Cb__Envelope *
sched_send (cb_sched_t *s, const char *to, Cb__Envelope__BodyCase body)
{
  Cb__Envelope *envelope = cb_outq_send (&s->out, to, body);

  cb_msg_set_string (&envelope->from, s->entry);
  cb_msg_set_string (&envelope->cell, s->cell);
  envelope->epoch = s->epoch;
  return envelope;
}

/* Returns a new message with the instance and the accelerators of member I. */
static Cb__Placement *
make_placement (const job_t *job, uint32_t i)
{
  Cb__Placement *p = cb_msg_new (&cb__placement__descriptor);
  const member_t *m = &job->members[i];

  cb_msg_set_string (&p->instance, m->worker->name);
  p->member = i;
  p->n_accelerators = (size_t)__builtin_popcountll (m->mask);
  if (p->n_accelerators > 0)
    p->accelerators = malloc (p->n_accelerators * sizeof *p->accelerators);
  for (uint32_t bit = 0, k = 0; bit < 64; bit++)
    if ((m->mask >> bit & 1) != 0)
      p->accelerators[k++] = bit;
  return p;
}

/* TRUE when an earlier member than I has the same worker: a worker gets one message for
   all its members. */
static gboolean
worker_has_earlier_member (const job_t *job, uint32_t i)
{
  for (uint32_t k = 0; k < i; k++)
    if (job->members[k].worker == job->members[i].worker)
      return TRUE;
  return FALSE;
}

/* Emits EVENT with the accelerators of all members. */
static void
emit_placement (cb_sched_t *s, const job_t *job, const char *event)
{
  GString *members = g_string_new (NULL);
  char *cell = cb_json_quote (s->cell);
  char *account = cb_json_quote (job->spec->account);
  char *key = cb_json_quote (job->spec->key);

  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      char *name = cb_json_quote (job->members[i].worker->name);
      const char *comma = "";

      g_string_append_printf (members, "%s{\"member\":%u,\"instance\":%s,\"accels\":[",
                              i == 0 ? "" : ",", i, name);
      for (uint32_t bit = 0; bit < 64; bit++)
        if ((job->members[i].mask >> bit & 1) != 0)
          {
            g_string_append_printf (members, "%s%u", comma, bit);
            comma = ",";
          }
      g_string_append (members, "]}");
      g_free (name);
    }
  cb_outq_event (&s->out, event,
                 "\"cell\":%s,\"epoch\":%" G_GUINT64_FORMAT
                 ",\"account\":%s,\"key\":%s,\"attempt\":%u,\"members\":[%s]",
                 cell, s->epoch, account, key, job->attempt, members->str);
  g_free (cell);
  g_free (account);
  g_free (key);
  g_string_free (members, TRUE);
}

/* Starts an attempt: asks the agents of all members to reserve their accelerators. */
void
start_reserve (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  job->stage = STAGE_RESERVING;
  job->attempt++;
  job->epoch = s->epoch;
  job->stops_resent = 0;
  job_set_timer (
      s, job, now_ms + (job->urgent ? URGENT_RESERVE_TIMEOUT_MS : CB_RESERVE_TTL_MS));
  emit_placement (s, job, "reserve");
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      Cb__Reserve *reserve;

      job->members[i].confirmed = FALSE;
      if (worker_has_earlier_member (job, i))
        continue;
      reserve = sched_send (s, job->members[i].worker->name, CB__ENVELOPE__BODY_RESERVE)
                    ->reserve;
      cb_msg_set_string (&reserve->job_key, job->spec->key);
      cb_msg_set_string (&reserve->account, job->spec->account);
      reserve->attempt = job->attempt;
      reserve->ttl_ms = CB_RESERVE_TTL_MS;
      reserve->cores = job->spec->cores;
      reserve->memory_gb = job->spec->memory_gb;
      for (uint32_t k = i; k < job->spec->members; k++)
        if (job->members[k].worker == job->members[i].worker)
          cb_msg_append ((void ***)&reserve->placements, &reserve->n_placements,
                         make_placement (job, k));
    }
}

/* To be called when all reservations are confirmed. Starts the job; one that is not
   repeatable only after its start is in the log. */
void
start_confirmed (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  Cb__JobStart *record;

  if (!job->not_repeatable)
    {
      start_send (s, job, now_ms);
      return;
    }
  job->stage = STAGE_APPENDING;
  job->tag = ++s->tag;
  g_hash_table_insert (s->tags, GSIZE_TO_POINTER (job->tag), job);
  record = cb_outq_append (&s->out, job->tag, CB__RECORD__BODY_JOB_START)->job_start;
  cb_msg_set_string (&record->cell, s->cell);
  cb_msg_set_string (&record->key, job->spec->key);
  cb_msg_set_string (&record->account, job->spec->account);
  record->attempt = job->attempt;
  record->epoch = s->epoch;
  /* Reservations expire CB_RESERVE_TTL_MS after they were made: a start after that
     would fail. */
  job_set_timer (s, job,
                 job->urgent ? now_ms + APPEND_TIMEOUT_MS
                             : MIN (job->due_ms, now_ms + APPEND_TIMEOUT_MS));
}

/* Sends the start to the agents of all members. */
void
start_send (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  job->stage = STAGE_STARTING;
  job->started_once = TRUE;
  job->start_sent = TRUE;
  job_set_timer (s, job, now_ms + START_TIMEOUT_MS);
  emit_placement (s, job, "job_start");
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      Cb__Start *start;

      job->members[i].state = CB__TASK_STATE__TASK_STARTING;
      if (worker_has_earlier_member (job, i))
        continue;
      start =
          sched_send (s, job->members[i].worker->name, CB__ENVELOPE__BODY_START)->start;
      cb_msg_set_string (&start->job_key, job->spec->key);
      cb_msg_set_string (&start->account, job->spec->account);
      start->attempt = job->attempt;
      start->gang_lease_ms = CB_GANG_LEASE_MS;
      start->job = (Cb__Job *)cb_msg_copy (&job->spec->base);
      for (uint32_t k = 0; k < job->spec->members; k++)
        cb_msg_append ((void ***)&start->members, &start->n_members,
                       make_placement (job, k));
    }
}

/* Sends stop to the agents of all members that are not released. */
void
job_send_stop (cb_sched_t *s, job_t *job)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      Cb__Stop *stop;

      if (job->members[i].worker == NULL || worker_has_earlier_member (job, i))
        continue;
      stop =
          sched_send (s, job->members[i].worker->name, CB__ENVELOPE__BODY_STOP)->stop;
      cb_msg_set_string (&stop->job_key, job->spec->key);
      cb_msg_set_string (&stop->account, job->spec->account);
      stop->attempt = job->attempt;
      stop->reason = job->reason;
    }
}

static void
release_members (cb_sched_t *s, job_t *job)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    member_release (s, job, i);
}

/* Stops the present attempt of JOB for REASON. Before the start was sent, its
   accelerators are released at once: an agent handles its messages in order, so the
   stop precedes any later reservation. After that, those of each task are released when
   the agent reports its end. Only sets the reason of a job that is queued or has ended.
 */
void
job_stop (cb_sched_t *s, job_t *job, Cb__Reason reason, cb_msec_t now_ms)
{
  job->reason = reason;
  if (job->tag != 0 && job->stage == STAGE_APPENDING)
    {
      g_hash_table_remove (s->tags, GSIZE_TO_POINTER (job->tag));
      job->tag = 0;
    }
  switch (job->stage)
    {
    case STAGE_PREEMPTING:
      reclaim_cancel (job);
      release_members (s, job);
      break;
    case STAGE_RESERVING:
    case STAGE_APPENDING:
      job_send_stop (s, job);
      release_members (s, job);
      break;
    case STAGE_STARTING:
    case STAGE_RUNNING:
    case STAGE_STOPPING:
      job->stage = STAGE_STOPPING;
      for (uint32_t i = 0; i < job->spec->members; i++)
        if (job->members[i].worker != NULL)
          worker_update_index (s, job->members[i].worker);
      job_send_stop (s, job);
      job_set_timer (s, job, now_ms + STOP_RESEND_MS);
      break;
    case STAGE_QUEUED:
    case STAGE_ENDED:
      return;
    }
  if (job->placed_count == 0)
    job_attempt_ended (s, job, now_ms);
}

/* Stops JOB after GRACE_MS, in which it can save its state; it is then queued again. A
   job that does not run yet, or any with GRACE_MS 0, is stopped at once. */
void
job_preempt (cb_sched_t *s, job_t *job, cb_msec_t grace_ms, cb_msec_t now_ms)
{
  if (job->stage != STAGE_RUNNING || grace_ms == 0)
    {
      job_stop (s, job, CB__REASON__PREEMPTED, now_ms);
      return;
    }
  job->stage = STAGE_STOPPING;
  job->reason = CB__REASON__PREEMPTED;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      Cb__Checkpoint *checkpoint;

      if (job->members[i].worker == NULL)
        continue;
      worker_update_index (s, job->members[i].worker);
      if (worker_has_earlier_member (job, i))
        continue;
      checkpoint =
          sched_send (s, job->members[i].worker->name, CB__ENVELOPE__BODY_CHECKPOINT)
              ->checkpoint;
      cb_msg_set_string (&checkpoint->job_key, job->spec->key);
      cb_msg_set_string (&checkpoint->account, job->spec->account);
      checkpoint->attempt = job->attempt;
      checkpoint->grace_ms = (uint32_t)grace_ms;
    }
  job_set_timer (s, job, now_ms + grace_ms);
}

/* Queues the append of the end of JOB to the log. The timer of JOB repeats it until
   cb_sched_job_ended tells that the log holds it. */
void
job_append_end (cb_sched_t *s, job_t *job, Cb__JobState state, Cb__Reason reason,
                cb_msec_t now_ms)
{
  Cb__JobEnd *record;

  job->stage = STAGE_ENDED;
  job->end_state = state;
  job->reason = reason;
  if (job->tag != 0)
    g_hash_table_remove (s->tags, GSIZE_TO_POINTER (job->tag));
  job->tag = ++s->tag;
  g_hash_table_insert (s->tags, GSIZE_TO_POINTER (job->tag), job);
  record = cb_outq_append (&s->out, job->tag, CB__RECORD__BODY_JOB_END)->job_end;
  cb_msg_set_string (&record->cell, s->cell);
  cb_msg_set_string (&record->key, job->spec->key);
  cb_msg_set_string (&record->account, job->spec->account);
  record->state = state;
  record->reason = reason;
  record->epoch = s->epoch;
  record->attempt = job->attempt;
  record->run_ms = job->run_ms;
  job_set_timer (s, job, now_ms + JOB_END_RETRY_MS);
}

static gboolean
all_in_state (const job_t *job, Cb__TaskState state)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].state != state)
      return FALSE;
  return TRUE;
}

/* To be called when no member of JOB is placed any more. Removes JOB if the log already
   holds its end; otherwise appends its end or queues it again. */
void
job_attempt_ended (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  gboolean done = all_in_state (job, CB__TASK_STATE__TASK_DONE);

  if (job->pin != NULL)
    job->pin->holder = NULL;
  job->pin = NULL;
  job_set_timer (s, job, 0);
  for (uint32_t i = 0; i < job->spec->members; i++)
    job->members[i].state = CB__TASK_STATE__TASK_RESERVED;
  reclaim_job_stopped (s, job, now_ms);
  if (job->end_in_log)
    job_remove (s, job);
  else if (done)
    {
      predict_observe (s, job->spec, job->run_ms);
      job_append_end (s, job, CB__JOB_STATE__JOB_DONE, CB__REASON__REASON_NONE, now_ms);
    }
  else if (job->end_when_stopped)
    job_append_end (s, job, job->end_state, job->reason, now_ms);
  else if (job->cancel)
    job_append_end (s, job, CB__JOB_STATE__JOB_CANCELED, CB__REASON__CANCELED, now_ms);
  else
    {
      /* A failed reservation is part of the wait; after an attempt that was started, a
         new wait begins. */
      if (job->start_sent)
        job->queued_ms = now_ms;
      if (job->started_ms != 0 && job->checkpoint_ms > job->started_ms)
        job->attained_ms += job->checkpoint_ms - job->started_ms;
      job->start_sent = FALSE;
      job->started_ms = 0;
      queue_add (s, job);
    }
}

/* Stops what remains of a failed attempt, after which JOB ends or is queued again. With
   COUNTS the failure counts towards FAILURES_MAX, unless JOB is being stopped already.
   */
static void
attempt_failed (cb_sched_t *s, job_t *job, Cb__Reason reason, gboolean counts,
                cb_msec_t now_ms)
{
  if (job->stage != STAGE_STOPPING)
    {
      job->failures += counts;
      if (job->not_repeatable && job->started_once)
        {
          job->end_when_stopped = TRUE;
          job->end_state =
              counts ? CB__JOB_STATE__JOB_FAILED : CB__JOB_STATE__JOB_UNKNOWN;
          reason = counts ? reason : CB__REASON__OUTCOME_UNKNOWN;
        }
      else if (job->failures >= FAILURES_MAX)
        {
          job->end_when_stopped = TRUE;
          job->end_state = CB__JOB_STATE__JOB_FAILED;
          if (job->failed_worker_count >= FAILURES_MAX)
            health_remove_outcomes (s, job);
        }
    }
  job_stop (s, job, reason, now_ms);
}

/* Records that a task of JOB failed on W, which JOB avoids from now on. */
static void
record_failure (cb_sched_t *s, job_t *job, worker_t *w, cb_msec_t now_ms)
{
  gboolean known = FALSE;

  health_record_outcome (s, w, job, TRUE, now_ms);
  for (uint32_t i = 0; i < job->failed_worker_count; i++)
    known |= job->failed_workers[i] == w->index;
  if (!known && job->failed_worker_count < FAILURES_MAX)
    job->failed_workers[job->failed_worker_count++] = w->index;
}

/* Records that a task of JOB failed on W, and ends the attempt: stops the other
   members, unless they are being stopped already. */
static void
member_failed (cb_sched_t *s, job_t *job, worker_t *w, Cb__Reason reason,
               cb_msec_t now_ms)
{
  record_failure (s, job, w, now_ms);
  if (job->stage == STAGE_STOPPING && job->placed_count == 0)
    job_attempt_ended (s, job, now_ms);
  else if (job->stage != STAGE_STOPPING)
    attempt_failed (
        s, job, reason == CB__REASON__REASON_NONE ? CB__REASON__WORKER_FAILED : reason,
        TRUE, now_ms);
}

/* Records that member I runs, if JOB is starting. JOB becomes running when each of its
   members runs or has ended successfully. */
static void
record_member_running (cb_sched_t *s, job_t *job, uint32_t i, cb_msec_t now_ms)
{
  if (job->stage != STAGE_STARTING)
    return;
  job->members[i].state = CB__TASK_STATE__TASK_RUNNING;
  for (uint32_t k = 0; k < job->spec->members; k++)
    if (job->members[k].state != CB__TASK_STATE__TASK_RUNNING &&
        job->members[k].state != CB__TASK_STATE__TASK_DONE)
      return;
  job->stage = STAGE_RUNNING;
  job->started_ms = now_ms;
  s->version++; /* it can be preempted from now on */
  job_set_timer (s, job, 0);
  if (job->urgent)
    {
      char *account = cb_json_quote (job->spec->account);
      char *key = cb_json_quote (job->spec->key);

      cb_outq_event (&s->out, "urgent_wait",
                     "\"account\":%s,\"key\":%s,\"took_ms\":%" G_GINT64_FORMAT, account,
                     key, now_ms - job->queued_ms);
      g_free (account);
      g_free (key);
    }
}

/* Handles the reported state of one task of JOB on W. Ignores reports of another
   attempt, epoch (0 matches any) or worker, and all while JOB waits for the jobs it
   preempted. */
void
job_handle_task (cb_sched_t *s, job_t *job, worker_t *w, const Cb__Task *task,
                 cb_msec_t now_ms)
{
  uint32_t i = task->member;

  if (task->attempt != job->attempt || i >= job->spec->members ||
      job->members[i].worker != w || job->stage == STAGE_PREEMPTING ||
      (task->epoch != 0 && task->epoch != job->epoch))
    return;
  if (task->checkpointed)
    job->checkpoint_ms = now_ms;
  if (job->stage == STAGE_QUEUED)
    {
      takeover_handle_task (s, job, task);
      return;
    }
  switch (task->state)
    {
    case CB__TASK_STATE__TASK_RUNNING:
      record_member_running (s, job, i, now_ms);
      return;
    case CB__TASK_STATE__TASK_DONE:
      record_member_running (s, job, i, now_ms);
      job->run_ms = MAX (job->run_ms, task->run_ms);
      job->members[i].state = CB__TASK_STATE__TASK_DONE;
      member_release (s, job, i);
      health_record_outcome (s, w, job, FALSE, now_ms);
      if (job->placed_count == 0)
        job_attempt_ended (s, job, now_ms);
      return;
    case CB__TASK_STATE__TASK_FAILED:
      job->members[i].state = CB__TASK_STATE__TASK_FAILED;
      member_release (s, job, i);
      member_failed (s, job, w, task->reason, now_ms);
      return;
    case CB__TASK_STATE__TASK_STOPPED:
      /* The worker did not answer the start, or not so that its outcome is known. */
      if (job->members[i].state == CB__TASK_STATE__TASK_STARTING &&
          task->reason == CB__REASON__WORKER_FAILED)
        record_failure (s, job, w, now_ms);
      job->members[i].state = CB__TASK_STATE__TASK_STOPPED;
      member_release (s, job, i);
      if (job->stage != STAGE_STOPPING)
        attempt_failed (s, job, CB__REASON__MEMBER_LOST, FALSE, now_ms);
      else if (job->placed_count == 0)
        job_attempt_ended (s, job, now_ms);
      return;
    default:
      return;
    }
}

/* Handles the loss of all members of JOB on W, which is down or no longer has them. The
   attempt fails with them, except for a queued job, whose members were found running at
   a takeover. */
void
job_member_lost (cb_sched_t *s, job_t *job, worker_t *w, cb_msec_t now_ms)
{
  if (job->stage == STAGE_PREEMPTING)
    {
      job_stop (s, job, CB__REASON__MEMBER_LOST, now_ms);
      return;
    }
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].worker == w)
      {
        job->members[i].state = CB__TASK_STATE__TASK_STOPPED;
        member_release (s, job, i);
      }
  if (job->stage == STAGE_QUEUED)
    return;
  if (job->stage == STAGE_STOPPING && job->placed_count == 0)
    job_attempt_ended (s, job, now_ms);
  else if (job->stage != STAGE_STOPPING)
    attempt_failed (s, job, CB__REASON__MEMBER_LOST, FALSE, now_ms);
}

/* Stops the attempt of JOB, which has members on W, as W is no longer in the inventory.
   A queued job, whose members were found at a takeover, loses those on W. */
void
job_worker_removed (cb_sched_t *s, job_t *job, worker_t *w, cb_msec_t now_ms)
{
  if (job->stage == STAGE_QUEUED)
    {
      job_send_stop (s, job);
      job_member_lost (s, job, w, now_ms);
    }
  else if (job->stage == STAGE_PREEMPTING)
    job_stop (s, job, CB__REASON__MEMBER_LOST, now_ms);
  else if (job->stage != STAGE_STOPPING)
    attempt_failed (s, job, CB__REASON__MEMBER_LOST, FALSE, now_ms);
}

/* Asks the agents of all members of JOB for full reports. */
static void
request_full_reports (cb_sched_t *s, const job_t *job)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].worker != NULL && !worker_has_earlier_member (job, i))
      sched_send (s, job->members[i].worker->name, CB__ENVELOPE__BODY_SYNC)
          ->sync->full = TRUE;
}

/* Handles the timer of JOB. What it means depends on the stage. */
void
job_handle_timer (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  job_set_timer (s, job, 0);
  switch (job->stage)
    {
    case STAGE_RESERVING:
      for (uint32_t i = 0; i < job->spec->members; i++)
        if (!job->members[i].confirmed)
          {
            job->members[i].worker->avoid_until_ms = now_ms + AVOID_WORKER_MS;
            health_set_timer (s, now_ms + AVOID_WORKER_MS);
            worker_update_index (s, job->members[i].worker);
          }
      job->retry_ms = job->urgent ? now_ms : now_ms + AVOID_WORKER_MS;
      job_stop (s, job, CB__REASON__RESERVED, now_ms);
      return;
    case STAGE_APPENDING:
      job->retry_ms = now_ms + AVOID_WORKER_MS;
      job_stop (s, job, CB__REASON__LOG_UNAVAILABLE, now_ms);
      return;
    case STAGE_STARTING:
      attempt_failed (s, job, CB__REASON__MEMBER_LOST, TRUE, now_ms);
      return;
    case STAGE_STOPPING:
      job_send_stop (s, job);
      if (++job->stops_resent % STOPS_BEFORE_SYNC == 0)
        request_full_reports (s, job);
      job_set_timer (s, job, now_ms + STOP_RESEND_MS);
      return;
    case STAGE_ENDED:
      job_append_end (s, job, job->end_state, job->reason, now_ms);
      return;
    default:
      return;
    }
}

/* Removes JOB, whose end is in the log. It is freed at the next tick only, as a caller
   may still use it. */
void
job_remove (cb_sched_t *s, job_t *job)
{
  job_set_timer (s, job, 0);
  if (job->tag != 0)
    g_hash_table_remove (s->tags, GSIZE_TO_POINTER (job->tag));
  g_hash_table_remove (s->jobs, job->id);
  g_ptr_array_add (s->removed_jobs, job);
}

/* Frees JOB without removing it from any sequence or table. */
void
job_free (job_t *job)
{
  cb_msg_free (job->spec);
  g_ptr_array_free (job->preemptors, TRUE);
  g_ptr_array_free (job->preempted, TRUE);
  g_free (job->members);
  g_free (job->id);
  g_free (job);
}
