/* The command `carobrun replay`: options, output and exit status. */
#include "cmd/replay.h"

#include <stdio.h>

typedef struct
{
  const char *trace, *inventory, *rules, *policy, *expect;
  gboolean json;
} cb_replay_args_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cb_replay_args_t *args = state->input;

  switch (key)
    {
    case 'i':
      args->inventory = arg;
      return 0;
    case 'r':
      args->rules = arg;
      return 0;
    case 'p':
      args->policy = arg;
      return 0;
    case 'e':
      args->expect = arg;
      return 0;
    case 'j':
      args->json = TRUE;
      return 0;
    case ARGP_KEY_ARG:
      if (args->trace != NULL)
        argp_error (state, "too many arguments");
      args->trace = arg;
      return 0;
    case ARGP_KEY_END:
      if (args->trace == NULL || args->inventory == NULL || args->rules == NULL)
        argp_error (state, "TRACE, --inventory and --rules are needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Prints the measures and compares them with the outcomes in the file of --expect, if
   given. Returns the exit status. */
static int
report (const cb_replay_args_t *args, const cb_replay_stats_t *stats)
{
  json_t *result = cb_replay_result (stats, args->policy);
  int status = stats->violation_count == 0 ? CB_EXIT_DONE : CB_EXIT_FAILED;

  if (args->json)
    {
      json_dumpf (result, stdout, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
      printf ("\n");
    }
  else
    cb_replay_print (result, "");
  if (stats->first_violation != NULL)
    fprintf (stderr, "carobrun replay: scheduler invariant violated: %s\n",
             stats->first_violation);
  if (args->expect != NULL && cb_replay_check_outcomes (result, args->expect) != 0)
    status = CB_EXIT_FAILED;
  json_decref (result);
  return status;
}

static int
replay (const cb_replay_args_t *args, const GPtrArray *trace, const Cb__Config *config)
{
  cb_fleet_t *fleet = cb_fleet_new (config);
  cb_replay_stats_t stats;
  int status;

  cb_replay_stats_init (&stats);
  if (fleet->zone_count == 0 || cb_replay_run (trace, fleet, args->policy, &stats) < 0)
    {
      fprintf (stderr, "carobrun replay: unknown policy, or the inventory has no "
                       "availability zone\n");
      status = CB_EXIT_USAGE;
    }
  else
    status = report (args, &stats);
  cb_replay_stats_clear (&stats);
  cb_fleet_unref (fleet);
  return status;
}

/* Replays a recorded trace through the scheduler in virtual time. Returns the exit
   status: CB_EXIT_FAILED when the inventory or the rules can't be used, an invariant of
   the scheduler was violated or an outcome in the file of --expect was not met. */
int
cb_cmd_replay (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "inventory", 'i', "FILE", 0, "inventory", 0 },
    { "rules", 'r', "FILE", 0, "rules", 0 },
    { "policy", 'p', "NAME", 0, "adaptive (default), first-fit or fifo", 0 },
    { "expect", 'e', "FILE", 0, "stated outcomes to compare with", 0 },
    { "json", 'j', NULL, 0, "print JSON", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "TRACE",
    .doc = "Replay a trace through the scheduler in virtual time."
  };
  cb_replay_args_t args = { .policy = "adaptive" };
  Cb__Config *config;
  GPtrArray *trace;
  char *error = NULL;
  int status;

  if (argp_parse (&argp, argc, argv, 0, NULL, &args) != 0)
    return CB_EXIT_USAGE;
  status = cb_cmd_read_config (args.inventory, args.rules, &config);
  if (status != CB_EXIT_DONE)
    return status;
  trace = cb_trace_read (args.trace, &error);
  if (trace == NULL)
    {
      fprintf (stderr, "carobrun replay: %s\n", error);
      g_free (error);
      cb_msg_free (config);
      return CB_EXIT_USAGE;
    }
  status = replay (&args, trace, config);
  g_ptr_array_free (trace, TRUE);
  cb_msg_free (config);
  return status;
}
