#include "cmd/fns.h"

#include <stdio.h>

static void
print_job (const Cb__JobView *job)
{
  printf ("%-16s %-24s %-16s %-9s %-18s %7u %7u %7u %12" G_GUINT64_FORMAT "\n",
          job->account, job->key, job->kind, cb_job_state_text (job->state),
          job->reason == CB__REASON__REASON_NONE ? "-" : cb_reason_text (job->reason),
          job->members, job->accelerators, job->attempt, job->run_ms);
}

static void
print_header (void)
{
  printf ("%-16s %-24s %-16s %-9s %-18s %7s %7s %7s %12s\n", "ACCOUNT", "KEY", "KIND",
          "STATE", "REASON", "MEMBERS", "ACCELS", "ATTEMPT", "RUN_MS");
}

/* Lists jobs: all, those of --account, or the one with KEY. */
int
cb_cmd_jobs (int argc, char **argv)
{
  cb_client_t client;
  ProtobufCMessage *reply;
  char *path;
  int status;

  cb_client_init (&client, argv[0], 0, 1);
  if (cb_client_parse (&client, argc, argv, "[KEY]", "List jobs.") != CB_EXIT_DONE)
    return CB_EXIT_USAGE;
  if (client.args[0] != NULL && !cb_client_require_account (&client))
    return CB_EXIT_USAGE;
  path = cb_client_path (&client, "/v1/jobs", client.args[0]);
  status = cb_client_call (&client, "GET", path, NULL,
                           client.args[0] != NULL ? &cb__job_view__descriptor
                                                  : &cb__job_list__descriptor,
                           &reply);
  g_free (path);
  if (reply == NULL)
    return status;
  print_header ();
  if (client.args[0] != NULL)
    print_job ((Cb__JobView *)reply);
  else
    for (size_t i = 0; i < ((Cb__JobList *)reply)->n_jobs; i++)
      print_job (((Cb__JobList *)reply)->jobs[i]);
  cb_msg_free (reply);
  return status;
}
