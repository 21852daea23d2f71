/* The reader of event traces, and the checks of `carobrun verify` on what it read. */
#include "fuzz/lib/fuzz.h"

#include "verify/fns.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup ((const char *)data, size);
  char **lines = g_strsplit (text, "\n", -1);
  cb_verify_events_t *events = cb_verify_events_new ();
  cb_verify_bounds_t bounds;
  cb_verify_result_t *result;

  for (uint32_t i = 0; lines[i] != NULL; i++)
    {
      guint before = events->events->len;
      int err = cb_verify_events_add (events, "input", i + 1, lines[i]);

      FUZZ_CHECK (events->events->len == before + (err == CB_OK));
    }
  cb_verify_events_sort (events);
  for (guint i = 1; i < events->events->len; i++)
    FUZZ_CHECK (((cb_verify_event_t *)events->events->pdata[i - 1])->t_ms <=
                ((cb_verify_event_t *)events->events->pdata[i])->t_ms);
  cb_verify_default_bounds (&bounds);
  result = cb_verify (events, &bounds);
  cb_verify_result_free (result);
  cb_verify_events_free (events);
  g_strfreev (lines);
  g_free (text);
  return 0;
}
