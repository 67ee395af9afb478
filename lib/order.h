/**
 * @file order.h
 * Orders to a target (drain, version to load) and their fencing numbers.
 *
 * An order is a pure function of the document, and its number is the revision
 * of that document: the same number means the same order, and a newer document
 * has a higher one. So numbers come from the replicated state, are monotone
 * per target, and cost no message of their own.
 *
 * The agent is the gate before its target: it passes on no order with a number
 * below the highest it has passed on, and none without a valid permit. An
 * engine that checks numbers refuses older ones itself, which also stops an
 * agent that a newer one replaced. For an engine that ignores them the gate is
 * the only check: an agent that was replaced but still runs may send an old
 * order until its permit ends, a few seconds at most.
 */
#ifndef QG_ORDER_H
#define QG_ORDER_H

#include "doc.h"

G_BEGIN_DECLS

/** What a target is to do. */
typedef struct
{
  guint64 number; /**< fencing number: the revision it was made from */
  gboolean drain; /**< it is leaving, or its data centre is out */
  QgStr *version; /**< version to load, empty: any; owned */
} QgOrder;

/** What the gate says of an order. */
typedef enum
{
  QG_ORDER_PASS,      /**< send it to the target */
  QG_ORDER_DONE,      /**< the target has it already */
  QG_ORDER_OLD,       /**< a newer order was passed on; do not send it */
  QG_ORDER_NO_PERMIT, /**< without a permit nothing is ordered */
  QG_N_ORDER_VERDICTS
} QgOrderVerdict;

/** What the target answered. */
typedef enum
{
  QG_ORDER_ACCEPTED,
  QG_ORDER_REFUSED, /**< it knows a higher number */
  QG_ORDER_LOST,    /**< no answer: it may have been taken or not */
  QG_N_ORDER_ANSWERS
} QgOrderAnswer;

typedef struct _QgOrderGate QgOrderGate;

/** The order that @a doc holds for the target of agent @a name in @a dc. */
QgOrder qg_order_of (const QgDoc *doc, const char *dc, const char *name);
void qg_order_clear (QgOrder *order);

/** A gate before a target that was just met. @a engine_fences: the target
 * itself refuses old numbers. */
QgOrderGate *qg_order_gate_new (gboolean engine_fences);
void qg_order_gate_free (QgOrderGate *gate);

/** Judges @a order; the number counts as passed on with QG_ORDER_PASS. */
QgOrderVerdict qg_order_judge (QgOrderGate *gate, const QgOrder *order,
                               gboolean permit);

/**
 * Takes the target's answer to the order with @a number.
 *
 * @param known the highest number the target knows, when it refused.
 */
void qg_order_answered (QgOrderGate *gate, guint64 number, QgOrderAnswer answer,
                        guint64 known);

/** The target restarted: it has forgotten what it was ordered, and its engine
 * which numbers it saw. The gate keeps its own. */
void qg_order_restarted (QgOrderGate *gate);

/** A newer gate stands before the target: this one gives no work and no order
 * until its document has reached the number that the target knows. */
gboolean qg_order_superseded (const QgOrderGate *gate, guint64 revision);

/** Highest number passed on. */
guint64 qg_order_highest (const QgOrderGate *gate);

G_END_DECLS

#endif
