/**
 * @file ssepass.h
 * Passes on the events of a stream once and in order: only complete events, and
 * none that the caller has. The bytes of an incomplete event are held back.
 */
#ifndef QG_SSEPASS_H
#define QG_SSEPASS_H

#include "proto/peer.pb-c.h"
#include "sse.h"

G_BEGIN_DECLS

/** What the head of an answer and its request state. */
typedef struct
{
  guint status;
  gboolean is_event_stream;
  gboolean packed;       /**< the body is compressed */
  gboolean joined;       /**< another request began the run */
  const char *asked;     /**< event after which the request asks to go on, or
                            "" */
  const char *run_asked; /**< the same, of the request that began the run */
} QgSsePassHead;

/** The event after which a request with these headers asks to go on, or "". */
const char *qg_ssepass_asked (Qg__Header *const *headers, gsize n);

/** What to do with an answer. */
typedef enum
{
  QG_SSEPASS_FREE,    /**< pass it on as it comes */
  QG_SSEPASS_NEW_RUN, /**< check it as a run that the caller has no events of */
  QG_SSEPASS_SAME_RUN,  /**< pass on what follows the events that it has */
  QG_SSEPASS_NO_STREAM, /**< refuse it: it does not continue a stream */
  QG_SSEPASS_NO_REST,   /**< refuse it: the rest can't be found in it */
} QgSsePassPlan;

/** Decides what to do with an answer. An id that is no number has no order that
 * could be checked. @a after is set to the event after which the request asks
 * to go on, or -1. */
QgSsePassPlan qg_ssepass_plan (const QgSsePassHead *head, gint64 *after);

/** State of one stream. */
typedef struct
{
  QgSse sse;
  gint64 asked_after; /**< event after which the caller asked to go on, or -1 */
  GString *held;      /**< the incomplete event */
  const char *wrong;  /**< why the stream was stopped, or NULL; static */
} QgSsePass;

/**
 * Creates the state of one run, owned by the caller of this function.
 *
 * @param asked_after event after which its caller asked to go on, or -1.
 * @param rejoins whether the caller has events of the same run, which the run
 *                may begin with; see qg_sse_rejoin().
 */
QgSsePass *qg_ssepass_new (gint64 asked_after, gboolean rejoins);
void qg_ssepass_free (QgSsePass *pass);

/**
 * Reads the next bytes of the stream. Stops it, that is, sets QgSsePass.wrong,
 * at an event that is not in order or is too large; the bytes before it are
 * still returned.
 *
 * @param n set to the number of bytes to pass on.
 * @return these bytes, to be freed with g_free(); NULL if there are none.
 */
char *qg_ssepass_feed (QgSsePass *pass, const char *data, gsize len, gsize *n);

/** Ends the stream; sets QgSsePass.wrong if it can't end here. Otherwise
 * returns what was held back, like qg_ssepass_feed(). */
char *qg_ssepass_end (QgSsePass *pass, gsize *n);

G_END_DECLS

#endif
