/**
 * @file run.h
 * Runs one request at a target over HTTP: sends it, streams the response, and
 * reports whether the target may have received the request.
 *
 * Each run has its own connection: whatever a target sends after an answer
 * belongs to no request, and so reaches none. A response that ends with its
 * connection is whole if the target answers a check after that (endcheck.h).
 */
#ifndef QG_RUN_H
#define QG_RUN_H

#include "h1.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

/** Path that every target answers. */
#define QG_RUN_HEALTH_PATH "/health"

/** How a run ended. */
typedef enum
{
  QG_RUN_COMPLETE, /**< the whole response was read */
  QG_RUN_NOT_SENT, /**< no connection, or cancelled before sending began */
  QG_RUN_CONNECTION_LOST, /**< after sending began */
  QG_RUN_CANCELLED        /**< by qg_run_cancel(), after sending began */
} QgRunEnd;

typedef struct QgRun QgRun;

/** The runs of one agent, with their event loop. */
typedef struct QgRunPool QgRunPool;

/** Callbacks; the run is freed after end(). */
typedef struct
{
  void (*head) (gpointer user, const QgH1Head *head);
  void (*data) (gpointer user, const guint8 *data, gsize len);
  void (*end) (gpointer user, QgRunEnd end, const char *message);
} QgRunOps;

QgRunPool *qg_run_pool_new (void);
/** Frees @a pool; its runs must have ended, or are not called again. */
void qg_run_pool_free (QgRunPool *pool);

/**
 * Sends @a assign to the target at "ip:port".
 *
 * @return the run, or NULL when the request has no valid method or path; then
 *   no callback is called.
 */
QgRun *qg_run_start (QgRunPool *pool, const char *target,
                     const Qg__Assign *assign, const QgRunOps *ops,
                     gpointer user);

/** Cancels the request; end() is called later, from the main loop. */
void qg_run_cancel (QgRun *run);

/** Whether bytes of the response have arrived, read or unread. */
gboolean qg_run_answer_began (const QgRun *run);

/** Pauses or resumes reading the response. A slow caller thus slows down the
 * target, and the response is not buffered here. */
void qg_run_set_paused (QgRun *run, gboolean paused);

G_END_DECLS

#endif
