#include "manifest_log.h"

#include <string.h>

static gboolean apply_put (QgManifestLog *log, const Qg__ManifestPut *put,
                           QgTime now);
static gboolean apply_drain (QgManifestLog *log,
                             const Qg__ManifestDrain *drain);
static gint compare_names (gconstpointer a, gconstpointer b);

void
qg_manifest_log_init (QgManifestLog *log)
{
  memset (log, 0, sizeof *log);
  log->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
qg_manifest_log_clear (QgManifestLog *log)
{
  g_clear_pointer (&log->text, g_bytes_unref);
  g_clear_pointer (&log->drained, g_hash_table_unref);
}

void
qg_manifest_log_apply (QgManifestLog *log, const Qg__ManifestCommand *command,
                       QgTime now, Qg__ManifestResult *result)
{
  switch (command->kind_case)
    {
    case QG__MANIFEST_COMMAND__KIND_PUT:
      result->changed = apply_put (log, command->put, now);
      break;
    case QG__MANIFEST_COMMAND__KIND_DRAIN:
      result->changed = apply_drain (log, command->drain);
      break;
    default:
      break;
    }
  log->change += result->changed ? 1 : 0;
  result->change = log->change;
}

gboolean
qg_manifest_log_is_current (const QgManifestLog *log, guint64 version)
{
  return log->text != NULL && version <= log->version;
}

static gboolean
apply_put (QgManifestLog *log, const Qg__ManifestPut *put, QgTime now)
{
  if (qg_manifest_log_is_current (log, put->version))
    return FALSE;
  log->previous = log->version;
  log->changed_at = now;
  log->version = put->version;
  g_clear_pointer (&log->text, g_bytes_unref);
  log->text = g_bytes_new (put->text.data, put->text.len);
  return TRUE;
}

static gboolean
apply_drain (QgManifestLog *log, const Qg__ManifestDrain *drain)
{
  if (drain->drained)
    return g_hash_table_add (log->drained, g_strdup (drain->dc));
  return g_hash_table_remove (log->drained, drain->dc);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
qg_manifest_log_drained (const QgManifestLog *log)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, log->drained);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  g_ptr_array_sort (names, compare_names);
  return names;
}

Qg__ManifestSnapshot *
qg_manifest_log_snapshot (const QgManifestLog *log)
{
  Qg__ManifestSnapshot *snapshot = g_new0 (Qg__ManifestSnapshot, 1);
  GPtrArray *names = qg_manifest_log_drained (log);
  gsize len = 0;
  gconstpointer text
      = log->text != NULL ? g_bytes_get_data (log->text, &len) : NULL;

  qg__manifest_snapshot__init (snapshot);
  snapshot->change = log->change;
  snapshot->version = log->version;
  snapshot->previous = log->previous;
  snapshot->changed_us = log->changed_at;
  if (len > 0)
    {
      snapshot->text.data = g_memdup2 (text, len);
      snapshot->text.len = len;
    }
  snapshot->n_drained = names->len;
  snapshot->drained = g_new0 (char *, names->len + 1);
  for (guint i = 0; i < names->len; i++)
    snapshot->drained[i] = g_strdup (g_ptr_array_index (names, i));
  g_ptr_array_unref (names);
  return snapshot;
}

void
qg_manifest_log_restore (QgManifestLog *log,
                         const Qg__ManifestSnapshot *snapshot)
{
  if (snapshot == NULL)
    return;
  log->change = snapshot->change;
  log->version = snapshot->version;
  log->previous = snapshot->previous;
  log->changed_at = snapshot->changed_us;
  g_clear_pointer (&log->text, g_bytes_unref);
  if (snapshot->text.len > 0)
    log->text = g_bytes_new (snapshot->text.data, snapshot->text.len);
  g_hash_table_remove_all (log->drained);
  for (size_t i = 0; i < snapshot->n_drained; i++)
    g_hash_table_add (log->drained, g_strdup (snapshot->drained[i]));
}
