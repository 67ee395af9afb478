#include "lib/answer.h"
#include "lib/event.h"
#include "lib/stream.h"
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>
#include <string>

namespace
{

const char hash1[32] = "one", hash2[32] = "two";

GBytes *
bytes_of (const std::string &s)
{
  return g_bytes_new (s.data (), s.size ());
}

std::string
text_of (GBytes *b)
{
  return std::string (static_cast<const char *> (g_bytes_get_data (b, nullptr)),
                      g_bytes_get_size (b));
}

class AnswerTable
{
public:
  explicit AnswerTable (QgAnswerOptions options = {})
      : answers (qg_answers_new (&options))
  {
  }
  ~AnswerTable () { qg_answers_unref (answers); }

  QgAnswer *
  begin (guint64 id, const char *key, const char *workspace = "w")
  {
    QgAnswerStart start
        = { { "e", 1, id }, workspace, "s", key, hash1, sizeof hash1, nullptr };
    return qg_answer_begin (answers, &start, nullptr);
  }

  QgAnswerReader *
  attach (QgAnswerOrigin reader, const char *key, guint64 original,
          guint64 offset, QgStatus *status = nullptr,
          const char *workspace = "w", const char *hash = hash1)
  {
    QgErr err;
    QgAnswerAttach a
        = { reader, workspace,    "s",    key,    { "e", 1, original },
            hash,   sizeof hash1, offset, nullptr };
    qg_err_clear (&err);
    QgAnswerReader *r = qg_answer_attach (answers, &a, &err);
    if (status != nullptr)
      *status = err.status;
    return r;
  }

  void
  data (QgAnswer *a, const std::string &s)
  {
    GBytes *b = bytes_of (s);
    qg_answer_append (a, b);
    g_bytes_unref (b);
  }

  QgAnswers *answers;
};

struct Piece
{
  QgAnswerKind kind;
  guint64 offset;
  std::string text;
};

bool
next_piece (QgAnswerReader *reader, Piece *out)
{
  QgAnswerPiece piece;
  if (!qg_answer_next (reader, &piece))
    return false;
  *out = { piece.kind, piece.offset, "" };
  if (piece.bytes != nullptr)
    {
      out->text = text_of (piece.bytes);
      g_bytes_unref (piece.bytes);
    }
  return true;
}

/* One request at an entry, and the link from the agent to this entry. The link
 * can deliver a piece twice. A broken link loses the pieces in transit, and the
 * request attaches again at the stream's offset. */
struct EntryRequest
{
  QgAnswerOrigin origin;
  QgStream stream = {};
  std::deque<Piece> link;
  std::string received;
  bool attached = false;
  bool ended = false;

  void
  receive (AnswerTable &table, bool repeat)
  {
    if (link.empty ())
      return;
    Piece p = link.front ();
    if (!repeat)
      link.pop_front ();
    guint64 skip;
    QgStreamVerdict v;
    if (p.kind == QG_ANSWER_HEAD)
      v = qg_stream_handle_head (&stream, 1);
    else if (p.kind == QG_ANSWER_DATA)
      {
        v = qg_stream_handle_data (&stream, 1, p.offset, p.text.size (), &skip);
        if (v == QG_STREAM_PASS)
          received += p.text.substr (skip);
      }
    else
      {
        v = qg_stream_handle_end (&stream, 1, p.offset);
        ended = ended || v == QG_STREAM_PASS;
      }
    RC_ASSERT (v == QG_STREAM_PASS || v == QG_STREAM_DROP);
    QgAnswerReader *r = qg_answer_find_reader (table.answers, &origin);
    if (r != nullptr)
      qg_answer_confirm (r, stream.next);
  }
};

} // namespace

TEST (Answer, AReaderKnowsWhetherItBeganTheAnswer)
{
  AnswerTable table;
  QgAnswer *answer = table.begin (1, "k");

  EXPECT_FALSE (qg_answer_reader_joined (qg_answer_nth_reader (answer, 0)));
  EXPECT_FALSE (
      qg_answer_reader_joined (table.attach ({ "e", 1, 1 }, "", 1, 0)));
  EXPECT_TRUE (
      qg_answer_reader_joined (table.attach ({ "e", 1, 2 }, "k", 0, 0)));
  EXPECT_TRUE (
      qg_answer_reader_joined (table.attach ({ "e", 2, 1 }, "k", 0, 0)));
}

TEST (Answer, EachReaderGetsTheCompleteAnswerDespiteBreaksAndRepeats)
{
  EXPECT_TRUE (rc::check ("answer", [] {
    std::mt19937 random (
        *rc::gen::resize (100, rc::gen::arbitrary<std::uint32_t> ()));
    auto below = [&random] (unsigned n) { return random () % n; };
    QgAnswerOptions options = {};
    options.window = 50;
    options.answer_bytes = below (2) ? 100 : 100000;
    AnswerTable table (options);
    bool keyed = below (2) != 0;
    QgAnswer *answer = table.begin (1, keyed ? "k" : "");
    std::string body;
    /* So short that the answer still buffers the bytes that a broken link
     * loses. */
    gsize length = below (80);
    unsigned n = keyed ? 1 + below (3) : 1;
    std::vector<EntryRequest> requests (n);
    GBytes *head = bytes_of ("head");
    bool finished = false;

    for (unsigned i = 0; i < n; i++)
      {
        requests[i].origin = { "e", 1, i + 1 };
        qg_stream_bind (&requests[i].stream, 1);
      }
    requests[0].attached = true;
    for (unsigned step = 0; step < 4000; step++)
      {
        EntryRequest &request = requests[step % n];
        unsigned action = below (12);
        Piece piece;
        if (action < 3 && !finished && qg_answer_has_room (answer))
          {
            if (body.empty ())
              qg_answer_set_head (answer, head);
            std::string more (1 + below (19),
                              static_cast<char> ('a' + step % 26));
            body += more;
            table.data (answer, more);
            finished = body.size () > length;
            if (finished)
              qg_answer_end (answer, nullptr, 0);
          }
        else if (action == 3 && request.attached && step < 2000)
          {
            request.attached = false; /* the link breaks and loses its pieces */
            request.link.clear ();
            qg_answer_detach (
                qg_answer_find_reader (table.answers, &request.origin), 0);
          }
        else if (action < 6 && !request.attached)
          request.attached = table.attach (request.origin, keyed ? "k" : "", 1,
                                           request.stream.next)
                             != nullptr;
        else if (action < 9 && request.attached
                 && next_piece (
                     qg_answer_find_reader (table.answers, &request.origin),
                     &piece))
          request.link.push_back (piece);
        else
          request.receive (table, below (4) == 0);
        qg_answers_expire (table.answers, 0);
      }
    g_bytes_unref (head);
    for (EntryRequest &request : requests)
      {
        RC_ASSERT (request.ended);
        RC_ASSERT (request.received == body);
      }
    RC_ASSERT (qg_event_count (QG_EV_INV_ANSWER) == 0u);
  }));
}

TEST (Answer, IsRefusedToAnotherWorkspaceOrBody)
{
  AnswerTable table;
  QgStatus status;
  table.begin (1, "k");
  EXPECT_EQ (table.attach ({ "e", 1, 2 }, "k", 0, 0, &status, "other"),
             nullptr);
  EXPECT_EQ (status, QG_E_NOT_FOUND);
  EXPECT_EQ (table.attach ({ "e", 1, 2 }, "", 1, 0, &status, "other"), nullptr);
  EXPECT_EQ (status, QG_E_FORBIDDEN);
  EXPECT_EQ (table.attach ({ "e", 1, 2 }, "k", 0, 0, &status, "w", hash2),
             nullptr);
  EXPECT_EQ (status, QG_E_CONFLICT);
  EXPECT_NE (table.attach ({ "e", 1, 2 }, "k", 0, 0, &status), nullptr);
  /* The same request number after a restart of the entry is another request. */
  QgAnswerOrigin restarted = { "e", 2, 1 };
  EXPECT_EQ (qg_answer_find_reader (table.answers, &restarted), nullptr);
  EXPECT_EQ (qg_answer_find (table.answers, &restarted), nullptr);
}

TEST (Answer, OneAnswerForAKeyAndForARequest)
{
  AnswerTable table;
  EXPECT_NE (table.begin (1, "k"), nullptr);
  EXPECT_EQ (table.begin (1, ""), nullptr);
  EXPECT_EQ (table.begin (2, "k"), nullptr);
  EXPECT_NE (table.begin (3, "k", "other"), nullptr);
}

TEST (Answer, OnlyClaimedWorkContinuesWithoutAReader)
{
  QgAnswerOptions options = {};
  options.window = 10;
  options.answer_bytes = 20;
  AnswerTable table (options);
  for (const char *key : { "k", "" })
    {
      QgAnswer *a = table.begin (key[0] != '\0' ? 1 : 2, key);
      qg_answer_detach (qg_answer_nth_reader (a, 0), 0);
      for (int i = 0; i < 10; i++)
        table.data (a, "12345");
      EXPECT_EQ (qg_answer_has_room (a), key[0] != '\0');
    }
  EXPECT_LE (qg_answers_bytes (table.answers), 10u + 5u + 50u);
  /* The answer exceeded answer_bytes and is not kept complete. */
  QgStatus status;
  EXPECT_EQ (table.attach ({ "e", 1, 9 }, "k", 0, 0, &status), nullptr);
  EXPECT_EQ (status, QG_E_UNKNOWN);
  EXPECT_EQ (qg_answers_find_orphan (table.answers, QG_ANSWER_ORPHAN_TIME - 1),
             nullptr);
  EXPECT_NE (qg_answers_find_orphan (table.answers, QG_ANSWER_ORPHAN_TIME),
             nullptr);
}

TEST (Answer, FinishedAnswersAreLimitedByTimeAndBytes)
{
  QgAnswerOptions options = {};
  options.hold_bytes = 100;
  AnswerTable table (options);
  for (guint64 id = 1; id <= 3; id++)
    {
      char key[] = { static_cast<char> ('0' + id), 0 };
      QgAnswer *a = table.begin (id, key);
      qg_answer_detach (qg_answer_nth_reader (a, 0), 0);
      table.data (a, std::string (45, 'x'));
      qg_answer_end (a, nullptr, static_cast<QgTime> (id));
    }
  qg_answers_expire (table.answers, 5);
  EXPECT_EQ (qg_answers_count (table.answers), 2u);
  EXPECT_EQ (qg_answer_find_key (table.answers, "w", "s", "1"), nullptr);
  qg_answers_expire (table.answers, 2 + QG_ANSWER_HOLD_TIME);
  EXPECT_EQ (qg_answers_count (table.answers), 1u);
}

TEST (Answer, FinishedAnswerIsUnsentUntilItsReaderHasTheEnd)
{
  AnswerTable table;
  Piece piece;
  QgAnswer *a = table.begin (1, "k");
  QgAnswerReader *r = qg_answer_nth_reader (a, 0);
  GBytes *head = bytes_of ("head");
  qg_answer_set_head (a, head);
  qg_answer_end (a, nullptr, 0);
  EXPECT_EQ (qg_answers_unsent_count (table.answers), 1u);
  EXPECT_TRUE (next_piece (r, &piece));
  EXPECT_EQ (qg_answers_unsent_count (table.answers), 1u);
  EXPECT_TRUE (next_piece (r, &piece));
  EXPECT_EQ (qg_answers_unsent_count (table.answers), 0u);
  g_bytes_unref (head);
}

TEST (Stream, PiecesOfAnotherRunAreDroppedAndGapsReported)
{
  QgStream s = {};
  guint64 skip;
  EXPECT_TRUE (qg_stream_bind (&s, 1));
  EXPECT_EQ (qg_stream_handle_data (&s, 1, 0, 5, &skip),
             QG_STREAM_GAP);            /* no head yet */
  EXPECT_TRUE (qg_stream_bind (&s, 2)); /* no piece passed on yet */
  EXPECT_EQ (qg_stream_handle_head (&s, 1), QG_STREAM_DROP);
  EXPECT_EQ (qg_stream_handle_head (&s, 2), QG_STREAM_PASS);
  EXPECT_EQ (qg_stream_handle_data (&s, 2, 0, 5, &skip), QG_STREAM_PASS);
  EXPECT_EQ (qg_stream_handle_data (&s, 2, 3, 5, &skip), QG_STREAM_PASS);
  EXPECT_EQ (skip, 2u);
  EXPECT_EQ (qg_stream_handle_data (&s, 2, 9, 5, &skip), QG_STREAM_GAP);
  EXPECT_EQ (qg_stream_handle_end (&s, 2, 9), QG_STREAM_GAP);
  EXPECT_EQ (qg_stream_handle_data (&s, 2, G_MAXUINT64, 2, &skip),
             QG_STREAM_BAD);
  EXPECT_EQ (qg_stream_handle_end (&s, 2, 7), QG_STREAM_BAD);
  EXPECT_EQ (qg_stream_handle_data (&s, 2, 8, 5, &skip), QG_STREAM_DROP);
}

TEST (Stream, AnswersOfTwoRunsAreNeverJoined)
{
  QgStream s = {};
  guint64 before = qg_event_count (QG_EV_INV_STREAM);
  qg_stream_bind (&s, 1);
  qg_stream_handle_head (&s, 1);
  EXPECT_FALSE (qg_stream_bind (&s, 2));
  EXPECT_EQ (qg_event_count (QG_EV_INV_STREAM), before + 1);
  EXPECT_EQ (qg_stream_handle_head (&s, 2), QG_STREAM_DROP);
}
