/* Dispatch to the implementation of a log client. */
#include "logc/fns.h"

/* Appends one record to STREAM. DATA is copied. DONE is called exactly once, never
   before this function returns. After CB_LOGC_UNAVAILABLE the append may have taken
   effect, after CB_LOGC_REFUSED it has not. */
void
cb_logc_append (cb_logc_t *log, const char *stream, const void *data, size_t size,
                cb_logc_append_done_t done, void *ctx)
{
  log->ops->append (log, stream, data, size, done, ctx);
}

/* Reads up to MAX records from offset FROM and waits up to WAIT_MS for the first one.
   DONE is called exactly once, never before this function returns. */
void
cb_logc_read (cb_logc_t *log, const char *stream, uint64_t from, uint32_t max,
              cb_msec_t wait_ms, cb_logc_read_done_t done, void *ctx)
{
  log->ops->read (log, stream, from, max, wait_ms, done, ctx);
}

/* Ends all open calls with CB_LOGC_UNAVAILABLE and frees LOG. */
void
cb_logc_close (cb_logc_t *log)
{
  if (log != NULL)
    log->ops->close (log);
}
