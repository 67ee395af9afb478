/**
 * @file relay.h
 * The relay role: an HTTP reverse proxy. It routes requests by the manifest's
 * routes and workspaces to targets that register with control by heartbeats.
 * See docs/design/platform.md.
 */
#ifndef QG_RELAY_H
#define QG_RELAY_H

#include "dialect.h"
#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgRelay QgRelay;

/** Creates a relay and starts listening; NULL with @a err. */
QgRelay *qg_relay_new (QgSettings *settings, GBytes *fleet_key, QgErr *err);
void qg_relay_free (QgRelay *relay);

/** Begins a graceful shutdown: open requests finish, then their connections
 * close. New connections and requests are accepted for a few seconds only. */
void qg_relay_drain (QgRelay *relay);
/** Open requests and connections, plus 1 while the relay still accepts
 * connections. */
guint qg_relay_open_work (const QgRelay *relay);
gboolean qg_relay_is_ready (const QgRelay *relay);

void qg_relay_add_metrics (QgRelay *relay, QgMetrics *metrics);

G_END_DECLS

#endif
