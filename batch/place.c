/* Placement passes: decides in which order waiting tasks start, and on which
   workers. */
#include "batch/local.h"

#include <float.h>
#include <math.h>
#include <string.h>

/* A preemption plan is dropped when its tasks could not start within params.stop_ms
   plus this margin. */
#define PLAN_MARGIN_MS 600
/* A step is at risk of being late when its latest start is less than this time,
   multiplied by its priority (at least by 1), ahead. Less urgent work gets more time,
   as it also waits for all work that is more urgent. */
#define AT_RISK_PER_PRIORITY_MS 5000
/* Ranks of work that is not urgent; the priority is added to the last two. */
#define AT_RISK_RANK 100
#define LATE_URGENT_RANK 101
#define WAITING_RANK 200
#define LATE_RANK 300
/* Guaranteed work does not compete by rank. */
#define GUARANTEED_GROUP 1000
/* While the fleet utilization is below IDLE_UTILIZATION, a job that has had no running
   task for IDLE_WAIT_MS may start one task, or one gang, on any worker: reserved and
   untrusted workers must not block a job on an idle fleet. An urgent job or a step at
   risk is not limited to one task. */
#define IDLE_WAIT_MS 1200

/* Time in ms after params.stop_ms until a task that waits for a stop has started. */
#define START_AFTER_STOP_MS 150
/* Urgent work waits for stops on fast workers when a worker of this slowness would end
   it in time. Less than 1, as the usual worker is one of the faster ones where some are
   slow: objectives that are derived from its run times are a little short. */
#define PREEMPT_SLOWNESS_MIN 0.8

/* A pass looks for work to preempt, and for capacity to reserve, on at most this many
   workers, summed over all plans, or as many plans as PLANS_MIN. The work of a pass
   then doesn't grow with the number of waiting steps. */
#define PLANNED_WORKERS_MAX 6000
#define PLANS_MIN 8

/* A pass starts at most this many tasks, or one gang more. The next one goes on, in the
   order of the demands that there are then. */
#define PASS_STARTS_MAX 1000

/* A step that is ready and has waiting tasks. */
typedef struct
{
  job_t *job;
  uint32_t occurrence;
  uint32_t step;
  cb_msec_t latest_start_ms; /* latest start that meets the objective */
  gboolean guaranteed;       /* covered by its account's guarantee */
  gboolean late;             /* latest_start_ms has passed */
  gboolean overdue;          /* late, and the result is of no use to its caller */
  gboolean at_risk;          /* has to start soon to meet the objective */
  gboolean beyond_share;     /* exceeds its account's part of a fleet that is short */
  gboolean idle; /* the job runs nothing although the fleet is mostly idle */
  reach_t reach;
} demand_t;

/* TRUE when DEMAND gives way to work that can still meet its objective: it is urgent,
   can no longer meet its own, and no guarantee covers it. A daemon task has no end that
   could be late. */
static gboolean
gives_way (const demand_t *demand)
{
  const Cb__BatchJob *spec = demand->job->spec;

  return demand->late && !demand->guaranteed && spec->priority == 0 &&
         !spec->steps[demand->step]->daemon;
}

/* Returns the position of a demand in the placement order, lowest first: urgent work,
   work at risk of being late, urgent work that is late, other work by priority, and
   work that is late already. Urgent work that is overdue counts as at risk, where it is
   first by its latest start: a lasting load of work at risk must not starve it. */
static uint32_t
demand_rank (const demand_t *demand)
{
  uint32_t priority = demand->job->spec->priority;

  if (gives_way (demand))
    return demand->overdue ? AT_RISK_RANK : LATE_URGENT_RANK;
  if (priority == 0)
    return demand->late ? 1 : 0;
  if (demand->late)
    return LATE_RANK + priority;
  return demand->at_risk ? AT_RISK_RANK : WAITING_RANK + priority;
}

static int
compare_demands (gconstpointer a, gconstpointer b)
{
  const demand_t *x = a;
  const demand_t *y = b;

  if (x->guaranteed != y->guaranteed)
    return y->guaranteed - x->guaranteed;
  if (demand_rank (x) != demand_rank (y))
    return demand_rank (x) < demand_rank (y) ? -1 : 1;
  if (x->beyond_share != y->beyond_share)
    return x->beyond_share - y->beyond_share;
  if (x->latest_start_ms != y->latest_start_ms)
    return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
  return strcmp (x->job->spec->id, y->job->spec->id);
}

/* Returns by how much less than on a usual worker a task of urgent STEP takes on the
   fastest ones: so much later it can start there and still end in time. */
static cb_msec_t
faster_by_ms (const pass_t *pass, const job_t *job, uint32_t step)
{
  return job->spec->priority > 0
             ? 0
             : (cb_msec_t)((1 - pass->fastest) *
                           (double)expected_task_ms (pass->b, job->spec, step));
}

static void
add_demand (const pass_t *pass, GArray *demands, demand_t demand, cb_msec_t wall_ms)
{
  cb_batch_t *b = pass->b;
  cb_msec_t now_ms = pass->now_ms;
  job_t *job = demand.job;
  gboolean restarts = job->started && job->spec->steps[demand.step]->daemon;
  cb_msec_t due_ms = occurrence_due_ms (job, demand.occurrence) - wall_ms + now_ms;
  cb_msec_t since_ms = MAX (job->applied_ms, due_ms);
  cb_msec_t allowed_ms = objective_ms (b, job, demand.occurrence);

  demand.latest_start_ms =
      since_ms + allowed_ms - critical_path_ms (b, job, demand.occurrence, FALSE);
  /* A daemon task that ended is never late, and always at risk: it has to run again as
     soon as possible. */
  demand.late = !restarts &&
                now_ms > demand.latest_start_ms + faster_by_ms (pass, job, demand.step);
  demand.overdue =
      demand.late && now_ms > since_ms + USEFUL_OBJECTIVE_MULTIPLE * allowed_ms;
  demand.at_risk = restarts || now_ms > demand.latest_start_ms -
                                            AT_RISK_PER_PRIORITY_MS *
                                                (cb_msec_t)MAX (1, job->spec->priority);
  demand.idle = pass->mostly_idle && job->open_runs == 0 &&
                now_ms - job->idle_since_ms > IDLE_WAIT_MS;
  demand.reach = demand.idle                                  ? REACH_ALL
                 : job->spec->priority == 0 || demand.at_risk ? REACH_RESERVED
                                                              : REACH_SHARED;
  demand.guaranteed = job->guaranteed;
  g_array_append_val (demands, demand);
}

static void
add_job_demands (const pass_t *pass, GArray *demands, job_t *job, cb_msec_t wall_ms)
{
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (uint32_t i = 0; i < job->spec->n_steps; i++)
      {
        step_state_t *step = &job->occurrences[k].steps[i];
        demand_t demand = { .job = job, .occurrence = k, .step = i };

        if (step->waiting == 0 || !step_ready (job, k, i, wall_ms))
          continue;
        if (step->waves == 0 && pass->capacities->len > 0)
          step->waves = step_waves (pass->capacities, job->spec->steps[i]);
        add_demand (pass, demands, demand, wall_ms);
      }
}

/* Returns the number of tasks of STEP that wait for a place. */
static uint32_t
count_unplaced (const step_state_t *step)
{
  uint32_t count = 0;

  for (uint32_t t = 0; t < step->count; t++)
    count += step->tasks[t].state == TASK_WAITING && !step->tasks[t].proposed_start;
  return count;
}

/* Sorts DEMANDS in the order in which they are placed. Where not all of a rank fits,
   the work of accounts that exceed their part of the fleet comes last in it. */
static void
sort_demands (const pass_t *pass, GArray *demands)
{
  GArray *items;

  g_array_sort (demands, compare_demands);
  if (!pass->b->fair_queueing)
    return;
  items = g_array_sized_new (FALSE, TRUE, sizeof (share_item_t), demands->len);
  for (guint i = 0; i < demands->len; i++)
    {
      const demand_t *demand = &g_array_index (demands, demand_t, i);
      const step_state_t *step =
          &demand->job->occurrences[demand->occurrence].steps[demand->step];
      const share_item_t item = { .job = demand->job,
                                  .step = demand->step,
                                  .count = count_unplaced (step),
                                  .group = demand->guaranteed ? GUARANTEED_GROUP
                                                              : demand_rank (demand) };

      g_array_append_val (items, item);
    }
  share_update (pass, items);
  /* The guarantees go first in the order of their latest starts, as their bound counts
     from acceptance. */
  for (guint i = 0; i < demands->len; i++)
    {
      demand_t *demand = &g_array_index (demands, demand_t, i);

      demand->beyond_share =
          !demand->guaranteed && g_array_index (items, share_item_t, i).beyond_share;
    }
  g_array_sort (demands, compare_demands);
  g_array_unref (items);
}

static GArray *
list_demands (const pass_t *pass, cb_msec_t wall_ms)
{
  GArray *demands = g_array_new (FALSE, FALSE, sizeof (demand_t));

  for (GList *l = pass->b->job_list.head; l != NULL; l = l->next)
    if (job_open (l->data))
      add_job_demands (pass, demands, l->data, wall_ms);
  sort_demands (pass, demands);
  return demands;
}

/* Returns the tasks of STEP that may be started now. The caller frees the array. */
static task_t **
waiting_tasks (step_state_t *step, cb_msec_t now_ms, uint32_t *count)
{
  task_t **tasks = g_new0 (task_t *, MAX (1, step->count));

  *count = 0;
  for (uint32_t t = 0; t < step->count; t++)
    if (step->tasks[t].state == TASK_WAITING && !step->tasks[t].proposed_start &&
        now_ms >= step->tasks[t].not_before_ms)
      tasks[(*count)++] = &step->tasks[t];
  return tasks;
}

/* Returns the capacity of the worker that the preemption plan of TASK selected, or NULL
   without a plan. Drops a plan that has expired or whose worker cannot be used any
   more. */
capacity_t *
planned_capacity (const pass_t *pass, task_t *task)
{
  capacity_t *capacity = NULL;

  for (guint i = 0;
       task->planned_worker != NULL && capacity == NULL &&
       pass->now_ms - task->planned_ms < pass->b->params.stop_ms + PLAN_MARGIN_MS &&
       i < pass->capacities->len;
       i++)
    if (((capacity_t *)pass->capacities->pdata[i])->worker == task->planned_worker)
      capacity = pass->capacities->pdata[i];
  if (capacity != NULL && !capacity_allows (capacity, task, 0))
    capacity = NULL;
  if (capacity == NULL)
    task->planned_worker = NULL;
  return capacity;
}

/* Deducts the capacity that earlier plans reserve, so that nothing else is placed
   there. */
static void
reserve_plans (const pass_t *pass, const GArray *demands)
{
  for (guint i = 0; i < demands->len; i++)
    {
      const demand_t *demand = &g_array_index (demands, demand_t, i);
      step_state_t *step =
          &demand->job->occurrences[demand->occurrence].steps[demand->step];

      for (uint32_t t = 0; t < step->count; t++)
        {
          task_t *task = &step->tasks[t];
          capacity_t *capacity =
              task->planned_worker == NULL ? NULL : planned_capacity (pass, task);

          if (capacity != NULL)
            capacity_take (capacity, task_spec (task));
        }
    }
}

/* Gives back the capacity that plans reserve for COUNT tasks, and lists the planned
   workers in CHOSEN. Returns FALSE unless all the tasks have a valid plan. */
static gboolean
release_plan (const pass_t *pass, task_t **tasks, uint32_t count, capacity_t **chosen)
{
  gboolean valid = TRUE;

  for (uint32_t i = 0; i < count; i++)
    {
      chosen[i] = planned_capacity (pass, tasks[i]);
      valid = valid && chosen[i] != NULL;
      if (chosen[i] != NULL)
        capacity_release (chosen[i], task_spec (tasks[i]));
    }
  return valid;
}

static scope_t
preferred_scope (task_t **tasks, uint32_t count)
{
  return prefers_one_rack (task_spec (tasks[0]), count) ? SCOPE_RACK : SCOPE_FLEET;
}

/* Returns SCOPE_RACK when all the workers of CHOSEN are in one rack. */
static scope_t
scope_of (capacity_t **chosen, uint32_t count)
{
  for (uint32_t i = 1; i < count; i++)
    if (strcmp (chosen[i]->worker->rack, chosen[0]->worker->rack) != 0)
      return SCOPE_FLEET;
  return SCOPE_RACK;
}

/* Starts COUNT tasks on the workers of CHOSEN, and drops any plans for the tasks. */
static void
start_chosen (pass_t *pass, task_t **tasks, capacity_t **chosen, uint32_t count)
{
  worker_t **workers = g_new (worker_t *, count);

  if (preferred_scope (tasks, count) == SCOPE_RACK &&
      scope_of (chosen, count) != SCOPE_RACK)
    log_spread (pass, tasks, chosen, count);
  for (uint32_t i = 0; i < count; i++)
    {
      workers[i] = chosen[i]->worker;
      tasks[i]->planned_worker = NULL;
      capacity_forget_order (chosen[i]);
    }
  start_tasks (pass->b, tasks, workers, count, pass->now_ms);
  task_step (tasks[0])->rack_wait_since_ms = 0;
  task_step (tasks[0])->awaits_room = FALSE;
  pass->starts_left -= MIN (pass->starts_left, count);
  g_free (workers);
}

/* Deducts the capacity of a plan, and starts the tasks there when all of it is free. */
static void
take_planned (pass_t *pass, task_t **tasks, capacity_t **planned, uint32_t count)
{
  gboolean free_now = TRUE;

  for (uint32_t i = 0; i < count; i++)
    {
      free_now = free_now && capacity_fits (planned[i], task_spec (tasks[i]));
      capacity_take (planned[i], task_spec (tasks[i]));
    }
  if (free_now)
    start_chosen (pass, tasks, planned, count);
}

/* As fit_tasks, but gives up at once what a miss of this pass rules out. */
static gboolean
fit_unless_missed (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                   scope_t scope, capacity_t **chosen)
{
  if (is_fit_missed (pass, tasks, count, demand->reach, scope))
    return FALSE;
  if (fit_tasks (pass, tasks, count, demand->reach, scope, chosen))
    return TRUE;
  note_fit_miss (pass, tasks, count, demand->reach, scope);
  return FALSE;
}

/* As has_room, but gives up at once what a miss of this pass rules out. */
static gboolean
has_room_unless_missed (pass_t *pass, const demand_t *demand, task_t **tasks,
                        uint32_t count, scope_t scope)
{
  if (is_fit_missed (pass, tasks, count, demand->reach, scope))
    return FALSE;
  if (has_room (pass, tasks, count, demand->reach, scope, 1))
    return TRUE;
  note_fit_miss (pass, tasks, count, demand->reach, scope);
  return FALSE;
}

/* Returns the largest slowness of the workers of CHOSEN, at least 1. */
static double
slowest_of (capacity_t **chosen, uint32_t count)
{
  double slowest = 1;

  for (uint32_t i = 0; i < count; i++)
    slowest = MAX (slowest, chosen[i]->slowness);
  return slowest;
}

/* Keeps free capacity of any speed reserved for COUNT guaranteed tasks that wait for a
   plan on faster workers: should the plan fail, they start there, as late as they may.
 */
static void
reserve_slower (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                capacity_t **chosen)
{
  if (demand->guaranteed && !tasks[0]->proposed_start)
    fit_tasks (pass, tasks, count, demand->reach, SCOPE_FLEET, chosen);
}

/* Handles COUNT tasks that have a plan: starts them on any workers with free capacity
   that are as fast, in one rack if they prefer that and the plan has one, or else keeps
   the planned capacity reserved and starts them there once it is free. Returns FALSE
   when not all of them have a valid plan. */
static gboolean
follow_plan (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count)
{
  capacity_t **planned = g_new0 (capacity_t *, count);
  capacity_t **chosen = g_new0 (capacity_t *, count);
  gboolean valid = release_plan (pass, tasks, count, planned);
  gboolean limited = valid && slowest_of (planned, count) < pass->slowest;
  scope_t scope = valid && preferred_scope (tasks, count) == SCOPE_RACK
                      ? scope_of (planned, count)
                      : SCOPE_FLEET;

  for (uint32_t i = 0; i < count && !valid; i++)
    tasks[i]->planned_worker = NULL;
  if (limited)
    limit_slowness (pass, 0, slowest_of (planned, count));
  if (valid && fit_tasks (pass, tasks, count, demand->reach, scope, chosen))
    start_chosen (pass, tasks, chosen, count);
  else if (valid)
    take_planned (pass, tasks, planned, count);
  unlimit_slowness (pass);
  if (limited)
    reserve_slower (pass, demand, tasks, count, chosen);
  g_free (planned);
  g_free (chosen);
  return valid;
}

/* Deducts the capacity of the plan that was just made for COUNT tasks. */
static void
take_new_plan (pass_t *pass, task_t **tasks, uint32_t count)
{
  capacity_t **planned = g_new0 (capacity_t *, count);

  for (uint32_t i = 0; i < count; i++)
    planned[i] = tasks[i]->planned_worker->capacity;
  take_planned (pass, tasks, planned, count);
  g_free (planned);
}

/* Preempts work in SCOPE for COUNT tasks, unless a miss of this pass rules that out,
   and plans their start. */
static plan_result_t
preempt_unless_missed (pass_t *pass, const demand_t *demand, task_t **tasks,
                       uint32_t count, scope_t scope)
{
  const claim_t claim = { .guaranteed = demand->guaranteed,
                          .spares_in_time = gives_way (demand) };
  plan_result_t result = missed_plan (pass, tasks, count, scope, &claim);

  if (result != PLAN_NOT_TRIED)
    return result;
  result = preempt_and_plan (pass, tasks, count, scope, &claim);
  if (result == PLAN_MADE)
    take_new_plan (pass, tasks, count);
  else if (result != PLAN_NOT_TRIED)
    note_plan_miss (pass, tasks, count, scope, &claim, result);
  return result;
}

/* TRUE when running work may be preempted for DEMAND: always for urgent work, but see
   gives_way; for other work only once it would be late otherwise. */
static gboolean
may_preempt (const pass_t *pass, const demand_t *demand)
{
  return demand->job->spec->priority == 0 || pass->now_ms >= demand->latest_start_ms;
}

/* Starts COUNT tasks where SCOPE has free capacity. */
static gboolean
start_where_free (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                  scope_t scope)
{
  capacity_t **chosen = g_new0 (capacity_t *, count);
  gboolean started = fit_unless_missed (pass, demand, tasks, count, scope, chosen);

  if (started)
    start_chosen (pass, tasks, chosen, count);
  g_free (chosen);
  return started;
}

/* TRUE when a start of a task of STEP has been proposed and is not in the log yet. */
static gboolean
has_proposed_start (const step_state_t *step)
{
  for (uint32_t t = 0; t < step->count; t++)
    if (step->tasks[t].proposed_start)
      return TRUE;
  return FALSE;
}

/* TRUE when TASK, or its gang, may start in room that is reserved for others: its job
   runs nothing although the fleet is mostly idle, and this is the first start. */
static gboolean
may_use_awaited (const pass_t *pass, const demand_t *demand, const task_t *task)
{
  return pass->room_awaited && demand->idle && !has_proposed_start (task_step (task));
}

/* Starts COUNT tasks in room that is reserved for others, in one rack if they prefer
   that, if the fleet has such room twice over: with less, what it is reserved for goes
   first. */
static gboolean
start_in_awaited (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count)
{
  demand_t anywhere = *demand;

  anywhere.reach = REACH_AWAITED;
  return may_use_awaited (pass, demand, tasks[0]) &&
         has_room (pass, tasks, count, REACH_AWAITED, SCOPE_FLEET, 2) &&
         (start_where_free (pass, &anywhere, tasks, count,
                            preferred_scope (tasks, count)) ||
          (!has_room_unless_missed (pass, demand, tasks, count, SCOPE_FLEET) &&
           start_where_free (pass, &anywhere, tasks, count, SCOPE_FLEET)));
}

/* Places COUNT tasks that prefer one rack and have found none with free capacity:
   preempts work in one rack, or else, if no rack is worth the wait, starts them on
   several racks or preempts work there. PREEMPT: work may be preempted. */
static gboolean
place_without_rack (pass_t *pass, const demand_t *demand, task_t **tasks,
                    uint32_t count, gboolean preempt)
{
  gboolean fits = has_room_unless_missed (pass, demand, tasks, count, SCOPE_FLEET);
  gboolean idle = fits && demand->idle &&
                  has_room (pass, tasks, count, demand->reach, SCOPE_FLEET, 2);
  cb_msec_t deadline_ms = rack_deadline_ms (pass, tasks[0], idle);
  plan_result_t plan = PLAN_IMPOSSIBLE;

  /* Stops that take no effect must not be planned without end. Where the pass may make
     no more plans, the next one does. */
  if (preempt && (!fits || pass->now_ms < deadline_ms))
    plan = preempt_unless_missed (pass, demand, tasks, count, SCOPE_RACK);
  if (plan == PLAN_MADE)
    return TRUE;
  if (!fits && (!preempt || plan != PLAN_IMPOSSIBLE))
    return FALSE;
  note_rack_wait (pass, tasks[0]);
  if (plan == PLAN_NOT_TRIED ||
      is_rack_expected (pass, tasks, count, demand->guaranteed, deadline_ms))
    return FALSE;
  return fits ? start_where_free (pass, demand, tasks, count, SCOPE_FLEET)
              : preempt_unless_missed (pass, demand, tasks, count, SCOPE_FLEET) ==
                    PLAN_MADE;
}

/* Returns the largest slowness of workers on which the step of DEMAND, and what follows
   on usual ones, is expected to end in time if it starts in DELAY_MS. Below 1: it would
   be late on usual workers, too. */
static double
slowness_in_time (const pass_t *pass, const demand_t *demand, cb_msec_t delay_ms)
{
  cb_msec_t slack_ms = demand->latest_start_ms - pass->now_ms - delay_ms;
  cb_msec_t task_ms = expected_task_ms (pass->b, demand->job->spec, demand->step);

  return 1 + (double)slack_ms / (double)MAX (1, task_ms);
}

/* Starts COUNT tasks where SCOPE has free capacity on workers whose slowness is from
   MIN to MAX. */
static gboolean
start_within (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
              scope_t scope, double min, double max)
{
  gboolean started;

  limit_slowness (pass, min, max);
  started = start_where_free (pass, demand, tasks, count, scope);
  unlimit_slowness (pass);
  return started;
}

/* Preempts work for COUNT tasks on workers that are so fast that the tasks end in time,
   although they wait for the stops. A guarantee waits so only while there is time to
   start it elsewhere if the stops have no effect. */
static gboolean
preempt_in_time (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                 scope_t scope)
{
  const cb_batch_params_t *params = &pass->b->params;
  cb_msec_t age_ms = pass->now_ms - demand->job->applied_ms;
  double in_time =
      slowness_in_time (pass, demand, params->stop_ms + START_AFTER_STOP_MS);
  gboolean planned;

  if (in_time < MIN (pass->fastest, PREEMPT_SLOWNESS_MIN) ||
      (demand->guaranteed &&
       (preempts_equals (pass, demand->job, TRUE) ||
        age_ms + params->stop_ms + PLAN_MARGIN_MS >= params->reclaim_ms)))
    return FALSE;
  limit_slowness (pass, 0, MAX (1, in_time));
  planned = preempt_unless_missed (pass, demand, tasks, count, scope) == PLAN_MADE;
  unlimit_slowness (pass);
  return planned;
}

/* Starts COUNT members of a gang with time to spare on slow workers only, or on none:
   it would keep the faster ones waiting for the slow ones. */
static gboolean
start_with_even_speed (pass_t *pass, const demand_t *demand, task_t **tasks,
                       uint32_t count, scope_t scope)
{
  double faster = SLOWER_RATIO * pass->fastest;

  return start_within (pass, demand, tasks, count, scope, nextafter (faster, DBL_MAX),
                       pass->slowest) ||
         start_within (pass, demand, tasks, count, scope, 0, faster);
}

/* Places COUNT tasks where slow workers are known and the speed matters: on workers
   that are fast enough to end in time, if need be by preemption (PREEMPT: work may be
   preempted). Late work that is not urgent is not worth fast workers. Returns FALSE
   when there are none: the tasks may then go to workers of any speed. */
static gboolean
place_by_speed (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                gboolean preempt)
{
  const Cb__BatchStep *spec = task_spec (tasks[0]);
  scope_t scope = preferred_scope (tasks, count);
  double in_time = slowness_in_time (pass, demand, 0);
  double spread_in_time = in_time / MAX (1, pass->b->params.remote_slowdown);

  if (pass->slowest <= pass->fastest || spec->daemon || spec->fills ||
      (in_time < 1 && demand->job->spec->priority > 0))
    return FALSE;
  if (in_time >= pass->slowest)
    return pass->prefers_slow && count > 1 &&
           start_with_even_speed (pass, demand, tasks, count, scope);
  return start_within (pass, demand, tasks, count, scope, 0,
                       MAX (pass->fastest, in_time)) ||
         (preempt && preempt_in_time (pass, demand, tasks, count, scope)) ||
         (scope == SCOPE_RACK && spread_in_time >= pass->fastest &&
          start_within (pass, demand, tasks, count, SCOPE_FLEET, 0, spread_in_time));
}

/* Starts COUNT tasks together, or, with PREEMPT, preempts work and plans their start.
   Returns FALSE when neither is possible, and no room that is reserved for others may
   be used: the tasks then wait until running work ends, and for urgent work and steps
   at risk the capacity that is expected to become free first is reserved. */
static gboolean
place_together (pass_t *pass, const demand_t *demand, task_t **tasks, uint32_t count,
                gboolean preempt)
{
  scope_t scope = preferred_scope (tasks, count);

  if (follow_plan (pass, demand, tasks, count) ||
      place_by_speed (pass, demand, tasks, count, preempt) ||
      start_where_free (pass, demand, tasks, count, scope))
    return TRUE;
  if (scope == SCOPE_RACK
          ? place_without_rack (pass, demand, tasks, count, preempt)
          : preempt &&
                preempt_unless_missed (pass, demand, tasks, count, scope) == PLAN_MADE)
    return TRUE;
  if (start_in_awaited (pass, demand, tasks, count))
    return TRUE;
  if (demand->job->spec->priority == 0 || demand->at_risk)
    reserve_awaited (pass, tasks, count, scope);
  return FALSE;
}

static gboolean
any_unstarted (task_t **tasks, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!tasks[i]->proposed_start)
      return TRUE;
  return FALSE;
}

static void
place_step (pass_t *pass, const demand_t *demand)
{
  step_state_t *step =
      &demand->job->occurrences[demand->occurrence].steps[demand->step];
  const Cb__BatchStep *spec = demand->job->spec->steps[demand->step];
  uint32_t count;
  task_t **tasks = waiting_tasks (step, pass->now_ms, &count);
  uint32_t wave_size = (step->count + MAX (1, step->waves) - 1) / MAX (1, step->waves);

  pass->prefers_slow = demand->job->spec->priority > 0 && !demand->at_risk &&
                       slowness_in_time (pass, demand, 0) >= pass->slowest;
  advice_refresh (pass->b, demand->job, step, pass->now_ms);
  for (uint32_t i = 0; i < count; i++)
    trust_update_task (pass->capacities, tasks[i], pass->now_ms);
  if (spec->gang && count > 0 && count == step->count)
    place_together (pass, demand, tasks, count, may_preempt (pass, demand));
  for (uint32_t i = 0; i < count && !spec->gang && pass->starts_left > 0; i++)
    {
      /* A step whose tasks run in several rounds (step->waves) preempts other work only
         while fewer of them run than one round holds; guaranteed work always may. */
      gboolean preempt = may_preempt (pass, demand) &&
                         (demand->guaranteed || step->started + i < wave_size);

      if (!place_together (pass, demand, &tasks[i], 1, preempt) ||
          (demand->idle && !demand->at_risk && demand->job->spec->priority > 0))
        break;
    }
  if (step->advised && count > 0 && any_unstarted (tasks, count))
    advice_prepare_request (pass, tasks[0], may_preempt (pass, demand));
  g_free (tasks);
}

/* Runs one placement pass: starts waiting tasks in the order of compare_demands, that
   is guaranteed work first, then by demand_rank, then by the part of the fleet that the
   account takes, see share.c, then by the latest start that meets the objective. */
void
place_all (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  pass_t *pass = pass_new (b, now_ms);
  GArray *demands;

  update_guarantees (b);
  demands = list_demands (pass, wall_ms);
  pass->preemption_budget = pass->reservation_budget =
      MAX (PLANNED_WORKERS_MAX, PLANS_MIN * (int64_t)pass->capacities->len);
  cb_batch_advice_request_free (cb_batch_pop_advice_request (b));
  pass->starts_left = PASS_STARTS_MAX;
  forget_awaited (pass);
  reserve_for_urgent (pass->capacities);
  reserve_plans (pass, demands);
  reserve_relocations (pass);
  for (guint i = 0;
       pass->capacities->len > 0 && pass->starts_left > 0 && i < demands->len; i++)
    place_step (pass, &g_array_index (demands, demand_t, i));
  relocate_daemons (pass);
  b->dirty = b->dirty || pass->starts_left == 0;
  g_array_unref (demands);
  pass_free (pass);
}
