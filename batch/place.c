#include "batch/local.h"

#include <string.h>

/* A plan that could not be carried out within a stop and this long in ms is dropped. */
#define PLAN_SLACK_MS 600
/* Work that has to start within this time in ms, for each step of priority, to be in
   time uses every room and goes before work that can wait. Less urgent work gets more
   of it, as it also waits for all that is more urgent. */
#define AT_RISK_MS 5000
/* Ranks of work that is not urgent; the priority is added. */
#define AT_RISK_RANK 100
#define WAITING_RANK 200
#define LATE_RANK 300
/* While less of the fleet is in use, a job of which nothing has run for this long in ms
   gets one task, or its gang, into any room: no job stands still on an idle fleet. */
#define IDLE_USE 0.55
#define IDLE_WAIT_MS 1200

/* A step with waiting tasks whose turn has come. */
typedef struct
{
  job_t *job;
  uint32_t occurrence;
  uint32_t step;
  cb_msec_t latest_start_ms; /* to end within the objective */
  gboolean guaranteed;       /* covered by its account's guarantee */
  gboolean late;             /* cannot end within its objective any more */
  gboolean at_risk;          /* late unless it starts soon */
  gboolean idle;             /* nothing of it runs on a fleet with much room */
  reach_t reach;
} demand_t;

static cb_msec_t
objective_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence)
{
  return (cb_msec_t)((double)chain_ms (b, job, occurrence, TRUE) *
                     job->spec->stretch_milli / 1000) +
         job->spec->slack_ms;
}

/* Urgent work first; then work that would be late if it waited further, then the rest
   by priority, and what is late already at the end. */
static uint32_t
rank (const demand_t *demand)
{
  uint32_t priority = demand->job->spec->priority;

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
  if (rank (x) != rank (y))
    return rank (x) < rank (y) ? -1 : 1;
  if (x->latest_start_ms != y->latest_start_ms)
    return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
  return strcmp (x->job->spec->id, y->job->spec->id);
}

static void
add_demand (cb_batch_t *b, GArray *demands, demand_t demand, double use,
            cb_msec_t now_ms, cb_msec_t wall_ms)
{
  job_t *job = demand.job;
  gboolean restarts = job->started && job->spec->steps[demand.step]->daemon;
  cb_msec_t due_ms = occurrence_due_ms (job, demand.occurrence) - wall_ms + now_ms;

  demand.latest_start_ms = MAX (job->folded_ms, due_ms) +
                           objective_ms (b, job, demand.occurrence) -
                           chain_ms (b, job, demand.occurrence, FALSE);
  /* A lasting task that ended is never late: it has to run again as soon as it can. */
  demand.late = !restarts && now_ms > demand.latest_start_ms;
  demand.at_risk =
      restarts || now_ms > demand.latest_start_ms -
                               AT_RISK_MS * (cb_msec_t)MAX (1, job->spec->priority);
  demand.idle =
      use < IDLE_USE && job->open_runs == 0 && now_ms - job->idle_ms > IDLE_WAIT_MS;
  demand.reach = demand.idle                                  ? REACH_ALL
                 : job->spec->priority == 0 || demand.at_risk ? REACH_KEPT
                                                              : REACH_SHARED;
  demand.guaranteed = account_guaranteed (b, job);
  g_array_append_val (demands, demand);
}

static void
add_demands_of (cb_batch_t *b, GArray *demands, job_t *job, const GPtrArray *rooms,
                double use, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (uint32_t i = 0; i < job->spec->n_steps; i++)
      {
        step_state_t *step = &job->occurrences[k].steps[i];
        demand_t demand = { .job = job, .occurrence = k, .step = i };

        if (step->waiting == 0 || !step_ready (job, k, i, wall_ms))
          continue;
        if (step->waves == 0)
          step->waves = room_waves (rooms, job->spec->steps[i]);
        add_demand (b, demands, demand, use, now_ms, wall_ms);
      }
}

static GArray *
list_demands (cb_batch_t *b, const GPtrArray *rooms, cb_msec_t now_ms,
              cb_msec_t wall_ms)
{
  GArray *demands = g_array_new (FALSE, FALSE, sizeof (demand_t));
  double use = rooms_use (rooms);

  for (GList *l = b->open.head; l != NULL; l = l->next)
    if (job_open (l->data))
      add_demands_of (b, demands, l->data, rooms, use, now_ms, wall_ms);
  g_array_sort (demands, compare_demands);
  return demands;
}

/* Lists the tasks of a step that wait for a start; the caller frees the list. */
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

static room_t *
room_of (GPtrArray *rooms, const worker_t *w)
{
  for (guint i = 0; i < rooms->len; i++)
    if (((room_t *)rooms->pdata[i])->worker == w)
      return rooms->pdata[i];
  return NULL;
}

/* Returns the room that is being emptied for TASK, or NULL when there is no plan, or it
   cannot be carried out in time or at all any more. */
static room_t *
planned_room (const cb_batch_t *b, GPtrArray *rooms, task_t *task, cb_msec_t now_ms)
{
  room_t *room = NULL;

  if (task->planned != NULL &&
      now_ms - task->planned_ms < b->params.stop_ms + PLAN_SLACK_MS)
    room = room_of (rooms, task->planned);
  if (room != NULL && !room_allows (room, task, 0))
    room = NULL;
  if (room == NULL)
    task->planned = NULL;
  return room;
}

/* Takes the places of all plans off ROOMS, so that nothing else is put there. */
static void
reserve_plans (const cb_batch_t *b, GPtrArray *rooms, const GArray *demands,
               cb_msec_t now_ms)
{
  for (guint i = 0; i < demands->len; i++)
    {
      const demand_t *demand = &g_array_index (demands, demand_t, i);
      step_state_t *step =
          &demand->job->occurrences[demand->occurrence].steps[demand->step];

      for (uint32_t t = 0; t < step->count; t++)
        {
          task_t *task = &step->tasks[t];
          room_t *room =
              task->planned == NULL ? NULL : planned_room (b, rooms, task, now_ms);

          if (room != NULL)
            room_take (room, task_spec (task));
        }
    }
}

/* Gives the places of a plan for COUNT tasks back and lists them in CHOSEN. Returns
   FALSE when there is no plan for all of them. */
static gboolean
release_plan (const cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
              room_t **chosen, cb_msec_t now_ms)
{
  gboolean valid = TRUE;

  for (uint32_t i = 0; i < count; i++)
    {
      chosen[i] = planned_room (b, rooms, tasks[i], now_ms);
      valid = valid && chosen[i] != NULL;
      if (chosen[i] != NULL)
        room_give (chosen[i], task_spec (tasks[i]));
    }
  return valid;
}

/* Starts COUNT tasks in CHOSEN; plans for them are of no use any more. */
static void
start_in_rooms (cb_batch_t *b, task_t **tasks, room_t **chosen, uint32_t count,
                cb_msec_t now_ms)
{
  worker_t **workers = g_new (worker_t *, count);

  for (uint32_t i = 0; i < count; i++)
    {
      workers[i] = chosen[i]->worker;
      tasks[i]->planned = NULL;
    }
  start_tasks (b, tasks, workers, count, now_ms);
  g_free (workers);
}

/* Takes the places of a plan, and starts the tasks there when all of them are free. */
static void
take_planned (cb_batch_t *b, task_t **tasks, room_t **planned, uint32_t count,
              cb_msec_t now_ms)
{
  gboolean free_now = TRUE;

  for (uint32_t i = 0; i < count; i++)
    {
      free_now = free_now && room_fits (planned[i], task_spec (tasks[i]));
      room_take (planned[i], task_spec (tasks[i]));
    }
  if (free_now)
    start_in_rooms (b, tasks, planned, count, now_ms);
}

/* Starts COUNT tasks for which places are being emptied, wherever there is room first,
   or keeps the places for them. Returns FALSE when there is no plan or it cannot be
   carried out any more. */
static gboolean
follow_plan (cb_batch_t *b, GPtrArray *rooms, const demand_t *demand, task_t **tasks,
             uint32_t count, cb_msec_t now_ms)
{
  room_t **planned = g_new0 (room_t *, count);
  room_t **chosen = g_new0 (room_t *, count);
  gboolean valid = release_plan (b, rooms, tasks, count, planned, now_ms);

  for (uint32_t i = 0; i < count && !valid; i++)
    tasks[i]->planned = NULL;
  if (valid && fit_step (rooms, tasks, count, demand->reach, chosen))
    start_in_rooms (b, tasks, chosen, count, now_ms);
  else if (valid)
    take_planned (b, tasks, planned, count, now_ms);
  g_free (planned);
  g_free (chosen);
  return valid;
}

/* Takes the places that were chosen just now for COUNT tasks. */
static void
keep_plan (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
           cb_msec_t now_ms)
{
  room_t **planned = g_new0 (room_t *, count);

  for (uint32_t i = 0; i < count; i++)
    planned[i] = room_of (rooms, tasks[i]->planned);
  take_planned (b, tasks, planned, count, now_ms);
  g_free (planned);
}

/* Urgent work does not wait for less urgent work; other work only when it would be late
   otherwise. */
static gboolean
may_preempt (const demand_t *demand, cb_msec_t now_ms)
{
  return demand->job->spec->priority == 0 || now_ms >= demand->latest_start_ms;
}

/* Starts COUNT tasks together, or plans to. Returns FALSE when they have to wait for
   others' ends. */
static gboolean
place_together (cb_batch_t *b, GPtrArray *rooms, const demand_t *demand, task_t **tasks,
                uint32_t count, gboolean preempt, cb_msec_t now_ms)
{
  room_t **chosen = g_new0 (room_t *, count);
  gboolean placed = TRUE;

  if (!follow_plan (b, rooms, demand, tasks, count, now_ms))
    {
      placed = fit_step (rooms, tasks, count, demand->reach, chosen);
      if (placed)
        start_in_rooms (b, tasks, chosen, count, now_ms);
      else if (preempt &&
               plan_reclaim (b, rooms, tasks, count, demand->guaranteed, now_ms))
        {
          placed = TRUE;
          keep_plan (b, rooms, tasks, count, now_ms);
        }
      else if (demand->job->spec->priority == 0 || demand->at_risk)
        await_places (b, rooms, tasks, count, now_ms);
    }
  g_free (chosen);
  return placed;
}

static gboolean
waits (task_t **tasks, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!tasks[i]->proposed_start)
      return TRUE;
  return FALSE;
}

static void
place_step (cb_batch_t *b, GPtrArray *rooms, const demand_t *demand, cb_msec_t now_ms)
{
  step_state_t *step =
      &demand->job->occurrences[demand->occurrence].steps[demand->step];
  const Cb__BatchStep *spec = demand->job->spec->steps[demand->step];
  uint32_t count;
  task_t **tasks = waiting_tasks (step, now_ms, &count);
  uint32_t wave = (step->count + MAX (1, step->waves) - 1) / MAX (1, step->waves);

  advice_refresh (b, demand->job, step, now_ms);
  for (uint32_t i = 0; i < count; i++)
    trust_forget (rooms, tasks[i], now_ms);
  if (spec->gang && count > 0 && count == step->count)
    place_together (b, rooms, demand, tasks, count, may_preempt (demand, now_ms),
                    now_ms);
  for (uint32_t i = 0; i < count && !spec->gang; i++)
    {
      /* A wide step stops others' work for one wave at a time. */
      gboolean preempt = may_preempt (demand, now_ms) &&
                         (demand->guaranteed || step->started + i < wave);

      if (!place_together (b, rooms, demand, &tasks[i], 1, preempt, now_ms) ||
          (demand->idle && !demand->at_risk && demand->job->spec->priority > 0))
        break;
    }
  if (step->advised && count > 0 && waits (tasks, count))
    advice_want (b, rooms, tasks[0], may_preempt (demand, now_ms));
  g_free (tasks);
}

/* Starts what fits, in order: guaranteed work, then by priority, work that can be in
   time before work that is late, and by the latest start that keeps the objective. */
void
place_all (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  GPtrArray *rooms = rooms_new (b, now_ms);
  GArray *demands = list_demands (b, rooms, now_ms, wall_ms);

  cb_batch_question_free (cb_batch_take_question (b));
  rooms_keep (rooms);
  reserve_plans (b, rooms, demands, now_ms);
  for (guint i = 0; rooms->len > 0 && i < demands->len; i++)
    place_step (b, rooms, &g_array_index (demands, demand_t, i), now_ms);
  g_array_unref (demands);
  g_ptr_array_free (rooms, TRUE);
}
