#include "cmd/fns.h"

#include <argp.h>
#include <stdio.h>

#include "verify/fns.h"

typedef struct
{
  cb_verify_events_t *events;
  char *error;
} arguments_t;

static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->error == NULL)
        cb_verify_events_read (arguments->events, arg, &arguments->error);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
print_result (const cb_verify_result_t *result, guint events)
{
  for (guint i = 0; i < result->violations->len; i++)
    {
      const cb_violation_t *violation = g_ptr_array_index (result->violations, i);

      printf ("%s:%u: %s: %s\n", violation->event->file, violation->event->line,
              violation->invariant, violation->text);
    }
  printf ("%u events, cases checked:", events);
  for (guint i = 1; i < G_N_ELEMENTS (result->checked); i++)
    printf (" I%u %u", i, result->checked[i]);
  printf ("; %u violations\n", result->violations->len);
  return result->violations->len == 0 ? CB_EXIT_DONE : CB_EXIT_FAILED;
}

/* Checks the invariants in the event traces named as arguments and prints each
   violation with its file and line, the earliest first. */
int
cb_cmd_verify (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse_argument,
    .args_doc = "TRACE...",
    .doc = "Check the invariants in the event traces of a run.\v"
           "Exit status: 0 no violation, 1 violations, 2 a trace cannot be read."
  };
  arguments_t arguments = { cb_verify_events_new (), NULL };
  cb_verify_bounds_t bounds;
  cb_verify_result_t *result;
  int status;

  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0 ||
      arguments.error != NULL)
    {
      if (arguments.error != NULL)
        fprintf (stderr, "carobrun verify: %s\n", arguments.error);
      g_free (arguments.error);
      cb_verify_events_free (arguments.events);
      return CB_EXIT_USAGE;
    }
  cb_verify_events_sort (arguments.events);
  cb_verify_default_bounds (&bounds);
  result = cb_verify (arguments.events, &bounds);
  status = print_result (result, arguments.events->events->len);
  cb_verify_result_free (result);
  cb_verify_events_free (arguments.events);
  return status;
}
