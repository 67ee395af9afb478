#include "lib/event.h"
#include "libcontrol.h"

#include <string.h>

static gboolean is_same_process (const ControlDaemon *daemon,
                                 const Qg__Hello *hello);
static void update_from_hello (ControlDaemon *daemon, const Qg__Hello *hello);
static void send_document (QgControl *control, ControlDaemon *daemon);
static void send_delta (QgPeer *peer, const QgDelta *delta);
static void send_quarantine (QgControl *control, QgPeer *peer);
static void send_members (QgControl *control, QgPeer *peer);
static gboolean is_draining (QgControl *control, const char *name);
static gboolean has_later_revision (QgControl *control, ControlDaemon *daemon);

void
control_daemon_free (gpointer data)
{
  ControlDaemon *daemon = data;

  g_free (daemon->name);
  g_free (daemon->dc);
  g_free (daemon->region);
  g_free (daemon->service);
  g_free (daemon->address);
  g_free (daemon);
}

static gboolean
is_same_process (const ControlDaemon *daemon, const Qg__Hello *hello)
{
  return daemon->incarnation == hello->incarnation
         && daemon->role == hello->role
         && g_strcmp0 (daemon->address, hello->address) == 0;
}

static void
update_from_hello (ControlDaemon *daemon, const Qg__Hello *hello)
{
  g_free (daemon->dc);
  g_free (daemon->region);
  g_free (daemon->service);
  g_free (daemon->address);
  daemon->role = hello->role;
  daemon->dc = g_strdup (hello->dc);
  daemon->region = g_strdup (hello->region);
  daemon->service = g_strdup (hello->service);
  daemon->address = g_strdup (hello->address);
  daemon->incarnation = hello->incarnation;
}

/* A new process with a known name replaces the old process in the directory. */
void
control_daemon_up (QgControl *control, QgPeer *peer)
{
  const Qg__Hello *hello = qg_peer_hello (peer);
  ControlDaemon *daemon = g_hash_table_lookup (control->daemons, hello->name);

  if (daemon == NULL)
    {
      daemon = g_new0 (ControlDaemon, 1);
      daemon->name = g_strdup (hello->name);
      g_hash_table_insert (control->daemons, daemon->name, daemon);
    }
  daemon->peer = peer;
  daemon->watching = FALSE;
  daemon->last_seen = qg_clock_now ();
  if (daemon->listed && is_same_process (daemon, hello))
    return;
  update_from_hello (daemon, hello);
  daemon->revision = 0;
  daemon->later_revision_logged = FALSE;
  control_directory_add (control, daemon);
}

void
control_daemon_down (QgControl *control, QgPeer *peer)
{
  ControlDaemon *daemon = control_daemon_find (control, peer);

  if (daemon == NULL)
    return;
  daemon->peer = NULL;
  daemon->watching = FALSE;
  daemon->last_seen = qg_clock_now ();
}

ControlDaemon *
control_daemon_find (QgControl *control, QgPeer *peer)
{
  const Qg__Hello *hello = qg_peer_hello (peer);
  ControlDaemon *daemon = g_hash_table_lookup (control->daemons, hello->name);

  return daemon != NULL && daemon->peer == peer ? daemon : NULL;
}

void
control_send_not_leader (QgControl *control, QgPeer *peer)
{
  Qg__NotLeader reply = QG__NOT_LEADER__INIT;
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  if (status.leader != NULL && status.role != QG_CONS_LEADER)
    {
      reply.leader = (char *)status.leader;
      for (guint i = 0; i < status.n_members; i++)
        if (strcmp (status.members[i].name, status.leader) == 0)
          reply.address = status.members[i].address;
    }
  QG_SEND (peer, NOT_LEADER, not_leader, &reply);
}

static gboolean
is_draining (QgControl *control, const char *name)
{
  const QgDoc *doc = qg_conf_doc (qg_rsm_conf (control->rsm));
  const QgDocTarget *target = qg_doc_target (doc, name);

  return target != NULL && target->drain;
}

/* A daemon can have a later revision only after a restore from an older backup.
 * Such a daemon gets no permit, because it would ignore the revisions of this
 * log. */
static gboolean
has_later_revision (QgControl *control, ControlDaemon *daemon)
{
  guint64 revision = qg_conf_revision (qg_rsm_conf (control->rsm));

  if (daemon->revision <= revision)
    return FALSE;
  if (!daemon->later_revision_logged)
    qg_event (QG_EV_DAEMON_AHEAD,
              "%s reports revision %" G_GUINT64_FORMAT
              " but the log is at revision %" G_GUINT64_FORMAT,
              daemon->name, daemon->revision, revision);
  daemon->later_revision_logged = TRUE;
  return TRUE;
}

/* Grants a daemon permission to start new work for a limited time. The daemon
 * counts the time from its own request, and ignores a permit that names a later
 * revision than its own. Work that only an older configuration allowed is
 * therefore started for at most QG_BOARD_DEFAULT_PERMIT_US after a change was
 * accepted. */
void
control_on_permit_ask (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  const Qg__PermitAsk *ask = msg->permit_ask;
  ControlDaemon *daemon = control_daemon_find (control, peer);
  Qg__Permit permit = QG__PERMIT__INIT;

  if (daemon == NULL)
    return;
  daemon->revision = ask->revision;
  daemon->running = ask->running;
  daemon->last_seen = qg_clock_now ();
  if (control_may_serve (control, NULL) != QG_OK || control->lead_term == 0)
    {
      control_send_not_leader (control, peer);
      return;
    }
  if (has_later_revision (control, daemon))
    return;
  permit.seq = ask->seq;
  permit.term = control->lead_term;
  permit.revision = qg_conf_revision (qg_rsm_conf (control->rsm));
  permit.change = qg_rsm_manifest (control->rsm)->change;
  permit.drain = is_draining (control, daemon->name);
  control->counts.permits++;
  QG_SEND (peer, PERMIT, permit, &permit);
}

/* The answer goes behind all updates that the daemon lacks, so updates that are
 * held back to limit their rate are sent first. A daemon whose Watch has not
 * come yet gets no answer. */
void
control_on_sync_ask (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  ControlDaemon *daemon = control_daemon_find (control, peer);
  Qg__Sync sync = QG__SYNC__INIT;

  if (daemon == NULL || !daemon->watching
      || control_may_serve (control, NULL) != QG_OK || control->lead_term == 0)
    return;
  control_send_manifest (control, daemon);
  if (!control_complete_targets (control, daemon))
    return;
  sync.seq = msg->sync_ask->seq;
  QG_SEND (peer, SYNC, sync, &sync);
}

void
control_on_watch (QgControl *control, QgPeer *peer, const Qg__PeerMsg *msg)
{
  ControlDaemon *daemon = control_daemon_find (control, peer);

  if (daemon == NULL)
    return;
  if (control_may_serve (control, NULL) != QG_OK || control->lead_term == 0)
    {
      control_send_not_leader (control, peer);
      return;
    }
  daemon->watching = TRUE;
  daemon->revision_sent = msg->watch->revision;
  daemon->manifest_change_sent = msg->watch->change;
  daemon->manifest_version_sent = msg->watch->manifest;
  daemon->targets_sent = 0;
  daemon->knows_targets = FALSE;
  /* Before the targets: a relay sends as soon as it knows some. */
  send_quarantine (control, peer);
  if (daemon->role == QG__ROLE__ROLE_RELAY)
    {
      control_send_manifest (control, daemon);
      control_send_rollouts (control, daemon);
      control_send_targets (control, daemon);
    }
  send_document (control, daemon);
  if (msg->watch->directory != control->directory_version)
    control_send_directory (control, daemon);
  send_members (control, peer);
}

static void
send_document (QgControl *control, ControlDaemon *daemon)
{
  QgConf *conf = qg_rsm_conf (control->rsm);
  guint64 revision = qg_conf_revision (conf);
  QgDelta *delta;

  if (daemon->revision_sent >= revision || daemon->peer == NULL)
    return;
  delta = qg_conf_delta (conf, daemon->revision_sent);
  send_delta (daemon->peer, delta);
  qg_delta_unref (delta);
  daemon->revision_sent = revision;
  control->counts.updates++;
}

static void
send_delta (QgPeer *peer, const QgDelta *delta)
{
  Qg__DocUpdate update = QG__DOC_UPDATE__INIT;
  guint n = delta->items->len;
  Qg__Section *sections = g_new (Qg__Section, n);
  Qg__Section **list = g_new (Qg__Section *, n);

  for (guint i = 0; i < n; i++)
    {
      const QgDeltaItem *item = &g_array_index (delta->items, QgDeltaItem, i);

      qg__section__init (&sections[i]);
      sections[i].name = item->id;
      sections[i].removed = item->text == NULL;
      if (item->text != NULL)
        {
          sections[i].text.data = (guint8 *)item->text;
          sections[i].text.len = qg_str_len (item->text);
        }
      list[i] = &sections[i];
    }
  update.from = delta->from;
  update.revision = delta->to;
  update.n_sections = n;
  update.sections = list;
  QG_SEND (peer, DOC_UPDATE, doc_update, &update);
  g_free (list);
  g_free (sections);
}

void
control_push_document (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlDaemon *)value)->watching)
      send_document (control, value);
}

static void
send_quarantine (QgControl *control, QgPeer *peer)
{
  const QgPoison *poison = qg_rsm_poison (control->rsm);
  Qg__Quarantine all = QG__QUARANTINE__INIT;
  guint room = qg_poison_count (poison);
  QgPoisonInfo *infos = g_new (QgPoisonInfo, room);
  Qg__QuarantineItem *items = g_new (Qg__QuarantineItem, room);
  Qg__QuarantineItem **list = g_new (Qg__QuarantineItem *, room);
  gconstpointer cursor = NULL;
  guint n = 0;

  while (n < room && qg_poison_next (poison, &cursor, &infos[n]))
    {
      qg__quarantine_item__init (&items[n]);
      items[n].fingerprint.data = infos[n].fingerprint;
      items[n].fingerprint.len = QG_POISON_FINGERPRINT_BYTES;
      items[n].level = infos[n].level;
      list[n] = &items[n];
      n++;
    }
  all.snapshot = TRUE;
  all.n_items = n;
  all.items = list;
  QG_SEND (peer, QUARANTINE, quarantine, &all);
  g_free (list);
  g_free (items);
  g_free (infos);
}

static void
send_members (QgControl *control, QgPeer *peer)
{
  Qg__Members members = QG__MEMBERS__INIT;
  char *addresses[QG_CONS_MAX_MEMBERS];
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  for (guint i = 0; i < status.n_members; i++)
    addresses[i] = (char *)status.members[i].address;
  members.n_addresses = status.n_members;
  members.addresses = addresses;
  QG_SEND (peer, MEMBERS, members, &members);
}

void
control_push_members (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlDaemon *)value)->watching)
      send_members (control, ((ControlDaemon *)value)->peer);
}

void
control_push_quarantine (QgControl *control, const Qg__PoisonResult *result)
{
  Qg__Quarantine change = QG__QUARANTINE__INIT;
  Qg__QuarantineItem *items;
  Qg__QuarantineItem **list;
  GHashTableIter iter;
  gpointer value;

  if (result->n_changed == 0)
    return;
  items = g_new (Qg__QuarantineItem, result->n_changed);
  list = g_new (Qg__QuarantineItem *, result->n_changed);
  for (size_t i = 0; i < result->n_changed; i++)
    {
      qg__quarantine_item__init (&items[i]);
      items[i].fingerprint = result->changed[i]->fingerprint;
      items[i].level = result->changed[i]->level;
      list[i] = &items[i];
    }
  change.n_items = result->n_changed;
  change.items = list;
  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlDaemon *)value)->watching)
      QG_SEND (((ControlDaemon *)value)->peer, QUARANTINE, quarantine, &change);
  g_free (list);
  g_free (items);
}

/* Removes a disconnected daemon from the directory after
 * CONTROL_DAEMON_TIMEOUT_MS, and deletes its record after twice
 * CONTROL_HOLDER_TIMEOUT_MS. */
void
control_watch_tick (QgControl *control)
{
  QgTime now = qg_clock_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ControlDaemon *daemon = value;
      QgTime absent = daemon->peer == NULL ? now - daemon->last_seen : 0;

      if (daemon->listed && absent > CONTROL_DAEMON_TIMEOUT_MS * QG_MSEC)
        control_directory_remove (control, daemon);
      if (absent > 2 * CONTROL_HOLDER_TIMEOUT_MS * QG_MSEC)
        g_hash_table_iter_remove (&iter);
    }
}
