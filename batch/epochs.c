/* Epochs of the commands to agents. An agent states the epoch of its latest commands in
   its calls to the worker, which refuses calls of an earlier one, also if they arrive
   late. It is the scheduler's epoch, or a later one of the agent's own: when runs have
   been taken as lost, a call that starts one of them may still be on its way, and a new
   lease would let the worker execute it. So the worker gets a new lease only under a
   new epoch, which is the offset plus 1 of the record that it gets leases. It is higher
   than all earlier epochs, and lower than those of later schedulers, as their claims
   follow in the log. */
#include "batch/local.h"

/* Discards the state of the earlier scheduler: its commands have an earlier epoch. */
void
reset_command_epochs (cb_batch_t *b)
{
  g_hash_table_remove_all (b->command_epochs);
  g_hash_table_remove_all (b->lost_run_workers);
}

/* Returns the key of W and its other incarnations at the same agent. The caller frees
   it. */
static char *
agent_worker_key (const worker_t *w)
{
  return g_strdup_printf ("%s/%s", w->agent, w->id);
}

/* Notes that a run on W is taken as lost. */
void
note_lost_run (cb_batch_t *b, const worker_t *w)
{
  g_hash_table_add (b->lost_run_workers, agent_worker_key (w));
}

/* TRUE when W gets no lease before the epoch of its commands has been raised, as runs
   on it, or on another incarnation of it at the same agent, have been taken as lost. */
gboolean
needs_command_epoch (const cb_batch_t *b, const worker_t *w)
{
  char *key;
  gboolean lost;

  if (g_hash_table_size (b->lost_run_workers) == 0)
    return FALSE;
  key = agent_worker_key (w);
  lost = g_hash_table_contains (b->lost_run_workers, key);
  g_free (key);
  return lost;
}

/* Raises the epoch of W's commands, if that is needed, now that the record at OFFSET
   says that W gets leases. */
void
raise_command_epoch (cb_batch_t *b, const worker_t *w, uint64_t offset)
{
  uint64_t *epoch;
  char *key;

  if (!needs_command_epoch (b, w))
    return;
  key = agent_worker_key (w);
  g_hash_table_remove (b->lost_run_workers, key);
  g_free (key);
  epoch = g_new (uint64_t, 1);
  *epoch = offset + 1;
  g_hash_table_replace (b->command_epochs, g_strdup (w->agent), epoch);
  cb_event (CB_LOG_INFO, "batch", "command_epoch_raised",
            "worker=%s born_ms=%" PRIu64 " agent=%s epoch=%" PRIu64
            " command_epoch=%" PRIu64,
            w->id, w->incarnation_ms, w->agent, b->own_epoch, *epoch);
}

/* Returns the epoch of the commands to AGENT. */
uint64_t
cb_batch_command_epoch (const cb_batch_t *b, const char *agent)
{
  const uint64_t *epoch = g_hash_table_lookup (b->command_epochs, agent);

  return epoch == NULL ? b->own_epoch : *epoch;
}

/* TRUE when EPOCH, in a report of AGENT, is that of commands of this scheduler. */
gboolean
cb_batch_is_command_epoch (const cb_batch_t *b, const char *agent, uint64_t epoch)
{
  return epoch >= b->own_epoch && epoch <= cb_batch_command_epoch (b, agent);
}
