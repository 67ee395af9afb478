#include "lib/claim.h"
#include "lib/event.h"
#include <gtest/gtest.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <tuple>

namespace
{

enum Verdict
{
  GRANTED = QG__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED,
  RUNNING = QG__CLAIM_VERDICT__CLAIM_VERDICT_RUNNING,
  DONE = QG__CLAIM_VERDICT__CLAIM_VERDICT_DONE,
  UNKNOWN = QG__CLAIM_VERDICT__CLAIM_VERDICT_UNKNOWN,
  MISMATCH = QG__CLAIM_VERDICT__CLAIM_VERDICT_MISMATCH,
  FULL = QG__CLAIM_VERDICT__CLAIM_VERDICT_FULL,
  STALE = QG__CLAIM_VERDICT__CLAIM_VERDICT_STALE
};

struct Key
{
  std::string workspace, key;
  bool
  operator<(const Key &o) const
  {
    return std::tie (workspace, key) < std::tie (o.workspace, o.key);
  }
};

struct Answer
{
  int verdict;
  std::string agent;
  guint64 incarnation;
  bool changed;
};

class Table
{
public:
  explicit Table (QgClaimOptions options = {})
      : claims (qg_claim_new (&options)), now (0)
  {
    qg_event_set_level (QG_SEV_ERROR);
  }
  ~Table () { qg_claim_unref (claims); }

  Answer
  take (const Key &k, const std::string &agent, guint64 incarnation,
        guint64 seq, int body = 1)
  {
    guint8 hash[32] = { static_cast<guint8> (body) };
    Qg__ClaimTake take = QG__CLAIM_TAKE__INIT;
    Qg__ClaimCommand c = QG__CLAIM_COMMAND__INIT;
    take.workspace = const_cast<char *> (k.workspace.c_str ());
    take.service = const_cast<char *> ("bookings");
    take.key = const_cast<char *> (k.key.c_str ());
    take.agent = const_cast<char *> (agent.c_str ());
    take.address = const_cast<char *> ("127.0.0.1:9");
    take.incarnation = incarnation;
    take.seq = seq;
    take.body_hash = { sizeof hash, hash };
    c.kind_case = QG__CLAIM_COMMAND__KIND_TAKE;
    c.take = &take;
    return apply (c);
  }

  Answer
  settle (const Key &k, const std::string &agent, guint64 incarnation,
          guint64 seq, bool released)
  {
    Qg__ClaimSettle settle = QG__CLAIM_SETTLE__INIT;
    Qg__ClaimCommand c = QG__CLAIM_COMMAND__INIT;
    settle.workspace = const_cast<char *> (k.workspace.c_str ());
    settle.service = const_cast<char *> ("bookings");
    settle.key = const_cast<char *> (k.key.c_str ());
    settle.agent = const_cast<char *> (agent.c_str ());
    settle.incarnation = incarnation;
    settle.seq = seq;
    settle.released = released;
    c.kind_case = QG__CLAIM_COMMAND__KIND_SETTLE;
    c.settle = &settle;
    return apply (c);
  }

  Answer
  gone (const std::string &agent, guint64 incarnation)
  {
    Qg__ClaimHolderGone gone = QG__CLAIM_HOLDER_GONE__INIT;
    Qg__ClaimCommand c = QG__CLAIM_COMMAND__INIT;
    gone.agent = const_cast<char *> (agent.c_str ());
    gone.incarnation = incarnation;
    c.kind_case = QG__CLAIM_COMMAND__KIND_HOLDER_GONE;
    c.holder_gone = &gone;
    return apply (c);
  }

  std::string
  snapshot () const
  {
    gsize size;
    GBytes *bytes = qg_claim_snapshot (claims);
    const char *data
        = static_cast<const char *> (g_bytes_get_data (bytes, &size));
    std::string out (data == nullptr ? "" : data, size);
    g_bytes_unref (bytes);
    return out;
  }

  QgStatus
  restore (const std::string &bytes)
  {
    return qg_claim_restore (claims, bytes.data (), bytes.size (), nullptr);
  }

  QgClaims *claims;
  QgTime now;

private:
  Answer
  apply (Qg__ClaimCommand &c)
  {
    Qg__ClaimResult r;
    c.now_us = now;
    EXPECT_EQ (qg_claim_apply (claims, &c, &r), QG_OK);
    return { r.verdict, r.agent, r.incarnation, r.changed != 0 };
  }
};

/* The plain reading of the promises, key by key. */
struct Row
{
  int state, body;
  std::string agent;
  guint64 incarnation, seq;
  QgTime at;
};

struct Asker
{
  guint64 latest;
  QgTime idle_at; /* -1: it holds something */
};

struct Model
{
  std::map<Key, Row> rows;
  QgTime retention, released;
  std::map<std::pair<std::string, guint64>, Asker> askers;

  bool
  holds (const std::pair<std::string, guint64> &who)
  {
    for (auto &[key, row] : rows)
      if (row.agent == who.first && row.incarnation == who.second)
        return true;
    return false;
  }

  void
  expire (QgTime now)
  {
    for (auto it = rows.begin (); it != rows.end ();)
      {
        QgTime kept = it->second.state == STALE ? released : retention;
        bool old = it->second.state != RUNNING && now - it->second.at >= kept;
        it = old ? rows.erase (it) : std::next (it);
      }
    note (now);
    for (auto it = askers.begin (); it != askers.end ();)
      it = it->second.idle_at >= 0 && now - it->second.idle_at >= released
               ? askers.erase (it)
               : std::next (it);
  }

  void
  note (QgTime now)
  {
    for (auto &[who, asker] : askers)
      if (holds (who))
        asker.idle_at = -1;
      else if (asker.idle_at < 0)
        asker.idle_at = now;
  }

  Row *
  find (const Key &k)
  {
    auto it = rows.find (k);
    return it == rows.end () ? nullptr : &it->second;
  }

  int
  take (const Key &k, const Row &ask, QgTime now)
  {
    Row *row = find (k);
    Asker &asker
        = askers.insert ({ { ask.agent, ask.incarnation }, { 0, now } })
              .first->second;
    bool late = ask.seq <= asker.latest;
    asker.latest = std::max (asker.latest, ask.seq);
    if (!holds ({ ask.agent, ask.incarnation }))
      asker.idle_at = now; /* seen just now */
    bool same = row != nullptr && row->agent == ask.agent
                && row->incarnation == ask.incarnation && row->seq == ask.seq;
    if (late && !same)
      return STALE;
    if (row == nullptr || (row->state == STALE && !same))
      {
        rows[k] = ask;
        return GRANTED;
      }
    if (row->state != STALE && row->body != ask.body)
      return MISMATCH;
    if (row->state == RUNNING && same)
      return GRANTED;
    if (row->state == UNKNOWN && same)
      return STALE;
    return row->state;
  }
};

} // namespace

TEST (Claim, FollowsTheModelThroughRestartsAndDuplicates)
{
  EXPECT_TRUE (rc::check ("claims", [] {
    QgClaimOptions options = {};
    options.retention = 1000 * QG_SEC;
    options.released_retention = 100 * QG_SEC;
    Table one (options), two (options);
    Model model{ {}, options.retention, options.released_retention, {} };
    guint64 next = 1;
    int steps = *rc::gen::inRange (1, 400);

    for (int i = 0; i < steps; i++)
      {
        Key k{ *rc::gen::element<std::string> ("w1", "w2"),
               *rc::gen::element<std::string> ("a", "b", "c") };
        std::string agent = *rc::gen::element<std::string> ("x", "y");
        guint64 incarnation = *rc::gen::inRange (1, 3);
        /* of a new claim, or a late repeat of an earlier one */
        guint64 back = *rc::gen::inRange (0, 4);
        guint64 seq = back == 0 || next <= back ? next++ : next - back;
        int body = *rc::gen::weightedElement<int> ({ { 5, 1 }, { 1, 2 } });
        int step = *rc::gen::inRange (0, 10);
        QgTime now = one.now += *rc::gen::inRange<QgTime> (0, 40 * QG_SEC);
        two.now = now;
        if (step < 9)
          model.expire (now);
        if (step < 5)
          {
            Row ask{ RUNNING, body, agent, incarnation, seq, now };
            Answer got = one.take (k, agent, incarnation, seq, body);
            RC_ASSERT (got.verdict == model.take (k, ask, now));
            two.take (k, agent, incarnation, seq, body);
          }
        else if (step < 8)
          {
            bool released = *rc::gen::arbitrary<bool> ();
            Row *row = model.find (k);
            bool expect = row != nullptr && row->agent == agent
                          && row->incarnation == incarnation && row->seq == seq
                          && (row->state == RUNNING || row->state == UNKNOWN);
            if (expect)
              {
                row->state = released ? STALE : DONE;
                row->at = now;
              }
            if (row == nullptr && released)
              {
                model.rows[k] = { STALE, 0, agent, incarnation, seq, now };
                Asker &asker
                    = model.askers
                          .insert ({ { agent, incarnation }, { 0, -1 } })
                          .first->second;
                asker.latest = std::max (asker.latest, seq);
              }
            Answer got = one.settle (k, agent, incarnation, seq, released);
            RC_ASSERT (got.changed == expect);
            two.settle (k, agent, incarnation, seq, released);
          }
        else if (step < 9)
          {
            for (auto &[key, row] : model.rows)
              if (row.state == RUNNING && row.agent == agent
                  && row.incarnation == incarnation)
                {
                  row.state = UNKNOWN;
                  row.at = now;
                }
            one.gone (agent, incarnation);
            two.gone (agent, incarnation);
          }
        else
          RC_ASSERT (two.restore (one.snapshot ()) == QG_OK);
        model.note (now);
        RC_ASSERT (one.snapshot () == two.snapshot ());
      }
    RC_ASSERT (qg_event_count (QG_EV_INV_CLAIM) == 0u);
  }));
}

TEST (Claim, ASettledKeyRunsAgainOnlyAfterItsRetention)
{
  Table t;
  Key k{ "w", "order-1" };
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, GRANTED);
  t.now = 10 * QG_CLAIM_RETENTION; /* a running claim does not expire */
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, RUNNING);
  EXPECT_TRUE (t.settle (k, "x", 1, 1, false).changed);
  t.now += QG_CLAIM_RETENTION - 1;
  EXPECT_EQ (t.take (k, "y", 1, 2).verdict, DONE);
  t.now += 1;
  EXPECT_EQ (t.take (k, "y", 1, 3).verdict, GRANTED);
}

TEST (Claim, AClockThatGoesBackShortensNoRetention)
{
  Table t;
  Key k{ "w", "k" };
  t.now = 2 * QG_CLAIM_RETENTION;
  t.take (k, "x", 1, 1);
  t.now = 0;
  t.settle (k, "x", 1, 1, false);
  t.now = 2 * QG_CLAIM_RETENTION + 1;
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, DONE);
}

TEST (Claim, AFullWorkspaceIsRefusedAndOthersAreNot)
{
  QgClaimOptions options = {};
  options.per_workspace = 2;
  Table t (options);
  EXPECT_EQ (t.take ({ "w", "1" }, "x", 1, 1).verdict, GRANTED);
  EXPECT_EQ (t.take ({ "w", "2" }, "x", 1, 2).verdict, GRANTED);
  EXPECT_EQ (t.take ({ "w", "3" }, "x", 1, 3).verdict, FULL);
  EXPECT_EQ (t.take ({ "w", "1" }, "y", 1, 1).verdict, RUNNING);
  EXPECT_EQ (t.take ({ "v", "1" }, "x", 1, 4).verdict, GRANTED);
  t.settle ({ "w", "1" }, "x", 1, 1, true);
  EXPECT_EQ (t.take ({ "w", "3" }, "x", 1, 5).verdict, GRANTED);
}

TEST (Claim, ALateReleaseOfAnEarlierClaimFreesNotTheNextOne)
{
  Table t;
  Key k{ "w", "k" };
  t.take (k, "x", 1, 1);
  t.settle (k, "x", 1, 1, true);
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "x", 1, 2).verdict, GRANTED);
  EXPECT_FALSE (t.settle (k, "x", 1, 1, true).changed);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, RUNNING);
}

TEST (Claim, AClaimThatComesAfterItWasGivenUpIsNotGranted)
{
  Table t;
  Key k{ "w", "k" };
  t.settle (k, "x", 1, 1, true);
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, GRANTED);
}

TEST (Claim, AHolderThatWasOnlyCutOffMaySayHowItEnded)
{
  Table t;
  Key k{ "w", "k" };
  gconstpointer cursor = nullptr;
  QgClaimHolder holder;
  t.take (k, "x", 7, 1);
  EXPECT_TRUE (qg_claim_next_holder (t.claims, &cursor, &holder));
  EXPECT_EQ (holder.incarnation, 7u);
  EXPECT_FALSE (qg_claim_next_holder (t.claims, &cursor, &holder));
  t.gone ("x", 7);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, UNKNOWN);
  EXPECT_TRUE (t.settle (k, "x", 7, 1, false).changed);
  EXPECT_EQ (t.take (k, "y", 1, 2).agent, "x");
  t.gone ("x", 7);
  EXPECT_EQ (t.take (k, "y", 1, 3).verdict, DONE);
  EXPECT_EQ (t.take (k, "y", 1, 4).agent, ""); /* the answer is lost */
}

TEST (Claim, AHolderThatLostItsGrantAndWasTakenForGoneFreesTheKey)
{
  Table t;
  Key k{ "w", "k" };
  t.take (k, "x", 1, 1); /* the answer is lost */
  t.gone ("x", 1);       /* it was only cut off, and asks again */
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, UNKNOWN);
  EXPECT_TRUE (t.settle (k, "x", 1, 1, true).changed);
  EXPECT_EQ (t.take (k, "y", 1, 2).verdict, GRANTED);
}

TEST (Claim, ARepeatOfARefusedClaimIsNotGrantedLater)
{
  Table t;
  Key k{ "w", "k" };
  t.take (k, "x", 1, 1);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, RUNNING); /* y gives it up */
  t.settle (k, "x", 1, 1, true);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 2).verdict, GRANTED);
}

TEST (Claim, ASpoiltSnapshotIsRefused)
{
  Table t;
  t.take ({ "w", "k" }, "x", 1, 1);
  std::string good = t.snapshot ();
  EXPECT_EQ (t.restore (good.substr (0, good.size () - 3)), QG_E_CORRUPT);
  EXPECT_EQ (t.restore (good + good), QG_E_CORRUPT); /* every row twice */
  EXPECT_EQ (t.snapshot (), good);
}
