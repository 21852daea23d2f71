/* The request server of an agent: passes requests to the local endpoint within the
   slots and connections that the endpoint announces, prevents a second run of a key,
   and drains. A client account and a key identify a request, and a key is said to run
   while its request does. It does no I/O and reads no clock. Its outputs are envelopes,
   events, counters, and the local action "run": a call of the endpoint that the caller
   of this folder makes. It carries a Request message, and its tag is passed back with
   the result. */
#ifndef CB_SERVE_DAT_H
#define CB_SERVE_DAT_H

#include "base/dat.h"

/* Largest answer in bytes; a larger one is replaced by an error. */
#define CB_MAX_ANSWER_BYTES ((size_t)1024 * 1024)
/* Keys and answers are retained for this long, and within this total size, so that a
   retry gets the first answer. */
#define CB_SERVE_RETENTION_MS 600000
#define CB_SERVE_RETENTION_BYTES ((size_t)16 * 1024 * 1024)
/* An endpoint without an announcement for this long is treated as unavailable. */
#define CB_ANNOUNCE_TIMEOUT_MS 3000

typedef struct cb_serve cb_serve_t;

/* How the call to the endpoint ended. */
typedef enum
{
  CB_CALL_DONE,       /* with a status and a complete body */
  CB_CALL_NOT_SENT,   /* the endpoint was not reached */
  CB_CALL_INCOMPLETE, /* closed, timed out or body truncated: it may have run */
} cb_call_end_t;

#endif
