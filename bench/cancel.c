/* Cost of a cancelled job when a whole queue is cancelled at once. */
#include "bench/lib/bench.h"

#include <stdio.h>

/* Cancellations that are folded between two ticks. */
#define WAVE 250
/* Removal from a sorted sequence costs the logarithm of its length, at most
   ln 10000 / ln 1000 = 1.33 times as much; the rest is constant. */
#define TOLERANCE 1.35

static double
measure (uint32_t queue)
{
  bench_size_t size = { 975, 1125, 9750, queue, FALSE };
  bench_cell_t cell;
  cb_sched_totals_t view;

  bench_cell_open (&cell, &size);
  for (uint32_t i = 0; i < queue; i += WAVE)
    {
      for (int ended = 0; ended < 2; ended++)
        for (uint32_t k = i; k < MIN (i + WAVE, queue); k++)
          {
            char *account = g_strdup_printf ("a%u", k % 550);
            char *key = g_strdup_printf ("q%u", k);

            bench_resume ();
            if (ended)
              cb_sched_job_ended (cell.sched, account, key, cell.now);
            else
              cb_sched_job_cancel (cell.sched, account, key, cell.now);
            bench_pause ();
            g_free (account);
            g_free (key);
          }
      bench_resume ();
      cb_sched_tick (cell.sched, cell.now += 100);
      bench_pause ();
      bench_cell_drain (&cell, CB__ENVELOPE__BODY__NOT_SET);
    }
  cb_sched_totals (cell.sched, &view);
  bench_require (view.jobs_queued == 0, "an empty queue");
  bench_cell_close (&cell);
  return bench_instructions () / queue;
}

int
main (int argc, char **argv)
{
  static const uint32_t queues[] = { 1000, 3000, 10000 };
  double cost[G_N_ELEMENTS (queues)];

  bench_init (argc, argv);
  if (!bench_counting ())
    {
      fprintf (stderr, "bench_cancel: counts instructions, run it by bench/run.sh\n");
      return 2;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (queues); i++)
    {
      char *name = g_strdup_printf ("cancel_%u", queues[i]);

      cost[i] = measure (queues[i]);
      bench_info (name, cost[i], "instructions/job");
      g_free (name);
    }
  bench_bound ("cancel_growth_3000", cost[1] / cost[0], "ratio", TOLERANCE);
  bench_bound ("cancel_growth_10000", cost[2] / cost[0], "ratio", TOLERANCE);
  return 0;
}
