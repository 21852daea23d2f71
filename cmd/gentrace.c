/* The command `carobrun gentrace`: generates reproducible traces for the replay. A
   trace holds the jobs of one site: a fleet with client accounts and kinds of jobs. */
#include "cmd/fns.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MINUTE_MS (INT64_C (60) * 1000)
#define HOUR_MS (60 * MINUTE_MS)
#define WORKER_COUNT 11
#define WORKERS_PER_RACK 3
#define SIZE_COUNT 4    /* sizes per kind of job */
#define ACCOUNT_COUNT 4 /* client accounts per site */

/* A kind of job of a site: its arrival rate and what its jobs need. */
typedef struct
{
  const char *name;
  double jobs_per_hour;
  double median_run_minutes;  /* run times are from half to double of it */
  uint32_t sizes[SIZE_COUNT]; /* accelerators of a job; each value is equally likely */
  const char *adjacency;
} job_kind_t;

typedef struct
{
  const char *name;
  const char *accounts[ACCOUNT_COUNT];
  uint32_t account_weights[ACCOUNT_COUNT];
  job_kind_t kinds[3];
  uint32_t kind_count;
} site_t;

static const site_t sites[] = {
  { "ertis",
    { "float-line", "bottle-works", "lab-glass", "mirror-shop" },
    { 4, 3, 2, 1 },
    { { "edge-profile", 8, 35, { 4, 8, 8, 16 }, "rack" },
      { "scratch-map", 24, 8, { 2, 2, 4, 8 }, "instance" } },
    2 },
  { "ballonerie",
    { "fairground", "wholesale", "weddings", "street-sellers" },
    { 4, 3, 2, 1 },
    { { "order-sheet", 70, 4, { 2, 2, 4, 4 }, "instance" },
      { "overnight-batch", 4.5, 45, { 8, 8, 12, 16 }, "rack" },
      { "foil-print", 8, 6, { 2, 4, 4, 8 }, "instance" } },
    3 },
};

typedef struct
{
  cb_msec_t at_ms;
  uint32_t serial; /* orders the rows of the same time */
  char *text;      /* a line of the trace */
} row_t;

typedef struct
{
  const site_t *site;
  GRand *rand;
  GArray *rows;         /* of row_t */
  GPtrArray *job_ids;   /* `"account":"A","key":"K"` of each job, as generated */
  GArray *submitted_ms; /* of cb_msec_t, for each of job_ids */
  cb_msec_t end_ms;
} generator_t;

static void
add_row (generator_t *g, cb_msec_t at_ms, char *text)
{
  row_t row = { at_ms, g->rows->len, text };

  g_array_append_val (g->rows, row);
}

/* Returns the index of a random account, by the weights of the site. */
static uint32_t
pick_account (generator_t *g)
{
  uint32_t total = 0;
  uint32_t i = 0;
  gint32 left;

  for (uint32_t k = 0; k < ACCOUNT_COUNT; k++)
    total += g->site->account_weights[k];
  left = g_rand_int_range (g->rand, 0, (gint32)total);
  while (left >= (gint32)g->site->account_weights[i])
    left -= (gint32)g->site->account_weights[i++];
  return i;
}

/* Returns the run time that a job declares: the true one for 60 % of the jobs, a tenth
   of it for 20 % and ten times as long for 20 %. */
static cb_msec_t
declared_run_ms (generator_t *g, cb_msec_t run_ms)
{
  double p = g_rand_double (g->rand);

  if (p < 0.6)
    return run_ms;
  return p < 0.8 ? run_ms / 10 : run_ms * 10;
}

/* Returns how many of the first attempts of a job fail: 1 for 4 % of the jobs and 99
   for 2 %. The scheduler makes fewer than 99 attempts, so the latter never complete. */
static uint32_t
failing_attempts (generator_t *g)
{
  double p = g_rand_double (g->rand);

  if (p < 0.02)
    return 99;
  return p < 0.06 ? 1 : 0;
}

static void
add_job (generator_t *g, cb_msec_t at_ms, const job_kind_t *kind)
{
  uint32_t size = kind->sizes[g_rand_int_range (g->rand, 0, SIZE_COUNT)];
  uint32_t accelerators_each = size > 8 ? 4 : 1;
  const char *account = g->site->accounts[pick_account (g)];
  cb_msec_t run_ms = (cb_msec_t)(kind->median_run_minutes * (double)MINUTE_MS *
                                 pow (2, g_rand_double_range (g->rand, -1, 1)));
  gboolean urgent = g_rand_double (g->rand) < 0.04;
  gboolean huge = g_rand_double (g->rand) < 0.005;
  cb_msec_t declared_ms = declared_run_ms (g, run_ms);
  char *id =
      g_strdup_printf ("\"account\":\"%s\",\"key\":\"j%u\"", account, g->job_ids->len);

  /* More accelerators than a rack has, so that the job can never run. */
  if (huge)
    size = 32;
  add_row (g, at_ms,
           g_strdup_printf (
               "{\"at_ms\":%" G_GINT64_FORMAT ",\"op\":\"submit\",\"job\":{%s,"
               "\"kind\":\"%s\",\"members\":%u,\"accelerators\":%u,\"cores\":%u,"
               "\"memory_gb\":%u,\"adjacency\":\"%s\",\"run_ms\":%" G_GINT64_FORMAT
               "%s},\"true_run_ms\":%" G_GINT64_FORMAT ",\"fails\":%u}",
               at_ms, id, kind->name, size / accelerators_each, accelerators_each,
               4 * accelerators_each, 8 * accelerators_each, kind->adjacency,
               declared_ms, urgent ? ",\"urgent\":true" : "", run_ms,
               failing_attempts (g)));
  g_ptr_array_add (g->job_ids, id);
  g_array_append_val (g->submitted_ms, at_ms);
}

/* Adds jobs of KIND at random intervals (a Poisson process). The rate is twice as high
   in the first half of each day as in the second. */
static void
add_arrivals (generator_t *g, const job_kind_t *kind)
{
  double at = 0;

  for (;;)
    {
      double day = fmod (at, 24.0 * (double)HOUR_MS) / (double)HOUR_MS;
      double rate = kind->jobs_per_hour * (day < 12 ? 4.0 / 3 : 2.0 / 3);

      at += -log (1 - g_rand_double (g->rand)) * (double)HOUR_MS / rate;
      if (at >= (double)g->end_ms)
        return;
      add_job (g, (cb_msec_t)at, kind);
    }
}

/* Adds a burst: COUNT jobs of KIND within one minute, after FRACTION of the trace. */
static void
add_burst (generator_t *g, double fraction, const job_kind_t *kind, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    add_job (g,
             (cb_msec_t)((double)g->end_ms * fraction) +
                 g_rand_int_range (g->rand, 0, (gint32)MINUTE_MS),
             kind);
}

/* Cancels, after FRACTION of the trace, a random third of the jobs submitted in the
   hour before. */
static void
add_cancellations (generator_t *g, double fraction)
{
  cb_msec_t at_ms = (cb_msec_t)((double)g->end_ms * fraction);

  for (uint32_t i = 0; i < g->job_ids->len; i++)
    {
      cb_msec_t submitted = g_array_index (g->submitted_ms, cb_msec_t, i);

      if (submitted >= at_ms || submitted < at_ms - HOUR_MS ||
          g_rand_int_range (g->rand, 0, 3) != 0)
        continue;
      add_row (g, at_ms,
               g_strdup_printf ("{\"at_ms\":%" G_GINT64_FORMAT
                                ",\"op\":\"cancel\",\"job\":{%s}}",
                                at_ms, (char *)g->job_ids->pdata[i]));
    }
}

/* Takes COUNT workers, from number FIRST on, down after FRACTION of the trace and up
   again 10 to 39 minutes later. */
static void
add_worker_failures (generator_t *g, double fraction, uint32_t first, uint32_t count)
{
  cb_msec_t down_ms = (cb_msec_t)((double)g->end_ms * fraction);
  cb_msec_t up_ms = down_ms + g_rand_int_range (g->rand, 10, 40) * MINUTE_MS;

  for (uint32_t i = first; i < first + count && i <= WORKER_COUNT; i++)
    {
      add_row (g, down_ms,
               g_strdup_printf ("{\"at_ms\":%" G_GINT64_FORMAT
                                ",\"op\":\"worker_down\",\"instance\":\"worker-%u\"}",
                                down_ms, i));
      add_row (g, up_ms,
               g_strdup_printf ("{\"at_ms\":%" G_GINT64_FORMAT
                                ",\"op\":\"worker_up\",\"instance\":\"worker-%u\"}",
                                up_ms, i));
    }
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  const row_t *x = a;
  const row_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

static void
generate (generator_t *g)
{
  const site_t *site = g->site;

  for (uint32_t i = 0; i < site->kind_count; i++)
    add_arrivals (g, &site->kinds[i]);
  add_burst (g, 0.2, &site->kinds[site->kind_count - 1], 40);
  add_burst (g, 0.45, &site->kinds[site->kind_count == 2 ? 0 : 1], 10);
  add_burst (g, 0.45, &site->kinds[site->kind_count - 1], 40);
  add_cancellations (g, 0.5);
  add_worker_failures (g, 0.1,
                       1 + (uint32_t)g_rand_int_range (g->rand, 0, WORKER_COUNT), 1);
  add_worker_failures (g, 0.6,
                       1 + (uint32_t)g_rand_int_range (g->rand, 0, WORKER_COUNT), 1);
  add_worker_failures (
      g, 0.75, 1 + WORKERS_PER_RACK * (uint32_t)g_rand_int_range (g->rand, 0, 3),
      WORKERS_PER_RACK);
  g_array_sort (g->rows, compare_rows);
  for (uint32_t i = 0; i < g->rows->len; i++)
    {
      puts (g_array_index (g->rows, row_t, i).text);
      g_free (g_array_index (g->rows, row_t, i).text);
    }
}

typedef struct
{
  const site_t *site;
  uint32_t seed;
  uint32_t hours;
} cb_gentrace_args_t;

static uint32_t
parse_number (const char *text, struct argp_state *state)
{
  char *end;
  unsigned long value = strtoul (text, &end, 10);

  if (*text == '\0' || *end != '\0' || value == 0 || value > 1000000)
    argp_error (state, "not a number from 1 to 1000000: %s", text);
  return (uint32_t)value;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cb_gentrace_args_t *args = state->input;

  switch (key)
    {
    case 's':
      for (size_t i = 0; i < G_N_ELEMENTS (sites); i++)
        if (strcmp (sites[i].name, arg) == 0)
          args->site = &sites[i];
      if (args->site == NULL)
        argp_error (state, "unknown site: %s", arg);
      return 0;
    case 'n':
      args->seed = parse_number (arg, state);
      return 0;
    case 'h':
      args->hours = parse_number (arg, state);
      return 0;
    case ARGP_KEY_END:
      if (args->site == NULL)
        argp_error (state, "--site is needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Writes a trace for `carobrun replay` to stdout. Equal options give equal traces.
   Returns the exit status. */
int
cb_cmd_gentrace (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "site", 's', "NAME", 0, "ertis or ballonerie", 0 },
    { "seed", 'n', "N", 0, "seed of the random numbers, default 1", 0 },
    { "hours", 'h', "H", 0, "length, default 12", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .doc = "Generate a trace for replay." };
  cb_gentrace_args_t args = { .seed = 1, .hours = 12 };
  generator_t g = { 0 };

  if (argp_parse (&argp, argc, argv, 0, NULL, &args) != 0)
    return CB_EXIT_USAGE;
  g.site = args.site;
  g.rand = g_rand_new_with_seed (args.seed);
  g.rows = g_array_new (FALSE, FALSE, sizeof (row_t));
  g.job_ids = g_ptr_array_new_with_free_func (g_free);
  g.submitted_ms = g_array_new (FALSE, FALSE, sizeof (cb_msec_t));
  g.end_ms = args.hours * HOUR_MS;
  generate (&g);
  g_rand_free (g.rand);
  g_array_free (g.rows, TRUE);
  g_ptr_array_free (g.job_ids, TRUE);
  g_array_free (g.submitted_ms, TRUE);
  return CB_EXIT_DONE;
}
