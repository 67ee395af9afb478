/**
 * @file node.h
 * A daemon process: the roles enabled in its settings, the admin endpoint
 * (/metrics, /healthz), and graceful shutdown.
 */
#ifndef QG_NODE_H
#define QG_NODE_H

#include "lib/settings.h"

G_BEGIN_DECLS

typedef struct QgNode QgNode;

/** Starts the roles and the admin endpoint; NULL with @a err on failure. */
QgNode *qg_node_new (QgSettings *settings, QgErr *err);

/**
 * Begins a graceful shutdown: accepts no new work and lets running requests
 * finish.
 *
 * @param done callback, called when all work has ended or the drain time has
 * passed.
 */
void qg_node_drain (QgNode *node, void (*done) (gpointer user), gpointer user);

/** Applies the settings that may change at run time: the operators. */
void qg_node_reload (QgNode *node, QgSettings *settings);

void qg_node_free (QgNode *node);

G_END_DECLS

#endif
