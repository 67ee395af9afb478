#include "order.h"

#include "event.h"

struct _QgOrderGate
{
  gboolean engine_fences;
  QgOrder passed;     /* the last order passed on */
  gboolean confirmed; /* the target has it since it started */
  guint64 known;      /* highest number the target is known to know */
};

static gboolean same (const QgOrder *a, const QgOrder *b);

QgOrder
qg_order_of (const QgDoc *doc, const char *dc, const char *name)
{
  const QgDocTarget *target = qg_doc_target (doc, name);
  const QgDocDc *record = qg_doc_dc (doc, dc);
  QgOrder order = { qg_doc_revision (doc), FALSE, NULL };

  order.drain = record == NULL || record->state == QG_DC_OUT
                || (target != NULL && target->drain);
  order.version
      = target != NULL ? qg_str_ref (target->version) : qg_str_new ("");
  return order;
}

void
qg_order_clear (QgOrder *order)
{
  g_clear_pointer (&order->version, g_ref_string_release);
}

QgOrderGate *
qg_order_gate_new (gboolean engine_fences)
{
  QgOrderGate *gate = g_new0 (QgOrderGate, 1);

  gate->engine_fences = engine_fences;
  return gate;
}

void
qg_order_gate_free (QgOrderGate *gate)
{
  if (gate == NULL)
    return;
  qg_order_clear (&gate->passed);
  g_free (gate);
}

QgOrderVerdict
qg_order_judge (QgOrderGate *gate, const QgOrder *order, gboolean permit)
{
  QgOrder *passed = &gate->passed;

  if (order->number < passed->number || order->number < gate->known)
    return QG_ORDER_OLD;
  if (!permit)
    return QG_ORDER_NO_PERMIT;
  if (passed->version != NULL && order->number == passed->number
      && !qg_holds (same (order, passed), QG_EV_INV_ORDER,
                    "two orders with number %" G_GUINT64_FORMAT, order->number))
    return QG_ORDER_OLD;
  if (gate->confirmed && same (order, passed))
    {
      passed->number = order->number;
      return QG_ORDER_DONE;
    }
  qg_order_clear (passed);
  *passed = *order;
  passed->version = qg_str_ref (order->version);
  gate->confirmed = FALSE;
  return QG_ORDER_PASS;
}

void
qg_order_answered (QgOrderGate *gate, guint64 number, QgOrderAnswer answer,
                   guint64 known)
{
  if (answer == QG_ORDER_REFUSED && gate->engine_fences)
    gate->known = MAX (gate->known, known);
  if (number != gate->passed.number)
    return;
  gate->confirmed = answer == QG_ORDER_ACCEPTED;
}

void
qg_order_restarted (QgOrderGate *gate)
{
  gate->confirmed = FALSE;
  gate->known = 0;
}

gboolean
qg_order_superseded (const QgOrderGate *gate, guint64 revision)
{
  return gate->known > revision;
}

guint64
qg_order_highest (const QgOrderGate *gate)
{
  return gate->passed.number;
}

static gboolean
same (const QgOrder *a, const QgOrder *b)
{
  return a->drain == b->drain && g_strcmp0 (a->version, b->version) == 0;
}
