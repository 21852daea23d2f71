/* Finds out whether the guarantees of all accounts can be met at the same time, by
   packing their shapes into the inventory. A shape is placed in one domain of its level
   (its adjacency): an instance, a rack or an availability zone. The accelerators set
   aside for a shape are a pin in the other folders. */
#include "fleet/local.h"

#include <string.h>

/* Number of domains that are examined before the search gives up. Packing is NP-hard,
   and an entry checks each configuration change in its event loop, which must not be
   blocked for long. Rejecting a full inventory of 600 instances takes 0.07 s in a
   release build. */
#define MAX_EXAMINED 50000000
/* The search recurses once for each shape. When there are more shapes than this, which
   could overflow the stack, they are placed by best fit only. */
#define MAX_SEARCHED_SHAPES 5000
/* Domains are tried in the order of a 64-bit sort key. From the highest bits down, the
   key has the free accelerators of the domain, the free accelerators of its rack, and
   the index of the domain. */
#define DOMAIN_BITS 24
#define DOMAIN_MASK 0xffffffU
#define FREE_BITS 20
#define FREE_MASK 0xfffffU

/* The free accelerators of every domain, and the shapes to place. Shapes are placed by
   level (instance, then rack, then zone) and by decreasing size within a level. Once
   the shapes of a level are placed, only the free totals of the next level matter to
   the remaining shapes, so that the search is complete although it does not choose the
   instances for the shapes of racks and zones. */
typedef struct
{
  uint32_t *instance_free;
  uint32_t *instance_rack;
  uint32_t instance_count;
  uint32_t *rack_free;
  uint32_t *rack_zone;
  uint32_t rack_count;
  uint32_t *zone_free;
  const Cb__Inventory *inventory;
  GArray *shapes;    /* of cb_shape_t */
  uint64_t examined; /* domains, for MAX_EXAMINED */
} packing_t;

static uint32_t
zone_index (const Cb__Inventory *inventory, const char *name)
{
  uint32_t i = 0;

  while (strcmp (inventory->availability_zones[i]->name, name) != 0)
    i++;
  return i;
}

static void
init_packing (packing_t *packing, const Cb__Inventory *inventory)
{
  uint32_t next = 0;

  memset (packing, 0, sizeof *packing);
  packing->inventory = inventory;
  packing->rack_count = (uint32_t)inventory->n_racks;
  for (size_t i = 0; i < inventory->n_racks; i++)
    packing->instance_count += (uint32_t)inventory->racks[i]->n_instances;
  packing->instance_free = g_new0 (uint32_t, packing->instance_count + 1);
  packing->instance_rack = g_new0 (uint32_t, packing->instance_count + 1);
  packing->rack_free = g_new0 (uint32_t, packing->rack_count + 1);
  packing->rack_zone = g_new0 (uint32_t, packing->rack_count + 1);
  packing->zone_free = g_new0 (uint32_t, inventory->n_availability_zones + 1);
  for (uint32_t i = 0; i < packing->rack_count; i++)
    {
      const Cb__Rack *rack = inventory->racks[i];

      packing->rack_zone[i] = zone_index (inventory, rack->availability_zone);
      for (size_t k = 0; k < rack->n_instances; k++, next++)
        {
          packing->instance_free[next] = rack->instances[k]->accelerators;
          packing->instance_rack[next] = i;
          packing->rack_free[i] += rack->instances[k]->accelerators;
        }
      packing->zone_free[packing->rack_zone[i]] += packing->rack_free[i];
    }
}

static void
clear_packing (packing_t *packing)
{
  g_free (packing->instance_free);
  g_free (packing->instance_rack);
  g_free (packing->rack_free);
  g_free (packing->rack_zone);
  g_free (packing->zone_free);
}

static gint
compare_shapes (gconstpointer a, gconstpointer b)
{
  const cb_shape_t *x = a;
  const cb_shape_t *y = b;

  if (x->guarantee->adjacency != y->guarantee->adjacency)
    return x->guarantee->adjacency < y->guarantee->adjacency ? -1 : 1;
  if (x->guarantee->accelerators != y->guarantee->accelerators)
    return x->guarantee->accelerators > y->guarantee->accelerators ? -1 : 1;
  /* Shapes restricted to one availability zone have fewer domains, so they go first. */
  if ((*x->guarantee->availability_zone == '\0') !=
      (*y->guarantee->availability_zone == '\0'))
    return *x->guarantee->availability_zone != '\0' ? -1 : 1;
  if (x->account_index != y->account_index)
    return x->account_index < y->account_index ? -1 : 1;
  if (x->guarantee_index != y->guarantee_index)
    return x->guarantee_index < y->guarantee_index ? -1 : 1;
  return 0;
}

/* Returns the shapes of all guarantees in the order in which they are placed. */
static GArray *
list_shapes (const Cb__Rules *rules)
{
  GArray *shapes = g_array_new (FALSE, FALSE, sizeof (cb_shape_t));

  for (uint32_t i = 0; i < rules->n_accounts; i++)
    for (uint32_t k = 0; k < rules->accounts[i]->n_guarantees; k++)
      {
        cb_shape_t shape = { rules->accounts[i], i, k,
                             rules->accounts[i]->guarantees[k] };

        for (uint32_t n = 0; n < shape.guarantee->count; n++)
          g_array_append_val (shapes, shape);
      }
  g_array_sort (shapes, compare_shapes);
  return shapes;
}

/* Returns the rack of DOMAIN, an instance or a rack by the level of SHAPE. */
static uint32_t
rack_of (const packing_t *packing, const cb_shape_t *shape, uint32_t domain)
{
  return shape->guarantee->adjacency == CB__ADJACENCY__INSTANCE
             ? packing->instance_rack[domain]
             : domain;
}

/* Subtracts the accelerators of SHAPE from the free ones of DOMAIN and of the rack and
   zone that contain it, or adds them again when TAKE is FALSE. */
static void
adjust_free (packing_t *packing, const cb_shape_t *shape, uint32_t domain,
             gboolean take)
{
  uint32_t delta =
      take ? 0U - shape->guarantee->accelerators : shape->guarantee->accelerators;
  uint32_t rack;

  if (shape->guarantee->adjacency == CB__ADJACENCY__ZONE)
    {
      packing->zone_free[domain] += delta;
      return;
    }
  rack = rack_of (packing, shape, domain);
  if (shape->guarantee->adjacency == CB__ADJACENCY__INSTANCE)
    packing->instance_free[domain] += delta;
  packing->rack_free[rack] += delta;
  packing->zone_free[packing->rack_zone[rack]] += delta;
}

/* Sets KEY to the sort key of DOMAIN for SHAPE; the domain with the least free capacity
   has the lowest key. Returns FALSE when the shape does not fit in DOMAIN. */
static gboolean
domain_key (const packing_t *packing, const cb_shape_t *shape, uint32_t domain,
            uint64_t *key)
{
  const Cb__Guarantee *g = shape->guarantee;
  uint32_t zone = domain;
  uint32_t free_here;
  uint64_t free_rack = 0;

  if (g->adjacency == CB__ADJACENCY__ZONE)
    free_here = packing->zone_free[domain];
  else
    {
      uint32_t rack = rack_of (packing, shape, domain);

      zone = packing->rack_zone[rack];
      free_rack = MIN (packing->rack_free[rack], FREE_MASK);
      free_here = g->adjacency == CB__ADJACENCY__INSTANCE
                      ? packing->instance_free[domain]
                      : packing->rack_free[rack];
    }
  if (free_here < g->accelerators ||
      (*g->availability_zone != '\0' &&
       strcmp (packing->inventory->availability_zones[zone]->name,
               g->availability_zone) != 0))
    return FALSE;
  *key = (uint64_t)MIN (free_here, FREE_MASK) << (FREE_BITS + DOMAIN_BITS) |
         free_rack << DOMAIN_BITS | domain;
  return TRUE;
}

/* Sets KEY to the lowest key above *KEY of a domain that SHAPE fits in; *KEY is 0 for
   the first domain. Returns FALSE when there is no such domain. */
static gboolean
next_domain (packing_t *packing, const cb_shape_t *shape, uint64_t *key)
{
  uint64_t best = UINT64_MAX;
  uint64_t candidate;
  uint32_t count = (uint32_t)packing->inventory->n_availability_zones;

  if (shape->guarantee->adjacency == CB__ADJACENCY__INSTANCE)
    count = packing->instance_count;
  else if (shape->guarantee->adjacency == CB__ADJACENCY__RACK)
    count = packing->rack_count;
  packing->examined += count;
  for (uint32_t i = 0; i < count; i++)
    if (domain_key (packing, shape, i, &candidate) && candidate > *key &&
        candidate < best)
      best = candidate;
  *key = best;
  return best != UINT64_MAX;
}

/* Returns TRUE when the domains with the keys A and B are interchangeable for SHAPE, so
   that a search that failed with one would fail with the other: both have the same free
   capacity, and are instances of the same rack or racks of the same zone. */
static gboolean
is_equivalent (const packing_t *packing, const cb_shape_t *shape, uint64_t a,
               uint64_t b)
{
  uint32_t x = (uint32_t)(a & DOMAIN_MASK);
  uint32_t y = (uint32_t)(b & DOMAIN_MASK);

  if (a >> DOMAIN_BITS != b >> DOMAIN_BITS)
    return FALSE;
  if (shape->guarantee->adjacency == CB__ADJACENCY__INSTANCE)
    return packing->instance_rack[x] == packing->instance_rack[y];
  return shape->guarantee->adjacency == CB__ADJACENCY__RACK &&
         packing->rack_zone[x] == packing->rack_zone[y];
}

/* Places the shapes from INDEX on by backtracking. Returns FALSE when that is
   impossible or MAX_EXAMINED is reached; the free accelerators are then as before the
   call. */
static gboolean
place_remaining (packing_t *packing, guint index)
{
  const cb_shape_t *shape;
  uint64_t key = 0;
  uint64_t failed = 0; /* key of the last domain tried */

  if (index == packing->shapes->len)
    return TRUE;
  shape = &g_array_index (packing->shapes, cb_shape_t, index);
  while (packing->examined < MAX_EXAMINED && next_domain (packing, shape, &key))
    {
      uint32_t domain = (uint32_t)(key & DOMAIN_MASK);

      if (failed != 0 && is_equivalent (packing, shape, failed, key))
        continue;
      adjust_free (packing, shape, domain, TRUE);
      if (place_remaining (packing, index + 1))
        return TRUE;
      adjust_free (packing, shape, domain, FALSE);
      failed = key;
    }
  return FALSE;
}

/* Places the shapes by best fit, without backtracking, and returns those that did not
   fit. Once a shape of a guarantee does not fit, the other shapes of that guarantee do
   not either. */
static GArray *
place_greedily (packing_t *packing)
{
  GArray *unplaced = g_array_new (FALSE, FALSE, sizeof (cb_shape_t));
  const Cb__Guarantee *full = NULL;

  for (guint i = 0; i < packing->shapes->len; i++)
    {
      cb_shape_t *shape = &g_array_index (packing->shapes, cb_shape_t, i);
      uint64_t key = 0;

      if (shape->guarantee != full && next_domain (packing, shape, &key))
        {
          adjust_free (packing, shape, (uint32_t)(key & DOMAIN_MASK), TRUE);
          continue;
        }
      full = shape->guarantee;
      g_array_append_val (unplaced, *shape);
    }
  return unplaced;
}

/* Checks that the shapes of all guarantees can be placed at the same time. Returns an
   array of cb_shape_t, freed with g_array_unref. It is empty when a placement of all
   shapes was found; otherwise it has the shapes that best fit could not place, in the
   order of placing. INVENTORY and RULES must have passed all other checks of
   cb_fleet_check. */
GArray *
cb_pin_unplaced (const Cb__Inventory *inventory, const Cb__Rules *rules)
{
  packing_t packing;
  GArray *unplaced;

  init_packing (&packing, inventory);
  packing.shapes = list_shapes (rules);
  unplaced = place_greedily (&packing);
  if (unplaced->len > 0 && packing.shapes->len <= MAX_SEARCHED_SHAPES)
    {
      GArray *shapes = packing.shapes;

      clear_packing (&packing);
      init_packing (&packing, inventory);
      packing.shapes = shapes;
      if (place_remaining (&packing, 0))
        g_array_set_size (unplaced, 0);
    }
  clear_packing (&packing);
  g_array_unref (packing.shapes);
  return unplaced;
}
