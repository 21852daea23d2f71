#ifndef CB_MEMBER_FNS_H
#define CB_MEMBER_FNS_H

#include "base/fns.h"
#include "member/dat.h"

G_BEGIN_DECLS

/* peers.c, agents.c: an entry's view */
cb_peers_t *cb_peers_new (const cb_member_params_t *params,
                          cb_peers_observer_t observer, void *ctx);
void cb_peers_free (cb_peers_t *peers);
cb_outq_t *cb_peers_outputs (cb_peers_t *peers);
void cb_peers_receive (cb_peers_t *peers, const Cb__Envelope *envelope,
                       cb_msec_t now_ms);
void cb_peers_set_state (cb_peers_t *peers, uint64_t config_version,
                         uint64_t folded_next, uint64_t epoch, const char *scheduler,
                         gboolean leaving);
void cb_peers_set_scheduling (cb_peers_t *peers, uint64_t epoch);
cb_msec_t cb_peers_scheduler_last_heartbeat (const cb_peers_t *peers);
cb_msec_t cb_member_scheduler_heartbeat_ms (const Cb__Settings *settings);
void cb_peers_set_drained (cb_peers_t *peers, cb_peers_drained_t drained);
void cb_peers_tick (cb_peers_t *peers, cb_msec_t now_ms);
const char *cb_peers_home_entry (const cb_peers_t *peers, const char *agent);
gboolean cb_peers_is_entry (const cb_peers_t *peers, const char *name);
void cb_peers_each_agent (const cb_peers_t *peers,
                          void (*fn) (void *ctx, const Cb__AgentHome *agent,
                                      const char *home),
                          void *ctx);
uint64_t cb_peers_agent_config_version (const cb_peers_t *peers, const char *agent);
void cb_peers_each_peer (const cb_peers_t *peers,
                         void (*fn) (void *ctx, const char *name, gboolean up,
                                     uint64_t config_version, uint64_t folded_next),
                         void *ctx);
gboolean cb_peers_is_last_entry (const cb_peers_t *peers);
uint64_t cb_peers_newest_config_version (const cb_peers_t *peers);

/* home.c: an agent's view */
cb_home_t *cb_home_new (const cb_member_params_t *params);
void cb_home_free (cb_home_t *home);
cb_outq_t *cb_home_outputs (cb_home_t *home);
void cb_home_set_state (cb_home_t *home, gboolean draining, uint64_t config_version,
                        uint32_t running_tasks, uint32_t running_requests,
                        const Cb__EndpointInfo *endpoint);
void cb_home_receive (cb_home_t *home, const Cb__Envelope *envelope, cb_msec_t now_ms);
void cb_home_connection_lost (cb_home_t *home, cb_msec_t now_ms);
void cb_home_tick (cb_home_t *home, cb_msec_t now_ms);
gboolean cb_home_drained (const cb_home_t *home);
const Cb__Peer *cb_home_entry (const cb_home_t *home, uint32_t *generation);

G_END_DECLS

#endif
