#include "lib/pace.h"
#include <gtest/gtest.h>

TEST (Pace, ASingleNewsGoesOutAtOnce)
{
  QgPace pace = {};
  EXPECT_TRUE (qg_pace_news (&pace, 50 * QG_MSEC, QG_SEC));
  EXPECT_FALSE (qg_pace_due (&pace, 50 * QG_MSEC, 10 * QG_SEC));
  EXPECT_TRUE (qg_pace_news (&pace, 50 * QG_MSEC, 2 * QG_SEC));
}

/* Load: 3,000 targets announce themselves within 1.2 s. */
TEST (Pace, AStormGoesOutInFewSendsAndItsLastNewsToo)
{
  QgPace pace = {};
  const QgTime gap = 87 * QG_MSEC;
  const QgTime storm = 1200 * QG_MSEC;
  int sends = 0;
  QgTime last_news = 0;
  QgTime last_send = 0;
  for (QgTime now = QG_SEC; now < QG_SEC + 2 * storm; now += 400)
    {
      bool news = now < QG_SEC + storm;
      bool goes = news ? qg_pace_news (&pace, gap, now)
                       : qg_pace_due (&pace, gap, now);
      last_news = news ? now : last_news;
      last_send = goes ? now : last_send;
      sends += goes;
    }
  EXPECT_LE (sends, storm / gap + 2);
  EXPECT_GE (last_send, last_news);
  EXPECT_LE (last_send, last_news + gap);
}
