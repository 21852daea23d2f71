/* Shared by the parts of `carobrun batch-agent`. */
#ifndef CB_CMD_BATCH_AGENT_H
#define CB_CMD_BATCH_AGENT_H

#include "cmd/batch.h"

/* Pause after a call that failed, and between repeated orders. */
#define CB_AGENT_RETRY_MS 150
/* A report without news goes out at least this often. */
#define CB_AGENT_REPORT_MS 450

typedef struct cb_batch_agent
{
  Cb__PlatformSettings *settings;
  cb_loop_t *loop;
  cb_store_t *store;
  cb_http_server_t *control;
  cb_http_server_t *metrics;
  cb_counters_t *counters;
  cb_wire_t *wire;
  cb_timer_t *timer;
  char *peer; /* identity of the scheduler; NULL: none yet */
  uint64_t epoch;
  uint64_t fenced_epoch; /* the worker refused this epoch */
  cb_msec_t orders_ms;
  cb_msec_t registered_ms;
  gboolean registering;

  char *worker_address;
  Cb__WorkerReport *report; /* description and newest lists; worker empty: none */
  uint64_t sequence;        /* of the newest heartbeat */
  uint64_t lists_epoch;     /* under which the lists were read */
  cb_msec_t reported_ms;
  size_t reported_running;
  size_t reported_ended;

  uint64_t lease_until_ms;
  uint64_t last_seen;
  GHashTable *orders; /* key -> order_t of batch_agent_orders.c */
  gboolean holding;
  uint64_t holding_epoch; /* under which the call for the lists is made */
  gboolean unreachable;   /* the last call to the worker failed */
  uint64_t hold_number;
  cb_msec_t hold_retry_ms;
  cb_msec_t term_ms;
} cb_batch_agent_t;

G_BEGIN_DECLS

/* batch_agent_orders.c */
GHashTable *cb_batch_orders_new (void);
void cb_batch_agent_settle (cb_batch_agent_t *agent, uint64_t hold_number);
void cb_batch_agent_send_orders (cb_batch_agent_t *agent);
void cb_batch_agent_take_orders (cb_batch_agent_t *agent,
                                 const Cb__WorkerOrders *orders);

/* batch_agent_worker.c */
gboolean cb_batch_agent_has_worker (const cb_batch_agent_t *agent);
cb_worker_target_t cb_batch_agent_target (const cb_batch_agent_t *agent);
void cb_batch_agent_count (cb_batch_agent_t *agent, const char *call, int err,
                           cb_msec_t took_ms);
void cb_batch_agent_report (cb_batch_agent_t *agent);
void cb_batch_agent_hold (cb_batch_agent_t *agent);
void cb_batch_agent_control (void *ctx, cb_http_req_t *req);

G_END_DECLS

#endif
