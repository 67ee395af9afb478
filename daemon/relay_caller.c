#include "librelay.h"

static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void refuse_head (RelayCall *call);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void on_drained (gpointer user, QgH1Conn *conn);
static void reject_malformed (RelayCaller *caller, QgH1End why);
static void close_after_flush (RelayCaller *caller);
static guint max_callers (const QgRelay *relay);
static void evict_idle (QgRelay *relay);
static void check_timeouts (RelayCaller *caller, QgTime now);

static const QgH1Ops caller_ops
    = { on_head, on_body, on_complete, on_closed, on_drained };

void
relay_caller_accept (gpointer user, QgH1Conn *conn)
{
  QgRelay *relay = user;
  RelayCaller *caller = g_new0 (RelayCaller, 1);

  caller->relay = relay;
  caller->conn = conn;
  caller->phase_began = qg_clock_now ();
  qg_h1_set_ops (conn, &caller_ops, caller);
  qg_h1_set_head_limit (conn, relay_limits (relay)->header_bytes);
  g_queue_push_tail (&relay->callers, caller);
  caller->link = relay->callers.tail;
  if (relay->listener != NULL)
    qg_h1_listener_share_receive (relay->listener, relay->bytes.kernel,
                                  relay->callers.length);
  evict_idle (relay);
}

/* Half of the file descriptors; the rest is for targets, peers and files. */
static guint
max_callers (const QgRelay *relay)
{
  return (guint)(relay->settings->relay.max_files / 2);
}

gboolean
relay_callers_near_limit (const QgRelay *relay)
{
  return relay->callers.length > max_callers (relay) / 2;
}

/* Refused callers tend to retry on new connections and to leave the old
 * connections open, so idle connections over the limit are closed. */
static void
evict_idle (QgRelay *relay)
{
  QgTime before = qg_clock_now () - RELAY_EVICT_IDLE_MS * QG_MSEC;
  GList *at = relay->callers.head;

  for (int i = 0; i < RELAY_EVICT_SCAN_MAX && at != NULL
                  && relay->callers.length > max_callers (relay);
       i++)
    {
      RelayCaller *caller = at->data;

      at = at->next;
      if (caller->call == NULL && caller->phase_began < before
          && !qg_h1_in_message (caller->conn)
          && !qg_h1_has_buffered (caller->conn)
          && !qg_h1_has_unread (caller->conn))
        close_after_flush (caller);
    }
}

void
relay_caller_close (RelayCaller *caller)
{
  g_queue_delete_link (&caller->relay->callers, caller->link);
  if (caller->conn != NULL)
    qg_h1_close (caller->conn);
  g_free (caller);
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  RelayCaller *caller = user;

  if (!relay_takes_request (caller->relay,
                            caller->relay->dialect->read_key (head)))
    {
      qg_h1_printf (conn, "%s", RELAY_LIMITED_RESPONSE);
      caller->close_after = TRUE;
      return;
    }
  caller->call = relay_call_new (caller, head);
  if (caller->call->early_status != 0)
    refuse_head (caller->call);
  else if (head->length > 0)
    relay_memory_take_body (caller->call, (gsize)head->length);
}

static void
refuse_head (RelayCall *call)
{
  const char *header = call->info.unreadable;
  g_autofree char *why
      = header != NULL
            ? g_strdup_printf ("the header %s cannot be read", header)
            : g_strdup ("the request head is malformed or announces a body "
                        "over the limit");

  relay_call_refuse (call, call->early_status, -1, why);
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
  RelayCaller *caller = user;

  if (caller->call != NULL)
    relay_call_add_body (caller->call, data, len);
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
  RelayCaller *caller = user;

  if (caller->call != NULL)
    relay_call_admit (caller->call);
  else if (caller->close_after)
    relay_caller_next (caller);
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  RelayCaller *caller = user;

  if (caller->call != NULL)
    relay_call_caller_left (caller->call);
  if (why == QG_H1_MALFORMED || why == QG_H1_HEAD_TOO_LARGE)
    reject_malformed (caller, why);
  relay_caller_close (caller);
}

static void
on_drained (gpointer user, QgH1Conn *conn)
{
  RelayCaller *caller = user;

  if (caller->call != NULL)
    relay_send_resume_reading (caller->call);
}

/* Refuses a malformed request and closes the connection, because it is unknown
 * where the request ends. */
static void
reject_malformed (RelayCaller *caller, QgH1End why)
{
  guint status = why == QG_H1_HEAD_TOO_LARGE ? 431 : 400;

  RELAY_COUNT (caller->relay, BAD);
  qg_event (QG_EV_CALL_BAD, "status=%u", status);
  qg_h1_printf (caller->conn,
                "HTTP/1.1 %u %s\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n",
                status,
                status == 431 ? "Header Fields Too Large" : "Bad Request");
  qg_h1_close_after_send (caller->conn);
  caller->conn = NULL;
}

void
relay_caller_next (RelayCaller *caller)
{
  caller->call = NULL;
  caller->phase_began = qg_clock_now ();
  if (caller->close_after)
    {
      close_after_flush (caller);
      return;
    }
  /* The queue is in order of last use. */
  g_queue_unlink (&caller->relay->callers, caller->link);
  g_queue_push_tail_link (&caller->relay->callers, caller->link);
  qg_h1_allow_next (caller->conn);
}

/* Closes the connection once the queued bytes are sent, which may include the
 * end of the last answer. */
static void
close_after_flush (RelayCaller *caller)
{
  qg_h1_close_after_send (caller->conn);
  caller->conn = NULL;
  relay_caller_close (caller);
}

/* Closes a connection that was idle too long or sent its request too slowly. A
 * draining relay closes idle connections once callers have had time to notice
 * the drain. */
static void
check_timeouts (RelayCaller *caller, QgTime now)
{
  const QgLimits *limits = relay_limits (caller->relay);
  QgTime idle = now - caller->phase_began;
  gboolean drains
      = caller->relay->draining
        && now - caller->relay->drain_began > RELAY_DRAIN_SERVE_MS * QG_MSEC;
  gboolean overdue;

  if (caller->call != NULL)
    {
      if (caller->call->state == RELAY_READING
          && idle > limits->idle_time + limits->header_time)
        relay_call_refuse (caller->call, 408, -1,
                           "timed out waiting for the request body");
      return;
    }
  if (!qg_h1_in_message (caller->conn))
    caller->head_began = 0;
  else if (caller->head_began == 0)
    caller->head_began = now;
  if (caller->head_began != 0 && caller->close_after)
    /* The rest of a request that was refused arrives. */
    overdue = idle > limits->idle_time + limits->header_time;
  else if (caller->head_began != 0)
    overdue = now - caller->head_began > limits->header_time;
  else
    overdue = idle > limits->idle_time || drains;
  /* A request in the socket's buffer would be lost without an answer. */
  if (overdue && !qg_h1_has_unread (caller->conn))
    close_after_flush (caller);
}

void
relay_callers_sweep (QgRelay *relay, QgTime now)
{
  GList *at = relay->callers.head;

  while (at != NULL)
    {
      RelayCaller *caller = at->data;

      at = at->next;
      check_timeouts (caller, now);
    }
}

void
relay_stop_accepting (QgRelay *relay)
{
  if (relay->listener == NULL)
    return;
  qg_h1_listener_accept (relay->listener);
  qg_h1_listener_free (relay->listener);
  relay->listener = NULL;
  qg_event (QG_EV_LISTENING_ENDED, "callers=%u calls=%u", relay->callers.length,
            relay->calls);
}
