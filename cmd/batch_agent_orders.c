/* The scheduler's commands to a worker: the agent calls the worker until each command
   has taken effect, and reports the runs that the worker will never execute. A run is
   one execution of a task. */
#include <string.h>

#include "cmd/batch_agent.h"

/* Largest number of calls of commands to the worker at a time, each on a connection of
   its own. */
#define CALLS_MAX 64
/* With this many calls left, further commands are sent without waiting for the next
   tick. */
#define CALLS_REFILL (CALLS_MAX / 2)
/* A start that the worker has not accepted for this long is not repeated any more: the
   task may start elsewhere. */
#define START_ACCEPTED_MS 2000
typedef enum
{
  COMMAND_OPEN,     /* has to be sent, or sent again */
  COMMAND_SENT,     /* the call to the worker is under way */
  COMMAND_ANSWERED, /* executed, or a stop or pace that the worker rejected */
  COMMAND_REFUSED,  /* a start that will never be executed */
} command_state_t;

typedef enum
{
  KIND_START,
  KIND_STOP,
  KIND_PACE,
} command_kind_t;

/* By kind: the name in metrics and the event name of a failed call. */
static const struct
{
  const char *name;
  const char *failure_event;
} kinds[] = {
  [KIND_START] = { "start", "start_failed" },
  [KIND_STOP] = { "stop", "stop_failed" },
  [KIND_PACE] = { "pace", "pace_failed" },
};

/* One command: starts a run, stops it, or sets its pace, the percentage of its full
   rate of work to which it is limited. */
typedef struct
{
  cb_batch_agent_t *agent;
  gboolean withdrawn; /* freed when the worker replies */
  char *key;
  command_kind_t kind;
  Cb__TaskRun *run;
  Cb__OrderedStart *start; /* KIND_START only */
  Cb__TaskPace *pace;      /* KIND_PACE only */
  command_state_t state;
  gboolean tried;      /* a call was sent at least once */
  gboolean unanswered; /* a call for the start got no reply: it may be executed later */
  gboolean unhealthy;  /* the worker has refused the start as unhealthy */
  gboolean revoked; /* a start that is not to be executed any more is to be stopped, as
                       an earlier call for it may still be executed */
  uint64_t answer_poll_number; /* agent->poll_number when the reply arrived */
  cb_msec_t reply_ms;          /* when it arrived */
  cb_msec_t retry_ms;          /* not sent again before */
  cb_msec_t first_sent_ms;
  cb_msec_t sent_ms;
} command_t;

static void
free_command (void *ptr)
{
  command_t *command = ptr;

  if (command->kind == KIND_START && !command->revoked && !command->withdrawn &&
      (command->state == COMMAND_SENT || command->unanswered))
    command->agent->unresolved_start_ms = cb_batch_now_ms ();
  if (command->state == COMMAND_SENT)
    {
      command->withdrawn = TRUE;
      return;
    }
  cb_msg_free (command->run);
  cb_msg_free (command->start);
  cb_msg_free (command->pace);
  g_free (command->key);
  g_free (command);
}

/* Gives AGENT an empty set of commands. */
void
cb_batch_agent_commands_init (cb_batch_agent_t *agent)
{
  agent->commands = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_command);
  agent->command_order = g_ptr_array_new ();
}

/* Withdraws all commands of AGENT. */
void
cb_batch_agent_drop_commands (cb_batch_agent_t *agent)
{
  g_ptr_array_set_size (agent->command_order, 0);
  g_hash_table_remove_all (agent->commands);
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

/* TRUE when a run that REPORT shows neither as running nor as ended is not at the
   worker: its lists are complete, and all rows could be read. */
static gboolean
are_lists_complete (const Cb__WorkerReport *report)
{
  return !report->ended_partial && report->unread_end == 0 && !report->running_unread;
}

/* Makes COMMAND stop the run that it was to start, so that the worker rejects it for
   good. REASON is for the log. */
static void
revoke_start (command_t *command, const char *reason)
{
  const Cb__TaskRun *run = command->run;

  command->revoked = TRUE;
  command->state = COMMAND_OPEN;
  command->retry_ms = 0;
  cb_event_unlimited (CB_LOG_INFO, "agent", "start_refused",
                      "job=%s task=%u.%u.%u run=%u reason=%s", run->job,
                      run->occurrence, run->step, run->index, run->run, reason);
}

/* TRUE when no call for the start COMMAND can be executed any more, once the worker has
   refused the latest one: no earlier one may have been left without a reply, or the
   lease that it names has ended by now. */
static gboolean
is_refused_for_good (const cb_batch_agent_t *agent, const command_t *command)
{
  cb_msec_t hold_ms = (cb_msec_t)agent->settings->hold_max_ms;

  return !command->unanswered && hold_ms > 0 &&
         cb_batch_now_ms () - agent->unresolved_start_ms >
             cb_batch_lease_span_ms (hold_ms);
}

/* Adds the start COMMAND to the rejected ones of REPORT. */
static void
add_rejected (Cb__WorkerReport *report, const command_t *command)
{
  cb_msg_append ((void ***)&report->rejected, &report->n_rejected,
                 cb_msg_copy (&command->run->base));
  if (command->unhealthy)
    cb_msg_append ((void ***)&report->unhealthy, &report->n_unhealthy,
                   cb_msg_copy (&command->run->base));
}

/* Lets the start COMMAND, which the worker has refused as unhealthy, run elsewhere: at
   once, or after a stop if an earlier call may still be executed. */
static void
refuse_unhealthy (cb_batch_agent_t *agent, command_t *command)
{
  const Cb__TaskRun *run = command->run;

  command->unhealthy = TRUE;
  if (!is_refused_for_good (agent, command))
    {
      revoke_start (command, "unhealthy");
      return;
    }
  command->state = COMMAND_REFUSED;
  add_rejected (agent->report, command);
  agent->refusals_wait = TRUE;
  cb_event_unlimited (CB_LOG_INFO, "agent", "start_refused",
                      "job=%s task=%u.%u.%u run=%u reason=unhealthy", run->job,
                      run->occurrence, run->step, run->index, run->run);
}

/* TRUE when the run of COMMAND, whose stop the worker has answered, can't be running in
   a row that could not be read: a stop takes far less than CB_AGENT_UNREAD_ROW_MAX_MS.
 */
static gboolean
has_ended (const cb_batch_agent_t *agent, const command_t *command)
{
  return !agent->running_given_up ||
         cb_batch_now_ms () - command->reply_ms >= CB_AGENT_UNREAD_ROW_MAX_MS;
}

/* Rebuilds the report's lists of rejected starts and of stopped runs that the worker
   does not have, after the lists that poll POLL_NUMBER returned have replaced the
   report's. A refused start or an answered stop is included once lists that were
   requested after the worker's reply do not contain the run. A run that is not in an
   incomplete list of ends, or in one with a row that could not be read, may have
   ended. A start that the worker has accepted is revoked when such lists do not contain
   its run: nothing else would end it. */
void
cb_batch_agent_resolve_commands (cb_batch_agent_t *agent, uint64_t poll_number)
{
  Cb__WorkerReport *report = agent->report;
  GHashTable *listed;
  GHashTableIter iter;
  gpointer value;

  clear_runs (&report->rejected, &report->n_rejected);
  clear_runs (&report->absent, &report->n_absent);
  clear_runs (&report->unhealthy, &report->n_unhealthy);
  if (!are_lists_complete (report) || g_hash_table_size (agent->commands) == 0)
    return;
  listed = cb_batch_listed_runs (report);
  g_hash_table_iter_init (&iter, agent->commands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      command_t *command = value;

      if ((command->answer_poll_number >= poll_number &&
           !(command->state == COMMAND_REFUSED && !command->revoked)) ||
          g_hash_table_contains (listed, command->run))
        continue;
      if (command->kind == KIND_START && command->state == COMMAND_ANSWERED)
        revoke_start (command, "not_listed");
      else if (!has_ended (agent, command))
        continue;
      else if (command->kind == KIND_STOP && command->state == COMMAND_ANSWERED)
        cb_msg_append ((void ***)&report->absent, &report->n_absent,
                       cb_msg_copy (&command->run->base));
      else if (command->kind == KIND_START && command->state == COMMAND_REFUSED)
        add_rejected (report, command);
    }
  g_hash_table_unref (listed);
}

static void
log_failure (const command_t *command, command_kind_t kind, int err, const char *reason)
{
  const Cb__TaskRun *run = command->run;
  cb_event_unlimited (CB_LOG_WARN, "agent", kinds[kind].failure_event,
                      "job=%s task=%u.%u.%u run=%u err=%d reason=%s", run->job,
                      run->occurrence, run->step, run->index, run->run, err,
                      reason == NULL ? "" : reason);
}

/* A start that the worker refuses is stopped next, and is refused for good once the
   stop has been answered: from then on the worker rejects this run. */
static void
on_worker_reply (void *ctx, int err, const char *reason)
{
  command_t *command = ctx;
  cb_batch_agent_t *agent = command->agent;
  command_kind_t kind = command->revoked ? KIND_STOP : command->kind;

  command->state = COMMAND_OPEN;
  agent->calls_under_way--;
  if (command->withdrawn)
    {
      free_command (command);
      return;
    }
  cb_batch_agent_count_call (agent, kinds[kind].name, err,
                             cb_batch_now_ms () - command->sent_ms);
  command->answer_poll_number = agent->poll_number;
  if (err == CB_PLATFORM_ABSENT)
    agent->absent_poll_number = agent->poll_number;
  command->reply_ms = cb_batch_now_ms ();
  command->retry_ms = command->reply_ms + CB_AGENT_RETRY_MS;
  command->unanswered =
      command->unanswered || (kind == KIND_START && err == CB_PLATFORM_UNKNOWN);
  if (command->revoked && (err == CB_OK || err == CB_PLATFORM_REJECTED))
    command->state = COMMAND_REFUSED;
  else if (kind == KIND_START && err == CB_PLATFORM_REJECTED)
    {
      command->revoked = TRUE;
      command->retry_ms = 0;
    }
  else if (kind == KIND_START && err == CB_PLATFORM_BUSY)
    refuse_unhealthy (agent, command);
  else if (err == CB_OK || err == CB_PLATFORM_REJECTED)
    command->state = COMMAND_ANSWERED;
  else if (err == CB_PLATFORM_FENCED)
    agent->fenced_epoch = MAX (agent->fenced_epoch, agent->epoch);
  if (err < 0)
    log_failure (command, kind, err, reason);
  if (agent->calls_under_way == CALLS_REFILL || command->retry_ms == 0)
    cb_batch_agent_send_commands (agent);
}

/* TRUE when the worker's present lists show RUN. */
static gboolean
is_listed (const cb_batch_agent_t *agent, const Cb__TaskRun *run)
{
  const Cb__WorkerReport *report = agent->report;
  gboolean listed = FALSE;

  if (agent->lists_epoch != agent->epoch)
    return FALSE;
  for (size_t i = 0; i < report->n_running && !listed; i++)
    listed = cb_msg_equal (&report->running[i]->run->base, &run->base);
  for (size_t i = 0; i < report->n_ended && !listed; i++)
    listed = cb_msg_equal (&report->ended[i]->run->base, &run->base);
  return listed;
}

/* TRUE when the worker's present lists are complete, were requested after the latest
   reply to COMMAND, or the end of the wait for one, and do not show its run. */
static gboolean
is_absent (const cb_batch_agent_t *agent, const command_t *command)
{
  return agent->lists_epoch == agent->epoch && are_lists_complete (agent->report) &&
         agent->lists_poll_number > command->answer_poll_number &&
         !is_listed (agent, command->run);
}

/* Returns the number of the call for the worker's lists after which the start COMMAND
   may be sent, once a later one has returned: a call names only the worker's id, so
   another incarnation, which the scheduler has not chosen, would execute a start as
   well. One may be there since the last call of COMMAND has failed, or since nobody
   listened at the address. */
static uint64_t
unconfirmed_poll_number (const cb_batch_agent_t *agent, const command_t *command)
{
  return MAX (agent->absent_poll_number,
              command->tried ? command->answer_poll_number : 0);
}

/* Returns why the start COMMAND is not to be sent again, for the log, or NULL. */
static const char *
reason_to_revoke (const cb_batch_agent_t *agent, const command_t *command)
{
  if (agent->report->draining || agent->leaving)
    return "draining";
  if (command->tried &&
      cb_batch_now_ms () - command->first_sent_ms >= START_ACCEPTED_MS)
    return "not_accepted";
  return NULL;
}

/* Sends COMMAND to the worker. A start for a worker that drains or leaves, or that has
   not accepted it for long, is not repeated but revoked, as it may have been sent
   before: by an earlier process of this agent once lists show whether it runs, by this
   one once they show that it does not. A start is repeated only once the worker has
   returned its lists again. */
static void
send_command (cb_batch_agent_t *agent, command_t *command)
{
  cb_worker_target_t target = cb_batch_agent_worker_target (agent);

  if (command->kind == KIND_START && !command->revoked &&
      reason_to_revoke (agent, command) != NULL)
    {
      if (command->tried ? !is_absent (agent, command)
                         : agent->lists_epoch != agent->epoch)
        return;
      revoke_start (command, reason_to_revoke (agent, command));
    }
  if (command->kind == KIND_START && !command->revoked &&
      agent->lists_poll_number <= unconfirmed_poll_number (agent, command))
    {
      cb_batch_agent_confirm_worker (agent, unconfirmed_poll_number (agent, command));
      return;
    }
  if (command->revoked && is_listed (agent, command->run))
    {
      command->state = COMMAND_ANSWERED;
      return;
    }
  agent->calls_under_way++;
  command->state = COMMAND_SENT;
  command->sent_ms = cb_batch_now_ms ();
  if (!command->tried)
    command->first_sent_ms = command->sent_ms;
  command->tried = TRUE;
  if (command->kind == KIND_STOP || command->revoked)
    cb_worker_stop (agent->loop, &target, command->run, on_worker_reply, command);
  else if (command->kind == KIND_PACE)
    cb_worker_set_pace (agent->loop, &target, command->pace, on_worker_reply, command);
  else
    cb_worker_start (agent->loop, &target, command->start, on_worker_reply, command);
}

/* TRUE when a start may be sent at NOW_MS: the worker has a lease, and the incarnation
   that has it was there a moment ago. The next one under the same id would accept the
   start, too, and take the end of the lease for a time on its own clock, which begins
   anew: the agent may have been paused, or the worker have restarted, since the start
   was ordered. */
static gboolean
may_start (const cb_batch_agent_t *agent, cb_msec_t now_ms)
{
  /* The latest response may be that to the call before the one under way. */
  cb_msec_t age_max_ms = 2 * agent->report_interval_ms + CB_AGENT_CALL_TIMEOUT_MS;

  return agent->lease_end_ms > now_ms && !agent->worker_unreachable &&
         now_ms - agent->confirmed_ms <= age_max_ms;
}

/* Sends the open commands whose retry pause is over, in their order and at most
   CALLS_MAX at a time, but starts only under a lease. Sends nothing when the worker has
   refused the current epoch. */
void
cb_batch_agent_send_commands (cb_batch_agent_t *agent)
{
  cb_msec_t now_ms = cb_batch_now_ms ();

  if (!cb_batch_agent_has_worker (agent) || agent->epoch == 0 ||
      agent->fenced_epoch >= agent->epoch)
    return;
  for (guint i = 0; i < agent->command_order->len && agent->calls_under_way < CALLS_MAX;
       i++)
    {
      command_t *command = agent->command_order->pdata[i];

      if (command->state == COMMAND_OPEN && now_ms >= command->retry_ms &&
          (command->kind != KIND_START || command->revoked ||
           may_start (agent, now_ms)))
        send_command (agent, command);
    }
}

static void
on_run_stopped (void *ctx, int err, const char *reason)
{
  cb_batch_agent_t *agent = ctx;

  (void)reason;
  if (err < 0)
    cb_batch_agent_count_call (agent, kinds[KIND_STOP].name, err, 0);
  if (--agent->leave_stops == 0)
    agent->leave_poll_number = agent->poll_number;
}

static void
stop_run (cb_batch_agent_t *agent, const Cb__TaskRun *run)
{
  cb_worker_target_t target = cb_batch_agent_worker_target (agent);

  if (agent->leave_stops == CALLS_MAX)
    return;
  agent->leave_stops++;
  cb_worker_stop (agent->loop, &target, run, on_run_stopped, agent);
}

/* Asks the worker, which is about to end, to stop the runs that its lists show and
   those whose starts have been sent, up to CALLS_MAX in all. */
void
cb_batch_agent_stop_runs (cb_batch_agent_t *agent)
{
  for (size_t i = 0; i < agent->report->n_running; i++)
    stop_run (agent, agent->report->running[i]->run);
  for (guint i = 0; i < agent->command_order->len; i++)
    {
      const command_t *command = agent->command_order->pdata[i];

      if (command->kind == KIND_START && command->tried &&
          !is_listed (agent, command->run))
        stop_run (agent, command->run);
    }
}

/* Adds a command unless the agent already has it, appends it to the order of sending,
   and adds its key to the set WANTED. PERCENT distinguishes the pace commands of a run;
   0 for other kinds. Returns the new command, or NULL. */
static command_t *
add_command (cb_batch_agent_t *agent, GHashTable *wanted, command_kind_t kind,
             const Cb__TaskRun *run, uint32_t percent)
{
  char *key =
      g_strdup_printf ("%s %u %s.%u.%u.%u.%u", kinds[kind].name, percent, run->job,
                       run->occurrence, run->step, run->index, run->run);
  command_t *command = g_hash_table_lookup (agent->commands, key);

  g_hash_table_add (wanted, g_strdup (key));
  if (command != NULL)
    {
      g_free (key);
      g_ptr_array_add (agent->command_order, command);
      return NULL;
    }
  command = g_new0 (command_t, 1);
  command->agent = agent;
  command->key = key;
  command->kind = kind;
  command->run = (Cb__TaskRun *)cb_msg_copy (&run->base);
  g_hash_table_insert (agent->commands, command->key, command);
  g_ptr_array_add (agent->command_order, command);
  return command;
}

static void
add_start (cb_batch_agent_t *agent, GHashTable *wanted, const Cb__OrderedStart *start)
{
  command_t *command = add_command (agent, wanted, KIND_START, start->run, 0);

  if (command != NULL)
    command->start = (Cb__OrderedStart *)cb_msg_copy (&start->base);
}

static void
add_pace (cb_batch_agent_t *agent, GHashTable *wanted, const Cb__TaskPace *pace)
{
  command_t *command = add_command (agent, wanted, KIND_PACE, pace->run, pace->percent);

  if (command != NULL)
    command->pace = (Cb__TaskPace *)cb_msg_copy (&pace->base);
}

static gboolean
is_unwanted (gpointer key, gpointer value, gpointer wanted)
{
  (void)value;
  return !g_hash_table_contains (wanted, key);
}

/* Extends the lease to UNTIL_MS on the worker's clock, if that is later. On the agent's
   clock it ends no later than counted from the call that returned the worker's lists,
   which show the worker's clock. */
static void
extend_lease (cb_batch_agent_t *agent, uint64_t until_ms)
{
  uint64_t clock_ms = agent->report->clock_ms;

  agent->lease_until_ms = MAX (agent->lease_until_ms, until_ms);
  if (clock_ms != 0 && until_ms > clock_ms)
    agent->lease_end_ms = MAX (
        agent->lease_end_ms, agent->lists_asked_ms + (cb_msec_t)(until_ms - clock_ms));
}

/* Takes over the commands of a scheduler's message, to be sent in its order but stops
   first, and its lease, if that ends later than the present lease. Withdraws the
   commands that the message does not contain and sends all that are due. Ignores a
   message for another worker or incarnation. */
void
cb_batch_agent_set_commands (cb_batch_agent_t *agent, const Cb__WorkerOrders *message)
{
  GHashTable *wanted;

  if (strcmp (message->worker, agent->report->worker) != 0 ||
      message->born_ms != agent->report->born_ms)
    {
      cb_event (CB_LOG_INFO, "agent", "orders_ignored",
                "ordered=%s ordered_born_ms=%" PRIu64 " worker=%s born_ms=%" PRIu64,
                message->worker, message->born_ms, agent->report->worker,
                agent->report->born_ms);
      return;
    }
  extend_lease (agent, message->lease_until_ms);
  agent->last_durable_end = MAX (agent->last_durable_end, message->last_seen);
  wanted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_set_size (agent->command_order, 0);
  for (size_t i = 0; i < message->n_stops; i++)
    add_command (agent, wanted, KIND_STOP, message->stops[i], 0);
  for (size_t i = 0; i < message->n_starts; i++)
    add_start (agent, wanted, message->starts[i]);
  for (size_t i = 0; i < message->n_paces; i++)
    add_pace (agent, wanted, message->paces[i]);
  g_hash_table_foreach_remove (agent->commands, is_unwanted, wanted);
  g_hash_table_unref (wanted);
  cb_batch_agent_send_commands (agent);
}
