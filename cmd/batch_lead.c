#include "cmd/batch.h"

#include <string.h>

/* Without a record of the scheduler for this long, another entry claims its role. It
   writes at least one each BEAT_MS. */
#define SILENCE_MS 1000
#define BEAT_MS 250
/* Entries claim one after the other, so that one claim is enough: up to this many ms
   apart, by a hash of their names. */
#define STAGGER_MS 250
/* The same when the role is known to be free. */
#define VACANT_STAGGER_MS 80
/* A claim that has shown no effect after this long is appended again: an append gets at
   most 1.0 s while the store is well. */
#define CLAIM_RETRY_MS 1500
/* An agent that has not reported for this long gets a new connection. Reports come
   twice a second. */
#define LINK_SILENCE_MS 1500
/* Orders without news go out at least this often, as the agent's reports answer them.
 */
#define HELLO_MS 400

static Cb__BatchRecord *
new_record (Cb__BatchRecord__BodyCase body_case)
{
  Cb__BatchRecord *record = cb_msg_new (&cb__batch_record__descriptor);

  record->body_case = body_case;
  return record;
}

static void
on_record (cb_batch_entry_t *entry, void *ctx, int err, const Cb__BatchRecord *record)
{
  (void)ctx;
  if (err == CB_LOGC_GIVEN_UP || err == CB_LOGC_REFUSED)
    cb_batch_append_failed (entry->batch, record);
}

static void
free_link (void *ptr)
{
  cb_batch_link_t *link = ptr;

  cb_wire_close (link->wire);
  g_free (link->agent);
  g_free (link->address);
  g_free (link);
}

static void
send_orders (cb_batch_entry_t *entry, cb_batch_link_t *link, cb_msec_t now_ms)
{
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);
  gboolean may_grant = now_ms - entry->read_ms < CB_GRANT_STALE_MS;

  cb_msg_set_string (&envelope->from, entry->identity);
  envelope->epoch = entry->own_epoch;
  envelope->body_case = CB__ENVELOPE__BODY_WORKER_ORDERS;
  envelope->worker_orders =
      cb_batch_build_commands (entry->batch, link->agent, may_grant, now_ms);
  link->sent_ms = now_ms;
  if (cb_wire_send (link->wire, NULL, envelope) < 0)
    {
      cb_counters_add (entry->counters, "agent_sends_failed_total", NULL, 1);
      cb_event (CB_LOG_WARN, "entry", "orders_not_sent", "agent=%s address=%s",
                link->agent, link->address);
    }
  cb_msg_free (envelope);
}

static void
on_report (void *ctx, const char *peer, const Cb__Envelope *envelope, size_t bytes)
{
  cb_batch_link_t *link = ctx;
  cb_batch_entry_t *entry = link->entry;
  cb_msec_t now_ms = cb_batch_now ();

  (void)peer;
  (void)bytes;
  if (envelope->body_case != CB__ENVELOPE__BODY_WORKER_REPORT)
    return;
  if (envelope->epoch != entry->own_epoch)
    {
      gboolean newer = envelope->epoch > entry->own_epoch;

      cb_event (newer ? CB_LOG_WARN : CB_LOG_INFO, "entry",
                newer ? "agent_has_newer_epoch" : "report_ignored",
                "agent=%s epoch=%" PRIu64 " own=%" PRIu64, link->agent, envelope->epoch,
                entry->own_epoch);
      return;
    }
  link->heard_ms = now_ms;
  cb_batch_handle_report (entry->batch, link->agent, envelope->worker_report, now_ms);
  cb_batch_pump (entry);
  /* The answer carries the lease; changed orders were sent by the pump. */
  if (entry->own_epoch != 0 && link->sent_ms != now_ms)
    send_orders (entry, link, now_ms);
}

static void
connect_link (cb_batch_entry_t *entry, cb_batch_link_t *link, cb_msec_t now_ms)
{
  cb_wire_close (link->wire);
  link->wire = NULL;
  link->connected_ms = now_ms;
  if (cb_wire_connect (entry->loop, link->address, entry->identity, on_report, link,
                       &link->wire) < 0)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "agent_address", "agent=%s address=%s",
                          link->agent, link->address);
      link->wire = NULL;
      return;
    }
  send_orders (entry, link, now_ms);
}

static void
check_agent (void *ctx, const char *name, const char *address)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_link_t *link = g_hash_table_lookup (entry->links, name);
  cb_msec_t now_ms = cb_batch_now ();

  if (link == NULL)
    {
      link = g_new0 (cb_batch_link_t, 1);
      link->agent = g_strdup (name);
      link->address = g_strdup (address);
      link->entry = entry;
      g_hash_table_insert (entry->links, link->agent, link);
      connect_link (entry, link, now_ms);
      return;
    }
  if (strcmp (link->address, address) != 0)
    {
      g_free (link->address);
      link->address = g_strdup (address);
      connect_link (entry, link, now_ms);
      return;
    }
  if (now_ms - MAX (link->heard_ms, link->connected_ms) > LINK_SILENCE_MS)
    {
      cb_event (CB_LOG_WARN, "entry", "agent_silent",
                "agent=%s address=%s since_ms=%" PRId64, name, address,
                now_ms - (link->heard_ms > 0 ? link->heard_ms : link->connected_ms));
      connect_link (entry, link, now_ms);
    }
  else if (link->wire != NULL && (cb_batch_commands_changed (entry->batch, name) ||
                                  now_ms - link->sent_ms > HELLO_MS))
    send_orders (entry, link, now_ms);
}

static void
append_beat (cb_batch_entry_t *entry, gboolean resigns, cb_msec_t now_ms)
{
  Cb__BatchRecord *record = new_record (CB__BATCH_RECORD__BODY_BEAT);

  record->epoch = entry->own_epoch;
  record->beat = cb_msg_new (&cb__batch_beat__descriptor);
  record->beat->resigns = resigns;
  cb_batch_fill_heartbeat (entry->batch, record->beat);
  entry->append_ms = now_ms;
  cb_batch_append (entry, record, NULL, NULL);
}

static void
claim (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  uint64_t epoch = cb_batch_epoch (entry->batch);
  cb_msec_t seen_ms = cb_batch_scheduler_seen_ms (entry->batch);
  Cb__BatchRecord *record;

  if (entry->claimed == epoch + 1 && now_ms - entry->claim_ms < CLAIM_RETRY_MS)
    return;
  entry->claimed = epoch + 1;
  entry->claim_ms = now_ms;
  record = new_record (CB__BATCH_RECORD__BODY_CLAIM);
  record->claim = cb_msg_new (&cb__batch_claim__descriptor);
  cb_msg_set_string (&record->claim->entry, entry->identity);
  record->claim->replaces_epoch = epoch;
  cb_event_unlimited (CB_LOG_INFO, "entry", "claim",
                      "replaces=%" PRIu64 " scheduler=%s silent_ms=%" PRId64, epoch,
                      cb_batch_scheduler (entry->batch),
                      seen_ms == 0 ? 0 : now_ms - seen_ms);
  cb_batch_append (entry, record, NULL, NULL);
}

/* Returns in how many ms the scheduler's silence allows this entry to claim its role;
   0 or less: now. An entry that is the scheduler is never silent to itself. */
cb_msec_t
cb_batch_lead_silent_in (const cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t seen_ms = cb_batch_scheduler_seen_ms (entry->batch);
  cb_msec_t stagger_ms = g_str_hash (entry->settings->name) % STAGGER_MS;

  if (entry->own_epoch != 0)
    return SILENCE_MS;
  if (seen_ms == 0)
    return entry->healthy_ms + stagger_ms * VACANT_STAGGER_MS / STAGGER_MS - now_ms;
  return MAX (seen_ms, entry->healthy_ms) + SILENCE_MS + stagger_ms - now_ms;
}

/* Claims the scheduler's role when it is silent. A slow store delays the beats and what
   reads show of them, and an instance that was suspended finds old answers when it goes
   on, so the silence is counted up to the time for which the log is known, not up to
   now. */
static void
check_silence (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  if (!entry->caught_up || !entry->healthy || entry->config == NULL)
    return;
  if (cb_batch_lead_silent_in (entry, entry->known_ms) <= 0)
    claim (entry, now_ms);
}

/* Learns from the log whether this entry has become the scheduler, or is not any more.
 */
void
cb_batch_lead_check (cb_batch_entry_t *entry)
{
  uint64_t epoch = cb_batch_epoch (entry->batch);
  gboolean own = strcmp (cb_batch_scheduler (entry->batch), entry->identity) == 0;

  if (own && entry->own_epoch != epoch && entry->term_ms == 0)
    {
      entry->own_epoch = epoch;
      cb_event_unlimited (CB_LOG_INFO, "entry", "scheduler_gained", "epoch=%" PRIu64,
                          epoch);
      cb_counters_add (entry->counters, "scheduler_takeovers_total", NULL, 1);
      cb_batch_set_own_epoch (entry->batch, epoch, cb_batch_now ());
    }
  else if (!own && entry->own_epoch != 0)
    cb_batch_lead_close (entry);
}

/* Closes the connections to agents; the entry schedules nothing any more. */
void
cb_batch_lead_close (cb_batch_entry_t *entry)
{
  if (entry->own_epoch == 0)
    return;
  cb_event_unlimited (CB_LOG_INFO, "entry", "scheduler_lost",
                      "epoch=%" PRIu64 " newer=%" PRIu64, entry->own_epoch,
                      cb_batch_epoch (entry->batch));
  entry->own_epoch = 0;
  cb_batch_set_own_epoch (entry->batch, 0, cb_batch_now ());
  g_hash_table_remove_all (entry->links);
}

/* Gives up the scheduler's role at once, so that another entry need not wait. */
void
cb_batch_lead_resign (cb_batch_entry_t *entry)
{
  if (entry->own_epoch != 0)
    append_beat (entry, TRUE, cb_batch_now ());
}

/* Appends the scheduler's records and sends its orders, or claims the role when nobody
   has it. */
void
cb_batch_lead_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  Cb__BatchRecord *record;

  if (entry->links == NULL)
    entry->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link);
  if (entry->own_epoch == 0)
    {
      if (entry->term_ms == 0)
        check_silence (entry, now_ms);
      return;
    }
  if (entry->term_ms == 0)
    cb_batch_tick (entry->batch, now_ms, cb_clock_wall (entry->clock));
  cb_batch_advice_tick (entry, now_ms);
  while ((record = cb_batch_pop_record (entry->batch)) != NULL)
    {
      entry->append_ms = now_ms;
      cb_batch_append (entry, record, on_record, NULL);
    }
  if (now_ms - entry->append_ms > BEAT_MS && entry->term_ms == 0)
    append_beat (entry, FALSE, now_ms);
  cb_batch_foreach_agent (entry->batch, check_agent, entry);
}
