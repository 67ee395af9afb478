#include "lib/event.h"
#include "lib/hub.h"
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace
{
/* Simulates agents and a hub. Encoded messages wait in pool, where the test
 * delivers, drops, repeats and reorders them. */
struct Fleet
{
  struct Message
  {
    int agent;
    guint64 incarnation;
    std::string bytes;
    bool is_report; /* false: the hub's answer */
  };

  QgHub *hub = nullptr;
  std::vector<QgFair *> agents;
  std::vector<guint64> incarnations;
  std::vector<Message> pool;
  std::map<std::string, gint64> charged; /* scaled units by workspace */
  QgTime now = QG_SEC;
  guint64 epoch = 0;
  guint64 starts = 0; /* agent starts so far; the latest incarnation */

  explicit Fleet (int n)
  {
    new_hub ();
    for (int i = 0; i < n; i++)
      {
        agents.push_back (nullptr);
        incarnations.push_back (0);
        restart (i);
      }
  }
  ~Fleet ()
  {
    qg_hub_unref (hub);
    for (auto *agent : agents)
      qg_fair_unref (agent);
  }

  void
  new_hub (guint max_items = 0)
  {
    QgHubOptions options = {};
    options.epoch = ++epoch;
    options.max_items = max_items;
    if (hub != nullptr)
      qg_hub_unref (hub);
    hub = qg_hub_new (&options);
  }

  void
  restart (int agent)
  {
    QgFairOptions options = {};
    options.service = "s";
    if (agents[agent] != nullptr)
      qg_fair_unref (agents[agent]);
    agents[agent] = qg_fair_new (&options);
    incarnations[agent] = ++starts;
  }

  void
  charge (int agent, const char *workspace, gint64 units)
  {
    QgFairJob *job = qg_fair_start_on_credit (agents[agent], now, workspace,
                                              QG_CLASS_SHORT);
    qg_fair_end (agents[agent], now, job, units);
    charged[workspace] += units * QG_FAIR_SCALE;
  }

  void
  report (int agent)
  {
    Qg__FairReport report;
    now += QG_SEC;
    if (!qg_fair_report (agents[agent], now, &report))
      return;
    std::string bytes (qg__fair_report__get_packed_size (&report), 0);
    qg__fair_report__pack (&report, (uint8_t *)bytes.data ());
    pool.push_back ({ agent, incarnations[agent], bytes, true });
  }

  /* Delivers a copy of message @a i of the pool, and adds the answer to the
   * pool. */
  void
  deliver (size_t i)
  {
    Message m = pool[i];
    const uint8_t *data = (const uint8_t *)m.bytes.data ();
    if (m.is_report)
      {
        auto *report = qg__fair_report__unpack (nullptr, m.bytes.size (), data);
        auto *totals = qg_hub_report (
            hub, now, std::to_string (m.agent).c_str (), m.incarnation, report);
        if (totals != nullptr)
          {
            std::string bytes (qg__fair_totals__get_packed_size (totals), 0);
            qg__fair_totals__pack (totals, (uint8_t *)bytes.data ());
            pool.push_back ({ m.agent, m.incarnation, bytes, false });
          }
        qg__fair_report__free_unpacked (report, nullptr);
      }
    else if (m.incarnation == incarnations[m.agent])
      {
        auto *totals = qg__fair_totals__unpack (nullptr, m.bytes.size (), data);
        if (qg_fair_totals (agents[m.agent], now, totals))
          report (m.agent);
        qg__fair_totals__free_unpacked (totals, nullptr);
      }
  }

  /* Every agent reports in three rounds without message faults, after which the
   * hub and all agents agree. */
  void
  settle ()
  {
    pool.clear ();
    for (int round = 0; round < 3; round++)
      for (size_t a = 0; a < agents.size (); a++)
        {
          report (a);
          while (!pool.empty ())
            {
              deliver (0);
              pool.erase (pool.begin ());
            }
        }
  }
};

const char *const names[] = { "a", "b", "c", "d" };
}

/* Lost, repeated and reordered messages must neither lose a charge nor count
 * it twice. */
RC_GTEST_PROP (Hub, LostRepeatedAndReorderedMessagesKeepTheSum, ())
{
  Fleet fleet (3);
  fleet.new_hub (*rc::gen::inRange (1u, 5u)); /* a low limit splits answers */

  for (int step :
       *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 600)))
    {
      int agent = step % 3;
      size_t i = fleet.pool.empty () ? 0 : step / 6 % fleet.pool.size ();
      switch (step / 3 % 6)
        {
        case 0:
        case 1:
          fleet.charge (agent, names[step / 18 % 4], 1 + step);
          break;
        case 2:
          fleet.report (agent);
          break;
        case 3:
        case 4:
          if (!fleet.pool.empty ())
            fleet.deliver (i);
          break;
        default:
          if (!fleet.pool.empty ())
            fleet.pool.erase (fleet.pool.begin () + (long)i);
        }
    }
  fleet.settle ();
  for (auto &[name, sum] : fleet.charged)
    {
      RC_ASSERT (qg_hub_counter (fleet.hub, "s", name.c_str ()) == sum);
      for (auto *agent : fleet.agents)
        RC_ASSERT (qg_fair_counter (agent, name.c_str ()) == sum);
    }
}

/* An empty hub may replace the current hub at any time. After the replacement,
 * only charges that the old hub had not confirmed may be counted wrongly. An
 * agent restart loses no charge that the hub and the other agents hold. */
RC_GTEST_PROP (Hub, AnEmptyHubIsRebuiltFromTheAgents, ())
{
  Fleet fleet (3);
  gint64 slack = 0;
  /* The hub and all agents hold all counters, so one agent may restart. */
  bool replicated = true;

  for (int step :
       *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 300)))
    {
      int agent = step % 3;
      switch (step / 3 % 8)
        {
        case 0:
        case 1:
        case 2:
          fleet.charge (agent, names[step / 24 % 4], 1 + step);
          slack += (1 + step) * QG_FAIR_SCALE;
          break;
        case 3:
          fleet.report (agent);
          break;
        case 4:
          if (!fleet.pool.empty ())
            fleet.deliver (step / 24 % fleet.pool.size ());
          break;
        case 5:
          fleet.settle ();
          slack = 0; /* all charges are confirmed */
          replicated = true;
          break;
        case 6:
          fleet.new_hub ();
          replicated = false;
          break;
        default:
          if (slack == 0 && replicated)
            fleet.restart (agent);
          replicated = false;
        }
      if (step / 3 % 8 == 6 && slack > 0)
        {
          /* Charges that were unconfirmed when the hub was lost may count
           * twice, or not at all if another agent reports a higher base.
           * The test continues with the counters that result. */
          std::map<std::string, gint64> before = fleet.charged;
          fleet.settle ();
          for (auto &[name, sum] : before)
            {
              gint64 got = qg_hub_counter (fleet.hub, "s", name.c_str ());
              RC_ASSERT (got >= sum - slack && got <= sum + slack);
              fleet.charged[name] = got;
            }
          slack = 0;
          replicated = true;
        }
    }
  fleet.settle ();
  for (auto &[name, sum] : fleet.charged)
    RC_ASSERT (qg_hub_counter (fleet.hub, "s", name.c_str ()) == sum);
}

TEST (Hub, RaisesAReturningWorkspaceOnceForAllAgents)
{
  Fleet fleet (2);
  guint entry[2];
  for (int a = 0; a < 2; a++)
    entry[a] = qg_fair_entry_up (fleet.agents[a], TRUE);
  for (int a = 0; a < 2; a++)
    qg_fair_offer (fleet.agents[a], fleet.now, entry[a], "old", QG_CLASS_SHORT,
                   9);
  fleet.charge (0, "old", 50000);
  fleet.settle ();
  EXPECT_EQ (qg_hub_floor (fleet.hub, "s"), 50000 * QG_FAIR_SCALE);
  EXPECT_EQ (qg_hub_backlogged (fleet.hub, "s"), 1u);
  for (int a = 0; a < 2; a++)
    qg_fair_offer (fleet.agents[a], fleet.now, entry[a], "new", QG_CLASS_SHORT,
                   9);
  EXPECT_EQ (qg_fair_counter (fleet.agents[1], "new"), 50000 * QG_FAIR_SCALE);
  fleet.settle ();
  EXPECT_EQ (qg_hub_counter (fleet.hub, "s", "new"), 50000 * QG_FAIR_SCALE);
  for (auto *agent : fleet.agents)
    EXPECT_EQ (qg_fair_counter (agent, "new"), 50000 * QG_FAIR_SCALE);
  EXPECT_EQ (qg_hub_backlogged (fleet.hub, "s"), 2u);
}

/* Two agents raise the same counter, and the hub learns of one raise. The agent
 * whose raise is not reported yet must not add the hub's raise to its own. */
TEST (Hub, ACounterIsNotRaisedTwice)
{
  Fleet fleet (2);
  guint entry[2];
  for (int a = 0; a < 2; a++)
    {
      entry[a] = qg_fair_entry_up (fleet.agents[a], TRUE);
      qg_fair_offer (fleet.agents[a], fleet.now, entry[a], "old",
                     QG_CLASS_SHORT, 9);
    }
  fleet.charge (0, "old", 50000);
  fleet.settle ();
  fleet.report (1);
  for (int a = 0; a < 2; a++)
    qg_fair_offer (fleet.agents[a], fleet.now, entry[a], "new", QG_CLASS_SHORT,
                   9);
  fleet.report (0);
  fleet.deliver (1); /* agent 0's report, answered by message 2 */
  fleet.deliver (0); /* agent 1's report, answered by message 3 */
  fleet.deliver (3);
  EXPECT_EQ (qg_fair_counter (fleet.agents[1], "new"), 50000 * QG_FAIR_SCALE);
}

TEST (Hub, AnExpiredAgentKeepsItsChargesButNotItsBacklog)
{
  Fleet fleet (2);
  guint entry = qg_fair_entry_up (fleet.agents[0], TRUE);
  qg_fair_offer (fleet.agents[0], fleet.now, entry, "a", QG_CLASS_SHORT, 1);
  fleet.charge (0, "a", 700);
  fleet.settle ();
  EXPECT_EQ (qg_hub_agents (fleet.hub, "s"), 2u);
  fleet.now += 60 * QG_SEC;
  qg_hub_expire (fleet.hub, fleet.now);
  EXPECT_EQ (qg_hub_agents (fleet.hub, "s"), 0u);
  EXPECT_EQ (qg_hub_backlogged (fleet.hub, "s"), 0u);
  EXPECT_EQ (qg_hub_counter (fleet.hub, "s", "a"), 700 * QG_FAIR_SCALE);
  fleet.settle ();
  EXPECT_EQ (qg_hub_agents (fleet.hub, "s"), 2u);
  EXPECT_EQ (qg_hub_backlogged (fleet.hub, "s"), 1u);
  EXPECT_EQ (qg_hub_counter (fleet.hub, "s", "a"), 700 * QG_FAIR_SCALE);
}
