#include "libdoc.h"

#include <string.h>

static void append_section (const QgDocSection *section, gpointer user);
static void append_lines_not_in (GString *out, char sign, const char *text,
                                 const char *other);
static gboolean has_line (char **lines, const char *line);

char *
qg_doc_format (const QgDoc *doc, gsize *len)
{
  GString *out = g_string_new (NULL);

  for (int kind = 0; kind < QG_N_DOC_KINDS; kind++)
    qg_doc_foreach (doc, (QgDocKind)kind, append_section, out);
  if (len != NULL)
    *len = out->len;
  return g_string_free (out, FALSE);
}

char *
qg_delta_format (const QgDoc *doc, const QgDelta *delta)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < delta->items->len; i++)
    {
      const QgDeltaItem *item = &g_array_index (delta->items, QgDeltaItem, i);
      const QgDocSection *old = qg_doc_section (doc, item->id);
      const char *before = old != NULL ? old->text : "";
      const char *after = item->text != NULL ? item->text : "";

      g_string_append_printf (out, "@ [%s] %s\n", item->id,
                              item->text == NULL ? "removed"
                              : old == NULL      ? "added"
                                                 : "changed");
      append_lines_not_in (out, '-', before, after);
      append_lines_not_in (out, '+', after, before);
    }
  return g_string_free (out, FALSE);
}

static void
append_section (const QgDocSection *section, gpointer user)
{
  GString *out = user;

  if (out->len > 0)
    g_string_append_c (out, '\n');
  g_string_append_len (out, section->text, (gssize)qg_str_len (section->text));
  g_string_append_c (out, '\n');
}

static void
append_lines_not_in (GString *out, char sign, const char *text,
                     const char *other)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_auto (GStrv) others = g_strsplit (other, "\n", -1);

  for (guint i = 0; lines[i] != NULL; i++)
    if (!has_line (others, lines[i]))
      g_string_append_printf (out, "%c %s\n", sign, lines[i]);
}

static gboolean
has_line (char **lines, const char *line)
{
  for (guint i = 0; lines[i] != NULL; i++)
    if (g_str_equal (lines[i], line))
      return TRUE;
  return FALSE;
}
