#include "dispatch_sim.h"
#include "lib/notice.h"
#include <gtest/gtest.h>
#include <random>

using sim::Arrival;
using sim::Request;
using sim::Simulation;
using sim::spread;

namespace
{

const QgNotice silent = {};
const QgNoticeQuota whole = { 1, 1 };

QgNotice
limit_of (double limit)
{
  QgNotice notice = {};
  notice.has_limit = TRUE;
  notice.limit = limit;
  return notice;
}

QgNotice
pause_of (QgTime pause)
{
  QgNotice notice = {};
  notice.pause = pause;
  return notice;
}

/* The most requests in 4 s that a target with a limit allows. */
double
allowed (double limit)
{
  return 1.5 * 4 * limit + 5;
}

QgNoticeBar
check (QgNoticeState *state, QgTime now, guint inflight = 0)
{
  QgTime until;
  return qg_notice_check (state, &whole, inflight, now, &until);
}

} // namespace

TEST (Notice, ReadsNumbersOnlyInDecimal)
{
  double number;
  for (const char *text : { "0", "5", "7.25", "00012", "100000000000000" })
    EXPECT_TRUE (qg_notice_read_number (text, strlen (text), &number)) << text;
  for (const char *text :
       { "", "-1", "+1", "nan", "inf", "0x10", "1e9", "1 2", "5,7", "1.2.3",
         ".", "5.", ".5", "five", "99999999999999999999999999999999999" })
    EXPECT_FALSE (qg_notice_read_number (text, strlen (text), &number)) << text;
  ASSERT_TRUE (qg_notice_read_number ("7.25", 4, &number));
  EXPECT_EQ (number, 7.25);
}

TEST (Notice, AnAnswerEndsALimitOnlyIfItsRequestWasSentAfterTheLimit)
{
  QgNoticeState state = {};
  QgNotice limit = limit_of (5);
  EXPECT_EQ (qg_notice_hear (&state, &limit, 90, 100), QG_NOTICE_LIMIT_CHANGED);
  EXPECT_EQ (qg_notice_hear (&state, &silent, 95, 120), 0u);
  EXPECT_TRUE (state.limited);
  EXPECT_EQ (qg_notice_hear (&state, &silent, 101, 130), QG_NOTICE_LIMIT_ENDED);
  EXPECT_FALSE (state.limited);
}

TEST (Notice, AnUnusableLimitChangesNothing)
{
  QgNoticeState state = {};
  QgNotice limit = limit_of (5);
  QgNotice unusable = {};
  unusable.limit_unusable = TRUE;
  EXPECT_EQ (qg_notice_hear (&state, &unusable, 1, 2), 0u);
  EXPECT_FALSE (state.limited);
  qg_notice_hear (&state, &limit, 3, 4);
  EXPECT_EQ (qg_notice_hear (&state, &unusable, 5, 6), 0u);
  EXPECT_TRUE (state.limited);
}

TEST (Notice, TheLatestStatementCounts)
{
  QgNoticeState state = {};
  QgNotice limit = limit_of (5);
  qg_notice_hear (&state, &limit, 90, 100);
  EXPECT_EQ (qg_notice_learn (&state, 9, 80, 110), 0u);
  EXPECT_EQ (state.limit, 5);
  EXPECT_EQ (qg_notice_learn (&state, 9, 105, 110), QG_NOTICE_LIMIT_CHANGED);
  EXPECT_EQ (state.limit, 9);
  EXPECT_FALSE (state.heard);
  EXPECT_EQ (qg_notice_learn (&state, -1, 104, 120), 0u);
  EXPECT_EQ (qg_notice_learn (&state, -1, 106, 120), QG_NOTICE_LIMIT_ENDED);
}

/* Others may be gone before they tell that the limit ended. */
TEST (Notice, ALimitThatOnlyOthersHeardExpires)
{
  QgNoticeState state = {};
  qg_notice_learn (&state, 0.5, 100, 100);
  EXPECT_EQ (check (&state, QG_SEC), QG_NOTICE_LIMIT);
  check (&state, 101 + QG_NOTICE_LEARNED_EXPIRY);
  EXPECT_FALSE (state.limited);
}

/* A target that takes nothing gets requests that may end its limit. */
TEST (Notice, ALimitOfZeroStillLetsRequestsThrough)
{
  QgNoticeState state = {};
  QgNotice limit = limit_of (0);
  int sent = 0;
  for (QgTime now = 0; now < 40 * QG_SEC; now += 10 * QG_MSEC)
    {
      qg_notice_hear (&state, &limit, now, now);
      if (check (&state, now) != QG_NOTICE_CLEAR)
        continue;
      qg_notice_sent (&state);
      sent++;
    }
  EXPECT_GE (sent, 9);
  EXPECT_LE (sent, 11);
}

TEST (Notice, APauseIsBoundedAndEndsInARamp)
{
  QgNoticeState state = {};
  QgNotice day = pause_of (24 * 3600 * QG_SEC);
  QgNotice second = pause_of (QG_SEC);
  QgTime until;
  EXPECT_EQ (qg_notice_hear (&state, &second, 0, 0), QG_NOTICE_PAUSE_BEGAN);
  EXPECT_EQ (check (&state, QG_SEC - 1), QG_NOTICE_PAUSE);
  EXPECT_EQ (check (&state, QG_SEC), QG_NOTICE_CLEAR);
  EXPECT_EQ (check (&state, QG_SEC, 1), QG_NOTICE_PAUSE);
  EXPECT_EQ (check (&state, QG_SEC + QG_NOTICE_RAMP_STEP, 1), QG_NOTICE_CLEAR);
  EXPECT_EQ (check (&state, QG_SEC + QG_NOTICE_RAMP_STEP, 2), QG_NOTICE_PAUSE);
  EXPECT_EQ (check (&state, 20 * QG_SEC, 1000000), QG_NOTICE_CLEAR);
  qg_notice_hear (&state, &day, 20 * QG_SEC, 20 * QG_SEC);
  EXPECT_EQ (qg_notice_check (&state, &whole, 0, 21 * QG_SEC, &until),
             QG_NOTICE_PAUSE);
  EXPECT_EQ (until, 20 * QG_SEC + QG_NOTICE_PAUSE_MAX);
}

TEST (Notice, ATargetThatLeavesStaysSo)
{
  QgNoticeState state = {};
  QgNotice leaving = {};
  leaving.leaving = TRUE;
  EXPECT_EQ (qg_notice_hear (&state, &leaving, 0, 0), QG_NOTICE_LEAVE_BEGAN);
  EXPECT_EQ (qg_notice_hear (&state, &silent, 1, 2), 0u);
  EXPECT_EQ (check (&state, 3600 * QG_SEC), QG_NOTICE_LEAVING);
}

/* Senders wait in different patterns, some idle for long and then all at once;
 * their parts add up to the limit. */
TEST (Notice, SendersTogetherKeepToTheLimit)
{
  for (unsigned seed = 1; seed <= 60; seed++)
    {
      std::mt19937 random (seed);
      double limit = 0.2 + (double)(random () % 4000) / 100;
      guint n = 1 + random () % qg_notice_senders (limit);
      std::vector<QgNoticeState> states (n);
      std::vector<double> weights;
      double total = 0;
      QgNotice notice = limit_of (limit);
      for (guint i = 0; i < n; i++)
        {
          weights.push_back (1 + random () % 100);
          total += weights[i];
          qg_notice_hear (&states[i], &notice, 0, 0);
        }
      std::vector<QgTime> sends;
      bool all_idle = false;
      for (QgTime now = 0; now < 40 * QG_SEC; now += 10 * QG_MSEC)
        {
          if (now % QG_SEC == 0)
            all_idle = random () % 4 == 0;
          for (guint i = 0; i < n; i++)
            {
              QgNoticeQuota quota
                  = { weights[i] / total,
                      std::max (1.0, (double)qg_notice_senders (limit) / n) };
              QgTime until;
              if (all_idle || random () % 3 == 0)
                continue;
              while (qg_notice_check (&states[i], &quota, 0, now, &until)
                     == QG_NOTICE_CLEAR)
                {
                  qg_notice_sent (&states[i]);
                  sends.push_back (now);
                }
            }
        }
      for (size_t a = 0, b = 0; b < sends.size (); b++)
        {
          while (sends[a] <= sends[b] - 4 * QG_SEC)
            a++;
          ASSERT_LE ((double)(b - a + 1),
                     allowed (std::max (limit, QG_NOTICE_LIMIT_MIN)))
              << "seed " << seed;
        }
    }
}

class Limit : public testing::TestWithParam<guint>
{
};

/* Load: three times what the targets can take, while two of four state a limit.
 * All entries together keep to the limits and use most of them, and the other
 * targets take the rest. */
TEST_P (Limit, TheFleetKeepsToTheLimitsOfItsTargets)
{
  guint n = GetParam ();
  Simulation simulation (n, 4);
  Arrival kind = {};
  kind.prompt = 2000;
  double read = 4 * sim::read_rate * 1000;
  double limits[] = { 6, 15 };
  for (int t = 0; t < 2; t++)
    simulation.plan (3 * QG_SEC, [&simulation, &limits, t] {
      simulation.targets["t" + std::to_string (t)].says = limit_of (limits[t]);
    });
  simulation.run (spread (kind, 3 * read / 2000, 0, 16 * QG_SEC, n, 100000),
                  18 * QG_SEC);
  for (int t = 0; t < 2; t++)
    {
      std::string id = "t" + std::to_string (t);
      size_t used = 0;
      EXPECT_LE ((double)simulation.most_in_4s (id, 4 * QG_SEC),
                 allowed (limits[t]));
      for (QgTime at : simulation.targets[id].sends)
        used += at > 6 * QG_SEC && at <= 16 * QG_SEC;
      EXPECT_GE ((double)used, 0.8 * limits[t] * 10) << id;
      EXPECT_LE ((double)used, 1.1 * limits[t] * 10 + 5) << id;
    }
  size_t others = 0;
  for (QgTime at : simulation.targets["t2"].sends)
    others += at > 6 * QG_SEC && at <= 16 * QG_SEC;
  EXPECT_GT ((double)others * 2000, 0.85 * read / 4 * 10);
}

INSTANTIATE_TEST_SUITE_P (Entries, Limit, testing::Values (1, 3, 7, 33, 60));

/* Fault: overloaded entries report late, so that the others drop their reports
 * for some time. Nobody may take the missing demand for its own part. */
TEST (Notice, LateReportsOfDemandDoNotRaiseTheRate)
{
  for (double limit : { 1.4, 5.0 })
    {
      Simulation simulation (33, 4);
      simulation.report_expired = [&simulation] (size_t entry) {
        return (simulation.now / QG_SEC + (QgTime)entry) % 2 == 0;
      };
      for (auto &target : simulation.targets)
        target.second.says = limit_of (limit);
      Arrival kind = {};
      kind.prompt = 500;
      simulation.run (spread (kind, 300, 0, 15 * QG_SEC, 33, 100000),
                      17 * QG_SEC);
      for (auto &target : simulation.targets)
        EXPECT_LE ((double)simulation.most_in_4s (target.first, QG_SEC),
                   allowed (limit));
    }
}

/* Targets begin, change and end limits, leave and start again at random. None
 * gets more than it said, those that left get nothing more, and no request
 * waits past its aim. */
TEST (Notice, RandomStatementsAndIncarnations)
{
  for (unsigned seed = 1; seed <= 8; seed++)
    {
      struct Span
      {
        std::string id;
        QgTime from;
        double limit; /* negative: the target leaves */
      };
      std::mt19937 random (seed);
      guint n = 1 + random () % 20;
      Simulation simulation (n, 6);
      std::vector<Span> spans;
      std::map<std::string, std::vector<QgTime> > changes;
      Arrival kind = {};
      kind.prompt = 300;
      kind.aim = 400 * QG_MSEC;
      for (QgTime when = QG_SEC; when < 40 * QG_SEC; when += 700 * QG_MSEC)
        {
          std::string id = "t" + std::to_string (random () % 6);
          guint what = random () % 4;
          double limit = 0.3 + random () % 30;
          if (!changes[id].empty () && when < changes[id].back () + 6 * QG_SEC)
            continue;
          changes[id].push_back (when);
          if (what < 2)
            spans.push_back ({ id, when, limit });
          else if (what == 2)
            spans.push_back ({ id, when, -1 });
          simulation.plan (when, [&simulation, id, what, limit] {
            simulation.restart_target (id);
            if (what < 2)
              simulation.targets[id].says = limit_of (limit);
            simulation.targets[id].says.leaving = what == 2;
          });
        }
      simulation.run (spread (kind, 250, 0, 45 * QG_SEC, n, 100000),
                      47 * QG_SEC);
      for (const Span &span : spans)
        {
          const std::vector<QgTime> &sends = simulation.targets[span.id].sends;
          /* By then, all entries that used the target have heard it. */
          QgTime from = span.from + QG_SEC;
          auto changed = std::upper_bound (changes[span.id].begin (),
                                           changes[span.id].end (), span.from);
          QgTime until
              = changed != changes[span.id].end () ? *changed : 45 * QG_SEC;
          for (QgTime start = from; start + 4 * QG_SEC <= until;
               start += 100 * QG_MSEC)
            {
              double count = 0;
              for (QgTime at : sends)
                count += at >= start && at < start + 4 * QG_SEC;
              ASSERT_LE (count, span.limit < 0 ? n : allowed (span.limit))
                  << "seed " << seed << " " << span.id << " at " << start;
            }
        }
      for (const auto &r : simulation.requests)
        ASSERT_TRUE (r->refused < 0
                     || r->refused - r->arrival.at < r->arrival.aim);
    }
}

/* Load: every target of the service states a limit. What they cannot take is
 * refused at once, with a Retry-After, and the rest is on time. */
TEST (Notice, RefusesAtOnceWhatLimitedTargetsCannotTake)
{
  Simulation simulation (3, 4);
  for (auto &target : simulation.targets)
    target.second.says = limit_of (10);
  Arrival kind = {};
  kind.prompt = 500;
  simulation.run (spread (kind, 200, 0, 10 * QG_SEC, 3, 100000), 12 * QG_SEC);
  int served = 0, refused = 0, early = 0;
  for (const auto &r : simulation.requests)
    if (r->arrival.at > 2 * QG_SEC)
      {
        served += r->first >= 0;
        refused += r->refused >= 0;
        early += r->refused >= 0 && r->refused - r->arrival.at < 20 * QG_MSEC;
        EXPECT_TRUE (r->refused < 0 || r->retry_after > 0);
      }
  EXPECT_GE (served, 0.85 * 4 * 10 * 8);
  EXPECT_GE (early, 0.8 * refused);
}

/* Load: all targets leave or pause; nothing waits for them. */
TEST (Notice, RefusesAtOnceWhenAllTargetsPauseOrLeave)
{
  for (int leave = 0; leave < 2; leave++)
    {
      Simulation simulation (1, 3);
      Arrival kind = {};
      kind.prompt = 500;
      for (auto &target : simulation.targets)
        {
          target.second.says.leaving = leave;
          target.second.says.pause = leave ? 0 : 3 * QG_SEC;
        }
      simulation.run (spread (kind, 50, 0, 2 * QG_SEC, 1, 100000), 12 * QG_SEC);
      for (const auto &r : simulation.requests)
        if (r->arrival.at > 700 * QG_MSEC)
          {
            ASSERT_GE (r->refused, 0);
            EXPECT_LE (r->refused - r->arrival.at, 20 * QG_MSEC);
            EXPECT_GT (r->retry_after, leave ? 0 : QG_SEC / 2);
            EXPECT_EQ (qg_dispatch_bar (&r->job),
                       leave ? QG_NOTICE_LEAVING : QG_NOTICE_PAUSE);
          }
    }
}

/* An entry that knows only its own demand uses no more than an equal part. */
TEST (Notice, EntriesThatAreCutOffFromEachOtherKeepToTheLimit)
{
  Simulation simulation (6, 2);
  simulation.report_loads = false;
  for (QgDispatch *entry : simulation.entries)
    qg_dispatch_set_reached (entry, 1);
  simulation.targets["t0"].says = limit_of (6);
  Arrival kind = {};
  kind.prompt = 1000;
  simulation.run (spread (kind, 300, 0, 15 * QG_SEC, 6, 100000), 17 * QG_SEC);
  EXPECT_LE ((double)simulation.most_in_4s ("t0", QG_SEC), allowed (6));
}

/* A request that waited for a limit and was then sent is no longer kept from
 * its targets, so a later failure must not be explained by the limit. */
TEST (Notice, ARequestThatIsSentIsNotBarred)
{
  Simulation simulation (1, 1);
  simulation.targets["t0"].says = limit_of (5);
  Arrival kind = {};
  kind.prompt = 100;
  kind.aim = 2 * QG_SEC;
  simulation.run (spread (kind, 20, 0, 3 * QG_SEC, 1, 100000), 5 * QG_SEC);
  int waited = 0;
  for (const auto &r : simulation.requests)
    if (r->sent >= 0)
      {
        waited += r->sent - r->arrival.at > 100 * QG_MSEC;
        EXPECT_EQ (qg_dispatch_bar (&r->job), QG_NOTICE_CLEAR);
      }
  EXPECT_GT (waited, 0);
}
