#include "lib/event.h"
#include "lib/isolate.h"
#include "lib/poison.h"
#include "lib/suspect.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace
{

using Fingerprint = std::string;

Fingerprint
fingerprint_of (int i)
{
  guint8 out[QG_POISON_FINGERPRINT_BYTES];
  qg_poison_fingerprint ("w", "s", &i, sizeof i, out);
  return Fingerprint (reinterpret_cast<char *> (out), sizeof out);
}

const guint8 *
data_of (const Fingerprint &p)
{
  return reinterpret_cast<const guint8 *> (p.data ());
}

class Table
{
public:
  Table () : poison (qg_poison_new ()), now (0)
  {
    qg_event_set_level (QG_SEV_ERROR);
  }
  ~Table () { qg_poison_unref (poison); }

  void
  crash (const std::string &agent, guint64 seq,
         std::vector<Fingerprint> fingerprints, bool sound = true)
  {
    std::vector<ProtobufCBinaryData> data;
    Qg__PoisonCrash m = QG__POISON_CRASH__INIT;
    Qg__PoisonCommand c = QG__POISON_COMMAND__INIT;
    for (Fingerprint &p : fingerprints)
      data.push_back ({ p.size (), const_cast<guint8 *> (data_of (p)) });
    m.agent = const_cast<char *> (agent.c_str ());
    m.service = const_cast<char *> ("s");
    m.seq = seq;
    m.sound = sound;
    m.fingerprints = data.data ();
    m.n_fingerprints = data.size ();
    c.kind_case = QG__POISON_COMMAND__KIND_CRASH;
    c.crash = &m;
    apply (c);
  }

  void
  clear (const Fingerprint &p)
  {
    ProtobufCBinaryData data
        = { p.size (), const_cast<guint8 *> (data_of (p)) };
    Qg__PoisonClear m = QG__POISON_CLEAR__INIT;
    Qg__PoisonCommand c = QG__POISON_COMMAND__INIT;
    m.fingerprints = &data;
    m.n_fingerprints = 1;
    c.kind_case = QG__POISON_COMMAND__KIND_CLEAR;
    c.clear = &m;
    apply (c);
  }

  void
  lift ()
  {
    Qg__PoisonLift m = QG__POISON_LIFT__INIT;
    Qg__PoisonCommand c = QG__POISON_COMMAND__INIT;
    c.kind_case = QG__POISON_COMMAND__KIND_LIFT;
    c.lift = &m;
    apply (c);
  }

  int
  level (const Fingerprint &p)
  {
    return qg_poison_level (poison, p.data ());
  }

  void
  copy_from (const Table &other)
  {
    gsize size;
    GBytes *b = qg_poison_snapshot (other.poison);
    const void *data = g_bytes_get_data (b, &size);
    EXPECT_EQ (qg_poison_restore (poison, data, size, nullptr), QG_OK);
    GBytes *copy = qg_poison_snapshot (poison);
    EXPECT_TRUE (g_bytes_equal (b, copy));
    g_bytes_unref (b);
    g_bytes_unref (copy);
  }

  QgPoison *poison;
  QgTime now;
  std::map<Fingerprint, int> received; /* last levels sent to entries */

private:
  void
  apply (Qg__PoisonCommand &c)
  {
    c.now_us = now;
    Qg__PoisonResult *r = qg_poison_apply (poison, &c);
    ASSERT_NE (r, nullptr);
    for (gsize i = 0; i < r->n_changed; i++)
      received[Fingerprint (
          reinterpret_cast<char *> (r->changed[i]->fingerprint.data),
          r->changed[i]->fingerprint.len)]
          = static_cast<int> (r->changed[i]->level);
    qg__poison_result__free_unpacked (r, nullptr);
  }
};

struct Target
{
  QgIsolate *isolate = qg_isolate_new ();
  std::map<guint64, int> running; /* kind by request id */
  std::map<guint64, int> held;
  ~Target () { qg_isolate_unref (isolate); }
};

/* Simulates a fleet of targets. Requests of one kind crash their target, and
 * each crash is reported twice. */
class Fleet
{
public:
  static const int poison = 0;
  Table table;
  std::vector<Target> targets;
  int poison_crashes = 0;
  /* Copies of the poison request that were assigned to a target when the
   * request reached QG_POISON_ALONE or its quarantine. */
  std::set<guint64> assigned_copies;

  explicit Fleet (int n) : targets (n) {}

  void
  assign (int target, int kind)
  {
    Target &t = targets[target];
    Fingerprint fingerprint = fingerprint_of (kind);
    int level = table.level (fingerprint);
    if (level == QG_POISON_QUARANTINED)
      return;
    if (kind == poison && target == last_crashed)
      return; /* a retry goes to another target */
    guint64 id = ++last_id;
    QgIsolateVerdict v = qg_isolate_admit (t.isolate, id, data_of (fingerprint),
                                           static_cast<QgPoisonLevel> (level));
    if (v == QG_ISOLATE_RUN)
      start (t, id, kind);
    else if (v == QG_ISOLATE_HOLD)
      t.held[id] = kind;
  }

  void
  finish (int target)
  {
    Target &t = targets[target];
    auto it = std::find_if (t.running.begin (), t.running.end (),
                            [] (auto &r) { return r.second != poison; });
    if (it == t.running.end ())
      return;
    guint64 id = it->first, next;
    table.clear (fingerprint_of (it->second));
    t.running.erase (it);
    if (qg_isolate_end (t.isolate, id, QG_ISOLATE_COMPLETE, &next))
      run_held (t, next);
  }

  void
  crash (int target)
  {
    Target &t = targets[target];
    QgIsolateCrash crash;
    std::vector<Fingerprint> fingerprints;
    guint64 next;
    if (has_poison (target))
      {
        poison_crashes++;
        last_crashed = target;
      }
    std::map<guint64, int> lost = t.running;
    t.running.clear ();
    for (auto &[id, kind] : lost)
      if (qg_isolate_connection_lost (t.isolate, id, table.now, &next))
        run_held (t, next);
    RC_ASSERT (!qg_isolate_crashed (t.isolate, table.now, &crash));
    RC_ASSERT (qg_isolate_crashed (
        t.isolate, table.now + QG_ISOLATE_CRASH_WINDOW, &crash));
    for (guint i = 0; i < crash.fingerprints->len; i++)
      {
        GBytes *b
            = static_cast<GBytes *> (g_ptr_array_index (crash.fingerprints, i));
        fingerprints.emplace_back (
            static_cast<const char *> (g_bytes_get_data (b, nullptr)),
            g_bytes_get_size (b));
      }
    g_ptr_array_unref (crash.fingerprints);
    RC_ASSERT (fingerprints.size () == lost.size ());
    table.crash (std::to_string (target), ++seq, fingerprints, crash.sound);
    table.crash (std::to_string (target), seq, fingerprints, crash.sound);
    if (table.level (fingerprint_of (poison)) >= QG_POISON_ALONE)
      record_copies ();
  }

  bool
  has_poison (int target)
  {
    for (auto &[id, kind] : targets[target].running)
      if (kind == poison)
        return true;
    return false;
  }

private:
  guint64 last_id = 0, seq = 0;
  int last_crashed = -1;
  int recorded_level = 0;

  void
  record_copies ()
  {
    int level = table.level (fingerprint_of (poison));
    if (level == recorded_level)
      return;
    recorded_level = level;
    for (Target &t : targets)
      for (auto *requests : { &t.running, &t.held })
        for (auto &[id, kind] : *requests)
          if (kind == poison)
            assigned_copies.insert (id);
  }

  void
  run_held (Target &t, guint64 next)
  {
    start (t, next, t.held[next]);
    t.held.erase (next);
  }

  void
  start (Target &t, guint64 id, int kind)
  {
    t.running[id] = kind;
    qg_isolate_sent (t.isolate, id);
  }
};

} // namespace

TEST (Poison, OnlyThePoisonKindIsQuarantinedAndAfterFewCrashes)
{
  EXPECT_TRUE (rc::check ("poison", [] {
    int n = *rc::gen::inRange (2, 6);
    Fleet fleet (n);
    int n_actions = *rc::gen::inRange (50, 600);

    for (int i = 0; i < n_actions; i++)
      {
        int target = *rc::gen::inRange (0, n);
        int action = *rc::gen::inRange (0, 20);
        fleet.table.now += QG_SEC;
        if (action < 10)
          fleet.assign (target, *rc::gen::inRange (0, 8));
        else if (action < 15)
          fleet.finish (target);
        else if (fleet.has_poison (target)
                 || (action == 19 && fleet.targets[target].running.size () > 1))
          fleet.crash (target);
        for (int kind = 1; kind < 8; kind++)
          RC_ASSERT (fleet.table.level (fingerprint_of (kind))
                     < QG_POISON_QUARANTINED);
      }
    RC_ASSERT (fleet.poison_crashes
               <= QG_POISON_MIN_CRASHES
                      + static_cast<int> (fleet.assigned_copies.size ()));
    RC_ASSERT (qg_event_count (QG_EV_INV_ISOLATE) == 0u);
  }));
}

TEST (Poison, SingleCopiesCrashAtMostThreeTargets)
{
  Table t;
  Fingerprint poison = fingerprint_of (0), harmless = fingerprint_of (1);
  t.crash ("a", 1, { poison, harmless });
  EXPECT_EQ (t.level (poison), QG_POISON_APART);
  EXPECT_EQ (t.level (harmless), QG_POISON_APART);
  t.clear (harmless);
  t.crash ("b", 1, { poison, fingerprint_of (2) });
  EXPECT_EQ (t.level (poison), QG_POISON_ALONE);
  t.crash ("c", 1, { poison });
  EXPECT_EQ (t.level (poison), QG_POISON_QUARANTINED);
  EXPECT_EQ (t.received[poison], QG_POISON_QUARANTINED);
  EXPECT_EQ (t.level (harmless), QG_POISON_CLEAR);
  t.clear (poison); /* a late completion does not lift a quarantine */
  EXPECT_EQ (t.level (poison), QG_POISON_QUARANTINED);
  t.lift ();
  EXPECT_EQ (t.level (poison), QG_POISON_CLEAR);
}

TEST (Poison, CrashesWithOtherRequestsInFlightDoNotQuarantine)
{
  Table t;
  Fingerprint frequent = fingerprint_of (1);
  for (int i = 0; i < 20; i++)
    t.crash (std::to_string (i), 1, { frequent, fingerprint_of (100 + i) });
  EXPECT_EQ (t.level (frequent), QG_POISON_ALONE);
}

TEST (Poison, TargetThatCrashesOnEveryRequestQuarantinesNothing)
{
  Table t;
  Fingerprint harmless = fingerprint_of (1);
  for (guint64 i = 0; i < 20; i++)
    t.crash ("broken", i, { harmless }, false);
  EXPECT_EQ (t.level (harmless), QG_POISON_ALONE);
}

TEST (Poison, SingleTargetNeedsTwoSoundCrashesAlone)
{
  Table t;
  Fingerprint poison = fingerprint_of (0);
  t.crash ("only", 1, { poison, fingerprint_of (1) });
  t.crash ("only", 2, { poison }, false);
  t.crash ("only", 3, { poison }, false);
  t.crash ("only", 4, { poison });
  EXPECT_EQ (t.level (poison), QG_POISON_ALONE);
  t.crash ("only", 5, { poison });
  EXPECT_EQ (t.level (poison), QG_POISON_QUARANTINED);
}

/* Fault: a request whose first three crashes were all at one target crashed a
 * fourth. */
TEST (Poison, ThreeSoundCrashesAtOneTargetAreEnough)
{
  Table t;
  Fingerprint poison = fingerprint_of (0);
  t.crash ("only", 1, { poison, fingerprint_of (1) });
  t.crash ("only", 2, { poison, fingerprint_of (2) });
  t.crash ("only", 3, { poison });
  EXPECT_EQ (t.level (poison), QG_POISON_QUARANTINED);
}

TEST (Poison, CrashReportedTwiceCountsOnce)
{
  Table t;
  Fingerprint p = fingerprint_of (0);
  t.crash ("a", 1, { p });
  t.crash ("b", 1, { p });
  for (int i = 0; i < 5; i++)
    t.crash (i % 2 ? "a" : "b", 1, { p });
  EXPECT_EQ (t.level (p), QG_POISON_ALONE);
}

TEST (Poison, TableIsBoundedAcrossRetentionAndSnapshots)
{
  Table t, other;
  for (int i = 0; i < QG_POISON_MAX_FINGERPRINTS + 50; i++)
    t.crash ("a", static_cast<guint64> (i), { fingerprint_of (i) });
  EXPECT_EQ (qg_poison_count (t.poison), 4096u);
  other.copy_from (t);
  t.now = QG_POISON_SUSPECT_RETENTION;
  t.clear (fingerprint_of (-1));
  EXPECT_EQ (qg_poison_count (t.poison), 0u);
  EXPECT_EQ (t.received[fingerprint_of (QG_POISON_MAX_FINGERPRINTS)],
             QG_POISON_CLEAR);
}

TEST (Isolate, BrokenConnectionIsNoCrashWhileOtherRequestsGoOn)
{
  QgIsolate *i = qg_isolate_new ();
  QgIsolateCrash crash;
  guint64 next;
  for (guint64 id = 1; id <= 3; id++)
    {
      EXPECT_EQ (qg_isolate_admit (i, id, data_of (fingerprint_of (1)),
                                   QG_POISON_CLEAR),
                 QG_ISOLATE_RUN);
      qg_isolate_sent (i, id);
    }
  qg_isolate_connection_lost (i, 1, 0, &next);
  EXPECT_FALSE (qg_isolate_crashed (i, QG_ISOLATE_CRASH_WINDOW, &crash));
  qg_isolate_connection_lost (i, 2, QG_SEC, &next);
  qg_isolate_end (i, 3, QG_ISOLATE_COMPLETE, &next);
  EXPECT_FALSE (qg_isolate_crashed (i, 2 * QG_SEC, &crash));
  qg_isolate_admit (i, 4, data_of (fingerprint_of (4)), QG_POISON_CLEAR);
  qg_isolate_sent (i, 4);
  qg_isolate_connection_lost (i, 4, 3 * QG_SEC, &next);
  EXPECT_TRUE (qg_isolate_crashed (i, 4 * QG_SEC, &crash));
  EXPECT_EQ (crash.fingerprints->len, 1u);
  EXPECT_TRUE (crash.sound);
  g_ptr_array_unref (crash.fingerprints);
  qg_isolate_unref (i);
}

TEST (Isolate, AloneRequestWaitsForTheOthersAndThenRunsAlone)
{
  QgIsolate *i = qg_isolate_new ();
  guint64 next = 0;
  Fingerprint p = fingerprint_of (1);
  qg_isolate_admit (i, 1, data_of (p), QG_POISON_CLEAR);
  qg_isolate_admit (i, 2, data_of (p), QG_POISON_APART);
  EXPECT_EQ (qg_isolate_admit (i, 3, data_of (p), QG_POISON_APART),
             QG_ISOLATE_BOUNCE);
  EXPECT_FALSE (qg_isolate_end (i, 2, QG_ISOLATE_COMPLETE, &next));
  EXPECT_EQ (qg_isolate_admit (i, 4, data_of (p), QG_POISON_ALONE),
             QG_ISOLATE_HOLD);
  EXPECT_FALSE (qg_isolate_may_pull (i));
  EXPECT_EQ (qg_isolate_admit (i, 5, data_of (p), QG_POISON_CLEAR),
             QG_ISOLATE_BOUNCE);
  EXPECT_TRUE (qg_isolate_end (i, 1, QG_ISOLATE_COMPLETE, &next));
  EXPECT_EQ (next, 4u);
  EXPECT_FALSE (qg_isolate_may_pull (i));
  qg_isolate_end (i, 4, QG_ISOLATE_COMPLETE, &next);
  EXPECT_TRUE (qg_isolate_may_pull (i));
  qg_isolate_unref (i);
}

TEST (Suspect, CrashesSeenByTheEntryQuarantineWithoutControl)
{
  QgSuspects *s = qg_suspect_new ();
  Fingerprint p = fingerprint_of (0);
  const char *agents[] = { "a", "b", "c" };
  qg_event_set_level (QG_SEV_ERROR);
  for (const char *agent : agents)
    {
      QgPoisonLevel level = qg_suspect_level (s, data_of (p));
      EXPECT_LT (level, QG_POISON_QUARANTINED);
      QgSuspectCrash crash = { "s", agent, 1, data_of (p), level };
      qg_suspect_record_crash (s, &crash, QG_SEC);
    }
  EXPECT_EQ (qg_suspect_level (s, data_of (p)), QG_POISON_QUARANTINED);
  EXPECT_FALSE (qg_suspect_record_completion (s, data_of (p), QG_SEC));
  qg_suspect_unref (s);
}

TEST (Suspect, RequestsLostInOneCrashCountOnce)
{
  QgSuspects *s = qg_suspect_new ();
  Fingerprint p = fingerprint_of (0);
  qg_event_set_level (QG_SEV_ERROR);
  for (int copy = 0; copy < 5; copy++)
    {
      QgSuspectCrash crash = { "s", "a", 1, data_of (p), QG_POISON_CLEAR };
      qg_suspect_record_crash (s, &crash, QG_SEC + copy);
    }
  EXPECT_EQ (qg_suspect_level (s, data_of (p)), QG_POISON_APART);
  qg_suspect_unref (s);
}

TEST (Suspect, StricterLevelAppliesAndSnapshotReplacesControlLevels)
{
  QgSuspects *s = qg_suspect_new ();
  Fingerprint p = fingerprint_of (0), q = fingerprint_of (1);
  qg_suspect_set_control_level (s, data_of (p), QG_POISON_QUARANTINED);
  qg_suspect_set_control_level (s, data_of (q), QG_POISON_ALONE);
  EXPECT_EQ (qg_suspect_level (s, data_of (p)), QG_POISON_QUARANTINED);
  EXPECT_TRUE (qg_suspect_record_completion (s, data_of (q), 0));
  qg_suspect_reset_control_levels (s);
  EXPECT_EQ (qg_suspect_level (s, data_of (p)), QG_POISON_CLEAR);
  EXPECT_FALSE (qg_suspect_record_completion (s, data_of (q), 0));
  qg_suspect_unref (s);
}
