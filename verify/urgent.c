#include "verify/fns.h"

#include <string.h>

/* An urgent job of which no attempt has run with all its members yet. */
typedef struct
{
  const cb_verify_event_t *accepted;
  cb_msec_t since_ms;  /* time of its submission, or of the end of its last attempt */
  int64_t attempt;     /* to which `running` belongs */
  GHashTable *running; /* set of member + 1, the members that run in this attempt */
} urgent_job_t;

static void
free_urgent (gpointer data)
{
  urgent_job_t *urgent = data;

  g_hash_table_unref (urgent->running);
  g_free (urgent);
}

static void
add_urgent (GHashTable *open, const cb_verify_event_t *event)
{
  urgent_job_t *urgent = g_new0 (urgent_job_t, 1);
  cb_msec_t submitted_ms = cb_verify_event_number (event, "submitted_ms");

  urgent->accepted = event;
  urgent->since_ms = submitted_ms > 0 ? submitted_ms : event->t_ms;
  urgent->running = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_hash_table_insert (open, cb_verify_event_work_id (event), urgent);
}

static void
check_wait (const urgent_job_t *urgent, const char *work, cb_msec_t now_ms,
            const cb_verify_bounds_t *bounds, cb_verify_result_t *result)
{
  if (now_ms - urgent->since_ms > bounds->urgent_ms)
    cb_verify_add_violation (result, "I1", urgent->accepted,
                             "urgent job %s had not started after %d ms", work,
                             (int)bounds->urgent_ms);
}

/* Records that a member runs. Returns TRUE when all members of its attempt run. */
static gboolean
add_running_member (urgent_job_t *urgent, const cb_verify_event_t *event)
{
  int64_t attempt = cb_verify_event_number (event, "attempt");

  if (attempt != urgent->attempt)
    g_hash_table_remove_all (urgent->running);
  urgent->attempt = attempt;
  g_hash_table_add (urgent->running,
                    GUINT_TO_POINTER (cb_verify_event_number (event, "member") + 1));
  return g_hash_table_size (urgent->running) >=
         cb_verify_event_number (urgent->accepted, "members");
}

static void
handle_event (GHashTable *open, const cb_verify_event_t *event, const char *work,
              const cb_verify_bounds_t *bounds, cb_verify_result_t *result)
{
  urgent_job_t *urgent = g_hash_table_lookup (open, work);

  if (urgent == NULL)
    return;
  if (cb_verify_event_is (event, "task_running") ||
      cb_verify_event_is (event, "worker_start"))
    {
      if (!add_running_member (urgent, event))
        return;
      result->checked[1]++;
      check_wait (urgent, work, event->t_ms, bounds, result);
      g_hash_table_remove (open, work);
    }
  else if ((cb_verify_event_is (event, "task_end") ||
            cb_verify_event_is (event, "worker_end")) &&
           g_hash_table_size (urgent->running) > 0)
    {
      g_hash_table_remove_all (urgent->running);
      urgent->since_ms = event->t_ms;
    }
  else if (cb_verify_event_is (event, "urgent_lost") ||
           cb_verify_event_is (event, "job_end"))
    g_hash_table_remove (open, work);
}

/* I1: all members of an urgent job run within the bound after its submission, or after
   the end of an attempt of which only some members ran, unless `urgent_lost`
   gives the reason why it is no longer urgent. The scheduler's own measurement
   (`urgent_wait`) is not used here, because a scheduler that takes over counts from its
   own start. */
void
cb_verify_urgent (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds,
                  cb_verify_result_t *result)
{
  GHashTable *open =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_urgent);
  cb_msec_t end_ms = 0;
  GHashTableIter iter;
  gpointer id;
  gpointer urgent;

  /* A first pass, because the entry that accepted a job may trace that after the job
     has started. */
  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);

      if (cb_verify_event_is (event, "job_accept") &&
          cb_verify_event_number (event, "urgent") != 0)
        add_urgent (open, event);
    }
  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      char *work = cb_verify_event_work_id (event);

      end_ms = event->t_ms;
      handle_event (open, event, work, bounds, result);
      g_free (work);
    }
  g_hash_table_iter_init (&iter, open);
  while (g_hash_table_iter_next (&iter, &id, &urgent))
    {
      result->checked[1]++;
      check_wait (urgent, id, end_ms, bounds, result);
    }
  g_hash_table_unref (open);
}
