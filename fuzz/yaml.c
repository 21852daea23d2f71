/* The YAML reader, and the validation of inventory and rules. The first byte selects
   what the rest is: `s` settings, `r` rules, `b` an inventory and rules with a line
   `%%` between them, any other an inventory. */
#include "fuzz/lib/fuzz.h"

#include "codec/fns.h"
#include "fleet/fns.h"

/* Reads TEXT; NULL on errors. The caller clears SOURCE. */
static ProtobufCMessage *
read_one (const ProtobufCMessageDescriptor *type, const char *text, size_t size,
          cb_source_t *source)
{
  cb_errors_t errors;
  ProtobufCMessage *message = NULL;
  int err;

  cb_errors_init (&errors);
  cb_source_init (source, "input.yaml");
  err = cb_yaml_read (type, text, size, source, &errors, &message);
  FUZZ_CHECK ((err == CB_OK) == (message != NULL));
  FUZZ_CHECK ((err == CB_OK) == (errors.lines->len == 0));
  cb_errors_clear (&errors);
  return message;
}

/* A configuration that passed the validation can be indexed, and its difference to an
   empty one rebuilds it. */
static void
check_config (Cb__Inventory *inventory, Cb__Rules *rules)
{
  Cb__Config config = CB__CONFIG__INIT;
  Cb__Config *rebuilt = NULL;
  Cb__ConfigChange *change;
  cb_fleet_t *fleet;

  config.version = 1;
  config.inventory = inventory;
  config.rules = rules;
  fleet = cb_fleet_new (&config);
  for (uint32_t i = 0; i < fleet->instance_count; i++)
    FUZZ_CHECK (cb_fleet_instance (fleet, fleet->instances[i].spec->name) != NULL);
  cb_fleet_unref (fleet);
  change = cb_config_diff (NULL, &config);
  FUZZ_CHECK (change != NULL);
  FUZZ_CHECK (cb_config_apply (NULL, change, 1, &rebuilt) == CB_OK);
  cb_msg_free (change);
  change = cb_config_diff (&config, rebuilt);
  FUZZ_CHECK (change == NULL || (change->n_racks == 0 && change->n_accounts == 0 &&
                                 change->n_kinds == 0 && change->n_removed_racks == 0));
  cb_msg_free (change);
  cb_msg_free (rebuilt);
}

static void
read_both (const char *text, size_t size)
{
  const char *end = memmem (text, size, "\n%%\n", 4);
  size_t first = end == NULL ? size : (size_t)(end - text) + 1;
  size_t skip = end == NULL ? size : first + 3;
  cb_source_t sources[2];
  ProtobufCMessage *inventory =
      read_one (&cb__inventory__descriptor, text, first, &sources[0]);
  ProtobufCMessage *rules =
      read_one (&cb__rules__descriptor, text + skip, size - skip, &sources[1]);
  cb_errors_t errors;

  cb_errors_init (&errors);
  if (inventory != NULL && rules != NULL &&
      cb_fleet_check ((Cb__Inventory *)inventory, &sources[0], (Cb__Rules *)rules,
                      &sources[1], &errors) == CB_OK)
    check_config ((Cb__Inventory *)inventory, (Cb__Rules *)rules);
  cb_errors_clear (&errors);
  cb_msg_free (inventory);
  cb_msg_free (rules);
  cb_source_clear (&sources[0]);
  cb_source_clear (&sources[1]);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  cb_source_t source;
  ProtobufCMessage *message;

  if (size == 0)
    return 0;
  if (data[0] == 'b')
    {
      read_both ((const char *)data + 1, size - 1);
      return 0;
    }
  message = read_one (data[0] == 's'   ? &cb__settings__descriptor
                      : data[0] == 'r' ? &cb__rules__descriptor
                                       : &cb__inventory__descriptor,
                      (const char *)data + 1, size - 1, &source);
  cb_msg_free (message);
  cb_source_clear (&source);
  return 0;
}
