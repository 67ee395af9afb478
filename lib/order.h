/**
 * @file order.h
 * Orders to a target (drain, version to load) and their fencing numbers.
 *
 * An order depends only on the configuration document, and its fencing number
 * is the revision of that document. Equal numbers mean equal orders, and a
 * newer document has a higher number. The numbers are thus part of the
 * replicated state, increase monotonically per target, and need no messages of
 * their own.
 *
 * The gate is the agent's check before it sends an order: it stops orders with
 * a number below the highest one sent, and all orders while the agent has no
 * valid permit. An engine that checks fencing numbers refuses orders with older
 * numbers itself, including the orders of an agent that has been replaced. With
 * an engine that ignores fencing numbers, the gate is the only check: an agent
 * that has been replaced but still runs may send an old order until its permit
 * expires, which takes a few seconds at most.
 */
#ifndef QG_ORDER_H
#define QG_ORDER_H

#include "doc.h"

G_BEGIN_DECLS

/** What a target must do. */
typedef struct
{
  guint64 number; /**< fencing number: revision of the document */
  gboolean drain; /**< take no new work: the target is to drain, or
                       its data centre is out */
  QgStr *version; /**< version to load, owned; empty: any */
} QgOrder;

/** Decision of the gate on an order. */
typedef enum
{
  QG_ORDER_SEND,      /**< send it to the target */
  QG_ORDER_UNCHANGED, /**< the target already has it */
  QG_ORDER_STALE, /**< do not send it: this agent or a different agent has sent
                     a newer order */
  QG_ORDER_NO_PERMIT, /**< do not send it: the agent has no permit */
  QG_N_ORDER_VERDICTS
} QgOrderVerdict;

/** Answer of the target to an order. */
typedef enum
{
  QG_ORDER_ACCEPTED,
  QG_ORDER_REFUSED,    /**< the target reports a higher number */
  QG_ORDER_UNANSWERED, /**< no answer: the order may have taken effect */
  QG_N_ORDER_ANSWERS
} QgOrderAnswer;

typedef struct _QgOrderGate QgOrderGate;

/** Returns the order in @a doc for the target of agent @a name in @a dc; free
 * it with qg_order_clear(). */
QgOrder qg_order_from_doc (const QgDoc *doc, const char *dc, const char *name);
void qg_order_clear (QgOrder *order);

/** Creates a gate for a target to which nothing was sent yet.
 * @param engine_fences the target itself refuses old numbers. */
QgOrderGate *qg_order_gate_new (gboolean engine_fences);
void qg_order_gate_free (QgOrderGate *gate);

/**
 * Checks @a order. After QG_ORDER_SEND or QG_ORDER_UNCHANGED, the number of
 * @a order counts as sent.
 *
 * @param has_permit whether the agent has a valid permit.
 */
QgOrderVerdict qg_order_check (QgOrderGate *gate, const QgOrder *order,
                               gboolean has_permit);

/**
 * Handles the target's answer to the order with @a number.
 *
 * @param known highest number that the target reports; used only for
 * QG_ORDER_REFUSED.
 */
void qg_order_handle_answer (QgOrderGate *gate, guint64 number,
                             QgOrderAnswer answer, guint64 known);

/** Handles a restart of the target. The target has lost its orders, and its
 * engine has lost the highest number seen. The gate keeps the highest number
 * sent. */
void qg_order_target_restarted (QgOrderGate *gate);

/** Whether another agent has sent the target an order newer than @a revision.
 * This agent must then send the target no work and no orders until the
 * revision of this agent's document has reached the number that the target
 * reported. */
gboolean qg_order_superseded (const QgOrderGate *gate, guint64 revision);

/** Highest number sent. */
guint64 qg_order_highest_sent (const QgOrderGate *gate);

G_END_DECLS

#endif
