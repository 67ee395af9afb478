/* Compares the fair share, in virtual time, with a baseline: each entry sends a
 * request to the agent to which it has the fewest connections, and agents serve
 * requests in order of arrival. Three of the 16 workspaces generate 70 % of the
 * demand. Each run uses the delays and token rate of one of the fleets below.
 */
#include <stdio.h>

#include "fairsim.h"

typedef struct
{
  const char *name;
  QgTime dc_delay;    /* one-way delay between data centres */
  QgTime local_delay; /* one-way delay inside a data centre */
  double rate;        /* tokens per second and slot */
} Fleet;

static const Fleet fleets[] = {
  { "swan", 8 * QG_MSEC, QG_MSEC / 2, 40 },
  { "derwent", 8 * QG_MSEC, 3 * QG_MSEC / 2, 40 },
};
static const char *const policies[] = { "pull", "pull-one-class", "push-fcfs" };

static void
fill_demand (SimDemand *demand, const SimOptions *o, double load)
{
  static const double shares[3] = { 0.40, 0.20, 0.10 };
  double capacity = o->agents * (double)o->slots * o->rate;

  for (int s = 0; s < o->spaces; s++)
    {
      double share = s < 3 ? shares[s] : 0.30 / (o->spaces - 3);

      demand[s] = (SimDemand){ .weight = 1,
                               .long_share = 0.25,
                               .long_units = 1500,
                               .short_units = 100,
                               .main_entry = s * 5 % o->entries,
                               .on = TRUE };
      demand[s].per_sec = share * load * capacity / (0.25 * 1500 + 0.75 * 100);
    }
}

/* Prints median and 95th percentile in milliseconds. */
static void
print_wait_quantiles (GArray *waits)
{
  printf (" %7.0f %7.0f", sim_quantile (waits, 0.5),
          sim_quantile (waits, 0.95));
}

static void
run (const Fleet *fleet, SimPolicy policy, double load, gint64 spill,
     int seconds)
{
  SimOptions o = { .policy = policy,
                   .seed = 20261204,
                   .spaces = 16,
                   .entries = 6,
                   .agents = 12,
                   .dcs = 3,
                   .slots = 8,
                   .cold_slots = 2,
                   .rate = fleet->rate,
                   .dc_delay = fleet->dc_delay,
                   .local_delay = fleet->local_delay,
                   .interval = QG_SEC / 2,
                   .hint_error = 10,
                   .spill = spill };
  SimDemand demand[SIM_MAX_WORKSPACES];
  double runs;
  Sim *sim;

  fill_demand (demand, &o, load);
  sim = sim_new (&o, demand);
  sim_run (sim, seconds * QG_SEC);
  runs = (double)MAX (sim->assigns, 1);
  printf ("%-8s %-14s %4.1f %8.0f %6.3f %7.4f", fleet->name, policies[policy],
          load, (double)sim_worst_gap (sim) / QG_FAIR_SCALE,
          sim_worst_bound_ratio (sim, 2 * (o.interval + o.dc_delay)),
          sim->busy / MAX (sim->capacity, 1));
  print_wait_quantiles (sim->short_waits);
  print_wait_quantiles (sim->small_waits);
  print_wait_quantiles (sim->long_waits);
  printf (" %5.3f %5.3f", sim->remote_units / MAX (sim->units, 1),
          (double)sim->bounces / runs);
  printf (" %5.2f %5.2f %5.2f %5.2f", (double)sim->offers / runs,
          (double)sim->pulls / runs, (double)sim->empty_pulls / runs,
          (double)sim->credits / runs);
  printf (" %6.0f\n",
          (double)(sim->up_bytes + sim->down_bytes) / seconds / o.agents);
  sim_free (sim);
}

static void
print_header (void)
{
  printf ("gap: tokens, and as a fraction of its bound; util: share of slots "
          "in use while work waits;\nwaits: median and 95th percentile in ms "
          "of short "
          "work, of short work of the 13\nsmall workspaces, of long work; far: "
          "share of tokens served in another data centre;\nbounces, offers, "
          "pulls, empty pulls and credits per request; hub bytes per second "
          "and agent\n");
  printf ("%-8s %-14s %4s %8s %6s %7s %15s %15s %15s %5s %5s %5s %5s %5s %5s "
          "%6s\n",
          "fleet", "policy", "load", "gap", "part", "util", "short", "small",
          "long", "far", "bounc", "offer", "pull", "empty", "cred", "hub");
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.5, 0.9, 1.1, 1.5 };
  static const gint64 spills[] = { 1, 500, 8000, 32000, 128000 };
  int seconds = argc > 1 ? atoi (argv[1]) : 1800;

  print_header ();
  for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (gsize l = 0; l < G_N_ELEMENTS (loads); l++)
      for (int p = SIM_FAIR_SHARE; p <= SIM_LEAST_CONNECTIONS; p++)
        run (&fleets[f], (SimPolicy)p, loads[l], 2000, seconds);
  printf (
      "spill slack of 1, 500, 8000, 32000 and 128000 tokens (above: 2000)\n");
  for (gsize i = 0; i < G_N_ELEMENTS (spills); i++)
    run (&fleets[0], SIM_FAIR_SHARE, 1.5, spills[i], seconds);
  return 0;
}
