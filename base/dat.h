/* Types shared by all parts: time, errors, logging, counters, event trace. */
#ifndef CB_BASE_DAT_H
#define CB_BASE_DAT_H

#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>

#include "schema/carobrun.pb-c.h"

/* A time or duration in milliseconds. */
typedef int64_t cb_msec_t;

/* Errors of the base layer. Other layers define their own ranges in their dat.h. */
enum
{
  CB_OK = 0,
  CB_ERR_NOMEM = -1,
  CB_ERR_INVALID = -2,
  CB_ERR_NOT_FOUND = -3,
  CB_ERR_IO = -4,
};

typedef struct cb_clock cb_clock_t;

/* A clock's operations: the system's clock, or one that a test sets. */
typedef struct
{
  cb_msec_t (*now_ms) (cb_clock_t *clock);  /* monotonic */
  cb_msec_t (*wall_ms) (cb_clock_t *clock); /* since 1970-01-01 UTC */
} cb_clock_ops_t;

struct cb_clock
{
  const cb_clock_ops_t *ops;
  cb_msec_t set_ms; /* only used by the manual clock */
};

typedef enum
{
  CB_LOG_ERROR,
  CB_LOG_WARN,
  CB_LOG_INFO,
  CB_LOG_DEBUG,
} cb_log_level_t;

/* Counted reference, to be the first member behind an optional vtable. */
typedef struct
{
  int32_t count;
  void (*release) (void *object);
} cb_ref_t;

/* Counters of a process, by name and one optional label. */
typedef struct cb_counters cb_counters_t;

/* Writer of the event trace: one JSON object a line. */
typedef struct cb_trace cb_trace_t;

typedef enum
{
  CB_OUT_SEND,   /* an envelope for another process */
  CB_OUT_APPEND, /* a record for the log */
  CB_OUT_EVENT,  /* a line of the event trace */
  CB_OUT_COUNT,  /* one more of a counter */
  CB_OUT_REPLY,  /* the answer for the caller that `tag` names */
  CB_OUT_CALL,   /* a local action that `name` names, see the module's dat.h */
} cb_out_kind_t;

/* One output of a module without I/O. The caller performs it and frees it. Fields that
   the kind does not use are NULL or 0. All pointers are owned. */
typedef struct
{
  cb_out_kind_t kind;
  Cb__Envelope *envelope; /* CB_OUT_SEND */
  Cb__Record *record; /* CB_OUT_APPEND; producer and sequence are set by the writer */
  uint64_t tag;       /* CB_OUT_APPEND, _REPLY, _CALL: handed back with the result */
  char *name;         /* event, counter or action; CB_OUT_SEND: way, NULL: the usual */
  char *fields;       /* CB_OUT_EVENT: JSON members `"a":1,"b":"c"`; CB_OUT_COUNT: label
                         `reason="queue_full"` or NULL */
  ProtobufCMessage *message; /* CB_OUT_REPLY: Answer; CB_OUT_CALL: as the action says */
} cb_out_t;

/* A first-in first-out queue of outputs. */
typedef struct
{
  GQueue items; /* of cb_out_t */
} cb_outq_t;

#endif
