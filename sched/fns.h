#ifndef CB_SCHED_FNS_H
#define CB_SCHED_FNS_H

#include "base/fns.h"
#include "fleet/fns.h"
#include "sched/dat.h"

G_BEGIN_DECLS

/* Returns a scheduler without configuration and with epoch 0, or NULL when the policy
   is unknown. */
cb_sched_t *cb_sched_new (const cb_sched_params_t *params);
void cb_sched_free (cb_sched_t *sched);
/* Returns the queue of messages, log records and events to be sent; owned by SCHED. */
cb_outq_t *cb_sched_outputs (cb_sched_t *sched);

/* Applies a configuration, of which it takes its own reference. */
void cb_sched_set_fleet (cb_sched_t *sched, cb_fleet_t *fleet, cb_msec_t now_ms);
/* An epoch is the term of one scheduler of the cell, numbered by a position in the log.
   With EPOCH above 0, this process schedules the cell from now on: it sends `sync` to
   the agents and places nothing on an agent before that agent has sent its full report.
   With 0, it stops scheduling and sends nothing more. */
void cb_sched_set_epoch (cb_sched_t *sched, uint64_t epoch, cb_msec_t now_ms);

/* Sets the wall clock time in ms from which nothing was received from the previous
   scheduler: it is taken not to have started jobs submitted later. 0: unknown. To be
   called before cb_sched_set_epoch. */
void cb_sched_set_predecessor_lost (cb_sched_t *sched, uint64_t lost_wall_ms);

/* Membership of agents that have workers, from member/. */
void cb_sched_agent_up (cb_sched_t *sched, const char *instance, uint64_t incarnation,
                        cb_msec_t now_ms);
void cb_sched_agent_down (cb_sched_t *sched, const char *instance, cb_msec_t now_ms);
void cb_sched_set_draining (cb_sched_t *sched, const char *instance, gboolean draining,
                            cb_msec_t now_ms);

/* Checks a new job against the configuration and the limit of the queue, regardless of
   the free capacity. Returns 0, or the CB_SCHED_ error for which it is refused. */
int cb_sched_admit (const cb_sched_t *sched, const Cb__Job *job);
/* Adds a job in the state that the log gives it. A job that is not repeatable and was
   started once is not started again. A job that has ended is ignored. Returns 0,
   CB_SCHED_EXISTS or, also when there is no configuration yet, CB_SCHED_INVALID. */
int cb_sched_job_add (cb_sched_t *sched, const Cb__JobStateEntry *job,
                      cb_msec_t now_ms);
/* To be called when the log holds a start of the job in ATTEMPT, by any scheduler.
   Ignored while this process schedules the cell, as it has a record of its own starts.
   */
void cb_sched_job_started (cb_sched_t *sched, const char *account, const char *key,
                           uint32_t attempt);
/* Ends a queued job and stops a placed one. A job that may already run for an earlier
   scheduler is canceled when the takeover is done. */
void cb_sched_job_cancel (cb_sched_t *sched, const char *account, const char *key,
                          cb_msec_t now_ms);
/* To be called when the log holds the end of the job. Stops the job if it is placed. */
void cb_sched_job_ended (cb_sched_t *sched, const char *account, const char *key,
                         cb_msec_t now_ms);

/* Handles reserve_reply, task_report, report and epoch_reject from agents; ignores
   other messages, and all but epoch_reject while this process does not schedule the
   cell. An epoch_reject with a newer epoch sets the epoch to 0. */
void cb_sched_receive (cb_sched_t *sched, const Cb__Envelope *envelope,
                       cb_msec_t now_ms);
/* Handles the result, 0 or a negative error, of the append that was queued with TAG. */
void cb_sched_appended (cb_sched_t *sched, uint64_t tag, int err, cb_msec_t now_ms);
/* Places jobs and handles timers that are due. To be called at least every 100 ms. */
void cb_sched_tick (cb_sched_t *sched, cb_msec_t now_ms);

/* Fills STATUS. Returns 0, or CB_SCHED_NOT_FOUND. */
int cb_sched_job_status (const cb_sched_t *sched, const char *account, const char *key,
                         cb_sched_job_status_t *status);
void cb_sched_totals (const cb_sched_t *sched, cb_sched_totals_t *totals);
/* Checks the invariants that hold between any two calls. Returns 0, or CB_SCHED_INVALID
   and in WHY, unless that is NULL, a text to be freed with g_free. Scans all jobs and
   workers: for tests and replay. */
int cb_sched_check (const cb_sched_t *sched, char **why);
/* Calls FN for each guaranteed shape with the COUNT instances it is pinned to; COUNT is
   0 while it fits nowhere. The arrays and names are valid during the call only. */
void cb_sched_each_pin (const cb_sched_t *sched,
                        void (*fn) (void *ctx, const char *account,
                                    uint32_t accelerators, const char *const *instances,
                                    uint32_t count),
                        void *ctx);

G_END_DECLS

#endif
