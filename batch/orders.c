/* Commands of the scheduler to the agents of workers: leases, starts, stops and
   paces. */
#include "batch/local.h"

/* A lease is renewed when the worker's clock has advanced by this time since the last
   renewal. */
#define LEASE_RENEWAL_MS 400
/* Largest number of starts in a message to an agent, so that a worker with thousands of
   new runs gets its lease in time. The others follow once reports show these. */
#define STARTS_MAX 1000

/* Returns TRUE once after the commands for AGENT's worker changed in a way that should
   not wait for its next report. */
gboolean
cb_batch_commands_changed (cb_batch_t *b, const char *agent)
{
  worker_t *w = current_worker (b, agent);
  gboolean changed = w != NULL && w->commands_changed;

  if (w != NULL)
    w->commands_changed = FALSE;
  return changed;
}

/* Calls FN for each agent whose worker's commands changed since the last call, and for
   which cb_batch_build_commands has not been called since. */
void
cb_batch_foreach_changed (cb_batch_t *b, void (*fn) (void *ctx, const char *agent),
                          void *ctx)
{
  for (guint i = 0; i < b->changed_workers->len; i++)
    {
      worker_t *w = b->changed_workers->pdata[i];

      if (w->commands_changed && current_worker (b, w->agent) == w)
        fn (ctx, w->agent);
    }
  g_ptr_array_set_size (b->changed_workers, 0);
}

/* TRUE when AGENT should get its commands now that it has reported: the lease has not
   been renewed for a while, or the report shows that commands have not taken effect
   yet. */
gboolean
cb_batch_commands_due (const cb_batch_t *b, const char *agent)
{
  const worker_t *w = current_worker (b, agent);
  gboolean starts_due;

  if (w == NULL)
    return FALSE;
  /* Most starts of a message with as many as it may have would be repeated for each
     report. */
  starts_due = w->ordered_starts < STARTS_MAX || w->shown_starts >= STARTS_MAX / 2;
  if (w->commands_changed || w->unwanted_runs->len > 0 ||
      w->clock_ms >= w->granted_clock_ms + LEASE_RENEWAL_MS)
    return TRUE;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED &&
          (task->stop_requested || (starts_due && !task->reported)) &&
          !task->proposed_end)
        return TRUE;
    }
  return FALSE;
}

static void
add_start (Cb__WorkerOrders *commands, const task_t *task)
{
  Cb__OrderedStart *start = cb_msg_new (&cb__ordered_start__descriptor);

  start->run = task_run_new (task, task->run);
  cb_msg_set_string (&start->spec, task->job->spec->spec);
  if (task->checkpoint != NULL)
    cb_msg_set_string (&start->saved, task->checkpoint);
  if (advice_ticket (task, task->worker) != NULL)
    cb_msg_set_string (&start->ticket, advice_ticket (task, task->worker));
  cb_msg_append ((void ***)&commands->starts, &commands->n_starts, start);
}

/* Adds the starts of W's runs that its reports do not show yet, up to STARTS_MAX, those
   of urgent jobs first. */
static void
add_starts (Cb__WorkerOrders *commands, const worker_t *w)
{
  for (int urgent = 1; urgent >= 0; urgent--)
    for (guint i = 0; i < w->tasks->len && commands->n_starts < STARTS_MAX; i++)
      {
        const task_t *task = w->tasks->pdata[i];

        if (task->state == TASK_STARTED && !task->stop_requested && !task->reported &&
            !task->proposed_end && (task->job->spec->priority == 0) == urgent)
          add_start (commands, task);
      }
}

/* Adds stops of the runs of earlier incarnations of W, whose start commands W may have
   executed. */
static void
add_stops_of_predecessors (const cb_batch_t *b, Cb__WorkerOrders *commands,
                           const worker_t *w)
{
  const GPtrArray *workers = agent_workers (b, w->agent);

  for (guint k = 0; k < workers->len; k++)
    {
      const worker_t *predecessor = workers->pdata[k];

      for (guint i = 0; predecessor->successor == w && i < predecessor->tasks->len; i++)
        {
          const task_t *task = predecessor->tasks->pdata[i];

          if (task->state == TASK_STARTED)
            cb_msg_append ((void ***)&commands->stops, &commands->n_stops,
                           task_run_new (task, task->run));
        }
    }
}

/* Returns all commands that AGENT's worker has to execute; they are repeated until its
   reports show that they took effect. Empty when the agent has no worker that reported.
   With MAY_GRANT the lease of a worker that is still reporting is extended, counted
   from the worker's own clock in its latest report, so that a delayed message does not
   extend it further. While the worker's list of ends is incomplete there are no starts:
   a run that it does not show may have ended. Nor are there while its zone is evacuated
   or starts are held. The caller frees the message. */
Cb__WorkerOrders *
cb_batch_build_commands (cb_batch_t *b, const char *agent, gboolean may_grant,
                         cb_msec_t now_ms)
{
  Cb__WorkerOrders *commands = cb_msg_new (&cb__worker_orders__descriptor);
  worker_t *w = current_worker (b, agent);

  if (w == NULL)
    return commands;
  w->commands_changed = FALSE;
  cb_msg_set_string (&commands->worker, w->id);
  commands->born_ms = w->incarnation_ms;
  commands->last_seen = w->last_durable_end;
  commands->report_interval_ms = (uint32_t)cb_batch_report_interval_ms (b);
  if (may_grant && w->reporting && grant_lease (b, w, now_ms))
    {
      commands->lease_until_ms = w->clock_ms + (uint64_t)b->params.hold_max_ms;
      w->granted_clock_ms = w->clock_ms;
      w->lease_end_ms = latest_lease_end (b, w->listed_ms);
    }
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED && task->stop_requested)
        cb_msg_append ((void ***)&commands->stops, &commands->n_stops,
                       task_run_new (task, task->run));
    }
  if (!w->ended_partial && may_get_leases (b, w) && may_get_starts (b, w))
    add_starts (commands, w);
  w->ordered_starts = (uint32_t)commands->n_starts;
  w->shown_starts = 0;
  pace_add_commands (w, commands);
  add_stops_of_predecessors (b, commands, w);
  for (guint i = 0; i < w->unwanted_runs->len; i++)
    cb_msg_append ((void ***)&commands->stops, &commands->n_stops,
                   cb_msg_copy (w->unwanted_runs->pdata[i]));
  return commands;
}
