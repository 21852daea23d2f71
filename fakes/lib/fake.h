/* What the stand-ins for external systems share: an event loop, an HTTP server, an
   event trace, and a fault mode that POST /control sets. */
#ifndef CB_FAKES_FAKE_H
#define CB_FAKES_FAKE_H

#include <argp.h>
#include <jansson.h>

#include "net/fns.h"

typedef struct
{
  cb_loop_t *loop;
  cb_http_server_t *server;
  cb_signals_t *signals;
  cb_trace_t *trace;
  char mode[16];     /* fault mode; "ok": none */
  int64_t remaining; /* uses left of the fault mode; negative: unlimited */
  int64_t delay_ms;  /* of the fault mode `late`; 0: its default */
} cb_fake_t;

typedef struct
{
  const char *listen;     /* host:port */
  const char *name;       /* of the process, in each event */
  const char *role;       /* in the event `start` */
  const char *trace_file; /* NULL or empty: no trace */
  cb_http_handler_t handler;
  cb_signal_fn_t on_signal;
  void *ctx; /* of handler and on_signal */
} cb_fake_params_t;

extern const struct argp cb_fake_argp;
int cb_fake_open (cb_fake_t *fake, const cb_fake_params_t *params);
void cb_fake_run (cb_fake_t *fake);
void cb_fake_event (const cb_fake_t *fake, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);
void cb_fake_work_event (const cb_fake_t *fake, const char *event, const char *account,
                         const char *key, const char *more);
void cb_fake_reply (cb_http_req_t *req, int status, json_t *body);
gboolean cb_fake_control (cb_fake_t *fake, cb_http_req_t *req);
gboolean cb_fake_mode_active (cb_fake_t *fake, const char *mode);
gboolean cb_fake_use_mode (cb_fake_t *fake, const char *mode);
char *cb_fake_hash (const char *text, size_t len);

#endif
