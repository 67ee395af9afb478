/**
 * @file fairsim.h
 * Discrete-event simulator of the fair share, in virtual time: entries
 * (QgQueue), agents (QgSched) and the hub, connected by links with delays.
 * Used by the tests and by bench/fair_gap.c; header only, C and C++.
 */
#ifndef QG_FAIRSIM_H
#define QG_FAIRSIM_H

#include "lib/event.h"
#include "lib/heap.h"
#include "lib/hub.h"
#include "lib/queue.h"
#include "lib/schedule.h"
#include "lib/sizer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

G_BEGIN_DECLS

enum
{
  SIM_MAX_WORKSPACES = 64,
  SIM_MAX_ENTRIES = 16,
  SIM_MAX_AGENTS = 64,
  SIM_MAX_SLOTS = 64,
  SIM_SHORT_UNITS = 200 /* requests with less service are short */
};

typedef enum
{
  SIM_FAIR_SHARE,       /* the fair share */
  SIM_FAIR_ONE_CLASS,   /* the fair share without size classes */
  SIM_LEAST_CONNECTIONS /* least connections, served in order of arrival */
} SimPolicy;

typedef struct
{
  SimPolicy policy;
  guint seed;
  int spaces, entries, agents, dcs;
  guint slots, cold_slots;
  double rate; /* service units per second and slot */
  /* One-way delay between and inside data centres. */
  QgTime dc_delay, local_delay;
  QgTime interval;   /* between exchanges with the hub */
  double hint_error; /* each workspace's hints are off by up to this
                        factor, each single hint by up to a factor
                        of 2 more */
  gint64 spill;      /* spill slack in service units */
  double noise;      /* share of hub messages that are lost; as many
                        are duplicated, and as many delayed */
} SimOptions;

/* One workspace's demand. */
typedef struct
{
  guint weight;
  double per_sec; /* Poisson arrivals; 0: `backlog` requests always wait */
  int backlog;
  double long_share;              /* share of requests that are long */
  gint64 long_units, short_units; /* mean service units of a request */
  int main_entry; /* receives 4 of 5 requests; -1: spread evenly */
  gboolean on;    /* whether it sends requests */
} SimDemand;

typedef struct
{
  int space, entry;
  QgClass hint; /* size class by the hint */
  gboolean is_long;
  gint64 cost;        /* service units */
  guint64 hint_units; /* the announced cost */
  QgTime arrived_at;
} SimReq;

typedef struct
{
  SimReq *req;
  QgSchedJob *job;
  QgTime started;
  guint gen; /* number of the run, for its end event */
  gboolean active;
} SimRun;

typedef struct
{
  int dc;
  guint gen; /* incarnation */
  QgSched *sched;
  guint entry_id[SIM_MAX_ENTRIES]; /* 0: link down */
  SimRun runs[SIM_MAX_SLOTS];
  GQueue fifo; /* of SIM_LEAST_CONNECTIONS */
  int running;
  QgTime idle_since; /* since then, free slots outnumbered pulls */
} SimAgent;

typedef struct
{
  int dc;
  QgQueue *queue;
  QgSizer *sizer;
  guint credit[SIM_MAX_AGENTS];
  int conns[SIM_MAX_AGENTS]; /* of SIM_LEAST_CONNECTIONS */
} SimEntry;

typedef struct
{
  gint64 done;       /* service units of ended requests */
  gint64 served;     /* service units of ended and running requests, at the last
                        sample */
  guint waiting;     /* requests, at all entries */
  guint min_waiting; /* lowest since the last sample */
  gint64 arrived, refused;
  gint64 committed, most_committed; /* virtual units of running requests: now,
                                       and the highest so far */
  double hint_bias;                 /* log10 of hint / cost */
} SimWorkspace;

typedef struct _Sim Sim;

typedef struct
{
  QgHeapNode node;
  void (*run) (Sim *sim, int a, int b, guint64 id, gpointer p, guint gen);
  int a, b; /* usually agent and entry */
  guint64 id;
  gpointer p;
  guint gen; /* incarnation of the agent, or number of the run */
} SimEvent;

struct _Sim
{
  SimOptions o;
  QgTime now;
  GRand *rand;
  guint32 event_no;
  QgHeap events;
  SimDemand demand[SIM_MAX_WORKSPACES];
  SimWorkspace spaces[SIM_MAX_WORKSPACES];
  SimEntry entries[SIM_MAX_ENTRIES];
  SimAgent agents[SIM_MAX_AGENTS];
  QgHub *hub; /* NULL while the hub is down */
  guint hub_gen;
  gboolean cut[SIM_MAX_ENTRIES]; /* by data centre; messages pass only between
                                    data centres of equal value */
  /* Measurements; gap, low and high are those of sim_update_gap(). */
  gint64 gap[SIM_MAX_WORKSPACES][SIM_MAX_WORKSPACES];
  gint64 low[SIM_MAX_WORKSPACES][SIM_MAX_WORKSPACES];
  gint64 high[SIM_MAX_WORKSPACES][SIM_MAX_WORKSPACES];
  QgTime backlogged_since; /* a request has waited ever since */
  QgTime worst_idle;       /* longest time of a free slot while work waits */
  QgTime longest_wait;
  GArray *short_waits, *small_waits, *long_waits; /* microseconds */
  double busy, capacity; /* slot seconds while a request waits */
  guint64 up_bytes, down_bytes, exchanges, assigns, bounces;
  guint64 offers, pulls, empty_pulls, credits;
  /* Service units, and those served in another data centre. */
  double units, remote_units;
};

static void sim_pump_agent (Sim *sim, int a);
static void sim_pump_entry (Sim *sim, int e);
static void sim_start_pushed (Sim *sim, int a);

static inline const char *
sim_workspace_name (int space)
{
  static char names[SIM_MAX_WORKSPACES][8];

  g_snprintf (names[space], sizeof names[space], "w%d", space);
  return names[space];
}

static inline void
sim_schedule (Sim *sim, QgTime at,
              void (*run) (Sim *, int, int, guint64, gpointer, guint), int a,
              int b, guint64 id, gpointer p, guint gen)
{
  SimEvent *event = g_new0 (SimEvent, 1);

  event->run = run;
  event->a = a;
  event->b = b;
  event->id = id;
  event->p = p;
  event->gen = gen;
  qg_heap_put (&sim->events, &event->node, (at << 32) | sim->event_no++);
}

static inline QgTime
sim_delay (const Sim *sim, int dc_a, int dc_b)
{
  return dc_a == dc_b ? sim->o.local_delay : sim->o.dc_delay;
}

static inline QgTime
sim_link_delay (const Sim *sim, int a, int e)
{
  return sim_delay (sim, sim->agents[a].dc, sim->entries[e].dc);
}

static inline gboolean
sim_connected (const Sim *sim, int dc_a, int dc_b)
{
  return sim->cut[dc_a] == sim->cut[dc_b];
}

static inline gint64
sim_virtual_units (const Sim *sim, int space, gint64 units)
{
  return units * QG_FAIR_SCALE / sim->demand[space].weight;
}

static inline QgQueueSpec
sim_queue_spec (const Sim *sim, const SimReq *req)
{
  QgQueueSpec spec
      = { "s", sim_workspace_name (req->space), req->hint, G_MAXINT64, 1 };

  return spec;
}

static inline void
sim_add_waiting (Sim *sim, int space, int change)
{
  SimWorkspace *s = &sim->spaces[space];

  s->waiting = (guint)((int)s->waiting + change);
  s->min_waiting = MIN (s->min_waiting, s->waiting);
}

/* Service units that @run has received so far. */
static inline gint64
sim_run_units (const Sim *sim, const SimRun *run)
{
  gint64 units
      = (gint64)((double)(sim->now - run->started) * sim->o.rate / QG_SEC);

  return MIN (units, run->req->cost);
}

static void
sim_requeue (Sim *sim, SimReq *req)
{
  QgQueueSpec spec = sim_queue_spec (sim, req);

  qg_queue_requeue (sim->entries[req->entry].queue, &spec, req);
  sim_add_waiting (sim, req->space, 1);
  sim_pump_entry (sim, req->entry);
}

static void
sim_remove_run (Sim *sim, int a, SimRun *run)
{
  SimReq *req = run->req;

  sim->spaces[req->space].done += sim_run_units (sim, run);
  sim->spaces[req->space].committed
      -= sim_virtual_units (sim, req->space, req->cost);
  run->active = FALSE;
  sim->agents[a].running--;
}

static void
sim_on_end (Sim *sim, int a, int slot, guint64 id, gpointer p, guint gen)
{
  SimAgent *agent = &sim->agents[a];
  SimRun *run = &agent->runs[slot];
  SimReq *req = run->req;

  if (!run->active || run->gen != gen)
    return;
  sim_remove_run (sim, a, run);
  if (sim->o.policy == SIM_LEAST_CONNECTIONS)
    {
      sim->entries[req->entry].conns[a]--;
      sim_start_pushed (sim, a);
    }
  else
    {
      qg_sizer_learn (sim->entries[req->entry].sizer, "s",
                      sim_workspace_name (req->space), req->hint_units,
                      (guint64)req->cost);
      qg_sched_done (agent->sched, sim->now, run->job, req->cost, QG_COLD_OK);
      sim_pump_agent (sim, a);
    }
  g_free (req);
}

static void
sim_start (Sim *sim, int a, SimReq *req, QgSchedJob *job)
{
  static guint gens;
  SimAgent *agent = &sim->agents[a];
  SimWorkspace *space = &sim->spaces[req->space];
  QgTime wait = sim->now - req->arrived_at;
  int slot = 0;

  while (agent->runs[slot].active)
    slot++;
  agent->runs[slot].req = req;
  agent->runs[slot].job = job;
  agent->runs[slot].started = sim->now;
  agent->runs[slot].gen = ++gens;
  agent->runs[slot].active = TRUE;
  agent->running++;
  space->committed += sim_virtual_units (sim, req->space, req->cost);
  space->most_committed = MAX (space->most_committed, space->committed);
  sim->longest_wait = MAX (sim->longest_wait, wait);
  g_array_append_val (req->is_long ? sim->long_waits : sim->short_waits, wait);
  if (!req->is_long && req->space >= 3)
    g_array_append_val (sim->small_waits, wait);
  sim_schedule (sim,
                sim->now + (QgTime)((double)req->cost * QG_SEC / sim->o.rate),
                sim_on_end, a, slot, 0, NULL, gens);
  if (job != NULL)
    qg_sched_first_token (agent->sched, sim->now + QG_MSEC, job);
}

static void
sim_on_bounce (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  sim_requeue (sim, (SimReq *)p);
}

static void
sim_on_assign (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  SimAgent *agent = &sim->agents[a];
  SimReq *req = (SimReq *)p;
  QgSchedJob *job = NULL;
  guint target;

  if (agent->gen == gen && agent->entry_id[e] != 0)
    job = qg_sched_assign (agent->sched, sim->now, agent->entry_id[e], id,
                           sim_workspace_name (req->space), req->hint, &target);
  if (job == NULL)
    {
      sim->bounces++;
      sim_schedule (sim, sim->now + sim_link_delay (sim, a, e), sim_on_bounce,
                    a, e, 0, req, 0);
    }
  else
    {
      sim->assigns++;
      sim->units += (double)req->cost;
      if (agent->dc != sim->entries[e].dc)
        sim->remote_units += (double)req->cost;
      sim_start (sim, a, req, job);
    }
  if (agent->gen == gen)
    sim_pump_agent (sim, a);
}

static void
sim_send_assign (Sim *sim, int a, int e, guint64 id, SimReq *req)
{
  sim_add_waiting (sim, req->space, -1);
  sim_schedule (sim, sim->now + sim_link_delay (sim, a, e), sim_on_assign, a, e,
                id, req, sim->agents[a].gen);
}

static void
sim_on_empty (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  if (sim->agents[a].gen != gen)
    return;
  sim->empty_pulls++;
  qg_sched_pull_empty (sim->agents[a].sched, sim->now, id);
  sim_pump_agent (sim, a);
}

/* @p: 2 * workspace + size class. */
static void
sim_on_pull (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  int kind = GPOINTER_TO_INT (p);
  SimReq *req;

  if (sim->agents[a].gen != gen || sim->agents[a].entry_id[e] == 0)
    return;
  req = (SimReq *)qg_queue_take (sim->entries[e].queue, sim->now, "s",
                                 sim_workspace_name (kind / 2),
                                 (QgClass)(kind % 2));
  if (req != NULL)
    sim_send_assign (sim, a, e, id, req);
  else
    sim_schedule (sim, sim->now + sim_link_delay (sim, a, e), sim_on_empty, a,
                  e, id, NULL, gen);
  sim_pump_entry (sim, e);
}

static void
sim_on_credit (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  if (sim->agents[a].gen != gen || sim->agents[a].entry_id[e] == 0)
    return;
  sim->entries[e].credit[a] = (guint)id;
  sim_pump_entry (sim, e);
}

static void
sim_on_offer (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  SimAgent *agent = &sim->agents[a];
  int kind = GPOINTER_TO_INT (p);

  if (agent->gen != gen || agent->entry_id[e] == 0)
    return;
  qg_sched_offer (agent->sched, sim->now, agent->entry_id[e],
                  sim_workspace_name (kind / 2), (QgClass)(kind % 2),
                  (guint)id);
  sim_pump_agent (sim, a);
}

static void
sim_on_wakeup (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  if (sim->agents[a].gen == gen)
    sim_pump_agent (sim, a);
}

static void
sim_pump_agent (Sim *sim, int a)
{
  SimAgent *agent = &sim->agents[a];
  QgSchedAction action;
  QgTime at;

  while (qg_sched_next (agent->sched, sim->now, &action))
    {
      int e = 0;
      int kind;

      while (agent->entry_id[e] != action.entry)
        e++;
      if (action.verb == QG_SCHED_CREDIT)
        {
          sim->credits++;
          sim_schedule (sim, sim->now + sim_link_delay (sim, a, e),
                        sim_on_credit, a, e, action.free, NULL, agent->gen);
          continue;
        }
      sim->pulls++;
      kind = 2 * atoi (action.workspace + 1) + (int)action.size_class;
      sim_schedule (sim, sim->now + sim_link_delay (sim, a, e), sim_on_pull, a,
                    e, action.pull_id, GINT_TO_POINTER (kind), agent->gen);
    }
  at = qg_sched_wakeup (agent->sched, sim->now);
  if (at > sim->now && at < sim->now + QG_SEC)
    sim_schedule (sim, at, sim_on_wakeup, a, 0, 0, NULL, agent->gen);
}

/* Assigns work to agents that gave credit, then offers the rest to all. */
static void
sim_pump_entry (Sim *sim, int e)
{
  SimEntry *entry = &sim->entries[e];
  QgQueueOffer offer;

  for (int a = 0; a < sim->o.agents; a++)
    while (entry->credit[a] > 0 && qg_queue_waiting (entry->queue, NULL) > 0)
      {
        entry->credit[a]--;
        sim_send_assign (
            sim, a, e, 0,
            (SimReq *)qg_queue_take_any (entry->queue, sim->now, "s"));
      }
  while (qg_queue_next_offer (entry->queue, &offer))
    for (int a = 0; a < sim->o.agents; a++)
      if (sim->agents[a].entry_id[e] != 0)
        {
          int kind = 2 * atoi (offer.workspace + 1) + (int)offer.size_class;

          sim->offers++;
          sim_schedule (sim, sim->now + sim_link_delay (sim, a, e),
                        sim_on_offer, a, e, offer.waiting,
                        GINT_TO_POINTER (kind), sim->agents[a].gen);
        }
}

/* --- links ------------------------------------------------------------- */

typedef struct
{
  Sim *sim;
  int a, e;
} SimLink;

static void
sim_send_offer (gpointer user, const QgQueueOffer *offer)
{
  SimLink *link = (SimLink *)user;
  int kind = 2 * atoi (offer->workspace + 1) + (int)offer->size_class;

  sim_schedule (link->sim,
                link->sim->now + sim_link_delay (link->sim, link->a, link->e),
                sim_on_offer, link->a, link->e, offer->waiting,
                GINT_TO_POINTER (kind), link->sim->agents[link->a].gen);
}

static void
sim_set_link (Sim *sim, int a, int e, gboolean up)
{
  SimAgent *agent = &sim->agents[a];
  SimLink link = { sim, a, e };

  if (up == (agent->entry_id[e] != 0))
    return;
  sim->entries[e].credit[a] = 0;
  if (!up)
    {
      qg_sched_entry_down (agent->sched, sim->now, agent->entry_id[e]);
      agent->entry_id[e] = 0;
      sim_pump_agent (sim, a);
      return;
    }
  agent->entry_id[e] = qg_sched_entry_up (agent->sched, sim->now,
                                          agent->dc == sim->entries[e].dc);
  qg_queue_each_offer (sim->entries[e].queue, "s", sim_send_offer, &link);
  sim_pump_agent (sim, a);
}

static void
sim_update_links (Sim *sim)
{
  for (int a = 0; a < sim->o.agents; a++)
    for (int e = 0; e < sim->o.entries; e++)
      sim_set_link (sim, a, e,
                    sim_connected (sim, sim->agents[a].dc, sim->entries[e].dc));
}

/* --- hub --------------------------------------------------------------- */

typedef struct
{
  size_t len;
  guint8 *data;
} SimPacked;

static SimPacked *
sim_pack (const ProtobufCMessage *message)
{
  SimPacked *bytes = g_new0 (SimPacked, 1);

  bytes->len = protobuf_c_message_get_packed_size (message);
  bytes->data = (guint8 *)g_malloc (bytes->len + 1);
  protobuf_c_message_pack (message, bytes->data);
  return bytes;
}

static void
sim_packed_free (SimPacked *bytes)
{
  g_free (bytes->data);
  g_free (bytes);
}

static void sim_on_exchange (Sim *sim, int a, int b, guint64 id, gpointer p,
                             guint gen);

static void
sim_on_totals (Sim *sim, int a, int b, guint64 id, gpointer p, guint gen)
{
  SimPacked *bytes = (SimPacked *)p;
  SimAgent *agent = &sim->agents[a];

  if (agent->gen == gen && sim_connected (sim, agent->dc, 0))
    {
      Qg__FairTotals *totals
          = qg__fair_totals__unpack (NULL, bytes->len, bytes->data);
      if (qg_fair_totals (qg_sched_fair (agent->sched), sim->now, totals))
        sim_schedule (sim, sim->now, sim_on_exchange, a, 1, 0, NULL, gen);
      qg__fair_totals__free_unpacked (totals, NULL);
      sim_pump_agent (sim, a);
    }
  sim_packed_free (bytes);
}

/* Sends @bytes once, twice, late or not at all, as `noise` sets the odds. */
static void
sim_send_unreliable (Sim *sim, int a, SimPacked *bytes,
                     void (*run) (Sim *, int, int, guint64, gpointer, guint),
                     guint gen)
{
  QgTime delay = sim_delay (sim, sim->agents[a].dc, 0);
  double chance = g_rand_double (sim->rand);

  if (chance < sim->o.noise)
    delay += (QgTime)(g_rand_double (sim->rand) * 4 * (double)sim->o.interval);
  else if (chance < 2 * sim->o.noise)
    {
      SimPacked *copy = g_new0 (SimPacked, 1);

      copy->len = bytes->len;
      copy->data = (guint8 *)g_memdup2 (bytes->data, bytes->len + 1);
      sim_schedule (sim, sim->now + 2 * delay, run, a, 0, 0, copy, gen);
    }
  else if (chance < 3 * sim->o.noise)
    {
      sim_packed_free (bytes);
      return;
    }
  sim_schedule (sim, sim->now + delay, run, a, 0, 0, bytes, gen);
}

static void
sim_on_report (Sim *sim, int a, int b, guint64 id, gpointer p, guint gen)
{
  SimPacked *bytes = (SimPacked *)p;
  Qg__FairReport *report
      = qg__fair_report__unpack (NULL, bytes->len, bytes->data);
  const Qg__FairTotals *totals = NULL;
  char name[16];

  g_snprintf (name, sizeof name, "agent%d", a);
  if (sim->hub != NULL && sim_connected (sim, sim->agents[a].dc, 0))
    {
      qg_hub_expire (sim->hub, sim->now);
      totals = qg_hub_report (sim->hub, sim->now, name, gen, report);
    }
  if (totals != NULL)
    {
      SimPacked *answer = sim_pack (&totals->base);

      sim->down_bytes += answer->len;
      sim->exchanges++;
      sim_send_unreliable (sim, a, answer, sim_on_totals, gen);
    }
  qg__fair_report__free_unpacked (report, NULL);
  sim_packed_free (bytes);
}

static void
sim_on_exchange (Sim *sim, int a, int once, guint64 id, gpointer p, guint gen)
{
  SimAgent *agent = &sim->agents[a];
  Qg__FairReport report;

  if (agent->gen != gen)
    return;
  if (qg_fair_report (qg_sched_fair (agent->sched), sim->now, &report))
    {
      SimPacked *bytes = sim_pack (&report.base);

      sim->up_bytes += bytes->len;
      sim_send_unreliable (sim, a, bytes, sim_on_report, gen);
    }
  if (!once)
    sim_schedule (sim, sim->now + sim->o.interval, sim_on_exchange, a, 0, 0,
                  NULL, gen);
}

static void
sim_hub_restart (Sim *sim, gboolean up)
{
  QgHubOptions options = { ++sim->hub_gen, 0, 0 };

  if (sim->hub != NULL)
    qg_hub_unref (sim->hub);
  sim->hub = up ? qg_hub_new (&options) : NULL;
}

/* --- agents ------------------------------------------------------------ */

static void
sim_agent_new (Sim *sim, int a)
{
  SimAgent *agent = &sim->agents[a];
  QgSchedOptions options;
  QgColdOptions cold;

  memset (&options, 0, sizeof options);
  memset (&cold, 0, sizeof cold);
  options.service = "s";
  agent->gen++;
  options.spill_slack = sim->o.spill * QG_FAIR_SCALE;
  agent->sched = qg_sched_new (&options);
  cold.slots = sim->o.slots;
  cold.cold_slots = sim->o.cold_slots;
  qg_sched_add_target (agent->sched, sim->now, &cold);
  qg_sched_set_target_up (agent->sched, sim->now, 0, TRUE);
  qg_sched_set_permit (agent->sched, G_MAXINT64 / 2);
  for (int s = 0; s < sim->o.spaces; s++)
    qg_fair_set_weight (qg_sched_fair (agent->sched), sim_workspace_name (s),
                        sim->demand[s].weight);
  if (sim->o.policy == SIM_LEAST_CONNECTIONS)
    return;
  sim_schedule (
      sim,
      sim->now + (QgTime)(g_rand_double (sim->rand) * (double)sim->o.interval),
      sim_on_exchange, a, 0, 0, NULL, agent->gen);
}

/* Ends all runs of agent @a with @signal and requeues their requests. */
static void
sim_fail_runs (Sim *sim, int a, QgColdSignal signal)
{
  SimAgent *agent = &sim->agents[a];

  for (guint i = 0; i < SIM_MAX_SLOTS; i++)
    if (agent->runs[i].active)
      {
        SimRun *run = &agent->runs[i];

        qg_sched_done (agent->sched, sim->now, run->job,
                       sim_run_units (sim, run), signal);
        sim_remove_run (sim, a, run);
        sim_requeue (sim, run->req);
      }
  sim_pump_agent (sim, a);
}

static inline void
sim_agent_restart (Sim *sim, int a)
{
  SimAgent *agent = &sim->agents[a];

  for (int e = 0; e < sim->o.entries; e++)
    sim_set_link (sim, a, e, FALSE);
  sim_fail_runs (sim, a, QG_COLD_NEUTRAL);
  qg_sched_unref (agent->sched);
  sim_agent_new (sim, a);
  sim_update_links (sim);
}

static inline void
sim_entry_restart (Sim *sim, int e)
{
  SimEntry *entry = &sim->entries[e];
  SimReq *req;

  for (int a = 0; a < sim->o.agents; a++)
    sim_set_link (sim, a, e, FALSE);
  while ((req = (SimReq *)qg_queue_take_any (entry->queue, sim->now, "s"))
         != NULL)
    {
      sim_add_waiting (sim, req->space, -1);
      g_free (req);
    }
  qg_queue_unref (entry->queue);
  entry->queue = qg_queue_new (NULL);
  sim_update_links (sim);
}

/* --- demand ------------------------------------------------------------ */

static void
sim_start_pushed (Sim *sim, int a)
{
  SimAgent *agent = &sim->agents[a];

  while (agent->running < (int)sim->o.slots && agent->fifo.head != NULL)
    {
      SimReq *req = (SimReq *)g_queue_pop_head (&agent->fifo);

      sim_add_waiting (sim, req->space, -1);
      sim_start (sim, a, req, NULL);
    }
}

static void
sim_on_push (Sim *sim, int a, int e, guint64 id, gpointer p, guint gen)
{
  g_queue_push_tail (&sim->agents[a].fifo, p);
  sim_start_pushed (sim, a);
}

static void
sim_push_request (Sim *sim, SimReq *req)
{
  SimEntry *entry = &sim->entries[req->entry];
  int best = g_rand_int_range (sim->rand, 0, sim->o.agents);

  for (int i = 0; i < sim->o.agents; i++)
    if (entry->conns[i] < entry->conns[best])
      best = i;
  entry->conns[best]++;
  sim_add_waiting (sim, req->space, 1);
  sim_schedule (sim, sim->now + sim_link_delay (sim, best, req->entry),
                sim_on_push, best, req->entry, 0, req, 0);
}

static void
sim_add_request (Sim *sim, int space)
{
  SimDemand *demand = &sim->demand[space];
  SimReq *req = g_new0 (SimReq, 1);
  QgQueueSpec spec;
  double mean;
  double hint;

  req->space = space;
  req->arrived_at = sim->now;
  req->entry = g_rand_int_range (sim->rand, 0, sim->o.entries);
  if (demand->main_entry >= 0 && g_rand_int_range (sim->rand, 0, 5) > 0)
    req->entry = demand->main_entry;
  req->is_long = g_rand_double (sim->rand) < demand->long_share;
  mean = (double)(req->is_long ? demand->long_units : demand->short_units);
  req->cost = (gint64)(mean * g_rand_double_range (sim->rand, 0.3, 1.7)) + 1;
  hint = log10 ((double)req->cost) + sim->spaces[space].hint_bias
         + g_rand_double_range (sim->rand, -0.3, 0.3);
  req->hint_units = (guint64)pow (10, hint) + 1;
  req->hint
      = sim->o.policy == SIM_FAIR_ONE_CLASS
            ? QG_CLASS_SHORT
            : qg_sizer_class (sim->entries[req->entry].sizer, "s",
                              sim_workspace_name (space), req->hint_units);
  sim->spaces[space].arrived++;
  if (sim->o.policy == SIM_LEAST_CONNECTIONS)
    {
      sim_push_request (sim, req);
      return;
    }
  spec = sim_queue_spec (sim, req);
  if (qg_queue_push (sim->entries[req->entry].queue, &spec, req, NULL) != QG_OK)
    {
      sim->spaces[space].refused++;
      g_free (req);
      return;
    }
  sim_add_waiting (sim, space, 1);
  sim_pump_entry (sim, req->entry);
}

static void
sim_on_arrival (Sim *sim, int space, int b, guint64 id, gpointer p, guint gen)
{
  SimDemand *demand = &sim->demand[space];
  double gap = -log (1 - g_rand_double (sim->rand)) / demand->per_sec;

  if (demand->on)
    sim_add_request (sim, space);
  sim_schedule (sim, sim->now + (QgTime)(gap * QG_SEC) + 1, sim_on_arrival,
                space, 0, 0, NULL, 0);
}

/* --- measurements ------------------------------------------------------ */

/* The gap of two workspaces is the highest minus the lowest difference between
 * the virtual units served to them, over a period in which both workspaces
 * always had requests waiting. */
static void
sim_update_gap (Sim *sim, int w, int u)
{
  gint64 d = sim_virtual_units (sim, w, sim->spaces[w].served)
             - sim_virtual_units (sim, u, sim->spaces[u].served);

  if (sim->spaces[w].min_waiting == 0 || sim->spaces[u].min_waiting == 0)
    {
      sim->low[w][u] = sim->high[w][u] = d;
      return;
    }
  sim->low[w][u] = MIN (sim->low[w][u], d);
  sim->high[w][u] = MAX (sim->high[w][u], d);
  sim->gap[w][u] = MAX (sim->gap[w][u], sim->high[w][u] - sim->low[w][u]);
}

static void
sim_sample (Sim *sim, QgTime step)
{
  gboolean waits = FALSE;
  gboolean split = FALSE;

  for (int d = 0; d < sim->o.dcs; d++)
    split = split || sim->cut[d];
  for (int s = 0; s < sim->o.spaces; s++)
    {
      sim->spaces[s].served = sim->spaces[s].done;
      waits = waits || sim->spaces[s].min_waiting > 0;
    }
  if (!waits || split)
    sim->backlogged_since = sim->now;
  for (int a = 0; a < sim->o.agents; a++)
    {
      SimAgent *agent = &sim->agents[a];
      gboolean raised = FALSE;

      for (int i = 0; i < SIM_MAX_SLOTS; i++)
        if (agent->runs[i].active)
          {
            SimRun *run = &agent->runs[i];

            sim->spaces[run->req->space].served += sim_run_units (sim, run);
            if (run->job != NULL)
              raised |= qg_sched_progress (agent->sched, sim->now, run->job,
                                           sim_run_units (sim, run));
          }
      if (raised)
        sim_pump_agent (sim, a);
      if (waits)
        {
          sim->busy += (double)agent->running * (double)step / QG_SEC;
          sim->capacity += (double)sim->o.slots * (double)step / QG_SEC;
        }
      if (sim->o.policy == SIM_LEAST_CONNECTIONS
          || qg_sched_free_slots (agent->sched, sim->now)
                 <= qg_sched_pulls (agent->sched))
        agent->idle_since = sim->now;
      sim->worst_idle
          = MAX (sim->worst_idle,
                 sim->now - MAX (agent->idle_since, sim->backlogged_since));
    }
  for (int w = 0; w < sim->o.spaces; w++)
    for (int u = 0; u < w; u++)
      sim_update_gap (sim, w, u);
  for (int s = 0; s < sim->o.spaces; s++)
    sim->spaces[s].min_waiting = sim->spaces[s].waiting;
}

/* Runs until @until in steps of 50 ms. Each step first refills the workspaces
 * that keep a fixed number of requests waiting. */
static void
sim_run (Sim *sim, QgTime until)
{
  const QgTime step = 50 * QG_MSEC;

  while (sim->now < until)
    {
      QgTime end = sim->now + step;
      QgHeapNode *top;

      for (int s = 0; s < sim->o.spaces; s++)
        while (sim->demand[s].per_sec == 0 && sim->demand[s].on
               && (int)sim->spaces[s].waiting < sim->demand[s].backlog)
          sim_add_request (sim, s);
      while ((top = qg_heap_top (&sim->events)) != NULL
             && top->key >> 32 <= end)
        {
          SimEvent *event = QG_HEAP_OWNER (top, SimEvent, node);

          qg_heap_remove (&sim->events, top);
          sim->now = MAX (sim->now, top->key >> 32);
          event->run (sim, event->a, event->b, event->id, event->p, event->gen);
          g_free (event);
        }
      sim->now = end;
      sim_sample (sim, step);
    }
}

/* The bound G of docs/design/fair-share.md in virtual units; @age is its D. */
static inline gint64
sim_bound (const Sim *sim, int w, int u, QgTime age)
{
  guint weight = MIN (sim->demand[w].weight, sim->demand[u].weight);
  double rate = sim->o.agents * (double)sim->o.slots * sim->o.rate
                * (double)QG_FAIR_SCALE / weight;

  return 5 * (sim->spaces[w].most_committed + sim->spaces[u].most_committed)
         + 2
               * ((gint64)(rate * (double)age / QG_SEC)
                  + sim->o.spill * QG_FAIR_SCALE);
}

/* Largest ratio of the gap of two workspaces to its bound. */
static inline double
sim_worst_bound_ratio (const Sim *sim, QgTime age)
{
  double worst = 0;

  for (int w = 0; w < sim->o.spaces; w++)
    for (int u = 0; u < w; u++)
      worst = MAX (worst,
                   (double)sim->gap[w][u] / (double)sim_bound (sim, w, u, age));
  return worst;
}

static inline gint64
sim_worst_gap (const Sim *sim)
{
  gint64 worst = 0;

  for (int w = 0; w < sim->o.spaces; w++)
    for (int u = 0; u < w; u++)
      worst = MAX (worst, sim->gap[w][u]);
  return worst;
}

static inline int
sim_compare (gconstpointer a, gconstpointer b)
{
  const QgTime *x = (const QgTime *)a;
  const QgTime *y = (const QgTime *)b;

  return *x < *y ? -1 : *x > *y;
}

/* The @share quantile of @waits in milliseconds. */
static inline double
sim_quantile (GArray *waits, double share)
{
  if (waits->len == 0)
    return 0;
  g_array_sort (waits, sim_compare);
  return (double)g_array_index (waits, QgTime,
                                (guint)((waits->len - 1) * share))
         / QG_MSEC;
}

static Sim *
sim_new (const SimOptions *options, const SimDemand *demand)
{
  Sim *sim = g_new0 (Sim, 1);

  sim->o = *options;
  sim->rand = g_rand_new_with_seed (options->seed);
  sim->short_waits = g_array_new (FALSE, FALSE, sizeof (QgTime));
  sim->small_waits = g_array_new (FALSE, FALSE, sizeof (QgTime));
  sim->long_waits = g_array_new (FALSE, FALSE, sizeof (QgTime));
  memcpy (sim->demand, demand, sizeof (SimDemand) * (gsize)options->spaces);
  if (sim->o.spill == 0)
    sim->o.spill = 2000;
  for (int s = 0; s < sim->o.spaces; s++)
    sim->spaces[s].hint_bias
        = log10 (options->hint_error) * g_rand_double_range (sim->rand, -1, 1);
  sim_hub_restart (sim, TRUE);
  for (int e = 0; e < sim->o.entries; e++)
    {
      sim->entries[e].dc = e % sim->o.dcs;
      sim->entries[e].queue = qg_queue_new (NULL);
      sim->entries[e].sizer = qg_sizer_new (SIM_SHORT_UNITS);
    }
  for (int a = 0; a < sim->o.agents; a++)
    {
      sim->agents[a].dc = a % sim->o.dcs;
      sim_agent_new (sim, a);
    }
  if (sim->o.policy != SIM_LEAST_CONNECTIONS)
    sim_update_links (sim);
  for (int s = 0; s < sim->o.spaces; s++)
    if (sim->demand[s].per_sec > 0)
      sim_schedule (sim, 1, sim_on_arrival, s, 0, 0, NULL, 0);
  return sim;
}

static void
sim_free (Sim *sim)
{
  for (int a = 0; a < sim->o.agents; a++)
    {
      for (int i = 0; i < SIM_MAX_SLOTS; i++)
        if (sim->agents[a].runs[i].active && sim->agents[a].runs[i].job != NULL)
          qg_sched_done (sim->agents[a].sched, sim->now,
                         sim->agents[a].runs[i].job, 1, QG_COLD_NEUTRAL);
      qg_sched_unref (sim->agents[a].sched);
      g_queue_clear (&sim->agents[a].fifo);
    }
  for (int e = 0; e < sim->o.entries; e++)
    {
      qg_queue_unref (sim->entries[e].queue);
      qg_sizer_free (sim->entries[e].sizer);
    }
  if (sim->hub != NULL)
    qg_hub_unref (sim->hub);
  while (sim->events.len > 0)
    {
      QgHeapNode *top = qg_heap_top (&sim->events);

      qg_heap_remove (&sim->events, top);
      g_free (QG_HEAP_OWNER (top, SimEvent, node));
    }
  qg_heap_clear (&sim->events);
  g_rand_free (sim->rand);
  g_array_unref (sim->short_waits);
  g_array_unref (sim->small_waits);
  g_array_unref (sim->long_waits);
  g_free (sim);
}

G_END_DECLS

#endif
