#include "libagent.h"

#include "dialect.h"
#include "lib/event.h"

#include <string.h>

enum
{
  /* In addition to QgRunEnd: the target answered that it is overloaded. */
  END_OVERLOADED = QG_RUN_CANCELLED + 1,
};

typedef struct
{
  QgColdSignal signal;
  Qg__Run run;
  QgStatus status;
  gboolean retry;
  gboolean crashed;
  const char *outcome; /* outcome for trace spans */
} EndInfo;

static const EndInfo end_infos[] = {
  [QG_RUN_COMPLETE]
  = { QG_COLD_OK, QG__RUN__RUN_RAN, QG_OK, FALSE, FALSE, "answered" },
  [QG_RUN_NOT_SENT] = { QG_COLD_REFUSED, QG__RUN__RUN_NOT_RUN, QG_E_UNAVAILABLE,
                        TRUE, FALSE, "not-sent" },
  [QG_RUN_CONNECTION_LOST]
  = { QG_COLD_RESET, QG__RUN__RUN_UNKNOWN, QG_E_UNKNOWN, TRUE, TRUE, "broken" },
  [QG_RUN_CANCELLED] = { QG_COLD_NEUTRAL, QG__RUN__RUN_UNKNOWN, QG_E_UNKNOWN,
                         FALSE, FALSE, "cancelled" },
  [END_OVERLOADED] = { QG_COLD_BUSY, QG__RUN__RUN_UNKNOWN, QG_E_UNAVAILABLE,
                       TRUE, FALSE, "busy" },
};

static QgMeterKind meter_kind (const QgAgentJob *job);
static void hear_notice (QgAgentJob *job, const QgH1Head *head);
static void read_framing (QgAgentJob *job, const QgH1Head *head);
static gboolean is_cut_off (const QgAgentJob *job);
static void on_head (gpointer user, const QgH1Head *head);
static GBytes *pack_head (const QgH1Head *head);
static gboolean is_end_to_end (QgSlice name);
static void free_header (gpointer data);
static void record_start (QgAgentJob *job, const QgH1Head *head);
static void on_data (gpointer user, const guint8 *data, gsize len);
static void on_end (gpointer user, QgRunEnd end, const char *message);
static gboolean end_isolation (QgAgentJob *job, QgRunEnd end, guint64 *next);
static void record_answers_begun (QgAgent *agent);
static void settle_claim (QgAgentJob *job, QgRunEnd end);
static void end_answer (QgAgentJob *job, const EndInfo *info, guint64 units,
                        const char *message);
static void finish_answer (QgAgentJob *job, guint64 units);
static void fail_answer (QgAgentJob *job, const EndInfo *info,
                         const char *message);
static void arm_deadline (QgAgentJob *job, QgTime left);
static gboolean on_deadline (gpointer user);
static void time_out_readers (QgAgentJob *job);
static void assign_free (Qg__Assign *assign);
static gboolean may_start (const QgAgent *agent);
static void return_job (QgAgentJob *job);
static QgAgentJob *find_job (const QgAgent *agent, guint64 number);

static gboolean is_overloaded (const QgAgentJob *job);

static const QgRunOps run_ops = { on_head, on_data, on_end };

void
qg_agent_job_proceed (QgAgentJob *job)
{
  if (job->once)
    qg_agent_claim (job);
  else
    qg_agent_job_start (job);
}

void
qg_agent_job_start (QgAgentJob *job)
{
  QgAgent *agent = job->agent;

  job->stage = QG_AGENT_RUNNING;
  job->run = qg_run_start (agent->runs, agent->config->target, job->assign,
                           &run_ops, job);
  if (job->run == NULL)
    {
      qg_event (QG_EV_TARGET_BAD_REQUEST, "%s %s", job->assign->method,
                job->assign->path);
      on_end (job, QG_RUN_NOT_SENT, "the request path is not a valid URI");
      return;
    }
  qg_isolate_sent (agent->isolate, job->number);
  if (!job->once)
    g_clear_pointer (&job->assign, assign_free);
  arm_deadline (job, job->deadline - qg_clock_now ());
}

void
qg_agent_job_refuse (QgAgentJob *job, Qg__ReplyFail *fail)
{
  QgAgent *agent = job->agent;
  gboolean has_next;
  guint64 next = 0;

  if (job->slot != NULL)
    qg_sched_done (agent->sched, qg_clock_now (), job->slot, 0,
                   QG_COLD_NEUTRAL);
  qg_span_end (agent->trace, &job->span, job->workspace, agent->config->service,
               "refused");
  if (job->answer != NULL)
    {
      qg_agent_answer_fail (job->answer, fail);
      qg_answer_drop (job->answer);
    }
  has_next = qg_isolate_end (agent->isolate, job->number, QG_ISOLATE_NOT_SENT,
                             &next);
  qg_agent_job_free (job, has_next, next);
}

void
qg_agent_job_abandon (QgAgentJob *job)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  if (job->once && job->stage != QG_AGENT_HELD)
    return;
  if (job->stage == QG_AGENT_HELD)
    {
      qg_agent_job_refuse (job, &fail);
      return;
    }
  qg_answer_drop (job->answer);
  job->answer = NULL;
  qg_run_cancel (job->run);
}

void
qg_agent_job_set_paused (QgAgentJob *job, gboolean paused)
{
  qg_run_set_paused (job->run, paused);
  qg_isolate_set_paused (job->agent->isolate, job->number, paused);
}

void
qg_agent_job_free (QgAgentJob *job, gboolean has_next, guint64 next)
{
  QgAgent *agent = job->agent;
  QgAgentJob *held;

  g_hash_table_remove (agent->jobs, job);
  if (job->timer != 0)
    g_source_remove (job->timer);
  g_clear_pointer (&job->assign, assign_free);
  qg_meter_free (job->meter);
  g_free (job->workspace);
  g_free (job);
  held = has_next ? find_job (agent, next) : NULL;
  if (held != NULL && may_start (agent))
    qg_agent_job_proceed (held);
  else if (held != NULL)
    return_job (held);
  qg_agent_update_admission (agent);
  qg_agent_pump (agent);
}

/* Whether a request that was held may start, as the scheduler would decide. */
static gboolean
may_start (const QgAgent *agent)
{
  const QgBoard *board = agent->board;

  return qg_board_may_start_work (board, qg_clock_now ())
         || (agent->settings->daemon.cut_off == QG_CUT_OFF_SERVE
             && qg_board_dc_in_service (board, agent->settings->daemon.dc));
}

static void
return_job (QgAgentJob *job)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;
  QgAnswerReader *reader;

  while ((reader = qg_answer_nth_reader (job->answer, 0)) != NULL)
    {
      qg_agent_bounce (qg_answer_reader_user (reader),
                       qg_answer_reader_origin (reader)->id);
      qg_answer_detach (reader, qg_clock_now ());
    }
  qg_agent_job_refuse (job, &fail);
}

static void
on_head (gpointer user, const QgH1Head *head)
{
  QgAgentJob *job = user;
  GBytes *packed;

  job->status = head->status;
  record_start (job, head);
  if (job->slot != NULL)
    hear_notice (job, head);
  read_framing (job, head);
  if (meter_kind (job) == QG_METER_JSON)
    {
      qg_meter_free (job->meter);
      job->meter = qg_meter_new (QG_METER_JSON, 0, qg_clock_now ());
    }
  if (job->answer == NULL || is_overloaded (job))
    return;
  packed = pack_head (head);
  qg_answer_set_head (job->answer, packed);
  g_bytes_unref (packed);
  qg_agent_answer_pump (job->answer);
}

static void
record_start (QgAgentJob *job, const QgH1Head *head)
{
  QgAgent *agent = job->agent;
  QgSlice field = qg_h1_header (head, "X-Boot-Id");
  g_autofree char *boot_id = g_strndup (field.data, field.len);
  gboolean same_start
      = field.len > 0 && g_strcmp0 (boot_id, agent->boot_id) == 0;

  qg_agent_check_boot_id (agent, boot_id);
  qg_isolate_answer_began (agent->isolate, job->number, same_start);
}

static void
hear_notice (QgAgentJob *job, const QgH1Head *head)
{
  QgAgent *agent = job->agent;
  const QgNoticeState *notices = qg_sched_notices (agent->sched, 0);
  QgTime now = qg_clock_now ();
  QgNotice notice;

  qg_platform_dialect ()->read_notice (head, &notice);
  if (qg_sched_hear (agent->sched, now, job->slot, &notice) != 0)
    qg_event (QG_EV_TARGET_NOTICE,
              "target=%s limit=%.2f leaving=%d pause_ms=%" G_GINT64_FORMAT,
              agent->config->name, notices->limited ? notices->limit : -1,
              notices->leaving, MAX (notices->paused_until - now, 0) / QG_MSEC);
}

static void
read_framing (QgAgentJob *job, const QgH1Head *head)
{
  job->is_event_stream = qg_h1_is_event_stream (head);
  job->until_close = head->until_close;
  qg_sse_init (&job->sse, -1);
}

static QgMeterKind
meter_kind (const QgAgentJob *job)
{
  if (job->agent->kind != QG_SERVICE_MODEL)
    return QG_METER_PLAIN;
  return job->is_event_stream ? QG_METER_STREAM : QG_METER_JSON;
}

/* Whether an answer that seems complete is an event stream that broke off. */
static gboolean
is_cut_off (const QgAgentJob *job)
{
  return job->is_event_stream && !qg_sse_may_end (&job->sse, !job->until_close);
}

static void
free_header (gpointer data)
{
  Qg__Header *header = data;

  g_free (header->name);
  g_free (header->value);
  g_free (header);
}

static GBytes *
pack_head (const QgH1Head *head)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (free_header);
  Qg__ReplyHead reply = QG__REPLY_HEAD__INIT;
  guint8 *packed;
  gsize size;

  for (guint i = 0; i < head->n_headers; i++)
    {
      const QgH1Header *from = &head->headers[i];
      Qg__Header *header;

      if (!is_end_to_end (from->name))
        continue;
      header = g_new (Qg__Header, 1);
      qg__header__init (header);
      header->name = g_strndup (from->name.data, from->name.len);
      header->value = g_strndup (from->value.data, from->value.len);
      g_ptr_array_add (list, header);
    }
  reply.status = head->status;
  reply.until_close = head->until_close;
  reply.headers = (Qg__Header **)list->pdata;
  reply.n_headers = list->len;
  size = qg__reply_head__get_packed_size (&reply);
  packed = g_malloc (size + 1);
  qg__reply_head__pack (&reply, packed);
  g_ptr_array_unref (list);
  return g_bytes_new_take (packed, size);
}

/* FALSE for headers that are not forwarded: hop-by-hop headers, headers that
 * the entry sets, and X-Boot-Id. */
static gboolean
is_end_to_end (QgSlice name)
{
  static const char *const hop_by_hop[] = {
    "Connection", "Keep-Alive",     "Proxy-Authenticate",
    "TE",         "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Proxy-Connection",
    "Date",       "Server",         "X-Boot-Id",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (qg_slice_is (name, hop_by_hop[i]))
      return FALSE;
  return TRUE;
}

static void
on_data (gpointer user, const guint8 *data, gsize len)
{
  QgAgentJob *job = user;
  QgAgent *agent = job->agent;
  QgTime now = qg_clock_now ();
  GBytes *bytes;

  /* Only the first byte of an event stream measures the time to the first
   * token: other answers arrive as a whole when they are done. */
  if (!job->got_first_byte && job->slot != NULL
      && meter_kind (job) == QG_METER_STREAM)
    qg_sched_first_token (agent->sched, now, job->slot);
  job->got_first_byte = TRUE;
  if (job->is_event_stream)
    qg_sse_feed (&job->sse, (const char *)data, len);
  qg_meter_feed (job->meter, data, len);
  if (job->slot != NULL
      && qg_sched_progress (agent->sched, now, job->slot,
                            (gint64)qg_meter_units (job->meter, now)))
    qg_agent_pump (agent);
  if (job->answer == NULL || is_overloaded (job))
    return;
  job->length += len;
  bytes = g_bytes_new (data, len);
  qg_answer_append (job->answer, bytes);
  g_bytes_unref (bytes);
  qg_agent_answer_pump (job->answer);
  if (!qg_answer_has_room (job->answer))
    qg_agent_job_set_paused (job, TRUE);
}

static void
on_end (gpointer user, QgRunEnd end, const char *message)
{
  QgAgentJob *job = user;
  QgAgent *agent = job->agent;
  QgTime now = qg_clock_now ();
  guint64 units = qg_meter_final_units (job->meter, now);
  gboolean has_next;
  guint64 next = 0;
  gboolean overloaded;
  const EndInfo *info;
  QgColdSignal signal;

  if (end == QG_RUN_COMPLETE && is_cut_off (job))
    {
      end = QG_RUN_CONNECTION_LOST;
      message = "the target ended the event stream early";
    }
  overloaded = end == QG_RUN_COMPLETE && is_overloaded (job);
  info = &end_infos[overloaded ? END_OVERLOADED : end];
  signal = info->signal;
  if (end == QG_RUN_COMPLETE && job->status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    signal = QG_COLD_BUSY;
  if (job->slot != NULL)
    qg_sched_done (agent->sched, now, job->slot, (gint64)units, signal);
  qg_span_end (agent->trace, &job->span, job->workspace, agent->config->service,
               info->outcome);
  if (info->crashed)
    qg_agent_schedule_crash_check (agent);
  settle_claim (job, end);
  end_answer (job, info, units,
              overloaded ? "the target is overloaded" : message);
  has_next = end_isolation (job, end, &next);
  qg_agent_job_free (job, has_next, next);
}

static gboolean
end_isolation (QgAgentJob *job, QgRunEnd end, guint64 *next)
{
  static const QgIsolateEnd ends[]
      = { [QG_RUN_COMPLETE] = QG_ISOLATE_COMPLETE,
          [QG_RUN_NOT_SENT] = QG_ISOLATE_NOT_SENT,
          [QG_RUN_CANCELLED] = QG_ISOLATE_CANCELLED };
  QgIsolate *isolate = job->agent->isolate;

  if (end == QG_RUN_CANCELLED && qg_isolate_was_lost (isolate, job->number))
    qg_agent_schedule_crash_check (job->agent);
  else if (end != QG_RUN_CONNECTION_LOST)
    return qg_isolate_end (isolate, job->number, ends[end], next);
  record_answers_begun (job->agent);
  return qg_isolate_connection_lost (isolate, job->number, qg_clock_now (),
                                     next);
}

/* The bytes of an answer that arrived before the loss of a connection was seen
 * may have been sent before the target crashed. */
static void
record_answers_begun (QgAgent *agent)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, agent->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const QgAgentJob *job = key;

      if (job->run != NULL && qg_run_answer_began (job->run))
        qg_isolate_answer_began (agent->isolate, job->number, FALSE);
    }
}

/* After a 503 to an idempotent request, another target may run the request. For
 * a claimed request, the 503 is the answer. */
static gboolean
is_overloaded (const QgAgentJob *job)
{
  return !job->once && job->status == SOUP_STATUS_SERVICE_UNAVAILABLE;
}

static void
settle_claim (QgAgentJob *job, QgRunEnd end)
{
  if (job->once)
    qg_agent_claim_settle (job, end == QG_RUN_NOT_SENT,
                           end != QG_RUN_COMPLETE && end != QG_RUN_NOT_SENT);
}

/* The answer of a request that was not sent is dropped, since the key may be
 * claimed again. */
static void
end_answer (QgAgentJob *job, const EndInfo *info, guint64 units,
            const char *message)
{
  if (job->answer == NULL)
    return;
  if (info == &end_infos[QG_RUN_COMPLETE])
    finish_answer (job, units);
  else
    fail_answer (job, info, message);
  if (info->run == QG__RUN__RUN_NOT_RUN)
    qg_answer_drop (job->answer);
  else
    qg_answer_set_user (job->answer, NULL);
}

static void
finish_answer (QgAgentJob *job, guint64 units)
{
  Qg__ReplyEnd end = QG__REPLY_END__INIT;
  guint8 *packed;
  GBytes *tail;
  gsize size;

  end.service_units = units;
  size = qg__reply_end__get_packed_size (&end);
  packed = g_malloc (size + 1);
  qg__reply_end__pack (&end, packed);
  tail = g_bytes_new_take (packed, size);
  qg_answer_end (job->answer, tail, qg_clock_now ());
  g_bytes_unref (tail);
  qg_agent_answer_pump (job->answer);
}

static void
fail_answer (QgAgentJob *job, const EndInfo *info, const char *message)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  fail.run = info->run;
  fail.status = job->timed_out ? QG_E_TIMEOUT : info->status;
  fail.message = (char *)message;
  fail.retry = info->retry && !job->timed_out
               && (!job->once || info->run == QG__RUN__RUN_NOT_RUN);
  fail.crashed = info->crashed;
  qg_agent_answer_fail (job->answer, &fail);
}

static void
arm_deadline (QgAgentJob *job, QgTime left)
{
  job->timer = g_timeout_add ((guint)CLAMP (left / QG_MSEC, 1, G_MAXINT),
                              on_deadline, job);
}

/* A claimed job continues without readers for up to hold_ms after its deadline,
 * so that a resent request can still get the answer. */
static gboolean
on_deadline (gpointer user)
{
  QgAgentJob *job = user;

  job->timer = 0;
  if (job->once && !job->timed_out)
    {
      job->timed_out = TRUE;
      time_out_readers (job);
      arm_deadline (job, (QgTime)job->agent->config->hold_ms * QG_MSEC);
      return G_SOURCE_REMOVE;
    }
  job->timed_out = TRUE;
  qg_run_cancel (job->run);
  return G_SOURCE_REMOVE;
}

static void
time_out_readers (QgAgentJob *job)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;
  QgAnswerReader *reader;

  fail.run = QG__RUN__RUN_UNKNOWN;
  fail.status = QG_E_TIMEOUT;
  fail.message = "the request is still running after its deadline; resend it "
                 "with the same key to get the answer";
  while ((reader = qg_answer_nth_reader (job->answer, 0)) != NULL)
    {
      QgAgentLink *link = qg_answer_reader_user (reader);

      fail.request_id = qg_answer_reader_origin (reader)->id;
      QG_SEND (link->peer, REPLY_FAIL, reply_fail, &fail);
      qg_answer_detach (reader, qg_clock_now ());
    }
}

static void
assign_free (Qg__Assign *assign)
{
  qg__assign__free_unpacked (assign, NULL);
}

static QgAgentJob *
find_job (const QgAgent *agent, guint64 number)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, agent->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((QgAgentJob *)key)->number == number)
      return key;
  return NULL;
}
