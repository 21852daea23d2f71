/* Applies configuration changes from the log to the ledger. */
#include "ledger/local.h"

/* Applies CHANGE; the offset of its batch becomes the version of the new configuration.
   Returns CB_LEDGER_CONFLICT when the change is not based on the current version and
   CB_LEDGER_INVALID when its result is not a valid configuration; the ledger is then
   unchanged. */
int
cb_ledger_apply_config (cb_ledger_t *ledger, uint64_t offset,
                        const Cb__ConfigChange *change)
{
  uint64_t current = ledger->config == NULL ? 0 : ledger->config->version;
  Cb__Config *made = NULL;

  /* Two changes in one batch have the same offset and would get the same version, so
     only the first of them is accepted. */
  if (change->base_version != current || offset == current)
    return CB_LEDGER_CONFLICT;
  if (cb_config_apply (ledger->config, change, offset, &made) < 0 || made == NULL)
    return CB_LEDGER_INVALID;
  made->version = offset;
  cb_msg_free (ledger->config);
  ledger->config = made;
  return CB_OK;
}
