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

struct Result
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

  Result
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

  Result
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

  Result
  report_gone (const std::string &agent, guint64 incarnation)
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
  Result
  apply (Qg__ClaimCommand &c)
  {
    Qg__ClaimResult r;
    c.now_us = now;
    EXPECT_EQ (qg_claim_apply (claims, &c, &r), QG_OK);
    return { r.verdict, r.agent, r.incarnation, r.changed != 0 };
  }
};

/* A simple reference model of the guarantees in claim.h. */
struct Row
{
  int state, body; /* state is a Verdict; STALE means released */
  std::string agent;
  guint64 incarnation, seq;
  QgTime state_since;
};

struct AgentRecord
{
  guint64 highest_seq;
  QgTime idle_since; /* -1 while the agent has rows */
};

struct Model
{
  std::map<Key, Row> rows;
  QgTime retention, released_retention;
  std::map<std::pair<std::string, guint64>, AgentRecord> agents;

  bool
  has_rows (const std::pair<std::string, guint64> &agent)
  {
    for (auto &[key, row] : rows)
      if (row.agent == agent.first && row.incarnation == agent.second)
        return true;
    return false;
  }

  void
  expire (QgTime now)
  {
    for (auto it = rows.begin (); it != rows.end ();)
      {
        QgTime limit
            = it->second.state == STALE ? released_retention : retention;
        bool expired = it->second.state != RUNNING
                       && now - it->second.state_since >= limit;
        it = expired ? rows.erase (it) : std::next (it);
      }
    update_idle (now);
    for (auto it = agents.begin (); it != agents.end ();)
      it = it->second.idle_since >= 0
                   && now - it->second.idle_since >= released_retention
               ? agents.erase (it)
               : std::next (it);
  }

  void
  update_idle (QgTime now)
  {
    for (auto &[agent, record] : agents)
      if (has_rows (agent))
        record.idle_since = -1;
      else if (record.idle_since < 0)
        record.idle_since = now;
  }

  Row *
  find (const Key &k)
  {
    auto it = rows.find (k);
    return it == rows.end () ? nullptr : &it->second;
  }

  int
  take (const Key &k, const Row &claim, QgTime now)
  {
    Row *row = find (k);
    AgentRecord &record
        = agents.insert ({ { claim.agent, claim.incarnation }, { 0, now } })
              .first->second;
    bool late = claim.seq <= record.highest_seq;
    record.highest_seq = std::max (record.highest_seq, claim.seq);
    if (!has_rows ({ claim.agent, claim.incarnation }))
      record.idle_since = now;
    bool same = row != nullptr && row->agent == claim.agent
                && row->incarnation == claim.incarnation
                && row->seq == claim.seq;
    if (late && !same)
      return STALE;
    if (row == nullptr || (row->state == STALE && !same))
      {
        rows[k] = claim;
        return GRANTED;
      }
    if (row->state != STALE && row->body != claim.body)
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
    Table table (options), replica (options);
    Model model{ {}, options.retention, options.released_retention, {} };
    guint64 next_seq = 1;
    int steps = *rc::gen::inRange (1, 400);

    for (int i = 0; i < steps; i++)
      {
        Key k{ *rc::gen::element<std::string> ("w1", "w2"),
               *rc::gen::element<std::string> ("a", "b", "c") };
        std::string agent = *rc::gen::element<std::string> ("x", "y");
        guint64 incarnation = *rc::gen::inRange (1, 3);
        /* A new claim, or a late duplicate of one of the last three claims. */
        guint64 distance = *rc::gen::inRange (0, 4);
        guint64 seq = distance == 0 || next_seq <= distance
                          ? next_seq++
                          : next_seq - distance;
        int body = *rc::gen::weightedElement<int> ({ { 5, 1 }, { 1, 2 } });
        int action = *rc::gen::inRange (0, 10);
        QgTime now = table.now += *rc::gen::inRange<QgTime> (0, 40 * QG_SEC);
        replica.now = now;
        if (action < 9)
          model.expire (now);
        if (action < 5)
          {
            Row claim{ RUNNING, body, agent, incarnation, seq, now };
            Result got = table.take (k, agent, incarnation, seq, body);
            RC_ASSERT (got.verdict == model.take (k, claim, now));
            replica.take (k, agent, incarnation, seq, body);
          }
        else if (action < 8)
          {
            bool released = *rc::gen::arbitrary<bool> ();
            Row *row = model.find (k);
            bool expect = row != nullptr && row->agent == agent
                          && row->incarnation == incarnation && row->seq == seq
                          && (row->state == RUNNING || row->state == UNKNOWN);
            if (expect)
              {
                row->state = released ? STALE : DONE;
                row->state_since = now;
              }
            if (row == nullptr && released)
              {
                model.rows[k] = { STALE, 0, agent, incarnation, seq, now };
                AgentRecord &record
                    = model.agents
                          .insert ({ { agent, incarnation }, { 0, -1 } })
                          .first->second;
                record.highest_seq = std::max (record.highest_seq, seq);
              }
            Result got = table.settle (k, agent, incarnation, seq, released);
            RC_ASSERT (got.changed == expect);
            replica.settle (k, agent, incarnation, seq, released);
          }
        else if (action < 9)
          {
            for (auto &[key, row] : model.rows)
              if (row.state == RUNNING && row.agent == agent
                  && row.incarnation == incarnation)
                {
                  row.state = UNKNOWN;
                  row.state_since = now;
                }
            table.report_gone (agent, incarnation);
            replica.report_gone (agent, incarnation);
          }
        else
          RC_ASSERT (replica.restore (table.snapshot ()) == QG_OK);
        model.update_idle (now);
        RC_ASSERT (table.snapshot () == replica.snapshot ());
      }
    RC_ASSERT (qg_event_count (QG_EV_INV_CLAIM) == 0u);
  }));
}

TEST (Claim, SettledKeyIsGrantedAgainOnlyAfterRetention)
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

TEST (Claim, BackwardClockStepDoesNotShortenRetention)
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

TEST (Claim, FullWorkspaceIsRefusedAndOthersAreNot)
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

TEST (Claim, LateReleaseOfAnEarlierClaimDoesNotFreeTheNextOne)
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

TEST (Claim, ClaimThatArrivesAfterItsReleaseIsNotGranted)
{
  Table t;
  Key k{ "w", "k" };
  t.settle (k, "x", 1, 1, true);
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, GRANTED);
}

TEST (Claim, DisconnectedHolderCanStillSettleItsClaim)
{
  Table t;
  Key k{ "w", "k" };
  gconstpointer cursor = nullptr;
  QgClaimHolder holder;
  t.take (k, "x", 7, 1);
  EXPECT_TRUE (qg_claim_next_holder (t.claims, &cursor, &holder));
  EXPECT_EQ (holder.incarnation, 7u);
  EXPECT_FALSE (qg_claim_next_holder (t.claims, &cursor, &holder));
  t.report_gone ("x", 7);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, UNKNOWN);
  EXPECT_TRUE (t.settle (k, "x", 7, 1, false).changed);
  EXPECT_EQ (t.take (k, "y", 1, 2).agent, "x");
  t.report_gone ("x", 7);
  EXPECT_EQ (t.take (k, "y", 1, 3).verdict, DONE);
  /* The result names no holder, as the answer is no longer available. */
  EXPECT_EQ (t.take (k, "y", 1, 4).agent, "");
}

TEST (Claim, HolderReportedGoneThatNeverSawItsGrantCanReleaseTheKey)
{
  Table t;
  Key k{ "w", "k" };
  t.take (k, "x", 1, 1);  /* the grant does not reach x */
  t.report_gone ("x", 1); /* x was only disconnected, and asks again */
  EXPECT_EQ (t.take (k, "x", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, UNKNOWN);
  EXPECT_TRUE (t.settle (k, "x", 1, 1, true).changed);
  EXPECT_EQ (t.take (k, "y", 1, 2).verdict, GRANTED);
}

TEST (Claim, DuplicateOfARefusedClaimIsNotGrantedLater)
{
  Table t;
  Key k{ "w", "k" };
  t.take (k, "x", 1, 1);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, RUNNING); /* refused */
  t.settle (k, "x", 1, 1, true);
  EXPECT_EQ (t.take (k, "y", 1, 1).verdict, STALE);
  EXPECT_EQ (t.take (k, "y", 1, 2).verdict, GRANTED);
}

TEST (Claim, CorruptSnapshotIsRefused)
{
  Table t;
  t.take ({ "w", "k" }, "x", 1, 1);
  std::string good = t.snapshot ();
  EXPECT_EQ (t.restore (good.substr (0, good.size () - 3)), QG_E_CORRUPT);
  EXPECT_EQ (t.restore (good + good), QG_E_CORRUPT); /* has each row twice */
  EXPECT_EQ (t.snapshot (), good);
}
