#include <gtest/gtest.h>

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

TEST (Sse, ARepeatedIdIsNoted)
{
  EXPECT_FALSE (Feed ("id: 3\ndata: a\n\nid: 4\ndata: b\n\n", 2).repeats);
  EXPECT_TRUE (Feed ("id: 2\ndata: a\n\n", 2).repeats);
  EXPECT_TRUE (Feed ("id: 3\ndata: a\n\nid: 3\ndata: b\n\n").repeats);
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
