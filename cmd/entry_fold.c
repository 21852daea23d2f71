/* Effects of log records. Applying the records to the ledger in order gives the state
   of the entry (the fold of the log). After each record, except a duplicate, the
   router is notified; the scheduler and the configuration are updated if the record was
   accepted. If this process appended the record, the module or caller for which it did
   so is notified as well. */
#include "cmd/entry.h"

#include <string.h>

static void
trace_config (cb_entry_t *entry, uint64_t offset, const Cb__ConfigChange *change,
              int result)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);
  char *fields;

  if (result == CB_OK)
    fields = g_strdup_printf ("\"version\":%" G_GUINT64_FORMAT
                              ",\"base\":%" G_GUINT64_FORMAT,
                              offset, change->base_version);
  else
    fields = g_strdup_printf (
        "\"base\":%" G_GUINT64_FORMAT ",\"current\":%" G_GUINT64_FORMAT,
        change->base_version, config == NULL ? 0 : config->version);
  cb_trace_event (entry->trace, result == CB_OK ? "config_accepted" : "config_conflict",
                  fields);
  g_free (fields);
}

static void
trace_job_end (cb_entry_t *entry, const Cb__JobEnd *end)
{
  char *account = cb_json_quote (end->account);
  char *key = cb_json_quote (end->key);
  char *fields = g_strdup_printf (
      "\"account\":%s,\"key\":%s,\"state\":\"%s\",\"reason\":\"%s\"", account, key,
      cb_job_state_text (end->state), cb_reason_text (end->reason));

  cb_trace_event (entry->trace, "job_end", fields);
  g_free (fields);
  g_free (key);
  g_free (account);
}

static void
add_job (cb_entry_t *entry, const Cb__JobStateEntry *job)
{
  int err;

  if (strcmp (job->job->cell, entry->settings->cell) != 0)
    return;
  err = cb_sched_job_add (entry->sched, job, cb_entry_now (entry));
  if (err < 0 && err != CB_SCHED_EXISTS)
    cb_log (CB_LOG_WARN, "entry",
            "cannot schedule job %s of client account %s: error %d", job->job->key,
            job->job->account, err);
}

/* Updates the scheduler and the configuration after RECORD was applied at OFFSET. */
static void
apply_effects (cb_entry_t *entry, uint64_t offset, const Cb__Record *record)
{
  cb_msec_t now_ms = cb_entry_now (entry);

  switch (record->body_case)
    {
    case CB__RECORD__BODY_CONFIG:
      cb_entry_set_fleet (entry);
      break;
    case CB__RECORD__BODY_CELL_CLAIM:
      cb_entry_handle_claim (entry, offset, record);
      break;
    case CB__RECORD__BODY_JOB_SUBMIT:
      add_job (entry, cb_ledger_job (entry->ledger, record->job_submit->account,
                                     record->job_submit->key));
      break;
    case CB__RECORD__BODY_JOB_CANCEL:
      cb_sched_job_cancel (entry->sched, record->job_cancel->account,
                           record->job_cancel->key, now_ms);
      break;
    case CB__RECORD__BODY_JOB_START:
      cb_sched_job_started (entry->sched, record->job_start->account,
                            record->job_start->key, record->job_start->attempt);
      break;
    case CB__RECORD__BODY_JOB_END:
      trace_job_end (entry, record->job_end);
      cb_sched_job_ended (entry->sched, record->job_end->account, record->job_end->key,
                          now_ms);
      break;
    case CB__RECORD__BODY_DRAIN:
      cb_entry_update_draining (entry, record->drain->instance);
      break;
    default:
      break;
    }
}

static void
reply_caller (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
              const Cb__Record *record, int result)
{
  switch (record->body_case)
    {
    case CB__RECORD__BODY_CONFIG:
      cb_entry_reply_config_change (entry, req, offset, result);
      break;
    case CB__RECORD__BODY_JOB_SUBMIT:
      cb_entry_reply_job_submit (entry, req, offset, record->job_submit, result);
      break;
    case CB__RECORD__BODY_JOB_CANCEL:
      cb_entry_reply_job_cancel (entry, req, record->job_cancel, result);
      break;
    default:
      cb_entry_reply_drain (entry, req, result);
    }
}

/* Notifies the owner of the append of RECORD, and replies to its caller. The scheduler
   is notified here and not when the log has stored the record: a job_start of an epoch
   that has been replaced is stored, but not accepted. The router was notified when the
   log acknowledged the record, and is notified here only if no acknowledgement has
   arrived yet. */
static void
notify_owner (cb_entry_t *entry, uint64_t offset, const Cb__Record *record, int result)
{
  cb_pending_append_t *append =
      g_hash_table_lookup (entry->appends_by_sequence, &record->sequence);
  cb_msec_t now_ms = cb_entry_now (entry);

  if (append == NULL)
    return;
  if (append->owner == CB_OWNER_SCHED)
    cb_sched_appended (entry->sched, append->owner_tag, result, now_ms);
  if (append->owner == CB_OWNER_ROUTE && !append->acked)
    cb_route_appended (entry->route, append->owner_tag, CB_OK, now_ms);
  if (append->owner == CB_OWNER_CLAIM)
    entry->claim_pending = FALSE;
  if (append->req != NULL)
    reply_caller (entry, append->req, offset, record, result);
  g_hash_table_remove (entry->appends_by_sequence, &append->sequence);
  g_hash_table_remove (entry->pending_appends, &append->tag);
}

/* Observer of the ledger: called for each record that the ledger has handled. RESULT is
   CB_OK when the record was applied, otherwise the CB_LEDGER_ error for which it was
   not. */
void
cb_entry_on_record_applied (void *ctx, uint64_t offset, uint32_t index,
                            const Cb__Record *record, int result)
{
  cb_entry_t *entry = ctx;

  (void)index;
  cb_counters_add (entry->counters, "records_folded_total", NULL, 1);
  if (result == CB_LEDGER_DUPLICATE)
    return;
  if (record->body_case == CB__RECORD__BODY_CONFIG)
    trace_config (entry, offset, record->config, result);
  if (result == CB_OK)
    apply_effects (entry, offset, record);
  cb_route_record_applied (entry->route, offset, record, result, cb_entry_now (entry));
  if (strcmp (record->producer, entry->producer) == 0)
    notify_owner (entry, offset, record, result);
}

static void
add_open_job (void *ctx, const Cb__JobStateEntry *job)
{
  if (job->state < CB__JOB_STATE__JOB_DONE)
    add_job (ctx, job);
}

/* Rebuilds the scheduler from the ledger and lets the router compare its requests with
   the ledger. Called after a snapshot has replaced the state, or when the state has
   caught up. Records of this process that the snapshot contains are not applied again:
   callers that wait for them get log_unavailable after CB_ENTRY_APPLY_TIMEOUT_MS. */
void
cb_entry_rebuild_from_ledger (cb_entry_t *entry)
{
  cb_entry_step_down (entry, "the scheduler is rebuilt from the ledger");
  cb_entry_recreate_sched (entry);
  cb_entry_set_fleet (entry);
  cb_ledger_each_job (entry->ledger, add_open_job, entry);
  cb_route_restored (entry->route, cb_entry_now (entry));
  cb_entry_update_peers_state (entry);
}
