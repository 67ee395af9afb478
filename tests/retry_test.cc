#include "lib/event.h"
#include "lib/once.h"
#include "lib/retry.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <string>

namespace
{

QgRetryAttempt
make_attempt (gboolean once, QgRetryStage stage)
{
  return { once, stage, QG_OUTCOME_NOT_RUN, 1, FALSE, 0, 60 * QG_SEC, 1 };
}

QgRetryBudget
full_budget ()
{
  QgRetryBudget budget = {};
  qg_retry_budget_set (&budget, 10, 1);
  for (int i = 0; i < QG_RETRY_BURST * 10; i++)
    qg_retry_budget_add_request (&budget);
  return budget;
}

} // namespace

TEST (Retry, RequestThatMayHaveRunIsNotRunAgainNorReportedAsNotRun)
{
  EXPECT_TRUE (rc::check ("retry", [] {
    QgRetryBudget budget = full_budget ();
    QgRetryAttempt c
        = make_attempt (*rc::gen::arbitrary<bool> (), QG_RETRY_UNSENT);
    bool reached = false; /* part of the request reached a target */
    guint charged = 0;

    for (int i = 0; i < 50; i++)
      {
        c.stage = static_cast<QgRetryStage> (
            *rc::gen::inRange<int> (0, QG_N_RETRY_STAGES));
        c.reachable = *rc::gen::arbitrary<bool> ();
        c.now += *rc::gen::inRange<QgTime> (0, 4 * QG_SEC);
        reached = reached || c.stage >= QG_RETRY_SENT;
        charged += c.stage != QG_RETRY_UNSENT;
        QgRetryVerdict v = qg_retry_decide (&c, &budget);
        RC_ASSERT ((v.outcome == QG_OUTCOME_NOT_RUN) == !reached);
        if (v.action == QG_RETRY_FAIL)
          return;
        if (v.action == QG_RETRY_ATTACH)
          {
            RC_ASSERT (c.stage >= QG_RETRY_DETACHED);
            return;
          }
        RC_ASSERT (!(c.once && reached));
        RC_ASSERT (c.stage != QG_RETRY_ANSWER_STARTED);
        RC_ASSERT (c.now + v.pause < c.deadline);
        RC_ASSERT (charged < QG_RETRY_MAX_ATTEMPTS);
        c.earlier_outcome = v.outcome;
        c.number += c.stage != QG_RETRY_UNSENT;
      }
  }));
}

TEST (Retry, BudgetAllowsABurstAndThenItsShare)
{
  QgRetryBudget budget = full_budget ();
  QgRetryAttempt c = make_attempt (FALSE, QG_RETRY_SENT);
  int retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      qg_retry_budget_add_request (&budget);
      retries += qg_retry_decide (&c, &budget).action == QG_RETRY_REQUEUE;
    }
  EXPECT_EQ (retries, QG_RETRY_BURST + 999 / 10);
  qg_retry_budget_set (&budget, 0, 1);
  EXPECT_EQ (qg_retry_decide (&c, &budget).action, QG_RETRY_FAIL);
  c.stage = QG_RETRY_UNSENT; /* nothing sent, so the budget is not used */
  EXPECT_EQ (qg_retry_decide (&c, &budget).action, QG_RETRY_REQUEUE);
}

TEST (Retry, EntryThatHasStartedHasNoRetriesSaved)
{
  QgRetryBudget budget = {};
  QgRetryAttempt c = make_attempt (FALSE, QG_RETRY_REFUSED);
  qg_retry_budget_set (&budget, 50, 1);
  EXPECT_EQ (qg_retry_decide (&c, &budget).action, QG_RETRY_FAIL);
  qg_retry_budget_add_request (&budget);
  EXPECT_EQ (qg_retry_decide (&c, &budget).action, QG_RETRY_FAIL);
  qg_retry_budget_add_request (&budget);
  EXPECT_EQ (qg_retry_decide (&c, &budget).action, QG_RETRY_REQUEUE);
}

TEST (Retry, EntriesShareTheBurst)
{
  for (guint sharers : { 1u, 3u, 10u, 256u })
    {
      QgRetryBudget budget = full_budget ();
      QgRetryAttempt c = make_attempt (FALSE, QG_RETRY_SENT);
      guint retries = 0;
      qg_retry_budget_set (&budget, 10, sharers);
      while (qg_retry_decide (&c, &budget).action == QG_RETRY_REQUEUE)
        retries++;
      EXPECT_EQ (retries, MAX (QG_RETRY_BURST / sharers, 1u));
    }
}

TEST (Retry, PausesGrowAndDifferBetweenRequests)
{
  QgRetryBudget budget = full_budget ();
  QgRetryAttempt c = make_attempt (FALSE, QG_RETRY_CRASHED);
  QgTime first = qg_retry_decide (&c, &budget).pause;
  EXPECT_GE (first, QG_RETRY_BACKOFF_BASE / 2);
  EXPECT_LE (first, QG_RETRY_BACKOFF_BASE);
  c.seed = 2;
  EXPECT_NE (qg_retry_decide (&c, &budget).pause, first);
  c.number = 2;
  EXPECT_GE (qg_retry_decide (&c, &budget).pause, QG_RETRY_BACKOFF_BASE);
}

TEST (Once, RunsOnlyOnAGrantAndAttachesOnlyToAnotherAgent)
{
  for (int state = 0; state <= QG__CLAIM_STATE__CLAIM_MISMATCH; state++)
    for (const char *holder : { "", "me", "other" })
      {
        Qg__ClaimAnswer a = QG__CLAIM_ANSWER__INIT;
        a.state = static_cast<Qg__ClaimState> (state);
        a.agent = const_cast<char *> (holder);
        a.agent_incarnation = 1;
        QgOnceVerdict v = qg_once_decide (&a, "me", 1, FALSE);
        EXPECT_EQ (v.action == QG_ONCE_RUN,
                   state == QG__CLAIM_STATE__CLAIM_GRANTED);
        EXPECT_TRUE (v.action != QG_ONCE_ATTACH
                     || std::string (holder) == "other");
        EXPECT_FALSE (v.release);
        EXPECT_TRUE (state != QG__CLAIM_STATE__CLAIM_DONE
                     || v.outcome == QG_OUTCOME_RAN);
        EXPECT_TRUE (state != QG__CLAIM_STATE__CLAIM_UNKNOWN
                     || v.outcome == QG_OUTCOME_UNKNOWN);
      }
}

TEST (Once, AStreamNeverGoesOnInANewRun)
{
  for (int state = 0; state <= QG__CLAIM_STATE__CLAIM_MISMATCH; state++)
    for (const char *holder : { "", "me", "other" })
      {
        Qg__ClaimAnswer a = QG__CLAIM_ANSWER__INIT;
        a.state = static_cast<Qg__ClaimState> (state);
        a.agent = const_cast<char *> (holder);
        a.agent_incarnation = 1;
        QgOnceVerdict begun = qg_once_decide (&a, "me", 1, FALSE);
        QgOnceVerdict v = qg_once_decide (&a, "me", 1, TRUE);
        bool granted = state == QG__CLAIM_STATE__CLAIM_GRANTED;
        EXPECT_EQ (v.action, granted ? QG_ONCE_FAIL : begun.action);
        EXPECT_EQ (v.status, granted ? QG_E_NO_STREAM : begun.status);
        EXPECT_EQ (v.outcome, begun.outcome);
        EXPECT_EQ (v.release, granted);
        EXPECT_FALSE (granted && v.retry);
      }
}

TEST (Once, UnansweredClaimIsReleasedAndDoesNotRun)
{
  QgOnceVerdict v = qg_once_decide (nullptr, "me", 1, FALSE);
  EXPECT_EQ (v.action, QG_ONCE_FAIL);
  EXPECT_EQ (v.outcome, QG_OUTCOME_NOT_RUN);
  EXPECT_TRUE (v.release);
  Qg__ClaimResult full_table = QG__CLAIM_RESULT__INIT;
  Qg__ClaimAnswer a;
  full_table.verdict = QG__CLAIM_VERDICT__CLAIM_VERDICT_FULL;
  qg_once_answer_from_result (&full_table, 7, &a);
  v = qg_once_decide (&a, "me", 1, FALSE);
  EXPECT_EQ (v.status, QG_E_OVERLOADED);
  EXPECT_EQ (v.outcome, QG_OUTCOME_NOT_RUN);
  EXPECT_FALSE (v.release);
}
