/* Cost of the gang tasks of an agent, of the heartbeats between entries, and of log
   records and snapshots, each at one size in virtual time. Run by bench/slopes.sh. */
#include "bench/slopes.h"

#include "gang/fns.h"
#include "ledger/fns.h"
#include "member/fns.h"

#define GANG_MEMBERS 4
/* At the target size. */
#define AGENTS_PER_ENTRY 130
#define CELLS 4
#define INCARNATION 1700000000000ULL

static Cb__Placement *
new_placement (const char *instance, uint32_t member)
{
  Cb__Placement *placement = cb_msg_new (&cb__placement__descriptor);

  cb_msg_set_string (&placement->instance, instance);
  placement->member = member;
  return placement;
}

/* ---- tasks of one agent ---- */

typedef struct
{
  cb_gang_t *gang;
  uint32_t count;
  cb_msec_t now_ms;
  slope_counts_t sent;
} agent_tasks_t;

/* TRUE when the agent's task is member 0 of gang JOB: the agent then leads the gang. Of
   the other gangs it runs member 1. */
static gboolean
leads (uint32_t job)
{
  return job % GANG_MEMBERS == 0;
}

static void
set_job (char **key, char **account, uint32_t *attempt, uint32_t job)
{
  char *text = g_strdup_printf ("job-2026-12-%06u", job);

  cb_msg_set_string (key, text);
  cb_msg_set_string (account, "account-1");
  *attempt = 1;
  g_free (text);
}

/* Counts the outputs; each start of a task succeeds. */
static void
handle_outputs (agent_tasks_t *t)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (cb_gang_outputs (t->gang))) != NULL)
    {
      const Cb__Task *task = (const Cb__Task *)out->message;

      if (out->kind == CB_OUT_SEND)
        {
          t->sent.bytes += cb__envelope__get_packed_size (out->envelope);
          t->sent.messages++;
        }
      else if (out->kind == CB_OUT_CALL)
        {
          t->sent.calls++;
          cb_gang_handle_task_status (t->gang, task->account, task->job_key,
                                      task->attempt, task->member,
                                      CB__TASK_STATE__TASK_RUNNING, FALSE, t->now_ms);
        }
      cb_out_free (out);
    }
}

/* Passes ENVELOPE to the agent, and frees it. */
static void
deliver (agent_tasks_t *t, Cb__Envelope *envelope)
{
  cb_gang_receive (t->gang, envelope, t->now_ms);
  cb_msg_free (envelope);
  handle_outputs (t);
}

static void
reserve_task (agent_tasks_t *t, uint32_t job)
{
  Cb__Envelope *envelope = new_envelope ("entry-1", CB__ENVELOPE__BODY_RESERVE);
  Cb__Reserve *reserve = envelope->reserve;

  set_job (&reserve->job_key, &reserve->account, &reserve->attempt, job);
  reserve->ttl_ms = CB_GANG_HEARTBEAT_MS;
  cb_msg_append ((void ***)&reserve->placements, &reserve->n_placements,
                 new_placement ("worker-0", leads (job) ? 0 : 1));
  deliver (t, envelope);
}

static void
start_task (agent_tasks_t *t, uint32_t job)
{
  Cb__Envelope *envelope = new_envelope ("entry-1", CB__ENVELOPE__BODY_START);
  Cb__Start *start = envelope->start;

  set_job (&start->job_key, &start->account, &start->attempt, job);
  start->job = new_job ("account-1", job, GANG_MEMBERS, 0);
  for (uint32_t i = 0; i < GANG_MEMBERS; i++)
    {
      char *name = g_strdup_printf ("worker-%u", (i + (leads (job) ? 0 : 3)) % 4);

      cb_msg_append ((void ***)&start->members, &start->n_members,
                     new_placement (name, i));
      g_free (name);
    }
  deliver (t, envelope);
}

static void
add_decision (Cb__GangVerdicts *to, uint32_t job)
{
  Cb__GangVerdict *decision = cb_msg_new (&cb__gang_verdict__descriptor);

  set_job (&decision->job_key, &decision->account, &decision->attempt, job);
  decision->whole = TRUE;
  cb_msg_append ((void ***)&to->verdicts, &to->n_verdicts, decision);
}

static void
add_heartbeat (Cb__GangBeats *to, uint32_t job, uint32_t member)
{
  Cb__GangBeat *heartbeat = cb_msg_new (&cb__gang_beat__descriptor);

  set_job (&heartbeat->job_key, &heartbeat->account, &heartbeat->attempt, job);
  heartbeat->members = g_memdup2 (&member, sizeof member);
  heartbeat->n_members = 1;
  heartbeat->state = CB__TASK_STATE__TASK_RUNNING;
  cb_msg_append ((void ***)&to->beats, &to->n_beats, heartbeat);
}

/* Delivers what the other agents of the gangs send each second: the decisions of the
   gangs' leaders, and the heartbeats of the members of gangs that this agent leads. */
static void
receive_from_agents (agent_tasks_t *t)
{
  Cb__Envelope *envelope = new_envelope ("worker-3", CB__ENVELOPE__BODY_GANG_VERDICTS);

  for (uint32_t job = 0; job < t->count; job++)
    if (!leads (job))
      add_decision (envelope->gang_verdicts, job);
  deliver (t, envelope);
  for (uint32_t i = 1; i < GANG_MEMBERS; i++)
    {
      char *name = g_strdup_printf ("worker-%u", i);

      envelope = new_envelope (name, CB__ENVELOPE__BODY_GANG_BEATS);
      for (uint32_t job = 0; job < t->count; job++)
        if (leads (job))
          add_heartbeat (envelope->gang_beats, job, i);
      deliver (t, envelope);
      g_free (name);
    }
}

static void
run_tasks (void *ctx)
{
  agent_tasks_t *t = ctx;

  for (uint32_t step = 0; step < SLOPES_MEASURED_S * 1000 / SLOPES_TICK_MS; step++)
    {
      t->now_ms += SLOPES_TICK_MS;
      if (t->now_ms % 1000 == 0)
        receive_from_agents (t);
      cb_gang_tick (t->gang, t->now_ms);
      handle_outputs (t);
    }
}

/* An agent with COUNT running tasks, each of another gang. */
static void
part_tasks (uint32_t count)
{
  cb_gang_params_t params = { "worker-0", "cell", 8, 2 * count, 4 * count };
  agent_tasks_t t = { .gang = cb_gang_new (&params), .count = count, .now_ms = 10000 };
  size_t before = allocated_bytes ();

  deliver (&t, new_envelope ("entry-1", CB__ENVELOPE__BODY_SYNC));
  for (uint32_t job = 0; job < count; job++)
    {
      reserve_task (&t, job);
      start_task (&t, job);
    }
  run_tasks (&t);
  t.sent = (slope_counts_t){ 0 };
  cb_slopes_measured (run_tasks, &t);
  printf ("seconds=%d tasks=%u bytes=%" G_GUINT64_FORMAT " messages=%" G_GUINT64_FORMAT
          " calls=%" G_GUINT64_FORMAT " memory=%zu\n",
          SLOPES_MEASURED_S, cb_gang_task_count (t.gang), t.sent.bytes, t.sent.messages,
          t.sent.calls, allocated_bytes () - before);
  cb_gang_free (t.gang);
}

/* ---- heartbeats between entries ---- */

typedef struct
{
  Cb__Settings *settings;
  cb_peers_t *peers;
  uint64_t bytes_in;
  uint64_t messages_in;
} mesh_entry_t;

typedef struct
{
  mesh_entry_t *entries;
  uint32_t count;
  uint32_t agents; /* of each entry */
  cb_msec_t now_ms;
  uint64_t acks;
  uint64_t ack_bytes;
} mesh_t;

static void
ignore_event (void *ctx, cb_member_event_t event, const char *name,
              const Cb__AgentHome *agent)
{
  (void)ctx;
  (void)event;
  (void)name;
  (void)agent;
}

static void
open_mesh_entry (mesh_t *mesh, uint32_t index)
{
  mesh_entry_t *entry = &mesh->entries[index];
  Cb__Settings *settings = cb_msg_new (&cb__settings__descriptor);
  cb_member_params_t params = { settings, INCARNATION };
  char *name = g_strdup_printf ("entry-%u", index);

  cb_msg_set_string (&settings->name, name);
  g_free (name);
  name = g_strdup_printf ("cell-%u", index % CELLS);
  cb_msg_set_string (&settings->cell, name);
  g_free (name);
  for (uint32_t i = 0; i < mesh->count; i++)
    {
      Cb__Peer *peer = cb_msg_new (&cb__peer__descriptor);

      name = g_strdup_printf ("entry-%u", i);
      cb_msg_set_string (&peer->name, name);
      cb_msg_append ((void ***)&settings->entries, &settings->n_entries, peer);
      g_free (name);
    }
  entry->settings = settings;
  entry->peers = cb_peers_new (&params, ignore_event, NULL);
  cb_peers_set_state (entry->peers, 100000, 200000, SLOPES_EPOCH, "entry-0", FALSE);
  /* The first entry of each cell is its scheduler. */
  if (index < CELLS)
    cb_peers_set_scheduling (entry->peers, SLOPES_EPOCH);
}

/* Passes a heartbeat to the entry that it is addressed to. Other messages are
   acknowledgements to agents, which are only counted. */
static void
deliver_peer_heartbeat (mesh_t *mesh, const Cb__Envelope *envelope)
{
  mesh_entry_t *to;

  if (envelope->body_case != CB__ENVELOPE__BODY_PEER_BEAT)
    {
      mesh->acks++;
      mesh->ack_bytes += cb__envelope__get_packed_size (envelope);
      return;
    }
  to = &mesh->entries[strtoul (envelope->to + strlen ("entry-"), NULL, 10)];
  to->bytes_in += cb__envelope__get_packed_size (envelope);
  to->messages_in++;
  cb_peers_receive (to->peers, envelope, mesh->now_ms);
}

/* Delivers a heartbeat of agent number AGENT to its ENTRY. */
static void
receive_agent_heartbeat (mesh_t *mesh, uint32_t entry, uint32_t agent)
{
  char *name = g_strdup_printf ("worker-%u", entry * mesh->agents + agent);
  Cb__Envelope *envelope = new_envelope (name, CB__ENVELOPE__BODY_HEARTBEAT);

  envelope->incarnation = INCARNATION;
  envelope->sent_ms = (uint64_t)mesh->now_ms;
  envelope->heartbeat->has_worker = TRUE;
  envelope->heartbeat->config_version = 100000;
  envelope->heartbeat->running_tasks = 23;
  cb_peers_receive (mesh->entries[entry].peers, envelope, mesh->now_ms);
  cb_msg_free (envelope);
  g_free (name);
}

static void
tick_entry (mesh_t *mesh, uint32_t index)
{
  cb_peers_t *peers = mesh->entries[index].peers;
  cb_out_t *out;

  /* The heartbeats of the agents are spread over each second. */
  for (uint32_t agent = 0; agent < mesh->agents; agent++)
    if ((mesh->now_ms / SLOPES_TICK_MS + agent) % (1000 / SLOPES_TICK_MS) == 0)
      receive_agent_heartbeat (mesh, index, agent);
  cb_peers_tick (peers, mesh->now_ms);
  while ((out = cb_outq_pop (cb_peers_outputs (peers))) != NULL)
    {
      if (out->kind == CB_OUT_SEND)
        deliver_peer_heartbeat (mesh, out->envelope);
      cb_out_free (out);
    }
}

static void
run_mesh (void *ctx)
{
  mesh_t *mesh = ctx;

  for (uint32_t step = 0; step < SLOPES_MEASURED_S * 1000 / SLOPES_TICK_MS; step++)
    {
      mesh->now_ms += SLOPES_TICK_MS;
      for (uint32_t i = 0; i < mesh->count; i++)
        tick_entry (mesh, i);
    }
}

static void
print_mesh (const mesh_t *mesh, size_t memory)
{
  uint64_t bytes = 0;
  uint64_t messages = 0;
  uint32_t count = MAX (mesh->count, 1);

  for (uint32_t i = 0; i < count; i++)
    {
      bytes += mesh->entries[i].bytes_in;
      messages += mesh->entries[i].messages_in;
    }
  printf ("seconds=%d entries=%u agents=%u beats_per_entry=%" G_GUINT64_FORMAT
          " beat_bytes_per_entry=%" G_GUINT64_FORMAT
          " acks_per_entry=%" G_GUINT64_FORMAT " ack_bytes_per_entry=%" G_GUINT64_FORMAT
          " memory_per_entry=%zu\n",
          SLOPES_MEASURED_S, mesh->count, mesh->agents, messages / count, bytes / count,
          mesh->acks / count, mesh->ack_bytes / count, memory / count);
}

/* Measures ENTRIES entries with AGENTS agents each. COLD: from their start on, else
   after a warm-up. */
static void
measure_mesh (uint32_t entries, uint32_t agents, gboolean cold)
{
  mesh_t mesh = { .count = entries, .agents = agents, .now_ms = 10000 };
  size_t before = allocated_bytes ();

  mesh.entries = g_new0 (mesh_entry_t, entries);
  for (uint32_t i = 0; i < entries; i++)
    open_mesh_entry (&mesh, i);
  if (!cold)
    run_mesh (&mesh);
  mesh.acks = mesh.ack_bytes = 0;
  for (uint32_t i = 0; i < entries; i++)
    mesh.entries[i].bytes_in = mesh.entries[i].messages_in = 0;
  cb_slopes_measured (run_mesh, &mesh);
  print_mesh (&mesh, allocated_bytes () - before);
  for (uint32_t i = 0; i < entries; i++)
    {
      cb_peers_free (mesh.entries[i].peers);
      cb_msg_free (mesh.entries[i].settings);
    }
  g_free (mesh.entries);
}

/* Entries that each have as many agents as at the target size. */
static void
part_mesh (uint32_t entries)
{
  measure_mesh (entries, AGENTS_PER_ENTRY, FALSE);
}

/* The same, while all processes start at once. */
static void
part_start (uint32_t entries)
{
  measure_mesh (entries, AGENTS_PER_ENTRY, TRUE);
}

/* Four entries, each with AGENTS agents. */
static void
part_agents (uint32_t agents)
{
  measure_mesh (4, agents, FALSE);
}

/* ---- log records ---- */

typedef struct
{
  cb_ledger_t *ledger;
  GPtrArray *batches; /* of GBytes */
  GBytes *snapshot;
  uint64_t bytes;
  int rejected;
} records_t;

static void
add_record (records_t *r, Cb__Record *record)
{
  Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
  GBytes *packed;

  cb_msg_set_string (&record->producer, "entry-1/1700000000000");
  record->sequence = r->batches->len + 1;
  record->time_ms = 1700000000000ULL + r->batches->len * 1000ULL;
  batch.records = &record;
  batch.n_records = 1;
  packed = cb_msg_pack (&batch.base);
  r->bytes += g_bytes_get_size (packed);
  g_ptr_array_add (r->batches, packed);
  cb_msg_free (record);
}

/* Adds the records of one job (submitted, started, ended); before those of the first
   job, the claim of the cell. */
static void
add_job_records (records_t *r, uint32_t job_number)
{
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  Cb__Job *job = new_job ("account-1", job_number, 8, 1);

  if (job_number == 0)
    {
      record->body_case = CB__RECORD__BODY_CELL_CLAIM;
      record->cell_claim = cb_msg_new (&cb__cell_claim__descriptor);
      cb_msg_set_string (&record->cell_claim->cell, "cell");
      cb_msg_set_string (&record->cell_claim->entry, "entry-1");
      add_record (r, record);
      record = cb_msg_new (&cb__record__descriptor);
    }
  record->body_case = CB__RECORD__BODY_JOB_SUBMIT;
  record->job_submit = (Cb__Job *)cb_msg_copy (&job->base);
  add_record (r, record);
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_JOB_START;
  record->job_start = cb_msg_new (&cb__job_start__descriptor);
  cb_msg_set_string (&record->job_start->cell, "cell");
  cb_msg_set_string (&record->job_start->key, job->key);
  cb_msg_set_string (&record->job_start->account, job->account);
  record->job_start->attempt = 1;
  record->job_start->epoch = 1;
  add_record (r, record);
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_JOB_END;
  record->job_end = cb_msg_new (&cb__job_end__descriptor);
  cb_msg_set_string (&record->job_end->cell, "cell");
  cb_msg_set_string (&record->job_end->key, job->key);
  cb_msg_set_string (&record->job_end->account, job->account);
  record->job_end->state = CB__JOB_STATE__JOB_DONE;
  record->job_end->epoch = 1;
  add_record (r, record);
  cb_msg_free (job);
}

static void
apply_all (void *ctx)
{
  records_t *r = ctx;

  for (guint i = 0; i < r->batches->len; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (r->batches->pdata[i], &size);

      if (cb_ledger_apply (r->ledger, i + 1, data, size) < 0)
        r->rejected++;
    }
}

static void
write_snapshot (void *ctx)
{
  records_t *r = ctx;

  r->snapshot = cb_ledger_snapshot (r->ledger);
}

static void
restore_snapshot (void *ctx)
{
  records_t *r = ctx;
  gsize size;
  const void *data = g_bytes_get_data (r->snapshot, &size);

  if (cb_ledger_restore (r->ledger, data, size) < 0)
    r->rejected++;
}

/* Builds a ledger from the records of JOBS jobs. STEP is the measured function. */
static void
measure_records (uint32_t jobs, slope_fn_t step)
{
  records_t r = { .ledger = cb_ledger_new () };
  size_t before;

  r.batches = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (uint32_t i = 0; i < jobs; i++)
    add_job_records (&r, i);
  before = allocated_bytes ();
  if (step == apply_all)
    cb_slopes_measured (apply_all, &r);
  else
    apply_all (&r);
  before = allocated_bytes () - before;
  if (step == write_snapshot)
    cb_slopes_measured (write_snapshot, &r);
  else
    write_snapshot (&r);
  if (step == restore_snapshot)
    {
      cb_ledger_free (r.ledger);
      r.ledger = cb_ledger_new ();
      cb_slopes_measured (restore_snapshot, &r);
    }
  printf ("jobs=%u records=%u record_bytes=%" G_GUINT64_FORMAT
          " snapshot=%zu memory=%zu refused=%d\n",
          jobs, r.batches->len, r.bytes, g_bytes_get_size (r.snapshot), before,
          r.rejected);
  g_bytes_unref (r.snapshot);
  g_ptr_array_unref (r.batches);
  cb_ledger_free (r.ledger);
}

static void
part_fold (uint32_t jobs)
{
  measure_records (jobs, apply_all);
}

static void
part_snapshot (uint32_t jobs)
{
  measure_records (jobs, write_snapshot);
}

static void
part_restore (uint32_t jobs)
{
  measure_records (jobs, restore_snapshot);
}

int
main (int argc, char **argv)
{
  static const slope_part_t parts[] = {
    { "tasks", part_tasks },     { "mesh", part_mesh }, { "agents", part_agents },
    { "start", part_start },     { "fold", part_fold }, { "snapshot", part_snapshot },
    { "restore", part_restore },
  };

  return run_part (argc, argv, parts, G_N_ELEMENTS (parts));
}
