#include "lib/isolate.h"
#include <gtest/gtest.h>
#include <string>

/* Which events show that a target crashed, and which show that it did not. A is
 * the first request whose connection breaks. */

namespace
{

enum
{
  A = 1,
  B,
  C,
  LATER,
};

struct Agent
{
  QgIsolate *isolate = qg_isolate_new ();
  QgIsolateCrash crash = {};
  guint64 next = 0;

  ~Agent ()
  {
    if (crash.fingerprints != nullptr)
      g_ptr_array_unref (crash.fingerprints);
    qg_isolate_unref (isolate);
  }

  /** A request that waits for the claim of its key. */
  void
  admit (guint64 id)
  {
    guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES] = {};
    fingerprint[0] = static_cast<guint8> (id);
    EXPECT_EQ (qg_isolate_admit (isolate, id, fingerprint, QG_POISON_CLEAR),
               QG_ISOLATE_RUN);
  }

  void
  send (guint64 id)
  {
    admit (id);
    qg_isolate_sent (isolate, id);
  }

  void
  lose (guint64 id)
  {
    qg_isolate_connection_lost (isolate, id, 0, &next);
  }

  void
  end (guint64 id, QgIsolateEnd how)
  {
    qg_isolate_end (isolate, id, how, &next);
  }

  void
  answer (guint64 id, bool same_start)
  {
    qg_isolate_answer_began (isolate, id, same_start);
  }

  bool
  crashed ()
  {
    return qg_isolate_crashed (isolate, QG_ISOLATE_CRASH_WINDOW, &crash);
  }

  /** The requests reported with the crash, as digits in the order of their
   * ends. */
  std::string
  in_flight ()
  {
    std::string ids;
    for (guint i = 0; i < crash.fingerprints->len; i++)
      {
        GBytes *b
            = static_cast<GBytes *> (g_ptr_array_index (crash.fingerprints, i));
        auto *first
            = static_cast<const guint8 *> (g_bytes_get_data (b, nullptr));
        ids += std::to_string (*first);
      }
    return ids;
  }
};

} // namespace

TEST (Isolate, AnswerSentBeforeTheCrashMayEndAfterIt)
{
  Agent agent;
  for (guint64 id : { A, B, C })
    agent.send (id);
  agent.answer (B, true);
  agent.lose (A);
  agent.end (B, QG_ISOLATE_COMPLETE);
  agent.lose (C);
  ASSERT_TRUE (agent.crashed ());
  EXPECT_EQ (agent.in_flight (), "123");
}

TEST (Isolate, CancelledRequestDoesNotHideTheCrash)
{
  Agent agent;
  for (guint64 id : { A, B })
    agent.send (id);
  agent.lose (A);
  agent.end (B, QG_ISOLATE_CANCELLED);
  ASSERT_TRUE (agent.crashed ());
  EXPECT_EQ (agent.in_flight (), "12");
}

TEST (Isolate, RequestThatWasNotAtTheTargetIsNoPartOfTheCrash)
{
  Agent agent;
  agent.send (A);
  agent.admit (B);
  agent.send (C);
  agent.admit (LATER);
  agent.lose (A);
  qg_isolate_sent (agent.isolate, B);
  agent.end (B, QG_ISOLATE_NOT_SENT);
  agent.end (C, QG_ISOLATE_NOT_SENT);
  ASSERT_TRUE (agent.crashed ());
  EXPECT_EQ (agent.in_flight (), "1");
}

TEST (Isolate, PausedRequestDoesNotHideTheCrashAndIsReportedOnce)
{
  Agent agent;
  for (guint64 id : { A, B })
    agent.send (id);
  agent.answer (B, true);
  qg_isolate_set_paused (agent.isolate, B, TRUE);
  agent.lose (A);
  ASSERT_TRUE (agent.crashed ());
  EXPECT_EQ (agent.in_flight (), "12");
  qg_isolate_set_paused (agent.isolate, B, FALSE);
  agent.lose (B);
  QgIsolateCrash again;
  EXPECT_FALSE (
      qg_isolate_crashed (agent.isolate, 2 * QG_ISOLATE_CRASH_WINDOW, &again));
}

TEST (Isolate, RequestThatIsReadAgainShowsThatTheTargetIsAlive)
{
  Agent agent;
  for (guint64 id : { A, B })
    agent.send (id);
  agent.answer (B, true);
  qg_isolate_set_paused (agent.isolate, B, TRUE);
  agent.lose (A);
  qg_isolate_set_paused (agent.isolate, B, FALSE);
  EXPECT_FALSE (agent.crashed ());
}

TEST (Isolate, AnswerThatBeginsLaterShowsThatTheTargetIsAlive)
{
  Agent agent;
  for (guint64 id : { A, B })
    agent.send (id);
  agent.lose (A);
  agent.answer (B, false);
  agent.lose (B);
  EXPECT_FALSE (agent.crashed ());
}

TEST (Isolate, AnswerToALaterRequestShowsThatTheTargetIsAlive)
{
  Agent agent;
  agent.send (A);
  agent.lose (A);
  agent.send (LATER);
  agent.answer (LATER, true);
  EXPECT_FALSE (agent.crashed ());
}

TEST (Isolate, AnswerOfARestartedTargetDoesNotHideTheCrash)
{
  Agent agent;
  agent.send (A);
  agent.lose (A);
  agent.send (LATER);
  qg_isolate_target_restarted (agent.isolate, &agent.crash);
  agent.answer (LATER, true);
  EXPECT_TRUE (agent.crashed ());
}

TEST (Isolate, RestartMayBeNoticedBeforeTheLoss)
{
  Agent agent;
  agent.send (A);
  qg_isolate_target_restarted (agent.isolate, &agent.crash);
  agent.lose (A);
  agent.send (LATER);
  agent.answer (LATER, true);
  EXPECT_TRUE (agent.crashed ());
}

TEST (Isolate, AnswerOfATargetWithoutBootIdShowsNothing)
{
  Agent agent;
  agent.send (A);
  agent.lose (A);
  agent.send (LATER);
  agent.answer (LATER, false);
  agent.end (LATER, QG_ISOLATE_COMPLETE);
  EXPECT_TRUE (agent.crashed ());
}

TEST (Isolate, EachCrashIsJudgedByItself)
{
  Agent agent;
  for (guint64 id : { A, B })
    agent.send (id);
  agent.lose (A);
  EXPECT_FALSE (agent.crashed ());
  agent.end (B, QG_ISOLATE_COMPLETE);
  agent.send (C);
  agent.lose (C);
  ASSERT_TRUE (agent.crashed ());
  EXPECT_EQ (agent.in_flight (), "3");
  EXPECT_TRUE (agent.crash.sound);
}

/* Fault: a target that ended without closing its connections did not count. */
TEST (Isolate, RequestsUnderWhichATargetFellSilentCrashedIt)
{
  Agent agent;

  agent.send (A);
  agent.send (B);
  agent.end (A, QG_ISOLATE_CANCELLED);
  ASSERT_TRUE (qg_isolate_target_restarted (agent.isolate, &agent.crash));
  EXPECT_EQ (agent.crash.fingerprints->len, 2u);
  EXPECT_FALSE (agent.crash.sound);
  /* The connection of B ends later; that is the same crash. */
  agent.lose (B);
  QgIsolateCrash again = {};
  EXPECT_FALSE (
      qg_isolate_crashed (agent.isolate, QG_ISOLATE_CRASH_WINDOW, &again));
  EXPECT_FALSE (qg_isolate_target_restarted (agent.isolate, &again));
}

TEST (Isolate, ATargetThatAnsweredLaterWasNotSilent)
{
  Agent agent;
  QgIsolateCrash crash = {};

  agent.send (A);
  agent.end (A, QG_ISOLATE_CANCELLED);
  agent.send (LATER);
  agent.end (LATER, QG_ISOLATE_COMPLETE);
  EXPECT_FALSE (qg_isolate_target_restarted (agent.isolate, &crash));
  /* The restart is noticed first: the loss then tells. */
  agent.send (C);
  EXPECT_FALSE (qg_isolate_target_restarted (agent.isolate, &crash));
  EXPECT_TRUE (qg_isolate_was_lost (agent.isolate, C));
  agent.end (C, QG_ISOLATE_CANCELLED);
  /* Cancelled long before the target restarted. */
  agent.send (B);
  agent.end (B, QG_ISOLATE_CANCELLED);
  qg_isolate_expire (agent.isolate, QG_ISOLATE_UNANSWERED_TIME);
  qg_isolate_expire (agent.isolate, 2 * QG_ISOLATE_UNANSWERED_TIME);
  EXPECT_FALSE (qg_isolate_target_restarted (agent.isolate, &crash));
  /* A crash that was seen by the loss of a connection counts once. */
  agent.send (C);
  agent.lose (C);
  ASSERT_TRUE (
      qg_isolate_crashed (agent.isolate, QG_ISOLATE_CRASH_WINDOW, &crash));
  g_ptr_array_unref (crash.fingerprints);
  EXPECT_FALSE (qg_isolate_target_restarted (agent.isolate, &crash));
}
