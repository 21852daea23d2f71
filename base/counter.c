#include "base/fns.h"

#include <string.h>

struct cb_counters
{
  GTree *values; /* series text -> uint64_t */
};

static int
compare_series (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

/* Creates an empty set of counters. Freed with cb_counters_free. */
cb_counters_t *
cb_counters_new (void)
{
  cb_counters_t *counters = g_new0 (cb_counters_t, 1);

  counters->values = g_tree_new_full (compare_series, NULL, g_free, g_free);
  return counters;
}

void
cb_counters_free (cb_counters_t *counters)
{
  if (counters == NULL)
    return;
  g_tree_destroy (counters->values);
  g_free (counters);
}

static char *
series_text (const char *name, const char *label)
{
  if (label == NULL || *label == '\0')
    return g_strdup (name);
  return g_strdup_printf ("%s{%s}", name, label);
}

static uint64_t *
find_series (cb_counters_t *counters, const char *name, const char *label)
{
  char *series = series_text (name, label);
  uint64_t *value = g_tree_lookup (counters->values, series);

  if (value != NULL)
    {
      g_free (series);
      return value;
    }
  value = g_new0 (uint64_t, 1);
  g_tree_insert (counters->values, series, value);
  return value;
}

/* Adds BY to the series NAME{LABEL}, which starts at 0. LABEL has the form
   `reason="queue_full"` or is NULL. Adding 0 creates the series, so that it is
   exported with the value 0. */
void
cb_counters_add (cb_counters_t *counters, const char *name, const char *label,
                 uint64_t by)
{
  *find_series (counters, name, label) += by;
}

/* Sets the gauge NAME{LABEL} to VALUE. LABEL is as for cb_counters_add. */
void
cb_counters_set (cb_counters_t *counters, const char *name, const char *label,
                 uint64_t value)
{
  *find_series (counters, name, label) = value;
}

/* Upper bounds of the histogram buckets: 1 ms is a reply served from memory, 30 s
   covers the longest wait of urgent work and the longest shutdown. */
static const cb_msec_t bucket_bounds_ms[] = { 1,   5,    10,   25,   50,    100,  250,
                                              500, 1000, 2500, 5000, 10000, 30000 };

static void
add_to_bucket (cb_counters_t *counters, const char *name, const char *label,
               const char *bound, uint64_t by)
{
  gboolean bare = label == NULL || *label == '\0';
  char *bucket = g_strdup_printf ("%s_bucket", name);
  char *bounded =
      g_strdup_printf ("%s%sle=\"%s\"", bare ? "" : label, bare ? "" : ",", bound);

  cb_counters_add (counters, bucket, bounded, by);
  g_free (bounded);
  g_free (bucket);
}

/* Adds the duration TOOK_MS to the histogram NAME{LABEL}: cumulative buckets, sum and
   count, named as in the Prometheus text format. A negative duration, which a clock
   that was set back can give, counts as 0. */
void
cb_counters_observe (cb_counters_t *counters, const char *name, const char *label,
                     cb_msec_t took_ms)
{
  uint64_t ms = took_ms < 0 ? 0 : (uint64_t)took_ms;
  char *sum = g_strdup_printf ("%s_sum", name);
  char *count = g_strdup_printf ("%s_count", name);

  for (size_t i = 0; i < G_N_ELEMENTS (bucket_bounds_ms); i++)
    {
      char *bound = g_strdup_printf ("%" PRId64, bucket_bounds_ms[i]);

      add_to_bucket (counters, name, label, bound,
                     ms <= (uint64_t)bucket_bounds_ms[i] ? 1 : 0);
      g_free (bound);
    }
  add_to_bucket (counters, name, label, "+Inf", 1);
  cb_counters_add (counters, sum, label, ms);
  cb_counters_add (counters, count, label, 1);
  g_free (sum);
  g_free (count);
}

static gboolean
append_series (gpointer key, gpointer value, gpointer data)
{
  g_string_append_printf (data, "carobrun_%s %" G_GUINT64_FORMAT "\n",
                          (const char *)key, *(const uint64_t *)value);
  return FALSE;
}

/* Returns all series in the Prometheus text format, sorted, each name with the
   prefix carobrun_. The caller frees the text with g_free. */
char *
cb_counters_text (const cb_counters_t *counters)
{
  GString *text = g_string_new (NULL);

  g_tree_foreach (counters->values, append_series, text);
  return g_string_free (text, FALSE);
}
