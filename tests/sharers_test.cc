#include "lib/sharers.h"

#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace
{

const QgTime window = 10 * QG_SEC;

struct Sharers
{
  QgSharers *of = qg_sharers_new (window, 0);
  ~Sharers () { qg_sharers_free (of); }
};

}

TEST (Sharers, AreManyWhileTheirNumberIsNotKnown)
{
  Sharers sharers;
  EXPECT_EQ (qg_sharers_count (sharers.of, 0), QG_SHARERS_UNKNOWN);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, 2 * window));
  qg_sharers_set (sharers.of, 3, 2 * window);
  EXPECT_EQ (qg_sharers_count (sharers.of, 2 * window), 3u);
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, 2 * window));
}

// A relay that is killed and starts again must not use its share once more.
TEST (Sharers, AProcessThatHasStartedIsNotSettledForAWindow)
{
  Sharers sharers;
  qg_sharers_set (sharers.of, 3, 1);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, window - 1));
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, window));
}

TEST (Sharers, CountTheLargestNumberOfTheWindow)
{
  Sharers sharers;
  std::mt19937 random (45);
  std::deque<std::pair<QgTime, guint> > changes; // time, number from then on
  for (QgTime now = 0; now < 200 * QG_SEC; now += QG_SEC / 2)
    {
      if (random () % 3 == 0)
        {
          guint n = 1 + random () % 9;
          qg_sharers_set (sharers.of, n, now);
          changes.emplace_back (now, n);
        }
      guint largest = 0;
      for (size_t i = 0; i < changes.size (); i++)
        if (i + 1 == changes.size () || changes[i + 1].first + window >= now)
          largest = std::max (largest, changes[i].second);
      EXPECT_EQ (qg_sharers_count (sharers.of, now),
                 changes.empty () ? QG_SHARERS_UNKNOWN : largest);
    }
}
