#include "retry.h"

#include "event.h"

typedef struct
{
  QgOutcome run;    /* what is true of the attempt */
  gboolean again;   /* it may be run again */
  gboolean attach;  /* its answer may still be had */
  gboolean charged; /* a retry counts against the budget */
} Row;

static const Row rows[2][QG_N_RETRY_STAGES] = {
  /* idempotent */
  {
      [QG_RETRY_UNSENT] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, FALSE },
      [QG_RETRY_REFUSED] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, TRUE },
      [QG_RETRY_SENT] = { QG_OUTCOME_UNKNOWN, TRUE, FALSE, TRUE },
      [QG_RETRY_CRASHED] = { QG_OUTCOME_UNKNOWN, TRUE, FALSE, TRUE },
      [QG_RETRY_DETACHED] = { QG_OUTCOME_UNKNOWN, TRUE, TRUE, TRUE },
      [QG_RETRY_PASSED] = { QG_OUTCOME_RAN, FALSE, TRUE, FALSE },
  },
  /* at most once */
  {
      [QG_RETRY_UNSENT] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, FALSE },
      [QG_RETRY_REFUSED] = { QG_OUTCOME_NOT_RUN, TRUE, FALSE, TRUE },
      [QG_RETRY_SENT] = { QG_OUTCOME_UNKNOWN, FALSE, FALSE, FALSE },
      [QG_RETRY_CRASHED] = { QG_OUTCOME_UNKNOWN, FALSE, FALSE, FALSE },
      [QG_RETRY_DETACHED] = { QG_OUTCOME_UNKNOWN, FALSE, TRUE, FALSE },
      [QG_RETRY_PASSED] = { QG_OUTCOME_RAN, FALSE, TRUE, FALSE },
  },
};

static const char *const outcome_names[QG_N_OUTCOMES] = {
  [QG_OUTCOME_NOT_RUN] = "not-run",
  [QG_OUTCOME_UNKNOWN] = "unknown",
  [QG_OUTCOME_RAN] = "ran",
};

static QgTime pause_of (const QgRetryCase *attempt);
static gboolean take (QgRetryBudget *budget);
static guint64 mix (guint64 x);

void
qg_retry_budget_init (QgRetryBudget *budget, guint percent)
{
  budget->percent = MIN (percent, 100);
  budget->parts = percent == 0 ? 0 : QG_RETRY_BURST * 100;
}

void
qg_retry_budget_note (QgRetryBudget *budget)
{
  budget->parts = MIN (budget->parts + budget->percent, QG_RETRY_BURST * 100);
}

QgRetryVerdict
qg_retry_decide (const QgRetryCase *attempt, QgRetryBudget *budget)
{
  const Row *row = &rows[attempt->once ? 1 : 0][attempt->stage];
  QgRetryVerdict verdict = { QG_RETRY_FAIL, 0, MAX (row->run, attempt->past) };
  QgTime pause = row->charged ? pause_of (attempt) : 0;

  if (attempt->now >= attempt->deadline)
    return verdict;
  if (row->attach && attempt->reachable)
    {
      verdict.action = QG_RETRY_ATTACH;
      return verdict;
    }
  if (!row->again || attempt->now + pause >= attempt->deadline)
    return verdict;
  if (row->charged && attempt->attempt >= QG_RETRY_ATTEMPTS)
    return verdict;
  if (!qg_holds (!attempt->once || verdict.run == QG_OUTCOME_NOT_RUN,
                 QG_EV_INV_RETRY, "work that may have run would be run again"))
    return verdict;
  if (row->charged && !take (budget))
    return verdict;
  verdict.action = QG_RETRY_AGAIN;
  verdict.pause = pause;
  return verdict;
}

const char *
qg_outcome_name (QgOutcome run)
{
  return outcome_names[run];
}

/* Doubles with each attempt; between half and the whole of it by chance. */
static QgTime
pause_of (const QgRetryCase *attempt)
{
  guint doubled = MIN (attempt->attempt - 1, 10);
  QgTime pause = MIN (QG_RETRY_PAUSE << doubled, QG_RETRY_PAUSE_MAX);
  guint64 chance = mix (attempt->seed + attempt->attempt);

  return pause / 2 + (QgTime)(chance % (guint64)(pause / 2 + 1));
}

static gboolean
take (QgRetryBudget *budget)
{
  if (budget->parts < 100)
    return FALSE;
  budget->parts -= 100;
  return TRUE;
}

/* The finalizer of SplitMix64. */
static guint64
mix (guint64 x)
{
  x += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return x ^ (x >> 31);
}
