/**
 * @file conf.h
 * The replicated configuration: the document, its revisions and who made them.
 * A deterministic state machine: members that apply the same changes hold the
 * same state and give the same answers.
 *
 * Promises:
 *  - a revision is one more than the one before it, and has one winner: a
 *    change names the revision it is based on and is accepted only on that;
 *  - a change id that was answered gets the same answer again for as long as
 *    it is among the last QG_CONF_ANSWERS; later its base is old, so that it
 *    is refused as a conflict and never applied twice;
 *  - nothing invalid is accepted.
 *
 * Edits (one key of one section) name no base: they state a fact, such as
 * "out", that holds whatever the rest of the document says.
 */
#ifndef QG_CONF_H
#define QG_CONF_H

#include "doc.h"
#include "proto/conf.pb-c.h"

G_BEGIN_DECLS

enum
{
  QG_CONF_ANSWERS = 20000, /**< change ids kept */
  QG_CONF_HISTORY = 20000, /**< revisions kept */
  QG_CONF_HISTORY_BYTES = 8 << 20,
  QG_CONF_CHANGE_BYTES = 16 << 20, /**< of one change */
  QG_CONF_EDITS = 1000,            /**< of one change */
  QG_CONF_MESSAGE_BYTES = 4096     /**< of one answer */
};

typedef struct _QgConf QgConf;

/** One accepted revision. */
typedef struct
{
  guint64 revision;
  const char *author;
  const char *change_id;
  QgTime at;           /**< the leader's time */
  const QgDelta *undo; /**< its sections as they were before */
} QgConfRevision;

/** The empty configuration, revision 0, with one reference. */
QgConf *qg_conf_new (void);
QgConf *qg_conf_ref (QgConf *conf);
void qg_conf_unref (QgConf *conf);

/**
 * Applies one change.
 *
 * @param at the leader's time.
 * @return the answer, freed by the caller with
 *         qg__conf_result__free_unpacked().
 */
Qg__ConfResult *qg_conf_apply (QgConf *conf, const Qg__ConfChange *change,
                               QgTime at);

/** Whether @a change would be accepted now, without changing anything. */
Qg__ConfResult *qg_conf_check (const QgConf *conf,
                               const Qg__ConfChange *change);

/** The document in force; borrowed. */
QgDoc *qg_conf_doc (const QgConf *conf);
guint64 qg_conf_revision (const QgConf *conf);

/** The document at @a revision, or NULL when it is not kept. */
QgDoc *qg_conf_doc_at (const QgConf *conf, guint64 revision, QgErr *err);

/** What a daemon at revision @a from needs; whole when @a from is not kept. */
QgDelta *qg_conf_delta (const QgConf *conf, guint64 from);

/** Revisions kept. */
guint qg_conf_history_length (const QgConf *conf);
/** The @a nth newest revision, from 0; FALSE behind the last one. */
gboolean qg_conf_history (const QgConf *conf, guint nth, QgConfRevision *row);

/** The whole state; the caller frees it with
 * qg__conf_snapshot__free_unpacked(). */
Qg__ConfSnapshot *qg_conf_snapshot (const QgConf *conf);

/**
 * Replaces the state by a snapshot.
 *
 * @return QG_OK, or QG_E_CORRUPT with the state unchanged.
 */
QgStatus qg_conf_restore (QgConf *conf, const Qg__ConfSnapshot *snapshot,
                          QgErr *err);

G_END_DECLS

#endif
