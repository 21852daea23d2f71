#include "bench/lib/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <valgrind/callgrind.h>

static const char *counter_prefix;
static unsigned dump_count;

/* The first argument is the prefix of the files that callgrind writes its counters to,
   as in its option --callgrind-out-file. Without it, or outside callgrind, no
   instructions are counted. */
void
bench_init (int argc, char **argv)
{
  counter_prefix = argc > 1 ? argv[1] : NULL;
}

gboolean
bench_is_counting (void)
{
  return RUNNING_ON_VALGRIND && counter_prefix != NULL;
}

/* Counts instructions until bench_pause. */
void
bench_resume (void)
{
  CALLGRIND_START_INSTRUMENTATION;
  CALLGRIND_TOGGLE_COLLECT;
}

void
bench_pause (void)
{
  CALLGRIND_TOGGLE_COLLECT;
}

/* Returns the instructions counted since the last call, or 0 when bench_is_counting is
   FALSE. */
double
bench_instructions (void)
{
  char *path, *text, *totals;
  double count = 0;

  if (!bench_is_counting ())
    return 0;
  CALLGRIND_STOP_INSTRUMENTATION;
  CALLGRIND_DUMP_STATS;
  path = g_strdup_printf ("%s.%u", counter_prefix, ++dump_count);
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      totals = strstr (text, "\ntotals: ");
      if (totals != NULL)
        count = strtod (totals + strlen ("\ntotals: "), NULL);
      g_free (text);
    }
  bench_require (count > 0, "an instruction count in callgrind's output");
  g_free (path);
  return count;
}

/* Prints a figure without a bound. */
void
bench_print_figure (const char *name, double figure, const char *unit)
{
  printf ("%s %.6g %s - ok\n", name, figure, unit);
}

/* Prints a figure and whether it is within its upper BOUND. */
void
bench_check_bound (const char *name, double figure, const char *unit, double bound)
{
  printf ("%s %.6g %s %.6g %s\n", name, figure, unit, bound,
          figure <= bound ? "ok" : "MISSED");
}

/* Exits with status 2 unless CONDITION holds. For preconditions of a measurement:
   without them its figures mean nothing. EXPECTED says what should have been found. */
void
bench_require (gboolean condition, const char *expected)
{
  if (condition)
    return;
  fflush (stdout);
  fprintf (stderr, "bench: invalid measurement, expected: %s\n", expected);
  exit (2);
}
