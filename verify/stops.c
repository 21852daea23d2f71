#include "verify/fns.h"

/* Returns the set of ids of the requests that PROCESS has started and not ended. OPEN
   maps each process to its set. */
static GHashTable *
open_requests (GHashTable *open, const char *process)
{
  GHashTable *ids = g_hash_table_lookup (open, process);

  if (ids == NULL)
    {
      ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (open, (gpointer)process, ids);
    }
  return ids;
}

/* Returns the identity of the request of EVENT in its process: account and key for
   agents and endpoints, the caller's id for entries. Freed with g_free. */
static char *
request_id (const cb_verify_event_t *event)
{
  if (cb_verify_event_is (event, "req_run") || cb_verify_event_is (event, "req_ran"))
    return cb_verify_event_work_id (event);
  if (cb_verify_event_is (event, "endpoint_run") ||
      cb_verify_event_is (event, "endpoint_done"))
    return cb_verify_event_work_id (event);
  return g_strdup_printf ("%" G_GINT64_FORMAT, cb_verify_event_number (event, "id"));
}

static void
end_request (GHashTable *open, const cb_verify_event_t *event)
{
  char *id = request_id (event);

  g_hash_table_remove (open_requests (open, event->process), id);
  g_free (id);
}

/* Checks that a process that was asked to terminate exits with no open request. */
static void
check_exit (GHashTable *open, GHashTable *terminating, const cb_verify_event_t *event,
            cb_verify_result_t *result)
{
  guint unfinished = g_hash_table_size (open_requests (open, event->process));

  if (!g_hash_table_contains (terminating, event->process))
    return;
  result->checked[7]++;
  if (unfinished > 0 || cb_verify_event_number (event, "in_flight") > 0)
    cb_verify_add_violation (
        result, "I7", event, "%s exited with %u unfinished requests", event->process,
        unfinished > 0 ? unfinished
                       : (guint)cb_verify_event_number (event, "in_flight"));
}

/* Discards the state of an earlier incarnation of PROCESS. */
static void
reset_process (GHashTable *open, GHashTable *terminating, const char *process)
{
  g_hash_table_remove (terminating, process);
  g_hash_table_remove_all (open_requests (open, process));
}

/* I7: a process that was asked to terminate ends every request that it has started
   before it exits, and interrupts none (`endpoint_cut`). A process that was killed
   traces no exit and is not checked. */
void
cb_verify_stops (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *open = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            (GDestroyNotify)g_hash_table_unref);
  GHashTable *terminating = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);

      if (cb_verify_event_is (event, "start"))
        reset_process (open, terminating, event->process);
      else if (cb_verify_event_is (event, "term"))
        g_hash_table_add (terminating, (gpointer)event->process);
      else if (cb_verify_event_is (event, "req_accept") ||
               cb_verify_event_is (event, "req_run") ||
               cb_verify_event_is (event, "endpoint_run"))
        g_hash_table_add (open_requests (open, event->process), request_id (event));
      else if (cb_verify_event_is (event, "req_answer") ||
               cb_verify_event_is (event, "req_refuse") ||
               cb_verify_event_is (event, "req_ran") ||
               cb_verify_event_is (event, "endpoint_done"))
        end_request (open, event);
      else if (cb_verify_event_is (event, "endpoint_cut") &&
               g_hash_table_contains (terminating, event->process))
        cb_verify_add_violation (result, "I7", event,
                                 "request %s was interrupted by a planned stop",
                                 cb_verify_event_string (event, "key"));
      else if (cb_verify_event_is (event, "exit"))
        check_exit (open, terminating, event, result);
    }
  g_hash_table_unref (open);
  g_hash_table_unref (terminating);
}
