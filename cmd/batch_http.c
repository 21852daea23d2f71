/* HTTP requests to an entry from callers, health checks and metrics collectors. */
#include "cmd/batch.h"

#include <string.h>

/* The entry replies that a job does not exist only if its last read of the log is at
   most this old. */
#define UNKNOWN_JOB_LOG_AGE_MS 2500
/* An entry whose last successful read of the log is older than this fails the health
   check. */
#define READY_LOG_AGE_MS 3000
/* Retry-After of an entry that has no configuration yet. */
#define NO_CONFIG_RETRY_AFTER_MS 1000
/* Retry-After while too many bytes of requests wait for replies. */
#define BACKLOG_RETRY_AFTER_MS 1000
/* A cancellation that is stored is answered at the latest after this time, even if the
   entry has not read it yet. Callers wait 3 s for a reply. */
#define CANCEL_REPLY_MS 2500
/* A submission without a definite outcome is remembered for at least this long, which
   is longer than callers retry; it is removed when a later one is noted. The writer
   repeats its append until the store answers. */
#define UNRESOLVED_RETENTION_MS 60000

/* A caller whose cancellation is stored, and who gets the reply once the entry has read
   it. */
typedef struct
{
  cb_http_req_t *req;
  char *job;
  uint64_t end_offset; /* the cancellation is before this offset of the log */
  cb_msec_t due_ms;    /* time of the reply if it has not been read */
} pending_cancel_t;

/* Tasks of a job that is in the log and that the entry may not have read yet. */
typedef struct
{
  uint64_t tasks;
  uint64_t end_offset; /* the job's record is before this offset of the log */
} stored_tasks_t;

/* Replies to a caller's request with LEN bytes of JSON, observes the request's duration
   and frees REQ. */
void
cb_batch_reply (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                const char *body, size_t len)
{
  char *label = g_strdup_printf ("method=\"%s\"", cb_http_method (req));

  cb_counters_observe (entry->counters, "request_duration_ms", label,
                       cb_http_age_ms (req));
  g_free (label);
  cb_http_reply (req, status, "application/json", body, len);
}

static void
reply_json (cb_batch_entry_t *entry, cb_http_req_t *req, int status, const char *text)
{
  cb_batch_reply (entry, req, status, text, strlen (text));
}

/* Replies with the HTTP status STATUS and REASON, and frees REQ. REASON is written
   unescaped to the JSON body, the log and a metric label. RETRY_AFTER_MS above 0 is
   sent as a Retry-After header, rounded up to seconds. */
void
cb_batch_refuse (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                 const char *reason, cb_msec_t retry_after_ms)
{
  char *body = g_strdup_printf ("{\"error\":\"%s\"}", reason);
  char *label = g_strdup_printf ("reason=\"%s\"", reason);
  char *seconds;

  cb_counters_add (entry->counters, "requests_refused_total", label, 1);
  cb_event_unlimited (CB_LOG_INFO, "entry", "refused",
                      "method=%s path=%s status=%d reason=%s retry_after_ms=%" PRId64
                      " config=%" PRIu64 " log_age_ms=%" PRId64,
                      cb_http_method (req), cb_http_path (req), status, reason,
                      retry_after_ms,
                      entry->config == NULL ? 0 : entry->config->version,
                      cb_batch_now_ms () - entry->last_read_ms);
  if (retry_after_ms > 0)
    {
      seconds = g_strdup_printf ("%" PRId64, (retry_after_ms + 999) / 1000);
      cb_http_add_header (req, "retry-after", seconds);
      g_free (seconds);
    }
  reply_json (entry, req, status, body);
  g_free (label);
  g_free (body);
}

/* Returns when the caller of REQ, which an outage of the store prevented, should come
   back. */
static cb_msec_t
outage_retry_after_ms (const cb_batch_entry_t *entry, cb_http_req_t *req)
{
  return cb_outage_retry_after_ms (&entry->outage, cb_http_path (req),
                                   cb_batch_now_ms ());
}

static void
note_accepted (cb_batch_entry_t *entry, const Cb__BatchRecord *record)
{
  const Cb__BatchJob *job = record->submit;

  cb_counters_add (entry->counters, "jobs_accepted_total", NULL, 1);
  /* The fields from `tasks` on describe only the first step. */
  cb_event (CB_LOG_INFO, "entry", "accepted",
            "job=%s queue=%s account=%s priority=%u steps=%zu tasks=%u cpu_milli=%u "
            "accelerators=%u gang=%d same_rack=%d saves=%d estimate_ms=%u",
            job->id, job->queue, job->account, job->priority, job->n_steps,
            job->steps[0]->count, job->steps[0]->cpu_milli, job->steps[0]->accelerators,
            job->steps[0]->gang, job->steps[0]->same_rack, job->steps[0]->saves,
            job->steps[0]->estimate_ms);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const cb_msec_t *since_ms = value;
  const cb_msec_t *now_ms = data;

  (void)key;
  return *now_ms - *since_ms > UNRESOLVED_RETENTION_MS;
}

/* Notes that a submission of job ID may be stored, as its outcome is unknown. */
void
cb_batch_note_unresolved (cb_batch_entry_t *entry, const char *id)
{
  cb_msec_t now_ms = cb_batch_now_ms ();
  cb_msec_t *since_ms = g_new (cb_msec_t, 1);

  g_hash_table_foreach_remove (entry->unresolved_submissions, is_expired, &now_ms);
  *since_ms = now_ms;
  g_hash_table_replace (entry->unresolved_submissions, g_strdup (id), since_ms);
}

/* Refuses REQ about job ID, which the entry has no record of, when the job may exist
   nevertheless: the last log read is too old, or an unresolved submission may be
   stored. Returns FALSE, without a reply, when the job does not exist. */
static gboolean
refuse_if_uncertain (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  if (!cb_batch_log_is_fresh (entry, UNKNOWN_JOB_LOG_AGE_MS))
    cb_batch_refuse (entry, req, 503, "view_stale", outage_retry_after_ms (entry, req));
  else if (g_hash_table_contains (entry->unresolved_submissions, id))
    cb_batch_refuse (entry, req, 503, "earlier_outcome_unknown",
                     outage_retry_after_ms (entry, req));
  else
    return FALSE;
  return TRUE;
}

/* Refuses a submission that is not stored. When an earlier submission of the same job
   may be stored, the reply is 504 instead of STATUS, as the job may run. */
static void
refuse_submission (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id,
                   int status, const char *reason, cb_msec_t retry_after_ms)
{
  if (g_hash_table_contains (entry->unresolved_submissions, id))
    cb_batch_refuse (entry, req, 504, "earlier_outcome_unknown", 0);
  else
    cb_batch_refuse (entry, req, status, reason, retry_after_ms);
}

static void
on_appended (cb_batch_entry_t *entry, void *ctx, int err, const Cb__BatchRecord *record)
{
  cb_http_req_t *req = ctx;

  if (err == CB_OK)
    {
      note_accepted (entry, record);
      reply_json (entry, req, 200, "{}");
    }
  else if (err == CB_LOGC_UNAVAILABLE)
    cb_batch_refuse (entry, req, 504, "store_answer_unknown", 0);
  else
    cb_batch_refuse (entry, req, 503, "store_unavailable",
                     outage_retry_after_ms (entry, req));
}

/* Notes that the record of a job with TASKS is in the log. */
static void
note_stored (cb_batch_entry_t *entry, uint64_t tasks)
{
  stored_tasks_t *stored = g_new (stored_tasks_t, 1);

  stored->tasks = tasks;
  stored->end_offset = entry->known_end_offset;
  g_queue_push_tail (&entry->stored_tasks, stored);
}

/* Returns the number of tasks of jobs that this entry has admitted and not read from
   the log yet. */
static uint64_t
expected_tasks (cb_batch_entry_t *entry)
{
  const stored_tasks_t *stored;
  uint64_t tasks = entry->appending_tasks;

  while ((stored = g_queue_peek_head (&entry->stored_tasks)) != NULL &&
         entry->next_offset >= stored->end_offset)
    g_free (g_queue_pop_head (&entry->stored_tasks));
  for (const GList *l = entry->stored_tasks.head; l != NULL; l = l->next)
    tasks += ((const stored_tasks_t *)l->data)->tasks;
  return tasks;
}

static void
on_submitted (cb_batch_entry_t *entry, void *ctx, int err,
              const Cb__BatchRecord *record)
{
  const char *id = record->submit->id;

  entry->appending_tasks -= cb_batch_count_tasks (record->submit);
  if (err == CB_OK)
    note_stored (entry, cb_batch_count_tasks (record->submit));
  if (err == CB_OK)
    g_hash_table_remove (entry->unresolved_submissions, id);
  else if (err == CB_LOGC_UNAVAILABLE)
    cb_batch_note_unresolved (entry, id);
  if (err == CB_OK || err == CB_LOGC_UNAVAILABLE)
    on_appended (entry, ctx, err, record);
  else
    refuse_submission (entry, ctx, id, 503, "store_unavailable",
                       outage_retry_after_ms (entry, ctx));
}

/* Returns the HTTP status of a job that cb_batch_admit refuses with ERR. */
static int
refusal_status (int err)
{
  if (err == CB_BATCH_INVALID || err == CB_BATCH_TOO_LARGE)
    return 400;
  return err == CB_BATCH_FULL ? 503 : 429;
}

static const char *
refusal_reason (int err)
{
  if (err == CB_BATCH_NEVER_FITS)
    return "never_fits";
  if (err == CB_BATCH_TOO_LARGE)
    return "too_large";
  if (err == CB_BATCH_FULL)
    return "too_many_tasks";
  return err == CB_BATCH_OVERLOADED ? "overloaded" : "invalid_job";
}

static void
submit_job (cb_batch_entry_t *entry, cb_http_req_t *req, const cb_batch_queue_t *queue,
            const cb_batch_account_t *account, const char *id)
{
  Cb__BatchRecord *record;
  Cb__BatchJob *job = NULL;
  size_t len;
  const char *body = cb_http_body (req, &len);
  cb_msec_t retry_after_ms = 0;
  int err;

  if (cb_batch_job_status (entry->batch, id) != CB_JOB_UNKNOWN)
    {
      reply_json (entry, req, 200, "{}");
      return;
    }
  if (cb_http_body_dropped (req))
    {
      refuse_submission (entry, req, id, 503, "backlog", BACKLOG_RETRY_AFTER_MS);
      return;
    }
  if (!entry->caught_up || cb_batch_log_is_lost (entry))
    {
      refuse_submission (entry, req, id, 503, "store_unavailable",
                         outage_retry_after_ms (entry, req));
      return;
    }
  if (cb_platform_job_read (body, len, &job) < 0)
    {
      cb_batch_refuse (entry, req, 400, "invalid_job", 0);
      return;
    }
  cb_msg_set_string (&job->id, id);
  cb_msg_set_string (&job->queue, queue->name);
  cb_msg_set_string (&job->service, queue->service);
  if (account != NULL)
    cb_msg_set_string (&job->account, account->name);
  job->priority = queue->priority;
  job->attempts = queue->attempts;
  job->stretch_milli = (uint32_t)(queue->stretch * 1000);
  job->slack_ms = queue->slack_ms;
  cb_batch_keep_advice (job, queue);
  job->accepted_ms = (uint64_t)cb_clock_wall (entry->clock);
  cb_batch_expect_tasks (entry->batch, expected_tasks (entry));
  err =
      cb_batch_admit (entry->batch, job, cb_clock_now (entry->clock), &retry_after_ms);
  if (err < 0)
    {
      cb_msg_free (job);
      refuse_submission (entry, req, id, refusal_status (err), refusal_reason (err),
                         retry_after_ms);
      return;
    }
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->body_case = CB__BATCH_RECORD__BODY_SUBMIT;
  record->submit = job;
  entry->appending_tasks += cb_batch_count_tasks (job);
  cb_batch_append (entry, record, on_submitted, req);
  cb_batch_process_due (entry);
}

/* Answers the cancellations that the entry has read since they were stored, and those
   that are due. A cancellation that is stored holds, also for a submission that comes
   later in the log. */
void
cb_batch_answer_cancels (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  GList *link = entry->pending_cancels.head;

  while (link != NULL)
    {
      GList *next = link->next;
      pending_cancel_t *cancel = link->data;
      gboolean read = entry->next_offset >= cancel->end_offset;

      if (read || now_ms >= cancel->due_ms)
        {
          gboolean missing =
              read && cb_batch_job_status (entry->batch, cancel->job) == CB_JOB_UNKNOWN;

          reply_json (entry, cancel->req, missing ? 410 : 200, "{}");
          g_queue_delete_link (&entry->pending_cancels, link);
          g_free (cancel->job);
          g_free (cancel);
        }
      link = next;
    }
}

static void
on_canceled (cb_batch_entry_t *entry, void *ctx, int err, const Cb__BatchRecord *record)
{
  pending_cancel_t *cancel;

  if (err < 0)
    {
      on_appended (entry, ctx, err, record);
      return;
    }
  cb_counters_add (entry->counters, "jobs_canceled_total", NULL, 1);
  cb_event (CB_LOG_INFO, "entry", "cancel_accepted", "job=%s", record->cancel->job);
  cancel = g_new0 (pending_cancel_t, 1);
  cancel->req = ctx;
  cancel->job = g_strdup (record->cancel->job);
  cancel->end_offset = entry->known_end_offset;
  cancel->due_ms = cb_batch_now_ms () + CANCEL_REPLY_MS - cb_http_age_ms (cancel->req);
  g_queue_push_tail (&entry->pending_cancels, cancel);
  cb_batch_answer_cancels (entry, cb_batch_now_ms ());
}

/* Stores the cancellation of job ID, also when the entry does not know the job: its
   copy of the log may be old, and an append of the submission may still be under way.
 */
static void
cancel_job (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  Cb__BatchRecord *record;
  cb_job_status_t status = cb_batch_job_status (entry->batch, id);

  if (status == CB_JOB_CANCELED)
    {
      reply_json (entry, req, 200, "{}");
      return;
    }
  if (!entry->caught_up || cb_batch_log_is_lost (entry))
    {
      cb_batch_refuse (entry, req, 503, "store_unavailable",
                       outage_retry_after_ms (entry, req));
      return;
    }
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->body_case = CB__BATCH_RECORD__BODY_CANCEL;
  record->cancel = cb_msg_new (&cb__batch_cancel__descriptor);
  cb_msg_set_string (&record->cancel->job, id);
  cb_batch_append (entry, record, on_canceled, req);
  cb_batch_process_due (entry);
}

static void
show_job (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  cb_job_status_t status = cb_batch_job_status (entry->batch, id);
  char *text;

  if (status == CB_JOB_UNKNOWN && refuse_if_uncertain (entry, req, id))
    return;
  text = cb_platform_status_text (status);
  reply_json (entry, req, status == CB_JOB_UNKNOWN ? 410 : 200, text);
  g_free (text);
}

static void
show_queue (cb_batch_entry_t *entry, cb_http_req_t *req, const cb_batch_queue_t *queue)
{
  char *text =
      cb_platform_pending_text (cb_batch_pending_jobs (entry->batch, queue->name));

  reply_json (entry, req, 200, text);
  g_free (text);
}

/* Handles a caller's request with this entry's state, without relaying it. */
void
cb_batch_serve_request (cb_batch_entry_t *entry, cb_http_req_t *req)
{
  const char *method = cb_http_method (req);
  const cb_batch_queue_t *queue;
  const cb_batch_account_t *account;
  const char *id;

  if (entry->config == NULL)
    {
      cb_batch_refuse (entry, req, 503, "no_config", NO_CONFIG_RETRY_AFTER_MS);
      return;
    }
  queue = cb_batch_config_find_queue (entry->config, cb_http_host (req),
                                      cb_http_path (req));
  if (queue == NULL)
    {
      cb_batch_refuse (entry, req, 404, "no_such_queue", 0);
      return;
    }
  account = cb_batch_config_find_account (entry->config, cb_platform_caller_key (req));
  if (account == NULL && !queue->key_optional)
    {
      cb_batch_refuse (entry, req, 401, "unknown_key", 0);
      return;
    }
  id = cb_http_path (req) + strlen (queue->prefix);
  if (*id == '\0' && strcmp (method, "GET") == 0)
    show_queue (entry, req, queue);
  else if (!cb_platform_job_id_valid (id))
    cb_batch_refuse (entry, req, 400, "invalid_id", 0);
  else if (strcmp (method, "GET") == 0)
    show_job (entry, req, id);
  else if (strcmp (method, "DELETE") == 0)
    cancel_job (entry, req, id);
  else if (strcmp (method, "POST") == 0)
    submit_job (entry, req, queue, account, id);
  else
    cb_batch_refuse (entry, req, 405, "unknown_method", 0);
}

static void
on_caller (void *ctx, cb_http_req_t *req)
{
  cb_batch_entry_t *entry = ctx;

  if (cb_http_body_dropped (req) || !cb_batch_relay_request (entry, req))
    cb_batch_serve_request (entry, req);
}

static void
on_ready (void *ctx, cb_http_req_t *req)
{
  const cb_batch_entry_t *entry = ctx;
  gboolean ready = entry->term_ms == 0 && entry->config != NULL &&
                   cb_batch_log_is_fresh (entry, READY_LOG_AGE_MS);

  cb_http_reply (req, ready && cb_platform_is_ready_check (req) ? 200 : 503,
                 "application/json", "{}", 2);
}

/* Sets the gauges of the job that has been idle longest on a fleet with room, one for
   each reason, and of the workers by state. */
static void
set_wait_gauges (cb_batch_entry_t *entry)
{
  const cb_batch_wait_t wait = cb_batch_wait (entry->batch);
  char label[64];

  for (int reason = CB_WAIT_NONE + 1; reason <= CB_WAIT_HELD; reason++)
    {
      g_snprintf (label, sizeof label, "reason=\"%s\"",
                  cb_batch_wait_reason_name ((cb_batch_wait_reason_t)reason));
      cb_counters_set (entry->counters, "idle_job_ms", label,
                       (int)wait.reason == reason ? (uint64_t)wait.idle_ms : 0);
    }
  cb_counters_set (entry->counters, "idle_jobs", NULL, wait.jobs);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"usable\"",
                   wait.workers_usable);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"silent\"",
                   wait.workers_silent);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"gone\"",
                   wait.workers_gone);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"draining\"",
                   wait.workers_draining);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"evacuated\"",
                   wait.workers_evacuated);
  cb_counters_set (entry->counters, "workers_by_state", "state=\"cold\"",
                   wait.workers_cold);
}

static void
on_metrics (void *ctx, cb_http_req_t *req)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_totals_t totals;

  cb_batch_totals (entry->batch, &totals);
  cb_counters_set (entry->counters, "jobs_open", NULL, totals.jobs);
  cb_counters_set (entry->counters, "jobs_waiting", NULL, totals.jobs_waiting);
  cb_counters_set (entry->counters, "tasks_waiting", NULL, totals.tasks_waiting);
  cb_counters_set (entry->counters, "tasks_running", NULL, totals.tasks_running);
  cb_counters_set (entry->counters, "workers", NULL, totals.workers);
  cb_counters_set (entry->counters, "accelerators", NULL, totals.accelerators);
  cb_counters_set (entry->counters, "accelerators_used", NULL,
                   totals.accelerators_used);
  cb_counters_set (entry->counters, "slow_workers", NULL, totals.slow_workers);
  cb_counters_set (entry->counters, "scheduler", NULL, entry->own_epoch != 0);
  cb_counters_set (entry->counters, "interfering_pairs", NULL,
                   cb_batch_interfering_pairs (entry->batch));
  set_wait_gauges (entry);
  cb_batch_server_gauges (entry->counters, entry->caller_server, CB_LISTENER_CALLERS);
  cb_batch_server_gauges (entry->counters, entry->ready_server, CB_LISTENER_READY);
  cb_batch_server_gauges (entry->counters, entry->metrics_server, CB_LISTENER_METRICS);
  cb_batch_reply_metrics (req, entry->counters, entry->store);
}

static int
listen_on (cb_batch_entry_t *entry, const char *address, cb_http_handler_t handler,
           cb_http_server_t **server)
{
  int err = address[0] == '\0'
                ? CB_OK
                : cb_http_listen (entry->loop, address, handler, entry, server);

  if (err < 0)
    cb_event_unlimited (CB_LOG_ERROR, "entry", "listen_failed", "address=%s err=%d",
                        address, err);
  return err;
}

/* Applies the limits of the settings and of the configuration in force. */
void
cb_batch_http_limit (cb_batch_entry_t *entry)
{
  cb_batch_limit_server (entry->caller_server, entry->settings, CB_LISTENER_CALLERS,
                         entry->config);
  cb_batch_limit_server (entry->ready_server, entry->settings, CB_LISTENER_READY,
                         entry->config);
  cb_batch_limit_server (entry->metrics_server, entry->settings, CB_LISTENER_METRICS,
                         entry->config);
}

/* Listens for callers, health checks and metrics; an empty address is skipped. Returns
   0 or an error of net/. */
int
cb_batch_http_listen (cb_batch_entry_t *entry)
{
  int err = listen_on (entry, entry->settings->caller_address, on_caller,
                       &entry->caller_server);

  if (err == CB_OK)
    err = listen_on (entry, entry->settings->ready_address, on_ready,
                     &entry->ready_server);
  if (err == CB_OK)
    err = listen_on (entry, entry->settings->metrics_address, on_metrics,
                     &entry->metrics_server);
  if (err == CB_OK)
    cb_batch_http_limit (entry);
  return err;
}
