#include "libdoc.h"

typedef struct
{
  QgDoc *doc;
  QgProblems *problems;
} Check;

typedef struct
{
  QgDocKind kind;
  QgDocVisit visit;
} CheckRow;

static void check_unsorted (Check *check, const CheckRow *row);
static void check_service (const QgDocSection *section, gpointer user);
static void check_grant (const QgDocSection *section, gpointer user);
static void index_keys (const QgDocSection *section, gpointer user);

/* The checks run on unsorted sections first, since sorting costs more than the
 * checks. If the checks find a problem, they run again in sorted order, so that
 * every member reports the same problems in the same order. */
static const CheckRow checks[] = {
  { QG_DOC_WORKSPACE, index_keys },
  { QG_DOC_SERVICE, check_service },
  { QG_DOC_GRANT, check_grant },
};

void
qg_doc_validate (QgDoc *doc, QgProblems *problems)
{
  QgProblems found;
  Check check = { doc, &found };

  qg_problems_init (&found, NULL);
  g_hash_table_remove_all (doc->keys);
  for (guint i = 0; i < G_N_ELEMENTS (checks); i++)
    check_unsorted (&check, &checks[i]);
  check.problems = problems;
  if (qg_problems_count (&found) > 0)
    {
      g_hash_table_remove_all (doc->keys);
      for (guint i = 0; i < G_N_ELEMENTS (checks); i++)
        qg_doc_foreach (doc, checks[i].kind, checks[i].visit, &check);
    }
  qg_problems_clear (&found);
}

static void
check_unsorted (Check *check, const CheckRow *row)
{
  GHashTableIter iter;
  gpointer section;

  g_hash_table_iter_init (&iter, check->doc->sections[row->kind]);
  while (g_hash_table_iter_next (&iter, NULL, &section))
    row->visit (section, check);
}

static void
check_service (const QgDocSection *section, gpointer user)
{
  const QgDocService *service = &section->service;
  const Check *check = user;

  if (service->cold_slots > service->slots)
    qg_problems_add (check->problems, 0, section->id, "cold_slots",
                     "a cold target may not run more than a warm one; give at "
                     "most slots, %" G_GUINT64_FORMAT,
                     service->slots);
}

static void
check_grant (const QgDocSection *section, gpointer user)
{
  const QgDocGrant *grant = &section->grant;
  const Check *check = user;

  if (qg_doc_workspace (check->doc, grant->workspace) == NULL)
    qg_problems_add (check->problems, 0, section->id, NULL,
                     "there is no [workspace %s]; add it or remove this grant",
                     grant->workspace);
  for (guint i = 0; i < grant->services.n; i++)
    if (qg_doc_service (check->doc, grant->services.items[i]) == NULL)
      qg_problems_add (check->problems, 0, section->id, "services",
                       "there is no [service %s]; add it or take it out here",
                       grant->services.items[i]);
}

static void
index_keys (const QgDocSection *section, gpointer user)
{
  const QgHashes *keys = &section->workspace.keys;
  const Check *check = user;

  for (guint i = 0; i < keys->n; i++)
    {
      guint8 *key = keys->bytes + (gsize)i * QG_SHA256_BYTES;
      const QgDocSection *other = g_hash_table_lookup (check->doc->keys, key);

      if (other != NULL && other != section)
        qg_problems_add (check->problems, 0, section->id, "key_sha256",
                         "[%s] has the same key; each key names one workspace",
                         other->id);
      else
        g_hash_table_insert (check->doc->keys, key, (gpointer)section);
    }
}
