#include "lib/received.h"

#include <gtest/gtest.h>
#include <random>
#include <set>

TEST (Received, NothingThatArrivedCountsAsLost)
{
  std::mt19937 random (45);
  for (int round = 0; round < 50; round++)
    {
      QgReceived received = {};
      std::set<guint64> arrived;
      guint64 number = 0;
      guint losses = 0;
      while (number < 2000)
        {
          bool lost = random () % 20 == 0;
          guint n = 1 + random () % 8;
          losses += lost;
          for (guint i = 0; i < n; i++)
            if (number++; !lost)
              {
                qg_received_add (&received, 7, number);
                arrived.insert (number);
              }
        }
      for (guint64 i = 1; i <= number; i++)
        {
          bool lost = qg_received_is_lost (&received, 7, i);
          EXPECT_FALSE (lost && arrived.count (i));
          if (losses <= QG_RECEIVED_MAX_GAPS)
            {
              EXPECT_EQ (lost, !arrived.count (i));
            }
        }
    }
}

TEST (Received, OldLossesAreForgottenNewOnesAreKnown)
{
  QgReceived received = {};
  EXPECT_TRUE (qg_received_is_lost (&received, 7, 1));
  for (guint64 i = 2; i <= 4 * QG_RECEIVED_MAX_GAPS; i += 2)
    qg_received_add (&received, 7, i);
  EXPECT_FALSE (qg_received_is_lost (&received, 7, 1));
  EXPECT_TRUE (
      qg_received_is_lost (&received, 7, 4 * QG_RECEIVED_MAX_GAPS - 1));
  EXPECT_FALSE (qg_received_is_lost (&received, 7, 4 * QG_RECEIVED_MAX_GAPS));
  EXPECT_TRUE (
      qg_received_is_lost (&received, 7, 4 * QG_RECEIVED_MAX_GAPS + 1));
}

/* The lives of a sender are named by its time of day, which may step back. */
TEST (Received, ALaterLifeMayHaveALowerNumber)
{
  QgReceived received = {};
  qg_received_add (&received, 9, 1);
  qg_received_add (&received, 9, 2);
  EXPECT_TRUE (qg_received_is_lost (&received, 5, 1));
  qg_received_add (&received, 5, 2);
  EXPECT_TRUE (qg_received_is_lost (&received, 5, 1));
  EXPECT_FALSE (qg_received_is_lost (&received, 5, 2));
  EXPECT_TRUE (qg_received_is_lost (&received, 5, 3));
}

TEST (Received, OfALifeThatWasReplacedNothingIsCertain)
{
  QgReceived received = {};
  for (guint64 life = 100; life > 100 - QG_RECEIVED_MAX_REPLACED; life--)
    qg_received_add (&received, life, 1);
  qg_received_add (&received, 7, 3);
  for (guint64 life = 100; life > 100 - QG_RECEIVED_MAX_REPLACED; life--)
    {
      EXPECT_FALSE (qg_received_is_lost (&received, life, 1));
      EXPECT_FALSE (qg_received_is_lost (&received, life, 2));
      qg_received_add (&received, life, 5);
    }
  EXPECT_TRUE (qg_received_is_lost (&received, 7, 2));
  EXPECT_FALSE (qg_received_is_lost (&received, 7, 3));
}
