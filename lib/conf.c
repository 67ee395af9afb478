#include "event.h"
#include "libconf.h"

#include <string.h>

static void accept_doc (QgConf *conf, const Qg__ConfChange *change, QgDoc *next,
                        QgTime at);
static void keep_answer (QgConf *conf, const char *change_id,
                         const Qg__ConfResult *result);
static Qg__ConfResult *first_answer (const QgConf *conf, const char *change_id);

QgConf *
qg_conf_new (void)
{
  QgConf *conf = g_new0 (QgConf, 1);

  conf->refs = 1;
  conf->doc = qg_doc_new ();
  g_queue_init (&conf->history);
  g_queue_init (&conf->answers);
  conf->answered = g_hash_table_new (g_str_hash, g_str_equal);
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
  g_hash_table_unref (conf->answered);
  g_free (conf);
}

Qg__ConfResult *
qg_conf_apply (QgConf *conf, const Qg__ConfChange *change, QgTime at)
{
  Qg__ConfResult *result = first_answer (conf, change->change_id);
  QgDoc *next = NULL;

  if (result != NULL)
    return result;
  result = qg_conf_judge (conf, change, &next);
  if (next != NULL
      && !qg_holds (qg_doc_revision (next) == qg_doc_revision (conf->doc) + 1,
                    QG_EV_INV_REVISION,
                    "revision %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
                    qg_doc_revision (next), qg_doc_revision (conf->doc)))
    {
      qg_doc_unref (next);
      result->status = QG_E_INTERNAL;
      return result;
    }
  if (next != NULL)
    accept_doc (conf, change, next, at);
  if (qg_ini_is_name (change->change_id))
    keep_answer (conf, change->change_id, result);
  return result;
}

Qg__ConfResult *
qg_conf_check (const QgConf *conf, const Qg__ConfChange *change)
{
  Qg__ConfResult *result = first_answer (conf, change->change_id);
  QgDoc *next = NULL;

  if (result == NULL)
    result = qg_conf_judge (conf, change, &next);
  qg_doc_unref (next);
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

static void
accept_doc (QgConf *conf, const Qg__ConfChange *change, QgDoc *next, QgTime at)
{
  QgConfRow *row = g_new0 (QgConfRow, 1);

  row->revision = qg_doc_revision (next);
  row->author = qg_str_new (change->author);
  row->change_id = qg_str_new (change->change_id);
  row->at = at;
  row->undo = qg_doc_diff (next, conf->doc);
  qg_conf_push_row (conf, row);
  qg_doc_unref (conf->doc);
  conf->doc = next;
}

static void
keep_answer (QgConf *conf, const char *change_id, const Qg__ConfResult *result)
{
  gsize len = qg__conf_result__get_packed_size (result);
  guint8 *packed = g_malloc (len);

  qg__conf_result__pack (result, packed);
  qg_conf_push_answer (conf, qg_str_new (change_id),
                       g_bytes_new_take (packed, len));
}

static Qg__ConfResult *
first_answer (const QgConf *conf, const char *change_id)
{
  const QgConfAnswer *answer = g_hash_table_lookup (conf->answered, change_id);
  gsize len;
  gconstpointer packed;

  if (answer == NULL)
    return NULL;
  packed = g_bytes_get_data (answer->result, &len);
  return qg__conf_result__unpack (NULL, len, packed);
}
