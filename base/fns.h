#ifndef CB_BASE_FNS_H
#define CB_BASE_FNS_H

#include "base/dat.h"

G_BEGIN_DECLS

/* clock.c */
cb_clock_t *cb_clock_system (void);
void cb_clock_init_manual (cb_clock_t *clock, cb_msec_t start_ms);
void cb_clock_advance (cb_clock_t *clock, cb_msec_t by_ms);
cb_msec_t cb_clock_now (cb_clock_t *clock);
cb_msec_t cb_clock_wall (cb_clock_t *clock);

/* log.c */
void cb_log_set_level (cb_log_level_t level);
gboolean cb_log_enabled (cb_log_level_t level);
const char *cb_log_level_text (cb_log_level_t level);
int cb_log_level_parse (const char *text, cb_log_level_t *level);
void cb_log (cb_log_level_t level, const char *part, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);

/* event.c */
void cb_event_set_budget (uint32_t lines_per_s);
void cb_event (cb_log_level_t level, const char *part, const char *event,
               const char *fmt, ...) G_GNUC_PRINTF (4, 5);
void cb_event_unlimited (cb_log_level_t level, const char *part, const char *event,
                         const char *fmt, ...) G_GNUC_PRINTF (4, 5);
uint64_t cb_event_dropped (void);

/* ref.c */
void cb_ref_init (cb_ref_t *ref, void (*release) (void *object));
void cb_ref_get (cb_ref_t *ref);
void cb_ref_put (cb_ref_t *ref, void *object);

/* counter.c */
cb_counters_t *cb_counters_new (void);
void cb_counters_free (cb_counters_t *counters);
void cb_counters_add (cb_counters_t *counters, const char *name, const char *label,
                      uint64_t by);
void cb_counters_set (cb_counters_t *counters, const char *name, const char *label,
                      uint64_t value);
void cb_counters_observe (cb_counters_t *counters, const char *name, const char *label,
                          cb_msec_t took_ms);
char *cb_counters_text (const cb_counters_t *counters);

/* trace.c */
cb_trace_t *cb_trace_open (const char *path, const char *process, cb_clock_t *clock);
void cb_trace_close (cb_trace_t *trace);
void cb_trace_event (cb_trace_t *trace, const char *event, const char *fields);
char *cb_json_quote (const char *text);

/* reason.c */
const char *cb_reason_text (Cb__Reason reason);
void cb_reason_register_counters (cb_counters_t *counters);
const char *cb_ran_text (Cb__Ran ran);
const char *cb_job_state_text (Cb__JobState state);
const char *cb_enum_text (const ProtobufCEnumDescriptor *type, int value);

/* outq.c */
void cb_outq_init (cb_outq_t *queue);
void cb_outq_clear (cb_outq_t *queue);
Cb__Envelope *cb_outq_send (cb_outq_t *queue, const char *to,
                            Cb__Envelope__BodyCase body_case);
Cb__Envelope *cb_outq_send_via (cb_outq_t *queue, const char *connection,
                                const char *to, Cb__Envelope__BodyCase body_case);
Cb__Record *cb_outq_append (cb_outq_t *queue, uint64_t tag,
                            Cb__Record__BodyCase body_case);
void cb_outq_event (cb_outq_t *queue, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);
void cb_outq_count (cb_outq_t *queue, const char *name, const char *label);
void cb_outq_reply (cb_outq_t *queue, uint64_t tag, Cb__Answer *answer);
void cb_outq_call (cb_outq_t *queue, const char *name, uint64_t tag,
                   ProtobufCMessage *message);
cb_out_t *cb_outq_pop (cb_outq_t *queue);
void cb_out_free (cb_out_t *out);

/* msg.c */
ProtobufCMessage *cb_msg_copy (const ProtobufCMessage *message);
void *cb_msg_new (const ProtobufCMessageDescriptor *type);
void cb_msg_free (void *message);
void cb_msg_set_string (char **field, const char *value);
void cb_msg_set_bytes (ProtobufCBinaryData *field, const void *data, size_t size);
void cb_msg_append (void ***items, size_t *count, void *item);
GBytes *cb_msg_pack (const ProtobufCMessage *message);
gboolean cb_msg_equal (const ProtobufCMessage *a, const ProtobufCMessage *b);

G_END_DECLS

#endif
