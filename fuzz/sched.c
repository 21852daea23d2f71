/* Feeds the scheduler of a cell. Selectors: 0 an envelope from an agent, 1 a job of the
   log (a packed JobStateEntry), 2 cancellation, 3 end and 4 start of a job (2 to 4: a
   packed Job), 5 the result of the oldest append (failed unless the data is empty), 6 a
   change of the epoch, 7 an agent becomes available (wait is its
   incarnation), 8 unavailable, 9 drain on or off
   (7 to 9: the agent's name). */
#include "fuzz/lib/fuzz.h"

#include "codec/fns.h"
#include "sched/fns.h"

/* More jobs or members would only make an input slow. */
#define JOBS_MAX 64
#define MEMBERS_MAX 16

typedef struct
{
  cb_sched_t *sched;
  GArray *tags; /* of appends without a result, oldest first */
  /* Of jobs that are not repeatable: job -> number of the started attempt + 1. */
  GHashTable *started;
  uint64_t epoch;        /* 0: the process is not the scheduler */
  uint64_t newest_epoch; /* last epoch that was used */
  uint32_t jobs;
  cb_msec_t now_ms;
} cell_t;

static const char config_text[] =
    "{\"version\":1,\"inventory\":{"
    "\"availability_zones\":[{\"name\":\"z\",\"region\":\"r\",\"cell\":\"cell\"}],"
    "\"racks\":[{\"name\":\"k\",\"availability_zone\":\"z\",\"instances\":["
    "{\"name\":\"w0\",\"cores\":60,\"memory_gb\":130,\"accelerators\":8},"
    "{\"name\":\"w1\",\"cores\":60,\"memory_gb\":130,\"accelerators\":8}]}],"
    "\"client_accounts\":[\"a\",\"b\"]},\"rules\":{"
    "\"accounts\":[{\"name\":\"a\",\"quota_accelerators\":16},{\"name\":\"b\","
    "\"guarantees\":[{\"count\":1,\"accelerators\":4,\"adjacency\":\"instance\"}]}],"
    "\"kinds\":[{\"name\":\"edge\",\"job\":true,\"preemption\":\"checkpoint\"},"
    "{\"name\":\"once\",\"job\":true,\"not_repeatable\":true},"
    "{\"name\":\"rush\",\"job\":true,\"urgent\":true}],"
    "\"weights\":{\"fragmentation\":60,\"completion_time\":40}}}";

static void
cell_open (cell_t *c)
{
  cb_sched_params_t params = { "cell", "e0", NULL, 1 };
  ProtobufCMessage *config = NULL;
  cb_errors_t errors;
  cb_fleet_t *fleet;

  memset (c, 0, sizeof *c);
  c->now_ms = 1000;
  c->epoch = c->newest_epoch = 100;
  c->tags = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  c->started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cb_errors_init (&errors);
  FUZZ_CHECK (cb_json_read (&cb__config__descriptor, config_text, strlen (config_text),
                            &errors, &config) == CB_OK);
  cb_errors_clear (&errors);
  fleet = cb_fleet_new ((Cb__Config *)config);
  c->sched = cb_sched_new (&params);
  cb_sched_set_fleet (c->sched, fleet, c->now_ms);
  cb_sched_agent_up (c->sched, "w0", 1, c->now_ms);
  cb_sched_agent_up (c->sched, "w1", 1, c->now_ms);
  cb_sched_set_epoch (c->sched, c->epoch, c->now_ms);
  cb_fleet_unref (fleet);
  cb_msg_free (config);
}

/* A start has all members of its job. A job that is not repeatable is started in one
   attempt only. */
static void
check_start (cell_t *c, const Cb__Start *start)
{
  char *id;
  gpointer attempt;

  FUZZ_CHECK (start->job != NULL && start->n_members == start->job->members);
  if (strcmp (start->job->kind, "once") != 0)
    return;
  id = g_strconcat (start->account, "\n", start->job_key, NULL);
  attempt = g_hash_table_lookup (c->started, id);
  FUZZ_CHECK (attempt == NULL || GPOINTER_TO_UINT (attempt) == start->attempt + 1);
  g_hash_table_replace (c->started, id, GUINT_TO_POINTER (start->attempt + 1));
}

/* A sent envelope has the scheduler's epoch and is for an agent of the cell. */
static void
check_sent (cell_t *c, const Cb__Envelope *envelope)
{
  GBytes *packed = cb_msg_pack (&envelope->base);
  gsize size;
  const uint8_t *data = g_bytes_get_data (packed, &size);
  Cb__Envelope *copy = cb__envelope__unpack (NULL, size, data);

  FUZZ_CHECK (copy != NULL);
  FUZZ_CHECK (c->epoch > 0 && copy->epoch == c->epoch);
  FUZZ_CHECK (strcmp (copy->to, "w0") == 0 || strcmp (copy->to, "w1") == 0);
  if (copy->body_case == CB__ENVELOPE__BODY_START)
    check_start (c, copy->start);
  cb_msg_free (copy);
  g_bytes_unref (packed);
}

/* Handles the outputs, and checks the invariants. */
static void
check_invariants (cell_t *c)
{
  char *violation = NULL;
  cb_out_t *out;

  while ((out = cb_outq_pop (cb_sched_outputs (c->sched))) != NULL)
    {
      if (out->kind == CB_OUT_SEND)
        check_sent (c, out->envelope);
      if (out->kind == CB_OUT_APPEND)
        g_array_append_val (c->tags, out->tag);
      cb_out_free (out);
    }
  if (cb_sched_check (c->sched, &violation) != CB_OK)
    fprintf (stderr, "%s\n", violation);
  FUZZ_CHECK (violation == NULL);
}

static void
receive (cell_t *c, const fuzz_frame_t *frame)
{
  Cb__Envelope *envelope = cb__envelope__unpack (NULL, frame->size, frame->data);

  if (envelope == NULL)
    return;
  if (envelope->body_case == CB__ENVELOPE__BODY_EPOCH_REJECT &&
      envelope->epoch_reject->newest_epoch > c->epoch)
    c->epoch = 0;
  cb_sched_receive (c->sched, envelope, c->now_ms);
  cb_msg_free (envelope);
}

static void
add_job (cell_t *c, const fuzz_frame_t *frame)
{
  Cb__JobStateEntry *entry =
      cb__job_state_entry__unpack (NULL, frame->size, frame->data);

  if (entry == NULL)
    return;
  if (c->jobs < JOBS_MAX && entry->job != NULL && entry->job->members <= MEMBERS_MAX &&
      cb_sched_admit (c->sched, entry->job) == CB_OK &&
      cb_sched_job_add (c->sched, entry, c->now_ms) == CB_OK)
    {
      char *id = g_strconcat (entry->job->account, "\n", entry->job->key, NULL);

      c->jobs++;
      g_hash_table_remove (c->started, id);
      g_free (id);
    }
  cb_msg_free (entry);
}

static void
change_job (cell_t *c, const fuzz_frame_t *frame)
{
  Cb__Job *job = cb__job__unpack (NULL, frame->size, frame->data);

  if (job == NULL)
    return;
  if (frame->selector == 2)
    cb_sched_job_cancel (c->sched, job->account, job->key, c->now_ms);
  else if (frame->selector == 3)
    cb_sched_job_ended (c->sched, job->account, job->key, c->now_ms);
  else
    cb_sched_job_started (c->sched, job->account, job->key, job->members);
  cb_msg_free (job);
}

static void
end_append (cell_t *c, const fuzz_frame_t *frame)
{
  if (c->tags->len == 0)
    return;
  cb_sched_appended (c->sched, g_array_index (c->tags, uint64_t, 0),
                     frame->size > 0 ? CB_SCHED_INVALID : CB_OK, c->now_ms);
  g_array_remove_index (c->tags, 0);
}

/* Makes the process the scheduler with the next epoch. With data in FRAME it stops
   being the scheduler instead. The wait of FRAME is also the wall-clock time in
   ms at which its predecessor became unavailable. */
static void
change_epoch (cell_t *c, const fuzz_frame_t *frame)
{
  c->newest_epoch++;
  c->epoch = frame->size > 0 ? 0 : c->newest_epoch;
  cb_sched_set_predecessor_lost (c->sched, frame->wait);
  cb_sched_set_epoch (c->sched, c->epoch, c->now_ms);
}

static void
change_agent (cell_t *c, const fuzz_frame_t *frame)
{
  char *name = g_strndup ((const char *)frame->data, frame->size);

  if (frame->selector == 7)
    cb_sched_agent_up (c->sched, name, frame->wait, c->now_ms);
  else if (frame->selector == 8)
    cb_sched_agent_down (c->sched, name, c->now_ms);
  else
    cb_sched_set_draining (c->sched, name, frame->wait & 1, c->now_ms);
  g_free (name);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  cell_t c;
  fuzz_frame_t frame;

  cell_open (&c);
  check_invariants (&c);
  while (fuzz_next (&data, &size, &frame))
    {
      c.now_ms += frame.wait * 100;
      if (frame.selector == 0)
        receive (&c, &frame);
      else if (frame.selector == 1)
        add_job (&c, &frame);
      else if (frame.selector <= 4)
        change_job (&c, &frame);
      else if (frame.selector == 5)
        end_append (&c, &frame);
      else if (frame.selector == 6)
        change_epoch (&c, &frame);
      else if (frame.selector <= 9)
        change_agent (&c, &frame);
      check_invariants (&c);
      cb_sched_tick (c.sched, c.now_ms);
      check_invariants (&c);
    }
  cb_sched_free (c.sched);
  g_array_free (c.tags, TRUE);
  g_hash_table_unref (c.started);
  return 0;
}
