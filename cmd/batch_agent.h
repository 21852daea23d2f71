/* Types and functions that the files of `carobrun batch-agent` share. The agent runs
   beside a worker: it receives the worker's heartbeats and leaving message,
   executes the scheduler's commands on the worker and reports to the scheduler. The
   worker's lists, which a report contains, are those of its running tasks and of its
   ended ones. */
#ifndef CB_CMD_BATCH_AGENT_H
#define CB_CMD_BATCH_AGENT_H

#include "cmd/batch.h"

/* Pause before a call to the worker or a registration is repeated. */
#define CB_AGENT_RETRY_MS 150
/* An unchanged report is sent again after this time, unless the scheduler states
   another interval. */
#define CB_AGENT_REPORT_INTERVAL_MS 450
/* Timeout of a call for the worker's lists, beyond the wait that it asks for. */
#define CB_AGENT_CALL_TIMEOUT_MS 900
/* A row of the worker's lists that cannot be read holds back conclusions from the
   absence of other runs for this long. */
#define CB_AGENT_UNREAD_ROW_MAX_MS 6000

typedef struct cb_batch_agent
{
  Cb__PlatformSettings *settings;
  cb_loop_t *loop;
  cb_store_t *store;
  cb_http_server_t *control_server; /* heartbeats and leaving message of the worker */
  cb_http_server_t *metrics_server;
  cb_counters_t *counters;
  cb_wire_t *wire; /* connections from schedulers */
  cb_timer_t *tick_timer;
  char *scheduler;            /* its identity; NULL: none yet */
  uint64_t epoch;             /* newest epoch in commands */
  uint64_t fenced_epoch;      /* newest epoch that the worker refused */
  cb_msec_t last_commands_ms; /* when commands last arrived */
  cb_msec_t registration_ms;  /* when the last registration was sent; after a failed
                                 one, earlier, so that the next follows
                                 CB_AGENT_RETRY_MS after the failure */
  cb_msec_t registration_pause_ms; /* until the next registration */
  gboolean registering;

  GPtrArray *ended_workers; /* of ended_worker_t of batch_agent_worker.c, oldest first:
                               workers whose processes are known to have ended */
  char *worker_address;
  Cb__WorkerReport *report;     /* description and newest lists of the worker; no worker
                                   is known while the field `worker` is empty */
  uint64_t heartbeat_sequence;  /* of the newest heartbeat */
  cb_msec_t heartbeat_ms;       /* when it arrived */
  uint64_t lower_sequence;      /* of the last heartbeat that was ignored for its lower
                                   number since then; 0: none */
  cb_msec_t lower_since_ms;     /* since when such numbers have been rising */
  uint32_t announcements;       /* announced workers that are being asked */
  gboolean leaving;             /* notice that the worker ends; it may still respond */
  cb_http_req_t *leave_request; /* the notice, not answered yet; NULL: none */
  cb_msec_t leave_answer_ms;    /* when it is answered at the latest */
  uint32_t leave_stops;         /* calls under way that stop runs because of it */
  uint64_t leave_poll_number;   /* poll_number when the last of them ended */
  uint64_t lists_epoch;         /* epoch under which the lists were read; 0: none */
  uint64_t lists_poll_number;   /* poll_number of the call that returned the lists */
  GHashTable *shown_runs;       /* in the reports since the last one with all runs */
  cb_msec_t last_report_ms;     /* when a report was last sent */
  cb_msec_t last_full_ms;       /* when one with all runs was last sent */
  cb_msec_t report_interval_ms; /* at which unchanged reports are sent */
  size_t reported_running; /* length of report->running when apply_lists last sent it */
  uint64_t reported_end;   /* number of the newest end in that report */
  uint64_t read_end;       /* number of the newest end in the lists so far */
  gboolean ends_followed;  /* the worker has dropped no end after read_end */
  gboolean ends_missed;    /* it has dropped ends that the agent has not read */
  GArray *unread_ends;     /* of unread_end_t of batch_agent_unread.c: in the lists */
  uint64_t given_up_end;   /* number of the first of them that is not waited for any
                              more; 0: none */
  cb_msec_t running_unread_ms; /* since when a row of a running task could not be read;
                                  0: all could */
  gboolean running_given_up;   /* such a row is not waited for any more */
  char *last_worker;           /* id and start time of the worker before the present */
  uint64_t last_born_ms;       /* one; NULL: none */

  uint64_t lease_until_ms;   /* clock of the worker; 0: no lease */
  cb_msec_t lease_end_ms;    /* the same on the agent's clock, at the latest */
  cb_msec_t lists_asked_ms;  /* when the call was sent that returned the lists */
  cb_msec_t confirmed_ms;    /* when the latest call was sent to which the incarnation
                                that the agent has responded */
  uint64_t last_durable_end; /* readable ends up to this number are in the log */
  uint64_t acknowledged_end; /* the worker has been told to drop ends up to this one */
  GHashTable *commands;      /* key -> command_t of batch_agent_orders.c */
  GPtrArray *command_order;  /* of the same command_t, in the order of sending */
  uint32_t calls_under_way;  /* of commands */
  gboolean refusals_wait;    /* rejected starts were added to the report since the last
                                one */
  /* When a start was last withdrawn that a call without a reply may still execute; at
     first, when the process started, as an earlier one may have left such calls. */
  cb_msec_t unresolved_start_ms;
  gboolean poll_pending;        /* a call for the worker's lists is under way */
  uint64_t poll_epoch;          /* under which the latest such call was made */
  uint64_t poll_durable_end;    /* last_durable_end when it was made */
  gboolean worker_unreachable;  /* the last call for the lists failed */
  uint64_t poll_number;         /* of the latest such call */
  cb_msec_t poll_wait_ms;       /* for which the worker may hold its reply */
  uint64_t confirm_poll_number; /* starts wait for lists from a later call */
  uint64_t absent_poll_number;  /* poll_number when nobody listened at the worker's
                                   address, or the worker was another one */
  cb_msec_t poll_retry_ms;      /* earliest next call after a failed one */
  cb_msec_t term_ms;            /* when SIGTERM was noticed; 0: not yet */
} cb_batch_agent_t;

G_BEGIN_DECLS

/* batch_agent_orders.c */
void cb_batch_agent_commands_init (cb_batch_agent_t *agent);
void cb_batch_agent_drop_commands (cb_batch_agent_t *agent);
void cb_batch_agent_resolve_commands (cb_batch_agent_t *agent, uint64_t poll_number);
void cb_batch_agent_send_commands (cb_batch_agent_t *agent);
void cb_batch_agent_set_commands (cb_batch_agent_t *agent,
                                  const Cb__WorkerOrders *message);
void cb_batch_agent_stop_runs (cb_batch_agent_t *agent);

/* batch_agent_worker.c */
gboolean cb_batch_agent_has_worker (const cb_batch_agent_t *agent);
cb_worker_target_t cb_batch_agent_worker_target (const cb_batch_agent_t *agent);
void cb_batch_agent_count_call (cb_batch_agent_t *agent, const char *call, int err,
                                cb_msec_t took_ms);
void cb_batch_agent_send_report (cb_batch_agent_t *agent);
void cb_batch_agent_poll_worker (cb_batch_agent_t *agent);
void cb_batch_agent_confirm_worker (cb_batch_agent_t *agent, uint64_t poll_number);
void cb_batch_agent_forget_worker (cb_batch_agent_t *agent, const char *reason);
GPtrArray *cb_batch_agent_ended_workers_new (void);
void cb_batch_agent_drop_ended_worker (cb_batch_agent_t *agent, const char *worker);
void cb_batch_agent_forget_closed_worker (cb_batch_agent_t *agent, const char *reason);

/* batch_agent_unread.c */
void cb_batch_agent_unread_init (cb_batch_agent_t *agent);
void cb_batch_agent_forget_unread (cb_batch_agent_t *agent);
void cb_batch_agent_withhold_unread (cb_batch_agent_t *agent, Cb__WorkerReport *lists);

/* batch_agent_heartbeat.c */
void cb_batch_agent_on_control (void *ctx, cb_http_req_t *req);
void cb_batch_agent_answer_leave (cb_batch_agent_t *agent);

G_END_DECLS

#endif
