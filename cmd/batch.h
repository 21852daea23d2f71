/* Types and functions that the files of `carobrun batch-entry` share. The agent,
   `carobrun batch-agent`, uses batch_process.c as well.

   An entry accepts requests about batch jobs from callers and applies the records of
   the log's batch stream, so that all entries have the same state. One entry at a time
   is the scheduler: it writes the starts and ends of tasks to the log and sends
   commands to the agents of the workers. With the commands it grants each worker a
   lease: the worker may run tasks until the lease ends. Entries agree on the scheduler
   through claim records; each that takes effect starts a new epoch with a higher
   number.

   Times in cb_msec_t are read from cb_batch_now_ms unless noted otherwise. */
#ifndef CB_CMD_BATCH_H
#define CB_CMD_BATCH_H

#include "batch/fns.h"
#include "cmd/fns.h"
#include "net/fns.h"
#include "platform/fns.h"

/* Log stream of the records that every entry applies. */
#define CB_BATCH_STREAM "batch"
/* A scheduler whose last successful log read is older than this grants no leases. A new
   scheduler assumes that its predecessor granted leases for up to the same time,
   TAKEOVER_GRANT_MS in batch/local.h. */
#define CB_GRANT_STALE_MS 4000
/* A record that the log has not confirmed within this time is reported as not stored or
   of unknown outcome. Callers wait 3 s for a reply. */
#define CB_APPEND_GIVE_UP_MS 2300

/* Connection from the scheduler to an agent. */
typedef struct
{
  char *agent;
  char *address;
  cb_wire_t *wire;            /* NULL: the address is invalid */
  cb_msec_t connected_ms;     /* when the connection was opened */
  cb_msec_t last_report_ms;   /* when the last report arrived; 0: none yet */
  cb_msec_t last_commands_ms; /* when commands were last sent */
  struct cb_batch_entry *entry;
} cb_batch_agent_link_t;

typedef struct cb_batch_log_read cb_batch_log_read_t;
typedef struct cb_batch_entry
{
  Cb__PlatformSettings *settings;
  cb_loop_t *loop;
  cb_clock_t *clock;
  cb_counters_t *counters;
  cb_store_t *store;
  cb_batch_t *batch;
  cb_batch_config_t *config; /* NULL: none read yet */
  char *identity;            /* name and start time; unique for each start */
  cb_http_server_t *caller_server;
  cb_http_server_t *ready_server; /* health checks of the load balancer */
  cb_http_server_t *metrics_server;
  cb_timer_t *tick_timer; /* one-shot, set again by each tick */

  /* Appending to and reading from the log. */
  cb_writer_t *writer;
  cb_timer_t *writer_timer; /* set while a tick of the writer is due at once */
  GHashTable *appends;      /* tag -> append_t of batch_log.c */
  uint64_t next_tag;
  uint64_t next_offset; /* of the next record to read */
  gboolean snapshot_read;
  gboolean caught_up; /* has read to the end at least once */
  gboolean reading;   /* a read of the log or of a snapshot is under way */
  cb_batch_log_read_t *pending_read; /* replies to earlier reads are ignored */
  uint64_t known_end_offset;         /* the log has all records before this offset */
  cb_timer_t *reread_timer;
  cb_msec_t last_read_ms;     /* when the last successful read was sent */
  cb_msec_t applied_until_ms; /* all records stored before this time are applied */
  cb_outage_t outage;
  cb_lag_t lag;
  cb_msec_t healthy_since_ms;   /* since when all reads have succeeded */
  gboolean healthy;             /* the last read succeeded */
  cb_timer_t *read_retry_timer; /* also of a read that is deferred */
  uint64_t snapshot_offset;     /* next_offset of the last snapshot written here */
  cb_msec_t snapshot_ended_ms;  /* when the last attempt to write one ended */
  gboolean writing_snapshot;
  gboolean snapshot_failed; /* the last attempt */

  /* Reading the operator's topic: its configuration and the evacuated zones. */
  uint64_t config_next_offset; /* of the next change to read */
  gboolean config_listed;      /* the current items have been read */
  gboolean config_read_failed; /* the last read failed: the next one does not wait */
  cb_msec_t config_read_ms;    /* when the last successful read was sent */
  cb_timer_t *config_retry_timer;
  GHashTable *zones;     /* name -> zone_t of batch_zones.c; NULL: no zone is known */
  uint64_t zone_lists;   /* lists of the current items that were begun */
  gboolean zones_listed; /* one has been read completely */
  gboolean starts_held;  /* as batch_zones.c last decided */

  /* Scheduler. */
  uint64_t own_epoch;             /* 0: not the scheduler */
  uint64_t claim_replaced_plus_1; /* epoch that the last own claim replaces, plus 1; 0:
                                     no claim yet */
  cb_msec_t claimed_ms;           /* when that claim was appended */
  cb_msec_t scheduler_append_ms;  /* when the log last took a record of this scheduler,
                                     or  a heartbeat was last sent */
  GHashTable *agent_links;        /* agent -> cb_batch_agent_link_t */
  cb_timer_t *pass_timer;         /* set while a pass of the scheduler is deferred */
  cb_msec_t pass_not_before_ms;   /* earliest next pass */
  cb_msec_t turn_ms;              /* when cb_batch_scheduler_tick last ran */
  cb_msec_t resumed_ms; /* when the event loop last went on after a long delay */

  GQueue pending_cancels;   /* of pending_cancel_t of batch_http.c */
  uint64_t appending_tasks; /* of admitted jobs whose records have no result yet */
  GQueue stored_tasks;      /* of stored_tasks_t of batch_http.c */
  GHashTable *unresolved_submissions; /* job that may be stored -> since when, ms */
  gboolean advice_pending;            /* a call to the advisor is under way */
  cb_msec_t advice_not_before_ms;     /* earliest next call to the advisor */
  gboolean address_registered; /* the record with the address is stored, or its append
                                  has no result yet */
  uint32_t relay_count;        /* requests sent to other entries */
  GHashTable *avoided_entries; /* address -> when requests may go there again, ms */
  uint64_t relayed_config_version; /* newest configuration of a relayed reply */

  cb_msec_t term_ms; /* when SIGTERM was noticed; 0: not yet */
} cb_batch_entry_t;

/* Reports the outcome of an append: ERR is 0 or an error of logc/. RECORD is the
   appended record, valid during the call. */
typedef void (*cb_batch_append_done_t) (cb_batch_entry_t *entry, void *ctx, int err,
                                        const Cb__BatchRecord *record);

G_BEGIN_DECLS

/* batch_entry.c */
void cb_batch_process_due (cb_batch_entry_t *entry);
cb_batch_t *cb_batch_new_state (const cb_batch_entry_t *entry);

/* batch_process.c */
cb_msec_t cb_batch_now_ms (void);
gboolean cb_batch_term_requested (void);
void cb_batch_reload_settings (const char *part);
Cb__BatchRecord *cb_batch_address_record (const char *name, const char *address,
                                          const char *identity, double cpu_share,
                                          uint64_t read_epoch);
void cb_batch_reply_metrics (cb_http_req_t *req, cb_counters_t *counters,
                             const cb_store_t *store);

/* batch_limits.c */
void cb_batch_limit_server (cb_http_server_t *server,
                            const Cb__PlatformSettings *settings,
                            cb_listener_t listener, const cb_batch_config_t *config);
void cb_batch_server_gauges (cb_counters_t *counters, const cb_http_server_t *server,
                             cb_listener_t listener);

/* batch_log.c */
void cb_batch_log_start (cb_batch_entry_t *entry);
void cb_batch_append (cb_batch_entry_t *entry, Cb__BatchRecord *record,
                      cb_batch_append_done_t done, void *ctx);
gboolean cb_batch_log_is_lost (const cb_batch_entry_t *entry);
cb_msec_t cb_batch_log_call_ms (const cb_batch_entry_t *entry);
void cb_batch_log_limit_waits (cb_batch_entry_t *entry);
gboolean cb_batch_log_is_fresh (const cb_batch_entry_t *entry, cb_msec_t age_ms);

/* batch_config.c */
void cb_batch_config_start (cb_batch_entry_t *entry);

/* batch_zones.c */
void cb_batch_zones_publish (const cb_batch_entry_t *entry);
void cb_batch_zones_apply (cb_batch_entry_t *entry, const cb_store_item_t *item,
                           gboolean listed);
void cb_batch_zones_begin_list (cb_batch_entry_t *entry);
void cb_batch_zones_end_list (cb_batch_entry_t *entry);
cb_msec_t cb_batch_zones_wait_ms (const cb_batch_entry_t *entry, cb_msec_t wait_ms);
void cb_batch_zones_check (cb_batch_entry_t *entry, cb_msec_t now_ms);

/* batch_save.c */
void cb_batch_fetch_snapshot (cb_batch_entry_t *entry,
                              void (*done) (cb_batch_entry_t *));
void cb_batch_snapshot_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);

/* batch_lead.c */
void cb_batch_scheduler_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);
void cb_batch_scheduler_check_role (cb_batch_entry_t *entry);
cb_msec_t cb_batch_scheduler_claim_delay_ms (const cb_batch_entry_t *entry,
                                             cb_msec_t now_ms);
void cb_batch_scheduler_resign (cb_batch_entry_t *entry);
void cb_batch_scheduler_step_down (cb_batch_entry_t *entry);

/* batch_advice.c */
void cb_batch_advice_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);

/* batch_relay.c */
void cb_batch_register_address (cb_batch_entry_t *entry);
gboolean cb_batch_relay_request (cb_batch_entry_t *entry, cb_http_req_t *req);

/* batch_http.c */
void cb_batch_serve_request (cb_batch_entry_t *entry, cb_http_req_t *req);
void cb_batch_answer_cancels (cb_batch_entry_t *entry, cb_msec_t now_ms);
void cb_batch_note_unresolved (cb_batch_entry_t *entry, const char *id);
void cb_batch_reply (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                     const char *body, size_t len);
void cb_batch_refuse (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                      const char *reason, cb_msec_t retry_after_ms);
void cb_batch_http_limit (cb_batch_entry_t *entry);
int cb_batch_http_listen (cb_batch_entry_t *entry);

G_END_DECLS

#endif
