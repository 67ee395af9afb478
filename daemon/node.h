/**
 * @file node.h
 * One process: the roles that its settings name, the admin endpoint
 * (/metrics, /healthz), and the order of a graceful shutdown.
 */
#ifndef QG_NODE_H
#define QG_NODE_H

#include "lib/settings.h"

G_BEGIN_DECLS

typedef struct QgNode QgNode;

/** Starts the roles; NULL with @a err when one cannot start. */
QgNode *qg_node_new (QgSettings *settings, QgErr *err);

/**
 * Begins a graceful shutdown: no new work, running requests finish.
 *
 * @param done is called when all ended or the drain limit passed.
 */
void qg_node_drain (QgNode *node, void (*done) (gpointer user), gpointer user);

/** Puts in force what of @a settings may change while the process runs: the
 * operators. */
void qg_node_reload (QgNode *node, QgSettings *settings);

void qg_node_free (QgNode *node);

G_END_DECLS

#endif
