/* Converts YAML and JSON documents to protobuf messages, and messages to JSON, by the
   messages' descriptors. */
#ifndef CB_CODEC_DAT_H
#define CB_CODEC_DAT_H

#include "base/dat.h"

enum
{
  CB_CODEC_SYNTAX =
      -500, /* not a document of the format, too large or nested too deeply */
  CB_CODEC_FIELD = -501, /* unknown field, wrong type or value out of range */
  CB_CODEC_READ = -502,  /* the file cannot be read */
};

/* List of errors, as lines `file:line: field: error; accepted values`. */
typedef struct
{
  GPtrArray *lines; /* of char */
} cb_errors_t;

/* Line at which each message begins in its document, so that later checks can report
   it. */
typedef struct
{
  char *file;
  GHashTable *line_of; /* address of a message -> line */
} cb_source_t;

#endif
