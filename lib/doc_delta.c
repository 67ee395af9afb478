#include "libdoc.h"

#include <string.h>

static void apply_item (QgDoc *doc, const QgDeltaItem *item,
                        QgProblems *problems);
static void clear_item (gpointer item);
static int compare_items (gconstpointer a, gconstpointer b);
static void add_item (QgDelta *delta, QgStr *id, QgStr *text);

QgDoc *
qg_doc_apply_delta (const QgDoc *doc, const QgDelta *delta,
                    QgProblems *problems)
{
  if (!qg_delta_check_base (doc, delta, problems))
    return NULL;
  return qg_doc_apply_items (doc, delta, problems);
}

QgDoc *
qg_doc_apply_items (const QgDoc *doc, const QgDelta *delta,
                    QgProblems *problems)
{
  QgDoc *next = delta->from == 0 ? qg_doc_new () : qg_doc_copy (doc);

  next->revision = delta->to;
  for (guint i = 0; i < delta->items->len; i++)
    apply_item (next, &g_array_index (delta->items, QgDeltaItem, i), problems);
  if (qg_problems_count (problems) == 0)
    qg_doc_validate (next, problems);
  if (qg_problems_count (problems) == 0)
    return next;
  qg_doc_unref (next);
  return NULL;
}

QgDelta *
qg_delta_new (guint64 from, guint64 to)
{
  QgDelta *delta = g_new0 (QgDelta, 1);

  delta->refs = 1;
  delta->from = from;
  delta->to = to;
  delta->items = qg_delta_items_new ();
  return delta;
}

GArray *
qg_delta_items_new (void)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (QgDeltaItem));

  g_array_set_clear_func (items, clear_item);
  return items;
}

void
qg_delta_add (QgDelta *delta, const char *id, const char *text, gsize len)
{
  add_item (delta, qg_str_new (id),
            text != NULL ? qg_str_new_len (text, len) : NULL);
}

void
qg_delta_finish (QgDelta *delta)
{
  GArray *all = delta->items;

  g_array_sort (all, compare_items);
  delta->items = qg_delta_items_new ();
  for (guint i = 0; i < all->len; i++)
    if (i + 1 == all->len
        || compare_items (&g_array_index (all, QgDeltaItem, i),
                          &g_array_index (all, QgDeltaItem, i + 1))
               != 0)
      qg_delta_add_item (delta, &g_array_index (all, QgDeltaItem, i));
  g_array_unref (all);
}

QgDelta *
qg_delta_ref (QgDelta *delta)
{
  delta->refs++;
  return delta;
}

void
qg_delta_unref (QgDelta *delta)
{
  if (delta == NULL || --delta->refs > 0)
    return;
  g_array_unref (delta->items);
  g_free (delta);
}

QgDelta *
qg_delta_join (const QgDelta *first, const QgDelta *second)
{
  gboolean whole = first->from == 0 || second->from == 0;
  QgDelta *joined = qg_delta_new (whole ? 0 : first->from, second->to);
  guint i = 0;

  for (guint j = 0; j < second->items->len; j++)
    {
      const QgDeltaItem *later = &g_array_index (second->items, QgDeltaItem, j);
      int order = -1;

      for (; second->from != 0 && i < first->items->len && order < 0; i++)
        {
          const QgDeltaItem *earlier
              = &g_array_index (first->items, QgDeltaItem, i);

          order = strcmp (earlier->id, later->id);
          if (order > 0)
            break;
          if (order < 0)
            qg_delta_add_item (joined, earlier);
        }
      if (later->text != NULL || !whole)
        qg_delta_add_item (joined, later);
    }
  for (; second->from != 0 && i < first->items->len; i++)
    qg_delta_add_item (joined, &g_array_index (first->items, QgDeltaItem, i));
  return joined;
}

QgDelta *
qg_doc_diff (const QgDoc *from, const QgDoc *to)
{
  QgDelta *delta
      = qg_delta_new (from != NULL ? from->revision : 0, to->revision);
  GHashTableIter iter;
  gpointer value;

  for (int kind = 0; kind < QG_N_DOC_KINDS; kind++)
    {
      g_hash_table_iter_init (&iter, to->sections[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          QgDocSection *after = value;
          const QgDocSection *before
              = from != NULL
                    ? g_hash_table_lookup (from->sections[kind], after->name)
                    : NULL;

          if (before != after
              && (before == NULL || !g_str_equal (before->text, after->text)))
            add_item (delta, qg_str_ref (after->id), qg_str_ref (after->text));
        }
      if (from == NULL)
        continue;
      g_hash_table_iter_init (&iter, from->sections[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          QgDocSection *before = value;

          if (!g_hash_table_contains (to->sections[kind], before->name))
            add_item (delta, qg_str_ref (before->id), NULL);
        }
    }
  qg_delta_finish (delta);
  return delta;
}

gboolean
qg_delta_check_base (const QgDoc *doc, const QgDelta *delta,
                     QgProblems *problems)
{
  if (delta->from != 0 && delta->from != doc->revision)
    qg_problems_add (problems, 0, NULL, NULL,
                     "the change starts at revision %" G_GUINT64_FORMAT
                     ", but the document is at %" G_GUINT64_FORMAT
                     "; request the whole document",
                     delta->from, doc->revision);
  else if (delta->to <= doc->revision)
    qg_problems_add (problems, 0, NULL, NULL,
                     "revision %" G_GUINT64_FORMAT
                     " is not newer than %" G_GUINT64_FORMAT "; ignore it",
                     delta->to, doc->revision);
  return qg_problems_count (problems) == 0;
}

static void
apply_item (QgDoc *doc, const QgDeltaItem *item, QgProblems *problems)
{
  QgDocKind kind = qg_doc_kind_of (item->id);
  QgDocSection *section;

  if (item->text == NULL)
    {
      if (kind != QG_N_DOC_KINDS)
        g_hash_table_remove (doc->sections[kind], qg_doc_name_of (item->id));
      return;
    }
  section = qg_doc_item_parse (item, problems);
  if (section != NULL)
    qg_doc_insert (doc, section);
}

QgDocSection *
qg_doc_item_parse (const QgDeltaItem *item, QgProblems *problems)
{
  QgDocSection *section
      = qg_doc_section_parse (item->text, qg_str_len (item->text), 1, problems);

  if (section == NULL || g_str_equal (section->id, item->id))
    return section;
  qg_problems_add (problems, 0, item->id, NULL,
                   "the text is of [%s]; send it under its own name",
                   section->id);
  qg_doc_section_unref (section);
  return NULL;
}

static void
add_item (QgDelta *delta, QgStr *id, QgStr *text)
{
  QgDeltaItem item = { id, text };

  g_array_append_val (delta->items, item);
}

void
qg_delta_add_item (QgDelta *delta, const QgDeltaItem *item)
{
  add_item (delta, qg_str_ref (item->id),
            item->text != NULL ? qg_str_ref (item->text) : NULL);
}

static void
clear_item (gpointer item)
{
  QgDeltaItem *one = item;

  qg_str_unref (one->id);
  g_clear_pointer (&one->text, g_ref_string_release);
}

static int
compare_items (gconstpointer a, gconstpointer b)
{
  const QgDeltaItem *left = a;
  const QgDeltaItem *right = b;

  return strcmp (left->id, right->id);
}
