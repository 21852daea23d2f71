/* Membership: heartbeats and their timeouts, ranking of scheduler candidates, choice of
   home entries, and the directory of agents. No I/O, no clock. cb_peers_t is an entry's
   view of the other entries and of all agents, cb_home_t an agent's view of its home
   entry, the entry that it is connected to.

   A cell is a group of availability zones that one entry, its scheduler, schedules. An
   entry becomes scheduler by a claim of the cell in the log; the offset of that record
   is the cell's epoch until the next claim. Names such as silence_ms in comments are
   fields of Cb__Settings. */
#ifndef CB_MEMBER_DAT_H
#define CB_MEMBER_DAT_H

#include "base/dat.h"

typedef struct cb_peers cb_peers_t;
typedef struct cb_home cb_home_t;

typedef struct
{
  const Cb__Settings *settings; /* must outlive the object */
  uint64_t incarnation; /* larger than that of any earlier start: wall clock in ms */
} cb_member_params_t;

/* Changes that are reported to a cb_peers_observer_t. */
typedef enum
{
  CB_AGENT_UP,      /* first heartbeat, new incarnation, or up again */
  CB_AGENT_CHANGED, /* draining, endpoint or worker changed, or its entry went down */
  CB_AGENT_DOWN,    /* no heartbeat or home entry for silence_ms, or a goodbye */
  CB_PEER_UP,
  CB_PEER_DOWN,
  CB_SCHEDULER_SILENT, /* scheduler timed out; this entry should claim the cell */
  CB_PEER_ONE_WAY,     /* the peer's heartbeats arrive, this entry's don't reach it */
  CB_AGENT_MOVED,      /* only its home entry changed */
} cb_member_event_t;

/* Returns TRUE when the operator has drained INSTANCE. CTX is that of the observer. */
typedef gboolean (*cb_peers_drained_t) (void *ctx, const char *instance);

/* NAME is the agent, peer or cell. AGENT is set for the agent events, else NULL. */
typedef void (*cb_peers_observer_t) (void *ctx, cb_member_event_t event,
                                     const char *name, const Cb__AgentHome *agent);

#endif
