#include "librelay.h"

#include <string.h>

static const char *reason_phrase (guint status);
static void format_share (const RelayCall *call, char *text, gsize size,
                          QgTime now);
static void write_refusal (RelayCall *call, guint status, QgTime retry_after,
                           const char *why);
static void log_refusal (const RelayCall *call, guint status,
                         QgTime retry_after, const char *why);

static const char *
reason_phrase (guint status)
{
  static const struct
  {
    guint status;
    const char *reason;
  } reasons[] = {
    { 400, "Bad Request" },       { 401, "Unauthorized" },
    { 404, "Not Found" },         { 408, "Request Timeout" },
    { 413, "Content Too Large" }, { 429, "Too Many Requests" },
    { 502, "Bad Gateway" },       { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Error";
}

/* Formats the inputs of the share decision; empty for a request within the
 * share of its workspace. */
static void
format_share (const RelayCall *call, char *text, gsize size, QgTime now)
{
  QgShareInputs in;

  text[0] = '\0';
  if (call->share == QG_SHARE_OWED || call->workspace == NULL)
    return;
  in = qg_share_gate_inputs (call->relay->shares, call->workspace->name, now);
  g_snprintf (text, size,
              " units=%.0f here=%.0f total=%.0f level=%.0f spare_level=%.0f"
              " level_age_ms=%" G_GINT64_FORMAT,
              relay_call_units (call), in.local_demand, in.total_demand,
              in.level, in.spare_level, in.level_age / QG_MSEC);
}

/* Logs what led to the refusal: the request's position in its share, the queue
 * length, and the age of the manifest and the permit. */
static void
log_refusal (const RelayCall *call, guint status, QgTime retry_after,
             const char *why)
{
  static const char *const shares[] = { "owed", "spare", "beyond" };
  const QgRelay *relay = call->relay;
  QgTime now = qg_clock_now ();
  QgTime asked = relay->board->permit_until - QG_BOARD_DEFAULT_PERMIT_US;
  char share[256];
  char bar[64] = "";

  if (qg_dispatch_bar (&call->job) != QG_NOTICE_CLEAR)
    g_snprintf (bar, sizeof bar, " bar=%s bar_age_ms=%" G_GINT64_FORMAT,
                qg_notice_name (qg_dispatch_bar (&call->job)),
                qg_dispatch_bar_age (&call->job) / QG_MSEC);
  format_share (call, share, sizeof share, now);
  qg_event (QG_EV_CALL_REFUSED,
            "id=%s status=%u again=%s retry_after_ms=%" G_GINT64_FORMAT
            " after_ms=%" G_GINT64_FORMAT
            " sends=%u run=%s workspace=%s share=%s%s%s waiting=%u targets=%u"
            " manifest=%" G_GUINT64_FORMAT " permit_age_ms=%" G_GINT64_FORMAT
            " why=%s",
            relay_call_log_id (call), status,
            call->no_resend_reason != NULL ? call->no_resend_reason : "-",
            retry_after < 0 ? -1 : retry_after / QG_MSEC,
            (now - call->job.arrived) / QG_MSEC, call->sends,
            call->may_have_run ? "unknown" : "not-run",
            relay_call_workspace (call), shares[call->share], share, bar,
            qg_dispatch_waiting_count (relay->dispatch),
            qg_dispatch_target_count (relay->dispatch),
            call->manifest != NULL ? call->manifest->version : 0,
            (now - asked) / QG_MSEC, why);
}

static void
write_refusal (RelayCall *call, guint status, QgTime retry_after,
               const char *why)
{
  QgH1Conn *conn = call->caller->conn;
  char wait[64] = "";

  if (retry_after >= 0)
    g_snprintf (wait, sizeof wait, "Retry-After: %.3f\r\n",
                (double)retry_after / (double)QG_SEC);
  if (status == 502 || status == 504)
    RELAY_COUNT (call->relay, FAILED);
  else
    RELAY_COUNT (call->relay, REFUSED);
  log_refusal (call, status, retry_after, why);
  /* In state RELAY_READING, only 401, 404 and 503 follow a body that was read
   * whole. For any other status the connection is closed, because the rest of
   * the body would be parsed as a request. */
  if (call->state == RELAY_READING && status != 404 && status != 401)
    call->keep_alive = call->keep_alive && status == 503;
  relay_call_limit_keep_alive (call);
  call->keep_alive
      = call->keep_alive && !relay_callers_near_limit (call->relay);
  qg_h1_printf (conn,
                "HTTP/1.1 %u %s\r\n%s%sContent-Type: text/plain\r\n"
                "Content-Length: %u\r\n\r\n%s\n",
                status, reason_phrase (status), wait,
                call->keep_alive ? "" : "Connection: close\r\n",
                (guint)strlen (why) + 1, why);
}

/* A relay that shuts down closes the connection behind this answer, unless the
 * caller has already sent its next request. */
void
relay_call_limit_keep_alive (RelayCall *call)
{
  const QgH1Conn *conn = call->caller->conn;

  if (call->relay->draining && !qg_h1_has_buffered (conn)
      && !qg_h1_has_unread (conn))
    call->keep_alive = FALSE;
}

void
relay_call_refuse (RelayCall *call, guint status, QgTime retry_after,
                   const char *why)
{
  write_refusal (call, status, retry_after, why);
  relay_call_end (call);
}

void
relay_call_refuse_unread (RelayCall *call, guint status, QgTime retry_after,
                          const char *why)
{
  RelayCaller *caller = call->caller;

  call->keep_alive = FALSE;
  write_refusal (call, status, retry_after, why);
  caller->close_after = TRUE;
  caller->call = NULL;
  call->caller = NULL;
  relay_call_end (call);
}
