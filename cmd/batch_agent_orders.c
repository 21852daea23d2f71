#include <string.h>

#include "cmd/batch_agent.h"

typedef enum
{
  TASK_OPEN,     /* to be sent, or sent again */
  TASK_SENT,     /* a call is under way */
  TASK_ANSWERED, /* done as ordered */
  TASK_REFUSED,  /* a start that will never happen */
} call_state_t;

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_PACE,
} order_kind_t;

/* By kind: what metrics call it, and the event of a failure. */
static const struct
{
  const char *word;
  const char *failed;
} kinds[] = {
  [ORDER_START] = { "start", "start_failed" },
  [ORDER_STOP] = { "stop", "stop_failed" },
  [ORDER_PACE] = { "pace", "pace_failed" },
};

/* One ordered start, stop or pace. */
typedef struct
{
  cb_batch_agent_t *agent; /* NULL: not ordered any more, freed with the answer */
  char *key;
  order_kind_t kind;
  Cb__TaskRun *run;
  Cb__OrderedStart *start; /* of a start */
  Cb__TaskPace *pace;      /* of a pace */
  call_state_t state;
  gboolean tried;       /* a call was sent at least once */
  uint64_t answered_at; /* number of the newest hold when the answer came */
  cb_msec_t retry_ms;
  cb_msec_t sent_ms;
} order_t;

static void
free_order (void *ptr)
{
  order_t *order = ptr;

  if (order->state == TASK_SENT)
    {
      order->agent = NULL;
      return;
    }
  cb_msg_free (order->run);
  cb_msg_free (order->start);
  cb_msg_free (order->pace);
  g_free (order->key);
  g_free (order);
}

/* Returns an empty set of orders; freed with g_hash_table_unref. */
GHashTable *
cb_batch_orders_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_order);
}

static void
clear_runs (Cb__TaskRun ***runs, size_t *count)
{
  for (size_t i = 0; i < *count; i++)
    cb_msg_free ((*runs)[i]);
  free (*runs);
  *runs = NULL;
  *count = 0;
}

static gboolean
in_lists (const Cb__WorkerReport *report, const Cb__TaskRun *run)
{
  for (size_t i = 0; i < report->n_running; i++)
    if (cb_msg_equal (&report->running[i]->run->base, &run->base))
      return TRUE;
  for (size_t i = 0; i < report->n_ended; i++)
    if (cb_msg_equal (&report->ended[i]->run->base, &run->base))
      return TRUE;
  return FALSE;
}

/* A refused start, or an acknowledged stop, counts once lists that were asked for after
   the answer do not show the run. */
void
cb_batch_agent_settle (cb_batch_agent_t *agent, uint64_t hold_number)
{
  Cb__WorkerReport *report = agent->report;
  GHashTableIter iter;
  gpointer value;

  clear_runs (&report->rejected, &report->n_rejected);
  clear_runs (&report->absent, &report->n_absent);
  g_hash_table_iter_init (&iter, agent->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order_t *order = value;

      if (order->answered_at >= hold_number || in_lists (report, order->run))
        continue;
      if (order->kind == ORDER_STOP && order->state == TASK_ANSWERED)
        cb_msg_append ((void ***)&report->absent, &report->n_absent,
                       cb_msg_copy (&order->run->base));
      else if (order->kind == ORDER_START && order->state == TASK_REFUSED)
        cb_msg_append ((void ***)&report->rejected, &report->n_rejected,
                       cb_msg_copy (&order->run->base));
    }
}

static void
log_failure (const order_t *order, int err, const char *reason)
{
  const Cb__TaskRun *run = order->run;
  cb_event_unlimited (CB_LOG_WARN, "agent", kinds[order->kind].failed,
                      "job=%s task=%u.%u.%u run=%u err=%d reason=%s", run->job,
                      run->occurrence, run->step, run->index, run->run, err,
                      reason == NULL ? "" : reason);
}

static void
on_ordered (void *ctx, int err, const char *reason)
{
  order_t *order = ctx;
  cb_batch_agent_t *agent = order->agent;

  order->state = TASK_OPEN;
  if (agent == NULL)
    {
      free_order (order);
      return;
    }
  cb_batch_agent_count (agent, kinds[order->kind].word, err,
                        cb_batch_now () - order->sent_ms);
  order->answered_at = agent->hold_number;
  order->retry_ms = cb_batch_now () + CB_AGENT_RETRY_MS;
  if (err == CB_OK)
    order->state = TASK_ANSWERED;
  else if (err == CB_PLATFORM_REJECTED)
    order->state = order->kind == ORDER_START ? TASK_REFUSED : TASK_ANSWERED;
  else if (err == CB_PLATFORM_FENCED)
    agent->fenced_epoch = MAX (agent->fenced_epoch, agent->epoch);
  if (err < 0)
    log_failure (order, err, reason);
}

/* Sends ORDER to the worker. A start for a worker that drains is refused here instead,
   but one that may have reached the worker is neither repeated nor refused. */
static void
send_order (cb_batch_agent_t *agent, order_t *order)
{
  cb_worker_target_t target = cb_batch_agent_target (agent);

  if (order->kind == ORDER_START && agent->report->draining)
    {
      if (!order->tried)
        {
          order->state = TASK_REFUSED;
          order->answered_at = agent->hold_number;
          cb_event_unlimited (CB_LOG_INFO, "agent", "start_refused",
                              "job=%s task=%u.%u.%u run=%u reason=draining",
                              order->run->job, order->run->occurrence, order->run->step,
                              order->run->index, order->run->run);
        }
      return;
    }
  order->state = TASK_SENT;
  order->tried = TRUE;
  order->sent_ms = cb_batch_now ();
  if (order->kind == ORDER_STOP)
    cb_worker_stop (agent->loop, &target, order->run, on_ordered, order);
  else if (order->kind == ORDER_PACE)
    cb_worker_set_pace (agent->loop, &target, order->pace, on_ordered, order);
  else
    cb_worker_start (agent->loop, &target, order->start, on_ordered, order);
}

void
cb_batch_agent_send_orders (cb_batch_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;
  cb_msec_t now_ms = cb_batch_now ();

  if (!cb_batch_agent_has_worker (agent) || agent->epoch == 0 ||
      agent->fenced_epoch >= agent->epoch)
    return;
  g_hash_table_iter_init (&iter, agent->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      order_t *order = value;

      if (order->state == TASK_OPEN && now_ms >= order->retry_ms &&
          (order->kind != ORDER_START || agent->lease_until_ms > 0))
        send_order (agent, order);
    }
}

/* Adds an order unless the agent has it; PERCENT tells one pace from another. Returns
   the new order, or NULL. */
static order_t *
add_order (cb_batch_agent_t *agent, GHashTable *wanted, order_kind_t kind,
           const Cb__TaskRun *run, uint32_t percent)
{
  char *key =
      g_strdup_printf ("%s %u %s.%u.%u.%u.%u", kinds[kind].word, percent, run->job,
                       run->occurrence, run->step, run->index, run->run);
  order_t *order = g_hash_table_lookup (agent->orders, key);

  g_hash_table_add (wanted, g_strdup (key));
  if (order != NULL)
    {
      g_free (key);
      return NULL;
    }
  order = g_new0 (order_t, 1);
  order->agent = agent;
  order->key = key;
  order->kind = kind;
  order->run = (Cb__TaskRun *)cb_msg_copy (&run->base);
  g_hash_table_insert (agent->orders, order->key, order);
  return order;
}

static void
add_start (cb_batch_agent_t *agent, GHashTable *wanted, const Cb__OrderedStart *start)
{
  order_t *order = add_order (agent, wanted, ORDER_START, start->run, 0);

  if (order != NULL)
    order->start = (Cb__OrderedStart *)cb_msg_copy (&start->base);
}

static void
add_pace (cb_batch_agent_t *agent, GHashTable *wanted, const Cb__TaskPace *pace)
{
  order_t *order = add_order (agent, wanted, ORDER_PACE, pace->run, pace->percent);

  if (order != NULL)
    order->pace = (Cb__TaskPace *)cb_msg_copy (&pace->base);
}

static gboolean
is_unwanted (gpointer key, gpointer value, gpointer wanted)
{
  (void)value;
  return !g_hash_table_contains (wanted, key);
}

void
cb_batch_agent_take_orders (cb_batch_agent_t *agent, const Cb__WorkerOrders *orders)
{
  GHashTable *wanted;

  if (strcmp (orders->worker, agent->report->worker) != 0 ||
      orders->born_ms != agent->report->born_ms)
    {
      cb_event (CB_LOG_INFO, "agent", "orders_ignored",
                "ordered=%s ordered_born_ms=%" PRIu64 " worker=%s born_ms=%" PRIu64,
                orders->worker, orders->born_ms, agent->report->worker,
                agent->report->born_ms);
      return;
    }
  agent->lease_until_ms = MAX (agent->lease_until_ms, orders->lease_until_ms);
  agent->last_seen = MAX (agent->last_seen, orders->last_seen);
  wanted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < orders->n_starts; i++)
    add_start (agent, wanted, orders->starts[i]);
  for (size_t i = 0; i < orders->n_stops; i++)
    add_order (agent, wanted, ORDER_STOP, orders->stops[i], 0);
  for (size_t i = 0; i < orders->n_paces; i++)
    add_pace (agent, wanted, orders->paces[i]);
  g_hash_table_foreach_remove (agent->orders, is_unwanted, wanted);
  g_hash_table_unref (wanted);
  cb_batch_agent_send_orders (agent);
}
