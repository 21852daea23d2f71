#include "verify/fns.h"

#include <string.h>

/* I6: after its `leaving` event an agent runs no new request, and after the bound no
   entry sends it a request, until the agent restarts or its drain ends. */
void
cb_verify_leaving (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds,
                   cb_verify_result_t *result)
{
  /* process -> its first `leaving` event since its start or the end of its drain */
  GHashTable *leaving_events = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      const cb_verify_event_t *leaving;

      if (cb_verify_event_is (event, "leaving"))
        {
          if (!g_hash_table_contains (leaving_events, event->process))
            g_hash_table_insert (leaving_events, (gpointer)event->process,
                                 (gpointer)event);
          result->checked[6]++;
        }
      else if (cb_verify_event_is (event, "start") ||
               (cb_verify_event_is (event, "drain") &&
                cb_verify_event_number (event, "on") == 0))
        g_hash_table_remove (leaving_events, event->process);
      else if (cb_verify_event_is (event, "req_run"))
        {
          leaving = g_hash_table_lookup (leaving_events, event->process);
          if (leaving != NULL)
            cb_verify_add_violation (result, "I6", event,
                                     "%s ran a new request after its leaving event",
                                     event->process);
        }
      else if (cb_verify_event_is (event, "req_dispatch"))
        {
          leaving = g_hash_table_lookup (leaving_events,
                                         cb_verify_event_string (event, "agent"));
          if (leaving != NULL && event->t_ms - leaving->t_ms > bounds->leaving_ms)
            cb_verify_add_violation (
                result, "I6", event,
                "%s was sent a request %d ms after its leaving event",
                cb_verify_event_string (event, "agent"),
                (int)(event->t_ms - leaving->t_ms));
        }
    }
  g_hash_table_unref (leaving_events);
}
