/**
 * @file manifest_check.h
 * What is suspect in a valid manifest, and how two manifests differ, for
 * operators who check a manifest before they send it. What makes a manifest
 * invalid is decided by its reader and by qg_manifest_finish(), as control
 * does. No I/O.
 */
#ifndef QG_MANIFEST_CHECK_H
#define QG_MANIFEST_CHECK_H

#include "manifest.h"

G_BEGIN_DECLS

/** @a message names the object; valid during the call only. */
typedef void (*QgManifestFinding) (gpointer user, const char *message);

/** Reports entries that can never match or be used, and limits that contradict
 * each other. Takes time in proportion to the size of the manifest, and to the
 * product of the numbers of distinct region lists. */
void qg_manifest_check (const QgManifest *manifest, QgManifestFinding found,
                        gpointer user);

/** Reports what @a manifest changes, adds and removes, compared with @a old. */
void qg_manifest_compare (const QgManifest *old, const QgManifest *manifest,
                          QgManifestFinding found, gpointer user);

G_END_DECLS

#endif
