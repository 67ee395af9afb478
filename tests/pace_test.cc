#include "lib/pace.h"
#include <gtest/gtest.h>

TEST (Pace, SendsASingleUpdateAtOnce)
{
  QgPace pace = {};
  EXPECT_TRUE (qg_pace_update (&pace, 50 * QG_MSEC, QG_SEC));
  EXPECT_FALSE (qg_pace_due (&pace, 50 * QG_MSEC, 10 * QG_SEC));
  EXPECT_TRUE (qg_pace_update (&pace, 50 * QG_MSEC, 2 * QG_SEC));
}

/* Load: 3,000 targets register within 1.2 s. */
TEST (Pace, SendsABurstInFewMessagesIncludingItsLastUpdate)
{
  QgPace pace = {};
  const QgTime gap = 87 * QG_MSEC;
  const QgTime burst = 1200 * QG_MSEC;
  int sends = 0;
  QgTime last_update = 0;
  QgTime last_send = 0;
  for (QgTime now = QG_SEC; now < QG_SEC + 2 * burst; now += 400)
    {
      bool update = now < QG_SEC + burst;
      bool send = update ? qg_pace_update (&pace, gap, now)
                         : qg_pace_due (&pace, gap, now);
      last_update = update ? now : last_update;
      last_send = send ? now : last_send;
      sends += send;
    }
  EXPECT_LE (sends, burst / gap + 2);
  EXPECT_GE (last_send, last_update);
  EXPECT_LE (last_send, last_update + gap);
}
