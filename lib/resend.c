#include "resend.h"

struct _QgResendBudget
{
  GQueue asked; /* of QgTime, oldest first */
  GQueue again;
};

static void forget (GQueue *times, QgTime before);
static void note (GQueue *times, QgTime now);
static gboolean take (QgResendBudget *budget, const QgResendLimits *limits,
                      QgTime now);

QgResendBudget *
qg_resend_budget_new (void)
{
  return g_new0 (QgResendBudget, 1);
}

void
qg_resend_budget_free (QgResendBudget *budget)
{
  g_queue_clear_full (&budget->asked, g_free);
  g_queue_clear_full (&budget->again, g_free);
  g_free (budget);
}

static void
forget (GQueue *times, QgTime before)
{
  QgTime *oldest;

  while ((oldest = g_queue_peek_head (times)) != NULL && *oldest < before)
    g_free (g_queue_pop_head (times));
}

static void
note (GQueue *times, QgTime now)
{
  QgTime *at = g_new (QgTime, 1);

  *at = now;
  g_queue_push_tail (times, at);
}

void
qg_resend_budget_asked (QgResendBudget *budget, QgTime window, QgTime now)
{
  forget (&budget->asked, now - window);
  note (&budget->asked, now);
}

static gboolean
take (QgResendBudget *budget, const QgResendLimits *limits, QgTime now)
{
  double most;

  forget (&budget->asked, now - limits->window);
  forget (&budget->again, now - limits->window);
  most = limits->ratio * budget->asked.length + limits->extra;
  if (budget->again.length + 1 > most)
    return FALSE;
  note (&budget->again, now);
  return TRUE;
}

QgResend
qg_resend_decide (const QgResendCase *request, QgResendBudget *budget,
                  const QgResendLimits *limits)
{
  if (request->now >= request->deadline)
    return QG_RESEND_LATE;
  if (request->ran && !request->repeatable)
    return QG_RESEND_RAN;
  if (request->tried >= request->max_tried
      || (request->ran && request->sends >= request->max_sends))
    return QG_RESEND_TARGETS;
  if (request->reached && !take (budget, limits, request->now))
    return QG_RESEND_BUDGET;
  return QG_RESEND_AGAIN;
}

const char *
qg_resend_name (QgResend verdict)
{
  static const char *const names[] = {
    [QG_RESEND_AGAIN] = "again",      [QG_RESEND_LATE] = "late",
    [QG_RESEND_RAN] = "may-have-run", [QG_RESEND_TARGETS] = "targets",
    [QG_RESEND_BUDGET] = "budget",
  };

  return names[(guint)verdict % QG_N_RESENDS];
}
