#include "lib/event.h"
#include "tests/once_sim.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace once_sim
{

/* Runs one randomly chosen event. */
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
          entry_receive (e, a, m);
        }
      break;
    case 5:
      if (!log.empty ())
        {
          size_t at = below (static_cast<unsigned> (log.size ()));
          Command c = log[at];
          if (below (4) != 0) /* otherwise applied again later */
            log.erase (log.begin () + static_cast<long> (at));
          apply (c);
        }
      else
        resend_pending (a);
      break;
    case 6:
      for (auto &[answer, job] : agents[a].jobs)
        if (job.running && qg_answer_has_room (answer))
          {
            send_next_part (a, answer);
            break;
          }
      break;
    default:
      l.up = true;
      for (auto &[id, c] : entries[e].calls)
        if (c.state == Call::WAITING
            && (links[e][c.agent].up || below (4) == 0))
          {
            resume_waiting (e, id);
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
check_results (const World &w)
{
  for (auto &[key, executed] : w.executions)
    RC_ASSERT (executed.size () <= 1u); /* each key runs at most once */
  for (const CallerResult &result : w.results)
    {
      auto executed = w.executions.find (result.key);
      bool ran = executed != w.executions.end ();
      /* An answer is complete and belongs to the request. */
      bool answer_valid
          = !result.answered
            || (ran && result.answer == World::full_text (result.key)
                && executed->second[0].body == result.body);
      RC_ASSERT (answer_valid);
      /* QG_OUTCOME_RAN is reported only for keys that ran. */
      bool correct = result.outcome != QG_OUTCOME_RAN || ran;
      RC_ASSERT (correct);
    }
}

void
run_without_faults (World &w)
{
  w.faults = false;
  for (int i = 0; i < 6000; i++)
    w.step ();
  for (Entry &e : w.entries)
    RC_ASSERT (e.calls.empty ());
}

} // namespace

TEST (OnceSimulation, RequestsRunAtMostOnceAndAnswersAreCorrectAcrossRestarts)
{
  EXPECT_TRUE (rc::check ("once", [] {
    World w (*rc::gen::noShrink (
        rc::gen::resize (100, rc::gen::arbitrary<std::uint32_t> ())));
    const char *keys[] = { "k0", "k1", "k2", "k3" };
    qg_event_set_level (QG_SEV_INVARIANT);
    guint64 invariants_before = qg_invariants_broken ();

    for (int i = 0; i < 1500; i++)
      {
        if (w.below (40) == 0)
          {
            const char *key = keys[w.below (4)];
            const char *body = w.below (8) == 0 ? "other" : "body";
            w.submit (w.below (2), key, body);
            if (w.below (3) == 0) /* the caller resends at once */
              w.submit (w.below (2), key, body);
          }
        if (w.below (60) == 0)
          w.random_fault ();
        w.step ();
      }
    check_results (w);
    run_without_faults (w);

    /* Each key is now sent again without faults, and must get its answer or a
     * correct refusal. */
    size_t first = w.results.size ();
    for (const char *key : keys)
      w.submit (w.below (2), key,
                w.granted.count (key) != 0 ? w.granted[key].body : "body");
    run_without_faults (w);
    check_results (w);
    for (size_t i = first; i < w.results.size (); i++)
      {
        const CallerResult &result = w.results[i];
        const Execution &x = w.granted[result.key];
        bool ran = w.executions.count (result.key) != 0;
        bool holder_alive = w.agents[x.agent].incarnation == x.incarnation;
        bool available
            = ran && holder_alive && w.executions[result.key][0].complete;
        RC_ASSERT (result.answered == available);
        /* If a key never ran, the agent with its grant has restarted. */
        RC_ASSERT (ran || !holder_alive);
        bool correct = result.answered || result.outcome != QG_OUTCOME_NOT_RUN;
        RC_ASSERT (correct);
      }
    RC_ASSERT (qg_invariants_broken () == invariants_before);
  }));
}
