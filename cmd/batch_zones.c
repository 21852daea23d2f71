/* Follows which availability zones the operator evacuates: keys of the topic that
   batch_config.c reads. */
#include "cmd/batch.h"

#include <string.h>

/* Part of the setting evacuate_ms that is left for a start to get from the scheduler to
   its worker: the agent gives up a call to the worker after 900 ms. At most half. */
#define START_TRAVEL_MS 1000
/* A read waits for changes for at most this share of evacuate_ms: while the store is
   slow or a read fails, the next one must succeed in time. */
#define READ_WAIT_DIVISOR 6

/* What the topic says of one zone. */
typedef struct
{
  uint64_t offset; /* of the newest record of its key */
  gboolean evacuated;
  uint64_t list; /* number of the latest list that shows the key */
} zone_t;

static const zone_t *
find_zone (const cb_batch_entry_t *entry, const char *name)
{
  return entry->zones == NULL ? NULL : g_hash_table_lookup (entry->zones, name);
}

/* Hands the evacuated zones over to the scheduler's state: after a change, and when
   that state was created anew. */
void
cb_batch_zones_publish (const cb_batch_entry_t *entry)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (entry->zones != NULL)
    {
      g_hash_table_iter_init (&iter, entry->zones);
      while (g_hash_table_iter_next (&iter, &name, &value))
        if (((const zone_t *)value)->evacuated)
          g_ptr_array_add (names, name);
    }
  g_ptr_array_add (names, NULL);
  cb_batch_set_evacuated (entry->batch, (const char *const *)names->pdata,
                          cb_batch_now_ms ());
  g_ptr_array_free (names, TRUE);
}

/* Applies ITEM of the operator's topic if its key is about a zone. LISTED: from a list
   of the newest items; otherwise a change, which has no effect when an item that was
   listed is newer. Any value evacuates the zone, and a record without one restores
   it. */
void
cb_batch_zones_apply (cb_batch_entry_t *entry, const cb_store_item_t *item,
                      gboolean listed)
{
  const char *name = cb_platform_evacuated_zone (item->key);
  const zone_t *known;
  zone_t *zone;

  if (name == NULL)
    return;
  if (name[0] == '\0')
    {
      cb_event (CB_LOG_WARN, "entry", "zone_ignored", "offset=%" PRIu64, item->offset);
      return;
    }
  known = find_zone (entry, name);
  if (!listed && known != NULL && item->offset <= known->offset)
    return;
  if (entry->zones == NULL)
    entry->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  zone = g_new0 (zone_t, 1);
  zone->offset = item->offset;
  zone->evacuated = item->value_bytes > 0;
  zone->list = entry->zone_lists;
  g_hash_table_replace (entry->zones, g_strdup (name), zone);
}

static gboolean
is_unlisted (gpointer name, gpointer value, gpointer list)
{
  (void)name;
  return ((const zone_t *)value)->list != *(const uint64_t *)list;
}

/* To be called before the first page of a list of the topic's newest items. */
void
cb_batch_zones_begin_list (cb_batch_entry_t *entry)
{
  entry->zone_lists++;
}

/* To be called after the last page of a list: zones that it does not show are not
   evacuated, as their records have been deleted. */
void
cb_batch_zones_end_list (cb_batch_entry_t *entry)
{
  if (entry->zones != NULL)
    g_hash_table_foreach_remove (entry->zones, is_unlisted, &entry->zone_lists);
  entry->zones_listed = TRUE;
}

/* Returns how old the last successful read of the topic may be, counted from when it
   was sent, while work is placed; 0: any age. */
static cb_msec_t
read_age_max_ms (const cb_batch_entry_t *entry)
{
  cb_msec_t bound_ms = (cb_msec_t)entry->settings->evacuate_ms;

  return bound_ms - MIN (START_TRAVEL_MS, bound_ms / 2);
}

/* Returns WAIT_MS, the time for which a read of the topic may wait for changes, limited
   to what the setting evacuate_ms allows. */
cb_msec_t
cb_batch_zones_wait_ms (const cb_batch_entry_t *entry, cb_msec_t wait_ms)
{
  cb_msec_t bound_ms = (cb_msec_t)entry->settings->evacuate_ms;

  return bound_ms > 0 ? MIN (wait_ms, bound_ms / READ_WAIT_DIVISOR) : wait_ms;
}

/* Lets the scheduler start nothing while it does not know which zones are evacuated:
   before it has listed the topic, and, with the setting evacuate_ms, while its last
   successful read of the topic is too old. */
void
cb_batch_zones_check (cb_batch_entry_t *entry, cb_msec_t now_ms)
{
  cb_msec_t age_max_ms = read_age_max_ms (entry);
  cb_msec_t age_ms = now_ms - entry->config_read_ms;
  gboolean hold = !entry->zones_listed || (age_max_ms > 0 && age_ms > age_max_ms);

  cb_batch_hold_starts (entry->batch, hold);
  if (hold == entry->starts_held)
    return;
  entry->starts_held = hold;
  cb_counters_set (entry->counters, "starts_held", NULL, hold);
  /* read_age_ms: since the last successful read of the topic was sent. */
  cb_event (hold ? CB_LOG_WARN : CB_LOG_INFO, "entry",
            hold ? "starts_held" : "starts_released",
            "listed=%d read_age_ms=%" PRId64 " epoch=%" PRIu64, entry->zones_listed,
            entry->zones_listed ? age_ms : 0, entry->own_epoch);
}
