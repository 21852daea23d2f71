/* Reports to the scheduler, and task events of the trace. */
#include "gang/local.h"

#include <string.h>

/* Queues an envelope to the scheduler of the newest epoch. Returns NULL when none has
   sent a command yet. */
static Cb__Envelope *
queue_to_scheduler (cb_gang_t *gang, Cb__Envelope__BodyCase body_case)
{
  Cb__Envelope *envelope;

  if (gang->scheduler == NULL)
    return NULL;
  envelope = cb_outq_send (&gang->out, gang->scheduler, body_case);
  cb_msg_set_string (&envelope->cell, gang->cell);
  envelope->epoch = gang->epoch;
  return envelope;
}

static void
append_tasks (const job_t *job, Cb__Task ***tasks, size_t *count)
{
  for (guint i = 0; i < job->tasks->len; i++)
    cb_msg_append ((void ***)tasks, count,
                   cb_msg_copy (&((task_t *)job->tasks->pdata[i])->info->base));
}

/* Reports the state of JOB's members on this instance. */
void
cb_gang_report_job (cb_gang_t *gang, const job_t *job)
{
  Cb__Envelope *envelope = queue_to_scheduler (gang, CB__ENVELOPE__BODY_TASK_REPORT);

  if (envelope == NULL)
    return;
  cb_msg_set_string (&envelope->task_report->instance, gang->instance);
  append_tasks (job, &envelope->task_report->tasks, &envelope->task_report->n_tasks);
}

/* Refuses a start: reports its members on this instance as failed for REASON. */
void
cb_gang_report_refused_start (cb_gang_t *gang, const Cb__Start *start, uint64_t epoch,
                              Cb__Reason reason)
{
  Cb__Envelope *envelope = queue_to_scheduler (gang, CB__ENVELOPE__BODY_TASK_REPORT);

  cb_outq_count (&gang->out, "gang_refused", "reason=\"start\"");
  if (envelope == NULL)
    return;
  cb_msg_set_string (&envelope->task_report->instance, gang->instance);
  for (size_t i = 0; i < start->n_members; i++)
    {
      Cb__Task *task;

      if (strcmp (start->members[i]->instance, gang->instance) != 0)
        continue;
      task = cb_msg_new (&cb__task__descriptor);
      cb_msg_set_string (&task->job_key, start->job_key);
      cb_msg_set_string (&task->account, start->account);
      task->attempt = start->attempt;
      task->member = start->members[i]->member;
      task->state = CB__TASK_STATE__TASK_FAILED;
      task->reason = reason;
      task->epoch = epoch;
      cb_msg_append ((void ***)&envelope->task_report->tasks,
                     &envelope->task_report->n_tasks, task);
    }
}

/* Sends the full report: capacity, all tasks here, and those that ended within the
   retention. */
void
cb_gang_report_all (cb_gang_t *gang)
{
  Cb__Envelope *envelope = queue_to_scheduler (gang, CB__ENVELOPE__BODY_REPORT);
  Cb__Report *report;

  if (envelope == NULL)
    return;
  report = envelope->report;
  cb_msg_set_string (&report->instance, gang->instance);
  report->epoch = gang->epoch;
  report->draining = gang->draining;
  report->accelerators = gang->accelerators;
  report->cores = gang->cores;
  report->memory_gb = gang->memory_gb;
  for (guint i = 0; i < gang->jobs->len; i++)
    append_tasks (gang->jobs->pdata[i], &report->tasks, &report->n_tasks);
}

static char *
accelerator_list (const Cb__Task *task)
{
  GString *text = g_string_new ("[");

  for (size_t i = 0; i < task->n_accelerators; i++)
    g_string_append_printf (text, "%s%u", i > 0 ? "," : "", task->accelerators[i]);
  g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

/* Queues a task_start, task_running or task_end event, which all have the same fields
   (docs/trace.md). JOB must have been started. */
void
cb_gang_task_event (cb_gang_t *gang, const char *event, const job_t *job,
                    const task_t *task)
{
  char *account = cb_json_quote (job->account);
  char *key = cb_json_quote (job->key);
  char *instance = cb_json_quote (gang->instance);
  char *accels = accelerator_list (task->info);

  cb_outq_event (&gang->out, event,
                 "\"account\":%s,\"key\":%s,\"attempt\":%u,\"member\":%u,"
                 "\"members\":%zu,\"instance\":%s,\"accels\":%s,"
                 "\"epoch\":%" G_GUINT64_FORMAT ",\"state\":\"%s\",\"reason\":\"%s\"",
                 account, key, job->attempt, task->info->member, job->start->n_members,
                 instance, accels, task->info->epoch,
                 cb_enum_text (&cb__task_state__descriptor, task->info->state) +
                     sizeof "task_" - 1,
                 cb_reason_text (task->info->reason));
  g_free (account);
  g_free (key);
  g_free (instance);
  g_free (accels);
}
