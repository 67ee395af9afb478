#include "lib/logbudget.h"
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

gboolean
take (QgLogBudget *budget, const std::string &id, QgTime now)
{
  return qg_log_budget_take (budget, id.data (), id.size (), now);
}

} // namespace

TEST (LogBudget, ACalmProcessWritesAll)
{
  QgLogBudget budget = {};
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (take (&budget, std::to_string (i), i * 10 * QG_MSEC));
}

/* Load: 5,000 requests a second with three lines each, for ten seconds. */
TEST (LogBudget, AStormIsThinnedByWholeRequests)
{
  QgLogBudget budget = {};
  std::map<std::string, int> kept;
  std::map<int, int> by_second;
  int n = 0;
  for (int i = 0; i < 50000; i++)
    for (int line = 0; line < 3; line++)
      if (take (&budget, std::to_string (i), i * 200))
        {
          kept[std::to_string (i)]++;
          by_second[i / 5000]++;
          n++;
        }
  for (const auto &second : by_second)
    EXPECT_LE (second.second, 2 * QG_LOG_LINES_PER_S) << second.first;
  int whole = 0;
  for (const auto &request : kept)
    whole += request.second == 3;
  EXPECT_GT (whole, 0.8 * (double)kept.size ());
  EXPECT_GT (n, 5 * QG_LOG_LINES_PER_S / 4);
  EXPECT_EQ (budget.left_out, 150000u - (guint64)n);
}

TEST (LogBudget, TwoProcessesKeepTheSameRequests)
{
  QgLogBudget a = {};
  QgLogBudget b = {};
  a.shift = 3;
  b.shift = 5;
  for (int i = 0; i < 500; i++)
    {
      std::string id = "r" + std::to_string (i);
      gboolean in_b = take (&b, id, 0);
      gboolean in_a = take (&a, id, 0);
      EXPECT_TRUE (in_a || !in_b) << id;
    }
}

TEST (LogBudget, ItOpensAgainAndTellsWhatWasLeftOut)
{
  QgLogBudget budget = {};
  for (int i = 0; i < 5000; i++)
    take (&budget, std::to_string (i), QG_SEC);
  EXPECT_GT (budget.shift, 3u);
  QgTime now = 2 * QG_SEC;
  for (int s = 0; s < 20; s++, now += QG_SEC)
    take (&budget, "x", now);
  EXPECT_EQ (budget.shift, 0u);
  EXPECT_GT (qg_log_budget_report (&budget, now), 0u);
  EXPECT_EQ (qg_log_budget_report (&budget, now), 0u);
}
