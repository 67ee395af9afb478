#include "event.h"
#include "libconf.h"

#include <string.h>

static Qg__ConfResult *accept_delta (QgConf *conf, const Qg__ConfChange *change,
                                     const QgDelta *delta, QgTime at,
                                     Qg__ConfResult *result);
static QgDelta *build_undo (const QgDoc *doc, const QgDelta *delta);
static QgConfRow *history_row_new (const Qg__ConfChange *change, QgDelta *undo,
                                   QgTime at);
static void store_answer (QgConf *conf, const char *change_id,
                          const Qg__ConfResult *result);
static Qg__ConfResult *stored_answer (const QgConf *conf,
                                      const char *change_id);

QgConf *
qg_conf_new (void)
{
  QgConf *conf = g_new0 (QgConf, 1);

  conf->refs = 1;
  conf->doc = qg_doc_new ();
  g_queue_init (&conf->history);
  g_queue_init (&conf->answers);
  conf->answers_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return conf;
}

QgConf *
qg_conf_ref (QgConf *conf)
{
  conf->refs++;
  return conf;
}

void
qg_conf_unref (QgConf *conf)
{
  if (conf == NULL || --conf->refs > 0)
    return;
  qg_doc_unref (conf->doc);
  g_queue_clear_full (&conf->history, qg_conf_row_free);
  g_queue_clear_full (&conf->answers, qg_conf_answer_free);
  g_hash_table_unref (conf->answers_by_id);
  g_free (conf);
}

Qg__ConfResult *
qg_conf_apply (QgConf *conf, const Qg__ConfChange *change, QgTime at)
{
  Qg__ConfResult *result = stored_answer (conf, change->change_id);
  QgDelta *delta;

  if (result != NULL)
    return result;
  result = qg_conf_evaluate (conf, change, &delta);
  if (delta != NULL)
    {
      result = accept_delta (conf, change, delta, at, result);
      qg_delta_unref (delta);
    }
  if (qg_ini_is_name (change->change_id))
    store_answer (conf, change->change_id, result);
  return result;
}

Qg__ConfResult *
qg_conf_check (const QgConf *conf, const Qg__ConfChange *change)
{
  Qg__ConfResult *result = stored_answer (conf, change->change_id);
  QgProblems problems;
  QgDelta *delta;
  QgDoc *next;

  if (result != NULL)
    return result;
  result = qg_conf_evaluate (conf, change, &delta);
  if (delta == NULL)
    return result;
  qg_problems_init (&problems, NULL);
  next = qg_doc_apply_items (conf->doc, delta, &problems);
  if (next == NULL)
    {
      qg__conf_result__free_unpacked (result, NULL);
      result = qg_conf_invalid_result (conf, &problems);
    }
  qg_doc_unref (next);
  qg_problems_clear (&problems);
  qg_delta_unref (delta);
  return result;
}

QgDoc *
qg_conf_doc (const QgConf *conf)
{
  return conf->doc;
}

guint64
qg_conf_revision (const QgConf *conf)
{
  return qg_doc_revision (conf->doc);
}

/* Takes ownership of result. Returns result, or an error answer when the change
 * leads to an invalid document. */
static Qg__ConfResult *
accept_delta (QgConf *conf, const Qg__ConfChange *change, const QgDelta *delta,
              QgTime at, Qg__ConfResult *result)
{
  guint64 before = qg_doc_revision (conf->doc);
  QgDelta *undo = build_undo (conf->doc, delta);
  QgProblems problems;
  QgDoc *next;

  if (!qg_check_invariant (delta->to == before + 1, QG_EV_INV_REVISION,
                           "revision %" G_GUINT64_FORMAT
                           " after %" G_GUINT64_FORMAT,
                           delta->to, before))
    {
      result->status = QG_E_INTERNAL;
      qg_delta_unref (undo);
      return result;
    }
  qg_problems_init (&problems, NULL);
  next = qg_doc_update (conf->doc, delta, &problems);
  if (next == NULL)
    {
      qg__conf_result__free_unpacked (result, NULL);
      result = qg_conf_invalid_result (conf, &problems);
      qg_delta_unref (undo);
    }
  else
    {
      conf->doc = next;
      qg_conf_push_row (conf, history_row_new (change, undo, at));
    }
  qg_problems_clear (&problems);
  return result;
}

/* A delta that restores the current text of every section in delta. */
static QgDelta *
build_undo (const QgDoc *doc, const QgDelta *delta)
{
  QgDelta *undo = qg_delta_new (delta->to, delta->from);

  for (guint i = 0; i < delta->items->len; i++)
    {
      const char *id = g_array_index (delta->items, QgDeltaItem, i).id;
      const QgDocSection *section = qg_doc_section (doc, id);

      if (section != NULL)
        qg_delta_add (undo, id, section->text, qg_str_len (section->text));
      else
        qg_delta_add (undo, id, NULL, 0);
    }
  qg_delta_finish (undo);
  return undo;
}

/* Takes ownership of undo. */
static QgConfRow *
history_row_new (const Qg__ConfChange *change, QgDelta *undo, QgTime at)
{
  QgConfRow *row = g_new0 (QgConfRow, 1);

  row->revision = undo->from;
  row->author = qg_str_new (change->author);
  row->change_id = qg_str_new (change->change_id);
  row->at = at;
  row->undo = undo;
  return row;
}

static void
store_answer (QgConf *conf, const char *change_id, const Qg__ConfResult *result)
{
  gsize len = qg__conf_result__get_packed_size (result);
  guint8 *packed = g_malloc (len);

  qg__conf_result__pack (result, packed);
  qg_conf_push_answer (conf, qg_str_new (change_id),
                       g_bytes_new_take (packed, len));
}

static Qg__ConfResult *
stored_answer (const QgConf *conf, const char *change_id)
{
  const QgConfAnswer *answer
      = g_hash_table_lookup (conf->answers_by_id, change_id);
  gsize len;
  gconstpointer packed;

  if (answer == NULL)
    return NULL;
  packed = g_bytes_get_data (answer->result, &len);
  return qg__conf_result__unpack (NULL, len, packed);
}
