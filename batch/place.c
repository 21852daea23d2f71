#include "batch/local.h"

#include <string.h>

/* A plan that could not be carried out within two stops and this long is dropped. */
#define PLAN_SLACK_MS 1500
/* Work that has to start within this time in ms to be in time uses every room. */
#define AT_RISK_MS 3000

typedef struct
{
  job_t *job;
  uint32_t occurrence;
  uint32_t step;
  cb_msec_t latest_start_ms; /* to end within the objective */
  gboolean guaranteed;
  gboolean late; /* cannot end within its objective any more */
} demand_t;

static cb_msec_t
objective_ms (const cb_batch_t *b, const job_t *job)
{
  return (cb_msec_t)((double)chain_ms (b, job) * job->spec->stretch_milli / 1000) +
         job->spec->slack_ms;
}

/* Work that can be in time goes before work of the next higher priority that is late
   already. */
static uint32_t
rank (const demand_t *demand)
{
  return 2 * demand->job->spec->priority + (demand->late ? 1 : 0);
}

static int
compare_demands (const void *a, const void *b)
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

static GArray *
list_demands (cb_batch_t *b, const GPtrArray *rooms, cb_msec_t now_ms,
              cb_msec_t wall_ms)
{
  GArray *demands = g_array_new (FALSE, FALSE, sizeof (demand_t));

  for (GList *l = b->open.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;

      if (!job_open (job))
        continue;
      for (uint32_t k = 0; k < job->n_occurrences; k++)
        for (uint32_t i = 0; i < job->spec->n_steps; i++)
          {
            demand_t demand = { job, k, i, 0, FALSE, FALSE };

            if (job->occurrences[k].steps[i].waiting == 0 ||
                !step_ready (job, k, i, wall_ms))
              continue;
            if (job->occurrences[k].steps[i].waves == 0)
              job->occurrences[k].steps[i].waves =
                  room_waves (rooms, job->spec->steps[i]);
            demand.latest_start_ms =
                job->folded_ms + objective_ms (b, job) - chain_ms (b, job);
            demand.late = now_ms > demand.latest_start_ms;
            demand.guaranteed = account_guaranteed (b, job);
            g_array_append_val (demands, demand);
          }
    }
  qsort (demands->data, demands->len, sizeof (demand_t), compare_demands);
  return demands;
}

/* Lists the tasks of a step that wait for a start; the caller frees the list. */
static task_t **
waiting_tasks (step_state_t *step, uint32_t *count)
{
  task_t **tasks = g_new (task_t *, MAX (1, step->count));

  *count = 0;
  for (uint32_t t = 0; t < step->count; t++)
    if (step->tasks[t].state == TASK_WAITING && !step->tasks[t].proposed_start)
      tasks[(*count)++] = &step->tasks[t];
  return tasks;
}

static void
start_in_rooms (cb_batch_t *b, task_t **tasks, room_t **chosen, uint32_t count,
                cb_msec_t now_ms)
{
  worker_t **workers = g_new (worker_t *, count);

  for (uint32_t i = 0; i < count; i++)
    workers[i] = chosen[i]->worker;
  start_tasks (b, tasks, workers, count, now_ms);
  g_free (workers);
}

static room_t *
room_of (GPtrArray *rooms, const worker_t *w)
{
  for (guint i = 0; i < rooms->len; i++)
    if (((room_t *)rooms->pdata[i])->worker == w)
      return rooms->pdata[i];
  return NULL;
}

/* Starts a planned step when its places are free, otherwise keeps them for it. Returns
   FALSE when there is no plan or it cannot be carried out any more. */
static gboolean
follow_plan (cb_batch_t *b, GPtrArray *rooms, step_state_t *step, task_t **tasks,
             uint32_t count, cb_msec_t now_ms)
{
  const Cb__BatchStep *spec;
  room_t **chosen;
  uint32_t taken = 0;
  gboolean free_now = TRUE;
  gboolean valid;

  if (step->plan == NULL)
    return FALSE;
  spec = task_spec (tasks[0]);
  chosen = g_new0 (room_t *, count);
  valid = now_ms - step->plan_ms < 2 * b->params.stop_ms + PLAN_SLACK_MS;
  for (; valid && taken < count; taken++)
    {
      chosen[taken] = room_of (rooms, step->plan[tasks[taken]->index]);
      valid = chosen[taken] != NULL;
      if (!valid)
        break;
      free_now = free_now && room_fits (chosen[taken], spec);
      room_take (chosen[taken], spec);
    }
  if (!valid)
    while (taken > 0)
      room_give (chosen[--taken], spec);
  else if (free_now)
    start_in_rooms (b, tasks, chosen, count, now_ms);
  if (!valid || free_now)
    g_clear_pointer (&step->plan, g_free);
  g_free (chosen);
  return valid;
}

static void
place_singly (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
              gboolean use_kept, cb_msec_t now_ms)
{
  for (uint32_t i = 0; i < count; i++)
    {
      room_t *chosen;

      if (!fit_group (rooms, &tasks[i], 1, NULL, use_kept, &chosen))
        return;
      start_in_rooms (b, &tasks[i], &chosen, 1, now_ms);
    }
}

/* Urgent work does not wait for less urgent work; other work only when it would be late
   otherwise. */
static gboolean
may_preempt (const demand_t *demand, cb_msec_t now_ms)
{
  return demand->job->spec->priority == 0 || now_ms >= demand->latest_start_ms;
}

static void
place_step (cb_batch_t *b, GPtrArray *rooms, const demand_t *demand, cb_msec_t now_ms)
{
  step_state_t *step =
      &demand->job->occurrences[demand->occurrence].steps[demand->step];
  const Cb__BatchStep *spec = demand->job->spec->steps[demand->step];
  uint32_t count;
  task_t **tasks = waiting_tasks (step, &count);
  gboolean use_kept =
      demand->job->spec->priority == 0 || now_ms > demand->latest_start_ms - AT_RISK_MS;
  room_t **chosen;

  if (count == 0 || (spec->gang && count < step->count))
    {
      g_free (tasks);
      return;
    }
  chosen = g_new0 (room_t *, count);
  if (!follow_plan (b, rooms, step, tasks, count, now_ms))
    {
      if (fit_step (rooms, tasks, count, use_kept, chosen))
        start_in_rooms (b, tasks, chosen, count, now_ms);
      else if (may_preempt (demand, now_ms) &&
               plan_reclaim (b, rooms, tasks, count, demand->guaranteed, now_ms))
        follow_plan (b, rooms, step, tasks, count, now_ms);
      else if (!spec->gang)
        place_singly (b, rooms, tasks, count, use_kept, now_ms);
    }
  g_free (chosen);
  g_free (tasks);
}

/* Starts what fits, in order: guaranteed work, then by priority and by the latest start
   that keeps the objective. */
void
place_all (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms)
{
  GPtrArray *rooms = rooms_new (b, now_ms);
  GArray *demands = list_demands (b, rooms, now_ms, wall_ms);

  rooms_keep (b, rooms, now_ms);

  for (guint i = 0; rooms->len > 0 && i < demands->len; i++)
    place_step (b, rooms, &g_array_index (demands, demand_t, i), now_ms);
  g_array_unref (demands);
  g_ptr_array_free (rooms, TRUE);
}
