/* Which kinds of work ran beside each other on which workers, by the starts and ends in
   the log, and what the run times show. Times are by the clock of the scheduler's
   process, as its records state it, so that they are the same in all entries. */
#include "batch/interference.h"

#include <math.h>
#include <string.h>

/* Shorter runs are measured too coarsely: reports come a few times a second. */
#define RUN_MIN_MS 1000
/* A kind that starts this much later than a run is beside it from the start. What comes
   later is not counted as beside it: only the longest runs of a step would meet it, and
   it would seem to make them long. */
#define EARLY_MS 500
/* Other ended tasks of its step that a run is compared with, at least. */
#define STEP_TIMES_MIN 3
/* Workers of which runs are compared; those without runs may be removed after so many
   starts elsewhere, and are looked for once in so many. */
#define COMPANIES_MAX 4096
#define COMPANY_IDLE_STARTS 16384
#define SWEEP_STARTS 1024

static void
free_company (void *ptr)
{
  company_t *company = ptr;

  g_free (company->id);
  g_free (company);
}

/* Returns an empty state. Freed with interference_free. */
interference_t *
interference_new (void)
{
  interference_t *state = g_new0 (interference_t, 1);

  state->kind_of_name = g_hash_table_new (g_str_hash, g_str_equal);
  state->companies =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_company);
  return state;
}

void
interference_free (interference_t *state)
{
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    g_free (state->kinds[k].name);
  g_hash_table_unref (state->kind_of_name);
  g_hash_table_unref (state->companies);
  g_free (state);
}

/* Returns what has run on W; NULL when that is not known. */
company_t *
company_find (const interference_t *state, const worker_t *w)
{
  char *key = g_strdup_printf ("%s/%" PRIu64, w->id, w->incarnation_ms);
  company_t *company = g_hash_table_lookup (state->companies, key);

  g_free (key);
  return company;
}

static gboolean
has_runs (const company_t *company)
{
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    if (company->runs[k] > 0)
      return TRUE;
  return FALSE;
}

/* Removes the companies without runs that have had none for long. */
static void
sweep_companies (interference_t *state)
{
  GHashTableIter iter;
  gpointer value;

  if (state->number - state->swept < SWEEP_STARTS)
    return;
  state->swept = state->number;
  g_hash_table_iter_init (&iter, state->companies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const company_t *company = value;

      if (state->number - company->number > COMPANY_IDLE_STARTS && !has_runs (company))
        g_hash_table_iter_remove (&iter);
    }
}

/* Adds the company of a worker that is not known. Returns NULL when there are too
   many. */
company_t *
company_add (interference_t *state, const char *id, uint64_t incarnation_ms)
{
  company_t *company;

  if (g_hash_table_size (state->companies) >= COMPANIES_MAX)
    sweep_companies (state);
  if (g_hash_table_size (state->companies) >= COMPANIES_MAX)
    return NULL;
  company = g_new0 (company_t, 1);
  company->id = g_strdup (id);
  company->incarnation_ms = incarnation_ms;
  g_hash_table_insert (state->companies,
                       g_strdup_printf ("%s/%" PRIu64, id, incarnation_ms), company);
  return company;
}

/* Adds the time up to the record that is being applied, unless its clock is another
   one. */
static void
company_advance (const cb_batch_t *b, company_t *company)
{
  uint64_t clock_ms = b->record_clock_ms;
  uint32_t passed_ms = 0;

  if (clock_ms == 0)
    return;
  if (company->number >= b->interference->runs_from && company->clock_ms != 0 &&
      clock_ms > company->clock_ms)
    passed_ms = (uint32_t)(clock_ms - company->clock_ms);
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    {
      company->present_ms[k] += company->runs[k] > 0 ? passed_ms : 0;
      company->several_ms[k] += company->runs[k] > 1 ? passed_ms : 0;
    }
  company->clock_ms = clock_ms;
}

/* Returns for how long, up to now, a run of KIND has had OTHER beside it. */
static uint32_t
beside_ms (const company_t *company, uint32_t kind, uint32_t other)
{
  return other == kind ? company->several_ms[other] : company->present_ms[other];
}

/* Notes that a run of KIND starts beside the tasks of W that have started shortly
   before. */
static void
note_arrival (const worker_t *w, uint32_t kind, uint64_t clock_ms)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      run_mark_t *mark = ((const task_t *)w->tasks->pdata[i])->mark;

      if (mark != NULL && mark->clock_ms <= clock_ms &&
          clock_ms - mark->clock_ms <= EARLY_MS)
        mark->early |= 1U << kind;
    }
}

/* Notes the start of TASK's run, which the log has. */
void
interference_run_started (cb_batch_t *b, task_t *task)
{
  interference_t *state = b->interference;
  company_t *company = company_find (state, task->worker);
  run_mark_t *mark;

  state->number++;
  if (state->epoch != b->epoch)
    state->runs_from = state->number;
  state->epoch = b->epoch;
  if (company == NULL)
    company = company_add (state, task->worker->id, task->worker->incarnation_ms);
  if (company == NULL)
    return;
  company_advance (b, company);
  mark = g_new0 (run_mark_t, 1);
  mark->number = state->number;
  mark->clock_ms = b->record_clock_ms;
  mark->kind = kind_of_run (b, task);
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    {
      mark->early |= company->runs[k] > 0 ? 1U << k : 0;
      mark->beside_ms[k] = beside_ms (company, mark->kind, k);
    }
  note_arrival (task->worker, mark->kind, mark->clock_ms);
  task->mark = mark;
  state->kinds[mark->kind].runs++;
  company->runs[mark->kind]++;
  company->number = state->number;
}

/* Sets the shares of the time in which kinds were beside the run of MARK, which has
   ended after TOOK_MS. */
static void
set_shares (const company_t *company, const run_mark_t *mark, uint64_t took_ms,
            sample_t *sample)
{
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    {
      uint32_t ms = beside_ms (company, mark->kind, k) - mark->beside_ms[k];

      sample->percent[k] = (uint8_t)MIN (100, (uint64_t)ms * 100 / took_ms);
    }
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the work of a step by the latest times of its tasks: the lower quartile, as
   most of what is not corrected for makes runs longer. */
static double
step_work (const step_times_t *times)
{
  double sorted[STEP_TIMES_MAX];
  uint32_t count = MIN (times->ended, STEP_TIMES_MAX);

  memcpy (sorted, times->times, count * sizeof *sorted);
  qsort (sorted, count, sizeof *sorted, compare_doubles);
  return sorted[(count - 1) / 4];
}

/* TRUE when the run time of TASK, which is done, shows its work. That of a resumed run
   does not, nor does one away from its rack; gang members wait for each other, and
   filler tasks are slowed down by pace.c. */
static gboolean
shows_work (const task_t *task)
{
  const Cb__BatchStep *spec = task_spec (task);

  return !task->remote && task->checkpoint == NULL && !spec->gang && !spec->fills &&
         !spec->daemon;
}

/* Returns a hash of the job and step of TASK, the same in all processes. */
static uint32_t
step_hash (const task_t *task)
{
  return (g_str_hash (task->job->spec->id) * 31 + task->occurrence) * 31 + task->step;
}

/* Learns from the run of TASK, which is done. */
static void
observe_run (cb_batch_t *b, const task_t *task, company_t *company,
             const run_mark_t *mark)
{
  step_state_t *step = task_step (task);
  uint64_t took_ms = b->record_clock_ms - mark->clock_ms;
  sample_t sample = { .number = mark->number,
                      .kind = mark->kind,
                      .early = mark->early,
                      .step = step_hash (task),
                      .time = log ((double)took_ms) };

  if (mark->clock_ms == 0 || b->record_clock_ms < mark->clock_ms + RUN_MIN_MS ||
      mark->number < b->interference->runs_from || b->epoch != b->interference->epoch)
    return;
  set_shares (company, mark, took_ms, &sample);
  if (step->times == NULL)
    step->times = g_new0 (step_times_t, 1);
  if (step->times->ended >= STEP_TIMES_MIN && mark->kind != KIND_OTHER)
    {
      sample.work = step_work (step->times);
      interference_add_sample (b, company, &sample);
    }
  step->times->times[step->times->ended++ % STEP_TIMES_MAX] =
      sample.time - interference_expected (b->interference, &sample);
}

/* Notes the end of TASK's run, which the log has, before the task leaves its worker and
   gets the checkpoint of this run. */
void
interference_run_ended (cb_batch_t *b, task_t *task, Cb__RunEnd how)
{
  run_mark_t *mark = task->mark;
  company_t *company;

  if (mark == NULL)
    return;
  task->mark = NULL;
  company = company_find (b->interference, task->worker);
  if (company != NULL)
    {
      company_advance (b, company);
      if (how == CB__RUN_END__RUN_DONE && shows_work (task))
        observe_run (b, task, company, mark);
      company->runs[mark->kind]--;
    }
  b->interference->kinds[mark->kind].runs--;
  g_free (mark);
}
