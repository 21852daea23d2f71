/* The JSON reader and writer: a message that was read is written and read back as an
   equal one. The first byte selects the message type. */
#include "fuzz/lib/fuzz.h"

#include "codec/fns.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const ProtobufCMessageDescriptor *const types[] = {
    &cb__job__descriptor,      &cb__request__descriptor,       &cb__config__descriptor,
    &cb__record__descriptor,   &cb__answer__descriptor,        &cb__status__descriptor,
    &cb__settings__descriptor, &cb__config_change__descriptor,
  };
  const ProtobufCMessageDescriptor *type;
  ProtobufCMessage *message = NULL, *copy = NULL;
  cb_errors_t errors;
  char *text;
  GBytes *first, *second;

  if (size == 0)
    return 0;
  type = types[data[0] % G_N_ELEMENTS (types)];
  cb_errors_init (&errors);
  if (cb_json_read (type, (const char *)data + 1, size - 1, &errors, &message) < 0)
    {
      FUZZ_CHECK (message == NULL && errors.lines->len > 0);
      cb_errors_clear (&errors);
      return 0;
    }
  text = cb_json_write (message);
  FUZZ_CHECK (text != NULL);
  FUZZ_CHECK (cb_json_read (type, text, strlen (text), &errors, &copy) == CB_OK);
  first = cb_msg_pack (message);
  second = cb_msg_pack (copy);
  FUZZ_CHECK (g_bytes_equal (first, second));
  g_bytes_unref (first);
  g_bytes_unref (second);
  g_free (text);
  cb_msg_free (message);
  cb_msg_free (copy);
  cb_errors_clear (&errors);
  return 0;
}
