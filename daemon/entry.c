#include "libentry.h"

#include "lib/event.h"

enum
{
  TICK_MS = 100,
  WINDOW_UPDATE_BYTES = 64 * 1024,
  CALL_OVERHEAD_BYTES = 2048, /* estimate for a queued call without its body */
};

/* How long an entry that has gone counts as one that has saved retries. */
#define SHARERS_WINDOW (10 * QG_SEC)

/* Delay before a suspect that an agent bounced is queued again. */
#define SUSPECT_RETRY_DELAY (50 * QG_MSEC)

static void on_peer_up (gpointer user, QgPeer *peer);
static void on_peer_down (gpointer user, QgPeer *peer);
static void on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg);
static void close_replaced (QgEntry *entry, const Qg__Hello *hello);
static void agent_free (gpointer data);
static void handle_pull (QgEntry *entry, QgEntryAgent *agent,
                         const Qg__Pull *pull);
static void handle_credit (QgEntry *entry, QgEntryAgent *agent, guint credit);
static void handle_bounce (QgEntry *entry, QgEntryAgent *agent, guint64 id);
static QgCall *find_call (QgEntry *entry, QgEntryAgent *agent, guint64 id);
static guint64 next_number (QgEntry *entry, const QgEntryAgent *agent);
static void dispatch (QgEntry *entry, QgEntryAgent *agent, QgCall *call,
                      guint64 pull_id);
static QgEntryAgent *find_agent_with_credit (QgEntry *entry,
                                             const QgCall *call);
static QgEntryAgent *find_least_loaded (QgEntry *entry, const QgCall *call);
static void fill_queue_spec (const QgCall *call, QgQueueSpec *spec);
static QgClass class_from_wire (guint size_class);
static void refuse_unsent (QgEntry *entry, QgCall *call, QgStatus status,
                           const char *detail);
static gboolean on_tick (gpointer user);
static guint open_call_count (gpointer user);
static void on_board_changed (gpointer user, guint what);

static const QgPeerOps peer_ops = { on_peer_up, on_peer_down, on_message };

QgEntry *
qg_entry_new (QgSettings *settings, GBytes *fleet_key, QgErr *err)
{
  QgEntry *entry = g_new0 (QgEntry, 1);
  QgPeerOptions options = { 0 };
  QgQueueOptions queue_options = { 0 };

  entry->settings = qg_settings_ref (settings);
  entry->trace
      = qg_trace_open (settings->daemon.trace_file, settings->daemon.name);
  entry->incarnation = (guint64)g_get_real_time ();
  entry->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        (GDestroyNotify)qg_call_unref);
  entry->offers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_ptr_array_unref);
  entry->agents = g_hash_table_new_full (NULL, NULL, NULL, agent_free);
  entry->assigned
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->sharers = qg_sharers_new (SHARERS_WINDOW);
  entry->suspects = qg_suspect_new ();
  entry->lost_work = qg_lost_work_new ();
  queue_options.space_cap = (guint)settings->entry.queue_limit;
  entry->queue = qg_queue_new (&queue_options);
  entry->sizer = qg_sizer_new (0);

  options.role = QG__ROLE__ROLE_ENTRY;
  options.name = settings->daemon.name;
  options.dc = settings->daemon.dc;
  options.region = settings->daemon.region;
  options.address = qg_str_len (settings->entry.peer_address) > 0
                        ? settings->entry.peer_address
                        : settings->entry.peer_listen;
  options.incarnation = entry->incarnation;
  options.fleet_key = fleet_key;
  options.ops = &peer_ops;
  options.user = entry;
  entry->hub = qg_peer_hub_new (&options);
  entry->board = qg_board_new (settings, on_board_changed, entry);
  entry->uplink
      = qg_uplink_new (entry->board, entry->hub, open_call_count, entry);
  entry->tick_timer = g_timeout_add (TICK_MS, on_tick, entry);
  if (qg_peer_hub_listen (entry->hub, settings->entry.peer_listen, err) != QG_OK
      || qg_entry_http_start (entry, err) != QG_OK)
    {
      qg_entry_free (entry);
      return NULL;
    }
  return entry;
}

void
qg_entry_drain (QgEntry *entry)
{
  entry->draining = TRUE;
}

guint
qg_entry_open_calls (const QgEntry *entry)
{
  return g_hash_table_size (entry->calls);
}

gboolean
qg_entry_is_ready (const QgEntry *entry)
{
  return entry->board->revision > 0 && !entry->draining
         && qg_board_dc_in_service (entry->board, entry->settings->daemon.dc);
}

void
qg_entry_free (QgEntry *entry)
{
  qg_peer_hub_disable_callbacks (entry->hub);
  g_source_remove (entry->tick_timer);
  if (entry->offer_timer != 0)
    g_source_remove (entry->offer_timer);
  g_clear_object (&entry->server);
  qg_uplink_free (entry->uplink);
  qg_peer_hub_free (entry->hub);
  g_hash_table_unref (entry->calls);
  g_hash_table_unref (entry->agents);
  g_hash_table_unref (entry->offers);
  g_hash_table_unref (entry->assigned);
  g_hash_table_unref (entry->budgets);
  qg_sharers_free (entry->sharers);
  qg_suspect_unref (entry->suspects);
  qg_lost_work_free (entry->lost_work);
  qg_queue_unref (entry->queue);
  qg_sizer_free (entry->sizer);
  qg_trace_close (entry->trace);
  qg_board_free (entry->board);
  qg_settings_unref (entry->settings);
  g_free (entry);
}

void
qg_entry_submit (QgEntry *entry, QgCall *call)
{
  QgEntryAgent *agent = entry->settings->daemon.policy == QG_POLICY_BASELINE
                            ? find_least_loaded (entry, call)
                            : find_agent_with_credit (entry, call);
  const QgDocWorkspace *workspace;
  QgQueueSpec spec;
  QgErr err;

  if (call->estimate > 0)
    call->size_class = qg_sizer_class (entry->sizer, call->service,
                                       call->workspace, call->estimate);
  qg_entry_count_call (entry, call);
  if (qg_entry_refuse_quarantined (entry, call))
    return;
  if (agent != NULL)
    {
      agent->credit -= MIN (agent->credit, 1);
      dispatch (entry, agent, call, 0);
      return;
    }
  workspace = qg_doc_workspace (entry->board->doc, call->workspace);
  if (workspace != NULL)
    qg_queue_set_cap (entry->queue, call->workspace,
                      (guint)workspace->queue_limit);
  fill_queue_spec (call, &spec);
  if (qg_queue_push (entry->queue, &spec, call, &err) != QG_OK)
    {
      refuse_unsent (entry, call, err.status, err.message);
      return;
    }
  call->state = QG_CALL_QUEUED;
  qg_entry_schedule_offers (entry);
}

void
qg_entry_abandon (QgCall *call)
{
  QgEntry *entry = call->entry;

  if (call->state == QG_CALL_DONE)
    return;
  if (call->state == QG_CALL_QUEUED)
    qg_queue_cancel (entry->queue, call);
  qg_entry_send_cancel (call);
  qg_call_refuse (call, QG_E_UNKNOWN, QG__RUN__RUN_UNKNOWN,
                  "the caller disconnected");
  qg_entry_end_call (entry, call);
}

static void
on_peer_up (gpointer user, QgPeer *peer)
{
  QgEntry *entry = user;
  const Qg__Hello *hello = qg_peer_hello (peer);
  QgEntryAgent *agent;

  if (qg_uplink_owns (entry->uplink, peer))
    {
      qg_uplink_up (entry->uplink, peer);
      return;
    }
  if (hello->role != QG__ROLE__ROLE_AGENT)
    {
      qg_peer_close (peer);
      return;
    }
  close_replaced (entry, hello);
  agent = g_new0 (QgEntryAgent, 1);
  agent->peer = qg_peer_ref (peer);
  agent->name = g_strdup (hello->name);
  agent->service = g_strdup (hello->service);
  agent->local = g_str_equal (hello->region, entry->settings->daemon.region);
  agent->incarnation = hello->incarnation;
  g_hash_table_insert (entry->agents, peer, agent);
  qg_entry_send_snapshot (entry, agent);
  qg_entry_agent_connected (entry, agent);
}

/* An agent that connects again has lost its connection, which this entry may
 * not have noticed: the calls of that connection wait for its answers. */
static void
close_replaced (QgEntry *entry, const Qg__Hello *hello)
{
  GHashTableIter iter;
  gpointer value;
  QgPeer *replaced = NULL;

  g_hash_table_iter_init (&iter, entry->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgEntryAgent *agent = value;

      if (g_str_equal (agent->name, hello->name)
          && agent->incarnation == hello->incarnation)
        replaced = agent->peer;
    }
  if (replaced != NULL)
    qg_peer_close (replaced);
}

static void
on_peer_down (gpointer user, QgPeer *peer)
{
  QgEntry *entry = user;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *lost;

  if (qg_uplink_owns (entry->uplink, peer))
    {
      qg_uplink_down (entry->uplink, peer);
      return;
    }
  g_hash_table_remove (entry->agents, peer);
  lost = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_call_unref);
  g_hash_table_iter_init (&iter, entry->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QgCall *)value)->agent == peer)
      g_ptr_array_add (lost, qg_call_ref (value));
  for (guint i = 0; i < lost->len; i++)
    qg_entry_link_lost (entry, g_ptr_array_index (lost, i));
  g_ptr_array_unref (lost);
}

static void
on_message (gpointer user, QgPeer *peer, const Qg__PeerMsg *msg)
{
  QgEntry *entry = user;
  QgEntryAgent *agent = g_hash_table_lookup (entry->agents, peer);
  QgCall *call;

  if (agent == NULL)
    {
      qg_uplink_message (entry->uplink, peer, msg);
      return;
    }
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_PULL:
      handle_pull (entry, agent, msg->pull);
      break;
    case QG__PEER_MSG__KIND_CREDIT:
      handle_credit (entry, agent, msg->credit->free);
      break;
    case QG__PEER_MSG__KIND_BOUNCE:
      handle_bounce (entry, agent, msg->bounce->request_id);
      break;
    case QG__PEER_MSG__KIND_REPLY_HEAD:
      call = find_call (entry, agent, msg->reply_head->request_id);
      if (call != NULL)
        qg_entry_answer_head (entry, call, msg->reply_head);
      break;
    case QG__PEER_MSG__KIND_REPLY_DATA:
      call = find_call (entry, agent, msg->reply_data->request_id);
      if (call != NULL)
        qg_entry_answer_data (entry, call, msg->reply_data);
      break;
    case QG__PEER_MSG__KIND_REPLY_END:
      call = find_call (entry, agent, msg->reply_end->request_id);
      if (call != NULL)
        qg_entry_answer_end (entry, call, msg->reply_end);
      break;
    case QG__PEER_MSG__KIND_REPLY_FAIL:
      call = find_call (entry, agent, msg->reply_fail->request_id);
      if (call != NULL)
        qg_entry_answer_fail (entry, call, msg->reply_fail);
      break;
    default:
      break;
    }
}

static void
agent_free (gpointer data)
{
  QgEntryAgent *agent = data;

  qg_peer_unref (agent->peer);
  g_free (agent->name);
  g_free (agent->service);
  g_free (agent);
}

static void
handle_pull (QgEntry *entry, QgEntryAgent *agent, const Qg__Pull *pull)
{
  Qg__PullEmpty empty = QG__PULL_EMPTY__INIT;
  QgCall *call;

  do
    call = qg_queue_take (entry->queue, qg_clock_now (), agent->service,
                          pull->workspace, class_from_wire (pull->size_class));
  while (call != NULL && qg_entry_refuse_quarantined (entry, call));
  qg_entry_schedule_offers (entry);
  if (call != NULL)
    {
      dispatch (entry, agent, call, pull->pull_id);
      return;
    }
  empty.pull_id = pull->pull_id;
  empty.workspace = pull->workspace;
  empty.size_class = pull->size_class;
  QG_SEND (agent->peer, PULL_EMPTY, pull_empty, &empty);
}

/* An agent that knows of no queued requests sends credit: the number of its
 * free slots. Sends the agent the requests that were queued since then. */
static void
handle_credit (QgEntry *entry, QgEntryAgent *agent, guint credit)
{
  QgCall *call;

  agent->credit = credit;
  while (agent->credit > 0)
    {
      call = qg_queue_take_any (entry->queue, qg_clock_now (), agent->service);
      if (call == NULL)
        return;
      if (qg_entry_refuse_quarantined (entry, call))
        continue;
      agent->credit--;
      dispatch (entry, agent, call, 0);
      qg_entry_schedule_offers (entry);
    }
}

static void
handle_bounce (QgEntry *entry, QgEntryAgent *agent, guint64 id)
{
  QgCall *call = find_call (entry, agent, id);

  agent->credit = 0;
  if (call == NULL)
    return;
  call->attempt--;
  qg_entry_detach_agent (entry, call);
  /* An agent that already has a suspect request returns any other suspect
   * request. If the returned request were queued again at once, an agent could
   * return it again at once, so it waits first. */
  if (call->level != QG_POISON_CLEAR)
    qg_entry_requeue_after (entry, call, SUSPECT_RETRY_DELAY);
  else
    qg_entry_requeue (entry, call);
}

/* Finds a running call of @a agent; NULL for late messages of an agent that no
 * longer has the call. */
static QgCall *
find_call (QgEntry *entry, QgEntryAgent *agent, guint64 id)
{
  QgCall *call = g_hash_table_lookup (entry->calls, &id);

  if (call == NULL || call->state != QG_CALL_RUNNING
      || call->agent != agent->peer)
    return NULL;
  return call;
}

static guint64
next_number (QgEntry *entry, const QgEntryAgent *agent)
{
  QgEntryAssigned *assigned
      = g_hash_table_lookup (entry->assigned, agent->name);

  if (assigned == NULL)
    {
      assigned = g_new0 (QgEntryAssigned, 1);
      g_hash_table_insert (entry->assigned, g_strdup (agent->name), assigned);
    }
  if (assigned->incarnation != agent->incarnation)
    *assigned = (QgEntryAssigned){ agent->incarnation, 0, FALSE };
  return ++assigned->n;
}

static void
dispatch (QgEntry *entry, QgEntryAgent *agent, QgCall *call, guint64 pull_id)
{
  QgTime now = qg_clock_now ();
  Qg__Assign assign = QG__ASSIGN__INIT;

  if (!qg_entry_bind_stream (entry, call))
    return;
  call->state = QG_CALL_RUNNING;
  call->attempt++;
  call->attached = FALSE;
  call->sent_at = now;
  call->agent = qg_peer_ref (agent->peer);
  agent->running++;
  g_free (call->agent_name);
  call->agent_name = g_strdup (agent->name);
  call->agent_incarnation = agent->incarnation;
  qg_call_fill_assign (call, now, &assign);
  assign.pull_id = pull_id;
  assign.number = call->assign_number = next_number (entry, agent);
  QG_SEND (agent->peer, ASSIGN, assign, &assign);
}

/* The agent with the most credit, preferably in the entry's region; NULL when
 * no agent has credit or the workspace already has queued requests. */
static QgEntryAgent *
find_agent_with_credit (QgEntry *entry, const QgCall *call)
{
  GHashTableIter iter;
  gpointer value;
  QgEntryAgent *best = NULL;

  if (qg_queue_waiting (entry->queue, call->workspace) > 0)
    return NULL;
  g_hash_table_iter_init (&iter, entry->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgEntryAgent *agent = value;

      if (agent->credit == 0 || !g_str_equal (agent->service, call->service))
        continue;
      if (best == NULL || agent->local > best->local
          || (agent->local == best->local && agent->credit > best->credit))
        best = agent;
    }
  return best;
}

/* The baseline policy, used for comparison: the agent with the fewest requests
 * of this entry. */
static QgEntryAgent *
find_least_loaded (QgEntry *entry, const QgCall *call)
{
  GHashTableIter iter;
  gpointer value;
  QgEntryAgent *best = NULL;

  g_hash_table_iter_init (&iter, entry->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QgEntryAgent *agent = value;

      if (g_str_equal (agent->service, call->service)
          && (best == NULL || agent->running < best->running))
        best = agent;
    }
  return best;
}

void
qg_entry_requeue (QgEntry *entry, QgCall *call)
{
  QgQueueSpec spec;

  call->state = QG_CALL_QUEUED;
  fill_queue_spec (call, &spec);
  qg_queue_requeue (entry->queue, &spec, call);
  qg_entry_schedule_offers (entry);
}

void
qg_entry_end_call (QgEntry *entry, QgCall *call)
{
  qg_span_end (entry->trace, &call->span, call->workspace, call->service,
               call->outcome);
  qg_entry_detach_agent (entry, call);
  g_hash_table_remove (entry->calls, &call->id);
}

void
qg_entry_detach_agent (QgEntry *entry, QgCall *call)
{
  QgEntryAgent *agent;

  if (call->agent == NULL)
    return;
  agent = g_hash_table_lookup (entry->agents, call->agent);
  if (agent != NULL)
    agent->running--;
  g_clear_pointer (&call->agent, qg_peer_unref);
}

void
qg_entry_send_cancel (QgCall *call)
{
  Qg__Cancel cancel = QG__CANCEL__INIT;

  if (call->agent == NULL)
    return;
  cancel.request_id = call->id;
  QG_SEND (call->agent, CANCEL, cancel, &cancel);
}

void
qg_entry_add_written (QgCall *call, gsize bytes)
{
  call->bytes_written += bytes;
  qg_entry_update_window (call);
}

void
qg_entry_update_window (QgCall *call)
{
  Qg__Window window = QG__WINDOW__INIT;
  guint64 done = qg_call_bytes_done (call);

  if (call->agent == NULL || done < call->window_offset + WINDOW_UPDATE_BYTES)
    return;
  call->window_offset = done;
  window.request_id = call->id;
  window.offset = done;
  QG_SEND (call->agent, WINDOW, window, &window);
}

static void
fill_queue_spec (const QgCall *call, QgQueueSpec *spec)
{
  spec->service = call->service;
  spec->workspace = call->workspace;
  spec->size_class = class_from_wire (call->size_class);
  spec->deadline = call->deadline;
  spec->bytes = g_bytes_get_size (call->body) + CALL_OVERHEAD_BYTES;
}

static QgClass
class_from_wire (guint size_class)
{
  return size_class == 0 ? QG_CLASS_SHORT : QG_CLASS_LONG;
}

/* Refuses a call whose current attempt was not sent to a target. */
static void
refuse_unsent (QgEntry *entry, QgCall *call, QgStatus status,
               const char *detail)
{
  qg_event (QG_EV_CALL_REFUSED, "%s: %s", qg_status_name (status), detail);
  qg_call_refuse (call, status, (Qg__Run)call->progress, detail);
  qg_entry_end_call (entry, call);
}

static gboolean
on_tick (gpointer user)
{
  QgEntry *entry = user;
  QgTime now = qg_clock_now ();
  QgQueueDropped out;

  while (qg_queue_next_dropped (entry->queue, now, &out))
    refuse_unsent (
        entry, out.item, out.status,
        out.status == QG_E_TIMEOUT
            ? "no target had a free slot before the deadline"
            : "the queue is full and this workspace holds the most of it");
  qg_entry_abandon_disconnected (entry);
  return G_SOURCE_CONTINUE;
}

static guint
open_call_count (gpointer user)
{
  return qg_entry_open_calls (user);
}

/* A new leader lists the entries that have connected to it, so the directory
 * counts only once a leader has sent a whole one. */
static void
on_board_changed (gpointer user, guint what)
{
  QgEntry *entry = user;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (what != QG_BOARD_DIRECTORY || !entry->board->directory_is_whole)
    return;
  g_hash_table_iter_init (&iter, entry->board->directory);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const Qg__DirEntry *)value)->role == QG__ROLE__ROLE_ENTRY
        && !g_str_equal (name, entry->settings->daemon.name))
      g_ptr_array_add (names, name);
  qg_sharers_set (entry->sharers, (const char *const *)names->pdata, names->len,
                  qg_clock_now ());
}

void
qg_entry_add_metrics (const QgEntry *entry, QgMetrics *metrics)
{
  qg_metrics_add (metrics, "entry_open_calls", "Requests not answered yet.",
                  NULL, g_hash_table_size (entry->calls));
  qg_metrics_add (metrics, "entry_waiting", "Requests in the queue.", NULL,
                  qg_queue_waiting (entry->queue, NULL));
  qg_metrics_add (metrics, "entry_queue_bytes", "Memory of waiting requests.",
                  NULL, qg_queue_bytes (entry->queue));
  qg_metrics_add (metrics, "entry_sharers",
                  "Entries that share the retry budgets.", NULL,
                  qg_sharers_count (entry->sharers, qg_clock_now ()));
  qg_metrics_add (metrics, "entry_agents", "Connected agents.", NULL,
                  g_hash_table_size (entry->agents));
  qg_metrics_add (metrics, "revision", "Configuration in force.",
                  "role=\"entry\"", entry->board->revision);
  qg_metrics_add_traffic (metrics, "entry", qg_peer_hub_traffic (entry->hub));
}
