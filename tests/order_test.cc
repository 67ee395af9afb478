#include "lib/event.h"
#include "lib/order.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

/** A target that keeps the highest number it took, and may check it. */
struct Engine
{
  bool fences;
  guint64 highest = 0;
  gboolean drain = FALSE;

  void
  order (QgOrderGate *gate, const QgOrder &o, bool answer_lost)
  {
    if (fences && o.number < highest)
      {
        qg_order_answered (gate, o.number, QG_ORDER_REFUSED, highest);
        return;
      }
    highest = o.number;
    drain = o.drain;
    qg_order_answered (gate, o.number,
                       answer_lost ? QG_ORDER_LOST : QG_ORDER_ACCEPTED, 0);
  }
};

/** The order of the document at a revision; equal numbers, equal orders. */
QgOrder
order_at (guint64 number)
{
  QgOrder order
      = { number, static_cast<gboolean> (number / 3 % 2), qg_str_new ("") };
  return order;
}

bool
send (QgOrderGate *gate, Engine &engine, guint64 number, bool permit, bool lost)
{
  QgOrder order = order_at (number);
  QgOrderVerdict verdict = qg_order_judge (gate, &order, permit);
  if (verdict == QG_ORDER_PASS)
    engine.order (gate, order, lost);
  qg_order_clear (&order);
  return verdict == QG_ORDER_PASS;
}

} // namespace

TEST (Order, ItFollowsTheDocument)
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
      QgOrder order = qg_order_of (doc, row.dc, row.name);
      EXPECT_EQ (order.number, 4u);
      EXPECT_EQ (order.drain, row.drain) << row.dc << row.name;
      EXPECT_STREQ (order.version, row.version);
      qg_order_clear (&order);
    }
  qg_doc_unref (doc);
  qg_problems_clear (&problems);
}

TEST (Order, TwoOrdersOfOneNumberBreakAnInvariant)
{
  QgOrderGate *gate = qg_order_gate_new (FALSE);
  QgOrder a = { 5, FALSE, qg_str_new ("") }, b = { 5, TRUE, qg_str_new ("") };
  guint64 before = qg_event_count (QG_EV_INV_ORDER);
  EXPECT_EQ (qg_order_judge (gate, &a, TRUE), QG_ORDER_PASS);
  EXPECT_EQ (qg_order_judge (gate, &b, TRUE), QG_ORDER_OLD);
  EXPECT_EQ (qg_event_count (QG_EV_INV_ORDER), before + 1);
  qg_order_clear (&a);
  qg_order_clear (&b);
  qg_order_gate_free (gate);
}

/* Two agents before one target, one of them behind: a fencing engine never
 * takes a number below one it took; behind each gate none goes back. */
RC_GTEST_PROP (Order, NumbersNeverGoBack, ())
{
  Engine engine = { *rc::gen::arbitrary<bool> () };
  QgOrderGate *gates[2] = { qg_order_gate_new (engine.fences),
                            qg_order_gate_new (engine.fences) };
  guint64 seen[2] = { 1, 1 };
  guint64 passed[2] = { 0, 0 };
  int steps = *rc::gen::inRange (1, 80);

  for (int i = 0; i < steps; i++)
    {
      int who = *rc::gen::inRange (0, 2);
      guint64 before = engine.highest;
      seen[who] += *rc::gen::inRange<guint64> (0, 4);
      guint64 number = seen[who] - *rc::gen::inRange<guint64> (0, 2);
      bool restart = *rc::gen::inRange (0, 12) == 0;
      if (restart)
        {
          engine.highest = 0;
          before = 0;
          qg_order_restarted (gates[0]);
          qg_order_restarted (gates[1]);
        }
      bool permit = *rc::gen::inRange (0, 4) != 0;
      bool sent = send (gates[who], engine, number, permit,
                        *rc::gen::inRange (0, 3) == 0);
      RC_ASSERT (!sent || (permit && number >= passed[who]));
      if (sent)
        passed[who] = number;
      RC_ASSERT (!engine.fences || engine.highest >= before);
      if (sent && engine.fences && number < before)
        RC_ASSERT (qg_order_superseded (gates[who], number));
    }
  qg_order_gate_free (gates[0]);
  qg_order_gate_free (gates[1]);
}
