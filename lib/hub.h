/**
 * @file hub.h
 * The hub adds up what all agents charge to each workspace, for every service
 * of the fleet. Its state is not stored: a new hub starts empty with a new
 * epoch and rebuilds the counters from full reports of the agents.
 *
 * docs/design/fair-share.md describes the protocol and the effect of losing
 * the hub.
 */
#ifndef QG_HUB_H
#define QG_HUB_H

#include "fair.h"

G_BEGIN_DECLS

/** Options; zero members take the defaults. */
typedef struct
{
  guint64 epoch;           /**< not 0; unique to this hub */
  QgTime agent_timeout_us; /**< time until a silent agent expires (default:
                              40 s) */
  guint max_items;         /**< cap on counters in one answer (default: 4096) */
} QgHubOptions;

typedef struct _QgHub QgHub;

QgHub *qg_hub_new (const QgHubOptions *options);
QgHub *qg_hub_ref (QgHub *hub);
void qg_hub_unref (QgHub *hub);

/**
 * Merges a report of the agent process @a agent.
 *
 * @return the answer, owned by the hub and valid until the next call; NULL when
 * the report is not newer than the last one merged.
 */
const Qg__FairTotals *qg_hub_report (QgHub *hub, QgTime now, const char *agent,
                                     guint64 incarnation,
                                     const Qg__FairReport *report);

/** Expires agents that have not reported for agent_timeout_us: the backlog of
 * an expired agent no longer counts, its charges stay. */
void qg_hub_expire (QgHub *hub, QgTime now);

/** Fleet-wide counter of @a workspace, in virtual units; 0 when unknown. */
gint64 qg_hub_counter (const QgHub *hub, const char *service,
                       const char *workspace);

/** Lowest counter of the backlogged workspaces; never decreases. */
gint64 qg_hub_floor (const QgHub *hub, const char *service);

/** Number of workspaces of @a service that at least one agent reports as
 * backlogged. */
guint qg_hub_backlogged (const QgHub *hub, const char *service);

/** Number of agent processes that report for @a service. */
guint qg_hub_agents (const QgHub *hub, const char *service);

G_END_DECLS

#endif
