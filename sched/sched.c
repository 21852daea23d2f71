/* The public functions of the scheduler, except those of check.c and view.c. */
#include "sched/local.h"

#include <string.h>

/* A worker that refused a reservation takes no work for this time, and a job whose
   start could not be logged is not placed again before. */
#define RESERVE_RETRY_MS 1000
/* A job_end record whose append failed is appended again after this time. */
#define APPEND_RETRY_MS 500

cb_sched_t *
cb_sched_new (const cb_sched_params_t *params)
{
  const policy_ops_t *policy = policy_find (params->policy);
  cb_sched_t *s;

  if (policy == NULL)
    return NULL;
  s = g_new0 (cb_sched_t, 1);
  s->policy = policy;
  s->version = 1;
  s->cell = g_strdup (params->cell);
  s->entry = g_strdup (params->entry);
  cb_outq_init (&s->out);
  cell_init (s);
  s->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  s->predictions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->tags = g_hash_table_new (NULL, NULL);
  s->urgent = g_sequence_new (NULL);
  s->guaranteed = g_sequence_new (NULL);
  s->queue = g_sequence_new (NULL);
  s->large = g_sequence_new (NULL);
  s->timers = g_sequence_new (NULL);
  s->removed_jobs = g_ptr_array_new ();
  s->newly_suspended = g_ptr_array_new ();
  return s;
}

static void
free_removed_jobs (cb_sched_t *s)
{
  for (uint32_t i = 0; i < s->removed_jobs->len; i++)
    job_free (s->removed_jobs->pdata[i]);
  g_ptr_array_set_size (s->removed_jobs, 0);
}

void
cb_sched_free (cb_sched_t *s)
{
  GHashTableIter it;
  gpointer value;

  if (s == NULL)
    return;
  pins_clear (s);
  free_removed_jobs (s);
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    job_free (value);
  g_hash_table_destroy (s->jobs);
  g_hash_table_destroy (s->predictions);
  g_hash_table_destroy (s->tags);
  g_sequence_free (s->urgent);
  g_sequence_free (s->guaranteed);
  g_sequence_free (s->queue);
  g_sequence_free (s->large);
  g_sequence_free (s->timers);
  g_ptr_array_free (s->removed_jobs, TRUE);
  g_ptr_array_free (s->newly_suspended, TRUE);
  cell_clear (s);
  if (s->fleet != NULL)
    cb_fleet_unref (s->fleet);
  cb_outq_clear (&s->out);
  g_free (s->cell);
  g_free (s->entry);
  g_free (s);
}

cb_outq_t *
cb_sched_outputs (cb_sched_t *s)
{
  return &s->out;
}

/* Discards the outputs unless this process schedules the cell. */
static void
clear_outputs_unless_scheduler (cb_sched_t *s)
{
  if (s->epoch == 0)
    cb_outq_clear (&s->out);
}

/* Stops jobs on W that have not been sent a start; with RUNNING preempts also running
   jobs that can be preempted. */
static void
stop_jobs_on (cb_sched_t *s, worker_t *w, gboolean running, cb_msec_t now_ms)
{
  GPtrArray *jobs = g_ptr_array_new ();

  for (uint32_t i = 0; i < w->jobs->len; i++)
    if (!g_ptr_array_find (jobs, w->jobs->pdata[i], NULL))
      g_ptr_array_add (jobs, w->jobs->pdata[i]);
  for (uint32_t i = 0; i < jobs->len; i++)
    {
      job_t *job = jobs->pdata[i];

      if (job->stage == STAGE_PREEMPTING || job->stage == STAGE_RESERVING ||
          job->stage == STAGE_APPENDING)
        job_stop (s, job, CB__REASON__DRAINING, now_ms);
      else if (running && job->can_borrow && job->stage == STAGE_RUNNING)
        job_preempt (s, job, cb_fleet_reclaim_ms (s->fleet), now_ms);
    }
  g_ptr_array_free (jobs, TRUE);
}

/* TRUE when a configuration made W smaller than the jobs on it need. */
static gboolean
exceeds_inventory (const worker_t *w)
{
  return ((w->used | w->pending) & ~w->installed) != 0 ||
         w->cores_used + w->cores_pending > w->cores ||
         w->memory_used_gb + w->memory_pending_gb > w->memory_gb;
}

/* Counts all jobs on W as lost and releases its pins; W takes no work before its next
   full report. */
static void
worker_lose_jobs (cb_sched_t *s, worker_t *w, cb_msec_t now_ms)
{
  w->reported = FALSE;
  pins_release_worker (s, w);
  while (w->jobs->len > 0)
    job_member_lost (s, w->jobs->pdata[w->jobs->len - 1], w, now_ms);
  worker_update_index (s, w);
}

/* Stops the jobs on W, whose instance is no longer in the inventory, and releases its
   pins. Its agent may still run them: they start elsewhere once it has reported their
   ends, or is down. */
static void
stop_jobs_of_removed (cb_sched_t *s, worker_t *w, cb_msec_t now_ms)
{
  GPtrArray *jobs = g_ptr_array_new ();

  pins_release_worker (s, w);
  for (uint32_t i = 0; i < w->jobs->len; i++)
    if (!g_ptr_array_find (jobs, w->jobs->pdata[i], NULL))
      g_ptr_array_add (jobs, w->jobs->pdata[i]);
  for (uint32_t i = 0; i < jobs->len; i++)
    job_worker_removed (s, jobs->pdata[i], w, now_ms);
  g_ptr_array_free (jobs, TRUE);
  worker_update_index (s, w);
}

void
cb_sched_set_fleet (cb_sched_t *s, cb_fleet_t *fleet, cb_msec_t now_ms)
{
  cb_fleet_t *old = s->fleet;

  s->fleet = cb_fleet_ref (fleet);
  s->version++;
  cell_set_fleet (s);
  pins_rebuild (s);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      worker_t *w = s->workers->pdata[i];

      if (!w->in_fleet)
        stop_jobs_of_removed (s, w, now_ms);
      else if (exceeds_inventory (w))
        {
          /* W no longer has what its jobs use: they count as lost, and those that its
             full report contains are stopped. */
          worker_lose_jobs (s, w, now_ms);
          if (w->up && s->epoch > 0)
            sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
        }
      else
        {
          for (uint32_t k = w->pins->len; k-- > 0;)
            {
              pin_t *pin = w->pins->pdata[k];

              if ((w->pinned & ~w->installed) != 0)
                pin_release (s, pin);
            }
          pins_trim (s, w);
        }
    }
  if (old != NULL)
    cb_fleet_unref (old);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_set_epoch (cb_sched_t *s, uint64_t epoch, cb_msec_t now_ms)
{
  if (epoch == s->epoch)
    return;
  s->epoch = epoch;
  cb_outq_clear (&s->out);
  takeover_begin (s, now_ms);
  takeover_end_if_ready (s, now_ms);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_set_predecessor_lost (cb_sched_t *s, uint64_t lost_wall_ms)
{
  s->predecessor_lost_wall_ms = lost_wall_ms;
}

void
cb_sched_agent_down (cb_sched_t *s, const char *instance, cb_msec_t now_ms)
{
  worker_t *w = cell_worker (s, instance);

  if (w == NULL || !w->up)
    return;
  w->up = FALSE;
  worker_lose_jobs (s, w, now_ms);
  takeover_end_if_ready (s, now_ms);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_agent_up (cb_sched_t *s, const char *instance, uint64_t incarnation,
                   cb_msec_t now_ms)
{
  worker_t *w = cell_worker (s, instance);

  if (w == NULL || (w->up && w->incarnation == incarnation))
    return;
  if (w->up)
    cb_sched_agent_down (s, instance, now_ms);
  if (!w->in_fleet)
    return;
  w->up = TRUE;
  w->incarnation = incarnation;
  if (s->epoch > 0)
    sched_send (s, w->name, CB__ENVELOPE__BODY_SYNC)->sync->full = TRUE;
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_set_draining (cb_sched_t *s, const char *instance, gboolean draining,
                       cb_msec_t now_ms)
{
  worker_t *w = cell_worker (s, instance);

  if (w == NULL || w->draining == draining)
    return;
  w->draining = draining;
  s->pins_dirty = TRUE;
  worker_update_index (s, w);
  if (draining)
    {
      pins_release_worker (s, w);
      stop_jobs_on (s, w, TRUE, now_ms);
    }
  clear_outputs_unless_scheduler (s);
}

int
cb_sched_admit (const cb_sched_t *s, const Cb__Job *job)
{
  const Cb__AccountRule *rule;
  uint64_t total = (uint64_t)job->members * job->accelerators;
  uint64_t cores = (uint64_t)job->members * job->cores;

  if (s->fleet == NULL || job->members == 0 || job->members > CB_JOB_MEMBERS_MAX ||
      job->accelerators > CB_JOB_ACCELERATORS_MAX)
    return CB_SCHED_INVALID;
  rule = cb_fleet_account (s->fleet, job->account);
  if (rule != NULL &&
      ((rule->quota_accelerators > 0 && total > rule->quota_accelerators) ||
       (rule->quota_cores > 0 && cores > rule->quota_cores)))
    return CB_SCHED_QUOTA;
  if (s->queued_count >= CB_CELL_QUEUE_LIMIT)
    return CB_SCHED_QUEUE_FULL;
  return placement_could_fit (s, job) ? 0 : CB_SCHED_NEVER_FITS;
}

static job_t *
job_find (const cb_sched_t *s, const char *account, const char *key)
{
  char *id = g_strconcat (account, "\n", key, NULL);
  job_t *job = g_hash_table_lookup (s->jobs, id);

  g_free (id);
  return job;
}

static gboolean
state_is_final (Cb__JobState state)
{
  return state != CB__JOB_STATE__JOB_QUEUED && state != CB__JOB_STATE__JOB_STARTING &&
         state != CB__JOB_STATE__JOB_RUNNING;
}

int
cb_sched_job_add (cb_sched_t *s, const Cb__JobStateEntry *entry, cb_msec_t now_ms)
{
  const Cb__Job *spec = entry->job;
  const Cb__KindRule *kind;
  job_t *job;

  if (spec == NULL || spec->members == 0 || spec->members > CB_JOB_MEMBERS_MAX ||
      spec->accelerators > CB_JOB_ACCELERATORS_MAX || s->fleet == NULL)
    return CB_SCHED_INVALID;
  if (state_is_final (entry->state))
    return 0;
  if (job_find (s, spec->account, spec->key) != NULL)
    return CB_SCHED_EXISTS;
  kind = cb_fleet_kind (s->fleet, spec->kind);
  job = g_new0 (job_t, 1);
  job->spec = (Cb__Job *)cb_msg_copy (&spec->base);
  job->id = g_strconcat (spec->account, "\n", spec->key, NULL);
  job->serial = ++s->serial;
  job->account = cell_account (s, spec->account);
  job->offset = entry->offset;
  job->can_borrow = kind != NULL && cb_fleet_kind_can_borrow (kind);
  job->can_checkpoint = kind != NULL && kind->preemption == CB__PREEMPTION__CHECKPOINT;
  job->not_repeatable = kind == NULL || kind->not_repeatable;
  job->urgent = spec->urgent || (kind != NULL && kind->urgent);
  job->large = job_accelerators (job) >= CB_LARGE_ACCELERATORS;
  job->started_once = entry->started_once;
  job->attempt = entry->attempt;
  job->added_ms = now_ms;
  job->queued_ms = now_ms;
  job->members = g_new0 (member_t, spec->members);
  job->preemptors = g_ptr_array_new ();
  job->preempted = g_ptr_array_new ();
  job->cancel = entry->cancel;
  /* The epoch is a position in the log: a job that was accepted after it can't have
     been started by an earlier scheduler. */
  job->unresolved = s->epoch == 0 || (!s->takeover_done && entry->offset <= s->epoch);
  g_hash_table_insert (s->jobs, job->id, job);
  queue_add (s, job);
  if (!job->unresolved && job->not_repeatable && job->started_once)
    {
      queue_remove (s, job);
      job_append_end (s, job, CB__JOB_STATE__JOB_UNKNOWN, CB__REASON__OUTCOME_UNKNOWN,
                      now_ms);
    }
  else if (!job->unresolved && job->cancel)
    cb_sched_job_cancel (s, spec->account, spec->key, now_ms);
  clear_outputs_unless_scheduler (s);
  return 0;
}

void
cb_sched_job_started (cb_sched_t *s, const char *account, const char *key,
                      uint32_t attempt)
{
  job_t *job = job_find (s, account, key);

  /* An active scheduler has a record of its own starts. The log may also hold a start
     that it abandoned because the append took too long. */
  if (job == NULL || s->epoch > 0)
    return;
  job->started_once = TRUE;
  job->attempt = MAX (job->attempt, attempt);
}

void
cb_sched_job_cancel (cb_sched_t *s, const char *account, const char *key,
                     cb_msec_t now_ms)
{
  job_t *job = job_find (s, account, key);

  if (job == NULL || job->stage == STAGE_ENDED)
    return;
  job->cancel = TRUE;
  if (job->unresolved)
    return;
  if (job->stage == STAGE_QUEUED)
    {
      queue_remove (s, job);
      job_append_end (s, job, CB__JOB_STATE__JOB_CANCELED, CB__REASON__CANCELED,
                      now_ms);
    }
  else if (job->stage != STAGE_STOPPING)
    job_stop (s, job, CB__REASON__CANCELED, now_ms);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_job_ended (cb_sched_t *s, const char *account, const char *key,
                    cb_msec_t now_ms)
{
  job_t *job = job_find (s, account, key);

  if (job == NULL)
    return;
  job->end_in_log = TRUE;
  if (job->stage == STAGE_ENDED)
    job_remove (s, job);
  else if (job->stage == STAGE_QUEUED)
    {
      for (uint32_t i = 0; i < job->spec->members; i++)
        member_release (s, job, i);
      queue_remove (s, job);
      job_remove (s, job);
    }
  else if (job->stage != STAGE_STOPPING)
    job_stop (s, job, CB__REASON__CANCELED, now_ms);
  clear_outputs_unless_scheduler (s);
}

static void
handle_reserve_reply (cb_sched_t *s, worker_t *w, const Cb__Envelope *envelope,
                      cb_msec_t now_ms)
{
  const Cb__ReserveReply *reply = envelope->reserve_reply;
  job_t *job = job_find (s, reply->account, reply->job_key);

  /* Another epoch may have used the same attempt number. */
  if (job == NULL || job->stage != STAGE_RESERVING || job->attempt != reply->attempt ||
      (envelope->epoch != 0 && envelope->epoch != s->epoch))
    return;
  if (!reply->ok)
    {
      w->avoid_until_ms = now_ms + RESERVE_RETRY_MS;
      health_set_timer (s, w->avoid_until_ms);
      worker_update_index (s, w);
      job_stop (s, job, reply->reason, now_ms);
      return;
    }
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].worker == w)
      job->members[i].confirmed = TRUE;
  for (uint32_t i = 0; i < job->spec->members; i++)
    if (!job->members[i].confirmed)
      return;
  start_confirmed (s, job, now_ms);
}

static gboolean
report_has_member (const Cb__Report *report, const job_t *job, uint32_t member)
{
  for (size_t i = 0; i < report->n_tasks; i++)
    {
      const Cb__Task *task = report->tasks[i];

      if (task->member == member && task->attempt == job->attempt &&
          strcmp (task->job_key, job->spec->key) == 0 &&
          strcmp (task->account, job->spec->account) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Counts jobs that have been sent a start to W but are missing in its full report as
   lost on W. */
static void
handle_missing_tasks (cb_sched_t *s, worker_t *w, const Cb__Report *report,
                      cb_msec_t now_ms)
{
  GPtrArray *jobs = g_ptr_array_new ();

  for (uint32_t i = 0; i < w->jobs->len; i++)
    {
      job_t *job = w->jobs->pdata[i];

      if (job->stage != STAGE_STARTING && job->stage != STAGE_RUNNING &&
          job->stage != STAGE_STOPPING)
        continue;
      for (uint32_t m = 0; m < job->spec->members; m++)
        if (job->members[m].worker == w && !report_has_member (report, job, m) &&
            !g_ptr_array_find (jobs, job, NULL))
          g_ptr_array_add (jobs, job);
    }
  for (uint32_t i = 0; i < jobs->len; i++)
    job_member_lost (s, jobs->pdata[i], w, now_ms);
  g_ptr_array_free (jobs, TRUE);
}

static void
handle_report (cb_sched_t *s, worker_t *w, const Cb__Report *report, cb_msec_t now_ms)
{
  if (report->epoch != s->epoch || !w->up)
    return;
  w->reported = TRUE;
  cb_sched_set_draining (s, w->name, report->draining, now_ms);
  handle_missing_tasks (s, w, report, now_ms);
  for (size_t i = 0; i < report->n_tasks; i++)
    report_handle_task (s, w, report->tasks[i], now_ms);
  s->pins_dirty = TRUE;
  worker_update_index (s, w);
  takeover_end_if_ready (s, now_ms);
}

/* TRUE when ENVELOPE is of an earlier process of the agent of W, or is a full report
   that the agent made before another message that has arrived. Messages overtake each
   other when an entry that was paused forwards what it holds after the agent has moved
   to another home entry: such a report lacks the work that the agent has received
   since. */
static gboolean
is_overtaken (worker_t *w, const Cb__Envelope *envelope)
{
  if (envelope->incarnation < MAX (w->incarnation, w->newest_incarnation) &&
      envelope->incarnation != 0)
    return TRUE;
  if (envelope->incarnation > w->newest_incarnation)
    {
      w->newest_incarnation = envelope->incarnation;
      w->newest_sent_ms = 0;
    }
  if (envelope->sent_ms >= w->newest_sent_ms)
    {
      w->newest_sent_ms = envelope->sent_ms;
      return FALSE;
    }
  return envelope->sent_ms != 0 && envelope->body_case == CB__ENVELOPE__BODY_REPORT;
}

void
cb_sched_receive (cb_sched_t *s, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  worker_t *w = cell_worker (s, envelope->from);

  if (envelope->body_case == CB__ENVELOPE__BODY_EPOCH_REJECT)
    {
      if (envelope->epoch_reject->newest_epoch > s->epoch && s->epoch > 0)
        cb_sched_set_epoch (s, 0, now_ms);
      return;
    }
  if (w == NULL || s->epoch == 0)
    return;
  if (is_overtaken (w, envelope))
    {
      cb_outq_count (&s->out, "sched_overtaken", NULL);
      return;
    }
  switch (envelope->body_case)
    {
    case CB__ENVELOPE__BODY_RESERVE_REPLY:
      handle_reserve_reply (s, w, envelope, now_ms);
      break;
    case CB__ENVELOPE__BODY_TASK_REPORT:
      for (size_t i = 0; i < envelope->task_report->n_tasks; i++)
        {
          const Cb__Task *task = envelope->task_report->tasks[i];
          job_t *job = job_find (s, task->account, task->job_key);

          if (job != NULL)
            job_handle_task (s, job, w, task, now_ms);
        }
      break;
    case CB__ENVELOPE__BODY_REPORT:
      handle_report (s, w, envelope->report, now_ms);
      break;
    default:
      break;
    }
  while (s->newly_suspended->len > 0)
    stop_jobs_on (s, g_ptr_array_steal_index (s->newly_suspended, 0), FALSE, now_ms);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_appended (cb_sched_t *s, uint64_t tag, int err, cb_msec_t now_ms)
{
  job_t *job = g_hash_table_lookup (s->tags, GSIZE_TO_POINTER (tag));

  if (job == NULL)
    return;
  g_hash_table_remove (s->tags, GSIZE_TO_POINTER (tag));
  job->tag = 0;
  if (job->stage == STAGE_ENDED && err < 0)
    job_set_timer (s, job, now_ms + APPEND_RETRY_MS);
  else if (job->stage == STAGE_APPENDING && err < 0)
    {
      job->retry_ms = now_ms + RESERVE_RETRY_MS;
      job_stop (s, job, CB__REASON__LOG_UNAVAILABLE, now_ms);
    }
  else if (job->stage == STAGE_APPENDING)
    start_send (s, job, now_ms);
  clear_outputs_unless_scheduler (s);
}

void
cb_sched_tick (cb_sched_t *s, cb_msec_t now_ms)
{
  free_removed_jobs (s);
  if (s->epoch == 0 || s->fleet == NULL)
    return;
  takeover_resync (s, now_ms);
  takeover_end_if_ready (s, now_ms);
  health_tick (s, now_ms);
  for (;;)
    {
      GSequenceIter *at = g_sequence_get_begin_iter (s->timers);
      job_t *job = g_sequence_iter_is_end (at) ? NULL : g_sequence_get (at);

      if (job == NULL || job->due_ms > now_ms)
        break;
      job_handle_timer (s, job, now_ms);
    }
  pins_repair (s, now_ms);
  queue_start_jobs (s, now_ms);
}
