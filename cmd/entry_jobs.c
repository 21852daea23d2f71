/* Handlers of POST /v1/jobs and DELETE /v1/jobs/KEY; entry_views.c has those of GET. */
#include "cmd/entry.h"

#include <string.h>

static gboolean
is_urgent (const cb_entry_t *entry, const Cb__Job *job)
{
  const Cb__KindRule *kind =
      entry->fleet == NULL ? NULL : cb_fleet_kind (entry->fleet, job->kind);

  return job->urgent || (kind != NULL && kind->urgent);
}

static void
trace_submission (cb_entry_t *entry, const Cb__Job *job, uint64_t offset,
                  Cb__Reason reason)
{
  char *account = cb_json_quote (job->account);
  char *key = cb_json_quote (job->key);
  char *fields;

  if (reason == CB__REASON__REASON_NONE)
    fields =
        g_strdup_printf ("\"account\":%s,\"key\":%s,\"members\":%u,"
                         "\"accelerators\":%u,\"offset\":%" G_GUINT64_FORMAT
                         ",\"urgent\":%s,\"submitted_ms\":%" G_GUINT64_FORMAT,
                         account, key, job->members, job->accelerators, offset,
                         is_urgent (entry, job) ? "true" : "false", job->submitted_ms);
  else
    fields = g_strdup_printf ("\"account\":%s,\"key\":%s,\"reason\":\"%s\"", account,
                              key, cb_reason_text (reason));
  cb_trace_event (entry->trace,
                  reason == CB__REASON__REASON_NONE ? "job_accept" : "job_refuse",
                  fields);
  g_free (fields);
  g_free (key);
  g_free (account);
}

static void
refuse_job (cb_entry_t *entry, cb_http_req_t *req, const Cb__Job *job,
            Cb__Reason reason, const char *detail)
{
  trace_submission (entry, job, 0, reason);
  cb_entry_refuse (entry, req, reason, CB__RAN__RAN_NO, detail);
}

static void
reply_job_view (cb_entry_t *entry, cb_http_req_t *req, int status,
                const Cb__JobStateEntry *job)
{
  Cb__JobView *view = cb_entry_job_view (entry, job);

  cb_entry_reply (req, status, &view->base);
  cb_msg_free (view);
}

/* Checks with the scheduler of its cell whether JOB is admitted. For a cell other than
   this entry's, uses a temporary scheduler that has only the configuration. Returns 0
   or a CB_SCHED_ error. */
static int
check_admission (cb_entry_t *entry, const Cb__Job *job)
{
  cb_sched_params_t params = { .cell = job->cell, .entry = entry->settings->name };
  cb_sched_t *other;
  int err;

  if (strcmp (job->cell, entry->settings->cell) == 0)
    return cb_sched_admit (entry->sched, job);
  other = cb_sched_new (&params);
  cb_sched_set_fleet (other, entry->fleet, cb_entry_now (entry));
  err = cb_sched_admit (other, job);
  cb_sched_free (other);
  return err;
}

static Cb__Reason
admission_reason (int err)
{
  switch (err)
    {
    case CB_SCHED_NEVER_FITS:
      return CB__REASON__NEVER_FITS;
    case CB_SCHED_QUOTA:
      return CB__REASON__QUOTA_EXCEEDED;
    case CB_SCHED_QUEUE_FULL:
      return CB__REASON__QUEUE_FULL;
    default:
      return CB__REASON__BAD_REQUEST;
    }
}

/* Returns the error text when the number of members of JOB or of accelerators per
   member is out of range, otherwise NULL. Freed with g_free. */
static char *
out_of_range_detail (const Cb__Job *job)
{
  if (job->members == 0 || job->members > CB_JOB_MEMBERS_MAX)
    return g_strdup_printf ("members: %u is out of range; accepted: 1..%d",
                            job->members, CB_JOB_MEMBERS_MAX);
  if (job->accelerators > CB_JOB_ACCELERATORS_MAX)
    return g_strdup_printf ("accelerators: %u is out of range; accepted: 0..%d",
                            job->accelerators, CB_JOB_ACCELERATORS_MAX);
  return NULL;
}

/* Returns TRUE when JOB may be appended, FALSE after refusing REQ. */
static gboolean
check_job (cb_entry_t *entry, cb_http_req_t *req, const Cb__Job *job)
{
  const Cb__KindRule *kind = cb_fleet_kind (entry->fleet, job->kind);
  char *detail;
  int err;

  if (*job->key == '\0' || *job->account == '\0' || *job->kind == '\0')
    {
      refuse_job (entry, req, job, CB__REASON__BAD_REQUEST,
                  "key, account and kind are required");
      return FALSE;
    }
  if (!cb_fleet_has_client_account (entry->fleet, job->account))
    {
      refuse_job (entry, req, job, CB__REASON__UNKNOWN_ACCOUNT, job->account);
      return FALSE;
    }
  if (kind == NULL || !kind->job)
    {
      refuse_job (entry, req, job, CB__REASON__UNKNOWN_KIND,
                  kind == NULL ? job->kind : "the kind is for requests, not for jobs");
      return FALSE;
    }
  err = check_admission (entry, job);
  if (err == CB_OK)
    return TRUE;
  detail = out_of_range_detail (job);
  refuse_job (entry, req, job, admission_reason (err), detail);
  g_free (detail);
  return FALSE;
}

/* Answers a submission whose key is already in the ledger; nothing is appended then.
   Returns FALSE when the key is new. */
static gboolean
reply_if_known (cb_entry_t *entry, cb_http_req_t *req, const Cb__Job *job)
{
  const Cb__JobStateEntry *known =
      cb_ledger_job (entry->ledger, job->account, job->key);

  if (known == NULL)
    return FALSE;
  if (cb_ledger_jobs_equal (known->job, job))
    reply_job_view (entry, req, 202, known);
  else
    refuse_job (entry, req, job, CB__REASON__KEY_CONFLICT,
                "the key is used by another job");
  return TRUE;
}

/* POST /v1/jobs: answered with 202 once the record has been applied and accepted. */
void
cb_entry_post_job (cb_entry_t *entry, cb_http_req_t *req)
{
  Cb__Record *record;
  Cb__Job *job;

  if (!cb_entry_check_ready (entry, req))
    return;
  job = (Cb__Job *)cb_entry_parse_body (entry, req, &cb__job__descriptor);
  if (job == NULL)
    return;
  if (*job->cell == '\0')
    cb_msg_set_string (&job->cell, entry->settings->cell);
  if (reply_if_known (entry, req, job) || !check_job (entry, req, job))
    {
      cb_msg_free (job);
      return;
    }
  job->submitted_ms = (uint64_t)cb_clock_wall (entry->clock);
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_JOB_SUBMIT;
  record->job_submit = job;
  cb_entry_append_for_caller (entry, record, req);
}

/* Answers POST /v1/jobs after its record was applied at OFFSET with RESULT. */
void
cb_entry_reply_job_submit (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
                           const Cb__Job *job, int result)
{
  const Cb__JobStateEntry *known =
      cb_ledger_job (entry->ledger, job->account, job->key);

  if (result == CB_OK)
    trace_submission (entry, job, offset, CB__REASON__REASON_NONE);
  if ((result == CB_OK || result == CB_LEDGER_EXISTS) && known != NULL)
    reply_job_view (entry, req, 202, known);
  else if (result == CB_LEDGER_KEY_CONFLICT)
    refuse_job (entry, req, job, CB__REASON__KEY_CONFLICT,
                "the key is used by another job");
  else
    refuse_job (entry, req, job, CB__REASON__BAD_REQUEST,
                "the record of the job was not accepted");
}

/* Returns the job with KEY and the client account in the query of REQ, NULL after
   refusing REQ. */
const Cb__JobStateEntry *
cb_entry_find_job (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const char *account = cb_http_query (req, "account");
  const Cb__JobStateEntry *job;

  if (account == NULL || *account == '\0')
    {
      cb_entry_refuse (entry, req, CB__REASON__BAD_REQUEST, CB__RAN__RAN_NO,
                       "query parameter account is missing");
      return NULL;
    }
  job = cb_ledger_job (entry->ledger, account, key);
  if (job == NULL)
    cb_entry_refuse (entry, req, CB__REASON__NOT_FOUND, CB__RAN__RAN_UNKNOWN, NULL);
  return job;
}

/* DELETE /v1/jobs/KEY?account=A: answered with 202 once the cancel record has been
   applied. */
void
cb_entry_delete_job (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const Cb__JobStateEntry *job = cb_entry_find_job (entry, req, key);
  Cb__Record *record;

  if (job == NULL)
    return;
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_JOB_CANCEL;
  record->job_cancel = cb_msg_new (&cb__job_cancel__descriptor);
  cb_msg_set_string (&record->job_cancel->cell, job->job->cell);
  cb_msg_set_string (&record->job_cancel->key, job->job->key);
  cb_msg_set_string (&record->job_cancel->account, job->job->account);
  cb_entry_append_for_caller (entry, record, req);
}

/* Answers DELETE /v1/jobs/KEY after its record was applied with RESULT. */
void
cb_entry_reply_job_cancel (cb_entry_t *entry, cb_http_req_t *req,
                           const Cb__JobCancel *cancel, int result)
{
  const Cb__JobStateEntry *job =
      cb_ledger_job (entry->ledger, cancel->account, cancel->key);

  if (result == CB_OK && job != NULL)
    reply_job_view (entry, req, 202, job);
  else if (result == CB_LEDGER_ENDED)
    cb_entry_refuse (entry, req, CB__REASON__CONFLICT, CB__RAN__RAN_UNKNOWN,
                     "the job has already ended");
  else
    cb_entry_refuse (entry, req, CB__REASON__NOT_FOUND, CB__RAN__RAN_UNKNOWN, NULL);
}
