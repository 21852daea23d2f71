#include "cmd/fns.h"

#include <argp.h>
#include <stdio.h>

#define CB_VERSION "0.1.0"

/* Prints the version of the program. */
int
cb_cmd_version (int argc, char **argv)
{
  static const struct argp argp = { .doc = "Print the version." };

  if (argp_parse (&argp, argc, argv, 0, NULL, NULL) != 0)
    return CB_EXIT_USAGE;
  printf ("carobrun %s\n", CB_VERSION);
  return CB_EXIT_DONE;
}
