#include "batch/local.h"

#include <string.h>

/* A worker that failed a run is set aside for this long in ms. It is doubled with each
   further failure of a run that started after the one before had failed, up to the cap:
   workers that fail all that they start do so within 0.2 s, for some seconds. */
#define ASIDE_MS 1000
#define ASIDE_CAP_MS 16000
/* A run that has made progress for this long in ms shows that its worker is sound. */
#define SOUND_MS 800
/* At most one in so many workers of a service is not trusted, rounded to the nearest.
   Where more fail, the work does. */
#define ASIDE_SHARE 3
/* A gang, which fails as a whole, is tried on a worker that could not be tried with
   less for this long in ms. */
#define GANG_PROBE_MS 3000
/* A failed task goes to another worker for this long in ms, if there is one. */
#define FAILED_ON_MS 4000

/* Takes note that a run of TASK has failed on W: less of its work goes there, and none
   of the task's next runs. */
void
trust_failed (worker_t *w, task_t *task, cb_msec_t now_ms)
{
  cb_msec_t aside_ms;

  task->failed_on = w;
  task->failed_ms = now_ms;
  if (w->failures_in_row == 0 || task->started_ms >= w->failed_ms)
    w->failures_in_row++;
  w->failed_ms = now_ms;
  aside_ms = (cb_msec_t)ASIDE_MS << MIN (w->failures_in_row - 1, 8);
  w->aside_until_ms = MAX (w->aside_until_ms, now_ms + MIN (aside_ms, ASIDE_CAP_MS));
}

/* Takes note that a run has ended well on W. */
void
trust_done (worker_t *w)
{
  w->failures_in_row = 0;
  w->aside_until_ms = 0;
}

/* Takes note that a report showed progress of TASK on W. */
void
trust_progress (worker_t *w, const task_t *task, cb_msec_t now_ms)
{
  if (w->failures_in_row > 0 && task->percent > 0 && task->started_ms > w->failed_ms &&
      now_ms - task->started_ms >= SOUND_MS)
    trust_done (w);
}

static gint
compare_failures (gconstpointer a, gconstpointer b)
{
  const room_t *x = *(room_t *const *)a;
  const room_t *y = *(room_t *const *)b;

  if (x->worker->failures_in_row != y->worker->failures_in_row)
    return x->worker->failures_in_row > y->worker->failures_in_row ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

/* TRUE while not too many workers of W's service are set aside. */
static gboolean
may_set_aside (const GPtrArray *rooms, const worker_t *w)
{
  guint workers = 0;
  guint aside = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      const room_t *room = rooms->pdata[i];

      if (strcmp (room->worker->service, w->service) != 0)
        continue;
      workers++;
      aside += room->trust != TRUST_FULL;
    }
  return aside < (workers + 1) / ASIDE_SHARE;
}

/* Sets how far each worker is trusted. A worker that fails everything at once is always
   empty: on a full fleet it would get all work that waits. */
void
trust_rooms (GPtrArray *rooms, cb_msec_t now_ms)
{
  GPtrArray *suspects = g_ptr_array_new ();

  for (guint i = 0; i < rooms->len; i++)
    {
      room_t *room = rooms->pdata[i];

      if (room->worker->failures_in_row > 0 || now_ms < room->worker->aside_until_ms)
        g_ptr_array_add (suspects, room);
    }
  g_ptr_array_sort (suspects, compare_failures);
  for (guint i = 0; i < suspects->len; i++)
    {
      room_t *room = suspects->pdata[i];

      if (may_set_aside (rooms, room->worker))
        room->trust = now_ms < room->worker->aside_until_ms ? TRUST_NONE : TRUST_PROBE;
      room->gang_probe = now_ms >= room->worker->aside_until_ms + GANG_PROBE_MS;
    }
  g_ptr_array_free (suspects, TRUE);
}

/* TRUE when W runs something that started after its latest failure. */
static gboolean
is_probed (const worker_t *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED || task->started_ms > w->failed_ms)
        return TRUE;
    }
  return FALSE;
}

/* Lets a failed TASK use the worker on which it failed again: after a while, or when
   there is no other for it. */
void
trust_forget (const GPtrArray *rooms, task_t *task, cb_msec_t now_ms)
{
  gboolean other = FALSE;

  for (guint i = 0; task->failed_on != NULL && i < rooms->len && !other; i++)
    {
      const room_t *room = rooms->pdata[i];

      other = room->worker != task->failed_on && room->trust == TRUST_FULL &&
              room_suits (room->worker, task);
    }
  if (!other || now_ms - task->failed_ms >= FAILED_ON_MS)
    task->failed_on = NULL;
}

/* TRUE when TASK may be put into ROOM by what has failed so far. A worker that may have
   become sound again is tried with a single task that has not failed yet. */
gboolean
trust_allows (const room_t *room, const task_t *task)
{
  if (task->failed_on == room->worker)
    return FALSE;
  if (room->trust == TRUST_PROBE)
    return task->failures == 0 && !is_probed (room->worker) &&
           (!task_spec (task)->gang || room->gang_probe);
  return room->trust == TRUST_FULL;
}
