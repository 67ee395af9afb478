#include "libpeer.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  MAX_EVENTS = 64,
};

static gboolean on_ready (gint fd, GIOCondition condition, gpointer user);
static void handle_events (QgPeer *peer, guint32 events);
static void update_epoll (QgPeer *peer, int operation, guint32 events);

void
qg_peer_poll_open (QgPeerHub *hub)
{
  hub->epoll = epoll_create1 (EPOLL_CLOEXEC);
  if (hub->epoll < 0)
    g_error (
        "cannot create an epoll instance: %s; raise the limit of open files",
        g_strerror (errno));
  hub->epoll_source = g_unix_fd_add (hub->epoll, G_IO_IN, on_ready, hub);
}

void
qg_peer_poll_close (QgPeerHub *hub)
{
  g_source_remove (hub->epoll_source);
  close (hub->epoll);
}

void
qg_peer_poll_add (QgPeer *peer)
{
  update_epoll (peer, EPOLL_CTL_ADD, EPOLLIN);
}

void
qg_peer_poll_want_write (QgPeer *peer, gboolean want)
{
  if (peer->wants_write == want)
    return;
  peer->wants_write = want;
  update_epoll (peer, EPOLL_CTL_MOD, want ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void
qg_peer_poll_remove (QgPeer *peer)
{
  peer->wants_write = FALSE;
  update_epoll (peer, EPOLL_CTL_DEL, 0);
}

/* Handling the events of one peer may end another peer of the batch, so all
 * peers of the batch are referenced first. */
static gboolean
on_ready (gint fd, GIOCondition condition, gpointer user)
{
  struct epoll_event events[MAX_EVENTS];
  int n = epoll_wait (fd, events, MAX_EVENTS, 0);

  for (int i = 0; i < n; i++)
    qg_peer_ref (events[i].data.ptr);
  for (int i = 0; i < n; i++)
    handle_events (events[i].data.ptr, events[i].events);
  for (int i = 0; i < n; i++)
    qg_peer_unref (events[i].data.ptr);
  return G_SOURCE_CONTINUE;
}

static void
handle_events (QgPeer *peer, guint32 events)
{
  if (peer->connection != NULL && (events & ~(guint32)EPOLLOUT) != 0)
    qg_peer_readable (peer);
  if (peer->connection != NULL && (events & EPOLLOUT) != 0)
    qg_peer_writable (peer);
}

static void
update_epoll (QgPeer *peer, int operation, guint32 events)
{
  struct epoll_event event = { .events = events, .data.ptr = peer };

  epoll_ctl (peer->hub->epoll, operation, g_socket_get_fd (peer->socket),
             &event);
}
