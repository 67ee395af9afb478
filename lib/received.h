/**
 * @file received.h
 * Which of the numbered messages of one sender have arrived. The messages of a
 * connection arrive in order; those that were sent last are lost when it ends,
 * and the sender goes on numbering on the next connection. No I/O.
 */
#ifndef QG_RECEIVED_H
#define QG_RECEIVED_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  QG_RECEIVED_MAX_GAPS = 64 /**< the newest that are remembered */
};

/** A zeroed one has received nothing. */
typedef struct
{
  guint64 last; /**< number of the newest message, 0 if none */
  struct
  {
    guint64 first, last; /**< numbers that were lost */
  } gaps[QG_RECEIVED_MAX_GAPS];
  guint n_gaps; /**< that were ever found; the oldest are overwritten */
} QgReceived;

/** Records message @a number, from 1, each larger than the one before. */
void qg_received_add (QgReceived *received, guint64 number);

/** TRUE if message @a number has certainly not arrived. It will not arrive
 * later, provided that the connection that it was sent on has ended. */
gboolean qg_received_is_lost (const QgReceived *received, guint64 number);

G_END_DECLS

#endif
