/**
 * @file retry.h
 * What becomes of a request whose attempt did not end with an answer: run it
 * again, attach to it, or refuse it with a truthful statement of how far it
 * got.
 *
 * Only idempotent or provably unsent work is run again, at most
 * QG_RETRY_ATTEMPTS times, within its deadline and the budget of its service.
 * A statement covers all attempts: one that may have run makes "not run"
 * false for good.
 */
#ifndef QG_RETRY_H
#define QG_RETRY_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_RETRY_ATTEMPTS = 3, /**< runs of one request, the first included */
  QG_RETRY_BURST = 10    /**< retries that a full budget allows at once */
};

/** Shortest and longest pause before a retry. */
#define QG_RETRY_PAUSE     (25 * QG_MSEC)
#define QG_RETRY_PAUSE_MAX QG_SEC

/** How far the attempt got when it ended. */
typedef enum
{
  QG_RETRY_UNSENT,   /**< nothing reached a target */
  QG_RETRY_REFUSED,  /**< the target refused the connection or the work */
  QG_RETRY_SENT,     /**< bytes reached the target, which gave no answer */
  QG_RETRY_CRASHED,  /**< the target died while it ran */
  QG_RETRY_DETACHED, /**< the link to the agent that runs it broke */
  QG_RETRY_PASSED,   /**< part of the answer went to the caller */
  QG_N_RETRY_STAGES
} QgRetryStage;

/** How far a request got, over all its attempts; ordered. */
typedef enum
{
  QG_OUTCOME_NOT_RUN, /**< nothing of it reached a target */
  QG_OUTCOME_UNKNOWN, /**< it may have run */
  QG_OUTCOME_RAN,     /**< it ran, at least in part */
  QG_N_OUTCOMES
} QgOutcome;

/** What to do with the request. */
typedef enum
{
  QG_RETRY_AGAIN,  /**< queue it again, after the pause */
  QG_RETRY_ATTACH, /**< ask the agent that ran it for the rest */
  QG_RETRY_FAIL,   /**< refuse it, stating QgRetryVerdict.run */
} QgRetryAction;

/** The budget of a service: a share of its requests, with a burst. */
typedef struct
{
  guint percent; /**< retries for 100 requests */
  guint parts;   /**< hundredths of a retry in hand */
} QgRetryBudget;

/** An attempt that ended. */
typedef struct
{
  gboolean once;      /**< not idempotent */
  QgRetryStage stage; /**< how far this attempt got */
  QgOutcome past;     /**< how far earlier attempts got */
  guint attempt;      /**< 1 for the first */
  gboolean reachable; /**< the agent that ran it may still be reached */
  QgTime now;
  QgTime deadline;
  guint64 seed; /**< of the jitter: differs between requests */
} QgRetryCase;

/** What to do, with the pause before it and what is true meanwhile. */
typedef struct
{
  QgRetryAction action;
  QgTime pause;
  QgOutcome run; /**< the statement, also kept as `past` of the next attempt */
} QgRetryVerdict;

/** A full budget of @a percent retries for 100 requests. */
void qg_retry_budget_init (QgRetryBudget *budget, guint percent);

/** Notes a new request (not a retry) of the service. */
void qg_retry_budget_note (QgRetryBudget *budget);

/**
 * Decides; takes one retry from @a budget for QG_RETRY_AGAIN when the attempt
 * cost a target anything.
 */
QgRetryVerdict qg_retry_decide (const QgRetryCase *attempt,
                                QgRetryBudget *budget);

/** "not-run", "unknown" or "ran", as in problem details. */
const char *qg_outcome_name (QgOutcome run);

G_END_DECLS

#endif
