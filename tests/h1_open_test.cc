#include "daemon/clock.h"
#include "daemon/h1.h"
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/* Tests when a connection that its peer has closed was last known to be open.
 */

namespace
{

const char answer[] = "HTTP/1.1 200 OK\r\n\r\nbody";
const useconds_t standstill_us = 50000;

int peer = -1;    /* closed after a poll, while the process stands still */
QgTime closed_at; /* when */
QgTime open_at;   /* as the connection states it */
bool has_read, has_ended;

void
on_head (gpointer, QgH1Conn *, const QgH1Head *)
{
}

void
on_body (gpointer, QgH1Conn *, const char *, gsize)
{
  has_read = true;
}

void
on_complete (gpointer, QgH1Conn *conn)
{
  open_at = qg_h1_open_at (conn);
  has_ended = true;
}

void
on_closed (gpointer, QgH1Conn *, QgH1End)
{
  has_ended = true;
}

const QgH1Ops ops = { on_head, on_body, on_complete, on_closed, nullptr };

/* A process that is stopped between a poll and what follows it. */
gint
poll_and_stand_still (GPollFD *fds, guint n_fds, gint)
{
  gint n = g_poll (fds, n_fds, 0);
  usleep (standstill_us);
  closed_at = qg_clock_now ();
  close (peer);
  usleep (standstill_us);
  return n;
}

} // namespace

TEST (H1Open, ACloseAfterAPollIsNotBeforeTheTimeOfThePoll)
{
  QgH1Loop *loop = qg_h1_loop_new ();
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in name = {};
  socklen_t len = sizeof name;
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (listener, reinterpret_cast<sockaddr *> (&name), len), 0);
  ASSERT_EQ (listen (listener, 1), 0);
  ASSERT_EQ (getsockname (listener, reinterpret_cast<sockaddr *> (&name), &len),
             0);
  QgStr *address = qg_str_new (
      ("127.0.0.1:" + std::to_string (ntohs (name.sin_port))).c_str ());
  QgH1Conn *conn = qg_h1_connect (loop, address, &ops, nullptr);
  ASSERT_NE (conn, nullptr);
  peer = accept (listener, nullptr, nullptr);
  ASSERT_EQ (write (peer, answer, sizeof answer - 1),
             static_cast<ssize_t> (sizeof answer - 1));
  while (!has_read)
    g_main_context_iteration (nullptr, TRUE);

  GPollFunc poll = g_main_context_get_poll_func (nullptr);
  g_main_context_set_poll_func (nullptr, poll_and_stand_still);
  g_main_context_iteration (nullptr, FALSE);
  g_main_context_set_poll_func (nullptr, poll);
  ASSERT_FALSE (has_ended);
  while (!has_ended)
    g_main_context_iteration (nullptr, TRUE);
  EXPECT_LT (open_at, closed_at);
  EXPECT_GT (open_at, closed_at - 10 * standstill_us);

  qg_h1_close (conn);
  qg_str_unref (address);
  close (listener);
  qg_h1_loop_free (loop);
}
