/* Shared inside batch/ only. */
#ifndef CB_BATCH_LOCAL_H
#define CB_BATCH_LOCAL_H

#include "batch/fns.h"

typedef struct job job_t;
typedef struct worker worker_t;

typedef enum
{
  TASK_WAITING,
  TASK_STARTED, /* a run is in the log and has not ended */
  TASK_DONE,
  TASK_FAILED, /* all attempts failed */
} task_state_t;

typedef struct
{
  /* From the log. */
  task_state_t state;
  uint32_t run; /* latest */
  uint32_t failures;
  char *saved;          /* checkpoint, NULL: none */
  worker_t *worker;     /* of the latest run while STARTED */
  cb_msec_t started_ms; /* when the start was folded */
  uint32_t at;          /* position in worker->tasks */
  /* Of the scheduler only. */
  gboolean proposed_start; /* in a record that is not folded yet */
  gboolean proposed_end;
  gboolean seen;     /* a report showed the run */
  gboolean stop;     /* the run has to end */
  cb_msec_t stop_ms; /* since when */
  char *live_saved;  /* newest checkpoint that a report showed, NULL: none */
  uint32_t percent;
  uint32_t latency_ms;     /* tail of its response times, for a task with a target */
  cb_msec_t percent_ms;    /* when it last changed */
  cb_msec_t ending_ms;     /* since when it has seemed about to end; 0: it does not */
  const worker_t *planned; /* is being emptied for the task; only to be compared */
  cb_msec_t planned_ms;
  cb_msec_t not_before_ms;   /* after a start that was rejected */
  const worker_t *failed_on; /* of the latest failed run; only to be compared */
  cb_msec_t failed_ms;       /* when it ended */
  uint32_t stalls;           /* runs that were stopped because they stood still */
  /* Place. */
  job_t *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} task_t;

typedef struct
{
  task_t *tasks;
  uint32_t count;
  uint32_t waiting; /* tasks in TASK_WAITING */
  uint32_t started;
  uint32_t done;
  uint32_t gang_failures;
  uint32_t gang_failed_run;
  uint32_t waves; /* rounds that its tasks take in its share of the fleet; 0: unknown */
  uint64_t stopped_by_plan; /* number of the latest plan that would stop the gang */
  gboolean advised;         /* runs only where the advisor allows it */
  GHashTable *permits;      /* worker -> permit_t of advice.c; NULL: nothing asked */
} step_state_t;

typedef struct
{
  step_state_t *steps;
  uint32_t done_steps;
} occurrence_t;

struct job
{
  Cb__BatchJob *spec;
  uint32_t n_occurrences;
  occurrence_t *occurrences;
  gboolean canceled;
  gboolean failed;
  gboolean started;        /* a task has started */
  cb_msec_t folded_ms;     /* local clock */
  cb_msec_t ended_wall_ms; /* 0: open */
  uint32_t open_runs;      /* tasks in TASK_STARTED */
  cb_msec_t idle_ms;       /* since when nothing of it runs */
};

struct worker
{
  char *id;
  uint64_t born_ms;
  char *agent;
  char *service;
  char *zone;
  char *rack; /* second label; empty: unknown */
  char **labels;
  uint32_t cpu_milli; /* capacity */
  uint32_t memory_mb;
  uint32_t accelerators;
  GPtrArray *tasks; /* of task_t: started or proposed here */
  /* Of the scheduler only. */
  gboolean listed; /* it has given its lists in this epoch */
  gboolean draining;
  gboolean gone; /* ended, or another one took its place */
  /* Its next life under the same id: a call for this life may still be carried out
     there. NULL: none. */
  worker_t *successor;
  uint64_t clock_ms; /* its own clock at the last report */
  cb_msec_t drain_left_ms;
  cb_msec_t report_ms;     /* when its last lists came */
  cb_msec_t lease_over_ms; /* by then all leases that it was granted are over */
  uint64_t granted_clock_ms;
  uint64_t last_seen;
  GPtrArray *strays; /* of Cb__TaskRun: runs that it must stop */
  gboolean orders_changed;
  uint32_t fill_percent;    /* of their work that tasks that fill may do here */
  cb_msec_t paced_ms;       /* when it last changed */
  cb_msec_t calm_since_ms;  /* response times have been well below their targets */
  uint32_t failures_in_row; /* of runs that each started after the one before failed */
  cb_msec_t failed_ms;      /* when the latest of them ended */
  cb_msec_t aside_until_ms; /* it failed or stalled work lately */
};

/* How far a worker that failed or stalled work lately is trusted with more. */
typedef enum
{
  TRUST_FULL,
  TRUST_PROBE, /* one task at a time shows whether it is sound again */
  TRUST_NONE,
} trust_t;

/* Which rooms work may use. */
typedef enum
{
  REACH_SHARED, /* those that are not kept for more urgent work */
  REACH_KEPT,   /* kept ones too */
  REACH_ALL,    /* workers that are not trusted too */
} reach_t;

/* What a placement pass may still use of a worker. Below 0: more is promised to planned
   work than is free at present. */
typedef struct
{
  worker_t *worker;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t fill_milli; /* cpu that tasks that fill would use */
  trust_t trust;
  gboolean gang_probe; /* a gang may be the probe */
  uint32_t kept;       /* from work of this priority and higher numbers; 0: from none */
} room_t;

typedef struct
{
  char *name;
  char *address;
  gboolean entry;
} agent_t;

/* Run times of a queue's tasks, learned from ends. */
typedef struct
{
  double mean_ms; /* 0: nothing learned */
  uint32_t count;
} learned_t;

struct cb_batch
{
  cb_batch_params_t params;
  cb_batch_config_t *config;
  GHashTable *jobs;    /* id -> job_t */
  GQueue open;         /* of job_t without an end, in order of acceptance */
  GHashTable *workers; /* id/born -> worker_t */
  GHashTable *agents;  /* name -> agent_t */
  GHashTable *learned; /* queue -> learned_t */
  GHashTable *fleet;   /* service -> Cb__FleetSums, of the scheduler's newest beat */
  uint64_t epoch;      /* of the accepted claim; 0: none yet */
  char *scheduler;
  gboolean resigned;
  cb_msec_t scheduler_seen_ms;
  /* Of the scheduler only. */
  uint64_t own_epoch; /* 0: not the scheduler */
  cb_msec_t lead_ms;  /* since when */
  gboolean settled;   /* enough workers have reported since then */
  uint32_t expected_workers;
  GQueue records;      /* of Cb__BatchRecord, to be appended */
  double urgent_peak;  /* accelerators in use or wanted by urgent work, decayed */
  cb_msec_t urgent_ms; /* when it was updated */
  uint64_t plans;      /* made so far, also those that were not carried out */
  gboolean dirty;      /* something changed that placement depends on */
  cb_batch_question_t *question; /* to the advisor; NULL: none */
  cb_msec_t placed_ms;
};

/* Share of its work that a task that fills does where nothing slows it down. */
#define FULL_PERCENT 100

/* A run's lease on the worker's clock, which may be slow, and the time for a report to
   arrive: after hold_max x LEASE_SLACK + LEASE_MARGIN_MS it is over for sure.
   Source: the platform states clocks up to 2% slow. */
#define LEASE_SLACK 1.025
#define LEASE_MARGIN_MS 300
/* An earlier scheduler grants leases without a confirmation of the log for at most this
   long (CB_GRANT_STALE_MS of the entry). */
#define TAKEOVER_GRANT_MS 4000

G_BEGIN_DECLS

/* state.c */
job_t *find_job (const cb_batch_t *b, const char *id);
task_t *find_task (const cb_batch_t *b, const Cb__TaskRun *run);
const Cb__BatchStep *task_spec (const task_t *task);
step_state_t *task_step (const task_t *task);
gboolean job_open (const job_t *job);
cb_msec_t occurrence_due_ms (const job_t *job, uint32_t occurrence);
gboolean step_ready (const job_t *job, uint32_t occurrence, uint32_t step,
                     cb_msec_t wall_ms);
worker_t *get_worker (cb_batch_t *b, const char *id, uint64_t born_ms,
                      const char *agent);
void attach_task (worker_t *w, task_t *task);
void detach_task (task_t *task);
job_t *add_job (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms);
Cb__TaskRun *task_run_new (const task_t *task, uint32_t run);

/* lead.c */
void propose_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, const char *saved);
void start_tasks (cb_batch_t *b, task_t **tasks, worker_t **workers, uint32_t count,
                  cb_msec_t now_ms);
void stop_task (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why);

/* report.c */
cb_msec_t lease_over (const cb_batch_t *b, cb_msec_t granted_ms);

/* watch.c */
void watch_workers (cb_batch_t *b, cb_msec_t now_ms);

/* room.c */
GPtrArray *rooms_new (cb_batch_t *b, cb_msec_t now_ms);
gboolean room_fits (const room_t *room, const Cb__BatchStep *step);
uint32_t room_waves (const GPtrArray *rooms, const Cb__BatchStep *step);
void rooms_keep (GPtrArray *rooms);
double rooms_use (const GPtrArray *rooms);
void room_take (room_t *room, const Cb__BatchStep *step);
void room_give (room_t *room, const Cb__BatchStep *step);
gboolean room_suits (const worker_t *w, const task_t *task);
gboolean room_allows (const room_t *room, const task_t *task, uint32_t more);
gboolean fit_group (GPtrArray *rooms, task_t **tasks, uint32_t count, const char *rack,
                    reach_t reach, room_t **chosen);
gboolean fit_step (GPtrArray *rooms, task_t **tasks, uint32_t count, reach_t reach,
                   room_t **chosen);

/* trust.c */
void trust_failed (worker_t *w, task_t *task, cb_msec_t now_ms);
void trust_done (worker_t *w);
void trust_progress (worker_t *w, const task_t *task, cb_msec_t now_ms);
void trust_rooms (GPtrArray *rooms, cb_msec_t now_ms);
void trust_forget (const GPtrArray *rooms, task_t *task, cb_msec_t now_ms);
gboolean trust_allows (const room_t *room, const task_t *task);

/* reclaim.c */
gboolean account_guaranteed (const cb_batch_t *b, const job_t *job);
void note_ending (const cb_batch_t *b, task_t *task, cb_msec_t now_ms);
gboolean plan_reclaim (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
                       gboolean guaranteed, cb_msec_t now_ms);
void await_places (cb_batch_t *b, GPtrArray *rooms, task_t **tasks, uint32_t count,
                   cb_msec_t now_ms);

/* advice.c */
void advice_forget (step_state_t *step);
const char *advice_ticket (const task_t *task, const worker_t *w);
gboolean advice_allows (const task_t *task, const worker_t *w);
void advice_refresh (const cb_batch_t *b, const job_t *job, step_state_t *step,
                     cb_msec_t now_ms);
gboolean advice_open (GPtrArray *rooms, const task_t *task);
void advice_want (cb_batch_t *b, GPtrArray *rooms, const task_t *task, gboolean full);

/* pace.c */
void pace_worker (worker_t *w, cb_msec_t now_ms);
void pace_orders (const worker_t *w, Cb__WorkerOrders *orders);

/* place.c */
void place_all (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms);

/* learn.c */
void learn_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, cb_msec_t now_ms);
cb_msec_t expected_ms (const cb_batch_t *b, const Cb__BatchJob *job, uint32_t step);
cb_msec_t remaining_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms);
cb_msec_t chain_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence,
                    gboolean whole);

G_END_DECLS

#endif
