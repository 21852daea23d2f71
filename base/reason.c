/* Texts of enumeration values in replies, logs and metric labels. */
#include "base/fns.h"

/* Size of the longest name of an enumeration value, with the final zero. */
#define ENUM_TEXT_BYTES 40

/* Returns the lower-case name of VALUE, for example "queue_full"; "unknown" when TYPE
   has no such value. The text is interned and never freed. */
const char *
cb_enum_text (const ProtobufCEnumDescriptor *type, int value)
{
  const ProtobufCEnumValue *found = protobuf_c_enum_descriptor_get_value (type, value);
  char text[ENUM_TEXT_BYTES];
  size_t i;

  if (found == NULL)
    return "unknown";
  for (i = 0; found->name[i] != '\0' && i < ENUM_TEXT_BYTES - 1; i++)
    text[i] = g_ascii_tolower (found->name[i]);
  text[i] = '\0';
  return g_intern_string (text);
}

const char *
cb_reason_text (Cb__Reason reason)
{
  return cb_enum_text (&cb__reason__descriptor, (int)reason);
}

/* Returns "unknown", "no" or "yes". */
const char *
cb_ran_text (Cb__Ran ran)
{
  return cb_enum_text (&cb__ran__descriptor, (int)ran) + sizeof "ran_" - 1;
}

/* Returns "queued", "starting", "running", "done", "failed", "canceled" or "unknown".
 */
const char *
cb_job_state_text (Cb__JobState state)
{
  return cb_enum_text (&cb__job_state__descriptor, (int)state) + sizeof "job_" - 1;
}

/* Creates refused_total and retried_total with the value 0 for every reason except
   REASON_NONE, so that monitoring can compute a rate from the first event on. */
void
cb_reason_register_counters (cb_counters_t *counters)
{
  for (unsigned i = 0; i < cb__reason__descriptor.n_values; i++)
    {
      Cb__Reason reason = (Cb__Reason)cb__reason__descriptor.values[i].value;
      char *label;

      if (reason == CB__REASON__REASON_NONE)
        continue;
      label = g_strdup_printf ("reason=\"%s\"", cb_reason_text (reason));
      cb_counters_add (counters, "refused_total", label, 0);
      cb_counters_add (counters, "retried_total", label, 0);
      g_free (label);
    }
}
