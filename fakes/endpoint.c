/* carobrun-fake-endpoint: stand-in for an endpoint. It announces itself to its agent
   and runs requests (POST /run), each for a random time of --work-ms. On SIGTERM it
   announces that it shuts down and exits when its requests are done. Fault modes:
   `error` replies with status 500, `silent` never replies, `slow` multiplies the run
   time by SLOW_FACTOR, `cut` closes the connection after half of the reply, `crossed`
   sends two replies in the reverse order of their completion. */
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

/* Period and timeout of the announcements. */
#define ANNOUNCE_MS 1000
#define SLOW_FACTOR 20
/* Period of the check whether a stopping endpoint may exit. */
#define EXIT_CHECK_MS 50

typedef struct
{
  cb_fake_t fake;
  cb_fake_params_t params;
  const char *agent;
  char **kinds;
  uint32_t slots;
  uint32_t connections;
  gint32 min_ms;
  gint32 max_ms;
  GRand *rand;
  gboolean stopping;   /* SIGTERM has been received */
  uint32_t announcing; /* announcements without a reply yet */
  gboolean
      stop_announced; /* the agent has replied since SIGTERM, or refuses connections */
  uint32_t running;
  struct run *held; /* mode `crossed`: finished, replies after the next one to finish */
} endpoint_t;

typedef struct run
{
  endpoint_t *self;
  cb_http_req_t *req;
  cb_timer_t *timer;
  char *account;
  char *key;
  char *kind;
} run_t;

static void
exit_when_idle (endpoint_t *self)
{
  if (self->stopping && self->stop_announced && self->running == 0 &&
      cb_http_server_pending (self->fake.server) == 0)
    cb_loop_stop (self->fake.loop);
}

static void
on_announced (void *ctx, int err, int status, const char *body, size_t len)
{
  endpoint_t *self = ctx;

  (void)status;
  (void)body;
  (void)len;
  self->announcing--;
  /* An agent that refuses connections must not keep this process alive. */
  if (self->stopping && (err == CB_OK || cb_net_not_sent (err)))
    self->stop_announced = TRUE;
}

static void
announce (void *ctx)
{
  endpoint_t *self = ctx;
  const char *colon = strrchr (self->params.listen, ':');
  json_t *kinds = json_array ();
  json_t *body;
  char *text;
  cb_http_spec_t spec = { 0 };

  for (char **kind = self->kinds; kind != NULL && *kind != NULL; kind++)
    json_array_append_new (kinds, json_string (*kind));
  body = json_pack ("{s:s,s:i,s:o,s:i,s:i,s:b}", "name", self->params.name, "port",
                    colon == NULL ? 0 : atoi (colon + 1), // NOLINT(cert-err34-c)
                    "kinds", kinds, "slots", (int)self->slots, "connections",
                    (int)self->connections, "leaving", self->stopping);
  text = json_dumps (body, JSON_COMPACT);
  spec.address = self->agent;
  spec.method = "POST";
  spec.path = "/v1/announce";
  spec.headers = "content-type: application/json\r\n";
  spec.body = text;
  spec.body_len = strlen (text);
  spec.timeout_ms = ANNOUNCE_MS;
  self->announcing++;
  cb_http_call (self->fake.loop, &spec, on_announced, self);
  free (text);
  json_decref (body);
}

static void
on_exit_check (void *ctx)
{
  exit_when_idle (ctx);
}

static void
run_free (run_t *run)
{
  run->self->running--;
  cb_timer_free (run->timer);
  g_free (run->account);
  g_free (run->key);
  g_free (run->kind);
  g_free (run);
}

/* Replies to RUN and frees it. The body has the key and the kind of the request, so
   that a test can detect a reply to another request. */
static void
send_reply (run_t *run)
{
  endpoint_t *self = run->self;
  json_t *body = json_pack ("{s:s,s:s,s:s}", "by", self->params.name, "key", run->key,
                            "kind", run->kind);
  char *text = json_dumps (body, JSON_COMPACT);
  char *hash = cb_fake_hash (text, strlen (text));
  char *more = g_strdup_printf (",\"hash\":\"%s\"", hash);
  /* The headers are no longer available once the client has disconnected. */
  gboolean disconnected = cb_http_header (run->req, "x-request-key") == NULL;

  cb_fake_work_event (&self->fake, disconnected ? "endpoint_cut" : "endpoint_done",
                      run->account, run->key, disconnected ? "" : more);
  if (cb_fake_use_mode (&self->fake, "cut"))
    cb_http_reply_truncated (run->req, text, strlen (text) / 2, strlen (text));
  else
    cb_http_reply (run->req, 200, "application/json", text, strlen (text));
  g_free (more);
  g_free (hash);
  free (text);
  json_decref (body);
  run_free (run);
}

static void
on_run_done (void *ctx)
{
  run_t *run = ctx;
  endpoint_t *self = run->self;
  run_t *held = self->held;

  if (held == NULL && self->running > 1 && cb_fake_use_mode (&self->fake, "crossed"))
    {
      self->held = run;
      return;
    }
  self->held = NULL;
  send_reply (run);
  if (held != NULL)
    send_reply (held);
}

static const char *
header_or_empty (cb_http_req_t *req, const char *name)
{
  const char *value = cb_http_header (req, name);

  return value == NULL ? "" : value;
}

static void
start_run (endpoint_t *self, cb_http_req_t *req)
{
  gint32 work_ms = g_rand_int_range (self->rand, self->min_ms, self->max_ms + 1);
  run_t *run = g_new0 (run_t, 1);
  char *quoted;
  char *more;

  run->self = self;
  run->req = req;
  run->account = g_strdup (header_or_empty (req, "x-request-account"));
  run->key = g_strdup (header_or_empty (req, "x-request-key"));
  run->kind = g_strdup (header_or_empty (req, "x-request-kind"));
  self->running++;
  quoted = cb_json_quote (run->kind);
  more = g_strdup_printf (",\"kind\":%s", quoted);
  cb_fake_work_event (&self->fake, "endpoint_run", run->account, run->key, more);
  g_free (more);
  g_free (quoted);
  if (cb_fake_use_mode (&self->fake, "silent"))
    {
      cb_http_no_reply (run->req);
      run_free (run);
      return;
    }
  if (cb_fake_use_mode (&self->fake, "slow"))
    work_ms *= SLOW_FACTOR;
  run->timer = cb_timer_new (self->fake.loop, work_ms, 0, on_run_done, run);
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  endpoint_t *self = ctx;

  if (cb_fake_control (&self->fake, req))
    return;
  if (strcmp (cb_http_path (req), "/run") != 0 ||
      strcmp (cb_http_method (req), "POST") != 0)
    cb_fake_reply (req, 404, json_string ("not found"));
  else if (cb_fake_use_mode (&self->fake, "error"))
    cb_fake_reply (req, 500, json_string ("error"));
  else if (self->running >= self->slots)
    cb_fake_reply (req, 503, json_string ("no free slot"));
  else
    start_run (self, req);
}

static void
on_signal (void *ctx, int signo)
{
  endpoint_t *self = ctx;

  (void)signo;
  if (self->stopping)
    return;
  self->stopping = TRUE;
  cb_fake_event (&self->fake, "term", "\"in_flight\":%u", self->running);
  announce (self);
  cb_timer_new (self->fake.loop, EXIT_CHECK_MS, EXIT_CHECK_MS, on_exit_check, self);
}

static void
parse_range (endpoint_t *self, const char *arg)
{
  char *end;

  self->min_ms = (gint32)strtol (arg, &end, 10);
  self->max_ms = *end == ',' ? (gint32)strtol (end + 1, NULL, 10) : self->min_ms;
  if (self->max_ms < self->min_ms)
    self->max_ms = self->min_ms;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  endpoint_t *self = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &self->params;
      break;
    case 'a':
      self->agent = arg;
      break;
    case 'n':
      self->params.name = arg;
      break;
    case 'k':
      g_strfreev (self->kinds);
      self->kinds = g_strsplit (arg, ",", -1);
      break;
    case 's':
      self->slots = (uint32_t)strtoul (arg, NULL, 10);
      break;
    case 'c':
      self->connections = (uint32_t)strtoul (arg, NULL, 10);
      break;
    case 'w':
      parse_range (self, arg);
      break;
    case 'r':
      g_rand_set_seed (self->rand, (guint32)strtoul (arg, NULL, 10));
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "agent", 'a', "H:P", 0, "HTTP address of the agent", 0 },
    { "name", 'n', "N", 0, "name of the endpoint", 0 },
    { "kinds", 'k', "A,B", 0, "request kinds that it runs", 0 },
    { "slots", 's', "N", 0, "requests that run at the same time (8)", 0 },
    { "connections", 'c', "N", 0, "number of connections to announce (60)", 0 },
    { "work-ms", 'w', "MIN,MAX", 0,
      "run time of a request, random in this range (5,20)", 0 },
    { "seed", 'r', "N", 0, "seed of the random run times (1)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse,
                                    .children = children,
                                    .doc = "Stand-in for an endpoint." };
  endpoint_t self = { .params = { .listen = "127.0.0.1:19480",
                                  .name = "endpoint",
                                  .role = "endpoint",
                                  .handler = on_request,
                                  .on_signal = on_signal },
                      .agent = "127.0.0.1:19400",
                      .slots = 8,
                      .connections = 60,
                      .min_ms = 5,
                      .max_ms = 20 };

  self.params.ctx = &self;
  self.rand = g_rand_new_with_seed (1);
  if (argp_parse (&argp, argc, argv, 0, NULL, &self) != 0 ||
      cb_fake_open (&self.fake, &self.params) < 0)
    return EXIT_FAILURE;
  cb_timer_new (self.fake.loop, 0, ANNOUNCE_MS, announce, &self);
  cb_fake_run (&self.fake);
  g_rand_free (self.rand);
  g_strfreev (self.kinds);
  return EXIT_SUCCESS;
}
