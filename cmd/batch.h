/* Shared by the parts of `carobrun batch-entry`; batch_process.c also by the agent. */
#ifndef CB_CMD_BATCH_H
#define CB_CMD_BATCH_H

#include "batch/fns.h"
#include "cmd/fns.h"
#include "net/fns.h"
#include "platform/fns.h"

/* Stream of the records that all entries fold. */
#define CB_BATCH_STREAM "batch"
/* A scheduler that has not had the log confirmed for this long grants no leases; a new
   one waits for as long (TAKEOVER_GRANT_MS in batch/local.h). */
#define CB_GRANT_STALE_MS 4000
/* Records that were not sent, or not answered, within this time in ms are reported to
   their callers, who wait 3 s. */
#define CB_GIVE_UP_MS 2300

/* A connection to an agent, kept by the scheduler only. */
typedef struct
{
  char *agent;
  char *address;
  cb_wire_t *wire;
  cb_msec_t connected_ms;
  cb_msec_t heard_ms; /* last report */
  cb_msec_t sent_ms;
  struct cb_batch_entry *entry;
} cb_batch_link_t;

typedef struct cb_batch_read cb_batch_read_t;
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
  cb_http_server_t *callers;
  cb_http_server_t *ready;
  cb_http_server_t *metrics;
  cb_timer_t *timer;

  /* The log's tail. */
  cb_writer_t *writer;
  GHashTable *appends; /* tag -> append_t */
  uint64_t next_tag;
  uint64_t next; /* offset to read */
  gboolean snapshot_read;
  gboolean caught_up; /* has read to the end at least once */
  gboolean reading;
  cb_batch_read_t *read; /* under way; an answer to an earlier one is of no use */
  uint64_t known_end;    /* the log is known to have grown up to there */
  cb_timer_t *behind_timer;
  cb_msec_t read_ms;    /* when the last successful read was sent */
  cb_msec_t known_ms;   /* until then the log is known to have no newer record */
  cb_msec_t healthy_ms; /* since when reads have succeeded without a failure */
  gboolean healthy;
  cb_timer_t *read_timer;
  uint64_t saved_next; /* of the newest own snapshot */
  cb_msec_t saved_ms;
  gboolean saving;

  /* The configuration's tail. */
  uint64_t config_next; /* offset to read */
  gboolean config_listed;
  gboolean config_failed; /* the last read failed: the next one does not wait */
  cb_msec_t config_read_ms;
  cb_timer_t *config_timer;

  /* Scheduler. */
  uint64_t own_epoch; /* 0: not the scheduler */
  uint64_t claimed;   /* epoch that the last own claim replaces, plus 1 */
  cb_msec_t claim_ms;
  cb_msec_t append_ms; /* last record of the scheduler */
  GHashTable *links;   /* agent -> cb_batch_link_t */

  GHashTable *open_outcomes; /* job that may be stored -> since when, ms */
  gboolean asking;           /* a question to the advisor is under way */
  cb_msec_t ask_after_ms;    /* the next one not before */
  gboolean registered;       /* its address is in the log, or on the way */
  uint32_t relays;           /* requests passed on so far */
  GHashTable *avoided;       /* address of an entry -> when it may be asked again, ms */
  uint64_t
      relayed_version; /* newest configuration behind an answer that was passed on */

  cb_msec_t term_ms; /* 0: not asked to end */
} cb_batch_entry_t;

/* Result of an append: 0 or an error of logc/. RECORD is the one that was added. */
typedef void (*cb_batch_stored_t) (cb_batch_entry_t *entry, void *ctx, int err,
                                   const Cb__BatchRecord *record);

G_BEGIN_DECLS

/* batch_entry.c */
void cb_batch_pump (cb_batch_entry_t *entry);
cb_batch_t *cb_batch_new_state (const cb_batch_entry_t *entry);

/* batch_process.c */
cb_msec_t cb_batch_now (void);
gboolean cb_batch_term_requested (void);
void cb_batch_reload (const char *part);
Cb__BatchRecord *cb_batch_address_record (const char *name, const char *address,
                                          const char *identity);
void cb_batch_reply_metrics (cb_http_req_t *req, cb_counters_t *counters,
                             const cb_store_t *store);

/* batch_log.c */
void cb_batch_log_open (cb_batch_entry_t *entry);
void cb_batch_append (cb_batch_entry_t *entry, Cb__BatchRecord *record,
                      cb_batch_stored_t done, void *ctx);
gboolean cb_batch_log_fresh (const cb_batch_entry_t *entry, cb_msec_t age_ms);

/* batch_config.c */
void cb_batch_config_open (cb_batch_entry_t *entry);

/* batch_save.c */
void cb_batch_save_load (cb_batch_entry_t *entry, void (*done) (cb_batch_entry_t *));
void cb_batch_save_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);

/* batch_lead.c */
void cb_batch_lead_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);
void cb_batch_lead_check (cb_batch_entry_t *entry);
cb_msec_t cb_batch_lead_silent_in (const cb_batch_entry_t *entry, cb_msec_t now_ms);
void cb_batch_lead_resign (cb_batch_entry_t *entry);
void cb_batch_lead_close (cb_batch_entry_t *entry);

/* batch_advice.c */
void cb_batch_advice_tick (cb_batch_entry_t *entry, cb_msec_t now_ms);

/* batch_relay.c */
void cb_batch_relay_register (cb_batch_entry_t *entry);
gboolean cb_batch_relay (cb_batch_entry_t *entry, cb_http_req_t *req);

/* batch_http.c */
void cb_batch_serve (cb_batch_entry_t *entry, cb_http_req_t *req);
void cb_batch_leave_open (cb_batch_entry_t *entry, const char *id);
void cb_batch_answer (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                      const char *body, size_t len);
void cb_batch_refuse (cb_batch_entry_t *entry, cb_http_req_t *req, int status,
                      const char *reason, cb_msec_t retry_after_ms);
int cb_batch_http_open (cb_batch_entry_t *entry);

G_END_DECLS

#endif
