#include "librelay.h"

/* Ends of answers of targets that do not answer a check: asks the leader
 * whether the target has left in order behind its answer. */

/** How long the leader's answer may take. */
#define ANSWER_TIME (500 * QG_MSEC)

struct RelayLeaveAsk
{
  RelayCall *call; /* NULL: cancelled */
  QgH1Loop *loop;
  const QgAliveEnd *end;
  gboolean in_progress; /* the uplink refers to this */
  QgTime asked_at;
  QgH1Timer timer; /* asks again */
};

static void ask (gpointer user);
static void on_answer (gpointer user, const Qg__PeerMsg *msg);
static QgAliveLeave leave_of (Qg__LeaveState state);

void
relay_leave_ask (RelayCall *call, const QgAliveEnd *end)
{
  RelayLeaveAsk *leave = g_new0 (RelayLeaveAsk, 1);

  leave->call = call;
  leave->loop = call->relay->loop;
  leave->end = end;
  leave->timer.fire = ask;
  leave->timer.user = leave;
  call->link->leave_ask = leave;
  ask (leave);
}

void
relay_leave_cancel (RelayLeaveAsk *leave)
{
  leave->call = NULL;
  qg_h1_timer_clear (leave->loop, &leave->timer);
  if (!leave->in_progress)
    g_free (leave);
}

static void
ask (gpointer user)
{
  RelayLeaveAsk *leave = user;
  QgUplink *uplink = leave->call->relay->uplink;
  Qg__LeaveAsk request = QG__LEAVE_ASK__INIT;
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;

  request.seq = qg_uplink_next_seq (uplink);
  request.target = leave->call->target->id;
  request.born_ms = leave->call->sent_born_ms;
  msg.kind_case = QG__PEER_MSG__KIND_LEAVE_ASK;
  msg.leave_ask = &request;
  leave->in_progress = TRUE;
  leave->asked_at = qg_clock_now ();
  qg_uplink_request (uplink, &msg, request.seq, leave->asked_at + ANSWER_TIME,
                     on_answer, leave);
}

/* The leader measures how long ago it answered the target when it gets the
 * question, so the target still lived that long before the question was sent,
 * or later. */
static void
on_answer (gpointer user, const Qg__PeerMsg *msg)
{
  RelayLeaveAsk *leave = user;
  QgAliveVerdict verdict;

  leave->in_progress = FALSE;
  if (leave->call == NULL)
    {
      g_free (leave);
      return;
    }
  if (msg == NULL)
    verdict = leave->end->verdict;
  else
    verdict = qg_alive_judge_leave (
        leave->end, leave_of (msg->leave_answer->state),
        leave->asked_at - (QgTime)msg->leave_answer->answered_ago_us,
        qg_clock_now ());
  if (verdict == QG_ALIVE_PENDING)
    qg_h1_timer_set (leave->loop, &leave->timer,
                     qg_clock_now () + QG_ALIVE_LEAVE_PAUSE);
  else
    relay_end_decide (leave->call, leave->end, verdict);
}

static QgAliveLeave
leave_of (Qg__LeaveState state)
{
  switch (state)
    {
    case QG__LEAVE_STATE__LEAVE_ANSWERED:
      return QG_ALIVE_HAS_LEFT;
    case QG__LEAVE_STATE__LEAVE_BEGUN:
      return QG_ALIVE_LEAVES;
    default:
      return QG_ALIVE_STAYS;
    }
}
