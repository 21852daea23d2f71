/* Runs the command that the first argument names. */
#include "cmd/fns.h"

#include <stdio.h>
#include <string.h>

static const cb_command_t commands[] = {
  { "entry", "run an entry", cb_cmd_entry },
  { "agent", "run the agent beside an endpoint or worker", cb_cmd_agent },
  { "batch-entry", "run an entry for batch jobs on the platform", cb_cmd_batch_entry },
  { "batch-agent", "run the agent beside a worker of the platform",
    cb_cmd_batch_agent },
  { "verify", "check the invariants in event traces", cb_cmd_verify },
  { "apply", "publish a changed configuration", cb_cmd_apply },
  { "cancel", "cancel a job", cb_cmd_cancel },
  { "check", "check inventory, rules and settings", cb_cmd_check },
  { "counters", "print an entry's counters", cb_cmd_counters },
  { "drain", "give no new work to an instance", cb_cmd_drain },
  { "explain", "print the log events of one batch job", cb_cmd_explain },
  { "fetch", "print the response to a request", cb_cmd_fetch },
  { "gentrace", "generate a trace for replay", cb_cmd_gentrace },
  { "jobs", "list jobs", cb_cmd_jobs },
  { "replay", "replay a trace through the scheduler", cb_cmd_replay },
  { "status", "print the status of the fleet", cb_cmd_status },
  { "submit", "submit a job or a request", cb_cmd_submit },
  { "undrain", "give new work to an instance again", cb_cmd_undrain },
  { "version", "print the version", cb_cmd_version },
};

static int
print_usage (FILE *out, int status)
{
  fprintf (out, "usage: carobrun COMMAND [OPTION...]\n\ncommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-12s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\n`carobrun COMMAND --help` explains a command.\n");
  return status;
}

int
main (int argc, char **argv)
{
  char *name;
  int status;

  argp_err_exit_status = CB_EXIT_USAGE;
  if (argc < 2)
    return print_usage (stderr, CB_EXIT_USAGE);
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    return print_usage (stdout, CB_EXIT_DONE);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (argv[1], commands[i].name) != 0)
        continue;
      name = g_strdup_printf ("carobrun %s", argv[1]);
      argv[1] = name;
      status = commands[i].run (argc - 1, argv + 1);
      g_free (name);
      return status;
    }
  fprintf (stderr, "carobrun: unknown command: %s\n", argv[1]);
  return print_usage (stderr, CB_EXIT_USAGE);
}
