/* Shared by the files of ledger/ only. */
#ifndef CB_LEDGER_LOCAL_H
#define CB_LEDGER_LOCAL_H

#include "fleet/fns.h"
#include "ledger/fns.h"

/* Sorted trees instead of hash tables, so that equal states give byte-identical
   snapshots. */
struct cb_ledger
{
  uint64_t next_offset; /* lowest offset not applied yet */
  Cb__Config *config;   /* NULL: none yet */
  GTree *cells;         /* name -> Cb__CellClaimState */
  GTree *jobs;          /* cb_ledger_id text -> Cb__JobStateEntry */
  GTree *requests;      /* cb_ledger_id text -> Cb__RequestState */
  GTree *producers;     /* name -> Cb__ProducerState */
  GTree *drained;       /* set of instance names */
  cb_ledger_observer_t observer;
  void *observer_ctx;
};

/* config.c */
int cb_ledger_apply_config (cb_ledger_t *ledger, uint64_t offset,
                            const Cb__ConfigChange *change);
/* fold.c */
int cb_ledger_apply_record (cb_ledger_t *ledger, uint64_t offset,
                            const Cb__Record *record);

#endif
