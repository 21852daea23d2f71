/* Traffic between agents that keeps gangs alive, in virtual time: the heartbeats of
   members and the decisions of leaders. Counts what an entry forwards and what an agent
   sends and receives, both when entries forward the messages and when agents send them
   directly. */
#include "bench/slopes.h"

#include "gang/fns.h"

#define ENTRIES 6
#define AGENTS 60
#define MEMBERS 4
/* At the target size. */
#define AGENTS_PER_ENTRY 130
/* Added to each message, as in bench/idle.c: TCP/IP, Ethernet and ZeroMQ framing. */
#define FRAMING_BYTES 78
/* Time in which the agents learn each other's addresses, by messages that the entries
   forward. */
#define WARM_UP_S 10

typedef struct
{
  cb_gang_t *gangs[AGENTS];
  /* pairs[A][B]: agent A has sent gang heartbeats to agent B. */
  gboolean pairs[AGENTS][AGENTS];
  cb_msec_t now_ms;
  slope_counts_t at_entries; /* in and out, for all entries */
  slope_counts_t at_agents;  /* in and out, for all agents */
  uint64_t tasks;
} fleet_t;

static void
set_agent_name (char **name, uint32_t agent)
{
  char *text = g_strdup_printf ("zone-a-rack-12-instance-%02u", agent);

  cb_msg_set_string (name, text);
  g_free (text);
}

static uint32_t
agent_number (const char *name)
{
  return (uint32_t)strtoul (strrchr (name, '-') + 1, NULL, 10);
}

/* Adds TIMES messages of SIZE bytes, before framing, to SENT. */
static void
count_messages (slope_counts_t *sent, size_t size, uint32_t times)
{
  sent->messages += times;
  sent->bytes += times * (size + FRAMING_BYTES);
}

/* Passes ENVELOPE to agent TO, addressed as cmd/agent_wire.c and cmd/agent_direct.c do,
   and counts it. Forwarded envelopes count twice at each entry, in and out: at one
   entry when both agents are connected to it, else at two. */
static void
transfer (fleet_t *fleet, uint32_t from, uint32_t to, Cb__Envelope *envelope,
          gboolean direct)
{
  size_t size;

  set_agent_name (&envelope->from, from);
  if (direct)
    cb_msg_set_string (&envelope->to, NULL);
  else
    envelope->incarnation = 1700000000000;
  size = cb__envelope__get_packed_size (envelope);
  count_messages (&fleet->at_agents, size, 2);
  if (!direct)
    count_messages (&fleet->at_entries, size, from % ENTRIES == to % ENTRIES ? 2 : 4);
  if (envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS)
    fleet->pairs[from][to] = TRUE;
  if (direct)
    cb_gang_receive_direct (fleet->gangs[to], envelope, fleet->now_ms);
  else
    cb_gang_receive (fleet->gangs[to], envelope, fleet->now_ms);
}

/* Handles one output of AGENT; each start of a task succeeds. FALSE: there was none. */
static gboolean
handle_output (fleet_t *fleet, uint32_t agent)
{
  cb_out_t *out = cb_outq_pop (cb_gang_outputs (fleet->gangs[agent]));
  const Cb__Task *task;

  if (out == NULL)
    return FALSE;
  task = (const Cb__Task *)out->message;
  if (out->kind == CB_OUT_CALL)
    cb_gang_handle_task_status (fleet->gangs[agent], task->account, task->job_key,
                                task->attempt, task->member,
                                CB__TASK_STATE__TASK_RUNNING, FALSE, fleet->now_ms);
  else if (out->kind == CB_OUT_SEND && strcmp (out->envelope->to, "entry-1") != 0)
    transfer (fleet, agent, agent_number (out->envelope->to), out->envelope,
              out->name != NULL);
  cb_out_free (out);
  return TRUE;
}

/* Handles outputs until no agent has any. */
static void
handle_outputs (fleet_t *fleet)
{
  gboolean more = TRUE;

  while (more)
    {
      more = FALSE;
      for (uint32_t i = 0; i < AGENTS; i++)
        while (handle_output (fleet, i))
          more = TRUE;
    }
}

/* Passes ENVELOPE to AGENT, and frees it. */
static void
deliver (fleet_t *fleet, uint32_t agent, Cb__Envelope *envelope)
{
  cb_gang_receive (fleet->gangs[agent], envelope, fleet->now_ms);
  cb_msg_free (envelope);
}

/* Returns the agent of MEMBER of gang JOB. Each round of AGENTS gangs combines other
   agents. */
static uint32_t
agent_of_member (uint32_t job, uint32_t member)
{
  return (job + member * (1 + job / AGENTS)) % AGENTS;
}

static Cb__Placement *
new_placement (uint32_t job, uint32_t member)
{
  Cb__Placement *placement = cb_msg_new (&cb__placement__descriptor);

  set_agent_name (&placement->instance, agent_of_member (job, member));
  placement->member = member;
  return placement;
}

static void
start_gang (fleet_t *fleet, uint32_t job)
{
  for (uint32_t member = 0; member < MEMBERS; member++)
    {
      Cb__Envelope *envelope = new_envelope ("entry-1", CB__ENVELOPE__BODY_RESERVE);
      Cb__Reserve *reserve = envelope->reserve;
      Cb__Start *start;

      reserve->ttl_ms = CB_GANG_HEARTBEAT_MS;
      reserve->attempt = 1;
      cb_msg_append ((void ***)&reserve->placements, &reserve->n_placements,
                     new_placement (job, member));
      envelope->reserve = reserve;
      start = cb_msg_new (&cb__start__descriptor);
      start->job = new_job ("account-1", job, MEMBERS, 0);
      start->attempt = 1;
      cb_msg_set_string (&start->job_key, start->job->key);
      cb_msg_set_string (&start->account, "account-1");
      cb_msg_set_string (&reserve->job_key, start->job->key);
      cb_msg_set_string (&reserve->account, "account-1");
      for (uint32_t i = 0; i < MEMBERS; i++)
        cb_msg_append ((void ***)&start->members, &start->n_members,
                       new_placement (job, i));
      deliver (fleet, agent_of_member (job, member), envelope);
      envelope = new_envelope ("entry-1", CB__ENVELOPE__BODY_START);
      cb_msg_free (envelope->start);
      envelope->start = start;
      deliver (fleet, agent_of_member (job, member), envelope);
    }
  handle_outputs (fleet);
}

static void
run_seconds (fleet_t *fleet, uint32_t seconds)
{
  for (uint32_t step = 0; step < seconds * 1000 / SLOPES_TICK_MS; step++)
    {
      fleet->now_ms += SLOPES_TICK_MS;
      for (uint32_t i = 0; i < AGENTS; i++)
        cb_gang_tick (fleet->gangs[i], fleet->now_ms);
      handle_outputs (fleet);
    }
}

static void
run_measured (void *ctx)
{
  run_seconds (ctx, SLOPES_MEASURED_S);
}

/* Prints tasks and leaders per agent, and messages and bytes per second of one entry
   and of one agent. "leaders" is the number of agents that an agent sends heartbeats
   to. */
static void
print_rates (const fleet_t *fleet)
{
  double per_entry = AGENTS_PER_ENTRY / (double)AGENTS / SLOPES_MEASURED_S;
  double per_agent = 1.0 / AGENTS / SLOPES_MEASURED_S;
  uint32_t pairs = 0;

  for (uint32_t i = 0; i < AGENTS * AGENTS; i++)
    pairs += fleet->pairs[i / AGENTS][i % AGENTS] ? 1 : 0;
  printf ("tasks=%.1f leaders=%.1f entry_messages=%.1f entry_bytes=%.0f "
          "agent_messages=%.1f agent_bytes=%.0f\n",
          (double)fleet->tasks / AGENTS, (double)pairs / AGENTS,
          (double)fleet->at_entries.messages * per_entry,
          (double)fleet->at_entries.bytes * per_entry,
          (double)fleet->at_agents.messages * per_agent,
          (double)fleet->at_agents.bytes * per_agent);
}

/* Measures with ROUNDS gangs led by each agent, which also has a member of 3 * ROUNDS
   other gangs. Prints figures per second of one entry with AGENTS_PER_ENTRY agents, and
   of one agent. */
static void
measure_heartbeats (uint32_t rounds, gboolean direct)
{
  static fleet_t fleet;
  cb_gang_params_t params = { NULL, "cell", 8, 512, 1024 };

  fleet.now_ms = 10000;
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      char *name = NULL;
      char *address = g_strdup_printf ("10.0.%u.%u:9001", i / 3, i);

      cb_msg_set_string (&name, "");
      set_agent_name (&name, i);
      params.instance = name;
      fleet.gangs[i] = cb_gang_new (&params);
      if (direct)
        cb_gang_set_address (fleet.gangs[i], address);
      deliver (&fleet, i, new_envelope ("entry-1", CB__ENVELOPE__BODY_SYNC));
      cb_msg_set_string (&name, NULL);
      g_free (address);
    }
  for (uint32_t job = 0; job < rounds * AGENTS; job++)
    start_gang (&fleet, job);
  run_seconds (&fleet, WARM_UP_S);
  fleet.at_entries = (slope_counts_t){ 0 };
  fleet.at_agents = (slope_counts_t){ 0 };
  cb_slopes_measured (run_measured, &fleet);
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      fleet.tasks += cb_gang_task_count (fleet.gangs[i]);
      cb_gang_free (fleet.gangs[i]);
    }
  print_rates (&fleet);
}

static void
part_entries (uint32_t rounds)
{
  measure_heartbeats (rounds, FALSE);
}

static void
part_direct (uint32_t rounds)
{
  measure_heartbeats (rounds, TRUE);
}

int
main (int argc, char **argv)
{
  static const slope_part_t parts[] = {
    { "beats_entries", part_entries },
    { "beats_direct", part_direct },
  };

  return run_part (argc, argv, parts, G_N_ELEMENTS (parts));
}
