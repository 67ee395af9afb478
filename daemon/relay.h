/**
 * @file relay.h
 * The relay role: an entry that sends requests to targets itself. It serves
 * routes and workspaces of a manifest, to targets that announce themselves at
 * control. See docs/design/platform.md.
 */
#ifndef QG_RELAY_H
#define QG_RELAY_H

#include "dialect.h"
#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgRelay QgRelay;

/** Starts listening; NULL with @a err. */
QgRelay *qg_relay_new (QgSettings *settings, GBytes *fleet_key, QgErr *err);
void qg_relay_free (QgRelay *relay);

/** No new callers; open requests finish, connections close after them. */
void qg_relay_drain (QgRelay *relay);
/** Open requests, and 1 while callers may still be sent here. */
guint qg_relay_open_work (const QgRelay *relay);
gboolean qg_relay_is_ready (const QgRelay *relay);

void qg_relay_add_metrics (QgRelay *relay, QgMetrics *metrics);

/** The dialect of the platform this program was built with. */
const QgDialect *qg_platform_dialect (void);

G_END_DECLS

#endif
