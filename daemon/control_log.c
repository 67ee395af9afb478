#include "fs_posix.h"
#include "lib/event.h"
#include "libcontrol.h"

#include <gio/gio.h>
#include <string.h>
#include <unistd.h>

/** A proposed command whose result is awaited. */
typedef struct
{
  guint64 index;
  guint64 term;
  QgTime deadline;
  ControlDone done;
  gpointer user;
} Pending;

/** A write or a snapshot, run in a thread. */
typedef struct
{
  QgControl *control;
  QgStore *store;
  QgConsWrite write;
  QgConsSnapshot *snapshot;
  QgErr err;
  QgStatus status;
} DiskJob;

static gboolean on_pump (gpointer user);
static void pump_disk (QgControl *control);
static void pump_messages (QgControl *control);
static void pump_apply (QgControl *control);
static void start_job (QgControl *control, DiskJob *job);
static void run_job (GTask *task, gpointer source, gpointer data,
                     GCancellable *cancellable);
static void on_job_done (GObject *source, GAsyncResult *result, gpointer user);
static void job_free (gpointer data);
static void retry_later (QgControl *control, DiskJob *job);
static gboolean on_retry (gpointer user);
static gboolean snapshot_due (QgControl *control);
static DiskJob *snapshot_job (QgControl *control);
static void restore_snapshot (QgControl *control,
                              const QgConsSnapshot *snapshot);
static void apply_entry (QgControl *control, const QgConsEntry *entry);
static void push_result (QgControl *control, const Qg__StateResult *result);
static void resolve_pending (QgControl *control, const QgConsEntry *entry,
                             const Qg__StateResult *result);
static void complete_pending (Pending *pending, QgStatus status,
                              const char *message,
                              const Qg__StateResult *result);
static void fail_member (QgControl *control, const char *reason);
static QgStatus random_nonzero (guint64 *word, QgErr *err);
static GPtrArray *list_founders (const QgSettings *settings);
static void bootstrap_log (QgControl *control);
static char *restore_file (QgControl *control);

static QgStatus
random_nonzero (guint64 *word, QgErr *err)
{
  do
    if (getentropy (word, sizeof *word) != 0)
      return qg_fail (err, QG_E_IO, "getentropy failed");
  while (*word == 0);
  return QG_OK;
}

QgStatus
control_log_open (QgControl *control, QgErr *err)
{
  QgStoreOptions store_options = { 0 };
  QgConsOptions options = { 0 };
  QgConsState state = { 0 };
  GPtrArray *founders;
  gboolean fresh = FALSE;
  guint64 disk;
  QgStatus status;

  control->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  control->rsm = qg_rsm_new ();
  control->fs = qg_fs_posix_new (control->settings->control.data_folder, err);
  if (control->fs == NULL)
    return err->status;
  store_options.fs = control->fs;
  control->store = qg_store_new (&store_options);
  status = random_nonzero (&disk, err);
  if (status == QG_OK)
    status = random_nonzero (&options.seed, err);
  if (status == QG_OK)
    status = qg_store_open (control->store, disk, &state, &fresh, err);
  if (status != QG_OK)
    {
      qg_cons_state_clear (&state);
      return status;
    }
  options.name = control->settings->daemon.name;
  options.address = control_peer_address (control->settings);
  founders = list_founders (control->settings);
  options.founders = (const char *const *)founders->pdata;
  control->applied_at = qg_clock_now ();
  control->cons = qg_cons_new (&options, &state, qg_clock_now ());
  g_ptr_array_unref (founders);
  bootstrap_log (control);
  return QG_OK;
}

/* The control members of the settings, NULL terminated. */
static GPtrArray *
list_founders (const QgSettings *settings)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < settings->n_peers; i++)
    g_ptr_array_add (list, g_strconcat (settings->peers[i].name, "@",
                                        settings->peers[i].address, NULL));
  g_ptr_array_add (list, NULL);
  return list;
}

/* Restores a fleet from this member's log if the restore file exists. Otherwise
 * bootstraps a new fleet if the settings ask for it, which has no effect once
 * the member has a log. */
static void
bootstrap_log (QgControl *control)
{
  g_autofree char *file = restore_file (control);

  if (g_file_test (file, G_FILE_TEST_EXISTS))
    {
      qg_event (QG_EV_RESTORED, "%s", file);
      qg_cons_restore (control->cons);
    }
  else if (control->settings->control.bootstrap)
    qg_cons_bootstrap (control->cons);
}

static char *
restore_file (QgControl *control)
{
  return g_build_filename (control->settings->control.data_folder,
                           CONTROL_RESTORE_FILE, NULL);
}

void
control_remove_restore_file (QgControl *control)
{
  g_autofree char *file = restore_file (control);

  unlink (file);
}

void
control_log_close (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  control->closing = TRUE;
  while (control->disk_busy)
    g_main_context_iteration (NULL, TRUE);
  if (control->pump != 0)
    g_source_remove (control->pump);
  if (control->pending != NULL)
    {
      g_hash_table_iter_init (&iter, control->pending);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          g_hash_table_iter_steal (&iter);
          complete_pending (value, QG_E_UNKNOWN, "this member is shutting down",
                            NULL);
        }
      g_hash_table_unref (control->pending);
    }
  g_clear_pointer (&control->cons, qg_cons_unref);
  g_clear_pointer (&control->store, qg_store_unref);
  g_clear_pointer (&control->fs, qg_fs_posix_free);
  g_clear_pointer (&control->rsm, qg_rsm_unref);
}

/* Commands that arrive together share one write and one message to each
 * member, because the pump runs once after all pending events. */
void
control_schedule_pump (QgControl *control)
{
  if (control->pump == 0 && !control->failed && !control->closing)
    control->pump
        = g_idle_add_full (G_PRIORITY_DEFAULT, on_pump, control, NULL);
}

static gboolean
on_pump (gpointer user)
{
  QgControl *control = user;

  control->pump = 0;
  pump_disk (control);
  pump_messages (control);
  pump_apply (control);
  return G_SOURCE_REMOVE;
}

static void
pump_disk (QgControl *control)
{
  DiskJob *job;

  if (control->disk_busy || control->failed)
    return;
  job = g_new0 (DiskJob, 1);
  if (qg_cons_take_write (control->cons, &job->write))
    start_job (control, job);
  else
    {
      g_free (job);
      if (snapshot_due (control))
        start_job (control, snapshot_job (control));
    }
}

static void
start_job (QgControl *control, DiskJob *job)
{
  GTask *task = g_task_new (NULL, NULL, on_job_done, control);

  job->control = control;
  if (job->store == NULL)
    job->store = qg_store_ref (control->store);
  control->disk_busy = TRUE;
  g_task_set_task_data (task, job, job_free);
  g_task_run_in_thread (task, run_job);
  g_object_unref (task);
}

static void
run_job (GTask *task, gpointer source, gpointer data, GCancellable *cancellable)
{
  DiskJob *job = data;

  if (job->snapshot != NULL)
    job->status = qg_store_save_snapshot (job->store, job->snapshot, &job->err);
  else
    job->status = qg_store_write (job->store, &job->write, &job->err);
  g_task_return_boolean (task, TRUE);
}

static void
on_job_done (GObject *source, GAsyncResult *result, gpointer user)
{
  QgControl *control = user;
  DiskJob *job = g_task_get_task_data (G_TASK (result));

  control->disk_busy = FALSE;
  if (control->closing)
    return;
  if (job->status == QG_E_UNAVAILABLE || job->status == QG_E_IO)
    {
      retry_later (control, job);
      return;
    }
  if (job->status == QG_OK && control->disk_status != QG_OK)
    qg_event (QG_EV_STORE_WORKS, "what waited for the disk is written");
  control->disk_status = job->status;
  if (job->status != QG_OK)
    {
      fail_member (control, job->err.message);
      return;
    }
  if (job->snapshot != NULL)
    {
      qg_cons_compact (control->cons, job->snapshot);
      control->counts.snapshots++;
    }
  else
    qg_cons_persisted (control->cons, job->write.seq, qg_clock_now ());
  control_schedule_pump (control);
}

/* Repeats @job, whose disk is full or failed. Until it succeeds, this member is
 * like one with a slow disk: nothing follows this write. A leader whose disk
 * fails twice in a row resigns at once. */
static void
retry_later (QgControl *control, DiskJob *job)
{
  DiskJob *again = g_new (DiskJob, 1);

  if (control->disk_status != job->status)
    qg_event (job->status == QG_E_IO ? QG_EV_STORE_FAILED : QG_EV_STORE_FULL,
              "%s", job->err.message);
  else if (job->status == QG_E_IO)
    qg_cons_write_refused (control->cons, qg_clock_now ());
  control->disk_status = job->status;
  *again = *job;
  qg_store_ref (again->store);
  job->snapshot = NULL;
  memset (&job->write, 0, sizeof job->write);
  control->disk_busy = TRUE;
  g_timeout_add_full (G_PRIORITY_DEFAULT, CONTROL_DISK_RETRY_MS, on_retry,
                      again, NULL);
}

static gboolean
on_retry (gpointer user)
{
  DiskJob *job = user;
  QgControl *control = job->control;

  if (control->closing)
    {
      control->disk_busy = FALSE;
      job_free (job);
    }
  else
    start_job (control, job);
  return G_SOURCE_REMOVE;
}

static void
job_free (gpointer data)
{
  DiskJob *job = data;

  if (job->snapshot != NULL)
    qg_cons_snapshot_unref (job->snapshot);
  qg_cons_write_clear (&job->write);
  qg_store_unref (job->store);
  g_free (job);
}

/* Stops acknowledging and serving, because the disk or the state of this member
 * cannot be trusted. */
static void
fail_member (QgControl *control, const char *reason)
{
  control->failed = TRUE;
  qg_event (QG_EV_CONTROL_STOPPED, "%s", reason);
}

static gboolean
snapshot_due (QgControl *control)
{
  guint64 index = qg_rsm_index (control->rsm);

  return index >= control->snapshot_index + CONTROL_SNAPSHOT_ENTRIES
         || (index > control->snapshot_index
             && control->applied_bytes >= CONTROL_SNAPSHOT_BYTES);
}

static DiskJob *
snapshot_job (QgControl *control)
{
  DiskJob *job = g_new0 (DiskJob, 1);
  guint64 index = qg_rsm_index (control->rsm);
  GBytes *data = qg_rsm_snapshot (control->rsm);
  GBytes *members = qg_cons_members_at (control->cons, index);

  job->snapshot = qg_cons_snapshot_new (
      index, qg_cons_term_at (control->cons, index), members, data);
  control->snapshot_index = index;
  control->applied_bytes = 0;
  g_bytes_unref (members);
  g_bytes_unref (data);
  return job;
}

static void
pump_messages (QgControl *control)
{
  QgStr *to;
  Qg__ConsMsg *msg;

  while (qg_cons_take_message (control->cons, &to, &msg))
    {
      control_member_send (control, to, msg);
      qg_str_unref (to);
      qg__cons_msg__free_unpacked (msg, NULL);
    }
}

static void
pump_apply (QgControl *control)
{
  QgConsApply apply;

  while (!control->failed && qg_cons_take_apply (control->cons, &apply))
    {
      if (apply.snapshot != NULL)
        restore_snapshot (control, apply.snapshot);
      else
        apply_entry (control, apply.entry);
      qg_cons_apply_clear (&apply);
    }
}

static void
restore_snapshot (QgControl *control, const QgConsSnapshot *snapshot)
{
  QgErr err;
  gsize len;
  gconstpointer data = g_bytes_get_data (snapshot->data, &len);

  if (qg_rsm_restore (control->rsm, data, len, &err) != QG_OK)
    {
      fail_member (control, err.message);
      return;
    }
  control->snapshot_index = snapshot->index;
  control_dial_members (control);
}

static void
apply_entry (QgControl *control, const QgConsEntry *entry)
{
  Qg__StateResult *result = NULL;
  gsize len;
  gconstpointer data = g_bytes_get_data (entry->data, &len);
  GBytes *packed;

  if (entry->kind == QG__CONS_KIND__CONS_MEMBERS)
    {
      control_dial_members (control);
      control_push_members (control);
    }
  if (entry->kind == QG__CONS_KIND__CONS_COMMAND)
    {
      packed = qg_rsm_apply (control->rsm, entry->index, data, len);
      if (packed == NULL)
        {
          fail_member (control,
                       "this version does not support a command in the log");
          return;
        }
      result = qg_rsm_result (packed);
      g_bytes_unref (packed);
      control->counts.applied++;
      control->applied_at = qg_clock_now ();
      control->applied_bytes += len;
    }
  resolve_pending (control, entry, result);
  if (result != NULL)
    {
      push_result (control, result);
      qg__state_result__free_unpacked (result, NULL);
    }
}

static void
push_result (QgControl *control, const Qg__StateResult *result)
{
  if (control->lead_term == 0)
    return;
  if (result->kind_case == QG__STATE_RESULT__KIND_CONF
      && result->conf->status == QG_OK)
    control_push_document (control);
  if (result->kind_case == QG__STATE_RESULT__KIND_MANIFEST
      && result->manifest->changed)
    control_push_manifest (control);
  if (result->kind_case == QG__STATE_RESULT__KIND_POISON)
    control_push_quarantine (control, result->poison);
}

/* An entry of another term at the index of a command means that the command
 * was not committed. */
static void
resolve_pending (QgControl *control, const QgConsEntry *entry,
                 const Qg__StateResult *result)
{
  Pending *pending = g_hash_table_lookup (control->pending, &entry->index);

  if (pending == NULL)
    return;
  g_hash_table_steal (control->pending, &entry->index);
  if (pending->term != entry->term)
    complete_pending (pending, QG_E_NOT_LEADER,
                      "the leader changed; nothing was applied", NULL);
  else if (result == NULL)
    complete_pending (pending, QG_E_INVALID, "the log entry holds no command",
                      NULL);
  else
    complete_pending (pending, QG_OK, "", result);
}

static void
complete_pending (Pending *pending, QgStatus status, const char *message,
                  const Qg__StateResult *result)
{
  if (pending->done != NULL)
    pending->done (pending->user, status, message, result);
  g_free (pending);
}

QgStatus
control_may_serve (QgControl *control, QgErr *err)
{
  QgTime now = qg_clock_now ();
  QgConsStatus status;

  if (control->failed)
    return qg_fail (
        err, QG_E_UNAVAILABLE,
        "this member stopped after a disk or state error; use another "
        "member");
  if (qg_cons_ready_to_serve (control->cons)
      && qg_cons_lease_until (control->cons, now) > now)
    return QG_OK;
  qg_cons_status (control->cons, now, &status);
  if (status.role == QG_CONS_LEADER || status.leader == NULL)
    return qg_fail (err, QG_E_UNAVAILABLE,
                    "no quorum confirms a leader at present; try again later");
  return qg_fail (err, QG_E_NOT_LEADER, "ask the leader: %s", status.leader);
}

QgStatus
control_may_change (QgControl *control, QgErr *err)
{
  QgStatus status = control_may_serve (control, err);

  if (status == QG_OK
      && qg_cons_other_fleet (control->cons, qg_clock_now ()) != 0)
    return qg_fail (
        err, QG_E_UNAVAILABLE,
        "the members of another fleet are connected, and either "
        "may hold later changes; end one of the fleets (event 697)");
  return status;
}

QgTime
control_log_now (const QgControl *control)
{
  return qg_rsm_stamp (control->rsm, g_get_real_time (),
                       qg_clock_now () - control->applied_at);
}

void
control_propose (QgControl *control, GBytes *command, ControlDone done,
                 gpointer user)
{
  Pending *pending = g_new0 (Pending, 1);
  QgErr err = { 0 };
  QgStatus status = control_may_serve (control, &err);

  pending->done = done;
  pending->user = user;
  pending->deadline = qg_clock_now () + CONTROL_COMMAND_TIMEOUT_MS * QG_MSEC;
  if (status == QG_OK && g_bytes_get_size (command) > CONTROL_MAX_COMMAND_BYTES)
    status = qg_fail (&err, QG_E_TOO_LARGE,
                      "a change has at most %d bytes; send it in parts",
                      CONTROL_MAX_COMMAND_BYTES);
  if (status == QG_OK)
    status = qg_cons_propose (control->cons, command, &pending->index,
                              &pending->term, &err);
  if (status != QG_OK)
    {
      control->counts.refused++;
      complete_pending (pending, status, err.message, NULL);
      return;
    }
  control->counts.proposed++;
  g_hash_table_insert (control->pending, &pending->index, pending);
  control_schedule_pump (control);
}

void
control_propose_change (QgControl *control, GBytes *command, ControlDone done,
                        gpointer user)
{
  QgErr err;

  if (control_may_change (control, &err) == QG_OK)
    control_propose (control, command, done, user);
  else
    done (user, err.status, err.message, NULL);
}

void
control_expire_pending (QgControl *control)
{
  QgTime now = qg_clock_now ();
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Pending *)value)->deadline <= now || control->failed)
      {
        g_hash_table_iter_steal (&iter);
        g_ptr_array_add (expired, value);
      }
  for (guint i = 0; i < expired->len; i++)
    complete_pending (
        g_ptr_array_index (expired, i), QG_E_UNKNOWN,
        "no quorum answered in time; the change may still be applied", NULL);
  g_ptr_array_unref (expired);
}

void
control_log_tick (QgControl *control)
{
  if (!control->failed)
    qg_cons_tick (control->cons, qg_clock_now ());
  control_expire_pending (control);
  control_schedule_pump (control);
}
