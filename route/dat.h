/* The request router of an entry: chooses endpoints, applies limits, retries within a
   budget, tracks endpoint health and manages claims. It does no I/O and reads no clock.
   Its outputs are envelopes (request, request_cancel, request_lookup, request_found),
   log records (request_claim, request_end), replies, events, counters, and the local
   action "mainframe": a call that the caller of the router makes. It carries a Request
   message, and its tag is passed back with the result.

   A client account and a key identify a request. Its kind is the name of a rule of the
   configuration; a request is repeatable unless that rule has not_repeatable.

   A claim is a log record by which one entry obtains the right to send a request that
   must not run twice. The log offset of the record identifies the claim. A claim is
   open until a request_end record states whether its request ran.

   An agent is reached through its home entry, the entry that it is connected to. */
#ifndef CB_ROUTE_DAT_H
#define CB_ROUTE_DAT_H

#include "base/dat.h"
#include "fleet/dat.h"
#include "ledger/dat.h"

#define CB_MAX_RETRIES 2
#define CB_RETRY_BUDGET_PERCENT 10
/* Bounds of the exponential delay before a retry. */
#define CB_RETRY_BASE_MS 50
#define CB_RETRY_MAX_MS 1000
/* Once the log has been unavailable for this long, requests that need a claim are
   refused at once. */
#define CB_LOG_TIMEOUT_MS 1000
/* The key of a claimed request is stored for this long. */
#define CB_KEY_RETENTION_MS (7LL * 24 * 3600 * 1000)
/* An endpoint is suspended when CB_HEALTH_FAILURES of its last CB_HEALTH_WINDOW results
   are failures. Each further suspension lasts twice as long as the one before, up to
   CB_SUSPEND_MAX_MS, until a whole window of results is good. */
#define CB_HEALTH_WINDOW 6
#define CB_HEALTH_FAILURES 5
#define CB_SUSPEND_MS 30000
#define CB_SUSPEND_MAX_MS 600000

typedef struct cb_route cb_route_t;

typedef struct
{
  const char *entry; /* name of this entry; copied */
  uint64_t seed;     /* of the random choices; equal seeds give equal choices */
} cb_route_params_t;

#endif
