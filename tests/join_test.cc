// Which control member a new one has replaced: alone, and on members with
// fake disks, clocks and links.
#include "lib/join.h"
#include "tests/cons_sim.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace
{
const QgTime TICK = 20 * QG_MSEC;

// One member, @c a, that listens to others.
struct Listener
{
  QgJoin *join = qg_join_new ("a", 3);
  QgConsStatus status = {};
  QgTime now = QG_SEC;
  std::string replaced;

  explicit Listener (const std::vector<std::string> &voters)
  {
    for (auto &name : voters)
      {
        auto &info = status.members[status.n_members++];
        info.name = qg_str_new (name.c_str ());
        info.voter = TRUE;
      }
    tick ();
  }
  Listener (const Listener &) = delete;

  ~Listener ()
  {
    qg_join_free (join);
    for (guint i = 0; i < status.n_members; i++)
      qg_str_unref (status.members[i].name);
  }

  void
  tick ()
  {
    const char *name = qg_join_tick (join, &status, now);
    replaced = name != nullptr ? name : "";
  }

  void
  listen (const std::vector<std::string> &heard, QgTime span)
  {
    for (QgTime end = now + span; now < end;)
      {
        now += TICK;
        for (auto &name : heard)
          qg_join_heard (join, name.c_str (), now);
        tick ();
      }
  }
};

// Members with spare VMs. Each node hears all others that run and are not
// blocked, as connections tell it.
struct Fleet : Sim
{
  std::vector<QgJoin *> joins;
  std::vector<QgCons *> lives; // the process that a join belongs to
  std::set<size_t> gone;
  int removals = 0;

  Fleet (uint64_t seed, size_t spares)
      : Sim (seed, 3, spares), joins (nodes.size ()), lives (nodes.size ())
  {
  }

  ~Fleet ()
  {
    for (QgJoin *join : joins)
      g_clear_pointer (&join, qg_join_free);
  }

  bool
  runs (size_t i) const
  {
    return nodes[i].cons != nullptr && nodes[i].stopped_until <= time;
  }

  // The VM of a node is lost for good, and the next spare one starts.
  void
  replace (size_t victim)
  {
    crash (victim);
    nodes[victim].restart_at = G_MAXINT64;
    gone.insert (victim);
    for (auto &node : nodes)
      if (node.restart_at == G_MAXINT64
          && gone.count (static_cast<size_t> (node.name[0] - 'a')) == 0)
        {
          node.restart_at = time;
          return;
        }
  }

  void
  join_tick (size_t i)
  {
    QgConsStatus status;
    if (lives[i] != nodes[i].cons)
      {
        g_clear_pointer (&joins[i], qg_join_free);
        lives[i] = nodes[i].cons;
      }
    if (!runs (i))
      return;
    if (joins[i] == nullptr)
      joins[i] = qg_join_new (nodes[i].name.c_str (), 3);
    for (size_t k = 0; k < nodes.size (); k++)
      if (runs (k) && !blocked[{ k, i }])
        qg_join_heard (joins[i], nodes[k].name.c_str (), clock (nodes[i]));
    qg_cons_status (nodes[i].cons, clock (nodes[i]), &status);
    const char *replaced = qg_join_tick (joins[i], &status, clock (nodes[i]));
    if (leader () != static_cast<int> (i))
      return;
    if (replaced != nullptr)
      remove (i, status, replaced);
    for (size_t k = 0; k < nodes.size (); k++)
      if (runs (k) && !blocked[{ k, i }] && !blocked[{ i, k }])
        qg_cons_member_add (nodes[i].cons, nodes[k].name.c_str (),
                            "127.0.0.1:1", nullptr);
  }

  void
  remove (size_t i, const QgConsStatus &status, const char *name)
  {
    guint voters = 0;
    bool voter = false;
    for (guint m = 0; m < status.n_members; m++)
      {
        voters += status.members[m].voter ? 1 : 0;
        voter |= status.members[m].voter
                 && strcmp (status.members[m].name, name) == 0;
      }
    require (!voter || voters > 3, "a voter without a replacement is removed");
    require (name != nodes[i].name, "a member removes itself");
    if (qg_cons_member_remove (nodes[i].cons, name, nullptr) == QG_OK)
      removals++;
  }

  void
  run_joins (QgTime span)
  {
    for (QgTime end = time + span; time < end;)
      {
        step ();
        for (size_t i = 0; i < nodes.size (); i++)
          join_tick (i);
      }
  }

  // Whether the committed members are three voters that were not lost, with
  // their present disks.
  bool
  whole ()
  {
    int l = leader ();
    if (l < 0)
      return false;
    QgConsStatus st, other;
    Node &node = nodes[static_cast<size_t> (l)];
    qg_cons_status (node.cons, clock (node), &st);
    for (guint m = 0; m < st.n_members; m++)
      {
        size_t k = static_cast<size_t> (st.members[m].name[0] - 'a');
        if (!st.members[m].voter || gone.count (k) > 0
            || nodes[k].cons == nullptr)
          return false;
        qg_cons_status (nodes[k].cons, clock (nodes[k]), &other);
        if (other.disk != st.members[m].disk)
          return false;
      }
    GBytes *now = qg_cons_members_at (node.cons, st.last);
    GBytes *done = qg_cons_members_at (node.cons, st.commit);
    bool same = g_bytes_equal (now, done);
    g_bytes_unref (now);
    g_bytes_unref (done);
    return same && st.n_members == 3;
  }

  void
  settle_joins ()
  {
    heal ();
    for (size_t i = 0; i < nodes.size (); i++)
      if (gone.count (i) > 0
          || (i >= founders && nodes[i].cons == nullptr
              && gone.size () + founders <= i))
        nodes[i].restart_at = G_MAXINT64;
    for (QgTime end = time + 60 * QG_SEC; !whole () && time < end;)
      run_joins (TICK);
    require (whole (), "the members were not replaced in time");
  }
};

// Random replacements beside stops, crashes, wiped disks and lost links.
void
run_replacements (uint64_t seed)
{
  Fleet fleet (seed, 6);
  fleet.settle_joins ();
  for (int f = 0; f < 25; f++)
    {
      size_t i = fleet.rng () % fleet.nodes.size ();
      size_t j = fleet.rng () % fleet.nodes.size ();
      bool member = fleet.nodes[i].cons != nullptr;
      switch (fleet.rng () % 7)
        {
        case 0:
          if (fleet.whole () && member && fleet.gone.size () < 6)
            fleet.replace (i);
          break;
        case 1:
          if (fleet.whole () && member)
            fleet.wipe (i);
          break;
        case 2:
          if (member)
            fleet.crash (i);
          break;
        case 3:
          fleet.blocked[{ i, j }] = true;
          break;
        case 4:
          fleet.blocked.clear ();
          break;
        case 5:
          i = fleet.leader () >= 0 ? static_cast<size_t> (fleet.leader ()) : i;
          G_GNUC_FALLTHROUGH;
        default:
          fleet.nodes[i].stopped_until
              = fleet.time
                + static_cast<QgTime> (fleet.rng () % 5000) * QG_MSEC;
        }
      for (int p = 0; p < 20; p++)
        {
          fleet.run_joins (static_cast<QgTime> (fleet.rng () % 100) * QG_MSEC);
          fleet.propose (fleet.rng () % fleet.nodes.size (),
                         std::to_string (fleet.rng ()));
        }
    }
  fleet.settle_joins ();
}
} // namespace

TEST (Join, OnlyASilentMemberBeyondThoseWantedIsRemoved)
{
  Listener three ({ "a", "b", "c" }), four ({ "a", "b", "c", "d" });
  three.listen ({ "b" }, 60 * QG_SEC);
  EXPECT_EQ (three.replaced, "");
  four.listen ({ "b", "d" }, QG_JOIN_SILENCE - TICK);
  EXPECT_EQ (four.replaced, "");
  four.listen ({ "b", "d" }, 2 * TICK);
  EXPECT_EQ (four.replaced, "c");
  four.listen ({ "b", "c", "d" }, TICK);
  EXPECT_EQ (four.replaced, "");
}

TEST (Join, TheMemberThatIsSilentForLongestIsRemoved)
{
  Listener a ({ "a", "b", "c", "d" });
  a.listen ({ "b", "d" }, 100 * QG_MSEC);
  a.listen ({ "d" }, 10 * QG_SEC); // b is only held up
  EXPECT_EQ (a.replaced, "c");
}

TEST (Join, ALearnerThatNeverReturnsIsRemoved)
{
  Listener a ({ "a", "b", "c", "d" });
  a.status.members[3].voter = FALSE;
  a.listen ({ "b", "c" }, QG_JOIN_SILENCE + TICK);
  EXPECT_EQ (a.replaced, "d");
}

TEST (Join, AProcessThatStoodStillListensBeforeItRemovesAMember)
{
  Listener a ({ "a", "b", "c", "d" });
  a.listen ({ "b", "d" }, 2 * QG_SEC);
  a.now += 60 * QG_SEC;
  a.tick ();
  EXPECT_EQ (a.replaced, "");
  a.listen ({ "b", "d" }, QG_JOIN_LISTEN_MAX - TICK);
  EXPECT_EQ (a.replaced, "");
  a.listen ({ "b", "c", "d" }, 2 * QG_SEC);
  EXPECT_EQ (a.replaced, "");
}

// A leader that stood still may be the next leader.
TEST (Join, SilenceCountsBesideAStopOfThisProcess)
{
  Listener a ({ "a", "b", "c", "d" });
  a.listen ({ "b", "d" }, QG_SEC);
  a.now += 1500 * QG_MSEC;
  a.listen ({ "b", "d" }, QG_JOIN_LISTEN_MAX + TICK);
  EXPECT_EQ (a.replaced, "c");
}

TEST (Join, AMemberThatReturnsUnderItsNameIsCountedAnew)
{
  Listener a ({ "a", "b", "c", "d" });
  a.listen ({ "b", "d" }, 10 * QG_SEC);
  EXPECT_EQ (a.replaced, "c");
  a.status.n_members = 3; // d takes the place of c below
  std::swap (a.status.members[2], a.status.members[3]);
  a.listen ({ "b", "d" }, TICK);
  a.status.n_members = 4;
  a.listen ({ "b", "d" }, QG_JOIN_SILENCE - TICK);
  EXPECT_EQ (a.replaced, "");
}

// Until the replaced member is removed, two of four voters are no quorum, and
// the loss of one more disk ends the fleet for good.
TEST (Join, AReplacedMemberIsRemovedThoughLeadershipsAreShort)
{
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      Fleet fleet (seed, 1);
      fleet.settle_joins ();
      size_t victim = seed % 3;
      for (size_t i = 0; i < 3; i++)
        if (i != victim)
          fleet.crash (i), fleet.nodes[i].restart_at = fleet.time;
      fleet.replace (victim);
      fleet.run_joins (2 * QG_SEC);
      QgTime until = fleet.time + 6 * QG_SEC;
      while (fleet.time < until)
        {
          if (fleet.leader () >= 0)
            {
              fleet.run_joins (700 * QG_MSEC);
              if (fleet.whole ())
                break;
              int l = fleet.leader ();
              if (l >= 0)
                fleet.nodes[static_cast<size_t> (l)].stopped_until
                    = fleet.time + 1500 * QG_MSEC;
            }
          fleet.run_joins (TICK);
        }
      EXPECT_TRUE (fleet.whole ()) << seed;
      EXPECT_EQ (fleet.removals, 1) << seed;
    }
}

RC_GTEST_PROP (Join, NothingCommittedIsLostWhileMembersAreReplaced,
               (uint64_t seed))
{
  run_replacements (seed);
}
