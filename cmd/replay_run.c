/* Runs a trace: calls the scheduler at the times of trace lines, simulated events and
   ticks. */
#include "cmd/replay_local.h"

#include <string.h>

#define TICK_MS 100
#define IDLE_TICK_MS 1000 /* once ACTIVE_MS have passed */
/* The scheduler is called every TICK_MS for this long after a trace line or event. */
#define ACTIVE_MS 3000
/* Interval between samples of the utilisation, until the last line of the trace. */
#define SAMPLE_MS 10000
/* The replay ends when all lines of the trace were applied and all jobs have ended, but
   at the latest this long after the last line. */
#define TAIL_MS (INT64_C (24) * 60 * 60 * 1000)

static const char *
refusal_reason (int err)
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
  sim_job_t *job;
  int err = cb_sched_admit (r->sched, line->job);

  r->stats->submitted++;
  if (err == 0 && cb_replay_find_job (r, line->job->account, line->job->key) != NULL)
    err = CB_SCHED_EXISTS;
  if (err < 0)
    {
      char *name = g_strdup_printf ("%s/%s", line->job->account, line->job->key);

      cb_replay_increment (r->stats->refused, refusal_reason (err));
      g_tree_insert (r->stats->refused_jobs, name, g_strdup (refusal_reason (err)));
      return;
    }
  job = g_new0 (sim_job_t, 1);
  job->line = line;
  job->submitted_ms = r->now_ms;
  job->remaining_run_ms = line->true_run_ms;
  job->remaining_failures = line->fails;
  g_hash_table_insert (
      r->jobs, g_strconcat (line->job->account, "\n", line->job->key, NULL), job);
  r->open_jobs++;
  entry.job = line->job;
  entry.offset = ++r->last_offset;
  cb_sched_job_add (r->sched, &entry, r->now_ms);
}

static void
worker_down (replay_t *r, const char *instance)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_add (r->down_instances, g_strdup (instance));
  g_hash_table_iter_init (&it, r->reservations);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (strcmp (((reservation_t *)value)->instance, instance) == 0)
      g_hash_table_iter_remove (&it);
  cb_replay_add_event (r, CB_WORKER_TIMEOUT_MS, EVENT_WORKER_TIMEOUT)->instance =
      g_strdup (instance);
}

static void
apply_line (replay_t *r, const cb_trace_line_t *line)
{
  switch (line->op)
    {
    case CB_TRACE_SUBMIT:
      submit (r, line);
      return;
    case CB_TRACE_CANCEL:
      cb_sched_job_cancel (r->sched, line->job->account, line->job->key, r->now_ms);
      return;
    case CB_TRACE_WORKER_DOWN:
      worker_down (r, line->instance);
      return;
    case CB_TRACE_WORKER_UP:
      g_hash_table_remove (r->down_instances, line->instance);
      /* A worker that restarts has lost its tasks, so it gets a new incarnation. */
      cb_sched_agent_up (r->sched, line->instance, ++r->last_serial, r->now_ms);
      return;
    }
}

/* Counts a violated invariant of the scheduler and keeps the text of the first one. */
static void
check_invariants (replay_t *r)
{
  char *why = NULL;

  if (cb_sched_check (r->sched, &why) == 0)
    return;
  if (r->stats->violation_count++ == 0)
    r->stats->first_violation = why;
  else
    g_free (why);
}

static void
take_sample (replay_t *r)
{
  cb_sched_totals_t totals;

  cb_sched_totals (r->sched, &totals);
  r->stats->sample_count++;
  r->stats->fragmentation_sum += totals.fragmentation;
  if (totals.accelerators > 0)
    r->stats->utilisation_sum += (double)totals.accelerators_used / totals.accelerators;
}

/* Handles the simulated events that are due. */
static void
handle_due_events (replay_t *r)
{
  for (;;)
    {
      GSequenceIter *at = g_sequence_get_begin_iter (r->events);
      event_t *event = g_sequence_iter_is_end (at) ? NULL : g_sequence_get (at);

      if (event == NULL || event->at_ms > r->now_ms)
        return;
      cb_replay_handle_event (r, event);
      g_sequence_remove (at); /* frees the event */
      cb_replay_handle_outputs (r);
      check_invariants (r);
      r->active_until_ms = r->now_ms + ACTIVE_MS;
    }
}

/* Returns the time of the next event, trace line or tick, whichever comes first. */
static cb_msec_t
next_time (const replay_t *r, const GPtrArray *trace, guint line, cb_msec_t ticked_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (r->events);
  cb_msec_t next =
      ticked_ms + (r->now_ms < r->active_until_ms ? TICK_MS : IDLE_TICK_MS);

  if (!g_sequence_iter_is_end (at))
    next = MIN (next, ((event_t *)g_sequence_get (at))->at_ms);
  if (line < trace->len)
    next = MIN (next, ((cb_trace_line_t *)trace->pdata[line])->at_ms);
  return MAX (next, r->now_ms);
}

static void
run_trace (replay_t *r, const GPtrArray *trace)
{
  cb_msec_t ticked_ms = 0, sampled_ms = 0;
  cb_msec_t end_ms = TAIL_MS;
  guint line = 0;

  if (trace->len > 0)
    end_ms += ((cb_trace_line_t *)trace->pdata[trace->len - 1])->at_ms;
  while ((line < trace->len || r->open_jobs > 0) && r->now_ms < end_ms)
    {
      r->now_ms = next_time (r, trace, line, ticked_ms);
      handle_due_events (r);
      while (line < trace->len &&
             ((cb_trace_line_t *)trace->pdata[line])->at_ms <= r->now_ms)
        {
          apply_line (r, trace->pdata[line++]);
          cb_replay_handle_outputs (r);
          r->active_until_ms = r->now_ms + ACTIVE_MS;
        }
      if (r->now_ms - ticked_ms >= TICK_MS)
        {
          ticked_ms = r->now_ms;
          cb_sched_tick (r->sched, r->now_ms);
          cb_replay_handle_outputs (r);
          check_invariants (r);
        }
      if (r->now_ms - sampled_ms >= SAMPLE_MS && line < trace->len)
        {
          sampled_ms = r->now_ms;
          take_sample (r);
        }
    }
  r->stats->unfinished = r->open_jobs;
}

/* Replays TRACE on the cell of the first availability zone of FLEET with POLICY, and
   adds the measures to STATS. Returns CB_SCHED_INVALID for an unknown policy. */
int
cb_replay_run (const GPtrArray *trace, cb_fleet_t *fleet, const char *policy,
               cb_replay_stats_t *stats)
{
  cb_sched_params_t params = { fleet->zones[0].cell, "replay", policy, 1 };
  replay_t r = { .fleet = fleet, .stats = stats, .last_offset = CB_REPLAY_EPOCH };

  r.sched = cb_sched_new (&params);
  if (r.sched == NULL)
    return CB_SCHED_INVALID;
  r.events = g_sequence_new (cb_replay_event_free);
  r.reservations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          cb_replay_reservation_free);
  r.jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r.down_instances = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cb_sched_set_fleet (r.sched, fleet, 0);
  for (uint32_t i = 0; i < fleet->instance_count; i++)
    if (fleet->instances[i].spec->accelerators > 0) /* the others are endpoints */
      cb_sched_agent_up (r.sched, fleet->instances[i].spec->name, 1, 0);
  cb_sched_set_epoch (r.sched, CB_REPLAY_EPOCH, 0);
  cb_replay_handle_outputs (&r);
  run_trace (&r, trace);
  cb_sched_free (r.sched);
  g_sequence_free (r.events);
  g_hash_table_destroy (r.reservations);
  g_hash_table_destroy (r.jobs);
  g_hash_table_destroy (r.down_instances);
  return CB_OK;
}
