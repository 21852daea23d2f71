/* Checks event traces for violations of the invariants I1 to I8 of docs/design.md. */
#ifndef CB_VERIFY_DAT_H
#define CB_VERIFY_DAT_H

#include <jansson.h>

#include "base/dat.h"

enum
{
  CB_VERIFY_READ = -800,   /* a file cannot be read */
  CB_VERIFY_SYNTAX = -801, /* a line is not an event */
};

#define CB_VERIFY_INVARIANTS 8 /* I1 to I8 */

/* Time limits of the invariants, from the targets in docs/design.md. */
typedef struct
{
  cb_msec_t gang_ms;    /* longest time for which only part of a gang may run */
  cb_msec_t leaving_ms; /* within which entries stop sending requests to an agent
                           after its `leaving` event */
  cb_msec_t config_ms;  /* within which a configuration is in effect everywhere */
  cb_msec_t reclaim_ms; /* within which the capacity of a guaranteed shape is free */
  cb_msec_t urgent_ms;  /* within which an urgent job starts */
} cb_verify_bounds_t;

/* One line of a trace. */
typedef struct
{
  cb_msec_t t_ms;      /* wall-clock time, since 1970-01-01 UTC */
  const char *process; /* that wrote it; points into `fields`, as `name` does */
  const char *name;
  json_t *fields; /* the whole object, owned */
  const char *file;
  uint32_t line;
  uint32_t order; /* index in the order of reading; orders events with the same t_ms */
} cb_verify_event_t;

typedef struct
{
  GPtrArray *events; /* of cb_verify_event_t; by time after cb_verify_events_sort */
  GPtrArray *files;  /* of char *, the names of the traces */
} cb_verify_events_t;

typedef struct
{
  const char *invariant; /* "I1" to "I8", or "placement" */
  char *text;
  const cb_verify_event_t *event; /* the first one that shows the violation */
} cb_violation_t;

typedef struct
{
  GPtrArray *violations; /* of cb_violation_t */
  /* Cases that were checked for each invariant, by its number; [0] is unused. */
  uint32_t checked[CB_VERIFY_INVARIANTS + 1];
} cb_verify_result_t;

#endif
