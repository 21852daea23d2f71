/* Free capacity of the workers in a placement pass, and the choice of workers for
   tasks. */
#include "batch/local.h"

#include <float.h>
#include <string.h>

/* The share of the fleet that one step can expect is 1 / STEP_FLEET_DIVISOR. A step
   with more tasks than that share holds runs in several rounds (waves), as the platform
   assumes in its objective. */
#define STEP_FLEET_DIVISOR 4
/* Shares of all accelerators that are reserved for urgent work: the first share is
   closed to priority 1 and all less urgent work, which has larger numbers, the rest of
   the second to priority 2 and all less urgent work. */
#define RESERVE_FROM_PRIORITY_1 0.3
#define RESERVE_FROM_PRIORITY_2 0.6
/* Penalties added to the score of a worker, each larger than the rest of the score
   together: filler and serving tasks would share the worker; its report is overdue, so
   that it may be lost; it is not in the rack of the step's data; the room is reserved
   for tasks that wait; the worker is not trusted. */
#define INTERFERENCE_PENALTY 100
#define OVERDUE_PENALTY 400
#define REMOTE_PENALTY 1000
#define AWAITED_PENALTY 10000
#define UNTRUSTED_PENALTY 100000
/* A task uses room reserved for others only if it would end before them also when it
   takes this many times as long as expected. */
#define BACKFILL_FACTOR 2
/* Where slow workers are known, the free cores count with this weight, and this penalty
   is added for a slow worker or, for work with time to spare, for another one. Together
   they stay below one accelerator, so that whole workers stay free. */
#define FREE_SHARE_WEIGHT 0.5
#define SPEED_PENALTY 0.4

static capacity_t *
capacity_new (const cb_batch_t *b, worker_t *w)
{
  capacity_t *capacity = g_new0 (capacity_t, 1);

  capacity->worker = w;
  capacity->cpu_milli = w->cpu_milli - w->load.cpu_milli;
  capacity->filler_cpu_milli = -w->load.filler_cpu_milli;
  capacity->memory_mb = w->memory_mb - w->load.memory_mb;
  capacity->accelerators = w->accelerators - w->load.accelerators;
  capacity->slowness = worker_slowness (b, w);
  w->capacity = capacity;
  w->kinds_known = FALSE;
  return capacity;
}

/* Discards the orders of the worker's tasks, which have changed. */
void
capacity_forget_order (capacity_t *capacity)
{
  if (capacity->by_stop_cost != NULL)
    g_array_unref (capacity->by_stop_cost);
  if (capacity->by_end != NULL)
    g_array_unref (capacity->by_end);
  capacity->by_stop_cost = NULL;
  capacity->by_end = NULL;
}

static void
free_capacity (void *ptr)
{
  capacity_t *capacity = ptr;

  capacity->worker->capacity = NULL;
  capacity_forget_order (capacity);
  g_free (capacity);
}

static void
free_rack (void *ptr)
{
  g_ptr_array_free (ptr, TRUE);
}

static gint
compare_worker_ids (gconstpointer a, gconstpointer b)
{
  const capacity_t *x = *(capacity_t *const *)a;
  const capacity_t *y = *(capacity_t *const *)b;

  return strcmp (x->worker->id, y->worker->id);
}

static GPtrArray *
group_by_rack (const GPtrArray *capacities)
{
  GPtrArray *racks = g_ptr_array_new_with_free_func (free_rack);
  GHashTable *rack_of_name = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < capacities->len; i++)
    {
      capacity_t *capacity = capacities->pdata[i];
      GPtrArray *rack = g_hash_table_lookup (rack_of_name, capacity->worker->rack);

      if (rack == NULL)
        {
          rack = g_ptr_array_new ();
          g_hash_table_insert (rack_of_name, capacity->worker->rack, rack);
          g_ptr_array_add (racks, rack);
        }
      g_ptr_array_add (rack, capacity);
    }
  g_hash_table_unref (rack_of_name);
  return racks;
}

/* Begins a placement pass with the free capacities of all workers that may get work
   now, sorted by worker id so that placement does not depend on hash order. Freed with
   pass_free before another pass begins. */
pass_t *
pass_new (cb_batch_t *b, cb_msec_t now_ms)
{
  pass_t *pass = g_new0 (pass_t, 1);
  GHashTableIter iter;
  gpointer value;

  pass->b = b;
  pass->now_ms = now_ms;
  pass->slowest = 1;
  pass->fastest = 1;
  unlimit_slowness (pass);
  pass->capacities = g_ptr_array_new_with_free_func (free_capacity);
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (w->reporting && !w->terminated && !w->draining && !is_evacuated (b, w) &&
          now_ms - w->reported_ms < report_max_age_ms (b))
        {
          capacity_t *capacity = capacity_new (b, w);

          capacity->cold = is_cold (w, now_ms);
          capacity->interference = interference_to_avoid (b);
          capacity->overdue = now_ms - w->reported_ms > report_due_ms (b);
          pass->slowest = MAX (pass->slowest, capacity->slowness);
          pass->fastest = MIN (pass->fastest, capacity->slowness);
          g_ptr_array_add (pass->capacities, capacity);
        }
    }
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      capacity_t *capacity = pass->capacities->pdata[i];

      capacity->slower = capacity->slowness > SLOWER_RATIO * pass->fastest;
    }
  g_ptr_array_sort (pass->capacities, compare_worker_ids);
  pass->racks = group_by_rack (pass->capacities);
  pass->mostly_idle = fleet_utilization (pass->capacities) < IDLE_UTILIZATION;
  trust_update (pass->capacities, now_ms);
  return pass;
}

void
pass_free (pass_t *pass)
{
  if (pass->fit_misses != NULL)
    g_array_unref (pass->fit_misses);
  if (pass->plan_misses != NULL)
    g_array_unref (pass->plan_misses);
  g_ptr_array_free (pass->racks, TRUE);
  g_ptr_array_free (pass->capacities, TRUE);
  g_free (pass);
}

/* Lets the next searches use only workers whose slowness is from MIN to MAX. MAX is
   lowered to the largest one that there is, so that searches which mean the same have
   the same limit and a miss of one rules out the others. */
void
limit_slowness (pass_t *pass, double min, double max)
{
  pass->slowness_min = min;
  pass->slowness_max = 0;
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      double slowness = ((const capacity_t *)pass->capacities->pdata[i])->slowness;

      if (slowness <= max)
        pass->slowness_max = MAX (pass->slowness_max, slowness);
    }
}

/* Lets the next searches use workers of any speed. */
void
unlimit_slowness (pass_t *pass)
{
  pass->slowness_min = 0;
  pass->slowness_max = DBL_MAX;
}

/* Sorts cold workers last, then clearly slower ones, and the others by their free
   accelerators, most first. */
static gint
compare_reserves (gconstpointer a, gconstpointer b)
{
  const capacity_t *x = *(capacity_t *const *)a;
  const capacity_t *y = *(capacity_t *const *)b;

  if (x->cold != y->cold)
    return x->cold ? 1 : -1;
  if (x->slower != y->slower)
    return x->slower ? 1 : -1;
  if (x->accelerators != y->accelerators)
    return x->accelerators > y->accelerators ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

/* Counts the accelerators of all workers, and those in use by urgent work. */
static void
count_accelerators (const GPtrArray *capacities, double *total, double *urgent)
{
  *total = 0;
  *urgent = 0;
  for (guint i = 0; i < capacities->len; i++)
    {
      const worker_t *w = ((capacity_t *)capacities->pdata[i])->worker;

      *total += w->accelerators;
      *urgent += (double)w->load.urgent_accelerators;
    }
}

/* Returns the utilization of the accelerators or of the cores, whichever is higher, as
   0 to 1. */
double
fleet_utilization (const GPtrArray *capacities)
{
  double accelerators = 0;
  double free_accelerators = 0;
  double cpu = 0;
  double free_cpu = 0;

  for (guint i = 0; i < capacities->len; i++)
    {
      const capacity_t *capacity = capacities->pdata[i];

      accelerators += capacity->worker->accelerators;
      free_accelerators += (double)capacity->accelerators;
      cpu += capacity->worker->cpu_milli;
      free_cpu += (double)capacity->cpu_milli;
    }
  return 1 - MIN (accelerators > 0 ? free_accelerators / accelerators : 1,
                  cpu > 0 ? free_cpu / cpu : 1);
}

/* Reserves the workers with most free accelerators, of those that are neither cold nor
   slow if there are enough, for urgent work to come. Urgent work
   arrives in bursts, is late unless it starts at once, and often needs whole workers,
   while other work has time to wait. Accelerators that urgent work uses count as
   reserved. */
void
reserve_for_urgent (GPtrArray *capacities)
{
  GPtrArray *order = g_ptr_array_new ();
  double total;
  double reserved;

  count_accelerators (capacities, &total, &reserved);
  for (guint i = 0; i < capacities->len; i++)
    if (((capacity_t *)capacities->pdata[i])->trust == TRUST_FULL)
      g_ptr_array_add (order, capacities->pdata[i]);
  g_ptr_array_sort (order, compare_reserves);
  for (guint i = 0; i < order->len && reserved < RESERVE_FROM_PRIORITY_2 * total; i++)
    {
      capacity_t *capacity = order->pdata[i];

      double accelerators = (double)MAX (0, capacity->accelerators);

      /* Rounds to the nearest whole worker. */
      if (reserved + accelerators / 2 <= RESERVE_FROM_PRIORITY_1 * total)
        capacity->reserved_from = 1;
      else if (reserved + accelerators / 2 <= RESERVE_FROM_PRIORITY_2 * total)
        capacity->reserved_from = 2;
      reserved += accelerators;
    }
  g_ptr_array_free (order, TRUE);
}

/* TRUE when the free CAPACITY holds one more task of STEP. Filler tasks need no free
   CPU. */
gboolean
capacity_fits (const capacity_t *capacity, const Cb__BatchStep *step)
{
  return (step->fills || capacity->cpu_milli >= (int64_t)step->cpu_milli) &&
         capacity->memory_mb >= (int64_t)step->memory_mb &&
         capacity->accelerators >= (int64_t)step->accelerators;
}

void
capacity_take (capacity_t *capacity, const Cb__BatchStep *step)
{
  *(step->fills ? &capacity->filler_cpu_milli : &capacity->cpu_milli) -=
      step->cpu_milli;
  capacity->memory_mb -= step->memory_mb;
  capacity->accelerators -= step->accelerators;
}

void
capacity_release (capacity_t *capacity, const Cb__BatchStep *step)
{
  *(step->fills ? &capacity->filler_cpu_milli : &capacity->cpu_milli) +=
      step->cpu_milli;
  capacity->memory_mb += step->memory_mb;
  capacity->accelerators += step->accelerators;
}

/* Reserves room of CAPACITY for a task of STEP that waits for running work to end and
   is expected to start at FREE_MS. */
void
capacity_await (capacity_t *capacity, const Cb__BatchStep *step, cb_msec_t free_ms)
{
  awaited_t *awaited = &capacity->worker->awaited;

  capacity_take (capacity, step);
  awaited->cpu_milli += step->fills ? 0 : step->cpu_milli;
  awaited->memory_mb += step->memory_mb;
  awaited->accelerators += step->accelerators;
  awaited->free_ms = awaited->free_ms == 0 ? free_ms : MIN (awaited->free_ms, free_ms);
}

/* As capacity_fits, with the room that is reserved for waiting tasks. */
gboolean
capacity_fits_with_awaited (const capacity_t *capacity, const Cb__BatchStep *step)
{
  const awaited_t *awaited = &capacity->worker->awaited;
  capacity_t whole = *capacity;

  whole.cpu_milli += awaited->cpu_milli;
  whole.memory_mb += awaited->memory_mb;
  whole.accelerators += awaited->accelerators;
  return capacity_fits (&whole, step);
}

/* Deducts the room that the latest placement pass has reserved for waiting tasks. */
void
deduct_awaited (const pass_t *pass)
{
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      capacity_t *capacity = pass->capacities->pdata[i];
      const awaited_t *awaited = &capacity->worker->awaited;

      capacity->cpu_milli -= awaited->cpu_milli;
      capacity->memory_mb -= awaited->memory_mb;
      capacity->accelerators -= awaited->accelerators;
    }
}

/* Forgets the room that an earlier pass has reserved for waiting tasks. */
void
forget_awaited (const pass_t *pass)
{
  const awaited_t none = { 0 };

  for (guint i = 0; i < pass->capacities->len; i++)
    ((capacity_t *)pass->capacities->pdata[i])->worker->awaited = none;
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

/* TRUE when W belongs to the service of TASK's job and has the label that its step
   needs. */
gboolean
worker_suits (const worker_t *w, const task_t *task)
{
  const Cb__BatchStep *step = task_spec (task);

  return strcmp (w->service, task->job->spec->service) == 0 &&
         (step->label[0] == '\0' ||
          g_strv_contains ((const char *const *)w->labels, step->label));
}

/* TRUE when the worker may run TASK, apart from its free capacity and from trust.
   N_CHOSEN tasks of the same step are chosen for the worker already. */
gboolean
capacity_allows (const capacity_t *capacity, const task_t *task, uint32_t n_chosen)
{
  const Cb__BatchStep *step = task_spec (task);
  const worker_t *w = capacity->worker;

  if (!worker_suits (w, task) || !advice_allows (task, w))
    return FALSE;
  return step->per_worker_max == 0 ||
         tasks_of_step (w, task) + n_chosen < step->per_worker_max;
}

/* TRUE when placing STEP on W would run filler and serving tasks side by side. */
static gboolean
mixes_filler_and_serving (const worker_t *w, const Cb__BatchStep *step)
{
  if (step->fills)
    return w->load.serving_tasks > 0;
  return step->target_ms > 0 && w->load.filler_tasks > 0;
}

/* Returns the score of a worker for STEP; lower is better. The fullest worker that
   still holds the task is best, by free accelerators and then by free cores, so that
   whole workers stay free. Filler tasks go to the worker with most unused cores. */
static double
placement_score (const pass_t *pass, const capacity_t *capacity,
                 const Cb__BatchStep *step, gboolean trusted)
{
  const worker_t *w = capacity->worker;
  double free_share = (double)(capacity->cpu_milli - (int64_t)step->cpu_milli) /
                      (double)MAX (1, w->cpu_milli);
  double unused_share = (double)(capacity->cpu_milli + capacity->filler_cpu_milli) /
                        (double)MAX (1, w->cpu_milli);
  double score = (double)(capacity->accelerators - (int64_t)step->accelerators);
  double share = step->fills ? -unused_share : free_share;

  if (pass->slowest > pass->fastest)
    {
      share *= FREE_SHARE_WEIGHT;
      if (capacity->slower != pass->prefers_slow)
        share += SPEED_PENALTY;
    }
  score += share;
  if (mixes_filler_and_serving (w, step))
    score += INTERFERENCE_PENALTY;
  if (capacity->overdue)
    score += OVERDUE_PENALTY;
  if (step->data_rack[0] != '\0' && strcmp (w->rack, step->data_rack) != 0)
    score += REMOTE_PENALTY;
  if (!trusted)
    score += UNTRUSTED_PENALTY;
  return score;
}

/* TRUE when TASK, started now on the worker of CAPACITY, is expected to end well before
   the work that the worker's reserved room waits for. */
static gboolean
ends_before_awaited (const pass_t *pass, const capacity_t *capacity, const task_t *task)
{
  const Cb__BatchStep *step = task_spec (task);
  double run_ms = (double)cautious_task_ms (pass->b, task->job->spec, task->step) *
                  capacity->slowness;

  if (step->same_rack || step->data_rack[0] != '\0')
    run_ms *= MAX (1, pass->b->params.remote_slowdown);
  return !step->daemon && (double)pass->now_ms + BACKFILL_FACTOR * run_ms <=
                              (double)capacity->worker->awaited.free_ms;
}

/* TRUE when CAPACITY with the room that is reserved for waiting tasks holds TASK, and
   TASK may use that room. */
static gboolean
fits_in_awaited (const pass_t *pass, const capacity_t *capacity, const task_t *task,
                 reach_t reach)
{
  return capacity->worker->awaited.free_ms > 0 &&
         (reach >= REACH_AWAITED || ends_before_awaited (pass, capacity, task)) &&
         capacity_fits_with_awaited (capacity, task_spec (task));
}

/* Returns the worker of CAPACITIES with the best score for TASK among those within
   REACH, or NULL. CHOSEN lists the workers of the N_CHOSEN tasks of the same step
   before it. */
static capacity_t *
best_capacity (const pass_t *pass, const GPtrArray *capacities, const task_t *task,
               reach_t reach, capacity_t **chosen, uint32_t n_chosen)
{
  const Cb__BatchStep *step = task_spec (task);
  uint32_t kind = interference_kind (capacities, task);
  capacity_t *best = NULL;
  double best_score = 0;

  for (guint i = 0; i < capacities->len; i++)
    {
      capacity_t *capacity = capacities->pdata[i];
      uint32_t n_chosen_here = 0;
      double score;
      gboolean trusted;
      gboolean unreserved = capacity_fits (capacity, step);

      if ((!unreserved && !fits_in_awaited (pass, capacity, task, reach)) ||
          capacity->slowness < pass->slowness_min ||
          capacity->slowness > pass->slowness_max ||
          (reach < REACH_RESERVED && capacity->reserved_from > 0 &&
           task->job->spec->priority >= capacity->reserved_from))
        continue;
      trusted = trust_allows (capacity, task);
      if (!trusted && reach < REACH_ALL)
        continue;
      for (uint32_t k = 0; step->per_worker_max > 0 && k < n_chosen; k++)
        n_chosen_here += chosen[k] == capacity;
      if (!capacity_allows (capacity, task, n_chosen_here))
        continue;
      score = placement_score (pass, capacity, step, trusted) +
              cold_penalty (capacity, task) + interference_penalty (capacity, kind) +
              (unreserved ? 0 : AWAITED_PENALTY);
      if (best == NULL || score < best_score)
        {
          best = capacity;
          best_score = score;
        }
    }
  return best;
}

/* Chooses workers of CAPACITIES within REACH for COUNT tasks of one step, and deducts
   the capacity of the tasks. Returns FALSE and deducts nothing when not all the tasks
   fit. */
static gboolean
fit_group (const pass_t *pass, const GPtrArray *capacities, task_t **tasks,
           uint32_t count, reach_t reach, capacity_t **chosen)
{
  const Cb__BatchStep *step = task_spec (tasks[0]);

  for (uint32_t i = 0; i < count; i++)
    {
      chosen[i] = best_capacity (pass, capacities, tasks[i], reach, chosen, i);
      if (chosen[i] != NULL)
        {
          capacity_take (chosen[i], step);
          continue;
        }
      while (i > 0)
        capacity_release (chosen[--i], step);
      return FALSE;
    }
  return TRUE;
}

/* Returns how many tasks of STEP an empty W holds, at most LIMIT. */
static uint64_t
max_tasks_on_worker (const worker_t *w, const Cb__BatchStep *step, uint64_t limit)
{
  uint64_t max_tasks = limit;

  if (step->cpu_milli > 0)
    max_tasks = MIN (max_tasks, w->cpu_milli / step->cpu_milli);
  if (step->memory_mb > 0)
    max_tasks = MIN (max_tasks, w->memory_mb / step->memory_mb);
  if (step->accelerators > 0)
    max_tasks = MIN (max_tasks, w->accelerators / step->accelerators);
  if (step->per_worker_max > 0)
    max_tasks = MIN (max_tasks, step->per_worker_max);
  return max_tasks;
}

/* TRUE when W holds a task of STEP if it is empty. */
gboolean
worker_holds (const worker_t *w, const Cb__BatchStep *step)
{
  return max_tasks_on_worker (w, step, 1) > 0;
}

/* Returns how many tasks of STEP the workers of CAPACITIES hold when they are empty. */
static uint64_t
max_tasks (const GPtrArray *capacities, const Cb__BatchStep *step)
{
  uint64_t sum = 0;

  for (guint i = 0; i < capacities->len; i++)
    {
      const worker_t *w = ((capacity_t *)capacities->pdata[i])->worker;

      sum += max_tasks_on_worker (w, step, step->count);
    }
  return sum;
}

/* Returns in how many waves the tasks of STEP run in the share of the fleet that one
   step can expect. */
uint32_t
step_waves (const GPtrArray *capacities, const Cb__BatchStep *step)
{
  double share = (double)max_tasks (capacities, step) / STEP_FLEET_DIVISOR;

  if (share < 1)
    share = 1;
  return MAX (1, (uint32_t)((step->count + share - 1) / share));
}

/* TRUE when COUNT tasks of STEP that start together run slower on several racks than on
   one. */
gboolean
prefers_one_rack (const Cb__BatchStep *step, uint32_t count)
{
  return step->same_rack && count > 1;
}

/* TRUE when COUNT tasks like TASK, which start together on WORKERS, run slower there
   than on one rack or near their data. */
gboolean
is_remote (const task_t *task, worker_t **workers, uint32_t count)
{
  const Cb__BatchStep *step = task_spec (task);

  for (uint32_t i = 0; i < count; i++)
    if ((step->data_rack[0] != '\0' &&
         strcmp (workers[i]->rack, step->data_rack) != 0) ||
        (prefers_one_rack (step, count) &&
         strcmp (workers[i]->rack, workers[0]->rack) != 0))
      return TRUE;
  return FALSE;
}

/* As fit_tasks, within one rack: the first one that fits without cold workers, or else
   the first one that fits. */
static gboolean
fit_rack (const pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
          capacity_t **chosen)
{
  const GPtrArray *cold_rack = NULL;

  for (guint i = 0; i < pass->racks->len; i++)
    {
      const GPtrArray *rack = pass->racks->pdata[i];

      if (!fit_group (pass, rack, tasks, count, reach, chosen))
        continue;
      if (!avoids_cold (tasks[0], chosen, count))
        return TRUE;
      for (uint32_t k = 0; k < count; k++)
        capacity_release (chosen[k], task_spec (tasks[0]));
      cold_rack = cold_rack == NULL ? rack : cold_rack;
    }
  return cold_rack != NULL && fit_group (pass, cold_rack, tasks, count, reach, chosen);
}

/* Chooses workers within REACH and SCOPE for COUNT tasks of one step, and deducts the
   capacity of the tasks. Returns FALSE and deducts nothing when not all of them fit. */
gboolean
fit_tasks (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach, scope_t scope,
           capacity_t **chosen)
{
  if (scope == SCOPE_FLEET)
    return fit_group (pass, pass->capacities, tasks, count, reach, chosen);
  return fit_rack (pass, tasks, count, reach, chosen);
}

/* TRUE when COUNT tasks of one step fit TIMES over within REACH and SCOPE. */
gboolean
has_room (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach, scope_t scope,
          uint32_t times)
{
  capacity_t **chosen = g_new0 (capacity_t *, (gsize)times * count);
  uint32_t n = 0;

  while (n < times &&
         fit_tasks (pass, tasks, count, reach, scope, &chosen[(gsize)n * count]))
    n++;
  for (uint32_t i = 0; i < n * count; i++)
    capacity_release (chosen[i], task_spec (tasks[0]));
  g_free (chosen);
  return n == times;
}
