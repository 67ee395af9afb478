#include "lib/origin.h"
#include <gtest/gtest.h>

TEST (Origins, AStreamKeepsTheVersionThatBeganIt)
{
  QgOrigins *origins = qg_origins_new ();
  guint64 a = qg_origin_attempt ("a", 1), b = qg_origin_attempt ("b", 1);
  EXPECT_NE (a, b);
  EXPECT_EQ (qg_origins_find (origins, a, 0), 0u);
  qg_origins_add (origins, a, 7, 0);
  qg_origins_add (origins, a, 8, QG_SEC);
  EXPECT_EQ (qg_origins_find (origins, a, QG_SEC), 7u);
  EXPECT_EQ (qg_origins_find (origins, b, QG_SEC), 0u);
  qg_origins_free (origins);
}

TEST (Origins, StreamsAreForgottenAfterSomeTimeAndBeyondALimit)
{
  QgOrigins *origins = qg_origins_new ();
  for (guint64 i = 1; i <= QG_ORIGINS_MAX + 1; i++)
    qg_origins_add (origins, i, 7, QG_SEC);
  EXPECT_EQ (qg_origins_count (origins), (guint)QG_ORIGINS_MAX);
  EXPECT_EQ (qg_origins_find (origins, 1, QG_SEC), 0u);
  EXPECT_EQ (qg_origins_find (origins, 2, QG_SEC + QG_ORIGIN_HOLD), 7u);
  EXPECT_EQ (qg_origins_find (origins, 2, QG_SEC + QG_ORIGIN_HOLD + 1), 0u);
  EXPECT_EQ (qg_origins_count (origins), 0u);
  qg_origins_free (origins);
}
