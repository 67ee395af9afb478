#include "lib/event.h"
#include "lib/order.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

/** A target that records the number of the last order it accepted. If fences is
 * true, the target refuses orders with a lower number. */
struct Engine
{
  bool fences;
  guint64 highest = 0;
  gboolean drain = FALSE;

  void
  order (QgOrderGate *gate, const QgOrder &o, bool drop_answer)
  {
    if (fences && o.number < highest)
      {
        qg_order_handle_answer (gate, o.number, QG_ORDER_REFUSED, highest);
        return;
      }
    highest = o.number;
    drain = o.drain;
    qg_order_handle_answer (
        gate, o.number, drop_answer ? QG_ORDER_UNANSWERED : QG_ORDER_ACCEPTED,
        0);
  }
};

/** Returns the order of document revision @a number. Equal numbers give equal
 * orders. */
QgOrder
order_at (guint64 number)
{
  QgOrder order
      = { number, static_cast<gboolean> (number / 3 % 2), qg_str_new ("") };
  return order;
}

bool
send (QgOrderGate *gate, Engine &engine, guint64 number, bool permit,
      bool drop_answer)
{
  QgOrder order = order_at (number);
  QgOrderVerdict verdict = qg_order_check (gate, &order, permit);
  if (verdict == QG_ORDER_SEND)
    engine.order (gate, order, drop_answer);
  qg_order_clear (&order);
  return verdict == QG_ORDER_SEND;
}

} // namespace

TEST (Order, FollowsTheDocument)
{
  const char text[] = "[dc a]\nregion=r\nstate=out\n[dc b]\nregion=r\n"
                      "[target t2]\ndrain=yes\nversion=7\n";
  QgProblems problems;
  qg_problems_init (&problems, NULL);
  QgDoc *doc = qg_doc_parse (text, sizeof text - 1, 4, &problems);
  struct
  {
    const char *dc, *name;
    gboolean drain;
    const char *version;
  } rows[] = { { "a", "t1", TRUE, "" },
               { "b", "t1", FALSE, "" },
               { "b", "t2", TRUE, "7" },
               { "unknown", "t1", TRUE, "" } };
  for (auto &row : rows)
    {
      QgOrder order = qg_order_from_doc (doc, row.dc, row.name);
      EXPECT_EQ (order.number, 4u);
      EXPECT_EQ (order.drain, row.drain) << row.dc << row.name;
      EXPECT_STREQ (order.version, row.version);
      qg_order_clear (&order);
    }
  qg_doc_unref (doc);
  qg_problems_clear (&problems);
}

TEST (Order, DifferentOrdersWithOneNumberBreakAnInvariant)
{
  QgOrderGate *gate = qg_order_gate_new (FALSE);
  QgOrder a = { 5, FALSE, qg_str_new ("") }, b = { 5, TRUE, qg_str_new ("") };
  guint64 before = qg_event_count (QG_EV_INV_ORDER);
  EXPECT_EQ (qg_order_check (gate, &a, TRUE), QG_ORDER_SEND);
  EXPECT_EQ (qg_order_check (gate, &b, TRUE), QG_ORDER_STALE);
  EXPECT_EQ (qg_event_count (QG_EV_INV_ORDER), before + 1);
  qg_order_clear (&a);
  qg_order_clear (&b);
  qg_order_gate_free (gate);
}

/* Two agents send orders to one target from documents of different age. A
 * fencing engine must never accept a lower number than it accepted before, and
 * no gate may send a lower number than it sent before. */
RC_GTEST_PROP (Order, NumbersNeverGoBack, ())
{
  Engine engine = { *rc::gen::arbitrary<bool> () };
  QgOrderGate *gates[2] = { qg_order_gate_new (engine.fences),
                            qg_order_gate_new (engine.fences) };
  guint64 revision[2] = { 1, 1 };
  guint64 last_sent[2] = { 0, 0 };
  int steps = *rc::gen::inRange (1, 80);

  for (int i = 0; i < steps; i++)
    {
      int agent = *rc::gen::inRange (0, 2);
      guint64 before = engine.highest;
      revision[agent] += *rc::gen::inRange<guint64> (0, 4);
      guint64 number = revision[agent] - *rc::gen::inRange<guint64> (0, 2);
      bool restart = *rc::gen::inRange (0, 12) == 0;
      if (restart)
        {
          engine.highest = 0;
          before = 0;
          qg_order_target_restarted (gates[0]);
          qg_order_target_restarted (gates[1]);
        }
      bool permit = *rc::gen::inRange (0, 4) != 0;
      bool sent = send (gates[agent], engine, number, permit,
                        *rc::gen::inRange (0, 3) == 0);
      RC_ASSERT (!sent || (permit && number >= last_sent[agent]));
      if (sent)
        last_sent[agent] = number;
      RC_ASSERT (!engine.fences || engine.highest >= before);
      if (sent && engine.fences && number < before)
        RC_ASSERT (qg_order_superseded (gates[agent], number));
    }
  qg_order_gate_free (gates[0]);
  qg_order_gate_free (gates[1]);
}
