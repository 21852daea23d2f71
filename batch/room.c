#include "batch/local.h"

#include <string.h>

/* A worker without a report for this long gets no new work; reports come twice a
   second. */
#define REPORT_FRESH_MS 1600
/* A step that is wider than one in STEP_SHARE of the fleet runs in waves; the platform
   counts its objective so. */
#define STEP_SHARE 4
/* Shares of all accelerators that are kept for urgent work: from all other work, and
   from the least urgent work. */
#define KEEP_FROM_OTHERS 0.3
#define KEEP_FROM_LAST 0.6
/* Scores of a worker, above what accelerators and cores add to them: where tasks that
   fill and tasks that serve would meet, away from the step's data, and one that is not
   trusted, each worse than all before. */
#define DISTURBED_SCORE 100
#define REMOTE_SCORE 1000
#define DISTRUSTED_SCORE 100000

static room_t *
room_new (worker_t *w)
{
  room_t *room = g_new0 (room_t, 1);

  room->worker = w;
  room->cpu_milli = w->cpu_milli;
  room->memory_mb = w->memory_mb;
  room->accelerators = w->accelerators;
  for (guint i = 0; i < w->tasks->len; i++)
    room_take (room, task_spec (w->tasks->pdata[i]));
  return room;
}

static gint
compare_rooms (gconstpointer a, gconstpointer b)
{
  const room_t *x = *(room_t *const *)a;
  const room_t *y = *(room_t *const *)b;

  return strcmp (x->worker->id, y->worker->id);
}

/* Returns the rooms of all workers that may get work now, sorted by name so that
   placement does not depend on hash order. Freed with g_ptr_array_free. */
GPtrArray *
rooms_new (cb_batch_t *b, cb_msec_t now_ms)
{
  GPtrArray *rooms = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (w->listed && !w->gone && !w->draining &&
          now_ms - w->report_ms < REPORT_FRESH_MS)
        g_ptr_array_add (rooms, room_new (w));
    }
  g_ptr_array_sort (rooms, compare_rooms);
  trust_rooms (rooms, now_ms);
  return rooms;
}

static gint
compare_free (gconstpointer a, gconstpointer b)
{
  const room_t *x = *(room_t *const *)a;
  const room_t *y = *(room_t *const *)b;

  if (x->accelerators != y->accelerators)
    return x->accelerators > y->accelerators ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

/* Accelerators of all rooms, and of them those that urgent work uses. */
static void
count_accelerators (const GPtrArray *rooms, double *total, double *urgent)
{
  *total = 0;
  *urgent = 0;
  for (guint i = 0; i < rooms->len; i++)
    {
      const worker_t *w = ((room_t *)rooms->pdata[i])->worker;

      *total += w->accelerators;
      for (guint k = 0; k < w->tasks->len; k++)
        {
          const task_t *task = w->tasks->pdata[k];

          if (task->job->spec->priority == 0)
            *urgent += task_spec (task)->accelerators;
        }
    }
}

/* Returns the share of all accelerators or of all cores that is in use, the larger. */
double
rooms_use (const GPtrArray *rooms)
{
  double accelerators = 0;
  double free_accelerators = 0;
  double cpu = 0;
  double free_cpu = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      const room_t *room = rooms->pdata[i];

      accelerators += room->worker->accelerators;
      free_accelerators += (double)room->accelerators;
      cpu += room->worker->cpu_milli;
      free_cpu += (double)room->cpu_milli;
    }
  return 1 - MIN (accelerators > 0 ? free_accelerators / accelerators : 1,
                  cpu > 0 ? free_cpu / cpu : 1);
}

/* Keeps the emptiest workers for urgent work that may come: it arrives in bursts, is
   late unless it starts at once, and often needs whole workers, while other work has
   time to wait. What urgent work uses already counts as kept. */
void
rooms_keep (GPtrArray *rooms)
{
  GPtrArray *order = g_ptr_array_new ();
  double total;
  double kept;

  count_accelerators (rooms, &total, &kept);
  for (guint i = 0; i < rooms->len; i++)
    if (((room_t *)rooms->pdata[i])->trust == TRUST_FULL)
      g_ptr_array_add (order, rooms->pdata[i]);
  g_ptr_array_sort (order, compare_free);
  for (guint i = 0; i < order->len && kept < KEEP_FROM_LAST * total; i++)
    {
      room_t *room = order->pdata[i];

      double accelerators = (double)MAX (0, room->accelerators);

      /* To the nearest whole worker. */
      if (kept + accelerators / 2 <= KEEP_FROM_OTHERS * total)
        room->kept = 1;
      else if (kept + accelerators / 2 <= KEEP_FROM_LAST * total)
        room->kept = 2;
      kept += accelerators;
    }
  g_ptr_array_free (order, TRUE);
}

gboolean
room_fits (const room_t *room, const Cb__BatchStep *step)
{
  return (step->fills || room->cpu_milli >= (int64_t)step->cpu_milli) &&
         room->memory_mb >= (int64_t)step->memory_mb &&
         room->accelerators >= (int64_t)step->accelerators;
}

void
room_take (room_t *room, const Cb__BatchStep *step)
{
  *(step->fills ? &room->fill_milli : &room->cpu_milli) -= step->cpu_milli;
  room->memory_mb -= step->memory_mb;
  room->accelerators -= step->accelerators;
}

void
room_give (room_t *room, const Cb__BatchStep *step)
{
  *(step->fills ? &room->fill_milli : &room->cpu_milli) += step->cpu_milli;
  room->memory_mb += step->memory_mb;
  room->accelerators += step->accelerators;
}

static uint32_t
tasks_of_step (const worker_t *w, const task_t *task)
{
  uint32_t count = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *other = w->tasks->pdata[i];

      count += other->job == task->job && other->occurrence == task->occurrence &&
               other->step == task->step;
    }
  return count;
}

/* TRUE when W is of the service and kind that TASK needs. */
gboolean
room_suits (const worker_t *w, const task_t *task)
{
  const Cb__BatchStep *step = task_spec (task);

  return strcmp (w->service, task->job->spec->service) == 0 &&
         (step->label[0] == '\0' ||
          g_strv_contains ((const char *const *)w->labels, step->label));
}

/* TRUE when the worker may run TASK, whatever its free room, after MORE tasks of the
   same step that are chosen for it. */
gboolean
room_allows (const room_t *room, const task_t *task, uint32_t more)
{
  const Cb__BatchStep *step = task_spec (task);
  const worker_t *w = room->worker;

  if (!room_suits (w, task) || !advice_allows (task, w))
    return FALSE;
  return step->per_worker_max == 0 ||
         tasks_of_step (w, task) + more < step->per_worker_max;
}

/* TRUE when STEP fills beside tasks that serve on W, or serves beside those that fill.
 */
static gboolean
is_disturbed (const worker_t *w, const Cb__BatchStep *step)
{
  if (!step->fills && step->target_ms == 0)
    return FALSE;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const Cb__BatchStep *other = task_spec (w->tasks->pdata[i]);

      if (step->fills ? other->target_ms > 0 : other->fills)
        return TRUE;
    }
  return FALSE;
}

/* Lower is better: away from its data last, then the fullest worker that still holds
   the task, by accelerators and then by cores, so that whole workers stay free. Work
   that fills uses what others leave: it goes to the worker with most unused cores. */
static double
room_score (const room_t *room, const Cb__BatchStep *step, gboolean trusted)
{
  const worker_t *w = room->worker;
  double free_share = (double)(room->cpu_milli - (int64_t)step->cpu_milli) /
                      (double)MAX (1, w->cpu_milli);
  double unused_share =
      (double)(room->cpu_milli + room->fill_milli) / (double)MAX (1, w->cpu_milli);
  double score = (double)(room->accelerators - (int64_t)step->accelerators) +
                 (step->fills ? -unused_share : free_share);

  if (is_disturbed (w, step))
    score += DISTURBED_SCORE;
  if (step->data_rack[0] != '\0' && strcmp (w->rack, step->data_rack) != 0)
    score += REMOTE_SCORE;
  if (!trusted)
    score += DISTRUSTED_SCORE;
  return score;
}

static room_t *
best_room (GPtrArray *rooms, const task_t *task, const char *rack, reach_t reach,
           room_t **chosen, uint32_t n_chosen)
{
  const Cb__BatchStep *step = task_spec (task);
  room_t *best = NULL;
  double best_score = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      room_t *room = rooms->pdata[i];
      uint32_t same = 0;
      double score;
      gboolean trusted = trust_allows (room, task);

      if ((!trusted && reach < REACH_ALL) || (reach < REACH_KEPT && room->kept > 0 &&
                                              task->job->spec->priority >= room->kept))
        continue;
      if ((rack != NULL && strcmp (room->worker->rack, rack) != 0) ||
          !room_fits (room, step))
        continue;
      for (uint32_t k = 0; step->per_worker_max > 0 && k < n_chosen; k++)
        same += chosen[k] == room;
      if (!room_allows (room, task, same))
        continue;
      score = room_score (room, step, trusted);
      if (best == NULL || score < best_score)
        {
          best = room;
          best_score = score;
        }
    }
  return best;
}

/* Chooses a room for each of COUNT tasks of one step, in RACK unless it is NULL, and
   takes it; of the rooms within REACH only. When not all fit, FALSE is returned and
   nothing is taken. */
gboolean
fit_group (GPtrArray *rooms, task_t **tasks, uint32_t count, const char *rack,
           reach_t reach, room_t **chosen)
{
  const Cb__BatchStep *step = task_spec (tasks[0]);

  for (uint32_t i = 0; i < count; i++)
    {
      chosen[i] = best_room (rooms, tasks[i], rack, reach, chosen, i);
      if (chosen[i] != NULL)
        {
          room_take (chosen[i], step);
          continue;
        }
      while (i > 0)
        room_give (chosen[--i], step);
      return FALSE;
    }
  return TRUE;
}

/* Returns how many tasks of STEP, at most LIMIT, an empty worker holds. */
static uint64_t
worker_holds (const worker_t *w, const Cb__BatchStep *step, uint64_t limit)
{
  uint64_t holds = limit;

  if (step->cpu_milli > 0)
    holds = MIN (holds, w->cpu_milli / step->cpu_milli);
  if (step->memory_mb > 0)
    holds = MIN (holds, w->memory_mb / step->memory_mb);
  if (step->accelerators > 0)
    holds = MIN (holds, w->accelerators / step->accelerators);
  if (step->per_worker_max > 0)
    holds = MIN (holds, step->per_worker_max);
  return holds;
}

/* Returns how many tasks of STEP the workers of RACK (NULL: all) would hold if they
   were empty; with TASK, one of the step, only those that the advisor allows. */
static uint64_t
rooms_hold (const GPtrArray *rooms, const char *rack, const Cb__BatchStep *step,
            const task_t *task)
{
  uint64_t holds = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      const worker_t *w = ((room_t *)rooms->pdata[i])->worker;

      if ((rack == NULL || strcmp (w->rack, rack) == 0) &&
          (task == NULL || advice_allows (task, w)))
        holds += worker_holds (w, step, step->count);
    }
  return holds;
}

/* Returns the rounds that a step takes in the share of the fleet that one step can
   expect. */
uint32_t
room_waves (const GPtrArray *rooms, const Cb__BatchStep *step)
{
  double share = (double)rooms_hold (rooms, NULL, step, NULL) / STEP_SHARE;

  if (share < 1)
    share = 1;
  return MAX (1, (uint32_t)((step->count + share - 1) / share));
}

/* As fit_group, for a step whose tasks may have to share a rack. They are spread over
   racks only when no rack could hold them even if it were empty. */
gboolean
fit_step (GPtrArray *rooms, task_t **tasks, uint32_t count, reach_t reach,
          room_t **chosen)
{
  const Cb__BatchStep *step = task_spec (tasks[0]);
  GHashTable *tried;
  gboolean possible = FALSE;
  gboolean found = FALSE;

  if (!step->same_rack || count < 2)
    return fit_group (rooms, tasks, count, NULL, reach, chosen);
  tried = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < rooms->len && !found; i++)
    {
      const char *rack = ((room_t *)rooms->pdata[i])->worker->rack;

      if (!g_hash_table_add (tried, (gpointer)rack))
        continue;
      possible = possible || rooms_hold (rooms, rack, step, tasks[0]) >= count;
      found = fit_group (rooms, tasks, count, rack, reach, chosen);
    }
  g_hash_table_unref (tried);
  return found || (!possible && !advice_open (rooms, tasks[0]) &&
                   fit_group (rooms, tasks, count, NULL, reach, chosen));
}
