#include "libdoc.h"
#include "settings.h"

#include <stddef.h>
#include <string.h>

static const char *const state_words[] = { "in", "out", NULL };
static const char *const kind_words[] = { "model", "plain", NULL };

#define NO_RANGE           0, 0, NULL
#define WORDS_OF(words)    0, 0, words
#define RANGE(first, last) first, last, NULL
#define DAY_MS             G_GUINT64_CONSTANT (86400000)
#define MAX_SLOTS          G_GUINT64_CONSTANT (4096)
#define MAX_COLD_MS        G_GUINT64_CONSTANT (600000)

static const QgKeyRow dc_keys[] = {
  { "region", QG_VALUE_NAME, offsetof (QgDocDc, region), NO_RANGE, NULL,
    "Region of the data centre." },
  { "state", QG_VALUE_ENUM, offsetof (QgDocDc, state), WORDS_OF (state_words),
    "in", "Whether it gets new work." },
};

static const QgKeyRow service_keys[] = {
  { "kind", QG_VALUE_ENUM, offsetof (QgDocService, kind), WORDS_OF (kind_words),
    NULL, "A model engine, or a plain service." },
  { "once", QG_VALUE_NAME_LIST, offsetof (QgDocService, once_methods), NO_RANGE,
    "", "HTTP methods that are not idempotent and run at most once." },
  { "slots", QG_VALUE_UINT, offsetof (QgDocService, slots),
    RANGE (1, MAX_SLOTS), "8", "Requests that a warm target runs at once." },
  { "cold_slots", QG_VALUE_UINT, offsetof (QgDocService, cold_slots),
    RANGE (1, MAX_SLOTS), "1", "Requests that a cold target runs at once." },
  { "cold_ms", QG_VALUE_UINT, offsetof (QgDocService, cold_ms),
    RANGE (0, MAX_COLD_MS), "4000",
    "How long a target stays cold after its start; after that, the limit of "
    "requests it runs at once doubles each second." },
  { "deadline_ms", QG_VALUE_UINT, offsetof (QgDocService, deadline_ms),
    RANGE (1, DAY_MS), "300000", "Deadline of requests that state none." },
  { "max_tokens", QG_VALUE_UINT, offsetof (QgDocService, max_tokens),
    RANGE (1, 10000000), "4096", "Largest answer of a model." },
  { "retry_percent", QG_VALUE_UINT, offsetof (QgDocService, retry_percent),
    RANGE (0, 100), "10", "Retries allowed for each 100 requests." },
};

static const QgKeyRow target_keys[] = {
  { "drain", QG_VALUE_BOOL, offsetof (QgDocTarget, drain), NO_RANGE, "no",
    "Whether the target is draining: it gets no new work." },
  { "version", QG_VALUE_TEXT, offsetof (QgDocTarget, version), NO_RANGE, "",
    "Version that the target is to load; empty: any." },
};

static const QgKeyRow workspace_keys[] = {
  { "weight", QG_VALUE_UINT, offsetof (QgDocWorkspace, weight),
    RANGE (1, 10000), "100", "Share of capacity against other workspaces." },
  { "key_sha256", QG_VALUE_SHA256_LIST, offsetof (QgDocWorkspace, keys),
    NO_RANGE, "", "SHA-256 of each bearer key of its callers." },
  { "queue_limit", QG_VALUE_UINT, offsetof (QgDocWorkspace, queue_limit),
    RANGE (1, 1000000), "1000", "Requests that may wait in one entry." },
};

static const QgKeyRow grant_keys[] = {
  { "services", QG_VALUE_NAME_LIST, offsetof (QgDocGrant, services), NO_RANGE,
    "", "Services that the workspace may use." },
};

#define KEYS(keys) keys, G_N_ELEMENTS (keys)

const QgGroupRow qg_doc_groups[QG_N_DOC_KINDS] = {
  [QG_DOC_DC] = { "dc", TRUE, "A data centre.", KEYS (dc_keys) },
  [QG_DOC_SERVICE] = { "service", TRUE, "A service.", KEYS (service_keys) },
  [QG_DOC_TARGET]
  = { "target", TRUE, "Orders to one target; NAME is the name of its agent.",
      KEYS (target_keys) },
  [QG_DOC_WORKSPACE]
  = { "workspace", TRUE, "A workspace.", KEYS (workspace_keys) },
  [QG_DOC_GRANT]
  = { "grant", TRUE, "What the workspace NAME may use.", KEYS (grant_keys) },
};

static const guint teams[QG_N_DOC_KINDS] = {
  [QG_DOC_DC] = QG_TEAM_DCS,           [QG_DOC_SERVICE] = QG_TEAM_SERVICES,
  [QG_DOC_TARGET] = QG_TEAM_SERVICES,  [QG_DOC_WORKSPACE] = QG_TEAM_WORKSPACES,
  [QG_DOC_GRANT] = QG_TEAM_WORKSPACES,
};

static QgDocSection *section_new (const char *id, guint line,
                                  QgProblems *problems);
static QgDocSection *read_section (GKeyFile *file, const char *text, gsize len,
                                   const QgIniLines *lines,
                                   QgProblems *problems);

QgDocSection *
qg_doc_section_parse (const char *text, gsize len, guint line,
                      QgProblems *problems)
{
  guint before = qg_problems_count (problems);
  QgIniLines *lines = qg_ini_scan (text, len, line, problems);
  GKeyFile *file = g_key_file_new ();
  QgDocSection *section = NULL;
  GError *error = NULL;

  if (qg_problems_count (problems) == before)
    {
      if (g_key_file_load_from_data (file, text, len,
                                     G_KEY_FILE_KEEP_TRANSLATIONS, &error))
        section = read_section (file, text, len, lines, problems);
      else
        qg_problems_add (problems, line, NULL, NULL, "%s; correct the line",
                         error->message);
      g_clear_error (&error);
    }
  qg_ini_lines_free (lines);
  g_key_file_unref (file);
  return section;
}

QgDocSection *
qg_doc_section_ref (QgDocSection *section)
{
  section->refs++;
  return section;
}

void
qg_doc_section_unref (QgDocSection *section)
{
  if (section == NULL || --section->refs > 0)
    return;
  qg_group_clear (&qg_doc_groups[section->kind], &section->name);
  qg_str_unref (section->name);
  qg_str_unref (section->id);
  g_clear_pointer (&section->text, g_ref_string_release);
  g_free (section);
}

const char *
qg_doc_name_of (const char *id)
{
  const char *space = strchr (id, ' ');

  return space != NULL ? space + 1 : "";
}

guint
qg_doc_team (QgDocKind kind)
{
  return teams[kind];
}

const char *
qg_doc_team_name (guint team)
{
  if (team == QG_TEAM_WORKSPACES)
    return "workspaces";
  return team == QG_TEAM_DCS ? "dcs" : "services";
}

QgDocKind
qg_doc_kind_of (const char *id)
{
  const char *name;
  const QgGroupRow *row
      = qg_group_find (qg_doc_groups, QG_N_DOC_KINDS, id, &name);

  if (row == NULL || !qg_ini_is_name (name))
    return QG_N_DOC_KINDS;
  return (QgDocKind)(row - qg_doc_groups);
}

char *
qg_doc_manual (void)
{
  GString *out = g_string_new (NULL);

  for (int i = 0; i < QG_N_DOC_KINDS; i++)
    qg_group_manual (&qg_doc_groups[i], out);
  return g_string_free (out, FALSE);
}

static QgDocSection *
read_section (GKeyFile *file, const char *text, gsize len,
              const QgIniLines *lines, QgProblems *problems)
{
  g_auto (GStrv) ids = g_key_file_get_groups (file, NULL);
  QgGroupSource source = { file, ids[0], lines, problems };
  QgDocSection *section;

  if (ids[0] == NULL || ids[1] != NULL)
    {
      qg_problems_add (problems, 0, ids[0], NULL,
                       "the text is not one section; start it with [kind "
                       "NAME]");
      return NULL;
    }
  section = section_new (ids[0], qg_ini_line (lines, ids[0], NULL), problems);
  if (section == NULL)
    return NULL;
  section->text = qg_str_new_len (text, len);
  qg_group_read (&qg_doc_groups[section->kind], &source, &section->name);
  return section;
}

static QgDocSection *
section_new (const char *id, guint line, QgProblems *problems)
{
  QgDocKind kind = qg_doc_kind_of (id);
  QgDocSection *section;

  if (kind == QG_N_DOC_KINDS)
    {
      qg_problems_add (problems, line, id, NULL,
                       "is no section; use [dc NAME], [service NAME], "
                       "[target NAME], [workspace NAME] or [grant "
                       "WORKSPACE], with a NAME of letters, digits, '.', "
                       "'_', '-', at most %d",
                       QG_INI_MAX_NAME_BYTES);
      return NULL;
    }
  section = g_new0 (QgDocSection, 1);
  section->refs = 1;
  section->kind = kind;
  section->id = qg_str_new (id);
  section->name = qg_str_new (qg_doc_name_of (id));
  return section;
}
