/* Checks of the inventory and the rules before they become a configuration. */
#include "fleet/local.h"

#include <string.h>

#define MAX_NAME_BYTES 100
/* The scheduler and the agents keep an instance's accelerators in a 64-bit mask. */
#define MAX_INSTANCE_ACCELERATORS 64
#define MAX_GUARANTEE_COUNT 10000 /* shapes per guarantee */
#define MAX_SHARE 1000
#define MAX_TIMEOUT_MS 3600000
#define MAX_QUEUE_LIMIT 1000000
#define MIN_RECLAIM_MS 100
#define MAX_RECLAIM_MS 60000
#define MAX_WEIGHT 100

/* One of the two documents, inventory or rules, and the list for its errors. */
typedef struct
{
  const char *file;
  const cb_source_t *source; /* line numbers; NULL: none */
  cb_errors_t *errors;
} document_t;

static void add_error (const document_t *document, const void *message,
                       const char *field, const char *fmt, ...) G_GNUC_PRINTF (4, 5);

static void
add_error (const document_t *document, const void *message, const char *field,
           const char *fmt, ...)
{
  va_list args;
  char *text;

  va_start (args, fmt);
  text = g_strdup_vprintf (fmt, args);
  va_end (args);
  cb_errors_add (document->errors, document->file,
                 cb_source_line (document->source, message), field, "%s", text);
  g_free (text);
}

/* Adds an error unless VALUE is MIN..MAX. The error names the value PATH.FIELD. */
static void
check_range (const document_t *document, const void *message, const char *path,
             const char *field, uint32_t value, uint32_t min, uint32_t max)
{
  char *name;

  if (value >= min && value <= max)
    return;
  name = g_strdup_printf ("%s.%s", path, field);
  add_error (document, message, name, "%u is out of range; accepted: %u..%u", value,
             min, max);
  g_free (name);
}

/* Checks that NAME is well formed and not in SEEN, and adds it there. White space and
   slashes are rejected, because names are printed in tables and used in URL paths. */
static void
check_name (const document_t *document, const void *message, const char *field,
            const char *name, GHashTable *seen)
{
  if (*name == '\0')
    add_error (document, message, field, "the name is missing");
  else if (strlen (name) > MAX_NAME_BYTES)
    add_error (document, message, field,
               "the name is too long; accepted: up to %d bytes", MAX_NAME_BYTES);
  else if (!g_hash_table_add (seen, (gpointer)name))
    add_error (document, message, field, "\"%s\" is already used; names must be unique",
               name);
  else
    for (const unsigned char *c = (const unsigned char *)name; *c != '\0'; c++)
      if (*c <= ' ' || *c == '/' || *c == 0x7f)
        {
          add_error (document, message, field,
                     "the name contains white space, a control character or a slash");
          return;
        }
}

static gboolean
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port;

  return colon != NULL && colon != text && strpbrk (text, " \t/") == NULL &&
         g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port, NULL);
}

/* Checks the availability zones. Returns the set of their names, which belong to
   INVENTORY. */
static GHashTable *
check_zones (const document_t *document, const Cb__Inventory *inventory)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < inventory->n_availability_zones; i++)
    {
      const Cb__AvailabilityZone *zone = inventory->availability_zones[i];
      char *name = g_strdup_printf ("availability_zones[%zu].name", i);
      char *region = g_strdup_printf ("availability_zones[%zu].region", i);

      check_name (document, zone, name, zone->name, zones);
      if (*zone->region == '\0')
        add_error (document, zone, region, "the region is missing");
      g_free (name);
      g_free (region);
    }
  return zones;
}

static void
check_instances (const document_t *document, const Cb__Rack *rack, const char *path,
                 GHashTable *instances)
{
  for (size_t i = 0; i < rack->n_instances; i++)
    {
      const Cb__Instance *instance = rack->instances[i];
      char *at = g_strdup_printf ("%s.instances[%zu]", path, i);
      char *name = g_strdup_printf ("%s.name", at);
      char *address = g_strdup_printf ("%s.address", at);

      check_name (document, instance, name, instance->name, instances);
      check_range (document, instance, at, "accelerators", instance->accelerators, 0,
                   MAX_INSTANCE_ACCELERATORS);
      if (*instance->address != '\0' && !is_address (instance->address))
        add_error (document, instance, address,
                   "\"%s\" is not an address; accepted: host:port", instance->address);
      g_free (address);
      g_free (name);
      g_free (at);
    }
}

/* Checks racks, instances and client accounts, and adds the names of the client
   accounts to ACCOUNTS. A rack is in one availability zone and a zone in one cell, so
   that a rack is never split between two schedulers. */
static void
check_inventory (const document_t *document, const Cb__Inventory *inventory,
                 GHashTable *zones, GHashTable *accounts)
{
  GHashTable *racks = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *instances = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < inventory->n_racks; i++)
    {
      const Cb__Rack *rack = inventory->racks[i];
      char *path = g_strdup_printf ("racks[%zu]", i);
      char *name = g_strdup_printf ("%s.name", path);
      char *zone = g_strdup_printf ("%s.availability_zone", path);

      check_name (document, rack, name, rack->name, racks);
      if (!g_hash_table_contains (zones, rack->availability_zone))
        add_error (document, rack, zone,
                   "\"%s\" is not an availability zone of the inventory",
                   rack->availability_zone);
      check_instances (document, rack, path, instances);
      g_free (zone);
      g_free (name);
      g_free (path);
    }
  for (size_t i = 0; i < inventory->n_client_accounts; i++)
    {
      char *path = g_strdup_printf ("client_accounts[%zu]", i);

      check_name (document, inventory, path, inventory->client_accounts[i], accounts);
      g_free (path);
    }
  g_hash_table_unref (racks);
  g_hash_table_unref (instances);
}

/* Checks the guarantees of ACCOUNT. Returns the number of their accelerators. */
static uint64_t
check_guarantees (const document_t *document, const Cb__AccountRule *account,
                  const char *path, GHashTable *zones)
{
  uint64_t total = 0;

  for (size_t i = 0; i < account->n_guarantees; i++)
    {
      const Cb__Guarantee *g = account->guarantees[i];
      char *at = g_strdup_printf ("%s.guarantees[%zu]", path, i);
      char *adjacency = g_strdup_printf ("%s.adjacency", at);
      char *zone = g_strdup_printf ("%s.availability_zone", at);

      check_range (document, g, at, "count", g->count, 1, MAX_GUARANTEE_COUNT);
      check_range (document, g, at, "accelerators", g->accelerators, 1, UINT32_MAX);
      if (g->adjacency == CB__ADJACENCY__ANY)
        add_error (document, g, adjacency,
                   "a guarantee needs a level; accepted: instance, rack, zone");
      if (*g->availability_zone != '\0' &&
          !g_hash_table_contains (zones, g->availability_zone))
        add_error (document, g, zone,
                   "\"%s\" is not an availability zone of the inventory",
                   g->availability_zone);
      total += (uint64_t)g->count * g->accelerators;
      g_free (zone);
      g_free (adjacency);
      g_free (at);
    }
  return total;
}

static void
check_accounts (const document_t *document, const Cb__Rules *rules, GHashTable *zones,
                GHashTable *accounts)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < rules->n_accounts; i++)
    {
      const Cb__AccountRule *account = rules->accounts[i];
      char *path = g_strdup_printf ("accounts[%zu]", i);
      char *name = g_strdup_printf ("%s.name", path);
      uint64_t total;

      check_name (document, account, name, account->name, seen);
      if (*account->name != '\0' && !g_hash_table_contains (accounts, account->name))
        add_error (document, account, name,
                   "\"%s\" is not a client account of the inventory", account->name);
      check_range (document, account, path, "share", account->share, 0, MAX_SHARE);
      total = check_guarantees (document, account, path, zones);
      if (account->quota_accelerators > 0 && total > account->quota_accelerators)
        add_error (document, account, path,
                   "the guarantees of \"%s\" have %" G_GUINT64_FORMAT
                   " accelerators, above quota_accelerators %u",
                   account->name, total, account->quota_accelerators);
      g_free (name);
      g_free (path);
    }
  g_hash_table_unref (seen);
}

static void
check_kind (const document_t *document, const Cb__KindRule *kind, const char *path)
{
  char *preemption = g_strdup_printf ("%s.preemption", path);
  char *mainframe = g_strdup_printf ("%s.mainframe", path);
  char *address = g_strdup_printf ("%s.address", mainframe);

  check_range (document, kind, path, "timeout_ms", kind->timeout_ms, 0, MAX_TIMEOUT_MS);
  check_range (document, kind, path, "queue_limit", kind->queue_limit, 0,
               MAX_QUEUE_LIMIT);
  if (kind->job && kind->not_repeatable && kind->preemption != CB__PREEMPTION__NEVER)
    add_error (
        document, kind, preemption,
        "a kind that is not_repeatable cannot be stopped and run again; accepted: "
        "never");
  if (kind->mainframe != NULL && kind->job)
    add_error (document, kind, mainframe, "only request kinds can go to the mainframe");
  if (kind->mainframe != NULL && !is_address (kind->mainframe->address))
    add_error (document, kind->mainframe, address,
               "\"%s\" is not an address; accepted: host:port",
               kind->mainframe->address);
  g_free (address);
  g_free (mainframe);
  g_free (preemption);
}

static void
check_kinds (const document_t *document, const Cb__Rules *rules)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < rules->n_kinds; i++)
    {
      const Cb__KindRule *kind = rules->kinds[i];
      char *path = g_strdup_printf ("kinds[%zu]", i);
      char *name = g_strdup_printf ("%s.name", path);

      check_name (document, kind, name, kind->name, seen);
      check_kind (document, kind, path);
      g_free (name);
      g_free (path);
    }
  g_hash_table_unref (seen);
}

static void
check_rules (const document_t *document, const Cb__Rules *rules)
{
  const Cb__Weights *w = rules->weights;

  check_kinds (document, rules);
  if (w != NULL)
    {
      check_range (document, w, "weights", "fragmentation", w->fragmentation, 0,
                   MAX_WEIGHT);
      check_range (document, w, "weights", "completion_time", w->completion_time, 0,
                   MAX_WEIGHT);
      if (w->fragmentation == 0 && w->completion_time == 0)
        add_error (document, w, "weights", "both weights are 0; one must be 1..%d",
                   MAX_WEIGHT);
    }
  if (rules->reclaim_ms != 0 &&
      (rules->reclaim_ms < MIN_RECLAIM_MS || rules->reclaim_ms > MAX_RECLAIM_MS))
    add_error (document, rules, "reclaim_ms", "%u is out of range; accepted: %d..%d",
               rules->reclaim_ms, MIN_RECLAIM_MS, MAX_RECLAIM_MS);
}

/* Adds one error for each guarantee with shapes that cannot be placed. */
static void
check_placements (const document_t *document, const Cb__Inventory *inventory,
                  const Cb__Rules *rules)
{
  static const char *const levels[] = { "any location", "one instance", "one rack",
                                        "one availability zone" };
  GArray *unplaced = cb_pin_unplaced (inventory, rules);
  guint first = 0;

  for (guint i = 0; i < unplaced->len; i++)
    {
      const cb_shape_t *shape = &g_array_index (unplaced, cb_shape_t, i);
      const cb_shape_t *next = shape + 1;
      char *path;

      if (i + 1 < unplaced->len && next->guarantee == shape->guarantee)
        continue;
      path = g_strdup_printf ("accounts[%u].guarantees[%u]", shape->account_index,
                              shape->guarantee_index);
      add_error (
          document, shape->guarantee, path,
          "account \"%s\": %u of %u shapes of %u accelerators in %s have no place in "
          "the inventory beside the other guarantees",
          shape->account->name, i + 1 - first, shape->guarantee->count,
          shape->guarantee->accelerators, levels[shape->guarantee->adjacency]);
      first = i + 1;
      g_free (path);
    }
  g_array_unref (unplaced);
}

/* Checks that both documents are valid and consistent with each other. The SOURCE
   arguments may be NULL; errors then have no line number. Returns CB_FLEET_INVALID with
   all errors added to ERRORS. Whether the guarantees can be placed is checked only when
   there is no other error. */
int
cb_fleet_check (const Cb__Inventory *inventory, const cb_source_t *inventory_source,
                const Cb__Rules *rules, const cb_source_t *rules_source,
                cb_errors_t *errors)
{
  document_t inventory_document = { inventory_source == NULL ? "inventory"
                                                             : inventory_source->file,
                                    inventory_source, errors };
  document_t rules_document = { rules_source == NULL ? "rules" : rules_source->file,
                                rules_source, errors };
  guint before = errors->lines->len;
  GHashTable *zones = check_zones (&inventory_document, inventory);
  GHashTable *accounts = g_hash_table_new (g_str_hash, g_str_equal);

  check_inventory (&inventory_document, inventory, zones, accounts);
  check_accounts (&rules_document, rules, zones, accounts);
  check_rules (&rules_document, rules);
  g_hash_table_unref (zones);
  g_hash_table_unref (accounts);
  if (errors->lines->len == before)
    check_placements (&rules_document, inventory, rules);
  return errors->lines->len == before ? CB_OK : CB_FLEET_INVALID;
}
