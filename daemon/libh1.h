/**
 * @file libh1.h
 * Internal declarations of the h1 module: h1_open.c (listening and connecting),
 * h1.c (open connections), h1_loop.c (event loop and timers) and h1_parse.c
 * (message parsing).
 */
#ifndef QG_LIBH1_H
#define QG_LIBH1_H

#include "clock.h"
#include "h1.h"

#include <http_parser.h>

enum
{
  /** An empty buffer that had grown above this size is freed. */
  H1_BUFFER_KEEP_BYTES = 4 * 1024,
  H1_READ_BYTES = 64 * 1024,
  /** Bytes read at once where a request begins, so that few of later ones come
   * along: most requests fit. */
  H1_HEAD_READ_BYTES = 16 * 1024,
  H1_READS_PER_EVENT = 4,
  /** Bytes after a response above which no more are read until the next one is
   * allowed. Behind a request, none are read. */
  H1_AHEAD_MAX_BYTES = 64 * 1024,
  /** What an open connection takes besides the bytes in its buffers. */
  H1_CONN_BYTES = 4 * 1024,
  /** Default limit of a message head. */
  H1_DEFAULT_HEAD_LIMIT = 64 * 1024,
  /** How long a closing connection keeps reading after the response was sent: a
   * few round trips. Closing with unread bytes sends a reset, which could make
   * the peer lose the response. */
  H1_LINGER_MS = 500,
  /** Interval of checks whether a peer has got all bytes. */
  H1_UNACKED_POLL_MS = 5,
  /** Interim responses (1xx) before a response: servers send one or two. */
  H1_INTERIM_MAX = 8,
  /** Version, status and the space behind it. */
  H1_STATUS_LINE_BYTES = 13,
  /** Error of the kernel's times of a connection: a tick at the lowest usual
   * rate, 100 a second. */
  H1_TCP_INFO_ERROR_MS = 10,
  /** How long after a window was opened again a peer has sent what had to wait:
   * some round trips between data centres. */
  H1_DRAINED_MS = 50,
  /** Interval of polling at least while an answer is read that ends with its
   * connection: the time of the close is known as exactly. */
  H1_UNFRAMED_POLL_MS = 50,
};

/** A header as offsets into the arena, which is reallocated as it grows. */
typedef struct
{
  guint name_offset;
  guint name_len;
  guint value_offset;
  guint value_len;
} H1HeaderSpan;

struct QgH1Conn
{
  QgH1Loop *loop;
  int fd; /* -1 once closed */
  gboolean server;
  gboolean connecting;
  guint silence_ms;      /* see qg_h1_set_tcp_options(); 0: not set */
  gboolean paused;       /* reading is paused */
  gboolean parse_paused; /* after a message, until qg_h1_allow_next() */
  gboolean closing;      /* closes once the output queue is sent */
  gboolean sent_all;     /* all output sent; waits for the peer to close */
  QgH1Timer linger;
  QgTime linger_until;    /* of a connection that ends by a reset */
  gboolean detached;      /* calls no more callbacks */
  gboolean ended_unacked; /* the peer had not received all at the end */
  gboolean no_body;       /* the response has no body (HEAD) */
  gboolean in_message;    /* a message has been received in part */
  gboolean in_value;      /* the last header token was a value */
  gboolean folded;        /* a header value continues on the next line */
  gboolean eof;
  gboolean unfinished; /* see qg_h1_end_by_reset() */
  gboolean resets;     /* closing the socket resets the connection */
  gboolean unframed;   /* counted in QgH1Loop.unframed */
  QgTime unread_since; /* last poll before the peer may have had to wait for the
                          first time until its bytes were read, or 0 */
  QgTime drained_at;   /* when all had been read after that, or 0 */
  QgTime open_at; /* see qg_h1_open_at(); 0: the peer's close is not seen */
  guint32 events; /* epoll events registered for */
  gboolean flush_pending; /* listed in QgH1Loop.to_flush */
  const QgH1Ops *ops;
  gpointer user;
  http_parser parser;
  gsize head_limit;
  gsize head_bytes;
  guint url_len;
  guint n_interim;        /* interim responses since the last response */
  guint status_line;      /* bytes of the status line that were checked */
  gboolean after_interim; /* the parser stopped behind an interim response */
  GString *arena;
  GArray *spans;           /* H1HeaderSpan */
  GArray *headers;         /* QgH1Header, passed to ops->head */
  const char *parse_input; /* bytes being parsed */
  const char *value_end;   /* end of the latest fragment of a header value */
  GByteArray *in;          /* received after a complete message */
  GByteArray *out;
  gsize out_sent;   /* bytes of out already sent */
  GByteArray *body; /* sent after out, or NULL; see qg_h1_write_body() */
  gsize body_sent;
  gsize counted; /* bytes of this connection in QgH1Loop.buffered */
};

struct QgH1Loop
{
  int epoll;
  GSource *source;
  GPtrArray *to_flush; /* of QgH1Conn, referenced */
  QgHeap timers;
  int receive; /* limit of the receive buffers of its own connections, or 0 */
  gsize buffered;                /* bytes in the buffers of all connections */
  guint closing;                 /* connections with QgH1Conn.closing set */
  guint unframed;                /* connections whose answer ends with them */
  QgTime polling_at;             /* before the current poll */
  QgTime polled_at;              /* before the last poll that was handled */
  QgTime polled_before;          /* before the poll before that */
  void (*after) (gpointer user); /* see qg_h1_loop_set_after() */
  gpointer after_user;
  void (*began) (gpointer user); /* see qg_h1_loop_set_pass(), or NULL */
  void (*ended) (gpointer user);
  gpointer pass_user;
};

struct QgH1Listener
{
  QgH1Conn *conn; /* the listening socket's entry in the epoll set */
  void (*accept) (gpointer user, QgH1Conn *conn);
  QgH1Gate gate; /* all zeros if none is set */
  gsize receive; /* see qg_h1_listener_share_receive(), or 0 */
  gpointer user;
};

/* h1_open.c */
gboolean h1_is_listener (const QgH1Conn *conn);
/** Accepts the pending connections of a listening socket. */
void h1_accept_pending (QgH1Conn *listening);

/* h1.c */
/** Reads and parses what has arrived. */
void h1_read_all (QgH1Conn *conn);
QgH1Conn *h1_conn_new (QgH1Loop *loop, int fd, gboolean server);
QgH1Conn *h1_ref (QgH1Conn *conn);
void h1_unref (QgH1Conn *conn);
void h1_handle_events (QgH1Conn *conn, guint32 events);
void h1_flush (QgH1Conn *conn);
/** Whether enough was received after the current message. */
gboolean h1_is_ahead (const QgH1Conn *conn);
/** Registers for the events that the connection waits for now. */
void h1_update_events (QgH1Conn *conn);
/** Updates the number of bytes that the connection holds. */
void h1_count_bytes (QgH1Conn *conn);
/** Ends the connection and calls ops->closed. */
void h1_end (QgH1Conn *conn, QgH1End why);

/* h1_loop.c */
void h1_loop_add (QgH1Conn *conn, guint32 events);
void h1_loop_set_events (QgH1Conn *conn, guint32 events);
void h1_loop_remove (QgH1Conn *conn);
void h1_loop_schedule_flush (QgH1Conn *conn);

/** Empties @a buffer, whose length was @a size; replaces the buffer if @a size
 * exceeds H1_BUFFER_KEEP_BYTES. */
GByteArray *h1_buffer_reset (GByteArray *buffer, gsize size);

/* h1_parse.c */
void h1_parse_init (QgH1Conn *conn);
/** Parses received bytes up to the end of the message; buffers what follows. */
void h1_parse_received (QgH1Conn *conn, const char *data, gsize len);
/** Parses the buffered bytes. */
void h1_parse (QgH1Conn *conn);
/** Handles the end of input, which completes a body of undeclared length. */
void h1_parse_eof (QgH1Conn *conn);

#endif
