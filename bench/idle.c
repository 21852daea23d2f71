/* Load of an idle agent and of an idle entry, per second of virtual time: bytes,
   messages, instructions and memory. The modules run without sockets; messages are
   packed and counted with an allowance for the TCP/IP and ZeroMQ framing of each. */
#include "bench/lib/bench.h"

#include <stdio.h>
#include <string.h>

#include "gang/fns.h"
#include "ledger/fns.h"
#include "member/fns.h"
#include "route/fns.h"
#include "serve/fns.h"

/* Added to each message: TCP/IP headers with options 52 or more, Ethernet 14, ZeroMQ
   frames 2 to 10. */
#define FRAMING_BYTES 78
#define TICK_MS 50
#define WARM_UP_MS 10000
#define MEASURED_MS 60000
#define PEER_ENTRIES 29
/* Agents of each entry. */
#define AGENTS_PER_ENTRY 130
#define CELLS 4
#define EPOCH 5
#define INCARNATION 1700000000000
/* Bounds of docs/design.md section 4, where one core is 1e9 instructions per second. */
#define BOUND_BYTES 23000.0
#define BOUND_INSTRUCTIONS (0.032 * 1e9)
#define BOUND_MEMORY_MB 128.0

typedef struct
{
  Cb__Settings *settings;
  cb_home_t *home;
  cb_gang_t *gang;
  cb_serve_t *serve;
} agent_t;

/* What the measured process sends and receives; counted while MEASURING. */
typedef struct
{
  gboolean measuring;
  uint64_t bytes, messages;
} traffic_t;

static void
ignore_member_event (void *ctx, cb_member_event_t event, const char *name,
                     const Cb__AgentHome *agent)
{
  (void)ctx;
  (void)event;
  (void)name;
  (void)agent;
}

static Cb__Settings *
make_settings (const char *name, uint32_t entries, uint32_t cell)
{
  Cb__Settings *settings = cb_msg_new (&cb__settings__descriptor);
  char *text = g_strdup_printf ("cell%u", cell);

  cb_msg_set_string (&settings->name, name);
  cb_msg_set_string (&settings->instance, name);
  cb_msg_set_string (&settings->cell, text);
  cb_msg_set_string (&settings->worker_address, "127.0.0.1:1");
  g_free (text);
  for (uint32_t i = 0; i < entries; i++)
    {
      Cb__Peer *peer = cb_msg_new (&cb__peer__descriptor);

      text = g_strdup_printf ("entry-%02u", i);
      cb_msg_set_string (&peer->name, text);
      cb_msg_set_string (&peer->address, "127.0.0.1:1");
      cb_msg_append ((void ***)&settings->entries, &settings->n_entries, peer);
      g_free (text);
    }
  return settings;
}

/* Counts ENVELOPE as packed for the wire. Returns the copy that the receiver unpacks;
   freed with cb_msg_free. */
static Cb__Envelope *
count_and_copy (traffic_t *traffic, const Cb__Envelope *envelope)
{
  GBytes *packed = cb_msg_pack (&envelope->base);
  gsize size;
  const uint8_t *data = g_bytes_get_data (packed, &size);
  Cb__Envelope *copy = cb__envelope__unpack (NULL, size, data);

  if (traffic->measuring)
    {
      traffic->bytes += size + FRAMING_BYTES;
      traffic->messages++;
    }
  g_bytes_unref (packed);
  return copy;
}

static void
resume_counting (traffic_t *traffic)
{
  if (traffic->measuring && bench_is_counting ())
    bench_resume ();
}

static void
pause_counting (traffic_t *traffic)
{
  if (traffic->measuring && bench_is_counting ())
    bench_pause ();
}

static void
agent_open (agent_t *agent, const char *name)
{
  cb_member_params_t member;
  cb_gang_params_t gang = { name, "cell0", 1, 60, 130 };
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  char *kinds[] = { "quote-preview", "polish" };

  agent->settings = make_settings (name, 1, 0);
  member.settings = agent->settings;
  member.incarnation = INCARNATION;
  agent->home = cb_home_new (&member);
  agent->gang = cb_gang_new (&gang);
  agent->serve = cb_serve_new (name);
  info.name = "endpoint";
  info.kinds = kinds;
  info.n_kinds = 2;
  info.slots = 8;
  info.connections = 60;
  info.alive = 1;
  cb_serve_update_endpoint (agent->serve, &info, 0);
}

static void
agent_close (agent_t *agent)
{
  cb_home_free (agent->home);
  cb_gang_free (agent->gang);
  cb_serve_free (agent->serve);
  cb_msg_free (agent->settings);
}

/* Runs one tick of the agent's process, as cmd/agent.c does. Adds copies of the
   messages for the entry to TO_ENTRY. */
static void
agent_tick (agent_t *agent, cb_msec_t now_ms, traffic_t *traffic, GPtrArray *to_entry)
{
  cb_outq_t *queues[] = { cb_gang_outputs (agent->gang),
                          cb_serve_outputs (agent->serve),
                          cb_home_outputs (agent->home) };
  cb_out_t *out;

  if (now_ms % 1000 == 0)
    {
      Cb__EndpointInfo *info = (Cb__EndpointInfo *)cb_msg_copy (
          &cb_serve_endpoint_info (agent->serve)->base);

      cb_serve_update_endpoint (agent->serve, info, now_ms);
      cb_msg_free (info);
    }
  cb_gang_tick (agent->gang, now_ms);
  cb_serve_tick (agent->serve, now_ms);
  cb_home_set_state (agent->home, FALSE, 1, cb_gang_task_count (agent->gang),
                     cb_serve_running_count (agent->serve),
                     cb_serve_endpoint_info (agent->serve));
  cb_home_tick (agent->home, now_ms);
  for (size_t i = 0; i < G_N_ELEMENTS (queues); i++)
    while ((out = cb_outq_pop (queues[i])) != NULL)
      {
        if (out->kind == CB_OUT_SEND)
          {
            cb_msg_set_string (&out->envelope->cell, "cell0");
            g_ptr_array_add (to_entry, count_and_copy (traffic, out->envelope));
          }
        cb_out_free (out);
      }
}

static void
report_traffic (const char *role, const traffic_t *traffic)
{
  double seconds = MEASURED_MS / 1000.0;
  char *name;

  if (bench_is_counting ())
    {
      name = g_strdup_printf ("idle_%s_instructions", role);
      bench_check_bound (name, bench_instructions () / seconds, "instructions/s",
                         BOUND_INSTRUCTIONS);
      g_free (name);
      return;
    }
  name = g_strdup_printf ("idle_%s_bytes", role);
  bench_check_bound (name, (double)traffic->bytes / seconds, "bytes/s", BOUND_BYTES);
  g_free (name);
  name = g_strdup_printf ("idle_%s_messages", role);
  bench_print_figure (name, (double)traffic->messages / seconds, "messages/s");
  g_free (name);
}

/* Prints the peak resident memory of this process. It includes the simulated processes
   that the measured one talks to, and no socket buffers. */
static void
report_memory (const char *role)
{
  char *text, *line, *name;

  if (bench_is_counting () ||
      !g_file_get_contents ("/proc/self/status", &text, NULL, NULL))
    return;
  line = strstr (text, "VmHWM:");
  bench_require (line != NULL, "VmHWM");
  name = g_strdup_printf ("idle_%s_memory", role);
  bench_check_bound (name,
                     line == NULL ? 0 : strtod (line + strlen ("VmHWM:"), NULL) / 1024,
                     "MB", BOUND_MEMORY_MB);
  g_free (name);
  g_free (text);
}

static void
run_agent (void)
{
  traffic_t traffic = { 0 };
  Cb__Settings *settings = make_settings ("entry-00", 1, 0);
  cb_member_params_t member = { settings, 1 };
  cb_peers_t *entry = cb_peers_new (&member, ignore_member_event, NULL);
  agent_t agent;

  agent_open (&agent, "zone-a-rack-12-instance-3");
  for (cb_msec_t now_ms = 0; now_ms < WARM_UP_MS + MEASURED_MS; now_ms += TICK_MS)
    {
      GPtrArray *sent = g_ptr_array_new_with_free_func (cb_msg_free);
      cb_out_t *out;

      traffic.measuring = now_ms >= WARM_UP_MS;
      resume_counting (&traffic);
      agent_tick (&agent, now_ms, &traffic, sent);
      pause_counting (&traffic);
      for (guint i = 0; i < sent->len; i++)
        cb_peers_receive (entry, sent->pdata[i], now_ms);
      cb_peers_tick (entry, now_ms);
      while ((out = cb_outq_pop (cb_peers_outputs (entry))) != NULL)
        {
          resume_counting (&traffic);
          if (out->kind == CB_OUT_SEND)
            {
              Cb__Envelope *received = count_and_copy (&traffic, out->envelope);

              cb_home_receive (agent.home, received, now_ms);
              cb_msg_free (received);
            }
          pause_counting (&traffic);
          cb_out_free (out);
        }
      g_ptr_array_free (sent, TRUE);
    }
  report_traffic ("agent", &traffic);
  report_memory ("agent");
  agent_close (&agent);
  cb_peers_free (entry);
  cb_msg_free (settings);
}

/* The measured entry with its agents and its scheduler, and the other entries. */
typedef struct
{
  traffic_t traffic;
  agent_t agents[AGENTS_PER_ENTRY];
  Cb__Settings *settings[PEER_ENTRIES + 1];
  cb_peers_t *entries[PEER_ENTRIES + 1]; /* [0] is the measured one */
  bench_cell_t cell;
  cb_ledger_t *ledger;
  cb_route_t *route;
} site_t;

static void
add_endpoints (site_t *site)
{
  for (uint32_t i = 0; i < 11; i++)
    {
      char *name = g_strdup_printf ("endpoint-%u", i);
      Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
      char *kinds[] = { "quote-preview" };

      info.name = name;
      info.kinds = kinds;
      info.n_kinds = 1;
      info.slots = 8;
      info.connections = 60;
      info.alive = 1;
      cb_route_update_endpoint (site->route, name, 1, TRUE, FALSE, &info, 0);
      g_free (name);
    }
}

static void
site_open (site_t *site)
{
  bench_size_t size = { 975, 1125, 22500, 0, FALSE };
  cb_route_params_t route = { "entry-00", 1 };

  for (uint32_t i = 0; i <= PEER_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("entry-%02u", i);
      cb_member_params_t member;

      site->settings[i] = make_settings (name, PEER_ENTRIES + 1, i % CELLS);
      member.settings = site->settings[i];
      member.incarnation = INCARNATION;
      site->entries[i] = cb_peers_new (&member, ignore_member_event, NULL);
      cb_peers_set_state (site->entries[i], 1, 1, EPOCH, "entry-00", FALSE);
      g_free (name);
    }
  cb_peers_set_scheduling (site->entries[0], EPOCH);
  for (uint32_t i = 0; i < AGENTS_PER_ENTRY; i++)
    {
      char *name = g_strdup_printf ("zone-a-rack-%02u-instance-%u", i / 3, i % 3);

      agent_open (&site->agents[i], name);
      g_free (name);
    }
  bench_cell_open (&site->cell, &size);
  site->ledger = cb_ledger_new ();
  site->route = cb_route_new (&route, site->ledger);
  cb_route_set_fleet (site->route, site->cell.fleet, 0);
  add_endpoints (site);
}

static void
site_close (site_t *site)
{
  for (uint32_t i = 0; i <= PEER_ENTRIES; i++)
    {
      cb_peers_free (site->entries[i]);
      cb_msg_free (site->settings[i]);
    }
  for (uint32_t i = 0; i < AGENTS_PER_ENTRY; i++)
    agent_close (&site->agents[i]);
  cb_route_free (site->route);
  cb_ledger_free (site->ledger);
  bench_cell_close (&site->cell);
}

/* Runs one tick of entry PEER. Of its agents only the heartbeats are simulated. */
static void
tick_peer_entry (site_t *site, uint32_t peer, cb_msec_t now_ms)
{
  cb_out_t *out;

  for (uint32_t i = 0; now_ms % 1000 == 0 && i < AGENTS_PER_ENTRY; i++)
    {
      char *name =
          g_strdup_printf ("zone-%u-rack-%02u-instance-%u", peer, i / 3, i % 3);
      Cb__Envelope *heartbeat = bench_envelope_new (name, CB__ENVELOPE__BODY_HEARTBEAT);

      heartbeat->incarnation = INCARNATION;
      heartbeat->heartbeat->has_worker = 1;
      cb_peers_receive (site->entries[peer], heartbeat, now_ms);
      cb_msg_free (heartbeat);
      g_free (name);
    }
  cb_peers_tick (site->entries[peer], now_ms);
  while ((out = cb_outq_pop (cb_peers_outputs (site->entries[peer]))) != NULL)
    {
      if (out->kind == CB_OUT_SEND && strcmp (out->envelope->to, "entry-00") == 0)
        {
          Cb__Envelope *received;

          resume_counting (&site->traffic);
          received = count_and_copy (&site->traffic, out->envelope);
          cb_peers_receive (site->entries[0], received, now_ms);
          cb_msg_free (received);
          pause_counting (&site->traffic);
        }
      cb_out_free (out);
    }
}

/* Runs one tick of the measured entry's agents. */
static void
tick_agents (site_t *site, cb_msec_t now_ms)
{
  traffic_t uncounted = { 0 };
  GPtrArray *sent = g_ptr_array_new_with_free_func (cb_msg_free);

  for (uint32_t i = 0; i < AGENTS_PER_ENTRY; i++)
    agent_tick (&site->agents[i], now_ms, &uncounted, sent);
  for (guint i = 0; i < sent->len; i++)
    {
      Cb__Envelope *received;

      resume_counting (&site->traffic);
      received = count_and_copy (&site->traffic, sent->pdata[i]);
      cb_peers_receive (site->entries[0], received, now_ms);
      cb_msg_free (received);
      pause_counting (&site->traffic);
    }
  g_ptr_array_free (sent, TRUE);
}

/* Passes ENVELOPE to the entry or the agent that it is addressed to. */
static void
deliver (site_t *site, const Cb__Envelope *envelope, cb_msec_t now_ms)
{
  for (uint32_t i = 1; i <= PEER_ENTRIES; i++)
    if (strcmp (site->settings[i]->name, envelope->to) == 0)
      {
        cb_peers_receive (site->entries[i], envelope, now_ms);
        return;
      }
  for (uint32_t i = 0; i < AGENTS_PER_ENTRY; i++)
    if (strcmp (site->agents[i].settings->name, envelope->to) == 0)
      {
        cb_home_receive (site->agents[i].home, envelope, now_ms);
        return;
      }
}

/* Runs one tick of the measured entry. */
static void
entry_tick (site_t *site, cb_msec_t now_ms)
{
  GPtrArray *sent = g_ptr_array_new_with_free_func (cb_msg_free);
  cb_outq_t *queues[] = { cb_peers_outputs (site->entries[0]),
                          cb_sched_outputs (site->cell.sched),
                          cb_route_outputs (site->route) };
  cb_out_t *out;

  resume_counting (&site->traffic);
  cb_peers_tick (site->entries[0], now_ms);
  cb_sched_tick (site->cell.sched, site->cell.now_ms += TICK_MS);
  cb_route_tick (site->route, now_ms);
  for (size_t i = 0; i < G_N_ELEMENTS (queues); i++)
    while ((out = cb_outq_pop (queues[i])) != NULL)
      {
        if (out->kind == CB_OUT_SEND)
          g_ptr_array_add (sent, count_and_copy (&site->traffic, out->envelope));
        cb_out_free (out);
      }
  pause_counting (&site->traffic);
  for (guint i = 0; i < sent->len; i++)
    deliver (site, sent->pdata[i], now_ms);
  g_ptr_array_free (sent, TRUE);
}

static void
run_entry (void)
{
  static site_t site;

  site_open (&site);
  for (cb_msec_t now_ms = 0; now_ms < WARM_UP_MS + MEASURED_MS; now_ms += TICK_MS)
    {
      site.traffic.measuring = now_ms >= WARM_UP_MS;
      tick_agents (&site, now_ms);
      for (uint32_t i = 1; i <= PEER_ENTRIES; i++)
        tick_peer_entry (&site, i, now_ms);
      entry_tick (&site, now_ms);
    }
  for (uint32_t i = 0; i < AGENTS_PER_ENTRY; i++)
    bench_require (
        cb_peers_home_entry (site.entries[0], site.agents[i].settings->name) != NULL,
        "each agent at its home entry");
  report_traffic ("entry", &site.traffic);
  report_memory ("entry");
  site_close (&site);
}

/* Measures the ticks of a scheduler whose queue has only jobs that cannot be placed. */
static void
run_blocked_queue (const char *name, gboolean lack_cores)
{
  bench_size_t size = { 975, 1125, 22500, 2500, lack_cores };
  bench_cell_t cell;

  bench_cell_open (&cell, &size);
  bench_resume ();
  for (int i = 0; i < 1000 / TICK_MS; i++)
    cb_sched_tick (cell.sched, cell.now_ms += TICK_MS);
  bench_pause ();
  bench_check_bound (name, bench_instructions (), "instructions/s", BOUND_INSTRUCTIONS);
  bench_cell_close (&cell);
}

int
main (int argc, char **argv)
{
  bench_init (argc, argv);
  run_agent ();
  run_entry ();
  if (bench_is_counting ())
    {
      run_blocked_queue ("blocked_queue_instructions", FALSE);
      run_blocked_queue ("blocked_by_cores_instructions", TRUE);
    }
  return 0;
}
