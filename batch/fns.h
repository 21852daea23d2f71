#ifndef CB_BATCH_FNS_H
#define CB_BATCH_FNS_H

#include "base/fns.h"
#include "batch/dat.h"

G_BEGIN_DECLS

/* config.c */
cb_batch_config_t *cb_batch_config_new (void);
cb_batch_queue_t *cb_batch_config_add_queue (cb_batch_config_t *config,
                                             const char *name);
cb_batch_account_t *cb_batch_config_add_account (cb_batch_config_t *config,
                                                 const char *name);
void cb_batch_config_ref (cb_batch_config_t *config);
void cb_batch_config_unref (cb_batch_config_t *config);
const cb_batch_queue_t *cb_batch_config_find_queue (const cb_batch_config_t *config,
                                                    const char *host, const char *path);
const cb_batch_account_t *cb_batch_config_find_account (const cb_batch_config_t *config,
                                                        const char *key);

/* state.c */
cb_batch_t *cb_batch_new (const cb_batch_params_t *params);
void cb_batch_free (cb_batch_t *batch);
void cb_batch_set_config (cb_batch_t *batch, cb_batch_config_t *config);
uint64_t cb_batch_epoch (const cb_batch_t *batch);
const char *cb_batch_scheduler (const cb_batch_t *batch);
const char *cb_batch_scheduler_address (const cb_batch_t *batch);
cb_msec_t cb_batch_scheduler_seen_ms (const cb_batch_t *batch);
cb_msec_t cb_batch_resigned_ms (const cb_batch_t *batch);
gboolean cb_batch_claim_rank (const cb_batch_t *batch, const char *name,
                              uint32_t *rank);
uint32_t cb_batch_entry_count (const cb_batch_t *batch);
cb_job_status_t cb_batch_job_status (const cb_batch_t *batch, const char *job);
uint32_t cb_batch_pending_jobs (const cb_batch_t *batch, const char *queue);
void cb_batch_totals (const cb_batch_t *batch, cb_batch_totals_t *totals);
void cb_batch_foreach_agent (const cb_batch_t *batch,
                             void (*fn) (void *ctx, const char *name,
                                         const char *address),
                             void *ctx);

void cb_batch_foreach_entry (const cb_batch_t *batch,
                             void (*fn) (void *ctx, const char *name,
                                         const char *address),
                             void *ctx);

/* fold.c */
void cb_batch_apply (cb_batch_t *batch, uint64_t offset, const Cb__BatchRecord *record,
                     cb_msec_t now_ms, cb_msec_t wall_ms);

/* leases.c */
cb_msec_t cb_batch_lease_span_ms (cb_msec_t hold_max_ms);

/* apart.c */
void cb_batch_ignore_interference (cb_batch_t *batch, gboolean ignored);
uint32_t cb_batch_interfering_pairs (const cb_batch_t *batch);

/* epochs.c: used by the scheduler only. */
uint64_t cb_batch_command_epoch (const cb_batch_t *batch, const char *agent);
gboolean cb_batch_is_command_epoch (const cb_batch_t *batch, const char *agent,
                                    uint64_t epoch);

/* runs.c */
GHashTable *cb_batch_listed_runs (const Cb__WorkerReport *report);
GHashTable *cb_batch_shown_runs_new (void);
gboolean cb_batch_report_may_be_partial (const Cb__WorkerReport *report);
Cb__WorkerReport *cb_batch_report_copy (const Cb__WorkerReport *report,
                                        GHashTable *shown, gboolean partial);

/* snapshot.c */
Cb__BatchSnapshot *cb_batch_save_snapshot (const cb_batch_t *batch,
                                           uint64_t next_offset, cb_msec_t now_ms);
void cb_batch_load_snapshot (cb_batch_t *batch, const Cb__BatchSnapshot *snapshot,
                             cb_msec_t now_ms, cb_msec_t wall_ms);

/* waits.c */
cb_batch_wait_t cb_batch_wait (const cb_batch_t *batch);
const char *cb_batch_wait_reason_name (cb_batch_wait_reason_t reason);

/* admit.c */
int cb_batch_admit (const cb_batch_t *batch, const Cb__BatchJob *job, cb_msec_t now_ms,
                    cb_msec_t *retry_after_ms);
void cb_batch_expect_tasks (cb_batch_t *b, uint64_t tasks);
uint64_t cb_batch_count_tasks (const Cb__BatchJob *job);

/* outage.c */
void cb_outage_note_answer (cb_outage_t *outage, cb_msec_t now_ms);
void cb_outage_note_failure (cb_outage_t *outage, cb_msec_t now_ms);
gboolean cb_outage_is_lost (const cb_outage_t *outage, cb_msec_t now_ms);
cb_msec_t cb_outage_retry_after_ms (const cb_outage_t *outage, const char *key,
                                    cb_msec_t now_ms);

/* lag.c */
void cb_lag_note (cb_lag_t *lag, cb_msec_t written_wall_ms, cb_msec_t wall_ms,
                  cb_msec_t now_ms);
cb_msec_t cb_lag_late_ms (const cb_lag_t *lag, cb_msec_t now_ms);
gboolean cb_lag_is_slow (const cb_lag_t *lag, cb_msec_t now_ms);

/* share.c */
void cb_batch_use_fair_queueing (cb_batch_t *batch, gboolean use);

/* claim.c */
cb_msec_t cb_claim_silence_ms (cb_msec_t call_ms);
cb_msec_t cb_claim_stagger_ms (uint32_t rank, cb_msec_t call_ms);
cb_msec_t cb_claim_retry_ms (cb_msec_t call_ms);

/* evacuate.c */
void cb_batch_set_evacuated (cb_batch_t *batch, const char *const *zones,
                             cb_msec_t now_ms);
void cb_batch_hold_starts (cb_batch_t *batch, gboolean hold);

/* advice.c */
void cb_batch_keep_advice (Cb__BatchJob *job, const cb_batch_queue_t *queue);
cb_batch_advice_request_t *cb_batch_pop_advice_request (cb_batch_t *batch);
void cb_batch_advice_request_free (cb_batch_advice_request_t *request);
cb_msec_t cb_batch_apply_advice (cb_batch_t *batch,
                                 const cb_batch_advice_request_t *request,
                                 const cb_batch_advice_t *advice, cb_msec_t sent_ms,
                                 cb_msec_t now_ms);

/* lead.c, report.c, orders.c: used by the scheduler only. */
void cb_batch_set_own_epoch (cb_batch_t *batch, uint64_t epoch, cb_msec_t now_ms);
void cb_batch_handle_report (cb_batch_t *batch, const char *agent,
                             const Cb__WorkerReport *report, cb_msec_t now_ms);
void cb_batch_tick (cb_batch_t *batch, cb_msec_t now_ms, cb_msec_t wall_ms);
void cb_batch_fill_heartbeat (const cb_batch_t *batch, Cb__BatchBeat *heartbeat);
Cb__BatchRecord *cb_batch_pop_record (cb_batch_t *batch);
void cb_batch_append_failed (cb_batch_t *batch, const Cb__BatchRecord *record,
                             gboolean too_large, cb_msec_t now_ms);
gboolean cb_batch_commands_changed (cb_batch_t *batch, const char *agent);
void cb_batch_foreach_changed (cb_batch_t *batch,
                               void (*fn) (void *ctx, const char *agent), void *ctx);
gboolean cb_batch_commands_due (const cb_batch_t *batch, const char *agent);
cb_msec_t cb_batch_report_interval_ms (const cb_batch_t *batch);
Cb__WorkerOrders *cb_batch_build_commands (cb_batch_t *batch, const char *agent,
                                           gboolean may_grant, cb_msec_t now_ms);

G_END_DECLS

#endif
