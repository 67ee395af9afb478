#include "ini_table.h"

#include <string.h>

typedef gboolean (*ReadValue) (const QgKeyRow *row, const char *text,
                               gpointer field);

static gboolean read_name (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_text (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_address (const QgKeyRow *row, const char *text,
                              gpointer field);
static gboolean read_uint (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_real (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_bool (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_enum (const QgKeyRow *row, const char *text,
                           gpointer field);
static gboolean read_flags (const QgKeyRow *row, const char *text,
                            gpointer field);
static gboolean read_sha256 (const QgKeyRow *row, const char *text,
                             gpointer field);
static gboolean read_sha256_list (const QgKeyRow *row, const char *text,
                                  gpointer field);
static gboolean read_name_list (const QgKeyRow *row, const char *text,
                                gpointer field);
static gboolean read_member_list (const QgKeyRow *row, const char *text,
                                  gpointer field);
static gboolean read_items (const char *text, gpointer field,
                            gboolean (*is_valid) (const char *item));
static gboolean is_member (const char *item);
static int compare_items (const void *a, const void *b);
static void clear_text (gpointer field);
static void clear_names (gpointer field);
static void clear_hashes (gpointer field);
static void read_key (const QgGroupRow *group, const QgKeyRow *row,
                      const QgGroupSource *source, gpointer record);
static void report_unknown_keys (const QgGroupRow *group,
                                 const QgGroupSource *source);
static guint line_number (const QgGroupSource *source, const char *key);
static char *describe_value (const QgKeyRow *row);

typedef struct
{
  ReadValue read;
  void (*clear) (gpointer field); /* NULL: the value owns no memory */
  const char *syntax;             /* allowed values, for messages */
} ValueType;

static const ValueType value_types[QG_N_VALUES] = {
  [QG_VALUE_NAME]
  = { read_name, clear_text, "a name of letters, digits, '.', '_' and '-'" },
  [QG_VALUE_TEXT] = { read_text, clear_text, "a text" },
  [QG_VALUE_ADDRESS] = { read_address, clear_text, "an address ip:port" },
  [QG_VALUE_UINT] = { read_uint, NULL, "a number" },
  [QG_VALUE_REAL] = { read_real, NULL, "a number such as 0.2" },
  [QG_VALUE_BOOL] = { read_bool, NULL, "yes or no" },
  [QG_VALUE_ENUM] = { read_enum, NULL, "one of" },
  [QG_VALUE_FLAGS] = { read_flags, NULL, "a list a;b of" },
  [QG_VALUE_SHA256] = { read_sha256, NULL, "64 hexadecimal digits" },
  [QG_VALUE_SHA256_LIST] = { read_sha256_list, clear_hashes,
                             "a list a;b of 64 hexadecimal digits each" },
  [QG_VALUE_NAME_LIST] = { read_name_list, clear_names, "a list of names a;b" },
  [QG_VALUE_MEMBER_LIST]
  = { read_member_list, clear_names, "a list name@ip:port;name@ip:port" },
};

const QgGroupRow *
qg_group_find (const QgGroupRow *groups, guint n, const char *section,
               const char **name)
{
  const char *space = strchr (section, ' ');
  gsize len = space != NULL ? (gsize)(space - section) : strlen (section);

  *name = space != NULL ? space + 1 : NULL;
  for (guint i = 0; i < n; i++)
    if (groups[i].named == (space != NULL) && strlen (groups[i].kind) == len
        && strncmp (groups[i].kind, section, len) == 0)
      return &groups[i];
  return NULL;
}

void
qg_group_read (const QgGroupRow *group, const QgGroupSource *source,
               gpointer record)
{
  if (source->section != NULL)
    report_unknown_keys (group, source);
  for (guint i = 0; i < group->n_keys; i++)
    read_key (group, &group->keys[i], source, record);
}

void
qg_group_clear (const QgGroupRow *group, gpointer record)
{
  for (guint i = 0; i < group->n_keys; i++)
    {
      const QgKeyRow *row = &group->keys[i];

      if (value_types[row->type].clear != NULL)
        value_types[row->type].clear (G_STRUCT_MEMBER_P (record, row->offset));
    }
}

void
qg_group_manual (const QgGroupRow *group, GString *out)
{
  g_string_append_printf (out, ".Ss \\&[%s%s]\n%s\n.Bl -tag -width Ds\n",
                          group->kind, group->named ? " NAME" : "",
                          group->help);
  for (guint i = 0; i < group->n_keys; i++)
    {
      const QgKeyRow *row = &group->keys[i];
      g_autofree char *syntax = describe_value (row);

      g_string_append_printf (out, ".It Ic %s\n%s\nTakes %s", row->key,
                              row->help, syntax);
      if (row->fallback == NULL)
        g_string_append (out, "; must be given.\n");
      else if (row->fallback[0] == '\0')
        g_string_append (out, "; empty by default.\n");
      else
        g_string_append_printf (out, "; default\n.Ql %s .\n", row->fallback);
    }
  g_string_append (out, ".El\n");
}

static void
read_key (const QgGroupRow *group, const QgKeyRow *row,
          const QgGroupSource *source, gpointer record)
{
  const char *section = source->section != NULL ? source->section : group->kind;
  g_autofree char *given = NULL;
  g_autofree char *syntax = NULL;
  const char *text;

  if (source->section != NULL)
    given
        = g_key_file_get_value (source->file, source->section, row->key, NULL);
  text = given != NULL ? g_strchomp (given) : row->fallback;
  if (text != NULL
      && value_types[row->type].read (row, text,
                                      G_STRUCT_MEMBER_P (record, row->offset)))
    return;
  syntax = describe_value (row);
  if (text == NULL)
    qg_problems_add (source->problems, line_number (source, NULL), section,
                     row->key, "is missing; give %s", syntax);
  else
    qg_problems_add (source->problems, line_number (source, row->key), section,
                     row->key, "\"%s\" is not allowed; give %s", text, syntax);
}

static void
report_unknown_keys (const QgGroupRow *group, const QgGroupSource *source)
{
  g_auto (GStrv) keys
      = g_key_file_get_keys (source->file, source->section, NULL, NULL);

  for (guint k = 0; keys != NULL && keys[k] != NULL; k++)
    {
      GString *known;
      guint i = 0;

      while (i < group->n_keys && !g_str_equal (group->keys[i].key, keys[k]))
        i++;
      if (i < group->n_keys)
        continue;
      known = g_string_new (NULL);
      for (i = 0; i < group->n_keys; i++)
        g_string_append_printf (known, " %s", group->keys[i].key);
      qg_problems_add (source->problems, line_number (source, keys[k]),
                       source->section, keys[k],
                       "unknown key; the group has:%s", known->str);
      g_string_free (known, TRUE);
    }
}

static guint
line_number (const QgGroupSource *source, const char *key)
{
  if (source->section == NULL || source->lines == NULL)
    return 0;
  return qg_ini_line (source->lines, source->section, key);
}

static char *
describe_value (const QgKeyRow *row)
{
  const char *syntax = value_types[row->type].syntax;
  g_autofree char *words = NULL;

  if (row->words != NULL)
    {
      words = g_strjoinv (", ", (char **)row->words);
      return g_strconcat (syntax, " ", words, NULL);
    }
  if (row->type == QG_VALUE_UINT)
    return g_strdup_printf ("%s from %" G_GUINT64_FORMAT
                            " to %" G_GUINT64_FORMAT,
                            syntax, row->min, row->max);
  return g_strdup (syntax);
}

static gboolean
read_name (const QgKeyRow *row, const char *text, gpointer field)
{
  return read_text (row, text, field) && qg_ini_is_name (text);
}

static gboolean
read_text (const QgKeyRow *row, const char *text, gpointer field)
{
  QgStr **out = field;

  *out = qg_str_new (text);
  return row->fallback != NULL || text[0] != '\0';
}

static gboolean
read_address (const QgKeyRow *row, const char *text, gpointer field)
{
  return read_text (row, text, field)
         && (text[0] == '\0' || qg_ini_is_address (text));
}

static gboolean
read_uint (const QgKeyRow *row, const char *text, gpointer field)
{
  guint64 *out = field;

  return qg_ini_read_uint (text, out) && *out >= row->min && *out <= row->max;
}

static gboolean
read_real (const QgKeyRow *row, const char *text, gpointer field)
{
  double *out = field;
  char *end;

  *out = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && *out >= 0;
}

static gboolean
read_bool (const QgKeyRow *row, const char *text, gpointer field)
{
  return qg_ini_read_bool (text, field);
}

static gboolean
read_enum (const QgKeyRow *row, const char *text, gpointer field)
{
  guint64 *out = field;

  for (guint i = 0; row->words[i] != NULL; i++)
    if (g_str_equal (row->words[i], text))
      {
        *out = i;
        return TRUE;
      }
  return FALSE;
}

static gboolean
read_flags (const QgKeyRow *row, const char *text, gpointer field)
{
  g_auto (GStrv) items = qg_ini_split (text);
  guint64 *out = field;

  *out = 0;
  for (guint i = 0; items[i] != NULL; i++)
    {
      guint64 index = 0;

      if (!read_enum (row, items[i], &index))
        return FALSE;
      *out |= G_GUINT64_CONSTANT (1) << index;
    }
  return *out != 0 || row->fallback != NULL;
}

static gboolean
read_sha256 (const QgKeyRow *row, const char *text, gpointer field)
{
  return qg_ini_read_sha256 (text, field);
}

static gboolean
read_sha256_list (const QgKeyRow *row, const char *text, gpointer field)
{
  g_auto (GStrv) items = qg_ini_split (text);
  QgHashes *out = field;

  out->n = g_strv_length (items);
  out->bytes = g_new0 (guint8, (gsize)out->n * QG_SHA256_BYTES);
  for (guint i = 0; i < out->n; i++)
    if (!qg_ini_read_sha256 (items[i], out->bytes + (gsize)i * QG_SHA256_BYTES))
      return FALSE;
  return out->n > 0 || row->fallback != NULL;
}

static gboolean
read_name_list (const QgKeyRow *row, const char *text, gpointer field)
{
  QgNames *out = field;
  guint n_unique = 0;

  if (!read_items (text, out, qg_ini_is_name))
    return FALSE;
  if (out->n > 1)
    qsort (out->items, out->n, sizeof *out->items, compare_items);
  for (guint i = 0; i < out->n; i++)
    if (n_unique > 0 && g_str_equal (out->items[n_unique - 1], out->items[i]))
      qg_str_unref (out->items[i]);
    else
      out->items[n_unique++] = out->items[i];
  out->n = n_unique;
  return out->n > 0 || row->fallback != NULL;
}

static gboolean
read_member_list (const QgKeyRow *row, const char *text, gpointer field)
{
  return read_items (text, field, is_member);
}

static gboolean
read_items (const char *text, gpointer field,
            gboolean (*is_valid) (const char *item))
{
  g_auto (GStrv) items = qg_ini_split (text);
  QgNames *out = field;
  gboolean valid = TRUE;

  out->items = g_new0 (QgStr *, g_strv_length (items));
  for (guint i = 0; items[i] != NULL; i++)
    {
      out->items[out->n++] = qg_str_new (items[i]);
      valid = valid && is_valid (items[i]);
    }
  return valid;
}

static gboolean
is_member (const char *item)
{
  const char *at = strchr (item, '@');
  g_autofree char *name = NULL;

  if (at == NULL)
    return FALSE;
  name = g_strndup (item, (gsize)(at - item));
  return qg_ini_is_name (name) && qg_ini_is_address (at + 1);
}

static int
compare_items (const void *a, const void *b)
{
  const char *const *left = a;
  const char *const *right = b;

  return strcmp (*left, *right);
}

static void
clear_text (gpointer field)
{
  QgStr **text = field;

  g_clear_pointer (text, g_ref_string_release);
}

static void
clear_names (gpointer field)
{
  QgNames *names = field;

  for (guint i = 0; i < names->n; i++)
    qg_str_unref (names->items[i]);
  g_clear_pointer (&names->items, g_free);
  names->n = 0;
}

static void
clear_hashes (gpointer field)
{
  QgHashes *hashes = field;

  g_clear_pointer (&hashes->bytes, g_free);
  hashes->n = 0;
}
