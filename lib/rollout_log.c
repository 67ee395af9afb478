#include "rollout_log.h"

#include <string.h>

static void row_free (gpointer data);
static Qg__RolloutRow *row_copy (const Qg__RolloutRow *row);
static QgStatus apply_begin (QgRolloutLog *log, guint64 index, QgTime now,
                             const Qg__RolloutBegin *begin, gboolean *changed,
                             QgErr *err);
static QgStatus apply_end (QgRolloutLog *log, QgTime now,
                           const Qg__RolloutEnd *end, gboolean *changed,
                           QgErr *err);
static int compare_rows (gconstpointer a, gconstpointer b);

static void
row_free (gpointer data)
{
  qg__rollout_row__free_unpacked (data, NULL);
}

void
qg_rollout_log_init (QgRolloutLog *log)
{
  log->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
}

void
qg_rollout_log_clear (QgRolloutLog *log)
{
  g_clear_pointer (&log->by_service, g_hash_table_unref);
}

static Qg__RolloutRow *
row_copy (const Qg__RolloutRow *row)
{
  gsize len = qg__rollout_row__get_packed_size (row);
  g_autofree guint8 *data = g_malloc (len + 1);

  qg__rollout_row__pack (row, data);
  return qg__rollout_row__unpack (NULL, len, data);
}

QgStatus
qg_rollout_check_order (const char *service, const char *version,
                        QgTime duration, QgErr *err)
{
  if (service[0] == '\0' || strlen (service) > QG_ROLLOUT_NAME_BYTES)
    return qg_fail (
        err, QG_E_INVALID,
        "the service must have 1 to %d bytes; name a service of the "
        "manifest",
        QG_ROLLOUT_NAME_BYTES);
  if (version[0] == '\0' || strlen (version) > QG_ROLLOUT_NAME_BYTES)
    return qg_fail (
        err, QG_E_INVALID,
        "the version must have 1 to %d bytes; name the version that "
        "the new targets state",
        QG_ROLLOUT_NAME_BYTES);
  if (duration <= 0 || duration > QG_ROLLOUT_DURATION_MAX)
    return qg_fail (err, QG_E_INVALID,
                    "the duration must be above 0 and at most a week; give it "
                    "in seconds");
  return QG_OK;
}

gboolean
qg_rollout_repeats (const Qg__RolloutRow *row, const char *version,
                    QgTime duration, QgTime now)
{
  return row != NULL && strcmp (row->version, version) == 0
         && row->duration_us == duration
         && (row->state == QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS
             || now - row->began_us <= QG_ROLLOUT_REPEAT_TIME);
}

static QgStatus
apply_begin (QgRolloutLog *log, guint64 index, QgTime now,
             const Qg__RolloutBegin *begin, gboolean *changed, QgErr *err)
{
  const Qg__RolloutRow *held = qg_rollout_log_find (log, begin->service);
  Qg__RolloutRow row = QG__ROLLOUT_ROW__INIT;
  Qg__RolloutRow *copy;

  if (qg_rollout_check_order (begin->service, begin->version,
                              begin->duration_us, err)
      != QG_OK)
    return err->status;
  if (qg_rollout_repeats (held, begin->version, begin->duration_us, now))
    return QG_OK;
  if (held != NULL && held->state == QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS)
    return qg_fail (err, QG_E_INVALID,
                    "the service already has a rollout to version %s in "
                    "progress; wait for its end or abort it",
                    held->version);
  if (held == NULL && g_hash_table_size (log->by_service) >= QG_ROLLOUTS_MAX)
    return qg_fail (err, QG_E_INVALID,
                    "the fleet holds rollouts of %d services, its limit",
                    QG_ROLLOUTS_MAX);
  row.service = begin->service;
  row.version = begin->version;
  row.id = index;
  row.began_us = now;
  row.duration_us = begin->duration_us;
  copy = row_copy (&row);
  g_hash_table_replace (log->by_service, copy->service, copy);
  *changed = TRUE;
  return QG_OK;
}

/* A verdict on a rollout that has ended or was replaced changes nothing. */
static QgStatus
apply_end (QgRolloutLog *log, QgTime now, const Qg__RolloutEnd *end,
           gboolean *changed, QgErr *err)
{
  Qg__RolloutRow *row = g_hash_table_lookup (log->by_service, end->service);

  if (row == NULL || row->id != end->id
      || row->state != QG__ROLLOUT_STATE__ROLLOUT_IN_PROGRESS)
    return qg_fail (err, QG_E_CONFLICT,
                    "this rollout is no longer in progress; read its state");
  if (end->state != QG__ROLLOUT_STATE__ROLLOUT_COMPLETED
      && end->state != QG__ROLLOUT_STATE__ROLLOUT_REVERTED)
    return qg_fail (err, QG_E_INVALID, "the state is no end of a rollout");
  row->state = end->state;
  row->ended_us = now;
  if (row->reason != protobuf_c_empty_string)
    g_free (row->reason);
  row->reason = g_strdup (end->reason);
  *changed = TRUE;
  return QG_OK;
}

void
qg_rollout_log_apply (QgRolloutLog *log, guint64 index, QgTime now,
                      const Qg__RolloutCommand *command,
                      Qg__RolloutResult *result)
{
  QgErr err = { 0 };
  gboolean changed = FALSE;
  QgStatus status = QG_E_INVALID;

  if (command->kind_case == QG__ROLLOUT_COMMAND__KIND_BEGIN)
    status = apply_begin (log, index, now, command->begin, &changed, &err);
  else if (command->kind_case == QG__ROLLOUT_COMMAND__KIND_END)
    status = apply_end (log, now, command->end, &changed, &err);
  result->changed = changed;
  result->status = status;
  result->message = g_strdup (err.message);
}

const Qg__RolloutRow *
qg_rollout_log_find (const QgRolloutLog *log, const char *service)
{
  return g_hash_table_lookup (log->by_service, service);
}

static int
compare_rows (gconstpointer a, gconstpointer b)
{
  const Qg__RolloutRow *const *left = a;
  const Qg__RolloutRow *const *right = b;

  return strcmp ((*left)->service, (*right)->service);
}

Qg__RolloutRow **
qg_rollout_log_list (const QgRolloutLog *log, size_t *n)
{
  GPtrArray *rows = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, log->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    g_ptr_array_add (rows, row);
  g_ptr_array_sort (rows, compare_rows);
  *n = rows->len;
  return (Qg__RolloutRow **)g_ptr_array_free (rows, FALSE);
}

void
qg_rollout_log_restore (QgRolloutLog *log, const Qg__RolloutRow *row)
{
  Qg__RolloutRow *copy = row_copy (row);

  g_hash_table_replace (log->by_service, copy->service, copy);
}

const char *
qg_rollout_state_name (Qg__RolloutState state)
{
  switch (state)
    {
    case QG__ROLLOUT_STATE__ROLLOUT_COMPLETED:
      return "completed";
    case QG__ROLLOUT_STATE__ROLLOUT_REVERTED:
      return "reverted";
    default:
      return "in_progress";
    }
}
