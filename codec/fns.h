#ifndef CB_CODEC_FNS_H
#define CB_CODEC_FNS_H

#include "base/fns.h"
#include "codec/dat.h"

G_BEGIN_DECLS

/* errors.c */
void cb_errors_init (cb_errors_t *errors);
void cb_errors_clear (cb_errors_t *errors);
void cb_errors_add (cb_errors_t *errors, const char *file, int line, const char *field,
                    const char *fmt, ...) G_GNUC_PRINTF (5, 6);
char *cb_errors_text (const cb_errors_t *errors); /* lines, freed with g_free */
void cb_source_init (cb_source_t *source, const char *file);
void cb_source_clear (cb_source_t *source);
int cb_source_line (const cb_source_t *source, const void *message);

/* yaml.c: all errors in fields are collected, not only the first; reading stops at the
   first syntax error. */
int cb_yaml_read (const ProtobufCMessageDescriptor *type, const char *text, size_t len,
                  cb_source_t *source, cb_errors_t *errors, ProtobufCMessage **message);
int cb_yaml_read_file (const ProtobufCMessageDescriptor *type, const char *path,
                       cb_source_t *source, cb_errors_t *errors,
                       ProtobufCMessage **message);

/* json.c: a bytes field NAME is written as text when it is valid UTF-8, else as base64
   under the name NAME_base64. */
int cb_json_read (const ProtobufCMessageDescriptor *type, const char *text, size_t len,
                  cb_errors_t *errors, ProtobufCMessage **message);
char *cb_json_write (const ProtobufCMessage *message); /* one line, freed with g_free */

G_END_DECLS

#endif
