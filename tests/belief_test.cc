#include "lib/belief.h"
#include <gtest/gtest.h>

TEST (Belief, TheOnlyVersionIsKnownOnlyFromAnAnswerToALaterQuestion)
{
  EXPECT_TRUE (qg_belief_holds (QG_BELIEF_ONLY_VERSION, QG_SEC, QG_SEC));
  EXPECT_FALSE (qg_belief_holds (QG_BELIEF_ONLY_VERSION, QG_SEC, QG_SEC + 1));
  EXPECT_FALSE (qg_belief_holds (QG_BELIEF_ONLY_VERSION, 0, QG_SEC));
}

TEST (Belief, TheOnlyServiceIsKnownOnlyFromAnAnswerToALaterQuestion)
{
  EXPECT_TRUE (qg_belief_holds (QG_BELIEF_ONLY_SERVICE, QG_SEC, QG_SEC));
  EXPECT_FALSE (qg_belief_holds (QG_BELIEF_ONLY_SERVICE, QG_SEC, QG_SEC + 1));
}

TEST (Belief, TheOnlyStreamOfARequestIsKnownFromLaterReports)
{
  EXPECT_TRUE (qg_belief_holds (QG_BELIEF_ONLY_STREAM, QG_SEC, QG_SEC));
  EXPECT_FALSE (qg_belief_holds (QG_BELIEF_ONLY_STREAM, QG_SEC, QG_SEC + 1));
  EXPECT_TRUE (qg_belief_holds (QG_BELIEF_ONLY_STREAM, G_MAXINT64, QG_SEC));
}

TEST (Belief, AProcessCountsAsListedWhileLeadersAreReplaced)
{
  EXPECT_TRUE (qg_belief_holds (QG_BELIEF_LISTED, QG_SEC, 4 * QG_SEC - 1));
  EXPECT_FALSE (qg_belief_holds (QG_BELIEF_LISTED, QG_SEC, 4 * QG_SEC));
}
