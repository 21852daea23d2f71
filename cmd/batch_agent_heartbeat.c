/* Which worker an agent has: the heartbeats and notices that reach it, which may also
   come from other writers and from processes that have ended since. */
#include <string.h>

#include "cmd/batch_agent.h"

/* Largest number of announced workers that are asked at a time. */
#define ANNOUNCEMENTS_MAX 8
/* Heartbeats come about once a second. A worker counts on below the newest sequence
   number when it does so for LOWER_SERIES_MS. */
#define LOWER_SERIES_MS 3000
/* A worker that sends no heartbeats for this long is not that of the agent's instance
   if another one announces itself there. */
#define HEARTBEATS_MISSED_MS 10000
/* The answer to the notice that the worker ends waits this long for its runs to stop: a
   stop takes up to 400 ms, and workers count an answer as missing after a second. */
#define LEAVE_ANSWER_MS 800

/* TRUE when the agent has heard of something newer than the heartbeat NEXT number
   SEQUENCE of WORKER: a later incarnation of this worker, or a later heartbeat of this
   incarnation. */
static gboolean
is_outdated (const cb_batch_agent_t *agent, const char *worker,
             const Cb__WorkerReport *next, uint64_t sequence)
{
  return strcmp (worker, agent->report->worker) == 0 &&
         (next->born_ms < agent->report->born_ms ||
          (next->born_ms == agent->report->born_ms &&
           sequence <= agent->heartbeat_sequence));
}

/* TRUE when the heartbeats A and B describe the worker differently. */
static gboolean
descriptions_differ (const Cb__WorkerReport *a, const Cb__WorkerReport *b)
{
  gboolean differ = a->draining != b->draining || a->cpu_milli != b->cpu_milli ||
                    a->memory_mb != b->memory_mb ||
                    a->accelerators != b->accelerators || a->n_labels != b->n_labels ||
                    strcmp (a->service, b->service) != 0 ||
                    strcmp (a->availability_zone, b->availability_zone) != 0;

  for (size_t i = 0; i < a->n_labels && !differ; i++)
    differ = strcmp (a->labels[i], b->labels[i]) != 0;
  return differ;
}

/* Logs a heartbeat of the same incarnation that changes its description. */
static void
log_description (const cb_batch_agent_t *agent, const char *worker,
                 const Cb__WorkerReport *next)
{
  cb_event (CB_LOG_INFO, "agent", "worker_described",
            "worker=%s born_ms=%" PRIu64 " seq=%" PRIu64
            " service=%s draining=%d cpu_milli=%u memory_mb=%u accelerators=%u "
            "labels=%zu",
            worker, next->born_ms, agent->heartbeat_sequence, next->service,
            next->draining, next->cpu_milli, next->memory_mb, next->accelerators,
            next->n_labels);
}

/* Replaces the worker's description by NEXT, which was read from a heartbeat, and takes
   ownership of it. The lists are kept when the heartbeat is from the same incarnation
   of the same worker. */
static void
apply_heartbeat (cb_batch_agent_t *agent, const char *worker, Cb__WorkerReport *next,
                 const char *address)
{
  Cb__WorkerReport *report = agent->report;
  gboolean same =
      strcmp (report->worker, worker) == 0 && report->born_ms == next->born_ms;
  gboolean changed = !same || report->draining != next->draining;

  if (!same)
    {
      if (strcmp (report->worker, worker) != 0 &&
          g_strcmp0 (agent->worker_address, address) == 0)
        cb_batch_agent_forget_closed_worker (agent, "address_taken");
      else
        cb_batch_agent_forget_worker (agent, "another_announced");
      cb_batch_agent_drop_ended_worker (agent, worker);
      /* All its calls so far came from this process of the agent. */
      agent->ends_followed = g_strcmp0 (agent->last_worker, worker) == 0 &&
                             next->born_ms > agent->last_born_ms;
      cb_event_unlimited (CB_LOG_INFO, "agent", "worker_found",
                          "worker=%s born_ms=%" PRIu64 " service=%s address=%s", worker,
                          next->born_ms, next->service, address);
    }
  else
    {
      agent->leaving = agent->leaving && next->draining;
      if (descriptions_differ (report, next))
        log_description (agent, worker, next);
      next->clock_ms = report->clock_ms;
      next->agent_clock_ms = report->agent_clock_ms;
      next->running = report->running;
      next->n_running = report->n_running;
      next->ended = report->ended;
      next->n_ended = report->n_ended;
      next->ended_partial = report->ended_partial;
      next->unread_end = report->unread_end;
      next->running_unread = report->running_unread;
      next->rejected = report->rejected;
      next->n_rejected = report->n_rejected;
      next->unhealthy = report->unhealthy;
      next->n_unhealthy = report->n_unhealthy;
      next->absent = report->absent;
      next->n_absent = report->n_absent;
      report->n_running = report->n_ended = report->n_rejected = report->n_absent = 0;
      report->running = NULL;
      report->ended = NULL;
      report->rejected = NULL;
      report->absent = NULL;
      report->unhealthy = NULL;
      report->n_unhealthy = 0;
    }
  cb_msg_free (agent->report);
  agent->report = next;
  cb_msg_set_string (&next->worker, worker);
  g_free (agent->worker_address);
  agent->worker_address = g_strdup (address);
  if (changed)
    cb_batch_agent_send_report (agent);
  cb_batch_agent_poll_worker (agent);
}

/* Uses the heartbeat NEXT, number SEQUENCE, of WORKER, which responds at ADDRESS. Takes
   ownership of NEXT. */
static void
use_heartbeat (cb_batch_agent_t *agent, const char *worker, Cb__WorkerReport *next,
               uint64_t sequence, const char *address)
{
  agent->heartbeat_sequence = sequence;
  agent->heartbeat_ms = cb_batch_now_ms ();
  agent->lower_sequence = 0;
  apply_heartbeat (agent, worker, next, address);
}

/* The first heartbeat of a worker, while the agent asks whether it exists, and then
   whether the present worker does. */
typedef struct
{
  cb_batch_agent_t *agent;
  char *worker;
  char *address;
  uint64_t sequence;
  Cb__WorkerReport *next; /* NULL: used */
  char *present;          /* id of the worker that the agent has, while it is asked */
  uint64_t present_born_ms;
} announcement_t;

static void
free_announcement (announcement_t *a)
{
  a->agent->announcements--;
  cb_msg_free (a->next);
  g_free (a->worker);
  g_free (a->address);
  g_free (a->present);
  g_free (a);
}

/* Uses the announced worker and frees A. */
static void
use_announced (announcement_t *a)
{
  use_heartbeat (a->agent, a->worker, a->next, a->sequence, a->address);
  a->next = NULL;
  free_announcement (a);
}

/* Logs WHY the announced worker is not used, with the result ERR of the call, and frees
   A. BORN_MS: the start time in the reply. */
static void
reject_announced (announcement_t *a, const char *why, int err, uint64_t born_ms)
{
  cb_event (CB_LOG_WARN, "agent", "worker_unconfirmed",
            "worker=%s address=%s why=%s err=%d born_ms=%" PRIu64
            " responds_born_ms=%" PRIu64 " present=%s",
            a->worker, a->address, why, err, a->next->born_ms, born_ms,
            a->agent->report->worker);
  free_announcement (a);
}

/* The present worker's reply while another one is announced. An instance has one
   worker: unless the present one has ended or is about to, or sends no heartbeats here
   and so is that of another instance, another writer has announced the other. */
static void
on_present_lists (void *ctx, int err, const Cb__WorkerReport *lists)
{
  announcement_t *a = ctx;
  cb_batch_agent_t *agent = a->agent;
  uint64_t born_ms = lists == NULL ? 0 : lists->born_ms;
  gboolean responds = err == CB_OK || err == CB_PLATFORM_FENCED;
  gboolean gone = err == CB_PLATFORM_REPLACED || err == CB_PLATFORM_ABSENT;

  if (strcmp (agent->report->worker, a->present) != 0 ||
      agent->report->born_ms != a->present_born_ms ||
      is_outdated (agent, a->worker, a->next, a->sequence))
    {
      reject_announced (a, "outdated", err, born_ms);
      return;
    }
  if (!gone && cb_batch_now_ms () - agent->heartbeat_ms < HEARTBEATS_MISSED_MS)
    {
      reject_announced (a, responds ? "present_responds" : "present_silent", err,
                        born_ms);
      return;
    }
  if (gone)
    cb_batch_agent_forget_closed_worker (agent, "replaced");
  use_announced (a);
}

static void
ask_present_worker (announcement_t *a)
{
  cb_batch_agent_t *agent = a->agent;
  cb_worker_target_t target = { .address = agent->worker_address,
                                .worker = agent->report->worker,
                                .epoch = agent->epoch };

  a->present = g_strdup (agent->report->worker);
  a->present_born_ms = agent->report->born_ms;
  cb_worker_long_poll (agent->loop, &target, 0, 0, on_present_lists, a);
}

static void
on_announced_lists (void *ctx, int err, const Cb__WorkerReport *lists)
{
  announcement_t *a = ctx;
  cb_batch_agent_t *agent = a->agent;
  uint64_t born_ms = lists == NULL ? 0 : lists->born_ms;
  gboolean same_incarnation = born_ms == 0 || born_ms == a->next->born_ms;
  /* A worker that has received a newer epoch exists, too. Without an incarnation in its
     reply, it is used only when there is no other one. */
  gboolean exists =
      err == CB_OK || (err == CB_PLATFORM_FENCED &&
                       (born_ms != 0 || !cb_batch_agent_has_worker (agent)));

  if (!exists || !same_incarnation)
    reject_announced (a, "no_response", err, born_ms);
  else if (is_outdated (agent, a->worker, a->next, a->sequence))
    reject_announced (a, "outdated", err, born_ms);
  else if (cb_batch_agent_has_worker (agent) &&
           strcmp (agent->report->worker, a->worker) != 0 &&
           g_strcmp0 (agent->worker_address, a->address) != 0)
    ask_present_worker (a);
  else
    use_announced (a);
}

/* Asks the worker that a heartbeat has announced for its lists, before the agent uses
   it instead of the present one: the heartbeat may come from another writer, or from an
   incarnation that has ended since. Takes ownership of NEXT. Drops it while too many
   such calls are under way; the worker sends another one. */
static void
confirm_worker (cb_batch_agent_t *agent, const char *worker, Cb__WorkerReport *next,
                uint64_t sequence, const char *address)
{
  cb_worker_target_t target = { .address = address,
                                .worker = worker,
                                .epoch = agent->epoch };
  announcement_t *a;

  if (agent->announcements >= ANNOUNCEMENTS_MAX)
    {
      cb_msg_free (next);
      return;
    }
  agent->announcements++;
  a = g_new0 (announcement_t, 1);
  a->agent = agent;
  a->worker = g_strdup (worker);
  a->address = g_strdup (address);
  a->sequence = sequence;
  a->next = next;
  cb_worker_long_poll (agent->loop, &target, 0, 0, on_announced_lists, a);
}

/* TRUE when the heartbeat NEXT comes from the worker that the agent uses. */
static gboolean
is_current_worker (const cb_batch_agent_t *agent, const char *worker,
                   const Cb__WorkerReport *next, const char *address)
{
  return strcmp (agent->report->worker, worker) == 0 &&
         agent->report->born_ms == next->born_ms &&
         g_strcmp0 (agent->worker_address, address) == 0;
}

/* TRUE when the worker's lists, requested after its runs were stopped, show none. */
static gboolean
has_stopped_all (const cb_batch_agent_t *agent)
{
  return agent->leave_stops == 0 &&
         agent->lists_poll_number > agent->leave_poll_number &&
         agent->report->n_running == 0;
}

/* Answers the notice that the worker ends once its runs have stopped, or the wait for
   that is over. */
void
cb_batch_agent_answer_leave (cb_batch_agent_t *agent)
{
  cb_http_req_t *req = agent->leave_request;

  if (req == NULL || (agent->leaving && !has_stopped_all (agent) &&
                      cb_batch_now_ms () < agent->leave_answer_ms))
    return;
  agent->leave_request = NULL;
  cb_http_reply (req, 200, "application/json", "{}", 2);
}

/* Stops the runs of a worker that drains and is about to end, so that their ends and
   progress are known, and lets the notice REQ wait for that. Returns FALSE when there
   is nothing to wait for. */
static gboolean
stop_before_end (cb_batch_agent_t *agent, cb_http_req_t *req)
{
  if (!agent->report->draining || agent->leave_request != NULL)
    return FALSE;
  cb_batch_agent_stop_runs (agent);
  if (agent->leave_stops == 0)
    return FALSE;
  agent->leave_request = req;
  agent->leave_answer_ms = cb_batch_now_ms () + LEAVE_ANSWER_MS;
  return TRUE;
}

/* Handles the notice that the worker ends: it gets no more starts. The notice need not
   say which incarnation it is from, and may be a delayed one, so the worker counts as
   gone only once nobody listens at its address (on_lists), and its runs are stopped
   only if it has stated before that it drains. Returns TRUE when REQ is answered later.
 */
static gboolean
on_worker_leaving (cb_batch_agent_t *agent, cb_http_req_t *req, const char *worker)
{
  size_t len;
  const char *body = cb_http_body (req, &len);
  uint64_t born_ms = cb_platform_leave_read (body, len);

  /* A delayed notice may come from an earlier incarnation. */
  if (strcmp (agent->report->worker, worker) != 0 ||
      (born_ms != 0 && born_ms != agent->report->born_ms))
    {
      cb_event (CB_LOG_INFO, "agent", "leave_ignored",
                "worker=%s born_ms=%" PRIu64 " current=%s current_born_ms=%" PRIu64,
                worker, born_ms, agent->report->worker, agent->report->born_ms);
      return FALSE;
    }
  agent->leaving = TRUE;
  cb_event_unlimited (CB_LOG_INFO, "agent", "worker_leaving",
                      "worker=%s born_ms=%" PRIu64 " runs=%zu", worker,
                      agent->report->born_ms, agent->report->n_running);
  cb_batch_agent_poll_worker (agent);
  return stop_before_end (agent, req);
}

/* TRUE when the worker counts on below the newest sequence number, so that the
   heartbeat with this number came from another writer: heartbeats of the incarnation
   and address that the agent uses, of which SEQUENCE is the latest, have come with
   rising lower numbers for LOWER_SERIES_MS. Delayed ones come at once, or the newest
   number goes on meanwhile. */
static gboolean
has_lower_series (cb_batch_agent_t *agent, uint64_t sequence)
{
  cb_msec_t now_ms = cb_batch_now_ms ();

  if (sequence <= agent->lower_sequence || agent->lower_sequence == 0)
    agent->lower_since_ms = now_ms;
  agent->lower_sequence = sequence;
  return now_ms - agent->lower_since_ms >= LOWER_SERIES_MS;
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
  /* Ignores a delayed heartbeat: from an earlier incarnation, or older than the newest
     one of the current incarnation. */
  if (is_outdated (agent, worker, next, sequence) &&
      !(is_current_worker (agent, worker, next, address) &&
        has_lower_series (agent, sequence)))
    {
      cb_event (CB_LOG_INFO, "agent", "heartbeat_ignored",
                "worker=%s born_ms=%" PRIu64 " seq=%" PRIu64 " current=%s "
                "current_born_ms=%" PRIu64 " current_seq=%" PRIu64,
                worker, next->born_ms, sequence, agent->report->worker,
                agent->report->born_ms, agent->heartbeat_sequence);
      cb_msg_free (next);
    }
  else if (is_current_worker (agent, worker, next, address))
    use_heartbeat (agent, worker, next, sequence, address);
  else
    confirm_worker (agent, worker, next, sequence, address);
  g_free (address);
  return 200;
}

/* Handles a request to the control server: a heartbeat of the worker or the notice that
   it terminates. CTX is the agent. */
void
cb_batch_agent_on_control (void *ctx, cb_http_req_t *req)
{
  cb_batch_agent_t *agent = ctx;
  char *worker = NULL;
  gboolean leaving = FALSE;
  gboolean answered_later = FALSE;
  int status = 404;

  if (cb_http_body_dropped (req))
    status = 503;
  else if (cb_platform_is_worker_message (req, &worker, &leaving))
    {
      status = 200;
      if (leaving)
        answered_later = on_worker_leaving (agent, req, worker);
      else
        status = on_heartbeat (agent, req, worker);
    }
  if (!answered_later)
    cb_http_reply (req, status, "application/json", "{}", 2);
  g_free (worker);
}
