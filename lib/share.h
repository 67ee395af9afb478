/**
 * @file share.h
 * Max-min fair shares of a fleet's rate for workspaces, in two parts without
 * I/O. The gate of each entry measures the demand at that entry and decides
 * whether a request is within the share of its workspace. The hub of the leader
 * sums the demands of all entries and computes the level: the rate up to which
 * the demand of each workspace is met.
 *
 * The owed level divides the configured rate, or the capacity that the targets
 * actually have if that is less. The spare level divides this capacity if it is
 * more than the configured rate.
 *
 * Load patterns:
 *  - All workspaces together demand two to three times the rate for hours:
 *    requests within the shares are sent first and find short queues; the
 *    others are refused at once if there is no spare capacity.
 *  - One workspace sends ten times its usual rate: its share does not grow, so
 *    other workspaces are not affected.
 *  - The targets have more capacity than configured: the spare capacity is
 *    divided fairly, too. The capacity is estimated as slightly more than the
 *    rate of recently started requests, so that spare capacity is found, and
 *    given up, within a second.
 *  - The targets lose most of their capacity: if more were owed than they
 *    serve, it would depend on the entry of a workspace what it gets.
 *  - All callers of a workspace use the same entry although there are many, and
 *    that entry finds few of the idle targets. The spare level then falls until
 *    every other workspace gets less than twice as much as this workspace.
 *
 * Units: a prompt token counts as one, a generated token as two.
 */
#ifndef QG_SHARE_H
#define QG_SHARE_H

#include "qg.h"

G_BEGIN_DECLS

/** Averaging time of rates: short compared to the window over which shares are
 * guaranteed (4 s), long compared to the intervals between requests. */
#define QG_SHARE_AVERAGING_TIME (1 * QG_SEC)
/** Interval between two reports of an entry. */
#define QG_SHARE_PERIOD (200 * QG_MSEC)
/** The interval between two reports of an entry is at least this time
 * multiplied by the number of entries: with more than 50 entries, each entry
 * reports less often, so that the leader gets at most 250 reports a second. */
#define QG_SHARE_PERIOD_PER_ENTRY (4 * QG_MSEC)
/** Time after which reports and levels expire: long enough for several periods
 * and an election. */
#define QG_SHARE_EXPIRY (3 * QG_SEC)

/* Gate of an entry */

typedef struct _QgShareGate QgShareGate;

QgShareGate *qg_share_gate_new (void);
void qg_share_gate_free (QgShareGate *gate);

/** Sets the rate of the whole fleet in units a second (0: unknown, no limit),
 * and the number of entries. The number of entries is used while no unexpired
 * level of the leader is known. */
void qg_share_gate_set_rate (QgShareGate *gate, double rate, guint entries);

/** Decision of the gate on a request. */
typedef enum
{
  QG_SHARE_OWED,  /**< within the share of its workspace */
  QG_SHARE_SPARE, /**< within the share of the spare capacity */
  QG_SHARE_BEYOND /**< beyond both shares */
} QgShare;

/** Counts a new request of @a units as demand and decides on it.
 *
 * @param demand_factor requests that arrive at this entry, divided by those
 * that reach the gate; see qg_intake_demand_factor(). */
QgShare qg_share_gate_admit (QgShareGate *gate, const char *workspace,
                             double units, double demand_factor, QgTime now);

/** Whether the demand of @a workspace is known to be within its owed share, or
 * none is known; FALSE while there are no current levels. */
gboolean qg_share_gate_is_within (QgShareGate *gate, const char *workspace,
                                  QgTime now);

/** Inputs of the last decision on a workspace; rates in units a second. */
typedef struct
{
  double level;        /**< owed level */
  double spare_level;  /**< spare level */
  double local_demand; /**< demand at this entry */
  double total_demand; /**< demand of the fleet; 0: unknown */
  QgTime level_age;    /**< time since the leader sent the last levels */
} QgShareInputs;

QgShareInputs qg_share_gate_inputs (QgShareGate *gate, const char *workspace,
                                    QgTime now);

/** Counts a request that qg_share_gate_admit() decided on as started. */
void qg_share_gate_started (QgShareGate *gate, const char *workspace,
                            double units, QgTime now);

/** Recent rates of a workspace at an entry, in units a second. */
typedef struct
{
  double demand;  /**< rate of all its requests */
  double started; /**< rate of its started requests */
} QgShareRates;

/** Calls @a visit for each workspace with demand, and drops all workspaces
 * without demand. */
void qg_share_gate_each (QgShareGate *gate, QgTime now,
                         void (*visit) (const char *workspace,
                                        const QgShareRates *rates,
                                        gpointer user),
                         gpointer user);

/** Stores what the leader sent: the levels, and the fleet's demand of a
 * workspace. */
void qg_share_gate_set_levels (QgShareGate *gate, double level,
                               double spare_level, QgTime now);
void qg_share_gate_set_total (QgShareGate *gate, const char *workspace,
                              double rate);

/* Hub of the leader */

typedef struct _QgShareHub QgShareHub;

QgShareHub *qg_share_hub_new (void);
void qg_share_hub_free (QgShareHub *hub);

/** Starts a new report of @a entry, which replaces its previous report. The
 * caller must then call qg_share_hub_add() for each workspace. */
void qg_share_hub_begin (QgShareHub *hub, const char *entry, QgTime now);
void qg_share_hub_add (QgShareHub *hub, const char *entry,
                       const char *workspace, const QgShareRates *rates);

/** Rates up to which the demand of a workspace is met. */
typedef struct
{
  double owed;  /**< from the configured rate */
  double spare; /**< from the actual capacity; at least owed */
} QgShareLevels;

/** Sums the reports that have not expired and computes the levels. */
QgShareLevels qg_share_hub_compute_levels (QgShareHub *hub, double rate,
                                           QgTime now);

/** The fleet's demand of @a workspace at the last
 * qg_share_hub_compute_levels(). */
double qg_share_hub_total (const QgShareHub *hub, const char *workspace);

/** Returns the level such that @a rate is used up when each of the @a n demands
 * is met up to this level; G_MAXDOUBLE if all demands can be met in full. Sorts
 * @a demands. */
double qg_share_level (double *demands, guint n, double rate);

G_END_DECLS

#endif
