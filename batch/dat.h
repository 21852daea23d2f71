/* Batch jobs: a job consists of steps, and a step of tasks. A job with a schedule has
   all its steps once for each occurrence. A run is one execution of a task on a worker.
   A worker keeps its runs while the scheduler extends its lease. Workers, clients and
   the advisor, which decides on which workers a step may run, belong to the users'
   platform.

   The library holds the state that every entry (server process) builds from the `batch`
   log stream (the fold), and makes the placement decisions of the one entry that is the
   scheduler. An entry becomes the scheduler by a claim record in the log; the offset of
   this record plus 1 is the epoch of its records and commands. The library does no I/O
   and reads no clock: the caller passes the time as now_ms, on its monotonic clock, and
   as wall_ms, on the wall clock. Other times are on the monotonic clock unless their
   names or comments say otherwise. */
#ifndef CB_BATCH_DAT_H
#define CB_BATCH_DAT_H

#include "base/dat.h"

enum
{
  CB_BATCH_NEVER_FITS = -900, /* a task is too large for every worker of the service */
  CB_BATCH_OVERLOADED = -901, /* would end too late to be of use */
  CB_BATCH_INVALID = -902,    /* no steps or tasks, too many tasks, or an `after` that
                                 names no earlier step */
  CB_BATCH_TOO_LARGE = -903,  /* its record, or that of a gang's start, does not fit
                                 into the log */
  CB_BATCH_FULL = -904,       /* too many tasks of open jobs */
};

/* Maximum number of tasks of a job, over all steps and occurrences. */
#define CB_BATCH_TASKS_MAX 20000

/* Maximum number of tasks of a gang, whose starts are one record of the log. */
#define CB_BATCH_GANG_MAX 1000

typedef struct cb_batch cb_batch_t;

/* Status of a job as callers see it. */
typedef enum
{
  CB_JOB_UNKNOWN,
  CB_JOB_QUEUED,
  CB_JOB_RUNNING,
  CB_JOB_COMPLETED,
  CB_JOB_FAILED,
  CB_JOB_CANCELED,
} cb_job_status_t;

/* A queue of jobs, selected by the host and path prefix of a request. */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  char *service;     /* the service whose workers run the tasks */
  uint32_t priority; /* 0 is the most urgent */
  uint32_t attempts; /* failed runs of a task after which the job fails */
  /* Objective: a job ends within stretch x critical path + slack, where the critical
     path is its longest chain of dependent steps. */
  uint32_t slack_ms;
  double stretch;
  /* Requests whose key (account_of_key) is missing or unknown are accepted. */
  gboolean key_optional;
  gboolean advised;         /* tasks run only on workers that the advisor permits */
  cb_msec_t advice_base_ms; /* time the advisor takes for a request, */
  cb_msec_t advice_per_worker_ms; /* plus this for each candidate worker */
  cb_msec_t ticket_validity_ms;   /* of the tickets that the advisor issues */
} cb_batch_queue_t;

typedef struct
{
  char *name;
  uint32_t guaranteed; /* accelerators guaranteed to its jobs of priority 0 */
} cb_batch_account_t;

/* Queues and client accounts as the operator configured them; reference-counted. */
typedef struct
{
  cb_ref_t ref;
  uint64_t version;
  GPtrArray *queues;          /* of cb_batch_queue_t, owned */
  GPtrArray *accounts;        /* of cb_batch_account_t, owned */
  GHashTable *account_of_key; /* a client's key -> cb_batch_account_t of accounts */
  /* Limits of a request, and of a connection without one; 0: not stated. */
  uint32_t max_body_bytes;
  uint32_t max_header_bytes;
  cb_msec_t header_timeout_ms;
  cb_msec_t idle_timeout_ms;
  gboolean advised; /* at least one queue is advised */
} cb_batch_config_t;

/* Parameters of the deployment. */
typedef struct
{
  cb_msec_t hold_max_ms; /* maximum duration of a lease */
  cb_msec_t stop_ms;     /* maximum time from the stop command to the end of a run */
  cb_msec_t reclaim_ms;  /* bound on the start of guaranteed work after acceptance */
  cb_msec_t job_retention_ms; /* how long the state of an ended job is kept */
  double remote_slowdown; /* factor for work spread over racks or away from its data */
  uint32_t record_bytes_max; /* largest encoded record of the log */
  cb_counters_t *counters;   /* receives the scheduler's histograms; NULL: none */
  uint32_t open_tasks_max;   /* of open jobs together, at admission; 0: no bound */
} cb_batch_params_t;

/* A worker for which an advice request asks whether it may run the step. */
typedef struct
{
  char *worker;
  uint64_t incarnation_ms; /* start time of the worker process */
} cb_batch_candidate_t;

/* A request to the advisor: which of the candidate workers may run a step. */
typedef struct
{
  char *job;
  uint32_t occurrence;
  uint32_t step;
  GPtrArray *candidates;        /* of cb_batch_candidate_t, owned */
  cb_msec_t advice_ms;          /* expected time until the answer */
  cb_msec_t ticket_validity_ms; /* by the configuration, for an answer without it */
} cb_batch_advice_request_t;

/* The advisor's permission to run the step on a worker; the start command has to carry
   the ticket. */
typedef struct
{
  const char *worker;
  const char *ticket;
} cb_batch_permit_t;

/* The advisor's answer to a request. */
typedef struct
{
  const cb_batch_permit_t *allowed; /* the other candidates are refused */
  size_t count;
  cb_msec_t validity_ms; /* of the tickets; 0: not stated */
} cb_batch_advice_t;

/* What a process knows of the outages of the log. All zero at the start. */
typedef struct
{
  cb_msec_t answered_ms; /* when the log last answered a call; 0: not yet */
  cb_msec_t failed_ms;   /* of the first failed call since then */
  uint32_t failures;     /* failed calls since then */
  double typical_ms;     /* moving average of the outages' durations; 0: none yet */
} cb_outage_t;

/* How late the scheduler's records arrive. All zero at the start. */
typedef struct
{
  cb_msec_t noted_ms;  /* when the latest one arrived; 0: none yet */
  cb_msec_t window_ms; /* start of the current window of observations */
  /* By the wall clocks of two instances, so that only differences mean something. */
  cb_msec_t latest_ms;        /* of the latest record */
  cb_msec_t least_ms;         /* in the current window */
  cb_msec_t earlier_least_ms; /* in the window before */
} cb_lag_t;

/* Why a task does not run although the fleet has room. */
typedef enum
{
  CB_WAIT_NONE,          /* there is no such task */
  CB_WAIT_WORKER_SILENT, /* its run's worker does not report, and its lease may last */
  CB_WAIT_WORKER_GONE,   /* its run's worker has terminated, and its lease may last */
  CB_WAIT_NOT_LISTED,    /* its run's worker does not show the run */
  CB_WAIT_STOP,          /* its run is to be stopped first */
  CB_WAIT_PROPOSED,      /* its start is not in the log yet */
  CB_WAIT_RETRY,         /* its last start was rejected a short time ago */
  CB_WAIT_GANG,          /* other members of its gang are not free yet */
  CB_WAIT_ADVICE,        /* its step is advised */
  CB_WAIT_NO_WORKER,     /* no usable worker suits it */
  CB_WAIT_NO_ROOM,       /* no usable workers that suit it have room */
  CB_WAIT_RACK,          /* its gang has room on several racks, but not on one */
  CB_WAIT_RESERVED,      /* there is room on workers reserved for more urgent work */
  CB_WAIT_UNTRUSTED,     /* there is room on workers that failed runs */
  CB_WAIT_AWAITED,       /* the room is reserved for tasks that wait for running work */
  CB_WAIT_EVACUATED,     /* all workers that suit it are in evacuated zones */
  CB_WAIT_STARTS_HELD,   /* it is not known which zones are evacuated */
  CB_WAIT_HELD,          /* it could be placed */
} cb_batch_wait_reason_t;

#define CB_BATCH_ID_MAX_BYTES 128

/* The job that has been idle longest: none of its tasks runs, although one may and less
   than half of the fleet is in use. */
typedef struct
{
  cb_batch_wait_reason_t reason;
  char job[CB_BATCH_ID_MAX_BYTES];
  char task[CB_BATCH_ID_MAX_BYTES];
  char worker[CB_BATCH_ID_MAX_BYTES]; /* of its open run; empty: none */
  uint32_t run;
  cb_msec_t idle_ms;
  cb_msec_t lease_left_ms; /* of that worker; negative: it is over */
  uint32_t jobs;           /* idle jobs in all */
  uint32_t workers_usable; /* numbers of workers, as the scheduler sees them */
  uint32_t workers_silent;
  uint32_t workers_gone;
  uint32_t workers_draining;
  uint32_t workers_evacuated; /* which are in evacuated zones */
  uint32_t workers_cold;      /* which have just started and are slow */
  uint32_t workers_partial;   /* whose list of ends is incomplete */
  uint32_t workers_untrusted; /* of the usable ones */
} cb_batch_wait_t;

/* Totals for metrics. */
typedef struct
{
  uint32_t jobs;         /* neither completed, failed nor canceled */
  uint32_t jobs_waiting; /* those of them of which no task has begun */
  uint32_t tasks_waiting;
  uint32_t tasks_running;
  uint32_t workers;
  uint32_t accelerators;
  uint32_t accelerators_used;
  uint32_t slow_workers; /* that take longer for their runs than the usual worker */
} cb_batch_totals_t;

#endif
