/* The gang lease. Each agent with members sends heartbeats with their states to the
   leader's agent, which answers with its decision: the gang runs on or stops. A member
   stops after the lease time without a decision; the leader stops the gang after the
   lease time without a heartbeat of a member.
   Heartbeats and decisions of all gangs for one agent share an envelope. */
#include "gang/local.h"

#include <string.h>

/* Returns the instance of member 0, whose agent leads the gang. Owned by JOB. */
const char *
cb_gang_leader_instance (const job_t *job)
{
  return job->start->members[0]->instance;
}

/* Returns whether this agent leads the gang of JOB. */
gboolean
cb_gang_is_leader (const cb_gang_t *gang, const job_t *job)
{
  return job->start != NULL && job->start->n_members > 0 &&
         strcmp (cb_gang_leader_instance (job), gang->instance) == 0;
}

/* Returns whether every member has ended. Only for a leader. */
gboolean
cb_gang_members_ended (const job_t *job)
{
  for (size_t i = 0; i < job->start->n_members; i++)
    if (job->members[i].state < CB__TASK_STATE__TASK_DONE)
      return FALSE;
  return TRUE;
}

/* Returns the envelope for TO over PATH that the present public call has queued, or
   queues a new one. BODY is gang_beats or gang_verdicts. */
static Cb__Envelope *
open_envelope (cb_gang_t *gang, const char *to, Cb__Envelope__BodyCase body,
               path_t path)
{
  gboolean is_heartbeat = body == CB__ENVELOPE__BODY_GANG_BEATS;
  GHashTable *open =
      is_heartbeat ? gang->heartbeat_envelopes[path] : gang->decision_envelopes[path];
  Cb__Envelope *envelope = g_hash_table_lookup (open, to);

  if (envelope != NULL)
    return envelope;
  if (path == PATH_DIRECT)
    envelope = cb_outq_send_via (&gang->out, CB_GANG_DIRECT, to, body);
  else
    {
      envelope = cb_outq_send (&gang->out, to, body);
      cb_msg_set_string (&envelope->cell, gang->cell);
      if (!is_heartbeat)
        cb_msg_set_string (&envelope->gang_verdicts->address, gang->address);
    }
  g_hash_table_insert (open, envelope->to, envelope);
  return envelope;
}

/* Ends adding to the queued envelopes: after a public call the caller may pop and free
   them. */
void
cb_gang_close_envelopes (cb_gang_t *gang)
{
  for (path_t path = 0; path < N_PATHS; path++)
    {
      g_hash_table_remove_all (gang->heartbeat_envelopes[path]);
      g_hash_table_remove_all (gang->decision_envelopes[path]);
    }
}

static void
send_decision (cb_gang_t *gang, const job_t *job, const char *to, path_t path)
{
  Cb__Envelope *envelope =
      open_envelope (gang, to, CB__ENVELOPE__BODY_GANG_VERDICTS, path);
  Cb__GangVerdict *decision = cb_msg_new (&cb__gang_verdict__descriptor);

  cb_msg_append ((void ***)&envelope->gang_verdicts->verdicts,
                 &envelope->gang_verdicts->n_verdicts, decision);
  cb_msg_set_string (&decision->job_key, job->key);
  cb_msg_set_string (&decision->account, job->account);
  decision->attempt = job->attempt;
  decision->whole = job->complete;
  decision->stop = job->stopped;
  decision->reason = job->stopped ? CB__REASON__MEMBER_LOST : CB__REASON__REASON_NONE;
}

/* Sends the decision once to each other agent that has members, over all paths: a path
   may have failed unnoticed, and a stop must not wait for the next heartbeat. */
static void
send_decision_to_members (cb_gang_t *gang, const job_t *job)
{
  GHashTable *sent = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < job->start->n_members; i++)
    {
      char *to = job->start->members[i]->instance;

      if (strcmp (to, gang->instance) != 0 && g_hash_table_add (sent, to))
        {
          send_decision (gang, job, to, PATH_ENTRIES);
          if (*gang->address != '\0')
            send_decision (gang, job, to, PATH_DIRECT);
        }
    }
  g_hash_table_unref (sent);
}

/* Records the state of MEMBER, as reported by the agent of INSTANCE. Only the agent
   that runs the member knows its state, so that reports of others are ignored. */
static void
update_member (job_t *job, const char *instance, uint32_t member, Cb__TaskState state,
               cb_msec_t now_ms)
{
  for (size_t i = 0; i < job->start->n_members; i++)
    {
      if (job->start->members[i]->member != member ||
          strcmp (job->start->members[i]->instance, instance) != 0)
        continue;
      /* Heartbeats may arrive out of order when the home entry changes; a member that
         has ended stays ended. */
      if (job->members[i].state < CB__TASK_STATE__TASK_DONE)
        job->members[i].state = state;
      job->members[i].last_heartbeat_ms = now_ms;
    }
}

/* Decides at the leader whether the gang stops: when a member is stopping, has stopped
   or failed, when the lease of a member has run out, or when the gang isn't complete
   within one lease after its start. */
static void
update_decision (cb_gang_t *gang, job_t *job, cb_msec_t now_ms)
{
  gboolean running = TRUE;
  gboolean stop = FALSE;

  if (job->stopped)
    return;
  for (size_t i = 0; i < job->start->n_members; i++)
    {
      const member_t *member = &job->members[i];

      if (member->state == CB__TASK_STATE__TASK_DONE)
        continue;
      if (member->state != CB__TASK_STATE__TASK_RUNNING)
        running = FALSE;
      stop |= member->state >= CB__TASK_STATE__TASK_STOPPING ||
              now_ms >= member->last_heartbeat_ms + job->lease_ms;
    }
  if (running)
    job->complete = TRUE;
  stop |= !job->complete && now_ms >= job->started_ms + job->lease_ms;
  if (!stop)
    return;
  cb_outq_count (&gang->out, "gang_stopped", "reason=\"member_lost\"");
  job->stopped = TRUE;
  send_decision_to_members (gang, job);
  cb_gang_stop_job (gang, job, CB__REASON__MEMBER_LOST, now_ms);
}

static void
send_heartbeat (cb_gang_t *gang, const job_t *job, path_t path, Cb__TaskState state,
                const uint32_t *members, size_t count)
{
  Cb__Envelope *envelope = open_envelope (gang, cb_gang_leader_instance (job),
                                          CB__ENVELOPE__BODY_GANG_BEATS, path);
  Cb__GangBeat *heartbeat = cb_msg_new (&cb__gang_beat__descriptor);
  ProtobufCBinaryData copy = { 0, NULL };

  cb_msg_append ((void ***)&envelope->gang_beats->beats, &envelope->gang_beats->n_beats,
                 heartbeat);
  cb_msg_set_string (&heartbeat->job_key, job->key);
  cb_msg_set_string (&heartbeat->account, job->account);
  heartbeat->attempt = job->attempt;
  heartbeat->state = state;
  cb_msg_set_bytes (&copy, members, count * sizeof *members);
  heartbeat->members = (uint32_t *)(void *)copy.data;
  heartbeat->n_members = count;
}

/* Reports the state of all members on this instance to the leader, one heartbeat for
   each state. At the leader itself, records them and decides. */
void
cb_gang_report_to_leader (cb_gang_t *gang, job_t *job, cb_msec_t now_ms)
{
  gboolean use[N_PATHS];
  uint32_t *members;

  if (!job->started)
    return;
  if (cb_gang_is_leader (gang, job))
    {
      for (guint i = 0; i < job->tasks->len; i++)
        {
          const Cb__Task *info = ((task_t *)job->tasks->pdata[i])->info;

          update_member (job, gang->instance, info->member, info->state, now_ms);
        }
      update_decision (gang, job, now_ms);
      return;
    }
  cb_gang_link_choose_paths (gang, cb_gang_leader_instance (job), now_ms, use);
  members = g_new (uint32_t, job->tasks->len);
  for (int state = 0; state <= CB__TASK_STATE__TASK_STOPPED; state++)
    {
      size_t count = 0;

      for (guint i = 0; i < job->tasks->len; i++)
        {
          const Cb__Task *info = ((task_t *)job->tasks->pdata[i])->info;

          if ((int)info->state == state)
            members[count++] = info->member;
        }
      for (path_t path = 0; count > 0 && path < N_PATHS; path++)
        if (use[path])
          send_heartbeat (gang, job, path, (Cb__TaskState)state, members, count);
    }
  g_free (members);
}

/* Handles a heartbeat at the leader. One for an unknown gang is ignored: the leader's
   own start may not have arrived yet, and if it never does, the members stop at the end
   of their lease. */
static void
handle_heartbeat (cb_gang_t *gang, const char *from, const Cb__GangBeat *heartbeat,
                  path_t path, cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, heartbeat->account, heartbeat->job_key,
                                 heartbeat->attempt);

  if (job == NULL || job->members == NULL)
    return;
  for (size_t i = 0; i < heartbeat->n_members; i++)
    update_member (job, from, heartbeat->members[i], heartbeat->state, now_ms);
  update_decision (gang, job, now_ms);
  send_decision (gang, job, from, path);
}

/* Handles the heartbeats of an agent and answers them with one envelope of decisions
   over the same PATH, so that the member's agent can tell whether PATH works in both
   directions. */
void
cb_gang_handle_heartbeats (cb_gang_t *gang, const char *from,
                           const Cb__GangBeats *heartbeats, path_t path,
                           cb_msec_t now_ms)
{
  for (size_t i = 0; i < heartbeats->n_beats; i++)
    handle_heartbeat (gang, from, heartbeats->beats[i], path, now_ms);
}

/* Handles the leader's decision at a member. */
static void
handle_decision (cb_gang_t *gang, const char *from, const Cb__GangVerdict *decision,
                 cb_msec_t now_ms)
{
  job_t *job =
      cb_gang_find_job (gang, decision->account, decision->job_key, decision->attempt);

  if (job == NULL || !job->started || strcmp (from, cb_gang_leader_instance (job)) != 0)
    return;
  job->last_decision_ms = now_ms;
  if (decision->whole)
    job->complete = TRUE;
  if (decision->stop && !job->stopped)
    cb_gang_stop_job (gang, job, decision->reason, now_ms);
}

/* Handles the decisions of an agent about the gangs that it leads. */
void
cb_gang_handle_decisions (cb_gang_t *gang, const char *from,
                          const Cb__GangVerdicts *decisions, path_t path,
                          cb_msec_t now_ms)
{
  if (path == PATH_DIRECT)
    cb_gang_link_confirm (gang, from, now_ms);
  else
    cb_gang_link_set_address (gang, from, decisions->address, now_ms);
  for (size_t i = 0; i < decisions->n_verdicts; i++)
    handle_decision (gang, from, decisions->verdicts[i], now_ms);
}

/* At the leader, decides whether the gang stops. At other agents, sends heartbeats when
   they are DUE, and stops the members here when no decision of the leader has arrived
   for the lease time. */
void
cb_gang_tick_lease (cb_gang_t *gang, job_t *job, gboolean due, cb_msec_t now_ms)
{
  if (!job->started)
    return;
  if (cb_gang_is_leader (gang, job))
    {
      if (due)
        cb_gang_report_to_leader (gang, job, now_ms);
      else
        update_decision (gang, job, now_ms);
      return;
    }
  /* Heartbeats continue for one lease after all members here have ended, in case one
     with the final states is lost. */
  if (job->ended && now_ms >= job->expires_ms - ENDED_JOB_RETENTION_MS + job->lease_ms)
    return;
  if (!job->ended && !job->stopped && now_ms >= job->last_decision_ms + job->lease_ms)
    cb_gang_stop_job (gang, job, CB__REASON__MEMBER_LOST, now_ms);
  else if (due)
    cb_gang_report_to_leader (gang, job, now_ms);
}
