/* Performs the outputs of the modules, and exchanges messages with agents and other
   entries. Entries connect to each other; an agent connects to its home entry, which
   forwards messages of other entries to it. */
#include "cmd/entry.h"

#include <stdlib.h>
#include <string.h>

/* Returns the monotonic time. */
cb_msec_t
cb_entry_now (const cb_entry_t *entry)
{
  return cb_clock_now (entry->clock);
}

static gboolean
is_self (const cb_entry_t *entry, const char *name)
{
  return *name == '\0' || strcmp (name, entry->settings->name) == 0;
}

static void
count_undelivered (cb_entry_t *entry, const char *to)
{
  cb_counters_add (entry->counters, "undelivered_total", NULL, 1);
  cb_log (CB_LOG_DEBUG, "entry", "cannot deliver a message to %s", to);
}

/* Sends ENVELOPE to its addressee: an entry, an agent of this entry, or through its
   home entry an agent of another one. A FORWARDED envelope, which another entry has
   sent, is only delivered to agents of this entry. Otherwise two entries that disagree
   about an agent's home entry could forward it to each other without end. */
static void
route_envelope (cb_entry_t *entry, const Cb__Envelope *envelope, gboolean forwarded)
{
  const char *to = envelope->to;
  const char *home = to;
  cb_wire_t *dealer;
  int err = CB_NET_SEND;

  if (!cb_peers_is_entry (entry->peers, to))
    home = cb_peers_home_entry (entry->peers, to);
  if (home != NULL && strcmp (home, entry->settings->name) == 0)
    err = cb_wire_send (entry->router, to, envelope);
  else if (home != NULL && !forwarded)
    {
      dealer = g_hash_table_lookup (entry->dealers, home);
      if (dealer != NULL)
        err = cb_wire_send (dealer, NULL, envelope);
    }
  if (err < 0)
    count_undelivered (entry, to);
}

/* Passes ENVELOPE to the scheduler of this process if it schedules the cell. Otherwise
   forwards an agent's envelope to the entry that does, and drops it when no other entry
   is known to. Envelopes from other entries are not forwarded again. */
static void
deliver_to_scheduler (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  const char *holder = NULL;
  Cb__Envelope copy = *envelope;

  if (entry->epoch > 0)
    {
      cb_sched_receive (entry->sched, envelope, cb_entry_now (entry));
      /* The report has replaced the draining state by the agent's own; this call adds
         the operator's drain from the log. */
      if (envelope->body_case == CB__ENVELOPE__BODY_REPORT)
        cb_entry_update_draining (entry, envelope->from);
      return;
    }
  cb_ledger_epoch (entry->ledger, entry->settings->cell, &holder);
  if (holder == NULL || is_self (entry, holder) ||
      cb_peers_is_entry (entry->peers, envelope->from))
    return;
  copy.to = (char *)holder;
  route_envelope (entry, &copy, FALSE);
}

static void
handle_envelope (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  cb_msec_t now_ms = cb_entry_now (entry);

  switch (envelope->body_case)
    {
    case CB__ENVELOPE__BODY_HEARTBEAT:
      cb_peers_receive (entry->peers, envelope, now_ms);
      if (entry->fleet != NULL &&
          envelope->heartbeat->config_version != entry->fleet->config->version)
        cb_entry_notify_agent (entry, envelope->from);
      break;
    case CB__ENVELOPE__BODY_PEER_BEAT:
    case CB__ENVELOPE__BODY_GOODBYE:
      cb_peers_receive (entry->peers, envelope, now_ms);
      break;
    case CB__ENVELOPE__BODY_ANSWER:
    case CB__ENVELOPE__BODY_REQUEST_FOUND:
    case CB__ENVELOPE__BODY_REQUEST_LOOKUP:
      cb_route_receive (entry->route, envelope, now_ms);
      break;
    case CB__ENVELOPE__BODY_EPOCH_REJECT:
      if (entry->epoch > 0 && envelope->epoch_reject->newest_epoch > entry->epoch)
        cb_entry_step_down (entry, "an agent has a newer epoch");
      break;
    case CB__ENVELOPE__BODY_RESERVE_REPLY:
    case CB__ENVELOPE__BODY_TASK_REPORT:
    case CB__ENVELOPE__BODY_REPORT:
      deliver_to_scheduler (entry, envelope);
      break;
    case CB__ENVELOPE__BODY_SNAPSHOT_REQUEST:
      cb_entry_on_snapshot_request (entry, envelope);
      break;
    case CB__ENVELOPE__BODY_SNAPSHOT_CHUNK:
      cb_entry_on_snapshot_chunk (entry, envelope->snapshot_chunk);
      break;
    case CB__ENVELOPE__BODY_JOBS_QUERY:
      cb_entry_on_jobs_query (entry, envelope);
      break;
    case CB__ENVELOPE__BODY_JOBS_FOUND:
      cb_entry_on_jobs_found (entry, envelope);
      break;
    default:
      cb_counters_add (entry->counters, "unexpected_total", NULL, 1);
    }
}

static void
on_message (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_entry_t *entry = ctx;
  gboolean from_entry = peer == NULL || cb_peers_is_entry (entry->peers, peer);

  (void)bytes;
  cb_counters_add (entry->counters, "messages_received_total", NULL, 1);
  if (is_self (entry, envelope->to))
    handle_envelope (entry, envelope);
  else
    route_envelope (entry, envelope, from_entry);
  cb_entry_flush (entry);
}

/* Delivers ENVELOPE, which the caller still owns. Except in a HEARTBEAT_ACK, sets the
   incarnation to that of this entry, and the sender to this entry if none is set. */
void
cb_entry_send (cb_entry_t *entry, Cb__Envelope *envelope)
{
  /* Acknowledgements are frequent and are kept small: agents need neither the name nor
     the incarnation of the entry that they are connected to. */
  if (envelope->body_case != CB__ENVELOPE__BODY_HEARTBEAT_ACK)
    {
      if (*envelope->from == '\0')
        cb_msg_set_string (&envelope->from, entry->settings->name);
      envelope->incarnation = entry->incarnation;
    }
  if (is_self (entry, envelope->to))
    handle_envelope (entry, envelope);
  else
    route_envelope (entry, envelope, FALSE);
}

static void
perform_output (cb_entry_t *entry, cb_out_t *out, cb_append_owner_t owner)
{
  switch (out->kind)
    {
    case CB_OUT_SEND:
      cb_entry_send (entry, out->envelope);
      break;
    case CB_OUT_APPEND:
      cb_entry_append (entry, out->record, owner, out->tag, NULL);
      out->record = NULL;
      break;
    case CB_OUT_EVENT:
      cb_trace_event (entry->trace, out->name, out->fields);
      break;
    case CB_OUT_COUNT:
      cb_counters_add (entry->counters, out->name, out->fields, 1);
      break;
    case CB_OUT_REPLY:
      cb_entry_reply_answer (entry, out->tag, (const Cb__Answer *)out->message);
      break;
    case CB_OUT_CALL:
      if (strcmp (out->name, "mainframe") == 0)
        cb_entry_call_mainframe (entry, out->tag, (const Cb__Request *)out->message);
      break;
    }
  cb_out_free (out);
}

static gboolean
perform_next_output (cb_entry_t *entry)
{
  cb_out_t *out;

  if ((out = cb_outq_pop (cb_peers_outputs (entry->peers))) != NULL)
    perform_output (entry, out, CB_OWNER_CALLER);
  else if ((out = cb_outq_pop (cb_sched_outputs (entry->sched))) != NULL)
    perform_output (entry, out, CB_OWNER_SCHED);
  else if ((out = cb_outq_pop (cb_route_outputs (entry->route))) != NULL)
    perform_output (entry, out, CB_OWNER_ROUTE);
  return out != NULL;
}

/* Performs the outputs of all modules until none is left. Outputs that are added by a
   nested call are performed by the outer one. */
void
cb_entry_flush (cb_entry_t *entry)
{
  if (entry->flushing)
    return;
  entry->flushing = TRUE;
  while (perform_next_output (entry))
    {
    }
  entry->flushing = FALSE;
}

static void
close_dealer (gpointer wire)
{
  cb_wire_close (wire);
}

static void
dial (cb_entry_t *entry, const Cb__Peer *peer)
{
  cb_wire_t *wire = NULL;

  if (cb_wire_connect (entry->loop, peer->address, entry->settings->name, on_message,
                       entry, &wire) < 0)
    {
      cb_log (CB_LOG_ERROR, "entry", "invalid address of entry %s: %s", peer->name,
              peer->address);
      return;
    }
  g_hash_table_replace (entry->dealers, g_strdup (peer->name), wire);
}

/* Replaces the connection to the entry PEER: a connection that stopped responding may
   never recover. */
void
cb_entry_redial (cb_entry_t *entry, const char *peer)
{
  for (size_t i = 0; i < entry->settings->n_entries; i++)
    if (strcmp (entry->settings->entries[i]->name, peer) == 0)
      dial (entry, entry->settings->entries[i]);
}

/* Opens the socket for agents and other entries, and connects to each other entry.
   Returns 0, or an error of net/ when the socket can't be opened. */
int
cb_entry_connect (cb_entry_t *entry)
{
  int err = cb_wire_listen (entry->loop, entry->settings->wire_address, on_message,
                            entry, &entry->router);

  entry->dealers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, close_dealer);
  if (err < 0)
    return err;
  for (size_t i = 0; i < entry->settings->n_entries; i++)
    if (!is_self (entry, entry->settings->entries[i]->name))
      dial (entry, entry->settings->entries[i]);
  return CB_OK;
}
