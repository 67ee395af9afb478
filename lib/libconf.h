/**
 * @file libconf.h
 * What the files of the replicated configuration share.
 */
#ifndef QG_LIBCONF_H
#define QG_LIBCONF_H

#include "conf.h"
#include "libdoc.h"

/** One kept revision; its bytes count against QG_CONF_HISTORY_BYTES. */
typedef struct
{
  guint64 revision;
  QgStr *author;
  QgStr *change_id;
  QgTime at;
  QgDelta *undo;
  gsize bytes;
} QgConfRow;

/** A change id that was answered. */
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
  GQueue answers;       /* of QgConfAnswer, newest first */
  GHashTable *answered; /* change id -> QgConfAnswer, borrowed */
};

/* conf_history.c */
/** Puts a revision into the history and drops what is over the bounds. */
void qg_conf_push_row (QgConf *conf, QgConfRow *row);
/** Keeps an answer and drops what is over the bounds. */
void qg_conf_push_answer (QgConf *conf, QgStr *change_id, GBytes *result);
void qg_conf_row_free (gpointer row);
void qg_conf_answer_free (gpointer answer);
/** The row of @a revision, or NULL. */
const QgConfRow *qg_conf_row (const QgConf *conf, guint64 revision);

/* conf_judge.c */
/**
 * Judges a change against the state.
 *
 * @param delta gets what is to be applied when the answer is QG_OK and
 *        something changes; it may still prove invalid as a whole.
 */
Qg__ConfResult *qg_conf_judge (const QgConf *conf, const Qg__ConfChange *change,
                               QgDelta **delta);
/** The answer to a change that proved invalid. */
Qg__ConfResult *qg_conf_invalid (const QgConf *conf,
                                 const QgProblems *problems);

#endif
