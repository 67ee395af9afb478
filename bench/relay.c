/*
 * A TCP relay that delays and cuts: stands between the regions of a fleet on
 * one machine.
 *   relay --control PORT ROUTE...
 *   ROUTE: LISTEN-PORT:TARGET-PORT:DELAY-US:GROUP   (all on 127.0.0.1)
 * The control port takes one line a connection: "cut GROUP", "heal GROUP" or
 * "bytes"; GROUP may be "all". A cut route passes nothing and keeps its
 * connections open, as a lost link does; new ones are accepted and wait.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 32768,
  MOST_CHUNKS = 64, /* on their way in one direction, then reading pauses */
  CUT_POLL_US = 2000
};

typedef struct
{
  int fd;
  guint16 target;
  gint64 delay_us;
  char group[64];
  gint cut;    /* atomic */
  gsize bytes; /* atomic */
} Route;

/* Data on its way: due at the given time; empty at the end of the stream. */
typedef struct
{
  gint64 due;
  ssize_t len;
  guint8 data[READ_BYTES];
} Chunk;

/* One direction of a connection: a thread that reads, a thread that writes. */
typedef struct
{
  Route *route;
  int from, to;
  GAsyncQueue *queue;
  gint *users; /* threads that still hold the two sockets */
} Pipe;

static Route routes[512];
static int n_routes;

static int
bound (guint16 port, gboolean listening)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int failed = listening ? bind (fd, (struct sockaddr *)&at, sizeof at)
                               || listen (fd, SOMAXCONN)
                         : connect (fd, (struct sockaddr *)&at, sizeof at);
  if (!failed)
    return fd;
  close (fd);
  return -1;
}

static void
wait_until (const Route *route, gint64 due)
{
  gint64 left;
  while ((left = due - g_get_monotonic_time ()) > 0)
    g_usleep ((gulong)left);
  while (g_atomic_int_get (&route->cut))
    g_usleep (CUT_POLL_US);
}

/* The last thread of a connection closes its sockets. */
static void
pipe_leave (const Pipe *pipe)
{
  if (!g_atomic_int_dec_and_test (pipe->users))
    return;
  close (pipe->from);
  close (pipe->to);
  g_free (pipe->users);
}

static gpointer
write_side (gpointer data)
{
  Pipe *pipe = data;
  gboolean going = TRUE;
  while (going)
    {
      Chunk *chunk = g_async_queue_pop (pipe->queue);
      wait_until (pipe->route, chunk->due);
      ssize_t sent = 0, n = 1;
      for (; sent < chunk->len && n > 0; sent += n)
        n = send (pipe->to, chunk->data + sent, (size_t)(chunk->len - sent),
                  MSG_NOSIGNAL);
      going = chunk->len > 0 && n > 0;
      g_free (chunk);
    }
  shutdown (pipe->to, SHUT_WR);
  shutdown (pipe->from, SHUT_RD);
  pipe_leave (pipe);
  g_async_queue_unref (pipe->queue);
  g_free (pipe);
  return NULL;
}

static gpointer
read_side (gpointer data)
{
  Pipe pipe = *(Pipe *)data;
  g_async_queue_ref (pipe.queue);
  g_thread_unref (g_thread_new ("write", write_side, data));
  ssize_t len;
  do
    {
      Chunk *chunk = g_malloc (sizeof *chunk);
      len = chunk->len = recv (pipe.from, chunk->data, READ_BYTES, 0);
      chunk->due = g_get_monotonic_time () + pipe.route->delay_us;
      g_atomic_pointer_add (&pipe.route->bytes, MAX (len, 0));
      g_async_queue_push (pipe.queue, chunk);
      while (g_async_queue_length (pipe.queue) > MOST_CHUNKS
             && g_atomic_int_get (pipe.users) == 4)
        g_usleep (CUT_POLL_US);
    }
  while (len > 0);
  pipe_leave (&pipe);
  g_async_queue_unref (pipe.queue);
  return NULL;
}

static gpointer
serve_route (gpointer data)
{
  Route *route = data;
  for (;;)
    {
      int caller = accept (route->fd, NULL, NULL), on = 1;
      int target = bound (route->target, FALSE);
      if (caller < 0 || target < 0)
        {
          close (caller);
          close (target);
          continue;
        }
      setsockopt (caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      gint *users = g_new (gint, 1);
      *users = 4;
      Pipe ways[2] = { { route, caller, target, g_async_queue_new (), users },
                       { route, target, caller, g_async_queue_new (), users } };
      for (int i = 0; i < 2; i++)
        g_thread_unref (g_thread_new ("read", read_side,
                                      g_memdup2 (&ways[i], sizeof ways[i])));
    }
  return NULL;
}

static void
command (int fd, char *line)
{
  g_auto (GStrv) word = g_strsplit (g_strstrip (line), " ", 2);
  for (Route *route = routes; word[0] && route < routes + n_routes; route++)
    if (g_str_equal (word[0], "bytes"))
      dprintf (fd, "%s %" G_GSIZE_FORMAT "\n", route->group, route->bytes);
    else if (word[1] != NULL
             && (g_str_equal (word[1], route->group)
                 || g_str_equal (word[1], "all")))
      g_atomic_int_set (&route->cut, g_str_equal (word[0], "cut"));
  dprintf (fd, "ok\n");
}

static void
listen_or_exit (Route *route, guint16 port)
{
  route->fd = bound (port, TRUE);
  if (route->fd >= 0)
    return;
  g_printerr ("relay: port %u is not free\n", port);
  exit (1);
}

static void
read_route (const char *text)
{
  Route *route = &routes[n_routes++];
  guint from, to;
  if (n_routes > (int)G_N_ELEMENTS (routes)
      || sscanf (text, "%u:%u:%" G_GINT64_FORMAT ":%63s", &from, &to,
                 &route->delay_us, route->group)
             != 4)
    {
      g_printerr ("relay: \"%s\" is not LISTEN:TARGET:DELAY-US:GROUP\n", text);
      exit (2);
    }
  route->target = (guint16)to;
  listen_or_exit (route, (guint16)from);
  g_thread_unref (g_thread_new ("route", serve_route, route));
}

int
main (int argc, char **argv)
{
  Route control = { 0 };
  if (argc < 3 || !g_str_equal (argv[1], "--control"))
    {
      g_printerr ("usage: relay --control PORT ROUTE...\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  listen_or_exit (&control, (guint16)atoi (argv[2]));
  for (int i = 3; i < argc; i++)
    read_route (argv[i]);
  for (;;)
    {
      char line[128] = "";
      int fd = accept (control.fd, NULL, NULL);
      if (read (fd, line, sizeof line - 1) > 0)
        command (fd, line);
      close (fd);
    }
}
