/* HTTP client of the commands that call an entry, with their shared options. */
#include "cmd/fns.h"
#include "net/fns.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than the default deadline of a request (10 s), so that the entry's answer
   arrives in time even if the request misses its deadline. */
#define DEFAULT_TIMEOUT_MS 15000
#define MAX_TIMEOUT_MS 3600000

typedef struct
{
  cb_loop_t *loop;
  int err;
  cb_client_answer_t *answer;
} exchange_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cb_client_t *client = state->input;
  guint64 number;

  switch (key)
    {
    case 'e':
      client->entry = arg;
      return 0;
    case 'a':
      client->account = arg;
      return 0;
    case 'j':
      client->json = TRUE;
      return 0;
    case 't':
      if (!g_ascii_string_to_unsigned (arg, 10, 1, MAX_TIMEOUT_MS, &number, NULL))
        argp_error (state, "--timeout-ms: accepted: 1..%d", MAX_TIMEOUT_MS);
      else
        client->timeout_ms = (uint32_t)number;
      return 0;
    case ARGP_KEY_ARG:
      if (client->arg_count >= client->max_args)
        argp_error (state, "too many arguments");
      else
        client->args[client->arg_count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (client->arg_count < client->min_args)
        argp_error (state, "too few arguments");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "entry", 'e', "HOST:PORT", 0, "entry to talk to (default: $CAROBRUN_ENTRY)", 0 },
  { "account", 'a', "NAME", 0, "client account that the key belongs to", 0 },
  { "json", 'j', NULL, 0, "print the entry's answer as it is", 0 },
  { "timeout-ms", 't', "MS", 0, "longest wait for the answer (default 15000)", 0 },
  { 0 },
};

const struct argp cb_client_argp = { .options = options, .parser = parse_option };

/* Sets CLIENT to its defaults; the entry is $CAROBRUN_ENTRY. COMMAND must outlive
   CLIENT. */
void
cb_client_init (cb_client_t *client, const char *command, int min_args, int max_args)
{
  memset (client, 0, sizeof *client);
  client->command = command;
  client->entry = getenv ("CAROBRUN_ENTRY");
  client->timeout_ms = DEFAULT_TIMEOUT_MS;
  client->min_args = min_args;
  client->max_args = max_args;
}

/* Parses the arguments of a command that has only the shared options. Returns
   CB_EXIT_DONE or CB_EXIT_USAGE. */
int
cb_client_parse (cb_client_t *client, int argc, char **argv, const char *args_doc,
                 const char *doc)
{
  struct argp argp = cb_client_argp;

  argp.args_doc = args_doc;
  argp.doc = doc;
  return argp_parse (&argp, argc, argv, 0, NULL, client) == 0 ? CB_EXIT_DONE
                                                              : CB_EXIT_USAGE;
}

static void
on_answer (void *ctx, int err, int status, const char *body, size_t len)
{
  exchange_t *exchange = ctx;

  exchange->err = err;
  exchange->answer->status = status;
  if (body != NULL)
    g_string_append_len (exchange->answer->body, body, (gssize)len);
  cb_loop_stop (exchange->loop);
}

static int
report_failure (const cb_client_t *client, int err)
{
  if (err == CB_NET_BAD_ADDRESS)
    {
      fprintf (stderr, "%s: --entry: \"%s\" is not an address; accepted: IP:PORT\n",
               client->command, client->entry);
      return CB_EXIT_USAGE;
    }
  if (cb_net_not_sent (err))
    fprintf (stderr,
             "%s: no connection to %s; nothing was sent. check that an entry listens "
             "on this address, or name another one with --entry\n",
             client->command, client->entry);
  else if (err == CB_NET_TIMEOUT)
    fprintf (stderr,
             "%s: no complete answer from %s within %u ms; it may have taken effect. "
             "repeating the command with the same key or base version is safe\n",
             client->command, client->entry, client->timeout_ms);
  else
    fprintf (stderr,
             "%s: the connection to %s ended without a complete answer (error %d); it "
             "may have taken effect. repeating the command with the same key or base "
             "version is safe\n",
             client->command, client->entry, err);
  return CB_EXIT_FAILED;
}

/* Sends one request to the entry and waits for the answer. BODY is JSON or NULL.
   Returns CB_EXIT_DONE when an answer arrived, also one that refuses; the caller then
   frees its body. Otherwise reports the failure on stderr and returns another exit
   status. */
int
cb_client_send (const cb_client_t *client, const char *method, const char *path,
                const char *body, cb_client_answer_t *answer)
{
  exchange_t exchange = { cb_loop_new (), CB_OK, answer };
  cb_http_spec_t spec = { .address = client->entry,
                          .method = method,
                          .path = path,
                          .headers = "content-type: application/json\r\n",
                          .body = body,
                          .body_len = body == NULL ? 0 : strlen (body),
                          .timeout_ms = client->timeout_ms };

  answer->status = 0;
  answer->body = g_string_new (NULL);
  if (client->entry == NULL)
    {
      fprintf (stderr, "%s: no entry; give --entry HOST:PORT or set CAROBRUN_ENTRY\n",
               client->command);
      cb_loop_free (exchange.loop);
      g_string_free (g_steal_pointer (&answer->body), TRUE);
      return CB_EXIT_USAGE;
    }
  cb_http_call (exchange.loop, &spec, on_answer, &exchange);
  cb_loop_run (exchange.loop);
  cb_loop_free (exchange.loop);
  if (exchange.err == CB_OK)
    return CB_EXIT_DONE;
  g_string_free (g_steal_pointer (&answer->body), TRUE);
  return report_failure (client, exchange.err);
}

static Cb__ErrorReply *
read_refusal (const cb_client_answer_t *answer)
{
  cb_errors_t errors;
  ProtobufCMessage *message;

  cb_errors_init (&errors);
  cb_json_read (&cb__error_reply__descriptor, answer->body->str, answer->body->len,
                &errors, &message);
  cb_errors_clear (&errors);
  return (Cb__ErrorReply *)message;
}

/* Returns CB_EXIT_DONE when the HTTP status of ANSWER is a success. Otherwise reports
   the refusal on stderr, with --json also prints the body on stdout, and returns
   CB_EXIT_FAILED. Sets REASON (may be NULL) in both cases. */
int
cb_client_report_refusal (const cb_client_t *client, const cb_client_answer_t *answer,
                          Cb__Reason *reason)
{
  Cb__ErrorReply *reply;
  const Cb__Refusal *refusal;

  if (reason != NULL)
    *reason = CB__REASON__REASON_NONE;
  if (answer->status >= 200 && answer->status < 300)
    return CB_EXIT_DONE;
  reply = read_refusal (answer);
  refusal = reply == NULL ? NULL : reply->error;
  if (client->json)
    printf ("%s\n", answer->body->str);
  if (refusal == NULL)
    {
      fprintf (stderr, "%s: refused with HTTP status %d\n", client->command,
               answer->status);
      cb_msg_free (reply);
      return CB_EXIT_FAILED;
    }
  /* `ran` is whether the refused request or job ran. */
  fprintf (stderr, "%s: refused: %s, ran: %s%s%s\n", client->command,
           cb_reason_text (refusal->reason), cb_ran_text (refusal->ran),
           *refusal->detail == '\0' ? "" : ": ", refusal->detail);
  if (refusal->retry_after_ms > 0)
    fprintf (stderr, "%s: try again after %u ms\n", client->command,
             refusal->retry_after_ms);
  if (reason != NULL)
    *reason = refusal->reason;
  cb_msg_free (reply);
  return CB_EXIT_FAILED;
}

static int
read_reply (const cb_client_t *client, const cb_client_answer_t *answer,
            const ProtobufCMessageDescriptor *type, ProtobufCMessage **reply)
{
  cb_errors_t errors;
  int err;

  cb_errors_init (&errors);
  err = cb_json_read (type, answer->body->str, answer->body->len, &errors, reply);
  if (err < 0)
    {
      char *text = cb_errors_text (&errors);

      fprintf (stderr, "%s: cannot parse the answer of %s:\n%s", client->command,
               client->entry, text);
      g_free (text);
    }
  cb_errors_clear (&errors);
  return err < 0 ? CB_EXIT_FAILED : CB_EXIT_DONE;
}

/* Sends BODY (may be NULL) and parses the answer as a message of TYPE into REPLY, freed
   with cb_msg_free. When TYPE is NULL, the answer's body is ignored. With --json the
   body is printed instead and REPLY is NULL, as after a failure. Returns an exit
   status. */
int
cb_client_call (const cb_client_t *client, const char *method, const char *path,
                const ProtobufCMessage *body, const ProtobufCMessageDescriptor *type,
                ProtobufCMessage **reply)
{
  cb_client_answer_t answer;
  char *json = body == NULL ? NULL : cb_json_write (body);
  int status = cb_client_send (client, method, path, json, &answer);

  g_free (json);
  if (reply != NULL)
    *reply = NULL;
  if (status != CB_EXIT_DONE)
    return status;
  status = cb_client_report_refusal (client, &answer, NULL);
  if (status == CB_EXIT_DONE && client->json)
    printf ("%s\n", answer.body->str);
  else if (status == CB_EXIT_DONE && type != NULL)
    status = read_reply (client, &answer, type, reply);
  g_string_free (answer.body, TRUE);
  return status;
}

/* Sends one request and prints the body of the answer, or reports a refusal on stderr.
   BODY is JSON or NULL. Returns an exit status. */
int
cb_client_print (const cb_client_t *client, const char *method, const char *path,
                 const char *body)
{
  cb_client_answer_t answer;
  int status = cb_client_send (client, method, path, body, &answer);

  if (status != CB_EXIT_DONE)
    return status;
  status = cb_client_report_refusal (client, &answer, NULL);
  if (status == CB_EXIT_DONE)
    fwrite (answer.body->str, 1, answer.body->len, stdout);
  g_string_free (answer.body, TRUE);
  return status;
}

/* Returns TRUE when --account is given; otherwise reports its absence on stderr. */
gboolean
cb_client_require_account (const cb_client_t *client)
{
  if (client->account != NULL)
    return TRUE;
  fprintf (stderr, "%s: --account is needed; keys are unique only within an account\n",
           client->command);
  return FALSE;
}

/* Returns PREFIX/KEY?account=A, where A is the account of CLIENT. KEY and A are
   URI-escaped, and left out when NULL. Freed with g_free. */
char *
cb_client_path (const cb_client_t *client, const char *prefix, const char *key)
{
  GString *path = g_string_new (prefix);

  if (key != NULL)
    {
      g_string_append_c (path, '/');
      g_string_append_uri_escaped (path, key, NULL, FALSE);
    }
  if (client->account != NULL)
    {
      g_string_append (path, "?account=");
      g_string_append_uri_escaped (path, client->account, NULL, FALSE);
    }
  return g_string_free (path, FALSE);
}
