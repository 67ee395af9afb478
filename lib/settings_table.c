#include "libsettings.h"

#include <stddef.h>

static const char *const role_words[] = { "entry", "agent", "control", NULL };
static const char *const team_words[]
    = { "workspaces", "dcs", "services", NULL };
static const char *const level_words[]
    = { "debug", "info", "notice", "warning", "error", NULL };
static const char *const format_words[] = { "text", "json", NULL };
static const char *const cut_off_words[] = { "refuse", "serve", NULL };

const QgGroupRow qg_setting_groups[QG_N_GROUPS] = {
  [QG_GROUP_DAEMON] = { "daemon", FALSE, "The process as a whole." },
  [QG_GROUP_ENTRY] = { "entry", FALSE, "The entry role: callers." },
  [QG_GROUP_AGENT]
  = { "agent", TRUE, "One target of the agent role; may be repeated." },
  [QG_GROUP_CONTROL] = { "control", FALSE, "The control role." },
  [QG_GROUP_PEERS] = { "peers", FALSE, "Where the control members are." },
  [QG_GROUP_OPERATOR]
  = { "operator", TRUE, "One operator, read by control; may be repeated." },
};

#define DAEMON(field)   offsetof (QgSettingsDaemon, field)
#define ENTRY(field)    offsetof (QgSettingsEntry, field)
#define AGENT(field)    offsetof (QgSettingsAgent, field)
#define CONTROL(field)  offsetof (QgSettingsControl, field)
#define OPERATOR(field) offsetof (QgSettingsOperator, field)

#define MIB                (G_GUINT64_CONSTANT (1) << 20)
#define DAY_MS             G_GUINT64_CONSTANT (86400000)
#define MAX_SLOTS          G_GUINT64_CONSTANT (4096)
#define MAX_QUEUE          G_GUINT64_CONSTANT (1000000)
#define NO_RANGE           0, 0, NULL
#define WORDS_OF(words)    0, 0, words
#define RANGE(first, last) first, last, NULL

const QgSettingRow qg_setting_rows[] = {
  { QG_GROUP_DAEMON, "name", QG_VALUE_NAME, DAEMON (name), NO_RANGE, NULL,
    "Name of this daemon, unique in the fleet." },
  { QG_GROUP_DAEMON, "roles", QG_VALUE_WORDS, DAEMON (roles),
    WORDS_OF (role_words), NULL, "Roles of this process." },
  { QG_GROUP_DAEMON, "dc", QG_VALUE_NAME, DAEMON (dc), NO_RANGE, NULL,
    "Data centre this process stands in." },
  { QG_GROUP_DAEMON, "region", QG_VALUE_NAME, DAEMON (region), NO_RANGE, NULL,
    "Region of the data centre." },
  { QG_GROUP_DAEMON, "fleet_key_file", QG_VALUE_TEXT, DAEMON (fleet_key_file),
    NO_RANGE, "",
    "File with the key that all daemons of the fleet share; needed as soon as "
    "there are peers." },
  { QG_GROUP_DAEMON, "log_level", QG_VALUE_WORD, DAEMON (log_level),
    WORDS_OF (level_words), "info", "Lowest severity that is logged." },
  { QG_GROUP_DAEMON, "log_format", QG_VALUE_WORD, DAEMON (log_format),
    WORDS_OF (format_words), "text", "Format of log lines." },
  { QG_GROUP_DAEMON, "admin_listen", QG_VALUE_ADDRESS, DAEMON (admin_listen),
    NO_RANGE, "",
    "Where /metrics, /healthz and /status are served; empty: nowhere." },
  { QG_GROUP_DAEMON, "trace_file", QG_VALUE_TEXT, DAEMON (trace_file), NO_RANGE,
    "", "File for spans as OTLP/JSON lines; empty: no traces." },
  { QG_GROUP_DAEMON, "cut_off", QG_VALUE_WORD, DAEMON (cut_off),
    WORDS_OF (cut_off_words), "refuse",
    "What happens to new work while no lease can be renewed." },
  { QG_GROUP_ENTRY, "listen", QG_VALUE_ADDRESS, ENTRY (listen), NO_RANGE, NULL,
    "Where callers connect by HTTP." },
  { QG_GROUP_ENTRY, "peer_listen", QG_VALUE_ADDRESS, ENTRY (peer_listen),
    NO_RANGE, "", "Where agents connect; empty: only agents of this process." },
  { QG_GROUP_ENTRY, "queue_limit", QG_VALUE_UINT, ENTRY (queue_limit),
    RANGE (1, MAX_QUEUE), "20000", "Requests that may wait in this entry." },
  { QG_GROUP_ENTRY, "max_body_bytes", QG_VALUE_UINT, ENTRY (max_body_bytes),
    RANGE (1024, 64 * MIB), "4194304", "Largest body of a request." },
  { QG_GROUP_ENTRY, "default_deadline_ms", QG_VALUE_UINT,
    ENTRY (default_deadline_ms), RANGE (1, DAY_MS), "300000",
    "Deadline of requests that state none and whose service has none." },
  { QG_GROUP_ENTRY, "max_connections", QG_VALUE_UINT, ENTRY (max_connections),
    RANGE (1, 65000), "10000", "Caller connections at once." },
  { QG_GROUP_ENTRY, "drain_ms", QG_VALUE_UINT, ENTRY (drain_ms),
    RANGE (0, DAY_MS), "600000",
    "How long a graceful shutdown waits for running requests." },
  { QG_GROUP_AGENT, "service", QG_VALUE_NAME, AGENT (service), NO_RANGE, NULL,
    "Service that the target runs." },
  { QG_GROUP_AGENT, "target", QG_VALUE_ADDRESS, AGENT (target), NO_RANGE, NULL,
    "Where the target listens by HTTP." },
  { QG_GROUP_AGENT, "slots", QG_VALUE_UINT, AGENT (slots), RANGE (0, MAX_SLOTS),
    "0", "Requests the warm target runs at once; 0: as the service says." },
  { QG_GROUP_AGENT, "cold_slots", QG_VALUE_UINT, AGENT (cold_slots),
    RANGE (0, MAX_SLOTS), "0",
    "Requests the cold target runs at once; 0: as the service says." },
  { QG_GROUP_AGENT, "hold_ms", QG_VALUE_UINT, AGENT (hold_ms),
    RANGE (0, DAY_MS), "600000",
    "How long finished answers are held for a resend." },
  { QG_GROUP_AGENT, "hold_bytes", QG_VALUE_UINT, AGENT (hold_bytes),
    RANGE (0, 4096 * MIB), "33554432",
    "Memory for finished answers; the oldest go first." },
  { QG_GROUP_AGENT, "fenced", QG_VALUE_BOOL, AGENT (fenced), NO_RANGE, "no",
    "Whether the target itself refuses orders with an old fencing number." },
  { QG_GROUP_CONTROL, "peer_listen", QG_VALUE_ADDRESS, CONTROL (peer_listen),
    NO_RANGE, "", "Where daemons connect; empty: only this process." },
  { QG_GROUP_CONTROL, "operator_listen", QG_VALUE_ADDRESS,
    CONTROL (operator_listen), NO_RANGE, "",
    "Where operators connect by HTTP; empty: nowhere." },
  { QG_GROUP_CONTROL, "data_folder", QG_VALUE_TEXT, CONTROL (data_folder),
    NO_RANGE, NULL, "Folder of the replicated state." },
  { QG_GROUP_CONTROL, "document", QG_VALUE_TEXT, CONTROL (document), NO_RANGE,
    "",
    "First configuration document; used only by the bootstrap member while "
    "its log is empty." },
  { QG_GROUP_CONTROL, "bootstrap", QG_VALUE_BOOL, CONTROL (bootstrap), NO_RANGE,
    "no", "Whether this member founds the group when its log is empty." },
  { QG_GROUP_PEERS, "control", QG_VALUE_PEERS, 0, NO_RANGE, "",
    "The control members." },
  { QG_GROUP_OPERATOR, "key_sha256", QG_VALUE_SHA256, OPERATOR (key_sha256),
    NO_RANGE, NULL, "SHA-256 of the operator's bearer token." },
  { QG_GROUP_OPERATOR, "teams", QG_VALUE_WORDS, OPERATOR (teams),
    WORDS_OF (team_words), NULL,
    "Teams whose sections the operator may change." },
};

const guint qg_n_setting_rows = G_N_ELEMENTS (qg_setting_rows);

char *
qg_setting_range (const QgSettingRow *row)
{
  g_autofree char *words = NULL;

  if (row->words != NULL)
    words = g_strjoinv (", ", (char **)row->words);
  switch (row->type)
    {
    case QG_VALUE_NAME:
      return g_strdup ("a name of letters, digits, '.', '_' and '-'");
    case QG_VALUE_ADDRESS:
      return g_strdup ("an address ip:port");
    case QG_VALUE_UINT:
      return g_strdup_printf ("a number from %" G_GUINT64_FORMAT
                              " to %" G_GUINT64_FORMAT,
                              row->min, row->max);
    case QG_VALUE_BOOL:
      return g_strdup ("yes or no");
    case QG_VALUE_WORD:
      return g_strdup_printf ("one of %s", words);
    case QG_VALUE_WORDS:
      return g_strdup_printf ("a list a;b of %s", words);
    case QG_VALUE_SHA256:
      return g_strdup ("64 hexadecimal digits");
    case QG_VALUE_PEERS:
      return g_strdup ("a list of name@ip:port;name@ip:port");
    case QG_VALUE_TEXT:
    default:
      return g_strdup ("a text");
    }
}

char *
qg_settings_manual (void)
{
  GString *out = g_string_new (NULL);
  int group = -1;

  for (guint i = 0; i < qg_n_setting_rows; i++)
    {
      const QgSettingRow *row = &qg_setting_rows[i];
      g_autofree char *range = qg_setting_range (row);

      if ((int)row->group != group)
        {
          const QgGroupRow *kind = &qg_setting_groups[row->group];

          if (group >= 0)
            g_string_append (out, ".El\n");
          group = (int)row->group;
          g_string_append_printf (
              out, ".Ss \\&[%s%s]\n%s\n.Bl -tag -width Ds\n", kind->kind,
              kind->named ? " NAME" : "", kind->help);
        }
      g_string_append_printf (out, ".It Ic %s\n%s\nTakes %s", row->key,
                              row->help, range);
      if (row->fallback == NULL)
        g_string_append (out, "; must be given.\n");
      else if (row->fallback[0] == '\0')
        g_string_append (out, "; empty by default.\n");
      else
        g_string_append_printf (out, "; default\n.Ql %s .\n", row->fallback);
    }
  g_string_append (out, ".El\n");
  return g_string_free (out, FALSE);
}
