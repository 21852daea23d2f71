/* The scheduler's role: an entry claims it and keeps it by appending heartbeat records.
   The scheduler sends commands to the agents and receives their reports. */
#include "cmd/batch.h"

#include <string.h>

/* The scheduler appends at least one record every HEARTBEAT_MS. */
#define HEARTBEAT_MS 250
/* Before an entry is registered, it delays its claim by up to UNRANKED_STAGGER_MS, by a
   hash of its name, and by up to UNRANKED_WEAK_MS more the less processor time it has;
   none of this from UNRANKED_STRONG_SHARE of a core on. */
#define UNRANKED_STAGGER_MS 80
#define UNRANKED_WEAK_MS 400
#define UNRANKED_STRONG_SHARE 0.5
/* The connection to an agent that has not reported for the interval of reports plus
   this time is opened again. */
#define AGENT_LATE_MS 1050
/* Unchanged commands are sent again after this time and the interval of reports. */
#define COMMANDS_LATE_MS 250
/* After a pass, the scheduler rests for PASS_REST times as long as the pass took, so
   that reports, reads and heartbeats are handled in time on a slow instance. */
#define PASS_REST 3
#define PASS_REST_MAX_MS 400
/* A turn that comes later than this shows that the process did not run or was
   overloaded. What the others sent meanwhile has not been received yet, and the
   scheduler may have been paused, too. */
#define TURN_LATE_MS 400

static Cb__BatchRecord *
new_record (Cb__BatchRecord__BodyCase body_case)
{
  Cb__BatchRecord *record = cb_msg_new (&cb__batch_record__descriptor);

  record->body_case = body_case;
  return record;
}

static void
on_record_appended (cb_batch_entry_t *entry, void *ctx, int err,
                    const Cb__BatchRecord *record)
{
  (void)ctx;
  if (err == CB_OK)
    entry->scheduler_append_ms = cb_batch_now_ms ();
  if (err == CB_LOGC_REFUSED)
    {
      cb_counters_add (entry->counters, "records_too_large_total", NULL, 1);
      cb_event_unlimited (CB_LOG_ERROR, "entry", "record_too_large",
                          "kind=%d bytes=%zu", (int)record->body_case,
                          protobuf_c_message_get_packed_size (&record->base));
    }
  if (err == CB_LOGC_GIVEN_UP || err == CB_LOGC_REFUSED)
    cb_batch_append_failed (entry->batch, record, err == CB_LOGC_REFUSED,
                            cb_batch_now_ms ());
}

static void
free_link (void *ptr)
{
  cb_batch_agent_link_t *link = ptr;

  cb_wire_close (link->wire);
  g_free (link->agent);
  g_free (link->address);
  g_free (link);
}

static void
send_commands (cb_batch_entry_t *entry, cb_batch_agent_link_t *link, cb_msec_t now_ms)
{
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);
  /* After its resignation, its successor counts on it to grant nothing. */
  gboolean may_grant =
      entry->term_ms == 0 && now_ms - entry->last_read_ms < CB_GRANT_STALE_MS;

  cb_msg_set_string (&envelope->from, entry->identity);
  envelope->epoch = cb_batch_command_epoch (entry->batch, link->agent);
  envelope->body_case = CB__ENVELOPE__BODY_WORKER_ORDERS;
  envelope->worker_orders =
      cb_batch_build_commands (entry->batch, link->agent, may_grant, now_ms);
  link->last_commands_ms = now_ms;
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
  cb_batch_agent_link_t *link = ctx;
  cb_batch_entry_t *entry = link->entry;
  cb_msec_t now_ms = cb_batch_now_ms ();

  (void)peer;
  (void)bytes;
  if (envelope->body_case != CB__ENVELOPE__BODY_WORKER_REPORT)
    return;
  if (!cb_batch_is_command_epoch (entry->batch, link->agent, envelope->epoch))
    {
      gboolean newer = envelope->epoch > entry->own_epoch;

      cb_event (newer ? CB_LOG_WARN : CB_LOG_INFO, "entry",
                newer ? "agent_has_newer_epoch" : "report_ignored",
                "agent=%s epoch=%" PRIu64 " own=%" PRIu64, link->agent, envelope->epoch,
                entry->own_epoch);
      return;
    }
  link->last_report_ms = now_ms;
  cb_batch_handle_report (entry->batch, link->agent, envelope->worker_report, now_ms);
  cb_batch_process_due (entry);
  if (entry->own_epoch != 0 && cb_batch_commands_due (entry->batch, link->agent))
    send_commands (entry, link, now_ms);
}

static void
connect_agent (cb_batch_entry_t *entry, cb_batch_agent_link_t *link, cb_msec_t now_ms)
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
  send_commands (entry, link, now_ms);
}

/* Returns the time from which on the silence of LINK's agent counts: its last report,
   or a later time at which it could not be heard yet. */
static cb_msec_t
silent_since_ms (const cb_batch_entry_t *entry, const cb_batch_agent_link_t *link)
{
  return MAX (MAX (link->last_report_ms, link->connected_ms), entry->resumed_ms);
}

static void
check_agent (void *ctx, const char *name, const char *address)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_agent_link_t *link = g_hash_table_lookup (entry->agent_links, name);
  cb_msec_t now_ms = cb_batch_now_ms ();
  cb_msec_t interval_ms = cb_batch_report_interval_ms (entry->batch);

  if (link == NULL)
    {
      link = g_new0 (cb_batch_agent_link_t, 1);
      link->agent = g_strdup (name);
      link->address = g_strdup (address);
      link->entry = entry;
      g_hash_table_insert (entry->agent_links, link->agent, link);
      connect_agent (entry, link, now_ms);
      return;
    }
  if (strcmp (link->address, address) != 0)
    {
      g_free (link->address);
      link->address = g_strdup (address);
      connect_agent (entry, link, now_ms);
      return;
    }
  if (now_ms - silent_since_ms (entry, link) > interval_ms + AGENT_LATE_MS)
    {
      /* since_ms is a duration: since the last report, or the connection. */
      cb_event (CB_LOG_WARN, "entry", "agent_silent",
                "agent=%s address=%s since_ms=%" PRId64, name, address,
                now_ms - (link->last_report_ms > 0 ? link->last_report_ms
                                                   : link->connected_ms));
      connect_agent (entry, link, now_ms);
    }
  else if (link->wire != NULL &&
           now_ms - link->last_commands_ms > interval_ms + COMMANDS_LATE_MS)
    send_commands (entry, link, now_ms);
}

static void
send_changed_commands (void *ctx, const char *agent)
{
  cb_batch_entry_t *entry = ctx;
  cb_batch_agent_link_t *link = g_hash_table_lookup (entry->agent_links, agent);

  if (link != NULL && link->wire != NULL)
    send_commands (entry, link, cb_batch_now_ms ());
}

static void
append_heartbeat (cb_batch_entry_t *entry, gboolean resigns, cb_msec_t now_ms)
{
  Cb__BatchRecord *record = new_record (CB__BATCH_RECORD__BODY_BEAT);

  record->epoch = entry->own_epoch;
  record->beat = cb_msg_new (&cb__batch_beat__descriptor);
  record->beat->resigns = resigns;
  cb_batch_fill_heartbeat (entry->batch, record->beat);
  entry->scheduler_append_ms = now_ms;
  cb_batch_append (entry, record, NULL, NULL);
}

static void
claim_role (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  uint64_t epoch = cb_batch_epoch (entry->batch);
  cb_msec_t seen_ms = cb_batch_scheduler_seen_ms (entry->batch);
  Cb__BatchRecord *record;

  if (entry->claim_replaced_plus_1 == epoch + 1 &&
      now_ms - entry->claimed_ms < cb_claim_retry_ms (cb_batch_log_call_ms (entry)))
    return;
  entry->claim_replaced_plus_1 = epoch + 1;
  entry->claimed_ms = now_ms;
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

/* Returns the time in ms by which this entry delays its claim, so that those that
   should have the role rather claim it first. */
static cb_msec_t
claim_stagger_ms (const cb_batch_entry_t *entry)
{
  uint32_t rank;
  double weakness;

  if (cb_batch_claim_rank (entry->batch, entry->settings->name, &rank))
    return cb_claim_stagger_ms (rank, cb_batch_log_call_ms (entry));
  weakness = 1 - MIN (1, entry->settings->cpu_share / UNRANKED_STRONG_SHARE);
  return g_str_hash (entry->settings->name) % UNRANKED_STAGGER_MS +
         (cb_msec_t)(weakness * UNRANKED_WEAK_MS);
}

/* Returns how long after NOW_MS this entry may claim the scheduler's role if the log
   shows no further record of the scheduler, in ms; 0 or less: at once. While the entry
   is the scheduler, returns the silence after which others claim. */
cb_msec_t
cb_batch_scheduler_claim_delay_ms (const cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t seen_ms = cb_batch_scheduler_seen_ms (entry->batch);
  cb_msec_t silence_ms = cb_claim_silence_ms (cb_batch_log_call_ms (entry));

  if (entry->own_epoch != 0)
    return silence_ms;
  if (seen_ms == 0)
    return MAX (entry->healthy_since_ms, cb_batch_resigned_ms (entry->batch)) +
           claim_stagger_ms (entry) - now_ms;
  return MAX (MAX (seen_ms, entry->healthy_since_ms), entry->resumed_ms) + silence_ms +
         claim_stagger_ms (entry) - now_ms;
}

/* Claims the scheduler's role when the log shows no record of the scheduler for too
   long. The silence is counted up to applied_until_ms instead of the present: a slow
   store delays heartbeats and the reads that return them, and an instance resumed after
   a suspension first receives outdated replies. */
static void
check_scheduler_silence (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  if (!entry->caught_up || !entry->healthy || entry->config == NULL)
    return;
  if (cb_batch_scheduler_claim_delay_ms (entry, entry->applied_until_ms) <= 0)
    claim_role (entry, now_ms);
}

/* Takes or gives up the scheduler's role according to the applied log records. After
   SIGTERM the role is not taken. */
void
cb_batch_scheduler_check_role (cb_batch_entry_t *entry)
{
  uint64_t epoch = cb_batch_epoch (entry->batch);
  gboolean own = strcmp (cb_batch_scheduler (entry->batch), entry->identity) == 0;

  if (own && entry->own_epoch != epoch && entry->term_ms == 0)
    {
      entry->own_epoch = epoch;
      cb_event_unlimited (CB_LOG_INFO, "entry", "scheduler_gained", "epoch=%" PRIu64,
                          epoch);
      cb_counters_add (entry->counters, "scheduler_takeovers_total", NULL, 1);
      cb_batch_set_own_epoch (entry->batch, epoch, cb_batch_now_ms ());
    }
  else if (!own && entry->own_epoch != 0)
    cb_batch_scheduler_step_down (entry);
}

/* Stops scheduling and closes the connections to the agents, if this entry is the
   scheduler. */
void
cb_batch_scheduler_step_down (cb_batch_entry_t *entry)
{
  if (entry->own_epoch == 0)
    return;
  cb_event_unlimited (CB_LOG_INFO, "entry", "scheduler_lost",
                      "epoch=%" PRIu64 " newer=%" PRIu64, entry->own_epoch,
                      cb_batch_epoch (entry->batch));
  entry->own_epoch = 0;
  cb_batch_set_own_epoch (entry->batch, 0, cb_batch_now_ms ());
  g_hash_table_remove_all (entry->agent_links);
}

/* If this entry is the scheduler, appends a record that gives up the role, so that
   another entry can claim it without waiting for a silence. */
void
cb_batch_scheduler_resign (cb_batch_entry_t *entry)
{
  if (entry->own_epoch != 0)
    append_heartbeat (entry, TRUE, cb_batch_now_ms ());
}

static void
on_pass_timer (void *ctx)
{
  cb_batch_entry_t *entry = ctx;

  cb_timer_free (entry->pass_timer);
  entry->pass_timer = NULL;
  cb_batch_process_due (entry);
}

/* Makes the due decisions, appends their records and checks the connections to the
   agents, unless the rest after the last pass is not over: the pass is then
   deferred. */
static void
run_pass (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  Cb__BatchRecord *record;
  cb_msec_t took_ms;

  if (now_ms < entry->pass_not_before_ms)
    {
      if (entry->pass_timer == NULL)
        entry->pass_timer = cb_timer_new (
            entry->loop, entry->pass_not_before_ms - now_ms, 0, on_pass_timer, entry);
      return;
    }
  /* What is decided while the log is lost could not be stored. */
  if (entry->term_ms == 0 && !cb_batch_log_is_lost (entry))
    cb_batch_tick (entry->batch, now_ms, cb_clock_wall (entry->clock));
  cb_batch_advice_tick (entry, now_ms);
  while ((record = cb_batch_pop_record (entry->batch)) != NULL)
    cb_batch_append (entry, record, on_record_appended, NULL);
  cb_batch_foreach_agent (entry->batch, check_agent, entry);
  took_ms = cb_batch_now_ms () - now_ms;
  cb_counters_observe (entry->counters, "scheduler_pass_duration_ms", NULL, took_ms);
  entry->pass_not_before_ms =
      now_ms + took_ms + MIN (took_ms * PASS_REST, PASS_REST_MAX_MS);
}

/* Notes the turn at NOW_MS, and whether the process has been paused before. While the
   scheduler is silent only the first pause counts, so that an overloaded entry claims
   the role in the end. */
static void
note_turn (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  gboolean late = entry->turn_ms != 0 && now_ms - entry->turn_ms > TURN_LATE_MS;

  entry->turn_ms = now_ms;
  if (late && (entry->own_epoch != 0 ||
               entry->resumed_ms <= cb_batch_scheduler_seen_ms (entry->batch)))
    entry->resumed_ms = now_ms;
}

/* As the scheduler, makes due decisions, sends advice requests, appends records and
   heartbeats, and sends commands; otherwise claims the role when the scheduler is
   silent. After SIGTERM, makes no new decisions, sends no heartbeats and does not
   claim the role. */
void
cb_batch_scheduler_tick (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  if (entry->agent_links == NULL)
    entry->agent_links =
        g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link);
  note_turn (entry, now_ms);
  if (entry->own_epoch == 0)
    {
      if (entry->term_ms == 0)
        check_scheduler_silence (entry, now_ms);
      return;
    }
  cb_batch_zones_check (entry, now_ms);
  if (now_ms - entry->scheduler_append_ms > HEARTBEAT_MS && entry->term_ms == 0)
    append_heartbeat (entry, FALSE, now_ms);
  run_pass (entry, now_ms);
  cb_batch_foreach_changed (entry->batch, send_changed_commands, entry);
  entry->turn_ms = cb_batch_now_ms ();
}
