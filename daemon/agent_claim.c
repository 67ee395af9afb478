#include "libagent.h"

#include "lib/event.h"
#include "lib/ssepass.h"

/* How long an agent asks for a claim, and resends its result. */
#define CLAIM_TIMEOUT     (5 * QG_SEC)
#define SETTLE_TIMEOUT    (600 * QG_SEC)
#define CLAIM_RETRY_DELAY (200 * QG_MSEC)

static void on_answer (gpointer user, const Qg__PeerMsg *answer);
static gboolean goes_on (const QgAgentJob *job);
static gboolean on_retry_timer (gpointer user);
static void refuse (QgAgentJob *job, const QgOnceVerdict *verdict,
                    const Qg__ClaimAnswer *answer);
static gboolean may_start (QgAgentJob *job, QgOnceVerdict *verdict);

void
qg_agent_claim (QgAgentJob *job)
{
  QgAgent *agent = job->agent;
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  Qg__ClaimAsk ask = QG__CLAIM_ASK__INIT;
  QgTime now = qg_clock_now ();

  if (job->stage != QG_AGENT_CLAIMING)
    job->claim_deadline = MIN (job->deadline, now + CLAIM_TIMEOUT);
  job->stage = QG_AGENT_CLAIMING;
  job->claim_seq = qg_uplink_next_seq (agent->uplink);
  ask.seq = job->claim_seq;
  ask.workspace = job->assign->workspace;
  ask.service = job->assign->service;
  ask.key = job->assign->key;
  ask.body_hash = job->assign->body_hash;
  ask.agent = agent->config->name;
  ask.agent_incarnation = agent->incarnation;
  msg.kind_case = QG__PEER_MSG__KIND_CLAIM_ASK;
  msg.claim_ask = &ask;
  qg_uplink_request (agent->uplink, &msg, ask.seq, job->claim_deadline,
                     on_answer, job);
}

void
qg_agent_claim_settle (QgAgentJob *job, gboolean released, gboolean unknown)
{
  QgAgent *agent = job->agent;
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  Qg__ClaimDone done = QG__CLAIM_DONE__INIT;

  done.seq = qg_uplink_next_seq (agent->uplink);
  done.workspace = job->assign->workspace;
  done.service = job->assign->service;
  done.key = job->assign->key;
  done.agent = agent->config->name;
  done.agent_incarnation = agent->incarnation;
  done.released = released;
  done.unknown = unknown;
  done.claim_seq = job->claim_seq;
  msg.kind_case = QG__PEER_MSG__KIND_CLAIM_DONE;
  msg.claim_done = &done;
  qg_uplink_request (agent->uplink, &msg, done.seq,
                     qg_clock_now () + SETTLE_TIMEOUT, NULL, NULL);
}

static void
on_answer (gpointer user, const Qg__PeerMsg *answer)
{
  QgAgentJob *job = user;
  const Qg__ClaimAnswer *claim = NULL;
  QgOnceVerdict verdict;

  if (answer != NULL && answer->kind_case == QG__PEER_MSG__KIND_CLAIM_ANSWER)
    claim = answer->claim_answer;
  verdict = qg_once_decide (claim, job->agent->config->name,
                            job->agent->incarnation, goes_on (job));
  if (verdict.action == QG_ONCE_RUN && may_start (job, &verdict))
    {
      qg_agent_job_start (job);
      return;
    }
  if (verdict.release)
    qg_agent_claim_settle (job, TRUE, FALSE);
  if (verdict.action == QG_ONCE_WAIT
      && qg_clock_now () + CLAIM_RETRY_DELAY < job->claim_deadline)
    {
      job->timer
          = g_timeout_add (CLAIM_RETRY_DELAY / QG_MSEC, on_retry_timer, job);
      return;
    }
  refuse (job, &verdict, claim);
}

static gboolean
goes_on (const QgAgentJob *job)
{
  return *qg_ssepass_asked (job->assign->headers, job->assign->n_headers)
         != '\0';
}

static gboolean
on_retry_timer (gpointer user)
{
  QgAgentJob *job = user;

  job->timer = 0;
  qg_agent_claim (job);
  return G_SOURCE_REMOVE;
}

/* Whether the job may still start once its claim is granted. Meanwhile the
 * deadline or the permit may have expired, or the answer may have lost its
 * readers. */
static gboolean
may_start (QgAgentJob *job, QgOnceVerdict *verdict)
{
  QgTime now = qg_clock_now ();

  if (now < job->deadline && qg_answer_has_readers (job->answer)
      && qg_board_may_start_work (job->agent->board, now))
    return TRUE;
  verdict->action = QG_ONCE_FAIL;
  verdict->release = TRUE;
  verdict->retry = now < job->deadline;
  verdict->status = now < job->deadline ? QG_E_UNAVAILABLE : QG_E_TIMEOUT;
  verdict->message = "the request could not be started in time";
  return FALSE;
}

static void
refuse (QgAgentJob *job, const QgOnceVerdict *verdict,
        const Qg__ClaimAnswer *answer)
{
  Qg__ReplyFail fail = QG__REPLY_FAIL__INIT;

  fail.run = (Qg__Run)verdict->outcome;
  fail.status = verdict->status;
  fail.message = (char *)verdict->message;
  fail.retry = verdict->retry;
  if (verdict->action == QG_ONCE_ATTACH && answer != NULL)
    {
      fail.holder = answer->agent;
      fail.holder_incarnation = answer->agent_incarnation;
      fail.holder_address = answer->agent_address;
    }
  qg_agent_job_refuse (job, &fail);
}
