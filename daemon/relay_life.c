#include "librelay.h"

/* Ends of answers on which a check of the target shows too little: asks the
 * leader whether the process that ended the answer has called control since. */

/** How long the leader's answer may take. */
#define ANSWER_TIME (500 * QG_MSEC)

struct RelayLifeAsk
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
static QgAliveVerdict judge (const RelayLifeAsk *life,
                             const Qg__LifeAnswer *answer);

void
relay_life_ask (RelayCall *call, const QgAliveEnd *end)
{
  RelayLifeAsk *life = g_new0 (RelayLifeAsk, 1);

  life->call = call;
  life->loop = call->relay->loop;
  life->end = end;
  life->timer.fire = ask;
  life->timer.user = life;
  call->link->life_ask = life;
  ask (life);
}

void
relay_life_cancel (RelayLifeAsk *life)
{
  life->call = NULL;
  qg_h1_timer_clear (life->loop, &life->timer);
  if (!life->in_progress)
    g_free (life);
}

static void
ask (gpointer user)
{
  RelayLifeAsk *life = user;
  QgUplink *uplink = life->call->relay->uplink;
  Qg__LifeAsk request = QG__LIFE_ASK__INIT;
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;

  request.seq = qg_uplink_next_seq (uplink);
  request.target = life->call->target->id;
  request.born_ms = life->call->sent_born_ms;
  msg.kind_case = QG__PEER_MSG__KIND_LIFE_ASK;
  msg.life_ask = &request;
  life->in_progress = TRUE;
  life->asked_at = qg_clock_now ();
  qg_uplink_request (uplink, &msg, request.seq, life->asked_at + ANSWER_TIME,
                     on_answer, life);
}

static void
on_answer (gpointer user, const Qg__PeerMsg *msg)
{
  RelayLifeAsk *life = user;
  QgAliveVerdict verdict;

  life->in_progress = FALSE;
  if (life->call == NULL)
    {
      g_free (life);
      return;
    }
  verdict = msg != NULL ? judge (life, msg->life_answer) : life->end->verdict;
  if (verdict == QG_ALIVE_PENDING)
    qg_h1_timer_set (life->loop, &life->timer,
                     qg_clock_now () + QG_ALIVE_CALL_PAUSE);
  else
    relay_end_decide (life->call, life->end, verdict);
}

/* The leader measures how long ago it answered the target when it gets the
 * question, so that answer was sent that long before the question, or later. */
static QgAliveVerdict
judge (const RelayLifeAsk *life, const Qg__LifeAnswer *answer)
{
  QgAliveCalls calls = { answer->leaves, answer->left, 0 };

  if (answer->called)
    calls.answered_at = life->asked_at - (QgTime)answer->answered_ago_us;
  return qg_alive_judge_calls (life->end, &calls, qg_clock_now ());
}
