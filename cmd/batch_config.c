/* Follows the operator's keyed topic, from which the store can list the newest record
   of each key: the configuration, and the zones that are evacuated (batch_zones.c). */
#include "cmd/batch.h"

#include <string.h>

/* A read waits up to this long for a change, so that an unresponsive connection is
   detected within twice this time, which is within the time limit for a new
   configuration to take effect. */
#define READ_WAIT_MS 800
/* Pause after a failed read. */
#define READ_RETRY_MS 150

typedef struct
{
  cb_batch_entry_t *entry;
  gboolean list;       /* reads the current items, not the changes since an offset */
  gboolean first_page; /* of the current items */
  cb_msec_t sent_ms;
} read_t;

static void read_config (void *ctx);

static void
apply_config (cb_batch_entry_t *entry, const cb_store_item_t *item)
{
  cb_batch_config_t *config = NULL;

  if (strcmp (item->key, cb_platform_config_key) != 0 || item->value == NULL)
    return;
  if (cb_platform_config_read (item->value, item->value_bytes, &config) < 0)
    {
      cb_event_unlimited (CB_LOG_ERROR, "entry", "config_unreadable",
                          "offset=%" PRIu64 " bytes=%zu", item->offset,
                          item->value_bytes);
      return;
    }
  if (entry->config != NULL && config->version <= entry->config->version)
    {
      if (config->version < entry->config->version)
        cb_event_unlimited (CB_LOG_WARN, "entry", "config_ignored",
                            "version=%" PRIu64 " in_force=%" PRIu64 " offset=%" PRIu64,
                            config->version, entry->config->version, item->offset);
      cb_batch_config_unref (config);
      return;
    }
  cb_event_unlimited (CB_LOG_INFO, "entry", "config_in_force",
                      "version=%" PRIu64 " offset=%" PRIu64 " queues=%u accounts=%u",
                      config->version, item->offset, config->queues->len,
                      config->accounts->len);
  cb_batch_config_unref (entry->config);
  entry->config = config;
  cb_batch_set_config (entry->batch, config);
  cb_batch_http_limit (entry);
}

static void
on_items (void *ctx, int err, const cb_store_item_t *items, size_t count, gboolean more,
          uint64_t next)
{
  read_t *read = ctx;
  cb_batch_entry_t *entry = read->entry;

  entry->config_read_failed = err < 0;
  if (err < 0)
    {
      g_free (read);
      if (err == CB_PLATFORM_EXPIRED)
        entry->config_listed = FALSE;
      cb_timer_free (entry->config_retry_timer);
      entry->config_retry_timer =
          cb_timer_new (entry->loop, READ_RETRY_MS, 0, read_config, entry);
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      apply_config (entry, &items[i]);
      cb_batch_zones_apply (entry, &items[i], read->list);
    }
  if (count > 0)
    cb_batch_zones_publish (entry);
  /* A list is read page by page, so the configuration can change in between. Such
     changes are found by reading on from the offset that the first page gives. */
  if (!read->list || read->first_page)
    entry->config_next_offset = next;
  if (read->list && more && count > 0)
    {
      read->first_page = FALSE;
      cb_store_read_newest (entry->store, cb_platform_config_topic,
                            items[count - 1].key, on_items, read);
      return;
    }
  if (read->list)
    {
      cb_batch_zones_end_list (entry);
      cb_batch_zones_publish (entry);
    }
  entry->config_listed = TRUE;
  entry->config_read_ms = read->sent_ms;
  g_free (read);
  read_config (entry);
}

static void
read_config (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  read_t *read = g_new0 (read_t, 1);

  cb_timer_free (entry->config_retry_timer);
  entry->config_retry_timer = NULL;
  read->entry = entry;
  read->list = !entry->config_listed;
  read->first_page = TRUE;
  read->sent_ms = cb_batch_now_ms ();
  if (read->list)
    {
      cb_batch_zones_begin_list (entry);
      cb_store_read_newest (entry->store, cb_platform_config_topic, NULL, on_items,
                            read);
      return;
    }
  cb_store_read_updates (
      entry->store, cb_platform_config_topic, entry->config_next_offset,
      entry->config_read_failed ? 0 : cb_batch_zones_wait_ms (entry, READ_WAIT_MS),
      on_items, read);
}

/* Starts to read the operator's topic and its changes. */
void
cb_batch_config_start (cb_batch_entry_t *entry)
{
  read_config (entry);
}
