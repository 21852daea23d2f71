/* Creation, lookups and expiry of the ledger, and the application of record batches. */
#include "ledger/local.h"

#include <string.h>

static int
compare_text (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static GTree *
new_tree (GDestroyNotify free_value)
{
  return g_tree_new_full (compare_text, NULL, g_free, free_value);
}

/* Returns a text that identifies a job or request by ACCOUNT and KEY. The length prefix
   keeps ("a", "bc") and ("ab", "c") apart. Freed with g_free. */
char *
cb_ledger_id (const char *account, const char *key)
{
  return g_strdup_printf ("%zu:%s%s", strlen (account), account, key);
}

/* Returns an empty ledger whose next offset is 1. Freed with cb_ledger_free. */
cb_ledger_t *
cb_ledger_new (void)
{
  cb_ledger_t *ledger = g_new0 (cb_ledger_t, 1);

  ledger->next_offset = 1;
  ledger->cells = new_tree (cb_msg_free);
  ledger->jobs = new_tree (cb_msg_free);
  ledger->requests = new_tree (cb_msg_free);
  ledger->producers = new_tree (cb_msg_free);
  ledger->drained = new_tree (NULL);
  return ledger;
}

/* Frees the ledger and every object that its lookups returned; NULL is accepted. */
void
cb_ledger_free (cb_ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  cb_msg_free (ledger->config);
  g_tree_destroy (ledger->cells);
  g_tree_destroy (ledger->jobs);
  g_tree_destroy (ledger->requests);
  g_tree_destroy (ledger->producers);
  g_tree_destroy (ledger->drained);
  g_free (ledger);
}

/* Sets the function that cb_ledger_apply calls with the result of each record; NULL for
   none. */
void
cb_ledger_set_observer (cb_ledger_t *ledger, cb_ledger_observer_t fn, void *ctx)
{
  ledger->observer = fn;
  ledger->observer_ctx = ctx;
}

/* Applies the packed RecordBatch at OFFSET; offsets must increase. Returns
   CB_LEDGER_DUPLICATE when OFFSET is below the next one, and CB_LEDGER_INVALID when the
   bytes are not a RecordBatch, whose offset then counts as applied. The result of each
   record goes to the observer only. */
int
cb_ledger_apply (cb_ledger_t *ledger, uint64_t offset, const void *data, size_t size)
{
  Cb__RecordBatch *batch;

  if (offset < ledger->next_offset)
    return CB_LEDGER_DUPLICATE;
  ledger->next_offset = offset + 1;
  batch = cb__record_batch__unpack (NULL, size, data);
  if (batch == NULL)
    return CB_LEDGER_INVALID;
  for (size_t i = 0; i < batch->n_records; i++)
    {
      int result = cb_ledger_apply_record (ledger, offset, batch->records[i]);

      if (ledger->observer != NULL)
        ledger->observer (ledger->observer_ctx, offset, (uint32_t)i, batch->records[i],
                          result);
    }
  cb_msg_free (batch);
  return CB_OK;
}

/* Returns the lowest offset that cb_ledger_apply still accepts. */
uint64_t
cb_ledger_next_offset (const cb_ledger_t *ledger)
{
  return ledger->next_offset;
}

/* Returns the current configuration, or NULL when there is none. Valid until the next
   apply or restore. */
const Cb__Config *
cb_ledger_config (const cb_ledger_t *ledger)
{
  return ledger->config;
}

/* Returns the epoch of CELL, which is the offset of its last accepted claim, or 0 when
   it was never claimed. Sets ENTRY, unless NULL, to the entry that made the claim, or
   to NULL. */
uint64_t
cb_ledger_epoch (const cb_ledger_t *ledger, const char *cell, const char **entry)
{
  const Cb__CellClaimState *state = g_tree_lookup (ledger->cells, cell);

  if (entry != NULL)
    *entry = state == NULL ? NULL : state->entry;
  return state == NULL ? 0 : state->epoch;
}

static void *
find_by_key (GTree *tree, const char *account, const char *key)
{
  char *id = cb_ledger_id (account, key);
  void *found = g_tree_lookup (tree, id);

  g_free (id);
  return found;
}

/* Returns the job that ACCOUNT submitted under KEY, open or ended, or NULL. Valid until
   the next apply, restore or expire. */
const Cb__JobStateEntry *
cb_ledger_job (const cb_ledger_t *ledger, const char *account, const char *key)
{
  return find_by_key (ledger->jobs, account, key);
}

/* Returns the request that ACCOUNT claimed under KEY, open or ended, or NULL. Valid
   until the next apply, restore or expire. */
const Cb__RequestState *
cb_ledger_request (const cb_ledger_t *ledger, const char *account, const char *key)
{
  return find_by_key (ledger->requests, account, key);
}

/* Returns TRUE when the last drain record for INSTANCE turned draining on, whether or
   not the instance is still in the inventory. Work may still be running there. */
gboolean
cb_ledger_is_draining (const cb_ledger_t *ledger, const char *instance)
{
  return g_tree_lookup (ledger->drained, instance) != NULL;
}

/* Calls FN for each job, open and ended, in an order that is the same in every process.
   FN must not change the ledger. */
void
cb_ledger_each_job (const cb_ledger_t *ledger,
                    void (*fn) (void *ctx, const Cb__JobStateEntry *job), void *ctx)
{
  for (GTreeNode *n = g_tree_node_first (ledger->jobs); n; n = g_tree_node_next (n))
    fn (ctx, g_tree_node_value (n));
}

/* Calls FN for each claimed request, open and ended, as cb_ledger_each_job does. */
void
cb_ledger_each_request (const cb_ledger_t *ledger,
                        void (*fn) (void *ctx, const Cb__RequestState *request),
                        void *ctx)
{
  for (GTreeNode *n = g_tree_node_first (ledger->requests); n; n = g_tree_node_next (n))
    fn (ctx, g_tree_node_value (n));
}

typedef struct
{
  uint64_t wall_ms; /* current time */
  uint64_t retention_ms;
} cutoff_t;

static gboolean
job_expired (const void *value, const cutoff_t *cutoff)
{
  const Cb__JobStateEntry *job = value;

  return job->ended_ms > 0 &&
         cutoff->wall_ms > job->ended_ms + cutoff->retention_ms + CB_LEDGER_MAX_SKEW_MS;
}

static gboolean
request_expired (const void *value, const cutoff_t *cutoff)
{
  const Cb__RequestState *request = value;

  return request->claim->expires_ms > 0 &&
         cutoff->wall_ms > request->claim->expires_ms + CB_LEDGER_MAX_SKEW_MS;
}

static gboolean
producer_expired (const void *value, const cutoff_t *cutoff)
{
  const Cb__ProducerState *producer = value;

  return cutoff->wall_ms >
         producer->time_ms + cutoff->retention_ms + CB_LEDGER_MAX_SKEW_MS;
}

static void
remove_expired (GTree *tree, gboolean (*expired) (const void *, const cutoff_t *),
                const cutoff_t *cutoff)
{
  GPtrArray *ids = g_ptr_array_new ();

  for (GTreeNode *n = g_tree_node_first (tree); n; n = g_tree_node_next (n))
    if (expired (g_tree_node_value (n), cutoff))
      g_ptr_array_add (ids, g_tree_node_key (n));
  for (guint i = 0; i < ids->len; i++)
    g_tree_remove (tree, ids->pdata[i]);
  g_ptr_array_free (ids, TRUE);
}

/* Removes the jobs that ended and the producers whose last record is more than
   RETENTION_MS (at least CB_LEDGER_RETENTION_MS) before WALL_MS, and the requests whose
   claims have expired. The processes call this at different times, so a removal must
   not change the result of a later record. Every limit is therefore extended by
   CB_LEDGER_MAX_SKEW_MS: the writer of the record may have a slower clock. */
void
cb_ledger_expire (cb_ledger_t *ledger, cb_msec_t wall_ms, cb_msec_t retention_ms)
{
  cutoff_t cutoff = { (uint64_t)wall_ms,
                      (uint64_t)MAX (retention_ms, CB_LEDGER_RETENTION_MS) };

  remove_expired (ledger->jobs, job_expired, &cutoff);
  remove_expired (ledger->requests, request_expired, &cutoff);
  remove_expired (ledger->producers, producer_expired, &cutoff);
}
