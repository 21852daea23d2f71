/* The command `carobrun check`, and the checks of files that other commands use too. */
#include "cmd/fns.h"
#include "fleet/fns.h"

#include <stdio.h>

/* Reads and checks the inventory and the rules. Sets CONFIG to the result with version
   0, freed with cb_msg_free, or to NULL after an error. Errors are printed on stderr.
   Returns an exit status. */
int
cb_cmd_read_config (const char *inventory_path, const char *rules_path,
                    Cb__Config **config)
{
  cb_errors_t errors;
  cb_source_t sources[2];
  ProtobufCMessage *inventory;
  ProtobufCMessage *rules;
  char *text;

  *config = NULL;
  cb_errors_init (&errors);
  cb_source_init (&sources[0], inventory_path);
  cb_source_init (&sources[1], rules_path);
  cb_yaml_read_file (&cb__inventory__descriptor, inventory_path, &sources[0], &errors,
                     &inventory);
  cb_yaml_read_file (&cb__rules__descriptor, rules_path, &sources[1], &errors, &rules);
  if (inventory != NULL && rules != NULL &&
      cb_fleet_check ((Cb__Inventory *)inventory, &sources[0], (Cb__Rules *)rules,
                      &sources[1], &errors) == CB_OK)
    {
      *config = cb_msg_new (&cb__config__descriptor);
      (*config)->inventory = (Cb__Inventory *)inventory;
      (*config)->rules = (Cb__Rules *)rules;
    }
  else
    {
      cb_msg_free (inventory);
      cb_msg_free (rules);
    }
  text = cb_errors_text (&errors);
  fputs (text, stderr);
  g_free (text);
  cb_source_clear (&sources[0]);
  cb_source_clear (&sources[1]);
  cb_errors_clear (&errors);
  return *config == NULL ? CB_EXIT_FAILED : CB_EXIT_DONE;
}

/* Snapshots are written at half the log's retention, and a failed one is repeated after
   5 s. With a shorter retention, the previous snapshot could expire first. */
#define MIN_RETENTION_MS 10000

/* Returns a message (static text) for a setting that is out of range, else NULL. */
const char *
cb_settings_range_error (const Cb__Settings *settings)
{
  const Cb__LogSettings *log = settings->log;

  if (log != NULL && log->retention_ms > 0 && log->retention_ms < MIN_RETENTION_MS)
    return "log.retention_ms is below 10000";
  return NULL;
}

static int
check_settings (const char *path)
{
  cb_errors_t errors;
  cb_source_t source;
  ProtobufCMessage *settings;
  const char *fault = NULL;
  char *text;
  int err;

  cb_errors_init (&errors);
  cb_source_init (&source, path);
  err =
      cb_yaml_read_file (&cb__settings__descriptor, path, &source, &errors, &settings);
  text = cb_errors_text (&errors);
  fputs (text, stderr);
  g_free (text);
  if (err == CB_OK)
    fault = cb_settings_range_error ((Cb__Settings *)settings);
  if (fault != NULL)
    fprintf (stderr, "%s: %s\n", path, fault);
  cb_msg_free (settings);
  cb_source_clear (&source);
  cb_errors_clear (&errors);
  return err < 0 || fault != NULL ? CB_EXIT_FAILED : CB_EXIT_DONE;
}

static void
print_summary (const Cb__Config *config)
{
  const Cb__Inventory *inventory = config->inventory;
  size_t instances = 0;
  size_t guarantees = 0;
  uint64_t accelerators = 0;

  for (size_t i = 0; i < inventory->n_racks; i++)
    for (size_t k = 0; k < inventory->racks[i]->n_instances; k++, instances++)
      accelerators += inventory->racks[i]->instances[k]->accelerators;
  for (size_t i = 0; i < config->rules->n_accounts; i++)
    guarantees += config->rules->accounts[i]->n_guarantees;
  printf ("inventory: %zu availability zones, %zu racks, %zu instances, "
          "%" G_GUINT64_FORMAT " accelerators, %zu client accounts\n",
          inventory->n_availability_zones, inventory->n_racks, instances, accelerators,
          inventory->n_client_accounts);
  printf ("rules: %zu accounts, %zu guarantees, %zu kinds\n", config->rules->n_accounts,
          guarantees, config->rules->n_kinds);
}

typedef struct
{
  const char *settings;
  char *files[2];
  unsigned count;
} check_options_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  check_options_t *args = state->input;

  switch (key)
    {
    case 's':
      args->settings = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (args->count >= G_N_ELEMENTS (args->files))
        argp_error (state, "too many arguments");
      else
        args->files[args->count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (args->count != 2 && (args->count != 0 || args->settings == NULL))
        argp_error (state, "INVENTORY and RULES are needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Checks the operators' files without contacting an entry. */
int
cb_cmd_check (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "check a settings file too, or only it", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .args_doc = "[INVENTORY RULES]",
                                    .doc = "Check inventory, rules and settings." };
  check_options_t args = { 0 };
  Cb__Config *config;
  int status = CB_EXIT_DONE;

  if (argp_parse (&argp, argc, argv, 0, NULL, &args) != 0)
    return CB_EXIT_USAGE;
  if (args.settings != NULL)
    status = check_settings (args.settings);
  if (args.count == 0)
    return status;
  if (cb_cmd_read_config (args.files[0], args.files[1], &config) != CB_EXIT_DONE)
    return CB_EXIT_FAILED;
  print_summary (config);
  cb_msg_free (config);
  return status;
}
