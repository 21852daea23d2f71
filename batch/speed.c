/* Speed of workers: learns from the run times of ended tasks how many times as long as
   on a usual worker a task runs on each worker. Answers the load of a fleet on which
   some workers are permanently slower than others, and nobody says which.

   The state of each agent (instance) is an estimate of the logarithm of its slowness
   with a variance. Each ended run updates it like a scalar Kalman filter (R. E. Kalman,
   1960) whose process noise lets it follow changes; large innovations are limited as in
   Huber's M-estimators (P. J. Huber, 1964), as 3% of the runs take 7 times as long. A
   gang runs as slowly as its slowest member: its run is an observation of the maximum,
   which is linearised around the present estimates (extended Kalman filter). The
   estimates are relative. The median of the known agents is 1, the usual worker.

   All input comes from the log, so that all entries learn the same. */
#include "batch/local.h"

#include <math.h>

/* Standard deviation of the logarithm before the first run: a ratio of 2.2 between
   workers (0.8 in the logarithm) has been seen. */
#define PRIOR_SD 0.4
/* Added to the variance with each run, so that half of a change of the speed is
   followed by the next run of a step with others. */
#define PROCESS_VARIANCE 0.008
/* Variances of the logarithm of a run time: among tasks of one step, whose run times
   differ by 5%, with a margin for tasks that slow each other down; and among all tasks
   of a queue, which differ by 30% to 50%. */
#define STEP_VARIANCE 0.01
#define QUEUE_VARIANCE 0.25
/* Limits of an innovation: this value, or this many standard deviations. */
#define INNOVATION_MAX 0.4
#define INNOVATION_MAX_SD 1.2
/* A queue's mean is used as evidence from this many runs on. */
#define QUEUE_RUNS_MIN 5
/* Least weight of a new run in the mean of its queue, and the limit of its deviation.
 */
#define QUEUE_MEAN_WEIGHT 0.05
#define QUEUE_DEVIATION_MAX 1.0
/* Members of a gang whose estimates differ by much less than this may all be its
   slowest one; by much more, the one with the highest estimate is. */
#define SLOWEST_SCALE 0.1
/* A worker is slow, or fast, when its estimate has followed from SPEED_RUNS_MIN runs
   and differs from the usual by at least 35% and by 3 standard deviations; until it
   differs by less than 15%. */
#define SPEED_RUNS_MIN 3
#define CLASS_ENTER_LOG 0.3
#define CLASS_LEAVE_LOG 0.140
#define CLASS_ENTER_SD 3.0
/* A run that takes 3 times as long as estimated counts for no class: it is more likely
   one of the very long ones. The estimates follow it, so that later ones count. */
#define SURPRISING_LOG 1.1
/* With fewer known agents there is no usual one. */
#define KNOWN_AGENTS_MIN 3
/* The median is updated after every run, or, with more agents than this, after so many
   runs that the cost of each stays the same. */
#define MEDIAN_AGENTS 32
/* Fewer other agents do not show which of them had a very long run. */
#define STEP_PEERS_MIN 3
/* Variance of a median in relation to that of a mean, for normal values. */
#define MEDIAN_VARIANCE_FACTOR 1.57
/* Share of a step's tasks that have ended when their run times are compared: a few of
   them take many times as long as the others. */
#define COMPARED_SHARE 0.9
/* Workers of a step whose run times are kept for comparison. */
#define STEP_WORKERS_MAX 64

static const char *const class_names[] = {
  [SPEED_USUAL] = "usual",
  [SPEED_SLOW] = "slow",
  [SPEED_FAST] = "fast",
};

/* Returns the estimate of AGENT; a new one at first. */
speed_t *
get_speed (cb_batch_t *b, const char *agent)
{
  speed_t *speed = g_hash_table_lookup (b->speeds, agent);

  if (speed == NULL)
    {
      speed = g_new0 (speed_t, 1);
      speed->variance = PRIOR_SD * PRIOR_SD;
      g_hash_table_insert (b->speeds, g_strdup (agent), speed);
    }
  return speed;
}

static double
relative_log (const cb_batch_t *b, const speed_t *speed)
{
  return speed->log_slowness - b->speed_median;
}

/* As relative_log, or 0 while the class is usual. */
static double
known_relative_log (const cb_batch_t *b, const speed_t *speed)
{
  return speed->speed_class == SPEED_USUAL ? 0 : relative_log (b, speed);
}

/* Returns how many times as long as on a usual worker a task runs on W; 1 when that is
   unknown, or not known with confidence, or differs little. */
double
worker_slowness (const cb_batch_t *b, const worker_t *w)
{
  const speed_t *speed;

  if (b->unusual_speeds == 0)
    return 1;
  speed = g_hash_table_lookup (b->speeds, w->agent);
  return speed == NULL || speed->speed_class == SPEED_USUAL
             ? 1
             : exp (relative_log (b, speed));
}

/* Returns the slowness of the worker of TASK's run or, if it is a gang member, the
   largest of the gang: the factor by which the run takes longer than its work. */
double
run_slowness (const cb_batch_t *b, const task_t *task)
{
  const step_state_t *step = task_step (task);
  double slowness = 0;

  if (b->unusual_speeds == 0)
    return 1;
  if (!task_spec (task)->gang)
    return task->worker == NULL ? 1 : worker_slowness (b, task->worker);
  for (uint32_t t = 0; t < step->count; t++)
    if (step->tasks[t].worker != NULL)
      slowness = MAX (slowness, worker_slowness (b, step->tasks[t].worker));
  return slowness > 0 ? slowness : 1;
}

/* Returns the number of workers that are known to be slow. */
uint32_t
slow_worker_count (const cb_batch_t *b)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, b->workers);
  while (b->unusual_speeds > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      const speed_t *speed = g_hash_table_lookup (b->speeds, w->agent);

      count += w->reporting && !w->terminated && speed != NULL &&
               speed->speed_class == SPEED_SLOW;
    }
  return count;
}

/* Updates the class of AGENT's estimate. The scheduler logs a change. */
static void
classify (cb_batch_t *b, const char *agent, speed_t *speed)
{
  double relative = relative_log (b, speed);
  speed_class_t before = speed->speed_class;

  if (fabs (relative) < CLASS_LEAVE_LOG || (before == SPEED_SLOW && relative < 0) ||
      (before == SPEED_FAST && relative > 0))
    speed->speed_class = SPEED_USUAL;
  if (abs (speed->streak) >= SPEED_RUNS_MIN && relative * speed->streak > 0 &&
      fabs (relative) > CLASS_ENTER_LOG &&
      fabs (relative) > CLASS_ENTER_SD * sqrt (speed->variance))
    speed->speed_class = relative > 0 ? SPEED_SLOW : SPEED_FAST;
  if (speed->speed_class == before)
    return;
  b->unusual_speeds += (speed->speed_class != SPEED_USUAL) - (before != SPEED_USUAL);
  b->dirty = TRUE;
  if (b->own_epoch != 0)
    cb_event (
        CB_LOG_INFO, "batch", "worker_speed",
        "agent=%s class=%s before=%s slowness=%.2f sd=%.2f runs=%u epoch=%" PRIu64,
        agent, class_names[speed->speed_class], class_names[before], exp (relative),
        sqrt (speed->variance), speed->runs, b->own_epoch);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Updates the median of the known agents and the classes of all. Of an even number the
   lower of the middle two counts: the faster half is the usual one. */
static void
update_median (cb_batch_t *b)
{
  GArray *known = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  gpointer agent;
  gpointer value;

  b->runs_since_median = 0;
  g_hash_table_iter_init (&iter, b->speeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((speed_t *)value)->runs >= SPEED_RUNS_MIN)
      g_array_append_val (known, ((speed_t *)value)->log_slowness);
  g_array_sort (known, compare_doubles);
  if (known->len >= KNOWN_AGENTS_MIN)
    {
      b->speed_median = g_array_index (known, double, (known->len - 1) / 2);
      g_hash_table_iter_init (&iter, b->speeds);
      while (g_hash_table_iter_next (&iter, &agent, &value))
        classify (b, agent, value);
    }
  g_array_unref (known);
}

/* Returns INNOVATION, whose variance is VARIANCE, within its limits. */
static double
limited (double innovation, double variance)
{
  double max = MAX (INNOVATION_MAX, INNOVATION_MAX_SD * sqrt (variance));

  return CLAMP (innovation, -max, max);
}

/* Lists the speeds of the agents whose workers run TASK or, if it is a gang member, its
   gang, each once. Freed by the caller. */
static GPtrArray *
list_members (cb_batch_t *b, const task_t *task)
{
  const step_state_t *step = task_step (task);
  GPtrArray *members = g_ptr_array_new ();

  b->speed_lists++;
  for (uint32_t t = 0; t < step->count; t++)
    {
      const task_t *member = task_spec (task)->gang ? &step->tasks[t] : task;
      speed_t *speed;

      if (member->worker != NULL && member->run == task->run)
        {
          speed = get_speed (b, member->worker->agent);
          if (speed->listed != b->speed_lists)
            g_ptr_array_add (members, speed);
          speed->listed = b->speed_lists;
        }
      if (!task_spec (task)->gang)
        break;
    }
  return members;
}

static double
largest_log (const GPtrArray *members)
{
  double largest = ((const speed_t *)members->pdata[0])->log_slowness;

  for (guint i = 1; i < members->len; i++)
    largest = MAX (largest, ((const speed_t *)members->pdata[i])->log_slowness);
  return largest;
}

/* Notes that RUNS of the workers of SPEED show the logarithm RELATIVE for their
   slowness, with the standard deviation SD. What may be chance counts on neither
   side. */
static void
note_streak (speed_t *speed, double relative, double sd, uint32_t runs,
             gboolean surprising)
{
  if (fabs (relative) < CLASS_LEAVE_LOG || relative * speed->streak < 0)
    speed->streak = 0;
  if (fabs (relative) > MAX (CLASS_LEAVE_LOG, sd) && !surprising)
    speed->streak += relative > 0 ? (int32_t)runs : -(int32_t)runs;
}

/* Updates MEMBERS by an observation of the largest of their logarithms, with VARIANCE.
   Each member takes part with the probability that it is the slowest one. RUNS: so many
   runs show it. RELATIVE: the same observation against workers of known speed, for the
   class. */
static void
observe (const GPtrArray *members, double observed_log, double variance, uint32_t runs,
         double relative)
{
  double largest = largest_log (members);
  double *weights = g_new (double, members->len);
  double sd = sqrt (variance);
  double sum = 0;
  double innovation;

  for (guint i = 0; i < members->len; i++)
    {
      const speed_t *speed = members->pdata[i];

      weights[i] = exp ((speed->log_slowness - largest) / SLOWEST_SCALE);
      sum += weights[i];
    }
  for (guint i = 0; i < members->len; i++)
    {
      speed_t *speed = members->pdata[i];

      weights[i] /= sum;
      speed->variance =
          MIN (speed->variance + PROCESS_VARIANCE * weights[i], PRIOR_SD * PRIOR_SD);
      variance += weights[i] * weights[i] * speed->variance;
    }
  innovation = limited (observed_log - largest, variance);
  for (guint i = 0; i < members->len; i++)
    {
      speed_t *speed = members->pdata[i];
      double gain = speed->variance * weights[i] / variance;

      speed->log_slowness += gain * innovation;
      speed->variance *= 1 - gain * weights[i];
      if (weights[i] < 0.5)
        continue;
      speed->runs += runs;
      note_streak (speed, relative, sd, runs,
                   fabs (observed_log - largest) > SURPRISING_LOG);
    }
  g_free (weights);
}

/* Returns what STEP's runs on the workers of SPEED took, or NULL. */
static step_work_t *
find_step_work (const step_state_t *step, const speed_t *speed)
{
  for (guint i = 0; step->work != NULL && i < step->work->len; i++)
    if (g_array_index (step->work, step_work_t, i).speed == speed)
      return &g_array_index (step->work, step_work_t, i);
  return NULL;
}

/* What the runs of a step show of one agent. */
typedef struct
{
  double observed_log; /* of its slowness */
  double variance;
  double relative; /* the same against workers of known speed */
} step_result_t;

/* Returns by how much the logarithms of OWN's runs differ from USUAL_LOG at least; 0 if
   they lie on both sides of it. A single very long run then shows nothing. */
static double
least_unusual (const step_work_t *own, double usual_log)
{
  if (own->log_least > usual_log)
    return own->log_least - usual_log;
  return MIN (0, own->log_most - usual_log);
}

/* Returns the median of VALUES, of double, which it sorts. Of an even number it is the
   lower of the middle two. */
static double
median_of (GArray *values)
{
  g_array_sort (values, compare_doubles);
  return g_array_index (values, double, (values->len - 1) / 2);
}

/* Compares OWN with the other agents' runs of STEP, each corrected by its estimate:
   with their median, as one of them may be a very long run. Returns FALSE when there
   are too few. */
static gboolean
compare_in_step (const cb_batch_t *b, const step_state_t *step, const step_work_t *own,
                 step_result_t *result)
{
  GArray *work_logs = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *usual_logs = g_array_new (FALSE, FALSE, sizeof (double));
  gboolean enough = step->work->len > STEP_PEERS_MIN;
  double weight = 0;

  for (guint i = 0; enough && i < step->work->len; i++)
    {
      const step_work_t *other = &g_array_index (step->work, step_work_t, i);
      double other_log = other->log_sum / other->runs;
      double work_log = other_log - other->speed->log_slowness;
      double usual_log = other_log - known_relative_log (b, other->speed);

      if (other == own)
        continue;
      weight += 1 / (other->speed->variance + STEP_VARIANCE / other->runs);
      g_array_append_val (work_logs, work_log);
      g_array_append_val (usual_logs, usual_log);
    }
  if (enough)
    *result = (step_result_t){
      .observed_log = own->log_sum / own->runs - median_of (work_logs),
      .variance = STEP_VARIANCE / own->runs + MEDIAN_VARIANCE_FACTOR / weight,
      .relative = least_unusual (own, median_of (usual_logs)),
    };
  g_array_unref (work_logs);
  g_array_unref (usual_logs);
  return enough;
}

/* Learns from the runs of STEP, all of which have ended. Each agent is compared with
   all others at once: in the order of their ends each run would look slow beside the
   earlier ones. */
static void
learn_from_step (const cb_batch_t *b, const step_state_t *step)
{
  guint count = step->work == NULL ? 0 : step->work->len;
  step_result_t *results = g_new0 (step_result_t, MAX (1, count));
  GPtrArray *member = g_ptr_array_new ();

  g_ptr_array_set_size (member, 1);
  for (guint i = 0; i < count; i++)
    if (!compare_in_step (b, step, &g_array_index (step->work, step_work_t, i),
                          &results[i]))
      count = 0;
  for (guint i = 0; i < count; i++)
    {
      const step_work_t *work = &g_array_index (step->work, step_work_t, i);

      member->pdata[0] = work->speed;
      observe (member, results[i].observed_log, results[i].variance, work->runs,
               results[i].relative);
    }
  g_ptr_array_free (member, TRUE);
  g_free (results);
}

/* Notes that RUNS of STEP on the workers of SPEED took LOG_SUM, the sum of the
   logarithms of their run times in ms. Of several, only their mean is known. */
void
note_step_work (step_state_t *step, speed_t *speed, uint32_t runs, double log_sum)
{
  step_work_t *work = find_step_work (step, speed);
  double log_ms = log_sum / runs;

  if (step->work == NULL)
    step->work = g_array_new (FALSE, FALSE, sizeof (step_work_t));
  if (work == NULL && step->work->len < STEP_WORKERS_MAX)
    {
      const step_work_t first = { .speed = speed,
                                  .log_least = log_ms,
                                  .log_most = log_ms };

      g_array_append_val (step->work, first);
      work = find_step_work (step, speed);
    }
  if (work == NULL)
    return;
  work->log_sum += log_sum;
  work->runs += runs;
  work->log_least = MIN (work->log_least, log_ms);
  work->log_most = MAX (work->log_most, log_ms);
}

/* Discards what the runs of STEP took. */
void
forget_step_work (step_state_t *step)
{
  if (step->work != NULL)
    g_array_unref (step->work);
  step->work = NULL;
}

/* Updates the mean of the logarithm of QUEUE's work by a run whose work is LOG_MS. */
static void
note_queue_work (run_time_t *queue, double log_ms)
{
  double deviation = log_ms - queue->log_mean;

  queue->log_runs++;
  if (queue->log_runs == 1)
    queue->log_mean = log_ms;
  else
    queue->log_mean += MAX (1.0 / queue->log_runs, QUEUE_MEAN_WEIGHT) *
                       CLAMP (deviation, -QUEUE_DEVIATION_MAX, QUEUE_DEVIATION_MAX);
}

/* Learns the speed of the workers of TASK, whose run ended done after TOOK_MS by the
   clock of the scheduler's process. QUEUE: the run times of its queue. The run was
   neither resumed nor away from its rack or data. Called before the tasks are detached
   from their workers. */
void
speed_learn (cb_batch_t *b, const task_t *task, run_time_t *queue, cb_msec_t took_ms)
{
  const Cb__BatchStep *spec = task_spec (task);
  step_state_t *step = task_step (task);
  double log_ms = log ((double)took_ms);
  uint32_t compared = (uint32_t)ceil (COMPARED_SHARE * step->count);
  GPtrArray *members;

  if (spec->daemon || spec->fills)
    return;
  members = list_members (b, task);
  if ((spec->gang || step->count == 1) && queue->log_runs >= QUEUE_RUNS_MIN)
    observe (members, log_ms - queue->log_mean,
             QUEUE_VARIANCE * (1 + 1.0 / queue->log_runs), 1,
             log_ms - queue->log_mean - b->speed_median);
  note_queue_work (queue, log_ms - largest_log (members));
  if (!spec->gang && step->done < compared)
    note_step_work (step, members->pdata[0], 1, log_ms);
  if (step->done + 1 == compared)
    {
      learn_from_step (b, step);
      forget_step_work (step);
    }
  b->runs_since_median++;
  if (b->runs_since_median * MEDIAN_AGENTS >= g_hash_table_size (b->speeds))
    update_median (b);
  g_ptr_array_free (members, TRUE);
}
