/* Feeds the modules of an entry. Selectors: 0 an envelope to the peers module, 1 to
   route, 2 a caller's request (a packed Request), 3 log records of other writers (a
   packed RecordBatch), 4 the result of the oldest append, failed or not (the low bit of
   wait), 5 a caller's fetch of an answer, 6 its cancellation of a request, 7 its
   disconnection (5 to 7: a packed Request), 8 drain on or off (the low bit of wait). */
#include "fuzz/lib/fuzz.h"

#include "fleet/fns.h"
#include "ledger/fns.h"
#include "member/fns.h"
#include "route/fns.h"

/* CB_LOGC_UNAVAILABLE of logc/dat.h: the outcome of the append is unknown. */
#define APPEND_UNAVAILABLE -400

typedef struct
{
  cb_peers_t *peers;
  cb_route_t *route;
  cb_ledger_t *ledger;
  cb_fleet_t *fleet;
  Cb__Settings *settings;
  GQueue appends;              /* of cb_out_t: appends without a result */
  GHashTable *waiting_callers; /* set of ids of callers that wait for a reply */
  GHashTable *mainframe_calls; /* set of tags of calls to the mainframe */
  uint64_t caller_id, offset;  /* the last caller's id; offset of the last record */
  cb_msec_t now_ms;
} entry_t;

static void
on_member (void *ctx, cb_member_event_t event, const char *name,
           const Cb__AgentHome *agent)
{
  entry_t *e = ctx;

  FUZZ_CHECK (name != NULL);
  if (event <= CB_AGENT_DOWN || event == CB_AGENT_MOVED)
    {
      FUZZ_CHECK (agent != NULL);
      if (event != CB_AGENT_DOWN)
        cb_route_set_home_entry (e->route, name, agent->incarnation,
                                 cb_peers_home_entry (e->peers, name), e->now_ms);
      cb_route_update_endpoint (e->route, name, agent->incarnation,
                                event != CB_AGENT_DOWN && agent->up, agent->draining,
                                agent->endpoint, e->now_ms);
    }
  else if (event == CB_PEER_UP)
    cb_route_peer_up (e->route, name, e->now_ms);
  else if (event == CB_PEER_DOWN)
    cb_route_peer_down (e->route, name, e->now_ms);
}

static void
on_record_applied (void *ctx, uint64_t offset, uint32_t index, const Cb__Record *record,
                   int result)
{
  entry_t *e = ctx;

  (void)index;
  cb_route_record_applied (e->route, offset, record, result, e->now_ms);
}

static void
add_kind (Cb__Rules *rules, const char *name, gboolean not_repeatable,
          gboolean mainframe)
{
  Cb__KindRule *kind = cb_msg_new (&cb__kind_rule__descriptor);

  cb_msg_set_string (&kind->name, name);
  kind->not_repeatable = not_repeatable;
  if (mainframe)
    {
      kind->mainframe = cb_msg_new (&cb__mainframe__descriptor);
      cb_msg_set_string (&kind->mainframe->address, "127.0.0.1:1");
    }
  cb_msg_append ((void ***)&rules->kinds, &rules->n_kinds, kind);
}

static cb_fleet_t *
make_fleet (void)
{
  Cb__Config *config = cb_msg_new (&cb__config__descriptor);
  cb_fleet_t *fleet;

  config->version = 1;
  config->inventory = cb_msg_new (&cb__inventory__descriptor);
  config->rules = cb_msg_new (&cb__rules__descriptor);
  cb_msg_append ((void ***)&config->inventory->client_accounts,
                 &config->inventory->n_client_accounts, strdup ("a"));
  add_kind (config->rules, "quote", FALSE, FALSE);
  add_kind (config->rules, "polish", TRUE, FALSE);
  add_kind (config->rules, "old", TRUE, TRUE);
  fleet = cb_fleet_new (config);
  cb_msg_free (config);
  return fleet;
}

static void
add_endpoint (entry_t *e)
{
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  char *kinds[] = { "quote", "polish" };

  info.name = "endpoint";
  info.kinds = kinds;
  info.n_kinds = 2;
  info.slots = 2;
  info.connections = 4;
  info.alive = 1;
  cb_route_update_endpoint (e->route, "w0", 1, TRUE, FALSE, &info, e->now_ms);
}

static void
entry_open (entry_t *e)
{
  cb_route_params_t route = { "e0", 1 };
  cb_member_params_t member;

  memset (e, 0, sizeof *e);
  e->now_ms = 1000;
  e->settings = cb_msg_new (&cb__settings__descriptor);
  cb_msg_set_string (&e->settings->name, "e0");
  cb_msg_set_string (&e->settings->cell, "cell");
  for (int i = 0; i < 3; i++)
    {
      Cb__Peer *peer = cb_msg_new (&cb__peer__descriptor);
      char name[] = { 'e', (char)('0' + i), '\0' };

      cb_msg_set_string (&peer->name, name);
      cb_msg_append ((void ***)&e->settings->entries, &e->settings->n_entries, peer);
    }
  member.settings = e->settings;
  member.incarnation = 1;
  e->ledger = cb_ledger_new ();
  e->route = cb_route_new (&route, e->ledger);
  e->peers = cb_peers_new (&member, on_member, e);
  e->fleet = make_fleet ();
  e->waiting_callers = g_hash_table_new (g_direct_hash, g_direct_equal);
  e->mainframe_calls = g_hash_table_new (g_direct_hash, g_direct_equal);
  cb_ledger_set_observer (e->ledger, on_record_applied, e);
  cb_route_set_fleet (e->route, e->fleet, e->now_ms);
  add_endpoint (e);
}

static void
free_out (gpointer out)
{
  cb_out_free (out);
}

static void
entry_close (entry_t *e)
{
  g_queue_clear_full (&e->appends, free_out);
  cb_peers_free (e->peers);
  cb_route_free (e->route);
  cb_ledger_free (e->ledger);
  cb_fleet_unref (e->fleet);
  cb_msg_free (e->settings);
  g_hash_table_destroy (e->waiting_callers);
  g_hash_table_destroy (e->mainframe_calls);
}

/* A sent envelope has a receiver and can be unpacked. */
static void
check_sent (const Cb__Envelope *envelope)
{
  GBytes *packed = cb_msg_pack (&envelope->base);
  gsize size;
  const uint8_t *data = g_bytes_get_data (packed, &size);
  Cb__Envelope *copy = cb__envelope__unpack (NULL, size, data);

  FUZZ_CHECK (copy != NULL && *envelope->to != '\0');
  cb_msg_free (copy);
  g_bytes_unref (packed);
}

static void
handle_outputs (entry_t *e, cb_outq_t *queue)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (queue)) != NULL)
    {
      if (out->kind == CB_OUT_SEND)
        check_sent (out->envelope);
      /* A caller gets no second reply. */
      if (out->kind == CB_OUT_REPLY)
        FUZZ_CHECK (
            g_hash_table_remove (e->waiting_callers, GSIZE_TO_POINTER (out->tag)));
      if (out->kind == CB_OUT_CALL)
        FUZZ_CHECK (g_hash_table_add (e->mainframe_calls, GSIZE_TO_POINTER (out->tag)));
      if (out->kind == CB_OUT_APPEND)
        g_queue_push_tail (&e->appends, out);
      else
        cb_out_free (out);
    }
}

/* An agent's home, the entry that it is connected to, is in the list of entries and is
   the same for each query. */
static void
check_agent (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  const entry_t *e = ctx;

  FUZZ_CHECK (agent != NULL);
  FUZZ_CHECK (home == NULL || cb_peers_is_entry (e->peers, home));
  FUZZ_CHECK (g_strcmp0 (home, cb_peers_home_entry (e->peers, agent->name)) == 0);
}

static void
check_invariants (entry_t *e)
{
  handle_outputs (e, cb_peers_outputs (e->peers));
  handle_outputs (e, cb_route_outputs (e->route));
  cb_peers_each_agent (e->peers, check_agent, e);
}

static void
apply_records (entry_t *e, const void *data, size_t size)
{
  cb_ledger_apply (e->ledger, ++e->offset, data, size);
}

/* Ends the oldest append. FAILED: the log gives no response; else the record is written
   and applied. */
static void
end_append (entry_t *e, gboolean failed)
{
  cb_out_t *out = g_queue_pop_head (&e->appends);
  Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
  GBytes *packed;
  gsize size;
  const void *data;

  if (out == NULL)
    return;
  if (!failed)
    {
      cb_msg_set_string (&out->record->producer, "e0");
      out->record->sequence = e->offset + 1;
      batch.n_records = 1;
      batch.records = &out->record;
      packed = cb_msg_pack (&batch.base);
      data = g_bytes_get_data (packed, &size);
      apply_records (e, data, size);
      g_bytes_unref (packed);
    }
  cb_route_appended (e->route, out->tag, failed ? APPEND_UNAVAILABLE : CB_OK,
                     e->now_ms);
  cb_out_free (out);
}

/* Passes on the request, fetch or cancellation of a new caller, or the disconnection of
   the last one. */
static void
handle_caller (entry_t *e, const fuzz_frame_t *frame)
{
  Cb__Request *request = cb__request__unpack (NULL, frame->size, frame->data);
  uint64_t caller_id = ++e->caller_id;

  if (request == NULL)
    return;
  if (frame->selector != 7)
    g_hash_table_add (e->waiting_callers, GSIZE_TO_POINTER (caller_id));
  if (frame->selector == 2)
    cb_route_submit (e->route, caller_id, request, e->now_ms,
                     e->now_ms + 1700000000000);
  else if (frame->selector == 5)
    cb_route_fetch (e->route, caller_id, request->account, request->key, e->now_ms);
  else if (frame->selector == 6)
    cb_route_cancel (e->route, caller_id, request->account, request->key, e->now_ms);
  else if (g_hash_table_remove (e->waiting_callers, GSIZE_TO_POINTER (caller_id - 1)))
    cb_route_caller_disconnected (e->route, caller_id - 1);
  cb_msg_free (request);
}

static void
receive (entry_t *e, const fuzz_frame_t *frame)
{
  Cb__Envelope *envelope = cb__envelope__unpack (NULL, frame->size, frame->data);

  if (envelope == NULL)
    return;
  if (frame->selector == 0)
    cb_peers_receive (e->peers, envelope, e->now_ms);
  else
    cb_route_receive (e->route, envelope, e->now_ms);
  cb_msg_free (envelope);
}

/* Ends all calls to the mainframe with success. */
static void
end_mainframe_calls (entry_t *e)
{
  GHashTableIter it;
  gpointer tag;

  g_hash_table_iter_init (&it, e->mainframe_calls);
  while (g_hash_table_iter_next (&it, &tag, NULL))
    {
      g_hash_table_iter_remove (&it);
      cb_route_mainframe_done (e->route, GPOINTER_TO_SIZE (tag), CB__RAN__RAN_YES, 200,
                               "ok", 2, e->now_ms);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  entry_t e;
  fuzz_frame_t frame;

  entry_open (&e);
  while (fuzz_next (&data, &size, &frame))
    {
      e.now_ms += frame.wait * 100;
      if (frame.selector <= 1)
        receive (&e, &frame);
      else if (frame.selector == 3)
        apply_records (&e, frame.data, frame.size);
      else if (frame.selector == 4)
        end_append (&e, frame.wait & 1);
      else if (frame.selector <= 7)
        handle_caller (&e, &frame);
      else if (frame.selector == 8)
        cb_route_drain (e.route, frame.wait & 1);
      check_invariants (&e);
      end_mainframe_calls (&e);
      cb_peers_tick (e.peers, e.now_ms);
      cb_route_tick (e.route, e.now_ms);
      check_invariants (&e);
    }
  /* Within ten minutes of virtual time each caller gets a reply, even when all appends
     fail. */
  for (int i = 0; i < 6000 && g_hash_table_size (e.waiting_callers) > 0; i++)
    {
      while (e.appends.length > 0)
        end_append (&e, TRUE);
      e.now_ms += 100;
      cb_route_tick (e.route, e.now_ms);
      check_invariants (&e);
      end_mainframe_calls (&e);
    }
  FUZZ_CHECK (g_hash_table_size (e.waiting_callers) == 0);
  entry_close (&e);
  return 0;
}
