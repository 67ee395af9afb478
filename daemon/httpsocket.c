#include "httpsocket.h"

#define DROPPED_KEY      "qg-httpsocket-dropped"
#define TRIAL_TIMEOUT_MS 1000

/** Both pointers become NULL when the object is freed. */
typedef struct
{
  SoupServerMessage *msg;
  GSocket *socket;
  gboolean started;
  gboolean timed_out;
} Trial;

static gboolean try_connection (GMainContext *context);
static GSocket *connect_to (SoupServer *server);
static void on_trial_started (SoupServer *server, SoupServerMessage *msg,
                              gpointer user);
static gboolean on_trial_timeout (gpointer user);

void
qg_httpsocket_drop_kept (SoupServerMessage *msg)
{
  GSocket *socket = soup_server_message_get_socket (msg);

  if (socket == NULL || !qg_httpsocket_is_kept ()
      || g_object_get_data (G_OBJECT (socket), DROPPED_KEY) != NULL)
    return;
  g_object_set_data (G_OBJECT (socket), DROPPED_KEY, socket);
  g_object_unref (socket);
}

gboolean
qg_httpsocket_is_kept (void)
{
  static gboolean tried;
  static gboolean kept;
  GMainContext *context;

  if (tried)
    return kept;
  tried = TRUE;
  context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  kept = try_connection (context);
  g_main_context_pop_thread_default (context);
  g_main_context_unref (context);
  return kept;
}

static gboolean
try_connection (GMainContext *context)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  GSource *timeout = g_timeout_source_new (TRIAL_TIMEOUT_MS);
  Trial trial = { 0 };
  GSocket *client;
  gboolean kept;

  g_signal_connect (server, "request-started", G_CALLBACK (on_trial_started),
                    &trial);
  g_source_set_callback (timeout, on_trial_timeout, &trial, NULL);
  g_source_attach (timeout, context);
  client = connect_to (server);
  while (client != NULL && !trial.started && !trial.timed_out)
    g_main_context_iteration (context, TRUE);
  g_clear_object (&client);
  while (trial.msg != NULL && !trial.timed_out)
    g_main_context_iteration (context, TRUE);
  soup_server_disconnect (server);
  while (g_main_context_iteration (context, FALSE))
    ;
  kept = trial.msg == NULL && trial.socket != NULL;
  g_clear_weak_pointer (&trial.msg);
  g_clear_weak_pointer (&trial.socket);
  g_source_destroy (timeout);
  g_source_unref (timeout);
  g_object_unref (server);
  return kept;
}

/* The connection waits in the backlog until the server accepts it. */
static GSocket *
connect_to (SoupServer *server)
{
  GSocket *client = NULL;
  GSList *uris = NULL;
  GSocketAddress *address;

  if (soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
    uris = soup_server_get_uris (server);
  if (uris != NULL)
    {
      address = g_inet_socket_address_new_from_string (
          g_uri_get_host (uris->data), (guint)g_uri_get_port (uris->data));
      client = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);
      if (client != NULL && !g_socket_connect (client, address, NULL, NULL))
        g_clear_object (&client);
      g_object_unref (address);
    }
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return client;
}

static void
on_trial_started (SoupServer *server, SoupServerMessage *msg, gpointer user)
{
  Trial *trial = user;

  trial->started = TRUE;
  g_set_weak_pointer (&trial->msg, msg);
  g_set_weak_pointer (&trial->socket, soup_server_message_get_socket (msg));
}

static gboolean
on_trial_timeout (gpointer user)
{
  Trial *trial = user;

  trial->timed_out = TRUE;
  return G_SOURCE_REMOVE;
}
