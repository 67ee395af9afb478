#include "libconf.h"

#include <string.h>

static gsize row_bytes (const QgConfRow *row);
static void drop_oldest (QgConf *conf);
static QgDelta *build_undo (const QgConf *conf, guint64 revision);

void
qg_conf_push_row (QgConf *conf, QgConfRow *row)
{
  row->bytes = row_bytes (row);
  conf->history_bytes += row->bytes;
  g_queue_push_head (&conf->history, row);
  while (conf->history.length > QG_CONF_MAX_REVISIONS
         || (conf->history_bytes > QG_CONF_MAX_HISTORY_BYTES
             && conf->history.length > 1))
    drop_oldest (conf);
}

void
qg_conf_push_answer (QgConf *conf, QgStr *change_id, GBytes *result)
{
  QgConfAnswer *answer = g_new0 (QgConfAnswer, 1);

  answer->change_id = change_id;
  answer->result = result;
  g_queue_push_head (&conf->answers, answer);
  g_hash_table_insert (conf->answers_by_id, answer->change_id, answer);
  while (conf->answers.length > QG_CONF_MAX_ANSWERS)
    {
      QgConfAnswer *oldest = g_queue_pop_tail (&conf->answers);

      g_hash_table_remove (conf->answers_by_id, oldest->change_id);
      qg_conf_answer_free (oldest);
    }
}

void
qg_conf_row_free (gpointer row)
{
  QgConfRow *one = row;

  qg_str_unref (one->author);
  qg_str_unref (one->change_id);
  qg_delta_unref (one->undo);
  g_free (one);
}

void
qg_conf_answer_free (gpointer answer)
{
  QgConfAnswer *one = answer;

  qg_str_unref (one->change_id);
  g_bytes_unref (one->result);
  g_free (one);
}

const QgConfRow *
qg_conf_find_row (const QgConf *conf, guint64 revision)
{
  guint64 newest = qg_doc_revision (conf->doc);

  if (revision > newest || newest - revision >= conf->history.length)
    return NULL;
  return g_queue_peek_nth ((GQueue *)&conf->history,
                           (guint)(newest - revision));
}

QgDoc *
qg_conf_doc_at (const QgConf *conf, guint64 revision, QgErr *err)
{
  guint64 newest = qg_doc_revision (conf->doc);
  QgProblems problems;
  QgDelta *undo;
  QgDoc *doc;

  if (revision > newest || newest - revision > conf->history.length)
    {
      qg_fail (err, QG_E_NOT_FOUND,
               "revision %" G_GUINT64_FORMAT " is not in the history; give "
               "one from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
               revision, newest - conf->history.length, newest);
      return NULL;
    }
  if (revision == newest)
    return qg_doc_ref (conf->doc);
  qg_problems_init (&problems, NULL);
  undo = build_undo (conf, revision);
  doc = qg_doc_apply_items (conf->doc, undo, &problems);
  if (doc == NULL)
    qg_fail (err, QG_E_INTERNAL,
             "cannot rebuild revision %" G_GUINT64_FORMAT " from the history",
             revision);
  qg_problems_clear (&problems);
  qg_delta_unref (undo);
  return doc;
}

QgDelta *
qg_conf_delta (const QgConf *conf, guint64 from)
{
  guint64 newest = qg_doc_revision (conf->doc);
  GHashTable *seen;
  QgDelta *delta;

  if (from == 0 || from > newest || newest - from > conf->history.length)
    return qg_doc_diff (NULL, conf->doc);
  seen = g_hash_table_new (g_str_hash, g_str_equal);
  delta = qg_delta_new (from, newest);
  for (GList *node = conf->history.head; node != NULL; node = node->next)
    {
      const QgConfRow *row = node->data;

      if (row->revision <= from)
        break;
      for (guint i = 0; i < row->undo->items->len; i++)
        {
          char *id = g_array_index (row->undo->items, QgDeltaItem, i).id;
          const QgDocSection *section = qg_doc_section (conf->doc, id);

          if (!g_hash_table_add (seen, id))
            continue;
          if (section != NULL)
            qg_delta_add (delta, id, section->text, qg_str_len (section->text));
          else
            qg_delta_add (delta, id, NULL, 0);
        }
    }
  g_hash_table_unref (seen);
  qg_delta_finish (delta);
  return delta;
}

guint
qg_conf_history_length (const QgConf *conf)
{
  return conf->history.length;
}

gboolean
qg_conf_history (const QgConf *conf, guint nth, QgConfRevision *row)
{
  const QgConfRow *entry = g_queue_peek_nth ((GQueue *)&conf->history, nth);

  if (entry == NULL)
    return FALSE;
  row->revision = entry->revision;
  row->author = entry->author;
  row->change_id = entry->change_id;
  row->at = entry->at;
  row->undo = entry->undo;
  return TRUE;
}

static gsize
row_bytes (const QgConfRow *row)
{
  gsize bytes
      = sizeof *row + qg_str_len (row->author) + qg_str_len (row->change_id);

  for (guint i = 0; i < row->undo->items->len; i++)
    {
      const QgDeltaItem *item
          = &g_array_index (row->undo->items, QgDeltaItem, i);

      bytes += sizeof *item + qg_str_len (item->id)
               + (item->text != NULL ? qg_str_len (item->text) : 0);
    }
  return bytes;
}

static void
drop_oldest (QgConf *conf)
{
  QgConfRow *row = g_queue_pop_tail (&conf->history);

  conf->history_bytes -= row->bytes;
  qg_conf_row_free (row);
}

/* A delta from the current document back to revision. Reads the changes after
 * revision, newest first. For each section, the undo text that is read last is
 * the text of the section at revision. */
static QgDelta *
build_undo (const QgConf *conf, guint64 revision)
{
  QgDelta *undo = qg_delta_new (qg_doc_revision (conf->doc), revision);
  GHashTable *texts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer id;
  gpointer text;

  for (GList *node = conf->history.head; node != NULL; node = node->next)
    {
      const QgConfRow *row = node->data;

      if (row->revision <= revision)
        break;
      for (guint i = 0; i < row->undo->items->len; i++)
        {
          QgDeltaItem *item = &g_array_index (row->undo->items, QgDeltaItem, i);

          g_hash_table_insert (texts, item->id, item->text);
        }
    }
  g_hash_table_iter_init (&iter, texts);
  while (g_hash_table_iter_next (&iter, &id, &text))
    qg_delta_add (undo, id, text, text != NULL ? qg_str_len (text) : 0);
  g_hash_table_unref (texts);
  qg_delta_finish (undo);
  return undo;
}
