#include "resend.h"

enum
{
  /** Number of slots of time in which requests and resends are counted. */
  SLOTS = 256
};

/* The slot n covers the time from n * slot_time; its counts are at n % SLOTS.
 */
struct _QgResendBudget
{
  QgTime slot_time; /* length of a slot; 0 before the first use */
  gint64 newest;    /* the last slot */
  guint requests[SLOTS];
  guint resends[SLOTS];
};

static void advance (QgResendBudget *budget, QgTime window, QgTime now);
static gboolean take_from_budget (QgResendBudget *budget,
                                  const QgResendLimits *limits, QgTime now);

QgResendBudget *
qg_resend_budget_new (void)
{
  return g_new0 (QgResendBudget, 1);
}

void
qg_resend_budget_free (QgResendBudget *budget)
{
  g_free (budget);
}

void
qg_resend_budget_add_request (QgResendBudget *budget, QgTime window, QgTime now)
{
  advance (budget, window, now);
  budget->requests[budget->newest % SLOTS]++;
}

/* Clears the slots up to @now. Another window, and so another length of a slot,
 * lets earlier resends count as made now, and no earlier request. */
static void
advance (QgResendBudget *budget, QgTime window, QgTime now)
{
  QgTime longest = MAX (2 * window, window + QG_RESEND_DELAY_MAX);
  QgTime slot_time = MAX (longest, 0) / (SLOTS - 2) + 1;
  gint64 slot = now / slot_time;
  guint resends = 0;

  if (slot_time != budget->slot_time)
    {
      for (guint i = 0; i < SLOTS; i++)
        resends += budget->resends[i];
      *budget = (QgResendBudget){ .slot_time = slot_time, .newest = slot };
      budget->resends[slot % SLOTS] = resends;
    }
  budget->newest = MAX (budget->newest, slot - SLOTS);
  while (budget->newest < slot)
    {
      budget->newest++;
      budget->requests[budget->newest % SLOTS] = 0;
      budget->resends[budget->newest % SLOTS] = 0;
    }
}

/* For each slot, checks the windows [t, t + window] that begin within the slot
 * plus the delay. Resends count that may reach a target in one of these,
 * requests only if they came in [t - window, now] for all of them. */
static gboolean
take_from_budget (QgResendBudget *budget, const QgResendLimits *limits,
                  QgTime now)
{
  QgTime window = MAX (limits->window, 0);
  QgTime delay = MIN (QG_RESEND_DELAY_MAX, window / 4);
  gint64 slot, oldest, first;
  guint resends = 1, requests = 0;

  advance (budget, limits->window, now);
  slot = budget->newest;
  oldest = MAX (slot - (window + delay) / budget->slot_time - 1, 0);
  first = slot + 1; /* slot of the first request that counts */
  for (; slot >= oldest; slot--)
    {
      resends += budget->resends[slot % SLOTS];
      while (first > MAX (slot + 1 - (window - delay) / budget->slot_time, 0))
        requests += budget->requests[--first % SLOTS];
      if (resends > limits->ratio / 2 * requests + limits->extra)
        return FALSE;
    }
  budget->resends[budget->newest % SLOTS]++;
  return TRUE;
}

QgResend
qg_resend_decide (const QgResendCase *request, QgResendBudget *budget,
                  const QgResendLimits *limits)
{
  if (request->now >= request->deadline)
    return QG_RESEND_DEADLINE_PASSED;
  if (request->may_have_run && !request->repeatable)
    return QG_RESEND_MAY_HAVE_RUN;
  if (request->tried >= request->max_tried
      || (request->may_have_run && request->sends >= request->max_sends))
    return QG_RESEND_TARGET_LIMIT;
  if (request->reached && !take_from_budget (budget, limits, request->now))
    return QG_RESEND_BUDGET_EXHAUSTED;
  return QG_RESEND_ALLOWED;
}

const char *
qg_resend_name (QgResend verdict)
{
  static const char *const names[] = {
    [QG_RESEND_ALLOWED] = "again",
    [QG_RESEND_DEADLINE_PASSED] = "late",
    [QG_RESEND_MAY_HAVE_RUN] = "may-have-run",
    [QG_RESEND_TARGET_LIMIT] = "targets",
    [QG_RESEND_BUDGET_EXHAUSTED] = "budget",
  };

  return names[(guint)verdict % QG_N_RESENDS];
}
