#include <gtest/gtest.h>

#include <sstream>
#include <string>

extern "C"
{
#include "lib/ssepass.h"
}

namespace
{

/* "1.-.2": events with and without an id. */
std::string
Events (const std::string &ids)
{
  std::string bytes;
  std::stringstream list (ids);

  for (std::string id; std::getline (list, id, '.');)
    bytes += (id == "-" ? "" : "id: " + id + "\n") + "data: a\n\n";
  return bytes;
}

struct Result
{
  std::string bytes;
  std::string wrong;
};

/* Feeds @a run in pieces of @a step bytes and ends it. */
Result
Pass (const std::string &run, gint64 after, bool rejoins, gsize step)
{
  QgSsePass *pass = qg_ssepass_new (after, rejoins);
  Result result;

  for (gsize at = 0; at < run.size (); at += step)
    {
      const std::string piece = run.substr (at, step);
      gsize n;
      char *bytes = qg_ssepass_feed (pass, piece.data (), piece.size (), &n);

      result.bytes.append (bytes != nullptr ? bytes : "", n);
      g_free (bytes);
    }
  gsize n;
  char *rest = qg_ssepass_end (pass, &n);
  result.bytes.append (rest != nullptr ? rest : "", n);
  g_free (rest);
  result.wrong = pass->wrong != nullptr ? pass->wrong : "";
  qg_ssepass_free (pass);
  return result;
}

/* Checks that of @a run the events @a ids pass, however it is split, and
 * whether it ends properly. */
void
Expect (const std::string &run, gint64 after, bool rejoins,
        const std::string &bytes, bool whole)
{
  for (gsize step = 1; step <= run.size () + 1; step++)
    {
      Result result = Pass (run, after, rejoins, step);

      EXPECT_EQ (result.bytes, bytes) << run << " after " << after;
      EXPECT_EQ (result.wrong.empty (), whole) << run << " after " << after;
    }
}

void
ExpectIds (const std::string &run, gint64 after, bool rejoins,
           const std::string &ids, bool whole)
{
  Expect (Events (run), after, rejoins, Events (ids), whole);
}

struct Begin
{
  const char *asked;
  const char *run_asked;
  QgSsePassPlan plan;
};

QgSsePassPlan
Plan (QgSsePassHead head, gint64 *after)
{
  if (head.asked == nullptr)
    head.asked = "";
  if (head.run_asked == nullptr)
    head.run_asked = "";
  return qg_ssepass_plan (&head, after);
}

} // namespace

TEST (SsePass, AnyLastEventIdThatIsNotEmptyCounts)
{
  Qg__Header empty = QG__HEADER__INIT;
  Qg__Header last = QG__HEADER__INIT;
  Qg__Header other = QG__HEADER__INIT;
  Qg__Header *headers[] = { &other, &empty, &last };

  empty.name = const_cast<char *> ("Last-Event-Id");
  last.name = const_cast<char *> ("last-event-ID");
  last.value = const_cast<char *> ("0");
  other.name = const_cast<char *> ("X-Last-Event-Id");
  other.value = const_cast<char *> ("7");
  EXPECT_STREQ (qg_ssepass_asked (headers, 3), "0");
  EXPECT_STREQ (qg_ssepass_asked (headers, 2), "");
  EXPECT_STREQ (qg_ssepass_asked (headers, 0), "");
}

TEST (SsePass, ANewRunIsCheckedIfIdsMayBeNumbers)
{
  gint64 after;

  EXPECT_EQ (Plan ({ 200, TRUE }, &after), QG_SSEPASS_NEW_RUN);
  EXPECT_EQ (after, -1);
  EXPECT_EQ (Plan ({ 200, TRUE, FALSE, FALSE, "3" }, &after),
             QG_SSEPASS_NEW_RUN);
  EXPECT_EQ (after, 3);
  EXPECT_EQ (Plan ({ 200, TRUE, FALSE, FALSE, "p3" }, &after), QG_SSEPASS_FREE);
  EXPECT_EQ (Plan ({ 200, TRUE, TRUE, FALSE, "3" }, &after), QG_SSEPASS_FREE);
}

TEST (SsePass, OnlyAStreamGoesOnAfterAnEvent)
{
  gint64 after;

  EXPECT_EQ (Plan ({ 200, FALSE }, &after), QG_SSEPASS_FREE);
  EXPECT_EQ (Plan ({ 200, FALSE, FALSE, FALSE, "3" }, &after),
             QG_SSEPASS_NO_STREAM);
  EXPECT_EQ (Plan ({ 200, FALSE, FALSE, FALSE, "p3" }, &after),
             QG_SSEPASS_FREE);
  for (guint status : { 204u, 205u, 301u, 404u, 500u })
    EXPECT_EQ (Plan ({ status, FALSE, FALSE, FALSE, "3" }, &after),
               QG_SSEPASS_FREE);
  EXPECT_EQ (Plan ({ 500, TRUE, FALSE, FALSE, "3" }, &after), QG_SSEPASS_FREE);
}

TEST (SsePass, AStoredAnswerGoesOnWhereItsRestCanBeFound)
{
  const Begin begins[] = {
    { "", "", QG_SSEPASS_NEW_RUN },     { "3", "", QG_SSEPASS_SAME_RUN },
    { "3", "3", QG_SSEPASS_NEW_RUN },   { "5", "3", QG_SSEPASS_SAME_RUN },
    { "1", "3", QG_SSEPASS_NO_REST },   { "", "3", QG_SSEPASS_NO_REST },
    { "p3", "", QG_SSEPASS_NO_REST },   { "p3", "p3", QG_SSEPASS_FREE },
    { "p4", "p3", QG_SSEPASS_NO_REST }, { "4", "p3", QG_SSEPASS_NO_REST },
    { "", "p3", QG_SSEPASS_NO_REST },
  };
  gint64 after;

  for (const Begin &begin : begins)
    EXPECT_EQ (
        Plan ({ 200, TRUE, FALSE, TRUE, begin.asked, begin.run_asked }, &after),
        begin.plan)
        << begin.asked << " of " << begin.run_asked;
  EXPECT_EQ (Plan ({ 200, TRUE, TRUE, TRUE, "3", "" }, &after),
             QG_SSEPASS_NO_REST);
  EXPECT_EQ (Plan ({ 200, TRUE, TRUE, TRUE, "", "" }, &after), QG_SSEPASS_FREE);
}

TEST (SsePass, ARunInOrderPassesUnchanged)
{
  for (const char *ids : { "1.2.3", "10.20.30", "-.-", "1.-.2.-", "a.b.a", "" })
    ExpectIds (ids, -1, false, ids, true);
  ExpectIds ("4.5.6", 3, false, "4.5.6", true);
  ExpectIds ("7.9", 3, false, "7.9", true);
  ExpectIds ("", 3, false, "", true);
}

TEST (SsePass, ARunIsStoppedBeforeAnEventOutOfOrder)
{
  ExpectIds ("1.2.2.3", -1, false, "1.2", false);
  ExpectIds ("1.2.1.2.3", -1, false, "1.2", false);
  ExpectIds ("1.2.3.4", 3, false, "", false);
  ExpectIds ("3.4", 3, false, "", false);
  ExpectIds ("5.6", 3, false, "", false);
  ExpectIds ("-.-", 3, false, "", false);
  ExpectIds ("-.4", 3, false, "", false);
}

TEST (SsePass, AnEventAfterAGapPassesAtTheEnd)
{
  ExpectIds ("5", 3, false, "5", true);
  ExpectIds ("6", 3, true, "6", true);
  Expect (Events ("5") + "id: 6\n", 3, false, "", false);
}

TEST (SsePass, ARunThatGoesOnMayEndWithoutNumbers)
{
  ExpectIds ("4.-", 3, false, "4.-", true);
}

TEST (SsePass, ARunThatIsRejoinedGoesOnAfterTheLastEvent)
{
  ExpectIds ("1.2.3.4.5", 3, true, "4.5", true);
  ExpectIds ("1.2.3.4.5", 5, true, "", true);
  ExpectIds ("1.2.3.4.5", 0, true, "1.2.3.4.5", true);
  ExpectIds ("10.20.30.40", 20, true, "30.40", true);
  ExpectIds ("4.5.6", 3, true, "4.5.6", true);
  ExpectIds ("4.5.6", 4, true, "5.6", true);
  ExpectIds ("1.2", -1, true, "1.2", true);
}

TEST (SsePass, ARunThatIsRejoinedStaysInOrder)
{
  ExpectIds ("1.2.2.3.4", 3, true, "", false);
  ExpectIds ("1.2.1.2.3.4", 3, true, "", false);
  ExpectIds ("1.2.3.4.4", 3, true, "4", false);
  ExpectIds ("1.2.3.4.1", 3, true, "4", false);
  ExpectIds ("4.5.6", 1, true, "", false);
}

TEST (SsePass, UnnumberedEventsOfARejoinedRunBelongToThoseBefore)
{
  ExpectIds ("1.-.2.-.3.-.4.-", 2, true, "-.3.-.4.-", true);
  ExpectIds ("-.1.2.3", 2, true, "", false);
  ExpectIds ("-.-", 2, true, "", false);
}

TEST (SsePass, EachKindOfLineEndMayBeRejoined)
{
  const std::string first = "id: 1\r\ndata: a\r\n\r\n";
  const std::string second = "id: 2\r\ndata: b\r\n\r\n";
  const std::string old = "id: 1\rdata: a\r\r";

  Expect (first + second, 1, true, second, true);
  Expect (old + second, 1, true, second, true);
  Expect (first + second, 2, true, "", true);
}

TEST (SsePass, NothingOfTheSkippedPartPasses)
{
  const std::string skipped = Events ("1") + ": beat\n\n" + "id: 2\n\n"
                              + "retry: 5\n\n" + Events ("3");
  const std::string rest
      = ": beat\n\n" + Events ("4") + "retry: 5\n\n" + Events ("5");

  Expect (skipped + rest, 3, true, rest, true);
}

TEST (SsePass, AnIncompleteEventDoesNotPass)
{
  Expect (Events ("1") + "id: 2\ndata: b\n", -1, false, Events ("1"), false);
  Expect (Events ("1.2") + "id: 3\nda", 1, true, Events ("2"), false);
}

TEST (SsePass, AnEventWithoutEndIsStopped)
{
  const std::string piece (64 * 1024, 'e');
  QgSsePass *pass = qg_ssepass_new (-1, FALSE);
  gsize fed = 0;
  gsize n;

  for (; pass->wrong == nullptr && fed < 2 * QG_SSE_EVENT_MAX_BYTES;
       fed += piece.size ())
    EXPECT_EQ (qg_ssepass_feed (pass, piece.data (), piece.size (), &n),
               nullptr);
  EXPECT_EQ (fed, QG_SSE_EVENT_MAX_BYTES + piece.size ());
  EXPECT_EQ (qg_ssepass_feed (pass, "\n\n", 2, &n), nullptr);
  EXPECT_EQ (n, 0u);
  qg_ssepass_free (pass);
}

TEST (SsePass, LogsNameTheEvents)
{
  QgSsePass *pass = qg_ssepass_new (2, TRUE);
  const std::string run = Events ("1.2.3.4.2");
  char text[QG_SSE_TEXT_BYTES];
  gsize n;

  g_free (qg_ssepass_feed (pass, run.data (), run.size (), &n));
  qg_sse_describe (&pass->sse, pass->asked_after, text);
  EXPECT_STREQ (text, "asked_after=2 run_began=1 first=3 last=4 stopped_at=2");
  qg_ssepass_free (pass);
}

TEST (SsePass, AnIdIsANumberOrNot)
{
  EXPECT_EQ (qg_sse_read_id ("17"), 17);
  EXPECT_EQ (qg_sse_read_id ("0"), 0);
  for (const char *value : { "", " ", "a", "3x", "3, 5", "-1", "-7",
                             "99999999999999999999", "0x10", "1.5" })
    EXPECT_EQ (qg_sse_read_id (value), -1) << value;
}
