#include "daemon/librelay.h"
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

/* Tests the connections of callers: timeouts, eviction, and events that fall
 * into the same iteration of the event loop as a shutdown. */

namespace
{

class RelayCallers : public testing::Test
{
protected:
  QgRelay relay = {};
  QgBoard board = {};
  QgSettings settings = {};
  QgH1Listener *listener = nullptr;
  int fd = -1;

  void
  SetUp () override
  {
    sockaddr_in name = {};
    socklen_t len = sizeof name;
    int probe = socket (AF_INET, SOCK_STREAM, 0);
    QgErr err;

    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    ASSERT_EQ (bind (probe, reinterpret_cast<sockaddr *> (&name), len), 0);
    getsockname (probe, reinterpret_cast<sockaddr *> (&name), &len);
    close (probe);
    relay.board = &board;
    relay.settings = &settings;
    relay.dialect = qg_platform_dialect ();
    settings.relay.max_files = 20;
    relay.loop = qg_h1_loop_new ();
    std::string address = "127.0.0.1:" + std::to_string (ntohs (name.sin_port));
    listener = qg_h1_listen (relay.loop, address.c_str (), relay_caller_accept,
                             &relay, &err);
    ASSERT_NE (listener, nullptr) << err.message;
    fd = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&name), sizeof name),
               0);
    iterate ();
    ASSERT_EQ (relay.callers.length, 1u);
  }

  void
  TearDown () override
  {
    close (fd);
    iterate ();
    while (relay.callers.head != nullptr)
      relay_caller_close (
          static_cast<RelayCaller *> (relay.callers.head->data));
    qg_h1_listener_free (listener);
    qg_h1_loop_free (relay.loop);
  }

  static void
  iterate ()
  {
    for (int i = 0; i < 20; i++)
      {
        g_main_context_iteration (nullptr, FALSE);
        g_usleep (500);
      }
  }
};

} // namespace

/* A draining relay closes idle connections, but must still send the last piece
 * of an answer that was queued in the same iteration of the event loop. */
TEST_F (RelayCallers, SweepSendsTheEndOfAnAnswer)
{
  RelayCaller *caller = static_cast<RelayCaller *> (relay.callers.head->data);
  QgTime now = qg_clock_now ();
  char received[64] = "";

  relay.draining = TRUE;
  relay.drain_began = now - 10 * QG_SEC;
  qg_h1_printf (caller->conn, "the end");
  relay_callers_sweep (&relay, now);
  EXPECT_EQ (relay.callers.length, 0u);
  EXPECT_EQ (qg_h1_loop_closing (relay.loop), 1u);
  iterate ();
  ASSERT_EQ (recv (fd, received, sizeof received, MSG_DONTWAIT), 7);
  EXPECT_STREQ (received, "the end");
}

/* Load: refused callers open hundreds of new connections a second and leave
 * their old connections open for 15 s. */
TEST_F (RelayCallers, LongestIdleAreEvictedBeyondTheLimit)
{
  std::vector<int> connections;
  sockaddr_in name = {};
  socklen_t len = sizeof name;

  ASSERT_EQ (getpeername (fd, reinterpret_cast<sockaddr *> (&name), &len), 0);
  for (int i = 0; i < 30; i++)
    {
      int other = socket (AF_INET, SOCK_STREAM, 0);
      ASSERT_EQ (
          connect (other, reinterpret_cast<sockaddr *> (&name), sizeof name),
          0);
      connections.push_back (other);
      if (i == 4)
        g_usleep ((RELAY_EVICT_IDLE_MS + 50) * 1000);
      iterate ();
    }
  /* The first connection was idle for RELAY_EVICT_IDLE_MS and was evicted. */
  EXPECT_LT (relay.callers.length, 31u);
  char byte;
  EXPECT_EQ (recv (fd, &byte, 1, MSG_DONTWAIT), 0);
  EXPECT_TRUE (relay_callers_near_limit (&relay));
  for (int other : connections)
    close (other);
}

TEST_F (RelayCallers, ClosesIdleConnection)
{
  QgTime now = qg_clock_now ();

  relay_callers_sweep (&relay, now + QG_SEC);
  EXPECT_EQ (relay.callers.length, 1u);
  relay_callers_sweep (&relay, now + (RELAY_DEFAULT_IDLE_MS + 1000) * QG_MSEC);
  EXPECT_EQ (relay.callers.length, 0u);
}

/* A caller that sends a request head too slowly is disconnected. The time limit
 * starts with the head, even on a connection that was idle for long. */
TEST_F (RelayCallers, ClosesConnectionWithIncompleteHead)
{
  QgTime now = qg_clock_now () + 10 * QG_SEC;

  ASSERT_EQ (send (fd, "GET / HT", 8, MSG_NOSIGNAL), 8);
  iterate ();
  relay_callers_sweep (&relay, now);
  EXPECT_EQ (relay.callers.length, 1u);
  relay_callers_sweep (&relay, now + (RELAY_DEFAULT_HEADER_MS - 500) * QG_MSEC);
  EXPECT_EQ (relay.callers.length, 1u);
  relay_callers_sweep (&relay, now + (RELAY_DEFAULT_HEADER_MS + 500) * QG_MSEC);
  EXPECT_EQ (relay.callers.length, 0u);
}

/* On an overloaded VM, a request may wait unread in the socket's buffer while a
 * draining relay closes idle connections. The request's connection must stay
 * open. */
TEST_F (RelayCallers, SweepKeepsConnectionWithUnreadRequest)
{
  relay.draining = TRUE;
  relay.drain_began = qg_clock_now () - 10 * QG_SEC;
  ASSERT_EQ (write (fd, "GET", 3), 3);
  relay_callers_sweep (&relay, qg_clock_now ());
  EXPECT_EQ (relay.callers.length, 1u);
}

/* Connections that the kernel has completed but the relay has not accepted yet
 * when it stops listening are served. Later connections are refused at once. */
TEST_F (RelayCallers, AcceptsPendingConnectionsBeforeItStopsListening)
{
  const int n = 300;
  sockaddr_in name = {};
  socklen_t len = sizeof name;
  std::vector<int> pending;

  getpeername (fd, reinterpret_cast<sockaddr *> (&name), &len);
  settings.relay.max_files = 2000;
  relay.listener = listener;
  for (int i = 0; i < n; i++)
    {
      pending.push_back (socket (AF_INET, SOCK_STREAM, 0));
      ASSERT_EQ (
          connect (pending[i], reinterpret_cast<sockaddr *> (&name), len), 0);
    }
  relay_stop_accepting (&relay);
  listener = nullptr;
  EXPECT_EQ (relay.callers.length, n + 1u);
  int late = socket (AF_INET, SOCK_STREAM, 0);
  EXPECT_NE (connect (late, reinterpret_cast<sockaddr *> (&name), len), 0);
  close (late);
  for (int caller : pending)
    close (caller);
}

/* Fault: the process was paused, and callers that connected meanwhile have
 * left. Their requests must not be started. */
TEST_F (RelayCallers, ACallerThatLeftBeforeItWasAcceptedIsNotServed)
{
  const char request[]
      = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  sockaddr_in name = {};
  socklen_t len = sizeof name;

  ASSERT_EQ (getpeername (fd, reinterpret_cast<sockaddr *> (&name), &len), 0);
  for (int i = 0; i < 5; i++)
    {
      int other = socket (AF_INET, SOCK_STREAM, 0);
      ASSERT_EQ (
          connect (other, reinterpret_cast<sockaddr *> (&name), sizeof name),
          0);
      ASSERT_GT (send (other, request, sizeof request - 1, 0), 0);
      shutdown (other, SHUT_WR);
      close (other);
    }
  iterate ();
  EXPECT_EQ (relay.counts[RELAY_N_ASKED], 0u);
  EXPECT_EQ (relay.callers.length, 1u);
}

/* Load: an overloaded relay; see lib/intake.h. The next request on a connection
 * that is kept open is refused as not run, and the connection is closed. */
TEST_F (RelayCallers, AnOverloadedRelayRefusesARequestByItsHead)
{
  char received[512] = "";
  const char request[]
      = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

  relay.intake.began = qg_clock_now () - QG_SEC;
  relay.intake.long_time = QG_SEC;
  relay.intake.taken = 1;
  ASSERT_GT (send (fd, request, sizeof request - 1, 0), 0);
  iterate ();
  ASSERT_GT (recv (fd, received, sizeof received - 1, MSG_DONTWAIT), 0);
  EXPECT_EQ (std::string (received).rfind ("HTTP/1.1 503 ", 0), 0u);
  EXPECT_NE (std::string (received).find ("Retry-After: "), std::string::npos);
  EXPECT_EQ (recv (fd, received, sizeof received, MSG_DONTWAIT), 0);
  EXPECT_EQ (relay.callers.length, 0u);
  EXPECT_EQ (relay.intake.n_refused, 1u);
  EXPECT_EQ (relay.counts[RELAY_N_ASKED], 0u);
  relay.draining = TRUE;
  EXPECT_TRUE (relay_takes_request (&relay, QgSlice{ "", 0 }));
}

/* Load: as above, on a new connection. The request has arrived by then, so a
 * close without reading it would reset the connection and lose the refusal. */
TEST_F (RelayCallers, AGateRefusesConnectionsWithoutAReset)
{
  sockaddr_in name = {};
  socklen_t len = sizeof name;
  std::string request (100000, 'x');
  char received[512] = "";

  const QgH1Gate gate
      = { nullptr,
          [] (gpointer, const char *, gsize) -> gboolean { return FALSE; },
          nullptr, RELAY_LIMITED_RESPONSE };

  qg_h1_listener_set_gate (listener, &gate);
  ASSERT_EQ (getpeername (fd, reinterpret_cast<sockaddr *> (&name), &len), 0);
  for (int i = 0; i < 50; i++)
    {
      int other = socket (AF_INET, SOCK_STREAM, 0);
      ASSERT_EQ (
          connect (other, reinterpret_cast<sockaddr *> (&name), sizeof name),
          0);
      ASSERT_EQ (send (other, request.data (), request.size (), 0),
                 (ssize_t)request.size ());
      iterate ();
      ASSERT_EQ (recv (other, received, sizeof received, MSG_DONTWAIT),
                 (ssize_t)strlen (RELAY_LIMITED_RESPONSE));
      EXPECT_EQ (recv (other, received, sizeof received, MSG_DONTWAIT), 0);
      close (other);
    }
  EXPECT_EQ (relay.callers.length, 1u);
}

TEST (Dialect, FindsTheKeyInTheBeginningOfARequest)
{
  const std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
  const std::pair<std::string, std::string> cases[] = {
    { head + "X-Quetzalgate-Key: k1\r\n\r\n", "k1" },
    { head + "x-quetzalgate-KEY:k1 \r\nA: b", "k1" },
    { head + "X-Quetzalgate-Key: k1", "" },
    { head + "X-Quetzalgate-Keys: k1\r\n\r\n", "" },
    { head + "\r\nX-Quetzalgate-Key: k1\r\n", "" },
    { head + "X-Quetzalgate-Key:\r\n\r\n", "" },
    { "", "" },
  };

  for (const auto &item : cases)
    {
      QgSlice key = qg_platform_dialect ()->find_key (item.first.data (),
                                                      item.first.size ());
      EXPECT_EQ (std::string (key.data, key.len), item.second) << item.first;
    }
}
