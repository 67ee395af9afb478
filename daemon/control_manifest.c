#include "lib/event.h"
#include "libcontrol.h"

#include <gio/gio.h>

/** A proposed change and its callback. */
typedef struct
{
  QgControlDone done;
  gpointer user;
  char *what;
} Change;

/** A manifest that is read in a thread. */
typedef struct
{
  QgManifestReadFunc read;
  GBytes *text;
  ControlInspect inspect;
  ControlInspected inspected;
  gpointer user;
  QgErr err;
} Check;

/** A manifest of an operator. */
typedef struct
{
  QgControl *control;
  GBytes *text;
  QgControlDone done;
  gpointer user;
  guint64 version;
} Put;

static void start_check (QgControl *control);
static void run_check (GTask *task, gpointer source, gpointer data,
                       GCancellable *cancellable);
static void on_checked (GObject *source, GAsyncResult *result, gpointer user);
static void check_free (gpointer data);
static void note_version (const QgManifest *manifest, gpointer user,
                          QgErr *err);
static void on_put_checked (gpointer user, const QgErr *err);
static void propose_manifest (const Put *put);
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

/* A large manifest takes longer to read than the leader's lease lasts, so that
 * a thread does it; one at a time, because each takes many times its size of
 * memory. */
void
control_inspect_manifest (QgControl *control, GBytes *text,
                          ControlInspect inspect, ControlInspected inspected,
                          gpointer user)
{
  Check *check;
  QgErr err;

  if (control->closing)
    {
      qg_fail (&err, QG_E_UNKNOWN, "this member is shutting down");
      inspected (user, &err);
      return;
    }
  check = g_new0 (Check, 1);
  check->read = control->read_manifest;
  check->text = g_bytes_ref (text);
  check->inspect = inspect;
  check->inspected = inspected;
  check->user = user;
  g_queue_push_tail (&control->checks, check);
  if (g_queue_get_length (&control->checks) == 1)
    start_check (control);
}

static void
start_check (QgControl *control)
{
  GTask *task = g_task_new (NULL, NULL, on_checked, control);

  g_task_set_task_data (task, g_queue_peek_head (&control->checks), check_free);
  g_task_run_in_thread (task, run_check);
  g_object_unref (task);
}

static void
run_check (GTask *task, gpointer source, gpointer data,
           GCancellable *cancellable)
{
  Check *check = data;
  QgManifest *manifest = check->read (check->text, &check->err);

  if (manifest != NULL)
    {
      qg_err_clear (&check->err);
      check->inspect (manifest, check->user, &check->err);
      qg_manifest_unref (manifest);
    }
  g_task_return_boolean (task, TRUE);
}

static void
on_checked (GObject *source, GAsyncResult *result, gpointer user)
{
  QgControl *control = user;
  Check *check = g_queue_pop_head (&control->checks);

  if (!g_queue_is_empty (&control->checks))
    start_check (control);
  if (control->closing)
    qg_fail (&check->err, QG_E_UNKNOWN, "this member is shutting down");
  check->inspected (check->user, &check->err);
}

static void
check_free (gpointer data)
{
  Check *check = data;

  g_bytes_unref (check->text);
  g_free (check);
}

void
qg_control_put_manifest (QgControl *control, GBytes *text, QgControlDone done,
                         gpointer user)
{
  Put *put = g_new0 (Put, 1);

  put->control = control;
  put->text = g_bytes_ref (text);
  put->done = done;
  put->user = user;
  control_inspect_manifest (control, text, note_version, on_put_checked, put);
}

static void
note_version (const QgManifest *manifest, gpointer user, QgErr *err)
{
  ((Put *)user)->version = manifest->version;
}

static void
on_put_checked (gpointer user, const QgErr *err)
{
  Put *put = user;

  if (err->status == QG_OK)
    propose_manifest (put);
  else
    {
      if (err->status != QG_E_UNKNOWN)
        qg_event (QG_EV_MANIFEST_REFUSED, "%s", err->message);
      put->done (put->user,
                 err->status == QG_E_UNKNOWN ? QG_E_UNKNOWN : QG_E_INVALID,
                 err->message);
    }
  g_bytes_unref (put->text);
  g_free (put);
}

static void
propose_manifest (const Put *put)
{
  QgControl *control = put->control;
  guint64 version = put->version;
  Change *change
      = change_new (put->done, put->user,
                    g_strdup_printf ("manifest %" G_GUINT64_FORMAT, version));
  GBytes *command;
  QgErr err;

  if (control_may_change (control, &err) != QG_OK)
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
  command
      = qg_rsm_command_manifest (version, put->text, control_log_now (control));
  control_propose (control, command, on_change_done, change);
  g_bytes_unref (command);
}

void
control_manifest_close (QgControl *control)
{
  control->closing = TRUE;
  while (!g_queue_is_empty (&control->checks))
    g_main_context_iteration (NULL, TRUE);
}

void
qg_control_drain_dc (QgControl *control, const char *dc, gboolean drained,
                     QgControlDone done, gpointer user)
{
  GBytes *command
      = qg_rsm_command_drain (dc, drained, control_log_now (control));
  Change *change = change_new (
      done, user, g_strdup_printf ("%s %s", drained ? "drain" : "return", dc));

  control_propose_change (control, command, on_change_done, change);
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

  if (control_may_change (control, err) != QG_OK)
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
  update.previous = log->previous;
  update.age_us = MAX (control_log_now (control) - log->changed_at, 0);
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
