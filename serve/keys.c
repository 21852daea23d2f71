/* The table of keys that are running or retained. */
#include "serve/local.h"

#include <string.h>

#include <xxhash.h>

/* Returns the id of a key within an account. The length prefix makes the ids of
   different pairs distinct, whatever characters they contain. Freed with g_free. */
char *
cb_serve_key_id (const char *account, const char *key)
{
  return g_strdup_printf ("%zu:%s:%s", strlen (account), account, key);
}

uint64_t
cb_serve_hash (const void *data, size_t size)
{
  return XXH64 (data, size, 0);
}

cb_serve_key_t *
cb_serve_find_key (const cb_serve_t *serve, const char *account, const char *key)
{
  char *id = cb_serve_key_id (account, key);
  cb_serve_key_t *found = g_hash_table_lookup (serve->keys, id);

  g_free (id);
  return found;
}

static void
free_waiter (gpointer data)
{
  cb_serve_waiter_t *waiter = data;

  g_free (waiter->entry);
  g_free (waiter);
}

/* Adds the key of REQUEST as running, with a new tag. SERVE owns the returned key. */
cb_serve_key_t *
cb_serve_add_key (cb_serve_t *serve, const Cb__Request *request)
{
  cb_serve_key_t *key = g_new0 (cb_serve_key_t, 1);

  key->id = cb_serve_key_id (request->account, request->key);
  key->account = g_strdup (request->account);
  key->key = g_strdup (request->key);
  key->kind = g_strdup (request->kind);
  key->body_hash = cb_serve_hash (request->body.data, request->body.len);
  key->claim = request->claim;
  key->not_repeatable = request->not_repeatable;
  key->running = TRUE;
  key->tag = ++serve->next_tag;
  key->waiters = g_ptr_array_new_with_free_func (free_waiter);
  g_hash_table_insert (serve->keys, key->id, key);
  g_hash_table_insert (serve->running, &key->tag, key);
  return key;
}

void
cb_serve_key_free (cb_serve_key_t *key)
{
  cb_msg_free (key->answer);
  g_ptr_array_unref (key->waiters);
  g_free (key->id);
  g_free (key->account);
  g_free (key->key);
  g_free (key->kind);
  g_free (key);
}

static size_t
retained_size (const cb_serve_key_t *key)
{
  return KEY_OVERHEAD_BYTES + key->answer->body.len;
}

/* Removes and frees a retained key. */
void
cb_serve_remove_retained_key (cb_serve_t *serve, cb_serve_key_t *key)
{
  serve->retained_bytes -= retained_size (key);
  g_queue_remove (&serve->retained, key);
  g_hash_table_remove (serve->keys, key->id);
}

/* TRUE when an entry may treat the reply `not found` to a lookup as proof that KEY did
   not run. Entries do so for all claims, also those of repeatable kinds. */
gboolean
cb_serve_must_retain (const cb_serve_key_t *key)
{
  return key->not_repeatable || key->claim != 0;
}

/* Discards the answer of KEY to save memory. KEY itself stays as a record that it ran,
   and later requests get the reason `outcome_unknown`. */
static void
discard_answer (cb_serve_t *serve, cb_serve_key_t *key)
{
  serve->retained_bytes -= key->answer->body.len;
  cb_msg_set_bytes (&key->answer->body, NULL, 0);
  key->answer->length = 0;
  key->answer->status = 0;
  key->answer->reason = CB__REASON__OUTCOME_UNKNOWN;
}

/* Frees memory above CB_SERVE_RETENTION_BYTES, oldest keys first: keys that must be
   retained lose their answer, the others are removed. */
static void
enforce_retention_limit (cb_serve_t *serve)
{
  GList *next;

  for (GList *link = serve->retained.head;
       link != NULL && serve->retained_bytes > CB_SERVE_RETENTION_BYTES; link = next)
    {
      cb_serve_key_t *key = link->data;

      next = link->next;
      if (!cb_serve_must_retain (key))
        cb_serve_remove_retained_key (serve, key);
      else if (key->answer->body.len > 0)
        discard_answer (serve, key);
    }
}

/* Retains KEY, whose answer is set, for CB_SERVE_RETENTION_MS. The limit on retained
   bytes may free it at once. */
void
cb_serve_retain_key (cb_serve_t *serve, cb_serve_key_t *key, cb_msec_t now_ms)
{
  key->retained_since_ms = now_ms;
  g_queue_push_tail (&serve->retained, key);
  serve->retained_bytes += retained_size (key);
  enforce_retention_limit (serve);
}

/* Removes and frees a key that has ended and is not retained. It may run again. */
void
cb_serve_remove_key (cb_serve_t *serve, cb_serve_key_t *key)
{
  g_hash_table_remove (serve->keys, key->id);
}

void
cb_serve_expire_keys (cb_serve_t *serve, cb_msec_t now_ms)
{
  cb_serve_key_t *oldest;

  while ((oldest = g_queue_peek_head (&serve->retained)) != NULL &&
         now_ms >= oldest->retained_since_ms + CB_SERVE_RETENTION_MS)
    cb_serve_remove_retained_key (serve, oldest);
}
