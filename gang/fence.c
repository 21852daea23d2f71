/* Fencing: refuses commands of replaced schedulers by their epoch. */
#include "gang/local.h"

#include <string.h>

/* Returns TRUE when the command in ENVELOPE may be carried out. A larger epoch is
   adopted together with its sender; a smaller one, or 0, is answered with epoch_reject.
   A command for another cell is dropped. */
gboolean
cb_gang_check_epoch (cb_gang_t *gang, const Cb__Envelope *envelope)
{
  Cb__Envelope *reject;

  if (envelope->cell[0] != '\0' && strcmp (envelope->cell, gang->cell) != 0)
    {
      cb_outq_count (&gang->out, "gang_refused", "reason=\"other_cell\"");
      return FALSE;
    }
  if (envelope->epoch == 0 || envelope->epoch < gang->epoch)
    {
      reject =
          cb_outq_send (&gang->out, envelope->from, CB__ENVELOPE__BODY_EPOCH_REJECT);
      reject->epoch_reject->newest_epoch = gang->epoch;
      cb_outq_count (&gang->out, "gang_refused", "reason=\"stale_epoch\"");
      cb_outq_event (&gang->out, "epoch_reject",
                     "\"epoch\":%" G_GUINT64_FORMAT ",\"newest\":%" G_GUINT64_FORMAT,
                     envelope->epoch, gang->epoch);
      return FALSE;
    }
  if (envelope->epoch > gang->epoch)
    {
      gang->epoch = envelope->epoch;
      g_free (gang->scheduler);
      gang->scheduler = g_strdup (envelope->from);
    }
  return TRUE;
}
