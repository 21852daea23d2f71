/* The tables of a cell: zones, racks, workers and accounts, what is used on each, and
   the indexes by free capacity. */
#include "sched/local.h"

#include <string.h>

/* Returns the worker of instance NAME, or NULL. */
worker_t *
cell_worker (const cb_sched_t *s, const char *name)
{
  return g_hash_table_lookup (s->worker_by_name, name);
}

/* Returns the account NAME, created on first use. */
account_t *
cell_account (cb_sched_t *s, const char *name)
{
  account_t *account = g_hash_table_lookup (s->accounts, name);

  if (account != NULL)
    return account;
  account = g_new0 (account_t, 1);
  account->name = g_strdup (name);
  account->share = 1;
  account->pins = g_ptr_array_new ();
  account->placed = g_ptr_array_new ();
  account->parked = g_sequence_new (NULL);
  g_hash_table_insert (s->accounts, account->name, account);
  return account;
}

/* TRUE when new work may be placed on W. */
gboolean
worker_usable (const worker_t *w)
{
  return w->in_fleet && w->up && w->reported && !w->draining &&
         w->suspended_until_ms == 0 && w->avoid_until_ms == 0;
}

uint32_t
job_accelerators (const job_t *job)
{
  return job->spec->members * job->spec->accelerators;
}

static gint
compare_worker (gconstpointer a, gconstpointer b, gpointer data)
{
  const worker_t *x = a;
  const worker_t *y = b;
  int capacity = GPOINTER_TO_INT (data);

  if (x->count[capacity] != y->count[capacity])
    return x->count[capacity] < y->count[capacity] ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

static gint
compare_rack (gconstpointer a, gconstpointer b, gpointer data)
{
  const rack_t *x = a;
  const rack_t *y = b;
  int capacity = GPOINTER_TO_INT (data);

  if (x->count[capacity] != y->count[capacity])
    return x->count[capacity] < y->count[capacity] ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

/* Updates the counts and index positions of W and its rack. To be called after each
   change of W or of a job on it. */
void
worker_update_index (cb_sched_t *s, worker_t *w)
{
  uint64_t preemptible = 0, not_preemptible = 0, mask[CAPACITIES] = { 0 };
  uint32_t usable = 0;

  s->version++;
  for (uint32_t i = 0; i < w->jobs->len; i++)
    {
      const job_t *job = w->jobs->pdata[i];

      /* W lists a job once for each member; one pass covers them all. */
      if (job->spec->accelerators == 0 || (i > 0 && w->jobs->pdata[i - 1] == job))
        continue;
      for (uint32_t m = 0; m < job->spec->members; m++)
        if (job->members[m].worker == w)
          {
            if (preemptible_for_urgent (job))
              preemptible |= job->members[m].mask;
            if (!job->can_borrow)
              not_preemptible |= job->members[m].mask;
          }
    }
  if (worker_usable (w))
    {
      mask[CAPACITY_FREE] = w->installed & ~w->used & ~w->pending;
      mask[CAPACITY_UNPINNED] = mask[CAPACITY_FREE] & ~w->pinned;
      mask[CAPACITY_PREEMPTIBLE] =
          mask[CAPACITY_FREE] | (preemptible & w->installed & ~w->pending);
      mask[CAPACITY_PREEMPTIBLE_UNPINNED] = mask[CAPACITY_PREEMPTIBLE] & ~w->pinned;
      mask[CAPACITY_PINNABLE] =
          pins_limit_mask (w, w->installed & ~w->pinned & ~not_preemptible);
      usable = (uint32_t)__builtin_popcountll (w->installed);
    }
  s->usable += usable - w->usable;
  w->usable = usable;
  for (int v = 0; v < CAPACITIES; v++)
    {
      uint32_t count = (uint32_t)__builtin_popcountll (mask[v]);

      if (count == w->count[v])
        continue;
      s->count[v] += count - w->count[v];
      w->rack->count[v] += count - w->count[v];
      w->count[v] = count;
      g_sequence_sort_changed (w->position[v], compare_worker, GINT_TO_POINTER (v));
      g_sequence_sort_changed (w->rack->position[v], compare_rack, GINT_TO_POINTER (v));
    }
}

/* Assigns accelerators of W to member I. With PENDING they are still used by jobs that
   are being preempted. */
void
member_assign (cb_sched_t *s, job_t *job, uint32_t i, worker_t *w, uint64_t mask,
               gboolean pending)
{
  job->members[i].worker = w;
  job->members[i].mask = mask;
  job->members[i].state = CB__TASK_STATE__TASK_RESERVED;
  if (job->placed_count++ == 0)
    g_ptr_array_add (job->account->placed, job);
  g_ptr_array_add (w->jobs, job);
  if (pending)
    {
      w->pending |= mask;
      w->cores_pending += job->spec->cores;
      w->memory_pending_gb += job->spec->memory_gb;
      job->account->pending_accelerators += job->spec->accelerators;
      job->account->pending_cores += job->spec->cores;
    }
  else
    {
      w->used |= mask;
      w->cores_used += job->spec->cores;
      w->memory_used_gb += job->spec->memory_gb;
    }
  job->account->accelerators_used += job->spec->accelerators;
  job->account->cores_used += job->spec->cores;
  worker_update_index (s, w);
}

/* Releases the accelerators, cores and memory of member I, if it is placed, and returns
   parked jobs of its account to the queue. */
void
member_release (cb_sched_t *s, job_t *job, uint32_t i)
{
  member_t *m = &job->members[i];
  worker_t *w = m->worker;
  account_t *account = job->account;

  if (w == NULL)
    return;
  if (job->stage == STAGE_PREEMPTING)
    {
      w->pending &= ~m->mask;
      w->cores_pending -= job->spec->cores;
      w->memory_pending_gb -= job->spec->memory_gb;
      account->pending_accelerators -= job->spec->accelerators;
      account->pending_cores -= job->spec->cores;
    }
  else
    {
      w->used &= ~m->mask;
      w->cores_used -= job->spec->cores;
      w->memory_used_gb -= job->spec->memory_gb;
    }
  account->accelerators_used -= job->spec->accelerators;
  account->cores_used -= job->spec->cores;
  account->exempt_accelerators =
      MIN (account->exempt_accelerators, account->accelerators_used);
  account->exempt_cores = MIN (account->exempt_cores, account->cores_used);
  g_ptr_array_remove (w->jobs, job);
  m->worker = NULL;
  if (--job->placed_count == 0)
    g_ptr_array_remove_fast (account->placed, job);
  if (!job->can_borrow)
    s->pins_dirty = TRUE;
  worker_update_index (s, w);
  queue_unpark (s, account);
}

/* Turns the pending accelerators of JOB, whose preempted jobs have stopped, into used
   ones. */
void
job_use_pending (cb_sched_t *s, job_t *job)
{
  /* The indexes depend on the stage: a job in STAGE_PREEMPTING can't be preempted, one
     that reserves may be. */
  job->stage = STAGE_RESERVING;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      member_t *m = &job->members[i];

      m->worker->pending &= ~m->mask;
      m->worker->used |= m->mask;
      m->worker->cores_pending -= job->spec->cores;
      m->worker->memory_pending_gb -= job->spec->memory_gb;
      job->account->pending_accelerators -= job->spec->accelerators;
      job->account->pending_cores -= job->spec->cores;
      m->worker->cores_used += job->spec->cores;
      m->worker->memory_used_gb += job->spec->memory_gb;
      worker_update_index (s, m->worker);
    }
}

static zone_t *
zone_ensure (cb_sched_t *s, const char *name)
{
  zone_t *zone = g_hash_table_lookup (s->zone_by_name, name);

  if (zone != NULL)
    return zone;
  zone = g_new0 (zone_t, 1);
  zone->name = g_strdup (name);
  for (int v = 0; v < CAPACITIES; v++)
    {
      zone->workers[v] = g_sequence_new (NULL);
      zone->racks[v] = g_sequence_new (NULL);
    }
  g_ptr_array_add (s->zones, zone);
  g_hash_table_insert (s->zone_by_name, zone->name, zone);
  return zone;
}

static rack_t *
rack_ensure (cb_sched_t *s, const char *name, zone_t *zone)
{
  rack_t *rack = g_hash_table_lookup (s->rack_by_name, name);

  if (rack != NULL)
    return rack;
  rack = g_new0 (rack_t, 1);
  rack->name = g_strdup (name);
  rack->index = s->racks->len;
  rack->zone = zone;
  rack->workers = g_ptr_array_new ();
  for (int v = 0; v < CAPACITIES; v++)
    rack->position[v] = g_sequence_insert_sorted (zone->racks[v], rack, compare_rack,
                                                  GINT_TO_POINTER (v));
  g_ptr_array_add (s->racks, rack);
  g_hash_table_insert (s->rack_by_name, rack->name, rack);
  return rack;
}

static worker_t *
worker_ensure (cb_sched_t *s, const char *name, rack_t *rack)
{
  worker_t *w = cell_worker (s, name);

  if (w != NULL)
    return w;
  w = g_new0 (worker_t, 1);
  w->name = g_strdup (name);
  w->index = s->workers->len;
  w->rack = rack;
  w->jobs = g_ptr_array_new ();
  w->pins = g_ptr_array_new ();
  for (int v = 0; v < CAPACITIES; v++)
    w->position[v] = g_sequence_insert_sorted (rack->zone->workers[v], w,
                                               compare_worker, GINT_TO_POINTER (v));
  g_ptr_array_add (rack->workers, w);
  g_ptr_array_add (s->workers, w);
  g_hash_table_insert (s->worker_by_name, w->name, w);
  return w;
}

/* Applies the quotas and shares of the rules. Use above a lowered quota is exempt from
   it. */
static void
set_accounts (cb_sched_t *s)
{
  const Cb__Rules *rules = s->fleet->config->rules;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->accounts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      account_t *account = value;

      account->quota = account->quota_cores = 0;
      account->share = 1;
      account->exempt_accelerators = account->accelerators_used;
      account->exempt_cores = account->cores_used;
    }
  for (size_t i = 0; i < rules->n_accounts; i++)
    {
      account_t *account = cell_account (s, rules->accounts[i]->name);

      account->quota = rules->accounts[i]->quota_accelerators;
      account->quota_cores = rules->accounts[i]->quota_cores;
      account->share = MAX (1, rules->accounts[i]->share);
    }
}

/* Applies the instances and accounts of a new configuration. A worker that is no longer
   in the inventory stays in the tables, unused. */
void
cell_set_fleet (cb_sched_t *s)
{
  const cb_fleet_t *fleet = s->fleet;

  g_hash_table_remove_all (s->fit_cache);

  for (uint32_t i = 0; i < s->workers->len; i++)
    ((worker_t *)s->workers->pdata[i])->in_fleet = FALSE;
  for (uint32_t i = 0; i < fleet->instance_count; i++)
    {
      const cb_instance_t *instance = &fleet->instances[i];
      const cb_rack_t *rack = &fleet->racks[instance->rack];
      const cb_zone_t *zone = &fleet->zones[rack->zone];
      worker_t *w;
      uint32_t n = MIN (instance->spec->accelerators, 64);

      if (strcmp (zone->cell, s->cell) != 0)
        continue;
      w = worker_ensure (
          s, instance->spec->name,
          rack_ensure (s, rack->spec->name, zone_ensure (s, zone->spec->name)));
      w->in_fleet = TRUE;
      w->installed = n == 64 ? UINT64_MAX : (UINT64_C (1) << n) - 1;
      w->cores = instance->spec->cores;
      w->memory_gb = instance->spec->memory_gb;
    }
  set_accounts (s);
  for (uint32_t i = 0; i < s->workers->len; i++)
    worker_update_index (s, s->workers->pdata[i]);
}

void
cell_init (cb_sched_t *s)
{
  s->fit_cache = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->workers = g_ptr_array_new ();
  s->racks = g_ptr_array_new ();
  s->zones = g_ptr_array_new ();
  s->pins = g_ptr_array_new ();
  s->worker_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  s->rack_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  s->zone_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  s->accounts = g_hash_table_new (g_str_hash, g_str_equal);
}

void
cell_clear (cb_sched_t *s)
{
  GHashTableIter it;
  gpointer value;

  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      worker_t *w = s->workers->pdata[i];

      g_ptr_array_free (w->jobs, TRUE);
      g_ptr_array_free (w->pins, TRUE);
      g_free (w->name);
      g_free (w);
    }
  for (uint32_t i = 0; i < s->racks->len; i++)
    {
      rack_t *rack = s->racks->pdata[i];

      g_ptr_array_free (rack->workers, TRUE);
      g_free (rack->name);
      g_free (rack);
    }
  for (uint32_t i = 0; i < s->zones->len; i++)
    {
      zone_t *zone = s->zones->pdata[i];

      for (int v = 0; v < CAPACITIES; v++)
        {
          g_sequence_free (zone->workers[v]);
          g_sequence_free (zone->racks[v]);
        }
      g_free (zone->name);
      g_free (zone);
    }
  g_hash_table_iter_init (&it, s->accounts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      account_t *account = value;

      g_ptr_array_free (account->pins, TRUE);
      g_ptr_array_free (account->placed, TRUE);
      g_sequence_free (account->parked);
      g_free (account->name);
      g_free (account);
    }
  g_ptr_array_free (s->workers, TRUE);
  g_ptr_array_free (s->racks, TRUE);
  g_ptr_array_free (s->zones, TRUE);
  g_ptr_array_free (s->pins, TRUE);
  g_hash_table_destroy (s->fit_cache);
  g_hash_table_destroy (s->worker_by_name);
  g_hash_table_destroy (s->rack_by_name);
  g_hash_table_destroy (s->zone_by_name);
  g_hash_table_destroy (s->accounts);
}
