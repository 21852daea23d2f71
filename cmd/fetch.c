#include "cmd/fns.h"

/* Prints the complete response to a request that was submitted under a key. */
int
cb_cmd_fetch (int argc, char **argv)
{
  cb_client_t client;
  char *path;
  int status;

  cb_client_init (&client, argv[0], 1, 1);
  if (cb_client_parse (&client, argc, argv, "KEY",
                       "Print the response to a request.") != CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  if (!cb_client_require_account (&client))
    return CB_EXIT_USAGE;
  path = cb_client_path (&client, "/v1/requests", client.args[0]);
  status = cb_client_print (&client, "GET", path, NULL);
  g_free (path);
  return status;
}
