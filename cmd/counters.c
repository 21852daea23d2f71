#include "cmd/fns.h"

/* Prints the counters of an entry as it serves them, one a line. */
int
cb_cmd_counters (int argc, char **argv)
{
  cb_client_t client;

  cb_client_init (&client, argv[0], 0, 0);
  if (cb_client_parse (&client, argc, argv, NULL, "Print an entry's counters.") !=
      CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  return cb_client_print (&client, "GET", "/metrics", NULL);
}
