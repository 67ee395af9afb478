#include "lib/cold.h"
#include "lib/event.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace
{
struct Target
{
  QgCold *cold;
  QgTime now = QG_SEC;
  std::vector<QgColdRun> runs;

  Target (guint slots, guint cold_slots, QgTime hold = 0)
  {
    QgColdOptions options = {};
    options.slots = slots;
    options.cold_slots = cold_slots;
    options.hold_us = hold;
    cold = qg_cold_new (&options, now);
  }
  ~Target () { qg_cold_unref (cold); }

  bool
  start ()
  {
    QgColdRun run;
    if (qg_cold_free_slots (cold, now) == 0 || !qg_cold_start (cold, now, &run))
      return false;
    runs.push_back (run);
    return true;
  }

  void
  fill ()
  {
    while (start ())
      ;
  }

  void
  end (QgColdSignal signal)
  {
    qg_cold_end (cold, now, &runs.back (), signal);
    runs.pop_back ();
  }

  /* Sends batches as large as the limit, each taking @a request, until the
   * target is warm. Returns the time taken. */
  QgTime
  warm_up (QgTime request)
  {
    QgTime since = now;
    while (!qg_cold_is_warm (cold, now))
      {
        fill ();
        now += request;
        while (!runs.empty ())
          end (QG_COLD_OK);
      }
    return now - since;
  }
};
}

TEST (Cold, WarmsUpInTheStatedTime)
{
  Target quick (16, 1);
  /* Requests take 100 ms, so double_us limits the ramp:
   * double_us * log2 (16) = 8 s. */
  EXPECT_LE (quick.warm_up (100 * QG_MSEC), 8 * QG_SEC + 100 * QG_MSEC);
  Target slow (16, 1);
  /* Requests take 5 s, so their completion limits the ramp: 4 batches of 1, 2,
   * 4 and 8 requests take 20 s. */
  EXPECT_LE (slow.warm_up (5 * QG_SEC), 20 * QG_SEC);
}

RC_GTEST_PROP (Cold, NeverMoreInFlightThanRampSlotsAndEvidenceAllow, ())
{
  const guint slots = *rc::gen::inRange (1u, 40u);
  const guint cold_slots = *rc::gen::inRange (1u, slots + 1);
  const QgTime hold = *rc::gen::inRange (0, 5) * QG_SEC;
  Target t (slots, cold_slots, hold);
  guint64 broken = qg_invariants_broken ();
  QgTime reset_at = t.now;
  guint ended = 0;

  for (int step :
       *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 12)))
    {
      if (step < 4)
        {
          t.fill ();
          guint limit = qg_cold_limit (t.cold, t.now);
          RC_ASSERT (limit <= slots);
          RC_ASSERT (limit <= cold_slots + ended);
          RC_ASSERT (limit <= (guint64)cold_slots
                                  << (MAX (t.now - reset_at - hold, 0)
                                      / (2 * QG_SEC)));
          RC_ASSERT (qg_cold_in_flight (t.cold) == t.runs.size ());
        }
      else if (step < 9 && !t.runs.empty ())
        {
          t.end (QG_COLD_OK);
          ended++;
        }
      else if (step == 9)
        {
          qg_cold_signal (t.cold, t.now, QG_COLD_BOOT);
          reset_at = t.now;
          ended = 0;
        }
      t.now += *rc::gen::inRange<QgTime> (0, 3 * QG_SEC);
    }
  RC_ASSERT (qg_invariants_broken () == broken);
}

TEST (Cold, ACrashResetsTheLimitOnceWhateverWasInFlight)
{
  Target t (16, 2);
  t.warm_up (QG_SEC);
  t.fill ();
  ASSERT_EQ (t.runs.size (), 16u);
  t.end (QG_COLD_RESET);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 2u);
  t.now += QG_SEC;
  while (t.runs.size () > 0) /* the remaining requests fail or complete */
    t.end (t.runs.size () % 2 ? QG_COLD_RESET : QG_COLD_OK);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 2u);
  t.fill ();
  ASSERT_EQ (t.runs.size (), 2u);
  t.now += QG_SEC; /* double_us counts from the first reset */
  t.end (QG_COLD_OK);
  t.end (QG_COLD_OK);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 4u);
}

TEST (Cold, RefusedConnectionsBackOffThenOneRequestProbes)
{
  Target t (8, 4);
  t.start ();
  t.end (QG_COLD_REFUSED);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 0u);
  EXPECT_EQ (qg_cold_wakeup (t.cold, t.now), t.now + 100 * QG_MSEC);
  t.now += 100 * QG_MSEC;
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 1u);
  t.start ();
  t.end (QG_COLD_REFUSED);
  EXPECT_EQ (qg_cold_wakeup (t.cold, t.now), t.now + 200 * QG_MSEC);
  t.now += 200 * QG_MSEC;
  t.start ();
  qg_cold_first_token (t.cold, t.now, &t.runs[0]);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 4u);
  t.end (QG_COLD_OK);
}

/* The first 503 resets the limit to cold_slots. Other requests that were in
 * flight at the reset leave this limit alone, whether they fail or complete. */
TEST (Cold, SeveralOverloadAnswersResetTheLimitOnce)
{
  Target t (16, 1);
  t.warm_up (QG_SEC);
  t.fill ();
  t.end (QG_COLD_BUSY);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 1u);
  t.now += QG_SEC;
  while (!t.runs.empty ())
    t.end (t.runs.size () % 2 ? QG_COLD_BUSY : QG_COLD_OK);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 1u);
  t.start ();
  t.end (QG_COLD_OK);
  t.now += QG_SEC; /* double_us counts from the first 503 */
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 2u);
}

// Further 503 answers to requests that were in flight at the reset must not
// restart the ramp.
TEST (Cold, LaterOverloadAnswersDoNotRestartTheRamp)
{
  Target t (16, 2);
  t.warm_up (QG_SEC);
  t.fill ();
  t.end (QG_COLD_BUSY);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 2u);
  QgTime wakeup = qg_cold_wakeup (t.cold, t.now);
  t.now += 100 * QG_MSEC;
  for (int i = 0; i < 8; i++)
    t.end (QG_COLD_BUSY);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 2u);
  EXPECT_EQ (qg_cold_wakeup (t.cold, t.now), wakeup);
}

TEST (Cold, ConsecutiveSlowFirstTokensMeanARestart)
{
  Target t (8, 1);
  t.warm_up (QG_SEC);
  auto first = [&] (QgTime latency) {
    t.start ();
    qg_cold_first_token (t.cold, t.now + latency, &t.runs.back ());
    t.end (QG_COLD_OK);
  };
  for (int i = 0; i < 20; i++)
    first (100 * QG_MSEC);
  first (2 * QG_SEC);
  first (2 * QG_SEC);
  first (100 * QG_MSEC); /* one fast first token ends the streak */
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 8u);
  for (int i = 0; i < 3; i++)
    first (2 * QG_SEC);
  EXPECT_EQ (qg_cold_limit (t.cold, t.now), 1u);
}

TEST (Cold, AStartOverTheLimitIsRefusedAndReported)
{
  Target t (1, 1);
  guint64 before = qg_event_count (QG_EV_INV_OVER_LIMIT);
  QgColdRun run;
  t.start ();
  EXPECT_FALSE (qg_cold_start (t.cold, t.now, &run));
  EXPECT_EQ (qg_event_count (QG_EV_INV_OVER_LIMIT), before + 1);
  EXPECT_EQ (qg_cold_in_flight (t.cold), 1u);
  t.end (QG_COLD_OK);
}
