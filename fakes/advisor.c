/* carobrun-fake-advisor: stand-in for the platform's advisor, the service that decides
   which workers may run a step of a job; platform/advisor.c is its client. It allows
   only the worker that --allow names, with a ticket that carobrun-fake-runner --tickets
   checks. In fault mode `busy` it replies with status 429. */
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

/* Time for which a client may use a reply. */
#define VALIDITY_MS 3000

typedef struct
{
  cb_fake_t fake;
  const char *allowed;
} advisor_t;

static void
on_request (void *ctx, cb_http_req_t *req)
{
  advisor_t *advisor = ctx;
  json_t *rows = json_array ();
  json_t *worker;
  json_t *body;
  size_t len;
  size_t i;
  const char *text = cb_http_body (req, &len);

  if (cb_fake_control (&advisor->fake, req))
    {
      json_decref (rows);
      return;
    }
  if (cb_fake_use_mode (&advisor->fake, "busy"))
    {
      cb_fake_reply (req, 429, rows);
      return;
    }
  body = json_loadb (text, len, 0, NULL);
  json_array_foreach (json_object_get (body, "workers"), i, worker)
  {
    if (g_strcmp0 (json_string_value (worker), advisor->allowed) == 0)
      {
        char *ticket = g_strdup_printf (
            "%s@%s", json_string_value (json_object_get (body, "step")),
            advisor->allowed);

        json_array_append_new (rows, json_pack ("[s,s]", advisor->allowed, ticket));
        g_free (ticket);
      }
  }
  cb_fake_reply (req, 200,
                 json_pack ("{s:o,s:i}", "allowed", rows, "validityMs", VALIDITY_MS));
  json_decref (body);
}

static void
on_signal (void *ctx, int signo)
{
  (void)signo;
  cb_loop_stop (((advisor_t *)ctx)->fake.loop);
}

typedef struct
{
  advisor_t *advisor;
  cb_fake_params_t params;
} arguments_t;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  arguments_t *a = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &a->params;
      return 0;
    case 'a':
      a->advisor->allowed = arg;
      return 0;
    case ARGP_KEY_END:
      if (a->advisor->allowed == NULL)
        argp_error (state, "--allow is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "allow", 'a', "WORKER", 0, "the only worker that may run steps", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .options = options,
                                    .parser = parse,
                                    .children = children,
                                    .doc = "Stand-in for the platform's advisor." };
  advisor_t advisor = { .allowed = NULL };
  arguments_t arguments = { .advisor = &advisor,
                            .params = { .name = "advisor",
                                        .role = "advisor",
                                        .trace_file = "",
                                        .handler = on_request,
                                        .on_signal = on_signal,
                                        .ctx = &advisor } };

  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0 ||
      cb_fake_open (&advisor.fake, &arguments.params) < 0)
    return 2;
  cb_fake_run (&advisor.fake);
  return 0;
}
