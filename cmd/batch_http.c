#include "cmd/batch.h"

#include <string.h>

/* An answer that depends on the log's tail may be as old as this. */
#define VIEW_AGE_MS 2500
/* Without the log for this long, new work is refused at once. Before, it waits for the
   log within its own time, as most outages are shorter than a caller's retries. */
#define LOG_SILENT_MS 12000
/* An entry that has not read the log or the configuration for this long is not ready.
 */
#define READY_AGE_MS 3000
/* When a caller whose request met an outage should come back. */
#define OUTAGE_RETRY_MS 1000
/* The outcome of a submission that had no definite answer is open for this long, longer
   than a caller asks again; the append is repeated until the store answers. */
#define OPEN_OUTCOME_MS 60000

/* Answers a caller's request with LEN bytes of JSON and counts how long it took. */
void
cb_batch_answer (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
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
  cb_batch_answer (entry, req, status, text, strlen (text));
}

/* Answers with STATUS and a reason. RETRY_AFTER_MS above 0 is rounded up to the seconds
   of the header. */
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
                      cb_batch_now () - entry->read_ms);
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

static void
log_stored (cb_batch_entry_t *entry, const Cb__BatchRecord *record)
{
  const Cb__BatchJob *job = record->submit;

  if (record->body_case == CB__BATCH_RECORD__BODY_CANCEL)
    {
      cb_counters_add (entry->counters, "jobs_canceled_total", NULL, 1);
      cb_event (CB_LOG_INFO, "entry", "cancel_accepted", "job=%s", record->cancel->job);
      return;
    }
  cb_counters_add (entry->counters, "jobs_accepted_total", NULL, 1);
  cb_event (CB_LOG_INFO, "entry", "accepted",
            "job=%s queue=%s account=%s priority=%u steps=%zu tasks=%u cpu_milli=%u "
            "accelerators=%u gang=%d same_rack=%d saves=%d estimate_ms=%u",
            job->id, job->queue, job->account, job->priority, job->n_steps,
            job->steps[0]->count, job->steps[0]->cpu_milli, job->steps[0]->accelerators,
            job->steps[0]->gang, job->steps[0]->same_rack, job->steps[0]->saves,
            job->steps[0]->estimate_ms);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  const cb_msec_t *since_ms = value;
  const cb_msec_t *now_ms = data;

  (void)key;
  return *now_ms - *since_ms > OPEN_OUTCOME_MS;
}

/* Remembers that job ID may be stored although its caller was not told so. */
void
cb_batch_leave_open (cb_batch_entry_t *entry, const char *id)
{
  cb_msec_t now_ms = cb_batch_now ();
  cb_msec_t *since_ms = g_new (cb_msec_t, 1);

  g_hash_table_foreach_remove (entry->open_outcomes, is_old, &now_ms);
  *since_ms = now_ms;
  g_hash_table_replace (entry->open_outcomes, g_strdup (id), since_ms);
}

/* Refuses a call about job ID of which nothing is known, when that may be wrong: the
   log is behind, or a submission may be stored. Returns FALSE when there is no such
   job. */
static gboolean
refuse_unknown (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  if (!cb_batch_log_fresh (entry, VIEW_AGE_MS))
    cb_batch_refuse (entry, req, 503, "view_stale", OUTAGE_RETRY_MS);
  else if (g_hash_table_contains (entry->open_outcomes, id))
    cb_batch_refuse (entry, req, 503, "earlier_outcome_unknown", OUTAGE_RETRY_MS);
  else
    return FALSE;
  return TRUE;
}

/* Refuses a submission that is not stored. While an earlier one of the same job may
   still be, no answer may say that the job does not run. */
static void
refuse_job (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id, int status,
            const char *reason, cb_msec_t retry_after_ms)
{
  if (g_hash_table_contains (entry->open_outcomes, id))
    cb_batch_refuse (entry, req, 504, "earlier_outcome_unknown", 0);
  else
    cb_batch_refuse (entry, req, status, reason, retry_after_ms);
}

static void
on_stored (cb_batch_entry_t *entry, void *ctx, int err, const Cb__BatchRecord *record)
{
  cb_http_req_t *req = ctx;

  if (err == CB_OK)
    {
      log_stored (entry, record);
      reply_json (entry, req, 200, "{}");
    }
  else if (err == CB_LOGC_UNAVAILABLE)
    cb_batch_refuse (entry, req, 504, "store_answer_unknown", 0);
  else
    cb_batch_refuse (entry, req, 503, "store_unavailable", OUTAGE_RETRY_MS);
}

static void
on_submitted (cb_batch_entry_t *entry, void *ctx, int err,
              const Cb__BatchRecord *record)
{
  const char *id = record->submit->id;

  if (err == CB_OK)
    g_hash_table_remove (entry->open_outcomes, id);
  else if (err == CB_LOGC_UNAVAILABLE)
    cb_batch_leave_open (entry, id);
  if (err == CB_OK || err == CB_LOGC_UNAVAILABLE)
    on_stored (entry, ctx, err, record);
  else
    refuse_job (entry, ctx, id, 503, "store_unavailable", OUTAGE_RETRY_MS);
}

static const char *
admit_reason (int err)
{
  if (err == CB_BATCH_NEVER_FITS)
    return "never_fits";
  return err == CB_BATCH_OVERLOADED ? "overloaded" : "invalid_job";
}

static void
submit (cb_batch_entry_t *entry, cb_http_req_t *req, const cb_batch_queue_t *queue,
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
  if (!cb_batch_log_fresh (entry, LOG_SILENT_MS))
    {
      refuse_job (entry, req, id, 503, "store_unavailable", OUTAGE_RETRY_MS);
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
  job->accepted_ms = (uint64_t)cb_clock_wall (entry->clock);
  err = cb_batch_admit (entry->batch, job, &retry_after_ms);
  if (err < 0)
    {
      cb_msg_free (job);
      refuse_job (entry, req, id, err == CB_BATCH_INVALID ? 400 : 429,
                  admit_reason (err), retry_after_ms);
      return;
    }
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->body_case = CB__BATCH_RECORD__BODY_SUBMIT;
  record->submit = job;
  cb_batch_append (entry, record, on_submitted, req);
  cb_batch_pump (entry);
}

static void
cancel (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  Cb__BatchRecord *record;
  cb_job_status_t status = cb_batch_job_status (entry->batch, id);

  if (status == CB_JOB_UNKNOWN && refuse_unknown (entry, req, id))
    return;
  if (status == CB_JOB_UNKNOWN)
    {
      reply_json (entry, req, 410, "{}");
      return;
    }
  if (status == CB_JOB_CANCELED)
    {
      reply_json (entry, req, 200, "{}");
      return;
    }
  record = cb_msg_new (&cb__batch_record__descriptor);
  record->body_case = CB__BATCH_RECORD__BODY_CANCEL;
  record->cancel = cb_msg_new (&cb__batch_cancel__descriptor);
  cb_msg_set_string (&record->cancel->job, id);
  cb_batch_append (entry, record, on_stored, req);
  cb_batch_pump (entry);
}

static void
show (cb_batch_entry_t *entry, cb_http_req_t *req, const char *id)
{
  cb_job_status_t status = cb_batch_job_status (entry->batch, id);
  char *text;

  if (status == CB_JOB_UNKNOWN && refuse_unknown (entry, req, id))
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

/* Answers a caller's request by what this entry knows. */
void
cb_batch_serve (cb_batch_entry_t *entry, cb_http_req_t *req)
{
  const char *method = cb_http_method (req);
  const cb_batch_queue_t *queue;
  const cb_batch_account_t *account;
  const char *id;

  if (entry->config == NULL)
    {
      cb_batch_refuse (entry, req, 503, "no_config", OUTAGE_RETRY_MS);
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
    show (entry, req, id);
  else if (strcmp (method, "DELETE") == 0)
    cancel (entry, req, id);
  else if (strcmp (method, "POST") == 0)
    submit (entry, req, queue, account, id);
  else
    cb_batch_refuse (entry, req, 405, "unknown_method", 0);
}

static void
on_caller (void *ctx, cb_http_req_t *req)
{
  cb_batch_entry_t *entry = ctx;

  if (!cb_batch_relay (entry, req))
    cb_batch_serve (entry, req);
}

static void
on_ready (void *ctx, cb_http_req_t *req)
{
  const cb_batch_entry_t *entry = ctx;
  gboolean ready = entry->term_ms == 0 && entry->config != NULL &&
                   cb_batch_log_fresh (entry, READY_AGE_MS);

  cb_http_reply (req, ready && cb_platform_is_ready_check (req) ? 200 : 503,
                 "application/json", "{}", 2);
}

static void
on_metrics (void *ctx, cb_http_req_t *req)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_totals_t sums;

  cb_batch_totals (entry->batch, &sums);
  cb_counters_set (entry->counters, "jobs_open", NULL, sums.jobs);
  cb_counters_set (entry->counters, "jobs_waiting", NULL, sums.jobs_waiting);
  cb_counters_set (entry->counters, "tasks_waiting", NULL, sums.tasks_waiting);
  cb_counters_set (entry->counters, "tasks_running", NULL, sums.tasks_running);
  cb_counters_set (entry->counters, "workers", NULL, sums.workers);
  cb_counters_set (entry->counters, "accelerators", NULL, sums.accelerators);
  cb_counters_set (entry->counters, "accelerators_used", NULL, sums.accelerators_used);
  cb_counters_set (entry->counters, "scheduler", NULL, entry->own_epoch != 0);
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

/* Listens for callers, health checks and metrics. Returns 0 or an error of net/. */
int
cb_batch_http_open (cb_batch_entry_t *entry)
{
  int err =
      listen_on (entry, entry->settings->caller_address, on_caller, &entry->callers);

  if (err == CB_OK)
    err = listen_on (entry, entry->settings->ready_address, on_ready, &entry->ready);
  if (err == CB_OK)
    err = listen_on (entry, entry->settings->metrics_address, on_metrics,
                     &entry->metrics);
  return err;
}
