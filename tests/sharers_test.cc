#include "lib/sharers.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

const QgTime window = 10 * QG_SEC;
const QgTime contact = QG_SHARERS_CONTACT;

// A list of the processes 1 to n - 1 and of @names.
void
set (QgSharers *sharers, guint n, QgTime now,
     const std::vector<guint> &names = {})
{
  std::vector<std::string> texts;
  std::vector<const char *> list;
  for (guint i = 1; i < n; i++)
    texts.push_back ("p" + std::to_string (i));
  for (guint name : names)
    texts.push_back ("p" + std::to_string (name));
  for (auto &text : texts)
    list.push_back (text.c_str ());
  qg_sharers_set (sharers, list.data (), list.size (), now);
}

struct Sharers
{
  QgSharers *of = qg_sharers_new (window);
  ~Sharers () { qg_sharers_free (of); }

  // The leader answers all questions from one time to another.
  void
  answer (QgTime from, QgTime to)
  {
    for (QgTime now = from; now <= to; now += QG_SEC)
      qg_sharers_answered (of, now);
  }
};

}

TEST (Sharers, AreManyWhileTheirNumberIsNotKnown)
{
  Sharers sharers;
  EXPECT_EQ (qg_sharers_count (sharers.of, 0), QG_SHARERS_UNKNOWN);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, 2 * window));
  sharers.answer (0, 2 * window);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, 2 * window));
  set (sharers.of, 3, 2 * window);
  EXPECT_EQ (qg_sharers_count (sharers.of, 2 * window), 3u);
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, 2 * window));
}

// A relay that is killed and starts again must not use its share once more.
TEST (Sharers, AProcessThatHasStartedIsNotSettledForAWindow)
{
  Sharers sharers;
  set (sharers.of, 3, 1);
  sharers.answer (0, window + contact);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, window));
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, window + contact - 1));
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, window + contact));
}

TEST (Sharers, CountTheProcessesListedWithinTheWindow)
{
  Sharers sharers;
  std::mt19937 random (45);
  std::map<guint, QgTime> listed; // name to the last time on the list
  std::vector<guint> list;
  for (QgTime now = 0; now < 200 * QG_SEC; now += QG_SEC / 2)
    {
      for (guint name : list)
        listed[name] = now;
      if (random () % 3 == 0)
        {
          list.clear ();
          for (guint name = 1; name < 9; name++)
            if (random () % 3 == 0)
              list.push_back (name);
          set (sharers.of, 0, now, list);
        }
      for (guint name : list)
        listed[name] = now;
      guint n = 1;
      for (auto &name : listed)
        n += name.second + window + contact >= now ? 1 : 0;
      if (now >= 10 * QG_SEC)
        {
          EXPECT_EQ (qg_sharers_count (sharers.of, now), n);
        }
    }
}

// A relay that the leader no longer lists must not go on with its share.
TEST (Sharers, AProcessWithoutAnAnswerIsNotSettled)
{
  Sharers sharers;
  QgTime last = 3 * window;
  set (sharers.of, 3, 0);
  sharers.answer (0, last);
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, last + contact - 1));
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, last + contact));
  // The others still count it after a short absence.
  QgTime back = last + window - 1;
  sharers.answer (back, back + contact);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, back + contact - 1));
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, back + contact));
  // They use its part after a longer one.
  back += contact + window;
  sharers.answer (back, back + window + contact - 1);
  EXPECT_FALSE (qg_sharers_is_settled (sharers.of, back));
  EXPECT_FALSE (
      qg_sharers_is_settled (sharers.of, back + window + contact - 1));
  EXPECT_TRUE (qg_sharers_is_settled (sharers.of, back + window + contact));
}

TEST (Sharers, AnswersMayBeFartherApartThanTheWindow)
{
  QgSharers *sharers = qg_sharers_new (QG_SEC);
  set (sharers, 3, 0);
  for (QgTime now = 0; now < 20 * QG_SEC; now += 2 * QG_SEC)
    {
      qg_sharers_answered (sharers, now);
      EXPECT_EQ (qg_sharers_is_settled (sharers, now), now >= QG_SEC + contact);
    }
  qg_sharers_free (sharers);
}

TEST (Sharers, AreTwiceAsManyForAProcessThatTheOthersMayNotCount)
{
  Sharers sharers;
  set (sharers.of, 3, 0);
  sharers.answer (0, contact);
  EXPECT_EQ (qg_sharers_count_loose (sharers.of, contact - 1), 6u);
  EXPECT_EQ (qg_sharers_count_loose (sharers.of, contact), 3u);
  EXPECT_EQ (qg_sharers_count_loose (sharers.of, 2 * contact), 6u);
}

// Relays that end, return and are cut off, with a leader that drops those that
// it has not heard, use no more than the limit in any window.
TEST (Sharers, PartsOfAWindowNeverExceedTheLimit)
{
  const QgTime step = QG_SEC / 2;
  const QgTime list_delay = 2 * QG_SEC; // until the others see a change
  const QgTime unlisted = 2 * QG_SEC;   // from the loss to the removal
  for (guint seed = 1; seed <= 200; seed++)
    {
      std::mt19937 random (seed);
      struct Relay
      {
        QgSharers *sharers = nullptr;
        QgTime heard = 0, until = 0; // by the leader; cut off until then
        bool cut = false;
        std::deque<std::pair<QgTime, std::vector<guint> > >
            lists; // on their way
        std::deque<std::pair<QgTime, double> > used;
      };
      std::vector<Relay> relays (5);
      std::deque<std::pair<QgTime, double> > used;
      double most = 0;
      for (auto &relay : relays)
        relay.sharers = qg_sharers_new (window);
      for (QgTime now = 0; now < 300 * QG_SEC; now += step)
        {
          std::vector<guint> listed;
          for (auto &relay : relays)
            {
              if (now >= relay.until)
                {
                  relay.cut = random () % 4 == 0;
                  relay.until = now + (1 + random () % 40) * QG_SEC;
                  if (random () % 3 == 0) // ends and starts again
                    {
                      qg_sharers_free (relay.sharers);
                      relay.sharers = qg_sharers_new (window);
                      relay.lists.clear ();
                      relay.used.clear ();
                    }
                }
              if (!relay.cut)
                relay.heard = now;
              if (now - relay.heard <= unlisted)
                listed.push_back (&relay - &relays[0]);
            }
          for (auto &relay : relays)
            {
              if (!relay.cut)
                {
                  qg_sharers_answered (relay.sharers, now);
                  relay.lists.emplace_back (now + random () % list_delay,
                                            listed);
                }
              while (!relay.lists.empty () && relay.lists.front ().first <= now)
                {
                  std::vector<guint> others = relay.lists.front ().second;
                  others.erase (std::remove (others.begin (), others.end (),
                                             (guint)(&relay - &relays[0])),
                                others.end ());
                  set (relay.sharers, 0, now, others);
                  relay.lists.pop_front ();
                }
              // Uses what is left of its part.
              double left = qg_sharers_is_settled (relay.sharers, now)
                                ? 1.0 / qg_sharers_count (relay.sharers, now)
                                : 0;
              for (auto &use : relay.used)
                left -= use.first + window > now ? use.second : 0;
              if (left > 0)
                {
                  relay.used.emplace_back (now, left);
                  used.emplace_back (now, left);
                }
            }
          double sum = 0;
          for (auto &use : used)
            sum += use.first + window > now ? use.second : 0;
          most = std::max (most, sum);
        }
      EXPECT_LE (most, 1 + 1e-9) << "seed " << seed;
      EXPECT_GT (most, 0.5);
      for (auto &relay : relays)
        qg_sharers_free (relay.sharers);
    }
}
