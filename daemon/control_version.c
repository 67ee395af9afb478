#include "lib/event.h"
#include "lib/origin.h"
#include "lib/version_log.h"
#include "libcontrol.h"

/* Keeps the versions of the targets' software in the log (lib/version_log.h):
 * adds those of new targets, and ends those whose targets have been gone for so
 * long that no stream of theirs can be taken up any more. */

/** Values of QgControl.version_commands. */
enum
{
  COMMAND_IN_PROGRESS = 1,
  COMMAND_FAILED, /* or its outcome is not known */
};

/** A command that waits for the log. */
typedef struct
{
  QgControl *control;
  char *key; /* service and version, for QgControl.version_commands */
  char *service;
  char *version;
  gboolean ended;
} Save;

static void propose (QgControl *control, const char *service,
                     const char *version, gboolean ended);
static void on_saved (gpointer user, QgStatus status, const char *message,
                      const Qg__StateResult *result);
static void save_free (Save *save);

void
control_versions_start (QgControl *control)
{
  control_versions_stop (control);
  control->version_commands
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
control_versions_stop (QgControl *control)
{
  g_clear_pointer (&control->version_commands, g_hash_table_unref);
}

gboolean
control_version_is_saved (const QgControl *control, const char *service,
                          const char *version)
{
  g_autofree char *key = qg_version_key (service, version);

  return qg_version_log_has (qg_rsm_versions (control->rsm), service, version)
         && !g_hash_table_contains (control->version_commands, key);
}

void
control_version_note (QgControl *control, const char *service,
                      const char *version)
{
  gboolean is_full
      = qg_rsm_versions (control->rsm)->rows->len >= QG_VERSIONS_MAX;

  if (!is_full && !control_version_is_saved (control, service, version))
    propose (control, service, version, FALSE);
}

static void
propose (QgControl *control, const char *service, const char *version,
         gboolean ended)
{
  char *key = qg_version_key (service, version);
  GBytes *command;
  Save *save;

  if (GPOINTER_TO_UINT (g_hash_table_lookup (control->version_commands, key))
      == COMMAND_IN_PROGRESS)
    {
      g_free (key);
      return;
    }
  g_hash_table_insert (control->version_commands, g_strdup (key),
                       GUINT_TO_POINTER (COMMAND_IN_PROGRESS));
  save = g_new0 (Save, 1);
  save->control = control;
  save->key = key;
  save->service = g_strdup (service);
  save->version = g_strdup (version);
  save->ended = ended;
  command = qg_rsm_command_version (service, version, ended,
                                    control_log_now (control));
  control_propose (control, command, on_saved, save);
  g_bytes_unref (command);
}

/* What failed is proposed again at the next heartbeat, and so is what may still
 * be applied: relays have to be told of it when it is. Targets that came back
 * while their version ended are added again. */
static void
on_saved (gpointer user, QgStatus status, const char *message,
          const Qg__StateResult *result)
{
  Save *save = user;
  QgControl *control = save->control;

  qg_event (QG_EV_TARGET_VERSION, "service=%s version=%s state=%s: %s %s",
            save->service, save->version, save->ended ? "ended" : "serves",
            qg_status_name (status), message);
  if (control->version_commands != NULL && status == QG_OK)
    g_hash_table_remove (control->version_commands, save->key);
  else if (control->version_commands != NULL)
    g_hash_table_insert (control->version_commands, g_strdup (save->key),
                         GUINT_TO_POINTER (COMMAND_FAILED));
  if (control->registry != NULL && status == QG_OK)
    {
      qg_registry_touch_version (control->registry, save->service,
                                 save->version);
      control_push_targets (control);
    }
  save_free (save);
}

static void
save_free (Save *save)
{
  g_free (save->key);
  g_free (save->service);
  g_free (save->version);
  g_free (save);
}

void
control_versions_tick (QgControl *control)
{
  const GPtrArray *rows = qg_rsm_versions (control->rsm)->rows;
  QgTime now = qg_clock_now ();

  if (control->registry == NULL || now < control->next_versions_check)
    return;
  if (rows->len >= QG_VERSIONS_MAX)
    qg_event (QG_EV_TARGET_VERSION,
              "versions=%u: no more are recorded, and relays get no targets of "
              "others, until some have ended",
              rows->len);
  control->next_versions_check = now + CONTROL_VERSIONS_CHECK_MS * QG_MSEC;
  for (guint i = 0; i < rows->len; i++)
    {
      const Qg__ServiceVersion *row = g_ptr_array_index (rows, i);
      QgTime last_seen = qg_registry_version_seen (control->registry,
                                                   row->service, row->version);

      if (now - MAX (last_seen, control->lead_since) > QG_ORIGIN_HOLD)
        propose (control, row->service, row->version, TRUE);
    }
}
