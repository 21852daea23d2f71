/* `carobrun apply`: publishes the difference between the configuration of an entry and
   that of the given files. */
#include "cmd/fns.h"
#include "fleet/fns.h"

#include <stdio.h>

/* Largest encoded change. A log record is limited to 262,144 bytes; the rest of it is
   for the record's other fields. */
#define MAX_CHANGE_BYTES 261000

typedef struct
{
  cb_client_t client;
  gboolean has_base;
  uint64_t base;
  const char *author;
} apply_options_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  apply_options_t *apply = state->input;
  guint64 number;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &apply->client;
      return 0;
    case 'b':
      if (!g_ascii_string_to_unsigned (arg, 10, 0, UINT64_MAX, &number, NULL))
        argp_error (state, "--base: accepted: a whole number");
      else
        apply->base = number;
      apply->has_base = TRUE;
      return 0;
    case 'u':
      apply->author = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Fetches the entry's configuration into CURRENT, freed with cb_msg_free; NULL when the
   entry has none or after a failure. Returns an exit status. */
static int
fetch_config (const cb_client_t *client, Cb__Config **current)
{
  cb_client_answer_t answer;
  cb_errors_t errors;
  ProtobufCMessage *message = NULL;
  int status = cb_client_send (client, "GET", "/v1/config", NULL, &answer);

  *current = NULL;
  if (status != CB_EXIT_DONE)
    return status;
  if (answer.status == 404)
    {
      g_string_free (answer.body, TRUE);
      return CB_EXIT_DONE;
    }
  status = cb_client_report_refusal (client, &answer, NULL);
  cb_errors_init (&errors);
  if (status == CB_EXIT_DONE && cb_json_read (&cb__config__descriptor, answer.body->str,
                                              answer.body->len, &errors, &message) < 0)
    {
      char *text = cb_errors_text (&errors);

      fprintf (stderr, "%s: cannot parse the configuration of %s:\n%s", client->command,
               client->entry, text);
      g_free (text);
      status = CB_EXIT_FAILED;
    }
  cb_errors_clear (&errors);
  g_string_free (answer.body, TRUE);
  *current = (Cb__Config *)message;
  return status;
}

static int
report_conflict (const cb_client_t *client, uint64_t base, uint64_t current)
{
  fprintf (stderr,
           "%s: conflict: based on version %" G_GUINT64_FORMAT
           ", but the current version is %" G_GUINT64_FORMAT
           ". compare the files with it and apply again\n",
           client->command, base, current);
  return CB_EXIT_FAILED;
}

/* Fetches the current version and reports its conflict with BASE. */
static int
fetch_and_report_conflict (const cb_client_t *client, uint64_t base)
{
  Cb__Config *current;
  int status = fetch_config (client, &current);

  if (status != CB_EXIT_DONE)
    return CB_EXIT_FAILED;
  report_conflict (client, base, current == NULL ? 0 : current->version);
  cb_msg_free (current);
  return CB_EXIT_FAILED;
}

/* Sends CHANGE to the entry and prints the new version. */
static int
publish (const cb_client_t *client, const Cb__ConfigChange *change)
{
  cb_client_answer_t answer;
  Cb__Reason reason;
  char *json = cb_json_write (&change->base);
  int status = cb_client_send (client, "POST", "/v1/config", json, &answer);
  cb_errors_t errors;
  ProtobufCMessage *reply = NULL;

  g_free (json);
  if (status != CB_EXIT_DONE)
    return status;
  status = cb_client_report_refusal (client, &answer, &reason);
  if (status != CB_EXIT_DONE && reason == CB__REASON__CONFLICT)
    status = fetch_and_report_conflict (client, change->base_version);
  if (status == CB_EXIT_DONE && client->json)
    printf ("%s\n", answer.body->str);
  else if (status == CB_EXIT_DONE)
    {
      cb_errors_init (&errors);
      if (cb_json_read (&cb__config_reply__descriptor, answer.body->str,
                        answer.body->len, &errors, &reply) == CB_OK)
        printf ("version %" G_GUINT64_FORMAT "\n", ((Cb__ConfigReply *)reply)->version);
      else
        printf ("accepted; the new version is unknown\n");
      cb_errors_clear (&errors);
      cb_msg_free (reply);
    }
  g_string_free (answer.body, TRUE);
  return status;
}

static gboolean
is_empty (const Cb__ConfigChange *change)
{
  Cb__ConfigChange empty = CB__CONFIG_CHANGE__INIT;

  empty.base_version = change->base_version;
  return protobuf_c_message_get_packed_size (&change->base) ==
         protobuf_c_message_get_packed_size (&empty.base);
}

/* Publishes the difference between the configurations FROM (may be NULL) and TO. */
static int
publish_difference (const apply_options_t *apply, const Cb__Config *from,
                    const Cb__Config *to)
{
  Cb__ConfigChange *change = cb_config_diff (from, to);
  size_t size = protobuf_c_message_get_packed_size (&change->base);
  int status;

  if (is_empty (change))
    {
      printf (apply->client.json ? "{\"version\":%" G_GUINT64_FORMAT "}\n"
                                 : "no change; version %" G_GUINT64_FORMAT "\n",
              change->base_version);
      status = CB_EXIT_DONE;
    }
  else if (size > MAX_CHANGE_BYTES)
    {
      fprintf (stderr,
               "%s: the change has %zu bytes; accepted: up to %d. apply it in several "
               "steps\n",
               apply->client.command, size, MAX_CHANGE_BYTES);
      status = CB_EXIT_FAILED;
    }
  else
    {
      cb_msg_set_string (&change->author, apply->author);
      status = publish (&apply->client, change);
    }
  cb_msg_free (change);
  return status;
}

/* Publishes the difference between the entry's configuration and the files. A --base
   other than the fetched version is a conflict, because the difference to one version
   must not be applied to another. */
int
cb_cmd_apply (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "base", 'b', "VERSION", 0, "version that the files are based on", 0 },
    { "author", 'u', "NAME", 0, "author of the change (default: the user)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_client_argp, 0, NULL, 0 },
                                                { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .args_doc = "INVENTORY RULES",
                                    .doc = "Check both files and publish what changed.",
                                    .children = children };
  apply_options_t apply = { .author = g_get_user_name () };
  Cb__Config *from = NULL;
  Cb__Config *to;
  uint64_t current;
  int status;

  cb_client_init (&apply.client, argv[0], 2, 2);
  if (argp_parse (&argp, argc, argv, 0, NULL, &apply) != 0)
    return CB_EXIT_USAGE;
  status = cb_cmd_read_config (apply.client.args[0], apply.client.args[1], &to);
  if (status == CB_EXIT_DONE)
    status = fetch_config (&apply.client, &from);
  current = from == NULL ? 0 : from->version;
  if (status == CB_EXIT_DONE && apply.has_base && apply.base != current)
    status = report_conflict (&apply.client, apply.base, current);
  else if (status == CB_EXIT_DONE)
    status = publish_difference (&apply, from, to);
  cb_msg_free (from);
  cb_msg_free (to);
  return status;
}
