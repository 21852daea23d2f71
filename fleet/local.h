/* Shared by the files of fleet/ only. */
#ifndef CB_FLEET_LOCAL_H
#define CB_FLEET_LOCAL_H

#include "fleet/fns.h"

/* One of the `count` shapes of a guarantee: a group of accelerators within one
   instance, rack or availability zone, as the adjacency of the guarantee requires. */
typedef struct
{
  const Cb__AccountRule *account;
  uint32_t account_index;
  uint32_t guarantee_index;
  const Cb__Guarantee *guarantee;
} cb_shape_t;

G_BEGIN_DECLS

/* pin.c */
GArray *cb_pin_unplaced (const Cb__Inventory *inventory, const Cb__Rules *rules);

G_END_DECLS

#endif
