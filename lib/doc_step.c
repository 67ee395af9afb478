#include "libdoc.h"

/* An update in place: parses the new sections and puts them into the document.
 * Keeps the replaced sections for a rollback. Then checks only the sections
 * that the change can affect. */
typedef struct
{
  QgDoc *doc;
  const QgDelta *delta;
  GPtrArray *sections; /* the new sections; NULL: removed */
  GPtrArray *before;   /* the old sections; NULL: none existed */
} Update;

static gboolean parse_sections (Update *update, QgProblems *problems);
static void swap_in_sections (Update *update);
static void roll_back (Update *update);
static void set_section (QgDoc *doc, const char *id, QgDocSection *section);
static QgDocSection *get_section (const QgDoc *doc, const char *id);
static gboolean update_is_valid (const Update *update);
static void unindex_keys (QgDoc *doc, const QgDocSection *section);
static gboolean index_keys (QgDoc *doc, QgDocSection *section);
static gboolean section_is_valid (const QgDoc *doc,
                                  const QgDocSection *section);
static gboolean removal_is_valid (const QgDoc *doc, const QgDocSection *before);
static gboolean is_granted (const QgDoc *doc, const char *service);
static void free_section (gpointer section);

QgDoc *
qg_doc_update (QgDoc *doc, const QgDelta *delta, QgProblems *problems)
{
  Update update = { doc, delta, NULL, NULL };
  QgDoc *next = NULL;

  if (doc->refs > 1 || delta->from == 0 || doc->revision == 0)
    {
      next = qg_doc_apply_delta (doc, delta, problems);
      if (next != NULL)
        qg_doc_unref (doc);
      return next;
    }
  if (!qg_delta_check_base (doc, delta, problems))
    return NULL;
  update.sections = g_ptr_array_new_with_free_func (free_section);
  update.before = g_ptr_array_new_with_free_func (free_section);
  if (parse_sections (&update, problems))
    {
      swap_in_sections (&update);
      if (update_is_valid (&update))
        {
          next = doc;
          doc->revision = delta->to;
        }
      else
        {
          qg_doc_validate (doc, problems);
          roll_back (&update);
        }
    }
  g_ptr_array_unref (update.sections);
  g_ptr_array_unref (update.before);
  return next;
}

static gboolean
parse_sections (Update *update, QgProblems *problems)
{
  for (guint i = 0; i < update->delta->items->len; i++)
    {
      const QgDeltaItem *item
          = &g_array_index (update->delta->items, QgDeltaItem, i);
      QgDocSection *section = NULL;

      if (item->text != NULL)
        section = qg_doc_item_parse (item, problems);
      g_ptr_array_add (update->sections, section);
    }
  return qg_problems_count (problems) == 0;
}

static void
swap_in_sections (Update *update)
{
  for (guint i = 0; i < update->delta->items->len; i++)
    {
      const char *id = g_array_index (update->delta->items, QgDeltaItem, i).id;
      QgDocSection *section = g_ptr_array_index (update->sections, i);
      QgDocSection *before = get_section (update->doc, id);

      g_ptr_array_add (update->before, before);
      if (before != NULL)
        {
          qg_doc_section_ref (before);
          unindex_keys (update->doc, before);
        }
      set_section (update->doc, id, section);
    }
}

static void
roll_back (Update *update)
{
  QgProblems ignored;

  for (guint i = update->delta->items->len; i > 0; i--)
    set_section (update->doc,
                 g_array_index (update->delta->items, QgDeltaItem, i - 1).id,
                 g_ptr_array_index (update->before, i - 1));
  qg_problems_init (&ignored, NULL);
  qg_doc_validate (update->doc, &ignored);
  qg_problems_clear (&ignored);
}

/* Inserts section with a new reference to it. If section is NULL, removes the
 * section with this id. */
static void
set_section (QgDoc *doc, const char *id, QgDocSection *section)
{
  QgDocKind kind = qg_doc_kind_of (id);

  if (section != NULL)
    qg_doc_insert (doc, qg_doc_section_ref (section));
  else if (kind != QG_N_DOC_KINDS)
    g_hash_table_remove (doc->sections[kind], qg_doc_name_of (id));
}

static QgDocSection *
get_section (const QgDoc *doc, const char *id)
{
  QgDocKind kind = qg_doc_kind_of (id);

  if (kind == QG_N_DOC_KINDS)
    return NULL;
  return g_hash_table_lookup (doc->sections[kind], qg_doc_name_of (id));
}

static gboolean
update_is_valid (const Update *update)
{
  for (guint i = 0; i < update->sections->len; i++)
    {
      QgDocSection *section = g_ptr_array_index (update->sections, i);
      const QgDocSection *before = g_ptr_array_index (update->before, i);

      if (section != NULL
          && (!index_keys (update->doc, section)
              || !section_is_valid (update->doc, section)))
        return FALSE;
      if (section == NULL && before != NULL
          && !removal_is_valid (update->doc, before))
        return FALSE;
    }
  return TRUE;
}

static void
unindex_keys (QgDoc *doc, const QgDocSection *section)
{
  if (section->kind != QG_DOC_WORKSPACE)
    return;
  for (guint i = 0; i < section->workspace.keys.n; i++)
    g_hash_table_remove (doc->keys, section->workspace.keys.bytes
                                        + (gsize)i * QG_SHA256_BYTES);
}

/* Adds the keys of a workspace to the index. Returns FALSE if a different
 * workspace already has one of these keys. */
static gboolean
index_keys (QgDoc *doc, QgDocSection *section)
{
  if (section->kind != QG_DOC_WORKSPACE)
    return TRUE;
  for (guint i = 0; i < section->workspace.keys.n; i++)
    {
      guint8 *key = section->workspace.keys.bytes + (gsize)i * QG_SHA256_BYTES;
      const QgDocSection *other = g_hash_table_lookup (doc->keys, key);

      if (other != NULL && other != section)
        return FALSE;
      g_hash_table_insert (doc->keys, key, section);
    }
  return TRUE;
}

static gboolean
section_is_valid (const QgDoc *doc, const QgDocSection *section)
{
  if (section->kind == QG_DOC_SERVICE)
    return section->service.cold_slots <= section->service.slots;
  if (section->kind != QG_DOC_GRANT)
    return TRUE;
  if (qg_doc_workspace (doc, section->grant.workspace) == NULL)
    return FALSE;
  for (guint i = 0; i < section->grant.services.n; i++)
    if (qg_doc_service (doc, section->grant.services.items[i]) == NULL)
      return FALSE;
  return TRUE;
}

/* Whether no remaining section refers to the removed section @before. */
static gboolean
removal_is_valid (const QgDoc *doc, const QgDocSection *before)
{
  if (before->kind == QG_DOC_WORKSPACE)
    return !g_hash_table_contains (doc->sections[QG_DOC_GRANT], before->name);
  if (before->kind == QG_DOC_SERVICE)
    return !is_granted (doc, before->name);
  return TRUE;
}

static gboolean
is_granted (const QgDoc *doc, const char *service)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, doc->sections[QG_DOC_GRANT]);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (qg_doc_granted (doc, name, service))
      return TRUE;
  return FALSE;
}

static void
free_section (gpointer section)
{
  qg_doc_section_unref (section);
}
