#include "lib/origin.h"
#include <gtest/gtest.h>
#include <utility>
#include <vector>

TEST (Origins, AStreamThatIsNotedWithTwoVersionsIsOfNeither)
{
  QgOrigins *origins = qg_origins_new ();
  guint64 a = qg_origin_attempt ("a", 1), b = qg_origin_attempt ("b", 1);
  EXPECT_NE (a, b);
  EXPECT_EQ (qg_origins_find (origins, a, 0), 0u);
  qg_origins_add (origins, a, 7, 0);
  qg_origins_add (origins, a, 7, QG_SEC);
  EXPECT_EQ (qg_origins_find (origins, a, QG_SEC), 7u);
  EXPECT_EQ (qg_origins_find (origins, b, QG_SEC), 0u);
  for (guint64 version : { 8, 7, 7 })
    {
      qg_origins_add (origins, a, version, 2 * QG_SEC);
      EXPECT_EQ (qg_origins_find (origins, a, 2 * QG_SEC), QG_ORIGIN_SEVERAL);
    }
  qg_origins_free (origins);
}

TEST (Origins, StreamsAreForgottenAfterSomeTimeAndBeyondALimit)
{
  QgOrigins *origins = qg_origins_new ();
  for (guint64 i = 1; i <= QG_ORIGINS_MAX + 1; i++)
    qg_origins_add (origins, i, 7, QG_SEC);
  EXPECT_EQ (qg_origins_count (origins), (guint)QG_ORIGINS_MAX);
  EXPECT_EQ (qg_origins_find (origins, 1, QG_SEC), 0u);
  EXPECT_EQ (qg_origins_find (origins, 2, QG_SEC + QG_ORIGIN_HOLD), 7u);
  EXPECT_EQ (qg_origins_find (origins, 2, QG_SEC + QG_ORIGIN_HOLD + 1), 0u);
  EXPECT_EQ (qg_origins_count (origins), 0u);
  qg_origins_free (origins);
}

TEST (Origins, OwnStreamsAreToldTheNewestFirstUntilTheirTimeLimitEnds)
{
  QgOrigins *origins = qg_origins_new ();
  std::vector<std::pair<guint64, guint64> > told;
  auto tell = [&] (QgTime now) {
    told.clear ();
    qg_origins_each_own (
        origins, now,
        [] (gpointer user, guint64 attempt, guint64 version) {
          static_cast<decltype (told) *> (user)->push_back (
              { attempt, version });
        },
        &told);
    return told;
  };
  using Streams = decltype (told);

  qg_origins_began (origins, 1, 7, 3 * QG_SEC, QG_SEC);
  qg_origins_add (origins, 2, 8, QG_SEC);
  qg_origins_began (origins, 3, 9, 5 * QG_SEC, 2 * QG_SEC);
  EXPECT_EQ (tell (2 * QG_SEC), (Streams{ { 3, 9 }, { 1, 7 } }));
  EXPECT_EQ (tell (3 * QG_SEC), (Streams{ { 3, 9 } }));
  EXPECT_EQ (tell (5 * QG_SEC), Streams ());
  EXPECT_EQ (qg_origins_find (origins, 1, 5 * QG_SEC), 7u);
  qg_origins_free (origins);
}

TEST (Origins, ARequestThatBeginsAgainIsHeldFromThenOn)
{
  QgOrigins *origins = qg_origins_new ();
  const QgTime later = QG_ORIGIN_HOLD - QG_SEC, last = QG_ORIGIN_HOLD + 1;
  std::vector<guint64> told;

  qg_origins_began (origins, 1, 7, QG_SEC, 0);
  qg_origins_add (origins, 2, 8, 0);
  qg_origins_began (origins, 1, 7, last + 1, later);
  qg_origins_began (origins, 2, 8, last + 1, later);
  EXPECT_EQ (qg_origins_find (origins, 1, last), 7u);
  qg_origins_each_own (
      origins, last,
      [] (gpointer user, guint64 stream, guint64) {
        static_cast<decltype (told) *> (user)->push_back (stream);
      },
      &told);
  EXPECT_EQ (told, (std::vector<guint64>{ 2, 1 }));
  qg_origins_add (origins, 1, 9, last);
  EXPECT_EQ (qg_origins_find (origins, 1, last), QG_ORIGIN_SEVERAL);
  EXPECT_EQ (qg_origins_find (origins, 1, last + later), QG_ORIGIN_SEVERAL);
  EXPECT_EQ (qg_origins_find (origins, 1, 2 * last + later), 0u);
  EXPECT_EQ (qg_origins_count (origins), 0u);
  qg_origins_free (origins);
}
