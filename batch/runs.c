/* Sets of runs, and reports of a part of a worker's running tasks. */
#include "batch/fns.h"

#include <stdlib.h>
#include <string.h>

/* A report of more running tasks is sent in part where that suffices: its size would
   otherwise grow with the runs of the worker, and the number of reports with their
   ends. */
#define SHORT_LIST_ROWS 200

static guint
run_hash (gconstpointer ptr)
{
  const Cb__TaskRun *run = ptr;
  guint hash = g_str_hash (run->job);

  hash = hash * 31 + run->occurrence;
  hash = hash * 31 + run->step;
  hash = hash * 31 + run->index;
  return hash * 31 + run->run;
}

static gboolean
run_equal (gconstpointer a, gconstpointer b)
{
  const Cb__TaskRun *x = a;
  const Cb__TaskRun *y = b;

  return x->index == y->index && x->run == y->run && x->step == y->step &&
         x->occurrence == y->occurrence && strcmp (x->job, y->job) == 0;
}

/* Returns the set of the running and ended runs of REPORT, whose elements are
   Cb__TaskRun of REPORT: valid until its lists change. Freed with g_hash_table_unref.
 */
GHashTable *
cb_batch_listed_runs (const Cb__WorkerReport *report)
{
  GHashTable *runs = g_hash_table_new (run_hash, run_equal);

  for (size_t i = 0; i < report->n_running; i++)
    g_hash_table_add (runs, report->running[i]->run);
  for (size_t i = 0; i < report->n_ended; i++)
    g_hash_table_add (runs, report->ended[i]->run);
  return runs;
}

/* Returns an empty set of runs for cb_batch_report_copy. Freed with
   g_hash_table_unref. */
GHashTable *
cb_batch_shown_runs_new (void)
{
  return g_hash_table_new_full (run_hash, run_equal, cb_msg_free, NULL);
}

/* TRUE when REPORT has so many running tasks that it should be sent in part when only
   some of them are new. */
gboolean
cb_batch_report_may_be_partial (const Cb__WorkerReport *report)
{
  return report->n_running > SHORT_LIST_ROWS;
}

static void
add_row (Cb__WorkerReport *copy, const Cb__RunningTask *row, GHashTable *shown)
{
  copy->running[copy->n_running++] = (Cb__RunningTask *)cb_msg_copy (&row->base);
  if (!g_hash_table_contains (shown, row->run))
    g_hash_table_add (shown, cb_msg_copy (&row->run->base));
}

/* Returns a copy of REPORT to be sent: with all its running tasks, or, if PARTIAL, only
   with those that no report since the last one with all of them has shown. SHOWN is the
   set of the runs that were shown, and is updated. Freed with cb_msg_free. */
Cb__WorkerReport *
cb_batch_report_copy (const Cb__WorkerReport *report, GHashTable *shown,
                      gboolean partial)
{
  Cb__WorkerReport head = *report;
  Cb__WorkerReport *copy;

  head.running = NULL;
  head.n_running = 0;
  copy = (Cb__WorkerReport *)cb_msg_copy (&head.base);
  copy->running_partial = partial;
  copy->running = calloc (report->n_running + 1, sizeof (void *));
  if (copy->running == NULL)
    abort ();
  if (!partial)
    g_hash_table_remove_all (shown);
  for (size_t i = 0; i < report->n_running; i++)
    if (!partial || !g_hash_table_contains (shown, report->running[i]->run))
      add_row (copy, report->running[i], shown);
  return copy;
}
