#include "lib/event.h"
#include "libcontrol.h"

#include <string.h>

/* A control process that connects and is not a member is added; lib/join
 * decides which member it has replaced. */

enum
{
  /** Interval between membership changes, each of which needs its own commit.
   */
  JOIN_INTERVAL_MS = 300,
};

static const QgConsMemberInfo *find_member (const QgConsStatus *status,
                                            const char *name);
static gboolean add_new_member (QgControl *control, const QgConsStatus *status);
static gboolean remove_replaced (QgControl *control, const char *replaced);
static QgPeer *connected_peer (const ControlMember *member);
static void note_connections (QgControl *control);
static void name_new_leader (QgControl *control, const QgConsStatus *status);
static guint64 received (const ControlMember *member, const QgPeer *peer);

void
control_join_tick (QgControl *control)
{
  QgTime now = qg_clock_now ();
  QgConsStatus status;
  const char *replaced;

  if (control->settings->control.tolerate == 0)
    return;
  qg_cons_status (control->cons, now, &status);
  name_new_leader (control, &status);
  note_connections (control);
  replaced = qg_join_tick (control->join, &status, now);
  if (control->lead_term == 0
      || now - control->last_membership_change < JOIN_INTERVAL_MS * QG_MSEC)
    return;
  if ((replaced != NULL && remove_replaced (control, replaced))
      || add_new_member (control, &status))
    control->last_membership_change = now;
}

/* A process that wants to join dials the members in its settings, and none of
 * them may have known a leader when it connected. The leader adds it once it
 * has dialled the leader. */
static void
name_new_leader (QgControl *control, const QgConsStatus *status)
{
  GHashTableIter iter;
  gpointer value;

  if (status->leader == NULL
      || g_strcmp0 (control->named_leader, status->leader) == 0)
    return;
  g_free (control->named_leader);
  control->named_leader = g_strdup (status->leader);
  if (status->role == QG_CONS_LEADER)
    return;
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlMember *member = value;

      if (member->accepted != NULL && qg_peer_is_up (member->accepted)
          && find_member (status, member->name) == NULL)
        control_send_not_leader (control, member->accepted);
    }
}

/* A leader hears from all members by its own messages, and a member that sends
 * no answers to these does not vote, whatever its connections do. Followers
 * only have the connections. */
static void
note_connections (QgControl *control)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ControlMember *member = value;
      guint64 count = received (member, member->dialled)
                      + received (member, member->accepted);

      if (count > member->received && control->lead_term == 0)
        qg_join_heard (control->join, member->name, qg_clock_now ());
      member->received = count;
    }
}

/* Counts nothing of another process at the member's address. */
static guint64
received (const ControlMember *member, const QgPeer *peer)
{
  if (peer == NULL || !qg_peer_is_up (peer)
      || strcmp (qg_peer_hello (peer)->name, member->name) != 0)
    return 0;
  return qg_peer_received (peer);
}

static const QgConsMemberInfo *
find_member (const QgConsStatus *status, const char *name)
{
  for (guint i = 0; i < status->n_members; i++)
    if (strcmp (status->members[i].name, name) == 0)
      return &status->members[i];
  return NULL;
}

static QgPeer *
connected_peer (const ControlMember *member)
{
  if (member->accepted != NULL && qg_peer_is_up (member->accepted))
    return member->accepted;
  if (member->dialled != NULL && qg_peer_is_up (member->dialled))
    return member->dialled;
  return NULL;
}

static gboolean
add_new_member (QgControl *control, const QgConsStatus *status)
{
  GHashTableIter iter;
  gpointer value;
  QgErr err;

  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlMember *member = value;
      QgPeer *peer = connected_peer (member);
      const char *address;

      if (peer == NULL || find_member (status, member->name) != NULL
          || strcmp (member->name, control->settings->daemon.name) == 0)
        continue;
      address = qg_peer_hello (peer)->address;
      if (qg_cons_member_add (control->cons, member->name, address, &err)
          != QG_OK)
        continue;
      qg_event (QG_EV_MEMBER_CHANGE, "member=%s address=%s joins", member->name,
                address);
      control_schedule_pump (control);
      return TRUE;
    }
  return FALSE;
}

static gboolean
remove_replaced (QgControl *control, const char *replaced)
{
  g_autofree char *name = g_strdup (replaced);

  if (qg_cons_member_remove (control->cons, name, NULL) != QG_OK)
    return FALSE;
  qg_event (QG_EV_MEMBER_CHANGE, "member=%s was replaced", name);
  control_schedule_pump (control);
  return TRUE;
}

void
control_join_on_not_leader (QgControl *control, const Qg__NotLeader *reply)
{
  if (reply->leader[0] != '\0' && reply->address[0] != '\0'
      && strcmp (reply->leader, control->settings->daemon.name) != 0)
    control_member_dial (control, reply->leader, reply->address);
}
