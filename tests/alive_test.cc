#include "lib/alive.h"

#include <gtest/gtest.h>

namespace
{
const QgTime ms = QG_MSEC;

struct Alive : testing::Test
{
  Alive () : alive (qg_alive_new ()) {}
  ~Alive () override { qg_alive_free (alive); }

  QgAliveEnd
  end_at (QgTime at, QgTime open_for = ms)
  {
    QgAliveEnd end
        = { at - open_for, at, at, at + QG_ALIVE_WAIT_MAX, QG_ALIVE_PENDING };

    return end;
  }

  /* Adds an end and does what is asked for up to the check. */
  void
  ask (QgAliveEnd *end, QgTime now)
  {
    qg_alive_add (alive, end);
    ASSERT_EQ (qg_alive_step (alive, now), QG_ALIVE_CONNECT);
    EXPECT_EQ (qg_alive_step (alive, now), QG_ALIVE_NOTHING);
    qg_alive_connected (alive, now + ms);
    EXPECT_EQ (qg_alive_step (alive, now + ms), QG_ALIVE_NOTHING);
    EXPECT_EQ (qg_alive_wakeup (alive), end->closed_at + QG_ALIVE_SETTLE);
    now = end->closed_at + QG_ALIVE_SETTLE;
    ASSERT_EQ (qg_alive_step (alive, now), QG_ALIVE_ASK);
    EXPECT_EQ (qg_alive_step (alive, now), QG_ALIVE_NOTHING);
  }

  QgAlive *alive;
};

TEST_F (Alive, AnAnswerToALaterCheckProvesThatTheTargetLivedOn)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  EXPECT_EQ (qg_alive_take_decided (alive), nullptr);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (qg_alive_take_decided (alive), &end);
  EXPECT_EQ (end.verdict, QG_ALIVE_LIVED);
  EXPECT_TRUE (qg_alive_is_idle (alive));
  EXPECT_EQ (qg_alive_wakeup (alive), G_MAXINT64);
}

TEST_F (Alive, ACheckProvesNothingOfAnEndThatWasSeenAfterIt)
{
  QgAliveEnd first = end_at (1000 * ms);
  QgAliveEnd second = end_at (1005 * ms);

  ask (&first, 1000 * ms);
  qg_alive_add (alive, &second);
  qg_alive_answered (alive, TRUE, 0);
  qg_alive_ready (alive);
  EXPECT_EQ (first.verdict, QG_ALIVE_LIVED);
  EXPECT_EQ (second.verdict, QG_ALIVE_PENDING);
  EXPECT_EQ (qg_alive_step (alive, 1054 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (qg_alive_step (alive, 1055 * ms), QG_ALIVE_ASK);
  qg_alive_answered (alive, TRUE, 0);
  qg_alive_ready (alive);
  EXPECT_EQ (second.verdict, QG_ALIVE_LIVED);
}

TEST_F (Alive, AConnectionThatClosesWithTheAnswersIsNotAsked)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 1001 * ms);
  EXPECT_EQ (qg_alive_step (alive, 1001 * ms), QG_ALIVE_NOTHING);
  qg_alive_lost (alive, 1002 * ms);
  ASSERT_EQ (qg_alive_step (alive, 1002 * ms), QG_ALIVE_CONNECT);
  qg_alive_refused (alive, 1002 * ms);
  EXPECT_EQ (end.verdict, QG_ALIVE_ENDED);
}

TEST_F (Alive, ARefusedConnectionShowsThatTheTargetHasEnded)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_CONNECT);
  qg_alive_refused (alive, 1000 * ms);
  EXPECT_EQ (end.verdict, QG_ALIVE_ENDED);
}

TEST_F (Alive, AnotherProcessAtTheAddressShowsThatTheTargetHasEnded)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  qg_alive_answered (alive, FALSE, 0);
  qg_alive_ready (alive);
  EXPECT_EQ (end.verdict, QG_ALIVE_ENDED);
}

TEST_F (Alive, ANewConnectionProvesNothingOfACloseThatWasSeenLate)
{
  QgAliveEnd end = end_at (1000 * ms, QG_ALIVE_RESTART_MIN);

  qg_alive_add (alive, &end);
  EXPECT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AConnectionThatWasEstablishedTooLateProvesNothing)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 999 * ms + QG_ALIVE_RESTART_MIN);
  EXPECT_EQ (qg_alive_step (alive, 999 * ms + QG_ALIVE_RESTART_MIN),
             QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AConnectionFromBeforeTheEndProvesAlsoWhatWasSeenLate)
{
  QgAliveEnd first = end_at (1000 * ms);
  QgAliveEnd late = end_at (3000 * ms, 900 * ms);

  ask (&first, 1000 * ms);
  qg_alive_answered (alive, TRUE, 0);
  qg_alive_ready (alive);
  qg_alive_add (alive, &late);
  EXPECT_EQ (qg_alive_step (alive, 3050 * ms), QG_ALIVE_ASK);
  qg_alive_answered (alive, TRUE, 0);
  qg_alive_ready (alive);
  EXPECT_EQ (late.verdict, QG_ALIVE_LIVED);
}

TEST_F (Alive, AnotherConnectionIsTriedAfterOneWasClosedWithoutAnAnswer)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  qg_alive_lost (alive, 1052 * ms);
  EXPECT_EQ (qg_alive_step (alive, 1052 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (qg_alive_wakeup (alive), 1052 * ms + QG_ALIVE_RETRY_PAUSE);
  EXPECT_EQ (qg_alive_step (alive, 1052 * ms + QG_ALIVE_RETRY_PAUSE),
             QG_ALIVE_CONNECT);
  qg_alive_failed (alive, 1080 * ms);
  EXPECT_EQ (qg_alive_step (alive, 1080 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_PENDING);
}

TEST_F (Alive, ATargetThatSaysNothingIsGivenUp)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  EXPECT_EQ (qg_alive_wakeup (alive), 1000 * ms + QG_ALIVE_WAIT_MAX);
  EXPECT_EQ (qg_alive_step (alive, 999 * ms + QG_ALIVE_WAIT_MAX),
             QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_PENDING);
  qg_alive_step (alive, 1000 * ms + QG_ALIVE_WAIT_MAX);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, TimeInWhichTheProcessDidNotRunIsNotWaited)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  qg_alive_add (alive, &end);
  EXPECT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_NOTHING);
  qg_alive_held_up (alive, 3000 * ms);
  ASSERT_EQ (qg_alive_step (alive, 4050 * ms), QG_ALIVE_ASK);
  EXPECT_EQ (end.verdict, QG_ALIVE_PENDING);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (end.verdict, QG_ALIVE_LIVED);
}

TEST_F (Alive, ARemovedEndIsNotDecided)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  qg_alive_remove (alive, &end);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (end.verdict, QG_ALIVE_PENDING);
  EXPECT_TRUE (qg_alive_is_idle (alive));
  EXPECT_EQ (qg_alive_step (alive, 1010 * ms), QG_ALIVE_NOTHING);
}

TEST_F (Alive, AConnectionInPlaceOfOneThatClosedWithTheAnswersProvesNothing)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  qg_alive_lost (alive, 999 * ms);
  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 1001 * ms);
  EXPECT_EQ (qg_alive_step (alive, 1001 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AConnectionInPlaceOfOneThatClosedBeforeALateCloseProvesNothing)
{
  QgAliveEnd end = end_at (1000 * ms, 110 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  qg_alive_lost (alive, 900 * ms);
  ASSERT_EQ (qg_alive_step (alive, 920 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 921 * ms);
  qg_alive_add (alive, &end);
  EXPECT_EQ (qg_alive_step (alive, 1050 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AConnectionInPlaceOfOneThatClosedLongBeforeCounts)
{
  QgAliveEnd end = end_at (1000 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  qg_alive_lost (alive, 900 * ms);
  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 1001 * ms);
  ASSERT_EQ (qg_alive_step (alive, 1050 * ms), QG_ALIVE_ASK);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (end.verdict, QG_ALIVE_LIVED);
}

TEST_F (Alive, AConnectionThatTheOwnerClosedIsNoLoss)
{
  QgAliveEnd first = end_at (1000 * ms);
  QgAliveEnd second = end_at (1045 * ms);

  ask (&first, 1000 * ms);
  qg_alive_add (alive, &second);
  qg_alive_answered (alive, TRUE, 0);
  qg_alive_hung_up (alive, 1051 * ms);
  ASSERT_EQ (qg_alive_step (alive, 1051 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 1052 * ms);
  ASSERT_EQ (qg_alive_step (alive, 1095 * ms), QG_ALIVE_ASK);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (second.verdict, QG_ALIVE_LIVED);
}

TEST_F (Alive, AWatchedConnectionIsOpenBeforeTheEnd)
{
  QgAliveEnd end = end_at (2000 * ms, 1500 * ms);

  qg_alive_watch (alive);
  EXPECT_FALSE (qg_alive_is_idle (alive));
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  EXPECT_EQ (qg_alive_step (alive, 402 * ms), QG_ALIVE_NOTHING);
  qg_alive_add (alive, &end);
  ASSERT_EQ (qg_alive_step (alive, 2050 * ms), QG_ALIVE_ASK);
  qg_alive_answered (alive, TRUE, 0);
  EXPECT_EQ (end.verdict, QG_ALIVE_LIVED);
  EXPECT_EQ (qg_alive_take_decided (alive), &end);
  qg_alive_unwatch (alive);
  EXPECT_TRUE (qg_alive_is_idle (alive));
}

TEST_F (Alive, AWatchedConnectionThatWasLostAndOpenedAgainProvesNothing)
{
  QgAliveEnd end = end_at (3000 * ms, 2500 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 402 * ms);
  qg_alive_lost (alive, 600 * ms);
  EXPECT_EQ (qg_alive_step (alive, 600 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (qg_alive_wakeup (alive), 600 * ms + QG_ALIVE_RETRY_PAUSE);
  ASSERT_EQ (qg_alive_step (alive, 600 * ms + QG_ALIVE_RETRY_PAUSE),
             QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 621 * ms);
  qg_alive_lost (alive, 700 * ms);
  EXPECT_EQ (qg_alive_step (alive, 700 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (qg_alive_wakeup (alive), 700 * ms + QG_ALIVE_WATCH_PAUSE);
  ASSERT_EQ (qg_alive_step (alive, 700 * ms + QG_ALIVE_WATCH_PAUSE),
             QG_ALIVE_CONNECT);
  qg_alive_connected (alive, 701 * ms + QG_ALIVE_WATCH_PAUSE);
  qg_alive_add (alive, &end);
  EXPECT_EQ (qg_alive_step (alive, 3000 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AnEndIsNotDecidedByARefusalBeforeIt)
{
  QgAliveEnd end = end_at (2000 * ms);

  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_refused (alive, 400 * ms);
  EXPECT_EQ (qg_alive_step (alive, 419 * ms), QG_ALIVE_NOTHING);
  ASSERT_EQ (qg_alive_step (alive, 420 * ms), QG_ALIVE_CONNECT);
  qg_alive_refused (alive, 420 * ms);
  EXPECT_EQ (qg_alive_wakeup (alive), 420 * ms + QG_ALIVE_WATCH_PAUSE);
  EXPECT_EQ (qg_alive_step (alive, 1000 * ms), QG_ALIVE_NOTHING);
  qg_alive_add (alive, &end);
  EXPECT_EQ (end.verdict, QG_ALIVE_PENDING);
  EXPECT_EQ (qg_alive_step (alive, 2000 * ms), QG_ALIVE_CONNECT);
}

/* Watches an answer, during which a connection is refused at 400 ms. */
void
refuse_while_watched (QgAlive *alive, QgAliveEnd *end)
{
  qg_alive_watch (alive);
  ASSERT_EQ (qg_alive_step (alive, 400 * ms), QG_ALIVE_CONNECT);
  qg_alive_refused (alive, 400 * ms);
  qg_alive_add (alive, end);
  ASSERT_EQ (qg_alive_step (alive, end->closed_at), QG_ALIVE_CONNECT);
}

TEST_F (Alive, ATargetThatStoppedListeningDuringItsAnswerIsNotKnownToHaveEnded)
{
  QgAliveEnd end = end_at (2000 * ms);

  refuse_while_watched (alive, &end);
  qg_alive_refused (alive, 2000 * ms);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, ARefusalAfterTheAnswerWasLastKnownToGoOnShowsThatTheTargetEnded)
{
  QgAliveEnd end = end_at (410 * ms, 11 * ms);

  refuse_while_watched (alive, &end);
  qg_alive_refused (alive, 411 * ms);
  EXPECT_EQ (end.verdict, QG_ALIVE_ENDED);
}

TEST_F (Alive, WhoListensAfterARefusalMayBeAnotherProcess)
{
  QgAliveEnd end = end_at (2000 * ms);

  refuse_while_watched (alive, &end);
  qg_alive_connected (alive, 2001 * ms);
  EXPECT_EQ (qg_alive_step (alive, 2050 * ms), QG_ALIVE_NOTHING);
  EXPECT_EQ (end.verdict, QG_ALIVE_UNPROVEN);
}

TEST_F (Alive, AnAnswerThatComesBeforeAnotherProcessCanIsProof)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  qg_alive_answered (alive, TRUE, end.open_at + QG_ALIVE_RESTART_MIN - ms);
  EXPECT_EQ (end.verdict, QG_ALIVE_LIVED);
  EXPECT_EQ (qg_alive_take_decided (alive), &end);
}

TEST_F (Alive, AnAnswerAsLateAsThatOfAnotherProcessIsNoProof)
{
  QgAliveEnd end = end_at (1000 * ms);

  ask (&end, 1000 * ms);
  qg_alive_answered (alive, TRUE, end.open_at + QG_ALIVE_RESTART_MIN);
  EXPECT_EQ (end.verdict, QG_ALIVE_LATE);
  EXPECT_EQ (qg_alive_take_decided (alive), &end);
}

struct Calls : testing::TestWithParam<QgAliveVerdict>
{
  QgAliveEnd
  end_at (QgTime at)
  {
    return { at, at, at, at + QG_ALIVE_WAIT_MAX, GetParam () };
  }

  QgAliveVerdict
  judge (const QgAliveEnd &end, QgTime answered_at, QgTime now,
         bool leaves = true, bool left = false)
  {
    QgAliveCalls calls = { leaves, left, answered_at };

    return qg_alive_judge_calls (&end, &calls, now);
  }
};

TEST_P (Calls, OneThatTookTheAnswerToItsLeaveSomeTimeAfterTheCloseLivedOn)
{
  EXPECT_EQ (judge (end_at (1000 * ms), 1050 * ms, 1400 * ms, true, true),
             QG_ALIVE_CALLED);
}

TEST_P (Calls, HeartbeatsShowOnlyWhoseLateAnswerItWas)
{
  EXPECT_EQ (judge (end_at (1000 * ms), 1050 * ms, 3000 * ms)
                 == QG_ALIVE_CALLED,
             GetParam () == QG_ALIVE_LATE);
}

TEST_P (Calls, OneThatLeftBeforeOrWithTheCloseMayHaveBeenKilled)
{
  for (QgTime at : { QgTime (0), 1000 * ms, 1049 * ms })
    EXPECT_EQ (judge (end_at (1000 * ms), at, 1400 * ms, true, true),
               QG_ALIVE_UNPROVEN);
}

TEST_P (Calls, WhenTheCloseArrivedCountsNotWhenItWasSeen)
{
  QgAliveEnd end = end_at (1000 * ms);

  end.closed_at = 3000 * ms;
  EXPECT_EQ (judge (end, 1300 * ms, 3100 * ms, true, true), QG_ALIVE_CALLED);
}

TEST_P (Calls, OneThatLeavesIsWaitedFor)
{
  EXPECT_EQ (judge (end_at (1000 * ms), 900 * ms, 2699 * ms), QG_ALIVE_PENDING);
  EXPECT_EQ (judge (end_at (1000 * ms), 900 * ms, 2700 * ms),
             QG_ALIVE_UNPROVEN);
}

TEST_P (Calls, OneThatStaysIsWaitedForUnlessItHasEnded)
{
  QgAliveVerdict verdict = GetParam ();
  QgTime limit
      = verdict == QG_ALIVE_LATE ? QG_ALIVE_WAIT_MAX : QG_ALIVE_LEAVE_WAIT;
  bool ended = verdict == QG_ALIVE_ENDED;

  EXPECT_EQ (
      judge (end_at (1000 * ms), 900 * ms, 1000 * ms + limit - ms, false),
      ended ? QG_ALIVE_ENDED : QG_ALIVE_PENDING);
  EXPECT_EQ (judge (end_at (1000 * ms), 900 * ms, 1000 * ms + limit, false),
             ended ? QG_ALIVE_ENDED : QG_ALIVE_UNPROVEN);
}

INSTANTIATE_TEST_SUITE_P (Verdicts, Calls,
                          testing::Values (QG_ALIVE_ENDED, QG_ALIVE_UNPROVEN,
                                           QG_ALIVE_LATE));
}
