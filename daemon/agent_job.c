#include "libagent.h"

#include "lib/event.h"

enum
{
  /* Answer bytes that may be on their way to the entry's caller. */
  WINDOW_BYTES = 256 * 1024,
  STATUS_TOO_MANY_REQUESTS = 429,
};

struct QgAgentJob
{
  QgAgent *agent;
  QgAgentLink *link; /* NULL once the link broke */
  guint64 request_id;
  QgSchedJob *job; /* NULL under the baseline policy */
  QgRun *run;
  QgMeter *meter;
  QgTime deadline;
  guint deadline_timer;
  guint64 offset;
  guint64 acked;
  guint status;
  gboolean first_seen;
  gboolean timed_out;
  gboolean once;
  char *workspace;
  QgSpan span;
};

typedef struct
{
  QgColdSign sign;
  Qg__Run run;
  QgStatus status;
  gboolean retry;
  gboolean crashed;
  const char *outcome; /* in spans */
} EndRow;

static const EndRow end_rows[] = {
  [QG_RUN_WHOLE]
  = { QG_COLD_OK, QG__RUN__RUN_RAN, QG_OK, FALSE, FALSE, "answered" },
  [QG_RUN_NOT_SENT] = { QG_COLD_REFUSED, QG__RUN__RUN_NOT_RUN, QG_E_UNAVAILABLE,
                        TRUE, FALSE, "not-sent" },
  [QG_RUN_BROKEN]
  = { QG_COLD_RESET, QG__RUN__RUN_UNKNOWN, QG_E_UNKNOWN, TRUE, TRUE, "broken" },
  [QG_RUN_CANCELLED] = { QG_COLD_NEUTRAL, QG__RUN__RUN_UNKNOWN, QG_E_UNKNOWN,
                         FALSE, FALSE, "cancelled" },
};

static void bounce (QgAgentLink *link, guint64 request_id);
static QgMeterKind meter_kind (const QgAgent *agent,
                               const SoupMessageHeaders *headers);
static void on_head (gpointer user, guint status, SoupMessageHeaders *headers);
static void send_head (QgAgentJob *job, guint status,
                       SoupMessageHeaders *headers);
static gboolean is_end_to_end (const char *name);
static void on_data (gpointer user, const guint8 *data, gsize len);
static void on_end (gpointer user, QgRunEnd end, const char *message);
static void send_end (QgAgentJob *job, guint64 units);
static void send_fail (QgAgentJob *job, const EndRow *row, const char *message);
static gboolean on_deadline (gpointer user);
static void job_free (QgAgentJob *job);
static QgAgentJob *find_job (QgAgentLink *link, guint64 request_id);

static const QgRunOps run_ops = { on_head, on_data, on_end };

void
qg_agent_job_assign (QgAgentLink *link, const Qg__Assign *assign)
{
  char traceparent[QG_TRACEPARENT_BYTES];
  QgAgent *agent = link->agent;
  QgTime now = g_get_monotonic_time ();
  QgAgentJob *job;
  gboolean baseline = agent->settings->daemon.policy == QG_POLICY_BASELINE;
  QgSchedJob *sched_job = NULL;
  guint target;

  if (!baseline)
    sched_job = qg_sched_assign (
        agent->sched, now, link->number, assign->pull_id, assign->workspace,
        assign->size_class != 0 ? QG_CLASS_LONG : QG_CLASS_SHORT, &target);
  if (sched_job == NULL && !baseline)
    {
      bounce (link, assign->request_id);
      return;
    }
  job = g_new0 (QgAgentJob, 1);
  job->agent = agent;
  job->link = link;
  job->request_id = assign->request_id;
  job->job = sched_job;
  job->once = assign->once;
  job->deadline = now + (QgTime)assign->deadline_us;
  job->meter = qg_meter_new (agent->kind == QG_SERVICE_MODEL ? QG_METER_STREAM
                                                             : QG_METER_PLAIN,
                             assign->body.len, now);
  job->workspace = g_strdup (assign->workspace);
  g_hash_table_add (agent->jobs, job);
  qg_span_start (&job->span, QG_SPAN_AGENT, assign->traceparent);
  qg_span_parent (&job->span, traceparent);
  job->run = qg_run_start (agent->session, agent->own->target, assign,
                           traceparent, &run_ops, job);
  if (job->run == NULL)
    {
      qg_event (QG_EV_TARGET_BAD_REQUEST, "%s %s", assign->method,
                assign->path);
      on_end (job, QG_RUN_NOT_SENT, "the path is no URI");
      return;
    }
  job->deadline_timer = g_timeout_add (
      (guint)CLAMP (assign->deadline_us / 1000, 1, G_MAXINT), on_deadline, job);
}

void
qg_agent_job_cancel (QgAgentLink *link, guint64 request_id)
{
  QgAgentJob *job = find_job (link, request_id);

  if (job != NULL)
    qg_run_cancel (job->run);
}

void
qg_agent_job_window (QgAgentLink *link, const Qg__Window *window)
{
  QgAgentJob *job = find_job (link, window->request_id);

  if (job == NULL)
    return;
  job->acked = CLAMP (window->offset, job->acked, job->offset);
  if (job->offset - job->acked < WINDOW_BYTES)
    qg_run_hold (job->run, FALSE);
}

void
qg_agent_job_link_down (QgAgentLink *link)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, link->agent->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      QgAgentJob *job = key;

      if (job->link != link)
        continue;
      job->link = NULL;
      if (!job->once)
        qg_run_cancel (job->run);
    }
}

static void
bounce (QgAgentLink *link, guint64 request_id)
{
  Qg__Bounce message = QG__BOUNCE__INIT;

  message.request_id = request_id;
  QG_SEND (link->peer, BOUNCE, bounce, &message);
}

static void
on_head (gpointer user, guint status, SoupMessageHeaders *headers)
{
  QgAgentJob *job = user;
  QgAgent *agent = job->agent;

  job->status = status;
  qg_agent_see_boot_id (agent, headers);
  if (meter_kind (agent, headers) == QG_METER_JSON)
    {
      qg_meter_free (job->meter);
      job->meter = qg_meter_new (QG_METER_JSON, 0, g_get_monotonic_time ());
    }
  send_head (job, status, headers);
}

static QgMeterKind
meter_kind (const QgAgent *agent, const SoupMessageHeaders *headers)
{
  const char *type = soup_message_headers_get_content_type (
      (SoupMessageHeaders *)headers, NULL);

  if (agent->kind != QG_SERVICE_MODEL)
    return QG_METER_PLAIN;
  if (g_strcmp0 (type, "text/event-stream") == 0)
    return QG_METER_STREAM;
  return QG_METER_JSON;
}

static void
send_head (QgAgentJob *job, guint status, SoupMessageHeaders *headers)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  Qg__ReplyHead head = QG__REPLY_HEAD__INIT;

  if (job->link == NULL)
    return;
  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    {
      Qg__Header *header;

      if (!is_end_to_end (name))
        continue;
      header = g_new (Qg__Header, 1);
      qg__header__init (header);
      header->name = (char *)name;
      header->value = (char *)value;
      g_ptr_array_add (list, header);
    }
  head.request_id = job->request_id;
  head.status = status;
  head.headers = (Qg__Header **)list->pdata;
  head.n_headers = list->len;
  QG_SEND (job->link->peer, REPLY_HEAD, reply_head, &head);
  g_ptr_array_unref (list);
}

/* Headers that belong to one connection, or that the entry sets itself, are
 * not passed on. */
static gboolean
is_end_to_end (const char *name)
{
  static const char *const hop_by_hop[] = {
    "Connection", "Keep-Alive",     "Proxy-Authenticate",
    "TE",         "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Proxy-Connection",
    "Date",       "Server",         "X-Boot-Id",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop[i]) == 0)
      return FALSE;
  return TRUE;
}

static void
on_data (gpointer user, const guint8 *data, gsize len)
{
  QgAgentJob *job = user;
  QgAgent *agent = job->agent;
  QgTime now = g_get_monotonic_time ();
  Qg__ReplyData message = QG__REPLY_DATA__INIT;

  if (!job->first_seen && job->job != NULL)
    qg_sched_first_token (agent->sched, now, job->job);
  job->first_seen = TRUE;
  qg_meter_feed (job->meter, data, len);
  if (job->job != NULL)
    qg_sched_progress (agent->sched, now, job->job,
                       (gint64)qg_meter_units (job->meter, now));
  message.request_id = job->request_id;
  message.offset = job->offset;
  message.data.data = (guint8 *)data;
  message.data.len = len;
  job->offset += len;
  if (job->link == NULL)
    return;
  QG_SEND (job->link->peer, REPLY_DATA, reply_data, &message);
  if (job->offset - job->acked >= WINDOW_BYTES)
    qg_run_hold (job->run, TRUE);
}

static void
on_end (gpointer user, QgRunEnd end, const char *message)
{
  QgAgentJob *job = user;
  QgAgent *agent = job->agent;
  QgTime now = g_get_monotonic_time ();
  const EndRow *row = &end_rows[end];
  QgColdSign sign = row->sign;
  guint64 units = qg_meter_final (job->meter, now);

  if (end == QG_RUN_WHOLE
      && (job->status == SOUP_STATUS_SERVICE_UNAVAILABLE
          || job->status == STATUS_TOO_MANY_REQUESTS))
    sign = QG_COLD_BUSY;
  if (job->job != NULL)
    qg_sched_done (agent->sched, now, job->job, (gint64)units, sign);
  qg_span_end (agent->trace, &job->span, job->workspace, agent->own->service,
               row->outcome);
  if (end == QG_RUN_WHOLE)
    send_end (job, units);
  else
    send_fail (job, row, message);
  job_free (job);
  qg_agent_pump (agent);
}

static void
send_end (QgAgentJob *job, guint64 units)
{
  Qg__ReplyEnd end = QG__REPLY_END__INIT;

  if (job->link == NULL)
    return;
  end.request_id = job->request_id;
  end.length = job->offset;
  end.service_units = units;
  QG_SEND (job->link->peer, REPLY_END, reply_end, &end);
}

static void
send_fail (QgAgentJob *job, const EndRow *row, const char *message)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  if (job->link == NULL)
    return;
  fail.request_id = job->request_id;
  fail.run = row->run;
  fail.status = job->timed_out ? QG_E_TIMEOUT : row->status;
  fail.message = (char *)message;
  fail.retry = row->retry && !job->timed_out
               && (!job->once || row->run == QG__RUN__RUN_NOT_RUN);
  fail.crashed = row->crashed;
  QG_SEND (job->link->peer, REPLY_FAIL, reply_fail, &fail);
}

static gboolean
on_deadline (gpointer user)
{
  QgAgentJob *job = user;

  job->deadline_timer = 0;
  job->timed_out = TRUE;
  qg_run_cancel (job->run);
  return G_SOURCE_REMOVE;
}

static void
job_free (QgAgentJob *job)
{
  g_hash_table_remove (job->agent->jobs, job);
  if (job->deadline_timer != 0)
    g_source_remove (job->deadline_timer);
  qg_meter_free (job->meter);
  g_free (job->workspace);
  g_free (job);
}

static QgAgentJob *
find_job (QgAgentLink *link, guint64 request_id)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, link->agent->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      QgAgentJob *job = key;

      if (job->link == link && job->request_id == request_id)
        return job;
    }
  return NULL;
}
