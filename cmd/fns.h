#ifndef CB_CMD_FNS_H
#define CB_CMD_FNS_H

#include <argp.h>

#include "base/fns.h"
#include "cmd/dat.h"
#include "codec/fns.h"
#include "platform/fns.h"

/* client.c */
extern const struct argp cb_client_argp;
void cb_client_init (cb_client_t *client, const char *command, int min_args,
                     int max_args);
int cb_client_parse (cb_client_t *client, int argc, char **argv, const char *args_doc,
                     const char *doc);
int cb_client_send (const cb_client_t *client, const char *method, const char *path,
                    const char *body, cb_client_answer_t *answer);
int cb_client_report_refusal (const cb_client_t *client,
                              const cb_client_answer_t *answer, Cb__Reason *reason);
int cb_client_call (const cb_client_t *client, const char *method, const char *path,
                    const ProtobufCMessage *body,
                    const ProtobufCMessageDescriptor *type, ProtobufCMessage **reply);
int cb_client_print (const cb_client_t *client, const char *method, const char *path,
                     const char *body);
gboolean cb_client_require_account (const cb_client_t *client);
char *cb_client_path (const cb_client_t *client, const char *prefix, const char *key);

/* check.c */
const char *cb_settings_range_error (const Cb__Settings *settings);
int cb_cmd_read_config (const char *inventory_path, const char *rules_path,
                        Cb__Config **config);

/* batch_process.c */
int cb_cmd_run_platform (int argc, char **argv, const char *doc,
                         int (*run_command) (Cb__PlatformSettings *settings));

/* Each function runs one command and returns its exit status. argv[0] is "carobrun
   NAME" with the name of the command. */
int cb_cmd_agent (int argc, char **argv);
int cb_cmd_batch_agent (int argc, char **argv);
int cb_cmd_batch_entry (int argc, char **argv);
int cb_cmd_apply (int argc, char **argv);
int cb_cmd_cancel (int argc, char **argv);
int cb_cmd_check (int argc, char **argv);
int cb_cmd_counters (int argc, char **argv);
int cb_cmd_drain (int argc, char **argv);
int cb_cmd_entry (int argc, char **argv);
int cb_cmd_explain (int argc, char **argv);
int cb_cmd_fetch (int argc, char **argv);
int cb_cmd_gentrace (int argc, char **argv);
int cb_cmd_jobs (int argc, char **argv);
int cb_cmd_replay (int argc, char **argv);
int cb_cmd_status (int argc, char **argv);
int cb_cmd_submit (int argc, char **argv);
int cb_cmd_undrain (int argc, char **argv);
int cb_cmd_verify (int argc, char **argv);
int cb_cmd_version (int argc, char **argv);

#endif
