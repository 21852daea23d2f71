#include "verify/fns.h"

#include <string.h>

typedef enum
{
  MEMBER_ABSENT, /* not started, failed or stopped */
  MEMBER_RUNNING,
  MEMBER_DONE, /* completed successfully */
} member_state_t;

/* One attempt of a gang job, from the events of the workers if they wrote a trace, else
   from those of the agents. */
typedef struct
{
  uint32_t members;                       /* in the whole gang */
  GHashTable *states;                     /* member + 1 -> member_state_t */
  const cb_verify_event_t *partial_since; /* NULL while not partial, see is_partial */
  gboolean reported;                      /* as a violation */
  gboolean from_workers;                  /* the workers' events are used */
} attempt_t;

static void
free_attempt (gpointer data)
{
  attempt_t *attempt = data;

  g_hash_table_unref (attempt->states);
  g_free (attempt);
}

static attempt_t *
find_attempt (GHashTable *attempts, const cb_verify_event_t *event)
{
  char *work = cb_verify_event_work_id (event);
  char *id = g_strdup_printf ("%s#%" G_GINT64_FORMAT, work,
                              cb_verify_event_number (event, "attempt"));
  attempt_t *attempt = g_hash_table_lookup (attempts, id);

  g_free (work);
  if (attempt != NULL)
    {
      g_free (id);
      return attempt;
    }
  attempt = g_new0 (attempt_t, 1);
  attempt->states = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_hash_table_insert (attempts, id, attempt);
  return attempt;
}

/* TRUE when a member runs while another one is absent. */
static gboolean
is_partial (const attempt_t *attempt)
{
  GHashTableIter iter;
  gpointer state;
  uint32_t present = 0;
  uint32_t running = 0;

  g_hash_table_iter_init (&iter, attempt->states);
  while (g_hash_table_iter_next (&iter, NULL, &state))
    {
      running += GPOINTER_TO_UINT (state) == MEMBER_RUNNING;
      present += GPOINTER_TO_UINT (state) != MEMBER_ABSENT;
    }
  return running > 0 && present < attempt->members;
}

/* Reports ATTEMPT, once, when it has been partial for longer than the bound. */
static void
check_partial_time (attempt_t *attempt, const char *work, cb_msec_t now_ms,
                    const cb_verify_bounds_t *bounds, cb_verify_result_t *result)
{
  if (attempt->partial_since == NULL || attempt->reported ||
      now_ms - attempt->partial_since->t_ms <= bounds->gang_ms)
    return;
  attempt->reported = TRUE;
  cb_verify_add_violation (
      result, "I2", attempt->partial_since,
      "gang %s ran with only part of its %u members for more than %d ms", work,
      attempt->members, (int)bounds->gang_ms);
}

static member_state_t
state_after (const cb_verify_event_t *event)
{
  if (cb_verify_event_is (event, "worker_start") ||
      cb_verify_event_is (event, "task_running"))
    return MEMBER_RUNNING;
  return strcmp (cb_verify_event_string (event, "state"), "done") == 0 ? MEMBER_DONE
                                                                       : MEMBER_ABSENT;
}

/* Applies EVENT, which changes a member's state, if it comes from the side, workers or
   agents, whose events are used for the attempt. */
static void
update_member (GHashTable *attempts, const cb_verify_event_t *event,
               const cb_verify_bounds_t *bounds, cb_verify_result_t *result)
{
  gboolean worker = g_str_has_prefix (event->name, "worker_");
  attempt_t *attempt = find_attempt (attempts, event);
  char *work = cb_verify_event_work_id (event);

  if (worker == attempt->from_workers)
    {
      check_partial_time (attempt, work, event->t_ms, bounds, result);
      g_hash_table_insert (
          attempt->states,
          GUINT_TO_POINTER (cb_verify_event_number (event, "member") + 1),
          GUINT_TO_POINTER (state_after (event)));
      if (!is_partial (attempt))
        attempt->partial_since = NULL;
      else if (attempt->partial_since == NULL)
        attempt->partial_since = event;
    }
  g_free (work);
}

/* `job_start` lists its members, `task_start` gives their number. */
static uint32_t
member_count (const cb_verify_event_t *event)
{
  const json_t *members = json_object_get (event->fields, "members");

  if (json_is_array (members))
    return (uint32_t)json_array_size (members);
  return (uint32_t)cb_verify_event_number (event, "members");
}

/* Finds the size of each attempt, and whether the workers wrote a trace of it. */
static void
scan_attempts (GHashTable *attempts, const cb_verify_events_t *events)
{
  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);

      if (cb_verify_event_is (event, "job_start") ||
          cb_verify_event_is (event, "task_start"))
        find_attempt (attempts, event)->members = member_count (event);
      if (cb_verify_event_is (event, "worker_start"))
        find_attempt (attempts, event)->from_workers = TRUE;
    }
}

static gboolean
changes_member (const cb_verify_event_t *event)
{
  return cb_verify_event_is (event, "worker_start") ||
         cb_verify_event_is (event, "worker_end") ||
         cb_verify_event_is (event, "task_running") ||
         cb_verify_event_is (event, "task_end");
}

/* I2: no attempt of a gang runs with only part of its members for longer than the
   bound. The events of the workers are used where they wrote a trace, because an agent
   that was killed does not trace the end of its tasks. */
void
cb_verify_gangs (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds,
                 cb_verify_result_t *result)
{
  GHashTable *attempts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_attempt);
  cb_msec_t end_ms = 0;
  GHashTableIter iter;
  gpointer id;
  gpointer attempt;

  scan_attempts (attempts, events);
  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);

      end_ms = event->t_ms;
      if (changes_member (event))
        update_member (attempts, event, bounds, result);
    }
  g_hash_table_iter_init (&iter, attempts);
  while (g_hash_table_iter_next (&iter, &id, &attempt))
    {
      result->checked[2]++;
      check_partial_time (attempt, id, end_ms, bounds, result);
    }
  g_hash_table_unref (attempts);
}
