#include "lib/intake.h"
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace
{

/* A loop on a slow processor: a request that is taken costs work when it
 * arrives and again when its target answers, a refusal costs little. Timers
 * wake a loop that has nothing else to do. */
struct Loop
{
  QgIntake intake = {};
  QgTime now = QG_SEC;
  QgTime take_cost = 700; /* us */
  QgTime refuse_cost = 60;
  bool limited = true;
  std::deque<QgTime> arrived;
  int within_share = 0; /* one request in this many; 0: none */
  int n_seen = 0, small_sent = 0, small_in_time = 0;
  std::deque<QgTime> answers; /* when the target's answer arrives */
  int taken = 0, refused = 0, in_time = 0;

  /* One pass over what has arrived by now. */
  void
  pass ()
  {
    std::deque<QgTime> ready;
    size_t n_answers = 0;
    while (!arrived.empty () && arrived.front () <= now)
      {
        ready.push_back (arrived.front ());
        arrived.pop_front ();
      }
    while (n_answers < answers.size () && answers[n_answers] <= now)
      n_answers++;
    if (ready.empty () && n_answers == 0)
      {
        now += 200;
        qg_intake_begin (&intake, now); /* a timer */
        qg_intake_end (&intake, now);
        return;
      }
    qg_intake_begin (&intake, now);
    for (; n_answers > 0; n_answers--)
      {
        now += 300;
        answers.pop_front ();
      }
    for (QgTime at : ready)
      {
        bool small = within_share > 0 && ++n_seen % within_share == 0;

        small_sent += small;
        if (limited && !qg_intake_take (&intake, small, now))
          {
            refused++;
            now += refuse_cost;
            continue;
          }
        taken++;
        now += take_cost;
        in_time += now - at <= 100 * QG_MSEC;
        small_in_time += small && now - at <= 100 * QG_MSEC;
        answers.push_back (now + 20 * QG_MSEC);
      }
    qg_intake_end (&intake, now);
  }
};

/* Ten seconds of requests, @mean_gap apart on average. */
void
play (Loop &loop, QgTime mean_gap)
{
  std::mt19937 rng (1);

  for (QgTime at = QG_SEC; at < 11 * QG_SEC;
       at += rng () % static_cast<unsigned> (2 * mean_gap))
    loop.arrived.push_back (at);
  while (loop.now < 11 * QG_SEC)
    loop.pass ();
}

/* A loop on 0.09 of a core whose callers are all of one workspace, within its
 * share. The costs are those of the busiest relay of a fleet of 105: besides
 * its passes, a third of its processor goes to the reports of the others. New
 * connections wait in a backlog, oldest first, and are given up after a second;
 * what does not fit in is lost. */
struct BusiestRelay
{
  static constexpr QgTime take_cost = 1500, serve_cost = 2000,
                          refuse_cost = 123;
  static constexpr double others = 0.33;
  static constexpr size_t backlog_max = 1024, accepts_max = 256;
  QgIntake intake = {};
  QgTime now = QG_SEC;
  std::deque<QgTime> backlog, answers;
  int taken = 0, refused = 0, late = 0;
  QgTime refusing = 0;

  void
  arrive (QgTime until, QgTime &next, QgTime gap)
  {
    for (; next <= until; next += gap)
      if (backlog.size () < backlog_max)
        backlog.push_back (next);
  }

  void
  pass ()
  {
    QgTime began = now;
    qg_intake_begin (&intake, now);
    while (!answers.empty () && answers.front () <= began)
      {
        now += serve_cost;
        answers.pop_front ();
      }
    for (size_t i = 0;
         i < accepts_max && !backlog.empty () && qg_intake_may_refuse (&intake);
         i++)
      {
        QgTime at = backlog.front ();
        backlog.pop_front ();
        if (!qg_intake_look (&intake, now)
            && !qg_intake_accept (&intake, TRUE, now))
          {
            now += refuse_cost;
            refusing += refuse_cost;
            refused++;
            qg_intake_refused (&intake, now);
            continue;
          }
        qg_intake_take (&intake, TRUE, now);
        if (now - at > QG_SEC)
          {
            now += refuse_cost; /* the caller has left */
            late++;
            continue;
          }
        now += take_cost;
        taken++;
        answers.push_back (now + 60 * QG_MSEC);
      }
    now += 100;
    qg_intake_end (&intake, now);
    now += (QgTime)((double)(now - began) * others / (1 - others));
  }
};

} // namespace

/* Load: 3,400 requests a second of a workspace within its share, all at one
 * relay that can serve 180; refusing them all would take two fifths of its
 * processor. At least half of what it could serve must be taken. */
TEST (Intake, RefusalsDoNotStarveRequestsWithinShares)
{
  BusiestRelay relay;
  QgTime next = relay.now;
  while (relay.now < 11 * QG_SEC)
    {
      relay.arrive (relay.now, next, 294);
      relay.pass ();
    }
  EXPECT_GT (relay.taken, 10 * 90);
  EXPECT_LT (relay.refusing, 10 * QG_SEC / 3);
  EXPECT_GT (relay.refused, 10 * 500);
  EXPECT_EQ (relay.late, 0);
}

/* Load: twice the requests that the processor can handle, for ten seconds. */
TEST (Intake, RequestsAreTakenInTimeAtTwiceTheCapacity)
{
  double in_time[2];
  for (int limited = 0; limited < 2; limited++)
    {
      Loop loop;
      loop.limited = limited;
      play (loop, 500);
      in_time[limited] = loop.in_time / 10.0;
      if (limited)
        {
          /* The processor is not left idle: 1 ms a request that is taken. */
          EXPECT_GT (loop.taken, 8000);
          EXPECT_EQ (loop.in_time, loop.taken);
          EXPECT_EQ (loop.intake.n_refused, (guint64)loop.refused);
        }
    }
  EXPECT_LT (in_time[0], 100);
  EXPECT_GT (in_time[1], 800);
}

/* Load: as above; one request in twenty is of a small workspace. */
TEST (Intake, RequestsWithinTheShareOfTheirWorkspaceAreTaken)
{
  Loop loop;
  loop.within_share = 20;
  play (loop, 500);
  EXPECT_GT (loop.refused, 5000);
  EXPECT_GT (loop.small_sent, 800);
  EXPECT_GT (loop.small_in_time, 0.98 * loop.small_sent);
}

/* Load: four times what the processor can handle, all of workspaces within
 * their share. The time that a pass spends on them is limited too. */
TEST (Intake, RequestsWithinSharesAreLimitedToo)
{
  Loop loop;
  loop.within_share = 1;
  play (loop, 250);
  EXPECT_GT (loop.refused, 10000);
  EXPECT_GT (loop.taken, 5000);
  EXPECT_EQ (loop.in_time, loop.taken);
}

/* Load: a processor that can handle the requests, which come in clumps. */
TEST (Intake, ClumpsAtAnIdleLoopAreTaken)
{
  Loop loop;
  for (QgTime at = QG_SEC; at < 5 * QG_SEC; at += 100 * QG_MSEC)
    for (int i = 0; i < 30; i++)
      loop.arrived.push_back (at);
  while (loop.now < 5 * QG_SEC)
    loop.pass ();
  EXPECT_EQ (loop.refused, 0);
}

/* Fault: the process is paused for two seconds, in the middle of a pass. */
TEST (Intake, WhatArrivedDuringAPauseIsRefused)
{
  Loop loop;
  qg_intake_begin (&loop.intake, loop.now);
  qg_intake_end (&loop.intake, loop.now);
  qg_intake_begin (&loop.intake, loop.now);
  EXPECT_TRUE (qg_intake_take (&loop.intake, FALSE, loop.now));
  loop.now += 2 * QG_SEC;
  EXPECT_FALSE (qg_intake_take (&loop.intake, FALSE, loop.now));
  qg_intake_end (&loop.intake, loop.now);
  qg_intake_begin (&loop.intake, loop.now);
  EXPECT_TRUE (qg_intake_take (&loop.intake, FALSE, loop.now));
}

/* Load: answers of targets alone take longer than a pass may; new requests must
 * not be refused altogether. */
TEST (Intake, EachPassTakesARequest)
{
  QgIntake intake = {};
  for (int i = 0; i < 100; i++)
    {
      QgTime now = (1 + i) * QG_SEC;
      qg_intake_begin (&intake, now);
      EXPECT_TRUE (qg_intake_take (&intake, FALSE, now + QG_SEC / 2));
      EXPECT_FALSE (qg_intake_take (&intake, FALSE, now + QG_SEC / 2));
      qg_intake_end (&intake, now + QG_SEC / 2);
    }
}

/* Load: as in the first test. Requests that are refused unparsed must count as
 * demand: if they did not, the share of their workspace would seem to be met,
 * and more of its requests would reach the targets than its share. */
TEST (Intake, RefusedRequestsCountAsDemand)
{
  Loop loop;
  std::mt19937 rng (1);
  for (QgTime at = QG_SEC; at < 6 * QG_SEC; at += rng () % 1000)
    loop.arrived.push_back (at);
  while (loop.now < 5 * QG_SEC)
    loop.pass ();
  EXPECT_NEAR (qg_intake_demand_factor (&loop.intake),
               (loop.taken + loop.refused / 2.0) / loop.taken, 0.2);
  EXPECT_GT (qg_intake_demand_factor (&loop.intake), 1.3);
  loop.arrived.clear ();
  while (loop.now < 15 * QG_SEC)
    loop.pass ();
  EXPECT_NEAR (qg_intake_demand_factor (&loop.intake), 1, 0.01);
}

TEST (Intake, ARefusedConnectionCountsOnce)
{
  QgIntake intake = {};
  qg_intake_begin (&intake, QG_SEC);
  EXPECT_TRUE (qg_intake_accept (&intake, FALSE, QG_SEC));
  EXPECT_TRUE (qg_intake_take (&intake, FALSE, QG_SEC));
  EXPECT_EQ (qg_intake_demand_factor (&intake), 1);
  EXPECT_FALSE (qg_intake_accept (&intake, FALSE, 2 * QG_SEC));
  EXPECT_EQ (qg_intake_demand_factor (&intake), 1.5);
}
