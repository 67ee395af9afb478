#include "libagent.h"

#include <string.h>

static gboolean reserve_slot (QgAgentLink *link, const Qg__Assign *assign,
                              QgSchedJob **slot);
static gboolean is_allowed (const QgAgent *agent, const Qg__Assign *assign);
static void refuse_forbidden (QgAgentLink *link, guint64 request_id);
static void release_slot (QgAgent *agent, QgSchedJob *slot);
static gboolean attach_to_local_answer (QgAgentLink *link,
                                        const Qg__Assign *assign);
static QgAgentJob *job_new (QgAgentLink *link, const Qg__Assign *assign,
                            QgSchedJob *slot);
static void discard_previous_attempt (QgAgentLink *link, guint64 request_id);
static Qg__Assign *copy_assign (const Qg__Assign *assign);

void
qg_agent_assign (QgAgentLink *link, const Qg__Assign *assign)
{
  QgAgent *agent = link->agent;
  QgIsolateVerdict verdict;
  QgSchedJob *slot = NULL;
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  QgAgentJob *job;

  qg_agent_record_assign (link, assign->number);
  if (!reserve_slot (link, assign, &slot))
    {
      qg_agent_bounce (link, assign->request_id);
      return;
    }
  if (!is_allowed (agent, assign))
    {
      release_slot (agent, slot);
      refuse_forbidden (link, assign->request_id);
      return;
    }
  if (attach_to_local_answer (link, assign))
    {
      release_slot (agent, slot);
      return;
    }
  qg_poison_fingerprint (assign->workspace, assign->service,
                         assign->body_hash.data, assign->body_hash.len,
                         fingerprint);
  verdict = qg_isolate_admit (agent->isolate, ++agent->last_job, fingerprint,
                              (QgPoisonLevel)assign->isolate);
  if (verdict == QG_ISOLATE_BOUNCE)
    {
      release_slot (agent, slot);
      qg_agent_bounce (link, assign->request_id);
      return;
    }
  job = job_new (link, assign, slot);
  if (verdict == QG_ISOLATE_RUN)
    qg_agent_job_proceed (job);
  qg_agent_update_admission (agent);
}

static gboolean
reserve_slot (QgAgentLink *link, const Qg__Assign *assign, QgSchedJob **slot)
{
  QgAgent *agent = link->agent;
  guint target;

  if (agent->settings->daemon.policy == QG_POLICY_BASELINE)
    return TRUE;
  *slot = qg_sched_assign (
      agent->sched, qg_clock_now (), link->number, assign->pull_id,
      assign->workspace,
      assign->size_class != 0 ? QG_CLASS_LONG : QG_CLASS_SHORT, &target);
  return *slot != NULL;
}

/* An entry that has lost contact with the control members, or whose queue is
 * long, decided by an older document. */
static gboolean
is_allowed (const QgAgent *agent, const Qg__Assign *assign)
{
  const QgDoc *doc = agent->board->doc;
  const QgDocWorkspace *workspace;

  if (assign->revision == 0 || assign->revision >= agent->board->revision)
    return TRUE;
  if (assign->caller_key.len != QG_SHA256_BYTES
      || !qg_doc_granted (doc, assign->workspace, assign->service))
    return FALSE;
  workspace = qg_doc_workspace_by_key (doc, assign->caller_key.data);
  return workspace != NULL && g_str_equal (workspace->name, assign->workspace);
}

static void
refuse_forbidden (QgAgentLink *link, guint64 request_id)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  fail.request_id = request_id;
  fail.run = QG__RUN__RUN_NOT_RUN;
  fail.status = QG_E_FORBIDDEN;
  fail.message = "the configuration changed: the caller's key or the service "
                 "is no longer granted";
  QG_SEND (link->peer, REPLY_FAIL, reply_fail, &fail);
}

static void
release_slot (QgAgent *agent, QgSchedJob *slot)
{
  if (slot != NULL)
    qg_sched_done (agent->sched, qg_clock_now (), slot, 0, QG_COLD_NEUTRAL);
}

/* A resent request whose answer this agent produces or holds needs no claim. */
static gboolean
attach_to_local_answer (QgAgentLink *link, const Qg__Assign *assign)
{
  Qg__Attach attach = QG__ATTACH__INIT;

  if (!assign->once
      || qg_answer_find_key (link->agent->answers, assign->workspace,
                             assign->service, assign->key)
             == NULL)
    return FALSE;
  attach.request_id = assign->request_id;
  attach.workspace = assign->workspace;
  attach.service = assign->service;
  attach.key = assign->key;
  attach.body_hash = assign->body_hash;
  qg_agent_attach (link, &attach);
  return TRUE;
}

static QgAgentJob *
job_new (QgAgentLink *link, const Qg__Assign *assign, QgSchedJob *slot)
{
  QgAgent *agent = link->agent;
  QgAgentJob *job = g_new0 (QgAgentJob, 1);
  QgAnswerStart start = { 0 };
  QgTime now = qg_clock_now ();

  job->agent = agent;
  job->number = agent->last_job;
  job->stage = QG_AGENT_HELD;
  job->assign = copy_assign (assign);
  job->slot = slot;
  job->once = assign->once;
  job->deadline = now + (QgTime)assign->deadline_us;
  job->meter = qg_meter_new (agent->kind == QG_SERVICE_MODEL ? QG_METER_STREAM
                                                             : QG_METER_PLAIN,
                             assign->body.len, now);
  job->workspace = g_strdup (assign->workspace);
  qg_span_start (&job->span, QG_SPAN_AGENT, assign->traceparent);
  discard_previous_attempt (link, assign->request_id);
  start.origin = qg_agent_origin (link, assign->request_id);
  start.workspace = assign->workspace;
  start.service = assign->service;
  start.key = assign->once ? assign->key : "";
  start.body_hash = assign->body_hash.data;
  start.body_hash_len = assign->body_hash.len;
  start.user = job;
  job->answer = qg_answer_begin (agent->answers, &start, link);
  g_hash_table_add (agent->jobs, job);
  return job;
}

/* Called when an entry sends a request again: detaches the reader of the
 * earlier attempt, and ends its job or drops its answer. */
static void
discard_previous_attempt (QgAgentLink *link, guint64 request_id)
{
  QgAnswers *answers = link->agent->answers;
  QgAnswerOrigin origin = qg_agent_origin (link, request_id);
  QgAnswerReader *reader = qg_answer_find_reader (answers, &origin);
  QgAnswer *old;

  if (reader != NULL)
    qg_answer_detach (reader, qg_clock_now ());
  old = qg_answer_find (answers, &origin);
  if (old == NULL)
    return;
  if (qg_answer_user (old) != NULL)
    qg_agent_job_abandon (qg_answer_user (old));
  else
    qg_answer_drop (old);
}

static Qg__Assign *
copy_assign (const Qg__Assign *assign)
{
  gsize size = qg__assign__get_packed_size (assign);
  guint8 *packed = g_malloc (size);
  Qg__Assign *copy;

  qg__assign__pack (assign, packed);
  copy = qg__assign__unpack (NULL, size, packed);
  g_free (packed);
  return copy;
}

void
qg_agent_bounce (QgAgentLink *link, guint64 request_id)
{
  Qg__Bounce message = QG__BOUNCE__INIT;

  message.request_id = request_id;
  QG_SEND (link->peer, BOUNCE, bounce, &message);
}
