/* Finds work that waits although the fleet has room, and why: for logs and metrics. */
#include "batch/local.h"

#include <string.h>

/* A job is looked at when none of its tasks has run for this long. */
#define IDLE_JOB_MS 2000
/* While more of the fleet is in use, a job may have to wait for its turn. */
#define ROOM_UTILIZATION 0.5
/* A search finds the reason for at most this many jobs. */
#define REASONS_MAX 16
/* Shortest time between two searches, and between two log lines. */
#define SEARCH_INTERVAL_MS 500
#define LOG_INTERVAL_MS 2000

static const char *const reason_names[] = {
  [CB_WAIT_NONE] = "none",
  [CB_WAIT_WORKER_SILENT] = "worker_silent",
  [CB_WAIT_WORKER_GONE] = "worker_gone",
  [CB_WAIT_NOT_LISTED] = "not_listed",
  [CB_WAIT_STOP] = "stop",
  [CB_WAIT_PROPOSED] = "proposed",
  [CB_WAIT_RETRY] = "retry",
  [CB_WAIT_GANG] = "gang",
  [CB_WAIT_ADVICE] = "advice",
  [CB_WAIT_NO_WORKER] = "no_worker",
  [CB_WAIT_NO_ROOM] = "no_room",
  [CB_WAIT_RACK] = "rack",
  [CB_WAIT_RESERVED] = "reserved",
  [CB_WAIT_UNTRUSTED] = "untrusted",
  [CB_WAIT_AWAITED] = "awaited",
  [CB_WAIT_EVACUATED] = "evacuated",
  [CB_WAIT_STARTS_HELD] = "starts_held",
  [CB_WAIT_HELD] = "held",
};

/* Returns the name of REASON in logs and metrics. */
const char *
cb_batch_wait_reason_name (cb_batch_wait_reason_t reason)
{
  return reason_names[reason];
}

/* TRUE when the worker of TASK has shown its run and still reports. */
static gboolean
is_live (const task_t *task)
{
  return task->state == TASK_STARTED && task->reported && task->worker->reporting &&
         !task->worker->terminated;
}

static gboolean
has_live_run (const job_t *job)
{
  if (job->open_runs == 0)
    return FALSE;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        const step_state_t *step = &job->occurrences[k].steps[i];

        for (uint32_t t = 0; step->started > 0 && t < step->count; t++)
          if (is_live (&step->tasks[t]))
            return TRUE;
      }
  return FALSE;
}

/* TRUE when a worker of CAPACITIES suits TASK and is large enough for it. */
static gboolean
has_worker (const GPtrArray *capacities, const task_t *task)
{
  for (guint i = 0; i < capacities->len; i++)
    {
      const worker_t *w = ((const capacity_t *)capacities->pdata[i])->worker;

      if (worker_suits (w, task) && worker_holds (w, task_spec (task)))
        return TRUE;
    }
  return FALSE;
}

/* TRUE when a worker in an evacuated zone suits TASK and is large enough for it. */
static gboolean
has_evacuated_worker (const cb_batch_t *b, const task_t *task)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;

      if (w->reporting && !w->terminated && is_evacuated (b, w) &&
          worker_suits (w, task) && worker_holds (w, task_spec (task)))
        return TRUE;
    }
  return FALSE;
}

/* Returns why TASK, or its gang, is not placed in the free capacity. */
static cb_batch_wait_reason_t
reason_of_placement (pass_t *pass, task_t *task)
{
  const Cb__BatchStep *spec = task_spec (task);
  step_state_t *step = task_step (task);
  uint32_t count = spec->gang ? step->count : 1;
  scope_t scope = prefers_one_rack (spec, count) ? SCOPE_RACK : SCOPE_FLEET;
  task_t **tasks = g_new0 (task_t *, count);
  cb_batch_wait_reason_t reason = CB_WAIT_NO_ROOM;

  for (uint32_t i = 0; i < count; i++)
    tasks[i] = spec->gang ? &step->tasks[i] : task;
  if (has_room (pass, tasks, count, REACH_SHARED, scope, 1))
    reason = CB_WAIT_HELD;
  else if (has_room (pass, tasks, count, REACH_RESERVED, scope, 1))
    reason = CB_WAIT_RESERVED;
  else if (has_room (pass, tasks, count, REACH_ALL, scope, 1))
    reason = CB_WAIT_UNTRUSTED;
  else if (scope == SCOPE_RACK &&
           has_room (pass, tasks, count, REACH_ALL, SCOPE_FLEET, 1))
    reason = CB_WAIT_RACK;
  else if (has_room (pass, tasks, count, REACH_AWAITED, SCOPE_FLEET, 1))
    reason = CB_WAIT_AWAITED;
  g_free (tasks);
  return reason;
}

static cb_batch_wait_reason_t
reason_of_started (const task_t *task)
{
  const worker_t *w = task->worker;

  if (w->terminated)
    return CB_WAIT_WORKER_GONE;
  if (!w->reporting)
    return CB_WAIT_WORKER_SILENT;
  return task->stop_requested ? CB_WAIT_STOP : CB_WAIT_NOT_LISTED;
}

static cb_batch_wait_reason_t
reason_of (pass_t *pass, task_t *task)
{
  if (task->state == TASK_STARTED)
    return reason_of_started (task);
  if (task->proposed_start)
    return CB_WAIT_PROPOSED;
  if (pass->b->starts_held)
    return CB_WAIT_STARTS_HELD;
  if (pass->now_ms < task->not_before_ms)
    return CB_WAIT_RETRY;
  if (task_spec (task)->gang && task_step (task)->waiting < task_step (task)->count)
    return CB_WAIT_GANG;
  if (task_step (task)->advised)
    return CB_WAIT_ADVICE;
  if (has_worker (pass->capacities, task))
    return reason_of_placement (pass, task);
  return has_evacuated_worker (pass->b, task) ? CB_WAIT_EVACUATED : CB_WAIT_NO_WORKER;
}

/* Returns a task of JOB whose step is ready and that is neither done nor failed; NULL:
   there is none. Prefers one that counts as started, as others may wait for it. */
static task_t *
stuck_task (const job_t *job, cb_msec_t wall_ms)
{
  task_t *waiting = NULL;

  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (uint32_t i = 0; i < job->spec->n_steps; i++)
      {
        const step_state_t *step = &job->occurrences[k].steps[i];

        if (step->waiting + step->started == 0 || !step_ready (job, k, i, wall_ms))
          continue;
        for (uint32_t t = 0; t < step->count; t++)
          if (step->tasks[t].state == TASK_STARTED)
            return &step->tasks[t];
          else if (waiting == NULL && step->tasks[t].state == TASK_WAITING)
            waiting = &step->tasks[t];
      }
  return waiting;
}

static void
fill_wait (const pass_t *pass, const task_t *task, cb_batch_wait_t *wait)
{
  const worker_t *w = task->state == TASK_STARTED ? task->worker : NULL;

  g_snprintf (wait->task, sizeof wait->task, "%u.%u.%u", task->occurrence, task->step,
              task->index);
  wait->run = task->run;
  wait->lease_left_ms = w == NULL       ? 0
                        : w->terminated ? last_run_end_ms (w) - pass->now_ms
                                        : w->lease_end_ms - pass->now_ms;
  g_strlcpy (wait->job, task->job->spec->id, sizeof wait->job);
  g_strlcpy (wait->worker, w == NULL ? "" : w->id, sizeof wait->worker);
}

/* Counts the workers by what this scheduler believes of them. */
static void
count_workers (const pass_t *pass, cb_batch_wait_t *wait)
{
  GHashTableIter iter;
  gpointer value;

  wait->workers_usable = pass->capacities->len;
  wait->workers_evacuated = evacuated_workers (pass->b);
  g_hash_table_iter_init (&iter, pass->b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;

      wait->workers_gone += w->terminated;
      wait->workers_silent += !w->terminated && !w->reporting;
      wait->workers_draining += !w->terminated && w->reporting && w->draining;
      wait->workers_partial += !w->terminated && w->ended_partial;
    }
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      const capacity_t *capacity = pass->capacities->pdata[i];

      wait->workers_untrusted += capacity->trust != TRUST_FULL;
      wait->workers_cold += capacity->cold;
    }
}

static void
log_wait (cb_batch_t *b, const cb_batch_wait_t *wait, cb_msec_t now_ms)
{
  if (wait->reason == CB_WAIT_NONE || now_ms - b->wait_logged_ms < LOG_INTERVAL_MS)
    return;
  b->wait_logged_ms = now_ms;
  cb_event_unlimited (
      CB_LOG_WARN, "batch", "job_idle",
      "job=%s task=%s run=%u idle_ms=%" PRId64 " why=%s worker=%s "
      "lease_left_ms=%" PRId64 " idle_jobs=%u usable=%u silent=%u gone=%u "
      "draining=%u evacuated=%u partial=%u untrusted=%u epoch=%" PRIu64,
      wait->job, wait->task, wait->run, wait->idle_ms,
      cb_batch_wait_reason_name (wait->reason), wait->worker, wait->lease_left_ms,
      wait->jobs, wait->workers_usable, wait->workers_silent, wait->workers_gone,
      wait->workers_draining, wait->workers_evacuated, wait->workers_partial,
      wait->workers_untrusted, b->own_epoch);
}

/* Notes in WAIT that TASK has waited for IDLE_MS, if that is more important to know
   than what WAIT has: a job that lacks room must not hide one that has room, and of two
   such jobs the one counts that has been idle longest. REASONS_LEFT: how many more
   reasons the search may find. Returns TRUE when it is noted. */
static gboolean
note_wait (pass_t *pass, task_t *task, cb_msec_t idle_ms, cb_batch_wait_t *wait,
           uint32_t *reasons_left)
{
  gboolean longer = idle_ms > wait->idle_ms;
  gboolean lacks_room = wait->reason == CB_WAIT_NO_ROOM;
  cb_batch_wait_reason_t reason;

  if ((!longer && !lacks_room) || *reasons_left == 0)
    return FALSE;
  --*reasons_left;
  reason = reason_of (pass, task);
  if (reason == CB_WAIT_NO_ROOM && wait->reason != CB_WAIT_NONE &&
      !(lacks_room && longer))
    return FALSE;
  wait->reason = reason;
  wait->idle_ms = idle_ms;
  return TRUE;
}

/* Looks for open jobs of which no task runs although one may and less than half of the
   fleet is in use. Keeps one for cb_batch_wait, see note_wait, and logs it. */
void
find_waits (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  task_t *stuck = NULL;
  uint32_t reasons_left = REASONS_MAX;
  pass_t *pass;
  gboolean room;

  if (now_ms - b->waits_searched_ms < SEARCH_INTERVAL_MS)
    return;
  b->waits_searched_ms = now_ms;
  memset (&b->wait, 0, sizeof b->wait);
  pass = pass_new (b, now_ms);
  count_workers (pass, &b->wait);
  room = fleet_utilization (pass->capacities) < ROOM_UTILIZATION;
  reserve_for_urgent (pass->capacities);
  deduct_awaited (pass);
  for (GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;
      task_t *task;

      if (!job_open (job))
        continue;
      task = !room || has_live_run (job) ? NULL : stuck_task (job, wall_ms);
      if (task == NULL)
        job->stuck_since_ms = now_ms;
      else if (job->stuck_since_ms == 0)
        job->stuck_since_ms = MAX (job->applied_ms, b->scheduler_since_ms);
      if (now_ms - job->stuck_since_ms < IDLE_JOB_MS)
        continue;
      b->wait.jobs++;
      if (note_wait (pass, task, now_ms - job->stuck_since_ms, &b->wait, &reasons_left))
        stuck = task;
    }
  if (stuck != NULL)
    fill_wait (pass, stuck, &b->wait);
  pass_free (pass);
  log_wait (b, &b->wait, now_ms);
}

/* Returns what the scheduler's latest search has found; all zero in other processes. */
cb_batch_wait_t
cb_batch_wait (const cb_batch_t *b)
{
  cb_batch_wait_t none = { 0 };

  return b->own_epoch == 0 ? none : b->wait;
}
