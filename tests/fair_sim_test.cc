#include "bench/fairsim.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace
{
SimOptions
small_fleet (guint seed)
{
  SimOptions o = {};
  o.seed = seed;
  o.spaces = 4;
  o.entries = 4;
  o.agents = 6;
  o.dcs = 3;
  o.slots = 4;
  o.cold_slots = 1;
  o.rate = 100;
  o.dc_delay = 8 * QG_MSEC;
  o.local_delay = QG_MSEC;
  o.interval = QG_SEC / 2;
  o.hint_error = 10;
  return o;
}

SimDemand
deep_demand (int space, int entries)
{
  SimDemand d = {};
  d.weight = 1;
  d.backlog = 20 + 10 * space;
  d.long_share = 0.1 * space;
  d.long_units = 1000;
  d.short_units = 60;
  d.main_entry = space % entries;
  d.on = TRUE;
  return d;
}

enum Fault
{
  AGENT_RESTART,
  ENTRY_RESTART,
  HUB_RESTART,
  HUB_LOSS,
  TARGET_RESET,
  PARTITION,
  DEMAND_TOGGLE,
  N_FAULTS
};

/* A simulation, and the faults so far that raise the bound on the gaps between
 * its workspaces. */
struct History
{
  Sim *sim;
  double hub_down_s = 0;  /* seconds without a hub */
  double partition_s = 0; /* seconds with a partition */
  int restarts = 0;       /* agent restarts; each loses unreported charges */

  explicit History (const SimOptions &o, const SimDemand *demand)
      : sim (sim_new (&o, demand))
  {
  }
  ~History () { sim_free (sim); }

  void
  run (double seconds)
  {
    sim_run (sim, sim->now + static_cast<QgTime> (seconds * QG_SEC));
    hub_down_s += sim->hub == nullptr ? seconds : 0;
    for (int d = 1; d < sim->o.dcs; d++)
      if (sim->cut[d] != sim->cut[0])
        {
          partition_s += seconds;
          break;
        }
  }

  void
  inject (int fault, int where)
  {
    int a = where % sim->o.agents;
    switch (fault)
      {
      case AGENT_RESTART:
        sim_agent_restart (sim, a);
        restarts++;
        break;
      case ENTRY_RESTART:
        sim_entry_restart (sim, where % sim->o.entries);
        break;
      case HUB_RESTART:
        sim_hub_restart (sim, TRUE);
        break;
      case HUB_LOSS:
        sim_hub_restart (sim, sim->hub == nullptr);
        break;
      case TARGET_RESET:
        sim_fail_runs (sim, a, QG_COLD_RESET);
        break;
      case PARTITION:
        sim->cut[where % sim->o.dcs] = !sim->cut[where % sim->o.dcs];
        sim_update_links (sim);
        break;
      default:
        sim->demand[where % sim->o.spaces].on
            = !sim->demand[where % sim->o.spaces].on;
      }
  }

  /* Bound G of docs/design/fair-share.md, plus a term for each fault counted
   * in this struct. */
  gint64
  bound (int w, int u) const
  {
    const SimOptions &o = sim->o;
    double age = 2e-6 * static_cast<double> (o.interval + o.dc_delay)
                 * (o.noise > 0 ? 8 : 1);
    double rate = o.agents * static_cast<double> (o.slots) * o.rate
                  * QG_FAIR_SCALE
                  / MIN (sim->demand[w].weight, sim->demand[u].weight);
    gint64 base = sim_bound (sim, w, u,
                             static_cast<QgTime> ((age + hub_down_s) * QG_SEC));
    gint64 lost = (sim->spaces[w].most_committed + sim->spaces[u].most_committed
                   + (gint64)(rate * age))
                  / o.agents;
    return base + static_cast<gint64> (rate * partition_s)
           + 2 * restarts * lost;
  }

  void
  expect_bounded () const
  {
    for (int w = 0; w < sim->o.spaces; w++)
      for (int u = 0; u < w; u++)
        RC_ASSERT (sim->gap[w][u] <= bound (w, u));
  }
};
}

RC_GTEST_PROP (FairSim, TheGapStaysBoundedUnderAnySequenceOfFaults, ())
{
  guint64 broken = qg_invariants_broken ();
  SimOptions o = small_fleet (*rc::gen::inRange (1u, 1000000u));
  SimDemand demand[SIM_MAX_WORKSPACES] = {};

  o.spaces = *rc::gen::inRange (2, 7);
  o.entries = *rc::gen::inRange (1, 9);
  o.agents = *rc::gen::inRange (1, 9);
  o.dcs = *rc::gen::inRange (1, 4);
  o.slots = *rc::gen::inRange (1u, 7u);
  o.noise = *rc::gen::elementOf (std::vector<double>{ 0, 0.05, 0.15 });
  for (int s = 0; s < o.spaces; s++)
    {
      demand[s] = deep_demand (s, o.entries);
      demand[s].weight = *rc::gen::inRange (1u, 5u);
      demand[s].main_entry = *rc::gen::inRange (-1, o.entries);
      if (*rc::gen::inRange (0, 4) == 0)
        demand[s].per_sec = *rc::gen::inRange (1, 20);
    }
  History h (o, demand);
  auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int> > > (
      rc::gen::tuple (rc::gen::inRange (0, (int)N_FAULTS),
                      rc::gen::inRange (0, 64), rc::gen::inRange (0, 12)));
  for (auto &[fault, where, seconds] : faults)
    {
      h.inject (fault, where);
      h.run (seconds);
    }
  h.run (30);
  h.expect_bounded ();
  RC_ASSERT (qg_invariants_broken () == broken);
}

/* Work conservation: while a request waits, no slot that may run the request
 * stays free for longer than the assignment messages take. */
RC_GTEST_PROP (FairSim, NoSlotStaysIdleWhileWorkWaits, ())
{
  SimOptions o = small_fleet (*rc::gen::inRange (1u, 1000000u));
  SimDemand demand[SIM_MAX_WORKSPACES] = {};

  o.spaces = *rc::gen::inRange (1, 6);
  o.entries = *rc::gen::inRange (1, 9);
  o.agents = *rc::gen::inRange (1, 9);
  for (int s = 0; s < o.spaces; s++)
    {
      demand[s] = deep_demand (s, o.entries);
      demand[s].backlog = *rc::gen::inRange (1, 60);
      demand[s].main_entry = *rc::gen::inRange (-1, o.entries);
    }
  History h (o, demand);
  for (int i = 0; i < 6; i++)
    {
      h.inject (*rc::gen::elementOf (
                    std::vector<int>{ AGENT_RESTART, ENTRY_RESTART, HUB_RESTART,
                                      TARGET_RESET, PARTITION, DEMAND_TOGGLE }),
                *rc::gen::inRange (0, 64));
      h.run (*rc::gen::inRange (1, 10));
    }
  RC_ASSERT (h.sim->worst_idle <= 6 * o.dc_delay + 3 * 50 * QG_MSEC);
}

TEST (FairSim, FirstComeFirstServedExceedsTheBoundOfFairScheduling)
{
  SimOptions o = small_fleet (7);
  SimDemand demand[SIM_MAX_WORKSPACES] = {};
  for (int s = 0; s < o.spaces; s++)
    demand[s] = deep_demand (s, o.entries);
  o.policy = SIM_LEAST_CONNECTIONS;
  History push (o, demand);
  push.run (900);
  EXPECT_GT (sim_worst_bound_ratio (push.sim, 2 * (o.interval + o.dc_delay)),
             1.0);
  o.policy = SIM_FAIR_SHARE;
  History ours (o, demand);
  ours.run (900);
  EXPECT_LT (sim_worst_bound_ratio (ours.sim, 2 * (o.interval + o.dc_delay)),
             0.5);
  EXPECT_GT (ours.sim->busy / ours.sim->capacity, 0.97);
}

/* Sends the same demand through 1, 4 and 16 entries. Half of the workspaces
 * send 4 of 5 requests to the first entry. The remaining workspaces use all
 * entries evenly. */
TEST (FairSim, TheGapDoesNotGrowWithTheNumberOfEntries)
{
  for (int entries : { 1, 4, 16 })
    {
      SimOptions o = small_fleet (11);
      SimDemand demand[SIM_MAX_WORKSPACES] = {};
      o.entries = entries;
      for (int s = 0; s < o.spaces; s++)
        {
          demand[s] = deep_demand (s, entries);
          demand[s].main_entry = s % 2 == 0 ? 0 : -1;
        }
      History h (o, demand);
      h.run (300);
      EXPECT_LT (sim_worst_bound_ratio (h.sim, 2 * (o.interval + o.dc_delay)),
                 0.5)
          << entries;
    }
}

/* Every workspace demands 0.8 of its share; then one workspace sends 100 times
 * as much. The other workspaces must lose no requests to a full queue, get the
 * service that they demand and keep short queues. */
TEST (FairSim, AFloodOfOneWorkspaceDoesNotDelayTheOthers)
{
  SimOptions o = small_fleet (13);
  SimDemand demand[SIM_MAX_WORKSPACES] = {};
  double share = o.agents * (double)o.slots * o.rate / o.spaces;
  for (int s = 0; s < o.spaces; s++)
    {
      demand[s] = deep_demand (s, o.entries);
      demand[s].long_share = 0;
      demand[s].per_sec = 0.8 * share / demand[s].short_units;
    }
  History calm (o, demand);
  calm.run (120);
  demand[0].per_sec *= 100;
  History flood (o, demand);
  flood.run (120);
  EXPECT_GT (flood.sim->spaces[0].refused, 1000);
  for (int s = 1; s < o.spaces; s++)
    {
      EXPECT_EQ (flood.sim->spaces[s].refused, 0);
      EXPECT_GT (flood.sim->spaces[s].served,
                 0.97 * flood.sim->spaces[s].arrived * demand[s].short_units
                     * 0.9);
      EXPECT_LT (flood.sim->spaces[s].waiting, 20u);
    }
}

/* A workspace that returns after 300 idle seconds gets no more extra service
 * than the bound allows. */
TEST (FairSim, IdleTimeEarnsNoCredit)
{
  SimOptions o = small_fleet (17);
  SimDemand demand[SIM_MAX_WORKSPACES] = {};
  for (int s = 0; s < o.spaces; s++)
    demand[s] = deep_demand (s, o.entries);
  demand[3].on = FALSE;
  History h (o, demand);
  h.run (300);
  gint64 before[SIM_MAX_WORKSPACES];
  for (int s = 0; s < o.spaces; s++)
    before[s] = h.sim->spaces[s].served;
  h.sim->demand[3].on = TRUE;
  h.run (60);
  gint64 gained = h.sim->spaces[3].served - before[3];
  gint64 others = h.sim->spaces[1].served - before[1];
  gint64 bound = sim_bound (h.sim, 3, 1, 2 * (o.interval + o.dc_delay));
  EXPECT_LE ((gained - others) * QG_FAIR_SCALE, bound / 2);
  /* Another workspace got more service than the bound in the idle time, so a
   * credit for that time would break the check above. */
  EXPECT_LT (bound / QG_FAIR_SCALE, before[1]);
}

/* Wrong size hints shift service between the classes of a workspace, not
 * between workspaces. */
TEST (FairSim, WrongHintsGainNoService)
{
  for (double error : { 1.0, 10.0, 1000.0 })
    {
      SimOptions o = small_fleet (19);
      SimDemand demand[SIM_MAX_WORKSPACES] = {};
      o.hint_error = error;
      for (int s = 0; s < o.spaces; s++)
        demand[s] = deep_demand (s, o.entries);
      History h (o, demand);
      h.run (300);
      EXPECT_LT (sim_worst_bound_ratio (h.sim, 2 * (o.interval + o.dc_delay)),
                 0.5);
    }
}
