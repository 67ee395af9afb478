#define _GNU_SOURCE /* accept4 */

#include "http.h"
#include "lib/event.h"
#include "libh1.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Connections that wait to be accepted: an overloaded process leaves some
   * here, and each waits behind the others. */
  BACKLOG = 512,
  /* Connections to targets that share the memory for receive buffers. */
  CONNECTS_MAX = 512,
  /* Connections accepted per event. An overloaded process refuses most of them,
   * which is cheap, and so keeps its backlog short. */
  MAX_ACCEPTS_PER_EVENT = 256,
  /* Limits of the receive buffer of a connection, as set; the kernel takes
   * twice that. */
  RECEIVE_MIN_BYTES = 4 * 1024,
  RECEIVE_MAX_BYTES = 64 * 1024,
  /* Keep-alive probes detect an unreachable peer on an idle connection: three
   * probes, one a second, after 1 s idle. */
  PROBE_IDLE_S = 1,
  PROBE_INTERVAL_S = 1,
  PROBES = 3,
};

static gboolean parse_address (const char *address, struct sockaddr_in *out);
static void set_tcp_options (int fd, guint silence_ms);
static int receive_part (gsize total, guint n);
static gboolean pass_gate (QgH1Listener *listener, int fd, char *buffer,
                           gssize *received);
static gboolean peer_left (int fd);
static gboolean accept_one (QgH1Listener *listener);

/* Marks a listening socket: it has no messages, so its ops are empty. */
static const QgH1Ops listener_ops = { 0 };

gboolean
h1_is_listener (const QgH1Conn *conn)
{
  return conn->ops == &listener_ops;
}

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
qg_h1_listener_limit_buffers (QgH1Listener *listener, int receive, int send)
{
  int fd = listener->conn->fd;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof send);
}

static int
receive_part (gsize total, guint n)
{
  return (int)CLAMP (total / 2 / n, RECEIVE_MIN_BYTES, RECEIVE_MAX_BYTES);
}

void
qg_h1_loop_share_receive (QgH1Loop *loop, gsize total)
{
  loop->receive = receive_part (total, CONNECTS_MAX);
}

void
qg_h1_listener_share_receive (QgH1Listener *listener, gsize total, guint n_open)
{
  int bytes = receive_part (total, MAX (n_open, BACKLOG));

  if ((gsize)bytes * 2 > listener->receive
      && (gsize)bytes <= listener->receive * 2)
    return;
  listener->receive = (gsize)bytes;
  setsockopt (listener->conn->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
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
  for (int i = 1; i < H1_READS_PER_EVENT && n == H1_READ_BYTES; i++)
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
      h1_read_all (conn);
      h1_unref (conn);
    }
  return TRUE;
}

void
h1_accept_pending (QgH1Conn *listening)
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
  if (loop->receive > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &loop->receive,
                sizeof loop->receive);
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
