/* Creation, dispatch of received messages, and the periodic tick. */
#include "gang/local.h"

#include <string.h>

/* Creates the task state of one agent. Free it with cb_gang_free. */
cb_gang_t *
cb_gang_new (const cb_gang_params_t *params)
{
  cb_gang_t *gang = g_new0 (cb_gang_t, 1);

  gang->instance = g_strdup (params->instance);
  gang->cell = g_strdup (params->cell);
  cb_gang_set_capacity (gang, params->accelerators, params->cores, params->memory_gb);
  gang->jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)cb_gang_job_free);
  gang->address = g_strdup ("");
  gang->links =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cb_gang_link_free);
  for (path_t path = 0; path < N_PATHS; path++)
    {
      gang->heartbeat_envelopes[path] = g_hash_table_new (g_str_hash, g_str_equal);
      gang->decision_envelopes[path] = g_hash_table_new (g_str_hash, g_str_equal);
    }
  cb_outq_init (&gang->out);
  return gang;
}

void
cb_gang_job_free (job_t *job)
{
  g_ptr_array_unref (job->tasks);
  cb_msg_free (job->start);
  g_free (job->members);
  g_free (job->account);
  g_free (job->key);
  g_free (job);
}

void
cb_gang_free (cb_gang_t *gang)
{
  cb_outq_clear (&gang->out);
  for (path_t path = 0; path < N_PATHS; path++)
    {
      g_hash_table_unref (gang->heartbeat_envelopes[path]);
      g_hash_table_unref (gang->decision_envelopes[path]);
    }
  g_hash_table_unref (gang->links);
  g_free (gang->address);
  g_ptr_array_unref (gang->jobs);
  g_free (gang->instance);
  g_free (gang->cell);
  g_free (gang->scheduler);
  g_free (gang);
}

/* Returns the queue of outputs. GANG owns it, the caller what it pops from it. */
cb_outq_t *
cb_gang_outputs (cb_gang_t *gang)
{
  return &gang->out;
}

/* Sets the configured capacity of the instance. Tasks that exceed it aren't stopped. */
void
cb_gang_set_capacity (cb_gang_t *gang, uint32_t accelerators, uint32_t cores,
                      uint32_t memory_gb)
{
  gang->accelerators = accelerators;
  gang->cores = cores;
  gang->memory_gb = memory_gb;
}

/* While ON, new reservations are refused; tasks continue to their end. */
void
cb_gang_set_draining (cb_gang_t *gang, gboolean on)
{
  gang->draining = on;
}

/* Returns the newest epoch under which a scheduler has sent a command; 0: none. */
uint64_t
cb_gang_epoch (const cb_gang_t *gang)
{
  return gang->epoch;
}

/* Returns the number of tasks that hold resources: reserved, starting, running or
   stopping. */
uint32_t
cb_gang_task_count (const cb_gang_t *gang)
{
  uint32_t count = 0;

  for (guint i = 0; i < gang->jobs->len; i++)
    {
      const job_t *job = gang->jobs->pdata[i];

      for (guint k = 0; k < job->tasks->len; k++)
        count += cb_gang_task_holds_resources (job->tasks->pdata[k]) ? 1 : 0;
    }
  return count;
}

/* Returns this instance's record of an attempt, or NULL when there is none. */
job_t *
cb_gang_find_job (const cb_gang_t *gang, const char *account, const char *key,
                  uint32_t attempt)
{
  for (guint i = 0; i < gang->jobs->len; i++)
    {
      job_t *job = gang->jobs->pdata[i];

      if (job->attempt == attempt && strcmp (job->key, key) == 0 &&
          strcmp (job->account, account) == 0)
        return job;
    }
  return NULL;
}

/* Returns the job of an attempt that was started here, or NULL. Valid until the next
   call that changes GANG. */
const Cb__Job *
cb_gang_started_job (const cb_gang_t *gang, const char *account, const char *job_key,
                     uint32_t attempt)
{
  const job_t *job = cb_gang_find_job (gang, account, job_key, attempt);

  return job == NULL || job->start == NULL ? NULL : job->start->job;
}

static void
receive_stop (cb_gang_t *gang, const Cb__Stop *stop, cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, stop->account, stop->job_key, stop->attempt);

  /* A scheduler that missed the end of the job learns from the full report that the job
     has no tasks here. */
  if (job == NULL)
    cb_gang_report_all (gang);
  else
    cb_gang_stop_job (gang, job, stop->reason, now_ms);
}

static void
receive_checkpoint (cb_gang_t *gang, const Cb__Checkpoint *checkpoint, cb_msec_t now_ms)
{
  job_t *job = cb_gang_find_job (gang, checkpoint->account, checkpoint->job_key,
                                 checkpoint->attempt);

  if (job == NULL)
    cb_gang_report_all (gang);
  else
    cb_gang_checkpoint (gang, job, checkpoint->grace_ms, now_ms);
}

/* Carries out a scheduler's command: reserve, start, stop, checkpoint or sync. */
static void
receive_from_scheduler (cb_gang_t *gang, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  if (!cb_gang_check_epoch (gang, envelope))
    return;
  if (envelope->body_case == CB__ENVELOPE__BODY_RESERVE)
    cb_gang_reserve (gang, envelope->from, envelope->reserve, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_START)
    cb_gang_start (gang, envelope->start, envelope->epoch, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_STOP)
    receive_stop (gang, envelope->stop, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_CHECKPOINT)
    receive_checkpoint (gang, envelope->checkpoint, now_ms);
  else
    cb_gang_report_all (gang);
}

static void
receive_from_agent (cb_gang_t *gang, const Cb__Envelope *envelope, path_t path,
                    cb_msec_t now_ms)
{
  if (envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS)
    cb_gang_handle_heartbeats (gang, envelope->from, envelope->gang_beats, path,
                               now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_GANG_VERDICTS)
    cb_gang_handle_decisions (gang, envelope->from, envelope->gang_verdicts, path,
                              now_ms);
}

/* Handles gang_beats received at the socket of cb_gang_set_address and gang_verdicts
   received over a connection of cb_gang_direct_link; ignores other messages. */
void
cb_gang_receive_direct (cb_gang_t *gang, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  receive_from_agent (gang, envelope, PATH_DIRECT, now_ms);
  cb_gang_close_envelopes (gang);
}

/* Handles reserve, start, stop, checkpoint and sync from a scheduler, gang_beats and
   gang_verdicts from other agents; ignores other messages. Commands of an older epoch
   are answered with epoch_reject. */
void
cb_gang_receive (cb_gang_t *gang, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  switch (envelope->body_case)
    {
    case CB__ENVELOPE__BODY_GANG_BEATS:
    case CB__ENVELOPE__BODY_GANG_VERDICTS:
      receive_from_agent (gang, envelope, PATH_ENTRIES, now_ms);
      break;
    case CB__ENVELOPE__BODY_RESERVE:
    case CB__ENVELOPE__BODY_START:
    case CB__ENVELOPE__BODY_STOP:
    case CB__ENVELOPE__BODY_CHECKPOINT:
    case CB__ENVELOPE__BODY_SYNC:
      receive_from_scheduler (gang, envelope, now_ms);
      break;
    default:
      break;
    }
  cb_gang_close_envelopes (gang);
}

/* Returns whether the record of JOB can be removed. */
static gboolean
is_expired (const cb_gang_t *gang, const job_t *job, cb_msec_t now_ms)
{
  if (now_ms < job->expires_ms || (job->started && !job->ended))
    return FALSE;
  /* A leader whose own members have ended still serves the others. */
  return !cb_gang_is_leader (gang, job) || job->stopped || cb_gang_members_ended (job);
}

/* Renews worker leases, sends heartbeats to leaders, and ends the reservations, tasks
   and gangs whose time has run out. Call at least every 100 ms. */
void
cb_gang_tick (cb_gang_t *gang, cb_msec_t now_ms)
{
  gboolean due = now_ms >= gang->heartbeat_due_ms;

  for (guint i = gang->jobs->len; i > 0; i--)
    {
      job_t *job = gang->jobs->pdata[i - 1];

      cb_gang_tick_tasks (gang, job, now_ms);
      cb_gang_tick_lease (gang, job, due, now_ms);
      if (is_expired (gang, job, now_ms))
        g_ptr_array_remove_index (gang->jobs, i - 1);
    }
  if (due)
    {
      gang->heartbeat_due_ms = now_ms + CB_GANG_HEARTBEAT_MS;
      cb_gang_link_prune (gang);
    }
  cb_gang_close_envelopes (gang);
}
