#include "cmd/fns.h"

#include <stdio.h>
#include <string.h>

static const char *
or_dash (const char *text)
{
  return *text == '\0' ? "-" : text;
}

/* Only the scheduler of a cell reports its counts; in the reply of any other entry they
   are 0, and are printed as `-`. `off` is the number of suspended workers, which are
   included in the number of workers before it. */
static void
print_cells (const Cb__Status *status)
{
  gboolean unknown = FALSE;

  printf ("\n%-16s %-16s %8s %11s %6s %7s %11s %10s %9s\n", "CELL", "SCHEDULER",
          "EPOCH", "ACCELS", "QUEUED", "RUNNING", "SHORT", "WORKERS", "FRAGMENT");
  for (size_t i = 0; i < status->n_cells; i++)
    {
      const Cb__StatusCell *c = status->cells[i];

      printf ("%-16s %-16s %8" G_GUINT64_FORMAT, c->cell, or_dash (c->scheduler),
              c->epoch);
      if (strcmp (c->scheduler, status->entry) == 0)
        printf (" %5u/%-5u %6u %7u %5u/%-5u %4u (%u off) %5u.%u%%\n",
                c->accelerators_used, c->accelerators, c->jobs_queued, c->jobs_running,
                c->guarantees_short, c->guarantees, c->workers_up, c->workers_suspended,
                c->fragmentation_permille / 10, c->fragmentation_permille % 10);
      else
        {
          unknown = TRUE;
          printf (" %11s %6s %7s %11s %10s %9s\n", "-", "-", "-", "-", "-", "-");
        }
    }
  if (unknown)
    printf ("-: only the scheduler of a cell reports its counts and guarantees; ask "
            "that entry\n");
}

static void
print_processes (const Cb__Status *status)
{
  printf ("\n%-20s %-6s %-5s %-16s %8s %-9s %-16s %s\n", "PROCESS", "ROLE", "STATE",
          "HOME", "CONFIG", "DRAINING", "ENDPOINT", "WORKER");
  for (size_t i = 0; i < status->n_processes; i++)
    {
      const Cb__StatusProcess *p = status->processes[i];

      printf ("%-20s %-6s %-5s %-16s %8" G_GUINT64_FORMAT " %-9s %-16s %s\n", p->name,
              p->role, p->up ? "up" : "down", or_dash (p->home), p->config_version,
              p->draining ? "yes" : "no", or_dash (p->endpoint),
              p->worker ? "yes" : "no");
    }
}

/* Prints the guaranteed shapes of accounts: `held` with the instances that are set
   aside for the shape, `short` when none could be. */
static void
print_pins (const Cb__Status *status)
{
  printf ("\n%-16s %7s %-6s %s\n", "GUARANTEE", "ACCELS", "STATE", "PLACE");
  for (size_t i = 0; i < status->n_pins; i++)
    {
      const Cb__StatusPin *pin = status->pins[i];

      printf ("%-16s %7u %-6s", pin->account, pin->accelerators,
              pin->short_of_place ? "short" : "held");
      for (size_t k = 0; k < pin->n_instances; k++)
        printf (" %s", pin->instances[k]);
      printf ("\n");
    }
}

/* Prints the status that an entry reports: its configuration and log offset, the cells,
   the processes and the guarantees. */
int
cb_cmd_status (int argc, char **argv)
{
  cb_client_t client;
  ProtobufCMessage *reply;
  const Cb__Status *s;
  int status;

  cb_client_init (&client, argv[0], 0, 0);
  if (cb_client_parse (&client, argc, argv, NULL, "Print the status of the fleet.") !=
      CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  status = cb_client_call (&client, "GET", "/v1/status", NULL, &cb__status__descriptor,
                           &reply);
  if (reply == NULL)
    return status;
  s = (Cb__Status *)reply;
  printf ("entry %s, configuration %" G_GUINT64_FORMAT
          " (newest known %" G_GUINT64_FORMAT "), log %s at offset %" G_GUINT64_FORMAT
          ", %u requests in flight\n",
          s->entry, s->config_version, s->newest_config_version,
          s->log_available ? "available" : "unavailable", s->folded_next,
          s->requests_in_flight);
  print_cells (s);
  print_processes (s);
  print_pins (s);
  cb_msg_free (reply);
  return status;
}
