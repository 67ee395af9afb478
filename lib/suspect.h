/**
 * @file suspect.h
 * What an entry knows of requests that may crash their targets: the levels
 * that control sent, and its own evidence, which counts at once and also while
 * control cannot be reached.
 */
#ifndef QG_SUSPECT_H
#define QG_SUSPECT_H

#include "poison.h"

G_BEGIN_DECLS

typedef struct _QgSuspects QgSuspects;

/** A crash of the target that ran one of the entry's requests. */
typedef struct
{
  const char *service;
  const char *agent;
  guint64 incarnation; /**< of the agent */
  const guint8 *fingerprint;
  QgPoisonLevel level; /**< how the request was kept from others */
} QgSuspectCrash;

/** A new empty table with one reference. */
QgSuspects *qg_suspect_new (void);
QgSuspects *qg_suspect_ref (QgSuspects *suspects);
void qg_suspect_unref (QgSuspects *suspects);

/** Forgets the levels of control, before those of a snapshot are set. */
void qg_suspect_reset (QgSuspects *suspects);

/** Takes in a level that control sent. */
void qg_suspect_set (QgSuspects *suspects, const guint8 *fingerprint,
                     QgPoisonLevel level);

/** Notes a crash that the entry saw itself. */
void qg_suspect_crashed (QgSuspects *suspects, const QgSuspectCrash *crash,
                         QgTime now);

/**
 * Notes that a request ran whole.
 *
 * @return TRUE when it was a suspect: control should be told that it is clear.
 */
gboolean qg_suspect_finished (QgSuspects *suspects, const guint8 *fingerprint,
                              QgTime now);

/** The stricter of the two levels. */
QgPoisonLevel qg_suspect_level (const QgSuspects *suspects,
                                const guint8 *fingerprint);

G_END_DECLS

#endif
