#include "libdoc.h"

/* A change in place: the new sections are read first, then put in while the
 * old ones are kept, then only what they touch is checked. */
typedef struct
{
  QgDoc *doc;
  const QgDelta *delta;
  GPtrArray *sections; /* new ones, NULL where one is removed */
  GPtrArray *before;   /* old ones, NULL where there was none */
} Step;

static gboolean read_sections (Step *step, QgProblems *problems);
static void exchange (Step *step);
static void put_back (Step *step);
static void set_section (QgDoc *doc, const char *id, QgDocSection *section);
static QgDocSection *get_section (const QgDoc *doc, const char *id);
static gboolean is_valid (const Step *step);
static void forget_keys (QgDoc *doc, const QgDocSection *section);
static gboolean learn_keys (QgDoc *doc, QgDocSection *section);
static gboolean section_is_valid (const QgDoc *doc,
                                  const QgDocSection *section);
static gboolean removal_is_valid (const QgDoc *doc, const QgDocSection *before);
static gboolean is_granted (const QgDoc *doc, const char *service);
static void free_section (gpointer section);

QgDoc *
qg_doc_step (QgDoc *doc, const QgDelta *delta, QgProblems *problems)
{
  Step step = { doc, delta, NULL, NULL };
  QgDoc *next = NULL;

  if (doc->refs > 1 || delta->from == 0 || doc->revision == 0)
    {
      next = qg_doc_apply_delta (doc, delta, problems);
      if (next != NULL)
        qg_doc_unref (doc);
      return next;
    }
  if (!qg_delta_fits (doc, delta, problems))
    return NULL;
  step.sections = g_ptr_array_new_with_free_func (free_section);
  step.before = g_ptr_array_new_with_free_func (free_section);
  if (read_sections (&step, problems))
    {
      exchange (&step);
      if (is_valid (&step))
        {
          next = doc;
          doc->revision = delta->to;
        }
      else
        {
          qg_doc_validate (doc, problems);
          put_back (&step);
        }
    }
  g_ptr_array_unref (step.sections);
  g_ptr_array_unref (step.before);
  return next;
}

static gboolean
read_sections (Step *step, QgProblems *problems)
{
  for (guint i = 0; i < step->delta->items->len; i++)
    {
      const QgDeltaItem *item
          = &g_array_index (step->delta->items, QgDeltaItem, i);
      QgDocSection *section = NULL;

      if (item->text != NULL)
        section = qg_doc_item_parse (item, problems);
      g_ptr_array_add (step->sections, section);
    }
  return qg_problems_count (problems) == 0;
}

static void
exchange (Step *step)
{
  for (guint i = 0; i < step->delta->items->len; i++)
    {
      const char *id = g_array_index (step->delta->items, QgDeltaItem, i).id;
      QgDocSection *section = g_ptr_array_index (step->sections, i);
      QgDocSection *before = get_section (step->doc, id);

      g_ptr_array_add (step->before, before);
      if (before != NULL)
        {
          qg_doc_section_ref (before);
          forget_keys (step->doc, before);
        }
      set_section (step->doc, id, section);
    }
}

static void
put_back (Step *step)
{
  QgProblems none;

  for (guint i = step->delta->items->len; i > 0; i--)
    set_section (step->doc,
                 g_array_index (step->delta->items, QgDeltaItem, i - 1).id,
                 g_ptr_array_index (step->before, i - 1));
  qg_problems_init (&none, NULL);
  qg_doc_validate (step->doc, &none);
  qg_problems_clear (&none);
}

/* Puts in a section with a reference of its own, or takes one out. */
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
is_valid (const Step *step)
{
  for (guint i = 0; i < step->sections->len; i++)
    {
      QgDocSection *section = g_ptr_array_index (step->sections, i);
      const QgDocSection *before = g_ptr_array_index (step->before, i);

      if (section != NULL
          && (!learn_keys (step->doc, section)
              || !section_is_valid (step->doc, section)))
        return FALSE;
      if (section == NULL && before != NULL
          && !removal_is_valid (step->doc, before))
        return FALSE;
    }
  return TRUE;
}

static void
forget_keys (QgDoc *doc, const QgDocSection *section)
{
  if (section->kind != QG_DOC_WORKSPACE)
    return;
  for (guint i = 0; i < section->workspace.keys.n; i++)
    g_hash_table_remove (doc->keys, section->workspace.keys.bytes
                                        + (gsize)i * QG_SHA256_BYTES);
}

/* FALSE when another workspace has one of the keys. */
static gboolean
learn_keys (QgDoc *doc, QgDocSection *section)
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

/* Nothing that is left names the removed section. */
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
