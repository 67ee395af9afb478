#include "lib/intake.h"
#include "lib/share.h"
#include <deque>
#include <gtest/gtest.h>

namespace
{

constexpr double units = 4000, level = 40 * units; /* 40 requests a second */

struct Workspace
{
  const char *name;
  QgTime gap;  /* between two requests */
  QgTime next; /* arrival */
  int asked = 0, begun = 0;
};

struct Attempt
{
  QgTime at;
  Workspace *workspace;
};

/* The busiest relay of a fleet, on 0.09 of a core, with its intake and its gate
 * of the shares. New connections wait in a backlog. The leader sends the
 * fleet's demands, which are those of this relay, five times a second. */
struct Relay
{
  static constexpr QgTime take_cost = 1000, serve_cost = 1500,
                          refuse_cost = 123;
  static constexpr double others = 0.33; /* reports of other relays */
  static constexpr size_t backlog_max = 512;
  QgIntake intake = {};
  QgShareGate *gate = qg_share_gate_new ();
  std::vector<Workspace> workspaces;
  QgTime now = QG_SEC, reported = 0;
  std::deque<Attempt> backlog;
  int lost = 0; /* found no place in the backlog */
  std::deque<QgTime> answers;

  explicit Relay (std::vector<Workspace> list) : workspaces (std::move (list))
  {
    qg_share_gate_set_rate (gate, 4 * level, 1);
  }
  Relay (const Relay &) = delete;
  Relay &operator= (const Relay &) = delete;
  ~Relay () { qg_share_gate_free (gate); }

  QgIntakeShare
  share (const Workspace *workspace)
  {
    if (qg_share_gate_is_within (gate, workspace->name, now))
      return QG_INTAKE_WITHIN;
    return qg_share_gate_is_spent (gate, workspace->name, now) ? QG_INTAKE_SPENT
                                                               : QG_INTAKE_OWED;
  }

  void
  arrive ()
  {
    Workspace *first;
    do
      {
        first = &workspaces[0];
        for (auto &workspace : workspaces)
          if (workspace.next < first->next)
            first = &workspace;
        if (first->next > now)
          return;
        first->asked++;
        if (backlog.size () < backlog_max)
          backlog.push_back ({ first->next, first });
        else
          lost++;
        first->next += first->gap;
      }
    while (true);
  }

  double
  factor (const Workspace *workspace)
  {
    return qg_intake_demand_factor (&intake, share (workspace));
  }

  void
  take (const Attempt &attempt)
  {
    Workspace *workspace = attempt.workspace;
    if (!qg_intake_take (&intake, share (workspace), now)
        || now - attempt.at > QG_SEC) /* its caller has left */
      {
        now += refuse_cost;
        return;
      }
    now += take_cost;
    if (qg_share_gate_admit (gate, workspace->name, units, factor (workspace),
                             now)
        != QG_SHARE_OWED)
      return;
    workspace->begun++;
    answers.push_back (now + 60 * QG_MSEC);
  }

  bool
  accepts (const Attempt &attempt)
  {
    if (qg_intake_look (&intake, now))
      return true;
    bool read = qg_intake_has_time (&intake, QG_INTAKE_WITHIN, now) != FALSE;
    return qg_intake_accept (
               &intake, read ? share (attempt.workspace) : QG_INTAKE_OWED, now)
           != FALSE;
  }

  void
  pass ()
  {
    QgTime began = now;
    arrive ();
    qg_intake_begin (&intake, now);
    for (; !answers.empty () && answers.front () <= began; answers.pop_front ())
      now += serve_cost;
    while (!backlog.empty () && qg_intake_may_refuse (&intake))
      {
        Attempt attempt = backlog.front ();
        backlog.pop_front ();
        if (accepts (attempt))
          {
            take (attempt);
            continue;
          }
        now += refuse_cost;
        qg_intake_refused (&intake, now);
      }
    now += 100;
    qg_intake_end (&intake, now);
    now += (QgTime)((double)(now - began) * others / (1 - others));
  }

  static void
  set_total (const char *name, const QgShareRates *rates, gpointer user)
  {
    qg_share_gate_set_total (static_cast<Relay *> (user)->gate, name,
                             rates->demand);
  }

  void
  run (QgTime duration)
  {
    for (QgTime end = now + duration; now < end; pass ())
      if (now - reported > QG_SHARE_PERIOD)
        {
          reported = now;
          qg_share_gate_set_levels (gate, level, level, now);
          qg_share_gate_each (gate, now, set_total, this);
        }
  }
};

} // namespace

/* Load: a workspace sends 2,000 requests a second, many times its share, to a
 * relay that can serve 200, and another one sends 55, a little more than its
 * share. The relay has time for the shares of both, so it may not refuse the
 * owed requests of the second among the flood. */
TEST (IntakeShare, AFloodDoesNotCrowdOutAWorkspaceSlightlyBeyondItsShare)
{
  Relay relay ({ { "flood", 500, QG_SEC }, { "middle", 18182, QG_SEC } });
  relay.run (10 * QG_SEC);
  EXPECT_GT (relay.workspaces[1].asked, 500);
  EXPECT_GT (relay.workspaces[1].begun, 0.8 * 40 * 10);
  EXPECT_GT (relay.workspaces[0].begun, 0.8 * 40 * 10);
  EXPECT_EQ (relay.lost, 0);
  /* Neither gets more than its share, and 2 s of it that it had not used. */
  EXPECT_LT (relay.workspaces[0].begun, 1.1 * 40 * 12);
  EXPECT_LT (relay.workspaces[1].begun, 1.1 * 40 * 12);
}
