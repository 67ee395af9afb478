#include "order.h"

#include "event.h"

struct _QgOrderGate
{
  gboolean engine_fences;
  QgOrder last_sent;
  gboolean confirmed;    /* the running target has accepted last_sent */
  guint64 target_number; /* highest number that the target has reported */
};

static gboolean is_same_order (const QgOrder *a, const QgOrder *b);

QgOrder
qg_order_from_doc (const QgDoc *doc, const char *dc, const char *name)
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
  qg_order_clear (&gate->last_sent);
  g_free (gate);
}

QgOrderVerdict
qg_order_check (QgOrderGate *gate, const QgOrder *order, gboolean has_permit)
{
  QgOrder *last = &gate->last_sent;

  if (order->number < last->number || order->number < gate->target_number)
    return QG_ORDER_STALE;
  if (!has_permit)
    return QG_ORDER_NO_PERMIT;
  if (last->version != NULL && order->number == last->number
      && !qg_check_invariant (
          is_same_order (order, last), QG_EV_INV_ORDER,
          "two different orders with number %" G_GUINT64_FORMAT, order->number))
    return QG_ORDER_STALE;
  if (gate->confirmed && is_same_order (order, last))
    {
      last->number = order->number;
      return QG_ORDER_UNCHANGED;
    }
  qg_order_clear (last);
  *last = *order;
  last->version = qg_str_ref (order->version);
  gate->confirmed = FALSE;
  return QG_ORDER_SEND;
}

void
qg_order_handle_answer (QgOrderGate *gate, guint64 number, QgOrderAnswer answer,
                        guint64 known)
{
  if (answer == QG_ORDER_REFUSED && gate->engine_fences)
    gate->target_number = MAX (gate->target_number, known);
  if (number != gate->last_sent.number)
    return;
  gate->confirmed = answer == QG_ORDER_ACCEPTED;
}

void
qg_order_target_restarted (QgOrderGate *gate)
{
  gate->confirmed = FALSE;
  gate->target_number = 0;
}

gboolean
qg_order_superseded (const QgOrderGate *gate, guint64 revision)
{
  return gate->target_number > revision;
}

guint64
qg_order_highest_sent (const QgOrderGate *gate)
{
  return gate->last_sent.number;
}

static gboolean
is_same_order (const QgOrder *a, const QgOrder *b)
{
  return a->drain == b->drain && g_strcmp0 (a->version, b->version) == 0;
}
