/* Checks of the invariants of a cell, for tests and replay. */
#include "sched/local.h"

#include <string.h>

/* Sets WHY, unless it is NULL, to the broken invariant and the NAME of what breaks it.
   Returns CB_SCHED_INVALID. */
static int
violation (char **why, const char *rule, const char *name)
{
  if (why != NULL)
    *why = g_strdup_printf ("%s: %s", rule, name);
  return CB_SCHED_INVALID;
}

/* Returns the accelerators of W that are pinned for accounts other than ACCOUNT. */
static uint64_t
pins_of_others (const worker_t *w, const char *account)
{
  uint64_t mask = 0;

  for (uint32_t i = 0; i < w->pins->len; i++)
    {
      const pin_t *pin = w->pins->pdata[i];

      for (uint32_t k = 0; strcmp (pin->account, account) != 0 && k < pin->parts->len;
           k++)
        if (g_array_index (pin->parts, pin_part_t, k).worker == w)
          mask |= g_array_index (pin->parts, pin_part_t, k).mask;
    }
  return mask;
}

/* What the jobs use on a worker, summed up independently of its own counts. */
typedef struct
{
  uint64_t used, pending;
  uint64_t cores, memory_gb;
} usage_t;

static int
check_job (const cb_sched_t *s, const job_t *job, usage_t *usages, char **why)
{
  uint32_t placed = 0, done = 0;
  gboolean pending = job->stage == STAGE_PREEMPTING;

  (void)s;
  for (uint32_t i = 0; i < job->spec->members; i++)
    {
      const member_t *m = &job->members[i];
      usage_t *usage;
      uint64_t *bits;

      if (m->worker == NULL)
        {
          done += m->state == CB__TASK_STATE__TASK_DONE;
          continue;
        }
      placed++;
      usage = &usages[m->worker->index];
      bits = pending ? &usage->pending : &usage->used;
      if ((*bits & m->mask) != 0)
        return violation (why, "accelerator assigned twice", job->id);
      *bits |= m->mask;
      if (!pending)
        {
          usage->cores += job->spec->cores;
          usage->memory_gb += job->spec->memory_gb;
        }
      if ((uint32_t)__builtin_popcountll (m->mask) != job->spec->accelerators)
        return violation (why, "member with a wrong number of accelerators", job->id);
      if (!m->worker->up || !m->worker->reported)
        return violation (why, "placed on an agent that is down or has not reported",
                          job->id);
      if (job->stage > STAGE_QUEUED && job->stage < STAGE_STARTING &&
          (m->worker->draining || m->worker->suspended_until_ms != 0))
        return violation (why, "placed on a draining or suspended agent", job->id);
      if (!job->can_borrow &&
          (pins_of_others (m->worker, job->spec->account) & m->mask) != 0)
        return violation (why, "not preemptible, but on a pin of another account",
                          job->id);
    }
  if (placed != job->placed_count)
    return violation (why, "wrong count of placed members", job->id);
  if (job->stage >= STAGE_PREEMPTING && job->stage <= STAGE_RUNNING &&
      placed + done != job->spec->members)
    return violation (why, "only some members placed", job->id);
  if ((job->stage == STAGE_ENDED || (job->stage == STAGE_QUEUED && !job->unresolved)) &&
      placed != 0)
    return violation (why, "queued or ended, but members are placed", job->id);
  return 0;
}

static int
check_workers (const cb_sched_t *s, const usage_t *usages, char **why)
{
  for (uint32_t i = 0; i < s->workers->len; i++)
    {
      const worker_t *w = s->workers->pdata[i];
      uint64_t pinned = 0;
      headroom_t headroom;

      if (usages[i].used != w->used || usages[i].pending != w->pending)
        return violation (why, "accelerators in use differ from those of the jobs",
                          w->name);
      if ((w->used & ~w->installed) != 0 || (w->pending & ~w->installed) != 0)
        return violation (why, "accelerator in use does not exist", w->name);
      if (usages[i].cores > w->cores || usages[i].memory_gb > w->memory_gb)
        return violation (why, "jobs exceed the cores or the memory", w->name);
      for (uint32_t k = 0; k < w->pins->len; k++)
        {
          const pin_t *pin = w->pins->pdata[k];

          for (uint32_t p = 0; p < pin->parts->len; p++)
            {
              const pin_part_t *part = &g_array_index (pin->parts, pin_part_t, p);

              if (part->worker != w)
                continue;
              if ((part->mask & pinned) != 0 || (part->mask & ~w->installed) != 0)
                return violation (why, "accelerator pinned twice or does not exist",
                                  w->name);
              pinned |= part->mask;
            }
        }
      headroom = pins_headroom (w, NULL);
      if (pinned != 0 && (headroom.cores < 0 || headroom.memory_gb < 0))
        return violation (why, "pins lack their share of the cores or the memory",
                          w->name);
      if (pinned != w->pinned)
        return violation (why, "pinned accelerators differ from those of the pins",
                          w->name);
      if (pinned != 0 && (!w->in_fleet || !w->up || !w->reported || w->draining ||
                          w->suspended_until_ms != 0))
        return violation (why, "pin on an agent that is not usable", w->name);
    }
  return 0;
}

static int
check_pins (const cb_sched_t *s, char **why)
{
  uint32_t short_pins = 0;

  for (uint32_t i = 0; i < s->pins->len; i++)
    {
      const pin_t *pin = s->pins->pdata[i];
      uint32_t count = 0;

      for (uint32_t k = 0; k < pin->parts->len; k++)
        {
          const pin_part_t *part = &g_array_index (pin->parts, pin_part_t, k);

          count += (uint32_t)__builtin_popcountll (part->mask);
          if (pin->adjacency == CB__ADJACENCY__INSTANCE && k > 0)
            return violation (why, "pin spans several instances", pin->account);
          if (pin->adjacency == CB__ADJACENCY__RACK &&
              part->worker->rack !=
                  g_array_index (pin->parts, pin_part_t, 0).worker->rack)
            return violation (why, "pin spans several racks", pin->account);
        }
      if (count != 0 && count != pin->accelerators)
        return violation (why, "pin with a wrong number of accelerators", pin->account);
      short_pins += count == 0;
    }
  if (s->takeover_done && !s->pins_dirty && short_pins != s->short_pins)
    return violation (why, "wrong count of short guarantees", s->cell);
  return 0;
}

int
cb_sched_check (const cb_sched_t *s, char **why)
{
  usage_t *usages = g_new0 (usage_t, s->workers->len + 1);
  GHashTableIter it;
  gpointer value;
  int err = 0;

  g_hash_table_iter_init (&it, s->jobs);
  while (err == 0 && g_hash_table_iter_next (&it, NULL, &value))
    err = check_job (s, value, usages, why);
  if (err == 0)
    err = check_workers (s, usages, why);
  g_free (usages);
  if (err == 0)
    err = check_pins (s, why);
  g_hash_table_iter_init (&it, s->accounts);
  while (err == 0 && g_hash_table_iter_next (&it, NULL, &value))
    {
      const account_t *account = value;

      /* Pending use may exceed the quota: it is of jobs whose preempted jobs have not
         stopped. */
      if ((account->quota > 0 &&
           account->accelerators_used - account->pending_accelerators >
               MAX (account->quota, account->exempt_accelerators)) ||
          (account->quota_cores > 0 &&
           account->cores_used - account->pending_cores >
               MAX (account->quota_cores, account->exempt_cores)))
        err = violation (why, "quota exceeded", account->name);
    }
  return err;
}
