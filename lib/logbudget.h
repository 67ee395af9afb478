/**
 * @file logbudget.h
 * Which log lines are written when there are more than a budget allows. Pure.
 *
 * Load pattern it answers: a burst or a retry storm of thousands of requests a
 * second, each with several lines. Lines of a request are kept or left out
 * together, by its id, so that what is kept can be followed from start to end;
 * all processes leave out the same ids at the same fraction. What is left out
 * is counted.
 */
#ifndef QG_LOGBUDGET_H
#define QG_LOGBUDGET_H

#include "qg.h"

G_BEGIN_DECLS

/** Lines a second that may be written: at 300 bytes a line some 60 KB/s, and
 * less than a hundredth of a thin VM's core (docs/CAPACITY.md). */
#define QG_LOG_LINES_PER_S 200

typedef struct
{
  guint shift; /**< of the ids one in 2^shift is kept */
  guint lines; /**< written in the present second */
  guint64 left_out;
  guint64 reported; /**< of left_out, told already */
  QgTime reported_at;
  guint step; /**< lines at which the fraction falls next */
  QgTime since;
} QgLogBudget;

/**
 * Whether a line is written.
 *
 * @param id of its request, NULL for lines of the process, which are written
 *   up to twice the budget.
 */
gboolean qg_log_budget_take (QgLogBudget *budget, const char *id, gsize id_len,
                             QgTime now);

/** Lines left out since the last report, once a second at most; else 0. */
guint64 qg_log_budget_report (QgLogBudget *budget, QgTime now);

G_END_DECLS

#endif
