#include "libconf.h"

#include <string.h>

static Qg__ConfRow *pack_row (const QgConfRow *row);
static Qg__ConfAnswer *pack_answer (const QgConfAnswer *answer);
static gboolean restore_document (QgConf *conf,
                                  const Qg__ConfSnapshot *snapshot);
static gboolean restore_history (QgConf *conf,
                                 const Qg__ConfSnapshot *snapshot);
static QgDelta *unpack_undo (const Qg__ConfRow *packed);
static void restore_answers (QgConf *conf, const Qg__ConfSnapshot *snapshot);
static void swap_state (QgConf *a, QgConf *b);

Qg__ConfSnapshot *
qg_conf_snapshot (const QgConf *conf)
{
  Qg__ConfSnapshot *snapshot = g_new0 (Qg__ConfSnapshot, 1);
  gsize len;
  size_t i = 0;

  qg__conf_snapshot__init (snapshot);
  snapshot->revision = qg_doc_revision (conf->doc);
  snapshot->document.data = (guint8 *)qg_doc_format (conf->doc, &len);
  snapshot->document.len = len;
  snapshot->n_history = conf->history.length;
  snapshot->history = g_new (Qg__ConfRow *, snapshot->n_history);
  for (GList *node = conf->history.head; node != NULL; node = node->next)
    snapshot->history[i++] = pack_row (node->data);
  i = 0;
  snapshot->n_answers = conf->answers.length;
  snapshot->answers = g_new (Qg__ConfAnswer *, snapshot->n_answers);
  for (GList *node = conf->answers.head; node != NULL; node = node->next)
    snapshot->answers[i++] = pack_answer (node->data);
  return snapshot;
}

QgStatus
qg_conf_restore (QgConf *conf, const Qg__ConfSnapshot *snapshot, QgErr *err)
{
  QgConf *restored = qg_conf_new ();
  gboolean valid = restore_document (restored, snapshot)
                   && restore_history (restored, snapshot);

  if (valid)
    {
      restore_answers (restored, snapshot);
      swap_state (conf, restored);
    }
  qg_conf_unref (restored);
  if (valid)
    return QG_OK;
  return qg_fail (err, QG_E_CORRUPT,
                  "the configuration in the snapshot is not readable; restore "
                  "this member from a snapshot of another member");
}

static Qg__ConfRow *
pack_row (const QgConfRow *row)
{
  Qg__ConfRow *packed = g_new0 (Qg__ConfRow, 1);

  qg__conf_row__init (packed);
  packed->revision = row->revision;
  packed->author = g_strdup (row->author);
  packed->change_id = g_strdup (row->change_id);
  packed->at_us = row->at;
  packed->n_undo = row->undo->items->len;
  packed->undo = g_new (Qg__ConfSection *, packed->n_undo);
  for (guint i = 0; i < packed->n_undo; i++)
    {
      const QgDeltaItem *item
          = &g_array_index (row->undo->items, QgDeltaItem, i);
      Qg__ConfSection *section = g_new0 (Qg__ConfSection, 1);

      qg__conf_section__init (section);
      section->id = g_strdup (item->id);
      section->removed = item->text == NULL;
      if (item->text != NULL)
        {
          section->text.len = qg_str_len (item->text);
          section->text.data = g_memdup2 (item->text, section->text.len);
        }
      packed->undo[i] = section;
    }
  return packed;
}

static Qg__ConfAnswer *
pack_answer (const QgConfAnswer *answer)
{
  Qg__ConfAnswer *packed = g_new0 (Qg__ConfAnswer, 1);
  gsize len;
  gconstpointer data = g_bytes_get_data (answer->result, &len);

  qg__conf_answer__init (packed);
  packed->change_id = g_strdup (answer->change_id);
  packed->result = qg__conf_result__unpack (NULL, len, data);
  return packed;
}

static gboolean
restore_document (QgConf *conf, const Qg__ConfSnapshot *snapshot)
{
  QgProblems problems;
  QgDoc *doc;

  qg_problems_init (&problems, NULL);
  doc = qg_doc_parse ((const char *)snapshot->document.data,
                      snapshot->document.len, snapshot->revision, &problems);
  qg_problems_clear (&problems);
  if (doc == NULL)
    return FALSE;
  qg_doc_unref (conf->doc);
  conf->doc = doc;
  return TRUE;
}

static gboolean
restore_history (QgConf *conf, const Qg__ConfSnapshot *snapshot)
{
  if (snapshot->n_history > snapshot->revision)
    return FALSE;
  for (size_t i = snapshot->n_history; i > 0; i--)
    {
      const Qg__ConfRow *packed = snapshot->history[i - 1];
      QgConfRow *row;

      if (packed->revision != snapshot->revision - (i - 1))
        return FALSE;
      row = g_new0 (QgConfRow, 1);
      row->revision = packed->revision;
      row->author = qg_str_new (packed->author);
      row->change_id = qg_str_new (packed->change_id);
      row->at = packed->at_us;
      row->undo = unpack_undo (packed);
      qg_conf_push_row (conf, row);
    }
  return TRUE;
}

static QgDelta *
unpack_undo (const Qg__ConfRow *packed)
{
  QgDelta *undo = qg_delta_new (packed->revision, packed->revision - 1);

  for (size_t i = 0; i < packed->n_undo; i++)
    qg_delta_add (undo, packed->undo[i]->id,
                  packed->undo[i]->removed ? NULL
                  : packed->undo[i]->text.data != NULL
                      ? (char *)packed->undo[i]->text.data
                      : "",
                  packed->undo[i]->text.len);
  qg_delta_finish (undo);
  return undo;
}

static void
restore_answers (QgConf *conf, const Qg__ConfSnapshot *snapshot)
{
  for (size_t i = snapshot->n_answers; i > 0; i--)
    {
      const Qg__ConfAnswer *packed = snapshot->answers[i - 1];
      gsize len;
      guint8 *data;

      if (packed->result == NULL
          || g_hash_table_contains (conf->answers_by_id, packed->change_id))
        continue;
      len = qg__conf_result__get_packed_size (packed->result);
      data = g_malloc (len);
      qg__conf_result__pack (packed->result, data);
      qg_conf_push_answer (conf, qg_str_new (packed->change_id),
                           g_bytes_new_take (data, len));
    }
}

static void
swap_state (QgConf *a, QgConf *b)
{
  QgConf saved = *a;

  *a = *b;
  *b = saved;
  b->refs = a->refs;
  a->refs = saved.refs;
}
