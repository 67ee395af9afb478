#include "librelay.h"

/* The address at which a balancer asks whether to send callers here. */

static void accept_prober (gpointer user, QgH1Conn *conn);
static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void on_drained (gpointer user, QgH1Conn *conn);

enum
{
  /* Connections that are kept; a balancer needs a few. */
  PROBERS_MAX = 256,
  HEAD_MAX_BYTES = 8 * 1024,
  /* Limits of the kernel's buffers of a connection: a probe and its answer are
   * short. */
  RECEIVE_BYTES = 4 * 1024,
  SEND_BYTES = 4 * 1024,
};

static const QgH1Ops ready_ops
    = { on_head, on_body, on_complete, on_closed, on_drained };

QgH1Listener *
relay_ready_listen (QgRelay *relay, QgErr *err)
{
  QgH1Listener *listener
      = qg_h1_listen (relay->loop, relay->settings->relay.ready_listen,
                      accept_prober, relay, err);

  if (listener != NULL)
    qg_h1_listener_limit_buffers (listener, RECEIVE_BYTES, SEND_BYTES);
  return listener;
}

void
relay_ready_close (QgRelay *relay)
{
  QgH1Conn *conn;

  g_clear_pointer (&relay->ready_listener, qg_h1_listener_free);
  while ((conn = g_queue_pop_head (&relay->probers)) != NULL)
    qg_h1_close (conn);
}

/* The connection that asked longest ago makes room. */
static void
accept_prober (gpointer user, QgH1Conn *conn)
{
  QgRelay *relay = user;

  if (relay->probers.length >= PROBERS_MAX)
    qg_h1_close (g_queue_pop_head (&relay->probers));
  g_queue_push_tail (&relay->probers, conn);
  qg_h1_set_ops (conn, &ready_ops, relay);
  qg_h1_set_head_limit (conn, HEAD_MAX_BYTES);
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
  QgRelay *relay = user;
  gboolean ready = qg_relay_is_ready (relay);

  g_queue_remove (&relay->probers, conn);
  g_queue_push_tail (&relay->probers, conn);
  qg_h1_printf (conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
                ready ? "200 OK" : "503 Service Unavailable");
}

/* The next request waits until the answer was sent. */
static void
on_drained (gpointer user, QgH1Conn *conn)
{
  qg_h1_allow_next (conn);
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  QgRelay *relay = user;

  g_queue_remove (&relay->probers, conn);
  qg_h1_close (conn);
}
