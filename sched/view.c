/* Status of jobs and of the cell; the measure of fragmentation. */
#include "sched/local.h"

#include <string.h>

int
cb_sched_job_status (const cb_sched_t *s, const char *account, const char *key,
                     cb_sched_job_status_t *status)
{
  char *id = g_strconcat (account, "\n", key, NULL);
  const job_t *job = g_hash_table_lookup (s->jobs, id);

  g_free (id);
  if (job == NULL)
    return CB_SCHED_NOT_FOUND;
  memset (status, 0, sizeof *status);
  status->attempt = job->attempt;
  status->queued_ms = job->added_ms;
  status->started_ms = job->started_ms;
  status->reason = job->reason;
  status->urgent_lost = job->urgent_lost;
  switch (job->stage)
    {
    case STAGE_RUNNING:
      status->state = CB__JOB_STATE__JOB_RUNNING;
      break;
    case STAGE_RESERVING:
    case STAGE_APPENDING:
    case STAGE_STARTING:
      status->state = CB__JOB_STATE__JOB_STARTING;
      break;
    case STAGE_ENDED:
      status->state = job->end_state;
      break;
    default:
      status->state = CB__JOB_STATE__JOB_QUEUED;
    }
  return 0;
}

/* Shapes that are compared with the free accelerators. More would make a status call
   slow, and the jobs at the head of the queue are started next. */
#define SHAPES_MAX 64

/* Members of a job, or of a guarantee, and the accelerators of each. */
typedef struct
{
  uint32_t members, accelerators;
  Cb__Adjacency adjacency;
} shape_t;

/* Adds a shape unless it is known, needs no accelerators, or there are SHAPES_MAX. */
static void
add_shape (GArray *shapes, uint32_t members, uint32_t accelerators,
           Cb__Adjacency adjacency)
{
  shape_t shape = { members, accelerators, adjacency };

  if (accelerators == 0 || shapes->len >= SHAPES_MAX)
    return;
  for (uint32_t i = 0; i < shapes->len; i++)
    {
      const shape_t *known = &g_array_index (shapes, shape_t, i);

      if (known->members == members && known->accelerators == accelerators &&
          known->adjacency == adjacency)
        return;
    }
  g_array_append_val (shapes, shape);
}

/* Returns the shapes of the guarantees and of the first jobs in the queue; the caller
   frees the array. */
static GArray *
collect_shapes (const cb_sched_t *s)
{
  GArray *shapes = g_array_new (FALSE, FALSE, sizeof (shape_t));
  GSequenceIter *at = g_sequence_get_begin_iter (s->queue);

  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      const pin_t *pin = s->pins->pdata[i];

      add_shape (shapes, pin->accelerators, 1, pin->adjacency);
    }
  for (int i = 0; i < SHAPES_MAX && !g_sequence_iter_is_end (at); i++)
    {
      const job_t *job = g_sequence_get (at);

      add_shape (shapes, job->spec->members, job->spec->accelerators,
                 job->spec->adjacency);
      at = g_sequence_iter_next (at);
    }
  return shapes;
}

/* Raises USABLE of each worker of RACK to the number of its free accelerators that
   SHAPE can use. With an adjacency wider than a rack, each member counts by itself. */
static void
add_usable (const rack_t *rack, const shape_t *shape, uint32_t *usable)
{
  uint32_t slots = 0;

  for (uint32_t i = 0; i < rack->workers->len; i++)
    slots += ((worker_t *)rack->workers->pdata[i])->count[CAPACITY_FREE] /
             shape->accelerators;
  if (shape->adjacency == CB__ADJACENCY__RACK && slots < shape->members)
    return;
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      const worker_t *w = rack->workers->pdata[i];
      uint32_t slots_used = w->count[CAPACITY_FREE] / shape->accelerators;

      if (shape->adjacency == CB__ADJACENCY__INSTANCE)
        slots_used -= slots_used % shape->members;
      usable[w->index] = MAX (usable[w->index], slots_used * shape->accelerators);
    }
}

/* Returns the share of the free accelerators that no queued or guaranteed shape can
   use, see docs/measures.md. */
static double
fragmentation (const cb_sched_t *s)
{
  GArray *shapes = collect_shapes (s);
  uint32_t *usable = g_new0 (uint32_t, s->workers->len + 1);
  uint64_t total = 0, used = 0;

  for (uint32_t i = 0; i < shapes->len; i++)
    for (uint32_t k = 0; k < s->racks->len; k++)
      add_usable (s->racks->pdata[k], &g_array_index (shapes, shape_t, i), usable);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      total += ((worker_t *)s->workers->pdata[i])->count[CAPACITY_FREE];
      used += usable[i];
    }
  if (shapes->len == 0)
    used = total;
  g_free (usable);
  g_array_free (shapes, TRUE);
  return total == 0 ? 0 : 1.0 - (double)used / (double)total;
}

void
cb_sched_totals (const cb_sched_t *s, cb_sched_totals_t *totals)
{
  memset (totals, 0, sizeof *totals);
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];

      if (!w->in_fleet || !w->up)
        continue;
      totals->workers_up++;
      totals->workers_suspended += w->suspended_until_ms != 0;
      totals->accelerators += (uint32_t)__builtin_popcountll (w->installed);
      totals->accelerators_used += (uint32_t)__builtin_popcountll (w->used);
    }
  totals->jobs_queued = s->queued_count;
  totals->guarantees = s->pins->len;
  totals->guarantees_short = s->short_pins;
  totals->fragmentation = fragmentation (s);
  {
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init (&it, s->jobs);
    while (g_hash_table_iter_next (&it, NULL, &value))
      totals->jobs_running += ((job_t *)value)->stage == STAGE_RUNNING;
  }
}

void
cb_sched_each_pin (const cb_sched_t *s,
                   void (*fn) (void *ctx, const char *account, uint32_t accelerators,
                               const char *const *instances, uint32_t count),
                   void *ctx)
{
  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      const pin_t *pin = s->pins->pdata[i];
      const char **names = g_new0 (const char *, pin->parts->len + 1);

      for (uint32_t k = 0; k < pin->parts->len; k++)
        names[k] = g_array_index (pin->parts, pin_part_t, k).worker->name;
      fn (ctx, pin->account, pin->accelerators, names, pin->parts->len);
      g_free (names);
    }
}
