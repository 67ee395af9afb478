#include "share.h"

#include <math.h>
#include <stdlib.h>

/** Seconds of its share that a workspace may save up: bursts inside the window
 * over which shares are owed are part of what is owed. */
#define BURST_S 2.0
/** The rate of what is to spare over what began of late: growth by half within
 * a second, at five reports a second and a second's average. */
#define SPARE_GROWTH 1.15
/** What is to spare goes to the entry that finds an idle target first. A
 * workspace may get so many times what another gets that asks for more, too:
 * less than half of what the best served has is unfair (2, and some for what
 * is known with a delay). */
#define SPARE_LEAD 1.6
/** Time in which the level of what is to spare follows the workspace that gets
 * least: a workspace that begins to ask for more has what it gets by then. */
#define SPARE_FOLLOW (1 * QG_SEC)
/** A workspace whose demand is below this part of the level is not held to
 * it: its demand is known with a delay. */
#define FREE_PART 0.8

/** Units a second, averaged over QG_SHARE_SPAN. */
typedef struct
{
  double value;
  QgTime at;
} Rate;

/** What a gate knows of a workspace. */
typedef struct
{
  Rate asked;    /* here */
  Rate begun;    /* of what was asked here */
  double total;  /* on the fleet, 0: unknown */
  double credit; /* of what is owed */
  double spare;  /* credit of what is to spare */
  QgTime credit_at;
} GateSpace;

struct _QgShareGate
{
  GHashTable *spaces;
  double rate;
  guint entries;
  double level;
  double spare_level;
  QgTime level_at;
};

struct _QgShareHub
{
  GHashTable *reports; /* entry to Report */
  GHashTable *totals;  /* workspace to QgShareRates */
  double least;        /* of what unsatisfied workspaces begin, followed */
  QgTime least_at;
};

typedef struct
{
  QgTime at;
  GHashTable *rates; /* workspace to QgShareRates */
} Report;

static GateSpace *space_of (QgShareGate *gate, const char *workspace);
static double rate_now (const Rate *rate, QgTime now);
static void rate_add (Rate *rate, double units, QgTime now);
static double own_rate (const GateSpace *space, double level, QgTime now);
static gboolean grow (double *credit, double rate, QgTime passed);
static double local_level (QgShareGate *gate, QgTime now);
static int compare (const void *a, const void *b);
static void report_free (gpointer data);
static void put_rates (GHashTable *sums, const char *workspace,
                       const QgShareRates *rates);
static void add_up (QgShareHub *hub, QgTime now);
static double least_begun (const QgShareHub *hub, double level);
static double cap_spare (QgShareHub *hub, double level, QgTime now);

QgShareGate *
qg_share_gate_new (void)
{
  QgShareGate *gate = g_new0 (QgShareGate, 1);

  gate->spaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gate->entries = 1;
  gate->level_at = G_MININT64 / 2;
  return gate;
}

void
qg_share_gate_free (QgShareGate *gate)
{
  g_hash_table_unref (gate->spaces);
  g_free (gate);
}

void
qg_share_gate_set_rate (QgShareGate *gate, double rate, guint entries)
{
  gate->rate = rate;
  gate->entries = MAX (entries, 1);
}

static GateSpace *
space_of (QgShareGate *gate, const char *workspace)
{
  GateSpace *space = g_hash_table_lookup (gate->spaces, workspace);

  if (space == NULL)
    {
      space = g_new0 (GateSpace, 1);
      g_hash_table_insert (gate->spaces, g_strdup (workspace), space);
    }
  return space;
}

static double
rate_now (const Rate *rate, QgTime now)
{
  return rate->value * exp (-(double)(now - rate->at) / (double)QG_SHARE_SPAN);
}

static void
rate_add (Rate *rate, double units, QgTime now)
{
  rate->value
      = rate_now (rate, now) + units * (double)QG_SEC / (double)QG_SHARE_SPAN;
  rate->at = now;
}

/* Without a level of the leader this entry takes its part of the rate. */
static double
local_level (QgShareGate *gate, QgTime now)
{
  guint n = g_hash_table_size (gate->spaces);
  double *demands = g_new (double, n);
  double level;
  GHashTableIter iter;
  gpointer value;
  guint i = 0;

  g_hash_table_iter_init (&iter, gate->spaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    demands[i++] = rate_now (&((const GateSpace *)value)->asked, now);
  level = qg_share_level (demands, n, gate->rate / gate->entries);
  g_free (demands);
  return level;
}

/* The part of the workspace's share that belongs to this entry. */
static double
own_rate (const GateSpace *space, double level, QgTime now)
{
  double here = rate_now (&space->asked, now);
  double total = MAX (space->total, here);

  if (total <= level * FREE_PART)
    return G_MAXDOUBLE;
  return level * here / total;
}

/* Lets @a credit grow by @a rate, up to a burst. Returns whether it bears a
 * request; one may overdraw it. */
static gboolean
grow (double *credit, double rate, QgTime passed)
{
  if (rate == G_MAXDOUBLE)
    {
      *credit = 0;
      return TRUE;
    }
  *credit += rate * (double)passed / (double)QG_SEC;
  *credit = MIN (*credit, rate * BURST_S);
  return *credit > 0;
}

QgShare
qg_share_gate_ask (QgShareGate *gate, const char *workspace, double units,
                   QgTime now)
{
  GateSpace *space = space_of (gate, workspace);
  QgTime passed;
  gboolean owed;
  gboolean spare;

  rate_add (&space->asked, units, now);
  if (gate->rate <= 0)
    return QG_SHARE_OWED;
  if (now - gate->level_at > QG_SHARE_VALID)
    {
      gate->level = local_level (gate, now);
      gate->spare_level = gate->level;
      space->total = 0;
    }
  passed = now - space->credit_at;
  space->credit_at = now;
  owed = grow (&space->credit, own_rate (space, gate->level, now), passed);
  spare
      = grow (&space->spare, own_rate (space, gate->spare_level, now), passed);
  /* What is owed is part of what may be had, not added to it. */
  if (owed || spare)
    space->spare -= units;
  if (owed)
    space->credit -= units;
  if (owed)
    return QG_SHARE_OWED;
  return spare ? QG_SHARE_SPARE : QG_SHARE_BEYOND;
}

QgShareInputs
qg_share_gate_inputs (QgShareGate *gate, const char *workspace, QgTime now)
{
  const GateSpace *space = space_of (gate, workspace);

  return (QgShareInputs){ gate->level, gate->spare_level,
                          rate_now (&space->asked, now), space->total,
                          now - gate->level_at };
}

void
qg_share_gate_begun (QgShareGate *gate, const char *workspace, double units,
                     QgTime now)
{
  rate_add (&space_of (gate, workspace)->begun, units, now);
}

void
qg_share_gate_each (QgShareGate *gate, QgTime now,
                    void (*visit) (const char *workspace,
                                   const QgShareRates *rates, gpointer user),
                    gpointer user)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, gate->spaces);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const GateSpace *space = value;
      QgShareRates rates
          = { rate_now (&space->asked, now), rate_now (&space->begun, now) };

      if (rates.asked < 1)
        g_hash_table_iter_remove (&iter);
      else
        visit (key, &rates, user);
    }
}

void
qg_share_gate_level (QgShareGate *gate, double level, double spare_level,
                     QgTime now)
{
  gate->level = level;
  gate->spare_level = spare_level;
  gate->level_at = now;
}

void
qg_share_gate_total (QgShareGate *gate, const char *workspace, double rate)
{
  GateSpace *space = g_hash_table_lookup (gate->spaces, workspace);

  if (space != NULL)
    space->total = rate;
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

double
qg_share_level (double *demands, guint n, double rate)
{
  qsort (demands, n, sizeof *demands, compare);
  for (guint i = 0; i < n; i++)
    {
      double even = rate / (n - i);

      if (demands[i] > even)
        return even;
      rate -= demands[i];
    }
  return G_MAXDOUBLE;
}

QgShareHub *
qg_share_hub_new (void)
{
  QgShareHub *hub = g_new0 (QgShareHub, 1);

  hub->reports
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  hub->totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return hub;
}

void
qg_share_hub_free (QgShareHub *hub)
{
  g_hash_table_unref (hub->reports);
  g_hash_table_unref (hub->totals);
  g_free (hub);
}

static void
report_free (gpointer data)
{
  Report *report = data;

  g_hash_table_unref (report->rates);
  g_free (report);
}

static void
put_rates (GHashTable *sums, const char *workspace, const QgShareRates *rates)
{
  QgShareRates *sum = g_hash_table_lookup (sums, workspace);

  if (sum == NULL)
    {
      sum = g_new0 (QgShareRates, 1);
      g_hash_table_insert (sums, g_strdup (workspace), sum);
    }
  sum->asked += rates->asked;
  sum->begun += rates->begun;
}

void
qg_share_hub_begin (QgShareHub *hub, const char *entry, QgTime now)
{
  Report *report = g_new0 (Report, 1);

  report->at = now;
  report->rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (hub->reports, g_strdup (entry), report);
}

void
qg_share_hub_add (QgShareHub *hub, const char *entry, const char *workspace,
                  const QgShareRates *rates)
{
  Report *report = g_hash_table_lookup (hub->reports, entry);

  if (report != NULL && rates->asked > 0)
    put_rates (report->rates, workspace, rates);
}

/* Sums what the valid reports say; the others are dropped. */
static void
add_up (QgShareHub *hub, QgTime now)
{
  GHashTableIter iter;
  GHashTableIter rates;
  gpointer key;
  gpointer value;

  g_hash_table_remove_all (hub->totals);
  g_hash_table_iter_init (&iter, hub->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Report *report = value;

      if (now - report->at > QG_SHARE_VALID)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      g_hash_table_iter_init (&rates, report->rates);
      while (g_hash_table_iter_next (&rates, &key, &value))
        put_rates (hub->totals, key, value);
    }
}

/* What the worst served of those begins that ask for more than @a level. */
static double
least_begun (const QgShareHub *hub, double level)
{
  GHashTableIter iter;
  gpointer value;
  double least = G_MAXDOUBLE;

  g_hash_table_iter_init (&iter, hub->totals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QgShareRates *rates = value;

      if (rates->asked > level)
        least = MIN (least, rates->begun);
    }
  return least;
}

/* Returns how much of the level @a level of what is to spare a workspace may
 * have, so that none leads too far before another. */
static double
cap_spare (QgShareHub *hub, double level, QgTime now)
{
  double least = MIN (least_begun (hub, level), level);
  double passed = (double)(now - hub->least_at) / (double)SPARE_FOLLOW;
  double step = passed < 0 ? 0 : 1 - exp (-passed);

  if (level >= G_MAXDOUBLE)
    return level;
  hub->least = MIN (hub->least + (least - hub->least) * step, level);
  hub->least_at = now;
  return MIN (level, hub->least * SPARE_LEAD);
}

QgShareLevels
qg_share_hub_level (QgShareHub *hub, double rate, QgTime now)
{
  GHashTableIter iter;
  gpointer value;
  QgShareLevels levels;
  double *demands;
  double begun = 0;
  guint n = 0;

  add_up (hub, now);
  demands = g_new (double, g_hash_table_size (hub->totals));
  g_hash_table_iter_init (&iter, hub->totals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QgShareRates *rates = value;

      demands[n++] = rates->asked;
      begun += rates->begun;
    }
  levels.owed = qg_share_level (demands, n, rate);
  levels.spare = cap_spare (
      hub, qg_share_level (demands, n, MAX (rate, begun * SPARE_GROWTH)), now);
  levels.spare = MAX (levels.spare, levels.owed);
  g_free (demands);
  return levels;
}

double
qg_share_hub_total (const QgShareHub *hub, const char *workspace)
{
  const QgShareRates *sum = g_hash_table_lookup (hub->totals, workspace);

  return sum != NULL ? sum->asked : 0;
}
