#ifndef CB_MEMBER_FNS_H
#define CB_MEMBER_FNS_H

#include "base/fns.h"
#include "member/dat.h"

G_BEGIN_DECLS

/* peers.c: an entry's view */
cb_peers_t *cb_peers_new (const cb_member_params_t *params, cb_peers_watch_t watch,
                          void *ctx);
void cb_peers_free (cb_peers_t *peers);
cb_outq_t *cb_peers_outputs (cb_peers_t *peers);
/* heartbeat and goodbye of agents; peer_beat and goodbye of entries. */
void cb_peers_receive (cb_peers_t *peers, const Cb__Envelope *envelope,
                       cb_msec_t now_ms);
/* What this entry tells the others: configuration version, position in the log, current
   epoch of its cell as folded, the entry that holds it, and whether this process
   leaves. */
void cb_peers_set_state (cb_peers_t *peers, uint64_t config_version,
                         uint64_t folded_next, uint64_t epoch, const char *scheduler,
                         gboolean leaving);
/* Epoch under which this process acts as its cell's scheduler, 0: it does not. */
void cb_peers_set_scheduling (cb_peers_t *peers, uint64_t epoch);
/* Latest time at which the cell's scheduler, another entry, may have sent its last beat
   under the current epoch; its claim counts as the first. 0: not known. */
cb_msec_t cb_peers_scheduler_heard (const cb_peers_t *peers);
cb_msec_t cb_member_scheduler_beat_ms (const Cb__Settings *settings);
/* DRAINED is asked for each heartbeat, so that the agent learns of a drain by its next
   acknowledgement even when one was lost. */
void cb_peers_set_drained (cb_peers_t *peers, cb_peers_drained_t drained);
void cb_peers_tick (cb_peers_t *peers, cb_msec_t now_ms);
/* The entry through which AGENT is reached: this entry's own name when it is connected
   here, NULL when it is unknown or down. */
const char *cb_peers_home_of (const cb_peers_t *peers, const char *agent);
gboolean cb_peers_is_entry (const cb_peers_t *peers, const char *name);
void cb_peers_each_agent (const cb_peers_t *peers,
                          void (*fn) (void *ctx, const Cb__AgentHome *agent,
                                      const char *home),
                          void *ctx);
uint64_t cb_peers_agent_config (const cb_peers_t *peers, const char *agent);
void cb_peers_each_peer (const cb_peers_t *peers,
                         void (*fn) (void *ctx, const char *name, gboolean up,
                                     uint64_t config_version, uint64_t folded_next),
                         void *ctx);
/* TRUE when no other entry is up and stays. */
gboolean cb_peers_alone (const cb_peers_t *peers);
/* Newest configuration version that any peer has ever reported. */
uint64_t cb_peers_newest_config (const cb_peers_t *peers);

/* home.c: an agent's view */
cb_home_t *cb_home_new (const cb_member_params_t *params);
void cb_home_free (cb_home_t *home);
cb_outq_t *cb_home_outputs (cb_home_t *home);
/* What the agent tells its home entry. ENDPOINT may be NULL. */
void cb_home_set_state (cb_home_t *home, gboolean draining, uint64_t config_version,
                        uint32_t running_tasks, uint32_t running_requests,
                        const Cb__EndpointInfo *endpoint);
/* heartbeat_ack and goodbye from entries. */
void cb_home_receive (cb_home_t *home, const Cb__Envelope *envelope, cb_msec_t now_ms);
void cb_home_lost (cb_home_t *home, cb_msec_t now_ms);
void cb_home_tick (cb_home_t *home, cb_msec_t now_ms);
/* TRUE when the last acknowledgement says that the operator has drained the instance.
 */
gboolean cb_home_drained (const cb_home_t *home);
/* Name and address of the entry to be connected to now. A change, or a new generation
   with the same entry, means: close the connection and open a new one. */
const Cb__Peer *cb_home_entry (const cb_home_t *home, uint32_t *generation);

G_END_DECLS

#endif
