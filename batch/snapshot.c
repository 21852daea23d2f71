/* Saves the state of the batch scheduler, which is built from the log, in a snapshot
   and loads it. */
#include "batch/local.h"

#include <string.h>

static Cb__BatchTaskState *
save_task (const task_t *task)
{
  Cb__BatchTaskState *state = cb_msg_new (&cb__batch_task_state__descriptor);

  state->state = task->state;
  state->run = task->run;
  state->failures = task->failures;
  if (task->checkpoint != NULL)
    cb_msg_set_string (&state->saved, task->checkpoint);
  if (task->state != TASK_STARTED)
    return state;
  cb_msg_set_string (&state->worker, task->worker->id);
  cb_msg_set_string (&state->agent, task->worker->agent);
  cb_msg_set_string (&state->address, task->worker->address);
  state->moved = task->worker->several_addresses;
  state->remote = task->remote;
  state->born_ms = task->worker->incarnation_ms;
  return state;
}

static Cb__BatchJobState *
save_job (const job_t *job)
{
  Cb__BatchJobState *state = cb_msg_new (&cb__batch_job_state__descriptor);

  state->job = (Cb__BatchJob *)cb_msg_copy (&job->spec->base);
  state->canceled = job->canceled;
  state->failed = job->failed;
  state->started = job->started;
  state->begun = job->begun;
  state->ended_ms = (uint64_t)job->ended_wall_ms;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps; i++)
      {
        const step_state_t *step = &job->occurrences[k].steps[i];
        Cb__BatchStepState *saved = cb_msg_new (&cb__batch_step_state__descriptor);

        saved->gang_failures = step->gang_failures;
        saved->gang_failed_run = step->gang_failed_run;
        for (uint32_t t = 0; t < step->count; t++)
          cb_msg_append ((void ***)&saved->tasks, &saved->n_tasks,
                         save_task (&step->tasks[t]));
        cb_msg_append ((void ***)&state->steps, &state->n_steps, saved);
      }
  return state;
}

/* Returns a snapshot of the jobs, the agents, the scheduler and its epoch, and what has
   been learned of run times and speeds, but not of the fleet and a resignation.
   NEXT_OFFSET is the offset of the first record that it does not include, and NOW_MS
   the local time. The caller frees the snapshot. */
Cb__BatchSnapshot *
cb_batch_save_snapshot (const cb_batch_t *b, uint64_t next_offset, cb_msec_t now_ms)
{
  Cb__BatchSnapshot *snapshot = cb_msg_new (&cb__batch_snapshot__descriptor);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  snapshot->next = next_offset;
  snapshot->epoch = b->epoch;
  cb_msg_set_string (&snapshot->scheduler, b->scheduler);
  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    cb_msg_append ((void ***)&snapshot->jobs, &snapshot->n_jobs, save_job (l->data));
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;
      Cb__BatchAgent *message = cb_msg_new (&cb__batch_agent__descriptor);

      cb_msg_set_string (&message->name, agent->name);
      cb_msg_set_string (&message->address, agent->address);
      message->entry = agent->entry;
      message->cpu_milli = agent->cpu_milli;
      cb_msg_append ((void ***)&snapshot->agents, &snapshot->n_agents, message);
    }
  g_hash_table_iter_init (&iter, b->canceled);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Cb__BatchCanceled *message = cb_msg_new (&cb__batch_canceled__descriptor);

      cb_msg_set_string (&message->job, key);
      message->canceled_ms = (uint64_t) * (const cb_msec_t *)value;
      cb_msg_append ((void ***)&snapshot->canceled, &snapshot->n_canceled, message);
    }
  save_leases (b, snapshot, now_ms);
  speed_save (b, snapshot);
  interference_save (b, snapshot);
  return snapshot;
}

static void
load_task (cb_batch_t *b, task_t *task, const Cb__BatchTaskState *state,
           cb_msec_t now_ms)
{
  step_state_t *step = task_step (task);

  task->run = state->run;
  task->failures = state->failures;
  if (state->saved[0] != '\0')
    task->checkpoint = g_strdup (state->saved);
  if (state->state == TASK_WAITING || state->state > TASK_FAILED)
    return;
  step->waiting--;
  task->state = (task_state_t)state->state;
  step->started += task->state == TASK_STARTED;
  step->done += task->state == TASK_DONE;
  task->job->started = TRUE;
  /* A snapshot of an earlier version does not say which jobs have begun. */
  task->job->begun = task->job->begun || task->state != TASK_STARTED;
  if (task->state != TASK_STARTED)
    return;
  task->job->open_runs++;
  task->started_ms = now_ms;
  task->progress_ms = now_ms;
  attach_task (get_worker (b, state->worker, state->born_ms, state->agent), task);
  note_address (task->worker, state->address);
  task->remote = state->remote;
  if (state->moved)
    note_moved (task->worker);
}

static void
load_job (cb_batch_t *b, const Cb__BatchJobState *state, cb_msec_t now_ms)
{
  job_t *job;
  size_t n = 0;

  if (state->job == NULL || find_job (b, state->job->id) != NULL ||
      check_steps (state->job) < 0)
    return;
  job = add_job (b, state->job, now_ms);
  job->canceled = state->canceled;
  job->failed = state->failed;
  job->started = state->started;
  job->begun = state->begun;
  job->ended_wall_ms = (cb_msec_t)state->ended_ms;
  for (uint32_t k = 0; k < job->n_occurrences; k++)
    for (size_t i = 0; i < job->spec->n_steps && n < state->n_steps; i++, n++)
      {
        step_state_t *step = &job->occurrences[k].steps[i];
        const Cb__BatchStepState *saved = state->steps[n];

        step->gang_failures = saved->gang_failures;
        step->gang_failed_run = saved->gang_failed_run;
        for (uint32_t t = 0; t < step->count && t < saved->n_tasks; t++)
          load_task (b, &step->tasks[t], saved->tasks[t], now_ms);
      }
}

/* Loads SNAPSHOT into B, which must be new. Jobs count as accepted, and open runs as
   started and progressing, at NOW_MS. WALL_MS is not used. */
void
cb_batch_load_snapshot (cb_batch_t *b, const Cb__BatchSnapshot *snapshot,
                        cb_msec_t now_ms, cb_msec_t wall_ms)
{
  Cb__BatchRecord record = CB__BATCH_RECORD__INIT;

  (void)wall_ms;
  b->epoch = snapshot->epoch;
  b->scheduler_seen_ms = now_ms;
  forget_grants (b, now_ms);
  g_free (b->scheduler);
  b->scheduler = g_strdup (snapshot->scheduler);
  for (size_t i = 0; i < snapshot->n_jobs; i++)
    load_job (b, snapshot->jobs[i], now_ms);
  speed_load (b, snapshot);
  load_leases (b, snapshot, now_ms);
  interference_load (b, snapshot);
  for (size_t i = 0; i < snapshot->n_canceled; i++)
    note_canceled (b, snapshot->canceled[i]->job,
                   (cb_msec_t)snapshot->canceled[i]->canceled_ms);
  record.body_case = CB__BATCH_RECORD__BODY_AGENT;
  for (size_t i = 0; i < snapshot->n_agents; i++)
    {
      record.agent = snapshot->agents[i];
      cb_batch_apply (b, 0, &record, now_ms, wall_ms);
    }
}
