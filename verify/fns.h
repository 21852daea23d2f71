#ifndef CB_VERIFY_FNS_H
#define CB_VERIFY_FNS_H

#include "base/fns.h"
#include "verify/dat.h"

G_BEGIN_DECLS

/* events.c */
cb_verify_events_t *cb_verify_events_new (void);
void cb_verify_events_free (cb_verify_events_t *events);
int cb_verify_events_read (cb_verify_events_t *events, const char *path, char **error);
int cb_verify_events_add (cb_verify_events_t *events, const char *file, uint32_t line,
                          const char *text);
void cb_verify_events_sort (cb_verify_events_t *events);
const char *cb_verify_event_string (const cb_verify_event_t *event, const char *field);
int64_t cb_verify_event_number (const cb_verify_event_t *event, const char *field);
gboolean cb_verify_event_is (const cb_verify_event_t *event, const char *name);
char *cb_verify_event_work_id (const cb_verify_event_t *event);

/* verdict.c */
void cb_verify_default_bounds (cb_verify_bounds_t *bounds);
cb_verify_result_t *cb_verify (const cb_verify_events_t *events,
                               const cb_verify_bounds_t *bounds);
void cb_verify_result_free (cb_verify_result_t *result);
void cb_verify_add_violation (cb_verify_result_t *result, const char *invariant,
                              const cb_verify_event_t *event, const char *fmt, ...)
    G_GNUC_PRINTF (4, 5);

/* The checks, each in a file of its own; cb_verify runs them all. */
void cb_verify_requests (const cb_verify_events_t *events, cb_verify_result_t *result);
void cb_verify_gangs (const cb_verify_events_t *events,
                      const cb_verify_bounds_t *bounds, cb_verify_result_t *result);
void cb_verify_placements (const cb_verify_events_t *events,
                           cb_verify_result_t *result);
void cb_verify_leaving (const cb_verify_events_t *events,
                        const cb_verify_bounds_t *bounds, cb_verify_result_t *result);
void cb_verify_stops (const cb_verify_events_t *events, cb_verify_result_t *result);
void cb_verify_config (const cb_verify_events_t *events,
                       const cb_verify_bounds_t *bounds, cb_verify_result_t *result);
void cb_verify_reclaim (const cb_verify_events_t *events,
                        const cb_verify_bounds_t *bounds, cb_verify_result_t *result);
void cb_verify_urgent (const cb_verify_events_t *events,
                       const cb_verify_bounds_t *bounds, cb_verify_result_t *result);

G_END_DECLS

#endif
