/**
 * @file once.h
 * What an agent does with the answer to its claim of a non-idempotent key, and
 * the messages of claims as commands of the replicated log (claim.h).
 */
#ifndef QG_ONCE_H
#define QG_ONCE_H

#include "claim.h"
#include "proto/peer.pb-c.h"
#include "retry.h"

G_BEGIN_DECLS

/** What the agent does. */
typedef enum
{
  QG_ONCE_RUN,    /**< the claim is its own: send the request */
  QG_ONCE_ATTACH, /**< the answer is at another agent, the holder */
  QG_ONCE_WAIT,   /**< the claim came late, or an own earlier one is about to
                       be settled: ask anew after a pause, in the end refuse */
  QG_ONCE_FAIL    /**< refuse it */
} QgOnceAction;

/** The decision; its strings belong to the answer or are constant. */
typedef struct
{
  QgOnceAction action;
  QgOutcome run;    /**< how far the work of the key got */
  QgStatus status;  /**< of the refusal */
  gboolean retry;   /**< another agent may try to claim it */
  gboolean release; /**< settle the claim as released: it may yet be granted */
  const char *message;
} QgOnceVerdict;

/**
 * Decides on the answer to a claim that this agent holds no answer for.
 *
 * @param answer NULL when none came in time.
 * @param agent this agent, with its @a incarnation.
 */
QgOnceVerdict qg_once_decide (const Qg__ClaimAnswer *answer, const char *agent,
                              guint64 incarnation);

/** Fills a command of the log from a message; the strings stay its own. */
void qg_once_take (const Qg__ClaimAsk *ask, Qg__ClaimTake *take);
void qg_once_settle (const Qg__ClaimDone *done, Qg__ClaimSettle *settle);

/** Fills the answer to an ask from the result of its command. */
void qg_once_answer (const Qg__ClaimResult *result, guint64 seq,
                     Qg__ClaimAnswer *answer);

G_END_DECLS

#endif
