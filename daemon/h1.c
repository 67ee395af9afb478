#include "libh1.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  OUT_COMPACT_BYTES = 64 * 1024,
};

static gsize allocated (const GByteArray *buffer);
static gsize read_size (const QgH1Conn *conn);
static void finish_connect (QgH1Conn *conn);
static gboolean send_queued (QgH1Conn *conn, const GByteArray *data,
                             gsize *sent);
static void conn_clear (gpointer data);
static void note_unread (QgH1Conn *conn, QgTime polled_at);
static void note_drained (QgH1Conn *conn);
static void forget_unread (QgH1Conn *conn);
static void note_peer_closed (QgH1Conn *conn);
static void close_fd (QgH1Conn *conn);
static void set_resets (QgH1Conn *conn, gboolean resets);
static gboolean has_unacked (const QgH1Conn *conn);
static void linger (QgH1Conn *conn);
static void wait_for_acks (gpointer user);
static void on_linger_timeout (gpointer user);

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
  h1_count_bytes (conn);
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

/* Buffers grow in powers of two. */
static gsize
allocated (const GByteArray *buffer)
{
  return buffer->len > 0 ? (gsize)1 << g_bit_storage (buffer->len - 1) : 0;
}

void
h1_count_bytes (QgH1Conn *conn)
{
  gsize bytes = H1_CONN_BYTES + allocated (conn->in) + allocated (conn->out);

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
  return conn->parse_paused
         && conn->in->len >= (conn->server ? 1 : H1_AHEAD_MAX_BYTES);
}

gboolean
qg_h1_has_unread (const QgH1Conn *conn)
{
  int n = 0;

  return ioctl (conn->fd, FIONREAD, &n) == 0 && n > 0;
}

QgTime
qg_h1_heard_at (const QgH1Conn *conn)
{
  QgTime now = qg_clock_now ();
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (conn->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0
      || info.tcpi_last_ack_recv <= H1_TCP_INFO_ERROR_MS)
    return now;
  return now - (info.tcpi_last_ack_recv - H1_TCP_INFO_ERROR_MS) * QG_MSEC;
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

gboolean
qg_h1_is_sending (const QgH1Conn *conn)
{
  return qg_h1_unsent (conn) > 0
         || (conn->fd >= 0 ? has_unacked (conn) : conn->ended_unacked);
}

int
qg_h1_hold (const QgH1Conn *conn)
{
  return conn->fd >= 0 ? fcntl (conn->fd, F_DUPFD_CLOEXEC, 0) : -1;
}

/* A connection that its peer only closed waits for the close of this side. */
gboolean
qg_h1_held_was_reset (int held)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  return held >= 0 && getsockopt (held, IPPROTO_TCP, TCP_INFO, &info, &len) == 0
         && info.tcpi_state == TCP_CLOSE;
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
  if (paused)
    note_unread (conn, conn->loop->polled_at);
  conn->paused = paused;
  if (!paused && conn->unread_since > 0 && !qg_h1_has_unread (conn))
    note_drained (conn);
  h1_update_events (conn);
}

void
qg_h1_reused (QgH1Conn *conn)
{
  conn->unread_since = 0;
}

QgTime
qg_h1_open_at (const QgH1Conn *conn)
{
  return conn->open_at;
}

/* Since @polled_at, all that the peer had sent was not read. */
static void
note_unread (QgH1Conn *conn, QgTime polled_at)
{
  forget_unread (conn);
  if (conn->unread_since == 0)
    conn->unread_since = polled_at;
  conn->drained_at = 0;
}

static void
note_drained (QgH1Conn *conn)
{
  forget_unread (conn);
  if (conn->unread_since > 0 && !conn->paused)
    conn->drained_at = qg_clock_now ();
}

/* Once the window is open again, the peer sends what had to wait. */
static void
forget_unread (QgH1Conn *conn)
{
  if (conn->drained_at > 0
      && conn->loop->polled_before
             >= conn->drained_at + H1_DRAINED_MS * QG_MSEC)
    conn->unread_since = conn->drained_at = 0;
}

/* The close waits behind what the peer could not send while its receive window
 * was closed; it is first reported by the poll after the one that did not
 * report it. */
static void
note_peer_closed (QgH1Conn *conn)
{
  forget_unread (conn);
  if (conn->open_at == 0)
    conn->open_at = conn->unread_since > 0 ? conn->unread_since
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

void
qg_h1_end_by_reset (QgH1Conn *conn)
{
  conn->unfinished = TRUE;
  set_resets (conn, TRUE);
}

/* The socket's option stays until the queued bytes are sent. */
void
qg_h1_end_in_order (QgH1Conn *conn)
{
  conn->unfinished = FALSE;
}

static void
set_resets (QgH1Conn *conn, gboolean resets)
{
  struct linger option = { resets, 0 };

  conn->resets = resets;
  if (conn->fd >= 0)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

static gboolean
has_unacked (const QgH1Conn *conn)
{
  int n = 0;

  return ioctl (conn->fd, SIOCOUTQ, &n) == 0 && n > 0;
}

/* Resets the connection once the peer has acknowledged all bytes, or after
 * H1_LINGER_MS: a reset drops those in the socket's buffer. */
static void
wait_for_acks (gpointer user)
{
  QgH1Conn *conn = user;
  QgTime now = qg_clock_now ();

  if (!has_unacked (conn) || now >= conn->linger_until)
    {
      qg_h1_close (conn);
      return;
    }
  conn->linger.fire = wait_for_acks;
  conn->linger.user = conn;
  qg_h1_timer_set (conn->loop, &conn->linger,
                   now + H1_UNACKED_POLL_MS * QG_MSEC);
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
  if (conn->unfinished)
    {
      h1_update_events (conn);
      conn->linger_until = qg_clock_now () + H1_LINGER_MS * QG_MSEC;
      wait_for_acks (conn);
      return;
    }
  if (conn->resets)
    set_resets (conn, FALSE);
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
  conn->ended_unacked = has_unacked (conn);
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
  if (h1_is_listener (conn))
    {
      h1_accept_pending (conn);
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
    h1_read_all (conn);
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

static gsize
read_size (const QgH1Conn *conn)
{
  return conn->server && !conn->in_message ? H1_HEAD_READ_BYTES : H1_READ_BYTES;
}

void
h1_read_all (QgH1Conn *conn)
{
  guint8 buffer[H1_READ_BYTES];

  for (int i = 0; i < H1_READS_PER_EVENT && conn->fd >= 0; i++)
    {
      gsize size = read_size (conn);
      ssize_t n = recv (conn->fd, buffer, size, 0);

      if (n < 0 && errno == EAGAIN)
        note_drained (conn);
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
      if ((gsize)n == size)
        note_unread (conn, conn->loop->polled_before);
      else
        note_drained (conn);
      h1_parse_received (conn, (const char *)buffer, (gsize)n);
      if (h1_is_ahead (conn))
        h1_update_events (conn);
      if ((gsize)n < size || conn->paused || h1_is_ahead (conn))
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
      /* Removing a range would keep the memory of what was sent. */
      guint left = conn->out->len - (guint)conn->out_sent;
      GByteArray *rest = g_byte_array_sized_new (left);

      g_byte_array_append (rest, conn->out->data + conn->out_sent, left);
      g_byte_array_unref (conn->out);
      conn->out = rest;
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
