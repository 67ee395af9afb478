#include "resend.h"

/** Part of the ratio that is left: the number of requests differs between this
 * window and those that begin and end a little earlier or later. */
#define RESERVE 0.05

struct _QgResendBudget
{
  GQueue requests; /* QgTime of each request, oldest first */
  GQueue resends;  /* QgTime of each resend, oldest first */
};

static void drop_before (GQueue *times, QgTime before);
static void add_time (GQueue *times, QgTime now);
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
  g_queue_clear_full (&budget->requests, g_free);
  g_queue_clear_full (&budget->resends, g_free);
  g_free (budget);
}

static void
drop_before (GQueue *times, QgTime before)
{
  QgTime *oldest;

  while ((oldest = g_queue_peek_head (times)) != NULL && *oldest < before)
    g_free (g_queue_pop_head (times));
}

static void
add_time (GQueue *times, QgTime now)
{
  QgTime *at = g_new (QgTime, 1);

  *at = now;
  g_queue_push_tail (times, at);
}

void
qg_resend_budget_add_request (QgResendBudget *budget, QgTime window, QgTime now)
{
  drop_before (&budget->requests, now - window);
  add_time (&budget->requests, now);
}

static gboolean
take_from_budget (QgResendBudget *budget, const QgResendLimits *limits,
                  QgTime now)
{
  double limit;

  drop_before (&budget->requests, now - limits->window);
  drop_before (&budget->resends, now - limits->window - QG_RESEND_DELAY_MAX);
  limit
      = limits->ratio * (1 - RESERVE) * budget->requests.length + limits->extra;
  if (budget->resends.length + 1 > limit)
    return FALSE;
  add_time (&budget->resends, now);
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
