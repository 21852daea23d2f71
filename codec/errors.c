#include "codec/fns.h"

#include <stdarg.h>

/* Further errors are dropped, so that a hostile document cannot exhaust the memory with
   messages. */
#define MAX_ERRORS 1000

/* Initializes ERRORS as an empty list. Its content is freed with cb_errors_clear. */
void
cb_errors_init (cb_errors_t *errors)
{
  errors->lines = g_ptr_array_new_with_free_func (g_free);
}

/* Frees the content; ERRORS must be initialized again before it is used. */
void
cb_errors_clear (cb_errors_t *errors)
{
  g_ptr_array_unref (errors->lines);
  errors->lines = NULL;
}

/* Adds one error. LINE 0 (unknown) and a NULL or empty FIELD are omitted from the text;
   a NULL FILE becomes "-". */
void
cb_errors_add (cb_errors_t *errors, const char *file, int line, const char *field,
               const char *fmt, ...)
{
  GString *text;
  va_list args;

  if (errors->lines->len == MAX_ERRORS)
    g_ptr_array_add (errors->lines, g_strdup ("more errors are not shown"));
  if (errors->lines->len > MAX_ERRORS)
    return;
  text = g_string_new (file == NULL ? "-" : file);
  if (line > 0)
    g_string_append_printf (text, ":%d", line);
  g_string_append (text, ": ");
  if (field != NULL && *field != '\0')
    g_string_append_printf (text, "%s: ", field);
  va_start (args, fmt);
  g_string_append_vprintf (text, fmt, args);
  va_end (args);
  g_ptr_array_add (errors->lines, g_string_free (text, FALSE));
}

/* Returns all errors, a line each. Freed with g_free. */
char *
cb_errors_text (const cb_errors_t *errors)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < errors->lines->len; i++)
    g_string_append_printf (text, "%s\n", (char *)errors->lines->pdata[i]);
  return g_string_free (text, FALSE);
}

/* Initializes SOURCE as an empty table for the document FILE, whose name is copied. Its
   content is freed with cb_source_clear. */
void
cb_source_init (cb_source_t *source, const char *file)
{
  source->file = g_strdup (file);
  source->line_of = g_hash_table_new (NULL, NULL);
}

/* Frees the content, but not the messages whose addresses are the keys. */
void
cb_source_clear (cb_source_t *source)
{
  g_free (source->file);
  g_hash_table_unref (source->line_of);
  source->file = NULL;
  source->line_of = NULL;
}

/* Returns the line at which MESSAGE begins, 0 when unknown. SOURCE may be NULL. */
int
cb_source_line (const cb_source_t *source, const void *message)
{
  if (source == NULL)
    return 0;
  return GPOINTER_TO_INT (g_hash_table_lookup (source->line_of, message));
}
