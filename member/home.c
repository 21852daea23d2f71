/* An agent's choice of the entry to connect to (its home entry), and its heartbeats to
   that entry. */
#include "member/local.h"

#include <string.h>

struct cb_home
{
  const Cb__Settings *settings;
  uint64_t incarnation;
  cb_outq_t out;
  const Cb__Peer **entries; /* by decreasing rendezvous weight */
  size_t current;           /* index in `entries` */
  uint32_t generation;      /* number of the connection that should be open, from 1 */
  cb_msec_t connected_ms;   /* start of the current generation */
  cb_msec_t last_ack_ms;    /* 0: none in this generation */
  cb_msec_t last_heartbeat_ms;  /* last heartbeat sent */
  cb_msec_t acked_heartbeat_ms; /* send time of the last acknowledged heartbeat */
  gboolean send_now;            /* the next heartbeat is due at once */
  gboolean started;
  gboolean draining;
  gboolean drained; /* by the operator, as in the last acknowledgement */
  uint64_t config_version;
  uint32_t running_tasks;
  uint32_t running_requests;
  Cb__EndpointInfo *endpoint;
  uint64_t endpoint_seq;  /* rises with each change of the endpoint */
  gboolean send_endpoint; /* the next heartbeat must carry the endpoint */
  cb_msec_t endpoint_sent_ms;
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

/* Creates an agent's view of its home entry. The settings must name at least one entry.
   Free the result with cb_home_free. */
cb_home_t *
cb_home_new (const cb_member_params_t *params)
{
  cb_home_t *home = g_new0 (cb_home_t, 1);
  size_t count = params->settings->n_entries;

  home->settings = params->settings;
  home->incarnation = params->incarnation;
  home->generation = 1;
  home->send_now = TRUE;
  home->send_endpoint = TRUE;
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

/* Returns the queue of envelopes to send. HOME owns the queue, the caller what it pops
   from it. */
cb_outq_t *
cb_home_outputs (cb_home_t *home)
{
  return &home->out;
}

static gboolean
endpoints_equal (const Cb__EndpointInfo *a, const Cb__EndpointInfo *b)
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

/* Sets the state that the agent's heartbeats report. ENDPOINT is copied and may be
   NULL. A change of DRAINING or of the endpoint is sent with the next tick instead of
   the next regular heartbeat. */
void
cb_home_set_state (cb_home_t *home, gboolean draining, uint64_t config_version,
                   uint32_t running_tasks, uint32_t running_requests,
                   const Cb__EndpointInfo *endpoint)
{
  if (!endpoints_equal (home->endpoint, endpoint))
    {
      cb_msg_free (home->endpoint);
      home->endpoint =
          endpoint == NULL ? NULL : (Cb__EndpointInfo *)cb_msg_copy (&endpoint->base);
      home->endpoint_seq++;
      home->send_endpoint = TRUE;
      home->send_now = TRUE;
    }
  if (draining != home->draining)
    home->send_now = TRUE;
  home->draining = draining;
  home->config_version = config_version;
  home->running_tasks = running_tasks;
  home->running_requests = running_requests;
}

/* Requests a new connection to the current entry from the caller of cb_home_entry. */
static void
reconnect (cb_home_t *home, cb_msec_t now_ms)
{
  home->generation++;
  home->connected_ms = now_ms;
  home->last_ack_ms = 0;
  home->send_endpoint = TRUE;
  home->send_now = TRUE;
}

static void
connect_to_next_entry (cb_home_t *home, cb_msec_t now_ms)
{
  home->current = (home->current + 1) % home->settings->n_entries;
  reconnect (home, now_ms);
}

static void
receive_ack (cb_home_t *home, const Cb__HeartbeatAck *ack, cb_msec_t now_ms)
{
  /* An acknowledgement of a heartbeat of an earlier connection doesn't show that the
     present one works. */
  if ((cb_msec_t)ack->echo_ms < home->connected_ms)
    return;
  home->last_ack_ms = now_ms;
  home->acked_heartbeat_ms = MAX (home->acked_heartbeat_ms, (cb_msec_t)ack->echo_ms);
  home->drained = ack->drained;
  if ((cb_msec_t)ack->echo_ms >= home->endpoint_sent_ms)
    home->send_endpoint = FALSE;
  if (!ack->want_info || home->endpoint == NULL)
    return;
  home->send_endpoint = TRUE;
  home->send_now = TRUE;
}

/* Handles heartbeat_ack and goodbye of the current entry; those of other entries are
   ignored. An acknowledgement without a sender comes from the entry at the other end of
   the connection. */
void
cb_home_receive (cb_home_t *home, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  if (*envelope->from != '\0' &&
      strcmp (envelope->from, home->entries[home->current]->name) != 0)
    return;
  if (envelope->body_case == CB__ENVELOPE__BODY_HEARTBEAT_ACK)
    receive_ack (home, envelope->heartbeat_ack, now_ms);
  else if (envelope->body_case == CB__ENVELOPE__BODY_GOODBYE && *envelope->from != '\0')
    connect_to_next_entry (home, now_ms);
}

/* Call when the connection to the current entry has ended, for example because its
   process terminated: the agent changes to the next entry at once instead of after
   silence_ms. A connection without any acknowledgement is left to the timeout in
   cb_home_tick, so that entries that refuse connections don't make the agent change
   entries without pause. */
void
cb_home_connection_lost (cb_home_t *home, cb_msec_t now_ms)
{
  if (home->last_ack_ms > 0)
    connect_to_next_entry (home, now_ms);
}

/* Returns whether it is enough to send a heartbeat every CB_IDLE_AGENT_INTERVALS
   intervals of heartbeat_ms: there is no work, no drain and no change to report, and
   silence_ms leaves time to repeat a lost heartbeat. */
static gboolean
is_idle (const cb_home_t *home)
{
  return home->running_tasks == 0 && home->running_requests == 0 && !home->draining &&
         !home->drained && !home->send_endpoint &&
         cb_member_silence_ms (home->settings) >=
             3 * cb_member_heartbeat_ms (home->settings);
}

/* Returns the time from the last heartbeat to the next. An idle agent skips every
   second heartbeat, but repeats an unacknowledged one after half an interval, so that a
   lost heartbeat doesn't make the agent time out at its entry. Any agent sends every
   half interval until the first acknowledgement on a connection. */
static cb_msec_t
heartbeat_interval_ms (const cb_home_t *home)
{
  cb_msec_t heartbeat_ms = cb_member_heartbeat_ms (home->settings);

  if (home->last_ack_ms == 0)
    return heartbeat_ms / 2;
  if (!is_idle (home))
    return heartbeat_ms;
  return home->acked_heartbeat_ms >= home->last_heartbeat_ms
             ? CB_IDLE_AGENT_INTERVALS * heartbeat_ms
             : heartbeat_ms / 2;
}

static void
send_heartbeat (cb_home_t *home, cb_msec_t now_ms)
{
  Cb__Envelope *envelope = cb_outq_send (&home->out, home->entries[home->current]->name,
                                         CB__ENVELOPE__BODY_HEARTBEAT);
  Cb__Heartbeat *heartbeat = envelope->heartbeat;

  /* `to` is empty to save bytes: the receiver is the other end of the connection. */
  cb_msg_set_string (&envelope->to, NULL);
  cb_msg_set_string (&envelope->from, home->settings->name);
  envelope->incarnation = home->incarnation;
  envelope->sent_ms = (uint64_t)now_ms;
  heartbeat->draining = home->draining;
  heartbeat->config_version = home->config_version;
  heartbeat->running_tasks = home->running_tasks;
  heartbeat->running_requests = home->running_requests;
  heartbeat->has_worker = home->settings->worker_address[0] != '\0';
  heartbeat->report_seq = home->endpoint_seq;
  home->last_heartbeat_ms = now_ms;
  if (!home->send_endpoint || home->endpoint == NULL)
    return;
  heartbeat->endpoint = (Cb__EndpointInfo *)cb_msg_copy (&home->endpoint->base);
  home->endpoint_sent_ms = now_ms;
}

/* Replaces the connection after silence_ms without an acknowledgement, or changes to
   the next entry after one heartbeat interval when the connection has had none yet.
   With the defaults, 3 s + 1 s, an agent reaches another entry before the lease of its
   gang tasks (5 s, see gang/) ends. */
static void
check_ack_timeout (cb_home_t *home, cb_msec_t now_ms)
{
  if (home->last_ack_ms > 0)
    {
      if (now_ms - home->last_ack_ms >= cb_member_silence_ms (home->settings))
        reconnect (home, now_ms);
    }
  else if (now_ms - home->connected_ms >= cb_member_heartbeat_ms (home->settings))
    connect_to_next_entry (home, now_ms);
}

/* Queues the heartbeat when it is due and changes the connection after a timeout. Call
   at least every 100 ms; then call cb_home_entry, as the outputs are for the connection
   that it returns. */
void
cb_home_tick (cb_home_t *home, cb_msec_t now_ms)
{
  if (!home->started)
    {
      home->started = TRUE;
      home->connected_ms = now_ms;
    }
  check_ack_timeout (home, now_ms);
  if (!home->send_now &&
      now_ms < home->last_heartbeat_ms + heartbeat_interval_ms (home))
    return;
  home->send_now = FALSE;
  send_heartbeat (home, now_ms);
}

/* Returns whether the last acknowledgement reported that the operator has drained the
   instance. */
gboolean
cb_home_drained (const cb_home_t *home)
{
  return home->drained;
}

/* Returns name and address of the entry to be connected to; HOME's settings own them.
   When the entry or *GENERATION (may be NULL) changes, the caller must close its
   connection and open a new one. */
const Cb__Peer *
cb_home_entry (const cb_home_t *home, uint32_t *generation)
{
  if (generation != NULL)
    *generation = home->generation;
  return home->entries[home->current];
}
