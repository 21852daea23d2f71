#ifndef CB_LOGC_FNS_H
#define CB_LOGC_FNS_H

#include "base/fns.h"
#include "logc/dat.h"
#include "net/fns.h"

G_BEGIN_DECLS

/* http.c: over the HTTP interface that docs/design.md describes in section 8. */
cb_logc_t *cb_logc_http (cb_loop_t *loop, const char *address, cb_msec_t timeout_ms);

/* memory.c: for tests; can fail in the ways that a log service does. */
cb_logc_t *cb_logc_memory (void);
void cb_logc_memory_fail (cb_logc_t *log, gboolean down, uint32_t lost_responses);
void cb_logc_memory_expire (cb_logc_t *log, const char *stream, uint64_t first);
void cb_logc_memory_block (cb_logc_t *log, gboolean refuse, gboolean stall);
void cb_logc_memory_dispatch (cb_logc_t *log);

void cb_logc_append (cb_logc_t *log, const char *stream, const void *data, size_t size,
                     cb_logc_append_done_t done, void *ctx);
void cb_logc_read (cb_logc_t *log, const char *stream, uint64_t from, uint32_t max,
                   cb_msec_t wait_ms, cb_logc_read_done_t done, void *ctx);
void cb_logc_close (cb_logc_t *log);

/* writer.c */

/* TAG is that of cb_writer_add. OFFSET is that of the batch's record in the log, valid
   when ERR is 0. */
typedef void (*cb_writer_done_t) (void *ctx, uint64_t tag, int err, uint64_t offset);
cb_writer_t *cb_writer_new (cb_logc_t *log, const char *stream, const char *producer,
                            cb_msec_t batch_ms, cb_msec_t give_up_ms,
                            cb_writer_done_t done, void *ctx);
void cb_writer_free (cb_writer_t *writer);
void cb_writer_add (cb_writer_t *writer, Cb__Record *record, uint64_t tag,
                    cb_msec_t now_ms);
void cb_writer_pause (cb_writer_t *writer, cb_msec_t give_up_ms);
void cb_writer_tick (cb_writer_t *writer, cb_msec_t now_ms);
uint32_t cb_writer_pending (const cb_writer_t *writer);
uint64_t cb_writer_appends (const cb_writer_t *writer);
uint64_t cb_writer_retries (const cb_writer_t *writer);

G_END_DECLS

#endif
