#include "lib/event.h"
#include "libcontrol.h"

enum
{
  /** Heartbeat intervals without a heartbeat before a target counts as gone:
   * one heartbeat may be lost and a second heartbeat be seconds late. */
  TARGET_MISSED_HEARTBEATS = 4,
  /** How long the record of a target that is gone is kept: longer than a
   * network partition may delay a heartbeat of the target. */
  TARGET_TOMBSTONE_MS = 120000,
  /** Minimum interval between pushes to all relays, per known daemon: with 330
   * daemons (the design size), at most ten pushes a second. */
  PUSH_INTERVAL_PER_DAEMON_US = 300,
};

/** A target update under construction. */
typedef struct
{
  const QgControl *control;
  GPtrArray *list;
  QgTime now;
} UpdateBuilder;

static void restore_leaves (QgControl *control);
static QgStatus may_register (QgControl *control, QgErr *err);
static void add_entry (const QgTarget *target, gpointer user);
static GPtrArray *list_versions (const QgControl *control);
static guint count_relays (const QgControl *control);
static void send_to_all (QgControl *control);
static QgTime push_interval (const QgControl *control);
static void log_target_state (const QgHeartbeat *heartbeat);

void
control_targets_start (QgControl *control)
{
  QgRegistryOptions options = { 0 };

  control_targets_stop (control);
  options.interval = (QgTime)control->settings->control.beat_ms * QG_MSEC;
  options.timeout = options.interval * TARGET_MISSED_HEARTBEATS;
  options.retention = TARGET_TOMBSTONE_MS * QG_MSEC;
  control->registry = qg_registry_new (&options);
  control->share_hub = qg_share_hub_new ();
  restore_leaves (control);
}

static void
restore_leaves (QgControl *control)
{
  size_t n;
  Qg__TargetLeave **leaves = qg_leaves_list (qg_rsm_leaves (control->rsm), &n);

  for (size_t i = 0; i < n; i++)
    {
      const Qg__TargetLeave *leave = leaves[i];
      QgHeartbeat last = { 0 };

      last.id = leave->id;
      last.service = leave->service;
      last.address = leave->address;
      last.dc = leave->dc;
      last.version = leave->version;
      last.slots = leave->slots;
      last.draining = !leave->gone;
      last.born_ms = leave->born_ms;
      last.sequence = leave->sequence;
      qg_registry_restore_leave (control->registry, &last, leave->gone,
                                 qg_clock_now ());
    }
  g_free (leaves);
}

void
control_targets_stop (QgControl *control)
{
  g_clear_pointer (&control->registry, qg_registry_free);
  g_clear_pointer (&control->share_hub, qg_share_hub_free);
}

void
control_targets_tick (QgControl *control)
{
  if (control->registry != NULL
      && qg_registry_expire (control->registry, qg_clock_now ()))
    {
      qg_event (QG_EV_TARGET_GONE,
                "removed targets without heartbeats; %u remain",
                qg_registry_count (control->registry));
      control_push_targets (control);
    }
  if (control->registry != NULL
      && qg_pace_due (&control->targets_pace, push_interval (control),
                      qg_clock_now ()))
    send_to_all (control);
}

static QgStatus
may_register (QgControl *control, QgErr *err)
{
  if (control_may_serve (control, err) != QG_OK)
    return err->status;
  if (control->registry == NULL)
    return qg_fail (err, QG_E_UNAVAILABLE,
                    "this member has not finished becoming the leader");
  return QG_OK;
}

void
qg_control_heartbeat (QgControl *control, const QgHeartbeat *heartbeat,
                      QgControlDone done, gpointer user)
{
  const QgTarget *target;
  QgErr err;

  if (may_register (control, &err) != QG_OK)
    {
      done (user, err.status, err.message);
      return;
    }
  if (qg_registry_heartbeat (control->registry, heartbeat, qg_clock_now ()))
    {
      log_target_state (heartbeat);
      control_push_targets (control);
    }
  target = qg_registry_find (control->registry, heartbeat->id);
  if (target != NULL && !target->gone)
    control_version_note (control, target->service, target->version);
  control_leave_save (control, heartbeat->id, done, user);
}

static void
log_target_state (const QgHeartbeat *heartbeat)
{
  qg_event (QG_EV_TARGET_SEEN,
            "target=%s service=%s version=%s address=%s dc=%s state=%s "
            "cold_ms=%" G_GINT64_FORMAT " born=%" G_GUINT64_FORMAT
            " sequence=%" G_GUINT64_FORMAT,
            heartbeat->id, heartbeat->service, heartbeat->version,
            heartbeat->address, heartbeat->dc,
            heartbeat->draining ? "draining" : "ready",
            heartbeat->cold_remaining / QG_MSEC, heartbeat->born_ms,
            heartbeat->sequence);
}

void
qg_control_deregister (QgControl *control, const char *id, guint64 born_ms,
                       QgControlDone done, gpointer user)
{
  QgErr err;

  if (may_register (control, &err) != QG_OK)
    {
      done (user, err.status, err.message);
      return;
    }
  if (qg_registry_deregister (control->registry, id, born_ms, qg_clock_now ()))
    {
      qg_event (QG_EV_TARGET_GONE, "target=%s left", id);
      control_push_targets (control);
    }
  control_leave_save (control, id, done, user);
}

static guint
count_relays (const QgControl *control)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlDaemon *daemon = value;

      n += daemon->listed && daemon->role == QG__ROLE__ROLE_RELAY ? 1 : 0;
    }
  return n;
}

static void
add_entry (const QgTarget *target, gpointer user)
{
  UpdateBuilder *builder = user;
  Qg__TargetEntry *entry;

  if (!target->gone
      && !control_version_is_saved (builder->control, target->service,
                                    target->version))
    return;
  entry = g_new (Qg__TargetEntry, 1);
  qg__target_entry__init (entry);
  entry->id = target->id;
  entry->service = target->service;
  entry->address = target->address;
  entry->dc = target->dc;
  entry->version = target->version;
  entry->slots = target->slots;
  entry->draining = target->draining;
  entry->cold_us = MAX (target->cold_until - builder->now, 0);
  entry->born_ms = target->born_ms;
  entry->gone = target->gone;
  entry->sequence = target->sequence;
  entry->left = target->left;
  g_ptr_array_add (builder->list, entry);
}

/* The strings belong to the log. */
static GPtrArray *
list_versions (const QgControl *control)
{
  const GPtrArray *rows = qg_rsm_versions (control->rsm)->rows;
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < rows->len; i++)
    {
      const Qg__ServiceVersion *row = g_ptr_array_index (rows, i);
      Qg__TargetVersion *version = g_new (Qg__TargetVersion, 1);

      qg__target_version__init (version);
      version->service = row->service;
      version->version = row->version;
      g_ptr_array_add (list, version);
    }
  return list;
}

/* The first update to a relay is a snapshot if the targets had time to report
 * to this leader. Before that time, no snapshot is sent, because a snapshot
 * removes the targets that it does not list. It also lists those that are gone,
 * because their versions still matter to streams. */
void
control_send_targets (QgControl *control, ControlDaemon *daemon)
{
  Qg__TargetUpdate update = QG__TARGET_UPDATE__INIT;
  UpdateBuilder builder = { 0 };
  GPtrArray *versions;

  if (!daemon->watching || daemon->role != QG__ROLE__ROLE_RELAY
      || control->registry == NULL)
    return;
  builder.control = control;
  builder.list = g_ptr_array_new_with_free_func (g_free);
  builder.now = qg_clock_now ();
  qg_registry_each (control->registry, daemon->targets_sent, add_entry,
                    &builder);
  update.version = qg_registry_version (control->registry);
  update.snapshot
      = daemon->targets_sent == 0 && control_settle_time_passed (control);
  update.n_entries = builder.list->len;
  update.entries = (Qg__TargetEntry **)builder.list->pdata;
  update.entries_up = count_relays (control);
  versions = list_versions (control);
  update.n_versions = versions->len;
  update.versions = (Qg__TargetVersion **)versions->pdata;
  QG_SEND (daemon->peer, TARGET_UPDATE, target_update, &update);
  daemon->targets_sent = update.version;
  daemon->knows_targets = TRUE;
  g_ptr_array_unref (builder.list);
  g_ptr_array_unref (versions);
}

gboolean
control_complete_targets (QgControl *control, ControlDaemon *daemon)
{
  if (control->registry == NULL)
    return FALSE;
  if (!daemon->knows_targets
      || daemon->targets_sent != qg_registry_version (control->registry))
    control_send_targets (control, daemon);
  return TRUE;
}

static void
send_to_all (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    control_send_targets (control, value);
}

static QgTime
push_interval (const QgControl *control)
{
  return PUSH_INTERVAL_PER_DAEMON_US
         * (QgTime)g_hash_table_size (control->daemons);
}

void
control_push_targets (QgControl *control)
{
  if (qg_pace_update (&control->targets_pace, push_interval (control),
                      qg_clock_now ()))
    send_to_all (control);
}
