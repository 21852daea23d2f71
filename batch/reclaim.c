/* Preemption: plans which running work is stopped so that more urgent or guaranteed
   work can start. */
#include "batch/local.h"

#include <string.h>

/* Run time lost by a stop and restart, also when the run saves its progress. */
#define RESTORE_COST_MS 200
/* Maximum ratio of the work that a preemption destroys to the work it makes possible.
   Does not apply to a guarantee that has waited. */
#define MAX_LOSS_RATIO 1.0
/* Share of params.reclaim_ms after which a guarantee preempts equally urgent work, at
   any cost. The rest of the time suffices for two plans. */
#define PREEMPT_EQUALS_AFTER 0.3
/* Preemption does not stop a run that is expected to end within params.stop_ms plus
   this margin, except for a guarantee. ENDS_SOON_MAX_FACTOR limits how long. */
#define ENDS_SOON_MARGIN_MS 150
/* An expected end is relied on for this multiple of params.stop_ms plus
   ENDS_SOON_MARGIN_MS. Runs on slow workers stay at the last percents for seconds. */
#define ENDS_SOON_MAX_FACTOR 2

static uint32_t
account_guarantee (const cb_batch_t *b, const char *account)
{
  for (guint i = 0; b->config != NULL && i < b->config->accounts->len; i++)
    {
      const cb_batch_account_t *a = b->config->accounts->pdata[i];

      if (strcmp (a->name, account) == 0)
        return a->guaranteed;
    }
  return 0;
}

/* Returns the accelerators needed by JOB and by the urgent jobs of its account that
   were accepted before it. */
static uint64_t
accelerators_needed (const cb_batch_t *b, const job_t *job)
{
  uint64_t needed = 0;

  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      const job_t *other = l->data;

      if (other->spec->priority == 0 && (job_open (other) || other->open_runs > 0) &&
          strcmp (other->spec->account, job->spec->account) == 0)
        for (size_t i = 0; i < other->spec->n_steps; i++)
          needed += (uint64_t)other->spec->steps[i]->accelerators *
                    (other->occurrences[0].steps[i].count -
                     other->occurrences[0].steps[i].done);
      if (other == job)
        break;
    }
  return needed;
}

/* TRUE when the guarantee of its account covers JOB and the urgent jobs that were
   accepted before it. */
gboolean
job_is_guaranteed (const cb_batch_t *b, const job_t *job)
{
  return job->spec->priority == 0 &&
         accelerators_needed (b, job) <= account_guarantee (b, job->spec->account);
}

/* The job that a preemption plan is made for, and what the plan may use. */
typedef struct
{
  cb_batch_t *b;
  const job_t *job; /* the job that is to get the capacity */
  gboolean guaranteed;
  gboolean preempt_equals; /* preempts equally urgent work without a guarantee, too, and
                              uses untrusted workers */
  gboolean wait_for_ends;  /* preempts nothing: selects what ends first */
  uint64_t plan_number;    /* of the plan being made; marks the steps it preempts */
  cb_msec_t now_ms;
} request_t;

/* The platform counts an accelerator as 8 cores. */
static double
core_equivalents (const Cb__BatchStep *step)
{
  return step->cpu_milli / 1000.0 + 8.0 * step->accelerators;
}

/* Returns the work lost when TASK is stopped now, in core-ms: since its start, or only
   RESTORE_COST_MS when it saves its progress. Stopping one member of a gang loses the
   work of all. */
static double
stop_cost (const task_t *task, cb_msec_t now_ms)
{
  const Cb__BatchStep *step = task_spec (task);
  double cores = core_equivalents (step);
  double lost_ms = step->saves ? RESTORE_COST_MS
                               : RESTORE_COST_MS + (double)(now_ms - task->started_ms);

  if (step->gang)
    cores *= step->count;
  return cores * lost_ms;
}

/* TRUE when TASK's run is expected to end by itself as soon as a stop would end it,
   unless that has been expected for too long. */
static gboolean
ends_soon (const request_t *request, const task_t *task)
{
  cb_msec_t soon_ms = request->b->params.stop_ms + ENDS_SOON_MARGIN_MS;

  return task->state == TASK_STARTED && task->percent > 0 &&
         !task_spec (task)->daemon &&
         remaining_ms (request->b, task, request->now_ms) < soon_ms &&
         (task->ending_since_ms == 0 ||
          request->now_ms - task->ending_since_ms < ENDS_SOON_MAX_FACTOR * soon_ms);
}

/* Updates ending_since_ms after a report of TASK's progress. */
void
update_ending (const cb_batch_t *b, task_t *task, cb_msec_t now_ms)
{
  gboolean ending =
      remaining_ms (b, task, now_ms) < b->params.stop_ms + ENDS_SOON_MARGIN_MS;

  if (!ending || task->percent == 0)
    task->ending_since_ms = 0;
  else if (task->ending_since_ms == 0)
    task->ending_since_ms = now_ms;
}

/* TRUE when TASK releases its capacity without a further stop, as soon as a stop would.
   A guarantee does not rely on an expected end. */
static gboolean
is_ending (const request_t *request, const task_t *task)
{
  return task->stop_requested || task->proposed_end ||
         (!request->guaranteed && ends_soon (request, task));
}

/* TRUE for daemon tasks that must not be preempted: only a guarantee preempts them, and
   only when their step sets no max_unavailable. */
static gboolean
is_protected_daemon (const request_t *request, const Cb__BatchStep *step)
{
  return step->daemon && (!request->guaranteed || step->max_unavailable > 0);
}

/* TRUE when TASK may be preempted, or, with wait_for_ends, waited for. A request
   preempts less urgent work; preempt_equals adds equally urgent work whose job is not
   guaranteed. */
static gboolean
is_preemptible (const request_t *request, const task_t *task)
{
  const job_t *other = task->job;

  if (request->wait_for_ends)
    return !task_spec (task)->daemon;
  if (task->state != TASK_STARTED || is_ending (request, task) ||
      is_protected_daemon (request, task_spec (task)))
    return FALSE;
  if (other->spec->priority > request->job->spec->priority)
    return TRUE;
  return request->preempt_equals && !job_is_guaranteed (request->b, other);
}

/* A worker that a plan may use. */
typedef struct
{
  capacity_t capacity;   /* free now or soon, less what the plan has placed here */
  GPtrArray *candidates; /* of task_t, the cheapest to preempt first */
  guint n_preempted;     /* the plan preempts this many, from the first on */
  double cost;           /* of preempting them, see preemption_cost */
  uint32_t n_placed;     /* tasks that the plan places here */
} host_t;

/* Returns what preempting TASK costs in core-ms, or, with wait_for_ends, the ms until
   its expected end. */
static double
preemption_cost (const request_t *request, const task_t *task)
{
  if (request->wait_for_ends)
    return (double)remaining_ms (request->b, task, request->now_ms);
  return stop_cost (task, request->now_ms);
}

static gint
compare_cost (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *request = data;
  const task_t *x = *(task_t *const *)a;
  const task_t *y = *(task_t *const *)b;
  double cost_x = preemption_cost (request, x) /
                  (request->wait_for_ends ? 1 : core_equivalents (task_spec (x)));
  double cost_y = preemption_cost (request, y) /
                  (request->wait_for_ends ? 1 : core_equivalents (task_spec (y)));

  return (cost_x > cost_y) - (cost_x < cost_y);
}

static void
free_host (void *ptr)
{
  host_t *host = ptr;

  g_ptr_array_free (host->candidates, TRUE);
  g_free (host);
}

static host_t *
new_host (request_t *request, const capacity_t *capacity)
{
  host_t *host = g_new0 (host_t, 1);
  const worker_t *w = capacity->worker;

  host->capacity = *capacity;
  host->candidates = g_ptr_array_new ();
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (is_ending (request, task))
        capacity_release (&host->capacity, task_spec (task));
      else if (is_preemptible (request, task))
        g_ptr_array_add (host->candidates, task);
    }
  g_ptr_array_sort_with_data (host->candidates, compare_cost, request);
  return host;
}

/* What it takes to place one more task on a host. */
typedef struct
{
  double cost; /* as preemption_cost; below 0: the worker cannot hold the task */
  capacity_t capacity; /* of the host after the preemptions */
  guint n_preempted;   /* tasks of the host preempted in total */
} increment_t;

/* TRUE when the plan already stops the gang of candidate AT of HOST. Stopping one
   member stops the whole gang, so its cost counts once. */
static gboolean
is_gang_stopped (const request_t *request, const host_t *host, guint at)
{
  const step_state_t *gang = task_step (host->candidates->pdata[at]);

  if (gang->stopped_by_plan == request->plan_number)
    return TRUE;
  for (guint i = host->n_preempted; i < at; i++)
    if (task_step (host->candidates->pdata[i]) == gang)
      return TRUE;
  return FALSE;
}

/* Returns what it takes to place one more task of STEP on HOST. */
static increment_t
increment_of (const request_t *request, const host_t *host, const Cb__BatchStep *step)
{
  increment_t increment = { .capacity = host->capacity,
                            .n_preempted = host->n_preempted };

  while (!capacity_fits (&increment.capacity, step))
    {
      const task_t *candidate;

      if (increment.n_preempted == host->candidates->len)
        {
          increment.cost = -1;
          break;
        }
      candidate = host->candidates->pdata[increment.n_preempted];
      if (request->wait_for_ends)
        increment.cost = preemption_cost (request, candidate);
      else if (!task_spec (candidate)->gang ||
               !is_gang_stopped (request, host, increment.n_preempted))
        increment.cost += preemption_cost (request, candidate);
      capacity_release (&increment.capacity, task_spec (candidate));
      increment.n_preempted++;
    }
  return increment;
}

/* Assigns TASK to the cheapest host, in RACK unless it is NULL. Returns NULL when there
   is none. */
static host_t *
assign_host (const request_t *request, GPtrArray *hosts, const task_t *task,
             const char *rack)
{
  const Cb__BatchStep *step = task_spec (task);
  host_t *best = NULL;
  increment_t best_increment = { 0 };

  for (guint i = 0; i < hosts->len; i++)
    {
      host_t *host = hosts->pdata[i];
      increment_t increment;

      if ((rack != NULL && strcmp (host->capacity.worker->rack, rack) != 0) ||
          (!request->preempt_equals && !trust_allows (&host->capacity, task)) ||
          !capacity_allows (&host->capacity, task, host->n_placed))
        continue;
      increment = increment_of (request, host, step);
      if (increment.cost >= 0 && (best == NULL || increment.cost < best_increment.cost))
        {
          best = host;
          best_increment = increment;
        }
    }
  if (best == NULL)
    return NULL;
  best->cost = request->wait_for_ends ? MAX (best->cost, best_increment.cost)
                                      : best->cost + best_increment.cost;
  for (guint i = best->n_preempted; i < best_increment.n_preempted; i++)
    task_step (best->candidates->pdata[i])->stopped_by_plan = request->plan_number;
  best->n_preempted = best_increment.n_preempted;
  best->capacity = best_increment.capacity;
  best->n_placed++;
  capacity_take (&best->capacity, step);
  return best;
}

/* Makes a plan for COUNT tasks in RACK (NULL: any): their workers in CHOSEN, and in
   PREEMPTED the tasks to preempt or, with wait_for_ends, to wait for. Returns the cost
   in core-ms or, with wait_for_ends, the wait in ms; negative: there is no plan. */
static double
make_plan (request_t *request, GPtrArray *capacities, task_t **tasks, uint32_t count,
           const char *rack, const worker_t **chosen, GPtrArray *preempted)
{
  GPtrArray *hosts = g_ptr_array_new_with_free_func (free_host);
  double cost = 0;

  request->plan_number = ++request->b->plan_count;
  for (guint i = 0; i < capacities->len; i++)
    g_ptr_array_add (hosts, new_host (request, capacities->pdata[i]));
  for (uint32_t i = 0; i < count && cost >= 0; i++)
    {
      const host_t *host = assign_host (request, hosts, tasks[i], rack);

      if (host == NULL)
        cost = -1;
      else
        chosen[i] = host->capacity.worker;
    }
  for (guint i = 0; i < hosts->len && cost >= 0; i++)
    {
      const host_t *host = hosts->pdata[i];

      cost = request->wait_for_ends ? MAX (cost, host->cost) : cost + host->cost;
      for (guint k = 0; k < host->n_preempted; k++)
        g_ptr_array_add (preempted, host->candidates->pdata[k]);
    }
  g_ptr_array_free (hosts, TRUE);
  return cost;
}

/* TRUE when the work that a plan destroys, COST in core-ms, is at most MAX_LOSS_RATIO
   of the work of the COUNT tasks that it makes possible. A guarantee that has waited is
   met at any cost. */
static gboolean
is_cost_justified (const request_t *request, double cost, const Cb__BatchStep *step,
                   uint32_t count)
{
  double work = core_equivalents (step) * count *
                (double)expected_task_ms (request->b, request->job->spec, 0);

  return request->preempt_equals || cost <= MAX_LOSS_RATIO * work;
}

/* As make_plan, in the cheapest rack when the step asks for a single rack. */
static double
best_plan (request_t *request, GPtrArray *capacities, task_t **tasks, uint32_t count,
           const worker_t **chosen, GPtrArray *preempted)
{
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  const worker_t **trial_workers = g_new0 (const worker_t *, count);
  GPtrArray *found = g_ptr_array_new ();
  gboolean one_rack = task_spec (tasks[0])->same_rack && count > 1;
  double best = -1;

  for (guint i = 0; one_rack && i < capacities->len; i++)
    {
      const char *rack = ((capacity_t *)capacities->pdata[i])->worker->rack;
      double cost;

      if (!g_hash_table_add (tried, (gpointer)rack))
        continue;
      g_ptr_array_set_size (found, 0);
      cost = make_plan (request, capacities, tasks, count, rack, trial_workers, found);
      if (cost < 0 || (best >= 0 && cost >= best))
        continue;
      best = cost;
      for (uint32_t k = 0; k < count; k++)
        chosen[k] = trial_workers[k];
      g_ptr_array_set_size (preempted, 0);
      for (guint k = 0; k < found->len; k++)
        g_ptr_array_add (preempted, found->pdata[k]);
    }
  if (!one_rack)
    best = make_plan (request, capacities, tasks, count, NULL, chosen, preempted);
  g_ptr_array_free (found, TRUE);
  g_free (trial_workers);
  g_hash_table_unref (tried);
  return best;
}

/* Stops the cheapest work that may be preempted, so that COUNT tasks of a step can
   start, and plans their start on the workers it frees. GUARANTEED: the guarantee of
   the account covers the job. Returns FALSE when there is no such work or the loss is
   not justified. */
gboolean
preempt_and_plan (cb_batch_t *b, GPtrArray *capacities, task_t **tasks, uint32_t count,
                  gboolean guaranteed, cb_msec_t now_ms)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  GPtrArray *preempted = g_ptr_array_new ();
  job_t *job = tasks[0]->job;
  gboolean waited =
      now_ms - job->applied_ms >= PREEMPT_EQUALS_AFTER * (double)b->params.reclaim_ms;
  request_t request = { .b = b,
                        .job = job,
                        .guaranteed = guaranteed,
                        .preempt_equals = guaranteed && waited,
                        .now_ms = now_ms };
  double cost = best_plan (&request, capacities, tasks, count, chosen, preempted);

  if (cost >= 0 && !is_cost_justified (&request, cost, task_spec (tasks[0]), count))
    cost = -1;
  for (uint32_t i = 0; cost >= 0 && i < count; i++)
    {
      tasks[i]->planned_worker = chosen[i];
      tasks[i]->planned_ms = now_ms;
    }
  /* equals: equally urgent work may be preempted, too; victims: the preempted tasks. */
  if (cost >= 0)
    cb_event (CB_LOG_INFO, "batch", "reclaim",
              "job=%s account=%s priority=%u guaranteed=%d equals=%d tasks=%u "
              "victims=%u lost_core_ms=%.0f",
              job->spec->id, job->spec->account, job->spec->priority, guaranteed,
              request.preempt_equals, count, preempted->len, cost);
  for (guint i = 0; cost >= 0 && i < preempted->len; i++)
    stop_task (b, preempted->pdata[i], now_ms, "reclaimed");
  g_ptr_array_free (preempted, TRUE);
  g_free (chosen);
  return cost >= 0;
}

/* Deducts the capacity that is expected to become free first for COUNT tasks that
   cannot start yet, so that smaller tasks do not take it bit by bit. */
void
reserve_awaited (cb_batch_t *b, GPtrArray *capacities, task_t **tasks, uint32_t count,
                 cb_msec_t now_ms)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  GPtrArray *awaited = g_ptr_array_new ();
  request_t request = {
    .b = b, .job = tasks[0]->job, .wait_for_ends = TRUE, .now_ms = now_ms
  };
  double wait_ms = best_plan (&request, capacities, tasks, count, chosen, awaited);

  for (uint32_t i = 0; wait_ms >= 0 && i < count; i++)
    for (guint k = 0; k < capacities->len; k++)
      if (((capacity_t *)capacities->pdata[k])->worker == chosen[i])
        capacity_take (capacities->pdata[k], task_spec (tasks[i]));
  g_ptr_array_free (awaited, TRUE);
  g_free (chosen);
}
