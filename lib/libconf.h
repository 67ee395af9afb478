/**
 * @file libconf.h
 * Internal declarations of the replicated configuration (conf*.c).
 */
#ifndef QG_LIBCONF_H
#define QG_LIBCONF_H

#include "conf.h"
#include "libdoc.h"

/** A revision in the history. */
typedef struct
{
  guint64 revision;
  QgStr *author;
  QgStr *change_id;
  QgTime at;
  QgDelta *undo; /* restores the previous revision */
  gsize bytes;   /* counted against QG_CONF_MAX_HISTORY_BYTES */
} QgConfRow;

/** The stored answer to a change, returned again when the change is resent. */
typedef struct
{
  QgStr *change_id;
  GBytes *result; /* packed ConfResult */
} QgConfAnswer;

struct _QgConf
{
  int refs;
  QgDoc *doc;
  GQueue history; /* of QgConfRow, newest first */
  gsize history_bytes;
  GQueue answers;            /* of QgConfAnswer, newest first */
  GHashTable *answers_by_id; /* change id -> QgConfAnswer, borrowed */
};

/* conf_history.c */
/** Adds a revision to the history, which takes ownership of @a row. Drops the
 * oldest revisions beyond the limits. */
void qg_conf_push_row (QgConf *conf, QgConfRow *row);
/** Stores an answer, taking ownership of the arguments. Drops the oldest
 * answers beyond the limit. */
void qg_conf_push_answer (QgConf *conf, QgStr *change_id, GBytes *result);
void qg_conf_row_free (gpointer row);
void qg_conf_answer_free (gpointer answer);
/** The history entry of @a revision, or NULL when the history does not hold
 * this revision. */
const QgConfRow *qg_conf_find_row (const QgConf *conf, guint64 revision);

/* conf_judge.c */
/**
 * Checks a change against the state, except for whether the resulting document
 * is valid as a whole.
 *
 * @param delta is set to the delta to apply, or to NULL when the change is
 *        refused or changes nothing.
 * @return the answer to send if the resulting document is valid.
 */
Qg__ConfResult *qg_conf_evaluate (const QgConf *conf,
                                  const Qg__ConfChange *change,
                                  QgDelta **delta);
/** The answer to a change that leads to an invalid document. */
Qg__ConfResult *qg_conf_invalid_result (const QgConf *conf,
                                        const QgProblems *problems);

#endif
