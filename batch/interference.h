/* State of what is known of kinds of work that slow each other down on one worker. A
   kind is the image of a step, or else the queue of its job. All of it follows from the
   log, so that all entries know the same. Runs are numbered by their starts, and the
   numbers serve to compare ages. */
#ifndef CB_BATCH_INTERFERENCE_H
#define CB_BATCH_INTERFERENCE_H

#include "batch/local.h"

/* Kinds that are told apart, so that a set of them is a uint32_t. The last place stands
   for all kinds that have no place of their own; nothing is learned of it. */
#define KINDS_MAX 32
#define KIND_OTHER (KINDS_MAX - 1)
/* Samples of a worker that wait for one to be compared with. */
#define SAMPLES_MAX 12
/* Times of the latest ended runs of a step, of which the lower quartile
   is used. */
#define STEP_TIMES_MAX 16

typedef struct
{
  char *name;      /* NULL: the place is free */
  uint64_t number; /* of the latest run of the kind */
  uint32_t runs;   /* open runs */
} kind_t;

/* How a run compares with another of its kind on the same worker, when the neighbor has
   come between the two or has left. */
typedef enum
{
  NEIGHBOR_CAME,
  NEIGHBOR_LEFT,
  N_DIRECTIONS,
} direction_t;

/* What is known of the influence of a neighbor on a kind. The values are logarithms of
   the ratio of run times with the neighbor to those without it. */
typedef struct
{
  uint32_t observations;
  double weights[N_DIRECTIONS]; /* of the observations, fading */
  double means[N_DIRECTIONS];
  double variance;
  uint64_t workers; /* set of workers with observations, as bits of a hash */
  gboolean found;   /* the neighbor slows the kind down */
} pair_t;

/* An ended run. */
typedef struct
{
  uint64_t number; /* 0: there is no sample */
  uint32_t kind;
  uint32_t early;             /* set of the kinds beside it since about its start */
  uint8_t percent[KINDS_MAX]; /* share of its time with each kind beside it */
  uint32_t step;              /* hash of its job and step */
  double time;                /* logarithm of its run time */
  double work;                /* the same of the work of its step, as known by then */
} sample_t;

/* What has run on a worker. */
typedef struct
{
  char *id;
  uint64_t incarnation_ms;
  uint64_t number;                /* of the latest run */
  uint64_t clock_ms;              /* to which the times below count */
  uint32_t runs[KINDS_MAX];       /* open runs of each kind */
  uint32_t present_ms[KINDS_MAX]; /* time with a run of the kind; wraps around */
  uint32_t several_ms[KINDS_MAX]; /* time with several; wraps around */
  sample_t samples[SAMPLES_MAX];
} company_t;

/* The start of a run. */
struct run_mark
{
  uint64_t number;
  uint64_t clock_ms; /* of the scheduler's process; 0: unknown */
  uint32_t kind;
  uint32_t early;                /* set of the kinds beside it since about its start */
  uint32_t beside_ms[KINDS_MAX]; /* as in company_t, without the run itself */
};

/* Logarithms of the latest run times of a step's tasks, corrected for the speed of
   their workers and for the kinds beside them. */
struct step_times
{
  double times[STEP_TIMES_MAX];
  uint32_t ended; /* tasks that have ended */
};

struct interference
{
  kind_t kinds[KINDS_MAX];
  pair_t pairs[KINDS_MAX][KINDS_MAX]; /* [kind][neighbor] */
  uint32_t apart[KINDS_MAX]; /* kinds that the kind slows down or is slowed down by */
  uint32_t n_found;
  GHashTable *kind_of_name; /* name -> place + 1 */
  GHashTable *companies;    /* id/incarnation of a worker -> company_t */
  uint64_t epoch;           /* of the latest run */
  uint64_t number;          /* of the latest run */
  uint64_t runs_from;       /* runs with lower numbers are not compared */
  uint64_t samples_from;    /* samples with lower numbers are void */
  uint64_t swept;           /* number when idle companies were last removed */
  gboolean ignored;         /* placement does not use the pairs */
};

G_BEGIN_DECLS

/* interference.c */
void interference_forget_kind (cb_batch_t *b, uint32_t kind);
void interference_update_apart (interference_t *state);
double interference_expected (const interference_t *state, const sample_t *sample);
void interference_add_sample (cb_batch_t *b, company_t *company,
                              const sample_t *sample);

/* kinds.c */
const char *kind_name (const Cb__BatchStep *step, const char *queue);
uint32_t kind_find (const interference_t *state, const char *name);
uint32_t kind_of_run (cb_batch_t *b, const task_t *task);

/* company.c */
company_t *company_find (const interference_t *state, const worker_t *w);
company_t *company_add (interference_t *state, const char *id, uint64_t incarnation_ms);

G_END_DECLS

#endif
