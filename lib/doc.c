#include "libdoc.h"

#include <string.h>

static guint hash_key (gconstpointer key);
static gboolean keys_equal (gconstpointer a, gconstpointer b);
static void free_section (gpointer section);
static int compare_names (const void *a, const void *b);
static int compare_sections (gconstpointer a, gconstpointer b);

QgDoc *
qg_doc_new (void)
{
  QgDoc *doc = g_new0 (QgDoc, 1);

  doc->refs = 1;
  for (int kind = 0; kind < QG_N_DOC_KINDS; kind++)
    doc->sections[kind]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_section);
  doc->keys = g_hash_table_new (hash_key, keys_equal);
  return doc;
}

QgDoc *
qg_doc_copy (const QgDoc *doc)
{
  QgDoc *copy = qg_doc_new ();

  copy->revision = doc->revision;
  for (int kind = 0; kind < QG_N_DOC_KINDS; kind++)
    {
      GHashTableIter iter;
      gpointer section;

      g_hash_table_iter_init (&iter, doc->sections[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &section))
        qg_doc_insert (copy, qg_doc_section_ref (section));
    }
  return copy;
}

QgDoc *
qg_doc_ref (QgDoc *doc)
{
  doc->refs++;
  return doc;
}

void
qg_doc_unref (QgDoc *doc)
{
  if (doc == NULL || --doc->refs > 0)
    return;
  g_hash_table_unref (doc->keys);
  for (int kind = 0; kind < QG_N_DOC_KINDS; kind++)
    g_hash_table_unref (doc->sections[kind]);
  g_free (doc);
}

guint64
qg_doc_revision (const QgDoc *doc)
{
  return doc->revision;
}

void
qg_doc_insert (QgDoc *doc, QgDocSection *section)
{
  g_hash_table_replace (doc->sections[section->kind], section->name, section);
}

const QgDocWorkspace *
qg_doc_workspace (const QgDoc *doc, const char *name)
{
  const QgDocSection *section
      = g_hash_table_lookup (doc->sections[QG_DOC_WORKSPACE], name);

  return section != NULL ? &section->workspace : NULL;
}

const QgDocWorkspace *
qg_doc_workspace_by_key (const QgDoc *doc, const guint8 sha256[QG_SHA256_BYTES])
{
  const QgDocSection *section = g_hash_table_lookup (doc->keys, sha256);

  return section != NULL ? &section->workspace : NULL;
}

const QgDocDc *
qg_doc_dc (const QgDoc *doc, const char *name)
{
  const QgDocSection *section
      = g_hash_table_lookup (doc->sections[QG_DOC_DC], name);

  return section != NULL ? &section->dc : NULL;
}

const QgDocService *
qg_doc_service (const QgDoc *doc, const char *name)
{
  const QgDocSection *section
      = g_hash_table_lookup (doc->sections[QG_DOC_SERVICE], name);

  return section != NULL ? &section->service : NULL;
}

const QgDocTarget *
qg_doc_target (const QgDoc *doc, const char *name)
{
  const QgDocSection *section
      = g_hash_table_lookup (doc->sections[QG_DOC_TARGET], name);

  return section != NULL ? &section->target : NULL;
}

gboolean
qg_doc_granted (const QgDoc *doc, const char *workspace, const char *service)
{
  const QgDocSection *section
      = g_hash_table_lookup (doc->sections[QG_DOC_GRANT], workspace);

  if (section == NULL || section->grant.services.n == 0)
    return FALSE;
  return bsearch (&service, section->grant.services.items,
                  section->grant.services.n, sizeof (QgStr *), compare_names)
         != NULL;
}

gboolean
qg_doc_service_at_most_once (const QgDocService *service, const char *method)
{
  for (guint i = 0; i < service->once_methods.n; i++)
    if (g_str_equal (service->once_methods.items[i], method))
      return TRUE;
  return FALSE;
}

const QgDocSection *
qg_doc_section (const QgDoc *doc, const char *id)
{
  QgDocKind kind = qg_doc_kind_of (id);

  if (kind == QG_N_DOC_KINDS)
    return NULL;
  return g_hash_table_lookup (doc->sections[kind], qg_doc_name_of (id));
}

guint
qg_doc_count (const QgDoc *doc, QgDocKind kind)
{
  return g_hash_table_size (doc->sections[kind]);
}

GPtrArray *
qg_doc_sorted (const QgDoc *doc, QgDocKind kind)
{
  GPtrArray *sections = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer section;

  g_hash_table_iter_init (&iter, doc->sections[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &section))
    g_ptr_array_add (sections, section);
  g_ptr_array_sort (sections, compare_sections);
  return sections;
}

void
qg_doc_foreach (const QgDoc *doc, QgDocKind kind, QgDocVisit visit,
                gpointer user)
{
  GPtrArray *sections = qg_doc_sorted (doc, kind);

  for (guint i = 0; i < sections->len; i++)
    visit (g_ptr_array_index (sections, i), user);
  g_ptr_array_unref (sections);
}

static guint
hash_key (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
keys_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, QG_SHA256_BYTES) == 0;
}

static void
free_section (gpointer section)
{
  qg_doc_section_unref (section);
}

static int
compare_names (const void *a, const void *b)
{
  const char *const *left = a;
  const char *const *right = b;

  return strcmp (*left, *right);
}

static int
compare_sections (gconstpointer a, gconstpointer b)
{
  const QgDocSection *const *left = a;
  const QgDocSection *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}
