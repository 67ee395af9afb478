#include "httpaccept.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#define ACCEPTOR_KEY "qg-httpaccept"
#define SOCKET_KEY   "qg-httpaccept-socket"
#define REQUESTS_KEY "qg-httpaccept-requests"

enum
{
  /** Each request of a connection reads through the streams of those before. */
  REQUESTS_MAX = 100,
};

/** Belongs to its server. */
typedef struct
{
  SoupServer *server;
  GSocket *socket;
  GSource *listening;
  GHashTable *idle; /* set of Idle, owned */
} Acceptor;

/** A connection between two requests. */
typedef struct
{
  Acceptor *acceptor;
  GIOStream *stream;
  GSocketAddress *local;
  GSocketAddress *remote;
  GSource *readable;
} Idle;

static gboolean on_connection (GSocket *listening, GIOCondition condition,
                               gpointer user);
static void serve (SoupServer *server, GIOStream *stream, GSocketAddress *local,
                   GSocketAddress *remote);
static void on_request_started (SoupServer *server, SoupServerMessage *msg,
                                gpointer user);
static guint count_requests (GSocketAddress *remote);
static void on_answered (SoupServerMessage *msg, gpointer user);
static gboolean stays_open (SoupServerMessage *msg);
static gboolean on_readable (GObject *input, gpointer user);
static void idle_free (gpointer data);
static void acceptor_free (gpointer data);

void
qg_httpaccept_start (SoupServer *server, GSocket *socket)
{
  Acceptor *acceptor = g_new0 (Acceptor, 1);

  acceptor->server = server;
  acceptor->socket = g_object_ref (socket);
  acceptor->idle = g_hash_table_new_full (NULL, NULL, idle_free, NULL);
  acceptor->listening = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (acceptor->listening, G_SOURCE_FUNC (on_connection),
                         acceptor, NULL);
  g_source_attach (acceptor->listening, NULL);
  g_signal_connect (server, "request-started", G_CALLBACK (on_request_started),
                    acceptor);
  g_object_set_data_full (G_OBJECT (server), ACCEPTOR_KEY, acceptor,
                          acceptor_free);
}

guint
qg_httpaccept_port (SoupServer *server)
{
  const Acceptor *acceptor
      = g_object_get_data (G_OBJECT (server), ACCEPTOR_KEY);
  GSocketAddress *address = g_socket_get_local_address (acceptor->socket, NULL);
  guint port;

  if (address == NULL)
    return 0;
  port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
  g_object_unref (address);
  return port;
}

GSocket *
qg_httpaccept_socket (SoupServerMessage *msg)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (msg);

  return remote != NULL ? g_object_get_data (G_OBJECT (remote), SOCKET_KEY)
                        : NULL;
}

/* A client that has gone again by now is no error. */
static gboolean
on_connection (GSocket *listening, GIOCondition condition, gpointer user)
{
  Acceptor *acceptor = user;
  GSocket *socket = g_socket_accept (listening, NULL, NULL);
  GSocketAddress *local;
  GSocketAddress *remote;
  GSocketConnection *connection;

  if (socket == NULL)
    return G_SOURCE_CONTINUE;
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  local = g_socket_get_local_address (socket, NULL);
  remote = g_socket_get_remote_address (socket, NULL);
  connection = g_socket_connection_factory_create_connection (socket);
  if (local != NULL && remote != NULL)
    {
      g_object_set_data_full (G_OBJECT (remote), SOCKET_KEY,
                              g_object_ref (socket), g_object_unref);
      serve (acceptor->server, G_IO_STREAM (connection), local, remote);
    }
  g_object_unref (connection);
  g_clear_object (&remote);
  g_clear_object (&local);
  g_object_unref (socket);
  return G_SOURCE_CONTINUE;
}

static void
serve (SoupServer *server, GIOStream *stream, GSocketAddress *local,
       GSocketAddress *remote)
{
  GError *error = NULL;

  if (soup_server_accept_iostream (server, stream, local, remote, &error))
    return;
  g_warning ("a connection is closed: %s", error->message);
  g_error_free (error);
}

static void
on_request_started (SoupServer *server, SoupServerMessage *msg, gpointer user)
{
  if (count_requests (soup_server_message_get_remote_address (msg))
      == REQUESTS_MAX)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (msg), "Connection", "close");
  g_signal_connect_after (msg, "wrote-body", G_CALLBACK (on_answered), user);
}

static guint
count_requests (GSocketAddress *remote)
{
  guint n
      = GPOINTER_TO_UINT (g_object_get_data (G_OBJECT (remote), REQUESTS_KEY))
        + 1;

  g_object_set_data (G_OBJECT (remote), REQUESTS_KEY, GUINT_TO_POINTER (n));
  return n;
}

/* The stream holds what libsoup has read of the next request. */
static void
on_answered (SoupServerMessage *msg, gpointer user)
{
  Acceptor *acceptor = user;
  GIOStream *stream;
  GInputStream *input;
  Idle *idle;

  if (!stays_open (msg))
    return;
  idle = g_new0 (Idle, 1);
  idle->acceptor = acceptor;
  idle->local = g_object_ref (soup_server_message_get_local_address (msg));
  idle->remote = g_object_ref (soup_server_message_get_remote_address (msg));
  stream = soup_server_message_steal_connection (msg);
  idle->stream = stream;
  input = g_io_stream_get_input_stream (stream);
  idle->readable = g_pollable_input_stream_create_source (
      G_POLLABLE_INPUT_STREAM (input), NULL);
  g_source_set_callback (idle->readable, G_SOURCE_FUNC (on_readable), idle,
                         NULL);
  g_source_attach (idle->readable, NULL);
  g_hash_table_insert (acceptor->idle, idle, idle);
}

static gboolean
stays_open (SoupServerMessage *msg)
{
  return soup_server_message_get_remote_address (msg) != NULL
         && soup_server_message_get_local_address (msg) != NULL
         && soup_server_message_get_http_version (msg) == SOUP_HTTP_1_1
         && !soup_message_headers_header_contains (
             soup_server_message_get_request_headers (msg), "Connection",
             "close")
         && !soup_message_headers_header_contains (
             soup_server_message_get_response_headers (msg), "Connection",
             "close");
}

/* A request, or the end of the connection: libsoup notices that, too, before
 * the first byte of a request. */
static gboolean
on_readable (GObject *input, gpointer user)
{
  Idle *idle = user;

  serve (idle->acceptor->server, idle->stream, idle->local, idle->remote);
  g_hash_table_remove (idle->acceptor->idle, idle);
  return G_SOURCE_REMOVE;
}

static void
idle_free (gpointer data)
{
  Idle *idle = data;

  g_source_destroy (idle->readable);
  g_source_unref (idle->readable);
  g_object_unref (idle->stream);
  g_object_unref (idle->local);
  g_object_unref (idle->remote);
  g_free (idle);
}

static void
acceptor_free (gpointer data)
{
  Acceptor *acceptor = data;

  g_source_destroy (acceptor->listening);
  g_source_unref (acceptor->listening);
  g_object_unref (acceptor->socket);
  g_hash_table_unref (acceptor->idle);
  g_free (acceptor);
}
