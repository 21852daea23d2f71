/* Finds the kinds of work that slow each other down on one worker although their
   declared resources fit: they may share caches, memory bandwidth or disks.

   Two ended runs of a kind on one worker are compared when the kinds beside them differ
   by exactly one, the neighbor. Each run time is relative to its step's, whose tasks
   have equal work, so that the difference of the two residuals shows the neighbor's
   influence: the speed of the worker and the work cancel out (difference in
   differences). Each run is in one comparison at most, so that the observations are
   independent. A drift of run times, like a worker that warms up, has opposite signs
   when the neighbor has come and when it has left; the mean of the two directions is
   used. A pair is found when the lower confidence bound of that mean is above a ratio
   that matters to callers. */
#include "batch/interference.h"

#include <math.h>

/* A neighbor that makes runs this much longer is worth another worker: objectives are
   1.5 to 3 times the work. */
#define RATIO_MIN 1.15
/* A found pair ends below this ratio, so that it does not come and go. */
#define RATIO_KEPT 1.08
/* Standard errors between the estimate and its lower confidence bound. */
#define CONFIDENCE 3
/* Least weight of the observations of a pair, and of those in each direction, and
   workers that they are from: something else may change on one worker together with the
   neighbor. The weight of an observation is 1 when the neighbor is beside one of the
   two runs all the time and never beside the other. */
#define WEIGHT_MIN 8
#define DIRECTION_MIN 3
#define WORKERS_MIN 3
/* Weight of the observations in the moving averages: earlier ones fade. */
#define WEIGHT_MAX 24
/* Tasks of one step differ by 5%, and so do two of them by 7%. A lower deviation in a
   few observations is chance. */
#define DEVIATION_MIN 0.1
/* A few runs take many times as long as others of their step. A difference beyond this
   ratio is such a run; one beyond the second counts as the second. */
#define OUTLIER_RATIO 3.5
#define CLIP_RATIO 2.0
/* While a found pair is kept apart, nothing is learned of it. Each run without the
   neighbor ages it by this factor. It ends with less weight than WEIGHT_KEPT, after 350
   to 1,300 such runs, and is found again when it still holds. */
#define AGEING (1 - 1.0 / 512)
#define WEIGHT_KEPT 4
/* Two runs are compared if the shares of their times with the neighbor differ by this
   much at least, and those with any other kind by no more than the second. */
#define COMPARED_PERCENT_MIN 30
#define OTHERS_PERCENT_MAX 20
/* An estimate by few observations is drawn towards none, as by so many more. */
#define EXPECTED_PRIOR 8
/* Samples of a worker with the same kind and company, so that others find a place. */
#define EQUAL_SAMPLES_MAX 4

/* Returns the estimate of the logarithm of the ratio, and its standard error in ERROR.
   Both directions must have observations. */
static double
pair_estimate (const pair_t *pair, double *error)
{
  double variance = MAX (pair->variance, DEVIATION_MIN * DEVIATION_MIN);
  double sum = 0;
  double inverse = 0;

  for (int i = 0; i < N_DIRECTIONS; i++)
    {
      sum += pair->means[i];
      inverse += 1 / pair->weights[i];
    }
  *error = sqrt (variance * inverse) / N_DIRECTIONS;
  return sum / N_DIRECTIONS;
}

/* Updates, for each kind, the set of kinds that it is kept apart from. */
void
interference_update_apart (interference_t *state)
{
  state->n_found = 0;
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    state->apart[k] = 0;
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    for (uint32_t n = 0; n < KINDS_MAX; n++)
      if (state->pairs[k][n].found)
        {
          state->n_found++;
          state->apart[k] |= 1U << n;
          state->apart[n] |= 1U << k;
        }
}

/* Logs a change of the pair: only the scheduler does so, once for all entries. */
static void
log_pair (const cb_batch_t *b, uint32_t kind, uint32_t neighbor, const char *event)
{
  const interference_t *state = b->interference;
  const pair_t *pair = &state->pairs[kind][neighbor];
  double error;

  if (b->own_epoch == 0)
    return;
  cb_event (CB_LOG_INFO, "batch", event,
            "kind=%s neighbor=%s ratio=%.2f observations=%u epoch=%" PRIu64,
            state->kinds[kind].name, state->kinds[neighbor].name,
            exp (pair_estimate (pair, &error)), pair->observations, b->own_epoch);
}

static void
end_pair (cb_batch_t *b, uint32_t kind, uint32_t neighbor)
{
  log_pair (b, kind, neighbor, "interference_ended");
  b->interference->pairs[kind][neighbor] = (pair_t){ 0 };
  interference_update_apart (b->interference);
}

/* TRUE when the observations suffice to find a pair. */
static gboolean
is_observed (const pair_t *pair)
{
  return pair->weights[NEIGHBOR_CAME] >= DIRECTION_MIN &&
         pair->weights[NEIGHBOR_LEFT] >= DIRECTION_MIN &&
         pair->weights[NEIGHBOR_CAME] + pair->weights[NEIGHBOR_LEFT] >= WEIGHT_MIN &&
         __builtin_popcountll (pair->workers) >= WORKERS_MIN;
}

/* Finds or ends the pair by its observations. */
static void
judge_pair (cb_batch_t *b, uint32_t kind, uint32_t neighbor)
{
  pair_t *pair = &b->interference->pairs[kind][neighbor];
  double error;

  if (pair->found)
    {
      if (pair->weights[NEIGHBOR_CAME] + pair->weights[NEIGHBOR_LEFT] < WEIGHT_KEPT ||
          pair_estimate (pair, &error) < log (RATIO_KEPT))
        end_pair (b, kind, neighbor);
      return;
    }
  if (!is_observed (pair) ||
      pair_estimate (pair, &error) - CONFIDENCE * error <= log (RATIO_MIN))
    return;
  pair->found = TRUE;
  interference_update_apart (b->interference);
  log_pair (b, kind, neighbor, "interference_found");
}

/* Adds an observation to the moving averages of PAIR: a run on the worker of COMPANY
   was LONGER than another (as a logarithm), and the neighbor was beside it for SHARE
   more of its time, -1 to 1. The error of an estimate by a part of the time grows with
   the inverse of that, so that the observation counts as the square of it. */
static void
pair_observe (pair_t *pair, double longer, double share, const company_t *company)
{
  direction_t direction = share > 0 ? NEIGHBOR_CAME : NEIGHBOR_LEFT;
  double limit = log (CLIP_RATIO);
  double weight = share * share;
  double clipped = CLAMP (longer / share, -limit, limit);
  double delta = clipped - pair->means[direction];

  pair->observations++;
  pair->weights[direction] = MIN (pair->weights[direction] + weight, WEIGHT_MAX);
  pair->means[direction] += delta * weight / pair->weights[direction];
  pair->variance +=
      (delta * (clipped - pair->means[direction]) * weight - pair->variance) /
      MIN (pair->observations, WEIGHT_MAX);
  pair->workers |= 1ULL << (g_str_hash (company->id) % 64);
}

/* Forgets all that is known of the kind with place KIND, before another gets it. */
void
interference_forget_kind (cb_batch_t *b, uint32_t kind)
{
  interference_t *state = b->interference;

  for (uint32_t k = 0; k < KINDS_MAX; k++)
    {
      if (state->pairs[kind][k].found)
        end_pair (b, kind, k);
      if (state->pairs[k][kind].found)
        end_pair (b, k, kind);
      state->pairs[kind][k] = (pair_t){ 0 };
      state->pairs[k][kind] = (pair_t){ 0 };
    }
}

/* Ages the found pairs of the kind of SAMPLE whose neighbor was not beside it. */
static void
age_pairs (cb_batch_t *b, const sample_t *sample)
{
  for (uint32_t n = 0; n < KIND_OTHER; n++)
    {
      pair_t *pair = &b->interference->pairs[sample->kind][n];

      if (!pair->found || sample->percent[n] >= COMPARED_PERCENT_MIN)
        continue;
      pair->weights[NEIGHBOR_CAME] *= AGEING;
      pair->weights[NEIGHBOR_LEFT] *= AGEING;
      judge_pair (b, sample->kind, n);
    }
}

/* TRUE when the kinds beside the runs X and Y are the same, except for the one that is
   set in NEIGHBOR; KIND_OTHER: without exception. */
static gboolean
compare_company (const sample_t *x, const sample_t *y, uint32_t *neighbor)
{
  *neighbor = KIND_OTHER;
  if (x->kind != y->kind)
    return FALSE;
  for (uint32_t k = 0; k < KINDS_MAX; k++)
    {
      int difference = x->percent[k] - y->percent[k];

      if (ABS (difference) <= OTHERS_PERCENT_MAX)
        continue;
      if (ABS (difference) < COMPARED_PERCENT_MIN || *neighbor != KIND_OTHER ||
          k == KIND_OTHER)
        return FALSE;
      *neighbor = k;
    }
  return TRUE;
}

/* Returns the kind whose influence the comparison of X and Y shows, or KIND_OTHER. It
   must have been beside one of them from the start: among runs that it meets later the
   longest ones prevail. */
static uint32_t
compared_neighbor (const sample_t *x, const sample_t *y)
{
  uint32_t neighbor;
  const sample_t *with;

  if (!compare_company (x, y, &neighbor) || neighbor == KIND_OTHER)
    return KIND_OTHER;
  with = x->percent[neighbor] > y->percent[neighbor] ? x : y;
  return (with->early & 1U << neighbor) != 0 ? neighbor : KIND_OTHER;
}

/* Returns by how much the kinds beside SAMPLE make the logarithm of its run time
   larger, by what is known so far. */
double
interference_expected (const interference_t *state, const sample_t *sample)
{
  double sum = 0;

  for (uint32_t n = 0; n < KIND_OTHER; n++)
    {
      const pair_t *pair = &state->pairs[sample->kind][n];
      double total = pair->weights[NEIGHBOR_CAME] + pair->weights[NEIGHBOR_LEFT];
      double weighted = pair->weights[NEIGHBOR_CAME] * pair->means[NEIGHBOR_CAME] +
                        pair->weights[NEIGHBOR_LEFT] * pair->means[NEIGHBOR_LEFT];

      sum += weighted / (total + EXPECTED_PRIOR) * sample->percent[n] / 100;
    }
  return sum;
}

/* TRUE when X should be compared with SAMPLE rather than Y: when only X is of the same
   step, as their work is equal, or else when it is later. */
static gboolean
is_better_match (const sample_t *sample, const sample_t *x, const sample_t *y)
{
  if ((x->step == sample->step) != (y->step == sample->step))
    return x->step == sample->step;
  return x->number > y->number;
}

/* Returns the sample of COMPANY that SAMPLE should be compared with, or NULL. */
static sample_t *
find_match (const interference_t *state, company_t *company, const sample_t *sample)
{
  sample_t *match = NULL;

  for (int i = 0; i < SAMPLES_MAX; i++)
    {
      sample_t *other = &company->samples[i];

      if (other->number == 0 || other->number < state->samples_from ||
          compared_neighbor (sample, other) == KIND_OTHER)
        continue;
      if (match == NULL || is_better_match (sample, other, match))
        match = other;
    }
  return match;
}

/* Keeps SAMPLE until it can be compared, in place of an older one if need be. */
static void
keep_sample (company_t *company, const sample_t *sample)
{
  sample_t *oldest = &company->samples[0];
  sample_t *oldest_equal = NULL;
  uint32_t equal = 0;
  uint32_t neighbor;

  for (int i = 0; i < SAMPLES_MAX; i++)
    {
      sample_t *other = &company->samples[i];

      if (other->number < oldest->number)
        oldest = other;
      if (other->number == 0 || !compare_company (sample, other, &neighbor) ||
          neighbor != KIND_OTHER)
        continue;
      equal++;
      if (oldest_equal == NULL || other->number < oldest_equal->number)
        oldest_equal = other;
    }
  *(equal >= EQUAL_SAMPLES_MAX ? oldest_equal : oldest) = *sample;
}

/* Learns from SAMPLE, a run that has ended on the worker of COMPANY. */
void
interference_add_sample (cb_batch_t *b, company_t *company, const sample_t *sample)
{
  sample_t *match;

  age_pairs (b, sample);
  while ((match = find_match (b->interference, company, sample)) != NULL)
    {
      uint32_t neighbor = compared_neighbor (sample, match);
      int percent = sample->percent[neighbor] - match->percent[neighbor];
      double longer = sample->time - match->time;

      if (sample->step != match->step)
        longer -= sample->work - match->work;
      if (longer > log (OUTLIER_RATIO))
        return;
      match->number = 0;
      if (longer < -log (OUTLIER_RATIO))
        continue;
      pair_observe (&b->interference->pairs[sample->kind][neighbor], longer,
                    percent / 100.0, company);
      judge_pair (b, sample->kind, neighbor);
      break;
    }
  keep_sample (company, sample);
}
