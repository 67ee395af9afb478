#include "lib/bytebudget.h"

#include <gtest/gtest.h>

TEST (ByteBudget, LargeItemsLeaveRoomForSmallOnes)
{
  const gsize large = 1024 * 1024;
  QgByteBudget budget;
  int n = 0;

  qg_bytebudget_init (&budget, 200 * large);
  while (qg_bytebudget_resize (&budget, 0, large))
    n++;
  EXPECT_EQ (n, 75);
  EXPECT_FALSE (qg_bytebudget_is_short (&budget));
  EXPECT_TRUE (qg_bytebudget_resize (&budget, 0, 1024));
  for (n = 0; qg_bytebudget_resize (&budget, 0, 60 * 1024); n++)
    ;
  EXPECT_FALSE (qg_bytebudget_resize (&budget, 0, 60 * 1024));
  EXPECT_TRUE (qg_bytebudget_resize_small (&budget, 60 * 1024, 64 * 1024));
  EXPECT_LE (budget.held, budget.limit);
  EXPECT_TRUE (qg_bytebudget_is_short (&budget));
  /* What shrinks always fits. */
  EXPECT_TRUE (qg_bytebudget_resize (&budget, large, large / 2));
}

TEST (ByteBudget, BuffersOfConnectionsCount)
{
  QgByteBudget budget;

  qg_bytebudget_init (&budget, 2000000);
  budget.buffered = 700000;
  EXPECT_FALSE (qg_bytebudget_resize (&budget, 0, 100000));
  EXPECT_TRUE (qg_bytebudget_resize (&budget, 0, 50000));
  EXPECT_FALSE (qg_bytebudget_is_short (&budget));
  budget.buffered = 705000;
  EXPECT_TRUE (qg_bytebudget_is_short (&budget));
}

TEST (ByteBudget, ASettingAboveTheMachinesMemoryIsThatOfTheMachine)
{
  const gsize mib = 1024 * 1024;

  EXPECT_EQ (qg_bytebudget_memory (4096, 110 * mib), 110 * mib);
  EXPECT_EQ (qg_bytebudget_memory (64, 110 * mib), 64 * mib);
  EXPECT_EQ (qg_bytebudget_memory (64, 0), 64 * mib);
  EXPECT_GT (qg_bytebudget_machine_memory (), 16 * mib);
}

TEST (ByteBudget, WithoutALimitAllFits)
{
  QgByteBudget budget;

  qg_bytebudget_init (&budget, 0);
  EXPECT_TRUE (qg_bytebudget_resize (&budget, 0, G_MAXINT32));
  EXPECT_FALSE (qg_bytebudget_is_short (&budget));
}
