#include "share.h"

#include <math.h>
#include <stdlib.h>

/** Seconds of its share that a workspace may save up: bursts inside the window
 * over which shares are owed are part of what is owed. */
#define BURST_S 2.0
/** The rate of what is to spare over what began of late: growth by half within
 * a second, at five reports a second and a second's average. */
#define SPARE_GROWTH 1.15
/** A workspace whose demand is below this part of the level is not held to
 * it: its demand is known with a delay. */
#define FREE_PART 0.8

/** What a gate knows of a workspace. */
typedef struct
{
  double rate; /* units a second asked here, smoothed */
  QgTime rate_at;
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
  double begun;
  QgTime begun_at;
};

struct _QgShareHub
{
  GHashTable *reports; /* entry to Report */
  GHashTable *totals;  /* workspace to double */
};

typedef struct
{
  QgTime at;
  double begun;
  GHashTable *rates; /* workspace to double */
} Report;

static GateSpace *space_of (QgShareGate *gate, const char *workspace);
static double rate_of (const GateSpace *space, QgTime now);
static double own_rate (const GateSpace *space, double level, QgTime now);
static gboolean draw (double *credit, double rate, double units, QgTime passed);
static double local_level (QgShareGate *gate, QgTime now);
static int compare (const void *a, const void *b);
static void report_free (gpointer data);
static void put_rate (GHashTable *rates, const char *workspace, double rate);

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
rate_of (const GateSpace *space, QgTime now)
{
  return space->rate
         * exp (-(double)(now - space->rate_at) / (double)QG_SHARE_SPAN);
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
    demands[i++] = rate_of (value, now);
  level = qg_share_level (demands, n, gate->rate / gate->entries);
  g_free (demands);
  return level;
}

/* The part of the workspace's share that belongs to this entry. */
static double
own_rate (const GateSpace *space, double level, QgTime now)
{
  double here = rate_of (space, now);
  double total = MAX (space->total, here);

  if (total <= level * FREE_PART)
    return G_MAXDOUBLE;
  return level * here / total;
}

/* Draws @a units from @a credit, which grows by @a rate up to a burst. */
static gboolean
draw (double *credit, double rate, double units, QgTime passed)
{
  if (rate == G_MAXDOUBLE)
    {
      *credit = 0;
      return TRUE;
    }
  *credit += rate * (double)passed / (double)QG_SEC;
  *credit = MIN (*credit, rate * BURST_S);
  if (*credit <= 0)
    return FALSE;
  *credit -= units;
  return TRUE;
}

QgShare
qg_share_gate_ask (QgShareGate *gate, const char *workspace, double units,
                   QgTime now)
{
  GateSpace *space = space_of (gate, workspace);
  QgTime passed;
  gboolean owed;
  gboolean spare;

  space->rate
      = rate_of (space, now) + units * (double)QG_SEC / (double)QG_SHARE_SPAN;
  space->rate_at = now;
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
  owed = draw (&space->credit, own_rate (space, gate->level, now), units,
               passed);
  spare = draw (&space->spare, own_rate (space, gate->spare_level, now), units,
                passed);
  if (owed)
    return QG_SHARE_OWED;
  return spare ? QG_SHARE_SPARE : QG_SHARE_BEYOND;
}

void
qg_share_gate_begun (QgShareGate *gate, double units, QgTime now)
{
  gate->begun = qg_share_gate_begun_rate (gate, now)
                + units * (double)QG_SEC / (double)QG_SHARE_SPAN;
  gate->begun_at = now;
}

double
qg_share_gate_begun_rate (const QgShareGate *gate, QgTime now)
{
  return gate->begun
         * exp (-(double)(now - gate->begun_at) / (double)QG_SHARE_SPAN);
}

void
qg_share_gate_each (QgShareGate *gate, QgTime now,
                    void (*visit) (const char *workspace, double rate,
                                   gpointer user),
                    gpointer user)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, gate->spaces);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      double rate = rate_of (value, now);

      if (rate < 1)
        g_hash_table_iter_remove (&iter);
      else
        visit (key, rate, user);
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
put_rate (GHashTable *rates, const char *workspace, double rate)
{
  double *sum = g_hash_table_lookup (rates, workspace);

  if (sum == NULL)
    {
      sum = g_new0 (double, 1);
      g_hash_table_insert (rates, g_strdup (workspace), sum);
    }
  *sum += rate;
}

void
qg_share_hub_begin (QgShareHub *hub, const char *entry, double begun,
                    QgTime now)
{
  Report *report = g_new0 (Report, 1);

  report->at = now;
  report->begun = begun;
  report->rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (hub->reports, g_strdup (entry), report);
}

void
qg_share_hub_add (QgShareHub *hub, const char *entry, const char *workspace,
                  double rate)
{
  Report *report = g_hash_table_lookup (hub->reports, entry);

  if (report != NULL && rate > 0)
    put_rate (report->rates, workspace, rate);
}

QgShareLevels
qg_share_hub_level (QgShareHub *hub, double rate, QgTime now)
{
  GHashTableIter iter;
  GHashTableIter rates;
  gpointer key;
  gpointer value;
  QgShareLevels levels;
  double *demands;
  double begun = 0;
  guint n = 0;

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
      begun += report->begun;
      g_hash_table_iter_init (&rates, report->rates);
      while (g_hash_table_iter_next (&rates, &key, &value))
        put_rate (hub->totals, key, *(double *)value);
    }
  demands = g_new (double, g_hash_table_size (hub->totals));
  g_hash_table_iter_init (&iter, hub->totals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    demands[n++] = *(double *)value;
  levels.owed = qg_share_level (demands, n, rate);
  levels.spare = qg_share_level (demands, n, MAX (rate, begun * SPARE_GROWTH));
  g_free (demands);
  return levels;
}

double
qg_share_hub_total (const QgShareHub *hub, const char *workspace)
{
  const double *sum = g_hash_table_lookup (hub->totals, workspace);

  return sum != NULL ? *sum : 0;
}
