/**
 * @file isolate.h
 * How an agent isolates suspect requests (see poison.h) from other requests at
 * its target, and what it reports when the target crashes.
 *
 * While an APART request runs, no other suspect runs; while an ALONE request
 * runs, no other request runs. An ALONE request waits until all running
 * requests have finished. While it waits, the agent takes no new work, so slots
 * of the target are idle for at most the duration of the longest running
 * request.
 */
#ifndef QG_ISOLATE_H
#define QG_ISOLATE_H

#include "poison.h"

G_BEGIN_DECLS

/** How long a request that the agent cancelled without an answer is kept at
 * least, for the case that the target has ended under it. */
#define QG_ISOLATE_UNANSWERED_TIME (15 * QG_SEC)

/** Connections that break within this time count as one crash. */
#define QG_ISOLATE_CRASH_WINDOW (200 * QG_MSEC)

typedef struct _QgIsolate QgIsolate;

/** What to do with an assigned request. */
typedef enum
{
  QG_ISOLATE_RUN,    /**< start it now */
  QG_ISOLATE_HOLD,   /**< keep it until qg_isolate_end() returns its id */
  QG_ISOLATE_BOUNCE, /**< return it to its entry */
} QgIsolateVerdict;

/** How a request ended, if its connection did not break. */
typedef enum
{
  QG_ISOLATE_COMPLETE,  /**< the whole answer was read */
  QG_ISOLATE_CANCELLED, /**< the agent closed the connection */
  QG_ISOLATE_NOT_SENT,  /**< the target did not receive the request */
} QgIsolateEnd;

/** The requests in flight at a crash. */
typedef struct
{
  GPtrArray *fingerprints; /**< of GBytes; owned by the caller */
  gboolean sound; /**< the target had completed a request since it started */
} QgIsolateCrash;

/** Creates the state of one target, with one reference. */
QgIsolate *qg_isolate_new (void);
QgIsolate *qg_isolate_ref (QgIsolate *isolate);
void qg_isolate_unref (QgIsolate *isolate);

/**
 * Decides what to do with an assigned request. After QG_ISOLATE_RUN, the
 * request counts as in flight.
 *
 * @param id id of the request, unique at this agent.
 */
QgIsolateVerdict qg_isolate_admit (QgIsolate *isolate, guint64 id,
                                   const guint8 *fingerprint,
                                   QgPoisonLevel level);

/** Records that a request is being sent to the target. Until then, it may wait
 * for a claim, and its end says nothing about the target. */
void qg_isolate_sent (QgIsolate *isolate, guint64 id);

/**
 * Records that bytes of the answer to a request have arrived, read or unread.
 *
 * @param same_start whether the answer states that the target has not restarted
 *   since earlier answers (X-Boot-Id).
 */
void qg_isolate_answer_began (QgIsolate *isolate, guint64 id,
                              gboolean same_start);

/** Records whether the agent has paused reading the answer to a request. It
 * then does not see that the connection ends. */
void qg_isolate_set_paused (QgIsolate *isolate, guint64 id, gboolean paused);

/**
 * Records that the target has restarted: later answers do not show that it had
 * survived the loss of a connection.
 *
 * The target may have ended without closing a connection. If a request was
 * cancelled and the target has answered none since then, that request and all
 * that are not answered were in flight at that crash.
 *
 * @param crash filled in if there is such a request, unless the crash is known
 *              from the loss of a connection.
 * @return whether @a crash was filled in.
 */
gboolean qg_isolate_target_restarted (QgIsolate *isolate,
                                      QgIsolateCrash *crash);

/** Whether the target has restarted since the request was sent, without an
 * answer: if it is cancelled, its connection counts as lost. */
gboolean qg_isolate_was_lost (const QgIsolate *isolate, guint64 id);

/** Forgets cancelled requests; to be called about once a second. */
void qg_isolate_expire (QgIsolate *isolate, QgTime now);

/**
 * Records that a request ended or that a held request was cancelled.
 *
 * @param next set to the id of a held request that must be started now.
 * @return TRUE if @a next was set.
 */
gboolean qg_isolate_end (QgIsolate *isolate, guint64 id, QgIsolateEnd end,
                         guint64 *next);

/** Whether the agent may ask for more work. */
gboolean qg_isolate_may_pull (const QgIsolate *isolate);

/** The number of requests in flight. */
guint qg_isolate_running (const QgIsolate *isolate);

/**
 * Records that the connection of a request broke after the request was sent.
 * Apart from that, does the same as qg_isolate_end().
 */
gboolean qg_isolate_connection_lost (QgIsolate *isolate, guint64 id, QgTime now,
                                     guint64 *next);

/**
 * Whether the target crashed. It crashed if, QG_ISOLATE_CRASH_WINDOW after the
 * first connection broke, none of the requests that were at the target then is
 * still connected (but for paused ones), and nothing shows that the target was
 * alive after the loss:
 *
 * - the first bytes of the answer to such a request, or
 * - an answer of the same start of the target to a request sent later.
 *
 * The rest of an answer shows nothing, because the kernel delivers what a
 * process sent before it crashed, and neither does a request that the agent
 * cancelled or paused. These requests were in flight at the crash, and are
 * reported with it; a paused one is then not reported again when its connection
 * breaks.
 *
 * The caller must call this function QG_ISOLATE_CRASH_WINDOW after a connection
 * broke; earlier calls return FALSE and change nothing. Before it records a
 * lost connection, it must record which answers have begun.
 *
 * @param crash filled in if the target crashed.
 */
gboolean qg_isolate_crashed (QgIsolate *isolate, QgTime now,
                             QgIsolateCrash *crash);

G_END_DECLS

#endif
