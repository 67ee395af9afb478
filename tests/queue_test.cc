#include "lib/queue.h"
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

namespace
{
const char *const spaces[] = { "a", "b", "c" };

QgQueueSpec
spec_of (int space, int c = 0, QgTime deadline = G_MAXINT64, gsize bytes = 1)
{
  QgQueueSpec spec
      = { "s", spaces[space], static_cast<QgClass> (c), deadline, bytes };
  return spec;
}

gpointer
item_of (guint64 n)
{
  return GSIZE_TO_POINTER (n);
}
}

/* Compares the queue with one std::deque for each workspace and size class.
 * Order, caps and offers must agree, and each item is returned exactly once. */
RC_GTEST_PROP (Queue, AgreesWithADequeModel, ())
{
  QgQueueOptions options = {};
  options.space_cap = 6;
  QgQueue *queue = qg_queue_new (&options);
  std::map<std::pair<int, int>, std::deque<guint64> > model;
  std::map<guint64, std::pair<int, int> > where;
  std::map<std::pair<int, int>, guint> offered;
  guint64 last = 0;

  for (int step :
       *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 60)))
    {
      std::pair<int, int> kind (step % 3, step / 3 % 2);
      auto &expected = model[kind];
      QgQueueSpec spec = spec_of (kind.first, kind.second);
      switch (step / 6)
        {
        case 0:
        case 1:
        case 2:
        case 3:
          {
            gsize held = model[{ kind.first, 0 }].size ()
                         + model[{ kind.first, 1 }].size ();
            QgStatus status
                = qg_queue_push (queue, &spec, item_of (++last), nullptr);
            RC_ASSERT ((status == QG_OK) == (held < 6));
            if (status == QG_OK)
              expected.push_back (last);
          }
          break;
        case 4:
          qg_queue_requeue (queue, &spec, item_of (++last));
          expected.push_front (last);
          break;
        case 5:
        case 6:
        case 7:
          {
            gpointer item = qg_queue_take (queue, 0, "s", spec.workspace,
                                           spec.size_class);
            RC_ASSERT (GPOINTER_TO_SIZE (item)
                       == (expected.empty () ? 0 : expected.front ()));
            if (!expected.empty ())
              expected.pop_front ();
          }
          break;
        case 8:
          if (!expected.empty ())
            {
              RC_ASSERT (qg_queue_cancel (queue, item_of (expected.back ())));
              RC_ASSERT (!qg_queue_cancel (queue, item_of (expected.back ())));
              expected.pop_back ();
            }
          break;
        default:
          QgQueueOffer offer;
          while (qg_queue_next_offer (queue, &offer))
            offered[{ offer.workspace[0] - 'a', offer.size_class }]
                = offer.waiting;
          for (auto &[k, l] : model)
            {
              guint n = l.size ();
              guint t = offered[k];
              RC_ASSERT ((n == 0) == (t == 0));
              RC_ASSERT (n == t || (n < 2 * t && 2 * n > t));
            }
        }
    }
  gsize left = 0;
  for (auto &entry : model)
    left += entry.second.size ();
  RC_ASSERT (qg_queue_waiting (queue, nullptr) == left);
  for (; qg_queue_take_any (queue, 0, "s") != nullptr; left--)
    ;
  RC_ASSERT (left == 0);
  RC_ASSERT (qg_queue_bytes (queue) == 0);
  qg_queue_unref (queue);
}

TEST (Queue, AFloodOfRequestsCausesFewOffers)
{
  QgQueueOptions options = {};
  options.space_cap = 100000;
  QgQueue *queue = qg_queue_new (&options);
  QgQueueOffer offer;
  int offers = 0;
  for (guint64 i = 1; i <= 65536; i++)
    {
      QgQueueSpec spec = spec_of (0);
      qg_queue_push (queue, &spec, item_of (i), nullptr);
      while (qg_queue_next_offer (queue, &offer))
        offers++;
    }
  EXPECT_EQ (offers, 17);
  qg_queue_unref (queue);
}

TEST (Queue, AnEmptyPullForcesTheNextOffer)
{
  QgQueue *queue = qg_queue_new (nullptr);
  QgQueueSpec spec = spec_of (0);
  QgQueueOffer offer;
  qg_queue_push (queue, &spec, item_of (1), nullptr);
  ASSERT_TRUE (qg_queue_next_offer (queue, &offer));
  qg_queue_take (queue, 0, "s", "a", QG_CLASS_SHORT);
  EXPECT_EQ (qg_queue_take (queue, 0, "s", "a", QG_CLASS_SHORT), nullptr);
  /* The agent whose pull came back empty now expects no waiting request; other
   * agents still expect one. The next offer must therefore be sent, although
   * its count of 1 equals that of the last offer. */
  qg_queue_push (queue, &spec, item_of (2), nullptr);
  ASSERT_TRUE (qg_queue_next_offer (queue, &offer));
  EXPECT_EQ (offer.waiting, 1u);
  qg_queue_unref (queue);
}

TEST (Queue, ExpiredItemsTimeOutAndAreNotServed)
{
  QgQueue *queue = qg_queue_new (nullptr);
  QgQueueSpec early = spec_of (0, 0, 10);
  QgQueueSpec late = spec_of (0, 0, 20);
  QgQueueDropped out;
  qg_queue_push (queue, &early, item_of (1), nullptr);
  qg_queue_push (queue, &late, item_of (2), nullptr);
  EXPECT_EQ (qg_queue_wakeup (queue), 10);
  EXPECT_EQ (qg_queue_take (queue, 10, "s", "a", QG_CLASS_SHORT), item_of (2));
  ASSERT_TRUE (qg_queue_next_dropped (queue, 10, &out));
  EXPECT_EQ (out.item, item_of (1));
  EXPECT_EQ (out.status, QG_E_TIMEOUT);
  EXPECT_FALSE (qg_queue_next_dropped (queue, 10, &out));
  qg_queue_unref (queue);
}

/* When the queue's memory is full, items of the workspace that uses the most
 * bytes are evicted in favour of workspaces that use less. */
TEST (Queue, AFloodIsEvictedForOtherWorkspaces)
{
  QgQueueOptions options = {};
  options.total_bytes = 1000;
  QgQueue *queue = qg_queue_new (&options);
  guint64 n = 0;
  QgQueueSpec flood = spec_of (0, 0, G_MAXINT64, 100);
  QgErr err;
  while (qg_queue_push (queue, &flood, item_of (++n), &err) == QG_OK)
    ;
  EXPECT_EQ (n, 11u);
  EXPECT_EQ (err.status, QG_E_OVERLOADED);
  QgQueueSpec other = spec_of (1, 0, G_MAXINT64, 250);
  EXPECT_EQ (qg_queue_push (queue, &other, item_of (100), nullptr), QG_OK);
  QgQueueDropped out;
  for (guint64 victim : { 10u, 9u, 8u })
    {
      ASSERT_TRUE (qg_queue_next_dropped (queue, 0, &out));
      EXPECT_EQ (out.item, item_of (victim));
      EXPECT_EQ (out.status, QG_E_OVERLOADED);
    }
  EXPECT_FALSE (qg_queue_next_dropped (queue, 0, &out));
  EXPECT_LE (qg_queue_bytes (queue), 1000u);
  qg_queue_set_cap (queue, "c", 1);
  QgQueueSpec small = spec_of (2, 0, G_MAXINT64, 1);
  EXPECT_EQ (qg_queue_push (queue, &small, item_of (200), nullptr), QG_OK);
  EXPECT_EQ (qg_queue_push (queue, &small, item_of (201), nullptr),
             QG_E_OVERLOADED);
  qg_queue_unref (queue);
}
