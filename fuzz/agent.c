/* Feeds the modules of an agent. Selectors: 0 an envelope to the gang module, 1 to
   serve, 2 to home, 3 a task status of the worker (a packed Task), 4 the result of the
   oldest run of a request on the endpoint (wait modulo 3 is the cb_call_end_t), 5 drain
   on or off (the low bit of wait). */
#include "fuzz/lib/fuzz.h"

#include "gang/fns.h"
#include "member/fns.h"
#include "serve/fns.h"

#define ACCELERATORS 8
#define ENDPOINT_SLOTS 2

typedef struct
{
  cb_gang_t *gang;
  cb_serve_t *serve;
  cb_home_t *home;
  Cb__Settings *settings;
  GArray *tags; /* of endpoint runs that have not ended */
  uint64_t epoch;
  cb_msec_t now_ms;
} agent_t;

static void
agent_open (agent_t *a)
{
  cb_gang_params_t gang = { "w0", "cell", ACCELERATORS, 60, 130 };
  Cb__EndpointInfo info = CB__ENDPOINT_INFO__INIT;
  cb_member_params_t member;
  char *kinds[] = { "quote" };

  a->settings = cb_msg_new (&cb__settings__descriptor);
  cb_msg_set_string (&a->settings->name, "w0");
  for (int i = 0; i < 2; i++)
    {
      Cb__Peer *peer = cb_msg_new (&cb__peer__descriptor);

      cb_msg_set_string (&peer->name, i == 0 ? "e0" : "e1");
      cb_msg_append ((void ***)&a->settings->entries, &a->settings->n_entries, peer);
    }
  member.settings = a->settings;
  member.incarnation = 1;
  a->gang = cb_gang_new (&gang);
  a->serve = cb_serve_new ("w0");
  a->home = cb_home_new (&member);
  a->tags = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  a->now_ms = 1000;
  a->epoch = 0;
  info.name = "endpoint";
  info.kinds = kinds;
  info.n_kinds = 1;
  info.slots = ENDPOINT_SLOTS;
  info.connections = 4;
  info.alive = 1;
  cb_serve_update_endpoint (a->serve, &info, a->now_ms);
}

/* A full report assigns each accelerator to at most one task, and its running tasks are
   those that cb_gang_task_count counts. */
static void
check_report (const agent_t *a, const Cb__Report *report)
{
  uint64_t used = 0;
  uint32_t running = 0;

  for (size_t i = 0; i < report->n_tasks; i++)
    {
      const Cb__Task *task = report->tasks[i];

      if (task->state >= CB__TASK_STATE__TASK_DONE)
        continue;
      running++;
      for (size_t k = 0; k < task->n_accelerators; k++)
        {
          FUZZ_CHECK (task->accelerators[k] < ACCELERATORS);
          FUZZ_CHECK ((used & UINT64_C (1) << task->accelerators[k]) == 0);
          used |= UINT64_C (1) << task->accelerators[k];
        }
    }
  FUZZ_CHECK (running == cb_gang_task_count (a->gang));
}

/* A sent envelope can be unpacked. */
static void
check_sent (const Cb__Envelope *envelope)
{
  GBytes *packed = cb_msg_pack (&envelope->base);
  gsize size;
  const uint8_t *data = g_bytes_get_data (packed, &size);
  Cb__Envelope *copy = cb__envelope__unpack (NULL, size, data);

  FUZZ_CHECK (copy != NULL);
  cb_msg_free (copy);
  g_bytes_unref (packed);
}

/* Handles the outputs of a module. With CHECK_REPORTS its reports are full ones and are
   checked. */
static void
handle_outputs (agent_t *a, cb_outq_t *queue, gboolean check_reports)
{
  cb_out_t *out;

  while ((out = cb_outq_pop (queue)) != NULL)
    {
      if (out->kind == CB_OUT_SEND)
        check_sent (out->envelope);
      if (check_reports && out->kind == CB_OUT_SEND &&
          out->envelope->body_case == CB__ENVELOPE__BODY_REPORT)
        check_report (a, out->envelope->report);
      if (out->kind == CB_OUT_CALL &&
          out->message->descriptor == &cb__request__descriptor)
        g_array_append_val (a->tags, out->tag);
      cb_out_free (out);
    }
}

static void
handle_all_outputs (agent_t *a)
{
  handle_outputs (a, cb_gang_outputs (a->gang), FALSE);
  handle_outputs (a, cb_serve_outputs (a->serve), FALSE);
  handle_outputs (a, cb_home_outputs (a->home), FALSE);
}

/* Checks the invariants of the modules, and the full report that a Sync requests. */
static void
check_invariants (agent_t *a)
{
  Cb__Envelope sync = CB__ENVELOPE__INIT;
  Cb__Sync body = CB__SYNC__INIT;

  handle_all_outputs (a);
  FUZZ_CHECK (cb_gang_epoch (a->gang) >= a->epoch);
  a->epoch = cb_gang_epoch (a->gang);
  FUZZ_CHECK (cb_serve_running_count (a->serve) == a->tags->len);
  FUZZ_CHECK (cb_serve_running_count (a->serve) <= ENDPOINT_SLOTS);
  FUZZ_CHECK (cb_home_entry (a->home, NULL) != NULL);
  body.full = 1;
  sync.from = "e0";
  sync.epoch = a->epoch;
  sync.cell = "cell";
  sync.body_case = CB__ENVELOPE__BODY_SYNC;
  sync.sync = &body;
  cb_gang_receive (a->gang, &sync, a->now_ms);
  handle_outputs (a, cb_gang_outputs (a->gang), TRUE);
}

static void
handle_task_status (agent_t *a, const fuzz_frame_t *frame)
{
  Cb__Task *task = cb__task__unpack (NULL, frame->size, frame->data);

  if (task == NULL)
    return;
  cb_gang_handle_task_status (a->gang, task->account, task->job_key, task->attempt,
                              task->member, task->state, task->checkpointed, a->now_ms);
  cb_msg_free (task);
}

static void
end_run (agent_t *a, const fuzz_frame_t *frame)
{
  if (a->tags->len > 0)
    {
      cb_serve_run_done (a->serve, g_array_index (a->tags, uint64_t, 0),
                         (cb_call_end_t)(frame->wait % 3), 200, frame->data,
                         frame->size, a->now_ms);
      g_array_remove_index (a->tags, 0);
    }
}

static void
receive (agent_t *a, const fuzz_frame_t *frame)
{
  Cb__Envelope *envelope = cb__envelope__unpack (NULL, frame->size, frame->data);

  if (envelope == NULL)
    return;
  if (frame->selector == 0)
    cb_gang_receive (a->gang, envelope, a->now_ms);
  else if (frame->selector == 1)
    cb_serve_receive (a->serve, envelope, a->now_ms);
  else
    cb_home_receive (a->home, envelope, a->now_ms);
  cb_msg_free (envelope);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  agent_t a;
  fuzz_frame_t frame;

  agent_open (&a);
  while (fuzz_next (&data, &size, &frame))
    {
      a.now_ms += frame.wait * 100;
      if (frame.selector <= 2)
        receive (&a, &frame);
      else if (frame.selector == 3)
        handle_task_status (&a, &frame);
      else if (frame.selector == 4)
        end_run (&a, &frame);
      else if (frame.selector == 5)
        cb_gang_set_draining (a.gang, frame.wait & 1);
      check_invariants (&a);
      cb_gang_tick (a.gang, a.now_ms);
      cb_serve_tick (a.serve, a.now_ms);
      cb_home_tick (a.home, a.now_ms);
      check_invariants (&a);
    }
  cb_gang_free (a.gang);
  cb_serve_free (a.serve);
  cb_home_free (a.home);
  cb_msg_free (a.settings);
  g_array_free (a.tags, TRUE);
  return 0;
}
