#include "batch/local.h"

#include <string.h>

/* A run that can save its progress loses this much at a stop, in ms of its time. */
#define RESTORE_COST_MS 200
/* Without a guarantee, work may be stopped for a job only when what is lost is at most
   this multiple of the job's own work. */
#define LOSS_PER_WORK 0.5
/* A run that ends within this time in ms beyond a stop's duration is not stopped. */
#define ENDS_SOON_MS 150

typedef struct
{
  GPtrArray *victims; /* of task_t, chosen on all workers */
  double cost;
} plan_t;

static uint32_t
guarantee_of (const cb_batch_t *b, const char *account)
{
  for (guint i = 0; b->config != NULL && i < b->config->accounts->len; i++)
    {
      const cb_batch_account_t *a = b->config->accounts->pdata[i];

      if (strcmp (a->name, account) == 0)
        return a->guaranteed;
    }
  return 0;
}

/* Accelerators that the account's urgent jobs accepted before JOB, and JOB, need. */
static uint64_t
urgent_need (const cb_batch_t *b, const job_t *job)
{
  uint64_t need = 0;

  for (const GList *l = b->open.head; l != NULL; l = l->next)
    {
      const job_t *other = l->data;

      if (other->spec->priority == 0 && (job_open (other) || other->open_runs > 0) &&
          strcmp (other->spec->account, job->spec->account) == 0)
        for (size_t i = 0; i < other->spec->n_steps; i++)
          need += (uint64_t)other->spec->steps[i]->accelerators *
                  (other->occurrences[0].steps[i].count -
                   other->occurrences[0].steps[i].done);
      if (other == job)
        break;
    }
  return need;
}

/* TRUE when JOB is covered by its account's guarantee, counting the urgent jobs that
   were accepted before it. */
gboolean
account_guaranteed (const cb_batch_t *b, const job_t *job)
{
  return job->spec->priority == 0 &&
         urgent_need (b, job) <= guarantee_of (b, job->spec->account);
}

typedef struct
{
  const cb_batch_t *b;
  const job_t *job; /* that the room is for */
  gboolean guaranteed;
  cb_msec_t now_ms;
} claim_t;

static double
task_cores (const Cb__BatchStep *step)
{
  return step->cpu_milli / 1000.0 + 8.0 * step->accelerators;
}

/* Work that is lost when TASK is stopped now, in core-ms since its last checkpoint; an
   accelerator counts as 8 cores (as the platform counts it). */
static double
stop_cost (const task_t *task, cb_msec_t now_ms)
{
  const Cb__BatchStep *step = task_spec (task);
  double cores = task_cores (step);
  double lost_ms = step->saves ? RESTORE_COST_MS
                               : RESTORE_COST_MS + (double)(now_ms - task->started_ms);

  if (step->gang)
    cores *= step->count;
  return cores * lost_ms;
}

/* TRUE when TASK's run ends by itself before a stop would have ended it. */
static gboolean
ends_soon (const claim_t *claim, const task_t *task)
{
  return task->state == TASK_STARTED && task->percent > 0 &&
         remaining_ms (claim->b, task, claim->now_ms) <
             claim->b->params.stop_ms + ENDS_SOON_MS;
}

/* TRUE when TASK's place is free within the time of a stop without one. */
static gboolean
is_leaving (const claim_t *claim, const task_t *task)
{
  return task->stop || task->proposed_end || ends_soon (claim, task);
}

/* Less urgent work gives way; equally urgent work only to a guarantee when it has none
   itself. */
static gboolean
is_victim (const claim_t *claim, const task_t *task)
{
  const job_t *other = task->job;

  if (task->state != TASK_STARTED || is_leaving (claim, task) ||
      task_spec (task)->daemon)
    return FALSE;
  if (other->spec->priority > claim->job->spec->priority)
    return TRUE;
  return claim->guaranteed && !account_guaranteed (claim->b, other);
}

static gint
compare_cost (gconstpointer a, gconstpointer b, gpointer data)
{
  const claim_t *order = data;
  double x = stop_cost (*(task_t *const *)a, order->now_ms);
  double y = stop_cost (*(task_t *const *)b, order->now_ms);

  return (x > y) - (x < y);
}

/* Room on a worker if all victims there were stopped; what is being stopped already
   counts as free. */
static room_t *
room_with_victims (const claim_t *claim, const room_t *room)
{
  room_t *copy = g_memdup2 (room, sizeof *room);
  const worker_t *w = room->worker;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (is_leaving (claim, task) || is_victim (claim, task))
        room_give (copy, task_spec (task));
    }
  return copy;
}

/* Adds the cheapest victims on the worker of ROOM that make room for TAKEN times STEP.
 */
static void
choose_victims (plan_t *plan, const claim_t *order, const room_t *room,
                const Cb__BatchStep *step, uint32_t taken)
{
  const worker_t *w = room->worker;
  room_t left = *room;
  GPtrArray *victims = g_ptr_array_new ();
  Cb__BatchStep all = *step;

  all.cpu_milli *= taken;
  all.memory_mb *= taken;
  all.accelerators *= taken;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (is_leaving (order, task))
        room_give (&left, task_spec (task));
      else if (is_victim (order, task))
        g_ptr_array_add (victims, task);
    }
  g_ptr_array_sort_with_data (victims, compare_cost, (gpointer)order);
  for (guint i = 0; i < victims->len && !room_fits (&left, &all); i++)
    {
      task_t *task = victims->pdata[i];

      room_give (&left, task_spec (task));
      g_ptr_array_add (plan->victims, task);
      plan->cost += stop_cost (task, order->now_ms);
    }
  g_ptr_array_free (victims, TRUE);
}

/* Finds the places in RACK (NULL: anywhere) and the victims to stop for them. */
static plan_t *
make_plan (const claim_t *order, GPtrArray *rooms, task_t **tasks, uint32_t count,
           const char *rack, worker_t **places)
{
  GPtrArray *virtual = g_ptr_array_new_with_free_func (g_free);
  room_t **chosen = g_new0 (room_t *, count);
  plan_t *plan = NULL;

  for (guint i = 0; i < rooms->len; i++)
    g_ptr_array_add (virtual, room_with_victims (order, rooms->pdata[i]));
  if (fit_group (virtual, tasks, count, rack, TRUE, chosen))
    {
      plan = g_new0 (plan_t, 1);
      plan->victims = g_ptr_array_new ();
      for (guint i = 0; i < rooms->len; i++)
        {
          uint32_t taken = 0;

          for (uint32_t k = 0; k < count; k++)
            taken += chosen[k] == virtual->pdata[i];
          if (taken > 0)
            choose_victims (plan, order, rooms->pdata[i], task_spec (tasks[0]), taken);
        }
      for (uint32_t k = 0; k < count; k++)
        places[k] = chosen[k]->worker;
    }
  g_free (chosen);
  g_ptr_array_free (virtual, TRUE);
  return plan;
}

static void
free_plan (plan_t *plan)
{
  if (plan == NULL)
    return;
  g_ptr_array_free (plan->victims, TRUE);
  g_free (plan);
}

static plan_t *
better_plan (plan_t *a, plan_t *b, worker_t **places, worker_t **candidate,
             uint32_t count)
{
  if (b == NULL || (a != NULL && a->cost <= b->cost))
    {
      free_plan (b);
      return a;
    }
  memcpy (places, candidate, count * sizeof *places);
  free_plan (a);
  return b;
}

/* TRUE when what PLAN destroys is worth less than what it makes possible. */
static gboolean
is_worth_it (const claim_t *claim, const plan_t *plan, const Cb__BatchStep *step,
             uint32_t count)
{
  double work =
      task_cores (step) * count * (double)expected_ms (claim->b, claim->job->spec, 0);

  return claim->guaranteed || plan->cost <= LOSS_PER_WORK * work;
}

static plan_t *
best_plan (const claim_t *claim, GPtrArray *rooms, task_t **tasks, uint32_t count,
           worker_t **places)
{
  worker_t **candidate = g_new0 (worker_t *, count);
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  plan_t *best = NULL;

  for (guint i = 0; task_spec (tasks[0])->same_rack && count > 1 && i < rooms->len; i++)
    {
      const char *rack = ((room_t *)rooms->pdata[i])->worker->rack;

      if (g_hash_table_add (tried, (gpointer)rack))
        best =
            better_plan (best, make_plan (claim, rooms, tasks, count, rack, candidate),
                         places, candidate, count);
    }
  if (best == NULL)
    best = make_plan (claim, rooms, tasks, count, NULL, places);
  g_hash_table_unref (tried);
  g_free (candidate);
  return best;
}

/* Stops the cheapest work that has to give way to a job, so that COUNT of its tasks can
   start, and keeps the places for them. GUARANTEED: the job has a claim to them.
   Returns FALSE when there is no such work or it is worth more. */
gboolean
plan_reclaim (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
              gboolean guaranteed, cb_msec_t now_ms)
{
  const Cb__BatchStep *spec = task_spec (tasks[0]);
  step_state_t *step = task_step (tasks[0]);
  worker_t **places = g_new0 (worker_t *, count);
  claim_t claim = { b, tasks[0]->job, guaranteed, now_ms };
  plan_t *plan = best_plan (&claim, rooms, tasks, count, places);

  gboolean planned = plan != NULL && is_worth_it (&claim, plan, spec, count);

  if (planned)
    {
      step->plan = g_new0 (worker_t *, step->count);
      for (uint32_t i = 0; i < count; i++)
        step->plan[tasks[i]->index] = places[i];
      step->plan_ms = now_ms;
      cb_event (CB_LOG_INFO, "batch", "reclaim",
                "job=%s account=%s priority=%u guaranteed=%d tasks=%u victims=%u "
                "lost_core_ms=%.0f",
                tasks[0]->job->spec->id, tasks[0]->job->spec->account,
                tasks[0]->job->spec->priority, guaranteed, count, plan->victims->len,
                plan->cost);
      for (guint i = 0; i < plan->victims->len; i++)
        stop_task (b, plan->victims->pdata[i], now_ms, "reclaimed");
    }
  free_plan (plan);
  g_free (places);
  return planned;
}
