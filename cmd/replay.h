/* `carobrun replay`: runs the scheduler on a recorded trace in virtual time. A
   simulation of the agents, their workers and the log answers the scheduler, and the
   measures of the run are collected. A reclaim is the preemption of jobs for another
   job; its duration is from the decision until the preempted jobs have ended. */
#ifndef CB_CMD_REPLAY_H
#define CB_CMD_REPLAY_H

#include <jansson.h>

#include "cmd/fns.h"
#include "sched/fns.h"

typedef enum
{
  CB_TRACE_SUBMIT,
  CB_TRACE_CANCEL,
  CB_TRACE_WORKER_DOWN,
  CB_TRACE_WORKER_UP,
} cb_trace_op_t;

typedef struct
{
  cb_msec_t at_ms; /* from the start of the trace */
  cb_trace_op_t op;
  Cb__Job *job;          /* submit and cancel */
  char *instance;        /* worker_down and worker_up */
  cb_msec_t true_run_ms; /* run time without interruption; JOB has the declared one */
  uint32_t fails;        /* number of first attempts that fail */
} cb_trace_line_t;

/* Durations in ms, an array of double. */
typedef GArray cb_durations_t;

typedef struct
{
  uint32_t submitted, done, failed, canceled, unknown, unfinished; /* jobs */
  GTree *refused;                /* reason -> number of jobs */
  GTree *urgent_lost;            /* reason -> number of jobs that lost their urgency */
  GTree *refused_jobs;           /* "ACCOUNT/KEY" -> reason */
  GTree *max_starts;             /* kind -> highest number of starts of one job */
  GTree *max_reclaim_ms;         /* account of the job that waits -> longest reclaim */
  GTree *completion_ms;          /* "all" or "ACCOUNT/KIND" -> cb_durations_t */
  cb_durations_t *large_wait_ms; /* submission to first run, of jobs with
                                    CB_LARGE_ACCELERATORS or more */
  cb_durations_t *urgent_start_ms; /* urgent jobs: from queueing to running */
  cb_durations_t *reclaim_ms;
  double utilisation_sum, fragmentation_sum; /* over all samples */
  uint32_t sample_count;
  uint32_t violation_count; /* of the scheduler's invariants */
  char *first_violation;    /* NULL: none */
} cb_replay_stats_t;

/* replay_trace.c */
GPtrArray *cb_trace_read (const char *path, char **error);

/* replay_run.c */
int cb_replay_run (const GPtrArray *trace, cb_fleet_t *fleet, const char *policy,
                   cb_replay_stats_t *stats);

/* replay_stats.c */
void cb_replay_stats_init (cb_replay_stats_t *stats);
void cb_replay_stats_clear (cb_replay_stats_t *stats);
void cb_replay_record_completed (cb_replay_stats_t *stats, const Cb__Job *job,
                                 cb_msec_t took_ms);
void cb_replay_record_max (GTree *values, const char *name, guint value);
void cb_replay_increment (GTree *counts, const char *reason);
json_t *cb_replay_result (const cb_replay_stats_t *stats, const char *policy);
void cb_replay_print (const json_t *result, const char *prefix);
int cb_replay_check_outcomes (const json_t *result, const char *path);

#endif
