/* carobrun-fake-mainframe: stand-in for the mainframe, which runs requests (POST /run)
   and replies at once. Fault modes: `silent` never replies, `error` replies with status
   500. */
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

typedef struct
{
  cb_fake_t fake;
  cb_fake_params_t params;
} mainframe_t;

static const char *
header_or_empty (cb_http_req_t *req, const char *name)
{
  const char *value = cb_http_header (req, name);

  return value == NULL ? "" : value;
}

static void
send_reply (const mainframe_t *self, cb_http_req_t *req, const char *key,
            const char *kind)
{
  json_t *body =
      json_pack ("{s:s,s:s,s:s}", "by", "mainframe", "key", key, "kind", kind);
  char *text = json_dumps (body, JSON_COMPACT);
  char *hash = cb_fake_hash (text, strlen (text));
  char *more = g_strdup_printf (",\"hash\":\"%s\"", hash);

  cb_fake_work_event (&self->fake, "mainframe_done",
                      header_or_empty (req, "x-request-account"), key, more);
  cb_http_reply (req, 200, "application/json", text, strlen (text));
  g_free (more);
  g_free (hash);
  free (text);
  json_decref (body);
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  mainframe_t *self = ctx;
  const char *key = header_or_empty (req, "x-request-key");
  const char *kind = header_or_empty (req, "x-request-kind");
  char *quoted;
  char *more;

  if (cb_fake_control (&self->fake, req))
    return;
  if (strcmp (cb_http_path (req), "/run") != 0 ||
      strcmp (cb_http_method (req), "POST") != 0)
    {
      cb_fake_reply (req, 404, json_string ("not found"));
      return;
    }
  quoted = cb_json_quote (kind);
  more = g_strdup_printf (",\"kind\":%s", quoted);
  cb_fake_work_event (&self->fake, "mainframe_run",
                      header_or_empty (req, "x-request-account"), key, more);
  g_free (more);
  g_free (quoted);
  if (cb_fake_use_mode (&self->fake, "silent"))
    cb_http_no_reply (req);
  else if (cb_fake_use_mode (&self->fake, "error"))
    cb_fake_reply (req, 500, json_string ("error"));
  else
    send_reply (self, req, key, kind);
}

static void
on_signal (void *ctx, int signo)
{
  mainframe_t *self = ctx;

  (void)signo;
  cb_fake_event (&self->fake, "term", "\"in_flight\":%u",
                 cb_http_server_pending (self->fake.server));
  cb_loop_stop (self->fake.loop);
}

int
main (int argc, char **argv)
{
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .children = children,
                                    .doc = "Stand-in for the mainframe." };
  mainframe_t self = { .params = { .listen = "127.0.0.1:19490",
                                   .name = "mainframe",
                                   .role = "mainframe",
                                   .handler = on_request,
                                   .on_signal = on_signal } };

  self.params.ctx = &self;
  if (argp_parse (&argp, argc, argv, 0, NULL, &self.params) != 0 ||
      cb_fake_open (&self.fake, &self.params) < 0)
    return EXIT_FAILURE;
  cb_fake_run (&self.fake);
  return EXIT_SUCCESS;
}
