#ifndef CB_FLEET_FNS_H
#define CB_FLEET_FNS_H

#include "base/fns.h"
#include "codec/fns.h"
#include "fleet/dat.h"

G_BEGIN_DECLS

/* fleet.c */
cb_fleet_t *cb_fleet_new (const Cb__Config *config);
cb_fleet_t *cb_fleet_ref (cb_fleet_t *fleet);
void cb_fleet_unref (cb_fleet_t *fleet);
const cb_instance_t *cb_fleet_instance (const cb_fleet_t *fleet, const char *name);
const Cb__AccountRule *cb_fleet_account (const cb_fleet_t *fleet, const char *name);
const Cb__KindRule *cb_fleet_kind (const cb_fleet_t *fleet, const char *name);
gboolean cb_fleet_has_client_account (const cb_fleet_t *fleet, const char *name);
const char *cb_fleet_cell_of (const cb_fleet_t *fleet, const cb_instance_t *instance);
uint32_t cb_fleet_timeout_ms (const Cb__KindRule *kind);
uint32_t cb_fleet_queue_limit (const Cb__KindRule *kind);
uint32_t cb_fleet_reclaim_ms (const cb_fleet_t *fleet);
gboolean cb_fleet_kind_can_borrow (const Cb__KindRule *kind);
gboolean cb_fleet_kind_needs_claim (const Cb__KindRule *kind);

/* check.c */
int cb_fleet_check (const Cb__Inventory *inventory, const cb_source_t *inventory_source,
                    const Cb__Rules *rules, const cb_source_t *rules_source,
                    cb_errors_t *errors);

/* change.c */
Cb__ConfigChange *cb_config_diff (const Cb__Config *from, const Cb__Config *to);
int cb_config_apply (const Cb__Config *from, const Cb__ConfigChange *change,
                     uint64_t version, Cb__Config **to);

G_END_DECLS

#endif
