#include "librelay.h"

#include <string.h>

/** Retry-After when no target ran the request. */
#define FULL_RETRY_AFTER (200 * QG_MSEC)

static void on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head);
static void on_body (gpointer user, QgH1Conn *conn, const char *data,
                     gsize len);
static void on_complete (gpointer user, QgH1Conn *conn);
static void on_closed (gpointer user, QgH1Conn *conn, QgH1End why);
static void write_request (RelayCall *call, RelayLink *link);
static void end_attempt (RelayCall *call, QgDispatchEnd end);
static void hear_notice (RelayCall *call, const QgH1Head *head);
static gboolean must_go_on (const RelayCall *call, const QgH1Head *head);
static gboolean promises_not_run (guint status);
static gboolean names_call (const QgAnswerInfo *answer_info,
                            const RelayCall *call);
static void fail_attempt (RelayCall *call, const char *why);
static void reject_weights (RelayCall *call);
static void handle_not_run (RelayCall *call, RelayLink *link);
static void handle_error (RelayCall *call, RelayLink *link,
                          const QgH1Head *head);
static void fail_call (RelayCall *call, const char *why);
static void forward_head (RelayCall *call, RelayLink *link,
                          const QgH1Head *head);
static void choose_framing (RelayCall *call, const QgH1Head *head);
static gboolean is_hop_by_hop (QgSlice name);
static gboolean is_event_stream (const RelayCall *call, const QgH1Head *head);
static void record_first_byte (RelayCall *call);
static void go_on (RelayCall *call, gboolean reached, const char *why);
static void check_survived (const RelayCall *call, RelayLink *link);
static void log_lost (const RelayCall *call, const char *why);

static const QgH1Ops target_ops
    = { on_head, on_body, on_complete, on_closed, NULL };

void
relay_send (RelayCall *call, QgDispatchTarget *target)
{
  QgRelay *relay = call->relay;
  RelayLink *link
      = relay_pool_acquire (relay, target->address, call, &target_ops);

  if (call->target != NULL)
    qg_dispatch_target_unref (call->target);
  call->target = qg_dispatch_target_ref (target);
  if (link == NULL)
    {
      qg_dispatch_end (relay->dispatch, &call->job, QG_DISPATCH_CONNECT_FAILED,
                       qg_clock_now ());
      if (!relay_resend (call, FALSE, "cannot open a connection to the target"))
        fail_call (call, "cannot open a connection to the target");
      return;
    }
  call->link = link;
  if (call->state == RELAY_WAITING)
    call->state = RELAY_SENT;
  call->sends++;
  call->judged = FALSE;
  call->judged_bad = FALSE;
  call->sent_version = target->version;
  call->sent_born_ms = target->born_ms;
  RELAY_COUNT (relay, SENT);
  relay_mesh_add_prefixes (call);
  if (call->job.service->is_model && call->sends == 1
      && call->workspace != NULL)
    qg_share_gate_started (relay->shares, call->workspace->name,
                           relay_call_units (call), call->job.sent);
  qg_event (QG_EV_CALL_SENT,
            "id=%s workspace=%s units=%.0f target=%s send=%u"
            " waited_ms=%" G_GINT64_FORMAT " unread=%" G_GINT64_FORMAT
            " kept=%u kept_most=%u ahead=%" G_GINT64_FORMAT
            " inflight=%u window=%.0f expected_ms=%" G_GINT64_FORMAT
            " version=%" G_GINT64_MODIFIER "x manifest=%" G_GUINT64_FORMAT
            " after=%" G_GINT64_FORMAT,
            relay_call_log_id (call), relay_call_workspace (call),
            relay_call_units (call), target->id, call->sends,
            (call->job.sent - call->job.arrived) / QG_MSEC, call->job.unread,
            call->job.cached, call->job.best_cached, call->job.tokens_ahead,
            target->inflight, target->window, call->job.expected / QG_MSEC,
            call->sent_version, call->manifest->version, call->sse.last_id);
  write_request (call, link);
  relay_end_expect (call);
}

static void
write_request (RelayCall *call, RelayLink *link)
{
  QgTime now = qg_clock_now ();
  GString *head = g_string_sized_new (call->headers->len + 512);
  QgAddedHeaders extra = { 0 };

  extra.target_id = call->target->id;
  extra.workspace = call->workspace != NULL ? call->workspace->name : NULL;
  extra.timeout = call->job.deadline - now;
  extra.resume_after = call->sse.last_id;
  extra.weights = call->info.weights == QG_WEIGHTS_NONE
                      ? call->sse.watched_value
                      : QG_WEIGHTS_NONE;
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n", call->method, call->url);
  g_string_append_len (head, call->headers->str, (gssize)call->headers->len);
  call->relay->dialect->write_added_headers (head, &extra);
  if (call->body->len > 0 || strcmp (call->method, "POST") == 0
      || strcmp (call->method, "PUT") == 0)
    g_string_append_printf (head, "Content-Length: %u\r\n", call->body->len);
  g_string_append (head, "\r\n");
  if (!qg_h1_has_body (call->method, 200))
    qg_h1_expect_no_body (link->conn);
  /* A target may begin late to read a body that its window does not hold. */
  if (call->body->len >= RELAY_BODY_AT_ONCE_BYTES)
    qg_h1_set_tcp_options (link->conn, call->job.deadline - now);
  qg_h1_write (link->conn, head->str, head->len);
  qg_h1_write_body (link->conn, call->body);
  g_string_free (head, TRUE);
}

static void
end_attempt (RelayCall *call, QgDispatchEnd end)
{
  RelayLink *link = call->link;

  if (link == NULL)
    return;
  call->link = NULL;
  link->call = NULL;
  relay_link_close (link);
  qg_dispatch_end (call->relay->dispatch, &call->job, end, qg_clock_now ());
}

void
relay_send_cancel (RelayCall *call, QgDispatchEnd end)
{
  relay_poison_unanswered (call, qg_clock_now ());
  end_attempt (call, end);
}

void
relay_send_resume_reading (RelayCall *call)
{
  if (call->link != NULL && call->link->conn != NULL)
    qg_h1_set_paused (call->link->conn, FALSE);
}

static void
fail_call (RelayCall *call, const char *why)
{
  if (call->state == RELAY_FORWARDING)
    relay_send_abort (call, why);
  else if (call->may_have_run)
    relay_call_refuse (call, 502, -1, why);
  else
    relay_call_refuse (call, 503, FULL_RETRY_AFTER, why);
}

void
relay_send_abort (RelayCall *call, const char *why)
{
  RelayCaller *caller = call->caller;
  char events[QG_SSE_TEXT_BYTES];

  relay_poison_unanswered (call, qg_clock_now ());
  end_attempt (call, QG_DISPATCH_FAILED);
  RELAY_COUNT (call->relay, BROKEN);
  qg_event (QG_EV_CALL_BROKEN,
            "id=%s sends=%u again=%s after_ms=%" G_GINT64_FORMAT " %s why=%s",
            relay_call_log_id (call), call->sends,
            call->no_resend_reason != NULL ? call->no_resend_reason : "-",
            (qg_clock_now () - call->job.arrived) / QG_MSEC,
            relay_stream_format (call, events), why);
  /* Queued bytes are still delivered; the missing end marks the answer as
   * incomplete. */
  call->caller = NULL;
  relay_call_end (call);
  caller->call = NULL;
  qg_h1_close_after_send (caller->conn);
  caller->conn = NULL;
  relay_caller_close (caller);
}

static void
on_head (gpointer user, QgH1Conn *conn, const QgH1Head *head)
{
  RelayLink *link = user;
  RelayCall *call = link->call;
  QgAnswerInfo *answer_info = &link->answer_info;

  if (head->status < 200 || call == NULL)
    return;
  call->relay->dialect->read_answer (head, answer_info);
  link->status = head->status;
  link->until_close = head->until_close;
  link->is_event_stream = is_event_stream (call, head);
  link->keep_alive
      = head->keep_alive && !head->until_close && qg_h1_unsent (conn) == 0;
  /* Skips the answer to an earlier request on this connection. */
  link->discard
      = answer_info->attempt.len > 0 && !names_call (answer_info, call);
  if (link->discard)
    return;
  if (!link->reused || names_call (answer_info, call))
    hear_notice (call, head);
  if (head->status != 421)
    {
      relay_poison_target_answers (call);
      relay_version_stated (call, answer_info->weights, qg_clock_now ());
    }
  /* An answer without an id may be a late copy of an earlier one. */
  if (link->reused && !names_call (answer_info, call))
    fail_attempt (call, "the answer on a reused connection names no request");
  else if (answer_info->not_run)
    handle_not_run (call, link);
  else if (promises_not_run (head->status))
    fail_attempt (call, "the target refused the request without stating that "
                        "it did not run it");
  else if (head->status >= 300)
    handle_error (call, link, head);
  else if (!answer_info->sealed
           || qg_h1_header (head, "Content-Encoding").len > 0)
    fail_attempt (call, "the answer has no seal that can be checked");
  else if (!link->is_event_stream && must_go_on (call, head))
    fail_attempt (call, "the answer does not continue the event stream");
  else if (!relay_stream_fits (call, link))
    reject_weights (call);
  else if (call->state == RELAY_FORWARDING)
    {
      link->forwarding = TRUE; /* resumed stream: its head was already sent */
      relay_stream_begin_run (call, link);
      relay_end_watch (call);
      link->began = qg_clock_now ();
      qg_dispatch_answered (call->relay->dispatch, &call->job, qg_clock_now ());
    }
  else
    forward_head (call, link, head);
}

/* Whether only a stream can be the answer: the caller has a part of it. By 204
 * a target tells a caller that nothing follows. */
static gboolean
must_go_on (const RelayCall *call, const QgH1Head *head)
{
  if (call->state == RELAY_FORWARDING)
    return TRUE;
  return call->sse.ordered && call->sse.goes_on
         && qg_h1_has_body (call->method, head->status);
}

/* Whether callers take this status for a promise that the request has not run.
 * From a target it is none. */
static gboolean
promises_not_run (guint status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* What a target says about itself holds also if its answer cannot be
 * forwarded. */
static void
hear_notice (RelayCall *call, const QgH1Head *head)
{
  QgNoticeState *notices = &call->target->notices;
  QgTime now = qg_clock_now ();
  QgNotice notice;
  guint changes;

  call->relay->dialect->read_notice (head, &notice);
  changes = qg_dispatch_hear (call->relay->dispatch, &call->job, &notice, now);
  if (qg_notice_announce (notices, changes, now))
    relay_mesh_add_limit (call);
  if (changes != 0)
    qg_event (QG_EV_TARGET_NOTICE,
              "id=%s target=%s limit=%.2f leaving=%d pause_ms=%" G_GINT64_FORMAT
              " sent_ms=%" G_GINT64_FORMAT,
              relay_call_log_id (call), call->target->id,
              notices->limited ? notices->limit : -1, notices->leaving,
              MAX (notices->paused_until - now, 0) / QG_MSEC,
              (now - call->job.sent) / QG_MSEC);
}

/* Answers of a streaming route without a type are event streams too. */
static gboolean
is_event_stream (const RelayCall *call, const QgH1Head *head)
{
  if (head->status >= 300 || !qg_h1_has_body (call->method, head->status))
    return FALSE;
  if (qg_h1_header (head, "Content-Type").len == 0)
    return call->route->is_streaming;
  return qg_h1_is_event_stream (head);
}

static gboolean
names_call (const QgAnswerInfo *answer_info, const RelayCall *call)
{
  return answer_info->attempt.len > 0
         && qg_slice_equals (answer_info->attempt, call->attempt);
}

/* Ends an attempt whose answer cannot be used, although the target may have run
 * the request. */
static void
fail_attempt (RelayCall *call, const char *why)
{
  call->may_have_run = TRUE;
  relay_rollout_failed (call);
  end_attempt (call, QG_DISPATCH_FAILED);
  if (!relay_resend (call, TRUE, why))
    fail_call (call, why);
}

/* The target began to run the request, although it was told which weights are
 * needed. It serves others well. */
static void
reject_weights (RelayCall *call)
{
  const char *why = "the target has other weights than the stream so far";

  call->may_have_run = TRUE;
  end_attempt (call, QG_DISPATCH_WRONG_WEIGHTS);
  if (!relay_resend (call, TRUE, why))
    fail_call (call, why);
}

static void
handle_not_run (RelayCall *call, RelayLink *link)
{
  QgDispatchEnd end = QG_DISPATCH_FULL;

  RELAY_COUNT (call->relay, NOT_RUN);
  if (link->status == 421)
    end = relay_stream_has_expectation (call) ? QG_DISPATCH_WRONG_WEIGHTS
                                              : QG_DISPATCH_WRONG_TARGET;
  if (end == QG_DISPATCH_WRONG_TARGET)
    relay_poison_target_ended (call->relay, call->target->id,
                               call->sent_born_ms, qg_clock_now ());
  end_attempt (call, end);
  if (!relay_resend (call, TRUE, "the target did not run the request"))
    fail_call (call, "no target accepted the request");
}

/* After a 5xx response, sends the request to another target if the request may
 * be resent. Otherwise forwards the response, or aborts the answer if its head
 * was already forwarded. */
static void
handle_error (RelayCall *call, RelayLink *link, const QgH1Head *head)
{
  call->may_have_run = TRUE;
  if (head->status >= 500
      && (call->route->repeat == QG_REPEAT_SAFE || call->resumed)
      && call->sends < call->route->max_targets)
    {
      fail_attempt (call, "the target answered with an error");
      return;
    }
  if (call->state == RELAY_FORWARDING)
    {
      relay_rollout_failed (call);
      relay_send_abort (call, "the target refused to resume the stream");
      return;
    }
  forward_head (call, link, head);
}

/* An answer of unknown length ends with the connection of a caller that knows
 * no chunks. A break has to end that connection in another way. */
static void
choose_framing (RelayCall *call, const QgH1Head *head)
{
  gboolean unsized;

  call->has_body = qg_h1_has_body (call->method, head->status);
  unsized = call->has_body && (head->chunked || head->until_close);
  call->chunked = unsized && !call->http_1_0;
  call->until_close = unsized && call->http_1_0;
  if (!call->until_close)
    return;
  call->keep_alive = FALSE;
  qg_h1_end_by_reset (call->caller->conn);
}

static gboolean
is_hop_by_hop (QgSlice name)
{
  static const char *const hop[]
      = { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
          "Upgrade",    "Trailer",    "Proxy-Authenticate" };

  for (gsize i = 0; i < G_N_ELEMENTS (hop); i++)
    if (qg_slice_is (name, hop[i]))
      return TRUE;
  return FALSE;
}

static void
forward_head (RelayCall *call, RelayLink *link, const QgH1Head *head)
{
  QgH1Conn *to = call->caller->conn;
  GString *out = g_string_sized_new (512);

  call->may_have_run = TRUE;
  if (head->status >= 500)
    relay_rollout_answered (call, head->status, qg_clock_now ());
  call->state = RELAY_FORWARDING;
  relay_end_watch (call);
  /* The caller may read slowly, as long as its time limit. */
  qg_h1_set_tcp_options (
      to, MAX (call->job.deadline - qg_clock_now (), QG_H1_SILENCE));
  link->forwarding = TRUE;
  link->began = qg_clock_now ();
  relay_call_limit_keep_alive (call);
  choose_framing (call, head);
  call->is_event_stream = link->is_event_stream;
  if (link->is_event_stream)
    relay_stream_begin_run (call, link);
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", head->status,
                          head->status < 300 ? "OK" : "Error");
  for (guint i = 0; i < head->n_headers; i++)
    if (!is_hop_by_hop (head->headers[i].name))
      {
        const QgH1Header *header = &head->headers[i];

        g_string_append_len (out, header->name.data, (gssize)header->name.len);
        g_string_append (out, ": ");
        g_string_append_len (out, header->value.data,
                             (gssize)header->value.len);
        g_string_append (out, "\r\n");
      }
  if (call->chunked)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else if (!call->until_close
           && (call->has_body || (head->length >= 0 && head->status != 204)))
    g_string_append_printf (out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            MAX (head->length, 0));
  if (!call->keep_alive)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  qg_h1_write (to, out->str, out->len);
  g_string_free (out, TRUE);
  if (!call->route->resumable)
    relay_memory_drop_body (call);
}

/* The time to first byte ends with the first byte of the body (in a stream, of
 * its first event), not with the head. */
static void
record_first_byte (RelayCall *call)
{
  QgTime now = qg_clock_now ();

  call->body_began = TRUE;
  call->first_at = now;
  relay_histogram_add (&call->relay->first_byte_times, now - call->job.arrived);
  relay_rollout_answered (call, call->link->status, now);
  qg_dispatch_answered (call->relay->dispatch, &call->job, now);
}

static void
on_body (gpointer user, QgH1Conn *conn, const char *data, gsize len)
{
  RelayLink *link = user;
  RelayCall *call = link->call;

  if (call != NULL && link->discard
      && (link->discarded += len) > RELAY_DISCARD_MAX_BYTES)
    {
      fail_attempt (call, "the target sends an answer to another request "
                          "without end");
      return;
    }
  if (call == NULL || !link->forwarding)
    return;
  if (!call->body_began)
    record_first_byte (call);
  call->answer_bytes += len;
  check_survived (call, link);
  if (!link->is_event_stream)
    relay_send_data (call, data, len);
  else if (!relay_stream_forward (call, data, len))
    return;
  if (qg_h1_unsent (call->caller->conn) > relay_memory_unsent_max (call->relay))
    qg_h1_set_paused (conn, TRUE);
}

static void
check_survived (const RelayCall *call, RelayLink *link)
{
  QgTime now = qg_clock_now ();

  if (link->survived || now - link->began < QG_PARTWATCH_SURVIVED)
    return;
  link->survived = TRUE;
  relay_poison_survived (call, now);
}

void
relay_send_data (RelayCall *call, const char *data, gsize len)
{
  QgH1Conn *to = call->caller->conn;

  if (len == 0)
    return;
  if (call->chunked)
    qg_h1_printf (to, "%" G_GSIZE_MODIFIER "x\r\n", len);
  qg_h1_write (to, data, len);
  if (call->chunked)
    qg_h1_write (to, "\r\n", 2);
}

static void
on_complete (gpointer user, QgH1Conn *conn)
{
  RelayLink *link = user;
  RelayCall *call = link->call;

  if (link->discard)
    {
      link->discard = FALSE;
      link->keep_alive = FALSE;
      qg_h1_allow_next (conn);
      return;
    }
  if (call == NULL || !link->forwarding)
    return;
  if (link->is_event_stream && !relay_stream_may_end (call, link))
    {
      relay_send_lose (call, TRUE, "the target ended the event stream early");
      return;
    }
  relay_end_answer (call);
}

static void
on_closed (gpointer user, QgH1Conn *conn, QgH1End why)
{
  RelayLink *link = user;
  RelayCall *call = link->call;
  gboolean reached = why != QG_H1_CONNECT_FAILED;
  const char *reason = reached ? "the target closed the connection early"
                               : "cannot connect to the target";

  if (call == NULL)
    {
      relay_link_close (link);
      return;
    }
  relay_send_lose (call, reached, reason);
}

void
relay_send_lose (RelayCall *call, gboolean reached, const char *why)
{
  call->may_have_run = call->may_have_run || reached;
  log_lost (call, why);
  relay_rollout_failed (call);
  if (reached)
    relay_poison_crashed (call, qg_clock_now ());
  end_attempt (call, reached ? QG_DISPATCH_CONNECTION_LOST
                             : QG_DISPATCH_CONNECT_FAILED);
  go_on (call, reached, why);
}

void
relay_send_reject (RelayCall *call, const char *why)
{
  call->may_have_run = TRUE;
  relay_rollout_failed (call);
  log_lost (call, why);
  end_attempt (call, QG_DISPATCH_FAILED);
  go_on (call, TRUE, why);
}

/* Resends the request or resumes its stream at another target, or else ends the
 * call. */
static void
go_on (RelayCall *call, gboolean reached, const char *why)
{
  call->resumed
      = call->state == RELAY_FORWARDING && relay_stream_may_resume (call);
  if ((call->state != RELAY_FORWARDING || call->resumed)
      && relay_resend (call, reached, why))
    return;
  fail_call (call, why);
}

/* Names the parts of the prompt, to find one that several crashes share. */
static void
log_lost (const RelayCall *call, const char *why)
{
  char parts[QG_PARTS_MAX * (2 * sizeof call->job.parts[0].id + 1) + 1] = "-";
  char events[QG_SSE_TEXT_BYTES];
  gsize len = 0;

  for (guint i = 0; i < call->job.n_parts; i++)
    len += (gsize)g_snprintf (parts + len, sizeof parts - len,
                              "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                              call->job.parts[i].id);
  qg_event (QG_EV_TARGET_FAILED, "id=%s target=%s began=%d parts=%s %s why=%s",
            relay_call_log_id (call), call->target->id, call->link->forwarding,
            parts, relay_stream_format (call, events), why);
}
