/* Changes between two versions of the configuration: computing and applying them. */
#include "fleet/fns.h"

#include <stdlib.h>
#include <string.h>

/* A list of objects with unique names: messages with a field `name`, or plain strings
   that are the names themselves. */
typedef struct
{
  void **items;
  size_t count;
  gboolean is_names; /* the items are strings */
} named_list_t;

static const char *
name_of (const named_list_t *list, size_t index)
{
  const ProtobufCMessage *message = list->items[index];

  if (list->is_names)
    return list->items[index];
  return *(char *const *)((const char *)message +
                          protobuf_c_message_descriptor_get_field_by_name (
                              message->descriptor, "name")
                              ->offset);
}

static void *
copy_item (const named_list_t *list, size_t index)
{
  return list->is_names ? (void *)strdup (list->items[index])
                        : (void *)cb_msg_copy (list->items[index]);
}

static void
free_item (const named_list_t *list, void *item)
{
  if (list->is_names)
    free (item);
  else
    cb_msg_free (item);
}

/* Returns a table from each name to its position in LIST plus one, so that 0 means
   absent. The keys belong to LIST. */
static GHashTable *
positions_by_name (const named_list_t *list)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < list->count; i++)
    g_hash_table_insert (table, (gpointer)name_of (list, i), GSIZE_TO_POINTER (i + 1));
  return table;
}

/* Appends to CHANGED copies of the objects of TO that apply_list must replace or
   append, and to REMOVED the names that it must remove, to turn FROM into TO.
   apply_list removes objects, replaces changed ones in place and appends the others at
   the end. To get the order of TO, only the objects of the longest prefix of TO that is
   in FROM in the same relative order keep their place; all others of FROM are removed,
   and the rest of TO is appended. */
static void
diff_list (const named_list_t *from, const named_list_t *to, void ***changed,
           size_t *changed_count, char ***removed, size_t *removed_count)
{
  GHashTable *old = positions_by_name (from);
  gboolean *in_place = g_new0 (gboolean, from->count + 1);
  gboolean appending = FALSE;
  size_t last = 0;

  for (size_t i = 0; i < to->count; i++)
    {
      size_t at = GPOINTER_TO_SIZE (g_hash_table_lookup (old, name_of (to, i)));

      appending = appending || at <= last;
      if (!appending)
        {
          in_place[at - 1] = TRUE;
          last = at;
          if (to->is_names || cb_msg_equal (from->items[at - 1], to->items[i]))
            continue;
        }
      cb_msg_append (changed, changed_count, copy_item (to, i));
    }
  for (size_t i = 0; i < from->count; i++)
    if (!in_place[i])
      cb_msg_append ((void ***)removed, removed_count, strdup (name_of (from, i)));
  g_free (in_place);
  g_hash_table_unref (old);
}

/* Applies CHANGED and REMOVED, as diff_list makes them, to LIST. Returns FALSE when a
   name in REMOVED is not in LIST or occurs twice; LIST is then changed in part, but
   still valid for freeing. */
static gboolean
apply_list (named_list_t *list, const named_list_t *changed, char *const *removed,
            size_t removed_count)
{
  GHashTable *old = positions_by_name (list);
  gboolean ok = TRUE;
  size_t kept = 0;

  for (size_t i = 0; i < removed_count && ok; i++)
    {
      size_t at = GPOINTER_TO_SIZE (g_hash_table_lookup (old, removed[i]));

      ok = at > 0 && list->items[at - 1] != NULL;
      if (!ok)
        break;
      g_hash_table_remove (old, removed[i]);
      free_item (list, list->items[at - 1]);
      list->items[at - 1] = NULL;
    }
  g_hash_table_unref (old);
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i] != NULL)
      list->items[kept++] = list->items[i];
  list->count = kept;
  old = positions_by_name (list);
  for (size_t i = 0; i < changed->count && ok; i++)
    {
      size_t at = GPOINTER_TO_SIZE (g_hash_table_lookup (old, name_of (changed, i)));

      if (at == 0)
        {
          cb_msg_append (&list->items, &list->count, copy_item (changed, i));
          continue;
        }
      /* The key in the table is a string of the object that is freed below. */
      g_hash_table_remove (old, name_of (changed, i));
      free_item (list, list->items[at - 1]);
      list->items[at - 1] = copy_item (changed, i);
      g_hash_table_insert (old, (gpointer)name_of (list, at - 1),
                           GSIZE_TO_POINTER (at));
    }
  g_hash_table_unref (old);
  return ok;
}

#define LIST(message, field, is_names)                                                 \
  {                                                                                    \
    (void **)(message)->field, (message)->n_##field, (is_names)                        \
  }

#define DIFF(part, field, is_names)                                                    \
  do                                                                                   \
    {                                                                                  \
      named_list_t old_list = LIST (from->part, field, is_names);                      \
      named_list_t new_list = LIST (to->part, field, is_names);                        \
                                                                                       \
      diff_list (&old_list, &new_list, (void ***)&change->field, &change->n_##field,   \
                 &change->removed_##field, &change->n_removed_##field);                \
    }                                                                                  \
  while (0)

static uint32_t
effective_reclaim_ms (const Cb__Rules *rules)
{
  return rules->reclaim_ms > 0 ? rules->reclaim_ms : CB_DEFAULT_RECLAIM_MS;
}

static gboolean
weights_equal (const Cb__Weights *a, const Cb__Weights *b)
{
  if (a == NULL || b == NULL)
    return a == b;
  return a->fragmentation == b->fragmentation &&
         a->completion_time == b->completion_time;
}

/* Adds to CHANGE the values outside of lists that differ. A change that removes the
   weights has both weights 0, which valid rules cannot have. */
static void
diff_scalars (const Cb__Rules *from, const Cb__Rules *to, Cb__ConfigChange *change)
{
  if (!weights_equal (from->weights, to->weights))
    change->weights = to->weights == NULL ? cb_msg_new (&cb__weights__descriptor)
                                          : (void *)cb_msg_copy (&to->weights->base);
  if (effective_reclaim_ms (from) != effective_reclaim_ms (to))
    change->reclaim_ms = effective_reclaim_ms (to);
}

/* Returns a copy of CONFIG in which inventory and rules are present. */
static Cb__Config *
complete_copy (const Cb__Config *config)
{
  Cb__Config *copy = config == NULL ? cb_msg_new (&cb__config__descriptor)
                                    : (Cb__Config *)cb_msg_copy (&config->base);

  if (copy->inventory == NULL)
    copy->inventory = cb_msg_new (&cb__inventory__descriptor);
  if (copy->rules == NULL)
    copy->rules = cb_msg_new (&cb__rules__descriptor);
  return copy;
}

/* Returns the change that turns FROM_CONFIG into TO_CONFIG and is based on the version
   of FROM_CONFIG. When FROM_CONFIG is NULL or has version 0, the change replaces
   everything and has the whole of TO_CONFIG. Freed with cb_msg_free. */
Cb__ConfigChange *
cb_config_diff (const Cb__Config *from_config, const Cb__Config *to_config)
{
  Cb__ConfigChange *change = cb_msg_new (&cb__config_change__descriptor);
  Cb__Config *from = complete_copy (from_config);
  Cb__Config *to = complete_copy (to_config);

  change->base_version = from->version;
  change->replace_all = from->version == 0;
  if (change->replace_all)
    {
      cb_msg_free (from);
      from = complete_copy (NULL);
    }
  DIFF (inventory, availability_zones, FALSE);
  DIFF (inventory, racks, FALSE);
  DIFF (inventory, client_accounts, TRUE);
  DIFF (rules, accounts, FALSE);
  DIFF (rules, kinds, FALSE);
  diff_scalars (from->rules, to->rules, change);
  cb_msg_free (from);
  cb_msg_free (to);
  return change;
}

#define APPLY(part, field, is_names)                                                   \
  do                                                                                   \
    {                                                                                  \
      named_list_t list = LIST (config->part, field, is_names);                        \
      named_list_t changed = LIST (change, field, is_names);                           \
                                                                                       \
      ok = apply_list (&list, &changed, change->removed_##field,                       \
                       change->n_removed_##field) &&                                   \
           ok;                                                                         \
      config->part->field = (void *)list.items;                                        \
      config->part->n_##field = list.count;                                            \
    }                                                                                  \
  while (0)

static gboolean
apply_lists (Cb__Config *config, const Cb__ConfigChange *change)
{
  gboolean ok = TRUE;

  APPLY (inventory, availability_zones, FALSE);
  APPLY (inventory, racks, FALSE);
  APPLY (inventory, client_accounts, TRUE);
  APPLY (rules, accounts, FALSE);
  APPLY (rules, kinds, FALSE);
  return ok;
}

static void
apply_scalars (Cb__Rules *rules, const Cb__ConfigChange *change)
{
  const Cb__Weights *weights = change->weights;

  if (change->reclaim_ms > 0)
    rules->reclaim_ms = change->reclaim_ms;
  if (weights == NULL)
    return;
  cb_msg_free (rules->weights);
  rules->weights = NULL;
  if (weights->fragmentation > 0 || weights->completion_time > 0)
    rules->weights = (Cb__Weights *)cb_msg_copy (&weights->base);
}

static gboolean
is_valid (const Cb__Config *config)
{
  cb_errors_t errors;
  int err;

  cb_errors_init (&errors);
  err = cb_fleet_check (config->inventory, NULL, config->rules, NULL, &errors);
  cb_errors_clear (&errors);
  return err == CB_OK;
}

/* Applies CHANGE to FROM (NULL: no configuration yet) and sets TO to the result with
   VERSION, freed with cb_msg_free. Returns CB_FLEET_CONFLICT when the change is not
   based on the version of FROM, and CB_FLEET_INVALID when it removes an object that
   FROM lacks or the result is not a valid configuration; TO is then NULL. */
int
cb_config_apply (const Cb__Config *from, const Cb__ConfigChange *change,
                 uint64_t version, Cb__Config **to)
{
  Cb__Config *config;

  *to = NULL;
  if (change->base_version != (from == NULL ? 0 : from->version))
    return CB_FLEET_CONFLICT;
  config = complete_copy (change->replace_all ? NULL : from);
  config->version = version;
  if (apply_lists (config, change))
    {
      apply_scalars (config->rules, change);
      if (is_valid (config))
        {
          *to = config;
          return CB_OK;
        }
    }
  cb_msg_free (config);
  return CB_FLEET_INVALID;
}
