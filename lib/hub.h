/**
 * @file hub.h
 * The hub adds up the service that all agents charge, for every service of
 * the fleet. Its state is soft: a hub that starts empty under a new epoch
 * rebuilds it from the agents' full reports.
 *
 * docs/design/fair-share.md gives the exchange and what a loss costs.
 */
#ifndef QG_HUB_H
#define QG_HUB_H

#include "fair.h"

G_BEGIN_DECLS

/** Options; zero members take the defaults. */
typedef struct
{
  guint64 epoch;    /**< not 0; different from that of every other hub */
  QgTime silent_us; /**< an agent this long silent is gone (40 s) */
  guint max_items;  /**< counters in one answer (4096) */
} QgHubOptions;

typedef struct _QgHub QgHub;

QgHub *qg_hub_new (const QgHubOptions *options);
QgHub *qg_hub_ref (QgHub *hub);
void qg_hub_unref (QgHub *hub);

/**
 * Merges a report of the agent process @a agent and answers it.
 *
 * @return the answer, owned by the hub until the next call, or NULL when the
 * report is older than one that was answered.
 */
const Qg__FairTotals *qg_hub_report (QgHub *hub, QgTime now, const char *agent,
                                     guint64 incarnation,
                                     const Qg__FairReport *report);

/** Takes silent agents for gone; their charges stay. */
void qg_hub_expire (QgHub *hub, QgTime now);

/** The fleet's counter of @a workspace, in virtual units; 0 when unknown. */
gint64 qg_hub_counter (const QgHub *hub, const char *service,
                       const char *workspace);

/** Highest that the least counter of the backlogged has been. */
gint64 qg_hub_floor (const QgHub *hub, const char *service);

/** Workspaces of @a service that some agent sees backlogged. */
guint qg_hub_backlogged (const QgHub *hub, const char *service);

/** Agent processes that report for @a service. */
guint qg_hub_agents (const QgHub *hub, const char *service);

G_END_DECLS

#endif
