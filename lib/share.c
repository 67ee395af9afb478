#include "share.h"

#include <math.h>
#include <stdlib.h>

/** Seconds of its share that a workspace may accumulate: bursts within the
 * window over which shares are guaranteed are part of the share. */
#define BURST_SECONDS 2.0
/** Estimated capacity relative to the rate of started requests. With five
 * reports a second and an averaging time of a second, this factor lets the rate
 * grow by half within a second. */
#define SPARE_GROWTH 1.15
/** Rate that the owed level divides, relative to the rate of started requests,
 * while the targets serve less than the configured rate. Above 1, so that the
 * rate grows again; a multiple above 2 would be unfair. */
#define OWED_GROWTH 1.25
/** Spare capacity goes to the entry that finds an idle target first, so it is
 * not divided equally. A workspace may get at most this multiple of the rate
 * that any other workspace with unmet demand gets. A multiple above 2 is
 * unfair; this value is lower, because reports are delayed. */
#define SPARE_RATIO_MAX 1.4
/** Time constant with which the spare level rises with the workspace that gets
 * least: a workspace whose demand rises gets its share within this time. It
 * falls at once, as a level that falls late leaves the others more than twice
 * as much for seconds. */
#define SPARE_FOLLOW_TIME (1 * QG_SEC)
/** How long a workspace must demand more than the level before the level
 * follows it: until then its rate of started requests, which is an average,
 * lags behind its demand, and would cost spare capacity each time a demand
 * rises. Unfair is what lasts for six seconds. */
#define SPARE_UNMET_TIME (1200 * QG_MSEC)
/** A workspace is not limited while its demand is at most this fraction of the
 * level; a demand is known only with a delay, so it may be higher by now. */
#define UNLIMITED_FRACTION 0.8

/** Units a second, exponentially averaged over QG_SHARE_AVERAGING_TIME. */
typedef struct
{
  double value;
  QgTime at;
} Rate;

/** State of a workspace at a gate. */
typedef struct
{
  Rate demand;         /* of all requests at this entry */
  Rate started;        /* of the requests started by this entry */
  double total_demand; /* demand of the fleet; 0: unknown */
  double credit;       /* units left at the owed level */
  double spare_credit; /* units left at the spare level */
  QgTime credit_at;
} GateWorkspace;

struct _QgShareGate
{
  GHashTable *workspaces;
  double rate;
  guint entries;
  double level;
  double spare_level;
  QgTime level_at;
};

struct _QgShareHub
{
  GHashTable *reports; /* entry to Report */
  GHashTable *totals;  /* workspace to Total, kept up to date */
  GHashTable *unmet;   /* workspace to the time (QgTime) since which it demands
                          more than the spare level */
  double least;        /* lowest rate of started requests of any workspace with
                          unmet demand, averaged */
  QgTime least_at;
};

typedef struct
{
  QgTime at;
  GHashTable *rates; /* workspace to QgShareRates */
} Report;

/** Sum of the reports on a workspace. */
typedef struct
{
  QgShareRates rates;
  guint reports; /* that contain the workspace */
} Total;

static GateWorkspace *gate_workspace (QgShareGate *gate, const char *workspace);
static double rate_now (const Rate *rate, QgTime now);
static void rate_add (Rate *rate, double units, QgTime now);
static double entry_rate (const GateWorkspace *state, double level, QgTime now);
static gboolean refill (double *credit, double rate, QgTime elapsed);
static double local_level (QgShareGate *gate, QgTime now);
static int compare_doubles (const void *a, const void *b);
static void report_free (gpointer data);
static void add_to_total (QgShareHub *hub, const char *workspace,
                          const QgShareRates *rates);
static void subtract_report (QgShareHub *hub, const Report *report);
static void expire_reports (QgShareHub *hub, QgTime now);
static QgTime unmet_for (QgShareHub *hub, const char *workspace, double demand,
                         double level, QgTime now);
static gboolean has_no_total (gpointer workspace, gpointer since,
                              gpointer user);
static double least_started (QgShareHub *hub, double level, QgTime now);
static double cap_spare (QgShareHub *hub, double level, QgTime now);

QgShareGate *
qg_share_gate_new (void)
{
  QgShareGate *gate = g_new0 (QgShareGate, 1);

  gate->workspaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gate->entries = 1;
  gate->level_at = G_MININT64 / 2;
  return gate;
}

void
qg_share_gate_free (QgShareGate *gate)
{
  if (gate == NULL)
    return;
  g_hash_table_unref (gate->workspaces);
  g_free (gate);
}

void
qg_share_gate_set_rate (QgShareGate *gate, double rate, guint entries)
{
  gate->rate = rate;
  gate->entries = MAX (entries, 1);
}

static GateWorkspace *
gate_workspace (QgShareGate *gate, const char *workspace)
{
  GateWorkspace *state = g_hash_table_lookup (gate->workspaces, workspace);

  if (state == NULL)
    {
      state = g_new0 (GateWorkspace, 1);
      g_hash_table_insert (gate->workspaces, g_strdup (workspace), state);
    }
  return state;
}

static double
rate_now (const Rate *rate, QgTime now)
{
  return rate->value
         * exp (-(double)(now - rate->at) / (double)QG_SHARE_AVERAGING_TIME);
}

static void
rate_add (Rate *rate, double units, QgTime now)
{
  rate->value = rate_now (rate, now)
                + units * (double)QG_SEC / (double)QG_SHARE_AVERAGING_TIME;
  rate->at = now;
}

/* Computes the level to use while no unexpired level of the leader is known:
 * each entry then uses an equal part of the rate. */
static double
local_level (QgShareGate *gate, QgTime now)
{
  guint n = g_hash_table_size (gate->workspaces);
  double *demands = g_new (double, n);
  double level;
  GHashTableIter iter;
  gpointer value;
  guint i = 0;

  g_hash_table_iter_init (&iter, gate->workspaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    demands[i++] = rate_now (&((const GateWorkspace *)value)->demand, now);
  level = qg_share_level (demands, n, gate->rate / gate->entries);
  g_free (demands);
  return level;
}

/* The rate of a workspace's share that this entry may use, in proportion to the
 * part of the workspace's demand that arrives at this entry. */
static double
entry_rate (const GateWorkspace *state, double level, QgTime now)
{
  double here = rate_now (&state->demand, now);
  double total = MAX (state->total_demand, here);

  if (total <= level * UNLIMITED_FRACTION)
    return G_MAXDOUBLE;
  return level * here / total;
}

/* Refills a token bucket. Returns whether a request is allowed; an allowed
 * request may overdraw @a credit. */
static gboolean
refill (double *credit, double rate, QgTime elapsed)
{
  if (rate == G_MAXDOUBLE)
    {
      *credit = 0;
      return TRUE;
    }
  *credit += rate * (double)elapsed / (double)QG_SEC;
  *credit = MIN (*credit, rate * BURST_SECONDS);
  return *credit > 0;
}

QgShare
qg_share_gate_admit (QgShareGate *gate, const char *workspace, double units,
                     double demand_factor, QgTime now)
{
  GateWorkspace *state = gate_workspace (gate, workspace);
  QgTime elapsed;
  gboolean owed;
  gboolean spare;

  rate_add (&state->demand, units * demand_factor, now);
  if (gate->rate <= 0)
    return QG_SHARE_OWED;
  if (now - gate->level_at > QG_SHARE_EXPIRY)
    {
      gate->level = local_level (gate, now);
      gate->spare_level = gate->level;
      state->total_demand = 0;
    }
  elapsed = now - state->credit_at;
  state->credit_at = now;
  owed = refill (&state->credit, entry_rate (state, gate->level, now), elapsed);
  spare = refill (&state->spare_credit,
                  entry_rate (state, gate->spare_level, now), elapsed);
  /* The spare share includes the owed share, so an owed request uses both. */
  if (owed || spare)
    state->spare_credit -= units;
  if (owed)
    state->credit -= units;
  if (owed)
    return QG_SHARE_OWED;
  return spare ? QG_SHARE_SPARE : QG_SHARE_BEYOND;
}

gboolean
qg_share_gate_is_within (QgShareGate *gate, const char *workspace, QgTime now)
{
  const GateWorkspace *state
      = g_hash_table_lookup (gate->workspaces, workspace);

  if (gate->rate <= 0 || now - gate->level_at > QG_SHARE_EXPIRY)
    return FALSE;
  return state == NULL || entry_rate (state, gate->level, now) == G_MAXDOUBLE;
}

QgShareInputs
qg_share_gate_inputs (QgShareGate *gate, const char *workspace, QgTime now)
{
  const GateWorkspace *state = gate_workspace (gate, workspace);

  return (QgShareInputs){ gate->level, gate->spare_level,
                          rate_now (&state->demand, now), state->total_demand,
                          now - gate->level_at };
}

void
qg_share_gate_started (QgShareGate *gate, const char *workspace, double units,
                       QgTime now)
{
  rate_add (&gate_workspace (gate, workspace)->started, units, now);
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

  g_hash_table_iter_init (&iter, gate->workspaces);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const GateWorkspace *state = value;
      QgShareRates rates
          = { rate_now (&state->demand, now), rate_now (&state->started, now) };

      if (rates.demand < 1)
        g_hash_table_iter_remove (&iter);
      else
        visit (key, &rates, user);
    }
}

void
qg_share_gate_set_levels (QgShareGate *gate, double level, double spare_level,
                          QgTime now)
{
  gate->level = level;
  gate->spare_level = spare_level;
  gate->level_at = now;
}

void
qg_share_gate_set_total (QgShareGate *gate, const char *workspace, double rate)
{
  GateWorkspace *state = g_hash_table_lookup (gate->workspaces, workspace);

  if (state != NULL)
    state->total_demand = rate;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

double
qg_share_level (double *demands, guint n, double rate)
{
  if (n > 0)
    qsort (demands, n, sizeof *demands, compare_doubles);
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
  hub->unmet = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return hub;
}

void
qg_share_hub_free (QgShareHub *hub)
{
  g_hash_table_unref (hub->reports);
  g_hash_table_unref (hub->totals);
  g_hash_table_unref (hub->unmet);
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
add_to_total (QgShareHub *hub, const char *workspace, const QgShareRates *rates)
{
  Total *total = g_hash_table_lookup (hub->totals, workspace);

  if (total == NULL)
    {
      total = g_new0 (Total, 1);
      g_hash_table_insert (hub->totals, g_strdup (workspace), total);
    }
  total->rates.demand += rates->demand;
  total->rates.started += rates->started;
  total->reports++;
}

/* Removes a total with its last report, so that rounding errors of the
 * subtraction leave no demand behind. */
static void
subtract_report (QgShareHub *hub, const Report *report)
{
  GHashTableIter iter;
  gpointer workspace;
  gpointer value;

  g_hash_table_iter_init (&iter, report->rates);
  while (g_hash_table_iter_next (&iter, &workspace, &value))
    {
      const QgShareRates *rates = value;
      Total *total = g_hash_table_lookup (hub->totals, workspace);

      if (--total->reports == 0)
        {
          g_hash_table_remove (hub->totals, workspace);
          continue;
        }
      total->rates.demand = MAX (total->rates.demand - rates->demand, 0);
      total->rates.started = MAX (total->rates.started - rates->started, 0);
    }
}

void
qg_share_hub_begin (QgShareHub *hub, const char *entry, QgTime now)
{
  const Report *last = g_hash_table_lookup (hub->reports, entry);
  Report *report = g_new0 (Report, 1);

  if (last != NULL)
    subtract_report (hub, last);
  report->at = now;
  report->rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (hub->reports, g_strdup (entry), report);
}

/* The first rates of a workspace in a report count. */
void
qg_share_hub_add (QgShareHub *hub, const char *entry, const char *workspace,
                  const QgShareRates *rates)
{
  Report *report = g_hash_table_lookup (hub->reports, entry);

  if (report == NULL || rates->demand <= 0
      || g_hash_table_contains (report->rates, workspace))
    return;
  g_hash_table_insert (report->rates, g_strdup (workspace),
                       g_memdup2 (rates, sizeof *rates));
  add_to_total (hub, workspace, rates);
}

static void
expire_reports (QgShareHub *hub, QgTime now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, hub->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Report *report = value;

      if (now - report->at <= QG_SHARE_EXPIRY)
        continue;
      subtract_report (hub, report);
      g_hash_table_iter_remove (&iter);
    }
}

/* For how long the demand of @workspace, which is @demand, has been above
 * @level; -1: it is not. Totals do not last from one report of an entry to the
 * next, so the time is kept apart from them. */
static QgTime
unmet_for (QgShareHub *hub, const char *workspace, double demand, double level,
           QgTime now)
{
  QgTime *since = g_hash_table_lookup (hub->unmet, workspace);

  if (demand <= level)
    {
      g_hash_table_remove (hub->unmet, workspace);
      return -1;
    }
  if (since == NULL)
    {
      since = g_new (QgTime, 1);
      *since = now;
      g_hash_table_insert (hub->unmet, g_strdup (workspace), since);
    }
  return now - *since;
}

static gboolean
has_no_total (gpointer workspace, gpointer since, gpointer user)
{
  return !g_hash_table_contains (((QgShareHub *)user)->totals, workspace);
}

/* The lowest rate of started requests among the workspaces whose demand has
 * been above @a level for SPARE_UNMET_TIME. */
static double
least_started (QgShareHub *hub, double level, QgTime now)
{
  GHashTableIter iter;
  gpointer workspace;
  gpointer value;
  double least = G_MAXDOUBLE;

  g_hash_table_foreach_remove (hub->unmet, has_no_total, hub);
  g_hash_table_iter_init (&iter, hub->totals);
  while (g_hash_table_iter_next (&iter, &workspace, &value))
    {
      const QgShareRates *rates = &((const Total *)value)->rates;

      if (unmet_for (hub, workspace, rates->demand, level, now)
          >= SPARE_UNMET_TIME)
        least = MIN (least, rates->started);
    }
  return least;
}

/* Limits the spare level @a level to SPARE_RATIO_MAX times the least started
 * rate, which is followed upwards with a delay, so that no workspace gets much
 * more than the workspace that gets least. */
static double
cap_spare (QgShareHub *hub, double level, QgTime now)
{
  double least = MIN (least_started (hub, level, now), level);
  double elapsed = (double)(now - hub->least_at) / (double)SPARE_FOLLOW_TIME;
  double step = elapsed < 0 ? 0 : 1 - exp (-elapsed);

  if (level >= G_MAXDOUBLE)
    return level;
  if (least < hub->least)
    step = 1;
  hub->least = MIN (hub->least + (least - hub->least) * step, level);
  hub->least_at = now;
  return MIN (level, hub->least * SPARE_RATIO_MAX);
}

QgShareLevels
qg_share_hub_compute_levels (QgShareHub *hub, double rate, QgTime now)
{
  GHashTableIter iter;
  gpointer value;
  QgShareLevels levels;
  double *demands;
  double started = 0;
  guint n = 0;

  expire_reports (hub, now);
  demands = g_new (double, g_hash_table_size (hub->totals));
  g_hash_table_iter_init (&iter, hub->totals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QgShareRates *rates = &((const Total *)value)->rates;

      demands[n++] = rates->demand;
      started += rates->started;
    }
  levels.owed = qg_share_level (
      demands, n, started > 0 ? MIN (rate, started * OWED_GROWTH) : rate);
  levels.spare = cap_spare (
      hub, qg_share_level (demands, n, MAX (rate, started * SPARE_GROWTH)),
      now);
  levels.spare = MAX (levels.spare, levels.owed);
  g_free (demands);
  return levels;
}

double
qg_share_hub_total (const QgShareHub *hub, const char *workspace)
{
  const Total *total = g_hash_table_lookup (hub->totals, workspace);

  return total != NULL ? total->rates.demand : 0;
}
