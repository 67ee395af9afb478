#include "libcontrol.h"

#include <string.h>

enum
{
  /** Unsent bytes to a member above which messages to that member are dropped;
   * the consensus protocol sends them again. */
  MEMBER_UNSENT_MAX = 16 * 1024 * 1024,
};

static ControlMember *get_or_add_member (QgControl *control, const char *name);
static void set_address (QgControl *control, ControlMember *member,
                         const char *address);

static ControlMember *
get_or_add_member (QgControl *control, const char *name)
{
  ControlMember *member = g_hash_table_lookup (control->members, name);

  if (member != NULL)
    return member;
  member = g_new0 (ControlMember, 1);
  member->name = g_strdup (name);
  g_hash_table_insert (control->members, member->name, member);
  return member;
}

void
control_member_free (gpointer data)
{
  ControlMember *member = data;

  g_free (member->name);
  g_free (member->address);
  g_free (member);
}

static void
set_address (QgControl *control, ControlMember *member, const char *address)
{
  if (address[0] == '\0' || g_strcmp0 (member->address, address) == 0)
    return;
  if (member->dialled != NULL)
    qg_peer_hub_remove (control->peers, member->dialled);
  g_free (member->address);
  member->address = g_strdup (address);
  member->dialled = qg_peer_hub_dial (control->peers, address);
}

void
control_dial_members (QgControl *control)
{
  const QgSettings *settings = control->settings;
  QgConsStatus status;

  qg_cons_status (control->cons, qg_clock_now (), &status);
  for (guint i = 0; i < status.n_members; i++)
    if (strcmp (status.members[i].name, settings->daemon.name) != 0)
      set_address (control, get_or_add_member (control, status.members[i].name),
                   status.members[i].address);
  if (status.n_members > 0)
    return;
  for (guint i = 0; i < settings->n_peers; i++)
    if (strcmp (settings->peers[i].name, settings->daemon.name) != 0)
      set_address (control,
                   get_or_add_member (control, settings->peers[i].name),
                   settings->peers[i].address);
}

void
control_member_up (QgControl *control, QgPeer *peer)
{
  ControlMember *member
      = get_or_add_member (control, qg_peer_hello (peer)->name);

  if (peer != member->dialled)
    member->accepted = peer;
  /* Names the leader to a process that wants to join. The process dials the
   * leader, which adds the process as a member. */
  if (control->lead_term == 0)
    control_send_not_leader (control, peer);
}

void
control_member_dial (QgControl *control, const char *name, const char *address)
{
  set_address (control, get_or_add_member (control, name), address);
}

void
control_member_down (QgControl *control, QgPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((ControlMember *)value)->accepted == peer)
      ((ControlMember *)value)->accepted = NULL;
}

void
control_member_send (QgControl *control, const char *to, const Qg__ConsMsg *msg)
{
  const ControlMember *member = g_hash_table_lookup (control->members, to);
  Qg__Consensus consensus = QG__CONSENSUS__INIT;
  QgPeer *peer = NULL;
  size_t len;

  if (member == NULL)
    return;
  if (member->dialled != NULL && qg_peer_is_up (member->dialled)
      && strcmp (qg_peer_hello (member->dialled)->name, to) == 0)
    peer = member->dialled;
  else if (member->accepted != NULL && qg_peer_is_up (member->accepted))
    peer = member->accepted;
  if (peer == NULL || qg_peer_unsent (peer) > MEMBER_UNSENT_MAX)
    return;
  len = qg__cons_msg__get_packed_size (msg);
  consensus.payload.data = g_malloc (len + 1);
  consensus.payload.len = len;
  qg__cons_msg__pack (msg, consensus.payload.data);
  QG_SEND (peer, CONSENSUS, consensus, &consensus);
  g_free (consensus.payload.data);
}

void
control_member_message (QgControl *control, QgPeer *peer,
                        const Qg__Consensus *consensus)
{
  const Qg__Hello *hello = qg_peer_hello (peer);
  Qg__ConsMsg *msg;

  if (hello->role != QG__ROLE__ROLE_CONTROL || control->failed)
    return;
  msg = qg__cons_msg__unpack (NULL, consensus->payload.len,
                              consensus->payload.data);
  if (msg == NULL)
    return;
  qg_join_heard (control->join, hello->name, qg_clock_now ());
  qg_cons_receive (control->cons, hello->name, msg, qg_clock_now ());
  qg__cons_msg__free_unpacked (msg, NULL);
  control_schedule_pump (control);
}
