#include "tests/found_sim.h"
#include <gtest/gtest.h>

namespace
{
FirstStartFaults
random_faults (std::mt19937_64 &rng)
{
  FirstStartFaults faults;
  faults.loss = rng () % 2 ? static_cast<unsigned> (rng () % 30) : 0;
  faults.repeat = rng () % 2 ? static_cast<unsigned> (rng () % 30) : 0;
  faults.jitter = static_cast<QgTime> (1 + rng () % 40) * QG_MSEC;
  faults.spread = static_cast<QgTime> (rng () % 150) * QG_MSEC;
  faults.restarts = rng () % 2 ? static_cast<unsigned> (rng () % 5) : 0;
  faults.wipes = rng () % 4 == 0 ? 1 : 0;
  faults.flag_kept = rng () % 2;
  faults.wrong_list = rng () % 8 == 0;
  if (rng () % 4 == 0)
    faults.write = static_cast<QgTime> (rng () % 300) * QG_MSEC;
  return faults;
}
} // namespace

// Two fleets began at a first start, each of which acknowledged changes: in any
// order of starts and messages, and with restarts, at most one does, and one
// does at last.
TEST (FirstStart, NoOrderBeginsTwoFleets)
{
  const uint64_t ORDERS = 100000;
  uint64_t delivered = 0, acknowledged = 0, restarts = 0, wipes = 0, none = 0;
  uint64_t seed = 0, failures = 0;
  qg_event_set_level (QG_N_SEVERITIES);
  for (; seed < ORDERS && failures < 5; seed++)
    {
      std::mt19937_64 rng (seed);
      FirstStartFaults faults = random_faults (rng);
      FirstStart start (rng (), faults);
      try
        {
          start.play (400 * QG_MSEC, 4 * QG_SEC);
        }
      catch (const std::runtime_error &error)
        {
          failures++;
          ADD_FAILURE () << "seed " << seed << ": " << error.what ();
        }
      delivered += start.delivered;
      acknowledged += start.acknowledged;
      none += start.nobody_may_begin ();
      restarts += faults.restarts;
      wipes += std::min (faults.wipes, faults.restarts);
    }
  qg_event_set_level (QG_SEV_INFO);
  printf ("%lu orders: %lu messages, %lu restarts, %lu lost folders, "
          "%lu changes applied, %lu without a founder that may begin\n",
          seed, delivered, restarts, wipes, acknowledged, none);
}

// A process that restarted before there was a fleet got settings with
// bootstrap=no, as every restart does, and no fleet ever began.
TEST (FirstStart, ARestartBeforeThereIsAFleetKeepsTheRightToBeginOne)
{
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      FirstStartFaults faults;
      faults.loss = 100;
      FirstStart start (seed, faults);
      while (start.time < 100 * QG_MSEC)
        start.step ();
      for (auto &node : start.nodes)
        start.restart (node, false);
      start.faults.loss = 0;
      EXPECT_NO_THROW (start.play (400 * QG_MSEC, 4 * QG_SEC)) << seed;
      EXPECT_GT (start.acknowledged, 0u) << seed;
    }
}

// A process whose settings list other founders than those of the others has no
// part in beginning a fleet; the others do not wait for it.
TEST (FirstStart, AProcessThatListsOtherFoundersBeginsNone)
{
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      FirstStartFaults faults;
      faults.wrong_list = true;
      FirstStart start (seed, faults);
      EXPECT_NO_THROW (start.play (400 * QG_MSEC, 4 * QG_SEC)) << seed;
      EXPECT_GT (start.acknowledged, 0u) << seed;
    }
}

// Founders whose votes take longer to sync than an election began one election
// after the other, and no fleet.
TEST (FirstStart, SlowFoldersBeginAFleet)
{
  for (uint64_t seed = 0; seed < 100; seed++)
    {
      FirstStartFaults faults;
      faults.write = 400 * QG_MSEC; // four times the shortest election
      FirstStart start (seed, faults);
      while (start.time < 3 * QG_SEC)
        start.step ();
      EXPECT_FALSE (start.history.empty ()) << seed;
    }
}
