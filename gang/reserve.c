/* Reservations: checks a request against the free capacity and holds the resources. */
#include "gang/local.h"

#include <stdlib.h>
#include <string.h>

/* Resources held by all tasks of this instance. */
typedef struct
{
  uint64_t cores;
  uint64_t memory_gb;
  GHashTable *accelerators; /* set of indexes */
} usage_t;

static void
add_usage (const cb_gang_t *gang, usage_t *usage)
{
  for (guint i = 0; i < gang->jobs->len; i++)
    {
      const job_t *job = gang->jobs->pdata[i];

      for (guint k = 0; k < job->tasks->len; k++)
        {
          const task_t *task = job->tasks->pdata[k];

          if (!cb_gang_task_holds_resources (task))
            continue;
          usage->cores += task->info->cores;
          usage->memory_gb += task->info->memory_gb;
          for (size_t a = 0; a < task->info->n_accelerators; a++)
            g_hash_table_add (usage->accelerators,
                              GUINT_TO_POINTER (task->info->accelerators[a]));
        }
    }
}

/* Checks that the placements are on this instance, and that their accelerator indexes
   are in range and distinct. */
static Cb__Reason
check_placements (const cb_gang_t *gang, const Cb__Reserve *reserve)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);
  Cb__Reason reason =
      reserve->n_placements == 0 ? CB__REASON__BAD_REQUEST : CB__REASON__REASON_NONE;

  for (size_t i = 0; i < reserve->n_placements; i++)
    {
      const Cb__Placement *placement = reserve->placements[i];

      if (strcmp (placement->instance, gang->instance) != 0)
        reason = CB__REASON__BAD_REQUEST;
      for (size_t a = 0; a < placement->n_accelerators; a++)
        {
          if (!g_hash_table_add (seen, GUINT_TO_POINTER (placement->accelerators[a])))
            reason = CB__REASON__BAD_REQUEST;
          else if (placement->accelerators[a] >= gang->accelerators)
            reason = CB__REASON__NEVER_FITS;
        }
    }
  g_hash_table_unref (seen);
  return reason;
}

/* Checks that the instance accepts reservations. Without a configuration the capacity
   is unknown: the reason must not be one that makes the scheduler give up, such
   as NEVER_FITS. */
static Cb__Reason
check_available (const cb_gang_t *gang)
{
  if (gang->draining)
    return CB__REASON__DRAINING;
  if (gang->accelerators == 0 && gang->cores == 0 && gang->memory_gb == 0)
    return CB__REASON__NO_CONFIG;
  return CB__REASON__REASON_NONE;
}

/* Returns RESERVED when a requested accelerator is in use; otherwise NEVER_FITS when
   the cores or memory exceed the instance's capacity, and RESERVED when they exceed the
   free capacity. */
static Cb__Reason
check_capacity (const cb_gang_t *gang, const Cb__Reserve *reserve)
{
  uint64_t cores = (uint64_t)reserve->cores * reserve->n_placements;
  uint64_t memory_gb = (uint64_t)reserve->memory_gb * reserve->n_placements;
  usage_t usage = { 0, 0, g_hash_table_new (NULL, NULL) };
  Cb__Reason reason = CB__REASON__REASON_NONE;

  add_usage (gang, &usage);
  if (cores > gang->cores || memory_gb > gang->memory_gb)
    reason = CB__REASON__NEVER_FITS;
  else if (usage.cores + cores > gang->cores ||
           usage.memory_gb + memory_gb > gang->memory_gb)
    reason = CB__REASON__RESERVED;
  for (size_t i = 0; i < reserve->n_placements; i++)
    for (size_t a = 0; a < reserve->placements[i]->n_accelerators; a++)
      if (g_hash_table_contains (
              usage.accelerators,
              GUINT_TO_POINTER (reserve->placements[i]->accelerators[a])))
        reason = CB__REASON__RESERVED;
  g_hash_table_unref (usage.accelerators);
  return reason;
}

static void
free_task (gpointer data)
{
  task_t *task = data;

  cb_msg_free (task->info);
  g_free (task);
}

static task_t *
new_task (const Cb__Reserve *reserve, const Cb__Placement *placement, uint64_t epoch)
{
  task_t *task = g_new0 (task_t, 1);
  Cb__Task *info = cb_msg_new (&cb__task__descriptor);
  size_t bytes = placement->n_accelerators * sizeof (uint32_t);

  cb_msg_set_string (&info->job_key, reserve->job_key);
  cb_msg_set_string (&info->account, reserve->account);
  info->attempt = reserve->attempt;
  info->member = placement->member;
  info->cores = reserve->cores;
  info->memory_gb = reserve->memory_gb;
  info->epoch = epoch;
  if (bytes > 0)
    {
      info->accelerators = malloc (bytes);
      if (info->accelerators == NULL)
        abort ();
      memcpy (info->accelerators, placement->accelerators, bytes);
      info->n_accelerators = placement->n_accelerators;
    }
  task->info = info;
  return task;
}

static void
add_job (cb_gang_t *gang, const Cb__Reserve *reserve, cb_msec_t now_ms)
{
  job_t *job = g_new0 (job_t, 1);

  job->account = g_strdup (reserve->account);
  job->key = g_strdup (reserve->job_key);
  job->attempt = reserve->attempt;
  job->epoch = gang->epoch;
  job->expires_ms = now_ms + reserve->ttl_ms;
  job->tasks = g_ptr_array_new_with_free_func (free_task);
  for (size_t i = 0; i < reserve->n_placements; i++)
    g_ptr_array_add (job->tasks,
                     new_task (reserve, reserve->placements[i], gang->epoch));
  g_ptr_array_add (gang->jobs, job);
}

/* Handles a repeated reservation: one that is not started yet is renewed under the
   epoch of the sender. */
static Cb__Reason
renew_reservation (cb_gang_t *gang, job_t *job, const Cb__Reserve *reserve,
                   cb_msec_t now_ms)
{
  if (job->ended)
    return CB__REASON__CANCELED;
  if (job->started)
    return CB__REASON__REASON_NONE;
  job->expires_ms = now_ms + reserve->ttl_ms;
  job->epoch = gang->epoch;
  for (guint i = 0; i < job->tasks->len; i++)
    ((task_t *)job->tasks->pdata[i])->info->epoch = gang->epoch;
  return CB__REASON__REASON_NONE;
}

/* Reserves the accelerators, cores and memory of a job's members on this instance for
   ttl_ms, for all members or none, and replies to FROM. */
void
cb_gang_reserve (cb_gang_t *gang, const char *from, const Cb__Reserve *reserve,
                 cb_msec_t now_ms)
{
  job_t *job =
      cb_gang_find_job (gang, reserve->account, reserve->job_key, reserve->attempt);
  Cb__Reason reason;
  Cb__Envelope *reply;

  if (job != NULL)
    reason = renew_reservation (gang, job, reserve, now_ms);
  else
    {
      reason = check_available (gang);
      if (reason == CB__REASON__REASON_NONE)
        reason = check_placements (gang, reserve);
      if (reason == CB__REASON__REASON_NONE)
        reason = check_capacity (gang, reserve);
      if (reason == CB__REASON__REASON_NONE)
        add_job (gang, reserve, now_ms);
    }
  reply = cb_outq_send (&gang->out, from, CB__ENVELOPE__BODY_RESERVE_REPLY);
  reply->epoch = gang->epoch;
  cb_msg_set_string (&reply->cell, gang->cell);
  cb_msg_set_string (&reply->reserve_reply->job_key, reserve->job_key);
  cb_msg_set_string (&reply->reserve_reply->account, reserve->account);
  reply->reserve_reply->attempt = reserve->attempt;
  reply->reserve_reply->ok = reason == CB__REASON__REASON_NONE;
  reply->reserve_reply->reason = reason;
}
