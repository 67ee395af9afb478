/**
 * @file resend.h
 * Whether a relay sends a request to another target after one did not answer
 * it, and the budget of such sends: a share of the requests of a service
 * within a window, and some more. Pure.
 *
 * retry.h decides for the product's own agents, which can be asked for the
 * rest of an answer and spread retries by pauses; a relay knows of a target
 * only what its connection showed.
 *
 * Load patterns it answers:
 *  - Targets fail one request in ten: those that may run twice go on, up to
 *    the number of targets of their route.
 *  - All targets fail: the budget ends the retries before they double the
 *    load.
 *  - A connection is reset after a request that may not run twice was written:
 *    it may have run, so it is not sent again.
 */
#ifndef QG_RESEND_H
#define QG_RESEND_H

#include "qg.h"

G_BEGIN_DECLS

typedef struct _QgResendBudget QgResendBudget;

/** What the budget of a service allows; see the settings of the same names. */
typedef struct
{
  double ratio; /**< sends again by request */
  double extra; /**< sends again in the window beside these */
  QgTime window;
} QgResendLimits;

QgResendBudget *qg_resend_budget_new (void);
void qg_resend_budget_free (QgResendBudget *budget);
/** Notes a new request (not a send again) of the service. */
void qg_resend_budget_asked (QgResendBudget *budget, QgTime window, QgTime now);

/** A request that a target did not answer. */
typedef struct
{
  gboolean ran;        /**< it may have run at some target */
  gboolean repeatable; /**< it may run twice, or go on where it broke off */
  gboolean reached;    /**< the last target was reached: costs the budget */
  guint sends;         /**< targets that it was sent to */
  guint max_sends;     /**< targets of its route that may run it */
  guint tried;         /**< targets that are remembered as tried */
  guint max_tried;
  QgTime now;
  QgTime deadline;
} QgResendCase;

typedef enum
{
  QG_RESEND_AGAIN,
  QG_RESEND_LATE,    /**< its time is over */
  QG_RESEND_RAN,     /**< it may have run, and may not run twice */
  QG_RESEND_TARGETS, /**< enough targets were tried */
  QG_RESEND_BUDGET,  /**< the budget of the service is used up */
  QG_N_RESENDS
} QgResend;

/** Decides; takes one send from @a budget for QG_RESEND_AGAIN when the last
 * target was reached. */
QgResend qg_resend_decide (const QgResendCase *request, QgResendBudget *budget,
                           const QgResendLimits *limits);

/** For logs, e.g. "budget". */
const char *qg_resend_name (QgResend verdict);

G_END_DECLS

#endif
