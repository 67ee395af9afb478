/**
 * @file logbudget.h
 * Samples log lines when there are more than the budget allows. Does no I/O.
 *
 * Sampling limits the log during a burst or a retry storm of thousands of
 * requests a second, each with several lines. The id of a request decides
 * whether its lines are written, so that a logged request can be followed from
 * start to end; processes that sample at the same rate choose the same ids.
 * Dropped lines are counted.
 */
#ifndef QG_LOGBUDGET_H
#define QG_LOGBUDGET_H

#include "qg.h"

G_BEGIN_DECLS

/** Lines that may be written per second. At 300 bytes per line, this limits the
 * log to about 60 KB/s and less than 1 % of the core of a small VM
 * (docs/CAPACITY.md). */
#define QG_LOG_LINES_PER_S 200

typedef struct
{
  guint shift; /**< one in 2^shift ids is logged */
  guint lines; /**< lines written in the current second */
  guint64 n_dropped_lines;
  guint64 reported; /**< value of n_dropped_lines at the last report */
  QgTime reported_at;
  guint next_halving;  /**< the fraction is halved once lines reaches this */
  QgTime second_start; /**< start of the current second */
} QgLogBudget;

/**
 * Decides whether a line is written, and counts the line.
 *
 * @param id id of the request that the line belongs to. NULL if it belongs to
 * no request: such lines are not sampled, but limited to twice the budget.
 */
gboolean qg_log_budget_admit (QgLogBudget *budget, const char *id, gsize id_len,
                              QgTime now);

/** Returns the number of lines dropped since the last report; 0 if the last
 * report was less than a second ago. */
guint64 qg_log_budget_report (QgLogBudget *budget, QgTime now);

G_END_DECLS

#endif
