/**
 * @file once.h
 * How an agent handles the answer to the claim of a request that must run at
 * most once, and conversion between peer messages and the log commands of
 * claim.h.
 */
#ifndef QG_ONCE_H
#define QG_ONCE_H

#include "claim.h"
#include "proto/peer.pb-c.h"
#include "retry.h"

G_BEGIN_DECLS

/** What the agent does with the request. */
typedef enum
{
  QG_ONCE_RUN,    /**< the claim is granted: send the request */
  QG_ONCE_ATTACH, /**< get the answer from the agent that holds the claim */
  QG_ONCE_WAIT,   /**< claim again after a pause, and refuse the request once
                     the deadline of the claim has passed; the answer had
                     status QG_E_UNAVAILABLE (the claim was stale), or an
                     earlier claim of this agent is not settled yet */
  QG_ONCE_FAIL    /**< refuse the request */
} QgOnceAction;

/** The decision; its strings are constant or belong to the answer. */
typedef struct
{
  QgOnceAction action;
  QgOutcome outcome; /**< whether the request with this key ran */
  QgStatus status;   /**< of the refusal */
  gboolean retry;    /**< another agent may try to claim the key */
  gboolean release;  /**< release the claim, as it may still be granted */
  const char *message;
} QgOnceVerdict;

/** Why a request that goes on with a stream is refused where no answer is
 * stored that it could go on with: a new run may be one of another version. */
#define QG_ONCE_NO_STREAM                                                      \
  "the run that began this stream is not known, and another may differ from "  \
  "it; begin it anew"

/**
 * Decides what to do with a request after the answer to its claim. The caller
 * must first check that this agent does not itself hold the answer to the
 * request.
 *
 * @param answer NULL if no answer arrived in time.
 * @param agent name of this agent, which runs as @a incarnation.
 * @param goes_on whether the request asks to go on after an event of a stream:
 *                it gets the rest of a stored answer, and never a new run.
 */
QgOnceVerdict qg_once_decide (const Qg__ClaimAnswer *answer, const char *agent,
                              guint64 incarnation, gboolean goes_on);

/** Converts a peer message to a log command. The command borrows the strings of
 * the message. */
void qg_once_take_from_ask (const Qg__ClaimAsk *ask, Qg__ClaimTake *take);
void qg_once_settle_from_done (const Qg__ClaimDone *done,
                               Qg__ClaimSettle *settle);

/** Converts the result of a take to the answer for the agent. The answer
 * borrows the strings of the result. */
void qg_once_answer_from_result (const Qg__ClaimResult *result, guint64 seq,
                                 Qg__ClaimAnswer *answer);

G_END_DECLS

#endif
