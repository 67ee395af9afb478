#include "lib/resend.h"
#include <gtest/gtest.h>

namespace
{

const QgResendLimits limits = { 0.2, 10, 10 * QG_SEC };

struct Budget
{
  QgResendBudget *of = qg_resend_budget_new ();
  ~Budget () { qg_resend_budget_free (of); }
};

QgResendCase
default_case ()
{
  QgResendCase request = {};
  request.repeatable = TRUE;
  request.reached = TRUE;
  request.sends = 1;
  request.max_sends = 3;
  request.tried = 1;
  request.max_tried = 8;
  request.deadline = 5 * QG_SEC;
  return request;
}

} // namespace

TEST (Resend, ResendsWhatMayHaveRunOnlyIfRepeatable)
{
  for (int ran = 0; ran < 2; ran++)
    for (int repeatable = 0; repeatable < 2; repeatable++)
      {
        Budget budget;
        QgResendCase request = default_case ();
        request.may_have_run = ran;
        request.repeatable = repeatable;
        EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
                   ran && !repeatable ? QG_RESEND_MAY_HAVE_RUN
                                      : QG_RESEND_ALLOWED);
      }
}

TEST (Resend, StopsAtTheDeadlineAndTheTargetLimit)
{
  Budget budget;
  QgResendCase request = default_case ();
  request.now = request.deadline;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_DEADLINE_PASSED);
  request = default_case ();
  request.may_have_run = TRUE;
  request.sends = 3;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_TARGET_LIMIT);
  request.may_have_run = FALSE;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_ALLOWED);
  request.tried = 8;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_TARGET_LIMIT);
}

/* Fault: all targets fail all requests for a minute. Resends must not exceed
 * the budget in any window. */
TEST (Resend, StaysWithinTheBudgetOfEachWindow)
{
  Budget budget;
  const int requests_per_s = 100;
  int resends_in[60] = {};
  for (int i = 0; i < 60 * requests_per_s; i++)
    {
      QgResendCase request = default_case ();
      request.now = i * (QG_SEC / requests_per_s);
      request.deadline = request.now + QG_SEC;
      qg_resend_budget_add_request (budget.of, limits.window, request.now);
      while (qg_resend_decide (&request, budget.of, &limits)
             == QG_RESEND_ALLOWED)
        resends_in[i / requests_per_s]++;
    }
  for (int from = 0; from + 10 <= 60; from++)
    {
      int sum = 0;
      for (int s = from; s < from + 10; s++)
        sum += resends_in[s];
      EXPECT_LE (sum, 0.2 * 10 * requests_per_s + 10);
    }
}

/* Fault: half of the addresses refuse connections. A refused connection adds no
 * load to a target, so the resend that follows does not use the budget. */
TEST (Resend, AnUnreachedTargetDoesNotUseTheBudget)
{
  Budget budget;
  QgResendCase request = default_case ();
  request.reached = FALSE;
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
               QG_RESEND_ALLOWED);
  request.reached = TRUE;
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
               QG_RESEND_ALLOWED);
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_BUDGET_EXHAUSTED);
}
