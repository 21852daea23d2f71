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

/* Operations of a clock: the system's clock, or a manual one. */
typedef struct
{
  cb_msec_t (*now_ms) (cb_clock_t *clock);  /* monotonic */
  cb_msec_t (*wall_ms) (cb_clock_t *clock); /* since 1970-01-01 UTC */
} cb_clock_ops_t;

struct cb_clock
{
  const cb_clock_ops_t *ops;
  cb_msec_t set_ms; /* time of a manual clock; unused by the system's clock */
};

typedef enum
{
  CB_LOG_ERROR,
  CB_LOG_WARN,
  CB_LOG_INFO,
  CB_LOG_DEBUG,
} cb_log_level_t;

/* Reference count of an object: its first member, after the pointer to its operations
   if it has one. */
typedef struct
{
  int32_t count;
  void (*release) (void *object);
} cb_ref_t;

/* Counters, gauges and histograms of a process, by name and an optional label. */
typedef struct cb_counters cb_counters_t;

/* Writer of the event trace, a file with one JSON object a line for each event. The
   checks of verify/ read it. */
typedef struct cb_trace cb_trace_t;

typedef enum
{
  CB_OUT_SEND,   /* an envelope for another process */
  CB_OUT_APPEND, /* a record for the log */
  CB_OUT_EVENT,  /* a line of the event trace */
  CB_OUT_COUNT,  /* an increment of a counter by one */
  CB_OUT_REPLY,  /* the answer to the request that `tag` identifies */
  CB_OUT_CALL,   /* a local action; the module's dat.h lists the names */
} cb_out_kind_t;

/* One output of a module that does no I/O itself: the caller of the module performs it
   and frees it. Fields that the kind does not use are NULL or 0. All pointers are
   owned. */
typedef struct
{
  cb_out_kind_t kind;
  Cb__Envelope *envelope; /* CB_OUT_SEND */
  Cb__Record *record; /* CB_OUT_APPEND; producer and sequence are set by the writer */
  uint64_t tag;       /* CB_OUT_APPEND, _CALL: passed back with the result;
                         CB_OUT_REPLY: identifies the request */
  char *name;         /* of the event, counter or action; CB_OUT_SEND: the connection
                         to use, NULL for the default one */
  char *fields;       /* CB_OUT_EVENT: JSON members `"a":1,"b":"c"`; CB_OUT_COUNT: label
                         `reason="queue_full"` or NULL */
  ProtobufCMessage *message; /* CB_OUT_REPLY: Cb__Answer; CB_OUT_CALL: the
                                action's argument or NULL */
} cb_out_t;

/* A first-in first-out queue of outputs. */
typedef struct
{
  GQueue items; /* of cb_out_t */
} cb_outq_t;

#endif
