#include "librelay.h"

/* An answer that has neither a length nor chunks ends with its connection. A
 * target that crashes closes its connections in the same way, so such an answer
 * is complete only if the target lived on. */

/** Routes that are remembered to have answers without a length. */
#define UNSIZED_ROUTES_MAX 4096
/** How long before the deadline a target may stop at the time limit that it was
 * given in whole milliseconds, and that began when the request arrived. */
#define DEADLINE_MARGIN (20 * QG_MSEC)

static void open_check (RelayCall *call);
static void remember_framing (const RelayCall *call);
static gboolean is_of_target (guint status, const QgAnswerInfo *info);
static void write_check (gpointer user, GString *out,
                         const QgEndCheckTarget *target);
static QgEndCheckAnswer read_check (gpointer user, const QgH1Head *head,
                                    const QgEndCheckTarget *target);
static void on_decided (gpointer user, const QgAliveEnd *end);
static void finish (RelayCall *call);
static void log_answered (const RelayCall *call, const RelayLink *link,
                          QgTime now);

static void
write_check (gpointer user, GString *out, const QgEndCheckTarget *target)
{
  QgRelay *relay = ((RelayLink *)user)->relay;

  relay->end_checks++;
  relay->dialect->write_check (out, target->address, target->path, target->id);
}

static QgEndCheckAnswer
read_check (gpointer user, const QgH1Head *head, const QgEndCheckTarget *target)
{
  const QgRelay *relay = ((RelayLink *)user)->relay;
  QgAnswerInfo info;
  QgEndCheckAnswer answer;

  relay->dialect->read_answer (head, &info);
  answer.counts = is_of_target (head->status, &info);
  answer.same
      = head->status != 421
        && (info.target.len == 0 || qg_slice_equals (info.target, target->id));
  return answer;
}

/* A gateway's status shows nothing of the target behind it. */
static gboolean
is_of_target (guint status, const QgAnswerInfo *info)
{
  return info->target.len > 0 || (status != 502 && status != 504);
}

static void
open_check (RelayCall *call)
{
  RelayLink *link = call->link;
  QgEndCheckOptions options = { .loop = link->relay->loop,
                                .target = { call->target->id, link->address,
                                            call->job.service->check_path },
                                .write_check = write_check,
                                .read_answer = read_check,
                                .decided = on_decided,
                                .user = link };

  link->endcheck = qg_endcheck_new (&options);
}

/* Answers of a route are framed alike as a rule. */
static void
remember_framing (const RelayCall *call)
{
  GHashTable *routes = call->relay->unsized_routes;

  if (!call->link->until_close)
    {
      g_hash_table_remove (routes, call->route->name);
      return;
    }
  if (g_hash_table_size (routes) >= UNSIZED_ROUTES_MAX)
    g_hash_table_remove_all (routes);
  g_hash_table_add (routes, qg_str_ref (call->route->name));
}

/* If this relay stands still during the whole answer, or the target stops
 * listening before it answers, only a connection from before the answer shows
 * who ended it. A request that is sent again was refused as a rule, by targets
 * that may have too many connections already. */
void
relay_end_expect (RelayCall *call)
{
  if (call->sends > 1 && !call->resumed)
    return;
  if (g_hash_table_contains (call->relay->unsized_routes, call->route->name))
    open_check (call);
}

void
relay_end_watch (RelayCall *call)
{
  RelayLink *link = call->link;

  remember_framing (call);
  if (!link->until_close)
    g_clear_pointer (&link->endcheck, qg_endcheck_free);
  else if (link->endcheck == NULL)
    open_check (call);
}

void
relay_end_answer (RelayCall *call)
{
  RelayLink *link = call->link;

  if (!link->until_close)
    {
      finish (call);
      return;
    }
  if (qg_clock_now () >= call->job.deadline - DEADLINE_MARGIN)
    {
      relay_send_reject (call, "the target may have stopped at the deadline");
      return;
    }
  qg_endcheck_ended (link->endcheck, link->conn);
  g_clear_pointer (&link->conn, qg_h1_close);
}

static void
on_decided (gpointer user, const QgAliveEnd *end)
{
  RelayLink *link = user;

  if (end->verdict == QG_ALIVE_LIVED || qg_endcheck_is_cut (link->endcheck))
    relay_end_decide (link->call, end, end->verdict);
  else
    relay_life_ask (link->call, end);
}

void
relay_end_decide (RelayCall *call, const QgAliveEnd *end,
                  QgAliveVerdict verdict)
{
  RelayLink *link = call->link;
  QgTime now = qg_clock_now ();

  if (qg_endcheck_is_cut (link->endcheck))
    verdict = QG_ALIVE_UNPROVEN;
  g_clear_pointer (&link->life_ask, relay_life_cancel);
  call->relay->end_verdicts[verdict]++;
  qg_event (QG_EV_END_CHECKED,
            "id=%s target=%s verdict=%s waited_ms=%" G_GINT64_FORMAT
            " unseen_ms=%" G_GINT64_FORMAT " held_up_ms=%" G_GINT64_FORMAT
            " events=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT,
            relay_call_log_id (call), call->target->id, qg_alive_name (verdict),
            (now - end->closed_at) / QG_MSEC,
            (end->closed_at - end->open_at) / QG_MSEC,
            qg_endcheck_held_up (link->endcheck) / QG_MSEC, call->sse.events,
            call->answer_bytes);
  if (verdict == QG_ALIVE_LIVED || verdict == QG_ALIVE_CALLED)
    finish (call);
  else if (verdict == QG_ALIVE_ENDED)
    relay_send_lose (call, TRUE, "the target ended before it ended its answer");
  else
    relay_send_reject (call, "whether the answer is whole is not known");
}

static void
finish (RelayCall *call)
{
  RelayLink *link = call->link;
  QgTime now = qg_clock_now ();

  if (link->is_event_stream)
    relay_stream_end (call);
  call->link = NULL;
  link->call = NULL;
  if (call->chunked)
    qg_h1_printf (call->caller->conn, "0\r\n\r\n");
  if (call->until_close)
    qg_h1_end_in_order (call->caller->conn);
  qg_dispatch_end (call->relay->dispatch, &call->job,
                   link->status >= 500 ? QG_DISPATCH_FAILED : QG_DISPATCH_OK,
                   now);
  RELAY_COUNT (call->relay, ANSWERED);
  relay_histogram_add (&call->relay->answer_times, now - call->job.arrived);
  log_answered (call, link, now);
  if (link->status < 300 && !link->survived)
    relay_poison_survived (call, now);
  relay_pool_release (link);
  relay_call_end (call);
}

static void
log_answered (const RelayCall *call, const RelayLink *link, QgTime now)
{
  char events[QG_SSE_TEXT_BYTES];

  qg_event (QG_EV_CALL_ANSWERED,
            "id=%s target=%s status=%u sends=%u after_ms=%" G_GINT64_FORMAT
            " first_ms=%" G_GINT64_FORMAT " read_ms=%" G_GINT64_FORMAT
            " unread=%" G_GINT64_FORMAT
            " until_close=%d bytes=%" G_GUINT64_FORMAT
            " events=%" G_GUINT64_FORMAT " pending=%" G_GSIZE_FORMAT " %s",
            relay_call_log_id (call), call->target->id, link->status,
            call->sends, (now - call->job.arrived) / QG_MSEC,
            (call->first_at - call->job.arrived) / QG_MSEC,
            (call->first_at - call->job.sent) / QG_MSEC, call->job.unread,
            link->until_close, call->answer_bytes, call->sse.events,
            call->sse.pending, relay_stream_format (call, events));
}
