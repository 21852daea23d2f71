#include "batch/local.h"

#include <string.h>

static worker_t *
worker_of_agent (const cb_batch_t *b, const char *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (!w->gone && w->clock_ms != 0 && strcmp (w->agent, agent) == 0)
        return w;
    }
  return NULL;
}

/* TRUE once after the agent's orders changed in a way that should not wait for its next
   report. */
gboolean
cb_batch_orders_changed (cb_batch_t *b, const char *agent)
{
  worker_t *w = worker_of_agent (b, agent);
  gboolean changed = w != NULL && w->orders_changed;

  if (w != NULL)
    w->orders_changed = FALSE;
  return changed;
}

static void
add_start (Cb__WorkerOrders *orders, const task_t *task)
{
  Cb__OrderedStart *start = cb_msg_new (&cb__ordered_start__descriptor);

  start->run = task_run_new (task, task->run);
  cb_msg_set_string (&start->spec, task->job->spec->spec);
  if (task->saved != NULL)
    cb_msg_set_string (&start->saved, task->saved);
  if (advice_ticket (task, task->worker) != NULL)
    cb_msg_set_string (&start->ticket, advice_ticket (task, task->worker));
  cb_msg_append ((void ***)&orders->starts, &orders->n_starts, start);
}

/* Adds stops for runs of earlier lives of W, which may have been started in this one.
 */
static void
add_stops_of_earlier_lives (const cb_batch_t *b, Cb__WorkerOrders *orders,
                            const worker_t *w)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *earlier = value;

      for (guint i = 0; earlier->successor == w && i < earlier->tasks->len; i++)
        {
          const task_t *task = earlier->tasks->pdata[i];

          if (task->state == TASK_STARTED)
            cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                           task_run_new (task, task->run));
        }
    }
}

/* Returns all that AGENT has to do. With MAY_GRANT the lease of its worker is extended
   from the worker's clock in its last report, so that a delayed message extends it no
   further. The caller frees the message. */
Cb__WorkerOrders *
cb_batch_orders (cb_batch_t *b, const char *agent, gboolean may_grant, cb_msec_t now_ms)
{
  Cb__WorkerOrders *orders = cb_msg_new (&cb__worker_orders__descriptor);
  worker_t *w = worker_of_agent (b, agent);

  (void)now_ms;
  if (w == NULL)
    return orders;
  cb_msg_set_string (&orders->worker, w->id);
  orders->born_ms = w->born_ms;
  orders->last_seen = w->last_seen;
  if (may_grant && w->listed)
    {
      orders->lease_until_ms = w->clock_ms + (uint64_t)b->params.hold_max_ms;
      w->lease_over_ms = lease_over (b, w->report_ms);
    }
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED)
        continue;
      if (task->stop)
        cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                       task_run_new (task, task->run));
      else if (!task->seen && !task->proposed_end)
        add_start (orders, task);
    }
  pace_orders (w, orders);
  add_stops_of_earlier_lives (b, orders, w);
  for (guint i = 0; i < w->strays->len; i++)
    cb_msg_append ((void ***)&orders->stops, &orders->n_stops,
                   cb_msg_copy (w->strays->pdata[i]));
  return orders;
}
