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

TEST_F (Schedule, IdleTargetsGrantCreditForTheirFreeSlotsOnly)
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
  guint target_number;
  actions ();
  QgSchedJob *one = qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT,
                                     &target_number);
  QgSchedJob *two = qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT,
                                     &target_number);
  ASSERT_TRUE (one != nullptr && two != nullptr);
  EXPECT_EQ (qg_sched_assign (sched, now, entry, 0, "a", QG_CLASS_SHORT,
                              &target_number),
             nullptr);
  qg_sched_done (sched, now, one, 10, QG_COLD_OK);
  qg_sched_done (sched, now, two, 10, QG_COLD_OK);
}

TEST_F (Schedule, BacklogRevokesCreditAndPullsOncePerRequest)
{
  target (8, 8);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  actions ();
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 2);
  auto sent = actions ();
  /* Credit is revoked, two pulls are sent, and the remaining slots are granted
   * as credit. */
  ASSERT_EQ (sent.size (), 4u);
  EXPECT_EQ (sent[0].verb, QG_SCHED_CREDIT);
  EXPECT_EQ (sent[0].free, 0u);
  EXPECT_EQ (sent[1].verb, QG_SCHED_PULL);
  EXPECT_EQ (sent[2].verb, QG_SCHED_PULL);
  EXPECT_EQ (sent[3].free, 6u);
  qg_sched_pull_empty (sched, now, sent[1].pull_id);
  guint target_number;
  QgSchedJob *job = qg_sched_assign (sched, now, entry, sent[2].pull_id, "a",
                                     QG_CLASS_SHORT, &target_number);
  ASSERT_NE (job, nullptr);
  for (auto &action : actions ())
    EXPECT_EQ (action.verb, QG_SCHED_CREDIT);
  qg_sched_done (sched, now, job, 5, QG_COLD_OK);
}

TEST_F (Schedule, NothingStartsWithoutPermitOrWhileDcOutOrDraining)
{
  guint t = target (4, 4);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 1);
  qg_sched_set_permit (sched, now);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_permit (sched, now + QG_SEC);
  qg_sched_set_dc_out (sched, now, TRUE);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_dc_out (sched, now, FALSE);
  qg_sched_set_draining (sched, now, t, TRUE);
  EXPECT_TRUE (actions ().empty ());
  qg_sched_set_draining (sched, now, t, FALSE);
  auto sent = actions ();
  ASSERT_GE (sent.size (), 1u);
  EXPECT_EQ (sent[0].verb, QG_SCHED_PULL);
  /* The permit expires while the pull is in flight. */
  now += 2 * QG_SEC;
  guint target_number;
  EXPECT_EQ (qg_sched_assign (sched, now, entry, sent[0].pull_id, "a",
                              QG_CLASS_SHORT, &target_number),
             nullptr);
}

TEST_F (Schedule, AnUnansweredPullAndALostEntryFreeTheirSlots)
{
  target (1, 1);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  qg_sched_offer (sched, now, entry, "a", QG_CLASS_SHORT, 1);
  ASSERT_EQ (actions ().size (), 1u);
  EXPECT_EQ (qg_sched_wakeup (sched, now), now + QG_SEC);
  now += QG_SEC;
  ASSERT_EQ (actions ().size (), 1u); /* the pull is sent again */
  qg_sched_entry_down (sched, now, entry);
  guint other = qg_sched_entry_up (sched, now, TRUE);
  auto sent = actions ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_EQ (sent[0].entry, other);
  EXPECT_EQ (sent[0].free, 1u);
}

TEST_F (Schedule, TheTargetWithMostFreeSlotsRunsTheRequest)
{
  target (8, 1);
  guint warm = target (8, 8);
  guint entry = qg_sched_entry_up (sched, now, TRUE);
  std::vector<QgSchedJob *> jobs;
  guint target_number;
  for (int i = 0; i < 7; i++)
    {
      jobs.push_back (qg_sched_assign (sched, now, entry, 0, "a",
                                       QG_CLASS_SHORT, &target_number));
      ASSERT_NE (jobs.back (), nullptr);
      EXPECT_EQ (target_number, warm);
    }
  for (auto *job : jobs)
    qg_sched_done (sched, now, job, 5, QG_COLD_OK);
}

TEST_F (Schedule, ReturningTargetsAreCold)
{
  guint t = target (8, 2);
  auto warm = [&] {
    for (int i = 0; i < 8; i++)
      {
        QgColdRun run;
        EXPECT_TRUE (qg_cold_start (qg_sched_cold (sched, t), now, &run));
        qg_cold_end (qg_sched_cold (sched, t), now, &run, QG_COLD_OK);
      }
    now += 60 * QG_SEC;
    return qg_cold_limit (qg_sched_cold (sched, t), now);
  };
  EXPECT_EQ (warm (), 8u);
  qg_sched_set_dc_out (sched, now, TRUE);
  EXPECT_EQ (qg_cold_limit (qg_sched_cold (sched, t), now), 8u);
  qg_sched_set_dc_out (sched, now, FALSE);
  EXPECT_EQ (qg_cold_limit (qg_sched_cold (sched, t), now), 2u);
  EXPECT_EQ (warm (), 8u);
  qg_sched_set_draining (sched, now, t, TRUE);
  qg_sched_set_draining (sched, now, t, FALSE);
  EXPECT_EQ (qg_cold_limit (qg_sched_cold (sched, t), now), 2u);
}

// An agent learns the slots of its service only after it has created the
// target. The ramp restarts from these slots; otherwise a target that can fill
// all of its 64 slots at once would ramp up from the default of 1.
TEST (Cold, SlotsSetBeforeTheFirstRequestSetTheStartOfTheRamp)
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

// The limit must not rise before the hold is over. A ramp without a hold sends
// 4 requests after 2 s, even to a target that can run only 2 in its first 3 s.
TEST (Cold, TheLimitStaysDownForTheHoldWhichDoublesAfterAFailure)
{
  QgColdOptions options = {};
  options.slots = 8;
  options.cold_slots = 2;
  options.hold_us = 4 * QG_SEC;
  options.double_us = QG_SEC;
  QgCold *cold = qg_cold_new (&options, 0);
  QgTime now = 0;
  auto serve = [&] (QgColdSignal signal) {
    QgColdRun run;
    ASSERT_TRUE (qg_cold_start (cold, now, &run));
    qg_cold_end (cold, now, &run, signal);
  };
  for (; now < 5 * QG_SEC; now += 100 * QG_MSEC)
    {
      EXPECT_EQ (qg_cold_limit (cold, now), 2u) << now;
      serve (QG_COLD_OK);
    }
  EXPECT_EQ (qg_cold_limit (cold, now), 4u);
  serve (QG_COLD_BUSY); // an overload during the ramp doubles the hold to 8 s
  QgTime failed_at = now;
  for (; now < failed_at + 9 * QG_SEC; now += 100 * QG_MSEC)
    {
      EXPECT_EQ (qg_cold_limit (cold, now), 2u) << now;
      serve (QG_COLD_OK);
    }
  now = failed_at + 10 * QG_SEC;
  EXPECT_EQ (qg_cold_limit (cold, now), 8u);
  serve (QG_COLD_BOOT); // the target was warm: the hold is 4 s again
  failed_at = now;
  for (int i = 0; i < 8; i++)
    serve (QG_COLD_OK);
  EXPECT_EQ (qg_cold_limit (cold, failed_at + 4 * QG_SEC), 2u);
  EXPECT_EQ (qg_cold_limit (cold, failed_at + 6 * QG_SEC), 8u);
  qg_cold_unref (cold);
}
