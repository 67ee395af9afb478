/**
 * @file conf.h
 * The replicated configuration: the document, its revisions and their authors.
 * The configuration is a deterministic state machine: members that apply the
 * same changes have the same state and give the same answers.
 *
 * Guarantees:
 *  - Revision numbers increase by one, and each revision is made by one change.
 *    A change states its base revision and is accepted only if the base is the
 *    current revision.
 *  - A resent change gets its first answer again while its id is among the last
 *    QG_CONF_MAX_ANSWERS change ids. Later the base of the change is out of
 *    date, so the change is refused as a conflict and never applied twice.
 *  - A change that would make the document invalid is refused.
 *
 * An edit sets one key of one section. Edits have no base revision, since a
 * value such as "state=out" does not depend on the rest of the document.
 */
#ifndef QG_CONF_H
#define QG_CONF_H

#include "doc.h"
#include "proto/conf.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_CONF_MAX_ANSWERS = 20000,         /**< answers kept, one per change id */
  QG_CONF_MAX_REVISIONS = 20000,       /**< revisions kept */
  QG_CONF_MAX_HISTORY_BYTES = 8 << 20, /**< size of the revisions kept */
  QG_CONF_MAX_CHANGE_BYTES = 16 << 20, /**< section text in a change */
  QG_CONF_MAX_EDITS = 1000,            /**< edits in a change */
  QG_CONF_MAX_MESSAGE_BYTES = 4096     /**< message of an answer */
};

typedef struct _QgConf QgConf;

/** A revision in the history; its strings are borrowed. */
typedef struct
{
  guint64 revision;
  const char *author;
  const char *change_id;
  QgTime at;           /**< wall-clock time of the leader; never decreases */
  const QgDelta *undo; /**< restores the previous revision */
} QgConfRevision;

/** An empty configuration at revision 0, with one reference. */
QgConf *qg_conf_new (void);
QgConf *qg_conf_ref (QgConf *conf);
void qg_conf_unref (QgConf *conf);

/**
 * Applies a change.
 *
 * @param at the time of the leader.
 * @return the answer; the caller must free it with
 *         qg__conf_result__free_unpacked().
 */
Qg__ConfResult *qg_conf_apply (QgConf *conf, const Qg__ConfChange *change,
                               QgTime at);

/** The answer that qg_conf_apply() would give now, without applying @a change;
 * the caller must free it. */
Qg__ConfResult *qg_conf_check (const QgConf *conf,
                               const Qg__ConfChange *change);

/** The current document; borrowed. */
QgDoc *qg_conf_doc (const QgConf *conf);
guint64 qg_conf_revision (const QgConf *conf);

/** A new reference to the document at @a revision, or NULL when the history
 * does not hold this revision. */
QgDoc *qg_conf_doc_at (const QgConf *conf, guint64 revision, QgErr *err);

/** The delta from an older revision, @a from, to the current revision; the
 * whole document when the history does not hold @a from. */
QgDelta *qg_conf_delta (const QgConf *conf, guint64 from);

/** Number of revisions in the history. */
guint qg_conf_history_length (const QgConf *conf);
/** Sets @a row to the @a nth newest revision, counted from 0; FALSE when the
 * history has too few revisions. */
gboolean qg_conf_history (const QgConf *conf, guint nth, QgConfRevision *row);

/** The whole state; the caller must free it with
 * qg__conf_snapshot__free_unpacked(). */
Qg__ConfSnapshot *qg_conf_snapshot (const QgConf *conf);

/**
 * Replaces the state with a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the state unchanged.
 */
QgStatus qg_conf_restore (QgConf *conf, const Qg__ConfSnapshot *snapshot,
                          QgErr *err);

G_END_DECLS

#endif
