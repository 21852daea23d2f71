/* Types and functions that the files of gang/ share. */
#ifndef CB_GANG_LOCAL_H
#define CB_GANG_LOCAL_H

#include "gang/fns.h"

/* Retention of attempts that ended: repeated commands for them are still answered, and
   a new scheduler still receives them in the full report. */
#define ENDED_JOB_RETENTION_MS 60000
/* Gang lease when Start.gang_lease_ms is 0. */
#define DEFAULT_GANG_LEASE_MS 5000

/* Longest time for a checkpoint, in which the loss of another member does not stop a
   task: with DEFAULT_GANG_LEASE_MS a gang is complete or stopped within 10 s. */
#define MAX_CHECKPOINT_MS 5000

/* Paths of a message to another agent: through the entries or over a connection between
   the two agents. */
typedef enum
{
  PATH_ENTRIES,
  PATH_DIRECT,
  N_PATHS,
} path_t;

typedef struct
{
  Cb__Task *info;
  cb_msec_t running_ms;          /* when it began to run, 0 before */
  cb_msec_t worker_status_ms;    /* last status from the worker */
  cb_msec_t worker_lease_end_ms; /* latest time at which the worker's lease can end */
  cb_msec_t next_call_ms;        /* next renewal or repeated stop */
  cb_msec_t checkpoint_end_ms;   /* deadline of the present checkpoint; 0: none */
  gboolean known_to_worker;      /* the worker has reported a status of it */
} task_t;

/* The leader's record of one member of a gang. */
typedef struct
{
  Cb__TaskState state;
  cb_msec_t last_heartbeat_ms;
} member_t;

/* One attempt of a job with its members on this instance. */
typedef struct
{
  char *account;
  char *key;
  uint32_t attempt;
  uint64_t epoch; /* of the reservation */
  GPtrArray *tasks;
  cb_msec_t expires_ms; /* end of the reservation; once ended, of the retention */
  gboolean started;
  gboolean ended;
  Cb__Start *start; /* NULL before start */
  cb_msec_t started_ms;
  cb_msec_t lease_ms;         /* duration of the gang lease */
  cb_msec_t last_decision_ms; /* last decision received from the leader */
  member_t *members;          /* leader only, by index in start->members */
  gboolean complete;          /* all members were running or done at the same time */
  gboolean stopped;           /* the gang is to stop */
} job_t;

struct cb_gang
{
  char *instance;
  char *cell;
  uint32_t accelerators;
  uint32_t cores;
  uint32_t memory_gb;
  uint64_t epoch;
  char *scheduler; /* entry that sent the first command of `epoch` */
  gboolean draining;
  GPtrArray *jobs;
  cb_msec_t heartbeat_due_ms; /* of all gangs */
  cb_outq_t out;
  /* Envelopes to which the present public call still adds, for each path:
     receiver -> Cb__Envelope, owned by `out`. */
  GHashTable *heartbeat_envelopes[N_PATHS];
  GHashTable *decision_envelopes[N_PATHS];
  char *address;     /* of this agent's socket for heartbeats; empty: none */
  GHashTable *links; /* instance of a leader -> link_t of link.c */
};

/* fence.c */
gboolean cb_gang_check_epoch (cb_gang_t *gang, const Cb__Envelope *envelope);

/* reserve.c */
void cb_gang_reserve (cb_gang_t *gang, const char *from, const Cb__Reserve *reserve,
                      cb_msec_t now_ms);

/* tasks.c */
gboolean cb_gang_task_holds_resources (const task_t *task);
void cb_gang_start (cb_gang_t *gang, const Cb__Start *start, uint64_t epoch,
                    cb_msec_t now_ms);
void cb_gang_stop_job (cb_gang_t *gang, job_t *job, Cb__Reason reason,
                       cb_msec_t now_ms);
void cb_gang_stop_task (cb_gang_t *gang, job_t *job, task_t *task, Cb__Reason reason,
                        cb_msec_t now_ms);
void cb_gang_end_task (cb_gang_t *gang, job_t *job, task_t *task, Cb__TaskState state,
                       Cb__Reason reason, cb_msec_t now_ms);
void cb_gang_checkpoint (cb_gang_t *gang, job_t *job, uint32_t grace_ms,
                         cb_msec_t now_ms);

/* worker.c */
void cb_gang_call_worker (cb_gang_t *gang, task_t *task, const char *action,
                          cb_msec_t now_ms);
void cb_gang_tick_tasks (cb_gang_t *gang, job_t *job, cb_msec_t now_ms);

/* lease.c */
void cb_gang_report_to_leader (cb_gang_t *gang, job_t *job, cb_msec_t now_ms);
void cb_gang_handle_heartbeats (cb_gang_t *gang, const char *from,
                                const Cb__GangBeats *heartbeats, path_t path,
                                cb_msec_t now_ms);
void cb_gang_handle_decisions (cb_gang_t *gang, const char *from,
                               const Cb__GangVerdicts *decisions, path_t path,
                               cb_msec_t now_ms);
void cb_gang_close_envelopes (cb_gang_t *gang);
void cb_gang_tick_lease (cb_gang_t *gang, job_t *job, gboolean due, cb_msec_t now_ms);
gboolean cb_gang_is_leader (const cb_gang_t *gang, const job_t *job);
gboolean cb_gang_members_ended (const job_t *job);
const char *cb_gang_leader_instance (const job_t *job);

/* link.c */
void cb_gang_link_free (gpointer link);
void cb_gang_link_set_address (cb_gang_t *gang, const char *leader, const char *address,
                               cb_msec_t now_ms);
void cb_gang_link_confirm (cb_gang_t *gang, const char *leader, cb_msec_t now_ms);
void cb_gang_link_choose_paths (cb_gang_t *gang, const char *leader, cb_msec_t now_ms,
                                gboolean use[N_PATHS]);
void cb_gang_link_prune (cb_gang_t *gang);

/* report.c */
void cb_gang_report_job (cb_gang_t *gang, const job_t *job);
void cb_gang_report_refused_start (cb_gang_t *gang, const Cb__Start *start,
                                   uint64_t epoch, Cb__Reason reason);
void cb_gang_report_all (cb_gang_t *gang);
void cb_gang_task_event (cb_gang_t *gang, const char *event, const job_t *job,
                         const task_t *task);

/* gang.c */
job_t *cb_gang_find_job (const cb_gang_t *gang, const char *account, const char *key,
                         uint32_t attempt);
void cb_gang_job_free (job_t *job);

#endif
