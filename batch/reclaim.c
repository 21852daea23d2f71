#include "batch/local.h"

#include <string.h>

/* A run that can save its progress loses this much at a stop, in ms of its time. */
#define RESTORE_COST_MS 200
/* Without a guarantee, work may be stopped for a job only when what is lost is at most
   this multiple of the job's own work. */
#define LOSS_PER_WORK 1.0
/* Share of the time in which guaranteed work has to start after which equally urgent
   work is stopped for it, at any cost: what is left is enough for two plans. */
#define EQUALS_AFTER 0.3
/* A run that ends within this time in ms beyond a stop's duration is not stopped. */
#define ENDS_SOON_MS 150
/* A run that has seemed about to end for this multiple of that time is not relied on
   any more: slow workers stay at the last percents for seconds. */
#define SOON_TRUST 2

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
  cb_batch_t *b;
  const job_t *job; /* that the room is for */
  gboolean guaranteed;
  gboolean equals; /* equally urgent work without a guarantee gives way, too, and
                      workers that are not trusted are used */
  gboolean waits;  /* for the ends of others instead of stopping them */
  uint64_t stamp;  /* of the plan that is made; marks gangs that it stops */
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

/* TRUE when TASK's run ends by itself before a stop would have ended it, unless it has
   seemed so for too long. */
static gboolean
ends_soon (const claim_t *claim, const task_t *task)
{
  cb_msec_t soon_ms = claim->b->params.stop_ms + ENDS_SOON_MS;

  return task->state == TASK_STARTED && task->percent > 0 &&
         !task_spec (task)->daemon &&
         remaining_ms (claim->b, task, claim->now_ms) < soon_ms &&
         (task->ending_ms == 0 ||
          claim->now_ms - task->ending_ms < SOON_TRUST * soon_ms);
}

/* Takes note at a report of TASK's progress whether its run seems about to end. */
void
note_ending (const cb_batch_t *b, task_t *task, cb_msec_t now_ms)
{
  gboolean ending = remaining_ms (b, task, now_ms) < b->params.stop_ms + ENDS_SOON_MS;

  if (!ending || task->percent == 0)
    task->ending_ms = 0;
  else if (task->ending_ms == 0)
    task->ending_ms = now_ms;
}

/* TRUE when TASK's place is free within the time of a stop without one. A guarantee
   does not rely on an expected end. */
static gboolean
is_leaving (const claim_t *claim, const task_t *task)
{
  return task->stop || task->proposed_end ||
         (!claim->guaranteed && ends_soon (claim, task));
}

/* Lasting tasks give way only to a guarantee, and not where their step bounds how many
   may be away. */
static gboolean
must_last (const claim_t *claim, const Cb__BatchStep *step)
{
  return step->daemon && (!claim->guaranteed || step->max_unavailable > 0);
}

/* Less urgent work gives way; equally urgent work only to a guarantee that has waited,
   when it has none itself. */
static gboolean
is_victim (const claim_t *claim, const task_t *task)
{
  const job_t *other = task->job;

  if (claim->waits)
    return !task_spec (task)->daemon;
  if (task->state != TASK_STARTED || is_leaving (claim, task) ||
      must_last (claim, task_spec (task)))
    return FALSE;
  if (other->spec->priority > claim->job->spec->priority)
    return TRUE;
  return claim->equals && !account_guaranteed (claim->b, other);
}

/* What can be had on one worker. */
typedef struct
{
  room_t left;        /* free, or free soon, less what the plan has taken */
  GPtrArray *victims; /* of task_t, cheapest first */
  guint used;         /* the first so many of them are to be stopped */
  double cost;        /* of those */
  uint32_t taken;     /* tasks that the plan puts here */
} place_t;

/* Core-ms that are lost, or ms to wait. */
static double
victim_cost (const claim_t *claim, const task_t *task)
{
  if (claim->waits)
    return (double)remaining_ms (claim->b, task, claim->now_ms);
  return stop_cost (task, claim->now_ms);
}

static gint
compare_cost (gconstpointer a, gconstpointer b, gpointer data)
{
  const claim_t *claim = data;
  const task_t *x = *(task_t *const *)a;
  const task_t *y = *(task_t *const *)b;
  double cost_x =
      victim_cost (claim, x) / (claim->waits ? 1 : task_cores (task_spec (x)));
  double cost_y =
      victim_cost (claim, y) / (claim->waits ? 1 : task_cores (task_spec (y)));

  return (cost_x > cost_y) - (cost_x < cost_y);
}

static void
free_place (void *ptr)
{
  place_t *place = ptr;

  g_ptr_array_free (place->victims, TRUE);
  g_free (place);
}

static place_t *
new_place (claim_t *claim, const room_t *room)
{
  place_t *place = g_new0 (place_t, 1);
  const worker_t *w = room->worker;

  place->left = *room;
  place->victims = g_ptr_array_new ();
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (is_leaving (claim, task))
        room_give (&place->left, task_spec (task));
      else if (is_victim (claim, task))
        g_ptr_array_add (place->victims, task);
    }
  g_ptr_array_sort_with_data (place->victims, compare_cost, claim);
  return place;
}

/* What one more task adds to a plan. */
typedef struct
{
  double cost; /* core-ms, or ms to wait; below 0: the worker cannot hold the task */
  room_t left; /* of the place then */
  guint used;
} price_t;

/* TRUE when the plan already stops the gang of victim number AT of PLACE, which is
   stopped as a whole for its first member. */
static gboolean
is_gang_stopped (const claim_t *claim, const place_t *place, guint at)
{
  const step_state_t *gang = task_step (place->victims->pdata[at]);

  if (gang->stopped_by_plan == claim->stamp)
    return TRUE;
  for (guint i = place->used; i < at; i++)
    if (task_step (place->victims->pdata[i]) == gang)
      return TRUE;
  return FALSE;
}

/* Returns what the next task of STEP costs on PLACE. */
static price_t
price_of (const claim_t *claim, const place_t *place, const Cb__BatchStep *step)
{
  price_t price = { .left = place->left, .used = place->used };

  while (!room_fits (&price.left, step))
    {
      const task_t *victim;

      if (price.used == place->victims->len)
        {
          price.cost = -1;
          break;
        }
      victim = place->victims->pdata[price.used];
      if (claim->waits)
        price.cost = victim_cost (claim, victim);
      else if (!task_spec (victim)->gang || !is_gang_stopped (claim, place, price.used))
        price.cost += victim_cost (claim, victim);
      room_give (&price.left, task_spec (victim));
      price.used++;
    }
  return price;
}

/* Takes the cheapest place for TASK, in RACK unless it is NULL. */
static place_t *
take_place (const claim_t *claim, GPtrArray *places, const task_t *task,
            const char *rack)
{
  const Cb__BatchStep *step = task_spec (task);
  place_t *best = NULL;
  price_t best_price = { 0 };

  for (guint i = 0; i < places->len; i++)
    {
      place_t *place = places->pdata[i];
      price_t price;

      if ((rack != NULL && strcmp (place->left.worker->rack, rack) != 0) ||
          (!claim->equals && !trust_allows (&place->left, task)) ||
          !room_allows (&place->left, task, place->taken))
        continue;
      price = price_of (claim, place, step);
      if (price.cost >= 0 && (best == NULL || price.cost < best_price.cost))
        {
          best = place;
          best_price = price;
        }
    }
  if (best == NULL)
    return NULL;
  best->cost =
      claim->waits ? MAX (best->cost, best_price.cost) : best->cost + best_price.cost;
  for (guint i = best->used; i < best_price.used; i++)
    task_step (best->victims->pdata[i])->stopped_by_plan = claim->stamp;
  best->used = best_price.used;
  best->left = best_price.left;
  best->taken++;
  room_take (&best->left, step);
  return best;
}

/* Finds places for COUNT tasks in RACK (NULL: anywhere). Returns the cost, or below 0
   when there are not enough. */
static double
make_plan (claim_t *claim, GPtrArray *rooms, task_t **tasks, uint32_t count,
           const char *rack, const worker_t **chosen, GPtrArray *victims)
{
  GPtrArray *places = g_ptr_array_new_with_free_func (free_place);
  double cost = 0;

  claim->stamp = ++claim->b->plans;
  for (guint i = 0; i < rooms->len; i++)
    g_ptr_array_add (places, new_place (claim, rooms->pdata[i]));
  for (uint32_t i = 0; i < count && cost >= 0; i++)
    {
      const place_t *place = take_place (claim, places, tasks[i], rack);

      if (place == NULL)
        cost = -1;
      else
        chosen[i] = place->left.worker;
    }
  for (guint i = 0; i < places->len && cost >= 0; i++)
    {
      const place_t *place = places->pdata[i];

      cost = claim->waits ? MAX (cost, place->cost) : cost + place->cost;
      for (guint k = 0; k < place->used; k++)
        g_ptr_array_add (victims, place->victims->pdata[k]);
    }
  g_ptr_array_free (places, TRUE);
  return cost;
}

/* TRUE when what a plan destroys is worth less than what it makes possible. A guarantee
   that has waited is met at any cost. */
static gboolean
is_worth_it (const claim_t *claim, double cost, const Cb__BatchStep *step,
             uint32_t count)
{
  double work =
      task_cores (step) * count * (double)expected_ms (claim->b, claim->job->spec, 0);

  return claim->equals || cost <= LOSS_PER_WORK * work;
}

/* As make_plan, in the cheapest rack when the tasks should share one. */
static double
best_plan (claim_t *claim, GPtrArray *rooms, task_t **tasks, uint32_t count,
           const worker_t **chosen, GPtrArray *victims)
{
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  const worker_t **candidate = g_new0 (const worker_t *, count);
  GPtrArray *found = g_ptr_array_new ();
  gboolean one_rack = task_spec (tasks[0])->same_rack && count > 1;
  double best = -1;

  for (guint i = 0; one_rack && i < rooms->len; i++)
    {
      const char *rack = ((room_t *)rooms->pdata[i])->worker->rack;
      double cost;

      if (!g_hash_table_add (tried, (gpointer)rack))
        continue;
      g_ptr_array_set_size (found, 0);
      cost = make_plan (claim, rooms, tasks, count, rack, candidate, found);
      if (cost < 0 || (best >= 0 && cost >= best))
        continue;
      best = cost;
      for (uint32_t k = 0; k < count; k++)
        chosen[k] = candidate[k];
      g_ptr_array_set_size (victims, 0);
      for (guint k = 0; k < found->len; k++)
        g_ptr_array_add (victims, found->pdata[k]);
    }
  if (!one_rack)
    best = make_plan (claim, rooms, tasks, count, NULL, chosen, victims);
  g_ptr_array_free (found, TRUE);
  g_free (candidate);
  g_hash_table_unref (tried);
  return best;
}

/* Stops the cheapest work that has to give way to a job, so that COUNT of its tasks can
   start, and keeps the places for them. GUARANTEED: the job has a claim to them.
   Returns FALSE when there is no such work or it is worth more. */
gboolean
plan_reclaim (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
              gboolean guaranteed, cb_msec_t now_ms)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  GPtrArray *victims = g_ptr_array_new ();
  job_t *job = tasks[0]->job;
  gboolean waited =
      now_ms - job->folded_ms >= EQUALS_AFTER * (double)b->params.reclaim_ms;
  claim_t claim = { .b = b,
                    .job = job,
                    .guaranteed = guaranteed,
                    .equals = guaranteed && waited,
                    .now_ms = now_ms };
  double cost = best_plan (&claim, rooms, tasks, count, chosen, victims);

  if (cost >= 0 && !is_worth_it (&claim, cost, task_spec (tasks[0]), count))
    cost = -1;
  for (uint32_t i = 0; cost >= 0 && i < count; i++)
    {
      tasks[i]->planned = chosen[i];
      tasks[i]->planned_ms = now_ms;
    }
  if (cost >= 0)
    cb_event (CB_LOG_INFO, "batch", "reclaim",
              "job=%s account=%s priority=%u guaranteed=%d equals=%d tasks=%u "
              "victims=%u lost_core_ms=%.0f",
              job->spec->id, job->spec->account, job->spec->priority, guaranteed,
              claim.equals, count, victims->len, cost);
  for (guint i = 0; cost >= 0 && i < victims->len; i++)
    stop_task (b, victims->pdata[i], now_ms, "reclaimed");
  g_ptr_array_free (victims, TRUE);
  g_free (chosen);
  return cost >= 0;
}

/* Keeps the places that will be free first for COUNT tasks that cannot start yet, so
   that smaller work does not take them one by one. */
void
await_places (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
              cb_msec_t now_ms)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  GPtrArray *awaited = g_ptr_array_new ();
  claim_t claim = { .b = b, .job = tasks[0]->job, .waits = TRUE, .now_ms = now_ms };
  double wait_ms = best_plan (&claim, rooms, tasks, count, chosen, awaited);

  for (uint32_t i = 0; wait_ms >= 0 && i < count; i++)
    for (guint k = 0; k < rooms->len; k++)
      if (((room_t *)rooms->pdata[k])->worker == chosen[i])
        room_take (rooms->pdata[k], task_spec (tasks[i]));
  g_ptr_array_free (awaited, TRUE);
  g_free (chosen);
}
