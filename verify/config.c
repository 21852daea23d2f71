#include "verify/fns.h"

#include <string.h>

/* One incarnation of an entry or agent, from its start to its end. */
typedef struct
{
  const cb_verify_event_t *start;
  cb_msec_t end_ms;     /* of its `term` event, else of its last event */
  GPtrArray *applied;   /* of cb_verify_event_t, `config` and `config_stale` events */
  GPtrArray *decisions; /* of cb_verify_event_t, decisions about new work */
} incarnation_t;

static void
free_incarnation (gpointer data)
{
  incarnation_t *incarnation = data;

  g_ptr_array_free (incarnation->applied, TRUE);
  g_ptr_array_free (incarnation->decisions, TRUE);
  g_free (incarnation);
}

static gboolean
applies_config (const cb_verify_event_t *start)
{
  const char *role = cb_verify_event_string (start, "role");

  return strcmp (role, "entry") == 0 || strcmp (role, "agent") == 0;
}

/* TRUE when EVENT records a decision about new work, which depends on the
   configuration. A request that was accepted earlier completes under the version that
   was in effect then, so its later events do not count. */
static gboolean
is_work_decision (const cb_verify_event_t *event)
{
  return cb_verify_event_is (event, "req_accept") ||
         cb_verify_event_is (event, "job_accept") ||
         cb_verify_event_is (event, "reserve") ||
         cb_verify_event_is (event, "job_start");
}

/* Returns the incarnations of all entries and agents, of incarnation_t. */
static GPtrArray *
collect_incarnations (const cb_verify_events_t *events)
{
  GPtrArray *incarnations = g_ptr_array_new_with_free_func (free_incarnation);
  GHashTable *current = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      incarnation_t *incarnation = g_hash_table_lookup (current, event->process);

      if (cb_verify_event_is (event, "start") && applies_config (event))
        {
          incarnation = g_new0 (incarnation_t, 1);
          incarnation->start = event;
          incarnation->applied = g_ptr_array_new ();
          incarnation->decisions = g_ptr_array_new ();
          g_ptr_array_add (incarnations, incarnation);
          g_hash_table_insert (current, (gpointer)event->process, incarnation);
        }
      if (incarnation == NULL)
        continue;
      /* A process that was asked to terminate need not apply further versions. */
      if (cb_verify_event_is (event, "term"))
        g_hash_table_remove (current, event->process);
      incarnation->end_ms = event->t_ms;
      if (cb_verify_event_is (event, "config") ||
          cb_verify_event_is (event, "config_stale"))
        g_ptr_array_add (incarnation->applied, (gpointer)event);
      if (is_work_decision (event))
        g_ptr_array_add (incarnation->decisions, (gpointer)event);
    }
  g_hash_table_unref (current);
  return incarnations;
}

/* An entry that has detected that its version is stale may refuse work instead of
   applying VERSION. Returns TRUE when its last configuration event up to DUE_MS is
   `config_stale` and it makes no decision about work after DUE_MS until it applies
   VERSION or a later one. */
static gboolean
refuses_work (const incarnation_t *incarnation, int64_t version, cb_msec_t due_ms)
{
  cb_msec_t until_ms = G_MAXINT64;
  gboolean stale = FALSE;

  for (guint i = 0; i < incarnation->applied->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (incarnation->applied, i);

      if (event->t_ms <= due_ms)
        stale = cb_verify_event_is (event, "config_stale");
      else if (cb_verify_event_is (event, "config") &&
               cb_verify_event_number (event, "version") >= version)
        until_ms = MIN (until_ms, event->t_ms);
    }
  for (guint i = 0; stale && i < incarnation->decisions->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (incarnation->decisions, i);

      if (event->t_ms > due_ms && event->t_ms < until_ms)
        return FALSE;
    }
  return stale;
}

/* Checks that INCARNATION, if it ran from the event ACCEPTED of a version until
   config_ms after it, applied that version or a later one by then, or refuses work. */
static void
check_in_effect (const incarnation_t *incarnation, const cb_verify_event_t *accepted,
                 const cb_verify_bounds_t *bounds, cb_verify_result_t *result)
{
  cb_msec_t due_ms = accepted->t_ms + bounds->config_ms;
  int64_t version = cb_verify_event_number (accepted, "version");

  if (incarnation->start->t_ms > accepted->t_ms || incarnation->end_ms < due_ms)
    return;
  result->checked[8]++;
  for (guint i = 0; i < incarnation->applied->len; i++)
    {
      const cb_verify_event_t *applied = g_ptr_array_index (incarnation->applied, i);

      if (cb_verify_event_is (applied, "config") &&
          cb_verify_event_number (applied, "version") >= version &&
          applied->t_ms <= due_ms)
        return;
    }
  if (refuses_work (incarnation, version, due_ms))
    return;
  cb_verify_add_violation (
      result, "I8", accepted,
      "version %" G_GINT64_FORMAT " is not in effect in %s after %d ms", version,
      incarnation->start->process, (int)bounds->config_ms);
}

/* Checks that no process applies an older version after a newer one. */
static void
check_versions_increase (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *newest =
      g_hash_table_new (g_str_hash, g_str_equal); /* process -> event */

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      const cb_verify_event_t *previous;

      if (!cb_verify_event_is (event, "config"))
        continue;
      previous = g_hash_table_lookup (newest, event->process);
      if (previous != NULL && cb_verify_event_number (previous, "version") >
                                  cb_verify_event_number (event, "version"))
        cb_verify_add_violation (
            result, "I8", event,
            "%s went back from version %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
            event->process, cb_verify_event_number (previous, "version"),
            cb_verify_event_number (event, "version"));
      else
        g_hash_table_insert (newest, (gpointer)event->process, (gpointer)event);
    }
  g_hash_table_unref (newest);
}

/* Checks that two different changes were not accepted with the same base version, the
   one that a change was made to. Every entry traces each accepted change, because each
   applies the same records. Returns the first `config_accepted` event of each base
   version. */
static GPtrArray *
check_bases (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *by_base = g_hash_table_new (g_int64_hash, g_int64_equal);
  GPtrArray *accepted = g_ptr_array_new ();
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      const cb_verify_event_t *other;
      int64_t base;

      if (!cb_verify_event_is (event, "config_accepted"))
        continue;
      base = cb_verify_event_number (event, "base");
      other = g_hash_table_lookup (by_base, &base);
      if (other == NULL)
        {
          int64_t *key = g_memdup2 (&base, sizeof base);

          g_ptr_array_add (keys, key);
          g_ptr_array_add (accepted, (gpointer)event);
          g_hash_table_insert (by_base, key, (gpointer)event);
        }
      else if (cb_verify_event_number (other, "version") !=
               cb_verify_event_number (event, "version"))
        cb_verify_add_violation (result, "I8", event,
                                 "two versions are based on version %" G_GINT64_FORMAT,
                                 base);
    }
  g_hash_table_unref (by_base);
  g_ptr_array_free (keys, TRUE);
  return accepted;
}

/* I8: an accepted version is in effect in every running entry and agent within the
   bound, or the process has detected that its version is stale and refuses work from
   then on. No process goes back to an older version, not even over a restart. Of two
   changes with the same base only one is accepted. */
void
cb_verify_config (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds,
                  cb_verify_result_t *result)
{
  GPtrArray *incarnations = collect_incarnations (events);
  GPtrArray *accepted = check_bases (events, result);

  check_versions_increase (events, result);
  for (guint i = 0; i < accepted->len; i++)
    for (guint j = 0; j < incarnations->len; j++)
      check_in_effect (g_ptr_array_index (incarnations, j),
                       g_ptr_array_index (accepted, i), bounds, result);
  g_ptr_array_free (accepted, TRUE);
  g_ptr_array_free (incarnations, TRUE);
}
