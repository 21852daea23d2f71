#ifndef CB_ROUTE_FNS_H
#define CB_ROUTE_FNS_H

#include "base/fns.h"
#include "fleet/fns.h"
#include "ledger/fns.h"
#include "route/dat.h"

G_BEGIN_DECLS

/* LEDGER is only read and must outlive the router. Freed with cb_route_free. */
cb_route_t *cb_route_new (const cb_route_params_t *params, const cb_ledger_t *ledger);
void cb_route_free (cb_route_t *route);
/* Returns the queue of outputs, which the caller empties. It belongs to ROUTE. */
cb_outq_t *cb_route_outputs (cb_route_t *route);
/* Sets the configuration; the router takes a reference of its own. Until the first call
   all requests are refused with `no_config`. */
void cb_route_set_fleet (cb_route_t *route, cb_fleet_t *fleet, cb_msec_t now_ms);

/* Updates the state of AGENT and its endpoint, as member/ reports it. With INFO NULL or
   UP FALSE the endpoint gets no new requests. When the agent is down or has restarted,
   the requests in flight at it have an unknown outcome: repeatable ones are retried,
   the others end. */
void cb_route_update_endpoint (cb_route_t *route, const char *agent,
                               uint64_t incarnation, gboolean up, gboolean draining,
                               const Cb__EndpointInfo *info, cb_msec_t now_ms);
/* Sets the home entry of AGENT, through which it is reached; called before
   cb_route_update_endpoint. With HOME NULL the agent cannot be reached at present: it
   gets no new requests, and those that it already has stay in flight. When it has a
   home entry again, or another one, requests in flight at this INCARNATION are sent
   again if they are repeatable; for the others the agent is sent a lookup. */
void cb_route_set_home_entry (cb_route_t *route, const char *agent,
                              uint64_t incarnation, const char *home, cb_msec_t now_ms);
/* Sets whether the log is available, which is assumed until the first call. */
void cb_route_set_log_available (cb_route_t *route, gboolean available,
                                 cb_msec_t now_ms);
/* While ON, because this process shuts down, requests are refused with `draining`. */
void cb_route_drain (cb_route_t *route, gboolean on);

/* Accepts a caller's request, which is copied. ID is the caller's; exactly one reply
   with this tag follows. WALL_MS is the time of day that corresponds to NOW_MS, for log
   records. */
void cb_route_submit (cb_route_t *route, uint64_t id, const Cb__Request *request,
                      cb_msec_t now_ms, cb_msec_t wall_ms);
/* Fetches the answer of an earlier request by its key. When that request has not ended,
   the reply with tag ID follows when it ends. Otherwise the reply comes from memory,
   the log or a lookup at other processes; its reason is `not_found` when none has a
   record of the key. */
void cb_route_fetch (cb_route_t *route, uint64_t id, const char *account,
                     const char *key, cb_msec_t now_ms);
/* Cancels a request. The reply with tag ID states whether it ran. */
void cb_route_cancel (cb_route_t *route, uint64_t id, const char *account,
                      const char *key, cb_msec_t now_ms);
/* The caller ID disconnected and gets no reply. Its request is not canceled. */
void cb_route_caller_disconnected (cb_route_t *route, uint64_t id);

/* Handles an answer or request_found from an agent, or a request_found or
   request_lookup from another entry. */
void cb_route_receive (cb_route_t *route, const Cb__Envelope *envelope,
                       cb_msec_t now_ms);
/* Handles the result of the append with TAG; ERR is CB_OK or a CB_LOGC_ error. */
void cb_route_appended (cb_route_t *route, uint64_t tag, int err, cb_msec_t now_ms);
/* Called for each log record after it was applied to the ledger with RESULT. */
void cb_route_record_applied (cb_route_t *route, uint64_t offset,
                              const Cb__Record *record, int result, cb_msec_t now_ms);
/* Called after cb_ledger_restore has restored the ledger from a snapshot. */
void cb_route_restored (cb_route_t *route, cb_msec_t now_ms);
/* Handles the result of the action "mainframe" with TAG. STATUS and BODY are only used
   when RAN is RAN_YES. */
void cb_route_mainframe_done (cb_route_t *route, uint64_t tag, Cb__Ran ran,
                              uint32_t status, const void *body, size_t len,
                              cb_msec_t now_ms);
/* Another entry is up. */
void cb_route_peer_up (cb_route_t *route, const char *entry, cb_msec_t now_ms);
/* Another entry is down. Its open claims are resolved by lookups at the agents. */
void cb_route_peer_down (cb_route_t *route, const char *entry, cb_msec_t now_ms);

/* Handles deadlines, retries, lookups and retention times; called periodically. */
void cb_route_tick (cb_route_t *route, cb_msec_t now_ms);
/* Returns the number of requests without an outcome. */
uint32_t cb_route_in_flight (const cb_route_t *route);

G_END_DECLS

#endif
