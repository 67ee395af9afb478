#include "endcheck.h"
#include "clock.h"

#include <errno.h>
#include <unistd.h>

/** Interval of wake-ups while an end waits for its verdict. One that is late by
 * more than a busy pass of the event loop takes shows that this process did not
 * run. */
#define TICK (50 * QG_MSEC)
#define LATE (20 * QG_MSEC)

struct QgEndCheck
{
  QgEndCheckOptions options;
  QgAlive *alive;
  QgAliveEnd end;
  gboolean pending; /* the end was added to alive */
  gboolean cut;     /* the target had not received the whole request */
  int held;         /* the socket of the answer while its end waits, or -1 */
  QgH1Conn *conn;   /* NULL: none */
  gboolean asked;   /* a check is in progress */
  QgTime due_at;    /* of the next wake-up while an end waits, or 0 */
  QgTime held_up;   /* see qg_endcheck_held_up() */
  QgH1Timer timer;
};

static void schedule (QgEndCheck *check, QgTime at);
static void on_timer (gpointer user);
static gboolean decide (QgEndCheck *check);
static void note_held_up (QgEndCheck *check);
static void schedule_wakeup (QgEndCheck *check);
static void advance (QgEndCheck *check);
static void open_conn (QgEndCheck *check);
static void ask (QgEndCheck *check);
static void hang_up (QgEndCheck *check);
static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void on_open (gpointer user, QgH1Conn *conn);

static const QgH1Ops check_ops
    = { on_head, on_body, on_complete, on_closed, NULL, on_open };

QgEndCheck *
qg_endcheck_new (const QgEndCheckOptions *options)
{
  QgEndCheck *check = g_new0 (QgEndCheck, 1);

  check->options = *options;
  check->held = -1;
  qg_str_ref (options->target.id);
  qg_str_ref (options->target.address);
  qg_str_ref (options->target.path);
  check->alive = qg_alive_new ();
  check->timer.fire = on_timer;
  check->timer.user = check;
  qg_alive_watch (check->alive);
  schedule (check, qg_clock_now ());
  return check;
}

void
qg_endcheck_free (QgEndCheck *check)
{
  if (check == NULL)
    return;
  qg_h1_timer_clear (check->options.loop, &check->timer);
  g_clear_pointer (&check->conn, qg_h1_close);
  if (check->held >= 0)
    close (check->held);
  qg_alive_free (check->alive);
  qg_str_unref (check->options.target.id);
  qg_str_unref (check->options.target.address);
  qg_str_unref (check->options.target.path);
  g_free (check);
}

void
qg_endcheck_set_id (QgEndCheck *check, QgStr *id)
{
  qg_str_unref (check->options.target.id);
  check->options.target.id = qg_str_ref (id);
}

void
qg_endcheck_ended (QgEndCheck *check, const QgH1Conn *conn)
{
  QgAliveEnd *end = &check->end;

  end->open_at = qg_h1_open_at (conn);
  end->arrived_at = qg_h1_heard_at (conn);
  end->closed_at = qg_clock_now ();
  end->give_up_at = end->closed_at + QG_ALIVE_WAIT_MAX;
  check->pending = TRUE;
  check->cut = qg_h1_is_sending (conn);
  check->held = qg_h1_hold (conn);
  check->due_at = end->closed_at;
  qg_alive_add (check->alive, end);
  schedule (check, end->closed_at);
}

gboolean
qg_endcheck_is_pending (const QgEndCheck *check)
{
  return check->pending;
}

QgTime
qg_endcheck_held_up (const QgEndCheck *check)
{
  return check->held_up;
}

static void
schedule (QgEndCheck *check, QgTime at)
{
  qg_h1_timer_set (check->options.loop, &check->timer, at);
}

/* The decision is reported from here only, so that the check is not freed
 * within a callback of its connection. */
static void
on_timer (gpointer user)
{
  QgEndCheck *check = user;

  note_held_up (check);
  advance (check);
  if (decide (check))
    check->options.decided (check->options.user, &check->end);
  else
    schedule_wakeup (check);
}

/* A target that closes before it has received the whole request, or without
 * having read all of it, resets the connection, also some time after an orderly
 * end: its answer is not known to be whole. */
gboolean
qg_endcheck_is_cut (const QgEndCheck *check)
{
  return check->pending && (check->cut || qg_h1_held_was_reset (check->held));
}

static gboolean
decide (QgEndCheck *check)
{
  if (!qg_endcheck_is_cut (check))
    return qg_alive_take_decided (check->alive) != NULL;
  qg_alive_remove (check->alive, &check->end);
  check->end.verdict = QG_ALIVE_UNPROVEN;
  return TRUE;
}

static void
note_held_up (QgEndCheck *check)
{
  QgTime now = qg_clock_now ();

  if (check->due_at > 0 && now > check->due_at + LATE)
    {
      check->held_up += now - check->due_at;
      qg_alive_held_up (check->alive, now - check->due_at);
    }
  check->due_at = 0;
}

static void
schedule_wakeup (QgEndCheck *check)
{
  QgTime next = qg_alive_wakeup (check->alive);

  if (check->pending)
    check->due_at = next = MIN (next, qg_clock_now () + TICK);
  if (next < G_MAXINT64)
    schedule (check, next);
}

static void
advance (QgEndCheck *check)
{
  QgAliveStep step;

  while ((step = qg_alive_step (check->alive, qg_clock_now ()))
         != QG_ALIVE_NOTHING)
    if (step == QG_ALIVE_CONNECT)
      open_conn (check);
    else
      ask (check);
}

static void
open_conn (QgEndCheck *check)
{
  check->conn = qg_h1_connect (
      check->options.loop, check->options.target.address, &check_ops, check);
  if (check->conn != NULL)
    return;
  if (errno == ECONNREFUSED)
    qg_alive_refused (check->alive, qg_clock_now ());
  else
    qg_alive_failed (check->alive, qg_clock_now ());
}

static void
ask (QgEndCheck *check)
{
  const QgEndCheckOptions *options = &check->options;
  GString *head = g_string_new (NULL);

  check->asked = TRUE;
  options->write_check (options->user, head, &options->target);
  qg_h1_write (check->conn, head->str, head->len);
  g_string_free (head, TRUE);
}

static void
hang_up (QgEndCheck *check)
{
  g_clear_pointer (&check->conn, qg_h1_close);
  check->asked = FALSE;
  qg_alive_hung_up (check->alive, qg_clock_now ());
}

static void
on_open (gpointer user, QgH1Conn *conn)
{
  QgEndCheck *check = user;

  qg_alive_connected (check->alive, qg_h1_heard_at (conn));
  schedule (check, qg_clock_now ());
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  QgEndCheck *check = user;
  const QgEndCheckOptions *options = &check->options;
  QgEndCheckAnswer answer = { FALSE, FALSE };

  if (check->asked && head->status < 200)
    return;
  if (check->asked)
    answer = options->read_answer (options->user, head, &options->target);
  if (answer.counts)
    qg_alive_answered (check->alive, answer.same, qg_h1_heard_at (conn));
  else
    hang_up (check); /* also after an unsolicited response */
  schedule (check, qg_clock_now ());
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  QgEndCheck *check = user;

  g_clear_pointer (&check->conn, qg_h1_close);
  check->asked = FALSE;
  if (why == QG_H1_CONNECT_FAILED)
    qg_alive_refused (check->alive, qg_clock_now ());
  else
    qg_alive_lost (check->alive, qg_clock_now ());
  schedule (check, qg_clock_now ());
}
