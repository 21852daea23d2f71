/* Saves what has been learned of run times and speeds in a snapshot and loads it, so
   that an entry that starts from it learns on as one that has read all of the log. */
#include "batch/local.h"

static void
save_queues (const cb_batch_t *b, Cb__BatchSnapshot *snapshot)
{
  GHashTableIter iter;
  gpointer queue;
  gpointer value;

  g_hash_table_iter_init (&iter, b->run_times);
  while (g_hash_table_iter_next (&iter, &queue, &value))
    {
      const run_time_t *run_time = value;
      Cb__QueueWork *saved = cb_msg_new (&cb__queue_work__descriptor);

      cb_msg_set_string (&saved->queue, queue);
      saved->mean_ms = run_time->mean_ms;
      saved->runs = run_time->count;
      saved->log_mean = run_time->log_mean;
      saved->log_runs = run_time->log_runs;
      cb_msg_append ((void ***)&snapshot->queues, &snapshot->n_queues, saved);
    }
}

static void
save_speeds (const cb_batch_t *b, Cb__AgentSpeeds *speeds)
{
  GHashTableIter iter;
  gpointer agent;
  gpointer value;

  speeds->median = b->speed_median;
  speeds->runs_since_median = b->runs_since_median;
  g_hash_table_iter_init (&iter, b->speeds);
  while (g_hash_table_iter_next (&iter, &agent, &value))
    {
      const speed_t *speed = value;
      Cb__AgentSpeed *saved = cb_msg_new (&cb__agent_speed__descriptor);

      cb_msg_set_string (&saved->agent, agent);
      saved->log_slowness = speed->log_slowness;
      saved->variance = speed->variance;
      saved->runs = speed->runs;
      saved->streak = speed->streak;
      saved->speed_class = speed->speed_class;
      cb_msg_append ((void ***)&speeds->agents, &speeds->n_agents, saved);
    }
}

/* Returns the name of the agent of each speed_t; freed by the caller. */
static GHashTable *
agents_of_speeds (const cb_batch_t *b)
{
  GHashTable *agents = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer agent;
  gpointer speed;

  g_hash_table_iter_init (&iter, b->speeds);
  while (g_hash_table_iter_next (&iter, &agent, &speed))
    g_hash_table_insert (agents, speed, agent);
  return agents;
}

static void
save_step (const cb_batch_t *b, const step_state_t *step, uint32_t number,
           GHashTable *agents, Cb__OpenWork *open, GArray *clocks)
{
  for (uint32_t t = 0; t < step->count; t++)
    {
      const task_t *task = &step->tasks[t];
      uint64_t clock_ms = task->started_epoch == b->epoch ? task->started_clock_ms : 0;

      if (task->state == TASK_STARTED)
        g_array_append_val (clocks, clock_ms);
    }
  for (guint i = 0; step->work != NULL && i < step->work->len; i++)
    {
      const step_work_t *work = &g_array_index (step->work, step_work_t, i);
      Cb__StepWork *saved = cb_msg_new (&cb__step_work__descriptor);

      saved->step = number;
      cb_msg_set_string (&saved->agent, g_hash_table_lookup (agents, work->speed));
      saved->runs = work->runs;
      saved->log_sum = work->log_sum;
      cb_msg_append ((void ***)&open->steps, &open->n_steps, saved);
    }
}

/* Adds to SNAPSHOT, which has the jobs already, what has been learned of run times and
   speeds. */
void
speed_save (const cb_batch_t *b, Cb__BatchSnapshot *snapshot)
{
  GHashTable *agents = agents_of_speeds (b);
  GArray *clocks = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint32_t number = 0;

  save_queues (b, snapshot);
  snapshot->speeds = cb_msg_new (&cb__agent_speeds__descriptor);
  save_speeds (b, snapshot->speeds);
  snapshot->open_work = cb_msg_new (&cb__open_work__descriptor);
  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      const job_t *job = l->data;

      for (uint32_t k = 0; k < job->n_occurrences; k++)
        for (size_t i = 0; i < job->spec->n_steps; i++)
          save_step (b, &job->occurrences[k].steps[i], number++, agents,
                     snapshot->open_work, clocks);
    }
  snapshot->open_work->n_started_clock_ms = clocks->len;
  snapshot->open_work->started_clock_ms =
      (uint64_t *)(void *)g_array_free (clocks, FALSE);
  g_hash_table_unref (agents);
}

static void
load_queues (cb_batch_t *b, const Cb__BatchSnapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->n_queues; i++)
    {
      const Cb__QueueWork *saved = snapshot->queues[i];
      run_time_t *run_time = get_run_time (b, saved->queue);

      run_time->mean_ms = saved->mean_ms;
      run_time->count = saved->runs;
      run_time->log_mean = saved->log_mean;
      run_time->log_runs = saved->log_runs;
    }
}

static void
load_speeds (cb_batch_t *b, const Cb__AgentSpeeds *speeds)
{
  b->speed_median = speeds->median;
  b->runs_since_median = speeds->runs_since_median;
  for (size_t i = 0; i < speeds->n_agents; i++)
    {
      const Cb__AgentSpeed *saved = speeds->agents[i];
      speed_t *speed = get_speed (b, saved->agent);

      speed->log_slowness = saved->log_slowness;
      speed->variance = saved->variance;
      speed->runs = saved->runs;
      speed->streak = saved->streak;
      if (saved->speed_class <= SPEED_FAST)
        speed->speed_class = (speed_class_t)saved->speed_class;
      b->unusual_speeds += speed->speed_class != SPEED_USUAL;
    }
}

/* A place in the lists of a message with the work of open jobs. */
typedef struct
{
  const Cb__OpenWork *open;
  size_t clocks; /* clocks used */
  size_t steps;  /* entries of `steps` used */
  uint32_t number;
} place_t;

/* Loads the next step of the snapshot into STEP. SAVED is the state of its tasks. */
static void
load_step (cb_batch_t *b, step_state_t *step, const Cb__BatchStepState *saved,
           place_t *place)
{
  const Cb__OpenWork *open = place->open;

  for (size_t t = 0; t < saved->n_tasks; t++)
    if (saved->tasks[t]->state == TASK_STARTED &&
        place->clocks < open->n_started_clock_ms)
      {
        uint64_t clock_ms = open->started_clock_ms[place->clocks++];

        if (t >= step->count)
          continue;
        step->tasks[t].started_clock_ms = clock_ms;
        step->tasks[t].started_epoch = b->epoch;
      }
  for (;
       place->steps < open->n_steps && open->steps[place->steps]->step == place->number;
       place->steps++)
    {
      const Cb__StepWork *work = open->steps[place->steps];

      if (work->runs > 0)
        note_step_work (step, get_speed (b, work->agent), work->runs, work->log_sum);
    }
  place->number++;
}

/* Loads what SNAPSHOT has of run times and speeds. Its jobs are loaded already, and the
   epoch is. A snapshot of an earlier version has none. */
void
speed_load (cb_batch_t *b, const Cb__BatchSnapshot *snapshot)
{
  place_t place = { .open = snapshot->open_work };

  load_queues (b, snapshot);
  if (snapshot->speeds != NULL)
    load_speeds (b, snapshot->speeds);
  for (size_t j = 0; place.open != NULL && j < snapshot->n_jobs; j++)
    {
      const Cb__BatchJobState *state = snapshot->jobs[j];
      job_t *job = state->job == NULL ? NULL : find_job (b, state->job->id);

      /* A job that could not be loaded ends the order in which the rest is counted. */
      if (job == NULL || state->n_steps != job->n_occurrences * job->spec->n_steps)
        return;
      for (size_t n = 0; n < state->n_steps; n++)
        load_step (
            b, &job->occurrences[n / job->spec->n_steps].steps[n % job->spec->n_steps],
            state->steps[n], &place);
    }
}
