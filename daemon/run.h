/**
 * @file run.h
 * Runs one request at a target over HTTP: sends it, streams the response, and
 * reports whether the target may have received the request.
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
  QG_RUN_COMPLETE, /**< the whole response was read */
  QG_RUN_NOT_SENT, /**< no connection, or cancelled before sending began */
  QG_RUN_CONNECTION_LOST, /**< after sending began */
  QG_RUN_CANCELLED        /**< by qg_run_cancel(), after sending began */
} QgRunEnd;

typedef struct QgRun QgRun;

/** Callbacks; the run is freed after end(). */
typedef struct
{
  void (*head) (gpointer user, guint status, SoupMessageHeaders *headers);
  void (*data) (gpointer user, const guint8 *data, gsize len);
  void (*end) (gpointer user, QgRunEnd end, const char *message);
} QgRunOps;

/**
 * Sends @a assign to the target at "ip:port".
 *
 * @param session HTTP session shared by the runs at one target.
 * @param traceparent not used: the target gets the traceparent of @a assign.
 * @return the run, or NULL when the request has no valid URI; then no callback
 *   is called.
 */
QgRun *qg_run_start (SoupSession *session, const char *target,
                     const Qg__Assign *assign, const char *traceparent,
                     const QgRunOps *ops, gpointer user);

/** Cancels the request; end() is called later, from the main loop. */
void qg_run_cancel (QgRun *run);

/** Pauses or resumes reading the response. A slow caller thus slows down the
 * target, and the response is not buffered here. */
void qg_run_set_paused (QgRun *run, gboolean paused);

G_END_DECLS

#endif
