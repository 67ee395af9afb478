#include "lib/resend.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{

const QgResendLimits limits = { 0.2, 10, 10 * QG_SEC };

struct Budget
{
  QgResendBudget *of = qg_resend_budget_new ();
  ~Budget () { qg_resend_budget_free (of); }
};

QgResendCase
default_case ()
{
  QgResendCase request = {};
  request.repeatable = TRUE;
  request.reached = TRUE;
  request.sends = 1;
  request.max_sends = 3;
  request.tried = 1;
  request.max_tried = 8;
  request.deadline = 5 * QG_SEC;
  return request;
}

using Times = std::vector<QgTime>;

/** Number of the sorted @a times in [from, from + 10 s). */
double
count (const Times &times, QgTime from)
{
  auto before = [&times] (QgTime at) {
    return std::lower_bound (times.begin (), times.end (), at);
  };
  return double (before (from + limits.window) - before (from));
}

/** By how many resends the rule is broken in the worst window: each window in
 * which a count differs from that of the window 1 us earlier. */
double
most_over (Times requests, Times arrivals)
{
  double most = -1e9;
  std::sort (requests.begin (), requests.end ());
  std::sort (arrivals.begin (), arrivals.end ());
  auto check = [&] (QgTime from) {
    double allowed = 0;
    for (QgTime back : { QgTime (0), limits.window / 2, limits.window })
      allowed = std::max (allowed, count (requests, from - back));
    most = std::max (most, count (arrivals, from) - limits.ratio * allowed
                               - limits.extra);
  };
  for (const Times &times : { requests, arrivals })
    for (QgTime at : times)
      for (int halves = -2; halves <= 2; halves++)
        for (QgTime after : { 0, 1 })
          check (at + halves * limits.window / 2 + after);
  return most;
}

/** Several relays with the same callers. */
class Fleet
{
public:
  Times requests, arrivals;           /**< of all relays */
  QgTime delay = QG_RESEND_DELAY_MAX; /**< longest one of a resend */
  bool random_delay = true;           /**< or always the longest */

  Fleet (unsigned n, unsigned seed) : relays (n), rng (seed) {}

  double
  random ()
  {
    return std::uniform_real_distribution<> () (rng);
  }

  size_t
  size () const
  {
    return relays.size ();
  }

  /** A request reaches @a relay; it is sent again @a resends times if the
   * budget allows it. */
  void
  request (size_t relay, QgTime now, int resends)
  {
    QgResendLimits part = limits;
    part.extra
        = now < relays[relay].settled ? 0 : limits.extra / double (size ());
    requests.push_back (now);
    qg_resend_budget_add_request (relays[relay].budget.of, limits.window, now);
    for (int i = 0; i < resends; i++)
      {
        QgResendCase request = default_case ();
        request.now = now;
        request.deadline = now + QG_SEC;
        if (qg_resend_decide (&request, relays[relay].budget.of, &part)
            == QG_RESEND_ALLOWED)
          arrivals.push_back (
              now
              + (random_delay ? QgTime (random () * double (delay)) : delay));
      }
  }

  /** @a relay ends and starts again; lib/sharers.h says what it may use. */
  void
  restart (size_t relay, QgTime now)
  {
    qg_resend_budget_free (relays[relay].budget.of);
    relays[relay].budget.of = qg_resend_budget_new ();
    relays[relay].settled = now + limits.window + 3 * QG_SEC;
  }

private:
  struct Relay
  {
    Budget budget;
    QgTime settled = 0;
  };
  std::vector<Relay> relays;
  std::mt19937 rng;
};

} // namespace

TEST (Resend, ResendsWhatMayHaveRunOnlyIfRepeatable)
{
  for (int ran = 0; ran < 2; ran++)
    for (int repeatable = 0; repeatable < 2; repeatable++)
      {
        Budget budget;
        QgResendCase request = default_case ();
        request.may_have_run = ran;
        request.repeatable = repeatable;
        EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
                   ran && !repeatable ? QG_RESEND_MAY_HAVE_RUN
                                      : QG_RESEND_ALLOWED);
      }
}

TEST (Resend, StopsAtTheDeadlineAndTheTargetLimit)
{
  Budget budget;
  QgResendCase request = default_case ();
  request.now = request.deadline;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_DEADLINE_PASSED);
  request = default_case ();
  request.may_have_run = TRUE;
  request.sends = 3;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_TARGET_LIMIT);
  request.may_have_run = FALSE;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_ALLOWED);
  request.tried = 8;
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_TARGET_LIMIT);
}

/* Fault: all targets fail all requests for a minute. Resends must not exceed
 * the budget in any window. */
TEST (Resend, StaysWithinTheBudgetOfEachWindow)
{
  Budget budget;
  const int requests_per_s = 100;
  int resends_in[60] = {};
  for (int i = 0; i < 60 * requests_per_s; i++)
    {
      QgResendCase request = default_case ();
      request.now = i * (QG_SEC / requests_per_s);
      request.deadline = request.now + QG_SEC;
      qg_resend_budget_add_request (budget.of, limits.window, request.now);
      while (qg_resend_decide (&request, budget.of, &limits)
             == QG_RESEND_ALLOWED)
        resends_in[i / requests_per_s]++;
    }
  for (int from = 0; from + 10 <= 60; from++)
    {
      int sum = 0;
      for (int s = from; s < from + 10; s++)
        sum += resends_in[s];
      EXPECT_LE (sum, 0.2 * 10 * requests_per_s + 10);
    }
}

/* Fault: half of the addresses refuse connections. A refused connection adds no
 * load to a target, so the resend that follows does not use the budget. */
TEST (Resend, AnUnreachedTargetDoesNotUseTheBudget)
{
  Budget budget;
  QgResendCase request = default_case ();
  request.reached = FALSE;
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
               QG_RESEND_ALLOWED);
  request.reached = TRUE;
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
               QG_RESEND_ALLOWED);
  EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
             QG_RESEND_BUDGET_EXHAUSTED);
}

/* Fault: callers pause and go on for a moment, in which all targets fail. What
 * was earned before the pause is not spent after it, in a window with fewer
 * requests. */
TEST (Resend, DoesNotSpendAfterAPauseWhatWasEarnedBeforeIt)
{
  Fleet fleet (1, 1);
  for (QgTime now = 20 * QG_SEC; now < 30 * QG_SEC; now += 10 * QG_MSEC)
    if (now < 22.5 * QG_SEC)
      fleet.request (0, now, 0);
    else if (now >= 27.5 * QG_SEC)
      fleet.request (0, now, 3);
  EXPECT_GT (fleet.arrivals.size (), 10u);
  EXPECT_LE (most_over (fleet.requests, fleet.arrivals), 0);
}

/* Fault: resends wait for a target, and then no longer, so that those of more
 * than a window arrive within one. */
TEST (Resend, LeavesRoomForResendsThatArriveLate)
{
  for (int calm_s = 0; calm_s < 10; calm_s++)
    {
      Fleet fleet (2, 1);
      fleet.random_delay = false;
      for (int i = 0; i < 40 * 200; i++)
        {
          QgTime now = i * (QG_SEC / 200);
          if (now >= (20 + calm_s) * QG_SEC)
            fleet.delay = 0;
          fleet.request (i % 2, now, 1);
        }
      EXPECT_LE (most_over (fleet.requests, fleet.arrivals), 0) << calm_s;
    }
}

/* Faults: traffic that pauses, steps and moves between relays, targets that
 * fail for a while, relays that end and return; the rule holds in each window.
 */
TEST (Resend, KeepsTheRuleOfTheFleetInEachWindow)
{
  for (unsigned seed = 0; seed < 60; seed++)
    {
      Fleet fleet (1 + seed % 4, seed);
      QgTime now = QgTime (fleet.random () * 100 * QG_SEC);
      QgTime end = now + 60 * QG_SEC;
      std::vector<double> weights (fleet.size ());
      while (now < end)
        {
          QgTime until = now + QgTime (fleet.random () * 6 * QG_SEC);
          double rate = fleet.random () < 0.4 ? 0 : 100 * fleet.random ();
          int resends = fleet.random () < 0.5 ? 0 : 3;
          for (double &weight : weights)
            weight = fleet.random () < 0.5 ? 0 : fleet.random ();
          if (fleet.random () < 0.2)
            fleet.restart (0, now);
          for (; now < until; now += 10 * QG_MSEC)
            for (size_t i = 0; i < fleet.size (); i++)
              if (fleet.random () < weights[i] * rate / 100)
                fleet.request (i, now, resends);
        }
      EXPECT_LE (most_over (fleet.requests, fleet.arrivals), 0) << seed;
    }
}

/* Fault: a budget that keeps the rule by refusing what the rule allows. */
TEST (Resend, UsesTheRatioInSteadyTraffic)
{
  Fleet steady (4, 1), outage (4, 1), start (4, 1);
  const QgTime began = 100 * QG_SEC;
  const int per_s = 400;
  for (Fleet *fleet : { &steady, &outage, &start })
    for (size_t relay = 0; relay < fleet->size (); relay++)
      fleet->restart (relay, began + 60 * QG_SEC); /* none of extra */
  for (int i = 0; i < 60 * per_s; i++)
    {
      QgTime now = began + i * (QG_SEC / per_s);
      size_t relay = i % 4;
      int second = i / per_s;
      steady.request (relay, now, 1);
      outage.request (relay, now, second % 20 == 15 ? 3 : 0);
      if (second < 10)
        start.request (relay, now, i % 40 < 4);
    }
  const double per_window = limits.ratio * 10 * per_s;
  EXPECT_GE (steady.arrivals.size (), 0.8 * 6 * per_window);
  EXPECT_GE (outage.arrivals.size (), 0.45 * 3 * per_window);
  EXPECT_GE (start.arrivals.size (), 0.45 * per_window);
}

/* Fault: the window is set anew while the budget is used up. */
TEST (Resend, AnotherWindowDoesNotRestoreTheBudget)
{
  for (QgTime window : { QgTime (0), QG_SEC, 3 * QG_SEC, 60 * QG_SEC })
    {
      Budget budget;
      QgResendCase request = default_case ();
      QgResendLimits other = { 0.2, 10, window };
      for (int i = 0; i < 10; i++)
        EXPECT_EQ (qg_resend_decide (&request, budget.of, &limits),
                   QG_RESEND_ALLOWED);
      EXPECT_EQ (qg_resend_decide (&request, budget.of, &other),
                 QG_RESEND_BUDGET_EXHAUSTED);
    }
}
