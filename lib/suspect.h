/**
 * @file suspect.h
 * An entry's view of requests that may crash their targets: the levels that
 * control sent, and the crashes that the entry saw itself. The entry's own
 * crashes take effect immediately, even while control is unreachable.
 */
#ifndef QG_SUSPECT_H
#define QG_SUSPECT_H

#include "poison.h"

G_BEGIN_DECLS

typedef struct _QgSuspects QgSuspects;

/** A crash of a target that was running a request of the entry. */
typedef struct
{
  const char *service;
  const char *agent;
  guint64 incarnation; /**< of the agent */
  const guint8 *fingerprint;
  QgPoisonLevel level; /**< how the request was isolated */
} QgSuspectCrash;

/** Creates an empty table with one reference. */
QgSuspects *qg_suspect_new (void);
QgSuspects *qg_suspect_ref (QgSuspects *suspects);
void qg_suspect_unref (QgSuspects *suspects);

/** Removes the levels that control sent, before a snapshot sets new ones. */
void qg_suspect_reset_control_levels (QgSuspects *suspects);

/** Stores a level that control sent. */
void qg_suspect_set_control_level (QgSuspects *suspects,
                                   const guint8 *fingerprint,
                                   QgPoisonLevel level);

/** Records a crash that the entry saw itself. */
void qg_suspect_record_crash (QgSuspects *suspects, const QgSuspectCrash *crash,
                              QgTime now);

/**
 * Records that a request completed.
 *
 * @return TRUE when the request was a suspect: the caller must then tell
 * control to clear it.
 */
gboolean qg_suspect_record_completion (QgSuspects *suspects,
                                       const guint8 *fingerprint, QgTime now);

/** Returns the stricter of the level that control sent and the entry's own
 * level. */
QgPoisonLevel qg_suspect_level (const QgSuspects *suspects,
                                const guint8 *fingerprint);

G_END_DECLS

#endif
