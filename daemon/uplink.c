#include "uplink.h"

#include "clock.h"
#include "lib/event.h"

enum
{
  TICK_MS = 300,
  PERMIT_RENEWAL_MS = 1400,
  /* After this time without an answer, the permit is requested from every
   * member. */
  PERMIT_TIMEOUT_MS = 600,
  RESEND_TIMEOUT_MS = 700,
  PERMIT_SENT_TIMES = 16,
  SYNC_SENT_TIMES = 32,
  /* Time without an answer after which a question is repeated. */
  SYNC_TIMEOUT_MS = 50,
  /* Least time between two questions of this process, and for each relay of the
   * fleet, which bounds what the leader has to answer to 10,000 a second. */
  SYNC_INTERVAL_US = 5000,
  SYNC_INTERVAL_PER_RELAY_US = 100,
};

typedef struct
{
  guint64 seq;
  GBytes *packed; /* the PeerMsg */
  QgTime sent_at;
  QgTime deadline;
  QgUplinkAnswered answered;
  gpointer user;
} UplinkRequest;

struct QgUplink
{
  QgBoard *board;
  QgPeerHub *hub;
  guint (*count_running) (gpointer user);
  gpointer user;
  GHashTable *addresses; /* addresses of members */
  GPtrArray *members;    /* of QgPeer, owned by the hub */
  QgPeer *leader;        /* the member that granted the latest permit */
  QgTime permit_received_at;
  QgTime permit_asked_at;
  gboolean ended;    /* the end of the permit was logged */
  gboolean outdated; /* the latest permit names a newer document or manifest */
  guint64 seq;
  guint64 permit_seq;
  QgTime permit_sent_at[PERMIT_SENT_TIMES]; /* index: seq modulo size */
  guint64 sync_seq;
  guint64 sync_seq_min; /* what was asked before may have been answered before
                           the last Watch was */
  QgTime sync_sent_at[SYNC_SENT_TIMES]; /* index: seq modulo size */
  guint timer;
  GHashTable *requests; /* seq to UplinkRequest */
};

static void add_member (QgUplink *uplink, const char *address);
static void add_new_member (QgUplink *uplink, const char *address);
static void clear_leader (QgUplink *uplink, const char *why);
static gboolean on_timer (gpointer user);
static gboolean permit_is_overdue (const QgUplink *uplink);
static void ask_permit (QgUplink *uplink);
static void handle_document (QgUplink *uplink, const Qg__DocUpdate *update);
static void handle_manifest (QgUplink *uplink,
                             const Qg__ManifestUpdate *update);
static void handle_permit (QgUplink *uplink, QgPeer *peer,
                           const Qg__Permit *permit);
static void handle_sync (QgUplink *uplink, const Qg__Sync *sync);
static QgTime sync_interval (const QgUplink *uplink);
static void check_permit (QgUplink *uplink);
static void log_granted_again (QgUplink *uplink, QgTime ended_at);
static void set_leader (QgUplink *uplink, QgPeer *leader);
static void send_watch (QgUplink *uplink);
static void finish_request (QgUplink *uplink, guint64 seq,
                            const Qg__PeerMsg *msg);
static guint64 answer_seq (const Qg__PeerMsg *msg);
static void resend_requests (QgUplink *uplink, gboolean all);
static void send_request (QgUplink *uplink, UplinkRequest *request);
static void request_free (gpointer data);

QgUplink *
qg_uplink_new (QgBoard *board, QgPeerHub *hub,
               guint (*count_running) (gpointer user), gpointer user)
{
  const QgSettings *settings = board->settings;
  QgUplink *uplink = g_new0 (QgUplink, 1);

  uplink->board = board;
  uplink->hub = hub;
  uplink->count_running = count_running;
  uplink->user = user;
  uplink->members = g_ptr_array_new ();
  uplink->addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uplink->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, request_free);
  for (guint i = 0; i < settings->n_peers; i++)
    add_member (uplink, settings->peers[i].address);
  /* Without peers in the settings, this process is its own control member. */
  if (settings->n_peers == 0)
    add_member (uplink, settings->control.peer_listen);
  uplink->timer = g_timeout_add (TICK_MS, on_timer, uplink);
  return uplink;
}

void
qg_uplink_free (QgUplink *uplink)
{
  g_source_remove (uplink->timer);
  for (guint i = 0; i < uplink->members->len; i++)
    qg_peer_hub_remove (uplink->hub, g_ptr_array_index (uplink->members, i));
  g_ptr_array_unref (uplink->members);
  g_hash_table_unref (uplink->addresses);
  g_hash_table_unref (uplink->requests);
  g_free (uplink);
}

gboolean
qg_uplink_owns (const QgUplink *uplink, const QgPeer *peer)
{
  return g_ptr_array_find (uplink->members, peer, NULL);
}

void
qg_uplink_up (QgUplink *uplink, QgPeer *peer)
{
  ask_permit (uplink);
}

void
qg_uplink_down (QgUplink *uplink, QgPeer *peer)
{
  if (uplink->leader == peer)
    clear_leader (uplink, "its connection closed");
}

void
qg_uplink_message (QgUplink *uplink, QgPeer *peer, const Qg__PeerMsg *msg)
{
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_PERMIT:
      handle_permit (uplink, peer, msg->permit);
      break;
    case QG__PEER_MSG__KIND_NOT_LEADER:
      if (uplink->leader == peer)
        clear_leader (uplink, "it is no longer the leader");
      add_new_member (uplink, msg->not_leader->address);
      break;
    case QG__PEER_MSG__KIND_MEMBERS:
      for (size_t i = 0; i < msg->members->n_addresses; i++)
        add_new_member (uplink, msg->members->addresses[i]);
      break;
    case QG__PEER_MSG__KIND_MANIFEST_UPDATE:
      if (peer == uplink->leader)
        handle_manifest (uplink, msg->manifest_update);
      break;
    case QG__PEER_MSG__KIND_TARGET_UPDATE:
      if (peer == uplink->leader)
        qg_board_apply_targets (uplink->board, msg->target_update);
      break;
    case QG__PEER_MSG__KIND_DOC_UPDATE:
      /* Documents are accepted only from the member that granted the latest
       * permit, because a permit needs a lease that a quorum confirmed. */
      if (peer == uplink->leader)
        handle_document (uplink, msg->doc_update);
      break;
    case QG__PEER_MSG__KIND_SYNC:
      if (peer == uplink->leader)
        handle_sync (uplink, msg->sync);
      break;
    case QG__PEER_MSG__KIND_DIRECTORY:
      if (peer == uplink->leader)
        qg_board_apply_directory (uplink->board, msg->directory);
      break;
    case QG__PEER_MSG__KIND_QUARANTINE:
      if (peer == uplink->leader)
        qg_board_apply_quarantine (uplink->board, msg->quarantine);
      break;
    default:
      finish_request (uplink, answer_seq (msg), msg);
      break;
    }
}

QgPeer *
qg_uplink_leader (const QgUplink *uplink)
{
  return uplink->leader;
}

guint64
qg_uplink_next_seq (QgUplink *uplink)
{
  return ++uplink->seq;
}

void
qg_uplink_request (QgUplink *uplink, const Qg__PeerMsg *msg, guint64 seq,
                   QgTime deadline, QgUplinkAnswered answered, gpointer user)
{
  UplinkRequest *request = g_new0 (UplinkRequest, 1);
  gsize size = qg__peer_msg__get_packed_size (msg);
  guint8 *packed = g_malloc (size);

  qg__peer_msg__pack (msg, packed);
  request->seq = seq;
  request->packed = g_bytes_new_take (packed, size);
  request->deadline = deadline;
  request->answered = answered;
  request->user = user;
  g_hash_table_insert (uplink->requests, &request->seq, request);
  send_request (uplink, request);
}

guint
qg_uplink_pending (const QgUplink *uplink)
{
  return g_hash_table_size (uplink->requests);
}

static void
add_member (QgUplink *uplink, const char *address)
{
  QgPeer *peer = qg_peer_hub_dial (uplink->hub, address);

  if (peer == NULL)
    return;
  g_hash_table_add (uplink->addresses, g_strdup (address));
  g_ptr_array_add (uplink->members, peer);
}

static gboolean
on_timer (gpointer user)
{
  QgUplink *uplink = user;
  QgTime elapsed = qg_clock_now () - uplink->permit_asked_at;

  qg_clock_check ();
  check_permit (uplink);
  if (uplink->leader == NULL || permit_is_overdue (uplink)
      || elapsed > (PERMIT_RENEWAL_MS - TICK_MS / 2) * QG_MSEC)
    ask_permit (uplink);
  resend_requests (uplink, FALSE);
  return G_SOURCE_CONTINUE;
}

/* Whether the answer to the latest permit request is overdue. */
static gboolean
permit_is_overdue (const QgUplink *uplink)
{
  return uplink->permit_received_at < uplink->permit_asked_at
         && qg_clock_now () - uplink->permit_asked_at
                >= PERMIT_TIMEOUT_MS * QG_MSEC;
}

/* Asks the leader for a permit. Asks every member while no leader is known or
 * the leader does not answer. */
static void
ask_permit (QgUplink *uplink)
{
  gboolean overdue = permit_is_overdue (uplink);
  Qg__PermitAsk ask = QG__PERMIT_ASK__INIT;

  ask.seq = ++uplink->permit_seq;
  ask.revision = uplink->board->revision;
  ask.directory = uplink->board->directory_version;
  ask.running = uplink->count_running (uplink->user);
  uplink->permit_asked_at = qg_clock_now ();
  uplink->permit_sent_at[ask.seq % PERMIT_SENT_TIMES] = uplink->permit_asked_at;
  for (guint i = 0; i < uplink->members->len; i++)
    {
      QgPeer *peer = g_ptr_array_index (uplink->members, i);

      if (uplink->leader == NULL || overdue || peer == uplink->leader)
        QG_SEND (peer, PERMIT_ASK, permit_ask, &ask);
    }
}

static void
handle_permit (QgUplink *uplink, QgPeer *peer, const Qg__Permit *permit)
{
  QgTime ended_at = uplink->board->permit_until;

  if (permit->seq > uplink->permit_seq
      || permit->seq + PERMIT_SENT_TIMES <= uplink->permit_seq)
    return;
  if (permit->term < uplink->board->term)
    return;
  uplink->board->term = permit->term;
  uplink->permit_received_at = qg_clock_now ();
  if (peer != uplink->leader)
    set_leader (uplink, peer);
  if (uplink->board->revision < permit->revision
      || (uplink->board->read_manifest != NULL
          && uplink->board->manifest_change < permit->change))
    {
      /* Don't extend the permit on an outdated document or manifest. */
      uplink->outdated = TRUE;
      send_watch (uplink);
      return;
    }
  qg_board_apply_permit (
      uplink->board, permit,
      uplink->permit_sent_at[permit->seq % PERMIT_SENT_TIMES]);
  log_granted_again (uplink, ended_at);
}

QgTime
qg_uplink_sync (QgUplink *uplink, QgTime since, QgTime now)
{
  Qg__SyncAsk ask = QG__SYNC_ASK__INIT;
  QgTime last = uplink->sync_sent_at[uplink->sync_seq % SYNC_SENT_TIMES];
  QgTime next
      = last
        + (last >= since ? SYNC_TIMEOUT_MS * QG_MSEC : sync_interval (uplink));

  if (now < next)
    return next;
  if (uplink->leader == NULL)
    return now + sync_interval (uplink);
  ask.seq = ++uplink->sync_seq;
  uplink->sync_sent_at[ask.seq % SYNC_SENT_TIMES] = now;
  QG_SEND (uplink->leader, SYNC_ASK, sync_ask, &ask);
  return now + SYNC_TIMEOUT_MS * QG_MSEC;
}

static QgTime
sync_interval (const QgUplink *uplink)
{
  GHashTableIter iter;
  gpointer entry;
  guint relays = 0;

  g_hash_table_iter_init (&iter, uplink->board->directory);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    relays += ((Qg__DirEntry *)entry)->role == QG__ROLE__ROLE_RELAY ? 1 : 0;
  return MAX (SYNC_INTERVAL_US, SYNC_INTERVAL_PER_RELAY_US * (QgTime)relays);
}

/* An update of the leader is dropped while this process follows another member
 * or none. The leader sends it again behind the Watch, but not before. */
static void
handle_sync (QgUplink *uplink, const Qg__Sync *sync)
{
  if (sync->seq < uplink->sync_seq_min || sync->seq > uplink->sync_seq
      || sync->seq + SYNC_SENT_TIMES <= uplink->sync_seq)
    return;
  qg_board_apply_sync (uplink->board,
                       uplink->sync_sent_at[sync->seq % SYNC_SENT_TIMES]);
}

/* Logs the end of the permit, with what tells a leader that is gone from one
 * whose answers do not arrive, and from an update that is missing. */
static void
check_permit (QgUplink *uplink)
{
  QgTime now = qg_clock_now ();
  guint up = 0;

  if (uplink->ended || uplink->board->permit_until == 0
      || qg_board_has_permit (uplink->board, now))
    return;
  uplink->ended = TRUE;
  for (guint i = 0; i < uplink->members->len; i++)
    up += qg_peer_is_up (g_ptr_array_index (uplink->members, i)) ? 1 : 0;
  qg_event (QG_EV_PERMIT,
            "ended: leader=%s members=%u/%u asked_ms=%" G_GINT64_FORMAT
            " answered_ms=%" G_GINT64_FORMAT
            " outdated=%d revision=%" G_GUINT64_FORMAT,
            uplink->leader != NULL ? qg_peer_hello (uplink->leader)->name : "-",
            up, uplink->members->len, (now - uplink->permit_asked_at) / QG_MSEC,
            (now - uplink->permit_received_at) / QG_MSEC, uplink->outdated,
            uplink->board->revision);
}

/* @ended_at: when the permit before this one ended; 0 if there was none. */
static void
log_granted_again (QgUplink *uplink, QgTime ended_at)
{
  QgTime now = qg_clock_now ();

  if (ended_at == 0 || now < ended_at
      || !qg_board_has_permit (uplink->board, now))
    return;
  uplink->ended = FALSE;
  qg_event (QG_EV_PERMIT, "granted again: leader=%s after_ms=%" G_GINT64_FORMAT,
            qg_peer_hello (uplink->leader)->name, (now - ended_at) / QG_MSEC);
}

static void
handle_document (QgUplink *uplink, const Qg__DocUpdate *update)
{
  if (!qg_board_apply_update (uplink->board, update))
    send_watch (uplink);
  else if (uplink->outdated)
    ask_permit (uplink);
  uplink->outdated = FALSE;
}

static void
handle_manifest (QgUplink *uplink, const Qg__ManifestUpdate *update)
{
  if (!qg_board_apply_manifest (uplink->board, update))
    send_watch (uplink);
  else if (uplink->outdated)
    ask_permit (uplink);
  uplink->outdated = FALSE;
}

/* Dials a member that joined after the settings were written. */
static void
add_new_member (QgUplink *uplink, const char *address)
{
  if (address[0] == '\0' || g_hash_table_contains (uplink->addresses, address))
    return;
  add_member (uplink, address);
}

static void
clear_leader (QgUplink *uplink, const char *why)
{
  qg_event (QG_EV_UPLINK, "lost the leader: %s", why);
  uplink->leader = NULL;
}

static void
set_leader (QgUplink *uplink, QgPeer *leader)
{
  uplink->leader = leader;
  qg_event (QG_EV_UPLINK, "following leader %s, term %" G_GUINT64_FORMAT,
            qg_peer_hello (leader)->name, uplink->board->term);
  send_watch (uplink);
  resend_requests (uplink, TRUE);
}

static void
send_watch (QgUplink *uplink)
{
  Qg__Watch watch = QG__WATCH__INIT;

  if (uplink->leader == NULL)
    return;
  watch.revision = uplink->board->revision;
  watch.directory = uplink->board->directory_version;
  watch.change = uplink->board->manifest_change;
  watch.manifest
      = uplink->board->manifest != NULL ? uplink->board->manifest->version : 0;
  watch.targets = uplink->board->targets_version;
  uplink->sync_seq_min = uplink->sync_seq + 1;
  QG_SEND (uplink->leader, WATCH, watch, &watch);
}

static void
finish_request (QgUplink *uplink, guint64 seq, const Qg__PeerMsg *msg)
{
  UplinkRequest *request = g_hash_table_lookup (uplink->requests, &seq);

  if (request == NULL)
    return;
  g_hash_table_steal (uplink->requests, &seq);
  if (request->answered != NULL)
    request->answered (request->user, msg);
  request_free (request);
}

static guint64
answer_seq (const Qg__PeerMsg *msg)
{
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_CLAIM_ANSWER:
      return msg->claim_answer->seq;
    case QG__PEER_MSG__KIND_LIFE_ANSWER:
      return msg->life_answer->seq;
    default:
      return 0;
    }
}

static void
resend_requests (QgUplink *uplink, gboolean all)
{
  QgTime now = qg_clock_now ();
  GList *values = g_hash_table_get_values (uplink->requests);
  GPtrArray *expired = g_ptr_array_new ();

  for (GList *i = values; i != NULL; i = i->next)
    {
      UplinkRequest *request = i->data;

      if (now >= request->deadline)
        g_ptr_array_add (expired, request);
      else if (all || now - request->sent_at > RESEND_TIMEOUT_MS * QG_MSEC)
        send_request (uplink, request);
    }
  g_list_free (values);
  for (guint i = 0; i < expired->len; i++)
    finish_request (
        uplink, ((UplinkRequest *)g_ptr_array_index (expired, i))->seq, NULL);
  g_ptr_array_free (expired, TRUE);
}

static void
send_request (QgUplink *uplink, UplinkRequest *request)
{
  gsize size;
  const guint8 *data = g_bytes_get_data (request->packed, &size);
  Qg__PeerMsg *msg;

  if (uplink->leader == NULL)
    return;
  msg = qg__peer_msg__unpack (NULL, size, data);
  qg_peer_send (uplink->leader, msg);
  qg__peer_msg__free_unpacked (msg, NULL);
  request->sent_at = qg_clock_now ();
}

static void
request_free (gpointer data)
{
  UplinkRequest *request = data;

  g_bytes_unref (request->packed);
  g_free (request);
}
