/* Pins: the accelerators of workers that are set aside for the guaranteed shapes of the
   rules, with their share of the cores and the memory. */
#include "sched/local.h"

#include <string.h>

/* Returns the COUNT lowest bits of MASK, or all when it has fewer. */
static uint64_t
lowest_bits_up_to (uint64_t mask, uint32_t count)
{
  uint64_t bits = 0;

  for (; count > 0 && mask != 0; count--, mask &= mask - 1)
    bits |= mask & -mask;
  return bits;
}

/* Returns the share of the cores and memory of W that belongs to COUNT of its
   accelerators. */
static headroom_t
proportional_share (const worker_t *w, uint32_t count)
{
  uint32_t total = (uint32_t)__builtin_popcountll (w->installed);
  headroom_t share = { 0, 0 };

  if (total > 0)
    {
      share.cores = (int64_t)w->cores * count / total;
      share.memory_gb = (int64_t)w->memory_gb * count / total;
    }
  return share;
}

static uint32_t
pin_count_on (const pin_t *pin, const worker_t *w)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < pin->parts->len; i++)
    if (g_array_index (pin->parts, pin_part_t, i).worker == w)
      count += (uint32_t)__builtin_popcountll (
          g_array_index (pin->parts, pin_part_t, i).mask);
  return count;
}

/* Returns the cores and memory of W that are left for jobs that can't be preempted for
   a pin: what such jobs don't use and no pin needs. A pin needs the share of its
   accelerators, less what the job that holds the pin uses on W. The pin WITHOUT, which
   may be NULL, and its job don't count. */
headroom_t
pins_headroom (const worker_t *w, const pin_t *without)
{
  headroom_t headroom = { w->cores, w->memory_gb };

  for (uint32_t i = 0; i < w->jobs->len; i++)
    {
      const job_t *job = w->jobs->pdata[i];

      if ((job->can_borrow && job->pin == NULL) ||
          (job->pin != NULL && job->pin == without))
        continue;
      headroom.cores -= job->spec->cores;
      headroom.memory_gb -= job->spec->memory_gb;
    }
  for (uint32_t i = 0; i < w->pins->len; i++)
    {
      const pin_t *pin = w->pins->pdata[i];
      headroom_t need;

      if (pin == without)
        continue;
      need = proportional_share (w, pin_count_on (pin, w));
      for (uint32_t k = 0; pin->holder != NULL && k < w->jobs->len; k++)
        if (w->jobs->pdata[k] == pin->holder)
          {
            need.cores -= pin->holder->spec->cores;
            need.memory_gb -= pin->holder->spec->memory_gb;
          }
      headroom.cores -= MAX (0, need.cores);
      headroom.memory_gb -= MAX (0, need.memory_gb);
    }
  return headroom;
}

/* Returns as many accelerators of MASK as a pin can get on W with their share of the
   cores and memory. */
uint64_t
pins_limit_mask (const worker_t *w, uint64_t mask)
{
  uint32_t count = (uint32_t)__builtin_popcountll (mask);
  headroom_t headroom = pins_headroom (w, NULL);
  headroom_t need = proportional_share (w, count);

  if (need.cores <= headroom.cores && need.memory_gb <= headroom.memory_gb)
    return mask;
  while (count > 0 &&
         (need.cores > headroom.cores || need.memory_gb > headroom.memory_gb))
    need = proportional_share (w, --count);
  return lowest_bits_up_to (mask, count);
}

/* Releases pins on W until the share of the remaining pins on W is no longer used by
   jobs that can't be preempted for these pins. */
void
pins_trim (cb_sched_t *s, worker_t *w)
{
  headroom_t headroom;

  while (w->pins->len > 0)
    {
      headroom = pins_headroom (w, NULL);
      if (headroom.cores >= 0 && headroom.memory_gb >= 0)
        return;
      pin_release (s, w->pins->pdata[w->pins->len - 1]);
    }
}

/* Returns the accelerators of W that a pin can get now. */
static uint64_t
pinnable_mask (const worker_t *w)
{
  uint64_t not_preemptible = 0;

  if (!worker_usable (w))
    return 0;
  for (uint32_t i = 0; i < w->jobs->len; i++)
    {
      const job_t *job = w->jobs->pdata[i];

      for (uint32_t m = 0; m < job->spec->members && !job->can_borrow; m++)
        if (job->members[m].worker == w)
          not_preemptible |= job->members[m].mask;
    }
  return pins_limit_mask (w, w->installed & ~w->pinned & ~not_preemptible);
}

/* Releases the accelerators of PIN. It has none until pins_repair places it again. */
void
pin_release (cb_sched_t *s, pin_t *pin)
{
  GArray *parts = pin->parts;

  pin->parts = g_array_new (FALSE, FALSE, sizeof (pin_part_t));
  if (pin->holder != NULL)
    pin->holder->pin = NULL;
  pin->holder = NULL;
  for (uint32_t i = 0; i < parts->len; i++)
    {
      pin_part_t *part = &g_array_index (parts, pin_part_t, i);

      part->worker->pinned &= ~part->mask;
      g_ptr_array_remove (part->worker->pins, pin);
      worker_update_index (s, part->worker);
    }
  g_array_free (parts, TRUE);
  s->pins_dirty = TRUE;
}

/* Releases all pins that have accelerators of W, which is no longer usable. */
void
pins_release_worker (cb_sched_t *s, worker_t *w)
{
  while (w->pins->len > 0)
    pin_release (s, w->pins->pdata[0]);
}

/* Releases pins of accounts other than OWNER that have accelerators of MASK on W. */
void
pins_release_mask (cb_sched_t *s, worker_t *w, uint64_t mask, const account_t *owner)
{
  for (uint32_t i = w->pins->len; i-- > 0;)
    {
      pin_t *pin = w->pins->pdata[i];

      if (strcmp (pin->account, owner->name) == 0)
        continue;
      for (uint32_t k = 0; k < pin->parts->len; k++)
        {
          const pin_part_t *part = &g_array_index (pin->parts, pin_part_t, k);

          if (part->worker == w && (part->mask & mask) != 0)
            {
              pin_release (s, pin);
              break;
            }
        }
    }
}

/* TRUE when the shape of PIN is large enough for JOB and at least as adjacent as JOB
   needs. */
gboolean
pin_fits (const pin_t *pin, const Cb__Job *job)
{
  return job->accelerators > 0 &&
         (uint64_t)job->members * job->accelerators <= pin->accelerators &&
         (job->adjacency == CB__ADJACENCY__ANY ||
          (pin->adjacency != CB__ADJACENCY__ANY && pin->adjacency <= job->adjacency));
}

/* Pins PIN to the first pinnable accelerators of WORKERS; FALSE, without a change, when
   they are too few. */
static gboolean
pin_to_workers (cb_sched_t *s, pin_t *pin, worker_t *const *workers, uint32_t count)
{
  uint32_t remaining = pin->accelerators;

  for (uint32_t i = 0; i < count && remaining > 0; i++)
    remaining -=
        MIN (remaining, (uint32_t)__builtin_popcountll (pinnable_mask (workers[i])));
  if (remaining > 0)
    return FALSE;
  remaining = pin->accelerators;
  for (uint32_t i = 0; i < count && remaining > 0; i++)
    {
      pin_part_t part = { workers[i],
                          lowest_bits_up_to (pinnable_mask (workers[i]), remaining) };

      if (part.mask == 0)
        continue;
      remaining -= (uint32_t)__builtin_popcountll (part.mask);
      g_array_append_val (pin->parts, part);
      part.worker->pinned |= part.mask;
      g_ptr_array_add (part.worker->pins, pin);
      worker_update_index (s, part.worker);
    }
  return TRUE;
}

/* Returns the position of the first worker or rack with at least NEED pinnable
   accelerators in SEQUENCE, which is sorted by their count. */
static GSequenceIter *
first_with_count (GSequence *sequence, uint32_t need, gboolean racks)
{
  GSequenceIter *low = g_sequence_get_begin_iter (sequence);
  GSequenceIter *high = g_sequence_get_end_iter (sequence);

  while (low != high)
    {
      GSequenceIter *middle = g_sequence_range_get_midpoint (low, high);
      gpointer item = g_sequence_get (middle);
      uint32_t count = racks ? ((rack_t *)item)->count[CAPACITY_PINNABLE]
                             : ((worker_t *)item)->count[CAPACITY_PINNABLE];

      if (count < need)
        low = g_sequence_iter_next (middle);
      else
        high = middle;
    }
  return low;
}

/* Pins PIN to the workers of a zone that have most pinnable accelerators, or of several
   zones when its adjacency is ANY. */
static gboolean
pin_to_zones (cb_sched_t *s, pin_t *pin)
{
  GPtrArray *list = g_ptr_array_new ();
  gboolean done = FALSE;

  for (uint32_t i = 0; i < s->zones->len && !done; i++)
    {
      zone_t *zone = s->zones->pdata[i];
      GSequenceIter *at = g_sequence_get_end_iter (zone->workers[CAPACITY_PINNABLE]);
      uint32_t remaining = pin->accelerators;

      if (pin->zone != NULL && strcmp (pin->zone, zone->name) != 0)
        continue;
      if (pin->adjacency == CB__ADJACENCY__ZONE)
        g_ptr_array_set_size (list, 0);
      while (remaining > 0 && !g_sequence_iter_is_begin (at))
        {
          worker_t *w;

          at = g_sequence_iter_prev (at);
          w = g_sequence_get (at);
          if (w->count[CAPACITY_PINNABLE] == 0)
            break;
          remaining -= MIN (remaining, w->count[CAPACITY_PINNABLE]);
          g_ptr_array_add (list, w);
        }
      done = pin_to_workers (s, pin, (worker_t **)list->pdata, list->len);
    }
  g_ptr_array_free (list, TRUE);
  return done;
}

/* Pins PIN to the fullest instance that can hold it, of the first zone with such an
   instance, or else likewise to a rack, or else to workers of several racks, as far as
   its adjacency permits. FALSE when it fits
   nowhere. */
static gboolean
pin_place (cb_sched_t *s, pin_t *pin)
{
  for (uint32_t i = 0; i < s->zones->len; i++)
    {
      zone_t *zone = s->zones->pdata[i];
      GSequenceIter *at;
      worker_t *w;

      if (pin->zone != NULL && strcmp (pin->zone, zone->name) != 0)
        continue;
      at =
          first_with_count (zone->workers[CAPACITY_PINNABLE], pin->accelerators, FALSE);
      if (g_sequence_iter_is_end (at))
        continue;
      w = g_sequence_get (at);
      if (pin_to_workers (s, pin, &w, 1))
        return TRUE;
    }
  if (pin->adjacency == CB__ADJACENCY__INSTANCE)
    return FALSE;
  for (uint32_t i = 0; i < s->zones->len; i++)
    {
      zone_t *zone = s->zones->pdata[i];
      GSequenceIter *at;
      rack_t *rack;

      if (pin->zone != NULL && strcmp (pin->zone, zone->name) != 0)
        continue;
      at = first_with_count (zone->racks[CAPACITY_PINNABLE], pin->accelerators, TRUE);
      if (g_sequence_iter_is_end (at))
        continue;
      rack = g_sequence_get (at);
      if (pin_to_workers (s, pin, (worker_t **)rack->workers->pdata,
                          rack->workers->len))
        return TRUE;
    }
  return pin->adjacency != CB__ADJACENCY__RACK && pin_to_zones (s, pin);
}

/* Places the pins that have no accelerators, and counts those that fit nowhere. Does
   nothing before the takeover is done. */
void
pins_repair (cb_sched_t *s, cb_msec_t now_ms)
{
  uint32_t missing = 0;

  (void)now_ms;
  if (!s->pins_dirty || !s->takeover_done)
    return;
  s->pins_dirty = FALSE;
  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      pin_t *pin = s->pins->pdata[i];

      if (pin->parts->len == 0 && !pin_place (s, pin))
        missing++;
    }
  if (missing != s->short_pins)
    {
      char *cell = cb_json_quote (s->cell);

      cb_outq_event (&s->out, "guarantee", "\"cell\":%s,\"short\":%u,\"total\":%u",
                     cell, missing, s->pins->len);
      g_free (cell);
    }
  s->short_pins = missing;
}

/* Moves the pins on RACK that no job of their owner uses to other racks, as far as they
   fit there, so that a large job can use RACK. */
void
pins_move_off_rack (cb_sched_t *s, rack_t *rack)
{
  uint64_t *installed = g_new (uint64_t, rack->workers->len + 1);

  /* While its workers have no accelerators, no pin is placed on the rack. */
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      worker_t *w = rack->workers->pdata[i];

      installed[i] = w->installed;
      w->installed = 0;
      worker_update_index (s, w);
    }
  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      pin_t *pin = s->pins->pdata[i];
      GArray *old = pin->parts;

      if (old->len == 0 || pin->holder != NULL ||
          g_array_index (old, pin_part_t, 0).worker->rack != rack)
        continue;
      pin->parts = g_array_new (FALSE, FALSE, sizeof (pin_part_t));
      if (!pin_place (s, pin))
        {
          g_array_free (pin->parts, TRUE);
          pin->parts = old;
          continue;
        }
      for (uint32_t k = 0; k < old->len; k++)
        {
          pin_part_t *part = &g_array_index (old, pin_part_t, k);

          part->worker->pinned &= ~part->mask;
          g_ptr_array_remove (part->worker->pins, pin);
          worker_update_index (s, part->worker);
        }
      g_array_free (old, TRUE);
    }
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      worker_t *w = rack->workers->pdata[i];

      w->installed = installed[i];
      worker_update_index (s, w);
    }
  g_free (installed);
}

/* Frees all pins. */
void
pins_clear (cb_sched_t *s)
{
  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      pin_t *pin = s->pins->pdata[i];

      pin_release (s, pin);
      g_array_free (pin->parts, TRUE);
      g_free (pin->account);
      g_free (pin->zone);
      g_free (pin);
    }
  g_ptr_array_set_size (s->pins, 0);
}

static gboolean
pin_equal (const pin_t *a, const pin_t *b)
{
  return a->accelerators == b->accelerators && a->adjacency == b->adjacency &&
         strcmp (a->account, b->account) == 0 && g_strcmp0 (a->zone, b->zone) == 0;
}

static gint
compare_size_descending (gconstpointer a, gconstpointer b)
{
  const pin_t *x = *(pin_t *const *)a;
  const pin_t *y = *(pin_t *const *)b;

  return (x->accelerators < y->accelerators) - (x->accelerators > y->accelerators);
}

/* Adds the pins of guarantee G of account NAME, none when G names a zone that the cell
   does not have. Takes equal pins from OLD, where there
   are any, with the accelerators they have. */
static void
add_pins (cb_sched_t *s, const char *name, const Cb__Guarantee *g, GPtrArray *old)
{
  gboolean pinned_zone = *g->availability_zone != '\0';

  if (g->accelerators == 0 ||
      (pinned_zone && !g_hash_table_contains (s->zone_by_name, g->availability_zone)))
    return;
  for (uint32_t i = 0; i < g->count; i++)
    {
      pin_t *pin = g_new0 (pin_t, 1);

      pin->account = g_strdup (name);
      pin->accelerators = g->accelerators;
      pin->adjacency = g->adjacency;
      pin->zone = pinned_zone ? g_strdup (g->availability_zone) : NULL;
      pin->parts = g_array_new (FALSE, FALSE, sizeof (pin_part_t));
      for (uint32_t k = 0; k < old->len; k++)
        if (pin_equal (old->pdata[k], pin))
          {
            pin_t *kept = g_ptr_array_remove_index (old, k);

            g_array_free (pin->parts, TRUE);
            g_free (pin->account);
            g_free (pin->zone);
            g_free (pin);
            pin = kept;
            break;
          }
      g_ptr_array_add (s->pins, pin);
      g_ptr_array_add (cell_account (s, name)->pins, pin);
    }
}

/* Makes the pins for the guarantees of the rules; equal pins keep their accelerators.
   Large shapes are placed first, as fewer workers can hold them. */
void
pins_rebuild (cb_sched_t *s)
{
  const Cb__Rules *rules = s->fleet->config->rules;
  GPtrArray *old = s->pins;
  GPtrArray *made;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->accounts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_ptr_array_set_size (((account_t *)value)->pins, 0);
  s->pins = g_ptr_array_new ();
  for (size_t i = 0; i < rules->n_accounts; i++)
    for (size_t k = 0; k < rules->accounts[i]->n_guarantees; k++)
      add_pins (s, rules->accounts[i]->name, rules->accounts[i]->guarantees[k], old);
  made = s->pins;
  s->pins = old;
  pins_clear (s);
  g_ptr_array_free (s->pins, TRUE);
  s->pins = made;
  g_ptr_array_sort (s->pins, compare_size_descending);
  s->instance_shape_count = 0;
  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      const pin_t *pin = s->pins->pdata[i];

      if (pin->adjacency == CB__ADJACENCY__INSTANCE &&
          s->instance_shape_count < G_N_ELEMENTS (s->instance_shapes) &&
          (s->instance_shape_count == 0 ||
           s->instance_shapes[s->instance_shape_count - 1] != pin->accelerators))
        s->instance_shapes[s->instance_shape_count++] = pin->accelerators;
    }
  s->pins_dirty = TRUE;
}
