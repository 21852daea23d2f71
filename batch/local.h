/* Types and functions that the files of batch/ share. Fields under "Fold" follow from
   the log and, apart from local times, are the same in every process that has applied
   the same records; fields under "Scheduler" are meaningful only in the process that is
   the scheduler.

   Kinds of work: a job of priority 0 is urgent. A daemon task runs until its job is
   canceled. A serving task has a latency target (target_ms). A filler task (`fills`)
   uses CPU time that the other tasks of its worker leave unused. */
#ifndef CB_BATCH_LOCAL_H
#define CB_BATCH_LOCAL_H

#include "batch/fns.h"

typedef struct job job_t;
typedef struct worker worker_t;
typedef struct capacity capacity_t;
typedef struct interference interference_t;
typedef struct run_mark run_mark_t;
typedef struct step_times step_times_t;

typedef enum
{
  TASK_WAITING,
  TASK_STARTED, /* the log has the start of its latest run, but not the end */
  TASK_DONE,
  TASK_FAILED, /* all attempts failed */
} task_state_t;

typedef struct
{
  /* Fold. */
  task_state_t state;
  uint32_t run;         /* number of the latest run; 0: never started */
  uint32_t failures;    /* failed runs */
  char *checkpoint;     /* of the latest ended run that has one; NULL: none */
  worker_t *worker;     /* of the current run or of the proposed start; NULL: none */
  cb_msec_t started_ms; /* when the start of the latest run was applied */
  uint64_t started_clock_ms; /* clock of the scheduler's process in the record of this
                                start; 0: not stated */
  uint64_t started_epoch;    /* epoch of this record */
  gboolean remote;           /* this run is on several racks or away from its data */
  uint32_t worker_index;     /* position in worker->tasks */
  run_mark_t *mark;          /* start of the current run, see company.c; NULL: none */
  /* Scheduler. */
  gboolean proposed_start;     /* a start that is not applied yet was proposed */
  gboolean proposed_end;       /* as proposed_start, for the end of the run */
  Cb__TaskEnd *refused_end;    /* the end of the run by its worker's word, whose record
                                  the log has refused; NULL: none */
  gboolean reported;           /* a report listed the current run */
  uint64_t listed_clock_ms;    /* clock_ms of the latest report that listed it */
  uint32_t unlisted_reports;   /* full reports in a row, since then, without it */
  gboolean stop_requested;     /* the worker is commanded to stop the run */
  cb_msec_t stop_requested_ms; /* when the stop was requested */
  char *reported_checkpoint;   /* newest in a report of a run; NULL: none */
  uint32_t percent;            /* reported progress of the run */
  uint32_t latency_ms;         /* reported tail latency, if the step has a target */
  cb_msec_t progress_ms;       /* when percent last changed */
  cb_msec_t ending_since_ms;   /* since when an end is expected soon; 0: it is not */
  const worker_t *planned_worker; /* preemption frees capacity for the task there; may
                                     dangle: compare only */
  cb_msec_t planned_ms;           /* when that plan was made */
  cb_msec_t not_before_ms;        /* earliest next start, after a rejected one */
  GArray *avoided;         /* of avoided_t: workers that failed or rejected runs of
                              it a short time ago; NULL: none */
  cb_msec_t failed_ms;     /* when the latest of these runs ended */
  gboolean uses_untrusted; /* no trusted worker can hold the failed task */
  gboolean may_probe;      /* no trusted worker has had room for the failed task */
  uint32_t stall_stops;    /* runs that were stopped for lack of progress */
  /* Position in the job. */
  job_t *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} task_t;

typedef struct
{
  task_t *tasks;
  uint32_t count;
  uint32_t waiting;         /* tasks in TASK_WAITING */
  uint32_t started;         /* tasks in TASK_STARTED */
  uint32_t done;            /* tasks in TASK_DONE */
  uint32_t gang_failures;   /* failed runs of the whole gang */
  uint32_t gang_failed_run; /* number of the latest of them */
  /* Rounds (waves) in which the tasks run when the step's share of the fleet can't hold
     all of them at a time; 0: unknown. */
  uint32_t waves;
  step_times_t *times;      /* run times of its tasks, see company.c; NULL: none */
  uint64_t stopped_by_plan; /* number of the latest preemption plan that includes a
                               task of the step */
  GArray *work;             /* of step_work_t: of its ended tasks; NULL: none */
  /* Scheduler, of a step that prefers one rack: since when it could have started over
     several; 0: not yet. */
  cb_msec_t rack_wait_since_ms;
  gboolean awaits_room;  /* room is reserved until running work ends */
  gboolean advised;      /* runs only where the advisor permits it */
  GHashTable *decisions; /* worker -> decision_t of advice.c; NULL: no answer yet */
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
  gboolean started;        /* the log has the start of a task */
  gboolean begun;          /* by the log, a task has begun to run on a worker */
  cb_msec_t applied_ms;    /* when the submit record was applied, local clock */
  cb_msec_t ended_wall_ms; /* wall clock; 0: has not ended */
  uint32_t open_runs;      /* tasks in TASK_STARTED */
  gboolean guaranteed;     /* covered by its account's guarantee, as of the latest
                              placement pass */
  cb_msec_t idle_since_ms; /* end of its latest run, or applied_ms */
  /* Scheduler: since when no task runs although one may; 0: not searched yet. */
  cb_msec_t stuck_since_ms;
  /* Scheduler: when a record that a task has begun was proposed; 0: not yet. */
  cb_msec_t begun_proposed_ms;
};

/* What the tasks of a worker use, kept while they come and go: passes need not look at
   each of them. */
typedef struct
{
  int64_t cpu_milli; /* without filler tasks */
  int64_t filler_cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t urgent_accelerators; /* of them, in use by urgent jobs */
  uint32_t gang_tasks;         /* numbers of tasks of these kinds */
  uint32_t serving_tasks;
  uint32_t filler_tasks;
} load_t;

/* A worker that a task avoids. */
typedef struct
{
  const worker_t *worker; /* may dangle: compare only */
  cb_msec_t since_ms;
} avoided_t;

/* Room of a worker that is reserved for tasks which wait for running work to end. */
typedef struct
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  cb_msec_t free_ms; /* when the first of these tasks is expected to start; 0: none */
} awaited_t;

/* One incarnation of a worker process. */
struct worker
{
  char *id;
  uint64_t incarnation_ms; /* start time of the process */
  char *agent;
  char *service;
  char *zone;
  char *rack;    /* the worker's second label; empty: unknown */
  char *address; /* where it receives calls, in its agent's reports or in the log;
                    empty: unknown, or it has had several */
  gboolean several_addresses;
  char **labels;
  uint32_t cpu_milli; /* total capacity, thousandths of a core */
  uint32_t memory_mb;
  uint32_t accelerators;
  GPtrArray *tasks; /* of task_t: started or proposed to start on the worker */
  load_t load;      /* of these tasks */
  /* By the log, no scheduler grants leases to the worker, until a record says so again:
     all leases are over at leases_over_ms. */
  gboolean leases_stopped;
  cb_msec_t leases_over_ms;
  cb_msec_t leases_over_witnessed_ms; /* the same as a value of witnessed_ms */
  /* Scheduler. */
  gboolean
      lease_proposed; /* a change of `leases_stopped` was proposed and is not applied */
  gboolean reporting; /* has reported its runs to this scheduler, and the lease has not
                         expired since */
  gboolean all_listed; /* a report has listed all its runs to this scheduler */
  gboolean draining;
  gboolean terminated; /* announced its end, or its agent reports another incarnation or
                          worker */
  gboolean ended;      /* its agent knows that the process has ended */
  /* Next incarnation under the same id, which may still execute a start command that
     was sent to this one. NULL: none. */
  worker_t *successor;
  uint64_t clock_ms;         /* the worker's clock in the latest report; 0: none */
  cb_msec_t cold_until_ms;   /* until then it is slow, as it has just started */
  cb_msec_t drain_left_ms;   /* in the latest report: time until it shuts down */
  cb_msec_t heard_since_ms;  /* since when its reports come without a long pause */
  cb_msec_t reported_ms;     /* when the latest report with new lists arrived */
  cb_msec_t listed_ms;       /* when the worker made these lists, at the latest */
  cb_msec_t lease_end_ms;    /* when every lease granted to the worker has expired */
  uint64_t agent_clock_ms;   /* of its agent, in the latest report with new lists */
  uint64_t granted_clock_ms; /* the worker's clock from which its lease counts */
  uint64_t last_durable_end; /* its ends up to this number are in the log */
  gboolean ended_partial;    /* it may have more ends than the latest report lists */
  gboolean ends_missed;      /* it has dropped ends that its agent has not read */
  GPtrArray *listed_ends;    /* of Cb__EndedTask: of an incomplete list, those that were
                                not in the log */
  GPtrArray *unwanted_runs;  /* of Cb__TaskRun: reported, but not current */
  gboolean commands_changed;
  uint32_t ordered_starts;       /* in the latest message to its agent */
  uint32_t shown_starts;         /* runs that its reports have shown first since then */
  capacity_t *capacity;          /* in the current placement pass; NULL: none */
  awaited_t awaited;             /* in the latest placement pass */
  uint32_t kinds;                /* set of the kinds of its tasks, see apart.c */
  gboolean kinds_known;          /* in this pass: `kinds` is valid */
  uint32_t filler_percent;       /* CPU share granted to its filler tasks, see pace.c */
  cb_msec_t pace_changed_ms;     /* when filler_percent last changed */
  cb_msec_t latency_ok_since_ms; /* since when latencies are well below their targets */
  uint32_t consecutive_failures; /* failed runs; those that overlap count once */
  cb_msec_t failed_ms;           /* when the latest failed run ended */
  cb_msec_t quarantine_until_ms; /* not used before, as it failed or stalled runs */
  uint32_t refusals;             /* starts that it refused as unhealthy, since the last
                                    accepted one; those that overlap count once */
  cb_msec_t refused_ms;          /* when it refused the latest */
  cb_msec_t refused_until_ms;    /* not used before, as it refused starts */
  cb_msec_t stalls_checked_ms;   /* when the progress of its runs was last checked */
};

/* Whether a worker that recently failed or stalled runs gets work, see trust.c. */
typedef enum
{
  TRUST_FULL,
  TRUST_PROBE, /* a single task at a time, to test whether it has recovered */
  TRUST_NONE,
} trust_t;

/* Which workers a placement may use. */
typedef enum
{
  REACH_SHARED,   /* those that are not reserved for more urgent work */
  REACH_RESERVED, /* reserved ones, too */
  REACH_ALL,      /* untrusted ones, too */
  REACH_AWAITED,  /* and room that is reserved for tasks that wait for running work */
} reach_t;

/* Where a placement looks for the workers of tasks that start together. */
typedef enum
{
  SCOPE_RACK,  /* within one rack */
  SCOPE_FLEET, /* in any racks */
} scope_t;

/* Capacity of a worker that a placement pass may still allocate. Negative values: more
   is reserved for planned tasks than is free at present. */
struct capacity
{
  worker_t *worker;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t filler_cpu_milli; /* minus the CPU that filler tasks ask for */
  double slowness;          /* of the worker, see worker_slowness */
  gboolean slower;          /* clearly slower than the fastest workers of the pass */
  gboolean overdue;         /* the worker's report is later than usual */
  gboolean cold;            /* the worker has just started, see cold.c */
  /* Kinds of work that are to be kept apart; NULL: none. */
  const interference_t *interference;
  trust_t trust;
  gboolean gang_probe;    /* on TRUST_PROBE: also a gang member may run */
  uint32_t reserved_from; /* closed to this priority number and above; 0: to none */
  /* The worker's tasks by the cost of a stop, and by their expected ends, see
     reclaim.c. NULL: not needed yet in this pass. */
  GArray *by_stop_cost;
  GArray *by_end;
};

/* A worker on which a task runs this many times as long as on the fastest ones is
   clearly slower. */
#define SLOWER_RATIO 1.2

/* While less of the fleet is in use, no work should have to wait for other work. */
#define IDLE_UTILIZATION 0.55

/* One placement pass. */
typedef struct
{
  cb_batch_t *b;
  cb_msec_t now_ms;
  GPtrArray *capacities; /* of capacity_t, sorted by worker id, owned */
  GPtrArray *racks;      /* of GPtrArray: the capacities of each rack */
  gboolean mostly_idle;  /* less than IDLE_UTILIZATION of the fleet is in use */
  double slowest;        /* largest slowness of the workers, at least 1 */
  double fastest;        /* smallest one, at most 1 */
  /* Searches for free capacity, and for work to preempt, use only workers whose
     slowness is in this range. */
  double slowness_min;
  double slowness_max;
  gboolean prefers_slow; /* such searches prefer slow workers to others */
  /* Of miss_t of misses.c: what has found no capacity, and what no preemption could
     make room for. */
  GArray *fit_misses;
  GArray *plan_misses;
  /* How many more workers the plans of this pass may look at, to find work to preempt
     and capacity to reserve. */
  int64_t preemption_budget;
  uint32_t starts_left; /* how many more tasks this pass may start */
  int64_t reservation_budget;
  gboolean room_awaited; /* room is reserved for tasks that wait for running work */
} pass_t;

typedef struct
{
  char *name;
  char *address;
  gboolean entry;
  uint32_t cpu_milli; /* of an entry: its share of a core; 0: not stated */
} agent_t;

/* Moving averages of the work of a queue's tasks: their run times on a usual worker. */
typedef struct
{
  double mean_ms;
  uint32_t count; /* runs in the average; 0: mean_ms is invalid */
  /* Mean of the logarithm of the work in ms, which a few very long runs change less,
     and the runs in it: see speed.c. */
  double log_mean;
  uint32_t log_runs;
} run_time_t;

typedef enum
{
  SPEED_USUAL, /* or unknown */
  SPEED_SLOW,
  SPEED_FAST,
} speed_class_t;

/* Estimate of the speed of an agent's workers, see speed.c. */
typedef struct
{
  double log_slowness; /* logarithm of the slowness, up to a constant of all agents */
  double variance;     /* of log_slowness */
  uint32_t runs;       /* that it follows from */
  int32_t streak;      /* latest runs in a row that were slow, or, negative, fast */
  speed_class_t speed_class;
  uint64_t listed; /* number of the latest list of a run's agents with this one */
} speed_t;

/* What the runs of one step on the workers of one agent took. */
typedef struct
{
  speed_t *speed;
  double log_sum; /* of the logarithms of their run times in ms */
  uint32_t runs;
  double log_least; /* of these logarithms */
  double log_most;
} step_work_t;

struct cb_batch
{
  cb_batch_params_t params;
  cb_batch_config_t *config;
  GHashTable *jobs;        /* id -> job_t */
  GQueue job_list;         /* of job_t in order of acceptance, also ended ones */
  uint64_t kept_tasks;     /* of all these jobs */
  uint64_t expected_tasks; /* of admitted jobs that are not applied yet */
  GHashTable *canceled;    /* id of an unknown job -> cb_msec_t, wall clock: canceled
                              before its submission is in the log */
  GHashTable *workers;     /* id/incarnation -> worker_t */
  GHashTable *workers_of_agent; /* agent -> GPtrArray of worker_t, not owned */
  GPtrArray *changed_workers;   /* of worker_t: their commands may have changed */
  GHashTable *ended_workers;    /* set of id/incarnation: this scheduler knows that the
                                   process has ended */
  GHashTable *agents;           /* name -> agent_t */
  /* Scheduler, see epochs.c. */
  GHashTable *command_epochs;   /* agent -> uint64_t: epoch of its commands, if that is
                                   not own_epoch */
  GHashTable *lost_run_workers; /* set of agent/id: a run of the worker was taken as
                                   lost since the epoch of its commands was raised */
  uint32_t entry_count;         /* agents that are entries */
  GHashTable *run_times;        /* queue -> run_time_t */
  GHashTable *evacuated;        /* set of the availability zones that are evacuated */
  GHashTable *speeds;           /* agent -> speed_t */
  double speed_median;          /* of the log_slowness of the known agents */
  uint32_t runs_since_median;   /* runs learned from since it was updated */
  uint32_t unusual_speeds;      /* agents that are not SPEED_USUAL */
  uint64_t speed_lists;         /* lists of the agents of a run so far */
  uint64_t record_clock_ms; /* clock of the scheduler's process in the record that is
                               being applied; 0: not stated */
  GHashTable *fleet; /* service -> Cb__FleetSums of the scheduler's latest heartbeat */
  uint64_t epoch;    /* of the latest valid claim; 0: none */
  char *scheduler;   /* entry that made this claim */
  gboolean resigned; /* the scheduler resigned, or its process has been replaced */
  cb_msec_t scheduler_seen_ms; /* when the latest record of this epoch was applied */
  /* When the scheduler that has resigned grants no more leases, and when all the
     schedulers before the present one grant none. */
  cb_msec_t scheduler_grants_end_ms;
  cb_msec_t earlier_grants_end_ms;
  uint64_t lease_number; /* of the latest record with leases of this epoch; 0: none */
  /* Clock of the scheduler's process in its latest record of this epoch; 0: unknown. */
  uint64_t scheduler_clock_ms;
  interference_t *interference;
  gboolean fair_queueing; /* see share.c */
  /* Time that has passed by the clocks of the schedulers, each between its own records:
     less than has really passed. */
  cb_msec_t witnessed_ms;
  /* Scheduler. */
  uint64_t own_epoch;           /* 0: this process is not the scheduler */
  cb_msec_t scheduler_since_ms; /* when own_epoch was set */
  cb_msec_t turn_ms;            /* when cb_batch_tick was last called */
  cb_msec_t resumed_ms;      /* when it was called after a long time without a call */
  gboolean fleet_known;      /* enough workers have reported to place work */
  uint32_t expected_workers; /* workers in the previous scheduler's heartbeat */
  cb_msec_t worker_reported_ms;   /* when a worker last reported for the first time */
  uint64_t proposed_lease_number; /* of the latest record with leases */
  GQueue records;                 /* of Cb__BatchRecord, to be appended to the log */
  size_t open_record_bytes;       /* encoded size of the last of them, an upper bound */
  /* Follows the queued records: the jobs that have begun since the last one. NULL:
     none. */
  Cb__BatchRecord *begun_record;
  size_t begun_record_bytes; /* its encoded size, an upper bound */
  double urgent_peak;        /* accelerators in use or wanted by urgent work, decayed */
  cb_msec_t urgent_ms;       /* when it was updated */
  uint64_t plan_count;       /* preemption plans computed so far, also discarded ones */
  gboolean dirty;            /* something that placement depends on has changed */
  gboolean starts_held;      /* nothing may be placed or started, see evacuate.c */
  cb_batch_advice_request_t *advice_request; /* to be sent next; NULL: none */
  cb_msec_t placed_ms;                       /* time of the latest placement pass */
  gboolean accounts_contend;                 /* in this pass, see share.c */
  cb_batch_wait_t wait;                      /* result of the latest find_waits */
  cb_msec_t waits_searched_ms;               /* when that was */
  cb_msec_t wait_logged_ms;                  /* when such a result was last logged */
};

/* CPU share, in percent, of filler tasks that are not slowed down. */
#define FULL_PERCENT 100

/* Outcome of the search for work to preempt. */
typedef enum
{
  PLAN_MADE,
  PLAN_IMPOSSIBLE, /* no preemption makes room */
  PLAN_TOO_COSTLY, /* it would destroy more work than it makes possible */
  PLAN_NOT_TRIED,  /* the pass has looked at as many workers as it may, or has not
                      looked yet */
} plan_result_t;

/* Waiting tasks of a step, as fair queueing sees them. */
typedef struct
{
  const job_t *job;
  uint32_t step;
  uint32_t count;        /* of waiting tasks */
  uint32_t group;        /* competes with items of the same number */
  gboolean beyond_share; /* set by share_update */
} share_item_t;

/* What a search for work to preempt may use. */
typedef struct
{
  gboolean guaranteed;     /* the guarantee of the account covers the job */
  gboolean spares_in_time; /* preempts no run whose job can still meet its objective */
} claim_t;

/* A result that arrives after this multiple of the job's objective is of no use; the
   platform does not count it. */
#define USEFUL_OBJECTIVE_MULTIPLE 3

G_BEGIN_DECLS

/* state.c */
job_t *find_job (const cb_batch_t *b, const char *id);
void forget_refused_end (task_t *task);
task_t *find_task (const cb_batch_t *b, const Cb__TaskRun *run);
const Cb__BatchStep *task_spec (const task_t *task);
step_state_t *task_step (const task_t *task);
gboolean job_open (const job_t *job);
cb_msec_t occurrence_due_ms (const job_t *job, uint32_t occurrence);
gboolean step_ready (const job_t *job, uint32_t occurrence, uint32_t step,
                     cb_msec_t wall_ms);
uint64_t count_tasks (const Cb__BatchJob *spec);
job_t *add_job (cb_batch_t *b, const Cb__BatchJob *spec, cb_msec_t now_ms);
Cb__TaskRun *task_run_new (const task_t *task, uint32_t run);

/* fold.c */
void note_canceled (cb_batch_t *b, const char *id, cb_msec_t wall_ms);
gboolean shows_begin (Cb__RunEnd how);

/* workers.c */
GHashTable *workers_table_new (void);
GHashTable *workers_of_agent_new (void);
const GPtrArray *agent_workers (const cb_batch_t *b, const char *agent);
worker_t *current_worker (const cb_batch_t *b, const char *agent);
worker_t *get_worker (cb_batch_t *b, const char *id, uint64_t incarnation_ms,
                      const char *agent);
void note_ended (cb_batch_t *b, worker_t *w);
gboolean was_ended (const cb_batch_t *b, const worker_t *w);
void note_address (worker_t *w, const char *address);
void note_moved (worker_t *w);
worker_t *find_worker (const cb_batch_t *b, const char *id, uint64_t incarnation_ms);
void change_commands (cb_batch_t *b, worker_t *w);
void remove_terminated_workers (cb_batch_t *b);
void attach_task (worker_t *w, task_t *task);
void detach_task (task_t *task);

/* lead.c */
size_t element_bytes (const ProtobufCMessage *message);
Cb__BatchRecord *get_open_record (cb_batch_t *b, Cb__BatchRecord__BodyCase body_case,
                                  size_t bytes);
void propose_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, const char *checkpoint,
                  const char *why);
void propose_moved (cb_batch_t *b, const worker_t *w);
void propose_begun (cb_batch_t *b, job_t *job, cb_msec_t now_ms);
void start_tasks (cb_batch_t *b, task_t **tasks, worker_t **workers, uint32_t count,
                  cb_msec_t now_ms);
void stop_task (cb_batch_t *b, task_t *task, cb_msec_t now_ms, const char *why);

/* report.c */
cb_msec_t report_max_age_ms (const cb_batch_t *b);
cb_msec_t report_due_ms (const cb_batch_t *b);
void acknowledge_stored_ends (cb_batch_t *b, worker_t *w);

/* evacuate.c */
gboolean is_evacuated (const cb_batch_t *b, const worker_t *w);
gboolean may_get_starts (const cb_batch_t *b, const worker_t *w);
uint32_t evacuated_workers (const cb_batch_t *b);
void stop_evacuated_starts (cb_batch_t *b, worker_t *w, cb_msec_t now_ms);

/* cold.c */
gboolean is_cold (const worker_t *w, cb_msec_t now_ms);
double cold_penalty (const capacity_t *capacity, const task_t *task);
gboolean avoids_cold (const task_t *task, capacity_t **chosen, uint32_t count);

/* relocate.c */
void relocate_daemons (pass_t *pass);
void reserve_relocations (pass_t *pass);

/* waits.c */
void find_waits (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms);

/* leases.c */
cb_msec_t latest_lease_end (const cb_batch_t *b, cb_msec_t granted_ms);
void note_scheduler_clock (cb_batch_t *b, uint64_t clock_ms);
void apply_leases (cb_batch_t *b, uint64_t offset, const Cb__BatchLeases *leases,
                   cb_msec_t now_ms);
void note_grants_end (cb_batch_t *b, gboolean process_ended, cb_msec_t now_ms);
void note_grants_of_predecessor (cb_batch_t *b, cb_msec_t now_ms);
void forget_grants (cb_batch_t *b, cb_msec_t now_ms);
void reset_lease (const cb_batch_t *b, worker_t *w, cb_msec_t now_ms);
void withdraw_lease_proposals (const cb_batch_t *b, const Cb__BatchLeases *leases);
void note_heard (worker_t *w, cb_msec_t now_ms);
void note_listed_time (worker_t *w, const Cb__WorkerReport *report, cb_msec_t now_ms);
void note_lease_left (const cb_batch_t *b, worker_t *w);
gboolean may_get_leases (const cb_batch_t *b, const worker_t *w);
gboolean grant_lease (cb_batch_t *b, worker_t *w, cb_msec_t now_ms);
void note_turn (cb_batch_t *b, cb_msec_t now_ms);
void check_grants (cb_batch_t *b, worker_t *w, cb_msec_t now_ms);
void save_leases (const cb_batch_t *b, Cb__BatchSnapshot *snapshot, cb_msec_t now_ms);
void load_leases (cb_batch_t *b, const Cb__BatchSnapshot *snapshot, cb_msec_t now_ms);

/* epochs.c */
void reset_command_epochs (cb_batch_t *b);
void note_lost_run (cb_batch_t *b, const worker_t *w);
gboolean needs_command_epoch (const cb_batch_t *b, const worker_t *w);
void raise_command_epoch (cb_batch_t *b, const worker_t *w, uint64_t offset);

/* watch.c */
cb_msec_t last_run_end_ms (const worker_t *w);
void check_workers (cb_batch_t *b, cb_msec_t now_ms);

/* room.c */
pass_t *pass_new (cb_batch_t *b, cb_msec_t now_ms);
void capacity_forget_order (capacity_t *capacity);
void pass_free (pass_t *pass);
void limit_slowness (pass_t *pass, double min, double max);
void unlimit_slowness (pass_t *pass);
gboolean capacity_fits (const capacity_t *capacity, const Cb__BatchStep *step);
uint32_t step_waves (const GPtrArray *capacities, const Cb__BatchStep *step);
void reserve_for_urgent (GPtrArray *capacities);
double fleet_utilization (const GPtrArray *capacities);
void capacity_take (capacity_t *capacity, const Cb__BatchStep *step);
void capacity_release (capacity_t *capacity, const Cb__BatchStep *step);
void capacity_await (capacity_t *capacity, const Cb__BatchStep *step,
                     cb_msec_t free_ms);
gboolean capacity_fits_with_awaited (const capacity_t *capacity,
                                     const Cb__BatchStep *step);
void deduct_awaited (const pass_t *pass);
void forget_awaited (const pass_t *pass);
gboolean worker_suits (const worker_t *w, const task_t *task);
gboolean worker_holds (const worker_t *w, const Cb__BatchStep *step);
gboolean capacity_allows (const capacity_t *capacity, const task_t *task,
                          uint32_t n_chosen);
gboolean is_remote (const task_t *task, worker_t **workers, uint32_t count);
gboolean prefers_one_rack (const Cb__BatchStep *step, uint32_t count);
gboolean fit_tasks (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
                    scope_t scope, capacity_t **chosen);
gboolean has_room (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
                   scope_t scope, uint32_t times);

/* trust.c */
void trust_run_failed (worker_t *w, task_t *task, cb_msec_t now_ms);
void trust_start_rejected (const worker_t *w, task_t *task, cb_msec_t now_ms);
void trust_start_unhealthy (worker_t *w, const task_t *task, cb_msec_t now_ms);
void trust_start_accepted (worker_t *w, const task_t *task);
void trust_restore (worker_t *w);
void trust_run_progress (worker_t *w, const task_t *task, cb_msec_t now_ms);
void trust_update (GPtrArray *capacities, cb_msec_t now_ms);
void trust_forget_avoided (task_t *task);
void trust_update_task (const GPtrArray *capacities, task_t *task, cb_msec_t now_ms);
gboolean trust_allows (const capacity_t *capacity, const task_t *task);

/* misses.c */
void note_fit_miss (pass_t *pass, task_t **tasks, uint32_t count, reach_t reach,
                    scope_t scope);
gboolean is_fit_missed (const pass_t *pass, task_t **tasks, uint32_t count,
                        reach_t reach, scope_t scope);
void note_plan_miss (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
                     const claim_t *claim, plan_result_t result);
plan_result_t missed_plan (const pass_t *pass, task_t **tasks, uint32_t count,
                           scope_t scope, const claim_t *claim);

/* share.c */
double share_entitled (const cb_batch_config_t *config, const char *account,
                       GHashTable *accounts, double fleet_accelerators);
void share_update (const pass_t *pass, GArray *items);

/* reclaim.c */
void update_guarantees (cb_batch_t *b);
gboolean preempts_equals (const pass_t *pass, const job_t *job, gboolean guaranteed);
void update_ending (const cb_batch_t *b, task_t *task, cb_msec_t now_ms);
plan_result_t preempt_and_plan (pass_t *pass, task_t **tasks, uint32_t count,
                                scope_t scope, const claim_t *claim);
gboolean could_preempt_equals (const pass_t *pass, task_t **tasks, uint32_t count,
                               scope_t scope);
double expected_room_ms (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope,
                         const worker_t **chosen);
void reserve_awaited (pass_t *pass, task_t **tasks, uint32_t count, scope_t scope);

/* racks.c */
void note_rack_wait (const pass_t *pass, const task_t *task);
cb_msec_t rack_deadline_ms (const pass_t *pass, const task_t *task, gboolean idle);
gboolean is_rack_expected (pass_t *pass, task_t **tasks, uint32_t count,
                           gboolean guaranteed, cb_msec_t deadline_ms);
void log_spread (const pass_t *pass, task_t **tasks, capacity_t **chosen,
                 uint32_t count);

/* advice.c */
void advice_clear (step_state_t *step);
const char *advice_ticket (const task_t *task, const worker_t *w);
gboolean advice_allows (const task_t *task, const worker_t *w);
void advice_start_rejected (const task_t *task, const worker_t *w, cb_msec_t now_ms);
void advice_refresh (const cb_batch_t *b, const job_t *job, step_state_t *step,
                     cb_msec_t now_ms);
gboolean advice_incomplete (const GPtrArray *capacities, const task_t *task,
                            gboolean with_capacity);
void advice_prepare_request (const pass_t *pass, const task_t *task, gboolean ask_all);

/* pace.c */
void pace_update (cb_batch_t *b, worker_t *w, cb_msec_t now_ms);
void pace_add_commands (const worker_t *w, Cb__WorkerOrders *commands);

/* admit.c */
int check_steps (const Cb__BatchJob *job);

/* forecast.c */
cb_msec_t forecast_retry_ms (const cb_batch_t *b, const Cb__FleetSums *fleet,
                             const Cb__BatchJob *job, double latest_start_ms,
                             cb_msec_t max_ms, cb_msec_t now_ms);

/* vacancy.c */
gboolean can_ever_run (const Cb__FleetSums *fleet, const Cb__BatchStep *step);
double expected_left_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms);
gboolean has_vacancy_now (const cb_batch_t *b, const Cb__FleetSums *fleet,
                          const Cb__BatchJob *job, cb_msec_t now_ms);
gboolean has_vacancy_later (const cb_batch_t *b, const Cb__FleetSums *fleet,
                            const Cb__BatchJob *job, cb_msec_t now_ms, double later_ms);

/* speed.c */
speed_t *get_speed (cb_batch_t *b, const char *agent);
double worker_slowness (const cb_batch_t *b, const worker_t *w);
double run_slowness (const cb_batch_t *b, const task_t *task);
uint32_t slow_worker_count (const cb_batch_t *b);
void note_step_work (step_state_t *step, speed_t *speed, uint32_t runs, double log_sum);
void forget_step_work (step_state_t *step);
void speed_learn (cb_batch_t *b, const task_t *task, run_time_t *queue,
                  cb_msec_t took_ms);

/* company.c */
interference_t *interference_new (void);
void interference_free (interference_t *state);
void interference_run_started (cb_batch_t *b, task_t *task);
void interference_run_ended (cb_batch_t *b, task_t *task, Cb__RunEnd how);

/* apart.c */
const interference_t *interference_to_avoid (const cb_batch_t *b);
uint32_t interference_kind (const GPtrArray *capacities, const task_t *task);
double interference_penalty (const capacity_t *capacity, uint32_t kind);

/* interference_save.c */
void interference_save (const cb_batch_t *b, Cb__BatchSnapshot *snapshot);
void interference_load (cb_batch_t *b, const Cb__BatchSnapshot *snapshot);

/* speed_save.c */
void speed_save (const cb_batch_t *b, Cb__BatchSnapshot *snapshot);
void speed_load (cb_batch_t *b, const Cb__BatchSnapshot *snapshot);

/* place.c */
capacity_t *planned_capacity (const pass_t *pass, task_t *task);
void place_all (cb_batch_t *b, cb_msec_t now_ms, cb_msec_t wall_ms);

/* learn.c */
run_time_t *get_run_time (const cb_batch_t *b, const char *queue);
void learn_run_end (cb_batch_t *b, task_t *task, Cb__RunEnd how, cb_msec_t now_ms);
cb_msec_t expected_task_ms (const cb_batch_t *b, const Cb__BatchJob *job,
                            uint32_t step);
cb_msec_t cautious_task_ms (const cb_batch_t *b, const Cb__BatchJob *job,
                            uint32_t step);
cb_msec_t remaining_ms (const cb_batch_t *b, const task_t *task, cb_msec_t now_ms);
cb_msec_t critical_path_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence,
                            gboolean include_done);
cb_msec_t objective_ms (const cb_batch_t *b, const job_t *job, uint32_t occurrence);

G_END_DECLS

#endif
