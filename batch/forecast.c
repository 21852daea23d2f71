/* Forecast of when a job can start, from the open work that the log shows and the
   totals of the fleet: entries get no reports of workers. Answers two loads: short
   tasks that arrive faster than they end, where a new job has to wait for all that
   precede it; and a few long tasks, which keep only the room that they run in.

   The fleet is taken as one pool of accelerators and one of cores, which serve the
   preceding work without a gap. Only what runs for longer than that is looked at by
   worker, see vacancy.c. So the forecast tends to be early. */
#include "batch/local.h"

#include <string.h>

/* Precision of the time of a retry. */
#define RETRY_STEP_MS 500
/* Part of the time in which a busy fleet works: reports and records of the log leave
   gaps between runs. Tasks of 1 s reach 0.75 in
   BatchAdmit.RetryIsAdmittedAtTheStatedTime; a retry that comes too early is refused
   again. */
#define SERVED_RATE 0.75

/* Parts of the fleet, 0 to 1. */
typedef struct
{
  double accelerators;
  double cpu;
} parts_t;

/* Open tasks that take room before the new job. */
typedef struct
{
  parts_t parts;   /* of all of them */
  double time_ms;  /* expected run time, or what is left of it */
  gboolean own;    /* of the new job's account */
  gboolean yields; /* wait at the same priority for another account */
} occupant_t;

static double
ratio (double amount, double total)
{
  return total > 0 ? amount / total : 0;
}

static parts_t
parts_of (const Cb__FleetSums *fleet, const Cb__BatchStep *step, double count)
{
  return (parts_t){
    .accelerators = ratio (count * step->accelerators, (double)fleet->accelerators),
    .cpu = step->fills ? 0 : ratio (count * step->cpu_milli, (double)fleet->cpu_milli)
  };
}

/* Adds the tasks of step STEP of OTHER that run or wait. Daemon tasks that wait, and
   work that can never run, do not count. */
static void
add_step (const cb_batch_t *b, const Cb__FleetSums *fleet, const Cb__BatchJob *job,
          const job_t *other, uint32_t step, cb_msec_t now_ms, GArray *occupants)
{
  const Cb__BatchStep *spec = other->spec->steps[step];
  const step_state_t *state = &other->occurrences[0].steps[step];
  gboolean own = strcmp (other->spec->account, job->account) == 0;
  occupant_t occupant = { .own = own };

  occupant.parts = parts_of (fleet, spec, 1);
  for (uint32_t t = 0; state->started > 0 && t < state->count; t++)
    if (state->tasks[t].state == TASK_STARTED)
      {
        occupant.time_ms = expected_left_ms (b, &state->tasks[t], now_ms);
        g_array_append_val (occupants, occupant);
      }
  if (state->waiting == 0 || spec->daemon || !can_ever_run (fleet, spec))
    return;
  occupant.parts = parts_of (fleet, spec, state->waiting);
  occupant.time_ms = (double)expected_task_ms (b, other->spec, step);
  occupant.yields = !own && other->spec->priority == job->priority;
  g_array_append_val (occupants, occupant);
}

/* Returns an array of occupant_t: the open work of JOB's service that is at least as
   urgent. Scheduled jobs do not count. The caller unrefs it. */
static GArray *
list_occupants (const cb_batch_t *b, const Cb__FleetSums *fleet,
                const Cb__BatchJob *job, cb_msec_t now_ms)
{
  GArray *occupants = g_array_new (FALSE, FALSE, sizeof (occupant_t));

  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      const job_t *other = l->data;

      if (!job_open (other) || other->spec->priority > job->priority ||
          other->spec->times > 0 || strcmp (other->spec->service, job->service) != 0)
        continue;
      for (uint32_t i = 0; i < other->spec->n_steps; i++)
        add_step (b, fleet, job, other, i, now_ms, occupants);
    }
  return occupants;
}

/* Returns the part of the fleet to which JOB's account is entitled beside those with
   open work; 0 without an account. */
static double
entitled_part (const cb_batch_t *b, const Cb__FleetSums *fleet, const Cb__BatchJob *job)
{
  GHashTable *accounts;
  double entitled;

  if (job->account[0] == '\0')
    return 0;
  accounts = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (accounts, job->account);
  for (const GList *l = b->job_list.head; l != NULL; l = l->next)
    if (job_open (l->data))
      g_hash_table_add (accounts, ((const job_t *)l->data)->spec->account);
  entitled =
      share_entitled (b->config, job->account, accounts, (double)fleet->accelerators);
  g_hash_table_unref (accounts);
  return entitled;
}

typedef struct
{
  GArray *occupants; /* of occupant_t */
  double entitled;
  cb_msec_t now_ms;
} forecast_t;

/* What one resource does until a time, in ms of the whole fleet. */
typedef struct
{
  double taken_ms;     /* by all that precedes */
  double unyielded_ms; /* by what does not yield to the job's account, without own */
  double own_ms;       /* by its account */
} usage_t;

static void
add_usage (usage_t *usage, const occupant_t *occupant, double part, double until_ms)
{
  double taken_ms = part * MIN (occupant->time_ms, until_ms);

  usage->taken_ms += taken_ms;
  if (occupant->own)
    usage->own_ms += taken_ms;
  else if (!occupant->yields)
    usage->unyielded_ms += taken_ms;
}

/* TRUE when one resource has room for the part NEEDED at UNTIL_MS: all that precedes
   has had its turn by then, or the account gets its ENTITLED part before others. */
static gboolean
is_enough (const usage_t *usage, double needed, double entitled, double until_ms)
{
  double share_ms = MIN (entitled * until_ms, until_ms - usage->unyielded_ms);

  if (entitled > 0 && needed <= entitled && usage->own_ms < share_ms)
    return TRUE;
  return usage->taken_ms <= until_ms;
}

/* TRUE when the tasks of STEP that start together can start within UNTIL_MS. */
static gboolean
can_start (const Cb__FleetSums *fleet, const Cb__BatchStep *step,
           const GArray *occupants, double entitled, double until_ms)
{
  parts_t needed = parts_of (fleet, step, step->gang ? step->count : 1);
  usage_t accelerators = { 0 };
  usage_t cpu = { 0 };

  for (guint i = 0; i < occupants->len; i++)
    {
      const occupant_t *occupant = &g_array_index (occupants, occupant_t, i);

      add_usage (&accelerators, occupant, occupant->parts.accelerators, until_ms);
      add_usage (&cpu, occupant, occupant->parts.cpu, until_ms);
    }
  return (needed.accelerators == 0 ||
          is_enough (&accelerators, needed.accelerators, entitled, until_ms)) &&
         (needed.cpu == 0 || is_enough (&cpu, needed.cpu, entitled, until_ms));
}

/* TRUE when all that JOB starts with can start within UNTIL_MS. */
static gboolean
can_start_all (const cb_batch_t *b, const Cb__FleetSums *fleet, const Cb__BatchJob *job,
               const forecast_t *forecast, double until_ms)
{
  for (uint32_t i = 0; i < job->n_steps; i++)
    if (job->steps[i]->n_after == 0 &&
        !can_start (fleet, job->steps[i], forecast->occupants, forecast->entitled,
                    until_ms))
      return FALSE;
  return has_vacancy_later (b, fleet, job, forecast->now_ms, until_ms);
}

/* Returns the time in ms from now after which JOB would be expected to start within
   LATEST_START_MS: 0 if it does so now, or else up to MAX_MS. The work that precedes is
   served meanwhile, so that a later time asks for the same as a later start. What can
   start by some time can start by each later one, as no work is added. */
cb_msec_t
forecast_retry_ms (const cb_batch_t *b, const Cb__FleetSums *fleet,
                   const Cb__BatchJob *job, double latest_start_ms, cb_msec_t max_ms,
                   cb_msec_t now_ms)
{
  const forecast_t forecast = { .occupants = list_occupants (b, fleet, job, now_ms),
                                .entitled = entitled_part (b, fleet, job),
                                .now_ms = now_ms };
  cb_msec_t refused_ms = 0;
  cb_msec_t admitted_ms = max_ms;

  if (can_start_all (b, fleet, job, &forecast, latest_start_ms))
    admitted_ms = 0;
  while (admitted_ms - refused_ms > RETRY_STEP_MS)
    {
      cb_msec_t middle_ms = (refused_ms + admitted_ms) / 2;

      if (can_start_all (b, fleet, job, &forecast,
                         latest_start_ms + (double)middle_ms * SERVED_RATE))
        admitted_ms = middle_ms;
      else
        refused_ms = middle_ms;
    }
  g_array_unref (forecast.occupants);
  return admitted_ms;
}
