/* `carobrun drain` and `carobrun undrain`. */
#include "cmd/fns.h"

#include <stdio.h>

/* Posts the INSTANCE of the command line to PATH and, on success, prints its name and
   DONE. With --json, cb_client_call prints the entry's reply instead. */
static int
send_drain_request (int argc, char **argv, const char *path, const char *doc,
                    const char *done)
{
  Cb__DrainRequest request = CB__DRAIN_REQUEST__INIT;
  cb_client_t client;
  int status;

  cb_client_init (&client, argv[0], 1, 1);
  if (cb_client_parse (&client, argc, argv, "INSTANCE", doc) != CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  request.instance = client.args[0];
  status = cb_client_call (&client, "POST", path, &request.base, NULL, NULL);
  if (status == CB_EXIT_DONE && !client.json)
    printf ("%s: %s\n", client.args[0], done);
  return status;
}

/* Stops placing new work on an instance. Jobs that can be preempted are moved by the
   scheduler; other running work continues. */
int
cb_cmd_drain (int argc, char **argv)
{
  return send_drain_request (argc, argv, "/v1/drain",
                             "Give no new work to an instance. Jobs that can be "
                             "preempted are moved; other running work continues.",
                             "draining");
}

/* Allows new work on an instance again. */
int
cb_cmd_undrain (int argc, char **argv)
{
  return send_drain_request (argc, argv, "/v1/undrain",
                             "Give new work to an instance again.", "in use");
}
