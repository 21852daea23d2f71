#include "member/local.h"

#include <string.h>

struct cb_home
{
  const Cb__Settings *settings;
  uint64_t incarnation;
  cb_outq_t out;
  const Cb__Peer **entries; /* by falling rendezvous weight */
  size_t current;
  uint32_t generation;
  cb_msec_t connected_ms; /* start of the current generation */
  cb_msec_t acked_ms;     /* 0: no ack in this generation */
  cb_msec_t sent_ms;      /* last heartbeat */
  cb_msec_t echoed_ms;    /* sent_ms of the last heartbeat that was acknowledged */
  gboolean at_once;       /* the next heartbeat does not wait for its interval */
  gboolean started;
  gboolean draining;
  gboolean drained; /* by the operator, as last acknowledged */
  uint64_t config_version;
  uint32_t running_tasks;
  uint32_t running_requests;
  Cb__EndpointInfo *endpoint;
  uint64_t info_seq; /* rises with each change of the endpoint */
  gboolean send_info;
  cb_msec_t info_sent_ms;
};

static gint
compare_weight (gconstpointer a, gconstpointer b, gpointer agent)
{
  const Cb__Peer *x = *(const Cb__Peer *const *)a;
  const Cb__Peer *y = *(const Cb__Peer *const *)b;
  uint64_t wx = cb_member_weight (agent, x->name);
  uint64_t wy = cb_member_weight (agent, y->name);

  return (wx < wy) - (wx > wy);
}

/* Creates an agent's view of its home entry. Settings name at least one entry. Freed
   with cb_home_free. */
cb_home_t *
cb_home_new (const cb_member_params_t *params)
{
  cb_home_t *home = g_new0 (cb_home_t, 1);
  size_t count = params->settings->n_entries;

  home->settings = params->settings;
  home->incarnation = params->incarnation;
  home->generation = 1;
  home->at_once = TRUE;
  home->send_info = TRUE;
  cb_outq_init (&home->out);
  home->entries = g_new0 (const Cb__Peer *, count + 1);
  for (size_t i = 0; i < count; i++)
    home->entries[i] = params->settings->entries[i];
  g_qsort_with_data (home->entries, (gint)count, sizeof (gpointer), compare_weight,
                     params->settings->name);
  return home;
}

void
cb_home_free (cb_home_t *home)
{
  if (home == NULL)
    return;
  cb_outq_clear (&home->out);
  cb_msg_free (home->endpoint);
  g_free (home->entries);
  g_free (home);
}

cb_outq_t *
cb_home_outputs (cb_home_t *home)
{
  return &home->out;
}

static gboolean
same_endpoint (const Cb__EndpointInfo *a, const Cb__EndpointInfo *b)
{
  GBytes *x;
  GBytes *y;
  gboolean same;

  if (a == NULL || b == NULL)
    return a == b;
  x = cb_msg_pack (&a->base);
  y = cb_msg_pack (&b->base);
  same = g_bytes_equal (x, y);
  g_bytes_unref (x);
  g_bytes_unref (y);
  return same;
}

/* What the agent tells its home entry. ENDPOINT may be NULL. A change of DRAINING or of
   the endpoint is sent with the next tick, not only with the next regular heartbeat. */
void
cb_home_set_state (cb_home_t *home, gboolean draining, uint64_t config_version,
                   uint32_t running_tasks, uint32_t running_requests,
                   const Cb__EndpointInfo *endpoint)
{
  if (!same_endpoint (home->endpoint, endpoint))
    {
      cb_msg_free (home->endpoint);
      home->endpoint =
          endpoint == NULL ? NULL : (Cb__EndpointInfo *)cb_msg_copy (&endpoint->base);
      home->info_seq++;
      home->send_info = TRUE;
      home->at_once = TRUE;
    }
  if (draining != home->draining)
    home->at_once = TRUE;
  home->draining = draining;
  home->config_version = config_version;
  home->running_tasks = running_tasks;
  home->running_requests = running_requests;
}

static void
reconnect (cb_home_t *home, cb_msec_t now_ms)
{
  home->generation++;
  home->connected_ms = now_ms;
  home->acked_ms = 0;
  home->send_info = TRUE;
  home->at_once = TRUE;
}

static void
move_on (cb_home_t *home, cb_msec_t now_ms)
{
  home->current = (home->current + 1) % home->settings->n_entries;
  reconnect (home, now_ms);
}

static void
receive_ack (cb_home_t *home, const Cb__HeartbeatAck *ack, cb_msec_t now_ms)
{
  /* An ack for a heartbeat of an earlier connection proves nothing about this one. */
  if ((cb_msec_t)ack->echo_ms < home->connected_ms)
    return;
  home->acked_ms = now_ms;
  home->echoed_ms = MAX (home->echoed_ms, (cb_msec_t)ack->echo_ms);
  home->drained = ack->drained;
  if ((cb_msec_t)ack->echo_ms >= home->info_sent_ms)
    home->send_info = FALSE;
  if (!ack->want_info || home->endpoint == NULL)
    return;
  home->send_info = TRUE;
  home->at_once = TRUE;
}

/* Takes heartbeat_ack and goodbye from entries; those of other entries than the current
   one are ignored. An acknowledgement without a sender is from the other end of the
   connection. */
void
cb_home_receive (cb_home_t *home, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  if (*envelope->from != '\0' &&
      strcmp (envelope->from, home->entries[home->current]->name) != 0)
    return;
  if (envelope->body_case == CB__ENVELOPE__BODY_HEARTBEAT_ACK)
    receive_ack (home, envelope->heartbeat_ack, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_GOODBYE && *envelope->from != '\0')
    move_on (home, now_ms);
}

/* Takes that the connection to the current entry has ended, as when its process dies:
   changes to the next entry with the next tick instead of after silence_ms. A
   connection that was never acknowledged is left to its own time limit, so that an
   entry that refuses all connections does not keep the agent changing entries. */
void
cb_home_lost (cb_home_t *home, cb_msec_t now_ms)
{
  if (home->acked_ms > 0)
    move_on (home, now_ms);
}

/* Whether nothing at this instance needs a heartbeat each interval: no work, no drain
   and nothing to tell. The silence time must hold two of the longer intervals less one
   half. */
static gboolean
is_idle (const cb_home_t *home)
{
  return home->running_tasks == 0 && home->running_requests == 0 && !home->draining &&
         !home->drained && !home->send_info &&
         cb_member_silence_ms (home->settings) >=
             3 * cb_member_heartbeat_ms (home->settings);
}

/* Time from the last heartbeat to the next. An idle agent skips every second one. One
   that was not acknowledged is repeated after half an interval: the entry then hears
   the agent within its silence time although a heartbeat was lost. */
static cb_msec_t
interval_ms (const cb_home_t *home)
{
  cb_msec_t heartbeat_ms = cb_member_heartbeat_ms (home->settings);

  if (home->acked_ms == 0)
    return heartbeat_ms / 2;
  if (!is_idle (home))
    return heartbeat_ms;
  return home->echoed_ms >= home->sent_ms ? CB_IDLE_BEATS * heartbeat_ms
                                          : heartbeat_ms / 2;
}

static void
send_heartbeat (cb_home_t *home, cb_msec_t now_ms)
{
  Cb__Envelope *envelope = cb_outq_send (&home->out, home->entries[home->current]->name,
                                         CB__ENVELOPE__BODY_HEARTBEAT);
  Cb__Heartbeat *beat = envelope->heartbeat;

  /* The receiver is at the other end of the connection: an empty `to` saves bytes. */
  cb_msg_set_string (&envelope->to, NULL);
  cb_msg_set_string (&envelope->from, home->settings->name);
  envelope->incarnation = home->incarnation;
  envelope->sent_ms = (uint64_t)now_ms;
  beat->draining = home->draining;
  beat->config_version = home->config_version;
  beat->running_tasks = home->running_tasks;
  beat->running_requests = home->running_requests;
  beat->has_worker = home->settings->worker_address[0] != '\0';
  beat->report_seq = home->info_seq;
  home->sent_ms = now_ms;
  if (!home->send_info || home->endpoint == NULL)
    return;
  beat->endpoint = (Cb__EndpointInfo *)cb_msg_copy (&home->endpoint->base);
  home->info_sent_ms = now_ms;
}

/* A connection that has worked gets silence_ms without an ack. One that has not yet
   gets one heartbeat interval: with 3 s + 1 s an agent reaches another entry before the
   gang lease of 5 s ends. */
static void
check_silence (cb_home_t *home, cb_msec_t now_ms)
{
  if (home->acked_ms > 0)
    {
      if (now_ms - home->acked_ms >= cb_member_silence_ms (home->settings))
        reconnect (home, now_ms);
    }
  else if (now_ms - home->connected_ms >= cb_member_heartbeat_ms (home->settings))
    move_on (home, now_ms);
}

/* Sends the heartbeat that is due and changes the connection after silence. Call at
   least every 100 ms; look at cb_home_entry before sending the outputs. */
void
cb_home_tick (cb_home_t *home, cb_msec_t now_ms)
{
  if (!home->started)
    {
      home->started = TRUE;
      home->connected_ms = now_ms;
    }
  check_silence (home, now_ms);
  if (!home->at_once && now_ms < home->sent_ms + interval_ms (home))
    return;
  home->at_once = FALSE;
  send_heartbeat (home, now_ms);
}

/* Name and address of the entry to be connected to now. A change, or a new generation
   with the same entry, means: close the connection and open a new one. */
gboolean
cb_home_drained (const cb_home_t *home)
{
  return home->drained;
}

const Cb__Peer *
cb_home_entry (const cb_home_t *home, uint32_t *generation)
{
  if (generation != NULL)
    *generation = home->generation;
  return home->entries[home->current];
}
