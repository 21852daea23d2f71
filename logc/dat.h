/* Client of the platform's log service: an interface with implementations over HTTP and
   in memory, and a writer that appends records in batches. */
#ifndef CB_LOGC_DAT_H
#define CB_LOGC_DAT_H

#include "base/dat.h"

enum
{
  CB_LOGC_UNAVAILABLE = -400, /* no response: an append may have taken effect or not */
  CB_LOGC_EXPIRED = -401,     /* the offset is below the oldest retained one */
  CB_LOGC_REFUSED = -402,     /* refused: the append has not taken effect */
  CB_LOGC_GIVEN_UP = -403, /* dropped by the writer: not stored within its time limit */
};

/* Maximum size of a record of the log service. */
#define CB_LOGC_RECORD_BYTES_MAX 262144
/* Largest encoded record that a writer accepts: a record of the log service holds a
   batch, which has fields of its own. */
#define CB_WRITER_RECORD_BYTES_MAX (CB_LOGC_RECORD_BYTES_MAX - 1024)

typedef struct cb_logc cb_logc_t;

/* OFFSET is valid when ERR is 0. */
typedef void (*cb_logc_append_done_t) (void *ctx, int err, uint64_t offset);
typedef struct
{
  uint64_t offset;
  const void *data;
  size_t size;
} cb_logc_record_t;
/* FIRST is the oldest retained offset, valid when ERR is 0 or CB_LOGC_EXPIRED. NEXT is
   the offset after the newest record, valid when ERR is 0. RECORDS are consecutive from
   the requested offset on and valid during the callback only. */
typedef void (*cb_logc_read_done_t) (void *ctx, int err, uint64_t first, uint64_t next,
                                     const cb_logc_record_t *records, size_t count);

/* Operations of an implementation, as described at cb_logc_append, cb_logc_read and
   cb_logc_close. */
typedef struct
{
  void (*append) (cb_logc_t *log, const char *stream, const void *data, size_t size,
                  cb_logc_append_done_t done, void *ctx);
  void (*read) (cb_logc_t *log, const char *stream, uint64_t from, uint32_t max,
                cb_msec_t wait_ms, cb_logc_read_done_t done, void *ctx);
  void (*close) (cb_logc_t *log);
} cb_logc_ops_t;

struct cb_logc
{
  const cb_logc_ops_t *ops;
};

/* Collects records into batches and appends the batches one at a time, in order. */
typedef struct cb_writer cb_writer_t;

#endif
