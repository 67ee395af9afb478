/**
 * @file resend.h
 * Decides whether a relay sends a request to another target after a target
 * failed to answer the request. Resends are limited by a budget per service. No
 * I/O.
 *
 * The rule, for all relays together and each time t: targets receive at most
 * ratio * max (R(t), R(t - w/2), R(t - w)) + extra resends in [t, t + w], where
 * R(t) is the number of requests in [t, t + w]. A relay does not know the
 * requests of the others. If each used its own maximum, callers that move from
 * one relay to another would be allowed twice the resends. Each relay therefore
 * resends at most ratio * (R(t) + R(t - w)) / 2, of its own requests, plus its
 * part of extra.
 *
 * Proof: a resend is allowed only if, for each t whose window contains it, the
 * resends since t are within this limit by the requests up to now. The last
 * resend in a window was allowed, and later requests only raise the limit. The
 * limits of relays, and of the lives of a relay that ends and returns, add up
 * to that of all requests; and half of a sum is at most the larger number.
 *
 * Steady traffic can use all of ratio but a tenth, for delays
 * (QG_RESEND_DELAY_MAX): almost half of a window's resends at once, the rest as
 * requests come. For a window after a start, half of ratio can be used. Only
 * limits that weight the three numbers with a sum of 1 add up like this: R(t -
 * w) alone allows all at once, but none for a window after a start; R(t - w/2)
 * alone, none for half a window; R(t) alone, nothing saved.
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
 * target, as the budget limits what targets receive. For windows below four
 * times as much, a quarter of the window is assumed. */
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
/** Counts a new request of the service, not a resend. Memory and work do not
 * depend on the number of requests.
 *
 * @param window as in QgResendLimits; after a change, earlier requests do not
 *   count. */
void qg_resend_budget_add_request (QgResendBudget *budget, QgTime window,
                                   QgTime now);

/** A request that its last target did not answer. */
typedef struct
{
  gboolean may_have_run; /**< it may have run at any target */
  gboolean repeatable;   /**< it may run twice, or its answer can be resumed */
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
