#include "lib/event.h"
#include "libcontrol.h"

/** A proposed change and its callback. */
typedef struct
{
  QgControlDone done;
  gpointer user;
  char *what;
} Change;

static Change *change_new (QgControlDone done, gpointer user, char *what);
static void on_change_done (gpointer user, QgStatus status, const char *message,
                            const Qg__StateResult *result);
static void change_finish (Change *change, QgStatus status,
                           const char *message);

void
qg_control_set_manifest_reader (QgControl *control, QgManifestReadFunc read)
{
  control->read_manifest = read;
}

static Change *
change_new (QgControlDone done, gpointer user, char *what)
{
  Change *change = g_new0 (Change, 1);

  change->done = done;
  change->user = user;
  change->what = what;
  return change;
}

void
qg_control_put_manifest (QgControl *control, GBytes *text, QgControlDone done,
                         gpointer user)
{
  QgErr err;
  QgManifest *manifest = control->read_manifest (text, &err);
  GBytes *command;
  guint64 version;
  Change *change;

  if (manifest == NULL)
    {
      qg_event (QG_EV_MANIFEST_REFUSED, "%s", err.message);
      done (user, QG_E_INVALID, err.message);
      return;
    }
  version = manifest->version;
  qg_manifest_unref (manifest);
  change = change_new (
      done, user, g_strdup_printf ("manifest %" G_GUINT64_FORMAT, version));
  if (control_may_serve (control, &err) != QG_OK)
    {
      change_finish (change, err.status, err.message);
      return;
    }
  if (qg_manifest_log_is_current (qg_rsm_manifest (control->rsm), version))
    {
      change_finish (change, QG_OK,
                     "this version or a newer one is already stored");
      return;
    }
  command = qg_rsm_command_manifest (version, text, g_get_real_time ());
  control_propose (control, command, on_change_done, change);
  g_bytes_unref (command);
}

void
qg_control_drain_dc (QgControl *control, const char *dc, gboolean drained,
                     QgControlDone done, gpointer user)
{
  GBytes *command = qg_rsm_command_drain (dc, drained, g_get_real_time ());
  Change *change = change_new (
      done, user, g_strdup_printf ("%s %s", drained ? "drain" : "return", dc));

  control_propose (control, command, on_change_done, change);
  g_bytes_unref (command);
}

static void
on_change_done (gpointer user, QgStatus status, const char *message,
                const Qg__StateResult *result)
{
  change_finish (user, status, message);
}

static void
change_finish (Change *change, QgStatus status, const char *message)
{
  qg_event (QG_EV_MANIFEST_TAKEN, "%s: %s %s", change->what,
            qg_status_name (status), message);
  change->done (change->user, status, message);
  g_free (change->what);
  g_free (change);
}

GBytes *
qg_control_manifest (QgControl *control, QgErr *err)
{
  const QgManifestLog *log = qg_rsm_manifest (control->rsm);

  if (control_may_serve (control, err) != QG_OK)
    return NULL;
  if (log->text == NULL)
    {
      qg_fail (err, QG_E_UNAVAILABLE, "no manifest was accepted yet; send one");
      return NULL;
    }
  return g_bytes_ref (log->text);
}

const char *
qg_control_other_leader (QgControl *control)
{
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  return status.role == QG_CONS_LEADER ? NULL : status.leader;
}

void
control_push_manifest (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    control_send_manifest (control, value);
}

void
control_send_manifest (QgControl *control, ControlDaemon *daemon)
{
  const QgManifestLog *log = qg_rsm_manifest (control->rsm);
  Qg__ManifestUpdate update = QG__MANIFEST_UPDATE__INIT;
  GPtrArray *drained;

  if (!daemon->watching || daemon->role != QG__ROLE__ROLE_RELAY
      || daemon->manifest_change_sent >= log->change)
    return;
  drained = qg_manifest_log_drained (log);
  update.change = log->change;
  update.version = log->version;
  update.n_drained = drained->len;
  update.drained = (char **)drained->pdata;
  if (log->text != NULL && daemon->manifest_version_sent < log->version)
    {
      update.has_text = TRUE;
      update.text.data
          = (guint8 *)g_bytes_get_data (log->text, &update.text.len);
    }
  QG_SEND (daemon->peer, MANIFEST_UPDATE, manifest_update, &update);
  daemon->manifest_change_sent = log->change;
  daemon->manifest_version_sent = log->version;
  control->counts.updates++;
  g_ptr_array_unref (drained);
}
