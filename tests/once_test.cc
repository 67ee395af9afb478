#include "lib/event.h"
#include "tests/once_sim.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace once_sim
{

/* One of the things that can happen next, chosen by chance. */
void
World::step ()
{
  int e = below (n_entries), a = below (n_agents);
  Link &l = links[e][a];
  now += 10 * QG_MSEC;
  switch (below (8))
    {
    case 0:
      for (auto &[id, c] : entries[e].calls)
        if (c.state == Call::QUEUED)
          {
            dispatch (e, id, a);
            break;
          }
      break;
    case 1:
    case 2:
      if (!l.to_agent.empty ())
        {
          Message m = l.to_agent.front ();
          l.to_agent.pop_front ();
          if (m.kind == Kind::ASSIGN)
            agent_assign (e, a, m);
          else
            agent_attach (e, a, m);
        }
      break;
    case 3:
    case 4:
      if (!l.to_entry.empty ())
        {
          Message m = l.to_entry.front ();
          l.to_entry.pop_front ();
          entry_take (e, a, m);
        }
      break;
    case 5:
      if (!log.empty ())
        {
          size_t at = below (static_cast<unsigned> (log.size ()));
          Command c = log[at];
          if (below (4) != 0) /* else it comes twice */
            log.erase (log.begin () + static_cast<long> (at));
          apply (c);
        }
      else
        ask_again (a);
      break;
    case 6:
      for (auto &[answer, job] : agents[a].jobs)
        if (job.running && qg_answer_may_read (answer))
          {
            work (a, answer);
            break;
          }
      break;
    default:
      l.up = true;
      for (auto &[id, c] : entries[e].calls)
        if (c.state == Call::WAITING
            && (links[e][c.agent].up || below (4) == 0))
          {
            waited (e, id);
            break;
          }
      if (below (4) == 0)
        sweep_holders ();
    }
}

void
World::random_fault ()
{
  int e = below (n_entries), a = below (n_agents);
  switch (below (6))
    {
    case 0:
      restart_agent (a);
      break;
    case 1:
      restart_entry (e);
      break;
    case 2:
      change_leader ();
      break;
    default:
      break_link (e, a);
    }
}

} // namespace once_sim

using namespace once_sim;

namespace
{

void
check_told (const World &w)
{
  for (auto &[key, runs] : w.executions)
    RC_ASSERT (runs.size () <= 1u); /* at most once */
  for (const Told &t : w.told)
    {
      auto runs = w.executions.find (t.key);
      bool ran = runs != w.executions.end ();
      /* whole answers, of the very work */
      bool whole = !t.answered
                   || (ran && t.answer == World::whole_of (t.key)
                       && runs->second[0].body == t.body);
      RC_ASSERT (whole);
      /* "ran" is true */
      bool truthful = t.run != QG_OUTCOME_RAN || ran;
      RC_ASSERT (truthful);
    }
}

void
settle_down (World &w)
{
  w.faults = false;
  for (int i = 0; i < 6000; i++)
    w.step ();
  for (Entry &e : w.entries)
    RC_ASSERT (e.calls.empty ());
}

} // namespace

TEST (OnceHistory, AtMostOnceTruthfulAndWholeThroughRestartsAndResends)
{
  EXPECT_TRUE (rc::check ("once", [] {
    World w (*rc::gen::noShrink (
        rc::gen::resize (100, rc::gen::arbitrary<std::uint32_t> ())));
    const char *keys[] = { "k0", "k1", "k2", "k3" };
    qg_event_set_level (QG_SEV_INVARIANT);
    guint64 broken = qg_invariants_broken ();

    for (int i = 0; i < 1500; i++)
      {
        if (w.below (40) == 0)
          {
            const char *key = keys[w.below (4)];
            const char *body = w.below (8) == 0 ? "other" : "body";
            w.submit (w.below (2), key, body);
            if (w.below (3) == 0) /* twice at once */
              w.submit (w.below (2), key, body);
          }
        if (w.below (60) == 0)
          w.random_fault ();
        w.step ();
      }
    check_told (w);
    settle_down (w);

    /* Without faults each key now has its answer, or a truthful refusal. */
    size_t first = w.told.size ();
    for (const char *key : keys)
      w.submit (w.below (2), key,
                w.granted.count (key) != 0 ? w.granted[key].body : "body");
    settle_down (w);
    check_told (w);
    for (size_t i = first; i < w.told.size (); i++)
      {
        const Told &t = w.told[i];
        const Execution &x = w.granted[t.key];
        bool ran = w.executions.count (t.key) != 0;
        bool lives = w.agents[x.agent].incarnation == x.incarnation;
        bool held = ran && lives && w.executions[t.key][0].whole;
        RC_ASSERT (t.answered == held);
        RC_ASSERT (ran || !lives); /* unknown only where the holder is gone */
        bool truthful = t.answered || t.run != QG_OUTCOME_NOT_RUN;
        RC_ASSERT (truthful);
      }
    RC_ASSERT (qg_invariants_broken () == broken);
  }));
}
