/* Simulates the agents, their workers and the log in a replay. */
#include "cmd/replay_local.h"

#include <stdlib.h>
#include <string.h>

/* Simulated delays in ms. */
#define MESSAGE_DELAY_MS 5
#define TASK_START_MS 200
#define TASK_STOP_MS 50
#define CHECKPOINT_MS 400
#define LOG_APPEND_MS 20
#define FAIL_AFTER_MS 1000 /* from the start command to the failure of a task */

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const event_t *x = a;
  const event_t *y = b;

  (void)data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

void
cb_replay_event_free (void *item)
{
  event_t *event = item;

  cb_msg_free (event->envelope);
  g_free (event->reservation_key);
  g_free (event->instance);
  g_free (event);
}

void
cb_replay_reservation_free (void *item)
{
  reservation_t *reservation = item;

  cb_msg_free (reservation->reserve);
  g_free (reservation->instance);
  g_free (reservation);
}

/* Adds an event of KIND that is due DELAY_MS from now and returns it; the caller sets
   the fields that KIND uses. R->events owns the event. */
event_t *
cb_replay_add_event (replay_t *r, cb_msec_t delay_ms, event_kind_t kind)
{
  event_t *event = g_new0 (event_t, 1);

  event->at_ms = r->now_ms + delay_ms;
  event->serial = ++r->last_serial;
  event->kind = kind;
  g_sequence_insert_sorted (r->events, event, compare_events, NULL);
  return event;
}

/* Returns the key of a reservation in R->reservations, freed with g_free. */
static char *
reservation_key (const char *instance, const char *account, const char *key,
                 uint32_t attempt)
{
  return g_strdup_printf ("%s\n%s\n%s\n%u", instance, account, key, attempt);
}

/* Returns the admitted job of ACCOUNT with KEY, or NULL. */
sim_job_t *
cb_replay_find_job (const replay_t *r, const char *account, const char *key)
{
  char *id = g_strconcat (account, "\n", key, NULL);
  sim_job_t *job = g_hash_table_lookup (r->jobs, id);

  g_free (id);
  return job;
}

/* Returns a message from the agent on INSTANCE to the scheduler. Freed with
   cb_msg_free. */
static Cb__Envelope *
envelope_from (const char *instance, Cb__Envelope__BodyCase body)
{
  cb_outq_t queue;
  cb_out_t *out;
  Cb__Envelope *envelope;

  cb_outq_init (&queue);
  cb_outq_send (&queue, "scheduler", body);
  out = cb_outq_pop (&queue);
  envelope = out->envelope;
  out->envelope = NULL;
  cb_out_free (out);
  cb_msg_set_string (&envelope->from, instance);
  envelope->epoch = CB_REPLAY_EPOCH;
  return envelope;
}

static void
on_reserve (replay_t *r, const char *instance, const Cb__Reserve *reserve)
{
  reservation_t *reservation = g_new0 (reservation_t, 1);
  Cb__Envelope *reply = envelope_from (instance, CB__ENVELOPE__BODY_RESERVE_REPLY);

  reservation->job = cb_replay_find_job (r, reserve->account, reserve->job_key);
  reservation->instance = g_strdup (instance);
  reservation->attempt = reserve->attempt;
  reservation->reserve = (Cb__Reserve *)cb_msg_copy (&reserve->base);
  g_hash_table_insert (
      r->reservations,
      reservation_key (instance, reserve->account, reserve->job_key, reserve->attempt),
      reservation);
  cb_msg_set_string (&reply->reserve_reply->account, reserve->account);
  cb_msg_set_string (&reply->reserve_reply->job_key, reserve->job_key);
  reply->reserve_reply->attempt = reserve->attempt;
  reply->reserve_reply->ok = TRUE;
  cb_replay_add_event (r, MESSAGE_DELAY_MS, EVENT_RESERVE_REPLY)->envelope = reply;
}

/* Adds an event that ends the tasks of the reservation KEY with STATE, DELAY_MS from
   now. Takes ownership of KEY. */
static void
schedule_end (replay_t *r, char *key, cb_msec_t delay_ms, Cb__TaskState state,
              gboolean checkpointed)
{
  event_t *event = cb_replay_add_event (r, delay_ms, EVENT_TASK_END);

  event->reservation_key = key;
  event->task_state = state;
  event->checkpointed = checkpointed;
}

static void
on_start (replay_t *r, const char *instance, const Cb__Start *start)
{
  char *key =
      reservation_key (instance, start->account, start->job_key, start->attempt);
  reservation_t *reservation = g_hash_table_lookup (r->reservations, key);

  if (reservation == NULL)
    {
      g_free (key);
      return;
    }
  reservation->started = TRUE;
  if (reservation->reserve->placements[0]->member == 0)
    cb_replay_record_max (r->stats->max_starts, start->job->kind,
                          ++reservation->job->starts);
  cb_replay_add_event (r, TASK_START_MS, EVENT_TASK_RUNNING)->reservation_key =
      g_strdup (key);
  /* Only the reservation that begins with member 0 fails, with all its members. The
     other reservations of the attempt end after their run time, unless the scheduler
     stops them first. */
  if (reservation->job->remaining_failures > 0 &&
      reservation->reserve->placements[0]->member == 0)
    {
      reservation->job->remaining_failures--;
      schedule_end (r, key, FAIL_AFTER_MS, CB__TASK_STATE__TASK_FAILED, FALSE);
      return;
    }
  schedule_end (r, key, TASK_START_MS + reservation->job->remaining_run_ms,
                CB__TASK_STATE__TASK_DONE, FALSE);
}

static void
on_stop (replay_t *r, const char *instance, const Cb__Stop *stop)
{
  char *key = reservation_key (instance, stop->account, stop->job_key, stop->attempt);
  reservation_t *reservation = g_hash_table_lookup (r->reservations, key);

  if (reservation != NULL && reservation->started)
    {
      schedule_end (r, key, TASK_STOP_MS, CB__TASK_STATE__TASK_STOPPED, FALSE);
      return;
    }
  g_hash_table_remove (r->reservations, key);
  g_free (key);
}

static void
on_checkpoint (replay_t *r, const char *instance, const Cb__Checkpoint *checkpoint)
{
  schedule_end (r,
                reservation_key (instance, checkpoint->account, checkpoint->job_key,
                                 checkpoint->attempt),
                MIN (CHECKPOINT_MS, checkpoint->grace_ms), CB__TASK_STATE__TASK_STOPPED,
                TRUE);
}

/* Handles a message of the scheduler to an agent; it is lost when the agent's worker is
   down. */
static void
deliver_to_agent (replay_t *r, const Cb__Envelope *envelope)
{
  const char *to = envelope->to;

  if (g_hash_table_contains (r->down_instances, to))
    return;
  switch (envelope->body_case)
    {
    case CB__ENVELOPE__BODY_RESERVE:
      on_reserve (r, to, envelope->reserve);
      return;
    case CB__ENVELOPE__BODY_START:
      on_start (r, to, envelope->start);
      return;
    case CB__ENVELOPE__BODY_STOP:
      on_stop (r, to, envelope->stop);
      return;
    case CB__ENVELOPE__BODY_CHECKPOINT:
      on_checkpoint (r, to, envelope->checkpoint);
      return;
    case CB__ENVELOPE__BODY_SYNC:
      {
        event_t *event = cb_replay_add_event (r, MESSAGE_DELAY_MS, EVENT_SYNC_REPORT);

        event->instance = g_strdup (to);
        return;
      }
    default:
      return;
    }
}

/* Adds the end of JOB to the statistics, once. */
static void
record_job_end (replay_t *r, sim_job_t *job, Cb__JobState state)
{
  if (job->ended)
    return;
  job->ended = TRUE;
  r->open_jobs--;
  if (state == CB__JOB_STATE__JOB_DONE)
    cb_replay_record_completed (r->stats, job->line->job,
                                r->now_ms - job->submitted_ms);
  r->stats->failed += state == CB__JOB_STATE__JOB_FAILED;
  r->stats->canceled += state == CB__JOB_STATE__JOB_CANCELED;
  r->stats->unknown += state == CB__JOB_STATE__JOB_UNKNOWN;
}

/* Confirms an append of the scheduler after LOG_APPEND_MS. A record of the end of a job
   is also applied, MESSAGE_DELAY_MS later. */
static void
on_append (replay_t *r, const cb_out_t *out)
{
  const Cb__JobEnd *end = out->record->job_end;
  event_t *event = cb_replay_add_event (r, LOG_APPEND_MS, EVENT_APPENDED);

  event->tag = out->tag;
  if (out->record->body_case != CB__RECORD__BODY_JOB_END)
    return;
  event = cb_replay_add_event (r, LOG_APPEND_MS + MESSAGE_DELAY_MS, EVENT_APPLIED);
  event->job = cb_replay_find_job (r, end->account, end->key);
  event->tag = (uint64_t)end->state;
}

/* Returns the text of the member NAME in the JSON members FIELDS of an event, or an
   empty text; freed with g_free. */
static char *
json_text_field (const char *fields, const char *name)
{
  char *start = g_strdup_printf ("\"%s\":\"", name);
  const char *at = strstr (fields, start);
  char *text =
      at == NULL ? g_strdup ("")
                 : g_strndup (at + strlen (start), strcspn (at + strlen (start), "\""));

  g_free (start);
  return text;
}

/* Adds the measures in an event of the scheduler to the statistics: waits of urgent
   jobs, durations of reclaims, and jobs that lost their urgency. */
static void
on_event (replay_t *r, const cb_out_t *out)
{
  const char *took = strstr (out->fields, "\"took_ms\":");
  double ms = took == NULL ? 0 : strtod (took + strlen ("\"took_ms\":"), NULL);

  if (strcmp (out->name, "urgent_wait") == 0)
    g_array_append_val (r->stats->urgent_start_ms, ms);
  else if (strcmp (out->name, "reclaimed") == 0)
    {
      char *account = json_text_field (out->fields, "for_account");

      g_array_append_val (r->stats->reclaim_ms, ms);
      cb_replay_record_max (r->stats->max_reclaim_ms, account, (guint)ms);
      g_free (account);
    }
  else if (strcmp (out->name, "urgent_lost") == 0)
    {
      char *reason = json_text_field (out->fields, "reason");
      char *name = g_ascii_strdown (reason, -1);

      cb_replay_increment (r->stats->urgent_lost, name);
      g_free (name);
      g_free (reason);
    }
}

/* Handles the pending outputs of the scheduler: messages, appends and events. */
void
cb_replay_handle_outputs (replay_t *r)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (cb_sched_outputs (r->sched))) != NULL)
    {
      if (out->kind == CB_OUT_SEND)
        deliver_to_agent (r, out->envelope);
      else if (out->kind == CB_OUT_APPEND)
        on_append (r, out);
      else if (out->kind == CB_OUT_EVENT)
        on_event (r, out);
      cb_out_free (out);
    }
}

/* Reports STATE for all tasks of RESERVATION to the scheduler. */
static void
send_task_report (replay_t *r, const reservation_t *reservation, Cb__TaskState state,
                  gboolean checkpointed)
{
  Cb__Envelope *envelope =
      envelope_from (reservation->instance, CB__ENVELOPE__BODY_TASK_REPORT);

  for (size_t i = 0; i < reservation->reserve->n_placements; i++)
    {
      Cb__Task *task = cb_msg_new (&cb__task__descriptor);

      cb_msg_set_string (&task->job_key, reservation->reserve->job_key);
      cb_msg_set_string (&task->account, reservation->reserve->account);
      task->attempt = reservation->attempt;
      task->member = reservation->reserve->placements[i]->member;
      task->state = state;
      task->epoch = CB_REPLAY_EPOCH;
      task->checkpointed = checkpointed;
      task->run_ms = (uint64_t)reservation->job->line->true_run_ms;
      cb_msg_append ((void ***)&envelope->task_report->tasks,
                     &envelope->task_report->n_tasks, task);
    }
  cb_sched_receive (r->sched, envelope, r->now_ms);
  cb_msg_free (envelope);
}

static void
on_task_running (replay_t *r, const char *key)
{
  reservation_t *reservation = g_hash_table_lookup (r->reservations, key);
  const Cb__Job *spec;

  if (reservation == NULL)
    return;
  reservation->running = TRUE;
  reservation->running_ms = r->now_ms;
  spec = reservation->job->line->job;
  if (!reservation->job->has_run &&
      spec->members * spec->accelerators >= CB_LARGE_ACCELERATORS)
    {
      double wait = (double)(r->now_ms - reservation->job->submitted_ms);

      g_array_append_val (r->stats->large_wait_ms, wait);
    }
  reservation->job->has_run = TRUE;
  send_task_report (r, reservation, CB__TASK_STATE__TASK_RUNNING, FALSE);
}

static void
on_task_end (replay_t *r, const event_t *event)
{
  gpointer key, value;
  reservation_t *reservation;

  if (!g_hash_table_steal_extended (r->reservations, event->reservation_key, &key,
                                    &value))
    return;
  reservation = value;
  /* All members of a job save the same progress: it is counted once, for the
     reservation that begins with member 0. */
  if (event->checkpointed && reservation->running &&
      reservation->reserve->placements[0]->member == 0)
    reservation->job->remaining_run_ms = MAX (
        1, reservation->job->remaining_run_ms - (r->now_ms - reservation->running_ms));
  send_task_report (r, reservation, event->task_state, event->checkpointed);
  g_free (key);
  cb_replay_reservation_free (reservation);
}

/* Reports all tasks on INSTANCE to the scheduler. */
static void
send_sync_report (replay_t *r, const char *instance)
{
  Cb__Envelope *envelope = envelope_from (instance, CB__ENVELOPE__BODY_REPORT);
  GHashTableIter it;
  gpointer value;

  envelope->report->epoch = CB_REPLAY_EPOCH;
  g_hash_table_iter_init (&it, r->reservations);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const reservation_t *reservation = value;

      for (size_t i = 0; strcmp (reservation->instance, instance) == 0 &&
                         i < reservation->reserve->n_placements;
           i++)
        {
          Cb__Task *task = cb_msg_new (&cb__task__descriptor);

          cb_msg_set_string (&task->job_key, reservation->reserve->job_key);
          cb_msg_set_string (&task->account, reservation->reserve->account);
          task->attempt = reservation->attempt;
          task->member = reservation->reserve->placements[i]->member;
          task->epoch = CB_REPLAY_EPOCH;
          task->state = reservation->running   ? CB__TASK_STATE__TASK_RUNNING
                        : reservation->started ? CB__TASK_STATE__TASK_STARTING
                                               : CB__TASK_STATE__TASK_RESERVED;
          cb_msg_append ((void ***)&envelope->report->tasks, &envelope->report->n_tasks,
                         task);
        }
    }
  cb_sched_receive (r->sched, envelope, r->now_ms);
  cb_msg_free (envelope);
}

/* Handles one simulated event. */
void
cb_replay_handle_event (replay_t *r, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_RESERVE_REPLY:
      if (!g_hash_table_contains (r->down_instances, event->envelope->from))
        cb_sched_receive (r->sched, event->envelope, r->now_ms);
      return;
    case EVENT_TASK_RUNNING:
      on_task_running (r, event->reservation_key);
      return;
    case EVENT_TASK_END:
      on_task_end (r, event);
      return;
    case EVENT_APPENDED:
      cb_sched_appended (r->sched, event->tag, 0, r->now_ms);
      return;
    case EVENT_APPLIED:
      record_job_end (r, event->job, (Cb__JobState)event->tag);
      cb_sched_job_ended (r->sched, event->job->line->job->account,
                          event->job->line->job->key, r->now_ms);
      return;
    case EVENT_WORKER_TIMEOUT:
      if (g_hash_table_contains (r->down_instances, event->instance))
        cb_sched_agent_down (r->sched, event->instance, r->now_ms);
      return;
    case EVENT_SYNC_REPORT:
      if (!g_hash_table_contains (r->down_instances, event->instance))
        send_sync_report (r, event->instance);
      return;
    }
}
