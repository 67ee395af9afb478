/*
 * A TCP relay that delays and cuts: stands before the listening daemons of a
 * fleet on one machine, in place of the links between data centres and regions.
 *   relay --control PORT --local-us N --region-us N ROUTE...
 *   ROUTE: LISTEN-PORT:TARGET-PORT:REGION   (on 127.0.0.1; region of the
 * target) The region of the dialling side is read out of the first frame it
 * sends, so that one address of a daemon serves the dialers of all regions. The
 * control port takes one line a connection: "cut REGION", "heal REGION" (its
 * links to other regions; "all" for every region) or "bytes", which prints the
 * bytes that passed between regions. A cut link passes nothing and keeps its
 * connections open, as a lost link does.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
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
  char region[64];
  gint cut; /* atomic: the region is cut off */
} Route;

/* Data on its way: due at the given time; empty at the end of the stream. */
typedef struct
{
  gint64 due;
  ssize_t len;
  guint8 data[READ_BYTES];
} Chunk;

/* What the two directions of a connection share; the last thread frees it. */
typedef struct
{
  Route *route;
  Route *other; /* atomic: a route of the dialler's region, NULL if unknown */
  int fds[2];
  gint users;
} Link;

/* One direction of a connection: a thread that reads, a thread that writes. */
typedef struct
{
  Link *link;
  int from, to;
  GAsyncQueue *queue;
} Pipe;

static Route routes[512];
static int n_routes;
static gint64 local_us, region_us;
static gsize region_bytes; /* atomic */

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

static gboolean
crosses (Link *link)
{
  Route *other = g_atomic_pointer_get (&link->other);
  return other != NULL && !g_str_equal (other->region, link->route->region);
}

static gboolean
is_cut (Link *link)
{
  return crosses (link)
         && (g_atomic_int_get (&link->route->cut)
             || g_atomic_int_get (&link->other->cut));
}

/* Finds the dialler's region in its first frame. */
static void
find_region (Link *link, const Chunk *chunk)
{
  for (int i = 0; i < n_routes && chunk->len > 0; i++)
    if (memmem (chunk->data, (gsize)chunk->len, routes[i].region,
                strlen (routes[i].region)))
      g_atomic_pointer_set (&link->other, &routes[i]);
}

static void
wait_until (Link *link, gint64 due)
{
  gint64 left;
  while ((left = due - g_get_monotonic_time ()) > 0)
    g_usleep ((gulong)left);
  while (is_cut (link))
    g_usleep (CUT_POLL_US);
}

/* The last thread of a connection closes its sockets. */
static void
link_leave (Link *link)
{
  if (!g_atomic_int_dec_and_test (&link->users))
    return;
  close (link->fds[0]);
  close (link->fds[1]);
  g_free (link);
}

static gpointer
write_side (gpointer data)
{
  Pipe *pipe = data;
  gboolean going = TRUE;
  while (going)
    {
      Chunk *chunk = g_async_queue_pop (pipe->queue);
      wait_until (pipe->link, chunk->due);
      ssize_t sent = 0, n = 1;
      for (; sent < chunk->len && n > 0; sent += n)
        n = send (pipe->to, chunk->data + sent, (size_t)(chunk->len - sent),
                  MSG_NOSIGNAL);
      going = chunk->len > 0 && n > 0;
      g_free (chunk);
    }
  shutdown (pipe->to, SHUT_WR);
  shutdown (pipe->from, SHUT_RD);
  link_leave (pipe->link);
  g_async_queue_unref (pipe->queue);
  g_free (pipe);
  return NULL;
}

static gpointer
read_side (gpointer data)
{
  Pipe pipe = *(Pipe *)data;
  Link *link = pipe.link;
  g_async_queue_ref (pipe.queue);
  g_thread_unref (g_thread_new ("write", write_side, data));
  ssize_t len;
  do
    {
      Chunk *chunk = g_malloc (sizeof *chunk);
      len = chunk->len = recv (pipe.from, chunk->data, READ_BYTES, 0);
      if (pipe.from == link->fds[0] && link->other == NULL)
        find_region (link, chunk);
      chunk->due
          = g_get_monotonic_time () + (crosses (link) ? region_us : local_us);
      if (crosses (link))
        g_atomic_pointer_add (&region_bytes, MAX (len, 0));
      g_async_queue_push (pipe.queue, chunk);
      while (g_async_queue_length (pipe.queue) > MOST_CHUNKS
             && g_atomic_int_get (&link->users) == 4)
        g_usleep (CUT_POLL_US);
    }
  while (len > 0);
  link_leave (link);
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
      Link *link = g_new0 (Link, 1);
      *link = (Link){ route, NULL, { caller, target }, 4 };
      Pipe ways[2] = { { link, caller, target, g_async_queue_new () },
                       { link, target, caller, g_async_queue_new () } };
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
  if (word[0] != NULL && g_str_equal (word[0], "bytes"))
    dprintf (fd, "%" G_GSIZE_FORMAT "\n", region_bytes);
  for (int i = 0; word[0] != NULL && word[1] != NULL && i < n_routes; i++)
    if (g_str_equal (word[1], routes[i].region) || g_str_equal (word[1], "all"))
      g_atomic_int_set (&routes[i].cut, g_str_equal (word[0], "cut"));
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
      || sscanf (text, "%u:%u:%63s", &from, &to, route->region) != 3)
    {
      g_printerr ("relay: \"%s\" is not LISTEN:TARGET:REGION\n", text);
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
  if (argc < 7 || !g_str_equal (argv[1], "--control")
      || !g_str_equal (argv[3], "--local-us")
      || !g_str_equal (argv[5], "--region-us"))
    {
      g_printerr ("usage: relay --control PORT --local-us N --region-us N "
                  "ROUTE...\n");
      return 2;
    }
  local_us = atoi (argv[4]);
  region_us = atoi (argv[6]);
  signal (SIGPIPE, SIG_IGN);
  listen_or_exit (&control, (guint16)atoi (argv[2]));
  for (int i = 7; i < argc; i++)
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
