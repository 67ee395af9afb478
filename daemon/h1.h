/**
 * @file h1.h
 * HTTP/1.1 connections on one epoll descriptor, for both sides of a relay:
 * callers (server side) and targets (client side). Bodies are streamed in both
 * directions; a receiver that stops reading applies back pressure to its
 * sender.
 *
 * http-parser parses the messages; this module adds size limits, checks against
 * request smuggling, and connection reuse. Not thread-safe: call all functions
 * from the thread of the default main context.
 */
#ifndef QG_H1_H
#define QG_H1_H

#include "lib/heap.h"
#include "lib/qg.h"

G_BEGIN_DECLS

typedef struct QgH1Loop QgH1Loop;
typedef struct QgH1Conn QgH1Conn;
typedef struct QgH1Listener QgH1Listener;

/** A borrowed byte range, not NUL-terminated. */
typedef struct
{
  const char *data;
  gsize len;
} QgSlice;

typedef struct
{
  QgSlice name;
  QgSlice value;
} QgH1Header;

/** The head of a message; valid during the callback only. */
typedef struct
{
  const char *method; /**< requests */
  QgSlice url;        /**< requests */
  guint status;       /**< responses */
  gboolean keep_alive;
  gboolean http_1_0; /**< the sender knows no chunks */
  gboolean chunked;
  gboolean until_close; /**< the body ends when the connection closes */
  gint64 length;        /**< of the body in bytes, -1 if not declared */
  guint n_headers;
  const QgH1Header *headers;
} QgH1Head;

/** Why a connection ended. */
typedef enum
{
  QG_H1_CLOSED,         /**< the peer closed it */
  QG_H1_RESET,          /**< reset or timed out */
  QG_H1_CONNECT_FAILED, /**< never established: nothing was sent */
  QG_H1_MALFORMED,      /**< the peer sent a malformed message */
  QG_H1_HEAD_TOO_LARGE, /**< the message head exceeds the limit */
  QG_N_H1_ENDS
} QgH1End;

/** Callbacks to the owner of a connection. */
typedef struct
{
  void (*head) (gpointer user, QgH1Conn *conn, const QgH1Head *head);
  void (*body) (gpointer user, QgH1Conn *conn, const char *data, gsize len);
  /** The message is complete. */
  void (*complete) (gpointer user, QgH1Conn *conn);
  /** The connection has ended; no further callback is called. */
  void (*closed) (gpointer user, QgH1Conn *conn, QgH1End why);
  /** The kernel accepted all queued bytes; may be NULL. */
  void (*drained) (gpointer user, QgH1Conn *conn);
  /** The connection was established; may be NULL. */
  void (*opened) (gpointer user, QgH1Conn *conn);
} QgH1Ops;

/** A timer, embedded in its owner. */
typedef struct
{
  QgHeapNode node;
  void (*fire) (gpointer user);
  gpointer user;
} QgH1Timer;

QgH1Loop *qg_h1_loop_new (void);
void qg_h1_loop_free (QgH1Loop *loop);

/** Calls @a timer->fire once at @a at (monotonic time). If @a timer is already
 * set, it is moved. */
void qg_h1_timer_set (QgH1Loop *loop, QgH1Timer *timer, QgTime at);
void qg_h1_timer_clear (QgH1Loop *loop, QgH1Timer *timer);

/** Sets a callback that runs once per loop iteration, after all events have
 * been handled. */
void qg_h1_loop_set_after (QgH1Loop *loop, void (*after) (gpointer user),
                           gpointer user);

/** Sets callbacks for the start and the end of each pass over the events; the
 * end is after all queued bytes were sent. */
void qg_h1_loop_set_pass (QgH1Loop *loop, void (*began) (gpointer user),
                          void (*ended) (gpointer user), gpointer user);

/**
 * Accepts connections at "ip:port".
 *
 * @param accept called with each new connection, to set its ops and limits.
 */
QgH1Listener *qg_h1_listen (QgH1Loop *loop, const char *address,
                            void (*accept) (gpointer user, QgH1Conn *conn),
                            gpointer user, QgErr *err);
/** Decides which new connections of a listener are refused before their request
 * is parsed. */
typedef struct
{
  /** Whether to accept more connections in this pass of the loop; those that
   * are left stay in the backlog. */
  gboolean (*may_accept) (gpointer user);
  /** Called with @a received NULL before anything is read. If it then returns
   * FALSE, called again with what has arrived of the request, which may be
   * nothing. If that returns FALSE, the connection is refused. */
  gboolean (*admit) (gpointer user, const char *received, gsize len);
  /** Called after a refused connection was closed; may be NULL. */
  void (*refused) (gpointer user);
  const char *refusal; /**< response to refused connections; static */
} QgH1Gate;

/** Sets the gate of a listener; its callbacks get the listener's user. */
void qg_h1_listener_set_gate (QgH1Listener *listener, const QgH1Gate *gate);
/** Limits the kernel's buffers of the connections that are accepted from now
 * on, in bytes; the kernel takes twice that. */
void qg_h1_listener_limit_buffers (QgH1Listener *listener, int receive,
                                   int send);
/** Divides @a total bytes among the kernel's receive buffers of connections, of
 * which @a n_open are open and others may wait to be accepted. To be called
 * when one was accepted; a system call only where the parts change much. */
void qg_h1_listener_share_receive (QgH1Listener *listener, gsize total,
                                   guint n_open);
/** Stops listening; resets connections that were not accepted yet. */
void qg_h1_listener_free (QgH1Listener *listener);
/** Accepts all connections in the kernel's backlog. */
void qg_h1_listener_accept (QgH1Listener *listener);

/** Divides @a total bytes among the kernel's receive buffers of the connections
 * that qg_h1_connect() opens from now on. */
void qg_h1_loop_share_receive (QgH1Loop *loop, gsize total);

/** Connects to "ip:port"; NULL, with errno set, when the address is malformed
 * (EINVAL), the process is out of file descriptors, or connect() fails at once.
 * Later failures are reported through ops->closed. */
QgH1Conn *qg_h1_connect (QgH1Loop *loop, const char *address,
                         const QgH1Ops *ops, gpointer user);

void qg_h1_set_ops (QgH1Conn *conn, const QgH1Ops *ops, gpointer user);
void qg_h1_set_head_limit (QgH1Conn *conn, gsize bytes);

/** Queues bytes; they are sent at the end of the loop iteration. */
void qg_h1_write (QgH1Conn *conn, const char *data, gsize len);
void qg_h1_printf (QgH1Conn *conn, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** Queues bytes that the connection shares with the caller, instead of a copy.
 * They must not change. */
void qg_h1_write_body (QgH1Conn *conn, GByteArray *body);

/** Sends what is queued at once, as far as the kernel takes it. */
void qg_h1_loop_flush (QgH1Loop *loop);

/** Bytes that all connections hold: received and not handled yet, queued by
 * qg_h1_write(), and a fixed part for each connection. */
gsize qg_h1_loop_buffered (const QgH1Loop *loop);

/** Bytes that are queued and not yet accepted by the kernel. */
gsize qg_h1_unsent (const QgH1Conn *conn);
/** Whether the peer has not received all that was written. */
gboolean qg_h1_is_sending (const QgH1Conn *conn);
/** Returns a descriptor that keeps the socket open after qg_h1_close(), for
 * qg_h1_held_was_reset(); to be closed by the caller. -1 if there is none. */
int qg_h1_hold (const QgH1Conn *conn);
/** Whether the peer has reset the connection of a held socket. */
gboolean qg_h1_held_was_reset (int held);

/** Declares that the response to the current request has no body (HEAD). */
void qg_h1_expect_no_body (QgH1Conn *conn);

/** Whether a response has a body, whatever its headers say (RFC 9112, 6.3). */
gboolean qg_h1_has_body (const char *method, guint status);

/** Allows the next message on the connection to be read. */
void qg_h1_allow_next (QgH1Conn *conn);

/** Whether bytes after the current message have been received. */
gboolean qg_h1_has_buffered (const QgH1Conn *conn);

/** Sets the TCP options for a connection that streams or stays open long:
 * TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. Accepted connections
 * start without them: most carry one request, and each option costs a system
 * call.
 *
 * @param silence how long the peer may leave bytes unacknowledged, or its
 *                receive window closed, before it counts as gone. A longer time
 *                that was set before stays. While the connection is not
 *                established, QG_H1_SILENCE holds. */
void qg_h1_set_tcp_options (QgH1Conn *conn, QgTime silence);

/** How long a peer may be silent while it has no reason to read slowly: half of
 * 2 s, the shortest time limit of a request. */
#define QG_H1_SILENCE QG_SEC

/** Whether the kernel holds received bytes that were not read yet. */
gboolean qg_h1_has_unread (const QgH1Conn *conn);

/** When the kernel last received a segment from the peer, or a little later. In
 * the callback `opened` that is the end of the handshake; once the peer has
 * closed the connection, the close or a later segment. */
QgTime qg_h1_heard_at (const QgH1Conn *conn);

/** The connection is used for another request, after qg_h1_has_unread() has
 * returned FALSE: nothing that was received before waits in front of a close.
 */
void qg_h1_reused (QgH1Conn *conn);

/** Whether a message has been received in part. */
gboolean qg_h1_in_message (const QgH1Conn *conn);

/** Whether the connection was established. */
gboolean qg_h1_is_open (const QgH1Conn *conn);

/** When a connection that its peer has closed was last known to be open: a time
 * before the close. The owner of the connection may call this from its complete
 * and closed callbacks. */
QgTime qg_h1_open_at (const QgH1Conn *conn);

/** Pauses or resumes reading, to apply back pressure to the peer. */
void qg_h1_set_paused (QgH1Conn *conn, gboolean paused);

/** Closes at once without callbacks and releases the owner's reference. */
void qg_h1_close (QgH1Conn *conn);
/** Closes once all queued bytes are sent, without callbacks; until then the
 * connection counts in qg_h1_loop_closing(). */
void qg_h1_close_after_send (QgH1Conn *conn);

/** Declares that what is sent from now on is whole only if the connection ends
 * in order. Until qg_h1_end_in_order(), however the connection ends, the end of
 * this process included, the peer gets a reset. */
void qg_h1_end_by_reset (QgH1Conn *conn);
/** Declares that all that qg_h1_end_by_reset() announced is queued. The
 * connection ends in order once it is sent. */
void qg_h1_end_in_order (QgH1Conn *conn);

/** Number of closing connections that still have bytes to send; they are cut
 * off if the process exits now. */
guint qg_h1_loop_closing (const QgH1Loop *loop);

/** Whether @a slice equals @a text. */
gboolean qg_slice_equals (QgSlice slice, const char *text);
/** Whether @a slice equals @a text, ignoring ASCII case. */
gboolean qg_slice_is (QgSlice slice, const char *text);
/** The value of the first header @a name, or an empty slice. */
QgSlice qg_h1_header (const QgH1Head *head, const char *name);
/** Whether the Content-Type is text/event-stream, with or without parameters.
 */
gboolean qg_h1_is_event_stream (const QgH1Head *head);

G_END_DECLS

#endif
