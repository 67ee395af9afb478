/**
 * @file manifest_log.h
 * The replicated part of the manifest: the text of the highest version that
 * was accepted, and the data centres that are drained. A deterministic state
 * machine, part of QgRsm.
 *
 * Promises: the version never falls; another text under the version that is
 * held changes nothing; a command that was applied once changes nothing when
 * it is applied again.
 */
#ifndef QG_MANIFEST_LOG_H
#define QG_MANIFEST_LOG_H

#include "proto/state.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

typedef struct
{
  guint64 change;      /**< accepted changes so far */
  guint64 version;     /**< 0: none was accepted yet */
  GBytes *text;        /**< as it was sent; NULL with version 0 */
  GHashTable *drained; /**< set of names of data centres */
} QgManifestLog;

void qg_manifest_log_init (QgManifestLog *log);
void qg_manifest_log_clear (QgManifestLog *log);

/** Applies one command; @a result tells whether it changed anything. */
void qg_manifest_log_apply (QgManifestLog *log,
                            const Qg__ManifestCommand *command,
                            Qg__ManifestResult *result);

/** Whether @a text under @a version is held already or is overtaken. */
gboolean qg_manifest_log_holds (const QgManifestLog *log, guint64 version);

/** The names of the drained data centres, sorted; a new array that borrows
 * them. */
GPtrArray *qg_manifest_log_drained (const QgManifestLog *log);

/** The whole state, freed with qg__manifest_snapshot__free_unpacked(). */
Qg__ManifestSnapshot *qg_manifest_log_snapshot (const QgManifestLog *log);
/** Replaces the state; @a snapshot may be NULL in files of older programs. */
void qg_manifest_log_restore (QgManifestLog *log,
                              const Qg__ManifestSnapshot *snapshot);

G_END_DECLS

#endif
