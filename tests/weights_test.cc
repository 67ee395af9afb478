#include "lib/weights.h"
#include <gtest/gtest.h>

TEST (Weights, TwoVersionsWithinAMinuteAreSeveralForAMinute)
{
  QgWeights *weights = qg_weights_new ();
  EXPECT_FALSE (qg_weights_add (weights, "a", 1, 0));
  EXPECT_FALSE (qg_weights_add (weights, "a", 1, QG_SEC));
  EXPECT_FALSE (qg_weights_add (weights, "b", 2, QG_SEC));
  EXPECT_FALSE (qg_weights_add (weights, "a", -1, 2 * QG_SEC));
  EXPECT_FALSE (qg_weights_has_several (weights, "a", 2 * QG_SEC));
  EXPECT_TRUE (qg_weights_add (weights, "a", 2, 3 * QG_SEC));
  EXPECT_FALSE (qg_weights_add (weights, "a", 1, 4 * QG_SEC));
  EXPECT_TRUE (
      qg_weights_has_several (weights, "a", 4 * QG_SEC + QG_WEIGHTS_HOLD - 1));
  EXPECT_FALSE (
      qg_weights_has_several (weights, "a", 4 * QG_SEC + QG_WEIGHTS_HOLD));
  EXPECT_FALSE (qg_weights_has_several (weights, "b", 4 * QG_SEC));
  EXPECT_FALSE (qg_weights_has_several (weights, "c", 4 * QG_SEC));
  qg_weights_free (weights);
}

TEST (Weights, AVersionThatWasStatedLongAgoDoesNotCount)
{
  QgWeights *weights = qg_weights_new ();
  qg_weights_add (weights, "a", 1, 0);
  EXPECT_FALSE (qg_weights_add (weights, "a", 2, QG_WEIGHTS_HOLD));
  EXPECT_FALSE (qg_weights_has_several (weights, "a", QG_WEIGHTS_HOLD));
  qg_weights_free (weights);
}
