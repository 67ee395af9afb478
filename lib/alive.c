#include "alive.h"

typedef enum
{
  CONN_NONE,
  CONN_CONNECTING,
  CONN_IDLE,
  CONN_ASKED
} ConnState;

struct _QgAlive
{
  GQueue ends; /* of QgAliveEnd, oldest first */
  ConnState conn;
  QgTime connected_at;
  QgTime asked_at;
  QgTime retry_at; /* earliest time of the next connection */
};

static gboolean is_proof (const QgAliveEnd *end, QgTime connected_at);
static gboolean can_be_proven (const QgAlive *alive, const QgAliveEnd *end,
                               QgTime now);
static void decide_hopeless (QgAlive *alive, QgTime now);
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
  g_queue_push_tail (&alive->ends, end);
}

void
qg_alive_remove (QgAlive *alive, QgAliveEnd *end)
{
  g_queue_remove (&alive->ends, end);
}

/* Whether the process that accepted a connection then is the one that closed
 * the connection of @end, or else its address was free. */
static gboolean
is_proof (const QgAliveEnd *end, QgTime connected_at)
{
  return connected_at < end->open_at + QG_ALIVE_RESTART_MIN;
}

static gboolean
can_be_proven (const QgAlive *alive, const QgAliveEnd *end, QgTime now)
{
  gboolean connected = alive->conn == CONN_IDLE || alive->conn == CONN_ASKED;

  return now < end->give_up_at
         && is_proof (end, connected ? alive->connected_at : now);
}

static void
decide_hopeless (QgAlive *alive, QgTime now)
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
  decide_hopeless (alive, now);
  if (!has_pending (alive))
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
  if (alive->ends.head != NULL && alive->conn == CONN_NONE)
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
  return alive->ends.head == NULL;
}

void
qg_alive_connected (QgAlive *alive, QgTime now)
{
  alive->conn = CONN_IDLE;
  alive->connected_at = now;
}

void
qg_alive_refused (QgAlive *alive)
{
  alive->conn = CONN_NONE;
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      QgAliveEnd *end = at->data;

      if (end->verdict == QG_ALIVE_PENDING)
        end->verdict = QG_ALIVE_ENDED;
    }
}

void
qg_alive_failed (QgAlive *alive, QgTime now)
{
  alive->conn = CONN_NONE;
  alive->retry_at = now + QG_ALIVE_RETRY_PAUSE;
}

/* A connection that was idle may have been closed for its age. */
void
qg_alive_lost (QgAlive *alive, QgTime now)
{
  alive->retry_at
      = alive->conn == CONN_ASKED ? now + QG_ALIVE_RETRY_PAUSE : now;
  alive->conn = CONN_NONE;
}

void
qg_alive_answered (QgAlive *alive, gboolean same, gboolean kept)
{
  for (GList *at = alive->ends.head; at != NULL; at = at->next)
    {
      QgAliveEnd *end = at->data;

      if (end->verdict != QG_ALIVE_PENDING
          || end->closed_at + QG_ALIVE_SETTLE > alive->asked_at)
        continue;
      if (!same)
        end->verdict = QG_ALIVE_ENDED;
      else if (is_proof (end, alive->connected_at))
        end->verdict = QG_ALIVE_LIVED;
      else
        end->verdict = QG_ALIVE_UNPROVEN;
    }
  alive->conn = kept ? CONN_IDLE : CONN_NONE;
}

const char *
qg_alive_name (QgAliveVerdict verdict)
{
  static const char *const names[QG_N_ALIVE_VERDICTS]
      = { [QG_ALIVE_PENDING] = "pending",
          [QG_ALIVE_LIVED] = "lived",
          [QG_ALIVE_ENDED] = "ended",
          [QG_ALIVE_UNPROVEN] = "unproven" };

  return names[verdict];
}
