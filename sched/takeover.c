#include "sched/local.h"

#include <string.h>

/* Agents that have not reported after this time count as down. One whose connection to
   the earlier scheduler is silent but open notices that after its heartbeat timeout of
   3 s and reports up to 4 s after the takeover; a gang of which only the other members
   are known by then would be stopped. */
#define REPORT_MS 5000
/* An agent whose home entry died gets no message until it has found another; it is
   asked again until it has reported, or its accelerators would never be used again. */
#define RESYNC_MS 500

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
find_job (const cb_sched_t *s, const Cb__Task *task)
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

static gboolean
room_for (const worker_t *w, const job_t *job, uint64_t mask)
{
  return (mask & ~w->all) == 0 && (mask & (w->used | w->claimed)) == 0 &&
         (uint32_t)__builtin_popcountll (mask) == job->spec->accelerators &&
         w->cores_used + w->cores_claimed + job->spec->cores <= w->cores &&
         w->memory_used + w->memory_claimed + job->spec->memory_gb <= w->memory_gb;
}

static void
drop_older_attempt (cb_sched_t *s, job_t *job, const Cb__Task *task)
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
task_lives (const Cb__Task *task)
{
  return task->state == CB__TASK_STATE__TASK_RESERVED ||
         task->state == CB__TASK_STATE__TASK_STARTING ||
         task->state == CB__TASK_STATE__TASK_RUNNING ||
         task->state == CB__TASK_STATE__TASK_STOPPING;
}

/* Takes a task that an earlier scheduler started into the job it belongs to. */
static void
adopt (cb_sched_t *s, job_t *job, worker_t *w, const Cb__Task *task)
{
  uint64_t mask = task_mask (task);
  member_t *m = &job->members[task->member];
  account_t *account = job->account;

  /* Attempts are numbered anew by a scheduler that does not know of earlier ones, so
     the epoch decides first. */
  if (task->epoch > job->epoch ||
      (task->epoch == job->epoch && task->attempt > job->attempt))
    drop_older_attempt (s, job, task);
  if (task->epoch != job->epoch)
    {
      if (task_lives (task))
        stop_task (s, w, task, task->attempt);
      return;
    }
  if (task->state == CB__TASK_STATE__TASK_DONE && task->attempt == job->attempt)
    {
      m->state = CB__TASK_STATE__TASK_DONE;
      job->run_ms = MAX (job->run_ms, task->run_ms);
    }
  if (!task_lives (task))
    return;
  if (task->attempt == job->attempt && m->worker == w)
    {
      m->state = task->state; /* a repeated report */
      return;
    }
  if (task->attempt < job->attempt || m->worker != NULL || !room_for (w, job, mask))
    {
      stop_task (s, w, task, task->attempt);
      return;
    }
  if (!job->borrow)
    pins_avoid (s, w, mask, account);
  member_take (s, job, task->member, w, mask, FALSE);
  pins_trim (s, w);
  m->state = task->state;
  if (task->state != CB__TASK_STATE__TASK_RESERVED)
    job->started_once = TRUE;
  /* What runs goes on, even above a quota. */
  if (account->quota > 0 && account->used > account->quota)
    account->over = account->used;
  if (account->quota_cores > 0 && account->cores > account->quota_cores)
    account->over_cores = account->cores;
}

/* Handles one task of an agent's full report. */
void
job_report (cb_sched_t *s, worker_t *w, const Cb__Task *task, cb_msec_t now)
{
  job_t *job = find_job (s, task);

  if (job != NULL && job->takeover && job->stage == STAGE_QUEUED &&
      task->member < job->spec->members)
    adopt (s, job, w, task);
  else if (job != NULL && task->attempt == job->attempt &&
           task->member < job->spec->members && job->members[task->member].worker == w)
    job_task (s, job, w, task, now);
  else if (task_lives (task))
    stop_task (s, w, task, task->attempt);
}

/* Handles a task report of an adopted member before the takeover is settled. JOB is
   still in the queue; ending it here would leave a freed job there. job_settle decides
   from the states of the members. */
void
takeover_task (cb_sched_t *s, job_t *job, const Cb__Task *task)
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

/* Decides on a job of an earlier epoch now that the reports are there. */
void
job_settle (cb_sched_t *s, job_t *job, cb_msec_t now)
{
  uint32_t live = 0, done = 0, running = 0;

  job->takeover = FALSE;
  if (job->stage != STAGE_QUEUED)
    return;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      const member_t *m = &job->members[i];

      done += m->worker == NULL && m->state == CB__TASK_STATE__TASK_DONE;
      running += m->worker != NULL && m->state == CB__TASK_STATE__TASK_RUNNING;
      live += m->worker != NULL && (m->state == CB__TASK_STATE__TASK_STARTING ||
                                    m->state == CB__TASK_STATE__TASK_RUNNING);
    }
  if (job->placed == 0 && done == 0 && !(job->once && job->started_once))
    {
      if (!job->cancel)
        return;
      queue_remove (s, job);
      job_end (s, job, CB__JOB_STATE__JOB_CANCELED, CB__REASON__CANCELED, now);
      return;
    }
  queue_remove (s, job);
  if (live + done == job->spec->members)
    {
      job->stage =
          running + done == job->spec->members ? STAGE_RUNNING : STAGE_STARTING;
      job->started_ms = now;
      if (job->stage == STAGE_STARTING)
        job_set_due (s, job, now + CB_GANG_LEASE_MS);
      for (uint32_t i = 0; i < job->spec->members; i++)
        if (job->members[i].worker != NULL)
          worker_index (s, job->members[i].worker);
      if (job->placed == 0)
        job_gone (s, job, now);
      else if (job->cancel)
        job_stop (s, job, CB__REASON__CANCELED, now);
      return;
    }
  if (job->once && job->started_once)
    {
      job->stop_ends = TRUE;
      job->end_state = CB__JOB_STATE__JOB_UNKNOWN;
    }
  job->stage = STAGE_STOPPING;
  job_stop (s, job,
            job->stop_ends ? CB__REASON__OUTCOME_UNKNOWN : CB__REASON__MEMBER_LOST,
            now);
}

static gint
compare_serial (gconstpointer a, gconstpointer b)
{
  const job_t *x = *(job_t *const *)a;
  const job_t *y = *(job_t *const *)b;

  return (x->serial > y->serial) - (x->serial < y->serial);
}

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

static void
forget_placement (cb_sched_t *s, job_t *job)
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
  g_ptr_array_set_size (job->waits_for, 0);
  g_ptr_array_set_size (job->preempting, 0);
  job->tag = 0;
  job->takeover = TRUE;
  job->retry_ms = 0;
  job->started_ms = 0;
  job_set_due (s, job, 0);
  if (job->stage != STAGE_QUEUED)
    queue_add (s, job);
}

/* Forgets all placements and asks the agents for theirs. With epoch 0 it only forgets.
 */
void
takeover_begin (cb_sched_t *s, cb_msec_t now)
{
  GPtrArray *jobs = all_jobs (s);

  g_hash_table_remove_all (s->tags);
  s->settled = FALSE;
  s->version++;
  s->epoch_ms = now;
  s->resync_ms = now + RESYNC_MS;
  for (uint32_t i = 0; i < jobs->len; i++)
    forget_placement (s, jobs->pdata[i]);
  for (uint32_t i = 0; i < jobs->len && s->epoch > 0; i++)
    {
      job_t *job = jobs->pdata[i];

      if (job->stage == STAGE_ENDED)
        job_end (s, job, job->end_state, job->reason, now);
    }
  g_ptr_array_free (jobs, TRUE);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      worker_t *w = s->workers->pdata[i];

      w->reported = FALSE;
      pins_leave_worker (s, w);
      worker_index (s, w);
      if (s->epoch > 0 && w->up)
        sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
    }
}

/* TRUE when no agent can run JOB for an earlier scheduler: the log has no start of work
   that may run only once, or the earlier scheduler was silent when JOB was submitted.
   One that is cut off and not dead may have started repeatable work in that time; its
   agent is told to stop when it reports. */
static gboolean
never_started (const cb_sched_t *s, const job_t *job)
{
  if (job->started_once || job->placed > 0)
    return FALSE;
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].state != CB__TASK_STATE__TASK_RESERVED)
      return FALSE;
  return job->once ||
         (s->lost_wall_ms > 0 && job->spec->submitted_ms > s->lost_wall_ms);
}

/* Urgent work that cannot run anywhere does not wait for agents that are silent: they
   would take longer than the time within which it is to start. */
static void
release_urgent (cb_sched_t *s)
{
  GSequenceIter *at = g_sequence_get_begin_iter (s->urgent);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      job_t *job = g_sequence_get (at);

      if (job->takeover && !job->cancel && never_started (s, job))
        job->takeover = FALSE;
    }
}

/* Ends the takeover once all agents that are up have reported, or the time is over. */
void
takeover_check (cb_sched_t *s, cb_msec_t now)
{
  GPtrArray *jobs;

  if (s->settled || s->epoch == 0 || s->fleet == NULL)
    return;
  release_urgent (s);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];

      if (w->in_fleet && w->up && !w->reported && now - s->epoch_ms < REPORT_MS)
        return;
    }
  s->settled = TRUE;
  s->version++;
  s->pins_dirty = TRUE;
  jobs = all_jobs (s);
  for (uint32_t i = 0; i < jobs->len; i++)
    job_settle (s, jobs->pdata[i], now);
  g_ptr_array_free (jobs, TRUE);
}

/* Asks the agents that are up and have not reported for their reports again. */
void
takeover_resync (cb_sched_t *s, cb_msec_t now)
{
  if (now < s->resync_ms)
    return;
  s->resync_ms = now + RESYNC_MS;
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];

      if (w->up && !w->reported)
        sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
    }
}
