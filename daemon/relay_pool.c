#include "librelay.h"

/* Reuse of idle connections to targets, in LIFO order: surplus connections stay
 * unused until they time out. */

static void on_idle_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_idle_body (gpointer user, QgH1Conn *conn, const char *data,
                          gsize len);
static void on_idle_complete (gpointer user, QgH1Conn *conn);
static void on_idle_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void close_pooled (RelayLink *link, const char *why);
static gboolean has_stray_bytes (const RelayLink *link);
static gboolean can_tell_answers (const RelayLink *link, const RelayCall *call);

static const QgH1Ops idle_ops
    = { on_idle_head, on_idle_body, on_idle_complete, on_idle_closed, NULL };

/* Whether bytes arrived on an idle connection. They may be the beginning of a
 * second copy of an answer, whose rest would be taken for the next answer. */
static gboolean
has_stray_bytes (const RelayLink *link)
{
  return qg_h1_in_message (link->conn) || qg_h1_has_buffered (link->conn)
         || qg_h1_has_unread (link->conn);
}

/* Whether the answer to the call can be told from a late copy of the answer
 * before it on this connection: both name their attempt. */
static gboolean
can_tell_answers (const RelayLink *link, const RelayCall *call)
{
  return call->attempt[0] != '\0' && link->last_stream != call->stream;
}

RelayLink *
relay_pool_acquire (QgRelay *relay, QgStr *address, RelayCall *call,
                    const QgH1Ops *ops)
{
  GQueue *pool = g_hash_table_lookup (relay->pools, address);
  QgTime now = qg_clock_now ();
  RelayLink *link = NULL;

  while (pool != NULL && link == NULL
         && (link = g_queue_pop_head (pool)) != NULL)
    if (now >= link->idle_until || has_stray_bytes (link)
        || !can_tell_answers (link, call))
      {
        relay_link_close (link);
        link = NULL;
      }
  if (link == NULL)
    {
      link = g_new0 (RelayLink, 1);
      link->relay = relay;
      link->address = qg_str_ref (address);
      link->conn = qg_h1_connect (relay->loop, address, ops, link);
      if (link->conn == NULL)
        {
          relay_link_close (link);
          return NULL;
        }
      RELAY_COUNT (relay, CONNECTS);
    }
  else
    {
      link->reused = TRUE;
      qg_h1_reused (link->conn);
    }
  link->call = call;
  link->last_stream = call->stream;
  link->keep_alive = FALSE;
  link->forwarding = FALSE;
  link->survived = FALSE;
  link->until_close = FALSE;
  link->is_event_stream = FALSE;
  link->discard = FALSE;
  link->discarded = 0;
  link->status = 0;
  qg_h1_set_ops (link->conn, ops, link);
  return link;
}

void
relay_pool_release (RelayLink *link)
{
  QgRelay *relay = link->relay;
  GQueue *pool = g_hash_table_lookup (relay->pools, link->address);
  QgTime now = qg_clock_now ();
  QgTime idle = RELAY_POOL_IDLE_MS * QG_MSEC;

  if (link->answer_info.idle_limit >= 0)
    idle = link->answer_info.idle_limit - RELAY_POOL_MARGIN_MS * QG_MSEC;
  if (!link->keep_alive || idle <= 0 || qg_h1_has_buffered (link->conn)
      || qg_h1_unsent (link->conn) > 0)
    {
      relay_link_close (link);
      return;
    }
  if (pool == NULL)
    {
      pool = g_queue_new ();
      g_hash_table_insert (relay->pools, g_strdup (link->address), pool);
    }
  link->call = NULL;
  link->idle_until = now + idle;
  qg_h1_set_ops (link->conn, &idle_ops, link);
  qg_h1_set_paused (link->conn, FALSE);
  qg_h1_allow_next (link->conn);
  g_queue_push_head (pool, link);
}

void
relay_link_close (RelayLink *link)
{
  g_clear_pointer (&link->life_ask, relay_life_cancel);
  qg_endcheck_free (link->endcheck);
  if (link->conn != NULL)
    qg_h1_close (link->conn);
  qg_str_unref (link->address);
  g_free (link);
}

/* An unsolicited response belongs to no request: the connection is out of
 * sync and must not be reused. */
static void
on_idle_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  close_pooled (user, "unsolicited response");
}

static void
on_idle_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
}

static void
on_idle_complete (gpointer user, QgH1Conn *conn)
{
}

static void
on_idle_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  close_pooled (user, "closed while idle");
}

static void
close_pooled (RelayLink *link, const char *why)
{
  GQueue *pool = g_hash_table_lookup (link->relay->pools, link->address);

  if (pool != NULL)
    g_queue_remove (pool, link);
  relay_link_close (link);
}

void
relay_pools_sweep (QgRelay *relay, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *pool = value;
      RelayLink *oldest;

      while ((oldest = g_queue_peek_tail (pool)) != NULL
             && now >= oldest->idle_until)
        relay_link_close (g_queue_pop_tail (pool));
      if (pool->length == 0)
        g_hash_table_iter_remove (&iter);
    }
}

void
relay_pool_free (gpointer queue)
{
  g_queue_free_full (queue, (GDestroyNotify)relay_link_close);
}
