#include "lib/event.h"
#include "lib/fair.h"
#include "lib/sizer.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace
{
class Fair : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    QgFairOptions options = {};
    options.service = "s";
    options.spill_slack = 1000 * QG_FAIR_SCALE;
    options.first_estimate = 100;
    fair = qg_fair_new (&options);
    local_entry = qg_fair_entry_up (fair, TRUE);
    remote_entry = qg_fair_entry_up (fair, FALSE);
  }
  void
  TearDown () override
  {
    qg_fair_unref (fair);
  }

  void
  offer (const char *workspace, QgClass c = QG_CLASS_SHORT, guint entry = 0,
         guint waiting = 1000000)
  {
    qg_fair_offer (fair, now, entry != 0 ? entry : local_entry, workspace, c,
                   waiting);
  }

  /* Picks and serves @a n requests. A request costs @a cost (key) units, where
   * key is the workspace, with "/long" appended for the long class. Returns the
   * units served, by key. */
  template <typename Cost>
  std::map<std::string, gint64>
  serve (int n, Cost cost)
  {
    std::map<std::string, gint64> units;
    for (int i = 0; i < n; i++)
      {
        QgFairPick pick;
        QgFairJob *job = qg_fair_pick (fair, now, &pick);
        std::string key = pick.workspace;
        key += pick.size_class == QG_CLASS_LONG ? "/long" : "";
        gint64 c = cost (key);
        qg_fair_start (fair, now, job);
        qg_fair_end (fair, now, job, c);
        units[key] += c;
      }
    return units;
  }

  QgFair *fair;
  guint local_entry;
  guint remote_entry;
  QgTime now = QG_SEC;
};
}

TEST_F (Fair, ServiceFollowsTheWeights)
{
  qg_fair_set_weight (fair, "a", 1);
  qg_fair_set_weight (fair, "b", 3);
  offer ("a");
  offer ("b");
  auto units = serve (4000, [] (const std::string &) { return 50; });
  EXPECT_NEAR ((double)units["b"] / (double)units["a"], 3.0, 0.05);
}

TEST_F (Fair, SplittingARequestGainsNoService)
{
  offer ("whole");
  offer ("split");
  auto units = serve (
      20000, [] (const std::string &w) { return w == "whole" ? 1000 : 10; });
  EXPECT_NEAR ((double)units["split"] / (double)units["whole"], 1.0, 0.02);
}

TEST_F (Fair, CancellingGainsNoService)
{
  /* "quits" cancels each request after half of its service. */
  offer ("stays");
  offer ("quits");
  auto units = serve (
      9000, [] (const std::string &w) { return w == "stays" ? 200 : 100; });
  EXPECT_NEAR ((double)units["quits"] / (double)units["stays"], 1.0, 0.02);
}

TEST_F (Fair, ConcurrentPullsAlternateBetweenWorkspaces)
{
  offer ("a");
  offer ("b");
  std::map<std::string, int> pulls;
  std::vector<QgFairJob *> jobs;
  for (int i = 0; i < 16; i++)
    {
      QgFairPick pick;
      jobs.push_back (qg_fair_pick (fair, now, &pick));
      pulls[pick.workspace]++;
    }
  EXPECT_EQ (pulls["a"], 8);
  EXPECT_EQ (pulls["b"], 8);
  for (auto *job : jobs)
    qg_fair_pull_lost (fair, now, job);
  EXPECT_EQ (qg_fair_counter (fair, "a"), 0);
}

TEST_F (Fair, AStreamIsChargedMoreOnceItExceedsItsEstimate)
{
  offer ("a");
  QgFairPick pick;
  QgFairJob *job = qg_fair_pick (fair, now, &pick);
  qg_fair_start (fair, now, job);
  EXPECT_EQ (qg_fair_counter (fair, "a"), 100 * QG_FAIR_SCALE);
  qg_fair_progress (fair, job, 60);
  EXPECT_EQ (qg_fair_counter (fair, "a"), 100 * QG_FAIR_SCALE);
  qg_fair_progress (fair, job, 5000);
  EXPECT_EQ (qg_fair_counter (fair, "a"), 5000 * QG_FAIR_SCALE);
  qg_fair_end (fair, now, job, 4000);
  EXPECT_EQ (qg_fair_counter (fair, "a"), 4000 * QG_FAIR_SCALE);
}

TEST_F (Fair, TheEstimateConvergesToTheCostsOfTheWorkspace)
{
  offer ("big");
  serve (12, [] (const std::string &) { return 3000; });
  EXPECT_NEAR ((double)qg_fair_estimate (fair, "big", QG_CLASS_SHORT), 3000,
               10);
  EXPECT_NEAR ((double)qg_fair_estimate (fair, "other", QG_CLASS_SHORT), 3000,
               10);
}

TEST_F (Fair, RemoteWorkIsPickedOnlyBeyondTheSpillSlack)
{
  QgFairPick pick;
  offer ("here");
  offer ("there", QG_CLASS_SHORT, remote_entry);
  auto units = serve (10, [] (const std::string &) { return 100; });
  EXPECT_EQ (units["here"], 1000); /* within the spill slack */
  units = serve (100, [] (const std::string &) { return 100; });
  EXPECT_NEAR ((double)units["here"], 5000, 200);
  offer ("here", QG_CLASS_SHORT, local_entry, 0); /* no local request waits */
  QgFairJob *job = qg_fair_pick (fair, now, &pick);
  EXPECT_TRUE (pick.remote);
  qg_fair_pull_lost (fair, now, job);
}

/* While short requests wait, two long requests are never served in a row, yet
 * long requests get a fifth of the service. */
TEST_F (Fair, ShortRequestsDoNotQueueBehindLongOnes)
{
  offer ("a", QG_CLASS_LONG);
  serve (20, [] (const std::string &) { return 2000; });
  offer ("a", QG_CLASS_SHORT);
  std::vector<bool> is_long;
  gint64 units[2] = { 0, 0 };
  for (int i = 0; i < 2000; i++)
    serve (1, [&] (const std::string &key) {
      bool l = key == "a/long";
      is_long.push_back (l);
      units[l] += l ? 2000 : 50;
      return l ? 2000 : 50;
    });
  for (size_t i = 1; i < is_long.size (); i++)
    EXPECT_FALSE (is_long[i] && is_long[i - 1]);
  EXPECT_NEAR ((double)units[0] / (double)units[1], 4.0, 0.5);
}

TEST_F (Fair, RemovingAnEntryRemovesItsOffers)
{
  QgFairPick pick;
  offer ("a");
  offer ("b", QG_CLASS_LONG, remote_entry);
  QgFairJob *job = qg_fair_pick (fair, now, &pick);
  ASSERT_STREQ (pick.workspace, "a");
  qg_fair_entry_down (fair, local_entry);
  qg_fair_start (fair, now, job);
  qg_fair_end (fair, now, job, 10);
  job = qg_fair_pick (fair, now, &pick);
  ASSERT_STREQ (pick.workspace, "b");
  qg_fair_entry_down (fair, remote_entry);
  qg_fair_pull_empty (fair, now, job);
  EXPECT_FALSE (qg_fair_is_backlogged (fair));
  EXPECT_EQ (qg_fair_pick (fair, now, &pick), nullptr);
}

TEST_F (Fair, IdleWorkspacesAreRemovedFromMemory)
{
  Qg__FairReport report;
  for (int i = 0; i < 1000; i++)
    {
      std::string name = "w" + std::to_string (i);
      offer (name.c_str (), QG_CLASS_SHORT, local_entry, 1);
      serve (1, [] (const std::string &) { return 10; });
      offer (name.c_str (), QG_CLASS_SHORT, local_entry, 0);
    }
  EXPECT_EQ (qg_fair_n_workspaces (fair), 1000u);
  Qg__FairTotals totals = QG__FAIR_TOTALS__INIT;
  qg_fair_report (fair, now, &report);
  totals.seq = report.seq;
  totals.service = (char *)"s";
  qg_fair_totals (fair, now, &totals);
  offer ("busy");
  serve (100, [] (const std::string &) { return 1000; });
  now += 600 * QG_SEC;
  qg_fair_remove_idle (fair, now);
  EXPECT_LE (qg_fair_n_workspaces (fair), 2u);
}

/* In any order of calls, each pick matches a waiting request that was offered,
 * and no invariant breaks. */
RC_GTEST_PROP (FairProperty, PicksOnlyWhatWasOfferedAndChargesAddUp, ())
{
  QgFairOptions options = {};
  QgFair *fair = qg_fair_new (&options);
  guint64 broken = qg_invariants_broken ();
  std::map<std::tuple<guint, std::string, int>, guint> offers;
  std::vector<std::tuple<QgFairJob *, guint, std::string, int> > pulls;
  std::vector<std::pair<QgFairJob *, std::string> > jobs;
  std::vector<guint> entries = { qg_fair_entry_up (fair, TRUE) };
  QgTime now = 1;
  const char *const names[] = { "a", "b", "c", "d" };

  for (int step :
       *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 4000)))
    {
      guint entry = entries[step / 10 % entries.size ()];
      const char *name = names[step / 20 % 4];
      int c = step / 80 % 2;
      now += 1000;
      switch (step % 10)
        {
        case 0:
        case 1:
          offers[{ entry, name, c }] = step / 160 % 4;
          qg_fair_offer (fair, now, entry, name, (QgClass)c, step / 160 % 4);
          break;
        case 2:
          entries.push_back (qg_fair_entry_up (fair, step / 160 % 2));
          break;
        case 3:
          qg_fair_entry_down (fair, entry);
          for (auto &o : offers)
            if (std::get<0> (o.first) == entry)
              o.second = 0;
          std::replace (entries.begin (), entries.end (), entry,
                        qg_fair_entry_up (fair, TRUE));
          break;
        case 4:
          if (!pulls.empty ())
            {
              auto [job, e, w, k] = pulls.back ();
              qg_fair_pull_empty (fair, now, job);
              offers[{ e, w, k }] = 0;
              pulls.pop_back ();
            }
          break;
        case 5:
          if (!pulls.empty ())
            {
              qg_fair_start (fair, now, std::get<0> (pulls.front ()));
              jobs.push_back ({ std::get<0> (pulls.front ()),
                                std::get<2> (pulls.front ()) });
              pulls.erase (pulls.begin ());
            }
          break;
        case 6:
          if (!jobs.empty ())
            {
              qg_fair_end (fair, now, jobs.back ().first, step);
              jobs.pop_back ();
            }
          break;
        default:
          {
            QgFairPick pick;
            guint free = 0;
            for (auto &o : offers)
              {
                guint n = 0;
                for (auto &[job, e, w, k] : pulls)
                  n += std::make_tuple (e, w, k) == o.first;
                free += o.second > n ? 1 : 0;
              }
            QgFairJob *job = qg_fair_pick (fair, now, &pick);
            RC_ASSERT ((job != nullptr) == (free > 0));
            if (job == nullptr)
              break;
            guint n = 0;
            for (auto &[j, e, w, k] : pulls)
              n += e == pick.entry && w == pick.workspace
                   && k == (int)pick.size_class;
            RC_ASSERT (
                (offers[{ pick.entry, pick.workspace, (int)pick.size_class }])
                > n);
            pulls.push_back (
                { job, pick.entry, pick.workspace, (int)pick.size_class });
          }
        }
    }
  for (auto &pull : pulls)
    qg_fair_pull_lost (fair, now, std::get<0> (pull));
  for (auto &job : jobs)
    qg_fair_end (fair, now, job.first, 1);
  RC_ASSERT (qg_invariants_broken () == broken);
  qg_fair_unref (fair);
}

TEST (Sizer, LearnsTheHintErrorOfEachWorkspace)
{
  QgSizer *sizer = qg_sizer_new (200);
  EXPECT_EQ (qg_sizer_class (sizer, "s", "x", 1000), QG_CLASS_LONG);
  for (int i = 0; i < 40; i++)
    {
      qg_sizer_learn (sizer, "s", "x", 1000, 100); /* hint 10 times too high */
      qg_sizer_learn (sizer, "s", "y", 100, 1000); /* hint 10 times too low */
      qg_sizer_learn (sizer, "s", "z", 0, 5000);
    }
  EXPECT_EQ (qg_sizer_class (sizer, "s", "x", 1000), QG_CLASS_SHORT);
  EXPECT_EQ (qg_sizer_class (sizer, "s", "x", 5000), QG_CLASS_LONG);
  EXPECT_EQ (qg_sizer_class (sizer, "s", "y", 100), QG_CLASS_LONG);
  EXPECT_EQ (qg_sizer_class (sizer, "s", "z", 0), QG_CLASS_LONG);
  EXPECT_EQ (qg_sizer_class (sizer, "other", "x", 100), QG_CLASS_SHORT);
  qg_sizer_free (sizer);
}
