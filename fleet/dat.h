/* The fleet: one version of the configuration (inventory and rules) with indexes for
   lookups. It is reference counted and never changes after its creation.

   A kind is a named class of requests or jobs with a rule of its own. A cell is a group
   of availability zones that one scheduler serves. */
#ifndef CB_FLEET_DAT_H
#define CB_FLEET_DAT_H

#include "base/dat.h"
#include "codec/dat.h"

enum
{
  CB_FLEET_INVALID = -600,  /* inventory, rules or change are not valid */
  CB_FLEET_CONFLICT = -601, /* change based on another configuration version */
};

/* Used where the rules give no value: time limit and queue length of requests, and time
   within which borrowed accelerators must be returned. */
#define CB_DEFAULT_TIMEOUT_MS 10000
#define CB_DEFAULT_QUEUE_LIMIT 256 /* requests per kind and entry */
#define CB_DEFAULT_RECLAIM_MS 2000

/* Instances are numbered from 0 in the order of the inventory, so that the instances of
   a rack have consecutive indexes. */
typedef struct
{
  const Cb__Instance *spec;
  uint32_t index;
  uint32_t rack; /* index into racks */
} cb_instance_t;

typedef struct
{
  const Cb__Rack *spec;
  uint32_t index;
  uint32_t zone; /* index into zones */
  uint32_t first_instance;
  uint32_t instance_count;
} cb_rack_t;

typedef struct
{
  const Cb__AvailabilityZone *spec;
  const char *cell; /* the region when the inventory names no cell */
  uint32_t index;
} cb_zone_t;

typedef struct
{
  cb_ref_t ref;
  Cb__Config *config; /* owned */
  cb_instance_t *instances;
  uint32_t instance_count;
  cb_rack_t *racks;
  uint32_t rack_count;
  cb_zone_t *zones;
  uint32_t zone_count;
  GHashTable *instance_by_name; /* name -> cb_instance_t */
  GHashTable *account_by_name;  /* name -> Cb__AccountRule */
  GHashTable *kind_by_name;     /* name -> Cb__KindRule */
  GHashTable *client_accounts;  /* set of the names in the inventory */
} cb_fleet_t;

#endif
