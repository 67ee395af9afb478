/**
 * @file h1.h
 * HTTP/1.1 connections on one epoll descriptor, for both sides of a relay:
 * callers (server side) and targets (client side). Streams both ways; a
 * connection that does not read holds its writer back.
 *
 * The message syntax is http-parser's; this module adds the limits, the checks
 * against request smuggling, and what a connection may be used for afterwards.
 * All calls belong to the thread of the default main context.
 */
#ifndef QG_H1_H
#define QG_H1_H

#include "lib/heap.h"
#include "lib/qg.h"

G_BEGIN_DECLS

typedef struct QgH1Loop QgH1Loop;
typedef struct QgH1Conn QgH1Conn;
typedef struct QgH1Listener QgH1Listener;

/** Bytes with their count; borrowed. */
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
  gboolean chunked;
  gboolean until_close; /**< the body ends with the connection */
  gint64 length;        /**< of the body, -1 when it is not stated */
  guint n_headers;
  const QgH1Header *headers;
} QgH1Head;

/** Why a connection ended. */
typedef enum
{
  QG_H1_CLOSED,     /**< the peer closed it in order */
  QG_H1_RESET,      /**< it was reset or timed out */
  QG_H1_NO_CONNECT, /**< it was never established: nothing was sent */
  QG_H1_BAD,        /**< the peer sent what is no message */
  QG_H1_TOO_LARGE,  /**< the head is over its limit */
  QG_N_H1_ENDS
} QgH1End;

/** Callbacks of the owner of a connection. */
typedef struct
{
  void (*head) (gpointer user, QgH1Conn *conn, const QgH1Head *head);
  void (*body) (gpointer user, QgH1Conn *conn, const char *data, gsize len);
  /** The message is complete. */
  void (*complete) (gpointer user, QgH1Conn *conn);
  /** The connection is gone; no callback follows. */
  void (*closed) (gpointer user, QgH1Conn *conn, QgH1End why);
  /** All queued bytes were taken by the system; may be NULL. */
  void (*drained) (gpointer user, QgH1Conn *conn);
} QgH1Ops;

/** A deadline inside its owner. */
typedef struct
{
  QgHeapNode node;
  void (*fire) (gpointer user);
  gpointer user;
} QgH1Timer;

QgH1Loop *qg_h1_loop_new (void);
void qg_h1_loop_free (QgH1Loop *loop);

/** Calls @a timer->fire at @a at (monotonic), once; moves it if it runs. */
void qg_h1_timer_set (QgH1Loop *loop, QgH1Timer *timer, QgTime at);
void qg_h1_timer_clear (QgH1Loop *loop, QgH1Timer *timer);

/** Called once in each turn of the loop after all events were served. */
void qg_h1_loop_after (QgH1Loop *loop, void (*after) (gpointer user),
                       gpointer user);

/**
 * Accepts connections at "ip:port".
 *
 * @param accept gets each new connection, and sets ops and limits.
 */
QgH1Listener *qg_h1_listen (QgH1Loop *loop, const char *address,
                            void (*accept) (gpointer user, QgH1Conn *conn),
                            gpointer user, QgErr *err);
/** Connections that the system has not handed over yet are reset. */
void qg_h1_listener_free (QgH1Listener *listener);
/** Accepts those that the system holds, all of them. */
void qg_h1_listener_accept (QgH1Listener *listener);

/** Connects to "ip:port"; NULL when the address is malformed or no descriptor
 * is left. Failures come to ops->closed. */
QgH1Conn *qg_h1_connect (QgH1Loop *loop, const char *address,
                         const QgH1Ops *ops, gpointer user);

void qg_h1_set_ops (QgH1Conn *conn, const QgH1Ops *ops, gpointer user);
void qg_h1_set_head_limit (QgH1Conn *conn, gsize bytes);

/** Queues bytes; they leave at the end of the turn. */
void qg_h1_write (QgH1Conn *conn, const char *data, gsize len);
void qg_h1_printf (QgH1Conn *conn, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** Bytes that are queued and not yet taken by the system. */
gsize qg_h1_unsent (const QgH1Conn *conn);

/** The response to the present request has no body (HEAD). */
void qg_h1_expect_no_body (QgH1Conn *conn);

/** Lets the next message on the connection be read. */
void qg_h1_next (QgH1Conn *conn);

/** Whether bytes of a further message were received already. */
gboolean qg_h1_has_more (const QgH1Conn *conn);

/** Sets what a connection needs that streams, or is open for long: no delay of
 * small pieces, probes, an end to unanswered bytes. Connections that come in
 * have nothing of it: most bring one request, and each option costs a call of
 * the system. */
void qg_h1_tune (QgH1Conn *conn);

/** Whether the system holds bytes that were not read yet. */
gboolean qg_h1_has_unread (const QgH1Conn *conn);

/** Whether some of a message was received, and not all of it. */
gboolean qg_h1_in_message (const QgH1Conn *conn);

/** Whether the connection was established. */
gboolean qg_h1_is_open (const QgH1Conn *conn);

/** Stops or goes on reading, so that the peer is held back. */
void qg_h1_hold (QgH1Conn *conn, gboolean hold);

/** Closes at once without callbacks; the reference of the caller is gone. */
void qg_h1_close (QgH1Conn *conn);
/** Closes once all queued bytes are sent, without callbacks; until then it
 * counts in qg_h1_loop_closing(). */
void qg_h1_close_later (QgH1Conn *conn);

/** Connections that still send their last bytes: a process that ends now would
 * cut them. */
guint qg_h1_loop_closing (const QgH1Loop *loop);

/** Compares without case. */
gboolean qg_slice_is (QgSlice slice, const char *text);
/** The value of a header, or an empty slice. */
QgSlice qg_h1_header (const QgH1Head *head, const char *name);

G_END_DECLS

#endif
