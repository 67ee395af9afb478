#include "daemon/run.h"
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/* QG_RUN_NOT_SENT must be true: no byte of the request reached the target,
 * whichever iteration of the main loop the run or the connection ends in. */

namespace
{

enum
{
  ITERATIONS = 8,
  BODY_BYTES = 8 * 1024 * 1024, /* more than the sockets buffer */
};

class Listener
{
public:
  std::string address;

  Listener () : fd (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    struct sockaddr_in name = {};
    socklen_t len = sizeof name;
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    EXPECT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&name), len), 0);
    EXPECT_EQ (listen (fd, 8), 0);
    getsockname (fd, reinterpret_cast<sockaddr *> (&name), &len);
    address = "127.0.0.1:" + std::to_string (ntohs (name.sin_port));
  }

  ~Listener ()
  {
    if (conn >= 0)
      close (conn);
    stop ();
  }

  void
  stop ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }

  void
  accept ()
  {
    conn = accept4 (fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    EXPECT_GE (conn, 0);
  }

  /** Adds what has arrived to received. */
  void
  read ()
  {
    char buffer[65536];
    ssize_t n;
    while ((n = recv (conn, buffer, sizeof buffer, 0)) > 0)
      received += static_cast<size_t> (n);
  }

  void
  reset ()
  {
    struct linger now = { 1, 0 };
    read ();
    setsockopt (conn, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close (conn);
    conn = -1;
  }

  size_t received = 0;

private:
  int fd;
  int conn = -1;
};

struct Ended
{
  bool ended = false;
  QgRunEnd end = QG_RUN_COMPLETE;
};

void
on_head (gpointer, const QgH1Head *)
{
}

void
on_data (gpointer, const guint8 *, gsize)
{
}

void
on_end (gpointer user, QgRunEnd end, const char *)
{
  *static_cast<Ended *> (user) = { true, end };
}

const QgRunOps ops = { on_head, on_data, on_end };

class Run : public testing::Test
{
protected:
  Run () : pool (qg_run_pool_new ()) {}
  ~Run () override { qg_run_pool_free (pool); }

  void
  start (size_t body_bytes)
  {
    std::string body (body_bytes, 'x');
    Qg__Assign assign = QG__ASSIGN__INIT;
    assign.method = const_cast<char *> ("POST");
    assign.path = const_cast<char *> ("/");
    assign.body.data
        = reinterpret_cast<guint8 *> (const_cast<char *> (body.data ()));
    assign.body.len = body.size ();
    run = qg_run_start (pool, listener.address.c_str (), &assign, &ops, &ended);
    ASSERT_NE (run, nullptr);
  }

  static void
  iterate (int n)
  {
    while (n-- > 0)
      g_main_context_iteration (nullptr, FALSE);
  }

  void
  wait_for_end ()
  {
    while (!ended.ended)
      g_main_context_iteration (nullptr, TRUE);
  }

  /** Whether the reported end fits what the target received. */
  void
  check ()
  {
    wait_for_end ();
    EXPECT_NE (ended.end, QG_RUN_COMPLETE);
    EXPECT_EQ (ended.end == QG_RUN_NOT_SENT, listener.received == 0);
  }

  Listener listener;
  QgRunPool *pool;
  QgRun *run = nullptr;
  Ended ended;
};

class CancelledAfter : public Run,
                       public testing::WithParamInterface<std::tuple<int, int> >
{
};

class ResetAfter : public Run,
                   public testing::WithParamInterface<std::tuple<int, int> >
{
};

} // namespace

TEST_P (CancelledAfter, StatesWhetherBytesWereSent)
{
  auto [iterations, body_bytes] = GetParam ();
  start (static_cast<size_t> (body_bytes));
  iterate (iterations);
  qg_run_cancel (run);
  wait_for_end ();
  listener.accept ();
  listener.read ();
  check ();
}

TEST_P (ResetAfter, StatesWhetherBytesWereSent)
{
  auto [iterations, body_bytes] = GetParam ();
  start (static_cast<size_t> (body_bytes));
  listener.accept ();
  iterate (iterations);
  listener.reset ();
  check ();
}

INSTANTIATE_TEST_SUITE_P (Run, CancelledAfter,
                          testing::Combine (testing::Range (0, +ITERATIONS),
                                            testing::Values (0, +BODY_BYTES)));
INSTANTIATE_TEST_SUITE_P (Run, ResetAfter,
                          testing::Combine (testing::Range (0, +ITERATIONS),
                                            testing::Values (0, +BODY_BYTES)));

TEST_F (Run, CancelledInTheIterationInWhichItsConnectionFails)
{
  start (0);
  listener.stop ();
  qg_run_cancel (run);
  check ();
  EXPECT_EQ (ended.end, QG_RUN_NOT_SENT);
}

TEST_F (Run, RefusedConnectionIsNotSent)
{
  listener.stop ();
  start (0);
  check ();
  EXPECT_EQ (ended.end, QG_RUN_NOT_SENT);
}
