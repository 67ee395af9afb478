/**
 * @file resend.h
 * Decides whether a relay sends a request to another target after a target
 * failed to answer the request. Resends are limited by a budget per service: a
 * ratio of the requests of the service within a time window, plus a constant.
 * No I/O.
 *
 * For targets with an agent, retry.h makes this decision: an agent can return
 * the rest of an answer, and delays spread the retries. A relay connects
 * to targets itself and knows about a target only what this connection showed.
 *
 * Load patterns:
 *  - Targets fail one request in ten: requests that may run twice are resent
 *    to at most as many targets as their route allows.
 *  - All targets fail: the budget stops resends before they double the load.
 *  - A connection is reset after a request that may not run twice was written:
 *    the request may have run, so it is not resent.
 */
#ifndef QG_RESEND_H
#define QG_RESEND_H

#include "qg.h"

G_BEGIN_DECLS

/** Usual longest time from the decision to resend until the resend reaches a
 * target. Resends count for so much longer than the window, because the budget
 * limits what targets receive. */
#define QG_RESEND_DELAY_MAX QG_SEC

typedef struct _QgResendBudget QgResendBudget;

/** The budget of a service, from its retry settings. */
typedef struct
{
  double ratio;  /**< resends per request */
  double extra;  /**< additional resends per window */
  QgTime window; /**< time over which requests and resends are counted */
} QgResendLimits;

QgResendBudget *qg_resend_budget_new (void);
void qg_resend_budget_free (QgResendBudget *budget);
/** Counts a new request of the service, not a resend. */
void qg_resend_budget_add_request (QgResendBudget *budget, QgTime window,
                                   QgTime now);

/** A request that its last target did not answer. */
typedef struct
{
  gboolean may_have_run; /**< it may have run at any target */
  gboolean repeatable;   /**< its type allows it, or its stream has begun */
  gboolean reached;      /**< the last target was reached; if so, a resend is
                            deducted from the budget */
  guint sends;           /**< number of targets that it was sent to */
  guint max_sends;       /**< limit of sends; applies once it may have run */
  guint tried;           /**< number of targets remembered as tried */
  guint max_tried;       /**< limit of the field tried */
  QgTime now;
  QgTime deadline;
} QgResendCase;

typedef enum
{
  QG_RESEND_ALLOWED,          /**< send it to another target */
  QG_RESEND_DEADLINE_PASSED,  /**< its deadline has passed */
  QG_RESEND_MAY_HAVE_RUN,     /**< it may have run and may not run twice */
  QG_RESEND_TARGET_LIMIT,     /**< the limit of targets is reached */
  QG_RESEND_BUDGET_EXHAUSTED, /**< the budget of the service is exhausted */
  QG_N_RESENDS
} QgResend;

/** Decides on a resend. An allowed resend is deducted from @a budget if the
 * last target was reached. */
QgResend qg_resend_decide (const QgResendCase *request, QgResendBudget *budget,
                           const QgResendLimits *limits);

/** Short name for logs, such as "budget". */
const char *qg_resend_name (QgResend verdict);

G_END_DECLS

#endif
