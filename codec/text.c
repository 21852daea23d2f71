/* Names of enumeration values in documents: in lower case, without the prefix that all
   values of the type share. */
#include "codec/local.h"

#include <string.h>

/* Returns the length of the prefix that all values share, up to and including its last
   underscore; 0 when there is none or TYPE has only one value. */
size_t
cb_codec_enum_prefix_length (const ProtobufCEnumDescriptor *type)
{
  const char *first = type->values[0].name;
  size_t common = strlen (first);

  if (type->n_values < 2)
    return 0;
  for (unsigned i = 1; i < type->n_values; i++)
    {
      size_t n = 0;

      while (n < common && type->values[i].name[n] == first[n])
        n++;
      common = n;
    }
  while (common > 0 && first[common - 1] != '_')
    common--;
  return common;
}

/* Returns the name of VALUE in documents, or NULL when TYPE has no such value. Freed
   with g_free. */
char *
cb_codec_enum_name (const ProtobufCEnumDescriptor *type, int value)
{
  const ProtobufCEnumValue *found = protobuf_c_enum_descriptor_get_value (type, value);

  return found == NULL
             ? NULL
             : g_ascii_strdown (found->name + cb_codec_enum_prefix_length (type), -1);
}

/* Returns all accepted names, separated by commas. Freed with g_free. */
char *
cb_codec_enum_names (const ProtobufCEnumDescriptor *type)
{
  GString *list = g_string_new (NULL);

  for (unsigned i = 0; i < type->n_values; i++)
    {
      char *text = cb_codec_enum_name (type, type->values[i].value);

      g_string_append_printf (list, "%s%s", i == 0 ? "" : ", ", text);
      g_free (text);
    }
  return g_string_free (list, FALSE);
}

/* Sets VALUE to the value that TEXT names. Returns FALSE, and leaves VALUE as it is,
   when there is none. */
gboolean
cb_codec_enum_parse (const ProtobufCEnumDescriptor *type, const char *text, int *value)
{
  gboolean found = FALSE;

  for (unsigned i = 0; i < type->n_values && !found; i++)
    {
      char *name = cb_codec_enum_name (type, type->values[i].value);

      found = strcmp (name, text) == 0;
      if (found)
        *value = type->values[i].value;
      g_free (name);
    }
  return found;
}
