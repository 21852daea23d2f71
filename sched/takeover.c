/* Takeover of the cell from an earlier scheduler: the jobs come from the log, the tasks
   that run from full reports of the agents. Until an agent has reported, nothing is
   placed on it; jobs that may already run stay unresolved until all have. */
#include "sched/local.h"

#include <string.h>

/* Agents that have not reported this long after the epoch began are not waited for. An
   agent that is still connected to an earlier scheduler that sends nothing notices this
   after its heartbeat timeout of 3 s and reports up to 4 s after the takeover. With a
   shorter time, a gang of which only the other members have been reported would be
   stopped. */
#define REPORT_TIMEOUT_MS 5000
/* An agent whose home entry has terminated receives no message until it has found
   another. It is asked again until it has reported, or its accelerators would stay
   unused. */
#define RESYNC_INTERVAL_MS 500

/* Returns the mask of the accelerators of TASK. */
uint64_t
task_mask (const Cb__Task *task)
{
  uint64_t mask = 0;

  for (size_t i = 0; i < task->n_accelerators; i++)
    if (task->accelerators[i] < 64)
      mask |= UINT64_C (1) << task->accelerators[i];
  return mask;
}

static job_t *
find_task_job (const cb_sched_t *s, const Cb__Task *task)
{
  char *id = g_strconcat (task->account, "\n", task->job_key, NULL);
  job_t *job = g_hash_table_lookup (s->jobs, id);

  g_free (id);
  return job;
}

static void
stop_task (cb_sched_t *s, const worker_t *w, const Cb__Task *task, uint32_t attempt)
{
  Cb__Stop *stop = sched_send (s, w->name, CB__ENVELOPE__BODY_STOP)->stop;

  cb_msg_set_string (&stop->job_key, task->job_key);
  cb_msg_set_string (&stop->account, task->account);
  stop->attempt = attempt;
  stop->reason = CB__REASON__MEMBER_LOST;
}

/* TRUE when a member of JOB with the accelerators MASK fits on W beside what is placed
   there. */
static gboolean
fits_on_worker (const worker_t *w, const job_t *job, uint64_t mask)
{
  return w->in_fleet && (mask & ~w->installed) == 0 &&
         (mask & (w->used | w->pending)) == 0 &&
         (uint32_t)__builtin_popcountll (mask) == job->spec->accelerators &&
         w->cores_used + w->cores_pending + job->spec->cores <= w->cores &&
         w->memory_used_gb + w->memory_pending_gb + job->spec->memory_gb <=
             w->memory_gb;
}

/* Releases and stops all adopted members of JOB: TASK belongs to a newer attempt, which
   JOB has from now on. */
static void
stop_older_attempt (cb_sched_t *s, job_t *job, const Cb__Task *task)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      worker_t *w = job->members[i].worker;

      job->members[i].state = CB__TASK_STATE__TASK_RESERVED;
      if (w == NULL)
        continue;
      stop_task (s, w, task, job->attempt);
      member_release (s, job, i);
    }
  job->attempt = task->attempt;
  job->epoch = task->epoch;
}

static gboolean
task_is_active (const Cb__Task *task)
{
  return task->state == CB__TASK_STATE__TASK_RESERVED ||
         task->state == CB__TASK_STATE__TASK_STARTING ||
         task->state == CB__TASK_STATE__TASK_RUNNING ||
         task->state == CB__TASK_STATE__TASK_STOPPING;
}

/* Assigns a task that an earlier scheduler reserved or started to its job. Stops it
   when it belongs to an older epoch or attempt, does not fit, or its member already has
   a worker. Of a task that has ended, only records a success. */
static void
adopt_task (cb_sched_t *s, job_t *job, worker_t *w, const Cb__Task *task)
{
  uint64_t mask = task_mask (task);
  member_t *m = &job->members[task->member];
  account_t *account = job->account;

  /* A scheduler that has no record of earlier attempts numbers them from 1 again, so
     that the epoch decides first. */
  if (task->epoch > job->epoch ||
      (task->epoch == job->epoch && task->attempt > job->attempt))
    stop_older_attempt (s, job, task);
  if (task->epoch != job->epoch)
    {
      if (task_is_active (task))
        stop_task (s, w, task, task->attempt);
      return;
    }
  if (task->state == CB__TASK_STATE__TASK_DONE && task->attempt == job->attempt)
    {
      m->state = CB__TASK_STATE__TASK_DONE;
      job->run_ms = MAX (job->run_ms, task->run_ms);
    }
  if (!task_is_active (task))
    return;
  if (task->attempt == job->attempt && m->worker == w)
    {
      m->state = task->state; /* a repeated report */
      return;
    }
  if (task->attempt < job->attempt || m->worker != NULL ||
      !fits_on_worker (w, job, mask))
    {
      stop_task (s, w, task, task->attempt);
      return;
    }
  if (!job->can_borrow)
    pins_release_mask (s, w, mask, account);
  member_assign (s, job, task->member, w, mask, FALSE);
  pins_trim (s, w);
  m->state = task->state;
  if (task->state != CB__TASK_STATE__TASK_RESERVED)
    job->started_once = TRUE;
  /* A task that runs is not stopped for the quota. */
  if (account->quota > 0 && account->accelerators_used > account->quota)
    account->exempt_accelerators = account->accelerators_used;
  if (account->quota_cores > 0 && account->cores_used > account->quota_cores)
    account->exempt_cores = account->cores_used;
}

/* Handles one task of an agent's full report: adopts it while its job is unresolved,
   updates the member that this scheduler placed on W, and stops any other task. */
void
report_handle_task (cb_sched_t *s, worker_t *w, const Cb__Task *task, cb_msec_t now_ms)
{
  job_t *job = find_task_job (s, task);

  if (job != NULL && job->unresolved && job->stage == STAGE_QUEUED &&
      task->member < job->spec->members)
    adopt_task (s, job, w, task);
  else if (job != NULL && task->attempt == job->attempt &&
           task->member < job->spec->members && job->members[task->member].worker == w)
    job_handle_task (s, job, w, task, now_ms);
  else if (task_is_active (task))
    stop_task (s, w, task, task->attempt);
}

/* Handles a task report of an adopted member before the takeover is done. JOB is still
   in the queue; ending it here would leave a freed job in the queue. job_resolve
   decides from the states of the members. */
void
takeover_handle_task (cb_sched_t *s, job_t *job, const Cb__Task *task)
{
  member_t *m = &job->members[task->member];

  if (task->state != CB__TASK_STATE__TASK_RUNNING &&
      task->state != CB__TASK_STATE__TASK_DONE &&
      task->state != CB__TASK_STATE__TASK_FAILED &&
      task->state != CB__TASK_STATE__TASK_STOPPED)
    return;
  m->state = task->state;
  if (task->state == CB__TASK_STATE__TASK_RUNNING)
    return;
  if (task->state == CB__TASK_STATE__TASK_DONE)
    job->run_ms = MAX (job->run_ms, task->run_ms);
  member_release (s, job, task->member);
}

/* Resolves a job of an earlier epoch when the agents have reported: it continues when
   all members start, run or have succeeded, is stopped when only some do, and is
   otherwise queued. A stopped job that is not repeatable ends as JOB_UNKNOWN. */
void
job_resolve (cb_sched_t *s, job_t *job, cb_msec_t now_ms)
{
  uint32_t active = 0, done = 0, running = 0;

  job->unresolved = FALSE;
  if (job->stage != STAGE_QUEUED)
    return;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      const member_t *m = &job->members[i];

      done += m->worker == NULL && m->state == CB__TASK_STATE__TASK_DONE;
      running += m->worker != NULL && m->state == CB__TASK_STATE__TASK_RUNNING;
      active += m->worker != NULL && (m->state == CB__TASK_STATE__TASK_STARTING ||
                                      m->state == CB__TASK_STATE__TASK_RUNNING);
    }
  if (job->placed_count == 0 && done == 0 &&
      !(job->not_repeatable && job->started_once))
    {
      if (!job->cancel)
        return;
      queue_remove (s, job);
      job_append_end (s, job, CB__JOB_STATE__JOB_CANCELED, CB__REASON__CANCELED,
                      now_ms);
      return;
    }
  queue_remove (s, job);
  if (active + done == job->spec->members)
    {
      job->stage =
          running + done == job->spec->members ? STAGE_RUNNING : STAGE_STARTING;
      job->started_ms = now_ms;
      if (job->stage == STAGE_STARTING)
        job_set_timer (s, job, now_ms + CB_GANG_LEASE_MS);
      for (uint32_t i = 0; i < job->spec->members; i++)
        if (job->members[i].worker != NULL)
          worker_update_index (s, job->members[i].worker);
      if (job->placed_count == 0)
        job_attempt_ended (s, job, now_ms);
      else if (job->cancel)
        job_stop (s, job, CB__REASON__CANCELED, now_ms);
      return;
    }
  if (job->not_repeatable && job->started_once)
    {
      job->end_when_stopped = TRUE;
      job->end_state = CB__JOB_STATE__JOB_UNKNOWN;
    }
  job->stage = STAGE_STOPPING;
  job_stop (s, job,
            job->end_when_stopped ? CB__REASON__OUTCOME_UNKNOWN
                                  : CB__REASON__MEMBER_LOST,
            now_ms);
}

static gint
compare_serial (gconstpointer a, gconstpointer b)
{
  const job_t *x = *(job_t *const *)a;
  const job_t *y = *(job_t *const *)b;

  return (x->serial > y->serial) - (x->serial < y->serial);
}

/* Returns all jobs in the order in which they were added. The caller frees the
   array. */
static GPtrArray *
all_jobs (const cb_sched_t *s)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_ptr_array_add (list, value);
  g_ptr_array_sort (list, compare_serial);
  return list;
}

/* Releases all members of JOB and queues it as unresolved, unless it has ended. */
static void
clear_job_placement (cb_sched_t *s, job_t *job)
{
  if (job->stage == STAGE_ENDED)
    return;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      member_release (s, job, i);
      job->members[i].state = CB__TASK_STATE__TASK_RESERVED;
    }
  if (job->pin != NULL)
    job->pin->holder = NULL;
  job->pin = NULL;
  g_ptr_array_set_size (job->preempted, 0);
  g_ptr_array_set_size (job->preemptors, 0);
  job->tag = 0;
  job->unresolved = TRUE;
  job->retry_ms = 0;
  job->started_ms = 0;
  job_set_timer (s, job, 0);
  if (job->stage != STAGE_QUEUED)
    queue_add (s, job);
}

/* Clears all placements. When this process schedules, also appends the ends of jobs
   that the log does not hold yet, and asks the agents for full reports. */
void
takeover_begin (cb_sched_t *s, cb_msec_t now_ms)
{
  GPtrArray *jobs = all_jobs (s);

  g_hash_table_remove_all (s->tags);
  s->takeover_done = FALSE;
  s->version++;
  s->epoch_ms = now_ms;
  s->resync_ms = now_ms + RESYNC_INTERVAL_MS;
  for (uint32_t i = 0; i < jobs->len; i++)
    clear_job_placement (s, jobs->pdata[i]);
  for (uint32_t i = 0; i < jobs->len && s->epoch > 0; i++)
    {
      job_t *job = jobs->pdata[i];

      if (job->stage == STAGE_ENDED)
        job_append_end (s, job, job->end_state, job->reason, now_ms);
    }
  g_ptr_array_free (jobs, TRUE);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      worker_t *w = s->workers->pdata[i];

      w->reported = FALSE;
      pins_release_worker (s, w);
      worker_update_index (s, w);
      if (s->epoch > 0 && w->up)
        sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
    }
}

/* TRUE when no agent runs JOB for an earlier scheduler: the log has no start of a job
   that is not repeatable, or the earlier scheduler was silent when JOB was submitted. A
   scheduler that was disconnected and not terminated may have started a repeatable job
   in that time; its agent is told to stop that job when it reports. */
static gboolean
never_started (const cb_sched_t *s, const job_t *job)
{
  if (job->started_once || job->placed_count > 0)
    return FALSE;
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].state != CB__TASK_STATE__TASK_RESERVED)
      return FALSE;
  return job->not_repeatable || (s->predecessor_lost_wall_ms > 0 &&
                                 job->spec->submitted_ms > s->predecessor_lost_wall_ms);
}

/* Lets urgent work that runs nowhere be placed without the reports of silent agents:
   the wait for these is longer than the time within which urgent work must start. */
static void
resolve_unstarted_urgent (cb_sched_t *s)
{
  GSequenceIter *at = g_sequence_get_begin_iter (s->urgent);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      job_t *job = g_sequence_get (at);

      if (job->unresolved && !job->cancel && never_started (s, job))
        job->unresolved = FALSE;
    }
}

/* Ends the takeover and resolves all jobs when all agents that are up have reported, or
   after REPORT_TIMEOUT_MS. */
void
takeover_end_if_ready (cb_sched_t *s, cb_msec_t now_ms)
{
  GPtrArray *jobs;

  if (s->takeover_done || s->epoch == 0 || s->fleet == NULL)
    return;
  resolve_unstarted_urgent (s);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];

      if (w->in_fleet && w->up && !w->reported &&
          now_ms - s->epoch_ms < REPORT_TIMEOUT_MS)
        return;
    }
  s->takeover_done = TRUE;
  s->version++;
  s->pins_dirty = TRUE;
  jobs = all_jobs (s);
  for (uint32_t i = 0; i < jobs->len; i++)
    job_resolve (s, jobs->pdata[i], now_ms);
  g_ptr_array_free (jobs, TRUE);
}

/* Asks the agents that are up and have not reported for their reports again. */
void
takeover_resync (cb_sched_t *s, cb_msec_t now_ms)
{
  if (now_ms < s->resync_ms)
    return;
  s->resync_ms = now_ms + RESYNC_INTERVAL_MS;
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];

      if (w->up && !w->reported)
        sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
    }
}
