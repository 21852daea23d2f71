/* Moves daemon tasks out of evacuated availability zones: they never end by themselves.
   Answers services that run for days while zones are evacuated for hours: a task is
   stopped only once another zone has room for it, and so few at a time that the step
   stays available. */
#include "batch/local.h"

/* Tasks of a step without max_unavailable that may be away at a time. */
#define AWAY_MAX_DEFAULT 1

static gboolean
is_available (const task_t *task)
{
  return task->state == TASK_STARTED && task->reported && !task->stop_requested &&
         !task->proposed_end && task->worker->reporting && !task->worker->terminated;
}

/* TRUE when TASK runs in an evacuated zone. */
static gboolean
runs_in_evacuated_zone (const cb_batch_t *b, const task_t *task)
{
  return is_available (task) && is_evacuated (b, task->worker);
}

/* Returns how many more tasks of STEP may be stopped now. */
static uint32_t
may_leave (const step_state_t *step, const Cb__BatchStep *spec)
{
  uint32_t max = spec->max_unavailable > 0 ? spec->max_unavailable
                 : spec->gang              ? step->count
                                           : AWAY_MAX_DEFAULT;
  uint32_t away = 0;

  for (uint32_t t = 0; t < step->count; t++)
    away += !is_available (&step->tasks[t]);
  return max - MIN (max, away);
}

/* Stops COUNT tasks of one step, all members of a gang or a single task, and plans
   their start elsewhere, if other zones have room for them. Returns FALSE without room.
 */
static gboolean
relocate (pass_t *pass, task_t **tasks, uint32_t count)
{
  scope_t scope =
      prefers_one_rack (task_spec (tasks[0]), count) ? SCOPE_RACK : SCOPE_FLEET;
  capacity_t **chosen = g_new0 (capacity_t *, count);
  gboolean room = fit_tasks (pass, tasks, count, REACH_RESERVED, scope, chosen);

  for (uint32_t i = 0; room && i < count; i++)
    {
      tasks[i]->planned_worker = chosen[i]->worker;
      tasks[i]->planned_ms = pass->now_ms;
      stop_task (pass->b, tasks[i], pass->now_ms, "evacuated");
    }
  g_free (chosen);
  return room;
}

static void
relocate_gang (pass_t *pass, step_state_t *step, uint32_t left)
{
  task_t **tasks = g_new0 (task_t *, step->count);
  uint32_t inside = 0;

  for (uint32_t t = 0; t < step->count; t++)
    {
      tasks[t] = &step->tasks[t];
      inside += runs_in_evacuated_zone (pass->b, tasks[t]);
    }
  if (inside > 0 && left >= step->count)
    relocate (pass, tasks, step->count);
  g_free (tasks);
}

static void
relocate_step (pass_t *pass, step_state_t *step, const Cb__BatchStep *spec)
{
  uint32_t left = may_leave (step, spec);

  if (spec->gang)
    {
      relocate_gang (pass, step, left);
      return;
    }
  for (uint32_t t = 0; t < step->count && left > 0; t++)
    {
      task_t *task = &step->tasks[t];

      if (!runs_in_evacuated_zone (pass->b, task))
        continue;
      if (!relocate (pass, &task, 1))
        return;
      left--;
    }
}

/* Calls FN for each daemon step of the open jobs in an evacuation. */
static void
foreach_daemon_step (pass_t *pass, void (*fn) (pass_t *pass, step_state_t *step,
                                               const Cb__BatchStep *spec))
{
  if (g_hash_table_size (pass->b->evacuated) == 0)
    return;
  for (GList *l = pass->b->job_list.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;

      for (uint32_t k = 0; job_open (job) && k < job->n_occurrences; k++)
        for (size_t i = 0; i < job->spec->n_steps; i++)
          if (job->spec->steps[i]->daemon)
            fn (pass, &job->occurrences[k].steps[i], job->spec->steps[i]);
    }
}

/* Stops daemon tasks in evacuated zones for which the rest of the fleet has room in
   PASS, after all waiting work has been placed. */
void
relocate_daemons (pass_t *pass)
{
  foreach_daemon_step (pass, relocate_step);
}

static void
reserve_step (pass_t *pass, step_state_t *step, const Cb__BatchStep *spec)
{
  /* The plans of a step with waiting tasks are reserved with those of all demands. */
  for (uint32_t t = 0; step->waiting == 0 && t < step->count; t++)
    {
      task_t *task = &step->tasks[t];
      capacity_t *capacity =
          task->planned_worker == NULL ? NULL : planned_capacity (pass, task);

      if (capacity != NULL)
        capacity_take (capacity, spec);
    }
}

/* Deducts the capacity that waits for daemon tasks which are being stopped. */
void
reserve_relocations (pass_t *pass)
{
  foreach_daemon_step (pass, reserve_step);
}
