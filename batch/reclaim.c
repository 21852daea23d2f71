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

/* What an account may claim, and what its urgent jobs need. */
typedef struct
{
  uint32_t guaranteed;
  uint64_t needed; /* accelerators of the urgent jobs that were accepted so far */
} account_use_t;

/* Returns the accelerators of the tasks of JOB that are not done. */
static uint64_t
accelerators_needed (const job_t *job)
{
  uint64_t needed = 0;

  for (size_t i = 0; i < job->spec->n_steps; i++)
    needed += (uint64_t)job->spec->steps[i]->accelerators *
              (job->occurrences[0].steps[i].count - job->occurrences[0].steps[i].done);
  return needed;
}

/* Updates for each job whether the guarantee of its account covers it and the urgent
   jobs that were accepted before it. */
void
update_guarantees (cb_batch_t *b)
{
  GHashTable *accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);

  for (guint i = 0; b->config != NULL && i < b->config->accounts->len; i++)
    {
      const cb_batch_account_t *account = b->config->accounts->pdata[i];
      account_use_t *use = g_new0 (account_use_t, 1);

      use->guaranteed = account->guaranteed;
      g_hash_table_replace (accounts, account->name, use);
    }
  for (GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;
      account_use_t *use;
      uint64_t needed;

      job->guaranteed = FALSE;
      if (job->spec->priority != 0 || (!job_open (job) && job->open_runs == 0))
        continue;
      needed = accelerators_needed (job);
      use = g_hash_table_lookup (accounts, job->spec->account);
      if (use != NULL)
        use->needed += needed;
      job->guaranteed = use == NULL ? needed == 0 : use->needed <= use->guaranteed;
    }
  g_hash_table_unref (accounts);
}

/* The job that a preemption plan is made for, and what the plan may use. */
typedef struct
{
  cb_batch_t *b;
  const job_t *job; /* the job that is to get the capacity */
  gboolean guaranteed;
  gboolean spares_in_time; /* see claim_t */
  gboolean preempt_equals; /* preempts equally urgent work without a guarantee, too, and
                              uses untrusted workers */
  gboolean wait_for_ends;  /* preempts nothing: selects what ends first */
  double slowness_max;     /* of the workers that it uses */
  uint64_t plan_number;    /* of the plan being made; marks the steps it preempts */
  cb_msec_t now_ms;
  GArray *candidates; /* of candidate_t, of all hosts of the plan */
} request_t;

/* The platform counts an accelerator as 8 cores. */
static double
core_equivalents (const Cb__BatchStep *step)
{
  return step->cpu_milli / 1000.0 + 8.0 * step->accelerators;
}

/* Returns the work lost when TASK is stopped now, in core-ms of usual workers: since
   its start, or only RESTORE_COST_MS when it saves its progress. Stopping one member of
   a gang loses the work of all. SLOWNESS: of its worker. */
static double
stop_cost (const task_t *task, double slowness, cb_msec_t now_ms)
{
  const Cb__BatchStep *step = task_spec (task);
  double cores = core_equivalents (step);
  double lost_ms =
      step->saves ? RESTORE_COST_MS
                  : RESTORE_COST_MS + (double)(now_ms - task->started_ms) / slowness;

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

/* TRUE when the job of TASK, which runs, can still meet its objective by expected
   times. The wall clock of a scheduled occurrence is not known here: its runs count as
   in time. */
static gboolean
can_end_in_time (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms)
{
  const job_t *job = task->job;
  cb_msec_t left_ms = critical_path_ms (b, job, task->occurrence, FALSE) -
                      expected_task_ms (b, job->spec, task->step) +
                      remaining_ms (b, task, now_ms);

  return job->spec->times > 0 ||
         now_ms + left_ms <= job->applied_ms + objective_ms (b, job, task->occurrence);
}

/* TRUE when TASK may be preempted, or, with wait_for_ends, waited for. A request
   preempts less urgent work; preempt_equals adds equally urgent work whose job is not
   guaranteed, and spares_in_time exempts work that can still end in time. */
static gboolean
is_preemptible (const request_t *request, const task_t *task)
{
  const job_t *other = task->job;

  if (request->wait_for_ends)
    return !task_spec (task)->daemon;
  if (task->state != TASK_STARTED || is_ending (request, task) ||
      is_protected_daemon (request, task_spec (task)))
    return FALSE;
  if (request->spares_in_time && can_end_in_time (request->b, task, request->now_ms))
    return FALSE;
  if (other->spec->priority > request->job->spec->priority)
    return TRUE;
  return request->preempt_equals && !other->guaranteed;
}

/* A task that a plan may preempt or wait for. */
typedef struct
{
  task_t *task;
  double cost; /* of preempting it in core-ms, or ms until its expected end */
  double rank; /* lowest first */
} candidate_t;

/* What it takes to place one more task on a host. */
typedef struct
{
  double cost; /* in the unit of the plan; below 0: the worker cannot hold the task */
  capacity_t capacity; /* of the host after the preemptions */
  guint n_preempted;   /* tasks of the host preempted in total */
} increment_t;

/* A worker that a plan may use. */
typedef struct
{
  capacity_t capacity; /* free now or soon, less what the plan has placed here */
  guint first; /* its candidates in the request, the cheapest to preempt first */
  guint n_candidates;
  guint n_preempted; /* the plan preempts this many, from the first on */
  double cost;       /* of preempting them */
  uint32_t n_placed; /* tasks that the plan places here */
  gboolean computed; /* increment is valid */
  increment_t increment;
} host_t;

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  double x = ((const candidate_t *)a)->rank;
  double y = ((const candidate_t *)b)->rank;

  return (x > y) - (x < y);
}

/* Returns the tasks of CAPACITY's worker, sorted by what a preemption costs for each
   core or, with wait_for_ends, by their expected ends. The order holds for the pass. */
static const GArray *
ranked_tasks (const request_t *request, capacity_t *capacity)
{
  GArray **ranked =
      request->wait_for_ends ? &capacity->by_end : &capacity->by_stop_cost;
  const worker_t *w = capacity->worker;

  if (*ranked != NULL)
    return *ranked;
  *ranked = g_array_sized_new (FALSE, FALSE, sizeof (candidate_t), w->tasks->len);
  for (guint i = 0; i < w->tasks->len; i++)
    {
      candidate_t candidate = { .task = w->tasks->pdata[i] };

      if (request->wait_for_ends)
        candidate.cost = candidate.rank =
            (double)remaining_ms (request->b, candidate.task, request->now_ms);
      else
        {
          candidate.cost =
              stop_cost (candidate.task, capacity->slowness, request->now_ms);
          candidate.rank =
              candidate.cost / core_equivalents (task_spec (candidate.task));
        }
      g_array_append_val (*ranked, candidate);
    }
  g_array_sort (*ranked, compare_ranks);
  return *ranked;
}

/* Adds the worker of CAPACITY to HOSTS if it is fast enough and could hold one task of
   STEP after preemptions. */
static void
add_host (request_t *request, GArray *hosts, capacity_t *capacity,
          const Cb__BatchStep *step)
{
  host_t host = { .capacity = *capacity, .first = request->candidates->len };
  const GArray *ranked;
  capacity_t most;

  if (capacity->slowness > request->slowness_max)
    return;
  ranked = ranked_tasks (request, capacity);
  for (guint i = 0; i < ranked->len; i++)
    {
      const candidate_t *candidate = &g_array_index (ranked, candidate_t, i);

      if (is_ending (request, candidate->task))
        capacity_release (&host.capacity, task_spec (candidate->task));
      else if (is_preemptible (request, candidate->task))
        g_array_append_val (request->candidates, *candidate);
    }
  host.n_candidates = request->candidates->len - host.first;
  most = host.capacity;
  for (guint i = host.first; i < request->candidates->len; i++)
    capacity_release (
        &most, task_spec (g_array_index (request->candidates, candidate_t, i).task));
  if (capacity_fits (&most, step))
    g_array_append_val (hosts, host);
  else
    g_array_set_size (request->candidates, host.first);
}

static const candidate_t *
candidate_of (const request_t *request, const host_t *host, guint at)
{
  return &g_array_index (request->candidates, candidate_t, host->first + at);
}

/* TRUE when the plan already stops the gang of candidate AT of HOST. Stopping one
   member stops the whole gang, so its cost counts once. */
static gboolean
is_gang_stopped (const request_t *request, const host_t *host, guint at)
{
  const step_state_t *gang = task_step (candidate_of (request, host, at)->task);

  if (gang->stopped_by_plan == request->plan_number)
    return TRUE;
  for (guint i = host->n_preempted; i < at; i++)
    if (task_step (candidate_of (request, host, i)->task) == gang)
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
      const candidate_t *candidate;

      if (increment.n_preempted == host->n_candidates)
        {
          increment.cost = -1;
          break;
        }
      candidate = candidate_of (request, host, increment.n_preempted);
      if (request->wait_for_ends)
        increment.cost = candidate->cost;
      else if (!task_spec (candidate->task)->gang ||
               !is_gang_stopped (request, host, increment.n_preempted))
        increment.cost += candidate->cost;
      capacity_release (&increment.capacity, task_spec (candidate->task));
      increment.n_preempted++;
    }
  return increment;
}

/* Makes the plan use BEST for one more task of STEP. When that stops a gang, the
   increments of all HOSTS are computed anew, as its other members cost nothing more. */
static void
use_host (const request_t *request, GArray *hosts, host_t *best,
          const Cb__BatchStep *step)
{
  const increment_t increment = best->increment;
  gboolean stops_gang = FALSE;

  best->cost = request->wait_for_ends ? MAX (best->cost, increment.cost)
                                      : best->cost + increment.cost;
  for (guint i = best->n_preempted; i < increment.n_preempted; i++)
    {
      const task_t *task = candidate_of (request, best, i)->task;

      task_step (task)->stopped_by_plan = request->plan_number;
      stops_gang = stops_gang || task_spec (task)->gang;
    }
  best->n_preempted = increment.n_preempted;
  best->capacity = increment.capacity;
  best->n_placed++;
  best->computed = FALSE;
  capacity_take (&best->capacity, step);
  for (guint i = 0; stops_gang && i < hosts->len; i++)
    g_array_index (hosts, host_t, i).computed = FALSE;
}

/* Assigns TASK to the cheapest host. Returns NULL when there is none. */
static host_t *
assign_host (const request_t *request, GArray *hosts, const task_t *task)
{
  const Cb__BatchStep *step = task_spec (task);
  host_t *best = NULL;

  for (guint i = 0; i < hosts->len; i++)
    {
      host_t *host = &g_array_index (hosts, host_t, i);

      if ((!request->preempt_equals && !trust_allows (&host->capacity, task)) ||
          !capacity_allows (&host->capacity, task, host->n_placed))
        continue;
      if (!host->computed)
        host->increment = increment_of (request, host, step);
      host->computed = TRUE;
      if (host->increment.cost >= 0 &&
          (best == NULL || host->increment.cost < best->increment.cost))
        best = host;
    }
  if (best != NULL)
    use_host (request, hosts, best, step);
  return best;
}

/* Makes a plan for COUNT tasks on workers of CAPACITIES: their workers in CHOSEN, and
   in PREEMPTED the tasks to preempt or, with wait_for_ends, to wait for. Returns the
   cost in core-ms or, with wait_for_ends, the wait in ms; negative: there is no
   plan. */
static double
make_plan (request_t *request, const GPtrArray *capacities, task_t **tasks,
           uint32_t count, const worker_t **chosen, GPtrArray *preempted)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (host_t));
  double cost = 0;

  request->plan_number = ++request->b->plan_count;
  g_array_set_size (request->candidates, 0);
  for (guint i = 0; i < capacities->len; i++)
    add_host (request, hosts, capacities->pdata[i], task_spec (tasks[0]));
  for (uint32_t i = 0; i < count && cost >= 0; i++)
    {
      const host_t *host = assign_host (request, hosts, tasks[i]);

      if (host == NULL)
        cost = -1;
      else
        chosen[i] = host->capacity.worker;
    }
  for (guint i = 0; i < hosts->len && cost >= 0; i++)
    {
      const host_t *host = &g_array_index (hosts, host_t, i);

      cost = request->wait_for_ends ? MAX (cost, host->cost) : cost + host->cost;
      for (guint k = 0; k < host->n_preempted; k++)
        g_ptr_array_add (preempted, candidate_of (request, host, k)->task);
    }
  g_array_unref (hosts);
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

/* As make_plan, in any racks or, with SCOPE_RACK, in the cheapest one. Adds the number
   of workers that it looked at to LOOKED_AT. */
static double
best_plan (request_t *request, const pass_t *pass, task_t **tasks, uint32_t count,
           scope_t scope, const worker_t **chosen, GPtrArray *preempted,
           int64_t *looked_at)
{
  const worker_t **trial_workers = g_new0 (const worker_t *, count);
  GPtrArray *found = g_ptr_array_new ();
  double best = -1;

  request->candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  *looked_at += pass->capacities->len;
  if (scope == SCOPE_FLEET)
    best = make_plan (request, pass->capacities, tasks, count, chosen, preempted);
  else
    for (guint i = 0; i < pass->racks->len; i++)
      {
        double cost;

        g_ptr_array_set_size (found, 0);
        cost = make_plan (request, pass->racks->pdata[i], tasks, count, trial_workers,
                          found);
        if (cost < 0 || (best >= 0 && cost >= best))
          continue;
        best = cost;
        for (uint32_t k = 0; k < count; k++)
          chosen[k] = trial_workers[k];
        g_ptr_array_set_size (preempted, 0);
        for (guint k = 0; k < found->len; k++)
          g_ptr_array_add (preempted, found->pdata[k]);
      }
  g_array_unref (request->candidates);
  g_ptr_array_free (found, TRUE);
  g_free (trial_workers);
  return best;
}

static void
carry_out_plan (const request_t *request, task_t **tasks, uint32_t count,
                const worker_t **chosen, const GPtrArray *preempted, double cost)
{
  const Cb__BatchJob *spec = request->job->spec;

  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i]->planned_worker = chosen[i];
      tasks[i]->planned_ms = request->now_ms;
    }
  /* equals: equally urgent work may be preempted, too; victims: the preempted tasks. */
  cb_event (CB_LOG_INFO, "batch", "reclaim",
            "job=%s account=%s priority=%u guaranteed=%d equals=%d tasks=%u "
            "victims=%u lost_core_ms=%.0f",
            spec->id, spec->account, spec->priority, request->guaranteed,
            request->preempt_equals, count, preempted->len, cost);
  for (guint i = 0; i < preempted->len; i++)
    stop_task (request->b, preempted->pdata[i], request->now_ms, "reclaimed");
}

/* TRUE when a guarantee has waited for so long that it preempts equally urgent work at
   any cost. */
gboolean
preempts_equals (const pass_t *pass, const job_t *job, gboolean guaranteed)
{
  return guaranteed && (double)(pass->now_ms - job->applied_ms) >=
                           PREEMPT_EQUALS_AFTER * (double)pass->b->params.reclaim_ms;
}

/* TRUE when a guarantee that has waited could preempt work for COUNT tasks of one step
   in SCOPE, at any cost. */
gboolean
could_preempt_equals (const pass_t *pass, task_t **tasks, uint32_t count, scope_t scope)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  GPtrArray *preempted = g_ptr_array_new ();
  request_t request = { .b = pass->b,
                        .job = tasks[0]->job,
                        .guaranteed = TRUE,
                        .preempt_equals = TRUE,
                        .slowness_max = pass->slowness_max,
                        .now_ms = pass->now_ms };
  int64_t looked_at = 0;
  double cost =
      best_plan (&request, pass, tasks, count, scope, chosen, preempted, &looked_at);

  g_ptr_array_free (preempted, TRUE);
  g_free (chosen);
  return cost >= 0;
}

/* Stops the cheapest work that may be preempted, so that COUNT tasks of a step can
   start in SCOPE, and plans their start on the workers it frees. CLAIM says what may be
   preempted. */
plan_result_t
preempt_and_plan (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
                  const claim_t *claim)
{
  const worker_t **chosen;
  GPtrArray *preempted;
  job_t *job = tasks[0]->job;
  request_t request = { .b = pass->b,
                        .job = job,
                        .guaranteed = claim->guaranteed,
                        .spares_in_time = claim->spares_in_time,
                        .preempt_equals =
                            preempts_equals (pass, job, claim->guaranteed),
                        .slowness_max = pass->slowness_max,
                        .now_ms = pass->now_ms };
  plan_result_t result = PLAN_MADE;
  int64_t looked_at = 0;
  double cost;

  if (pass->preemption_budget <= 0 && !claim->guaranteed)
    return PLAN_NOT_TRIED;
  chosen = g_new0 (const worker_t *, count);
  preempted = g_ptr_array_new ();
  cost = best_plan (&request, pass, tasks, count, scope, chosen, preempted, &looked_at);
  pass->preemption_budget -= looked_at;
  if (cost < 0)
    result = PLAN_IMPOSSIBLE;
  else if (!is_cost_justified (&request, cost, task_spec (tasks[0]), count))
    result = PLAN_TOO_COSTLY;
  else
    carry_out_plan (&request, tasks, count, chosen, preempted, cost);
  g_ptr_array_free (preempted, TRUE);
  g_free (chosen);
  return result;
}

/* Returns the time in ms until SCOPE is expected to hold COUNT tasks of one step, by
   the ends of what runs there, and their workers then in CHOSEN. Negative: work that
   never ends or workers that do not suit are in the way, or the pass has looked at as
   many workers as it may. */
double
expected_room_ms (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
                  const worker_t **chosen)
{
  GPtrArray *awaited;
  request_t request = { .b = pass->b,
                        .job = tasks[0]->job,
                        .wait_for_ends = TRUE,
                        .slowness_max = pass->slowness_max,
                        .now_ms = pass->now_ms };
  int64_t looked_at = 0;
  double wait_ms;

  if (pass->reservation_budget <= 0)
    return -1;
  awaited = g_ptr_array_new ();
  wait_ms =
      best_plan (&request, pass, tasks, count, scope, chosen, awaited, &looked_at);
  pass->reservation_budget -= looked_at;
  g_ptr_array_free (awaited, TRUE);
  return wait_ms;
}

/* Logs once that room is reserved for COUNT tasks like TASK, which is expected to be
   free in WAIT_MS. */
static void
note_awaited (const task_t *task, uint32_t count, double wait_ms)
{
  step_state_t *step = task_step (task);

  if (!step->awaits_room)
    cb_event (CB_LOG_INFO, "batch", "room_awaited",
              "job=%s task=%u.%u priority=%u tasks=%u wait_ms=%.0f",
              task->job->spec->id, task->occurrence, task->step,
              task->job->spec->priority, count, wait_ms);
  step->awaits_room = TRUE;
}

/* Deducts the capacity that is expected to become free first in SCOPE, or anywhere if
   no rack is expected to have room, for COUNT tasks that cannot start yet, so that
   smaller tasks do not take it bit by bit. Tasks that end before may still use it, see
   fits_in_awaited, and so may an idle job, see start_in_awaited. */
void
reserve_awaited (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope)
{
  const worker_t **chosen = g_new0 (const worker_t *, count);
  double wait_ms = expected_room_ms (pass, tasks, count, scope, chosen);

  if (wait_ms < 0 && scope == SCOPE_RACK)
    wait_ms = expected_room_ms (pass, tasks, count, SCOPE_FLEET, chosen);
  for (uint32_t i = 0; wait_ms >= 0 && i < count; i++)
    if (chosen[i] != NULL)
      capacity_await (chosen[i]->capacity, task_spec (tasks[i]),
                      pass->now_ms + (cb_msec_t)wait_ms);
  if (wait_ms >= 0)
    note_awaited (tasks[0], count, wait_ms);
  pass->room_awaited = pass->room_awaited || wait_ms >= 0;
  g_free (chosen);
}
