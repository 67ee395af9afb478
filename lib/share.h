/**
 * @file share.h
 * Max-min shares of a fleet's rate over workspaces, as two pure parts: each
 * entry's gate, which counts what is asked of it and tells whether a request
 * is within its workspace's share, and the leader's hub, which adds up the
 * counts of the entries and finds the level.
 *
 * Load patterns it answers:
 *  - All workspaces together ask two to three times the rate all day: what is
 *    within the shares goes first and finds short queues, the rest is told at
 *    once when there is no room to spare.
 *  - One workspace sends ten times its usual: its share does not grow, so the
 *    others see nothing of it.
 *  - The targets bear more than the stated rate: what is to spare is shared
 *    alike. Its rate is a little above what began of late, so it is found
 *    within a second and given up as fast.
 *  - A workspace has all its callers at one of many entries, where it finds few
 *    of the idle targets: the level of what is to spare falls for the others
 *    until it has more than half of what they have.
 *
 * Units are prompt tokens once and generated tokens twice.
 */
#ifndef QG_SHARE_H
#define QG_SHARE_H

#include "qg.h"

G_BEGIN_DECLS

/** Time over which demand is averaged: short against the window over which
 * shares are owed (4 s), long against the gaps between requests. */
#define QG_SHARE_SPAN (1 * QG_SEC)
/** An entry reports this often. */
#define QG_SHARE_PERIOD (200 * QG_MSEC)
/** Beyond 50 entries an entry reports less often: 250 reports a second. */
#define QG_SHARE_EACH (4 * QG_MSEC)
/** A report or a level counts for so long: several periods and an election. */
#define QG_SHARE_VALID (3 * QG_SEC)

/* The gate of one entry. */

typedef struct _QgShareGate QgShareGate;

QgShareGate *qg_share_gate_new (void);
void qg_share_gate_free (QgShareGate *gate);

/** The rate of the whole fleet in units a second (0: unknown, no limits), and
 * the number of entries, for the time without a level. */
void qg_share_gate_set_rate (QgShareGate *gate, double rate, guint entries);

/** Where a request stands. */
typedef enum
{
  QG_SHARE_OWED,  /**< within the share of its workspace */
  QG_SHARE_SPARE, /**< within the share of what the targets really bear */
  QG_SHARE_BEYOND /**< others have less */
} QgShare;

/** Notes a request of @a units that was asked for. */
QgShare qg_share_gate_ask (QgShareGate *gate, const char *workspace,
                           double units, QgTime now);

/** What the last verdict on a workspace rested on; rates in units a second. */
typedef struct
{
  double level;       /**< of what is owed */
  double spare_level; /**< of what the targets really bear */
  double here;        /**< asked of this entry */
  double total;       /**< asked of the fleet, 0: not told */
  QgTime level_age;   /**< since the leader told the level */
} QgShareInputs;

QgShareInputs qg_share_gate_inputs (QgShareGate *gate, const char *workspace,
                                    QgTime now);

/** Notes that a request of @a units, which was asked for, began to run. */
void qg_share_gate_begun (QgShareGate *gate, const char *workspace,
                          double units, QgTime now);

/** What a workspace does at an entry, in units a second of late. */
typedef struct
{
  double asked;
  double begun;
} QgShareRates;

/** Calls @a visit for each workspace with demand. */
void qg_share_gate_each (QgShareGate *gate, QgTime now,
                         void (*visit) (const char *workspace,
                                        const QgShareRates *rates,
                                        gpointer user),
                         gpointer user);

/** Takes the leader's levels, and the demand of one workspace on the fleet. */
void qg_share_gate_level (QgShareGate *gate, double level, double spare_level,
                          QgTime now);
void qg_share_gate_total (QgShareGate *gate, const char *workspace,
                          double rate);

/* The hub of the leader. */

typedef struct _QgShareHub QgShareHub;

QgShareHub *qg_share_hub_new (void);
void qg_share_hub_free (QgShareHub *hub);

/** Begins the report of @a entry, which replaces its last one. */
void qg_share_hub_begin (QgShareHub *hub, const char *entry, QgTime now);
void qg_share_hub_add (QgShareHub *hub, const char *entry,
                       const char *workspace, const QgShareRates *rates);

/** The levels for the stated rate, and for what the targets really bear. */
typedef struct
{
  double owed;
  double spare;
} QgShareLevels;

/** Adds up all valid reports, and finds the levels. */
QgShareLevels qg_share_hub_level (QgShareHub *hub, double rate, QgTime now);

/** Demand of @a workspace on the fleet, as of the last level. */
double qg_share_hub_total (const QgShareHub *hub, const char *workspace);

/** The level up to which each of @a n demands is met so that all together
 * take @a rate; G_MAXDOUBLE when there is enough for all. Sorts @a demands. */
double qg_share_level (double *demands, guint n, double rate);

G_END_DECLS

#endif
