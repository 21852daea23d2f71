#include "verify/fns.h"

/* Returns the identity of the work for which capacity is reclaimed, in the form of
   cb_verify_event_work_id. Freed with g_free. */
static char *
requesting_work (const cb_verify_event_t *event)
{
  return g_strdup_printf ("%s/%s", cb_verify_event_string (event, "for_account"),
                          cb_verify_event_string (event, "for_key"));
}

/* Adds a violation when the operation that WHAT describes took longer than BOUND_MS. */
static void
check_duration (const cb_verify_event_t *event, cb_msec_t took_ms, cb_msec_t bound_ms,
                const char *what, cb_verify_result_t *result)
{
  result->checked[1]++;
  if (took_ms > bound_ms)
    cb_verify_add_violation (result, "I1", event, "%s took %d ms, more than %d ms",
                             what, (int)took_ms, (int)bound_ms);
}

/* A job that is preempted to free capacity. */
typedef struct
{
  int64_t members_left; /* that still run; -1: unknown until the first one ends */
  cb_msec_t ended_ms;   /* valid when members_left is 0 */
} preempted_job_t;

/* A reclaim: the scheduler preempts jobs to free capacity for one job. It is open until
   its `reclaimed` event. */
typedef struct
{
  const cb_verify_event_t *begun;
  GHashTable *preempted; /* work -> preempted_job_t */
} reclaim_t;

static void
free_reclaim (gpointer data)
{
  reclaim_t *reclaim = data;

  g_hash_table_unref (reclaim->preempted);
  g_free (reclaim);
}

/* Adds the job of EVENT to those that are preempted for WORK. Opens a reclaim for WORK
   unless one is open. */
static void
add_preempted_job (GHashTable *open, const char *work, const cb_verify_event_t *event)
{
  reclaim_t *reclaim = g_hash_table_lookup (open, work);
  char *preempted_work = cb_verify_event_work_id (event);
  preempted_job_t *preempted;

  if (reclaim == NULL)
    {
      reclaim = g_new0 (reclaim_t, 1);
      reclaim->begun = event;
      reclaim->preempted =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (open, g_strdup (work), reclaim);
    }
  if (g_hash_table_contains (reclaim->preempted, preempted_work))
    {
      g_free (preempted_work);
      return;
    }
  preempted = g_new0 (preempted_job_t, 1);
  preempted->members_left = -1;
  g_hash_table_insert (reclaim->preempted, preempted_work, preempted);
}

/* Counts the task that ended in all reclaims that preempt its job. */
static void
end_task (GHashTable *open, const cb_verify_event_t *event)
{
  char *work = cb_verify_event_work_id (event);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      preempted_job_t *preempted =
          g_hash_table_lookup (((reclaim_t *)value)->preempted, work);

      if (preempted == NULL || preempted->members_left == 0)
        continue;
      if (preempted->members_left < 0)
        preempted->members_left = MAX (cb_verify_event_number (event, "members"), 1);
      if (--preempted->members_left == 0)
        preempted->ended_ms = event->t_ms;
    }
  g_free (work);
}

/* Returns the time at which the last preempted task ended, -1 while any still runs. */
static cb_msec_t
freed_ms (const reclaim_t *reclaim)
{
  cb_msec_t last_ms = -1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reclaim->preempted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const preempted_job_t *preempted = value;

      if (preempted->members_left != 0)
        return -1;
      last_ms = MAX (last_ms, preempted->ended_ms);
    }
  return last_ms;
}

/* Checks the reclaims without a `reclaimed` event. A scheduler that was killed writes
   none, and its successor finds the capacity free; the ends of the preempted tasks then
   give the time. */
static void
check_unfinished (GHashTable *open, cb_msec_t end_ms, const cb_verify_bounds_t *bounds,
                  cb_verify_result_t *result)
{
  GHashTableIter iter;
  gpointer work;
  gpointer value;

  g_hash_table_iter_init (&iter, open);
  while (g_hash_table_iter_next (&iter, &work, &value))
    {
      const reclaim_t *reclaim = value;
      cb_msec_t freed = freed_ms (reclaim);

      if (freed >= 0)
        check_duration (reclaim->begun, freed - reclaim->begun->t_ms,
                        bounds->reclaim_ms, "a reclaim", result);
      else if (end_ms - reclaim->begun->t_ms > bounds->reclaim_ms)
        cb_verify_add_violation (result, "I1", reclaim->begun,
                                 "the capacity for %s was never reclaimed",
                                 (const char *)work);
    }
}

/* I1: each reclaim ends within its bound, and urgent work starts within its bound by
   the scheduler's own measurement (`urgent_wait`). */
void
cb_verify_reclaim (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds,
                   cb_verify_result_t *result)
{
  GHashTable *open =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_reclaim);
  cb_msec_t end_ms = 0;

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      char *work = requesting_work (event);

      end_ms = event->t_ms;
      if (cb_verify_event_is (event, "reclaim"))
        add_preempted_job (open, work, event);
      else if (cb_verify_event_is (event, "task_end"))
        end_task (open, event);
      else if (cb_verify_event_is (event, "reclaimed") &&
               g_hash_table_contains (open, work))
        {
          const reclaim_t *reclaim = g_hash_table_lookup (open, work);

          check_duration (event, event->t_ms - reclaim->begun->t_ms, bounds->reclaim_ms,
                          "a reclaim", result);
          g_hash_table_remove (open, work);
        }
      else if (cb_verify_event_is (event, "urgent_wait"))
        check_duration (event, cb_verify_event_number (event, "took_ms"),
                        bounds->urgent_ms, "the start of urgent work", result);
      g_free (work);
    }
  check_unfinished (open, end_ms, bounds, result);
  g_hash_table_unref (open);
}
