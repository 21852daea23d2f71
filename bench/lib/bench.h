/* Shared by the benchmarks: instruction counts, printed figures, and a scheduler with a
   simulated cell. Figures are counts, never elapsed times, so that they do not depend
   on the load of the machine. */
#ifndef BENCH_H
#define BENCH_H

#include "sched/fns.h"

/* Client accounts of bench_config_new, named a0 to a549. */
#define BENCH_ACCOUNTS 550

/* Size of a simulated cell and of its load. */
typedef struct
{
  uint32_t workers;
  uint32_t accelerators; /* spread evenly over the workers */
  uint32_t tasks;        /* running, each the only task of its job */
  uint32_t queue;        /* queued jobs that cannot be placed */
  /* The queued jobs lack free cores; FALSE: free accelerators. */
  gboolean lack_cores;
} bench_size_t;

/* A scheduler that has received the reports of all agents of its cell. */
typedef struct
{
  bench_size_t size;
  cb_fleet_t *fleet;
  cb_sched_t *sched;
  cb_msec_t now_ms;
  uint64_t offset; /* in the log, of the last job that was added */
  /* Tasks 0 to ACCELERATOR_TASKS - 1 use one accelerator each, the others none. */
  uint32_t accelerator_tasks;
} bench_cell_t;

G_BEGIN_DECLS

/* bench.c */
void bench_init (int argc, char **argv);
gboolean bench_is_counting (void);
void bench_resume (void);
void bench_pause (void);
double bench_instructions (void);
void bench_print_figure (const char *name, double figure, const char *unit);
void bench_check_bound (const char *name, double figure, const char *unit,
                        double bound);
void bench_require (gboolean condition, const char *expected);

/* cell.c */
Cb__Config *bench_config_new (uint32_t workers, uint32_t accelerators);
Cb__Job *bench_job_new (const char *account, const char *key, uint32_t members,
                        uint32_t accelerators, Cb__Adjacency adjacency);
void bench_cell_open (bench_cell_t *cell, const bench_size_t *size);
void bench_cell_close (bench_cell_t *cell);
void bench_cell_add_job (bench_cell_t *cell, Cb__Job *job, Cb__JobState state);
uint32_t bench_cell_discard_outputs (bench_cell_t *cell, Cb__Envelope__BodyCase body);
Cb__Envelope *bench_envelope_new (const char *from, Cb__Envelope__BodyCase body_case);
Cb__Task *bench_task_new (const char *account, const char *key, uint32_t attempt,
                          Cb__TaskState state);

G_END_DECLS

#endif
