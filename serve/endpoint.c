/* The endpoint that is announced to this agent: its state, and whether it can be sent a
   request now. */
#include "serve/local.h"

#include <string.h>

static gboolean
endpoint_info_equal (const Cb__EndpointInfo *a, const Cb__EndpointInfo *b)
{
  if (strcmp (a->name, b->name) != 0 || a->n_kinds != b->n_kinds ||
      a->slots != b->slots || a->connections != b->connections ||
      a->leaving != b->leaving || a->alive != b->alive)
    return FALSE;
  for (size_t i = 0; i < a->n_kinds; i++)
    if (strcmp (a->kinds[i], b->kinds[i]) != 0)
      return FALSE;
  return TRUE;
}

static void
write_leaving_event (cb_serve_t *serve)
{
  char *instance = cb_json_quote (serve->instance);

  cb_outq_event (&serve->out, "leaving", "\"instance\":%s", instance);
  g_free (instance);
}

gboolean
cb_serve_update_endpoint (cb_serve_t *serve, const Cb__EndpointInfo *info,
                          cb_msec_t now_ms)
{
  Cb__EndpointInfo *copy = (Cb__EndpointInfo *)cb_msg_copy (&info->base);
  gboolean was_leaving = serve->info != NULL && serve->info->leaving;
  gboolean changed;

  copy->alive = TRUE;
  changed = serve->info == NULL || !endpoint_info_equal (serve->info, copy);
  cb_msg_free (serve->info);
  serve->info = copy;
  serve->announced_at_ms = now_ms;
  if (copy->leaving && !was_leaving)
    write_leaving_event (serve);
  return changed;
}

const Cb__EndpointInfo *
cb_serve_endpoint_info (const cb_serve_t *serve)
{
  return serve->info;
}

void
cb_serve_drain (cb_serve_t *serve, gboolean on)
{
  char *instance;

  if (serve->draining == on)
    return;
  serve->draining = on;
  if (on)
    write_leaving_event (serve);
  instance = cb_json_quote (serve->instance);
  cb_outq_event (&serve->out, "drain", "\"instance\":%s,\"on\":%s", instance,
                 on ? "true" : "false");
  g_free (instance);
}

void
cb_serve_tick (cb_serve_t *serve, cb_msec_t now_ms)
{
  if (serve->info != NULL && now_ms >= serve->announced_at_ms + CB_ANNOUNCE_TIMEOUT_MS)
    serve->info->alive = FALSE;
  cb_serve_expire_keys (serve, now_ms);
  cb_serve_expire_fences (serve, now_ms);
}

/* Returns why a request of KIND cannot be sent to the endpoint now, REASON_NONE when it
   can. Each request takes one slot and one connection. */
Cb__Reason
cb_serve_unavailable_reason (const cb_serve_t *serve, const char *kind,
                             cb_msec_t now_ms)
{
  const Cb__EndpointInfo *info = serve->info;
  uint32_t running = cb_serve_running_count (serve);

  if (serve->draining || (info != NULL && info->leaving))
    return CB__REASON__DRAINING;
  if (info == NULL || now_ms >= serve->announced_at_ms + CB_ANNOUNCE_TIMEOUT_MS)
    return CB__REASON__NO_ENDPOINT;
  if (running >= info->slots || running >= info->connections)
    return CB__REASON__ENDPOINT_BUSY;
  for (size_t i = 0; i < info->n_kinds; i++)
    if (strcmp (info->kinds[i], kind) == 0)
      return CB__REASON__REASON_NONE;
  return CB__REASON__NO_ENDPOINT;
}
