/* Types and functions that the files of `carobrun entry` share. An entry is the HTTP
   interface for callers and operators and a candidate for scheduler of its cell. A cell
   is the part of the fleet, by default a region, whose jobs one entry at a time
   schedules. An entry becomes the scheduler by a claim, a log record. One event loop
   drives the modules that do no I/O (member/, sched/, route/, ledger/); the files of
   the entry perform their outputs and pass log records, messages and HTTP requests to
   them. All state that entries share comes from the log: an entry builds it by applying
   the records to its ledger in order. */
#ifndef CB_CMD_ENTRY_H
#define CB_CMD_ENTRY_H

#include "cmd/fns.h"
#include "codec/fns.h"
#include "fleet/fns.h"
#include "ledger/fns.h"
#include "logc/fns.h"
#include "member/fns.h"
#include "net/fns.h"
#include "route/fns.h"
#include "sched/fns.h"

/* Time for the log to acknowledge a record. After that the writer reports the append as
   failed. */
#define CB_ENTRY_APPEND_TIMEOUT_MS 4000
/* Time after which a caller gets log_unavailable when its record has not been applied
   to the ledger. */
#define CB_ENTRY_APPLY_TIMEOUT_MS 6000
/* Once the log has been unavailable for this long, calls that need a record are refused
   at once. Otherwise each caller would wait for CB_ENTRY_APPEND_TIMEOUT_MS during a
   long outage. */
#define CB_ENTRY_LOG_TIMEOUT_MS CB_LOG_TIMEOUT_MS
/* Work is refused when a newer configuration has been known for longer than this and
   was not applied. A peer's heartbeat makes a version known within the silence time of
   3 s. The sum stays within 11 s, the bound of invariant I8 (verify/config.c). */
#define CB_ENTRY_CONFIG_LAG_MAX_MS 8000
/* While a newer configuration is known but not applied, the agents of this entry are
   sent to other entries at this interval. They receive the newer version there within
   about 2 s. */
#define CB_ENTRY_MOVE_AGENTS_INTERVAL_MS 3000

/* What is notified of the result of an append. */
typedef enum
{
  CB_OWNER_CALLER, /* the caller of `req`; nobody if `req` is NULL */
  CB_OWNER_SCHED,
  CB_OWNER_ROUTE,
  CB_OWNER_CLAIM, /* the claim of the cell by this process */
} cb_append_owner_t;

/* A record that was passed to the writer and has not been applied to the ledger yet. */
typedef struct
{
  uint64_t tag;      /* of the append, passed to the writer */
  uint64_t sequence; /* of the record, set by the writer */
  cb_append_owner_t owner;
  uint64_t owner_tag; /* passed to the owner with the result */
  cb_http_req_t *req; /* NULL: no caller waits */
  gboolean acked;     /* the log has stored the record */
  cb_msec_t added_ms;
} cb_pending_append_t;

typedef struct cb_entry_listing cb_entry_listing_t;

/* What the reader of the log does next. */
typedef enum
{
  CB_READER_WAIT_FOR_PEER,  /* wait for a peer's snapshot */
  CB_READER_READ_SNAPSHOTS, /* read the log's snapshot stream */
  CB_READER_READ_STATE,     /* read the log's state stream */
} cb_reader_state_t;

typedef struct
{
  Cb__Settings *settings;
  uint64_t incarnation; /* start of this process, wall clock in ms */
  char *producer;       /* NAME/INCARNATION, this process in the log's records */
  cb_loop_t *loop;
  cb_clock_t *clock;
  cb_trace_t *trace;
  cb_counters_t *counters;
  cb_timer_t *tick_timer;
  uint32_t tick_count;

  cb_ledger_t *ledger;
  cb_fleet_t *fleet; /* NULL: no configuration */
  cb_route_t *route;
  cb_sched_t *sched;
  cb_peers_t *peers;
  uint64_t epoch;           /* offset of the claim by which this process schedules its
                               cell; 0: it does not */
  gboolean claim_pending;   /* a claim was appended and has not been applied */
  GHashTable *sched_agents; /* agent -> incarnation, those that are up in `sched` */
  gboolean flushing;        /* cb_entry_flush is running */

  cb_wire_t *router;      /* socket that agents and other entries connect to */
  GHashTable *dealers;    /* entry -> cb_wire_t, connections to other entries */
  GQueue mainframe_calls; /* of mainframe_call_t of entry_requests.c, in progress */

  cb_http_server_t *server;
  GHashTable *request_callers; /* id -> cb_http_req_t, callers that wait for `route` */
  uint64_t last_id;
  GQueue listings; /* of cb_entry_listing_t, oldest first; wait for schedulers */

  cb_logc_t *log;
  cb_writer_t *writer; /* of the state stream */
  cb_writer_t *snapshot_writer;
  GHashTable *pending_appends;     /* tag -> cb_pending_append_t, owns */
  GHashTable *appends_by_sequence; /* sequence -> cb_pending_append_t */
  cb_reader_state_t reader_state;
  gboolean caught_up; /* the state was once as new as the log, or, while the log was
                         unavailable, as a peer's */
  gboolean has_peer_state; /* holds the state of a peer that had caught up */
  gboolean read_pending;   /* a read of the log has not returned */
  gboolean log_available;
  cb_msec_t log_lost_since_ms; /* start of the outage, while the log is unavailable */
  cb_msec_t read_due_ms;       /* time of the next read after a failure; 0: now */
  cb_msec_t read_backoff_ms;
  cb_msec_t peer_snapshot_deadline_ms; /* end of the wait for a peer's snapshot */
  uint64_t snapshots_from;         /* next offset to read from the snapshot stream */
  uint64_t snapshots_end;          /* end of that stream; 0: unknown */
  uint64_t snapshots_skipped_from; /* offset to return to when no snapshot is found at
                                      the end of the stream; 0: none */
  cb_snapshot_assembly_t *log_assembly;  /* chunks from the log */
  cb_snapshot_assembly_t *peer_assembly; /* chunks from peers */
  GBytes *newest_snapshot;   /* newest complete snapshot that was read from the log */
  cb_msec_t snapshot_due_ms; /* of the next snapshot; 0: not the scheduler */
  uint64_t snapshot_stored_next;     /* next offset of the last snapshot stored by this
                                        process */
  uint64_t snapshot_writing_next;    /* next offset of the snapshot being written */
  uint32_t snapshot_pending_records; /* records of the snapshot being written that have
                                        no result yet */
  gboolean snapshot_failed;          /* one of the records of that snapshot may not be
                                        stored */
  gboolean exit_snapshot_begun;      /* see cb_entry_store_exit_snapshot */

  cb_msec_t newer_config_since_ms; /* when a newer version became known; 0: none */
  gboolean config_lag_exceeded;    /* newer_config_since_ms is too long ago: work is
                                      refused */
  cb_msec_t move_agents_due_ms;    /* next time to send the agents to other entries */

  gboolean draining;
  gboolean closing;            /* callbacks of sockets being closed do nothing */
  cb_msec_t drain_deadline_ms; /* end of the wait for unfinished work; 0: not set */
  cb_timer_t *exit_timer;
} cb_entry_t;

/* entry_out.c */
void cb_entry_flush (cb_entry_t *entry);
void cb_entry_send (cb_entry_t *entry, Cb__Envelope *envelope);
int cb_entry_connect (cb_entry_t *entry);
void cb_entry_redial (cb_entry_t *entry, const char *peer);
cb_msec_t cb_entry_now (const cb_entry_t *entry);

/* entry_log.c */
void cb_entry_log_start (cb_entry_t *entry);
void cb_entry_log_tick (cb_entry_t *entry, cb_msec_t now_ms);
cb_pending_append_t *cb_entry_append (cb_entry_t *entry, Cb__Record *record,
                                      cb_append_owner_t owner, uint64_t owner_tag,
                                      cb_http_req_t *req);
void cb_entry_append_for_caller (cb_entry_t *entry, Cb__Record *record,
                                 cb_http_req_t *req);
void cb_entry_log_free (cb_entry_t *entry);
uint32_t cb_entry_append_caller_count (const cb_entry_t *entry);

/* entry_fold.c */
void cb_entry_on_record_applied (void *ctx, uint64_t offset, uint32_t index,
                                 const Cb__Record *record, int result);
void cb_entry_rebuild_from_ledger (cb_entry_t *entry);

/* entry_snapshot.c */
void cb_entry_request_snapshot (cb_entry_t *entry);
void cb_entry_on_snapshot_request (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_on_snapshot_chunk (cb_entry_t *entry, const Cb__SnapshotChunk *chunk);
int cb_entry_restore (cb_entry_t *entry, GBytes *snapshot);
void cb_entry_store_due_snapshot (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_store_exit_snapshot (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_on_snapshot_written (void *ctx, uint64_t tag, int err, uint64_t offset);

/* entry_cell.c */
void cb_entry_recreate_sched (cb_entry_t *entry);
void cb_entry_update_sched_agents (cb_entry_t *entry);
void cb_entry_on_member (void *ctx, cb_member_event_t event, const char *name,
                         const Cb__AgentHome *agent);
void cb_entry_handle_claim (cb_entry_t *entry, uint64_t offset,
                            const Cb__Record *record);
void cb_entry_step_down (cb_entry_t *entry, const char *why);
void cb_entry_update_draining (cb_entry_t *entry, const char *instance);
void cb_entry_update_peers_state (cb_entry_t *entry);

/* entry_http.c */
void cb_entry_on_http (void *ctx, cb_http_req_t *req);
void cb_entry_reply (cb_http_req_t *req, int status, const ProtobufCMessage *message);
void cb_entry_refuse (cb_entry_t *entry, cb_http_req_t *req, Cb__Reason reason,
                      Cb__Ran ran, const char *detail);
void cb_entry_reply_refusal (cb_http_req_t *req, Cb__Reason reason, Cb__Ran ran,
                             uint32_t retry_ms, const char *detail);
gboolean cb_entry_config_stale (const cb_entry_t *entry);
gboolean cb_entry_check_ready (cb_entry_t *entry, cb_http_req_t *req);
ProtobufCMessage *cb_entry_parse_body (cb_entry_t *entry, cb_http_req_t *req,
                                       const ProtobufCMessageDescriptor *type);

/* entry_requests.c */
void cb_entry_post_request (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_request (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_delete_request (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_reply_answer (cb_entry_t *entry, uint64_t id, const Cb__Answer *answer);
void cb_entry_call_mainframe (cb_entry_t *entry, uint64_t tag,
                              const Cb__Request *request);

/* entry_jobs.c */
void cb_entry_post_job (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_delete_job (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_reply_job_submit (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
                                const Cb__Job *job, int result);
void cb_entry_reply_job_cancel (cb_entry_t *entry, cb_http_req_t *req,
                                const Cb__JobCancel *cancel, int result);

const Cb__JobStateEntry *cb_entry_find_job (cb_entry_t *entry, cb_http_req_t *req,
                                            const char *key);

/* entry_views.c */
Cb__JobView *cb_entry_job_view (const cb_entry_t *entry, const Cb__JobStateEntry *job);
void cb_entry_get_job (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_list_jobs (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_on_jobs_query (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_on_jobs_found (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_listings_tick (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_listings_free (cb_entry_t *entry);

/* entry_config.c */
void cb_entry_post_config (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_config (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_reply_config_change (cb_entry_t *entry, cb_http_req_t *req,
                                   uint64_t offset, int result);
void cb_entry_set_fleet (cb_entry_t *entry);
void cb_entry_notify_agent (cb_entry_t *entry, const char *agent);
void cb_entry_post_drain (cb_entry_t *entry, cb_http_req_t *req, gboolean on);
void cb_entry_reply_drain (cb_entry_t *entry, cb_http_req_t *req, int result);

/* entry_status.c */
void cb_entry_get_status (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_metrics (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_register_counters (cb_entry_t *entry);

#endif
