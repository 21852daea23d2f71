#ifndef CB_LEDGER_FNS_H
#define CB_LEDGER_FNS_H

#include "base/fns.h"
#include "ledger/dat.h"

G_BEGIN_DECLS

cb_ledger_t *cb_ledger_new (void);
void cb_ledger_free (cb_ledger_t *ledger);
void cb_ledger_set_observer (cb_ledger_t *ledger, cb_ledger_observer_t fn, void *ctx);

int cb_ledger_apply (cb_ledger_t *ledger, uint64_t offset, const void *data,
                     size_t size);
uint64_t cb_ledger_next_offset (const cb_ledger_t *ledger);

/* The returned pointers are valid until the next apply, restore or expire. */
const Cb__Config *cb_ledger_config (const cb_ledger_t *ledger); /* NULL: none yet */
uint64_t cb_ledger_epoch (const cb_ledger_t *ledger, const char *cell,
                          const char **entry);
const Cb__JobStateEntry *cb_ledger_job (const cb_ledger_t *ledger, const char *account,
                                        const char *key);
const Cb__RequestState *cb_ledger_request (const cb_ledger_t *ledger,
                                           const char *account, const char *key);
char *cb_ledger_id (const char *account, const char *key);
gboolean cb_ledger_jobs_equal (const Cb__Job *a, const Cb__Job *b);
gboolean cb_ledger_is_draining (const cb_ledger_t *ledger, const char *instance);
void cb_ledger_each_job (const cb_ledger_t *ledger,
                         void (*fn) (void *ctx, const Cb__JobStateEntry *job),
                         void *ctx);
void cb_ledger_each_request (const cb_ledger_t *ledger,
                             void (*fn) (void *ctx, const Cb__RequestState *request),
                             void *ctx);

void cb_ledger_expire (cb_ledger_t *ledger, cb_msec_t wall_ms, cb_msec_t retention_ms);

/* snapshot.c */
GBytes *cb_ledger_snapshot (const cb_ledger_t *ledger);
int cb_ledger_restore (cb_ledger_t *ledger, const void *data, size_t size);

/* Reassembles snapshots from the chunks of cb_snapshot_split. */
typedef struct cb_snapshot_assembly cb_snapshot_assembly_t;
GPtrArray *cb_snapshot_split (GBytes *snapshot, uint64_t id, size_t max_bytes);
cb_snapshot_assembly_t *cb_snapshot_assembly_new (void);
void cb_snapshot_assembly_free (cb_snapshot_assembly_t *assembly);
int cb_snapshot_assembly_add (cb_snapshot_assembly_t *assembly,
                              const Cb__SnapshotChunk *chunk, GBytes **whole);

G_END_DECLS

#endif
