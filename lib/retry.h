/**
 * @file retry.h
 * What to do with a request after an attempt that ended without a complete
 * answer: run it again, attach to its answer at the agent, or refuse it and
 * report its outcome.
 *
 * A request is run again only if it is idempotent or provably reached no
 * target. Retries are limited by QG_RETRY_MAX_ATTEMPTS, by the deadline of the
 * request and by the retry budget of its service. After QG_RETRY_UNSENT, only
 * the deadline applies. The outcome covers all attempts: after an attempt that
 * may have run, "not run" is never reported.
 */
#ifndef QG_RETRY_H
#define QG_RETRY_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_RETRY_MAX_ATTEMPTS = 3, /**< attempts per request, including the first */
  QG_RETRY_BURST = 10 /**< retries that all entries together may have saved */
};

/** Initial and maximum value of the exponential backoff before a retry. */
#define QG_RETRY_BACKOFF_BASE (25 * QG_MSEC)
#define QG_RETRY_BACKOFF_MAX  QG_SEC

/** How far an attempt got before it ended. */
typedef enum
{
  QG_RETRY_UNSENT,   /**< nothing reached a target */
  QG_RETRY_REFUSED,  /**< the target refused the connection or request */
  QG_RETRY_SENT,     /**< bytes reached the target, which did not answer */
  QG_RETRY_CRASHED,  /**< the target crashed during the attempt */
  QG_RETRY_DETACHED, /**< the connection to the agent that runs it broke */
  QG_RETRY_ANSWER_STARTED, /**< part of the answer was sent to the caller */
  QG_N_RETRY_STAGES
} QgRetryStage;

/** Outcome of a request over all its attempts; a higher value prevails. */
typedef enum
{
  QG_OUTCOME_NOT_RUN, /**< no part of it reached a target */
  QG_OUTCOME_UNKNOWN, /**< it may have run */
  QG_OUTCOME_RAN,     /**< it ran, at least in part */
  QG_N_OUTCOMES
} QgOutcome;

/** What to do with the request. */
typedef enum
{
  QG_RETRY_REQUEUE, /**< queue it again after the pause */
  QG_RETRY_ATTACH,  /**< get the rest of the answer from its agent */
  QG_RETRY_FAIL,    /**< refuse it and report QgRetryVerdict.outcome */
} QgRetryAction;

/**
 * Retry budget of a service at one entry: a token bucket that only new requests
 * fill. A zeroed one is empty, so that an entry that ends and returns does not
 * spend again what it has spent.
 */
typedef struct
{
  guint percent;    /**< retries per 100 requests */
  guint burst;      /**< most that can be saved, in hundredths of a retry */
  guint hundredths; /**< saved, in hundredths of a retry */
} QgRetryBudget;

/** An attempt that ended without a complete answer. */
typedef struct
{
  gboolean once;             /**< not idempotent: run at most once */
  QgRetryStage stage;        /**< how far this attempt got */
  QgOutcome earlier_outcome; /**< of the attempts before this one */
  guint number;              /**< number of this attempt; 1 for the first */
  gboolean reachable;        /**< its agent may still be reachable */
  QgTime now;
  QgTime deadline;
  guint64 seed; /**< seed of the jitter; differs between requests */
} QgRetryAttempt;

/** The decision. */
typedef struct
{
  QgRetryAction action;
  QgTime pause;      /**< before the next attempt */
  QgOutcome outcome; /**< outcome so far; earlier_outcome of the next attempt */
} QgRetryVerdict;

/**
 * Sets the limits of @a budget; to be called before each use.
 *
 * @param percent retries per 100 requests.
 * @param sharers number of entries, at least 1, that share QG_RETRY_BURST. Each
 *   may save one retry at least.
 */
void qg_retry_budget_set (QgRetryBudget *budget, guint percent, guint sharers);

/** Adds the share of one new request (not of a retry) to the budget. */
void qg_retry_budget_add_request (QgRetryBudget *budget);

/**
 * Decides what to do after @a attempt. QG_RETRY_REQUEUE takes one retry from
 * @a budget, except after QG_RETRY_UNSENT.
 */
QgRetryVerdict qg_retry_decide (const QgRetryAttempt *attempt,
                                QgRetryBudget *budget);

/** The name in problem details: "not-run", "unknown" or "ran". */
const char *qg_outcome_name (QgOutcome outcome);

G_END_DECLS

#endif
