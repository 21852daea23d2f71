#include "cmd/replay_local.h"

#include <string.h>

#define TICK_MS 100
#define IDLE_TICK_MS 1000
/* The scheduler is called every TICK_MS for this long after each input. */
#define ACTIVE_MS 3000
#define SAMPLE_MS 10000
/* After the last line, the replay ends when nothing is left or this time has passed. */
#define TAIL_MS (INT64_C (24) * 60 * 60 * 1000)

static const char *
refusal_text (int err)
{
  if (err == CB_SCHED_NEVER_FITS)
    return "never_fits";
  if (err == CB_SCHED_QUOTA)
    return "quota_exceeded";
  if (err == CB_SCHED_QUEUE_FULL)
    return "queue_full";
  return err == CB_SCHED_EXISTS ? "key_conflict" : "bad_request";
}

static void
submit (replay_t *r, const cb_trace_line_t *line)
{
  Cb__JobStateEntry entry = CB__JOB_STATE_ENTRY__INIT;
  known_t *job;
  int err = cb_sched_admit (r->sched, line->job);

  r->stats->submitted++;
  if (err == 0 && cb_replay_known (r, line->job->account, line->job->key) != NULL)
    err = CB_SCHED_EXISTS;
  if (err < 0)
    {
      char *name = g_strdup_printf ("%s/%s", line->job->account, line->job->key);

      cb_replay_count (r->stats->refused, refusal_text (err));
      g_tree_insert (r->stats->refused_jobs, name, g_strdup (refusal_text (err)));
      return;
    }
  job = g_new0 (known_t, 1);
  job->line = line;
  job->submitted_ms = r->now;
  job->left_ms = line->true_run_ms;
  job->fails_left = line->fails;
  g_hash_table_insert (
      r->known, g_strconcat (line->job->account, "\n", line->job->key, NULL), job);
  r->open++;
  entry.job = line->job;
  entry.offset = ++r->offset;
  cb_sched_job_add (r->sched, &entry, r->now);
}

static void
worker_down (replay_t *r, const char *instance)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_add (r->down, g_strdup (instance));
  g_hash_table_iter_init (&it, r->held);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (strcmp (((held_t *)value)->instance, instance) == 0)
      g_hash_table_iter_remove (&it);
  cb_replay_schedule (r, CB_SILENCE_MS, EVENT_SILENT)->instance = g_strdup (instance);
}

static void
apply (replay_t *r, const cb_trace_line_t *line)
{
  switch (line->op)
    {
    case CB_TRACE_SUBMIT:
      submit (r, line);
      return;
    case CB_TRACE_CANCEL:
      cb_sched_job_cancel (r->sched, line->job->account, line->job->key, r->now);
      return;
    case CB_TRACE_WORKER_DOWN:
      worker_down (r, line->instance);
      return;
    case CB_TRACE_WORKER_UP:
      g_hash_table_remove (r->down, line->instance);
      /* A worker that comes back has lost its tasks: a new incarnation. */
      cb_sched_agent_up (r->sched, line->instance, ++r->serial, r->now);
      return;
    }
}

static void
check (replay_t *r)
{
  char *why = NULL;

  if (cb_sched_check (r->sched, &why) == 0)
    return;
  if (r->stats->violations++ == 0)
    r->stats->violation = why;
  else
    g_free (why);
}

static void
sample (replay_t *r)
{
  cb_sched_totals_t view;

  cb_sched_totals (r->sched, &view);
  r->stats->samples++;
  r->stats->fragmentation += view.fragmentation;
  if (view.accelerators > 0)
    r->stats->used += (double)view.accelerators_used / view.accelerators;
}

/* Performs the stand-in's events up to now. */
static void
run_events (replay_t *r)
{
  for (;;)
    {
      GSequenceIter *at = g_sequence_get_begin_iter (r->events);
      event_t *event = g_sequence_iter_is_end (at) ? NULL : g_sequence_get (at);

      if (event == NULL || event->at_ms > r->now)
        return;
      cb_replay_perform (r, event);
      g_sequence_remove (at); /* frees it */
      cb_replay_drain (r);
      check (r);
      r->active_until = r->now + ACTIVE_MS;
    }
}

/* Time of the next thing to do: an event, a line of the trace or a tick. */
static cb_msec_t
next_time (const replay_t *r, const GPtrArray *trace, guint line, cb_msec_t ticked_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (r->events);
  cb_msec_t next = ticked_ms + (r->now < r->active_until ? TICK_MS : IDLE_TICK_MS);

  if (!g_sequence_iter_is_end (at))
    next = MIN (next, ((event_t *)g_sequence_get (at))->at_ms);
  if (line < trace->len)
    next = MIN (next, ((cb_trace_line_t *)trace->pdata[line])->at_ms);
  return MAX (next, r->now);
}

static void
loop (replay_t *r, const GPtrArray *trace)
{
  cb_msec_t ticked_ms = 0, sampled_ms = 0;
  cb_msec_t end_ms = TAIL_MS;
  guint line = 0;

  if (trace->len > 0)
    end_ms += ((cb_trace_line_t *)trace->pdata[trace->len - 1])->at_ms;
  while ((line < trace->len || r->open > 0) && r->now < end_ms)
    {
      r->now = next_time (r, trace, line, ticked_ms);
      run_events (r);
      while (line < trace->len &&
             ((cb_trace_line_t *)trace->pdata[line])->at_ms <= r->now)
        {
          apply (r, trace->pdata[line++]);
          cb_replay_drain (r);
          r->active_until = r->now + ACTIVE_MS;
        }
      if (r->now - ticked_ms >= TICK_MS)
        {
          ticked_ms = r->now;
          cb_sched_tick (r->sched, r->now);
          cb_replay_drain (r);
          check (r);
        }
      if (r->now - sampled_ms >= SAMPLE_MS && line < trace->len)
        {
          sampled_ms = r->now;
          sample (r);
        }
    }
  r->stats->unfinished = r->open;
}

/* Replays TRACE on the first cell of FLEET with POLICY. Measures are added to STATS.
   Returns CB_SCHED_INVALID for an unknown policy. */
int
cb_replay_run (const GPtrArray *trace, cb_fleet_t *fleet, const char *policy,
               cb_replay_stats_t *stats)
{
  cb_sched_params_t params = { fleet->zones[0].cell, "replay", policy, 1 };
  replay_t r = { .fleet = fleet, .stats = stats, .offset = CB_REPLAY_EPOCH };

  r.sched = cb_sched_new (&params);
  if (r.sched == NULL)
    return CB_SCHED_INVALID;
  r.events = g_sequence_new (cb_replay_event_free);
  r.held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cb_replay_held_free);
  r.known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r.down = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cb_sched_set_fleet (r.sched, fleet, 0);
  for (uint32_t i = 0; i < fleet->instance_count; i++)
    if (fleet->instances[i].spec->accelerators > 0) /* others are endpoints */
      cb_sched_agent_up (r.sched, fleet->instances[i].spec->name, 1, 0);
  cb_sched_set_epoch (r.sched, CB_REPLAY_EPOCH, 0);
  cb_replay_drain (&r);
  loop (&r, trace);
  cb_sched_free (r.sched);
  g_sequence_free (r.events);
  g_hash_table_destroy (r.held);
  g_hash_table_destroy (r.known);
  g_hash_table_destroy (r.down);
  return CB_OK;
}
