/* The simulation behind a replay. Shared by the replay_*.c files only. */
#ifndef CB_CMD_REPLAY_LOCAL_H
#define CB_CMD_REPLAY_LOCAL_H

#include "cmd/replay.h"

#define CB_REPLAY_EPOCH 1 /* epoch of the scheduler during the whole replay */
/* Time after which the failure of a worker is reported to the scheduler. */
#define CB_WORKER_TIMEOUT_MS 3000

/* The simulated state of a job that the scheduler admitted. */
typedef struct
{
  const cb_trace_line_t *line;
  cb_msec_t submitted_ms;
  cb_msec_t remaining_run_ms;  /* from the last checkpoint on */
  uint32_t remaining_failures; /* attempts that still fail */
  uint32_t starts;
  gboolean has_run; /* a member was running at least once */
  gboolean ended;   /* the record of its end was applied */
} sim_job_t;

/* The reservation for the members of one attempt of a job on one instance. */
typedef struct
{
  sim_job_t *job;
  char *instance;
  uint32_t attempt;
  Cb__Reserve *reserve; /* copy of the scheduler's message */
  gboolean started, running;
  cb_msec_t running_ms; /* time at which its tasks began to run */
} reservation_t;

typedef enum
{
  EVENT_RESERVE_REPLY, /* the agent accepts a reservation */
  EVENT_TASK_RUNNING,
  EVENT_TASK_END,
  EVENT_APPENDED, /* the log confirms an append */
  EVENT_APPLIED,  /* the scheduler's entry applies the end of a job */
  EVENT_WORKER_TIMEOUT,
  EVENT_SYNC_REPORT, /* an agent answers Sync with its tasks */
} event_kind_t;

typedef struct
{
  cb_msec_t at_ms;
  uint64_t serial; /* orders the events of the same time */
  event_kind_t kind;
  Cb__Envelope *envelope;   /* RESERVE_REPLY */
  char *reservation_key;    /* TASK_RUNNING and TASK_END */
  Cb__TaskState task_state; /* TASK_END: the final state */
  gboolean checkpointed;    /* TASK_END: progress was saved */
  uint64_t tag;             /* APPENDED: tag of the append; APPLIED: Cb__JobState */
  char *instance;           /* WORKER_TIMEOUT and SYNC_REPORT */
  sim_job_t *job;           /* APPLIED */
} event_t;

typedef struct
{
  cb_sched_t *sched;
  cb_fleet_t *fleet;
  cb_replay_stats_t *stats;
  cb_msec_t now_ms;          /* virtual time */
  cb_msec_t active_until_ms; /* until then the scheduler is called every TICK_MS */
  uint64_t last_serial, last_offset;
  GSequence *events;          /* of event_t, by time */
  GHashTable *reservations;   /* "INSTANCE\nACCOUNT\nKEY\nATTEMPT" -> reservation_t */
  GHashTable *jobs;           /* "ACCOUNT\nKEY" -> sim_job_t */
  GHashTable *down_instances; /* set of names */
  uint32_t open_jobs;         /* admitted and not ended */
} replay_t;

/* replay_agent.c */
void cb_replay_event_free (void *item);
void cb_replay_reservation_free (void *item);
event_t *cb_replay_add_event (replay_t *r, cb_msec_t delay_ms, event_kind_t kind);
sim_job_t *cb_replay_find_job (const replay_t *r, const char *account, const char *key);
void cb_replay_handle_outputs (replay_t *r);
void cb_replay_handle_event (replay_t *r, const event_t *event);

#endif
