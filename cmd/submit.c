#include "cmd/fns.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Argp key of the first option that sets a field; the others follow by their index in
   `options`. */
#define FIELD_KEY 1000

typedef struct
{
  cb_client_t client;
  const ProtobufCMessageDescriptor *type;
  json_t *fields; /* field name -> text, for each option that was given */
} submit_options_t;

/* Each option sets the message field of the same name, with `_` for `-`. */
static const struct argp_option options[] = {
  { "key", FIELD_KEY, "KEY", 0, "key, unique for the account", 0 },
  { "kind", FIELD_KEY + 1, "KIND", 0, "kind of the rules", 0 },
  { "members", FIELD_KEY + 2, "N", 0, "job: members that start together", 0 },
  { "accelerators", FIELD_KEY + 3, "N", 0, "job: for each member", 0 },
  { "cores", FIELD_KEY + 4, "N", 0, "job: for each member", 0 },
  { "memory-gb", FIELD_KEY + 5, "N", 0, "job: for each member", 0 },
  { "adjacency", FIELD_KEY + 6, "LEVEL", 0, "job: any, instance, rack or zone", 0 },
  { "run-ms", FIELD_KEY + 7, "MS", 0, "job: expected run time", 0 },
  { "urgent", FIELD_KEY + 8, "true|false", 0, "job: start before other work", 0 },
  { "cell", FIELD_KEY + 9, "CELL", 0, "job: where to run", 0 },
  { "command", FIELD_KEY + 10, "TEXT", 0, "job: passed to the worker", 0 },
  { "body", FIELD_KEY + 11, "TEXT", 0, "request: body for the endpoint", 0 },
  { "deadline-ms", FIELD_KEY + 12, "MS", 0, "request: time limit", 0 },
  { 0 },
};

/* Converts VALUE to the JSON type of FIELD. A value that does not fit, or whose FIELD
   is NULL (unknown), remains a string: cb_json_read then reports it together with the
   accepted values. */
static json_t *
option_to_json (const ProtobufCFieldDescriptor *field, const char *value)
{
  guint64 number;

  if (field != NULL && field->type == PROTOBUF_C_TYPE_BOOL &&
      (strcmp (value, "true") == 0 || strcmp (value, "false") == 0))
    return json_boolean (*value == 't');
  if (field != NULL &&
      (field->type == PROTOBUF_C_TYPE_UINT32 ||
       field->type == PROTOBUF_C_TYPE_UINT64) &&
      g_ascii_string_to_unsigned (value, 10, 0, INT64_MAX, &number, NULL))
    return json_integer ((json_int_t)number);
  return json_string (value);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  submit_options_t *submit = state->input;
  char *name;

  if (key == ARGP_KEY_INIT)
    state->child_inputs[0] = &submit->client;
  if (key == ARGP_KEY_INIT)
    return 0;
  if (key < FIELD_KEY || key >= FIELD_KEY + (int)G_N_ELEMENTS (options) - 1)
    return ARGP_ERR_UNKNOWN;
  name = g_strdelimit (g_strdup (options[key - FIELD_KEY].name), "-", '_');
  json_object_set_new (submit->fields, name, json_string (arg));
  g_free (name);
  return 0;
}

/* Reads the JSON object in the file PATH (`-`: standard input). Returns an empty one
   when PATH is NULL, and NULL after an error, which it reports on stderr. */
static json_t *
read_object (const char *command, const char *path)
{
  json_error_t error;
  json_t *object;

  if (path == NULL)
    return json_object ();
  object = strcmp (path, "-") == 0
               ? json_loadf (stdin, JSON_REJECT_DUPLICATES, &error)
               : json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  if (json_is_object (object))
    return object;
  fprintf (stderr, "%s: %s: %s\n", command, path,
           object == NULL ? error.text : "not a JSON object");
  json_decref (object);
  return NULL;
}

/* Merges file and options, which take precedence, and parses the result as a message.
   Returns NULL after an error, which it reports on stderr. */
static ProtobufCMessage *
build_message (const submit_options_t *submit)
{
  json_t *object = read_object (submit->client.command, submit->client.args[1]);
  ProtobufCMessage *message = NULL;
  cb_errors_t errors;
  const char *name;
  json_t *value;
  char *text;

  if (object == NULL)
    return NULL;
  json_object_foreach (submit->fields, name, value) json_object_set_new (
      object, name,
      option_to_json (
          protobuf_c_message_descriptor_get_field_by_name (submit->type, name),
          json_string_value (value)));
  if (submit->client.account != NULL)
    json_object_set_new (object, "account", json_string (submit->client.account));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  cb_errors_init (&errors);
  cb_json_read (submit->type, text, strlen (text), &errors, &message);
  free (text);
  text = cb_errors_text (&errors);
  fputs (text, stderr);
  g_free (text);
  cb_errors_clear (&errors);
  return message;
}

static int
send_request (const cb_client_t *client, const ProtobufCMessage *message)
{
  char *json = cb_json_write (message);
  int status = cb_client_print (client, "POST", "/v1/requests", json);

  g_free (json);
  return status;
}

static int
send_job (const cb_client_t *client, const ProtobufCMessage *message)
{
  int status = cb_client_call (client, "POST", "/v1/jobs", message, NULL, NULL);

  if (status == CB_EXIT_DONE && !client->json)
    printf ("%s: accepted\n", ((const Cb__Job *)message)->key);
  return status;
}

static int
submit_message (submit_options_t *submit)
{
  gboolean job = strcmp (submit->client.args[0], "job") == 0;
  ProtobufCMessage *message;
  int status;

  if (!job && strcmp (submit->client.args[0], "request") != 0)
    {
      fprintf (stderr, "%s: \"%s\": accepted: job, request\n", submit->client.command,
               submit->client.args[0]);
      return CB_EXIT_USAGE;
    }
  submit->type = job ? &cb__job__descriptor : &cb__request__descriptor;
  message = build_message (submit);
  if (message == NULL)
    return CB_EXIT_USAGE;
  status = job ? send_job (&submit->client, message)
               : send_request (&submit->client, message);
  cb_msg_free (message);
  return status;
}

/* Submits a job, or submits a request and prints the response. */
int
cb_cmd_submit (int argc, char **argv)
{
  static const struct argp_child children[] = { { &cb_client_argp, 0, NULL, 0 },
                                                { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .args_doc = "job|request [FILE]",
                                    .doc =
                                        "Submit a job or a request. FILE (-: standard "
                                        "input) holds it as JSON; options replace "
                                        "its fields.",
                                    .children = children };
  submit_options_t submit = { .fields = json_object () };
  int status = CB_EXIT_USAGE;

  cb_client_init (&submit.client, argv[0], 1, 2);
  if (argp_parse (&argp, argc, argv, 0, NULL, &submit) == 0)
    status = submit_message (&submit);
  json_decref (submit.fields);
  return status;
}
