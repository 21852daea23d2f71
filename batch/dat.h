/* Batch jobs: steps of tasks that workers run under leases. The fold of the `batch`
   stream, which every entry keeps, and the decisions of the entry that is the
   scheduler. No I/O and no clock: every call gets the time. */
#ifndef CB_BATCH_DAT_H
#define CB_BATCH_DAT_H

#include "base/dat.h"

enum
{
  CB_BATCH_NEVER_FITS = -900, /* no worker of the service can hold a task, or no set of
                                 workers the gang */
  CB_BATCH_OVERLOADED = -901, /* cannot end within its objective */
  CB_BATCH_INVALID = -902,    /* the job contradicts itself */
};

/* Most tasks of a job, over all steps and occurrences. */
#define CB_BATCH_TASKS_MAX 20000

typedef struct cb_batch cb_batch_t;

/* What a caller may know of a job. */
typedef enum
{
  CB_JOB_UNKNOWN,
  CB_JOB_QUEUED,
  CB_JOB_RUNNING,
  CB_JOB_COMPLETED,
  CB_JOB_FAILED,
  CB_JOB_CANCELED,
} cb_job_status_t;

/* A queue of jobs, addressed by host and path prefix. */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  char *service;     /* its workers run the tasks */
  uint32_t priority; /* 0 comes first */
  uint32_t attempts; /* failed runs of a task before the job fails */
  uint32_t slack_ms; /* objective: stretch x longest chain of work + slack */
  double stretch;
  gboolean open;            /* callers need no key */
  gboolean advised;         /* only workers that the advisor allows may run its steps */
  cb_msec_t decide_ms;      /* that the advisor takes for a question, and more for */
  cb_msec_t decide_each_ms; /* each worker in it */
  cb_msec_t validity_ms;    /* of a ticket */
} cb_batch_queue_t;

typedef struct
{
  char *name;
  uint32_t guaranteed; /* accelerators for its jobs of priority 0 */
} cb_batch_account_t;

/* The operator's configuration. */
typedef struct
{
  cb_ref_t ref;
  uint64_t version;
  GPtrArray *queues;          /* of cb_batch_queue_t */
  GPtrArray *accounts;        /* of cb_batch_account_t */
  GHashTable *account_of_key; /* key -> cb_batch_account_t, not owned */
  uint32_t max_body_bytes;    /* 0: no limit */
  gboolean advised;           /* a queue of it is */
} cb_batch_config_t;

/* Times in ms of the deployment that the decisions depend on. */
typedef struct
{
  cb_msec_t hold_max_ms;   /* longest lease of a worker */
  cb_msec_t stop_ms;       /* a stop takes at most this long */
  cb_msec_t reclaim_ms;    /* guaranteed work starts within this time */
  cb_msec_t status_ms;     /* ended jobs are kept this long */
  double remote_slowdown;  /* of work spread over racks or away from its data */
  cb_counters_t *counters; /* takes the scheduler's histograms; NULL: none */
} cb_batch_params_t;

/* A worker that the advisor is asked about. */
typedef struct
{
  char *worker;
  uint64_t born_ms;
} cb_batch_asked_t;

/* A question to the advisor: which workers may run a step. */
typedef struct
{
  char *job;
  uint32_t occurrence;
  uint32_t step;
  GPtrArray *asked;      /* of cb_batch_asked_t */
  cb_msec_t takes_ms;    /* the advisor's time for it */
  cb_msec_t validity_ms; /* of the tickets */
} cb_batch_question_t;

/* A start of the step on this worker carries the ticket. */
typedef struct
{
  const char *worker;
  const char *ticket;
} cb_batch_permit_t;

/* Sums for metrics. */
typedef struct
{
  uint32_t jobs;
  uint32_t jobs_waiting; /* accepted, nothing started */
  uint32_t tasks_waiting;
  uint32_t tasks_running;
  uint32_t workers;
  uint32_t accelerators;
  uint32_t accelerators_used;
} cb_batch_sums_t;

#endif
