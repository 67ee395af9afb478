/**
 * @file agent.h
 * The agent role: sends requests to one target, which gets requests from this
 * agent only. Pulls requests from the entries when the target has free slots,
 * runs them, and streams the answers back.
 */
#ifndef QG_AGENT_H
#define QG_AGENT_H

#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgAgent QgAgent;

/** Starts the agent that settings->agents[@a index] configures. */
QgAgent *qg_agent_new (QgSettings *settings, guint index, GBytes *fleet_key);

/** Stops accepting new requests; running ones finish. */
void qg_agent_drain (QgAgent *agent);

/** Accepted requests that have not ended, including waiting ones. */
guint qg_agent_running (const QgAgent *agent);

/**
 * The number of items that a graceful shutdown waits for: running requests,
 * answers that are not fully sent to their readers, links with unsent data, and
 * requests to the control members that are not answered.
 */
guint qg_agent_pending_work (const QgAgent *agent);

/** Adds this agent's metric samples. */
void qg_agent_add_metrics (const QgAgent *agent, QgMetrics *metrics);

void qg_agent_free (QgAgent *agent);

G_END_DECLS

#endif
