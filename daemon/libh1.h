/**
 * @file libh1.h
 * What the files of the h1 family share: h1.c (sockets), h1_loop.c (waiting
 * and timers) and h1_parse.c (messages).
 */
#ifndef QG_LIBH1_H
#define QG_LIBH1_H

#include "h1.h"

#include <http_parser.h>

enum
{
  /** Buffers that grew beyond this are given back once they are empty. */
  H1_KEEP_BYTES = 4 * 1024,
  H1_READ_BYTES = 64 * 1024,
  /** Largest head of a message unless its owner sets another limit. */
  H1_HEAD_BYTES = 64 * 1024,
  /** How long a connection that was answered early goes on reading, so that
   * the answer is not lost to a reset: some round trips. */
  H1_LINGER_MS = 500,
};

/** A header as offsets into the arena, which moves while it grows. */
typedef struct
{
  guint name_at;
  guint name_len;
  guint value_at;
  guint value_len;
} H1Span;

struct QgH1Conn
{
  QgH1Loop *loop;
  int fd; /* -1 once closed */
  gboolean server;
  gboolean connecting;
  gboolean tuned; /* options of an accepted connection are set */
  gboolean held;
  gboolean waiting; /* a message is complete; qg_h1_next() goes on */
  gboolean closing; /* closes once the queue is sent */
  gboolean shut;    /* all was sent; waits for the peer to close */
  QgH1Timer linger;
  gboolean mute; /* no callbacks any more */
  gboolean no_body;
  gboolean in_message; /* some of a message came, and not all of it */
  gboolean in_value;
  gboolean folded;
  gboolean eof;
  guint32 events; /* registered with epoll */
  gboolean dirty; /* in the list of connections to flush */
  const QgH1Ops *ops;
  gpointer user;
  http_parser parser;
  gsize head_limit;
  gsize head_bytes;
  guint url_len;
  GString *arena;
  GArray *spans;         /* H1Span */
  GArray *headers;       /* QgH1Header, of the head that is told */
  const char *feed;      /* bytes being parsed */
  const char *value_end; /* end of the latest piece of a value */
  GByteArray *in;        /* received behind a complete message */
  GByteArray *out;
  gsize out_at;
};

struct QgH1Loop
{
  int epoll;
  GSource *source;
  GPtrArray *dirty; /* QgH1Conn with queued bytes, referenced */
  QgHeap timers;
  guint closing; /* connections that still send before they close */
  void (*after) (gpointer user);
  gpointer after_user;
};

struct QgH1Listener
{
  QgH1Conn *base; /* takes the place of a connection in the epoll set */
  void (*accept) (gpointer user, QgH1Conn *conn);
  gpointer user;
};

/* h1.c */
QgH1Conn *h1_conn_new (QgH1Loop *loop, int fd, gboolean server);
QgH1Conn *h1_ref (QgH1Conn *conn);
void h1_unref (QgH1Conn *conn);
void h1_ready (QgH1Conn *conn, guint32 events);
void h1_flush (QgH1Conn *conn);
/** Ends the connection and tells its owner. */
void h1_end (QgH1Conn *conn, QgH1End why);

/* h1_loop.c */
void h1_loop_add (QgH1Conn *conn, guint32 events);
void h1_loop_want (QgH1Conn *conn, guint32 events);
void h1_loop_remove (QgH1Conn *conn);
void h1_loop_dirty (QgH1Conn *conn);

/** An empty buffer in place of @a buffer, which may have grown. */
GByteArray *h1_empty (GByteArray *buffer, gsize grown);

/* h1_parse.c */
void h1_parse_init (QgH1Conn *conn);
/** Parses bytes that were received, until the message is complete; what comes
 * after it is kept. */
void h1_feed (QgH1Conn *conn, const char *data, gsize len);
/** Parses what was kept. */
void h1_parse (QgH1Conn *conn);
/** The peer sent its last byte: a body without length is complete. */
void h1_parse_eof (QgH1Conn *conn);

#endif
