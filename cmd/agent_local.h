/* Types and functions that the files of `carobrun agent` share. An agent runs on an
   instance, beside its endpoint, which executes requests, and beside a worker, if the
   instance has one, which runs the tasks of jobs. It is connected to one entry, its
   home entry, which forwards messages between the agent and the other entries. */
#ifndef CB_CMD_AGENT_LOCAL_H
#define CB_CMD_AGENT_LOCAL_H

#include "gang/fns.h"
#include "member/fns.h"
#include "net/fns.h"
#include "serve/fns.h"

typedef struct cb_endpoint_adapter cb_endpoint_adapter_t;
typedef struct cb_worker_adapter cb_worker_adapter_t;

/* Adapter to the endpoint. */
typedef struct
{
  /* Sends one request. The adapter's cb_endpoint_done_t is called once for it. */
  void (*run_request) (cb_endpoint_adapter_t *endpoint, uint64_t tag,
                       const Cb__Request *request);
  /* Sets the port for later requests, as announced by the endpoint. */
  void (*set_port) (cb_endpoint_adapter_t *endpoint, uint16_t port);
  void (*free) (cb_endpoint_adapter_t *endpoint);
} cb_endpoint_ops_t;

struct cb_endpoint_adapter
{
  const cb_endpoint_ops_t *ops;
};

/* The request with TAG has ended. STATUS is the HTTP status of the answer. LEN is above
   CB_MAX_ANSWER_BYTES when the answer is too large; BODY is then not to be read. */
typedef void (*cb_endpoint_done_t) (void *ctx, uint64_t tag, cb_call_end_t end,
                                    uint32_t status, const void *body, size_t len);

/* Result of an action on TASK. */
typedef struct
{
  const Cb__Task *task;
  gboolean unreachable; /* no usable answer; the fields below are not set */
  gboolean missing;     /* the worker has no such task; the fields below are not set */
  Cb__TaskState state;
  gboolean checkpointed;
} cb_worker_result_t;

typedef void (*cb_worker_result_fn_t) (void *ctx, const cb_worker_result_t *result);
/* RUNNING is the number of tasks at the worker that have not ended, -1 without a valid
   answer. */
typedef void (*cb_worker_count_fn_t) (void *ctx, int running);

/* Adapter to the worker. */
typedef struct
{
  /* Requests ACTION (listed in gang/dat.h) on TASK, which is copied. JOB may be NULL.
     The adapter's cb_worker_result_fn_t is called once for it. */
  void (*run_action) (cb_worker_adapter_t *worker, const char *action,
                      const Cb__Task *task, const Cb__Job *job);
  /* Requests the number of tasks that have not ended; DONE is called once, when it is
     known or the call has failed. */
  void (*request_running_count) (cb_worker_adapter_t *worker,
                                 cb_worker_count_fn_t done);
  void (*free) (cb_worker_adapter_t *worker);
} cb_worker_ops_t;

struct cb_worker_adapter
{
  const cb_worker_ops_t *ops;
};

typedef struct
{
  Cb__Settings *settings;
  uint64_t incarnation; /* start of this process, wall clock in ms */
  const char *cell;
  cb_loop_t *loop;
  cb_signals_t *signals;
  cb_timer_t *timer;
  cb_trace_t *trace;
  cb_counters_t *counters;
  cb_http_server_t *server;
  cb_wire_t *home_wire;     /* connection to the home entry; NULL when it failed */
  uint32_t home_generation; /* of the home entry's connection, as in cb_home_entry */
  cb_wire_t *router;        /* for gang heartbeats; NULL without wire_address */
  GHashTable *leader_links; /* connections to agents that lead gangs, by instance */
  cb_home_t *home;
  cb_gang_t *gang;
  cb_serve_t *serve;
  cb_endpoint_adapter_t *endpoint;
  cb_worker_adapter_t *worker; /* NULL without worker_address */
  uint64_t config_version;     /* newest received; 0: none yet */
  cb_msec_t started_ms;
  gboolean ready; /* no task of an earlier agent process can still run at the worker */
  gboolean counting_tasks; /* the worker's answer to request_running_count is pending */
  cb_msec_t shutdown_ms;   /* start of the shutdown by a signal; 0: not yet */
  cb_msec_t goodbye_ms;    /* time at which the goodbye was sent; 0: not yet */
} cb_agent_t;

/* agent_endpoint.c, agent_worker.c */
cb_endpoint_adapter_t *cb_endpoint_adapter_new (cb_loop_t *loop, const char *address,
                                                cb_endpoint_done_t done, void *ctx);
cb_worker_adapter_t *cb_worker_adapter_new (cb_loop_t *loop, const char *address,
                                            cb_worker_result_fn_t done, void *ctx);

/* agent_wire.c */
void cb_agent_connect_home (cb_agent_t *agent);
void cb_agent_perform_outputs (cb_agent_t *agent);
void cb_agent_send (cb_agent_t *agent, Cb__Envelope *envelope);

/* agent_direct.c */
int cb_agent_listen_direct (cb_agent_t *agent);
void cb_agent_send_direct (cb_agent_t *agent, Cb__Envelope *envelope);
void cb_agent_close_unused_links (cb_agent_t *agent);
void cb_agent_close_direct (cb_agent_t *agent);

/* agent_http.c */
void cb_agent_handle_http (void *ctx, cb_http_req_t *req);

/* agent_stop.c */
void cb_agent_on_signal (void *ctx, int signo);
void cb_agent_check_shutdown (cb_agent_t *agent, cb_msec_t now_ms);

#endif
