#include "once.h"

#include <string.h>

typedef struct
{
  QgOnceAction action; /* action if another agent holds the claim */
  QgOutcome outcome;
  QgStatus status;
  const char *message;
} StateRule;

/* Decision by state of the claim. */
static const StateRule rules[] = {
  [QG__CLAIM_STATE__CLAIM_GRANTED]
  = { QG_ONCE_RUN, QG_OUTCOME_NOT_RUN, QG_OK, "" },
  [QG__CLAIM_STATE__CLAIM_RUNNING]
  = { QG_ONCE_ATTACH, QG_OUTCOME_UNKNOWN, QG_E_UNKNOWN,
      "a request with this key was started; its agent does not respond" },
  [QG__CLAIM_STATE__CLAIM_DONE]
  = { QG_ONCE_ATTACH, QG_OUTCOME_RAN, QG_E_UNKNOWN,
      "the request with this key has run; its answer is no longer available" },
  [QG__CLAIM_STATE__CLAIM_UNKNOWN]
  = { QG_ONCE_ATTACH, QG_OUTCOME_UNKNOWN, QG_E_UNKNOWN,
      "the agent that ran the request with this key is gone" },
  [QG__CLAIM_STATE__CLAIM_MISMATCH]
  = { QG_ONCE_FAIL, QG_OUTCOME_NOT_RUN, QG_E_CONFLICT,
      "the key was used with another body; use a new key for a new request" },
};

/* Answer to the agent by verdict of the claim table. */
static const struct
{
  Qg__ClaimState state;
  QgStatus status;
  const char *message;
} answer_by_verdict[] = {
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED]
  = { QG__CLAIM_STATE__CLAIM_GRANTED, QG_OK, "" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_RUNNING]
  = { QG__CLAIM_STATE__CLAIM_RUNNING, QG_OK, "" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_DONE]
  = { QG__CLAIM_STATE__CLAIM_DONE, QG_OK, "" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_UNKNOWN]
  = { QG__CLAIM_STATE__CLAIM_UNKNOWN, QG_OK, "" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_MISMATCH]
  = { QG__CLAIM_STATE__CLAIM_MISMATCH, QG_OK, "" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_FULL]
  = { QG__CLAIM_STATE__CLAIM_UNKNOWN, QG_E_OVERLOADED,
      "the workspace has reached its limit of stored keys" },
  [QG__CLAIM_VERDICT__CLAIM_VERDICT_STALE]
  = { QG__CLAIM_STATE__CLAIM_UNKNOWN, QG_E_UNAVAILABLE, "the claim is stale" },
};

QgOnceVerdict
qg_once_decide (const Qg__ClaimAnswer *answer, const char *agent,
                guint64 incarnation, gboolean goes_on)
{
  QgOnceVerdict verdict = { QG_ONCE_FAIL,
                            QG_OUTCOME_NOT_RUN,
                            QG_E_UNAVAILABLE,
                            TRUE,
                            TRUE,
                            "the claim of the key was not answered in time" };
  const StateRule *rule;
  gboolean held_elsewhere;

  if (answer == NULL)
    return verdict;
  verdict.release = FALSE;
  if (answer->status != QG_OK || (gsize)answer->state >= G_N_ELEMENTS (rules))
    {
      verdict.status = (QgStatus)answer->status;
      verdict.retry = answer->status == QG_E_UNAVAILABLE;
      verdict.release = verdict.retry;
      if (verdict.retry)
        verdict.action = QG_ONCE_WAIT;
      verdict.message = answer->message;
      return verdict;
    }
  if (goes_on && answer->state == QG__CLAIM_STATE__CLAIM_GRANTED)
    return (QgOnceVerdict){ QG_ONCE_FAIL,   QG_OUTCOME_NOT_RUN,
                            QG_E_NO_STREAM, FALSE,
                            TRUE,           QG_ONCE_NO_STREAM };
  rule = &rules[answer->state];
  held_elsewhere = answer->agent[0] != '\0'
                   && (strcmp (answer->agent, agent) != 0
                       || answer->agent_incarnation != incarnation);
  verdict = (QgOnceVerdict){ rule->action, rule->outcome, rule->status,
                             FALSE,        FALSE,         rule->message };
  if (rule->action == QG_ONCE_ATTACH && !held_elsewhere)
    verdict.action = answer->state == QG__CLAIM_STATE__CLAIM_RUNNING
                         ? QG_ONCE_WAIT
                         : QG_ONCE_FAIL;
  return verdict;
}

void
qg_once_take_from_ask (const Qg__ClaimAsk *ask, Qg__ClaimTake *take)
{
  qg__claim_take__init (take);
  take->workspace = ask->workspace;
  take->service = ask->service;
  take->key = ask->key;
  take->body_hash = ask->body_hash;
  take->agent = ask->agent;
  take->incarnation = ask->agent_incarnation;
  take->address = ask->agent_address;
  take->seq = ask->seq;
}

void
qg_once_settle_from_done (const Qg__ClaimDone *done, Qg__ClaimSettle *settle)
{
  qg__claim_settle__init (settle);
  settle->workspace = done->workspace;
  settle->service = done->service;
  settle->key = done->key;
  settle->agent = done->agent;
  settle->incarnation = done->agent_incarnation;
  settle->seq = done->claim_seq;
  settle->released = done->released;
  settle->unknown = done->unknown;
}

void
qg_once_answer_from_result (const Qg__ClaimResult *result, guint64 seq,
                            Qg__ClaimAnswer *answer)
{
  qg__claim_answer__init (answer);
  answer->seq = seq;
  if ((gsize)result->verdict >= G_N_ELEMENTS (answer_by_verdict))
    {
      answer->status = QG_E_INTERNAL;
      return;
    }
  answer->state = answer_by_verdict[result->verdict].state;
  answer->status = answer_by_verdict[result->verdict].status;
  answer->message = (char *)answer_by_verdict[result->verdict].message;
  answer->agent = result->agent;
  answer->agent_incarnation = result->incarnation;
  answer->agent_address = result->address;
}
