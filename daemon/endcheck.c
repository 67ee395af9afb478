#include "endcheck.h"
#include "clock.h"
#include "lib/event.h"

#include <errno.h>

/** The checks of one target. */
typedef struct
{
  QgEndChecks *checks;
  QgEndCheckTarget target;
  QgAlive *alive;
  QgH1Conn *conn;    /* NULL: none */
  gboolean asked;    /* a check is in progress */
  gboolean answered; /* its head was read */
  QgEndCheckAnswer answer;
  QgTime idle_until; /* when an idle connection is closed */
  QgH1Timer timer;
} TargetCheck;

struct QgEndChecks
{
  QgEndCheckOptions options;
  GHashTable *targets; /* id to TargetCheck */
};

static TargetCheck *find_target (QgEndChecks *checks,
                                 const QgEndCheckTarget *target);
static void free_target (gpointer data);
static void schedule (TargetCheck *check, QgTime at);
static void on_timer (gpointer user);
static void advance (TargetCheck *check);
static void open_conn (TargetCheck *check);
static void ask (TargetCheck *check);
static void drop_conn (TargetCheck *check);
static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void on_open (gpointer user, QgH1Conn *conn);

static const QgH1Ops check_ops
    = { on_head, on_body, on_complete, on_closed, NULL, on_open };

QgEndChecks *
qg_endchecks_new (const QgEndCheckOptions *options)
{
  QgEndChecks *checks = g_new0 (QgEndChecks, 1);

  checks->options = *options;
  checks->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  return checks;
}

void
qg_endchecks_free (QgEndChecks *checks)
{
  if (checks == NULL)
    return;
  g_hash_table_unref (checks->targets);
  g_free (checks);
}

static TargetCheck *
find_target (QgEndChecks *checks, const QgEndCheckTarget *target)
{
  TargetCheck *check = g_hash_table_lookup (checks->targets, target->id);

  if (check != NULL)
    return check;
  check = g_new0 (TargetCheck, 1);
  check->checks = checks;
  check->target.id = qg_str_ref (target->id);
  check->target.address = qg_str_ref (target->address);
  check->target.path = qg_str_ref (target->path);
  check->alive = qg_alive_new ();
  check->timer.fire = on_timer;
  check->timer.user = check;
  g_hash_table_insert (checks->targets, check->target.id, check);
  return check;
}

static void
free_target (gpointer data)
{
  TargetCheck *check = data;

  qg_h1_timer_clear (check->checks->options.loop, &check->timer);
  g_clear_pointer (&check->conn, qg_h1_close);
  qg_alive_free (check->alive);
  qg_str_unref (check->target.id);
  qg_str_unref (check->target.address);
  qg_str_unref (check->target.path);
  g_free (check);
}

void
qg_endchecks_watch (QgEndChecks *checks, const QgEndCheckTarget *target)
{
  TargetCheck *check = find_target (checks, target);

  qg_alive_watch (check->alive);
  schedule (check, qg_clock_now ());
}

void
qg_endchecks_unwatch (QgEndChecks *checks, QgStr *id)
{
  TargetCheck *check = g_hash_table_lookup (checks->targets, id);

  qg_alive_unwatch (check->alive);
  schedule (check, qg_clock_now ());
}

void
qg_endchecks_add (QgEndChecks *checks, const QgEndCheckTarget *target,
                  QgAliveEnd *end)
{
  TargetCheck *check = find_target (checks, target);

  end->give_up_at = end->closed_at + QG_ALIVE_WAIT_MAX;
  qg_alive_add (check->alive, end);
  schedule (check, end->closed_at);
}

void
qg_endchecks_remove (QgEndChecks *checks, QgStr *id, QgAliveEnd *end)
{
  TargetCheck *check = g_hash_table_lookup (checks->targets, id);

  if (check != NULL)
    qg_alive_remove (check->alive, end);
}

static void
schedule (TargetCheck *check, QgTime at)
{
  qg_h1_timer_set (check->checks->options.loop, &check->timer, at);
}

/* All decisions are reported from here, so that no end is decided within the
 * callback that reports it. */
static void
on_timer (gpointer user)
{
  TargetCheck *check = user;
  QgEndChecks *checks = check->checks;
  QgTime now = qg_clock_now ();
  QgAliveEnd *end;
  QgTime next;

  advance (check);
  while ((end = qg_alive_take_decided (check->alive)) != NULL)
    checks->options.decided (checks->options.user, end);
  next = qg_alive_wakeup (check->alive);
  if (check->conn != NULL && qg_alive_is_idle (check->alive))
    {
      if (check->asked || now >= check->idle_until)
        drop_conn (check);
      else
        next = check->idle_until;
    }
  if (check->conn == NULL && qg_alive_is_idle (check->alive))
    g_hash_table_remove (checks->targets, check->target.id);
  else if (next < G_MAXINT64)
    schedule (check, next);
}

static void
advance (TargetCheck *check)
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
open_conn (TargetCheck *check)
{
  check->conn = qg_h1_connect (check->checks->options.loop,
                               check->target.address, &check_ops, check);
  if (check->conn != NULL)
    return;
  if (errno == ECONNREFUSED)
    qg_alive_refused (check->alive);
  else
    qg_alive_failed (check->alive, qg_clock_now ());
}

static void
ask (TargetCheck *check)
{
  const QgEndCheckOptions *options = &check->checks->options;
  GString *head = g_string_new (NULL);

  check->asked = TRUE;
  check->answered = FALSE;
  options->write_check (options->user, head, &check->target);
  qg_h1_write (check->conn, head->str, head->len);
  g_string_free (head, TRUE);
}

static void
drop_conn (TargetCheck *check)
{
  g_clear_pointer (&check->conn, qg_h1_close);
  check->asked = FALSE;
  qg_alive_lost (check->alive, qg_clock_now ());
}

static void
on_open (gpointer user, QgH1Conn *conn)
{
  TargetCheck *check = user;

  qg_alive_connected (check->alive, qg_clock_now ());
  schedule (check, qg_clock_now ());
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  TargetCheck *check = user;
  const QgEndCheckOptions *options = &check->checks->options;

  if (!check->asked)
    {
      drop_conn (check); /* unsolicited response */
      schedule (check, qg_clock_now ());
      return;
    }
  if (head->status < 200)
    return;
  check->answer = options->read_answer (options->user, head, &check->target);
  schedule (check, qg_clock_now ());
  if (!check->answer.counts)
    {
      drop_conn (check);
      return;
    }
  check->answered = TRUE;
  if (!head->keep_alive || head->until_close)
    check->answer.idle_for = 0;
  qg_alive_answered (check->alive, check->answer.same);
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
  TargetCheck *check = user;
  gboolean kept = check->answer.idle_for > 0 && !qg_h1_has_buffered (conn);

  if (!check->asked || !check->answered)
    return;
  check->asked = FALSE;
  if (kept)
    {
      qg_alive_ready (check->alive);
      check->idle_until = qg_clock_now () + check->answer.idle_for;
      qg_h1_allow_next (conn);
    }
  else
    drop_conn (check);
  schedule (check, qg_clock_now ());
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  TargetCheck *check = user;

  if (why == QG_H1_CONNECT_FAILED)
    {
      g_clear_pointer (&check->conn, qg_h1_close);
      qg_alive_refused (check->alive);
    }
  else
    drop_conn (check);
  schedule (check, qg_clock_now ());
}
