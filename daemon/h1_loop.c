#include "libh1.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  MAX_EVENTS = 256,
};

/** One GSource for all connections and timers, because the main loop checks
 * each of its sources in every iteration. */
typedef struct
{
  GSource base;
  QgH1Loop *loop;
  gpointer tag;
} LoopSource;

static gboolean prepare (GSource *source, gint *timeout);
static gboolean check (GSource *source);
static gboolean dispatch (GSource *source, GSourceFunc callback, gpointer user);
static void note_polled (QgH1Loop *loop);
static void handle_events (QgH1Loop *loop);
static void fire_timers (QgH1Loop *loop);

static GSourceFuncs funcs = { prepare, check, dispatch, NULL, NULL, NULL };

QgH1Loop *
qg_h1_loop_new (void)
{
  QgH1Loop *loop = g_new0 (QgH1Loop, 1);
  LoopSource *source;

  loop->epoll = epoll_create1 (EPOLL_CLOEXEC);
  if (loop->epoll < 0)
    g_error (
        "cannot create an epoll instance: %s; raise the limit of open files",
        g_strerror (errno));
  loop->to_flush = g_ptr_array_new ();
  loop->source = g_source_new (&funcs, sizeof (LoopSource));
  source = (LoopSource *)loop->source;
  source->loop = loop;
  source->tag = g_source_add_unix_fd (loop->source, loop->epoll, G_IO_IN);
  g_source_set_can_recurse (loop->source, FALSE);
  g_source_attach (loop->source, NULL);
  return loop;
}

void
qg_h1_loop_free (QgH1Loop *loop)
{
  qg_h1_loop_flush (loop);
  g_source_destroy (loop->source);
  g_source_unref (loop->source);
  close (loop->epoll);
  g_ptr_array_unref (loop->to_flush);
  qg_heap_clear (&loop->timers);
  g_free (loop);
}

void
qg_h1_timer_set (QgH1Loop *loop, QgH1Timer *timer, QgTime at)
{
  qg_heap_put (&loop->timers, &timer->node, at);
}

void
qg_h1_timer_clear (QgH1Loop *loop, QgH1Timer *timer)
{
  qg_heap_remove (&loop->timers, &timer->node);
}

void
qg_h1_loop_set_after (QgH1Loop *loop, void (*after) (gpointer user),
                      gpointer user)
{
  loop->after = after;
  loop->after_user = user;
}

void
qg_h1_loop_set_pass (QgH1Loop *loop, void (*began) (gpointer user),
                     void (*ended) (gpointer user), gpointer user)
{
  loop->began = began;
  loop->ended = ended;
  loop->pass_user = user;
}

static gboolean
prepare (GSource *source, gint *timeout)
{
  QgH1Loop *loop = ((LoopSource *)source)->loop;
  const QgHeapNode *top = qg_heap_top (&loop->timers);
  QgTime remaining;

  loop->polling_at = qg_clock_now ();
  *timeout = loop->unframed > 0 ? H1_UNFRAMED_POLL_MS : -1;
  if (loop->to_flush->len > 0)
    return TRUE;
  if (top == NULL)
    return FALSE;
  remaining = top->key - loop->polling_at;
  if (remaining <= 0)
    *timeout = 0;
  else if (*timeout < 0 || remaining / QG_MSEC < *timeout)
    *timeout = (gint)MIN (remaining / QG_MSEC + 1, G_MAXINT);
  return remaining <= 0;
}

/* A process may stand still after a poll, so a poll counts from its begin. */
static void
note_polled (QgH1Loop *loop)
{
  if (loop->polled_at == loop->polling_at)
    return;
  loop->polled_before = loop->polled_at;
  loop->polled_at = loop->polling_at;
}

static gboolean
check (GSource *source)
{
  LoopSource *loop_source = (LoopSource *)source;
  QgH1Loop *loop = loop_source->loop;
  const QgHeapNode *top = qg_heap_top (&loop->timers);

  note_polled (loop);
  return loop->to_flush->len > 0
         || g_source_query_unix_fd (source, loop_source->tag) != 0
         || (top != NULL && top->key <= qg_clock_now ());
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user)
{
  LoopSource *loop_source = (LoopSource *)source;
  QgH1Loop *loop = loop_source->loop;

  note_polled (loop);
  if (loop->began != NULL)
    loop->began (loop->pass_user);
  if (g_source_query_unix_fd (source, loop_source->tag) != 0)
    handle_events (loop);
  fire_timers (loop);
  if (loop->after != NULL)
    loop->after (loop->after_user);
  qg_h1_loop_flush (loop);
  if (loop->ended != NULL)
    loop->ended (loop->pass_user);
  return G_SOURCE_CONTINUE;
}

/* Handling the events of one connection may end another connection of the
 * batch, so all connections of the batch are referenced first. */
static void
handle_events (QgH1Loop *loop)
{
  struct epoll_event events[MAX_EVENTS];
  int n = epoll_wait (loop->epoll, events, MAX_EVENTS, 0);

  for (int i = 0; i < n; i++)
    h1_ref (events[i].data.ptr);
  for (int i = 0; i < n; i++)
    h1_handle_events (events[i].data.ptr, events[i].events);
  for (int i = 0; i < n; i++)
    h1_unref (events[i].data.ptr);
  if (n == MAX_EVENTS) /* events of others may not have been reported */
    loop->polled_at = loop->polled_before;
}

static void
fire_timers (QgH1Loop *loop)
{
  QgTime now = qg_clock_now ();
  QgHeapNode *top;

  while ((top = qg_heap_top (&loop->timers)) != NULL && top->key <= now)
    {
      QgH1Timer *timer = QG_HEAP_OWNER (top, QgH1Timer, node);

      qg_heap_remove (&loop->timers, top);
      timer->fire (timer->user);
    }
}

void
qg_h1_loop_flush (QgH1Loop *loop)
{
  for (guint i = 0; i < loop->to_flush->len; i++)
    {
      QgH1Conn *conn = g_ptr_array_index (loop->to_flush, i);

      conn->flush_pending = FALSE;
      h1_flush (conn);
      h1_unref (conn);
    }
  g_ptr_array_set_size (loop->to_flush, 0);
}

void
h1_loop_add (QgH1Conn *conn, guint32 events)
{
  struct epoll_event event = { .events = events, .data.ptr = conn };

  conn->events = events;
  epoll_ctl (conn->loop->epoll, EPOLL_CTL_ADD, conn->fd, &event);
}

void
h1_loop_set_events (QgH1Conn *conn, guint32 events)
{
  struct epoll_event event = { .events = events, .data.ptr = conn };

  if (conn->fd < 0 || events == conn->events)
    return;
  conn->events = events;
  epoll_ctl (conn->loop->epoll, EPOLL_CTL_MOD, conn->fd, &event);
}

void
h1_loop_remove (QgH1Conn *conn)
{
  epoll_ctl (conn->loop->epoll, EPOLL_CTL_DEL, conn->fd, NULL);
}

void
h1_loop_schedule_flush (QgH1Conn *conn)
{
  if (conn->flush_pending)
    return;
  conn->flush_pending = TRUE;
  g_ptr_array_add (conn->loop->to_flush, h1_ref (conn));
}
