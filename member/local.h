/* Types and functions shared by the files of member/ only. */
#ifndef CB_MEMBER_LOCAL_H
#define CB_MEMBER_LOCAL_H

#include "member/fns.h"

#define CB_DEFAULT_HEARTBEAT_MS 1000
#define CB_DEFAULT_SILENCE_MS 3000
#define CB_DEFAULT_SCHEDULER_HEARTBEAT_MS 250
#define CB_DEFAULT_SCHEDULER_SILENCE_MS 1000

/* Time between two heartbeats, in units of heartbeat_ms: of an idle agent, and to an
   entry of another cell while nothing changes. Most of an idle entry's traffic is these
   heartbeats. An unacknowledged heartbeat of an idle agent is repeated after half a
   unit, so silence_ms must exceed CB_IDLE_AGENT_INTERVALS + 1/2 units. */
#define CB_IDLE_AGENT_INTERVALS 2
#define CB_OTHER_CELL_INTERVALS 3

/* Another entry. */
typedef struct
{
  char *name;
  char *cell; /* NULL before its first heartbeat */
  gboolean up;
  gboolean leaving;
  gboolean send_all; /* the peer asked for all agents of this entry */
  gboolean need_all; /* the agents recorded for the peer don't match the hash it sent */
  gboolean receives_this_entry; /* as the peer's last heartbeat reported */
  cb_msec_t last_heartbeat_ms;  /* last heartbeat received from the peer */
  cb_msec_t full_heartbeat_ms;  /* last full heartbeat (with agents) sent to the peer */
  /* Start of the timeout after which CB_PEER_ONE_WAY is reported; 0: not running. */
  cb_msec_t not_receiving_since_ms;
  uint64_t incarnation;
  uint64_t config_version;
  uint64_t folded_next; /* first log offset that the peer has not applied */
  uint64_t oldest_agent_config_version;
  GHashTable *agents; /* name -> Cb__AgentHome, those that are up */
} cb_peer_t;

/* An agent that is connected to this entry. */
typedef struct
{
  Cb__AgentHome *info;
  cb_msec_t last_heartbeat_ms;
  uint64_t heartbeat_sent_ms; /* sent_ms of its last heartbeat, by the agent's clock */
  uint64_t endpoint_seq;      /* report_seq of the endpoint information in `info` */
  uint64_t config_version;
} cb_local_agent_t;

/* An agent of any entry, as last reported to the observer. */
typedef struct
{
  Cb__AgentHome *info;
  char *home; /* NULL: connected to no entry */
  gboolean up;
  cb_msec_t
      home_lost_ms; /* when its home entry went down; 0: not waiting for another */
} cb_known_agent_t;

struct cb_peers
{
  const Cb__Settings *settings;
  uint64_t incarnation;
  cb_peers_observer_t observer;
  cb_peers_drained_t drained; /* NULL: nothing is drained */
  void *ctx;
  cb_outq_t out;
  GHashTable *peers;          /* name -> cb_peer_t */
  GHashTable *local_agents;   /* name -> cb_local_agent_t */
  GHashTable *known_agents;   /* name -> cb_known_agent_t */
  GHashTable *changed_agents; /* set of names: local agents to send to the peers */
  gboolean started;
  gboolean leaving;
  uint64_t config_version;
  uint64_t newest_config_version; /* newest that any peer reported */
  uint64_t folded_next;           /* first log offset not applied here */
  uint64_t epoch;                 /* of the cell, as applied from the log */
  char *scheduler;                /* entry that claimed `epoch` */
  uint64_t scheduling_epoch;      /* under which this process schedules; 0: none */
  cb_msec_t last_tick_ms;
  cb_msec_t heartbeat_due_ms;
  cb_msec_t drain_check_due_ms; /* next search for drained agents */
  gboolean state_changed;       /* the next heartbeat must go to all peers */
  cb_msec_t full_rate_until_ms; /* agents changed: no heartbeat is skipped until then */
  cb_msec_t scheduler_heartbeat_due_ms;
  cb_msec_t scheduler_silent_since_ms; /* start of the scheduler's timeout */
  /* Latest time at which the scheduler can have sent its claim or its last heartbeat;
     0: not known. */
  cb_msec_t scheduler_last_heartbeat_ms;
  cb_msec_t silence_reported_ms; /* last CB_SCHEDULER_SILENT; 0: none */
};

cb_msec_t cb_member_heartbeat_ms (const Cb__Settings *settings);
cb_msec_t cb_member_silence_ms (const Cb__Settings *settings);
cb_msec_t cb_member_scheduler_silence_ms (const Cb__Settings *settings);
uint64_t cb_member_weight (const char *key, const char *name);

/* agents.c */
uint64_t cb_agents_local_hash (const cb_peers_t *peers);
uint64_t cb_agents_oldest_config_version (const cb_peers_t *peers);
uint64_t cb_agent_hash (const Cb__AgentHome *agent);
void cb_agents_handle_heartbeat (cb_peers_t *peers, const Cb__Envelope *envelope,
                                 cb_msec_t now_ms);
void cb_agents_handle_goodbye (cb_peers_t *peers, const Cb__Envelope *envelope);
void cb_agents_merge (cb_peers_t *peers, cb_peer_t *peer, const Cb__PeerBeat *heartbeat,
                      cb_msec_t now_ms);
void cb_agents_peer_down (cb_peers_t *peers, cb_peer_t *peer, cb_msec_t now_ms);
void cb_agents_skip_pause (cb_peers_t *peers, cb_msec_t pause_ms);
void cb_agents_tick (cb_peers_t *peers, cb_msec_t now_ms);
void cb_known_agent_free (gpointer known);
void cb_local_agent_free (gpointer local);

/* rank.c */
void cb_rank_handle_heartbeat (cb_peers_t *peers, const Cb__Envelope *envelope,
                               cb_msec_t now_ms);
void cb_rank_tick (cb_peers_t *peers, cb_msec_t now_ms);

#endif
