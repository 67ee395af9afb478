/**
 * @file entry.h
 * The entry role: accepts callers' requests over HTTP, queues them until an
 * agent pulls them, and forwards the answers.
 */
#ifndef QG_ENTRY_H
#define QG_ENTRY_H

#include "lib/settings.h"
#include "metrics.h"

G_BEGIN_DECLS

typedef struct QgEntry QgEntry;

/** Listens for callers and agents; NULL with @a err on failure. */
QgEntry *qg_entry_new (QgSettings *settings, GBytes *fleet_key, QgErr *err);

/** Refuses new requests; requests already accepted are still answered. */
void qg_entry_drain (QgEntry *entry);

/** Requests that are not answered yet. */
guint qg_entry_open_calls (const QgEntry *entry);

/** Whether the load balancer should send requests here: TRUE if the
 * configuration is known and has this data centre in service, and the entry
 * isn't draining. */
gboolean qg_entry_is_ready (const QgEntry *entry);

/** Adds this entry's metric samples. */
void qg_entry_add_metrics (const QgEntry *entry, QgMetrics *metrics);

void qg_entry_free (QgEntry *entry);

G_END_DECLS

#endif
