/* Limits the use of workers that recently failed or stalled runs, and tests with
   single tasks whether they have recovered. */
#include "batch/local.h"

#include <string.h>

/* A worker that failed a run is not used for QUARANTINE_MS. The time doubles with each
   further failure of a run that started after the previous failure, up to
   QUARANTINE_MAX_MS. Faulty workers fail all that they start within 0.2 s, for some
   seconds. */
#define QUARANTINE_MS 1000
#define QUARANTINE_MAX_MS 16000
/* A run that has made progress for this long restores the trust in its worker. */
#define PROBE_PASSED_MS 800
/* A worker that refuses a start as unhealthy is not used for REFUSED_PAUSE_MS. The time
   doubles with each further refusal, up to REFUSED_PAUSE_MAX_MS: unlike a failed run, a
   refused start costs no work. */
#define REFUSED_PAUSE_MS 500
#define REFUSED_PAUSE_MAX_MS 2000
/* At most one in UNTRUSTED_DIVISOR workers of a service, rounded to the nearest, is
   untrusted. Where more fail, the cause is the work. */
#define UNTRUSTED_DIVISOR 3
/* A gang fails as a whole, so a gang member may be the probe of a worker only from this
   long after the worker's quarantine; until then only other tasks may. */
#define GANG_PROBE_DELAY_MS 3000
/* A failed or rejected task avoids the worker for this long, if another trusted one can
   hold it. */
#define AVOID_FAILED_ON_MS 4000
/* A failed task that no trusted worker can hold tries an untrusted one after this
   time. */
#define UNTRUSTED_RETRY_MS 2000
/* A failed task for which no trusted worker has room may be the probe of a worker after
   this time, which doubles with each further failure, up to FAILED_PROBE_MAX_MS. */
#define FAILED_PROBE_MS 4000
#define FAILED_PROBE_MAX_MS 16000

/* Makes TASK avoid W for its next runs. */
static void
avoid_worker (task_t *task, const worker_t *w, cb_msec_t now_ms)
{
  const avoided_t avoided = { .worker = w, .since_ms = now_ms };

  if (task->avoided == NULL)
    task->avoided = g_array_new (FALSE, FALSE, sizeof (avoided_t));
  g_array_append_val (task->avoided, avoided);
  task->failed_ms = now_ms;
}

/* Lets TASK use any worker again. */
void
trust_forget_avoided (task_t *task)
{
  if (task->avoided != NULL)
    g_array_unref (task->avoided);
  task->avoided = NULL;
}

/* Lets TASK use the workers again that it has avoided for AVOID_FAILED_ON_MS. */
static void
expire_avoided (task_t *task, cb_msec_t now_ms)
{
  guint expired = 0;

  if (task->avoided == NULL)
    return;
  while (expired < task->avoided->len &&
         now_ms - g_array_index (task->avoided, avoided_t, expired).since_ms >=
             AVOID_FAILED_ON_MS)
    expired++;
  if (expired == task->avoided->len)
    trust_forget_avoided (task);
  else if (expired > 0)
    g_array_remove_range (task->avoided, 0, expired);
}

static gboolean
avoids (const task_t *task, const worker_t *w)
{
  for (guint i = 0; task->avoided != NULL && i < task->avoided->len; i++)
    if (g_array_index (task->avoided, avoided_t, i).worker == w)
      return TRUE;
  return FALSE;
}

/* Updates the trust in W after a failed run of TASK, which avoids W for its next
   runs. */
void
trust_run_failed (worker_t *w, task_t *task, cb_msec_t now_ms)
{
  cb_msec_t quarantine_ms;

  avoid_worker (task, w, now_ms);
  if (w->consecutive_failures == 0 || task->started_ms >= w->failed_ms)
    w->consecutive_failures++;
  w->failed_ms = now_ms;
  quarantine_ms = (cb_msec_t)QUARANTINE_MS << MIN (w->consecutive_failures - 1, 8);
  w->quarantine_until_ms =
      MAX (w->quarantine_until_ms, now_ms + MIN (quarantine_ms, QUARANTINE_MAX_MS));
}

/* Makes TASK avoid W, which rejected its start, for its next runs: the worker that
   seems to hold it best would otherwise be chosen each time. The trust in W stays.
   Members of a gang may need W, and where an advisor permits only some workers, a start
   is also rejected for an expired ticket: such tasks go on to use W. */
void
trust_start_rejected (const worker_t *w, task_t *task, cb_msec_t now_ms)
{
  if (task_step (task)->advised || task_spec (task)->gang)
    return;
  avoid_worker (task, w, now_ms);
}

/* Updates the trust in W, which has refused the start of TASK as unhealthy. */
void
trust_start_unhealthy (worker_t *w, const task_t *task, cb_msec_t now_ms)
{
  if (w->refusals == 0 || task->started_ms >= w->refused_ms)
    w->refusals++;
  w->refused_ms = now_ms;
  w->refused_until_ms =
      now_ms + MIN ((cb_msec_t)REFUSED_PAUSE_MS << MIN (w->refusals - 1, 8),
                    REFUSED_PAUSE_MAX_MS);
}

/* Restores the trust in W, which has accepted the start of TASK, if it had refused
   earlier ones as unhealthy. */
void
trust_start_accepted (worker_t *w, const task_t *task)
{
  if (task->started_ms > w->refused_ms)
    w->refusals = 0;
}

/* Restores the trust in W after a run that ended well or made progress. */
void
trust_restore (worker_t *w)
{
  w->consecutive_failures = 0;
  w->quarantine_until_ms = 0;
}

/* Updates the trust in W after a report of progress of TASK. */
void
trust_run_progress (worker_t *w, const task_t *task, cb_msec_t now_ms)
{
  if (w->consecutive_failures > 0 && task->percent > 0 &&
      task->started_ms > w->failed_ms && now_ms - task->started_ms >= PROBE_PASSED_MS)
    trust_restore (w);
}

static gint
compare_failures (gconstpointer a, gconstpointer b)
{
  const capacity_t *x = *(capacity_t *const *)a;
  const capacity_t *y = *(capacity_t *const *)b;

  if (x->worker->consecutive_failures != y->worker->consecutive_failures)
    return x->worker->consecutive_failures > y->worker->consecutive_failures ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

/* TRUE when one more worker of W's service may be untrusted. */
static gboolean
may_distrust (const GPtrArray *capacities, const worker_t *w)
{
  guint workers = 0;
  guint distrusted = 0;

  for (guint i = 0; i < capacities->len; i++)
    {
      const capacity_t *capacity = capacities->pdata[i];

      if (strcmp (capacity->worker->service, w->service) != 0)
        continue;
      workers++;
      distrusted += capacity->trust != TRUST_FULL;
    }
  return distrusted < (workers + 1) / UNTRUSTED_DIVISOR;
}

/* Limits the use of a worker that has refused starts as unhealthy, however many of its
   service do so: the cause is not the work. */
static void
limit_refusing (capacity_t *capacity, cb_msec_t now_ms)
{
  const worker_t *w = capacity->worker;

  if (w->refusals == 0)
    return;
  if (capacity->trust == TRUST_FULL)
    capacity->gang_probe = TRUE;
  capacity->gang_probe =
      capacity->gang_probe && now_ms >= w->refused_ms + GANG_PROBE_DELAY_MS;
  capacity->trust =
      MAX (capacity->trust, now_ms < w->refused_until_ms ? TRUST_NONE : TRUST_PROBE);
}

/* Sets the trust in each worker, which limits its new work. Without the limit a worker
   that fails all runs at once would be free most of the time and, on a full fleet, get
   all waiting work. */
void
trust_update (GPtrArray *capacities, cb_msec_t now_ms)
{
  GPtrArray *suspects = g_ptr_array_new ();

  for (guint i = 0; i < capacities->len; i++)
    {
      capacity_t *capacity = capacities->pdata[i];

      if (capacity->worker->consecutive_failures > 0 ||
          now_ms < capacity->worker->quarantine_until_ms)
        g_ptr_array_add (suspects, capacity);
    }
  g_ptr_array_sort (suspects, compare_failures);
  for (guint i = 0; i < suspects->len; i++)
    {
      capacity_t *capacity = suspects->pdata[i];

      if (may_distrust (capacities, capacity->worker))
        capacity->trust =
            now_ms < capacity->worker->quarantine_until_ms ? TRUST_NONE : TRUST_PROBE;
      capacity->gang_probe =
          now_ms >= capacity->worker->quarantine_until_ms + GANG_PROBE_DELAY_MS;
    }
  g_ptr_array_free (suspects, TRUE);
  for (guint i = 0; i < capacities->len; i++)
    limit_refusing (capacities->pdata[i], now_ms);
}

/* TRUE when W has a task that was started after its latest failure or refusal, or that
   is to start and is not in the log yet. */
static gboolean
is_probed (const worker_t *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED ||
          task->started_ms > MAX (w->failed_ms, w->refused_ms))
        return TRUE;
    }
  return FALSE;
}

/* Returns how long after its latest failure TASK may be the probe of a worker. */
static cb_msec_t
failed_probe_ms (const task_t *task)
{
  uint32_t doublings = MIN (MAX (task->failures, 1) - 1, 8);

  return MIN ((cb_msec_t)FAILED_PROBE_MS << doublings, FAILED_PROBE_MAX_MS);
}

/* Updates which workers TASK avoids, if it has failed or been rejected. It may use the
   workers of such runs again after AVOID_FAILED_ON_MS, or when no other trusted worker
   can hold it, and in that case untrusted ones after UNTRUSTED_RETRY_MS: it must not
   wait for other work to restore the trust. Where trusted workers could hold it but
   have no room, which may last for ever, it may become a probe later. */
void
trust_update_task (const GPtrArray *capacities, task_t *task, cb_msec_t now_ms)
{
  gboolean other = FALSE;
  gboolean room = FALSE;

  expire_avoided (task, now_ms);
  if (task->avoided == NULL && task->failures == 0)
    return;
  for (guint i = 0; i < capacities->len && !room; i++)
    {
      const capacity_t *capacity = capacities->pdata[i];

      if (avoids (task, capacity->worker) || capacity->trust != TRUST_FULL ||
          !worker_suits (capacity->worker, task) ||
          !worker_holds (capacity->worker, task_spec (task)))
        continue;
      other = TRUE;
      room = capacity_fits (capacity, task_spec (task));
    }
  if (!other)
    trust_forget_avoided (task);
  task->may_probe = !room && now_ms - task->failed_ms >= failed_probe_ms (task);
  task->uses_untrusted = !other && now_ms - task->failed_ms >= UNTRUSTED_RETRY_MS;
}

/* TRUE when the trust in the worker of CAPACITY allows TASK. A worker on probe gets one
   task at a time, none that has failed before unless no trusted worker has had room for
   it, and a gang member only with gang_probe. */
gboolean
trust_allows (const capacity_t *capacity, const task_t *task)
{
  if (avoids (task, capacity->worker))
    return FALSE;
  if (task->uses_untrusted)
    return TRUE;
  if (capacity->trust == TRUST_PROBE)
    return (task->failures == 0 || task->may_probe) && !is_probed (capacity->worker) &&
           (!task_spec (task)->gang || capacity->gang_probe);
  return capacity->trust == TRUST_FULL;
}
