/* Tree of a parsed document, common to YAML and JSON, and the names of enumeration
   values. Private to codec/. */
#ifndef CB_CODEC_LOCAL_H
#define CB_CODEC_LOCAL_H

#include "codec/fns.h"

/* Limits of a document's nesting and size. The schema nests five levels; a
   configuration of 4,000 instances has about 500 KB. */
#define CB_CODEC_MAX_DEPTH 32
#define CB_CODEC_MAX_BYTES ((size_t)16 << 20)

typedef enum
{
  CB_NODE_NULL,
  CB_NODE_BOOL,
  CB_NODE_INTEGER, /* `text` has any number of digits after an optional minus; for a
                      real number in JSON, a text that is rejected on conversion */
  CB_NODE_TEXT,    /* any other scalar, and each quoted one */
  CB_NODE_MAP,
  CB_NODE_LIST,
} cb_node_kind_t;

typedef struct
{
  cb_node_kind_t kind;
  gboolean plain_scalar; /* unquoted in YAML: valid for a string field, also when
                            `kind` is a number or a boolean */
  int line;              /* 0: unknown, as in all JSON documents */
  char *text;
  size_t len;          /* bytes of text */
  GPtrArray *keys;     /* of char *; CB_NODE_MAP: the key of each child */
  GPtrArray *children; /* of cb_node_t */
} cb_node_t;

/* Follows a real number of a JSON document in the text of its node: it must not be read
   as a whole number, also when it prints as one. */
#define CB_CODEC_REAL_SUFFIX " (real number)"

G_BEGIN_DECLS

/* tree.c */
size_t cb_codec_element_size (const ProtobufCFieldDescriptor *field);
cb_node_t *cb_node_new (cb_node_kind_t kind, int line, const char *text, size_t len);
void cb_node_free (cb_node_t *node);
int cb_node_to_message (const cb_node_t *node, const ProtobufCMessageDescriptor *type,
                        const char *file, cb_source_t *source, cb_errors_t *errors,
                        ProtobufCMessage **message);

/* text.c */
size_t cb_codec_enum_prefix_length (const ProtobufCEnumDescriptor *type);
char *cb_codec_enum_name (const ProtobufCEnumDescriptor *type, int value);
char *cb_codec_enum_names (const ProtobufCEnumDescriptor *type);
gboolean cb_codec_enum_parse (const ProtobufCEnumDescriptor *type, const char *text,
                              int *value);

G_END_DECLS

#endif
