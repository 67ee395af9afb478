#include "retry.h"

#include "event.h"

typedef struct
{
  QgOutcome outcome; /* of the attempt */
  gboolean may_rerun;
  gboolean may_attach; /* its answer may still be available */
  gboolean charged;    /* a retry is delayed, and limited by count and budget */
} StageRule;

static const StageRule rules[2][QG_N_RETRY_STAGES] = {
  /* idempotent */
  {
      [QG_RETRY_UNSENT] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, FALSE },
      [QG_RETRY_REFUSED] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, TRUE },
      [QG_RETRY_SENT] = { QG_OUTCOME_UNKNOWN, TRUE, FALSE, TRUE },
      [QG_RETRY_CRASHED] = { QG_OUTCOME_UNKNOWN, TRUE, FALSE, TRUE },
      [QG_RETRY_DETACHED] = { QG_OUTCOME_UNKNOWN, TRUE, TRUE, TRUE },
      [QG_RETRY_ANSWER_STARTED] = { QG_OUTCOME_RAN, FALSE, TRUE, FALSE },
  },
  /* at most once */
  {
      [QG_RETRY_UNSENT] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, FALSE },
      [QG_RETRY_REFUSED] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, TRUE },
      [QG_RETRY_SENT] = { QG_OUTCOME_UNKNOWN, FALSE, FALSE, FALSE },
      [QG_RETRY_CRASHED] = { QG_OUTCOME_UNKNOWN, FALSE, FALSE, FALSE },
      [QG_RETRY_DETACHED] = { QG_OUTCOME_UNKNOWN, FALSE, TRUE, FALSE },
      [QG_RETRY_ANSWER_STARTED] = { QG_OUTCOME_RAN, FALSE, TRUE, FALSE },
  },
};

static const char *const outcome_names[QG_N_OUTCOMES] = {
  [QG_OUTCOME_NOT_RUN] = "not-run",
  [QG_OUTCOME_UNKNOWN] = "unknown",
  [QG_OUTCOME_RAN] = "ran",
};

static QgTime backoff (const QgRetryAttempt *attempt);
static gboolean spend_retry (QgRetryBudget *budget);
static guint64 splitmix64 (guint64 x);

void
qg_retry_budget_set (QgRetryBudget *budget, guint percent, guint sharers)
{
  budget->percent = MIN (percent, 100);
  budget->burst = percent == 0 ? 0 : MAX (QG_RETRY_BURST * 100 / sharers, 100);
  budget->hundredths = MIN (budget->hundredths, budget->burst);
}

void
qg_retry_budget_add_request (QgRetryBudget *budget)
{
  budget->hundredths
      = MIN (budget->hundredths + budget->percent, budget->burst);
}

QgRetryVerdict
qg_retry_decide (const QgRetryAttempt *attempt, QgRetryBudget *budget)
{
  const StageRule *rule = &rules[attempt->once ? 1 : 0][attempt->stage];
  QgRetryVerdict verdict
      = { QG_RETRY_FAIL, 0, MAX (rule->outcome, attempt->earlier_outcome) };
  QgTime pause = rule->charged ? backoff (attempt) : 0;

  if (attempt->now >= attempt->deadline)
    return verdict;
  if (rule->may_attach && attempt->reachable)
    {
      verdict.action = QG_RETRY_ATTACH;
      return verdict;
    }
  if (!rule->may_rerun || attempt->now + pause >= attempt->deadline)
    return verdict;
  if (rule->charged && attempt->number >= QG_RETRY_MAX_ATTEMPTS)
    return verdict;
  if (!qg_check_invariant (
          !attempt->once || verdict.outcome == QG_OUTCOME_NOT_RUN,
          QG_EV_INV_RETRY, "a request that may have run would be run again"))
    return verdict;
  if (rule->charged && !spend_retry (budget))
    return verdict;
  verdict.action = QG_RETRY_REQUEUE;
  verdict.pause = pause;
  return verdict;
}

const char *
qg_outcome_name (QgOutcome outcome)
{
  return outcome_names[outcome];
}

/* Exponential backoff, with a random factor between one half and one. */
static QgTime
backoff (const QgRetryAttempt *attempt)
{
  guint doublings = MIN (attempt->number - 1, 10);
  QgTime pause = MIN (QG_RETRY_BACKOFF_BASE << doublings, QG_RETRY_BACKOFF_MAX);
  guint64 random = splitmix64 (attempt->seed + attempt->number);

  return pause / 2 + (QgTime)(random % (guint64)(pause / 2 + 1));
}

static gboolean
spend_retry (QgRetryBudget *budget)
{
  if (budget->hundredths < 100)
    return FALSE;
  budget->hundredths -= 100;
  return TRUE;
}

/* Output of the SplitMix64 generator for state @x. */
static guint64
splitmix64 (guint64 x)
{
  x += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return x ^ (x >> 31);
}
