#include <string.h>

#include "cmd/batch.h"

/* The worker answers a call for its lists after this long when nothing ends. */
#define HOLD_WAIT_MS 400
/* Pause after a call that failed, and between repeated orders. */
#define RETRY_MS 150
/* A report without news goes out at least this often. */
#define REPORT_MS 450
/* Without orders from any scheduler for this long, the agent registers again. */
#define REGISTER_MS 3000
#define TICK_MS 50
/* After SIGTERM: time for calls to the worker that are under way. */
#define STOP_MS 300

typedef enum
{
  TASK_OPEN,     /* to be sent, or sent again */
  TASK_SENT,     /* a call is under way */
  TASK_ANSWERED, /* done as ordered */
  TASK_REFUSED,  /* a start that will never happen */
} call_state_t;

/* One ordered start or stop. */
typedef struct
{
  struct agent *agent; /* NULL: not ordered any more, freed with the answer */
  char *key;
  gboolean is_stop;
  Cb__TaskRun *run;
  Cb__OrderedStart *start;
  call_state_t state;
  gboolean tried;       /* a call was sent at least once */
  uint64_t answered_at; /* number of the newest hold when the answer came */
  cb_msec_t retry_ms;
  cb_msec_t sent_ms;
} order_t;

typedef struct agent
{
  Cb__PlatformSettings *settings;
  cb_loop_t *loop;
  cb_store_t *store;
  cb_http_server_t *control;
  cb_http_server_t *metrics;
  cb_counters_t *counters;
  cb_wire_t *wire;
  cb_timer_t *timer;
  char *peer; /* identity of the scheduler; NULL: none yet */
  uint64_t epoch;
  uint64_t fenced_epoch; /* the worker refused this epoch */
  cb_msec_t orders_ms;
  cb_msec_t registered_ms;
  gboolean registering;

  char *worker_address;
  Cb__WorkerReport *report; /* description and newest lists; worker empty: none */
  uint64_t sequence;        /* of the newest heartbeat */
  uint64_t lists_epoch;     /* under which the lists were read */
  cb_msec_t draining_ms;    /* since when; 0: not draining */
  cb_msec_t reported_ms;
  size_t reported_running;
  size_t reported_ended;

  uint64_t lease_until_ms;
  uint64_t last_seen;
  GHashTable *orders; /* key -> order_t */
  gboolean holding;
  gboolean unreachable; /* the last call to the worker failed */
  uint64_t hold_number;
  cb_msec_t hold_retry_ms;
  cb_msec_t term_ms;
} agent_t;

/* Context of a hold call. */
typedef struct
{
  agent_t *agent;
  char *worker;
  uint64_t born_ms;
  uint64_t epoch;
  uint64_t number;
} hold_t;

static void hold_worker (agent_t *agent);
static void send_open_orders (agent_t *agent);

static gboolean
has_worker (const agent_t *agent)
{
  return agent->report->worker[0] != '\0';
}

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
  g_free (order->key);
  g_free (order);
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
static void
list_settled (agent_t *agent, uint64_t hold_number)
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
      if (order->is_stop && order->state == TASK_ANSWERED)
        cb_msg_append ((void ***)&report->absent, &report->n_absent,
                       cb_msg_copy (&order->run->base));
      else if (!order->is_stop && order->state == TASK_REFUSED)
        cb_msg_append ((void ***)&report->rejected, &report->n_rejected,
                       cb_msg_copy (&order->run->base));
    }
}

static void
send_report (agent_t *agent)
{
  Cb__Envelope *envelope;

  if (agent->peer == NULL)
    return;
  envelope = cb_msg_new (&cb__envelope__descriptor);
  cb_msg_set_string (&envelope->from, agent->settings->name);
  envelope->epoch = agent->epoch;
  envelope->body_case = CB__ENVELOPE__BODY_WORKER_REPORT;
  envelope->worker_report = (Cb__WorkerReport *)cb_msg_copy (&agent->report->base);
  if (agent->lists_epoch != agent->epoch)
    envelope->worker_report->clock_ms = 0;
  if (cb_wire_send (agent->wire, agent->peer, envelope) < 0)
    cb_event (CB_LOG_WARN, "agent", "report_not_sent", "scheduler=%s", agent->peer);
  cb_msg_free (envelope);
  agent->reported_ms = cb_batch_now ();
}

static void
move_lists (Cb__WorkerReport *to, Cb__WorkerReport *from)
{
  for (size_t i = 0; i < to->n_running; i++)
    cb_msg_free (to->running[i]);
  free (to->running);
  for (size_t i = 0; i < to->n_ended; i++)
    cb_msg_free (to->ended[i]);
  free (to->ended);
  to->running = from->running;
  to->n_running = from->n_running;
  to->ended = from->ended;
  to->n_ended = from->n_ended;
  to->clock_ms = from->clock_ms;
  from->running = NULL;
  from->n_running = 0;
  from->ended = NULL;
  from->n_ended = 0;
}

static void
forget_worker (agent_t *agent, const char *why)
{
  if (!has_worker (agent))
    return;
  cb_event_always (CB_LOG_INFO, "agent", "worker_lost",
                   "worker=%s born_ms=%" PRIu64 " why=%s", agent->report->worker,
                   agent->report->born_ms, why);
  cb_msg_free (agent->report);
  agent->report = cb_msg_new (&cb__worker_report__descriptor);
  agent->lease_until_ms = 0;
  agent->last_seen = 0;
  agent->lists_epoch = 0;
  agent->draining_ms = 0;
  g_hash_table_remove_all (agent->orders);
}

static void
take_lists (agent_t *agent, const hold_t *hold, const Cb__WorkerReport *lists)
{
  size_t rejected = agent->report->n_rejected;
  size_t absent = agent->report->n_absent;
  gboolean news;

  if (agent->lists_epoch == hold->epoch && lists->clock_ms < agent->report->clock_ms)
    return;
  news = agent->lists_epoch != hold->epoch ||
         lists->n_running != agent->reported_running ||
         lists->n_ended != agent->reported_ended;
  agent->lists_epoch = hold->epoch;
  move_lists (agent->report, (Cb__WorkerReport *)lists);
  list_settled (agent, hold->number);
  news = news || rejected != agent->report->n_rejected ||
         absent != agent->report->n_absent;
  if (!news && cb_batch_now () - agent->reported_ms < REPORT_MS)
    return;
  agent->reported_running = agent->report->n_running;
  agent->reported_ended = agent->report->n_ended;
  send_report (agent);
}

static void
count_call (agent_t *agent, const char *call, int err, cb_msec_t took_ms)
{
  char *label = g_strdup_printf ("call=\"%s\"", call);

  if (err < 0)
    cb_counters_add (agent->counters, "worker_calls_failed_total", label, 1);
  else
    cb_counters_observe (agent->counters, "worker_call_duration_ms", label, took_ms);
  g_free (label);
}

static void
on_lists (void *ctx, int err, const Cb__WorkerReport *lists)
{
  hold_t *hold = ctx;
  agent_t *agent = hold->agent;
  gboolean current = strcmp (hold->worker, agent->report->worker) == 0 &&
                     hold->born_ms == agent->report->born_ms;

  agent->holding = FALSE;
  if (err < 0)
    count_call (agent, "lists", err, 0);
  if (err == CB_OK && current && hold->epoch == agent->epoch)
    take_lists (agent, hold, lists);
  else if (err == CB_PLATFORM_FENCED)
    {
      agent->fenced_epoch = hold->epoch;
      cb_event_always (CB_LOG_WARN, "agent", "fenced", "epoch=%" PRIu64, hold->epoch);
    }
  else if (err == CB_PLATFORM_REPLACED && current)
    forget_worker (agent, "replaced");
  if ((err < 0) != agent->unreachable)
    cb_event_always (CB_LOG_INFO, "agent",
                     err < 0 ? "worker_unreachable" : "worker_reached",
                     "worker=%s err=%d", hold->worker, err);
  agent->unreachable = err < 0;
  agent->hold_retry_ms = err < 0 ? cb_batch_now () + RETRY_MS : 0;
  g_free (hold->worker);
  g_free (hold);
  hold_worker (agent);
}

static cb_worker_target_t
make_target (const agent_t *agent)
{
  return (cb_worker_target_t){ .address = agent->worker_address,
                               .worker = agent->report->worker,
                               .epoch = agent->epoch,
                               .lease_until_ms = agent->lease_until_ms };
}

/* Asks for the worker's lists, one call after the other. */
static void
hold_worker (agent_t *agent)
{
  cb_worker_target_t target;
  hold_t *hold;

  if (agent->holding || !has_worker (agent) || agent->epoch == 0 ||
      agent->fenced_epoch >= agent->epoch || cb_batch_now () < agent->hold_retry_ms)
    return;
  hold = g_new0 (hold_t, 1);
  hold->agent = agent;
  hold->worker = g_strdup (agent->report->worker);
  hold->born_ms = agent->report->born_ms;
  hold->epoch = agent->epoch;
  hold->number = ++agent->hold_number;
  agent->holding = TRUE;
  target = make_target (agent);
  cb_worker_hold (agent->loop, &target, agent->last_seen,
                  agent->lists_epoch == agent->epoch ? HOLD_WAIT_MS : 0, on_lists,
                  hold);
}

static void
on_ordered (void *ctx, int err, const char *reason)
{
  order_t *order = ctx;
  agent_t *agent = order->agent;

  order->state = TASK_OPEN;
  if (agent == NULL)
    {
      free_order (order);
      return;
    }
  count_call (agent, order->is_stop ? "stop" : "start", err,
              cb_batch_now () - order->sent_ms);
  order->answered_at = agent->hold_number;
  order->retry_ms = cb_batch_now () + RETRY_MS;
  if (err == CB_OK)
    order->state = TASK_ANSWERED;
  else if (err == CB_PLATFORM_REJECTED)
    order->state = order->is_stop ? TASK_ANSWERED : TASK_REFUSED;
  else if (err == CB_PLATFORM_FENCED)
    agent->fenced_epoch = MAX (agent->fenced_epoch, agent->epoch);
  if (err < 0)
    cb_event_always (CB_LOG_WARN, "agent",
                     order->is_stop ? "stop_failed" : "start_failed",
                     "job=%s task=%u.%u.%u run=%u err=%d reason=%s", order->run->job,
                     order->run->occurrence, order->run->step, order->run->index,
                     order->run->run, err, reason == NULL ? "" : reason);
}

/* TRUE when the worker has been draining for so long that a start sent now could come
   too late. */
static gboolean
too_late_to_start (const agent_t *agent)
{
  return agent->draining_ms != 0;
}

static void
send_order (agent_t *agent, order_t *order)
{
  cb_worker_target_t target = make_target (agent);

  if (!order->is_stop && too_late_to_start (agent))
    {
      if (!order->tried)
        {
          order->state = TASK_REFUSED;
          order->answered_at = agent->hold_number;
          cb_event_always (CB_LOG_INFO, "agent", "start_refused",
                           "job=%s task=%u.%u.%u run=%u reason=draining",
                           order->run->job, order->run->occurrence, order->run->step,
                           order->run->index, order->run->run);
        }
      return;
    }
  order->state = TASK_SENT;
  order->tried = TRUE;
  order->sent_ms = cb_batch_now ();
  if (order->is_stop)
    cb_worker_stop (agent->loop, &target, order->run, on_ordered, order);
  else
    cb_worker_start (agent->loop, &target, order->start, on_ordered, order);
}

static void
send_open_orders (agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;
  cb_msec_t now_ms = cb_batch_now ();

  if (!has_worker (agent) || agent->epoch == 0 || agent->fenced_epoch >= agent->epoch)
    return;
  g_hash_table_iter_init (&iter, agent->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      order_t *order = value;

      if (order->state == TASK_OPEN && now_ms >= order->retry_ms &&
          (order->is_stop || agent->lease_until_ms > 0))
        send_order (agent, order);
    }
}

static void
add_order (agent_t *agent, GHashTable *wanted, const Cb__TaskRun *run,
           const Cb__OrderedStart *start)
{
  char *key = g_strdup_printf ("%c%s.%u.%u.%u.%u", start == NULL ? '-' : '+', run->job,
                               run->occurrence, run->step, run->index, run->run);
  order_t *order = g_hash_table_lookup (agent->orders, key);

  g_hash_table_add (wanted, g_strdup (key));
  if (order != NULL)
    {
      g_free (key);
      return;
    }
  order = g_new0 (order_t, 1);
  order->agent = agent;
  order->key = key;
  order->is_stop = start == NULL;
  order->run = (Cb__TaskRun *)cb_msg_copy (&run->base);
  order->start = start == NULL ? NULL : (Cb__OrderedStart *)cb_msg_copy (&start->base);
  g_hash_table_insert (agent->orders, order->key, order);
}

static gboolean
is_unwanted (gpointer key, gpointer value, gpointer wanted)
{
  (void)value;
  return !g_hash_table_contains (wanted, key);
}

static void
take_orders (agent_t *agent, const Cb__WorkerOrders *orders)
{
  GHashTable *wanted;

  if (strcmp (orders->worker, agent->report->worker) != 0 ||
      orders->born_ms != agent->report->born_ms)
    return;
  agent->lease_until_ms = MAX (agent->lease_until_ms, orders->lease_until_ms);
  agent->last_seen = MAX (agent->last_seen, orders->last_seen);
  wanted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < orders->n_starts; i++)
    add_order (agent, wanted, orders->starts[i]->run, orders->starts[i]);
  for (size_t i = 0; i < orders->n_stops; i++)
    add_order (agent, wanted, orders->stops[i], NULL);
  g_hash_table_foreach_remove (agent->orders, is_unwanted, wanted);
  g_hash_table_unref (wanted);
  send_open_orders (agent);
}

static void
on_envelope (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  agent_t *agent = ctx;

  (void)bytes;
  if (envelope->body_case != CB__ENVELOPE__BODY_WORKER_ORDERS ||
      envelope->epoch < agent->epoch)
    return;
  agent->orders_ms = cb_batch_now ();
  if (envelope->epoch > agent->epoch)
    {
      cb_event_always (CB_LOG_INFO, "agent", "scheduler_changed",
                       "scheduler=%s epoch=%" PRIu64 " earlier=%" PRIu64, peer,
                       envelope->epoch, agent->epoch);
      agent->epoch = envelope->epoch;
      g_hash_table_remove_all (agent->orders);
    }
  if (agent->peer == NULL || strcmp (agent->peer, peer) != 0)
    {
      g_free (agent->peer);
      agent->peer = g_strdup (peer);
      send_report (agent);
    }
  else if (agent->orders_ms - agent->reported_ms > REPORT_MS)
    send_report (agent);
  if (has_worker (agent))
    take_orders (agent, envelope->worker_orders);
  hold_worker (agent);
}

/* Replaces the worker's description by a heartbeat's; the lists stay when it is the
   same life of the same worker. */
static void
take_heartbeat (agent_t *agent, const char *worker, Cb__WorkerReport *next,
                const char *address)
{
  Cb__WorkerReport *report = agent->report;
  gboolean same =
      strcmp (report->worker, worker) == 0 && report->born_ms == next->born_ms;
  gboolean news = !same || report->draining != next->draining;

  if (!same)
    {
      forget_worker (agent, "another_announced");
      cb_event_always (CB_LOG_INFO, "agent", "worker_found",
                       "worker=%s born_ms=%" PRIu64 " service=%s address=%s", worker,
                       next->born_ms, next->service, address);
    }
  else
    {
      next->clock_ms = report->clock_ms;
      next->running = report->running;
      next->n_running = report->n_running;
      next->ended = report->ended;
      next->n_ended = report->n_ended;
      next->rejected = report->rejected;
      next->n_rejected = report->n_rejected;
      next->absent = report->absent;
      next->n_absent = report->n_absent;
      report->n_running = report->n_ended = report->n_rejected = report->n_absent = 0;
      report->running = NULL;
      report->ended = NULL;
      report->rejected = NULL;
      report->absent = NULL;
    }
  cb_msg_free (agent->report);
  agent->report = next;
  cb_msg_set_string (&next->worker, worker);
  g_free (agent->worker_address);
  agent->worker_address = g_strdup (address);
  if (next->draining && agent->draining_ms == 0)
    agent->draining_ms = cb_batch_now ();
  else if (!next->draining)
    agent->draining_ms = 0;
  if (news)
    send_report (agent);
  hold_worker (agent);
}

static void
on_leave (agent_t *agent, const char *worker)
{
  if (strcmp (agent->report->worker, worker) != 0)
    return;
  agent->report->left = TRUE;
  send_report (agent);
  forget_worker (agent, "left");
}

static int
on_heartbeat (agent_t *agent, cb_http_req_t *req, const char *worker)
{
  Cb__WorkerReport *next = cb_msg_new (&cb__worker_report__descriptor);
  size_t len;
  const char *body = cb_http_body (req, &len);
  uint64_t sequence = 0;
  char *address = NULL;

  if (cb_platform_heartbeat_read (body, len, &sequence, &address, next) < 0)
    {
      cb_event (CB_LOG_WARN, "agent", "heartbeat_unreadable", "worker=%s bytes=%zu",
                worker, len);
      cb_msg_free (next);
      return 400;
    }
  /* One that was delayed on its way, of an earlier life or an earlier state. */
  if (has_worker (agent) &&
      (next->born_ms < agent->report->born_ms ||
       (next->born_ms == agent->report->born_ms &&
        strcmp (worker, agent->report->worker) == 0 && sequence <= agent->sequence)))
    cb_msg_free (next);
  else
    {
      agent->sequence = sequence;
      take_heartbeat (agent, worker, next, address);
    }
  g_free (address);
  return 200;
}

static void
on_control (void *ctx, cb_http_req_t *req)
{
  agent_t *agent = ctx;
  char *worker = NULL;
  gboolean leaves = FALSE;
  int status = 404;

  if (cb_platform_is_heartbeat (req, &worker, &leaves))
    {
      status = 200;
      if (leaves)
        on_leave (agent, worker);
      else
        status = on_heartbeat (agent, req, worker);
    }
  cb_http_reply (req, status, "application/json", "{}", 2);
  g_free (worker);
}

static void
on_metrics (void *ctx, cb_http_req_t *req)
{
  agent_t *agent = ctx;
  char *text;

  cb_counters_set (agent->counters, "tasks_running", NULL, agent->report->n_running);
  cb_counters_set (agent->counters, "worker_draining", NULL, agent->draining_ms != 0);
  cb_counters_set (agent->counters, "store_calls_total", NULL,
                   cb_store_calls (agent->store));
  cb_counters_set (agent->counters, "log_lines_dropped_total", NULL,
                   cb_event_dropped ());
  text = cb_counters_text (agent->counters);
  cb_http_reply (req, 200, "text/plain; version=0.0.4", text, strlen (text));
  g_free (text);
}

static void
on_registered (void *ctx, int err, uint64_t offset)
{
  agent_t *agent = ctx;

  agent->registering = FALSE;
  if (err < 0)
    agent->registered_ms = cb_batch_now () - REGISTER_MS + RETRY_MS;
  cb_event (err < 0 ? CB_LOG_WARN : CB_LOG_INFO, "agent", "registered",
            "err=%d offset=%" PRIu64, err, offset);
}

/* Writes this agent's address to the log, where the scheduler finds it. */
static void
register_agent (agent_t *agent)
{
  Cb__RecordBatch *batch = cb_msg_new (&cb__record_batch__descriptor);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  GBytes *bytes;
  gsize size;
  const void *data;

  record->body_case = CB__RECORD__BODY_BATCH;
  record->time_ms = (uint64_t)cb_clock_wall (cb_clock_system ());
  record->batch = cb_msg_new (&cb__batch_record__descriptor);
  record->batch->body_case = CB__BATCH_RECORD__BODY_AGENT;
  record->batch->agent = cb_msg_new (&cb__batch_agent__descriptor);
  cb_msg_set_string (&record->batch->agent->name, agent->settings->name);
  cb_msg_set_string (&record->batch->agent->address, agent->settings->wire_address);
  cb_msg_append ((void ***)&batch->records, &batch->n_records, record);
  bytes = cb_msg_pack (&batch->base);
  data = g_bytes_get_data (bytes, &size);
  agent->registering = TRUE;
  agent->registered_ms = cb_batch_now ();
  cb_logc_append (cb_store_log (agent->store), CB_BATCH_STREAM, data, size,
                  on_registered, agent);
  g_bytes_unref (bytes);
  cb_msg_free (batch);
}

static void
on_tick (void *ctx)
{
  agent_t *agent = ctx;
  cb_msec_t now_ms = cb_batch_now ();

  cb_batch_reload ("agent");
  if (cb_batch_term_requested () && agent->term_ms == 0)
    {
      agent->term_ms = now_ms;
      cb_event_always (CB_LOG_INFO, "agent", "stopping", "running=%zu",
                       agent->report->n_running);
    }
  if (agent->term_ms != 0 && now_ms - agent->term_ms > STOP_MS)
    {
      cb_loop_stop (agent->loop);
      return;
    }
  if (!agent->registering && now_ms - agent->registered_ms > REGISTER_MS &&
      now_ms - agent->orders_ms > REGISTER_MS)
    register_agent (agent);
  hold_worker (agent);
  if (agent->term_ms == 0)
    send_open_orders (agent);
}

static int
run (Cb__PlatformSettings *settings)
{
  static agent_t agent; /* calls under way refer to it until the process ends */

  agent.settings = settings;
  agent.loop = cb_loop_new ();
  agent.store = cb_store_new (agent.loop, settings->store_address);
  agent.counters = cb_counters_new ();
  agent.report = cb_msg_new (&cb__worker_report__descriptor);
  agent.orders = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_order);
  agent.orders_ms = cb_batch_now () - REGISTER_MS - 1;
  agent.registered_ms = agent.orders_ms;
  if (cb_wire_listen (agent.loop, settings->wire_address, on_envelope, &agent,
                      &agent.wire) < 0 ||
      cb_http_listen (agent.loop, settings->control_address, on_control, &agent,
                      &agent.control) < 0 ||
      (settings->metrics_address[0] != '\0' &&
       cb_http_listen (agent.loop, settings->metrics_address, on_metrics, &agent,
                       &agent.metrics) < 0))
    {
      cb_event_always (CB_LOG_ERROR, "agent", "listen_failed",
                       "wire=%s control=%s metrics=%s", settings->wire_address,
                       settings->control_address, settings->metrics_address);
      return CB_EXIT_USAGE;
    }
  cb_event_always (CB_LOG_INFO, "agent", "started", "name=%s region=%s zone=%s wire=%s",
                   settings->name, settings->region, settings->availability_zone,
                   settings->wire_address);
  agent.timer = cb_timer_new (agent.loop, 0, TICK_MS, on_tick, &agent);
  cb_loop_run (agent.loop);
  cb_event_always (CB_LOG_INFO, "agent", "stopped", "name=%s", settings->name);
  return CB_EXIT_DONE;
}

/* Runs the agent beside a worker of the platform until SIGTERM. */
int
cb_cmd_batch_agent (int argc, char **argv)
{
  return cb_cmd_platform (argc, argv, "Run the agent beside a worker.", run);
}
