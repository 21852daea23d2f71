#include "batch/fns.h"

#include <string.h>

static void
free_queue (void *ptr)
{
  cb_batch_queue_t *queue = ptr;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
  g_free (queue);
}

static void
free_account (void *ptr)
{
  cb_batch_account_t *account = ptr;

  g_free (account->name);
  g_free (account);
}

static void
free_config (void *object)
{
  cb_batch_config_t *config = object;

  g_ptr_array_free (config->queues, TRUE);
  g_ptr_array_free (config->accounts, TRUE);
  g_hash_table_unref (config->account_of_key);
  g_free (config);
}

/* Returns an empty configuration with one reference. */
cb_batch_config_t *
cb_batch_config_new (void)
{
  cb_batch_config_t *config = g_new0 (cb_batch_config_t, 1);

  cb_ref_init (&config->ref, free_config);
  config->queues = g_ptr_array_new_with_free_func (free_queue);
  config->accounts = g_ptr_array_new_with_free_func (free_account);
  config->account_of_key =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return config;
}

void
cb_batch_config_ref (cb_batch_config_t *config)
{
  cb_ref_get (&config->ref);
}

/* Drops a reference; NULL is accepted. */
void
cb_batch_config_unref (cb_batch_config_t *config)
{
  if (config != NULL)
    cb_ref_put (&config->ref, config);
}

/* Adds a queue without host, prefix and service, which the caller sets to strings
   allocated with GLib. The configuration owns the queue. */
cb_batch_queue_t *
cb_batch_config_add_queue (cb_batch_config_t *config, const char *name)
{
  cb_batch_queue_t *queue = g_new0 (cb_batch_queue_t, 1);

  queue->name = g_strdup (name);
  queue->attempts = 1;
  queue->stretch = 1;
  g_ptr_array_add (config->queues, queue);
  return queue;
}

/* Adds a client account, which the configuration owns. */
cb_batch_account_t *
cb_batch_config_add_account (cb_batch_config_t *config, const char *name)
{
  cb_batch_account_t *account = g_new0 (cb_batch_account_t, 1);

  account->name = g_strdup (name);
  g_ptr_array_add (config->accounts, account);
  return account;
}

/* Returns the queue of HOST whose prefix is the longest that PATH starts with, or NULL.
   The case of HOST and a port in it are ignored. */
const cb_batch_queue_t *
cb_batch_config_find_queue (const cb_batch_config_t *config, const char *host,
                            const char *path)
{
  const cb_batch_queue_t *best = NULL;
  size_t host_len = strcspn (host, ":");

  for (guint i = 0; i < config->queues->len; i++)
    {
      const cb_batch_queue_t *queue = config->queues->pdata[i];

      if (queue->host == NULL || queue->prefix == NULL ||
          strlen (queue->host) != host_len ||
          g_ascii_strncasecmp (queue->host, host, host_len) != 0 ||
          !g_str_has_prefix (path, queue->prefix))
        continue;
      if (best == NULL || strlen (queue->prefix) > strlen (best->prefix))
        best = queue;
    }
  return best;
}

/* Returns the account of the client that sent KEY, or NULL; KEY may be NULL. */
const cb_batch_account_t *
cb_batch_config_find_account (const cb_batch_config_t *config, const char *key)
{
  return key == NULL ? NULL : g_hash_table_lookup (config->account_of_key, key);
}
