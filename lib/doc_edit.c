#include "libdoc.h"

#include <string.h>

static gboolean is_key_line (const char *line, const char *key);

QgStr *
qg_doc_text_set (const char *text, const char *key, const char *value)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  GString *out = g_string_new (NULL);
  gboolean replaced = FALSE;
  QgStr *result;

  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (i > 0)
        g_string_append_c (out, '\n');
      if (!replaced && is_key_line (lines[i], key))
        {
          g_string_append_printf (out, "%s=%s", key, value);
          replaced = TRUE;
        }
      else
        g_string_append (out, lines[i]);
    }
  if (!replaced)
    g_string_append_printf (out, "\n%s=%s", key, value);
  result = qg_str_new_len (out->str, out->len);
  g_string_free (out, TRUE);
  return result;
}

static gboolean
is_key_line (const char *line, const char *key)
{
  gsize len = strlen (key);

  while (g_ascii_isspace (*line))
    line++;
  if (strncmp (line, key, len) != 0)
    return FALSE;
  line += len;
  while (g_ascii_isspace (*line))
    line++;
  return *line == '=';
}
