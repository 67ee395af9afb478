#include "libcons.h"

#include "event.h"

#include <string.h>

/* Members of different fleets that meet. Nothing that the other fleet sends
 * reaches the log or the term; both leaders learn that they are not alone. */

/** Time for which a leader of another fleet counts after it was heard of.
 * Longer than elections and than the pauses between attempts to connect. */
#define OTHER_FLEET_HOLD (10 * QG_SEC)
/** Time for which a member that met another fleet tells the leader of it. */
#define OTHER_FLEET_TELL QG_SEC

static gboolean from_leader (const Qg__ConsMsg *msg);
static void note_other_fleet (QgCons *cons, const char *from, guint64 fleet);

static guint64
own_fleet (const QgCons *cons)
{
  return cons_config (cons)->members->fleet;
}

gboolean
cons_other_fleet_receive (QgCons *cons, const char *from,
                          const Qg__ConsMsg *msg)
{
  guint64 fleet = own_fleet (cons);
  Qg__ConsMsg *reply;

  if (fleet == 0 || msg->fleet == 0 || msg->fleet == fleet)
    {
      if (fleet != 0 && msg->fleet == fleet && msg->other_fleet != 0)
        note_other_fleet (cons, from, msg->other_fleet);
      return FALSE;
    }
  if (from_leader (msg))
    {
      note_other_fleet (cons, from, msg->fleet);
      cons->other_met_at = cons->now;
    }
  if (msg->type == QG__CONS_TYPE__CONS_OTHER_FLEET)
    return TRUE;
  reply = cons_msg_new (cons, QG__CONS_TYPE__CONS_OTHER_FLEET);
  reply->commit = cons->role == QG_CONS_LEADER || cons_hears_leader (cons);
  cons_send (cons, from, reply, 0);
  return TRUE;
}

/* Whether the sender leads or has a leader. A process of a fleet that has none
 * acknowledges nothing, so that it is no reason to refuse anything. */
static gboolean
from_leader (const Qg__ConsMsg *msg)
{
  return msg->type == QG__CONS_TYPE__CONS_APPEND
         || msg->type == QG__CONS_TYPE__CONS_SNAP
         || (msg->type == QG__CONS_TYPE__CONS_OTHER_FLEET && msg->commit == 1);
}

static void
note_other_fleet (QgCons *cons, const char *from, guint64 fleet)
{
  gboolean known = cons->other_fleet == fleet && cons->now < cons->other_until;

  cons->other_fleet = fleet;
  cons->other_until = cons->now + OTHER_FLEET_HOLD;
  if (!known)
    qg_event (QG_EV_FLEET_OTHER,
              "%s is of the fleet %016" G_GINT64_MODIFIER
              "x or met it, %s is of the fleet %016" G_GINT64_MODIFIER "x",
              from, fleet, cons->name, own_fleet (cons));
}

void
cons_other_fleet_write (QgCons *cons, Qg__ConsMsg *msg)
{
  msg->fleet = own_fleet (cons);
  if (cons->other_met_at > 0
      && cons->now < cons->other_met_at + OTHER_FLEET_TELL)
    msg->other_fleet = cons->other_fleet;
}

guint64
qg_cons_other_fleet (QgCons *cons, QgTime now)
{
  cons->now = MAX (cons->now, now);
  return cons->now < cons->other_until ? cons->other_fleet : 0;
}
