/* Shared by the files of `carobrun entry` only. */
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

/* Time after which a record that was not stored is given up, and after which a caller
   gets log_unavailable when its record was not folded. */
#define CB_ENTRY_GIVE_UP_MS 4000
#define CB_ENTRY_FOLD_MS 6000
/* After this time without an answer of the log, what needs a record is refused at once:
   in a long outage each caller would wait for CB_ENTRY_GIVE_UP_MS. */
#define CB_ENTRY_LOG_PATIENCE_MS CB_LOG_TIMEOUT_MS
/* Longest time with a known newer configuration before work is refused. A version is
   known from a peer's beat within the silence time of 3 s, and the sum stays within the
   11 s of invariant I8. */
#define CB_ENTRY_CONFIG_LAG_MS 8000
/* After this time, and again after each further one, the agents are sent to an entry
   that has the newer version; they take about 2 s to get it there. */
#define CB_ENTRY_CONFIG_MOVE_MS 3000

typedef enum
{
  CB_OWNER_CALLER, /* an HTTP request waits for the fold, or nobody does */
  CB_OWNER_SCHED,
  CB_OWNER_ROUTE,
  CB_OWNER_CLAIM,
} cb_owner_t;

/* A record that was given to the writer and has not been folded yet. */
typedef struct
{
  uint64_t tag;
  uint64_t sequence;
  cb_owner_t owner;
  uint64_t owner_tag;
  cb_http_req_t *req; /* NULL: nobody waits */
  gboolean acked;
  cb_msec_t added_ms;
} cb_append_t;

typedef struct cb_entry_views cb_entry_views_t;

typedef enum
{
  CB_FOLLOW_PEERS,  /* waits for a peer's snapshot */
  CB_FOLLOW_STORED, /* reads the log's snapshot stream */
  CB_FOLLOW_STATE,
} cb_follow_t;

typedef struct
{
  Cb__Settings *settings;
  uint64_t incarnation;
  char *producer;
  cb_loop_t *loop;
  cb_clock_t *clock;
  cb_trace_t *trace;
  cb_counters_t *counters;
  cb_timer_t *tick;
  uint32_t ticks;

  cb_ledger_t *ledger;
  cb_fleet_t *fleet; /* NULL: no configuration */
  cb_route_t *route;
  cb_sched_t *sched;
  cb_peers_t *peers;
  uint64_t epoch;        /* that this process schedules under; 0: none */
  gboolean claiming;     /* a claim was appended and not folded */
  GHashTable *scheduled; /* agent -> incarnation, as told to sched */
  gboolean flushing;

  cb_wire_t *router;
  GHashTable *dealers; /* entry -> cb_wire_t */
  GQueue mainframe;    /* of calls under way */

  cb_http_server_t *server;
  GHashTable *callers; /* id -> cb_http_req_t, requests of endpoints */
  uint64_t last_id;
  GQueue views; /* of cb_entry_views_t, listings that wait for schedulers */

  cb_logc_t *log;
  cb_writer_t *writer;
  cb_writer_t *snapshot_writer;
  GHashTable *appends;     /* tag -> cb_append_t, owns */
  GHashTable *by_sequence; /* sequence -> cb_append_t */
  cb_follow_t follow;
  gboolean caught_up;      /* was once as new as the log, or as a peer without it */
  gboolean has_peer_state; /* holds the state of a peer that had caught up */
  gboolean reading;
  gboolean log_available;
  cb_msec_t log_lost_ms; /* begin of the outage while it is not available */
  cb_msec_t read_due_ms;
  cb_msec_t read_backoff_ms;
  cb_msec_t peers_until_ms;         /* end of the wait for a peer's snapshot */
  uint64_t stored_from;             /* next offset of the snapshot stream */
  uint64_t stored_next;             /* end of that stream; 0: not known */
  uint64_t stored_skipped;          /* offset to go back to; 0: none */
  cb_snapshot_assembly_t *stored;   /* from the log */
  cb_snapshot_assembly_t *received; /* from peers */
  GBytes *newest_stored;
  cb_msec_t snapshot_due_ms;     /* of the next snapshot; 0: not the scheduler */
  uint64_t snapshot_next;        /* position of the last one this process has stored */
  uint64_t snapshot_writing;     /* position of the one being written */
  uint32_t snapshot_unconfirmed; /* its records without a result */
  gboolean snapshot_failed;      /* one of its records may not be stored */
  gboolean last_snapshot;        /* the one of the last entry's exit was begun */

  cb_msec_t config_stale_ms; /* a newer version is known since; 0: none */
  gboolean config_refuses;   /* work is refused because of it */
  cb_msec_t config_move_ms;  /* next time to send the agents away */

  gboolean draining;
  gboolean closing;        /* callbacks of sockets that are being closed do nothing */
  cb_msec_t rest_until_ms; /* end of the wait after the last caller's reply; 0: none */
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
cb_append_t *cb_entry_append (cb_entry_t *entry, Cb__Record *record, cb_owner_t owner,
                              uint64_t owner_tag, cb_http_req_t *req);
void cb_entry_append_for (cb_entry_t *entry, Cb__Record *record, cb_http_req_t *req);
void cb_entry_log_free (cb_entry_t *entry);
uint32_t cb_entry_waiting (const cb_entry_t *entry);

/* entry_fold.c */
void cb_entry_on_fold (void *ctx, uint64_t offset, uint32_t index,
                       const Cb__Record *record, int result);
void cb_entry_restored (cb_entry_t *entry);

/* entry_snapshot.c */
void cb_entry_request_snapshot (cb_entry_t *entry);
void cb_entry_on_snapshot_request (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_on_snapshot_chunk (cb_entry_t *entry, const Cb__SnapshotChunk *chunk);
int cb_entry_restore (cb_entry_t *entry, GBytes *snapshot);
void cb_entry_store_snapshot (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_store_last_snapshot (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_on_snapshot_written (void *ctx, uint64_t tag, int err, uint64_t offset);

/* entry_cell.c */
void cb_entry_new_sched (cb_entry_t *entry);
void cb_entry_tell_agents (cb_entry_t *entry);
void cb_entry_on_member (void *ctx, cb_member_event_t event, const char *name,
                         const Cb__AgentHome *agent);
void cb_entry_on_claim (cb_entry_t *entry, uint64_t offset, const Cb__Record *record);
void cb_entry_step_down (cb_entry_t *entry, const char *why);
void cb_entry_on_drain (cb_entry_t *entry, const char *instance);
void cb_entry_set_state (cb_entry_t *entry);

/* entry_http.c */
void cb_entry_on_http (void *ctx, cb_http_req_t *req);
void cb_entry_reply (cb_http_req_t *req, int status, const ProtobufCMessage *message);
void cb_entry_refuse (cb_entry_t *entry, cb_http_req_t *req, Cb__Reason reason,
                      Cb__Ran ran, const char *detail);
void cb_entry_reply_refusal (cb_http_req_t *req, Cb__Reason reason, Cb__Ran ran,
                             uint32_t retry_ms, const char *detail);
gboolean cb_entry_config_stale (const cb_entry_t *entry);
gboolean cb_entry_ready (cb_entry_t *entry, cb_http_req_t *req);
ProtobufCMessage *cb_entry_body (cb_entry_t *entry, cb_http_req_t *req,
                                 const ProtobufCMessageDescriptor *type);

/* entry_requests.c */
void cb_entry_post_request (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_request (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_delete_request (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_answer (cb_entry_t *entry, uint64_t id, const Cb__Answer *answer);
void cb_entry_call_mainframe (cb_entry_t *entry, uint64_t tag,
                              const Cb__Request *request);

/* entry_jobs.c */
void cb_entry_post_job (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_delete_job (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_job_folded (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
                          const Cb__Job *job, int result);
void cb_entry_cancel_folded (cb_entry_t *entry, cb_http_req_t *req,
                             const Cb__JobCancel *cancel, int result);

const Cb__JobStateEntry *cb_entry_find_job (cb_entry_t *entry, cb_http_req_t *req,
                                            const char *key);

/* entry_views.c */
Cb__JobView *cb_entry_job_view (const cb_entry_t *entry, const Cb__JobStateEntry *job);
void cb_entry_get_job (cb_entry_t *entry, cb_http_req_t *req, const char *key);
void cb_entry_list_jobs (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_on_jobs_query (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_on_jobs_found (cb_entry_t *entry, const Cb__Envelope *envelope);
void cb_entry_views_tick (cb_entry_t *entry, cb_msec_t now_ms);
void cb_entry_views_free (cb_entry_t *entry);

/* entry_config.c */
void cb_entry_post_config (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_config (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_config_folded (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
                             int result);
void cb_entry_set_fleet (cb_entry_t *entry);
void cb_entry_notify_agent (cb_entry_t *entry, const char *agent);
void cb_entry_post_drain (cb_entry_t *entry, cb_http_req_t *req, gboolean on);
void cb_entry_drain_folded (cb_entry_t *entry, cb_http_req_t *req, int result);

/* entry_status.c */
void cb_entry_get_status (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_get_metrics (cb_entry_t *entry, cb_http_req_t *req);
void cb_entry_register_counters (cb_entry_t *entry);

#endif
