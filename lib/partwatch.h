/**
 * @file partwatch.h
 * Prompt parts that one relay saw in flight when targets crashed, for the
 * report to control (see poison.h). Parts under which a request completed here
 * shortly before are left out, so that a crash of another cause reports little.
 */
#ifndef QG_PARTWATCH_H
#define QG_PARTWATCH_H

#include "qg.h"

G_BEGIN_DECLS

/** How long crashes are collected for one report. */
#define QG_PARTWATCH_DELAY (100 * QG_MSEC)
/** A completion excuses a part for this time at least, and twice this time at
 * most: requests with a common part complete several times within it. */
#define QG_PARTWATCH_EXCUSE (2 * QG_SEC)

/** How long a request without an answer is kept, for the case that its target
 * has ended: the leader takes a target that is silent for gone within a few
 * heartbeats, and a new incarnation reports itself within seconds. */
#define QG_PARTWATCH_UNANSWERED_TIME (15 * QG_SEC)

/** An answer that went on for this time did not crash its target: such a crash
 * follows the beginning of the answer. */
#define QG_PARTWATCH_SURVIVED QG_SEC

enum
{
  QG_PARTWATCH_MAX_PARTS = 1024,      /**< in one report; more are dropped */
  QG_PARTWATCH_MAX_COMPLETED = 8192,  /**< completed parts that are kept */
  QG_PARTWATCH_MAX_UNANSWERED = 4096, /**< parts of requests without an answer
                                           that are kept; more are dropped */
};

typedef struct _QgPartWatch QgPartWatch;

/** The service and id of a prompt part, and its position from 0. */
typedef struct
{
  const char *service;
  guint64 part;
  guint depth;
  gboolean whole; /**< all of a request, not a part of its prompt */
} QgPartWatchPart;

QgPartWatch *qg_partwatch_new (void);
void qg_partwatch_free (QgPartWatch *watch);

/** A request with the part completed, or its answer went on for
 * QG_PARTWATCH_SURVIVED. */
void qg_partwatch_completed (QgPartWatch *watch, const QgPartWatchPart *part,
                             QgTime now);

/**
 * The target of a request with the part crashed.
 *
 * @param crash identifies the crash, see qg_poison_crash_id().
 * @param began when the target began to answer the request.
 */
void qg_partwatch_crashed (QgPartWatch *watch, const QgPartWatchPart *part,
                           guint64 crash, QgTime began, QgTime now);

/**
 * A request with the part ended while its target was silent, for instance at
 * the deadline of the request. If the target turns out to have ended, that
 * counts as a crash.
 *
 * @param crash identifies the crash that it would be.
 */
void qg_partwatch_unanswered (QgPartWatch *watch, const QgPartWatchPart *part,
                              guint64 crash, QgTime now);

/** The incarnation of a target that @a crash stands for has ended. */
void qg_partwatch_target_ended (QgPartWatch *watch, guint64 crash, QgTime now);

/** Whether there are requests for qg_partwatch_target_ended() to count. */
gboolean qg_partwatch_has_unanswered (const QgPartWatch *watch);

/** The incarnation of a target that @a crash stands for answers: it has not
 * ended under a request that ended before. */
void qg_partwatch_target_answers (QgPartWatch *watch, guint64 crash);

/** Time of the next report, or G_MAXINT64 if there is nothing to report. */
QgTime qg_partwatch_due (const QgPartWatch *watch);

/** Returns a packed PoisonParts of one service, and forgets what is in it; NULL
 * if there is nothing to report. */
GBytes *qg_partwatch_take (QgPartWatch *watch);

G_END_DECLS

#endif
