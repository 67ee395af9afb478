/**
 * @file manifest_log.h
 * The replicated part of the manifest: the text of the highest accepted
 * version, and the names of the drained data centres. A deterministic state
 * machine, part of QgRsm.
 *
 * Guarantees: the version never decreases; a different text under the accepted
 * version is ignored; applying a command twice has the same effect as applying
 * it once.
 */
#ifndef QG_MANIFEST_LOG_H
#define QG_MANIFEST_LOG_H

#include "proto/state.pb-c.h"
#include "qg.h"

G_BEGIN_DECLS

typedef struct
{
  guint64 change;      /**< number of accepted changes */
  guint64 version;     /**< 0 until a manifest is accepted */
  guint64 previous;    /**< version before it; 0: none, or not known */
  QgTime changed_at;   /**< when it was accepted; 0: not known */
  GBytes *text;        /**< as the operator sent it; NULL if version is 0 */
  GHashTable *drained; /**< set of names of data centres */
} QgManifestLog;

void qg_manifest_log_init (QgManifestLog *log);
void qg_manifest_log_clear (QgManifestLog *log);

/** Applies one command at the time @a now of the log; @a result says whether it
 * changed the state. */
void qg_manifest_log_apply (QgManifestLog *log,
                            const Qg__ManifestCommand *command, QgTime now,
                            Qg__ManifestResult *result);

/** Whether the accepted version is @a version or a newer one. */
gboolean qg_manifest_log_is_current (const QgManifestLog *log, guint64 version);

/** Returns the names of the drained data centres, sorted, in a new array; the
 * names belong to @a log. */
GPtrArray *qg_manifest_log_drained (const QgManifestLog *log);

/** Returns the state, freed with qg__manifest_snapshot__free_unpacked(). */
Qg__ManifestSnapshot *qg_manifest_log_snapshot (const QgManifestLog *log);

/** Replaces the state by @a snapshot. @a snapshot is NULL if an older program
 * wrote the file; the state then stays unchanged. */
void qg_manifest_log_restore (QgManifestLog *log,
                              const Qg__ManifestSnapshot *snapshot);

G_END_DECLS

#endif
