#include "ini.h"

#include <gio/gio.h>
#include <stdarg.h>
#include <string.h>

struct _QgIniLines
{
  GHashTable *numbers; /* "section" or "section\nkey" -> line number */
};

typedef struct
{
  QgIniLines *lines;
  QgProblems *problems;
  char *section;
  guint line;
} Scanner;

static void scan_line (Scanner *scanner, const char *text, gsize len);
static void scan_section (Scanner *scanner, const char *text, gsize len);
static void scan_key (Scanner *scanner, const char *text, gsize len);
static gboolean record_line (Scanner *scanner, char *path);

void
qg_problems_init (QgProblems *problems, const char *file)
{
  problems->file = file;
  problems->lines = g_ptr_array_new_with_free_func (g_free);
  problems->omitted = 0;
}

void
qg_problems_clear (QgProblems *problems)
{
  g_clear_pointer (&problems->lines, g_ptr_array_unref);
  problems->omitted = 0;
}

guint
qg_problems_count (const QgProblems *problems)
{
  return problems->lines->len + problems->omitted;
}

void
qg_problems_add (QgProblems *problems, guint line, const char *section,
                 const char *key, const char *format, ...)
{
  GString *out;
  va_list args;

  if (problems->lines->len >= QG_INI_MAX_PROBLEMS)
    {
      problems->omitted++;
      return;
    }
  out = g_string_new (NULL);
  if (problems->file != NULL)
    g_string_append_printf (out, "%s:", problems->file);
  if (line > 0)
    g_string_append_printf (out, "%u:", line);
  if (out->len > 0)
    g_string_append_c (out, ' ');
  if (section != NULL)
    g_string_append_printf (out, "[%s] ", section);
  if (key != NULL)
    g_string_append_printf (out, "%s: ", key);
  va_start (args, format);
  g_string_append_vprintf (out, format, args);
  va_end (args);
  g_ptr_array_add (problems->lines, g_string_free (out, FALSE));
}

char *
qg_problems_text (const QgProblems *problems)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < problems->lines->len; i++)
    {
      g_string_append (out, g_ptr_array_index (problems->lines, i));
      g_string_append_c (out, '\n');
    }
  if (problems->omitted > 0)
    g_string_append_printf (out, "and %u more problems\n", problems->omitted);
  return g_string_free (out, FALSE);
}

QgIniLines *
qg_ini_scan (const char *text, gsize len, guint first, QgProblems *problems)
{
  QgIniLines *lines = g_new0 (QgIniLines, 1);
  Scanner scanner = { lines, problems, NULL, first - 1 };
  gsize at = 0;

  lines->numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!g_utf8_validate_len (text, len, NULL))
    {
      qg_problems_add (problems, 0, NULL, NULL,
                       "the text is not UTF-8; save it as UTF-8");
      return lines;
    }
  while (at < len)
    {
      const char *end = memchr (text + at, '\n', len - at);
      gsize n = end != NULL ? (gsize)(end - (text + at)) : len - at;

      scanner.line++;
      scan_line (&scanner, text + at, n);
      at += n + 1;
    }
  g_free (scanner.section);
  return lines;
}

void
qg_ini_lines_free (QgIniLines *lines)
{
  if (lines == NULL)
    return;
  g_hash_table_unref (lines->numbers);
  g_free (lines);
}

guint
qg_ini_line (const QgIniLines *lines, const char *section, const char *key)
{
  char *path = key != NULL ? g_strconcat (section, "\n", key, NULL)
                           : g_strdup (section);
  guint line = GPOINTER_TO_UINT (g_hash_table_lookup (lines->numbers, path));

  g_free (path);
  return line;
}

gboolean
qg_ini_is_name (const char *text)
{
  gsize len = strlen (text);

  if (len == 0 || len > QG_INI_MAX_NAME_BYTES || !g_ascii_isalnum (text[0]))
    return FALSE;
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("._-", text[i]) == NULL)
      return FALSE;
  return TRUE;
}

gboolean
qg_ini_is_address (const char *text)
{
  GSocketAddress *address;
  const char *colon = strrchr (text, ':');
  char *host;
  guint64 port = 0;

  if (colon == NULL || !qg_ini_read_uint (colon + 1, &port)
      || port > G_MAXUINT16)
    return FALSE;
  host = g_strndup (text, (gsize)(colon - text));
  if (host[0] == '[' && strlen (host) > 2 && g_str_has_suffix (host, "]"))
    {
      memmove (host, host + 1, strlen (host));
      host[strlen (host) - 1] = '\0';
    }
  address = g_inet_socket_address_new_from_string (host, (guint)port);
  g_free (host);
  if (address == NULL)
    return FALSE;
  g_object_unref (address);
  return TRUE;
}

gboolean
qg_ini_read_uint (const char *text, guint64 *value)
{
  return g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, value, NULL);
}

gboolean
qg_ini_read_bool (const char *text, gboolean *value)
{
  if (g_str_equal (text, "yes") || g_str_equal (text, "true"))
    *value = TRUE;
  else if (g_str_equal (text, "no") || g_str_equal (text, "false"))
    *value = FALSE;
  else
    return FALSE;
  return TRUE;
}

gboolean
qg_ini_read_sha256 (const char *text, guint8 bytes[QG_SHA256_BYTES])
{
  if (strlen (text) != 2 * (gsize)QG_SHA256_BYTES)
    return FALSE;
  for (int i = 0; i < QG_SHA256_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return FALSE;
      bytes[i] = (guint8)(high * 16 + low);
    }
  return TRUE;
}

char **
qg_ini_split (const char *text)
{
  char **items = g_strsplit (text, ";", -1);
  guint n_items = 0;

  for (guint i = 0; items[i] != NULL; i++)
    {
      char *item = g_strstrip (items[i]);

      if (item[0] == '\0')
        g_free (items[i]);
      else
        items[n_items++] = items[i];
    }
  items[n_items] = NULL;
  for (guint i = 0; i < n_items; i++)
    g_strstrip (items[i]);
  return items;
}

static void
scan_line (Scanner *scanner, const char *text, gsize len)
{
  while (len > 0 && g_ascii_isspace (text[len - 1]))
    len--;
  while (len > 0 && g_ascii_isspace (text[0]))
    {
      text++;
      len--;
    }
  if (len == 0 || text[0] == '#')
    return;
  if (text[0] == '[')
    scan_section (scanner, text, len);
  else
    scan_key (scanner, text, len);
}

static void
scan_section (Scanner *scanner, const char *text, gsize len)
{
  if (text[len - 1] != ']' || len < 3)
    {
      qg_problems_add (scanner->problems, scanner->line, NULL, NULL,
                       "\"%.*s\" is no section; write [name]",
                       (int)MIN (len, QG_INI_MAX_NAME_BYTES), text);
      return;
    }
  g_free (scanner->section);
  scanner->section = g_strndup (text + 1, len - 2);
  if (!record_line (scanner, g_strdup (scanner->section)))
    qg_problems_add (scanner->problems, scanner->line, scanner->section, NULL,
                     "the section stands twice; keep one");
}

static void
scan_key (Scanner *scanner, const char *text, gsize len)
{
  const char *equals = memchr (text, '=', len);
  gsize key_len = equals != NULL ? (gsize)(equals - text) : 0;
  char *key;

  while (key_len > 0 && g_ascii_isspace (text[key_len - 1]))
    key_len--;
  if (key_len == 0)
    {
      qg_problems_add (scanner->problems, scanner->line, scanner->section, NULL,
                       "\"%.*s\" is no setting; write key=value",
                       (int)MIN (len, QG_INI_MAX_NAME_BYTES), text);
      return;
    }
  key = g_strndup (text, key_len);
  if (scanner->section == NULL)
    qg_problems_add (scanner->problems, scanner->line, NULL, key,
                     "stands before the first [section]; move it into one");
  else if (!record_line (scanner,
                         g_strconcat (scanner->section, "\n", key, NULL)))
    qg_problems_add (scanner->problems, scanner->line, scanner->section, key,
                     "the key stands twice; keep one");
  g_free (key);
}

/* Stores the current line number under path and takes ownership of path.
 * Returns FALSE if path was already stored. */
static gboolean
record_line (Scanner *scanner, char *path)
{
  return g_hash_table_insert (scanner->lines->numbers, path,
                              GUINT_TO_POINTER (scanner->line));
}
