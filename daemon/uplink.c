#include "uplink.h"

#include "lib/event.h"

enum
{
  TICK_MS = 300,
  PERMIT_PERIOD_MS = 1400,
  /* An ask that is not answered by then goes to every member. */
  PERMIT_LATE_MS = 600,
  ASK_AGAIN_MS = 700,
  PERMITS_KEPT = 16,
};

typedef struct
{
  guint64 seq;
  GBytes *packed; /* the PeerMsg */
  QgTime sent_at;
  QgTime deadline;
  QgUplinkAnswer answer;
  gpointer user;
} Ask;

struct QgUplink
{
  QgBoard *board;
  QgPeerHub *hub;
  guint (*running) (gpointer user);
  gpointer user;
  GHashTable *addresses; /* dialled */
  GPtrArray *members;    /* of QgPeer, dialled; owned by the hub */
  QgPeer *leader;        /* the member that gave the latest permit */
  QgTime heard_at;       /* its latest permit */
  QgTime asked_at;
  gboolean behind; /* the latest permit names a newer document than ours */
  guint64 seq;
  guint64 permit_seq;
  QgTime permit_sent[PERMITS_KEPT]; /* by permit_seq modulo PERMITS_KEPT */
  guint timer;
  GHashTable *asks; /* seq to Ask */
};

static void add_member (QgUplink *uplink, const char *address);
static void learn_member (QgUplink *uplink, const char *address);
static void lose (QgUplink *uplink, const char *why);
static gboolean on_timer (gpointer user);
static gboolean is_late (const QgUplink *uplink);
static void ask_permit (QgUplink *uplink);
static void take_document (QgUplink *uplink, const Qg__DocUpdate *update);
static void take_manifest (QgUplink *uplink, const Qg__ManifestUpdate *update);
static void take_permit (QgUplink *uplink, QgPeer *peer,
                         const Qg__Permit *permit);
static void follow (QgUplink *uplink, QgPeer *leader);
static void send_watch (QgUplink *uplink);
static void take_answer (QgUplink *uplink, guint64 seq, const Qg__PeerMsg *msg);
static guint64 answer_seq (const Qg__PeerMsg *msg);
static void resend_asks (QgUplink *uplink, gboolean all);
static void send_ask (QgUplink *uplink, Ask *ask);
static void ask_free (gpointer data);

QgUplink *
qg_uplink_new (QgBoard *board, QgPeerHub *hub, guint (*running) (gpointer user),
               gpointer user)
{
  const QgSettings *settings = board->settings;
  QgUplink *uplink = g_new0 (QgUplink, 1);

  uplink->board = board;
  uplink->hub = hub;
  uplink->running = running;
  uplink->user = user;
  uplink->members = g_ptr_array_new ();
  uplink->addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uplink->asks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ask_free);
  for (guint i = 0; i < settings->n_peers; i++)
    add_member (uplink, settings->peers[i].address);
  /* A process that holds all roles is its own control member. */
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
    qg_peer_hub_forget (uplink->hub, g_ptr_array_index (uplink->members, i));
  g_ptr_array_unref (uplink->members);
  g_hash_table_unref (uplink->addresses);
  g_hash_table_unref (uplink->asks);
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
    lose (uplink, "the connection ended");
}

void
qg_uplink_message (QgUplink *uplink, QgPeer *peer, const Qg__PeerMsg *msg)
{
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_PERMIT:
      take_permit (uplink, peer, msg->permit);
      break;
    case QG__PEER_MSG__KIND_NOT_LEADER:
      if (uplink->leader == peer)
        lose (uplink, "it leads no longer");
      learn_member (uplink, msg->not_leader->address);
      break;
    case QG__PEER_MSG__KIND_MANIFEST_UPDATE:
      if (peer == uplink->leader)
        take_manifest (uplink, msg->manifest_update);
      break;
    case QG__PEER_MSG__KIND_TARGET_UPDATE:
      if (peer == uplink->leader)
        qg_board_apply_targets (uplink->board, msg->target_update);
      break;
    case QG__PEER_MSG__KIND_DOC_UPDATE:
      /* Only a member whose lease a quorum confirmed gives permits, so only
       * its documents are believed. */
      if (peer == uplink->leader)
        take_document (uplink, msg->doc_update);
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
      take_answer (uplink, answer_seq (msg), msg);
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
qg_uplink_ask (QgUplink *uplink, const Qg__PeerMsg *msg, guint64 seq,
               QgTime deadline, QgUplinkAnswer answer, gpointer user)
{
  Ask *ask = g_new0 (Ask, 1);
  gsize size = qg__peer_msg__get_packed_size (msg);
  guint8 *packed = g_malloc (size);

  qg__peer_msg__pack (msg, packed);
  ask->seq = seq;
  ask->packed = g_bytes_new_take (packed, size);
  ask->deadline = deadline;
  ask->answer = answer;
  ask->user = user;
  g_hash_table_insert (uplink->asks, &ask->seq, ask);
  send_ask (uplink, ask);
}

guint
qg_uplink_pending (const QgUplink *uplink)
{
  return g_hash_table_size (uplink->asks);
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
  QgTime since = g_get_monotonic_time () - uplink->asked_at;

  if (uplink->leader == NULL || is_late (uplink)
      || since > (PERMIT_PERIOD_MS - TICK_MS / 2) * QG_MSEC)
    ask_permit (uplink);
  resend_asks (uplink, FALSE);
  return G_SOURCE_CONTINUE;
}

/* Whether the latest ask has no answer though it should. */
static gboolean
is_late (const QgUplink *uplink)
{
  return uplink->heard_at < uplink->asked_at
         && g_get_monotonic_time () - uplink->asked_at
                >= PERMIT_LATE_MS * QG_MSEC;
}

/* Asks the leader, or every member while none is known or it is silent. */
static void
ask_permit (QgUplink *uplink)
{
  gboolean late = is_late (uplink);
  Qg__PermitAsk ask = QG__PERMIT_ASK__INIT;

  ask.seq = ++uplink->permit_seq;
  ask.revision = uplink->board->revision;
  ask.directory = uplink->board->directory_version;
  ask.running = uplink->running (uplink->user);
  uplink->asked_at = g_get_monotonic_time ();
  uplink->permit_sent[ask.seq % PERMITS_KEPT] = uplink->asked_at;
  for (guint i = 0; i < uplink->members->len; i++)
    {
      QgPeer *peer = g_ptr_array_index (uplink->members, i);

      if (uplink->leader == NULL || late || peer == uplink->leader)
        QG_SEND (peer, PERMIT_ASK, permit_ask, &ask);
    }
}

static void
take_permit (QgUplink *uplink, QgPeer *peer, const Qg__Permit *permit)
{
  if (permit->seq > uplink->permit_seq
      || permit->seq + PERMITS_KEPT <= uplink->permit_seq)
    return;
  if (permit->term < uplink->board->term)
    return;
  uplink->board->term = permit->term;
  uplink->heard_at = g_get_monotonic_time ();
  if (peer != uplink->leader)
    follow (uplink, peer);
  if (uplink->board->revision < permit->revision
      || (uplink->board->read_manifest != NULL
          && uplink->board->change < permit->change))
    {
      /* The lease does not grow on an old document. */
      uplink->behind = TRUE;
      send_watch (uplink);
      return;
    }
  qg_board_apply_permit (uplink->board, permit,
                         uplink->permit_sent[permit->seq % PERMITS_KEPT]);
}

static void
take_document (QgUplink *uplink, const Qg__DocUpdate *update)
{
  if (!qg_board_apply_update (uplink->board, update))
    send_watch (uplink);
  else if (uplink->behind)
    ask_permit (uplink);
  uplink->behind = FALSE;
}

static void
take_manifest (QgUplink *uplink, const Qg__ManifestUpdate *update)
{
  if (!qg_board_apply_manifest (uplink->board, update))
    send_watch (uplink);
  else if (uplink->behind)
    ask_permit (uplink);
  uplink->behind = FALSE;
}

/* The leader may be a member that was added after the settings were written. */
static void
learn_member (QgUplink *uplink, const char *address)
{
  if (address[0] == '\0' || g_hash_table_contains (uplink->addresses, address))
    return;
  add_member (uplink, address);
}

static void
lose (QgUplink *uplink, const char *why)
{
  qg_event (QG_EV_UPLINK, "lost the leader: %s", why);
  uplink->leader = NULL;
}

static void
follow (QgUplink *uplink, QgPeer *leader)
{
  uplink->leader = leader;
  qg_event (QG_EV_UPLINK, "follows %s, term %" G_GUINT64_FORMAT,
            qg_peer_hello (leader)->name, uplink->board->term);
  send_watch (uplink);
  resend_asks (uplink, TRUE);
}

static void
send_watch (QgUplink *uplink)
{
  Qg__Watch watch = QG__WATCH__INIT;

  if (uplink->leader == NULL)
    return;
  watch.revision = uplink->board->revision;
  watch.directory = uplink->board->directory_version;
  watch.change = uplink->board->change;
  watch.manifest
      = uplink->board->manifest != NULL ? uplink->board->manifest->version : 0;
  watch.targets = uplink->board->targets_version;
  QG_SEND (uplink->leader, WATCH, watch, &watch);
}

static void
take_answer (QgUplink *uplink, guint64 seq, const Qg__PeerMsg *msg)
{
  Ask *ask = g_hash_table_lookup (uplink->asks, &seq);

  if (ask == NULL)
    return;
  g_hash_table_steal (uplink->asks, &seq);
  if (ask->answer != NULL)
    ask->answer (ask->user, msg);
  ask_free (ask);
}

static guint64
answer_seq (const Qg__PeerMsg *msg)
{
  switch (msg->kind_case)
    {
    case QG__PEER_MSG__KIND_CLAIM_ANSWER:
      return msg->claim_answer->seq;
    default:
      return 0;
    }
}

static void
resend_asks (QgUplink *uplink, gboolean all)
{
  QgTime now = g_get_monotonic_time ();
  GList *values = g_hash_table_get_values (uplink->asks);
  GPtrArray *late = g_ptr_array_new ();

  for (GList *i = values; i != NULL; i = i->next)
    {
      Ask *ask = i->data;

      if (now >= ask->deadline)
        g_ptr_array_add (late, ask);
      else if (all || now - ask->sent_at > ASK_AGAIN_MS * QG_MSEC)
        send_ask (uplink, ask);
    }
  g_list_free (values);
  for (guint i = 0; i < late->len; i++)
    take_answer (uplink, ((Ask *)g_ptr_array_index (late, i))->seq, NULL);
  g_ptr_array_free (late, TRUE);
}

static void
send_ask (QgUplink *uplink, Ask *ask)
{
  gsize size;
  const guint8 *data = g_bytes_get_data (ask->packed, &size);
  Qg__PeerMsg *msg;

  if (uplink->leader == NULL)
    return;
  msg = qg__peer_msg__unpack (NULL, size, data);
  qg_peer_send (uplink->leader, msg);
  qg__peer_msg__free_unpacked (msg, NULL);
  ask->sent_at = g_get_monotonic_time ();
}

static void
ask_free (gpointer data)
{
  Ask *ask = data;

  g_bytes_unref (ask->packed);
  g_free (ask);
}
