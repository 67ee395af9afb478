#include <gtest/gtest.h>

#include <sstream>
#include <string>

extern "C"
{
#include "lib/sse.h"
}

namespace
{

const std::string kStreams[] = {
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
  "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
  "id:1\rdata: a\r\rid:2\rdata: b\r\r",
};

QgSse
Feed (const std::string &bytes, gint64 last_id = -1)
{
  QgSse sse;

  qg_sse_init (&sse, last_id);
  qg_sse_feed (&sse, bytes.data (), bytes.size ());
  return sse;
}

/* "1.-.2!": events with and without an id; "!": an id without data. */
std::string
Events (const std::string &ids)
{
  std::string bytes;
  std::stringstream list (ids);

  for (std::string id; std::getline (list, id, '.');)
    if (id == "!")
      bytes += "id: 1\n\n";
    else
      bytes += (id == "-" ? "" : "id: " + id + "\n") + "data: a\n\n";
  return bytes;
}

QgSse
Start (gint64 after)
{
  QgSse sse;

  qg_sse_init (&sse, after);
  sse.ordered = TRUE;
  return sse;
}

/* Feeds @run in pieces; returns what may be passed on. */
std::string
Taken (QgSse *sse, const std::string &run, gsize step)
{
  std::string taken, held;

  for (gsize at = 0; at < run.size () && sse->order == QG_SSE_IN_ORDER;
       at += step)
    {
      const std::string piece = run.substr (at, step);
      gsize complete = qg_sse_feed (sse, piece.data (), piece.size ());

      if (complete > 0)
        {
          taken += held + piece.substr (0, complete);
          held.clear ();
        }
      held += piece.substr (complete);
    }
  return taken;
}

QgSse
FeedOrdered (const std::string &ids, gint64 after)
{
  QgSse sse = Start (after);

  Taken (&sse, Events (ids), 1);
  return sse;
}

} // namespace

TEST (Sse, FindsEventsWithEachKindOfLineEnd)
{
  for (const std::string &stream : kStreams)
    {
      QgSse sse = Feed (stream);

      EXPECT_EQ (sse.events, 2u) << stream;
      EXPECT_EQ (sse.last_id, 2) << stream;
      EXPECT_TRUE (qg_sse_may_end (&sse, FALSE)) << stream;
    }
}

TEST (Sse, ReportsTheSameEventsHoweverTheBytesAreSplit)
{
  for (const std::string &stream : kStreams)
    for (gsize step = 1; step <= stream.size (); step++)
      {
        QgSse sse;
        gsize complete = 0;

        qg_sse_init (&sse, -1);
        for (gsize at = 0; at < stream.size (); at += step)
          {
            gsize n = MIN (step, stream.size () - at);
            gsize whole = qg_sse_feed (&sse, stream.data () + at, n);

            if (whole > 0)
              complete = at + whole;
            EXPECT_EQ (at + n - complete, sse.pending) << step;
          }
        EXPECT_EQ (complete, stream.size ()) << step;
        EXPECT_EQ (sse.events, 2u) << step;
        EXPECT_EQ (sse.last_id, 2) << step;
      }
}

TEST (Sse, AStreamMayEndOnlyAfterACompleteEvent)
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const gsize first = stream.find ("\n\n") + 2;

  for (gsize len = 0; len <= stream.size (); len++)
    {
      QgSse sse = Feed (stream.substr (0, len));

      EXPECT_EQ (qg_sse_may_end (&sse, FALSE),
                 len == first || len == stream.size ())
          << len;
      EXPECT_EQ (qg_sse_may_end (&sse, TRUE),
                 len == 0 || len == first || len == stream.size ())
          << len;
    }
}

TEST (Sse, ContinuesAfterTheEventThatTheCallerHas)
{
  EXPECT_EQ (Feed ("", 4).last_id, 4);
  EXPECT_EQ (Feed ("id: 5\ndata: a\n\nid: 6\nda", 4).last_id, 5);
}

TEST (Sse, AnIdIsReadOnlyFromItsField)
{
  EXPECT_EQ (Feed ("data: void:9\nid: 3\n\n").last_id, 3);
  EXPECT_EQ (Feed ("id: 3\ndata: a\n\ndata: id: 9\n\n").last_id, 3);
}

TEST (Sse, AnEventWithoutANumberIsNoted)
{
  EXPECT_FALSE (Feed ("id: 3\ndata: a\n\n: comment\n\n").unnumbered);
  EXPECT_TRUE (Feed ("id: 3\ndata: a\n\ndata: b\n\n").unnumbered);
  EXPECT_TRUE (Feed ("id: x\ndata: a\n\n").unnumbered);
}

TEST (Sse, AnIdWithoutDataCounts)
{
  EXPECT_EQ (Feed ("id: 3\ndata: a\n\nid: 9\n\n").last_id, 9);
  EXPECT_EQ (Feed ("id: 3\ndata: a\n\nid: 9\n\n").events, 1u);
  EXPECT_EQ (FeedOrdered ("1.!", -1).order, QG_SSE_IN_ORDER);
  EXPECT_EQ (FeedOrdered ("1.2.!", -1).order, QG_SSE_REPEATED);
}

TEST (Sse, CommentsAreNotHeldBack)
{
  QgSse sse = Feed (": waiting\n");

  EXPECT_EQ (sse.pending, 0u);
  sse = Feed ("id: 1\n: waiting\n");
  EXPECT_GT (sse.pending, 0u);
}

TEST (Sse, ARunIsStoppedAtAnEventThatIsNotInOrder)
{
  struct
  {
    const char *ids;   /* of the run; "-": none, "!": only an id, no data */
    gint64 after;      /* the run goes on after it, or -1 */
    const char *taken; /* the events that may be passed on */
    QgSseOrder order;
  } const cases[] = {
    { "1.2.3", -1, "1.2.3", QG_SSE_IN_ORDER },
    { "1.2.2.3", -1, "1.2", QG_SSE_REPEATED },
    { "1.2.1.2.3", -1, "1.2", QG_SSE_REPEATED },
    { "1.2.5.6", -1, "1.2.5.6", QG_SSE_IN_ORDER },
    { "1.-.2", -1, "1.-.2", QG_SSE_IN_ORDER },
    { "-.-", -1, "-.-", QG_SSE_IN_ORDER },
    { "4.5.6", 3, "4.5.6", QG_SSE_IN_ORDER },
    { "1.2.3.4", 3, "", QG_SSE_REPEATED },
    { "3.4", 3, "", QG_SSE_REPEATED },
    { "4.4", 3, "4", QG_SSE_REPEATED },
    { "4.-.5", 3, "4.-.5", QG_SSE_IN_ORDER },
    { "4.-.4", 3, "4.-", QG_SSE_REPEATED },
    { "4.-.3", 3, "4.-", QG_SSE_REPEATED },
    { "-.4", 3, "", QG_SSE_UNNUMBERED },
    { "-", 3, "", QG_SSE_UNNUMBERED },
    { "x", 3, "", QG_SSE_UNNUMBERED },
    { "99999999999999999999", 3, "", QG_SSE_UNNUMBERED },
    { "5.6", 3, "", QG_SSE_SKIPPED },
    { "5.5", 3, "", QG_SSE_REPEATED },
    { "5.4", 3, "", QG_SSE_REPEATED },
    { "6.9.12", 3, "6.9.12", QG_SSE_IN_ORDER },
    { "5.7.8", 3, "5.7.8", QG_SSE_IN_ORDER },
    { "5.-", 3, "5.-", QG_SSE_IN_ORDER },
    { "1", 0, "1", QG_SSE_IN_ORDER },
    { "0", 0, "", QG_SSE_REPEATED },
  };

  for (const auto &c : cases)
    {
      const std::string run = Events (c.ids), taken = Events (c.taken);

      for (gsize step = 1; step <= run.size (); step++)
        {
          QgSse sse = Start (c.after);

          EXPECT_EQ (Taken (&sse, run, step), taken)
              << c.ids << " in steps of " << step;
          EXPECT_EQ (sse.order, c.order) << c.ids;
          EXPECT_EQ (qg_sse_may_end (&sse, TRUE), c.order == QG_SSE_IN_ORDER)
              << c.ids;
        }
    }
}

TEST (Sse, AGapIsKnownOnceTheIdsRiseByOne)
{
  QgSse sse = FeedOrdered ("1.2.3", -1);

  qg_sse_next_run (&sse);
  EXPECT_EQ (Taken (&sse, Events ("5"), 1), "");
  EXPECT_EQ (sse.order, QG_SSE_SKIPPED);
  EXPECT_EQ (sse.stopped_id, 5);
  qg_sse_next_run (&sse);
  EXPECT_EQ (Taken (&sse, Events ("4.5"), 1), Events ("4.5"));
  EXPECT_EQ (sse.last_id, 5);
}

TEST (Sse, ARunMayBeginAfterAGapIfIdsRiseByMore)
{
  QgSse sse = FeedOrdered ("10.20.30", -1);

  qg_sse_next_run (&sse);
  EXPECT_EQ (Taken (&sse, Events ("40"), 1), Events ("40"));
}

/* Whether the first event is the next one is open until the second comes. */
TEST (Sse, AnEventAfterAGapIsHeldBackUntilTheEnd)
{
  QgSse sse = Start (3);
  const std::string run = Events ("5");

  EXPECT_EQ (Taken (&sse, run, 1), "");
  EXPECT_EQ (sse.order, QG_SSE_IN_ORDER);
  EXPECT_EQ (sse.last_id, 3);
  EXPECT_EQ (sse.pending, run.size ());
  EXPECT_TRUE (qg_sse_may_end (&sse, TRUE));
  EXPECT_TRUE (qg_sse_may_end (&sse, FALSE));
  qg_sse_feed (&sse, "id: 7", 5);
  EXPECT_FALSE (qg_sse_may_end (&sse, TRUE));
}

/* Bytes behind an answer that ends with its connection. */
TEST (Sse, ForeignBytesAreHeldBackInARunWithoutALength)
{
  const std::string foreign = "some bytes\r\n\r\n";
  QgSse sse = Start (-1);

  sse.until_close = TRUE;
  EXPECT_EQ (Taken (&sse, Events ("1.2") + foreign, 1), Events ("1.2"));
  EXPECT_FALSE (qg_sse_may_end (&sse, FALSE));
  EXPECT_EQ (Taken (&sse, Events ("3"), 1), Events ("3"));
  EXPECT_TRUE (qg_sse_may_end (&sse, FALSE));
  sse = Start (-1);
  EXPECT_EQ (Taken (&sse, foreign, 1), foreign);
  sse = Start (-1);
  sse.until_close = TRUE;
  EXPECT_EQ (Taken (&sse, "retry: 9\n\n" + Events ("1"), 1),
             "retry: 9\n\n" + Events ("1"));
  EXPECT_EQ (Taken (&sse, "HTTP/1.1 200 OK\r\n\r\n" + Events ("2"), 1), "");
  EXPECT_EQ (sse.order, QG_SSE_FOREIGN);
  EXPECT_FALSE (qg_sse_may_end (&sse, FALSE));
}

TEST (Sse, TheLastIdIsOneInOrder)
{
  QgSse sse = FeedOrdered ("1.2.1", -1);

  EXPECT_EQ (sse.last_id, 2);
  EXPECT_EQ (sse.run_first_id, 1);
  EXPECT_EQ (sse.stopped_id, 1);
  qg_sse_next_run (&sse);
  EXPECT_EQ (sse.order, QG_SSE_IN_ORDER);
  EXPECT_EQ (Taken (&sse, Events ("3"), 1), Events ("3"));
  EXPECT_EQ (sse.first_id, 1);
}

TEST (Sse, WithoutOrderAllEventsAreTaken)
{
  QgSse sse;
  const std::string run = Events ("3.1.-.1");

  qg_sse_init (&sse, -1);
  EXPECT_EQ (Taken (&sse, run, 2), run);
  EXPECT_EQ (sse.order, QG_SSE_IN_ORDER);
}

TEST (Sse, ForgetsTheIncompleteEventOfARunThatBrokeOff)
{
  QgSse sse = Feed ("id: 1\ndata: a\n\nid: 7\nda");
  const std::string rest = "data: b\nid: 2\n\n";

  qg_sse_next_run (&sse);
  EXPECT_FALSE (qg_sse_may_end (&sse, FALSE));
  EXPECT_EQ (qg_sse_feed (&sse, rest.data (), rest.size ()), rest.size ());
  EXPECT_EQ (sse.last_id, 2);
}

/* Runs of random lines: what is passed on does not depend on how the bytes are
 * split, and has no id twice, over all runs of a stream. */
TEST (Sse, AnySplitTakesTheSameEventsInOrder)
{
  static const char *const lines[]
      = { "id: 1",    "id: 2",    "id: 3", "id: 4", "id: 6", "id: x",
          "data: a",  "data",     "data:", "",      "",      ": c",
          "event: e", "x-w-v: 3", "id",    "id:5" };
  static const char *const ends[] = { "\n", "\r\n", "\r" };
  guint32 seed = 35;
  auto next = [&seed] (guint32 n) {
    seed = seed * 1664525 + 1013904223;
    return (seed >> 16) % n;
  };

  for (int round = 0; round < 20000; round++)
    {
      const gint64 after = (gint64)next (4) - 1;
      const char *end = ends[next (3)];
      std::string runs[2];
      QgSse whole = Start (after);
      QgSse split = Start (after);
      gint64 last = after;

      for (std::string &run : runs)
        {
          std::string taken;

          for (guint32 n = next (12); n > 0; n--)
            run += lines[next (G_N_ELEMENTS (lines))] + std::string (end);
          taken = Taken (&whole, run, run.size () + 1);
          ASSERT_EQ (taken, Taken (&split, run, 1 + next (4))) << run;
          ASSERT_EQ (run.compare (0, taken.size (), taken), 0);
          ASSERT_EQ (whole.order, split.order) << run;
          ASSERT_EQ (whole.last_id, split.last_id) << run;
          ASSERT_EQ (whole.pending > 0, split.pending > 0) << run;

          /* Judges the events again, one at a time. */
          QgSse check;
          qg_sse_init (&check, -1);
          for (char c : taken)
            {
              guint64 before = check.events;

              check.unnumbered = FALSE;
              qg_sse_feed (&check, &c, 1);
              if (check.events == before || check.unnumbered)
                continue;
              ASSERT_GT (check.last_id, last) << after << "\n" << taken;
              last = check.last_id;
            }
          qg_sse_next_run (&whole);
          qg_sse_next_run (&split);
        }
    }
}

/* The number of an event without data is not one that is missing. */
TEST (Sse, ANumberWithoutDataLeavesNoGap)
{
  QgSse sse = Start (3);
  const std::string run = "id: 4\nevent: ping\n\n" + Events ("5.6");

  EXPECT_EQ (Taken (&sse, run, 1), run);
  EXPECT_EQ (sse.order, QG_SSE_IN_ORDER);
}

TEST (Sse, NumbersMayHaveManyDigits)
{
  QgSse sse = Start (-1);
  const std::string zeros (30, '0');
  const std::string run = Events (zeros + "1." + zeros + "2");

  EXPECT_EQ (Taken (&sse, run, 1), run);
  EXPECT_EQ (sse.last_id, 2);
}

TEST (Sse, AByteOrderMarkBeginsNoField)
{
  QgSse sse = Start (3);
  const std::string run = "\xef\xbb\xbf" + Events ("4.5");

  EXPECT_EQ (Taken (&sse, run, 1), run);
  EXPECT_EQ (sse.order, QG_SSE_IN_ORDER);
}

/* The largest number leaves no room for a next one. */
TEST (Sse, TheLargestNumberEndsAStream)
{
  QgSse sse = FeedOrdered ("9223372036854775806.9223372036854775807", -1);

  EXPECT_EQ (sse.last_id, G_MAXINT64);
  qg_sse_next_run (&sse);
  EXPECT_EQ (Taken (&sse, Events ("9223372036854775807"), 1), "");
  EXPECT_EQ (sse.order, QG_SSE_REPEATED);
}

TEST (Sse, AWatchedFieldCountsOnceItsEventIsPassedOn)
{
  const std::string first = "w: 7\n" + Events ("1");
  const std::string second = "w: 8\nid: 2\ndata: p";
  QgSse sse = Start (-1);

  sse.watched = "w";
  EXPECT_EQ (sse.watched_value, -1);
  EXPECT_EQ (Taken (&sse, first + second, 1), first);
  EXPECT_EQ (sse.watched_value, 7);
  qg_sse_next_run (&sse);
  EXPECT_EQ (Taken (&sse, Events ("2"), 1), Events ("2"));
  EXPECT_EQ (sse.watched_value, 7);
  EXPECT_EQ (Taken (&sse, "w: 9\nid: 2\ndata: again\n\n", 1), "");
  EXPECT_EQ (sse.watched_value, 7);
}
