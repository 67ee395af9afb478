#include "librelay.h"

#include <string.h>

static void read_regions (QgRelay *relay);
static QgStatus start_peers (QgRelay *relay, GBytes *fleet_key, QgErr *err);
static void on_peer_up (gpointer user, QgPeer *peer);
static void on_peer_down (gpointer user, QgPeer *peer);
static void on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
static guint open_calls (gpointer user);
static void on_board_changed (gpointer user, guint what);
static void count_sharers (QgRelay *relay);
static void on_sweep (gpointer user);
static void on_demand_timer (gpointer user);
static void on_mesh_timer (gpointer user);
static void on_dispatch_timer (gpointer user);
static void after_iteration (gpointer user);
static void on_verdict (gpointer user, QgDispatchJob *job,
                        QgDispatchVerdict verdict, QgDispatchTarget *target,
                        QgTime retry_after);
static void on_pass_began (gpointer user);
static void on_pass_ended (gpointer user);
static gboolean is_within_share (QgRelay *relay, QgSlice key, QgTime now);
static gboolean may_accept (gpointer user);
static void on_connection_refused (gpointer user);
static gboolean admit_connection (gpointer user, const char *received,
                                  gsize len);
static void report_limited (QgRelay *relay);

static const QgPeerOps peer_ops = { on_peer_up, on_peer_down, on_message };

static const QgH1Gate gate = { may_accept, admit_connection,
                               on_connection_refused, RELAY_LIMITED_RESPONSE };

QgRelay *
qg_relay_new (QgSettings *settings, GBytes *fleet_key, QgErr *err)
{
  const QgSettingsRelay *relay_settings = &settings->relay;
  QgRelay *relay = g_new0 (QgRelay, 1);
  QgDispatchOptions options = { 0 };
  QgDispatchOps ops = { on_verdict, relay };

  relay->settings = qg_settings_ref (settings);
  relay->dialect = qg_platform_dialect ();
  relay->loop = qg_h1_loop_new ();
  qg_h1_loop_set_after (relay->loop, after_iteration, relay);
  qg_h1_loop_set_pass (relay->loop, on_pass_began, on_pass_ended, relay);
  relay->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  relay->unsized_routes = g_hash_table_new_full (
      g_str_hash, g_str_equal, (GDestroyNotify)qg_str_unref, NULL);
  relay->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        relay_pool_free);
  relay->budgets = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)qg_resend_budget_free);
  relay->target_states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  relay->entries = 1;
  relay->sharers = qg_sharers_new (relay_retry_window (relay));
  relay_memory_start (relay);
  relay_poison_start (relay);
  read_regions (relay);
  options.name = settings->daemon.name;
  options.region = settings->daemon.region;
  options.started = qg_clock_now ();
  relay->dispatch = qg_dispatch_new (&options, &ops);
  relay->board = qg_board_new (settings, on_board_changed, relay);
  relay->board->read_manifest = relay->dialect->read_manifest;
  relay_mesh_start (relay);
  relay_version_start (relay);
  relay_rollout_start (relay);
  if (start_peers (relay, fleet_key, err) != QG_OK)
    {
      qg_relay_free (relay);
      return NULL;
    }
  relay->sweep_timer.fire = on_sweep;
  relay->sweep_timer.user = relay;
  relay->dispatch_timer.fire = on_dispatch_timer;
  relay->dispatch_timer.user = relay;
  relay->demand_timer.fire = on_demand_timer;
  relay->demand_timer.user = relay;
  relay->shares = qg_share_gate_new ();
  on_sweep (relay);
  on_demand_timer (relay);
  relay->mesh_timer.fire = on_mesh_timer;
  relay->mesh_timer.user = relay;
  on_mesh_timer (relay);
  relay->listener = qg_h1_listen (relay->loop, relay_settings->listen,
                                  relay_caller_accept, relay, err);
  if (relay->listener != NULL)
    {
      qg_h1_listener_set_gate (relay->listener, &gate);
      qg_h1_listener_share_receive (relay->listener, relay->bytes.kernel, 0);
    }
  if (relay->listener != NULL && relay_settings->ready_listen[0] != '\0')
    relay->ready_listener = relay_ready_listen (relay, err);
  if (relay->listener == NULL
      || (relay_settings->ready_listen[0] != '\0'
          && relay->ready_listener == NULL))
    {
      qg_relay_free (relay);
      return NULL;
    }
  return relay;
}

static void
read_regions (QgRelay *relay)
{
  g_auto (GStrv) items
      = g_strsplit (relay->settings->relay.dc_regions, ",", -1);

  for (guint i = 0; items[i] != NULL; i++)
    {
      g_auto (GStrv) pair = g_strsplit (items[i], ":", 2);

      if (pair[0] != NULL && pair[1] != NULL)
        g_hash_table_replace (relay->regions, g_strdup (g_strstrip (pair[0])),
                              g_strdup (g_strstrip (pair[1])));
    }
}

static QgStatus
start_peers (QgRelay *relay, GBytes *fleet_key, QgErr *err)
{
  const QgSettingsDaemon *daemon = &relay->settings->daemon;
  const char *listen = relay->settings->relay.peer_listen;
  QgPeerOptions options = { 0 };

  options.role = QG__ROLE__ROLE_RELAY;
  options.name = daemon->name;
  options.dc = daemon->dc;
  options.region = daemon->region;
  if (listen[0] != '\0')
    options.address = relay->settings->relay.peer_address[0] != '\0'
                          ? relay->settings->relay.peer_address
                          : listen;
  options.incarnation = (guint64)g_get_real_time ();
  options.fleet_key = fleet_key;
  options.ops = &peer_ops;
  options.user = relay;
  relay->peers = qg_peer_hub_new (&options);
  relay->uplink = qg_uplink_new (relay->board, relay->peers, open_calls, relay);
  if (options.address == NULL)
    return QG_OK;
  return qg_peer_hub_listen (relay->peers, listen, err);
}

void
qg_relay_free (QgRelay *relay)
{
  if (relay == NULL)
    return;
  while (relay->callers.head != NULL)
    {
      RelayCaller *caller = relay->callers.head->data;

      if (caller->call != NULL)
        relay_call_caller_left (caller->call);
      relay_caller_close (caller);
    }
  qg_h1_listener_free (relay->listener);
  relay_ready_close (relay);
  g_hash_table_unref (relay->unsized_routes);
  g_hash_table_unref (relay->pools);
  g_hash_table_unref (relay->budgets);
  qg_sharers_free (relay->sharers);
  g_hash_table_unref (relay->regions);
  g_hash_table_unref (relay->target_states);
  if (relay->uplink != NULL)
    qg_uplink_free (relay->uplink);
  if (relay->peers != NULL)
    qg_peer_hub_free (relay->peers);
  relay_version_stop (relay);
  relay_rollout_stop (relay);
  relay_mesh_stop (relay);
  relay_poison_stop (relay);
  qg_board_free (relay->board);
  qg_dispatch_free (relay->dispatch);
  qg_share_gate_free (relay->shares);
  qg_h1_loop_free (relay->loop);
  qg_settings_unref (relay->settings);
  g_free (relay);
}

static void
on_peer_up (gpointer user, QgPeer *peer)
{
  QgRelay *relay = user;

  if (qg_uplink_owns (relay->uplink, peer))
    qg_uplink_up (relay->uplink, peer);
  else
    relay_mesh_peer_up (relay, peer);
}

static void
on_peer_down (gpointer user, QgPeer *peer)
{
  QgRelay *relay = user;

  if (qg_uplink_owns (relay->uplink, peer))
    qg_uplink_down (relay->uplink, peer);
  else
    relay_mesh_peer_down (relay, peer);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  QgRelay *relay = user;

  if (msg->kind_case == QG__PEER_MSG__KIND_LOAD)
    relay_mesh_receive (relay, peer, msg->load);
  else if (msg->kind_case == QG__PEER_MSG__KIND_SHARE_LEVEL)
    relay_share_set_level (relay, msg->share_level);
  else if (msg->kind_case == QG__PEER_MSG__KIND_ROLLOUT_UPDATE
           && peer == qg_uplink_leader (relay->uplink))
    relay_rollout_update (relay, msg->rollout_update);
  else
    qg_uplink_message (relay->uplink, peer, msg);
}

static guint
open_calls (gpointer user)
{
  return ((QgRelay *)user)->calls;
}

static void
on_board_changed (gpointer user, guint what)
{
  QgRelay *relay = user;

  if (what == QG_BOARD_MANIFEST)
    {
      qg_dispatch_set_drained (relay->dispatch, relay->board->drained_dcs,
                               g_strv_length (relay->board->drained_dcs));
      relay_version_manifest_changed (relay, qg_clock_now ());
    }
  if (what == QG_BOARD_DIRECTORY)
    {
      count_sharers (relay);
      relay_mesh_update_relays (relay);
    }
  if (what == QG_BOARD_TARGETS)
    relay_target_update (relay);
  if (what == QG_BOARD_SYNC)
    relay_version_heard (relay, qg_clock_now ());
  if (what == QG_BOARD_PERMIT)
    qg_sharers_answered (relay->sharers, relay->board->permit_asked_at);
}

/* A new leader lists the relays that have connected to it, so the directory
 * counts only once a leader has sent a whole one. */
static void
count_sharers (QgRelay *relay)
{
  QgTime now = qg_clock_now ();
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (!relay->board->directory_is_whole)
    return;
  g_hash_table_iter_init (&iter, relay->board->directory);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const Qg__DirEntry *)value)->role == QG__ROLE__ROLE_RELAY
        && strcmp (name, relay->settings->daemon.name) != 0)
      g_ptr_array_add (names, name);
  qg_sharers_set (relay->sharers, (const char *const *)names->pdata, names->len,
                  now);
  qg_dispatch_set_entries (relay->dispatch,
                           qg_sharers_count_loose (relay->sharers, now));
}

const char *
relay_region (const QgRelay *relay, const char *dc)
{
  const char *region = g_hash_table_lookup (relay->regions, dc);

  return region != NULL ? region : dc;
}

const QgLimits *
relay_limits (const QgRelay *relay)
{
  static const QgLimits defaults
      = { RELAY_DEFAULT_HEADER_BYTES, RELAY_DEFAULT_BODY_BYTES,
          RELAY_DEFAULT_HEADER_MS * QG_MSEC, RELAY_DEFAULT_IDLE_MS * QG_MSEC,
          0 };

  return relay->board->manifest != NULL ? &relay->board->manifest->limits
                                        : &defaults;
}

/* A permit confirms that this process had the newest manifest when it asked
 * for the permit. */
gboolean
relay_may_serve_keys (const QgRelay *relay, QgTime now)
{
  QgTime lease
      = ((QgTime)relay->settings->relay.key_lease_ms - RELAY_KEY_MARGIN_MS)
        * QG_MSEC;
  QgTime asked = relay->board->permit_until - QG_BOARD_DEFAULT_PERMIT_US;

  return now < asked + lease;
}

void
relay_histogram_add (RelayHistogram *histogram, QgTime value)
{
  guint n = 0;

  while (n < RELAY_BUCKETS && value > ((QgTime)1 << n) * QG_MSEC)
    n++;
  histogram->bucket[n]++;
  histogram->sum_us += (guint64)value;
}

static void
on_sweep (gpointer user)
{
  QgRelay *relay = user;
  QgTime now = qg_clock_now ();

  if (relay->draining
      && now - relay->drain_began > RELAY_DRAIN_ACCEPT_MS * QG_MSEC)
    relay_stop_accepting (relay);
  report_limited (relay);
  qg_dispatch_set_entries (relay->dispatch,
                           qg_sharers_count_loose (relay->sharers, now));
  relay_callers_sweep (relay, now);
  relay_pools_sweep (relay, now);
  qg_h1_timer_set (relay->loop, &relay->sweep_timer,
                   now + RELAY_SWEEP_MS * QG_MSEC);
}

/* The period of demand reports grows with the number of relays, to bound the
 * leader's load. */
static QgTime
report_period (const QgRelay *relay)
{
  return MAX (QG_SHARE_PERIOD,
              QG_SHARE_PERIOD_PER_ENTRY * (QgTime)relay->entries);
}

static void
on_demand_timer (gpointer user)
{
  QgRelay *relay = user;
  QgTime now = qg_clock_now ();

  relay_share_send_demand (relay, now);
  qg_h1_timer_set (relay->loop, &relay->demand_timer,
                   now + report_period (relay));
}

static void
on_mesh_timer (gpointer user)
{
  QgRelay *relay = user;

  relay_mesh_send_reports (relay);
  qg_h1_timer_set (relay->loop, &relay->mesh_timer,
                   qg_clock_now () + QG_MESH_PERIOD);
}

/* Only wakes the loop: after_iteration() runs the dispatch queue. */
static void
on_dispatch_timer (gpointer user)
{
}

static void
after_iteration (gpointer user)
{
  QgRelay *relay = user;
  QgTime next;

  qg_dispatch_run (relay->dispatch, qg_clock_now ());
  next = qg_dispatch_wakeup (relay->dispatch);
  if (next == G_MAXINT64)
    qg_h1_timer_clear (relay->loop, &relay->dispatch_timer);
  else
    qg_h1_timer_set (relay->loop, &relay->dispatch_timer, next);
}

static void
on_pass_began (gpointer user)
{
  qg_intake_begin (&((QgRelay *)user)->intake, qg_clock_now ());
}

static void
on_pass_ended (gpointer user)
{
  qg_intake_end (&((QgRelay *)user)->intake, qg_clock_now ());
}

static gboolean
is_within_share (QgRelay *relay, QgSlice key, QgTime now)
{
  const QgManifest *manifest = relay->board->manifest;
  const QgWorkspace *workspace
      = key.len > 0 && manifest != NULL
            ? qg_manifest_find_workspace (manifest, key.data, key.len)
            : NULL;

  return workspace != NULL
         && qg_share_gate_is_within (relay->shares, workspace->name, now);
}

/* A relay that shuts down answers each caller that has reached it. */
gboolean
relay_takes_request (QgRelay *relay, QgSlice key)
{
  QgTime now = qg_clock_now ();

  return relay->draining
         || qg_intake_take (&relay->intake, is_within_share (relay, key, now),
                            now);
}

static gboolean
may_accept (gpointer user)
{
  const QgRelay *relay = user;

  return relay->draining || qg_intake_may_refuse (&relay->intake);
}

static gboolean
admit_connection (gpointer user, const char *received, gsize len)
{
  QgRelay *relay = user;
  QgTime now = qg_clock_now ();
  QgSlice key = { 0 };

  if (relay->draining)
    return TRUE;
  if (received == NULL)
    return qg_intake_look (&relay->intake, now);
  /* The key is searched for only where it matters. */
  if (qg_intake_has_time (&relay->intake, TRUE, now))
    key = relay->dialect->find_key (received, len);
  return qg_intake_accept (&relay->intake, is_within_share (relay, key, now),
                           now);
}

static void
on_connection_refused (gpointer user)
{
  qg_intake_refused (&((QgRelay *)user)->intake, qg_clock_now ());
}

/* Logs the refused requests of a period in one line: they are not parsed, so
 * their ids are not known. */
static void
report_limited (QgRelay *relay)
{
  guint64 n = relay->intake.n_refused - relay->counts[RELAY_N_LIMITED];

  if (n == 0)
    return;
  relay->counts[RELAY_N_LIMITED] += n;
  qg_event (QG_EV_INTAKE_LIMITED,
            "refused=%" G_GUINT64_FORMAT
            " callers=%u calls=%u passes=%u refusing_ms=%" G_GINT64_FORMAT,
            n, relay->callers.length, relay->calls, relay->intake.passes,
            relay->intake.refusing_total / QG_MSEC);
  relay->intake.passes = 0;
  relay->intake.refusing_total = 0;
}

static void
on_verdict (gpointer user, QgDispatchJob *job, QgDispatchVerdict verdict,
            QgDispatchTarget *target, QgTime retry_after)
{
  static const char *const reasons[QG_N_NOTICE_BARS]
      = { [QG_NOTICE_CLEAR] = "no target became free in time",
          [QG_NOTICE_LIMIT] = "the targets' rate limits are used up",
          [QG_NOTICE_PAUSE] = "the targets asked for a pause",
          [QG_NOTICE_LEAVING] = "the targets are shutting down" };
  RelayCall *call = (RelayCall *)job;

  if (verdict == QG_DISPATCH_SEND)
    relay_send (call, target);
  else if (call->state == RELAY_FORWARDING)
    relay_send_abort (call, "no target is free to resume the stream");
  else
    relay_call_refuse (call, call->may_have_run ? 502 : 503,
                       call->may_have_run ? -1 : retry_after,
                       reasons[qg_dispatch_bar (job)]);
}

void
qg_relay_drain (QgRelay *relay)
{
  relay->draining = TRUE;
  relay->drain_began = qg_clock_now ();
}

guint
qg_relay_open_work (const QgRelay *relay)
{
  return relay->calls + (relay->listener != NULL ? 1 : 0)
         + relay->callers.length + qg_h1_loop_closing (relay->loop);
}

gboolean
qg_relay_is_ready (const QgRelay *relay)
{
  return !relay->draining && relay->board->manifest != NULL
         && qg_dispatch_target_count (relay->dispatch) > 0
         && relay_may_serve_keys (relay, qg_clock_now ());
}

QgTime
relay_retry_window (const QgRelay *relay)
{
  return (QgTime)(relay->settings->relay.retry_window_s * (double)QG_SEC);
}

QgResendBudget *
relay_resend_budget (QgRelay *relay, const char *service)
{
  QgResendBudget *budget = g_hash_table_lookup (relay->budgets, service);

  if (budget == NULL)
    {
      budget = qg_resend_budget_new ();
      g_hash_table_insert (relay->budgets, g_strdup (service), budget);
    }
  return budget;
}
