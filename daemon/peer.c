#include "libpeer.h"

#include "http.h"
#include "lib/event.h"

enum
{
  CHECK_MS = 200,
  PING_AFTER_MS = 400, /* of silence in either direction */
  HANDSHAKE_LIMIT_MAX_MS = 4000,
  CONNECT_TIMEOUT_S = 2,
  RECONNECT_MAX_MS = 1000,
  LISTEN_BACKLOG = 512,
};

static gboolean on_incoming (GSocketService *service,
                             GSocketConnection *connection, GObject *source,
                             gpointer user);
static void accept_peer (QgPeerHub *hub, GSocketConnection *connection);
static QgPeer *peer_new (QgPeerHub *hub);
static void peer_clear (gpointer data);
static void peer_attach (QgPeer *peer, GSocketConnection *connection);
static void peer_release (QgPeer *peer);
static void connect_start (QgPeer *peer);
static void on_connected (GObject *source, GAsyncResult *result, gpointer user);
static void schedule_reconnect (QgPeer *peer);
static gboolean on_reconnect (gpointer user);
static gboolean on_check (gpointer user);
static void check_peer (QgPeer *peer, gint64 now);

QgPeerHub *
qg_peer_hub_new (const QgPeerOptions *options)
{
  QgPeerHub *hub = g_new0 (QgPeerHub, 1);

  hub->options = *options;
  hub->options.name = g_strdup (options->name);
  hub->options.dc = g_strdup (options->dc);
  hub->options.region = g_strdup (options->region);
  hub->options.service = g_strdup (options->service);
  hub->options.address = g_strdup (options->address);
  hub->options.fleet_key = g_bytes_ref (options->fleet_key);
  hub->peers = g_ptr_array_new ();
  qg_peer_poll_open (hub);
  hub->checked_ms = qg_peer_now_ms ();
  hub->check_timer = g_timeout_add (CHECK_MS, on_check, hub);
  return hub;
}

void
qg_peer_hub_disable_callbacks (QgPeerHub *hub)
{
  static const QgPeerOps no_ops = { 0 };

  hub->options.ops = &no_ops;
}

void
qg_peer_hub_free (QgPeerHub *hub)
{
  qg_peer_hub_disable_callbacks (hub);
  g_source_remove (hub->check_timer);
  if (hub->service != NULL)
    {
      g_socket_service_stop (hub->service);
      g_socket_listener_close (G_SOCKET_LISTENER (hub->service));
      g_object_unref (hub->service);
    }
  while (hub->peers->len > 0)
    qg_peer_hub_remove (hub, g_ptr_array_index (hub->peers, 0));
  g_ptr_array_free (hub->peers, TRUE);
  qg_peer_poll_close (hub);
  g_free ((char *)hub->options.name);
  g_free ((char *)hub->options.dc);
  g_free ((char *)hub->options.region);
  g_free ((char *)hub->options.service);
  g_free ((char *)hub->options.address);
  g_bytes_unref (hub->options.fleet_key);
  g_free (hub);
}

QgStatus
qg_peer_hub_listen (QgPeerHub *hub, const char *address, QgErr *err)
{
  GSocketAddress *inet = qg_http_parse_address (address);
  GError *error = NULL;

  if (inet == NULL)
    return qg_fail (err, QG_E_INVALID, "peer address \"%s\" is not ip:port",
                    address);
  hub->service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (hub->service),
                                 LISTEN_BACKLOG);
  g_signal_connect (hub->service, "incoming", G_CALLBACK (on_incoming), hub);
  if (!g_socket_listener_add_address (
          G_SOCKET_LISTENER (hub->service), inet, G_SOCKET_TYPE_STREAM,
          G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error))
    {
      qg_fail (err, QG_E_IO, "cannot listen for peers at %s: %s", address,
               error->message);
      g_error_free (error);
      g_object_unref (inet);
      return QG_E_IO;
    }
  g_object_unref (inet);
  g_socket_service_start (hub->service);
  return QG_OK;
}

QgPeer *
qg_peer_hub_dial (QgPeerHub *hub, const char *address)
{
  GSocketAddress *inet = qg_http_parse_address (address);
  QgPeer *peer;

  if (inet == NULL)
    return NULL;
  peer = peer_new (hub);
  peer->dialled = TRUE;
  peer->address = inet;
  connect_start (peer);
  return peer;
}

void
qg_peer_hub_remove (QgPeerHub *hub, QgPeer *peer)
{
  peer->dialled = FALSE;
  if (peer->reconnect_timer != 0)
    g_source_remove (peer->reconnect_timer);
  peer->reconnect_timer = 0;
  if (peer->dialling != NULL)
    g_cancellable_cancel (peer->dialling);
  qg_peer_ref (peer);
  qg_peer_drop (peer, "it is no longer needed");
  if (peer->hub != NULL)
    peer_release (peer);
  qg_peer_unref (peer);
}

const QgPeerTraffic *
qg_peer_hub_traffic (const QgPeerHub *hub)
{
  return &hub->traffic;
}

QgPeer *
qg_peer_ref (QgPeer *peer)
{
  return g_rc_box_acquire (peer);
}

void
qg_peer_unref (QgPeer *peer)
{
  g_rc_box_release_full (peer, peer_clear);
}

static void
peer_clear (gpointer data)
{
  QgPeer *peer = data;

  g_clear_object (&peer->address);
  g_clear_object (&peer->dialling);
  g_byte_array_unref (peer->in);
  g_byte_array_unref (peer->out);
}

gboolean
qg_peer_is_up (const QgPeer *peer)
{
  return peer->state == QG_PEER_UP;
}

const Qg__Hello *
qg_peer_hello (const QgPeer *peer)
{
  return peer->hello;
}

gboolean
qg_peer_send (QgPeer *peer, const Qg__PeerMsg *msg)
{
  if (peer->state != QG_PEER_UP)
    return FALSE;
  qg_peer_queue (peer, msg);
  return TRUE;
}

guint64
qg_peer_received (const QgPeer *peer)
{
  return peer->received;
}

gsize
qg_peer_unsent (const QgPeer *peer)
{
  return peer->out->len - peer->out_sent;
}

void
qg_peer_close (QgPeer *peer)
{
  qg_peer_drop (peer, "this process closed it");
}

void
qg_peer_set_data (QgPeer *peer, gpointer data)
{
  peer->data = data;
}

gpointer
qg_peer_get_data (const QgPeer *peer)
{
  return peer->data;
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection,
             GObject *source, gpointer user)
{
  accept_peer (user, connection);
  return TRUE;
}

static void
accept_peer (QgPeerHub *hub, GSocketConnection *connection)
{
  QgPeer *peer = peer_new (hub);

  peer_attach (peer, connection);
}

static QgPeer *
peer_new (QgPeerHub *hub)
{
  QgPeer *peer = g_rc_box_new0 (QgPeer);

  peer->hub = hub;
  peer->reconnect_ms = QG_PEER_RECONNECT_MIN_MS;
  peer->handshake_limit_ms = QG_PEER_SILENCE_LIMIT_MS;
  peer->in = g_byte_array_new ();
  peer->out = g_byte_array_new ();
  g_ptr_array_add (hub->peers, peer);
  return peer;
}

static void
peer_attach (QgPeer *peer, GSocketConnection *connection)
{
  peer->connection = g_object_ref (connection);
  peer->socket = g_socket_connection_get_socket (connection);
  g_socket_set_blocking (peer->socket, FALSE);
  g_socket_set_option (peer->socket, 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */,
                       1, NULL);
  qg_peer_poll_add (peer);
  peer->state = QG_PEER_HELLO;
  peer->last_received_ms = qg_peer_now_ms ();
  qg_peer_send_hello (peer);
}

void
qg_peer_drop (QgPeer *peer, const char *why)
{
  gboolean was_up = peer->state == QG_PEER_UP;

  if (peer->connection == NULL)
    return;
  peer->state = QG_PEER_IDLE;
  qg_peer_ref (peer);
  qg_peer_poll_remove (peer);
  g_socket_close (peer->socket, NULL);
  g_clear_object (&peer->connection);
  peer->socket = NULL;
  g_byte_array_set_size (peer->in, 0);
  g_byte_array_set_size (peer->out, 0);
  peer->out_sent = 0;
  if (was_up && peer->hub->options.ops->down != NULL)
    {
      qg_event (QG_EV_PEER_DOWN, "peer %s: %s", peer->hello->name, why);
      peer->hub->options.ops->down (peer->hub->options.user, peer);
    }
  if (peer->hello != NULL)
    qg__hello__free_unpacked (peer->hello, NULL);
  peer->hello = NULL;
  g_clear_pointer (&peer->hello_sent, g_bytes_unref);
  g_clear_pointer (&peer->hello_received, g_bytes_unref);
  if (peer->hub != NULL && peer->dialled)
    schedule_reconnect (peer);
  else if (peer->hub != NULL)
    peer_release (peer);
  qg_peer_unref (peer);
}

static void
peer_release (QgPeer *peer)
{
  g_ptr_array_remove_fast (peer->hub->peers, peer);
  peer->hub = NULL;
  qg_peer_unref (peer);
}

static void
connect_start (QgPeer *peer)
{
  GSocketClient *client = g_socket_client_new ();

  g_socket_client_set_enable_proxy (client, FALSE);
  g_socket_client_set_timeout (client, CONNECT_TIMEOUT_S);
  g_clear_object (&peer->dialling);
  peer->dialling = g_cancellable_new ();
  g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (peer->address),
                                 peer->dialling, on_connected,
                                 qg_peer_ref (peer));
  g_object_unref (client);
}

static void
on_connected (GObject *source, GAsyncResult *result, gpointer user)
{
  QgPeer *peer = user;
  GSocketConnection *connection;

  connection
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (connection != NULL && peer->hub != NULL && peer->dialled)
    {
      g_socket_set_timeout (g_socket_connection_get_socket (connection), 0);
      peer_attach (peer, connection);
    }
  else if (peer->hub != NULL && peer->dialled)
    schedule_reconnect (peer);
  g_clear_object (&connection);
  qg_peer_unref (peer);
}

static void
schedule_reconnect (QgPeer *peer)
{
  if (peer->reconnect_timer != 0)
    return;
  peer->reconnect_timer
      = g_timeout_add (peer->reconnect_ms, on_reconnect, peer);
  peer->reconnect_ms = MIN (2 * peer->reconnect_ms, RECONNECT_MAX_MS);
}

static gboolean
on_reconnect (gpointer user)
{
  QgPeer *peer = user;

  peer->reconnect_timer = 0;
  connect_start (peer);
  return G_SOURCE_REMOVE;
}

/* Time in which this process did not run, or its VM was suspended, is no
 * silence of the peers: what they sent meanwhile has not been read yet. */
static gboolean
on_check (gpointer user)
{
  QgPeerHub *hub = user;
  gint64 now = qg_peer_now_ms ();
  gint64 paused = now - hub->checked_ms - 2 * CHECK_MS;
  GPtrArray *copy = g_ptr_array_new ();

  hub->checked_ms = now;
  for (guint i = 0; i < hub->peers->len; i++)
    g_ptr_array_add (copy, qg_peer_ref (g_ptr_array_index (hub->peers, i)));
  for (guint i = 0; i < copy->len; i++)
    {
      QgPeer *peer = g_ptr_array_index (copy, i);

      if (paused > 0)
        peer->last_received_ms = MIN (peer->last_received_ms + paused, now);
      check_peer (peer, now);
      qg_peer_unref (peer);
    }
  g_ptr_array_free (copy, TRUE);
  return G_SOURCE_CONTINUE;
}

static void
check_peer (QgPeer *peer, gint64 now)
{
  Qg__Ping ping = QG__PING__INIT;
  gint64 silence = now - peer->last_received_ms;

  if (peer->connection == NULL)
    return;
  if (peer->state != QG_PEER_UP)
    {
      if (silence <= peer->handshake_limit_ms)
        return;
      /* A process that is stopped accepts connections and does not answer, so
       * the next one gets more time. */
      peer->handshake_limit_ms
          = MIN (2 * peer->handshake_limit_ms, HANDSHAKE_LIMIT_MAX_MS);
      qg_peer_drop (peer, "no handshake");
    }
  else if (silence > QG_PEER_SILENCE_LIMIT_MS)
    qg_peer_drop (peer, "it fell silent");
  /* Ping and Pong both count as received data, so one exchange serves both
   * sides. Who only receives sends a Ping too: answers of this process would
   * come no earlier than the long message that it reads. */
  else if (silence >= PING_AFTER_MS
           || now - peer->last_sent_ms >= PING_AFTER_MS)
    QG_SEND (peer, PING, ping, &ping);
}

gint64
qg_peer_now_ms (void)
{
  return qg_clock_now () / 1000;
}
