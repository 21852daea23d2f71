/* Queues whose tasks may run only where an external advisor permits it: requests to
   the advisor, and its decisions with their tickets. */
#include "batch/local.h"

#include <string.h>

/* Maximum number of workers in a request, as the advisor takes time for each. */
#define REQUEST_WORKERS_MAX 30
/* The same for a gang of more tasks that the first answer has not started, as it needs
   valid tickets for all its workers at a time. The platform accepts no more. */
#define GANG_REQUEST_WORKERS_MAX 100
/* A ticket is not used in the last TICKET_MARGIN_MS of its validity, but at most the
   last 1 / TICKET_MARGIN_DIVISOR of it, so that the start reaches the worker in
   time. */
#define TICKET_MARGIN_MS 500
#define TICKET_MARGIN_DIVISOR 4

/* The advisor's decision on a worker for one step. */
typedef struct
{
  uint64_t incarnation_ms;    /* the worker process that the ticket is for */
  char *ticket;               /* NULL: the step must not run there */
  cb_msec_t usable_until_ms;  /* last time for a start with the ticket: its
                                 validity from the arrival of the answer, less
                                 the margin above */
  cb_msec_t certain_until_ms; /* the same, had it been issued when the request was
                                 sent */
} decision_t;

static void
free_decision (void *ptr)
{
  decision_t *decision = ptr;

  g_free (decision->ticket);
  g_free (decision);
}

static void
free_candidate (void *ptr)
{
  cb_batch_candidate_t *candidate = ptr;

  g_free (candidate->worker);
  g_free (candidate);
}

/* Frees a request; NULL is accepted. */
void
cb_batch_advice_request_free (cb_batch_advice_request_t *request)
{
  if (request == NULL)
    return;
  g_free (request->job);
  g_ptr_array_free (request->candidates, TRUE);
  g_free (request);
}

/* Discards the advisor's decisions on a step. */
void
advice_clear (step_state_t *step)
{
  if (step->decisions != NULL)
    g_hash_table_unref (step->decisions);
  step->decisions = NULL;
}

/* Returns the ticket for the step of TASK on W; NULL when there is none or none is
   needed. */
const char *
advice_ticket (const task_t *task, const worker_t *w)
{
  const step_state_t *step = task_step (task);
  const decision_t *decision;

  if (step->decisions == NULL)
    return NULL;
  decision = g_hash_table_lookup (step->decisions, w->id);
  return decision != NULL && decision->incarnation_ms == w->incarnation_ms
             ? decision->ticket
             : NULL;
}

/* TRUE when the advisor has permitted TASK on W, or the step's queue is not advised. */
gboolean
advice_allows (const task_t *task, const worker_t *w)
{
  return !task_step (task)->advised || advice_ticket (task, w) != NULL;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const decision_t *decision = value;
  const cb_msec_t *now_ms = data;

  (void)key;
  return decision->ticket != NULL && *now_ms > decision->usable_until_ms;
}

/* Discards the ticket for TASK on W, which has rejected the start, unless the ticket
   must still be valid: it may have been issued some time before the answer arrived. */
void
advice_start_rejected (const task_t *task, const worker_t *w, cb_msec_t now_ms)
{
  GHashTable *decisions = task_step (task)->decisions;
  const decision_t *decision =
      decisions == NULL ? NULL : g_hash_table_lookup (decisions, w->id);

  if (decision == NULL || decision->ticket == NULL ||
      now_ms <= decision->certain_until_ms)
    return;
  cb_event (CB_LOG_INFO, "batch", "ticket_discarded",
            "job=%s task=%u.%u.%u worker=%s left_ms=%" PRId64, task->job->spec->id,
            task->occurrence, task->step, task->index, w->id,
            decision->usable_until_ms - now_ms);
  g_hash_table_remove (decisions, w->id);
}

/* Sets the parameters of JOB's advisor to those of QUEUE, with which JOB is accepted:
   its steps need tickets also when a later configuration lacks the queue. */
void
cb_batch_keep_advice (Cb__BatchJob *job, const cb_batch_queue_t *queue)
{
  job->advised = queue->advised;
  if (!queue->advised)
    return;
  job->advice_base_ms = (uint32_t)queue->advice_base_ms;
  job->advice_per_worker_ms = (uint32_t)queue->advice_per_worker_ms;
  job->ticket_validity_ms = (uint32_t)queue->ticket_validity_ms;
}

/* Returns JOB's queue if the present configuration has it with an advisor, or NULL. */
static const cb_batch_queue_t *
advised_queue (const cb_batch_t *b, const job_t *job)
{
  if (b->config == NULL || !b->config->advised)
    return NULL;
  for (guint i = 0; i < b->config->queues->len; i++)
    {
      const cb_batch_queue_t *queue = b->config->queues->pdata[i];

      if (queue->advised && strcmp (queue->name, job->spec->queue) == 0)
        return queue;
    }
  return NULL;
}

/* TRUE when tasks of JOB run only where the advisor permits it. */
static gboolean
is_advised (const cb_batch_t *b, const job_t *job)
{
  return job->spec->advised || advised_queue (b, job) != NULL;
}

/* Returns the time in ms that the advisor takes for a request of JOB about WORKERS
   workers, by the present configuration, or by that with which JOB was accepted. */
static cb_msec_t
advice_time_ms (const cb_batch_t *b, const job_t *job, guint workers)
{
  const cb_batch_queue_t *queue = advised_queue (b, job);
  cb_msec_t base_ms = queue != NULL ? queue->advice_base_ms : job->spec->advice_base_ms;
  cb_msec_t per_worker_ms =
      queue != NULL ? queue->advice_per_worker_ms : job->spec->advice_per_worker_ms;

  return base_ms + per_worker_ms * (cb_msec_t)workers;
}

/* Sets the times of REQUEST for JOB, from the same source. */
static void
set_request_times (const cb_batch_t *b, const job_t *job,
                   cb_batch_advice_request_t *request)
{
  const cb_batch_queue_t *queue = advised_queue (b, job);

  request->advice_ms = advice_time_ms (b, job, request->candidates->len);
  request->ticket_validity_ms =
      queue != NULL ? queue->ticket_validity_ms : job->spec->ticket_validity_ms;
}

/* Updates whether the step is advised, and discards expired tickets. Must precede the
   placement of the step. */
void
advice_refresh (const cb_batch_t *b, const job_t *job, step_state_t *step,
                cb_msec_t now_ms)
{
  step->advised = step->advised || is_advised (b, job);
  if (step->decisions != NULL)
    g_hash_table_foreach_remove (step->decisions, is_expired, &now_ms);
}

/* TRUE when the advisor has decided on W for the step and the decision still holds.
   Expired tickets have been removed by advice_refresh. */
static gboolean
has_decision (const step_state_t *step, const worker_t *w)
{
  const decision_t *decision =
      step->decisions == NULL ? NULL : g_hash_table_lookup (step->decisions, w->id);

  /* A refusal holds for all incarnations of a worker, a ticket only for one. */
  return decision != NULL &&
         (decision->ticket == NULL || decision->incarnation_ms == w->incarnation_ms);
}

/* TRUE when TASK's step is advised and the advisor has not decided yet on at least one
   of the workers that suit TASK or, with WITH_CAPACITY, of those that also have enough
   free capacity for it, with what is reserved for others but may be used. */
gboolean
advice_incomplete (const GPtrArray *capacities, const task_t *task,
                   gboolean with_capacity)
{
  const step_state_t *step = task_step (task);

  for (guint i = 0; step->advised && i < capacities->len; i++)
    {
      const capacity_t *capacity = capacities->pdata[i];

      if ((!with_capacity || capacity_fits_with_awaited (capacity, task_spec (task))) &&
          worker_suits (capacity->worker, task) &&
          !has_decision (step, capacity->worker))
        return TRUE;
    }
  return FALSE;
}

/* TRUE when the ticket of STEP for W can be used at TIME_MS, or the advisor has refused
   W. */
static gboolean
is_decided_at (const step_state_t *step, const worker_t *w, cb_msec_t time_ms)
{
  const decision_t *decision =
      step->decisions == NULL ? NULL : g_hash_table_lookup (step->decisions, w->id);

  return has_decision (step, w) &&
         (decision->ticket == NULL || decision->usable_until_ms >= time_ms);
}

/* Adds up to MAX workers that suit TASK and are not decided at TIME_MS to REQUEST:
   those with enough free capacity for it, or those without. */
static void
add_candidates (cb_batch_advice_request_t *request, const GPtrArray *capacities,
                const task_t *task, gboolean with_capacity, guint max,
                cb_msec_t time_ms)
{
  for (guint i = 0; i < capacities->len && request->candidates->len < max; i++)
    {
      const capacity_t *capacity = capacities->pdata[i];
      cb_batch_candidate_t *candidate;

      if (capacity_fits_with_awaited (capacity, task_spec (task)) != with_capacity ||
          !worker_suits (capacity->worker, task) ||
          is_decided_at (task_step (task), capacity->worker, time_ms))
        continue;
      candidate = g_new0 (cb_batch_candidate_t, 1);
      candidate->worker = g_strdup (capacity->worker->id);
      candidate->incarnation_ms = capacity->worker->incarnation_ms;
      g_ptr_array_add (request->candidates, candidate);
    }
}

/* Prepares the request for the decisions that TASK's step lacks, unless a request for
   more urgent work is prepared already. Workers with enough free capacity come first.
   Without ASK_ALL other workers are included only until the first answer for the step,
   as the advisor answers one request at a time. For a gang the request renews tickets
   that would expire before the answer: all have to be valid when it starts. */
void
advice_prepare_request (const pass_t *pass, const task_t *task, gboolean ask_all)
{
  cb_batch_t *b = pass->b;
  gboolean first = task_step (task)->decisions == NULL;
  gboolean gang_waits = task_spec (task)->gang && !first;
  guint max = gang_waits && task_step (task)->count > REQUEST_WORKERS_MAX
                  ? GANG_REQUEST_WORKERS_MAX
                  : REQUEST_WORKERS_MAX;
  cb_msec_t time_ms = pass->now_ms;
  cb_batch_advice_request_t *request;

  if (b->advice_request != NULL || !is_advised (b, task->job) ||
      !advice_incomplete (pass->capacities, task, FALSE))
    return;
  if (gang_waits)
    time_ms += advice_time_ms (b, task->job, MIN (max, pass->capacities->len));
  request = g_new0 (cb_batch_advice_request_t, 1);
  request->job = g_strdup (task->job->spec->id);
  request->occurrence = task->occurrence;
  request->step = task->step;
  request->candidates = g_ptr_array_new_with_free_func (free_candidate);
  add_candidates (request, pass->capacities, task, TRUE, max, time_ms);
  if (ask_all || first)
    add_candidates (request, pass->capacities, task, FALSE, max, time_ms);
  if (request->candidates->len == 0)
    {
      cb_batch_advice_request_free (request);
      return;
    }
  set_request_times (b, task->job, request);
  b->advice_request = request;
}

/* Removes and returns the request to be sent to the advisor next, or NULL. Freed with
   cb_batch_advice_request_free. */
cb_batch_advice_request_t *
cb_batch_pop_advice_request (cb_batch_t *b)
{
  cb_batch_advice_request_t *request = b->advice_request;

  b->advice_request = NULL;
  return request;
}

/* Applies ADVICE, the answer to REQUEST, which was sent at SENT_MS and has arrived at
   NOW_MS. The advisor issues the tickets once it has decided, so that their validity
   counts from the arrival, however long it took. Ignored when the job is not known any
   more or this process is not the scheduler. Returns the time in ms for which starts
   may use the tickets. */
cb_msec_t
cb_batch_apply_advice (cb_batch_t *b, const cb_batch_advice_request_t *request,
                       const cb_batch_advice_t *advice, cb_msec_t sent_ms,
                       cb_msec_t now_ms)
{
  cb_msec_t validity_ms =
      advice->validity_ms > 0 ? advice->validity_ms : request->ticket_validity_ms;
  cb_msec_t usable_ms =
      validity_ms - MIN (TICKET_MARGIN_MS, validity_ms / TICKET_MARGIN_DIVISOR);
  job_t *job = find_job (b, request->job);
  step_state_t *step;

  if (job == NULL || b->own_epoch == 0)
    return 0;
  step = &job->occurrences[request->occurrence].steps[request->step];
  if (step->decisions == NULL)
    step->decisions =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_decision);
  for (guint i = 0; i < request->candidates->len; i++)
    {
      const cb_batch_candidate_t *candidate = request->candidates->pdata[i];
      decision_t *decision = g_new0 (decision_t, 1);

      decision->incarnation_ms = candidate->incarnation_ms;
      decision->usable_until_ms = now_ms + usable_ms;
      decision->certain_until_ms = sent_ms + usable_ms;
      for (size_t k = 0; k < advice->count; k++)
        if (decision->ticket == NULL &&
            strcmp (advice->allowed[k].worker, candidate->worker) == 0)
          decision->ticket = g_strdup (advice->allowed[k].ticket);
      g_hash_table_replace (step->decisions, g_strdup (candidate->worker), decision);
    }
  b->dirty = TRUE;
  return usable_ms;
}
