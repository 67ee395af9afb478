#include "lib/schedule.h"
#include "lib/event.h"
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{
class Schedule : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    QgSchedOptions options = {};
    options.service = "model";
    options.pull_timeout_us = QG_SEC;
    sched = qg_sched_new (&options);
    qg_sched_set_permit (sched, 1000 * QG_SEC);
  }

  void
  TearDown () override
  {
    qg_sched_unref (sched);
    EXPECT_EQ (qg_invariants_broken (), before);
  }

  guint
  target (guint slots, guint cold_slots)
  {
    QgColdOptions options = {};
    options.slots = slots;
    options.cold_slots = cold_slots;
    guint number = qg_sched_add_target (sched, now, &options);
    qg_sched_set_target_up (sched, now, number, TRUE);
    return number;
  }

  std::vector<QgSchedAction>
  actions ()
  {
    std::vector<QgSchedAction> all;
    QgSchedAction action;
    while (qg_sched_next (sched, now, &action))
      {
        all.push_back (action);
        if (all.size () > 1000)
          break;
      }
    return all;
  }

  QgSched *sched;
  QgTime now = QG_SEC;
  guint64 before = qg_invariants_broken ();
};
}

TEST_F (Schedule, AnIdleFleetHasCreditOfItsRoomAndNoMore)
{
  target (8, 4);
  qg_sched_entry_up (sched, now, TRUE);
  qg_sched_entry_up (sched, now, TRUE);
  qg_sched_entry_up (sched, now, FALSE);
  auto sent = actions ();
  ASSERT_EQ (sent.size (), 2u);
  EXPECT_EQ (sent[0].verb, QG_SCHED_CREDIT);
  EXPECT_EQ (sent[0].free + sent[1].free, 4u);
  EXPECT_TRUE (actions ().empty ());
}

TEST_F (Schedule, AnAssignOnCreditOverTheLimitIsBounced)
{
  target (8, 2);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  guint place;
  actions ();
  QgSchedJob *one
      = qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT, &place);
  QgSchedJob *two
      = qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT, &place);
  ASSERT_TRUE (one != nullptr && two != nullptr);
  EXPECT_EQ (
      qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT, &place),
      nullptr);
  qg_sched_done (sched, now, one, 10, QG_COLD_OK);
  qg_sched_done (sched, now, two, 10, QG_COLD_OK);
}

TEST_F (Schedule, BacklogWithdrawsCreditAndPullsOncePerRequest)
{
  target (8, 8);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  actions ();
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 2);
  auto sent = actions ();
  ASSERT_EQ (sent.size (), 4u); /* no credit, two pulls, credit of the rest */
  EXPECT_EQ (sent[0].verb, QG_SCHED_CREDIT);
  EXPECT_EQ (sent[0].free, 0u);
  EXPECT_EQ (sent[1].verb, QG_SCHED_PULL);
  EXPECT_EQ (sent[2].verb, QG_SCHED_PULL);
  EXPECT_EQ (sent[3].free, 6u);
  qg_sched_pull_empty (sched, now, sent[1].pull_id);
  guint place;
  QgSchedJob *job = qg_sched_assign (sched, now, entry, sent[2].pull_id, "a",
                                     QG_CLASS_SHORT, &place);
  ASSERT_NE (job, nullptr);
  for (auto &action : actions ())
    EXPECT_EQ (action.verb, QG_SCHED_CREDIT);
  qg_sched_done (sched, now, job, 5, QG_COLD_OK);
}

TEST_F (Schedule, NothingStartsWithoutPermitOrWithTheDcOutOrDraining)
{
  guint t = target (4, 4);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 1);
  qg_sched_set_permit (sched, now);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_permit (sched, now + QG_SEC);
  qg_sched_set_dc_out (sched, TRUE);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_dc_out (sched, FALSE);
  qg_sched_set_draining (sched, t, TRUE);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_draining (sched, t, FALSE);
  auto sent = actions ();
  ASSERT_GE (sent.size (), 1u);
  EXPECT_EQ (sent[0].verb, QG_SCHED_PULL);
  /* The permit ends while the pull is on its way. */
  now += 2 * QG_SEC;
  guint place;
  EXPECT_EQ (qg_sched_assign (sched, now, entry, sent[0].pull_id, "a",
                              QG_CLASS_SHORT, &place),
             nullptr);
}

TEST_F (Schedule, AnUnansweredPullAndALostEntryFreeTheirRoom)
{
  target (1, 1);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 1);
  ASSERT_EQ (actions ().size (), 1u);
  EXPECT_EQ (qg_sched_wakeup (sched, now), now + QG_SEC);
  now += QG_SEC;
  ASSERT_EQ (actions ().size (), 1u); /* pulls again */
  qg_sched_entry_down (sched, now, entry);
  guint other = qg_sched_entry_up (sched, now, TRUE);
  auto sent = actions ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_EQ (sent[0].entry, other);
  EXPECT_EQ (sent[0].free, 1u);
}

TEST_F (Schedule, TheTargetOfTheMostRoomRunsTheRequest)
{
  target (8, 1);
  guint warm = target (8, 8);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  std::vector<QgSchedJob *> jobs;
  guint place;
  for (int i = 0; i < 7; i++)
    {
      jobs.push_back (
          qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT, &place));
      ASSERT_NE (jobs.back (), nullptr);
      EXPECT_EQ (place, warm);
    }
  for (auto *job : jobs)
    qg_sched_done (sched, now, job, 5, QG_COLD_OK);
}

// An agent learns the slots of its service after its start; a target with 64
// slots, all of which bear the start, was ramped up from one.
TEST (Cold, SlotsLearnedBeforeTheFirstWorkSetTheStartOfTheRamp)
{
  QgCold *cold = qg_cold_new (nullptr, 0);
  QgColdRun run;
  EXPECT_EQ (qg_cold_limit (cold, 0), 1u);
  qg_cold_set_slots (cold, 64, 32);
  EXPECT_EQ (qg_cold_limit (cold, 0), 32u);
  ASSERT_TRUE (qg_cold_start (cold, 0, &run));
  qg_cold_set_slots (cold, 64, 64);
  EXPECT_EQ (qg_cold_limit (cold, 0), 32u);
  qg_cold_unref (cold);
}

// A cold target of the bench bears two requests for 3 s; the ramp gave it four
// after two.
TEST (Cold, TheLimitStaysDownForTheHoldAndLearnsALongerOne)
{
  QgColdOptions options = {};
  options.slots = 8;
  options.cold_slots = 2;
  options.hold_us = 4 * QG_SEC;
  options.double_us = QG_SEC;
  QgCold *cold = qg_cold_new (&options, 0);
  QgTime now = 0;
  auto serve = [&] (QgColdSign sign) {
    QgColdRun run;
    ASSERT_TRUE (qg_cold_start (cold, now, &run));
    qg_cold_end (cold, now, &run, sign);
  };
  for (; now < 5 * QG_SEC; now += 100 * QG_MSEC)
    {
      EXPECT_EQ (qg_cold_limit (cold, now), 2u) << now;
      serve (QG_COLD_OK);
    }
  EXPECT_EQ (qg_cold_limit (cold, now), 4u);
  serve (QG_COLD_BUSY); // it fell over: the hold is 8 s now
  QgTime fell = now;
  for (; now < fell + 9 * QG_SEC; now += 100 * QG_MSEC)
    {
      EXPECT_EQ (qg_cold_limit (cold, now), 2u) << now;
      serve (QG_COLD_OK);
    }
  now = fell + 10 * QG_SEC;
  EXPECT_EQ (qg_cold_limit (cold, now), 8u);
  serve (QG_COLD_BOOT); // warm before: the hold is the first one again
  fell = now;
  for (int i = 0; i < 8; i++)
    serve (QG_COLD_OK);
  EXPECT_EQ (qg_cold_limit (cold, fell + 4 * QG_SEC), 2u);
  EXPECT_EQ (qg_cold_limit (cold, fell + 6 * QG_SEC), 8u);
  qg_cold_unref (cold);
}
