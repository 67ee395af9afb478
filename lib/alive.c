#include "alive.h"

typedef enum
{
  CONN_NONE,
  CONN_CONNECTING,
  CONN_IDLE,
  CONN_ASKED,
  CONN_READING /* the rest of the answer */
} ConnState;

struct _QgAlive
{
  GQueue ends; /* of QgAliveEnd, oldest first */
  ConnState conn;
  QgTime connected_at;
  QgTime lost_at; /* when the target last closed a connection, or 0 */
  QgTime asked_at;
  QgTime retry_at;      /* earliest time of the next connection */
  QgTime refused_at;    /* when a connection was first refused, or 0 */
  guint watched;        /* answers that may end with their connection */
  gboolean tried_again; /* after a connection without an end */
};

static gboolean is_in_time (const QgAliveEnd *end, QgTime connected_at);
static gboolean is_proof (const QgAlive *alive, const QgAliveEnd *end);
static gboolean listened (const QgAlive *alive, const QgAliveEnd *end);
static QgTime pause_unasked (QgAlive *alive);
static gboolean can_be_proven (const QgAlive *alive, const QgAliveEnd *end,
                               QgTime now);
static void decide_overdue (QgAlive *alive, QgTime now);
static gboolean has_pending (const QgAlive *alive);
static gboolean has_settled (const QgAlive *alive, QgTime now);

QgAlive *
qg_alive_new (void)
{
  return g_new0 (QgAlive, 1);
}

void
qg_alive_free (QgAlive *alive)
{
  g_queue_clear (&alive->ends);
  g_free (alive);
}

void
qg_alive_add (QgAlive *alive, QgAliveEnd *end)
{
  end->verdict = QG_ALIVE_PENDING;
  if (alive->ends.head == NULL)
    alive->retry_at = MIN (alive->retry_at, end->closed_at);
  g_queue_push_tail (&alive->ends, end);
}

void
qg_alive_watch (QgAlive *alive)
{
  alive->watched++;
}

void
qg_alive_unwatch (QgAlive *alive)
{
  alive->watched--;
}

void
qg_alive_remove (QgAlive *alive, QgAliveEnd *end)
{
  g_queue_remove (&alive->ends, end);
}

/* Whether the process that accepted a connection then is the one that closed
 * the connection of @end, or else its address was free. */
static gboolean
is_in_time (const QgAliveEnd *end, QgTime connected_at)
{
  return connected_at < end->open_at + QG_ALIVE_RESTART_MIN;
}

/* Where a supervisor keeps the listening socket, a connection is established at
 * once and served by the next process. One that closed with the answer's shows
 * that there may be a next one. */
static gboolean
is_proof (const QgAlive *alive, const QgAliveEnd *end)
{
  return is_in_time (end, alive->connected_at) && alive->refused_at == 0
         && (alive->lost_at == 0
             || alive->lost_at + QG_ALIVE_SETTLE <= end->open_at);
}

/* Whether the target may have listened as long as the answer of @end went on.
 */
static gboolean
listened (const QgAlive *alive, const QgAliveEnd *end)
{
  return alive->refused_at == 0 || alive->refused_at > end->open_at;
}

static gboolean
can_be_proven (const QgAlive *alive, const QgAliveEnd *end, QgTime now)
{
  gboolean connected
      = alive->conn != CONN_NONE && alive->conn != CONN_CONNECTING;

  return now < end->give_up_at
         && (connected ? is_proof (alive, end) : is_in_time (end, now));
}

/* Decides the ends for which no more evidence can come. */
static void
decide_overdue (QgAlive *alive, QgTime now)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      QgAliveEnd *end = at->data;

      if (end->verdict == QG_ALIVE_PENDING && !can_be_proven (alive, end, now))
        end->verdict = QG_ALIVE_UNPROVEN;
    }
}

static gboolean
has_pending (const QgAlive *alive)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    if (((const QgAliveEnd *)at->data)->verdict == QG_ALIVE_PENDING)
      return TRUE;
  return FALSE;
}

/* Whether a check that is sent now shows something about an end. */
static gboolean
has_settled (const QgAlive *alive, QgTime now)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      const QgAliveEnd *end = at->data;

      if (end->verdict == QG_ALIVE_PENDING
          && now >= end->closed_at + QG_ALIVE_SETTLE)
        return TRUE;
    }
  return FALSE;
}

QgAliveStep
qg_alive_step (QgAlive *alive, QgTime now)
{
  decide_overdue (alive, now);
  if (!has_pending (alive) && alive->watched == 0)
    return QG_ALIVE_NOTHING;
  if (alive->conn == CONN_IDLE && has_settled (alive, now))
    {
      alive->conn = CONN_ASKED;
      alive->asked_at = now;
      return QG_ALIVE_ASK;
    }
  if (alive->conn == CONN_NONE && now >= alive->retry_at)
    {
      alive->conn = CONN_CONNECTING;
      return QG_ALIVE_CONNECT;
    }
  return QG_ALIVE_NOTHING;
}

QgTime
qg_alive_wakeup (const QgAlive *alive)
{
  QgTime at = G_MAXINT64;

  for (GList *link = alive->ends.head; link != NULL; link = link->next)
    {
      const QgAliveEnd *end = link->data;

      if (end->verdict != QG_ALIVE_PENDING)
        return 0;
      at = MIN (at, end->give_up_at);
      if (alive->conn == CONN_IDLE)
        at = MIN (at, end->closed_at + QG_ALIVE_SETTLE);
      if (alive->conn == CONN_NONE || alive->conn == CONN_CONNECTING)
        at = MIN (at, end->open_at + QG_ALIVE_RESTART_MIN);
    }
  if (!qg_alive_is_idle (alive) && alive->conn == CONN_NONE)
    at = MIN (at, alive->retry_at);
  return at;
}

QgAliveEnd *
qg_alive_take_decided (QgAlive *alive)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      QgAliveEnd *end = at->data;

      if (end->verdict != QG_ALIVE_PENDING)
        {
          g_queue_delete_link (&alive->ends, at);
          return end;
        }
    }
  return NULL;
}

gboolean
qg_alive_is_idle (const QgAlive *alive)
{
  return alive->ends.head == NULL && alive->watched == 0;
}

void
qg_alive_connected (QgAlive *alive, QgTime at)
{
  alive->conn = CONN_IDLE;
  alive->connected_at = at;
}

/* The first time soon, to know before a short answer ends whether the target
 * still listens, and to look whether the answer still goes on. */
static QgTime
pause_unasked (QgAlive *alive)
{
  QgTime pause
      = alive->tried_again ? QG_ALIVE_WATCH_PAUSE : QG_ALIVE_RETRY_PAUSE;

  alive->tried_again = TRUE;
  return pause;
}

void
qg_alive_refused (QgAlive *alive, QgTime now)
{
  alive->conn = CONN_NONE;
  alive->retry_at = now + pause_unasked (alive);
  if (alive->refused_at == 0)
    alive->refused_at = now;
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      QgAliveEnd *end = at->data;

      if (end->verdict == QG_ALIVE_PENDING)
        end->verdict
            = listened (alive, end) ? QG_ALIVE_ENDED : QG_ALIVE_UNPROVEN;
    }
}

void
qg_alive_failed (QgAlive *alive, QgTime now)
{
  alive->conn = CONN_NONE;
  alive->retry_at = now + QG_ALIVE_RETRY_PAUSE;
}

void
qg_alive_hung_up (QgAlive *alive, QgTime now)
{
  alive->retry_at = now;
  if (!has_pending (alive))
    alive->retry_at += pause_unasked (alive);
  else if (alive->conn == CONN_ASKED)
    alive->retry_at += QG_ALIVE_RETRY_PAUSE;
  alive->conn = CONN_NONE;
}

void
qg_alive_lost (QgAlive *alive, QgTime now)
{
  alive->lost_at = now;
  qg_alive_hung_up (alive, now);
}

void
qg_alive_held_up (QgAlive *alive, QgTime duration)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    ((QgAliveEnd *)at->data)->give_up_at += duration;
}

void
qg_alive_answered (QgAlive *alive, gboolean same, QgTime at)
{
  for (GList *link = alive->ends.head; link != NULL; link = link->next)
    {
      QgAliveEnd *end = link->data;

      if (end->verdict != QG_ALIVE_PENDING
          || end->closed_at + QG_ALIVE_SETTLE > alive->asked_at)
        continue;
      if (!same && listened (alive, end))
        end->verdict = QG_ALIVE_ENDED;
      else if (is_proof (alive, end))
        end->verdict = is_in_time (end, at) ? QG_ALIVE_LIVED : QG_ALIVE_LATE;
      else
        end->verdict = QG_ALIVE_UNPROVEN;
    }
  alive->conn = CONN_READING;
}

void
qg_alive_ready (QgAlive *alive)
{
  alive->conn = CONN_IDLE;
}

QgAliveVerdict
qg_alive_judge_calls (const QgAliveEnd *end, const QgAliveCalls *calls,
                      QgTime now)
{
  gboolean counts = calls->left || end->verdict == QG_ALIVE_LATE;
  QgTime wait_until;

  if (counts && calls->answered_at >= end->arrived_at + QG_ALIVE_SETTLE)
    return QG_ALIVE_CALLED;
  if (end->verdict == QG_ALIVE_ENDED && !calls->leaves)
    return QG_ALIVE_ENDED;
  wait_until = end->verdict == QG_ALIVE_LATE || calls->leaves
                   ? end->give_up_at
                   : end->closed_at + QG_ALIVE_LEAVE_WAIT;
  return now < wait_until && !calls->left ? QG_ALIVE_PENDING
                                          : QG_ALIVE_UNPROVEN;
}

const char *
qg_alive_name (QgAliveVerdict verdict)
{
  static const char *const names[QG_N_ALIVE_VERDICTS]
      = { [QG_ALIVE_PENDING] = "pending", [QG_ALIVE_LIVED] = "lived",
          [QG_ALIVE_ENDED] = "ended",     [QG_ALIVE_UNPROVEN] = "unproven",
          [QG_ALIVE_LATE] = "late",       [QG_ALIVE_CALLED] = "called" };

  return names[verdict];
}
