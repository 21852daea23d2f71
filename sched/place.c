/* Finds workers and accelerators for the members of a job. */
#include "sched/local.h"

#include <string.h>

/* Workers or racks of one index that are tried. The limit keeps the time for a decision
   independent of the size of the cell; cores and memory rarely rule out this many. */
#define CANDIDATES_MAX 16
/* Racks of a zone that are tried even when a placement without cost is known. */
#define RACKS_TRIED_MIN 4
/* Job shapes in the fit cache; a full cache is cleared. */
#define FIT_CACHE_MAX 4096

void
placement_clear (placement_t *placement)
{
  g_free (placement->members);
  if (placement->to_preempt != NULL)
    g_ptr_array_free (placement->to_preempt, TRUE);
  memset (placement, 0, sizeof *placement);
}

static void
placement_init (placement_t *placement, const job_t *job)
{
  placement->members = g_new0 (member_t, job->spec->members);
  placement->to_preempt = g_ptr_array_new ();
  placement->loss = 0;
}

/* Keeps the better of two placements in BEST; an empty BEST is worse than any. TRIED is
   empty afterwards. */
static void
keep_better (placement_t *best, placement_t *tried)
{
  if (best->members == NULL || tried->loss < best->loss ||
      (tried->loss == best->loss &&
       (tried->waste < best->waste ||
        (tried->waste == best->waste && tried->partial < best->partial))))
    {
      placement_clear (best);
      *best = *tried;
      memset (tried, 0, sizeof *tried);
      return;
    }
  placement_clear (tried);
}

/* TRUE when JOB may not be placed on W: W takes no work, JOB failed on it, or its rack
   is held for another job and JOB, if it is not urgent, is expected to run past
   HELD_UNTIL_MS. */
static gboolean
worker_excluded (cb_sched_t *s, const worker_t *w, const job_t *job, cb_msec_t now_ms)
{
  if (!worker_usable (w))
    return TRUE;
  for (uint32_t i = 0; i < job->failed_worker_count; i++)
    if (job->failed_workers[i] == w->index)
      return TRUE;
  if (s->held_rack != w->rack || s->held_for == job || job->urgent)
    return FALSE;
  if (now_ms + job->predicted_ms > s->held_until_ms)
    return TRUE;
  queue_recheck (s, s->held_until_ms - job->predicted_ms + 1);
  return FALSE;
}

/* Accelerators, cores and memory that a placement may take from a worker; negative when
   exceeded. */
typedef struct
{
  uint64_t mask;
  int64_t cores, memory_gb;
} available_t;

/* Adds what CANDIDATE holds on W to AVAILABLE, of its accelerators only those in
   ALLOWED. */
static void
available_add (available_t *available, const worker_t *w, const job_t *candidate,
               uint64_t allowed)
{
  for (uint32_t i = 0; i < candidate->spec->members; i++)
    if (candidate->members[i].worker == w)
      {
        available->mask |= candidate->members[i].mask & allowed;
        available->cores += candidate->spec->cores;
        available->memory_gb += candidate->spec->memory_gb;
      }
}

/* Returns the mask of the accelerators that JOB holds on W. */
static uint64_t
accelerators_on (const job_t *job, const worker_t *w)
{
  uint64_t mask = 0;

  for (uint32_t i = 0; i < job->spec->members; i++)
    if (job->members[i].worker == w)
      mask |= job->members[i].mask;
  return mask;
}

/* TRUE when stopping CANDIDATE frees capacity on W that FOR_JOB lacks. On a pin this
   includes jobs that hold none of its accelerators, but the missing cores or memory. */
static gboolean
frees_capacity (const worker_t *w, const job_t *candidate, const job_t *for_job,
                uint64_t allowed, const available_t *available, gboolean pin)
{
  const Cb__Job *need = for_job->spec;

  if ((accelerators_on (candidate, w) & allowed) != 0)
    return TRUE;
  return pin &&
         (uint32_t)__builtin_popcountll (available->mask) >= need->accelerators &&
         ((available->cores < need->cores && candidate->spec->cores > 0) ||
          (available->memory_gb < need->memory_gb && candidate->spec->memory_gb > 0));
}

/* Returns the job on W that FOR_JOB may preempt at the smallest loss, or NULL when
   there is none. Leaves out jobs that PLACEMENT already preempts. */
static job_t *
cheapest_candidate (cb_sched_t *s, const worker_t *w, const job_t *for_job,
                    const placement_t *placement, uint64_t allowed,
                    const available_t *available, gboolean pin, cb_msec_t now_ms)
{
  job_t *best = NULL;

  for (uint32_t i = 0; i < w->jobs->len; i++)
    {
      job_t *job = w->jobs->pdata[i];

      if (!for_job->urgent && !pin ? !preemptible_for_waiting (s, job, for_job, now_ms)
                                   : (pin ? !preemptible_for_pin_owner (job)
                                          : !preemptible_for_urgent (job)) &&
                                         !preemptible_for_own_urgent (job, for_job))
        continue;
      if (!frees_capacity (w, job, for_job, allowed, available, pin) || job == best ||
          g_ptr_array_find (placement->to_preempt, job, NULL))
        continue;
      if (best == NULL ||
          preemption_loss (job, now_ms) < preemption_loss (best, now_ms))
        best = job;
    }
  return best;
}

/* Returns the COUNT lowest bits of MASK, which must have that many. */
static uint64_t
lowest_bits (uint64_t mask, uint32_t count)
{
  uint64_t bits = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      bits |= mask & -mask;
      mask &= mask - 1;
    }
  return bits;
}

/* Adds to PLACEMENT as many members of JOB as W can hold, from member FILLED on, and
   the jobs to preempt for them when CAPACITY allows that. PIN is the pin to place on,
   or NULL. Uses only accelerators in ALLOWED. Returns the number of members that have a
   worker in PLACEMENT, including the first FILLED. */
static uint32_t
fill_worker (cb_sched_t *s, const job_t *job, worker_t *w, uint64_t allowed,
             capacity_t capacity, const pin_t *pin, cb_msec_t now_ms,
             placement_t *placement, uint32_t filled)
{
  const Cb__Job *spec = job->spec;
  gboolean may_preempt =
      capacity == CAPACITY_PREEMPTIBLE || capacity == CAPACITY_PREEMPTIBLE_UNPINNED;
  available_t available = { w->installed & ~w->used & ~w->pending,
                            (int64_t)w->cores - w->cores_used - w->cores_pending,
                            (int64_t)w->memory_gb - w->memory_used_gb -
                                w->memory_pending_gb };
  headroom_t headroom = { INT64_MAX, INT64_MAX };

  /* A job that can't be preempted for the pins on W must leave their share of the cores
     and memory. */
  if (w->pins->len > 0 && (pin != NULL || !job->can_borrow))
    headroom = pins_headroom (w, pin);
  if (capacity == CAPACITY_UNPINNED || capacity == CAPACITY_PREEMPTIBLE_UNPINNED)
    allowed &= ~w->pinned;
  allowed &= w->installed & ~w->pending;
  available.mask &= allowed;
  for (uint32_t i = 0; i < placement->to_preempt->len; i++)
    available_add (&available, w, placement->to_preempt->pdata[i], allowed);
  while (filled < spec->members && headroom.cores >= spec->cores &&
         headroom.memory_gb >= spec->memory_gb)
    {
      job_t *candidate;

      if ((uint32_t)__builtin_popcountll (available.mask) >= spec->accelerators &&
          available.cores >= spec->cores && available.memory_gb >= spec->memory_gb)
        {
          placement->members[filled].worker = w;
          placement->members[filled].mask =
              lowest_bits (available.mask, spec->accelerators);
          available.mask &= ~placement->members[filled++].mask;
          available.cores -= spec->cores;
          available.memory_gb -= spec->memory_gb;
          headroom.cores -= spec->cores;
          headroom.memory_gb -= spec->memory_gb;
          continue;
        }
      candidate = may_preempt ? cheapest_candidate (s, w, job, placement, allowed,
                                                    &available, pin != NULL, now_ms)
                              : NULL;
      if (candidate == NULL)
        break;
      g_ptr_array_add (placement->to_preempt, candidate);
      /* Jobs that are preempted for neither urgent work nor the owner of a pin save
         their state first and lose no run time: their accelerators are counted. */
      placement->loss += job->urgent || pin != NULL
                             ? preemption_loss (candidate, now_ms)
                             : job_accelerators (candidate);
      available_add (&available, w, candidate, allowed);
    }
  return filled;
}

/* TRUE when some accelerators of W are free and some are not, with those of USED in
   use. */
static gboolean
partly_free (const worker_t *w, uint64_t used)
{
  return used != 0 && used != w->installed;
}

/* Returns how many accelerators of W, with those of USED in use, at least remain free
   when guaranteed shapes of one size take as many as they can. Only shapes that must
   fit on one instance count. */
static int32_t
wasted_accelerators (const cb_sched_t *s, const worker_t *w, uint64_t used)
{
  uint32_t free = (uint32_t)__builtin_popcountll (w->installed & ~used);
  uint32_t usable = 0;

  if (s->instance_shape_count == 0)
    return 0;
  for (uint32_t i = 0; i < s->instance_shape_count; i++)
    usable = MAX (usable, free - free % s->instance_shapes[i]);
  return (int32_t)(free - usable);
}

/* Sets by how much PLACEMENT changes the number of wasted accelerators and of partly
   free instances. */
static void
placement_score (const cb_sched_t *s, const job_t *job, placement_t *placement)
{
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      const worker_t *w = placement->members[i].worker;
      uint64_t used = w->used | w->pending, after = used;
      gboolean first = TRUE;

      for (uint32_t k = 0; k < job->spec->members; k++)
        if (placement->members[k].worker == w)
          {
            first &= k >= i;
            after |= placement->members[k].mask;
          }
      if (!first)
        continue;
      placement->partial += partly_free (w, after) - partly_free (w, used);
      placement->waste +=
          wasted_accelerators (s, w, after) - wasted_accelerators (s, w, used);
    }
}

/* Finds a placement of all members of JOB on PIN, which belongs to its account. On TRUE
   the caller clears PLACEMENT. */
gboolean
placement_find_in_pin (cb_sched_t *s, job_t *job, const pin_t *pin, capacity_t capacity,
                       cb_msec_t now_ms, placement_t *placement)
{
  const pin_part_t *parts = (const pin_part_t *)pin->parts->data;
  uint32_t filled = 0;

  placement_init (placement, job);
  for (uint32_t i = 0; i < pin->parts->len && filled < job->spec->members; i++)
    if (worker_usable (parts[i].worker))
      filled = fill_worker (s, job, parts[i].worker, parts[i].mask, capacity, pin,
                            now_ms, placement, filled);
  if (filled == job->spec->members)
    {
      placement_score (s, job, placement);
      return TRUE;
    }
  placement_clear (placement);
  return FALSE;
}

/* Finds a placement of all members of JOB on WORKERS, tried in this order. On FALSE,
   PLACEMENT is empty. */
static gboolean
fill_list (cb_sched_t *s, job_t *job, worker_t *const *workers, uint32_t count,
           capacity_t capacity, cb_msec_t now_ms, placement_t *placement)
{
  uint32_t filled = 0;

  placement_init (placement, job);
  for (uint32_t i = 0; i < count && filled < job->spec->members; i++)
    if (!worker_excluded (s, workers[i], job, now_ms))
      filled = fill_worker (s, job, workers[i], UINT64_MAX, capacity, NULL, now_ms,
                            placement, filled);
  if (filled == job->spec->members)
    {
      placement_score (s, job, placement);
      return TRUE;
    }
  placement_clear (placement);
  return FALSE;
}

typedef struct
{
  uint32_t need;
  capacity_t capacity;
} bound_t;

static gint
compare_worker_bound (gconstpointer item, gconstpointer bound, gpointer data)
{
  const bound_t *b = bound;

  (void)data;
  return ((const worker_t *)item)->count[b->capacity] < b->need ? -1 : 1;
}

static gint
compare_rack_bound (gconstpointer item, gconstpointer bound, gpointer data)
{
  const bound_t *b = bound;

  (void)data;
  return ((const rack_t *)item)->count[b->capacity] < b->need ? -1 : 1;
}

/* Returns the position of the first worker or rack with at least NEED accelerators of
   class CAPACITY. The last one has most, so that a job that fits nowhere costs one
   comparison, however long the index is. */
static GSequenceIter *
lower_bound (GSequence *sequence, uint32_t need, capacity_t capacity, gboolean racks)
{
  bound_t bound = { need, capacity };
  GSequenceIter *end = g_sequence_get_end_iter (sequence);
  GSequenceIter *last = g_sequence_iter_prev (end);

  if (last == end)
    return end;
  if ((racks ? compare_rack_bound : compare_worker_bound) (g_sequence_get (last),
                                                           &bound, NULL) < 0)
    return end;
  return g_sequence_search (sequence, &bound,
                            racks ? compare_rack_bound : compare_worker_bound, NULL);
}

/* TRUE when W has the cores and the memory for all members of JOB without preemption.
   Cheaper than an attempt to place them. */
static gboolean
worker_has_capacity (const worker_t *w, const job_t *job)
{
  uint64_t members = job->spec->members;

  return w->cores_used + w->cores_pending + members * job->spec->cores <= w->cores &&
         w->memory_used_gb + w->memory_pending_gb + members * job->spec->memory_gb <=
             w->memory_gb;
}

/* Looks for one instance of ZONE that can hold all members, the fullest first. */
static void
find_on_instance (cb_sched_t *s, job_t *job, zone_t *zone, capacity_t capacity,
                  cb_msec_t now_ms, placement_t *best)
{
  uint32_t need = job_accelerators (job);
  uint32_t tries = need == 0 ? 4 * CANDIDATES_MAX : CANDIDATES_MAX;
  gboolean may_preempt =
      capacity == CAPACITY_PREEMPTIBLE || capacity == CAPACITY_PREEMPTIBLE_UNPINNED;
  GSequenceIter *at = lower_bound (zone->workers[capacity], need, capacity, FALSE);

  for (; tries > 0 && !g_sequence_iter_is_end (at);
       at = g_sequence_iter_next (at), tries--)
    {
      worker_t *w = g_sequence_get (at);
      placement_t tried = { 0 };

      if ((!may_preempt && !worker_has_capacity (w, job)) ||
          !fill_list (s, job, &w, 1, capacity, now_ms, &tried))
        continue;
      keep_better (best, &tried);
      if (best->loss == 0)
        return;
    }
}

static gint
compare_count_descending (gconstpointer a, gconstpointer b, gpointer data)
{
  const worker_t *x = *(worker_t *const *)a;
  const worker_t *y = *(worker_t *const *)b;
  int capacity = GPOINTER_TO_INT (data);

  if (x->count[capacity] != y->count[capacity])
    return x->count[capacity] > y->count[capacity] ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

/* Looks for one rack of ZONE that can hold all members, the fullest first. */
static void
find_in_rack (cb_sched_t *s, job_t *job, zone_t *zone, capacity_t capacity,
              cb_msec_t now_ms, placement_t *best)
{
  uint32_t tries = CANDIDATES_MAX;
  GSequenceIter *at =
      lower_bound (zone->racks[capacity], job_accelerators (job), capacity, TRUE);

  for (; tries > 0 && !g_sequence_iter_is_end (at);
       at = g_sequence_iter_next (at), tries--)
    {
      rack_t *rack = g_sequence_get (at);
      placement_t tried = { 0 };
      GPtrArray *sorted = g_ptr_array_sized_new (rack->workers->len);

      g_ptr_array_extend (sorted, rack->workers, NULL, NULL);
      g_ptr_array_sort_with_data (sorted, compare_count_descending,
                                  GINT_TO_POINTER (capacity));
      if (fill_list (s, job, (worker_t **)sorted->pdata, sorted->len, capacity, now_ms,
                     &tried))
        keep_better (best, &tried);
      /* The reverse order prefers partly used instances and uses up their
         remainders. */
      for (uint32_t i = 0; i < sorted->len / 2; i++)
        {
          gpointer *x = &sorted->pdata[i];
          gpointer *y = &sorted->pdata[sorted->len - 1 - i];
          gpointer swap = *x;

          *x = *y;
          *y = swap;
        }
      if (fill_list (s, job, (worker_t **)sorted->pdata, sorted->len, capacity, now_ms,
                     &tried))
        keep_better (best, &tried);
      g_ptr_array_free (sorted, TRUE);
      /* Nothing is preempted and no further instance is broken up: in a large cell a
         better placement is not worth the time of a further search. */
      if (tries <= CANDIDATES_MAX - RACKS_TRIED_MIN + 1 && best->members != NULL &&
          best->loss == 0 && best->waste <= 0 && best->partial <= 0)
        return;
    }
}

/* Appends the workers of ZONE with most accelerators of class CAPACITY: enough for JOB
   and some more, in case cores or memory are missing. */
static void
add_least_used (GPtrArray *list, const zone_t *zone, const job_t *job,
                capacity_t capacity)
{
  uint32_t remaining = job->spec->members + 4 * CANDIDATES_MAX;
  GSequenceIter *at = g_sequence_get_end_iter (zone->workers[capacity]);

  while (remaining-- > 0 && !g_sequence_iter_is_begin (at))
    {
      worker_t *w;

      at = g_sequence_iter_prev (at);
      w = g_sequence_get (at);
      if (w->count[capacity] < job->spec->accelerators)
        return;
      g_ptr_array_add (list, w);
    }
}

static void
find_in_list (cb_sched_t *s, job_t *job, const GPtrArray *list, capacity_t capacity,
              cb_msec_t now_ms, placement_t *best)
{
  placement_t tried = { 0 };

  if (fill_list (s, job, (worker_t **)list->pdata, list->len, capacity, now_ms, &tried))
    keep_better (best, &tried);
}

/* Looks for a placement on the workers of ZONE with most accelerators of class
   CAPACITY, in any rack. */
static void
find_in_zone (cb_sched_t *s, job_t *job, const zone_t *zone, capacity_t capacity,
              cb_msec_t now_ms, placement_t *best)
{
  GPtrArray *list = g_ptr_array_new ();

  add_least_used (list, zone, job, capacity);
  find_in_list (s, job, list, capacity, now_ms, best);
  g_ptr_array_free (list, TRUE);
}

/* Looks for a placement on the workers of each zone with most accelerators of class
   CAPACITY, in any zones. */
static void
find_anywhere (cb_sched_t *s, job_t *job, capacity_t capacity, cb_msec_t now_ms,
               placement_t *best)
{
  GPtrArray *list = g_ptr_array_new ();

  for (uint32_t i = 0; i < s->zones->len; i++)
    add_least_used (list, s->zones->pdata[i], job, capacity);
  find_in_list (s, job, list, capacity, now_ms, best);
  g_ptr_array_free (list, TRUE);
}

/* For the baseline policies: takes the first instance, or else the first rack, in the
   order of the inventory that can hold all members, by a linear scan; or else searches
   the zones like placement_find. Stops where the adjacency permits no wider search. */
static void
find_first_fit (cb_sched_t *s, job_t *job, capacity_t capacity, cb_msec_t now_ms,
                placement_t *best)
{
  Cb__Adjacency adjacency = job->spec->adjacency;

  for (uint32_t i = 0; i < s->workers->len && best->members == NULL; i++)
    fill_list (s, job, (worker_t **)&s->workers->pdata[i], 1, capacity, now_ms, best);
  if (adjacency == CB__ADJACENCY__INSTANCE)
    return;
  for (uint32_t i = 0; i < s->racks->len && best->members == NULL; i++)
    {
      rack_t *rack = s->racks->pdata[i];

      fill_list (s, job, (worker_t **)rack->workers->pdata, rack->workers->len,
                 capacity, now_ms, best);
    }
  if (adjacency == CB__ADJACENCY__RACK || best->members != NULL)
    return;
  for (uint32_t i = 0; i < s->zones->len && best->members == NULL; i++)
    find_in_zone (s, job, s->zones->pdata[i], capacity, now_ms, best);
  if (adjacency == CB__ADJACENCY__ANY && best->members == NULL)
    find_anywhere (s, job, capacity, now_ms, best);
}

/* Finds a placement of all members on accelerators of class CAPACITY, as far as the
   adjacency permits: the best of those on one instance and in one rack, by the smallest
   loss, then waste, then number of partly free instances; if there is none, in one
   zone, or else anywhere. The baseline policies take the first placement found. On TRUE
   the caller clears PLACEMENT. */
gboolean
placement_find (cb_sched_t *s, job_t *job, capacity_t capacity, cb_msec_t now_ms,
                placement_t *placement)
{
  Cb__Adjacency adjacency = job->spec->adjacency;

  memset (placement, 0, sizeof *placement);
  if (!s->policy->best_fit)
    {
      find_first_fit (s, job, capacity, now_ms, placement);
      return placement->members != NULL;
    }
  /* In a full cell each waiting job is tried again at each tick: the sum over the cell
     rules out most of them. */
  if (s->count[capacity] < job_accelerators (job))
    return FALSE;
  for (uint32_t i = 0; i < s->zones->len; i++)
    find_on_instance (s, job, s->zones->pdata[i], capacity, now_ms, placement);
  if (adjacency == CB__ADJACENCY__INSTANCE)
    return placement->members != NULL;
  for (uint32_t i = 0; i < s->zones->len; i++)
    find_in_rack (s, job, s->zones->pdata[i], capacity, now_ms, placement);
  if (placement->members != NULL || adjacency == CB__ADJACENCY__RACK)
    return placement->members != NULL;
  for (uint32_t i = 0; i < s->zones->len; i++)
    find_in_zone (s, job, s->zones->pdata[i], capacity, now_ms, placement);
  if (placement->members == NULL && adjacency == CB__ADJACENCY__ANY)
    find_anywhere (s, job, capacity, now_ms, placement);
  return placement->members != NULL;
}

/* Returns the number of members of JOB that W can hold when it is empty. */
static uint32_t
members_when_empty (const worker_t *w, const Cb__Job *job)
{
  uint32_t slots = job->members;

  if (!w->in_fleet || w->installed == 0) /* instances without accelerators run no
                                            worker */
    return 0;
  if (job->accelerators > 0)
    slots =
        MIN (slots, (uint32_t)__builtin_popcountll (w->installed) / job->accelerators);
  if (job->cores > 0)
    slots = MIN (slots, w->cores / job->cores);
  if (job->memory_gb > 0)
    slots = MIN (slots, w->memory_gb / job->memory_gb);
  return slots;
}

/* TRUE when JOB fits into the cell with nothing else running. */
static gboolean
fits_empty_cell (const cb_sched_t *s, const Cb__Job *job)
{
  uint64_t *by_zone = g_new0 (uint64_t, s->zones->len + 1);
  uint64_t total = 0;
  gboolean fits = FALSE;

  for (uint32_t i = 0; i < s->racks->len && !fits; i++)
    {
      const rack_t *rack = s->racks->pdata[i];
      uint64_t in_rack = 0;
      guint zone = 0;

      g_ptr_array_find (s->zones, rack->zone, &zone);
      for (uint32_t k = 0; k < rack->workers->len; k++)
        {
          uint32_t slots = members_when_empty (rack->workers->pdata[k], job);

          fits |= slots >= job->members;
          in_rack += slots;
        }
      by_zone[zone] += in_rack;
      total += in_rack;
      if (job->adjacency != CB__ADJACENCY__INSTANCE)
        fits |= in_rack >= job->members;
      if (job->adjacency == CB__ADJACENCY__ZONE)
        fits |= by_zone[zone] >= job->members;
      if (job->adjacency == CB__ADJACENCY__ANY)
        fits |= total >= job->members;
    }
  g_free (by_zone);
  return fits;
}

/* Like fits_empty_cell, from a cache: only the first job of a shape costs a scan of the
   cell. */
gboolean
placement_could_fit (const cb_sched_t *s, const Cb__Job *job)
{
  char *shape = g_strdup_printf ("%u %u %u %u %d", job->members, job->accelerators,
                                 job->cores, job->memory_gb, (int)job->adjacency);
  gpointer known;
  gboolean fits;

  if (g_hash_table_lookup_extended (s->fit_cache, shape, NULL, &known))
    {
      g_free (shape);
      return GPOINTER_TO_INT (known);
    }
  fits = fits_empty_cell (s, job);
  if (g_hash_table_size (s->fit_cache) >= FIT_CACHE_MAX)
    g_hash_table_remove_all (s->fit_cache);
  g_hash_table_insert (s->fit_cache, shape, GINT_TO_POINTER (fits));
  return fits;
}
