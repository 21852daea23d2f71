#ifndef CB_SERVE_FNS_H
#define CB_SERVE_FNS_H

#include "base/fns.h"
#include "serve/dat.h"

G_BEGIN_DECLS

/* INSTANCE is copied. Freed with cb_serve_free. */
cb_serve_t *cb_serve_new (const char *instance);
void cb_serve_free (cb_serve_t *serve);
/* Returns the queue of outputs, which the caller empties. It belongs to SERVE. */
cb_outq_t *cb_serve_outputs (cb_serve_t *serve);
/* Handles an announcement of the endpoint. Returns TRUE when INFO, which is copied,
   differs from the previous one. */
gboolean cb_serve_update_endpoint (cb_serve_t *serve, const Cb__EndpointInfo *info,
                                   cb_msec_t now_ms);
/* Returns the endpoint's latest announcement, with `alive` FALSE once it has timed out;
   NULL when there was none. It is valid until the next call of
   cb_serve_update_endpoint. */
const Cb__EndpointInfo *cb_serve_endpoint_info (const cb_serve_t *serve);
/* While ON, requests are refused with `draining`; running ones are completed. */
void cb_serve_drain (cb_serve_t *serve, gboolean on);
/* Handles a request, request_cancel or request_lookup from an entry. */
void cb_serve_receive (cb_serve_t *serve, const Cb__Envelope *envelope,
                       cb_msec_t now_ms);
/* Handles the result of the action "run" with TAG; an unknown TAG, as of a duplicate,
   is ignored. STATUS is the HTTP status. LEN over CB_MAX_ANSWER_BYTES states that the
   answer was too large; BODY is then not read. */
void cb_serve_run_done (cb_serve_t *serve, uint64_t tag, cb_call_end_t end,
                        uint32_t status, const void *body, size_t len,
                        cb_msec_t now_ms);
/* Handles retention times and the announcement timeout; called periodically. */
void cb_serve_tick (cb_serve_t *serve, cb_msec_t now_ms);
/* Returns the number of keys that are running. */
uint32_t cb_serve_running_count (const cb_serve_t *serve);

G_END_DECLS

#endif
