/* Cost of the cancellation of one job, in instructions, while all jobs of a long queue
   are cancelled. */
#include "bench/lib/bench.h"

#include <stdio.h>

/* Cancellations that the scheduler reads from the log between two ticks. */
#define CANCELS_PER_TICK 250
/* Largest growth of the cost from the shortest queue. Removal from a sorted sequence is
   logarithmic in its length: a queue of 10,000 costs ln 10000 / ln 1000 = 1.33 times as
   much as one of 1,000. The rest of the cost is constant. */
#define GROWTH_MAX 1.35

static double
measure (uint32_t queue)
{
  bench_size_t size = { 975, 1125, 9750, queue, FALSE };
  bench_cell_t cell;
  cb_sched_totals_t totals;

  bench_cell_open (&cell, &size);
  for (uint32_t i = 0; i < queue; i += CANCELS_PER_TICK)
    {
      /* The cancellations, then the ends of these jobs as read from the log. */
      for (int ended = 0; ended < 2; ended++)
        for (uint32_t k = i; k < MIN (i + CANCELS_PER_TICK, queue); k++)
          {
            char *account = g_strdup_printf ("a%u", k % BENCH_ACCOUNTS);
            char *key = g_strdup_printf ("q%u", k);

            bench_resume ();
            if (ended)
              cb_sched_job_ended (cell.sched, account, key, cell.now_ms);
            else
              cb_sched_job_cancel (cell.sched, account, key, cell.now_ms);
            bench_pause ();
            g_free (account);
            g_free (key);
          }
      bench_resume ();
      cb_sched_tick (cell.sched, cell.now_ms += 100);
      bench_pause ();
      bench_cell_discard_outputs (&cell, CB__ENVELOPE__BODY__NOT_SET);
    }
  cb_sched_totals (cell.sched, &totals);
  bench_require (totals.jobs_queued == 0, "an empty queue");
  bench_cell_close (&cell);
  return bench_instructions () / queue;
}

int
main (int argc, char **argv)
{
  static const uint32_t queues[] = { 1000, 3000, 10000 };
  double cost[G_N_ELEMENTS (queues)];

  bench_init (argc, argv);
  if (!bench_is_counting ())
    {
      fprintf (stderr, "bench_cancel: needs callgrind to count instructions; run it "
                       "with bench/run.sh\n");
      return 2;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (queues); i++)
    {
      char *name = g_strdup_printf ("cancel_%u", queues[i]);

      cost[i] = measure (queues[i]);
      bench_print_figure (name, cost[i], "instructions/job");
      g_free (name);
    }
  bench_check_bound ("cancel_growth_3000", cost[1] / cost[0], "ratio", GROWTH_MAX);
  bench_check_bound ("cancel_growth_10000", cost[2] / cost[0], "ratio", GROWTH_MAX);
  return 0;
}
