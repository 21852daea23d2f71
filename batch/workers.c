/* The incarnations of workers: creation, removal, and the tasks that use them. */
#include "batch/local.h"

#include <string.h>

static void
free_worker (void *ptr)
{
  worker_t *w = ptr;

  g_free (w->id);
  g_free (w->agent);
  g_free (w->service);
  g_free (w->zone);
  g_free (w->rack);
  g_free (w->address);
  g_strfreev (w->labels);
  g_ptr_array_free (w->tasks, TRUE);
  g_ptr_array_free (w->unwanted_runs, TRUE);
  g_ptr_array_free (w->listed_ends, TRUE);
  g_free (w);
}

/* Returns an empty table of workers. Freed with g_hash_table_unref. */
GHashTable *
workers_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_worker);
}

static void
free_array (void *ptr)
{
  g_ptr_array_free (ptr, TRUE);
}

/* Returns an empty index of workers by their agents. Freed with g_hash_table_unref. */
GHashTable *
workers_of_agent_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_array);
}

static void
add_to_agent (cb_batch_t *b, worker_t *w)
{
  GPtrArray *workers = g_hash_table_lookup (b->workers_of_agent, w->agent);

  if (workers == NULL)
    {
      workers = g_ptr_array_new ();
      g_hash_table_insert (b->workers_of_agent, g_strdup (w->agent), workers);
    }
  g_ptr_array_add (workers, w);
}

/* Returns the known incarnations of the workers of AGENT, owned by B; NULL when there
   are none. */
const GPtrArray *
agent_workers (const cb_batch_t *b, const char *agent)
{
  return g_hash_table_lookup (b->workers_of_agent, agent);
}

/* Returns the current worker of AGENT; NULL when it has not reported to this
   scheduler. */
worker_t *
current_worker (const cb_batch_t *b, const char *agent)
{
  const GPtrArray *workers = agent_workers (b, agent);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      worker_t *w = workers->pdata[i];

      if (!w->terminated && w->clock_ms != 0)
        return w;
    }
  return NULL;
}

static char *
worker_key (const char *id, uint64_t incarnation_ms)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, id, incarnation_ms);
}

/* Returns the incarnation of worker ID that started at INCARNATION_MS, or NULL. */
worker_t *
find_worker (const cb_batch_t *b, const char *id, uint64_t incarnation_ms)
{
  char *key = worker_key (id, incarnation_ms);
  worker_t *w = g_hash_table_lookup (b->workers, key);

  g_free (key);
  return w;
}

/* Returns the incarnation of worker ID that started at INCARNATION_MS; creates it, with
   AGENT, when it is unknown. */
worker_t *
get_worker (cb_batch_t *b, const char *id, uint64_t incarnation_ms, const char *agent)
{
  char *key = worker_key (id, incarnation_ms);
  worker_t *w = g_hash_table_lookup (b->workers, key);

  if (w != NULL)
    {
      g_free (key);
      return w;
    }
  w = g_new0 (worker_t, 1);
  w->id = g_strdup (id);
  w->incarnation_ms = incarnation_ms;
  w->agent = g_strdup (agent);
  w->service = g_strdup ("");
  w->zone = g_strdup ("");
  w->rack = g_strdup ("");
  w->address = g_strdup ("");
  w->labels = g_new0 (char *, 1);
  w->tasks = g_ptr_array_new ();
  w->unwanted_runs = g_ptr_array_new_with_free_func (cb_msg_free);
  w->listed_ends = g_ptr_array_new_with_free_func (cb_msg_free);
  w->filler_percent = FULL_PERCENT;
  g_hash_table_insert (b->workers, key, w);
  add_to_agent (b, w);
  return w;
}

/* Notes that the process of W is known to have ended. */
void
note_ended (cb_batch_t *b, worker_t *w)
{
  w->ended = TRUE;
  g_hash_table_add (b->ended_workers, worker_key (w->id, w->incarnation_ms));
}

/* TRUE when the process of W was taken as ended before in this scheduler's time, even
   if it has reported since. */
gboolean
was_ended (const cb_batch_t *b, const worker_t *w)
{
  char *key = worker_key (w->id, w->incarnation_ms);
  gboolean ended = g_hash_table_contains (b->ended_workers, key);

  g_free (key);
  return ended;
}

/* Notes that W receives calls at ADDRESS, unless that is empty. One that has had
   several addresses has none from then on: that another worker is at one of them does
   not show that W has ended. */
void
note_address (worker_t *w, const char *address)
{
  if (address[0] == '\0' || w->several_addresses || strcmp (w->address, address) == 0)
    return;
  if (w->address[0] != '\0')
    {
      note_moved (w);
      return;
    }
  g_free (w->address);
  w->address = g_strdup (address);
}

/* Notes that W has had several addresses. */
void
note_moved (worker_t *w)
{
  w->several_addresses = TRUE;
  g_free (w->address);
  w->address = g_strdup ("");
}

/* Notes that the commands for W have changed in a way that should not wait for its next
   report. */
void
change_commands (cb_batch_t *b, worker_t *w)
{
  if (!w->commands_changed || w->terminated || w->clock_ms == 0)
    g_ptr_array_add (b->changed_workers, w);
  w->commands_changed = TRUE;
}

static gboolean
has_predecessor (const cb_batch_t *b, const worker_t *w)
{
  const GPtrArray *workers = agent_workers (b, w->agent);

  for (guint i = 0; i < workers->len; i++)
    if (((const worker_t *)workers->pdata[i])->successor == w)
      return TRUE;
  return FALSE;
}

/* Removes the terminated workers that no task uses and that no earlier incarnation
   refers to as its successor. */
void
remove_terminated_workers (cb_batch_t *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *w = value;

      if (!w->terminated || w->tasks->len > 0 || has_predecessor (b, w))
        continue;
      g_ptr_array_remove_fast (g_hash_table_lookup (b->workers_of_agent, w->agent), w);
      while (g_ptr_array_remove_fast (b->changed_workers, w))
        {
        }
      g_hash_table_iter_remove (&iter);
    }
}

/* Adds what TASK uses to the load of W, or subtracts it: SIGN is 1 or -1. */
static void
add_load (worker_t *w, const task_t *task, int sign)
{
  const Cb__BatchStep *step = task_spec (task);
  load_t *load = &w->load;
  int64_t accelerators = (int64_t)step->accelerators * sign;

  *(step->fills ? &load->filler_cpu_milli : &load->cpu_milli) +=
      (int64_t)step->cpu_milli * sign;
  load->memory_mb += (int64_t)step->memory_mb * sign;
  load->accelerators += accelerators;
  if (task->job->spec->priority == 0)
    load->urgent_accelerators += accelerators;
  load->gang_tasks += (uint32_t)(step->gang ? sign : 0);
  load->serving_tasks += (uint32_t)(step->target_ms > 0 ? sign : 0);
  load->filler_tasks += (uint32_t)(step->fills ? sign : 0);
  w->kinds_known = FALSE;
}

/* Adds TASK to the tasks that use W, and removes it from its earlier worker. */
void
attach_task (worker_t *w, task_t *task)
{
  if (task->worker != NULL)
    detach_task (task);
  task->worker = w;
  task->worker_index = w->tasks->len;
  add_load (w, task, 1);
  g_ptr_array_add (w->tasks, task);
}

void
detach_task (task_t *task)
{
  worker_t *w = task->worker;

  if (w == NULL)
    return;
  g_ptr_array_remove_index_fast (w->tasks, task->worker_index);
  if (task->worker_index < w->tasks->len)
    ((task_t *)w->tasks->pdata[task->worker_index])->worker_index = task->worker_index;
  add_load (w, task, -1);
  task->worker = NULL;
}
