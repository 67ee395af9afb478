#include "lib/conf.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

const guint all_teams = 7;

struct Result
{
  QgStatus status;
  guint64 revision;
  std::string message, winner;
  size_t overlap;
  bool
  operator== (const Result &o) const
  {
    return status == o.status && revision == o.revision && message == o.message
           && winner == o.winner && overlap == o.overlap;
  }
};

/** A change that can be sent repeatedly. */
struct Change
{
  std::string id = "c1", who = "ann";
  guint teams = all_teams;
  guint64 base = 0;
  // Id and text of each section; an empty text removes the section.
  std::vector<std::pair<std::string, std::string> > sections;
  std::string edit_section, edit_key, edit_value;

  Result
  send (QgConf *conf) const
  {
    Qg__ConfChange c = QG__CONF_CHANGE__INIT;
    std::vector<Qg__ConfSection> rows (sections.size ());
    std::vector<Qg__ConfSection *> at;
    Qg__ConfEdit edit = QG__CONF_EDIT__INIT;
    Qg__ConfEdit *edits = &edit;
    for (size_t i = 0; i < rows.size (); i++)
      {
        qg__conf_section__init (&rows[i]);
        rows[i].id = const_cast<char *> (sections[i].first.c_str ());
        rows[i].removed = sections[i].second.empty ();
        rows[i].text.len = sections[i].second.size ();
        rows[i].text.data = reinterpret_cast<uint8_t *> (
            const_cast<char *> (sections[i].second.data ()));
        at.push_back (&rows[i]);
      }
    c.change_id = const_cast<char *> (id.c_str ());
    c.author = const_cast<char *> (who.c_str ());
    c.teams = teams;
    c.based_on = base;
    c.n_sections = at.size ();
    c.sections = at.data ();
    if (!edit_section.empty ())
      {
        edit.section = const_cast<char *> (edit_section.c_str ());
        edit.key = const_cast<char *> (edit_key.c_str ());
        edit.value = const_cast<char *> (edit_value.c_str ());
        c.n_edits = 1;
        c.edits = &edits;
      }
    Qg__ConfResult *r = qg_conf_apply (conf, &c, 1000);
    Result out = { static_cast<QgStatus> (r->status), r->revision, r->message,
                   r->winner, r->n_overlap };
    qg__conf_result__free_unpacked (r, NULL);
    return out;
  }
};

Change
set_weight (const std::string &id, guint64 base, int workspace, int value)
{
  std::string name = "workspace w" + std::to_string (workspace);
  Change c;
  c.id = id;
  c.base = base;
  c.sections.push_back (
      { name, "[" + name + "]\nweight=" + std::to_string (value) });
  return c;
}

std::string
format (const QgDoc *doc)
{
  char *text = qg_doc_format (doc, NULL);
  std::string out = text;
  g_free (text);
  return out;
}

QgConf *
restored (const QgConf *conf)
{
  Qg__ConfSnapshot *s = qg_conf_snapshot (conf);
  QgConf *next = qg_conf_new ();
  EXPECT_EQ (qg_conf_restore (next, s, NULL), QG_OK);
  qg__conf_snapshot__free_unpacked (s, NULL);
  return next;
}

} // namespace

TEST (Conf, OneOfTwoChangesOnTheSameBaseIsAccepted)
{
  QgConf *conf = qg_conf_new ();
  Change a = set_weight ("a", 0, 1, 5), b = set_weight ("b", 0, 1, 6);
  b.who = "bob";
  EXPECT_EQ (a.send (conf).status, QG_OK);
  Result lost = b.send (conf);
  EXPECT_EQ (lost.status, QG_E_CONFLICT);
  EXPECT_EQ (lost.winner, "ann");
  EXPECT_EQ (lost.overlap, 1u);
  EXPECT_EQ (qg_conf_revision (conf), 1u);
  qg_conf_unref (conf);
}

TEST (Conf, SectionsOfAnotherTeamAreForbidden)
{
  QgConf *conf = qg_conf_new ();
  Change c;
  c.teams = 1;
  c.sections = { { "dc perth-a", "[dc perth-a]\nregion=perth" } };
  EXPECT_EQ (c.send (conf).status, QG_E_FORBIDDEN);
  c.id = "c2";
  c.teams = 2;
  EXPECT_EQ (c.send (conf).status, QG_OK);
  qg_conf_unref (conf);
}

TEST (Conf, InvalidChangesAndFutureBasesAreRefused)
{
  QgConf *conf = qg_conf_new ();
  Change grant;
  grant.sections = { { "grant x", "[grant x]\nservices=m" } };
  Result r = grant.send (conf);
  EXPECT_EQ (r.status, QG_E_INVALID);
  EXPECT_NE (r.message.find ("there is no [workspace x]"), std::string::npos);
  EXPECT_EQ (set_weight ("c2", 9, 1, 1).send (conf).status, QG_E_INVALID);
  EXPECT_EQ (set_weight ("no name", 0, 1, 1).send (conf).status, QG_E_INVALID);
  EXPECT_EQ (qg_conf_revision (conf), 0u);
  qg_conf_unref (conf);
}

TEST (Conf, EditAppliesToAnyRevisionAndKeepsOtherText)
{
  QgConf *conf = qg_conf_new ();
  Change dc;
  dc.sections = { { "dc perth-a", "# south\n[dc perth-a]\nregion=perth" } };
  dc.send (conf);
  set_weight ("c2", 1, 1, 1).send (conf);
  Change out;
  out.id = "out";
  out.teams = 2;
  out.edit_section = "dc perth-a";
  out.edit_key = "state";
  out.edit_value = "out";
  EXPECT_EQ (out.send (conf).revision, 3u);
  EXPECT_EQ (qg_doc_dc (qg_conf_doc (conf), "perth-a")->state,
             static_cast<guint64> (QG_DC_OUT));
  EXPECT_NE (format (qg_conf_doc (conf)).find ("# south"), std::string::npos);
  out.id = "again";
  EXPECT_EQ (out.send (conf).revision, 3u) << "nothing changes";
  out.id = "typo";
  out.edit_section = "dc pert";
  EXPECT_EQ (out.send (conf).status, QG_E_NOT_FOUND);
  qg_conf_unref (conf);
}

TEST (Conf, ConflictListsSectionsThatChangedSinceTheBase)
{
  QgConf *conf = qg_conf_new ();
  set_weight ("c1", 0, 7, 1).send (conf);
  Change many;
  many.id = "many";
  for (int i = 0; i < 1000; i++)
    {
      std::string id = "workspace w" + std::to_string (i);
      many.sections.push_back ({ id, "[" + id + "]\nweight=2" });
    }
  EXPECT_EQ (many.send (conf).overlap, 1u);
  many.id = "again";
  many.base = 1;
  EXPECT_EQ (many.send (conf).revision, 2u);
  many.id = "nothing";
  many.base = 2;
  Result r = many.send (conf);
  EXPECT_EQ (r.revision, 2u);
  EXPECT_EQ (r.message, "nothing changes");
  qg_conf_unref (conf);
}

TEST (Conf, DamagedSnapshotLeavesStateUnchanged)
{
  QgConf *conf = qg_conf_new ();
  set_weight ("c1", 0, 1, 1).send (conf);
  Qg__ConfSnapshot *s = qg_conf_snapshot (conf);
  s->history[0]->revision = 7;
  EXPECT_EQ (qg_conf_restore (conf, s, NULL), QG_E_CORRUPT);
  EXPECT_EQ (qg_conf_revision (conf), 1u);
  qg__conf_snapshot__free_unpacked (s, NULL);
  qg_conf_unref (conf);
}

/* Three operators send changes based on the revision that each last saw, which
 * may be out of date. They send earlier changes again, as after a lost answer.
 * Between the changes, the state is restored from its snapshot, old revisions
 * are rebuilt, and followers catch up by deltas. */
RC_GTEST_PROP (Conf, RacingAndResendingOperators, ())
{
  QgConf *conf = qg_conf_new ();
  std::map<std::string, Result> first;
  std::vector<Change> sent;
  std::map<guint64, std::string> winner;  // change id by base
  std::map<guint64, std::string> text_at; // text by revision
  std::vector<QgDoc *> followers (3, nullptr);
  guint64 known[3] = { 0, 0, 0 };
  int steps = *rc::gen::inRange (1, 120);

  text_at[0] = format (qg_conf_doc (conf));
  for (auto &f : followers)
    f = qg_doc_new ();
  for (int i = 0; i < steps; i++)
    {
      int who = *rc::gen::inRange (0, 3);
      int what = *rc::gen::inRange (0, 10);
      guint64 before = qg_conf_revision (conf);
      if (what < 5)
        {
          Change c
              = set_weight ("c" + std::to_string (i), known[who],
                            *rc::gen::inRange (0, 4), *rc::gen::inRange (1, 4));
          c.who = "op" + std::to_string (who);
          Result r = c.send (conf);
          first[c.id] = r;
          sent.push_back (c);
          if (r.status == QG_OK && r.revision > before)
            {
              RC_ASSERT (r.revision == before + 1);
              RC_ASSERT (winner.count (c.base) == 0u);
              winner[c.base] = c.id;
              text_at[r.revision] = format (qg_conf_doc (conf));
            }
          else if (r.status == QG_E_CONFLICT)
            RC_ASSERT (c.base < before);
        }
      else if (what < 7 && !sent.empty ())
        {
          const Change &c = sent[*rc::gen::inRange<size_t> (0, sent.size ())];
          RC_ASSERT (c.send (conf) == first[c.id]);
          RC_ASSERT (qg_conf_revision (conf) == before);
        }
      else if (what == 7)
        {
          QgConf *next = restored (conf);
          qg_conf_unref (conf);
          conf = next;
        }
      else if (what == 8)
        {
          guint64 at = *rc::gen::inRange<guint64> (0, before + 1);
          QgDoc *old = qg_conf_doc_at (conf, at, NULL);
          bool found = old != nullptr;
          RC_ASSERT (found);
          RC_ASSERT (format (old) == text_at[at]);
          qg_doc_unref (old);
        }
      else
        {
          QgProblems problems;
          qg_problems_init (&problems, NULL);
          QgDelta *delta
              = qg_conf_delta (conf, qg_doc_revision (followers[who]));
          if (delta->to > qg_doc_revision (followers[who]))
            {
              QgDoc *next
                  = qg_doc_apply_delta (followers[who], delta, &problems);
              bool valid = next != nullptr;
              RC_ASSERT (valid);
              qg_doc_unref (followers[who]);
              followers[who] = next;
            }
          RC_ASSERT (format (followers[who]) == text_at[before]);
          qg_delta_unref (delta);
          qg_problems_clear (&problems);
          known[who] = before;
        }
      RC_ASSERT (qg_conf_revision (conf) >= before);
    }
  for (auto f : followers)
    qg_doc_unref (f);
  qg_conf_unref (conf);
}
