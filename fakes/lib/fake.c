#include "fakes/lib/fake.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  cb_fake_params_t *params = state->input;

  switch (key)
    {
    case 'l':
      params->listen = arg;
      return 0;
    case 't':
      params->trace_file = arg;
      return 0;
    case ARGP_KEY_END:
      if (params->listen == NULL)
        argp_error (state, "--listen is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option common_options[] = {
  { "listen", 'l', "ADDRESS", 0, "host:port to listen on", 0 },
  { "trace", 't', "FILE", 0, "file for the event trace", 0 },
  { 0 },
};

/* Options that all stand-ins share. A stand-in lists this parser as a child of its own
   parser; the input of the child is a cb_fake_params_t. */
const struct argp cb_fake_argp = { .options = common_options, .parser = parse };

/* Opens the event loop, the HTTP server and the trace, and writes the event `start`.
   Returns an error code of net/ when it can't listen on the address. */
int
cb_fake_open (cb_fake_t *fake, const cb_fake_params_t *params)
{
  int err;

  memset (fake, 0, sizeof *fake);
  g_strlcpy (fake->mode, "ok", sizeof fake->mode);
  fake->loop = cb_loop_new ();
  fake->signals = cb_signals_new (fake->loop, params->on_signal, params->ctx);
  err = cb_http_listen (fake->loop, params->listen, params->handler, params->ctx,
                        &fake->server);
  if (err < 0)
    {
      cb_log (CB_LOG_ERROR, "fake", "cannot listen on %s", params->listen);
      return err;
    }
  fake->trace = cb_trace_open (params->trace_file, params->name, cb_clock_system ());
  cb_fake_event (fake, "start", "\"role\":\"%s\",\"incarnation\":%" G_GINT64_FORMAT,
                 params->role, cb_clock_wall (cb_clock_system ()));
  return CB_OK;
}

/* Runs the event loop until cb_loop_stop, then writes the event `exit` and closes the
   trace, the server and the signal handlers. */
void
cb_fake_run (cb_fake_t *fake)
{
  cb_loop_run (fake->loop);
  cb_fake_event (fake, "exit", "\"in_flight\":%u",
                 cb_http_server_pending (fake->server));
  cb_trace_close (fake->trace);
  cb_http_server_close (fake->server);
  cb_signals_free (fake->signals);
}

/* Writes EVENT to the trace with the fields that FMT formats: JSON members without
   braces. */
void
cb_fake_event (const cb_fake_t *fake, const char *event, const char *fmt, ...)
{
  va_list args;
  char *fields;

  va_start (args, fmt);
  fields = g_strdup_vprintf (fmt, args);
  va_end (args);
  cb_trace_event (fake->trace, event, fields);
  g_free (fields);
}

/* Writes EVENT with the fields `account` and `key`. MORE is empty, or further JSON
   members with a comma before the first. */
void
cb_fake_work_event (const cb_fake_t *fake, const char *event, const char *account,
                    const char *key, const char *more)
{
  char *quoted_account = cb_json_quote (account);
  char *quoted_key = cb_json_quote (key);

  cb_fake_event (fake, event, "\"account\":%s,\"key\":%s%s", quoted_account, quoted_key,
                 more);
  g_free (quoted_account);
  g_free (quoted_key);
}

/* Replies to REQ with BODY, and releases BODY. */
void
cb_fake_reply (cb_http_req_t *req, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);

  cb_http_reply (req, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

/* Handles `POST /control {"mode":M,"count":N,"delay_ms":D}`: turns on fault mode M
   until it has been used N times, or without N until the next such call. Returns FALSE,
   without a reply, when REQ is for another path. */
gboolean
cb_fake_control (cb_fake_t *fake, cb_http_req_t *req)
{
  const char *mode = NULL;
  json_int_t count = -1;
  json_int_t delay_ms = 0;
  json_t *body;

  if (strcmp (cb_http_path (req), "/control") != 0)
    return FALSE;
  body = json_loads (cb_http_body (req, NULL), 0, NULL);
  if (body == NULL || json_unpack (body, "{s:s,s?I,s?I}", "mode", &mode, "count",
                                   &count, "delay_ms", &delay_ms) != 0)
    {
      json_decref (body);
      cb_fake_reply (req, 400,
                     json_string ("expected {\"mode\":M} or {\"mode\":M,\"count\":N}"));
      return TRUE;
    }
  g_strlcpy (fake->mode, mode, sizeof fake->mode);
  fake->remaining = count;
  fake->delay_ms = delay_ms;
  json_decref (body);
  cb_fake_reply (req, 200, json_pack ("{s:s}", "mode", fake->mode));
  return TRUE;
}

/* Returns whether the fault mode MODE is on. */
gboolean
cb_fake_mode_active (cb_fake_t *fake, const char *mode)
{
  return fake->remaining != 0 && strcmp (fake->mode, mode) == 0;
}

/* Like cb_fake_mode_active, and counts one use of MODE when it is on. */
gboolean
cb_fake_use_mode (cb_fake_t *fake, const char *mode)
{
  if (!cb_fake_mode_active (fake, mode))
    return FALSE;
  if (fake->remaining > 0)
    fake->remaining--;
  return TRUE;
}

/* Returns the hash under which event traces record the body TEXT; freed with g_free. */
char *
cb_fake_hash (const char *text, size_t len)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x", (uint64_t)XXH64 (text, len, 0));
}
