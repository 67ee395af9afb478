#include "daemon/peer.h"
#include "lib/event.h"

#include <functional>
#include <gio/gio.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace
{

// A peer hub on loopback that records the calls to its callbacks.
struct Node
{
  QgPeerHub *hub;
  std::vector<QgPeer *> up;
  int downs = 0;
  std::vector<guint64> pulls;

  Node (const char *name, const std::string &key)
  {
    static const QgPeerOps ops = { on_up, on_down, on_message };
    GBytes *bytes = g_bytes_new (key.data (), key.size ());
    QgPeerOptions options = {};
    options.role = QG__ROLE__ROLE_ENTRY;
    options.name = name;
    options.dc = "dc-a";
    options.region = "west";
    options.incarnation = 1;
    options.fleet_key = bytes;
    options.ops = &ops;
    options.user = this;
    hub = qg_peer_hub_new (&options);
    g_bytes_unref (bytes);
  }
  ~Node () { qg_peer_hub_free (hub); }

  std::string
  listen ()
  {
    for (int port = 21500; port < 21700; port++)
      {
        std::string address = "127.0.0.1:" + std::to_string (port);
        if (qg_peer_hub_listen (hub, address.c_str (), nullptr) == QG_OK)
          return address;
      }
    return "";
  }
  static void
  on_up (gpointer user, QgPeer *peer)
  {
    static_cast<Node *> (user)->up.push_back (peer);
  }
  static void
  on_down (gpointer user, QgPeer *peer)
  {
    Node *node = static_cast<Node *> (user);
    node->downs++;
    node->up.erase (std::remove (node->up.begin (), node->up.end (), peer),
                    node->up.end ());
  }
  static void
  on_message (gpointer user, QgPeer *, const Qg__PeerMsg *msg)
  {
    if (msg->kind_case == QG__PEER_MSG__KIND_PULL)
      static_cast<Node *> (user)->pulls.push_back (msg->pull->pull_id);
  }
};

gboolean
on_timeout (gpointer user)
{
  *static_cast<bool *> (user) = true;
  return G_SOURCE_REMOVE;
}

// Runs the main context until the condition holds or the time limit passes.
bool
run_until (const std::function<bool ()> &condition, guint limit_ms = 10000)
{
  bool timed_out = false;
  guint timer = g_timeout_add (limit_ms, on_timeout, &timed_out);
  while (!timed_out && !condition ())
    g_main_context_iteration (nullptr, TRUE);
  if (!timed_out)
    g_source_remove (timer);
  return condition ();
}

GSocketConnection *
raw_connection (const std::string &address)
{
  GSocketClient *client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (
      client, address.c_str (), 0, nullptr, nullptr);
  g_object_unref (client);
  return connection;
}

void
write_raw (GSocketConnection *connection, const std::string &bytes)
{
  g_output_stream_write_all (
      g_io_stream_get_output_stream (G_IO_STREAM (connection)), bytes.data (),
      bytes.size (), nullptr, nullptr, nullptr);
}

// Passes one connection on to an address, in both directions at a limited rate.
struct SlowLink
{
  static constexpr guint STEP_MS = 10;
  static constexpr gsize BYTES_PER_STEP = 15000; // 1.5 MB/s
  GSocketListener *listener = g_socket_listener_new ();
  guint16 port
      = g_socket_listener_add_any_inet_port (listener, nullptr, nullptr);
  std::string target;
  std::vector<GSocketConnection *> ends;
  guint timer = g_timeout_add (STEP_MS, on_step, this);

  explicit SlowLink (const std::string &to) : target (to)
  {
    g_socket_listener_accept_async (listener, nullptr, on_accepted, this);
  }
  ~SlowLink ()
  {
    g_source_remove (timer);
    g_socket_listener_close (listener);
    g_object_unref (listener);
    for (GSocketConnection *end : ends)
      g_object_unref (end);
  }
  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port);
  }
  static void
  on_accepted (GObject *source, GAsyncResult *result, gpointer user)
  {
    SlowLink *link = static_cast<SlowLink *> (user);
    GSocketConnection *end = g_socket_listener_accept_finish (
        G_SOCKET_LISTENER (source), result, nullptr, nullptr);
    if (end != nullptr)
      link->ends = { end, raw_connection (link->target) };
  }
  static gboolean
  on_step (gpointer user)
  {
    SlowLink *link = static_cast<SlowLink *> (user);
    for (gsize i = 0; i < link->ends.size (); i++)
      copy (link->ends[i], link->ends[1 - i]);
    return G_SOURCE_CONTINUE;
  }
  static void
  copy (GSocketConnection *from, GSocketConnection *to)
  {
    std::string bytes (BYTES_PER_STEP, 0);
    gssize n = g_socket_receive_with_blocking (
        g_socket_connection_get_socket (from), bytes.data (), bytes.size (),
        FALSE, nullptr, nullptr);
    if (n > 0)
      write_raw (to, bytes.substr (0, (gsize)n));
  }
};

}

TEST (Peer, MessagesArriveInOrderAfterTheHandshake)
{
  Node server ("entry-1", "secret"), client ("agent-1", "secret");
  QgPeer *peer = qg_peer_hub_dial (client.hub, server.listen ().c_str ());
  ASSERT_TRUE (run_until ([&] { return !client.up.empty (); }));
  for (guint64 i = 1; i <= 1000; i++)
    {
      Qg__Pull pull = QG__PULL__INIT;
      pull.pull_id = i;
      EXPECT_TRUE (QG_SEND (peer, PULL, pull, &pull));
    }
  ASSERT_TRUE (run_until ([&] { return server.pulls.size () == 1000; }));
  for (guint64 i = 1; i <= 1000; i++)
    EXPECT_EQ (server.pulls[i - 1], i);
  EXPECT_STREQ (qg_peer_hello (server.up[0])->name, "agent-1");
}

TEST (Peer, AWrongFleetKeyIsRefused)
{
  Node server ("entry-1", "secret"), client ("agent-1", "other");
  guint64 before = qg_event_count (QG_EV_PEER_REFUSED);
  qg_peer_hub_dial (client.hub, server.listen ().c_str ());
  run_until ([&] { return qg_event_count (QG_EV_PEER_REFUSED) > before + 2; });
  EXPECT_TRUE (server.up.empty ());
  EXPECT_TRUE (client.up.empty ());
  EXPECT_GT (qg_event_count (QG_EV_PEER_REFUSED), before);
}

TEST (Peer, ADialledPeerReconnectsAfterALostConnection)
{
  Node server ("entry-1", "secret"), client ("agent-1", "secret");
  qg_peer_hub_dial (client.hub, server.listen ().c_str ());
  ASSERT_TRUE (run_until ([&] { return !server.up.empty (); }));
  qg_peer_close (server.up[0]);
  ASSERT_TRUE (run_until ([&] { return client.downs == 1; }));
  EXPECT_TRUE (
      run_until ([&] { return !server.up.empty () && !client.up.empty (); }));
}

TEST (Peer, InvalidBytesBeforeTheProofAreRejected)
{
  Node server ("entry-1", "secret");
  std::string address = server.listen ();
  const std::string inputs[] = {
    std::string ("\xff\xff\xff\xff garbage", 12), // a frame of 4 GiB
    std::string ("\0\0\0\4\xff\xff\xff\xff", 8),  // an invalid message
    std::string ("\0\0\0\0", 4),                  // a frame of length 0
    std::string ("GET / HTTP/1.1\r\n\r\n"),       // another protocol
  };
  for (const std::string &input : inputs)
    {
      GSocketConnection *raw = raw_connection (address);
      guint64 before = qg_event_count (QG_EV_PEER_BAD_FRAME)
                       + qg_event_count (QG_EV_PEER_REFUSED);
      ASSERT_NE (raw, nullptr);
      write_raw (raw, input);
      EXPECT_TRUE (run_until ([&] {
        return qg_event_count (QG_EV_PEER_BAD_FRAME)
                   + qg_event_count (QG_EV_PEER_REFUSED)
               > before;
      }));
      g_object_unref (raw);
    }
  EXPECT_TRUE (server.up.empty ());
}

// What the peer sent while this process did not run is read before its silence
// counts.
TEST (Peer, APauseOfThisProcessEndsNoConnection)
{
  Node server ("entry-1", "secret"), client ("agent-1", "secret");
  qg_peer_hub_dial (client.hub, server.listen ().c_str ());
  ASSERT_TRUE (
      run_until ([&] { return !client.up.empty () && !server.up.empty (); }));
  g_usleep (2 * G_USEC_PER_SEC);
  run_until ([&] { return client.downs + server.downs > 0; }, 1000);
  EXPECT_EQ (client.downs, 0);
  EXPECT_EQ (server.downs, 0);
}

// While a long message passes slowly, its sender gets no other bytes.
TEST (Peer, ALongMessageOverASlowLinkEndsNoConnection)
{
  Node server ("control-1", "secret"), client ("relay-1", "secret");
  SlowLink link (server.listen ());
  qg_peer_hub_dial (client.hub, link.address ().c_str ());
  ASSERT_TRUE (run_until ([&] { return server.up.size () == 1; }));
  Qg__ManifestUpdate update = QG__MANIFEST_UPDATE__INIT;
  std::vector<guint8> text (6 << 20);
  update.text.data = text.data ();
  update.text.len = text.size ();
  QG_SEND (server.up[0], MANIFEST_UPDATE, manifest_update, &update);
  Qg__Pull pull = QG__PULL__INIT;
  pull.pull_id = 1;
  QG_SEND (server.up[0], PULL, pull, &pull);
  run_until ([&] { return !client.pulls.empty () || server.downs > 0; });
  EXPECT_EQ (client.pulls.size (), 1U);
  EXPECT_EQ (server.downs, 0);
  EXPECT_EQ (client.downs, 0);
}
