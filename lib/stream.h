/**
 * @file stream.h
 * One answer as its entry receives it: pieces with offsets, from which the
 * caller gets each byte once and in order, whatever is late, repeated or
 * missing.
 *
 * Pieces carry their source, the run that they belong to. Only those of the
 * bound source count; a stream of which anything was passed on is never bound
 * to another run.
 */
#ifndef QG_STREAM_H
#define QG_STREAM_H

#include "qg.h"

G_BEGIN_DECLS

/** What to do with a piece. */
typedef enum
{
  QG_STREAM_PASS, /**< give it to the caller */
  QG_STREAM_DROP, /**< a repeat, or of another run, or after the end */
  QG_STREAM_GAP,  /**< bytes are missing: attach again at `next` */
  QG_STREAM_BAD   /**< the lengths contradict each other: fail the answer */
} QgStreamVerdict;

/** The caller keeps it; filled with zeros it is a new stream. */
typedef struct
{
  guint64 source; /**< 0: not bound */
  gboolean head;  /**< the head was passed on */
  gboolean done;  /**< the end was passed on, or the answer failed */
  guint64 next;   /**< body bytes passed on */
} QgStream;

/**
 * Binds the stream to a run, not 0.
 *
 * @return FALSE when part of another run's answer was passed on.
 */
gboolean qg_stream_bind (QgStream *stream, guint64 source);

/** The head came. */
QgStreamVerdict qg_stream_head (QgStream *stream, guint64 source);

/**
 * A piece of the body came.
 *
 * @param skip set to the number of its first bytes that were passed before.
 */
QgStreamVerdict qg_stream_data (QgStream *stream, guint64 source,
                                guint64 offset, guint64 len, guint64 *skip);

/** The end came, with the length of the whole body. */
QgStreamVerdict qg_stream_end (QgStream *stream, guint64 source,
                               guint64 length);

/** No more is wanted, or can be had. */
void qg_stream_close (QgStream *stream);

G_END_DECLS

#endif
