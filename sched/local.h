/* Types and functions shared by the files of sched/ only. */
#ifndef CB_SCHED_LOCAL_H
#define CB_SCHED_LOCAL_H

#include "sched/fns.h"

/* Classes of accelerators that a placement may use. Each class has its own count on
   workers, racks and the cell, and its own index of workers and racks. */
typedef enum
{
  CAPACITY_FREE,
  CAPACITY_UNPINNED,    /* free and not pinned */
  CAPACITY_PREEMPTIBLE, /* free, or held by jobs that urgent work may preempt */
  CAPACITY_PREEMPTIBLE_UNPINNED, /* the same, not pinned */
  CAPACITY_PINNABLE, /* not pinned and not held by jobs that can't be preempted */
  CAPACITIES
} capacity_t;

typedef enum
{
  STAGE_QUEUED,
  STAGE_PREEMPTING, /* placed; waits for the jobs it preempted to stop */
  STAGE_RESERVING,
  STAGE_APPENDING, /* the start of a job that is not repeatable is being logged */
  STAGE_STARTING,
  STAGE_RUNNING,
  STAGE_STOPPING,
  STAGE_ENDED /* until the log holds its job_end record */
} stage_t;

typedef struct job job_t;

/* An unsuccessful attempt to place a job. Another attempt is useless before UNTIL_MS,
   when a time limit of a rule expires, unless the version of the cell changes. */
typedef struct
{
  uint64_t version; /* 0: none */
  cb_msec_t until_ms;
} refusal_t;

typedef struct
{
  char *name;
  GSequence *workers[CAPACITIES]; /* by worker_t.count[CAPACITY], then index */
  GSequence *racks[CAPACITIES];   /* by rack_t.count[CAPACITY], then index */
} zone_t;

typedef struct
{
  char *name;
  uint32_t index;
  zone_t *zone;
  GPtrArray *workers;
  uint32_t count[CAPACITIES];          /* accelerators of each class */
  GSequenceIter *position[CAPACITIES]; /* in the zone's indexes */
} rack_t;

/* How the latest task of a job on a worker ended. */
typedef struct
{
  uint64_t job_serial; /* 0: unused */
  gboolean failed;
} outcome_t;

/* A worker is suspended when HISTORY_FAILURES of its latest HISTORY_SIZE outcomes are
   failures. */
#define HISTORY_SIZE 6
#define HISTORY_FAILURES 5

/* Failed attempts after which a job ends. */
#define FAILURES_MAX 3

/* An instance of the cell and its agent, which runs the members of jobs. */
typedef struct
{
  char *name;
  uint32_t index;
  rack_t *rack;
  uint32_t cores;
  uint32_t memory_gb;
  /* Bit masks of accelerators. */
  uint64_t installed;
  uint64_t used;
  uint64_t pending; /* reserved for jobs in STAGE_PREEMPTING */
  uint64_t pinned;
  uint32_t cores_used, memory_used_gb;
  uint32_t cores_pending, memory_pending_gb;
  gboolean in_fleet, up;
  gboolean reported; /* has sent a full report in this epoch */
  gboolean draining;
  uint64_t incarnation;
  uint64_t newest_incarnation; /* of the messages that its agent has sent */
  uint64_t newest_sent_ms; /* of those of newest_incarnation, on the agent's clock */
  cb_msec_t suspended_until_ms, avoid_until_ms; /* 0: not suspended, not avoided */
  uint32_t suspensions;                         /* since a task last succeeded */
  outcome_t history[HISTORY_SIZE];              /* a ring buffer */
  uint32_t history_next;
  GPtrArray *jobs; /* that have members on it, one entry for each member */
  GPtrArray *pins;
  uint32_t count[CAPACITIES]; /* accelerators of each class */
  uint32_t usable;            /* its accelerators; 0 while it takes no new work */
  GSequenceIter *position[CAPACITIES]; /* in the zone's indexes */
} worker_t;

typedef struct
{
  worker_t *worker; /* NULL: not placed or released */
  uint64_t mask;    /* of its accelerators */
  Cb__TaskState state;
  gboolean confirmed; /* the agent holds the reservation */
} member_t;

/* The accelerators of one worker that belong to a pin. */
typedef struct
{
  worker_t *worker;
  uint64_t mask;
} pin_part_t;

/* One guaranteed shape of an account and the accelerators that are set aside for it.
   Others may use these with jobs that can be preempted. */
typedef struct
{
  char *account;
  uint32_t accelerators;
  Cb__Adjacency adjacency;
  char *zone;    /* NULL: any */
  GArray *parts; /* of pin_part_t; empty: the shape fits nowhere at present */
  job_t *holder; /* the owner's job that uses the pin, or NULL */
} pin_t;

typedef struct
{
  char *name;
  uint32_t quota, quota_cores; /* accelerators and cores; 0: unlimited */
  uint32_t share;              /* weight in the adaptive policy, at least 1 */
  /* In use, with what is reserved for jobs in STAGE_PREEMPTING. */
  uint32_t accelerators_used, cores_used;
  /* Use up to which the account may exceed its quota: what ran when the quota was
     lowered or when a takeover found it running. Falls as jobs release accelerators and
     cores. */
  uint32_t exempt_accelerators, exempt_cores;
  /* Part of the use that is reserved for jobs in STAGE_PREEMPTING. */
  uint32_t pending_accelerators, pending_cores;
  GPtrArray *pins;
  GPtrArray *placed; /* jobs with members on workers */
  GSequence *parked; /* jobs that wait for the quota */
} account_t;

struct job
{
  Cb__Job *spec;
  char *id; /* account and key, separated by a line feed */
  uint64_t serial;
  account_t *account;
  uint64_t offset;         /* in the log */
  gboolean can_checkpoint; /* can save its state when it is preempted */
  gboolean can_borrow;     /* may use others' pins and may be preempted */
  gboolean not_repeatable; /* may be started only once */
  gboolean urgent, large;
  gboolean started_once; /* in this attempt or an earlier one */
  gboolean start_sent;   /* the start of this attempt was sent to the agents */
  gboolean unresolved; /* may already run: not placed until the agents have reported */
  stage_t stage;
  uint32_t attempt, failures;
  uint32_t stops_resent; /* in this attempt */
  uint64_t epoch;        /* under which the attempt was reserved */
  member_t *members;
  uint32_t placed_count; /* members with a worker */
  pin_t *pin;            /* of its account, that it uses; NULL: none */
  /* Its positions in the sequences of the scheduler and of its account; NULL: none. */
  GSequenceIter *queue_iter, *guaranteed_iter, *parked_iter, *large_iter, *timer_iter;
  cb_msec_t queue_key; /* order in the queue; a time plus a cost, see policy.c */
  cb_msec_t added_ms;
  cb_msec_t queued_ms;  /* when its present wait began */
  cb_msec_t started_ms; /* 0: does not run */
  cb_msec_t due_ms;     /* of its timer; 0: not set */
  cb_msec_t retry_ms;   /* it is not placed before */
  cb_msec_t checkpoint_ms;
  cb_msec_t predicted_ms; /* expected run time */
  cb_msec_t attained_ms;  /* run time of earlier attempts that checkpoints preserve */
  GPtrArray *preempted;   /* jobs that it preempted and that have not stopped */
  GPtrArray *preemptors;  /* jobs that wait for this one to stop */
  gboolean cancel;
  gboolean end_in_log;       /* the log already holds its end */
  gboolean end_when_stopped; /* with END_STATE; otherwise it is queued again */
  Cb__JobState end_state;
  Cb__Reason reason;      /* why it is queued, being stopped or ended */
  Cb__Reason urgent_lost; /* why it is no longer urgent */
  uint64_t run_ms;
  uint64_t tag;                          /* of its append; 0: none */
  cb_msec_t preempt_ms;                  /* when it preempted other jobs */
  uint64_t failed_workers[FAILURES_MAX]; /* indexes of workers; it avoids them */
  refusal_t refused, refused_pins; /* everywhere; on the pins of its account only */
  uint32_t failed_worker_count;
};

typedef struct
{
  const char *name;
  cb_msec_t (*queue_key) (const cb_sched_t *sched, const job_t *job);
  gboolean backfill; /* jobs behind one that does not fit may start */
  /* FALSE in the baselines: placement by first fit, without a held rack and without
     preemption for work that is not urgent, except by the owner of a pin. */
  gboolean best_fit;
} policy_ops_t;

struct cb_sched
{
  const policy_ops_t *policy;
  char *cell, *entry;
  cb_outq_t out;
  cb_fleet_t *fleet;
  uint64_t epoch;
  uint64_t serial; /* of the job added last */
  uint64_t tag;    /* of the append queued last */
  gboolean takeover_done;
  cb_msec_t resync_ms; /* when agents that have not reported are asked again */
  cb_msec_t epoch_ms;  /* when the epoch began */
  /* Wall clock time from which the previous scheduler was silent; 0: unknown. */
  uint64_t predecessor_lost_wall_ms;
  GPtrArray *workers, *racks, *zones, *pins;
  GHashTable *worker_by_name, *rack_by_name, *zone_by_name;
  GHashTable *jobs; /* by id */
  GHashTable *accounts;
  GHashTable *predictions; /* observed run times, see predict.c */
  GHashTable *tags;        /* of queued appends -> job */
  /* Queued jobs by queue_key: urgent ones; those that fit a pin of their account; all
     that are not urgent. */
  GSequence *urgent, *guaranteed, *queue;
  GSequence *large;           /* queued large jobs by age */
  GSequence *timers;          /* jobs by due_ms */
  GPtrArray *newly_suspended; /* workers that were suspended in this call */
  GPtrArray *removed_jobs;    /* to be freed at the next tick */
  rack_t *held_rack;          /* for HELD_FOR: takes only jobs expected to end by
                                 HELD_UNTIL_MS, and urgent work; or NULL */
  job_t *held_for;            /* the oldest large job */
  cb_msec_t held_until_ms;
  cb_msec_t health_due_ms; /* when a suspension or avoidance ends; 0: none */
  GHashTable *fit_cache;   /* shape -> whether it fits into the empty cell */
  gboolean pins_dirty;     /* pins_repair has work to do */
  uint64_t version;        /* changes with anything that decides about a placement */
  cb_msec_t recheck_ms;    /* when the current refusal may no longer hold */
  uint32_t instance_shapes[8]; /* sizes of guaranteed shapes within an instance */
  uint32_t instance_shape_count;
  uint32_t short_pins; /* pins without workers */
  uint32_t queued_count;
  uint32_t count[CAPACITIES]; /* accelerators of all workers */
  uint32_t usable;            /* accelerators of workers that take new work */
};

/* Workers and accelerators for all members of a job, and what they cost. */
typedef struct
{
  member_t *members;
  GPtrArray *to_preempt; /* jobs that must be stopped first */
  /* For urgent work and on pins the run time that TO_PREEMPT loses, in
     accelerator-milliseconds; otherwise the accelerators of TO_PREEMPT. */
  uint64_t loss;
  int32_t waste;   /* change of the accelerators no guaranteed shape can use */
  int32_t partial; /* change of the number of partly free instances */
} placement_t;

/* Cores and memory of a worker that remain; negative when they are exceeded. */
typedef struct
{
  int64_t cores, memory_gb;
} headroom_t;

/* cell.c */
worker_t *cell_worker (const cb_sched_t *s, const char *name);
account_t *cell_account (cb_sched_t *s, const char *name);
gboolean worker_usable (const worker_t *w);
void worker_update_index (cb_sched_t *s, worker_t *w);
void cell_set_fleet (cb_sched_t *s);
void cell_init (cb_sched_t *s);
void cell_clear (cb_sched_t *s);
void member_assign (cb_sched_t *s, job_t *job, uint32_t i, worker_t *w, uint64_t mask,
                    gboolean pending);
void member_release (cb_sched_t *s, job_t *job, uint32_t i);
void job_use_pending (cb_sched_t *s, job_t *job);
uint32_t job_accelerators (const job_t *job);

/* takeover.c */
void takeover_begin (cb_sched_t *s, cb_msec_t now_ms);
void takeover_resync (cb_sched_t *s, cb_msec_t now_ms);
void takeover_end_if_ready (cb_sched_t *s, cb_msec_t now_ms);
void takeover_handle_task (cb_sched_t *s, job_t *job, const Cb__Task *task);
void report_handle_task (cb_sched_t *s, worker_t *w, const Cb__Task *task,
                         cb_msec_t now_ms);

/* queue.c */
void queue_add (cb_sched_t *s, job_t *job);
void queue_remove (cb_sched_t *s, job_t *job);
void queue_park (cb_sched_t *s, job_t *job);
void queue_unpark (cb_sched_t *s, account_t *account);
gboolean quota_allows (const job_t *job);
void queue_start_jobs (cb_sched_t *s, cb_msec_t now_ms);
void queue_recheck (cb_sched_t *s, cb_msec_t at_ms);
gint queue_compare (gconstpointer a, gconstpointer b, gpointer data);

/* place.c */
gboolean placement_find (cb_sched_t *s, job_t *job, capacity_t capacity,
                         cb_msec_t now_ms, placement_t *placement);
gboolean placement_find_in_pin (cb_sched_t *s, job_t *job, const pin_t *pin,
                                capacity_t capacity, cb_msec_t now_ms,
                                placement_t *placement);
void placement_clear (placement_t *placement);
gboolean placement_could_fit (const cb_sched_t *s, const Cb__Job *job);

/* pins.c */
void pins_rebuild (cb_sched_t *s);
void pins_repair (cb_sched_t *s, cb_msec_t now_ms);
void pin_release (cb_sched_t *s, pin_t *pin);
headroom_t pins_headroom (const worker_t *w, const pin_t *without);
uint64_t pins_limit_mask (const worker_t *w, uint64_t mask);
void pins_trim (cb_sched_t *s, worker_t *w);
void pins_release_worker (cb_sched_t *s, worker_t *w);
void pins_release_mask (cb_sched_t *s, worker_t *w, uint64_t mask,
                        const account_t *owner);
gboolean pin_fits (const pin_t *pin, const Cb__Job *job);
void pins_move_off_rack (cb_sched_t *s, rack_t *rack);
void pins_clear (cb_sched_t *s);

/* start.c */
void start_reserve (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void start_confirmed (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void start_send (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void job_stop (cb_sched_t *s, job_t *job, Cb__Reason reason, cb_msec_t now_ms);
void job_send_stop (cb_sched_t *s, job_t *job);
void job_append_end (cb_sched_t *s, job_t *job, Cb__JobState state, Cb__Reason reason,
                     cb_msec_t now_ms);
void job_attempt_ended (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void job_handle_task (cb_sched_t *s, job_t *job, worker_t *w, const Cb__Task *task,
                      cb_msec_t now_ms);
void job_worker_removed (cb_sched_t *s, job_t *job, worker_t *w, cb_msec_t now_ms);
void job_member_lost (cb_sched_t *s, job_t *job, worker_t *w, cb_msec_t now_ms);
void job_handle_timer (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void job_free (job_t *job);
void job_set_timer (cb_sched_t *s, job_t *job, cb_msec_t due_ms);
void job_remove (cb_sched_t *s, job_t *job);
void job_resolve (cb_sched_t *s, job_t *job, cb_msec_t now_ms);
void job_preempt (cb_sched_t *s, job_t *job, cb_msec_t grace_ms, cb_msec_t now_ms);
uint64_t task_mask (const Cb__Task *task);
Cb__Envelope *sched_send (cb_sched_t *s, const char *to, Cb__Envelope__BodyCase body);

/* reclaim.c */
uint64_t preemption_loss (const job_t *job, cb_msec_t now_ms);
gboolean preemptible_for_pin_owner (const job_t *job);
gboolean preemptible_for_urgent (const job_t *job);
gboolean preemptible_for_waiting (cb_sched_t *s, const job_t *candidate,
                                  const job_t *job, cb_msec_t now_ms);
gboolean preemptible_for_own_urgent (const job_t *candidate, const job_t *job);
gboolean reclaim_quota (cb_sched_t *s, const job_t *job, placement_t *placement,
                        cb_msec_t now_ms);
void reclaim_begin (cb_sched_t *s, job_t *job, placement_t *placement,
                    cb_msec_t now_ms);
void reclaim_cancel (job_t *job);
void reclaim_job_stopped (cb_sched_t *s, job_t *job, cb_msec_t now_ms);

/* health.c */
void health_record_outcome (cb_sched_t *s, worker_t *w, job_t *job, gboolean failed,
                            cb_msec_t now_ms);
void health_remove_outcomes (cb_sched_t *s, const job_t *job);
void health_set_timer (cb_sched_t *s, cb_msec_t at_ms);
void health_tick (cb_sched_t *s, cb_msec_t now_ms);

/* predict.c */
cb_msec_t predict_run_ms (const cb_sched_t *s, const Cb__Job *job);
void predict_observe (cb_sched_t *s, const Cb__Job *job, uint64_t run_ms);

/* policy.c */
gboolean policy_prefers_short (const cb_sched_t *s);
const policy_ops_t *policy_find (const char *name);

#endif
