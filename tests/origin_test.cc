#include "lib/origin.h"
#include <gtest/gtest.h>
#include <utility>
#include <vector>

namespace
{

guint64
version_of (QgOrigins *origins, guint64 attempt, QgTime now)
{
  return qg_origins_find (origins, attempt, now).version;
}

/* A stream that attempt @by began, and that targets state @weights of. */
QgMeshStream
stream (guint64 key, guint64 version, guint64 by = 0, gint64 weights = -1)
{
  return { key, version, by, weights };
}

void
add (QgOrigins *origins, const QgMeshStream &noted, QgTime now)
{
  qg_origins_add (origins, &noted, now);
}

void
began (QgOrigins *origins, const QgMeshStream &noted, QgTime until, QgTime now)
{
  qg_origins_began (origins, &noted, until, now);
}

} // namespace

TEST (Origins, AStreamThatIsNotedWithTwoVersionsIsOfNeither)
{
  QgOrigins *origins = qg_origins_new ();
  guint64 a = qg_origin_attempt ("a", 1), b = qg_origin_attempt ("b", 1);
  EXPECT_NE (a, b);
  EXPECT_EQ (version_of (origins, a, 0), 0u);
  add (origins, stream (a, 7), 0);
  add (origins, stream (a, 7), QG_SEC);
  EXPECT_EQ (version_of (origins, a, QG_SEC), 7u);
  EXPECT_EQ (version_of (origins, b, QG_SEC), 0u);
  for (guint64 version : { 8, 7, 7 })
    {
      add (origins, stream (a, version), 2 * QG_SEC);
      EXPECT_EQ (version_of (origins, a, 2 * QG_SEC), QG_ORIGIN_SEVERAL);
    }
  qg_origins_free (origins);
}

TEST (Origins, StreamsAreForgottenAfterSomeTimeAndBeyondALimit)
{
  QgOrigins *origins = qg_origins_new ();
  for (guint64 i = 1; i <= QG_ORIGINS_MAX + 1; i++)
    add (origins, stream (i, 7), QG_SEC);
  EXPECT_EQ (qg_origins_count (origins), (guint)QG_ORIGINS_MAX);
  EXPECT_EQ (version_of (origins, 1, QG_SEC), 0u);
  EXPECT_EQ (version_of (origins, 2, QG_SEC + QG_ORIGIN_HOLD), 7u);
  EXPECT_EQ (version_of (origins, 2, QG_SEC + QG_ORIGIN_HOLD + 1), 0u);
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
        [] (gpointer user, const QgMeshStream *own) {
          static_cast<decltype (told) *> (user)->push_back (
              { own->attempt, own->version });
        },
        &told);
    return told;
  };
  using Streams = decltype (told);

  QgMeshStream first = stream (1, 7), last = stream (3, 9);
  qg_origins_began (origins, &first, 3 * QG_SEC, QG_SEC);
  add (origins, stream (2, 8), QG_SEC);
  qg_origins_began (origins, &last, 5 * QG_SEC, 2 * QG_SEC);
  EXPECT_EQ (tell (2 * QG_SEC), (Streams{ { 3, 9 }, { 1, 7 } }));
  EXPECT_EQ (tell (3 * QG_SEC), (Streams{ { 3, 9 } }));
  EXPECT_EQ (tell (5 * QG_SEC), Streams ());
  EXPECT_EQ (version_of (origins, 1, 5 * QG_SEC), 7u);
  qg_origins_free (origins);
}

TEST (Origins, ARequestThatBeginsAgainIsHeldFromThenOn)
{
  QgOrigins *origins = qg_origins_new ();
  const QgTime later = QG_ORIGIN_HOLD - QG_SEC, last = QG_ORIGIN_HOLD + 1;
  std::vector<guint64> told;

  began (origins, stream (1, 7), QG_SEC, 0);
  add (origins, stream (2, 8), 0);
  began (origins, stream (1, 7), last + 1, later);
  began (origins, stream (2, 8), last + 1, later);
  EXPECT_EQ (version_of (origins, 1, last), 7u);
  qg_origins_each_own (
      origins, last,
      [] (gpointer user, const QgMeshStream *stream) {
        static_cast<decltype (told) *> (user)->push_back (stream->attempt);
      },
      &told);
  EXPECT_EQ (told, (std::vector<guint64>{ 2, 1 }));
  add (origins, stream (1, 9), last);
  EXPECT_EQ (version_of (origins, 1, last), QG_ORIGIN_SEVERAL);
  EXPECT_EQ (version_of (origins, 1, last + later), QG_ORIGIN_SEVERAL);
  EXPECT_EQ (version_of (origins, 1, 2 * last + later), 0u);
  EXPECT_EQ (qg_origins_count (origins), 0u);
  qg_origins_free (origins);
}

TEST (Origins, TheWeightsOfAStreamMayChange)
{
  QgOrigins *origins = qg_origins_new ();
  EXPECT_EQ (qg_origins_find (origins, 5, 0).weights, -1);
  for (gint64 weights : { -1, 1, 2, -1 })
    add (origins, stream (5, 7, 1, weights), 0);
  add (origins, stream (5, 7), 0); /* told by an older relay */
  EXPECT_EQ (version_of (origins, 5, 0), 7u);
  EXPECT_EQ (qg_origins_find (origins, 5, 0).weights, 2);
  EXPECT_EQ (qg_origins_find (origins, 5, 0).began_by, 1u);
  qg_origins_free (origins);
}

TEST (Origins, ARequestOfStreamsWithDifferentWeightsSaysNothing)
{
  using Notes = std::vector<QgMeshStream>;
  const Notes several[] = {
    { stream (5, 7, 1, 1), stream (5, 7, 2, 2) },
    { stream (5, 7, 0, 1), stream (5, 7, 0, 2) },
    { stream (5, 7, 1, 1), stream (5, 7, 2, 1), stream (5, 7, 1, 2) },
    { stream (5, 7, 1, 1), stream (5, 7, 2, 1), stream (5, 7, 2, 2) },
    { stream (5, 7, 1, -1), stream (5, 7, 2, 1), stream (5, 7, 1, 2) },
  };
  for (const Notes &notes : several)
    {
      QgOrigins *origins = qg_origins_new ();
      for (const QgMeshStream &noted : notes)
        add (origins, noted, 0);
      EXPECT_EQ (version_of (origins, 5, 0), QG_ORIGIN_SEVERAL);
      qg_origins_free (origins);
    }
}
