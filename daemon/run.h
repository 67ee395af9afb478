/**
 * @file run.h
 * One request at a target, over HTTP: sends it, streams its answer, and says
 * truthfully how far it got.
 */
#ifndef QG_RUN_H
#define QG_RUN_H

#include "lib/qg.h"
#include "proto/peer.pb-c.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** How a run ended. */
typedef enum
{
  QG_RUN_WHOLE,    /**< the whole answer was read */
  QG_RUN_NOT_SENT, /**< the target could not be reached: nothing was sent */
  QG_RUN_BROKEN,   /**< the connection ended after the request was sent */
  QG_RUN_CANCELLED /**< qg_run_cancel() */
} QgRunEnd;

typedef struct QgRun QgRun;

/** Callbacks; after end() the run is gone. */
typedef struct
{
  void (*head) (gpointer user, guint status, SoupMessageHeaders *headers);
  void (*data) (gpointer user, const guint8 *data, gsize len);
  void (*end) (gpointer user, QgRunEnd end, const char *message);
} QgRunOps;

/**
 * Sends @a assign to the target at "ip:port".
 *
 * @param session shared by the runs of one target.
 * @param traceparent names the span that the target's work belongs to.
 * @return the run, or NULL when the request cannot be expressed in HTTP; then
 *   no callback is called.
 */
QgRun *qg_run_start (SoupSession *session, const char *target,
                     const Qg__Assign *assign, const char *traceparent,
                     const QgRunOps *ops, gpointer user);

/** Ends the run at the target; end() is called later, from the main loop. */
void qg_run_cancel (QgRun *run);

/** Stops or continues reading, so that a slow caller needs no memory here. */
void qg_run_hold (QgRun *run, gboolean hold);

G_END_DECLS

#endif
