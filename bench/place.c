/* Instructions of a placement decision and of the end of a task. Each dimension of the
   load (workers, accelerators, tasks, queue) is measured at four sizes, with the others
   constant. */
#include "bench/lib/bench.h"

#include <math.h>
#include <stdio.h>

#define DECISIONS 32
#define SIZES 4
/* Factor by which the cost may grow more than the logarithm of the size. Counts are
   exact, but the depth of the index trees and the load of the hash tables change the
   cost by up to a quarter between sizes. Linear growth would give a ratio of 8; the
   bounds are below 2. */
#define GROWTH_TOLERANCE 1.25

typedef struct
{
  double placement, task_end;
} cost_t;

static double
measure_placement (bench_cell_t *cell)
{
  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      char *key = g_strdup_printf ("p%u", i);
      Cb__JobStateEntry entry = CB__JOB_STATE_ENTRY__INIT;

      entry.job = bench_job_new ("a549", key, 1, 1, CB__ADJACENCY__INSTANCE);
      entry.job->run_ms = 1000;
      entry.offset = ++cell->offset;
      bench_resume ();
      cb_sched_job_add (cell->sched, &entry, cell->now_ms);
      cb_sched_tick (cell->sched, cell->now_ms += 100);
      bench_pause ();
      bench_require (bench_cell_discard_outputs (cell, CB__ENVELOPE__BODY_RESERVE) == 1,
                     "exactly one reservation");
      cb_msg_free (entry.job);
      g_free (key);
    }
  return bench_instructions () / DECISIONS;
}

/* Ends tasks without accelerators: no queued job can be placed by what they free, so
   that no placement is counted. */
static double
measure_task_end (bench_cell_t *cell)
{
  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      uint32_t task_number = cell->accelerator_tasks + i;
      char *key = g_strdup_printf ("t%u", task_number);
      char *account = g_strdup_printf ("a%u", task_number % BENCH_ACCOUNTS);
      char *worker = g_strdup_printf ("w%u", task_number % cell->size.workers);
      Cb__Envelope *report =
          bench_envelope_new (worker, CB__ENVELOPE__BODY_TASK_REPORT);
      Cb__Task *task = bench_task_new (account, key, 1, CB__TASK_STATE__TASK_DONE);
      uint32_t before;
      cb_sched_totals_t totals;

      cb_sched_totals (cell->sched, &totals);
      before = totals.jobs_running;
      cb_msg_append ((void ***)&report->task_report->tasks,
                     &report->task_report->n_tasks, task);
      bench_resume ();
      cb_sched_receive (cell->sched, report, cell->now_ms);
      cb_sched_job_ended (cell->sched, account, key, cell->now_ms);
      cb_sched_tick (cell->sched, cell->now_ms += 100);
      bench_pause ();
      cb_sched_totals (cell->sched, &totals);
      bench_require (totals.jobs_running < before, "one running job less");
      bench_cell_discard_outputs (cell, CB__ENVELOPE__BODY__NOT_SET);
      cb_msg_free (report);
      g_free (key);
      g_free (account);
      g_free (worker);
    }
  return bench_instructions () / DECISIONS;
}

static cost_t
measure (const bench_size_t *size, const char *dimension, uint32_t value)
{
  bench_cell_t cell;
  cost_t cost;
  char *name;

  bench_cell_open (&cell, size);
  cost.placement = measure_placement (&cell);
  cost.task_end = measure_task_end (&cell);
  bench_cell_close (&cell);
  name = g_strdup_printf ("place_by_%s_%u", dimension, value);
  bench_print_figure (name, cost.placement, "instructions/decision");
  g_free (name);
  name = g_strdup_printf ("end_by_%s_%u", dimension, value);
  bench_print_figure (name, cost.task_end, "instructions/end");
  g_free (name);
  fflush (stdout);
  return cost;
}

/* Prints RATIO, the growth of a cost from size SMALLEST to LARGEST, and its bound. */
static void
check_growth (const char *cost_name, const char *dimension, double ratio,
              double smallest, double largest)
{
  char *name = g_strdup_printf ("%s_growth_by_%s", cost_name, dimension);

  bench_check_bound (name, ratio, "ratio",
                     GROWTH_TOLERANCE * log (largest) / log (smallest));
  g_free (name);
}

/* Measures with FIELD of SIZE at FULL / 8, FULL / 4, FULL / 2 and FULL. */
static void
measure_dimension (bench_size_t *size, uint32_t *field, const char *dimension,
                   uint32_t full)
{
  cost_t first = { 0 }, last = { 0 };

  for (int i = 0; i < SIZES; i++)
    {
      *field = full >> (SIZES - 1 - i);
      last = measure (size, dimension, *field);
      if (i == 0)
        first = last;
    }
  check_growth ("place", dimension, last.placement / first.placement,
                full >> (SIZES - 1), full);
  check_growth ("end", dimension, last.task_end / first.task_end, full >> (SIZES - 1),
                full);
}

int
main (int argc, char **argv)
{
  /* The number of tasks with a varying number of workers is one that the smallest fleet
     can run. The queue is empty except where it is varied, as its constant cost would
     hide the growth with the other dimensions. */
  bench_size_t by_workers = { 0, 4500, 11250, 0, FALSE };
  bench_size_t by_accelerators = { 3900, 0, 11250, 0, FALSE };
  bench_size_t by_tasks = { 3900, 4500, 0, 0, FALSE };
  bench_size_t by_queue = { 3900, 4500, 90000, 0, FALSE };

  bench_init (argc, argv);
  if (!bench_is_counting ())
    {
      fprintf (stderr, "bench_place: needs callgrind to count instructions; run it "
                       "with bench/run.sh\n");
      return 2;
    }
  measure_dimension (&by_workers, &by_workers.workers, "workers", 3900);
  measure_dimension (&by_accelerators, &by_accelerators.accelerators, "accelerators",
                     4500);
  measure_dimension (&by_tasks, &by_tasks.tasks, "tasks", 90000);
  measure_dimension (&by_queue, &by_queue.queue, "queue", 10000);
  return 0;
}
