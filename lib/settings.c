#include "libsettings.h"

#include <string.h>

/* One [group] of the file while it is read into its record. */
typedef struct
{
  QgSettings *settings;
  GKeyFile *file;
  const QgIniLines *lines;
  QgProblems *problems;
  const char *section;
  QgGroup group;
  gpointer record;
} Reader;

typedef gboolean (*ReadValue) (const QgSettingRow *row, const char *text,
                               gpointer field);

static gboolean read_name (const QgSettingRow *row, const char *text,
                           gpointer field);
static gboolean read_text (const QgSettingRow *row, const char *text,
                           gpointer field);
static gboolean read_address (const QgSettingRow *row, const char *text,
                              gpointer field);
static gboolean read_uint (const QgSettingRow *row, const char *text,
                           gpointer field);
static gboolean read_bool (const QgSettingRow *row, const char *text,
                           gpointer field);
static gboolean read_word (const QgSettingRow *row, const char *text,
                           gpointer field);
static gboolean read_words (const QgSettingRow *row, const char *text,
                            gpointer field);
static gboolean read_sha256 (const QgSettingRow *row, const char *text,
                             gpointer field);
static void read_file (Reader *reader);
static gboolean read_section_name (Reader *reader);
static void read_section (Reader *reader);
static void read_key (Reader *reader, const QgSettingRow *row);
static void read_peers (Reader *reader, const char *text);
static void refuse_unknown_keys (Reader *reader);
static void fill_missing_groups (Reader *reader);
static gboolean group_is_needed (const QgSettings *settings, QgGroup group);
static void check_whole (const QgSettings *settings, QgProblems *problems);
static void check_names (const QgSettings *settings, QgProblems *problems);
static gpointer add_agent (QgSettings *settings, const char *name);
static gpointer add_operator (QgSettings *settings, const char *name);
static const char *name_of_section (const char *section);

static const ReadValue readers[] = {
  [QG_VALUE_NAME] = read_name,       [QG_VALUE_TEXT] = read_text,
  [QG_VALUE_ADDRESS] = read_address, [QG_VALUE_UINT] = read_uint,
  [QG_VALUE_BOOL] = read_bool,       [QG_VALUE_WORD] = read_word,
  [QG_VALUE_WORDS] = read_words,     [QG_VALUE_SHA256] = read_sha256,
};

static const char standalone[] = "[daemon]\n"
                                 "name=standalone\n"
                                 "roles=entry;agent;control\n"
                                 "dc=local\n"
                                 "region=local\n"
                                 "admin_listen=127.0.0.1:8082\n"
                                 "[entry]\n"
                                 "listen=127.0.0.1:8080\n"
                                 "[agent model-1]\n"
                                 "service=drape-model\n"
                                 "target=127.0.0.1:9001\n"
                                 "[agent plain-1]\n"
                                 "service=bookings-app\n"
                                 "target=127.0.0.1:9002\n"
                                 "[control]\n"
                                 "operator_listen=127.0.0.1:8081\n"
                                 "data_folder=quetzalgate-data\n"
                                 "bootstrap=yes\n";

QgSettings *
qg_settings_parse (const char *text, gsize len, QgProblems *problems)
{
  QgSettings *settings = g_new0 (QgSettings, 1);
  GKeyFile *file = g_key_file_new ();
  QgIniLines *lines = qg_ini_scan (text, len, problems);
  Reader reader = { settings, file, lines, problems };
  GError *error = NULL;

  settings->refs = 1;
  if (qg_problems_count (problems) == 0
      && !g_key_file_load_from_data (file, text, len, G_KEY_FILE_NONE, &error))
    {
      qg_problems_add (problems, 0, NULL, NULL, "%s; correct the line",
                       error->message);
      g_error_free (error);
    }
  if (qg_problems_count (problems) == 0)
    read_file (&reader);
  qg_ini_lines_free (lines);
  g_key_file_unref (file);
  if (qg_problems_count (problems) == 0)
    return settings;
  qg_settings_unref (settings);
  return NULL;
}

const char *
qg_settings_standalone_text (void)
{
  return standalone;
}

QgSettings *
qg_settings_standalone (void)
{
  QgProblems problems;
  QgSettings *settings;

  qg_problems_init (&problems, "standalone");
  settings = qg_settings_parse (standalone, strlen (standalone), &problems);
  qg_problems_clear (&problems);
  return settings;
}

QgSettings *
qg_settings_ref (QgSettings *settings)
{
  settings->refs++;
  return settings;
}

void
qg_settings_unref (QgSettings *settings)
{
  if (settings == NULL || --settings->refs > 0)
    return;
  for (guint i = 0; i < qg_n_setting_rows; i++)
    {
      const QgSettingRow *row = &qg_setting_rows[i];
      gboolean owned = row->type == QG_VALUE_NAME || row->type == QG_VALUE_TEXT
                       || row->type == QG_VALUE_ADDRESS;

      if (!owned)
        continue;
      if (row->group == QG_GROUP_DAEMON)
        g_free (G_STRUCT_MEMBER (char *, &settings->daemon, row->offset));
      else if (row->group == QG_GROUP_ENTRY)
        g_free (G_STRUCT_MEMBER (char *, &settings->entry, row->offset));
      else if (row->group == QG_GROUP_CONTROL)
        g_free (G_STRUCT_MEMBER (char *, &settings->control, row->offset));
    }
  for (guint i = 0; i < settings->n_agents; i++)
    {
      g_free (settings->agents[i].name);
      g_free (settings->agents[i].service);
      g_free (settings->agents[i].target);
    }
  for (guint i = 0; i < settings->n_peers; i++)
    {
      g_free (settings->peers[i].name);
      g_free (settings->peers[i].address);
    }
  for (guint i = 0; i < settings->n_operators; i++)
    g_free (settings->operators[i].name);
  g_free (settings->agents);
  g_free (settings->peers);
  g_free (settings->operators);
  g_free (settings);
}

const QgSettingsOperator *
qg_settings_operator (const QgSettings *settings,
                      const guint8 sha256[QG_SHA256_BYTES])
{
  const QgSettingsOperator *found = NULL;

  for (guint i = 0; i < settings->n_operators; i++)
    {
      guint8 different = 0;

      for (int b = 0; b < QG_SHA256_BYTES; b++)
        different |= settings->operators[i].key_sha256[b] ^ sha256[b];
      if (different == 0)
        found = &settings->operators[i];
    }
  return found;
}

static void
read_file (Reader *reader)
{
  g_auto (GStrv) sections = g_key_file_get_groups (reader->file, NULL);

  for (guint i = 0; sections[i] != NULL; i++)
    {
      reader->section = sections[i];
      if (read_section_name (reader))
        read_section (reader);
    }
  fill_missing_groups (reader);
  check_whole (reader->settings, reader->problems);
}

/* Finds the group of the section and the record that it fills. */
static gboolean
read_section_name (Reader *reader)
{
  QgSettings *settings = reader->settings;
  const char *name = name_of_section (reader->section);
  guint line = qg_ini_line (reader->lines, reader->section, NULL);
  gsize kind_len = name != NULL ? (gsize)(name - reader->section - 1)
                                : strlen (reader->section);
  int group;

  for (group = 0; group < QG_N_GROUPS; group++)
    if (strlen (qg_setting_groups[group].kind) == kind_len
        && strncmp (qg_setting_groups[group].kind, reader->section, kind_len)
               == 0
        && qg_setting_groups[group].named == (name != NULL))
      break;
  if (group == QG_N_GROUPS)
    {
      qg_problems_add (reader->problems, line, reader->section, NULL,
                       "unknown group; use daemon, entry, agent NAME, "
                       "control, peers or operator NAME");
      return FALSE;
    }
  if (name != NULL && !qg_ini_is_name (name))
    {
      qg_problems_add (reader->problems, line, reader->section, NULL,
                       "\"%s\" is no name; use letters, digits, '.', '_', "
                       "'-', at most %d",
                       name, QG_INI_NAME_BYTES);
      return FALSE;
    }
  reader->group = (QgGroup)group;
  switch (reader->group)
    {
    case QG_GROUP_DAEMON:
      reader->record = &settings->daemon;
      break;
    case QG_GROUP_ENTRY:
      reader->record = &settings->entry;
      break;
    case QG_GROUP_CONTROL:
      reader->record = &settings->control;
      break;
    case QG_GROUP_AGENT:
      reader->record = add_agent (settings, name);
      break;
    case QG_GROUP_OPERATOR:
      reader->record = add_operator (settings, name);
      break;
    default:
      reader->record = NULL;
    }
  return TRUE;
}

static void
read_section (Reader *reader)
{
  refuse_unknown_keys (reader);
  for (guint i = 0; i < qg_n_setting_rows; i++)
    if (qg_setting_rows[i].group == reader->group)
      read_key (reader, &qg_setting_rows[i]);
}

static void
read_key (Reader *reader, const QgSettingRow *row)
{
  g_autofree char *given = reader->section != NULL ? g_key_file_get_value (
                               reader->file, reader->section, row->key, NULL)
                                                   : NULL;
  const char *text = given != NULL ? given : row->fallback;
  const char *section = reader->section != NULL
                            ? reader->section
                            : qg_setting_groups[row->group].kind;
  g_autofree char *range = qg_setting_range (row);
  guint line = given != NULL
                   ? qg_ini_line (reader->lines, reader->section, row->key)
                   : 0;

  if (text == NULL)
    {
      qg_problems_add (reader->problems,
                       reader->section != NULL
                           ? qg_ini_line (reader->lines, section, NULL)
                           : 0,
                       section, row->key, "is missing; give %s", range);
      return;
    }
  if (row->type == QG_VALUE_PEERS)
    read_peers (reader, text);
  else if (!readers[row->type](row, text,
                               G_STRUCT_MEMBER_P (reader->record, row->offset)))
    qg_problems_add (reader->problems, line, section, row->key,
                     "\"%s\" is not allowed; give %s", text, range);
}

static gboolean
read_name (const QgSettingRow *row, const char *text, gpointer field)
{
  char **out = field;

  *out = g_strdup (text);
  return qg_ini_is_name (text);
}

static gboolean
read_text (const QgSettingRow *row, const char *text, gpointer field)
{
  char **out = field;

  *out = g_strdup (text);
  return row->fallback != NULL || text[0] != '\0';
}

static gboolean
read_address (const QgSettingRow *row, const char *text, gpointer field)
{
  char **out = field;

  *out = g_strdup (text);
  if (text[0] == '\0')
    return row->fallback != NULL;
  return qg_ini_is_address (text);
}

static gboolean
read_uint (const QgSettingRow *row, const char *text, gpointer field)
{
  guint64 *out = field;

  return qg_ini_read_uint (text, out) && *out >= row->min && *out <= row->max;
}

static gboolean
read_bool (const QgSettingRow *row, const char *text, gpointer field)
{
  return qg_ini_read_bool (text, field);
}

static gboolean
read_word (const QgSettingRow *row, const char *text, gpointer field)
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
read_words (const QgSettingRow *row, const char *text, gpointer field)
{
  g_auto (GStrv) items = qg_ini_split (text);
  guint64 *out = field;

  *out = 0;
  for (guint i = 0; items[i] != NULL; i++)
    {
      guint64 index = 0;

      if (!read_word (row, items[i], &index))
        return FALSE;
      *out |= G_GUINT64_CONSTANT (1) << index;
    }
  return *out != 0;
}

static gboolean
read_sha256 (const QgSettingRow *row, const char *text, gpointer field)
{
  return qg_ini_read_sha256 (text, field);
}

static void
read_peers (Reader *reader, const char *text)
{
  g_auto (GStrv) items = qg_ini_split (text);
  QgSettings *settings = reader->settings;
  guint n = g_strv_length (items);

  settings->peers = g_new0 (QgSettingsPeer, n + 1);
  for (guint i = 0; i < n; i++)
    {
      QgSettingsPeer *peer = &settings->peers[settings->n_peers++];
      char *at = strchr (items[i], '@');

      if (at != NULL)
        *at = '\0';
      peer->name = g_strdup (items[i]);
      peer->address = g_strdup (at != NULL ? at + 1 : "");
      if (!qg_ini_is_name (peer->name) || !qg_ini_is_address (peer->address))
        qg_problems_add (
            reader->problems, qg_ini_line (reader->lines, "peers", "control"),
            "peers", "control", "\"%s@%s\" is no member; give name@ip:port",
            peer->name, peer->address);
    }
}

static void
refuse_unknown_keys (Reader *reader)
{
  g_auto (GStrv) keys
      = g_key_file_get_keys (reader->file, reader->section, NULL, NULL);

  for (guint k = 0; keys != NULL && keys[k] != NULL; k++)
    {
      GString *known = g_string_new (NULL);
      gboolean found = FALSE;

      for (guint i = 0; i < qg_n_setting_rows; i++)
        if (qg_setting_rows[i].group == reader->group)
          {
            found |= g_str_equal (qg_setting_rows[i].key, keys[k]);
            g_string_append_printf (known, " %s", qg_setting_rows[i].key);
          }
      if (!found)
        qg_problems_add (reader->problems,
                         qg_ini_line (reader->lines, reader->section, keys[k]),
                         reader->section, keys[k],
                         "unknown key; the group has:%s", known->str);
      g_string_free (known, TRUE);
    }
}

/* Groups that are not in the file get their defaults; keys without default
 * are asked for when a role needs the group. */
static void
fill_missing_groups (Reader *reader)
{
  QgSettings *settings = reader->settings;
  gpointer records[QG_N_GROUPS] = {
    [QG_GROUP_DAEMON] = &settings->daemon,
    [QG_GROUP_ENTRY] = &settings->entry,
    [QG_GROUP_CONTROL] = &settings->control,
  };

  reader->section = NULL;
  for (guint i = 0; i < qg_n_setting_rows; i++)
    {
      const QgSettingRow *row = &qg_setting_rows[i];

      if (records[row->group] == NULL
          || g_key_file_has_group (reader->file,
                                   qg_setting_groups[row->group].kind))
        continue;
      reader->record = records[row->group];
      if (row->fallback != NULL || group_is_needed (settings, row->group))
        read_key (reader, row);
    }
}

static gboolean
group_is_needed (const QgSettings *settings, QgGroup group)
{
  if (group == QG_GROUP_ENTRY)
    return (settings->daemon.roles & QG_ROLE_ENTRY) != 0;
  if (group == QG_GROUP_CONTROL)
    return (settings->daemon.roles & QG_ROLE_CONTROL) != 0;
  return group == QG_GROUP_DAEMON;
}

static void
check_whole (const QgSettings *settings, QgProblems *problems)
{
  guint64 roles = settings->daemon.roles;

  if ((roles & QG_ROLE_AGENT) != 0 && settings->n_agents == 0)
    qg_problems_add (problems, 0, "agent", NULL,
                     "the agent role needs a group [agent NAME] for each "
                     "target; add one or drop the role");
  if ((roles & QG_ROLE_CONTROL) == 0 && settings->n_peers == 0)
    qg_problems_add (problems, 0, "peers", "control",
                     "a daemon without the control role needs the control "
                     "members; give name@ip:port;name@ip:port");
  if (settings->n_peers > 0 && settings->daemon.fleet_key_file != NULL
      && settings->daemon.fleet_key_file[0] == '\0')
    qg_problems_add (problems, 0, "daemon", "fleet_key_file",
                     "is needed as there are peers; give the file with the "
                     "fleet's key");
  for (guint i = 0; i < settings->n_agents; i++)
    if (settings->agents[i].slots > 0
        && settings->agents[i].cold_slots > settings->agents[i].slots)
      qg_problems_add (problems, 0, "agent", "cold_slots",
                       "a cold target may not run more than a warm one; give "
                       "[agent %s] at most slots",
                       settings->agents[i].name);
  check_names (settings, problems);
}

static void
check_names (const QgSettings *settings, QgProblems *problems)
{
  for (guint i = 0; i < settings->n_peers; i++)
    for (guint j = 0; j < i; j++)
      if (g_str_equal (settings->peers[i].name, settings->peers[j].name)
          || g_str_equal (settings->peers[i].address,
                          settings->peers[j].address))
        qg_problems_add (problems, 0, "peers", "control",
                         "members %s and %s share a name or an address; each "
                         "needs its own",
                         settings->peers[j].name, settings->peers[i].name);
  for (guint i = 0; i < settings->n_operators; i++)
    for (guint j = 0; j < i; j++)
      if (memcmp (settings->operators[i].key_sha256,
                  settings->operators[j].key_sha256, QG_SHA256_BYTES)
          == 0)
        qg_problems_add (problems, 0, "operator", "key_sha256",
                         "operators %s and %s share a key; each needs its own",
                         settings->operators[j].name,
                         settings->operators[i].name);
}

static gpointer
add_agent (QgSettings *settings, const char *name)
{
  QgSettingsAgent *agent;

  settings->agents
      = g_renew (QgSettingsAgent, settings->agents, settings->n_agents + 1);
  agent = &settings->agents[settings->n_agents++];
  memset (agent, 0, sizeof *agent);
  agent->name = g_strdup (name);
  return agent;
}

static gpointer
add_operator (QgSettings *settings, const char *name)
{
  QgSettingsOperator *operator;

  settings->operators = g_renew (QgSettingsOperator, settings->operators,
                                 settings->n_operators + 1);
  operator= & settings->operators[settings->n_operators++];
  memset (operator, 0, sizeof *operator);
  operator->name = g_strdup (name);
  return operator;
}

/* The NAME of "kind NAME", or NULL. */
static const char *
name_of_section (const char *section)
{
  const char *space = strchr (section, ' ');

  return space != NULL ? space + 1 : NULL;
}
