#include "lib/doc.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

#define KEY_A "0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a"
#define KEY_B "0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b"

namespace
{

const char small[]
    = "# the first data centre\n[dc perth-a]\nregion=perth\n\n"
      "[service drape-model]\nkind=model\n\n"
      "[service bookings-app]\nkind=plain\nonce=POST;PATCH\n\n"
      "[workspace drape-hall]\nweight=200\nkey_sha256="
      "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n\n"
      "# may chat and book\n[grant drape-hall]\n"
      "services=drape-model;bookings-app\n";

struct Parsed
{
  QgDoc *doc;
  std::string problems;
};

Parsed
parse (const std::string &text, guint64 revision = 1)
{
  QgProblems problems;
  qg_problems_init (&problems, "d.ini");
  QgDoc *doc = qg_doc_parse (text.data (), text.size (), revision, &problems);
  char *all = qg_problems_text (&problems);
  Parsed out = { doc, all };
  g_free (all);
  qg_problems_clear (&problems);
  return out;
}

std::string
format (const QgDoc *doc)
{
  char *text = qg_doc_format (doc, NULL);
  std::string out = text;
  g_free (text);
  return out;
}

QgDoc *
apply (const QgDoc *doc, const QgDelta *delta)
{
  QgProblems problems;
  qg_problems_init (&problems, NULL);
  QgDoc *next = qg_doc_apply_delta (doc, delta, &problems);
  qg_problems_clear (&problems);
  return next;
}

/** Returns a valid document: a service, and workspaces with random weights,
 * some of which have a grant. */
std::string
random_text ()
{
  auto weights
      = *rc::gen::container<std::vector<int> > (12, rc::gen::inRange (0, 6));
  std::string text = "[service m]\nkind=model\n";
  for (size_t i = 0; i < weights.size (); i++)
    {
      std::string name = "w" + std::to_string (i);
      if (weights[i] == 0)
        continue;
      text += "[workspace " + name + "]\nweight=" + std::to_string (weights[i])
              + "\n";
      if (weights[i] % 2 != 0)
        text += "[grant " + name + "]\nservices=m\n";
    }
  return text;
}

} // namespace

TEST (Doc, LookupsFindParsedSections)
{
  QgDoc *doc = parse (small).doc;
  ASSERT_NE (doc, nullptr);
  guint8 key[QG_SHA256_BYTES];
  for (int i = 0; i < QG_SHA256_BYTES; i++)
    key[i] = static_cast<guint8> (i);
  EXPECT_EQ (qg_doc_workspace_by_key (doc, key),
             qg_doc_workspace (doc, "drape-hall"));
  EXPECT_EQ (qg_doc_workspace (doc, "drape-hall")->weight, 200u);
  EXPECT_TRUE (qg_doc_granted (doc, "drape-hall", "bookings-app"));
  EXPECT_FALSE (qg_doc_granted (doc, "drape-hall", "other"));
  EXPECT_FALSE (qg_doc_granted (doc, "nobody", "drape-model"));
  EXPECT_TRUE (qg_doc_service_at_most_once (
      qg_doc_service (doc, "bookings-app"), "POST"));
  EXPECT_FALSE (qg_doc_service_at_most_once (
      qg_doc_service (doc, "bookings-app"), "GET"));
  key[0] = 1;
  EXPECT_EQ (qg_doc_workspace_by_key (doc, key), nullptr);
  qg_doc_unref (doc);
}

TEST (Doc, FormatIsStableAndKeepsComments)
{
  QgDoc *doc = parse (small).doc;
  std::string once = format (doc);
  QgDoc *again = parse (once).doc;
  EXPECT_EQ (format (again), once);
  EXPECT_NE (once.find ("# may chat and book\n[grant drape-hall]"),
             std::string::npos);
  qg_doc_unref (doc);
  qg_doc_unref (again);
}

TEST (Doc, DeltaFromAnotherRevisionIsRefused)
{
  QgDoc *one = parse (small, 1).doc;
  QgDelta *old = qg_delta_new (0, 1);
  QgDelta *gap = qg_delta_new (2, 3);
  EXPECT_EQ (apply (one, old), nullptr);
  EXPECT_EQ (apply (one, gap), nullptr);
  qg_delta_unref (old);
  qg_delta_unref (gap);
  qg_doc_unref (one);
}

TEST (Doc, DeltaTextWithAnotherIdIsRefused)
{
  QgDoc *one = parse (small, 1).doc;
  QgDelta *delta = qg_delta_new (1, 2);
  const char text[] = "[workspace other]\nweight=1";
  qg_delta_add (delta, "dc perth-a", text, sizeof text - 1);
  qg_delta_finish (delta);
  EXPECT_EQ (apply (one, delta), nullptr);
  qg_delta_unref (delta);
  qg_doc_unref (one);
}

TEST (Doc, LastTextOfASectionIsApplied)
{
  QgDoc *doc = parse (small, 1).doc;
  QgDelta *delta = qg_delta_new (1, 2);
  for (const char *text : { "[dc perth-a]\nregion=a", "[dc perth-a]\nregion=b",
                            "[dc perth-a]\nregion=c" })
    qg_delta_add (delta, "dc perth-a", text, strlen (text));
  qg_delta_finish (delta);
  EXPECT_EQ (delta->items->len, 1u);
  QgProblems problems;
  qg_problems_init (&problems, NULL);
  doc = qg_doc_update (doc, delta, &problems);
  EXPECT_STREQ (qg_doc_dc (doc, "perth-a")->region, "c");
  qg_problems_clear (&problems);
  qg_delta_unref (delta);
  qg_doc_unref (doc);
}

RC_GTEST_PROP (Doc, DeltasLeadToTheWholeDocument, ())
{
  std::string texts[3] = { random_text (), random_text (), random_text () };
  QgDoc *docs[3];
  for (int i = 0; i < 3; i++)
    docs[i] = parse (texts[i], 5 + i).doc;
  QgDelta *first = qg_doc_diff (docs[0], docs[1]);
  QgDelta *second = qg_doc_diff (docs[1], docs[2]);
  QgDelta *whole = qg_doc_diff (NULL, docs[2]);
  QgDelta *joined = qg_delta_join (first, second);
  QgDelta *whole_first = qg_doc_diff (NULL, docs[1]);
  QgDelta *whole_joined = qg_delta_join (whole_first, second);
  QgDoc *step = apply (docs[0], first);
  QgDoc *ends[4] = { apply (step, second), apply (docs[0], joined),
                     apply (docs[0], whole), apply (docs[0], whole_joined) };

  for (QgDoc *end : ends)
    {
      bool valid = end != nullptr;
      RC_ASSERT (valid);
      RC_ASSERT (format (end) == format (docs[2]));
      RC_ASSERT (qg_doc_revision (end) == 7u);
      qg_doc_unref (end);
    }
  qg_doc_unref (step);
  for (QgDelta *d : { first, second, whole, joined, whole_first, whole_joined })
    qg_delta_unref (d);
  for (QgDoc *doc : docs)
    qg_doc_unref (doc);
}

/* Applies random changes, valid and invalid, to a document in place and to a
 * copy. The two results must be the same document or the same problems. A
 * refused change must leave the document and its key index unchanged. */
RC_GTEST_PROP (Doc, AStepEqualsACopy, ())
{
  static const char *const ids[]
      = { "workspace w0", "workspace w1", "grant w0",
          "grant w1",     "service m",    "service n" };
  static const char *const bodies[] = { "weight=1\nkey_sha256=" KEY_A,
                                        "weight=2\nkey_sha256=" KEY_B,
                                        "services=m",
                                        "services=m;n",
                                        "kind=model",
                                        "kind=model\nslots=1\ncold_slots=2" };
  QgDoc *doc = parse (random_text (), 1).doc;
  int steps = *rc::gen::inRange (1, 30);

  for (int i = 0; i < steps; i++)
    {
      guint64 revision = qg_doc_revision (doc);
      QgDelta *delta = qg_delta_new (revision, revision + 1);
      int first = *rc::gen::inRange (0, 6), n = *rc::gen::inRange (1, 4);
      for (int at = first; at < std::min (first + n, 6); at++)
        {
          int body = at / 2 * 2 + *rc::gen::inRange (0, 2);
          std::string text = "[" + std::string (ids[at]) + "]\n" + bodies[body];
          bool removes = *rc::gen::inRange (0, 3) == 0;
          qg_delta_add (delta, ids[at], removes ? NULL : text.c_str (),
                        text.size ());
        }
      qg_delta_finish (delta);
      QgProblems a, b;
      qg_problems_init (&a, NULL);
      qg_problems_init (&b, NULL);
      std::string before = format (doc);
      QgDoc *copy = qg_doc_apply_delta (doc, delta, &a);
      QgDoc *next = qg_doc_update (doc, delta, &b);
      char *problems_a = qg_problems_text (&a),
           *problems_b = qg_problems_text (&b);
      RC_ASSERT (std::string (problems_a) == problems_b);
      bool copied = copy != nullptr, updated = next != nullptr;
      RC_ASSERT (copied == updated);
      if (updated)
        doc = next;
      RC_ASSERT (format (doc) == (copied ? format (copy) : before));
      QgDoc *fresh = parse (format (doc), qg_doc_revision (doc)).doc;
      for (const char *hex : { KEY_A, KEY_B })
        {
          guint8 key[QG_SHA256_BYTES];
          qg_ini_read_sha256 (hex, key);
          const QgDocWorkspace *w = qg_doc_workspace_by_key (doc, key);
          const QgDocWorkspace *f = qg_doc_workspace_by_key (fresh, key);
          std::string name = w != nullptr ? w->name : "";
          RC_ASSERT (name == (f != nullptr ? f->name : ""));
        }
      g_free (problems_a);
      g_free (problems_b);
      qg_problems_clear (&a);
      qg_problems_clear (&b);
      qg_doc_unref (copy);
      qg_doc_unref (fresh);
      qg_delta_unref (delta);
    }
  qg_doc_unref (doc);
}
