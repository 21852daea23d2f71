/* Applies the reports of agents to the scheduler's state. */
#include "batch/local.h"

#include <string.h>

/* The agents send unchanged reports at an interval that grows with the number of
   workers, so that the scheduler gets at most 1000 / REPORT_MS_PER_WORKER of them a
   second. The maximum leaves time to renew a lease. */
#define REPORT_MS_PER_WORKER 4
#define REPORT_INTERVAL_MIN_MS 450
#define REPORT_INTERVAL_MAX_MS 1500
/* A report is late this long after the interval: the worker's answer, the agent's
   message and a pass of the scheduler take less. Such a worker gets new work only where
   no other can. */
#define REPORT_DELAY_MS 200
/* A worker whose latest report is older than the interval plus REPORT_LATE_MS, but at
   least REPORT_MAX_AGE_MIN_MS, gets no new work. */
#define REPORT_LATE_MS 640
#define REPORT_MAX_AGE_MIN_MS 1600
/* A run is stopped when this many full reports in a row lack it after one that showed
   it: the second was requested after the worker had replied to the call of the first.
 */
#define UNLISTED_REPORTS_MAX 2

/* Returns the interval in ms at which an agent sends unchanged reports. */
cb_msec_t
cb_batch_report_interval_ms (const cb_batch_t *b)
{
  return CLAMP ((cb_msec_t)g_hash_table_size (b->workers) * REPORT_MS_PER_WORKER,
                REPORT_INTERVAL_MIN_MS, REPORT_INTERVAL_MAX_MS);
}

/* Returns the age in ms that the latest report of a worker has at most unless it is
   late. */
cb_msec_t
report_due_ms (const cb_batch_t *b)
{
  return cb_batch_report_interval_ms (b) + REPORT_DELAY_MS;
}

/* Returns the age in ms up to which the latest report of a worker is good enough to
   give it new work. */
cb_msec_t
report_max_age_ms (const cb_batch_t *b)
{
  return MAX (REPORT_MAX_AGE_MIN_MS, cb_batch_report_interval_ms (b) + REPORT_LATE_MS);
}

/* Marks W as terminated: it gets no commands any more. WHY is for the log. */
static void
mark_terminated (cb_batch_t *b, worker_t *w, const char *why)
{
  w->terminated = TRUE;
  b->dirty = TRUE;
  cb_event_unlimited (CB_LOG_INFO, "batch", "worker_gone",
                      "worker=%s born_ms=%" PRIu64 " agent=%s why=%s runs=%u", w->id,
                      w->incarnation_ms, w->agent, why, w->tasks->len);
}

/* As mark_terminated, for a W whose process is known to have ended, by WHY. */
static void
mark_ended (cb_batch_t *b, worker_t *w, const char *why)
{
  note_ended (b, w);
  mark_terminated (b, w, why);
}

/* Marks all earlier workers of AGENT as terminated, since CURRENT reports there now:
   they get no commands any more. CURRENT may still execute a start command that was
   sent to an earlier incarnation of the same worker; as its successor it is commanded
   to stop such runs before they are started elsewhere. */
static void
mark_replaced_workers (cb_batch_t *b, const char *agent, worker_t *current)
{
  const GPtrArray *workers = agent_workers (b, agent);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      worker_t *w = workers->pdata[i];

      if (w == current)
        continue;
      if (strcmp (w->id, current->id) == 0)
        {
          if (w->successor != current)
            change_commands (b, current);
          w->successor = current;
        }
      if (!w->terminated)
        mark_terminated (b, w, "replaced");
    }
}

/* TRUE when REPORT is one of W. */
static gboolean
is_report_of (const worker_t *w, const Cb__WorkerReport *report)
{
  return strcmp (w->id, report->worker) == 0 && w->incarnation_ms == report->born_ms;
}

/* TRUE when REPORT states that the process of W has ended. */
static gboolean
is_stated_as_ended (const worker_t *w, const Cb__WorkerReport *report)
{
  gboolean stated = FALSE;

  for (size_t i = 0; i < report->n_ended_workers && !stated; i++)
    stated = strcmp (w->id, report->ended_workers[i]->worker) == 0 &&
             w->incarnation_ms == report->ended_workers[i]->born_ms;
  return stated;
}

/* Marks the incarnations of AGENT's workers whose processes have ended, as REPORT
   states: this scheduler may know them only from the log. */
static void
mark_ended_workers (cb_batch_t *b, const char *agent, const Cb__WorkerReport *report)
{
  const GPtrArray *workers = agent_workers (b, agent);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      worker_t *w = workers->pdata[i];

      if (!w->ended && !is_report_of (w, report) && is_stated_as_ended (w, report))
        mark_ended (b, w, "ended");
    }
}

/* Marks the other incarnations of AGENT's workers that received calls at the address at
   which W has just responded, and which started before W: two processes cannot listen
   there, so theirs have ended, except that one that drains may have closed its socket
   before it ends its runs.
   Their addresses may be known from the log alone, but then they were there before this
   scheduler's epoch, under which W has responded. The caller makes sure that W was not
   taken as ended before, as its report may then be a late one. The reports of different
   agents show no order, so workers of other agents are left out. So are those without a
   start time, whose next incarnation would be taken for them. */
static void
mark_ended_at_address (cb_batch_t *b, const char *agent, const worker_t *w)
{
  const GPtrArray *workers = agent_workers (b, agent);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      worker_t *other = workers->pdata[i];

      if (other != w && !other->ended && !other->draining &&
          other->incarnation_ms != 0 && other->incarnation_ms < w->incarnation_ms &&
          other->address[0] != '\0' && strcmp (other->address, w->address) == 0)
        mark_ended (b, other, "address_taken");
    }
}

static void
replace_string (char **field, const char *value)
{
  if (strcmp (*field, value) == 0)
    return;
  g_free (*field);
  *field = g_strdup (value);
}

static void
replace_labels (worker_t *w, const Cb__WorkerReport *report)
{
  size_t same = 0;

  while (same < report->n_labels && w->labels[same] != NULL &&
         strcmp (w->labels[same], report->labels[same]) == 0)
    same++;
  if (same == report->n_labels && w->labels[same] == NULL)
    return;
  g_strfreev (w->labels);
  w->labels = g_new0 (char *, report->n_labels + 1);
  for (size_t i = 0; i < report->n_labels; i++)
    w->labels[i] = g_strdup (report->labels[i]);
}

static void
update_description (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report,
                    cb_msec_t now_ms)
{
  if (w->draining != report->draining)
    cb_event_unlimited (CB_LOG_INFO, "batch", "worker_draining",
                        "worker=%s draining=%d left_ms=%" PRIu64, w->id,
                        report->draining, report->drain_left_ms);
  b->dirty = b->dirty || w->draining != report->draining;
  w->draining = report->draining;
  w->drain_left_ms = (cb_msec_t)report->drain_left_ms;
  w->cold_until_ms =
      report->cold_left_ms > 0 ? now_ms + (cb_msec_t)report->cold_left_ms : 0;
  w->cpu_milli = report->cpu_milli;
  w->memory_mb = report->memory_mb;
  w->accelerators = report->accelerators;
  replace_string (&w->service, report->service);
  replace_string (&w->zone, report->availability_zone);
  replace_string (&w->rack, report->n_labels > 1 ? report->labels[1] : "");
  replace_labels (w, report);
}

/* TRUE when RUN is the current run of TASK and has been started on W. */
static gboolean
is_current_run (const task_t *task, const worker_t *w, const Cb__TaskRun *run)
{
  return task != NULL && task->state == TASK_STARTED && task->worker == w &&
         task->run == run->run;
}

/* TRUE when RUN is the current run of TASK and has been started on W, or on an earlier
   incarnation of it whose start command W has executed. */
static gboolean
is_run_of_worker (const task_t *task, const worker_t *w, const Cb__TaskRun *run)
{
  return is_current_run (task, w, run) ||
         (task != NULL && task->worker != NULL && task->worker->successor == w &&
          is_current_run (task, task->worker, run));
}

/* Notes that W's present report lists the current run of TASK. */
static void
note_listed (const worker_t *w, task_t *task)
{
  task->listed_clock_ms = w->clock_ms;
  task->unlisted_reports = 0;
}

/* Updates the tasks that W reports as running. Runs that are not current are to be
   stopped. */
static void
handle_running (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report,
                cb_msec_t now_ms)
{
  if (!report->running_partial)
    g_ptr_array_set_size (w->unwanted_runs, 0);
  for (size_t i = 0; i < report->n_running; i++)
    {
      const Cb__RunningTask *running = report->running[i];
      task_t *task = find_task (b, running->run);

      if (!is_current_run (task, w, running->run))
        {
          g_ptr_array_add (w->unwanted_runs, cb_msg_copy (&running->run->base));
          change_commands (b, w);
          continue;
        }
      propose_begun (b, task->job, now_ms);
      if (!task->reported)
        trust_start_accepted (w, task);
      w->shown_starts += !task->reported;
      task->reported = TRUE;
      note_listed (w, task);
      if (task->percent != running->percent)
        task->progress_ms = now_ms;
      task->percent = running->percent;
      update_ending (b, task, now_ms);
      trust_run_progress (w, task, now_ms);
      /* For a task with a latency target, `usage` is its tail latency in ms. */
      task->latency_ms = task_spec (task)->target_ms > 0 ? running->usage : 0;
      if (running->saved[0] == '\0')
        continue;
      g_free (task->reported_checkpoint);
      task->reported_checkpoint = g_strdup (running->saved);
    }
}

/* Proposes the ends that the log lacks, and acknowledges reported ends up to the first
   of these, so that the worker can discard them. Keeps those of an incomplete list for
   acknowledge_stored_ends. */
static void
handle_ended (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report,
              cb_msec_t now_ms)
{
  gboolean all_durable = TRUE;

  if (w->ended_partial != report->ended_partial)
    cb_event (CB_LOG_INFO, "batch", "worker_ends_partial",
              "worker=%s partial=%d ended=%zu", w->id, report->ended_partial,
              report->n_ended);
  w->ended_partial = report->ended_partial;
  g_ptr_array_set_size (w->listed_ends, 0);
  for (size_t i = 0; i < report->n_ended; i++)
    {
      const Cb__EndedTask *ended = report->ended[i];
      task_t *task = find_task (b, ended->run);

      if (is_run_of_worker (task, w, ended->run))
        {
          all_durable = FALSE;
          note_listed (w, task);
          if (!shows_begin (ended->how))
            propose_begun (b, task->job, now_ms);
          propose_end (b, task, ended->how, ended->saved, "listed");
          if (report->ended_partial)
            g_ptr_array_add (w->listed_ends, cb_msg_copy (&ended->base));
        }
      else if (all_durable)
        w->last_durable_end = MAX (w->last_durable_end, ended->number);
    }
}

/* Acknowledges the ends of W's incomplete list that are in the log by now, without
   waiting for its next report: only then does the worker list further ends. */
void
acknowledge_stored_ends (cb_batch_t *b, worker_t *w)
{
  uint64_t before = w->last_durable_end;
  guint stored = 0;

  for (; stored < w->listed_ends->len; stored++)
    {
      const Cb__EndedTask *ended = w->listed_ends->pdata[stored];

      if (is_run_of_worker (find_task (b, ended->run), w, ended->run))
        break;
      w->last_durable_end = MAX (w->last_durable_end, ended->number);
    }
  if (stored > 0)
    g_ptr_array_remove_range (w->listed_ends, 0, stored);
  if (w->last_durable_end > before)
    change_commands (b, w);
}

/* Stops the runs that W has reported and that full reports do not list any more: they
   run nowhere, and their ends can't be read. The worker rejects a stopped run for good,
   and handle_absent ends it. */
static void
stop_unlisted_runs (cb_batch_t *b, const worker_t *w, const Cb__WorkerReport *report,
                    cb_msec_t now_ms)
{
  if (report->running_partial || report->ended_partial || report->unread_end != 0 ||
      report->running_unread)
    return;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (task->state == TASK_STARTED && task->reported && !task->stop_requested &&
          !task->proposed_end && task->listed_clock_ms != w->clock_ms &&
          ++task->unlisted_reports >= UNLISTED_REPORTS_MAX)
        stop_task (b, task, now_ms, "not_listed");
    }
}

/* Notes that W has dropped ends that its agent has not read. */
static void
note_missed_ends (worker_t *w, const Cb__WorkerReport *report)
{
  if (report->ends_missed && !w->ends_missed)
    cb_event_unlimited (CB_LOG_WARN, "batch", "worker_ends_missed",
                        "worker=%s born_ms=%" PRIu64 " agent=%s runs=%u", w->id,
                        w->incarnation_ms, w->agent, w->tasks->len);
  w->ends_missed = w->ends_missed || report->ends_missed;
}

/* Ends the stopped run of TASK, which W does not have. If W has dropped ends unread,
   the run may have been done. It counts as lost all the same, as that of a worker that
   ends before its list is read: `completed` could be untrue, `failed` would be without
   cause, and a task without an end would never be decided. */
static void
end_absent_run (cb_batch_t *b, const worker_t *w, task_t *task)
{
  if (w->ends_missed && task->unlisted_reports > 0)
    propose_end (b, task, CB__RUN_END__RUN_LOST, task->reported_checkpoint,
                 "end_missed");
  else
    propose_end (b, task, CB__RUN_END__RUN_STOPPED, task->reported_checkpoint,
                 "absent");
}

/* Ends runs that the worker has rejected. It never executes them, whatever its lists
   show and how old they are. */
static void
handle_rejected (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report,
                 cb_msec_t now_ms)
{
  for (size_t i = 0; i < report->n_unhealthy; i++)
    {
      const task_t *task = find_task (b, report->unhealthy[i]);

      if (is_current_run (task, w, report->unhealthy[i]) && !task->reported &&
          !task->proposed_end)
        trust_start_unhealthy (w, task, now_ms);
    }
  for (size_t i = 0; i < report->n_rejected; i++)
    {
      task_t *task = find_task (b, report->rejected[i]);

      if (!is_current_run (task, w, report->rejected[i]) || task->reported)
        continue;
      if (!task->proposed_end)
        advice_start_rejected (task, w, now_ms);
      propose_end (b, task, CB__RUN_END__RUN_REJECTED, NULL, "refused");
    }
}

/* Ends stopped runs that the worker does not have. A run of an earlier incarnation that
   is absent here is lost. */
static void
handle_absent (cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report)
{
  for (size_t i = 0; i < report->n_absent; i++)
    {
      task_t *task = find_task (b, report->absent[i]);

      if (is_current_run (task, w, report->absent[i]) && task->stop_requested)
        end_absent_run (b, w, task);
      else if (is_run_of_worker (task, w, report->absent[i]) && task->worker != w)
        propose_end (b, task, CB__RUN_END__RUN_LOST, task->reported_checkpoint,
                     "absent_after_restart");
    }
}

/* TRUE when a later incarnation of W has been seen at its agent. */
static gboolean
has_later_incarnation (const cb_batch_t *b, const worker_t *w)
{
  const GPtrArray *workers = agent_workers (b, w->agent);

  for (guint i = 0; i < workers->len; i++)
    {
      const worker_t *other = workers->pdata[i];

      if (strcmp (other->id, w->id) == 0 && other->incarnation_ms > w->incarnation_ms)
        return TRUE;
    }
  return FALSE;
}

/* Uses the terminated worker W again if REPORT has newer lists of it: it runs, although
   another worker has reported at its agent. Not if its process is known to have ended,
   as the report may be a late one. */
static void
use_again_if_alive (const cb_batch_t *b, worker_t *w, const Cb__WorkerReport *report)
{
  if (!w->terminated || w->ended || report->clock_ms <= w->clock_ms ||
      has_later_incarnation (b, w))
    return;
  w->terminated = FALSE;
  cb_event_unlimited (CB_LOG_WARN, "batch", "worker_back",
                      "worker=%s born_ms=%" PRIu64 " agent=%s runs=%u", w->id,
                      w->incarnation_ms, w->agent, w->tasks->len);
}

/* Notes that W receives calls at ADDRESS. That it had another one before goes to the
   log, which may know only that one. */
static void
update_address (cb_batch_t *b, worker_t *w, const char *address)
{
  gboolean moved_before = w->several_addresses;

  note_address (w, address);
  if (w->several_addresses && !moved_before)
    propose_moved (b, w);
}

/* Applies a report of AGENT that was made for this scheduler's epoch. The agent may
   have no worker, and still state which ones have ended. Reports of a terminated
   incarnation count only if they show that it runs. A repeated report, with
   lists whose clock is not newer, does not count as contact with the worker: its agent
   may repeat the lists of a worker that does not respond any more. */
void
cb_batch_handle_report (cb_batch_t *b, const char *agent,
                        const Cb__WorkerReport *report, cb_msec_t now_ms)
{
  worker_t *w;

  if (b->own_epoch == 0)
    return;
  mark_ended_workers (b, agent, report);
  if (report->worker[0] == '\0')
    return;
  w = get_worker (b, report->worker, report->born_ms, agent);
  if (report->left && is_stated_as_ended (w, report))
    note_ended (b, w);
  use_again_if_alive (b, w, report);
  if (w->terminated)
    return;
  mark_replaced_workers (b, agent, w);
  update_description (b, w, report, now_ms);
  if (report->clock_ms > w->clock_ms)
    {
      b->dirty = b->dirty || !w->reporting;
      if (!w->reporting)
        b->worker_reported_ms = now_ms;
      if (!w->reporting)
        cb_event_unlimited (CB_LOG_INFO, "batch", "worker_listed",
                            "worker=%s agent=%s rack=%s cpu_milli=%u accelerators=%u "
                            "running=%zu ended=%zu",
                            w->id, agent, w->rack, w->cpu_milli, w->accelerators,
                            report->n_running, report->n_ended);
      /* A worker that reports again after its lease has no new lease yet: check_lease
         must not take its runs as lost before it can get one. */
      if (!w->reporting)
        w->lease_end_ms = MAX (w->lease_end_ms, latest_lease_end (b, now_ms));
      note_heard (w, now_ms);
      note_listed_time (w, report, now_ms);
      w->reporting = TRUE;
      w->clock_ms = report->clock_ms;
      w->reported_ms = now_ms;
      note_lease_left (b, w);
      update_address (b, w, report->address);
      if (report->address[0] != '\0' && !was_ended (b, w))
        mark_ended_at_address (b, agent, w);
      handle_running (b, w, report, now_ms);
      w->all_listed =
          w->all_listed || (!report->running_partial && !report->running_unread);
      handle_ended (b, w, report, now_ms);
      note_missed_ends (w, report);
      stop_unlisted_runs (b, w, report, now_ms);
      handle_absent (b, w, report);
      pace_update (b, w, now_ms);
    }
  handle_rejected (b, w, report, now_ms);
  stop_evacuated_starts (b, w, now_ms);
  if (report->left)
    mark_terminated (b, w, "left");
}
