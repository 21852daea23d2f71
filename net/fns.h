#ifndef CB_NET_FNS_H
#define CB_NET_FNS_H

#include "base/fns.h"
#include "net/dat.h"

G_BEGIN_DECLS

/* loop.c */
cb_loop_t *cb_loop_new (void);
void cb_loop_free (cb_loop_t *loop);
void cb_loop_run (cb_loop_t *loop);
void cb_loop_stop (cb_loop_t *loop);
cb_timer_t *cb_timer_new (cb_loop_t *loop, cb_msec_t after_ms, cb_msec_t every_ms,
                          cb_timer_fn_t fn, void *ctx);
void cb_timer_free (cb_timer_t *timer);
int cb_address_parse (const char *address, char **host, uint16_t *port);

/* signal.c */
cb_signals_t *cb_signals_new (cb_loop_t *loop, cb_signal_fn_t fn, void *ctx);
void cb_signals_free (cb_signals_t *signals);

/* server.c */
int cb_http_listen (cb_loop_t *loop, const char *address, cb_http_handler_t handler,
                    void *ctx, cb_http_server_t **server);
void cb_http_server_limit (cb_http_server_t *server, const char *name,
                           const cb_http_limits_t *limits);
void cb_http_server_stats (const cb_http_server_t *server, cb_http_stats_t *stats);
const char *cb_http_refusal_name (cb_http_refusal_t reason);
void cb_http_server_close (cb_http_server_t *server);
uint32_t cb_http_server_pending (const cb_http_server_t *server);
const char *cb_http_method (const cb_http_req_t *req);
cb_msec_t cb_http_age_ms (const cb_http_req_t *req);
const char *cb_http_path (const cb_http_req_t *req);
const char *cb_http_query (const cb_http_req_t *req, const char *name);
const char *cb_http_header (cb_http_req_t *req, const char *name);
const char *cb_http_host (const cb_http_req_t *req);
void cb_http_add_header (cb_http_req_t *req, const char *name, const char *value);
const char *cb_http_body (const cb_http_req_t *req, size_t *len);
gboolean cb_http_body_dropped (const cb_http_req_t *req);
void cb_http_reply (cb_http_req_t *req, int status, const char *content_type,
                    const void *body, size_t len);
void cb_http_no_reply (cb_http_req_t *req);
void cb_http_reply_truncated (cb_http_req_t *req, const void *body, size_t len,
                              size_t content_length);

/* client.c */
gboolean cb_net_not_sent (int err);
cb_http_call_t *cb_http_call (cb_loop_t *loop, const cb_http_spec_t *spec,
                              cb_http_done_t done, void *ctx);
void cb_http_cancel (cb_http_call_t *call);

/* wire.c */
void cb_wire_limit (cb_loop_t *loop, size_t message_bytes_max);
int cb_wire_listen (cb_loop_t *loop, const char *address, cb_wire_fn_t fn, void *ctx,
                    cb_wire_t **wire);
int cb_wire_connect (cb_loop_t *loop, const char *address, const char *identity,
                     cb_wire_fn_t fn, void *ctx, cb_wire_t **wire);
int cb_wire_on_disconnect (cb_wire_t *wire, cb_wire_disconnect_fn_t on_disconnect);
int cb_wire_send (cb_wire_t *wire, const char *peer, const Cb__Envelope *envelope);
void cb_wire_close (cb_wire_t *wire);
uint64_t cb_wire_bytes_in (const cb_wire_t *wire);
uint64_t cb_wire_bytes_out (const cb_wire_t *wire);

G_END_DECLS

#endif
