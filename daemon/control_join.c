#include "lib/event.h"
#include "libcontrol.h"

#include <string.h>

/* Keeps the number of voters constant. A control process that connects and is
 * not a member is added. Once there are more than 2 * tolerate + 1 voters, an
 * unreachable voter is removed. A new VM therefore replaces a lost VM without
 * an operator, and a member that only lost its connections stays until a
 * replacement votes. */

enum
{
  /** Interval between membership changes, each of which needs its own commit.
   */
  JOIN_INTERVAL_MS = 300,
  /** How long a member is unreachable before it may be replaced: several
   * election timeouts, and longer than the process freezes that the quorum
   * tolerates. */
  JOIN_UNREACHABLE_MS = 2000,
};

static const QgConsMemberInfo *find_member (const QgConsStatus *status,
                                            const char *name);
static gboolean add_new_member (QgControl *control, const QgConsStatus *status);
static gboolean remove_unreachable (QgControl *control,
                                    const QgConsStatus *status, QgTime now);
static QgPeer *connected_peer (const ControlMember *member);

void
control_join_tick (QgControl *control)
{
  QgTime now = qg_clock_now ();
  QgConsStatus status;

  if (control->lead_term == 0 || control->settings->control.tolerate == 0
      || now - MAX (control->last_membership_check, control->lead_since)
             < JOIN_INTERVAL_MS * QG_MSEC)
    return;
  control->last_membership_check = now;
  qg_cons_status (control->cons, now, &status);
  if (!remove_unreachable (control, &status, now))
    add_new_member (control, &status);
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
remove_unreachable (QgControl *control, const QgConsStatus *status, QgTime now)
{
  guint wanted = 2 * (guint)control->settings->control.tolerate + 1;
  guint voters = 0;

  for (guint i = 0; i < status->n_members; i++)
    voters += status->members[i].voter ? 1 : 0;
  for (guint i = 0; i < status->n_members; i++)
    {
      const QgConsMemberInfo *info = &status->members[i];
      ControlMember *member
          = g_hash_table_lookup (control->members, info->name);
      QgErr err;

      if (member == NULL)
        continue;
      if (info->reachable || member->last_reachable < control->lead_since)
        member->last_reachable = now;
      /* Unreachable learners are removed too, because replicating the log to a
       * learner that never returns is useless. */
      if (now - member->last_reachable < JOIN_UNREACHABLE_MS * QG_MSEC
          || (info->voter && voters <= wanted)
          || (!info->voter && status->n_members <= wanted))
        continue;
      if (qg_cons_member_remove (control->cons, info->name, &err) != QG_OK)
        continue;
      qg_event (QG_EV_MEMBER_CHANGE, "member=%s was replaced", info->name);
      control_schedule_pump (control);
      return TRUE;
    }
  return FALSE;
}

void
control_join_on_not_leader (QgControl *control, const Qg__NotLeader *reply)
{
  if (reply->leader[0] != '\0' && reply->address[0] != '\0'
      && strcmp (reply->leader, control->settings->daemon.name) != 0)
    control_member_dial (control, reply->leader, reply->address);
}
