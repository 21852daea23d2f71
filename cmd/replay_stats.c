/* The measures of a replay: collection, output and comparison with stated outcomes,
   the bounds for measures in the file of --expect. */
#include "cmd/replay.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
free_durations (void *durations)
{
  g_array_free (durations, TRUE);
}

void
cb_replay_stats_init (cb_replay_stats_t *stats)
{
  memset (stats, 0, sizeof *stats);
  stats->refused = g_tree_new_full (compare_names, NULL, g_free, NULL);
  stats->urgent_lost = g_tree_new_full (compare_names, NULL, g_free, NULL);
  stats->refused_jobs = g_tree_new_full (compare_names, NULL, g_free, g_free);
  stats->max_starts = g_tree_new_full (compare_names, NULL, g_free, NULL);
  stats->max_reclaim_ms = g_tree_new_full (compare_names, NULL, g_free, NULL);
  stats->completion_ms = g_tree_new_full (compare_names, NULL, g_free, free_durations);
  stats->large_wait_ms = g_array_new (FALSE, FALSE, sizeof (double));
  stats->urgent_start_ms = g_array_new (FALSE, FALSE, sizeof (double));
  stats->reclaim_ms = g_array_new (FALSE, FALSE, sizeof (double));
}

void
cb_replay_stats_clear (cb_replay_stats_t *stats)
{
  g_tree_unref (stats->refused);
  g_tree_unref (stats->urgent_lost);
  g_tree_unref (stats->refused_jobs);
  g_tree_unref (stats->max_starts);
  g_tree_unref (stats->max_reclaim_ms);
  g_tree_unref (stats->completion_ms);
  g_array_free (stats->large_wait_ms, TRUE);
  g_array_free (stats->urgent_start_ms, TRUE);
  g_array_free (stats->reclaim_ms, TRUE);
  g_free (stats->first_violation);
}

static void
add_duration (GTree *tree, const char *name, double value)
{
  cb_durations_t *durations = g_tree_lookup (tree, name);

  if (durations == NULL)
    {
      durations = g_array_new (FALSE, FALSE, sizeof (double));
      g_tree_insert (tree, g_strdup (name), durations);
    }
  g_array_append_val (durations, value);
}

/* Adds a job that was done TOOK_MS after its submission. */
void
cb_replay_record_completed (cb_replay_stats_t *stats, const Cb__Job *job,
                            cb_msec_t took_ms)
{
  char *name = g_strdup_printf ("%s/%s", job->account, job->kind);

  stats->done++;
  add_duration (stats->completion_ms, "all", (double)took_ms);
  add_duration (stats->completion_ms, name, (double)took_ms);
  g_free (name);
}

/* Increments the count of REASON. */
void
cb_replay_increment (GTree *counts, const char *reason)
{
  guint count = GPOINTER_TO_UINT (g_tree_lookup (counts, reason));

  g_tree_insert (counts, g_strdup (reason), GUINT_TO_POINTER (count + 1));
}

/* Sets the value of NAME in VALUES to VALUE if VALUE is larger than the present one, or
   than 0 if there is none. */
void
cb_replay_record_max (GTree *values, const char *name, guint value)
{
  if (value > GPOINTER_TO_UINT (g_tree_lookup (values, name)))
    g_tree_insert (values, g_strdup (name), GUINT_TO_POINTER (value));
}

static gint
compare_double (gconstpointer a, gconstpointer b)
{
  const double *x = a;
  const double *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the P-th percentile by the nearest-rank method, 0 without values. */
static double
percentile (const cb_durations_t *sorted, double p)
{
  guint n = sorted->len;
  guint rank = (guint)ceil (n * p / 100);

  return n == 0 ? 0 : g_array_index (sorted, double, MAX (rank, 1) - 1);
}

/* Returns count, mean and percentiles; sorts DURATIONS. */
static json_t *
summarize (cb_durations_t *durations)
{
  double sum = 0;

  g_array_sort (durations, compare_double);
  for (guint i = 0; i < durations->len; i++)
    sum += g_array_index (durations, double, i);
  return json_pack ("{s:i,s:f,s:f,s:f,s:f,s:f}", "count", (int)durations->len, "mean",
                    durations->len == 0 ? 0 : round (sum / durations->len), "p50",
                    percentile (durations, 50), "p95", percentile (durations, 95),
                    "p99", percentile (durations, 99), "max",
                    percentile (durations, 100));
}

static gboolean
add_summary (gpointer key, gpointer value, gpointer object)
{
  json_object_set_new (object, key, summarize (value));
  return FALSE;
}

static gboolean
add_count (gpointer key, gpointer value, gpointer object)
{
  json_object_set_new (object, key, json_integer (GPOINTER_TO_UINT (value)));
  return FALSE;
}

static gboolean
add_text (gpointer key, gpointer value, gpointer object)
{
  json_object_set_new (object, key, json_string (value));
  return FALSE;
}

static json_t *
counts_to_json (GTree *values)
{
  json_t *object = json_object ();

  g_tree_foreach (values, add_count, object);
  return object;
}

/* Returns the measures, which docs/measures.md describes, as a JSON object, freed with
   json_decref. */
json_t *
cb_replay_result (const cb_replay_stats_t *stats, const char *policy)
{
  json_t *refused_jobs = json_object ();
  json_t *completion = json_object ();
  double n = MAX (1, stats->sample_count);

  g_tree_foreach (stats->refused_jobs, add_text, refused_jobs);
  g_tree_foreach (stats->completion_ms, add_summary, completion);
  return json_pack (
      "{s:s,s:{s:i,s:i,s:i,s:i,s:i,s:i},s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:f,s:f,s:"
      "i}",
      "policy", policy, "jobs", "submitted", (int)stats->submitted, "done",
      (int)stats->done, "failed", (int)stats->failed, "canceled", (int)stats->canceled,
      "unknown", (int)stats->unknown, "unfinished", (int)stats->unfinished, "refused",
      counts_to_json (stats->refused), "refused_jobs", refused_jobs, "urgent_lost",
      counts_to_json (stats->urgent_lost), "runs_max",
      counts_to_json (stats->max_starts), "completion_ms", completion, "large_wait_ms",
      summarize (stats->large_wait_ms), "urgent_start_ms",
      summarize (stats->urgent_start_ms), "reclaim_ms", summarize (stats->reclaim_ms),
      "reclaim_max_ms", counts_to_json (stats->max_reclaim_ms), "utilisation",
      stats->utilisation_sum / n, "fragmentation", stats->fragmentation_sum / n,
      "violations", (int)stats->violation_count);
}

/* Prints one measure per line; the names of nested objects are joined by dots. */
void
cb_replay_print (const json_t *result, const char *prefix)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)result, name, value)
  {
    char *path =
        *prefix == '\0' ? g_strdup (name) : g_strdup_printf ("%s.%s", prefix, name);

    if (json_is_object (value))
      cb_replay_print (value, path);
    else if (json_is_string (value))
      printf ("%s %s\n", path, json_string_value (value));
    else if (json_is_integer (value))
      printf ("%s %lld\n", path, (long long)json_integer_value (value));
    else
      printf ("%s %.4g\n", path, json_real_value (value));
    g_free (path);
  }
}

/* Returns the value at PATH, names joined by dots, or NULL. */
static const json_t *
lookup_path (const json_t *object, const char *path)
{
  char **parts = g_strsplit (path, ".", -1);

  for (int i = 0; parts[i] != NULL && object != NULL; i++)
    object = json_object_get (object, parts[i]);
  g_strfreev (parts);
  return object;
}

/* Returns TRUE when VALUE satisfies BOUNDS; VALUE is NULL when it was not measured. */
static gboolean
satisfies_bounds (const json_t *value, const json_t *bounds)
{
  const json_t *min = json_object_get (bounds, "min");
  const json_t *max = json_object_get (bounds, "max");
  json_t *equals = json_object_get (bounds, "equals");

  if (equals != NULL)
    return json_equal ((json_t *)value, equals);
  return json_is_number (value) && (min != NULL || max != NULL) &&
         (min == NULL || json_number_value (value) >= json_number_value (min)) &&
         (max == NULL || json_number_value (value) <= json_number_value (max));
}

/* Compares RESULT with the stated outcomes in the JSON file PATH, whose members are
   `"MEASURE": {"min": N, "max": N}` (one of the two is enough) or `"MEASURE":
   {"equals": VALUE}`. Returns the number of measures that differ, each reported on
   stderr with its measured value, or CB_ERR_INVALID when the file is not an object with
   at least one member. */
int
cb_replay_check_outcomes (const json_t *result, const char *path)
{
  json_error_t error;
  json_t *expected = json_load_file (path, 0, &error);
  const char *name;
  json_t *bounds;
  int wrong = 0;

  if (!json_is_object (expected) || json_object_size (expected) == 0)
    {
      fprintf (stderr, "carobrun replay: %s: not a JSON object of stated outcomes\n",
               path);
      json_decref (expected);
      return CB_ERR_INVALID;
    }
  json_object_foreach (expected, name, bounds)
  {
    const json_t *value = lookup_path (result, name);
    char *text;

    if (satisfies_bounds (value, bounds))
      continue;
    text = value == NULL ? NULL : json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    fprintf (stderr, "carobrun replay: %s: not as stated: measured %s\n", name,
             text == NULL ? "nothing" : text);
    free (text);
    wrong++;
  }
  json_decref (expected);
  return wrong;
}
