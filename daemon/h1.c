#define _GNU_SOURCE /* accept4 */

#include "http.h"
#include "lib/event.h"
#include "libh1.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Connections that wait to be accepted: an overloaded process leaves some
   * here, and each waits behind the others. */
  BACKLOG = 512,
  /* Connections accepted per event. An overloaded process refuses most of them,
   * which is cheap, and so keeps its backlog short. */
  MAX_ACCEPTS_PER_EVENT = 256,
  MAX_READS_PER_EVENT = 4,
  /* Keep-alive probes detect an unreachable peer on an idle connection: three
   * probes, one a second, after 1 s idle. */
  PROBE_IDLE_S = 1,
  PROBE_INTERVAL_S = 1,
  PROBES = 3,
  OUT_COMPACT_BYTES = 64 * 1024,
};

static gboolean parse_address (const char *address, struct sockaddr_in *out);
static void set_tcp_options (int fd, guint silence_ms);
static gboolean pass_gate (QgH1Listener *listener, int fd, char *buffer,
                           gssize *received);
static gboolean peer_left (int fd);
static gboolean accept_one (QgH1Listener *listener);
static void accept_pending (QgH1Conn *listening);
static void read_all (QgH1Conn *conn);
static void finish_connect (QgH1Conn *conn);
static gboolean send_queued (QgH1Conn *conn, const GByteArray *data,
                             gsize *sent);
static void conn_clear (gpointer data);
static void note_peer_closed (QgH1Conn *conn);
static void close_fd (QgH1Conn *conn);
static void linger (QgH1Conn *conn);
static void on_linger_timeout (gpointer user);

/* Marks a listening socket: it has no messages, so its ops are empty. */
static const QgH1Ops listener_ops = { 0 };

static gboolean
parse_address (const char *address, struct sockaddr_in *out)
{
  g_autoptr (GSocketAddress) parsed = qg_http_parse_address (address);

  return parsed != NULL
         && g_socket_address_get_family (parsed) == G_SOCKET_FAMILY_IPV4
         && g_socket_address_to_native (parsed, out, sizeof *out, NULL);
}

static void
set_tcp_options (int fd, guint silence_ms)
{
  const struct
  {
    int level;
    int name;
    int value;
  } options[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, (int)silence_ms },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (options); i++)
    setsockopt (fd, options[i].level, options[i].name, &options[i].value,
                sizeof options[i].value);
}

QgH1Conn *
h1_conn_new (QgH1Loop *loop, int fd, gboolean server)
{
  QgH1Conn *conn = g_rc_box_new0 (QgH1Conn);

  conn->loop = loop;
  conn->fd = fd;
  conn->server = server;
  conn->arena = g_string_new (NULL);
  conn->spans = g_array_new (FALSE, FALSE, sizeof (H1HeaderSpan));
  conn->headers = g_array_new (FALSE, FALSE, sizeof (QgH1Header));
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  h1_parse_init (conn);
  return conn;
}

QgH1Conn *
h1_ref (QgH1Conn *conn)
{
  return g_rc_box_acquire (conn);
}

void
h1_unref (QgH1Conn *conn)
{
  g_rc_box_release_full (conn, conn_clear);
}

static void
conn_clear (gpointer data)
{
  QgH1Conn *conn = data;

  g_string_free (conn->arena, TRUE);
  g_array_unref (conn->spans);
  g_array_unref (conn->headers);
  conn->loop->buffered -= conn->counted;
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  g_clear_pointer (&conn->body, g_byte_array_unref);
}

void
h1_count_bytes (QgH1Conn *conn)
{
  gsize bytes = conn->in->len + conn->out->len;

  conn->loop->buffered += bytes - conn->counted;
  conn->counted = bytes;
}

gsize
qg_h1_loop_buffered (const QgH1Loop *loop)
{
  return loop->buffered;
}

gboolean
h1_is_ahead (const QgH1Conn *conn)
{
  return conn->parse_paused && conn->in->len >= H1_AHEAD_MAX_BYTES;
}

QgH1Listener *
qg_h1_listen (QgH1Loop *loop, const char *address,
              void (*accept) (gpointer user, QgH1Conn *conn), gpointer user,
              QgErr *err)
{
  struct sockaddr_in name;
  QgH1Listener *listener;
  int one = 1;
  int fd;

  if (!parse_address (address, &name))
    {
      qg_fail (err, QG_E_INVALID, "\"%s\" is not ip:port", address);
      return NULL;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&name, sizeof name) != 0
      || listen (fd, BACKLOG) != 0)
    {
      qg_fail (err, QG_E_IO, "cannot listen at %s: %s", address,
               g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  listener = g_new0 (QgH1Listener, 1);
  listener->conn = h1_conn_new (loop, fd, TRUE);
  listener->conn->ops = &listener_ops;
  listener->conn->user = listener;
  listener->accept = accept;
  listener->user = user;
  h1_loop_add (listener->conn, EPOLLIN);
  return listener;
}

void
qg_h1_listener_free (QgH1Listener *listener)
{
  if (listener == NULL)
    return;
  qg_h1_close (listener->conn);
  g_free (listener);
}

void
qg_h1_listener_set_gate (QgH1Listener *listener, const QgH1Gate *gate)
{
  listener->gate = *gate;
}

/* Receives what has arrived, even if the connection is then refused: closing
 * with unread bytes would reset the connection, and the caller might lose the
 * refusal. Returns FALSE after the refusal. */
static gboolean
pass_gate (QgH1Listener *listener, int fd, char *buffer, gssize *received)
{
  const QgH1Gate *gate = &listener->gate;
  ssize_t n;

  *received = 0;
  if (gate->admit == NULL || gate->admit (listener->user, NULL, 0))
    return TRUE;
  n = recv (fd, buffer, H1_READ_BYTES, 0);
  *received = MAX (n, 0);
  if (gate->admit (listener->user, buffer, (gsize)*received))
    return TRUE;
  send (fd, gate->refusal, strlen (gate->refusal), MSG_NOSIGNAL);
  for (int i = 1; i < MAX_READS_PER_EVENT && n == H1_READ_BYTES; i++)
    n = recv (fd, buffer, H1_READ_BYTES, 0);
  close (fd);
  if (gate->refused != NULL)
    gate->refused (listener->user);
  return FALSE;
}

/* Whether the peer has closed its side, so that the event loop must report this
 * before a request is read. */
static gboolean
peer_left (int fd)
{
  struct pollfd state = { .fd = fd, .events = POLLRDHUP };

  return poll (&state, 1, 0) > 0;
}

/* Under load, the request of a new connection has arrived by now, so it is read
 * at once. Returns FALSE when there is no connection to accept. */
static gboolean
accept_one (QgH1Listener *listener)
{
  QgH1Conn *listening = listener->conn;
  int fd = accept4 (listening->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  char received[H1_READ_BYTES];
  gssize n_received;
  QgH1Conn *conn;

  if (fd < 0)
    {
      if (errno == ECONNABORTED || errno == EINTR)
        return TRUE;
      if (errno != EAGAIN)
        qg_event (QG_EV_ACCEPT_FAILED, "accept: %s", g_strerror (errno));
      return FALSE;
    }
  if (!pass_gate (listener, fd, received, &n_received))
    return TRUE;
  conn = h1_conn_new (listening->loop, fd, TRUE);
  h1_loop_add (conn, EPOLLIN | EPOLLRDHUP);
  listener->accept (listener->user, conn);
  if (!peer_left (fd))
    {
      h1_ref (conn);
      if (n_received > 0)
        h1_parse_received (conn, received, (gsize)n_received);
      read_all (conn);
      h1_unref (conn);
    }
  return TRUE;
}

static void
accept_pending (QgH1Conn *listening)
{
  QgH1Listener *listener = listening->user;
  const QgH1Gate *gate = &listener->gate;

  for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && listening->fd >= 0; i++)
    if ((gate->may_accept != NULL && !gate->may_accept (listener->user))
        || !accept_one (listener))
      return;
}

void
qg_h1_listener_accept (QgH1Listener *listener)
{
  while (accept_one (listener))
    ;
}

gboolean
qg_h1_has_unread (const QgH1Conn *conn)
{
  int n = 0;

  return ioctl (conn->fd, FIONREAD, &n) == 0 && n > 0;
}

void
qg_h1_set_tcp_options (QgH1Conn *conn, QgTime silence)
{
  guint ms = (guint)CLAMP (silence / QG_MSEC, 1, G_MAXINT);

  if (ms <= conn->silence_ms)
    return;
  if (conn->silence_ms == 0)
    set_tcp_options (conn->fd, ms);
  else if (!conn->connecting) /* otherwise finish_connect() sets it */
    setsockopt (conn->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  conn->silence_ms = ms;
}

QgH1Conn *
qg_h1_connect (QgH1Loop *loop, const char *address, const QgH1Ops *ops,
               gpointer user)
{
  struct sockaddr_in name;
  QgH1Conn *conn;
  int code;
  int fd;

  if (!parse_address (address, &name))
    {
      errno = EINVAL;
      return NULL;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      code = errno;
      qg_event (QG_EV_CONNECT_FAILED, "cannot create a socket for %s: %s",
                address, g_strerror (code));
      errno = code;
      return NULL;
    }
  set_tcp_options (fd, QG_H1_SILENCE / QG_MSEC);
  if (connect (fd, (struct sockaddr *)&name, sizeof name) != 0
      && errno != EINPROGRESS)
    {
      code = errno;
      qg_event (QG_EV_CONNECT_FAILED, "%s: %s", address, g_strerror (code));
      close (fd);
      errno = code;
      return NULL;
    }
  conn = h1_conn_new (loop, fd, FALSE);
  conn->ops = ops;
  conn->user = user;
  conn->connecting = TRUE;
  conn->silence_ms = QG_H1_SILENCE / QG_MSEC;
  h1_loop_add (conn, EPOLLOUT);
  return conn;
}

void
qg_h1_set_ops (QgH1Conn *conn, const QgH1Ops *ops, gpointer user)
{
  conn->ops = ops;
  conn->user = user;
}

void
qg_h1_set_head_limit (QgH1Conn *conn, gsize bytes)
{
  conn->head_limit = bytes;
}

void
qg_h1_write (QgH1Conn *conn, const char *data, gsize len)
{
  if (conn->fd < 0 || len == 0)
    return;
  if (conn->body != NULL)
    {
      g_byte_array_append (conn->out, conn->body->data + conn->body_sent,
                           (guint)(conn->body->len - conn->body_sent));
      g_clear_pointer (&conn->body, g_byte_array_unref);
    }
  g_byte_array_append (conn->out, (const guint8 *)data, (guint)len);
  h1_count_bytes (conn);
  if (!conn->connecting)
    h1_loop_schedule_flush (conn);
}

void
qg_h1_write_body (QgH1Conn *conn, GByteArray *body)
{
  if (conn->fd < 0 || body->len == 0)
    return;
  if (conn->body != NULL)
    {
      qg_h1_write (conn, (const char *)body->data, body->len);
      return;
    }
  conn->body = g_byte_array_ref (body);
  conn->body_sent = 0;
  if (!conn->connecting)
    h1_loop_schedule_flush (conn);
}

void
qg_h1_printf (QgH1Conn *conn, const char *format, ...)
{
  char text[1024];
  va_list args;
  int len;

  va_start (args, format);
  len = g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  qg_h1_write (conn, text, (gsize)MIN (len, (int)sizeof text - 1));
}

gsize
qg_h1_unsent (const QgH1Conn *conn)
{
  return conn->out->len - conn->out_sent
         + (conn->body != NULL ? conn->body->len - conn->body_sent : 0);
}

void
qg_h1_expect_no_body (QgH1Conn *conn)
{
  conn->no_body = TRUE;
}

gboolean
qg_h1_in_message (const QgH1Conn *conn)
{
  return conn->in_message;
}

gboolean
qg_h1_is_open (const QgH1Conn *conn)
{
  return conn->fd >= 0 && !conn->connecting;
}

void
qg_h1_set_paused (QgH1Conn *conn, gboolean paused)
{
  if (paused && !conn->paused)
    conn->paused_at = qg_clock_now ();
  else if (!paused && conn->paused)
    conn->resumed_at = qg_clock_now ();
  conn->paused = paused;
  h1_update_events (conn);
}

QgTime
qg_h1_open_at (const QgH1Conn *conn)
{
  return conn->open_at;
}

/* The close is not reported while reading is paused, and is first reported by
 * the poll after the one that did not report it. */
static void
note_peer_closed (QgH1Conn *conn)
{
  if (conn->open_at == 0)
    conn->open_at
        = conn->resumed_at >= conn->loop->polled_before && conn->paused_at > 0
              ? conn->paused_at
              : conn->loop->polled_before;
}

void
h1_update_events (QgH1Conn *conn)
{
  guint32 events = conn->paused || conn->eof ? 0 : EPOLLIN | EPOLLRDHUP;

  if (h1_is_ahead (conn))
    events &= (guint32)~EPOLLIN;
  if (conn->connecting || qg_h1_unsent (conn) > 0)
    events |= EPOLLOUT;
  h1_loop_set_events (conn, events);
}

static void
close_fd (QgH1Conn *conn)
{
  conn->detached = TRUE;
  if (conn->fd < 0)
    return;
  qg_h1_timer_clear (conn->loop, &conn->linger);
  if (conn->closing)
    conn->loop->closing--;
  if (conn->unframed)
    conn->loop->unframed--;
  h1_loop_remove (conn);
  close (conn->fd);
  conn->fd = -1;
}

/* Closes the connection after the peer closed its side, or after H1_LINGER_MS:
 * closing with unread bytes would reset the connection, and the peer might lose
 * the response. */
static void
linger (QgH1Conn *conn)
{
  if (conn->sent_all)
    return;
  conn->sent_all = TRUE;
  if (!conn->server || conn->eof || shutdown (conn->fd, SHUT_WR) != 0)
    {
      qg_h1_close (conn);
      return;
    }
  h1_update_events (conn);
  conn->linger.fire = on_linger_timeout;
  conn->linger.user = conn;
  qg_h1_timer_set (conn->loop, &conn->linger,
                   qg_clock_now () + H1_LINGER_MS * QG_MSEC);
}

static void
on_linger_timeout (gpointer user)
{
  qg_h1_close (user);
}

void
qg_h1_close (QgH1Conn *conn)
{
  close_fd (conn);
  h1_unref (conn);
}

guint
qg_h1_loop_closing (const QgH1Loop *loop)
{
  return loop->closing;
}

void
qg_h1_close_after_send (QgH1Conn *conn)
{
  conn->detached = TRUE;
  conn->closing = TRUE;
  conn->loop->closing++;
  conn->parse_paused = TRUE;
  h1_loop_schedule_flush (conn);
}

void
h1_end (QgH1Conn *conn, QgH1End why)
{
  gboolean notify = !conn->detached;
  const QgH1Ops *ops = conn->ops;
  gpointer user = conn->user;

  if (conn->fd < 0)
    return;
  h1_ref (conn);
  /* The connection stays open after a malformed message, so that the owner can
   * send an error response. */
  if (why != QG_H1_MALFORMED && why != QG_H1_HEAD_TOO_LARGE)
    close_fd (conn);
  conn->detached = TRUE;
  if (notify)
    ops->closed (user, conn, why);
  else if (conn->closing)
    qg_h1_close (conn);
  h1_unref (conn);
}

void
h1_handle_events (QgH1Conn *conn, guint32 events)
{
  if (conn->fd < 0)
    return;
  if (conn->ops == &listener_ops)
    {
      accept_pending (conn);
      return;
    }
  if (conn->connecting)
    {
      finish_connect (conn);
      return;
    }
  /* A caller that closed its side counts as disconnected, and the request that
   * this caller sent before closing is not started. After a pause of this
   * machine, that request may be old. */
  if (conn->server && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
    {
      conn->eof = TRUE;
      h1_end (conn, (events & EPOLLERR) != 0 ? QG_H1_RESET : QG_H1_CLOSED);
      return;
    }
  if ((events & (EPOLLRDHUP | EPOLLHUP)) != 0)
    note_peer_closed (conn);
  if ((events & (guint32)~EPOLLOUT) != 0)
    read_all (conn);
  if (conn->fd >= 0 && (events & EPOLLOUT) != 0)
    h1_flush (conn);
}

static void
finish_connect (QgH1Conn *conn)
{
  int code = 0;
  socklen_t len = sizeof code;

  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &code, &len) != 0)
    code = errno;
  if (code != 0)
    {
      h1_end (conn, QG_H1_CONNECT_FAILED);
      return;
    }
  conn->connecting = FALSE;
  if (conn->silence_ms > QG_H1_SILENCE / QG_MSEC)
    setsockopt (conn->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &conn->silence_ms,
                sizeof conn->silence_ms);
  if (conn->ops->opened != NULL && !conn->detached)
    conn->ops->opened (conn->user, conn);
  h1_flush (conn);
}

static void
read_all (QgH1Conn *conn)
{
  guint8 buffer[H1_READ_BYTES];

  for (int i = 0; i < MAX_READS_PER_EVENT && conn->fd >= 0; i++)
    {
      ssize_t n = recv (conn->fd, buffer, sizeof buffer, 0);

      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n < 0)
        {
          h1_end (conn, QG_H1_RESET);
          return;
        }
      if (n == 0)
        {
          conn->eof = TRUE;
          note_peer_closed (conn);
          h1_parse_eof (conn);
          h1_end (conn, QG_H1_CLOSED);
          return;
        }
      if (conn->closing)
        continue;
      h1_parse_received (conn, (const char *)buffer, (gsize)n);
      if (h1_is_ahead (conn))
        h1_update_events (conn);
      if ((gsize)n < sizeof buffer || conn->paused || h1_is_ahead (conn))
        return;
    }
}

GByteArray *
h1_buffer_reset (GByteArray *buffer, gsize size)
{
  if (size <= H1_BUFFER_KEEP_BYTES)
    {
      g_byte_array_set_size (buffer, 0);
      return buffer;
    }
  g_byte_array_unref (buffer);
  return g_byte_array_new ();
}

void
h1_flush (QgH1Conn *conn)
{
  if (conn->fd < 0 || conn->connecting)
    return;
  if (!send_queued (conn, conn->out, &conn->out_sent)
      || (conn->body != NULL && conn->out_sent == conn->out->len
          && !send_queued (conn, conn->body, &conn->body_sent)))
    {
      h1_end (conn, QG_H1_RESET);
      return;
    }
  if (qg_h1_unsent (conn) == 0)
    {
      gboolean had_output = conn->out_sent > 0;

      conn->out = h1_buffer_reset (conn->out, conn->out->len);
      conn->out_sent = 0;
      g_clear_pointer (&conn->body, g_byte_array_unref);
      h1_count_bytes (conn);
      if (conn->closing)
        {
          linger (conn);
          return;
        }
      if (had_output && !conn->detached && conn->ops->drained != NULL)
        conn->ops->drained (conn->user, conn);
    }
  else if (conn->out_sent > OUT_COMPACT_BYTES)
    {
      g_byte_array_remove_range (conn->out, 0, (guint)conn->out_sent);
      conn->out_sent = 0;
      h1_count_bytes (conn);
    }
  if (conn->fd < 0)
    return;
  h1_update_events (conn);
  h1_parse (conn);
}

/* Sends from @data until the kernel takes no more; FALSE if the connection
 * broke. */
static gboolean
send_queued (QgH1Conn *conn, const GByteArray *data, gsize *sent)
{
  while (*sent < data->len)
    {
      ssize_t n = send (conn->fd, data->data + *sent, data->len - *sent,
                        MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return errno == EAGAIN;
      *sent += (gsize)n;
    }
  return TRUE;
}
