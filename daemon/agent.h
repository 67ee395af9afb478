/**
 * @file agent.h
 * The agent role: the only gate to one target. Pulls work from the entries
 * when its target has room, runs it, and streams the answers.
 */
#ifndef QG_AGENT_H
#define QG_AGENT_H

#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgAgent QgAgent;

/** Starts the agent number @a index of @a settings. */
QgAgent *qg_agent_new (QgSettings *settings, guint index, GBytes *fleet_key);

/** Takes no new work from now on; running requests finish. */
void qg_agent_drain (QgAgent *agent);

/** Requests that run at the target now. */
guint qg_agent_running (const QgAgent *agent);

/**
 * What a graceful shutdown waits for: running requests, answers that their
 * readers have not got yet, and claims that are not settled.
 */
guint qg_agent_open_work (const QgAgent *agent);

/** Adds this agent's samples. */
void qg_agent_add_metrics (const QgAgent *agent, QgMetrics *metrics);

void qg_agent_free (QgAgent *agent);

G_END_DECLS

#endif
