#include "batch/local.h"

#include <string.h>

/* Workers in one question, as the advisor takes time for each. The platform takes up to
   100. */
#define ASK_WORKERS 30
/* A ticket is not used in its last part in ms, at most one in MARGIN_SHARE of its time,
   so that a start reaches its worker in time. */
#define MARGIN_MS 500
#define MARGIN_SHARE 4

/* What the advisor said of a worker for one step. */
typedef struct
{
  uint64_t born_ms;   /* the life of the worker that it holds for */
  char *ticket;       /* NULL: the step may not run there */
  cb_msec_t until_ms; /* the ticket is used until then */
} permit_t;

static void
free_permit (void *ptr)
{
  permit_t *permit = ptr;

  g_free (permit->ticket);
  g_free (permit);
}

static void
free_asked (void *ptr)
{
  cb_batch_asked_t *asked = ptr;

  g_free (asked->worker);
  g_free (asked);
}

/* Frees a question; NULL is accepted. */
void
cb_batch_question_free (cb_batch_question_t *question)
{
  if (question == NULL)
    return;
  g_free (question->job);
  g_ptr_array_free (question->asked, TRUE);
  g_free (question);
}

/* Forgets what the advisor said of a step. */
void
advice_forget (step_state_t *step)
{
  if (step->permits != NULL)
    g_hash_table_unref (step->permits);
  step->permits = NULL;
}

/* Returns the advisor's ticket for the step of TASK on W; NULL: none, or none needed.
 */
const char *
advice_ticket (const task_t *task, const worker_t *w)
{
  const step_state_t *step = task_step (task);
  const permit_t *permit;

  if (step->permits == NULL)
    return NULL;
  permit = g_hash_table_lookup (step->permits, w->id);
  return permit != NULL && permit->born_ms == w->born_ms ? permit->ticket : NULL;
}

/* TRUE when the queue's policy, as far as it is known, lets TASK run on W. */
gboolean
advice_allows (const task_t *task, const worker_t *w)
{
  return !task_step (task)->advised || advice_ticket (task, w) != NULL;
}

static gboolean
is_over (gpointer key, gpointer value, gpointer data)
{
  const permit_t *permit = value;
  const cb_msec_t *now_ms = data;

  (void)key;
  return permit->ticket != NULL && *now_ms > permit->until_ms;
}

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

/* Learns whether the step's queue is advised, and drops tickets that are over. Call
   before the step is placed. */
void
advice_refresh (const cb_batch_t *b, const job_t *job, step_state_t *step,
                cb_msec_t now_ms)
{
  step->advised = step->advised || advised_queue (b, job) != NULL;
  if (step->permits != NULL)
    g_hash_table_foreach_remove (step->permits, is_over, &now_ms);
}

static gboolean
is_asked (const step_state_t *step, const worker_t *w)
{
  const permit_t *permit =
      step->permits == NULL ? NULL : g_hash_table_lookup (step->permits, w->id);

  /* Whether a worker is allowed does not change over its lives, its ticket does. */
  return permit != NULL && (permit->ticket == NULL || permit->born_ms == w->born_ms);
}

/* TRUE while a worker that could run TASK by all else has not been asked about. */
gboolean
advice_open (GPtrArray *rooms, const task_t *task)
{
  const step_state_t *step = task_step (task);

  for (guint i = 0; step->advised && i < rooms->len; i++)
    {
      const room_t *room = rooms->pdata[i];

      if (room_suits (room->worker, task) && !is_asked (step, room->worker))
        return TRUE;
    }
  return FALSE;
}

static void
ask_about (cb_batch_question_t *question, GPtrArray *rooms, const task_t *task,
           gboolean with_room)
{
  for (guint i = 0; i < rooms->len && question->asked->len < ASK_WORKERS; i++)
    {
      const room_t *room = rooms->pdata[i];
      cb_batch_asked_t *asked;

      if (room_fits (room, task_spec (task)) != with_room ||
          !room_suits (room->worker, task) || is_asked (task_step (task), room->worker))
        continue;
      asked = g_new0 (cb_batch_asked_t, 1);
      asked->worker = g_strdup (room->worker->id);
      asked->born_ms = room->worker->born_ms;
      g_ptr_array_add (question->asked, asked);
    }
}

/* Prepares the question that lets TASK's step start, unless work before it needs one:
   first about workers that have room. Without FULL, tickets that are over are asked for
   again only where there is room, as the advisor answers one question at a time. */
void
advice_want (cb_batch_t *b, GPtrArray *rooms, const task_t *task, gboolean full)
{
  const cb_batch_queue_t *queue = advised_queue (b, task->job);
  cb_batch_question_t *question;

  if (b->question != NULL || queue == NULL || !advice_open (rooms, task))
    return;
  question = g_new0 (cb_batch_question_t, 1);
  question->job = g_strdup (task->job->spec->id);
  question->occurrence = task->occurrence;
  question->step = task->step;
  question->asked = g_ptr_array_new_with_free_func (free_asked);
  ask_about (question, rooms, task, TRUE);
  if (full || task_step (task)->permits == NULL)
    ask_about (question, rooms, task, FALSE);
  if (question->asked->len == 0)
    {
      cb_batch_question_free (question);
      return;
    }
  question->takes_ms =
      queue->decide_ms + queue->decide_each_ms * (cb_msec_t)question->asked->len;
  question->validity_ms = queue->validity_ms;
  b->question = question;
}

/* Returns the question to ask the advisor next, or NULL; freed with
   cb_batch_question_free. */
cb_batch_question_t *
cb_batch_take_question (cb_batch_t *b)
{
  cb_batch_question_t *question = b->question;

  b->question = NULL;
  return question;
}

/* Takes the advisor's answer to QUESTION: the workers that may run the step, with their
   tickets, which are good for the question's time from ASKED_MS on. */
void
cb_batch_permit (cb_batch_t *b, const cb_batch_question_t *question,
                 const cb_batch_permit_t *allowed, size_t count, cb_msec_t asked_ms)
{
  job_t *job = find_job (b, question->job);
  step_state_t *step;

  if (job == NULL || b->own_epoch == 0)
    return;
  step = &job->occurrences[question->occurrence].steps[question->step];
  if (step->permits == NULL)
    step->permits =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_permit);
  for (guint i = 0; i < question->asked->len; i++)
    {
      const cb_batch_asked_t *asked = question->asked->pdata[i];
      permit_t *permit = g_new0 (permit_t, 1);

      permit->born_ms = asked->born_ms;
      permit->until_ms = asked_ms + question->validity_ms -
                         MIN (MARGIN_MS, question->validity_ms / MARGIN_SHARE);
      for (size_t k = 0; k < count; k++)
        if (permit->ticket == NULL && strcmp (allowed[k].worker, asked->worker) == 0)
          permit->ticket = g_strdup (allowed[k].ticket);
      g_hash_table_replace (step->permits, g_strdup (asked->worker), permit);
    }
  b->dirty = TRUE;
}
