#include "lib/event.h"
#include "lib/partwatch.h"
#include "lib/poison.h"
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

using Print = std::string;

const char kService[] = "model";

Print
print_of (guint64 part)
{
  guint8 out[QG_POISON_FINGERPRINT_BYTES];

  qg_poison_part_fingerprint (kService, part, out);
  return Print (reinterpret_cast<char *> (out), sizeof out);
}

/* The replicated table and the levels that relays got from it. */
class Table
{
public:
  Table () : poison (qg_poison_new ()) { qg_event_set_level (QG_SEV_ERROR); }
  ~Table () { qg_poison_unref (poison); }

  void
  report (GBytes *packed, QgTime now)
  {
    gsize size;
    const guint8 *data
        = static_cast<const guint8 *> (g_bytes_get_data (packed, &size));
    Qg__PoisonParts *parts = qg__poison_parts__unpack (nullptr, size, data);
    Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;

    ASSERT_NE (parts, nullptr);
    command.kind_case = QG__POISON_COMMAND__KIND_PARTS;
    command.parts = parts;
    apply (command, now);
    qg__poison_parts__free_unpacked (parts, nullptr);
  }

  /* Reports one crash with @parts in flight, in order of depth. */
  void
  crash (guint64 id, const std::vector<guint64> &parts, QgTime now,
         gboolean whole = FALSE)
  {
    QgPartWatch *watch = qg_partwatch_new ();

    for (guint i = 0; i < parts.size (); i++)
      {
        QgPartWatchPart part = { kService, parts[i], i, whole };

        qg_partwatch_crashed (watch, &part, id, now, now);
      }
    GBytes *packed = qg_partwatch_take (watch);
    report (packed, now);
    g_bytes_unref (packed);
    qg_partwatch_free (watch);
  }

  void
  clear (guint64 part, QgTime now)
  {
    Print print = print_of (part);
    ProtobufCBinaryData data
        = { print.size (), reinterpret_cast<guint8 *> (&print[0]) };
    Qg__PoisonClear clear = QG__POISON_CLEAR__INIT;
    Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;

    clear.n_fingerprints = 1;
    clear.fingerprints = &data;
    command.kind_case = QG__POISON_COMMAND__KIND_CLEAR;
    command.clear = &clear;
    apply (command, now);
  }

  QgPoisonLevel
  level (guint64 part) const
  {
    return qg_poison_level (poison, print_of (part).data ());
  }

  QgPoison *poison;

private:
  void
  apply (const Qg__PoisonCommand &command, QgTime now)
  {
    Qg__PoisonCommand copy = command;

    copy.now_us = now;
    Qg__PoisonResult *result = qg_poison_apply (poison, &copy);
    ASSERT_NE (result, nullptr);
    qg__poison_result__free_unpacked (result, nullptr);
  }
};

struct Run
{
  std::vector<guint64> parts;
  int relay;
  int target;
  int life;
  QgTime began;
  QgTime ends;
  bool deadly;
  bool survived;

  bool
  operator<(const Run &other) const
  {
    return ends > other.ends;
  }
};

struct Outcome
{
  int crashes = 0;
  int late = 0;  /* deadly requests sent 3 s after the fifth crash */
  int sound = 0; /* sound parts in quarantine at the end */
  bool found = false;
};

/* A day of 60 s: relays send requests, each with a part of its kind, one of its
 * workspace and one of its own, to targets; deadly requests share one part in
 * addition and crash their target 0.1 s after they begin; other crashes have
 * no cause in the prompts. Reports take 50 ms. */
Outcome
play (unsigned seed, double deadly_per_s, double crashes_per_s,
      gboolean whole = FALSE)
{
  constexpr int kRelays = 7, kTargets = 12, kKinds = 6, kWorkspaces = 16;
  constexpr guint64 kDeadly = 0xdead;
  constexpr double kPerS = 60;
  std::mt19937 random (seed);
  auto uniform = [&] (double low, double high) {
    return std::uniform_real_distribution<> (low, high) (random);
  };
  Table table;
  std::vector<QgPartWatch *> watches;
  std::priority_queue<Run> runs;
  std::vector<int> life (kTargets);
  std::vector<QgTime> up_at (kTargets);
  std::vector<std::pair<QgTime, GBytes *> > reports;
  std::vector<std::pair<QgTime, guint64> > clears;
  std::vector<QgTime> crash_times;
  guint64 next_part = 1000;
  Outcome out;

  for (int i = 0; i < kRelays; i++)
    watches.push_back (qg_partwatch_new ());
  auto crash = [&] (int target, QgTime now) {
    life[target]++;
    up_at[target] = now + static_cast<QgTime> (uniform (2, 4) * QG_SEC);
    out.crashes++;
    crash_times.push_back (now);
  };
  auto survive = [&] (const Run &run, QgTime now) {
    for (guint i = 0; i + 1 < run.parts.size (); i++)
      {
        QgPartWatchPart part = { kService, run.parts[i], i, whole };

        qg_partwatch_completed (watches[static_cast<size_t> (run.relay)], &part,
                                now);
        if (table.level (run.parts[i]) == QG_POISON_APART)
          clears.push_back ({ now + 150 * QG_MSEC, run.parts[i] });
      }
  };
  for (QgTime now = QG_SEC; now < 61 * QG_SEC; now += 5 * QG_MSEC)
    {
      for (size_t i = 0; i < reports.size ();)
        if (reports[i].first <= now)
          {
            table.report (reports[i].second, now);
            g_bytes_unref (reports[i].second);
            reports.erase (reports.begin () + static_cast<long> (i));
          }
        else
          i++;
      for (auto &item : clears)
        if (item.first <= now && item.first > now - 5 * QG_MSEC)
          table.clear (item.second, now);
      for (QgPartWatch *watch : watches)
        if (qg_partwatch_due (watch) <= now)
          while (GBytes *packed = qg_partwatch_take (watch))
            reports.push_back ({ now + 50 * QG_MSEC, packed });
      if (uniform (0, 1) < crashes_per_s * 0.005)
        crash (static_cast<int> (uniform (0, kTargets)), now);
      /* runs that ended or whose target crashed */
      std::vector<Run> keep;
      while (!runs.empty ())
        {
          Run run = runs.top ();

          runs.pop ();
          bool lost = run.life != life[run.target];
          if (!lost && run.ends > now)
            {
              if (!run.survived && now - run.began >= QG_PARTWATCH_SURVIVED)
                {
                  run.survived = true;
                  survive (run, now);
                }
              keep.push_back (run);
              continue;
            }
          if (!lost && run.deadly)
            {
              crash (run.target, now);
              lost = true;
            }
          if (!lost)
            {
              survive (run, now);
              continue;
            }
          for (guint i = 0; i + 1 < run.parts.size (); i++)
            {
              QgPartWatchPart part = { kService, run.parts[i], i, whole };

              qg_partwatch_crashed (
                  watches[static_cast<size_t> (run.relay)], &part,
                  qg_poison_crash_id (std::to_string (run.target).c_str (),
                                      static_cast<guint64> (run.life)),
                  run.began, now);
            }
        }
      for (const Run &run : keep)
        runs.push (run);
      /* new requests */
      for (bool deadly : { false, true })
        {
          Run run;
          guint64 kind = static_cast<guint64> (uniform (0, kKinds));
          double rank = uniform (0, 1);

          if (uniform (0, 1) >= (deadly ? deadly_per_s : kPerS) * 0.005)
            continue;
          run.parts = { 1 + kind, 100 + kind * kWorkspaces
                                      + static_cast<guint64> (rank * rank
                                                              * kWorkspaces) };
          if (deadly)
            run.parts.push_back (kDeadly);
          run.parts.push_back (next_part++);
          run.deadly = deadly;
          run.survived = false;
          run.relay = static_cast<int> (uniform (0, kRelays));
          run.target = static_cast<int> (uniform (0, kTargets));
          run.life = life[run.target];
          run.began = now;
          run.ends = now
                     + static_cast<QgTime> (
                         deadly ? 100 * QG_MSEC
                                : uniform (0.1, kind == 0 ? 4 : 0.8) * QG_SEC);
          if (now < up_at[run.target])
            continue;
          bool refused = false;
          for (size_t i = 0; i + 1 < run.parts.size (); i++)
            refused = refused
                      || table.level (run.parts[i]) == QG_POISON_QUARANTINED;
          if (refused)
            continue;
          if (deadly && crash_times.size () >= 5
              && now > crash_times[4] + 3 * QG_SEC)
            out.late++;
          runs.push (run);
        }
    }
  out.found = table.level (kDeadly) == QG_POISON_QUARANTINED;
  gconstpointer cursor = nullptr;
  QgPoisonInfo info;
  while (qg_poison_next (table.poison, &cursor, &info))
    if (info.level == QG_POISON_QUARANTINED
        && memcmp (info.fingerprint, print_of (kDeadly).data (),
                   sizeof info.fingerprint)
               != 0)
      out.sound++;
  for (auto &item : reports)
    g_bytes_unref (item.second);
  for (QgPartWatch *watch : watches)
    qg_partwatch_free (watch);
  return out;
}

} // namespace

TEST (PartWatch, OnlyTheDeadlyPartIsQuarantinedAfterAFewCrashes)
{
  int sound = 0;

  for (unsigned seed = 1; seed <= 40; seed++)
    for (double rate : { 1.0, 3.0, 8.0 })
      {
        Outcome out = play (seed, rate, 0);

        EXPECT_TRUE (out.found) << seed << " " << rate;
        EXPECT_LE (out.late, 3) << seed << " " << rate;
        sound += out.sound;
      }
  EXPECT_EQ (sound, 0);
}

TEST (PartWatch, CrashesOfAnotherCauseQuarantineNothing)
{
  for (unsigned seed = 1; seed <= 40; seed++)
    for (double rate : { 0.5, 2.0 })
      EXPECT_EQ (play (seed, 0, rate).sound, 0) << seed << " " << rate;
}

/* Requests that are often sent again alike, and crashes of another cause: one
 * in a second for a minute. */
TEST (PartWatch, CrashesOfAnotherCauseQuarantineNoRequest)
{
  for (unsigned seed = 1; seed <= 40; seed++)
    for (double rate : { 0.5, 1.0 })
      EXPECT_EQ (play (seed, 0, rate, TRUE).sound, 0) << seed << " " << rate;
}

TEST (PartWatch, DeepestOfThePartsInTheSameCrashesIsQuarantined)
{
  Table table;

  for (guint64 i = 0; i < QG_POISON_PART_CRASHES + 1; i++)
    table.crash (i, { 1, 2, 3 }, static_cast<QgTime> (i) * QG_SEC);
  EXPECT_EQ (table.level (3), QG_POISON_QUARANTINED);
  EXPECT_EQ (table.level (2), QG_POISON_CLEAR);
  EXPECT_EQ (table.level (1), QG_POISON_CLEAR);
}

TEST (PartWatch, CrashesAtOneMomentQuarantineNothing)
{
  Table table;

  for (guint64 i = 0; i < 20; i++)
    table.crash (i, { 1 }, 5 * QG_SEC);
  EXPECT_EQ (table.level (1), QG_POISON_APART);
}

TEST (PartWatch, OneCrashReportedOftenCountsOnce)
{
  Table table;

  for (guint64 i = 0; i < 20; i++)
    table.crash (7, { 1 }, static_cast<QgTime> (i) * QG_SEC);
  EXPECT_EQ (table.level (1), QG_POISON_CLEAR);
}

TEST (PartWatch, ACompletionClearsAPart)
{
  Table table;

  for (guint64 i = 0; i < 12; i++)
    {
      table.crash (i, { 1 }, static_cast<QgTime> (i) * QG_SEC);
      if (i % 3 == 2)
        table.clear (1, static_cast<QgTime> (i) * QG_SEC);
    }
  EXPECT_NE (table.level (1), QG_POISON_QUARANTINED);
}

TEST (PartWatch, ARecentCompletionExcusesAPart)
{
  QgPartWatch *watch = qg_partwatch_new ();
  QgPartWatchPart part = { kService, 1, 0 };
  QgPartWatchPart other = { "other", 1, 0 };

  qg_partwatch_completed (watch, &part, QG_SEC);
  qg_partwatch_crashed (watch, &part, 1, 2 * QG_SEC, 2 * QG_SEC);
  EXPECT_EQ (qg_partwatch_due (watch), G_MAXINT64);
  qg_partwatch_crashed (watch, &other, 1, QG_SEC, 2 * QG_SEC);
  EXPECT_EQ (qg_partwatch_due (watch), G_MAXINT64);
  qg_partwatch_crashed (watch, &other, 1, 2 * QG_SEC, 2 * QG_SEC);
  EXPECT_EQ (qg_partwatch_due (watch), 2 * QG_SEC + QG_PARTWATCH_DELAY);
  GBytes *packed = qg_partwatch_take (watch);
  EXPECT_NE (packed, nullptr);
  g_bytes_unref (packed);
  EXPECT_EQ (qg_partwatch_take (watch), nullptr);
  const QgTime later = QG_SEC + 2 * QG_PARTWATCH_EXCUSE + QG_MSEC;
  qg_partwatch_crashed (watch, &part, 2, later, later);
  EXPECT_NE (qg_partwatch_due (watch), G_MAXINT64);
  qg_partwatch_free (watch);
}

TEST (PartWatch, SnapshotKeepsSuspectsAndQuarantine)
{
  Table table;
  QgErr err;

  for (guint64 i = 0; i < QG_POISON_PART_CRASHES + 1; i++)
    table.crash (i, { 1, 2 }, static_cast<QgTime> (i) * QG_SEC);
  table.crash (9, { 3 }, 6 * QG_SEC);
  table.crash (10, { 3 }, 7 * QG_SEC);
  GBytes *snapshot = qg_poison_snapshot (table.poison);
  gsize size;
  gconstpointer data = g_bytes_get_data (snapshot, &size);
  Table copy;
  ASSERT_EQ (qg_poison_restore (copy.poison, data, size, &err), QG_OK);
  for (Table *t : { &table, &copy })
    {
      EXPECT_EQ (t->level (2), QG_POISON_QUARANTINED);
      EXPECT_EQ (t->level (3), QG_POISON_APART);
      for (guint64 i = 11; i < 9 + QG_POISON_PART_CRASHES; i++)
        t->crash (i, { 3 }, 8 * QG_SEC);
      EXPECT_EQ (t->level (3), QG_POISON_QUARANTINED);
    }
  g_bytes_unref (snapshot);
}

TEST (PartWatch, SuspectedPartsAreBounded)
{
  Table table;

  for (guint64 i = 0; i < 3 * QG_POISON_MAX_PARTS; i++)
    table.crash (i, { i }, static_cast<QgTime> (i) * QG_MSEC);
  EXPECT_LE (qg_poison_count (table.poison), (guint)QG_POISON_MAX_PARTS);
}

TEST (PartWatch, RequestKeyCoversAllOfTheRequest)
{
  const std::set<guint64> keys = {
    qg_poison_request_key ("w", "GET", "/a", "x", 1),
    qg_poison_request_key ("v", "GET", "/a", "x", 1),
    qg_poison_request_key ("w", "POST", "/a", "x", 1),
    qg_poison_request_key ("w", "GET", "/b", "x", 1),
    qg_poison_request_key ("w", "GET", "/a", "y", 1),
    qg_poison_request_key ("w", "GET", "/ax", "", 0),
  };

  EXPECT_EQ (keys.size (), 6u);
  EXPECT_EQ (qg_poison_request_key ("w", "GET", "/a", "x", 1),
             qg_poison_request_key ("w", "GET", "/a", "x", 1));
}

/* Fault: a target that ended without closing its connections did not count. */
TEST (PartWatch, ATargetThatEndsUnderASilentRequestCrashed)
{
  QgPartWatch *watch = qg_partwatch_new ();
  QgPartWatchPart part = { kService, 1, 0, TRUE };
  QgPartWatchPart other = { kService, 2, 0, TRUE };

  qg_partwatch_unanswered (watch, &part, 7, QG_SEC);
  EXPECT_TRUE (qg_partwatch_has_unanswered (watch));
  EXPECT_EQ (qg_partwatch_due (watch), G_MAXINT64);
  qg_partwatch_target_ended (watch, 8, 2 * QG_SEC);
  EXPECT_EQ (qg_partwatch_due (watch), G_MAXINT64);
  qg_partwatch_target_ended (watch, 7, 3 * QG_SEC);
  EXPECT_FALSE (qg_partwatch_has_unanswered (watch));
  GBytes *packed = qg_partwatch_take (watch);
  ASSERT_NE (packed, nullptr);
  gsize size;
  auto data = static_cast<const uint8_t *> (g_bytes_get_data (packed, &size));
  Qg__PoisonParts *parts = qg__poison_parts__unpack (nullptr, size, data);
  ASSERT_EQ (parts->n_parts, 1u);
  EXPECT_TRUE (parts->parts[0]->whole);
  EXPECT_EQ (parts->parts[0]->crashes[0], 7u);
  qg__poison_parts__free_unpacked (parts, nullptr);
  g_bytes_unref (packed);
  /* A target that answers later has not ended, and old requests expire. */
  qg_partwatch_unanswered (watch, &part, 9, 4 * QG_SEC);
  qg_partwatch_target_answers (watch, 9);
  qg_partwatch_target_ended (watch, 9, 5 * QG_SEC);
  EXPECT_EQ (qg_partwatch_take (watch), nullptr);
  qg_partwatch_unanswered (watch, &other, 10, 5 * QG_SEC);
  qg_partwatch_target_ended (watch, 10,
                             6 * QG_SEC + QG_PARTWATCH_UNANSWERED_TIME);
  EXPECT_EQ (qg_partwatch_take (watch), nullptr);
  EXPECT_FALSE (qg_partwatch_has_unanswered (watch));
  for (guint i = 0; i < 2 * QG_PARTWATCH_MAX_UNANSWERED; i++)
    qg_partwatch_unanswered (watch, &other, i, 60 * QG_SEC);
  qg_partwatch_target_ended (watch, QG_PARTWATCH_MAX_UNANSWERED + 1,
                             60 * QG_SEC);
  EXPECT_EQ (qg_partwatch_take (watch), nullptr);
  qg_partwatch_free (watch);
}

TEST (PartWatch, AWholeRequestNeedsFewerCrashes)
{
  Table table;

  for (guint64 i = 0; i < QG_POISON_WHOLE_CRASHES; i++)
    table.crash (i, { 1 }, static_cast<QgTime> (i) * QG_SEC, TRUE);
  EXPECT_EQ (table.level (1), QG_POISON_QUARANTINED);
  for (guint64 i = 0; i < QG_POISON_WHOLE_CRASHES; i++)
    table.crash (100 + i, { 2 }, static_cast<QgTime> (i) * QG_SEC);
  EXPECT_NE (table.level (2), QG_POISON_QUARANTINED);
}
