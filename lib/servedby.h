/**
 * @file servedby.h
 * When the routes of the manifest last changed the services that serve them. A
 * stream that began before the change can't go on at the new service, and a
 * process that has only the new manifest can't tell which of them began it.
 * Holds the resumable routes of one manifest; without I/O.
 */
#ifndef QG_SERVEDBY_H
#define QG_SERVEDBY_H

#include "manifest.h"

G_BEGIN_DECLS

/** How long a change counts: longer than a caller waits for a stream. */
#define QG_SERVEDBY_HOLD (60 * QG_SEC)

typedef struct _QgServedBy QgServedBy;

QgServedBy *qg_servedby_new (void);
void qg_servedby_free (QgServedBy *servedby);

/**
 * Compares the routes of @a manifest with those of the one before; TRUE if one
 * of them is new, has other services or the paths of a route that had, or may
 * have had others meanwhile: a process that was cut off, or has just started,
 * has missed manifests.
 *
 * @param previous version of the manifest before this one; 0: none.
 * @param accepted_at when control accepted this one.
 */
gboolean qg_servedby_update (QgServedBy *servedby, const QgManifest *manifest,
                             guint64 previous, QgTime accepted_at, QgTime now);
/** Whether @a route of the last manifest has changed recently. */
gboolean qg_servedby_has_changed (const QgServedBy *servedby,
                                  const QgRoute *route, QgTime now);

G_END_DECLS

#endif
