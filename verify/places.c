#include "verify/fns.h"

/* Checks that the accelerators of a started task are free, and assigns them to it.
   HOLDERS maps "worker process:index" to the work that runs on the accelerator. */
static void
assign_accelerators (GHashTable *holders, const cb_verify_event_t *event,
                     cb_verify_result_t *result)
{
  json_t *accels = json_object_get (event->fields, "accels");
  size_t i;
  json_t *accel;

  json_array_foreach (accels, i, accel)
  {
    char *accel_id = g_strdup_printf ("%s:%" JSON_INTEGER_FORMAT, event->process,
                                      json_integer_value (accel));
    char *work = cb_verify_event_work_id (event);
    const char *holder = g_hash_table_lookup (holders, accel_id);

    if (holder != NULL)
      cb_verify_add_violation (result, "placement", event,
                               "accelerator %s was assigned to %s while %s ran on it",
                               accel_id, work, holder);
    g_hash_table_insert (holders, accel_id, work);
  }
}

static void
release_accelerators (GHashTable *holders, const cb_verify_event_t *event)
{
  json_t *accels = json_object_get (event->fields, "accels");
  size_t i;
  json_t *accel;

  json_array_foreach (accels, i, accel)
  {
    char *accel_id = g_strdup_printf ("%s:%" JSON_INTEGER_FORMAT, event->process,
                                      json_integer_value (accel));

    g_hash_table_remove (holders, accel_id);
    g_free (accel_id);
  }
}

static gboolean
belongs_to_process (gpointer accel_id, gpointer work, gpointer process)
{
  (void)work;
  return g_str_has_prefix (accel_id, process);
}

/* "placement": no accelerator of a worker runs two tasks at the same time. A worker
   that restarts has no tasks. */
void
cb_verify_placements (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *holders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);

      if (cb_verify_event_is (event, "worker_start"))
        assign_accelerators (holders, event, result);
      else if (cb_verify_event_is (event, "worker_end"))
        release_accelerators (holders, event);
      else if (cb_verify_event_is (event, "start"))
        {
          char *prefix = g_strdup_printf ("%s:", event->process);

          g_hash_table_foreach_remove (holders, belongs_to_process, prefix);
          g_free (prefix);
        }
    }
  g_hash_table_unref (holders);
}
