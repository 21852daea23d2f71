#ifndef CB_GANG_FNS_H
#define CB_GANG_FNS_H

#include "base/fns.h"
#include "gang/dat.h"

G_BEGIN_DECLS

/* gang.c */
cb_gang_t *cb_gang_new (const cb_gang_params_t *params);
void cb_gang_free (cb_gang_t *gang);
cb_outq_t *cb_gang_outputs (cb_gang_t *gang);
void cb_gang_set_capacity (cb_gang_t *gang, uint32_t accelerators, uint32_t cores,
                           uint32_t memory_gb);
void cb_gang_receive (cb_gang_t *gang, const Cb__Envelope *envelope, cb_msec_t now_ms);
void cb_gang_receive_direct (cb_gang_t *gang, const Cb__Envelope *envelope,
                             cb_msec_t now_ms);
void cb_gang_set_draining (cb_gang_t *gang, gboolean on);
void cb_gang_tick (cb_gang_t *gang, cb_msec_t now_ms);
uint32_t cb_gang_task_count (const cb_gang_t *gang);
uint64_t cb_gang_epoch (const cb_gang_t *gang);
const Cb__Job *cb_gang_started_job (const cb_gang_t *gang, const char *account,
                                    const char *job_key, uint32_t attempt);

/* link.c */
const char *cb_gang_direct_link (const cb_gang_t *gang, const char *instance,
                                 uint32_t *generation);
void cb_gang_set_address (cb_gang_t *gang, const char *address);

/* worker.c */
void cb_gang_handle_task_status (cb_gang_t *gang, const char *account,
                                 const char *job_key, uint32_t attempt, uint32_t member,
                                 Cb__TaskState state, gboolean checkpointed,
                                 cb_msec_t now_ms);
void cb_gang_handle_missing_task (cb_gang_t *gang, const char *account,
                                  const char *job_key, uint32_t attempt,
                                  uint32_t member, cb_msec_t now_ms);
void cb_gang_worker_unreachable (cb_gang_t *gang, cb_msec_t now_ms);

G_END_DECLS

#endif
