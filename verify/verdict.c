/* Runs all checks and collects the violations. */
#include "verify/fns.h"

/* Sets BOUNDS to those of docs/design.md, sections 2 and 7. */
void
cb_verify_default_bounds (cb_verify_bounds_t *bounds)
{
  bounds->gang_ms = 10000;
  bounds->leaving_ms = 3000;
  bounds->config_ms = 11000;
  bounds->reclaim_ms = 2000;
  bounds->urgent_ms = 2800;
}

static void
free_violation (gpointer data)
{
  cb_violation_t *violation = data;

  g_free (violation->text);
  g_free (violation);
}

/* Adds a violation of INVARIANT, a string that is not copied, first shown by EVENT. */
void
cb_verify_add_violation (cb_verify_result_t *result, const char *invariant,
                         const cb_verify_event_t *event, const char *fmt, ...)
{
  cb_violation_t *violation = g_new0 (cb_violation_t, 1);
  va_list args;

  va_start (args, fmt);
  violation->text = g_strdup_vprintf (fmt, args);
  va_end (args);
  violation->invariant = invariant;
  violation->event = event;
  g_ptr_array_add (result->violations, violation);
}

static gint
compare_violations (gconstpointer a, gconstpointer b)
{
  const cb_verify_event_t *x = (*(cb_violation_t *const *)a)->event;
  const cb_verify_event_t *y = (*(cb_violation_t *const *)b)->event;

  if (x->t_ms != y->t_ms)
    return x->t_ms < y->t_ms ? -1 : 1;
  return (x->order > y->order) - (x->order < y->order);
}

/* Runs all checks on EVENTS, which must be sorted and must outlive the result. The
   violations are sorted by time. Freed with cb_verify_result_free. */
cb_verify_result_t *
cb_verify (const cb_verify_events_t *events, const cb_verify_bounds_t *bounds)
{
  cb_verify_result_t *result = g_new0 (cb_verify_result_t, 1);

  result->violations = g_ptr_array_new_with_free_func (free_violation);
  cb_verify_requests (events, result);
  cb_verify_gangs (events, bounds, result);
  cb_verify_placements (events, result);
  cb_verify_leaving (events, bounds, result);
  cb_verify_stops (events, result);
  cb_verify_config (events, bounds, result);
  cb_verify_reclaim (events, bounds, result);
  cb_verify_urgent (events, bounds, result);
  g_ptr_array_sort (result->violations, compare_violations);
  return result;
}

void
cb_verify_result_free (cb_verify_result_t *result)
{
  g_ptr_array_free (result->violations, TRUE);
  g_free (result);
}
