/* Detects that a cell has no scheduler and ranks the entries that may claim the cell.
   Each entry computes its own rank from a rendezvous hash and waits one timeout longer
   for each entry before it, so that normally only one claims. */
#include "member/local.h"

#include <string.h>

#include <xxhash.h>

/* Returns the rendezvous hashing weight of NAME for KEY. */
uint64_t
cb_member_weight (const char *key, const char *name)
{
  char *text = g_strdup_printf ("%s/%s", key, name);
  uint64_t weight = XXH64 (text, strlen (text), 0);

  g_free (text);
  return weight;
}

/* Returns whether PEER may claim this entry's cell. The scheduler that timed out is not
   a candidate. */
static gboolean
is_candidate (const cb_peers_t *peers, const cb_peer_t *peer)
{
  return peer->up && !peer->leaving &&
         g_strcmp0 (peer->cell, peers->settings->cell) == 0 &&
         g_strcmp0 (peer->name, peers->scheduler) != 0;
}

/* Returns the number of candidates that precede this entry, that is have a larger
   rendezvous weight for the cell and its epoch. */
static uint32_t
own_rank (const cb_peers_t *peers)
{
  char *key =
      g_strdup_printf ("%s/%" G_GUINT64_FORMAT, peers->settings->cell, peers->epoch);
  uint64_t own = cb_member_weight (key, peers->settings->name);
  GHashTableIter iter;
  gpointer value;
  uint32_t rank = 0;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cb_peer_t *peer = value;
      uint64_t weight;

      if (!is_candidate (peers, peer))
        continue;
      weight = cb_member_weight (key, peer->name);
      if (weight > own ||
          (weight == own && strcmp (peer->name, peers->settings->name) < 0))
        rank++;
    }
  g_free (key);
  return rank;
}

/* Returns whether a peer has applied more of the log than this entry. A claim made now
   might name an epoch that has already been replaced. */
static gboolean
is_behind (const cb_peers_t *peers)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((cb_peer_t *)value)->up &&
        ((cb_peer_t *)value)->folded_next > peers->folded_next)
      return TRUE;
  return FALSE;
}

/* Restarts the scheduler's timeout when ENVELOPE is a heartbeat of the scheduler of
   this entry's cell. Heartbeats under an older epoch, as from a scheduler that was
   replaced while its process was paused, are ignored. */
void
cb_rank_handle_heartbeat (cb_peers_t *peers, const Cb__Envelope *envelope,
                          cb_msec_t now_ms)
{
  const Cb__PeerBeat *heartbeat = envelope->peer_beat;

  if (!heartbeat->scheduler || envelope->epoch < peers->epoch ||
      strcmp (heartbeat->cell, peers->settings->cell) != 0)
    return;
  peers->scheduler_silent_since_ms = now_ms;
  peers->scheduler_last_heartbeat_ms = now_ms;
  peers->silence_reported_ms = 0;
  /* A scheduler that shuts down counts as timed out, so the first candidate is due at
     once. */
  if (heartbeat->leaving)
    peers->scheduler_silent_since_ms -=
        cb_member_scheduler_silence_ms (peers->settings);
}

/* Reports CB_SCHEDULER_SILENT when it is this entry's turn to claim the cell, and again
   after each further scheduler_silence_ms without a scheduler. */
void
cb_rank_tick (cb_peers_t *peers, cb_msec_t now_ms)
{
  cb_msec_t silence_ms = cb_member_scheduler_silence_ms (peers->settings);

  if (peers->scheduling_epoch > 0 || peers->leaving || is_behind (peers))
    return;
  if (peers->silence_reported_ms > 0 &&
      now_ms - peers->silence_reported_ms < silence_ms)
    return;
  if (now_ms - peers->scheduler_silent_since_ms <
      silence_ms * ((cb_msec_t)own_rank (peers) + 1))
    return;
  peers->silence_reported_ms = now_ms;
  peers->observer (peers->ctx, CB_SCHEDULER_SILENT, peers->settings->cell, NULL);
}
