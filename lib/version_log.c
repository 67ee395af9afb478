#include "version_log.h"

#include <string.h>

static void row_free (gpointer data);
static gboolean find (const QgVersionLog *log, const char *service,
                      const char *version, guint *index);
static gboolean add (QgVersionLog *log, const char *service,
                     const char *version);

void
qg_version_log_init (QgVersionLog *log)
{
  log->rows = g_ptr_array_new_with_free_func (row_free);
}

void
qg_version_log_clear (QgVersionLog *log)
{
  g_clear_pointer (&log->rows, g_ptr_array_unref);
}

static void
row_free (gpointer data)
{
  Qg__ServiceVersion *row = data;

  g_free (row->service);
  g_free (row->version);
  g_free (row);
}

static gboolean
find (const QgVersionLog *log, const char *service, const char *version,
      guint *index)
{
  for (guint i = 0; i < log->rows->len; i++)
    {
      const Qg__ServiceVersion *row = g_ptr_array_index (log->rows, i);

      if (strcmp (row->service, service) == 0
          && strcmp (row->version, version) == 0)
        {
          *index = i;
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
add (QgVersionLog *log, const char *service, const char *version)
{
  Qg__ServiceVersion *row;
  guint index;

  if (log->rows->len >= QG_VERSIONS_MAX || find (log, service, version, &index))
    return FALSE;
  row = g_new (Qg__ServiceVersion, 1);
  qg__service_version__init (row);
  row->service = g_strdup (service);
  row->version = g_strdup (version);
  g_ptr_array_add (log->rows, row);
  return TRUE;
}

gboolean
qg_version_log_apply (QgVersionLog *log, const Qg__VersionCommand *command)
{
  guint index;

  if (!command->ended)
    return add (log, command->service, command->version);
  if (!find (log, command->service, command->version, &index))
    return FALSE;
  g_ptr_array_remove_index (log->rows, index);
  return TRUE;
}

void
qg_version_log_restore (QgVersionLog *log, const Qg__ServiceVersion *row)
{
  add (log, row->service, row->version);
}

char *
qg_version_key (const char *service, const char *version)
{
  return g_strconcat (service, "\n", version, NULL);
}

gboolean
qg_version_log_has (const QgVersionLog *log, const char *service,
                    const char *version)
{
  guint index;

  return find (log, service, version, &index);
}
