#include "cmd/batch.h"

#include <string.h>

/* As for the log: a silent connection is noticed within twice this time, inside the
   bound for a configuration to be in force. */
#define READ_WAIT_MS 800
/* Pause after a failed read. */
#define RETRY_MS 150

typedef struct
{
  cb_batch_entry_t *entry;
  gboolean list;
  gboolean first_page; /* of the list */
  cb_msec_t sent_ms;
} read_t;

static void read_on (void *ctx);

static void
take_config (cb_batch_entry_t *entry, const cb_store_item_t *item)
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
}

static void
on_items (void *ctx, int err, const cb_store_item_t *items, size_t count, gboolean more,
          uint64_t next)
{
  read_t *read = ctx;
  cb_batch_entry_t *entry = read->entry;

  entry->config_failed = err < 0;
  if (err < 0)
    {
      g_free (read);
      if (err == CB_PLATFORM_EXPIRED)
        entry->config_listed = FALSE;
      cb_timer_free (entry->config_timer);
      entry->config_timer = cb_timer_new (entry->loop, RETRY_MS, 0, read_on, entry);
      return;
    }
  for (size_t i = 0; i < count; i++)
    take_config (entry, &items[i]);
  /* Pages are not a snapshot: what changes while they are read comes after the end that
     the first one gives. */
  if (!read->list || read->first_page)
    entry->config_next = next;
  if (read->list && more && count > 0)
    {
      read->first_page = FALSE;
      cb_store_read_newest (entry->store, cb_platform_config_topic,
                            items[count - 1].key, on_items, read);
      return;
    }
  entry->config_listed = TRUE;
  entry->config_read_ms = read->sent_ms;
  g_free (read);
  read_on (entry);
}

static void
read_on (void *ctx)
{
  cb_batch_entry_t *entry = ctx;
  read_t *read = g_new0 (read_t, 1);

  cb_timer_free (entry->config_timer);
  entry->config_timer = NULL;
  read->entry = entry;
  read->list = !entry->config_listed;
  read->first_page = TRUE;
  read->sent_ms = cb_batch_now ();
  if (read->list)
    cb_store_read_newest (entry->store, cb_platform_config_topic, NULL, on_items, read);
  else
    cb_store_read_updates (entry->store, cb_platform_config_topic, entry->config_next,
                           entry->config_failed ? 0 : READ_WAIT_MS, on_items, read);
}

/* Starts to follow the operator's configuration. */
void
cb_batch_config_open (cb_batch_entry_t *entry)
{
  read_on (entry);
}
