#include "httpguard.h"
#include "clock.h"
#include "httpaccept.h"

#include <string.h>
#include <sys/socket.h>

#define MESSAGE_KEY "qg-httpguard"

enum
{
  /** What libsoup and GIO take for a connection. */
  CONNECTION_BYTES = 32 * 1024,
  /** What libsoup takes for a head that has not arrived as a whole: 64 KiB are
   * allowed, and its buffer grows in powers of two. */
  HEAD_BYTES = 128 * 1024,
  /** What libsoup takes for a header besides its bytes: two strings, and their
   * place in an array that grows in powers of two. */
  HEADER_BYTES = 128,
  /** Connections that share the memory for the kernel's receive buffers, those
   * that wait to be accepted included. */
  CONNECTIONS_MAX = 512,
  RECEIVE_MIN_BYTES = 4 * 1024,
  /** What libsoup takes for a piece of a body besides its bytes: a body in
   * chunks of one byte takes a hundred times its size. */
  PIECE_BYTES = 160,
  /** Bytes beyond the limit of a body that are read and dropped, so that its
   * sender reads the refusal. */
  DROPPED_MAX_BYTES = 4 * 1024 * 1024,
  SWEEP_MS = 1000,
};

/** Limits of one server. */
typedef struct
{
  gsize body_max;
} Guard;

/** One request, freed with its message. */
typedef struct
{
  Guard *guard;
  SoupServerMessage *msg;
  GList *link; /* in incomplete, or NULL */
  QgTime began;
  gsize held;     /* of the budget */
  gsize received; /* of the body */
  gboolean cut;   /* the body is not stored as a whole */
} Request;

static QgByteBudget budget;
/** Requests of all servers, which share the budget: Request, oldest first. */
static GQueue incomplete = G_QUEUE_INIT;

static void on_started (SoupServer *server, SoupServerMessage *msg,
                        gpointer user);
static void on_headers (SoupServerMessage *msg, gpointer user);
static void add_header (const char *name, const char *value, gpointer user);
static void on_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer user);
static void on_body (SoupServerMessage *msg, gpointer user);
static void request_free (gpointer data);
static gboolean hold (Request *request, gsize bytes);
static gboolean hold_connection (Request *request);
static void drop_body (Request *request);
static void leave_queue (Request *request);
static void hang_up (Request *request);
static gboolean on_sweep (gpointer user);

void
qg_httpguard_init (gsize memory)
{
  gsize held = budget.held;

  qg_bytebudget_init (&budget, memory);
  budget.held = held;
}

QgByteBudget *
qg_httpguard_budget (void)
{
  return &budget;
}

void
qg_httpguard_limit_socket (GSocket *socket)
{
  /* The kernel takes twice the size that is set. */
  int receive = (int)CLAMP (budget.kernel / 2 / CONNECTIONS_MAX,
                            RECEIVE_MIN_BYTES, QG_HTTPGUARD_RECEIVE_BYTES);

  g_socket_set_option (socket, SOL_SOCKET, SO_RCVBUF, receive, NULL);
  g_socket_set_option (socket, SOL_SOCKET, SO_SNDBUF, QG_HTTPGUARD_SEND_BYTES,
                       NULL);
}

/* A guard lives as long as the process: servers are not replaced. */
void
qg_httpguard_watch (SoupServer *server, gsize body_max)
{
  static gboolean sweeping;
  Guard *guard = g_new0 (Guard, 1);

  guard->body_max = body_max;
  g_signal_connect (server, "request-started", G_CALLBACK (on_started), guard);
  if (!sweeping)
    g_timeout_add (SWEEP_MS, on_sweep, NULL);
  sweeping = TRUE;
}

gboolean
qg_httpguard_was_cut (SoupServerMessage *msg)
{
  const Request *request = g_object_get_data (G_OBJECT (msg), MESSAGE_KEY);

  return request != NULL && request->cut;
}

static void
on_started (SoupServer *server, SoupServerMessage *msg, gpointer user)
{
  Request *request = g_new0 (Request, 1);

  request->guard = user;
  request->msg = msg;
  request->began = qg_clock_now ();
  g_object_set_data_full (G_OBJECT (msg), MESSAGE_KEY, request, request_free);
  if (!hold_connection (request))
    {
      hang_up (request);
      return;
    }
  g_queue_push_tail (&incomplete, request);
  request->link = incomplete.tail;
  g_signal_connect (msg, "got-headers", G_CALLBACK (on_headers), request);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_chunk), request);
  g_signal_connect (msg, "got-body", G_CALLBACK (on_body), request);
}

static void
request_free (gpointer data)
{
  Request *request = data;

  leave_queue (request);
  qg_bytebudget_resize (&budget, request->held, 0);
  g_free (request);
}

static gboolean
hold (Request *request, gsize bytes)
{
  if (!qg_bytebudget_resize (&budget, request->held, bytes))
    return FALSE;
  request->held = bytes;
  return TRUE;
}

static gboolean
hold_connection (Request *request)
{
  const gsize bytes = CONNECTION_BYTES + HEAD_BYTES;
  Request *oldest;

  while (!qg_bytebudget_resize_small (&budget, request->held, bytes))
    {
      oldest = g_queue_peek_head (&incomplete);
      if (oldest == NULL)
        return FALSE;
      drop_body (oldest);
      hold (oldest, 0);
      leave_queue (oldest);
      hang_up (oldest);
    }
  request->held = bytes;
  return TRUE;
}

static void
on_headers (SoupServerMessage *msg, gpointer user)
{
  Request *request = user;
  gsize bytes = CONNECTION_BYTES;

  soup_message_headers_foreach (soup_server_message_get_request_headers (msg),
                                add_header, &bytes);
  hold (request, CONNECTION_BYTES);
  if (!hold (request, bytes))
    hang_up (request);
}

static void
add_header (const char *name, const char *value, gpointer user)
{
  /* The bytes are kept twice, as they arrived and parsed. */
  *(gsize *)user += 2 * (strlen (name) + strlen (value)) + HEADER_BYTES;
}

static void
on_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer user)
{
  Request *request = user;
  gsize bytes = g_bytes_get_size (chunk);

  request->received += bytes;
  if (request->cut)
    {
      if (request->received > request->guard->body_max + DROPPED_MAX_BYTES)
        hang_up (request);
      return;
    }
  if (request->received > request->guard->body_max)
    drop_body (request);
  else if (!hold (request, request->held + bytes + PIECE_BYTES))
    {
      drop_body (request);
      hang_up (request);
    }
}

static void
on_body (SoupServerMessage *msg, gpointer user)
{
  leave_queue (user);
}

static void
drop_body (Request *request)
{
  SoupMessageBody *body = soup_server_message_get_request_body (request->msg);

  request->cut = TRUE;
  soup_message_body_set_accumulate (body, FALSE);
  soup_message_body_truncate (body);
  hold (request, MIN (request->held, CONNECTION_BYTES));
}

static void
leave_queue (Request *request)
{
  if (request->link == NULL)
    return;
  g_queue_delete_link (&incomplete, request->link);
  request->link = NULL;
}

/* libsoup then finds the end of the connection. */
static void
hang_up (Request *request)
{
  GSocket *socket = qg_httpaccept_socket (request->msg);

  request->cut = TRUE;
  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static gboolean
on_sweep (gpointer user)
{
  QgTime now = qg_clock_now ();
  Request *oldest;

  while ((oldest = g_queue_peek_head (&incomplete)) != NULL
         && now - oldest->began > QG_HTTPGUARD_READ_TIME)
    {
      drop_body (oldest);
      leave_queue (oldest);
      hang_up (oldest);
    }
  return G_SOURCE_CONTINUE;
}
