#include "control.h"

#include "lib/event.h"
#include "libcontrol.h"

#include <string.h>

typedef void (*MessageHandler) (QgControl *control, QgPeer *peer,
                                const Qg__PeerMsg *msg);

static QgStatus start (QgControl *control, GBytes *fleet_key, QgErr *err);
static void on_peer_up (gpointer user, QgPeer *peer);
static void on_peer_down (gpointer user, QgPeer *peer);
static void on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
static gboolean on_tick (gpointer user);
static void check_leadership (QgControl *control);
static void begin_leadership (QgControl *control, guint64 term);
static void end_leadership (QgControl *control);
static guint count_connected (QgControl *control);

static const QgPeerOps peer_ops = { on_peer_up, on_peer_down, on_message };

static const MessageHandler handlers[QG_PEER_KINDS] = {
  [QG__PEER_MSG__KIND_WATCH] = control_on_watch,
  [QG__PEER_MSG__KIND_PERMIT_ASK] = control_on_permit_ask,
  [QG__PEER_MSG__KIND_SYNC_ASK] = control_on_sync_ask,
  [QG__PEER_MSG__KIND_LIFE_ASK] = control_on_life_ask,
  [QG__PEER_MSG__KIND_CLAIM_ASK] = control_on_claim_ask,
  [QG__PEER_MSG__KIND_CLAIM_DONE] = control_on_claim_done,
  [QG__PEER_MSG__KIND_CRASH_ASK] = control_on_crash_ask,
  [QG__PEER_MSG__KIND_FAIR_REPORT] = control_on_fair_report,
  [QG__PEER_MSG__KIND_DEMAND] = control_on_demand,
  [QG__PEER_MSG__KIND_ROLLOUT_REPORT] = control_on_rollout_report,
};

QgControl *
qg_control_new (QgSettings *settings, GBytes *fleet_key, QgErr *err)
{
  QgControl *control = g_new0 (QgControl, 1);

  control->settings = qg_settings_ref (settings);
  control->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            control_member_free);
  control->daemons = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            control_daemon_free);
  control->join = qg_join_new (settings->daemon.name,
                               2 * (guint)settings->control.tolerate + 1);
  control->taken_answers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  control->started = qg_clock_now ();
  if (start (control, fleet_key, err) == QG_OK)
    return control;
  qg_control_free (control);
  return NULL;
}

static QgStatus
start (QgControl *control, GBytes *fleet_key, QgErr *err)
{
  const QgSettings *settings = control->settings;
  QgPeerOptions options = { 0 };
  QgStatus status = control_log_open (control, err);

  if (status != QG_OK)
    return status;
  options.role = QG__ROLE__ROLE_CONTROL;
  options.name = settings->daemon.name;
  options.dc = settings->daemon.dc;
  options.region = settings->daemon.region;
  options.address = control_peer_address (settings);
  options.incarnation = (guint64)g_get_real_time ();
  options.fleet_key = fleet_key;
  options.ops = &peer_ops;
  options.user = control;
  control->peers = qg_peer_hub_new (&options);
  status
      = qg_peer_hub_listen (control->peers, settings->control.peer_listen, err);
  if (status != QG_OK)
    return status;
  if (settings->control.operator_listen[0] != '\0')
    {
      control->operator_server = qg_operator_server_new (
          control->settings, &control_operator_ops, control, err);
      if (control->operator_server == NULL)
        return err->status;
    }
  control_dial_members (control);
  control->timer = g_timeout_add (CONTROL_TICK_MS, on_tick, control);
  control_schedule_pump (control);
  return QG_OK;
}

const char *
control_peer_address (const QgSettings *settings)
{
  return settings->control.peer_address[0] != '\0'
             ? settings->control.peer_address
             : settings->control.peer_listen;
}

void
qg_control_reload (QgControl *control, QgSettings *settings)
{
  if (control->operator_server != NULL)
    qg_operator_server_reload (control->operator_server, settings);
}

void
qg_control_close (QgControl *control)
{
  if (control->closing)
    return;
  if (control->timer != 0)
    g_source_remove (control->timer);
  control_leaves_close (control);
  control_manifest_close (control);
  control_log_close (control);
}

void
qg_control_free (QgControl *control)
{
  if (control == NULL)
    return;
  qg_control_close (control);
  g_clear_pointer (&control->operator_server, qg_operator_server_free);
  g_clear_pointer (&control->peers, qg_peer_hub_free);
  g_clear_pointer (&control->fair_hub, qg_hub_unref);
  control_targets_stop (control);
  control_versions_stop (control);
  control_rollouts_stop (control);
  qg_join_free (control->join);
  g_free (control->named_leader);
  g_hash_table_unref (control->taken_answers);
  g_hash_table_unref (control->members);
  g_hash_table_unref (control->daemons);
  qg_settings_unref (control->settings);
  g_free (control);
}

gboolean
qg_control_is_ready (QgControl *control)
{
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  return !control->failed && status.leader != NULL;
}

static void
on_peer_up (gpointer user, QgPeer *peer)
{
  QgControl *control = user;

  if (qg_peer_hello (peer)->role == QG__ROLE__ROLE_CONTROL)
    control_member_up (control, peer);
  else
    control_daemon_up (control, peer);
}

static void
on_peer_down (gpointer user, QgPeer *peer)
{
  QgControl *control = user;

  if (qg_peer_hello (peer)->role == QG__ROLE__ROLE_CONTROL)
    control_member_down (control, peer);
  else
    control_daemon_down (control, peer);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  QgControl *control = user;
  guint kind = (guint)msg->kind_case;

  if (msg->kind_case == QG__PEER_MSG__KIND_CONSENSUS)
    control_member_message (control, peer, msg->consensus);
  else if (msg->kind_case == QG__PEER_MSG__KIND_NOT_LEADER)
    control_join_on_not_leader (control, msg->not_leader);
  else if (kind < QG_PEER_KINDS && handlers[kind] != NULL)
    handlers[kind](control, peer, msg);
}

static gboolean
on_tick (gpointer user)
{
  QgControl *control = user;

  qg_clock_check ();
  control_log_tick (control);
  check_leadership (control);
  control_watch_tick (control);
  control_claim_holders_tick (control);
  control_targets_tick (control);
  control_versions_tick (control);
  control_rollouts_tick (control);
  control_join_tick (control);
  if (control->fair_hub != NULL)
    qg_hub_expire (control->fair_hub, qg_clock_now ());
  return G_SOURCE_CONTINUE;
}

static void
check_leadership (QgControl *control)
{
  QgConsStatus status;
  gboolean settled = control_settle_time_passed (control);

  qg_cons_status (control->cons, qg_clock_now (), &status);
  if (control->lead_term != 0
      && (control->failed || status.role != QG_CONS_LEADER
          || status.term != control->lead_term))
    end_leadership (control);
  if (control->lead_term == 0 && control_may_serve (control, NULL) == QG_OK)
    begin_leadership (control, status.term);
  if (settled && !control->full_directory_sent)
    {
      GHashTableIter iter;
      gpointer value;

      control->full_directory_sent = TRUE;
      /* A daemon that loses this message shows by its version that it has not
       * got the whole list. */
      control->directory_version++;
      g_hash_table_iter_init (&iter, control->daemons);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (((ControlDaemon *)value)->watching)
          {
            control_send_directory (control, value);
            ((ControlDaemon *)value)->targets_sent = 0;
            control_send_targets (control, value);
          }
    }
}

/* Daemon reports are not in the log, so each leader collects them anew. */
static void
begin_leadership (QgControl *control, guint64 term)
{
  QgHubOptions options = { 0 };

  control->lead_term = term;
  control->lead_since = qg_clock_now ();
  control->full_directory_sent = FALSE;
  control_directory_restart (control);
  g_clear_pointer (&control->fair_hub, qg_hub_unref);
  options.epoch = term;
  control->fair_hub = qg_hub_new (&options);
  control_remove_restore_file (control);
  control_propose_first_document (control);
  control_versions_start (control);
  control_targets_start (control);
  control_rollouts_start (control);
  qg_event (QG_EV_LEADER, "became leader in term %" G_GUINT64_FORMAT, term);
}

static void
end_leadership (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  qg_event (QG_EV_LEADER, "lost the leadership of term %" G_GUINT64_FORMAT,
            control->lead_term);
  control->lead_term = 0;
  control_targets_stop (control);
  control_versions_stop (control);
  control_rollouts_stop (control);
  g_clear_pointer (&control->fair_hub, qg_hub_unref);
  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ControlDaemon *daemon = value;

      if (daemon->watching)
        control_send_not_leader (control, daemon->peer);
      daemon->watching = FALSE;
    }
}

static guint
count_connected (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((ControlDaemon *)value)->peer != NULL ? 1 : 0;
  return n;
}

void
qg_control_add_metrics (QgControl *control, QgMetrics *metrics)
{
  const ControlCounts *counts = &control->counts;
  QgConsStatus status;
  guint64 revision = qg_conf_revision (qg_rsm_conf (control->rsm));

  qg_cons_status (control->cons, qg_clock_now (), &status);
  qg_metrics_add (metrics, "control_leads", "Whether this member leads.", NULL,
                  control->lead_term != 0);
  qg_metrics_add (metrics, "control_term", "Term of the log.", NULL,
                  status.term);
  qg_metrics_add (metrics, "control_committed_index", "Committed index.", NULL,
                  status.commit);
  qg_metrics_add (metrics, "control_applied_index", "Applied index.", NULL,
                  status.applied);
  qg_metrics_add (metrics, "control_voter", "Whether it counts in quorums.",
                  NULL, status.voter);
  qg_metrics_add (metrics, "control_failed", "Whether its disk failed.", NULL,
                  control->failed || control->disk_status != QG_OK);
  qg_metrics_add (metrics, "control_revision", "Configuration revision.", NULL,
                  revision);
  qg_metrics_add (metrics, "control_daemons", "Connected daemons.", NULL,
                  count_connected (control));
  qg_metrics_add (metrics, "control_proposed_total", "Commands proposed.", NULL,
                  counts->proposed);
  qg_metrics_add (metrics, "control_applied_total", "Commands applied.", NULL,
                  counts->applied);
  qg_metrics_add (metrics, "control_refused_total", "Commands refused.", NULL,
                  counts->refused);
  qg_metrics_add (metrics, "control_permits_total", "Permits given.", NULL,
                  counts->permits);
  qg_metrics_add (metrics, "control_updates_total", "Document updates sent.",
                  NULL, counts->updates);
  qg_metrics_add (metrics, "control_snapshots_total", "Snapshots saved.", NULL,
                  counts->snapshots);
  qg_metrics_add (metrics, "control_syncs_total", "Syncs of the log.", NULL,
                  qg_store_syncs (control->store));
  qg_metrics_add (metrics, "control_log_bytes", "Bytes of the log on disk.",
                  NULL, qg_store_log_bytes (control->store));
  qg_metrics_add (metrics, "control_other_fleet",
                  "Whether members of another fleet are connected.", NULL,
                  qg_cons_other_fleet (control->cons, qg_clock_now ()) != 0);
  control_rollout_add_metrics (control, metrics);
  qg_metrics_add_traffic (metrics, "control",
                          qg_peer_hub_traffic (control->peers));
}
