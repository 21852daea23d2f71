/* Saves what is known of interference in a snapshot, and loads it: a process that
   begins from a snapshot then learns the same from the rest of the log as one that has
   read all of it. */
#include "batch/interference.h"

#include <string.h>

/* Saves the values of all kinds up to the last one above 0. */
static void
save_values (uint32_t **values, size_t *n_values, const uint32_t *source)
{
  size_t count = KINDS_MAX;

  while (count > 0 && source[count - 1] == 0)
    count--;
  *values = calloc (MAX (1, count), sizeof **values);
  memcpy (*values, source, count * sizeof **values);
  *n_values = count;
}

static void
save_doubles (double **values, size_t *n_values, const double *source, size_t count)
{
  *values = calloc (MAX (1, count), sizeof **values);
  memcpy (*values, source, count * sizeof **values);
  *n_values = count;
}

static void
save_kinds (const interference_t *state, Cb__InterferenceState *message)
{
  for (uint32_t k = 0; k < KIND_OTHER && state->kinds[k].name != NULL; k++)
    {
      Cb__InterferenceKind *kind = cb_msg_new (&cb__interference_kind__descriptor);

      cb_msg_set_string (&kind->name, state->kinds[k].name);
      kind->used = state->kinds[k].number;
      cb_msg_append ((void ***)&message->kinds, &message->n_kinds, kind);
    }
}

static void
save_pairs (const interference_t *state, Cb__InterferenceState *message)
{
  for (uint32_t k = 0; k < KIND_OTHER; k++)
    for (uint32_t n = 0; n < KIND_OTHER; n++)
      {
        const pair_t *pair = &state->pairs[k][n];
        Cb__InterferencePair *saved;

        if (pair->weights[NEIGHBOR_CAME] <= 0 && pair->weights[NEIGHBOR_LEFT] <= 0)
          continue;
        saved = cb_msg_new (&cb__interference_pair__descriptor);
        saved->kind = k;
        saved->neighbor = n;
        save_doubles (&saved->weights, &saved->n_weights, pair->weights, N_DIRECTIONS);
        save_doubles (&saved->means, &saved->n_means, pair->means, N_DIRECTIONS);
        saved->observations = pair->observations;
        saved->variance = pair->variance;
        saved->workers = pair->workers;
        saved->found = pair->found;
        cb_msg_append ((void ***)&message->pairs, &message->n_pairs, saved);
      }
}

static void
save_samples (const interference_t *state, const company_t *company,
              Cb__InterferenceWorker *message)
{
  for (int i = 0; i < SAMPLES_MAX; i++)
    {
      const sample_t *sample = &company->samples[i];
      Cb__InterferenceSample *saved;
      uint32_t percent[KINDS_MAX];

      if (sample->number == 0 || sample->number < state->samples_from)
        continue;
      saved = cb_msg_new (&cb__interference_sample__descriptor);
      saved->kind = sample->kind;
      saved->early = sample->early;
      for (int k = 0; k < KINDS_MAX; k++)
        percent[k] = sample->percent[k];
      save_values (&saved->percent, &saved->n_percent, percent);
      saved->step = sample->step;
      saved->time = sample->time;
      saved->work = sample->work;
      saved->number = sample->number;
      cb_msg_append ((void ***)&message->samples, &message->n_samples, saved);
    }
}

static void
save_companies (const interference_t *state, Cb__InterferenceState *message)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->companies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const company_t *company = value;
      Cb__InterferenceWorker *saved = cb_msg_new (&cb__interference_worker__descriptor);

      cb_msg_set_string (&saved->worker, company->id);
      saved->born_ms = company->incarnation_ms;
      saved->clock_ms = company->clock_ms;
      saved->number = company->number;
      save_values (&saved->present_ms, &saved->n_present_ms, company->present_ms);
      save_values (&saved->several_ms, &saved->n_several_ms, company->several_ms);
      save_samples (state, company, saved);
      cb_msg_append ((void ***)&message->workers, &message->n_workers, saved);
    }
}

static void
save_run (const task_t *task, Cb__InterferenceState *message)
{
  Cb__InterferenceRun *saved;

  if (task->mark == NULL)
    return;
  saved = cb_msg_new (&cb__interference_run__descriptor);
  saved->run = task_run_new (task, task->run);
  saved->clock_ms = task->mark->clock_ms;
  saved->number = task->mark->number;
  saved->kind = task->mark->kind;
  saved->early = task->mark->early;
  save_values (&saved->beside_ms, &saved->n_beside_ms, task->mark->beside_ms);
  cb_msg_append ((void ***)&message->runs, &message->n_runs, saved);
}

/* Saves the open runs of STEP and, while runs of its job may end, its run times. */
static void
save_step (const step_state_t *step, Cb__InterferenceState *message)
{
  Cb__InterferenceStep *saved;

  for (uint32_t t = 0; t < step->count; t++)
    save_run (&step->tasks[t], message);
  if (step->times == NULL ||
      (!job_open (step->tasks[0].job) && step->tasks[0].job->open_runs == 0))
    return;
  saved = cb_msg_new (&cb__interference_step__descriptor);
  saved->step = task_run_new (&step->tasks[0], 0);
  saved->ended = step->times->ended;
  save_doubles (&saved->times, &saved->n_times, step->times->times,
                MIN (step->times->ended, STEP_TIMES_MAX));
  cb_msg_append ((void ***)&message->steps, &message->n_steps, saved);
}

/* Adds what is known of interference to SNAPSHOT. */
void
interference_save (const cb_batch_t *b, Cb__BatchSnapshot *snapshot)
{
  const interference_t *state = b->interference;
  Cb__InterferenceState *message = cb_msg_new (&cb__interference_state__descriptor);

  message->epoch = state->epoch;
  message->number = state->number;
  message->runs_from = state->runs_from;
  message->samples_from = state->samples_from;
  message->swept = state->swept;
  save_kinds (state, message);
  save_pairs (state, message);
  save_companies (state, message);
  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      const job_t *job = l->data;

      for (uint32_t k = 0; k < job->n_occurrences; k++)
        for (size_t i = 0; i < job->spec->n_steps; i++)
          save_step (&job->occurrences[k].steps[i], message);
    }
  snapshot->interference = message;
}

static void
load_kinds (interference_t *state, const Cb__InterferenceState *message)
{
  for (size_t k = 0; k < message->n_kinds && k < KIND_OTHER; k++)
    {
      kind_t *kind = &state->kinds[k];

      kind->name = g_strdup (message->kinds[k]->name);
      kind->number = message->kinds[k]->used;
      g_hash_table_insert (state->kind_of_name, kind->name, GUINT_TO_POINTER (k + 1));
    }
}

static void
load_pairs (interference_t *state, const Cb__InterferenceState *message)
{
  for (size_t i = 0; i < message->n_pairs; i++)
    {
      const Cb__InterferencePair *saved = message->pairs[i];
      pair_t *pair;

      if (saved->kind >= message->n_kinds || saved->neighbor >= message->n_kinds ||
          MAX (saved->kind, saved->neighbor) >= KIND_OTHER ||
          saved->n_weights != N_DIRECTIONS || saved->n_means != N_DIRECTIONS)
        continue;
      pair = &state->pairs[saved->kind][saved->neighbor];
      memcpy (pair->weights, saved->weights, sizeof pair->weights);
      memcpy (pair->means, saved->means, sizeof pair->means);
      pair->observations = saved->observations;
      pair->variance = saved->variance;
      pair->workers = saved->workers;
      pair->found = saved->found;
    }
  interference_update_apart (state);
}

static void
load_values (uint32_t *values, const uint32_t *saved, size_t count)
{
  for (size_t i = 0; i < MIN (count, KINDS_MAX); i++)
    values[i] = saved[i];
}

static void
load_sample (sample_t *sample, const Cb__InterferenceSample *saved)
{
  sample->number = saved->number;
  sample->kind = MIN (saved->kind, KIND_OTHER);
  sample->early = saved->early;
  sample->step = saved->step;
  sample->time = saved->time;
  sample->work = saved->work;
  for (size_t k = 0; k < saved->n_percent && k < KINDS_MAX; k++)
    sample->percent[k] = (uint8_t)MIN (saved->percent[k], 100);
}

static void
load_company (interference_t *state, const Cb__InterferenceWorker *saved)
{
  company_t *company = company_add (state, saved->worker, saved->born_ms);

  if (company == NULL)
    return;
  company->clock_ms = saved->clock_ms;
  company->number = saved->number;
  load_values (company->present_ms, saved->present_ms, saved->n_present_ms);
  load_values (company->several_ms, saved->several_ms, saved->n_several_ms);
  for (size_t i = 0; i < saved->n_samples && i < SAMPLES_MAX; i++)
    load_sample (&company->samples[i], saved->samples[i]);
}

static void
load_run (cb_batch_t *b, const Cb__InterferenceRun *saved)
{
  task_t *task = find_task (b, saved->run);
  company_t *company;
  run_mark_t *mark;

  if (task == NULL || task->state != TASK_STARTED || task->run != saved->run->run ||
      task->mark != NULL)
    return;
  company = company_find (b->interference, task->worker);
  if (company == NULL)
    return;
  mark = g_new0 (run_mark_t, 1);
  mark->clock_ms = saved->clock_ms;
  mark->number = saved->number;
  mark->kind = MIN (saved->kind, KIND_OTHER);
  mark->early = saved->early;
  load_values (mark->beside_ms, saved->beside_ms, saved->n_beside_ms);
  task->mark = mark;
  b->interference->kinds[mark->kind].runs++;
  company->runs[mark->kind]++;
}

static void
load_step (const cb_batch_t *b, const Cb__InterferenceStep *saved)
{
  task_t *task = find_task (b, saved->step);
  step_times_t *times;

  if (task == NULL || task_step (task)->times != NULL ||
      saved->n_times != MIN (saved->ended, STEP_TIMES_MAX))
    return;
  times = g_new0 (step_times_t, 1);
  times->ended = saved->ended;
  memcpy (times->times, saved->times, saved->n_times * sizeof *times->times);
  task_step (task)->times = times;
}

/* Loads what SNAPSHOT knows of interference into B, which has its jobs and runs and is
   otherwise new. A snapshot of an earlier version knows nothing. */
void
interference_load (cb_batch_t *b, const Cb__BatchSnapshot *snapshot)
{
  const Cb__InterferenceState *message = snapshot->interference;
  interference_t *state = b->interference;

  if (message == NULL)
    return;
  state->epoch = message->epoch;
  state->number = message->number;
  state->runs_from = message->runs_from;
  state->samples_from = message->samples_from;
  state->swept = message->swept;
  load_kinds (state, message);
  load_pairs (state, message);
  for (size_t i = 0; i < message->n_workers; i++)
    load_company (state, message->workers[i]);
  for (size_t i = 0; i < message->n_runs; i++)
    load_run (b, message->runs[i]);
  for (size_t i = 0; i < message->n_steps; i++)
    load_step (b, message->steps[i]);
}
