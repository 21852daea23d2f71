#include <string.h>

#include "cmd/batch_agent.h"

/* The worker answers a call for its lists after this long when nothing ends. */
#define HOLD_WAIT_MS 400

/* Context of a hold call. */
typedef struct
{
  cb_batch_agent_t *agent;
  char *worker;
  uint64_t born_ms;
  uint64_t epoch;
  uint64_t number;
} hold_t;

gboolean
cb_batch_agent_has_worker (const cb_batch_agent_t *agent)
{
  return agent->report->worker[0] != '\0';
}

void
cb_batch_agent_report (cb_batch_agent_t *agent)
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
forget_worker (cb_batch_agent_t *agent, const char *why)
{
  if (!cb_batch_agent_has_worker (agent))
    return;
  cb_event_unlimited (CB_LOG_INFO, "agent", "worker_lost",
                      "worker=%s born_ms=%" PRIu64 " why=%s", agent->report->worker,
                      agent->report->born_ms, why);
  cb_msg_free (agent->report);
  agent->report = cb_msg_new (&cb__worker_report__descriptor);
  agent->lease_until_ms = 0;
  agent->last_seen = 0;
  agent->lists_epoch = 0;
  g_hash_table_remove_all (agent->orders);
}

static void
take_lists (cb_batch_agent_t *agent, const hold_t *hold, const Cb__WorkerReport *lists)
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
  cb_batch_agent_settle (agent, hold->number);
  news = news || rejected != agent->report->n_rejected ||
         absent != agent->report->n_absent;
  if (!news && cb_batch_now () - agent->reported_ms < CB_AGENT_REPORT_MS)
    return;
  agent->reported_running = agent->report->n_running;
  agent->reported_ended = agent->report->n_ended;
  cb_batch_agent_report (agent);
}

void
cb_batch_agent_count (cb_batch_agent_t *agent, const char *call, int err,
                      cb_msec_t took_ms)
{
  char *label = g_strdup_printf ("call=\"%s\"", call);

  if (err < 0)
    cb_counters_add (agent->counters, "worker_calls_failed_total", label, 1);
  else
    cb_counters_observe (agent->counters, "worker_call_duration_ms", label, took_ms);
  g_free (label);
}

cb_worker_target_t
cb_batch_agent_target (const cb_batch_agent_t *agent)
{
  return (cb_worker_target_t){ .address = agent->worker_address,
                               .worker = agent->report->worker,
                               .epoch = agent->epoch,
                               .lease_until_ms = agent->lease_until_ms };
}

static void
free_hold (hold_t *hold)
{
  g_free (hold->worker);
  g_free (hold);
}

static void
on_lists (void *ctx, int err, const Cb__WorkerReport *lists)
{
  hold_t *hold = ctx;
  cb_batch_agent_t *agent = hold->agent;
  gboolean current = strcmp (hold->worker, agent->report->worker) == 0 &&
                     hold->born_ms == agent->report->born_ms;

  if (err < 0)
    cb_batch_agent_count (agent, "lists", err, 0);
  if (hold->number != agent->hold_number)
    {
      free_hold (hold);
      return;
    }
  agent->holding = FALSE;
  if (err == CB_OK && current && hold->epoch == agent->epoch)
    take_lists (agent, hold, lists);
  else if (err == CB_PLATFORM_FENCED)
    {
      agent->fenced_epoch = hold->epoch;
      cb_event_unlimited (CB_LOG_WARN, "agent", "fenced", "epoch=%" PRIu64,
                          hold->epoch);
    }
  else if (err == CB_PLATFORM_REPLACED && current)
    forget_worker (agent, "replaced");
  if ((err < 0) != agent->unreachable)
    cb_event_unlimited (CB_LOG_INFO, "agent",
                        err < 0 ? "worker_unreachable" : "worker_reached",
                        "worker=%s err=%d", hold->worker, err);
  agent->unreachable = err < 0;
  agent->hold_retry_ms = err < 0 ? cb_batch_now () + CB_AGENT_RETRY_MS : 0;
  free_hold (hold);
  cb_batch_agent_hold (agent);
}

/* Asks for the worker's lists, one call after the other. A call under an earlier epoch
   is not waited for: the new scheduler needs the lists before it can place work. */
void
cb_batch_agent_hold (cb_batch_agent_t *agent)
{
  cb_worker_target_t target;
  hold_t *hold;

  gboolean superseded = agent->holding && agent->holding_epoch != agent->epoch;

  if ((agent->holding && !superseded) || !cb_batch_agent_has_worker (agent) ||
      agent->epoch == 0 || agent->fenced_epoch >= agent->epoch ||
      (!superseded && cb_batch_now () < agent->hold_retry_ms))
    return;
  hold = g_new0 (hold_t, 1);
  hold->agent = agent;
  hold->worker = g_strdup (agent->report->worker);
  hold->born_ms = agent->report->born_ms;
  hold->epoch = agent->epoch;
  hold->number = ++agent->hold_number;
  agent->holding = TRUE;
  agent->holding_epoch = agent->epoch;
  target = cb_batch_agent_target (agent);
  cb_worker_long_poll (agent->loop, &target, agent->last_seen,
                       agent->lists_epoch == agent->epoch ? HOLD_WAIT_MS : 0, on_lists,
                       hold);
}

/* Replaces the worker's description by a heartbeat's; the lists stay when it is the
   same life of the same worker. */
static void
take_heartbeat (cb_batch_agent_t *agent, const char *worker, Cb__WorkerReport *next,
                const char *address)
{
  Cb__WorkerReport *report = agent->report;
  gboolean same =
      strcmp (report->worker, worker) == 0 && report->born_ms == next->born_ms;
  gboolean news = !same || report->draining != next->draining;

  if (!same)
    {
      forget_worker (agent, "another_announced");
      cb_event_unlimited (CB_LOG_INFO, "agent", "worker_found",
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
  if (news)
    cb_batch_agent_report (agent);
  cb_batch_agent_hold (agent);
}

static void
on_leave (cb_batch_agent_t *agent, const char *worker)
{
  if (strcmp (agent->report->worker, worker) != 0)
    {
      cb_event (CB_LOG_INFO, "agent", "leave_ignored", "worker=%s current=%s", worker,
                agent->report->worker);
      return;
    }
  agent->report->left = TRUE;
  cb_batch_agent_report (agent);
  forget_worker (agent, "left");
}

static int
on_heartbeat (cb_batch_agent_t *agent, cb_http_req_t *req, const char *worker)
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
  if (cb_batch_agent_has_worker (agent) &&
      (next->born_ms < agent->report->born_ms ||
       (next->born_ms == agent->report->born_ms &&
        strcmp (worker, agent->report->worker) == 0 && sequence <= agent->sequence)))
    {
      cb_event (CB_LOG_INFO, "agent", "heartbeat_ignored",
                "worker=%s born_ms=%" PRIu64 " seq=%" PRIu64 " current=%s "
                "current_born_ms=%" PRIu64 " current_seq=%" PRIu64,
                worker, next->born_ms, sequence, agent->report->worker,
                agent->report->born_ms, agent->sequence);
      cb_msg_free (next);
    }
  else
    {
      agent->sequence = sequence;
      take_heartbeat (agent, worker, next, address);
    }
  g_free (address);
  return 200;
}

void
cb_batch_agent_control (void *ctx, cb_http_req_t *req)
{
  cb_batch_agent_t *agent = ctx;
  char *worker = NULL;
  gboolean leaves = FALSE;
  int status = 404;

  if (cb_platform_is_worker_message (req, &worker, &leaves))
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
