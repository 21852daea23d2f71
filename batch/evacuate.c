/* Availability zones that the operator evacuates: their workers get no new work, and
   what runs there ends by itself. Answers days on which whole zones are evacuated while
   they are in use: work runs there, and starts are on their way to their workers. */
#include "batch/local.h"

/* TRUE when the operator evacuates the availability zone of W. A worker whose zone is
   not known is in none. */
gboolean
is_evacuated (const cb_batch_t *b, const worker_t *w)
{
  return g_hash_table_size (b->evacuated) > 0 &&
         g_hash_table_contains (b->evacuated, w->zone);
}

/* TRUE when W may be sent starts now. */
gboolean
may_get_starts (const cb_batch_t *b, const worker_t *w)
{
  return !b->starts_held && !is_evacuated (b, w);
}

/* Returns how many of the workers that report are in evacuated zones. */
uint32_t
evacuated_workers (const cb_batch_t *b)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;

      count += w->reporting && !w->terminated && is_evacuated (b, w);
    }
  return count;
}

/* Stops the runs on W that the log has and that no report has shown yet, if W is in an
   evacuated zone, so that they start elsewhere; a gang as a whole. Waits for a report
   of all runs of W: to a new scheduler none is shown before. */
void
stop_evacuated_starts (cb_batch_t *b, worker_t *w, cb_msec_t now_ms)
{
  if (b->own_epoch == 0 || !w->reporting || w->terminated || !w->all_listed ||
      !is_evacuated (b, w))
    return;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      task_t *task = w->tasks->pdata[i];

      if (task->state != TASK_STARTED || task->reported || task->stop_requested ||
          task->proposed_end)
        continue;
      stop_task (b, task, now_ms, "evacuated");
      if (b->params.counters != NULL)
        cb_counters_add (b->params.counters, "evacuated_starts_total", NULL, 1);
    }
}

static void
stop_all_evacuated_starts (cb_batch_t *b, cb_msec_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    stop_evacuated_starts (b, value, now_ms);
}

/* Logs that ZONE is EVACUATED or not any more, and sets its metric. The characters of
   its name that could end the metric's label become underscores. */
static void
note_change (const cb_batch_t *b, const char *zone, gboolean evacuated)
{
  char *name = g_strdup (zone);
  char *label;
  GHashTableIter iter;
  gpointer value;
  uint32_t workers = 0;
  uint32_t runs = 0;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *w = value;
      gboolean inside = !w->terminated && g_strcmp0 (w->zone, zone) == 0;

      workers += inside;
      runs += inside ? w->tasks->len : 0;
    }
  g_strcanon (name, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.:/", '_');
  /* workers, runs: those that this process knows there. */
  cb_event_unlimited (
      CB_LOG_INFO, "batch", evacuated ? "zone_evacuated" : "zone_restored",
      "zone=%s workers=%u runs=%u epoch=%" PRIu64, name, workers, runs, b->own_epoch);
  label = g_strdup_printf ("zone=\"%s\"", name);
  if (b->params.counters != NULL)
    cb_counters_set (b->params.counters, "zone_evacuated", label, evacuated);
  g_free (label);
  g_free (name);
}

/* Lets the rounds of all steps be computed anew for the workers that are usable now. */
static void
forget_waves (cb_batch_t *b)
{
  for (GList *l = b->job_list.head; l != NULL; l = l->next)
    {
      job_t *job = l->data;

      for (uint32_t k = 0; k < job->n_occurrences; k++)
        for (size_t i = 0; i < job->spec->n_steps; i++)
          job->occurrences[k].steps[i].waves = 0;
    }
}

/* Logs the zones that OLD has and NEXT lacks as EVACUATED or not. Returns their
   number. */
static uint32_t
note_differences (const cb_batch_t *b, GHashTable *old, GHashTable *next,
                  gboolean evacuated)
{
  GHashTableIter iter;
  gpointer zone;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    if (!g_hash_table_contains (next, zone))
      {
        note_change (b, zone, evacuated);
        count++;
      }
  return count;
}

/* Replaces the set of evacuated zones by ZONES, which ends with NULL; they are copied.
   No work is placed in these zones from now on. Starts there that no report has shown
   yet are stopped. Every entry calls this, whether it is the scheduler or not. */
void
cb_batch_set_evacuated (cb_batch_t *b, const char *const *zones, cb_msec_t now_ms)
{
  GHashTable *next = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uint32_t changes;

  for (size_t i = 0; zones[i] != NULL; i++)
    if (zones[i][0] != '\0')
      g_hash_table_add (next, g_strdup (zones[i]));
  changes = note_differences (b, next, b->evacuated, TRUE) +
            note_differences (b, b->evacuated, next, FALSE);
  g_hash_table_unref (b->evacuated);
  b->evacuated = next;
  if (changes == 0)
    return;
  b->dirty = TRUE;
  forget_waves (b);
  stop_all_evacuated_starts (b, now_ms);
}

/* With HOLD, nothing is placed and no start is sent to a worker, until a call without
   it: the caller does not know at present which zones are evacuated. */
void
cb_batch_hold_starts (cb_batch_t *b, gboolean hold)
{
  b->dirty = b->dirty || (b->starts_held && !hold);
  b->starts_held = hold;
}
