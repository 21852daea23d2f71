/* The tasks of an agent: reservation, start, gang lease, fencing by the scheduler's
   epoch, and drain. A gang is all members of one attempt of a job; the agent of member
   0 leads it. A gang whose members can't reach the leader, or the leader them, for the
   gang lease is stopped as a whole. A cell is a group of availability zones that one
   entry, its scheduler, schedules; a new scheduler has a larger epoch than the one it
   replaces. No I/O, no clock.
   Outputs are envelopes, events, counters, and these local actions (CB_OUT_CALL), which
   the caller requests from the worker for the task in the Task message:
     "start"       start the task with a worker lease of CB_WORKER_LEASE_MS
     "renew"       renew that lease
     "checkpoint"  save the task's state, then stop it
     "stop"        stop the task now
   Envelopes with the name CB_GANG_DIRECT go over a connection between two agents, the
   others through the home entry, to which the agent is connected. */
#ifndef CB_GANG_DAT_H
#define CB_GANG_DAT_H

#include "base/dat.h"

#define CB_WORKER_LEASE_MS 3000   /* the worker stops a task that isn't renewed */
#define CB_WORKER_RENEW_MS 1000   /* renewal interval, timeout of a worker call */
#define CB_GANG_HEARTBEAT_MS 1000 /* interval of heartbeats to the leader */
#define CB_GANG_DIRECT "direct"

typedef struct cb_gang cb_gang_t;

typedef struct
{
  const char *instance; /* copied */
  const char *cell;     /* copied */
  uint32_t accelerators;
  uint32_t cores;
  uint32_t memory_gb;
} cb_gang_params_t;

#endif
