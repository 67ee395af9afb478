/**
 * @file stream.h
 * Reassembles one answer at the entry from pieces with offsets, so that the
 * caller gets each byte once and in order although pieces can be late, repeated
 * or lost.
 *
 * Each piece carries its source: the run that produced it. Pieces of a source
 * other than the bound source are dropped. Once the head was passed to the
 * caller, the stream cannot be bound to a different run.
 */
#ifndef QG_STREAM_H
#define QG_STREAM_H

#include "qg.h"

G_BEGIN_DECLS

/** What the entry process, which serves the caller, does with a received piece
 * of an answer. */
typedef enum
{
  QG_STREAM_PASS, /**< pass it to the caller */
  QG_STREAM_DROP, /**< a duplicate, from another run, or after the end */
  QG_STREAM_GAP,  /**< bytes are missing: attach again at `next` */
  QG_STREAM_BAD   /**< the lengths are inconsistent: fail the answer */
} QgStreamVerdict;

/** Reassembly state of an answer; a new one is all zeros. */
typedef struct
{
  guint64 source;       /**< 0: not bound */
  gboolean head_passed; /**< the head was passed to the caller */
  gboolean done;        /**< the end was passed on, or the answer failed */
  guint64 next;         /**< offset of the next byte to pass on */
} QgStream;

/**
 * Binds the stream to the run @a source, which is not 0.
 *
 * @return FALSE if part of another run's answer was already passed to the
 * caller.
 */
gboolean qg_stream_bind (QgStream *stream, guint64 source);

/** Handles the head of the answer. */
QgStreamVerdict qg_stream_handle_head (QgStream *stream, guint64 source);

/**
 * Handles a piece of the body.
 *
 * @param skip set to the number of leading bytes that were already passed on.
 */
QgStreamVerdict qg_stream_handle_data (QgStream *stream, guint64 source,
                                       guint64 offset, guint64 len,
                                       guint64 *skip);

/** Handles the end of the answer; @a length is the length of the whole body. */
QgStreamVerdict qg_stream_handle_end (QgStream *stream, guint64 source,
                                      guint64 length);

/** Ends the stream early; all later pieces are dropped. */
void qg_stream_close (QgStream *stream);

G_END_DECLS

#endif
