/* The agent's view of its worker: the lists of running and ended tasks, and reports to
   the scheduler. */
#include <string.h>

#include "cmd/batch_agent.h"

/* A worker that has ended is reported for this time: several schedulers may be replaced
   one after the other, each of which would wait for the worker's lease. */
#define ENDED_WORKER_KEEP_MS 600000
/* Largest number of them in a report; the oldest ones are dropped. */
#define ENDED_WORKERS_MAX 16

/* Longest time for which a worker that is about to end holds a call for its lists. */
#define LEAVING_HOLD_MS 50

static void poll_worker (cb_batch_agent_t *agent, gboolean confirmed);

/* A worker of the agent whose process is known to have ended. */
typedef struct
{
  Cb__EndedWorker *worker;
  cb_msec_t known_ms; /* since when */
} ended_worker_t;

static void
free_ended_worker (void *ptr)
{
  ended_worker_t *ended = ptr;

  cb_msg_free (ended->worker);
  g_free (ended);
}

/* Returns an empty list of ended workers. */
GPtrArray *
cb_batch_agent_ended_workers_new (void)
{
  return g_ptr_array_new_with_free_func (free_ended_worker);
}

/* Drops WORKER from the workers that have ended, as one of its incarnations responds: a
   later one may have executed starts that were sent to an earlier one. */
void
cb_batch_agent_drop_ended_worker (cb_batch_agent_t *agent, const char *worker)
{
  for (guint i = 0; i < agent->ended_workers->len; i++)
    {
      const ended_worker_t *ended = agent->ended_workers->pdata[i];

      if (strcmp (ended->worker->worker, worker) == 0)
        g_ptr_array_remove_index (agent->ended_workers, i--);
    }
}

/* Adds the agent's worker to those that have ended. Without a start time it could be
   taken for its next incarnation. */
static void
keep_ended_worker (cb_batch_agent_t *agent)
{
  ended_worker_t *ended;

  if (!cb_batch_agent_has_worker (agent) || agent->report->born_ms == 0)
    return;
  if (agent->ended_workers->len == ENDED_WORKERS_MAX)
    g_ptr_array_remove_index (agent->ended_workers, 0);
  ended = g_new0 (ended_worker_t, 1);
  ended->worker = cb_msg_new (&cb__ended_worker__descriptor);
  cb_msg_set_string (&ended->worker->worker, agent->report->worker);
  ended->worker->born_ms = agent->report->born_ms;
  ended->known_ms = cb_batch_now_ms ();
  g_ptr_array_add (agent->ended_workers, ended);
}

/* Adds to REPORT the workers that have ended in the last ENDED_WORKER_KEEP_MS, and
   drops the others. */
static void
add_ended_workers (cb_batch_agent_t *agent, Cb__WorkerReport *report)
{
  GPtrArray *all = agent->ended_workers;
  cb_msec_t oldest_ms = cb_batch_now_ms () - ENDED_WORKER_KEEP_MS;

  while (all->len > 0 && ((ended_worker_t *)all->pdata[0])->known_ms < oldest_ms)
    g_ptr_array_remove_index (all, 0);
  for (guint i = 0; i < all->len; i++)
    cb_msg_append ((void ***)&report->ended_workers, &report->n_ended_workers,
                   cb_msg_copy (&((ended_worker_t *)all->pdata[i])->worker->base));
}

/* One call for the worker's lists. */
typedef struct
{
  cb_batch_agent_t *agent;
  char *worker;
  uint64_t incarnation_ms; /* start time of the worker process, wall clock */
  uint64_t epoch;
  uint64_t number; /* agent->poll_number when it was sent */
  cb_msec_t sent_ms;
} poll_t;

/* Returns TRUE when the agent has the description of a worker, from the worker's
   heartbeats. */
gboolean
cb_batch_agent_has_worker (const cb_batch_agent_t *agent)
{
  return agent->report->worker[0] != '\0';
}

/* Returns for how much longer the worker is slow after its start, by its latest
   heartbeat and the time since then. */
static uint64_t
cold_left_ms (const cb_batch_agent_t *agent)
{
  uint64_t since_ms = (uint64_t)MAX (0, cb_batch_now_ms () - agent->heartbeat_ms);

  return agent->report->cold_left_ms - MIN (agent->report->cold_left_ms, since_ms);
}

/* Sends the current report to the scheduler, if there is one; with PARTIAL, only with
   the running tasks that it has not been shown. Lists that were read under an earlier
   epoch are marked as invalid by clock_ms 0. */
static void
send_report (cb_batch_agent_t *agent, gboolean partial)
{
  Cb__Envelope *envelope;

  if (agent->scheduler == NULL)
    return;
  envelope = cb_msg_new (&cb__envelope__descriptor);
  cb_msg_set_string (&envelope->from, agent->settings->name);
  envelope->epoch = agent->epoch;
  envelope->body_case = CB__ENVELOPE__BODY_WORKER_REPORT;
  envelope->worker_report =
      cb_batch_report_copy (agent->report, agent->shown_runs, partial);
  if (agent->lists_epoch != agent->epoch)
    envelope->worker_report->clock_ms = 0;
  envelope->worker_report->cold_left_ms = cold_left_ms (agent);
  if (cb_batch_agent_has_worker (agent))
    cb_msg_set_string (&envelope->worker_report->address, agent->worker_address);
  if (!partial)
    add_ended_workers (agent, envelope->worker_report);
  envelope->worker_report->ends_missed = agent->ends_missed;
  if (cb_wire_send (agent->wire, agent->scheduler, envelope) < 0)
    cb_event (CB_LOG_WARN, "agent", "report_not_sent", "scheduler=%s",
              agent->scheduler);
  cb_msg_free (envelope);
  agent->refusals_wait = FALSE;
  agent->last_report_ms = cb_batch_now_ms ();
  if (!partial)
    agent->last_full_ms = agent->last_report_ms;
}

/* Sends the current report with all running tasks to the scheduler, if there is one. */
void
cb_batch_agent_send_report (cb_batch_agent_t *agent)
{
  send_report (agent, FALSE);
}

/* Moves the lists of FROM, which have just arrived, to TO, whose old lists are freed,
   and copies the clock. */
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
  to->ended_partial = from->ended_partial;
  to->unread_end = from->unread_end;
  to->running_unread = from->running_unread;
  to->clock_ms = from->clock_ms;
  to->agent_clock_ms = (uint64_t)cb_batch_now_ms ();
  from->running = NULL;
  from->n_running = 0;
  from->ended = NULL;
  from->n_ended = 0;
}

/* Drops the worker's description, lease and commands. REASON is for the log. */
void
cb_batch_agent_forget_worker (cb_batch_agent_t *agent, const char *reason)
{
  if (!cb_batch_agent_has_worker (agent))
    return;
  cb_event_unlimited (CB_LOG_INFO, "agent", "worker_lost",
                      "worker=%s born_ms=%" PRIu64 " why=%s", agent->report->worker,
                      agent->report->born_ms, reason);
  g_free (agent->last_worker);
  agent->last_worker = g_strdup (agent->report->worker);
  agent->last_born_ms = agent->report->born_ms;
  cb_msg_free (agent->report);
  agent->report = cb_msg_new (&cb__worker_report__descriptor);
  agent->lease_until_ms = 0;
  agent->lease_end_ms = 0;
  agent->lists_asked_ms = 0;
  agent->confirmed_ms = 0;
  agent->last_durable_end = 0;
  agent->acknowledged_end = 0;
  agent->reported_end = 0;
  agent->read_end = 0;
  agent->ends_followed = FALSE;
  agent->ends_missed = FALSE;
  cb_batch_agent_forget_unread (agent);
  agent->lists_epoch = 0;
  agent->absent_poll_number = agent->poll_number;
  agent->leaving = FALSE;
  cb_batch_agent_drop_commands (agent);
}

/* As cb_batch_agent_forget_worker, for a worker that accepts no calls any more: tells
   the scheduler, which gives it no more work. Its process has ended, so that nobody
   need wait for the end of its lease, unless the worker has stated that it will end:
   then it may have closed its socket before it ends its runs. That a process has ended
   is stated in the reports from then on, as the scheduler may be replaced before it
   acts. */
void
cb_batch_agent_forget_closed_worker (cb_batch_agent_t *agent, const char *reason)
{
  gboolean ending = agent->report->draining || agent->leaving;

  if (!ending)
    keep_ended_worker (agent);
  agent->report->left = TRUE;
  cb_batch_agent_send_report (agent);
  cb_batch_agent_forget_worker (agent, ending ? "left" : reason);
}

/* Returns the number of the newest end in LISTS; 0: there is none. */
static uint64_t
newest_end (const Cb__WorkerReport *lists)
{
  uint64_t newest = 0;

  for (size_t i = 0; i < lists->n_ended; i++)
    newest = MAX (newest, lists->ended[i]->number);
  return newest;
}

/* Notices ends that the worker has dropped although the agent has not read them: it
   numbers its ends from 1 on, without gaps, and has to drop only those that the agent
   has named. A call of the agent that is carried out late may drop others when the
   worker has restarted under its id meanwhile. The first list of a worker that an
   earlier process of the agent may have served can begin with any number. */
static void
check_missed_ends (cb_batch_agent_t *agent, const Cb__WorkerReport *lists)
{
  for (size_t i = 0; i < lists->n_ended; i++)
    {
      uint64_t number = lists->ended[i]->number;

      if (agent->ends_followed && number > agent->read_end + 1)
        {
          agent->ends_missed = TRUE;
          cb_event_unlimited (
              CB_LOG_WARN, "agent", "ends_missed",
              "worker=%s born_ms=%" PRIu64 " read=%" PRIu64 " next=%" PRIu64,
              agent->report->worker, agent->report->born_ms, agent->read_end, number);
        }
      agent->read_end = MAX (agent->read_end, number);
      agent->ends_followed = TRUE;
    }
}

/* Takes over the lists that POLL returned, unless the agent has lists of the same epoch
   with a newer clock. Reports them if the epoch has changed, a run has started or
   ended, or the last report is report_interval_ms old; a long list only in part unless
   the last report of all runs is that old. */
static void
apply_lists (cb_batch_agent_t *agent, const poll_t *poll, Cb__WorkerReport *lists)
{
  size_t rejected = agent->report->n_rejected;
  size_t absent = agent->report->n_absent;
  gboolean changed;
  gboolean same_epoch = agent->lists_epoch == poll->epoch;
  gboolean due;

  if (same_epoch && lists->clock_ms < agent->report->clock_ms)
    return;
  check_missed_ends (agent, lists);
  cb_batch_agent_withhold_unread (agent, lists);
  changed = !same_epoch || lists->n_running != agent->reported_running ||
            newest_end (lists) > agent->reported_end;
  agent->lists_epoch = poll->epoch;
  agent->lists_poll_number = poll->number;
  agent->lists_asked_ms = poll->sent_ms;
  move_lists (agent->report, lists);
  cb_batch_agent_resolve_commands (agent, poll->number);
  changed = changed || rejected != agent->report->n_rejected ||
            absent != agent->report->n_absent;
  due = cb_batch_now_ms () - agent->last_full_ms >= agent->report_interval_ms;
  if (!changed && !due)
    return;
  agent->reported_running = agent->report->n_running;
  agent->reported_end = MAX (agent->reported_end, newest_end (agent->report));
  send_report (agent,
               same_epoch && !due && cb_batch_report_may_be_partial (agent->report));
}

/* Counts a call to the worker that failed with ERR, or observes the duration of one
   that succeeded. CALL is the value of the metric's label. */
void
cb_batch_agent_count_call (cb_batch_agent_t *agent, const char *call, int err,
                           cb_msec_t took_ms)
{
  char *label = g_strdup_printf ("call=\"%s\"", call);

  if (err < 0)
    cb_counters_add (agent->counters, "worker_calls_failed_total", label, 1);
  else
    cb_counters_observe (agent->counters, "worker_call_duration_ms", label, took_ms);
  g_free (label);
}

/* Returns the target of calls to the worker. Its strings belong to AGENT and are valid
   until the next heartbeat or a change of the worker. */
cb_worker_target_t
cb_batch_agent_worker_target (const cb_batch_agent_t *agent)
{
  return (cb_worker_target_t){ .address = agent->worker_address,
                               .worker = agent->report->worker,
                               .epoch = agent->epoch,
                               .lease_until_ms = agent->lease_until_ms };
}

static void
free_poll (poll_t *poll)
{
  g_free (poll->worker);
  g_free (poll);
}

/* TRUE when LISTS come from another incarnation of the worker than POLL was meant
   for. */
static gboolean
is_other_incarnation (const poll_t *poll, const Cb__WorkerReport *lists)
{
  return lists != NULL && lists->born_ms != 0 && lists->born_ms != poll->incarnation_ms;
}

static void
on_lists (void *ctx, int err, const Cb__WorkerReport *lists)
{
  poll_t *poll = ctx;
  cb_batch_agent_t *agent = poll->agent;
  gboolean current = strcmp (poll->worker, agent->report->worker) == 0 &&
                     poll->incarnation_ms == agent->report->born_ms;
  gboolean confirmed = FALSE;

  if (err < 0)
    cb_batch_agent_count_call (agent, "lists", err, 0);
  if (poll->number != agent->poll_number)
    {
      free_poll (poll);
      return;
    }
  agent->poll_pending = FALSE;
  if (err == CB_PLATFORM_ABSENT)
    agent->absent_poll_number = poll->number;
  if (current && is_other_incarnation (poll, lists))
    cb_batch_agent_forget_worker (agent, "restarted");
  else if (err == CB_OK && current)
    {
      confirmed = TRUE;
      agent->confirmed_ms = poll->sent_ms;
      if (poll->epoch == agent->epoch)
        apply_lists (agent, poll, (Cb__WorkerReport *)lists);
    }
  else if (err == CB_PLATFORM_FENCED)
    {
      agent->fenced_epoch = poll->epoch;
      cb_event_unlimited (CB_LOG_WARN, "agent", "fenced", "epoch=%" PRIu64,
                          poll->epoch);
    }
  else if (current && (err == CB_PLATFORM_REPLACED ||
                       (err == CB_PLATFORM_ABSENT && agent->leaving)))
    cb_batch_agent_forget_closed_worker (agent, "replaced");
  if ((err < 0) != agent->worker_unreachable)
    cb_event_unlimited (CB_LOG_INFO, "agent",
                        err < 0 ? "worker_unreachable" : "worker_reached",
                        "worker=%s err=%d", poll->worker, err);
  agent->worker_unreachable = err < 0;
  agent->poll_retry_ms = err < 0 ? cb_batch_now_ms () + CB_AGENT_RETRY_MS : 0;
  free_poll (poll);
  cb_batch_agent_answer_leave (agent);
  poll_worker (agent, confirmed);
}

/* Returns the number up to which the worker may drop its ends. It keeps an end that
   could not be read, and with it all later ones. One that was given up is kept as long
   as the list has room for later ones. */
static uint64_t
droppable_end (const cb_batch_agent_t *agent)
{
  uint64_t last = agent->last_durable_end;

  if (agent->report->unread_end != 0)
    last = MIN (last, agent->report->unread_end - 1);
  if (agent->given_up_end != 0 && !agent->report->ended_partial)
    last = MIN (last, agent->given_up_end - 1);
  return last;
}

/* TRUE when the worker has ends that its list will show once it has been told to drop
   earlier ones, which are in the log. */
static gboolean
more_ends_wait (const cb_batch_agent_t *agent)
{
  return agent->report->ended_partial &&
         droppable_end (agent) > agent->acknowledged_end;
}

/* TRUE when starts wait for lists from a call that has not returned. */
static gboolean
confirmation_wanted (const cb_batch_agent_t *agent)
{
  return agent->lists_poll_number <= agent->confirm_poll_number;
}

/* Returns how long the worker may hold the next call for its lists until a run ends: at
   most until the next report of all runs is due, and not for long while the worker
   waits for the answer to the notice that it ends. */
static cb_msec_t
hold_ms (const cb_batch_agent_t *agent)
{
  cb_msec_t since_ms = cb_batch_now_ms () - agent->last_full_ms;

  if (agent->lists_epoch != agent->epoch || more_ends_wait (agent) ||
      confirmation_wanted (agent))
    return 0;
  if (agent->leave_request != NULL)
    return LEAVING_HOLD_MS;
  return agent->report_interval_ms -
         (since_ms < agent->report_interval_ms ? since_ms : 0);
}

/* As cb_batch_agent_poll_worker. Acknowledges ends only if CONFIRMED, which means that
   the incarnation that reported them has just responded: another one might be there by
   now, and would discard ends of its own that nobody has read. */
static void
poll_worker (cb_batch_agent_t *agent, gboolean confirmed)
{
  cb_worker_target_t target;
  cb_msec_t wait_ms;
  poll_t *poll;
  gboolean superseded =
      agent->poll_pending &&
      (agent->poll_epoch != agent->epoch ||
       (agent->poll_wait_ms > 0 && agent->poll_number <= agent->confirm_poll_number) ||
       (more_ends_wait (agent) && agent->poll_durable_end < droppable_end (agent)));

  if ((agent->poll_pending && !superseded) || !cb_batch_agent_has_worker (agent) ||
      agent->epoch == 0 || agent->fenced_epoch >= agent->epoch ||
      (!superseded && cb_batch_now_ms () < agent->poll_retry_ms))
    return;
  poll = g_new0 (poll_t, 1);
  poll->agent = agent;
  poll->worker = g_strdup (agent->report->worker);
  poll->incarnation_ms = agent->report->born_ms;
  poll->epoch = agent->epoch;
  poll->number = ++agent->poll_number;
  poll->sent_ms = cb_batch_now_ms ();
  agent->poll_pending = TRUE;
  agent->poll_epoch = agent->epoch;
  agent->poll_durable_end = droppable_end (agent);
  wait_ms = hold_ms (agent);
  agent->poll_wait_ms = wait_ms;
  if (confirmed)
    agent->acknowledged_end = droppable_end (agent);
  target = cb_batch_agent_worker_target (agent);
  cb_worker_long_poll (agent->loop, &target, confirmed ? droppable_end (agent) : 0,
                       wait_ms, on_lists, poll);
}

/* Calls the worker for its lists, which it returns when a task ends or a report is due,
   unless such a call is under way, the pause after a failed call is not over, or the
   worker has refused the current epoch. The call also extends the worker's lease. A
   pending call under an earlier epoch is not waited for: the new scheduler needs the
   lists before it can place tasks. Nor is one that was sent before further ends of an
   incomplete list could be acknowledged, or before a start failed that waits for
   lists. */
void
cb_batch_agent_poll_worker (cb_batch_agent_t *agent)
{
  poll_worker (agent, FALSE);
}

/* Calls the worker for lists from a later call than POLL_NUMBER, for starts that wait
   for them. */
void
cb_batch_agent_confirm_worker (cb_batch_agent_t *agent, uint64_t poll_number)
{
  agent->confirm_poll_number = MAX (agent->confirm_poll_number, poll_number);
  poll_worker (agent, FALSE);
}
