#include "libsettings.h"

#include <gio/gio.h>
#include <string.h>

/* State of the parser. */
typedef struct
{
  QgSettings *settings;
  QgGroupSource source;
  gboolean seen[QG_N_GROUPS];
} Parser;

/** Largest share of requests for a version that is still judged. */
#define CANARY_SHARE_MAX 0.5

static void read_file (Parser *parser);
static void read_section (Parser *parser);
static gpointer group_record (QgSettings *settings, int group,
                              const char *name);
static void read_peers (QgSettings *settings, QgSettingsPeers *peers);
static char *seed_ip (const char *seed);
static void read_seeds (QgSettings *settings, const QgSettingsPeers *peers);
static void fill_missing_groups (Parser *parser);
static gboolean group_is_needed (const QgSettings *settings, int group);
static void check_consistency (const QgSettings *settings,
                               QgProblems *problems);
static void check_duplicates (const QgSettings *settings, QgProblems *problems);
static void check_regions (const QgSettings *settings, QgProblems *problems);
static gpointer add_agent (QgSettings *settings, const char *name);
static gpointer add_operator (QgSettings *settings, const char *name);

static const char standalone[] = "[daemon]\n"
                                 "name=standalone\n"
                                 "roles=entry;agent;control\n"
                                 "dc=local\n"
                                 "region=local\n"
                                 "admin_listen=127.0.0.1:8082\n"
                                 "[entry]\n"
                                 "listen=127.0.0.1:8080\n"
                                 "peer_listen=127.0.0.1:8083\n"
                                 "[agent model-1]\n"
                                 "service=drape-model\n"
                                 "target=127.0.0.1:9001\n"
                                 "[agent plain-1]\n"
                                 "service=bookings-app\n"
                                 "target=127.0.0.1:9002\n"
                                 "[control]\n"
                                 "peer_listen=127.0.0.1:8084\n"
                                 "operator_listen=127.0.0.1:8081\n"
                                 "data_folder=quetzalgate-data\n"
                                 "bootstrap=yes\n";

QgSettings *
qg_settings_parse (const char *text, gsize len, QgProblems *problems)
{
  QgSettings *settings = g_new0 (QgSettings, 1);
  GKeyFile *file = g_key_file_new ();
  QgIniLines *lines = qg_ini_scan (text, len, 1, problems);
  Parser parser = { settings, { file, NULL, lines, problems } };
  GError *error = NULL;

  settings->refs = 1;
  if (qg_problems_count (problems) == 0
      && !g_key_file_load_from_data (file, text, len,
                                     G_KEY_FILE_KEEP_TRANSLATIONS, &error))
    {
      qg_problems_add (problems, 0, NULL, NULL, "%s; correct the line",
                       error->message);
      g_error_free (error);
    }
  if (qg_problems_count (problems) == 0)
    read_file (&parser);
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
  qg_group_clear (&qg_setting_groups[QG_GROUP_DAEMON], &settings->daemon);
  qg_group_clear (&qg_setting_groups[QG_GROUP_ENTRY], &settings->entry);
  qg_group_clear (&qg_setting_groups[QG_GROUP_CONTROL], &settings->control);
  qg_group_clear (&qg_setting_groups[QG_GROUP_RELAY], &settings->relay);
  for (guint i = 0; i < settings->n_agents; i++)
    {
      qg_group_clear (&qg_setting_groups[QG_GROUP_AGENT], &settings->agents[i]);
      qg_str_unref (settings->agents[i].name);
    }
  for (guint i = 0; i < settings->n_peers; i++)
    {
      qg_str_unref (settings->peers[i].name);
      qg_str_unref (settings->peers[i].address);
    }
  for (guint i = 0; i < settings->n_operators; i++)
    qg_str_unref (settings->operators[i].name);
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

      for (int byte = 0; byte < QG_SHA256_BYTES; byte++)
        different |= settings->operators[i].key_sha256[byte] ^ sha256[byte];
      if (different == 0)
        found = &settings->operators[i];
    }
  return found;
}

static void
read_file (Parser *parser)
{
  g_auto (GStrv) sections = g_key_file_get_groups (parser->source.file, NULL);

  for (guint i = 0; sections[i] != NULL; i++)
    {
      parser->source.section = sections[i];
      read_section (parser);
    }
  fill_missing_groups (parser);
  check_consistency (parser->settings, parser->source.problems);
}

static void
read_section (Parser *parser)
{
  const QgGroupSource *source = &parser->source;
  guint line = qg_ini_line (source->lines, source->section, NULL);
  QgSettingsPeers peers = { 0 };
  const char *name;
  const QgGroupRow *row
      = qg_group_find (qg_setting_groups, QG_N_GROUPS, source->section, &name);
  int group;

  if (row == NULL)
    {
      qg_problems_add (source->problems, line, source->section, NULL,
                       "unknown group; use daemon, entry, agent NAME, "
                       "control, relay, peers or operator NAME");
      return;
    }
  if (name != NULL && !qg_ini_is_name (name))
    {
      qg_problems_add (source->problems, line, source->section, NULL,
                       "\"%s\" is not a name; use letters, digits, '.', '_', "
                       "'-', at most %d",
                       name, QG_INI_MAX_NAME_BYTES);
      return;
    }
  group = (int)(row - qg_setting_groups);
  parser->seen[group] = TRUE;
  if (group != QG_GROUP_PEERS)
    {
      qg_group_read (row, source, group_record (parser->settings, group, name));
      return;
    }
  qg_group_read (row, source, &peers);
  read_peers (parser->settings, &peers);
  qg_group_clear (row, &peers);
}

static gpointer
group_record (QgSettings *settings, int group, const char *name)
{
  switch (group)
    {
    case QG_GROUP_DAEMON:
      return &settings->daemon;
    case QG_GROUP_ENTRY:
      return &settings->entry;
    case QG_GROUP_CONTROL:
      return &settings->control;
    case QG_GROUP_RELAY:
      return &settings->relay;
    case QG_GROUP_AGENT:
      return add_agent (settings, name);
    default:
      return add_operator (settings, name);
    }
}

static void
read_peers (QgSettings *settings, QgSettingsPeers *peers)
{
  settings->peers = g_new0 (QgSettingsPeer, peers->control.n);
  for (guint i = 0; i < peers->control.n; i++)
    {
      const char *item = peers->control.items[i];
      const char *at = strchr (item, '@');
      QgSettingsPeer *peer;

      if (at == NULL)
        continue;
      peer = &settings->peers[settings->n_peers++];
      peer->name = qg_str_new_len (item, at - item);
      peer->address = qg_str_new (at + 1);
    }
  read_seeds (settings, peers);
}

/* Adds the seeds as control members. A seed has no name, so its IP address, in
 * its usual form, is its name. Skips items that are not an IP address. */
static void
read_seeds (QgSettings *settings, const QgSettingsPeers *peers)
{
  g_auto (GStrv) items
      = g_strsplit (peers->seeds != NULL ? peers->seeds : "", ",", -1);

  for (guint i = 0; items[i] != NULL; i++)
    {
      g_autofree char *ip = seed_ip (g_strstrip (items[i]));
      g_autofree char *address = NULL;
      QgSettingsPeer *peer;

      if (ip == NULL)
        continue;
      address = g_strdup_printf (strchr (ip, ':') != NULL ? "[%s]:%u" : "%s:%u",
                                 ip, (guint)peers->seed_port);
      settings->peers
          = g_renew (QgSettingsPeer, settings->peers, settings->n_peers + 1);
      peer = &settings->peers[settings->n_peers++];
      peer->name = qg_str_new (ip);
      peer->address = qg_str_new (address);
    }
}

/* The IP address of @seed, "ADDRESS:PORT" or "ADDRESS", in its usual form, so
 * that all processes use one name for it; NULL if it has none. */
static char *
seed_ip (const char *seed)
{
  const char *colon = strrchr (seed, ':');
  gsize len = colon != NULL ? (gsize)(colon - seed) : strlen (seed);
  gboolean brackets = seed[0] == '[' && len > 2 && seed[len - 1] == ']';
  g_autofree char *host
      = brackets ? g_strndup (seed + 1, len - 2) : g_strndup (seed, len);
  g_autoptr (GInetAddress) address = g_inet_address_new_from_string (host);

  return address != NULL ? g_inet_address_to_string (address) : NULL;
}

/* Sets the defaults of groups that are not in the file. If a role needs such a
 * group, reports the required keys of the group as missing. */
static void
fill_missing_groups (Parser *parser)
{
  static const int groups[]
      = { QG_GROUP_DAEMON, QG_GROUP_ENTRY, QG_GROUP_CONTROL, QG_GROUP_RELAY };

  parser->source.section = NULL;
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    {
      int group = groups[i];

      if (!parser->seen[group] && group_is_needed (parser->settings, group))
        qg_group_read (&qg_setting_groups[group], &parser->source,
                       group_record (parser->settings, group, NULL));
    }
}

static gboolean
group_is_needed (const QgSettings *settings, int group)
{
  if (group == QG_GROUP_ENTRY)
    return (settings->daemon.roles & QG_ROLE_ENTRY) != 0;
  if (group == QG_GROUP_CONTROL)
    return (settings->daemon.roles & QG_ROLE_CONTROL) != 0;
  if (group == QG_GROUP_RELAY)
    return (settings->daemon.roles & QG_ROLE_RELAY) != 0;
  return TRUE;
}

static void
check_consistency (const QgSettings *settings, QgProblems *problems)
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
                     "is required as there are peers; give the file with the "
                     "fleet's key");
  for (guint i = 0; i < settings->n_agents; i++)
    if (settings->agents[i].slots > 0
        && settings->agents[i].cold_slots > settings->agents[i].slots)
      qg_problems_add (
          problems, 0, "agent", "cold_slots",
          "a cold target may not run more requests than a warm one; "
          "give [agent %s] at most the value of slots",
          settings->agents[i].name);
  if (!(settings->control.canary_share >= 0
        && settings->control.canary_share <= CANARY_SHARE_MAX))
    qg_problems_add (problems, 0, "control", "canary_share",
                     "is not between 0 and %g; give the share of requests that "
                     "a bad version may get",
                     CANARY_SHARE_MAX);
  check_duplicates (settings, problems);
  if ((roles & QG_ROLE_RELAY) != 0 && settings->relay.dc_regions != NULL)
    check_regions (settings, problems);
}

/* Routes that only some regions may serve depend on each item. */
static void
check_regions (const QgSettings *settings, QgProblems *problems)
{
  g_auto (GStrv) items = g_strsplit (settings->relay.dc_regions, ",", -1);
  g_autoptr (GHashTable) regions
      = g_hash_table_new (g_str_hash, g_str_equal); /* of data centres */

  for (guint i = 0; items[i] != NULL; i++)
    {
      char *colon = strchr (g_strstrip (items[i]), ':');
      const char *known;

      if (colon != NULL)
        *colon = '\0';
      if (colon == NULL || !qg_ini_is_name (g_strchomp (items[i]))
          || !qg_ini_is_name (g_strchug (colon + 1)))
        {
          qg_problems_add (problems, 0, "relay", "dc_regions",
                           "item %u is not dc:region; give "
                           "dc:region,dc:region",
                           i + 1);
          continue;
        }
      known = g_hash_table_lookup (regions, items[i]);
      if (known != NULL && !g_str_equal (known, colon + 1))
        qg_problems_add (problems, 0, "relay", "dc_regions",
                         "data centre %s has two regions, %s and %s", items[i],
                         known, colon + 1);
      g_hash_table_insert (regions, items[i], colon + 1);
    }
}

static void
check_duplicates (const QgSettings *settings, QgProblems *problems)
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
  agent->name = qg_str_new (name);
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
  operator->name = qg_str_new (name);
  return operator;
}
