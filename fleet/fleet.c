/* Creation of the fleet with its indexes, and lookups in it. */
#include "fleet/fns.h"

static void
release_fleet (void *object)
{
  cb_fleet_t *fleet = object;

  g_hash_table_unref (fleet->instance_by_name);
  g_hash_table_unref (fleet->account_by_name);
  g_hash_table_unref (fleet->kind_by_name);
  g_hash_table_unref (fleet->client_accounts);
  g_free (fleet->instances);
  g_free (fleet->racks);
  g_free (fleet->zones);
  cb_msg_free (fleet->config);
  g_free (fleet);
}

/* Fills in the zones of FLEET. Returns a table from the names of zones to their
   indexes, freed with g_hash_table_unref. */
static GHashTable *
index_zones (cb_fleet_t *fleet, const Cb__Inventory *inventory)
{
  GHashTable *by_name = g_hash_table_new (g_str_hash, g_str_equal);

  fleet->zone_count = (uint32_t)inventory->n_availability_zones;
  fleet->zones = g_new0 (cb_zone_t, fleet->zone_count);
  for (uint32_t i = 0; i < fleet->zone_count; i++)
    {
      const Cb__AvailabilityZone *spec = inventory->availability_zones[i];

      fleet->zones[i].spec = spec;
      fleet->zones[i].cell = *spec->cell != '\0' ? spec->cell : spec->region;
      fleet->zones[i].index = i;
      g_hash_table_insert (by_name, spec->name, GUINT_TO_POINTER (i));
    }
  return by_name;
}

/* Fills in the zones, racks and instances of FLEET and the table of instance names. */
static void
index_inventory (cb_fleet_t *fleet, const Cb__Inventory *inventory)
{
  GHashTable *zones = index_zones (fleet, inventory);
  uint32_t next = 0;

  fleet->rack_count = (uint32_t)inventory->n_racks;
  fleet->racks = g_new0 (cb_rack_t, fleet->rack_count);
  for (uint32_t i = 0; i < fleet->rack_count; i++)
    fleet->instance_count += (uint32_t)inventory->racks[i]->n_instances;
  fleet->instances = g_new0 (cb_instance_t, fleet->instance_count);
  for (uint32_t i = 0; i < fleet->rack_count; i++)
    {
      cb_rack_t *rack = &fleet->racks[i];

      rack->spec = inventory->racks[i];
      rack->index = i;
      rack->zone =
          GPOINTER_TO_UINT (g_hash_table_lookup (zones, rack->spec->availability_zone));
      rack->first_instance = next;
      rack->instance_count = (uint32_t)rack->spec->n_instances;
      for (uint32_t k = 0; k < rack->instance_count; k++, next++)
        {
          cb_instance_t *instance = &fleet->instances[next];

          instance->spec = rack->spec->instances[k];
          instance->index = next;
          instance->rack = i;
          g_hash_table_insert (fleet->instance_by_name, instance->spec->name, instance);
        }
    }
  g_hash_table_unref (zones);
}

/* Returns a fleet with a copy of CONFIG, which cb_fleet_check must have accepted. The
   caller drops the reference with cb_fleet_unref. */
cb_fleet_t *
cb_fleet_new (const Cb__Config *config)
{
  cb_fleet_t *fleet = g_new0 (cb_fleet_t, 1);

  cb_ref_init (&fleet->ref, release_fleet);
  fleet->config = (Cb__Config *)cb_msg_copy (&config->base);
  if (fleet->config->inventory == NULL)
    fleet->config->inventory = cb_msg_new (&cb__inventory__descriptor);
  if (fleet->config->rules == NULL)
    fleet->config->rules = cb_msg_new (&cb__rules__descriptor);
  fleet->instance_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->account_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->kind_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->client_accounts = g_hash_table_new (g_str_hash, g_str_equal);
  index_inventory (fleet, fleet->config->inventory);
  for (size_t i = 0; i < fleet->config->inventory->n_client_accounts; i++)
    g_hash_table_add (fleet->client_accounts,
                      fleet->config->inventory->client_accounts[i]);
  for (size_t i = 0; i < fleet->config->rules->n_accounts; i++)
    g_hash_table_insert (fleet->account_by_name,
                         fleet->config->rules->accounts[i]->name,
                         fleet->config->rules->accounts[i]);
  for (size_t i = 0; i < fleet->config->rules->n_kinds; i++)
    g_hash_table_insert (fleet->kind_by_name, fleet->config->rules->kinds[i]->name,
                         fleet->config->rules->kinds[i]);
  return fleet;
}

/* Adds a reference, which the caller drops with cb_fleet_unref. Returns FLEET. */
cb_fleet_t *
cb_fleet_ref (cb_fleet_t *fleet)
{
  cb_ref_get (&fleet->ref);
  return fleet;
}

/* Drops a reference; NULL is accepted. */
void
cb_fleet_unref (cb_fleet_t *fleet)
{
  if (fleet != NULL)
    cb_ref_put (&fleet->ref, fleet);
}

/* Returns the instance NAME, or NULL. It is valid as long as FLEET. */
const cb_instance_t *
cb_fleet_instance (const cb_fleet_t *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->instance_by_name, name);
}

/* Returns the rule of the account NAME, or NULL when the rules have none for it. */
const Cb__AccountRule *
cb_fleet_account (const cb_fleet_t *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->account_by_name, name);
}

/* Returns the rule of the kind NAME, or NULL when the rules have none for it. */
const Cb__KindRule *
cb_fleet_kind (const cb_fleet_t *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->kind_by_name, name);
}

/* Returns TRUE when the inventory lists the client account NAME. An account may be
   listed there without having a rule. */
gboolean
cb_fleet_has_client_account (const cb_fleet_t *fleet, const char *name)
{
  return g_hash_table_contains (fleet->client_accounts, name);
}

/* Returns the name of the cell whose scheduler schedules INSTANCE. */
const char *
cb_fleet_cell_of (const cb_fleet_t *fleet, const cb_instance_t *instance)
{
  return fleet->zones[fleet->racks[instance->rack].zone].cell;
}

/* Returns the time limit of a request of KIND in ms. */
uint32_t
cb_fleet_timeout_ms (const Cb__KindRule *kind)
{
  return kind->timeout_ms > 0 ? kind->timeout_ms : CB_DEFAULT_TIMEOUT_MS;
}

/* Returns how many requests of KIND may wait in the queue of an entry. */
uint32_t
cb_fleet_queue_limit (const Cb__KindRule *kind)
{
  return kind->queue_limit > 0 ? kind->queue_limit : CB_DEFAULT_QUEUE_LIMIT;
}

/* Returns the time within which borrowed accelerators must be returned to the account
   that they are guaranteed to, in ms. */
uint32_t
cb_fleet_reclaim_ms (const cb_fleet_t *fleet)
{
  uint32_t reclaim_ms = fleet->config->rules->reclaim_ms;

  return reclaim_ms > 0 ? reclaim_ms : CB_DEFAULT_RECLAIM_MS;
}

/* Returns TRUE when work of KIND may be stopped and run again. Only such work may
   borrow accelerators that are reserved for the guarantees of other accounts. */
gboolean
cb_fleet_kind_can_borrow (const Cb__KindRule *kind)
{
  return kind->preemption != CB__PREEMPTION__NEVER && !kind->not_repeatable;
}

/* Returns TRUE when requests of KIND are claimed in the log before they are sent. The
   requests of a kind with a mainframe block go to the mainframe until `signed_off_by`
   is set. They need claims even when they go to endpoints after that: otherwise a key
   that ran on the mainframe could run again on an endpoint. */
gboolean
cb_fleet_kind_needs_claim (const Cb__KindRule *kind)
{
  return kind->not_repeatable || kind->mainframe != NULL;
}
