#include "libagent.h"

#include "lib/event.h"

enum
{
  MAINTENANCE_PERIOD_MS = 500,
  /* A report is sent on the timer tick nearest to its due time. */
  REPORT_TOLERANCE_US = MAINTENANCE_PERIOD_MS * 1000 / 2,
};

static void on_peer_up (gpointer user, QgPeer *peer);
static void on_peer_down (gpointer user, QgPeer *peer);
static void on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
static void handle_offer (QgAgentLink *link, const Qg__Offer *offer);
static void load_weight (QgAgent *agent, const char *workspace);
static void on_board_change (gpointer user, guint what);
static void apply_document (QgAgent *agent);
static void apply_slots (QgAgent *agent, const QgDocService *service);
static void update_links (QgAgent *agent);
static void close_stale_links (QgAgent *agent);
static void link_open (QgAgent *agent, const Qg__DirEntry *entry);
static void link_free (gpointer data);
static void send_action (QgAgent *agent, const QgSchedAction *action);
static QgAgentLink *find_link (QgAgent *agent, guint number);
static gboolean on_wakeup (gpointer user);
static gboolean on_maintenance (gpointer user);
static void extend_permit_when_cut_off (QgAgent *agent, QgTime now);
static void send_report (QgAgent *agent);
static guint running_count (gpointer user);

static const QgPeerOps peer_ops = { on_peer_up, on_peer_down, on_message };

QgAgent *
qg_agent_new (QgSettings *settings, guint index, GBytes *fleet_key)
{
  QgAgent *agent = g_new0 (QgAgent, 1);
  const QgSettingsAgent *config = &settings->agents[index];
  QgPeerOptions peer_options = { 0 };
  QgSchedOptions sched_options = { 0 };
  QgColdOptions cold_options = { 0 };
  QgAnswerOptions answer_options = { 0 };
  QgTime now = qg_clock_now ();

  agent->settings = qg_settings_ref (settings);
  agent->config = config;
  agent->trace = qg_trace_open (settings->daemon.trace_file, config->name);
  agent->incarnation = (guint64)g_get_real_time ();
  agent->links
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  agent->received
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  agent->by_number = g_hash_table_new (NULL, NULL);
  agent->workspaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  agent->jobs = g_hash_table_new (NULL, NULL);
  answer_options.hold_time = (QgTime)config->hold_ms * QG_MSEC;
  answer_options.hold_bytes = config->hold_bytes;
  agent->answers = qg_answers_new (&answer_options);
  agent->isolate = qg_isolate_new ();
  agent->runs = qg_run_pool_new ();

  sched_options.service = config->service;
  agent->sched = qg_sched_new (&sched_options);
  cold_options.slots = (guint)config->slots;
  cold_options.cold_slots = (guint)config->cold_slots;
  cold_options.double_us = QG_SEC;
  qg_sched_add_target (agent->sched, now, &cold_options);

  peer_options.role = QG__ROLE__ROLE_AGENT;
  peer_options.name = config->name;
  peer_options.dc = settings->daemon.dc;
  peer_options.region = settings->daemon.region;
  peer_options.service = config->service;
  peer_options.incarnation = agent->incarnation;
  peer_options.fleet_key = fleet_key;
  peer_options.ops = &peer_ops;
  peer_options.user = agent;
  agent->hub = qg_peer_hub_new (&peer_options);
  agent->orders = qg_agent_orders_new (agent);
  agent->board = qg_board_new (settings, on_board_change, agent);
  agent->uplink
      = qg_uplink_new (agent->board, agent->hub, running_count, agent);
  agent->probe = qg_agent_probe_new (agent);
  agent->maintenance_timer
      = g_timeout_add (MAINTENANCE_PERIOD_MS, on_maintenance, agent);
  return agent;
}

void
qg_agent_drain (QgAgent *agent)
{
  agent->draining = TRUE;
  qg_agent_update_admission (agent);
  qg_agent_pump (agent);
}

guint
qg_agent_running (const QgAgent *agent)
{
  return g_hash_table_size (agent->jobs);
}

guint
qg_agent_pending_work (const QgAgent *agent)
{
  guint sum = qg_agent_running (agent)
              + qg_answers_unsent_count (agent->answers)
              + qg_uplink_pending (agent->uplink);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum += qg_peer_unsent (((QgAgentLink *)value)->peer) > 0 ? 1 : 0;
  return sum;
}

void
qg_agent_free (QgAgent *agent)
{
  qg_peer_hub_disable_callbacks (agent->hub);
  g_source_remove (agent->maintenance_timer);
  if (agent->crash_timer != 0)
    g_source_remove (agent->crash_timer);
  qg_agent_probe_free (agent->probe);
  qg_agent_orders_free (agent->orders);
  g_hash_table_unref (agent->links);
  qg_uplink_free (agent->uplink);
  qg_peer_hub_free (agent->hub);
  if (agent->wakeup_timer != 0)
    g_source_remove (agent->wakeup_timer);
  qg_board_free (agent->board);
  qg_sched_unref (agent->sched);
  g_hash_table_unref (agent->received);
  g_hash_table_unref (agent->by_number);
  g_hash_table_unref (agent->workspaces);
  g_hash_table_unref (agent->jobs);
  qg_answers_unref (agent->answers);
  qg_isolate_unref (agent->isolate);
  qg_run_pool_free (agent->runs);
  qg_trace_close (agent->trace);
  g_free (agent->boot_id);
  qg_settings_unref (agent->settings);
  g_free (agent);
}

void
qg_agent_pump (QgAgent *agent)
{
  QgTime now = qg_clock_now ();
  QgSchedAction action;
  QgTime wakeup;

  while (qg_sched_next (agent->sched, now, &action))
    send_action (agent, &action);
  wakeup = qg_sched_wakeup (agent->sched, now);
  if (agent->wakeup_timer != 0)
    g_source_remove (agent->wakeup_timer);
  agent->wakeup_timer = 0;
  if (wakeup != G_MAXINT64)
    agent->wakeup_timer = g_timeout_add (
        (guint)CLAMP ((wakeup - now) / QG_MSEC + 1, 1, G_MAXINT), on_wakeup,
        agent);
}

void
qg_agent_update_admission (QgAgent *agent)
{
  qg_sched_set_draining (agent->sched, qg_clock_now (), 0,
                         agent->draining || agent->target_drains
                             || agent->board->target_drains
                             || qg_agent_orders_superseded (agent->orders)
                             || !qg_isolate_may_pull (agent->isolate));
}

void
qg_agent_check_boot_id (QgAgent *agent, const char *id)
{
  QgIsolateCrash crash;

  if (id == NULL || id[0] == '\0' || g_strcmp0 (id, agent->boot_id) == 0)
    return;
  if (agent->boot_id != NULL)
    {
      qg_event (QG_EV_TARGET_COLD, "target %s of service %s restarted",
                agent->config->target, agent->config->service);
      qg_cold_signal (qg_sched_cold (agent->sched, 0), qg_clock_now (),
                      QG_COLD_BOOT);
      qg_sched_target_restarted (agent->sched, 0);
      if (qg_isolate_target_restarted (agent->isolate, &crash))
        qg_agent_report_crash (agent, &crash);
    }
  g_free (agent->boot_id);
  agent->boot_id = g_strdup (id);
  qg_agent_orders_target_restarted (agent->orders);
}

static void
on_peer_up (gpointer user, QgPeer *peer)
{
  QgAgent *agent = user;
  QgAgentLink *link = qg_peer_get_data (peer);
  const Qg__Hello *hello = qg_peer_hello (peer);

  if (link == NULL)
    {
      qg_uplink_up (agent->uplink, peer);
      return;
    }
  link->incarnation = hello->incarnation;
  link->number = qg_sched_entry_up (
      agent->sched, qg_clock_now (),
      g_str_equal (hello->region, agent->settings->daemon.region));
  g_hash_table_insert (agent->by_number, GUINT_TO_POINTER (link->number), link);
  qg_agent_pump (agent);
}

static void
on_peer_down (gpointer user, QgPeer *peer)
{
  QgAgent *agent = user;
  QgAgentLink *link = qg_peer_get_data (peer);

  if (link == NULL)
    {
      qg_uplink_down (agent->uplink, peer);
      return;
    }
  qg_sched_entry_down (agent->sched, qg_clock_now (), link->number);
  g_hash_table_remove (agent->by_number, GUINT_TO_POINTER (link->number));
  link->number = 0;
  qg_answers_detach_user (agent->answers, link, qg_clock_now ());
  qg_agent_pump (agent);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  QgAgent *agent = user;
  QgAgentLink *link = qg_peer_get_data (peer);
  QgTime now = qg_clock_now ();

  if (link == NULL)
    {
      qg_uplink_message (agent->uplink, peer, msg);
      if (msg->kind_case == QG__PEER_MSG__KIND_FAIR_TOTALS
          && qg_fair_totals (qg_sched_fair (agent->sched), now,
                             msg->fair_totals))
        send_report (agent);
      return;
    }
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_OFFER:
      handle_offer (link, msg->offer);
      break;
    case QG__PEER_MSG__KIND_ASSIGN:
      qg_agent_assign (link, msg->assign);
      break;
    case QG__PEER_MSG__KIND_PULL_EMPTY:
      qg_sched_pull_empty (agent->sched, now, msg->pull_empty->pull_id);
      break;
    case QG__PEER_MSG__KIND_CANCEL:
      qg_agent_cancel (link, msg->cancel->request_id);
      break;
    case QG__PEER_MSG__KIND_WINDOW:
      qg_agent_window (link, msg->window);
      break;
    case QG__PEER_MSG__KIND_ATTACH:
      qg_agent_attach (link, msg->attach);
      break;
    default:
      break;
    }
  qg_agent_pump (agent);
}

static void
handle_offer (QgAgentLink *link, const Qg__Offer *offer)
{
  QgAgent *agent = link->agent;
  QgTime now = qg_clock_now ();

  if (offer->snapshot)
    qg_sched_offers_reset (agent->sched, link->number);
  for (size_t i = 0; i < offer->n_items; i++)
    {
      const Qg__OfferItem *item = offer->items[i];

      load_weight (agent, item->workspace);
      qg_sched_offer (agent->sched, now, link->number, item->workspace,
                      item->size_class != 0 ? QG_CLASS_LONG : QG_CLASS_SHORT,
                      item->waiting);
    }
}

static void
load_weight (QgAgent *agent, const char *workspace)
{
  const QgDocWorkspace *record;

  if (g_hash_table_contains (agent->workspaces, workspace))
    return;
  record = qg_doc_workspace (agent->board->doc, workspace);
  if (record == NULL)
    return;
  g_hash_table_add (agent->workspaces, g_strdup (workspace));
  qg_fair_set_weight (qg_sched_fair (agent->sched), workspace,
                      (guint)record->weight);
}

static void
on_board_change (gpointer user, guint what)
{
  QgAgent *agent = user;

  if ((what & QG_BOARD_DOC) != 0)
    apply_document (agent);
  if ((what & QG_BOARD_DIRECTORY) != 0)
    update_links (agent);
  if ((what & QG_BOARD_PERMIT) != 0)
    {
      qg_sched_set_permit (agent->sched, agent->board->permit_until);
      qg_agent_update_admission (agent);
    }
  qg_agent_orders_sync (agent->orders);
  qg_agent_pump (agent);
}

static void
apply_document (QgAgent *agent)
{
  const QgDoc *doc = agent->board->doc;
  const QgDocService *service = qg_doc_service (doc, agent->config->service);
  const QgDocTarget *target = qg_doc_target (doc, agent->config->name);
  GHashTableIter iter;
  gpointer name;

  qg_sched_set_dc_out (
      agent->sched, qg_clock_now (),
      !qg_board_dc_in_service (agent->board, agent->settings->daemon.dc));
  agent->target_drains = target != NULL && target->drain;
  qg_agent_update_admission (agent);
  if (service != NULL)
    {
      agent->kind = (QgServiceKind)service->kind;
      apply_slots (agent, service);
    }
  g_hash_table_iter_init (&iter, agent->workspaces);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const QgDocWorkspace *record = qg_doc_workspace (doc, name);

      if (record != NULL)
        qg_fair_set_weight (qg_sched_fair (agent->sched), name,
                            (guint)record->weight);
    }
}

/* The agent's settings override those of the service. */
static void
apply_slots (QgAgent *agent, const QgDocService *service)
{
  guint64 slots = agent->config->slots;
  guint64 cold_slots = agent->config->cold_slots;
  QgCold *cold = qg_sched_cold (agent->sched, 0);

  if (slots == 0)
    slots = service->slots;
  if (cold_slots == 0)
    cold_slots = service->cold_slots;
  qg_cold_set_slots (cold, (guint)slots, (guint)cold_slots);
  qg_cold_set_hold (cold, (QgTime)service->cold_ms * QG_MSEC);
}

static void
update_links (QgAgent *agent)
{
  GHashTableIter iter;
  gpointer value;

  close_stale_links (agent);
  g_hash_table_iter_init (&iter, agent->board->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Qg__DirEntry *entry = value;

      if (entry->role == QG__ROLE__ROLE_ENTRY
          && !g_hash_table_contains (agent->links, entry->name))
        link_open (agent, entry);
    }
}

/* Closes links to entries that are no longer listed in the directory, or that
 * changed their address. A working link is kept, since its entry may only have
 * lost contact with the control members. */
static void
close_stale_links (QgAgent *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgAgentLink *link = value;
      const Qg__DirEntry *entry
          = g_hash_table_lookup (agent->board->directory, link->name);

      if (qg_peer_is_up (link->peer))
        continue;
      if (entry == NULL || entry->role != QG__ROLE__ROLE_ENTRY
          || !g_str_equal (entry->address, link->address))
        g_hash_table_iter_remove (&iter);
    }
}

static void
link_open (QgAgent *agent, const Qg__DirEntry *entry)
{
  QgPeer *peer = qg_peer_hub_dial (agent->hub, entry->address);
  QgAgentLink *link;

  if (peer == NULL)
    return;
  link = g_new0 (QgAgentLink, 1);
  link->agent = agent;
  link->peer = qg_peer_ref (peer);
  link->name = g_strdup (entry->name);
  link->address = g_strdup (entry->address);
  qg_peer_set_data (peer, link);
  g_hash_table_insert (agent->links, link->name, link);
}

static void
link_free (gpointer data)
{
  QgAgentLink *link = data;

  qg_peer_hub_remove (link->agent->hub, link->peer);
  qg_peer_unref (link->peer);
  g_free (link->name);
  g_free (link->address);
  g_free (link);
}

static void
send_action (QgAgent *agent, const QgSchedAction *action)
{
  QgAgentLink *link = find_link (agent, action->entry);
  Qg__Pull pull = QG__PULL__INIT;
  Qg__Credit credit = QG__CREDIT__INIT;

  if (link == NULL)
    return;
  if (action->verb == QG_SCHED_CREDIT)
    {
      credit.free = action->free;
      QG_SEND (link->peer, CREDIT, credit, &credit);
      return;
    }
  pull.pull_id = action->pull_id;
  pull.workspace = (char *)action->workspace;
  pull.size_class = action->size_class;
  QG_SEND (link->peer, PULL, pull, &pull);
}

static QgAgentLink *
find_link (QgAgent *agent, guint number)
{
  return g_hash_table_lookup (agent->by_number, GUINT_TO_POINTER (number));
}

static gboolean
on_wakeup (gpointer user)
{
  QgAgent *agent = user;

  agent->wakeup_timer = 0;
  qg_agent_pump (agent);
  return G_SOURCE_REMOVE;
}

static gboolean
on_maintenance (gpointer user)
{
  QgAgent *agent = user;
  QgTime now = qg_clock_now ();

  if (now - agent->reported_at
      >= qg_fair_interval (qg_sched_fair (agent->sched)) - REPORT_TOLERANCE_US)
    send_report (agent);
  extend_permit_when_cut_off (agent, now);
  update_links (agent);
  qg_agent_maintain (agent);
  return G_SOURCE_CONTINUE;
}

/* With cut_off=serve, an agent whose permit expired continues with the last
 * document it received; claims still need the control members. */
static void
extend_permit_when_cut_off (QgAgent *agent, QgTime now)
{
  if (agent->settings->daemon.cut_off != QG_CUT_OFF_SERVE
      || agent->board->revision == 0 || now < agent->board->permit_until)
    return;
  qg_sched_set_permit (agent->sched, now + 2 * MAINTENANCE_PERIOD_MS * QG_MSEC);
  qg_agent_pump (agent);
}

static void
send_report (QgAgent *agent)
{
  QgPeer *leader = qg_uplink_leader (agent->uplink);
  Qg__FairReport report = QG__FAIR_REPORT__INIT;

  agent->reported_at = qg_clock_now ();
  if (leader != NULL
      && qg_fair_report (qg_sched_fair (agent->sched), agent->reported_at,
                         &report))
    QG_SEND (leader, FAIR_REPORT, fair_report, &report);
}

static guint
running_count (gpointer user)
{
  return qg_agent_running (user);
}

void
qg_agent_add_metrics (const QgAgent *agent, QgMetrics *metrics)
{
  QgCold *cold = qg_sched_cold (agent->sched, 0);
  char labels[160];

  g_snprintf (labels, sizeof labels, "agent=\"%s\",service=\"%s\"",
              agent->config->name, agent->config->service);
  qg_metrics_add (metrics, "agent_running", "Requests at the target.", labels,
                  qg_agent_running (agent));
  qg_metrics_add (metrics, "agent_limit", "Requests the target may run.",
                  labels, qg_cold_limit (cold, qg_clock_now ()));
  qg_metrics_add (metrics, "agent_entries", "Connected entries.", labels,
                  g_hash_table_size (agent->by_number));
  qg_metrics_add (metrics, "revision", "Configuration in force.", labels,
                  agent->board->revision);
  qg_metrics_add_traffic (metrics, agent->config->name,
                          qg_peer_hub_traffic (agent->hub));
}
