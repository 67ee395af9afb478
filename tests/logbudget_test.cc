#include "lib/logbudget.h"
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

gboolean
admit_line (QgLogBudget *budget, const std::string &id, QgTime now)
{
  return qg_log_budget_admit (budget, id.data (), id.size (), now);
}

} // namespace

TEST (LogBudget, AllLinesAreWrittenBelowTheBudget)
{
  QgLogBudget budget = {};
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (admit_line (&budget, std::to_string (i), i * 10 * QG_MSEC));
}

/* Load: 5,000 requests per second for ten seconds, three log lines each. */
TEST (LogBudget, LinesOfARequestAreSampledTogether)
{
  QgLogBudget budget = {};
  std::map<std::string, int> kept;
  std::map<int, int> by_second;
  int n_lines = 0;
  for (int i = 0; i < 50000; i++)
    for (int line = 0; line < 3; line++)
      if (admit_line (&budget, std::to_string (i), i * 200))
        {
          kept[std::to_string (i)]++;
          by_second[i / 5000]++;
          n_lines++;
        }
  for (const auto &second : by_second)
    EXPECT_LE (second.second, 2 * QG_LOG_LINES_PER_S) << second.first;
  int complete = 0;
  for (const auto &request : kept)
    complete += request.second == 3;
  EXPECT_GT (complete, 0.8 * (double)kept.size ());
  EXPECT_GT (n_lines, 5 * QG_LOG_LINES_PER_S / 4);
  EXPECT_EQ (budget.n_dropped_lines, 150000u - (guint64)n_lines);
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
      gboolean in_b = admit_line (&b, id, 0);
      gboolean in_a = admit_line (&a, id, 0);
      EXPECT_TRUE (in_a || !in_b) << id;
    }
}

TEST (LogBudget, RecoversAndReportsDroppedLines)
{
  QgLogBudget budget = {};
  for (int i = 0; i < 5000; i++)
    admit_line (&budget, std::to_string (i), QG_SEC);
  EXPECT_GT (budget.shift, 3u);
  QgTime now = 2 * QG_SEC;
  for (int s = 0; s < 20; s++, now += QG_SEC)
    admit_line (&budget, "x", now);
  EXPECT_EQ (budget.shift, 0u);
  EXPECT_GT (qg_log_budget_report (&budget, now), 0u);
  EXPECT_EQ (qg_log_budget_report (&budget, now), 0u);
}
