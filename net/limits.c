/* Decides which connections of a server to close when their number or what they hold
   passes a bound: those of the client address that holds the most, and of them those
   that have made the least progress for the longest time. No I/O.

   Answers the load of clients that open many connections, or send many large bodies and
   stop short of their ends. Ordinary requests are small and arrive at once, so they
   come last in both orders. */
#include "net/local.h"

#include <stdlib.h>

/* Added to the time without progress, so that among requests that all progress the
   largest one comes first. Longer than the gaps between the packets of one request. */
#define PROGRESS_GRACE_MS 100
/* Rank that puts connections without any reply so far before those of clients that wait
   between two requests: longer than any of them stays idle. */
#define UNSERVED_RANK_MS 1e9

typedef struct
{
  size_t bytes;
  uint32_t count;
} share_t;

static int
compare_rank (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  return (x->rank < y->rank) - (x->rank > y->rank);
}

static GHashTable *
sum_by_address (const candidate_t *candidates, uint32_t count)
{
  GHashTable *shares = g_hash_table_new_full (NULL, NULL, NULL, g_free);

  for (uint32_t i = 0; i < count; i++)
    {
      gpointer key = GUINT_TO_POINTER (candidates[i].address);
      share_t *share = g_hash_table_lookup (shares, key);

      if (share == NULL)
        {
          share = g_new0 (share_t, 1);
          g_hash_table_insert (shares, key, share);
        }
      share->bytes += candidates[i].bytes;
      share->count++;
    }
  return shares;
}

/* Returns the address with the largest share, by bytes or by connections. */
static uint32_t
largest_holder (GHashTable *shares, gboolean by_bytes)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint32_t best = 0;
  size_t most = 0;

  g_hash_table_iter_init (&iter, shares);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const share_t *share = value;
      size_t size = by_bytes ? share->bytes : share->count;

      if (size > most)
        {
          most = size;
          best = GPOINTER_TO_UINT (key);
        }
    }
  return best;
}

/* Evicts the first candidate of the address that holds the most. Returns it, or NULL
   when none is left. */
static const candidate_t *
evict_next (candidate_t *candidates, uint32_t count, GHashTable *shares,
            gboolean by_bytes)
{
  uint32_t address = largest_holder (shares, by_bytes);
  share_t *share = g_hash_table_lookup (shares, GUINT_TO_POINTER (address));

  for (uint32_t i = 0; i < count && share != NULL; i++)
    if (!candidates[i].evicted && candidates[i].address == address &&
        (!by_bytes || candidates[i].bytes > 0))
      {
        candidates[i].evicted = TRUE;
        share->bytes -= candidates[i].bytes;
        share->count--;
        return &candidates[i];
      }
  return NULL;
}

/* Sets `evicted` of the CANDIDATES to close so that at least BYTES are released, if
   they hold as much. Changes their order. */
void
limits_choose_bytes (candidate_t *candidates, uint32_t count, size_t bytes,
                     cb_msec_t now_ms)
{
  GHashTable *shares = sum_by_address (candidates, count);
  const candidate_t *evicted;
  size_t released = 0;

  for (uint32_t i = 0; i < count; i++)
    candidates[i].rank =
        (double)candidates[i].bytes *
        (double)(now_ms - candidates[i].progress_ms + PROGRESS_GRACE_MS);
  qsort (candidates, count, sizeof *candidates, compare_rank);
  while (released < bytes &&
         (evicted = evict_next (candidates, count, shares, TRUE)) != NULL)
    released += evicted->bytes;
  g_hash_table_unref (shares);
}

/* Sets `evicted` of EVICTIONS of the CANDIDATES, or of all. Changes their order. */
void
limits_choose_count (candidate_t *candidates, uint32_t count, uint32_t evictions,
                     cb_msec_t now_ms)
{
  GHashTable *shares = sum_by_address (candidates, count);

  for (uint32_t i = 0; i < count; i++)
    candidates[i].rank = (double)(now_ms - candidates[i].progress_ms) +
                         (candidates[i].served ? 0 : UNSERVED_RANK_MS);
  qsort (candidates, count, sizeof *candidates, compare_rank);
  while (evictions > 0 && evict_next (candidates, count, shares, FALSE) != NULL)
    evictions--;
  g_hash_table_unref (shares);
}
