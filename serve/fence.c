/* Fences: claims whose requests are refused because a lookup for them was answered with
   `not found`. */
#include "serve/local.h"

/* Fences are kept for longer than any envelope can be delayed. */
#define FENCE_RETENTION_MS 600000
#define MAX_FENCES 10000

void
cb_serve_fence_free (gpointer fence)
{
  cb_serve_fence_t *f = fence;

  g_free (f->id);
  g_free (f);
}

static void
remove_oldest_fence (cb_serve_t *serve)
{
  cb_serve_fence_t *oldest = g_queue_pop_head (&serve->fence_order);

  g_hash_table_remove (serve->fences, oldest->id);
}

/* Adds a fence against requests for the key of LOOKUP under its claim or an older one.
   Does nothing when LOOKUP has no claim. Returns FALSE when there are too many fences:
   the reply `not found` would not hold then. None is removed before its time, as its
   own reply holds that long. */
gboolean
cb_serve_add_fence (cb_serve_t *serve, const Cb__RequestLookup *lookup,
                    cb_msec_t now_ms)
{
  char *id;
  cb_serve_fence_t *fence;

  if (lookup->claim == 0)
    return TRUE;
  id = cb_serve_key_id (lookup->account, lookup->key);
  fence = g_hash_table_lookup (serve->fences, id);
  if (fence == NULL && g_queue_get_length (&serve->fence_order) >= MAX_FENCES)
    {
      g_free (id);
      return FALSE;
    }
  if (fence == NULL)
    {
      fence = g_new0 (cb_serve_fence_t, 1);
      fence->id = id;
      g_hash_table_insert (serve->fences, fence->id, fence);
      g_queue_push_tail (&serve->fence_order, fence);
      fence->link = serve->fence_order.tail;
    }
  else
    {
      g_free (id);
      if (lookup->claim < fence->claim)
        return TRUE;
      g_queue_unlink (&serve->fence_order, fence->link);
      g_queue_push_tail_link (&serve->fence_order, fence->link);
    }
  fence->claim = lookup->claim;
  fence->since_ms = now_ms;
  return TRUE;
}

/* TRUE when a lookup for the claim of REQUEST, or for a later one of its key, was
   answered with `not found`. */
gboolean
cb_serve_is_fenced (const cb_serve_t *serve, const Cb__Request *request)
{
  char *id;
  const cb_serve_fence_t *fence;

  if (request->claim == 0)
    return FALSE;
  id = cb_serve_key_id (request->account, request->key);
  fence = g_hash_table_lookup (serve->fences, id);
  g_free (id);
  return fence != NULL && request->claim <= fence->claim;
}

void
cb_serve_expire_fences (cb_serve_t *serve, cb_msec_t now_ms)
{
  const cb_serve_fence_t *oldest;

  while ((oldest = g_queue_peek_head (&serve->fence_order)) != NULL &&
         now_ms - oldest->since_ms > FENCE_RETENTION_MS)
    remove_oldest_fence (serve);
}
