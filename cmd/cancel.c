#include "cmd/fns.h"

#include <stdio.h>

/* Cancels a queued or running job. */
int
cb_cmd_cancel (int argc, char **argv)
{
  cb_client_t client;
  char *path;
  int status;

  cb_client_init (&client, argv[0], 1, 1);
  if (cb_client_parse (&client, argc, argv, "KEY", "Cancel a job.") != CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  if (!cb_client_require_account (&client))
    return CB_EXIT_USAGE;
  path = cb_client_path (&client, "/v1/jobs", client.args[0]);
  status = cb_client_call (&client, "DELETE", path, NULL, NULL, NULL);
  if (status == CB_EXIT_DONE && !client.json)
    printf ("%s: canceled\n", client.args[0]);
  g_free (path);
  return status;
}
