/* The ledger: the replicated state that each entry builds by applying the records of
   the log's `state` stream in order. Applying is deterministic: the same records give
   the same state in every process. The ledger does no I/O and reads no clock.

   The stream consists of batches, and all records of a batch have the offset of the
   batch. A producer is one start of a process; it numbers its records with a sequence.
   An entry claims a cell to become its scheduler; the offset of the last accepted claim
   is the cell's epoch. A request that must not run twice is claimed before it is sent:
   an entry appends a record that reserves the request's key, and the offset of that
   record identifies the claim. */
#ifndef CB_LEDGER_DAT_H
#define CB_LEDGER_DAT_H

#include "base/dat.h"

/* Results of applying a record. A record that is rejected changes nothing but the next
   offset and the stored sequence of its producer. */
enum
{
  CB_LEDGER_DUPLICATE = -300,    /* offset or producer sequence already applied */
  CB_LEDGER_CONFLICT = -301,     /* change based on another configuration version */
  CB_LEDGER_STALE = -302,        /* epoch, claim, attempt or snapshot is outdated */
  CB_LEDGER_EXISTS = -303,       /* key in use by an equal job or claim */
  CB_LEDGER_KEY_CONFLICT = -304, /* key in use by a different job or claim */
  CB_LEDGER_NOT_FOUND = -305,    /* refers to a job or claim that does not exist */
  CB_LEDGER_INVALID = -306,      /* cannot be decoded, or its content is not valid */
  CB_LEDGER_ENDED = -307,        /* job or request has already ended */
};

/* A job stays in the ledger for this long after its end, and its key stays in use; a
   producer stays this long after its last record. Whether a key is free again is
   decided by the times in the records, so that all processes decide the same. */
#define CB_LEDGER_RETENTION_MS (7LL * 24 * 3600 * 1000)
/* Assumed upper bound on the difference between the clocks of two instances. */
#define CB_LEDGER_MAX_SKEW_MS (3600 * 1000LL)

/* Offsets of a stream start at 1, so that 0 means "none" in versions, epochs and
   claims. A record at offset 0 is never applied; when the log service assigns offset 0
   to an append, logc/http.c reports the outcome as unknown, so that the writer repeats
   it. */
typedef struct cb_ledger cb_ledger_t;

/* Called for each record after it was applied or rejected; RESULT is CB_OK or an error
   above. OFFSET is that of the batch, INDEX the position of the record in it. RECORD is
   valid during the call. */
typedef void (*cb_ledger_observer_t) (void *ctx, uint64_t offset, uint32_t index,
                                      const Cb__Record *record, int result);

#endif
