/**
 * @file entry.h
 * The entry role: takes callers' requests over HTTP, holds them in its queue
 * until an agent pulls, and passes the answers on.
 */
#ifndef QG_ENTRY_H
#define QG_ENTRY_H

#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgEntry QgEntry;

/** Listens for callers and agents; NULL with @a err when it cannot. */
QgEntry *qg_entry_new (QgSettings *settings, GBytes *fleet_key, QgErr *err);

/** Accepts no more requests; those accepted are answered. */
void qg_entry_drain (QgEntry *entry);

/** Requests that are not answered yet. */
guint qg_entry_open_calls (const QgEntry *entry);

/** Whether the platform's balancer should send requests here: the configuration
 * is known and does not take this data centre out. */
gboolean qg_entry_is_ready (const QgEntry *entry);

/** Adds this entry's samples. */
void qg_entry_add_metrics (const QgEntry *entry, QgMetrics *metrics);

void qg_entry_free (QgEntry *entry);

G_END_DECLS

#endif
