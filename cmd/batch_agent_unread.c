/* Rows of the worker's lists that the agent cannot read: for how long they are waited
   for. */
#include "cmd/batch_agent.h"

/* An end in the worker's lists that could not be read. */
typedef struct
{
  uint64_t number;
  cb_msec_t since_ms; /* when a list first showed it */
  gboolean given_up;
} unread_end_t;

/* Gives AGENT an empty set of unread rows. */
void
cb_batch_agent_unread_init (cb_batch_agent_t *agent)
{
  agent->unread_ends = g_array_new (FALSE, FALSE, sizeof (unread_end_t));
}

/* Forgets the unread rows, which were those of another worker. */
void
cb_batch_agent_forget_unread (cb_batch_agent_t *agent)
{
  g_array_set_size (agent->unread_ends, 0);
  agent->given_up_end = 0;
  agent->running_unread_ms = 0;
  agent->running_given_up = FALSE;
}

static void
count_given_up (cb_batch_agent_t *agent, const char *list)
{
  char *label = g_strdup_printf ("list=\"%s\"", list);

  cb_counters_add (agent->counters, "unread_rows_given_up_total", label, 1);
  g_free (label);
}

/* Returns what is known of the unread end NUMBER, which a list shows now. */
static unread_end_t
find_unread (const cb_batch_agent_t *agent, uint64_t number)
{
  for (guint i = 0; i < agent->unread_ends->len; i++)
    {
      unread_end_t known = g_array_index (agent->unread_ends, unread_end_t, i);

      if (known.number == number)
        return known;
    }
  return (unread_end_t){ .number = number, .since_ms = cb_batch_now_ms () };
}

/* Gives the unread end TASK up. One whose run could be read is reported as lost from
   now on. Another one tells nothing of its run, which is in no list any more. */
static void
give_up_end (cb_batch_agent_t *agent, const Cb__EndedTask *task)
{
  const Cb__TaskRun *run = task->run;

  agent->ends_missed = agent->ends_missed || run->job[0] == '\0';
  count_given_up (agent, "ended");
  cb_event_unlimited (CB_LOG_WARN, "agent", "row_given_up",
                      "list=ended worker=%s number=%" PRIu64
                      " job=%s task=%u.%u.%u run=%u",
                      agent->report->worker, task->number, run->job, run->occurrence,
                      run->step, run->index, run->run);
}

static void
withhold_ends (cb_batch_agent_t *agent, Cb__WorkerReport *lists)
{
  GArray *unread = g_array_new (FALSE, FALSE, sizeof (unread_end_t));
  size_t kept = 0;

  lists->unread_end = 0;
  agent->given_up_end = 0;
  for (size_t i = 0; i < lists->n_ended; i++)
    {
      Cb__EndedTask *task = lists->ended[i];

      if (task->how == CB__RUN_END__RUN_LOST)
        {
          unread_end_t end = find_unread (agent, task->number);
          uint64_t *first;

          if (!end.given_up &&
              cb_batch_now_ms () - end.since_ms >= CB_AGENT_UNREAD_ROW_MAX_MS)
            {
              end.given_up = TRUE;
              give_up_end (agent, task);
            }
          first = end.given_up ? &agent->given_up_end : &lists->unread_end;
          *first = *first == 0 ? task->number : *first;
          g_array_append_val (unread, end);
          if (!end.given_up)
            {
              cb_msg_free (task);
              continue;
            }
        }
      lists->ended[kept++] = task;
    }
  lists->n_ended = kept;
  g_array_unref (agent->unread_ends);
  agent->unread_ends = unread;
}

/* Removes from LISTS, which the worker has just returned, the ends that could not be
   read, unless they have been there unread for CB_AGENT_UNREAD_ROW_MAX_MS, and sets
   unread_end to the first that is removed. A row of a running task that has been unread
   for as long does not count in running_unread any more. */
void
cb_batch_agent_withhold_unread (cb_batch_agent_t *agent, Cb__WorkerReport *lists)
{
  cb_msec_t now_ms = cb_batch_now_ms ();

  withhold_ends (agent, lists);
  if (!lists->running_unread)
    {
      agent->running_unread_ms = 0;
      agent->running_given_up = FALSE;
      return;
    }
  if (agent->running_unread_ms == 0)
    agent->running_unread_ms = now_ms;
  if (now_ms - agent->running_unread_ms < CB_AGENT_UNREAD_ROW_MAX_MS)
    return;
  lists->running_unread = FALSE;
  if (agent->running_given_up)
    return;
  agent->running_given_up = TRUE;
  count_given_up (agent, "running");
  cb_event_unlimited (CB_LOG_WARN, "agent", "row_given_up", "list=running worker=%s",
                      agent->report->worker);
}
