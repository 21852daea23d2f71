/* Cost of a placement decision and of the end of a task, as instructions, at four sizes
   of each dimension; the other dimensions stay as they are. */
#include "bench/lib/bench.h"

#include <math.h>
#include <stdio.h>

#define DECISIONS 32
#define SIZES 4
/* Counts are exact, but the depth of the trees behind the indexes and the fill of hash
   tables differ by up to a quarter between sizes. Linear growth would give a ratio of
   8, against bounds below 2. */
#define TOLERANCE 1.25

typedef struct
{
  double place, end;
} cost_t;

static double
place_cost (bench_cell_t *cell)
{
  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      char *key = g_strdup_printf ("p%u", i);
      Cb__JobStateEntry entry = CB__JOB_STATE_ENTRY__INIT;

      entry.job = bench_job ("a549", key, 1, 1, CB__ADJACENCY__INSTANCE);
      entry.job->run_ms = 1000;
      entry.offset = ++cell->offset;
      bench_resume ();
      cb_sched_job_add (cell->sched, &entry, cell->now);
      cb_sched_tick (cell->sched, cell->now += 100);
      bench_pause ();
      bench_require (bench_cell_drain (cell, CB__ENVELOPE__BODY_RESERVE) == 1,
                     "exactly one reservation");
      cb_msg_free (entry.job);
      g_free (key);
    }
  return bench_instructions () / DECISIONS;
}

/* Ends tasks that hold no accelerator, so that nothing new can be placed. */
static double
end_cost (bench_cell_t *cell)
{
  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      uint32_t t = cell->holders + i;
      char *key = g_strdup_printf ("t%u", t);
      char *account = g_strdup_printf ("a%u", t % 550);
      char *worker = g_strdup_printf ("w%u", t % cell->size.workers);
      Cb__Envelope *report = bench_envelope (worker, CB__ENVELOPE__BODY_TASK_REPORT);
      Cb__Task *task = bench_task (account, key, 1, CB__TASK_STATE__TASK_DONE);
      uint32_t before;
      cb_sched_totals_t view;

      cb_sched_totals (cell->sched, &view);
      before = view.jobs_running;
      cb_msg_append ((void ***)&report->task_report->tasks,
                     &report->task_report->n_tasks, task);
      bench_resume ();
      cb_sched_receive (cell->sched, report, cell->now);
      cb_sched_job_ended (cell->sched, account, key, cell->now);
      cb_sched_tick (cell->sched, cell->now += 100);
      bench_pause ();
      cb_sched_totals (cell->sched, &view);
      bench_require (view.jobs_running < before, "an ended task");
      bench_cell_drain (cell, CB__ENVELOPE__BODY__NOT_SET);
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
  cost.place = place_cost (&cell);
  cost.end = end_cost (&cell);
  bench_cell_close (&cell);
  name = g_strdup_printf ("place_by_%s_%u", dimension, value);
  bench_info (name, cost.place, "instructions/decision");
  g_free (name);
  name = g_strdup_printf ("end_by_%s_%u", dimension, value);
  bench_info (name, cost.end, "instructions/end");
  g_free (name);
  fflush (stdout);
  return cost;
}

static void
check (const char *what, const char *dimension, double ratio, double least, double most)
{
  char *name = g_strdup_printf ("%s_growth_by_%s", what, dimension);

  bench_bound (name, ratio, "ratio", TOLERANCE * log (most) / log (least));
  g_free (name);
}

/* Doubles FIELD of SIZE three times up to FULL. */
static void
vary (bench_size_t *size, uint32_t *field, const char *dimension, uint32_t full)
{
  cost_t first = { 0 }, last = { 0 };

  for (int i = 0; i < SIZES; i++)
    {
      *field = full >> (SIZES - 1 - i);
      last = measure (size, dimension, *field);
      if (i == 0)
        first = last;
    }
  check ("place", dimension, last.place / first.place, full >> (SIZES - 1), full);
  check ("end", dimension, last.end / first.end, full >> (SIZES - 1), full);
}

int
main (int argc, char **argv)
{
  /* Workers vary with few tasks, which fit the smallest fleet; the queue is empty
     except where it is varied, as its constant cost would hide the growth. */
  bench_size_t by_workers = { 0, 4500, 11250, 0, FALSE };
  bench_size_t by_accelerators = { 3900, 0, 11250, 0, FALSE };
  bench_size_t by_tasks = { 3900, 4500, 0, 0, FALSE };
  bench_size_t by_queue = { 3900, 4500, 90000, 0, FALSE };

  bench_init (argc, argv);
  if (!bench_counting ())
    {
      fprintf (stderr, "bench_place: counts instructions, run it by bench/run.sh\n");
      return 2;
    }
  vary (&by_workers, &by_workers.workers, "workers", 3900);
  vary (&by_accelerators, &by_accelerators.accelerators, "accelerators", 4500);
  vary (&by_tasks, &by_tasks.tasks, "tasks", 90000);
  vary (&by_queue, &by_queue.queue, "queue", 10000);
  return 0;
}
