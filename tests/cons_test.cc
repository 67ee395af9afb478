#include "tests/cons_sim.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{
void
random_fault (Sim &sim)
{
  size_t n = sim.nodes.size (), i = sim.rng () % n, j = sim.rng () % n;
  switch (sim.rng () % 12)
    {
    case 0:
      sim.crash (i);
      break;
    case 1: // a later file operation loses power or fails
    case 2:
      sim.nodes[i].fs->power_loss = sim.rng () % 2;
      sim.nodes[i].fs->ops_left = static_cast<int> (sim.rng () % 12);
      break;
    case 3:
      if (sim.all_voting ())
        sim.wipe (i);
      break;
    case 4:
      sim.blocked[{ i, j }] = true;
      break;
    case 5: // isolates one member
      for (size_t k = 0; k < n; k++)
        sim.blocked[{ i, k }] = sim.blocked[{ k, i }] = true;
      break;
    case 6:
    case 7:
      sim.blocked.clear ();
      break;
    case 8:
      sim.loss = static_cast<unsigned> (sim.rng () % 30);
      sim.repeat = static_cast<unsigned> (sim.rng () % 20);
      sim.jitter = static_cast<QgTime> (sim.rng () % 60) * QG_MSEC;
      break;
    case 9:
      sim.drift_clocks ();
      break;
    case 10:
      sim.nodes[i].disk_delay
          = static_cast<QgTime> (sim.rng () % 400) * QG_MSEC;
      break;
    default:
      sim.heal ();
    }
}

void
run_schedule (uint64_t seed, size_t n, int faults)
{
  Sim sim (seed, n);
  sim.settle ();
  for (int f = 0; f < faults; f++)
    {
      for (int s = 0; s < 100; s++)
        {
          sim.step (static_cast<QgTime> (1 + sim.rng () % 10) * QG_MSEC);
          if (sim.rng () % 4 == 0)
            sim.propose (sim.rng () % n, std::to_string (sim.rng ()));
        }
      random_fault (sim);
    }
  for (auto &node : sim.nodes)
    node.disk_delay = 3 * QG_MSEC;
  sim.settle ();
  guint64 before = sim.history.rbegin ()->first;
  sim.propose (static_cast<size_t> (sim.leader ()), "last");
  QgTime end = sim.time + 30 * QG_SEC; // enough for one more disk failure
  auto all = [&] {
    for (auto &node : sim.nodes)
      if (node.applied <= before)
        return false;
    return true;
  };
  while (!all () && sim.time < end)
    sim.step ();
  require (all (), "a member did not catch up after the last fault");
}
} // namespace

RC_GTEST_PROP (Cons, NothingCommittedIsLostOnThree, (uint64_t seed))
{
  run_schedule (seed, 3, 60);
}

RC_GTEST_PROP (Cons, NothingCommittedIsLostOnFive, (uint64_t seed))
{
  run_schedule (seed, 5, 30);
}

// Schedules in which a late snapshot replaced entries that had been
// acknowledged beyond it; a member then never caught up.
TEST (Cons, SchedulesWithALateSnapshotRecover)
{
  EXPECT_NO_THROW (run_schedule (2618037, 5, 30));
  EXPECT_NO_THROW (run_schedule (1035, 3, 60));
}

// A late chunk of an older snapshot made a member drop the chunks that it had
// acknowledged of the newer one, and the leader never sent them again.
TEST (Cons, AScheduleWithALateChunkRecovers)
{
  EXPECT_NO_THROW (run_schedule (1023082109764, 3, 60));
}

// A member holds more than a snapshot that arrives late, although it does not
// know yet that these entries are committed. It must keep and acknowledge them.
TEST (Cons, ALateSnapshotRemovesNoAcknowledgedEntry)
{
  QgConsOptions options = {};
  QgConsState state = {};
  Qg__ConsMsg append = QG__CONS_MSG__INIT, snap = QG__CONS_MSG__INIT;
  Qg__ConsEntry entries[3], *list[3];
  QgConsWrite write;
  QgConsStatus status;
  options.name = "b";
  state.hard.disk = 7;
  QgCons *cons = qg_cons_new (&options, &state, 0);
  append.type = QG__CONS_TYPE__CONS_APPEND;
  append.term = snap.term = 1;
  append.disk = snap.disk = 9;
  append.boot = snap.boot = 1;
  for (guint i = 0; i < 3; i++)
    {
      qg__cons_entry__init (&entries[i]);
      entries[i].index = i + 1;
      entries[i].term = 1;
      list[i] = &entries[i];
    }
  append.n_entries = 3;
  append.entries = list;
  qg_cons_receive (cons, "a", &append, QG_SEC);
  ASSERT_TRUE (qg_cons_take_write (cons, &write));
  qg_cons_persisted (cons, write.seq, QG_SEC);
  qg_cons_write_clear (&write);
  auto acknowledged = [&] {
    guint64 index = 0;
    QgStr *to;
    Qg__ConsMsg *msg;
    while (qg_cons_take_message (cons, &to, &msg))
      {
        if (msg->type == QG__CONS_TYPE__CONS_APPENDED && !msg->reject)
          index = msg->index;
        qg_str_unref (to);
        qg__cons_msg__free_unpacked (msg, nullptr);
      }
    return index;
  };
  EXPECT_EQ (acknowledged (), 3u);
  snap.type = QG__CONS_TYPE__CONS_SNAP;
  snap.index = 2;
  snap.index_term = 1;
  qg_cons_receive (cons, "a", &snap, QG_SEC);
  qg_cons_status (cons, QG_SEC, &status);
  EXPECT_EQ (status.last, 3u);
  EXPECT_EQ (status.stable, 3u);
  EXPECT_EQ (status.commit, 2u);
  EXPECT_EQ (acknowledged (), 3u);
  qg_cons_unref (cons);
}

TEST (Cons, LearnersArePromotedOnceCaughtUp)
{
  Sim sim (1, 3);
  EXPECT_FALSE (sim.all_voting ());
  sim.settle ();
  EXPECT_TRUE (sim.all_voting ());
}

TEST (Cons, TheLeaderKeepsItsTermWhileAnIsolatedMemberReturns)
{
  Sim sim (2, 3);
  sim.settle ();
  int l = sim.leader ();
  guint64 terms = sim.leaders.size ();
  size_t isolated_member = static_cast<size_t> (l + 1) % 3;
  for (size_t k = 0; k < 3; k++)
    sim.blocked[{ isolated_member, k }] = sim.blocked[{ k, isolated_member }]
        = true;
  sim.run (600 * QG_SEC / 10);
  sim.settle ();
  EXPECT_EQ (sim.leader (), l);
  EXPECT_EQ (sim.leaders.size (), terms);
}

TEST (Cons, AnIsolatedLeaderServesNothingBeforeTheNextOneDoes)
{
  Sim sim (3, 3);
  sim.settle ();
  size_t old = static_cast<size_t> (sim.leader ());
  for (size_t k = 0; k < 3; k++)
    sim.blocked[{ old, k }] = sim.blocked[{ k, old }] = true;
  sim.run (10 * QG_SEC); // check() fails if two leases overlap
  EXPECT_NE (sim.leader (), static_cast<int> (old));
  EXPECT_GE (sim.leader (), 0);
  EXPECT_EQ (
      qg_cons_lease_until (sim.nodes[old].cons, sim.clock (sim.nodes[old])), 0);
}

// Followers hear such a leader, so only the leader can tell.
TEST (Cons, ALeaderOnSlowLinksGivesWay)
{
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      Sim sim (seed, 3);
      sim.settle ();
      size_t slow = static_cast<size_t> (sim.leader ());
      for (size_t k = 0; k < 3; k++)
        sim.delays[{ slow, k }] = sim.delays[{ k, slow }] = 350 * QG_MSEC;
      sim.run (6 * QG_SEC);
      guint served = 0;
      for (int i = 0; i < 100; i++)
        {
          sim.run (100 * QG_MSEC);
          served += sim.leader () >= 0 ? 1 : 0;
        }
      EXPECT_GE (served, 95u) << seed;
    }
}

TEST (Cons, ASecondLossRightAfterARepairLosesNothing)
{
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      Sim sim (seed, 3);
      sim.settle ();
      for (size_t victim = 0; victim < 6; victim++)
        {
          for (int p = 0; p < 30; p++)
            sim.propose (static_cast<size_t> (sim.leader ()), "x");
          while (!sim.all_voting ())
            sim.step ();
          sim.wipe (victim % 3); // as soon as all nodes are voters again
          sim.settle ();
        }
    }
}

TEST (Cons, ARolledBackDiskIsDetectedAndCountsOnlyAfterItCaughtUp)
{
  Sim sim (5, 3);
  sim.settle ();
  size_t b = static_cast<size_t> (sim.leader () + 1) % 3;
  QgConsStatus st;
  qg_cons_status (sim.nodes[b].cons, sim.time, &st);
  guint64 disk = st.disk;
  auto old = sim.nodes[b].fs->image ();
  for (int p = 0; p < 20; p++)
    sim.propose (static_cast<size_t> (sim.leader ()), "y");
  sim.run (QG_SEC);
  sim.crash (b);
  sim.nodes[b].fs->current = sim.nodes[b].fs->durable = old;
  sim.settle ();
  sim.run (5 * QG_SEC);
  qg_cons_status (sim.nodes[b].cons, sim.time, &st);
  EXPECT_NE (st.disk, disk);
  EXPECT_TRUE (st.voter);
}

TEST (Cons, AFloodOfProposalsIsRefusedBeforeMemoryGrows)
{
  Sim sim (6, 3);
  sim.settle ();
  size_t l = static_cast<size_t> (sim.leader ());
  std::string big (100000, 'z');
  int accepted = 0;
  while (accepted < 1000 && sim.propose (l, big) == QG_OK)
    accepted++;
  EXPECT_LT (accepted, 100);
}

TEST (Cons, AWipedMemberRejoinsItsFleetInsteadOfCreatingAnother)
{
  Sim sim (7, 3);
  sim.settle ();
  for (size_t k = 1; k < 3; k++)
    sim.blocked[{ 0, k }] = sim.blocked[{ k, 0 }] = true;
  sim.wipe (0);
  sim.run (20 * QG_SEC);
  QgConsStatus st;
  qg_cons_status (sim.nodes[0].cons, sim.time, &st);
  EXPECT_EQ (st.last, 0u); // an isolated, wiped member creates no fleet
  sim.settle ();
  EXPECT_TRUE (sim.all_voting ());
}

TEST (Cons, OnlyOneOfTwoBootstrappingMembersContinues)
{
  Sim sim (8, 3);
  sim.bootstrap (sim.nodes[1]);
  sim.settle ();
  EXPECT_EQ (sim.history.begin ()->first, 1u);
}

// The leader loses its link to the first follower, which then requests votes.
// The second follower must refuse to vote for the first follower as long as the
// second follower has a link to the leader.
TEST (Cons, NoVoteIsGrantedWithinTheLeaseOfAReachableLeader)
{
  for (uint64_t seed = 0; seed < 40; seed++)
    {
      Sim sim (seed, 3);
      sim.settle ();
      size_t a = static_cast<size_t> (sim.leader ());
      size_t b = (a + 1) % 3, c = (a + 2) % 3;
      guint64 terms = sim.leaders.size ();
      sim.drift_clocks ();
      sim.blocked[{ a, b }] = sim.blocked[{ b, a }] = true;
      sim.run (3 * QG_SEC + static_cast<QgTime> (seed) * 25 * QG_MSEC);
      EXPECT_EQ (sim.leader (), static_cast<int> (a));
      EXPECT_EQ (sim.leaders.size (), terms);
      sim.blocked[{ a, c }] = sim.blocked[{ c, a }] = true;
      sim.run (3 * QG_SEC);
      EXPECT_NE (sim.leader (), static_cast<int> (a));
      EXPECT_GE (sim.leader (), 0);
    }
}

TEST (Cons, AVoteIsSyncedBeforeItIsSent)
{
  QgConsOptions options = {};
  QgConsState state = {};
  Qg__ConsMsg ask = QG__CONS_MSG__INIT;
  QgConsWrite write;
  Qg__ConsMsg *msg;
  QgStr *to;
  options.name = "b";
  state.hard.disk = 7;
  QgCons *cons = qg_cons_new (&options, &state, 0);
  ASSERT_TRUE (qg_cons_take_write (cons, &write));
  qg_cons_persisted (cons, write.seq, 0);
  qg_cons_write_clear (&write);
  ask.type = QG__CONS_TYPE__CONS_VOTE_ASK;
  ask.term = 3;
  ask.disk = 9;
  ask.to_disk = 7;
  qg_cons_receive (cons, "a", &ask, 10 * QG_SEC);
  EXPECT_FALSE (qg_cons_take_message (cons, &to, &msg));
  ASSERT_TRUE (qg_cons_take_write (cons, &write));
  EXPECT_EQ (write.hard.term, 3u);
  EXPECT_STREQ (write.hard.vote, "a");
  EXPECT_FALSE (qg_cons_take_message (cons, &to, &msg));
  qg_cons_persisted (cons, write.seq, 10 * QG_SEC);
  qg_cons_write_clear (&write);
  ASSERT_TRUE (qg_cons_take_message (cons, &to, &msg));
  EXPECT_FALSE (msg->reject);
  qg_str_unref (to);
  qg__cons_msg__free_unpacked (msg, nullptr);
  ask.disk = 11; // another candidate of the same term
  qg_cons_receive (cons, "c", &ask, 10 * QG_SEC);
  ASSERT_TRUE (qg_cons_take_message (cons, &to, &msg));
  EXPECT_TRUE (msg->reject);
  qg_str_unref (to);
  qg__cons_msg__free_unpacked (msg, nullptr);
  qg_cons_unref (cons);
}
