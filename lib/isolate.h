/**
 * @file isolate.h
 * How an agent keeps suspects from other work at its target, and what it
 * reports when the target crashes.
 *
 * Beside an APART request no other suspect is in flight; beside an ALONE one,
 * nothing is. An ALONE request waits until the running ones have finished,
 * and no new work is taken meanwhile: the target idles for at most the longest
 * of them.
 */
#ifndef QG_ISOLATE_H
#define QG_ISOLATE_H

#include "poison.h"

G_BEGIN_DECLS

/** How long broken connections are gathered into one crash. */
#define QG_ISOLATE_GATHER (200 * QG_MSEC)

typedef struct _QgIsolate QgIsolate;

/** What to do with an assigned request. */
typedef enum
{
  QG_ISOLATE_RUN,    /**< start it now */
  QG_ISOLATE_HOLD,   /**< keep it: qg_isolate_end() says when */
  QG_ISOLATE_BOUNCE, /**< give it back to its entry */
} QgIsolateVerdict;

/** What was in flight at a crash. */
typedef struct
{
  GPtrArray *fingerprints; /**< of GBytes; owned by the caller */
  gboolean sound;          /**< the target had finished work since its start */
} QgIsolateCrash;

/** A new record of one target with one reference. */
QgIsolate *qg_isolate_new (void);
QgIsolate *qg_isolate_ref (QgIsolate *isolate);
void qg_isolate_unref (QgIsolate *isolate);

/**
 * Takes in an assigned request. On QG_ISOLATE_RUN it counts as in flight.
 *
 * @param id of the request, unique at this agent.
 */
QgIsolateVerdict qg_isolate_offer (QgIsolate *isolate, guint64 id,
                                   const guint8 *fingerprint,
                                   QgPoisonLevel level);

/**
 * A request ended, or a held one was cancelled.
 *
 * @param whole it ran to its end.
 * @param next set to the held request that is in flight from now on.
 * @return TRUE when there is one.
 */
gboolean qg_isolate_end (QgIsolate *isolate, guint64 id, gboolean whole,
                         guint64 *next);

/** Whether new work may be asked for. */
gboolean qg_isolate_may_pull (const QgIsolate *isolate);

/** Requests in flight. */
guint qg_isolate_running (const QgIsolate *isolate);

/**
 * The connection of a request broke after it was sent. Else as
 * qg_isolate_end().
 */
gboolean qg_isolate_broke (QgIsolate *isolate, guint64 id, QgTime now,
                           guint64 *next);

/**
 * Whether the target crashed: QG_ISOLATE_GATHER after the first connection
 * broke, those of all requests that were in flight then have broken. One that
 * went on shows that the target lives. To be called then, and harmless before.
 *
 * @param crash filled in when it did.
 */
gboolean qg_isolate_crashed (QgIsolate *isolate, QgTime now,
                             QgIsolateCrash *crash);

G_END_DECLS

#endif
