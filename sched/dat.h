/* Scheduling of one cell: the job queue, placement, the workers that are pinned for
   guaranteed shapes, preemption, gang start and the health of workers. A guaranteed
   shape is a number of accelerators, within one instance, rack or zone if so stated,
   that the rules promise to an account; a pin is the set of accelerators set aside for
   it. The scheduler does no I/O and reads no clock: each call gets the time, and the
   messages, log records and events to be sent go into an output queue. Used by the
   entry (server process) that schedules the cell and by `carobrun replay`. */
#ifndef CB_SCHED_DAT_H
#define CB_SCHED_DAT_H

#include "base/dat.h"
#include "fleet/dat.h"

enum
{
  CB_SCHED_NEVER_FITS = -700, /* fits nowhere, even in the empty cell */
  CB_SCHED_QUOTA = -701,      /* larger than the account's quota */
  CB_SCHED_QUEUE_FULL = -702,
  CB_SCHED_EXISTS = -703,
  CB_SCHED_NOT_FOUND = -704,
  CB_SCHED_INVALID = -705,
};

/* Times of a gang's start in ms, see docs/design.md section 5. */
#define CB_RESERVE_TTL_MS 5000
#define CB_GANG_LEASE_MS 5000
/* Urgent work starts within this time, or becomes ordinary work. */
#define CB_URGENT_START_MS 2800
/* Grace period of a job that is preempted for urgent work; part of CB_URGENT_START_MS.
 */
#define CB_URGENT_GRACE_MS 1000
/* Jobs of this many accelerators or more count as large. */
#define CB_LARGE_ACCELERATORS 8
/* Jobs whose queue key, the time when they were added plus a cost (see policy.c), is
   this long ago are placed before large jobs. Jobs that were added this long ago can be
   preempted only for urgent work and for the owners of pins. */
#define CB_AGED_MS (INT64_C (4) * 60 * 60 * 1000)
/* Limits of one job: its members, and the accelerators of each member. */
#define CB_JOB_MEMBERS_MAX 4096
#define CB_JOB_ACCELERATORS_MAX 64
/* Jobs that may be queued in a cell before further ones are refused. */
#define CB_CELL_QUEUE_LIMIT 10000

typedef struct cb_sched cb_sched_t;

typedef struct
{
  const char *cell;   /* copied */
  const char *entry;  /* name of the process, copied */
  const char *policy; /* NULL or "adaptive"; baselines: "first-fit", "fifo" */
  uint64_t seed;
} cb_sched_params_t;

/* Status of one job. */
typedef struct
{
  Cb__JobState state; /* JOB_QUEUED also while it waits for preempted jobs to stop, or
                         is being stopped */
  Cb__Reason reason;  /* why it is queued, being stopped or ended */
  Cb__Reason urgent_lost; /* why it is no longer urgent; REASON_NONE: it still is, or
                             never was */
  uint32_t attempt;
  cb_msec_t queued_ms;  /* time when it was added */
  cb_msec_t started_ms; /* time when all members ran, or of a later takeover; 0: not
                           started */
} cb_sched_job_status_t;

/* Sums over the cell, for status, counters and replay. */
typedef struct
{
  uint32_t accelerators; /* of workers that are up */
  uint32_t accelerators_used;
  uint32_t jobs_queued;
  uint32_t jobs_running;
  uint32_t guarantees;       /* guaranteed shapes in the rules for this cell */
  uint32_t guarantees_short; /* guaranteed shapes that fit on no workers at present */
  uint32_t workers_up;
  uint32_t workers_suspended; /* included in workers_up */
  double fragmentation;       /* 0..1, formula in docs/measures.md */
} cb_sched_totals_t;

#endif
