/*
 * A TCP relay that simulates the links between data centres and regions for a
 * fleet on one machine: it delays the traffic to the listening daemons, and can
 * cut regions off.
 *
 *   relay --control PORT --local-us N --region-us N ROUTE...
 *
 * A ROUTE is LISTEN-PORT:TARGET-PORT:REGION, both ports on 127.0.0.1, with the
 * region of the target. The relay finds the region of the connecting daemon in
 * the first frame that the daemon sends, so one address of a daemon serves
 * peers of all regions. Traffic between regions is delayed by --region-us,
 * other traffic by --local-us.
 *
 * The control port takes one command line per connection: "cut REGION" or "heal
 * REGION" for the links of a region to all other regions ("all" for every
 * region), or "bytes", which prints the number of bytes that passed between
 * regions. A cut link passes no data but keeps its connections open, like a
 * network partition.
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
  MAX_QUEUED_CHUNKS = 64, /* per direction; with more queued, reading pauses */
  POLL_INTERVAL_US = 2000 /* of threads that wait for a link or a queue */
};

typedef struct
{
  int fd;
  guint16 target_port;
  char region[64];
  gint cut; /* atomic; TRUE while the region is cut off */
} Route;

/* Data in transit, to be sent when due; len <= 0 marks the end of stream. */
typedef struct
{
  gint64 due; /* monotonic, in microseconds */
  ssize_t len;
  guint8 data[READ_BYTES];
} Chunk;

/* A relayed connection. The last of its four threads to end frees the link. */
typedef struct
{
  Route *route;
  /* A route that has the region of the caller; NULL until the region is
   * known. Accessed atomically. */
  Route *caller_route;
  int fds[2];
  gint refs;
} Link;

/* One direction of a connection, with a reading and a writing thread. */
typedef struct
{
  Link *link;
  int from, to;
  GAsyncQueue *queue;
} Direction;

static Route routes[512];
static int n_routes;
static gint64 local_us, region_us;
static gsize region_bytes; /* atomic: bytes passed between regions */

static int
open_socket (guint16 port, gboolean listening)
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
crosses_regions (Link *link)
{
  Route *caller_route = g_atomic_pointer_get (&link->caller_route);
  return caller_route != NULL
         && !g_str_equal (caller_route->region, link->route->region);
}

static gboolean
is_cut (Link *link)
{
  return crosses_regions (link)
         && (g_atomic_int_get (&link->route->cut)
             || g_atomic_int_get (&link->caller_route->cut));
}

/* Finds the caller's region. The first frame that the caller sends contains the
 * name of the region. */
static void
find_caller_region (Link *link, const Chunk *chunk)
{
  for (int i = 0; i < n_routes && chunk->len > 0; i++)
    if (memmem (chunk->data, (gsize)chunk->len, routes[i].region,
                strlen (routes[i].region)))
      g_atomic_pointer_set (&link->caller_route, &routes[i]);
}

/* Waits until @due. If the link is cut then, also waits until it is healed. */
static void
wait_until_due (Link *link, gint64 due)
{
  gint64 left;
  while ((left = due - g_get_monotonic_time ()) > 0)
    g_usleep ((gulong)left);
  while (is_cut (link))
    g_usleep (POLL_INTERVAL_US);
}

/* Drops one thread's reference; the last one closes the sockets. */
static void
link_unref (Link *link)
{
  if (!g_atomic_int_dec_and_test (&link->refs))
    return;
  close (link->fds[0]);
  close (link->fds[1]);
  g_free (link);
}

static gpointer
write_thread (gpointer data)
{
  Direction *direction = data;
  gboolean open = TRUE;
  while (open)
    {
      Chunk *chunk = g_async_queue_pop (direction->queue);
      wait_until_due (direction->link, chunk->due);
      ssize_t sent = 0, n = 1;
      for (; sent < chunk->len && n > 0; sent += n)
        n = send (direction->to, chunk->data + sent,
                  (size_t)(chunk->len - sent), MSG_NOSIGNAL);
      open = chunk->len > 0 && n > 0;
      g_free (chunk);
    }
  shutdown (direction->to, SHUT_WR);
  shutdown (direction->from, SHUT_RD);
  link_unref (direction->link);
  g_async_queue_unref (direction->queue);
  g_free (direction);
  return NULL;
}

static gpointer
read_thread (gpointer data)
{
  Direction direction = *(Direction *)data;
  Link *link = direction.link;
  g_async_queue_ref (direction.queue);
  g_thread_unref (g_thread_new ("write", write_thread, data));
  ssize_t len;
  do
    {
      Chunk *chunk = g_malloc (sizeof *chunk);
      len = chunk->len = recv (direction.from, chunk->data, READ_BYTES, 0);
      if (direction.from == link->fds[0] && link->caller_route == NULL)
        find_caller_region (link, chunk);
      chunk->due = g_get_monotonic_time ()
                   + (crosses_regions (link) ? region_us : local_us);
      if (crosses_regions (link))
        g_atomic_pointer_add (&region_bytes, MAX (len, 0));
      g_async_queue_push (direction.queue, chunk);
      /* Pauses while the queue is full and no thread of the link has ended. */
      while (g_async_queue_length (direction.queue) > MAX_QUEUED_CHUNKS
             && g_atomic_int_get (&link->refs) == 4)
        g_usleep (POLL_INTERVAL_US);
    }
  while (len > 0);
  link_unref (link);
  g_async_queue_unref (direction.queue);
  return NULL;
}

static gpointer
accept_thread (gpointer data)
{
  Route *route = data;
  for (;;)
    {
      int caller = accept (route->fd, NULL, NULL), on = 1;
      int target = open_socket (route->target_port, FALSE);
      if (caller < 0 || target < 0)
        {
          close (caller);
          close (target);
          continue;
        }
      setsockopt (caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      Link *link = g_new0 (Link, 1);
      *link = (Link){ route, NULL, { caller, target }, 4 };
      Direction directions[2]
          = { { link, caller, target, g_async_queue_new () },
              { link, target, caller, g_async_queue_new () } };
      for (int i = 0; i < 2; i++)
        g_thread_unref (
            g_thread_new ("read", read_thread,
                          g_memdup2 (&directions[i], sizeof directions[i])));
    }
  return NULL;
}

static void
handle_command (int fd, char *line)
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
  route->fd = open_socket (port, TRUE);
  if (route->fd >= 0)
    return;
  g_printerr ("relay: cannot listen on port %u\n", port);
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
      g_printerr ("relay: bad route \"%s\"; want LISTEN:TARGET:REGION\n", text);
      exit (2);
    }
  route->target_port = (guint16)to;
  listen_or_exit (route, (guint16)from);
  g_thread_unref (g_thread_new ("route", accept_thread, route));
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
        handle_command (fd, line);
      close (fd);
    }
}
